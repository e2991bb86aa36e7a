"""The core of moving addresses, event by event: votes, terms, membership, plans."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickgw.address import events as e
from wickgw.address.group import Group
from wickgw.address.membership import Membership, State
from wickgw.address.messages import Ask, Beat, Deny, Grant, Message, View, Yield
from wickgw.address.plan import ranking
from wickgw.address.tenure import TABLE, Stage, Tenure, Turn, WrongTurn
from wickgw.address.votes import Voter
from wickgw.address.window import WIDTH, Window

MEMBERS = ("a", "b", "c")
BOUND, HELD = 1.01, 0.99


class Instance:
    """One `Group` driven by hand."""

    def __init__(self, me: str = "a", kept: tuple[e.Kept, ...] | None = (), **more: Any) -> None:
        self.now, self.said, self.all = 100.0, list[e.Action](), list[e.Action]()
        self.core = Group(e.Settings(me, MEMBERS, (e.Place("east"),), **more))
        self.feed(e.Began(1_000, kept))
        self.feed(e.Able(True))

    def feed(self, event: e.Event) -> list[e.Action]:
        self.said = self.core.handle(event, self.now)
        self.all += self.said
        return self.said

    def hear(self, sender: str, message: Message, boot: int = 500) -> list[e.Action]:
        return self.feed(e.Heard(sender, boot, message))

    def beat(self, *senders: str) -> None:
        for sender in senders:
            self.hear(sender, Beat(0, (), (), (), ()))

    def wait(self, seconds: float, *beating: str) -> list[e.Action]:
        """Let time pass in steps, with beats of others; returns all that was said."""
        end, before = self.now + seconds, len(self.all)
        while self.now < end:
            self.now = min(end, self.now + 0.05)
            self.beat(*beating)
            self.feed(e.Tick())
        return self.all[before:]

    def told(self, kind: type, said: list[e.Action] | None = None) -> list[Any]:
        said = self.said if said is None else said
        return [a.message for a in said if isinstance(a, e.Tell) and isinstance(a.message, kind)]

    def win(self) -> int:
        """Be the holder; returns the term."""
        self.wait(0.3, "b", "c")
        ask = self.told(Ask, self.all)[-1]
        self.hear("b", Grant("east", ask.term, ask.round, 1_000))
        self.feed(e.Announced("east", ask.term, True))
        assert self.tenure.stage is Stage.HELD
        return int(ask.term)

    @property
    def tenure(self) -> Tenure:
        return self.core.tenures["east"]


def test_one_vote_a_term_and_terms_only_grow() -> None:
    voter = Voter(BOUND)
    assert voter.ask("east", "a", 5, 0.0)
    assert not voter.ask("east", "b", 5, 0.1), "two votes in a term"
    assert not voter.ask("east", "b", 6, 0.1), "the vote still runs"
    assert voter.ask("east", "a", 5, 0.5), "the holder renews its own"
    assert not voter.ask("east", "b", 6, 1.4)
    assert voter.ask("east", "b", 6, 0.5 + BOUND)
    assert not voter.ask("east", "a", 5, 9.0), "a term that is over comes back"


def test_only_the_holder_ends_its_vote_and_never_takes_the_term_up_again() -> None:
    voter = Voter(BOUND)
    voter.ask("east", "a", 5, 0.0)
    voter.let_go("east", 5, "b")
    voter.let_go("east", 4, "a")
    assert not voter.ask("east", "b", 6, 0.1)
    voter.let_go("east", 5, "a")
    assert not voter.ask("east", "a", 5, 0.1), "a late asking revives what was let go"
    assert voter.ask("east", "b", 6, 0.1)


def test_voter_without_memory_is_quiet_for_a_whole_lease() -> None:
    voter = Voter(BOUND)
    voter.began(None, 10.0)
    assert not voter.ask("east", "a", 5, 10.0 + BOUND - 0.001)
    assert voter.ask("east", "a", 5, 10.0 + BOUND)


def test_voter_with_a_state_file_votes_at_once_but_for_the_holder_only() -> None:
    voter = Voter(BOUND)
    voter.began((e.Kept("east", 5, "a", False), e.Kept("west", 3, "b", True)), 10.0)
    assert voter.ask("east", "a", 5, 10.0)
    assert not voter.ask("east", "b", 6, 10.5)
    assert voter.ask("west", "c", 4, 10.0)


@settings(derandomize=True, max_examples=300)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["ask", "ask", "ask", "go", "restart", "wait"]),
            st.sampled_from("abc"),
            st.integers(1, 4),
            st.floats(0, 0.7),
        ),
        max_size=40,
    )
)
def test_votes_that_bind_never_bind_to_two(steps: list[tuple[str, str, int, float]]) -> None:
    """Whatever comes: while one holder may count on this voter, no other is granted anything."""
    voter, now = Voter(BOUND), 0.0
    counting: dict[str, float] = {}
    for kind, who, term, wait in steps:
        now += wait
        if kind == "ask" and voter.ask("east", who, term, now):
            others = [h for h, until in counting.items() if h != who and until > now]
            assert not others, f"{who} and {others}"
            counting[who] = now + HELD  # it asked at the latest now
        elif kind == "go" and (vote := voter.votes.get("east")) is not None and vote.holder == who:
            voter.let_go("east", vote.term, who)
            counting.pop(who, None)
        elif kind == "restart":
            voter = Voter(BOUND)
            voter.began(None, now)


@pytest.mark.parametrize("stage", Stage)
@pytest.mark.parametrize("turn", Turn)
def test_what_the_table_does_not_name_is_an_error(stage: Stage, turn: Turn) -> None:
    tenure = Tenure("east", stage)
    if (stage, turn) in TABLE:
        tenure.turn(turn, 0.0)
        assert tenure.stage is TABLE[stage, turn]
    else:
        with pytest.raises(WrongTurn, match=f"{turn.value} while {stage.value}"):
            tenure.turn(turn, 0.0)


def test_lease_counts_from_before_the_asking_however_late_the_grant() -> None:
    instance = Instance()
    ask = instance.told(Ask, instance.wait(0.3, "b", "c"))[-1]
    asked, instance.now = instance.tenure.asked[ask.round], instance.now + 0.02
    said = instance.hear("b", Grant("east", ask.term, ask.round, 1_000))
    (announce,) = [a for a in said if isinstance(a, e.Announce)]
    assert announce.until == pytest.approx(asked + HELD) and announce.until < instance.now + HELD


def test_grant_to_an_earlier_life_or_term_counts_for_nothing() -> None:
    instance = Instance()
    ask = instance.told(Ask, instance.wait(0.3, "b", "c"))[-1]
    instance.hear("b", Grant("east", ask.term, ask.round, 999))
    instance.hear("b", Grant("east", ask.term - 1, ask.round, 1_000))
    assert instance.tenure.stage is Stage.ASKING and instance.core.counted["stale answer"] == 2


def test_holder_that_wakes_after_its_lease_cuts_before_it_listens_to_anything() -> None:
    instance = Instance()
    term = instance.win()
    instance.now += 3.0
    said = instance.hear("b", Grant("east", term, instance.tenure.round, 1_000))
    assert e.Cut("east", term) in said and instance.tenure.stage is Stage.CLEARING
    assert not any(isinstance(a, e.Extend) for a in said), "a grant revived a lease that was over"


def test_lease_that_is_not_renewed_gets_a_last_call_and_ends() -> None:
    instance = Instance()
    term = instance.win()
    said = instance.wait(1.1, "b", "c")
    calls = [a for a in said if isinstance(a, e.LastCall)]
    assert len(calls) == 1 and calls[0].until == instance.tenure.until
    assert e.Cut("east", term) in said


def test_planned_move_says_yield_only_when_nothing_is_taken_any_more() -> None:
    instance = Instance()
    term = instance.win()
    said = instance.feed(e.Resign())
    assert e.Retire("east", term) in said and not instance.told(Yield)
    instance.now += 0.02
    instance.feed(e.Withdrawn("east", term))
    assert {m.to for m in instance.told(Yield)} <= {"b", "c"}
    assert instance.tenure.stage is Stage.FREE
    assert not instance.told(Ask, instance.wait(2.0, "b", "c")), "one that ends asks again"


def test_successor_vouches_for_the_yield_that_others_have_not_heard() -> None:
    voter = Instance("c")
    voter.hear("a", Ask("east", 7, 1))
    voter.hear("b", Ask("east", 8, 1))
    assert voter.told(Deny)
    voter.hear("b", Ask("east", 8, 2, over=7))
    assert voter.told(Grant)


def test_loser_of_an_election_frees_its_voters_at_once() -> None:
    instance = Instance()
    ask = instance.told(Ask, instance.wait(0.3, "b", "c"))[-1]
    for voter in ("b", "c"):
        instance.hear(voter, Deny("east", ask.term, ask.round, 1_000, ask.term + 4, 10))
    assert instance.told(Yield) and instance.tenure.stage is Stage.FREE
    again = instance.told(Ask, instance.wait(0.5, "b", "c"))
    assert again and again[0].term > ask.term + 4, "terms only grow"


def test_below_a_majority_nobody_asks_and_the_status_says_why() -> None:
    instance = Instance()
    said = instance.wait(3.0)
    assert not instance.told(Ask, said)
    why = instance.core.status(instance.now)["addresses"]["east"]["why"]
    assert why == "no majority: 1 of 3 heard, 2 needed"
    assert any(isinstance(a, e.Note) and a.event == "group.no-majority" for a in instance.all)


def test_announcer_that_fails_means_not_held_and_a_longer_pause_each_time() -> None:
    instance, pauses = Instance(), list[float]()
    while len(pauses) < 3:
        before = len(instance.all)
        while instance.tenure.stage is not Stage.ASKING:
            instance.wait(0.05, "b", "c")
            assert instance.now < 200.0
        term = instance.told(Ask, instance.all[before:])[-1].term
        instance.hear("b", Grant("east", term, instance.tenure.round, 1_000))
        instance.feed(e.Announced("east", term, False, "in use"))
        notes = [a for a in instance.said if isinstance(a, e.Note) and a.event == "announce.failed"]
        pauses.append(notes[0].fields["pause_s"])
        instance.feed(e.Withdrawn("east", term))
        assert "in use" in instance.core.status(instance.now)["addresses"]["east"]["why"]
    assert pauses == [1.0, 2.0, 4.0]


def test_move_back_waits_for_the_hold_down_and_a_flapping_instance_never_gets_it() -> None:
    instance = Instance(hold_down=2.0)
    instance.core.set = e.Settings("a", MEMBERS, (e.Place("east", ("b",)),), hold_down=2.0)
    while instance.tenure.stage is not Stage.ASKING:
        instance.wait(0.05, "c")
    instance.hear("c", Grant("east", instance.tenure.term, instance.tenure.round, 1_000))
    instance.feed(e.Announced("east", instance.tenure.term, True))

    def renew(seconds: float, *beating: str) -> list[e.Action]:
        said, end = list[e.Action](), instance.now + seconds
        while instance.now < end:
            said += instance.wait(0.05, *beating)
            said += instance.hear("c", Grant("east", instance.tenure.term, instance.tenure.round, 1_000))
        return said

    for _ in range(5):  # comes and goes
        assert not [a for a in renew(1.5, "b", "c") if isinstance(a, e.Retire)]
        assert not [a for a in renew(1.0, "c") if isinstance(a, e.Retire)]
    said = renew(2.5, "b", "c")
    assert [a for a in said if isinstance(a, e.Retire)] and instance.tenure.successor == "b"


def test_suspicion_is_refuted_by_a_higher_incarnation_carried_by_a_third() -> None:
    beat, now = Beat(0, (), (), (), ()), 10.0
    b, a = Membership("b", MEMBERS, 0.1), Membership("a", MEMBERS, 0.1)
    a.boot = 7
    b.heard("a", 7, beat, now)
    assert [c.new for c in b.tick(now + 0.4)] == [State.SUSPECTED]
    old = Beat(0, (), (), (View("a", 7, 0, int(State.ALIVE), 0),), ())
    assert not [c for c in b.heard("c", 9, old, now + 0.4) if c.member == "a"], "an old rumour revives"
    a.heard("b", 8, Beat(0, (), (), b.views(now + 0.4), ()), now + 0.4)
    assert (a.count, a.refuted) == (1, 1)
    new = Beat(0, (), (), (View("a", 7, a.count, int(State.ALIVE), 5),), ())
    changes = b.heard("c", 9, new, now + 0.5)
    assert [(c.member, c.new) for c in changes if c.member == "a"] == [("a", State.ALIVE)]
    assert "a" not in b.near(now + 0.5), "what others hear is not heard here"
    assert [c.new for c in b.tick(now + 2)].count(State.DEAD) == 2


def test_beat_of_an_earlier_life_says_nothing() -> None:
    b = Membership("b", MEMBERS, 0.1)
    b.heard("a", 7, Beat(3, (), (), (), ()), 10.0)
    assert not b.heard("a", 6, Beat(9, (), ("east",), (), ()), 11.0)
    assert b.others["a"].direct == 10.0


def test_plan_prefers_then_spreads_and_does_not_move_without_need() -> None:
    places = tuple(e.Place(n, p) for n, p in (("p", ("b",)), ("q", ()), ("r", ())))
    everybody = {p.name: {"a", "b", "c"} for p in places}
    orders = ranking(places, MEMBERS, everybody, {})
    assert orders["p"][0] == "b" and {orders[n][0] for n in "pqr"} == {"a", "b", "c"}
    without = {p.name: {"a", "c"} for p in places}
    moved = ranking(places, MEMBERS, without, {"p": "b", "q": "a", "r": "c"})
    assert moved["q"][0] == "a" and moved["r"][0] == "c" and moved["p"][0] in "ac"
    piled = ranking(places, MEMBERS, everybody, dict.fromkeys("pqr", "a"))
    assert piled["p"][0] == "b" and piled["q"][0] == "a" and piled["r"][0] == "c"
    assert ranking(places, MEMBERS, {n: set() for n in "pqr"}, {})["p"] == ()


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 2 * WIDTH)), max_size=200))
def test_window_takes_nothing_twice_and_nothing_of_an_earlier_life(packets: list[tuple[int, int]]) -> None:
    window, taken, newest = Window(), set(), 0
    for boot, number in packets:
        if window.accept(boot, number):
            assert (boot, number) not in taken and boot >= newest
            taken.add((boot, number))
            newest = max(newest, boot)
        elif boot == newest and (boot, number) not in taken:
            assert number <= window.highest - WIDTH, "a late one inside of the window is refused"
