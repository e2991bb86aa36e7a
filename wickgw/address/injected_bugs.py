"""Injected bugs: each one disables a safeguard of the coordinator.

Tests run the simulation with each bug to show that the checker detects it. A dispatcher that serves never
imports this module. Most bugs are small subclasses that override one method; an `InjectedBug` without a name
stands for the unmodified coordinator.
"""

from dataclasses import dataclass, replace

from wickgw.address import events
from wickgw.address.coordinator import Coordinator
from wickgw.address.lease import AddressLease
from wickgw.address.votes import Vote, Voter


class _DoubleVoter(Voter):
    """Grants one term to every instance that asks for it."""

    def _may_renew(self, vote: Vote, holder: str) -> bool:
        vote.holder = holder
        return True


class _LateStartLease(AddressLease):
    """Counts the lease from the arrival of the answer instead of from the request."""

    def lease_start(self, round_number: int, now: float) -> float:
        return now


class _LateStartCoordinator(Coordinator):
    """Uses leases that are counted from the arrival of the answer."""

    def new_lease(self, address: str) -> AddressLease:
        return _LateStartLease(address)


class _EarlyYieldCoordinator(Coordinator):
    """Sends Yield before the address is withdrawn."""

    def _start_handover(self, lease: AddressLease, to: str, cause: str, now: float) -> None:
        super()._start_handover(lease, to, cause, now)
        self._send_yield(lease, to, now)


@dataclass(frozen=True, slots=True)
class InjectedBug:
    """The name of the safeguard to disable; empty for the unmodified coordinator."""

    name: str = ""

    def coordinator(self, settings: events.Settings) -> Coordinator:
        """Return a coordinator with the bug."""
        if self.name == "two-votes":
            return Coordinator(settings, _DoubleVoter(settings.clock_drift))
        if self.name == "from-answer":
            return _LateStartCoordinator(settings)
        if self.name == "yields-first":
            return _EarlyYieldCoordinator(settings)
        if self.name == "no-drift":
            return Coordinator(replace(settings, clock_drift=0.0))
        return Coordinator(settings)

    def started(self, boot: int) -> events.Started:
        """Return the first event of an instance that has no state file."""
        return events.Started(boot, () if self.name == "no-wait" else None)

    def lease_valid(self, clock: float, valid_until: float) -> bool:
        """Return whether the lease check before an answer passes."""
        return self.name == "no-look" or clock < valid_until

    def answers_until(self, valid_until: float) -> float:
        """Return the real time at which a gate stops answering on its own, without being shut."""
        return float("inf") if self.name == "no-look" else valid_until


BUG_NAMES = ("two-votes", "from-answer", "no-look", "no-wait", "no-drift", "yields-first")
