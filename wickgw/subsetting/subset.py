"""Maintains one dispatcher's subset of the workers from the list of workers and the results of attempts.

A worker is in the subset for one of two reasons:

| reason | from | until |
| --- | --- | --- |
| member | this dispatcher's rank gives it one of the worker's places | the worker leaves the list |
| substitute | the capacity of the subset falls short of the fair share | the other workers suffice again |

A member that drains, is gone or fails attempt after attempt has no capacity. A cold member has only part of
its capacity. Substitutes are added in the order of this dispatcher's rank for them, warm workers first.
Dispatchers that lose the same members therefore spread over the rest of the fleet.
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
    SubsetAction,
    SubsetEvent,
    TimerFired,
    UpdateSubset,
    WorkerT,
)
from wickgw.subsetting.ranking import Dispatcher, Ranking
from wickgw.subsetting.sizing import SubsetSize

# A fraction of the fair share. With less capacity than this, the subset is refilled to the whole share.
REFILL_THRESHOLD = 0.8
MAX_SHARE_MULTIPLE = 4.0  # the largest size of a subset, as a multiple of the fair share
# A worker has no capacity after this many attempts in a row that were not served. One of hundreds of
# dispatchers uses a given worker only once in many seconds. With a higher limit, a dispatcher would notice
# a lost zone only when the list of workers changes.
MAX_CONSECUTIVE_FAILURES = 2
# A zone counts as lost if the mean capacity of its workers in the subset is below this fraction. The
# workers of a lost zone are the last choice for substitutes.
MIN_HEALTHY_ZONE_CAPACITY = 0.5
RECHECK_INTERVAL_S = 1.0  # between checks of cold members, and of substitutes that may be dropped
LIST_BATCH_WORKERS = 256  # workers of a long list processed in one call, which takes about 2 ms
UPDATE_BATCH_WORKERS = 64  # changes returned by one call; the decision module needs up to 2 ms for them
NEXT_STEP_DELAY_S = 0.0  # until the next call that processes or returns the rest


@dataclass(slots=True, eq=False)
class KnownWorker(Generic[WorkerT]):
    """One worker of the whole list."""

    listed: WorkerT  # its current entry in the list
    distance: float  # `Rank.distance`, the sort key for substitutes
    failures: int = 0  # consecutive attempts that were not served


class WorkerSubset(Generic[WorkerT]):
    """The subset of one dispatcher.

    Pass events to `handle` in order of time, and carry out the actions that `handle` returns.
    """

    def __init__(
        self, dispatchers: tuple[Dispatcher, ...], own: str, size: SubsetSize, settings: i.Settings
    ) -> None:
        """Create an empty subset for the dispatcher named `own`, one of `dispatchers`.

        Raises ValueError for a name that occurs twice, and UnknownDispatcherError if `own` is missing.
        """
        self.ranking = Ranking(dispatchers, own, size)
        self.dispatcher_count, self.size, self.settings = len(dispatchers), size, settings
        self.known: dict[str, KnownWorker[WorkerT]] = {}
        self.members: dict[str, KnownWorker[WorkerT]] = {}
        self.substitutes: dict[str, KnownWorker[WorkerT]] = {}  # in the order in which they were added
        self._ready: set[str] = set()  # names of the known workers that are ready
        self._published: dict[str, WorkerT] = {}  # the workers of the subset, as last returned to the caller
        self._pending: list[WorkerT] = []  # workers of the list that are not processed yet
        self._batching_list = False  # a long list is being processed; the subset is unchanged until the end
        self._publish_pending = False  # there are more changes than one call returns
        self._timer_set = False

    def handle(self, event: SubsetEvent[WorkerT], now: float) -> list[SubsetAction[WorkerT]]:
        """Process `event` at time `now`, in seconds, and return the resulting actions."""
        match event:
            case FleetListed():
                self._receive_list(event)
            case AttemptEnded():
                if not self._record_attempt(event) or not self.settled:
                    return []
            case TimerFired():
                self._timer_set = False
                return self._run_step(now)
        return [SetTimer(NEXT_STEP_DELAY_S)] if self._batching_list else self._run_step(now)

    @property
    def settled(self) -> bool:
        """Whether the whole list is processed and all resulting changes are returned."""
        return not self._batching_list and not self._publish_pending

    def _run_step(self, now: float) -> list[SubsetAction[WorkerT]]:
        """Run one step: process a batch of the list, or adjust the subset and return the changes.

        A short list is processed completely, and its changes are returned, in one step.
        """
        if self._pending:
            self._process_list_batch()
            if self._batching_list:
                return [SetTimer(NEXT_STEP_DELAY_S)]
        self._batching_list = False
        self._adjust_substitutes(now)
        return self._publish() + self._next_timer(now)

    # The list of workers.

    def _receive_list(self, event: FleetListed[WorkerT]) -> None:
        """Queue the workers of a list; a list that replaces the old one removes missing workers at once."""
        if event.kind in (i.ListKind.REPLACE, i.ListKind.RESTORED):
            listed = {worker.entry.worker for worker in event.workers}
            for name in [name for name in self.known if name not in listed]:
                self._remove_worker(name)
            self._pending.clear()
        self._pending += event.workers
        if len(self._pending) > LIST_BATCH_WORKERS:
            self._batching_list = True

    def _process_list_batch(self) -> None:
        """Process the next workers of the list. New workers are ranked together."""
        chunk, self._pending = (
            self._pending[:LIST_BATCH_WORKERS],
            self._pending[LIST_BATCH_WORKERS:],
        )
        batch = {worker.entry.worker: worker for worker in chunk}.values()  # the last entry of a name wins
        new = {worker.entry.worker: worker for worker in batch if self._needs_ranking(worker)}
        ranks = self.ranking.rank([(name, worker.zone) for name, worker in new.items()])
        for (name, worker), rank in zip(new.items(), ranks, strict=True):
            self._remove_worker(name)
            known = self.known[name] = KnownWorker(worker, rank.distance)
            if rank.member:
                self.members[name] = known
        for worker in batch:
            if worker.entry.health is i.Health.GONE:
                self._remove_worker(worker.entry.worker)
            else:
                self._update_worker(worker)

    def _needs_ranking(self, worker: WorkerT) -> bool:
        """Return whether `worker` is new or has moved to another zone."""
        known = self.known.get(worker.entry.worker)
        return known is None or known.listed.zone != worker.zone

    def _update_worker(self, worker: WorkerT) -> None:
        """Store the new list entry of a known worker."""
        name = worker.entry.worker
        known = self.known[name]
        if worker.entry.health is i.Health.READY:
            self._ready.add(name)
        else:
            self._ready.discard(name)
        if known.listed.entry.since != worker.entry.since:  # the worker restarted
            known.failures = 0
        known.listed = worker

    def _remove_worker(self, name: str) -> None:
        self.known.pop(name, None)
        self._ready.discard(name)
        self.members.pop(name, None)
        self.substitutes.pop(name, None)

    def _record_attempt(self, event: AttemptEnded) -> bool:
        """Count consecutive failures. Return whether the worker crossed the limit on failures."""
        worker = self.known.get(event.worker)
        if worker is None:
            return False
        before = worker.failures
        worker.failures = 0 if event.served else before + 1
        return (before >= MAX_CONSECUTIVE_FAILURES) != (worker.failures >= MAX_CONSECUTIVE_FAILURES)

    # The workers in the subset.

    def capacity(self, worker: KnownWorker[WorkerT], now: float) -> float:
        """Return the capacity of `worker` at time `now`, as a fraction of a warm worker's capacity.

        The capacity is 0 for a worker that is not ready or that fails repeatedly. It grows linearly from the
        setting `initial_capacity` at the worker's start to 1 after `warmup_time` seconds. A worker whose
        start is unknown counts as warm.
        """
        entry = worker.listed.entry
        if entry.health is not i.Health.READY or worker.failures >= MAX_CONSECUTIVE_FAILURES:
            return 0.0
        if entry.since is None or self.settings.warmup_time <= 0:
            return 1.0
        age = max(0.0, now - entry.since) / self.settings.warmup_time
        return min(1.0, self.settings.initial_capacity + (1 - self.settings.initial_capacity) * age)

    def fair_share(self) -> int:
        """Return the mean number of ready workers in a subset, rounded up."""
        return math.ceil(self.size.dispatchers_per_worker * len(self._ready) / self.dispatcher_count)

    def _total_capacity(self, workers: Iterable[KnownWorker[WorkerT]], now: float) -> float:
        """Return the sum of the workers' capacities, in warm workers."""
        return sum(self.capacity(worker, now) for worker in workers)

    def _adjust_substitutes(self, now: float) -> None:
        """Add substitutes if the capacity is too low, and drop those that are no longer needed."""
        share = self.fair_share()
        total = self._total_capacity(self.members.values(), now)
        total += self._total_capacity(self.substitutes.values(), now)
        for name in reversed(list(self.substitutes)):
            excess = self.capacity(self.substitutes[name], now)
            if total - excess < share:
                break
            total -= excess
            del self.substitutes[name]
        if total < REFILL_THRESHOLD * share:
            self._add_substitutes(share, total, now)

    def _add_substitutes(self, share: int, total: float, now: float) -> None:
        """Add candidates until the capacity, now `total`, reaches `share` or the subset is at its maximum."""
        available = math.ceil(MAX_SHARE_MULTIPLE * share) - len(self.members) - len(self.substitutes)
        for name in self._candidates(available, now):
            if total >= share:
                return
            worker = self.substitutes[name] = self.known[name]
            total += self.capacity(worker, now)

    def _candidates(self, limit: int, now: float) -> list[str]:
        """Return the names of up to `limit` workers outside the subset that can serve.

        Warm workers in healthy zones come first, then the order is that of their ranks.
        """
        mean_capacity = self._mean_capacity_by_zone(now)
        lost_zones = {zone for zone, mean in mean_capacity.items() if mean < MIN_HEALTHY_ZONE_CAPACITY}
        found = []
        for name in self._ready - self.members.keys() - self.substitutes.keys():
            worker = self.known[name]
            if worker.failures < MAX_CONSECUTIVE_FAILURES:
                deferred = worker.listed.zone in lost_zones or self.capacity(worker, now) < 1
                found.append((deferred, worker.distance, name))
        return [name for _, _, name in heapq.nsmallest(limit, found)]

    def _mean_capacity_by_zone(self, now: float) -> dict[str, float]:
        """Return the mean capacity, for each zone, of its workers in the subset."""
        capacities: dict[str, list[float]] = {}
        for worker in (*self.members.values(), *self.substitutes.values()):
            capacities.setdefault(worker.listed.zone, []).append(self.capacity(worker, now))
        return {zone: sum(values) / len(values) for zone, values in capacities.items()}

    # The actions returned.

    def _publish(self) -> list[SubsetAction[WorkerT]]:
        """Return the next differences between the subset and the version last returned.

        Removed workers and workers that are not ready come first.
        """
        current = {name: worker.listed for name, worker in (self.members | self.substitutes).items()}
        removed = [name for name in self._published if name not in current]
        changed = [worker for name, worker in current.items() if self._published.get(name) != worker]
        changed.sort(key=lambda worker: worker.entry.health is i.Health.READY)
        limit = max(0, UPDATE_BATCH_WORKERS - len(removed))
        self._publish_pending = len(changed) > limit
        for name in removed:
            del self._published[name]
        for worker in changed[:limit]:
            self._published[worker.entry.worker] = worker
        return [UpdateSubset(tuple(changed[:limit]), tuple(removed))] if removed or changed else []

    def _next_timer(self, now: float) -> list[SubsetAction[WorkerT]]:
        """Return the timer for the next step, or for the next check of cold members and substitutes."""
        if self._publish_pending:
            return [SetTimer(NEXT_STEP_DELAY_S)]
        cold = any(0 < self.capacity(worker, now) < 1 for worker in self.members.values())
        if self._timer_set or not (cold or self.substitutes):
            return []
        self._timer_set = True
        return [SetTimer(RECHECK_INTERVAL_S)]
