"""Pending requests, and the one place where the decisions are asked for and carried out.

Owns the Balancer, the clock it is told, its Wakes, and each request from its coming until it is
answered and all its attempts have ended. Whoever speaks to clients hands requests in and gets one answer for
each; whoever speaks to workers is told of attempts to start or give up and reports what became of them. It
must never choose a worker, a retry, a refusal or a delay, call the Balancer from two places, or know what a
protocol looks like: a second one for clients, or another source of lists, joins by the same few methods.
"""

import asyncio
import functools
import itertools
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.observe import logger

log = logger("wickgw")
GRACE = 0.003  # seconds that the guard leaves to attempts that time out at the same moment
STALL = 0.05  # seconds by which a Wake is late when the loop has stood still; counted, so that it is seen


class Clock:
    """Monotonic seconds, and how Unix time maps to them: fixed once, since the Balancer knows a restarted
    worker by an unequal start time, and an offset read twice would restart the whole fleet."""

    def __init__(self) -> None:
        self.now: Callable[[], float] = time.monotonic
        self.offset = time.time() - time.monotonic()
        # Leases are counted on a clock that goes on while the machine sleeps.
        self.awake: Callable[[], float] = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)

    def at_unix_ms(self, ms: float) -> float | None:
        """A moment given in Unix milliseconds; 0 means long ago."""
        return ms / 1000 - self.offset if ms else None


class AnswerKind(Enum):
    """What became of a request."""

    SERVED = "served"
    REFUSED = "refused"  # trying again is harmless
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to a request."""

    kind: AnswerKind
    result: bytes = b""  # what a worker made, for SERVED
    retry_after: float = 0.0  # seconds, for REFUSED


class ClientSide(Protocol):
    """Where a request came from."""

    def answer(self, answer: Answer) -> None:
        """Write the final answer. Called once, and not after `left`."""

    def has_left(self) -> bool:
        """Whether the client has ended its side, though the loop may not have come to that yet."""


class WorkerSide(Protocol):
    """What carries attempts out."""

    def start(self, pending: "PendingRequest", number: int, worker: str, until: float) -> None:
        """Start an attempt; its end is reported by `Dispatcher.ended`, exactly once."""

    def hurry(self, until: float, request: str | None = None) -> None:
        """No attempt (of that request) is waited for any longer than that."""

    def cancel(self, request: str, number: int) -> None:
        """Give an attempt up, if it is still out."""

    def withdraw(self, request: str, number: int) -> None:
        """Give an attempt up if nothing of it is written yet: its request is over."""

    def close_idle(self, worker: str) -> None:
        """Close the idle connections to a worker."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request, from its coming until it is answered and its last attempt has ended."""

    id: str
    cls: int
    due: float  # the final answer is out by then
    job: Any  # what the client's side hands to the workers' side; not looked at here
    client: ClientSide | None  # None once answered or gone
    slots: float = 1.0
    tenant: int = 0  # index into the settings' tenants; -1: none of them
    most: int | None = None  # attempts, if its route allows fewer
    home: "Dispatcher | None" = None  # whose it is, once taken
    attempts: int = 0  # started
    out: dict[int, str] = field(default_factory=dict)  # those without an outcome, and at which worker
    guard: asyncio.TimerHandle | None = None

    def leave(self) -> None:
        """Its client is gone."""
        if self.home is not None:
            self.home.left(self)

    def hurry(self, due: float) -> None:
        """Its answer must be out by then."""
        if self.home is not None:
            self.home.hurry(self, due)


class Dispatcher:
    """Runs one Balancer on the loop: events in, actions carried out in order."""

    def __init__(
        self, balancer: Balancer, loop: asyncio.AbstractEventLoop, clock: Clock, workers: WorkerSide
    ) -> None:
        self.balancer, self.loop, self.clock, self.workers = balancer, loop, clock, workers
        self.pending: dict[str, PendingRequest] = {}
        self.on_attempt_ended: Callable[[str, i.Verdict], None] | None = None
        self.counters: Counter[str] = Counter()
        self.max_stall = 0.0
        self.longest: tuple[float, str] = (0.0, "")  # the longest step of the decisions: seconds, and on what
        self.stop_by: float | None = None  # the process ends then
        self._just_read: PendingRequest | None = None  # its client was there a moment ago, in this callback
        self._events: deque[i.Event] = deque()
        self._running = False
        self._wakes: dict[int, asyncio.TimerHandle] = {}
        self._serial = itertools.count()

    @property
    def owed(self) -> int:
        """Requests without their final answer."""
        return sum(c.client is not None for c in self.pending.values())

    # What the sides report.

    def begin(self, known: tuple[i.Entry, ...]) -> None:
        """The Balancer's life begins, with the list as it was held last."""
        self._feed(i.Began())
        self._feed(i.WorkerList(i.ListKind.RESTORED, known))

    def listed(self, kind: i.ListKind, entries: tuple[i.Entry, ...]) -> None:
        """News of the list; it counts as told, so it is acted on at once."""
        self.counters["lists"] += 1
        self._feed(i.WorkerList(kind, entries))

    def take(self, pending: PendingRequest) -> bool:
        """A request has come; from here on it is owed an answer. False if its id is still in use."""
        if pending.id in self.pending:
            return False
        self.counters["taken"] += 1
        pending.home = self
        if self.stop_by is not None:
            pending.due = min(pending.due, self.stop_by)
        self.pending[pending.id] = pending
        # The Balancer answers in time by itself. Should it fail at that, the client is still told.
        self._guard(pending)
        patience = pending.due - self.clock.now()
        self._just_read = pending
        self._feed(i.Arrival(pending.id, pending.cls, patience, pending.tenant, pending.slots, pending.most))
        self._just_read = None
        return True

    def left(self, pending: PendingRequest) -> None:
        """The client is gone; written attempts are followed to their end, no other is written now."""
        if pending.client is None:
            return
        self.counters["answer.client_left"] += 1
        self._conclude(pending)
        self._feed(i.ClientLeft(pending.id))
        self._withdraw(pending)
        self._forget(pending)

    def may_write(self, pending: PendingRequest) -> bool:
        """Whether an attempt may still be written: looked at in the moment before its first byte.

        A loop that stood still finds the client's end, due timers and workers' answers in one turn, in any
        order; an attempt that follows from one of the others must not overtake the end.
        """
        client = pending.client
        if client is not None and pending is not self._just_read and client.has_left():
            self.counters["left_before_attempt"] += 1
            self.left(pending)
        return pending.client is not None

    def started(self, request: str, number: int) -> None:
        """A worker has begun an attempt."""
        self._feed(i.Started(request, number))

    def progress(self, request: str, number: int, share: float = 0.0) -> None:
        """A worker is still at an attempt, and says how much of the job is done (0: it doesn't)."""
        self.counters["progress"] += 1
        self._feed(i.Progress(request, number, share))

    def ended(
        self, request: str, number: int, verdict: i.Verdict, result: bytes = b"", free: float | None = None
    ) -> None:
        """The one end of an attempt, with the free slots that the worker reported. The first that is served
        is the answer."""
        pending = self.pending.get(request)
        if pending is None or number not in pending.out:  # told already, see _start
            return
        self.counters[f"try.{verdict.value}"] += 1
        worker = pending.out.pop(number)
        if verdict is i.Verdict.OK:
            self._answer(pending, Answer(AnswerKind.SERVED, result))
        self._feed(i.Outcome(request, number, verdict, over=pending.client is None, free=free))
        if self.on_attempt_ended is not None:
            self.on_attempt_ended(worker, verdict)
        self._withdraw(pending)
        self._forget(pending)

    def stop(self, within: float) -> None:
        """The process ends in so many seconds: whatever is owed is answered before."""
        self.stop_by = self.clock.now() + within
        for pending in self.pending.values():
            if pending.client is not None and pending.due > self.stop_by:
                pending.due = self.stop_by
                self._guard(pending)
        self.workers.hurry(self.stop_by)
        self._feed(i.Stopping(within))

    def hurry(self, pending: PendingRequest, due: float) -> None:
        """What this request is owed must be out by then, whatever its client has said."""
        if pending.client is None or pending.due <= due:
            return
        self.counters["hurried"] += 1
        pending.due = due
        self._guard(pending)
        self.workers.hurry(due, pending.id)
        self._feed(i.Hurry(pending.id, max(0.0, due - self.clock.now())))

    def close(self) -> None:
        """Give back every timer."""
        for handle in [*self._wakes.values(), *(c.guard for c in self.pending.values() if c.guard)]:
            handle.cancel()
        self._wakes.clear()

    # Events to the Balancer, its actions out.

    def _feed(self, event: i.Event) -> None:
        """Queue an event; the outermost call works the queue off, so actions are never overtaken by the
        events that they cause."""
        self._events.append(event)
        if self._running:
            return
        self._running = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._running = False

    def _handle(self, event: i.Event) -> None:
        began = self.clock.now()
        try:
            actions = self.balancer.handle(event, began)
        except Exception:  # one event's loss; what it was about is answered by its guard at the latest
            self.counters["errors"] += 1
            log.exception("balancer.failed", on=type(event).__name__)
            if isinstance(event, i.Timer):  # a tick that is lost would be the last one
                self._run(i.Wake(event.name, 0.1))
            return
        if (took := self.clock.now() - began) > self.longest[0]:
            self.longest = took, event.name if isinstance(event, i.Timer) else type(event).__name__
            if took > STALL:  # each is longer than all before it: a few lines in a process's life
                log.warning("step.long", on=self.longest[1], ms=round(took * 1000, 1))
        for action in actions:
            try:
                self._run(action)
            except Exception:
                self.counters["errors"] += 1
                log.exception("action.failed", action=type(action).__name__)

    def _run(self, action: i.Action) -> None:
        match action:
            case i.Send(request, worker, timeout):
                self._start(self.pending[request], worker, timeout)
            case i.Cancel(request, number):
                self.workers.cancel(request, number)
            case i.Close(worker):
                self.workers.close_idle(worker)
            case i.Refuse(request, after):
                self._give_up(self.pending[request], Answer(AnswerKind.REFUSED, retry_after=after))
            case i.Fail(request):
                self._give_up(self.pending[request], Answer(AnswerKind.FAILED))
            case i.Wake(name, after):
                serial, due = next(self._serial), self.loop.time() + after
                self._wakes[serial] = self.loop.call_at(due, self._wake, serial, name, due)
            case i.Subscribe():
                pass  # discovery watches from the start, whatever the settings say of asking

    def _start(self, pending: PendingRequest, worker: str, timeout: float) -> None:
        until = min(pending.due, self.clock.now() + timeout) if timeout > 0 else pending.due
        number, pending.attempts = pending.attempts, pending.attempts + 1
        pending.out[number] = worker
        self.counters["tries"] += 1
        try:
            self.workers.start(pending, number, worker, until)
        except Exception:  # no end of it may ever come, and the Balancer waits for one: it may have run
            self.counters["errors"] += 1
            log.exception("try.not-started")
            self.ended(pending.id, number, i.Verdict.ERROR)

    def _wake(self, serial: int, name: str, due: float) -> None:
        del self._wakes[serial]
        late = self.loop.time() - due
        if late > STALL:
            self.counters["stalls"] += 1
            self.max_stall = max(self.max_stall, late)
        self._feed(i.Timer(name))

    # Pending requests.

    def _give_up(self, pending: PendingRequest, answer: Answer) -> None:
        self._answer(pending, answer)
        self._withdraw(pending)

    def _answer(self, pending: PendingRequest, answer: Answer) -> None:
        client = pending.client
        if client is None:  # a second copy's end, or the client is gone
            return
        self.counters[f"answer.{answer.kind.value}"] += 1
        self._conclude(pending)
        client.answer(answer)
        self._forget(pending)

    def _conclude(self, pending: PendingRequest) -> None:
        pending.client = None
        if pending.guard is not None:
            pending.guard.cancel()
            pending.guard = None

    def _withdraw(self, pending: PendingRequest) -> None:
        """Of a request that is over nothing more is written. Said to the Balancer after the end itself."""
        for number in sorted(pending.out) if pending.client is None else ():
            self.workers.withdraw(pending.id, number)

    def _forget(self, pending: PendingRequest) -> None:
        if pending.client is None and not pending.out:
            self.pending.pop(pending.id, None)

    def _guard(self, pending: PendingRequest) -> None:
        if pending.guard is not None:
            pending.guard.cancel()
        pending.guard = self.loop.call_at(pending.due, self._overdue, pending)

    def _overdue(self, pending: PendingRequest, again: bool = False) -> None:
        """The guard. Attempts time out in this moment too: the Balancer is left to hear of them first."""
        if pending.client is not None and (again or not pending.out):
            self.counters["guarded"] += 1
            log.error("request.guarded", id=pending.id)
            self._answer(pending, Answer(AnswerKind.FAILED))
            self._feed(i.ClientLeft(pending.id))
            self._withdraw(pending)
        elif pending.client is not None:
            pending.guard = self.loop.call_later(GRACE, self._overdue, pending, True)
