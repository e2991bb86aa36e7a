"""Pools: each has a decision module of its own, a list of workers, connections, counters; routes choose one.

Without routes there is one pool with all workers, and nothing of routing is imported. Owns the pools, the
list as it is held now, and the pools that a reload has retired: they go on, under the table that their
requests were taken under, until the last of those has ended. It must never choose a worker, nor tell a pool
of news later than it came.
"""

import asyncio
import resource
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import unquote

from wickgw import interface as i
from wickgw.config.relay import Config
from wickgw.net import http
from wickgw.net.dispatch import Clock, PendingRequest
from wickgw.net.pool_server import PoolServer
from wickgw.net.sockets import Sockets
from wickgw.net.worker_list import Target
from wickgw.observe import logger

if TYPE_CHECKING:
    from wickgw.config.schema import SubsettingSettings
    from wickgw.routing.match import Request
    from wickgw.routing.table import Pool, Route, Table, Worker

log = logger("wickgw.routing")
RETIRING = 0.5  # seconds between looks at whether a retired pool has ended its last request


@dataclass(frozen=True, slots=True)
class Choice:
    """Where a request goes, and what its route makes less of."""

    pool: PoolServer
    job_class: str  # the first part of the path; of its normal form, where there are routes
    attempts: int | None = None
    time_limit: float = float("inf")


class NoRouteError(Exception):
    """No route takes it; or it has no normal form (`malformed`)."""

    def __init__(self, why: str, malformed: bool = False) -> None:
        super().__init__(why)
        self.malformed = malformed


class Pools:
    """All pools of a process, and the table that chooses among them, if there is one."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        sockets: Sockets,
        table: "Table | None" = None,
        zone_header: str = "",
        subsetting: "SubsettingSettings | None" = None,
    ) -> None:
        self.subsetting = subsetting
        self.config, self.loop, self.clock, self.sockets = config, loop, clock, sockets
        self.table, self.zone_header = table, zone_header.lower()
        self.list: dict[str, Target] = {}  # kept where there are routes
        self.servers: dict[str, PoolServer] = {}
        self.retired: list[PoolServer] = []
        self.ties: set[tuple[str, ...]] = set()
        self._stop_by: float | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        settings = config.settings
        self.zone = settings.zones[settings.zone] if settings.zone < len(settings.zones) else ""
        if table is None:
            self.servers[""] = PoolServer("", lambda target: True, config, loop, clock, sockets, subsetting)
            self.counters = self.servers[""].dispatcher.counters
        else:
            self.counters = Counter[str]()
            for pool in table.pools.values():
                self.servers[pool.name] = self._serve(pool)

    def _serve(self, pool: "Pool") -> PoolServer:
        def has(target: Target) -> bool:
            return pool.includes(worker_of(target))

        shared = self.config, self.loop, self.clock, self.sockets
        return PoolServer(pool.name, has, *shared, self.subsetting)

    @property
    def all(self) -> list[PoolServer]:
        """Those of the table, and those retired."""
        return [*self.servers.values(), *self.retired]

    # The list.

    def begin(self, known: list[Target]) -> None:
        """The life of every pool begins."""
        self._keep(i.ListKind.REPLACE, known)
        for server in self.all:
            server.begin(known)

    def on_update(self, kind: i.ListKind, targets: list[Target]) -> None:
        """News of the list, to every pool at once."""
        self._keep(kind, targets)
        for server in self.all:
            server.on_update(kind, targets)

    def _keep(self, kind: i.ListKind, targets: list[Target]) -> None:
        """Only another table may ask for the list again."""
        if self.table is None:
            return
        if kind is i.ListKind.REPLACE:
            self.list = {}
        for target in targets:
            if target.entry.health is i.Health.GONE:
                self.list.pop(target.entry.worker, None)
            else:
                self.list[target.entry.worker] = target

    # Requests.

    def choose(self, request: http.Request) -> Choice:
        """The pool of a request. Raises NoRouteError."""
        if self.table is None:
            return Choice(self.servers[""], unquote(request.path[1:].partition("/")[0]))
        asked = self.normal(request)
        taken = self.table.lookup(asked)
        route = taken.route
        if route is None:
            self.counters["routes.none"] += 1
            raise NoRouteError("no route takes this")
        if taken.tied:
            self._tied(taken.tied, asked)
        name, out = self.table.pool_for(route, _Counts(self.servers))
        self.counters[f"routes.{route.name}"] += 1
        if out:
            self.counters["routes.out"] += 1
        limit = float("inf") if route.time_limit_s is None else route.time_limit_s
        return Choice(self.servers[name], unquote(asked.job_class), route.attempts, limit)

    def normal(self, request: http.Request) -> "Request":
        """A request as routing sees it. Raises NoRouteError if it has no normal form."""
        from wickgw.routing import normal
        from wickgw.routing.match import Request

        zone = request.headers.get(self.zone_header, "") if self.zone_header else ""
        known = self.config.settings.zones
        try:
            host, path = normal.host(request.headers.get("host", "")), normal.path(request.path)
        except normal.MalformedError as error:
            raise NoRouteError(str(error), malformed=True) from error
        return Request(host, path, request.method, zone if zone in known else self.zone, request.headers)

    def _tied(self, routes: "tuple[Route, ...]", asked: "Request") -> None:
        """None is the most specific: the first in the file serves. `wickgw route check` says so before."""
        self.counters["routes.tied"] += 1
        names = tuple(route.name for route in routes)
        if names not in self.ties and len(self.ties) < 100:
            self.ties.add(names)
            log.warning("route.tied", routes=" ".join(names), request=asked.describe())

    def take(self, choice: Choice, pending: PendingRequest) -> bool:
        """A request has come; False if its id is still in use, in whatever pool."""
        if self.table and any(pending.id in s.dispatcher.pending for s in self.all):
            return False
        return choice.pool.dispatcher.take(pending)

    # Reload.

    def replace(self, table: "Table") -> None:
        """Another table, for requests from now on. A pool that is chosen alike keeps what it has learned;
        any other is a new one, and the old one retires with the requests that it has."""
        assert self.table is not None
        old, self.table = self.table, table
        servers = {}
        for pool in table.pools.values():
            if old.pools.get(pool.name) == pool:
                servers[pool.name] = self.servers.pop(pool.name)
                continue
            server = servers[pool.name] = self._serve(pool)
            server.begin(list(self.list.values()))
            if self._stop_by is not None:
                server.dispatcher.stop(self._stop_by - self.clock.now())
        for server in self.servers.values():
            log.info("pool.retired", pool=server.name, owed=server.dispatcher.owed)
        self.retired += self.servers.values()
        self.servers = servers
        self.ties.clear()
        log.info("routes.replaced", routes=len(table.routes), pools=len(table.pools))
        self._sweep()

    def _sweep(self) -> None:
        """Retired pools end with their last request."""
        if self._sweeper is not None:
            self._sweeper.cancel()
            self._sweeper = None
        for server in [s for s in self.retired if not s.dispatcher.pending]:
            self.counters["pools.ended"] += 1
            server.close()
            self.retired.remove(server)
        if self.retired:
            self._sweeper = self.loop.call_later(RETIRING, self._sweep)

    # What a node asks of all together.

    @property
    def owed(self) -> int:
        """Requests without their final answer."""
        return sum(server.dispatcher.owed for server in self.all)

    def stop(self, within: float) -> None:
        """The process ends in so many seconds."""
        self._stop_by = self.clock.now() + within
        for server in self.all:
            server.dispatcher.stop(within)

    def report(self) -> dict[str, object]:
        """What is held, over all pools; and each pool's own, where there are routes."""
        every = self.all
        longest, on = max(s.dispatcher.longest for s in every)
        now: dict[str, object] = {
            "owed": self.owed,
            "tries_out": sum(len(s.connections.attempts) for s in every),
            "peer_connections": sum(len(s.connections.connections) for s in every),
            "peers": len({worker for s in every for worker in s.connections.endpoints}),
            "members": sum(len(s.dispatcher.balancer.order) for s in every),
            "peak_memory_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024 / 1e6, 1),
            "peer_connections_opened": sum(s.connections.opened for s in every),
            "max_stall_ms": round(max(s.dispatcher.max_stall for s in every) * 1000, 1),
            "longest_step_ms": round(longest * 1000, 1),
            "longest_step_on": on,
        }
        if self.table is None:
            return {"now": now | (self.servers[""].subset.counts if self.servers[""].subset else {})}
        pools = {name: server.report() for name, server in self.servers.items()}
        return {"now": now | {"pools_retired": len(self.retired)}, "pools": pools}

    def close(self) -> None:
        """Give everything back."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for server in self.all:
            server.close()


class _Counts(dict[str, tuple[int, int]]):
    """Workers of each pool by state, counted when a pool is looked at and not before."""

    def __init__(self, servers: dict[str, PoolServer]) -> None:
        super().__init__()
        self.servers = servers

    def get(self, name: str, default: object = None) -> tuple[int, int]:
        """Ready and draining."""
        return self.servers[name].counts


def worker_of(target: Target) -> "Worker":
    """A target as a pool's choice sees it."""
    from wickgw.routing.table import Worker

    return Worker(target.entry.worker, target.zone, target.model, target.entry.cell)
