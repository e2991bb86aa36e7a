"""The program as the platform runs it: configuration, signals, exit codes."""

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
from scenario import MESSAGES, PLATFORM_SETTINGS, RESPONSE_HEAD, TIMEOUT_S, job_request

VALID_CONFIG: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "settings": PLATFORM_SETTINGS,
}


def start(path: Path, config: object, *command: str, **variables: str) -> "subprocess.Popen[str]":
    """Write `config` to `path` and start the program with it, and with more environment variables."""
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    environ = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
    return subprocess.Popen(
        [sys.executable, "-m", "wickgw", *(command or ("serve",))],
        env=environ | {"RELAY_CONFIG": str(path)} | variables,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


@contextmanager
def serving(
    path: Path, config: object, **variables: str
) -> Iterator[tuple["subprocess.Popen[str]", socket.socket]]:
    """Start a dispatcher, and connect to it as a client once it listens."""
    process = start(path, config, **variables)
    try:
        assert process.stderr is not None
        lines = iter(process.stderr.readline, "")
        match = next(
            filter(None, (re.search(r"node.listening.* at=([0-9.]+):([0-9]+)", line) for line in lines))
        )
        with socket.create_connection((match[1], int(match[2])), TIMEOUT_S) as client:
            client.settimeout(TIMEOUT_S)
            yield process, client
    finally:
        process.kill()
        process.communicate()


@pytest.mark.parametrize(
    "config, word",
    [
        ("{", "not JSON"),
        ("[]", "not an object"),
        (VALID_CONFIG | {"name": ""}, "name"),
        (VALID_CONFIG | {"listen": "nowhere"}, "nowhere"),
        (VALID_CONFIG | {"listen": "127.0.0.1:99999"}, "99999"),
        (VALID_CONFIG | {"listen": "192.0.2.1:7070"}, "can't listen"),
        (VALID_CONFIG | {"discovery": 8500}, "discovery"),
        (VALID_CONFIG | {"seed": "dice"}, "dice"),
        (VALID_CONFIG | {"limits": {"sockets": 5}}, "limits.sockets"),
        (VALID_CONFIG | {"limits": {"memory_mb": -1}}, "limits.memory_mb"),
        ("[" * 100_000, "not JSON"),
        ({key: value for key, value in VALID_CONFIG.items() if key != "settings"}, "settings"),
        (VALID_CONFIG | {"settings": PLATFORM_SETTINGS | {"services": []}}, "classes"),
        (VALID_CONFIG | {"settings": 7}, "config.json"),
    ],
)
def test_invalid_configuration_is_reported_in_one_line_and_exits_with_2(
    config: object, word: str, tmp_path: Path
) -> None:
    process = start(tmp_path / "config.json", config)
    _, error = process.communicate(timeout=60)
    assert process.returncode == 2
    assert error.startswith("wickgw: ") and error.count("\n") == 1 and word in error


@pytest.mark.parametrize("path, word", [("", "not set"), ("/nonexistent", "No such file")])
def test_missing_configuration_is_reported(path: str, word: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "wickgw", "serve"],
        env=os.environ | {"RELAY_CONFIG": path},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2 and word in done.stderr and done.stderr.count("\n") == 1


# At a release, many processes start in the same second, and each pays for the modules that a start imports.
NOT_NEEDED_FOR_SERVING = [
    *("rich", "typer", "click", "pydantic", "jinja2", "interegular", "configparser", "unittest", "email"),
    *("wickgw.cli", "wickgw.address", "wickgw.routing", "wickgw.emulator", "wickgw.drill"),
]
NOT_NEEDED_BEFORE_LISTENING = [
    "numpy",
    "structlog",
    "msgspec",
    "wickgw.balance",
    "wickgw.node",
]
PRINT_IMPORTED = """
import sys
{code}
print(*sorted({{m for m in sys.modules if any(m == n or m.startswith(n + ".") for n in {names!r})}}))
"""


@pytest.mark.parametrize(
    "code, names",
    [
        # Before the process listens: neither numpy nor the log nor the serving path.
        (
            "import wickgw.start",
            (*NOT_NEEDED_FOR_SERVING, "numpy", "structlog", "msgspec", "wickgw.balance", "wickgw.node"),
        ),
        ("import wickgw.start, wickgw.node; wickgw.node.configure_log(None, False)", NOT_NEEDED_FOR_SERVING),
    ],
)
def test_serving_process_imports_only_what_it_needs(code: str, names: list[str]) -> None:
    script = PRINT_IMPORTED.format(code=code, names=names)
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, timeout=60, check=True
    )
    assert done.stdout.strip() == ""


def test_invalid_arguments_of_serve_are_reported(tmp_path: Path) -> None:
    process = start(tmp_path / "config.json", VALID_CONFIG, "serve", "--loud")
    _, error = process.communicate(timeout=60)
    assert process.returncode == 2 and "--loud" in error
    process = start(tmp_path / "config.json", VALID_CONFIG, "serve", "--ini", str(tmp_path / "none.ini"))
    _, error = process.communicate(timeout=60)
    assert process.returncode == 2 and "none.ini: No such file" in error and error.count("\n") == 1


@pytest.mark.parametrize("number, word", [(signal.SIGHUP, "reload.done"), (signal.SIGTERM, "node.draining")])
def test_signal_during_imports_is_handled_after_the_start(
    number: signal.Signals, word: str, tmp_path: Path
) -> None:
    """A fake numpy module, first on the import path, sends the signal to its own process."""
    code = f"import os, sys\nos.kill(os.getpid(), {int(number)})\ndel sys.modules['numpy']\n"
    code += "sys.path.remove(os.path.dirname(__file__))\nimport numpy\n"
    (tmp_path / "numpy.py").write_text(code)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(VALID_CONFIG))
    environ = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
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


def test_check_and_version_print_their_results(tmp_path: Path) -> None:
    out, _ = start(tmp_path / "config.json", VALID_CONFIG, "check").communicate(timeout=60)
    assert "atlanta" in out and "once: aim 0.2 s" in out
    out, _ = start(tmp_path / "config.json", VALID_CONFIG, "version").communicate(timeout=60)
    assert re.fullmatch(r"\d+\.\d+\.\d+\n", out)


def test_sigterm_finishes_accepted_requests_prints_the_counters_and_exits_with_0(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        target = {"uid": "w0", "endpoint": f"{host}:{port}", "az": "atlanta", "state": "ready", "boot_ms": 0}
        known = {"rev": 1, "all": True, "targets": [target]}
        with serving(tmp_path / "config.json", VALID_CONFIG | {"known": known}) as (process, client):
            client.sendall(job_request("7", "once").encode())
            listener.settimeout(TIMEOUT_S)
            worker, _ = listener.accept()
            with worker:
                worker.settimeout(TIMEOUT_S)
                assert worker.recv(65536)
                process.send_signal(signal.SIGTERM)
                worker.sendall((RESPONSE_HEAD + MESSAGES["done"]("7")).encode())
                answer = client.recv(65536)
                assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"made")
                out, _ = process.communicate(timeout=30)
        assert process.returncode == 0
        counters = json.loads(out)["counters"]
        assert (counters["taken"], counters["answer.served"], counters["try.ok"]) == (1, 1, 1)


def test_sigterm_with_an_unresponsive_worker_exits_before_sigkill(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        target = {"uid": "w0", "endpoint": f"{host}:{port}", "state": "ready"}
        known = {"rev": 1, "all": True, "targets": [target]}
        with serving(tmp_path / "config.json", VALID_CONFIG | {"known": known}) as (process, client):
            client.sendall(job_request("7", "once", "60000").encode())
            listener.settimeout(TIMEOUT_S)
            worker, _ = listener.accept()
            with worker:
                process.send_signal(signal.SIGTERM)
                assert client.recv(65536).startswith(b"HTTP/1.1 502")
                process.communicate(timeout=30)
        assert process.returncode == 0


def test_signal_after_the_event_loop_has_closed_does_not_kill_the_process(
    tmp_path: Path,
) -> None:
    """Closing the event loop restores the default signal handlers, so a later signal killed the process."""
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
    with serving(tmp_path / "config.json", VALID_CONFIG, PYTHONPATH=str(tmp_path)) as (process, _):
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=30)
        assert process.returncode == 0


def test_closed_stdout_does_not_change_the_exit_code(tmp_path: Path) -> None:
    with serving(tmp_path / "config.json", VALID_CONFIG, PYTHONUNBUFFERED="") as (process, _):
        assert process.stdout is not None
        process.stdout.close()
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=30) == 0


def test_sigusr1_prints_the_counters(tmp_path: Path) -> None:
    with serving(tmp_path / "config.json", VALID_CONFIG) as (process, _):
        process.send_signal(signal.SIGUSR1)
        assert process.stdout is not None
        assert json.loads(process.stdout.readline())["name"] == "n0"


def test_sighup_reloads_the_configuration_and_does_not_kill_the_process(tmp_path: Path) -> None:
    """Without a handler, SIGHUP would kill the process, and all accepted requests would be lost."""
    path = tmp_path / "config.json"
    with (
        socket.create_server(("127.0.0.1", 0)) as new_discovery,
        serving(path, VALID_CONFIG) as (process, client),
    ):
        assert process.stderr is not None
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        assert "not JSON" in next(line for line in process.stderr if "reload.failed" in line)
        path.write_text(
            json.dumps(VALID_CONFIG | {"discovery": "{}:{}".format(*new_discovery.getsockname())})
        )
        process.send_signal(signal.SIGHUP)
        new_discovery.settimeout(TIMEOUT_S)
        connection, _ = new_discovery.accept()
        with connection:
            connection.settimeout(TIMEOUT_S)
            assert connection.recv(65536).startswith(b"GET /api/targets HTTP/1.1\r\n")
        client.sendall(MESSAGES["get"]("/-/counters").encode())
        answer = client.recv(65536)
        assert b'"reloads": 1' in answer and b'"reloads.failed": 1' in answer
        assert process.poll() is None


def test_invalid_known_list_is_ignored(tmp_path: Path) -> None:
    with serving(tmp_path / "config.json", VALID_CONFIG | {"known": {"rev": "old"}}) as (_, client):
        client.sendall(MESSAGES["get"]("/-/ready").encode())
        assert client.recv(65536).startswith(b"HTTP/1.1 503")
