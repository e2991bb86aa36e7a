"""Client connections: the listeners, the HTTP connections of clients and the operator pages on the same port.

Owns the listening socket, every client connection and the one timer that supervises them. A request that is
read here becomes a pending request. Its answer comes from the dispatcher and is written whole on the
connection that the request came from. This module never answers a job on its own once the dispatcher has
accepted it, never closes a connection that still has an answer to come, and evicts connections without jobs
before connections with jobs.
"""

import asyncio
import contextlib
import itertools
import json
import math
import re
import socket
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Protocol

from wickgw import interface as i
from wickgw.net import http
from wickgw.net.attempt import Job
from wickgw.net.dispatch import Answer, AnswerKind, PendingRequest
from wickgw.net.memory_use import read_kernel_use
from wickgw.net.pools import NoRouteError, Pools
from wickgw.net.sockets import RESET_ON_CLOSE, UNCOUNTED_MESSAGE_BYTES, Connection, Sockets
from wickgw.observe import get_logger

log = get_logger("wickgw")
NETWORK_ALLOWANCE_S = 0.015  # of a client's deadline, for the network round trip
MAX_OPENING_CONNECTIONS = 32  # accepted connections without a transport; then other callbacks run first
ACCEPT_PAUSE_S = 0.02  # pause after a failed accept, or while no connection can be evicted
SWEEP_INTERVAL_S = 0.25  # between checks for stalled connections
# A client must get an error or a close within 3 s of connecting. Typical clients send a request in one piece.
REQUEST_TIMEOUT_S = 2.0  # for a request to arrive, and for a connection without a job to stay silent
LINGER_S = 2.0  # for a client to read its last answer before the connection is aborted
# Idle connections are kept for this long after a pause begins. The load balancer in front stops opening
# connections 0.2 s after a failed readiness check, but clients go on using the ones they have, and each of
# those is closed after its next answer. Closing an idle connection races with a request in flight, so the
# close waits until most connections have been used. None may be open after 4 s.
PAUSE_GRACE_S = 2.0
UNREAD_ANSWER_TIMEOUT_S = 15.0  # replaces LINGER_S while part of the answer is not delivered
# Bytes kept of what a client sends ahead of its answer, as budgeted for each connection. Reading goes on
# beyond this limit, so that the client's disconnect is noticed at once, but the further bytes are dropped.
MAX_PIPELINED_BYTES = http.MAX_HEAD_BYTES + 2 * http.MAX_BODY_BYTES
MAX_ANSWER_BYTES = 256 * 1024  # the largest answer with its head, and as much again for the kernel
READ_SIZE_BYTES = 32 * 1024  # per read in a check for a client's disconnect
MAX_LOOKAHEAD_READS = 16  # per check for a disconnect: more than a usual receive buffer holds
TOO_MUCH_HELD = "too much to hold, try again later"
MEMORY_RETRY_AFTER_S = 1  # told to a client whose request is refused for want of memory
# Time for the requests of one connection in one turn of the loop, and for all connections that have more to
# read than that. Other connections wait for no longer.
READ_SLICE_S, BACKLOG_SLICE_S = 0.001, 0.002
MAX_EVICTION_CANDIDATES = 16  # connections examined for one eviction
PAGE_MAX_AGE_S = 0.02  # rendering is most of the work for a page, and anybody may ask for it
ID_PATTERN = re.compile(r"[0-9A-Za-z._-]{1,64}")
MILLISECONDS_PATTERN = re.compile(r"[0-9]{1,9}")
EXTRA_NAME_PATTERN = re.compile(r"[0-9A-Za-z_-]+")
SLOTS_PATTERN = re.compile(r"[0-9]{1,6}(?:\.[0-9]{1,6})?")
TEXT_HEADERS = {"Content-Type": "text/plain; charset=utf-8"}
JSON_HEADERS = {"Content-Type": "application/json"}


class Gate(Protocol):
    """Permission to serve on a service address. It ends when the address may move to another instance."""

    def may_take(self) -> bool:
        """Return whether a connection may be accepted or a request be started."""

    def keeps_connections(self) -> bool:
        """Return whether a connection may stay open after its answer."""

    def may_answer(self) -> bool:
        """Return whether anything may be written."""

    def time_left(self) -> float:
        """Return the seconds that a request which starts now may take."""


class ClientConnection(Connection):
    """One client connection: reads a request, waits for its answer, writes the answer, reads the next."""

    def __init__(self, clients: "Clients", gate: Gate | None = None) -> None:
        self.clients, self.gate = clients, gate
        self.parser = http.RequestParser()
        self.pending: PendingRequest | None = None  # the request that waits for its answer
        self.job_bytes = 0  # of that request
        self.keep_alive = True  # the connection outlives the answer to the current request
        self.has_sent_job = False  # at least one job request was accepted
        self.arrived_after: float | None = None  # lower bound of the arrival time, from the backlog
        self.is_unused = True  # no answer has been written
        self.waiting_since = 0.0  # start of the wait for bytes; until the first answer, the time of opening
        self.is_reading = False  # `_read_requests` is running
        self.is_closing = False  # the last answer is written, and further input is ignored
        self.input_truncated = False  # input beyond MAX_PIPELINED_BYTES was dropped
        self.is_in_backlog = False  # requests in the parser wait for another turn of the loop

    def opened(self) -> None:
        """Start the time limit of the first request."""
        self.waiting_since = self.clients.loop.time()
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)  # resume_writing is called when all is written

    def open_failed(self) -> None:
        """Remove the connection, which got no transport."""
        self.clients.remove(self)

    @property
    def kernel_bytes(self) -> int:
        """Bytes that the kernel holds for this connection, in both directions."""
        return sum(read_kernel_use(self.sock)) if self.sock is not None else 0

    @property
    def held_bytes(self) -> int:
        """Bytes of requests and answers that this connection holds."""
        job_bytes = self.job_bytes if self.pending is not None else 0
        return job_bytes + self.parser.held_bytes + self.unwritten_bytes

    def _exceeds(self, size: int, limit: int) -> bool:
        """Return whether this connection holds too much, if `size` is what it holds and `limit` its bound.

        While all connections together hold too much, a few kilobytes are the bound.
        """
        if size <= UNCOUNTED_MESSAGE_BYTES:
            return False
        return size > limit or not self.clients.sockets.has_room(size)

    @property
    def can_close(self) -> bool:
        """Whether a close loses nothing: the last answer is out, or the connection is between requests."""
        return (
            not self.unwritten_bytes if self.is_closing else self.is_quiet() and not self.has_partial_request
        )

    @property
    def has_partial_request(self) -> bool:
        """Whether part of a request has arrived, but not all of it."""
        return self.pending is None and not self.is_closing and self.parser.has_partial_request

    @property
    def has_only_partial_request(self) -> bool:
        """Whether nothing has come in but a part of the first request."""
        return self.has_partial_request and not (self.has_sent_job or self.is_in_backlog)

    @property
    def waits_for_reader(self) -> bool:
        """Whether the next request has not begun to be parsed, and the answers before it are not written."""
        return self.unwritten_bytes > 0 and self.parser.incomplete is None

    def resume_writing(self) -> None:
        """Handle the requests that waited until the answers before them were written."""
        if self.pending is None and not (self.is_reading or self.is_in_backlog or self.is_closing):
            self.clients.read_later(self)

    def received(self, data: bytes) -> None:
        """Buffer input and handle the requests that are complete."""
        if not self.parser.has_partial_request and not self.is_unused:
            self.waiting_since = self.clients.loop.time()
        if self.pending is None and not self.is_reading and not self.is_in_backlog:
            self.parser.feed(data)
            self.read_requests()
            return
        buffered = len(self.parser.buffer)
        if self._exceeds(buffered + len(data), MAX_PIPELINED_BYTES):
            self.parser.feed(data[: max(0, UNCOUNTED_MESSAGE_BYTES - buffered)])
            self._truncate_input()
        else:
            self.parser.feed(data)

    def _truncate_input(self) -> None:
        # Reading does not pause, since the client's disconnect would wait behind its unread bytes.
        self.input_truncated = self.discarding = True
        self.clients.counters["cut"] += 1

    def drop_input_ahead(self) -> None:
        """Drop what the client has sent ahead of the answer to the request in hand, and read nothing more."""
        self.parser = http.RequestParser()
        self._truncate_input()

    def read_requests(self) -> None:
        """Handle the complete requests one after the other, for as long as one connection may take.

        This is a loop because recursion would grow the stack with a long series of requests that are answered
        at once. What is left waits for the next turns of the loop, and reading pauses until then.
        """
        self.is_reading = True
        slice_end = self.clients.loop.time() + READ_SLICE_S
        try:
            while self.pending is None and not self.is_closing:
                if self.clients.loop.time() > slice_end and self.parser.has_partial_request:
                    self.clients.read_later(self)
                    break
                # A client that goes on asking and reads no answer must not fill the memory, nor keep others
                # from the processor.
                waits = self.waits_for_reader and self.clients.is_contended
                if self._exceeds(self.unwritten_bytes, MAX_ANSWER_BYTES) or (
                    waits and self._exceeds(self.parser.held_bytes, MAX_PIPELINED_BYTES)
                ):
                    raise http.HttpError(413, "answers are not read")
                if waits:
                    break
                request = self.parser.next()
                size = self.parser.held_bytes if request is None else len(request.body)
                if self._exceeds(size, MAX_PIPELINED_BYTES):
                    raise http.HttpError(503, TOO_MUCH_HELD)
                if request is None and self.parser.has_more_to_decode:
                    continue
                if request is None:
                    if self.input_truncated:
                        raise http.HttpError(413, "too much sent ahead of answers")
                    may_take = self.gate is None or self.gate.may_take()
                    if may_take and self.parser.wants_continue() and self.transport is not None:
                        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                    break
                self.keep_alive = request.keep_alive
                self.clients.handle_request(self, request)
        except http.HttpError as error:  # the framing is lost: the start of the next request is unknown
            self.keep_alive = False
            retry = {"Retry-After": str(MEMORY_RETRY_AFTER_S)} if error.status == 503 else None
            self.reject(error.status, str(error), retry)
        finally:
            self.is_reading = False

    def reject(self, status: int, reason: str, fields: dict[str, str] | None = None) -> None:
        """Answer a request that was not accepted with an error status."""
        self.clients.counters[f"rejected.{status}"] += 1
        self.write_response(status, f"{reason}\n".encode(), TEXT_HEADERS | (fields or {}))

    def refuse_unfinished(self) -> None:
        """Refuse a request of which a part has come in, and read nothing more."""
        self.keep_alive = False
        self.reject(503, TOO_MUCH_HELD, {"Retry-After": str(MEMORY_RETRY_AFTER_S)})

    def write_response(self, status: int, body: bytes, fields: dict[str, str]) -> None:
        """Write an answer, and shut down the sending side if the connection does not stay open."""
        if self.transport is None or self.transport.is_closing():
            return
        keep_alive = self.keep_alive and not self.clients.is_draining and self.clients.paused_since is None
        if self.gate is not None:
            if not self.gate.may_answer():  # another instance serves this address and its clients now
                self.fence()
                return
            keep_alive = keep_alive and self.gate.keeps_connections()
        response = http.encode_response(status, body, fields, keep_alive)
        Connection.message_bytes += len(response)
        self.transport.write(response)
        self.waiting_since, self.is_unused = self.clients.loop.time(), False
        if not keep_alive:
            # A close with unread input would reset the connection and could destroy the answer in flight.
            # This side only ends its sending; the client or the sweep closes the connection. The input that
            # still arrives may be tens of megabytes, so it is neither copied nor kept.
            self.discard_input()
            self.clients.mark_idle(self)
            try:
                self.transport.write_eof()
            except OSError:  # the client has disconnected
                self.abort()

    def discard_input(self) -> None:
        """Handle no further request, and forget what has come in of one."""
        self.is_closing = self.discarding = True
        self.parser = http.RequestParser()

    def fence(self) -> None:
        """Reset the connection without an answer, since another instance may serve the address."""
        self.clients.counters["fenced"] += 1
        self.reset()

    def reset(self) -> None:
        """Close at once; what is written and not delivered is dropped, in the kernel too."""
        self.discard_input()
        super().reset()

    def request_accepted(self, pending: PendingRequest) -> None:
        """Record that an accepted request of this connection waits for its answer."""
        self.pending, self.has_sent_job = pending, True
        job: Job = pending.job
        self.job_bytes = len(job.body) + len(job.target) + len(job.idempotency_key or "")
        Connection.message_bytes += self.job_bytes  # kept beside the bytes that came in, until those are read
        self.clients.mark_busy(self)

    def answer(self, answer: Answer) -> None:
        """Write the final answer to the accepted request, then handle the requests that follow it."""
        self.pending = None
        self.clients.mark_idle(self)
        if answer.kind is AnswerKind.SERVED:
            self.write_response(200, answer.result, TEXT_HEADERS)
        elif answer.kind is AnswerKind.REFUSED:
            # A retry on this connection would reach this process again, which is about to end.
            self.keep_alive = self.keep_alive and not self.clients.is_shutting_down
            retry_after = f"{answer.retry_after:.3f}".rstrip("0").rstrip(".")
            self.write_response(
                503, b"not done, try again later\n", TEXT_HEADERS | {"Retry-After": retry_after}
            )
        else:
            self.write_response(502, b"failed\n", TEXT_HEADERS)
        if not self.is_reading and not self.is_in_backlog:
            self.read_requests()

    def has_disconnected(self) -> bool:
        """Return whether the client has ended its side, as far as a bounded number of reads shows."""
        return self.find_end() is True

    def find_end(self) -> bool | None:
        """Return whether the client has ended its side; None if too much is unread to tell.

        The end may lie behind input that the client sent before, here or still at the client. So that is read
        first.
        """
        for _ in range(MAX_LOOKAHEAD_READS):
            next_byte = self._peek()
            if not next_byte:
                return next_byte is not None
            if self.has_end_behind_data():
                return True
            assert self.sock is not None
            data = self.sock.recv(READ_SIZE_BYTES)
            if not self.discarding:
                self.take_input(data)
        return None

    def eof_received(self) -> bool:
        """Treat the end of the client's side as a disconnect.

        The transport may close much later, once the answers to earlier requests are written. The pending
        request does not wait for that.
        """
        self.discard_input()
        self._abandon_request()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the connection; the only place where this happens."""
        self.sock = None
        self.discard_input()  # requests that wait for their turn are nobody's any more
        self.clients.remove(self)
        self._abandon_request()

    def _abandon_request(self) -> None:
        pending, self.pending = self.pending, None
        if pending is not None:
            pending.client_left()


class Listener:
    """A listening socket. Neither errors nor a lack of descriptors end it; only `close` does.

    `gate` guards a service address; None for any other. `listening_since` is the loop time from which
    connections may have waited in the backlog; None if that does not matter.
    """

    def __init__(
        self,
        clients: "Clients",
        sock: socket.socket,
        gate: Gate | None = None,
        is_shared: bool = False,
        listening_since: float | None = None,
    ) -> None:
        # Connections in the backlog at the start arrived after this time. None after the first accept, which
        # finds them without waiting.
        self.listening_since = listening_since
        clients.loop.call_soon(self._accept_backlog)
        self.clients, self.gate = clients, gate
        self._resume_timer: asyncio.TimerHandle | None = None  # set while accepting is paused
        self.closed = False
        # A shared socket is held by the platform and is passed on to the previous or next process, too.
        self.sock, self.is_shared = sock, is_shared
        self.address: tuple[str, int] = self.sock.getsockname()
        clients.sockets.add_listener(sock)
        self._register()

    def _accept_backlog(self) -> None:
        if self.listening_since is not None and not self.closed:
            self._accept()
        self.listening_since = None

    def _accept(self, drain_backlog: bool = False) -> None:
        """Accept the waiting connections.

        `drain_backlog` accepts as many of them as the limits allow before the listener closes, since closing
        resets the rest.
        """
        clients = self.clients
        while drain_backlog or clients.sockets.opening_count < MAX_OPENING_CONNECTIONS:
            if drain_backlog and len(clients.connections) >= clients.sockets.max_draining_connections():
                # Nobody is evicted for them: a descriptor that is closed here is free in the next turn only.
                return
            if clients.is_full and not drain_backlog and not clients.evict_one():
                self._pause()
                return
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                self.listening_since = None
                return
            except (InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning("accept.failed", error=str(error))
                clients.counters["accept_errors"] += 1
                if not clients.evict_one() or not drain_backlog:
                    self._pause()
                    return
                continue
            if self.gate is not None:
                if not self.gate.may_take():
                    clients.counters["fenced.connections"] += 1
                    close_with_reset(sock)
                    continue
                # An answer fits whole into the kernel's buffer, so nothing is left to be written later.
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MAX_ANSWER_BYTES)
            elif self.listening_since is not None:  # it came before the listener's bounds were planned
                clients.sockets.bound_buffers(sock)
            sock.setblocking(False)
            clients.add_connection(sock, self.gate, self.listening_since)

    def _pause(self) -> None:
        if not self.closed and self._resume_timer is None:
            self.clients.loop.remove_reader(self.sock.fileno())
            self._resume_timer = self.clients.loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        self._resume_timer = None
        if self._register():
            self._accept()

    def _register(self) -> bool:
        """Accept whoever comes from now on; if that fails, try again later. Returns whether it succeeded."""
        try:
            self.clients.loop.add_reader(self.sock.fileno(), self._accept)
        except (OSError, MemoryError) as error:  # otherwise nobody would ever accept again
            log.warning("accept.failed", error=str(error))
            self._pause()
            return False
        return True

    def close(self, drain_backlog: bool = True) -> None:
        """Stop accepting.

        `drain_backlog` first accepts the connections that wait. Connections in a shared socket are left to
        the other process that holds it.
        """
        if self.closed:
            return
        if drain_backlog and not self.is_shared:
            self._accept(drain_backlog=True)
        self.closed = True
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        self.clients.loop.remove_reader(self.sock.fileno())
        self.clients.sockets.remove_listener(self.sock)
        self.sock.close()


def close_with_reset(sock: socket.socket) -> None:
    """Close a socket with a reset, so that its client does not go on waiting for an answer."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


class Clients:
    """The listener and all client connections of a dispatcher.

    `report` returns the counters and current values that `GET /-/counters` shows.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sockets: Sockets,
        pools: Pools,
        settings: i.Settings,
        report: Callable[[], dict[str, object]],
    ) -> None:
        self.loop, self.sockets, self.pools, self.report = loop, sockets, pools, report
        self.counters = pools.counters
        # Class name -> index and deadline in seconds.
        self.classes = {
            request_class.name: (index, request_class.deadline)
            for index, request_class in enumerate(settings.classes)
        }
        # By class index: whether a request does no harm if it runs again.
        self.repeatable_classes = [each.idempotency is i.Idempotency.SAFE for each in settings.classes]
        self.tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        self.connections: set[ClientConnection] = set()
        sockets.client_connections = self.connections
        # Connections without a request in progress, in the order of eviction: those whose last answer is
        # written, those without a job so far, those with one. Each set starts with the longest idle.
        self.idle: tuple[OrderedDict[ClientConnection, None], ...] = tuple(OrderedDict() for _ in range(3))
        self.ready = False  # the worker list is known
        self.is_shutting_down = False  # the process is about to end; the readiness check fails
        # Connections with requests that are read, in turns, once others had theirs.
        self._backlog: deque[ClientConnection] = deque()
        self._backlog_handle: asyncio.Handle | None = None
        self.is_draining = False  # no more connections are accepted, and each answer closes its connection
        self.paused_since: float | None = None  # set while PAUSE is in force
        self.listener: Listener | None = None
        self._counters_page, self._counters_rendered_at = b"", -math.inf
        self.address_status: Callable[[], dict[str, object]] | None = None  # set where service addresses move
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    # Listening.

    def listen(
        self, sock: socket.socket, is_shared: bool, listening_since: float | None = None
    ) -> tuple[str, int]:
        """Start to accept on a listening socket.

        `listening_since` is the earliest arrival time of a connection in the backlog. Returns the address,
        which names the port that the system chose for port 0.
        """
        self.listener = Listener(self, sock, is_shared=is_shared, listening_since=listening_since)
        return self.listener.address

    @property
    def is_shared(self) -> bool:
        """Whether another process may accept from the same listening socket."""
        return self.listener is not None and self.listener.is_shared

    @property
    def is_full(self) -> bool:
        """Whether there are as many connections as there may be."""
        return len(self.connections) >= self.sockets.max_client_connections

    @property
    def is_contended(self) -> bool:
        """Whether other connections wait to be accepted or opened, or for their turn to be read."""
        return self.is_full or bool(self.sockets.opening_count or self._backlog)

    def evict_one(self) -> bool:
        """Close one connection without a request in progress, and return whether there was one.

        A client that has sent jobs would reconnect at once, so it is evicted last: hundreds of silent
        connections must not displace it. A connection with an unread request is not closed without an answer.
        """
        connection = self._find_evictable()
        if connection is None:
            return False
        if connection.undelivered_bytes:
            connection.reset()
        elif connection.has_only_partial_request:  # the rest may be on its way
            connection.refuse_unfinished()
        self.counters["evicted"] += 1
        self._close_connection(connection)
        return True

    def _find_evictable(self) -> ClientConnection | None:
        closing, new, active = (list(itertools.islice(idle, MAX_EVICTION_CANDIDATES)) for idle in self.idle)
        closable = (each for each in [*closing, *new] if each.can_close and not each.undelivered_bytes)
        partial = (each for each in new if each.has_only_partial_request)
        unread = (each for each in [*closing, *new] if each.undelivered_bytes and not each.has_sent_job)
        found = next(itertools.chain(closable, partial, unread), None)
        if found is None and not closing and not new:
            found = next((each for each in active if each.can_close and not each.undelivered_bytes), None)
        return found

    def shed(self, excess_bytes: float) -> None:
        """Release memory until `excess_bytes` are free.

        What clients have sent ahead of answers is dropped first, then the newest unfinished requests are
        refused, then unread answers closed, then those refused whose further requests wait for their turn.
        Requests in hand, first requests that have come in whole and connections between requests are left
        alone.
        """
        for connection in self._find_input_ahead():
            if excess_bytes <= 0:
                return
            excess_bytes -= len(connection.parser.buffer)
            self.counters["shed.ahead"] += 1
            connection.drop_input_ahead()
        for connection in self._find_unfinished():
            if excess_bytes <= 0:
                return
            excess_bytes -= connection.held_bytes
            self.counters["shed.unfinished"] += 1
            connection.refuse_unfinished()
        for connection in self._find_unread():
            if excess_bytes <= 0:
                return
            excess_bytes -= connection.held_bytes + connection.kernel_bytes
            self.counters["shed.unread"] += 1
            connection.reset()
        for connection in [each for each in reversed(self._backlog) if not each.is_closing]:
            if excess_bytes <= 0:
                return
            excess_bytes -= connection.held_bytes + connection.kernel_bytes
            self.counters["shed.waiting"] += 1
            connection.refuse_unfinished()

    def close_unfinished(self) -> None:
        """Reset all connections that are owed no answer and do not rest between jobs."""
        for connection in [*self._find_unfinished(), *self._find_unread(), *self.idle[0], *self.idle[1]]:
            connection.reset()

    def _find_input_ahead(self) -> list[ClientConnection]:
        """Return the connections with a request in hand whose client has sent more, most of it first."""
        ahead = [each for each in self.connections if each.pending is not None and each.parser.buffer]
        return sorted(ahead, key=lambda each: len(each.parser.buffer), reverse=True)

    def _find_unfinished(self) -> list[ClientConnection]:
        """Return the connections with a part of a request, those without a job so far first, newest first."""
        candidates = [*reversed(self.idle[1]), *reversed(self.idle[2])]
        return [each for each in candidates if each.has_partial_request and not each.is_in_backlog]

    def _find_unread(self) -> list[ClientConnection]:
        """Return the connections whose client leaves answers unread, pages before answers to jobs."""
        candidates = [*reversed(self.idle[0]), *reversed(self.idle[1]), *reversed(self.idle[2])]
        latest = self.loop.time() - LINGER_S
        pages = [each for each in candidates if not each.has_sent_job and each.unwritten_bytes]
        late = [each for each in candidates if each.waiting_since < latest and each.undelivered_bytes]
        return pages + [each for each in late if each.has_sent_job or not each.unwritten_bytes]

    def enforce_limits(self) -> None:
        """Close what lowered limits no longer allow, as far as nothing in hand is lost."""
        while len(self.connections) > self.sockets.max_client_connections and self.evict_one():
            pass
        self.sockets.close_surplus_workers()

    def add_connection(
        self, sock: socket.socket, gate: Gate | None, arrived_after: float | None = None
    ) -> None:
        """Register an accepted connection.

        `arrived_after` is a lower bound of its arrival time, for one from the backlog.
        """
        connection = ClientConnection(self, gate)
        connection.arrived_after = arrived_after
        self.connections.add(connection)
        self.mark_idle(connection)  # `can_close` is false until it is open, so it is not closed before
        self.counters["connections"] += 1
        try:
            self.sockets.open_transport(sock, connection, side="clients")
        except MemoryError:  # without a transport, nothing else would ever remove it
            self.remove(connection)
            sock.close()
            raise

    def _close_connection(self, connection: ClientConnection) -> None:
        self.remove(connection)
        connection.discard_input()
        if connection.transport is not None:
            connection.transport.close()

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that a connection has no request in progress."""
        self.mark_busy(connection)
        self.idle[0 if connection.is_closing else 2 if connection.has_sent_job else 1][connection] = None

    def mark_busy(self, connection: ClientConnection) -> None:
        """Record that a connection waits for an answer."""
        for idle in self.idle:
            idle.pop(connection, None)

    def remove(self, connection: ClientConnection) -> None:
        """Forget a closed connection."""
        self.connections.discard(connection)
        self.mark_busy(connection)

    def _sweep(self) -> None:
        """Close connections that stay silent, send incomplete requests or do not read their last answer.

        A client that has sent a job may be idle without limit.
        """
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        if self.paused_since is not None and now - self.paused_since >= PAUSE_GRACE_S:
            self.close_idle()
        for connection in list(self.connections):
            waited_s = now - connection.waiting_since
            if connection.is_closing:
                if waited_s > LINGER_S and not connection.undelivered_bytes:
                    connection.abort()
                elif waited_s > UNREAD_ANSWER_TIMEOUT_S:
                    connection.reset()
            elif (
                waited_s <= REQUEST_TIMEOUT_S
                or connection.pending is not None
                or connection.transport is None
                or connection.is_in_backlog
            ):
                continue
            elif connection.has_partial_request:
                connection.keep_alive = False
                connection.reject(408, "the request did not come in")
            elif not connection.has_sent_job and connection.is_quiet():
                self.counters["silent"] += 1
                self._close_connection(connection)

    # Requests.

    def read_later(self, connection: ClientConnection) -> None:
        """Read the further requests of a connection in one of the next turns of the loop.

        Its client's further input waits in the kernel. Nothing of it is owed an answer yet, and whether the
        client has left is asked before a request is forwarded.
        """
        if not connection.is_in_backlog:
            connection.is_in_backlog = True
            if connection.transport is not None:
                connection.transport.pause_reading()
        self._backlog.append(connection)
        if self._backlog_handle is None:
            self._backlog_handle = self.loop.call_soon(self._read_backlog)

    def _read_backlog(self) -> None:
        """Read requests of connections in the backlog, one slice each, until the time for a turn is over."""
        self._backlog_handle = None
        turn_end = self.loop.time() + BACKLOG_SLICE_S
        while self._backlog and self.loop.time() < turn_end:
            connection = self._backlog.popleft()
            try:
                connection.read_requests()
            except Exception:  # closes only this connection
                log.exception("connection.failed")
                connection.abort()
            if self._backlog and self._backlog[-1] is connection:
                continue
            connection.is_in_backlog = False
            if connection.transport is not None and not connection.transport.is_closing():
                connection.transport.resume_reading()
        if self._backlog and self._backlog_handle is None:
            self._backlog_handle = self.loop.call_soon(self._read_backlog)

    def handle_request(self, connection: ClientConnection, request: http.Request) -> None:
        """Route one request: an operator page, or a job that goes to its pool. Rejects malformed requests."""
        path, gate = request.path, connection.gate
        if gate is not None and not gate.may_take():
            connection.fence()
            return
        if path.startswith("/-/"):
            self._handle_operator_request(connection, request.method, path)
            return
        try:
            choice = self.pools.choose(request)
        except NoRouteError as error:
            connection.reject(400 if error.malformed else 404, str(error))
            return
        class_index, class_deadline = self.classes.get(choice.job_class, (-1, 0.0))
        if class_index < 0:
            connection.reject(404, "no such class")
            return
        if request.method != "POST":
            connection.reject(405, "jobs come by POST", {"Allow": "POST"})
            return
        request_id, deadline_ms = (
            request.headers.get("req-id", ""),
            request.headers.get("req-deadline-ms", ""),
        )
        slots = _requested_slots(request.headers.get("req-extra", ""))
        if not ID_PATTERN.fullmatch(request_id):
            connection.reject(400, "Req-Id is missing or malformed")
        elif not MILLISECONDS_PATTERN.fullmatch(deadline_ms):
            connection.reject(400, "Req-Deadline-Ms is missing or malformed")
        elif slots is None:
            connection.reject(400, "Req-Extra is malformed")
        else:
            # The class bounds the wait: `Req-Deadline-Ms` alone would allow 11 days.
            patience = min(int(deadline_ms) / 1000, class_deadline, choice.time_limit) - NETWORK_ALLOWANCE_S
            deadline = self.loop.time() + (patience if gate is None else min(patience, gate.time_left()))
            if connection.arrived_after is not None:
                # A request from the backlog may have waited while this process loaded; that time counts.
                deadline, connection.arrived_after = min(deadline, connection.arrived_after + patience), None
            job = Job(request.method, request.target, request.body, request.headers.get("idempotency-key"))
            # A request that names no known tenant, or several, gets index -1: beyond every tenant's share.
            tenant = self.tenants.get(request.headers.get("req-owner", ""), -1) if self.tenants else 0
            has_ended = connection.find_end()
            if has_ended:  # while the request waited to be accepted or read
                self.counters["left_unread"] += 1
                return
            if has_ended is None:  # so much sent ahead that nobody can tell whether the client is still there
                connection.keep_alive = False
                connection.reject(503, "too much sent ahead", {"Retry-After": str(MEMORY_RETRY_AFTER_S)})
                return
            pending = PendingRequest(
                request_id, class_index, deadline, job, connection, slots, tenant, choice.max_attempts
            )
            pending.may_run_again = self.repeatable_classes[class_index]
            connection.request_accepted(pending)
            if not self.pools.submit(choice, pending):
                connection.pending = None
                self.mark_idle(connection)
                connection.reject(409, "Req-Id is in use")

    def _handle_operator_request(self, connection: ClientConnection, method: str, path: str) -> None:
        if path not in ("/-/ready", "/-/healthy", "/-/counters", "/-/address"):
            connection.reject(404, "no such page")
        elif method != "GET":
            connection.reject(405, "only GET here", {"Allow": "GET"})
        elif path == "/-/counters":
            connection.write_response(200, self._render_counters(), JSON_HEADERS)
        elif path == "/-/address":
            if self.address_status is None:
                connection.reject(404, "no service addresses are set up here")
            else:
                connection.write_response(
                    200, (json.dumps(self.address_status()) + "\n").encode(), JSON_HEADERS
                )
        elif path == "/-/ready" and (
            self.is_shutting_down or self.paused_since is not None or not self.ready
        ):
            status_text = (
                b"no list yet\n"
                if not self.ready
                else b"paused\n"
                if not self.is_shutting_down
                else b"draining\n"
            )
            connection.write_response(503, status_text, TEXT_HEADERS)
        else:
            connection.write_response(200, b"ok\n", TEXT_HEADERS)

    def _render_counters(self) -> bytes:
        """Return the page of counters, rendered within the last `PAGE_MAX_AGE_S`."""
        now = self.loop.time()
        if now - self._counters_rendered_at > PAGE_MAX_AGE_S:
            self._counters_page = (json.dumps(self.report(), sort_keys=True) + "\n").encode()
            self._counters_rendered_at = now
        return self._counters_page

    # Connections through a service address that moves.

    def connections_through(self, gate: Gate) -> list[ClientConnection]:
        """Return all connections that were accepted under a gate."""
        return [connection for connection in self.connections if connection.gate is gate]

    def close_idle_through(self, gate: Gate) -> bool:
        """Close the gate's connections that are between requests.

        Returns whether none is left that may still bring a request or has part of an answer to write.
        """
        waiting = [
            candidate
            for candidate in self.connections_through(gate)
            if candidate.pending is None and not candidate.is_closing
        ]
        for connection in waiting:
            if connection.can_close:
                self._close_connection(connection)
        return all(candidate.is_closing for candidate in waiting) and not any(
            connection.unwritten_bytes for connection in self.connections_through(gate)
        )

    def shorten_deadlines(self, gate: Gate, within: float) -> None:
        """Bound the deadlines of all requests that came through a gate to `within` seconds from now."""
        for connection in self.connections_through(gate):
            if connection.pending is not None:
                connection.pending.shorten_deadline(self.loop.time() + within)

    def has_pending_through(self, gate: Gate) -> bool:
        """Return whether a request that came through a gate waits for its answer."""
        return any(connection.pending is not None for connection in self.connections_through(gate))

    def fence_all(self, gate: Gate) -> None:
        """Reset the connections of a gate, and report to the decision module that their clients left.

        A connection whose last answer has left this process carries nothing more. A reset could destroy that
        answer on its way, so such a connection ends as any other does.
        """
        for connection in self.connections_through(gate):
            if not connection.is_closing or connection.unwritten_bytes:
                connection.fence()

    # Shutdown.

    def announce_shutdown(self) -> None:
        """Fail the readiness check from now on, and go on serving."""
        self.is_shutting_down = True

    def pause(self) -> None:
        """Fail the readiness check and close each connection after its next answer; go on accepting."""
        if self.paused_since is None:
            self.paused_since = self.loop.time()

    def resume(self) -> None:
        """Pass the readiness check again and keep connections open."""
        self.paused_since = None

    def drain(self) -> None:
        """Stop accepting, and close each connection after its next answer."""
        self.is_draining = True
        self.stop_listening()

    def stop_listening(self) -> None:
        """Accept the connections that wait, then close the listener."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close_idle(self) -> None:
        """Close the connections that are between requests."""
        for connection in [*self.idle[1], *self.idle[2]]:
            if connection.can_close:
                self._close_connection(connection)

    @property
    def has_unfinished_work(self) -> bool:
        """Whether answers are unwritten or requests may be unread.

        A request whose last byte has arrived counts as accepted, read or not.
        """
        return any(connection.unwritten_bytes or not connection.is_closing for connection in self.connections)

    def close(self) -> None:
        """Stop listening, cancel the timer and close every connection."""
        self.stop_listening()
        self._sweep_timer.cancel()
        if self._backlog_handle is not None:
            self._backlog_handle.cancel()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()


def _requested_slots(extra: str) -> float | None:
    """Return the slots that `Req-Extra` asks for: 1 if it names none, None if it is malformed."""
    values = {"slots": "1"}
    for part in extra.split(",") if extra.strip() else ():
        name, equals, value = part.partition("=")
        if not equals or "=" in value or not EXTRA_NAME_PATTERN.fullmatch(name.strip()):
            return None
        values[name.strip()] = value.strip()
    return float(values["slots"]) if SLOTS_PATTERN.fullmatch(values["slots"]) else None
