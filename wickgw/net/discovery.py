"""The worker list: fetched whole once, then watched.

Owns the one connection to discovery, its timer, and the version of the list that is held. News is handed on
in the same callback that read it, since it counts as told when its bytes arrive. The list is never forgotten
because discovery fails, and a list that could not be read to its end is never handed on. How long to wait
and to pause is decided in watch_timing.py.
"""

import asyncio
import errno
import random
import socket
from collections.abc import Callable

from wickgw import interface as i
from wickgw.net import http
from wickgw.net.listen import address
from wickgw.net.sockets import Connection, Sockets
from wickgw.net.spare_socket import SpareSocket
from wickgw.net.watch_timing import IMMEDIATE_RETRIES, WatchTiming
from wickgw.net.worker_list import ListError, ListInParts, ListMessage, ListReader, Target
from wickgw.observe import logger

log = logger("wickgw")
MAX_LIST_BYTES = 4 << 20
# Whole lists in a row of an older version until it is believed that discovery has lost its state.
REBUILT_AFTER = 5


class DiscoveryConnection(Connection):
    """One connection to discovery, with one call at a time on it."""

    def __init__(self, discovery: "Discovery") -> None:
        self.discovery = discovery
        self.parser = http.ResponseParser()
        self.head: http.Head | None = None
        self.body = bytearray()

    def opened(self) -> None:
        """The connection can be written to."""
        self.discovery.connected(self)

    def never_opened(self) -> None:
        """No transport could be had for its socket."""
        self.discovery.closed_socket()
        self.discovery.failed(self, "no transport")

    def call(self, target: str, host: str) -> None:
        """Send a call; its answer goes to `Discovery.answered`."""
        self.body.clear()
        if self.transport is not None:
            self.transport.write(http.request("GET", target, {"Host": host}))

    def received(self, data: bytes) -> None:
        """Bytes of an answer came."""
        try:
            for part in self.parser.feed(data):
                if isinstance(part, http.Head):
                    self.head = part
                elif isinstance(part, http.End):
                    self._whole(part.keep)
                else:
                    self.body += part
                    if len(self.body) > MAX_LIST_BYTES:
                        raise http.HttpError(502, "list too long")
        except (http.HttpError, ListError) as error:
            self.discovery.failed(self, str(error)[:200])

    def _whole(self, keep: bool) -> None:
        if self.head is None or self.head.status != 200:
            raise ListError(f"status {self.head.status if self.head else 0}")
        self.discovery.answered(self, bytes(self.body), keep)

    def eof_received(self) -> bool:
        """The end of a list without a length, or the loss of the connection."""
        if (end := self.parser.eof()) is not None:
            try:
                self._whole(end.keep)
            except ListError as error:
                self.discovery.failed(self, str(error)[:200])
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed, by whichever side."""
        self.discovery.closed_socket()
        self.discovery.failed(self, "connection closed")


class Discovery:
    """Keeps the list and goes on asking for it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sockets: Sockets,
        where: str,
        reader: ListReader,
        on_update: Callable[[i.ListKind, list[Target]], None],
        on_unavailable: Callable[[], None],
        timing: WatchTiming,
    ) -> None:
        self.loop, self.sockets, self.where, self.reader = loop, sockets, where, reader
        self.on_update, self.on_unavailable, self.timing = on_update, on_unavailable, timing
        self.initialized = False  # the first call has ended, well or not, and the owner was told
        self.version: int | None = None  # of the list that is held
        self.confirmed = False  # that version is from discovery itself, not from the list known at the start
        self.failures = 0
        self.immediate_retries_left = IMMEDIATE_RETRIES
        self.may_have_missed_updates = False  # news may be missed while the call that is out is silent
        self.checked = False  # this connection has brought an answer
        self.older_lists = 0  # whole lists in a row that were older than ours
        self.ask_whole = False  # though a version is held: it is not to be built on
        self.connection: DiscoveryConnection | None = None
        self.opening: socket.socket | None = None
        self.reading: ListInParts | None = None  # a long list, over several turns of the loop
        self.lost_while_reading = False  # the connection that brought it
        self.spare_socket = SpareSocket()
        # The one thing waited for: an answer, or the next attempt.
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    def resume_from(self, version: int) -> None:
        """The list known at the start has this version (below 0: none): only what changed since is asked for.
        A long answer costs an overbooked service more, and after a release most of us want one."""
        if version >= 0:
            self.version = version

    def open(self) -> None:
        """Connect and ask. Any failure is tried again after a growing pause."""
        self.checked = False
        self._wait(self.timing.connect, self._silent)
        try:
            sock = self.spare_socket.take()
        except OSError as error:
            self.failed(None, str(error))
            return
        self.opening = sock
        code = sock.connect_ex(address(self.where))
        if code not in (0, errno.EINPROGRESS):
            self.failed(None, "refused")
            return
        self.loop.add_writer(sock.fileno(), self._writable)

    def move(self, where: str) -> None:
        """Discovery is elsewhere from now on: the whole list is asked for there at once. Its versions are its
        own, so the version held says nothing of them; the list itself is kept until the new one is in."""
        self._lose(self.connection)
        self.where, self.version, self.failures, self.older_lists = where, None, 0, 0
        self.immediate_retries_left, self.may_have_missed_updates = IMMEDIATE_RETRIES, True
        self.open()

    def _writable(self) -> None:
        sock, self.opening = self.opening, None
        assert sock is not None
        self.loop.remove_writer(sock.fileno())
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            sock.close()
            self.closed_socket()
            self.failed(None, "refused")
            return
        self.connection = DiscoveryConnection(self)
        self.sockets.adopt(sock, self.connection)

    def closed_socket(self) -> None:
        """A connection's descriptor is about to be given back: it becomes the next reserve, before the loop
        accepts a client with it."""
        if not self.closed:
            self.loop.call_soon(self._refill)

    def _refill(self) -> None:
        if not self.closed:
            self.spare_socket.refill()

    def connected(self, connection: DiscoveryConnection) -> None:
        """The connection can be written to."""
        if connection is self.connection:
            self._ask()
        else:
            connection.abort()

    def _ask(self) -> None:
        assert self.connection is not None
        if self.version is None or self.ask_whole:
            self._wait(self.timing.whole_list, self._silent)
            self.connection.call("/api/targets", self.where)
            return
        self.may_have_missed_updates = True
        call = self.timing.watch
        if self.failures:
            call = self.timing.watch_after_failure
        elif not self.checked:
            call = self.timing.first_watch
        self._wait(call.wait + call.silence, self._silent)
        self.connection.call(f"/api/targets?index={self.version}&wait={round(call.wait * 1000)}", self.where)

    def answered(self, connection: DiscoveryConnection, body: bytes, keep: bool) -> None:
        """A list or changes are in: hand them on, then ask for the next at once. A long list is read over
        several turns of the loop, a short one in this call. Raises ListError."""
        if connection is not self.connection:
            return
        self.reading = self.reader.begin(body)
        if not self._read_on(connection, keep):
            self.loop.call_soon(self._read_later, connection, keep)

    def _read_on(self, connection: DiscoveryConnection, keep: bool) -> bool:
        """Read the next part of a list, and take it once it is whole; whether it is. Raises ListError."""
        reading = self.reading
        if reading is None or connection is not self.connection:  # another call has taken its place
            return True
        try:
            if not reading.read_some():
                return False
        except ListError:
            self.reading = None
            raise
        self.reading = None
        lost, self.lost_while_reading = self.lost_while_reading, False
        self._take(connection, reading.message(), keep and not lost)
        return True

    def _read_later(self, connection: DiscoveryConnection, keep: bool) -> None:
        try:
            if not self._read_on(connection, keep):
                self.loop.call_soon(self._read_later, connection, keep)
        except ListError as error:
            self.failed(connection, str(error)[:200])

    def _take(self, connection: DiscoveryConnection, message: ListMessage, keep: bool) -> None:
        """A whole answer has been read. Raises ListError."""
        version, whole, targets = message.version, message.whole, message.targets
        if self.version is not None and version < self.version:
            self.older_lists += whole
            self.ask_whole = True
            if not whole or (self.confirmed and self.older_lists < REBUILT_AFTER):
                raise ListError(f"version {version} after {self.version}")
            log.warning("discovery.anew", version=version)
        if not whole and self.version is None:
            raise ListError("changes to a list never given")
        self.reader.accept(message)
        self.reader.start_times.answered(self.loop.time())
        self.failures = self.older_lists = 0
        self.immediate_retries_left, self.may_have_missed_updates = IMMEDIATE_RETRIES, False
        self.checked = self.confirmed = True
        self.ask_whole = False
        if whole or targets or not self.initialized:
            self.initialized = True
            self.on_update(i.ListKind.REPLACE if whole else i.ListKind.UPDATE, targets)
        self.version = version
        if keep:
            self._ask()
        else:
            self._lose(connection)
            self.open()

    def failed(self, connection: DiscoveryConnection | None, why: str, immediate: bool = False) -> None:
        """Discovery is out of reach or talks nonsense: the list is kept, and it is asked again in a while, or
        at once if it is only the way to it that is broken."""
        if self.closed or connection is not self.connection:
            return
        if self.reading is not None:  # its answer is in, and on its way through: it is taken all the same
            self.lost_while_reading = True
            return
        self._lose(connection)
        self.failures += 1
        pause = self.timing.pause(self.failures, immediate)
        if self.failures in (1, 10, 100):
            log.warning("discovery.failed", why=str(why), failures=self.failures)
        self._wait(random.uniform(pause.shortest, pause.longest), self.open)
        if not self.initialized:
            self.initialized = True
            self.on_unavailable()

    def _silent(self) -> None:
        immediate = self.may_have_missed_updates and self.immediate_retries_left > 0
        self.immediate_retries_left -= immediate
        self.failed(self.connection, "silent", immediate)

    def _wait(self, seconds: float, then: Callable[[], None]) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if not self.initialized:
            seconds = min(seconds, self.timing.first_answer)
        self.timer = self.loop.call_later(seconds, then)

    def _lose(self, connection: DiscoveryConnection | None) -> None:
        """Give back the socket, at whatever stage it is."""
        self.connection, self.reading, self.lost_while_reading = None, None, False
        if self.opening is not None:
            self.loop.remove_writer(self.opening.fileno())
            self.opening.close()
            self.opening = None
            self.spare_socket.refill()
        if connection is not None:
            connection.abort()

    def close(self) -> None:
        """Stop asking and give everything back."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self._lose(self.connection)
        self.spare_socket.close()
