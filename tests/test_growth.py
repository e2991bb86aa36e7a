"""The cost of a dispatcher follows its traffic, not the length of the list: the operators' table of growth.

Real processes play the same day on the usual number of workers and on sixteen times as many. Bounds are those
of the operators' page on fleets of up to sixteen times the workers.
"""

import random
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import pytest

from wickgw.emulator.roster import Roster
from wickgw.emulator.serve_process import ServeProcess, settings_for
from wickgw.emulator.worker import Worker

USUAL, MANY = 200, 3200
TOLD = (4, 200)  # dispatchers that each process is told there are
STAND_INS, RUN_S = 8, 0.1
JOBS_PER_S, SECONDS = 25, 8
CHANGED_SHARE, CHANGES_PER_S = 0.005, 2  # of the list, all through the day
REPLACED_SHARE, REPLACED_STEPS = 0.6, 4  # in the middle of the day
READY_S = 10.0
MEMORY_LIMIT_MB = 80


@dataclass(frozen=True, slots=True)
class Day:
    """What one process needed for a day."""

    ready_s: float
    cpu_s: float
    memory_mb: float
    descriptors: int
    connections: int
    list_bytes: int
    served: float
    exit_status: int


class FleetList:
    """The list of workers: each entry is answered for by one of a few stand-ins."""

    def __init__(self, stand_ins: list[Worker], count: int) -> None:
        self.stand_ins, self.serial = stand_ins, 0
        self.random = random.Random(count)
        self.entries = [self.new() for _ in range(count)]
        self.roster = Roster(self.entries)

    def new(self, started: bool = False) -> dict[str, object]:
        """An entry that was not in the list before."""
        self.serial += 1
        stand_in = self.stand_ins[self.serial % len(self.stand_ins)]
        boot_ms = int(time.time() * 1000) if started else 0
        return stand_in.listed() | {"uid": f"s-{self.serial:08x}", "boot_ms": boot_ms}

    def replace(self, count: int) -> None:
        """So many workers leave, and as many others join."""
        leaving = [self.random.randrange(len(self.entries)) for _ in range(count)]
        changes = []
        for place in set(leaving):
            changes.append(self.entries[place] | {"state": "gone"})
            self.entries[place] = self.new(started=True)
            changes.append(self.entries[place])
        self.roster.change(*changes)


def play(folder: Path, stand_ins: list[Worker], dispatchers: int, workers: int) -> Day:
    """One process through one day: steady load, small changes, six in ten workers replaced, a reload."""
    fleet = FleetList(stand_ins, workers)
    name = f"n{dispatchers}-{workers}"
    # A release: each process knows the list as it was held last.
    known = list(fleet.entries)
    process = ServeProcess(
        folder, name, fleet.roster.endpoint, settings_for(dispatchers), known, MEMORY_LIMIT_MB
    )
    pace, descriptors = threading.Event(), 0
    try:
        ready_s = process.wait_ready()
        with ThreadPoolExecutor(16) as clients:
            jobs = []
            began = time.monotonic()
            for step in range(JOBS_PER_S * SECONDS):
                pace.wait(max(0.0, began + step / JOBS_PER_S - time.monotonic()))
                jobs.append(clients.submit(process.job, f"{name}-{step}"))
                if step % (JOBS_PER_S // CHANGES_PER_S) == 0:
                    fleet.replace(max(1, round(workers * CHANGED_SHARE)))
                    descriptors = max(descriptors, process.descriptors())
                if step in range(100, 100 + REPLACED_STEPS):
                    fleet.replace(round(workers * REPLACED_SHARE / REPLACED_STEPS))
                if step == 150:
                    process.reload()
            served = sum(job.result() == 200 for job in jobs) / len(jobs)
        connections = process.now().get("peer_connections_opened", 0)
        cpu_s, memory_mb = process.cpu_s(), process.peak_memory_mb()
    finally:
        status = process.stop()
        fleet.roster.close()
    sent = fleet.roster.bytes_sent
    return Day(ready_s, cpu_s, memory_mb, descriptors, connections, sent, served, status)


@pytest.fixture(scope="module")
def days(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[tuple[int, int], Day]]:
    folder = tmp_path_factory.mktemp("growth")
    stand_ins = [Worker(f"stand-in-{n}", RUN_S) for n in range(STAND_INS)]
    plays = [(told, workers) for told in TOLD for workers in (USUAL, MANY)]
    try:
        with ThreadPoolExecutor(len(plays)) as pool:
            found = pool.map(lambda which: play(folder, stand_ins, *which), plays)
            yield dict(zip(plays, found, strict=True))
    finally:
        for stand_in in stand_ins:
            stand_in.close()


@pytest.mark.parametrize("told", TOLD)
def test_process_with_thousands_of_workers_keeps_its_memory_limit(
    days: dict[tuple[int, int], Day], told: int
) -> None:
    usual, many = days[told, USUAL], days[told, MANY]
    assert many.memory_mb < MEMORY_LIMIT_MB
    assert many.memory_mb <= 1.5 * usual.memory_mb + 8 + 4 * MANY / 1000


@pytest.mark.parametrize("told", TOLD)
def test_processor_time_follows_traffic_and_not_the_list(days: dict[tuple[int, int], Day], told: int) -> None:
    usual, many = days[told, USUAL], days[told, MANY]
    assert many.cpu_s <= 1.4 * usual.cpu_s + 0.02 + 0.12 * MANY / 1000


@pytest.mark.parametrize("told", TOLD)
def test_connections_and_descriptors_follow_traffic_and_not_the_list(
    days: dict[tuple[int, int], Day], told: int
) -> None:
    usual, many = days[told, USUAL], days[told, MANY]
    assert many.connections <= 2.5 * usual.connections + 40
    assert many.descriptors <= 2 * usual.descriptors + 40


@pytest.mark.parametrize("told", TOLD)
def test_thousands_of_workers_are_served_by_and_no_process_ends(
    days: dict[tuple[int, int], Day], told: int
) -> None:
    usual, many = days[told, USUAL], days[told, MANY]
    assert usual.exit_status == many.exit_status == 0
    assert max(usual.ready_s, many.ready_s) <= READY_S
    assert many.served >= 0.85 * usual.served
    assert many.list_bytes <= 2 * usual.list_bytes + 64_000 + 500_000 * MANY / 1000
