"""The voter: whom this instance has granted each address, in which term, and until when.

Owns the votes. Safety rests on this file and on two lines of `group`:

- A voter gives one vote a term, and terms only grow. While its vote runs it gives none to anybody else.
- A holder counts its lease from *before* it asked, shortened by the drift (`Settings.held_for`); a voter is
  bound from when it granted, lengthened by the drift (`Settings.bound_for`). Whatever a message takes, the
  holder's count ends first, by at least twice the drift. Two majorities share a voter: no two hold at once.
- A voter that has lost its votes is quiet until any that it may have given has run out.

It must never shorten a running vote but by the word of the one that it was given to.
"""

from dataclasses import dataclass

from wickgw.address.events import Kept


@dataclass(slots=True)
class Vote:
    """One vote."""

    term: int
    holder: str
    until: float  # bound until then
    over: bool = False  # its holder has let go

    def runs(self, now: float) -> bool:
        """Whether it binds."""
        return not self.over and now < self.until


class Voter:
    """The votes of one instance, one for each address."""

    def __init__(self, bound_for: float) -> None:
        self.bound_for = bound_for
        self.quiet_until = float("-inf")
        self.votes: dict[str, Vote] = {}
        self.revision = 0  # raised when what must be kept changes; a renewal changes nothing of it

    def began(self, kept: tuple[Kept, ...] | None, now: float) -> None:
        """A life begins. What is not known may have been granted a moment ago."""
        if kept is None:
            self.quiet_until = now + self.bound_for
            return
        for vote in kept:
            self.votes[vote.address] = Vote(vote.term, vote.holder, now + self.bound_for, vote.over)

    def ask(self, address: str, holder: str, term: int, now: float) -> bool:
        """Whether `holder` gets the vote for `term` (again). If so it is bound from now on."""
        if now < self.quiet_until:
            return False
        vote = self.votes.get(address)
        if vote is not None:
            if term < vote.term:
                return False
            if term == vote.term and not self._again(vote, holder):
                return False
            if term > vote.term and vote.runs(now) and vote.holder != holder:
                return False
        if vote is None or (vote.term, vote.holder) != (term, holder):
            self.revision += 1
        self.votes[address] = Vote(term, holder, now + self.bound_for)
        return True

    def _again(self, vote: Vote, holder: str) -> bool:
        """Whether the term's own holder renews it; one that has let go may not."""
        return vote.holder == holder and not vote.over

    def let_go(self, address: str, term: int, holder: str) -> None:
        """The holder of a term has let go of it."""
        vote = self.votes.get(address)
        if vote is not None and vote.term == term and vote.holder == holder:
            self.revision += not vote.over
            vote.over = True

    def left(self, address: str, now: float) -> float:
        """Seconds until this voter is free to vote for anybody."""
        vote = self.votes.get(address)
        running = vote.until - now if vote is not None and vote.runs(now) else 0.0
        return max(running, self.quiet_until - now, 0.0)

    def kept(self) -> tuple[Kept, ...]:
        """The votes as they are written down."""
        return tuple(Kept(a, v.term, v.holder, v.over) for a, v in sorted(self.votes.items()))
