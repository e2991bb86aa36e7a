"""Connection limits and transports, shared by client connections, worker connections and discovery.

Owns the limits on connections, the buffer for all reads, and a few tasks that turn connected sockets into
asyncio transports. asyncio does that only in a coroutine; long-lived tasks avoid a new task for each
connection or request. This module does not parse any message.
"""

import asyncio
import contextlib
import itertools
import math
import resource
import select
import socket
from collections.abc import Collection
from typing import Any, ClassVar, Protocol, cast

from wickgw.observe import get_logger

log = get_logger("wickgw")
RESERVED_DESCRIPTORS = 24  # for the listener, discovery, the event loop, logs and imports
BASE_MEMORY_MB = 36  # of the process without connections: 28 MB and a margin
LIST_SHARE = 0.5  # of the memory beyond `BASE_MEMORY_MB`, for the worker list at most
MIN_LIST_BYTES = 1_000_000  # for the worker list, however little memory there is
OPENER_TASKS = 4  # per side: opening a transport takes several turns of the loop, and others queue up
# Tasks for clients, for workers and discovery, and for the management port: a flood on one side must not
# delay another.
OPENER_TASKS_BY_SIDE = {"clients": OPENER_TASKS, "workers": OPENER_TASKS, "mgmt": 1}
CLIENT_SHARE = 0.6  # of the unreserved descriptors; typical clients use a third of all, the rest is headroom
# A read is finished before the loop turns to the next one, so all connections can share one buffer.
_READ_BUFFER = memoryview(bytearray(32 * 1024))
# Budgeted memory of a connection: its objects (about 3 KB for a client connection) and a share of its full
# buffers (client: a head, a body and an answer, 144 KB; worker: an outgoing request and a response line, 148
# KB; the read buffer is shared). Most connections hold no data between messages, and at most one in six has
# full buffers at once. A budget of full buffers for every connection left 9 worker connections in 40 MB, and
# requests waited 1.8 s for a first attempt.
_CLIENT_OBJECT_BYTES, _WORKER_OBJECT_BYTES = 3 * 1024, 6 * 1024
_CLIENT_CONNECTION_BYTES = _CLIENT_OBJECT_BYTES + (16 * 1024 + 64 * 1024 + 64 * 1024) // 6
_WORKER_CONNECTION_BYTES = _WORKER_OBJECT_BYTES + (80 * 1024 + 68 * 1024) // 6
_BUFFER_OVERHEAD = 1.25  # size of a buffer, by the bytes in it
MIN_MESSAGE_BYTES = 1_000_000  # that all connections together may hold, however little memory there is
COUNT_PAUSE_FACTOR = 10  # pause after a count of what all connections hold, in times that it took
UNCOUNTED_MESSAGE_BYTES = 8 * 1024  # that each connection may hold even if all together hold too much


class Connection(asyncio.BufferedProtocol):
    """Base class of connections. The transport is released in `connection_lost`."""

    transport: asyncio.Transport | None = None
    sock: socket.socket | None = None  # the transport's descriptor, for a look at unread data
    discarding = False  # received data is dropped without a copy
    message_bytes: ClassVar[int] = 0  # ever received or written on all connections of the process

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and report that the connection is open."""
        self.transport = cast(asyncio.Transport, transport)
        self.opened()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared read buffer."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on received bytes. An unexpected error closes only this connection."""
        if self.discarding:
            return
        Connection.message_bytes += nbytes
        try:
            self.received(bytes(_READ_BUFFER[:nbytes]))
        except Exception:
            log.exception("connection.failed")
            self.abort()

    @property
    def held_bytes(self) -> int:
        """Bytes of messages that this connection holds; for subclasses."""
        return 0

    def _peek(self) -> bytes | None:
        """Return the first unread byte in the kernel, None if there is none, b"" at the peer's end."""
        if self.sock is None or self.transport is None or self.transport.is_closing():
            return b""
        try:
            return self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def is_quiet(self) -> bool:
        """Return whether the connection is open and nothing is unread, neither data nor the peer's end."""
        return self._peek() is None

    def has_end_behind_data(self) -> bool:
        """Return whether the kernel has the peer's end, behind data that is not read yet."""
        if self.sock is None:
            return False
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        try:
            return bool(poll.poll(0))
        except OSError:  # not on this platform: the end shows once the data is read
            return False

    def abort(self) -> None:
        """Close at once. Data in the transport's buffer is not written."""
        if self.transport is not None:
            self.transport.abort()

    def opened(self) -> None:
        """Handle the opening of the connection; for subclasses."""

    def received(self, data: bytes) -> None:
        """Handle received bytes; for subclasses."""
        raise NotImplementedError

    def open_failed(self) -> None:
        """Handle a socket that got no transport and is closed; for subclasses."""


class PoolConnections(Protocol):
    """The connections of one pool to its workers."""

    connections: set[Any]

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest. Returns whether there was one."""


class Sockets:
    """The limits on connections, and the tasks that open transports.

    `descriptors` and `memory_mb` are the limits of the process.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, descriptors: int, memory_mb: float) -> None:
        self.loop = loop
        self.list_bytes = 0  # memory of the worker list
        # What the connections held when that was last counted, `Connection.message_bytes` at that time, and
        # the time until which they count as holding too much.
        self._held_bytes, self._counted_at_bytes, self._full_until = math.inf, 0, -math.inf
        self.set_limits(descriptors, memory_mb)
        self.opening_count = 0  # sockets without a transport yet
        self.pools: list[PoolConnections] = []
        self.client_connections: Collection[Connection] = ()
        # Each side has its own tasks: a flood of clients must not delay an attempt, discovery or a call.
        self._queues = {
            side: asyncio.Queue[tuple[socket.socket, Connection]]() for side in OPENER_TASKS_BY_SIDE
        }
        self._tasks = [
            loop.create_task(self._open_transports(self._queues[side]))
            for side, count in OPENER_TASKS_BY_SIDE.items()
            for _ in range(count)
        ]

    def set_limits(self, descriptors: int, memory_mb: float) -> None:
        """Divide descriptors and memory among the sides. Connections above a lowered limit stay open."""
        self.descriptors, self.memory_mb = descriptors, memory_mb
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        max_descriptors = descriptors if soft == resource.RLIM_INFINITY else min(descriptors, soft)
        # Callers of the management port: few, and a silent one is disconnected within a second or two.
        self.max_callers = max(4, min(16, max_descriptors // 32))
        available = max_descriptors - min(RESERVED_DESCRIPTORS, max_descriptors // 3) - self.max_callers
        clients, workers = available * CLIENT_SHARE, available * (1 - CLIENT_SHARE)
        unreserved_bytes = (memory_mb - BASE_MEMORY_MB) * 1e6
        self.max_list_bytes = max(MIN_LIST_BYTES, int(unreserved_bytes * LIST_SHARE))
        available_bytes = unreserved_bytes - self.list_bytes
        fitting_share = min(
            1.0,
            max(0.0, available_bytes)
            / (clients * _CLIENT_CONNECTION_BYTES + workers * _WORKER_CONNECTION_BYTES),
        )
        self.max_client_connections, self.max_worker_connections = (
            max(8, int(clients * fitting_share)),
            max(8, int(workers * fitting_share)),
        )
        # What the process, the list and the objects of the connections leave is for messages.
        object_bytes = self.max_client_connections * _CLIENT_OBJECT_BYTES
        object_bytes += self.max_worker_connections * _WORKER_OBJECT_BYTES
        self.max_message_bytes = max(
            MIN_MESSAGE_BYTES, int((available_bytes - object_bytes) / _BUFFER_OVERHEAD)
        )

    def has_room(self) -> bool:
        """Return whether the connections together hold no more of messages than they may.

        Counting takes a millisecond where there are a thousand connections. It is not needed while all bytes
        since the last count fit as well, and takes a tenth of the time while they hold too much.
        """
        new_bytes = Connection.message_bytes - self._counted_at_bytes
        if self._held_bytes + new_bytes <= self.max_message_bytes:
            return True
        began = self.loop.time()
        if began < self._full_until:
            return False
        connections = itertools.chain(self.client_connections, *(pool.connections for pool in self.pools))
        self._held_bytes = sum(connection.held_bytes for connection in connections)
        self._counted_at_bytes = Connection.message_bytes
        if self._held_bytes <= self.max_message_bytes:
            return True
        now = self.loop.time()
        self._full_until = now + COUNT_PAUSE_FACTOR * (now - began)
        return False

    def set_list_bytes(self, list_bytes: int) -> None:
        """Set the memory of the worker list, which is not available for connections."""
        if list_bytes != self.list_bytes:
            self.list_bytes = list_bytes
            self.set_limits(self.descriptors, self.memory_mb)

    def available_for(self, side: "PoolConnections") -> int:
        """Return how many connections a pool may still open.

        Half of an even share is reserved for each other pool, so that one pool cannot take all descriptors.
        """
        share = self.max_worker_connections // (2 * max(1, len(self.pools)))
        reserved = (max(share, len(other.connections)) for other in self.pools if other is not side)
        return self.max_worker_connections - sum(reserved) - len(side.connections)

    def open_transport(self, sock: socket.socket, connection: Connection, side: str = "workers") -> None:
        """Open a transport for a connected socket; the transport owns the descriptor from then on."""
        self.opening_count += 1
        connection.sock = sock
        # Each message is one write. Without TCP_NODELAY the kernel holds it back until the previous one is
        # acknowledged, and a close over unread bytes, which is a reset, would lose it. asyncio sets the
        # option only on sockets that were created with the protocol number.
        with contextlib.suppress(OSError):  # already closed, which the transport will report
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._queues[side].put_nowait((sock, connection))

    async def _open_transports(self, queue: asyncio.Queue[tuple[socket.socket, Connection]]) -> None:
        while True:
            sock, connection = await queue.get()
            try:
                await self.loop.create_connection(lambda c=connection: c, sock=sock)  # type: ignore[misc]
            except Exception as error:  # out of memory or descriptors: fails one connection, not the task
                log.warning("socket.no-transport", error=str(error))
                sock.close()
                connection.open_failed()
            finally:
                self.opening_count -= 1
                del sock, connection  # while this task waits, it must not keep them, with what they hold

    def close(self) -> None:
        """Stop the tasks and close the sockets that wait for a transport."""
        for task in self._tasks:
            task.cancel()
        for queue in self._queues.values():
            while not queue.empty():
                queue.get_nowait()[0].close()
