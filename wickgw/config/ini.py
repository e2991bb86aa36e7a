"""Reads the operator's INI file, with configparser, and words its errors.

An error is one line: the file, the section, the key, the value read and the values allowed. A file without
sections is cheap, because the schema is imported only if there is a section. A file is accepted or rejected
as a whole.
"""

from pathlib import Path
from typing import TYPE_CHECKING, Any

from wickgw.config.relay import ConfigError

if TYPE_CHECKING:
    from wickgw.config.schema import OperatorConfig

DEFAULT_INI_PATH = Path("deploy/wickgw.ini")
MAX_FILE_BYTES = 1 << 20


def read_ini(path: Path | None) -> "OperatorConfig | None":
    """Return the operator's settings, or None if there are none.

    Without a path, the default file is read if it exists. Raises ConfigError with a message of one line.
    """
    if path is None and not DEFAULT_INI_PATH.exists():
        return None
    path = path or DEFAULT_INI_PATH
    text = _read_text(path)
    if all(not line.strip() or line.lstrip()[0] in "#;" for line in text.splitlines()):
        return None  # only comments: all features are disabled
    raw, lines = _parse_sections(path, text)
    if not raw:
        return None
    for file_name in raw.get("routing", {}).get("expectations", "").split():
        included, included_lines = _parse_sections(
            path.parent / file_name, _read_text(path.parent / file_name)
        )
        for title in included:
            if title.partition(":")[0] not in ("expect", "worker"):
                raise ConfigError(
                    f"{path.parent / file_name}: [{title}]: only [expect:NAME] and [worker:NAME] are allowed"
                )
            if title in raw:
                raise ConfigError(f"{path.parent / file_name}: [{title}]: already in another file")
        raw |= included
        lines |= included_lines
    return _validate(path, raw, lines)


def _read_text(path: Path) -> str:
    """Return the text of a file. Raises ConfigError."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise ConfigError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
        return path.read_text("utf-8")
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: not UTF-8 at byte {error.start}") from error


def _parse_sections(path: Path, text: str) -> tuple[dict[str, dict[str, str]], dict[str, int]]:
    """Return the sections of a file, and the line number of each section. Raises ConfigError."""
    import configparser

    parser = configparser.ConfigParser(interpolation=None, delimiters=("=",), default_section="")
    parser.optionxform = str  # type: ignore[assignment]
    try:
        parser.read_string(text, str(path))
    except configparser.Error as error:
        raise ConfigError(" ".join(str(error).split())) from error
    numbered_lines = enumerate(text.splitlines(), 1)
    lines = {
        line.strip()[1:-1]: number
        for number, line in numbered_lines
        if line.startswith("[") and line.strip()[-1] == "]"
    }
    return {title: dict(parser.items(title)) for title in parser.sections()}, lines


def _validate(path: Path, raw: dict[str, dict[str, str]], lines: dict[str, int]) -> "OperatorConfig":
    from pydantic import ValidationError

    from wickgw.config.schema import OperatorConfig, build_model_data

    try:
        return OperatorConfig.model_validate(build_model_data(raw, lines))
    except ValidationError as error:
        raise ConfigError(f"{path}: {_format_error(error.errors()[0])}") from error
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from error


def _format_error(error: Any) -> str:
    """Return the text of a validation error: `[section] key: 'value' read; ...`."""
    location = [str(part) for part in error["loc"]]
    section, keys = (location[0] if location else "file"), location[1:]
    from wickgw.config.schema import SUBSECTIONS

    kinds = {table: kind for kind, table in SUBSECTIONS.items()}
    if len(keys) > 1 and (kind := kinds.get((section, keys[0]))):
        section, keys = f"{kind}:{keys[1]}", keys[2:]
    key = ".".join(name for name in keys if name != "[key]")
    message = error["msg"].removeprefix("Value error, ")
    if error["type"] == "missing":
        problem = "missing"
    elif error["type"] == "extra_forbidden":
        problem = "no such key"
    elif isinstance(error["input"], str):
        # The first letter becomes lower case, unless an upper-case name begins the message.
        beginning = message[:2].lower() if message[1:2].islower() else message[:2]
        problem = f"{error['input']!r} read; {beginning}{message[2:]}"
    else:
        problem = message
    return f"[{section}] {key}: {problem}" if key else f"[{section}] {problem}"
