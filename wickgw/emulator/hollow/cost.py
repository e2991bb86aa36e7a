"""Processor time of the cores, by role."""

import time
from dataclasses import dataclass

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.subsetting.events import ListedWorker, SubsetAction, SubsetEvent
from wickgw.subsetting.subset import WorkerSubset

CONTROL_TIMERS = ("tick", "solve")  # learning; the other timers serve requests


class TimedBalancer(Balancer):
    """The shipped decision module; says how much of its time went into solving for drain rates, which the
    first request of each second sets off."""

    solving_s = 0.0

    def _start_solve(self, now: float) -> None:
        began = time.process_time()
        super()._start_solve(now)
        self.solving_s += time.process_time() - began


@dataclass(slots=True)
class Cost:
    """Processor time of calls into the cores, in seconds."""

    control_s: float = 0.0  # learning, lists, subsetting
    jobs_s: float = 0.0  # what requests and their attempts cause
    longest_s: float = 0.0
    longest_on: str = ""

    def add(self, took: float, control: float, on: str) -> None:
        """Count one call, of which so many seconds went into control."""
        self.control_s += control
        self.jobs_s += took - control
        if took > self.longest_s:
            self.longest_s, self.longest_on = took, on

    def handle_subset(
        self, subset: WorkerSubset[ListedWorker], event: SubsetEvent[ListedWorker], now: float
    ) -> list[SubsetAction[ListedWorker]]:
        """Feed one event to the core of subsetting, and count what it took."""
        began = time.process_time()
        actions = subset.handle(event, now)
        took = time.process_time() - began
        self.add(took, took, f"subset {type(event).__name__}")
        return actions

    def handle(self, balancer: TimedBalancer, event: i.Event, now: float) -> list[i.Action]:
        """Feed one event to a decision module, and count what it took."""
        solved, began = balancer.solving_s, time.process_time()
        actions = balancer.handle(event, now)
        took = time.process_time() - began
        timer = event.name if isinstance(event, i.Timer) else ""
        whole = timer in CONTROL_TIMERS or isinstance(event, i.WorkerList)
        self.add(took, took if whole else balancer.solving_s - solved, timer or type(event).__name__)
        return actions
