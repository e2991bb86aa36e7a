"""One socket kept in reserve, so that its owner can reconnect when the process has no descriptor left.

Clients and workers may take every descriptor of the process between the loss of a connection and the next
attempt to open it. The reserve is refilled as soon as a descriptor comes back.
"""

import contextlib
import socket


def open_socket() -> socket.socket:
    """A new TCP socket that does not block. Raises OSError where no descriptor is left."""
    return socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)


class SpareSocket:
    """Holds one unconnected socket whenever a descriptor could be had for it."""

    def __init__(self) -> None:
        self._spare: socket.socket | None = None
        self.refill()

    def take(self) -> socket.socket:
        """A socket to connect, which is the caller's from now on. Raises OSError."""
        spare, self._spare = self._spare, None
        if spare is None:
            spare = open_socket()
        self.refill()
        return spare

    def refill(self) -> None:
        """Take a descriptor into reserve, if none is held and one is left."""
        if self._spare is None:
            with contextlib.suppress(OSError):
                self._spare = open_socket()

    def close(self) -> None:
        """Give the descriptor back."""
        if self._spare is not None:
            self._spare.close()
            self._spare = None
