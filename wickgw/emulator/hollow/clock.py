"""Virtual time: callbacks in the order of their times."""

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], None]


class VirtualClock:
    """Runs callbacks at their virtual times; ties in the order in which they were set."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callback]] = []
        self._serial = itertools.count()

    def after(self, seconds: float, callback: Callback) -> None:
        """Call back after so many seconds."""
        self.at(self.now + max(0.0, seconds), callback)

    def at(self, time: float, callback: Callback) -> None:
        """Call back at a time, which is not before now."""
        heapq.heappush(self._due, (max(time, self.now), next(self._serial), callback))

    def run_until(self, end: float) -> None:
        """Run all that is due up to a time."""
        while self._due and self._due[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
        self.now = end
