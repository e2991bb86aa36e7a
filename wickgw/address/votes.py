"""The voter: which instance this one has voted for on each address, in which term, and until when.

Safety depends on this module and on two rules of `coordinator`: an expired lease ends before an event is
handled, and a holder sends Yield only after Withdrawn. Two majorities share a voter, so the following rules
keep two instances from holding an address at the same time:

- A voter gives one vote in a term, and terms only grow. While its vote is binding, it votes for no other
  instance.
- A holder counts its lease from *before* it asked and shortens it by the clock drift
  (`Settings.holder_lease_s`). A voter is bound from the grant, for a lease lengthened by the clock drift
  (`Settings.voter_lease_s`). However long a message takes, the holder's lease ends first, by at least twice
  the drift.
- A voter that has lost its votes does not vote until any vote that it may have given has expired.

Only a release by the instance that a vote was given to ends the vote before its time.
"""

from dataclasses import dataclass

from wickgw.address.events import StoredVote


@dataclass(slots=True)
class Vote:
    """One vote."""

    term: int
    holder: str
    binding_until: float  # seconds on the voter's clock
    over: bool = False  # the holder has released the vote

    def is_binding(self, now: float) -> bool:
        """Return whether the voter is still bound."""
        return not self.over and now < self.binding_until


class Voter:
    """The votes of one instance, one for each address. `voter_lease_s` is `Settings.voter_lease_s`."""

    def __init__(self, voter_lease_s: float) -> None:
        self.voter_lease_s = voter_lease_s
        self.quiet_until = float("-inf")  # no votes before this time
        self.votes: dict[str, Vote] = {}
        self.revision = 0  # raised when a field of StoredVote changes, which a renewal does not do

    def restore(self, stored_votes: tuple[StoredVote, ...] | None, now: float) -> None:
        """Load the votes of the previous process; None if they are unknown.

        A stored vote may have been renewed just before the restart, so it binds for a whole lease. Without
        stored votes, any vote may have been given just before the restart, so the voter is quiet for a lease.
        """
        if stored_votes is None:
            self.quiet_until = now + self.voter_lease_s
            return
        for vote in stored_votes:
            self.votes[vote.address] = Vote(vote.term, vote.holder, now + self.voter_lease_s, vote.over)

    def request_vote(self, address: str, holder: str, term: int, now: float) -> bool:
        """Vote for `holder` in `term`, or renew that vote, if allowed. Returns whether the vote was granted.

        A granted vote binds for a lease from now.
        """
        if now < self.quiet_until:
            return False
        vote = self.votes.get(address)
        if vote is not None:
            if term < vote.term:
                return False
            if term == vote.term and not self._may_renew(vote, holder):
                return False
            if term > vote.term and vote.is_binding(now) and vote.holder != holder:
                return False
        if vote is None or (vote.term, vote.holder) != (term, holder):
            self.revision += 1
        self.votes[address] = Vote(term, holder, now + self.voter_lease_s)
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

    def blocked_for(self, address: str, now: float) -> float:
        """Return the seconds until this voter may vote for any instance."""
        vote = self.votes.get(address)
        binding_s = vote.binding_until - now if vote is not None and vote.is_binding(now) else 0.0
        return max(binding_s, self.quiet_until - now, 0.0)

    def stored_votes(self) -> tuple[StoredVote, ...]:
        """Return the votes in the form of the state file."""
        return tuple(
            StoredVote(address, vote.term, vote.holder, vote.over)
            for address, vote in sorted(self.votes.items())
        )
