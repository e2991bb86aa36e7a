"""Benchmark of the start of a dispatcher: `python -m benchmarks.start`.

Alternates starts of `wickgw serve`, as the platform starts it, with runs of `import numpy`. The table gives the
medians of CPU time and real time until the process listens and until it is ready, of resident memory when it is
ready, and the number of loaded modules. One set of runs uses compiled sources, as `build` leaves them; the other
has no cached bytecode. Writes benchmarks/start.md.
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


def cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds, from the scheduler's count of nanoseconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1]) / 1000


def wait_until(process: "subprocess.Popen[bytes]", condition: Callable[[], bool]) -> None:
    """Poll without pause until the condition is true.

    Raises:
        SystemExit: The process has ended, or 60 s have passed.
    """
    end = time.monotonic() + 60
    while not condition():
        if process.poll() is not None or time.monotonic() > end:
            raise SystemExit(f"the process ended with {process.poll()}")


def is_listening(port: int) -> bool:
    """Return whether a socket listens on the port, from /proc; a connection would cost the process CPU time."""
    local_address = f"0100007F:{port:04X}"
    rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:])
    return any(row[1] == local_address and row[3] == "0A" for row in rows)


def is_ready(port: int) -> bool:
    """Return whether `/-/ready` answers with success."""
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
    """Start the program once, and return its figures.

    Args:
        environ: Environment of the process.
        folder: Directory for the configuration.
        tree: Checkout to run.
        log: File descriptor for standard error.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
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
        wait_until(process, lambda: is_listening(port))
        figures = {"listens cpu": cpu_s(process.pid), "listens real": time.monotonic() - began}
        wait_until(process, lambda: is_ready(port))
        figures |= {"ready cpu": cpu_s(process.pid), "ready real": time.monotonic() - began}
        figures["memory"] = resident_mb(process.pid)
    finally:
        process.terminate()
        process.wait(30)
    return figures


def numpy_once(environ: dict[str, str], folder: Path, tree: Path) -> dict[str, float]:
    """Import numpy once in a new process, and return its figures."""
    code = "import numpy, sys, resource as r; u = r.getrusage(r.RUSAGE_SELF); print(u.ru_utime + u.ru_stime)"
    began = time.monotonic()
    process = subprocess.run([sys.executable, "-c", code], env=environ, capture_output=True, check=True)
    return {"numpy cpu": float(process.stdout), "numpy real": time.monotonic() - began}


def count_modules(environ: dict[str, str], folder: Path, tree: Path) -> int:
    """Return how many modules a dispatcher has loaded when it is ready, from Python's trace of imports."""
    with (folder / "trace").open("w+") as trace:
        traced_environ = environ | {"PYTHONPROFILEIMPORTTIME": "1"}
        serve_once(traced_environ, folder, tree, trace.fileno())
        trace.seek(0)
        return sum(line.startswith("import time:") for line in trace) - 1  # minus the heading of the trace


def measure(runs: int, cached: bool, tree: Path) -> dict[str, float]:
    """Return the medians over a number of runs, with and without cached bytecode by `cached`."""
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
        samples: dict[str, list[float]] = {}
        for _ in range(runs):
            for run_once in (serve_once, numpy_once):
                for key, value in run_once(environ, folder, tree).items():
                    samples.setdefault(key, []).append(value)
        module_count = {"modules": count_modules(environ, folder, tree)}
        return {k: statistics.median(v) for k, v in samples.items()} | module_count


def main(
    runs: Annotated[int, typer.Option(help="Number of starts of each kind.")] = 20,
    tree: Annotated[Path, typer.Option(help="Checkout to measure instead of this one.")] = ROOT,
    write: Annotated[bool, typer.Option(help="Write the table beside this file.")] = True,
) -> None:
    """Measure and print the table."""
    rows = ["| bytecode | figure | listens | ready | numpy | listens / numpy | ready / numpy |"]
    rows += ["| --- | --- | --- | --- | --- | --- | --- |"]
    notes = []
    for cached, name in ((True, "compiled"), (False, "none")):
        medians = measure(runs, cached, tree)
        for kind, label in (("cpu", "processor ms"), ("real", "real ms")):
            listens_s, ready_s, numpy_s = (
                medians[f"{event} {kind}"] for event in ("listens", "ready", "numpy")
            )
            cells = [
                f"{1000 * listens_s:.0f}",
                f"{1000 * ready_s:.0f}",
                f"{1000 * numpy_s:.0f}",
                f"{listens_s / numpy_s:.2f}",
                f"{ready_s / numpy_s:.2f}",
            ]
            rows.append(f"| {name} | {label} | {' | '.join(cells)} |")
        notes.append(
            f"{name}: {medians['memory']:.1f} MB resident when ready, {medians['modules']:.0f} modules."
        )
    text = "\n".join([*rows, "", *notes]) + "\n"
    print(text)
    if write:
        heading = f"# What a start costs\n\nMedians of {runs} starts, by `python -m benchmarks.start`.\n\n"
        Path(__file__).with_suffix(".md").write_text(heading + text)


if __name__ == "__main__":
    typer.run(main)
