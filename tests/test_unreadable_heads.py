"""A real process goes on answering whoever sends an unreadable head, and tells where it is if aborted."""

import contextlib
import signal
import socket
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from wickgw.emulator.discovery import EmulatedDiscovery
from wickgw.emulator.serve_process import CLASS_NAME, ServeProcess, platform_settings
from wickgw.emulator.worker import EmulatedWorker

BAD_CLIENT_TIMEOUT_S = 3.0  # a bad client is owed an error or a close within 3 s
BAD_FIELD = b"X-Note: " + b" " * 12_000 + b"\x7f\r\n\r\n"
BAD_ANSWER = b"HTTP/1.1 200 OK\r\n" + BAD_FIELD
BAD_REQUESTS = {
    "field": f"POST /{CLASS_NAME} HTTP/1.1\r\nHost: x\r\n".encode() + BAD_FIELD,
    "extra": (
        f"POST /{CLASS_NAME} HTTP/1.1\r\nHost: x\r\nReq-Id: bad\r\nReq-Deadline-Ms: 1000\r\n"
        f"Req-Extra: a={' ' * 12_000}=\r\nContent-Length: 0\r\n\r\n"
    ).encode(),
}


class BadServer:
    """Answers each request with the same bytes, and counts the requests."""

    def __init__(self, answer: bytes) -> None:
        self.answer, self.requests = answer, 0
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.endpoint = "{}:{}".format(*self.sock.getsockname())
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        with contextlib.suppress(OSError):  # closed at the end
            while True:
                connection, _ = self.sock.accept()
                if connection.recv(65536):
                    self.requests += 1
                    connection.sendall(self.answer)

    def close(self) -> None:
        self.sock.close()


@pytest.fixture
def worker() -> Iterator[EmulatedWorker]:
    worker = EmulatedWorker("w0")
    yield worker
    worker.close()


@contextlib.contextmanager
def serving(folder: Path, discovery: str, known: list[dict[str, object]]) -> Iterator[ServeProcess]:
    process = ServeProcess(folder, "n0", discovery, platform_settings(1), known)
    try:
        process.wait_ready()
        yield process
    finally:
        process.process.kill()  # one that is stuck heeds no SIGTERM
        process.stop()


@pytest.mark.parametrize("request_bytes", BAD_REQUESTS.values(), ids=BAD_REQUESTS.keys())
def test_others_are_answered_after_the_head_of_a_bad_client(
    tmp_path: Path, worker: EmulatedWorker, request_bytes: bytes
) -> None:
    """Guards against a client's head of spaces after which nobody was answered (docs/incidents/47-1)."""
    discovery = EmulatedDiscovery([worker.list_entry()])
    with serving(tmp_path, discovery.endpoint, [worker.list_entry()]) as process:
        address = "127.0.0.1", process.port
        with socket.create_connection(address, BAD_CLIENT_TIMEOUT_S) as client:
            client.sendall(request_bytes)
            assert client.recv(100).startswith(b"HTTP/1.1 400")
        assert process.send_job("r1") == 200
    discovery.close()


def test_others_are_answered_after_the_head_of_a_bad_worker(tmp_path: Path, worker: EmulatedWorker) -> None:
    """Guards against a label worker's head of spaces that held the process up (docs/incidents/47-1)."""
    bad_server = BadServer(BAD_ANSWER)
    bad_entry = worker.list_entry() | {"uid": "w1", "endpoint": bad_server.endpoint}
    discovery = EmulatedDiscovery([worker.list_entry(), bad_entry])
    with serving(tmp_path, discovery.endpoint, [worker.list_entry(), bad_entry]) as process:
        statuses = [process.send_job(f"r{number}") for number in range(20)]
        assert bad_server.requests and statuses == [200] * 20  # repeatable jobs go to the other worker
    bad_server.close()
    discovery.close()


def test_jobs_are_answered_after_the_head_of_a_bad_discovery(tmp_path: Path, worker: EmulatedWorker) -> None:
    """Guards against discovery's head of spaces that kept a process from ready (docs/incidents/47-1)."""
    bad_server = BadServer(BAD_ANSWER)
    with serving(tmp_path, bad_server.endpoint, [worker.list_entry()]) as process:
        assert bad_server.requests and process.send_job("r1") == 200
    bad_server.close()


def test_aborted_process_says_where_it_was(tmp_path: Path, worker: EmulatedWorker) -> None:
    with serving(tmp_path, "127.0.0.1:1", [worker.list_entry()]) as process:
        process.process.send_signal(signal.SIGABRT)
        assert process.process.wait(10) == -signal.SIGABRT
        log = process.log_file.read_text()
    assert "Fatal Python error: Aborted" in log and "wickgw/start.py" in log
