"""The operator's own file: its one reader (configparser), and its errors.

Owns how an error is worded: file, section, key, what was read, what is allowed, on one line. A file without
a section costs nothing: the schema is not imported for it. It must never half-accept a file.
"""

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
    text = _text(path)
    if all(not line.strip() or line.lstrip()[0] in "#;" for line in text.splitlines()):
        return None  # all is off: a file of remarks costs nothing
    raw, lines = _read(path, text)
    if not raw:
        return None
    for beside in raw.get("routing", {}).get("expectations", "").split():
        more, more_lines = _read(path.parent / beside, _text(path.parent / beside))
        for title in more:
            if title.partition(":")[0] not in ("expect", "worker"):
                raise ConfigError(
                    f"{path.parent / beside}: [{title}]: only [expect:NAME] and [worker:NAME] are allowed"
                )
            if title in raw:
                raise ConfigError(f"{path.parent / beside}: [{title}]: it is in another file already")
        raw |= more
        lines |= more_lines
    return _checked(path, raw, lines)


def _text(path: Path) -> str:
    """A file's text. Raises ConfigError."""
    try:
        if path.stat().st_size > MOST:
            raise ConfigError(f"{path}: larger than {MOST} bytes")
        return path.read_text("utf-8")
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: not UTF-8 at byte {error.start}") from error


def _read(path: Path, text: str) -> tuple[dict[str, dict[str, str]], dict[str, int]]:
    """The sections of a file, and the line on which each begins. Raises ConfigError."""
    import configparser

    parser = configparser.ConfigParser(interpolation=None, delimiters=("=",), default_section="")
    parser.optionxform = str  # type: ignore[assignment]
    try:
        parser.read_string(text, str(path))
    except configparser.Error as error:
        raise ConfigError(" ".join(str(error).split())) from error
    numbered = enumerate(text.splitlines(), 1)
    lines = {
        line.strip()[1:-1]: n for n, line in numbered if line.startswith("[") and line.strip()[-1] == "]"
    }
    return {title: dict(parser.items(title)) for title in parser.sections()}, lines


def _checked(path: Path, raw: dict[str, dict[str, str]], lines: dict[str, int]) -> "Operator":
    from pydantic import ValidationError

    from wickgw.config.schema import Operator, sections

    try:
        return Operator.model_validate(sections(raw, lines))
    except ValidationError as error:
        raise ConfigError(f"{path}: {_worded(error.errors()[0])}") from error
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from error


def _worded(error: Any) -> str:
    """`[section] key: 'value' read, ... allowed`."""
    place = [str(part) for part in error["loc"]]
    section, keys = (place[0] if place else "file"), place[1:]
    from wickgw.config.schema import TABLES

    kinds = {table: kind for kind, table in TABLES.items()}
    if len(keys) > 1 and (kind := kinds.get((section, keys[0]))):
        section, keys = f"{kind}:{keys[1]}", keys[2:]
    key = ".".join(k for k in keys if k != "[key]")
    message = error["msg"].removeprefix("Value error, ")
    if error["type"] == "missing":
        what = "missing"
    elif error["type"] == "extra_forbidden":
        what = "no such key"
    elif isinstance(error["input"], str):
        # A message that begins with a name in capitals keeps it.
        begins = message[:2].lower() if message[1:2].islower() else message[:2]
        what = f"{error['input']!r} read; {begins}{message[2:]}"
    else:
        what = message
    return f"[{section}] {key}: {what}" if key else f"[{section}] {what}"
