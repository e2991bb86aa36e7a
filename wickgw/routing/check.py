"""Checks expectations for all requests and fleets that they cover.

The verdicts are `holds`, `broken` (with the smallest request and fleet that break the expectation), `empty`
(the expectation covers no request or no fleet) and `unknown` (a bound is exceeded, or a pattern has no finite
automaton). The table itself is evaluated for every equivalence class of requests. The decision module itself
selects the workers. The verdict is `holds` only if all requests and fleets were evaluated.
"""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.routing.automata import BoundExceededError, NotRegularError
from wickgw.routing.fleet import Fleet, FleetCondition, FleetSet, Outcome, distinct_fleets, outcome
from wickgw.routing.match import PathMatcher, Request, RequestMatcher
from wickgw.routing.space import EquivalenceClass, equivalence_classes
from wickgw.routing.table import Pool, Route, Table, Worker

SEEDS = 6  # decision modules created for each combination of worker states, each with another seed
REQUESTS_PER_SEED = 8  # requests that each decision module assigns


class Verdict(Enum):
    """The result of checking an expectation."""

    HOLDS = "holds"
    BROKEN = "broken"
    UNKNOWN = "unknown"
    EMPTY = "empty"


@dataclass(frozen=True, slots=True)
class ExpectedResult:
    """The result that an expectation names: one of `values`, where the kind has values."""

    kind: str  # pool, zone, workers, refused, not-found or attempts
    values: tuple[str, ...] = ()

    def includes(self, worker: Worker) -> bool:
        """Return whether `worker` is one of the expected workers."""
        if self.kind == "zone":
            return worker.zone in self.values
        return self.kind != "workers" or Pool("", names=self.values).includes(worker)

    def describe(self) -> str:
        """Return the result as it is written in an operator's file."""
        return " ".join((self.kind, *self.values))


@dataclass(frozen=True, slots=True)
class Expectation:
    """The result that an operator expects for a set of requests in a set of fleets."""

    name: str
    matcher: RequestMatcher
    fleet_set: FleetSet
    expected: ExpectedResult
    never: bool = False  # the result must not occur
    unless: tuple[FleetCondition, ...] = ()  # fleets that fulfil any of these are excluded
    why: str = ""  # the operator's explanation, printed if the expectation is broken
    line: int = 0  # of the section in the operator's file


@dataclass(frozen=True, slots=True)
class CheckResult:
    """The verdict on an expectation."""

    expectation: Expectation
    verdict: Verdict
    witness: str = ""  # the request and fleet that break the expectation, or the reason for the verdict
    equivalence_classes: int = 0  # the number of equivalence classes that the expectation covers


@dataclass(frozen=True, slots=True)
class CheckPlan:
    """The routes, expectations and lists of names in an operator's file, as the checks need them."""

    table: Table
    zones: tuple[str, ...] = ()
    workers: tuple[Worker, ...] = ()
    classes: tuple[str, ...] = ()  # job classes
    expectations: tuple[Expectation, ...] = ()
    attempts: int = 6  # the maximum of the platform


@dataclass(slots=True)
class Analysis:
    """The table's result for every equivalence class of requests, shared by checks and lint."""

    # Each equivalence class with its route and the tied routes.
    equivalence_classes: list[tuple[EquivalenceClass, Route | None, tuple[Route, ...]]] = field(
        default_factory=list
    )
    matching_routes: list[list[Route]] = field(default_factory=list)  # for each equivalence class
    incomplete: str = ""  # why the analysis is incomplete; empty if it is complete


def analyze(plan: CheckPlan) -> Analysis:
    """Partition all requests into equivalence classes, and look up the route of each."""
    matchers = [expectation.matcher for expectation in plan.expectations]
    analysis = Analysis()
    first_route = len(matchers)
    class_matchers = [RequestMatcher(classes=_class_paths((name,))) for name in plan.classes]
    try:
        for equivalence_class in equivalence_classes(
            [*matchers, *(route.matcher for route in plan.table.routes), *class_matchers], plan.zones
        ):
            result = plan.table.lookup(equivalence_class.witness)
            analysis.equivalence_classes.append((equivalence_class, result.route, result.tied))
            analysis.matching_routes.append(
                [
                    route
                    for index, route in enumerate(plan.table.routes)
                    if first_route + index in equivalence_class.matching
                ]
            )
    except (BoundExceededError, NotRegularError) as error:
        analysis.incomplete = str(error)
    return analysis


def _class_paths(names: Sequence[str]) -> tuple[PathMatcher, ...]:
    return tuple(PathMatcher("prefix", f"/{name}") for name in names)


def check(plan: CheckPlan, analysis: Analysis) -> list[CheckResult]:
    """Return the verdict on each expectation, in the order of the file."""
    covered: dict[int, list[int]] = defaultdict(list)
    for position, (equivalence_class, _, _) in enumerate(analysis.equivalence_classes):
        for index in equivalence_class.matching:
            if index < len(plan.expectations):
                covered[index].append(position)
    return [
        _check_expectation(plan, analysis, index, expectation, covered[index])
        for index, expectation in enumerate(plan.expectations)
    ]


def _check_expectation(
    plan: CheckPlan, analysis: Analysis, index: int, expectation: Expectation, covered: list[int]
) -> CheckResult:
    # The verdict is the same for all equivalence classes that lead to the same route. Only the class with the
    # smallest witness is checked, so that this witness is reported.
    by_route: dict[str, tuple[Request, Route | None, tuple[Route, ...]]] = {}
    for position in covered:
        equivalence_class, route, tied = analysis.equivalence_classes[position]
        key = (route.name if route else "") + (" tied" if tied else "")
        smallest = by_route.get(key)
        if smallest is None or _size(equivalence_class.witness) < _size(smallest[0]):
            by_route[key] = equivalence_class.witness, route, tied
    unknown = analysis.incomplete
    broken: list[tuple[int, str]] = []
    any_fleet = False
    for request, route, tied in by_route.values():
        if tied:
            names = " and ".join(tied_route.name for tied_route in tied)
            broken.append((_size(request), f"{request.describe()}: routes {names} tie"))
            continue
        try:
            covers_fleet, violation = _check_route(plan, expectation, request, route)
            any_fleet = any_fleet or covers_fleet
            if violation:
                broken.append((_size(request), violation))
        except BoundExceededError as error:
            unknown = str(error)
    if broken:
        return CheckResult(expectation, Verdict.BROKEN, min(broken)[1], len(covered))
    if unknown:
        return CheckResult(expectation, Verdict.UNKNOWN, unknown, len(covered))
    if not any_fleet:
        reason = "no request is meant" if not covered else "no fleet is meant"
        return CheckResult(expectation, Verdict.EMPTY, reason, len(covered))
    return CheckResult(expectation, Verdict.HOLDS, "", len(covered))


def _size(request: Request) -> int:
    """Return the size by which the smallest witness is selected."""
    return len(request.host) + len(request.path) + 8 * len(request.headers)


def _check_route(
    plan: CheckPlan, expectation: Expectation, request: Request, route: Route | None
) -> tuple[bool, str]:
    """Return whether the expectation covers any fleet, and the violation; empty if there is none."""
    expected = expectation.expected
    if route is None or expected.kind in ("not-found", "attempts"):
        # These results don't depend on the fleet.
        max_attempts = plan.attempts if route is None else _max_attempts(plan, route)
        if expected.kind == "attempts":
            fulfilled = route is not None and max_attempts <= int(expected.values[0])
        else:
            fulfilled = expected.kind == "not-found" and route is None
        if fulfilled is not expectation.never:
            return True, ""
        actual = (
            f"takes route {route.name} (at most {max_attempts} attempts)" if route else "is taken by no route"
        )
        return True, f"{request.describe()} {actual}"
    selections = [condition.selector.includes for condition in expectation.unless]
    if expected.kind in ("zone", "workers"):
        selections.append(expected.includes)
    covers_fleet = False
    for fleet in distinct_fleets(plan.table, route, expectation.fleet_set, plan.workers, selections):
        if any(condition.holds(fleet) for condition in expectation.unless):
            continue
        covers_fleet = True
        route_outcome = outcome(plan.table, route, fleet)
        violation = _outcome_violation(expectation, route_outcome) or _selection_violation(
            expectation, plan.table, route_outcome, fleet
        )
        if violation:
            return True, f"{request.describe()} with {fleet.describe()}: route {route.name}, {violation}"
    return covers_fleet, ""


def _max_attempts(plan: CheckPlan, route: Route) -> int:
    """Return the maximum number of attempts for a request that takes `route`."""
    return plan.attempts if route.attempts is None else min(route.attempts, plan.attempts)


def _outcome_violation(expectation: Expectation, route_outcome: Outcome) -> str:
    """Return how an outcome violates the expectation; empty if it does not."""
    expected, actual = (
        expectation.expected,
        "refused (every pool is out)" if route_outcome.refused else f"pool {route_outcome.pool}",
    )
    if expected.kind == "refused":
        return actual if route_outcome.refused is expectation.never else ""
    if expected.kind == "pool":
        fulfilled = not route_outcome.refused and route_outcome.pool in expected.values
        return actual if fulfilled is expectation.never else ""
    # Zone or workers: only expected workers may be selected (with `never`: no expected worker).
    if route_outcome.refused:
        return "" if expectation.never else actual
    unexpected = sorted(
        worker.name for worker in route_outcome.workers if expected.includes(worker) is expectation.never
    )
    return f"{actual}, worker {unexpected[0]}" if unexpected else ""


def _selection_violation(expectation: Expectation, table: Table, route_outcome: Outcome, fleet: Fleet) -> str:
    """Return how the decision module's own selection violates the expectation; empty if it does not.

    The decision module of the pool selects workers with several seeds.
    """
    if route_outcome.refused or expectation.expected.kind not in ("zone", "workers"):
        return ""
    indexes = fleet.indexed.indexes_of(table.pools[route_outcome.pool])
    workers = {fleet.indexed.workers[index].name: fleet.indexed.workers[index] for index in indexes}
    states = tuple(
        (fleet.indexed.workers[index].name, fleet.indexed.workers[index].zone, fleet.states[index].value)
        for index in indexes
    )
    for name in selected_workers(states):
        if expectation.expected.includes(workers[name]) is expectation.never:
            return f"pool {route_outcome.pool}, the decision module picks {name}"
    return ""


# The results of `selected_workers`, cached by its argument.
_SELECTED: dict[tuple[tuple[str, str, str], ...], frozenset[str]] = {}


def selected_workers(states: tuple[tuple[str, str, str], ...]) -> frozenset[str]:
    """Return the workers that the decision module selects with several seeds.

    Each worker is a tuple of name, zone and state.
    """
    if states in _SELECTED:
        return _SELECTED[states]
    zones = sorted({zone for _, zone, _ in states})
    listed = [
        i.Entry(name, i.Health(state), zones.index(zone)) for name, zone, state in states if state != "gone"
    ]
    selected: set[str] = set()
    for seed in range(SEEDS):
        settings = i.Settings(
            classes=(i.RequestClass("any", latency_target=0.1, deadline=1.0),), zones=tuple(zones)
        )
        balancer = Balancer(settings, seed)
        balancer.handle(i.Began(), 0.0)
        balancer.handle(i.WorkerList(i.ListKind.REPLACE, tuple(listed)), 0.0)
        balancer.handle(i.WorkerList(i.ListKind.UPDATE, tuple(listed)), 0.0)
        for number in range(REQUESTS_PER_SEED):
            for action in balancer.handle(i.Arrival(f"{number}", 0, 1.0), 0.01 * number):
                if isinstance(action, i.Send):
                    selected.add(action.worker)
    if len(_SELECTED) > 10_000:
        _SELECTED.clear()
    _SELECTED[states] = frozenset(selected)
    return _SELECTED[states]
