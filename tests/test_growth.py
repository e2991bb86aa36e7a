"""The cost of a dispatcher grows with its traffic, not with the length of the list of workers.

Real processes run the same scenario, called a day, with the usual number of workers and with sixteen times as
many: steady load, during which the list changes and the configuration is reloaded. The bounds are those of
the operators' page on fleets of up to sixteen times the workers.
"""

import random
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import pytest

from wickgw.emulator.discovery import EmulatedDiscovery
from wickgw.emulator.serve_process import ServeProcess, platform_settings
from wickgw.emulator.worker import EmulatedWorker

USUAL_WORKERS, MANY_WORKERS = 200, 3200
DEPLOYMENT_SIZES = (4, 200)  # dispatchers of the deployment, by the platform's settings
EMULATED_WORKERS, RUN_S = 8, 0.1
JOBS_PER_S, DURATION_S = 25, 8
CHANGED_SHARE, CHANGES_PER_S = 0.005, 2  # share of the list in each change, during the whole day
REPLACED_SHARE, REPLACEMENT_STEPS = 0.6, 4  # share of the list replaced in the middle of the day
READY_LIMIT_S = 10.0
MEMORY_LIMIT_MB = 80


@dataclass(frozen=True, slots=True)
class Day:
    """The resources that one process used during a day."""

    ready_s: float
    cpu_s: float
    memory_mb: float  # peak resident
    descriptors: int  # largest count seen
    connections: int  # opened to workers
    list_bytes: int  # sent by discovery
    served: float  # share of the jobs
    exit_status: int


class FleetList:
    """The list of workers in discovery; a few emulated workers serve the endpoints of all entries."""

    def __init__(self, emulated_workers: list[EmulatedWorker], count: int) -> None:
        self.emulated_workers, self.serial = emulated_workers, 0
        self.random = random.Random(count)
        self.entries = [self.new_entry() for _ in range(count)]
        self.discovery = EmulatedDiscovery(self.entries)

    def new_entry(self, started: bool = False) -> dict[str, object]:
        """Return an entry with a new name; `started` sets its start time to now."""
        self.serial += 1
        worker = self.emulated_workers[self.serial % len(self.emulated_workers)]
        boot_ms = int(time.time() * 1000) if started else 0
        return worker.list_entry() | {"uid": f"s-{self.serial:08x}", "boot_ms": boot_ms}

    def replace(self, count: int) -> None:
        """Replace about `count` random workers by new ones that have just started."""
        leaving = [self.random.randrange(len(self.entries)) for _ in range(count)]
        changes = []
        for index in set(leaving):
            changes.append(self.entries[index] | {"state": "gone"})
            self.entries[index] = self.new_entry(started=True)
            changes.append(self.entries[index])
        self.discovery.publish(*changes)


def run_day(folder: Path, emulated_workers: list[EmulatedWorker], dispatchers: int, workers: int) -> Day:
    """Run one process through a day: steady load, small changes, six in ten workers replaced, a reload."""
    fleet = FleetList(emulated_workers, workers)
    name = f"n{dispatchers}-{workers}"
    # As after a release, the configuration contains the last known list.
    known = list(fleet.entries)
    process = ServeProcess(
        folder, name, fleet.discovery.endpoint, platform_settings(dispatchers), known, MEMORY_LIMIT_MB
    )
    pause, descriptors = threading.Event(), 0
    try:
        ready_s = process.wait_ready()
        with ThreadPoolExecutor(16) as clients:
            jobs = []
            began = time.monotonic()
            for step in range(JOBS_PER_S * DURATION_S):
                pause.wait(max(0.0, began + step / JOBS_PER_S - time.monotonic()))
                jobs.append(clients.submit(process.send_job, f"{name}-{step}"))
                if step % (JOBS_PER_S // CHANGES_PER_S) == 0:
                    fleet.replace(max(1, round(workers * CHANGED_SHARE)))
                    descriptors = max(descriptors, process.descriptors())
                if step in range(100, 100 + REPLACEMENT_STEPS):
                    fleet.replace(round(workers * REPLACED_SHARE / REPLACEMENT_STEPS))
                if step == 150:
                    process.reload()
            served = sum(job.result() == 200 for job in jobs) / len(jobs)
        connections = process.gauges().get("peer_connections_opened", 0)
        cpu_s, memory_mb = process.cpu_s(), process.peak_memory_mb()
    finally:
        exit_status = process.stop()
        fleet.discovery.close()
    list_bytes = fleet.discovery.bytes_sent
    return Day(ready_s, cpu_s, memory_mb, descriptors, connections, list_bytes, served, exit_status)


@pytest.fixture(scope="module")
def days(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[tuple[int, int], Day]]:
    """Run all days at the same time; give them by numbers of dispatchers and workers."""
    folder = tmp_path_factory.mktemp("growth")
    emulated_workers = [EmulatedWorker(f"emulated-{n}", RUN_S) for n in range(EMULATED_WORKERS)]
    days_to_run = [
        (dispatchers, workers)
        for dispatchers in DEPLOYMENT_SIZES
        for workers in (USUAL_WORKERS, MANY_WORKERS)
    ]
    try:
        with ThreadPoolExecutor(len(days_to_run)) as pool:
            results = pool.map(lambda sizes: run_day(folder, emulated_workers, *sizes), days_to_run)
            yield dict(zip(days_to_run, results, strict=True))
    finally:
        for worker in emulated_workers:
            worker.close()


@pytest.mark.parametrize("dispatchers", DEPLOYMENT_SIZES)
def test_process_with_thousands_of_workers_stays_within_its_memory_limit(
    days: dict[tuple[int, int], Day], dispatchers: int
) -> None:
    usual, many = days[dispatchers, USUAL_WORKERS], days[dispatchers, MANY_WORKERS]
    assert many.memory_mb < MEMORY_LIMIT_MB
    assert many.memory_mb <= 1.5 * usual.memory_mb + 8 + 4 * MANY_WORKERS / 1000


@pytest.mark.parametrize("dispatchers", DEPLOYMENT_SIZES)
def test_cpu_time_follows_traffic_and_not_the_list(
    days: dict[tuple[int, int], Day], dispatchers: int
) -> None:
    usual, many = days[dispatchers, USUAL_WORKERS], days[dispatchers, MANY_WORKERS]
    assert many.cpu_s <= 1.4 * usual.cpu_s + 0.02 + 0.12 * MANY_WORKERS / 1000


@pytest.mark.parametrize("dispatchers", DEPLOYMENT_SIZES)
def test_connections_and_descriptors_follow_traffic_and_not_the_list(
    days: dict[tuple[int, int], Day], dispatchers: int
) -> None:
    usual, many = days[dispatchers, USUAL_WORKERS], days[dispatchers, MANY_WORKERS]
    assert many.connections <= 2.5 * usual.connections + 40
    assert many.descriptors <= 2 * usual.descriptors + 40


@pytest.mark.parametrize("dispatchers", DEPLOYMENT_SIZES)
def test_process_with_thousands_of_workers_serves_and_does_not_exit_early(
    days: dict[tuple[int, int], Day], dispatchers: int
) -> None:
    usual, many = days[dispatchers, USUAL_WORKERS], days[dispatchers, MANY_WORKERS]
    assert usual.exit_status == many.exit_status == 0
    assert max(usual.ready_s, many.ready_s) <= READY_LIMIT_S
    assert many.served >= 0.85 * usual.served
    assert many.list_bytes <= 2 * usual.list_bytes + 64_000 + 500_000 * MANY_WORKERS / 1000
