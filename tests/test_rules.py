"""The rules of sends and answers, under random events and case by case."""

import math
import random

import pytest
from harness import KEYED, SAFE, UNSAFE, BalancerDriver, RequestRecord
from hypothesis import given, settings
from hypothesis import strategies as st

from wickgw import Balancer
from wickgw import interface as i

CLASSES = (SAFE, UNSAFE, KEYED[i.DedupScope.ALL], KEYED[i.DedupScope.ZONE], KEYED[i.DedupScope.CELL])
FLEET = tuple(i.Entry(f"w{k}", zone=k % 2, cell=k) for k in range(4))


def site(**changes: object) -> i.Settings:
    """Return settings with the changes applied."""
    base: dict[str, object] = {
        "classes": CLASSES,
        "reports_start": True,
        "progress_interval": 0.2,
        "max_attempts": 3,
    }
    return i.Settings(**(base | {"initial_capacity": 0.3, "warmup_time": 5.0} | changes))  # type: ignore[arg-type]


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(0, 2**32), st.booleans(), st.booleans(), st.booleans())
def test_rules_hold_under_random_events(
    seed: int, hedging: bool, cancelling: bool, start_reports: bool
) -> None:
    rng = random.Random(seed)
    caller = BalancerDriver(
        site(may_hedge=hedging, may_cancel=cancelling, reports_start=start_reports), seed, FLEET
    )
    for n in range(60):
        match rng.randrange(8):
            case 0 | 1:
                caller.arrive(
                    f"r{n}", rng.randrange(len(CLASSES)), rng.choice([0.05, 0.3, 1.0]), rng.choice([1.0, 2.0])
                )
            case 2 | 3 if caller.open_attempts():
                end_random_attempt(caller, rng)
            case 4 if caller.open_attempts():
                caller.start_attempt(*rng.choice(caller.open_attempts()))
            case 5:
                health = rng.choice(list(i.Health))
                since = rng.choice([None, caller.now])
                entry = rng.choice(FLEET)
                caller.update_list(i.Entry(entry.worker, health, entry.zone, entry.cell, since))
            case 6:
                keep = tuple(entry for entry in FLEET if rng.random() < 0.7)
                caller.update_list(*keep, kind=rng.choice([i.ListKind.REPLACE, i.ListKind.RESTORED]))
            case _:
                caller.wait(rng.choice([0.001, 0.05, 0.4]))
    caller.wait(5.0)
    assert all(owed.answered_at is not None for owed in caller.requests.values())


def end_random_attempt(caller: BalancerDriver, rng: random.Random) -> None:
    """End a random open attempt with a random verdict."""
    name, number = rng.choice(caller.open_attempts())
    caller.end_attempt(name, rng.choice(list(i.Verdict)), number)


def test_request_is_refused_in_time_when_no_worker_is_listed() -> None:
    caller = BalancerDriver(site())
    caller.arrive("r", 1, 0.5)
    caller.wait(1.0)
    assert [action.request for _, action in caller.actions if isinstance(action, i.Refuse)] == ["r"]


def test_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() -> None:
    caller = BalancerDriver(site(), entries=FLEET)
    caller.arrive("r", 1)
    assert i.Fail("r") in caller.end_attempt("r", i.Verdict.RESET)


def test_unsafe_request_that_never_ran_is_sent_to_another_worker() -> None:
    caller = BalancerDriver(site(), entries=FLEET)
    ((_, first),) = caller.sends_in(caller.arrive("r", 1))
    ((_, second),) = caller.sends_in(caller.end_attempt("r", i.Verdict.CONNECT_FAILED))
    assert first != second


def test_request_that_times_out_at_its_deadline_is_answered_at_once() -> None:
    caller = BalancerDriver(site(max_attempts=1), entries=FLEET)
    caller.arrive("r", 3, 0.3)
    caller.wait(0.3)
    assert caller.actions[-1] == (0.3, i.Fail("r"))


def test_draining_gone_and_unlisted_workers_get_no_jobs() -> None:
    caller = BalancerDriver(site(), entries=FLEET)
    caller.update_list(i.Entry("w0", i.Health.DRAINING), i.Entry("w1", i.Health.GONE))
    caller.update_list(
        i.Entry("w3", zone=1, cell=3), i.Entry("w0", i.Health.DRAINING), kind=i.ListKind.REPLACE
    )
    assert [worker for k in range(5) for _, worker in caller.sends_in(caller.arrive(f"r{k}"))] == ["w3"]


def test_cold_worker_gets_no_more_than_twice_its_minimum_share() -> None:
    job_counts = {True: 0, False: 0}
    for cold in job_counts:
        caller = BalancerDriver(site(warmup_time=100.0), entries=FLEET[:3])
        for k in range(250):
            if k == 50:
                caller.update_list(i.Entry("new", since=caller.now if cold else None))
            for n in range(4):
                for name, worker in caller.sends_in(caller.arrive(f"r{k}.{n}")):
                    job_counts[cold] += worker == "new"
                    caller.start_attempt(name)
            caller.wait(0.1)
            for name, _ in caller.open_attempts():
                caller.end_attempt(name)
    assert 150 < job_counts[False] < 250  # 800 jobs among four workers
    # Its minimum share rises from 30% to 44% in this time.
    assert 10 < job_counts[True] < 0.7 * job_counts[False]


def test_hundred_dispatchers_spread_their_first_sends_to_a_cold_worker() -> None:
    callers = [
        BalancerDriver(site(dispatchers=100, warmup_time=10.0), seed, FLEET[:3]) for seed in range(100)
    ]
    first: list[int] = []
    for caller in callers:
        for k in range(60):
            if k == 40:
                caller.update_list(i.Entry("new", since=caller.now))
            for n in range(4):
                for name, worker in caller.sends_in(caller.arrive(f"r{k}.{n}")):
                    first += [k - 40] * (worker == "new")
                    caller.start_attempt(name)
            caller.wait(0.1)
            for name, _ in caller.open_attempts():
                caller.end_attempt(name)
    early = [sum(k == step for k in first) for step in range(3)]
    assert 200 < len(first) < 1200 and max(early) < 60  # a warm worker gets 100 in each step, 2,000 in all


def test_events_of_unknown_or_ended_requests_have_no_effect() -> None:
    caller = BalancerDriver(site(), entries=FLEET)
    caller.arrive("r")
    caller.end_attempt("r")
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
        assert caller.balancer.handle(event, caller.now) == []


@pytest.mark.parametrize(
    "field, change",
    [
        ("classes", {"classes": ()}),
        ("classes.latency_target", {"classes": (i.RequestClass("c", math.nan, 1.0),)}),
        ("classes.deadline", {"classes": (i.RequestClass("c", 1.0, 0.0),)}),
        ("initial_capacity", {"initial_capacity": 0.0}),
        ("max_attempts", {"max_attempts": 0}),
        ("progress_interval", {"progress_interval": math.nan}),
    ],
)
def test_invalid_settings_are_named(field: str, change: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=field):
        Balancer(site(**change), 1)


def test_same_events_and_seed_give_the_same_actions() -> None:
    runs = []
    for _ in range(2):
        caller = BalancerDriver(site(), 7, FLEET)
        for k in range(50):
            caller.arrive(f"r{k}", k % 5)
            caller.wait(0.02)
        runs.append(caller.actions)
    assert runs[0] == runs[1]


def test_safe_request_that_waits_is_hedged_and_the_attempt_that_did_not_start_is_cancelled() -> None:
    caller = BalancerDriver(site(), entries=FLEET)
    ((_, first),) = caller.sends_in(caller.arrive("r"))
    ((_, second),) = caller.sends_in(caller.wait(0.11))
    assert first != second
    assert i.Cancel("r", 0) in caller.start_attempt("r", 1)


def test_no_hedged_attempt_if_a_handshake_costs_more_than_it_saves() -> None:
    caller = BalancerDriver(site(handshake_fee=1.0), entries=FLEET)
    caller.arrive("r")
    assert caller.sends_in(caller.wait(0.15)) == []


@pytest.mark.parametrize("dispatchers, hedged", [(3, True), (200, False)])
def test_price_of_a_hedged_attempt_grows_with_the_number_of_dispatchers(
    dispatchers: int, hedged: bool
) -> None:
    """Dispatchers do not see each other's hedged attempts.

    Each of them takes a connection and a slot, and few are useful.
    """
    caller = BalancerDriver(site(handshake_fee=0.1, dispatchers=dispatchers), entries=FLEET)
    caller.arrive("r")
    assert bool(caller.sends_in(caller.wait(0.15))) is hedged


@pytest.mark.parametrize("queue_delay, second", [(0.0, True), (0.08, False)])
def test_network_delay_of_a_distant_worker_does_not_count_as_a_wait(queue_delay: float, second: bool) -> None:
    """Start reports of a distant worker take 70 ms. As a wait, that would limit it to one job at a time."""
    caller = BalancerDriver(site(may_hedge=False), entries=FLEET[1:2])
    for n in range(5):
        caller.arrive(f"r{n}", 1)
        caller.wait(0.07 + (queue_delay if n else 0.0))
        caller.start_attempt(f"r{n}")
        caller.end_attempt(f"r{n}")
    caller.arrive("r5", 1)
    caller.wait(0.07)
    caller.start_attempt("r5")
    assert bool(caller.sends_in(caller.arrive("r6", 1))) is second


def test_concurrency_limit_that_grew_by_a_quarter_allows_no_further_job() -> None:
    caller = BalancerDriver(site(may_hedge=False), entries=FLEET[:1])
    for n, wait in enumerate((0.001, 0.2, 0.001)):  # the second one waited: the limit is one job
        caller.arrive(f"r{n}", 1)
        caller.wait(wait)
        caller.start_attempt(f"r{n}")
        if n < 2:
            caller.end_attempt(f"r{n}")
    assert caller.sends_in(caller.arrive("r3", 1)) == []


def test_unusable_request_fails_at_once_and_does_not_eject_its_worker() -> None:
    """Otherwise retries of one bad request would eject worker after worker."""
    caller = BalancerDriver(site(may_hedge=False), entries=FLEET)
    ((_, name),) = caller.sends_in(caller.arrive("bad"))
    assert i.Fail("bad") in caller.end_attempt("bad", i.Verdict.UNUSABLE) and caller.open_attempts() == []
    worker = caller.balancer.workers[name]
    assert worker.failure_score == 0
    caller.update_list(FLEET[int(name[1:])], kind=i.ListKind.REPLACE)
    caller.arrive("next")
    caller.end_attempt("next", i.Verdict.UNUSABLE)  # no request served in between: the worker is faulty
    assert worker.failure_score == 1


def test_worker_whose_job_waited_is_left_to_the_other_dispatchers_for_a_while() -> None:
    caller = BalancerDriver(site(dispatchers=12, may_hedge=False), entries=FLEET[:1])
    caller.balancer.mean_wait = 0.2  # jobs wait at all workers
    caller.arrive("r0", 1)
    caller.wait(0.2)
    caller.start_attempt("r0")
    caller.end_attempt("r0")
    assert caller.sends_in(caller.arrive("r1", 1)) == []
    caller.wait(0.2 * (12 / 3 - 1))
    assert caller.sends_in(caller.arrive("r2", 1)) != []


def test_single_late_start_with_many_dispatchers_does_not_block_a_worker_for_long() -> None:
    caller = BalancerDriver(site(dispatchers=120, may_hedge=False), entries=FLEET[:1])
    caller.arrive("r0", 1)
    caller.wait(0.2)
    caller.start_attempt("r0")
    caller.end_attempt("r0")
    caller.wait(1.0)
    assert caller.sends_in(caller.arrive("r1", 1)) != []  # 39 times the wait would be 8 s


def test_tenant_beyond_its_quota_is_served_after_one_within_it() -> None:
    quotas = (i.Tenant("greedy", 2.0), i.Tenant("modest", 2.0))
    caller = BalancerDriver(site(tenants=quotas, over_share_worth=0.1, may_hedge=False), entries=FLEET[:1])
    caller.arrive("first", 0)
    for k in range(3):
        caller.arrive(f"greedy{k}", 0)
    caller.requests["modest"] = RequestRecord(SAFE, caller.now + 2.0)
    caller.feed(i.Arrival("modest", 0, 2.0, tenant=1))
    order = [caller.sends_in(caller.start_attempt("first"))[0][0]]
    for _ in range(3):
        order.append(caller.sends_in(caller.start_attempt(order[-1]))[0][0])
    assert order == ["greedy0", "modest", "greedy1", "greedy2"]


def test_request_too_late_to_earn_anything_is_refused_before_its_deadline() -> None:
    caller = BalancerDriver(site(may_hedge=False), entries=FLEET[:1])
    caller.arrive("first", 0)
    caller.arrive("second", 0)
    assert [action.request for action in caller.wait(0.5) if isinstance(action, i.Refuse)] == ["second"]


def test_late_request_with_a_late_worth_stays_queued_behind_requests_in_time() -> None:
    caller = BalancerDriver(site(classes=(KEYED[i.DedupScope.ALL],), may_hedge=False), entries=FLEET[:1])
    caller.arrive("known")  # starts at once, so that a later delay there counts as a wait
    caller.start_attempt("known")
    caller.end_attempt("known")
    caller.arrive("first")
    caller.arrive("late")
    caller.wait(0.5)
    caller.arrive("fresh")
    caller.start_attempt("first")
    assert caller.sends_in(caller.end_attempt("first")) == [("fresh", "w0")]
    caller.start_attempt("fresh")
    assert caller.sends_in(caller.end_attempt("fresh")) == [("late", "w0")]


def test_long_queue_is_not_scanned_for_each_event() -> None:
    caller = BalancerDriver(site(may_hedge=False), entries=FLEET)
    for k in range(300):
        caller.arrive(f"r{k}")
    pick_count = 0
    real = caller.balancer._pick_worker

    def counting_pick(*args: object) -> object:
        nonlocal pick_count
        pick_count += 1
        return real(*args)  # type: ignore[arg-type]

    caller.balancer._pick_worker = counting_pick  # type: ignore[method-assign, assignment]
    for name, number in caller.open_attempts():
        caller.start_attempt(name, number)
    assert 0 < pick_count <= 8


def test_job_that_waits_limits_its_worker_to_the_jobs_that_ran_then() -> None:
    caller = BalancerDriver(site(may_hedge=False, dispatchers=2), entries=FLEET[:1])
    for k in range(3):
        caller.arrive(f"r{k}", 1)
        caller.wait(0.1 if k == 2 else 0.0)
        caller.start_attempt(f"r{k}")
    assert caller.sends_in(caller.arrive("held", 1)) == []  # three jobs run, and the third one had to wait
    assert caller.sends_in(caller.end_attempt("r0")) == []  # the limit is two jobs, and two run
    assert caller.sends_in(caller.end_attempt("r1")) == [("held", "w0")]


def test_fleet_still_serves_when_all_workers_restart_at_once() -> None:
    caller = BalancerDriver(site(may_hedge=False, warmup_time=20.0), entries=FLEET)
    for k in range(400):
        if k == 200:
            caller.update_list(
                *(
                    i.Entry(entry.worker, zone=entry.zone, cell=entry.cell, since=caller.now)
                    for entry in FLEET
                )
            )
        if caller.sends_in(caller.arrive(f"r{k}")):
            caller.start_attempt(f"r{k}")
        caller.wait(0.05)
        for name, number in caller.open_attempts():
            if caller.requests[name].attempts[number].started:
                caller.end_attempt(name, number=number)
            else:
                caller.start_attempt(name, number)
    sent = [action for now, action in caller.actions if isinstance(action, i.Send) and now > 15.0]
    assert len(sent) > 30


def test_retries_are_limited_when_every_attempt_fails() -> None:
    caller = BalancerDriver(site(classes=(SAFE,), max_attempts=6), entries=FLEET)
    for k in range(600):
        caller.arrive(f"r{k}")
        while caller.open_attempts():
            caller.end_attempt(caller.open_attempts()[0][0], i.Verdict.ERROR, caller.open_attempts()[0][1])
        caller.wait(0.02)
    sent = sum(len(request.attempts) for request in caller.requests.values())
    assert 600 < sent <= 600 * 1.5 + 60


def test_worker_with_an_idle_connection_is_preferred_if_a_new_one_has_a_fee() -> None:
    same = []
    for seed in range(12):
        caller = BalancerDriver(site(handshake_fee=0.08), seed, FLEET)
        ((_, first),) = caller.sends_in(caller.arrive("r0"))
        caller.start_attempt("r0")
        caller.wait(0.05)
        caller.end_attempt("r0")
        caller.wait(1.0)
        same += [caller.sends_in(caller.arrive("r1"))[0][1] == first]
    assert sum(same) >= 11  # a quarter of them by chance


def test_idle_connections_that_may_be_dead_are_closed_before_a_send_and_trusted_again_later() -> None:
    caller = BalancerDriver(
        site(handshake_fee=0.08, may_cancel=False, may_hedge=False, idle_timeout=5.0), entries=FLEET[:1]
    )
    for k in range(12):  # on a reused connection no answer arrives
        caller.arrive(f"ok{k}")
        caller.start_attempt(f"ok{k}")
        caller.end_attempt(f"ok{k}")
        caller.wait(3.0)
        actions = caller.arrive(f"dead{k}")
        if i.Close("w0") in actions:
            break
        caller.wait(3.0)
    assert actions.index(i.Close("w0")) < actions.index(i.Send(f"dead{k}", "w0"))
    trusted_idle_time = caller.balancer.trusted_idle_time
    caller.start_attempt(f"dead{k}")
    caller.end_attempt(f"dead{k}")
    for n in range(40):  # connections reused within the trusted time work
        caller.wait(0.9 * trusted_idle_time)
        caller.arrive(f"r{n}")
        caller.start_attempt(f"r{n}")
        caller.end_attempt(f"r{n}")
    assert caller.balancer.trusted_idle_time > 1.5 * trusted_idle_time


def test_attempt_is_not_cancelled_if_no_other_could_be_in_time() -> None:
    caller = BalancerDriver(site(may_hedge=False), entries=FLEET)
    caller.arrive("r")  # without a late worth; after a start later than 0.2 s it earns nothing
    assert not [action for action in caller.wait(1.9) if isinstance(action, i.Cancel)]


def test_ejection_of_a_full_worker_doubles_each_time() -> None:
    caller = BalancerDriver(site(), entries=FLEET[:1])
    ejection_times = []
    for k in range(3):
        caller.arrive(f"r{k}")
        caller.end_attempt(f"r{k}", i.Verdict.FULL)
        ejection_times.append(caller.balancer.members[0].ejected_until - caller.now)
        caller.wait(3.0)
    assert ejection_times == sorted(ejection_times) and ejection_times[-1] > 3 * ejection_times[0]


def test_queued_request_is_refused_when_it_can_no_longer_end_in_time() -> None:
    """Queued until its deadline, it would only keep its client from asking again."""
    late = i.RequestClass(
        "late", 0.1, 2.0, worth=5.0, late_worth=0.5, stretch=2.0, idempotency=i.Idempotency.UNSAFE
    )
    caller = BalancerDriver(site(classes=(late,), may_hedge=False), entries=FLEET[:1])
    caller.balancer.mean_run_times[0] = 0.6
    caller.arrive("first")
    caller.arrive("held")
    caller.wait(1.9)
    ((when, refusal),) = [(time, action) for time, action in caller.actions if isinstance(action, i.Refuse)]
    assert refusal.request == "held" and 1.2 < when < 2.0 - 0.6
    assert 0 < refusal.retry_after <= caller.settings.max_retry_after


def test_request_without_the_time_to_run_is_refused_at_its_arrival() -> None:
    caller = BalancerDriver(site(may_hedge=False), entries=FLEET[:1])
    caller.balancer.mean_run_times[1] = 0.6
    caller.arrive("first", 1)
    assert [type(action) for action in caller.arrive("hopeless", 1, time_left=0.5)] == [i.Refuse]


def test_advised_retry_delay_grows_with_the_queued_work() -> None:
    advice = []
    for queued_count in (1, 40):
        caller = BalancerDriver(site(may_hedge=False, max_retry_after=9.0), entries=FLEET[:1])
        for k in range(queued_count):
            caller.arrive(f"r{k}")
        refused = [action for action in caller.arrive("x", time_left=0.001) if isinstance(action, i.Refuse)]
        advice.append(refused[0].retry_after)
    assert advice[1] > 5 * advice[0] > 0


def test_instance_that_stops_answers_all_requests_before_it_ends() -> None:
    caller = BalancerDriver(site(may_hedge=False), entries=FLEET[:1])
    caller.arrive("first", 1)
    caller.arrive("held", 1)
    for record in caller.requests.values():
        record.deadline = 0.3
    caller.feed(i.Stopping(0.3))
    caller.wait(0.3)
    assert all(request.answered_at is not None for request in caller.requests.values())
