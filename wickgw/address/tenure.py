"""The life of one address at one instance: from asking for the lease to having let go of it.

Owns the table of that life and the count of a lease: which rounds were asked when, who granted them, until
when the lease runs. It must never count a lease from a moment later than the asking, nor take a transition
that the table does not name.
"""

from dataclasses import dataclass, field
from enum import Enum

MOST_ROUNDS = 8  # rounds whose grants may still come


class Stage(Enum):
    """Where an address is, as far as this instance goes."""

    FREE = "free"  # not ours
    ASKING = "asking"  # votes are asked for
    TAKING = "taking"  # the lease is ours, the announcer at work
    HELD = "held"  # we serve
    RETIRING = "retiring"  # still ours, about to be let go of
    CLEARING = "clearing"  # ours no more, the announcer still at work


class Turn(Enum):
    """What moves it on."""

    ASK = "ask"
    WON = "won"
    GAVE_UP = "gave up"
    ANNOUNCED = "announced"
    NOT_ANNOUNCED = "not announced"
    RESIGN = "resign"
    WITHDRAWN = "withdrawn"
    EXPIRED = "expired"


TABLE: dict[tuple[Stage, Turn], Stage] = {
    (Stage.FREE, Turn.ASK): Stage.ASKING,
    (Stage.ASKING, Turn.WON): Stage.TAKING,
    (Stage.ASKING, Turn.GAVE_UP): Stage.FREE,
    (Stage.TAKING, Turn.ANNOUNCED): Stage.HELD,
    (Stage.TAKING, Turn.NOT_ANNOUNCED): Stage.RETIRING,
    (Stage.TAKING, Turn.RESIGN): Stage.RETIRING,
    (Stage.TAKING, Turn.EXPIRED): Stage.CLEARING,
    (Stage.HELD, Turn.RESIGN): Stage.RETIRING,
    (Stage.HELD, Turn.EXPIRED): Stage.CLEARING,
    (Stage.RETIRING, Turn.WITHDRAWN): Stage.FREE,
    (Stage.RETIRING, Turn.EXPIRED): Stage.CLEARING,
    (Stage.CLEARING, Turn.WITHDRAWN): Stage.FREE,
}
LEASED = {Stage.TAKING, Stage.HELD, Stage.RETIRING}  # the lease runs, and is renewed


class WrongTurn(Exception):
    """The table does not name this."""


@dataclass(slots=True)
class Tenure:
    """One address at one instance."""

    address: str
    stage: Stage = Stage.FREE
    term: int = 0  # the one asked for or held last
    seen: int = 0  # the highest term heard of
    round: int = 0
    asked: dict[int, float] = field(default_factory=dict)  # a round, and when it was asked
    granted: dict[int, set[str]] = field(default_factory=dict)  # a round, and who granted it
    denied: set[str] = field(default_factory=set)  # who denied the first round
    until: float = float("-inf")  # the lease, once won
    since: float = float("-inf")  # of the stage
    last_asked: float = float("-inf")
    called: bool = False  # the last call was made, and no renewal has come since
    cause: str = ""  # why we took it, or are leaving it
    successor: str = ""  # whom we hand it to
    open_since: float | None = None  # since when nothing has kept us from asking but our rank
    not_before: float = float("-inf")  # no asking before this
    failures: int = 0  # of the announcer, in a row
    lost: int = 0  # askings that were not won, in a row
    why: str = "start"  # why we are not asking, for operators

    def turn(self, turn: Turn, now: float) -> Stage:
        """Move on; returns the stage that was left. Raises WrongTurn."""
        old = self.stage
        try:
            self.stage = TABLE[old, turn]
        except KeyError:
            raise WrongTurn(f"{self.address}: {turn.value} while {old.value}") from None
        self.since = now
        return old

    def ask(self, now: float) -> int:
        """A round goes out now; returns its number."""
        self.round += 1
        self.asked[self.round], self.granted[self.round], self.last_asked = now, set(), now
        for old in [r for r in self.asked if r <= self.round - MOST_ROUNDS]:
            del self.asked[old], self.granted[old]
        return self.round

    def grant(self, voter: str, round_: int, majority: int, held_for: float, now: float) -> bool:
        """A vote came; whether a majority now carries the lease further than before."""
        voters = self.granted.get(round_)
        if voters is None:
            return False
        voters.add(voter)
        if len(voters) < majority:
            return False
        end = self.counted_from(round_, now) + held_for
        longer, self.until = end > self.until, max(end, self.until)
        return longer

    def counted_from(self, round_: int, now: float) -> float:
        """The moment that a lease is counted from: before the round was asked, whenever its grants came."""
        return self.asked[round_]

    def clear(self) -> None:
        """Nothing of a former term may count for the next one."""
        self.asked, self.granted, self.denied = {}, {}, set()
        self.until, self.called, self.open_since, self.successor = float("-inf"), False, None, ""
