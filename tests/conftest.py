"""Tests that are known to be red: KNOWN-RED.txt at the root names those of a fault that is not mended yet.

Each is run all the same. Red, it is passed over and printed; green, it fails the run, since its line has to
go then; a line that names no test, no cause or no issue, or a fourth line, ends the run at once."""

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FILE, MOST = "KNOWN-RED.txt", 3
LINE = re.compile(
    r"(?P<test>(?P<path>tests/\w+\.py)::(?P<name>test_\w+)) \| (?P<cause>\S.*) \| (?P<issue>\d+)"
)


@dataclass(frozen=True)
class Red:
    """One line of the list."""

    test: str
    cause: str
    issue: str


def read_known_red(text: str, root: Path) -> list[Red]:
    """The list, checked against the tests that there are. Raises ValueError."""
    reds = list[Red]()
    for line in filter(None, map(str.strip, text.splitlines())):
        match = LINE.fullmatch(line)
        if match is None:
            raise ValueError(f"not 'tests/FILE.py::TEST | CAUSE | ISSUE': {line!r}")
        path = root / match["path"]
        if not path.is_file() or not re.search(rf"^(async )?def {match['name']}\(", path.read_text(), re.M):
            raise ValueError(f"no such test: {match['test']}")
        reds.append(Red(match[1], match["cause"], match["issue"]))
    if len(reds) > MOST or len({red.test for red in reds}) < len(reds):
        raise ValueError(f"{MOST} tests at most, each once")
    return reds


def known_red() -> list[Red]:
    path = ROOT / FILE
    try:
        return read_known_red(path.read_text(), ROOT) if path.exists() else []
    except ValueError as error:
        raise pytest.UsageError(f"{FILE}: {error}") from error


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    reds = {red.test: red for red in known_red()}
    for item in items:
        if red := reds.get(item.nodeid.partition("[")[0]):
            item.add_marker(
                pytest.mark.xfail(strict=True, reason=f"known red, issue {red.issue}: {red.cause}")
            )


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for red in known_red():
        terminalreporter.write_line(f"known red: {red.test} | {red.cause} | {red.issue}")
