"""Clients that take more than their share, played against one real process at a limit of memory and CPU.

`PYTHONPATH=. python tests/client_plays.py NAME MEMORY_MB DESCRIPTORS CPU_SHARE [SECONDS]` runs one play from
the root of the repository and prints what was seen. The share of a core is held by stopping the process, as a
platform does that hands out slices of time.
"""

import contextlib
import itertools
import os
import selectors
import signal
import socket
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from memory_plays import unshared_memory_mb

from wickgw.emulator.serve_process import NS_PER_MS, ServeProcess, platform_settings
from wickgw.emulator.worker import EmulatedWorker

CPU_PERIOD_S = 0.02  # in which the process gets its share of a core
WORKERS, JOB_RUN_S = 3, 0.01
USUAL_CLIENTS, USUAL_JOB_INTERVAL_S = 3, 0.05
CALM_S = 0.5  # of usual jobs alone, before the play
SAMPLE_INTERVAL_S = 0.005  # between looks at the memory
WRITE_AHEAD_BYTES = 200_000
CLASSES = (("look", "read_like"), ("once", "non_idempotent"))
Message = Callable[[int], bytes]


@dataclass(frozen=True)
class Limits:
    """What the platform gives a process."""

    memory_mb: int
    descriptors: int
    cpu_share: float  # of one core


@dataclass
class Seen:
    """What a play has shown."""

    peak_mb: float = 0.0
    waits_s: list[float] = field(default_factory=list)  # of usual jobs for their answers
    statuses: Counter[int] = field(default_factory=Counter)  # of usual jobs; 0: no answer
    opened: int = 0  # connections of the play
    sent_bytes: int = 0
    answered_bytes: int = 0
    ended: bool = False  # the process did not survive


class CpuShare:
    """Holds a process to a share of a core."""

    def __init__(self, process_id: int, share: float) -> None:
        self.process_id, self.share = process_id, share
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        if share < 1:
            self._thread.start()

    def _used_s(self) -> float:
        return int(Path(f"/proc/{self.process_id}/schedstat").read_text().split()[0]) / 1e9

    def _run(self) -> None:
        with contextlib.suppress(OSError):
            while not self._ended.is_set():
                began, used_before_s = time.monotonic(), self._used_s()
                while True:
                    time.sleep(0.001)
                    used_s, passed_s = self._used_s() - used_before_s, time.monotonic() - began
                    if used_s >= CPU_PERIOD_S * self.share or passed_s >= CPU_PERIOD_S:
                        break
                if (rest_s := used_s / self.share - passed_s) > 0:
                    os.kill(self.process_id, signal.SIGSTOP)
                    time.sleep(rest_s)
                    os.kill(self.process_id, signal.SIGCONT)

    def end(self) -> None:
        """Let the process run freely again."""
        self._ended.set()
        if self._thread.is_alive():
            self._thread.join()
        with contextlib.suppress(OSError):
            os.kill(self.process_id, signal.SIGCONT)


# What the clients of the plays do. Each gets the port, the seconds, the limits and what is seen.


def flood(message: Message) -> Callable[[int, float, Limits, Seen], None]:
    """Return a client that writes messages at full speed on one connection, and reads the answers."""

    def run(port: int, seconds: float, limits: Limits, seen: Seen) -> None:
        end, numbers = time.monotonic() + seconds, itertools.count()
        while time.monotonic() < end:
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 5) as client:
                client.setblocking(False)
                seen.opened += 1
                unsent = b""
                while time.monotonic() < end:
                    if len(unsent) < WRITE_AHEAD_BYTES:
                        unsent += b"".join(message(next(numbers)) for _ in range(200))
                    with contextlib.suppress(BlockingIOError):
                        sent = client.send(unsent)
                        unsent = unsent[sent:]
                        seen.sent_bytes += sent
                    with contextlib.suppress(BlockingIOError):
                        answer = client.recv(1 << 20)
                        seen.answered_bytes += len(answer)
                        if not answer:
                            break
                        continue
                    time.sleep(0.0005)

    return run


class HeldConnection:
    """One connection of a crowd: writes its message in pieces, and stays."""

    def __init__(self, port: int, message: bytes) -> None:
        self.unsent, self.next_write = message, 0.0
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(("127.0.0.1", port))

    def write(self, now: float, piece_bytes: int, pause_s: float) -> None:
        """Write the next piece if it is due."""
        if not self.unsent or now < self.next_write:
            return
        with contextlib.suppress(OSError):
            sent = self.sock.send(self.unsent[:piece_bytes])
            self.unsent, self.next_write = self.unsent[sent:], now + pause_s

    def read(self) -> bool:
        """Read an answer; return whether the connection is still open."""
        try:
            return bool(self.sock.recv(65536))
        except BlockingIOError:
            return True
        except OSError:
            return False


def crowd(
    message: Message, piece_bytes: int = 65536, pause_s: float = 0.0, reads: bool = True
) -> Callable[[int, float, Limits, Seen], None]:
    """Return clients that hold as many connections as there are descriptors, and come again when closed."""

    def run(port: int, seconds: float, limits: Limits, seen: Seen) -> None:
        end, numbers = time.monotonic() + seconds, itertools.count()
        held: set[HeldConnection] = set()
        with selectors.DefaultSelector() as selector:
            while time.monotonic() < end:
                while len(held) < limits.descriptors:
                    client = HeldConnection(port, message(next(numbers)))
                    held.add(client)
                    seen.opened += 1
                    if reads:
                        selector.register(client.sock, selectors.EVENT_READ, client)
                for key, _ in selector.select(0.002):
                    if not key.data.read():
                        selector.unregister(key.data.sock)
                        key.data.sock.close()
                        held.discard(key.data)
                now = time.monotonic()
                for client in held:
                    client.write(now, piece_bytes, pause_s)
        for client in held:
            client.sock.close()

    return run


def get(path: str) -> Message:
    """Return a request for a page."""
    return lambda number: f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


def job(number: int, *fields: bytes, name: str = "look", deadline_ms: int = 2000, length: int = 0) -> bytes:
    """Return the head of a job's request with some more fields."""
    lines = [f"POST /{name} HTTP/1.1".encode(), b"Host: x", b"Req-Id: play-%d" % number]
    lines += [b"Req-Deadline-Ms: %d" % deadline_ms, b"Content-Length: %d" % length, *fields]
    return b"\r\n".join([*lines, b"", b""])


def short_fields(number: int, count: int) -> list[bytes]:
    """Return fields whose values are new in each message."""
    return [b"a%d:%d" % (field_number, number) for field_number in range(count)]


CHUNKED_HEAD = b"POST /look HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
FLOODS: dict[str, Message] = {
    "counters": get("/-/counters"),
    "ready": get("/-/ready"),
    "no such page": get("/-/nothing"),
    "new classes": lambda number: job(number, name=f"class-{number}"),
    "no id": lambda number: b"POST /look HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
    "no time": lambda number: job(number, deadline_ms=0),
    "little time": lambda number: job(number, name="once", deadline_ms=30),
    "jobs": job,
    "line ends": lambda number: b"\r\n" * 50,
    "not HTTP": lambda number: b"G\x01 / HTTP/1.1\r\n\r\n",
    "small chunks": lambda number: CHUNKED_HEAD + b"1\r\nx\r\n" * 200 + b"0\r\n\r\n",
    "many fields": lambda number: job(number, *short_fields(number, 90), name="nothing"),
}
CROWDS: dict[str, Callable[[int, float, Limits, Seen], None]] = {
    "slow writers": crowd(lambda number: job(number, length=65536) + b"x" * 65_000, 4096, 0.1),
    "slow writers of small pieces": crowd(
        lambda number: job(number, length=65536) + b"x" * 65_000, 900, 0.02
    ),
    "stopped half way": crowd(lambda number: job(number, length=65536) + b"x" * 60_000),
    "stopped in a chunk": crowd(lambda number: CHUNKED_HEAD + b"ff00\r\n" + b"x" * 60_000),
    "short fields, no end": crowd(lambda number: b"GET / HTTP/1.1\r\nHost: x\r\n" + b"a:\r\n" * 3900),
    "short fields, slowly": crowd(
        lambda number: b"GET / HTTP/1.1\r\nHost: x\r\n" + b"a:\r\n" * 3900, 400, 0.05
    ),
    "short fields, stopped in the body": crowd(
        lambda number: job(number, *short_fields(number, 95), length=65536) + b"x" * 100
    ),
    "much sent ahead": crowd(lambda number: job(number, name="once") + job(number, length=65536) * 800),
    "unread pages": crowd(lambda number: get("/-/counters")(0) * 1500, reads=False),
}
PLAYS = {name: flood(message) for name, message in FLOODS.items()} | CROWDS


def _send_usual_jobs(process: ServeProcess, client: int, ended: threading.Event, seen: Seen) -> None:
    for number in itertools.count():
        began = time.monotonic()
        status = process.send_job(f"usual-{client}-{number}")
        seen.waits_s.append(time.monotonic() - began)
        seen.statuses[status] += 1
        if ended.wait(USUAL_JOB_INTERVAL_S):
            return


def _sample_memory(process: ServeProcess, ended: threading.Event, seen: Seen) -> None:
    with contextlib.suppress(OSError):
        while not ended.wait(SAMPLE_INTERVAL_S):
            seen.peak_mb = max(seen.peak_mb, unshared_memory_mb(process.process.pid))


@contextlib.contextmanager
def watched(process: ServeProcess, seen: Seen) -> Iterator[None]:
    """Hand in usual jobs and look at the memory, until the play is over."""
    ended = threading.Event()
    threads = [threading.Thread(target=_sample_memory, args=[process, ended, seen])]
    threads += [
        threading.Thread(target=_send_usual_jobs, args=[process, client, ended, seen])
        for client in range(USUAL_CLIENTS)
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        ended.set()
        for thread in threads:
            thread.join()


def play(name: str, folder: Path, limits: Limits, seconds: float) -> Seen:
    """Run one play."""
    seen, workers = Seen(), [EmulatedWorker(f"w{number}", JOB_RUN_S) for number in range(WORKERS)]
    base = {"target-ns": 200 * NS_PER_MS, "hard-limit-ns": 3000 * NS_PER_MS, "worth": 1.0}
    settings = platform_settings(1, discovery="ask")
    settings["services"] = [base | {"name": name, "idempotency": kind} for name, kind in CLASSES]
    settings["family-info"]["class-stretch"] = [2.0] * len(CLASSES)
    process = ServeProcess(
        folder,
        "n0",
        "127.0.0.1:1",
        settings,
        [worker.list_entry() for worker in workers],
        limits.memory_mb,
        limits.descriptors,
    )
    share = None
    try:
        process.wait_ready()
        share = CpuShare(process.process.pid, limits.cpu_share)
        with watched(process, seen):
            time.sleep(CALM_S)
            PLAYS[name](process.port, seconds, limits, seen)
            seen.ended = process.process.poll() is not None
    finally:
        if share is not None:
            share.end()
        process.process.kill()
        process.stop()
        for worker in workers:
            worker.close()
    return seen


def main() -> None:
    """Run the play that the command line names."""
    name, memory_mb, descriptors, cpu_share = sys.argv[1:5]
    seconds = float(sys.argv[5]) if len(sys.argv) > 5 else 6.0
    with tempfile.TemporaryDirectory() as folder:
        seen = play(name, Path(folder), Limits(int(memory_mb), int(descriptors), float(cpu_share)), seconds)
    waits = sorted(seen.waits_s)
    print(
        f"{name}: peak {seen.peak_mb:.1f} MB of {memory_mb}, usual jobs {dict(seen.statuses)}, "
        f"wait {waits[len(waits) // 2]:.2f} s (median) {waits[-1]:.2f} s (longest), "
        f"{seen.opened} connections, {seen.sent_bytes / 1e6:.1f} MB sent"
    )


if __name__ == "__main__":
    main()
