"""Many rehearsals at once, on all cores, and what they come to together.

Owns the worker processes of a campaign and the report. It must never let the order in which seeds finish
change the report.
"""

import concurrent.futures
import os
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from wickgw.address.bugs import Planted
from wickgw.address.rehearsal import BOUND_MS, Result, rehearse

CHUNK = 8  # seeds that a worker plays before it reports


@dataclass(slots=True)
class Report:
    """What a campaign came to."""

    seeds: int
    results: list[Result] = field(default_factory=list)

    @property
    def broken(self) -> list[Result]:
        """The seeds with a violation."""
        return [r for r in self.results if r.violations]

    def as_json(self) -> dict[str, Any]:
        """The keys are documented in docs/operators/moving-address.md."""
        returns = [value for r in self.results for value in r.returns]
        quantiles = np.percentile(returns, [50, 99, 100]) if returns else [0.0, 0.0, 0.0]
        scenarios = {
            name: {
                "seeds": count,
                "violations": sum(len(r.violations) for r in self.results if r.scenario == name),
                "max_overlap_ms": max(r.overlap_ms for r in self.results if r.scenario == name),
            }
            for name, count in sorted(Counter(r.scenario for r in self.results).items())
        }
        return {
            "seeds": len(self.results),
            "violations": sum(len(r.violations) for r in self.results),
            "bound_ms": BOUND_MS,
            "max_overlap_ms": round(max((r.overlap_ms for r in self.results), default=0.0), 4),
            "return_s": {
                key: round(float(value), 4)
                for key, value in zip(("p50", "p99", "max"), quantiles, strict=True)
            },
            "deaths": len(returns),
            "moves": sum(r.moves for r in self.results),
            "scenarios": scenarios,
            "broken_seeds": [r.seed for r in self.broken][:100],
        }


def _play(seeds: range, bug: str) -> list[Result]:
    return [rehearse(seed, Planted(bug)) for seed in seeds]


def campaign(
    first: int,
    seeds: int,
    bug: str = "",
    processes: int = 0,
    stop_at_first: bool = False,
    progress: Callable[[int], None] = lambda count: None,
) -> Report:
    """Play `seeds` seeds from `first` on, over `processes` processes (0: one a core)."""
    report = Report(seeds)
    chunks = [range(at, min(at + CHUNK, first + seeds)) for at in range(first, first + seeds, CHUNK)]
    with concurrent.futures.ProcessPoolExecutor(processes or os.cpu_count()) as pool:
        for results in _in_order(pool, chunks, bug):
            report.results += results
            progress(len(results))
            if stop_at_first and any(r.violations for r in results):
                pool.shutdown(cancel_futures=True)
                break
    return report


def _in_order(
    pool: concurrent.futures.ProcessPoolExecutor, chunks: list[range], bug: str
) -> Iterator[list[Result]]:
    futures = [pool.submit(_play, chunk, bug) for chunk in chunks]
    for future in futures:
        yield future.result()
