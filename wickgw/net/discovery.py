"""The client of discovery: fetches the whole worker list once, then watches it for changes.

Owns the one connection to discovery, its timer and the version of the current list. A change counts as
delivered when its bytes arrive, so it is handed on in the callback that reads it. A failure of discovery
keeps the current list, and a list that cannot be read to its end is discarded. `watch_timing` decides the
timeouts and pauses.
"""

import asyncio
import errno
import random
import socket
from collections.abc import Callable

from wickgw import interface as i
from wickgw.net import http
from wickgw.net.listen import parse_address
from wickgw.net.sockets import Connection, Sockets
from wickgw.net.spare_socket import SpareSocket
from wickgw.net.watch_timing import IMMEDIATE_RETRIES, WatchTiming
from wickgw.net.worker_list import ListError, ListMessage, ListParser, ListReader, Target
from wickgw.observe import get_logger

log = get_logger("wickgw")
MAX_ANSWER_BYTES = 4 << 20  # of one answer
# Consecutive whole lists of an older version after which discovery counts as having lost its state.
OLDER_LISTS_BEFORE_RESET = 5


class DiscoveryConnection(Connection):
    """One connection to discovery, which carries one call at a time."""

    def __init__(self, discovery: "Discovery") -> None:
        self.discovery = discovery
        self.parser = http.ResponseParser()
        self.head: http.ResponseHead | None = None
        self.body = bytearray()

    def opened(self) -> None:
        """Report that calls can be sent."""
        self.discovery.connected(self)

    def open_failed(self) -> None:
        """Report that the socket got no transport."""
        self.discovery.descriptor_freed()
        self.discovery.on_failure(self, "no transport")

    def call(self, target: str, host: str) -> None:
        """Send a call. Its answer goes to `Discovery.on_answer`."""
        self.body = bytearray()
        if self.transport is not None:
            self.transport.write(http.encode_request("GET", target, {"Host": host}))

    def received(self, data: bytes) -> None:
        """Handle bytes of an answer."""
        try:
            for part in self.parser.feed(data):
                if isinstance(part, http.ResponseHead):
                    self.head = part
                elif isinstance(part, http.EndOfResponse):
                    self._response_complete(part.keep_alive)
                else:
                    self.body += part
                    if len(self.body) > MAX_ANSWER_BYTES:
                        raise http.HttpError(502, "list too long")
        except (http.HttpError, ListError) as error:
            self.discovery.on_failure(self, str(error)[:200])

    def _response_complete(self, keep_alive: bool) -> None:
        if self.head is None or self.head.status != 200:
            raise ListError(f"status {self.head.status if self.head else 0}")
        body, self.body = self.body, bytearray()
        self.discovery.on_answer(self, body, keep_alive)

    def eof_received(self) -> bool:
        """Handle the close by discovery: the end of a list without a length, or a lost connection."""
        if (end := self.parser.eof()) is not None:
            try:
                self._response_complete(end.keep_alive)
            except ListError as error:
                self.discovery.on_failure(self, str(error)[:200])
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the connection, closed by either side."""
        self.discovery.descriptor_freed()
        self.discovery.on_failure(self, "connection closed")


class Discovery:
    """Keeps the worker list up to date, through calls that wait for changes.

    `on_update` is called with each accepted list or change, `on_unavailable` if the first call fails.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sockets: Sockets,
        address: str,
        reader: ListReader,
        on_update: Callable[[i.ListKind, list[Target]], None],
        on_unavailable: Callable[[], None],
        timing: WatchTiming,
    ) -> None:
        self.loop, self.sockets, self.address, self.reader = loop, sockets, address, reader
        self.on_update, self.on_unavailable, self.timing = on_update, on_unavailable, timing
        self.initialized = False  # the first call has ended, successfully or not, and its end was reported
        self.version: int | None = None  # of the current list
        self.confirmed = False  # the version comes from discovery, not from the list known at the start
        self.failures = 0  # consecutive failed calls
        self.immediate_retries_left = IMMEDIATE_RETRIES
        self.may_have_missed_updates = False  # a watch is open, and a change may be lost if it falls silent
        self.has_answered = False  # this connection has brought an answer
        self.older_lists = 0  # consecutive whole lists that were older than the current one
        self.force_whole_list = False  # the version is not usable as a base for changes
        self.connection: DiscoveryConnection | None = None
        self.connecting_socket: socket.socket | None = None
        self.parser: ListParser | None = None  # reads a long list over several turns of the loop
        self.connection_lost_while_parsing = False
        self.spare_socket = SpareSocket()
        # The only timer: the timeout of a call, or the pause before the next connection.
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    def resume_from(self, version: int) -> None:
        """Ask only for the changes since `version`, that of the list known at the start (below 0: none).

        A whole list costs an overloaded service more, and after a release most dispatchers ask at once.
        """
        if version >= 0:
            self.version = version

    def open(self) -> None:
        """Connect and send a call. After a failure, try again after a growing pause."""
        self.has_answered = False
        self._set_timer(self.timing.connect_timeout, self._timed_out)
        try:
            sock = self.spare_socket.take()
        except (OSError, MemoryError) as error:
            self.on_failure(None, str(error))
            return
        self.connecting_socket = sock
        self.sockets.bound_buffers(sock)
        try:
            error_code = sock.connect_ex(parse_address(self.address))
            if error_code not in (0, errno.EINPROGRESS):
                self.on_failure(None, "refused")
                return
            self.loop.add_writer(sock.fileno(), self._writable)
        except (OSError, MemoryError) as error:  # without memory for the descriptor, for one
            self.on_failure(None, str(error))

    def change_address(self, address: str) -> None:
        """Use discovery at another address and fetch its whole list at once.

        Versions of another service are not comparable. The current list stays until the new one is read.
        """
        self._disconnect(self.connection)
        self.address, self.version, self.failures, self.older_lists = address, None, 0, 0
        self.immediate_retries_left, self.may_have_missed_updates = IMMEDIATE_RETRIES, True
        self.open()

    def _writable(self) -> None:
        sock, self.connecting_socket = self.connecting_socket, None
        assert sock is not None
        self.loop.remove_writer(sock.fileno())
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            sock.close()
            self.descriptor_freed()
            self.on_failure(None, "refused")
            return
        self.connection = DiscoveryConnection(self)
        self.sockets.open_transport(sock, self.connection)

    def descriptor_freed(self) -> None:
        """Refill the spare socket with the descriptor that is about to be released.

        This happens before the loop accepts a client with it.
        """
        if not self.closed:
            self.loop.call_soon(self._refill)

    def _refill(self) -> None:
        if not self.closed:
            self.spare_socket.refill()

    def connected(self, connection: DiscoveryConnection) -> None:
        """Send the first call on a connection that is open now."""
        if connection is self.connection:
            self._send_call()
        else:
            connection.abort()

    def _send_call(self) -> None:
        assert self.connection is not None
        if self.version is None or self.force_whole_list:
            self._set_timer(self.timing.whole_list_timeout, self._timed_out)
            self.connection.call("/api/targets", self.address)
            return
        self.may_have_missed_updates = True
        call = self.timing.watch
        if self.failures:
            call = self.timing.watch_after_failure
        elif not self.has_answered:
            call = self.timing.first_watch
        self._set_timer(call.wait + call.answer_timeout, self._timed_out)
        self.connection.call(
            f"/api/targets?index={self.version}&wait={round(call.wait * 1000)}", self.address
        )

    def on_answer(self, connection: DiscoveryConnection, body: bytearray, keep_alive: bool) -> None:
        """Read a list or changes, apply them, then send the next call at once.

        A long list is read over several turns of the loop, a short one in this call. Raises ListError.
        """
        if connection is not self.connection:
            return
        self.parser = self.reader.start(body)
        if not self._parse_next(connection, keep_alive):
            self.loop.call_soon(self._parse_later, connection, keep_alive)

    def _parse_next(self, connection: DiscoveryConnection, keep_alive: bool) -> bool:
        """Read the next part of a list and accept the complete list.

        Returns whether there is nothing left to read. Raises ListError.
        """
        parser = self.parser
        if parser is None or connection is not self.connection:  # superseded by another call
            return True
        try:
            if not parser.parse_some():
                return False
        except ListError:
            self.parser = None
            raise
        self.parser = None
        connection_was_lost, self.connection_lost_while_parsing = self.connection_lost_while_parsing, False
        self._accept_list(connection, parser.message(), keep_alive and not connection_was_lost)
        return True

    def _parse_later(self, connection: DiscoveryConnection, keep_alive: bool) -> None:
        try:
            if not self._parse_next(connection, keep_alive):
                self.loop.call_soon(self._parse_later, connection, keep_alive)
        except ListError as error:
            self.on_failure(connection, str(error)[:200])

    def _accept_list(self, connection: DiscoveryConnection, message: ListMessage, keep_alive: bool) -> None:
        """Accept a parsed list. Raises ListError if it does not fit the current list."""
        version, whole, targets = message.version, message.whole, message.targets
        if self.version is not None and version < self.version:
            self.older_lists += whole
            self.force_whole_list = True
            if not whole or (self.confirmed and self.older_lists < OLDER_LISTS_BEFORE_RESET):
                raise ListError(f"version {version} after {self.version}")
            log.warning("discovery.anew", version=version)
        if not whole and self.version is None:
            raise ListError("changes to a list never given")
        self.reader.accept(message)
        if message.left_out:
            log.warning("discovery.list-too-large", left_out=message.left_out, of=len(targets))
        self.reader.start_times.list_answered(self.loop.time())
        self.failures = self.older_lists = 0
        self.immediate_retries_left, self.may_have_missed_updates = IMMEDIATE_RETRIES, False
        self.has_answered = self.confirmed = True
        self.force_whole_list = False
        if whole or targets or not self.initialized:
            self.initialized = True
            self.on_update(i.ListKind.REPLACE if whole else i.ListKind.UPDATE, targets)
        self.version = version
        if keep_alive:
            self._send_call()
        else:
            self._disconnect(connection)
            self.open()

    def on_failure(self, connection: DiscoveryConnection | None, why: str, immediate: bool = False) -> None:
        """Handle a failed call: keep the list, and try again after a pause.

        The pause is short with `immediate`, which is for a connection that fell silent.
        """
        if self.closed or connection is not self.connection:
            return
        if self.parser is not None:  # the answer is here and still being read: it remains valid
            self.connection_lost_while_parsing = True
            return
        self._disconnect(connection)
        self.failures += 1
        pause = self.timing.pause(self.failures, immediate)
        if self.failures in (1, 10, 100):
            log.warning("discovery.failed", why=str(why), failures=self.failures)
        self._set_timer(random.uniform(pause.shortest, pause.longest), self.open)
        if not self.initialized:
            self.initialized = True
            self.on_unavailable()

    def _timed_out(self) -> None:
        immediate = self.may_have_missed_updates and self.immediate_retries_left > 0
        self.immediate_retries_left -= immediate
        self.on_failure(self.connection, "silent", immediate)

    def _set_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if not self.initialized:
            seconds = min(seconds, self.timing.first_answer_timeout)
        self.timer = self.loop.call_later(seconds, callback)

    def _disconnect(self, connection: DiscoveryConnection | None) -> None:
        """Release the socket, connected or not."""
        self.connection, self.parser, self.connection_lost_while_parsing = None, None, False
        if self.connecting_socket is not None:
            self.loop.remove_writer(self.connecting_socket.fileno())
            self.connecting_socket.close()
            self.connecting_socket = None
            self.spare_socket.refill()
        if connection is not None:
            connection.abort()

    def close(self) -> None:
        """Stop the calls and release the timer, the connection and the spare socket."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self._disconnect(self.connection)
        self.spare_socket.close()
