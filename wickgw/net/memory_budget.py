"""One budget for what outsiders make the process, and the kernel for it, hold.

It starts from what is held now, not from an assumed size of the process. Between two measurements the
bytes that come in and go out are counted, and what the kernel may receive before it is read is set aside as a
whole, since nobody tells of it. The division is in `memory_plan`, the readings are in `memory_use`.
"""

import math
import socket
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from wickgw.net.memory_plan import MARGIN_SHARE, ConnectionCosts, MemoryPlan, MemoryUse, plan_memory
from wickgw.net.memory_use import ProcessMemory, read_kernel_use, read_listen_queue, read_temporary_bytes
from wickgw.observe import get_logger

log = get_logger("wickgw")
BUFFER_OVERHEAD = 1.25  # size of a buffer, by the bytes in it
ENOUGH_SHARE = 1 / 64  # of the limit, that has to be free again before a shortage counts as over
MEASURE_PAUSE_FACTOR = 10  # pause after a measurement, in times that it took


class Holder(Protocol):
    """A connection, and what it holds in the process."""

    sock: socket.socket | None

    @property
    def held_bytes(self) -> int:
        """Bytes of messages."""


class MemoryBudget:
    """The memory limit of a process, what is held of it, and what may be added.

    Args:
        process: The memory of this process.
        clock: Returns seconds.
        is_shared: Whether a second process may start for an upgrade. Both count, and neither can give back
            memory in the moment in which the other needs it, so each keeps to a half at all times.
    """

    def __init__(self, process: ProcessMemory, clock: Callable[[], float], is_shared: bool = False) -> None:
        self.process, self.clock, self.is_shared = process, clock, is_shared
        self.connections: Callable[[], Iterable[Holder]] = tuple
        self.listeners: list[socket.socket] = []
        self.limit = 0  # of this process, without the margin
        self.plan = MemoryPlan(0, 0, 0, 0)
        self.use = MemoryUse()
        self.room = 0  # that may be added
        self.is_short = False  # more is held than may be
        self.coming_bytes = 0  # of a list of workers that is about to be taken over
        # Connections that nobody has accepted since the buffers were lowered, and the bound from before.
        self.older_waiting, self.older_buffer_bytes = 0, 0
        # Of all that is held, by this process, where the system once gave no more; until the next reload.
        self.max_limit = math.inf
        self._own_base = 0  # of this process without connections
        self._is_capped = False  # more connections were asked for than the memory allows
        self._message_bytes = 0  # of the process, at the last measurement
        self._full_until = 0.0

    def make_plan(
        self,
        limit: int,
        max_clients: int,
        max_workers: int,
        backlog: int,
        costs: ConnectionCosts,
        object_bytes: int = 0,
    ) -> MemoryPlan:
        """Divide a limit among the sides, from what the process takes without its connections.

        `object_bytes` is what the objects of the connections take, without what they hold.
        """
        self.limit = int(min(limit / (2 if self.is_shared else 1), self.max_limit) * (1 - MARGIN_SHARE))
        self._own_base = self._measure_base(object_bytes) + self.coming_bytes
        self.coming_bytes = 0
        self.plan = plan_memory(self.limit - self._own_base, max_clients, max_workers, backlog, costs)
        self._is_capped = self.plan.max_clients < max_clients or self.plan.max_workers < max_workers
        return self.plan

    def _measure_base(self, object_bytes: int) -> int:
        held = int(sum(holder.held_bytes for holder in self.connections()) * BUFFER_OVERHEAD) + object_bytes
        return max(0, self.process.resident_bytes() - held)

    def allows_more(self, object_bytes: int) -> bool:
        """Return whether a new plan would allow more connections, since the process has become smaller.

        A plan that is made while much is held takes memory that is about to be freed for the process's own.
        """
        if not self._is_capped or self.is_short:
            return False
        return self._own_base - self._measure_base(object_bytes) > self.limit * ENOUGH_SHARE

    def lower_buffers(self, earlier_bytes: int) -> None:
        """Note that connections which wait to be accepted came under an earlier, larger bound."""
        self.older_buffer_bytes = max(earlier_bytes, self.older_buffer_bytes if self.older_waiting else 0)
        self.older_waiting = sum(read_listen_queue(listener).waiting for listener in self.listeners)

    def count_accepted(self) -> None:
        """Note that a connection was accepted; the oldest in the queue is the first."""
        self.older_waiting = max(0, self.older_waiting - 1)

    def lower_limit(self) -> None:
        """Take what is held now for the limit of the next plans, since the system gave no more."""
        self.max_limit = min(self.max_limit, self.process.resident_bytes())

    def log_plan(self) -> None:
        """Log how the memory is divided."""
        log.info(
            "memory.planned",
            limit_mb=round(self.limit / 1e6, 1),
            process_mb=round(self._own_base / 1e6, 1),
            clients=self.plan.max_clients,
            workers=self.plan.max_workers,
            buffer_bytes=self.plan.buffer_bytes,
        )

    def list_room(self, list_bytes: int) -> int:
        """Return what is left for a list and connections by a process that holds a list of `list_bytes`."""
        return max(0, self.limit - self._own_base + list_bytes)

    def has_room(self, message_bytes: int, coming_bytes: int) -> bool:
        """Return whether more may be held.

        A measurement takes a millisecond where there are a thousand connections. It is not needed while all
        that has come since the last one fits as well, and takes a tenth of the time while nothing does.

        Args:
            message_bytes: Bytes that the process has ever received and written.
            coming_bytes: Bytes that are about to be kept beside them.
        """
        new_bytes = message_bytes - self._message_bytes + coming_bytes
        if new_bytes * BUFFER_OVERHEAD <= self.room:
            return True
        if self.clock() < self._full_until:
            return False
        return self.measure(message_bytes) > coming_bytes * BUFFER_OVERHEAD

    def has_changed(self, message_bytes: int) -> bool:
        """Return whether a measurement could find anything else than the last one did."""
        return self.is_short or message_bytes != self._message_bytes

    def measure(self, message_bytes: int) -> int:
        """Read what is held now, and return how much may be added; below 0: what is too much."""
        began = self.clock()
        received, unsent = self._read_kernel()
        temporary = read_temporary_bytes() if self.is_shared else 0
        self.use = MemoryUse(self.process.resident_bytes(), received, unsent, temporary)
        if self.use.room(self.limit, self.plan) <= 0:
            self.process.release()
            self.use = MemoryUse(self.process.resident_bytes(), received, unsent, temporary)
        room = self.use.room(self.limit, self.plan)
        self.room, self._message_bytes = room, message_bytes
        now = self.clock()
        self._full_until = now + MEASURE_PAUSE_FACTOR * (now - began)
        self._note_shortage(room)
        return room

    def _read_kernel(self) -> tuple[int, int]:
        received = unsent = 0
        for holder in self.connections():
            if holder.sock is not None:
                use = read_kernel_use(holder.sock)
                received, unsent = received + use.received, unsent + use.unsent
        waiting = sum(read_listen_queue(listener).waiting for listener in self.listeners)
        older = min(self.older_waiting, waiting)
        received += older * self.older_buffer_bytes + (waiting - older) * self.plan.buffer_bytes
        return received, unsent

    def _note_shortage(self, room: int) -> None:
        if room >= 0 and (not self.is_short or room < self.limit * ENOUGH_SHARE):
            return
        if (room < 0) is self.is_short:
            return
        self.is_short = room < 0
        write = log.warning if self.is_short else log.info
        write(
            "memory.short" if self.is_short else "memory.enough",
            room_mb=round(room / 1e6, 1),
            **self.report(),
        )

    def report(self) -> dict[str, float]:
        """Return what was held at the last measurement, in megabytes."""
        return {
            "resident_mb": round(self.use.resident / 1e6, 1),
            "kernel_received_mb": round(self.use.received / 1e6, 1),
            "kernel_unsent_mb": round(self.use.unsent / 1e6, 1),
            "temporary_mb": round(self.use.temporary / 1e6, 1),
        }

    def close(self) -> None:
        """Release the descriptor."""
        self.process.close()


def create_memory_budget(is_shared: bool) -> MemoryBudget | None:
    """Return the budget of this process; None where the system does not tell what a process holds.

    `is_shared` says whether another process may accept from the same listening socket.
    """
    try:
        process = ProcessMemory()
    except OSError as error:
        log.warning("memory.not-measured", error=str(error))
        return None
    return MemoryBudget(process, time.monotonic, is_shared)
