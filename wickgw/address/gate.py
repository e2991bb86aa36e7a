"""The lease check on the serving path: reads the clock before every step on a service address.

A gate covers one address in one term. Each connection keeps the gate of the listener that accepted it.
Nothing is accepted, taken or answered on the connection without a check, and a result is never cached: timers
do not fire while the process is stalled, so only the clock shows that a lease has expired. The gate owns the
end of the lease and does not extend it once the gate is finishing or shut.

A planned handover has one `HandoverBudget`. All requests of the gate, whenever they were taken, are due at
its `answer_by`, and the gate shuts at its `ends_at` or earlier.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

ANSWER_MARGIN_S = 0.01  # a hurried request is answered this long before the end of the lease
# Time between the last answer of a planned handover and its end: a dispatcher may be held up for 0.15 s
# between reading its clock and writing.
HANDOVER_MARGIN_S = 0.15
MIN_HANDOVER_S = 0.05  # for requests that are just arriving, however short the configured time is


@dataclass(frozen=True, slots=True)
class HandoverBudget:
    """The times of one planned handover, in seconds on the gate's clock."""

    answer_by: float  # when every request is due
    ends_at: float  # when the gate shuts at the latest

    @classmethod
    def starting(cls, now: float, finish_s: float, latest_end: float = math.inf) -> "HandoverBudget":
        """Return the budget of a handover that starts now and may take `finish_s` seconds.

        It ends no later than `latest_end`, but not before requests that are just arriving are answered.
        """
        ends_at = max(now + MIN_HANDOVER_S, min(now + finish_s, latest_end))
        return cls(ends_at - min(HANDOVER_MARGIN_S, (ends_at - now) / 2), ends_at)


class Phase(Enum):
    """What a gate lets through before the end of its lease."""

    OPEN = "open"  # requests and answers
    LEAVING = "leaving"  # the same, but each answer ends its connection, and all are due at one time
    FINISHING = "finishing"  # answers to requests already taken
    SHUT = "shut"  # nothing


TAKING_PHASES = (Phase.OPEN, Phase.LEAVING)


class Gate:
    """Guards one address in one term at one instance.

    `clock` returns the seconds that `valid_until` is measured in.
    """

    def __init__(self, address: str, term: int, valid_until: float, clock: Callable[[], float]) -> None:
        self.address, self.term, self.valid_until, self.clock = address, term, valid_until, clock
        self.phase = Phase.OPEN
        self.hurried = False  # the lease ends soon and has not been renewed
        self.budget: HandoverBudget | None = None  # of a planned handover, once it has started

    def may_take(self) -> bool:
        """Return whether a connection may be accepted or a request taken now."""
        return self.phase in TAKING_PHASES and self.clock() < self.valid_until

    def keeps_connections(self) -> bool:
        """Return whether a connection may stay open after its answer."""
        return self.phase is Phase.OPEN and self.clock() < self.valid_until

    def may_answer(self) -> bool:
        """Return whether an answer may be written now."""
        return self.phase is not Phase.SHUT and self.clock() < self.valid_until

    def time_left(self) -> float:
        """Return the seconds that a request taken now may take.

        Infinite while the lease is being renewed and no handover has started.
        """
        due_at = self.budget.answer_by if self.budget is not None else math.inf
        if self.hurried:
            due_at = min(due_at, self.valid_until - ANSWER_MARGIN_S)
        return max(0.0, due_at - self.clock())

    def extend(self, valid_until: float) -> None:
        """Move the end of the lease to a later time. Does nothing if the gate is finishing or shut."""
        if self.phase in TAKING_PHASES and valid_until > self.valid_until:
            self.valid_until, self.hurried = valid_until, False

    def leave(self, budget: HandoverBudget) -> None:
        """Start a planned handover, or replace the budget of one that has started."""
        self.budget = budget
        if self.phase is Phase.OPEN:
            self.phase = Phase.LEAVING

    def finish(self, valid_until: float) -> None:
        """Take no new requests; answer those already taken until `valid_until`, as agreed with the successor.

        Does nothing if the lease has already expired.
        """
        if self.may_take():
            self.phase, self.valid_until = Phase.FINISHING, valid_until

    def shut(self) -> None:
        """Let nothing through any more, permanently."""
        self.phase = Phase.SHUT
