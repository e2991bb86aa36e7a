"""Routing without traffic: normal form, specificity, equivalence classes, fleets, verdicts, findings."""

import itertools
import random
import re
from pathlib import Path
from typing import Any

import pytest
from cpu_limit import cpu_limit
from hypothesis import assume, given, settings
from hypothesis import strategies as st
from routes import ZONES, plan_from_text

from wickgw.config.relay import ConfigError
from wickgw.net import http
from wickgw.routing import fleet, normal
from wickgw.routing.automata import NotRegularError, path_equivalence_classes
from wickgw.routing.check import Verdict, analyze, check
from wickgw.routing.lint import difference, lint
from wickgw.routing.match import HeaderMatcher, HostMatcher, PathMatcher, Request, RequestMatcher, parse_path
from wickgw.routing.pattern import compile_pattern
from wickgw.routing.space import equivalence_classes
from wickgw.routing.table import Pool, Route, Table


@pytest.mark.parametrize(
    "raw, expected",
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
def test_path_is_normalized(raw: str, expected: str) -> None:
    assert normal.path(raw) == expected == normal.path(expected)


@pytest.mark.parametrize("raw", ["/%", "/%4", "/%zz", "look", ""])
def test_malformed_path_is_rejected(raw: str) -> None:
    with pytest.raises(normal.MalformedError):
        normal.path(raw)


@pytest.mark.parametrize(
    "raw, expected", [("A.Example.ORG:8080", "a.example.org"), ("a.example.org.", "a.example.org"), ("", "")]
)
def test_host_is_normalized(raw: str, expected: str) -> None:
    assert normal.host(raw) == expected


@settings(derandomize=True, max_examples=300)
@given(st.text(alphabet="/.a%2eE5c~", max_size=12))
def test_normal_form_is_idempotent(text: str) -> None:
    try:
        normalized = normal.path("/" + text)
    except normal.MalformedError:
        return
    assert normal.path(normalized) == normalized
    assert "//" not in normalized and not {".", ".."} & set(normalized.split("/"))


def make_route(name: str, *pools: str, line: int = 0, priority: int = 0, **match: Any) -> Route:
    return Route(name, RequestMatcher(**match), pools or ("p",), priority, line=line)


HOSTS = [HostMatcher("a.x"), HostMatcher("b.x"), HostMatcher("*.x"), HostMatcher("*.y.x")]
PATHS = [
    parse_path(kind, text)
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
    HeaderMatcher("h", "present"),
    HeaderMatcher("h", "absent"),
    HeaderMatcher("h", "one-of", frozenset({"1"})),
    HeaderMatcher("h", "none-of", frozenset({"1", "2"})),
]
MATCHERS = st.builds(
    RequestMatcher,
    hosts=st.lists(st.sampled_from(HOSTS), max_size=2, unique=True).map(tuple),
    paths=st.lists(st.sampled_from(PATHS), max_size=2, unique=True).map(tuple),
    classes=st.sampled_from([(), (), (PathMatcher("prefix", "/a"),)]),
    methods=st.sampled_from([frozenset(), frozenset(), frozenset({"POST"})]),
    zones=st.sampled_from([frozenset(), frozenset(), frozenset({"east"})]),
    headers=st.sampled_from([(), (), *((header,) for header in HEADERS)]),
)
REQUESTS = [
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
@given(st.lists(MATCHERS, min_size=1, max_size=5))
def test_equivalence_classes_cover_all_requests_and_have_true_witnesses(
    matchers: list[RequestMatcher],
) -> None:
    found = {
        equivalence_class.matching: equivalence_class.witness
        for equivalence_class in equivalence_classes(matchers, ZONES)
    }
    for matching, witness in found.items():
        assert matching == frozenset(
            index for index, matcher in enumerate(matchers) if matcher.matches(witness)
        )
        assert normal.path(witness.path) == witness.path
    for request in REQUESTS:
        assert frozenset(index for index, matcher in enumerate(matchers) if matcher.matches(request)) in found


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(MATCHERS, st.integers(0, 1)), min_size=1, max_size=6))
def test_look_up_agrees_with_a_linear_scan(drawn: list[tuple[RequestMatcher, int]]) -> None:
    routes = [
        Route(f"r{index}", matcher, ("p",), priority, line=index)
        for index, (matcher, priority) in enumerate(drawn)
    ]
    table = Table(routes, [Pool("p")])
    for request in REQUESTS:
        matching = [route for route in routes if route.matcher.matches(request)]
        ranks = [(route.priority, *route.matcher.rank(request.host, request.path)) for route in matching]
        best = [route for route, rank in zip(matching, ranks, strict=True) if rank == max(ranks)]
        result = table.lookup(request)
        assert result.route is (best[0] if best else None)
        assert result.tied == (tuple(best) if len(best) > 1 else ())


@pytest.mark.parametrize(
    "winner, loser",
    [
        (
            {"hosts": (HostMatcher("a.x"),)},
            {"hosts": (HostMatcher("*.x"),), "paths": (parse_path("exact", "/a/1"),)},
        ),
        ({"hosts": (HostMatcher("*.y.x"),)}, {"hosts": (HostMatcher("*.x"),)}),
        ({"paths": (parse_path("exact", "/a/1"),)}, {"paths": (parse_path("pattern", "/a/[0-9]+"),)}),
        ({"paths": (parse_path("pattern", "/a/[0-9]+"),)}, {"paths": (parse_path("prefix", "/a/1"),)}),
        ({"paths": (parse_path("prefix", "/a/1"),)}, {"paths": (parse_path("prefix", "/a"),)}),
        ({"zones": frozenset({"east"})}, {}),
        ({"zones": frozenset({"east"}), "headers": (HEADERS[1],)}, {"zones": frozenset({"east"})}),
    ],
)
def test_more_specific_route_wins_in_any_order(winner: dict[str, Any], loser: dict[str, Any]) -> None:
    host = "q.y.x" if "*.y.x" in str(winner) else "a.x"
    request = Request(host, "/a/1", zone="east")
    for line in (1, 3):
        routes = [make_route("winner", line=line, **winner), make_route("loser", line=2, **loser)]
        result = Table(routes, [Pool("p")]).lookup(request)
        assert result.route is routes[0] and not result.tied
    prioritized = [make_route("winner", **winner), make_route("loser", priority=1, **loser)]
    assert Table(prioritized, [Pool("p")]).lookup(request).route is prioritized[1], (
        "a priority wins over everything"
    )


def test_pattern_without_an_automaton_is_rejected() -> None:
    with pytest.raises(NotRegularError):
        path_equivalence_classes([PathMatcher("pattern", r"/(a)\1")])


# Patterns and what a client sends.

MAX_LOOKUP_CPU_S = 3.0 / 300  # 300 bad clients at once, each is owed an error within 3 s


@pytest.mark.parametrize("text", ["/(a+)+b", "/.*/.*/.*/.*x", "/(a|aa)+b", "/(a*)*(b|c)", "/(.*a.*){4}b"])
def test_pattern_is_matched_at_once_whatever_the_path(text: str) -> None:
    """Guards against a path that a pattern tried for hours, with nobody answered (docs/incidents/47-1)."""
    table = Table([make_route("r", paths=(parse_path("pattern", text),))], [Pool("p")])
    for filler, ending in itertools.product(("a", "/a", "ab", "aaab", "a/b"), ("", "!", "b!")):
        path = "/" + (filler * http.MAX_TARGET_BYTES)[: http.MAX_TARGET_BYTES - 4] + ending
        with cpu_limit(MAX_LOOKUP_CPU_S):
            table.lookup(Request("a.x", path))


def test_host_is_looked_up_at_once_however_long() -> None:
    """Guards against a host of 8,000 labels, of which every ending was looked up (docs/incidents/47-1)."""
    table = Table([make_route("r", hosts=(HostMatcher("*.x"), HostMatcher("*.y.x")))], [Pool("p")])
    for host in ("a." * 8000 + "x", "a." * 8000 + "b", "a" * 16000, "a" * 8000 + "." + "b" * 8000):
        with cpu_limit(MAX_LOOKUP_CPU_S):
            table.lookup(Request(normal.host(host), "/" + "a/" * 1000))


@pytest.mark.parametrize(
    "text, reason",
    [
        (r"/(a)\1", "back-references"),
        ("/(?=a).*", "look-around"),
        ("/(?!a).*", "look-around"),
        ("/(?<=/)a", "look-around"),
        ("/(?>a|ab)c", "atomic groups"),
        ("/a++", "possessive repeats"),
        ("/a{,3}", "{0,n}"),
        ("/[[:alpha:]]", "[0-9]"),
        ("/(a{1000}){1000}", "not a pattern"),
        ("/(", "not a pattern"),
    ],
)
def test_pattern_that_is_not_matched_in_one_pass_is_refused(tmp_path: Path, text: str, reason: str) -> None:
    with pytest.raises(ValueError, match=re.escape(reason)) as refused:
        parse_path("pattern", text)
    assert "not a pattern" in str(refused.value)
    with pytest.raises(ConfigError, match=r"\[route:r\] path_pattern"):
        plan_from_text(tmp_path, POOLS + f"[route:r]\npath_pattern = {text}\npools = east\n")


@settings(derandomize=True, max_examples=500, deadline=None)
@given(
    st.lists(st.sampled_from([*"ab/.*+?|()[]^$-", "{0,2}", "[a-b]", "[^a]", r"\d", r"\.", r"\b"]), max_size=8)
)
def test_pattern_means_what_it_means_to_python(parts: list[str]) -> None:
    text = "/" + "".join(parts)
    try:
        pattern = compile_pattern(text)
    except ValueError:
        assume(False)
    for path in ("/", "/a", "/b", "/ab", "/ba", "/a/b", "/aab", "/1", "/a.b", "/.", "/ab/ba", "/a-b"):
        assert (pattern.fullmatch(path) is None) is (re.fullmatch(text, path) is None), path


WORKERS = "".join(
    f"[worker:{worker}]\nzone = {home}\n"
    for worker, home in (("e1", "east"), ("e2", "east"), ("w1", "west"), ("w2", "west"))
)
POOLS = "[pool:east]\nzone = east\n[pool:west]\nzone = west\n"


def verdicts(folder: Path, text: str) -> dict[str, tuple[str, str]]:
    plan = plan_from_text(folder, POOLS + WORKERS + text)
    return {
        result.expectation.name: (result.verdict.value, result.witness)
        for result in check(plan, analyze(plan))
    }


def findings(folder: Path, text: str) -> dict[str, str]:
    plan = plan_from_text(folder, POOLS + text)
    analysis = analyze(plan)
    return {
        f"{finding.kind} {' '.join(finding.routes)}".strip(): finding.witness
        for finding in lint(plan, analysis, check(plan, analysis))
    }


LOOK = "[route:look]\nclass = look once\npools = east\n"


def test_expectation_that_depends_on_draining_workers(tmp_path: Path) -> None:
    results = verdicts(
        tmp_path,
        LOOK
        + "[expect:without]\nclass = look\nexpect = zone east\n"
        + "[expect:with]\nclass = look\nexpect = zone east\nunless = out zone:east\n"
        + "[expect:drained]\nclass = look\nfleet = draining zone:east\nexpect = refused\n"
        + "[expect:one]\nclass = look\nfleet = draining e1\nexpect = workers e2\n",
    )
    assert results["without"][0] == "broken" and "with e1, e2 draining" in results["without"][1]
    assert {results[name][0] for name in ("with", "drained", "one")} == {"holds"}


def test_route_with_three_pools_skips_those_that_are_out(tmp_path: Path) -> None:
    results = verdicts(
        tmp_path,
        "[pool:one]\nname = e1\n[route:r]\nclass = look once\npools = one east west\n"
        + "[expect:first]\nclass = look\nfleet = gone zone:east\nexpect = pool west\n"
        + "[expect:middle]\nclass = look\nfleet = gone e1\nexpect = pool east\n"
        + "[expect:never-refused]\nclass = look\nunless = out zone:west\nnever = refused\n"
        + "[expect:wrong]\nclass = look\nexpect = pool one east\n",
    )
    assert [results[name][0] for name in ("first", "middle", "never-refused", "wrong")] == ["holds"] * 3 + [
        "broken"
    ]
    assert "e1, e2" in results["wrong"][1] and "pool west" in results["wrong"][1]


@pytest.mark.parametrize("out, states, pool", [
    ("fewer-than 2", "gone e1", "west"),
    ("fewer-than 2", "all ready", "east"),
    ("all-draining", "draining zone:east", "west"),
    ("all-draining", "gone e1; draining e2", "west"),
    ("none-ready", "draining e1; gone e2", "west"),
])  # fmt: skip
def test_each_condition_for_a_pool_to_be_out(out: str, states: str, pool: str, tmp_path: Path) -> None:
    text = f"[pool:mine]\nzone = east\nout = {out}\n[route:r]\nclass = look once\npools = mine west\n"
    text += f"[expect:e]\nclass = look\nfleet = {states}\nexpect = pool {pool.replace('east', 'mine')}\n"
    assert verdicts(tmp_path, text)["e"][0] == "holds"


def test_all_draining_pool_keeps_its_requests_when_all_workers_are_gone(tmp_path: Path) -> None:
    """Without draining workers the condition all-draining does not hold.

    The request stays with the pool, whose decision module refuses it.
    """
    text = "[pool:mine]\nzone = east\nout = all-draining\n[route:r]\nclass = look once\npools = mine west\n"
    text += "[expect:e]\nclass = look\nfleet = gone zone:east\nexpect = pool mine\n"
    assert verdicts(tmp_path, text)["e"][0] == "holds"


def test_requests_outside_a_pattern_are_checked(tmp_path: Path) -> None:
    text = "[route:numbers]\npath_pattern = /look/[0-9]+\npools = east\n"
    text += "[route:rest]\nclass = look once\npools = west\n"
    text += "[expect:all]\npath_prefix = /look\nexpect = pool east\n"
    text += "[expect:numbers]\npath_pattern = /look/[1-9][0-9]*\nfleet = all ready\nexpect = pool east\n"
    results = verdicts(tmp_path, text)
    assert results["all"][0] == "broken" and "/look from" in results["all"][1]
    assert results["numbers"][0] == "holds"


def test_header_that_may_be_absent(tmp_path: Path) -> None:
    text = LOOK + "[route:shop]\nclass = look\nheader.X-Shop = present\npools = west\n"
    text += "[expect:any]\nclass = look\nfleet = all ready\nexpect = pool west\n"
    text += "[expect:with]\nclass = look\nheader.x-shop = 7\nfleet = all ready\nexpect = pool west\n"
    text += "[expect:not]\nclass = look\nheader.x-shop = not 7\nfleet = all ready\nexpect = pool west\n"
    results = verdicts(tmp_path, text)
    assert results["with"][0] == "holds" and results["any"][0] == results["not"][0] == "broken"
    assert "x-shop" not in results["not"][1], "an absent header is the smallest witness for not 7"


def test_expectation_about_an_unknown_zone_is_empty(tmp_path: Path) -> None:
    text = LOOK + "[expect:north]\nclass = look\nzone = north\nexpect = zone east\n"
    text += "[expect:nobody]\nclass = look\nfleet = all ready\nunless = out e1\nexpect = pool east\n"
    results = verdicts(tmp_path, text)
    assert results["north"] == ("empty", "no request is meant") and results["nobody"][0] == "holds"
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
    results = verdicts(tmp_path, text)
    assert [results[name][0] for name in ("one", "two", "none", "some")] == [
        "holds",
        "broken",
        "holds",
        "broken",
    ]


def test_exceeded_bound_or_irregular_pattern_is_unknown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    text = LOOK + "[expect:e]\nclass = look\nexpect = pool east\nunless = out zone:east\n"
    monkeypatch.setattr(fleet, "MAX_FLEETS", 2)
    fleet._state_counts.cache_clear()
    assert verdicts(tmp_path, text)["e"][0] == "unknown"
    text += "[route:odd]\npath_pattern = /a\\b.*\npools = west\n"
    assert verdicts(tmp_path, text)["e"][0] == "unknown"


def test_same_worker_in_two_pools(tmp_path: Path) -> None:
    text = "[pool:e1]\nname = e1\n[route:one]\nclass = once\npools = e1\n" + LOOK.replace("look once", "look")
    text += "[expect:shared]\nclass = look\nfleet = gone e2\nexpect = workers e1\n"
    text += "[expect:apart]\nclass = once\nnever = workers e2\n"
    assert {verdict for verdict, _ in verdicts(tmp_path, text).values()} == {"holds"}


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
def test_lint_reports_each_kind_with_a_witness(text: str, kind: str, witness: str, tmp_path: Path) -> None:
    found = findings(tmp_path, text)
    assert kind in found, found
    assert witness in found[kind]


def test_difference_lists_all_changes_and_only_those(tmp_path: Path) -> None:
    rng = random.Random(5)
    for _ in range(25):
        tables = []
        for _ in range(2):
            drawn = [
                make_route(
                    f"r{index}",
                    rng.choice("pq"),
                    line=index,
                    hosts=tuple(rng.sample(HOSTS, rng.randint(0, 1))),
                    paths=tuple(rng.sample(PATHS, rng.randint(0, 2))),
                    zones=frozenset(rng.sample(["east"], rng.randint(0, 1))),
                )
                for index in range(3)
            ]
            tables.append(Table(drawn, [Pool("p"), Pool("q")]))
        old, new = tables
        changes = difference(old, new, ZONES)

        def destination(table: Table, request: Request) -> object:
            result = table.lookup(request)
            if result.tied:
                return frozenset(route.name for route in result.tied)
            return result.route and result.route.pools

        differ = [request for request in REQUESTS if destination(old, request) != destination(new, request)]
        assert bool(changes) >= bool(differ)
        if not changes:
            assert not differ


def test_verdicts_have_their_documented_names() -> None:
    assert {verdict.value for verdict in Verdict} == {"holds", "broken", "unknown", "empty"}
