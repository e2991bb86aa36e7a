"""Real dispatchers for the capacity page, by the command of `run`, on loopback: at rest and at load."""

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

from wickgw.emulator.group import free_port
from wickgw.emulator.roster import Roster
from wickgw.emulator.worker import Worker

NS, MS = 1_000_000_000, 1_000_000
FLEET = 200  # dispatchers that each is told there are; those started are a part of them
JOBS_PER_S, RUN_S = 2.6, 2.0  # at each dispatcher, and of each job
STAND_INS = 8  # processes' threads that answer for all workers of the list
ZONES = 6
READY_S, DEADLINE_MS = 60.0, 20_000
TICKS = os.sysconf("SC_CLK_TCK")


def ini_of(workers: int) -> str:
    """The operator's file that turns subsetting on for all of the fleet."""
    names = " ".join(f"n{n}=zone-{n % ZONES}" for n in range(FLEET))
    return f"[subsetting]\nenabled = yes\nworkers = {workers}\ndispatchers = {names}\n"


@dataclass(frozen=True, slots=True)
class PhaseCost:
    """What one process used while it rested or worked; the mean of all."""

    core: float  # share of a core
    resident_mb: float
    proportional_mb: float
    list_bytes_per_s: float  # to and from discovery
    jobs: int
    served: int


def settings_of(dispatchers: int) -> dict[str, object]:
    """The platform's settings at the operators' size in two years."""
    service = {"name": "task", "target-ns": MS * 1000, "hard-limit-ns": 600 * NS, "idempotency": "read_like"}
    return {
        "services": [service | {"worth": 1.0}],
        "siblings": dispatchers,
        "bounds": {
            "attempts-cap": 3,
            "cancel": True,
            "connect-timeout-ns": 250 * MS,
            "conn-idle-ns": 10 * NS,
        },
        "family-info": {"tells-start": True, "progress-ns": NS, "class-stretch": [2.0]},
        "zones": [f"zone-{n}" for n in range(ZONES)],
        "discovery": "push",
        "rules": {"drain-grace-ns": 2 * NS, "cold-from": 0.2, "warm-after-ns": 20 * NS},
    }


class Processes:
    """So many dispatchers, one discovery, and stand-ins for all the workers of its list."""

    def __init__(self, folder: Path, count: int, workers: int, ini: str) -> None:
        self.stand_ins = [Worker(f"stand-in-{n}", RUN_S) for n in range(STAND_INS)]
        self.targets = [self._target(n) for n in range(workers)]
        self.roster = Roster(self.targets)
        self.ports = [free_port(socket.SOCK_STREAM) for _ in range(count)]
        self.processes: list[subprocess.Popen[bytes]] = []
        for number, port in enumerate(self.ports):
            self._start(folder, number, port, ini)

    def _target(self, number: int) -> dict[str, object]:
        entry = self.stand_ins[number % STAND_INS].listed()
        return entry | {"uid": f"s-{number:08x}", "az": f"zone-{number % ZONES}", "model": "m2"}

    def _start(self, folder: Path, number: int, port: int, ini: str) -> None:
        config = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{port}",
            "discovery": self.roster.endpoint,
            "seed": number,
            "limits": {"memory_mb": 512, "sockets": 4096},
            "settings": settings_of(FLEET) | {"zone": number % ZONES},
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

    def page(self, port: int, path: str) -> bytes:
        """What one says on its own page; empty while it says no."""
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=5) as answer:
                return bytes(answer.read())
        except OSError:
            return b""

    def wait_ready(self) -> float:
        """Seconds until all are ready."""
        began = time.monotonic()
        waiting = set(self.ports)
        while waiting and time.monotonic() < began + READY_S:
            waiting = {port for port in waiting if not self.page(port, "/-/ready")}
        if waiting:
            raise TimeoutError(f"{len(waiting)} are not ready")
        return time.monotonic() - began

    def in_force(self) -> float:
        """Seconds until a change of the list is held by all."""
        version = self.roster.change(self.targets[0] | {"state": "draining"})
        began, waiting = time.monotonic(), set(self.ports)
        while waiting:
            for port in list(waiting):
                held = json.loads(self.page(port, "/-/counters") or b"{}")
                if held.get("now", {}).get("discovery_version") == version:
                    waiting.discard(port)
        return time.monotonic() - began

    def cpu_s(self) -> list[float]:
        """Processor time of each, in seconds."""
        found = []
        for process in self.processes:
            fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            found.append((int(fields[11]) + int(fields[12])) / TICKS)
        return found

    def memory_mb(self) -> tuple[float, float]:
        """Resident and proportional memory, the mean of all."""
        resident, proportional = [], []
        for process in self.processes:
            lines = Path(f"/proc/{process.pid}/smaps_rollup").read_text().splitlines()
            sizes = {line.split(":")[0]: line.split()[1] for line in lines[1:]}
            resident.append(int(sizes["Rss"]) * 1024 / 1e6)
            proportional.append(int(sizes["Pss"]) * 1024 / 1e6)
        return statistics.fmean(resident), statistics.fmean(proportional)

    def close(self) -> None:
        """End all that was started here."""
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            process.wait(10)
        self.roster.close()
        for stand_in in self.stand_ins:
            stand_in.close()


async def _job(port: int, name: str) -> bool:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = f"POST /task HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {name}\r\nReq-Deadline-Ms: {DEADLINE_MS}\r\n"
    writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
    answer = await reader.read(256)
    writer.close()
    return answer.startswith(b"HTTP/1.1 200")


async def _load(ports: list[int], seconds: float) -> list[bool]:
    jobs = []
    for step in range(int(seconds * JOBS_PER_S)):
        jobs += [asyncio.create_task(_job(port, f"j{step}-{port}")) for port in ports]
        await asyncio.sleep(1 / JOBS_PER_S)
    return await asyncio.gather(*jobs)


def _phase(it: Processes, seconds: float, load: bool) -> PhaseCost:
    cpu, sent = it.cpu_s(), it.roster.bytes_sent + it.roster.bytes_received
    began = time.monotonic()
    served: list[bool] = []
    if load:
        served = asyncio.run(_load(it.ports, seconds))
    else:
        time.sleep(seconds)
    lasted, count = time.monotonic() - began, len(it.ports)
    used = [after - before for before, after in zip(cpu, it.cpu_s(), strict=True)]
    told = it.roster.bytes_sent + it.roster.bytes_received - sent
    resident, proportional = it.memory_mb()
    per_s = told / lasted / count
    return PhaseCost(statistics.fmean(used) / lasted, resident, proportional, per_s, len(served), sum(served))


def play_processes(console: Console, count: int, seconds: int, workers: int, ini: str = "") -> object:
    """Start them, rest, load, change the list; return what was measured."""
    with tempfile.TemporaryDirectory() as folder:
        it = Processes(Path(folder), count, workers, ini)
        try:
            ready = it.wait_ready()
            rest, load = _phase(it, seconds, False), _phase(it, seconds, True)
            in_force = it.in_force()
            longest = [json.loads(it.page(port, "/-/counters"))["now"] for port in it.ports]
        finally:
            it.close()
    data = {
        "workers": workers,
        "dispatchers": count,
        "ready_s": ready,
        "rest": asdict(rest),
        "load": asdict(load),
        "in_force_s": in_force,
        "longest_step_ms": max(now["longest_step_ms"] for now in longest),
    }
    console.print(data)
    return data
