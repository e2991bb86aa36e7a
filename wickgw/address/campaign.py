"""Runs many simulations on all cores and combines their results into one report.

Owns the worker processes of a campaign and the report. The report does not depend on the order in which the
processes finish.
"""

import concurrent.futures
import os
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from wickgw.address.injected_bugs import InjectedBug
from wickgw.address.simulation import MAX_OVERLAP_MS, SimulationResult, simulate

SEEDS_PER_TASK = 8  # simulated by a process before it returns results


@dataclass(slots=True)
class CampaignReport:
    """The results of a campaign."""

    seeds: int  # requested; fewer results if the campaign stopped at a violation
    results: list[SimulationResult] = field(default_factory=list)

    @property
    def failed_results(self) -> list[SimulationResult]:
        """The results with at least one violation."""
        return [result for result in self.results if result.violations]

    def as_json(self) -> dict[str, Any]:
        """Return the report; docs/operators/moving-address.md documents its keys."""
        recovery_times_s = [value for result in self.results for value in result.recovery_times_s]
        quantiles = np.percentile(recovery_times_s, [50, 99, 100]) if recovery_times_s else [0.0, 0.0, 0.0]
        scenarios = {
            name: {
                "seeds": count,
                "violations": sum(
                    len(result.violations) for result in self.results if result.scenario == name
                ),
                "max_overlap_ms": max(
                    result.overlap_ms for result in self.results if result.scenario == name
                ),
            }
            for name, count in sorted(Counter(result.scenario for result in self.results).items())
        }
        return {
            "seeds": len(self.results),
            "violations": sum(len(result.violations) for result in self.results),
            "bound_ms": MAX_OVERLAP_MS,
            "max_overlap_ms": round(max((result.overlap_ms for result in self.results), default=0.0), 4),
            "return_s": {
                key: round(float(value), 4)
                for key, value in zip(("p50", "p99", "max"), quantiles, strict=True)
            },
            "deaths": len(recovery_times_s),
            "moves": sum(result.moves for result in self.results),
            "scenarios": scenarios,
            "broken_seeds": [result.seed for result in self.failed_results][:100],
        }


def _simulate_seeds(seeds: range, bug: str) -> list[SimulationResult]:
    return [simulate(seed, InjectedBug(bug)) for seed in seeds]


def run_campaign(
    first: int,
    seeds: int,
    bug: str = "",
    processes: int = 0,
    stop_at_first: bool = False,
    progress: Callable[[int], None] = lambda count: None,
) -> CampaignReport:
    """Simulate `seeds` seeds, starting at seed `first`, in `processes` processes (0: one for each core).

    `bug` names an injected bug, empty for none. With `stop_at_first`, the campaign stops at the first
    violation. `progress` is called with the number of seeds done since its last call.
    """
    report = CampaignReport(seeds)
    seed_ranges = [
        range(start, min(start + SEEDS_PER_TASK, first + seeds))
        for start in range(first, first + seeds, SEEDS_PER_TASK)
    ]
    with concurrent.futures.ProcessPoolExecutor(processes or os.cpu_count()) as executor:
        for results in _results_in_order(executor, seed_ranges, bug):
            report.results += results
            progress(len(results))
            if stop_at_first and any(result.violations for result in results):
                executor.shutdown(cancel_futures=True)
                break
    return report


def _results_in_order(
    executor: concurrent.futures.ProcessPoolExecutor, seed_ranges: list[range], bug: str
) -> Iterator[list[SimulationResult]]:
    futures = [executor.submit(_simulate_seeds, seeds, bug) for seeds in seed_ranges]
    for future in futures:
        yield future.result()
