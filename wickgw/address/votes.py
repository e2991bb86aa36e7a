"""The voter: which instance this one has voted for on each address, in which term, and until when.

Safety depends on this module and on two rules of `coordinator`: an expired lease ends before an event is
handled, and a holder sends Yield only after Withdrawn. Two majorities share a voter, so the following rules
keep two instances from holding an address at the same time:

- A voter gives one vote in a term, and terms only grow. While its vote is binding, it votes for no other
  instance.
- The duration of a vote is agreed between asker and voter, and depends on the settings of neither alone: the
  asker says for how long it wants to rely on the vote, the voter binds itself for that and says so, and a
  holder relies on no vote for longer than its voter has said (`lease`).
- A holder counts its lease from *before* it asked and shortens it by its clock drift. A voter is bound from
  the grant, for a lease lengthened by its own clock drift. However long a message takes, the holder's lease
  ends first, as long as each clock keeps to the drift that its own instance is set to.
- A voter that has lost its votes does not vote until any vote that it may have given has expired: for the
  longest lease that any asker may have asked its earlier process for.

Only a release by the instance that a vote was given to ends the vote before its time.
"""

from dataclasses import dataclass

from wickgw.address.events import StoredVote
from wickgw.address.messages import MAX_LEASE_MS


@dataclass(slots=True)
class Vote:
    """One vote."""

    term: int
    holder: str
    lease_ms: int  # for which the holder may rely on the vote, before the allowance for clock drift
    binding_until: float  # seconds on the voter's clock
    over: bool = False  # the holder has released the vote

    def is_binding(self, now: float) -> bool:
        """Return whether the voter is still bound."""
        return not self.over and now < self.binding_until


class Voter:
    """The votes of one instance, one for each address. `clock_drift` is `Settings.clock_drift`."""

    def __init__(self, clock_drift: float) -> None:
        self.clock_drift = clock_drift
        self.quiet_until = float("-inf")  # no votes before this time
        self.votes: dict[str, Vote] = {}
        self.revision = 0  # raised when a field of StoredVote changes, which a renewal does not do

    def binding_s(self, lease_ms: int) -> float:
        """Return the seconds for which a vote binds this voter, counted from the grant."""
        return lease_ms / 1000 * (1 + self.clock_drift)

    def restore(self, stored_votes: tuple[StoredVote, ...] | None, now: float) -> None:
        """Load the votes of the previous process; None if they are unknown.

        A stored vote may have been renewed just before the restart, so it binds for a whole lease. Without
        stored votes, any vote may have been given just before the restart, so the voter is quiet for the
        longest lease.
        """
        if stored_votes is None:
            self.quiet_until = now + self.binding_s(MAX_LEASE_MS)
            return
        for vote in stored_votes:
            lease_ms = granted_lease_ms(vote.lease_ms)
            self.votes[vote.address] = Vote(
                vote.term, vote.holder, lease_ms, now + self.binding_s(lease_ms), vote.over
            )

    def request_vote(self, address: str, holder: str, term: int, lease_ms: int, now: float) -> bool:
        """Vote for `holder` in `term`, or renew that vote, if allowed. Returns whether the vote was granted.

        A granted vote binds for `lease_ms` from now. A renewal never shortens what was granted before.
        """
        if now < self.quiet_until:
            return False
        binding_until = now + self.binding_s(lease_ms)
        vote = self.votes.get(address)
        if vote is not None:
            if term < vote.term:
                return False
            if term == vote.term and not self._may_renew(vote, holder):
                return False
            if term > vote.term and vote.is_binding(now) and vote.holder != holder:
                return False
            if vote.holder == holder and vote.is_binding(now):
                binding_until = max(binding_until, vote.binding_until)
                lease_ms = max(lease_ms, vote.lease_ms)
        if vote is None or (vote.term, vote.holder, vote.lease_ms) != (term, holder, lease_ms):
            self.revision += 1
        self.votes[address] = Vote(term, holder, lease_ms, binding_until)
        return True

    def _may_renew(self, vote: Vote, holder: str) -> bool:
        """Return whether `holder` is the term's own holder and has not released the vote."""
        return vote.holder == holder and not vote.over

    def release(self, address: str, term: int, holder: str) -> None:
        """Mark the vote of `term` as released by its holder."""
        vote = self.votes.get(address)
        if vote is not None and vote.term == term and vote.holder == holder:
            self.revision += not vote.over
            vote.over = True

    def bound_for(self, now: float) -> float:
        """Return the seconds until every vote of this voter, and of its earlier process, has ended."""
        ends = [vote.binding_until for vote in self.votes.values() if vote.is_binding(now)]
        return max(0.0, max([*ends, self.quiet_until]) - now)

    def blocked_for(self, address: str, now: float) -> float:
        """Return the seconds until this voter may vote for any instance."""
        vote = self.votes.get(address)
        binding_s = vote.binding_until - now if vote is not None and vote.is_binding(now) else 0.0
        return max(binding_s, self.quiet_until - now, 0.0)

    def stored_votes(self) -> tuple[StoredVote, ...]:
        """Return the votes in the form of the state file."""
        return tuple(
            StoredVote(address, vote.term, vote.holder, vote.over, vote.lease_ms)
            for address, vote in sorted(self.votes.items())
        )


def granted_lease_ms(asked_ms: int) -> int:
    """Return for how long a voter binds itself when asked for `asked_ms`.

    A vote is never longer than what a restarted voter waits out. An asker of an earlier version, which does
    not say how long it will rely on the vote, may do so for the longest lease.
    """
    return min(asked_ms, MAX_LEASE_MS) if asked_ms > 0 else MAX_LEASE_MS
