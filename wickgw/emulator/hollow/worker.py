"""A modelled worker: slots and a queue, a cold start, a fall under too much work, silence and death."""

import enum
import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wickgw.emulator.hollow.clock import VirtualClock
from wickgw.emulator.hollow.plan import FleetPlan

if TYPE_CHECKING:
    from wickgw.emulator.hollow.dispatcher import Attempt

TOLD_SHARE = 2 / 3  # of the requests before a fall, beyond which the fall is the dispatchers' doing


class WorkerState(enum.Enum):
    """What a worker does with requests."""

    UP = "up"
    SILENT = "silent"  # takes nothing and says nothing
    DOWN = "down"  # refuses connections


@dataclass(slots=True, eq=False)
class Arrival:
    """A request that has come to a cold worker."""

    at: float
    told: bool  # its dispatcher had been told that the worker started


class ModelWorker:
    """One worker; `generation` counts its starts, so that nothing of an earlier life goes on."""

    def __init__(self, name: str, zone: int, plan: FleetPlan, clock: VirtualClock) -> None:
        self.name, self.zone, self.plan, self.clock = name, zone, plan, clock
        self.state = WorkerState.UP
        self.since: float | None = None  # None: started long ago
        self.generation = 0
        self.running: set[Attempt] = set()
        self.queue: deque[Attempt] = deque()
        self.received = 0
        self.cold_received = 0  # of them while it was cold
        self.ran: dict[str, int] = {}  # how often each job began
        self.falls_by_told = 0
        self.falls = 0
        self._recent: deque[Arrival] = deque()

    def share(self) -> float:
        """The part of its full capacity that it has now."""
        if self.since is None:
            return 1.0
        age = (self.clock.now - self.since) / self.plan.warm_after_s
        return min(1.0, self.plan.cold_from + (1 - self.plan.cold_from) * age)

    def cold_budget(self) -> float:
        """Requests of mean work that the rule has allowed it since its last start, while it was cold."""
        if self.since is None:
            return 0.0
        plan = self.plan
        whole = plan.warm_after_s
        age = min(whole, self.clock.now - self.since)
        shares = plan.cold_from * age + (1 - plan.cold_from) * age * age / (2 * whole)
        return plan.overload_factor * plan.slots / plan.mean_work_s * shares

    def take(self, attempt: "Attempt", told: bool) -> None:
        """A request's last byte has come."""
        self.received += 1
        if self.share() < 1:
            self.cold_received += 1
            if self._falls(told):
                self.stop(WorkerState.DOWN)
                return
        self.queue.append(attempt)
        self._begin()

    def _falls(self, told: bool) -> bool:
        """Whether this request is one too many for a cold worker."""
        plan, now = self.plan, self.clock.now
        self._recent.append(Arrival(now, told))
        while self._recent[0].at <= now - plan.fall_window_s:
            self._recent.popleft()
        capacity = plan.slots / plan.mean_work_s * self.share()
        allowed = plan.overload_factor * capacity * plan.fall_window_s
        if len(self._recent) <= allowed + 2 * math.sqrt(allowed) + 2:
            return False
        self.falls += 1
        if sum(arrival.told for arrival in self._recent) > TOLD_SHARE * len(self._recent):
            self.falls_by_told += 1
        return True

    def _begin(self) -> None:
        while self.queue and len(self.running) < self.plan.slots:
            attempt = self.queue.popleft()
            self.running.add(attempt)
            self.ran[attempt.job.name] = self.ran.get(attempt.job.name, 0) + 1
            attempt.report_started()
            seconds, generation = attempt.job.work_s / self.share(), self.generation
            self.clock.after(seconds, lambda a=attempt, g=generation: self._end(a, g))  # type: ignore[misc]

    def _end(self, attempt: "Attempt", generation: int) -> None:
        if generation != self.generation or self.state is not WorkerState.UP:
            return
        self.running.discard(attempt)
        attempt.report_done()
        self._begin()

    def stop(self, state: WorkerState) -> None:
        """It dies or falls silent; what it had is lost, and said to be so by a worker that dies."""
        self.state = state
        self.generation += 1
        lost = [*self.running, *self.queue]
        self.running.clear()
        self.queue.clear()
        if state is WorkerState.DOWN:
            for attempt in lost:
                attempt.report_reset()

    def start(self) -> None:
        """It is up again, and cold."""
        self.generation += 1
        self.state, self.since = WorkerState.UP, self.clock.now
        self._recent.clear()
