"""Start times of workers on the monotonic clock.

Discovery reports a start as Unix time. It is converted by the offset between wall clock and monotonic clock
at the start of this process, which may be wrong by an hour. A start that is first reported while the list is
watched happened shortly before that. If its Unix time says otherwise, the start counts from the time of the
report. Only the starts in the first list depend on the wall clock alone.
"""

import sys
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

REPORT_DELAY_S = 6.0  # within which discovery reports a start to its watchers, by the platform's rules
MAX_DEPARTED_WORKERS = 4096  # remembered after they left: one that returns without a restart is not cold
MAX_DEPARTED_BYTES = 1_600_000  # of these, with their names
DEPARTED_WORKER_BYTES = 300  # of one, without its name


class Start(NamedTuple):
    """A start of a worker, in monotonic seconds. None means long ago."""

    reported_at: float | None  # converted from Unix time; identifies the start
    counted_from: float | None  # when the start counts as having happened


class StartTimes:
    """The last start of each listed worker, and of some that left the list."""

    def __init__(self) -> None:
        self.last_answer_at: float | None = None  # when discovery last sent the list; None: not yet
        self._listed: dict[str, Start] = {}
        self._departed: OrderedDict[str, Start] = OrderedDict()
        self._departed_bytes = 0

    def __contains__(self, worker: str) -> bool:
        """Return whether a worker is listed."""
        return worker in self._listed

    def __len__(self) -> int:
        """Return the number of listed workers."""
        return len(self._listed)

    def start_of(self, worker: str, reported_at: float | None, now: float) -> Start:
        """Return the start of a worker in an answer that arrived at `now`. Only `accept` stores it."""
        start = self._listed.get(worker) or self._departed.get(worker)
        if start is None or start.reported_at != reported_at:
            start = Start(reported_at, self._counted_from(reported_at, now))
        return start

    def _counted_from(self, reported_at: float | None, now: float) -> float | None:
        if reported_at is None:
            return None
        if reported_at > now:
            return now
        # The last answer would have reported this start.
        if self.last_answer_at is not None and reported_at < self.last_answer_at - REPORT_DELAY_S:
            return now
        return reported_at

    def accept(self, whole: bool, starts: dict[str, Start], departed: Iterable[str]) -> None:
        """Store the starts of an accepted list, whole or changes only, and those of the departed workers."""
        previous = self._listed
        if whole:
            self._listed = starts
            for worker in previous.keys() - starts.keys():
                self._remember_departed(worker, previous[worker])
        else:
            previous.update(starts)
        for worker in departed:
            if (start := self._listed.pop(worker, None)) is not None:
                self._remember_departed(worker, start)

    def list_answered(self, now: float) -> None:
        """Record that discovery has sent the current list."""
        self.last_answer_at = now

    def _remember_departed(self, worker: str, start: Start) -> None:
        """Remember a worker, and forget those that left first while there are too many or too large ones."""
        self._forget_departed(worker)
        self._departed[worker] = start
        self._departed_bytes += _departed_bytes(worker)
        while len(self._departed) > MAX_DEPARTED_WORKERS or self._departed_bytes > MAX_DEPARTED_BYTES:
            self._forget_departed(next(iter(self._departed)))

    def _forget_departed(self, worker: str) -> None:
        if self._departed.pop(worker, None) is not None:
            self._departed_bytes -= _departed_bytes(worker)


def _departed_bytes(worker: str) -> int:
    """Return the memory that a departed worker takes."""
    return DEPARTED_WORKER_BYTES + sys.getsizeof(worker)
