"""Routes without traffic: spelling, specificity, cells of all requests, fleets, verdicts, findings."""

import itertools
import random
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from routes import ZONES, plan_of

from wickgw.routing import fleet, normal
from wickgw.routing.automata import NotRegular, classes
from wickgw.routing.check import Verdict, check, survey
from wickgw.routing.lint import difference, lint
from wickgw.routing.match import Header, Host, Match, Request, path_of
from wickgw.routing.match import Path as Where
from wickgw.routing.space import cells
from wickgw.routing.table import Pool, Route, Table


@pytest.mark.parametrize(
    "raw, plain",
    [
        ("/look", "/look"),
        ("//look///x", "/look/x"),
        ("/a/./b/../c", "/a/c"),
        ("/../../a", "/a"),
        ("/a/..", "/"),
        ("/a/b/.", "/a/b/"),
        ("/%6Cook", "/look"),
        ("/%2e%2E/look", "/look"),
        ("/a%2fb", "/a%2Fb"),
        ("/caf\u00e9", "/caf%C3%A9"),
        ("/caf%c3%a9", "/caf%C3%A9"),
        ("/a b", "/a%20b"),
        ("/", "/"),
        ("/a/", "/a/"),
        ("/~x/%7ex", "/~x/~x"),
    ],
)
def test_path_has_one_spelling(raw: str, plain: str) -> None:
    assert normal.path(raw) == plain == normal.path(plain)


@pytest.mark.parametrize("raw", ["/%", "/%4", "/%zz", "look", ""])
def test_path_without_a_normal_form_is_an_error(raw: str) -> None:
    with pytest.raises(normal.Malformed):
        normal.path(raw)


@pytest.mark.parametrize(
    "raw, plain", [("A.Example.ORG:8080", "a.example.org"), ("a.example.org.", "a.example.org"), ("", "")]
)
def test_host_has_one_spelling(raw: str, plain: str) -> None:
    assert normal.host(raw) == plain


@settings(derandomize=True, max_examples=300)
@given(st.text(alphabet="/.a%2eE5c~", max_size=12))
def test_normal_form_is_its_own(text: str) -> None:
    try:
        plain = normal.path("/" + text)
    except normal.Malformed:
        return
    assert normal.path(plain) == plain
    assert "//" not in plain and not {".", ".."} & set(plain.split("/"))


def route(name: str, *pools: str, line: int = 0, priority: int = 0, **match: Any) -> Route:
    return Route(name, Match(**match), pools or ("p",), priority, line=line)


HOSTS = [Host("a.x"), Host("b.x"), Host("*.x"), Host("*.y.x")]
PATHS = [
    path_of(kind, text)
    for kind, text in (
        ("exact", "/a"),
        ("exact", "/a/b"),
        ("prefix", "/a"),
        ("prefix", "/a/b"),
        ("prefix", "/"),
        ("pattern", "/a/[0-9]+"),
        ("pattern", "/(a|b)/.*"),
        ("pattern", "/a/?"),
        ("pattern", "/[^b]+/b"),
    )
]
HEADERS = [
    Header("h", "present"),
    Header("h", "absent"),
    Header("h", "one-of", frozenset({"1"})),
    Header("h", "none-of", frozenset({"1", "2"})),
]
MATCHES = st.builds(
    Match,
    hosts=st.lists(st.sampled_from(HOSTS), max_size=2, unique=True).map(tuple),
    paths=st.lists(st.sampled_from(PATHS), max_size=2, unique=True).map(tuple),
    classes=st.sampled_from([(), (), (Where("prefix", "/a"),)]),
    methods=st.sampled_from([frozenset(), frozenset(), frozenset({"POST"})]),
    zones=st.sampled_from([frozenset(), frozenset(), frozenset({"east"})]),
    headers=st.sampled_from([(), (), *((h,) for h in HEADERS)]),
)
UNIVERSE = [
    Request(host, path, method, zone, headers)
    for host, path, method, zone, headers in itertools.product(
        ("", "a.x", "b.x", "c.x", "x", "q.y.x", "a.b"),
        ("/", "/a", "/a/", "/ab", "/a/b", "/a/b/c", "/a/1", "/a/12x", "/b/", "/c/b", "/b/b", "/%2F"),
        ("POST", "GET"),
        ZONES,
        ({}, {"h": "1"}, {"h": "2"}, {"h": "3"}),
    )
]


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(MATCHES, min_size=1, max_size=5))
def test_every_request_has_its_cell_and_every_cell_a_true_witness(matches: list[Match]) -> None:
    found = {cell.meant: cell.witness for cell in cells(matches, ZONES)}
    for meant, witness in found.items():
        assert meant == frozenset(k for k, m in enumerate(matches) if m.holds(witness))
        assert normal.path(witness.path) == witness.path
    for request in UNIVERSE:
        assert frozenset(k for k, m in enumerate(matches) if m.holds(request)) in found


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(MATCHES, st.integers(0, 1)), min_size=1, max_size=6))
def test_index_finds_what_a_plain_scan_finds(drawn: list[tuple[Match, int]]) -> None:
    routes = [Route(f"r{k}", match, ("p",), priority, line=k) for k, (match, priority) in enumerate(drawn)]
    table = Table(routes, [Pool("p")])
    for request in UNIVERSE:
        met = [r for r in routes if r.match.holds(request)]
        ranks = [(r.priority, *r.match.rank(request.host, request.path)) for r in met]
        best = [r for r, rank in zip(met, ranks, strict=True) if rank == max(ranks)]
        taken = table.take(request)
        assert taken.route is (best[0] if best else None)
        assert taken.tied == (tuple(best) if len(best) > 1 else ())


@pytest.mark.parametrize(
    "winner, loser",
    [
        ({"hosts": (Host("a.x"),)}, {"hosts": (Host("*.x"),), "paths": (path_of("exact", "/a/1"),)}),
        ({"hosts": (Host("*.y.x"),)}, {"hosts": (Host("*.x"),)}),
        ({"paths": (path_of("exact", "/a/1"),)}, {"paths": (path_of("pattern", "/a/[0-9]+"),)}),
        ({"paths": (path_of("pattern", "/a/[0-9]+"),)}, {"paths": (path_of("prefix", "/a/1"),)}),
        ({"paths": (path_of("prefix", "/a/1"),)}, {"paths": (path_of("prefix", "/a"),)}),
        ({"zones": frozenset({"east"})}, {}),
        ({"zones": frozenset({"east"}), "headers": (HEADERS[1],)}, {"zones": frozenset({"east"})}),
    ],
)
def test_more_specific_wins_in_any_order(winner: dict[str, Any], loser: dict[str, Any]) -> None:
    host = "q.y.x" if "*.y.x" in str(winner) else "a.x"
    request = Request(host, "/a/1", zone="east")
    for line in (1, 3):
        routes = [route("winner", line=line, **winner), route("loser", line=2, **loser)]
        taken = Table(routes, [Pool("p")]).take(request)
        assert taken.route is routes[0] and not taken.tied
    above = [route("winner", **winner), route("loser", priority=1, **loser)]
    assert Table(above, [Pool("p")]).take(request).route is above[1], "a priority wins over everything"


def test_pattern_that_no_automaton_stands_for_is_said() -> None:
    with pytest.raises(NotRegular):
        classes([path_of("pattern", r"/(a)\1")])


WORKERS = "".join(
    f"[worker:{n}]\nzone = {z}\n" for n, z in (("e1", "east"), ("e2", "east"), ("w1", "west"), ("w2", "west"))
)
POOLS = "[pool:east]\nzone = east\n[pool:west]\nzone = west\n"


def verdicts(folder: Path, text: str) -> dict[str, tuple[str, str]]:
    plan = plan_of(folder, POOLS + WORKERS + text)
    return {j.expectation.name: (j.verdict.value, j.witness) for j in check(plan, survey(plan))}


def findings(folder: Path, text: str) -> dict[str, str]:
    plan = plan_of(folder, POOLS + text)
    found = survey(plan)
    return {
        f"{f.kind} {' '.join(f.routes)}".strip(): f.witness for f in lint(plan, found, check(plan, found))
    }


LOOK = "[route:look]\nclass = look once\npools = east\n"


def test_expectation_that_hangs_on_a_drain(tmp_path: Path) -> None:
    said = verdicts(
        tmp_path,
        LOOK
        + "[expect:without]\nclass = look\nexpect = zone east\n"
        + "[expect:with]\nclass = look\nexpect = zone east\nunless = out zone:east\n"
        + "[expect:drained]\nclass = look\nfleet = draining zone:east\nexpect = refused\n"
        + "[expect:one]\nclass = look\nfleet = draining e1\nexpect = workers e2\n",
    )
    assert said["without"][0] == "broken" and "with e1, e2 draining" in said["without"][1]
    assert {said[n][0] for n in ("with", "drained", "one")} == {"holds"}


def test_chain_of_three_pools_whose_middle_one_is_out(tmp_path: Path) -> None:
    said = verdicts(
        tmp_path,
        "[pool:one]\nname = e1\n[route:r]\nclass = look once\npools = one east west\n"
        + "[expect:first]\nclass = look\nfleet = gone zone:east\nexpect = pool west\n"
        + "[expect:middle]\nclass = look\nfleet = gone e1\nexpect = pool east\n"
        + "[expect:never-refused]\nclass = look\nunless = out zone:west\nnever = refused\n"
        + "[expect:wrong]\nclass = look\nexpect = pool one east\n",
    )
    assert [said[n][0] for n in ("first", "middle", "never-refused", "wrong")] == ["holds"] * 3 + ["broken"]
    assert "e1, e2" in said["wrong"][1] and "pool west" in said["wrong"][1]


@pytest.mark.parametrize("out, states, pool", [
    ("fewer-than 2", "gone e1", "west"),
    ("fewer-than 2", "all ready", "east"),
    ("all-draining", "draining zone:east", "west"),
    ("all-draining", "gone e1; draining e2", "west"),
    ("none-ready", "draining e1; gone e2", "west"),
])  # fmt: skip
def test_each_way_of_being_out(out: str, states: str, pool: str, tmp_path: Path) -> None:
    text = f"[pool:mine]\nzone = east\nout = {out}\n[route:r]\nclass = look once\npools = mine west\n"
    text += f"[expect:e]\nclass = look\nfleet = {states}\nexpect = pool {pool.replace('east', 'mine')}\n"
    assert verdicts(tmp_path, text)["e"][0] == "holds"


def test_pool_that_is_out_only_when_draining_is_refused_when_gone(tmp_path: Path) -> None:
    """All gone is not all draining: the request stays, and the pool's module refuses it in its time."""
    text = "[pool:mine]\nzone = east\nout = all-draining\n[route:r]\nclass = look once\npools = mine west\n"
    text += "[expect:e]\nclass = look\nfleet = gone zone:east\nexpect = pool mine\n"
    assert verdicts(tmp_path, text)["e"][0] == "holds"


def test_pattern_whose_complement_matters(tmp_path: Path) -> None:
    text = "[route:numbers]\npath_pattern = /look/[0-9]+\npools = east\n"
    text += "[route:rest]\nclass = look once\npools = west\n"
    text += "[expect:all]\npath_prefix = /look\nexpect = pool east\n"
    text += "[expect:numbers]\npath_pattern = /look/[1-9][0-9]*\nfleet = all ready\nexpect = pool east\n"
    said = verdicts(tmp_path, text)
    assert said["all"][0] == "broken" and "/look from" in said["all"][1]
    assert said["numbers"][0] == "holds"


def test_header_that_may_be_absent(tmp_path: Path) -> None:
    text = LOOK + "[route:shop]\nclass = look\nheader.X-Shop = present\npools = west\n"
    text += "[expect:any]\nclass = look\nfleet = all ready\nexpect = pool west\n"
    text += "[expect:with]\nclass = look\nheader.x-shop = 7\nfleet = all ready\nexpect = pool west\n"
    text += "[expect:not]\nclass = look\nheader.x-shop = not 7\nfleet = all ready\nexpect = pool west\n"
    said = verdicts(tmp_path, text)
    assert said["with"][0] == "holds" and said["any"][0] == said["not"][0] == "broken"
    assert "x-shop" not in said["not"][1], "absent is the smallest of what is not 7"


def test_zone_that_does_not_exist_and_nothing_meant(tmp_path: Path) -> None:
    text = LOOK + "[expect:north]\nclass = look\nzone = north\nexpect = zone east\n"
    text += "[expect:nobody]\nclass = look\nfleet = all ready\nunless = out e1\nexpect = pool east\n"
    said = verdicts(tmp_path, text)
    assert said["north"] == ("empty", "no request is meant") and said["nobody"][0] == "holds"
    found = findings(tmp_path, WORKERS + text)
    assert found["unknown-zone north"] == "no zone is called north" and "expectation-empty north" in found


def test_attempts_and_not_found(tmp_path: Path) -> None:
    text = (
        "[route:once]\nclass = once\npools = east\nattempts = 1\n[route:look]\nclass = look\npools = east\n"
    )
    text += (
        "[expect:one]\nclass = once\nexpect = attempts 1\n[expect:two]\nclass = look\nexpect = attempts 2\n"
    )
    text += (
        "[expect:none]\npath = /other\nexpect = not found\n[expect:some]\nclass = once\nexpect = not found\n"
    )
    said = verdicts(tmp_path, text)
    assert [said[n][0] for n in ("one", "two", "none", "some")] == ["holds", "broken", "holds", "broken"]


def test_what_is_too_large_is_unknown_and_never_holds(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    text = LOOK + "[expect:e]\nclass = look\nexpect = pool east\nunless = out zone:east\n"
    monkeypatch.setattr(fleet, "MOST_STATES", 2)
    fleet._splits.cache_clear()
    assert verdicts(tmp_path, text)["e"][0] == "unknown"
    text += "[route:odd]\npath_pattern = /(a)\\1\npools = west\n"
    assert verdicts(tmp_path, text)["e"][0] == "unknown"


def test_same_worker_in_two_pools(tmp_path: Path) -> None:
    text = "[pool:e1]\nname = e1\n[route:one]\nclass = once\npools = e1\n" + LOOK.replace("look once", "look")
    text += "[expect:shared]\nclass = look\nfleet = gone e2\nexpect = workers e1\n"
    text += "[expect:apart]\nclass = once\nnever = workers e2\n"
    assert {v for v, _ in verdicts(tmp_path, text).values()} == {"holds"}


@pytest.mark.parametrize(
    "text, kind, witness",
    [
        (
            "[route:a]\nhost = *.example.org\npath_prefix = /look\npools = east\n"
            "[route:b]\nhost = *.example.org\npath_prefix = /look\npools = west\n" + LOOK,
            "tie a b",
            "any.example.org/look",
        ),
        (
            LOOK + "[route:east]\nclass = look\nzone = east\npools = west\n"
            "[route:posted]\nclass = look\nheader.h = present\npools = east\n",
            "tie east posted",
            "from zone east h='other'",
        ),
        (
            LOOK + "[route:wild]\nhost = *.example.org\npools = east\n"
            "[route:numbers]\npath_pattern = /look/[0-9]+\npools = west\n",
            "overlap wild numbers",
            "any.example.org/look/0",
        ),
        (
            LOOK.replace("look once", "look") + "[route:zone]\nzone = west\npath_prefix = /\npools = west\n",
            "overlap look zone",
            "/look from zone west",
        ),
        (LOOK + "[route:low]\npath = /look/a\npriority = -1\npools = west\n", "shadowed low look", "/look/a"),
        (LOOK.replace(" once", ""), "class-without-route", "class once"),
        (LOOK + "[pool:idle]\nzone = east\n", "pool-unreached idle", "no route"),
        (
            LOOK + "[pool:north]\nzone = north\n[route:n]\npath = /n\npools = north\n",
            "pool-unfillable north",
            "north",
        ),
        (
            LOOK + "[pool:e1]\nname = e1\n[route:n]\npath = /n\npools = east e1\n" + WORKERS,
            "pool-unreached n e1",
            "whenever pool east is out",
        ),
        (LOOK + "[route:n]\npath = /n\nzone = north\npools = east\n", "shadowed n", "no request"),
    ],
)
def test_lint_finds_it_with_a_witness(text: str, kind: str, witness: str, tmp_path: Path) -> None:
    found = findings(tmp_path, text)
    assert kind in found, found
    assert witness in found[kind]


def test_difference_is_every_move_and_only_those(tmp_path: Path) -> None:
    rng = random.Random(5)
    for _ in range(25):
        tables = []
        for _ in range(2):
            drawn = [
                route(
                    f"r{k}",
                    rng.choice("pq"),
                    line=k,
                    hosts=tuple(rng.sample(HOSTS, rng.randint(0, 1))),
                    paths=tuple(rng.sample(PATHS, rng.randint(0, 2))),
                    zones=frozenset(rng.sample(["east"], rng.randint(0, 1))),
                )
                for k in range(3)
            ]
            tables.append(Table(drawn, [Pool("p"), Pool("q")]))
        old, new = tables
        moved = difference(old, new, ZONES)

        def goes(table: Table, request: Request) -> object:
            taken = table.take(request)
            if taken.tied:
                return frozenset(r.name for r in taken.tied)
            return taken.route and taken.route.pools

        differ = [r for r in UNIVERSE if goes(old, r) != goes(new, r)]
        assert bool(moved) >= bool(differ)
        if not moved:
            assert not differ


def test_verdict_names_are_the_documented_ones() -> None:
    assert {v.value for v in Verdict} == {"holds", "broken", "unknown", "empty"}
