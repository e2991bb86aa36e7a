"""Measurements behind docs/CAPACITY.md: `python -m benchmarks.capacity slopes|page|fleet|processes`.

`slopes` measures each quantity at five sizes up to twice the target, each time in a new process, and fits a
power of the size by least squares. `fleet` simulates fleets with subsetting and without. `processes` starts
real dispatchers by the command of `run`. Each of them prints a table and writes benchmarks/capacity-NAME.json.
`slopes --charts FOLDER` draws charts, which needs matplotlib (the extra `charts`). `page` prints the stored
slopes.
"""

import json
import os
import platform
import statistics
import subprocess
import sys
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.progress import track
from rich.table import Table

from benchmarks.capacity_fit import Fit, exponent, fit

FOLDER = Path(__file__).parent
TARGET_WORKERS = 1300
WORKER_COUNTS = (163, 325, 650, 1300, 2600)
OBJECT_COUNTS = (1000, 2000, 4000, 8000, 16000)
TENANT_COUNTS = (15, 30, 60, 120, 240)
REPEATS = 3  # measurements of each size, of which the median is used
app = typer.Typer(help=__doc__)
console = Console(width=140)


@dataclass(frozen=True, slots=True)
class Slope:
    """A quantity to measure by size."""

    name: str
    sizes: tuple[int, ...]
    command: tuple[str, ...]  # arguments of benchmarks.capacity_measures; `{}` stands for the size
    figures: tuple[str, ...]  # keys of the measurement that are fitted
    per: str  # what the sizes count


def dispatcher_slope(dispatchers: int, jobs_per_s: float, view: str) -> Slope:
    """Return the slope of one dispatcher's cost by the number of workers.

    Args:
        dispatchers: Number of dispatchers of the deployment.
        jobs_per_s: Jobs that this dispatcher receives each second.
        view: `whole` for the whole list of workers, `subset` for subsetting.
    """
    command = ("dispatcher", "{}", str(dispatchers), str(jobs_per_s), view, "20")
    figures = ("control_core", "job_ms", "longest_ms", "memory_mb")
    return Slope(f"one of {dispatchers}, {view}", WORKER_COUNTS, command, figures, "workers")


SLOPES = (
    dispatcher_slope(200, 2.6, "whole"),
    dispatcher_slope(100, 5.2, "whole"),
    dispatcher_slope(200, 2.6, "subset"),
    dispatcher_slope(100, 5.2, "subset"),
    dispatcher_slope(40, 13.0, "subset"),
    Slope("whole list", WORKER_COUNTS, ("list", "{}"), ("bytes", "read_ms", "longest_ms"), "workers"),
    Slope(
        "progress notes", (500, 1000, 2000, 4000, 8000), ("notes", "{}"), ("note_us", "bytes"), "running jobs"
    ),
    Slope("running jobs", OBJECT_COUNTS, ("memory", "running", "{}"), ("memory_mb",), "jobs"),
    Slope("held requests", OBJECT_COUNTS, ("memory", "held", "{}"), ("memory_mb",), "requests"),
    Slope("teams", TENANT_COUNTS, ("memory", "teams", "{}"), ("memory_mb",), "teams"),
)


@dataclass(frozen=True, slots=True)
class Result:
    """One figure of a slope, with its fit."""

    name: str
    figure: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    spread: tuple[float, ...]  # largest minus smallest of the repeats, by size
    fitted: Fit
    exponent: float

    def row(self) -> list[str]:
        """Return the row of the printed table."""
        values = " ".join(f"{value:.4g}" for value in self.values)
        law = f"{self.fitted.base:.4g}"
        if self.fitted.power:
            law += f" + {self.fitted.slope:.4g} x {self.per}^{self.fitted.power}"
        return [self.name, self.figure, values, law, f"{self.fitted.residual:.1%}", f"{self.exponent:.2f}"]


def measure(command: tuple[str, ...], size: int) -> dict[str, float]:
    """Run one measurement in a new process and return its figures.

    The process uses one thread for linear algebra, as the command of `run` sets it.
    """
    arguments = [part.format(size) for part in command]
    environ = os.environ | {"OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1"}
    process = subprocess.run(
        [sys.executable, "-m", "benchmarks.capacity_measures", *arguments],
        capture_output=True,
        check=True,
        env=environ,
    )
    figures: dict[str, float] = json.loads(process.stdout)
    return figures


def measure_slope(slope: Slope, repeats: int) -> list[Result]:
    """Measure a slope at all its sizes, and fit each of its figures."""
    measurements = [[measure(slope.command, size) for _ in range(repeats)] for size in slope.sizes]
    results = []
    for figure in slope.figures:
        by_size = [[float(measured[figure]) for measured in repeated] for repeated in measurements]
        values = tuple(statistics.median(samples) for samples in by_size)
        spread = tuple(max(samples) - min(samples) for samples in by_size)
        fitted = fit(slope.sizes, values)
        growth = exponent(slope.sizes, values)
        results.append(Result(slope.name, figure, slope.per, slope.sizes, values, spread, fitted, growth))
    return results


def make_table(title: str, headings: tuple[str, ...], rows: list[list[str]]) -> Table:
    """Return a table for the console."""
    table = Table(*headings, title=title)
    for row in rows:
        table.add_row(*row)
    return table


def write_figures(name: str, data: object) -> None:
    """Write figures to benchmarks/capacity-NAME.json, with a description of the machine."""
    machine = {"python": platform.python_version(), "cores": os.cpu_count()}
    text = json.dumps({"machine": machine, "figures": data}, indent=1)
    (FOLDER / f"capacity-{name}.json").write_text(text + "\n")


def draw(results: list[Result], folder: Path) -> None:
    """Draw one chart for each fitted figure."""
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    for result in results:
        figure, axes = pyplot.subplots()
        axes.loglog(result.sizes, result.values, "o", label="measured")
        axes.loglog(
            result.sizes, [max(result.fitted.at(size), 1e-12) for size in result.sizes], label="fitted"
        )
        axes.set(xlabel=result.per, ylabel=result.figure, title=result.name)
        axes.legend()
        figure.savefig(folder / f"{result.name}-{result.figure}.png".replace(" ", "-").replace(",", ""))
        pyplot.close(figure)


@app.command()
def slopes(
    only: Annotated[
        str, typer.Option(help="Only slopes whose name contains this text; nothing is written.")
    ] = "",
    charts: Annotated[Path | None, typer.Option(help="Draw charts into this folder.")] = None,
) -> None:
    """Measure and fit every slope."""
    chosen = [slope for slope in SLOPES if only in slope.name]
    results = [fitted for slope in track(chosen, console=console) for fitted in measure_slope(slope, REPEATS)]
    headings = ("what", "figure", "values by size", "base + slope", "residual", "exponent")
    console.print(make_table("Slopes", headings, [result.row() for result in results]))
    if not only:
        write_figures("slopes", [asdict(result) for result in results])
    if charts is not None:
        draw(results, charts)


@app.command()
def page() -> None:
    """Print the stored slopes as the table of docs/CAPACITY.md."""
    figures = json.loads((FOLDER / "capacity-slopes.json").read_text())["figures"]
    print("| what | figure | value | sizes | residual | spread |\n| --- | --- | --- | --- | --- | --- |")
    for figure in figures:
        fitted, sizes = Fit(**figure["fitted"]), figure["sizes"]
        law = f"{fitted.base:.3g}"
        if fitted.power:
            law += f" + {fitted.slope:.3g} x {figure['per']}^{fitted.power}"
        spread = max(
            largest / max(value, 1e-9)
            for largest, value in zip(figure["spread"], figure["values"], strict=True)
        )
        row = (figure["name"], figure["figure"], law, f"{sizes[0]} to {sizes[-1]}", f"{fitted.residual:.0%}")
        print(f"| {' | '.join(row)} | {spread:.0%} |")


@app.command()
def fleet(
    seeds: Annotated[int, typer.Option(help="Simulations of each plan.")] = 10,
    target: Annotated[
        bool, typer.Option(help="The operators' fleet in two years, with subsets only.")
    ] = False,
    only: Annotated[
        str, typer.Option(help="Only plans whose name contains this text; nothing is written.")
    ] = "",
) -> None:
    """Simulate each plan with subsetting and without, and print the paired difference."""
    from benchmarks.capacity_fleet import compare, simulate_target

    data = simulate_target(console) if target else compare(console, seeds, only)
    if not only:
        write_figures("target" if target else "fleet", data)


@app.command()
def processes(
    count: Annotated[int, typer.Option(help="Number of dispatchers.")] = 20,
    seconds: Annotated[int, typer.Option(help="Duration of the idle phase, and of the load phase.")] = 60,
) -> None:
    """Measure real dispatchers on loopback with a list of 1,300 workers, with subsetting and without."""
    from benchmarks.capacity_processes import measure_processes, subsetting_ini

    data = {}
    for view, ini in (("subsets", subsetting_ini(TARGET_WORKERS)), ("whole", "")):
        console.print(view)
        data[view] = measure_processes(console, count, seconds, TARGET_WORKERS, ini)
    write_figures("processes", data)


if __name__ == "__main__":
    app()
