"""Runs the subsetting logic of one pool: its timer on the event loop, and its entries as targets.

Imported only if the operator's file enables subsetting and the fleet is larger than one subset.
"""

import asyncio
from collections.abc import Callable

from wickgw import interface as i
from wickgw.net.dispatch import Clock
from wickgw.net.worker_list import Target
from wickgw.subsetting.events import (
    AttemptEnded,
    FleetListed,
    SetTimer,
    SubsetEvent,
    TimerFired,
    UpdateSubset,
)
from wickgw.subsetting.subset import WorkerSubset


class SubsetDriver:
    """Reduces the whole worker list of a pool to the subset that the pool uses.

    `apply` is called with each change of the subset.
    """

    def __init__(
        self,
        subset: WorkerSubset[Target],
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        apply: Callable[[i.ListKind, list[Target]], None],
    ) -> None:
        self.subset, self.loop, self.clock, self.apply = subset, loop, clock, apply
        self._timer: asyncio.TimerHandle | None = None

    def on_update(self, kind: i.ListKind, targets: list[Target]) -> None:
        """Handle an update of the whole list."""
        self._handle_event(FleetListed(kind, tuple(targets)))

    def knows(self, worker: str) -> bool:
        """Return whether the pool's whole list contains this worker."""
        return worker in self.subset.known

    def attempt_ended(self, worker: str, verdict: i.Verdict) -> None:
        """Record the end of an attempt. A cancelled, unsent or unusable one says nothing of its worker."""
        if verdict not in (i.Verdict.CANCELLED, i.Verdict.NOT_SENT, i.Verdict.UNUSABLE):
            self._handle_event(AttemptEnded(worker, verdict is i.Verdict.OK))

    @property
    def counts(self) -> dict[str, int]:
        """The numbers of members, substitutes and known workers, for the report."""
        subset = self.subset
        return {
            "subset_members": len(subset.members),
            "subset_substitutes": len(subset.substitutes),
            "fleet_workers": len(subset.known),
        }

    def _handle_event(self, event: SubsetEvent[Target]) -> None:
        for action in self.subset.handle(event, self.clock.now()):
            match action:
                case UpdateSubset(workers, gone):
                    removed = [Target(i.Entry(worker, i.Health.GONE), endpoint="") for worker in gone]
                    self.apply(i.ListKind.UPDATE, [*removed, *workers])
                case SetTimer(delay):
                    self._cancel_timer()
                    self._timer = self.loop.call_later(delay, self._timer_fired)

    def _timer_fired(self) -> None:
        self._timer = None
        self._handle_event(TimerFired())

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Cancel the timer."""
        self._cancel_timer()
