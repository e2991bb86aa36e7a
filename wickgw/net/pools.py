"""Worker pools and the routing of requests to them.

Each pool has its own decision module, worker list, connections and counters; the routing table chooses a pool
for each request. Without routes there is one pool with all workers, and no routing code is imported. This
module owns the pools, the current worker list and the pools that a reload has retired. A retired pool serves
under its old table until its last request has ended. Workers are chosen by the decision module of a pool.
Every update of the list goes to all pools at once.
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
from wickgw.net.sent_ids import create_sent_ids
from wickgw.net.sockets import Sockets
from wickgw.net.worker_list import Target
from wickgw.observe import get_logger

if TYPE_CHECKING:
    from wickgw.config.schema import SubsettingSettings
    from wickgw.routing.match import Request
    from wickgw.routing.table import Pool, Route, Table, Worker

log = get_logger("wickgw.routing")
RETIRED_CHECK_INTERVAL_S = 0.5  # between checks whether a retired pool has ended its last request


@dataclass(frozen=True, slots=True)
class PoolChoice:
    """The pool of a request and the limits that its route sets."""

    pool: PoolServer
    job_class: str  # the first segment of the path, in normal form where there are routes
    max_attempts: int | None = None
    time_limit: float = float("inf")  # seconds


class NoRouteError(Exception):
    """No route matches a request, or its target has no normal form (`malformed`)."""

    def __init__(self, reason: str, malformed: bool = False) -> None:
        super().__init__(reason)
        self.malformed = malformed


class Pools:
    """All pools of a process, and the routing table that chooses among them, if there is one.

    `zone_header` names the header field with the client's zone; empty for none.
    """

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
        self.workers: dict[str, Target] = {}  # the current list, kept only where there are routes
        self.servers: dict[str, PoolServer] = {}
        self.retired: list[PoolServer] = []
        self.reported_ties: set[tuple[str, ...]] = set()
        self._stop_deadline: float | None = None
        self._close_timer: asyncio.TimerHandle | None = None
        settings = config.settings
        longest_deadline = max(each.deadline for each in settings.classes)
        self.sent_ids = create_sent_ids(longest_deadline, config.passed_descriptor is not None)
        self.zone = settings.zones[settings.zone] if settings.zone < len(settings.zones) else ""
        if table is None:
            self.servers[""] = PoolServer(
                "", lambda target: True, config, loop, clock, sockets, self.sent_ids, subsetting
            )
            self.counters = self.servers[""].dispatcher.counters
        else:
            self.counters = Counter[str]()
            for pool in table.pools.values():
                self.servers[pool.name] = self._create_server(pool)

    def _create_server(self, pool: "Pool") -> PoolServer:
        def contains(target: Target) -> bool:
            return pool.includes(routing_worker(target))

        common_arguments = self.config, self.loop, self.clock, self.sockets, self.sent_ids
        return PoolServer(pool.name, contains, *common_arguments, self.subsetting)

    @property
    def all_servers(self) -> list[PoolServer]:
        """The pools of the current table, and the retired ones."""
        return [*self.servers.values(), *self.retired]

    # The worker list.

    def begin(self, known: list[Target]) -> None:
        """Start every pool with the last known worker list."""
        self._update_workers(i.ListKind.REPLACE, known)
        for server in self.all_servers:
            server.begin(known)

    def on_update(self, kind: i.ListKind, targets: list[Target]) -> None:
        """Pass an update of the worker list to every pool."""
        self._update_workers(kind, targets)
        for server in self.all_servers:
            server.on_update(kind, targets)

    def _update_workers(self, kind: i.ListKind, targets: list[Target]) -> None:
        """Keep the list for the pools of a later table; needed only where there are routes."""
        if self.table is None:
            return
        if kind is i.ListKind.REPLACE:
            self.workers = {}
        for target in targets:
            if target.entry.health is i.Health.GONE:
                self.workers.pop(target.entry.worker, None)
            else:
                self.workers[target.entry.worker] = target

    # Requests.

    def choose(self, request: http.Request) -> PoolChoice:
        """Choose the pool of a request. Raises NoRouteError."""
        if self.table is None:
            return PoolChoice(self.servers[""], unquote(request.path[1:].partition("/")[0]))
        routing_request = self.normalize(request)
        match = self.table.lookup(routing_request)
        route = match.route
        if route is None:
            self.counters["routes.none"] += 1
            raise NoRouteError("no route takes this")
        if match.tied:
            self._report_tie(match.tied, routing_request)
        name, is_out = self.table.pool_for(route, _WorkerCounts(self.servers))
        self.counters[f"routes.{route.name}"] += 1
        if is_out:
            self.counters["routes.out"] += 1
        limit = float("inf") if route.time_limit_s is None else route.time_limit_s
        return PoolChoice(self.servers[name], unquote(routing_request.job_class), route.attempts, limit)

    def normalize(self, request: http.Request) -> "Request":
        """Convert a request to the form that routes match. Raises NoRouteError if it has no normal form."""
        from wickgw.routing import normal
        from wickgw.routing.match import Request

        zone = request.headers.get(self.zone_header, "") if self.zone_header else ""
        known = self.config.settings.zones
        try:
            host, path = normal.host(request.headers.get("host", "")), normal.path(request.path)
        except normal.MalformedError as error:
            raise NoRouteError(str(error), malformed=True) from error
        return Request(host, path, request.method, zone if zone in known else self.zone, request.headers)

    def _report_tie(self, routes: "tuple[Route, ...]", routing_request: "Request") -> None:
        """Log routes of equal precedence, each set once. The first in the file serves.

        `wickgw route check` reports such ties before a table is used.
        """
        self.counters["routes.tied"] += 1
        names = tuple(route.name for route in routes)
        if names not in self.reported_ties and len(self.reported_ties) < 100:
            self.reported_ties.add(names)
            log.warning("route.tied", routes=" ".join(names), request=routing_request.describe())

    def submit(self, choice: PoolChoice, pending: PendingRequest) -> bool:
        """Hand a request to its pool. Returns False if its id is in use in any pool."""
        if self.table and any(pending.id in server.dispatcher.pending for server in self.all_servers):
            return False
        return choice.pool.dispatcher.submit(pending)

    # Reload.

    def replace_table(self, table: "Table") -> None:
        """Use another table from now on.

        A pool with an unchanged definition keeps its learned state. Any other is created anew, and its
        predecessor retires with its open requests.
        """
        assert self.table is not None
        old_table, self.table = self.table, table
        servers = {}
        for pool in table.pools.values():
            if old_table.pools.get(pool.name) == pool:
                servers[pool.name] = self.servers.pop(pool.name)
                continue
            server = servers[pool.name] = self._create_server(pool)
            server.begin(list(self.workers.values()))
            if self._stop_deadline is not None:
                server.dispatcher.stop(self._stop_deadline - self.clock.now())
        for server in self.servers.values():
            log.info("pool.retired", pool=server.name, owed=server.dispatcher.unanswered)
        self.retired += self.servers.values()
        self.servers = servers
        self.reported_ties.clear()
        log.info("routes.replaced", routes=len(table.routes), pools=len(table.pools))
        self._close_retired()

    def _close_retired(self) -> None:
        """Close the retired pools whose last request has ended."""
        if self._close_timer is not None:
            self._close_timer.cancel()
            self._close_timer = None
        for server in [candidate for candidate in self.retired if not candidate.dispatcher.pending]:
            self.counters["pools.ended"] += 1
            server.close()
            self.retired.remove(server)
        if self.retired:
            self._close_timer = self.loop.call_later(RETIRED_CHECK_INTERVAL_S, self._close_retired)

    # All pools together.

    @property
    def unanswered(self) -> int:
        """The number of requests without a final answer."""
        return sum(server.dispatcher.unanswered for server in self.all_servers)

    def stop(self, within: float) -> None:
        """Prepare for the end of the process in `within` seconds."""
        self._stop_deadline = self.clock.now() + within
        for server in self.all_servers:
            server.dispatcher.stop(within)

    def report(self) -> dict[str, object]:
        """Return the current values over all pools and, where there are routes, the report of each pool."""
        servers = self.all_servers
        longest_step_s, on = max(each.dispatcher.longest_step for each in servers)
        now: dict[str, object] = {
            "owed": self.unanswered,
            "tries_out": sum(len(each.connections.attempts) for each in servers),
            "peer_connections": sum(len(each.connections.connections) for each in servers),
            "peers": len({worker for each in servers for worker in each.connections.endpoints}),
            "members": sum(len(each.dispatcher.balancer.members) for each in servers),
            "peak_memory_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024 / 1e6, 1),
            "peer_connections_opened": sum(each.connections.opened_count for each in servers),
            "max_stall_ms": round(max(each.dispatcher.max_stall_s for each in servers) * 1000, 1),
            "longest_step_ms": round(longest_step_s * 1000, 1),
            "longest_step_on": on,
        }
        if self.table is None:
            return {"now": now | (self.servers[""].subset.counts if self.servers[""].subset else {})}
        pools = {name: server.report() for name, server in self.servers.items()}
        return {"now": now | {"pools_retired": len(self.retired)}, "pools": pools}

    def close(self) -> None:
        """Close every pool."""
        if self._close_timer is not None:
            self._close_timer.cancel()
        for server in self.all_servers:
            server.close()
        self.sent_ids.close()


class _WorkerCounts(dict[str, tuple[int, int]]):
    """Numbers of ready and draining workers by pool, looked up on demand."""

    def __init__(self, servers: dict[str, PoolServer]) -> None:
        super().__init__()
        self.servers = servers

    def get(self, name: str, default: object = None) -> tuple[int, int]:
        """Return the counts of ready and draining workers."""
        return self.servers[name].worker_counts


def routing_worker(target: Target) -> "Worker":
    """Convert a target to the form that pool definitions match."""
    from wickgw.routing.table import Worker

    return Worker(target.entry.worker, target.zone, target.model, target.entry.cell)
