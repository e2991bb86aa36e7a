"""Routes: what checks and look-ups cost, `python -m benchmarks.routing [--quick]`. Writes benchmarks/routing.md.

Files of 10 to 1,000 routes are made from a seed: hosts, prefixes, patterns, classes, zones and headers in the
shares of examples/routes.ini, and an expectation for every second route.
"""

import os
import platform
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Annotated

import numpy as np
import typer

from wickgw.config.routes import read_plan
from wickgw.routing.check import analyze, check
from wickgw.routing.lint import lint
from wickgw.routing.match import Request

ROOT = Path(__file__).parent.parent
TABLE = Path(__file__).with_suffix(".md")
SIZES = (10, 30, 100, 300, 1000)


def generated(routes: int, seed: int = 1) -> str:
    """An operator's file of so many routes, and half as many expectations."""
    rng = np.random.default_rng([seed, routes])
    hosts, zones = max(1, routes // 12), ("dallas", "memphis", "tulsa")
    text = ["[routing]", f"zones = {' '.join(zones)}", "classes = look", "attempts = 3", ""]
    for zone in zones:
        text += [f"[pool:{zone}]", f"zone = {zone}", ""]
        for n in range(3):
            text += [f"[worker:{zone}{n}]", f"zone = {zone}", ""]
    text += ["[route:all]", "path_prefix = /", f"pools = {' '.join(zones)}", ""]
    for k in range(1, routes):
        host, zone = int(rng.integers(hosts)), zones[int(rng.integers(3))]
        text += [f"[route:r{k}]", f"host = shop{host}.example.org"]
        kind = rng.random()
        if kind < 0.2:
            text.append(f"path_pattern = /look/v{k}/[0-9]+")
        elif kind < 0.4:
            text.append(f"path = /look/v{k}/status")
        else:
            text.append(f"path_prefix = /look/v{k}")
        if rng.random() < 0.3:
            text.append(f"zone = {zone}")
        if rng.random() < 0.1:
            text.append("header.X-Shop = present")
        text += [f"pools = {zone} {zones[0] if zone != zones[0] else zones[1]}", ""]
        if k % 2:
            text += [f"[expect:e{k}]", f"host = shop{host}.example.org", f"path_prefix = /look/v{k}/x"]
            text += [
                f"unless = out zone:{zones[0]}; out zone:{zones[1]}; out zone:{zones[2]}",
                "never = refused",
                "",
            ]
    return "\n".join(text)


def measure(routes: int, folder: Path) -> str:
    """One line of the table."""
    path = folder / f"{routes}.ini"
    path.write_text(generated(routes))
    start = time.perf_counter()
    plan = read_plan(path)
    read = time.perf_counter()
    found = analyze(plan)
    cut = time.perf_counter()
    judged = check(plan, found)
    lint(plan, found, judged)
    end = time.perf_counter()
    assert {j.verdict.value for j in judged} == {"holds"}, [j for j in judged if j.verdict.value != "holds"][
        :2
    ]
    asked = [cell.witness for cell, _, _ in found.equivalence_classes]
    rng = np.random.default_rng(7)
    picked = [asked[int(n)] for n in rng.integers(len(asked), size=4000)]
    took = min(_look_up(plan.table.lookup, picked) for _ in range(5))
    scan = min(
        _look_up(lambda r: [x for x in plan.table.routes if x.matcher.matches(r)], picked[:400])
        for _ in range(3)
    )
    return (
        f"| {routes} | {len(plan.expectations)} | {len(found.equivalence_classes)} | {read - start:.2f} | {cut - read:.2f} | "
        f"{end - cut:.2f} | {end - start:.2f} | {took:.1f} | {scan:.1f} |"
    )


def _look_up(take: object, requests: list[Request]) -> float:
    """Microseconds a request."""
    assert callable(take)
    start = time.perf_counter()
    for request in requests:
        take(request)
    return (time.perf_counter() - start) / len(requests) * 1e6


def sample() -> float:
    """Seconds of the whole command on the sample, as an operator runs it."""
    took = []
    for _ in range(5):
        start = time.perf_counter()
        command = [sys.executable, "-m", "wickgw", "route", "check", "examples/routes.ini", "-q"]
        subprocess.run(command, cwd=ROOT, check=True, stdout=subprocess.DEVNULL)
        took.append(time.perf_counter() - start)
    return sorted(took)[2]


def main(
    quick: Annotated[bool, typer.Option(help="Up to 100 routes; the table is printed, not kept.")] = False,
) -> None:
    """Measure, and write the table."""
    with tempfile.TemporaryDirectory() as folder:
        rows = [measure(size, Path(folder)) for size in (SIZES[:3] if quick else SIZES)]
    text = f"""# Routes, measured

`python -m benchmarks.routing`, Python {platform.python_version()}, {os.cpu_count()} cores (one is used).

`wickgw route check examples/routes.ini` (25 routes, 40 expectations), the whole command: {sample():.2f} s (median of 5).

Generated files; seconds for reading, cutting all requests into cells, and deciding with lint; a look-up on the serving
path in microseconds, and for comparison a plain scan of all routes.

| routes | expectations | cells | read | cut | decide | whole | look-up us | scan us |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
{chr(10).join(rows)}
"""
    print(text)
    if not quick:
        TABLE.write_text(text)


if __name__ == "__main__":
    typer.run(main)
