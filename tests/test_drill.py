"""The simulator adapter: messages in, actions out, and malformed input."""

import io
import json
from typing import Any

import pytest

from wickgw import drill, platform_data
from wickgw import interface as i

FACTS: dict[str, Any] = {
    "services": [{"target-ns": 100_000_000, "hard-limit-ns": 1_000_000_000, "idempotency": "read_like"}],
    "bounds": {"attempts-cap": 3, "cancel": True, "new-bound": 7},
    "discovery": "ask",
    "family-info": {"tells-start": True, "progress-ns": 0},
    "never-heard-of": 1,
}


def entry(worker: str, **more: object) -> dict[str, object]:
    """Return the simulator's list entry of a ready worker, with changes."""
    return {"worker": worker, "hall": 0, "model": 0, "group": 0, "health": "ready", "heft": 1} | more


def send_messages(
    host: drill.InstanceHost, now: int, *messages: dict[str, Any], name: str = "dispatcher/0"
) -> list[Any]:
    """Feed messages to one dispatcher, and return the messages that answer them."""
    line = json.dumps({"now-ns": now, "parts": [{"dispatcher-id": name, "arrivals": list(messages)}]})
    parts = json.loads(host.handle_line(line))["parts"]
    return parts[0]["do"] if parts else []


def start_instance(*workers: str) -> tuple[drill.InstanceHost, list[Any]]:
    """Start a dispatcher with a list of workers; return the host and the answers."""
    host = drill.InstanceHost()
    return host, send_messages(
        host, 0,
        {"NEW_INSTANCE": {"salt": 5, "facts": FACTS}},
        {"DEFINE_LIST": {"page": 0, "entries": [entry(worker) for worker in workers]}},
        {"REGISTRY": {"how": "restored", "index": 1, "page": 0}},
    )  # fmt: skip


ORDER = {"ORDER": {"corr": "00000000000000aa", "class": 0, "patience-left-ns": 500_000_000}}


def test_new_instance_requests_the_list_and_sends_arrivals() -> None:
    host, first = start_instance("10.0.0.1:5000")
    assert {"STREAM_CHANGES": {"want": True}} in first
    assert {"ATTEMPT": {"corr": "00000000000000aa", "worker": "10.0.0.1:5000"}} in send_messages(
        host, 5, ORDER
    )


def test_page_number_may_be_reused_within_a_batch() -> None:
    host, _ = start_instance()
    replies = send_messages(
        host, 5,
        {"DEFINE_LIST": {"page": 3, "entries": [entry("a:1")]}},
        {"REGISTRY": {"how": "replace", "index": 2, "page": 3}},
        {"DEFINE_LIST": {"page": 3, "entries": [entry("b:1")]}},
        {"REGISTRY": {"how": "replace", "index": 3, "page": 3}},
        ORDER,
    )  # fmt: skip
    assert [reply["ATTEMPT"]["worker"] for reply in replies if "ATTEMPT" in reply] == ["b:1"]


def test_retired_instance_may_restart_in_the_same_batch() -> None:
    host, _ = start_instance("a:1")
    send_messages(host, 5, ORDER)
    replies = send_messages(host, 10, {"RETIRE": {}}, {"NEW_INSTANCE": {"salt": 6, "facts": FACTS}})
    assert {"STREAM_CHANGES": {"want": True}} in replies
    assert not host.instances["dispatcher/0"].requests


def test_failed_list_call_is_repeated_with_growing_delays() -> None:
    host, _ = start_instance("a:1")
    waits = []
    for k in range(3):
        (wake,) = send_messages(host, k, {"REGISTRY": {"how": "unavailable", "index": 0}})
        waits.append(wake["WAKE_ME"]["from-now-ns"])
        assert send_messages(host, k, {"TIMER": {"ctx": wake["WAKE_ME"]["ctx"]}}) == [
            {"STREAM_CHANGES": {"want": True}}
        ]
    assert waits[0] < waits[1] < waits[2]


def test_instances_share_no_state() -> None:
    host, _ = start_instance("a:1")
    send_messages(host, 5, {"NEW_INSTANCE": {"salt": 5, "facts": FACTS}}, name="dispatcher/1")
    assert not [reply for reply in send_messages(host, 6, ORDER, name="dispatcher/1") if "ATTEMPT" in reply]


@pytest.mark.parametrize(
    "line, word",
    [
        ("{", "malformed"),
        ('{"parts":[]}', "now-ns"),
        (
            '{"now-ns":1,"parts":[{"dispatcher-id":"d/0","arrivals":[{"LEFT":{"corr":"x"}}]}]}',
            "unknown instance",
        ),
    ],
)
def test_malformed_line_ends_the_process_with_one_line_on_stderr(
    line: str, word: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert drill.main(io.StringIO(line + "\n"), io.StringIO()) == 1
    error = capsys.readouterr().err
    assert error.count("\n") == 1 and word in error


def test_unknown_message_is_named() -> None:
    host, _ = start_instance()
    with pytest.raises(drill.WireError, match="GREETING"):
        send_messages(host, 5, {"GREETING": {}})


def test_end_of_input_gives_status_0_and_empty_batches_are_answered() -> None:
    sink = io.StringIO()
    assert drill.main(io.StringIO('{"now-ns":1,"parts":[]}\n'), sink) == 0
    assert sink.getvalue() == '{"parts":[]}\n'


def test_invalid_load_reports_probes_and_peer_messages_are_ignored() -> None:
    host, _ = start_instance("a:1")
    send_messages(host, 5, ORDER)
    outcome = {"corr": "00000000000000aa", "hop": 0, "worker": "a:1", "verdict": "ok", "over": True}
    assert send_messages(host, 6, {"RESOLVED": outcome | {"took-ns": 1, "usage": {"x0": "nonsense"}}}) == []
    assert (
        send_messages(
            host, 7, {"CHECK_RESULT": {"worker": "a:1"}}, {"WHISPER": {"origin-peer": 1, "data": "?"}}
        )
        == []
    )


def test_close_action_is_written_as_release() -> None:
    assert drill.write_action(i.Close("a:1")) == {"RELEASE": {"worker": "a:1"}}
    changed_facts = FACTS | {"bounds": {"conn-idle-ns": 7_000_000_000}}
    assert platform_data.read_settings(changed_facts).idle_timeout == pytest.approx(7.0)


@pytest.mark.parametrize("allowed, fields", [(True, {"not-before-for-ns": 250_000_000}), (False, {})])
def test_retry_delay_is_written_only_if_the_settings_allow_it(allowed: bool, fields: Any) -> None:
    settings = platform_data.read_settings(FACTS | {"bounds": {"attempts-cap": 1, "retry-after": allowed}})
    assert drill.write_action(i.Refuse("x", 0.25), settings.advise_retry_after) == {
        "OVERLOAD_REPLY": {"corr": "x"} | fields
    }


def test_settings_contain_zones_and_the_connect_timeout() -> None:
    changed_facts = FACTS | {"zones": ["a", "b"], "bounds": {"connect-timeout-ns": 150_000_000}}
    settings = platform_data.read_settings(changed_facts)
    assert settings.zones == ("a", "b") and settings.connect_timeout == pytest.approx(0.15)
