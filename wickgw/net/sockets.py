"""Descriptors and transports: what client connections, worker connections and discovery have in common.

Owns the count of descriptors each side may hold, the buffer that all reads go through, and the few tasks
that turn connected sockets into asyncio transports (asyncio offers that only as a coroutine; tasks that live
as long as the process mean that no connection and no request starts one). It must never read a message or
know what is in it.
"""

import asyncio
import contextlib
import resource
import socket
from typing import Any, Protocol, cast

from wickgw.observe import logger

log = logger("wickgw")
RESERVE = 24  # descriptors for the listener, discovery, the loop itself, logs and imports
BASE_MB = 36  # what the process holds without a connection, 28 as measured, and some
LISTED_WORKER_BYTES = 2000  # what a worker of the list costs: 1.7 KB measured from 200 to 3,200 workers
OPENERS = 4  # tasks for each side: opening one takes some turns of the loop, and others wait behind it
# Clients, workers and discovery, and operators' calls: a flood on one side must not delay another.
SIDES = {"clients": OPENERS, "workers": OPENERS, "mgmt": 1}
FOR_CLIENTS = 0.6  # of the other descriptors: usual clients hold a third of all, the rest is room for others
# A read is finished before the loop turns to the next one, so all connections can share one buffer.
_SCRATCH = memoryview(bytearray(32 * 1024))
# What a connection costs, as budgeted: its objects (about 3 KB for a client connection, measured) and a
# share of the buffers that it holds at their bounds (a head, a body and an answer of a client, 144 KB; a
# request on its way out and a response's line, 148 KB, for a worker; the buffer that all reads go through is
# shared). Most connections hold nothing between messages, and no more than one in six holds its bounds at
# once. Budgeting every one at its bounds left 9 worker connections of 40 MB, so that requests waited 1.8 s
# for a first attempt.
_CLIENT = 3 * 1024 + (16 * 1024 + 64 * 1024 + 64 * 1024) // 6
_WORKER = 6 * 1024 + (80 * 1024 + 68 * 1024) // 6


class Connection(asyncio.BufferedProtocol):
    """A connection as an object with callbacks; the transport it holds is given back in `connection_lost`."""

    transport: asyncio.Transport | None = None
    sock: socket.socket | None = (
        None  # the same descriptor, to look at what is unread; the transport closes it
    )
    discarding = False  # what comes is thrown away where it lies

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self.transport = cast(asyncio.Transport, transport)
        self.opened()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the loop puts what it reads."""
        return _SCRATCH

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes are in. An error here that nobody foresaw ends this connection and nothing else."""
        if self.discarding:
            return
        try:
            self.received(bytes(_SCRATCH[:nbytes]))
        except Exception:
            log.exception("connection.failed")
            self.abort()

    def _next(self) -> bytes | None:
        """What lies unread in the kernel: a first byte, None for nothing, or b"" for the other side's end."""
        if self.sock is None or self.transport is None or self.transport.is_closing():
            return b""
        try:
            return self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def quiet(self) -> bool:
        """It is open, and nothing lies unread in the kernel: neither bytes nor the other side's end."""
        return self._next() is None

    def gone(self) -> bool:
        """The other side has ended, and nothing that it sent lies unread before that."""
        return self._next() == b""

    def abort(self) -> None:
        """End it now: what is still in the transport's buffer is never written."""
        if self.transport is not None:
            self.transport.abort()

    def opened(self) -> None:
        """For the subclass: the connection can be written to."""

    def received(self, data: bytes) -> None:
        """For the subclass: bytes came."""
        raise NotImplementedError

    def never_opened(self) -> None:
        """For the subclass: no transport could be had for its socket, which is closed."""


class PoolConnections(Protocol):
    """One pool's connections to workers."""

    connections: set[Any]

    def close_one_idle(self) -> bool:
        """Close the one that idled longest; whether there was one."""


class Sockets:
    """How many connections there may be, and the tasks that open transports."""

    def __init__(self, loop: asyncio.AbstractEventLoop, descriptors: int, memory_mb: float) -> None:
        self.loop = loop
        self.listed = 0  # workers in the list
        self.limit(descriptors, memory_mb)
        self.opening = 0  # sockets that have no transport yet
        self.sides: list[PoolConnections] = []  # one for each pool
        # A flood of clients must not delay an attempt, discovery or a call: each side has tasks of its own.
        self._connected = {side: asyncio.Queue[tuple[socket.socket, Connection]]() for side in SIDES}
        self._tasks = [
            loop.create_task(self._open(self._connected[side])) for side, n in SIDES.items() for _ in range(n)
        ]

    def limit(self, descriptors: int, memory_mb: float) -> None:
        """Share out what the process may hold. Connections beyond a lower limit are not closed for it."""
        self.descriptors, self.memory_mb = descriptors, memory_mb
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        most = descriptors if soft == resource.RLIM_INFINITY else min(descriptors, soft)
        # Operators' callers: few, and those that say nothing are let go within a second or two.
        self.for_calls = max(4, min(16, most // 32))
        free = most - min(RESERVE, most // 3) - self.for_calls
        clients, workers = free * FOR_CLIENTS, free * (1 - FOR_CLIENTS)
        left = (memory_mb - BASE_MB) * 1e6 - self.listed * LISTED_WORKER_BYTES
        fit = min(1.0, max(0.0, left) / (clients * _CLIENT + workers * _WORKER))
        self.for_clients, self.for_workers = max(8, int(clients * fit)), max(8, int(workers * fit))

    def list_has(self, workers: int) -> None:
        """So many workers are listed: their memory is not there for connections."""
        if workers != self.listed:
            self.listed = workers
            self.limit(self.descriptors, self.memory_mb)

    def left_for_workers(self, side: "PoolConnections") -> int:
        """Connections that a pool may still open. Half of an even share is kept for each of the others, so
        that one pool's trouble does not take the descriptors of all."""
        share = self.for_workers // (2 * max(1, len(self.sides)))
        kept = (max(share, len(o.connections)) for o in self.sides if o is not side)
        return self.for_workers - sum(kept) - len(side.connections)

    def adopt(self, sock: socket.socket, connection: Connection, side: str = "workers") -> None:
        """Give a connected socket to its connection; the transport owns the descriptor from then on."""
        self.opening += 1
        connection.sock = sock
        # Each message is one write. The system would keep one back while the one before it is not
        # acknowledged, and a close over unread bytes, which is a reset, takes it along. asyncio sets this
        # only on sockets that were made with the protocol's number.
        with contextlib.suppress(OSError):  # it has ended already, which its transport will say
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connected[side].put_nowait((sock, connection))

    async def _open(self, queue: asyncio.Queue[tuple[socket.socket, Connection]]) -> None:
        while True:
            sock, connection = await queue.get()
            try:
                await self.loop.create_connection(lambda c=connection: c, sock=sock)  # type: ignore[misc]
            except Exception as error:  # out of memory or descriptors: one connection, not the task
                log.warning("socket.no-transport", error=str(error))
                sock.close()
                connection.never_opened()
            finally:
                self.opening -= 1

    def close(self) -> None:
        """End the tasks and whatever they have not opened yet."""
        for task in self._tasks:
            task.cancel()
        for queue in self._connected.values():
            while not queue.empty():
                queue.get_nowait()[0].close()
