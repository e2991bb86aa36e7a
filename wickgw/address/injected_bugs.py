"""Injected bugs: each one disables a safeguard of the coordinator.

Tests run the simulation with each bug to show that the checker detects it. A dispatcher that serves never
imports this module. Most bugs are small subclasses that override one method; an `InjectedBug` without a name
stands for the unmodified coordinator.
"""

from dataclasses import dataclass, replace

from wickgw.address import events
from wickgw.address.coordinator import Coordinator
from wickgw.address.earlier_version import OwnLeaseVoter
from wickgw.address.events import StoredVote
from wickgw.address.lease import AddressLease
from wickgw.address.messages import Ask
from wickgw.address.votes import Vote, Voter, granted_lease_ms


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


class _ShortMemoryVoter(Voter):
    """Waits out the votes of its earlier process for the duration of its own setting."""

    def __init__(self, clock_drift: float, own_lease_ms: int) -> None:
        super().__init__(clock_drift)
        self.own_lease_ms = own_lease_ms

    def restore(self, stored_votes: tuple[StoredVote, ...] | None, now: float) -> None:
        if stored_votes is None:
            self.quiet_until = now + self.binding_s(self.own_lease_ms)
            return
        super().restore(tuple(replace(vote, lease_ms=self.own_lease_ms) for vote in stored_votes), now)


class _OwnLeaseHolder(Coordinator):
    """Relies on every vote for the duration of its own setting."""

    def _on_grant(
        self, lease: AddressLease, voter: str, round_number: int, lease_ms: int, now: float
    ) -> None:
        super()._on_grant(lease, voter, round_number, self.settings.lease_ms, now)


class _HastyVoter(Voter):
    """Lets its process end while its votes still bind."""

    def bound_for(self, now: float) -> float:
        return 0.0


class _LateVotesCoordinator(Coordinator):
    """Gives votes of any duration until its process ends, and leaves them behind."""

    def __init__(self, settings: events.Settings) -> None:
        super().__init__(settings, _HastyVoter(settings.clock_drift))

    def _vote_duration_ms(self, ask: Ask) -> int:
        return granted_lease_ms(ask.lease_ms)


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
        if self.name == "own-lease":
            return Coordinator(settings, OwnLeaseVoter(settings.clock_drift, settings.lease_ms))
        if self.name == "short-memory":
            return Coordinator(settings, _ShortMemoryVoter(settings.clock_drift, settings.lease_ms))
        if self.name == "own-lease-holder":
            return _OwnLeaseHolder(settings)
        if self.name == "late-votes":
            return _LateVotesCoordinator(settings)
        if self.name == "no-drift":
            return Coordinator(replace(settings, clock_drift=0.0))
        return Coordinator(settings)

    def started(self, boot: int, stored_votes: tuple[StoredVote, ...] | None) -> events.Started:
        """Return the first event of an instance; `stored_votes` is None if it has no state file."""
        return events.Started(boot, () if self.name == "no-wait" and stored_votes is None else stored_votes)

    def lease_valid(self, clock: float, valid_until: float) -> bool:
        """Return whether the lease check before an answer passes."""
        return self.name == "no-look" or clock < valid_until

    def answers_until(self, valid_until: float) -> float:
        """Return the real time at which a gate stops answering on its own, without being shut."""
        return float("inf") if self.name == "no-look" else valid_until


BUG_NAMES = (
    "two-votes",
    "from-answer",
    "no-look",
    "no-wait",
    "no-drift",
    "yields-first",
    "own-lease",
    "short-memory",
    "own-lease-holder",
    "late-votes",
)
