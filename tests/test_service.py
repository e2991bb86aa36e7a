"""Day-to-day service: calls on the second address, sending clients away, a socket passed by the platform."""

import json
import os
import socket
import tempfile
from pathlib import Path

import pytest
from scenario import FACTS, Scene

from wickgw.config.relay import ConfigError, passed_socket, read_config
from wickgw.service import calls as c

# The core, without sockets.


def test_a_whole_call_is_asked_once_and_what_follows_is_not_read() -> None:
    calls = c.Calls(most=4)
    calls.handle(c.Opened(1), 0.0)
    assert calls.handle(c.Read(1, b"STA"), 0.1) == []
    assert calls.handle(c.Read(1, b"TUS\r\nPAUSE\n"), 0.2) == [c.Ask(1, c.Call.STATUS)]
    assert calls.handle(c.Read(1, b"RESUME\n"), 0.3) == []


@pytest.mark.parametrize("line", [b"status\n", b"STOP\n", b"PAUSE NOW\n", b"\n"])
def test_a_call_that_is_not_one_is_refused_at_once(line: bytes) -> None:
    calls = c.Calls(most=4)
    calls.handle(c.Opened(1), 0.0)
    [action] = calls.handle(c.Read(1, line), 0.0)
    assert isinstance(action, c.Refuse) and action.caller == 1


def test_a_line_too_long_is_refused_before_its_end_and_nothing_of_it_is_kept() -> None:
    calls = c.Calls(most=4)
    calls.handle(c.Opened(1), 0.0)
    assert calls.handle(c.Read(1, b"S" * c.LONGEST), 0.0) == []
    [action] = calls.handle(c.Read(1, b"S" * 100_000), 0.0)
    assert action == c.Refuse(1, "too long")
    assert calls.callers[1].held == b""


def test_a_caller_that_sends_nothing_or_half_is_answered_in_time_and_let_go_after() -> None:
    calls = c.Calls(most=4)
    calls.handle(c.Opened(1), 0.0)
    calls.handle(c.Opened(2), 0.0)
    calls.handle(c.Read(2, b"PAU"), 0.1)
    assert calls.handle(c.Tick(), c.ANSWER_WITHIN - 0.01) == []
    refused = calls.handle(c.Tick(), c.ANSWER_WITHIN)
    assert refused == [c.Refuse(1, "not whole in time"), c.Refuse(2, "not whole in time")]
    assert c.ANSWER_WITHIN < 1.0
    assert calls.handle(c.Tick(), c.ANSWER_WITHIN + c.LINGER) == [c.Drop(1), c.Drop(2)]
    assert not calls.callers and calls.next_due() is None


def test_a_crowd_of_callers_lets_the_answered_go_first_then_the_oldest() -> None:
    calls = c.Calls(most=3)
    for n in range(3):
        calls.handle(c.Opened(n), 0.0)
    calls.handle(c.Read(1, b"STATUS\n"), 0.1)
    assert calls.handle(c.Opened(3), 0.2) == [c.Drop(1)]
    assert calls.handle(c.Opened(4), 0.3) == [c.Drop(0)]
    assert len(calls.callers) == 3


# On sockets.

SCENES = {
    "a call on the second address is answered in one line, and the connection ends": """
        m send raw "STATUS\\n"
        m expect ^ACK serving\\n$
        m expect end
        m2 send raw "status\\n"
        m2 expect ^NAK unknown call
        m3 send raw "RESUME\\r\\nPAUSE\\n"
        m3 expect ^ACK serving\\n$
        a send get /-/ready
        a expect 200 OK.*ok\\n
    """,
    "PAUSE says no to the front, ends each connection after its answer, and RESUME takes clients again": """
        a send get /-/ready
        a expect 200 OK.*ok\\n
        m send raw "PAUSE\\n"
        m expect ^ACK paused\\n$
        m2 send raw "STATUS\\n"
        m2 expect ^ACK paused
        b send get /-/ready
        b expect ^HTTP/1.1 503 .*Connection: close.*paused\\n
        b expect end
        a send job 1
        w0 gets 1
        w0 send serve 1
        a expect ^HTTP/1.1 200 .*Connection: close.*made
        a expect end
        m3 send raw "RESUME\\n"
        m3 expect ^ACK serving
        c send get /-/ready
        c expect ^HTTP/1.1 200 .*ok\\n
        c send get /-/ready
        c expect ^HTTP/1.1 200 .*ok\\n
    """,
    "a caller that sends half a call and stays is told no within a second, and others are not held up": """
        m send raw "PAU"
        m2 send raw "STATUS\\n"
        m2 expect ^ACK serving
        m expect ^NAK not whole in time\\n$
    """,
}


@pytest.mark.parametrize("text", SCENES.values(), ids=list(SCENES))
def test_scene(text: str) -> None:
    scene = Scene(mgmt=True)
    try:
        scene.play(text)
    finally:
        scene.close()


def test_paused_connections_that_idle_are_closed_after_the_grace(monkeypatch: pytest.MonkeyPatch) -> None:
    from wickgw.net import clients

    monkeypatch.setattr(clients, "AWAY_GRACE", 0.0)
    scene = Scene(mgmt=True)
    try:
        scene.play("""
            a send get /-/healthy
            a expect 200 OK.*ok\\n
            m send raw "PAUSE\\n"
            m expect ^ACK paused
            a expect end
        """)
    finally:
        scene.close()


def test_a_passed_socket_is_served_and_left_open_for_the_other_process() -> None:
    platform = socket.create_server(("127.0.0.1", 0))
    mine = os.dup(platform.fileno())  # as the platform gives each process a descriptor of its own
    scene = Scene(mgmt=True, passed=mine)
    try:
        assert scene.where == platform.getsockname()
        scene.play("""
            a send job 1
            w0 gets 1
            w0 send serve 1
            a expect ^HTTP/1.1 200 .*made
            node drain
            a expect end
        """)
        scene.node.clients.stop_listening()
        # This process's descriptor is closed; the platform's socket still listens, its queue whole.
        waiting = socket.create_connection(platform.getsockname(), 5)
        platform.settimeout(5)
        taken, _ = platform.accept()
        taken.close()
        waiting.close()
    finally:
        scene.close()
        platform.close()


def test_a_passed_descriptor_that_is_no_listening_socket_is_named() -> None:
    with tempfile.TemporaryFile() as file, pytest.raises(ConfigError, match=r"RELAY_PASSED_SOCKET: \d+: "):
        passed_socket(str(file.fileno()))
    connected = socket.socket()
    try:
        with pytest.raises(ConfigError, match=r"RELAY_PASSED_SOCKET: \d+ is not a listening TCP socket"):
            passed_socket(str(connected.fileno()))
    finally:
        connected.close()
    closed = os.dup(0)
    os.close(closed)
    with pytest.raises(ConfigError, match=r"RELAY_PASSED_SOCKET: \d+: Bad file descriptor"):
        passed_socket(str(closed))
    with pytest.raises(ConfigError, match="RELAY_PASSED_SOCKET: 'seven'; the number"):
        passed_socket("seven")
    assert passed_socket(None) is None


@pytest.mark.parametrize("mgmt", ["nowhere", "127.0.0.1:99999", "127.0.0.1"])
def test_an_unusable_second_address_is_named_by_file_and_key(mgmt: str, tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    told = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": FACTS}
    file.write_text(json.dumps(told))
    assert read_config({"RELAY_CONFIG": str(file)}).mgmt is None
    assert read_config({"RELAY_CONFIG": str(file), "RELAY_MGMT": "127.0.0.1:7"}).mgmt == ("127.0.0.1", 7)
    named = rf"^{file}: mgmt \(or RELAY_MGMT\): .*; HOST:PORT of IPv4 is allowed$"
    with pytest.raises(ConfigError, match=named):
        read_config({"RELAY_CONFIG": str(file), "RELAY_MGMT": mgmt})
