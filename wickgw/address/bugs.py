"""Planted bugs: each takes one safeguard out of the core, so that a rehearsal can show that it would notice.

Owns nothing of the program: serving never imports this file. Each bug is a small subclass that undoes one
safeguard; `NONE` is the core as it is.
"""

from dataclasses import dataclass, replace

from wickgw.address import events as e
from wickgw.address.group import Group
from wickgw.address.tenure import Tenure
from wickgw.address.votes import Vote, Voter


class _TwoVotes(Voter):
    """Grants one term to whoever asks for it."""

    def _again(self, vote: Vote, holder: str) -> bool:
        vote.holder = holder
        return True


class _FromAnswer(Tenure):
    """Counts the lease from the answer."""

    def counted_from(self, round_: int, now: float) -> float:
        return now


class _FromAnswerGroup(Group):
    def new_tenure(self, address: str) -> Tenure:
        return _FromAnswer(address)


class _YieldsFirst(Group):
    """Says that it has let go before it has."""

    def _leave(self, tenure: Tenure, to: str, cause: str, now: float) -> None:
        super()._leave(tenure, to, cause, now)
        self._yield(tenure, to, now)


@dataclass(frozen=True, slots=True)
class Planted:
    """The core with one safeguard out, or none."""

    name: str = ""

    def group(self, settings: e.Settings) -> Group:
        """A core."""
        if self.name == "two-votes":
            return Group(settings, _TwoVotes(settings.bound_for))
        if self.name == "from-answer":
            return _FromAnswerGroup(settings)
        if self.name == "yields-first":
            return _YieldsFirst(settings)
        if self.name == "no-drift":
            return Group(replace(settings, drift=0.0))
        return Group(settings)

    def began(self, boot: int) -> e.Began:
        """The first event of a life without a disk."""
        return e.Began(boot, () if self.name == "no-wait" else None)

    def looks(self, clock: float, until: float) -> bool:
        """The look before an answer."""
        return self.name == "no-look" or clock < until

    def ends(self, until: float) -> float:
        """When a gate that nobody shuts stops answering, in real time."""
        return float("inf") if self.name == "no-look" else until


BUGS = ("two-votes", "from-answer", "no-look", "no-wait", "no-drift", "yields-first")
