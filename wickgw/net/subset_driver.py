"""Drives the core of subsetting for one pool: its timer on the loop, its entries as targets with endpoints.

Imported only where the operator's file turns subsetting on and the fleet is larger than one subset.
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
    """Stands between the whole list of a pool's workers and the part of it that the pool serves by."""

    def __init__(
        self,
        subset: WorkerSubset[Target],
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        show: Callable[[i.ListKind, list[Target]], None],
    ) -> None:
        self.subset, self.loop, self.clock, self.show = subset, loop, clock, show
        self._timer: asyncio.TimerHandle | None = None

    def on_update(self, kind: i.ListKind, targets: list[Target]) -> None:
        """News of the whole list."""
        self._feed(FleetListed(kind, tuple(targets)))

    def knows(self, worker: str) -> bool:
        """Whether the list holds this worker for the pool."""
        return worker in self.subset.known

    def attempt_ended(self, worker: str, verdict: i.Verdict) -> None:
        """An attempt has ended; what was called off or never sent tells nothing of its worker."""
        if verdict not in (i.Verdict.CANCELLED, i.Verdict.NOT_SENT, i.Verdict.UNUSABLE):
            self._feed(AttemptEnded(worker, verdict is i.Verdict.OK))

    @property
    def counts(self) -> dict[str, int]:
        """Members, substitutes and all known workers, for the report."""
        subset = self.subset
        return {
            "subset_members": len(subset.members),
            "subset_substitutes": len(subset.substitutes),
            "fleet_workers": len(subset.known),
        }

    def _feed(self, event: SubsetEvent[Target]) -> None:
        for action in self.subset.handle(event, self.clock.now()):
            match action:
                case UpdateSubset(workers, gone):
                    left = [Target(i.Entry(worker, i.Health.GONE), endpoint="") for worker in gone]
                    self.show(i.ListKind.UPDATE, [*left, *workers])
                case SetTimer(after):
                    self._cancel_timer()
                    self._timer = self.loop.call_later(after, self._fired)

    def _fired(self) -> None:
        self._timer = None
        self._feed(TimerFired())

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Give the timer back."""
        self._cancel_timer()
