"""What is wrong with a table whatever is expected of it, and what differs between two; each with a witness.

Owns the kinds of findings and which of them are errors. Everything is read off the survey of cells, so a
finding is about all requests. It must never report what no request would meet.
"""

import itertools
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from wickgw.routing.automata import NotRegular, TooLarge
from wickgw.routing.check import Judgement, Plan, Survey, Verdict
from wickgw.routing.match import Request
from wickgw.routing.space import cells
from wickgw.routing.table import Pool, Route, Table, Worker

ERRORS = frozenset(
    {
        "tie",
        "shadowed",
        "pool-unfillable",
        "class-without-route",
        "unknown-zone",
        "expectation-empty",
        "unknown",
    }
)


@dataclass(frozen=True, slots=True)
class Finding:
    """Something that its author should know."""

    kind: str
    routes: tuple[str, ...]  # or pools, or expectations
    line: int
    witness: str

    @property
    def error(self) -> bool:
        """Whether the file should not be used as it is."""
        return self.kind in ERRORS


def lint(plan: Plan, found: Survey, judgements: Sequence[Judgement]) -> list[Finding]:
    """All findings, errors first."""
    findings = [*_routes(plan, found), *_pools(plan), *_zones(plan), *_classes(plan, found)]
    findings += [
        Finding("expectation-empty", (j.expectation.name,), j.expectation.line, j.witness)
        for j in judgements
        if j.verdict is Verdict.EMPTY
    ]
    if found.trouble:
        findings.append(Finding("unknown", (), 0, found.trouble))
    return sorted(findings, key=lambda f: (not f.error, f.line, f.kind))


def _routes(plan: Plan, found: Survey) -> list[Finding]:
    wins: Counter[str] = Counter()
    meets: Counter[str] = Counter()
    losing: dict[str, tuple[Request, str]] = {}
    pairs: dict[tuple[str, str], list[Request]] = defaultdict(list)
    ties: dict[tuple[str, ...], Request] = {}
    for (cell, winner, tied), matched in zip(found.cells, found.matched, strict=True):
        if tied:
            names = tuple(r.name for r in tied)
            if names not in ties or len(cell.witness.path) < len(ties[names].path):
                ties[names] = cell.witness
        for met in matched:
            meets[met.name] += 1
            if winner is not None and met is not winner:
                losing.setdefault(met.name, (cell.witness, winner.name))
        wins.update([winner.name] if winner is not None else [])
        for a, b in itertools.combinations(matched, 2):
            pairs[a.name, b.name].append(cell.witness)
    by_name = {route.name: route for route in plan.table.routes}
    findings = [Finding("tie", names, by_name[names[0]].line, r.told()) for names, r in ties.items()]
    for name, route in by_name.items() if not found.trouble else ():
        if not meets[name]:
            told = "no request from these zones meets it"
            findings.append(Finding("shadowed", (name,), route.line, told))
        elif not wins[name]:
            request, other = losing.get(name, (None, ""))
            if request is not None:
                told = f"{request.told()} takes route {other}"
                findings.append(Finding("shadowed", (name, other), route.line, told))
    for (one, other), both in pairs.items():
        partial = len(both) < meets[one] and len(both) < meets[other]
        if partial and by_name[one].pools != by_name[other].pools:
            first = plan.table.take(both[0]).route
            told = f"{both[0].told()} takes route {first.name if first else 'none'}"
            findings.append(Finding("overlap", (one, other), by_name[one].line, told))
    return findings


def _pools(plan: Plan) -> list[Finding]:
    findings = []
    used = {name for route in plan.table.routes for name in route.pools}
    for name, pool in plan.table.pools.items():
        if name not in used:
            findings.append(Finding("pool-unreached", (name,), 0, "no route names it"))
        if plan.zones and pool.zones and not pool.zones & set(plan.zones):
            findings.append(Finding("pool-unfillable", (name,), 0, f"no zone is called {_words(pool.zones)}"))
        elif plan.workers and not any(pool.has(w) for w in plan.workers):
            findings.append(Finding("pool-unfillable", (name,), 0, "no worker of the file is one of its own"))
    for route in plan.table.routes:
        for k, name in enumerate(route.pools):
            pools, later = plan.table.pools, plan.table.pools[name]
            earlier = [p for p in route.pools[:k] if _covers(pools[p], later, plan.workers)]
            if earlier:
                told = f"whenever pool {earlier[0]} is out, so is {name}"
                findings.append(Finding("pool-unreached", (route.name, name), route.line, told))
    return findings


def _covers(first: Pool, later: Pool, workers: Sequence[Worker]) -> bool:
    """Whether the later one can't serve when the first is out: all its workers are the first's, which is
    out only when it has none ready."""
    plain = first.out == "none-ready" and later.out in ("none-ready", "fewer-than")
    mine = [w for w in workers if later.has(w)]
    return plain and bool(mine) and all(first.has(w) for w in mine)


def _words(values: frozenset[str]) -> str:
    return " or ".join(sorted(values))


def _zones(plan: Plan) -> list[Finding]:
    if not plan.zones:
        return []
    findings = []
    for e in plan.expectations:
        named = set(e.given.zones) | (set(e.wanted.values) if e.wanted.kind == "zone" else set())
        named |= {s.value for _, s in e.fleet.but if s.kind == "zone"}
        named |= {c.selector.value for c in e.unless if c.selector.kind == "zone"}
        for zone in sorted(named - set(plan.zones)):
            findings.append(Finding("unknown-zone", (e.name,), e.line, f"no zone is called {zone}"))
    for route in plan.table.routes:
        for zone in sorted(route.match.zones - set(plan.zones)):
            findings.append(Finding("unknown-zone", (route.name,), route.line, f"no zone is called {zone}"))
    return findings


def _classes(plan: Plan, found: Survey) -> list[Finding]:
    served = {cell.witness.job_class for cell, route, _ in found.cells if route is not None}
    return [
        Finding("class-without-route", (), 0, f"class {name} is taken by no route")
        for name in plan.classes
        if name not in served and not found.trouble
    ]


@dataclass(frozen=True, slots=True)
class Moved:
    """Requests that go elsewhere, from one table to another."""

    old: str
    new: str
    kinds: int  # cells
    witness: str
    hosts: tuple[str, ...]


def difference(old: Table, new: Table, zones: Sequence[str]) -> list[Moved]:
    """Which requests go elsewhere, all of them. Raises TooLarge, NotRegular."""
    moved: dict[tuple[str, str], list[Request]] = defaultdict(list)
    for cell in cells([r.match for r in (*old.routes, *new.routes)], zones):
        before, after = _goes(old, cell.witness), _goes(new, cell.witness)
        if before != after:
            moved[before, after].append(cell.witness)
    found = []
    for (before, after), requests in moved.items():
        smallest = min(requests, key=lambda r: (len(r.host) + len(r.path) + 8 * len(r.headers), r.told()))
        hosts = tuple(sorted({r.host for r in requests}))[:8]
        found.append(Moved(before, after, len(requests), smallest.told(), hosts))
    return sorted(found, key=lambda m: (-m.kinds, m.old, m.new))


def _goes(table: Table, request: Request) -> str:
    """All that a table says of a request, but for the route's name."""
    taken = table.take(request)
    if taken.route is None:
        return "not found"
    if taken.tied:
        return "tie of " + " and ".join(sorted(r.name for r in taken.tied))
    return _told(table, taken.route)


def _told(table: Table, route: Route) -> str:
    pools = []
    for name in route.pools:
        pool = table.pools[name]
        chosen = [
            f"zone {_words(pool.zones)}" if pool.zones else "",
            f"model {_words(pool.models)}" if pool.models else "",
            f"group {_words(frozenset(map(str, pool.groups)))}" if pool.groups else "",
            f"name {' or '.join(pool.names)}" if pool.names else "",
            f"out when {pool.out} {pool.fewer_than}" if pool.out == "fewer-than" else f"out when {pool.out}",
        ]
        pools.append(f"{name} ({', '.join(c for c in chosen if c)})")
    limits = f", at most {route.attempts} attempts" if route.attempts is not None else ""
    limits += f", at most {route.time_limit:g} s" if route.time_limit is not None else ""
    return " then ".join(pools) + limits


__all__ = ["ERRORS", "Finding", "Moved", "NotRegular", "TooLarge", "difference", "lint"]
