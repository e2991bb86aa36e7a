"""Real dispatcher processes on loopback that share a service address, with a datagram relay between them.

This module owns the processes, their files in one folder, the relay and the emulated workers. Instances are
killed, stalled, isolated and restarted by name. Every holder binds the same service address with
SO_REUSEPORT. The kernel then distributes connections over all listening sockets, so a client can observe two
holders that serve at the same time. Only processes that this module started are ended.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from wickgw.address.keys import add_key
from wickgw.emulator.relay import DatagramRelay
from wickgw.emulator.worker import EmulatedWorker

NS_PER_MS = 1_000_000
PLATFORM_SETTINGS = {
    "services": [
        {
            "name": n,
            "target-ns": 200 * NS_PER_MS,
            "hard-limit-ns": 2500 * NS_PER_MS,
            "idempotency": e,
            "worth": 2.0,
        }
        for n, e in (("look", "read_like"), ("once", "non_idempotent"))
    ],
    "bounds": {
        "attempts-cap": 3,
        "cancel": True,
        "connect-timeout-ns": 250 * NS_PER_MS,
        "conn-idle-ns": 60_000 * NS_PER_MS,
    },
    "family-info": {"tells-start": True, "progress-ns": 1000 * NS_PER_MS, "class-stretch": [20.0, 20.0]},
    "zones": ["east"],
    "discovery": "ask",
}
ADDRESS_NAME = "labels"


def free_port(kind: socket.SocketKind) -> int:
    """Return a loopback port chosen by the kernel that is unused at the moment."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class DispatcherProcesses:
    """`count` dispatcher processes named a, b, c and so on, their relay and four emulated workers.

    Args:
        folder: Directory for configuration, keys and logs.
        count: Number of dispatchers, at most seven.
        job_run_s: Run time of a job on the workers, in seconds.
        address_options: Further lines of the INI section `[address]`.
        service_options: Further lines of the INI section of the service address.
        address_enabled: Whether the service address is enabled.
        discovery: Endpoint of the discovery service. The default refuses connections.
        known: Worker list in the configuration. None lists the emulated workers.
    """

    def __init__(
        self,
        folder: Path,
        count: int = 3,
        job_run_s: float = 0.005,
        address_options: str = "",
        service_options: str = "",
        address_enabled: bool = True,
        discovery: str = "127.0.0.1:1",
        known: list[dict[str, object]] | None = None,
    ) -> None:
        self.folder, self.names = folder, "abcdefg"[:count]
        self.workers = [EmulatedWorker(f"w{n}", job_run_s) for n in range(4)]
        self.datagram_addresses = {name: ("127.0.0.1", free_port(socket.SOCK_DGRAM)) for name in self.names}
        self.relay = DatagramRelay(self.datagram_addresses)
        self.service_address = ("127.0.0.1", free_port(socket.SOCK_STREAM))
        self.listen_addresses = {name: ("127.0.0.1", free_port(socket.SOCK_STREAM)) for name in self.names}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.discovery, self.known = discovery, known
        self.address_options, self.service_options, self.address_enabled = (
            address_options,
            service_options,
            "yes" if address_enabled else "no",
        )
        self.key_file = folder / "address.key"
        add_key(self.key_file)
        for name in self.names:
            self.write_files(name)

    def write_files(self, name: str) -> None:
        """Write the platform's configuration and the INI file of one instance."""
        targets = [worker.list_entry() for worker in self.workers] if self.known is None else self.known
        known = {"rev": 1, "all": True, "targets": targets}
        config = {
            "name": name,
            "listen": "{}:{}".format(*self.listen_addresses[name]),
            "discovery": self.discovery,
        }
        config |= {"seed": 1, "limits": {"memory_mb": 192, "sockets": 1024}, "known": known}  # type: ignore[dict-item]
        (self.folder / f"{name}.json").write_text(json.dumps(config | {"settings": PLATFORM_SETTINGS}))
        own_endpoint = "{}:{}".format(*self.datagram_addresses[name])
        members = " ".join(
            f"{member}={self.relay.endpoint(name, member) if member != name else own_endpoint}"
            for member in self.names
        )
        (self.folder / f"{name}.ini").write_text(
            f"[address]\nenabled = {self.address_enabled}\nmembers = {members}\n"
            f"key_file = {self.key_file}\nhold_down_s = 1\n"
            f"{self.address_options}\n[address:{ADDRESS_NAME}]\n"
            f"at = {self.service_address[0]}:{self.service_address[1]}\n"
            f"{self.service_options}\n"
        )

    def start(self, *names: str) -> None:
        """Start the named instances, or all if no name is given."""
        for name in names or self.names:
            environ = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "WICKGW_"))}
            environ |= {"RELAY_CONFIG": str(self.folder / f"{name}.json"), "OPENBLAS_NUM_THREADS": "1"}
            with (self.folder / f"{name}.log").open("ab") as log:
                self.processes[name] = subprocess.Popen(
                    [sys.executable, "-m", "wickgw", "serve", "--ini", str(self.folder / f"{name}.ini")],
                    env=environ,
                    stdout=log,
                    stderr=log,
                )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to an instance."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Send SIGKILL to an instance and wait until its process has ended."""
        self.processes[name].kill()
        self.processes[name].wait()

    def stall(self, name: str, seconds: float) -> None:
        """Stop an instance with SIGSTOP, wait `seconds`, and resume it with SIGCONT."""
        self.signal(name, signal.SIGSTOP)
        pause = threading.Event()
        pause.wait(seconds)
        self.signal(name, signal.SIGCONT)

    def status(self, name: str, page: str = "/-/address") -> dict[str, object] | None:
        """Return the JSON page of an instance from its own listener; None if there is no answer."""
        try:
            with socket.create_connection(self.listen_addresses[name], 0.5) as sock:
                sock.settimeout(0.5)
                sock.sendall(f"GET {page} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
                data = b""
                while piece := sock.recv(65536):
                    data += piece
            return dict(json.loads(data.partition(b"\r\n\r\n")[2]))
        except (OSError, ValueError):
            return None

    def wait_for_holder(self, timeout_s: float = 10.0, excluding: str = "") -> str:
        """Return the instance that holds the address, once one other than `excluding` does.

        Raises:
            TimeoutError: There is no such holder within `timeout_s`.
        """
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            for name, process in self.processes.items():
                if name == excluding or process.poll() is not None:
                    continue
                status = self.status(name)
                if status and status["addresses"][ADDRESS_NAME]["stage"] == "held":  # type: ignore[index]
                    return name
            time.sleep(0.01)
        raise TimeoutError(f"no instance holds the address: {[self.status(n) for n in self.names]}")

    def wait_until_settled(self, timeout_s: float = 10.0) -> str:
        """Return the holder, once every instance is past its quiet period and sees all others alive.

        Raises:
            TimeoutError: The instances do not settle within `timeout_s`.
        """
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            statuses = [self.status(name) for name in self.names]
            if all(
                status
                and not status["quiet_s"]
                and all(member["state"] == "alive" for member in status["members"].values())  # type: ignore[attr-defined]
                for status in statuses
            ):
                return self.wait_for_holder(max(0.1, end - time.monotonic()))
            time.sleep(0.02)
        raise TimeoutError("the instances do not see one another as alive")

    def close(self) -> None:
        """End all processes, the relay and the workers."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.relay.close()
        for worker in self.workers:
            worker.close()
