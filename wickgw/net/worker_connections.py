"""The connections of one pool to its label workers: starts and cancels attempts, keeps idle connections.

Owns every socket to a worker, every open attempt and the addresses of the workers. Each attempt has exactly
one outcome, reported by `Attempt.finish`. This module never repeats an attempt on its own and never invents
a result.
"""

import asyncio
from collections import OrderedDict

import msgspec

from wickgw import interface as i
from wickgw.net import http
from wickgw.net.attempt import Attempt
from wickgw.net.dispatch import Dispatcher, PendingRequest
from wickgw.net.sockets import Sockets
from wickgw.net.worker_connection import WorkerConnection, WorkerEndpoint
from wickgw.platform_data import read_free_slots

IDLE_TIMEOUT_SHARE = 0.9  # share of the settings' idle time after which this side closes a connection
SWEEP_INTERVAL_S = 0.25  # between checks of the idle connections


class WorkerConnections:
    """The workers of one pool: starts and cancels attempts, keeps idle connections.

    `connect_timeout` and `idle_timeout` are in seconds.
    """

    dispatcher: Dispatcher  # set once, after both objects exist

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sockets: Sockets,
        connect_timeout: float,
        idle_timeout: float,
        free_slots_field: str = "",
    ) -> None:
        self.loop, self.sockets, self.connect_timeout = loop, sockets, connect_timeout
        # The field of load reports that gives the free slots; empty if workers send no reports.
        self.free_slots_field = free_slots_field
        self.max_idle_s = idle_timeout * IDLE_TIMEOUT_SHARE
        self.endpoints: dict[str, WorkerEndpoint] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.waiting_attempts: set[Attempt] = set()  # attempts whose connection is still opening
        self.connections: set[WorkerConnection] = set()
        self.idle_order: OrderedDict[WorkerConnection, None] = OrderedDict()  # longest idle first
        self.opened_count = 0
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        sockets.pools.append(self)

    def read_free_slots(self, head: http.ResponseHead) -> float | None:
        """Return the free slots in the load report of an answer, or None without a valid report."""
        report = head.headers.get("srv-load") if self.free_slots_field else None
        try:
            return read_free_slots(msgspec.json.decode(report), self.free_slots_field) if report else None
        except (msgspec.MsgspecError, UnicodeError, RecursionError):
            return None

    def set_endpoint(self, worker: str, address: str, started_at: float | None) -> None:
        """Set the address and last start of a worker. Idle connections to an earlier one are closed."""
        endpoint = self.endpoints.get(worker)
        if endpoint is None or (endpoint.address, endpoint.started_at) != (address, started_at):
            # The new endpoint comes first, since the cancelled attempts may be repeated at once.
            self.endpoints[worker] = WorkerEndpoint(address, started_at)
            self._retire_endpoint(endpoint)

    def remove(self, worker: str) -> None:
        """Handle a worker's removal from the list. Running attempts go on; unsent ones are cancelled."""
        self._retire_endpoint(self.endpoints.pop(worker, None))

    def _retire_endpoint(self, endpoint: WorkerEndpoint | None) -> None:
        if endpoint is not None:
            endpoint.is_current = False
            self._close_idle_connections(endpoint)
            self._cancel_unsent_to(endpoint)

    def cancel_unsent_to(self, worker: str) -> None:
        """Cancel the unsent attempts to a worker that takes no more jobs.

        They were decided before the worker's drain was known. Their connections are still opening, so they
        would be written after it.
        """
        if worker in self.endpoints:
            self._cancel_unsent_to(self.endpoints[worker])

    def _cancel_unsent_to(self, endpoint: WorkerEndpoint) -> None:
        for attempt in [
            candidate
            for candidate in self.waiting_attempts
            if candidate.waiting_connection and candidate.waiting_connection.endpoint is endpoint
        ]:
            attempt.abandon(i.Verdict.NOT_SENT)

    def cancel_unsent(self, request_id: str, number: int) -> None:
        """Cancel an attempt of a finished request if none of its bytes is written."""
        attempt = self.attempts.get((request_id, number))
        if attempt is not None and attempt.waiting_connection:
            attempt.abandon(i.Verdict.NOT_SENT)

    def start(self, pending: PendingRequest, number: int, worker: str, deadline: float) -> None:
        """Start an attempt on the most recently used idle connection, or on a new one."""
        attempt = Attempt(self, pending, number, deadline)
        self.attempts[pending.id, number] = attempt
        endpoint = self.endpoints.get(worker)
        if endpoint is None:  # the worker just left the list
            attempt.finish(i.Verdict.CONNECT_FAILED)
            return
        while endpoint.idle_connections:
            connection = endpoint.idle_connections.pop()
            del self.idle_order[connection]
            # The age is checked here too, since a stall of this process also delays the sweep. The worker's
            # close may be unread: a job written after it would be lost, and would count as perhaps run.
            if connection.idle_since > self.loop.time() - self.max_idle_s and connection.is_quiet():
                attempt.connection = connection
                connection.send_attempt(attempt)
                return
            connection.drop()
        if self.sockets.available_for(self) <= 0 and not self.close_oldest_idle():
            any(other.close_oldest_idle() for other in self.sockets.pools)
        if self.sockets.available_for(self) <= 0:
            attempt.finish(i.Verdict.CONNECT_FAILED)  # no descriptor left, so it never ran
            return
        self.waiting_attempts.add(attempt)
        attempt.connection = connection = WorkerConnection(self, endpoint, attempt)
        self.connections.add(connection)
        connection.open()

    def shorten_deadlines(self, deadline: float, request_id: str | None = None) -> None:
        """Let no attempt, or no attempt of `request_id`, run past `deadline`."""
        for attempt in self.attempts.values():
            if request_id is None or attempt.pending.id == request_id:
                attempt.shorten_deadline(deadline)

    def cancel(self, request_id: str, number: int) -> None:
        """Cancel an attempt."""
        if attempt := self.attempts.get((request_id, number)):
            attempt.abandon(i.Verdict.CANCELLED)

    def close_idle(self, worker: str) -> None:
        """Close the idle connections to a worker."""
        if worker in self.endpoints:
            self._close_idle_connections(self.endpoints[worker])

    def _close_idle_connections(self, endpoint: WorkerEndpoint) -> None:
        for connection in list(endpoint.idle_connections):
            self._remove_idle(connection)
            connection.drop()

    def add_idle(self, connection: WorkerConnection) -> None:
        """Keep a connection whose attempt has ended for another one."""
        if not connection.endpoint.is_current:  # no attempt would use it
            connection.drop()
            return
        connection.idle_since = self.loop.time()
        connection.endpoint.idle_connections.append(connection)
        self.idle_order[connection] = None

    def remove_connection(self, connection: WorkerConnection) -> None:
        """Forget a closed connection."""
        self.connections.discard(connection)
        self._remove_idle(connection)

    def _remove_idle(self, connection: WorkerConnection) -> None:
        if connection in self.idle_order:
            del self.idle_order[connection]
            connection.endpoint.idle_connections.remove(connection)

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest. Returns whether there was one."""
        connection = next(iter(self.idle_order), None)
        if connection is None:
            return False
        self._remove_idle(connection)
        self.connections.discard(connection)
        connection.drop()
        return True

    def _sweep(self) -> None:
        """Close connections so old that the worker may close them while a job is in flight."""
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        oldest_allowed = self.loop.time() - self.max_idle_s
        while self.idle_order and (oldest := next(iter(self.idle_order))).idle_since <= oldest_allowed:
            self._remove_idle(oldest)
            oldest.drop()

    def close(self) -> None:
        """Cancel the timer and close every connection."""
        self._sweep_timer.cancel()
        self.sockets.pools.remove(self)
        for connection in list(self.connections):
            connection.drop()
