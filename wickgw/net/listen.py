"""Addresses and listening sockets, with nothing around them: a process listens before all else is loaded.

Owns nothing: whoever asks for a socket closes it. It must never import asyncio, or what takes long to load.
"""

import socket


def listening(where: tuple[str, int], backlog: int, shared_port: bool = False) -> socket.socket:
    """A listening socket that doesn't block, bound where it is told; `shared_port` lets another process
    bind the same address beside it. Raises OSError, with nothing left open."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(where)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def address(text: str) -> tuple[str, int]:
    """'10.0.0.1:7070' as a socket address. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    try:
        socket.inet_aton(host)
    except OSError:
        raise ValueError(f"not an address: {text!r}") from None
    if not colon or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)
