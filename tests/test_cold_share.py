"""The share of cold workers follows the work that warm ones do (docs/incidents/57-2)."""

from dataclasses import replace

import pytest
from harness import SAFE, BalancerDriver

from wickgw import interface as i
from wickgw.emulator.fleet_simulation.fleet import FleetReport, FleetSimulation
from wickgw.emulator.fleet_simulation.plan import Fault, FaultKind, FleetPlan

UNSAFE = i.RequestClass("unsafe", 0.5, 6.0, 3.0, 0.3, 2.0, idempotency=i.Idempotency.UNSAFE)
CLASSES = (i.RequestClass("safe", 0.5, 6.0, 1.0, 0.3, 2.0), UNSAFE)
REPLACEMENT = Fault(FaultKind.REPLACEMENT, 3.0, 7.0, 0.6)
LATE_RESTART = Fault(FaultKind.MASS_RESTART, 8.0, 0.0, 0.8)
HEDGING = i.Settings(
    (replace(SAFE, late_worth=0.0),), reports_start=True, dispatchers=4, may_hedge=True, may_cancel=True
)


def plan(
    dispatchers: int = 100,
    load: float = 2.4,
    mean_work_s: float = 0.36,
    cold_from: float = 0.15,
    queue_limit: int | None = 20,
    faults: tuple[Fault, ...] = (REPLACEMENT,),
    latency_target_s: float = 0.5,
) -> FleetPlan:
    """Return a plan of 16 s with 20 workers of two slots, most of which are replaced under a burst."""
    workers, slots = 20, 2
    classes = tuple(replace(each, latency_target=latency_target_s) for each in CLASSES)
    return FleetPlan(
        dispatchers,
        workers,
        3,
        2,
        load * workers * slots / mean_work_s,
        mean_work_s,
        slots,
        16.0,
        classes,
        faults,
        traffic_sigma=0.5,
        cold_from=cold_from,
        queue_limit=queue_limit,
    )


def simulate(fleet_plan: FleetPlan, seed: int) -> FleetReport:
    """Run a simulation of the plan."""
    return FleetSimulation(fleet_plan, seed).run()


PLANS = {
    "turned away": plan(),
    "colder start": plan(cold_from=0.05, faults=(replace(REPLACEMENT, share=0.8),)),
    "long jobs": plan(60, mean_work_s=2.0),
    "restarted dispatchers": plan(faults=(REPLACEMENT, LATE_RESTART)),
    "restarted, jobs much longer than their target": plan(
        mean_work_s=2.0, faults=(REPLACEMENT, LATE_RESTART), latency_target_s=0.1
    ),
}


@pytest.mark.parametrize("name", PLANS)
def test_cold_workers_are_not_overloaded_while_warm_ones_are_full(name: str) -> None:
    """Guards against a share of cold workers that grows with attempts which warm ones turn away or lose."""
    report = simulate(PLANS[name], 1)
    assert report.declined > 0.2, "warm workers were not full"
    assert {rule: count for rule, count in report.broken.items() if count} == {}


@pytest.mark.parametrize("dispatchers", [1, 10, 30])
@pytest.mark.parametrize("load", [0.6, 1.05])
def test_cold_workers_are_not_overloaded_by_fewer_dispatchers(dispatchers: int, load: float) -> None:
    report = simulate(plan(dispatchers, load), 2)
    assert {rule: count for rule, count in report.broken.items() if count} == {}


def warm_rate_after(verdict: i.Verdict) -> float:
    """Return the rate of warm workers that a dispatcher sees while attempts end with `verdict`."""
    workers = tuple(i.Entry(f"w{n}") for n in range(8))
    caller = BalancerDriver(i.Settings((SAFE,), reports_start=True, max_attempts=1), 1, workers)
    for number in range(200):
        caller.arrive(f"r{number}")
        for name, attempt in caller.open_attempts():
            caller.start_attempt(name, attempt)
            caller.wait(0.02)
            caller.end_attempt(name, verdict, attempt)
    return caller.balancer.warm_rate


@pytest.mark.parametrize(
    "verdict",
    [i.Verdict.FULL, i.Verdict.TIMEOUT, i.Verdict.RESET, i.Verdict.CONNECT_FAILED, i.Verdict.ERROR],
)
def test_attempts_that_were_not_served_are_no_work_done(verdict: i.Verdict) -> None:
    assert warm_rate_after(verdict) == 0.0 < warm_rate_after(i.Verdict.OK)


def test_hedged_job_counts_once() -> None:
    """Guards against a share of cold workers that grows with hedged attempts."""
    workers = tuple(i.Entry(f"w{n}") for n in range(8))
    caller = BalancerDriver(HEDGING, 1, workers)
    caller.arrive("job")
    while len(caller.open_attempts()) < 2:
        caller.wait(0.01)
    expected = caller.balancer.open_attempts["job", 0].work
    caller.start_attempt("job", 1)
    caller.end_attempt("job", i.Verdict.OK, 1)
    assert caller.balancer.warm_work_done == pytest.approx(expected)
    caller.end_attempt("job", i.Verdict.OK, 0)
    assert caller.balancer.warm_work_done == pytest.approx(expected)


def test_job_of_a_client_that_left_counts_once_it_is_done() -> None:
    caller = BalancerDriver(i.Settings((SAFE,), reports_start=True), 1, (i.Entry("w0"),))
    caller.arrive("job")
    caller.start_attempt("job")
    caller.feed(i.ClientLeft("job"))
    caller.requests["job"].answered_at = caller.now
    caller.end_attempt("job")
    assert caller.balancer.warm_work_done > 0


def test_first_send_to_a_cold_worker_waits_until_a_warm_one_has_done_work() -> None:
    """Guards against a dispatcher that has just started and takes its jobs for as short as their target."""
    settings = i.Settings((SAFE,), reports_start=True, dispatchers=4, initial_capacity=0.2, warmup_time=20.0)
    caller = BalancerDriver(settings, 1, (i.Entry("warm"), i.Entry("cold", since=0.0)))
    cold = caller.balancer.workers["cold"]
    caller.wait(1.0)
    assert cold.next_cold_send == float("inf")
    caller.arrive("job")
    caller.start_attempt("job")
    caller.end_attempt("job")
    caller.wait(0.2)
    assert cold.next_cold_send < float("inf")


def test_cold_workers_are_used_at_once_where_there_are_no_warm_ones() -> None:
    settings = i.Settings((SAFE,), reports_start=True, dispatchers=4, initial_capacity=0.2, warmup_time=20.0)
    caller = BalancerDriver(settings, 1, (i.Entry("a", since=0.0), i.Entry("b", since=0.0)))
    assert all(worker.next_cold_send < 10.0 for worker in caller.balancer.members)


def test_first_sends_are_settled_once_the_rate_is_an_average_over_its_window() -> None:
    """Guards against state for each cold worker that stays, and work for it at each tick."""
    settings = i.Settings((SAFE,), reports_start=True, dispatchers=4, initial_capacity=0.2, warmup_time=60.0)
    caller = BalancerDriver(settings, 1, (i.Entry("warm"), i.Entry("cold", since=0.0)))
    for number in range(300):
        caller.arrive(f"r{number}")
        for name, attempt in caller.open_attempts():
            caller.start_attempt(name, attempt)
            caller.end_attempt(name, number=attempt)
        caller.wait(0.02)
    caller.update_list(i.Entry("later", since=caller.now))
    assert caller.balancer.first_cold_sends == {}
    caller.update_list(i.Entry("warm", i.Health.GONE), i.Entry("later", i.Health.GONE))
    caller.wait(0.2)
    assert caller.balancer.first_cold_sends == {}
