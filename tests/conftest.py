"""Known failing tests: KNOWN-RED.txt at the root names tests that fail because of a fault not yet fixed.

Each of them is run. If it fails, the run goes on and prints its line. If it passes, the run fails, because
the line must then be removed, unless its cause begins with "intermittent: ". A line that names no existing
test, no cause or no issue ends the run at once, and so does a fourth line.
"""

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FILE_NAME, MAX_LINES = "KNOWN-RED.txt", 3
LINE = re.compile(
    r"(?P<test>(?P<path>tests/\w+\.py)::(?P<name>test_\w+)) \| (?P<cause>\S.*) \| (?P<issue>\d+)"
)


@dataclass(frozen=True)
class KnownFailure:
    """One line of the list."""

    test: str
    cause: str
    issue: str

    @property
    def is_intermittent(self) -> bool:
        """Whether the test fails in some runs only, so that a pass does not show that the fault is gone."""
        return self.cause.startswith("intermittent: ")


def read_known_failures(text: str, root: Path) -> list[KnownFailure]:
    """Read the list and check it against the tests under `root`.

    Raises:
        ValueError: A line is malformed or names no test, or there are too many or duplicate lines.
    """
    failures = list[KnownFailure]()
    for line in filter(None, map(str.strip, text.splitlines())):
        match = LINE.fullmatch(line)
        if match is None:
            raise ValueError(f"not 'tests/FILE.py::TEST | CAUSE | ISSUE': {line!r}")
        path = root / match["path"]
        if not path.is_file() or not re.search(rf"^(async )?def {match['name']}\(", path.read_text(), re.M):
            raise ValueError(f"no such test: {match['test']}")
        failures.append(KnownFailure(match[1], match["cause"], match["issue"]))
    if len(failures) > MAX_LINES or len({failure.test for failure in failures}) < len(failures):
        raise ValueError(f"{MAX_LINES} tests at most, each once")
    return failures


def known_failures() -> list[KnownFailure]:
    """Return the list of this repository; an invalid list ends the run."""
    path = ROOT / FILE_NAME
    try:
        return read_known_failures(path.read_text(), ROOT) if path.exists() else []
    except ValueError as error:
        raise pytest.UsageError(f"{FILE_NAME}: {error}") from error


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the known failing tests as strict expected failures."""
    failures = {failure.test: failure for failure in known_failures()}
    for item in items:
        if failure := failures.get(item.nodeid.partition("[")[0]):
            item.add_marker(
                pytest.mark.xfail(
                    strict=not failure.is_intermittent,
                    reason=f"known red, issue {failure.issue}: {failure.cause}",
                )
            )


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failing tests."""
    for failure in known_failures():
        terminalreporter.write_line(f"known red: {failure.test} | {failure.cause} | {failure.issue}")
