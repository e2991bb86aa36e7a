"""The four rules, under random events and case by case."""

import math
import random

import pytest
from harness import KEYED, SAFE, UNSAFE, Caller, Owed
from hypothesis import given, settings
from hypothesis import strategies as st

from wickgw import Balancer
from wickgw import interface as i

CLASSES = (SAFE, UNSAFE, KEYED[i.Group.ALL], KEYED[i.Group.ZONE], KEYED[i.Group.CELL])
FLEET = tuple(i.Entry(f"w{k}", zone=k % 2, cell=k) for k in range(4))


def site(**changes: object) -> i.Settings:
    base: dict[str, object] = {
        "classes": CLASSES,
        "tells_start": True,
        "progress_every": 0.2,
        "max_attempts": 3,
    }
    return i.Settings(**(base | {"cold_from": 0.3, "warm_after": 5.0} | changes))  # type: ignore[arg-type]


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(0, 2**32), st.booleans(), st.booleans(), st.booleans())
def test_rules_hold_under_random_events(seed: int, copies: bool, cancel: bool, starts: bool) -> None:
    rng = random.Random(seed)
    c = Caller(site(may_copy=copies, may_cancel=cancel, tells_start=starts), seed, FLEET)
    for n in range(60):
        match rng.randrange(8):
            case 0 | 1:
                c.arrive(
                    f"r{n}", rng.randrange(len(CLASSES)), rng.choice([0.05, 0.3, 1.0]), rng.choice([1.0, 2.0])
                )
            case 2 | 3 if c.open():
                _end(c, rng)
            case 4 if c.open():
                c.start(*rng.choice(c.open()))
            case 5:
                health = rng.choice(list(i.Health))
                since = rng.choice([None, c.now])
                e = rng.choice(FLEET)
                c.tell(i.Entry(e.worker, health, e.zone, e.cell, since))
            case 6:
                keep = tuple(e for e in FLEET if rng.random() < 0.7)
                c.tell(*keep, kind=rng.choice([i.ListKind.REPLACE, i.ListKind.RESTORED]))
            case _:
                c.wait(rng.choice([0.001, 0.05, 0.4]))
    c.wait(5.0)
    assert all(o.answered is not None for o in c.owed.values())


def _end(c: Caller, rng: random.Random) -> None:
    name, number = rng.choice(c.open())
    c.end(name, rng.choice(list(i.Verdict)), number)


def test_request_is_refused_in_time_when_no_worker_is_listed() -> None:
    c = Caller(site())
    c.arrive("r", 1, 0.5)
    c.wait(1.0)
    assert [a.request for _, a in c.actions if isinstance(a, i.Refuse)] == ["r"]


def test_unsafe_work_that_may_have_run_is_failed_not_sent_again() -> None:
    c = Caller(site(), entries=FLEET)
    c.arrive("r", 1)
    assert i.Fail("r") in c.end("r", i.Verdict.RESET)


def test_unsafe_work_that_never_ran_goes_elsewhere() -> None:
    c = Caller(site(), entries=FLEET)
    ((_, first),) = c.sends(c.arrive("r", 1))
    ((_, second),) = c.sends(c.end("r", i.Verdict.CONNECT_FAILED))
    assert first != second


def test_timeout_at_the_deadline_is_answered_at_once() -> None:
    c = Caller(site(max_attempts=1), entries=FLEET)
    c.arrive("r", 3, 0.3)
    c.wait(0.3)
    assert c.actions[-1] == (0.3, i.Fail("r"))


def test_drained_gone_and_left_out_workers_get_nothing() -> None:
    c = Caller(site(), entries=FLEET)
    c.tell(i.Entry("w0", i.Health.DRAINING), i.Entry("w1", i.Health.GONE))
    c.tell(i.Entry("w3", zone=1, cell=3), i.Entry("w0", i.Health.DRAINING), kind=i.ListKind.REPLACE)
    assert [w for k in range(5) for _, w in c.sends(c.arrive(f"r{k}"))] == ["w3"]


def test_cold_worker_gets_no_more_than_twice_its_least_share() -> None:
    got = {True: 0, False: 0}
    for cold in got:
        c = Caller(site(warm_after=100.0), entries=FLEET[:3])
        for k in range(250):
            if k == 50:
                c.tell(i.Entry("new", since=c.now if cold else None))
            for n in range(4):
                for name, worker in c.sends(c.arrive(f"r{k}.{n}")):
                    got[cold] += worker == "new"
                    c.start(name)
            c.wait(0.1)
            for name, _ in c.open():
                c.end(name)
    assert 150 < got[False] < 250  # 800 among four
    assert 10 < got[True] < 0.7 * got[False]  # its least share rises from 30% to 44% meanwhile


def test_hundred_dispatchers_spread_their_first_sends_to_a_worker_that_starts() -> None:
    callers = [Caller(site(dispatchers=100, warm_after=10.0), seed, FLEET[:3]) for seed in range(100)]
    first: list[int] = []
    for c in callers:
        for k in range(60):
            if k == 40:
                c.tell(i.Entry("new", since=c.now))
            for n in range(4):
                for name, worker in c.sends(c.arrive(f"r{k}.{n}")):
                    first += [k - 40] * (worker == "new")
                    c.start(name)
            c.wait(0.1)
            for name, _ in c.open():
                c.end(name)
    early = [sum(k == step for k in first) for step in range(3)]
    assert 200 < len(first) < 1200 and max(early) < 60  # a warm one gets 100 in each step, 2,000 in all


def test_late_and_unknown_events_change_nothing() -> None:
    c = Caller(site(), entries=FLEET)
    c.arrive("r")
    c.end("r")
    for event in (
        i.Outcome("r", 0, i.Verdict.OK, True),
        i.Outcome("x", 3, i.Verdict.TIMEOUT),
        i.ClientLeft("r"),
        i.Started("r", 0),
        i.Progress("x", 1),
        i.Timer("held"),
        i.Timer("nobody"),
        i.StreamBegan("r", 0),
    ):
        assert c.balancer.handle(event, c.now) == []


@pytest.mark.parametrize(
    "field, change",
    [
        ("classes", {"classes": ()}),
        ("classes.aim", {"classes": (i.RequestClass("c", math.nan, 1.0),)}),
        ("classes.deadline", {"classes": (i.RequestClass("c", 1.0, 0.0),)}),
        ("cold_from", {"cold_from": 0.0}),
        ("max_attempts", {"max_attempts": 0}),
        ("progress_every", {"progress_every": math.nan}),
    ],
)
def test_impossible_settings_are_named(field: str, change: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=field):
        Balancer(site(**change), 1)


def test_same_events_and_seed_give_the_same_actions() -> None:
    runs = []
    for _ in range(2):
        c = Caller(site(), 7, FLEET)
        for k in range(50):
            c.arrive(f"r{k}", k % 5)
            c.wait(0.02)
        runs.append(c.actions)
    assert runs[0] == runs[1]


def test_copy_of_waiting_safe_work_goes_out_and_the_one_still_waiting_is_called_off() -> None:
    c = Caller(site(), entries=FLEET)
    ((_, first),) = c.sends(c.arrive("r"))
    ((_, second),) = c.sends(c.wait(0.11))
    assert first != second
    assert i.Cancel("r", 0) in c.start("r", 1)


def test_no_copy_where_a_handshake_costs_more_than_it_saves() -> None:
    c = Caller(site(handshake_fee=1.0), entries=FLEET)
    c.arrive("r")
    assert c.sends(c.wait(0.15)) == []


@pytest.mark.parametrize("dispatchers, copied", [(3, True), (200, False)])
def test_one_of_many_pays_the_price_of_a_copy_as_many_times_over(dispatchers: int, copied: bool) -> None:
    """None of them sees the others' copies: each opens connections and takes slots, and few are of use."""
    c = Caller(site(handshake_fee=0.1, dispatchers=dispatchers), entries=FLEET)
    c.arrive("r")
    assert bool(c.sends(c.wait(0.15))) is copied


@pytest.mark.parametrize("queued, second", [(0.0, True), (0.08, False)])
def test_way_to_a_far_worker_is_not_taken_for_its_queue(queued: float, second: bool) -> None:
    """Each start is heard of 70 ms late from afar: taken for waiting, only one job at a time went there."""
    c = Caller(site(may_copy=False), entries=FLEET[1:2])
    for n in range(5):
        c.arrive(f"r{n}", 1)
        c.wait(0.07 + (queued if n else 0.0))
        c.start(f"r{n}")
        c.end(f"r{n}")
    c.arrive("r5", 1)
    c.wait(0.07)
    c.start("r5")
    assert bool(c.sends(c.arrive("r6", 1))) is second


def test_a_quarter_of_a_slot_is_no_room_for_another_job() -> None:
    c = Caller(site(may_copy=False), entries=FLEET[:1])
    for n, wait in enumerate((0.001, 0.2, 0.001)):  # the second waited: one job at a time is what it takes
        c.arrive(f"r{n}", 1)
        c.wait(wait)
        c.start(f"r{n}")
        if n < 2:
            c.end(f"r{n}")
    assert c.sends(c.arrive("r3", 1)) == []


def test_request_that_nobody_can_use_fails_at_once_and_is_not_held_against_its_worker() -> None:
    """Sent on from worker to worker, one bad client's request would make all of them rest."""
    c = Caller(site(may_copy=False), entries=FLEET)
    ((_, name),) = c.sends(c.arrive("bad"))
    assert i.Fail("bad") in c.end("bad", i.Verdict.UNUSABLE) and c.open() == []
    worker = c.balancer.workers[name]
    assert worker.strikes == 0
    c.tell(FLEET[int(name[1:])], kind=i.ListKind.REPLACE)
    c.arrive("next")
    c.end("next", i.Verdict.UNUSABLE)  # none served in between: this one is sick
    assert worker.strikes == 1


def test_worker_that_keeps_us_waiting_is_left_to_the_other_dispatchers_for_a_while() -> None:
    c = Caller(site(dispatchers=12, may_copy=False), entries=FLEET[:1])
    c.balancer.wait = 0.2  # starts are late on the whole
    c.arrive("r0", 1)
    c.wait(0.2)
    c.start("r0")
    c.end("r0")
    assert c.sends(c.arrive("r1", 1)) == []
    c.wait(0.2 * (12 / 3 - 1))
    assert c.sends(c.arrive("r2", 1)) != []


def test_one_late_start_among_a_hundred_dispatchers_does_not_shut_a_worker_out_for_long() -> None:
    c = Caller(site(dispatchers=120, may_copy=False), entries=FLEET[:1])
    c.arrive("r0", 1)
    c.wait(0.2)
    c.start("r0")
    c.end("r0")
    c.wait(1.0)
    assert c.sends(c.arrive("r1", 1)) != []  # 39 waits are 8 s


def test_tenant_beyond_its_quota_waits_behind_one_within_it() -> None:
    quotas = (i.Tenant("greedy", 2.0), i.Tenant("modest", 2.0))
    c = Caller(site(tenants=quotas, over_share_worth=0.1, may_copy=False), entries=FLEET[:1])
    c.arrive("first", 0)
    for k in range(3):
        c.arrive(f"greedy{k}", 0)
    c.owed["modest"] = Owed(SAFE, c.now + 2.0)
    c.feed(i.Arrival("modest", 0, 2.0, tenant=1))
    order = [c.sends(c.start("first"))[0][0]]
    for _ in range(3):
        order.append(c.sends(c.start(order[-1]))[0][0])
    assert order == ["greedy0", "modest", "greedy1", "greedy2"]


def test_work_too_late_to_be_worth_anything_is_refused_before_its_deadline() -> None:
    c = Caller(site(may_copy=False), entries=FLEET[:1])
    c.arrive("first", 0)
    c.arrive("second", 0)
    assert [a.request for a in c.wait(0.5) if isinstance(a, i.Refuse)] == ["second"]


def test_work_with_a_late_worth_is_held_on_behind_what_is_in_time() -> None:
    c = Caller(site(classes=(KEYED[i.Group.ALL],), may_copy=False), entries=FLEET[:1])
    c.arrive("known")  # begun at once: a later wait there is no way
    c.start("known")
    c.end("known")
    c.arrive("first")
    c.arrive("late")
    c.wait(0.5)
    c.arrive("fresh")
    c.start("first")
    assert c.sends(c.end("first")) == [("fresh", "w0")]
    c.start("fresh")
    assert c.sends(c.end("fresh")) == [("late", "w0")]


def test_long_line_of_held_work_is_not_walked_for_each_event() -> None:
    c = Caller(site(may_copy=False), entries=FLEET)
    for k in range(300):
        c.arrive(f"r{k}")
    looked = 0
    real = c.balancer._pick

    def counted(*args: object) -> object:
        nonlocal looked
        looked += 1
        return real(*args)  # type: ignore[arg-type]

    c.balancer._pick = counted  # type: ignore[method-assign, assignment]
    for name, number in c.open():
        c.start(name, number)
    assert 0 < looked <= 8


def test_worker_that_let_a_job_wait_gets_no_more_than_ran_then_until_jobs_are_served() -> None:
    c = Caller(site(may_copy=False, dispatchers=2), entries=FLEET[:1])
    for k in range(3):
        c.arrive(f"r{k}", 1)
        c.wait(0.1 if k == 2 else 0.0)
        c.start(f"r{k}")
    assert c.sends(c.arrive("held", 1)) == []  # three run, and the third had to wait
    assert c.sends(c.end("r0")) == []  # two ran without waiting, and two run
    assert c.sends(c.end("r1")) == [("held", "w0")]


def test_wave_of_restarts_does_not_starve_the_fleet() -> None:
    c = Caller(site(may_copy=False, warm_after=20.0), entries=FLEET)
    for k in range(400):
        if k == 200:
            c.tell(*(i.Entry(e.worker, zone=e.zone, cell=e.cell, since=c.now) for e in FLEET))
        if c.sends(c.arrive(f"r{k}")):
            c.start(f"r{k}")
        c.wait(0.05)
        for name, number in c.open():
            if c.owed[name].tries[number].started:
                c.end(name, number=number)
            else:
                c.start(name, number)
    sent = [a for now, a in c.actions if isinstance(a, i.Send) and now > 15.0]
    assert len(sent) > 30


def test_further_attempts_are_capped_when_everything_fails() -> None:
    c = Caller(site(classes=(SAFE,), max_attempts=6), entries=FLEET)
    for k in range(600):
        c.arrive(f"r{k}")
        while c.open():
            c.end(c.open()[0][0], i.Verdict.ERROR, c.open()[0][1])
        c.wait(0.02)
    sent = sum(len(o.tries) for o in c.owed.values())
    assert 600 < sent <= 600 * 1.5 + 60


def test_worker_with_an_unused_connection_goes_first_where_new_ones_are_dear() -> None:
    same = []
    for seed in range(12):
        c = Caller(site(handshake_fee=0.08), seed, FLEET)
        ((_, first),) = c.sends(c.arrive("r0"))
        c.start("r0")
        c.wait(0.05)
        c.end("r0")
        c.wait(1.0)
        same += [c.sends(c.arrive("r1"))[0][1] == first]
    assert sum(same) >= 11  # by chance: a fourth of them


def test_connections_that_die_unseen_are_closed_before_a_send_and_trusted_again_later() -> None:
    c = Caller(site(handshake_fee=0.08, may_cancel=False, may_copy=False, idle_close=5.0), entries=FLEET[:1])
    for k in range(12):  # on a used connection nothing comes back
        c.arrive(f"ok{k}")
        c.start(f"ok{k}")
        c.end(f"ok{k}")
        c.wait(3.0)
        actions = c.arrive(f"dead{k}")
        if i.Close("w0") in actions:
            break
        c.wait(3.0)
    assert actions.index(i.Close("w0")) < actions.index(i.Send(f"dead{k}", "w0"))
    trust = c.balancer.keep
    c.start(f"dead{k}")
    c.end(f"dead{k}")
    for n in range(40):  # pauses within the trust go well
        c.wait(0.9 * trust)
        c.arrive(f"r{n}")
        c.start(f"r{n}")
        c.end(f"r{n}")
    assert c.balancer.keep > 1.5 * trust


def test_work_that_can_no_longer_be_in_time_elsewhere_is_not_called_off() -> None:
    c = Caller(site(may_copy=False), entries=FLEET)
    c.arrive("r")  # no late worth: begun after 0.2 s it is late
    assert not [a for a in c.wait(1.9) if isinstance(a, i.Cancel)]


def test_full_workers_rest_longer_each_time() -> None:
    c = Caller(site(), entries=FLEET[:1])
    rests = []
    for k in range(3):
        c.arrive(f"r{k}")
        c.end(f"r{k}", i.Verdict.FULL)
        rests.append(c.balancer.order[0].rest_until - c.now)
        c.wait(3.0)
    assert rests == sorted(rests) and rests[-1] > 3 * rests[0]


def test_held_work_is_given_up_when_it_can_no_longer_run_in_time_not_when_the_client_leaves() -> None:
    """Held to the end of its client's time, it would only be kept from asking again."""
    late = i.RequestClass("late", 0.1, 2.0, worth=5.0, late_worth=0.5, stretch=2.0, effect=i.Effect.UNSAFE)
    c = Caller(site(classes=(late,), may_copy=False), entries=FLEET[:1])
    c.balancer.run[0] = 0.6
    c.arrive("first")
    c.arrive("held")
    c.wait(1.9)
    ((when, refusal),) = [(t, a) for t, a in c.actions if isinstance(a, i.Refuse)]
    assert refusal.request == "held" and 1.2 < when < 2.0 - 0.6
    assert 0 < refusal.after <= c.set.most_after


def test_held_work_without_the_time_to_run_is_refused_as_it_comes() -> None:
    c = Caller(site(may_copy=False), entries=FLEET[:1])
    c.balancer.run[1] = 0.6
    c.arrive("first", 1)
    assert [type(a) for a in c.arrive("hopeless", 1, patience=0.5)] == [i.Refuse]


def test_longer_line_of_held_work_sends_refused_clients_away_for_longer() -> None:
    advice = []
    for held in (1, 40):
        c = Caller(site(may_copy=False, most_after=9.0), entries=FLEET[:1])
        for k in range(held):
            c.arrive(f"r{k}")
        refused = [a for a in c.arrive("x", patience=0.001) if isinstance(a, i.Refuse)]
        advice.append(refused[0].after)
    assert advice[1] > 5 * advice[0] > 0


def test_instance_that_stops_answers_all_before_it_ends() -> None:
    c = Caller(site(may_copy=False), entries=FLEET[:1])
    c.arrive("first", 1)
    c.arrive("held", 1)
    for owed in c.owed.values():
        owed.due = 0.3
    c.feed(i.Stopping(0.3))
    c.wait(0.3)
    assert all(o.answered is not None for o in c.owed.values())
