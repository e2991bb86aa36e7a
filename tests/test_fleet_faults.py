"""Dispatcher processes with one emulated discovery service, under faults of discovery and of the machine."""

import http.client
import json
import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from wickgw.emulator.discovery import EmulatedDiscovery
from wickgw.emulator.dispatcher_processes import DispatcherProcesses
from wickgw.emulator.worker import EmulatedWorker

TIMEOUT_S = 15.0


class Fleet:
    """Five dispatchers without a service address, and four workers of which the list first names three."""

    def __init__(
        self, folder: Path, known: list[dict[str, object]] | None = None, mode: Any = "answers"
    ) -> None:
        self.workers = [EmulatedWorker(f"w{n}") for n in range(4)]
        entries = [worker.list_entry() for worker in self.workers[:3]]
        self.discovery = EmulatedDiscovery(entries)
        self.discovery.set_mode(mode)
        self.dispatchers = DispatcherProcesses(
            folder,
            5,
            address_enabled=False,
            discovery=self.discovery.endpoint,
            known=entries if known is None else known,
        )
        self.dispatchers.start()
        self.serial = 0
        self.wait_until(lambda: all(self.get(name, "/-/ready")[0] == 200 for name in self.dispatchers.names))

    def get(self, name: str, page: str) -> tuple[int, bytes]:
        """Fetch a page of a dispatcher; return status and body."""
        return self._request(name, "GET", page, {}, TIMEOUT_S)

    def send_job(self, name: str, class_name: str = "once", deadline_ms: int = 2000) -> tuple[int, bytes]:
        """Send a job to a dispatcher; return status and body of the answer, status 0 without an answer."""
        self.serial += 1
        fields = {"Req-Id": f"j{self.serial}", "Req-Deadline-Ms": str(deadline_ms)}
        return self._request(name, "POST", f"/{class_name}", fields, TIMEOUT_S)

    def _request(
        self, name: str, method: str, page: str, fields: dict[str, str], timeout_s: float
    ) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(*self.dispatchers.listen_addresses[name], timeout=timeout_s)
        try:
            connection.request(method, page, b"", fields)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def gauge(self, name: str, key: str) -> Any:
        """Return one current value of /-/counters of a dispatcher."""
        return json.loads(self.get(name, "/-/counters")[1])["now"][key]

    def wait_until(self, condition: Any) -> float:
        """Wait until the condition is true; return the seconds that it took."""
        began = time.monotonic()
        while not condition():
            assert time.monotonic() < began + TIMEOUT_S
        return time.monotonic() - began

    def all_have(self, version: int) -> bool:
        """Return whether all dispatchers have this version of the list."""
        return all(self.gauge(name, "discovery_version") == version for name in self.dispatchers.names)

    def send_job_to_all(self, times: int = 1) -> None:
        """Send one job after another to each dispatcher, and check that each is served."""
        for _ in range(times):
            for name in self.dispatchers.names:
                status, body = self.send_job(name)
                assert status == 200 and body.startswith(b"made j"), (name, status)

    def job_counts(self, *workers: EmulatedWorker) -> list[int]:
        """Return how many jobs each worker has run."""
        return [sum(worker.run_counts.values()) for worker in workers]

    def close(self) -> None:
        """End the dispatchers, discovery and the workers."""
        self.dispatchers.close()
        self.discovery.close()
        for worker in self.workers:
            worker.close()


@contextmanager
def running_fleet(folder: Path, **options: Any) -> Iterator[Fleet]:
    fleet = Fleet(folder, **options)
    try:
        yield fleet
    finally:
        fleet.close()


def test_stalled_discovery_loses_no_job_and_all_get_the_list_when_it_answers(tmp_path: Path) -> None:
    with running_fleet(tmp_path, mode="stalls") as fleet:
        fleet.send_job_to_all(4)  # with the list in the configuration
        fleet.discovery.publish(
            fleet.workers[0].list_entry() | {"state": "draining"}, fleet.workers[3].list_entry()
        )
        fleet.send_job_to_all()
        fleet.discovery.set_mode("answers")
        assert fleet.wait_until(lambda: fleet.all_have(2)) < 3.0
        before = fleet.job_counts(fleet.workers[0], fleet.workers[3])
        fleet.send_job_to_all(8)
        after = fleet.job_counts(fleet.workers[0], fleet.workers[3])
        assert after[0] == before[0] and after[1] > before[1]
        # For each dispatcher one watch, the next one, and one in reserve.
        assert fleet.discovery.calls <= 3 * 5


def test_calls_to_a_refusing_discovery_back_off(tmp_path: Path) -> None:
    with running_fleet(tmp_path, mode="refuses") as fleet:
        threading.Event().wait(2.0)  # the calls of this time are counted
        calls = fleet.discovery.calls
        fleet.send_job_to_all()
        assert 5 <= calls <= 5 * 9  # pauses double from 0.05 s, so at most 8 fit into 2 s
        fleet.discovery.publish(fleet.workers[3].list_entry())
        fleet.discovery.set_mode("answers")
        assert fleet.wait_until(lambda: fleet.all_have(2)) < 5.0


def test_older_list_after_a_loss_of_state_is_applied_only_after_confirmation(tmp_path: Path) -> None:
    """Discovery resets all connections and then answers with an older list.

    That list lacks the newest worker, the only one that is not draining. If it were applied at once, no
    dispatcher could serve.
    """
    with running_fleet(tmp_path) as fleet:
        drained = [worker.list_entry() | {"state": "draining"} for worker in fleet.workers[:3]]
        version = fleet.discovery.publish(*drained, fleet.workers[3].list_entry())
        fleet.wait_until(lambda: fleet.all_have(version))
        fleet.discovery.lose_state(version - 1, *drained)
        fleet.send_job_to_all(2)
        # The older list is accepted after five whole lists in a row.
        assert fleet.all_have(version) or fleet.discovery.calls >= 5 * 5
        fleet.wait_until(lambda: fleet.all_have(version - 1))
        assert fleet.send_job("a", "once", 300)[0] == 503


def test_worker_that_returns_at_another_endpoint_is_used_there_by_all(tmp_path: Path) -> None:
    with running_fleet(tmp_path) as fleet:
        fleet.send_job_to_all(2)
        others = [worker.list_entry() | {"state": "draining"} for worker in fleet.workers[1:3]]
        moved = fleet.workers[3].list_entry() | {"uid": "w0", "boot_ms": int(time.time() * 1000) - 60_000}
        version = fleet.discovery.publish(*others, moved)
        fleet.wait_until(lambda: fleet.all_have(version))
        before = fleet.job_counts(*fleet.workers)
        fleet.send_job_to_all(3)
        after = fleet.job_counts(*fleet.workers)
        assert after[:3] == before[:3] and after[3] == before[3] + 15


def test_process_with_a_tenth_of_a_core_answers_every_job_in_time(tmp_path: Path) -> None:
    """The process is stopped for 45 ms and runs for 5 ms in turn, so all its timers fire late."""
    with running_fleet(tmp_path) as fleet:
        stop = threading.Event()

        def stop_and_continue() -> None:
            while not stop.is_set():
                fleet.dispatchers.signal("a", signal.SIGSTOP)
                stop.wait(0.045)
                fleet.dispatchers.signal("a", signal.SIGCONT)
                stop.wait(0.005)

        stopping = threading.Thread(target=stop_and_continue)
        stopping.start()
        try:
            for n in range(20):
                began = time.monotonic()
                status, _ = fleet.send_job("a", "look" if n % 2 else "once")
                assert status == 200 and time.monotonic() - began < 2.0
        finally:
            stop.set()
            stopping.join()
        assert fleet.send_job("a")[0] == 200


def test_dispatchers_with_a_list_of_800_workers_become_ready_and_serve(tmp_path: Path) -> None:
    worker = EmulatedWorker("peer")
    entries: list[dict[str, object]] = [
        worker.list_entry() | {"uid": f"s-{n}", "az": "east"} for n in range(800)
    ]
    try:
        with running_fleet(tmp_path, known=entries) as fleet:
            fleet.send_job_to_all(2)
            assert sum(worker.run_counts.values()) == 10 and fleet.job_counts(*fleet.workers) == [0, 0, 0, 0]
    finally:
        worker.close()
