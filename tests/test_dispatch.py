"""The Dispatcher with a scripted Balancer: order of events, exactly one answer, and Balancer failures."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.net.dispatch import Answer, AnswerKind, Clock, Dispatcher, PendingRequest


class ScriptedBalancer:
    """Replaces the Balancer: returns scripted actions and records the events."""

    def __init__(self, reply: Callable[[i.Event], list[i.Action]]) -> None:
        self.reply, self.events, self.is_handling = reply, list[i.Event](), False

    def handle(self, event: i.Event, now: float) -> list[i.Action]:
        assert not self.is_handling, "handle() was called recursively"
        self.events.append(event)
        self.is_handling = True
        try:
            return self.reply(event)
        finally:
            self.is_handling = False


class FakeEndpoints:
    """Replaces the client side and the worker side; records answers and calls."""

    def __init__(self) -> None:
        self.answers: list[Answer] = []
        self.calls: list[tuple[Any, ...]] = []
        self.on_start: Callable[[PendingRequest, int], None] = lambda pending_request, number: None

    def answer(self, answer: Answer) -> None:
        self.answers.append(answer)

    def has_disconnected(self) -> bool:
        return False

    def start(self, pending_request: PendingRequest, number: int, worker: str, deadline: float) -> None:
        self.calls.append(("start", pending_request.id, number, worker))
        self.on_start(pending_request, number)

    def shorten_deadlines(self, deadline: float, request_id: str | None = None) -> None:
        self.calls.append(("shorten_deadlines", request_id))

    def cancel(self, request_id: str, number: int) -> None:
        self.calls.append(("cancel", request_id, number))

    def cancel_unsent(self, request_id: str, number: int) -> None:
        pass  # every attempt is sent at once here

    def close_idle(self, worker: str) -> None:
        self.calls.append(("close", worker))


def run(
    reply: Callable[[i.Event], list[i.Action]],
    play: Callable[[Dispatcher, FakeEndpoints], None],
    wait: float = 0.0,
) -> tuple[ScriptedBalancer, FakeEndpoints, Dispatcher]:
    """Run `play` on a new event loop; with `wait`, until every request is answered, so that timers fire."""

    async def on_loop() -> tuple[ScriptedBalancer, FakeEndpoints, Dispatcher]:
        balancer, endpoints = ScriptedBalancer(reply), FakeEndpoints()
        dispatcher = Dispatcher(cast(Balancer, balancer), asyncio.get_running_loop(), Clock(), endpoints)
        play(dispatcher, endpoints)
        deadline = dispatcher.loop.time() + 10.0
        while wait and dispatcher.unanswered and dispatcher.loop.time() < deadline:
            await asyncio.sleep(wait)
        dispatcher.close()
        return balancer, endpoints, dispatcher

    return asyncio.run(on_loop())


def pending_request(
    dispatcher: Dispatcher, endpoints: FakeEndpoints, name: str = "r", seconds: float = 5.0
) -> PendingRequest:
    return PendingRequest(name, 0, dispatcher.clock.now() + seconds, None, endpoints)


def test_events_caused_by_actions_wait_for_the_remaining_actions() -> None:
    def reply(event: i.Event) -> list[i.Action]:
        match event:
            case i.Arrival():
                return [i.Send("r", "w0"), i.Close("w0")]
            case i.Outcome():
                return [i.Refuse("r")]
        return []

    def play(dispatcher: Dispatcher, endpoints: FakeEndpoints) -> None:
        endpoints.on_start = lambda pending, number: dispatcher.attempt_ended(
            pending.id, number, i.Verdict.CONNECT_FAILED
        )
        assert dispatcher.submit(pending_request(dispatcher, endpoints))

    balancer, endpoints, dispatcher = run(reply, play)
    assert [type(event) for event in balancer.events] == [i.Arrival, i.Outcome]
    assert [call[0] for call in endpoints.calls] == ["start", "close"]
    assert [answer.kind for answer in endpoints.answers] == [AnswerKind.REFUSED]
    assert not dispatcher.pending


def test_first_result_is_the_answer_and_later_outcomes_are_marked_over() -> None:
    def play(dispatcher: Dispatcher, endpoints: FakeEndpoints) -> None:
        dispatcher.submit(pending_request(dispatcher, endpoints))
        dispatcher.attempt_ended("r", 1, i.Verdict.OK, b"first")
        assert not dispatcher.submit(pending_request(dispatcher, endpoints)), "a duplicate id is rejected"
        dispatcher.attempt_ended("r", 0, i.Verdict.OK, b"second")
        assert dispatcher.submit(pending_request(dispatcher, endpoints)), (
            "the id is free after the last attempt"
        )

    def reply(event: i.Event) -> list[i.Action]:
        return [i.Send("r", "w0"), i.Send("r", "w1")] if isinstance(event, i.Arrival) else []

    balancer, endpoints, _ = run(reply, play)
    assert endpoints.answers == [Answer(AnswerKind.SERVED, b"first")]
    assert [event.answered for event in balancer.events if isinstance(event, i.Outcome)] == [True, True]


def test_disconnected_client_gets_no_answer_and_its_attempt_is_followed() -> None:
    def play(dispatcher: Dispatcher, endpoints: FakeEndpoints) -> None:
        pending = pending_request(dispatcher, endpoints)
        dispatcher.submit(pending)
        dispatcher.client_left(pending)
        dispatcher.client_left(pending)
        dispatcher.attempt_ended("r", 0, i.Verdict.OK, b"late")

    balancer, endpoints, dispatcher = run(
        lambda event: [i.Send("r", "w0")] if isinstance(event, i.Arrival) else [], play
    )
    assert [type(event) for event in balancer.events] == [i.Arrival, i.ClientLeft, i.Outcome]
    assert not endpoints.answers and not dispatcher.pending


def test_clients_are_answered_when_the_balancer_fails_or_forgets() -> None:
    def reply(event: i.Event) -> list[i.Action]:
        if isinstance(event, i.Arrival) and event.request == "bad":
            raise ZeroDivisionError
        return []

    def play(dispatcher: Dispatcher, endpoints: FakeEndpoints) -> None:
        for name in ("bad", "forgotten"):
            dispatcher.submit(pending_request(dispatcher, endpoints, name, 0.03))

    _, endpoints, dispatcher = run(reply, play, wait=0.01)
    assert [answer.kind for answer in endpoints.answers] == [AnswerKind.FAILED] * 2
    assert dispatcher.counters["guarded"] == 2 and dispatcher.counters["errors"] == 1


def test_attempt_that_fails_to_start_has_one_outcome() -> None:
    def reply(event: i.Event) -> list[i.Action]:
        match event:
            case i.Arrival():
                return [i.Send("r", "w0")]
            case i.Outcome():
                return [i.Fail("r")]
        return []

    def play(dispatcher: Dispatcher, endpoints: FakeEndpoints) -> None:
        endpoints.on_start = lambda pending, number: [][0]
        dispatcher.submit(pending_request(dispatcher, endpoints))
        dispatcher.attempt_ended("r", 0, i.Verdict.OK, b"late")

    balancer, endpoints, dispatcher = run(reply, play)
    assert [event.verdict for event in balancer.events if isinstance(event, i.Outcome)] == [i.Verdict.ERROR]
    assert [answer.kind for answer in endpoints.answers] == [AnswerKind.FAILED] and not dispatcher.pending


def test_client_is_answered_when_its_attempt_never_ends() -> None:
    def play(dispatcher: Dispatcher, endpoints: FakeEndpoints) -> None:
        dispatcher.submit(pending_request(dispatcher, endpoints, seconds=0.03))

    send = i.Send("r", "w0")
    _, endpoints, _ = run(lambda event: [send] if isinstance(event, i.Arrival) else [], play, wait=0.01)
    assert [answer.kind for answer in endpoints.answers] == [AnswerKind.FAILED]


def test_timer_is_repeated_after_a_failure() -> None:
    ticks: list[i.Event] = []

    def reply(event: i.Event) -> list[i.Action]:
        if isinstance(event, i.Began):
            return [i.Wake("tick", 0.001)]
        if isinstance(event, i.Timer):
            ticks.append(event)
            if len(ticks) == 1:
                raise ZeroDivisionError
            return [i.Fail("r")]
        return []

    def play(dispatcher: Dispatcher, endpoints: FakeEndpoints) -> None:
        dispatcher.begin(())
        dispatcher.submit(pending_request(dispatcher, endpoints))

    _, endpoints, _ = run(reply, play, wait=0.005)
    assert len(ticks) == 2 and [answer.kind for answer in endpoints.answers] == [AnswerKind.FAILED]


def test_clock_converts_unix_time_consistently() -> None:
    clock = Clock()
    first = clock.at_unix_ms(1_700_000_000_123)
    assert all(clock.at_unix_ms(1_700_000_000_123) == first for _ in range(100))
    assert clock.at_unix_ms(0) is None


def test_longest_step_is_kept_with_its_event() -> None:
    """Compared with the longest stall, the longest step shows whether a process blocks in its own code or
    is starved of processor time."""
    clock_time = [100.0]

    def reply(event: i.Event) -> list[i.Action]:
        clock_time[0] += {"r1": 0.02, "r2": 0.08, "r3": 0.04}.get(getattr(event, "request", ""), 0.0)
        return []

    def play(dispatcher: Dispatcher, endpoints: FakeEndpoints) -> None:
        dispatcher.clock.now = lambda: clock_time[0]
        for name in ("r1", "r2", "r3"):
            dispatcher.submit(pending_request(dispatcher, endpoints, name))

    _, _, dispatcher = run(reply, play)
    seconds, cause = dispatcher.longest_step
    assert round(seconds, 6) == 0.08 and cause == "Arrival"
