"""The simulation of a fleet: dispatchers, workers, clients, discovery and faults, and the report."""

import itertools
import random
from dataclasses import asdict, dataclass
from typing import TypeVar

from wickgw import interface as i
from wickgw.emulator.fleet_simulation.clock import VirtualClock
from wickgw.emulator.fleet_simulation.dispatcher import AnswerKind, Job, SimulatedDispatcher
from wickgw.emulator.fleet_simulation.plan import Fault, FaultKind, FleetPlan
from wickgw.emulator.fleet_simulation.worker import SimulatedWorker, WorkerState
from wickgw.subsetting.ranking import Dispatcher
from wickgw.subsetting.sizing import subset_size

Item = TypeVar("Item")
ENTRY_BYTES = 146  # of a worker in discovery's JSON
CALL_BYTES = 160  # of a call to discovery and of its answer without entries
DRAIN_TIME_S = 3.0  # from the start of a planned drain to the worker's removal from the list
SETTLE_TIME_S = 5.0  # beyond the longest deadline, for requests that are still open


@dataclass(frozen=True, slots=True)
class FleetReport:
    """The results of a simulation. Times are in seconds unless a name ends in _ms."""

    jobs: int
    worth: float  # earned, as a share of the worth of all jobs
    late: float  # share of jobs served with less than their full worth
    refused: float  # share of jobs
    failed: float  # share of jobs
    lost: float  # share of jobs whose dispatcher was killed
    attempts: int
    busiest: float  # attempts at the busiest worker over the mean
    control_core: float  # CPU time for control work as a share of a core, mean of the dispatchers
    job_ms: float  # CPU time for each job
    longest_ms: float  # longest call of the balancer or of subsetting
    longest_on: str  # event or timer of that call
    list_bytes_per_s: float  # exchanged with discovery, mean of the dispatchers
    falls: int  # overload failures of cold workers
    cold_budget_used: float  # share of the requests that cold workers were allowed, over the fleet
    cold_peak: float  # most requests that a cold worker got in the window, over the tolerated number
    declined: float  # share of the attempts, turned away by full workers
    broken: dict[str, int]  # violations by rule

    def as_dict(self) -> dict[str, object]:
        """Return the report as a dictionary for JSON."""
        return asdict(self)


class FleetSimulation:
    """One simulation of a plan, determined by its seed."""

    def __init__(self, plan: FleetPlan, seed: int) -> None:
        self.plan, self.seed, self.random = plan, seed, random.Random(seed)
        self.clock = VirtualClock()
        self.workers: dict[str, SimulatedWorker] = {}
        self._worker_serial = itertools.count()
        for number in range(plan.workers):
            self._add_worker(plan.zone_of(number))
        self.dispatcher_identities = tuple(
            Dispatcher(f"n{n}", f"zone-{plan.zone_of(n)}") for n in range(plan.dispatchers)
        )
        self.subset_size = None
        # Simulations use subsets at any size, to compare them with the whole view even where a real fleet of
        # this size would not use them.
        if plan.subsets:
            self.subset_size = subset_size(plan.dispatchers, plan.workers, plan.zones, largest_whole_view=0)
        self.dispatchers = [SimulatedDispatcher(self, n) for n in range(plan.dispatchers)]
        self.finished: list[Job] = []
        self.unanswered = self.answered_twice = 0
        self.list_bytes = 0
        self.is_split = False
        self._job_serial = itertools.count()

    def _add_worker(self, zone: int) -> SimulatedWorker:
        worker = SimulatedWorker(f"s-{next(self._worker_serial):05x}", zone, self.plan, self.clock)
        self.workers[worker.name] = worker
        return worker

    def reaches(self, dispatcher: SimulatedDispatcher, worker: SimulatedWorker) -> bool:
        """Return whether the dispatcher reaches the worker over the network and the worker responds."""
        if worker.state is WorkerState.SILENT:
            return False
        plan = self.plan
        return not self.is_split or plan.region_of(dispatcher.zone) == plan.region_of(worker.zone)

    # Running.

    def run(self) -> FleetReport:
        """Run the simulation to its end and return the report."""
        plan = self.plan
        entries = tuple(self._entry(worker) for worker in self.workers.values())
        for dispatcher in self.dispatchers:
            dispatcher.known_entries = {entry.worker: entry for entry in entries}
            self.clock.after(self.random.uniform(0, 1), dispatcher.start)
        for fault in plan.faults:
            self.clock.at(fault.at_s, lambda fault=fault: self._apply_fault(fault))  # type: ignore[misc]
        self._schedule_arrivals()
        longest_deadline = max(c.deadline for c in plan.classes)
        self.clock.run_until(plan.duration_s + min(longest_deadline, 60.0) + SETTLE_TIME_S)
        return self._report()

    def _schedule_arrivals(self) -> None:
        """Schedule requests as a Poisson process, each at a random dispatcher by its traffic weight."""
        plan = self.plan
        weights = [self.random.lognormvariate(0, plan.traffic_sigma) for _ in self.dispatchers]
        at = 2.0
        while (at := at + self.random.expovariate(plan.jobs_per_s)) < plan.duration_s:
            dispatcher = self.random.choices(self.dispatchers, weights)[0]
            self.clock.at(at, lambda to=dispatcher: self._send_request(to))  # type: ignore[misc]

    def _send_request(self, dispatcher: SimulatedDispatcher) -> None:
        """Send a new request to a dispatcher, or to a random other one if that is down."""
        plan, now = self.plan, self.clock.now
        if not dispatcher.up:
            dispatcher = self.random.choice([other for other in self.dispatchers if other.up])
        class_number = self.random.randrange(len(plan.classes))
        work_s = self.random.expovariate(1 / plan.mean_work_s)
        job = Job(
            f"j{next(self._job_serial)}", class_number, now, now + plan.classes[class_number].deadline, work_s
        )
        dispatcher.arrive(job)

    # Discovery.

    def _entry(self, worker: SimulatedWorker, health: i.Health = i.Health.READY) -> i.Entry:
        return i.Entry(worker.name, health, worker.zone, since=worker.started_at)

    def _publish(self, *entries: i.Entry) -> None:
        """Send a change of the list to all dispatchers, each after a random delay."""
        for dispatcher in self.dispatchers:
            self.list_bytes += CALL_BYTES + ENTRY_BYTES * len(entries)
            delay = self.random.uniform(*self.plan.list_delay_s)
            self.clock.after(delay, lambda to=dispatcher: to.receive_list(i.ListKind.UPDATE, entries))  # type: ignore[misc]

    # Faults.

    def _apply_fault(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.RACK:
                self._stop_workers(self._sample(fault, self._of_zone(0)), WorkerState.DOWN, fault.duration_s)
            case FaultKind.ZONE:
                self._stop_workers(
                    self._sample(fault, self._of_zone(0)), WorkerState.SILENT, fault.duration_s
                )
            case FaultKind.REGION_SPLIT:
                self.is_split = True
                self.clock.after(fault.duration_s, self._end_split)
            case FaultKind.MASS_RESTART:
                for dispatcher in self._sample(fault, self.dispatchers):
                    dispatcher.kill()
                    self.clock.after(self.random.uniform(0.5, 3.0), dispatcher.start)
            case FaultKind.REPLACEMENT:
                replaced = self._sample(fault, list(self.workers.values()))
                for number, worker in enumerate(replaced):
                    at = fault.duration_s * number / len(replaced)
                    self.clock.after(at, lambda worker=worker: self._drain_for_replacement(worker))  # type: ignore[misc]

    def _of_zone(self, zone: int) -> list[SimulatedWorker]:
        return [worker for worker in self.workers.values() if worker.zone == zone]

    def _sample(self, fault: Fault, items: list[Item]) -> list[Item]:
        """Return a random selection of the items, of the size of the fault's share."""
        return self.random.sample(items, round(fault.share * len(items)))

    def _end_split(self) -> None:
        self.is_split = False

    def _stop_workers(self, workers: list[SimulatedWorker], state: WorkerState, duration_s: float) -> None:
        """Stop workers for a time; they leave the list if that is longer than the detection takes."""
        for worker in workers:
            worker.stop(state)
        detection_s = (
            self.random.uniform(*self.plan.silence_detection_s) if state is WorkerState.SILENT else 0.5
        )
        if detection_s < duration_s:
            gone = [self._entry(worker, i.Health.GONE) for worker in workers]
            self.clock.after(detection_s, lambda: self._publish(*gone))
        self.clock.after(duration_s, lambda: self._restart_workers(workers))

    def _restart_workers(self, workers: list[SimulatedWorker]) -> None:
        for worker in workers:
            worker.start()
        self._publish(*(self._entry(worker) for worker in workers))

    def _drain_for_replacement(self, worker: SimulatedWorker) -> None:
        self._publish(self._entry(worker, i.Health.DRAINING))
        self.clock.after(DRAIN_TIME_S, lambda: self._finish_replacement(worker))

    def _finish_replacement(self, worker: SimulatedWorker) -> None:
        replacement = self._add_worker(worker.zone)
        replacement.started_at = self.clock.now
        self._publish(self._entry(worker, i.Health.GONE), self._entry(replacement))
        longest_deadline = max(c.deadline for c in self.plan.classes)
        self.clock.after(longest_deadline, lambda: worker.stop(WorkerState.DOWN))

    # The report.

    def _worth(self, job: Job) -> float:
        """Return the worth that a job earned; an answer after the latency target earns `late_worth` of it."""
        request_class = self.plan.classes[job.cls]
        if job.answer is not AnswerKind.SERVED:
            return 0.0
        in_time = (
            job.answered_at - job.arrived_at
            <= request_class.latency_target + request_class.stretch * job.work_s
        )
        return request_class.worth * (1.0 if in_time else request_class.late_worth)

    def _count_repeated(self) -> int:
        """Return how many jobs that must not be repeated were started more than once."""
        unsafe = {
            number
            for number, request_class in enumerate(self.plan.classes)
            if request_class.idempotency is i.Idempotency.UNSAFE
        }
        names = {job.name for job in self.finished if job.cls in unsafe}
        starts: dict[str, int] = {}
        for worker in self.workers.values():
            for name, count in worker.start_counts.items():
                if name in names:
                    starts[name] = starts.get(name, 0) + count
        return sum(count > 1 for count in starts.values())

    def _cold_budget_used(self) -> float:
        budget = sum(worker.cold_budget() for worker in self.workers.values())
        return sum(worker.cold_received for worker in self.workers.values()) / max(budget, 1e-9)

    def _report(self) -> FleetReport:
        plan, jobs = self.plan, self.finished
        count = max(1, len(jobs))
        full_worth = sum(plan.classes[job.cls].worth for job in jobs)
        served = [job for job in jobs if job.answer is AnswerKind.SERVED]
        late = sum(self._worth(job) < plan.classes[job.cls].worth for job in served)
        received = [worker.received for worker in self.workers.values()]
        costs = [dispatcher.cost for dispatcher in self.dispatchers]
        longest_cost = max(costs, key=lambda cost: cost.longest_s)
        dispatcher_seconds = self.clock.now * len(costs)
        return FleetReport(
            jobs=len(jobs),
            worth=sum(map(self._worth, jobs)) / max(full_worth, 1e-9),
            late=late / count,
            refused=sum(job.answer is AnswerKind.REFUSED for job in jobs) / count,
            failed=sum(job.answer is AnswerKind.FAILED for job in jobs) / count,
            lost=sum(job.answer is AnswerKind.NONE for job in jobs) / count,
            attempts=sum(received),
            busiest=max(received) / (sum(received) / len(received)),
            control_core=sum(cost.control_s for cost in costs) / dispatcher_seconds,
            job_ms=1000 * sum(cost.jobs_s for cost in costs) / count,
            longest_ms=1000 * longest_cost.longest_s,
            longest_on=longest_cost.longest_on,
            list_bytes_per_s=self.list_bytes / dispatcher_seconds,
            falls=sum(worker.overloads for worker in self.workers.values()),
            cold_budget_used=self._cold_budget_used(),
            cold_peak=max(worker.cold_peak for worker in self.workers.values()),
            declined=sum(worker.declined for worker in self.workers.values()) / max(1, sum(received)),
            broken={
                "answered twice": self.answered_twice,
                "not answered": self.unanswered,
                "repeated": self._count_repeated(),
                "drain": sum(dispatcher.late_sends for dispatcher in self.dispatchers),
                "cold": sum(worker.informed_overloads for worker in self.workers.values()),
            },
        )
