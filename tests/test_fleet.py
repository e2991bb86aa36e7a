"""Decisions of one dispatcher among many: what all of them together do to the workers.

Forty Balancers, fed side by side, stand for the fleet; there is no bench and no socket."""

import heapq
import random

import pytest
from harness import SAFE, UNSAFE, Caller
from scenario import FACTS

from wickgw import interface as i
from wickgw.facts import read_settings
from wickgw.net.watch_timing import WatchTiming, backoff

MANY = 40
WARM = tuple(i.Entry(f"w{k}") for k in range(24))
COLD = tuple(f"c{k}" for k in range(36))


def site(**changes: object) -> i.Settings:
    base = {"classes": (SAFE, UNSAFE), "tells_start": True, "cold_from": 0.15, "warm_after": 23.0}
    return i.Settings(**(base | {"dispatchers": MANY} | changes))  # type: ignore[arg-type]


def fleet(settings: i.Settings, entries: tuple[i.Entry, ...], most: int = MANY) -> list[Caller]:
    return [Caller(settings, seed, entries) for seed in range(most)]


def serve(c: Caller, name: str, cls: int, run: float) -> str:
    """A job that begins at once and runs so long; the worker that it went to, or none."""
    c.arrive(name, cls)
    tries = c.owed[name].tries
    if not tries:
        return ""
    c.start(name)
    c.wait(run)
    c.end(name)
    return tries[0].worker.worker


def test_workers_that_are_new_are_used_while_they_warm_up() -> None:
    """Each of many sends seldom. By a new worker's share at its start each would wait for longer than its
    warming up takes, and six in ten workers, new at once, would stand idle beside the few that jam."""
    jobs = {"early": 0.0, "middle": 0.0}
    for c in fleet(site(), WARM, 10):
        for n in range(20):  # what warm workers get from us is learned
            serve(c, f"a{n}", n % 2, 0.2)
            c.wait(0.1)
        born = c.now
        c.tell(*(i.Entry(name, since=born) for name in COLD))
        for n in range(46):
            worker = serve(c, f"b{n}", n % 2, 0.2)
            c.wait(0.1)
            age = c.now - born
            jobs["early" if age < 5 else "middle"] += worker in COLD
    # Ten of forty dispatchers, some 3 jobs a second each. The 36 may take a quarter, on average, of what
    # the warm ones take in the first seconds, and more after.
    assert 5 <= jobs["early"] <= 80
    assert jobs["middle"] >= 50


def test_worker_never_met_does_not_look_faster_than_those_that_were() -> None:
    """Of many workers each of us meets each seldom. A guess by running times alone leaves their waits out,
    and every job would go to a worker not met yet, however good those are that were."""
    known = 0
    for c in fleet(site(), WARM, 5):
        for n in range(24):  # half of the workers are met, and start each job after a wait
            c.arrive(f"a{n}", n % 2)
            c.wait(0.1)
            c.start(f"a{n}")
            c.wait(0.2)
            c.end(f"a{n}")
            c.wait(0.3)
        met = {t.worker.worker for o in c.owed.values() for t in o.tries}
        new = tuple(i.Entry(f"n{k}") for k in range(24))
        c.tell(*new)
        for n in range(10):
            known += serve(c, f"b{n}", n % 2, 0.2) in met
            c.wait(1.0)
    assert known >= 12  # of 50; they are half of the workers


@pytest.mark.parametrize("waits, copies", [(0.001, 1), (0.1, 0)])
def test_a_job_that_waits_is_copied_once_and_not_into_a_jam(waits: float, copies: int) -> None:
    """A copy called off is run all the same. With each of many copying what waits, up to five times over,
    the copies make the jam that they are meant to get around."""
    sent = 0
    settings = site(may_copy=True, may_cancel=True)
    for c in fleet(settings, WARM, 10):
        for n in range(20):
            c.arrive(f"a{n}", 1)
            c.wait(waits)
            c.start(f"a{n}")
            c.wait(0.2)
            c.end(f"a{n}")
        c.wait(10.0)  # whoever kept us waiting is open again
        c.arrive("late", 0)
        c.wait(0.2)  # no start is told
        assert len(c.owed["late"].tries) <= 2
        sent += len(c.owed["late"].tries) - 1
    assert sent == copies * 10  # neither copied nor moved


def test_discovery_that_is_overbooked_serves_all_in_the_end() -> None:
    """A service of one line and fixed capacity, which works off even the calls that were given up: all of the
    fleet ask at once, and again after each refusal. It is asked no more often than it can bear."""
    rng, place, work = random.Random(4), 16, 0.2
    due = [(0.01 * n, n) for n in range(MANY)]
    failures, free_at, served = [0] * MANY, 0.0, 0.0
    timing = WatchTiming(site(ask_for_list=True))
    patience = timing.watch_after_failure.answer_timeout
    while due:
        now, n = heapq.heappop(due)
        if free_at - now > place * work:  # the line is full: refused at once
            over = now + 0.04
        else:
            free_at = max(free_at, now) + work
            over = min(free_at, now + patience)
            if over == free_at:
                served = max(served, over)
                continue
        failures[n] += 1
        pause = timing.pause(failures[n], False)
        heapq.heappush(due, (over + rng.uniform(pause.shortest, pause.longest), n))
        assert over < 120.0, "nobody is served any more"
    assert served < 40.0  # 8 s of work
    assert backoff(1, 3) == 0.1 and backoff(9, 3) == 2.0  # a small fleet asks as before


def test_no_pause_is_as_long_as_a_site_allows_without_asking() -> None:
    """What is listed counts as told then, asked for or not."""
    assert read_settings(FACTS | {"rules": {"ask-within-ns": 3_000_000_000}}).ask_within == 3.0
    for within in (0.5, 3.0, 10.0):
        for dispatchers in (1, 3, 40, 1000):
            timing = WatchTiming(site(ask_for_list=True, ask_within=within, dispatchers=dispatchers))
            assert max(timing.pause(n, False).longest for n in range(1, 40)) < within
