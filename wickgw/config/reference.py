"""Generates the reference of the operator's INI keys, docs/operators/ini-reference.md, from the schema.

All statements about a key come from the schema; this module defines only the format of the page.
"""

import types
import typing
from typing import Any

from pydantic import BaseModel
from pydantic.fields import FieldInfo

from wickgw.config import schema

PAGE_HEADER = """# Reference of the operator's file

Generated from the schema by `wickgw reference`; do not edit. The file is `deploy/wickgw.ini`, or the file
that `--ini` or `WICKGW_INI` names. The format is INI. A comment is a line that begins with # or ;. The words
of a list are separated by spaces or line breaks.
"""
SECTIONS: tuple[tuple[str, type[BaseModel]], ...] = (
    ("log", schema.LogSettings),
    ("address", schema.AddressSettings),
    ("address:NAME", schema.ServiceSettings),
    ("routing", schema.RoutingSettings),
    ("pool:NAME", schema.PoolSettings),
    ("route:NAME", schema.RouteSettings),
    ("worker:NAME", schema.WorkerSettings),
    ("expect:NAME", schema.ExpectSettings),
    ("subsetting", schema.SubsettingSettings),
)
_PAIR_FORMATS = {"members": "NAME=HOST:PORT", "dispatchers": "NAME=ZONE"}
SUBSECTION_FIELDS = {"services", "pools", "routes", "workers", "expects"}


def reference() -> str:
    """Return the text of the page."""
    parts = [PAGE_HEADER]
    for title, model in SECTIONS:
        parts.append(f"\n## [{title}]\n\n| key | default | allowed | meaning |\n| --- | --- | --- | --- |\n")
        for name, field in model.model_fields.items():
            hidden = field.exclude or (name in SUBSECTION_FIELDS and title in ("address", "routing"))
            if not hidden and not (title == "address:NAME" and name == "name"):
                parts.append(_row(name, field))
    return "".join(parts)


def _row(name: str, field: FieldInfo) -> str:
    """Return the table row of one key."""
    key = "header.NAME" if name == "headers" else field.alias or name
    default = (
        "required" if field.is_required() else _format_value(field.get_default(call_default_factory=True))
    )
    meaning = (field.description or "").replace("|", "\\|")
    return (
        f"| `{key}` | {default} | {_format_allowed(name, field).replace('|', chr(92) + '|')} | {meaning} |\n"
    )


def _format_value(value: Any) -> str:
    """Return a default value as it is written in an INI file."""
    if value in ((), {}, "", None):
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def _format_allowed(name: str, field: FieldInfo) -> str:
    """Return a description of the values that a key allows."""
    kind = field.annotation
    options = typing.get_args(kind)
    if typing.get_origin(kind) is typing.Literal:
        return ", ".join(options)
    if typing.get_origin(kind) in (types.UnionType, typing.Union):
        kind = next(option for option in options if option is not type(None))
    constraints = {type(constraint).__name__: constraint for constraint in field.metadata}
    if kind in (int, float):
        minimum, maximum = getattr(constraints.get("Ge"), "ge", ""), getattr(constraints.get("Le"), "le", "")
        return f"{minimum} to {maximum}"
    if kind is bool:
        return "yes, no"
    for class_name in ("_PydanticGeneralMetadata",):
        if pattern := getattr(constraints.get(class_name), "pattern", None):
            return f"`{pattern}`"
    if typing.get_origin(kind) is dict:
        return _PAIR_FORMATS.get(name, "words") if field.is_required() else "words"
    return "words" if typing.get_origin(kind) is tuple else "text"
