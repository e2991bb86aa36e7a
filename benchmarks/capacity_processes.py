"""Real dispatchers on loopback for the capacity page, by the command of `run`: idle and under load."""

import asyncio
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.request
from dataclasses import asdict, dataclass
from pathlib import Path

from rich.console import Console

from wickgw.emulator.discovery import EmulatedDiscovery
from wickgw.emulator.dispatcher_processes import free_port
from wickgw.emulator.worker import EmulatedWorker

NS_PER_S, NS_PER_MS = 1_000_000_000, 1_000_000
DISPATCHERS = 200  # in the deployment; only some of them are started
JOBS_PER_S, RUN_S = 2.6, 2.0  # arrivals at each dispatcher, and run time of a job
EMULATED_WORKERS = 8  # which serve the endpoints of all entries of the list
ZONES = 6
READY_TIMEOUT_S, DEADLINE_MS = 60.0, 20_000
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def subsetting_ini(workers: int) -> str:
    """Return the operator's INI file that enables subsetting for the deployment."""
    names = " ".join(f"n{n}=zone-{n % ZONES}" for n in range(DISPATCHERS))
    return f"[subsetting]\nenabled = yes\nworkers = {workers}\ndispatchers = {names}\n"


@dataclass(frozen=True, slots=True)
class PhaseCost:
    """Resources that one process used in a phase, mean of all processes."""

    core: float  # CPU time as a share of a core
    resident_mb: float
    proportional_mb: float  # resident, with shared pages divided among the processes
    list_bytes_per_s: float  # to and from discovery
    jobs: int
    served: int


def platform_settings(dispatchers: int) -> dict[str, object]:
    """Return the platform's settings for the operators' fleet in two years."""
    service = {
        "name": "task",
        "target-ns": NS_PER_MS * 1000,
        "hard-limit-ns": 600 * NS_PER_S,
        "idempotency": "read_like",
    }
    return {
        "services": [service | {"worth": 1.0}],
        "siblings": dispatchers,
        "bounds": {
            "attempts-cap": 3,
            "cancel": True,
            "connect-timeout-ns": 250 * NS_PER_MS,
            "conn-idle-ns": 10 * NS_PER_S,
        },
        "family-info": {"tells-start": True, "progress-ns": NS_PER_S, "class-stretch": [2.0]},
        "zones": [f"zone-{n}" for n in range(ZONES)],
        "discovery": "push",
        "rules": {"drain-grace-ns": 2 * NS_PER_S, "cold-from": 0.2, "warm-after-ns": 20 * NS_PER_S},
    }


class DispatcherFleet:
    """Dispatcher processes, one emulated discovery service, and emulated workers for all entries of its list."""

    def __init__(self, folder: Path, count: int, workers: int, ini: str) -> None:
        self.emulated_workers = [EmulatedWorker(f"emulated-{n}", RUN_S) for n in range(EMULATED_WORKERS)]
        self.targets = [self._target(n) for n in range(workers)]
        self.discovery = EmulatedDiscovery(self.targets)
        self.ports = [free_port(socket.SOCK_STREAM) for _ in range(count)]
        self.processes: list[subprocess.Popen[bytes]] = []
        for number, port in enumerate(self.ports):
            self._start(folder, number, port, ini)

    def _target(self, number: int) -> dict[str, object]:
        entry = self.emulated_workers[number % EMULATED_WORKERS].list_entry()
        return entry | {"uid": f"s-{number:08x}", "az": f"zone-{number % ZONES}", "model": "m2"}

    def _start(self, folder: Path, number: int, port: int, ini: str) -> None:
        config = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{port}",
            "discovery": self.discovery.endpoint,
            "seed": number,
            "limits": {"memory_mb": 512, "sockets": 4096},
            "settings": platform_settings(DISPATCHERS) | {"zone": number % ZONES},
        }
        (folder / f"{number}.json").write_text(json.dumps(config))
        (folder / "wickgw.ini").write_text(ini)
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "WICKGW_"))}
        environ |= {"RELAY_CONFIG": str(folder / f"{number}.json"), "WICKGW_INI": str(folder / "wickgw.ini")}
        environ |= {"OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1"}
        log = (folder / f"{number}.log").open("ab")
        with log:
            self.processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "wickgw", "serve"], env=environ, stdout=log, stderr=log
                )
            )

    def fetch(self, port: int, path: str) -> bytes:
        """Return the body of a page of a dispatcher; empty if it refuses or does not answer."""
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=5) as answer:
                return bytes(answer.read())
        except OSError:
            return b""

    def wait_ready(self) -> float:
        """Wait until all dispatchers are ready; return the seconds that it took.

        Raises:
            TimeoutError: Some are not ready within `READY_TIMEOUT_S`.
        """
        began = time.monotonic()
        waiting = set(self.ports)
        while waiting and time.monotonic() < began + READY_TIMEOUT_S:
            waiting = {port for port in waiting if not self.fetch(port, "/-/ready")}
        if waiting:
            raise TimeoutError(f"{len(waiting)} are not ready")
        return time.monotonic() - began

    def publish_change(self) -> float:
        """Publish a change of the list; return the seconds until all dispatchers have applied it."""
        version = self.discovery.publish(self.targets[0] | {"state": "draining"})
        began, waiting = time.monotonic(), set(self.ports)
        while waiting:
            for port in list(waiting):
                counters = json.loads(self.fetch(port, "/-/counters") or b"{}")
                if counters.get("now", {}).get("discovery_version") == version:
                    waiting.discard(port)
        return time.monotonic() - began

    def cpu_s(self) -> list[float]:
        """Return the CPU time of each process, in seconds."""
        cpu_s = []
        for process in self.processes:
            fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            cpu_s.append((int(fields[11]) + int(fields[12])) / TICKS_PER_S)
        return cpu_s

    def memory_mb(self) -> tuple[float, float]:
        """Return the resident and the proportional memory in megabytes, mean of all processes."""
        resident, proportional = [], []
        for process in self.processes:
            lines = Path(f"/proc/{process.pid}/smaps_rollup").read_text().splitlines()
            sizes = {line.split(":")[0]: line.split()[1] for line in lines[1:]}
            resident.append(int(sizes["Rss"]) * 1024 / 1e6)
            proportional.append(int(sizes["Pss"]) * 1024 / 1e6)
        return statistics.fmean(resident), statistics.fmean(proportional)

    def close(self) -> None:
        """End the dispatchers, discovery and the workers."""
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            process.wait(10)
        self.discovery.close()
        for worker in self.emulated_workers:
            worker.close()


async def _send_job(port: int, request: str) -> bool:
    """Send one job, and return whether it was served."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = f"POST /task HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {request}\r\nReq-Deadline-Ms: {DEADLINE_MS}\r\n"
    writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
    answer = await reader.read(256)
    writer.close()
    return answer.startswith(b"HTTP/1.1 200")


async def _send_load(ports: list[int], seconds: float) -> list[bool]:
    """Send jobs to all dispatchers at the steady rate; return for each job whether it was served."""
    jobs = []
    for step in range(int(seconds * JOBS_PER_S)):
        jobs += [asyncio.create_task(_send_job(port, f"j{step}-{port}")) for port in ports]
        await asyncio.sleep(1 / JOBS_PER_S)
    return await asyncio.gather(*jobs)


def _run_phase(fleet: DispatcherFleet, seconds: float, load: bool) -> PhaseCost:
    """Run one phase, idle or under load, and return its cost."""
    cpu_before_s, list_bytes_before = (
        fleet.cpu_s(),
        fleet.discovery.bytes_sent + fleet.discovery.bytes_received,
    )
    began = time.monotonic()
    served: list[bool] = []
    if load:
        served = asyncio.run(_send_load(fleet.ports, seconds))
    else:
        time.sleep(seconds)
    lasted_s, count = time.monotonic() - began, len(fleet.ports)
    used_s = [after - before for before, after in zip(cpu_before_s, fleet.cpu_s(), strict=True)]
    list_bytes = fleet.discovery.bytes_sent + fleet.discovery.bytes_received - list_bytes_before
    resident, proportional = fleet.memory_mb()
    list_bytes_per_s = list_bytes / lasted_s / count
    return PhaseCost(
        statistics.fmean(used_s) / lasted_s,
        resident,
        proportional,
        list_bytes_per_s,
        len(served),
        sum(served),
    )


def measure_processes(console: Console, count: int, seconds: int, workers: int, ini: str = "") -> object:
    """Start dispatchers, measure them idle and under load, change the list, and return the figures."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = DispatcherFleet(Path(folder), count, workers, ini)
        try:
            ready_s = fleet.wait_ready()
            idle, load = _run_phase(fleet, seconds, False), _run_phase(fleet, seconds, True)
            in_force_s = fleet.publish_change()
            gauges = [json.loads(fleet.fetch(port, "/-/counters"))["now"] for port in fleet.ports]
        finally:
            fleet.close()
    data = {
        "workers": workers,
        "dispatchers": count,
        "ready_s": ready_s,
        "rest": asdict(idle),
        "load": asdict(load),
        "in_force_s": in_force_s,
        "longest_step_ms": max(gauge["longest_step_ms"] for gauge in gauges),
    }
    console.print(data)
    return data
