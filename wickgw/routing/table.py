"""The table: which route takes a request, and which of its pools is to serve it.

Owns the order of routes and the index that makes a look-up cost what its candidates cost, not what the table
does. One object serves traffic and answers the checker. It must never choose a worker, a retry or a refusal
(the decision module of the pool does), nor loosen a rule: a route can only lower attempts and time.
"""

import fnmatch
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from wickgw.routing.match import Match, Request


class State(Enum):
    """A worker, as the list of workers has it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Worker:
    """What a pool chooses by."""

    name: str
    zone: str = ""
    model: str = ""
    group: int = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """A choice of workers, and when it counts as out. An empty field is open."""

    name: str
    zones: frozenset[str] = frozenset()
    models: frozenset[str] = frozenset()
    groups: frozenset[int] = frozenset()
    names: tuple[str, ...] = ()  # names, with * and ? as in a shell
    out: str = "none-ready"  # none-ready, all-draining, fewer-than
    fewer_than: int = 1

    def has(self, worker: Worker) -> bool:
        """Whether a worker is one of this pool's."""
        return (
            (not self.zones or worker.zone in self.zones)
            and (not self.models or worker.model in self.models)
            and (not self.groups or worker.group in self.groups)
            and (not self.names or any(fnmatch.fnmatchcase(worker.name, n) for n in self.names))
        )

    def is_out(self, ready: int, draining: int) -> bool:
        """Whether a request should go to the route's next pool, by its workers in each state."""
        if self.out == "all-draining":
            return ready == 0 and draining > 0
        return ready < (self.fewer_than if self.out == "fewer-than" else 1)


@dataclass(frozen=True, slots=True)
class Route:
    """What it takes, and where that goes."""

    name: str
    match: Match
    pools: tuple[str, ...]
    priority: int = 0
    attempts: int | None = None  # at most; None: as many as the platform allows
    time_limit: float | None = None  # seconds at most
    line: int = 0  # in the operator's file


@dataclass(frozen=True, slots=True)
class Taken:
    """What became of a look-up."""

    route: Route | None
    tied: tuple[Route, ...] = ()  # more than one: none is the most specific


@dataclass(slots=True)
class _Paths:
    """Routes of one host, by what their paths begin with."""

    exact: dict[str, list[Route]] = field(default_factory=lambda: defaultdict(list))
    below: dict[str, list[Route]] = field(default_factory=lambda: defaultdict(list))

    def add(self, route: Route) -> None:
        """Enter a route under each beginning it may have."""
        looks = route.match.paths or route.match.classes
        keys = {(p.kind == "exact", p.literal.rstrip("/")) for p in looks} or {(False, "")}
        for exact, key in keys:
            (self.exact if exact else self.below)[key].append(route)

    def candidates(self, path: str) -> Iterable[Route]:
        """Routes that could mean a path."""
        bare = path.rstrip("/")
        yield from self.exact.get(bare, ())
        end = len(bare)
        while True:
            yield from self.below.get(bare[:end], ())
            if end <= 0:
                return
            end = bare.rfind("/", 0, end)


class Table:
    """Routes and pools, as one operator's file has them. Never changed: a reload makes another."""

    def __init__(self, routes: Sequence[Route], pools: Sequence[Pool]) -> None:
        self.routes, self.pools = tuple(routes), {pool.name: pool for pool in pools}
        self._exact: dict[str, _Paths] = {}
        self._below: dict[str, _Paths] = {}  # by what follows the star, with its dot
        self._any = _Paths()
        for route in self.routes:
            if not route.match.hosts:
                self._any.add(route)
            for host in route.match.hosts:
                side, key = (self._below, host.text[1:]) if host.wildcard else (self._exact, host.text)
                side.setdefault(key, _Paths()).add(route)

    def _of_host(self, host: str) -> Iterable[_Paths]:
        if host in self._exact:
            yield self._exact[host]
        at = host.find(".")
        while at >= 0:
            if host[at:] in self._below:
                yield self._below[host[at:]]
            at = host.find(".", at + 1)
        yield self._any

    def matching(self, request: Request) -> list[Route]:
        """All routes that mean a request, in the file's order."""
        found = {
            id(route): route
            for paths in self._of_host(request.host)
            for route in paths.candidates(request.path)
            if route.match.holds(request)
        }
        return sorted(found.values(), key=lambda route: (route.line, route.name))

    def take(self, request: Request) -> Taken:
        """The route of the highest priority, and of those the most specific."""
        best: list[Route] = []
        least: tuple[int, ...] = ()
        for route in self.matching(request):
            rank = (route.priority, *route.match.rank(request.host, request.path))
            if rank > least or not best:
                best, least = [route], rank
            elif rank == least:
                best.append(route)
        if not best:
            return Taken(None)
        return Taken(best[0], tuple(best) if len(best) > 1 else ())

    def pool_for(self, route: Route, counts: Mapping[str, tuple[int, int]]) -> tuple[str, bool]:
        """The first pool of a route that is not out, by each pool's ready and draining workers; and whether
        all are out: then the first is named, whose decision module holds or refuses."""
        for name in route.pools:
            if not self.pools[name].is_out(*counts.get(name, (0, 0))):
                return name, False
        return route.pools[0], True
