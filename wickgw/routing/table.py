"""The routing table: selects the route for a request and the pool of that route.

The table orders the routes by priority and specificity. Its index makes the cost of a look-up depend on the
number of candidate routes, not on the size of the table. The same table serves traffic and answers the
checks. The table does not choose a worker, retry or refuse; that is the task of the pool's decision module.
A route can lower the limits on attempts and time, but can't raise them.
"""

import fnmatch
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from wickgw.routing.match import Request, RequestMatcher


class WorkerState(Enum):
    """The state of a worker in the list of workers."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Worker:
    """The attributes of a worker by which pools select it."""

    name: str
    zone: str = ""
    model: str = ""
    group: int = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """A selection of workers, and the condition under which the pool is out.

    A worker is selected if all fields match. An empty field matches every worker.
    """

    name: str
    zones: frozenset[str] = frozenset()
    models: frozenset[str] = frozenset()
    groups: frozenset[int] = frozenset()
    names: tuple[str, ...] = ()  # shell patterns with * and ?
    out: str = "none-ready"  # when the pool is out: none-ready, all-draining or fewer-than
    fewer_than: int = 1  # with fewer-than: the number of ready workers needed

    def includes(self, worker: Worker) -> bool:
        """Return whether `worker` belongs to this pool."""
        return (
            (not self.zones or worker.zone in self.zones)
            and (not self.models or worker.model in self.models)
            and (not self.groups or worker.group in self.groups)
            and (not self.names or any(fnmatch.fnmatchcase(worker.name, pattern) for pattern in self.names))
        )

    def is_out(self, ready: int, draining: int) -> bool:
        """Return whether requests go to the route's next pool, given the counts of workers in each state."""
        if self.out == "all-draining":
            return ready == 0 and draining > 0
        return ready < (self.fewer_than if self.out == "fewer-than" else 1)


@dataclass(frozen=True, slots=True)
class Route:
    """A route: which requests it matches, and the pools that serve them, in order of preference."""

    name: str
    matcher: RequestMatcher
    pools: tuple[str, ...]
    priority: int = 0
    attempts: int | None = None  # maximum; None: the maximum of the platform
    time_limit_s: float | None = None  # maximum; None: the limit of the job class
    line: int = 0  # of the section in the operator's file


@dataclass(frozen=True, slots=True)
class LookupResult:
    """The result of a look-up."""

    route: Route | None  # None if no route matches
    tied: tuple[Route, ...] = ()  # all routes of the highest rank, if there are several


@dataclass(slots=True)
class _PathIndex:
    """The routes of one host, indexed by the literal prefixes of their paths."""

    exact: dict[str, list[Route]] = field(default_factory=lambda: defaultdict(list))
    prefixes: dict[str, list[Route]] = field(default_factory=lambda: defaultdict(list))

    def add(self, route: Route) -> None:
        """Index a route under each literal prefix of its paths."""
        matchers = route.matcher.paths or route.matcher.classes
        keys = {(matcher.kind == "exact", matcher.literal.rstrip("/")) for matcher in matchers} or {
            (False, "")
        }
        for exact, key in keys:
            (self.exact if exact else self.prefixes)[key].append(route)

    def candidates(self, path: str) -> Iterable[Route]:
        """Yield the routes that may match `path`. A route may occur more than once."""
        stripped = path.rstrip("/")
        yield from self.exact.get(stripped, ())
        end = len(stripped)
        while True:
            yield from self.prefixes.get(stripped[:end], ())
            if end <= 0:
                return
            end = stripped.rfind("/", 0, end)


class Table:
    """The routes and pools of one operator's file. Immutable; a reload builds a new table."""

    def __init__(self, routes: Sequence[Route], pools: Sequence[Pool]) -> None:
        self.routes, self.pools = tuple(routes), {pool.name: pool for pool in pools}
        self._exact_hosts: dict[str, _PathIndex] = {}
        self._wildcard_hosts: dict[str, _PathIndex] = {}  # by the domain after the star, with its leading dot
        self._any_host = _PathIndex()
        for route in self.routes:
            if not route.matcher.hosts:
                self._any_host.add(route)
            for host in route.matcher.hosts:
                index, key = (
                    (self._wildcard_hosts, host.text[1:]) if host.wildcard else (self._exact_hosts, host.text)
                )
                index.setdefault(key, _PathIndex()).add(route)
        # Only endings of these lengths are looked up, so that a long host of a client costs no more.
        self._wildcard_lengths = sorted({len(domain) for domain in self._wildcard_hosts}, reverse=True)

    def _indexes_for_host(self, host: str) -> Iterable[_PathIndex]:
        if host in self._exact_hosts:
            yield self._exact_hosts[host]
        for length in self._wildcard_lengths:
            if length <= len(host) and (index := self._wildcard_hosts.get(host[-length:])):
                yield index
        yield self._any_host

    def matching(self, request: Request) -> list[Route]:
        """Return all routes that match `request`, in the order of the file."""
        found = {
            id(route): route
            for index in self._indexes_for_host(request.host)
            for route in index.candidates(request.path)
            if route.matcher.matches(request)
        }
        return sorted(found.values(), key=lambda route: (route.line, route.name))

    def lookup(self, request: Request) -> LookupResult:
        """Return the most specific of the matching routes with the highest priority."""
        best: list[Route] = []
        best_rank: tuple[int, ...] = ()
        for route in self.matching(request):
            rank = (route.priority, *route.matcher.rank(request.host, request.path))
            if rank > best_rank or not best:
                best, best_rank = [route], rank
            elif rank == best_rank:
                best.append(route)
        if not best:
            return LookupResult(None)
        return LookupResult(best[0], tuple(best) if len(best) > 1 else ())

    def pool_for(self, route: Route, counts: Mapping[str, tuple[int, int]]) -> tuple[str, bool]:
        """Return the name of the first pool of `route` that is not out, and whether all pools are out.

        `counts` has the numbers of ready and draining workers of each pool. If all pools are out, the first
        pool is returned; its decision module holds or refuses the request.
        """
        for name in route.pools:
            if not self.pools[name].is_out(*counts.get(name, (0, 0))):
                return name, False
        return route.pools[0], True
