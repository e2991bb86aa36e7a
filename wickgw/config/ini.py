"""The operator's own file: its one reader (configparser), and its errors.

Owns how an error is worded: file, section, key, what was read, what is allowed, on one line. A file without
a section costs nothing: the schema is not imported for it. It must never half-accept a file.
"""

import configparser
from pathlib import Path
from typing import TYPE_CHECKING, Any

from wickgw.config.relay import ConfigError

if TYPE_CHECKING:
    from wickgw.config.schema import Operator

DEFAULT = Path("deploy/wickgw.ini")
MOST = 1 << 20  # bytes of a file


def read_ini(path: Path | None) -> "Operator | None":
    """The operator's settings; None if there are none. Without a path the default file is read, if it is
    there. Raises ConfigError with one line."""
    if path is None and not DEFAULT.exists():
        return None
    path = path or DEFAULT
    parser = configparser.ConfigParser(interpolation=None, delimiters=("=",), default_section="")
    parser.optionxform = str  # type: ignore[assignment]
    try:
        if path.stat().st_size > MOST:
            raise ConfigError(f"{path}: larger than {MOST} bytes")
        parser.read_string(path.read_text("utf-8"), str(path))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: not UTF-8 at byte {error.start}") from error
    except configparser.Error as error:
        raise ConfigError(" ".join(str(error).split())) from error
    if not parser.sections():
        return None
    return _checked(path, {title: dict(parser.items(title)) for title in parser.sections()})


def _checked(path: Path, raw: dict[str, dict[str, str]]) -> "Operator":
    from pydantic import ValidationError

    from wickgw.config.schema import Operator, sections

    try:
        return Operator.model_validate(sections(raw))
    except ValidationError as error:
        raise ConfigError(f"{path}: {_worded(error.errors()[0])}") from error
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from error


def _worded(error: Any) -> str:
    """`[section] key: 'value' read, ... allowed`."""
    place = [str(part) for part in error["loc"]]
    section, keys = (place[0] if place else "file"), place[1:]
    if section == "address" and keys[:1] == ["services"] and len(keys) > 1:
        section, keys = f"address:{keys[1]}", keys[2:]
    key = ".".join(k for k in keys if k != "[key]")
    message = error["msg"].removeprefix("Value error, ")
    if error["type"] == "missing":
        what = "missing"
    elif error["type"] == "extra_forbidden":
        what = "no such key"
    elif isinstance(error["input"], str):
        what = f"{error['input']!r} read; {message[0].lower()}{message[1:]}"
    else:
        what = message
    return f"[{section}] {key}: {what}" if key else f"[{section}] {what}"
