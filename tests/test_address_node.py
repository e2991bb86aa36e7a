"""Dispatcher processes on loopback: a short form of benchmarks/address.py, configuration errors, announcers,
and the feature switched off."""

import json
import os
import signal
import socket
import stat
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from test_cli import VALID_CONFIG

from benchmarks.address import JobClients
from wickgw.address.keys import add_key
from wickgw.emulator.dispatcher_processes import ADDRESS_NAME, DispatcherProcesses, free_port
from wickgw.emulator.probe import AddressProbe

MAX_OVERLAP_S = 0.02  # as a client measures it: holders never overlap, but reading an answer takes time
MAX_RECOVERY_S = 3.0
PAUSE = threading.Event()  # never set: waiting for it is a pause


@pytest.fixture(scope="module")
def trio(tmp_path_factory: pytest.TempPathFactory) -> Iterator[DispatcherProcesses]:
    instances = DispatcherProcesses(tmp_path_factory.mktemp("trio"), job_run_s=0.03)
    instances.start()
    yield instances
    instances.close()


@pytest.fixture
def probe(trio: DispatcherProcesses) -> Iterator[AddressProbe]:
    trio.wait_until_settled(20)
    probe = AddressProbe(trio.service_address, ADDRESS_NAME)
    probe.wait_for_answer(None, time.monotonic())
    yield probe
    probe.close()


def test_killed_holder_is_replaced(trio: DispatcherProcesses, probe: AddressProbe) -> None:
    holder, start = trio.wait_for_holder(), time.monotonic()
    trio.kill(holder)
    assert probe.wait_for_answer(None, start, excluding=holder).answered_at - start < MAX_RECOVERY_S
    trio.start(holder)
    assert probe.longest_overlap_s() <= MAX_OVERLAP_S


@pytest.mark.parametrize("seconds", [0.08, 3.0])
def test_stalled_holder_does_not_answer_once_another_holds_the_address(
    trio: DispatcherProcesses, probe: AddressProbe, seconds: float
) -> None:
    holder, start = trio.wait_for_holder(), time.monotonic()
    trio.stall(holder, seconds)
    woken_at = time.monotonic()
    seen = probe.wait_for_answer(None, woken_at)
    assert (seen.name == holder) is (seconds < 0.5)
    if seconds > 1:
        assert probe.wait_for_answer(None, start, excluding=holder).answered_at - start < MAX_RECOVERY_S
        trio.wait_for_holder(excluding=holder)
    PAUSE.wait(0.3)
    assert probe.longest_overlap_s() <= MAX_OVERLAP_S


def test_only_the_majority_serves_the_address_in_a_partition(
    trio: DispatcherProcesses, probe: AddressProbe
) -> None:
    holder, start = trio.wait_for_holder(), time.monotonic()
    trio.relay.isolate(holder)
    first_answer = probe.wait_for_answer(None, start, excluding=holder)
    PAUSE.wait(1.0)  # time for both parts to answer
    status = trio.status(holder)
    trio.relay.heal()
    assert first_answer.answered_at - start < MAX_RECOVERY_S and probe.longest_overlap_s() <= MAX_OVERLAP_S
    assert status is not None and "no majority" in status["addresses"][ADDRESS_NAME]["why"]  # type: ignore[index]
    assert not [
        seen for seen in probe.answers if seen.name == holder and seen.sent_at > first_answer.answered_at
    ]


def test_holder_that_hears_no_other_instance_loses_the_address(
    trio: DispatcherProcesses, probe: AddressProbe
) -> None:
    """All instances hear the holder, but the holder hears none of them. Unless the holder stops asking for
    votes, its voters stay bound to it for ever."""
    holder, start = trio.wait_for_holder(), time.monotonic()
    trio.relay.block(*((other, holder) for other in trio.names if other != holder))
    first_answer = probe.wait_for_answer(None, start, excluding=holder, timeout_s=6)
    trio.relay.heal()
    assert first_answer.answered_at - start < MAX_RECOVERY_S and probe.longest_overlap_s() <= MAX_OVERLAP_S


def test_planned_handover_loses_no_request_and_leaves_no_gap(
    trio: DispatcherProcesses, probe: AddressProbe
) -> None:
    holder, jobs = trio.wait_for_holder(), JobClients(trio.service_address, 4)
    PAUSE.wait(0.3)
    start = time.monotonic()
    trio.signal(holder, signal.SIGTERM)
    first_answer = probe.wait_for_answer(None, start, excluding=holder)
    PAUSE.wait(0.4)
    jobs.close()
    assert not jobs.lost and {status for _, status in jobs.answers} == {200}
    assert probe.longest_outage_s(start, first_answer.answered_at + 0.2) <= 0.1
    run_counts = [count for worker in trio.workers for count in worker.run_counts.values()]
    assert max(run_counts) == 1
    assert trio.processes[holder].wait(10) == 0
    trio.start(holder)


def test_instance_with_a_wrong_key_neither_votes_nor_serves(trio: DispatcherProcesses) -> None:
    trio.wait_until_settled(20)
    name = next(candidate for candidate in trio.names if candidate != trio.wait_for_holder())
    trio.kill(name)
    wrong_key = trio.folder / "wrong.key"
    add_key(wrong_key)
    ini_path = trio.folder / f"{name}.ini"
    valid_text = ini_path.read_text()
    ini_path.write_text(valid_text.replace(str(trio.key_file), str(wrong_key)))
    trio.start(name)
    deadline = time.monotonic() + 10
    while not (status := trio.status(name)) or not status["wire"].get("dropped.unknown-key"):  # type: ignore[attr-defined]
        assert time.monotonic() < deadline
    assert all(member["state"] == "dead" for member in status["members"].values())  # type: ignore[attr-defined]
    ini_path.write_text(valid_text)
    trio.signal(name, signal.SIGHUP)  # the reload applies the right key
    trio.wait_until_settled(20)


def test_reload_reports_the_settings_that_it_does_not_apply(trio: DispatcherProcesses) -> None:
    holder = trio.wait_until_settled(20)
    ini_path = trio.folder / f"{holder}.ini"
    text = ini_path.read_text()
    ini_path.write_text(text.replace("hold_down_s = 1", "hold_down_s = 2\nbeat_ms = 120"))
    trio.signal(holder, signal.SIGHUP)
    deadline, log_path = time.monotonic() + 10, trio.folder / f"{holder}.log"
    while "address.reloaded" not in log_path.read_text():
        assert time.monotonic() < deadline
    line = next(
        entry
        for entry in log_path.read_text().splitlines()
        if "address.reloaded" in entry and "beat_ms" in entry
    )
    assert 'not_taken="[address] beat_ms"' in line
    ini_path.write_text(text)


def test_status_says_that_the_address_is_in_use_and_an_instance_takes_it_later(tmp_path: Path) -> None:
    instances = DispatcherProcesses(tmp_path)
    try:
        with socket.create_server(instances.service_address):  # without SO_REUSEPORT: no instance can bind
            instances.start()
            deadline = time.monotonic() + 20
            while True:
                statuses = [instances.status(name) for name in instances.names]
                reasons = [status["addresses"][ADDRESS_NAME]["why"] for status in statuses if status]  # type: ignore[index]
                if any("Address already in use" in reason for reason in reasons):
                    break
                assert time.monotonic() < deadline, reasons
        assert instances.wait_for_holder(40)
    finally:
        instances.close()


ANNOUNCER_SCRIPT = """#!/bin/sh
echo "$@" >> {folder}/calls
[ "$1" = add ] && [ -e {folder}/fail ] && {{ echo no such network >&2; exit 3; }}
[ "$1" = add ] && [ -e {folder}/hang ] && exec {python} -c 'import signal; signal.pause()'
exit 0
"""


def test_announcer_program_that_fails_or_times_out_keeps_the_address_from_being_held(tmp_path: Path) -> None:
    program = tmp_path / "move"
    program.write_text(ANNOUNCER_SCRIPT.format(folder=tmp_path, python=sys.executable))
    program.chmod(program.stat().st_mode | stat.S_IXUSR)
    extra = f"announce = program\nprogram = {program}\nprogram_timeout_ms = 300"
    instances = DispatcherProcesses(tmp_path, service_options=extra)
    (tmp_path / "fail").touch()
    try:
        instances.start()
        logs = [tmp_path / f"{name}.log" for name in instances.names]

        def wait_for(text: str) -> None:
            deadline = time.monotonic() + 20
            while not any(text in log.read_text() for log in logs if log.exists()):
                assert time.monotonic() < deadline, text

        wait_for("ended with 3: no such network")
        (tmp_path / "fail").rename(tmp_path / "hang")
        wait_for("took longer than 0.3 s")
        assert not any("lease.held" in log.read_text() for log in logs)
        (tmp_path / "hang").unlink()
        holder = instances.wait_for_holder(40)
        instances.signal(holder, signal.SIGTERM)
        assert instances.processes[holder].wait(20) == 0
        calls = [line.split() for line in (tmp_path / "calls").read_text().splitlines()]
        at = "{}:{}".format(*instances.service_address)
        assert all(call[1:3] == [ADDRESS_NAME, at] and int(call[3]) for call in calls)
        assert {call[0] for call in calls} == {"add", "remove"}
    finally:
        instances.close()


def run_check(path: Path, text: str) -> str:
    """Write the INI file and its key file, run `wickgw check`, and return its output or its error line."""
    add_key(path.with_suffix(".key"))
    text = text.replace("KEY", str(path.with_suffix(".key")))
    path.write_text(text)
    config = path.with_suffix(".json")
    config.write_text(json.dumps(VALID_CONFIG))
    completed = subprocess.run(
        [sys.executable, "-m", "wickgw", "check", "--ini", str(path)],
        env=os.environ | {"RELAY_CONFIG": str(config)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode in (0, 2) and (
        completed.returncode == 0 or completed.stderr.count("\n") == 1
    ), completed.stderr
    return completed.stderr or completed.stdout


VALID_INI = """[address]
enabled = yes
members = n0=127.0.0.1:7401 n1=127.0.0.1:7402 n2=127.0.0.1:7403
key_file = KEY
[address:labels]
at = 127.0.0.1:8080
prefer = n1
"""


def test_check_prints_the_addresses_of_a_valid_file(tmp_path: Path) -> None:
    assert "labels at 127.0.0.1:8080, preferred by n1" in run_check(tmp_path / "w.ini", VALID_INI)


@pytest.mark.parametrize(
    "old, new, phrases",
    [
        ("enabled = yes", "enabled = perhaps", ("[address] enabled: 'perhaps' read",)),
        (" n2=127.0.0.1:7403", "", ("[address] members:", "at least 3")),
        ("n2=127.0.0.1:7403", "n2=127.0.0.1:7402", ("members: a different HOST:PORT",)),
        ("n2=127.0.0.1:7403", "n2=nowhere", ("members.n2: 'nowhere' read", "IPv4 address and a port")),
        ("key_file", "lease_ms = 5\nkey_file", ("lease_ms: '5' read", "greater than or equal to 300")),
        ("key_file", "lease_ms = 700\nbeat_ms = 200\nkey_file", ("at least 4 beats (800)",)),
        ("key_file", "speed = 9\nkey_file", ("[address] speed: no such key",)),
        ("key_file = KEY\n", "", ("[address] key_file: missing",)),
        ("prefer = n1", "prefer = n9", ("prefer of labels: 'n9' is no member",)),
        ("prefer = n1", "announce = program", ("[address:labels]", "program is allowed, and needed")),
        ("at = 127.0.0.1:8080\n", "", ("[address:labels] at: missing",)),
        ("[address:labels]", "[labels]", ("[labels]: unknown",)),
        ("[address]\n", "", ("no section headers",)),
        ("prefer = n1", "at = 127.0.0.1:1", ("option 'at' in section", "already exists")),
    ],
)
def test_invalid_file_is_reported_in_one_line_with_section_key_and_allowed_values(
    old: str, new: str, phrases: tuple[str, ...], tmp_path: Path
) -> None:
    assert old in VALID_INI
    message = run_check(tmp_path / "w.ini", VALID_INI.replace(old, new))
    assert message.startswith("wickgw: ") and "w.ini" in message
    assert all(phrase in message for phrase in phrases), message


@pytest.mark.parametrize(
    "change, phrase",
    [
        (lambda text, path: text.replace("n0=", "n7="), "'n0' read; one of the members"),
        (lambda text, path: text.replace("KEY", "/nonexistent/key"), "No such file"),
        (lambda text, path: text.replace("n0=127.0.0.1:7401", f"n0=127.0.0.1:{path}"), "in use"),
    ],
)
def test_serve_that_cannot_start_prints_one_line_and_exits_with_2(  # type: ignore[no-untyped-def]
    change, phrase: str, tmp_path: Path
) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound_socket:
        bound_socket.bind(("127.0.0.1", 0))
        path = tmp_path / "w.ini"
        add_key(path.with_suffix(".key"))
        text = change(VALID_INI, bound_socket.getsockname()[1]).replace("KEY", str(path.with_suffix(".key")))
        path.write_text(text)
        (tmp_path / "c.json").write_text(json.dumps(VALID_CONFIG))
        completed = subprocess.run(
            [sys.executable, "-m", "wickgw", "serve", "--ini", str(path)],
            env=os.environ | {"RELAY_CONFIG": str(tmp_path / "c.json")},
            capture_output=True,
            text=True,
            timeout=60,
        )
    lines = [line for line in completed.stderr.splitlines() if line.startswith("wickgw: ")]
    assert completed.returncode == 2 and len(lines) == 1 and phrase in lines[0], completed.stderr


def test_disabled_feature_is_not_imported() -> None:
    """Without a section that enables it, neither the package nor the schema of the INI file is imported."""
    code = """
import sys
import wickgw.cli, wickgw.node
from wickgw.config.ini import read_ini
assert read_ini(None) is None
unused = ("wickgw.address", "wickgw.emulator", "wickgw.routing", "pydantic")
imported = [name for name in sys.modules if name.startswith(unused)]
assert not imported, imported
"""
    root = Path(__file__).parent.parent
    subprocess.run([sys.executable, "-c", code], check=True, cwd=root, timeout=60)


def test_status_command_prints_the_status_or_one_error_line(trio: DispatcherProcesses) -> None:
    holder = trio.wait_until_settled(20)

    def status(endpoint: str, *more_options: str) -> "subprocess.CompletedProcess[str]":
        command = [sys.executable, "-m", "wickgw", "address", "status", "--at", endpoint, *more_options]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    holder_endpoint = "{}:{}".format(*trio.listen_addresses[holder])
    assert f"{ADDRESS_NAME}: held, lease for" in status(holder_endpoint).stdout
    assert json.loads(status(holder_endpoint, "--json").stdout)["me"] == holder
    assert status("nowhere").returncode == 2
    unreachable = status(f"127.0.0.1:{free_port(socket.SOCK_STREAM)}")
    assert unreachable.returncode == 1 and unreachable.stderr.count("\n") == 1


def test_restart_with_a_state_file_votes_at_once_and_an_unwritable_file_is_survived(tmp_path: Path) -> None:
    instances = DispatcherProcesses(tmp_path)
    for name in instances.names:
        ini_path = tmp_path / f"{name}.ini"
        state_file = tmp_path / f"{name}.votes" if name != "c" else tmp_path / "none" / "votes"
        ini_path.write_text(
            ini_path.read_text().replace("hold_down_s", f"state_file = {state_file}\nhold_down_s")
        )
    try:
        instances.start()
        holder = instances.wait_until_settled(20)
        voter = next(name for name in "ab" if name != holder)
        assert "state.unknown" in (tmp_path / f"{voter}.log").read_text()
        # The other two form a majority, so this voter may still be quiet and have no votes to read back.
        deadline = time.monotonic() + 20
        while not (tmp_path / f"{voter}.votes").exists():
            assert time.monotonic() < deadline
        instances.kill(voter)
        instances.start(voter)
        deadline, log_path = time.monotonic() + 20, tmp_path / f"{voter}.log"
        while log_path.read_text().count("group.began") < 2:
            assert time.monotonic() < deadline
        lines = [line for line in log_path.read_text().splitlines() if "group.began" in line]
        assert "quiet_s=1.515" in lines[0] and "quiet_s=0.0" in lines[1]
        assert instances.wait_for_holder() == holder
        # c can't write its votes: it must log that, go on without a file, and still count for the majority.
        if holder != "c":
            instances.kill(holder)
            instances.wait_for_holder(20, excluding=holder)
        deadline = time.monotonic() + 20
        while "state.failed" not in (tmp_path / "c.log").read_text():
            assert time.monotonic() < deadline
    finally:
        instances.close()
