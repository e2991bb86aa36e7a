"""Real dispatcher processes that share a service address, on loopback, with a relay between them.

Owns the processes, their files in one folder, the relay and the workers. Instances are killed, stalled,
cut off and started by name. The service address is one address that all bind when they hold it
(SO_REUSEPORT): the kernel deals connections out among all that listen, so two that serve at once are both
seen. It must never end a process that it did not start.
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
from wickgw.emulator.relay import Relay
from wickgw.emulator.worker import Worker

MS = 1_000_000
SETTINGS = {
    "services": [
        {"name": n, "target-ns": 200 * MS, "hard-limit-ns": 2500 * MS, "idempotency": e, "worth": 2.0}
        for n, e in (("look", "read_like"), ("once", "non_idempotent"))
    ],
    "bounds": {
        "attempts-cap": 3,
        "cancel": True,
        "connect-timeout-ns": 250 * MS,
        "conn-idle-ns": 60_000 * MS,
    },
    "family-info": {"tells-start": True, "progress-ns": 1000 * MS, "class-stretch": [20.0, 20.0]},
    "zones": ["east"],
    "discovery": "ask",
}
ADDRESS = "labels"


def free_port(kind: socket.SocketKind) -> int:
    """A port of the kernel's choice that nobody has just now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Instances:
    """`count` dispatchers named a, b, c ..., their relay, and `workers`."""

    def __init__(
        self,
        folder: Path,
        count: int = 3,
        run_s: float = 0.005,
        extra: str = "",
        service_extra: str = "",
        on: bool = True,
        discovery: str = "127.0.0.1:1",
        known: list[dict[str, object]] | None = None,
    ) -> None:
        self.folder, self.names = folder, "abcdefg"[:count]
        self.workers = [Worker(f"w{n}", run_s) for n in range(4)]
        self.where = {name: ("127.0.0.1", free_port(socket.SOCK_DGRAM)) for name in self.names}
        self.relay = Relay(self.where)
        self.service = ("127.0.0.1", free_port(socket.SOCK_STREAM))
        self.own = {name: ("127.0.0.1", free_port(socket.SOCK_STREAM)) for name in self.names}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.discovery, self.known = discovery, known  # known: the workers', if none is given
        self.extra, self.service_extra, self.on = extra, service_extra, "yes" if on else "no"
        self.key = folder / "address.key"
        add_key(self.key)
        for name in self.names:
            self.write(name)

    def write(self, name: str) -> None:
        """The files of one instance."""
        targets = [w.listed() for w in self.workers] if self.known is None else self.known
        known = {"rev": 1, "all": True, "targets": targets}
        config = {"name": name, "listen": "{}:{}".format(*self.own[name]), "discovery": self.discovery}
        config |= {"seed": 1, "limits": {"memory_mb": 192, "sockets": 1024}, "known": known}  # type: ignore[dict-item]
        (self.folder / f"{name}.json").write_text(json.dumps(config | {"settings": SETTINGS}))
        own = "{}:{}".format(*self.where[name])
        members = " ".join(f"{m}={self.relay.at(name, m) if m != name else own}" for m in self.names)
        (self.folder / f"{name}.ini").write_text(
            f"[address]\nenabled = {self.on}\nmembers = {members}\nkey_file = {self.key}\nhold_down_s = 1\n"
            f"{self.extra}\n[address:{ADDRESS}]\nat = {self.service[0]}:{self.service[1]}\n"
            f"{self.service_extra}\n"
        )

    def start(self, *names: str) -> None:
        """Start these, or all."""
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
        """Send a signal to one."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """SIGKILL, and wait until it is gone."""
        self.processes[name].kill()
        self.processes[name].wait()

    def stall(self, name: str, seconds: float) -> None:
        """It stands still for that long; returns when it runs again."""
        self.signal(name, signal.SIGSTOP)
        ends = threading.Event()
        ends.wait(seconds)
        self.signal(name, signal.SIGCONT)

    def status(self, name: str, page: str = "/-/address") -> dict[str, object] | None:
        """What one says on its own listener; None if it does not answer."""
        try:
            with socket.create_connection(self.own[name], 0.5) as sock:
                sock.settimeout(0.5)
                sock.sendall(f"GET {page} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
                data = b""
                while piece := sock.recv(65536):
                    data += piece
            return dict(json.loads(data.partition(b"\r\n\r\n")[2]))
        except (OSError, ValueError):
            return None

    def holder(self, patience: float = 10.0, but: str = "") -> str:
        """Who holds the address, once somebody (other than `but`) does."""
        end = time.monotonic() + patience
        while time.monotonic() < end:
            for name, process in self.processes.items():
                if name == but or process.poll() is not None:
                    continue
                said = self.status(name)
                if said and said["addresses"][ADDRESS]["stage"] == "held":  # type: ignore[index]
                    return name
            time.sleep(0.01)
        raise TimeoutError(f"nobody holds the address: {[self.status(n) for n in self.names]}")

    def settled(self, patience: float = 10.0) -> str:
        """The holder, once all instances hear one another and none is quiet."""
        end = time.monotonic() + patience
        while time.monotonic() < end:
            said = [self.status(name) for name in self.names]
            if all(
                s and not s["quiet_s"] and all(m["state"] == "alive" for m in s["members"].values())  # type: ignore[attr-defined]
                for s in said
            ):
                return self.holder(max(0.1, end - time.monotonic()))
            time.sleep(0.02)
        raise TimeoutError("the instances do not hear one another")

    def close(self) -> None:
        """End all that was started here."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.relay.close()
        for worker in self.workers:
            worker.close()
