"""Real processes on loopback: the short form of benchmarks/address.py, set-up errors, announcers, and off."""

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

from benchmarks.address import Jobs
from wickgw.address.keys import add_key
from wickgw.emulator.group import ADDRESS, Instances, free_port
from wickgw.emulator.probe import Probe

BOUND = 0.02  # seconds of overlap seen from outside: none but what the client takes to read
BACK = 3.0
PAUSE = threading.Event()


@pytest.fixture(scope="module")
def trio(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Instances]:
    instances = Instances(tmp_path_factory.mktemp("trio"), run_s=0.03)
    instances.start()
    yield instances
    instances.close()


@pytest.fixture
def probe(trio: Instances) -> Iterator[Probe]:
    trio.settled(20)
    probe = Probe(trio.service, ADDRESS)
    probe.wait_for(None, time.monotonic())
    yield probe
    probe.close()


def test_killed_holder_is_replaced(trio: Instances, probe: Probe) -> None:
    holder, start = trio.holder(), time.monotonic()
    trio.kill(holder)
    assert probe.wait_for(None, start, but=holder).answered - start < BACK
    trio.start(holder)
    assert probe.overlap() <= BOUND


@pytest.mark.parametrize("seconds", [0.08, 3.0])
def test_stalled_holder_answers_nothing_that_is_another_s(
    trio: Instances, probe: Probe, seconds: float
) -> None:
    holder, start = trio.holder(), time.monotonic()
    trio.stall(holder, seconds)
    woken = time.monotonic()
    seen = probe.wait_for(None, woken)
    assert (seen.name == holder) is (seconds < 0.5)
    if seconds > 1:
        assert probe.wait_for(None, start, but=holder).answered - start < BACK
        trio.holder(but=holder)
    PAUSE.wait(0.3)
    assert probe.overlap() <= BOUND


def test_split_leaves_the_address_to_the_majority_alone(trio: Instances, probe: Probe) -> None:
    holder, start = trio.holder(), time.monotonic()
    trio.relay.isolate(holder)
    back = probe.wait_for(None, start, but=holder)
    PAUSE.wait(1.0)  # both halves have had their say
    said = trio.status(holder)
    trio.relay.mend()
    assert back.answered - start < BACK and probe.overlap() <= BOUND
    assert said is not None and "no majority" in said["addresses"][ADDRESS]["why"]  # type: ignore[index]
    assert not [s for s in probe.seen if s.name == holder and s.asked > back.answered]


def test_one_way_link_from_the_holder_gives_the_address_up(trio: Instances, probe: Probe) -> None:
    """It is heard by all, and hears nobody: it must stop asking, or its voters would be bound for ever."""
    holder, start = trio.holder(), time.monotonic()
    trio.relay.cut(*((other, holder) for other in trio.names if other != holder))
    back = probe.wait_for(None, start, but=holder, patience=6)
    trio.relay.mend()
    assert back.answered - start < BACK and probe.overlap() <= BOUND


def test_planned_move_loses_no_request_and_leaves_no_gap(trio: Instances, probe: Probe) -> None:
    holder, jobs = trio.holder(), Jobs(trio.service, 4)
    PAUSE.wait(0.3)
    start = time.monotonic()
    trio.signal(holder, signal.SIGTERM)
    back = probe.wait_for(None, start, but=holder)
    PAUSE.wait(0.4)
    jobs.close()
    assert not jobs.lost and {status for _, status in jobs.answers} == {200}
    assert probe.away(start, back.answered + 0.2) <= 0.1
    runs = [count for worker in trio.workers for count in worker.runs.values()]
    assert max(runs) == 1
    assert trio.processes[holder].wait(10) == 0
    trio.start(holder)


def test_wrong_key_neither_votes_nor_serves(trio: Instances) -> None:
    trio.settled(20)
    name = next(n for n in trio.names if n != trio.holder())
    trio.kill(name)
    own = trio.folder / "wrong.key"
    add_key(own)
    ini = trio.folder / f"{name}.ini"
    right = ini.read_text()
    ini.write_text(right.replace(str(trio.key), str(own)))
    trio.start(name)
    end = time.monotonic() + 10
    while not (said := trio.status(name)) or not said["wire"].get("dropped.unknown-key"):  # type: ignore[attr-defined]
        assert time.monotonic() < end
    assert all(m["state"] == "dead" for m in said["members"].values())  # type: ignore[attr-defined]
    ini.write_text(right)
    trio.signal(name, signal.SIGHUP)  # the right key is taken by a reload
    trio.settled(20)


def test_reload_takes_preferences_and_says_what_it_does_not_take(trio: Instances) -> None:
    holder = trio.settled(20)
    ini = trio.folder / f"{holder}.ini"
    before = ini.read_text()
    ini.write_text(before.replace("hold_down_s = 1", "hold_down_s = 2\nbeat_ms = 120"))
    trio.signal(holder, signal.SIGHUP)
    end, log = time.monotonic() + 10, trio.folder / f"{holder}.log"
    while "address.reloaded" not in log.read_text():
        assert time.monotonic() < end
    line = next(x for x in log.read_text().splitlines() if "address.reloaded" in x and "beat_ms" in x)
    assert 'not_taken="[address] beat_ms"' in line
    ini.write_text(before)


def test_address_in_use_goes_to_another_and_the_status_says_why(tmp_path: Path) -> None:
    instances = Instances(tmp_path)
    try:
        with socket.create_server(instances.service):  # without SO_REUSEPORT: nobody else can bind
            instances.start()
            end = time.monotonic() + 20
            while True:
                said = [instances.status(name) for name in instances.names]
                whys = [s["addresses"][ADDRESS]["why"] for s in said if s]  # type: ignore[index]
                if any("Address already in use" in why for why in whys):
                    break
                assert time.monotonic() < end, whys
        assert instances.holder(40)
    finally:
        instances.close()


PROGRAM = """#!/bin/sh
echo "$@" >> {folder}/calls
[ "$1" = add ] && [ -e {folder}/fail ] && {{ echo no such network >&2; exit 3; }}
[ "$1" = add ] && [ -e {folder}/hang ] && exec {python} -c 'import signal; signal.pause()'
exit 0
"""


def test_program_announces_and_its_failure_or_silence_means_not_held(tmp_path: Path) -> None:
    program = tmp_path / "move"
    program.write_text(PROGRAM.format(folder=tmp_path, python=sys.executable))
    program.chmod(program.stat().st_mode | stat.S_IXUSR)
    extra = f"announce = program\nprogram = {program}\nprogram_timeout_ms = 300"
    instances = Instances(tmp_path, service_extra=extra)
    (tmp_path / "fail").touch()
    try:
        instances.start()
        logs = [tmp_path / f"{name}.log" for name in instances.names]

        def wait_for(text: str) -> None:
            end = time.monotonic() + 20
            while not any(text in log.read_text() for log in logs if log.exists()):
                assert time.monotonic() < end, text

        wait_for("ended with 3: no such network")
        (tmp_path / "fail").rename(tmp_path / "hang")
        wait_for("took longer than 0.3 s")
        assert not any("lease.held" in log.read_text() for log in logs)
        (tmp_path / "hang").unlink()
        holder = instances.holder(40)
        instances.signal(holder, signal.SIGTERM)
        assert instances.processes[holder].wait(20) == 0
        calls = [line.split() for line in (tmp_path / "calls").read_text().splitlines()]
        at = "{}:{}".format(*instances.service)
        assert all(call[1:3] == [ADDRESS, at] and int(call[3]) for call in calls)
        assert {call[0] for call in calls} == {"add", "remove"}
    finally:
        instances.close()


def ini(path: Path, text: str) -> str:
    add_key(path.with_suffix(".key"))
    text = text.replace("KEY", str(path.with_suffix(".key")))
    path.write_text(text)
    config = path.with_suffix(".json")
    config.write_text(json.dumps(VALID_CONFIG))
    done = subprocess.run(
        [sys.executable, "-m", "wickgw", "check", "--ini", str(path)],
        env=os.environ | {"RELAY_CONFIG": str(config)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode in (0, 2) and (done.returncode == 0 or done.stderr.count("\n") == 1), done.stderr
    return done.stderr or done.stdout


FINE = """[address]
enabled = yes
members = n0=127.0.0.1:7401 n1=127.0.0.1:7402 n2=127.0.0.1:7403
key_file = KEY
[address:labels]
at = 127.0.0.1:8080
prefer = n1
"""


def test_check_reads_the_file_as_serve_would(tmp_path: Path) -> None:
    assert "labels at 127.0.0.1:8080, preferred by n1" in ini(tmp_path / "w.ini", FINE)


@pytest.mark.parametrize(
    "old, new, words",
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
def test_file_that_will_not_do_is_one_line_with_file_section_key_and_what_is_allowed(
    old: str, new: str, words: tuple[str, ...], tmp_path: Path
) -> None:
    assert old in FINE
    told = ini(tmp_path / "w.ini", FINE.replace(old, new))
    assert told.startswith("wickgw: ") and "w.ini" in told
    assert all(word in told for word in words), told


@pytest.mark.parametrize(
    "change, word",
    [
        (lambda text, path: text.replace("n0=", "n7="), "'n0' read; one of the members"),
        (lambda text, path: text.replace("KEY", "/nonexistent/key"), "No such file"),
        (lambda text, path: text.replace("n0=127.0.0.1:7401", f"n0=127.0.0.1:{path}"), "in use"),
    ],
)
def test_set_up_that_cannot_start_is_one_line_and_exit_2(change, word: str, tmp_path: Path) -> None:  # type: ignore[no-untyped-def]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        path = tmp_path / "w.ini"
        add_key(path.with_suffix(".key"))
        text = change(FINE, taken.getsockname()[1]).replace("KEY", str(path.with_suffix(".key")))
        path.write_text(text)
        (tmp_path / "c.json").write_text(json.dumps(VALID_CONFIG))
        done = subprocess.run(
            [sys.executable, "-m", "wickgw", "serve", "--ini", str(path)],
            env=os.environ | {"RELAY_CONFIG": str(tmp_path / "c.json")},
            capture_output=True,
            text=True,
            timeout=60,
        )
    lines = [line for line in done.stderr.splitlines() if line.startswith("wickgw: ")]
    assert done.returncode == 2 and len(lines) == 1 and word in lines[0], done.stderr


def test_off_costs_nothing() -> None:
    """Neither the subsystem nor the schema is imported where no section turns it on."""
    code = """
import sys
import wickgw.cli, wickgw.node
from wickgw.config.ini import read_ini
assert read_ini(None) is None
off = ("wickgw.address", "wickgw.emulator", "wickgw.routing", "pydantic")
bad = [name for name in sys.modules if name.startswith(off)]
assert not bad, bad
"""
    root = Path(__file__).parent.parent
    subprocess.run([sys.executable, "-c", code], check=True, cwd=root, timeout=60)


def test_status_command_tells_and_fails_plainly(trio: Instances) -> None:
    holder = trio.settled(20)

    def status(at: str, *more: str) -> "subprocess.CompletedProcess[str]":
        command = [sys.executable, "-m", "wickgw", "address", "status", "--at", at, *more]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    where = "{}:{}".format(*trio.own[holder])
    assert f"{ADDRESS}: held, lease for" in status(where).stdout
    assert json.loads(status(where, "--json").stdout)["me"] == holder
    assert status("nowhere").returncode == 2
    gone = status(f"127.0.0.1:{free_port(socket.SOCK_STREAM)}")
    assert gone.returncode == 1 and gone.stderr.count("\n") == 1


def test_state_file_spares_a_restart_its_quiet_time_and_its_loss_is_survived(tmp_path: Path) -> None:
    instances = Instances(tmp_path)
    for name in instances.names:
        ini = tmp_path / f"{name}.ini"
        where = tmp_path / f"{name}.votes" if name != "c" else tmp_path / "none" / "votes"
        ini.write_text(ini.read_text().replace("hold_down_s", f"state_file = {where}\nhold_down_s"))
    try:
        instances.start()
        holder = instances.settled(20)
        voter = next(name for name in "ab" if name != holder)
        assert "state.unknown" in (tmp_path / f"{voter}.log").read_text()
        # The other two are a majority: this one may have been quiet still, and have nothing to find again.
        end = time.monotonic() + 20
        while not (tmp_path / f"{voter}.votes").exists():
            assert time.monotonic() < end
        instances.kill(voter)
        instances.start(voter)
        end, log = time.monotonic() + 20, tmp_path / f"{voter}.log"
        while log.read_text().count("group.began") < 2:
            assert time.monotonic() < end
        lines = [line for line in log.read_text().splitlines() if "group.began" in line]
        assert "quiet_s=1.01" in lines[0] and "quiet_s=0.0" in lines[1]
        assert instances.holder() == holder
        # c can't write its votes: it must say so, go on without a file, and still make a majority.
        if holder != "c":
            instances.kill(holder)
            instances.holder(20, but=holder)
        end = time.monotonic() + 20
        while "state.failed" not in (tmp_path / "c.log").read_text():
            assert time.monotonic() < end
    finally:
        instances.close()
