"""Measures one quantity at one size in this process: `python -m benchmarks.capacity_measures NAME ...`.

Prints one JSON object. Times are CPU times of this process. Memory is the growth of its resident set while the
measured objects are created. The balancer runs in virtual time, without sockets.
"""

import gc
import heapq
import itertools
import json
import os
import random
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from itertools import pairwise

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.emulator.fleet_simulation.cost import CpuCost, TimedBalancer
from wickgw.emulator.fleet_simulation.dispatcher import entries_for_balancer
from wickgw.subsetting import events as s
from wickgw.subsetting.ranking import Dispatcher
from wickgw.subsetting.sizing import settings_for_subset, subset_size
from wickgw.subsetting.subset import WorkerSubset

CLASSES = (i.RequestClass("look", latency_target=0.2, deadline=30.0, stretch=2.0),)
ZONES = 6
MEAN_RUN_S, WARM_UP_S = 1.0, 5.0
JOB_WORKERS = 50  # workers of the running jobs in a measurement
BYTES_PER_MB = 1e6


def resident_mb() -> float:
    """Return the resident set of this process, in megabytes."""
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


def make_settings(dispatchers: int) -> i.Settings:
    """Return the settings of a dispatcher in a deployment of this size."""
    return i.Settings(
        classes=CLASSES,
        dispatchers=dispatchers,
        zones=tuple(f"zone-{n}" for n in range(ZONES)),
        reports_start=True,
        drain_grace=2.0,
    )


def make_entries(workers: int) -> tuple[i.Entry, ...]:
    """Return the entries of a list of workers in all zones."""
    return tuple(i.Entry(f"s-{n:08x}", zone=n % ZONES) for n in range(workers))


@dataclass(frozen=True, slots=True)
class DispatcherCost:
    """The costs of one dispatcher in a fleet."""

    workers_seen: int  # by the balancer
    control_core: float  # CPU time for control work, as a share of a core
    job_ms: float  # CPU time for each job
    longest_ms: float  # longest call
    longest_on: str  # event or timer of that call
    memory_mb: float


class DispatcherMeasurement:
    """One balancer in virtual time, with subsetting or without, whose workers complete every job.

    Args:
        workers: Number of workers in the list.
        dispatchers: Number of dispatchers of the deployment.
        jobs_per_s: Jobs that arrive each second.
        subsets: Whether subsetting is enabled.
    """

    def __init__(self, workers: int, dispatchers: int, jobs_per_s: float, subsets: bool) -> None:
        self.cost, self.now, self.jobs = CpuCost(), 0.0, 0
        self.random = random.Random(1)
        self.jobs_per_s = jobs_per_s
        self.entries = make_entries(workers)
        self._serial = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._resident_before_mb = resident_mb()
        settings, size = (
            make_settings(dispatchers),
            subset_size(dispatchers, workers, ZONES, largest_whole_view=0),
        )
        self.subset: WorkerSubset[s.ListedWorker] | None = None
        if subsets and size is not None:
            fleet = tuple(Dispatcher(f"n{n}", f"zone-{n % ZONES}") for n in range(dispatchers))
            self.subset = WorkerSubset(fleet, "n0", size, settings)
            settings = settings_for_subset(settings, size.dispatchers_per_worker)
        self.balancer = TimedBalancer(settings, 1)

    def _schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + delay_s, next(self._serial), callback))

    def _feed_list(self) -> None:
        if self.subset is None:
            self._feed(i.WorkerList(i.ListKind.RESTORED, self.entries))
            return
        listed = tuple(s.ListedWorker(entry, f"zone-{entry.zone}") for entry in self.entries)
        self._feed_subset(s.FleetListed(i.ListKind.RESTORED, listed))

    def _feed_subset(self, event: s.SubsetEvent[s.ListedWorker]) -> None:
        assert self.subset is not None
        for action in self.cost.handle_subset(self.subset, event, self.now):
            if isinstance(action, s.UpdateSubset):
                self._feed(i.WorkerList(i.ListKind.UPDATE, entries_for_balancer(action)))
            else:
                self._schedule(action.delay_s, lambda: self._feed_subset(s.TimerFired()))

    def _feed(self, event: i.Event) -> None:
        actions = self.cost.handle(self.balancer, event, self.now)
        for action in actions:
            if isinstance(action, i.Wake):
                self._schedule(action.delay, lambda name=action.name: self._feed(i.Timer(name)))  # type: ignore[misc]
            elif isinstance(action, i.Send):
                run_s = 0.001 + self.random.expovariate(1 / MEAN_RUN_S)
                outcome = i.Outcome(action.request, 0, i.Verdict.OK, answered=True)
                self._schedule(0.001, lambda name=action.request: self._feed(i.Started(name, 0)))  # type: ignore[misc]
                self._schedule(run_s, lambda event=outcome: self._feed(event))  # type: ignore[misc]

    def _arrive(self) -> None:
        self.jobs += 1
        self._feed(i.Arrival(f"j{self.jobs}", 0, CLASSES[0].deadline))
        self._schedule(self.random.expovariate(self.jobs_per_s), self._arrive)

    def run(self, seconds: float) -> DispatcherCost:
        """Run for `seconds` after a warm-up; calls of the warm-up count for the longest call only."""
        gc.collect()
        gc.freeze()
        gc.disable()
        self._feed(i.Began())
        self._feed_list()
        self._schedule(0.1, self._arrive)
        self._run_until(WARM_UP_S)
        self.cost.control_s = self.cost.jobs_s = 0.0
        jobs_before = self.jobs
        self._run_until(WARM_UP_S + seconds)
        workers_seen = len(self.balancer.workers)
        job_ms = 1000 * self.cost.jobs_s / max(1, self.jobs - jobs_before)
        memory_mb = resident_mb() - self._resident_before_mb
        longest_ms = 1000 * self.cost.longest_s
        return DispatcherCost(
            workers_seen, self.cost.control_s / seconds, job_ms, longest_ms, self.cost.longest_on, memory_mb
        )

    def _run_until(self, end: float) -> None:
        while self._due and self._due[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
        self.now = end


def measure_dispatcher(workers: str, dispatchers: str, jobs_per_s: str, subsets: str, seconds: str) -> object:
    """Measure the costs of one dispatcher; `subsets` is `subset` or `whole`."""
    measurement = DispatcherMeasurement(
        int(workers), int(dispatchers), float(jobs_per_s), subsets == "subset"
    )
    return asdict(measurement.run(float(seconds)))


def measure_worker_list(workers: str) -> object:
    """Measure the whole list from discovery: its bytes, and the milliseconds to read it."""
    from wickgw.net.dispatch import Clock
    from wickgw.net.worker_list import ListReader

    reader = ListReader(Clock(), tuple(f"zone-{n}" for n in range(ZONES)))
    targets = [
        {"uid": f"s-{n:08x}", "endpoint": f"10.1.{n // 250}.{n % 250}:7070", "az": f"zone-{n % ZONES}"}
        | {"model": "m2", "pod_group": n % 7, "state": "ready", "capacity_hint": 1.0, "boot_ms": 0}
        for n in range(int(workers))
    ]
    text = json.dumps({"rev": 41, "all": True, "targets": targets}, separators=(",", ":")).encode()
    total_s, longest_s = [], []
    for _ in range(9):
        call_ends = [time.process_time()]
        list_parts = reader.start(text)
        complete = False
        while not complete:
            complete = list_parts.parse_some()
            call_ends.append(time.process_time())
        total_s.append(call_ends[-1] - call_ends[0])
        longest_s.append(max(after - before for before, after in pairwise(call_ends)))
    middle = len(total_s) // 2
    return {
        "bytes": len(text),
        "read_ms": 1000 * sorted(total_s)[middle],
        "longest_ms": 1000 * sorted(longest_s)[middle],
    }


def measure_progress_events(running: str) -> object:
    """Measure progress events: the bytes of one, and the microseconds to decode it and pass it to the balancer."""
    from wickgw.net.job_events import read_event

    count = int(running)
    balancer = Balancer(make_settings(1), 1)
    balancer.handle(i.Began(), 0.0)
    balancer.handle(i.WorkerList(i.ListKind.RESTORED, make_entries(JOB_WORKERS)), 0.0)
    for n in range(count):
        balancer.handle(i.Arrival(f"j{n}", 0, 30.0), 0.001 * n)
        balancer.handle(i.Started(f"j{n}", 0), 0.001 * n)
    lines = [b'{"id":"j%d","from":"s-0badcafe","state":"running","share":0.4}\n' % n for n in range(count)]
    began = time.process_time()
    for n, line in enumerate(lines):
        read_event(line, f"j{n}")
        balancer.handle(i.Progress(f"j{n}", 0, 0.4), 0.001 * count + 1)
    took_s = time.process_time() - began
    return {"bytes": len(lines[-1]) + 6, "note_us": 1e6 * took_s / count}


def measure_memory(kind: str, count: str) -> object:
    """Measure the memory of running jobs, held requests or teams, in megabytes; a team is a tenant."""
    number = int(count)
    teams = tuple(i.Tenant(f"team-{n}", 5.0) for n in range(number if kind == "teams" else 0))
    workers = make_entries(JOB_WORKERS if kind != "held" else 0)
    names = [f"j{n}" for n in range(number)]
    resident_before_mb = resident_mb()
    balancer = Balancer(i.Settings(classes=CLASSES, tenants=teams, max_attempts=4), 1)
    balancer.handle(i.Began(), 0.0)
    balancer.handle(i.WorkerList(i.ListKind.RESTORED, workers), 0.0)
    for n, name in enumerate(names if kind != "teams" else ()):
        balancer.handle(i.Arrival(name, 0, 30.0), 1e-6 * n)
    return {"memory_mb": resident_mb() - resident_before_mb}


MEASUREMENTS: dict[str, Callable[..., object]] = {
    "dispatcher": measure_dispatcher,
    "list": measure_worker_list,
    "notes": measure_progress_events,
    "memory": measure_memory,
}

if __name__ == "__main__":
    print(json.dumps(MEASUREMENTS[sys.argv[1]](*sys.argv[2:])))
