"""Compares documentation pages with the code: log events, INI keys, tables of tests."""

import re
from pathlib import Path

import pytest
from conftest import read_known_failures

from wickgw.config.reference import reference

ROOT = Path(__file__).parent.parent
EVENT = re.compile(r"""(?:_note\(|\blog\.\w+\()\s*f?"([a-z]+\.[a-z{][^"\s]*)\"""")


@pytest.mark.parametrize("package, page", [("address", "moving-address"), ("routing", "routing")])
def test_each_log_event_of_a_subsystem_is_on_its_page(package: str, page: str) -> None:
    files = [*(ROOT / "wickgw" / package).glob("*.py"), *(ROOT / "wickgw" / "net").glob("pools.py")]
    code = "".join(path.read_text() for path in files if package == "routing" or path.name != "pools.py")
    logged = set(EVENT.findall(code)) - {"member.{change.new_state.name.lower()}"}
    logged |= {"member.alive", "member.suspected", "member.dead"} if package == "address" else set()
    text = (ROOT / "docs" / "operators" / f"{page}.md").read_text()
    table = text.partition("## Log events")[2].partition("\n## ")[0]
    rows = [line.split("|")[1] for line in table.splitlines() if line.startswith("| `")]
    documented = {event for row in rows for event in re.findall(r"`([^`]+)`", row)}
    assert logged == documented, logged ^ documented


def test_ini_reference_is_generated_from_the_schema() -> None:
    """To update the page, run: wickgw reference > docs/operators/ini-reference.md"""
    assert (ROOT / "docs" / "operators" / "ini-reference.md").read_text() == reference()


def test_table_of_endings_names_all_tests_of_endings_and_no_others() -> None:
    tests = re.findall(r"^def test_(\w+)", (ROOT / "tests" / "test_endings.py").read_text(), re.M)
    table = (ROOT / "docs" / "design" / "endings.md").read_text().partition("\n## ")[0]
    cells = [line.split("|")[4] for line in table.splitlines() if line.startswith("| ")][2:]
    named = [name for cell in cells for name in re.findall(r"`([a-z_]+)`", cell)]
    assert len(named) > 15 and all(any(test.startswith(prefix) for test in tests) for prefix in named), named
    not_endings = {"idempotency_key_is_forwarded"}  # no ending
    assert {test for test in tests if not any(test.startswith(prefix) for prefix in named)} == not_endings


def test_known_failing_tests_must_exist_and_have_a_cause_and_an_issue(tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_a.py").write_text("def test_one() -> None: ...\n")
    good = "tests/test_a.py::test_one | a cause | 29"
    (red,) = read_known_failures(f"{good}\n\n", tmp_path)
    assert (red.test, red.cause, red.issue) == ("tests/test_a.py::test_one", "a cause", "29")
    assert not red.is_intermittent
    (red,) = read_known_failures(good.replace("a cause", "intermittent: a cause"), tmp_path)
    assert red.is_intermittent
    for old, new in (
        ("one", "none"),
        ("_a.py", "_b.py"),
        (" | a cause", ""),
        ("29", ""),
        (good, f"{good}\n{good}"),
    ):
        with pytest.raises(ValueError):
            read_known_failures(good.replace(old, new), tmp_path)
