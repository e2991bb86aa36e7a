"""Clients: the listener, client connections, and what is told to operators on the same port.

Owns the listening socket, every client connection, and the one timer that looks after them. A request read
here becomes a pending request and gets the answer that the dispatcher gives it, whole, on the connection it
came by. It must never answer a job by itself once it is taken, nor close a connection that owes an answer,
nor let connections that bring no jobs keep out those that do.
"""

import asyncio
import contextlib
import itertools
import json
import re
import socket
import struct
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from wickgw import interface as i
from wickgw.net import http
from wickgw.net.attempt import Job
from wickgw.net.dispatch import Answer, AnswerKind, PendingRequest
from wickgw.net.pools import NoRouteError, Pools
from wickgw.net.sockets import Connection, Sockets
from wickgw.observe import logger

log = logger("wickgw")
ALLOWANCE = 0.015  # seconds of a client's time left for its request's way here and the answer's way back
ACCEPT_AT_ONCE = 32  # connections accepted, and not opened yet, before others get their turn
ACCEPT_PAUSE = 0.02  # seconds without accepting after it failed, or while all connections are busy
SWEEP = 0.25  # seconds between looks at connections that should be moving
# Whoever connects is owed an error or a close within 3 s; usual clients send a whole request at once.
PATIENCE = 2.0  # seconds that a request may take to come in, and a connection without a job may be silent
LINGER = 2.0  # seconds for a client to read its last answer before the connection is dropped
# Seconds that idle connections are kept once clients are sent away. The front sends no new connections 0.2 s
# after it hears no, and clients go on using those they have: each of those is closed after its next answer.
# Closing one that is idle races with a request on its way, so that waits until most have been used; by 4 s
# none may be held.
AWAY_GRACE = 2.0
UNREAD = 15.0  # the same while some of the answer is still here
# Bytes kept of what a client sends while it is owed an answer: what a connection is budgeted to hold. It is
# read on all the same, so that its end is seen at once; what comes beyond is not kept.
AHEAD = http.MAX_HEAD + 2 * http.MAX_BODY
WHOLE_ANSWER = 256 * 1024  # bytes: the largest answer, its head, and as much again for the kernel
READ_SIZE = 32 * 1024  # bytes read at once while looking for a client's end
MAX_READS_AHEAD = 16  # reads while looking for it: more than fits into a system's usual receive buffer
LOOKS = 16  # connections looked at to make room for one
ID = re.compile(r"[0-9A-Za-z._-]{1,64}")
MS = re.compile(r"[0-9]{1,9}")
EXTRA = re.compile(r"\s*([0-9A-Za-z_-]+)\s*=\s*([^,=]*?)\s*")
SLOTS = re.compile(r"[0-9]{1,6}(?:\.[0-9]{1,6})?")
TEXT = {"Content-Type": "text/plain; charset=utf-8"}
JSON = {"Content-Type": "application/json"}


class Gate(Protocol):
    """The look before every step on an address that may be another instance's by now."""

    def may_take(self) -> bool:
        """Whether a connection may be accepted, a request be taken."""

    def may_answer(self) -> bool:
        """Whether anything may be written."""

    def time_left(self) -> float:
        """Seconds that a request taken now may take."""


class ClientConnection(Connection):
    """One client connection: reads a request, waits for its answer, writes it, reads the next."""

    def __init__(self, clients: "Clients", gate: Gate | None = None) -> None:
        self.clients, self.gate = clients, gate
        self.parser = http.RequestParser()
        self.pending: PendingRequest | None = None  # the request that waits for its answer
        self.keep = True  # as the request in hand wants it
        self.known = False  # it has brought a job
        self.came_after: float | None = None  # when its first request came at the earliest, if it had to wait
        self.fresh = True  # nothing has been answered on it
        self.since = 0.0  # when it last began to wait for bytes; until the first answer, when it was opened
        self.reading = False
        self.ending = False  # the last answer is written; what still comes is not read
        self.cut = False  # it sent more than is kept: after what is kept it ends

    def opened(self) -> None:
        self.since = self.clients.loop.time()

    def never_opened(self) -> None:
        self.clients.forget(self)

    @property
    def unwritten(self) -> int:
        """Bytes of answers that are still on their way out of this process."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def at_rest(self) -> bool:
        """Closing it harms nobody: its last answer is out, or it is between requests."""
        return not self.unwritten if self.ending else self.quiet() and not self.partial

    @property
    def partial(self) -> bool:
        """A request has begun to come in, and isn't whole."""
        return self.pending is None and not self.ending and self.parser.partial

    def received(self, data: bytes) -> None:
        if not self.parser.partial and not self.fresh:
            self.since = self.clients.loop.time()
        self.parser.feed(data)
        if self.pending is None:
            self._read()
        elif len(self.parser.buffer) > AHEAD:
            self.cut = self.discarding = True  # reading goes on: paused, its end would lie behind its bytes
            self.clients.counters["cut"] += 1

    def _read(self) -> None:
        """Take the requests that are in, one after the other. A loop, so that a long line of them that are
        answered on the spot does not grow the stack."""
        self.reading = True
        try:
            while self.pending is None and not self.ending:
                if self.unwritten > WHOLE_ANSWER:  # whoever asks on and reads nothing fills no memory here
                    raise http.HttpError(413, "answers are not read")
                request = self.parser.next()
                if request is None:
                    if self.cut:
                        raise http.HttpError(413, "too much sent ahead of answers")
                    free = self.gate is None or self.gate.may_take()
                    if free and self.parser.wants_continue() and self.transport is not None:
                        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                    break
                self.keep = request.keep
                self.clients.route(self, request)
        except http.HttpError as error:  # framing is lost: no telling where the next request begins
            self.keep = False
            self.reject(error.status, str(error))
        finally:
            self.reading = False

    def reject(self, status: int, reason: str, fields: dict[str, str] | None = None) -> None:
        """Answer a request that was not taken."""
        self.clients.counters[f"rejected.{status}"] += 1
        self.write(status, f"{reason}\n".encode(), TEXT | (fields or {}))

    def write(self, status: int, body: bytes, fields: dict[str, str]) -> None:
        """Write an answer, and end the connection if it is the last."""
        if self.transport is None or self.transport.is_closing():
            return
        keep = self.keep and not self.clients.draining and self.clients.away is None
        if self.gate is not None:
            if not self.gate.may_answer():  # the address is another's by now: so is its client
                self.fence()
                return
            keep = keep and self.gate.may_take()
        self.transport.write(http.response(status, body, fields, keep))
        self.since, self.fresh = self.clients.loop.time(), False
        if not keep:
            # Closing with bytes unread would reset the connection and could destroy the answer on its way:
            # so this side only ends its sending, and the client, or the sweep, closes it. What still comes
            # may be tens of megabytes: it is neither copied nor kept.
            self.ending = self.discarding = True
            self.parser = http.RequestParser()
            self.clients.waits(self)
            try:
                self.transport.write_eof()
            except OSError:  # the client is gone already: there is nobody left to tell
                self.abort()

    def fence(self) -> None:
        """End it without a word: whatever it could still say is no longer ours to say."""
        self.clients.counters["fenced"] += 1
        self.ending = self.discarding = True
        if self.sock is not None:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.abort()

    def taken(self, pending: PendingRequest) -> None:
        """A request of this connection waits for its answer."""
        self.pending, self.known = pending, True
        self.clients.busy(self)

    def answer(self, answer: Answer) -> None:
        """The final answer to the request that was taken."""
        self.pending = None
        self.clients.waits(self)
        if answer.kind is AnswerKind.SERVED:
            self.write(200, answer.result, TEXT)
        elif answer.kind is AnswerKind.REFUSED:
            # A client that comes again on this connection finds the same process, which is about to end.
            self.keep = self.keep and not self.clients.leaving
            after = f"{answer.retry_after:.3f}".rstrip("0").rstrip(".")
            self.write(503, b"not done, try again later\n", TEXT | {"Retry-After": after})
        else:
            self.write(502, b"failed\n", TEXT)
        if not self.reading:
            self._read()

    def has_left(self) -> bool:
        """Whether the client has ended its side. What it sent ahead of that lies before it and is read."""
        for _ in range(MAX_READS_AHEAD):
            unread = self._next()
            if not unread:
                return unread is not None
            assert self.sock is not None
            data = self.sock.recv(READ_SIZE)
            if not self.discarding:
                self.received(data)
        return False

    def eof_received(self) -> bool:
        """A client that ends its side has gone away. The connection may close much later, when the answers to
        what it asked before are written; its request does not wait for that."""
        self.ending = self.discarding = True
        self._leave()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The one place where a client connection is given back."""
        self.sock = None
        self.clients.forget(self)
        self._leave()

    def _leave(self) -> None:
        pending, self.pending = self.pending, None
        if pending is not None:
            pending.leave()


class Listener:
    """A listening socket, open until it is closed. Neither an error nor a lack of descriptors ends it."""

    def __init__(
        self,
        clients: "Clients",
        sock: socket.socket,
        gate: Gate | None = None,
        shared: bool = False,
        since: float | None = None,
    ) -> None:
        # Connections that waited here while the process loaded came at some time after this; None after the
        # first look, which does not wait for a connection.
        self.backlog_since = since
        clients.loop.call_soon(self._accept_backlog)
        self.clients, self.gate = clients, gate
        self._resume: asyncio.TimerHandle | None = None  # while not accepting
        self.closed = False
        # Shared with the process before or after this one, by the platform that holds it.
        self.sock, self.shared = sock, shared
        self.where: tuple[str, int] = self.sock.getsockname()
        clients.loop.add_reader(self.sock.fileno(), self._accept)

    def _accept_backlog(self) -> None:
        if self.backlog_since is not None and not self.closed:
            self._accept()
        self.backlog_since = None

    def _accept(self, last: bool = False) -> None:
        """Accept what waits; at the last time all of it, since closing the listener would reset the rest."""
        clients = self.clients
        while last or clients.sockets.opening < ACCEPT_AT_ONCE:
            if (
                len(clients.connections) >= clients.sockets.for_clients
                and not clients.make_room()
                and not last
            ):
                self._pause()
                return
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                self.backlog_since = None
                return
            except (InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning("accept.failed", error=str(error))
                clients.counters["accept_errors"] += 1
                if not clients.make_room() or not last:
                    self._pause()
                    return
                continue
            if self.gate is not None:
                if not self.gate.may_take():
                    clients.counters["fenced.connections"] += 1
                    reset(sock)
                    continue
                # An answer fits whole into the system's buffer: none is left here to be written later.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, WHOLE_ANSWER)
            sock.setblocking(False)
            clients.accepted(sock, self.gate, self.backlog_since)

    def _pause(self) -> None:
        if not self.closed:
            self.clients.loop.remove_reader(self.sock.fileno())
            self._resume = self.clients.loop.call_later(ACCEPT_PAUSE, self._accept_again)

    def _accept_again(self) -> None:
        self._resume = None
        self.clients.loop.add_reader(self.sock.fileno(), self._accept)
        self._accept()

    def close(self, last: bool = True) -> None:
        """Take what has connected already, unless it may not be, then accept no more. What waits in a shared
        socket is left to the other process that holds it."""
        if self.closed:
            return
        if last and not self.shared:
            self._accept(last=True)
        self.closed = True
        if self._resume is not None:
            self._resume.cancel()
        self.clients.loop.remove_reader(self.sock.fileno())
        self.sock.close()


def reset(sock: socket.socket) -> None:
    """Close with a reset: nobody is left to believe that it is still answered on."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Clients:
    """The listener and all client connections."""

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
        self.classes = {c.name: (n, c.deadline) for n, c in enumerate(settings.classes)}
        self.tenants = {t.name: n for n, t in enumerate(settings.tenants)}
        self.connections: set[ClientConnection] = set()
        # Connections that owe nothing, longest so first, in the order in which they make room for others:
        # those whose last answer is written, those that have brought no job yet, those that have.
        self.idle: tuple[OrderedDict[ClientConnection, None], ...] = tuple(OrderedDict() for _ in range(3))
        self.ready = False  # a list is held
        self.leaving = False  # the process is about to end: clients should go elsewhere
        self.draining = False  # and takes nothing more: every answer is its connection's last
        self.away: float | None = None  # since when clients are sent away, while the process serves on
        self.listener: Listener | None = None
        self.address_status: Callable[[], dict[str, object]] | None = None  # if addresses move here
        self._sweeper = loop.call_later(SWEEP, self._sweep)

    # Listening.

    def listen(self, sock: socket.socket, shared: bool, since: float | None = None) -> tuple[str, int]:
        """Begin to accept on a socket that has listened since then; returns the address, as port 0
        leaves the choice to the system."""
        self.listener = Listener(self, sock, shared=shared, since=since)
        return self.listener.where

    @property
    def shared(self) -> bool:
        """Clients come by a socket that another process may accept from as well."""
        return self.listener is not None and self.listener.shared

    def make_room(self) -> bool:
        """Close a connection that owes nothing. A client between requests opens another, so it is asked last:
        hundreds that say nothing must not close it out. One whose request lies unread is not closed."""
        first = next((idle for idle in self.idle if idle), self.idle[0])
        looks = list(itertools.islice(first, LOOKS))
        at_rest = (c for c in looks if c.at_rest)
        # If none is: one that has sent a part of its first request, and sends no more.
        halves = (c for c in looks if c.partial and not c.known and c.quiet())
        connection = next(itertools.chain(at_rest, halves), None)
        if connection is None:
            return False
        self.counters["evicted"] += 1
        self._drop(connection)
        return True

    def accepted(self, sock: socket.socket, gate: Gate | None, came_after: float | None = None) -> None:
        """A client has connected, if it is told: at some time after that."""
        connection = ClientConnection(self, gate)
        connection.came_after = came_after
        self.connections.add(connection)
        self.waits(connection)  # not at rest until it is opened, so it is not closed unseen
        self.counters["connections"] += 1
        self.sockets.adopt(sock, connection, side="clients")

    def _drop(self, connection: ClientConnection) -> None:
        self.forget(connection)
        connection.ending = connection.discarding = True
        if connection.transport is not None:
            connection.transport.close()

    def waits(self, connection: ClientConnection) -> None:
        """A connection owes nothing from now on."""
        self.busy(connection)
        self.idle[0 if connection.ending else 2 if connection.known else 1][connection] = None

    def busy(self, connection: ClientConnection) -> None:
        """A connection owes an answer from now on."""
        for idle in self.idle:
            idle.pop(connection, None)

    def forget(self, connection: ClientConnection) -> None:
        """A connection is closed."""
        self.connections.discard(connection)
        self.busy(connection)

    def _sweep(self) -> None:
        """One timer for all: connections that never say anything, requests that never come in whole, and
        answers that are never read. A client that has brought a job may be idle for as long as it likes."""
        self._sweeper = self.loop.call_later(SWEEP, self._sweep)
        now = self.loop.time()
        if self.away is not None and now - self.away >= AWAY_GRACE:
            self.close_idle()
        for connection in list(self.connections):
            waited = now - connection.since
            if connection.ending:
                if waited > (UNREAD if connection.unwritten else LINGER):
                    connection.abort()
            elif waited <= PATIENCE or connection.pending is not None or connection.transport is None:
                continue
            elif connection.partial:
                connection.keep = False
                connection.reject(408, "the request did not come in")
            elif not connection.known and connection.quiet():
                self.counters["silent"] += 1
                self._drop(connection)

    # Requests.

    def route(self, connection: ClientConnection, request: http.Request) -> None:
        """What a request asks for."""
        path, gate = request.path, connection.gate
        if gate is not None and not gate.may_take():
            connection.fence()
            return
        if path.startswith("/-/"):
            self._operator(connection, request.method, path)
            return
        try:
            choice = self.pools.choose(request)
        except NoRouteError as none:
            connection.reject(400 if none.malformed else 404, str(none))
            return
        cls, longest = self.classes.get(choice.job_class, (-1, 0.0))
        if cls < 0:
            connection.reject(404, "no such class")
            return
        if request.method != "POST":
            connection.reject(405, "jobs come by POST", {"Allow": "POST"})
            return
        name, wait = request.headers.get("req-id", ""), request.headers.get("req-deadline-ms", "")
        slots = _slots(request.headers.get("req-extra", ""))
        if not ID.fullmatch(name):
            connection.reject(400, "Req-Id is missing or malformed")
        elif not MS.fullmatch(wait):
            connection.reject(400, "Req-Deadline-Ms is missing or malformed")
        elif slots is None:
            connection.reject(400, "Req-Extra is malformed")
        else:
            # No client waits longer than its class allows, whatever it says: 11 days would be owed an answer.
            patience = min(int(wait) / 1000, longest, choice.time_limit) - ALLOWANCE
            due = self.loop.time() + (patience if gate is None else min(patience, gate.time_left()))
            if connection.came_after is not None:
                # It may have waited for as long as this process loaded, and its client's time ran.
                due, connection.came_after = min(due, connection.came_after + patience), None
            job = Job(request.method, request.target, request.body, request.headers.get("idempotency-key"))
            # Who names no tenant of the settings, or several, is served as nobody's: beyond every share.
            tenant = self.tenants.get(request.headers.get("req-owner", ""), -1) if self.tenants else 0
            if connection.gone():  # while its request waited to be read, or to be accepted
                self.counters["left_unread"] += 1
                return
            pending = PendingRequest(name, cls, due, job, connection, slots, tenant, choice.attempts)
            connection.taken(pending)
            if not self.pools.take(choice, pending):
                connection.pending = None
                self.waits(connection)
                connection.reject(409, "Req-Id is in use")

    def _operator(self, connection: ClientConnection, method: str, path: str) -> None:
        if path not in ("/-/ready", "/-/healthy", "/-/counters", "/-/address"):
            connection.reject(404, "no such page")
        elif method != "GET":
            connection.reject(405, "only GET here", {"Allow": "GET"})
        elif path == "/-/counters":
            connection.write(200, (json.dumps(self.report(), sort_keys=True) + "\n").encode(), JSON)
        elif path == "/-/address":
            if self.address_status is None:
                connection.reject(404, "no service addresses are set up here")
            else:
                connection.write(200, (json.dumps(self.address_status()) + "\n").encode(), JSON)
        elif path == "/-/ready" and (self.leaving or self.away is not None or not self.ready):
            why = b"no list yet\n" if not self.ready else b"paused\n" if not self.leaving else b"draining\n"
            connection.write(503, why, TEXT)
        else:
            connection.write(200, b"ok\n", TEXT)

    # Connections that came by an address that moves.

    def through(self, gate: Gate) -> list[ClientConnection]:
        """All that came through a gate."""
        return [c for c in self.connections if c.gate is gate]

    def settle(self, gate: Gate) -> bool:
        """Close those that owe nothing and have sent nothing; whether no request can be taken on any more."""
        waiting = [c for c in self.through(gate) if c.pending is None and not c.ending]
        for connection in waiting:
            if connection.at_rest:
                self._drop(connection)
        return all(c.ending for c in waiting)

    def hurry(self, gate: Gate, within: float) -> None:
        """Whatever was taken through a gate is answered within so many seconds."""
        for connection in self.through(gate):
            if connection.pending is not None:
                connection.pending.hurry(self.loop.time() + within)

    def cut(self, gate: Gate) -> None:
        """End all that came through a gate; requests in hand are over, and the decisions hear of it."""
        for connection in self.through(gate):
            connection.fence()

    # Ending.

    def leave(self) -> None:
        """Say that this dispatcher is not ready any more, and go on serving."""
        self.leaving = True

    def send_away(self) -> None:
        """Say no to the front, and end every connection after its next answer; the listener stays."""
        if self.away is None:
            self.away = self.loop.time()

    def take_again(self) -> None:
        """Say yes to the front again, and keep connections open."""
        self.away = None

    def drain(self) -> None:
        """Every answer is its connection's last from now on, and no more connections are accepted."""
        self.draining = True
        self.stop_listening()

    def stop_listening(self) -> None:
        """Take what has connected already, then accept no more."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close_idle(self) -> None:
        """Close the connections that owe nothing."""
        for connection in [*self.idle[1], *self.idle[2]]:
            if connection.at_rest:
                self._drop(connection)

    @property
    def unsettled(self) -> bool:
        """Answers are still on their way out of this process, or what came in is not read yet: a request
        whose last byte is here counts as taken, read or not."""
        return any(c.unwritten or not c.ending for c in self.connections)

    def close(self) -> None:
        """Give everything back."""
        self.stop_listening()
        self._sweeper.cancel()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()


def _slots(extra: str) -> float | None:
    """The slots that `Req-Extra` names, 1 if it names none; None if it is malformed."""
    figures = {"slots": "1"}
    for part in extra.split(",") if extra.strip() else ():
        match = EXTRA.fullmatch(part)
        if match is None:
            return None
        figures[match[1]] = match[2]
    return float(figures["slots"]) if SLOTS.fullmatch(figures["slots"]) else None
