"""One real `serve` process on loopback, and what the operating system says of it.

Owns the process and its files in one folder. Peak memory, processor time and descriptors come from /proc, not
from the program's own counters. It must never end a process that it did not start.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from wickgw.emulator.group import free_port

MS = 1_000_000
CLASS = "look"
JOB_DEADLINE_MS = 2000
READY_TIMEOUT_S = 30.0  # as the platform waits
POLL_S = 0.02
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def settings_for(dispatchers: int, **more: Any) -> dict[str, Any]:
    """The platform's settings for one class of safe jobs, with the list pushed."""
    service = {"name": CLASS, "target-ns": 200 * MS, "hard-limit-ns": 3000 * MS, "idempotency": "read_like"}
    return {
        "services": [service | {"worth": 1.0}],
        "siblings": dispatchers,
        "bounds": {
            "attempts-cap": 3,
            "cancel": True,
            "connect-timeout-ns": 250 * MS,
            "conn-idle-ns": 10_000 * MS,
        },
        "family-info": {"tells-start": True, "progress-ns": 1000 * MS, "class-stretch": [2.0]},
        "zones": ["east"],
        "discovery": "push",
        "rules": {"drain-grace-ns": 2000 * MS, "cold-from": 0.2, "warm-after-ns": 20_000 * MS},
    } | more


class ServeProcess:
    """One dispatcher, started at once."""

    def __init__(
        self,
        folder: Path,
        name: str,
        discovery: str,
        settings: dict[str, Any],
        known: Sequence[dict[str, object]] | None = None,
        memory_mb: int = 96,
        sockets: int = 640,
    ) -> None:
        self.port, self.config = free_port(socket.SOCK_STREAM), folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        told: dict[str, Any] = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "seed": 1,
            "limits": {"memory_mb": memory_mb, "sockets": sockets},
            "settings": settings,
        }
        if known is not None:
            told["known"] = {"rev": 1, "all": True, "targets": list(known)}
        self.config.write_text(json.dumps(told))
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "WICKGW_"))}
        environ |= {"RELAY_CONFIG": str(self.config), "OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1"}
        command = [sys.executable, "-m", "wickgw", "serve"]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, env=environ, stdout=log, stderr=log)

    def wait_ready(self) -> float:
        """Seconds until it says that it is ready. Raises TimeoutError."""
        began = time.monotonic()
        while time.monotonic() < began + READY_TIMEOUT_S:
            if self.process.poll() is not None:
                raise RuntimeError(f"ended with {self.process.returncode}: {self.log.read_text()[-500:]}")
            if self.page("/-/ready"):
                return time.monotonic() - began
            time.sleep(POLL_S)  # between looks at another process
        raise TimeoutError("not ready")

    def page(self, path: str) -> bytes:
        """One of its own pages; empty while it refuses."""
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self.port}{path}", timeout=5) as answer:
                return bytes(answer.read())
        except OSError:
            return b""

    def now(self) -> dict[str, Any]:
        """What it says that it holds; empty if it does not answer."""
        told: dict[str, Any] = json.loads(self.page("/-/counters") or b"{}").get("now", {})
        return told

    def job(self, name: str) -> int:
        """Hand in one job; the status of its answer, 0 if there was none."""
        fields = {"Req-Id": name, "Req-Deadline-Ms": str(JOB_DEADLINE_MS)}
        call = urllib.request.Request(f"http://127.0.0.1:{self.port}/{CLASS}", b"", fields)
        try:
            with urllib.request.urlopen(call, timeout=JOB_DEADLINE_MS / 1000 + 1) as answer:
                answer.read()
                return int(answer.status)
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            return 0

    def peak_memory_mb(self) -> float:
        """The most that was ever resident, in megabytes."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        kilobytes = next(int(line.split()[1]) for line in lines if line.startswith("VmHWM:"))
        return kilobytes * 1024 / 1e6

    def cpu_s(self) -> float:
        """Processor time since its start, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def descriptors(self) -> int:
        """Descriptors that are open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def reload(self) -> None:
        """Have it read its configuration again."""
        self.process.send_signal(signal.SIGHUP)

    def stop(self) -> int:
        """End it; its exit status."""
        if self.process.poll() is None:
            self.process.terminate()
        try:
            return self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()
