"""How the memory of a process is divided between what the process keeps and what the kernel keeps for it.

No I/O and no clock: figures go in, a plan comes out. All sizes are in bytes.
"""

from dataclasses import dataclass

from wickgw.net.listen import MIN_BUFFER_BYTES

BASE_MEMORY_MB = 36  # of the process without connections, until it is measured
MARGIN_SHARE = 1 / 16  # of the limit, for what grows between two measurements without being counted
KERNEL_SHARE = 0.5  # of the room, for what the kernel receives before the process reads it
MAX_BUFFER_BYTES = 128 * 1024  # the system's default for receiving
MIN_CONNECTIONS = 8  # on each side, however little memory there is


@dataclass(frozen=True, slots=True)
class ConnectionCosts:
    """What each connection of a side may keep at any time, by side."""

    client: int
    worker: int


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """The bounds that keep a process below its limit."""

    max_clients: int
    max_workers: int
    buffer_bytes: int  # of each socket in the kernel, in each direction
    kernel_bytes: int  # of all sockets, if each of them receives as much as it may


def plan_memory(
    room: int, max_clients: int, max_workers: int, backlog: int, costs: ConnectionCosts
) -> MemoryPlan:
    """Divide the room that the process itself leaves.

    Args:
        room: What the limit leaves beside the process without connections.
        max_clients: Connections of clients that the descriptors allow.
        max_workers: Connections of workers that the descriptors allow.
        backlog: Connections that may wait to be accepted.
        costs: What each connection may keep in the process.
    """
    process_room = max(0.0, room * (1 - KERNEL_SHARE))
    wanted = max_clients * costs.client + max_workers * costs.worker
    share = min(1.0, process_room / max(1, wanted))
    clients = max(MIN_CONNECTIONS, int(max_clients * share))
    workers = max(MIN_CONNECTIONS, int(max_workers * share))
    sockets = clients + workers + backlog
    buffer_bytes = int(max(0.0, room * KERNEL_SHARE) / sockets)
    buffer_bytes = max(MIN_BUFFER_BYTES, min(MAX_BUFFER_BYTES, buffer_bytes))
    return MemoryPlan(clients, workers, buffer_bytes, sockets * buffer_bytes)


def first_buffer_bytes(memory_mb: float, descriptors: int, backlog: int, is_shared: bool) -> int:
    """Return the bound on the kernel's buffers for connections that come before the process is measured.

    Args:
        memory_mb: The platform's limit.
        descriptors: The platform's limit; each may become a connection.
        backlog: Connections that may wait to be accepted.
        is_shared: Whether a second process may start for an upgrade.
    """
    limit = memory_mb * 1e6 * (1 - MARGIN_SHARE) / (2 if is_shared else 1)
    room = int(limit - BASE_MEMORY_MB * 1e6)
    return plan_memory(room, descriptors, 0, backlog, ConnectionCosts(0, 0)).buffer_bytes


@dataclass(frozen=True, slots=True)
class MemoryUse:
    """What is held at one moment."""

    resident: int = 0  # of this process, with mapped files
    received: int = 0  # by the kernel, for connections and for those that nobody has accepted
    unsent: int = 0  # by the kernel
    temporary: int = 0  # files that count as memory

    def room(self, limit: int, plan: MemoryPlan) -> int:
        """Return what may still be added, though the kernel receives all that it may.

        Below 0, it is what is too much. `limit` is without the margin.
        """
        received = max(self.received, plan.kernel_bytes)
        return limit - self.resident - received - self.unsent - self.temporary
