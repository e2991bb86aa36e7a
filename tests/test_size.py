"""Decisions in large fleets: q in one step and in several, the order of the queues, many joins and leaves."""

import heapq
import random
from typing import Any
from unittest.mock import patch

import numpy as np
import pytest
from harness import BalancerDriver
from hypothesis import example, given, settings
from hypothesis import strategies as st

from wickgw import balance
from wickgw import interface as i
from wickgw.linear import BlockElimination
from wickgw.matrices import MAX_ITEMS_PER_CALL, IncrementalSolve, Matrices
from wickgw.standby import BASE_MEMBERS

HIGH = i.RequestClass("high", 0.4, 5.0, worth=8.0, stretch=2.0)
LOW = i.RequestClass("low", 0.4, 5.0, worth=1.0, stretch=2.0)


def reference_q(ticks: list[tuple[Any, Any, Any]], decay: float, retention: float) -> Any:
    """Compute q directly from the formula in `wickgw.matrices`, one tick at a time."""
    n = len(ticks[0][0])
    sigma, sigma_bar, weight = np.zeros((n, n)), np.zeros((n, n)), 1.0
    for before, in_flight, sent in ticks:
        sigma += weight * np.outer(before, before)
        sigma_bar += weight * np.outer(in_flight - sent, before)
        weight *= decay
    eye = balance.PRIOR_JOBS_SQUARED * np.eye(n)
    s, r = sigma / weight + eye, sigma_bar / weight + retention * eye
    return np.linalg.solve(s - balance.DISCOUNT * r.T, s.sum(axis=1))


@settings(derandomize=True, max_examples=40, deadline=None)
@given(
    st.integers(1, 12),
    st.integers(1, 150),
    st.integers(0, 1 << 30),
    st.sampled_from([1.0, 1.01, 1.5]),
    st.booleans(),
)
@example(11, 2, 75, 1.0, True)  # a worker beyond the last row with data retained jobs
def test_q_matches_the_reference_within_rounding(
    workers: int, ticks: int, seed: int, decay: float, in_steps: bool
) -> None:
    rng = np.random.default_rng(seed)
    solve: IncrementalSolve | None = None
    matrices = Matrices(balance.DISCOUNT, balance.PRIOR_JOBS_SQUARED)
    rows, retention, recorded = [matrices.add_row() for _ in range(workers)], 0.6, []
    before: Any = np.zeros(workers)
    for tick in range(ticks):
        in_flight = rng.integers(0, 5, workers) * (rng.random(workers) < 0.6) * 1.0
        sent = np.minimum(in_flight, rng.integers(0, 3, workers))
        recorded.append((before, in_flight, sent))
        used = [k for k in range(workers) if before[k] or in_flight[k] or sent[k]]
        past = [k for k in used if before[k]]
        if past:
            matrices.record(
                [rows[k] for k in past],
                [float(before[k]) for k in past],
                [rows[k] for k in used],
                [float(in_flight[k] - sent[k]) for k in used],
            )
        matrices.decay(decay)
        before = in_flight
        if in_steps and tick == ticks - 1 and (known := matrices.rows_with_data()):
            solve = IncrementalSolve(matrices, known, retention)
    wanted = reference_q(recorded, decay, retention)
    known, solved = matrices.rows_with_data(), np.full(workers, 1 / (1 - balance.DISCOUNT * retention))
    if solve is not None:
        q = None
        while q is None:
            q = solve.step()
        for k, row in enumerate(rows):
            solved[k] = q[row] if row < solve.row_count else solved[k]
    elif known:
        for row, value in zip(
            known, np.linalg.solve(*matrices.system(known, retention)).tolist(), strict=True
        ):
            solved[rows.index(row)] = value
    assert np.allclose(solved, wanted, rtol=1e-6)


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.integers(1, 150), st.integers(0, 1 << 30))
def test_block_elimination_solves_the_system(n: int, seed: int) -> None:
    rng = np.random.default_rng(seed)
    a, b = rng.normal(size=(n, n)), rng.normal(size=n)
    elimination, x = BlockElimination(a.copy(), b.copy()), None
    while x is None:
        x = elimination.step()
    assert np.allclose(a @ x, b, atol=1e-7 * max(1.0, float(np.abs(x).max())))


def test_solution_that_is_not_positive_keeps_the_last_q_at_any_size() -> None:
    for workers in (3, MAX_ITEMS_PER_CALL + 20):
        caller = BalancerDriver(
            i.Settings(classes=(LOW,)), entries=tuple(i.Entry(f"w{k}") for k in range(workers))
        )
        for worker in caller.balancer.members:
            # More jobs stay than there were: no valid drain rate.
            worker.q, worker.previous_in_flight, worker.in_flight, worker.sent_since_tick = 1.7, 100, 300, 0
        caller.balancer.active_workers.update(caller.balancer.members)
        caller.balancer._record_tick(caller.now)
        caller.balancer._start_solve(caller.now)
        while caller.balancer.pending_solve is not None:
            caller.balancer._continue_solve()
        assert {worker.q for worker in caller.balancer.members} == {1.7}


def single_slot_workers(classes: tuple[i.RequestClass, ...], workers: int = 1, **more: Any) -> BalancerDriver:
    """Return a caller with workers that have room for one job each."""
    balancer_settings = i.Settings(classes=classes, reports_start=True, may_hedge=False, **more)
    caller = BalancerDriver(balancer_settings, entries=tuple(i.Entry(f"w{k}") for k in range(workers)))
    for worker in caller.balancer.members:
        worker.concurrency_limit = 1.0
        caller.balancer._update_index(worker)
    return caller


def test_equal_requests_are_served_in_order_of_arrival_whatever_the_estimate() -> None:
    """The estimated running time of a class falls to a thousandth while requests of it are queued."""
    caller = single_slot_workers((LOW,))
    caller.arrive("first")
    caller.start_attempt("first")
    served = []
    for k in range(12):
        caller.arrive(f"r{k}")
        caller.balancer.mean_run_times[0] = 0.4 / 2**k
    sent = caller.sends_in(caller.end_attempt("first"))
    while sent:
        served += [name for name, _ in sent]
        caller.balancer.members[0].concurrency_limit = 1.0
        caller.start_attempt(served[-1])
        sent = caller.sends_in(caller.end_attempt(served[-1]))
    assert served == [f"r{k}" for k in range(12)]


def test_request_with_the_earlier_deadline_is_served_first() -> None:
    caller = single_slot_workers((LOW,))
    caller.arrive("running")
    caller.start_attempt("running")
    caller.balancer.mean_run_times[0] = 0.01
    caller.arrive("patient", time_left=5.0)
    caller.arrive("pressed", time_left=0.2)
    assert [name for name, _ in caller.sends_in(caller.end_attempt("running"))] == ["pressed"]


@patch.object(balance, "MAX_SKIPS", 6)
@settings(derandomize=True, max_examples=12, deadline=None)
@given(st.integers(0, 1 << 30), st.integers(1, 3))
def test_queue_is_skipped_at_most_max_skips_times_in_a_row(seed: int, workers: int) -> None:
    """Random arrivals, starts and ends, with changing estimates: while the first request of a queue can still
    be started, at most MAX_SKIPS free slots in a row go to other queues.
    """
    rng = random.Random(seed)
    caller = single_slot_workers((HIGH, LOW), workers)
    skips, names, in_flight = 0, dict[str, int](), list[str]()
    for _ in range(200):
        for _ in range(rng.choice((0, 1, 1, 2, 3))):
            class_index = 1 if rng.random() < 0.15 else 0
            name = f"r{len(names)}"
            names[name] = class_index
            sent = caller.sends_in(caller.arrive(name, class_index, time_left=4.0))
            in_flight += [n for n, _ in sent]
        caller.balancer.mean_run_times = [rng.uniform(0.001, 0.4), rng.uniform(0.001, 0.4)]
        for name in list(in_flight):
            if caller.requests[name].attempts and not caller.requests[name].attempts[-1].started:
                caller.start_attempt(name)
        if in_flight and rng.random() < 0.9:
            ended = in_flight.pop(rng.randrange(len(in_flight)))
            for worker in caller.balancer.members:
                worker.concurrency_limit = min(worker.concurrency_limit, 1.0)
            waits = [
                request
                for request in caller.balancer.requests.values()
                if request.queue_ticket >= 0 and request.class_index == 1 and caller.now < request.start_by
            ]
            sent = caller.sends_in(caller.end_attempt(ended))
            in_flight += [n for n, _ in sent]
            for name, _ in sent:
                skips = 0 if names[name] == 1 or not waits else skips + 1
            assert skips <= balance.MAX_SKIPS + workers
        caller.wait(0.005)


@patch.object(balance, "MAX_SKIPS", 8)
def test_lowest_of_four_classes_gets_its_share_when_the_highest_overloads_the_workers() -> None:
    classes = tuple(i.RequestClass(f"c{k}", 0.4, 5.0, worth=4.0**k, stretch=2.0) for k in range(4))
    caller = single_slot_workers(classes, 2)
    job_counts = [0] * 4  # served jobs by class
    number = 0
    for _ in range(250):
        for class_index in (3, 3, 3, 0, 1, 2):
            caller.arrive(f"{class_index}-{number}", class_index)
            number += 1
        for name, k in caller.open_attempts():
            if not caller.requests[name].attempts[k].started:
                caller.start_attempt(name, k)
            for worker in caller.balancer.members:
                worker.concurrency_limit = 1.0
            caller.end_attempt(name, number=k)
            job_counts[int(name[0])] += 1
        caller.wait(0.01)
    share = job_counts[0] / sum(job_counts)
    assert share > 0.8 / (balance.MAX_SKIPS + 3) and job_counts[3] == max(job_counts)


def test_hundreds_of_workers_join_and_leave_while_rows_are_in_use() -> None:
    rng = random.Random(4)
    caller = BalancerDriver(i.Settings(classes=(LOW,), reports_start=True, may_hedge=False))
    listed: set[int] = set()
    for k in range(40):
        join = {rng.randrange(400) for _ in range(rng.choice((0, 0, 150)))} - listed
        leave = set(rng.sample(sorted(listed), len(listed) // 2)) if rng.random() < 0.1 else set()
        caller.update_list(
            *(i.Entry(f"w{n}", since=caller.now) for n in join),
            *(i.Entry(f"w{n}", i.Health.GONE) for n in leave),
        )
        listed = (listed | join) - leave
        for n in range(10):
            caller.arrive(f"{k}-{n}")
        for name, number in caller.open_attempts():
            if rng.random() < 0.7:
                caller.start_attempt(name, number)
                caller.end_attempt(name, number=number)
        caller.wait(0.1)
        balancer = caller.balancer
        used_rows = {worker.row for worker in balancer.members}
        assert len(used_rows) == len(balancer.members) <= BASE_MEMBERS + 4 * 10 and used_rows.isdisjoint(
            balancer.matrices.free_rows
        )
        assert len(balancer.members) + len(balancer.standby) == len(listed) and not any(
            worker.id in balancer.standby for worker in balancer.members
        )
        assert all(f"w{n}" in balancer.standby or f"w{n}" in balancer.workers for n in listed)
        assert all(balancer.row_workers[worker.row] is worker for worker in balancer.members)
        vacant = [row for row in range(balancer.matrices.size) if balancer.row_workers[row] is None]
        assert (
            not balancer.matrices.sigma[vacant].any()
            and not balancer.matrices.pending_previous[:, vacant].any()
        )
        assert np.isinf(balancer.index.eligible_at[vacant]).all()


def test_ten_workers_still_serve_when_790_of_800_drain() -> None:
    entries = tuple(i.Entry(f"w{k}", i.Health.READY) for k in range(800))
    caller = BalancerDriver(i.Settings(classes=(LOW,), reports_start=True, may_hedge=False), entries=entries)
    caller.update_list(*(i.Entry(f"w{k}", i.Health.DRAINING) for k in range(10, 800)))
    used_workers = set()
    for k in range(100):
        for name, worker in caller.sends_in(caller.arrive(f"r{k}")):
            used_workers.add(worker)
            caller.start_attempt(name)
            caller.end_attempt(name)
    assert used_workers == {f"w{k}" for k in range(10)}


def test_burst_of_5000_requests_is_answered_and_leaves_no_state() -> None:
    balancer = single_slot_workers((HIGH, LOW), 3).balancer
    timers: list[tuple[float, int, str]] = []
    answers, in_flight, now = list[str](), list[str](), 1.0

    def feed(event: i.Event) -> None:
        for action in balancer.handle(event, now):
            match action:
                case i.Wake(name, after):
                    heapq.heappush(timers, (now + after, len(timers), name))
                case i.Send(name, _):
                    in_flight.append(name)
                case i.Refuse(name) | i.Fail(name):
                    answers.append(name)

    for k in range(5000):
        feed(i.Arrival(f"r{k}", k % 2, 1.0))
    while len(answers) < 5000:
        for name in in_flight[:]:
            in_flight.remove(name)
            feed(i.Started(name, 0))
            answers.append(name)
            feed(i.Outcome(name, 0, i.Verdict.OK, answered=True))
        now += 0.01
        while timers and timers[0][0] <= now:
            feed(i.Timer(heapq.heappop(timers)[2]))
        assert now < 4.0
    assert len(set(answers)) == 5000 and not balancer.requests
    assert (
        len(balancer.queues) == 0
        and balancer.queues.slots_by_class == [0.0, 0.0]
        and not balancer.queues.heads()
        and not balancer.queues.queues
    )


@pytest.mark.parametrize("within", [0.05, 1.0])
def test_hurry_refuses_only_a_request_that_can_not_end_in_time(within: float) -> None:
    caller = single_slot_workers((LOW,))
    caller.arrive("running")
    caller.start_attempt("running")
    caller.arrive("held")
    caller.balancer.mean_run_times[0] = 0.2
    actions = caller.feed(i.Hurry("held", within))
    refused = [action.request for action in actions if isinstance(action, i.Refuse)]
    assert refused == (["held"] if within < 0.2 else [])
