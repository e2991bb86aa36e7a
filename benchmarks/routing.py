"""Benchmark of route checks and route look-ups: `python -m benchmarks.routing [--quick]`.

Files of 10 to 1,000 routes are generated from a seed. Hosts, prefixes, patterns, classes, zones and headers
occur about as often as in examples/routes.ini, and every second route has an expectation. Writes
benchmarks/routing.md.
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
TABLE_FILE = Path(__file__).with_suffix(".md")
ROUTE_COUNTS = (10, 30, 100, 300, 1000)


def generate_ini(routes: int, seed: int = 1) -> str:
    """Return an INI file with this number of routes and half as many expectations."""
    rng = np.random.default_rng([seed, routes])
    host_count, zones = max(1, routes // 12), ("dallas", "memphis", "tulsa")
    lines = ["[routing]", f"zones = {' '.join(zones)}", "classes = look", "attempts = 3", ""]
    for zone in zones:
        lines += [f"[pool:{zone}]", f"zone = {zone}", ""]
        for n in range(3):
            lines += [f"[worker:{zone}{n}]", f"zone = {zone}", ""]
    lines += ["[route:all]", "path_prefix = /", f"pools = {' '.join(zones)}", ""]
    for number in range(1, routes):
        host, zone = int(rng.integers(host_count)), zones[int(rng.integers(3))]
        lines += [f"[route:r{number}]", f"host = shop{host}.example.org"]
        path_draw = rng.random()
        if path_draw < 0.2:
            lines.append(f"path_pattern = /look/v{number}/[0-9]+")
        elif path_draw < 0.4:
            lines.append(f"path = /look/v{number}/status")
        else:
            lines.append(f"path_prefix = /look/v{number}")
        if rng.random() < 0.3:
            lines.append(f"zone = {zone}")
        if rng.random() < 0.1:
            lines.append("header.X-Shop = present")
        lines += [f"pools = {zone} {zones[0] if zone != zones[0] else zones[1]}", ""]
        if number % 2:
            lines += [
                f"[expect:e{number}]",
                f"host = shop{host}.example.org",
                f"path_prefix = /look/v{number}/x",
            ]
            lines += [
                f"unless = out zone:{zones[0]}; out zone:{zones[1]}; out zone:{zones[2]}",
                "never = refused",
                "",
            ]
    return "\n".join(lines)


def measure(routes: int, folder: Path) -> str:
    """Measure one size, and return its line of the table."""
    path = folder / f"{routes}.ini"
    path.write_text(generate_ini(routes))
    started_at = time.perf_counter()
    plan = read_plan(path)
    read_at = time.perf_counter()
    analysis = analyze(plan)
    analyzed_at = time.perf_counter()
    results = check(plan, analysis)
    lint(plan, analysis, results)
    checked_at = time.perf_counter()
    assert {result.verdict.value for result in results} == {"holds"}, [
        result for result in results if result.verdict.value != "holds"
    ][:2]
    requests = [equivalence_class.witness for equivalence_class, _, _ in analysis.equivalence_classes]
    rng = np.random.default_rng(7)
    sample = [requests[int(n)] for n in rng.integers(len(requests), size=4000)]
    lookup_us = min(_measure_lookups(plan.table.lookup, sample) for _ in range(5))
    scan_us = min(
        _measure_lookups(
            lambda request: [route for route in plan.table.routes if route.matcher.matches(request)],
            sample[:400],
        )
        for _ in range(3)
    )
    return (
        f"| {routes} | {len(plan.expectations)} | {len(analysis.equivalence_classes)} | {read_at - started_at:.2f} | "
        f"{analyzed_at - read_at:.2f} | "
        f"{checked_at - analyzed_at:.2f} | {checked_at - started_at:.2f} | {lookup_us:.1f} | {scan_us:.1f} |"
    )


def _measure_lookups(look_up: object, requests: list[Request]) -> float:
    """Return the mean time of a look-up, in microseconds."""
    assert callable(look_up)
    began = time.perf_counter()
    for request in requests:
        look_up(request)
    return (time.perf_counter() - began) / len(requests) * 1e6


def measure_command() -> float:
    """Return the median seconds of five runs of the whole command on the example, as an operator runs it."""
    times_s = []
    for _ in range(5):
        began = time.perf_counter()
        command = [sys.executable, "-m", "wickgw", "route", "check", "examples/routes.ini", "-q"]
        subprocess.run(command, cwd=ROOT, check=True, stdout=subprocess.DEVNULL)
        times_s.append(time.perf_counter() - began)
    return sorted(times_s)[2]


def main(
    quick: Annotated[
        bool, typer.Option(help="Up to 100 routes; print the table without writing it.")
    ] = False,
) -> None:
    """Measure and write the table."""
    with tempfile.TemporaryDirectory() as folder:
        rows = [measure(routes, Path(folder)) for routes in (ROUTE_COUNTS[:3] if quick else ROUTE_COUNTS)]
    text = f"""# Routes, measured

`python -m benchmarks.routing`, Python {platform.python_version()}, {os.cpu_count()} cores (one is used).

`wickgw route check examples/routes.ini` (25 routes, 40 expectations), the whole command: {measure_command():.2f} s (median of 5).

Generated files; seconds for reading, cutting all requests into cells, and deciding with lint; a look-up on the serving
path in microseconds, and for comparison a plain scan of all routes.

| routes | expectations | cells | read | cut | decide | whole | look-up us | scan us |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
{chr(10).join(rows)}
"""
    print(text)
    if not quick:
        TABLE_FILE.write_text(text)


if __name__ == "__main__":
    typer.run(main)
