"""A simulated dispatcher: the real balancer, preceded by subsetting if the plan enables it."""

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wickgw import interface as i
from wickgw.emulator.fleet_simulation.cost import CpuCost, TimedBalancer
from wickgw.emulator.fleet_simulation.worker import SimulatedWorker, WorkerState
from wickgw.subsetting import events as s
from wickgw.subsetting.sizing import settings_for_subset
from wickgw.subsetting.subset import WorkerSubset

if TYPE_CHECKING:
    from wickgw.emulator.fleet_simulation.fleet import FleetSimulation

CONNECTION_ROUND_TRIPS = 3  # until the first request on a new connection has arrived


class AnswerKind(enum.Enum):
    """The answer that a client received."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    NONE = "none"  # the dispatcher was killed


@dataclass(slots=True, eq=False)
class Job:
    """One request of a client; times are virtual, in seconds."""

    name: str
    cls: int  # index of its class
    arrived_at: float
    deadline: float
    work_s: float  # run time on a warm worker
    answer: AnswerKind | None = None
    answered_at: float = 0.0
    attempts: int = 0
    open_attempts: dict[int, "Attempt"] = field(default_factory=dict)  # by number


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a job at a worker. Its reports reach the dispatcher after the network latency."""

    dispatcher: "SimulatedDispatcher"
    job: Job
    number: int
    worker: SimulatedWorker
    incarnation: int  # of the dispatcher
    latency_s: float  # one way

    def _deliver(self, event: i.Event) -> None:
        self.dispatcher.fleet.clock.after(self.latency_s, lambda: self.dispatcher.receive_report(self, event))

    def report_started(self) -> None:
        """Report that the worker started the job."""
        self._deliver(i.Started(self.job.name, self.number))

    def report_done(self) -> None:
        """Report the result of the job."""
        self._deliver(i.Outcome(self.job.name, self.number, i.Verdict.OK))

    def report_declined(self) -> None:
        """Report that the worker turned the job away unstarted, because its queue was full."""
        self._deliver(i.Outcome(self.job.name, self.number, i.Verdict.FULL))

    def report_reset(self) -> None:
        """Report a connection reset because the worker died."""
        self._deliver(i.Outcome(self.job.name, self.number, i.Verdict.RESET))


def entries_for_balancer(action: s.UpdateSubset[s.ListedWorker]) -> tuple[i.Entry, ...]:
    """Return the list entries that tell the balancer about a change of its subset."""
    gone = (i.Entry(worker, i.Health.GONE) for worker in action.removed)
    return (*gone, *(worker.entry for worker in action.workers))


class SimulatedDispatcher:
    """Runs the balancer and subsetting in virtual time; carries out their actions on simulated workers."""

    def __init__(self, fleet: "FleetSimulation", number: int) -> None:
        self.fleet, self.number, self.name = fleet, number, f"n{number}"
        self.zone = fleet.plan.zone_of(number)
        self.incarnation = 0  # counts starts and kills, so that events of an earlier process are dropped
        self.up = False
        self.jobs: dict[str, Job] = {}
        self.cost = CpuCost()
        self.known_entries: dict[str, i.Entry] = {}  # the whole list, as last received
        self.drain_known_since: dict[str, float] = {}  # when the list first showed each worker as not ready
        self.connection_used_at: dict[str, float] = {}  # last use of the connection to each worker
        self.late_sends = 0  # to workers known to drain for longer than the grace period
        self.calls = 0  # of the balancer
        self.balancer: TimedBalancer
        self.subset: WorkerSubset[s.ListedWorker] | None = None
        self._subset_timer = 0

    # Start and end of the process.

    def start(self) -> None:
        """Start without state, with the list as last received."""
        plan = self.fleet.plan
        self.incarnation += 1
        self.up = True
        self.connection_used_at.clear()
        settings = plan.settings_of(self.zone)
        size = self.fleet.subset_size
        self.subset = None
        if size is not None:
            self.subset = WorkerSubset(self.fleet.dispatcher_identities, self.name, size, settings)
            settings = settings_for_subset(settings, size.dispatchers_per_worker)
        self.balancer = TimedBalancer(
            settings, self.fleet.seed * 1000 + self.number + self.incarnation * 100_000
        )
        self.feed(i.Began())
        self.receive_list(i.ListKind.RESTORED, tuple(self.known_entries.values()))

    def kill(self) -> None:
        """End at once; the clients of open requests receive no answer."""
        self.incarnation += 1
        self.up = False
        for job in self.jobs.values():
            job.answer = AnswerKind.NONE
            self.fleet.finished.append(job)
        self.jobs.clear()

    # The list of workers.

    def receive_list(self, kind: i.ListKind, entries: tuple[i.Entry, ...]) -> None:
        """Receive a change of the list; while the process is down, its platform agent keeps the list."""
        for entry in entries:
            if entry.health is i.Health.GONE:
                self.known_entries.pop(entry.worker, None)
            else:
                self.known_entries[entry.worker] = entry
            if entry.health is i.Health.READY:
                self.drain_known_since.pop(entry.worker, None)
            else:
                self.drain_known_since.setdefault(entry.worker, self.fleet.clock.now)
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
                    self.feed(i.WorkerList(i.ListKind.UPDATE, entries_for_balancer(action)))
                case s.SetTimer(after):
                    self._subset_timer += 1
                    serial, incarnation = self._subset_timer, self.incarnation
                    self.fleet.clock.after(after, lambda n=serial, at=incarnation: self._subset_due(n, at))  # type: ignore[misc]

    def _subset_due(self, serial: int, incarnation: int) -> None:
        if serial == self._subset_timer and incarnation == self.incarnation:
            self._feed_subset(s.TimerFired())

    # Events to the balancer, and its actions.

    def feed(self, event: i.Event) -> None:
        """Pass an event to the balancer and carry out its actions."""
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
                if job is not None and number in job.open_attempts:
                    self.receive_report(
                        job.open_attempts[number], i.Outcome(request, number, i.Verdict.CANCELLED)
                    )
            case i.Refuse(request):
                self._answer(self.jobs[request], AnswerKind.REFUSED)
            case i.Fail(request):
                self._answer(self.jobs[request], AnswerKind.FAILED)
            case i.Wake(name, after):
                incarnation = self.incarnation
                self.fleet.clock.after(after, lambda: self._timer_fired(name, incarnation))

    def _timer_fired(self, name: str, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.feed(i.Timer(name))

    # Requests.

    def arrive(self, job: Job) -> None:
        """Accept a client's request.

        Raises:
            ValueError: A request of the same name is open.
        """
        if job.name in self.jobs:
            raise ValueError(f"{job.name} is already open")
        self.jobs[job.name] = job
        self.fleet.clock.at(job.deadline, lambda: self._deadline_passed(job))
        self.feed(i.Arrival(job.name, job.cls, job.deadline - self.fleet.clock.now))

    def _send(self, job: Job, worker: SimulatedWorker) -> None:
        plan, clock = self.fleet.plan, self.fleet.clock
        drained_since = self.drain_known_since.get(worker.name)
        if drained_since is not None and clock.now > drained_since + plan.drain_grace_s:
            self.late_sends += 1
        latency_s = plan.same_zone_latency_s if worker.zone == self.zone else plan.other_zone_latency_s
        attempt = Attempt(self, job, job.attempts, worker, self.incarnation, latency_s)
        job.open_attempts[job.attempts] = attempt
        job.attempts += 1
        used_at = self.connection_used_at.get(worker.name, -1e9)
        is_connected = clock.now - used_at < self.balancer.settings.idle_timeout
        self.connection_used_at[worker.name] = clock.now
        if not self.fleet.reaches(self, worker):
            if not is_connected:
                failed = i.Outcome(job.name, attempt.number, i.Verdict.CONNECT_FAILED)
                clock.after(plan.connect_timeout_s, lambda: self.receive_report(attempt, failed))
            return
        if worker.state is WorkerState.DOWN:
            refused = i.Outcome(job.name, attempt.number, i.Verdict.CONNECT_FAILED)
            clock.after(2 * latency_s, lambda: self.receive_report(attempt, refused))
            return
        one_way_trips = 1 if is_connected else CONNECTION_ROUND_TRIPS * 2
        entry = self.known_entries.get(worker.name)
        knows_start = entry is not None and entry.since == worker.started_at
        clock.after(one_way_trips * latency_s, lambda: self._request_arrives(attempt, knows_start))

    def _request_arrives(self, attempt: Attempt, knows_start: bool) -> None:
        worker = attempt.worker
        if worker.state is WorkerState.UP and self.fleet.reaches(self, worker):
            worker.receive(attempt, knows_start)
        elif worker.state is WorkerState.DOWN:
            attempt.report_reset()

    def receive_report(self, attempt: Attempt, event: i.Event) -> None:
        """Receive an event of an attempt: its start or its outcome."""
        job = attempt.job
        if attempt.incarnation != self.incarnation or attempt.number not in job.open_attempts:
            return
        if not isinstance(event, i.Outcome):
            self.feed(event)
            return
        del job.open_attempts[attempt.number]
        if event.verdict is i.Verdict.OK and job.answer is None:
            self._answer(job, AnswerKind.SERVED)
        over = job.answer is not None
        self.feed(i.Outcome(event.request, event.attempt, event.verdict, over))
        if self.subset is not None and event.verdict is not i.Verdict.CANCELLED:
            self._feed_subset(s.AttemptEnded(attempt.worker.name, event.verdict is i.Verdict.OK))
        self._forget(job)

    def _deadline_passed(self, job: Job) -> None:
        """Time out open attempts; a request that is still unanswered then is an error of the balancer."""
        if job.name not in self.jobs:
            return
        for attempt in list(job.open_attempts.values()):
            self.receive_report(attempt, i.Outcome(job.name, attempt.number, i.Verdict.TIMEOUT))
        if job.answer is None:
            self.fleet.unanswered += 1
            self._answer(job, AnswerKind.FAILED)
            self.feed(i.ClientLeft(job.name))

    def _answer(self, job: Job, kind: AnswerKind) -> None:
        if job.answer is not None:
            self.fleet.answered_twice += 1
            return
        job.answer, job.answered_at = kind, self.fleet.clock.now
        self.fleet.finished.append(job)
        self._forget(job)

    def _forget(self, job: Job) -> None:
        if job.answer is not None and not job.open_attempts:
            self.jobs.pop(job.name, None)
