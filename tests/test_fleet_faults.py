"""Several processes of the program, one stand-in discovery for all, and what goes wrong with it or with the
machine."""

import http.client
import json
import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from wickgw.emulator.group import Instances
from wickgw.emulator.roster import Roster
from wickgw.emulator.worker import Worker

PATIENCE = 15.0


class Fleet:
    """Five dispatchers without addresses that move, four workers of which the list names three at first."""

    def __init__(
        self, folder: Path, known: list[dict[str, object]] | None = None, mode: Any = "speaks"
    ) -> None:
        self.workers = [Worker(f"w{n}") for n in range(4)]
        listed = [w.listed() for w in self.workers[:3]]
        self.roster = Roster(listed)
        self.roster.turn(mode)
        self.instances = Instances(
            folder, 5, on=False, discovery=self.roster.endpoint, known=listed if known is None else known
        )
        self.instances.start()
        self.serial = 0
        self.until(lambda: all(self.get(name, "/-/ready")[0] == 200 for name in self.instances.names))

    def get(self, name: str, page: str) -> tuple[int, bytes]:
        return self._ask(name, "GET", page, {}, PATIENCE)

    def job(self, name: str, cls: str = "once", ms: int = 2000) -> tuple[int, bytes]:
        self.serial += 1
        fields = {"Req-Id": f"j{self.serial}", "Req-Deadline-Ms": str(ms)}
        return self._ask(name, "POST", f"/{cls}", fields, PATIENCE)

    def _ask(
        self, name: str, method: str, page: str, fields: dict[str, str], wait: float
    ) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(*self.instances.own[name], timeout=wait)
        try:
            connection.request(method, page, b"", fields)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def now(self, name: str, what: str) -> Any:
        return json.loads(self.get(name, "/-/counters")[1])["now"][what]

    def until(self, what: Any) -> float:
        """Ask until it is so; the seconds that it took."""
        began = time.monotonic()
        while not what():
            assert time.monotonic() < began + PATIENCE
        return time.monotonic() - began

    def all_at(self, version: int) -> bool:
        return all(self.now(name, "discovery_version") == version for name in self.instances.names)

    def serve_all(self, times: int = 1) -> None:
        for _ in range(times):
            for name in self.instances.names:
                status, body = self.job(name)
                assert status == 200 and body.startswith(b"made j"), (name, status)

    def ran(self, *workers: Worker) -> list[int]:
        return [sum(w.runs.values()) for w in workers]

    def close(self) -> None:
        self.instances.close()
        self.roster.close()
        for worker in self.workers:
            worker.close()


@contextmanager
def fleet(folder: Path, **more: Any) -> Iterator[Fleet]:
    made = Fleet(folder, **more)
    try:
        yield made
    finally:
        made.close()


def test_discovery_that_stalls_for_all_costs_no_job_and_all_hear_when_it_speaks(tmp_path: Path) -> None:
    with fleet(tmp_path, mode="stalls") as f:
        f.serve_all(4)  # by the list known at the start
        f.roster.change(f.workers[0].listed() | {"state": "draining"}, f.workers[3].listed())
        f.serve_all()
        f.roster.turn("speaks")
        assert f.until(lambda: f.all_at(2)) < 3.0
        before = f.ran(f.workers[0], f.workers[3])
        f.serve_all(8)
        after = f.ran(f.workers[0], f.workers[3])
        assert after[0] == before[0] and after[1] > before[1]
        assert f.roster.calls <= 3 * 5  # a watch each, the next one, and one to spare


def test_discovery_that_refuses_all_is_not_asked_by_all_without_a_pause(tmp_path: Path) -> None:
    with fleet(tmp_path, mode="refuses") as f:
        threading.Event().wait(2.0)  # what is counted is what they do in that time
        calls = f.roster.calls
        f.serve_all()
        assert 5 <= calls <= 5 * 9  # pauses double from 0.05 s: 8 fit into 2 s at the most
        f.roster.change(f.workers[3].listed())
        f.roster.turn("speaks")
        assert f.until(lambda: f.all_at(2)) < 5.0


def test_discovery_that_lost_its_state_takes_nothing_away_until_it_is_sure(tmp_path: Path) -> None:
    """Reset under all, it answers with an older list, without the newest worker, the only one that does not
    drain: believed at once, nobody could serve."""
    with fleet(tmp_path) as f:
        drained = [w.listed() | {"state": "draining"} for w in f.workers[:3]]
        version = f.roster.change(*drained, f.workers[3].listed())
        f.until(lambda: f.all_at(version))
        f.roster.lose_state(version - 1, *drained)
        f.serve_all(2)
        assert f.all_at(version) or f.roster.calls >= 5 * 5  # five whole lists in a row are believed
        f.until(lambda: f.all_at(version - 1))
        assert f.job("a", "once", 300)[0] == 503


def test_worker_that_comes_back_under_its_name_elsewhere_is_found_there_by_all(tmp_path: Path) -> None:
    with fleet(tmp_path) as f:
        f.serve_all(2)
        others = [w.listed() | {"state": "draining"} for w in f.workers[1:3]]
        moved = f.workers[3].listed() | {"uid": "w0", "boot_ms": int(time.time() * 1000) - 60_000}
        version = f.roster.change(*others, moved)
        f.until(lambda: f.all_at(version))
        before = f.ran(*f.workers)
        f.serve_all(3)
        after = f.ran(*f.workers)
        assert after[:3] == before[:3] and after[3] == before[3] + 15


def test_process_that_gets_a_tenth_of_a_core_answers_every_job_in_its_time(tmp_path: Path) -> None:
    """It stands still for 45 ms and runs for 5, again and again: all its timers come late."""
    with fleet(tmp_path) as f:
        stop = threading.Event()

        def starve() -> None:
            while not stop.is_set():
                f.instances.signal("a", signal.SIGSTOP)
                stop.wait(0.045)
                f.instances.signal("a", signal.SIGCONT)
                stop.wait(0.005)

        starving = threading.Thread(target=starve)
        starving.start()
        try:
            for n in range(20):
                began = time.monotonic()
                status, _ = f.job("a", "look" if n % 2 else "once")
                assert status == 200 and time.monotonic() - began < 2.0
        finally:
            stop.set()
            starving.join()
        assert f.job("a")[0] == 200


def test_start_on_a_list_of_800_workers_is_ready_and_serves(tmp_path: Path) -> None:
    peer = Worker("peer")
    listed: list[dict[str, object]] = [peer.listed() | {"uid": f"s-{n}", "az": "east"} for n in range(800)]
    try:
        with fleet(tmp_path, known=listed) as f:
            f.serve_all(2)
            assert sum(peer.runs.values()) == 10 and f.ran(*f.workers) == [0, 0, 0, 0]
    finally:
        peer.close()
