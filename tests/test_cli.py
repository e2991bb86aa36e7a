"""The program as the platform starts it: configuration, signals, exit."""

import json
import os
import re
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
from scenario import FACTS, HEAD, MESSAGES, PATIENCE, job

GOOD: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "settings": FACTS,
}


def start(path: Path, config: object, *command: str, **more: str) -> "subprocess.Popen[str]":
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    environ = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    return subprocess.Popen(
        [sys.executable, "-m", "wickgw", *(command or ("serve",))],
        env=environ | {"RELAY_CONFIG": str(path)} | more,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


@contextmanager
def serving(
    path: Path, config: object, **more: str
) -> Iterator[tuple["subprocess.Popen[str]", socket.socket]]:
    """A dispatcher that listens, and a client connection to it."""
    process = start(path, config, **more)
    try:
        assert process.stderr is not None
        lines = iter(process.stderr.readline, "")
        where = next(
            filter(None, (re.search(r"node.listening.* at=([0-9.]+):([0-9]+)", line) for line in lines))
        )
        with socket.create_connection((where[1], int(where[2])), PATIENCE) as client:
            client.settimeout(PATIENCE)
            yield process, client
    finally:
        process.kill()
        process.communicate()


@pytest.mark.parametrize(
    "config, word",
    [
        ("{", "not JSON"),
        ("[]", "not an object"),
        (GOOD | {"name": ""}, "name"),
        (GOOD | {"listen": "nowhere"}, "nowhere"),
        (GOOD | {"listen": "127.0.0.1:99999"}, "99999"),
        (GOOD | {"listen": "192.0.2.1:7070"}, "can't listen"),
        (GOOD | {"discovery": 8500}, "discovery"),
        (GOOD | {"seed": "dice"}, "dice"),
        (GOOD | {"limits": {"sockets": 5}}, "limits.sockets"),
        (GOOD | {"limits": {"memory_mb": -1}}, "limits.memory_mb"),
        ("[" * 100_000, "not JSON"),
        ({k: v for k, v in GOOD.items() if k != "settings"}, "settings"),
        (GOOD | {"settings": FACTS | {"services": []}}, "classes"),
        (GOOD | {"settings": 7}, "config.json"),
    ],
)
def test_bad_configuration_is_one_plain_line_and_exit_2(config: object, word: str, tmp_path: Path) -> None:
    process = start(tmp_path / "config.json", config)
    _, error = process.communicate(timeout=60)
    assert process.returncode == 2
    assert error.startswith("wickgw: ") and error.count("\n") == 1 and word in error


@pytest.mark.parametrize("path, word", [("", "not set"), ("/nonexistent", "No such file")])
def test_missing_configuration_is_named(path: str, word: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "wickgw", "serve"],
        env=os.environ | {"RELAY_CONFIG": path},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2 and word in done.stderr and done.stderr.count("\n") == 1


# What a start loads is paid by every process of a release in the same second.
NOT_FOR_SERVING = [
    *("rich", "typer", "click", "pydantic", "jinja2", "interegular", "configparser", "unittest", "email"),
    *("wickgw.cli", "wickgw.address", "wickgw.routing", "wickgw.emulator", "wickgw.drill"),
]
NOT_YET = ["numpy", "structlog", "msgspec", "wickgw.balance", "wickgw.node"]  # before it listens
LOADED = """
import sys
{code}
print(*sorted({{m for m in sys.modules if any(m == n or m.startswith(n + ".") for n in {names!r})}}))
"""


@pytest.mark.parametrize(
    "code, names",
    [
        # Before it listens: no numerics, no log, no loop's worth of the serving path.
        (
            "import wickgw.start",
            (*NOT_FOR_SERVING, "numpy", "structlog", "msgspec", "wickgw.balance", "wickgw.node"),
        ),
        ("import wickgw.start, wickgw.node; wickgw.node.configure_log(None, False)", NOT_FOR_SERVING),
    ],
)
def test_serving_process_loads_nothing_that_it_does_not_need(code: str, names: list[str]) -> None:
    body = LOADED.format(code=code, names=names)
    done = subprocess.run(
        [sys.executable, "-c", body], capture_output=True, text=True, timeout=60, check=True
    )
    assert done.stdout.strip() == ""


def test_words_that_serve_does_not_take_are_explained(tmp_path: Path) -> None:
    process = start(tmp_path / "config.json", GOOD, "serve", "--loud")
    _, error = process.communicate(timeout=60)
    assert process.returncode == 2 and "--loud" in error
    process = start(tmp_path / "config.json", GOOD, "serve", "--ini", str(tmp_path / "none.ini"))
    _, error = process.communicate(timeout=60)
    assert process.returncode == 2 and "none.ini: No such file" in error and error.count("\n") == 1


@pytest.mark.parametrize("number, word", [(signal.SIGHUP, "reload.done"), (signal.SIGTERM, "node.draining")])
def test_signal_that_comes_while_the_program_loads_is_heeded_later(
    number: signal.Signals, word: str, tmp_path: Path
) -> None:
    """The test's own module stands where numpy is looked for first, and signals its process."""
    code = f"import os, sys\nos.kill(os.getpid(), {int(number)})\ndel sys.modules['numpy']\n"
    code += "sys.path.remove(os.path.dirname(__file__))\nimport numpy\n"
    (tmp_path / "numpy.py").write_text(code)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    environ = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    process = subprocess.Popen(
        [sys.executable, "-m", "wickgw", "serve"],
        env=environ | {"RELAY_CONFIG": str(path), "PYTHONPATH": str(tmp_path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stderr is not None
        assert any(word in line for line in iter(process.stderr.readline, ""))
        process.terminate()
        process.communicate(timeout=30)
        assert process.returncode == 0
    finally:
        process.kill()
        process.communicate()


def test_check_and_version_say_what_they_know(tmp_path: Path) -> None:
    out, _ = start(tmp_path / "config.json", GOOD, "check").communicate(timeout=60)
    assert "atlanta" in out and "once: aim 0.2 s" in out
    out, _ = start(tmp_path / "config.json", GOOD, "version").communicate(timeout=60)
    assert re.fullmatch(r"\d+\.\d+\.\d+\n", out)


def test_sigterm_answers_what_was_taken_prints_the_counters_and_exits_0(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as peer:
        host, port = peer.getsockname()
        target = {"uid": "w0", "endpoint": f"{host}:{port}", "az": "atlanta", "state": "ready", "boot_ms": 0}
        known = {"rev": 1, "all": True, "targets": [target]}
        with serving(tmp_path / "config.json", GOOD | {"known": known}) as (process, client):
            client.sendall(job("7", "once").encode())
            peer.settimeout(PATIENCE)
            worker, _ = peer.accept()
            with worker:
                worker.settimeout(PATIENCE)
                assert worker.recv(65536)
                process.send_signal(signal.SIGTERM)
                worker.sendall((HEAD + MESSAGES["done"]("7")).encode())
                answer = client.recv(65536)
                assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"made")
                out, _ = process.communicate(timeout=30)
        assert process.returncode == 0
        counters = json.loads(out)["counters"]
        assert (counters["taken"], counters["answer.served"], counters["try.ok"]) == (1, 1, 1)


def test_sigterm_with_a_silent_peer_ends_before_sigkill_would_come(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as peer:
        host, port = peer.getsockname()
        target = {"uid": "w0", "endpoint": f"{host}:{port}", "state": "ready"}
        known = {"rev": 1, "all": True, "targets": [target]}
        with serving(tmp_path / "config.json", GOOD | {"known": known}) as (process, client):
            client.sendall(job("7", "once", "60000").encode())
            peer.settimeout(PATIENCE)
            worker, _ = peer.accept()
            with worker:
                process.send_signal(signal.SIGTERM)
                assert client.recv(65536).startswith(b"HTTP/1.1 502")
                process.communicate(timeout=30)
        assert process.returncode == 0


def test_signal_that_comes_after_the_loop_has_ended_does_not_end_the_process(
    tmp_path: Path,
) -> None:
    """The loop gives signals their default back when it closes: one more then was death instead of exit 0."""
    (tmp_path / "sitecustomize.py").write_text(
        """
import os, signal
from asyncio import unix_events

class Loop(unix_events._UnixSelectorEventLoop):
    def close(self):
        super().close()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGUSR1):
            os.kill(os.getpid(), number)

unix_events._UnixDefaultEventLoopPolicy._loop_factory = Loop
"""
    )
    with serving(tmp_path / "config.json", GOOD, PYTHONPATH=str(tmp_path)) as (process, _):
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=30)
        assert process.returncode == 0


def test_counters_that_nobody_reads_at_the_end_do_not_change_the_exit(tmp_path: Path) -> None:
    with serving(tmp_path / "config.json", GOOD, PYTHONUNBUFFERED="") as (process, _):
        assert process.stdout is not None
        process.stdout.close()
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=30) == 0


def test_counters_on_a_signal(tmp_path: Path) -> None:
    with serving(tmp_path / "config.json", GOOD) as (process, _):
        process.send_signal(signal.SIGUSR1)
        assert process.stdout is not None
        assert json.loads(process.stdout.readline())["name"] == "n0"


def test_sighup_reads_the_configuration_again_and_never_ends_the_process(tmp_path: Path) -> None:
    """Without a handler SIGHUP is death, with every request in hand lost."""
    path = tmp_path / "config.json"
    with socket.create_server(("127.0.0.1", 0)) as moved, serving(path, GOOD) as (process, client):
        assert process.stderr is not None
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        assert "not JSON" in next(line for line in process.stderr if "reload.failed" in line)
        path.write_text(json.dumps(GOOD | {"discovery": "{}:{}".format(*moved.getsockname())}))
        process.send_signal(signal.SIGHUP)
        moved.settimeout(PATIENCE)
        asked, _ = moved.accept()
        with asked:
            asked.settimeout(PATIENCE)
            assert asked.recv(65536).startswith(b"GET /api/targets HTTP/1.1\r\n")
        client.sendall(MESSAGES["get"]("/-/counters").encode())
        answer = client.recv(65536)
        assert b'"reloads": 1' in answer and b'"reloads.failed": 1' in answer
        assert process.poll() is None


def test_no_list_is_kept_when_known_is_nonsense(tmp_path: Path) -> None:
    with serving(tmp_path / "config.json", GOOD | {"known": {"rev": "old"}}) as (_, client):
        client.sendall(MESSAGES["get"]("/-/ready").encode())
        assert client.recv(65536).startswith(b"HTTP/1.1 503")
