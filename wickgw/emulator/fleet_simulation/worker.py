"""A simulated worker with slots, a queue, a cold start, failure by overload, silence and death."""

import enum
import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wickgw.emulator.fleet_simulation.clock import VirtualClock
from wickgw.emulator.fleet_simulation.plan import FleetPlan

if TYPE_CHECKING:
    from wickgw.emulator.fleet_simulation.dispatcher import Attempt

# An overload failure counts against the dispatchers if more than this share of the requests before it came
# from dispatchers that knew of the worker's start.
INFORMED_SHARE = 2 / 3


class WorkerState(enum.Enum):
    """How a worker treats requests."""

    UP = "up"
    SILENT = "silent"  # does not respond at all
    DOWN = "down"  # refuses connections


@dataclass(slots=True, eq=False)
class ColdArrival:
    """A request that arrived at a cold worker."""

    at: float
    informed: bool  # its dispatcher knew of the worker's start


class SimulatedWorker:
    """One worker; `generation` counts its starts and stops, so that jobs of an earlier generation end."""

    def __init__(self, name: str, zone: int, plan: FleetPlan, clock: VirtualClock) -> None:
        self.name, self.zone, self.plan, self.clock = name, zone, plan, clock
        self.state = WorkerState.UP
        self.started_at: float | None = None  # None: before the simulation, so the worker is warm
        self.generation = 0
        self.running: set[Attempt] = set()
        self.queue: deque[Attempt] = deque()
        self.received = 0
        self.cold_received = 0  # requests received while cold
        self.start_counts: dict[str, int] = {}  # how often each job was started, by its name
        self.informed_overloads = 0  # overload failures caused by dispatchers that knew of the start
        self.overloads = 0
        self.cold_peak = 0.0  # most requests received in the window while cold, over the tolerated number
        self.declined = 0  # requests turned away because the queue was full
        self._recent: deque[ColdArrival] = deque()

    def capacity_share(self) -> float:
        """Return the present share of the full capacity; it grows linearly until the worker is warm."""
        if self.started_at is None:
            return 1.0
        progress = (self.clock.now - self.started_at) / self.plan.warm_after_s
        return min(1.0, self.plan.cold_from + (1 - self.plan.cold_from) * progress)

    def cold_budget(self) -> float:
        """Return how many requests of mean work the worker was allowed while cold, since its last start.

        With age t, warm-up time T and initial share c, the allowance is the integral of the capacity times
        the overload factor: factor x slots / mean work x (c t + (1 - c) t^2 / 2T).
        """
        if self.started_at is None:
            return 0.0
        plan = self.plan
        warm_up_s = plan.warm_after_s
        age = min(warm_up_s, self.clock.now - self.started_at)
        share_seconds = plan.cold_from * age + (1 - plan.cold_from) * age * age / (2 * warm_up_s)
        return plan.overload_factor * plan.slots / plan.mean_work_s * share_seconds

    def receive(self, attempt: "Attempt", informed: bool) -> None:
        """Accept a request, turn it away if the queue is full, or fail if it overloads a cold worker.

        What is turned away counts as load too.

        Args:
            attempt: The attempt whose request has arrived.
            informed: Whether its dispatcher knew of the worker's start.
        """
        self.received += 1
        if self.capacity_share() < 1:
            self.cold_received += 1
            if self._is_overloaded(informed):
                self.stop(WorkerState.DOWN)
                return
        if self.plan.queue_limit is not None and len(self.queue) >= self.plan.queue_limit:
            self.declined += 1
            attempt.report_declined()
            return
        self.queue.append(attempt)
        self._start_jobs()

    def _is_overloaded(self, informed: bool) -> bool:
        """Count a request at a cold worker, and return whether it exceeds the allowance.

        With N requests allowed in the window by the ramp, N + 2 sqrt(N) + 2 are tolerated.
        """
        plan, now = self.plan, self.clock.now
        self._recent.append(ColdArrival(now, informed))
        while self._recent[0].at <= now - plan.overload_window_s:
            self._recent.popleft()
        capacity = plan.slots / plan.mean_work_s * self.capacity_share()
        allowed = plan.overload_factor * capacity * plan.overload_window_s
        tolerated = allowed + 2 * math.sqrt(allowed) + 2
        self.cold_peak = max(self.cold_peak, len(self._recent) / tolerated)
        if len(self._recent) <= tolerated:
            return False
        self.overloads += 1
        if sum(arrival.informed for arrival in self._recent) > INFORMED_SHARE * len(self._recent):
            self.informed_overloads += 1
        return True

    def _start_jobs(self) -> None:
        """Start queued jobs while slots are free."""
        while self.queue and len(self.running) < self.plan.slots:
            attempt = self.queue.popleft()
            self.running.add(attempt)
            self.start_counts[attempt.job.name] = self.start_counts.get(attempt.job.name, 0) + 1
            attempt.report_started()
            run_s, generation = attempt.job.work_s / self.capacity_share(), self.generation
            self.clock.after(run_s, lambda a=attempt, g=generation: self._end_job(a, g))  # type: ignore[misc]

    def _end_job(self, attempt: "Attempt", generation: int) -> None:
        if generation != self.generation or self.state is not WorkerState.UP:
            return
        self.running.discard(attempt)
        attempt.report_done()
        self._start_jobs()

    def stop(self, state: WorkerState) -> None:
        """Die (DOWN) or stop responding (SILENT).

        All jobs are lost. Only a worker that dies resets its connections.
        """
        self.state = state
        self.generation += 1
        lost = [*self.running, *self.queue]
        self.running.clear()
        self.queue.clear()
        if state is WorkerState.DOWN:
            for attempt in lost:
                attempt.report_reset()

    def start(self) -> None:
        """Start again, cold."""
        self.generation += 1
        self.state, self.started_at = WorkerState.UP, self.clock.now
        self._recent.clear()
