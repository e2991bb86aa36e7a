"""The dispatcher on sockets, scene by scene. The language is in scenario.py."""

import asyncio
import errno
import random
import socket
import time
from types import SimpleNamespace
from typing import Any

import pytest
from scenario import Scene

from wickgw.net import clients, discovery, watch_timing
from wickgw.net.attempt import Job
from wickgw.net.dispatch import Answer, AnswerKind, PendingRequest
from wickgw.net.sockets import BASE_MB, RESERVE, Connection, Sockets

SCENES: dict[str, str] = {
    # A request's life.
    "what a peer made is the answer, and the request is passed on unchanged": """
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
    "the connection to a peer is used again, the client's too": """
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
    "requests that come together are answered in order": """
        a send raw "GET /-/ready HTTP/1.1~Host: x~~GET /-/healthy HTTP/1.1~Host: x~~"
        a expect 200 OK.*ok\\n.*200 OK.*ok\\n
    """,
    "a request in pieces is one request": """
        a send raw "POST /once HTTP/1.1~Host: x~Req-Id: 5~Req-Dead"
        a send raw "line-Ms: 2000~Content-Length: 4~~ab"
        a send raw "cd"
        w0 expect abcd$
    """,
    "a body in chunks goes on whole, with its length": """
        a send raw "POST /once HTTP/1.1~Host: x~Req-Id: 6~Req-Deadline-Ms: 2000~Transfer-Encoding: chunked~"
        a send raw "~2~ab~3;x~cde~0~~"
        w0 expect Content-Length: 5\\r\\n\\r\\nabcde$
        w0 send serve 6
        a expect ^HTTP/1.1 200 .*made
    """,
    # How tries end.
    "503 without the mark may have run: a job that must not run twice has failed": """
        a send job 1 once
        w0 gets 1
        w0 send status 503
        a expect ^HTTP/1.1 502
        node wait try.error 1
    """,
    "a request that a peer can't use has failed, and is sent to nobody else": """
        a send job 1
        w0 gets 1
        w0 send status 400
        a expect ^HTTP/1.1 502
        node wait try.unusable 1
    """,
    "a lost job is a reset": """
        a send job 1 once
        w0 gets 1
        w0 send last lost 1
        a expect ^HTTP/1.1 502
        node wait try.reset 1
    """,
    "a connection that breaks after the request is a reset, not sent again by itself": """
        a send job 1 once
        w0 gets 1
        w0 close hard
        a expect ^HTTP/1.1 502
        node wait try.reset 1
    """,
    "a response that ends before its last line is a reset": """
        a send job 1 once
        w0 gets 1
        w0 send take
        w0 send end
        a expect ^HTTP/1.1 502
        node wait try.reset 1
    """,
    "a peer that refuses the connection never ran it: it can be refused": """
        w0 close
        a send job 1 once 700
        a expect ^HTTP/1.1 503 .*Retry-After
        node wait try.connect_failed 1
    """,
    "a peer that can't be reached never ran it, even when the client's time ends first": """
        w0 jam
        a send job 1 once 150
        a expect ^HTTP/1.1 503
        node wait try.connect_failed 1
    """,
    "a connection that never comes up is given up after the connect timeout": """
        w0 jam
        a send job 1 once 3000
        node wait try.connect_failed 1
        node wait owed 1
    """,
    "silence is a time-out, answered before the client's time is up": """
        a send job 1 once 400
        w0 gets 1
        a expect ^HTTP/1.1 502
        node wait try.timeout 1
        w0 expect end
    """,
    "the answer does not wait for the end of the framing": """
        a send job 1
        w0 gets 1
        w0 send take
        w0 send event started 1
        w0 send event done 1 result=made
        a expect 200 OK.*made
    """,
    # Nonsense from peers.
    **{
        f"{what} is an error of that try": f"""
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
    # Clients that are odd.
    **{
        f"{what}: {status}, and the connection lives": f"""
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
        f"{what}: {status}, and the connection ends": f"""
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
            ("a target that no peer reads", 400, "POST /look<x> HTTP/1.1~Host: x~~"),
            ("a target too long", 414, "POST /look?" + "x" * 3000 + " HTTP/1.1~Host: x~~"),
            ("a head too long", 431, "POST /look HTTP/1.1~X: " + "x" * 20000),
            ("both framings", 400, "POST / HTTP/1.1~Host: x~Content-Length: 1~Transfer-Encoding: chunked~~"),
            ("another coding", 501, "POST / HTTP/1.1~Host: x~Transfer-Encoding: gzip~~"),
            ("too large a body", 413, "POST / HTTP/1.1~Host: x~Content-Length: 65537~~"),
            ("another version", 505, "GET / HTTP/2.0~Host: x~~"),
            ("a folded field", 400, "GET / HTTP/1.1~Host: x~ y~~"),
        )
    },
    "what still comes after the last answer is read, not reset": """
        a send raw "POST / HTTP/1.1~Host: x~Content-Length: 99999~~"
        node wait rejected.413 1
        a send raw "more"
        a send raw "and more"
        a expect ^HTTP/1.1 413 .*body too large\\n
        a expect end
    """,
    "60 MB that nobody wants are thrown away, and the answer is read": """
        a send raw "POST / HTTP/1.1~Host: x~Content-Length: 60000000~~"
        a send bytes 60000000
        a expect ^HTTP/1.1 413 .*body too large\\n
        a expect end
    """,
    "nobody waits longer than the class allows, whatever the client says": """
        a send job 1 once 999999999
        w0 expect Req-Deadline-Ms: [1-4]\\d\\d\\d\\r\\n
    """,
    "an id that is in use is turned down, and the first keeps its answer": """
        a send job 1
        w0 gets 1
        b send job 1
        b expect ^HTTP/1.1 409
        w0 send serve 1
        a expect 200 OK.*made
    """,
    "who waits to be told to go on is told": """
        a send raw "POST /once HTTP/1.1~Host: x~Req-Id: 5~Req-Deadline-Ms: 2000~Content-Length: 2~"
        a send raw "Expect: 100-continue~~"
        a expect ^HTTP/1.1 100 Continue\\r\\n\\r\\n$
        a send raw "ab"
        w0 expect ab$
    """,
    "a client that leaves: its try is followed to the end": """
        a send job 1 once
        w0 gets 1
        a close
        node wait answer.client_left 1
        w0 send serve 1
        node wait try.ok 1
        node wait tries_out 0
    """,
    "a held request that finds no worker is refused with a time to come back": """
        a send job 1 look 600
        w0 gets 1
        b send job 2 look 600
        b expect ^HTTP/1.1 503 .*Retry-After: [0-9.]+\\r\\n
    """,
    # Discovery.
    "a drained peer gets nothing from the moment it is told": """
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
    "a peer that started anew gets its next job on a new connection": """
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
    "an answer of an older version is not believed, and the list is kept": """
        d expect GET /api/targets HTTP
        d send list 5 whole w0
        d expect index=5&
        d send list 4 part w0=gone
        d/2 expect GET /api/targets HTTP
        a send job 1
        w0 gets 1
    """,
    "garbage and refusals from discovery are survived": """
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
    # Reloading.
    "a reload moves discovery: whole list there at once, though its versions are lower": """
        d expect GET /api/targets HTTP
        d send list 50 whole w0
        d expect index=50&.*\\r\\n\\r\\n
        node reload e
        d expect end
        e expect GET /api/targets HTTP
        a send job 1                        # the list is kept until the new one is in
        w0 gets 1
        e send list 3 whole w1
        e expect index=3&
        b send job 2
        w1 gets 2
        w0 send serve 1                     # a try that is out goes on
        a expect 200 OK.*made
        node wait reloads 1
    """,
    "a peer that discovery's new address names as before has not started anew": """
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
        w0 gets 2                           # on the connection of before
    """,
    "a configuration that can't be used changes nothing": """
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
    "reloads one after the other, and back": """
        d expect GET /api/targets HTTP
        d send list 5 whole w0
        d expect index=5&
        node reload e
        e expect GET /api/targets HTTP
        e close hard
        e/2 expect GET /api/targets HTTP
        node reload d
        d/2 expect GET /api/targets HTTP
        node reload d                       # nothing new: the call that is out goes on
        d/2 send list 2 whole w1
        d/2 expect index=2&
        a send job 1
        w1 gets 1
        node wait reloads 3
    """,
    "a reload while draining still tells of peers that go": """
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
    # Ending.
    "draining: not ready, but clients are served on for a while, on old connections and new ones": """
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
        a expect end                        # in the end all idle connections are closed
    """,
    "draining: what was taken is answered, the answer is the connection's last": """
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

# Scenes with two peers; `p` is whichever was chosen.
TWO_PEERS: dict[str, str] = {
    "a peer that declines has not run it: it is sent again": """
        a send job 1 once
        p gets 1
        p send status 503 "Srv-Declined: 1"
        node wait try.full 1
        p/2 gets 1
        p/2 send serve 1
        a expect 200 OK
    """,
    "handed back unstarted is the same": """
        a send job 1 once
        p gets 1
        p send last returned 1
        p/2 gets 1
        p/2 send serve 1
        a expect 200 OK
    """,
    "a failed job that is safe to repeat is repeated": """
        a send job 1
        p gets 1
        p send last failed 1
        node wait try.error 1
        p/2 gets 1
    """,
    "a request that broke before it was written goes elsewhere": """
        w0 close
        a send job 1 once
        w1 gets 1
        w1 send serve 1
        a expect 200 OK.*made
    """,
    "a copy of a job that waits: the one that still waits is given up when the other begins": """
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
def patient_discovery(monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine that is slow for a moment must not pass for a discovery that is silent."""
    monkeypatch.setattr(watch_timing, "CONNECT_TIMEOUT_S", 30.0)


def played(text: str, **options: Any) -> None:
    scene = Scene(**options)
    try:
        scene.play(text)
    finally:
        scene.close()


@pytest.mark.parametrize("text", SCENES.values(), ids=SCENES.keys())
def test_scene(text: str) -> None:
    played(text)


@pytest.mark.parametrize("text", TWO_PEERS.values(), ids=TWO_PEERS.keys())
def test_scene_with_two_peers(text: str) -> None:
    played(text, known="w0 w1", **{"second-copies": True})


def test_ready_only_once_a_list_is_held() -> None:
    played(
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


def test_more_clients_than_descriptors_close_what_idles() -> None:
    scene = Scene(descriptors=32)
    try:
        for n in range(scene.node.sockets.for_clients + 5):
            scene.play(f"c{n} send get /-/healthy\nc{n} expect ^HTTP/1.1 200 .*ok\\n")
        scene.play("c0 expect end\na send job 1\nw0 gets 1\nw0 send serve 1\na expect 200 OK")
    finally:
        scene.close()


@pytest.mark.parametrize("half", ["", "send raw 'POST /look HTTP/1.1~Ho'"])
def test_hundreds_that_bring_no_job_close_nobody_out(half: str) -> None:
    """A client that has brought a job keeps its connection, and a new one gets in, in a flood of others."""
    scene = Scene(descriptors=32)
    try:
        scene.play("a send job 1\nw0 gets 1\nw0 send serve 1\na expect 200 OK.*made")
        for n in range(3 * scene.node.sockets.for_clients):
            scene.play(f"c{n} open\n" + (f"c{n} {half}" if half else ""))
        scene.play("b send job 2\nw0 gets 2\nw0 send serve 2\nb expect 200 OK.*made")
        scene.play("a send job 3\nw0 gets 3\nw0 send serve 3\na expect 200 OK.*made\nnode wait evicted 1")
    finally:
        scene.close()


def test_bad_clients_are_told_or_closed_soon_and_idle_usual_ones_are_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clients, "PATIENCE", 0.3)
    monkeypatch.setattr(clients, "SWEEP", 0.02)
    played(
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
        a send raw "POST /look HTTP/1.1~"   # idle all the while; now it sends half a request, too
        a expect ^HTTP/1.1 408 .*\\r\\n\\r\\n.*\\n
        a expect end
        """
    )


def test_first_bytes_that_come_late_give_no_more_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Who says nothing, then sends half a request, is owed an error by the time of its connecting."""
    scene = Scene()
    try:
        scene.play("a open\nnode wait client_connections 1")
        connection = next(iter(scene.node.clients.connections))
        opened = connection.since
        scene.play("a send raw 'POST'\nb send get /-/healthy\nb expect 200 OK")
        assert connection.partial and connection.since == opened
    finally:
        scene.close()


def test_clients_beyond_the_limit_wait_until_one_is_answered() -> None:
    scene = Scene(descriptors=32)
    try:
        busy = scene.node.sockets.for_clients = 8
        for n in range(busy):
            scene.play(f"c{n} send job {n} once\nw0/{n} gets {n}")
            scene.play(f"w0/{n} send take\nw0/{n} send event started {n}\nnode wait taken {n + 1}")
        scene.play(f"c{busy} send job {busy} once\nw0/0 send done 0\nc0 expect 200 OK.*made\nc0 expect end")
        scene.play(f"w0/0 gets {busy}\nw0/0 send serve {busy}\nc{busy} expect 200 OK.*made")
    finally:
        scene.close()


def test_try_without_a_descriptor_has_never_run_and_is_held_until_there_is_one() -> None:
    scene = Scene()
    scene.node.sockets.for_workers = 1
    try:
        scene.play(
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


def test_request_of_which_a_part_never_left_has_never_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """With small buffers in the kernel the rest of a large body waits in the transport's."""
    real = socket.socket.connect_ex

    def connect_ex(sock: socket.socket, where: Any) -> int:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return real(sock, where)

    monkeypatch.setattr(socket.socket, "connect_ex", connect_ex)
    scene = Scene()
    try:
        scene.servers["w0"].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        scene.play(
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


def test_silent_watch_is_given_up_and_begun_again_where_it_was(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_timing, "WATCH_WAIT_S", 0.05)
    monkeypatch.setattr(watch_timing, "QUEUE_TIMEOUT_S", 1.5)
    played(
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


def test_silent_watch_is_opened_anew_at_once_however_many_dispatchers_there_are(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Of 200 each pauses 3 to 7 s after a refusal. What a silent watch missed counts as told before that."""
    monkeypatch.setattr(watch_timing, "WATCH_WAIT_S", 0.05)
    monkeypatch.setattr(watch_timing, "QUEUE_TIMEOUT_S", 0.1)
    assert watch_timing.backoff(1, 200) / 2 > 3.0
    pauses = list[tuple[float, float]]()
    monkeypatch.setattr(random, "uniform", lambda a, b: pauses.append((a, b)) or b)  # type: ignore[func-returns-value]
    scene = Scene(facts={"siblings": 200})
    try:
        scene.play("d send list 5 whole w1\nd expect index=5\nd/2 expect index=5")
        assert pauses == [(0, watch_timing.IMMEDIATE_RETRY_S)]
        scene.play("d/2 close hard")  # refused or lost, it is no silence: the fleet's pause is kept
        end = time.monotonic() + 10
        while len(pauses) < 2 and time.monotonic() < end:
            scene.play("node wait taken 0")
        assert pauses[1] == (2.0, 4.0)  # the fleet's, bounded by when a change counts as told
    finally:
        scene.close()


def test_new_discovery_that_is_silent_at_first_is_asked_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_timing, "CONNECT_TIMEOUT_S", 0.1)
    monkeypatch.setattr(watch_timing, "WHOLE_LIST_TIMEOUT_S", 0.2)
    played(
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


def test_restart_asks_only_for_what_changed_since_the_known_list() -> None:
    """Most of a fleet that restarts at once would overbook discovery with whole lists."""
    played(
        """
        d expect GET /api/targets\\?index=7&wait=\\d+ HTTP
        d send list 9 part w0=gone w1
        d expect index=9&
        a send job 1
        w1 gets 1
        """,
        version=7,
    )


def test_known_list_newer_than_discovery_is_given_up_at_once() -> None:
    played(
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


def test_discovery_that_began_anew_is_believed_after_a_while(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "REBUILT_AFTER", 2)
    played(
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


@pytest.mark.parametrize("how", ["", "hard"])
def test_connection_that_ended_unseen_does_not_cost_the_next_job_its_try(how: str) -> None:
    """The peer's end and the next job come in one turn of the loop, before it has read either."""
    scene, answers = Scene(), list[Answer]()

    async def end_and_take() -> None:
        scene.play(f"w0 close {how}")
        client = SimpleNamespace(answer=answers.append, has_left=lambda: False)
        due = scene.loop.time() + 3.0
        scene.node.dispatcher.take(PendingRequest("2", 1, due, Job("POST", "/once", b""), client))

    try:
        scene.play("a send job 1 once\nw0 gets 1\nw0 send serve 1\na expect 200 OK.*made")
        asyncio.run_coroutine_threadsafe(end_and_take(), scene.loop).result(10.0)
        scene.play("w0/2 gets 2\nw0/2 send serve 2\nnode wait owed 0")
        assert answers == [Answer(AnswerKind.SERVED, b"made")]
    finally:
        scene.close()


@pytest.mark.parametrize("descriptors, memory", [(192, 40), (256, 64), (384, 80), (1024, 192)])
def test_limits_leave_room_for_usual_clients_and_for_tries(descriptors: int, memory: int) -> None:
    async def limits() -> tuple[int, int]:
        sockets = Sockets(asyncio.get_running_loop(), descriptors, memory)
        sockets.close()
        return sockets.for_clients, sockets.for_workers

    ours, peers = asyncio.run(limits())
    assert ours > descriptors / 3 and peers > 50
    assert ours + peers + RESERVE <= descriptors
    # A sixth of the connections at their bounds (144 KB a client's, 148 KB a peer's), and what each holds.
    assert BASE_MB + (ours * (3 + 144 / 6) + peers * (6 + 148 / 6)) * 1024 / 1e6 <= memory


def test_attempt_that_has_begun_or_ended_is_not_held_as_one_that_opens() -> None:
    """It would hold its request and its body for as long as its worker gets no other connection."""
    scene = Scene()
    try:
        opening = scene.node.pools.servers[""].connections.opening
        scene.play("a send job 1\nw0 gets 1")
        assert not opening
        scene.play("w0 send serve 1\na expect 200 OK.*made\nnode wait owed 0")
        assert not opening
    finally:
        scene.close()


def test_memory_of_a_long_list_is_not_given_to_connections() -> None:
    async def limits(workers: int) -> tuple[int, int]:
        sockets = Sockets(asyncio.get_running_loop(), 1024, 56)
        sockets.list_has(workers)
        sockets.close()
        return sockets.for_clients, sockets.for_workers

    ours, peers = asyncio.run(limits(3200))
    listed_mb = 3200 * 1.7 / 1000
    assert BASE_MB + listed_mb + (ours * (3 + 144 / 6) + peers * (6 + 148 / 6)) * 1024 / 1e6 <= 56
    assert (ours, peers) < asyncio.run(limits(200)) and min(ours, peers) > 50


def test_flood_of_clients_does_not_delay_a_try(monkeypatch: pytest.MonkeyPatch) -> None:
    """Making a transport takes turns of the loop; hundreds of accepted sockets may wait for theirs."""
    opened = list[socket.socket]()

    async def open_all() -> None:
        loop = asyncio.get_running_loop()

        async def create_connection(_: Any, sock: socket.socket) -> None:
            opened.append(sock)
            if sock is not peer:
                await asyncio.Event().wait()

        monkeypatch.setattr(loop, "create_connection", create_connection)
        sockets = Sockets(loop, 1024, 192)
        with socket.socket() as client, socket.socket() as peer:
            for _ in range(20):
                sockets.adopt(client, Connection(), side="clients")
            sockets.adopt(peer, Connection())
            for _ in range(5):
                await asyncio.sleep(0)
            sockets.close()
            assert peer in opened

    asyncio.run(open_all())


def test_error_on_accept_does_not_end_the_listening(monkeypatch: pytest.MonkeyPatch) -> None:
    scene, errors = Scene(), [OSError(errno.EMFILE, "Too many open files")]
    real = socket.socket.accept

    def accept(listener: socket.socket) -> Any:
        own = scene.node.clients.listener
        if own is not None and listener is own.sock and errors:
            raise errors.pop()
        return real(listener)

    monkeypatch.setattr(socket.socket, "accept", accept)
    try:
        scene.play("a send get /-/healthy\na expect 200 OK\nnode wait accept_errors 1")
    finally:
        scene.close()


def test_error_that_nobody_foresaw_ends_one_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene()
    monkeypatch.setattr(scene.node.clients, "report", lambda: 1 // 0)
    try:
        scene.play("a send get /-/counters\na expect end\nb send get /-/healthy\nb expect 200 OK")
    finally:
        scene.close()
