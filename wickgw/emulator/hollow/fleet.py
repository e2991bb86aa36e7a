"""A hollow fleet put together: clients, discovery and faults around its dispatchers, and the report."""

import itertools
import random
from dataclasses import asdict, dataclass
from typing import TypeVar

from wickgw import interface as i
from wickgw.emulator.hollow.clock import VirtualClock
from wickgw.emulator.hollow.dispatcher import AnswerKind, HollowDispatcher, Job
from wickgw.emulator.hollow.plan import Fault, FaultKind, FleetPlan
from wickgw.emulator.hollow.worker import ModelWorker, WorkerState
from wickgw.subsetting.ranking import Dispatcher
from wickgw.subsetting.sizing import subset_size

Anything = TypeVar("Anything")
ENTRY_BYTES = 146  # of a worker in discovery's JSON, measured
ANSWER_BYTES = 160  # of an answer of discovery without entries, and of the call for it
DRAIN_S = 3.0  # from a planned drain to the worker's end
SETTLE_S = 5.0  # after the last arrival, for what is still owed


@dataclass(frozen=True, slots=True)
class FleetReport:
    """What a play showed. Shares are of the jobs or of their worth; times are in seconds."""

    jobs: int
    worth: float  # served, as a share of all
    late: float
    refused: float
    failed: float
    lost: float  # their dispatcher was killed
    attempts: int
    busiest: float  # attempts at the busiest worker over the mean
    control_core: float  # of a core, the mean of the dispatchers
    job_ms: float  # processor time of a job
    longest_ms: float  # longest call into a core
    longest_on: str
    list_bytes_per_s: float  # from discovery, the mean of the dispatchers
    falls: int
    cold_budget_used: float  # of the requests that the rule allows cold workers, over the fleet
    broken: dict[str, int]  # rules: how often

    def as_dict(self) -> dict[str, object]:
        """For JSON."""
        return asdict(self)


class HollowFleet:
    """One play of a plan from one seed."""

    def __init__(self, plan: FleetPlan, seed: int) -> None:
        self.plan, self.seed, self.random = plan, seed, random.Random(seed)
        self.clock = VirtualClock()
        self.workers: dict[str, ModelWorker] = {}
        self._names = itertools.count()
        for number in range(plan.workers):
            self._add_worker(plan.zone_of(number))
        self.identities = tuple(
            Dispatcher(f"n{n}", f"zone-{plan.zone_of(n)}") for n in range(plan.dispatchers)
        )
        self.subset_size = None
        if plan.subsets:  # at any size: plays compare what a real fleet of this size would not turn on
            self.subset_size = subset_size(plan.dispatchers, plan.workers, plan.zones, largest_whole_view=0)
        self.dispatchers = [HollowDispatcher(self, n) for n in range(plan.dispatchers)]
        self.finished: list[Job] = []
        self.unanswered = self.answered_twice = 0
        self.list_bytes = 0
        self.split = False
        self._serial = itertools.count()

    def _add_worker(self, zone: int) -> ModelWorker:
        worker = ModelWorker(f"s-{next(self._names):05x}", zone, self.plan, self.clock)
        self.workers[worker.name] = worker
        return worker

    def reaches(self, dispatcher: HollowDispatcher, worker: ModelWorker) -> bool:
        """Whether the network lets one speak to the other, and the other speaks."""
        if worker.state is WorkerState.SILENT:
            return False
        plan = self.plan
        return not self.split or plan.region_of(dispatcher.zone) == plan.region_of(worker.zone)

    # Play.

    def run(self) -> FleetReport:
        """Play to the end."""
        plan = self.plan
        listed = tuple(self._entry(worker) for worker in self.workers.values())
        for dispatcher in self.dispatchers:
            dispatcher.told = {entry.worker: entry for entry in listed}
            self.clock.after(self.random.uniform(0, 1), dispatcher.start)
        for fault in plan.faults:
            self.clock.at(fault.at_s, lambda fault=fault: self._strike(fault))  # type: ignore[misc]
        self._clients()
        longest = max(c.deadline for c in plan.classes)
        self.clock.run_until(plan.lasts_s + min(longest, 60.0) + SETTLE_S)
        return self._report()

    def _clients(self) -> None:
        """Clients call as a Poisson process, each at a dispatcher drawn by its weight."""
        plan = self.plan
        weights = [self.random.lognormvariate(0, plan.traffic_spread) for _ in self.dispatchers]
        at = 2.0
        while (at := at + self.random.expovariate(plan.jobs_per_s)) < plan.lasts_s:
            dispatcher = self.random.choices(self.dispatchers, weights)[0]
            self.clock.at(at, lambda to=dispatcher: self._call(to))  # type: ignore[misc]

    def _call(self, dispatcher: HollowDispatcher) -> None:
        """A client calls; one whose dispatcher is down goes to another."""
        plan, now = self.plan, self.clock.now
        if not dispatcher.up:
            dispatcher = self.random.choice([other for other in self.dispatchers if other.up])
        number = self.random.randrange(len(plan.classes))
        work = self.random.expovariate(1 / plan.mean_work_s)
        job = Job(f"j{next(self._serial)}", number, now, now + plan.classes[number].deadline, work)
        dispatcher.arrive(job)

    # Discovery.

    def _entry(self, worker: ModelWorker, health: i.Health = i.Health.READY) -> i.Entry:
        return i.Entry(worker.name, health, worker.zone, since=worker.since)

    def _tell(self, *entries: i.Entry) -> None:
        """A change of the list reaches each dispatcher after a delay of its own."""
        for dispatcher in self.dispatchers:
            self.list_bytes += ANSWER_BYTES + ENTRY_BYTES * len(entries)
            delay = self.random.uniform(*self.plan.notice_s)
            self.clock.after(delay, lambda to=dispatcher: to.list(i.ListKind.UPDATE, entries))  # type: ignore[misc]

    # Faults.

    def _strike(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.RACK:
                self._lose(self._some(fault, self._of_zone(0)), WorkerState.DOWN, fault.lasts_s)
            case FaultKind.ZONE:
                self._lose(self._some(fault, self._of_zone(0)), WorkerState.SILENT, fault.lasts_s)
            case FaultKind.REGION_SPLIT:
                self.split = True
                self.clock.after(fault.lasts_s, self._heal)
            case FaultKind.MASS_RESTART:
                for dispatcher in self._some(fault, self.dispatchers):
                    dispatcher.kill()
                    self.clock.after(self.random.uniform(0.5, 3.0), dispatcher.start)
            case FaultKind.REPLACEMENT:
                replaced = self._some(fault, list(self.workers.values()))
                for number, worker in enumerate(replaced):
                    at = fault.lasts_s * number / len(replaced)
                    self.clock.after(at, lambda worker=worker: self._replace(worker))  # type: ignore[misc]

    def _of_zone(self, zone: int) -> list[ModelWorker]:
        return [worker for worker in self.workers.values() if worker.zone == zone]

    def _some(self, fault: Fault, of: list[Anything]) -> list[Anything]:
        return self.random.sample(of, round(fault.size * len(of)))

    def _heal(self) -> None:
        self.split = False

    def _lose(self, workers: list[ModelWorker], state: WorkerState, lasts_s: float) -> None:
        for worker in workers:
            worker.stop(state)
        notice = self.random.uniform(*self.plan.silent_notice_s) if state is WorkerState.SILENT else 0.5
        if notice < lasts_s:
            gone = [self._entry(worker, i.Health.GONE) for worker in workers]
            self.clock.after(notice, lambda: self._tell(*gone))
        self.clock.after(lasts_s, lambda: self._return(workers))

    def _return(self, workers: list[ModelWorker]) -> None:
        for worker in workers:
            worker.start()
        self._tell(*(self._entry(worker) for worker in workers))

    def _replace(self, worker: ModelWorker) -> None:
        self._tell(self._entry(worker, i.Health.DRAINING))
        self.clock.after(DRAIN_S, lambda: self._end_of_drain(worker))

    def _end_of_drain(self, worker: ModelWorker) -> None:
        fresh = self._add_worker(worker.zone)
        fresh.since = self.clock.now
        self._tell(self._entry(worker, i.Health.GONE), self._entry(fresh))
        longest = max(c.deadline for c in self.plan.classes)
        self.clock.after(longest, lambda: worker.stop(WorkerState.DOWN))

    # The report.

    def _worth(self, job: Job) -> float:
        kind = self.plan.classes[job.cls]
        if job.answer is not AnswerKind.SERVED:
            return 0.0
        in_time = job.answered - job.came <= kind.latency_target + kind.stretch * job.work_s
        return kind.worth * (1.0 if in_time else kind.late_worth)

    def _repeated(self) -> int:
        """Jobs of classes that must not be repeated which began more than once, as the workers saw it."""
        unsafe = {n for n, kind in enumerate(self.plan.classes) if kind.idempotency is i.Idempotency.UNSAFE}
        names = {job.name for job in self.finished if job.cls in unsafe}
        runs: dict[str, int] = {}
        for worker in self.workers.values():
            for name, count in worker.ran.items():
                if name in names:
                    runs[name] = runs.get(name, 0) + count
        return sum(count > 1 for count in runs.values())

    def _cold_budget_used(self) -> float:
        budget = sum(worker.cold_budget() for worker in self.workers.values())
        return sum(worker.cold_received for worker in self.workers.values()) / max(budget, 1e-9)

    def _report(self) -> FleetReport:
        plan, jobs = self.plan, self.finished
        count = max(1, len(jobs))
        whole = sum(plan.classes[job.cls].worth for job in jobs)
        served = [job for job in jobs if job.answer is AnswerKind.SERVED]
        late = sum(self._worth(job) < plan.classes[job.cls].worth for job in served)
        received = [worker.received for worker in self.workers.values()]
        costs = [dispatcher.cost for dispatcher in self.dispatchers]
        longest = max(costs, key=lambda cost: cost.longest_s)
        seconds = self.clock.now * len(costs)
        return FleetReport(
            jobs=len(jobs),
            worth=sum(map(self._worth, jobs)) / max(whole, 1e-9),
            late=late / count,
            refused=sum(job.answer is AnswerKind.REFUSED for job in jobs) / count,
            failed=sum(job.answer is AnswerKind.FAILED for job in jobs) / count,
            lost=sum(job.answer is AnswerKind.NONE for job in jobs) / count,
            attempts=sum(received),
            busiest=max(received) / (sum(received) / len(received)),
            control_core=sum(cost.control_s for cost in costs) / seconds,
            job_ms=1000 * sum(cost.jobs_s for cost in costs) / count,
            longest_ms=1000 * longest.longest_s,
            longest_on=longest.longest_on,
            list_bytes_per_s=self.list_bytes / seconds,
            falls=sum(worker.falls for worker in self.workers.values()),
            cold_budget_used=self._cold_budget_used(),
            broken={
                "answered twice": self.answered_twice,
                "not answered": self.unanswered,
                "repeated": self._repeated(),
                "drain": sum(dispatcher.late_sends for dispatcher in self.dispatchers),
                "cold": sum(worker.falls_by_told for worker in self.workers.values()),
            },
        )
