"""Benchmark of the balancer by number of workers: `python -m benchmarks.decisions [--quick]`.

Jobs arrive as a Poisson process in virtual time and run for a second on average, at a load of 0.7. Each call of
`Balancer.handle` is timed. The table gives the cost of a job over all its calls (median over batches of 200
jobs), the longest call and the longest tick. Writes benchmarks/decisions.md.
"""

import heapq
import itertools
import os
import platform
import statistics
import time
from pathlib import Path
from typing import Annotated

import numpy as np
import typer

from wickgw import Balancer
from wickgw import interface as i

TABLE_FILE = Path(__file__).with_suffix(".md")
RUN_S, SLOTS, LOAD = 1.0, 2, 0.7


def measure(workers: int, jobs: int, seed: int = 1) -> tuple[float, float, float]:
    """Return microseconds for each job, and the longest call and the longest tick in milliseconds."""
    rng = np.random.default_rng(seed)
    classes = (i.RequestClass("look", latency_target=0.4, deadline=5.0, stretch=2.0),)
    balancer = Balancer(i.Settings(classes=classes, reports_start=True, may_hedge=False), seed)
    serial = itertools.count()
    events: list[tuple[float, int, i.Event]] = []
    entries = tuple(i.Entry(f"w{n}") for n in range(workers))
    events += [
        (0.0, next(serial), i.Began()),
        (0.0, next(serial), i.WorkerList(i.ListKind.RESTORED, entries)),
    ]
    mean_gap_s, arrives_at = RUN_S / (workers * SLOTS * LOAD), 0.1
    for n in range(jobs):
        arrives_at += float(rng.exponential(mean_gap_s))
        events.append((arrives_at, next(serial), i.Arrival(f"r{n}", 0, 5.0)))
    heapq.heapify(events)
    free_at = {entry.worker: [0.0] * SLOTS for entry in entries}
    last_attempts: dict[str, int] = {}
    batch_s, longest_call_s, longest_tick_s, job_costs_s, ended = 0.0, 0.0, 0.0, list[float](), 0
    # The first fifth is left out of the longest calls: matrices and memory pages are touched for the first time.
    warmed_up_at = 0.1 + 0.2 * jobs * mean_gap_s
    while events and ended < jobs:
        now, _, event = heapq.heappop(events)
        began = time.perf_counter()
        actions = balancer.handle(event, now)
        took_s = time.perf_counter() - began
        batch_s += took_s
        if now > warmed_up_at:
            longest_call_s = max(longest_call_s, took_s)
            longest_tick_s = (
                max(longest_tick_s, took_s)
                if isinstance(event, i.Timer) and event.name == "tick"
                else longest_tick_s
            )
        if isinstance(event, i.Outcome):
            ended += 1
            if ended % 200 == 0:
                job_costs_s.append(batch_s / 200)
                batch_s = 0.0
        for action in actions:
            if isinstance(action, i.Wake):
                heapq.heappush(events, (now + action.delay, next(serial), i.Timer(action.name)))
            elif isinstance(action, i.Refuse | i.Fail):
                ended += 1
            elif isinstance(action, i.Send):
                number = last_attempts[action.request] = last_attempts.get(action.request, -1) + 1
                starts_at = max(now + 0.001, free_at[action.worker][0])
                ends_at = starts_at + float(rng.exponential(RUN_S))
                heapq.heapreplace(free_at[action.worker], ends_at)
                heapq.heappush(events, (starts_at, next(serial), i.Started(action.request, number)))
                outcome = i.Outcome(action.request, number, i.Verdict.OK, answered=True)
                heapq.heappush(events, (ends_at, next(serial), outcome))
    return statistics.median(job_costs_s) * 1e6, longest_call_s * 1e3, longest_tick_s * 1e3


def main(
    quick: Annotated[bool, typer.Option(help="Fewer jobs; print the table without writing it.")] = False,
) -> None:
    """Measure and write the table."""
    rows = []
    for workers in (12, 50, 200, 800):
        job_us, longest_call_ms, longest_tick_ms = measure(
            workers, max(4000, 8 * workers) if not quick else 1600
        )
        rows.append(f"| {workers} | {job_us:.0f} | {longest_call_ms:.2f} | {longest_tick_ms:.2f} |")
        print(rows[-1], flush=True)
    text = f"""# Decisions, by size of the fleet

`python -m benchmarks.decisions`, Python {platform.python_version()}, numpy {np.__version__}, {os.cpu_count()} cores (one is used).

| workers | a job, us | longest call, ms | longest tick, ms |
| --- | --- | --- | --- |
{chr(10).join(rows)}
"""
    if not quick:
        TABLE_FILE.write_text(text)


if __name__ == "__main__":
    typer.run(main)
