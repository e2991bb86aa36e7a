"""The dispatcher on real sockets, as scenes in the scripting language of scenario.py."""

import asyncio
import errno
import random
import socket
import time
from types import SimpleNamespace
from typing import Any

import pytest
from scenario import Scenario

from wickgw.net import clients, discovery, watch_timing
from wickgw.net.attempt import Job
from wickgw.net.dispatch import Answer, AnswerKind, PendingRequest
from wickgw.net.sockets import BASE_MEMORY_MB, RESERVED_DESCRIPTORS, Connection, Sockets
from wickgw.net.worker_list import LISTED_WORKER_BYTES

SCENES: dict[str, str] = {
    # Requests that succeed.
    "the worker's result is the answer, and the request is forwarded unchanged": """
        a send job 7 once 3000 "a body"
        w0 expect ^POST /once\\?x=1 HTTP/1.1\\r\\n
        w0 expect Req-Id: 7\\r\\n
        w0 expect Req-Deadline-Ms: 2\\d\\d\\d\\r\\n.*\\r\\n\\r\\na body$
        w0 send take
        w0 send event started 7
        w0 send event running 7
        w0 send done 7 "a label"
        a expect ^HTTP/1.1 200 .*\\r\\n\\r\\na label$
        node wait try.ok 1
        node wait owed 0
    """,
    "connections to workers and clients are reused": """
        a send job 1
        w0 gets 1
        w0 send serve 1
        a expect 200 OK.*made
        a send job 2
        w0 gets 2
        w0 send serve 2
        a expect 200 OK.*made
        node wait peer_connections_opened 1
    """,
    "pipelined requests are answered in order": """
        a send raw "GET /-/ready HTTP/1.1~Host: x~~GET /-/healthy HTTP/1.1~Host: x~~"
        a expect 200 OK.*ok\\n.*200 OK.*ok\\n
    """,
    "a request that arrives in pieces is reassembled": """
        a send raw "POST /once HTTP/1.1~Host: x~Req-Id: 5~Req-Dead"
        a send raw "line-Ms: 2000~Content-Length: 4~~ab"
        a send raw "cd"
        w0 expect abcd$
    """,
    "a chunked body is forwarded whole, with its length": """
        a send raw "POST /once HTTP/1.1~Host: x~Req-Id: 6~Req-Deadline-Ms: 2000~Transfer-Encoding: chunked~"
        a send raw "~2~ab~3;x~cde~0~~"
        w0 expect Content-Length: 5\\r\\n\\r\\nabcde$
        w0 send serve 6
        a expect ^HTTP/1.1 200 .*made
    """,
    # Outcomes of attempts.
    "503 without Srv-Declined may have run, so a non-idempotent job fails": """
        a send job 1 once
        w0 gets 1
        w0 send status 503
        a expect ^HTTP/1.1 502
        node wait try.error 1
    """,
    "a request that a worker rejects as unusable fails without a retry": """
        a send job 1
        w0 gets 1
        w0 send status 400
        a expect ^HTTP/1.1 502
        node wait try.unusable 1
    """,
    "a lost job counts as a reset": """
        a send job 1 once
        w0 gets 1
        w0 send last lost 1
        a expect ^HTTP/1.1 502
        node wait try.reset 1
    """,
    "a connection that breaks after the request counts as a reset, without an automatic retry": """
        a send job 1 once
        w0 gets 1
        w0 close hard
        a expect ^HTTP/1.1 502
        node wait try.reset 1
    """,
    "a response without its final event counts as a reset": """
        a send job 1 once
        w0 gets 1
        w0 send take
        w0 send end
        a expect ^HTTP/1.1 502
        node wait try.reset 1
    """,
    "a refused connection means that the job never ran, so the request is refused": """
        w0 close
        a send job 1 once 700
        a expect ^HTTP/1.1 503 .*Retry-After
        node wait try.connect_failed 1
    """,
    "an unreachable worker never ran the job, even if the client's deadline comes first": """
        w0 jam
        a send job 1 once 150
        a expect ^HTTP/1.1 503
        node wait try.connect_failed 1
    """,
    "a connection that does not open fails after the connect timeout": """
        w0 jam
        a send job 1 once 3000
        node wait try.connect_failed 1
        node wait owed 1
    """,
    "a silent worker times out before the client's deadline": """
        a send job 1 once 400
        w0 gets 1
        a expect ^HTTP/1.1 502
        node wait try.timeout 1
        w0 expect end
    """,
    "the answer does not wait for the end of the response's framing": """
        a send job 1
        w0 gets 1
        w0 send take
        w0 send event started 1
        w0 send event done 1 result=made
        a expect 200 OK.*made
    """,
    # Malformed answers of workers.
    **{
        f"{what} is an error of the attempt": f"""
        a send job 1 once
        w0 gets 1
        w0 send {message}
        a expect ^HTTP/1.1 502
        node wait try.error 1
        w0 expect end
        """
        for what, message in {
            "no HTTP": 'raw "hello~~"',
            "a job event about another": "serve 2",
            "an unknown state": "last asleep 1",
            "a state of another kind": 'raw "HTTP/1.1 200 X~~{\\"id\\":\\"1\\",\\"state\\":[]}\\n"',
            "done without a result": "last done 1",
            "a line that is no JSON": 'raw "HTTP/1.1 200 X~~{{\\n"',
            "JSON without end": 'raw "HTTP/1.1 200 X~~' + "[" * 60000 + '\\n"',
            "a broken chunk": 'raw "HTTP/1.1 200 X~Transfer-Encoding: chunked~~zz~"',
            "two framings": 'raw "HTTP/1.1 200 X~Transfer-Encoding: chunked~Content-Length: 9~~"',
        }.items()
    },
    # Unusual clients.
    **{
        f"{what}: {status}, and the connection stays open": f"""
        a send {message}
        a expect ^HTTP/1.1 {status} .*\\r\\n\\r\\n.*\\n
        a send get /-/healthy
        a expect ^HTTP/1.1 200
        """
        for what, status, message in (
            ("unknown class", 404, "job 1 nothing"),
            ("unknown page", 404, "get /-/nothing"),
            ("job by GET", 405, "get /look"),
            ("no id", 400, 'raw "POST /look HTTP/1.1~Host: x~Req-Deadline-Ms: 9~~"'),
            ("no deadline", 400, 'raw "POST /look HTTP/1.1~Host: x~Req-Id: 9~~"'),
            *(
                (f"deadline {text!r}", 400, f"job 1 look {text}")
                for text in ("-5", "1e3", "soon", "9" * 20, "''")
            ),
            ("malformed extras", 400, 'job 1 look 500 "" "Req-Extra: slots=many"'),
        )
    },
    **{
        f"{what}: {status}, and the connection closes": f"""
        a send raw "{text}"
        a expect ^HTTP/1.1 {status} .*Connection: close.*\\r\\n\\r\\n.*\\n
        a expect end
        """
        for what, status, text in (
            ("no HTTP", 400, "nonsense~~"),
            ("a bare line feed", 400, "GET / HTTP/1.1\\nHost: x\\n"),
            ("no host", 400, "GET / HTTP/1.1~~"),
            ("two lengths", 400, "POST / HTTP/1.1~Host: x~" + "Content-Length: 1~" * 2 + "~"),
            *(
                (f"length {text!r}", 400, f"POST / HTTP/1.1~Host: x~Content-Length: {text}~~")
                for text in ("+1", "-1", "0x10", "many", "1, 1", "", "9" * 20)
            ),
            ("a target with invalid characters", 400, "POST /look<x> HTTP/1.1~Host: x~~"),
            ("a target too long", 414, "POST /look?" + "x" * 3000 + " HTTP/1.1~Host: x~~"),
            ("a head too long", 431, "POST /look HTTP/1.1~X: " + "x" * 20000),
            ("both framings", 400, "POST / HTTP/1.1~Host: x~Content-Length: 1~Transfer-Encoding: chunked~~"),
            ("another coding", 501, "POST / HTTP/1.1~Host: x~Transfer-Encoding: gzip~~"),
            ("too large a body", 413, "POST / HTTP/1.1~Host: x~Content-Length: 65537~~"),
            ("another version", 505, "GET / HTTP/2.0~Host: x~~"),
            ("a folded field", 400, "GET / HTTP/1.1~Host: x~ y~~"),
        )
    },
    "input after the last answer is read, without a reset": """
        a send raw "POST / HTTP/1.1~Host: x~Content-Length: 99999~~"
        node wait rejected.413 1
        a send raw "more"
        a send raw "and more"
        a expect ^HTTP/1.1 413 .*body too large\\n
        a expect end
    """,
    "an unwanted body of 60 MB is discarded, and the client can read its answer": """
        a send raw "POST / HTTP/1.1~Host: x~Content-Length: 60000000~~"
        a send bytes 60000000
        a expect ^HTTP/1.1 413 .*body too large\\n
        a expect end
    """,
    "the deadline of the class bounds the client's deadline": """
        a send job 1 once 999999999
        w0 expect Req-Deadline-Ms: [1-4]\\d\\d\\d\\r\\n
    """,
    "a duplicate id is rejected, and the first request gets its answer": """
        a send job 1
        w0 gets 1
        b send job 1
        b expect ^HTTP/1.1 409
        w0 send serve 1
        a expect 200 OK.*made
    """,
    "a client that expects 100 Continue gets it": """
        a send raw "POST /once HTTP/1.1~Host: x~Req-Id: 5~Req-Deadline-Ms: 2000~Content-Length: 2~"
        a send raw "Expect: 100-continue~~"
        a expect ^HTTP/1.1 100 Continue\\r\\n\\r\\n$
        a send raw "ab"
        w0 expect ab$
    """,
    "the attempt of a disconnected client is followed to its end": """
        a send job 1 once
        w0 gets 1
        a close
        node wait answer.client_left 1
        w0 send serve 1
        node wait try.ok 1
        node wait tries_out 0
    """,
    "a held request without a worker is refused with Retry-After": """
        a send job 1 look 600
        w0 gets 1
        b send job 2 look 600
        b expect ^HTTP/1.1 503 .*Retry-After: [0-9.]+\\r\\n
    """,
    # Discovery.
    "a draining worker gets no jobs once the drain is announced": """
        d expect GET /api/targets HTTP
        d send list 5 whole w0=draining w1
        d expect GET /api/targets\\?index=5&wait=\\d+ HTTP
        a send job 1
        w1 gets 1
        d send list 6 part w1=gone w0
        d expect index=6&
        b send job 2
        w0 gets 2
    """,
    "a restarted worker gets its next job on a new connection": """
        a send job 1
        w0 gets 1
        w0 send serve 1
        a expect 200 OK.*made
        d send list 5 whole w0=ready@1700000000000
        w0 expect end
        d expect index=5&
        a send job 2
        w0/2 gets 2
    """,
    "a list of an older version is ignored": """
        d expect GET /api/targets HTTP
        d send list 5 whole w0
        d expect index=5&
        d send list 4 part w0=gone
        d/2 expect GET /api/targets HTTP
        a send job 1
        w0 gets 1
    """,
    "malformed and failed answers of discovery are retried": """
        d expect GET /api/targets HTTP
        d send raw "HTTP/1.1 200 OK~Content-Length: 2~~{]"
        d/2 expect GET /api/targets HTTP
        d/2 send status 500
        d/3 expect GET /api/targets HTTP
        d/3 close hard
        d/4 expect GET /api/targets HTTP
        d/4 send list 9 whole w1
        d/4 expect index=9&
        a send job 1
        w1 gets 1
    """,
    # Reload.
    "a reload changes discovery: the new whole list applies, despite its lower version": """
        d expect GET /api/targets HTTP
        d send list 50 whole w0
        d expect index=50&.*\\r\\n\\r\\n
        node reload e
        d expect end
        e expect GET /api/targets HTTP
        a send job 1                        # the old list holds until the new one is read
        w0 gets 1
        e send list 3 whole w1
        e expect index=3&
        b send job 2
        w1 gets 2
        w0 send serve 1                     # a running attempt goes on
        a expect 200 OK.*made
        node wait reloads 1
    """,
    "a worker with the same start time at the new discovery has not restarted": """
        d expect GET /api/targets HTTP
        d send list 5 whole w0=ready@1700000000000
        d expect index=5&
        a send job 1
        w0 gets 1
        w0 send serve 1
        a expect 200 OK.*made
        node reload e
        e expect GET /api/targets HTTP
        e send list 1 whole w0=ready@1700000000000
        e expect index=1&
        a send job 2
        w0 gets 2                           # on the existing connection
    """,
    "an invalid configuration changes nothing": """
        d expect GET /api/targets HTTP
        d send list 5 whole w0
        d expect index=5&
        node reload
        node wait reloads.failed 1
        d send list 6 whole w1
        d expect index=6&
        a send job 1
        w1 gets 1
    """,
    "consecutive reloads, and a return to the first discovery": """
        d expect GET /api/targets HTTP
        d send list 5 whole w0
        d expect index=5&
        node reload e
        e expect GET /api/targets HTTP
        e close hard
        e/2 expect GET /api/targets HTTP
        node reload d
        d/2 expect GET /api/targets HTTP
        node reload d                       # unchanged: the open call goes on
        d/2 send list 2 whole w1
        d/2 expect index=2&
        a send job 1
        w1 gets 1
        node wait reloads 3
    """,
    "a reload while draining still applies list changes": """
        d expect GET /api/targets HTTP
        d send list 5 whole w0
        d expect index=5&
        node drain
        node reload e
        e expect GET /api/targets HTTP
        e send list 1 whole w1
        e expect index=1&
        a send job 1
        w1 gets 1
        w1 send serve 1
        a expect ^HTTP/1.1 200 .*made$
    """,
    # Shutdown.
    "draining: not ready, but old and new connections are served for a while": """
        a send job 1
        w0 gets 1
        w0 send serve 1
        a expect 200 OK.*made
        node drain
        b send get /-/ready
        b expect ^HTTP/1.1 503 .*draining\\n
        a send job 2
        w0 gets 2
        w0 send serve 2
        a expect ^HTTP/1.1 200 OK\\r\\nContent-Length: 4\\r\\nContent-Type: [^\\r]+\\r\\n\\r\\nmade$
        b close
        a expect end                        # finally all idle connections are closed
    """,
    "draining: accepted requests are answered, and each answer closes its connection": """
        a send job 1 once 5000
        w0 gets 1
        node drain
        b send get /-/healthy
        b expect ^HTTP/1.1 200 OK.*ok\\n
        b expect end
        w0 send serve 1
        a expect ^HTTP/1.1 200 .*Connection: close.*made$
        a expect end
    """,
}

# Scenes with two workers; `p` is the one that was chosen.
TWO_WORKER_SCENES: dict[str, str] = {
    "a declined job has not run, so it is retried": """
        a send job 1 once
        p gets 1
        p send status 503 "Srv-Declined: 1"
        node wait try.full 1
        p/2 gets 1
        p/2 send serve 1
        a expect 200 OK
    """,
    "a job that is handed back unstarted is retried": """
        a send job 1 once
        p gets 1
        p send last returned 1
        p/2 gets 1
        p/2 send serve 1
        a expect 200 OK
    """,
    "a failed idempotent job is retried": """
        a send job 1
        p gets 1
        p send last failed 1
        node wait try.error 1
        p/2 gets 1
    """,
    "a request that could not be sent goes to another worker": """
        w0 close
        a send job 1 once
        w1 gets 1
        w1 send serve 1
        a expect 200 OK.*made
    """,
    "of two hedged attempts, the one that still waits is cancelled when the other starts": """
        a send job 1
        p gets 1
        p/2 gets 1
        p/2 send take
        p/2 send event started 1
        p expect end
        node wait try.cancelled 1
        p/2 send done 1
        a expect 200 OK.*made
    """,
}


@pytest.fixture(autouse=True)
def long_connect_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Raise the connect timeout, so that a slow test machine does not look like a silent discovery."""
    monkeypatch.setattr(watch_timing, "CONNECT_TIMEOUT_S", 30.0)


def play_scene(text: str, **options: Any) -> None:
    scene = Scenario(**options)
    try:
        scene.run_script(text)
    finally:
        scene.close()


@pytest.mark.parametrize("text", SCENES.values(), ids=SCENES.keys())
def test_scene(text: str) -> None:
    play_scene(text)


@pytest.mark.parametrize("text", TWO_WORKER_SCENES.values(), ids=TWO_WORKER_SCENES.keys())
def test_scene_with_two_workers(text: str) -> None:
    play_scene(text, known="w0 w1", **{"second-copies": True})


def test_not_ready_without_a_worker_list() -> None:
    play_scene(
        """
        a send get /-/ready
        a expect ^HTTP/1.1 503
        d expect GET /api/targets HTTP
        d send list 1 whole w0
        d expect index=1&
        a send get /-/ready
        a expect ^HTTP/1.1 200
        """.replace("a expect ^HTTP/1.1 503", "a expect ^HTTP/1.1 503 .*list yet\\n"),
        known="",
    )


def test_clients_beyond_the_limit_evict_idle_connections() -> None:
    scene = Scenario(descriptors=32)
    try:
        for number in range(scene.node.sockets.max_client_connections + 5):
            scene.run_script(f"c{number} send get /-/healthy\nc{number} expect ^HTTP/1.1 200 .*ok\\n")
        scene.run_script("c0 expect end\na send job 1\nw0 gets 1\nw0 send serve 1\na expect 200 OK")
    finally:
        scene.close()


@pytest.mark.parametrize("partial_request", ["", "send raw 'POST /look HTTP/1.1~Ho'"])
def test_silent_connections_do_not_displace_active_clients(partial_request: str) -> None:
    """In a flood of connections without jobs, a client with jobs stays connected and a new one gets in."""
    scene = Scenario(descriptors=32)
    try:
        scene.run_script("a send job 1\nw0 gets 1\nw0 send serve 1\na expect 200 OK.*made")
        for number in range(3 * scene.node.sockets.max_client_connections):
            scene.run_script(
                f"c{number} open\n" + (f"c{number} {partial_request}" if partial_request else "")
            )
        scene.run_script("b send job 2\nw0 gets 2\nw0 send serve 2\nb expect 200 OK.*made")
        scene.run_script(
            "a send job 3\nw0 gets 3\nw0 send serve 3\na expect 200 OK.*made\nnode wait evicted 1"
        )
    finally:
        scene.close()


def test_stalled_clients_are_rejected_or_closed_and_idle_active_ones_are_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clients, "REQUEST_TIMEOUT_S", 0.3)
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 0.02)
    play_scene(
        """
        a send job 1
        w0 gets 1
        w0 send serve 1
        a expect 200 OK.*made
        b open
        b expect end
        c send raw "POST /look HTTP/1.1~Host: x~Content-Length: 5~~ab"
        c expect ^HTTP/1.1 408 .*Connection: close.*\\r\\n\\r\\n.*\\n
        c expect end
        d0 send get /-/healthy
        d0 expect 200 OK.*ok\\n
        d0 expect end
        node wait silent 2
        a send raw "POST /look HTTP/1.1~"   # idle until now; then it sends half a request, too
        a expect ^HTTP/1.1 408 .*\\r\\n\\r\\n.*\\n
        a expect end
        """
    )


def test_late_first_bytes_do_not_extend_the_request_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """The timeout of a first request counts from connecting, not from its first byte."""
    scene = Scenario()
    try:
        scene.run_script("a open\nnode wait client_connections 1")
        connection = next(iter(scene.node.clients.connections))
        opened = connection.waiting_since
        scene.run_script("a send raw 'POST'\nb send get /-/healthy\nb expect 200 OK")
        assert connection.has_partial_request and connection.waiting_since == opened
    finally:
        scene.close()


def test_clients_beyond_the_limit_wait_for_a_free_connection() -> None:
    scene = Scenario(descriptors=32)
    try:
        limit = scene.node.sockets.max_client_connections = 8
        for n in range(limit):
            scene.run_script(f"c{n} send job {n} once\nw0/{n} gets {n}")
            scene.run_script(f"w0/{n} send take\nw0/{n} send event started {n}\nnode wait taken {n + 1}")
        scene.run_script(
            f"c{limit} send job {limit} once\nw0/0 send done 0\nc0 expect 200 OK.*made\nc0 expect end"
        )
        scene.run_script(f"w0/0 gets {limit}\nw0/0 send serve {limit}\nc{limit} expect 200 OK.*made")
    finally:
        scene.close()


def test_attempt_without_a_descriptor_never_ran_and_its_request_is_held() -> None:
    scene = Scenario()
    scene.node.sockets.max_worker_connections = 1
    try:
        scene.run_script(
            """
            a send job 1 once
            w0 gets 1
            w0 send take
            w0 send event started 1
            b send job 2 once
            node wait try.connect_failed 1
            w0 send done 1
            a expect 200 OK.*made
            b expect ^HTTP/1.1 503
            """
        )
    finally:
        scene.close()


def test_partly_unsent_request_counts_as_never_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Small kernel buffers keep the rest of a large body in the transport's buffer."""
    original = socket.socket.connect_ex

    def connect_ex(sock: socket.socket, where: Any) -> int:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return original(sock, where)

    monkeypatch.setattr(socket.socket, "connect_ex", connect_ex)
    scene = Scenario()
    try:
        scene.servers["w0"].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        scene.run_script(
            f"""
            a send job 1 once 1000 {"x" * 65000}
            w0 expect ^POST
            w0 close hard
            node wait try.connect_failed 1
            a expect ^HTTP/1.1 503
            """
        )
    finally:
        scene.close()


def test_silent_watch_is_reopened_at_the_same_version(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_timing, "WATCH_WAIT_S", 0.05)
    monkeypatch.setattr(watch_timing, "QUEUE_TIMEOUT_S", 1.5)
    play_scene(
        """
        d expect GET /api/targets HTTP
        d send list 5 whole w1
        d expect index=5&wait=50 HTTP
        d/2 expect index=5&wait=2700 HTTP
        d/2 send list 6 part
        d/2 expect index=6&
        a send job 1
        w1 gets 1
        """
    )


def test_silent_watch_is_reopened_at_once_in_a_fleet_of_any_size(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each of 200 dispatchers pauses 3 to 7 s after a refusal, which would be too long after a silent watch:
    a change that it missed counts as delivered before that."""
    monkeypatch.setattr(watch_timing, "WATCH_WAIT_S", 0.05)
    monkeypatch.setattr(watch_timing, "QUEUE_TIMEOUT_S", 0.1)
    assert watch_timing.backoff(1, 200) / 2 > 3.0
    pauses = list[tuple[float, float]]()
    monkeypatch.setattr(random, "uniform", lambda a, b: pauses.append((a, b)) or b)  # type: ignore[func-returns-value]
    scene = Scenario(platform_settings={"siblings": 200})
    try:
        scene.run_script("d send list 5 whole w1\nd expect index=5\nd/2 expect index=5")
        assert pauses == [(0, watch_timing.IMMEDIATE_RETRY_S)]
        scene.run_script("d/2 close hard")  # a lost connection is not silence: the pause of the fleet applies
        end = time.monotonic() + 10
        while len(pauses) < 2 and time.monotonic() < end:
            scene.run_script("node wait taken 0")
        assert pauses[1] == (2.0, 4.0)  # of the fleet, bounded by the delivery time of a change
    finally:
        scene.close()


def test_new_discovery_that_is_silent_at_first_is_called_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_timing, "CONNECT_TIMEOUT_S", 0.1)
    monkeypatch.setattr(watch_timing, "WHOLE_LIST_TIMEOUT_S", 0.2)
    play_scene(
        """
        node reload e
        e expect GET /api/targets HTTP.*\\r\\n\\r\\n
        e expect end
        e/2 expect GET /api/targets HTTP
        e/2 send list 1 whole w1
        e/2 expect index=1&
        a send job 1
        w1 gets 1
        """
    )


def test_restart_fetches_only_the_changes_since_the_known_list() -> None:
    """A fleet that restarts at once would overload discovery with calls for whole lists."""
    play_scene(
        """
        d expect GET /api/targets\\?index=7&wait=\\d+ HTTP
        d send list 9 part w0=gone w1
        d expect index=9&
        a send job 1
        w1 gets 1
        """,
        version=7,
    )


def test_known_list_newer_than_that_of_discovery_is_replaced_at_once() -> None:
    play_scene(
        """
        d expect index=70&
        d send list 3 part w1
        d/2 expect GET /api/targets HTTP
        d/2 send list 3 whole w1
        d/2 expect index=3&
        a send job 1
        w1 gets 1
        """,
        version=70,
    )


def test_discovery_that_lost_its_state_is_accepted_after_several_lists(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery, "OLDER_LISTS_BEFORE_RESET", 2)
    play_scene(
        """
        d expect GET /api/targets HTTP
        d send list 50 whole w0
        d expect index=50&
        d send list 1 whole w1
        d/2 expect GET /api/targets HTTP
        d/2 send list 2 whole w1
        d/2 expect index=2&
        a send job 1
        w1 gets 1
        """
    )


@pytest.mark.parametrize("close_mode", ["", "hard"])
def test_unread_close_of_an_idle_connection_does_not_fail_the_next_attempt(close_mode: str) -> None:
    """The worker's close and the next job arrive in the same turn of the loop, before either is read."""
    scene, answers = Scenario(), list[Answer]()

    async def end_and_take() -> None:
        scene.run_script(f"w0 close {close_mode}")
        client = SimpleNamespace(answer=answers.append, has_disconnected=lambda: False)
        deadline = scene.loop.time() + 3.0
        scene.node.dispatcher.submit(PendingRequest("2", 1, deadline, Job("POST", "/once", b""), client))

    try:
        scene.run_script("a send job 1 once\nw0 gets 1\nw0 send serve 1\na expect 200 OK.*made")
        asyncio.run_coroutine_threadsafe(end_and_take(), scene.loop).result(10.0)
        scene.run_script("w0/2 gets 2\nw0/2 send serve 2\nnode wait owed 0")
        assert answers == [Answer(AnswerKind.SERVED, b"made")]
    finally:
        scene.close()


@pytest.mark.parametrize("descriptors, memory", [(192, 40), (256, 64), (384, 80), (1024, 192)])
def test_limits_leave_room_for_typical_clients_and_for_attempts(descriptors: int, memory: int) -> None:
    async def limits() -> tuple[int, int]:
        sockets = Sockets(asyncio.get_running_loop(), descriptors, memory)
        sockets.close()
        return sockets.max_client_connections, sockets.max_worker_connections

    client_connections, worker_connections = asyncio.run(limits())
    assert client_connections > descriptors / 3 and worker_connections > 50
    assert client_connections + worker_connections + RESERVED_DESCRIPTORS <= descriptors
    # A sixth of the connections with full buffers (client: 144 KB, worker: 148 KB), and the objects of all.
    assert (
        BASE_MEMORY_MB
        + (client_connections * (3 + 144 / 6) + worker_connections * (6 + 148 / 6)) * 1024 / 1e6
        <= memory
    )


def test_started_or_ended_attempt_is_not_kept_as_waiting() -> None:
    """Its request and body would stay in memory until the worker gets another connection."""
    scene = Scenario()
    try:
        waiting_attempts = scene.node.pools.servers[""].connections.waiting_attempts
        scene.run_script("a send job 1\nw0 gets 1")
        assert not waiting_attempts
        scene.run_script("w0 send serve 1\na expect 200 OK.*made\nnode wait owed 0")
        assert not waiting_attempts
    finally:
        scene.close()


def test_memory_of_a_long_list_is_not_available_for_connections() -> None:
    async def limits(workers: int) -> tuple[int, int]:
        sockets = Sockets(asyncio.get_running_loop(), 1024, 56)
        sockets.set_list_bytes(workers * LISTED_WORKER_BYTES)
        sockets.close()
        return sockets.max_client_connections, sockets.max_worker_connections

    client_connections, worker_connections = asyncio.run(limits(3200))
    listed_mb = 3200 * 1.7 / 1000
    assert (
        BASE_MEMORY_MB
        + listed_mb
        + (client_connections * (3 + 144 / 6) + worker_connections * (6 + 148 / 6)) * 1024 / 1e6
        <= 56
    )
    assert (client_connections, worker_connections) < asyncio.run(limits(200)) and min(
        client_connections, worker_connections
    ) > 50


def test_flood_of_clients_does_not_delay_an_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    """Opening a transport takes several loop turns, and hundreds of accepted sockets may wait for that."""
    opened = list[socket.socket]()

    async def open_all() -> None:
        loop = asyncio.get_running_loop()

        async def create_connection(_: Any, sock: socket.socket) -> None:
            opened.append(sock)
            if sock is not worker_socket:
                await asyncio.Event().wait()

        monkeypatch.setattr(loop, "create_connection", create_connection)
        sockets = Sockets(loop, 1024, 192)
        with socket.socket() as client, socket.socket() as worker_socket:
            for _ in range(20):
                sockets.open_transport(client, Connection(), side="clients")
            sockets.open_transport(worker_socket, Connection())
            for _ in range(5):
                await asyncio.sleep(0)
            sockets.close()
            assert worker_socket in opened

    asyncio.run(open_all())


def test_listener_survives_an_error_on_accept(monkeypatch: pytest.MonkeyPatch) -> None:
    scene, errors = Scenario(), [OSError(errno.EMFILE, "Too many open files")]
    original = socket.socket.accept

    def accept(listener: socket.socket) -> Any:
        node_listener = scene.node.clients.listener
        if node_listener is not None and listener is node_listener.sock and errors:
            raise errors.pop()
        return original(listener)

    monkeypatch.setattr(socket.socket, "accept", accept)
    try:
        scene.run_script("a send get /-/healthy\na expect 200 OK\nnode wait accept_errors 1")
    finally:
        scene.close()


def test_unexpected_error_closes_only_one_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scenario()
    monkeypatch.setattr(scene.node.clients, "report", lambda: 1 // 0)
    try:
        scene.run_script("a send get /-/counters\na expect end\nb send get /-/healthy\nb expect 200 OK")
    finally:
        scene.close()
