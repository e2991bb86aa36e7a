"""The pool of connections to label workers: starts and gives up attempts, keeps idle connections.

Owns every socket to a worker, every attempt that is out, and the addresses of the workers. Each attempt ends
in exactly one outcome, given in `Attempt.end`. It must never send an attempt again by itself, or make up a
result.
"""

import asyncio
from collections import OrderedDict

import msgspec

from wickgw import interface as i
from wickgw.facts import read_load
from wickgw.net import http
from wickgw.net.attempt import Attempt
from wickgw.net.dispatch import Dispatcher, PendingRequest
from wickgw.net.sockets import Sockets
from wickgw.net.worker_connection import WorkerConnection, WorkerEndpoint

TRUSTED_SHARE = 0.9  # of the settings' idle time, after which a connection is closed from this side
SWEEP_S = 0.25  # between looks at idle connections


class WorkerConnections:
    """All workers: starts and gives up attempts, keeps idle connections."""

    dispatcher: Dispatcher  # set once, when both exist

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sockets: Sockets,
        connect_timeout: float,
        idle_close: float,
        free_slots: str = "",
    ) -> None:
        self.loop, self.sockets, self.connect_timeout = loop, sockets, connect_timeout
        self.free_slots = free_slots  # the field of load reports that tells them; empty: none does
        self.keep = idle_close * TRUSTED_SHARE
        self.endpoints: dict[str, WorkerEndpoint] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.opening: set[Attempt] = set()  # those of the attempts that wait for a new connection
        self.connections: set[WorkerConnection] = set()
        self.idle_order: OrderedDict[WorkerConnection, None] = OrderedDict()  # longest idle first
        self.opened = 0
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)
        sockets.sides.append(self)

    def free_told(self, head: http.Head) -> float | None:
        """The free slots that an answer's load report tells."""
        report = head.headers.get("srv-load") if self.free_slots else None
        try:
            return read_load(msgspec.json.decode(report), self.free_slots) if report else None
        except (msgspec.MsgspecError, UnicodeError, RecursionError):
            return None

    def place(self, worker: str, address: str, since: float | None) -> None:
        """Discovery says where a worker listens, and since when. What idled there before is of no use."""
        endpoint = self.endpoints.get(worker)
        if endpoint is None or (endpoint.address, endpoint.since) != (address, since):
            # First, since what is withdrawn may be sent anew at once.
            self.endpoints[worker] = WorkerEndpoint(address, since)
            self._leave(endpoint)

    def remove(self, worker: str) -> None:
        """A worker is gone from the list; attempts that run there go on, those that are not written don't."""
        self._leave(self.endpoints.pop(worker, None))

    def _leave(self, endpoint: WorkerEndpoint | None) -> None:
        if endpoint is not None:
            endpoint.listed = False
            self._close_idle(endpoint)
            self._withdraw_from(endpoint)

    def withdraw_from(self, worker: str) -> None:
        """A worker wants nothing new: attempts that wait for a connection to it were decided before that
        was told, and would be written after it, by as much as the connection takes to open."""
        if worker in self.endpoints:
            self._withdraw_from(self.endpoints[worker])

    def _withdraw_from(self, endpoint: WorkerEndpoint) -> None:
        for attempt in [a for a in self.opening if a.opening and a.opening.endpoint is endpoint]:
            attempt.give_up(i.Verdict.NOT_SENT)

    def withdraw(self, request: str, number: int) -> None:
        """The request is over: an attempt that is not written yet never will be."""
        attempt = self.attempts.get((request, number))
        if attempt is not None and attempt.opening:
            attempt.give_up(i.Verdict.NOT_SENT)

    def start(self, pending: PendingRequest, number: int, worker: str, until: float) -> None:
        """Start an attempt on the connection that idled last, or on a new one."""
        attempt = Attempt(self, pending, number, until)
        self.attempts[pending.id, number] = attempt
        endpoint = self.endpoints.get(worker)
        if endpoint is None:  # it left the list a moment ago
            attempt.end(i.Verdict.CONNECT_FAILED)
            return
        while endpoint.idle:
            connection = endpoint.idle.pop()
            del self.idle_order[connection]
            # After a stall of this process the sweep is as late as this: so the age is looked at here too.
            # And the worker's end may lie unread: a job written after it would be lost, as perhaps run.
            if connection.idle_since > self.loop.time() - self.keep and connection.quiet():
                attempt.connection = connection
                connection.carry(attempt)
                return
            connection.drop()
        if self.sockets.left_for_workers(self) <= 0 and not self.close_one_idle():
            any(other.close_one_idle() for other in self.sockets.sides)
        if self.sockets.left_for_workers(self) <= 0:
            attempt.end(i.Verdict.CONNECT_FAILED)  # no descriptor left: true, it never ran
            return
        self.opening.add(attempt)
        attempt.connection = connection = WorkerConnection(self, endpoint, attempt)
        self.connections.add(connection)
        connection.open()

    def hurry(self, until: float, request: str | None = None) -> None:
        """No attempt (of that request) is waited for any longer than that."""
        for attempt in self.attempts.values():
            if request is None or attempt.pending.id == request:
                attempt.hurry(until)

    def cancel(self, request: str, number: int) -> None:
        """Give an attempt up."""
        if attempt := self.attempts.get((request, number)):
            attempt.give_up(i.Verdict.CANCELLED)

    def close_idle(self, worker: str) -> None:
        """Close the idle connections to a worker."""
        if worker in self.endpoints:
            self._close_idle(self.endpoints[worker])

    def _close_idle(self, endpoint: WorkerEndpoint) -> None:
        for connection in list(endpoint.idle):
            self._unpool(connection)
            connection.drop()

    def idle(self, connection: WorkerConnection) -> None:
        """A connection has carried its attempt to the end and waits for another."""
        if not connection.endpoint.listed:  # it would wait in vain
            connection.drop()
            return
        connection.idle_since = self.loop.time()
        connection.endpoint.idle.append(connection)
        self.idle_order[connection] = None

    def forget(self, connection: WorkerConnection) -> None:
        """A connection is closed."""
        self.connections.discard(connection)
        self._unpool(connection)

    def _unpool(self, connection: WorkerConnection) -> None:
        if connection in self.idle_order:
            del self.idle_order[connection]
            connection.endpoint.idle.remove(connection)

    def close_one_idle(self) -> bool:
        """Close the connection that idled longest; whether there was one."""
        connection = next(iter(self.idle_order), None)
        if connection is None:
            return False
        self._unpool(connection)
        self.connections.discard(connection)
        connection.drop()
        return True

    def _sweep(self) -> None:
        """Close what has idled so long that the worker may close it while a job is on its way."""
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)
        limit = self.loop.time() - self.keep
        while self.idle_order and (oldest := next(iter(self.idle_order))).idle_since <= limit:
            self._unpool(oldest)
            oldest.drop()

    def close(self) -> None:
        """Give everything back."""
        self._sweeper.cancel()
        self.sockets.sides.remove(self)
        for connection in list(self.connections):
            connection.drop()
