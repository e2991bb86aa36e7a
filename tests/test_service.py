"""Operation: calls on the management port, pausing, and a listening socket passed by the platform."""

import json
import os
import socket
import tempfile
from pathlib import Path

import pytest
from scenario import PLATFORM_SETTINGS, Scenario

from wickgw.config.relay import ConfigError, passed_socket, read_config
from wickgw.service import calls as service_calls

# Without sockets.


def test_call_is_executed_once_and_further_input_is_ignored() -> None:
    calls = service_calls.Calls(max_callers=4)
    calls.handle(service_calls.Opened(1), 0.0)
    assert calls.handle(service_calls.Read(1, b"STA"), 0.1) == []
    assert calls.handle(service_calls.Read(1, b"TUS\r\nPAUSE\n"), 0.2) == [
        service_calls.Execute(1, service_calls.Call.STATUS)
    ]
    assert calls.handle(service_calls.Read(1, b"RESUME\n"), 0.3) == []


@pytest.mark.parametrize("line", [b"status\n", b"STOP\n", b"PAUSE NOW\n", b"\n"])
def test_unknown_call_is_refused_at_once(line: bytes) -> None:
    calls = service_calls.Calls(max_callers=4)
    calls.handle(service_calls.Opened(1), 0.0)
    [action] = calls.handle(service_calls.Read(1, line), 0.0)
    assert isinstance(action, service_calls.Refuse) and action.caller == 1


def test_overlong_line_is_refused_before_its_end_and_not_kept() -> None:
    calls = service_calls.Calls(max_callers=4)
    calls.handle(service_calls.Opened(1), 0.0)
    assert calls.handle(service_calls.Read(1, b"S" * service_calls.MAX_CALL_BYTES), 0.0) == []
    [action] = calls.handle(service_calls.Read(1, b"S" * 100_000), 0.0)
    assert action == service_calls.Refuse(1, "too long")
    assert calls.callers[1].received == b""


def test_silent_or_incomplete_caller_is_refused_and_disconnected() -> None:
    calls = service_calls.Calls(max_callers=4)
    calls.handle(service_calls.Opened(1), 0.0)
    calls.handle(service_calls.Opened(2), 0.0)
    calls.handle(service_calls.Read(2, b"PAU"), 0.1)
    assert calls.handle(service_calls.Tick(), service_calls.ANSWER_TIMEOUT_S - 0.01) == []
    refused = calls.handle(service_calls.Tick(), service_calls.ANSWER_TIMEOUT_S)
    assert refused == [
        service_calls.Refuse(1, "not whole in time"),
        service_calls.Refuse(2, "not whole in time"),
    ]
    assert service_calls.ANSWER_TIMEOUT_S < 1.0
    assert calls.handle(service_calls.Tick(), service_calls.ANSWER_TIMEOUT_S + service_calls.LINGER_S) == [
        service_calls.Drop(1),
        service_calls.Drop(2),
    ]
    assert not calls.callers and calls.next_deadline() is None


def test_too_many_callers_evict_an_answered_one_first_then_the_oldest() -> None:
    calls = service_calls.Calls(max_callers=3)
    for caller in range(3):
        calls.handle(service_calls.Opened(caller), 0.0)
    calls.handle(service_calls.Read(1, b"STATUS\n"), 0.1)
    assert calls.handle(service_calls.Opened(3), 0.2) == [service_calls.Drop(1)]
    assert calls.handle(service_calls.Opened(4), 0.3) == [service_calls.Drop(0)]
    assert len(calls.callers) == 3


# On sockets.

SCENES = {
    "a call on the management port is answered in one line, and the connection closes": """
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
    "PAUSE fails the readiness check and closes each connection after its answer; RESUME undoes it": """
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
    "an incomplete call is refused within a second, and does not delay others": """
        m send raw "PAU"
        m2 send raw "STATUS\\n"
        m2 expect ^ACK serving
        m expect ^NAK not whole in time\\n$
    """,
}


@pytest.mark.parametrize("text", SCENES.values(), ids=list(SCENES))
def test_scene(text: str) -> None:
    scene = Scenario(mgmt=True)
    try:
        scene.run_script(text)
    finally:
        scene.close()


def test_pause_closes_idle_connections_after_the_grace_period(monkeypatch: pytest.MonkeyPatch) -> None:
    from wickgw.net import clients

    monkeypatch.setattr(clients, "PAUSE_GRACE_S", 0.0)
    scene = Scenario(mgmt=True)
    try:
        scene.run_script("""
            a send get /-/healthy
            a expect 200 OK.*ok\\n
            m send raw "PAUSE\\n"
            m expect ^ACK paused
            a expect end
        """)
    finally:
        scene.close()


def test_passed_socket_is_served_and_stays_open_for_the_other_process() -> None:
    platform = socket.create_server(("127.0.0.1", 0))
    own_descriptor = os.dup(platform.fileno())  # the platform gives each process its own descriptor
    scene = Scenario(mgmt=True, passed_fd=own_descriptor)
    try:
        assert scene.client_address == platform.getsockname()
        scene.run_script("""
            a send job 1
            w0 gets 1
            w0 send serve 1
            a expect ^HTTP/1.1 200 .*made
            node drain
            a expect end
        """)
        scene.node.clients.stop_listening()
        # This process's descriptor is closed. The platform's socket still listens, with its queue intact.
        waiting = socket.create_connection(platform.getsockname(), 5)
        platform.settimeout(5)
        accepted, _ = platform.accept()
        accepted.close()
        waiting.close()
    finally:
        scene.close()
        platform.close()


def test_passed_descriptor_that_is_no_listening_socket_is_reported() -> None:
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
def test_invalid_management_address_is_reported_with_file_and_key(mgmt: str, tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    configuration = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "settings": PLATFORM_SETTINGS,
    }
    file.write_text(json.dumps(configuration))
    assert read_config({"RELAY_CONFIG": str(file)}).mgmt is None
    assert read_config({"RELAY_CONFIG": str(file), "RELAY_MGMT": "127.0.0.1:7"}).mgmt == ("127.0.0.1", 7)
    expected_message = rf"^{file}: mgmt \(or RELAY_MGMT\): .*; HOST:PORT of IPv4 is allowed$"
    with pytest.raises(ConfigError, match=expected_message):
        read_config({"RELAY_CONFIG": str(file), "RELAY_MGMT": mgmt})
