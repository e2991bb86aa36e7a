"""Enumerates the fleet states that the pools of one route distinguish, each by a smallest example.

Workers are equivalent if they are in the same pools and the check selects all or none of them. Equivalent
workers are counted by state instead of being enumerated one by one, and each pool's `is_out` evaluates the
counts. If there are more than `MAX_FLEETS` combinations, the enumeration raises `BoundExceededError`; there
is no sampling. This module knows the expectations only as sets of workers.
"""

import itertools
import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from functools import lru_cache

from wickgw.routing.automata import BoundExceededError
from wickgw.routing.table import Pool, Route, Table, Worker, WorkerState

MAX_FLEETS = 50_000
READY, DRAINING, GONE = WorkerState.READY, WorkerState.DRAINING, WorkerState.GONE


@dataclass(frozen=True, slots=True)
class Selector:
    """Selects workers by zone, or by a name pattern with * and ?."""

    kind: str  # zone or workers
    value: str

    def includes(self, worker: Worker) -> bool:
        """Return whether `worker` is selected."""
        return (
            worker.zone == self.value
            if self.kind == "zone"
            else Pool("", names=(self.value,)).includes(worker)
        )

    def describe(self) -> str:
        """Return the selector as it is written in an operator's file."""
        return f"zone:{self.value}" if self.kind == "zone" else self.value


class IndexedWorkers:
    """A list of workers, with cached indexes of the workers in each pool and selector."""

    def __init__(self, workers: Iterable[Worker]) -> None:
        self.workers = tuple(workers)
        self._indexes: dict[Pool | Selector, tuple[int, ...]] = {}

    def indexes_of(self, selection: Pool | Selector) -> tuple[int, ...]:
        """Return the indexes of the workers in a pool or selector."""
        indexes = self._indexes.get(selection)
        if indexes is None:
            indexes = tuple(index for index, worker in enumerate(self.workers) if selection.includes(worker))
            self._indexes[selection] = indexes
        return indexes


@dataclass(frozen=True, slots=True)
class Fleet:
    """A list of workers with the state of each."""

    indexed: IndexedWorkers
    states: tuple[WorkerState, ...]

    def states_of(self, selection: Pool | Selector) -> list[WorkerState]:
        """Return the states of the workers in a pool or selector."""
        return [self.states[index] for index in self.indexed.indexes_of(selection)]

    def describe(self) -> str:
        """Return a text that names the workers that are not ready."""
        parts = []
        for state in (DRAINING, GONE):
            pairs = zip(self.indexed.workers, self.states, strict=True)
            names = sorted(worker.name for worker, worker_state in pairs if worker_state is state)
            if names:
                parts.append(f"{', '.join(names)} {state.value}")
        return "; ".join(parts) or "all ready"


@dataclass(frozen=True, slots=True)
class FleetCondition:
    """A condition on a fleet: all selected workers, and at least one, are in one of the given states."""

    states: frozenset[WorkerState]
    selector: Selector

    def holds(self, fleet: Fleet) -> bool:
        """Return whether `fleet` fulfils the condition."""
        selected = fleet.states_of(self.selector)
        return bool(selected) and all(state in self.states for state in selected)


@dataclass(frozen=True, slots=True)
class FleetSet:
    """A set of fleets: either all fleets, or the one in which only the named workers are not ready."""

    any: bool = True  # all fleets
    exceptions: tuple[tuple[WorkerState, Selector], ...] = ()  # workers that are not ready

    def fixed_fleet(self, workers: Sequence[Worker]) -> Fleet:
        """Return the fleet in which only `exceptions` are not ready."""
        indexed = IndexedWorkers(workers)
        states = [READY] * len(indexed.workers)
        for state, selector in self.exceptions:
            for index in indexed.indexes_of(selector):
                states[index] = state
        return Fleet(indexed, tuple(states))


@dataclass(frozen=True, slots=True)
class Outcome:
    """The destination of a route's requests in one fleet."""

    pool: str
    refused: bool  # all pools of the route are out
    workers: tuple[Worker, ...]  # the ready workers of the pool; the decision module selects one of them


def outcome(table: Table, route: Route, fleet: Fleet) -> Outcome:
    """Return the outcome of `route` for `fleet`, decided by the table as for traffic."""
    counts = {}
    for name in route.pools:
        states = fleet.states_of(table.pools[name])
        counts[name] = states.count(READY), states.count(DRAINING)
    pool, refused = table.pool_for(route, counts)
    if refused:
        return Outcome(pool, True, ())
    indexes = fleet.indexed.indexes_of(table.pools[pool])
    return Outcome(
        pool, False, tuple(fleet.indexed.workers[index] for index in indexes if fleet.states[index] is READY)
    )


def distinct_fleets(
    table: Table,
    route: Route,
    fleet_set: FleetSet,
    workers: Sequence[Worker],
    selections: Sequence[Callable[[Worker], bool]],
) -> Iterator[Fleet]:
    """Yield the fleets of `fleet_set` that the route's pools or `selections` distinguish.

    Fleets with more ready workers come first. Raises BoundExceededError.
    """
    if not fleet_set.any:
        yield fleet_set.fixed_fleet(workers)
        return
    pools = [table.pools[name] for name in route.pools]
    groups: dict[tuple[bool, ...], list[Worker]] = {}
    for worker in workers:
        key = (*(pool.includes(worker) for pool in pools), *(selects(worker) for selects in selections))
        groups.setdefault(key, []).append(worker)
    # Workers in none of these pools and selections make no difference.
    groups.pop((False,) * (len(pools) + len(selections)), None)
    max_threshold = max(
        (candidate.fewer_than for candidate in pools if candidate.out == "fewer-than"), default=1
    )
    indexed = IndexedWorkers(worker for group in groups.values() for worker in group)
    sizes = tuple(len(group) for group in groups.values())
    for counts in _state_counts(sizes, max_threshold, route.name):
        states: list[WorkerState] = []
        for size, (ready, draining) in zip(sizes, counts, strict=True):
            states += [READY] * ready + [DRAINING] * draining + [GONE] * (size - ready - draining)
        yield Fleet(indexed, tuple(states))


@lru_cache(maxsize=1024)
def _state_counts(
    sizes: tuple[int, ...], max_threshold: int, route_name: str
) -> list[tuple[tuple[int, int], ...]]:
    """Return the distinct counts of ready and draining workers for groups of the given sizes.

    Combinations with more ready workers, then with more draining workers, come first.
    """
    choices = [_group_counts(size, max_threshold) for size in sizes]
    count = math.prod(len(group_counts) for group_counts in choices)
    if count > MAX_FLEETS:
        raise BoundExceededError(f"{count} states of the fleet for route {route_name}")

    def unavailability(combination: tuple[tuple[int, int], ...]) -> tuple[int, int]:
        return -sum(ready for ready, _ in combination), -sum(draining for _, draining in combination)

    return sorted(itertools.product(*choices), key=unavailability)


def _group_counts(size: int, max_threshold: int) -> list[tuple[int, int]]:
    """Return the counts of ready and draining workers in a group that a pool can distinguish.

    Either all workers are ready, or up to `max_threshold` of them, the largest number that a pool requires.
    The others are all draining, all gone, or one draining and the rest gone, for pools that depend on whether
    any worker drains.
    """
    counts = []
    for ready in {size, *range(min(size, max_threshold) + 1)}:
        unready = size - ready
        counts += [(ready, draining) for draining in sorted({0, min(1, unready), unready}, reverse=True)]
    return counts
