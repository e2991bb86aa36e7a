"""What the process and the kernel hold, as Linux reports it.

Resident memory comes from /proc, with the pages of mapped files. What the kernel holds for a socket comes
from the socket itself (`SO_MEMINFO`, the figures that `ss -tm` shows). Where the system does not tell, the
functions return zero, and the bounds on the buffers of the sockets still hold.
"""

import contextlib
import gc
import os
import resource
import socket
import struct
from collections.abc import Callable
from typing import NamedTuple

SENT_IDS_DIRECTORY, USAGE_DIRECTORY = "wickgw-sent-ids", "wickgw-usage"  # in $TMPDIR
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_SO_MEMINFO = 55  # asm-generic/socket.h; not in the socket module
# Received, receive buffer, in the device's queue, send buffer, reserved, queued to send, options, backlog and
# drops.
_MEMORY_INFO = struct.Struct("=9I")
# tcp_info of a listening socket: the connections that wait to be accepted, and the bound on them.
_LISTENER_INFO = struct.Struct("=24xII")


class KernelUse(NamedTuple):
    """Bytes that the kernel holds for a socket."""

    received: int  # and not read, with what is reserved for the socket
    unsent: int  # written, and not acknowledged by the peer


NO_USE = KernelUse(0, 0)


class ListenQueue(NamedTuple):
    """Connections that nobody has accepted."""

    waiting: int
    backlog: int  # that may wait


def read_kernel_use(sock: socket.socket) -> KernelUse:
    """Return what the kernel holds for a connected socket; nothing if it doesn't tell."""
    try:
        info = sock.getsockopt(socket.SOL_SOCKET, _SO_MEMINFO, _MEMORY_INFO.size)
        received, _, _, _, reserved, unsent, options, backlog, _ = _MEMORY_INFO.unpack(info)
    except (OSError, MemoryError, struct.error):
        return NO_USE
    return KernelUse(received + reserved + options + backlog, unsent)


def read_listen_queue(listener: socket.socket) -> ListenQueue:
    """Return the queue of a listening socket; an empty one if the system doesn't tell."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LISTENER_INFO.size)
        return ListenQueue(*_LISTENER_INFO.unpack(info))
    except (OSError, MemoryError, struct.error):
        return ListenQueue(0, 0)


def read_temporary_bytes() -> int:
    """Return the size of the files that the processes of an upgrade share in $TMPDIR."""
    total, folder = 0, os.environ.get("TMPDIR")
    for directory in (SENT_IDS_DIRECTORY, USAGE_DIRECTORY) if folder else ():
        with contextlib.suppress(OSError):  # not there, or a file is removed meanwhile
            total += sum(entry.stat().st_size for entry in os.scandir(os.path.join(folder or "", directory)))
    return total


class ProcessMemory:
    """The resident memory of this process. Holds one descriptor until `close`."""

    def __init__(self) -> None:
        """Open the report. Raises OSError if the system has none."""
        self._descriptor = os.open("/proc/self/statm", os.O_RDONLY | os.O_CLOEXEC)
        self._resident_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
        import ctypes  # not before the process listens, which needs this module too

        try:
            self._trim: Callable[[int], int] | None = ctypes.CDLL(None).malloc_trim
        except (AttributeError, OSError):  # another C library
            self._trim = None

    def resident_bytes(self) -> int:
        """Return the resident memory, with shared memory and mapped files; as last read if that fails."""
        with contextlib.suppress(OSError, MemoryError):
            self._resident_bytes = int(os.pread(self._descriptor, 128, 0).split()[1]) * _PAGE_BYTES
        return self._resident_bytes

    def release(self) -> None:
        """Give freed memory back to the system; the allocator keeps what lies below memory in use.

        Closed transports refer to themselves, and are freed by the garbage collection only.
        """
        gc.collect()
        if self._trim is not None:
            self._trim(0)

    def close(self) -> None:
        """Close the report."""
        os.close(self._descriptor)
