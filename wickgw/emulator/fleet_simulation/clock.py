"""Virtual time: runs callbacks in the order of their times."""

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], None]


class VirtualClock:
    """Runs callbacks at virtual times, in seconds; those of the same time in the order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callback]] = []
        self._serial = itertools.count()

    def after(self, seconds: float, callback: Callback) -> None:
        """Schedule a callback after `seconds`; a negative delay counts as zero."""
        self.at(self.now + max(0.0, seconds), callback)

    def at(self, time: float, callback: Callback) -> None:
        """Schedule a callback at `time`; a time in the past counts as now."""
        heapq.heappush(self._due, (max(time, self.now), next(self._serial), callback))

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due up to `end`, and set the clock to `end`."""
        while self._due and self._due[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
        self.now = end
