"""One real `wickgw serve` process on loopback, with its resource usage as the operating system reports it.

This module owns the process and its files in one folder. Peak memory, CPU time and file descriptors are read
from /proc, not from the program's own counters. Only the process that was started here is ended.
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
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from wickgw.emulator.dispatcher_processes import free_port

NS_PER_MS = 1_000_000
CLASS_NAME = "look"
JOB_DEADLINE_MS = 2000
READY_TIMEOUT_S = 30.0  # the platform's own limit
POLL_INTERVAL_S = 0.02
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def platform_settings(dispatchers: int, **overrides: Any) -> dict[str, Any]:
    """Return the platform's settings for one class of repeatable jobs, with the list pushed by discovery.

    Args:
        dispatchers: Number of dispatchers of the deployment.
        overrides: Top-level keys that replace the defaults.
    """
    service = {
        "name": CLASS_NAME,
        "target-ns": 200 * NS_PER_MS,
        "hard-limit-ns": 3000 * NS_PER_MS,
        "idempotency": "read_like",
    }
    return {
        "services": [service | {"worth": 1.0}],
        "siblings": dispatchers,
        "bounds": {
            "attempts-cap": 3,
            "cancel": True,
            "connect-timeout-ns": 250 * NS_PER_MS,
            "conn-idle-ns": 10_000 * NS_PER_MS,
        },
        "family-info": {"tells-start": True, "progress-ns": 1000 * NS_PER_MS, "class-stretch": [2.0]},
        "zones": ["east"],
        "discovery": "push",
        "rules": {"drain-grace-ns": 2000 * NS_PER_MS, "cold-from": 0.2, "warm-after-ns": 20_000 * NS_PER_MS},
    } | overrides


class ServeProcess:
    """One dispatcher process, started by the constructor.

    Args:
        folder: Directory for configuration and log.
        name: Name of the dispatcher and of its files.
        discovery: Endpoint of the discovery service.
        settings: The platform's settings.
        known: Entries of the list of workers in the configuration; None leaves the list out.
        memory_mb: The platform's memory limit.
        sockets: The platform's limit of descriptors.
        passed: The clients' listening socket, for a process of an upgrade.
        temporary: Its directory for temporary files, which the processes of an upgrade share.
        port: The port of an earlier process, for a restart.
        environ: Variables of its environment beside those of this process.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        discovery: str,
        settings: dict[str, Any],
        known: Sequence[dict[str, object]] | None = None,
        memory_mb: int = 96,
        sockets: int = 640,
        passed: socket.socket | None = None,
        temporary: Path | None = None,
        port: int | None = None,
        environ: Mapping[str, str] | None = None,
    ) -> None:
        if passed is not None:
            port = int(passed.getsockname()[1])
        self.port = free_port(socket.SOCK_STREAM) if port is None else port
        self.config_file = folder / f"{name}.json"
        self.log_file = folder / f"{name}.log"
        config: dict[str, Any] = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "seed": 1,
            "limits": {"memory_mb": memory_mb, "sockets": sockets},
            "settings": settings,
        }
        if known is not None:
            config["known"] = {"rev": 1, "all": True, "targets": list(known)}
        self.config_file.write_text(json.dumps(config))
        variables = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "WICKGW_"))}
        variables |= {
            "RELAY_CONFIG": str(self.config_file),
            "OPENBLAS_NUM_THREADS": "1",
            "OMP_NUM_THREADS": "1",
        }
        if temporary is not None:
            variables["TMPDIR"] = str(temporary)
        if passed is not None:
            variables["RELAY_PASSED_SOCKET"] = str(passed.fileno())
        inherited = (passed.fileno(),) if passed is not None else ()
        # As in the deploy file: signals that a process has no handler for yet are ignored.
        command = ["/bin/sh", "-c", """trap '' HUP USR1; exec "$0" -m wickgw serve""", sys.executable]
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(
                command, env=variables | dict(environ or {}), stdout=log, stderr=log, pass_fds=inherited
            )

    def wait_ready(self) -> float:
        """Wait until `/-/ready` answers with success, and return the seconds that it took.

        Raises:
            RuntimeError: The process has ended.
            TimeoutError: The process is not ready within `READY_TIMEOUT_S`.
        """
        began = time.monotonic()
        while time.monotonic() < began + READY_TIMEOUT_S:
            if self.process.poll() is not None:
                raise RuntimeError(
                    f"ended with status {self.process.returncode}: {self.log_file.read_text()[-500:]}"
                )
            if self.fetch("/-/ready"):
                return time.monotonic() - began
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError("the process is not ready")

    def fetch(self, path: str) -> bytes:
        """Return the body of a page of the dispatcher; empty if it refuses or does not answer."""
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self.port}{path}", timeout=5) as answer:
                return bytes(answer.read())
        except OSError:
            return b""

    def gauges(self) -> dict[str, Any]:
        """Return the current values of `/-/counters`; empty if the dispatcher does not answer."""
        gauges: dict[str, Any] = json.loads(self.fetch("/-/counters") or b"{}").get("now", {})
        return gauges

    def send_job(self, request: str) -> int:
        """Send one job and return the status of its answer; 0 if there was none."""
        fields = {"Req-Id": request, "Req-Deadline-Ms": str(JOB_DEADLINE_MS)}
        http_request = urllib.request.Request(f"http://127.0.0.1:{self.port}/{CLASS_NAME}", b"", fields)
        try:
            with urllib.request.urlopen(http_request, timeout=JOB_DEADLINE_MS / 1000 + 1) as answer:
                answer.read()
                return int(answer.status)
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            return 0

    def peak_memory_mb(self) -> float:
        """Return the peak resident memory, in megabytes."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        kilobytes = next(int(line.split()[1]) for line in lines if line.startswith("VmHWM:"))
        return kilobytes * 1024 / 1e6

    def cpu_s(self) -> float:
        """Return the CPU time since the start of the process, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def descriptors(self) -> int:
        """Return the number of open file descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def reload(self) -> None:
        """Make the dispatcher reload its configuration (SIGHUP)."""
        self.process.send_signal(signal.SIGHUP)

    def stop(self) -> int:
        """End the process, by SIGKILL after 10 s, and return its exit status."""
        if self.process.poll() is None:
            self.process.terminate()
        try:
            return self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()
