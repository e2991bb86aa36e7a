"""The combined effect of many dispatchers on the workers.

Forty balancers stand for the fleet. They are fed side by side, without a simulator or sockets.
"""

import heapq
import random

import pytest
from harness import SAFE, UNSAFE, BalancerDriver
from scenario import PLATFORM_SETTINGS

from wickgw import interface as i
from wickgw.net.watch_timing import WatchTiming, backoff
from wickgw.platform_data import read_settings

DISPATCHERS = 40
WARM = tuple(i.Entry(f"w{k}") for k in range(24))
COLD = tuple(f"c{k}" for k in range(36))


def settings_of_one(**changes: object) -> i.Settings:
    """Return settings of one of DISPATCHERS dispatchers with the changes applied."""
    base = {"classes": (SAFE, UNSAFE), "reports_start": True, "initial_capacity": 0.15, "warmup_time": 23.0}
    return i.Settings(**(base | {"dispatchers": DISPATCHERS} | changes))  # type: ignore[arg-type]


def fleet(
    settings: i.Settings, entries: tuple[i.Entry, ...], count: int = DISPATCHERS
) -> list[BalancerDriver]:
    """Return `count` dispatchers that differ in their seeds."""
    return [BalancerDriver(settings, seed, entries) for seed in range(count)]


def serve(caller: BalancerDriver, name: str, class_index: int, run_time: float) -> str:
    """Feed a job that starts at once and runs `run_time` seconds; return its worker, or "" without one."""
    caller.arrive(name, class_index)
    attempts = caller.requests[name].attempts
    if not attempts:
        return ""
    caller.start_attempt(name)
    caller.wait(run_time)
    caller.end_attempt(name)
    return attempts[0].worker.worker


def test_new_workers_are_used_while_they_warm_up() -> None:
    """Each of many dispatchers sends rarely. If the interval between its sends followed from a new worker's
    share at its start, it would exceed the warm-up time. Six in ten workers, started together, would be idle
    while the others are overloaded.
    """
    jobs = {"early": 0.0, "middle": 0.0}
    for caller in fleet(settings_of_one(), WARM, 10):
        for n in range(20):  # the balancer learns how much warm workers get from it
            serve(caller, f"a{n}", n % 2, 0.2)
            caller.wait(0.1)
        started_at = caller.now
        caller.update_list(*(i.Entry(name, since=started_at) for name in COLD))
        for n in range(46):
            worker = serve(caller, f"b{n}", n % 2, 0.2)
            caller.wait(0.1)
            age = caller.now - started_at
            jobs["early" if age < 5 else "middle"] += worker in COLD
    # Ten of forty dispatchers, with about 3 jobs per second each. In the first seconds each of the 36 new
    # workers may take, on average, a quarter of what a warm one takes, and more after that.
    assert 5 <= jobs["early"] <= 80
    assert jobs["middle"] >= 50


def test_worker_without_data_does_not_seem_faster_than_known_ones() -> None:
    """With many workers each dispatcher has used only some of them. An estimate from running times alone
    leaves out the waits. Every job would go to a worker that was not used yet, however good the others are.
    """
    jobs_at_used_workers = 0
    for caller in fleet(settings_of_one(), WARM, 5):
        for n in range(24):  # half of the workers are used, and start each job after a wait
            caller.arrive(f"a{n}", n % 2)
            caller.wait(0.1)
            caller.start_attempt(f"a{n}")
            caller.wait(0.2)
            caller.end_attempt(f"a{n}")
            caller.wait(0.3)
        used_workers = {
            attempt.worker.worker for request in caller.requests.values() for attempt in request.attempts
        }
        new = tuple(i.Entry(f"n{k}") for k in range(24))
        caller.update_list(*new)
        for n in range(10):
            jobs_at_used_workers += serve(caller, f"b{n}", n % 2, 0.2) in used_workers
            caller.wait(1.0)
    assert jobs_at_used_workers >= 12  # of 50 jobs; they are half of the workers


@pytest.mark.parametrize("start_delay, hedged_attempts", [(0.001, 1), (0.1, 0)])
def test_waiting_job_is_hedged_once_and_not_while_all_jobs_wait(
    start_delay: float, hedged_attempts: int
) -> None:
    """A cancelled attempt may run all the same. If each of many dispatchers hedged its waiting jobs up to
    five times, the hedged attempts would cause the overload that they are meant to avoid.
    """
    sent = 0
    settings = settings_of_one(may_hedge=True, may_cancel=True)
    for caller in fleet(settings, WARM, 10):
        for n in range(20):
            caller.arrive(f"a{n}", 1)
            caller.wait(start_delay)
            caller.start_attempt(f"a{n}")
            caller.wait(0.2)
            caller.end_attempt(f"a{n}")
        caller.wait(10.0)  # workers at which jobs waited are eligible again
        caller.arrive("late", 0)
        caller.wait(0.2)  # no start is reported
        assert len(caller.requests["late"].attempts) <= 2
        sent += len(caller.requests["late"].attempts) - 1
    assert sent == hedged_attempts * 10  # neither hedged more often nor migrated


def test_overloaded_discovery_serves_all_dispatchers_in_the_end() -> None:
    """The service has one queue and a fixed capacity, and works off even the calls that were given up. All
    dispatchers call at the same time, and again after each refusal. Their backoff must keep the number of
    calls within its capacity.
    """
    rng, queue_length, service_time = random.Random(4), 16, 0.2
    due = [(0.01 * n, n) for n in range(DISPATCHERS)]
    failures, free_at, served = [0] * DISPATCHERS, 0.0, 0.0
    timing = WatchTiming(settings_of_one(ask_for_list=True))
    patience = timing.watch_after_failure.answer_timeout
    while due:
        now, n = heapq.heappop(due)
        if free_at - now > queue_length * service_time:  # the queue is full: refused at once
            ended_at = now + 0.04
        else:
            free_at = max(free_at, now) + service_time
            ended_at = min(free_at, now + patience)
            if ended_at == free_at:
                served = max(served, ended_at)
                continue
        failures[n] += 1
        pause = timing.pause(failures[n], False)
        heapq.heappush(due, (ended_at + rng.uniform(pause.shortest, pause.longest), n))
        assert ended_at < 120.0, "discovery serves no more calls"
    assert served < 40.0  # 8 s of work
    assert backoff(1, 3) == 0.1 and backoff(9, 3) == 2.0  # the backoff of a small fleet is shorter


def test_no_pause_is_as_long_as_ask_within() -> None:
    """After `ask_within` seconds a listed change counts as known, whether the dispatcher called or not."""
    assert read_settings(PLATFORM_SETTINGS | {"rules": {"ask-within-ns": 3_000_000_000}}).ask_within == 3.0
    for within in (0.5, 3.0, 10.0):
        for dispatchers in (1, 3, 40, 1000):
            timing = WatchTiming(
                settings_of_one(ask_for_list=True, ask_within=within, dispatchers=dispatchers)
            )
            assert max(timing.pause(n, False).longest for n in range(1, 40)) < within
