"""Learning of the cost q: its closed form, slow and failing workers, workers without data."""

import heapq
import random
import subprocess
import sys

import numpy as np
import pytest
from harness import SAFE, BalancerDriver

from wickgw import balance
from wickgw import interface as i
from wickgw.records import Attempt, RunTimes

ONE_CLASS = i.Settings(classes=(SAFE,), reports_start=True)


def fleet(n: int) -> tuple[i.Entry, ...]:
    """Return the entries of workers w0, w1, ..."""
    return tuple(i.Entry(f"w{k}") for k in range(n))


def test_q_matches_the_closed_form_on_a_linear_system() -> None:
    caller = BalancerDriver(ONE_CLASS, entries=fleet(3))
    balancer = caller.balancer
    keep = np.array([0.8, 0.6, 0.3])  # fraction of its jobs that each worker retains per tick
    rng = np.random.default_rng(5)
    x = np.zeros(3, dtype=np.int64)
    for _ in range(600):
        u = rng.integers(0, 4000, 3)  # large counts, so that rounding to whole jobs has little effect
        x_next = np.rint(keep * x).astype(np.int64) + u
        for worker, before, after, sent in zip(
            balancer.members, x.tolist(), x_next.tolist(), u.tolist(), strict=True
        ):
            worker.previous_in_flight, worker.in_flight, worker.sent_since_tick = before, after, sent
        balancer.active_workers.update(balancer.members)
        balancer._record_tick(caller.now)
        x = x_next
    balancer._start_solve(0.0)
    assert np.allclose(
        [worker.q for worker in balancer.members], 1 / (1 - balance.DISCOUNT * keep), rtol=0.02
    )


def serve(caller: BalancerDriver, speeds: dict[str, float], jobs: int, fails: str = "") -> dict[str, int]:
    """Feed a job every 20 ms and return the number of jobs sent to each worker.

    Running times are exponential with the worker's speed in jobs per second. The worker `fails` answers
    every job with an error at once.
    """
    rng, ends, job_counts = random.Random(3), [], dict.fromkeys(speeds, 0)
    for k in range(jobs):
        for name, worker in caller.sends_in(caller.arrive(f"r{k}")):
            job_counts[worker] += 1
            if worker == fails:
                caller.end_attempt(name, i.Verdict.ERROR)
                continue
            caller.start_attempt(name)
            ends.append((caller.now + rng.expovariate(speeds[worker]), name))
        caller.wait(0.02)
        for item in sorted(end for end in ends if end[0] <= caller.now):
            ends.remove(item)
            if caller.requests[item[1]].attempts[-1].verdict is None:
                caller.end_attempt(item[1], number=len(caller.requests[item[1]].attempts) - 1)
    return job_counts


def test_slower_worker_gets_a_higher_q_and_fewer_jobs() -> None:
    caller = BalancerDriver(ONE_CLASS, entries=fleet(3))
    job_counts = serve(caller, {"w0": 2.0, "w1": 10.0, "w2": 10.0}, 1500)
    q = {worker.id: worker.q for worker in caller.balancer.members}
    assert q["w0"] > 1.3 * max(q["w1"], q["w2"])
    assert 1.5 * job_counts["w0"] < min(job_counts["w1"], job_counts["w2"])


def test_jobs_that_time_out_do_not_make_a_worker_look_fast() -> None:
    caller = BalancerDriver(ONE_CLASS, entries=fleet(2))
    serving_worker, timing_out_worker = caller.balancer.members
    for _ in range(200):
        for worker in (serving_worker, timing_out_worker):
            worker.in_flight += 2
            worker.sent_since_tick += 2
        caller.balancer.active_workers.update((serving_worker, timing_out_worker))
        caller.balancer._record_tick(caller.now)
        caller.now += 0.05
        for _ in range(2):  # two jobs end at each worker: one serves them, at the other they time out
            serving_worker.in_flight -= 1
            timing_out_worker.in_flight -= 1
            Attempt(timing_out_worker, 1.0, 0.05, caller.now - 0.05, caller.now).remove_from_tick(
                caller.balancer.last_tick_at
            )
    caller.balancer._start_solve(0.0)
    assert timing_out_worker.q > serving_worker.q


def test_worker_that_fails_fast_gets_few_jobs() -> None:
    caller = BalancerDriver(ONE_CLASS, entries=fleet(3))
    job_counts = serve(caller, {"w0": 10.0, "w1": 10.0, "w2": 10.0}, 600, fails="w0")
    assert job_counts["w0"] < 0.05 * 600


def test_q_keeps_its_last_value_when_the_solution_is_not_positive() -> None:
    caller = BalancerDriver(ONE_CLASS, entries=fleet(2))
    for worker in caller.balancer.members:
        # More jobs stay than there were: no valid drain rate.
        worker.q, worker.previous_in_flight, worker.in_flight, worker.sent_since_tick = 1.7, 100, 300, 0
    caller.balancer.active_workers.update(caller.balancer.members)
    caller.balancer._record_tick(caller.now)
    caller.balancer._start_solve(caller.now)
    assert [worker.q for worker in caller.balancer.members] == [1.7, 1.7]


def test_restarted_worker_is_learned_anew_and_a_gone_one_is_removed_from_the_matrices() -> None:
    caller = BalancerDriver(ONE_CLASS, entries=fleet(3))
    serve(caller, {"w0": 2.0, "w1": 10.0, "w2": 10.0}, 300)
    caller.update_list(i.Entry("w0", since=caller.now))
    new, others = caller.balancer.workers["w0"], caller.balancer.members[:2]
    assert new.q == 1 / (1 - balance.DISCOUNT * caller.balancer.default_retention) and all(
        worker.q != new.q for worker in others
    )
    assert (
        not caller.balancer.matrices.sigma[new.row].any()
        and not caller.balancer.matrices.sigma[:, new.row].any()
    )
    caller.update_list(i.Entry("w1", i.Health.GONE))
    assert [worker.id for worker in caller.balancer.members] == ["w2", "w0"]
    assert (caller.balancer.matrices.sigma.diagonal() != 0).sum() == 1


def test_job_counts_by_the_slots_that_it_takes() -> None:
    caller = BalancerDriver(ONE_CLASS, entries=fleet(2))
    ((_, first),) = caller.sends_in(caller.arrive("wide", slots=4.0))
    caller.start_attempt("wide")
    others = []
    for k in range(3):
        others += [worker for _, worker in caller.sends_in(caller.arrive(f"r{k}"))]
        caller.start_attempt(f"r{k}")
    assert first not in others


def test_home_zone_is_preferred_at_equal_load_if_other_zones_have_a_fee() -> None:
    both = (i.Entry("far", zone=1), i.Entry("near"))
    priced = i.Settings(classes=(SAFE,), reports_start=True, cross_zone_fee=0.02)
    for settings, firsts in ((ONE_CLASS, {"far", "near"}), (priced, {"near"})):
        callers = [BalancerDriver(settings, seed, entries=both) for seed in range(9)]
        assert {worker for caller in callers for _, worker in caller.sends_in(caller.arrive("r"))} == firsts
        callers[0].start_attempt("r")
    # The fee costs less than a slot in use.
    assert [worker for _, worker in callers[0].sends_in(callers[0].arrive("next"))] == ["far"]


def test_dispatchers_break_ties_differently() -> None:
    fleet = tuple(i.Entry(f"w{k}") for k in range(8))
    picks = [
        caller.sends_in(caller.arrive("r"))[0][1]
        for caller in (BalancerDriver(ONE_CLASS, seed, fleet) for seed in range(40))
    ]
    # If all dispatchers chose alike, one worker would get all 40.
    assert all(1 <= picks.count(worker.worker) <= 14 for worker in fleet)


def test_worker_without_data_gets_the_average_of_the_fleet() -> None:
    caller = BalancerDriver(ONE_CLASS, entries=fleet(2))
    serve(caller, {"w0": 5.0, "w1": 5.0}, 600)
    caller.update_list(i.Entry("new"))
    caller.balancer._start_solve(caller.now)
    q = {worker.id: worker.q for worker in caller.balancer.members}
    assert 0.6 * min(q["w0"], q["w1"]) < q["new"] < 1.6 * max(q["w0"], q["w1"]) and q["new"] > 1.5


def sent_to_other_zone(waits: float, seed: int) -> list[bool]:
    """Feed about one job per second to one of 200 dispatchers, with two zones.

    Each job waits `waits` seconds before it starts in the home zone, and not at all in the other zone.
    Returns for each job whether it was sent to the other zone.
    """
    priced = i.Settings((SAFE,), reports_start=True, cross_zone_fee=0.08, handshake_fee=0.2, dispatchers=200)
    entries = tuple(i.Entry(f"{zone}-{k}", zone=zone) for zone in (0, 1) for k in range(33))
    caller, away, due = BalancerDriver(priced, seed, entries), list[bool](), list[tuple[float, int, str]]()
    for k in range(60):
        due.append((0.9 * k, 0, f"r{k}"))
    while due:
        at, step, name = heapq.heappop(due)
        caller.wait(at - caller.now)
        if step == 0:
            for _, worker in caller.sends_in(caller.arrive(name)):
                away.append(worker.startswith("1"))
                heapq.heappush(due, (at + (0.0 if away[-1] else waits), 1, name))
        elif step == 1:
            caller.start_attempt(name)
            heapq.heappush(due, (at + 0.05, 2, name))
        else:
            caller.end_attempt(name)
    return away


@pytest.mark.parametrize("seed", [0, 1, 3])
def test_full_home_zone_does_not_keep_its_jobs_because_of_the_cross_zone_fee(seed: int) -> None:
    assert sum(sent_to_other_zone(3 * SAFE.latency_target, seed)[15:]) > 20
    assert sum(sent_to_other_zone(0.0, seed)[15:]) < 3


def test_first_sends_to_a_cold_worker_follow_its_rising_share() -> None:
    """Many dispatchers learn of the start at the same time. In the first quarter of the interval in which
    each sends one job, less than a quarter of them do, because the share of a cold worker rises.
    """
    early, seeds = 0, 300
    ramp = i.Settings((SAFE,), reports_start=True, dispatchers=30, initial_capacity=0.2, warmup_time=20.0)
    for seed in range(seeds):
        caller = BalancerDriver(ramp, seed, fleet(2))
        caller.balancer.warm_rate = 0.005
        caller.update_list(i.Entry("cold", since=caller.now))
        worker = caller.balancer.workers["cold"]
        early += worker.next_cold_send - caller.now < 0.25 * caller.balancer._cold_send_interval(
            worker, SAFE.latency_target, caller.now
        )
    assert 0.05 * seeds < early < 0.2 * seeds


@pytest.mark.parametrize("seed", [0, 1, 2])
def test_single_worker_that_seems_fast_does_not_get_all_jobs(seed: int) -> None:
    """If the first jobs that ended were short, every worker seems slow except those that ran none of them."""
    caller = BalancerDriver(ONE_CLASS, seed, fleet(30))
    caller.balancer.run_times._worker_slowness[:] = 1.0
    caller.balancer.run_times._worker_slowness[caller.balancer.workers["w7"].row] = 0.0
    chosen_workers = []
    for n in range(30):
        chosen_workers += [worker for _, worker in caller.sends_in(caller.arrive(f"r{n}"))]
        caller.start_attempt(f"r{n}")
    assert len(chosen_workers) == 30 and chosen_workers.count("w7") <= 3


def test_first_solve_imports_no_module() -> None:
    """The first solve happens during the first requests, which would wait for a part of numpy to load."""
    code = """
import sys
import wickgw.node
from wickgw import Balancer, interface as i
balancer = Balancer(i.Settings(classes=(i.RequestClass("look", 0.1, 5.0),)), 1)
entries = tuple(i.Entry(f"w{n}") for n in range(5))
balancer.handle(i.WorkerList(i.ListKind.RESTORED, entries), 0.0)
before = set(sys.modules)
for n in range(40):
    balancer.handle(i.Arrival(f"r{n}", 0, 5.0), 0.3 * n)
    balancer.handle(i.Timer("tick"), 0.3 * n + 0.1)
    balancer.handle(i.Outcome(f"r{n}", 0, i.Verdict.OK, answered=True), 0.3 * n + 0.2)
assert balancer.matrices.rows_with_data() and balancer.solved_at > 1.0
print(sorted(set(sys.modules) - before))
"""
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, timeout=20)
    assert done.stdout.decode().strip() == "[]"


def test_machine_types_are_remembered_within_a_bound_in_bytes() -> None:
    """Guards against types that come with each new list and never leave (docs/incidents/51-3)."""
    run_times, rows = RunTimes([1.0]), 4
    for number in range(5_000):
        run_times.add_worker(number % rows, f"type {number} " + "x" * 1_000)
        run_times.observe_run(0, 2.0 + number, number % rows)
    assert sum(map(len, run_times._type_numbers)) <= RunTimes.MAX_TYPE_BYTES
    assert len(run_times._type_slowness) <= RunTimes.MAX_TYPE_BYTES // 1_000
    # The types of current rows are kept, and a new one starts without what was learned of another.
    run_times.add_worker(8, "type 4999 " + "x" * 1_000)
    assert run_times.log_slowness(8) == run_times._type_slowness[run_times._worker_types[3]] > 0
    run_times.add_worker(9, "new")
    assert run_times.log_slowness(9) == 0.0
