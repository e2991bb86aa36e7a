"""Parts of the cases 6 to 10: the dispatcher as a process, and stand-ins for workers, discovery and clients.

The dispatcher is started with the `run` command of deploy/balancer.toml. Everything else runs in the process
of the case: label workers, the agent that tells their list, and raw HTTP/1.1 clients. All of it listens on
loopback addresses and free ports. Each case gives `main` a coroutine and gets a `Rig`; what is sent, run and
answered goes to `record.txt` in the folder of the case.
"""

import asyncio
import contextlib
import ctypes
import json
import logging
import math
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SECOND = 1_000_000_000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
SLACK_S = 0.05  # by which the protocol page lengthens every time limit on sockets
READY_S = 30.0
LIBC, PR_SET_PDEATHSIG = ctypes.CDLL(None), 1
PASSED_DESCRIPTOR = 7  # as which a process inherits the clients' listening socket
LATE_S = 0.5  # after its time a request only earns nothing; later, or never answered, it is lost
TOLD_SLACK_S = 0.15  # by which an attempt may tell more than what is left to the client
# The classes of the first site: name, latency target, deadline (seconds), effect, worth, late worth, stretch.
CLASSES = (
    ("label-lookup", 0.08, 5.0, "read_like", 2.0, 0.25, 2.0),
    ("label-create", 0.6, 8.0, "non_idempotent", 5.0, 0.5, 2.0),
    ("refund-release", 0.1, 5.0, "non_idempotent", 5.0, 0.5, 2.5),
    ("scan-record", 0.08, 5.0, "non_idempotent", 3.0, 0.25, 2.5),
)


logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # the stand-ins write to connections that ended


class CannotRunError(Exception):
    """The case could not be set up."""


def now() -> float:
    """Return the monotonic time in seconds."""
    return time.monotonic()


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def make_settings(**changes: Any) -> dict[str, Any]:
    """Return settings in the platform's form, those of the first site; `changes` replace whole keys."""
    settings: dict[str, Any] = {
        "bounds": {
            "attempts-cap": 6,
            "cancel": True,
            "conn-idle-ns": 10 * SECOND,
            "connect-timeout-ns": SECOND // 4,
            "cpu-us-per-s": 400000,
            "max-open": 20000,
            "max-retry-after-ns": 2 * SECOND,
            "multiplex": 1,
            "probing": False,
            "retry-after": False,
            "second-copies": True,
        },
        "clients": {"marks-retry": True},
        "counted-by": "request",
        "discovery": "push",
        "domain-type": "jobs",
        "family-info": {
            "class-kind": [-1] * len(CLASSES),
            "class-priority": [0, 1, 1, 0],
            "class-stretch": [each[6] for each in CLASSES],
            "progress-ns": SECOND,
            "queue-order": "fifo",
            "tells-start": True,
        },
        "fees": {"cross-zone": 0.03, "late-fail": 0.072, "waste": 0.1, "handshake": 0.0},
        "goal": {"whole": 0.55, "worst-class": 0.3, "worst-tenant": 0.0, "worst-window": 0.15},
        "host-types": ["blue", "gray"],
        "layers": ["label-workers"],
        "ordinal": 0,
        "over-share-worth": 0.1,
        "parties": [],
        "reporting": {"fields": [], "source": "silent"},
        "rules": {
            "ask-within-ns": 10 * SECOND,
            "cold-from": 0.15,
            "drain-grace-ns": 2 * SECOND,
            "fall-ns": SECOND,
            "grace-to-answer-ns": 8_000_000,
            "overload-factor": 4.0,
            "warm-after-ns": 23 * SECOND,
        },
        "services": [
            {
                "group": "all",
                "hard-limit-ns": int(deadline * SECOND),
                "idempotency": effect,
                "late-worth": late_worth,
                "name": name,
                "stream": False,
                "target-ns": int(target * SECOND),
                "window-ns": 5 * SECOND,
                "worth": worth,
            }
            for name, target, deadline, effect, worth, late_worth, _ in CLASSES
        ],
        "siblings": 3,
        "tier": 0,
        "weight-kind": "silent",
        "zone": 0,
        "zones": ["atlanta", "memphis", "dallas"],
    }
    return settings | changes


class Head:
    """The head and the body of one request, as a server reads it."""

    def __init__(self, line: str, fields: dict[str, str], body: bytes) -> None:
        self.line, self.fields, self.body = line, fields, body

    @property
    def target(self) -> str:
        """The path and the query."""
        return self.line.split(" ")[1]


def parse_fields(lines: list[str]) -> dict[str, str]:
    """Return the header fields of the lines after the first, by lower-case name."""
    parts = (line.partition(":") for line in lines)
    return {name.strip().lower(): value.strip() for name, colon, value in parts if colon}


async def read_request(reader: asyncio.StreamReader) -> Head | None:
    """Read one request with a Content-Length; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
        lines = raw.decode("latin-1").split("\r\n")
        fields = parse_fields(lines[1:])
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Head(lines[0], fields, body)


class Worker:
    """One label worker: `slots` jobs at a time, in order; each takes `run_s(head)` seconds once it began."""

    def __init__(self, rig: "Rig", name: str, run_s: Callable[[Head], float], slots: int = 2) -> None:
        self.rig, self.name, self.run_s = rig, name, run_s
        self.free = asyncio.Semaphore(slots)
        self.state, self.boot_ms, self.port, self.zone = "ready", 0, 0, "atlanta"
        self.connections = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def entry(self) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "uid": self.name,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self.zone,
            "model": "blue",
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while (head := await read_request(reader)) is not None:
                await self._run(head, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _run(self, head: Head, writer: asyncio.StreamWriter) -> None:
        job = head.fields.get("req-id", "")
        told = int(head.fields.get("req-deadline-ms", "0"))
        self.rig.attempt(self.name, job, told)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        async with self.free:
            self._event(writer, {"id": job, "from": self.name, "state": "started"})
            run_s = self.run_s(head)
            begun = now()
            while (left := begun + run_s - now()) > 0:
                await asyncio.sleep(min(1.0, left))
                if now() < begun + run_s:
                    share = round((now() - begun) / run_s, 3)
                    self._event(writer, {"id": job, "from": self.name, "state": "running", "share": share})
        self.rig.note("run", worker=self.name, id=job)
        self._event(writer, {"id": job, "from": self.name, "state": "done", "result": result_of(job)})
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _event(self, writer: asyncio.StreamWriter, event: dict[str, Any]) -> None:
        line = json.dumps(event).encode() + b"\n"
        writer.write(f"{len(line):x}\r\n".encode() + line + b"\r\n")


def result_of(job: str) -> str:
    """Return the result that any worker makes of a job."""
    return f"result of {job}"


class Agent:
    """The agent that tells the list of workers: it answers at once, and a watch as soon as it has news."""

    def __init__(self, rig: "Rig") -> None:
        self.rig, self.rev, self.port = rig, 1, 0
        self.changed_at: dict[str, int] = {}
        self.news = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def tell(self, *workers: Worker) -> None:
        """Tell that these workers have changed."""
        self.rev += 1
        for worker in workers:
            self.changed_at[worker.name] = self.rev
            self.rig.note("listed", worker=worker.name, state=worker.state)
        self.news.set()
        self.news = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_request(reader)) is not None:
                query = dict(part.split("=") for part in head.target.partition("?")[2].split("&") if part)
                if "index" not in query:
                    whole, entries = True, [worker.entry for worker in self.rig.workers]
                else:
                    seen, whole = int(query["index"]), False
                    if self.rev <= seen:
                        with contextlib.suppress(TimeoutError):
                            async with asyncio.timeout(int(query.get("wait", "0")) / 1000):
                                await self.news.wait()
                    entries = [w.entry for w in self.rig.workers if self.changed_at.get(w.name, 0) > seen]
                body = json.dumps({"rev": self.rev, "all": whole, "targets": entries}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Answer:
    """What came back for one request: status 0 and `end` say that the connection ended without an answer."""

    def __init__(self, status: int, body: bytes, closes: bool, at: float, end: str = "") -> None:
        self.status, self.body, self.closes, self.at, self.end = status, body, closes, at, end


class Client:
    """One connection of a client."""

    def __init__(
        self, rig: "Rig", name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.rig, self.name, self.reader, self.writer = rig, name, reader, writer
        self.closed_at: float | None = None

    @classmethod
    async def connect(cls, rig: "Rig", name: str, port: int) -> "Client":
        """Connect to the dispatcher."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(rig, name, reader, writer)

    def send(self, job: str, kind: str, deadline_ms: int, body: bytes = b"{}") -> float:
        """Hand in a job; returns the time at which it was handed in."""
        at = self.rig.sent(self.name, job, kind, deadline_ms)
        self.writer.write(request_bytes(job, kind, deadline_ms, body))
        return at

    async def answer(self, job: str) -> Answer:
        """Wait for the answer to the oldest request that has none."""
        try:
            raw = await self.reader.readuntil(b"\r\n\r\n")
            lines = raw.decode("latin-1").split("\r\n")
            fields = parse_fields(lines[1:])
            body = await self.reader.readexactly(int(fields.get("content-length", "0")))
            closes = fields.get("connection", "").lower() == "close"
            found = Answer(int(lines[0].split(" ")[1]), body, closes, now())
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            found = Answer(0, b"", True, now(), type(error).__name__)
        if found.closes:
            self.close()
        self.rig.note("answer", client=self.name, id=job, status=found.status, end=found.end or None)
        return found

    def close(self) -> None:
        """Close this side."""
        if self.closed_at is None:
            self.closed_at = now()
            self.writer.close()


def lognormal_run_s(head: Head) -> float:
    """Return the running time of a label-create: 0.96 s on average, spread by 0.8, always the same for an id.

    The brief has 0.5 to 0.96 s on average for this class, the site file a spread (cv) of 0.23 to 0.8.
    """
    mean, spread = 0.96, 0.8
    variance = math.log(1 + spread * spread)
    draw = random.Random(head.fields.get("req-id", ""))
    return draw.lognormvariate(math.log(mean) - variance / 2, math.sqrt(variance))


def request_bytes(job: str, kind: str, deadline_ms: int, body: bytes = b"{}") -> bytes:
    """Return a job's request as a client writes it."""
    return (
        f"POST /{kind} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {job}\r\n"
        f"Req-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Rig:
    """One play of a case: its processes, its stand-ins and its record."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.began = folder, now()
        self.lines: list[str] = []
        self.workers: list[Worker] = []
        self.agent = Agent(self)
        self.attempts: list[tuple[float, str, str, int]] = []  # time, worker, job, told milliseconds
        self.jobs: dict[str, tuple[float, str, int]] = {}  # time, class, deadline in milliseconds
        self.processes: list[subprocess.Popen[bytes]] = []
        self.temporary = tempfile.TemporaryDirectory()
        self.job_count = 0

    def note(self, what: str, **fields: Any) -> None:
        """Write a line of the record."""
        text = " ".join(f"{key}={value}" for key, value in fields.items() if value is not None)
        self.lines.append(f"{now() - self.began:9.3f} {what} {text}".rstrip())

    def attempt(self, worker: str, job: str, told_ms: int) -> None:
        """Record that the last byte of an attempt has come to a worker."""
        self.attempts.append((now(), worker, job, told_ms))
        self.note("attempt", worker=worker, id=job, told_ms=told_ms)

    def sent(self, client: str, job: str, kind: str, deadline_ms: int) -> float:
        """Record that a client hands in a job."""
        at = now()
        self.jobs[job] = (at, kind, deadline_ms)
        self.note("sent", client=client, id=job, kind=kind, deadline_ms=deadline_ms)
        return at

    def told_too_much(self) -> list[str]:
        """Return the attempts that told their worker more time than was left to the client."""
        found = []
        for at, worker, job, told_ms in self.attempts:
            sent_at, _, deadline_ms = self.jobs[job]
            left_ms = deadline_ms - (at - sent_at) * 1000
            if told_ms > left_ms + (TOLD_SLACK_S + SLACK_S) * 1000:
                found.append(
                    f"{job} at {worker}: told {told_ms} ms, {left_ms:.0f} ms were left to its client"
                )
        return found

    def lost(self, answers: dict[str, "Answer"]) -> list[str]:
        """Return the jobs of `answers` that were answered too late, or not at all."""
        found = []
        for job, answer in answers.items():
            sent_at, kind, deadline_ms = self.jobs[job]
            late_s = answer.at - sent_at - deadline_ms / 1000
            if answer.status == 0:
                found.append(f"{job} ({kind}): no answer, {answer.end or 'none came'}")
            elif late_s > LATE_S + SLACK_S:
                found.append(f"{job} ({kind}): answered {answer.status} {late_s:.2f} s after its time")
        return found

    def new_id(self) -> str:
        """Return an id that no request had."""
        self.job_count += 1
        return f"{self.job_count:016x}"

    async def add_workers(self, count: int, run_s: Callable[[Head], float], slots: int = 2) -> list[Worker]:
        """Start workers, before the list is told for the first time."""
        added = [Worker(self, f"s-{len(self.workers) + n:08x}", run_s, slots) for n in range(count)]
        for worker in added:
            await worker.start()
        self.workers += added
        return added

    async def start_dispatcher(
        self, settings: dict[str, Any], name: str = "n0", mgmt: int = 0
    ) -> tuple[subprocess.Popen[bytes], int]:
        """Start a dispatcher by the deploy file, and wait until it is ready. Returns it and its port."""
        port = free_port()
        process = self.launch(settings, name, port, mgmt)
        await self.until_ready(process, name, port)
        return process, port

    def launch(
        self,
        settings: dict[str, Any],
        name: str,
        port: int,
        mgmt: int = 0,
        passed: socket.socket | None = None,
        ini: Path | None = None,
    ) -> subprocess.Popen[bytes]:
        """Start a dispatcher by the deploy file; a passed socket for clients is its descriptor 7.

        `ini` is the operator's own file, if there is another than the one in deploy/.
        """
        config: dict[str, Any] = {
            "name": name,
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{self.agent.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
        }
        if mgmt:
            config["mgmt"] = f"127.0.0.1:{mgmt}"
        path = Path(self.temporary.name) / f"{name}.json"
        path.write_text(json.dumps(config))
        private = Path(self.temporary.name) / f"{name}.tmp"
        private.mkdir(exist_ok=True)
        environ = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith(("RELAY_", "WICKGW_", "PYTHON", "VIRTUAL_ENV"))
        }
        environ |= {
            "RELAY_NAME": name,
            "RELAY_LISTEN": config["listen"],
            "RELAY_DISCOVERY": config["discovery"],
            "RELAY_CONFIG": str(path),
            "TMPDIR": str(private),
        }
        if ini is not None:
            environ["WICKGW_INI"] = str(ini)
        source = passed.fileno() if passed is not None else -1
        inherited: tuple[int, ...] = ()
        if passed is not None:
            environ["RELAY_PASSED_SOCKET"] = str(PASSED_DESCRIPTOR)
            inherited = (PASSED_DESCRIPTOR,)

        def prepare() -> None:
            LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)  # it ends with the script, however that ends
            if source >= 0:
                os.dup2(source, PASSED_DESCRIPTOR)

        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        log = open(Path(self.temporary.name) / f"{name}.log", "wb")  # noqa: SIM115
        process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=environ,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            pass_fds=inherited,
            preexec_fn=prepare,
        )
        log.close()
        self.processes.append(process)
        self.note("started", dispatcher=name, port=port)
        return process

    async def until_ready(self, process: subprocess.Popen[bytes], name: str, port: int) -> None:
        """Wait until a dispatcher says that it is ready. Raises CannotRunError if it does not."""
        deadline = now() + READY_S
        while await self.page(port, "/-/ready") != 200:
            if process.poll() is not None or now() > deadline:
                log_text = (Path(self.temporary.name) / f"{name}.log").read_text()
                raise CannotRunError(f"the dispatcher did not become ready: {log_text[-500:]}")
            await asyncio.sleep(0.05)
        self.note("ready", dispatcher=name, port=port)

    async def page(self, port: int, path: str) -> int:
        """Return the status of an operator's page; 0 if it can't be had."""
        return (await self.read_page(port, path))[0]

    async def read_page(self, port: int, path: str) -> tuple[int, bytes]:
        """Return status and body of an operator's page; status 0 if it can't be had."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return 0, b""
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n".encode())
            async with asyncio.timeout(2):
                raw = await reader.read()
            head, _, body = raw.partition(b"\r\n\r\n")
            return int(head.split(b" ")[1]), body
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0, b""
        finally:
            writer.close()

    async def call(self, port: int, word: str) -> str:
        """Make an operator's call at the second address and return the answer's line."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(word.encode() + b"\n")
            async with asyncio.timeout(2):
                line = (await reader.readline()).decode().strip()
            self.note("call", word=word, answer=line.replace(" ", "_"))
            return line
        finally:
            writer.close()

    def signal(self, process: subprocess.Popen[bytes], number: signal.Signals) -> None:
        """Send a signal to a process of this case."""
        self.note("signal", number=number.name)
        process.send_signal(number)

    def close(self) -> None:
        """End every process of this case and write the record."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.temporary.cleanup()
        (self.folder / "record.txt").write_text("\n".join(self.lines) + "\n")


async def _play(rig: Rig, case: Callable[[Rig], Awaitable[list[str]]], limit_s: float) -> list[str]:
    await rig.agent.start()
    async with asyncio.timeout(limit_s):
        return await case(rig)


def main(file: str, case: Callable[[Rig], Awaitable[list[str]]], limit_s: float = 110.0) -> None:
    """Play a case, which returns the breaks of its rule, and exit with 0, 1 or 2."""
    rig = Rig(Path(file).resolve().parent)
    rig.note("play", trouble=int(TROUBLE))
    status = COULD_NOT_RUN
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        breaks = asyncio.run(_play(rig, case, limit_s))
        for line in breaks:
            rig.note("broken", rule=line.replace(" ", "_"))
            print(line)
        status = BROKEN if breaks else HELD
        print(f"{len(breaks)} breaks: the rule {'was broken' if breaks else 'held'}")
    except Exception as error:  # a fault of the case is no broken rule
        rig.note("could not run", why=repr(error))
        print(f"could not run: {error!r}")
    finally:
        rig.close()
        sys.unraisablehook = lambda _: None  # streams that outlive their loop have nothing to say
    sys.exit(status)
