"""States of the fleet, as far as the pools of one route can tell them apart, each with its smallest witness.

Owns the case split: workers that are alike (in the same pools, and meant alike by what is asked) are counted,
not named, and each pool's own `is_out` says what a count leads to. A split larger than its bound is
`TooLarge`, never a sample. It must never know what an expectation asks for beyond sets of workers.
"""

import itertools
import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from functools import lru_cache

from wickgw.routing.automata import TooLarge
from wickgw.routing.table import Pool, Route, State, Table, Worker

MOST_STATES = 50_000
READY, DRAINING, GONE = State.READY, State.DRAINING, State.GONE


@dataclass(frozen=True, slots=True)
class Selector:
    """Some workers: a whole zone, or names with * and ?."""

    kind: str  # zone, workers
    value: str

    def has(self, worker: Worker) -> bool:
        """Whether it means this one."""
        return worker.zone == self.value if self.kind == "zone" else Pool("", names=(self.value,)).has(worker)

    def told(self) -> str:
        """As an operator writes it."""
        return f"zone:{self.value}" if self.kind == "zone" else self.value


class Roster:
    """Some workers, and where each pool's and each selector's own stand among them."""

    def __init__(self, workers: Iterable[Worker]) -> None:
        self.workers = tuple(workers)
        self._own: dict[Pool | Selector, tuple[int, ...]] = {}

    def own(self, choice: Pool | Selector) -> tuple[int, ...]:
        """The places of a pool's workers, or of those that a selector means."""
        places = self._own.get(choice)
        if places is None:
            places = tuple(k for k, worker in enumerate(self.workers) if choice.has(worker))
            self._own[choice] = places
        return places


@dataclass(frozen=True, slots=True)
class Fleet:
    """A roster with a state for each worker."""

    roster: Roster
    states: tuple[State, ...]

    def of(self, choice: Pool | Selector) -> list[State]:
        """The states of a pool's workers, or of those that a selector means."""
        return [self.states[k] for k in self.roster.own(choice)]

    def told(self) -> str:
        """Who is not ready."""
        parts = []
        for state in (DRAINING, GONE):
            pairs = zip(self.roster.workers, self.states, strict=True)
            names = sorted(worker.name for worker, s in pairs if s is state)
            if names:
                parts.append(f"{', '.join(names)} {state.value}")
        return "; ".join(parts) or "all ready"


@dataclass(frozen=True, slots=True)
class Condition:
    """Of a fleet: every worker meant is in one of these states (and there is one)."""

    states: frozenset[State]
    selector: Selector

    def holds(self, fleet: Fleet) -> bool:
        """Whether it does."""
        meant = fleet.of(self.selector)
        return bool(meant) and all(state in self.states for state in meant)


@dataclass(frozen=True, slots=True)
class Given:
    """A set of fleets: every one (`any`), or the one with all ready but those named."""

    any: bool = True
    but: tuple[tuple[State, Selector], ...] = ()

    def fixed(self, workers: Sequence[Worker]) -> Fleet:
        """The one fleet, where it is one."""
        roster = Roster(workers)
        states = [READY] * len(roster.workers)
        for state, selector in self.but:
            for k in roster.own(selector):
                states[k] = state
        return Fleet(roster, tuple(states))


@dataclass(frozen=True, slots=True)
class Outcome:
    """Where a route's request goes in a fleet."""

    pool: str
    refused: bool  # every pool of the route is out
    workers: tuple[Worker, ...]  # any of which the decision module may pick


def outcome(table: Table, route: Route, fleet: Fleet) -> Outcome:
    """Ask the table, as serving does."""
    counts = {}
    for name in route.pools:
        mine = fleet.of(table.pools[name])
        counts[name] = mine.count(READY), mine.count(DRAINING)
    pool, refused = table.pool_for(route, counts)
    if refused:
        return Outcome(pool, True, ())
    places = fleet.roster.own(table.pools[pool])
    return Outcome(pool, False, tuple(fleet.roster.workers[k] for k in places if fleet.states[k] is READY))


def fleets(
    table: Table,
    route: Route,
    given: Given,
    workers: Sequence[Worker],
    apart: Sequence[Callable[[Worker], bool]],
) -> Iterator[Fleet]:
    """Every fleet of a set that the route's pools, or `apart`, can tell from the others, fewest troubles
    first. Raises TooLarge."""
    if not given.any:
        yield given.fixed(workers)
        return
    pools = [table.pools[name] for name in route.pools]
    groups: dict[tuple[bool, ...], list[Worker]] = {}
    for worker in workers:
        key = (*(pool.has(worker) for pool in pools), *(test(worker) for test in apart))
        groups.setdefault(key, []).append(worker)
    # Who is in none of these pools, and meant by nothing asked, makes no difference.
    groups.pop((False,) * (len(pools) + len(apart)), None)
    highest = max((p.fewer_than for p in pools if p.out == "fewer-than"), default=1)
    roster = Roster(worker for group in groups.values() for worker in group)
    sizes = tuple(len(group) for group in groups.values())
    for picked in _splits(sizes, highest, route.name):
        states: list[State] = []
        for size, (ready, draining) in zip(sizes, picked, strict=True):
            states += [READY] * ready + [DRAINING] * draining + [GONE] * (size - ready - draining)
        yield Fleet(roster, tuple(states))


@lru_cache(maxsize=1024)
def _splits(sizes: tuple[int, ...], highest: int, what: str) -> list[tuple[tuple[int, int], ...]]:
    """For groups of these sizes, how many of each are ready and draining, fewest troubles first."""
    choices = [_counts(size, highest) for size in sizes]
    count = math.prod(len(choice) for choice in choices)
    if count > MOST_STATES:
        raise TooLarge(f"{count} states of the fleet for route {what}")

    def troubles(picked: tuple[tuple[int, int], ...]) -> tuple[int, int]:
        return -sum(ready for ready, _ in picked), -sum(draining for _, draining in picked)

    return sorted(itertools.product(*choices), key=troubles)


def _counts(size: int, highest: int) -> list[tuple[int, int]]:
    """How many of a group are ready and draining, as far as a pool can tell: all, or up to as many as a pool
    asks for; in each case the others draining, gone, or (for pools that ask whether any drains) mixed."""
    found = []
    for ready in {size, *range(min(size, highest) + 1)}:
        rest = size - ready
        found += [(ready, draining) for draining in sorted({0, min(1, rest), rest}, reverse=True)]
    return found
