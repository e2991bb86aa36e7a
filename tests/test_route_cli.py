"""`wickgw route`: the example file holds, edits are detected, and each command's output and exit code."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from test_cli import VALID_CONFIG

from wickgw.config.relay import ConfigError
from wickgw.config.routes import read_plan
from wickgw.routing.check import Verdict, analyze, check
from wickgw.routing.lint import difference, lint

EXAMPLES = Path(__file__).parent.parent / "examples"
SAMPLE = EXAMPLES / "routes.ini"


def run(*args: object) -> "subprocess.CompletedProcess[str]":
    command = [sys.executable, "-m", "wickgw", "route", *map(str, args)]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


# Edits of the example file: the section, the old text and the new text.
EDITS = [
    ("scan-partner", "priority = 5", "priority = 7"),
    ("scan-partner-blocked", "priority = 6", "priority = 4"),
    ("health", "priority = 50", "priority = 0"),
    ("returns-trial", "priority = 10", "priority = -1"),
    ("refund-audit", "path_prefix = /refund-release/audit", "path_prefix = /refund-release"),
    ("refund-audit", "path_prefix = /refund-release/audit", "path_prefix = /refund-release/audits"),
    ("returns-create-rush", "path = /label-create/rush", "path_prefix = /label-create"),
    ("scan-bulk", "path_prefix = /scan-record/bulk", "path_prefix = /scan-record"),
    ("lookup-deep", "path_prefix = /label-lookup/history", "path_prefix = /label-lookup"),
    ("refund-status", "/label-lookup/refunds/[0-9]+", "/label-lookup/refunds/[1-9]+"),
    ("scan-by-carrier", "[a-z]{2,8}", "[a-z]{4,8}"),
    ("refund-dallas", "pools = returns-dallas", "pools = returns-dallas returns-memphis"),
    ("refund-dallas", "pools = returns-dallas", "pools = returns-memphis"),
    ("refund-memphis", "zone = memphis", "zone = dallas"),
    ("refund-dallas", "attempts = 2", "attempts = 3"),
    ("refund-audit", "attempts = 1", "attempts = 2"),
    ("scan-partner-blocked", "attempts = 1", "attempts = 2"),
    ("any-create", "attempts = 1", "attempts = 2"),
    ("returns-create-rush", "create-memphis returns-spare", "create-memphis"),
    ("scan-by-carrier", "scans-dallas scans-memphis scans-bulk", "scans-dallas scans-memphis"),
    ("returns-create-dallas", "create-dallas create-memphis", "create-memphis create-dallas"),
    ("scan-dallas", "scans-dallas scans-memphis", "scans-dallas"),
    ("scan-dallas", "host = scans.example.org", "host = scan.example.org"),
    ("any-lookup", "host = *.example.org", "host = *.org"),
    ("returns-trial", "header.X-Trial = yes", "header.X-Trial = present"),
    ("scan-partner", "header.X-Partner = present", "header.X-Partner = absent"),
    ("lookup-anonymous", "header.X-Shop = absent", "header.X-Shop = present"),
    ("pool:create-dallas", "out = fewer-than 2", "out = fewer-than 1"),
    ("pool:trial", "out = all-draining", "out = fewer-than 9"),
    ("pool:scans-bulk", "model = bulk", "model = standard"),
    ("pool:returns-dallas", "zone = dallas", "zone = memphis"),
    ("returns-scan", "pools = scans-bulk", "pools = scans-dallas"),
]


def edited(folder: Path, section: str, old: str, new: str) -> Path:
    """Return the path of a copy of the example file with one edit."""
    text = SAMPLE.read_text()
    title = f"[{section}]" if ":" in section else f"[route:{section}]"
    before, after = text.split(title, 1)
    assert old in after.split("\n[", 1)[0], (section, old)
    (folder / "expectations.ini").write_text((EXAMPLES / "expectations.ini").read_text())
    path = folder / "routes.ini"
    path.write_text(before + title + after.replace(old, new, 1))
    return path


def detected(path: Path) -> list[str]:
    """Return the names of expectations that don't hold and of findings that are errors."""
    plan = read_plan(path)
    analysis = analyze(plan)
    results = check(plan, analysis)
    names = [result.expectation.name for result in results if result.verdict is not Verdict.HOLDS]
    return names + [
        f"{finding.kind} {' '.join(finding.routes)}"
        for finding in lint(plan, analysis, results)
        if finding.error
    ]


def test_example_file_holds_and_has_its_documented_size() -> None:
    plan = read_plan(SAMPLE)
    assert len(plan.table.routes) == 25 and len(plan.expectations) == 40
    assert not detected(SAMPLE)


@pytest.mark.parametrize("section, old, new", EDITS)
def test_edit_that_changes_a_destination_is_detected(
    section: str, old: str, new: str, tmp_path: Path
) -> None:
    path = edited(tmp_path, section, old, new)
    before, after = read_plan(SAMPLE), read_plan(path)
    changes = difference(before.table, after.table, before.zones)
    assert changes, "an edit must change a destination"
    # Each change has a witness, and the destinations differ.
    assert all(change.old != change.new and change.witness for change in changes)
    names = detected(path)
    # The example's expectations cover all edits except these two.
    assert names or (section, new) in {("any-lookup", "host = *.org"), ("scan-by-carrier", "[a-z]{4,8}")}


def test_tie_is_reported_with_both_routes(tmp_path: Path) -> None:
    """Two routes that look unrelated, a wildcard host and a job class, tie if neither has a priority."""
    path = edited(tmp_path, "any-create", "class = label-create", "path_prefix = /label-create")
    path.write_text(
        path.read_text()
        + "\n[route:late]\nhost = *.example.org\npath_prefix = /label-create\npools = create-dallas\n"
    )
    done = run("check", path)
    assert done.returncode == 1 and "ERROR tie any-create late" in done.stdout


def test_check_prints_broken_expectations_and_writes_json(tmp_path: Path) -> None:
    out = tmp_path / "out.json"
    done = run("check", SAMPLE, "--json", out)
    assert done.returncode == 0 and "40 of 40 expectations hold; 0 errors" in done.stdout
    report = json.loads(out.read_text())
    assert {result["verdict"] for result in report["expectations"]} == {"holds"}
    assert set(report["expectations"][0]) == {"name", "line", "verdict", "witness"}
    path = edited(
        tmp_path, "refund-dallas", "pools = returns-dallas", "pools = returns-dallas returns-memphis"
    )
    done = run("check", path, "--json", out, "-q")
    assert done.returncode == 1
    assert (
        "BROKEN refunds-never-cross" in done.stdout and "a refund that crosses is booked twice" in done.stdout
    )
    broken = {
        result["name"]: result
        for result in json.loads(out.read_text())["expectations"]
        if result["verdict"] == "broken"
    }
    assert "d11, d12, d13 draining" in broken["refunds-never-cross"]["witness"]
    line = broken["refunds-never-cross"]["line"]
    assert (EXAMPLES / "expectations.ini").read_text().splitlines()[
        line - 1
    ] == "[expect:refunds-never-cross]"


def test_explain_prints_the_route_the_rejected_routes_and_the_pool() -> None:
    host = ("--host", "RETURNS.example.org:443")
    done = run("explain", SAMPLE, "--path", "/refund-release//7", *host, "--zone", "dallas")
    assert done.returncode == 0 and "route    refund-dallas" in done.stdout
    assert "not      refund-memphis: another zone" in done.stdout
    assert "goes to  returns-dallas: one of d11 d12 d13" in done.stdout
    done = run(
        "explain", SAMPLE, "--class", "label-create", "--path", "/rush", *host, "--header", "X-Trial=yes"
    )
    assert "not      returns-create-rush: returns-trial has a higher priority" in done.stdout
    out = ("--state", "draining zone:dallas; gone m21 m22")
    done = run("explain", SAMPLE, "--path", "/label-create/rush", *host, *out)
    assert "pool     create-dallas: 0 ready, 3 draining: out (fewer-than)" in done.stdout
    assert "goes to  create-memphis: one of m23" in done.stdout
    assert "none takes it: 404" in run("explain", SAMPLE, "--path", "/x").stdout
    assert run("explain", SAMPLE, "--path", "/%").returncode == 2
    assert run("explain", SAMPLE, "--path", "/x", "--state", "sleepy").returncode == 2


def test_diff_lists_changed_destinations(tmp_path: Path) -> None:
    unchanged = run("diff", SAMPLE, SAMPLE)
    assert unchanged.returncode == 0 and "every request goes where it went" in unchanged.stdout
    path, out = edited(tmp_path, "health", "priority = 50", "priority = 0"), tmp_path / "out.json"
    done = run("diff", SAMPLE, path, "--json", out)
    assert done.returncode == 1 and "/label-lookup/ping" in done.stdout
    moved = json.loads(out.read_text())["moved"]
    assert moved and all("/label-lookup/ping" in change["witness"] for change in moved)


@pytest.mark.parametrize(
    "text, fragments",
    [
        ("[route:r]\npath = look\npools = p\n[pool:p]\n", ("[route:r] path: 'look' read", "slash")),
        ("[route:r]\npath_pattern = /(\npools = p\n[pool:p]\n", ("path_pattern: '/('", "not a pattern")),
        ("[route:r]\nhost = a b..c\npools = p\n[pool:p]\n", ("host: 'b..c' read", "not a host")),
        ("[route:r]\npools = p\n", ("no pool is called p",)),
        (
            "[route:r]\npools = p\nattempts = 9\n[pool:p]\n",
            ("[route:r] attempts: '9' read", "less than or equal to 6"),
        ),
        ("[pool:p]\nout = never\n", ("[pool:p] out: 'never' read",)),
        ("[pool:p]\ngroup = x\n", ("group: 'x' read",)),
        ("[expect:e]\nclass = look\n", ("[expect:e]", "one of expect and never")),
        ("[expect:e]\nexpect = soon\n", ("[expect:e] expect: 'soon' read", "attempts with 1 to 6")),
        ("[expect:e]\nexpect = attempts 0\n", ("'attempts 0' read",)),
        ("[expect:e]\nexpect = refused\nfleet = sleepy\n", ("fleet: 'sleepy' read", "all ready")),
        ("[expect:e]\nexpect = refused\nunless = out\n", ("unless: 'out' read",)),
        ("[shop:e]\nexpect = refused\n", ("[shop:e]: unknown",)),
    ],
)
def test_invalid_file_is_reported_in_one_line(text: str, fragments: tuple[str, ...], tmp_path: Path) -> None:
    path = tmp_path / "routes.ini"
    path.write_text("[routing]\n" + text)
    with pytest.raises(ConfigError) as raised:
        read_plan(path)
    line = str(raised.value)
    assert "routes.ini" in line and "\n" not in line and all(fragment in line for fragment in fragments), line


def test_missing_or_misplaced_file_exits_with_2(tmp_path: Path) -> None:
    done = run("check", tmp_path / "none.ini")
    assert done.returncode == 2 and done.stderr.count("\n") == 1
    (tmp_path / "a.ini").write_text("[routing]\nexpectations = b.ini\n")
    (tmp_path / "b.ini").write_text("[route:r]\npools = p\n")
    done = run("check", tmp_path / "a.ini")
    assert done.returncode == 2 and "only [expect:NAME] and [worker:NAME]" in done.stderr


def test_serve_and_check_refuse_routes_that_tie(tmp_path: Path) -> None:
    (tmp_path / "c.json").write_text(json.dumps(VALID_CONFIG))
    path = tmp_path / "r.ini"
    route = "[route:{}]\nclass = look\npools = p\n"
    path.write_text("[routing]\nenabled = yes\n[pool:p]\n" + route.format("a") + route.format("b"))
    for command in ("serve", "check"):
        done = subprocess.run(
            [sys.executable, "-m", "wickgw", command, "--ini", str(path)],
            env=os.environ | {"RELAY_CONFIG": str(tmp_path / "c.json")},
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert done.returncode == 2 and done.stderr.count("\n") == 1
        assert "[route:a] and [route:b] tie on POST" in done.stderr
