"""Subsetting in service: real sockets, the operator's keys, and what it costs where it is off."""

import os
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import pytest
from routes import Serving
from scenario import PATIENCE

from wickgw import interface as i
from wickgw.config.ini import read_ini
from wickgw.config.relay import ConfigError
from wickgw.emulator.worker import Worker
from wickgw.net.pool_server import PoolServer

COUNT, FLEET = 300, 60
DISPATCHERS = " ".join(f"n{n}={'east' if n % 2 else 'west'}" for n in range(FLEET))
INI = f"[subsetting]\nenabled = yes\nworkers = {COUNT}\nlargest_whole_view = 0\ndispatchers = {DISPATCHERS}\n"
ROUTES = "[pool:all]\n[route:all]\npools = all\n"


class Fleet(Serving):
    """One of sixty dispatchers; a stand-in answers for each of 300 workers of the list."""

    def __init__(self, folder: Path, text: str) -> None:
        super().__init__(folder, ROUTES + text)
        self.wait_until_read()

    def list(self, **states: str) -> dict[str, object]:
        kinds = list(self.workers.values())
        targets = [
            kinds[n % len(kinds)].listed()
            | {"uid": f"s-{n:04x}", "az": ("west", "east")[n % 2], "state": states.get(f"s-{n:04x}", "ready")}
            for n in range(COUNT)
        ]
        return {"rev": 1, "all": True, "targets": targets}

    @property
    def pool(self) -> PoolServer:
        return self.node.pools.servers["all"]

    def tell(self, **states: str) -> None:
        super().tell(**states)
        self.wait_until_read()

    def change(self, targets: Sequence[dict[str, object]]) -> None:
        """News of some workers of the list."""
        read = self.node.discovery.reader.decode({"rev": 2, "all": False, "targets": targets}).targets
        self.run(lambda: self.node._on_update(i.ListKind.UPDATE, read))
        self.wait_until_read()

    def targets(self, **states: str) -> Sequence[dict[str, object]]:
        """The list's entries."""
        targets: Any = self.list(**states)["targets"]
        return tuple(targets)

    def wait_until_read(self) -> None:
        """A list this long is taken over several turns of the loop."""
        began = time.monotonic()
        while self.run(self.is_reading):
            assert time.monotonic() < began + PATIENCE

    def is_reading(self) -> bool:
        """Whether a part of the list is still to be told."""
        subset = self.pool.subset
        return bool(self.pool._untold) or (subset is not None and not subset.subset.settled)

    def ready(self) -> set[str]:
        """The workers that the decisions may send to, read on the thread of the loop."""
        balancer = self.pool.dispatcher.balancer
        ready = self.run(lambda: {w.id for w in balancer.order if w.ready} | set(balancer.standby))
        assert isinstance(ready, set)
        return ready

    def with_connections(self) -> set[str]:
        """The workers that have, or may get, connections."""
        names = self.run(lambda: set(self.pool.connections.endpoints))
        assert isinstance(names, set)
        return names

    def failed(self) -> object:
        """Whether the subset counts failures in a row of any worker."""
        assert self.pool.subset is not None
        known = self.pool.subset.subset.known
        return self.run(lambda: any(w.failures for w in known.values()))

    def held(self) -> dict[str, Any]:
        report: Any = self.report()
        return dict(report["pools"]["all"]["now"])


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(tmp_path, INI)
    yield made
    made.close()


def test_decisions_and_connections_see_a_subset_and_serve_by_it(fleet: Fleet) -> None:
    held = fleet.held()
    assert held["fleet_workers"] == COUNT and held["subset_substitutes"] == 0
    assert 25 <= len(fleet.ready()) == held["subset_members"] <= 75
    assert fleet.with_connections() == fleet.ready()
    assert [fleet.ask("/look")[0] for _ in range(20)] == [200] * 20


def test_drained_members_get_nothing_more_and_substitutes_serve(fleet: Fleet) -> None:
    members = fleet.ready()
    fleet.tell(**dict.fromkeys(members, "draining"))
    substitutes = fleet.ready()
    assert len(substitutes) >= 30 and not substitutes & members
    assert [fleet.ask("/look")[0] for _ in range(20)] == [200] * 20
    assert members <= fleet.with_connections()  # what runs there ends there
    fleet.tell()
    assert members <= fleet.ready()


def test_most_of_the_fleet_gone_in_one_change_gets_nothing_more(fleet: Fleet) -> None:
    """The change is read over several turns of the loop; by its end those that left are forgotten."""
    left = {target["uid"] for target in fleet.targets()[-8:]}
    gone = {str(target["uid"]): "gone" for target in fleet.targets()[:-8]}
    fleet.change([target for target in fleet.targets(**gone) if target["uid"] in gone])
    assert fleet.ready() <= left and fleet.with_connections() == fleet.ready()
    assert [fleet.ask("/look")[0] for _ in range(20)] == [200] * 20


def test_member_that_is_back_at_another_address_is_asked_there(fleet: Fleet) -> None:
    moved = Worker("moved")
    fleet.workers["moved"] = moved
    fleet.change([target | {"endpoint": moved.listed()["endpoint"]} for target in fleet.targets()])
    assert [fleet.ask("/look") for _ in range(20)] == [(200, "moved")] * 20


def test_members_whose_attempts_fail_are_made_up_for(fleet: Fleet) -> None:
    members = fleet.ready()

    def fail() -> None:
        assert fleet.pool.subset is not None
        for name in members:
            for _ in range(2):
                fleet.pool.subset.attempt_ended(name, i.Verdict.RESET)
            fleet.pool.subset.attempt_ended(name, i.Verdict.CANCELLED)  # tells nothing

    fleet.run(fail)
    assert len(fleet.ready() - members) >= 25


def test_attempts_that_end_on_sockets_are_counted_for_their_worker(fleet: Fleet) -> None:
    for worker in fleet.workers.values():
        worker.close()
    status, _ = fleet.ask("/look")
    assert status == 503
    assert fleet.failed()
    fleet.workers = {"e1": Worker("e1")}  # those that ended are closed


def test_fleet_that_fits_into_a_subset_is_seen_whole(tmp_path: Path) -> None:
    for text in (INI.replace(f"workers = {COUNT}", "workers = 20"), INI.replace("view = 0", "view = 300")):
        fleet = Fleet(tmp_path, text)
        try:
            assert fleet.pool.subset is None and len(fleet.ready()) == COUNT
        finally:
            fleet.close()


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("workers = 0\ndispatchers = n0=a", "workers: '0' read; input should be greater than or equal to 1"),
        ("workers = 9\ndispatchers =", "dispatchers: Dictionary should have at least 1 item"),
        ("workers = 9\ndispatchers = n0=a n1=b n0=a", "each member once is allowed"),
        ("workers = 9\ndispatchers = n0", "NAME=ZONE for each member is allowed"),
        ("dispatchers = n0=a", "workers: missing"),
        ("workers = 9\ndispatchers = n0=a\nsize = 4", "size: no such key"),
    ],
)
def test_wrong_key_is_one_line_that_names_it(tmp_path: Path, text: str, said: str) -> None:
    path = tmp_path / "wickgw.ini"
    path.write_text(f"[subsetting]\nenabled = yes\n{text}\n")
    with pytest.raises(ConfigError) as caught:
        read_ini(path)
    assert str(caught.value).startswith(f"{path}: [subsetting] ") and said in str(caught.value)
    assert "\n" not in str(caught.value)


def test_dispatcher_that_its_own_table_does_not_name_ends_with_one_line(tmp_path: Path) -> None:
    serving = Serving(tmp_path, ROUTES)  # for its configuration and list
    serving.close()
    path = tmp_path / "wickgw.ini"
    path.write_text(INI.replace("n0=west ", ""))
    environ = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "WICKGW_"))}
    environ |= {"RELAY_CONFIG": str(serving.config), "WICKGW_INI": str(path)}
    done = subprocess.run(
        [sys.executable, "-m", "wickgw", "serve"], env=environ, capture_output=True, timeout=PATIENCE
    )
    lines = done.stderr.decode().splitlines()
    assert done.returncode == 2 and len(lines) == 1
    assert lines[0].startswith(f"wickgw: {path}: [subsetting] dispatchers: 'n0', this dispatcher's name")


def test_what_is_off_is_not_imported() -> None:
    code = "import sys, wickgw.node; print([m for m in sys.modules if 'subset' in m])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, timeout=PATIENCE)
    assert done.stdout.decode().strip() == "[]"
