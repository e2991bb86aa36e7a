"""The lease of one instance on one address, from the first request for votes to the release.

Contains the state machine and the arithmetic of the lease: when each round of requests was sent, which voters
granted it, and when the lease expires. A lease is never counted from a moment later than the request, and a
transition that is not in the table is an error.
"""

from dataclasses import dataclass, field
from enum import Enum

MAX_OPEN_ROUNDS = 8  # latest rounds whose grants still count


class Stage(Enum):
    """The state of an address at this instance."""

    FREE = "free"  # not held here
    ASKING = "asking"  # votes have been requested
    TAKING = "taking"  # the lease is won, the announcer is running
    HELD = "held"  # the address is announced and served
    RETIRING = "retiring"  # the lease still runs, the address is being withdrawn
    CLEARING = "clearing"  # the lease has expired, the announcer is still running


class Trigger(Enum):
    """The cause of a transition between stages."""

    ASK = "ask"
    WON = "won"
    GAVE_UP = "gave up"  # the election was lost or timed out
    ANNOUNCED = "announced"
    NOT_ANNOUNCED = "not announced"  # the announcer failed
    RESIGN = "resign"  # a planned handover begins
    WITHDRAWN = "withdrawn"  # nothing is taken or announced any more
    EXPIRED = "expired"  # no majority renewed the lease in time


TRANSITIONS: dict[tuple[Stage, Trigger], Stage] = {
    (Stage.FREE, Trigger.ASK): Stage.ASKING,
    (Stage.ASKING, Trigger.WON): Stage.TAKING,
    (Stage.ASKING, Trigger.GAVE_UP): Stage.FREE,
    (Stage.TAKING, Trigger.ANNOUNCED): Stage.HELD,
    (Stage.TAKING, Trigger.NOT_ANNOUNCED): Stage.RETIRING,
    (Stage.TAKING, Trigger.RESIGN): Stage.RETIRING,
    (Stage.TAKING, Trigger.EXPIRED): Stage.CLEARING,
    (Stage.HELD, Trigger.RESIGN): Stage.RETIRING,
    (Stage.HELD, Trigger.EXPIRED): Stage.CLEARING,
    (Stage.RETIRING, Trigger.WITHDRAWN): Stage.FREE,
    (Stage.RETIRING, Trigger.EXPIRED): Stage.CLEARING,
    (Stage.CLEARING, Trigger.WITHDRAWN): Stage.FREE,
}
LEASED = {Stage.TAKING, Stage.HELD, Stage.RETIRING}  # the lease runs and is renewed


@dataclass(frozen=True, slots=True)
class GrantedVote:
    """A vote for this instance, as its voter has granted it."""

    voter: str
    round_number: int
    duration_s: float  # for which the voter has bound itself, without its allowance for clock drift


class InvalidTransitionError(Exception):
    """The table has no transition for this stage and trigger."""


@dataclass(slots=True)
class AddressLease:
    """One address at one instance. Times are seconds on the instance's clock."""

    address: str
    stage: Stage = Stage.FREE
    term: int = 0  # the term last requested or held
    highest_seen_term: int = 0
    round_number: int = 0  # the latest round of vote requests
    asked_at: dict[int, float] = field(default_factory=dict)  # by round: when the requests were sent
    # By round, for each voter that granted it: the seconds for which the voter has bound itself.
    granted_by: dict[int, dict[str, float]] = field(default_factory=dict)
    denied_by: set[str] = field(default_factory=set)  # voters that denied the first round
    expires_at: float = float("-inf")  # end of the lease, once won
    renewed_round: int = 0  # the latest round that a majority has granted
    duration_s: float = 0.0  # of the votes of that round's majority; before the first, of the votes asked for
    stage_since: float = float("-inf")
    last_asked_at: float = float("-inf")
    last_call_made: bool = False  # pending requests were hurried, and no renewal has arrived since
    cause: str = ""  # why the address is being taken or released
    successor: str = ""  # the instance that the address is handed to
    eligible_since: float | None = None  # since when only this instance's rank delays its request for votes
    ask_not_before: float = float("-inf")
    announce_failures: int = 0  # consecutive
    lost_elections: int = 0  # consecutive
    idle_reason: str = "start"  # why this instance is not asking for the address, for operators

    def transition(self, trigger: Trigger, now: float) -> Stage:
        """Change the stage. Returns the stage that was left. Raises InvalidTransitionError."""
        old_stage = self.stage
        try:
            self.stage = TRANSITIONS[old_stage, trigger]
        except KeyError:
            raise InvalidTransitionError(f"{self.address}: {trigger.value} while {old_stage.value}") from None
        self.stage_since = now
        return old_stage

    def start_round(self, now: float) -> int:
        """Record that a round of vote requests is sent now. Returns the round's number."""
        self.round_number += 1
        self.asked_at[self.round_number] = self.last_asked_at = now
        self.granted_by[self.round_number] = {}
        for old_round in [
            round_number
            for round_number in self.asked_at
            if round_number <= self.round_number - MAX_OPEN_ROUNDS
        ]:
            del self.asked_at[old_round], self.granted_by[old_round]
        return self.round_number

    def add_grant(self, vote: GrantedVote, majority: int, clock_drift: float, now: float) -> bool:
        """Record a vote. Returns whether a majority now carries the lease further than before.

        The lease lasts as long as a majority of the round's voters is bound, shortened by `clock_drift`.
        """
        durations = self.granted_by.get(vote.round_number)
        if durations is None:
            return False
        durations[vote.voter] = vote.duration_s
        if len(durations) < majority:
            return False
        duration_s = sorted(durations.values(), reverse=True)[majority - 1]
        if vote.round_number >= self.renewed_round:
            self.renewed_round, self.duration_s = vote.round_number, duration_s
        lease_end = self.lease_start(vote.round_number, now) + duration_s * (1 - clock_drift)
        extended, self.expires_at = lease_end > self.expires_at, max(lease_end, self.expires_at)
        return extended

    def lease_start(self, round_number: int, now: float) -> float:
        """Return the time that a lease is counted from: the sending of the round, however late its grants."""
        return self.asked_at[round_number]

    def reset(self) -> None:
        """Forget the votes and times of the last term, so that none of them counts for the next one."""
        self.asked_at, self.granted_by, self.denied_by = {}, {}, set()
        self.expires_at, self.last_call_made, self.eligible_since, self.successor = (
            float("-inf"),
            False,
            None,
            "",
        )
