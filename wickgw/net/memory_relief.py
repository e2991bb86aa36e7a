"""Address space kept back for the moment in which the system gives no more memory.

The event loop needs memory to go on, and whatever frees memory is one of its callbacks. This module imports
nothing that is slow to load, since it is there before the loop.
"""

import contextlib
import mmap
from collections.abc import Callable

RESERVE_BYTES = 4 << 20  # a few of the interpreter's arenas; none of it is resident


class MemoryRelief:
    """A reserve, and what is done to need it no longer.

    `handler` closes what may be closed. It is set once there is something to close.
    """

    def __init__(self) -> None:
        self.handler: Callable[[], None] | None = None
        self._reserve: mmap.mmap | None = None
        self._refill()

    def _refill(self) -> None:
        with contextlib.suppress(OSError, MemoryError):
            self._reserve = mmap.mmap(-1, RESERVE_BYTES, mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)

    def relieve(self) -> None:
        """Release the reserve, run the handler with it, and keep as much back again if that is given."""
        if self._reserve is not None:
            self._reserve.close()
            self._reserve = None
        if self.handler is not None:
            with contextlib.suppress(MemoryError):  # then the next failure goes on with it
                self.handler()
        self._refill()
