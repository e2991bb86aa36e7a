"""One dispatcher on sockets beside a bare relay: `python -m benchmarks.sockets [--quick] [--tree DIR]`.

Eight workers that answer at once, 32 clients that ask again as soon as they are answered; workers, relay,
dispatcher and clients are processes of their own. Printed: CPU a request of the dispatcher and of a relay that
passes the same bytes, their ratio, the median and longest answer, and what was refused, with one class and
with four. `--tree` serves from another checkout, for a comparison in one run. Writes benchmarks/sockets.md.
"""

import asyncio
import contextlib
import json
import os
import platform
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, cast

import typer

ROOT = Path(__file__).parent.parent
TABLE = Path(__file__).with_suffix(".md")
MS = 1_000_000
CLIENTS, WORKERS = 32, 8


def settings(classes: int) -> dict[str, Any]:
    """So many classes, the first worth most; aim 200 ms, deadline 5 s, worth nothing after the aim."""
    services = [
        {"name": f"c{k}", "target-ns": 200 * MS, "hard-limit-ns": 5000 * MS, "idempotency": "read_like"}
        | {"worth": 4.0 ** (classes - k)}
        for k in range(classes)
    ]
    bounds = {"attempts-cap": 3, "cancel": True, "connect-timeout-ns": 250 * MS, "conn-idle-ns": 60_000 * MS}
    return {"services": services, "bounds": bounds, "family-info": {"tells-start": True}, "zones": ["east"]}


@contextlib.contextmanager
def process(*command: str, cwd: Path = ROOT, **environ: str) -> Iterator["subprocess.Popen[str]"]:
    """A process, ended at the end."""
    kept = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "WICKGW_"))}
    environ = kept | {"OPENBLAS_NUM_THREADS": "1", "PYTHONPATH": str(cwd)} | environ
    started = subprocess.Popen(
        [sys.executable, *command],
        cwd=cwd,
        env=environ,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        yield started
    finally:
        started.kill()
        started.communicate()


def cpu(pid: int) -> float:
    """Seconds of a core that a process has used."""
    stat = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return sum(map(int, stat[11:13])) / int(os.sysconf("SC_CLK_TCK"))


def memory(pid: int) -> float:
    """Megabytes that a process holds."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(next(x.split()[1] for x in status.splitlines() if x.startswith("VmRSS"))) / 1024


class Client(asyncio.Protocol):
    """Asks, and asks again as soon as it is answered."""

    left = 0
    classes = 1
    served: list[float]
    refused = 0
    done: "asyncio.Future[None]"
    number = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.data = cast(asyncio.Transport, transport), b""
        self.ask()

    def ask(self) -> None:
        if Client.left <= 0:
            if len(Client.served) + Client.refused >= Client.number and not Client.done.done():
                Client.done.set_result(None)
            return
        Client.left -= 1
        Client.number += 1
        name, cls = f"r{Client.number}", Client.number % Client.classes
        self.asked = time.perf_counter()
        self.transport.write(
            f"POST /c{cls} HTTP/1.1\r\nHost: a\r\nReq-Id: {name}\r\nReq-Deadline-Ms: 5000\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, end, body = self.data.partition(b"\r\n\r\n")
        if not end:
            return
        low = head.lower()
        if b"chunked" in low:
            if not body.endswith(b"0\r\n\r\n"):
                return
        elif len(body) < int(low.split(b"content-length: ")[1].split(b"\r\n")[0]):
            return
        self.data = b""
        if head.startswith(b"HTTP/1.1 200"):
            Client.served.append(time.perf_counter() - self.asked)
        else:
            Client.refused += 1
        self.ask()


async def load(where: tuple[str, int], requests: int, classes: int) -> tuple[list[float], int]:
    """Latencies of the served, and how many were not."""
    Client.left, Client.classes, Client.served, Client.refused, Client.number = requests, classes, [], 0, 0
    loop = asyncio.get_running_loop()
    Client.done = loop.create_future()
    clients = [(await loop.create_connection(Client, *where))[0] for _ in range(CLIENTS)]
    await Client.done
    for client in clients:
        client.close()
    return Client.served, Client.refused


def dispatcher(folder: Path, tree: Path, workers: list[list[object]], classes: int) -> tuple[list[str], Path]:
    """The command and configuration of a dispatcher with these workers."""
    targets = [
        {"uid": f"w{n}", "endpoint": f"{host}:{port}", "az": "east", "state": "ready", "boot_ms": 0}
        for n, (host, port) in enumerate(workers)
    ]
    config = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": 1}
    path = folder / "config.json"
    known = {"rev": 1, "all": True, "targets": targets}
    path.write_text(json.dumps(config | {"known": known, "settings": settings(classes)}))
    return ["-m", "wickgw", "serve"], path


def listening(started: "subprocess.Popen[str]") -> tuple[str, int]:
    """Where a dispatcher says that it listens."""
    assert started.stderr is not None
    for line in started.stderr:
        for word in line.split():
            if word.startswith("at=") or (
                word.count(":") == 1 and "listens at" in line and word[-1].isdigit()
            ):
                host, _, port = word.removeprefix("at=").partition(":")
                return host, int(port)
    raise RuntimeError("it did not start")


def measure(tree: Path, requests: int, classes: int) -> dict[str, float]:
    """One dispatcher and one relay, in turns."""
    figures: dict[str, float] = {}
    with (
        tempfile.TemporaryDirectory() as name,
        process("-m", "benchmarks.parts", "workers", str(WORKERS)) as peers,
    ):
        assert peers.stdout is not None
        workers = json.loads(peers.stdout.readline())
        command, config = dispatcher(Path(name), tree, workers, classes)
        with (
            process("-m", "benchmarks.parts", "relay", json.dumps(workers)) as relay,
            process(*command, cwd=tree, RELAY_CONFIG=str(config)) as served,
        ):
            assert relay.stdout is not None
            bare = tuple(json.loads(relay.stdout.readline()))
            where = listening(served)
            figures["rest_mb"] = memory(served.pid)
            asyncio.run(load(bare, 500, classes))
            for key, at, pid in (("us", where, served.pid), ("relay_us", bare, relay.pid)):
                before = cpu(pid)
                latencies, refused = asyncio.run(load(at, requests, classes))
                figures[key] = (cpu(pid) - before) / requests * 1e6
                if key == "us":
                    figures["median_ms"] = statistics.median(latencies) * 1e3
                    figures["longest_ms"] = max(latencies) * 1e3
                    figures["refused"] = refused
            figures["mb"] = memory(served.pid)
    return figures


def main(
    quick: Annotated[bool, typer.Option(help="Fewer requests; the table is printed, not kept.")] = False,
    tree: Annotated[Path | None, typer.Option(help="Another checkout to compare with, in turns.")] = None,
) -> None:
    """Measure, and write the table."""
    rows = []
    for classes in (1, 4):
        for name, where in (("before", tree), ("now", ROOT)):
            if where is None:
                continue
            runs = [measure(where, 3000 if quick else 8000, classes) for _ in range(1 if quick else 3)]
            f = {key: statistics.median(run[key] for run in runs) for key in runs[0]}
            longest, refused = max(r["longest_ms"] for r in runs), max(r["refused"] for r in runs)
            rows.append(
                f"| {name} | {classes} | {f['us']:.0f} | {f['relay_us']:.0f} | {f['us'] / f['relay_us']:.1f} | "
                f"{f['median_ms']:.1f} | {longest:.1f} | {longest / f['median_ms']:.1f} | {refused:.0f} | "
                f"{f['rest_mb']:.1f} | {f['mb']:.1f} |"
            )
            print(rows[-1], flush=True)
    text = f"""# One dispatcher on sockets

`python -m benchmarks.sockets --tree OTHER`, Python {platform.python_version()}, {os.cpu_count()} cores. Closed loop: {WORKERS} workers that answer at once,
{CLIENTS} clients; CPU of the process alone, user and system; medians of three runs, longest and refused of the worst.

| code | classes | CPU a request, us | bare relay, us | ratio | median answer, ms | longest, ms | longest over median | refused | MB at rest | MB after |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
{chr(10).join(rows)}
"""
    if not quick:
        TABLE.write_text(text)


if __name__ == "__main__":
    typer.run(main)
