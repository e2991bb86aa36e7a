"""One socket in reserve, so that its owner can reconnect when the process has no descriptor left.

Clients and workers may take every descriptor between the loss of a connection and the attempt to reopen it.
The reserve is refilled as soon as a descriptor is released.
"""

import contextlib
import socket


def open_socket() -> socket.socket:
    """Create a non-blocking TCP socket. Raises OSError if no descriptor is left."""
    return socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)


class SpareSocket:
    """Holds one unconnected socket whenever a descriptor is available for it."""

    def __init__(self) -> None:
        self._spare: socket.socket | None = None
        self.refill()

    def take(self) -> socket.socket:
        """Return a socket to connect, which the caller owns from then on. Raises OSError."""
        spare, self._spare = self._spare, None
        if spare is None:
            spare = open_socket()
        self.refill()
        return spare

    def refill(self) -> None:
        """Create the spare socket if there is none and a descriptor is left."""
        if self._spare is None:
            with contextlib.suppress(OSError):
                self._spare = open_socket()

    def close(self) -> None:
        """Close the spare socket."""
        if self._spare is not None:
            self._spare.close()
            self._spare = None
