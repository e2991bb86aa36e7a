"""Connections to label workers, the pool of idle ones, and the attempts that run on them.

Owns every socket to a worker, every timer of an attempt, and the addresses of the workers. Each attempt ends
in exactly one outcome, given in `Attempt.end`; each connection is given back in
`WorkerConnection.connection_lost` or, before it has a transport, in `WorkerConnection._give_up_opening`. It
must never send an attempt again by itself, call one "never ran" unless its last byte was still here, or
make up a result.
"""

import asyncio
import errno
import socket
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

import msgspec

from wickgw import interface as i
from wickgw.facts import read_load, read_share
from wickgw.net import http
from wickgw.net.dispatch import Dispatcher, PendingRequest
from wickgw.net.listen import address
from wickgw.net.sockets import Connection, Sockets
from wickgw.observe import logger

log = logger("wickgw")
MAX_LINE = http.MAX_BODY + 4096  # a job event: the largest result and what stands around it
MAX_RESPONSE = 1 << 20  # all lines of one try: hours of progress
LAST = {"failed": i.Verdict.ERROR, "returned": i.Verdict.FULL, "lost": i.Verdict.RESET}
# Seconds that a connection rests after an answer without the request's id, or one that hands it back, before
# it carries another attempt: a second one, some milliseconds late, would be taken for the next attempt's, and
# "never ran" for the truth.
DOUBT = 0.05
LINGER = 1.0  # seconds that the framing may end after the last job event
TRUST = 0.9  # share of the settings' idle time after which a connection is closed from this side
SWEEP = 0.25  # seconds between looks at idle connections


class JobEvent(msgspec.Struct):
    """A line of a label worker's answer, as far as it is read."""

    id: str
    state: str
    result: str | None = None
    share: Any = None  # of the job that is done
    load: Any = None  # the worker's load report. Nonsense in either is passed over: the job is none the worse


JOB_EVENT = msgspec.json.Decoder(JobEvent)


@dataclass(frozen=True, slots=True)
class Job:
    """What a client asked for, as it is passed on unchanged."""

    method: str
    target: str
    body: bytes
    key: str | None = None  # of a request whose repeats workers drop: they know them by it


class Attempt:
    """One attempt. It holds its timer, and its connection while one carries it."""

    def __init__(self, pool: "WorkerConnections", pending: PendingRequest, number: int, until: float) -> None:
        self.pool, self.pending, self.number, self.until = pool, pending, number, until
        self.connection: WorkerConnection | None = None
        self.over = False
        self.free: float | None = None  # slots free at the worker, if it has reported them
        self.timer = pool.loop.call_at(until, self.give_up, i.Verdict.TIMEOUT)

    @property
    def opening(self) -> "WorkerConnection | None":
        """The connection that it waits for: nothing of it is written."""
        return self.connection if self.connection is not None and not self.connection.begun else None

    def hurry(self, until: float) -> None:
        """Wait no longer than that."""
        if until < self.until:
            self.timer.cancel()
            self.until = until
            self.timer = self.pool.loop.call_at(until, self.give_up, i.Verdict.TIMEOUT)

    def request(self) -> bytes:
        """Its bytes, with the time that is left now."""
        job: Job = self.pending.job
        left = max(1, int((self.until - self.pool.loop.time()) * 1000))
        fields = {"Host": "app.svc", "Req-Id": self.pending.id, "Req-Deadline-Ms": str(left)}
        if job.key is not None:
            fields["Idempotency-Key"] = job.key
        return http.request(job.method, job.target, fields, job.body)

    def give_up(self, verdict: i.Verdict) -> None:
        """Stop waiting: the connection is closed, which tells the worker."""
        connection, self.connection = self.connection, None
        if connection is not None:
            # Whatever has not left the buffer never will: the connection is aborted before this is said.
            if verdict is i.Verdict.TIMEOUT and not connection.written:
                verdict = i.Verdict.CONNECT_FAILED
            connection.drop()
        self.end(verdict)

    def end(self, verdict: i.Verdict, result: bytes = b"") -> None:
        """The one place where an attempt ends; what comes later is too late."""
        if self.over:
            return
        self.over = True
        self.timer.cancel()
        del self.pool.attempts[self.pending.id, self.number]
        self.pool.dispatcher.ended(self.pending.id, self.number, verdict, result, self.free)


@dataclass(slots=True, eq=False)
class WorkerEndpoint:
    """One label worker: where it listens and which connections to it are idle, the newest last."""

    address: str
    since: float | None  # its last start
    listed: bool = True  # as it stands here; False once it is gone, has moved or has started anew
    idle: list["WorkerConnection"] = field(default_factory=list)


class WorkerConnection(Connection):
    """One connection to a worker: it opens, carries one attempt at a time, and idles between them."""

    def __init__(self, pool: "WorkerConnections", endpoint: WorkerEndpoint, attempt: Attempt) -> None:
        self.pool, self.endpoint = pool, endpoint
        self.attempt: Attempt | None = attempt
        self.parser = http.ResponseParser()
        self.status: http.Head | None = None
        self.outcome: tuple[i.Verdict, bytes] | None = None  # what the last line said
        self.line = bytearray()
        self.size = 0
        self.written = False  # the last byte of the attempt's request has left the transport's buffer
        self.closed = False
        self.idle_since = 0.0
        self.adopted = False  # the socket is the transport's, or on its way there
        self.begun = False  # bytes of a request have been given to the transport
        self.timer: asyncio.TimerHandle | None = None  # bounds the opening, or the wait for the framing's end

    # Opening.

    def open(self) -> None:
        """Begin to connect. Whatever goes wrong ends the attempt as could-not-connect."""
        loop = self.pool.loop
        try:
            self.sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            code = sock.connect_ex(address(self.endpoint.address))
        except (OSError, ValueError) as error:
            log.warning("try.no-socket", error=str(error))
            self._give_up_opening()
            return
        if code not in (0, errno.EINPROGRESS):
            self._give_up_opening()
            return
        self.timer = loop.call_later(self.pool.connect_timeout, self._give_up_opening)
        loop.add_writer(sock.fileno(), self._connected)

    def _connected(self) -> None:
        assert self.sock is not None
        self.pool.loop.remove_writer(self.sock.fileno())
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._give_up_opening()
        else:
            self.adopted = True
            self.pool.sockets.adopt(self.sock, self)

    def _give_up_opening(self) -> None:
        """Refused, out of reach, or no longer wanted: nothing was written, so the attempt never ran."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.closed:
            return
        self.closed = True
        if self.sock is not None and not self.adopted:
            self.pool.loop.remove_writer(self.sock.fileno())
            self.sock.close()
        self.sock = None
        if not self.adopted:
            self.pool.forget(self)
        self._end(i.Verdict.CONNECT_FAILED)

    def never_opened(self) -> None:
        self.adopted = False
        self.sock = None
        if self.closed:
            self.pool.forget(self)
        else:
            self._give_up_opening()

    def opened(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.closed or self.attempt is None:  # given up while the transport was made
            self.abort()
            return
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)  # resume_writing then means: all is written
        self.pool.opened += 1
        self._write()

    # Carrying an attempt.

    def carry(self, attempt: Attempt) -> None:
        """Take an attempt on this idle connection."""
        self.attempt, self.begun = attempt, False
        self._write()

    def _write(self) -> None:
        assert self.attempt is not None and self.transport is not None
        if not self.pool.dispatcher.may_write(self.attempt.pending):
            if self.attempt is not None:  # not withdrawn with its request
                self.attempt.give_up(i.Verdict.NOT_SENT)
            return
        self.status, self.outcome, self.size, self.written = None, None, 0, False
        self.line.clear()
        self.begun = True
        self.transport.write(self.attempt.request())
        # A write that fails at once leaves the buffer empty too, but nothing of it was sent: the transport
        # is closing then.
        if not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            self.written = True

    def resume_writing(self) -> None:
        """The transport's buffer is empty again: the last byte has left."""
        self.written = True

    def received(self, data: bytes) -> None:
        if self.attempt is None:  # nothing was asked for, or the attempt is given up
            self.drop()
            return
        try:
            for part in self.parser.feed(data):
                if self.attempt is None:  # given up by what the part before it led to
                    return
                if isinstance(part, http.Head):
                    self.status = part
                elif isinstance(part, http.End):
                    self._whole(part.keep)
                else:
                    self._body(part)
        except (http.HttpError, ValueError, RecursionError) as error:  # the last: JSON nested without end
            log.warning("peer.nonsense", error=str(error)[:200])
            verdict, result = self.outcome or (i.Verdict.ERROR, b"")
            self._end(verdict, result)
            self.drop()
            return
        if self.outcome is not None and self.attempt is not None and not self.attempt.over:
            # The last line is in and the end of the framing is not: the answer does not wait for it.
            self.timer = self.pool.loop.call_later(LINGER, self.drop)
            self.attempt.end(*self.outcome)

    def _body(self, piece: bytes) -> None:
        self.size += len(piece)
        if self.size > MAX_RESPONSE:
            raise ValueError("response too long")
        if self.status is None or self.status.status != 200:
            return
        self.line += piece
        while (end := self.line.find(b"\n")) >= 0:
            line = bytes(self.line[:end])
            del self.line[: end + 1]
            if line.strip():
                self._event(line)
        if len(self.line) > MAX_LINE:
            raise ValueError("job event too long")

    def _event(self, line: bytes) -> None:
        """A job event: what it says of the attempt. A last one is kept until the framing is looked at, so
        that the connection is in the pool by the time the Balancer counts on it."""
        attempt = self.attempt
        if attempt is None:
            return
        if self.outcome is not None:
            raise ValueError("job event after the last one")
        try:
            event = JOB_EVENT.decode(line)
        except msgspec.MsgspecError as error:
            raise ValueError(f"not a job event: {error}") from error
        if event.id != attempt.pending.id:
            raise ValueError("job event that is not about this attempt")
        state, attempt.free = event.state, read_load(event.load, self.pool.free_slots)
        if state == "started":
            self.pool.dispatcher.started(attempt.pending.id, attempt.number)
        elif state == "running":
            self.pool.dispatcher.progress(attempt.pending.id, attempt.number, read_share(event.share))
        elif state == "done":
            result = event.result
            if result is None:
                raise ValueError("a job done without a result")
            self.outcome = i.Verdict.OK, result.encode()
        elif state in LAST:
            self.outcome = LAST[state], b""
        else:
            raise ValueError("job event of an unknown state")

    def _whole(self, keep: bool) -> None:
        """The response is in: what it means if no job event has said it, and the connection idles."""
        assert self.status is not None
        if self.status.status == 200 and self.line.strip():
            self._event(bytes(self.line))  # a last line without its end
            if self.attempt is None:  # given up by what the line led to
                return
        if self.outcome is not None:
            verdict, result = self.outcome
        elif self.status.status == 200:
            verdict, result = i.Verdict.RESET, b""  # it ended before its last line
        elif self.status.status in (503, 504) and self.status.headers.get("srv-declined") == "1":
            verdict, result = i.Verdict.FULL, b""
        elif 400 <= self.status.status < 500 and self.status.status not in (408, 429):
            verdict, result = i.Verdict.UNUSABLE, b""  # the request's fault, not the worker's
        else:
            verdict, result = i.Verdict.ERROR, b""
        attempt, self.attempt = self.attempt, None
        if attempt is not None and self.status.status != 200:
            attempt.free = self.pool.free_told(self.status)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if keep and self.parser.between and self.written:
            # Its lines name the request that they are about, but one handed back may come here once more.
            if self.status.status == 200 and verdict is not i.Verdict.FULL:
                self.pool.idle(self)
            else:
                self.timer = self.pool.loop.call_later(DOUBT, self._rested)
        else:
            self.drop()
        if attempt is not None:
            attempt.connection = None
            attempt.end(verdict, result)

    def _rested(self) -> None:
        self.timer = None
        if not self.closed:
            self.pool.idle(self)

    def _end(self, verdict: i.Verdict, result: bytes = b"") -> None:
        """The connection can't carry its attempt any further."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.connection = None
            attempt.end(verdict, result)

    # Closing.

    def drop(self) -> None:
        """Close it now. An unwritten rest must not be sent, so it is aborted, not closed."""
        self.attempt = None
        if self.transport is None:
            self._give_up_opening()
            return
        self.closed = True
        self.abort()

    def eof_received(self) -> bool:
        """The worker has ended: a response without a length is whole, any other is broken off."""
        end = self.parser.eof() if self.attempt is not None else None
        if end is not None:
            try:
                self._whole(end.keep)
            except (ValueError, RecursionError) as error:
                log.warning("peer.nonsense", error=str(error)[:200])
                self._end(i.Verdict.ERROR)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The one place where an open connection is given back."""
        self.closed, self.sock = True, None
        if self.timer is not None:
            self.timer.cancel()
        self.pool.forget(self)
        self._end(i.Verdict.RESET if self.written else i.Verdict.CONNECT_FAILED)


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
        self.keep = idle_close * TRUST
        self.endpoints: dict[str, WorkerEndpoint] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.connections: set[WorkerConnection] = set()
        self.idle_order: OrderedDict[WorkerConnection, None] = OrderedDict()  # longest idle first
        self.opened = 0
        self._sweeper = loop.call_later(SWEEP, self._sweep)
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
            self.endpoints[worker] = WorkerEndpoint(
                address, since
            )  # first, since what is withdrawn may be sent anew at once
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
        for attempt in [t for t in self.attempts.values() if t.opening and t.opening.endpoint is endpoint]:
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
        self._sweeper = self.loop.call_later(SWEEP, self._sweep)
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
