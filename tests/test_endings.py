"""Moments in which something ends while something is still owed: docs/design/endings.md lists them.

Each scene forces the bad order every time: replies are held back, connections are kept from opening, and the
waits that the settings lead to are made short; nothing sleeps for an order's sake."""

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
from scenario import FACTS, MESSAGES, MS, PATIENCE, Scene, job

from wickgw.facts import read_settings
from wickgw.net import clients, discovery, http, watch_timing, worker_connection
from wickgw.net.sockets import Connection
from wickgw.net.watch_timing import WatchTiming
from wickgw.net.worker_connection import WorkerConnection

PUSHED: dict[str, Any] = {"discovery": "push", "siblings": 200}
SLOW_TO_OPEN: dict[str, Any] = {"bounds": FACTS["bounds"] | {"connect-timeout-ns": 10_000 * MS}}


def played(text: str, **more: Any) -> None:
    scene = Scene(**more)
    try:
        scene.play(text)
    finally:
        scene.close()


def grace(seconds: float) -> dict[str, Any]:
    return {"rules": {"drain-grace-ns": int(seconds * 1000 * MS)}}


class Gate:
    """Connections to workers stay in their opening until it is opened: the step between a connection that is
    up and the first byte written on it is held."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.held: list[WorkerConnection] = []
        self.shut, real = True, WorkerConnection._connected

        def connected(connection: WorkerConnection) -> None:
            if self.shut:
                assert connection.sock is not None
                connection.pool.loop.remove_writer(connection.sock.fileno())
                self.held.append(connection)
            else:
                real(connection)

        self.real: Callable[[WorkerConnection], None] = real
        monkeypatch.setattr(WorkerConnection, "_connected", connected)

    def wait(self, scene: Scene, count: int) -> None:
        end = time.monotonic() + PATIENCE
        while len(self.held) < count:
            assert time.monotonic() < end, "no connection is opening"
            scene.play("node wait taken 0")

    def open(self, scene: Scene) -> None:
        self.shut = False

        async def go() -> None:
            for connection in self.held:
                if connection.sock is not None:
                    self.real(connection)

        asyncio.run_coroutine_threadsafe(go(), scene.loop).result(PATIENCE)


@pytest.fixture
def gate(monkeypatch: pytest.MonkeyPatch) -> Iterator[Gate]:
    yield Gate(monkeypatch)


def settle(scene: Scene) -> None:
    """All that was written before has been read: the dispatcher has answered a call that came later."""
    scene.play("z send get /-/healthy\nz expect ok")


@contextlib.contextmanager
def standing_still(scene: Scene) -> Iterator[None]:
    """The dispatcher is at something else meanwhile: what comes lies unread, however much it is."""
    busy, go = threading.Event(), threading.Event()

    def stand_still() -> None:
        busy.set()
        go.wait(PATIENCE)

    scene.loop.call_soon_threadsafe(stand_still)
    assert busy.wait(PATIENCE)
    try:
        yield
    finally:
        go.set()


# The list: news counts as told whether or not it arrived.


@pytest.mark.parametrize("wanted", [0.2, 0.7, 2.0, 3.5, 8.0])
@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("siblings", [1, 3, 200, 2000])
def test_what_a_silent_watch_missed_is_fetched_within_the_grace(
    wanted: float, mode: str, siblings: int
) -> None:
    """The sums, for any settings: from a call to its giving up, the pause, the call that brings the news."""
    timing = WatchTiming(read_settings(FACTS | {"discovery": mode, "siblings": siblings} | grace(wanted)))
    deadline = watch_timing.TOLD_AFTER_S + wanted  # silent from the moment of the call, and given up
    given_up = sum(timing.watch)
    pauses = [timing.pause(failures, False).longest for failures in range(1, 40)]
    if mode == "push":
        # It is silent a second time: the call after it, which does not wait, is given up as well.
        again = given_up + timing.pause(1, True).longest + sum(timing.watch_after_failure)
        assert again + timing.pause(2, True).longest + watch_timing.MIN_ANSWER_S < deadline
        # What the agent has counts at once, open watch or not: a reset one is opened anew within the grace.
        assert pauses[0] < 0.1 and max(pauses) <= max(0.125, wanted / 8)
    else:
        retry = watch_timing.IMMEDIATE_RETRY_S
        assert given_up + timing.pause(1, True).longest + watch_timing.FETCH_S <= deadline + 1e-9
        assert max(pauses) + timing.whole_list <= deadline + 1e-9  # a refused call, and the next one queues
        assert sum(timing.watch_after_failure) + retry + watch_timing.FETCH_S <= deadline + 1e-9
        assert timing.watch_after_failure.silence >= timing.whole_list  # its place in the queue is kept


def test_reset_watch_is_opened_anew_at_once_where_lists_are_pushed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of 200 dispatchers each paused 3 to 7 s, and sent to workers that drained since for as long."""
    pauses = list[tuple[float, float]]()
    monkeypatch.setattr(random, "uniform", lambda a, b: pauses.append((a, b)) or b)  # type: ignore[func-returns-value]
    scene = Scene(known="", facts=PUSHED)
    try:
        scene.play("d send list 5 whole w0 w1\nd expect index=5&\nd close hard")
        scene.play("d/2 expect index=5&\nd/2 send list 6 part w0=draining\nd/2 expect index=6&")
        scene.play("a send job 1\nw1 gets 1")
        assert pauses[0] == (0.025, 0.05)
    finally:
        scene.close()


def test_watch_that_is_silent_twice_or_stops_half_way_is_opened_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_timing, "WATCH_WAIT_S", 0.05)
    played(
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
        facts=PUSHED | grace(0.4),
    )


def test_agent_whose_connection_never_comes_up_is_tried_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first attempt after the loss is kept from coming up; the agent's queue takes the next one."""
    scene, real, calls = Scene(known="", facts=PUSHED | grace(0.4)), discovery.Discovery._writable, [0]

    def writable(self: discovery.Discovery) -> None:
        calls[0] += 1
        if calls[0] > 1:
            real(self)
        elif self.opening is not None:
            self.loop.remove_writer(self.opening.fileno())

    try:
        scene.play("d send list 5 whole w0 w1\nd expect index=5&")
        monkeypatch.setattr(discovery.Discovery, "_writable", writable)
        scene.play("d close hard\nd/2 expect end\nd/3 expect index=5&")
    finally:
        scene.close()


def test_asked_watch_that_is_silent_again_is_not_paused_as_after_a_refusal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watch_timing, "WATCH_WAIT_S", 0.05)
    monkeypatch.setattr(watch_timing, "QUEUE_TIMEOUT_S", 0.1)
    pauses = list[tuple[float, float]]()
    monkeypatch.setattr(random, "uniform", lambda a, b: pauses.append((a, b)) or a)  # type: ignore[func-returns-value]
    played(
        "d send list 5 whole w1\nd expect index=5\nd/2 expect index=5\nd/3 expect index=5",
        facts={"discovery": "ask", "siblings": 200},
    )
    assert pauses[:2] == [(0.0, watch_timing.IMMEDIATE_RETRY_S)] * 2


def test_new_process_sends_nothing_by_the_old_list_before_the_agent_has_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What the agent has counts as told from the first moment of a process, and it answers at once."""
    # The agent's answer is held back for as long as the scene likes.
    monkeypatch.setattr(watch_timing, "FIRST_ANSWER_S", PATIENCE)
    monkeypatch.setattr(watch_timing, "MIN_ANSWER_S", PATIENCE)
    monkeypatch.setattr(watch_timing, "AIM_PER_FIRST_ANSWER", 0.001)
    played(
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
        facts=PUSHED,
    )


def test_new_process_serves_by_the_old_list_if_the_agent_is_silent() -> None:
    played("a send job 1\nw0 gets 1\nw0 send serve 1\na expect made", facts=PUSHED)


def test_after_sighup_the_new_agent_is_asked_until_it_answers() -> None:
    played(
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
        facts=PUSHED | grace(0.4),
    )


# Tries that are decided and not yet written.


@pytest.mark.parametrize("news", ["w0=draining w1", "w0=gone w1"])
@pytest.mark.parametrize("cls", ["look", "once"])
def test_try_whose_connection_still_opens_is_not_written_to_a_worker_that_drains(
    gate: Gate, news: str, cls: str
) -> None:
    scene = Scene(facts=SLOW_TO_OPEN)
    try:
        scene.play(f"d send list 5 whole w0\nd expect index=5\na send job 1 {cls} 4000")
        gate.wait(scene, 1)
        gate.shut = False
        scene.play(
            f"d send list 6 part {news}\nd expect index=6\nw1 gets 1"
        )  # it never ran: it goes elsewhere
        gate.open(scene)
        settle(scene)
        scene.play("w1 send serve 1\na expect made\nnode wait try.moot 1\nw0 expect end")
    finally:
        scene.close()


@pytest.mark.parametrize("leave", ["close", "close hard"])
def test_try_whose_connection_still_opens_is_not_written_for_a_client_that_left(
    gate: Gate, leave: str
) -> None:
    scene = Scene(facts=SLOW_TO_OPEN)
    try:
        scene.play("d send list 5 whole w0\nd expect index=5\na send job 1 once 4000")
        gate.wait(scene, 1)
        scene.play(f"a {leave}\nnode wait answer.client_left 1")
        gate.open(scene)
        settle(scene)
        scene.play("w0 expect end\nnode wait try.moot 1\nnode wait peer_connections 0")
    finally:
        scene.close()


def test_try_whose_connection_still_opens_goes_to_the_worker_that_started_anew_by_a_new_one(
    gate: Gate,
) -> None:
    scene = Scene(known="", facts=SLOW_TO_OPEN)
    try:
        scene.play("d send list 5 whole w0=ready@1000\nd expect index=5\na send job 1 once 4000")
        gate.wait(scene, 1)
        gate.shut = False
        scene.play("d send list 6 part w0=ready@2000\nd expect index=6\nw0 expect end\nw0/2 gets 1")
        scene.play("w0/2 send serve 1\na expect made\nnode wait try.moot 1\nnode wait tries 2")
    finally:
        scene.close()


# Answers that come twice.


def test_second_answer_without_an_id_is_not_taken_for_the_next_tries(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first job is turned away, and some milliseconds later once more. A never-twice job that is written
    on that connection in between would count as never run and go elsewhere, while it runs."""
    monkeypatch.setattr(worker_connection, "REST_S", PATIENCE)
    played(
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


def test_second_answer_that_hands_a_job_back_is_not_taken_for_the_next_try_of_the_same_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Both workers hand a never-twice job back; tried at the first again by the same connection, its first
    line come twice would say that it never ran while it runs."""
    monkeypatch.setattr(worker_connection, "REST_S", PATIENCE)
    played(
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


# Clients that have left.


def test_client_that_leaves_behind_much_that_it_sent_is_seen_to_leave() -> None:
    """Its end lay behind bytes that were not read any more, for as long as its request waited."""
    scene = Scene(known="")  # no worker: the request is held
    try:
        scene.play("d send list 5 whole\na send job 1 once 4000\nnode wait owed 1")
        try:
            scene.play(f"a send bytes {http.MAX_HEAD * 4}")
        finally:
            scene.play("a close")
        scene.play("node wait answer.client_left 1\nnode wait owed 0")
    finally:
        scene.close()


@pytest.mark.parametrize("how", ["fin", "half", "reset"])
def test_request_held_while_its_client_leaves_is_never_sent(how: str) -> None:
    scene = Scene(known="")
    try:
        scene.play("d send list 5 whole\nd expect index=5\na send job 1 once 4000\nnode wait owed 1")
        a = scene.connections["a"]
        if how == "half":
            a.shutdown(socket.SHUT_WR)
        else:
            scene.play("a close" if how == "fin" else "a close hard")
        scene.play(
            "node wait answer.client_left 1\nnode wait owed 0\nd send list 6 part w0\nd expect index=6"
        )
        scene.play("b send job 2\nw0 gets 2\nnode wait tries 1")
    finally:
        scene.close()


def test_request_whose_client_left_before_it_was_read_is_never_sent() -> None:
    """It waits, with its end behind it, while the process is at something else."""
    scene = Scene()
    try:
        scene.play("d send list 5 whole w0\nd expect index=5\na open\nnode wait client_connections 1")
        with standing_still(scene):
            scene.play("a send job 1 once 4000\na close")
        scene.play("node wait left_unread 1\nb send job 2\nw0 gets 2\nnode wait tries 1")
    finally:
        scene.close()


def test_client_that_ends_its_side_with_answers_unread_has_left_all_the_same() -> None:
    """A connection whose answers are not read closes only once they are, and its request waits no longer."""
    scene = Scene(known="")  # no worker: the request is held
    try:
        scene.play("d send list 5 whole\nd expect index=5\na open\nnode wait client_connections 1")
        a = scene.connections["a"]
        a.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        a.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # held back, they would come all at once

        async def unwritten() -> int:
            (connection,) = scene.node.clients.connections
            assert connection.sock is not None
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)  # the rest waits here
            return connection.unwritten

        while asyncio.run_coroutine_threadsafe(unwritten(), scene.loop).result(PATIENCE) < 200_000:
            a.sendall(MESSAGES["get"]("/-/counters").encode() * 20)
        scene.play("a send job 1 once 4000\nnode wait owed 1")
        a.shutdown(socket.SHUT_WR)
        scene.play("node wait answer.client_left 1\nnode wait owed 0")
    finally:
        scene.close()


def test_client_that_asks_on_and_reads_no_answer_is_bounded() -> None:
    """What it asks for is answered on the spot, and nothing of it leaves the process any more."""
    scene = Scene()
    try:
        scene.play("a open\nnode wait client_connections 1")
        a = scene.connections["a"]
        a.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)

        async def held() -> tuple[int, int]:
            (connection,) = scene.node.clients.connections
            return connection.unwritten, scene.node.pools.counters["rejected.413"]

        most, told = 0, 0
        while not told:
            a.sendall(MESSAGES["get"]("/-/counters").encode() * 100)
            most, told = asyncio.run_coroutine_threadsafe(held(), scene.loop).result(PATIENCE)
            assert most < 16 * clients.WHOLE_ANSWER, "its answers fill the memory"
        assert most < 2 * clients.WHOLE_ANSWER
    finally:
        scene.close()


def test_client_that_sends_without_end_ahead_of_its_answer_is_bounded_and_told() -> None:
    scene = Scene()
    try:
        scene.play("d send list 5 whole w0\nd expect index=5\na send job 1 look 4000\nw0 gets 1")
        for _ in range(8):
            scene.play(f"a send bytes {clients.AHEAD // 4}")
        scene.play(
            "node wait cut 1\nw0 send serve 1\na expect 200 OK.*made\na expect ^HTTP/1.1 4\\d\\d .*close"
        )
    finally:
        scene.close()


# What the system still holds back when a connection ends.


def test_nothing_written_is_held_back_on_any_connection() -> None:
    """A close over unread bytes resets a connection, and what the system waits with goes with it."""
    scene = Scene(mgmt=True)
    try:
        scene.play("d send list 5 whole w0\nd expect index=5\na send job 1\nw0 gets 1\nm open")
        scene.play("m send raw 'STATUS'\nnode wait client_connections 1")

        async def delays() -> dict[str, bool]:
            node, (pool,) = scene.node, scene.node.pools.all
            assert node.mgmt is not None and node.discovery.connection is not None
            held: dict[str, list[Connection]] = {"client": [*node.clients.connections]}
            held |= {"peer": [*pool.connections.connections], "discovery": [node.discovery.connection]}
            held |= {"call": [*node.mgmt.callers.values()]}
            return {
                kind: not sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                for kind, connections in held.items()
                for c in connections
                if (sock := c.sock) is not None
            }

        delayed = asyncio.run_coroutine_threadsafe(delays(), scene.loop).result(PATIENCE)
        assert delayed == {"client": False, "peer": False, "discovery": False, "call": False}
    finally:
        scene.close()


def test_answer_is_not_lost_when_its_connection_ends_over_unread_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The answer before it is not acknowledged yet, and the client has more on its way: a close resets."""
    scene, read = Scene(), clients.ClientConnection._read

    def read_and_end(connection: clients.ClientConnection) -> None:
        read(connection)
        connection.abort()  # whatever ends it just then

    try:
        scene.play("d send list 5 whole w0\nd expect index=5\na open\nnode wait client_connections 1")
        a = scene.connections["a"]
        a.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 0)
        monkeypatch.setattr(clients.ClientConnection, "_read", read_and_end)
        with standing_still(scene):
            # A request behind them that is not whole, and longer than one read.
            whole = MESSAGES["get"]("/-/healthy").encode() * 2
            a.sendall(whole + job("1", body="x" * 60_000).encode()[:-1])
        answers = b""
        with contextlib.suppress(ConnectionResetError):
            while data := a.recv(65536):
                answers += data
        assert answers.count(b"200 OK") == 2, f"an answer that was written is lost: {answers!r}"
    finally:
        scene.close()


# The end of a process.


def test_process_does_not_end_while_a_request_lies_unread() -> None:
    """Its last byte came between two turns of the loop, the last of which looked whether all is answered."""
    scene = Scene()
    try:
        scene.play(
            "d send list 5 whole w0\nd expect index=5\na send job 1 look 4000\nw0 gets 1\nw0 send serve 1"
        )
        scene.play("a expect made")

        async def end() -> None:
            scene.node.clients.drain()
            scene._send("a", "job 2 look 2000")  # in the kernel's buffer before the node looks, on loopback
            scene.node._quiet()
            assert not scene.node.finished.done(), "it ends, and a request lies unread"

        asyncio.run_coroutine_threadsafe(end(), scene.loop).result(PATIENCE)
        scene.play("w0 gets 2\nw0 send serve 2\na expect 200 OK.*close.*made")
    finally:
        scene.close()


SHORT = {"services": [s | {"hard-limit-ns": 900 * MS} for s in FACTS["services"]]}
SIGTERM = {
    "before the first list": """
        a send job 1 look 800
        node wait owed 1
        node drain
        a expect ^HTTP/1.1 503 .*Connection: close.*later
    """,
    "twice, while a worker hangs": """
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
    "and then a reload, the worker's answer held back until the new list is in": """
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
    "with half a request in": """
        d send list 5 whole w0
        d expect index=5
        a send raw "POST /once HTTP/1.1~Host: x~"
        b send job 2 once 800
        w0 gets 2
        node drain
        w0 send serve 2
        b expect ^HTTP/1.1 200 .*made
    """,
    "while its connection to a worker opens": """
        d send list 5 whole w0
        d expect index=5
        w0 jam w0
        a send job 1 once 800
        node drain
        a expect ^HTTP/1.1 503 .*later
    """,
}


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("moment", SIGTERM)
def test_sigterm_at_any_moment_answers_what_was_read_and_ends(moment: str, mode: str) -> None:
    scene = Scene(known="", facts=SHORT | {"discovery": mode})
    try:
        began = time.monotonic()
        scene.play(SIGTERM[moment])
        while not scene.node.finished.done():
            assert time.monotonic() < began + 5.0, "it does not end"
            scene.play("node wait taken 0")
        scene.play("node wait owed 0")
    finally:
        scene.close()


def test_each_request_sent_up_to_the_end_is_answered_whole_or_meets_a_closed_connection() -> None:
    """After SIGTERM clients send on every connection that stays open, each as soon as it has its answer."""
    scene = Scene(known="", facts=SHORT)
    try:
        scene.play("d send list 5 whole w0\nd expect index=5")
        scene.servers["w0"].listen(64)  # connections come up, and nobody there ever answers
        answered = list[bytes]()

        def client(n: int) -> None:
            with socket.create_connection(scene.where, PATIENCE) as sock:
                sock.settimeout(PATIENCE)
                for k in range(1000):
                    try:
                        sock.sendall(job(f"c{n}-{k}", "once", "300").encode())
                        answer = b""
                        while not re.search(rb"\r\n\r\n.*\n$", answer, re.S):
                            data = sock.recv(65536)
                            assert data or not answer, f"an answer was cut off: {answer!r}"
                            if not data:
                                return  # the closing crossed the request: it is sent again elsewhere
                            answer += data
                    except ConnectionError:
                        return
                    answered.append(answer)
                    if b"Connection: close" in answer:
                        return

        threads = [threading.Thread(target=client, args=(n,)) for n in range(12)]
        for thread in threads:
            thread.start()
        scene.play("node wait taken 12\nnode drain")
        for thread in threads:
            thread.join(PATIENCE)
        assert len(answered) >= 12 and all(a.startswith(b"HTTP/1.1 50") for a in answered)
        report: Any = asyncio.run_coroutine_threadsafe(scene._report(), scene.loop).result(PATIENCE)
        assert report["counters"]["taken"] == len(answered)
    finally:
        scene.close()


# Connections to workers that end at any byte.


def test_never_twice_job_runs_once_at_whatever_byte_its_workers_connection_ends() -> None:
    """Cut after each byte of the answer, gently and hard in turn: one try, one answer, and the right one."""
    scene = Scene(known="")
    try:
        scene.play("d send list 5 whole w0\nd expect index=5")
        whole = MESSAGES["serve"]("n000")
        known = whole.index('"result": "made"}\n') + len('"result": "made"}\n')  # the last line is in
        for cut in range(0, len(whole) + 1, 3):
            name = f"n{cut:03d}"
            scene.play(f"a send job {name} once 4000")
            worker = f"w0/{cut}"
            scene.play(f"{worker} gets {name}")
            sent = MESSAGES["serve"](name)[:cut].encode()
            scene.connections[worker].sendall(sent)
            scene.play(f"{worker} close {'hard' if cut % 2 else ''}")
            scene.play(f"a expect ^HTTP/1.1 {'200' if cut >= known and not cut % 2 else '(502|200)'} .*\\n?")
            scene.unread["a"] = b""
        report: Any = asyncio.run_coroutine_threadsafe(scene._report(), scene.loop).result(PATIENCE)
        counts = report["counters"]
        assert counts["tries"] == counts["taken"] == len(range(0, len(whole) + 1, 3))
        assert counts["answer.failed"] + counts["answer.served"] == counts["taken"]
        assert counts["answer.served"] >= (len(whole) - known) // 6
    finally:
        scene.close()


# What a worker needs to know a repeat by.


def test_key_of_a_request_whose_repeats_workers_drop_is_passed_on() -> None:
    played(
        """
        d send list 5 whole w0
        d expect index=5
        a send job 1 look 3000 ab "Idempotency-Key: 17c2c43a1ba951a8"
        w0 expect Idempotency-Key: 17c2c43a1ba951a8\\r\\n.*ab$
        b send job 2 look 3000 ab "Idempotency-Key: x" "Idempotency-Key: y"
        b expect ^HTTP/1.1 400
        """
    )
