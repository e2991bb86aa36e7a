"""Slopes behind docs/CAPACITY.md: `python -m benchmarks.capacity slopes|page|fleet|processes`.

`slopes` measures each quantity at five sizes up to twice the target, in a process of its own, and fits it by
least squares on the power that describes it; `fleet` plays hollow fleets, with subsetting and without;
`processes` starts real dispatchers by the command of `run`. Each writes benchmarks/capacity-NAME.json and prints
a table; `slopes --charts FOLDER` draws them (matplotlib, the extra `charts`).
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

HERE = Path(__file__).parent
TARGET_WORKERS = 1300
WORKER_SIZES = (163, 325, 650, 1300, 2600)
OBJECT_SIZES = (1000, 2000, 4000, 8000, 16000)
TEAM_SIZES = (15, 30, 60, 120, 240)
REPEATS = 3  # plays of each size; the median counts
app = typer.Typer(help=__doc__)
console = Console(width=140)


@dataclass(frozen=True, slots=True)
class Slope:
    """What is measured, at which sizes, and which figures of each measurement are fitted."""

    name: str
    sizes: tuple[int, ...]
    command: tuple[str, ...]  # `{}` stands for the size
    figures: tuple[str, ...]
    per: str  # what the sizes count


def dispatcher_slope(dispatchers: int, jobs_per_s: float, view: str) -> Slope:
    """One of so many dispatchers, with that part of the jobs, by the size of the fleet."""
    command = ("dispatcher", "{}", str(dispatchers), str(jobs_per_s), view, "20")
    figures = ("control_core", "job_ms", "longest_ms", "memory_mb")
    return Slope(f"one of {dispatchers}, {view}", WORKER_SIZES, command, figures, "workers")


SLOPES = (
    dispatcher_slope(200, 2.6, "whole"),
    dispatcher_slope(100, 5.2, "whole"),
    dispatcher_slope(200, 2.6, "subset"),
    dispatcher_slope(100, 5.2, "subset"),
    dispatcher_slope(40, 13.0, "subset"),
    Slope("whole list", WORKER_SIZES, ("list", "{}"), ("bytes", "read_ms", "longest_ms"), "workers"),
    Slope(
        "progress notes", (500, 1000, 2000, 4000, 8000), ("notes", "{}"), ("note_us", "bytes"), "running jobs"
    ),
    Slope("running jobs", OBJECT_SIZES, ("memory", "running", "{}"), ("memory_mb",), "jobs"),
    Slope("held requests", OBJECT_SIZES, ("memory", "held", "{}"), ("memory_mb",), "requests"),
    Slope("teams", TEAM_SIZES, ("memory", "teams", "{}"), ("memory_mb",), "teams"),
)


@dataclass(frozen=True, slots=True)
class Result:
    """One fitted figure."""

    name: str
    figure: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    spread: tuple[float, ...]  # largest less least of the repeats, by size
    fitted: Fit
    exponent: float

    def row(self) -> list[str]:
        """For the table."""
        values = " ".join(f"{value:.4g}" for value in self.values)
        law = f"{self.fitted.base:.4g}"
        if self.fitted.power:
            law += f" + {self.fitted.slope:.4g} x {self.per}^{self.fitted.power}"
        return [self.name, self.figure, values, law, f"{self.fitted.residual:.1%}", f"{self.exponent:.2f}"]


def measure(command: tuple[str, ...], size: int) -> dict[str, float]:
    """One measurement in a process of its own, with one thread for linear algebra, as `run` sets it."""
    told = [part.format(size) for part in command]
    environ = os.environ | {"OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1"}
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.capacity_measures", *told],
        capture_output=True,
        check=True,
        env=environ,
    )
    figures: dict[str, float] = json.loads(done.stdout)
    return figures


def play(slope: Slope, repeats: int) -> list[Result]:
    """Measure a slope, and fit each of its figures."""
    plays = [[measure(slope.command, size) for _ in range(repeats)] for size in slope.sizes]
    results = []
    for figure in slope.figures:
        of_size = [[float(one[figure]) for one in repeated] for repeated in plays]
        values = tuple(statistics.median(found) for found in of_size)
        spread = tuple(max(found) - min(found) for found in of_size)
        fitted = fit(slope.sizes, values)
        law = exponent(slope.sizes, values)
        results.append(Result(slope.name, figure, slope.per, slope.sizes, values, spread, fitted, law))
    return results


def table_of(title: str, heads: tuple[str, ...], rows: list[list[str]]) -> Table:
    """A table for the console."""
    table = Table(*heads, title=title)
    for row in rows:
        table.add_row(*row)
    return table


def keep(name: str, data: object) -> None:
    """Write the figures beside this file."""
    machine = {"python": platform.python_version(), "cores": os.cpu_count()}
    text = json.dumps({"machine": machine, "figures": data}, indent=1)
    (HERE / f"capacity-{name}.json").write_text(text + "\n")


def draw(results: list[Result], folder: Path) -> None:
    """One chart for each fitted figure."""
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    for result in results:
        figure, axes = pyplot.subplots()
        axes.loglog(result.sizes, result.values, "o", label="measured")
        axes.loglog(result.sizes, [max(result.fitted.at(n), 1e-12) for n in result.sizes], label="fitted")
        axes.set(xlabel=result.per, ylabel=result.figure, title=result.name)
        axes.legend()
        figure.savefig(folder / f"{result.name}-{result.figure}.png".replace(" ", "-").replace(",", ""))
        pyplot.close(figure)


@app.command()
def slopes(
    only: Annotated[str, typer.Option(help="Only slopes whose name holds this; nothing is kept.")] = "",
    charts: Annotated[Path | None, typer.Option(help="Draw charts into this folder.")] = None,
) -> None:
    """Measure and fit every slope."""
    chosen = [slope for slope in SLOPES if only in slope.name]
    results = [r for slope in track(chosen, console=console) for r in play(slope, REPEATS)]
    heads = ("what", "figure", "values by size", "base + slope", "residual", "exponent")
    console.print(table_of("Slopes", heads, [result.row() for result in results]))
    if not only:
        keep("slopes", [asdict(result) for result in results])
    if charts is not None:
        draw(results, charts)


@app.command()
def page() -> None:
    """Print the kept slopes as the table of docs/CAPACITY.md."""
    figures = json.loads((HERE / "capacity-slopes.json").read_text())["figures"]
    print("| what | figure | value | sizes | residual | spread |\n| --- | --- | --- | --- | --- | --- |")
    for one in figures:
        fitted, sizes = Fit(**one["fitted"]), one["sizes"]
        law = f"{fitted.base:.3g}"
        if fitted.power:
            law += f" + {fitted.slope:.3g} x {one['per']}^{fitted.power}"
        spread = max(s / max(v, 1e-9) for s, v in zip(one["spread"], one["values"], strict=True))
        row = (one["name"], one["figure"], law, f"{sizes[0]} to {sizes[-1]}", f"{fitted.residual:.0%}")
        print(f"| {' | '.join(row)} | {spread:.0%} |")


@app.command()
def fleet(
    seeds: Annotated[int, typer.Option(help="Plays of each plan.")] = 10,
    target: Annotated[bool, typer.Option(help="The operators' size in two years; subsets only.")] = False,
    only: Annotated[str, typer.Option(help="Only plans whose name holds this; nothing is kept.")] = "",
) -> None:
    """Play hollow fleets, each plan with subsetting and without, and print the paired difference."""
    from benchmarks.capacity_fleet import compare, play_target

    data = play_target(console) if target else compare(console, seeds, only)
    if not only:
        keep("target" if target else "fleet", data)


@app.command()
def processes(
    count: Annotated[int, typer.Option(help="Dispatchers.")] = 20,
    seconds: Annotated[int, typer.Option(help="At rest, and as long at load.")] = 60,
) -> None:
    """Real dispatchers by the command of `run`, on loopback, with a list of 1,300 workers; with subsetting
    turned on, and without."""
    from benchmarks.capacity_processes import ini_of, play_processes

    data = {}
    for view, ini in (("subsets", ini_of(TARGET_WORKERS)), ("whole", "")):
        console.print(view)
        data[view] = play_processes(console, count, seconds, TARGET_WORKERS, ini)
    keep("processes", data)


if __name__ == "__main__":
    app()
