"""One dispatcher's subset of the workers, kept up to date with the list and with what attempts tell.

A worker is in the subset for one of two reasons:

| reason | begins | ends |
| --- | --- | --- |
| member | its rank gives this dispatcher a seat at it | it leaves the list |
| substitute | members that can serve fall short of its share of the fleet | enough can again |

Members that drain, are gone, are cold or fail attempt after attempt count for nothing, or for the share that
they can carry. Substitutes are taken in the order of this dispatcher's rank at them, warm ones first, so that
many dispatchers which lose the same members spread over the rest of the fleet.
"""

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic

from wickgw import interface as i
from wickgw.subsetting.events import (
    AttemptEnded,
    FleetListed,
    SetTimer,
    ShowWorkers,
    SubsetAction,
    SubsetEvent,
    TimerFired,
    WorkerT,
)
from wickgw.subsetting.ranking import Dispatcher, Ranking
from wickgw.subsetting.sizing import SubsetSize

# Of a dispatcher's share of the fleet: with less than this its subset is filled up to the whole share.
REFILL_BELOW = 0.8
MAX_GROWTH = 4.0  # times its share of the fleet that a subset holds at most
# Attempts in a row without one served, from which a worker counts for nothing. One of hundreds of dispatchers
# meets a worker once in many seconds: with more, a lost zone would be learned only when its list is.
MAX_FAILURES = 2
# A zone in which those that this dispatcher has can carry less than this is taken for lost: its workers come
# last as substitutes.
HEALTHY_ZONE = 0.5
RECHECK_S = 1.0  # between looks at members that warm up, and at substitutes that may go
READ_AT_ONCE = 256  # workers of a long list that are taken in one call: about two milliseconds
SHOW_AT_ONCE = 64  # changes shown in one call: the decision module needs up to two milliseconds for them
NEXT_STEP_S = 0.0  # until the next call that takes or shows more of it


@dataclass(slots=True, eq=False)
class KnownWorker(Generic[WorkerT]):
    """One worker of the whole list."""

    listed: WorkerT
    distance: float  # `Rank.distance`: its place among the substitutes
    failures: int = 0  # attempts in a row without one served


class WorkerSubset(Generic[WorkerT]):
    """Feed it events in order with their time; carry out the actions it returns."""

    def __init__(
        self, dispatchers: tuple[Dispatcher, ...], own: str, size: SubsetSize, settings: i.Settings
    ) -> None:
        self.ranking = Ranking(dispatchers, own, size)
        self.dispatchers, self.size, self.settings = len(dispatchers), size, settings
        self.known: dict[str, KnownWorker[WorkerT]] = {}
        self.members: dict[str, KnownWorker[WorkerT]] = {}
        # In the order in which they were taken.
        self.substitutes: dict[str, KnownWorker[WorkerT]] = {}
        self._ready: set[str] = set()  # of the known workers
        self._shown: dict[str, WorkerT] = {}
        self._unread: list[WorkerT] = []  # of the list
        self._reading_in_steps = False  # a long list is being taken; the subset is as it was before
        self._unshown = False  # more has changed than one call shows
        self._timer_set = False

    def handle(self, event: SubsetEvent[WorkerT], now: float) -> list[SubsetAction[WorkerT]]:
        """Take one event at its time; return what to do about it."""
        match event:
            case FleetListed():
                self._listed(event)
            case AttemptEnded():
                if not self._attempt_ended(event) or not self.settled:
                    return []
            case TimerFired():
                self._timer_set = False
                return self._go_on(now)
        return [SetTimer(NEXT_STEP_S)] if self._reading_in_steps else self._go_on(now)

    @property
    def settled(self) -> bool:
        """Whether all of the list is read, and all that follows from it is shown."""
        return not self._reading_in_steps and not self._unshown

    def _go_on(self, now: float) -> list[SubsetAction[WorkerT]]:
        """One step: read a part of the list, or fill the subset and show what has changed. A short list is
        read and shown in one step."""
        if self._unread:
            self._read_some()
            if self._reading_in_steps:
                return [SetTimer(NEXT_STEP_S)]
        self._reading_in_steps = False
        self._fill(now)
        return self._show() + self._timer(now)

    # What is known.

    def _listed(self, event: FleetListed[WorkerT]) -> None:
        if event.kind in (i.ListKind.REPLACE, i.ListKind.RESTORED):
            listed = {worker.entry.worker for worker in event.workers}
            for name in [name for name in self.known if name not in listed]:
                self._forget(name)
            self._unread.clear()
        self._unread += event.workers
        if len(self._unread) > READ_AT_ONCE:
            self._reading_in_steps = True

    def _read_some(self) -> None:
        """Take the next workers of the list; those that are new are ranked together."""
        part, self._unread = self._unread[:READ_AT_ONCE], self._unread[READ_AT_ONCE:]
        batch = {worker.entry.worker: worker for worker in part}.values()  # the last entry of a name counts
        new = {worker.entry.worker: worker for worker in batch if self._is_new(worker)}
        ranks = self.ranking.rank([(name, worker.zone) for name, worker in new.items()])
        for (name, worker), rank in zip(new.items(), ranks, strict=True):
            self._forget(name)
            known = self.known[name] = KnownWorker(worker, rank.distance)
            if rank.member:
                self.members[name] = known
        for worker in batch:
            if worker.entry.health is i.Health.GONE:
                self._forget(worker.entry.worker)
            else:
                self._learn(worker)

    def _is_new(self, worker: WorkerT) -> bool:
        known = self.known.get(worker.entry.worker)
        return known is None or known.listed.zone != worker.zone

    def _learn(self, worker: WorkerT) -> None:
        name = worker.entry.worker
        known = self.known[name]
        if worker.entry.health is i.Health.READY:
            self._ready.add(name)
        else:
            self._ready.discard(name)
        if known.listed.entry.since != worker.entry.since:  # it started anew
            known.failures = 0
        known.listed = worker

    def _forget(self, name: str) -> None:
        self.known.pop(name, None)
        self._ready.discard(name)
        self.members.pop(name, None)
        self.substitutes.pop(name, None)

    def _attempt_ended(self, event: AttemptEnded) -> bool:
        """Count failures in a row; whether the worker counts for more or less than before."""
        worker = self.known.get(event.worker)
        if worker is None:
            return False
        before = worker.failures
        worker.failures = 0 if event.served else before + 1
        return (before >= MAX_FAILURES) != (worker.failures >= MAX_FAILURES)

    # Who is in the subset.

    def capacity(self, worker: KnownWorker[WorkerT], now: float) -> float:
        """The share of a warm worker's work that one can carry now."""
        entry = worker.listed.entry
        if entry.health is not i.Health.READY or worker.failures >= MAX_FAILURES:
            return 0.0
        if entry.since is None or self.settings.warm_after <= 0:
            return 1.0
        age = max(0.0, now - entry.since) / self.settings.warm_after
        return min(1.0, self.settings.cold_from + (1 - self.settings.cold_from) * age)

    def share(self) -> int:
        """Workers that are this dispatcher's part of the fleet, on the average."""
        return math.ceil(self.size.memberships * len(self._ready) / self.dispatchers)

    def _capacity_of(self, workers: Iterable[KnownWorker[WorkerT]], now: float) -> float:
        return sum(self.capacity(worker, now) for worker in workers)

    def _fill(self, now: float) -> None:
        """Take substitutes while members fall short, and let those go that are not needed any more."""
        share = self.share()
        held = self._capacity_of(self.members.values(), now)
        held += self._capacity_of(self.substitutes.values(), now)
        for name in reversed(list(self.substitutes)):
            spared = self.capacity(self.substitutes[name], now)
            if held - spared < share:
                break
            held -= spared
            del self.substitutes[name]
        if held < REFILL_BELOW * share:
            self._take_substitutes(share, held, now)

    def _take_substitutes(self, share: int, held: float, now: float) -> None:
        room = math.ceil(MAX_GROWTH * share) - len(self.members) - len(self.substitutes)
        for name in self._candidates(room, now):
            if held >= share:
                return
            worker = self.substitutes[name] = self.known[name]
            held += self.capacity(worker, now)

    def _candidates(self, most: int, now: float) -> list[str]:
        """Workers outside the subset that can serve: warm ones in healthy zones first, then by rank."""
        health = self._health_of_zones(now)
        lost = {zone for zone, mean in health.items() if mean < HEALTHY_ZONE}
        found = []
        for name in self._ready - self.members.keys() - self.substitutes.keys():
            worker = self.known[name]
            if worker.failures < MAX_FAILURES:
                last = worker.listed.zone in lost or self.capacity(worker, now) < 1
                found.append((last, worker.distance, name))
        return [name for _, _, name in heapq.nsmallest(most, found)]

    def _health_of_zones(self, now: float) -> dict[str, float]:
        """Of each zone, the mean of what those in the subset can carry."""
        capacities: dict[str, list[float]] = {}
        for worker in (*self.members.values(), *self.substitutes.values()):
            capacities.setdefault(worker.listed.zone, []).append(self.capacity(worker, now))
        return {zone: sum(found) / len(found) for zone, found in capacities.items()}

    # What is shown, and when to look again.

    def _show(self) -> list[SubsetAction[WorkerT]]:
        """Show the next differences between the subset and what is shown, bad news first."""
        current = {name: worker.listed for name, worker in (self.members | self.substitutes).items()}
        gone = [name for name in self._shown if name not in current]
        changed = [worker for name, worker in current.items() if self._shown.get(name) != worker]
        changed.sort(key=lambda worker: worker.entry.health is i.Health.READY)
        room = max(0, SHOW_AT_ONCE - len(gone))
        self._unshown = len(changed) > room
        for name in gone:
            del self._shown[name]
        for worker in changed[:room]:
            self._shown[worker.entry.worker] = worker
        return [ShowWorkers(tuple(changed[:room]), tuple(gone))] if gone or changed else []

    def _timer(self, now: float) -> list[SubsetAction[WorkerT]]:
        if self._unshown:
            return [SetTimer(NEXT_STEP_S)]
        cold = any(0 < self.capacity(worker, now) < 1 for worker in self.members.values())
        if self._timer_set or not (cold or self.substitutes):
            return []
        self._timer_set = True
        return [SetTimer(RECHECK_S)]
