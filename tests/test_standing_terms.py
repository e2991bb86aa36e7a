"""Guarantees of the dispatcher on real connections, each with a forced order of events."""

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
from scenario import NS_PER_MS, TIMEOUT_S, Scenario
from test_endings import blocked_loop

from wickgw.emulator.discovery import EmulatedDiscovery
from wickgw.emulator.dispatcher_processes import DispatcherProcesses
from wickgw.net import spare_socket, watch_timing

TWO_HUNDRED_DISPATCHERS: dict[str, Any] = {"discovery": "ask", "siblings": 200}
LOADING_TIME_S = 0.5  # from listening to the first accept
LATE_JOB_START_S = 0.2  # until a job starts; equals its latency target, so its worker gets no second one
TIME_SCALE = 0.3  # factor for the watch's times in scenes that wait for them
READY_TIMEOUT_S, READY_SHARE = 10.0, 0.9


@contextlib.contextmanager
def running_scene(**options: Any) -> Iterator[Scenario]:
    scene = Scenario(**options)
    try:
        yield scene
    finally:
        scene.close()


# A change counts as delivered 6 s after discovery had it and was reachable.


def scale_watch_times(monkeypatch: pytest.MonkeyPatch, scale: float) -> None:
    """Multiply all times of the watch and the delivery times of changes by the same factor."""
    for name, value in list(vars(watch_timing).items()):
        if name.endswith("_S"):
            monkeypatch.setattr(watch_timing, name, value * scale)


@pytest.mark.parametrize("failure", ["reset", "refused", "silent"])
def test_change_after_a_failed_call_applies_within_six_seconds_and_the_grace_period(
    failure: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The worst case: each pause has its longest value, the worker drains right after the failure or after
    the opening of a silent watch, and the call after a failure queues for most of its timeout."""
    monkeypatch.setattr(random, "uniform", lambda shortest, longest: longest)
    scale_watch_times(monkeypatch, TIME_SCALE)
    grace = {"rules": {"drain-grace-ns": int(2000 * TIME_SCALE) * NS_PER_MS}}
    with running_scene(known="w0 w1", version=5, platform_settings=TWO_HUNDRED_DISPATCHERS | grace) as scene:
        scene.run_script("d expect index=5&")
        began = time.monotonic()
        if failure == "reset":
            scene.run_script("d close hard")
        elif failure == "refused":
            scene.run_script("d send status 503")
        scene.run_script("d/2 expect index=5&")
        if failure != "silent":
            time.sleep(0.8 * watch_timing.WHOLE_LIST_TIMEOUT_S)
        scene.run_script("d/2 send list 6 part w0=draining\nd/2 expect index=6&")
        assert (
            time.monotonic() - began < watch_timing.CHANGE_DELIVERY_S + scene.node.config.settings.drain_grace
        )
        scene.run_script("a send job 1\nw1 gets 1")


def test_call_after_a_failure_keeps_its_place_in_the_queue(monkeypatch: pytest.MonkeyPatch) -> None:
    """A call cancelled after 2.5 s would cost an overloaded discovery the work, and queue once more."""
    monkeypatch.setattr(random, "uniform", lambda shortest, longest: shortest / 20)
    with running_scene(known="w0 w1", version=5, platform_settings=TWO_HUNDRED_DISPATCHERS) as scene:
        scene.run_script("d expect index=5&\nd close hard\nd/2 expect index=5&")
        call = scene.node.discovery.timing.watch_after_failure
        assert call.answer_timeout >= watch_timing.QUEUE_TIMEOUT_S + watch_timing.CONNECT_TIMEOUT_S
        assert call.wait < scene.node.discovery.timing.watch.wait
        scene.run_script("d/2 send list 6 part w0=draining\nd/2 expect index=6&wait=4200 HTTP")


# No attempt is sent after its client has disconnected.


def close_client(scene: Scenario, close_mode: str) -> None:
    if close_mode == "half":
        scene.connections["a"].shutdown(socket.SHUT_WR)
        return
    if close_mode == "ahead":
        scene.run_script('a send raw "POST /look HTTP/1.1~Host: x~"')
    scene.run_script("a close hard" if close_mode == "reset" else "a close")


def bytes_until(connection: socket.socket, wanted: bytes) -> bytes:
    """Read from a connection until these bytes or its end."""
    data = b""
    while wanted not in data and (piece := connection.recv(65536)):
        data += piece
    return data


@pytest.mark.parametrize("close_mode", ["fin", "half", "reset", "ahead"])
def test_retry_is_not_sent_if_the_disconnect_is_unread_behind_the_failure(close_mode: str) -> None:
    """Both workers have an idle connection, so a retry could be sent in the loop turn of the failure."""
    with running_scene() as scene:
        scene.run_script(
            "d send list 5 whole w0 w1\nd expect index=5\na send job 1\np gets 1\nb send job 2\np/2 gets 2"
        )
        scene.run_script(
            "p send serve 1\na expect made\np/2 send serve 2\nb expect made\na send job 3 look 4000"
        )
        worker_connections = {scene.connections[name]: name for name in ("p", "p/2")}
        first = worker_connections[select.select(list(worker_connections), (), (), TIMEOUT_S)[0][0]]
        other = next(sock for sock, name in worker_connections.items() if name != first)
        scene.run_script(f"{first} gets 3")
        with blocked_loop(scene):
            scene.run_script(f"{first} send last failed 3")
            close_client(scene, close_mode)
        scene.run_script("node wait answer.client_left 1\nnode wait owed 0\nb send job 4")
        assert b"Req-Id: 3" not in bytes_until(other, b"Req-Id: 4\r\n")


@pytest.mark.parametrize("close_mode", ["fin", "half", "reset", "ahead"])
def test_held_request_is_not_sent_if_the_disconnect_is_unread_when_a_worker_is_free(close_mode: str) -> None:
    """The worker's last job started late, so the next one is held until its end."""
    with running_scene() as scene:
        scene.run_script("d send list 5 whole w0\nd expect index=5\nb send job 1\nw0 gets 1\nw0 send serve 1")
        scene.run_script("b expect made\nb send job 2\nw0 gets 2")
        scene.run_script("a send job 3 once 4000\nnode wait owed 2\nnode wait tries 2")
        time.sleep(LATE_JOB_START_S)
        with blocked_loop(scene):
            scene.run_script("w0 send serve 2")
            close_client(scene, close_mode)
        scene.run_script("b expect made\nnode wait answer.client_left 1\nnode wait owed 0\nb send job 4")
        assert b"Req-Id: 3" not in bytes_until(scene.connections["w0"], b"Req-Id: 4\r\n")


# The deadline sent to a worker is at most the client's remaining time.


def test_deadline_of_a_request_from_the_backlog_counts_the_time_of_loading() -> None:
    """The request waits in the backlog from the start; the process reads it LOADING_TIME_S later."""
    with running_scene(loading_s=LOADING_TIME_S, early_job="1") as scene:
        scene.run_script("d send list 5 whole w0\nw0 expect Req-Deadline-Ms: ")
        left = int(scene.unread["w0"].split(b"\r\n")[0])
        assert left <= 3000 - 1000 * LOADING_TIME_S
        scene.run_script("w0 send serve 1\nearly expect made\nearly send job 2\nw0 expect Req-Deadline-Ms: ")
        assert int(scene.unread["w0"].split(b"\r\n")[0]) > 3000 - 1000 * LOADING_TIME_S


def test_first_request_long_after_the_start_has_its_whole_deadline() -> None:
    with running_scene(loading_s=LOADING_TIME_S) as scene:
        scene.run_script("node wait client_connections 0\na send job 1 look 300\nw0 gets 1")


def test_request_that_expired_in_the_backlog_is_refused_unsent() -> None:
    with running_scene(loading_s=LOADING_TIME_S, early_job="1", early_deadline_ms=200) as scene:
        scene.run_script("early expect HTTP/1.1 503")
        assert "tries" not in scene.node.dispatcher.counters


# The connection to discovery has a reserved descriptor.


async def refill(scene: Scenario) -> None:
    scene.node.discovery.spare_socket.refill()


def test_discovery_is_reachable_while_no_descriptor_is_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    is_out_of_descriptors = [False]
    original = spare_socket.open_socket

    def open_socket() -> socket.socket:
        if is_out_of_descriptors[0]:
            raise OSError(errno.EMFILE, "too many open files")
        return original()

    monkeypatch.setattr(spare_socket, "open_socket", open_socket)
    with running_scene(known="w0 w1", version=5) as scene:
        scene.run_script("d expect index=5&")
        for loss in (2, 3):
            is_out_of_descriptors[0] = True  # from before the loss until the list is watched again
            scene.run_script(
                f"{'d' if loss == 2 else f'd/{loss - 1}'} close hard\nd/{loss} expect index={loss + 3}&"
            )
            scene.run_script(
                f"d/{loss} send list {loss + 4} part w0=draining\nd/{loss} expect index={loss + 4}&"
            )
            is_out_of_descriptors[0] = False  # a descriptor is free for a moment and becomes the reserve
            asyncio.run_coroutine_threadsafe(refill(scene), scene.loop).result(TIMEOUT_S)
        scene.run_script("a send job 1\nw1 gets 1")


# Nine in ten restarted processes are ready within 10 s.


def test_start_is_ready_within_ten_seconds_of_the_worst_recovery_of_discovery(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One of 200 dispatchers, without a known list and with the longest pauses. Discovery recovers at the
    worst moment, right after the second failed call."""
    monkeypatch.setattr(random, "uniform", lambda shortest, longest: longest)
    with running_scene(known="", platform_settings=TWO_HUNDRED_DISPATCHERS) as scene:
        began = time.monotonic()
        scene.run_script(
            "d expect GET /api/targets HTTP\nd close hard\nd/2 expect GET /api/targets HTTP\nd/2 close hard"
        )
        scene.run_script("d/3 expect GET /api/targets HTTP\nd/3 send list 5 whole w0\nd/3 expect index=5")
        scene.run_script("r send get /-/ready\nr expect ^HTTP/1.1 200")
        assert time.monotonic() - began < READY_TIMEOUT_S


def test_nine_in_ten_processes_restarted_together_are_ready_within_ten_seconds(tmp_path: Path) -> None:
    """Seven real processes are killed and restarted at once while discovery refuses calls. Each has the list
    that it knew before."""
    emulated_discovery = EmulatedDiscovery([])
    instances = DispatcherProcesses(tmp_path, 7, address_enabled=False, discovery=emulated_discovery.endpoint)
    try:
        emulated_discovery.set_mode("refuses")
        instances.start()
        wait_until_ready(instances)
        for name in instances.names:
            instances.signal(name, signal.SIGKILL)
            instances.processes[name].wait()
        began = time.monotonic()
        instances.start()
        late = [ready - began > READY_TIMEOUT_S for ready in wait_until_ready(instances)]
        assert sum(late) <= (1 - READY_SHARE) * len(late)
    finally:
        instances.close()
        emulated_discovery.close()


def wait_until_ready(instances: DispatcherProcesses) -> list[float]:
    """Return when each instance was ready, in seconds of the monotonic clock."""
    ready, deadline = dict[str, float](), time.monotonic() + 3 * READY_TIMEOUT_S
    while len(ready) < len(instances.names):
        assert time.monotonic() < deadline, f"ready: {sorted(ready)}"
        for name in set(instances.names) - set(ready):
            with (
                contextlib.suppress(OSError),
                socket.create_connection(instances.listen_addresses[name], 1.0) as sock,
            ):
                sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                if sock.recv(64).startswith(b"HTTP/1.1 200"):
                    ready[name] = time.monotonic()
    return list(ready.values())
