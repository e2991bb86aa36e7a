"""Addresses and listening sockets.

This module imports neither asyncio nor anything else that is slow to load, since a process listens before the
rest of the program is loaded. The caller closes the sockets.
"""

import socket


def open_listening_socket(address: tuple[str, int], backlog: int, shared_port: bool = False) -> socket.socket:
    """Open a non-blocking listening socket on `address`.

    `shared_port` lets another process listen on the same address. Raises OSError, with no socket left open.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


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
