"""Expectations, decided for all requests and fleets that they speak of.

Owns the verdicts: `holds`, `broken` (with the smallest request and fleet that break it), `empty` (nothing is
meant), `unknown` (past a bound, or a pattern that no automaton stands for). The table itself is asked about
every cell; the decision module itself is asked whom it picks. It must never say `holds` for what it has not
looked at whole.
"""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.routing.automata import NotRegular, TooLarge
from wickgw.routing.fleet import Condition, Fleet, Given, Outcome, fleets, outcome
from wickgw.routing.match import Match, Path, Request
from wickgw.routing.space import Cell, cells
from wickgw.routing.table import Pool, Route, Table, Worker

SEEDS = 6  # of the decision module, for each pool and fleet that it is asked about
PICKS = 8  # by each


class Verdict(Enum):
    """What became of an expectation."""

    HOLDS = "holds"
    BROKEN = "broken"
    UNKNOWN = "unknown"
    EMPTY = "empty"


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a request should come to: one of these."""

    kind: str  # pool, zone, workers, refused, not-found, attempts
    values: tuple[str, ...] = ()

    def has(self, worker: Worker) -> bool:
        """Whether a worker is one that may be picked."""
        if self.kind == "zone":
            return worker.zone in self.values
        return self.kind != "workers" or Pool("", names=self.values).has(worker)

    def told(self) -> str:
        """As an operator writes it."""
        return " ".join((self.kind, *self.values))


@dataclass(frozen=True, slots=True)
class Expectation:
    """What an operator expects, of a set of requests in a set of fleets."""

    name: str
    given: Match
    fleet: Given
    wanted: Wanted
    never: bool = False
    unless: tuple[Condition, ...] = ()  # any of them excuses
    why: str = ""
    line: int = 0


@dataclass(frozen=True, slots=True)
class Judgement:
    """An expectation and what became of it."""

    expectation: Expectation
    verdict: Verdict
    witness: str = ""
    cells: int = 0


@dataclass(frozen=True, slots=True)
class Plan:
    """All that a file says."""

    table: Table
    zones: tuple[str, ...] = ()
    workers: tuple[Worker, ...] = ()
    classes: tuple[str, ...] = ()
    expectations: tuple[Expectation, ...] = ()
    attempts: int = 6  # as many as the platform allows


@dataclass(slots=True)
class Survey:
    """Every cell of a plan, asked of its table once: checking and linting read the same."""

    cells: list[tuple[Cell, Route | None, tuple[Route, ...]]] = field(default_factory=list)
    matched: list[list[Route]] = field(default_factory=list)
    trouble: str = ""  # why it is not whole


def survey(plan: Plan) -> Survey:
    """Cut all requests into cells, and ask the table about each."""
    matches = [e.given for e in plan.expectations]
    found = Survey()
    offset = len(matches)
    extra = [Match(classes=_class_paths((name,))) for name in plan.classes]
    try:
        for cell in cells([*matches, *(r.match for r in plan.table.routes), *extra], plan.zones):
            taken = plan.table.take(cell.witness)
            found.cells.append((cell, taken.route, taken.tied))
            found.matched.append([r for k, r in enumerate(plan.table.routes) if offset + k in cell.meant])
    except (TooLarge, NotRegular) as error:
        found.trouble = str(error)
    return found


def _class_paths(names: Sequence[str]) -> tuple[Path, ...]:
    return tuple(Path("prefix", f"/{name}") for name in names)


def check(plan: Plan, found: Survey) -> list[Judgement]:
    """A verdict on each expectation, in the file's order."""
    meant: dict[int, list[int]] = defaultdict(list)
    for at, (cell, _, _) in enumerate(found.cells):
        for k in cell.meant:
            if k < len(plan.expectations):
                meant[k].append(at)
    return [_judge(plan, found, k, e, meant[k]) for k, e in enumerate(plan.expectations)]


def _judge(plan: Plan, found: Survey, index: int, expectation: Expectation, meant: list[int]) -> Judgement:
    # Cells of one route are alike to an expectation, but for the witness: the smallest stands for all.
    by_route: dict[str, tuple[Request, Route | None, tuple[Route, ...]]] = {}
    for at in meant:
        cell, route, tied = found.cells[at]
        key = (route.name if route else "") + (" tied" if tied else "")
        old = by_route.get(key)
        if old is None or _size(cell.witness) < _size(old[0]):
            by_route[key] = cell.witness, route, tied
    unknown = found.trouble
    broken: list[tuple[int, str]] = []
    any_fleet = False
    for request, route, tied in by_route.values():
        if tied:
            names = " and ".join(r.name for r in tied)
            broken.append((_size(request), f"{request.told()}: routes {names} tie"))
            continue
        try:
            seen, told = _judge_route(plan, expectation, request, route)
            any_fleet = any_fleet or seen
            if told:
                broken.append((_size(request), told))
        except TooLarge as error:
            unknown = str(error)
    if broken:
        return Judgement(expectation, Verdict.BROKEN, min(broken)[1], len(meant))
    if unknown:
        return Judgement(expectation, Verdict.UNKNOWN, unknown, len(meant))
    if not any_fleet:
        what = "no request is meant" if not meant else "no fleet is meant"
        return Judgement(expectation, Verdict.EMPTY, what, len(meant))
    return Judgement(expectation, Verdict.HOLDS, "", len(meant))


def _size(request: Request) -> int:
    return len(request.host) + len(request.path) + 8 * len(request.headers)


def _judge_route(
    plan: Plan, expectation: Expectation, request: Request, route: Route | None
) -> tuple[bool, str]:
    """Whether any fleet was meant, and what breaks the expectation; empty if nothing does."""
    wanted = expectation.wanted
    if route is None or wanted.kind in ("not-found", "attempts"):
        # No fleet changes these.
        most = plan.attempts if route is None else _attempts(plan, route)
        if wanted.kind == "attempts":
            reached = route is not None and most <= int(wanted.values[0])
        else:
            reached = wanted.kind == "not-found" and route is None
        if reached is not expectation.never:
            return True, ""
        what = f"takes route {route.name} (at most {most} attempts)" if route else "is taken by no route"
        return True, f"{request.told()} {what}"
    apart = [condition.selector.has for condition in expectation.unless]
    if wanted.kind in ("zone", "workers"):
        apart.append(wanted.has)
    seen = False
    for fleet in fleets(plan.table, route, expectation.fleet, plan.workers, apart):
        if any(condition.holds(fleet) for condition in expectation.unless):
            continue
        seen = True
        goes = outcome(plan.table, route, fleet)
        wrong = _wrong(expectation, goes) or _picked_wrong(expectation, plan.table, goes, fleet)
        if wrong:
            return True, f"{request.told()} with {fleet.told()}: route {route.name}, {wrong}"
    return seen, ""


def _attempts(plan: Plan, route: Route) -> int:
    return plan.attempts if route.attempts is None else min(route.attempts, plan.attempts)


def _wrong(expectation: Expectation, goes: Outcome) -> str:
    """Why an outcome is not as wanted; empty if it is."""
    wanted, told = expectation.wanted, "refused (every pool is out)" if goes.refused else f"pool {goes.pool}"
    if wanted.kind == "refused":
        return told if goes.refused is expectation.never else ""
    if wanted.kind == "pool":
        reached = not goes.refused and goes.pool in wanted.values
        return told if reached is expectation.never else ""
    # Workers: none outside may be picked (never: none inside).
    if goes.refused:
        return "" if expectation.never else told
    bad = sorted(w.name for w in goes.workers if wanted.has(w) is expectation.never)
    return f"{told}, worker {bad[0]}" if bad else ""


def _picked_wrong(expectation: Expectation, table: Table, goes: Outcome, fleet: Fleet) -> str:
    """Whom the decision module itself picks in that pool, over seeds: nobody outside what is wanted."""
    if goes.refused or expectation.wanted.kind not in ("zone", "workers"):
        return ""
    places = fleet.roster.own(table.pools[goes.pool])
    workers = {fleet.roster.workers[k].name: fleet.roster.workers[k] for k in places}
    states = tuple(
        (fleet.roster.workers[k].name, fleet.roster.workers[k].zone, fleet.states[k].value) for k in places
    )
    for name in picks(states):
        if expectation.wanted.has(workers[name]) is expectation.never:
            return f"pool {goes.pool}, the decision module picks {name}"
    return ""


_PICKED: dict[tuple[tuple[str, str, str], ...], frozenset[str]] = {}


def picks(states: tuple[tuple[str, str, str], ...]) -> frozenset[str]:
    """The workers that the decision module picks of these (name, zone, state), over some seeds."""
    if states in _PICKED:
        return _PICKED[states]
    zones = sorted({zone for _, zone, _ in states})
    listed = [
        i.Entry(name, i.Health(state), zones.index(zone)) for name, zone, state in states if state != "gone"
    ]
    picked: set[str] = set()
    for seed in range(SEEDS):
        settings = i.Settings(classes=(i.RequestClass("any", aim=0.1, deadline=1.0),), zones=tuple(zones))
        balancer = Balancer(settings, seed)
        balancer.handle(i.Began(), 0.0)
        balancer.handle(i.WorkerList(i.ListKind.REPLACE, tuple(listed)), 0.0)
        balancer.handle(i.WorkerList(i.ListKind.UPDATE, tuple(listed)), 0.0)
        for n in range(PICKS):
            for action in balancer.handle(i.Arrival(f"{n}", 0, 1.0), 0.01 * n):
                if isinstance(action, i.Send):
                    picked.add(action.worker)
    if len(_PICKED) > 10_000:
        _PICKED.clear()
    _PICKED[states] = frozenset(picked)
    return _PICKED[states]
