"""Addresses and listening sockets.

This module imports neither asyncio nor anything else that is slow to load, since a process listens before the
rest of the program is loaded. The caller closes the sockets.
"""

import contextlib
import errno
import socket
import time
from collections.abc import Callable
from typing import TypeVar

START_RETRY_S, START_RETRY_PAUSE_S = 1.0, 0.05
# An earlier process that is still ending holds the address, and a lack of resources is over when others end.
PASSING_ERRORS = (errno.EADDRINUSE, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE, errno.ENFILE)
MIN_BUFFER_BYTES = 4 * 1024  # less, and the kernel's own overhead leaves nothing for data
LACKS = (OSError, MemoryError)  # raised by calls that the process can do without
Result = TypeVar("Result")


def open_listening_socket(
    address: tuple[str, int],
    backlog: int,
    shared_port: bool = False,
    buffer_bytes: int = MIN_BUFFER_BYTES,
) -> socket.socket:
    """Open a non-blocking listening socket on `address`.

    The kernel holds no more than `buffer_bytes` for a connection until `set_buffers` allows them more.
    `shared_port` lets another process listen on the same address. Raises OSError, with no socket left open.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        set_buffers(sock, buffer_bytes)
        sock.bind(address)
        sock.listen(backlog)
    except LACKS:
        sock.close()
        raise
    return sock


def open_at_start(
    address: tuple[str, int], backlog: int, buffer_bytes: int = MIN_BUFFER_BYTES
) -> socket.socket:
    """Open a listening socket before there is an event loop, and try again for a while where that may help.

    `buffer_bytes` is what the kernel may hold for a connection in each direction. Raises OSError or
    MemoryError.
    """
    return retry_at_start(lambda: open_listening_socket(address, backlog, buffer_bytes=buffer_bytes))


def retry_at_start(create: Callable[[], Result]) -> Result:
    """Return what `create` does; while it fails for a lack that may pass, try again for a while.

    Blocks the process, so it is for the time before the event loop runs. Raises what `create` raises.
    """
    retry_until = time.monotonic() + START_RETRY_S
    while True:
        try:
            return create()
        except LACKS as error:
            may_pass = isinstance(error, MemoryError) or error.errno in PASSING_ERRORS
            if not may_pass or time.monotonic() >= retry_until:
                raise
        time.sleep(START_RETRY_PAUSE_S)


def parse_address(text: str) -> tuple[str, int]:
    """Convert text such as '10.0.0.1:7070' to a socket address. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    try:
        socket.inet_aton(host)
    except OSError:
        raise ValueError(f"not an address: {text!r}") from None
    if not colon or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def set_buffers(sock: socket.socket, buffer_bytes: int) -> None:
    """Bound what the kernel may hold for a socket, in each direction.

    The connections that a listening socket accepts inherit the bounds. The system counts its own overhead,
    for which it doubles the figure that it is given.
    """
    set_receive_buffer(sock, buffer_bytes)
    with contextlib.suppress(*LACKS):  # or closed: the connection itself will show it
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes // 2)


def set_receive_buffer(sock: socket.socket, buffer_bytes: int) -> None:
    """Bound what the kernel may hold of what has come in on a socket and is not read."""
    with contextlib.suppress(*LACKS):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes // 2)
