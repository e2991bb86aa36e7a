"""The address coordinator and its parts, event by event: votes, terms, leases, membership, ranking."""

from typing import Any

import annotated_types
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickgw.address import events
from wickgw.address.coordinator import Coordinator
from wickgw.address.lease import TRANSITIONS, AddressLease, InvalidTransitionError, Stage, Trigger
from wickgw.address.membership import Membership, MemberState
from wickgw.address.messages import MAX_LEASE_MS, MIN_LEASE_MS, Ask, Beat, Deny, Grant, Message, View, Yield
from wickgw.address.plan import rank_instances
from wickgw.address.replay_window import WINDOW_DATAGRAMS, ReplayWindow
from wickgw.address.votes import Voter
from wickgw.config.schema import AddressSettings

MEMBERS = ("a", "b", "c")
LEASE_MS, CLOCK_DRIFT = 1000, 0.01
VOTER_LEASE_S, HOLDER_LEASE_S = 1.01, 0.99
LONGEST_VOTER_LEASE_S = 1.515


class Instance:
    """One `Coordinator` with a clock that the test sets. Records the actions of the last event and of all."""

    def __init__(
        self,
        name: str = "a",
        stored_votes: tuple[events.StoredVote, ...] | None = (),
        **more_settings: Any,
    ) -> None:
        self.now, self.actions, self.all_actions = 100.0, list[events.Action](), list[events.Action]()
        self.coordinator = Coordinator(
            events.Settings(name, MEMBERS, (events.ServiceAddress("east"),), **more_settings)
        )
        self.handle(events.Started(1_000, stored_votes))
        self.handle(events.ReadinessChanged(True))

    def handle(self, event: events.Event) -> list[events.Action]:
        self.actions = self.coordinator.handle(event, self.now)
        self.all_actions += self.actions
        return self.actions

    def receive(self, sender: str, message: Message, boot: int = 500) -> list[events.Action]:
        return self.handle(events.MessageReceived(sender, boot, message))

    def receive_heartbeats(self, *senders: str) -> None:
        for sender in senders:
            self.receive(sender, Beat(0, (), (), (), ()))

    def wait(self, seconds: float, *heartbeat_senders: str) -> list[events.Action]:
        """Let time pass in steps, with heartbeats of these instances. Returns all actions."""
        end, count_before = self.now + seconds, len(self.all_actions)
        while self.now < end:
            self.now = min(end, self.now + 0.05)
            self.receive_heartbeats(*heartbeat_senders)
            self.handle(events.Tick())
        return self.all_actions[count_before:]

    def sent(self, kind: type, actions: list[events.Action] | None = None) -> list[Any]:
        """Return the messages of a kind that `actions` send; by default the actions of the last event."""
        actions = self.actions if actions is None else actions
        return [
            action.message
            for action in actions
            if isinstance(action, events.SendMessage) and isinstance(action.message, kind)
        ]

    def win(self) -> int:
        """Make the instance the holder. Returns the term."""
        self.wait(0.3, "b", "c")
        ask = self.sent(Ask, self.all_actions)[-1]
        self.receive("b", Grant("east", ask.term, ask.round, 1_000, LEASE_MS))
        self.handle(events.AnnounceCompleted("east", ask.term, True))
        assert self.lease.stage is Stage.HELD
        return int(ask.term)

    @property
    def lease(self) -> AddressLease:
        return self.coordinator.leases["east"]


def test_voter_gives_one_vote_per_term_and_terms_only_grow() -> None:
    voter = Voter(CLOCK_DRIFT)
    assert voter.request_vote("east", "a", 5, LEASE_MS, 0.0)
    assert not voter.request_vote("east", "b", 5, LEASE_MS, 0.1), "two votes in a term"
    assert not voter.request_vote("east", "b", 6, LEASE_MS, 0.1), "the vote is still binding"
    assert voter.request_vote("east", "a", 5, LEASE_MS, 0.5), "the holder renews its own"
    assert not voter.request_vote("east", "b", 6, LEASE_MS, 1.4)
    assert voter.request_vote("east", "b", 6, LEASE_MS, 0.5 + VOTER_LEASE_S)
    assert not voter.request_vote("east", "a", 5, LEASE_MS, 9.0), "a vote for a past term"


def test_only_the_holder_releases_its_vote_and_a_released_term_is_not_renewed() -> None:
    voter = Voter(CLOCK_DRIFT)
    voter.request_vote("east", "a", 5, LEASE_MS, 0.0)
    voter.release("east", 5, "b")
    voter.release("east", 4, "a")
    assert not voter.request_vote("east", "b", 6, LEASE_MS, 0.1)
    voter.release("east", 5, "a")
    assert not voter.request_vote("east", "a", 5, LEASE_MS, 0.1), "a late request renewed a released vote"
    assert voter.request_vote("east", "b", 6, LEASE_MS, 0.1)


def test_voter_without_stored_votes_does_not_vote_for_the_longest_lease() -> None:
    voter = Voter(CLOCK_DRIFT)
    voter.restore(None, 10.0)
    assert not voter.request_vote("east", "a", 5, LEASE_MS, 10.0 + LONGEST_VOTER_LEASE_S - 0.001)
    assert voter.request_vote("east", "a", 5, LEASE_MS, 10.0 + LONGEST_VOTER_LEASE_S)


def test_voter_with_stored_votes_votes_at_once_but_only_for_the_holder() -> None:
    voter = Voter(CLOCK_DRIFT)
    voter.restore((events.StoredVote("east", 5, "a", False), events.StoredVote("west", 3, "b", True)), 10.0)
    assert voter.request_vote("east", "a", 5, LEASE_MS, 10.0)
    assert not voter.request_vote("east", "b", 6, LEASE_MS, 10.5)
    assert voter.request_vote("west", "c", 4, LEASE_MS, 10.0)


@settings(derandomize=True, max_examples=300)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["ask", "ask", "ask", "go", "restart", "wait"]),
            st.sampled_from("abc"),
            st.integers(1, 4),
            st.floats(0, 0.7),
            st.sampled_from([300, 1000, 1500]),
        ),
        max_size=40,
    )
)
def test_votes_never_bind_to_two_holders(steps: list[tuple[str, str, int, float, int]]) -> None:
    """After any sequence of requests, releases and restarts, with votes of any duration: while a holder may
    rely on this voter, no other instance is granted a vote."""
    voter, now = Voter(CLOCK_DRIFT), 0.0
    relied_on_until: dict[str, float] = {}
    for kind, instance, term, wait_s, lease_ms in steps:
        now += wait_s
        if kind == "ask" and voter.request_vote("east", instance, term, lease_ms, now):
            others = [other for other, until in relied_on_until.items() if other != instance and until > now]
            assert not others, f"{instance} and {others}"
            # It sent the request now or earlier, and may still rely on an earlier vote.
            lease_end = now + lease_ms / 1000 * (1 - CLOCK_DRIFT)
            relied_on_until[instance] = max(lease_end, relied_on_until.get(instance, 0.0))
        elif kind == "go" and (vote := voter.votes.get("east")) is not None and vote.holder == instance:
            voter.release("east", vote.term, instance)
            relied_on_until.pop(instance, None)
        elif kind == "restart":
            voter = Voter(CLOCK_DRIFT)
            voter.restore(None, now)


# Instances whose settings or versions differ, as while an operator restarts one after the other.


@pytest.mark.parametrize("own_s, asked_ms", [(0.3, 1500), (1.5, 300), (1.0, 1500), (1.0, 1000)])
def test_vote_binds_for_as_long_as_its_asker_relies_on_it(own_s: float, asked_ms: int) -> None:
    """Guards against voters that were free while a holder with a longer lease counted on them: two instances
    served one address while `lease_ms` was raised (docs/incidents/47-2)."""
    instance, bound_s = Instance("c", lease_s=own_s), asked_ms / 1000 * (1 + CLOCK_DRIFT)
    instance.receive("a", Ask("east", 2_000, 1, 0, asked_ms))
    assert instance.sent(Grant) == [Grant("east", 2_000, 1, 500, asked_ms)]
    instance.now += bound_s - 0.001
    instance.receive("b", Ask("east", 3_000, 1, 0, asked_ms))
    assert instance.sent(Deny) and not instance.sent(Grant)
    instance.now += 0.002
    instance.receive("b", Ask("east", 3_001, 1, 0, asked_ms))
    assert instance.sent(Grant)


def test_vote_for_an_asker_that_tells_no_lease_binds_for_the_longest() -> None:
    """Guards against a holder of an earlier version with a longer lease than ours (docs/incidents/47-2)."""
    instance = Instance("c", lease_s=0.3)
    instance.receive("a", Ask("east", 2_000, 1))
    assert instance.sent(Grant)
    instance.now += LONGEST_VOTER_LEASE_S - 0.001
    instance.receive("b", Ask("east", 3_000, 1))
    assert not instance.sent(Grant)


@pytest.mark.parametrize(
    "granted_ms, lease_s",
    [
        ((300,), 0.297),  # the voter binds itself for less than was asked
        ((0,), 0.297),  # an earlier version, which does not say: the shortest that it may be set to
        ((300, 1000), 0.99),  # of three voters the two that are bound for longest are a majority
        ((0, 0), 0.297),
        ((1500,), 0.99),
    ],
)
def test_holder_relies_on_votes_for_no_longer_than_a_majority_is_bound(
    granted_ms: tuple[int, ...], lease_s: float
) -> None:
    """Guards against a holder that counts a voter's lease from its own settings (docs/incidents/47-2)."""
    instance = Instance()
    instance.wait(0.3, "b", "c")
    ask = instance.sent(Ask, instance.all_actions)[-1]
    assert ask.lease_ms == LEASE_MS
    asked_at = instance.lease.asked_at[ask.round]
    for voter, lease_ms in zip("bc", granted_ms, strict=False):
        instance.receive(voter, Grant("east", ask.term, ask.round, 1_000, lease_ms))
    assert instance.lease.expires_at == pytest.approx(asked_at + lease_s)


def test_holder_with_short_votes_renews_them_in_time() -> None:
    """Guards against a holder that asks for renewals by its own lease when its voters' votes are shorter."""
    instance = Instance()
    instance.wait(0.3, "b", "c")
    ask = instance.sent(Ask, instance.all_actions)[-1]
    instance.receive("b", Grant("east", ask.term, ask.round, 1_000, 300))
    instance.handle(events.AnnounceCompleted("east", ask.term, True))
    for _ in range(40):
        for ask in instance.sent(Ask, instance.wait(0.05, "b", "c"))[::2]:  # one to each of b and c
            instance.receive("b", Grant("east", ask.term, ask.round, 1_000, 300))
    assert instance.lease.stage is Stage.HELD


def test_renewal_does_not_shorten_a_vote_that_its_holder_relies_on() -> None:
    voter = Voter(CLOCK_DRIFT)
    assert voter.request_vote("east", "a", 5, 1500, 0.0)
    assert voter.request_vote("east", "a", 5, 300, 0.1)
    assert not voter.request_vote("east", "b", 6, 300, 1.5)
    assert voter.stored_votes()[0].lease_ms == 1500


@pytest.mark.parametrize("stored_ms, bound_s", [(300, 0.303), (1500, 1.515), (None, 1.515)])
def test_stored_vote_binds_for_its_own_lease(stored_ms: int | None, bound_s: float) -> None:
    """Guards against a voter restarted with a shorter `lease_ms`; earlier versions stored none."""
    more = () if stored_ms is None else (stored_ms,)
    instance = Instance("c", (events.StoredVote("east", 5, "a", False, *more),), lease_s=0.3)
    instance.now += bound_s - 0.001
    instance.receive("b", Ask("east", 3_000, 1, 0, 300))
    assert not instance.sent(Grant)
    instance.now += 0.002
    instance.receive("b", Ask("east", 3_001, 1, 0, 300))
    assert instance.sent(Grant)


def test_ending_instance_gives_short_votes_and_then_none_until_all_have_ended() -> None:
    """Guards against a vote that outlives its process and is forgotten by the next, of whatever version."""
    instance = Instance("c")
    instance.handle(events.Resign())
    instance.receive("b", Ask("east", 2_000, 1))
    assert instance.sent(Deny), "an asker that tells no lease would rely on it for longer"
    instance.receive("a", Ask("east", 3_000, 1, 0, 1500))
    assert instance.sent(Grant) == [Grant("east", 3_000, 1, 500, 300)]
    voter = instance.coordinator.voter
    assert voter.bound_for(instance.now) == pytest.approx(0.303)
    instance.handle(events.VotingStopped())
    instance.receive("a", Ask("east", 3_000, 2, 0, 1500))
    assert instance.sent(Deny)
    instance.now += 0.304
    assert voter.bound_for(instance.now) == 0


def test_bounds_of_the_setting_are_those_of_the_protocol() -> None:
    constraints = AddressSettings.model_fields["lease_ms"].metadata
    assert constraints == [annotated_types.Ge(MIN_LEASE_MS), annotated_types.Le(MAX_LEASE_MS)]


def test_difference_is_logged_once_for_each_change() -> None:
    instance = Instance("c")
    for asked_ms in (1000, 1500, 1500, 0, 1000):
        instance.receive("a", Ask("east", 2_000, 1, 0, asked_ms))
    differences = [
        action.fields["theirs_ms"]
        for action in instance.all_actions
        if isinstance(action, events.LogEvent) and action.name == "group.lease-differs"
    ]
    assert differences == [1500, "not told: an earlier version"]


@pytest.mark.parametrize("stage", Stage)
@pytest.mark.parametrize("trigger", Trigger)
def test_transition_that_is_not_in_the_table_is_an_error(stage: Stage, trigger: Trigger) -> None:
    lease = AddressLease("east", stage)
    if (stage, trigger) in TRANSITIONS:
        lease.transition(trigger, 0.0)
        assert lease.stage is TRANSITIONS[stage, trigger]
    else:
        with pytest.raises(InvalidTransitionError, match=f"{trigger.value} while {stage.value}"):
            lease.transition(trigger, 0.0)


def test_lease_is_counted_from_before_the_request_however_late_the_grant() -> None:
    instance = Instance()
    ask = instance.sent(Ask, instance.wait(0.3, "b", "c"))[-1]
    asked_at, instance.now = instance.lease.asked_at[ask.round], instance.now + 0.02
    actions = instance.receive("b", Grant("east", ask.term, ask.round, 1_000, LEASE_MS))
    (announce,) = [action for action in actions if isinstance(action, events.Announce)]
    assert (
        announce.lease_end == pytest.approx(asked_at + HOLDER_LEASE_S)
        and announce.lease_end < instance.now + HOLDER_LEASE_S
    )


def test_grant_for_an_earlier_start_or_term_is_ignored() -> None:
    instance = Instance()
    ask = instance.sent(Ask, instance.wait(0.3, "b", "c"))[-1]
    instance.receive("b", Grant("east", ask.term, ask.round, 999, LEASE_MS))
    instance.receive("b", Grant("east", ask.term - 1, ask.round, 1_000, LEASE_MS))
    assert instance.lease.stage is Stage.ASKING and instance.coordinator.counters["stale answer"] == 2


def test_holder_that_wakes_after_its_lease_fences_before_it_handles_a_message() -> None:
    instance = Instance()
    term = instance.win()
    instance.now += 3.0
    actions = instance.receive("b", Grant("east", term, instance.lease.round_number, 1_000, LEASE_MS))
    assert events.Fence("east", term) in actions and instance.lease.stage is Stage.CLEARING
    assert not any(isinstance(action, events.ExtendLease) for action in actions), (
        "a grant renewed an expired lease"
    )


def test_lease_that_is_not_renewed_hurries_pending_requests_and_expires() -> None:
    instance = Instance()
    term = instance.win()
    actions = instance.wait(1.1, "b", "c")
    hurries = [action for action in actions if isinstance(action, events.HurryPending)]
    assert len(hurries) == 1 and hurries[0].lease_end == instance.lease.expires_at
    assert events.Fence("east", term) in actions


def test_planned_handover_sends_yield_only_after_the_address_is_withdrawn() -> None:
    instance = Instance()
    term = instance.win()
    actions = instance.handle(events.Resign())
    assert events.Withdraw("east", term) in actions and not instance.sent(Yield)
    instance.now += 0.02
    instance.handle(events.Withdrawn("east", term))
    assert {message.to for message in instance.sent(Yield)} <= {"b", "c"}
    assert instance.lease.stage is Stage.FREE
    assert not instance.sent(Ask, instance.wait(2.0, "b", "c")), "a resigning instance asked again"


def test_successor_reports_a_yield_that_a_voter_has_not_received() -> None:
    voter = Instance("c")
    voter.receive("a", Ask("east", 7, 1))
    voter.receive("b", Ask("east", 8, 1))
    assert voter.sent(Deny)
    voter.receive("b", Ask("east", 8, 2, over=7))
    assert voter.sent(Grant)


def test_loser_of_an_election_releases_its_votes_at_once() -> None:
    instance = Instance()
    ask = instance.sent(Ask, instance.wait(0.3, "b", "c"))[-1]
    for voter in ("b", "c"):
        instance.receive(voter, Deny("east", ask.term, ask.round, 1_000, ask.term + 4, 10))
    assert instance.sent(Yield) and instance.lease.stage is Stage.FREE
    later_asks = instance.sent(Ask, instance.wait(0.5, "b", "c"))
    assert later_asks and later_asks[0].term > ask.term + 4, "terms only grow"


def test_without_a_majority_no_instance_asks_and_the_status_says_why() -> None:
    instance = Instance()
    actions = instance.wait(3.0)
    assert not instance.sent(Ask, actions)
    why = instance.coordinator.status(instance.now)["addresses"]["east"]["why"]
    assert why == "no majority: 1 of 3 heard, 2 needed"
    assert any(
        isinstance(action, events.LogEvent) and action.name == "group.no-majority"
        for action in instance.all_actions
    )


def test_failed_announcer_releases_the_address_and_each_failure_doubles_the_pause() -> None:
    instance, pauses = Instance(), list[float]()
    while len(pauses) < 3:
        count_before = len(instance.all_actions)
        while instance.lease.stage is not Stage.ASKING:
            instance.wait(0.05, "b", "c")
            assert instance.now < 200.0
        term = instance.sent(Ask, instance.all_actions[count_before:])[-1].term
        instance.receive("b", Grant("east", term, instance.lease.round_number, 1_000, LEASE_MS))
        instance.handle(events.AnnounceCompleted("east", term, False, "in use"))
        failures = [
            action
            for action in instance.actions
            if isinstance(action, events.LogEvent) and action.name == "announce.failed"
        ]
        pauses.append(failures[0].fields["pause_s"])
        instance.handle(events.Withdrawn("east", term))
        assert "in use" in instance.coordinator.status(instance.now)["addresses"]["east"]["why"]
    assert pauses == [1.0, 2.0, 4.0]


def test_move_back_waits_for_the_hold_down_so_a_flapping_instance_does_not_get_the_address() -> None:
    instance = Instance(hold_down_s=2.0)
    instance.coordinator.settings = events.Settings(
        "a", MEMBERS, (events.ServiceAddress("east", ("b",)),), hold_down_s=2.0
    )
    while instance.lease.stage is not Stage.ASKING:
        instance.wait(0.05, "c")
    instance.receive("c", Grant("east", instance.lease.term, instance.lease.round_number, 1_000, LEASE_MS))
    instance.handle(events.AnnounceCompleted("east", instance.lease.term, True))

    def renew(seconds: float, *heartbeat_senders: str) -> list[events.Action]:
        actions, end = list[events.Action](), instance.now + seconds
        while instance.now < end:
            actions += instance.wait(0.05, *heartbeat_senders)
            actions += instance.receive(
                "c", Grant("east", instance.lease.term, instance.lease.round_number, 1_000, LEASE_MS)
            )
        return actions

    for _ in range(5):  # b flaps
        assert not [action for action in renew(1.5, "b", "c") if isinstance(action, events.Withdraw)]
        assert not [action for action in renew(1.0, "c") if isinstance(action, events.Withdraw)]
    actions = renew(2.5, "b", "c")
    assert [
        action for action in actions if isinstance(action, events.Withdraw)
    ] and instance.lease.successor == "b"


def test_suspicion_is_refuted_by_a_higher_incarnation_that_a_third_instance_reports() -> None:
    heartbeat, now = Beat(0, (), (), (), ()), 10.0
    b, a = Membership("b", MEMBERS, 0.1), Membership("a", MEMBERS, 0.1)
    a.boot = 7
    b.on_heartbeat("a", 7, heartbeat, now)
    assert [change.new_state for change in b.tick(now + 0.4)] == [MemberState.SUSPECTED]
    old = Beat(0, (), (), (View("a", 7, 0, int(MemberState.ALIVE), 0),), ())
    assert not [change for change in b.on_heartbeat("c", 9, old, now + 0.4) if change.member == "a"], (
        "a view of the same incarnation cleared the suspicion"
    )
    a.on_heartbeat("b", 8, Beat(0, (), (), b.views(now + 0.4), ()), now + 0.4)
    assert (a.incarnation, a.refutations) == (1, 1)
    new = Beat(0, (), (), (View("a", 7, a.incarnation, int(MemberState.ALIVE), 5),), ())
    changes = b.on_heartbeat("c", 9, new, now + 0.5)
    assert [(change.member, change.new_state) for change in changes if change.member == "a"] == [
        ("a", MemberState.ALIVE)
    ]
    assert "a" not in b.reachable(now + 0.5), "reachable although only c hears it"
    assert [change.new_state for change in b.tick(now + 2)].count(MemberState.DEAD) == 2


def test_heartbeat_of_an_earlier_start_is_ignored() -> None:
    b = Membership("b", MEMBERS, 0.1)
    b.on_heartbeat("a", 7, Beat(3, (), (), (), ()), 10.0)
    assert not b.on_heartbeat("a", 6, Beat(9, (), ("east",), (), ()), 11.0)
    assert b.others["a"].last_heartbeat_at == 10.0


def test_ranking_prefers_then_spreads_and_does_not_move_without_need() -> None:
    addresses = tuple(
        events.ServiceAddress(name, entry) for name, entry in (("p", ("b",)), ("q", ()), ("r", ()))
    )
    all_able = {entry.name: {"a", "b", "c"} for entry in addresses}
    rankings = rank_instances(addresses, MEMBERS, all_able, {})
    assert rankings["p"][0] == "b" and {rankings[name][0] for name in "pqr"} == {"a", "b", "c"}
    without_b = {entry.name: {"a", "c"} for entry in addresses}
    moved = rank_instances(addresses, MEMBERS, without_b, {"p": "b", "q": "a", "r": "c"})
    assert moved["q"][0] == "a" and moved["r"][0] == "c" and moved["p"][0] in "ac"
    all_held_by_a = rank_instances(addresses, MEMBERS, all_able, dict.fromkeys("pqr", "a"))
    assert all_held_by_a["p"][0] == "b" and all_held_by_a["q"][0] == "a" and all_held_by_a["r"][0] == "c"
    assert rank_instances(addresses, MEMBERS, {name: set() for name in "pqr"}, {})["p"] == ()


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 2 * WINDOW_DATAGRAMS)), max_size=200))
def test_replay_window_accepts_nothing_twice_and_nothing_of_an_earlier_start(
    datagrams: list[tuple[int, int]],
) -> None:
    window, accepted, latest_boot = ReplayWindow(), set(), 0
    for boot, number in datagrams:
        if window.accept(boot, number):
            assert (boot, number) not in accepted and boot >= latest_boot
            accepted.add((boot, number))
            latest_boot = max(latest_boot, boot)
        elif boot == latest_boot and (boot, number) not in accepted:
            assert number <= window.highest - WINDOW_DATAGRAMS, "a number inside of the window was refused"
