"""Terms of the standing test that go before older ones, each on real connections with its order forced."""

import asyncio
import contextlib
import errno
import random
import select
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from scenario import MS, PATIENCE, Scene
from test_endings import standing_still

from wickgw.emulator.group import Instances
from wickgw.emulator.roster import Roster
from wickgw.net import spare_socket, watch_timing

TWO_HUNDRED: dict[str, Any] = {"discovery": "ask", "siblings": 200}
LOADING_S = 0.5  # from listening to the first look at the queue
LATE_START_S = 0.2  # until a job begins, where the aim is 0.2 s: its worker takes no second one
SCALE = 0.3  # of the watch's times in scenes that wait them out
READY_WITHIN_S, NINE_IN_TEN = 10.0, 0.9


@contextlib.contextmanager
def scene_of(**options: Any) -> Iterator[Scene]:
    scene = Scene(**options)
    try:
        yield scene
    finally:
        scene.close()


# A change counts as told 6 s after discovery had it and could be reached.


def shorten(monkeypatch: pytest.MonkeyPatch, scale: float) -> None:
    """All times of the watch, and the moments in which a change counts as told, in the same proportion."""
    for name, value in list(vars(watch_timing).items()):
        if name.endswith("_S"):
            monkeypatch.setattr(watch_timing, name, value * scale)


@pytest.mark.parametrize("failure", ["reset", "refused", "silent"])
def test_change_right_after_a_failed_call_is_acted_on_within_six_seconds_and_the_grace(
    failure: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The longest pause is drawn each time; discovery knows of the drain the moment after the failure, or
    after a watch opened that stays silent; and a call after a failure queues for most of what it may."""
    monkeypatch.setattr(random, "uniform", lambda shortest, longest: longest)
    shorten(monkeypatch, SCALE)
    grace = {"rules": {"drain-grace-ns": int(2000 * SCALE) * MS}}
    with scene_of(known="w0 w1", version=5, facts=TWO_HUNDRED | grace) as scene:
        scene.play("d expect index=5&")
        began = time.monotonic()
        if failure == "reset":
            scene.play("d close hard")
        elif failure == "refused":
            scene.play("d send status 503")
        scene.play("d/2 expect index=5&")
        if failure != "silent":
            time.sleep(0.8 * watch_timing.WHOLE_LIST_TIMEOUT_S)
        scene.play("d/2 send list 6 part w0=draining\nd/2 expect index=6&")
        assert time.monotonic() - began < watch_timing.TOLD_AFTER_S + scene.node.config.settings.drain_grace
        scene.play("a send job 1\nw1 gets 1")


def test_call_that_queues_after_a_failure_keeps_its_place(monkeypatch: pytest.MonkeyPatch) -> None:
    """Given up after 2.5 s it would cost an overloaded discovery its work, and be queued once more."""
    monkeypatch.setattr(random, "uniform", lambda shortest, longest: shortest / 20)
    with scene_of(known="w0 w1", version=5, facts=TWO_HUNDRED) as scene:
        scene.play("d expect index=5&\nd close hard\nd/2 expect index=5&")
        call = scene.node.discovery.timing.watch_after_failure
        assert call.silence >= watch_timing.QUEUE_TIMEOUT_S + watch_timing.CONNECT_TIMEOUT_S
        assert call.wait < scene.node.discovery.timing.watch.wait
        scene.play("d/2 send list 6 part w0=draining\nd/2 expect index=6&wait=4200 HTTP")


# No attempt begins after its client has closed.


def leave(scene: Scene, how: str) -> None:
    if how == "half":
        scene.connections["a"].shutdown(socket.SHUT_WR)
        return
    if how == "ahead":
        scene.play('a send raw "POST /look HTTP/1.1~Host: x~"')
    scene.play("a close hard" if how == "reset" else "a close")


def bytes_until(connection: socket.socket, wanted: bytes) -> bytes:
    """What comes on a connection up to these bytes, or to its end."""
    data = b""
    while wanted not in data and (piece := connection.recv(65536)):
        data += piece
    return data


@pytest.mark.parametrize("how", ["fin", "half", "reset", "ahead"])
def test_retry_is_not_written_for_a_client_whose_end_waits_behind_the_failure(how: str) -> None:
    """Both workers have an idle connection, so that a retry would be written in the turn of the failure."""
    with scene_of() as scene:
        scene.play(
            "d send list 5 whole w0 w1\nd expect index=5\na send job 1\np gets 1\nb send job 2\np/2 gets 2"
        )
        scene.play("p send serve 1\na expect made\np/2 send serve 2\nb expect made\na send job 3 look 4000")
        both = {scene.connections[name]: name for name in ("p", "p/2")}
        first = both[select.select(list(both), (), (), PATIENCE)[0][0]]
        other = next(sock for sock, name in both.items() if name != first)
        scene.play(f"{first} gets 3")
        with standing_still(scene):
            scene.play(f"{first} send last failed 3")
            leave(scene, how)
        scene.play("node wait answer.client_left 1\nnode wait owed 0\nb send job 4")
        assert b"Req-Id: 3" not in bytes_until(other, b"Req-Id: 4\r\n")


@pytest.mark.parametrize("how", ["fin", "half", "reset", "ahead"])
def test_held_request_is_not_written_for_a_client_whose_end_waits_behind_the_room(how: str) -> None:
    """The worker's last job began late, so that the next one is held until that one has ended."""
    with scene_of() as scene:
        scene.play("d send list 5 whole w0\nd expect index=5\nb send job 1\nw0 gets 1\nw0 send serve 1")
        scene.play("b expect made\nb send job 2\nw0 gets 2")
        scene.play("a send job 3 once 4000\nnode wait owed 2\nnode wait tries 2")
        time.sleep(LATE_START_S)
        with standing_still(scene):
            scene.play("w0 send serve 2")
            leave(scene, how)
        scene.play("b expect made\nnode wait answer.client_left 1\nnode wait owed 0\nb send job 4")
        assert b"Req-Id: 3" not in bytes_until(scene.connections["w0"], b"Req-Id: 4\r\n")


# The time that an attempt tells its worker is at most what is left to the client.


def test_request_that_waited_while_the_process_loaded_tells_its_worker_no_more_than_is_left() -> None:
    """It lies in the listener's queue from the first moment; the process reads it LOADING_S later."""
    with scene_of(loading=LOADING_S, early="1") as scene:
        scene.play("d send list 5 whole w0\nw0 expect Req-Deadline-Ms: ")
        left = int(scene.unread["w0"].split(b"\r\n")[0])
        assert left <= 3000 - 1000 * LOADING_S
        scene.play("w0 send serve 1\nearly expect made\nearly send job 2\nw0 expect Req-Deadline-Ms: ")
        assert int(scene.unread["w0"].split(b"\r\n")[0]) > 3000 - 1000 * LOADING_S


def test_first_client_that_calls_long_after_the_start_has_all_its_time() -> None:
    with scene_of(loading=LOADING_S) as scene:
        scene.play("node wait client_connections 0\na send job 1 look 300\nw0 gets 1")


def test_request_whose_time_was_over_before_it_was_read_is_refused_unsent() -> None:
    with scene_of(loading=LOADING_S, early="1", patience_ms=200) as scene:
        scene.play("early expect HTTP/1.1 503")
        assert "tries" not in scene.node.dispatcher.counters


# The list's connection has a descriptor of its own.


async def refill(scene: Scene) -> None:
    scene.node.discovery.spare_socket.refill()


def test_discovery_is_reached_while_clients_and_workers_hold_every_descriptor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    full = [False]
    real = spare_socket.open_socket

    def open_socket() -> socket.socket:
        if full[0]:
            raise OSError(errno.EMFILE, "too many open files")
        return real()

    monkeypatch.setattr(spare_socket, "open_socket", open_socket)
    with scene_of(known="w0 w1", version=5) as scene:
        scene.play("d expect index=5&")
        for loss in (2, 3):
            full[0] = True  # from before the loss until the list is there again
            scene.play(
                f"{'d' if loss == 2 else f'd/{loss - 1}'} close hard\nd/{loss} expect index={loss + 3}&"
            )
            scene.play(f"d/{loss} send list {loss + 4} part w0=draining\nd/{loss} expect index={loss + 4}&")
            full[0] = False  # one is free for a moment: it goes into reserve with the next connection
            asyncio.run_coroutine_threadsafe(refill(scene), scene.loop).result(PATIENCE)
        scene.play("a send job 1\nw1 gets 1")


# Nine in ten restarted processes are ready within 10 s.


def test_start_is_ready_within_ten_seconds_whenever_discovery_comes_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One of 200, without a known list, and with the longest pauses: discovery answers again at the moment
    that is worst for it, just after a call has failed for the second time."""
    monkeypatch.setattr(random, "uniform", lambda shortest, longest: longest)
    with scene_of(known="", facts=TWO_HUNDRED) as scene:
        began = time.monotonic()
        scene.play(
            "d expect GET /api/targets HTTP\nd close hard\nd/2 expect GET /api/targets HTTP\nd/2 close hard"
        )
        scene.play("d/3 expect GET /api/targets HTTP\nd/3 send list 5 whole w0\nd/3 expect index=5")
        scene.play("r send get /-/ready\nr expect ^HTTP/1.1 200")
        assert time.monotonic() - began < READY_WITHIN_S


def test_nine_in_ten_processes_restarted_together_are_ready_within_ten_seconds(tmp_path: Path) -> None:
    """Seven real processes, killed and started at once, while discovery refuses; each has the list that it
    knew before."""
    roster = Roster([])
    instances = Instances(tmp_path, 7, on=False, discovery=roster.endpoint)
    try:
        roster.turn("refuses")
        instances.start()
        wait_until_ready(instances)
        for name in instances.names:
            instances.signal(name, signal.SIGKILL)
            instances.processes[name].wait()
        began = time.monotonic()
        instances.start()
        late = [ready - began > READY_WITHIN_S for ready in wait_until_ready(instances)]
        assert sum(late) <= (1 - NINE_IN_TEN) * len(late)
    finally:
        instances.close()
        roster.close()


def wait_until_ready(instances: Instances) -> list[float]:
    """When each was ready, on the monotonic clock."""
    ready, deadline = dict[str, float](), time.monotonic() + 3 * READY_WITHIN_S
    while len(ready) < len(instances.names):
        assert time.monotonic() < deadline, f"ready: {sorted(ready)}"
        for name in set(instances.names) - set(ready):
            with contextlib.suppress(OSError), socket.create_connection(instances.own[name], 1.0) as sock:
                sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                if sock.recv(64).startswith(b"HTTP/1.1 200"):
                    ready[name] = time.monotonic()
    return list(ready.values())
