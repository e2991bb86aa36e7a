"""Ends of connections, watches, workers and processes while requests are open (docs/design/endings.md).

Each scene forces the critical order: answers are held back, connections are kept from opening, and timeouts
are shortened. No test relies on a sleep for the order of events.
"""

import asyncio
import contextlib
import random
import re
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from scenario import MESSAGES, NS_PER_MS, PLATFORM_SETTINGS, TIMEOUT_S, Scenario, job_request

from wickgw.net import clients, discovery, http, watch_timing, worker_connection
from wickgw.net.sockets import Connection
from wickgw.net.watch_timing import WatchTiming
from wickgw.net.worker_connection import WorkerConnection
from wickgw.platform_data import read_settings

PUSHED: dict[str, Any] = {"discovery": "push", "siblings": 200}
SLOW_TO_OPEN: dict[str, Any] = {
    "bounds": PLATFORM_SETTINGS["bounds"] | {"connect-timeout-ns": 10_000 * NS_PER_MS}
}


def play_scene(text: str, **options: Any) -> None:
    scene = Scenario(**options)
    try:
        scene.run_script(text)
    finally:
        scene.close()


def drain_grace(seconds: float) -> dict[str, Any]:
    return {"rules": {"drain-grace-ns": int(seconds * 1000 * NS_PER_MS)}}


class ConnectGate:
    """Holds connections to workers between their connect and the first write, until `open` is called."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.held: list[WorkerConnection] = []
        self.is_closed, original = True, WorkerConnection._connected

        def connected(connection: WorkerConnection) -> None:
            if self.is_closed:
                assert connection.sock is not None
                connection.owner.loop.remove_writer(connection.sock.fileno())
                self.held.append(connection)
            else:
                original(connection)

        self.original: Callable[[WorkerConnection], None] = original
        monkeypatch.setattr(WorkerConnection, "_connected", connected)

    def wait(self, scene: Scenario, count: int) -> None:
        end = time.monotonic() + TIMEOUT_S
        while len(self.held) < count:
            assert time.monotonic() < end, "no connection is opening"
            scene.run_script("node wait taken 0")

    def open(self, scene: Scenario) -> None:
        self.is_closed = False

        async def release() -> None:
            for connection in self.held:
                if connection.sock is not None:
                    self.original(connection)

        asyncio.run_coroutine_threadsafe(release(), scene.loop).result(TIMEOUT_S)


@pytest.fixture
def connect_gate(monkeypatch: pytest.MonkeyPatch) -> Iterator[ConnectGate]:
    yield ConnectGate(monkeypatch)


def wait_until_read(scene: Scenario) -> None:
    """Wait until the dispatcher has read all earlier input: it has answered a later request."""
    scene.run_script("z send get /-/healthy\nz expect ok")


@contextlib.contextmanager
def blocked_loop(scene: Scenario) -> Iterator[None]:
    """Block the dispatcher's event loop, so that all input stays unread."""
    is_blocked, release = threading.Event(), threading.Event()

    def block() -> None:
        is_blocked.set()
        release.wait(TIMEOUT_S)

    scene.loop.call_soon_threadsafe(block)
    assert is_blocked.wait(TIMEOUT_S)
    try:
        yield
    finally:
        release.set()


# The worker list: a change counts as delivered whether or not it arrived.


@pytest.mark.parametrize("grace_s", [0.2, 0.7, 2.0, 3.5, 8.0])
@pytest.mark.parametrize("list_mode", ["push", "ask"])
@pytest.mark.parametrize("siblings", [1, 3, 200, 2000])
def test_change_missed_by_a_silent_watch_is_fetched_within_the_grace_period(
    grace_s: float, list_mode: str, siblings: int
) -> None:
    """For any settings: the timeout of a watch, the pause, and the call that fetches the change fit."""
    timing = WatchTiming(
        read_settings(
            PLATFORM_SETTINGS | {"discovery": list_mode, "siblings": siblings} | drain_grace(grace_s)
        )
    )
    deadline = watch_timing.CHANGE_DELIVERY_S + grace_s  # counted from the call, which stays silent
    watch_timeout = sum(timing.watch)
    pauses = [timing.pause(failures, False).longest for failures in range(1, 40)]
    if list_mode == "push":
        # The watch falls silent twice: the call after it, which does not wait, times out as well.
        second_timeout = watch_timeout + timing.pause(1, True).longest + sum(timing.watch_after_failure)
        assert second_timeout + timing.pause(2, True).longest + watch_timing.MIN_ANSWER_TIMEOUT_S < deadline
        # A change counts as delivered as soon as the agent has it, so a reset watch is reopened at once.
        assert pauses[0] < 0.1 and max(pauses) <= max(0.125, grace_s / 8)
    else:
        retry = watch_timing.IMMEDIATE_RETRY_S
        assert (
            watch_timeout + timing.pause(1, True).longest + watch_timing.FETCH_ALLOWANCE_S <= deadline + 1e-9
        )
        # After a refused call the next one queues.
        assert max(pauses) + timing.whole_list_timeout <= deadline + 1e-9
        assert sum(timing.watch_after_failure) + retry + watch_timing.FETCH_ALLOWANCE_S <= deadline + 1e-9
        # The call keeps its place in the queue.
        assert timing.watch_after_failure.answer_timeout >= timing.whole_list_timeout


def test_reset_watch_is_reopened_at_once_where_lists_are_pushed(monkeypatch: pytest.MonkeyPatch) -> None:
    """With pauses of 3 to 7 s, each of 200 dispatchers would send to draining workers for as long."""
    pauses = list[tuple[float, float]]()
    monkeypatch.setattr(random, "uniform", lambda a, b: pauses.append((a, b)) or b)  # type: ignore[func-returns-value]
    scene = Scenario(known="", platform_settings=PUSHED)
    try:
        scene.run_script("d send list 5 whole w0 w1\nd expect index=5&\nd close hard")
        scene.run_script("d/2 expect index=5&\nd/2 send list 6 part w0=draining\nd/2 expect index=6&")
        scene.run_script("a send job 1\nw1 gets 1")
        assert pauses[0] == (0.025, 0.05)
    finally:
        scene.close()


def test_silent_or_incomplete_watch_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_timing, "WATCH_WAIT_S", 0.05)
    play_scene(
        """
        d send list 5 whole w0 w1
        d expect index=5&wait=50 HTTP
        d/2 expect index=5&wait=1 HTTP
        d/3 expect index=5&wait=1 HTTP
        d/3 send raw "HTTP/1.1 200 OK~Content-Length: 500~~{"
        d/4 expect index=5&wait=1 HTTP
        d/4 send list 6 part w0=draining
        d/4 expect index=6&wait=50 HTTP
        a send job 1
        w1 gets 1
        """,
        known="",
        platform_settings=PUSHED | drain_grace(0.4),
    )


def test_connecting_to_the_agent_is_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first connection after the loss is kept from opening; the next one opens."""
    scene, original, calls = (
        Scenario(known="", platform_settings=PUSHED | drain_grace(0.4)),
        discovery.Discovery._writable,
        [0],
    )

    def writable(self: discovery.Discovery) -> None:
        calls[0] += 1
        if calls[0] > 1:
            original(self)
        elif self.connecting_socket is not None:
            self.loop.remove_writer(self.connecting_socket.fileno())

    try:
        scene.run_script("d send list 5 whole w0 w1\nd expect index=5&")
        monkeypatch.setattr(discovery.Discovery, "_writable", writable)
        scene.run_script("d close hard\nd/2 expect end\nd/3 expect index=5&")
    finally:
        scene.close()


def test_polled_watch_that_is_silent_again_is_reopened_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watch_timing, "WATCH_WAIT_S", 0.05)
    monkeypatch.setattr(watch_timing, "QUEUE_TIMEOUT_S", 0.1)
    pauses = list[tuple[float, float]]()
    monkeypatch.setattr(random, "uniform", lambda a, b: pauses.append((a, b)) or a)  # type: ignore[func-returns-value]
    play_scene(
        "d send list 5 whole w1\nd expect index=5\nd/2 expect index=5\nd/3 expect index=5",
        platform_settings={"discovery": "ask", "siblings": 200},
    )
    assert pauses[:2] == [(0.0, watch_timing.IMMEDIATE_RETRY_S)] * 2


def test_new_process_waits_for_the_agent_before_it_uses_the_old_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Changes that the agent has count as delivered from the start of a process, and it answers at once."""
    # Long timeouts, so that the scene can hold the agent's answer back.
    monkeypatch.setattr(watch_timing, "FIRST_ANSWER_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr(watch_timing, "MIN_ANSWER_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr(watch_timing, "LATENCY_TARGET_TO_FIRST_ANSWER_RATIO", 0.001)
    play_scene(
        """
        d expect index=7&wait=1 HTTP
        a send job 1 look 4000
        r send get /-/ready
        r expect ^HTTP/1.1 503
        node wait owed 1
        node wait tries_out 0
        d send list 9 part w0=draining w1
        w1 gets 1
        d expect index=9&wait=3000
        """,
        version=7,
        platform_settings=PUSHED,
    )


def test_new_process_uses_the_old_list_if_the_agent_is_silent() -> None:
    play_scene("a send job 1\nw0 gets 1\nw0 send serve 1\na expect made", platform_settings=PUSHED)


def test_new_agent_is_called_until_it_answers_after_sighup() -> None:
    play_scene(
        """
        d send list 5 whole w0 w1
        d expect index=5&
        node reload e
        e expect GET /api/targets HTTP
        e close hard
        e/2 expect GET /api/targets HTTP
        e/3 expect GET /api/targets HTTP
        e/3 send list 1 whole w0=draining w1
        e/3 expect index=1&
        a send job 1
        w1 gets 1
        """,
        known="",
        platform_settings=PUSHED | drain_grace(0.4),
    )


# Attempts that are decided and not yet sent.


@pytest.mark.parametrize("list_change", ["w0=draining w1", "w0=gone w1"])
@pytest.mark.parametrize("class_name", ["look", "once"])
def test_attempt_on_an_opening_connection_is_not_sent_to_a_draining_worker(
    connect_gate: ConnectGate, list_change: str, class_name: str
) -> None:
    scene = Scenario(platform_settings=SLOW_TO_OPEN)
    try:
        scene.run_script(f"d send list 5 whole w0\nd expect index=5\na send job 1 {class_name} 4000")
        connect_gate.wait(scene, 1)
        connect_gate.is_closed = False
        # The job never ran, so another worker gets it.
        scene.run_script(f"d send list 6 part {list_change}\nd expect index=6\nw1 gets 1")
        connect_gate.open(scene)
        wait_until_read(scene)
        scene.run_script("w1 send serve 1\na expect made\nnode wait try.moot 1\nw0 expect end")
    finally:
        scene.close()


@pytest.mark.parametrize("close_action", ["close", "close hard"])
def test_attempt_on_an_opening_connection_is_not_sent_for_a_disconnected_client(
    connect_gate: ConnectGate, close_action: str
) -> None:
    scene = Scenario(platform_settings=SLOW_TO_OPEN)
    try:
        scene.run_script("d send list 5 whole w0\nd expect index=5\na send job 1 once 4000")
        connect_gate.wait(scene, 1)
        scene.run_script(f"a {close_action}\nnode wait answer.client_left 1")
        connect_gate.open(scene)
        wait_until_read(scene)
        scene.run_script("w0 expect end\nnode wait try.moot 1\nnode wait peer_connections 0")
    finally:
        scene.close()


def test_attempt_on_an_opening_connection_reaches_a_restarted_worker_on_a_new_one(
    connect_gate: ConnectGate,
) -> None:
    scene = Scenario(known="", platform_settings=SLOW_TO_OPEN)
    try:
        scene.run_script("d send list 5 whole w0=ready@1000\nd expect index=5\na send job 1 once 4000")
        connect_gate.wait(scene, 1)
        connect_gate.is_closed = False
        scene.run_script("d send list 6 part w0=ready@2000\nd expect index=6\nw0 expect end\nw0/2 gets 1")
        scene.run_script("w0/2 send serve 1\na expect made\nnode wait try.moot 1\nnode wait tries 2")
    finally:
        scene.close()


# Duplicate answers.


def test_duplicate_answer_without_an_id_is_not_used_for_the_next_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A worker declines the first job, and repeats that answer some milliseconds later. A non-idempotent job
    sent on the connection in between would count as never run, and would run a second time elsewhere."""
    monkeypatch.setattr(worker_connection, "QUARANTINE_S", TIMEOUT_S)
    play_scene(
        """
        d send list 5 whole w0
        d expect index=5
        a send job 1 once 4000
        w0 gets 1
        w0 send status 503 "Srv-Declined: 1"
        a expect ^HTTP/1.1 503
        b send job 2 once 4000
        w0/2 gets 2
        w0 send status 503 "Srv-Declined: 1"
        w0 expect end
        w0/2 send serve 2
        b expect made
        node wait try.ok 1
        node wait tries 2
        """,
        **{"attempts-cap": 1},
    )


def test_duplicate_hand_back_is_not_used_for_the_next_attempt_of_the_same_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Both workers hand a non-idempotent job back. If it returned to the first worker on the same connection,
    a duplicate of the first answer would report that it never ran, while it runs."""
    monkeypatch.setattr(worker_connection, "QUARANTINE_S", TIMEOUT_S)
    play_scene(
        """
        d send list 5 whole w0 w1
        d expect index=5
        a send job 1 once 4000
        p gets 1
        p send last returned 1
        p/2 gets 1
        p/2 send last returned 1
        p/3 gets 1
        p send last returned 1
        p expect end
        p/3 send serve 1
        a expect 200 OK.*made
        node wait try.ok 1
        """
    )


# Clients that disconnect.


def test_disconnect_behind_much_unread_input_is_noticed() -> None:
    """Guards against a pause in reading, which would hide the disconnect while the request waits."""
    scene = Scenario(known="")  # without a worker the request is held
    try:
        scene.run_script("d send list 5 whole\na send job 1 once 4000\nnode wait owed 1")
        try:
            scene.run_script(f"a send bytes {http.MAX_HEAD_BYTES * 4}")
        finally:
            scene.run_script("a close")
        scene.run_script("node wait answer.client_left 1\nnode wait owed 0")
    finally:
        scene.close()


@pytest.mark.parametrize("close_mode", ["fin", "half", "reset"])
def test_held_request_of_a_disconnected_client_is_never_sent(close_mode: str) -> None:
    scene = Scenario(known="")
    try:
        scene.run_script("d send list 5 whole\nd expect index=5\na send job 1 once 4000\nnode wait owed 1")
        client_socket = scene.connections["a"]
        if close_mode == "half":
            client_socket.shutdown(socket.SHUT_WR)
        else:
            scene.run_script("a close" if close_mode == "fin" else "a close hard")
        scene.run_script(
            "node wait answer.client_left 1\nnode wait owed 0\nd send list 6 part w0\nd expect index=6"
        )
        scene.run_script("b send job 2\nw0 gets 2\nnode wait tries 1")
    finally:
        scene.close()


def test_request_is_never_sent_if_its_client_left_before_it_was_read() -> None:
    """Request and disconnect are both unread while the event loop is blocked."""
    scene = Scenario()
    try:
        scene.run_script("d send list 5 whole w0\nd expect index=5\na open\nnode wait client_connections 1")
        with blocked_loop(scene):
            scene.run_script("a send job 1 once 4000\na close")
        scene.run_script("node wait left_unread 1\nb send job 2\nw0 gets 2\nnode wait tries 1")
    finally:
        scene.close()


def test_half_close_with_unread_answers_counts_as_disconnect() -> None:
    """The transport closes only once the answers are read, but the pending request does not wait for that."""
    scene = Scenario(known="")  # without a worker the request is held
    try:
        scene.run_script("d send list 5 whole\nd expect index=5\na open\nnode wait client_connections 1")
        client_socket = scene.connections["a"]
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        # Without it the requests would arrive all at once.
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        async def unwritten() -> int:
            (connection,) = scene.node.clients.connections
            assert connection.sock is not None
            # The rest of the answers stays in the transport.
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return connection.unwritten_bytes

        while asyncio.run_coroutine_threadsafe(unwritten(), scene.loop).result(TIMEOUT_S) < 200_000:
            client_socket.sendall(MESSAGES["get"]("/-/counters").encode() * 20)
        scene.run_script("a send job 1 once 4000\nnode wait owed 1")
        client_socket.shutdown(socket.SHUT_WR)
        scene.run_script("node wait answer.client_left 1\nnode wait owed 0")
    finally:
        scene.close()


def test_memory_for_a_client_that_reads_no_answers_is_bounded() -> None:
    """Its requests are answered at once, and the answers cannot leave the process."""
    scene = Scenario()
    try:
        scene.run_script("a open\nnode wait client_connections 1")
        client_socket = scene.connections["a"]
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)

        async def held() -> tuple[int, int]:
            (connection,) = scene.node.clients.connections
            return connection.unwritten_bytes, scene.node.pools.counters["rejected.413"]

        max_unwritten, rejections = 0, 0
        while not rejections:
            client_socket.sendall(MESSAGES["get"]("/-/counters").encode() * 100)
            max_unwritten, rejections = asyncio.run_coroutine_threadsafe(held(), scene.loop).result(TIMEOUT_S)
            assert max_unwritten < 16 * clients.MAX_ANSWER_BYTES, "the unread answers are not bounded"
        assert max_unwritten < 2 * clients.MAX_ANSWER_BYTES
    finally:
        scene.close()


def test_pipelined_input_is_bounded_and_rejected() -> None:
    scene = Scenario()
    try:
        scene.run_script("d send list 5 whole w0\nd expect index=5\na send job 1 look 4000\nw0 gets 1")
        for _ in range(8):
            scene.run_script(f"a send bytes {clients.MAX_PIPELINED_BYTES // 4}")
        scene.run_script(
            "node wait cut 1\nw0 send serve 1\na expect 200 OK.*made\na expect ^HTTP/1.1 4\\d\\d .*close"
        )
    finally:
        scene.close()


# Data that the kernel still holds back when a connection closes.


def test_all_connections_disable_delayed_sending() -> None:
    """A close over unread bytes resets a connection, and data that the kernel delays would be lost."""
    scene = Scenario(mgmt=True)
    try:
        scene.run_script("d send list 5 whole w0\nd expect index=5\na send job 1\nw0 gets 1\nm open")
        scene.run_script("m send raw 'STATUS'\nnode wait client_connections 1")

        async def delays() -> dict[str, bool]:
            node, (pool,) = scene.node, scene.node.pools.all_servers
            assert node.mgmt is not None and node.discovery.connection is not None
            held: dict[str, list[Connection]] = {"client": [*node.clients.connections]}
            held |= {"peer": [*pool.connections.connections], "discovery": [node.discovery.connection]}
            held |= {"call": [*node.mgmt.callers.values()]}
            return {
                kind: not sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                for kind, connections in held.items()
                for connection in connections
                if (sock := connection.sock) is not None
            }

        delayed = asyncio.run_coroutine_threadsafe(delays(), scene.loop).result(TIMEOUT_S)
        assert delayed == {"client": False, "peer": False, "discovery": False, "call": False}
    finally:
        scene.close()


def test_answer_is_not_lost_when_its_connection_closes_over_unread_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The previous answer is not acknowledged and more input is in flight, so the close is a reset."""
    scene, read = Scenario(), clients.ClientConnection.read_requests

    def read_and_end(connection: clients.ClientConnection) -> None:
        read(connection)
        connection.abort()  # any cause of a close at this moment

    try:
        scene.run_script("d send list 5 whole w0\nd expect index=5\na open\nnode wait client_connections 1")
        client_socket = scene.connections["a"]
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 0)
        monkeypatch.setattr(clients.ClientConnection, "read_requests", read_and_end)
        with blocked_loop(scene):
            # An incomplete request follows them, longer than one read.
            requests = MESSAGES["get"]("/-/healthy").encode() * 2
            client_socket.sendall(requests + job_request("1", body="x" * 60_000).encode()[:-1])
        answers = b""
        with contextlib.suppress(ConnectionResetError):
            while data := client_socket.recv(65536):
                answers += data
        assert answers.count(b"200 OK") == 2, f"a written answer is lost: {answers!r}"
    finally:
        scene.close()


# Shutdown of a process.


def test_process_does_not_end_while_a_request_is_unread() -> None:
    """The last byte of the request arrives between two turns of the loop, right before the final check."""
    scene = Scenario()
    try:
        scene.run_script(
            "d send list 5 whole w0\nd expect index=5\na send job 1 look 4000\nw0 gets 1\nw0 send serve 1"
        )
        scene.run_script("a expect made")

        async def end() -> None:
            scene.node.clients.drain()
            scene._send("a", "job 2 look 2000")  # on loopback, in the kernel's buffer before the check
            scene.node._finish_when_done()
            assert not scene.node.finished.done(), "the process ends with an unread request"

        asyncio.run_coroutine_threadsafe(end(), scene.loop).result(TIMEOUT_S)
        scene.run_script("w0 gets 2\nw0 send serve 2\na expect 200 OK.*close.*made")
    finally:
        scene.close()


SHORT = {
    "services": [service | {"hard-limit-ns": 900 * NS_PER_MS} for service in PLATFORM_SETTINGS["services"]]
}
SIGTERM = {
    "before the first list": """
        a send job 1 look 800
        node wait owed 1
        node drain
        a expect ^HTTP/1.1 503 .*Connection: close.*later
    """,
    "twice, while a worker does not answer": """
        d send list 5 whole w0
        d expect index=5
        a send job 1 once 800
        w0 gets 1
        node drain
        node drain
        a expect ^HTTP/1.1 502 .*failed
    """,
    "between a reload and the new discovery's list": """
        d send list 5 whole w0
        d expect index=5
        a send job 1 once 800
        w0 gets 1
        node reload e
        e expect GET /api/targets HTTP
        node drain
        w0 send serve 1
        a expect ^HTTP/1.1 200 .*made
    """,
    "and then a reload, with the worker's answer held back until the new list is read": """
        d send list 5 whole w0
        d expect index=5
        a send job 1 once 800
        w0 gets 1
        node drain
        node reload e
        e expect GET /api/targets HTTP
        e send list 1 whole w1
        e expect index=1
        w0 send serve 1
        a expect ^HTTP/1.1 200 .*made
    """,
    "after a part of a request": """
        d send list 5 whole w0
        d expect index=5
        a send raw "POST /once HTTP/1.1~Host: x~"
        b send job 2 once 800
        w0 gets 2
        node drain
        w0 send serve 2
        b expect ^HTTP/1.1 200 .*made
    """,
    "while a connection to a worker is opening": """
        d send list 5 whole w0
        d expect index=5
        w0 jam w0
        a send job 1 once 800
        node drain
        a expect ^HTTP/1.1 503 .*later
    """,
}


@pytest.mark.parametrize("list_mode", ["push", "ask"])
@pytest.mark.parametrize("moment", SIGTERM)
def test_sigterm_at_any_moment_answers_accepted_requests_and_ends(moment: str, list_mode: str) -> None:
    scene = Scenario(known="", platform_settings=SHORT | {"discovery": list_mode})
    try:
        began = time.monotonic()
        scene.run_script(SIGTERM[moment])
        while not scene.node.finished.done():
            assert time.monotonic() < began + 5.0, "the process does not end"
            scene.run_script("node wait taken 0")
        scene.run_script("node wait owed 0")
    finally:
        scene.close()


def test_requests_during_shutdown_get_a_whole_answer_or_a_closed_connection() -> None:
    """After SIGTERM, each client sends its next request as soon as it has an answer, until its connection
    closes."""
    scene = Scenario(known="", platform_settings=SHORT)
    try:
        scene.run_script("d send list 5 whole w0\nd expect index=5")
        scene.servers["w0"].listen(64)  # accepts connections and never answers
        answered = list[bytes]()

        def client(number: int) -> None:
            with socket.create_connection(scene.client_address, TIMEOUT_S) as sock:
                sock.settimeout(TIMEOUT_S)
                for attempt in range(1000):
                    try:
                        sock.sendall(job_request(f"c{number}-{attempt}", "once", "300").encode())
                        answer = b""
                        while not re.search(rb"\r\n\r\n.*\n$", answer, re.S):
                            data = sock.recv(65536)
                            assert data or not answer, f"an answer was cut off: {answer!r}"
                            if not data:
                                return  # the close crossed the request, which the client may retry
                            answer += data
                    except ConnectionError:
                        return
                    answered.append(answer)
                    if b"Connection: close" in answer:
                        return

        threads = [threading.Thread(target=client, args=(number,)) for number in range(12)]
        for thread in threads:
            thread.start()
        scene.run_script("node wait taken 12\nnode drain")
        for thread in threads:
            thread.join(TIMEOUT_S)
        assert len(answered) >= 12 and all(answer.startswith(b"HTTP/1.1 50") for answer in answered)
        report: Any = asyncio.run_coroutine_threadsafe(scene._report(), scene.loop).result(TIMEOUT_S)
        assert report["counters"]["taken"] == len(answered)
    finally:
        scene.close()


# Connections to workers that close after any byte.


def test_non_idempotent_job_runs_once_wherever_its_connection_closes() -> None:
    """The connection closes after each byte of the answer, with FIN and reset in turn: one attempt and one
    correct answer."""
    scene = Scenario(known="")
    try:
        scene.run_script("d send list 5 whole w0\nd expect index=5")
        response = MESSAGES["serve"]("n000")
        # From this byte on the result is known: the final event is complete.
        known = response.index('"result": "made"}\n') + len('"result": "made"}\n')
        for cut in range(0, len(response) + 1, 3):
            name = f"n{cut:03d}"
            scene.run_script(f"a send job {name} once 4000")
            worker = f"w0/{cut}"
            scene.run_script(f"{worker} gets {name}")
            sent = MESSAGES["serve"](name)[:cut].encode()
            scene.connections[worker].sendall(sent)
            scene.run_script(f"{worker} close {'hard' if cut % 2 else ''}")
            scene.run_script(
                f"a expect ^HTTP/1.1 {'200' if cut >= known and not cut % 2 else '(502|200)'} .*\\n?"
            )
            scene.unread["a"] = b""
        report: Any = asyncio.run_coroutine_threadsafe(scene._report(), scene.loop).result(TIMEOUT_S)
        counts = report["counters"]
        assert counts["tries"] == counts["taken"] == len(range(0, len(response) + 1, 3))
        assert counts["answer.failed"] + counts["answer.served"] == counts["taken"]
        assert counts["answer.served"] >= (len(response) - known) // 6
    finally:
        scene.close()


# The key by which workers recognise repeats.


def test_idempotency_key_is_forwarded() -> None:
    play_scene(
        """
        d send list 5 whole w0
        d expect index=5
        a send job 1 look 3000 ab "Idempotency-Key: 17c2c43a1ba951a8"
        w0 expect Idempotency-Key: 17c2c43a1ba951a8\\r\\n.*ab$
        b send job 2 look 3000 ab "Idempotency-Key: x" "Idempotency-Key: y"
        b expect ^HTTP/1.1 400
        """
    )
