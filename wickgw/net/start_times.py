"""When workers last started, on the monotonic clock.

Discovery tells a start as Unix time, which is placed on the monotonic clock by the wall clock as it was when
the process began. That may have been wrong by an hour. A start that is first told while the list is watched
came after the answer before, whatever Unix time says: only those of the first list rest on the wall clock.
"""

import dataclasses
from collections import OrderedDict
from typing import NamedTuple

from wickgw import interface as i
from wickgw.net.worker_list import Target

MOST_GONE = 4096  # workers that left the list and are remembered: back without a new start, one is not cold


class _Start(NamedTuple):
    """A start of a worker, in monotonic seconds."""

    told: float | None  # by Unix time; it also tells starts apart
    since: float | None  # as it counts


class StartTimes:
    """The last start of each listed worker, and of some that left."""

    def __init__(self) -> None:
        self._listed: dict[str, _Start] = {}
        self._gone: OrderedDict[str, _Start] = OrderedDict()

    def date(
        self, kind: i.ListKind, targets: list[Target], now: float, last_answer: float | None
    ) -> list[Target]:
        """The targets with the starts that count. `last_answer` is when discovery told its list before this
        answer; None if this is its first."""
        before = self._listed
        if kind is not i.ListKind.UPDATE:
            self._listed = {}
        dated = [self._date(target, before, now, last_answer) for target in targets]
        if kind is not i.ListKind.UPDATE:
            for worker in before.keys() - self._listed.keys():
                self._leave(worker, before[worker])
        return dated

    def _date(
        self, target: Target, before: dict[str, _Start], now: float, last_answer: float | None
    ) -> Target:
        entry = target.entry
        start = before.get(entry.worker) or self._gone.get(entry.worker)
        if start is None or start.told != entry.since:
            start = _Start(entry.since, _counts_from(entry.since, now, last_answer))
        if entry.health is i.Health.GONE:
            self._listed.pop(entry.worker, None)
            self._leave(entry.worker, start)
        else:
            self._listed[entry.worker] = start
            self._gone.pop(entry.worker, None)
        if start.since == entry.since:
            return target
        return target._replace(entry=dataclasses.replace(entry, since=start.since))

    def _leave(self, worker: str, start: _Start) -> None:
        self._gone[worker] = start
        self._gone.move_to_end(worker)
        if len(self._gone) > MOST_GONE:
            self._gone.popitem(last=False)


def _counts_from(told: float | None, now: float, last_answer: float | None) -> float | None:
    """The moment that a start which was not known before counts from."""
    if told is None:  # long ago
        return None
    if told > now:
        return now
    if last_answer is not None and told < last_answer:  # it would have been told then
        return now
    return told
