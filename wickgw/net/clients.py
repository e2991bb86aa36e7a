"""Clients: the listener, client connections, and what is told to operators on the same port.

Owns the listening socket, every client connection, and the one timer that looks after them. A request read
here becomes a request context and gets the answer that the dispatcher gives it, whole, on the connection it
came by. It must never answer a job by itself once it is taken, nor close a connection that owes an answer.
"""

import asyncio
import json
import logging
import re
import socket
from collections import OrderedDict
from collections.abc import Callable
from urllib.parse import unquote

from wickgw import interface as i
from wickgw.net import http
from wickgw.net.dispatch import Answer, AnswerKind, Dispatcher, RequestContext
from wickgw.net.peers import Job
from wickgw.net.sockets import Connection, Sockets

log = logging.getLogger("wickgw")
ALLOWANCE = 0.015  # seconds of a client's time left for its request's way here and the answer's way back
ACCEPT_AT_ONCE = 64  # connections accepted before others get their turn
ACCEPT_PAUSE = 0.05  # seconds without accepting after it failed, or while all connections are busy
SWEEP = 1.0  # seconds between looks at connections that should be moving
PARTIAL = 15.0  # seconds that a request may take to come in
LINGER = 2.0  # seconds for a client to read its last answer before the connection is dropped
ID = re.compile(r"[0-9A-Za-z._-]{1,64}")
MS = re.compile(r"[0-9]{1,9}")
EXTRA = re.compile(r"\s*([0-9A-Za-z_-]+)\s*=\s*([^,=]*?)\s*")
SLOTS = re.compile(r"[0-9]{1,6}(?:\.[0-9]{1,6})?")
TEXT = {"Content-Type": "text/plain; charset=utf-8"}
JSON = {"Content-Type": "application/json"}


class ClientConnection(Connection):
    """One client connection: reads a request, waits for its answer, writes it, reads the next."""

    def __init__(self, clients: "Clients") -> None:
        self.clients = clients
        self.parser = http.RequestParser()
        self.context: RequestContext | None = None  # the request that waits for its answer
        self.keep = True  # as the request in hand wants it
        self.since = 0.0  # when it last began to wait for bytes
        self.reading = False
        self.ending = False  # the last answer is written; what still comes is not read
        self.paused = False

    def opened(self) -> None:
        self.since = self.clients.loop.time()
        self.clients.idle[self] = None

    def never_opened(self) -> None:
        self.clients.forget(self)

    @property
    def unwritten(self) -> int:
        """Bytes of answers that are still on their way out of this process."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def partial(self) -> bool:
        """A request has begun to come in, and isn't whole."""
        return self.context is None and not self.ending and self.parser.partial

    def received(self, data: bytes) -> None:
        if self.ending:
            return
        if not self.parser.partial:
            self.since = self.clients.loop.time()
        self.parser.feed(data)
        if self.context is None:
            self._read()
        elif len(self.parser.buffer) > http.MAX_HEAD and self.transport is not None:
            self.paused = True  # one that sends on and on while it is owed an answer: bounded here
            self.transport.pause_reading()

    def _read(self) -> None:
        """Take the requests that are in, one after the other. A loop, so that a long line of them that are
        answered on the spot does not grow the stack."""
        self.reading = True
        try:
            while self.context is None and not self.ending:
                request = self.parser.next()
                if request is None:
                    if self.parser.wants_continue() and self.transport is not None:
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
        self.clients.dispatcher.counters[f"rejected.{status}"] += 1
        self.write(status, f"{reason}\n".encode(), TEXT | (fields or {}))

    def write(self, status: int, body: bytes, fields: dict[str, str]) -> None:
        """Write an answer, and end the connection if it is the last."""
        if self.transport is None or self.transport.is_closing():
            return
        keep = self.keep and not self.clients.draining
        self.transport.write(http.response(status, body, fields, keep))
        self.since = self.clients.loop.time()
        if not keep:
            # Closing with bytes unread would reset the connection and could destroy the answer on its way:
            # so this side only ends its sending, and the client, or the sweep, closes it.
            self.ending = True
            self.clients.idle.pop(self, None)
            if self.paused:
                self.paused = False
                self.transport.resume_reading()
            self.transport.write_eof()

    def taken(self, context: RequestContext) -> None:
        """A request of this connection waits for its answer."""
        self.context = context
        self.clients.idle.pop(self, None)

    def answer(self, answer: Answer) -> None:
        """The final answer to the request that was taken."""
        self.context = None
        self.clients.idle[self] = None
        if answer.kind is AnswerKind.SERVED:
            self.write(200, answer.result, TEXT)
        elif answer.kind is AnswerKind.REFUSED:
            after = f"{answer.retry_after:.3f}".rstrip("0").rstrip(".")
            self.write(503, b"not done, try again later\n", TEXT | {"Retry-After": after})
        else:
            self.write(502, b"failed\n", TEXT)
        if self.paused and self.transport is not None:
            self.paused = False
            self.transport.resume_reading()
        if not self.reading:
            self._read()

    def eof_received(self) -> bool:
        """A client that ends its side has gone away."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The one place where a client connection is given back."""
        self.sock = None
        self.clients.forget(self)
        context, self.context = self.context, None
        if context is not None:
            self.clients.dispatcher.left(context)


class Clients:
    """The listener and all client connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sockets: Sockets,
        dispatcher: Dispatcher,
        settings: i.Settings,
        report: Callable[[], dict[str, object]],
    ) -> None:
        self.loop, self.sockets, self.dispatcher, self.report = loop, sockets, dispatcher, report
        self.classes = {c.name: n for n, c in enumerate(settings.classes)}
        self.connections: set[ClientConnection] = set()
        self.idle: OrderedDict[ClientConnection, None] = OrderedDict()  # owes nothing; longest so first
        self.ready = False  # a list is held
        self.leaving = False  # the process is about to end: clients should go elsewhere
        self.draining = False  # and takes nothing more: every answer is its connection's last
        self.listener: socket.socket | None = None
        self._resume: asyncio.TimerHandle | None = None  # while not accepting
        self._sweeper = loop.call_later(SWEEP, self._sweep)

    # Listening.

    def listen(self, where: tuple[str, int]) -> tuple[str, int]:
        """Begin to accept; returns the address, as port 0 leaves the choice to the system."""
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.listener.bind(where)
            self.listener.listen(1024)
        except OSError:
            self.listener.close()
            self.listener = None
            raise
        self.loop.add_reader(self.listener.fileno(), self._accept)
        host, port = self.listener.getsockname()
        return host, port

    def _accept(self) -> None:
        """Accept what waits. Neither an error nor a lack of descriptors ends the listening."""
        assert self.listener is not None
        for _ in range(ACCEPT_AT_ONCE):
            if len(self.connections) >= self.sockets.for_clients and not self._close_one_idle():
                self._pause()
                return
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning("accept failed: %s", error)
                self.dispatcher.counters["accept_errors"] += 1
                self._close_one_idle()
                self._pause()
                return
            sock.setblocking(False)
            connection = ClientConnection(self)
            self.connections.add(connection)
            self.dispatcher.counters["connections"] += 1
            self.sockets.adopt(sock, connection)

    def _pause(self) -> None:
        if self.listener is not None:
            self.loop.remove_reader(self.listener.fileno())
            self._resume = self.loop.call_later(ACCEPT_PAUSE, self._accept_again)

    def _accept_again(self) -> None:
        self._resume = None
        if self.listener is not None:
            self.loop.add_reader(self.listener.fileno(), self._accept)
            self._accept()

    def _close_one_idle(self) -> bool:
        """Make room: a client whose connection closes between requests opens another. One whose request lies
        unread is no longer between requests."""
        for connection in self.idle:
            if not connection.partial and connection.quiet():
                self._drop(connection)
                return True
        return False

    def _drop(self, connection: ClientConnection) -> None:
        self.forget(connection)
        connection.ending = True
        if connection.transport is not None:
            connection.transport.close()

    def forget(self, connection: ClientConnection) -> None:
        """A connection is closed."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)

    def _sweep(self) -> None:
        """One timer for all: requests that never come in whole, and answers that are never read."""
        self._sweeper = self.loop.call_later(SWEEP, self._sweep)
        now = self.loop.time()
        for connection in list(self.connections):
            if connection.ending and now > connection.since + LINGER:
                if not connection.unwritten or now > connection.since + PARTIAL:
                    connection.abort()
            elif connection.partial and now > connection.since + PARTIAL:
                connection.keep = False
                connection.reject(408, "the request did not come in")

    # Requests.

    def route(self, connection: ClientConnection, request: http.Request) -> None:
        """What a request asks for."""
        path = request.path
        if path.startswith("/-/"):
            self._operator(connection, request.method, path)
            return
        cls = self.classes.get(unquote(path[1:].partition("/")[0]))
        if cls is None:
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
            due = self.loop.time() + int(wait) / 1000 - ALLOWANCE
            job = Job(request.method, request.target, request.body)
            context = RequestContext(name, cls, due, job, connection, slots)
            connection.taken(context)
            if not self.dispatcher.take(context):
                connection.context = None
                self.idle[connection] = None
                connection.reject(409, "Req-Id is in use")

    def _operator(self, connection: ClientConnection, method: str, path: str) -> None:
        if path not in ("/-/ready", "/-/healthy", "/-/counters"):
            connection.reject(404, "no such page")
        elif method != "GET":
            connection.reject(405, "only GET here", {"Allow": "GET"})
        elif path == "/-/counters":
            connection.write(200, (json.dumps(self.report(), sort_keys=True) + "\n").encode(), JSON)
        elif path == "/-/ready" and (self.leaving or not self.ready):
            connection.write(503, b"draining\n" if self.leaving else b"no list yet\n", TEXT)
        else:
            connection.write(200, b"ok\n", TEXT)

    # Ending.

    def leave(self) -> None:
        """Say that this dispatcher is not ready any more, and go on serving."""
        self.leaving = True

    def drain(self) -> None:
        """Every answer is its connection's last from now on, and no more connections are accepted."""
        self.draining = True
        self.stop_listening()

    def stop_listening(self) -> None:
        """Take what has connected already, then accept no more."""
        if self.listener is not None:
            if self._resume is None:
                self._accept()
            if self._resume is not None:
                self._resume.cancel()
            self.loop.remove_reader(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def close_idle(self) -> None:
        """Close the connections that owe nothing."""
        for connection in list(self.idle):
            if not connection.partial and connection.quiet():
                self._drop(connection)

    @property
    def unwritten(self) -> bool:
        """Answers are still on their way out of this process."""
        return any(c.unwritten for c in self.connections)

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
