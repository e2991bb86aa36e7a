"""CPU time of the balancer and of subsetting, divided into control work and request work."""

import time
from dataclasses import dataclass

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.subsetting.events import ListedWorker, SubsetAction, SubsetEvent
from wickgw.subsetting.subset import WorkerSubset

CONTROL_TIMERS = ("tick", "solve")  # learning; the other timers serve requests


class TimedBalancer(Balancer):
    """The balancer, with the CPU time that it spends on solving for drain rates in `solving_s`.

    The first request of each second triggers a solution, so its call includes control work.
    """

    solving_s = 0.0

    def _start_solve(self, now: float) -> None:
        began = time.process_time()
        super()._start_solve(now)
        self.solving_s += time.process_time() - began


@dataclass(slots=True)
class CpuCost:
    """CPU time of calls, in seconds."""

    control_s: float = 0.0  # learning, lists, subsetting
    jobs_s: float = 0.0  # requests and their attempts
    longest_s: float = 0.0  # of one call
    longest_on: str = ""  # event or timer of that call

    def add(self, took_s: float, control_s: float, event_name: str) -> None:
        """Count one call that took `took_s`, of which `control_s` was control work."""
        self.control_s += control_s
        self.jobs_s += took_s - control_s
        if took_s > self.longest_s:
            self.longest_s, self.longest_on = took_s, event_name

    def handle_subset(
        self, subset: WorkerSubset[ListedWorker], event: SubsetEvent[ListedWorker], now: float
    ) -> list[SubsetAction[ListedWorker]]:
        """Pass one event to subsetting, count the CPU time, and return the actions."""
        began = time.process_time()
        actions = subset.handle(event, now)
        took_s = time.process_time() - began
        self.add(took_s, took_s, f"subset {type(event).__name__}")
        return actions

    def handle(self, balancer: TimedBalancer, event: i.Event, now: float) -> list[i.Action]:
        """Pass one event to a balancer, count the CPU time, and return the actions."""
        solving_before_s, began = balancer.solving_s, time.process_time()
        actions = balancer.handle(event, now)
        took_s = time.process_time() - began
        timer = event.name if isinstance(event, i.Timer) else ""
        is_control = timer in CONTROL_TIMERS or isinstance(event, i.WorkerList)
        self.add(
            took_s,
            took_s if is_control else balancer.solving_s - solving_before_s,
            timer or type(event).__name__,
        )
        return actions
