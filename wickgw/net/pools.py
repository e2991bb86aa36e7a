"""Pools: each has a decision module of its own, a list of workers, connections, counters; routes choose one.

Without routes there is one pool with all workers, and nothing of routing is imported. Owns the pools, the
list as it is held now, and the pools that a reload has retired: they go on, under the table that their
requests were taken under, until the last of those has ended. It must never choose a worker, nor tell a pool
of news later than it came.
"""

import asyncio
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import unquote

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.config.relay import Config, ConfigError
from wickgw.net import http
from wickgw.net.dispatch import Clock, Dispatcher, PendingRequest
from wickgw.net.sockets import Sockets
from wickgw.net.worker_connections import WorkerConnections
from wickgw.net.worker_list import Target
from wickgw.observe import logger

if TYPE_CHECKING:
    from wickgw.config.schema import SubsettingSettings
    from wickgw.net.subset_driver import SubsetDriver
    from wickgw.routing.match import Request
    from wickgw.routing.table import Pool, Route, Table, Worker
    from wickgw.subsetting.subset import WorkerSubset

log = logger("wickgw.routing")
RETIRING = 0.5  # seconds between looks at whether a retired pool has ended its last request


class PoolServer:
    """One pool: who decides for it, and what it holds."""

    def __init__(
        self,
        name: str,
        has: Callable[[Target], bool],
        config: Config,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        sockets: Sockets,
        subsetting: "SubsettingSettings | None" = None,
    ) -> None:
        self.name, self.has = name, has
        settings = config.settings
        self.subset: SubsetDriver | None = None
        core = subset_of(config, subsetting)
        if core is not None:
            from wickgw.net import subset_driver
            from wickgw.subsetting import sizing

            settings = sizing.settings_for_subset(settings, core.size.memberships)
            self.subset = subset_driver.SubsetDriver(core, loop, clock, self._show)
        self.connections = WorkerConnections(
            loop, sockets, settings.connect_timeout, settings.idle_close, settings.free_slots
        )
        balancer = Balancer(settings, config.seed + zlib.crc32(name.encode()))  # 0 for the one without a name
        self.dispatcher = self.connections.dispatcher = Dispatcher(balancer, loop, clock, self.connections)
        if self.subset is not None:
            self.dispatcher.on_attempt_ended = self.subset.attempt_ended
        self.states: dict[str, i.Health] = {}  # of its workers

    def begin(self, known: list[Target]) -> None:
        """Its life begins, with the list as it was held last."""
        mine = [target for target in known if self.has(target)]
        if self.subset is not None:
            self.dispatcher.begin(())
            self.subset.told(i.ListKind.REPLACE, mine)
            return
        for target in mine:
            self.connections.place(target.entry.worker, target.endpoint, target.entry.since)
            self.states[target.entry.worker] = target.entry.health
        self.dispatcher.begin(tuple(target.entry for target in mine))

    def told(self, kind: i.ListKind, targets: list[Target]) -> None:
        """News of the list."""
        if self.subset is None:
            self._show(kind, targets)
        else:
            mine = [t for t in targets if self.has(t) or self.subset.knows(t.entry.worker)]
            self.subset.told(kind, [t if self.has(t) else _gone(t) for t in mine])

    def _show(self, kind: i.ListKind, targets: list[Target]) -> None:
        """What the pool serves by: addresses first, since the Balancer may send at once; what left goes
        last."""
        entries, gone = [], set()
        for target in targets:
            entry, worker, mine = target.entry, target.entry.worker, self.has(target)
            if mine and entry.health is not i.Health.GONE:
                self.connections.place(worker, target.endpoint, entry.since)
                entries.append(entry)
            elif mine or worker in self.states:  # gone from the list, or from this pool
                gone.add(worker)
                if kind is not i.ListKind.REPLACE:
                    entries.append(i.Entry(worker, i.Health.GONE, entry.zone, entry.cell, entry.since))
        if kind is i.ListKind.REPLACE:
            gone |= self.states.keys() - {entry.worker for entry in entries}
            self.states = {}
        self.states |= {entry.worker: entry.health for entry in entries}
        for worker in gone:
            self.states.pop(worker, None)
        if entries or kind is i.ListKind.REPLACE:
            self.dispatcher.listed(kind, tuple(entries))
        for entry in entries:
            if entry.health is i.Health.DRAINING:
                self.connections.withdraw_from(entry.worker)
        for worker in gone:
            self.connections.remove(worker)

    @property
    def counts(self) -> tuple[int, int]:
        """Its ready and its draining workers."""
        states = list(self.states.values())
        return states.count(i.Health.READY), states.count(i.Health.DRAINING)

    def report(self) -> dict[str, object]:
        """Counters, and what it holds now."""
        ready, draining = self.counts
        held = {"owed": self.dispatcher.owed, "ready": ready, "draining": draining}
        held |= {
            "tries_out": len(self.connections.attempts),
            "peer_connections": len(self.connections.connections),
        }
        held |= self.subset.counts if self.subset is not None else {}
        return {"counters": dict(self.dispatcher.counters), "now": held}

    def close(self) -> None:
        """Give everything back."""
        if self.subset is not None:
            self.subset.close()
        self.dispatcher.close()
        self.connections.close()


@dataclass(frozen=True, slots=True)
class Choice:
    """Where a request goes, and what its route makes less of."""

    pool: PoolServer
    job_class: str  # the first part of the path; of its normal form, where there are routes
    attempts: int | None = None
    time_limit: float = float("inf")


class NoRoute(Exception):
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
        self.list: dict[str, Target] = {}
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
            return pool.has(worker_of(target))

        shared = self.config, self.loop, self.clock, self.sockets
        return PoolServer(pool.name, has, *shared, self.subsetting)

    @property
    def all(self) -> list[PoolServer]:
        """Those of the table, and those retired."""
        return [*self.servers.values(), *self.retired]

    # The list.

    def begin(self, known: list[Target]) -> None:
        """The life of every pool begins."""
        self.list = {target.entry.worker: target for target in known}
        for server in self.all:
            server.begin(known)

    def told(self, kind: i.ListKind, targets: list[Target]) -> None:
        """News of the list, to every pool at once."""
        if kind is i.ListKind.REPLACE:
            self.list = {}
        for target in targets:
            if target.entry.health is i.Health.GONE:
                self.list.pop(target.entry.worker, None)
            else:
                self.list[target.entry.worker] = target
        for server in self.all:
            server.told(kind, targets)

    # Requests.

    def choose(self, request: http.Request) -> Choice:
        """The pool of a request. Raises NoRoute."""
        if self.table is None:
            return Choice(self.servers[""], unquote(request.path[1:].partition("/")[0]))
        asked = self.normal(request)
        taken = self.table.take(asked)
        route = taken.route
        if route is None:
            self.counters["routes.none"] += 1
            raise NoRoute("no route takes this")
        if taken.tied:
            self._tied(taken.tied, asked)
        name, out = self.table.pool_for(route, _Counts(self.servers))
        self.counters[f"routes.{route.name}"] += 1
        if out:
            self.counters["routes.out"] += 1
        limit = float("inf") if route.time_limit is None else route.time_limit
        return Choice(self.servers[name], unquote(asked.job_class), route.attempts, limit)

    def normal(self, request: http.Request) -> "Request":
        """A request as routing sees it. Raises NoRoute if it has no normal form."""
        from wickgw.routing import normal
        from wickgw.routing.match import Request

        zone = request.headers.get(self.zone_header, "") if self.zone_header else ""
        known = self.config.settings.zones
        try:
            host, path = normal.host(request.headers.get("host", "")), normal.path(request.path)
        except normal.Malformed as error:
            raise NoRoute(str(error), malformed=True) from error
        return Request(host, path, request.method, zone if zone in known else self.zone, request.headers)

    def _tied(self, routes: "tuple[Route, ...]", asked: "Request") -> None:
        """None is the most specific: the first in the file serves. `wickgw route check` says so before."""
        self.counters["routes.tied"] += 1
        names = tuple(route.name for route in routes)
        if names not in self.ties and len(self.ties) < 100:
            self.ties.add(names)
            log.warning("route.tied", routes=" ".join(names), request=asked.told())

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


def subset_of(config: Config, subsetting: "SubsettingSettings | None") -> "WorkerSubset[Target] | None":
    """The subset that the operator's file asks for; None where every worker is seen. Raises ConfigError."""
    if subsetting is None or not subsetting.enabled:
        return None
    from wickgw.subsetting.ranking import Dispatcher as Instance
    from wickgw.subsetting.sizing import subset_size
    from wickgw.subsetting.subset import WorkerSubset

    if config.name not in subsetting.dispatchers:
        raise ConfigError(
            f"[subsetting] dispatchers: {config.name!r}, this dispatcher's name, is missing;"
            f" NAME=ZONE for each of all dispatchers is allowed"
        )
    fleet = tuple(Instance(name, zone) for name, zone in subsetting.dispatchers.items())
    zones, whole = len(set(subsetting.dispatchers.values())), subsetting.largest_whole_view
    size = subset_size(len(fleet), subsetting.workers, zones, whole)
    return WorkerSubset(fleet, config.name, size, config.settings) if size is not None else None


def _gone(target: Target) -> Target:
    """A worker that is no pool member any more, as one that is gone."""
    e = target.entry
    return target._replace(entry=i.Entry(e.worker, i.Health.GONE, e.zone, e.cell, e.since, e.kind))


def worker_of(target: Target) -> "Worker":
    """A target as a pool's choice sees it."""
    from wickgw.routing.table import Worker

    return Worker(target.entry.worker, target.zone, target.model, target.entry.cell)
