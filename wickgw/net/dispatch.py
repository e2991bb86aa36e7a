"""Pending requests, and the driver of the decision module.

Owns the Balancer, the clock it reads, its timers, and each request from arrival until it is answered and all
its attempts have ended. The client side submits requests and gets one answer for each. The worker side is
asked to start or cancel attempts and reports how they end. This module chooses no worker, retry, refusal or
delay, calls the Balancer from a single place, and knows no wire protocol. A second client protocol or another
source of lists uses the same methods.
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
from wickgw.balance import NEVER_RAN, Balancer
from wickgw.net.sent_ids import SentIds
from wickgw.observe import get_logger

log = get_logger("wickgw")
TIMEOUT_GRACE_S = 0.003  # lets attempts that time out at the same moment report before the request fails
STALL_THRESHOLD_S = 0.05  # a timer that fires later than this, or a longer step, counts as a stall


class Clock:
    """Monotonic seconds, and the offset of Unix time from them.

    The offset is read once. The Balancer recognises a restarted worker by a changed start time, so a second
    reading of the offset would look like a restart of the whole fleet.
    """

    def __init__(self) -> None:
        self.now: Callable[[], float] = time.monotonic
        self.unix_offset = time.time() - time.monotonic()
        # CLOCK_BOOTTIME goes on while the machine is suspended, as leases require.
        self.boottime: Callable[[], float] = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)

    def at_unix_ms(self, ms: float) -> float | None:
        """Convert Unix milliseconds to this clock's seconds. Returns None for 0, which means long ago."""
        return ms / 1000 - self.unix_offset if ms else None


class AnswerKind(Enum):
    """The outcome of a request."""

    SERVED = "served"
    REFUSED = "refused"  # a retry is harmless
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer to a request."""

    kind: AnswerKind
    result: bytes = b""  # the worker's output, for SERVED
    retry_after: float = 0.0  # seconds, for REFUSED


class AnswerReceiver(Protocol):
    """The client side of a request."""

    def answer(self, answer: Answer) -> None:
        """Write the final answer. Called at most once, and never after the client left."""

    def has_disconnected(self) -> bool:
        """Return whether the client has ended its side, even if the loop has not reported that yet."""


class AttemptRunner(Protocol):
    """The worker side: runs attempts."""

    def start(self, pending: "PendingRequest", number: int, worker: str, deadline: float) -> None:
        """Start attempt `number`, counted from 0, of a request.

        Its end is reported to `Dispatcher.attempt_ended`, exactly once.
        """

    def shorten_deadlines(self, deadline: float, request_id: str | None = None) -> None:
        """Let no attempt, or no attempt of `request_id`, run past `deadline`."""

    def cancel(self, request_id: str, number: int) -> None:
        """Cancel an attempt if it has not ended."""

    def cancel_unsent(self, request_id: str, number: int) -> None:
        """Cancel an attempt of a finished request if none of its bytes is written."""

    def close_idle(self, worker: str) -> None:
        """Close the idle connections to a worker."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request, from arrival until it is answered and its last attempt has ended."""

    id: str
    class_index: int  # index into the settings' classes
    deadline: float  # loop time by which the final answer is due
    job: Any  # passed through from the client side to the worker side
    client: AnswerReceiver | None  # None once the request is answered or the client left
    slots: float = 1.0  # slots of a worker that the job takes
    tenant: int = 0  # index into the settings' tenants; -1: none of them
    max_attempts: int | None = None  # if the route allows fewer than the settings
    dispatcher: "Dispatcher | None" = None  # set once the request is accepted
    may_run_again: bool = True  # another run of it, by anybody, does no harm
    is_remembered: bool = False  # its id is among those that must not run again
    may_have_run: bool = False  # an attempt has ended, and not as one that never ran
    attempts_started: int = 0
    open_attempts: dict[int, str] = field(default_factory=dict)  # attempt number -> worker, until the outcome
    deadline_timer: asyncio.TimerHandle | None = None

    def client_left(self) -> None:
        """Report that the client disconnected."""
        if self.dispatcher is not None:
            self.dispatcher.client_left(self)

    def shorten_deadline(self, deadline: float) -> None:
        """Bring the deadline forward to `deadline` if that is earlier."""
        if self.dispatcher is not None:
            self.dispatcher.shorten_deadline(self, deadline)


class Dispatcher:
    """Runs one Balancer on the loop: feeds it events and carries out its actions in order."""

    def __init__(
        self,
        balancer: Balancer,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        attempt_runner: AttemptRunner,
        sent_ids: SentIds | None = None,
    ) -> None:
        """`sent_ids` are those of the whole process; without them, no id is remembered."""
        self.balancer, self.loop, self.clock, self.attempt_runner = balancer, loop, clock, attempt_runner
        self.sent_ids = sent_ids
        self.pending: dict[str, PendingRequest] = {}  # by request id
        self.on_attempt_ended: Callable[[str, i.Verdict], None] | None = None  # gets worker and verdict
        self.counters: Counter[str] = Counter()
        self.max_stall_s = 0.0
        # The Balancer's longest call: its duration in seconds, and the name of its event.
        self.longest_step: tuple[float, str] = (0.0, "")
        self.stop_deadline: float | None = None  # when the process ends, once it is stopping
        self._arriving: PendingRequest | None = None  # being submitted, so its client was just connected
        self._events: deque[i.Event] = deque()
        self._is_running = False
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._timer_ids = itertools.count()

    @property
    def unanswered(self) -> int:
        """The number of requests without a final answer."""
        return sum(pending.client is not None for pending in self.pending.values())

    # Reports from the client side, the worker side and discovery.

    def begin(self, known: tuple[i.Entry, ...]) -> None:
        """Start the Balancer with the last known worker list."""
        self._enqueue(i.Began())
        self._enqueue(i.WorkerList(i.ListKind.RESTORED, known))

    def update_list(self, kind: i.ListKind, entries: tuple[i.Entry, ...]) -> None:
        """Pass on a change of the worker list. Applied at once, since it counts as delivered from now on."""
        self.counters["lists"] += 1
        self._enqueue(i.WorkerList(kind, entries))

    def submit(self, pending: PendingRequest) -> bool:
        """Accept a request, which gets exactly one answer.

        Returns False if its id is in use, or if it may have run before and must not run again.
        """
        if pending.id in self.pending:
            return False
        if self._is_repeat(pending):
            self.counters["repeats"] += 1
            return False
        self.counters["taken"] += 1
        pending.dispatcher = self
        if self.stop_deadline is not None:
            pending.deadline = min(pending.deadline, self.stop_deadline)
        self.pending[pending.id] = pending
        # The Balancer answers in time by itself. The timer answers the client if the Balancer fails to.
        self._set_deadline_timer(pending)
        patience = pending.deadline - self.clock.now()
        self._arriving = pending
        self._enqueue(
            i.Arrival(
                pending.id, pending.class_index, patience, pending.tenant, pending.slots, pending.max_attempts
            )
        )
        self._arriving = None
        return True

    def _is_repeat(self, pending: PendingRequest) -> bool:
        """Return whether a request may have run before, at any process, and must not run again."""
        if self.sent_ids is None or pending.may_run_again:
            return False
        return self.sent_ids.knows(pending.id, self.clock.now())

    def client_left(self, pending: PendingRequest) -> None:
        """Handle the disconnect of a client. Written attempts run to their end; unsent ones are cancelled."""
        if pending.client is None:
            return
        self.counters["answer.client_left"] += 1
        self._detach_client(pending)
        self._enqueue(i.ClientLeft(pending.id))
        self._cancel_unsent(pending)
        self._discard_if_done(pending)

    def may_send(self, pending: PendingRequest) -> bool:
        """Return whether an attempt may still be written; called right before its first byte.

        After a stall, the loop finds the client's disconnect, due timers and workers' answers in one turn, in
        any order. An attempt that results from one of the others must not be sent ahead of the disconnect.
        """
        client = pending.client
        if client is not None and pending is not self._arriving and client.has_disconnected():
            self.counters["left_before_attempt"] += 1
            self.client_left(pending)
        if pending.client is None:
            return False
        if self.sent_ids is not None and not pending.may_run_again:
            self.sent_ids.remember(pending.id, self.clock.now())
            pending.is_remembered = True
        return True

    def attempt_started(self, request_id: str, number: int) -> None:
        """Report that a worker has begun an attempt."""
        self._enqueue(i.Started(request_id, number))

    def attempt_progressed(self, request_id: str, number: int, share: float = 0.0) -> None:
        """Report that an attempt is still running. `share` is the part that is done; 0 if unknown."""
        self.counters["progress"] += 1
        self._enqueue(i.Progress(request_id, number, share))

    def attempt_ended(
        self,
        request_id: str,
        number: int,
        verdict: i.Verdict,
        result: bytes = b"",
        free: float | None = None,
    ) -> None:
        """Report the end of an attempt; the first successful one answers the request.

        `free` is the number of free slots that the worker reported, if any.
        """
        pending = self.pending.get(request_id)
        if pending is None or number not in pending.open_attempts:  # already reported by _start_attempt
            return
        self.counters[f"try.{verdict.value}"] += 1
        worker = pending.open_attempts.pop(number)
        pending.may_have_run = pending.may_have_run or verdict not in NEVER_RAN
        if verdict is i.Verdict.OK:
            self._answer(pending, Answer(AnswerKind.SERVED, result))
        self._enqueue(i.Outcome(request_id, number, verdict, answered=pending.client is None, free=free))
        if self.on_attempt_ended is not None:
            self.on_attempt_ended(worker, verdict)
        self._cancel_unsent(pending)
        self._discard_if_done(pending)

    def stop(self, within: float) -> None:
        """Bound all deadlines, since the process ends in `within` seconds."""
        self.stop_deadline = self.clock.now() + within
        for pending in self.pending.values():
            if pending.client is not None and pending.deadline > self.stop_deadline:
                pending.deadline = self.stop_deadline
                self._set_deadline_timer(pending)
        self.attempt_runner.shorten_deadlines(self.stop_deadline)
        self._enqueue(i.Stopping(within))

    def shorten_deadline(self, pending: PendingRequest, deadline: float) -> None:
        """Bring the deadline of a request forward to `deadline` if that is earlier."""
        if pending.client is None or pending.deadline <= deadline:
            return
        self.counters["hurried"] += 1
        pending.deadline = deadline
        self._set_deadline_timer(pending)
        self.attempt_runner.shorten_deadlines(deadline, pending.id)
        self._enqueue(i.Hurry(pending.id, max(0.0, deadline - self.clock.now())))

    def close(self) -> None:
        """Cancel every timer."""
        for handle in [
            *self._timers.values(),
            *(pending.deadline_timer for pending in self.pending.values() if pending.deadline_timer),
        ]:
            handle.cancel()
        self._timers.clear()

    # Events to the Balancer, and its actions.

    def _enqueue(self, event: i.Event) -> None:
        """Queue an event.

        The outermost call processes the queue, so that all actions of an event are carried out before the
        events that they cause are handled.
        """
        self._events.append(event)
        if self._is_running:
            return
        self._is_running = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_running = False

    def _handle(self, event: i.Event) -> None:
        started_at = self.clock.now()
        try:
            actions = self.balancer.handle(event, started_at)
        except Exception:  # only this event is lost; the deadline timers still answer its requests
            self.counters["errors"] += 1
            log.exception("balancer.failed", on=type(event).__name__)
            if isinstance(event, i.Timer):  # the Balancer sets its next tick in a tick: fire this one again
                self._execute(i.Wake(event.name, 0.1))
            return
        if (elapsed := self.clock.now() - started_at) > self.longest_step[0]:
            self.longest_step = elapsed, event.name if isinstance(event, i.Timer) else type(event).__name__
            if elapsed > STALL_THRESHOLD_S:  # each is longer than all before it, so there are few lines
                log.warning("step.long", on=self.longest_step[1], ms=round(elapsed * 1000, 1))
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                self.counters["errors"] += 1
                log.exception("action.failed", action=type(action).__name__)

    def _execute(self, action: i.Action) -> None:
        match action:
            case i.Send(request_id, worker, timeout):
                self._start_attempt(self.pending[request_id], worker, timeout)
            case i.Cancel(request_id, number):
                self.attempt_runner.cancel(request_id, number)
            case i.Close(worker):
                self.attempt_runner.close_idle(worker)
            case i.Refuse(request_id, delay_s):
                self._finish(self.pending[request_id], Answer(AnswerKind.REFUSED, retry_after=delay_s))
            case i.Fail(request_id):
                self._finish(self.pending[request_id], Answer(AnswerKind.FAILED))
            case i.Wake(name, delay_s):
                timer_id, deadline = next(self._timer_ids), self.loop.time() + delay_s
                self._timers[timer_id] = self.loop.call_at(
                    deadline, self._timer_fired, timer_id, name, deadline
                )
            case i.Subscribe():
                pass  # discovery watches from the start, whatever the settings say

    def _start_attempt(self, pending: PendingRequest, worker: str, timeout: float) -> None:
        deadline = min(pending.deadline, self.clock.now() + timeout) if timeout > 0 else pending.deadline
        number, pending.attempts_started = pending.attempts_started, pending.attempts_started + 1
        pending.open_attempts[number] = worker
        self.counters["tries"] += 1
        try:
            self.attempt_runner.start(pending, number, worker, deadline)
        except Exception:  # the attempt may have run, and the Balancer waits for an outcome: report an error
            self.counters["errors"] += 1
            log.exception("try.not-started")
            self.attempt_ended(pending.id, number, i.Verdict.ERROR)

    def _timer_fired(self, timer_id: int, name: str, deadline: float) -> None:
        del self._timers[timer_id]
        delay = self.loop.time() - deadline
        if delay > STALL_THRESHOLD_S:
            self.counters["stalls"] += 1
            self.max_stall_s = max(self.max_stall_s, delay)
        self._enqueue(i.Timer(name))

    # Pending requests.

    def _finish(self, pending: PendingRequest, answer: Answer) -> None:
        self._answer(pending, answer)
        self._cancel_unsent(pending)

    def _answer(self, pending: PendingRequest, answer: Answer) -> None:
        client = pending.client
        if client is None:  # already answered by a hedged attempt, or the client left
            return
        self.counters[f"answer.{answer.kind.value}"] += 1
        self._detach_client(pending)
        client.answer(answer)
        self._discard_if_done(pending)

    def _detach_client(self, pending: PendingRequest) -> None:
        # No attempt is written from now on, and those that were may run for long.
        pending.client = pending.job = None
        if pending.deadline_timer is not None:
            pending.deadline_timer.cancel()
            pending.deadline_timer = None

    def _cancel_unsent(self, pending: PendingRequest) -> None:
        """Cancel the unsent attempts of a finished request, after its end was reported to the Balancer."""
        for number in sorted(pending.open_attempts) if pending.client is None else ():
            self.attempt_runner.cancel_unsent(pending.id, number)

    def _discard_if_done(self, pending: PendingRequest) -> None:
        if pending.client is None and not pending.open_attempts:
            self.pending.pop(pending.id, None)
            if self.sent_ids is not None and pending.is_remembered and not pending.may_have_run:
                self.sent_ids.forget(pending.id)
            pending.is_remembered = False

    def _set_deadline_timer(self, pending: PendingRequest) -> None:
        if pending.deadline_timer is not None:
            pending.deadline_timer.cancel()
        pending.deadline_timer = self.loop.call_at(pending.deadline, self._deadline_passed, pending)

    def _deadline_passed(self, pending: PendingRequest, grace_passed: bool = False) -> None:
        """Fail a request at its deadline.

        Attempts time out at the same moment. While some are open, the request gets TIMEOUT_GRACE_S more, so
        that the Balancer handles their outcomes first.
        """
        if pending.client is not None and (grace_passed or not pending.open_attempts):
            self.counters["guarded"] += 1
            log.error("request.guarded", id=pending.id)
            self._answer(pending, Answer(AnswerKind.FAILED))
            self._enqueue(i.ClientLeft(pending.id))
            self._cancel_unsent(pending)
        elif pending.client is not None:
            pending.deadline_timer = self.loop.call_later(
                TIMEOUT_GRACE_S, self._deadline_passed, pending, True
            )
