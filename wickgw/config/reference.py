"""The reference of the operator's keys, made from the schema: docs/operators/ini-reference.md.

Owns the page's form. It must never say anything of a key that the schema does not say.
"""

import types
import typing
from typing import Any

from pydantic import BaseModel
from pydantic.fields import FieldInfo

from wickgw.config import schema

HEAD = """# Reference of the operator's file

Made from the schema by `wickgw reference`; do not edit. The file is `deploy/wickgw.ini`, or what `--ini` or
`WICKGW_INI` names: INI, a comment is a line that begins with # or ;. Lists are words with blanks or lines
between them.
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
_PAIRS = {"members": "NAME=HOST:PORT", "dispatchers": "NAME=ZONE"}
TABLES = {"services", "pools", "routes", "workers", "expects"}


def reference() -> str:
    """The page."""
    parts = [HEAD]
    for title, model in SECTIONS:
        parts.append(f"\n## [{title}]\n\n| key | default | allowed | meaning |\n| --- | --- | --- | --- |\n")
        for name, field in model.model_fields.items():
            hidden = field.exclude or (name in TABLES and title in ("address", "routing"))
            if not hidden and not (title == "address:NAME" and name == "name"):
                parts.append(_row(name, field))
    return "".join(parts)


def _row(name: str, field: FieldInfo) -> str:
    key = "header.NAME" if name == "headers" else field.alias or name
    default = "needed" if field.is_required() else _shown(field.get_default(call_default_factory=True))
    meaning = (field.description or "").replace("|", "\\|")
    return f"| `{key}` | {default} | {_allowed(name, field).replace('|', chr(92) + '|')} | {meaning} |\n"


def _shown(value: Any) -> str:
    if value in ((), {}, "", None):
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def _allowed(name: str, field: FieldInfo) -> str:
    kind = field.annotation
    options = typing.get_args(kind)
    if typing.get_origin(kind) is typing.Literal:
        return ", ".join(options)
    if typing.get_origin(kind) in (types.UnionType, typing.Union):
        kind = next(o for o in options if o is not type(None))
    bounds = {type(m).__name__: m for m in field.metadata}
    if kind in (int, float):
        low, high = getattr(bounds.get("Ge"), "ge", ""), getattr(bounds.get("Le"), "le", "")
        return f"{low} to {high}"
    if kind is bool:
        return "yes, no"
    for general in ("_PydanticGeneralMetadata",):
        if pattern := getattr(bounds.get(general), "pattern", None):
            return f"`{pattern}`"
    if typing.get_origin(kind) is dict:
        return _PAIRS.get(name, "words") if field.is_required() else "words"
    return "words" if typing.get_origin(kind) is tuple else "text"
