"""Subsetting in a running dispatcher: real sockets, the keys of [subsetting], and no import when disabled."""

import os
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import pytest
from routes import RoutedDispatcher
from scenario import TIMEOUT_S

from wickgw import interface as i
from wickgw.config.ini import read_ini
from wickgw.config.relay import ConfigError
from wickgw.emulator.worker import EmulatedWorker
from wickgw.net.pool_server import PoolServer

WORKERS, DISPATCHERS = 300, 60
ZONES = " ".join(f"n{number}={'east' if number % 2 else 'west'}" for number in range(DISPATCHERS))
INI = f"[subsetting]\nenabled = yes\nworkers = {WORKERS}\nlargest_whole_view = 0\ndispatchers = {ZONES}\n"
ROUTES = "[pool:all]\n[route:all]\npools = all\n"


class Fleet(RoutedDispatcher):
    """One of 60 dispatchers with a list of 300 workers, which are served by a few emulated workers."""

    def __init__(self, folder: Path, text: str) -> None:
        super().__init__(folder, ROUTES + text)
        self.wait_until_read()

    def worker_list(self, **states: str) -> dict[str, object]:
        emulated = list(self.workers.values())
        targets = [
            emulated[number % len(emulated)].list_entry()
            | {
                "uid": f"s-{number:04x}",
                "az": ("west", "east")[number % 2],
                "state": states.get(f"s-{number:04x}", "ready"),
            }
            for number in range(WORKERS)
        ]
        return {"rev": 1, "all": True, "targets": targets}

    @property
    def pool(self) -> PoolServer:
        return self.node.pools.servers["all"]

    def update_list(self, **states: str) -> None:
        super().update_list(**states)
        self.wait_until_read()

    def change(self, targets: Sequence[dict[str, object]]) -> None:
        """Deliver an update for some workers of the list."""
        decoded = self.node.discovery.reader.decode({"rev": 2, "all": False, "targets": targets}).targets
        self.call_in_loop(lambda: self.node._on_update(i.ListKind.UPDATE, decoded))
        self.wait_until_read()

    def targets(self, **states: str) -> Sequence[dict[str, object]]:
        """Return the entries of the list."""
        targets: Any = self.worker_list(**states)["targets"]
        return tuple(targets)

    def wait_until_read(self) -> None:
        """Wait until the list is processed; a long list takes several iterations of the event loop."""
        started = time.monotonic()
        while self.call_in_loop(self.is_reading):
            assert time.monotonic() < started + TIMEOUT_S

    def is_reading(self) -> bool:
        """Whether a part of the list is not processed yet."""
        subset = self.pool.subset
        return bool(self.pool._queued_parts) or (subset is not None and not subset.subset.settled)

    def ready(self) -> set[str]:
        """Return the workers that the decision module may select, read on the event loop's thread."""
        balancer = self.pool.dispatcher.balancer
        ready = self.call_in_loop(
            lambda: {state.id for state in balancer.members if state.ready} | set(balancer.standby)
        )
        assert isinstance(ready, set)
        return ready

    def connected(self) -> set[str]:
        """Return the workers that have, or may get, connections."""
        names = self.call_in_loop(lambda: set(self.pool.connections.endpoints))
        assert isinstance(names, set)
        return names

    def has_failures(self) -> object:
        """Return whether the subset counts consecutive failures of any worker."""
        assert self.pool.subset is not None
        known = self.pool.subset.subset.known
        return self.call_in_loop(lambda: any(worker.failures for worker in known.values()))

    def gauges(self) -> dict[str, Any]:
        report: Any = self.report()
        return dict(report["pools"]["all"]["now"])


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    running = Fleet(tmp_path, INI)
    yield running
    running.close()


def test_decisions_and_connections_use_only_the_subset(fleet: Fleet) -> None:
    gauges = fleet.gauges()
    assert gauges["fleet_workers"] == WORKERS and gauges["subset_substitutes"] == 0
    assert 25 <= len(fleet.ready()) == gauges["subset_members"] <= 75
    assert fleet.connected() == fleet.ready()
    assert [fleet.send_job("/look")[0] for _ in range(20)] == [200] * 20


def test_drained_members_get_no_more_jobs_and_substitutes_serve(fleet: Fleet) -> None:
    members = fleet.ready()
    fleet.update_list(**dict.fromkeys(members, "draining"))
    substitutes = fleet.ready()
    assert len(substitutes) >= 30 and not substitutes & members
    assert [fleet.send_job("/look")[0] for _ in range(20)] == [200] * 20
    assert members <= fleet.connected()  # running jobs finish on their worker
    fleet.update_list()
    assert members <= fleet.ready()


def test_workers_removed_in_one_large_update_get_no_more_jobs(fleet: Fleet) -> None:
    """The update takes several iterations of the event loop; afterwards no removed worker is selected."""
    left = {target["uid"] for target in fleet.targets()[-8:]}
    gone = {str(target["uid"]): "gone" for target in fleet.targets()[:-8]}
    fleet.change([target for target in fleet.targets(**gone) if target["uid"] in gone])
    assert fleet.ready() <= left and fleet.connected() == fleet.ready()
    assert [fleet.send_job("/look")[0] for _ in range(20)] == [200] * 20


def test_member_with_a_new_address_gets_jobs_at_that_address(fleet: Fleet) -> None:
    moved = EmulatedWorker("moved")
    fleet.workers["moved"] = moved
    fleet.change([target | {"endpoint": moved.list_entry()["endpoint"]} for target in fleet.targets()])
    assert [fleet.send_job("/look") for _ in range(20)] == [(200, "moved")] * 20


def test_members_whose_attempts_fail_are_replaced(fleet: Fleet) -> None:
    members = fleet.ready()

    def fail() -> None:
        assert fleet.pool.subset is not None
        for name in members:
            for _ in range(2):
                fleet.pool.subset.attempt_ended(name, i.Verdict.RESET)
            fleet.pool.subset.attempt_ended(name, i.Verdict.CANCELLED)  # not counted

    fleet.call_in_loop(fail)
    assert len(fleet.ready() - members) >= 25


def test_attempts_that_fail_on_sockets_are_counted_for_their_worker(fleet: Fleet) -> None:
    for worker in fleet.workers.values():
        worker.close()
    status, _ = fleet.send_job("/look")
    assert status == 503
    assert fleet.has_failures()
    fleet.workers = {"e1": EmulatedWorker("e1")}  # the others are closed already


def test_fleet_that_fits_into_a_subset_is_used_whole(tmp_path: Path) -> None:
    for text in (
        INI.replace(f"workers = {WORKERS}", "workers = 20"),
        INI.replace("view = 0", "view = 300"),
    ):
        fleet = Fleet(tmp_path, text)
        try:
            assert fleet.pool.subset is None and len(fleet.ready()) == WORKERS
        finally:
            fleet.close()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("workers = 0\ndispatchers = n0=a", "workers: '0' read; input should be greater than or equal to 1"),
        ("workers = 9\ndispatchers =", "dispatchers: Dictionary should have at least 1 item"),
        ("workers = 9\ndispatchers = n0=a n1=b n0=a", "each member once is allowed"),
        ("workers = 9\ndispatchers = n0", "NAME=ZONE for each member is allowed"),
        ("dispatchers = n0=a", "workers: missing"),
        ("workers = 9\ndispatchers = n0=a\nsize = 4", "size: no such key"),
    ],
)
def test_invalid_key_is_reported_in_one_line_that_names_it(tmp_path: Path, text: str, message: str) -> None:
    path = tmp_path / "wickgw.ini"
    path.write_text(f"[subsetting]\nenabled = yes\n{text}\n")
    with pytest.raises(ConfigError) as caught:
        read_ini(path)
    assert str(caught.value).startswith(f"{path}: [subsetting] ") and message in str(caught.value)
    assert "\n" not in str(caught.value)


def test_dispatcher_missing_from_its_own_list_exits_with_one_line(tmp_path: Path) -> None:
    serving = RoutedDispatcher(tmp_path, ROUTES)  # only for its configuration and list
    serving.close()
    path = tmp_path / "wickgw.ini"
    path.write_text(INI.replace("n0=west ", ""))
    environ = {key: value for key, value in os.environ.items() if not key.startswith(("RELAY_", "WICKGW_"))}
    environ |= {"RELAY_CONFIG": str(serving.config), "WICKGW_INI": str(path)}
    done = subprocess.run(
        [sys.executable, "-m", "wickgw", "serve"], env=environ, capture_output=True, timeout=TIMEOUT_S
    )
    lines = done.stderr.decode().splitlines()
    assert done.returncode == 2 and len(lines) == 1
    assert lines[0].startswith(f"wickgw: {path}: [subsetting] dispatchers: 'n0', this dispatcher's name")


def test_subsetting_is_not_imported_when_disabled() -> None:
    code = "import sys, wickgw.node; print([m for m in sys.modules if 'subset' in m])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, timeout=TIMEOUT_S)
    assert done.stdout.decode().strip() == "[]"
