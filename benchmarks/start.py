"""What a start costs: python -m benchmarks.start

Starts `wickgw serve` as the platform does, and `import numpy` beside it in turn, and takes for each the median of
so many runs: processor time and real time until the process listens and until it is ready, resident memory when
it is ready, and how many modules it has loaded. Once with compiled sources, as `build` leaves them, and once with
no bytecode cached. Writes the table to benchmarks/start.md.
"""

import http.client
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import typer

ROOT = Path(__file__).parent.parent
SERVICES = [
    {"name": "look", "target-ns": 200_000_000, "hard-limit-ns": 5_000_000_000, "idempotency": "read_like"}
]


def spent(pid: int) -> float:
    """Processor seconds of a process so far: the scheduler's count, in nanoseconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def memory(pid: int) -> float:
    """Resident megabytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1]) / 1000


def until(process: "subprocess.Popen[bytes]", asked: Callable[[], bool]) -> None:
    """Ask again and again until it is so."""
    end = time.monotonic() + 60
    while not asked():
        if process.poll() is not None or time.monotonic() > end:
            raise SystemExit(f"the process ended with {process.poll()}")


def listens(port: int) -> bool:
    """Whether somebody listens there. No connection is made: it would be accepted, and cost the process."""
    wanted = f"0100007F:{port:04X}"
    rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:])
    return any(row[1] == wanted and row[3] == "0A" for row in rows)


def ready(port: int) -> bool:
    """Whether it says that it is ready."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        connection.request("GET", "/-/ready")
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def serve_once(
    environ: dict[str, str], folder: Path, tree: Path, log: int = subprocess.DEVNULL
) -> dict[str, float]:
    """One start of the program."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    entry = {"uid": "w0", "endpoint": "127.0.0.1:9", "state": "ready"}
    config: dict[str, Any] = {"name": "n0", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9"}
    config |= {"settings": {"services": SERVICES}, "known": {"rev": 1, "all": True, "targets": [entry]}}
    (folder / "config.json").write_text(json.dumps(config))
    began = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "wickgw", "serve"],
        cwd=tree,
        env=environ | {"RELAY_CONFIG": str(folder / "config.json")},
        stdout=subprocess.DEVNULL,
        stderr=log,
    )
    try:
        until(process, lambda: listens(port))
        figures = {"listens cpu": spent(process.pid), "listens real": time.monotonic() - began}
        until(process, lambda: ready(port))
        figures |= {"ready cpu": spent(process.pid), "ready real": time.monotonic() - began}
        figures["memory"] = memory(process.pid)
    finally:
        process.terminate()
        process.wait(30)
    return figures


def numpy_once(environ: dict[str, str], folder: Path, tree: Path) -> dict[str, float]:
    """One import of numpy."""
    code = "import numpy, sys, resource as r; u = r.getrusage(r.RUSAGE_SELF); print(u.ru_utime + u.ru_stime)"
    began = time.monotonic()
    done = subprocess.run([sys.executable, "-c", code], env=environ, capture_output=True, check=True)
    return {"numpy cpu": float(done.stdout), "numpy real": time.monotonic() - began}


def modules(environ: dict[str, str], folder: Path, tree: Path) -> int:
    """How many modules a serving process has loaded when it is ready, as Python's own trace of imports lists."""
    with (folder / "trace").open("w+") as trace:
        told = environ | {"PYTHONPROFILEIMPORTTIME": "1"}
        serve_once(told, folder, tree, trace.fileno())
        trace.seek(0)
        return sum(line.startswith("import time:") for line in trace) - 1  # less the head of the list


def measure(runs: int, cached: bool, tree: Path) -> dict[str, float]:
    """Medians over so many runs, the two in turn."""
    environ = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "WICKGW_"))}
    environ |= {"OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1"}
    environ.pop("PYTHONDONTWRITEBYTECODE", None)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        if cached:
            environ["PYTHONPYCACHEPREFIX"] = str(folder / "cache")
            serve_once(environ, folder, tree)  # fills the cache
            numpy_once(environ, folder, tree)
        environ["PYTHONDONTWRITEBYTECODE"] = "1"
        if not cached:
            environ["PYTHONPYCACHEPREFIX"] = str(folder / "empty")
        found: dict[str, list[float]] = {}
        for _ in range(runs):
            for once in (serve_once, numpy_once):
                for key, value in once(environ, folder, tree).items():
                    found.setdefault(key, []).append(value)
        loaded = {"modules": modules(environ, folder, tree)}
        return {k: statistics.median(v) for k, v in found.items()} | loaded


def main(
    runs: Annotated[int, typer.Option(help="Starts of each kind.")] = 20,
    tree: Annotated[Path, typer.Option(help="A checkout to measure, in place of this one.")] = ROOT,
    write: Annotated[bool, typer.Option(help="Write the table beside this file.")] = True,
) -> None:
    """Measure and print the table."""
    rows = ["| bytecode | figure | listens | ready | numpy | listens / numpy | ready / numpy |"]
    rows += ["| --- | --- | --- | --- | --- | --- | --- |"]
    notes = []
    for cached, name in ((True, "compiled"), (False, "none")):
        m = measure(runs, cached, tree)
        for kind, what in (("cpu", "processor ms"), ("real", "real ms")):
            a, b, c = (m[f"{k} {kind}"] for k in ("listens", "ready", "numpy"))
            cells = [f"{1000 * a:.0f}", f"{1000 * b:.0f}", f"{1000 * c:.0f}", f"{a / c:.2f}", f"{b / c:.2f}"]
            rows.append(f"| {name} | {what} | {' | '.join(cells)} |")
        notes.append(f"{name}: {m['memory']:.1f} MB resident when ready, {m['modules']:.0f} modules.")
    text = "\n".join([*rows, "", *notes]) + "\n"
    print(text)
    if write:
        head = f"# What a start costs\n\nMedians of {runs} starts, by `python -m benchmarks.start`.\n\n"
        Path(__file__).with_suffix(".md").write_text(head + text)


if __name__ == "__main__":
    typer.run(main)
