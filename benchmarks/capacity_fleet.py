"""Fleet simulations for the capacity page: with subsetting and with the whole view, paired by seed."""

import gc
import json
import os
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from rich.console import Console

from wickgw import interface as i
from wickgw.emulator.fleet_simulation.fleet import FleetSimulation
from wickgw.emulator.fleet_simulation.plan import Fault, FaultKind, FleetPlan

AIM_S, DEADLINE_S = 0.5, 6.0
CLASSES = (
    i.RequestClass("safe", AIM_S, DEADLINE_S, 1.0, 0.3, 2.0),
    i.RequestClass("unsafe", AIM_S, DEADLINE_S, 3.0, 0.3, 2.0, idempotency=i.Idempotency.UNSAFE),
)
WORK_S, SLOTS, LOAD = 1.0, 2, 0.6  # load as a share of the capacity
DURATION_S = 30.0
PARALLEL_SIMULATIONS = 4
T_95 = {5: 2.776, 10: 2.262}  # two-sided 95% quantile of Student's t, by the number of pairs
FAULTS: dict[str, tuple[Fault, ...]] = {
    "calm": (),
    "zone lost": (Fault(FaultKind.ZONE, 10.0, 15.0),),
    "region split": (Fault(FaultKind.REGION_SPLIT, 10.0, 8.0),),
    "mass restart": (Fault(FaultKind.MASS_RESTART, 12.0, 0.0, 0.7),),
    "replacement": (Fault(FaultKind.REPLACEMENT, 8.0, 10.0, 0.5),),
    # On an ordinary day 390 of 1,300 workers are replaced and 19 fail. Here the same shares fall within 30 s.
    "ordinary day": (
        Fault(FaultKind.REPLACEMENT, 3.0, 24.0, 390 / 1300),
        Fault(FaultKind.RACK, 12.0, 8.0, 3 * 19 / 1300),  # the rack is in one of three zones
    ),
}
# The largest fleet whose simulation with the whole view takes minutes and less than half of the machine's memory.
DISPATCHERS, WORKERS, ZONES, REGIONS = 60, 325, 3, 2


def comparison_plan(fault: str, subsets: bool) -> FleetPlan:
    """Return the plan of one simulation in a comparison."""
    arrivals_per_s = LOAD * WORKERS * SLOTS / WORK_S
    return FleetPlan(
        dispatchers=DISPATCHERS,
        workers=WORKERS,
        zones=ZONES,
        regions=REGIONS,
        jobs_per_s=arrivals_per_s,
        mean_work_s=WORK_S,
        slots=SLOTS,
        duration_s=DURATION_S,
        classes=CLASSES,
        faults=FAULTS[fault],
        subsets=subsets,
        traffic_sigma=0.7,
    )


def target_plan(dispatchers: int, workers: int = 1300) -> FleetPlan:
    """Return the plan of the operators' fleet in two years.

    520 jobs start each second and 22,000 run at a time, in 6 zones of 2 regions.
    """
    starts_per_s, running_jobs = 520.0, 22_000
    mean_run_s = running_jobs / starts_per_s
    # The interval of learning steps follows from the shortest latency target, that of the urgent class.
    classes = (
        i.RequestClass("urgent", latency_target=1.0, deadline=600.0, worth=3.0, stretch=2.0),
        i.RequestClass("task", latency_target=9.8, deadline=600.0, stretch=2.0),
    )
    return FleetPlan(
        dispatchers=dispatchers,
        workers=workers,
        zones=6,
        regions=2,
        jobs_per_s=starts_per_s,
        mean_work_s=mean_run_s,
        slots=24,
        duration_s=90.0,
        classes=classes,
        subsets=True,
    )


def simulate(fault: str, subsets: bool, seed: int) -> dict[str, object]:
    """Run one simulation in this process, and return its report."""
    gc.freeze()
    gc.disable()
    return FleetSimulation(comparison_plan(fault, subsets), seed).run().as_dict()


def simulate_in_process(fault: str, subsets: bool, seed: int) -> dict[str, object]:
    """Run one simulation in a process of its own, and return its report."""
    call = f"simulate({fault!r}, {subsets}, {seed})"
    code = f"from benchmarks.capacity_fleet import simulate; import json; print(json.dumps({call}))"
    environ = os.environ | {"OPENBLAS_NUM_THREADS": "1"}
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, env=environ)
    report: dict[str, object] = json.loads(process.stdout)
    return report


def confidence_interval(differences: list[float]) -> tuple[float, float]:
    """Return the mean of paired differences, and half the width of its 95% confidence interval."""
    mean = statistics.fmean(differences)
    quantile = T_95.get(len(differences), 2.0)
    return mean, quantile * statistics.stdev(differences) / len(differences) ** 0.5


def compare(console: Console, seeds: int, only: str = "") -> object:
    """Simulate every fault whose name contains `only`, with the whole view and with subsets on the same seeds.

    Returns:
        By fault: the reports, the mean gain in worth by subsets, and half of its confidence interval.
    """
    data: dict[str, object] = {}
    for fault in (name for name in FAULTS if only in name):
        runs = [(fault, subsets, seed) for seed in range(1, seeds + 1) for subsets in (False, True)]
        with ThreadPoolExecutor(PARALLEL_SIMULATIONS) as pool:
            reports = list(pool.map(lambda run: simulate_in_process(*run), runs))
        whole_view, subset_view = reports[::2], reports[1::2]
        gains = [float(b["worth"]) - float(a["worth"]) for a, b in zip(whole_view, subset_view, strict=True)]  # type: ignore[arg-type]
        mean, half_width = confidence_interval(gains)
        violations = [sum(report["broken"].values()) for report in reports]  # type: ignore[attr-defined]
        data[fault] = {"whole": whole_view, "subsets": subset_view, "gain": mean, "half_interval": half_width}
        console.print(
            f"{fault:13} worth {_mean(whole_view, 'worth'):.3f} -> {_mean(subset_view, 'worth'):.3f}"
            f" ({mean:+.3f} +- {half_width:.3f}), control {_mean(whole_view, 'control_core'):.2%} ->"
            f" {_mean(subset_view, 'control_core'):.2%} of a core, job {_mean(whole_view, 'job_ms'):.2f} ->"
            f" {_mean(subset_view, 'job_ms'):.2f} ms, busiest {_mean(whole_view, 'busiest'):.2f} ->"
            f" {_mean(subset_view, 'busiest'):.2f}, rules broken {sum(violations)}"
        )
    return data


def _mean(reports: list[dict[str, object]], figure: str) -> float:
    return statistics.fmean(float(report[figure]) for report in reports)  # type: ignore[arg-type]


def simulate_target(console: Console) -> object:
    """Simulate the operators' fleet in two years, with subsets and without faults; return the reports."""
    gc.freeze()
    gc.disable()
    data = {}
    for dispatchers in (100, 200):
        for workers in (1300, 2600):
            plan = target_plan(dispatchers, workers)
            if workers != 1300:
                plan = replace(plan, slots=plan.slots // 2)
            report = FleetSimulation(plan, 1).run()
            data[f"{dispatchers} dispatchers, {workers} workers"] = report.as_dict()
            console.print(dispatchers, workers, report.as_dict())
    return data
