"""Benchmark of one dispatcher on sockets: `python -m benchmarks.sockets [--quick] [--tree DIR]`.

Eight workers answer immediately. 32 clients send a new request as soon as they have an answer (closed loop).
Workers, relay, dispatcher and clients are separate processes. The table gives the CPU time for each request of
the dispatcher and of a plain relay that forwards the same bytes, and their ratio. It also gives the median and
the longest latency and the number of refusals. All are measured with one class and with four. `--tree` also
measures another checkout, for a comparison in one run. Writes benchmarks/sockets.md.
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
TABLE_FILE = Path(__file__).with_suffix(".md")
NS_PER_MS = 1_000_000
CLIENTS, WORKERS = 32, 8


def platform_settings(classes: int) -> dict[str, Any]:
    """Return settings with classes of falling worth, an aim of 200 ms and a deadline of 5 s.

    An answer after the aim is worth nothing.
    """
    services = [
        {
            "name": f"c{k}",
            "target-ns": 200 * NS_PER_MS,
            "hard-limit-ns": 5000 * NS_PER_MS,
            "idempotency": "read_like",
        }
        | {"worth": 4.0 ** (classes - k)}
        for k in range(classes)
    ]
    bounds = {
        "attempts-cap": 3,
        "cancel": True,
        "connect-timeout-ns": 250 * NS_PER_MS,
        "conn-idle-ns": 60_000 * NS_PER_MS,
    }
    return {"services": services, "bounds": bounds, "family-info": {"tells-start": True}, "zones": ["east"]}


@contextlib.contextmanager
def running_process(*command: str, cwd: Path = ROOT, **environ: str) -> Iterator["subprocess.Popen[str]"]:
    """Start a Python process, and kill it when the context ends."""
    inherited = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "WICKGW_"))}
    environ = inherited | {"OPENBLAS_NUM_THREADS": "1", "PYTHONPATH": str(cwd)} | environ
    process = subprocess.Popen(
        [sys.executable, *command],
        cwd=cwd,
        env=environ,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def cpu_s(pid: int) -> float:
    """Return the CPU time of a process, in seconds."""
    stat = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return sum(map(int, stat[11:13])) / int(os.sysconf("SC_CLK_TCK"))


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(next(line.split()[1] for line in status.splitlines() if line.startswith("VmRSS"))) / 1024


class Client(asyncio.Protocol):
    """A client that sends a new request as soon as it has an answer; all clients share the class attributes."""

    remaining = 0  # requests to send
    classes = 1
    latencies_s: list[float]  # of served requests
    refused = 0
    done: "asyncio.Future[None]"  # completes when all requests are answered
    sent = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        self.transport, self.data = cast(asyncio.Transport, transport), b""
        self.send()

    def send(self) -> None:
        """Send the next request, or complete `done` once all requests are answered."""
        if Client.remaining <= 0:
            if len(Client.latencies_s) + Client.refused >= Client.sent and not Client.done.done():
                Client.done.set_result(None)
            return
        Client.remaining -= 1
        Client.sent += 1
        request, class_number = f"r{Client.sent}", Client.sent % Client.classes
        self.sent_at = time.perf_counter()
        self.transport.write(
            f"POST /c{class_number} HTTP/1.1\r\nHost: a\r\nReq-Id: {request}\r\nReq-Deadline-Ms: 5000\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    def data_received(self, data: bytes) -> None:
        """Count the answer once it is complete, and send the next request."""
        self.data += data
        head, end, body = self.data.partition(b"\r\n\r\n")
        if not end:
            return
        lower_head = head.lower()
        if b"chunked" in lower_head:
            if not body.endswith(b"0\r\n\r\n"):
                return
        elif len(body) < int(lower_head.split(b"content-length: ")[1].split(b"\r\n")[0]):
            return
        self.data = b""
        if head.startswith(b"HTTP/1.1 200"):
            Client.latencies_s.append(time.perf_counter() - self.sent_at)
        else:
            Client.refused += 1
        self.send()


async def send_load(where: tuple[str, int], requests: int, classes: int) -> tuple[list[float], int]:
    """Send requests from all clients; return the latencies of the served ones in seconds, and the refusals."""
    Client.remaining, Client.classes, Client.latencies_s, Client.refused, Client.sent = (
        requests,
        classes,
        [],
        0,
        0,
    )
    loop = asyncio.get_running_loop()
    Client.done = loop.create_future()
    clients = [(await loop.create_connection(Client, *where))[0] for _ in range(CLIENTS)]
    await Client.done
    for client in clients:
        client.close()
    return Client.latencies_s, Client.refused


def configure_dispatcher(
    folder: Path, tree: Path, workers: list[list[object]], classes: int
) -> tuple[list[str], Path]:
    """Write the configuration of a dispatcher with these workers; return its command and the file."""
    targets = [
        {"uid": f"w{n}", "endpoint": f"{host}:{port}", "az": "east", "state": "ready", "boot_ms": 0}
        for n, (host, port) in enumerate(workers)
    ]
    config = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": 1}
    path = folder / "config.json"
    known = {"rev": 1, "all": True, "targets": targets}
    path.write_text(json.dumps(config | {"known": known, "settings": platform_settings(classes)}))
    return ["-m", "wickgw", "serve"], path


def wait_for_listener(process: "subprocess.Popen[str]") -> tuple[str, int]:
    """Return the address on which a dispatcher listens, from its log.

    Raises:
        RuntimeError: The dispatcher ended without listening.
    """
    assert process.stderr is not None
    for line in process.stderr:
        for word in line.split():
            if word.startswith("at=") or (
                word.count(":") == 1 and "listens at" in line and word[-1].isdigit()
            ):
                host, _, port = word.removeprefix("at=").partition(":")
                return host, int(port)
    raise RuntimeError("the dispatcher did not start")


def measure(tree: Path, requests: int, classes: int) -> dict[str, float]:
    """Measure one dispatcher and one relay in turn, and return the figures."""
    figures: dict[str, float] = {}
    with (
        tempfile.TemporaryDirectory() as name,
        running_process("-m", "benchmarks.parts", "workers", str(WORKERS)) as worker_process,
    ):
        assert worker_process.stdout is not None
        workers = json.loads(worker_process.stdout.readline())
        command, config = configure_dispatcher(Path(name), tree, workers, classes)
        with (
            running_process("-m", "benchmarks.parts", "relay", json.dumps(workers)) as relay,
            running_process(*command, cwd=tree, RELAY_CONFIG=str(config)) as dispatcher,
        ):
            assert relay.stdout is not None
            relay_address = tuple(json.loads(relay.stdout.readline()))
            dispatcher_address = wait_for_listener(dispatcher)
            figures["rest_mb"] = resident_mb(dispatcher.pid)
            asyncio.run(send_load(relay_address, 500, classes))
            for key, address, pid in (
                ("us", dispatcher_address, dispatcher.pid),
                ("relay_us", relay_address, relay.pid),
            ):
                cpu_before_s = cpu_s(pid)
                latencies_s, refused = asyncio.run(send_load(address, requests, classes))
                figures[key] = (cpu_s(pid) - cpu_before_s) / requests * 1e6
                if key == "us":
                    figures["median_ms"] = statistics.median(latencies_s) * 1e3
                    figures["longest_ms"] = max(latencies_s) * 1e3
                    figures["refused"] = refused
            figures["mb"] = resident_mb(dispatcher.pid)
    return figures


def main(
    quick: Annotated[bool, typer.Option(help="Fewer requests; print the table without writing it.")] = False,
    tree: Annotated[
        Path | None, typer.Option(help="Another checkout to measure first, for comparison.")
    ] = None,
) -> None:
    """Measure and write the table."""
    rows = []
    for classes in (1, 4):
        for name, checkout in (("before", tree), ("now", ROOT)):
            if checkout is None:
                continue
            runs = [measure(checkout, 3000 if quick else 8000, classes) for _ in range(1 if quick else 3)]
            medians = {key: statistics.median(run[key] for run in runs) for key in runs[0]}
            longest_ms, refused = (
                max(measured["longest_ms"] for measured in runs),
                max(measured["refused"] for measured in runs),
            )
            rows.append(
                f"| {name} | {classes} | {medians['us']:.0f} | {medians['relay_us']:.0f} | {medians['us'] / medians['relay_us']:.1f} | "
                f"{medians['median_ms']:.1f} | {longest_ms:.1f} | {longest_ms / medians['median_ms']:.1f} | {refused:.0f} | "
                f"{medians['rest_mb']:.1f} | {medians['mb']:.1f} |"
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
        TABLE_FILE.write_text(text)


if __name__ == "__main__":
    typer.run(main)
