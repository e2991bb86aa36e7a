"""Finds mistakes in a table that need no expectations, and differences between two tables.

Each finding has a witness. This module defines the kinds of findings and which of them are errors. All
findings are derived from the equivalence classes of requests, so they hold for all requests, and none is
about a request that can't occur.
"""

import itertools
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from wickgw.routing.automata import BoundExceededError, NotRegularError
from wickgw.routing.check import Analysis, CheckPlan, CheckResult, Verdict
from wickgw.routing.match import Request
from wickgw.routing.space import equivalence_classes
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
    """A mistake, or something unusual, in an operator's file."""

    kind: str
    routes: tuple[str, ...]  # names of routes, pools or expectations
    line: int  # of the section in the operator's file; 0 if there is none
    witness: str  # a request that shows the finding, or an explanation

    @property
    def error(self) -> bool:
        """Whether the finding is an error: the file should not be used before it is corrected."""
        return self.kind in ERRORS


def lint(plan: CheckPlan, analysis: Analysis, results: Sequence[CheckResult]) -> list[Finding]:
    """Return all findings, errors first."""
    findings = [
        *_route_findings(plan, analysis),
        *_pool_findings(plan),
        *_zone_findings(plan),
        *_class_findings(plan, analysis),
    ]
    findings += [
        Finding("expectation-empty", (result.expectation.name,), result.expectation.line, result.witness)
        for result in results
        if result.verdict is Verdict.EMPTY
    ]
    if analysis.incomplete:
        findings.append(Finding("unknown", (), 0, analysis.incomplete))
    return sorted(findings, key=lambda finding: (not finding.error, finding.line, finding.kind))


def _route_findings(plan: CheckPlan, analysis: Analysis) -> list[Finding]:
    """Return ties, shadowed routes and partly overlapping routes that lead to different pools."""
    wins: Counter[str] = Counter()
    matches: Counter[str] = Counter()
    lost_to: dict[str, tuple[Request, str]] = {}
    pairs: dict[tuple[str, str], list[Request]] = defaultdict(list)
    ties: dict[tuple[str, ...], Request] = {}
    for (equivalence_class, winner, tied), matched in zip(
        analysis.equivalence_classes, analysis.matching_routes, strict=True
    ):
        if tied:
            names = tuple(item.name for item in tied)
            if names not in ties or len(equivalence_class.witness.path) < len(ties[names].path):
                ties[names] = equivalence_class.witness
        for candidate in matched:
            matches[candidate.name] += 1
            if winner is not None and candidate is not winner:
                lost_to.setdefault(candidate.name, (equivalence_class.witness, winner.name))
        wins.update([winner.name] if winner is not None else [])
        for first_match, second_match in itertools.combinations(matched, 2):
            pairs[first_match.name, second_match.name].append(equivalence_class.witness)
    by_name = {route.name: route for route in plan.table.routes}
    findings = [
        Finding("tie", names, by_name[names[0]].line, item.describe()) for names, item in ties.items()
    ]
    for name, route in by_name.items() if not analysis.incomplete else ():
        if not matches[name]:
            explanation = "no request from these zones meets it"
            findings.append(Finding("shadowed", (name,), route.line, explanation))
        elif not wins[name]:
            lost, other = lost_to.get(name, (None, ""))
            if lost is not None:
                explanation = f"{lost.describe()} takes route {other}"
                findings.append(Finding("shadowed", (name, other), route.line, explanation))
    for (one, other), requests in pairs.items():
        partial = len(requests) < matches[one] and len(requests) < matches[other]
        if partial and by_name[one].pools != by_name[other].pools:
            winning = plan.table.lookup(requests[0]).route
            explanation = f"{requests[0].describe()} takes route {winning.name if winning else 'none'}"
            findings.append(Finding("overlap", (one, other), by_name[one].line, explanation))
    return findings


def _pool_findings(plan: CheckPlan) -> list[Finding]:
    """Return pools that no request can reach and pools that no worker can belong to."""
    findings = []
    used = {name for route in plan.table.routes for name in route.pools}
    for name, pool in plan.table.pools.items():
        if name not in used:
            findings.append(Finding("pool-unreached", (name,), 0, "no route names it"))
        if plan.zones and pool.zones and not pool.zones & set(plan.zones):
            findings.append(
                Finding("pool-unfillable", (name,), 0, f"no zone is called {_join_or(pool.zones)}")
            )
        elif plan.workers and not any(pool.includes(worker) for worker in plan.workers):
            findings.append(Finding("pool-unfillable", (name,), 0, "no worker of the file is one of its own"))
    for route in plan.table.routes:
        for index, name in enumerate(route.pools):
            pools, later = plan.table.pools, plan.table.pools[name]
            earlier = [
                candidate
                for candidate in route.pools[:index]
                if _covers(pools[candidate], later, plan.workers)
            ]
            if earlier:
                explanation = f"whenever pool {earlier[0]} is out, so is {name}"
                findings.append(Finding("pool-unreached", (route.name, name), route.line, explanation))
    return findings


def _covers(first: Pool, later: Pool, workers: Sequence[Worker]) -> bool:
    """Return whether `later` is always out when `first` is out.

    This is so if `first` is out only without ready workers, and contains all workers of `later`.
    """
    comparable = first.out == "none-ready" and later.out in ("none-ready", "fewer-than")
    later_workers = [worker for worker in workers if later.includes(worker)]
    return comparable and bool(later_workers) and all(first.includes(worker) for worker in later_workers)


def _join_or(values: frozenset[str]) -> str:
    return " or ".join(sorted(values))


def _zone_findings(plan: CheckPlan) -> list[Finding]:
    """Return uses of zones that are not in the list of zones. Without such a list there are no findings."""
    if not plan.zones:
        return []
    findings = []
    for expectation in plan.expectations:
        zone_names = set(expectation.matcher.zones) | (
            set(expectation.expected.values) if expectation.expected.kind == "zone" else set()
        )
        zone_names |= {
            selector.value for _, selector in expectation.fleet_set.exceptions if selector.kind == "zone"
        }
        zone_names |= {
            condition.selector.value for condition in expectation.unless if condition.selector.kind == "zone"
        }
        for zone in sorted(zone_names - set(plan.zones)):
            findings.append(
                Finding("unknown-zone", (expectation.name,), expectation.line, f"no zone is called {zone}")
            )
    for route in plan.table.routes:
        for zone in sorted(route.matcher.zones - set(plan.zones)):
            findings.append(Finding("unknown-zone", (route.name,), route.line, f"no zone is called {zone}"))
    return findings


def _class_findings(plan: CheckPlan, analysis: Analysis) -> list[Finding]:
    """Return job classes without a route. With an incomplete analysis there are no findings."""
    served = {
        equivalence_class.witness.job_class
        for equivalence_class, route, _ in analysis.equivalence_classes
        if route is not None
    }
    return [
        Finding("class-without-route", (), 0, f"class {name} is taken by no route")
        for name in plan.classes
        if name not in served and not analysis.incomplete
    ]


@dataclass(frozen=True, slots=True)
class RouteChange:
    """Requests with the same change of destination between two tables."""

    old: str  # the destination in the old table
    new: str  # the destination in the new table
    kinds: int  # the number of equivalence classes of requests
    witness: str  # the smallest request
    hosts: tuple[str, ...]  # the first 8 hosts


def difference(old: Table, new: Table, zones: Sequence[str]) -> list[RouteChange]:
    """Return all changes of destination between two tables, the most frequent first.

    Raises BoundExceededError and NotRegularError.
    """
    changed: dict[tuple[str, str], list[Request]] = defaultdict(list)
    for equivalence_class in equivalence_classes(
        [item.matcher for item in (*old.routes, *new.routes)], zones
    ):
        before, after = (
            _destination(old, equivalence_class.witness),
            _destination(new, equivalence_class.witness),
        )
        if before != after:
            changed[before, after].append(equivalence_class.witness)
    changes = []
    for (before, after), requests in changed.items():
        smallest = min(
            requests,
            key=lambda item: (len(item.host) + len(item.path) + 8 * len(item.headers), item.describe()),
        )
        hosts = tuple(sorted({item.host for item in requests}))[:8]
        changes.append(RouteChange(before, after, len(requests), smallest.describe(), hosts))
    return sorted(changes, key=lambda change: (-change.kinds, change.old, change.new))


def _destination(table: Table, request: Request) -> str:
    """Return the result of a look-up as text, without the route's name unless routes tie."""
    result = table.lookup(request)
    if result.route is None:
        return "not found"
    if result.tied:
        return "tie of " + " and ".join(sorted(route.name for route in result.tied))
    return _describe_route(table, result.route)


def _describe_route(table: Table, route: Route) -> str:
    """Return the pools of a route, how they select workers, and the route's limits, as text."""
    pools = []
    for name in route.pools:
        pool = table.pools[name]
        criteria = [
            f"zone {_join_or(pool.zones)}" if pool.zones else "",
            f"model {_join_or(pool.models)}" if pool.models else "",
            f"group {_join_or(frozenset(map(str, pool.groups)))}" if pool.groups else "",
            f"name {' or '.join(pool.names)}" if pool.names else "",
            f"out when {pool.out} {pool.fewer_than}" if pool.out == "fewer-than" else f"out when {pool.out}",
        ]
        pools.append(f"{name} ({', '.join(criterion for criterion in criteria if criterion)})")
    limits = f", at most {route.attempts} attempts" if route.attempts is not None else ""
    limits += f", at most {route.time_limit_s:g} s" if route.time_limit_s is not None else ""
    return " then ".join(pools) + limits


__all__ = ["ERRORS", "BoundExceededError", "Finding", "NotRegularError", "RouteChange", "difference", "lint"]
