"""The coordinator as versions before `Ask.lease_ms` behave, so that simulations can mix versions.

Such an instance tells no lease, is bound by its votes for the duration of its own setting, relies on the
votes of others for that too, and gives votes until its process has ended. A dispatcher that serves never
imports this module.
"""

import msgspec

from wickgw.address import events
from wickgw.address.coordinator import Coordinator
from wickgw.address.events import StoredVote
from wickgw.address.lease import AddressLease
from wickgw.address.messages import UNKNOWN_LEASE, Ask, Grant, Message
from wickgw.address.votes import Voter


class OwnLeaseVoter(Voter):
    """Binds itself for `own_lease_ms`, whatever it is asked for."""

    def __init__(self, clock_drift: float, own_lease_ms: int) -> None:
        super().__init__(clock_drift)
        self.own_lease_ms = own_lease_ms

    def binding_s(self, lease_ms: int) -> float:
        """Return the seconds for which a vote binds this voter: always the same."""
        return super().binding_s(self.own_lease_ms)


class _EarlierVoter(OwnLeaseVoter):
    """Stores no durations."""

    def stored_votes(self) -> tuple[StoredVote, ...]:
        return tuple(
            StoredVote(vote.address, vote.term, vote.holder, vote.over) for vote in super().stored_votes()
        )


class EarlierCoordinator(Coordinator):
    """One instance of an earlier version."""

    def __init__(self, settings: events.Settings) -> None:
        super().__init__(settings, _EarlierVoter(settings.clock_drift, settings.lease_ms))

    def _vote_duration_ms(self, ask: Ask) -> int:
        return self.settings.lease_ms

    def _on_grant(
        self, lease: AddressLease, voter: str, round_number: int, lease_ms: int, now: float
    ) -> None:
        super()._on_grant(lease, voter, round_number, self.settings.lease_ms, now)

    def _send(self, receiver: str, message: Message) -> None:
        if isinstance(message, Ask | Grant):
            message = msgspec.structs.replace(message, lease_ms=UNKNOWN_LEASE)
        super()._send(receiver, message)
