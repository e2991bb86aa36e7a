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
import struct
from collections.abc import Collection, Iterable
from typing import TYPE_CHECKING, Any, ClassVar, Protocol, cast

from wickgw.net.listen import set_buffers, set_receive_buffer
from wickgw.net.memory_budget import BUFFER_OVERHEAD, MemoryBudget
from wickgw.net.memory_plan import BASE_MEMORY_MB as BASE_MEMORY_MB
from wickgw.net.memory_plan import MAX_BUFFER_BYTES, MIN_CONNECTIONS, ConnectionCosts
from wickgw.net.memory_relief import MemoryRelief
from wickgw.net.memory_use import read_kernel_use, read_listen_queue
from wickgw.observe import get_logger

if TYPE_CHECKING:
    from wickgw.net.shared_usage import SharedUsage

log = get_logger("wickgw")
RESERVED_DESCRIPTORS = 24  # for the listener, discovery, the event loop, logs and imports
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER: on, for 0 s
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
MIN_MESSAGE_BYTES = 1_000_000  # that all connections together may hold, however little memory there is
COUNT_PAUSE_FACTOR = 10  # pause after a count of what all connections hold, in times that it took
UNCOUNTED_MESSAGE_BYTES = 8 * 1024  # that each connection may hold even if all together hold too much
# What each connection may hold at any time, where memory is measured.
_MEASURED_COSTS = ConnectionCosts(
    _CLIENT_OBJECT_BYTES + UNCOUNTED_MESSAGE_BYTES, _WORKER_OBJECT_BYTES + UNCOUNTED_MESSAGE_BYTES
)


class Connection(asyncio.BufferedProtocol):
    """Base class of connections. The transport is released in `connection_lost`."""

    transport: asyncio.Transport | None = None
    sock: socket.socket | None = None  # the transport's descriptor, for a look at unread data
    discarding = False  # received data is dropped without a copy
    message_bytes: ClassVar[int] = 0  # ever received or written on all connections of the process
    relief: ClassVar[MemoryRelief | None] = None  # for the moment in which there is no more memory

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
        try:
            self.take_input(bytes(_READ_BUFFER[:nbytes]))
        except MemoryError:  # what was received is lost with its connection, and others give way too
            self.abort()
            if Connection.relief is not None:
                Connection.relief.relieve()
        except Exception:
            log.exception("connection.failed")
            self.abort()

    def take_input(self, data: bytes) -> None:
        """Count received bytes and handle them. All input comes this way, however it was read."""
        Connection.message_bytes += len(data)
        self.received(data)

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

    @property
    def unwritten_bytes(self) -> int:
        """Bytes that have not left this process."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def undelivered_bytes(self) -> int:
        """Bytes that the peer has not taken, here and in the kernel.

        A close leaves the kernel's part behind until the peer takes it, and no process accounts for it.
        """
        return self.unwritten_bytes + (read_kernel_use(self.sock).unsent if self.sock is not None else 0)

    def abort(self) -> None:
        """Close at once. Data in the transport's buffer is not written."""
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close at once; what is written and not delivered is dropped, in the kernel too."""
        if self.sock is not None:
            with contextlib.suppress(OSError, MemoryError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.abort()

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

    `descriptors` and `memory_mb` are the limits of the process. Without a `budget`, which measures what is
    held, the memory is divided by an assumed size of the process. With `shared_usage`, the descriptors are
    divided with the other process of an upgrade.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: int,
        memory_mb: float,
        budget: MemoryBudget | None = None,
        shared_usage: "SharedUsage | None" = None,
    ) -> None:
        self.loop, self.budget, self.shared_usage = loop, budget, shared_usage
        self.descriptors_elsewhere = shared_usage.read_others() if shared_usage is not None else None
        self.pools: list[PoolConnections] = []
        self.client_connections: Collection[Connection] = ()
        self.listeners: list[socket.socket] = []  # of clients
        if budget is not None:
            budget.connections, budget.listeners = self._all_connections, self.listeners
        self.list_bytes = 0  # memory of the worker list
        # What the connections held when that was last counted, `Connection.message_bytes` at that time, and
        # the time until which they count as holding too much.
        self._held_bytes, self._counted_at_bytes, self._full_until = math.inf, 0, -math.inf
        self.set_limits(descriptors, memory_mb)
        self.opening_count = 0  # sockets without a transport yet
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
        self.descriptors: int = descriptors
        self.memory_mb: float = memory_mb
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        max_descriptors = descriptors if soft == resource.RLIM_INFINITY else min(descriptors, soft)
        max_descriptors -= self._descriptors_elsewhere(max_descriptors)
        # Callers of the management port: few, and a silent one is disconnected within a second or two.
        self.max_callers: int = max(4, min(16, max_descriptors // 32))
        available = max_descriptors - min(RESERVED_DESCRIPTORS, max_descriptors // 3) - self.max_callers
        self.max_connections: int = available
        self.max_client_connections: int
        self.max_worker_connections: int
        clients, workers = available * CLIENT_SHARE, available * (1 - CLIENT_SHARE)
        if self.budget is not None:
            self._plan_by_measurement(self.budget, int(clients), int(workers))
        else:
            self._plan_by_assumption(clients, workers)

    def _descriptors_elsewhere(self, descriptors: int) -> int:
        """Return how many descriptors the other process of an upgrade holds, or will take at its start."""
        if self.shared_usage is None:
            return 0
        least = RESERVED_DESCRIPTORS + 4 * MIN_CONNECTIONS
        elsewhere = least if self.descriptors_elsewhere is None else self.descriptors_elsewhere
        return max(0, min(descriptors - least, elsewhere))

    def exchange_usage(self, is_stopping: bool) -> None:
        """Tell the other process of an upgrade what this one holds, and divide the descriptors with it."""
        if self.shared_usage is None:
            return
        self.shared_usage.publish(self.claimed_descriptors(is_stopping))
        elsewhere = self.shared_usage.read_others()
        if elsewhere != self.descriptors_elsewhere and not is_stopping:
            self.descriptors_elsewhere = elsewhere
            self.set_limits(self.descriptors, self.memory_mb)
            log.info(
                "usage.divided",
                elsewhere=elsewhere,
                clients=self.max_client_connections,
                workers=self.max_worker_connections,
            )

    def claimed_descriptors(self, is_stopping: bool) -> int:
        """Return how many descriptors this process holds or may open; a stopping one opens few more."""
        workers = sum(len(pool.connections) for pool in self.pools)
        if is_stopping:
            self.max_worker_connections = min(self.max_worker_connections, workers + MIN_CONNECTIONS)
            clients = len(self.client_connections)
        else:
            clients = max(len(self.client_connections), self.max_client_connections)
        workers = max(workers, self.max_worker_connections)
        return clients + workers + RESERVED_DESCRIPTORS + self.max_callers

    def max_draining_connections(self) -> int:
        """Return how many clients may be connected while the listener closes and no worker needs more."""
        workers = sum(len(pool.connections) for pool in self.pools)
        return max(self.max_client_connections, self.max_connections - workers - MIN_CONNECTIONS)

    def close_surplus_workers(self) -> None:
        """Close idle connections to workers beyond a lowered limit."""
        for pool in self.pools:
            while sum(len(each.connections) for each in self.pools) > self.max_worker_connections:
                if not pool.close_oldest_idle():
                    break

    def _plan_by_measurement(self, budget: MemoryBudget, clients: int, workers: int) -> None:
        """Divide what the process, as it is now, leaves of the memory."""
        buffer_bytes = budget.plan.buffer_bytes
        backlog = sum(read_listen_queue(listener).backlog for listener in self.listeners)
        limit = int(self.memory_mb * 1e6)
        plan = budget.make_plan(limit, clients, workers, backlog, _MEASURED_COSTS, self._object_bytes())
        self.max_client_connections, self.max_worker_connections = plan.max_clients, plan.max_workers
        self.max_list_bytes = max(MIN_LIST_BYTES, int(budget.list_room(self.list_bytes) * LIST_SHARE))
        budget.measure(Connection.message_bytes)
        self.max_message_bytes = max(MIN_MESSAGE_BYTES, budget.room)
        for listener in self.listeners:
            set_buffers(listener, plan.buffer_bytes)
        if plan.buffer_bytes < buffer_bytes:
            budget.lower_buffers(buffer_bytes)
            for connection in self._all_connections():
                if connection.sock is not None:
                    set_receive_buffer(connection.sock, plan.buffer_bytes)

    def _object_bytes(self) -> int:
        """Return what the objects of all connections take, without what they hold."""
        workers = sum(len(pool.connections) for pool in self.pools)
        return len(self.client_connections) * _CLIENT_OBJECT_BYTES + workers * _WORKER_OBJECT_BYTES

    def raise_limits(self) -> None:
        """Divide the memory again where that allows more connections than the last division did."""
        if self.budget is not None and self.budget.allows_more(self._object_bytes()):
            self.set_limits(self.descriptors, self.memory_mb)
            self.budget.log_plan()

    def add_listener(self, listener: socket.socket) -> None:
        """Plan for the connections that wait at a listening socket of clients."""
        self.listeners.append(listener)
        if self.budget is None:
            set_buffers(listener, MAX_BUFFER_BYTES)
        else:
            self.set_limits(self.descriptors, self.memory_mb)

    def remove_listener(self, listener: socket.socket) -> None:
        """Forget a listening socket that closes."""
        with contextlib.suppress(ValueError):
            self.listeners.remove(listener)

    def bound_buffers(self, sock: socket.socket) -> None:
        """Bound what the kernel may hold for a socket that no listener's bounds apply to."""
        set_buffers(sock, MAX_BUFFER_BYTES if self.budget is None else self.budget.plan.buffer_bytes)

    def _all_connections(self) -> Iterable[Connection]:
        return itertools.chain(self.client_connections, *(pool.connections for pool in self.pools))

    def _plan_by_assumption(self, clients: float, workers: float) -> None:
        unreserved_bytes = (self.memory_mb - BASE_MEMORY_MB) * 1e6
        self.max_list_bytes = max(MIN_LIST_BYTES, int(unreserved_bytes * LIST_SHARE))
        available_bytes = unreserved_bytes - self.list_bytes
        fitting_share = min(
            1.0,
            max(0.0, available_bytes)
            / (clients * _CLIENT_CONNECTION_BYTES + workers * _WORKER_CONNECTION_BYTES),
        )
        self.max_client_connections, self.max_worker_connections = (
            max(MIN_CONNECTIONS, int(clients * fitting_share)),
            max(MIN_CONNECTIONS, int(workers * fitting_share)),
        )
        # What the process, the list and the objects of the connections leave is for messages.
        object_bytes = self.max_client_connections * _CLIENT_OBJECT_BYTES
        object_bytes += self.max_worker_connections * _WORKER_OBJECT_BYTES
        self.max_message_bytes = max(
            MIN_MESSAGE_BYTES, int((available_bytes - object_bytes) / BUFFER_OVERHEAD)
        )

    def has_room(self, coming_bytes: int = 0) -> bool:
        """Return whether the connections together hold no more of messages than they may.

        `coming_bytes` are about to be kept too; they count where memory is measured.

        Counting takes a millisecond where there are a thousand connections. It is not needed while all bytes
        since the last count fit as well, and takes a tenth of the time while they hold too much.
        """
        if self.budget is not None:
            return self.budget.has_room(Connection.message_bytes, coming_bytes)
        new_bytes = Connection.message_bytes - self._counted_at_bytes
        if self._held_bytes + new_bytes <= self.max_message_bytes:
            return True
        began = self.loop.time()
        if began < self._full_until:
            return False
        self._held_bytes = sum(connection.held_bytes for connection in self._all_connections())
        self._counted_at_bytes = Connection.message_bytes
        if self._held_bytes <= self.max_message_bytes:
            return True
        now = self.loop.time()
        self._full_until = now + COUNT_PAUSE_FACTOR * (now - began)
        return False

    def set_list_bytes(self, list_bytes: int) -> None:
        """Set the memory of the worker list, which is not available for connections."""
        if list_bytes != self.list_bytes:
            growth, self.list_bytes = list_bytes - self.list_bytes, list_bytes
            if self.budget is not None:
                self.budget.coming_bytes = max(0, growth)
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
        connection.sock = sock
        if side == "clients" and self.budget is not None:
            self.budget.count_accepted()
        # Each message is one write. Without TCP_NODELAY the kernel holds it back until the previous one is
        # acknowledged, and a close over unread bytes, which is a reset, would lose it. asyncio sets the
        # option only on sockets that were created with the protocol number.
        with contextlib.suppress(OSError, MemoryError):  # already closed, which the transport will report
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._queues[side].put_nowait((sock, connection))
        self.opening_count += 1

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
        if self.shared_usage is not None:
            self.shared_usage.close()
