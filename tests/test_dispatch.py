"""The dispatcher round a Balancer: order, one answer, and what holds when the Balancer fails."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.net.dispatch import Answer, AnswerKind, Clock, Dispatcher, PendingRequest


class Script:
    """Stands in for the Balancer: says what it is told to, and keeps what it heard."""

    def __init__(self, reply: Callable[[i.Event], list[i.Action]]) -> None:
        self.reply, self.heard, self.busy = reply, list[i.Event](), False

    def handle(self, event: i.Event, now: float) -> list[i.Action]:
        assert not self.busy, "re-entered"
        self.heard.append(event)
        self.busy = True
        try:
            return self.reply(event)
        finally:
            self.busy = False


class Sides:
    """Stands in for clients and peers."""

    def __init__(self) -> None:
        self.answers: list[Answer] = []
        self.done: list[tuple[Any, ...]] = []
        self.on_start: Callable[[PendingRequest, int], None] = lambda context, number: None

    def answer(self, answer: Answer) -> None:
        self.answers.append(answer)

    def has_left(self) -> bool:
        return False

    def start(self, context: PendingRequest, number: int, worker: str, until: float) -> None:
        self.done.append(("start", context.id, number, worker))
        self.on_start(context, number)

    def hurry(self, until: float, request: str | None = None) -> None:
        self.done.append(("hurry", request))

    def cancel(self, request: str, number: int) -> None:
        self.done.append(("cancel", request, number))

    def withdraw(self, request: str, number: int) -> None:
        pass  # all are written at once here

    def close_idle(self, worker: str) -> None:
        self.done.append(("close", worker))


def run(
    reply: Callable[[i.Event], list[i.Action]], play: Callable[[Dispatcher, Sides], None], wait: float = 0.0
) -> tuple[Script, Sides, Dispatcher]:
    """Play once on a loop of its own; `wait` lets timers of the play come."""

    async def on_loop() -> tuple[Script, Sides, Dispatcher]:
        script, sides = Script(reply), Sides()
        dispatcher = Dispatcher(cast(Balancer, script), asyncio.get_running_loop(), Clock(), sides)
        play(dispatcher, sides)
        deadline = dispatcher.loop.time() + 10.0
        while wait and dispatcher.owed and dispatcher.loop.time() < deadline:
            await asyncio.sleep(wait)
        dispatcher.close()
        return script, sides, dispatcher

    return asyncio.run(on_loop())


def context(dispatcher: Dispatcher, sides: Sides, name: str = "r", seconds: float = 5.0) -> PendingRequest:
    return PendingRequest(name, 0, dispatcher.clock.now() + seconds, None, sides)


def test_events_that_arise_while_actions_run_wait_for_them() -> None:
    def reply(event: i.Event) -> list[i.Action]:
        match event:
            case i.Arrival():
                return [i.Send("r", "w0"), i.Close("w0")]
            case i.Outcome():
                return [i.Refuse("r")]
        return []

    def play(dispatcher: Dispatcher, sides: Sides) -> None:
        sides.on_start = lambda c, n: dispatcher.ended(c.id, n, i.Verdict.CONNECT_FAILED)
        assert dispatcher.take(context(dispatcher, sides))

    script, sides, dispatcher = run(reply, play)
    assert [type(e) for e in script.heard] == [i.Arrival, i.Outcome]
    assert [d[0] for d in sides.done] == ["start", "close"]
    assert [a.kind for a in sides.answers] == [AnswerKind.REFUSED]
    assert not dispatcher.pending


def test_first_result_is_the_answer_and_later_ends_are_told_as_over() -> None:
    def play(dispatcher: Dispatcher, sides: Sides) -> None:
        dispatcher.take(context(dispatcher, sides))
        dispatcher.ended("r", 1, i.Verdict.OK, b"first")
        assert not dispatcher.take(context(dispatcher, sides)), "an id in use"
        dispatcher.ended("r", 0, i.Verdict.OK, b"second")
        assert dispatcher.take(context(dispatcher, sides)), "forgotten with its last try"

    def reply(event: i.Event) -> list[i.Action]:
        return [i.Send("r", "w0"), i.Send("r", "w1")] if isinstance(event, i.Arrival) else []

    script, sides, _ = run(reply, play)
    assert sides.answers == [Answer(AnswerKind.SERVED, b"first")]
    assert [e.over for e in script.heard if isinstance(e, i.Outcome)] == [True, True]


def test_client_that_left_gets_nothing_and_its_try_is_followed() -> None:
    def play(dispatcher: Dispatcher, sides: Sides) -> None:
        c = context(dispatcher, sides)
        dispatcher.take(c)
        dispatcher.left(c)
        dispatcher.left(c)
        dispatcher.ended("r", 0, i.Verdict.OK, b"late")

    script, sides, dispatcher = run(lambda e: [i.Send("r", "w0")] if isinstance(e, i.Arrival) else [], play)
    assert [type(e) for e in script.heard] == [i.Arrival, i.ClientLeft, i.Outcome]
    assert not sides.answers and not dispatcher.pending


def test_balancer_that_fails_or_forgets_costs_no_client_its_answer() -> None:
    def reply(event: i.Event) -> list[i.Action]:
        if isinstance(event, i.Arrival) and event.request == "bad":
            raise ZeroDivisionError
        return []

    def play(dispatcher: Dispatcher, sides: Sides) -> None:
        for name in ("bad", "forgotten"):
            dispatcher.take(context(dispatcher, sides, name, 0.03))

    _, sides, dispatcher = run(reply, play, wait=0.01)
    assert [a.kind for a in sides.answers] == [AnswerKind.FAILED] * 2
    assert dispatcher.counters["guarded"] == 2 and dispatcher.counters["errors"] == 1


def test_try_that_can_not_be_started_still_has_one_outcome() -> None:
    def reply(event: i.Event) -> list[i.Action]:
        match event:
            case i.Arrival():
                return [i.Send("r", "w0")]
            case i.Outcome():
                return [i.Fail("r")]
        return []

    def play(dispatcher: Dispatcher, sides: Sides) -> None:
        sides.on_start = lambda c, n: [][0]
        dispatcher.take(context(dispatcher, sides))
        dispatcher.ended("r", 0, i.Verdict.OK, b"late")

    script, sides, dispatcher = run(reply, play)
    assert [e.verdict for e in script.heard if isinstance(e, i.Outcome)] == [i.Verdict.ERROR]
    assert [a.kind for a in sides.answers] == [AnswerKind.FAILED] and not dispatcher.pending


def test_try_whose_end_never_comes_costs_no_client_its_answer() -> None:
    def play(dispatcher: Dispatcher, sides: Sides) -> None:
        dispatcher.take(context(dispatcher, sides, seconds=0.03))

    send = i.Send("r", "w0")
    _, sides, _ = run(lambda e: [send] if isinstance(e, i.Arrival) else [], play, wait=0.01)
    assert [a.kind for a in sides.answers] == [AnswerKind.FAILED]


def test_tick_survives_a_failure() -> None:
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

    def play(dispatcher: Dispatcher, sides: Sides) -> None:
        dispatcher.begin(())
        dispatcher.take(context(dispatcher, sides))

    _, sides, _ = run(reply, play, wait=0.005)
    assert len(ticks) == 2 and [a.kind for a in sides.answers] == [AnswerKind.FAILED]


def test_clock_places_a_start_time_at_the_same_moment_each_time() -> None:
    clock = Clock()
    first = clock.at_unix_ms(1_700_000_000_123)
    assert all(clock.at_unix_ms(1_700_000_000_123) == first for _ in range(100))
    assert clock.at_unix_ms(0) is None


def test_longest_step_of_the_decisions_is_kept_with_what_it_was_on() -> None:
    """Beside the longest stall it tells one that stands still in its own code from one that is starved."""
    turned = [100.0]

    def reply(event: i.Event) -> list[i.Action]:
        turned[0] += {"r1": 0.02, "r2": 0.08, "r3": 0.04}.get(getattr(event, "request", ""), 0.0)
        return []

    def play(dispatcher: Dispatcher, sides: Sides) -> None:
        dispatcher.clock.now = lambda: turned[0]
        for name in ("r1", "r2", "r3"):
            dispatcher.take(context(dispatcher, sides, name))

    _, _, dispatcher = run(reply, play)
    seconds, on = dispatcher.longest
    assert round(seconds, 6) == 0.08 and on == "Arrival"
