"""Drives a Balancer without sockets: keeps the clock, timers and open attempts, and checks every action."""

import heapq
from dataclasses import dataclass, field

from wickgw import Balancer
from wickgw import interface as i

NEVER_RAN = {i.Verdict.FULL, i.Verdict.CONNECT_FAILED, i.Verdict.NOT_SENT}
SAFE = i.RequestClass("safe", 0.1, 2.0, worth=1.0, stretch=2.0)
UNSAFE = i.RequestClass("unsafe", 0.1, 2.0, worth=5.0, stretch=2.0, idempotency=i.Idempotency.UNSAFE)
KEYED = {
    scope: i.RequestClass(
        "keyed", 0.1, 2.0, 2.0, 0.3, 2.0, idempotency=i.Idempotency.KEYED, dedup_scope=scope, dedup_window=0.5
    )
    for scope in i.DedupScope
}


@dataclass
class AttemptRecord:
    """One attempt, as seen by the caller of the balancer."""

    worker: i.Entry
    sent_at: float
    verdict: i.Verdict | None = None
    started: bool = False


@dataclass
class RequestRecord:
    """One request, as seen by the caller of the balancer."""

    request_class: i.RequestClass
    deadline: float
    attempts: list[AttemptRecord] = field(default_factory=list)
    answered_at: float | None = None


class BalancerDriver:
    """Calls a Balancer as a dispatcher does, in virtual time.

    Every action is checked against the rules: one final answer in time, no send to a draining worker, and no
    repeated attempt that the request's class forbids. Times are in seconds.

    Args:
        settings: Settings of the balancer.
        seed: Seed of the balancer.
        entries: Workers of the first list.
    """

    def __init__(self, settings: i.Settings, seed: int = 1, entries: tuple[i.Entry, ...] = ()) -> None:
        self.settings, self.now = settings, 0.0
        self.balancer = Balancer(settings, seed)
        self.timers: list[tuple[float, int, str]] = []
        self.listed: dict[str, i.Entry] = {}
        self.requests: dict[str, RequestRecord] = {}
        self.actions: list[tuple[float, i.Action]] = []
        self.feed(i.Began())
        self.update_list(*entries, kind=i.ListKind.RESTORED)

    def update_list(self, *entries: i.Entry, kind: i.ListKind = i.ListKind.UPDATE) -> list[i.Action]:
        """Feed a change of the list of workers."""
        if kind in (i.ListKind.REPLACE, i.ListKind.RESTORED):
            self.listed = {}
        if kind is not i.ListKind.UNAVAILABLE:
            self.listed.update({entry.worker: entry for entry in entries})
        return self.feed(i.WorkerList(kind, entries))

    def arrive(
        self,
        name: str,
        class_index: int = 0,
        time_left: float | None = None,
        slots: float = 1.0,
        tenant: int = 0,
    ) -> list[i.Action]:
        """Feed the arrival of a request.

        Args:
            name: Id of the request.
            class_index: Index of its class.
            time_left: Seconds until its deadline; None for the deadline of its class.
            slots: Slots that the job takes.
            tenant: Index of its tenant.
        """
        request_class = self.settings.classes[class_index]
        time_left = request_class.deadline if time_left is None else time_left
        self.requests[name] = RequestRecord(request_class, self.now + time_left)
        return self.feed(i.Arrival(name, class_index, time_left, tenant, slots))

    def start_attempt(self, name: str, number: int = 0) -> list[i.Action]:
        """Feed the start of an attempt at its worker."""
        self.requests[name].attempts[number].started = True
        return self.feed(i.Started(name, number))

    def end_attempt(
        self, name: str, verdict: i.Verdict = i.Verdict.OK, number: int = 0, free: float | None = None
    ) -> list[i.Action]:
        """Feed the end of an attempt; `free`: free slots by the worker's load report, if there is one."""
        request = self.requests[name]
        attempt = request.attempts[number]
        assert attempt.verdict is None
        attempt.verdict = verdict
        if verdict is i.Verdict.OK and request.answered_at is None:
            request.answered_at = self.now
        answered = request.answered_at is not None
        return self.feed(i.Outcome(name, number, verdict, answered, free))

    def open_attempts(self) -> list[tuple[str, int]]:
        """Return the attempts without an outcome, as (request, number)."""
        return [
            (name, number)
            for name, request in self.requests.items()
            for number, attempt in enumerate(request.attempts)
            if attempt.verdict is None
        ]

    def wait(self, seconds: float) -> list[i.Action]:
        """Advance the time, firing due timers and timing attempts out at the deadline; return the actions."""
        end, done = self.now + seconds, len(self.actions)
        while True:
            deadlines = [
                (request.deadline, name)
                for name, request in self.requests.items()
                if any(attempt.verdict is None for attempt in request.attempts)
            ]
            deadlines = [pair for pair in deadlines if pair[0] >= self.now]
            timer = self.timers[0][0] if self.timers else end + 1
            next_deadline = min(deadlines, default=(end + 1, ""))
            if min(timer, next_deadline[0]) > end:
                break
            if timer <= next_deadline[0]:
                self.now, _, timer_name = heapq.heappop(self.timers)
                self.feed(i.Timer(timer_name))
            else:
                self.now = next_deadline[0]
                for number, attempt in enumerate(self.requests[next_deadline[1]].attempts):
                    if attempt.verdict is None:
                        self.end_attempt(next_deadline[1], i.Verdict.TIMEOUT, number)
        self.now = end
        return [action for _, action in self.actions[done:]]

    def feed(self, event: i.Event) -> list[i.Action]:
        """Pass one event to the balancer, check the actions that it returns, and return them."""
        actions = self.balancer.handle(event, self.now)
        for action in actions:
            self.actions.append((self.now, action))
            match action:
                case i.Wake(name, after):
                    assert after > 0
                    due = self.now + after - 5e-10  # a clock of whole nanoseconds may round down
                    heapq.heappush(self.timers, (due, len(self.actions), name))
                case i.Send(name, worker):
                    self._check_send(self.requests[name], worker)
                case i.Refuse(name) | i.Fail(name):
                    request = self.requests[name]
                    assert request.answered_at is None, "two final answers"
                    assert self.now <= request.deadline + 0.02, "answered late"
                    request.answered_at = self.now
                    if isinstance(action, i.Refuse):
                        may_have_run = [a for a in request.attempts if a.verdict not in NEVER_RAN]
                        keyed_all = (
                            request.request_class.idempotency is i.Idempotency.KEYED
                            and request.request_class.dedup_scope is i.DedupScope.ALL
                        )
                        assert (
                            not may_have_run
                            or request.request_class.idempotency is i.Idempotency.SAFE
                            or keyed_all
                        ), "refused although it may have run"
                case i.Cancel(name, number):
                    assert self.settings.may_cancel and number < len(self.requests[name].attempts)
        return actions

    def _check_send(self, request: RequestRecord, worker: str) -> None:
        """Check that a request may be sent to a worker, and record the attempt."""
        entry = self.listed[worker]
        assert entry.health is i.Health.READY, "sent to a drained worker"
        assert request.answered_at is None, "sent after the answer"
        assert len(request.attempts) < self.settings.max_attempts
        may_have_run = [a for a in request.attempts if a.verdict not in NEVER_RAN]
        assert self.settings.may_hedge or all(a.verdict is not None for a in may_have_run), (
            "two attempts at once"
        )
        if request.request_class.idempotency is i.Idempotency.UNSAFE:
            assert not may_have_run, "unsafe sent again"
        if request.request_class.idempotency is i.Idempotency.KEYED and may_have_run:
            first = may_have_run[0]
            # The request is written at the latest when the connection attempt would time out.
            written = self.now + self.settings.connect_timeout
            assert written <= first.sent_at + request.request_class.dedup_window, "after the window"
            scope = request.request_class.dedup_scope
            assert scope is not i.DedupScope.ZONE or entry.zone == first.worker.zone, "outside the zone"
            assert scope is not i.DedupScope.CELL or entry.cell == first.worker.cell, "outside the cell"
        request.attempts.append(AttemptRecord(entry, self.now))

    def sends_in(self, actions: list[i.Action]) -> list[tuple[str, str]]:
        """Return the sends among actions, as (request, worker)."""
        return [(action.request, action.worker) for action in actions if isinstance(action, i.Send)]
