"""One hollow dispatcher: the shipped decision module, with subsetting before it if the plan says so."""

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wickgw import interface as i
from wickgw.emulator.hollow.cost import Cost, TimedBalancer
from wickgw.emulator.hollow.worker import ModelWorker, WorkerState
from wickgw.subsetting import events as s
from wickgw.subsetting.sizing import settings_for_subset
from wickgw.subsetting.subset import WorkerSubset

if TYPE_CHECKING:
    from wickgw.emulator.hollow.fleet import HollowFleet

CONNECTION_ROUND_TRIPS = 3  # until the first request on a new connection has come


class AnswerKind(enum.Enum):
    """What a client was told."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    NONE = "none"  # its dispatcher was killed


@dataclass(slots=True, eq=False)
class Job:
    """One request of a client."""

    name: str
    cls: int
    came: float
    due: float
    work_s: float
    answer: AnswerKind | None = None
    answered: float = 0.0
    attempts: int = 0
    out: dict[int, "Attempt"] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a job at a worker."""

    dispatcher: "HollowDispatcher"
    job: Job
    number: int
    worker: ModelWorker
    life: int  # of the dispatcher
    way: float  # seconds, one way

    def _later(self, event: i.Event) -> None:
        self.dispatcher.fleet.clock.after(self.way, lambda: self.dispatcher.report(self, event))

    def report_started(self) -> None:
        """The worker has begun it."""
        self._later(i.Started(self.job.name, self.number))

    def report_done(self) -> None:
        """The worker has the result."""
        self._later(i.Outcome(self.job.name, self.number, i.Verdict.OK))

    def report_reset(self) -> None:
        """The worker has died."""
        self._later(i.Outcome(self.job.name, self.number, i.Verdict.RESET))


def shown_entries(action: s.UpdateSubset[s.ListedWorker]) -> tuple[i.Entry, ...]:
    """What subsetting shows, as the decision module is told it."""
    gone = (i.Entry(worker, i.Health.GONE) for worker in action.removed)
    return (*gone, *(worker.entry for worker in action.workers))


class HollowDispatcher:
    """Drives the cores on virtual time and carries their actions out on modelled workers."""

    def __init__(self, fleet: "HollowFleet", number: int) -> None:
        self.fleet, self.number, self.name = fleet, number, f"n{number}"
        self.zone = fleet.plan.zone_of(number)
        self.life = 0
        self.up = False
        self.jobs: dict[str, Job] = {}
        self.cost = Cost()
        self.told: dict[str, i.Entry] = {}  # the whole list, as it was told
        self.drain_told: dict[str, float] = {}
        self.connected: dict[str, float] = {}  # when a connection to each worker was last used
        self.late_sends = 0  # to workers whose drain had been told for longer than the grace
        self.calls = 0
        self.balancer: TimedBalancer
        self.subset: WorkerSubset[s.ListedWorker] | None = None
        self._subset_timer = 0

    # Life.

    def start(self) -> None:
        """Begin anew, with the list as it was told last."""
        plan = self.fleet.plan
        self.life += 1
        self.up = True
        self.connected.clear()
        settings = plan.settings_of(self.zone)
        size = self.fleet.subset_size
        self.subset = None
        if size is not None:
            self.subset = WorkerSubset(self.fleet.identities, self.name, size, settings)
            settings = settings_for_subset(settings, size.dispatchers_per_worker)
        self.balancer = TimedBalancer(settings, self.fleet.seed * 1000 + self.number + self.life * 100_000)
        self.feed(i.Began())
        self.list(i.ListKind.RESTORED, tuple(self.told.values()))

    def kill(self) -> None:
        """It ends at once: what it had is lost to its clients."""
        self.life += 1
        self.up = False
        for job in self.jobs.values():
            job.answer = AnswerKind.NONE
            self.fleet.finished.append(job)
        self.jobs.clear()

    # The list.

    def list(self, kind: i.ListKind, entries: tuple[i.Entry, ...]) -> None:
        """News of the whole list has come; while the process is down its agent keeps it."""
        for entry in entries:
            if entry.health is i.Health.GONE:
                self.told.pop(entry.worker, None)
            else:
                self.told[entry.worker] = entry
            if entry.health is i.Health.READY:
                self.drain_told.pop(entry.worker, None)
            else:
                self.drain_told.setdefault(entry.worker, self.fleet.clock.now)
        if not self.up:
            return
        if self.subset is None:
            self.feed(i.WorkerList(kind, entries))
            return
        workers = tuple(s.ListedWorker(entry, f"zone-{entry.zone}") for entry in entries)
        self._feed_subset(s.FleetListed(kind, workers))

    def _feed_subset(self, event: s.SubsetEvent[s.ListedWorker]) -> None:
        assert self.subset is not None
        for action in self.cost.handle_subset(self.subset, event, self.fleet.clock.now):
            match action:
                case s.UpdateSubset():
                    self.feed(i.WorkerList(i.ListKind.UPDATE, shown_entries(action)))
                case s.SetTimer(after):
                    self._subset_timer += 1
                    serial, life = self._subset_timer, self.life
                    self.fleet.clock.after(after, lambda n=serial, at=life: self._subset_due(n, at))  # type: ignore[misc]

    def _subset_due(self, serial: int, life: int) -> None:
        if serial == self._subset_timer and life == self.life:
            self._feed_subset(s.TimerFired())

    # Events to the decision module, its actions out.

    def feed(self, event: i.Event) -> None:
        """Pass an event on and carry out what comes back."""
        self.calls += 1
        actions = self.cost.handle(self.balancer, event, self.fleet.clock.now)
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: i.Action) -> None:
        match action:
            case i.Send(request, worker):
                self._send(self.jobs[request], self.fleet.workers[worker])
            case i.Cancel(request, number):
                job = self.jobs.get(request)
                if job is not None and number in job.out:
                    self.report(job.out[number], i.Outcome(request, number, i.Verdict.CANCELLED))
            case i.Refuse(request):
                self._answer(self.jobs[request], AnswerKind.REFUSED)
            case i.Fail(request):
                self._answer(self.jobs[request], AnswerKind.FAILED)
            case i.Wake(name, after):
                life = self.life
                self.fleet.clock.after(after, lambda: self._wake(name, life))

    def _wake(self, name: str, life: int) -> None:
        if life == self.life:
            self.feed(i.Timer(name))

    # Requests.

    def arrive(self, job: Job) -> None:
        """A client's request has come."""
        if job.name in self.jobs:
            raise ValueError(f"{job.name} has come before")
        self.jobs[job.name] = job
        self.fleet.clock.at(job.due, lambda: self._overdue(job))
        self.feed(i.Arrival(job.name, job.cls, job.due - self.fleet.clock.now))

    def _send(self, job: Job, worker: ModelWorker) -> None:
        plan, clock = self.fleet.plan, self.fleet.clock
        drained = self.drain_told.get(worker.name)
        if drained is not None and clock.now > drained + plan.drain_grace_s:
            self.late_sends += 1
        way = plan.same_zone_s if worker.zone == self.zone else plan.other_zone_s
        attempt = Attempt(self, job, job.attempts, worker, self.life, way)
        job.out[job.attempts] = attempt
        job.attempts += 1
        used = self.connected.get(worker.name, -1e9)
        open_already = clock.now - used < self.balancer.settings.idle_timeout
        self.connected[worker.name] = clock.now
        if not self.fleet.reaches(self, worker):
            if not open_already:
                failed = i.Outcome(job.name, attempt.number, i.Verdict.CONNECT_FAILED)
                clock.after(plan.connect_timeout_s, lambda: self.report(attempt, failed))
            return
        if worker.state is WorkerState.DOWN:
            refused = i.Outcome(job.name, attempt.number, i.Verdict.CONNECT_FAILED)
            clock.after(2 * way, lambda: self.report(attempt, refused))
            return
        ways = 1 if open_already else CONNECTION_ROUND_TRIPS * 2
        told = self.told.get(worker.name)
        knows_start = told is not None and told.since == worker.since
        clock.after(ways * way, lambda: self._reached(attempt, knows_start))

    def _reached(self, attempt: Attempt, knows_start: bool) -> None:
        worker = attempt.worker
        if worker.state is WorkerState.UP and self.fleet.reaches(self, worker):
            worker.take(attempt, knows_start)
        elif worker.state is WorkerState.DOWN:
            attempt.report_reset()

    def report(self, attempt: Attempt, event: i.Event) -> None:
        """News of an attempt has come."""
        job = attempt.job
        if attempt.life != self.life or attempt.number not in job.out:
            return
        if not isinstance(event, i.Outcome):
            self.feed(event)
            return
        del job.out[attempt.number]
        if event.verdict is i.Verdict.OK and job.answer is None:
            self._answer(job, AnswerKind.SERVED)
        over = job.answer is not None
        self.feed(i.Outcome(event.request, event.attempt, event.verdict, over))
        if self.subset is not None and event.verdict is not i.Verdict.CANCELLED:
            self._feed_subset(s.AttemptEnded(attempt.worker.name, event.verdict is i.Verdict.OK))
        self._forget(job)

    def _overdue(self, job: Job) -> None:
        """The client's time is up: attempts time out, and what is unanswered then is the module's fault."""
        if job.name not in self.jobs:
            return
        for attempt in list(job.out.values()):
            self.report(attempt, i.Outcome(job.name, attempt.number, i.Verdict.TIMEOUT))
        if job.answer is None:
            self.fleet.unanswered += 1
            self._answer(job, AnswerKind.FAILED)
            self.feed(i.ClientLeft(job.name))

    def _answer(self, job: Job, kind: AnswerKind) -> None:
        if job.answer is not None:
            self.fleet.answered_twice += 1
            return
        job.answer, job.answered = kind, self.fleet.clock.now
        self.fleet.finished.append(job)
        self._forget(job)

    def _forget(self, job: Job) -> None:
        if job.answer is not None and not job.out:
            self.jobs.pop(job.name, None)
