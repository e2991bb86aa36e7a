"""The lease check on the serving path: reads the clock before every step on a service address.

A gate covers one address in one term. Each connection keeps the gate of the listener that accepted it.
Nothing is accepted, taken or answered on the connection without a check, and a result is never cached: timers
do not fire while the process is stalled, so only the clock shows that a lease has expired. The gate owns the
end of the lease and does not extend it once the gate is finishing or shut.
"""

from collections.abc import Callable
from enum import Enum

ANSWER_MARGIN_S = 0.01  # a hurried request is answered this long before the end of the lease


class Phase(Enum):
    """What a gate lets through before the end of its lease."""

    OPEN = "open"  # requests and answers
    FINISHING = "finishing"  # answers to requests already taken
    SHUT = "shut"  # nothing


class Gate:
    """Guards one address in one term at one instance.

    `clock` returns the seconds that `valid_until` is measured in.
    """

    def __init__(self, address: str, term: int, valid_until: float, clock: Callable[[], float]) -> None:
        self.address, self.term, self.valid_until, self.clock = address, term, valid_until, clock
        self.phase = Phase.OPEN
        self.hurried = False  # the lease ends soon and has not been renewed

    def may_take(self) -> bool:
        """Return whether a connection may be accepted or a request taken now."""
        return self.phase is Phase.OPEN and self.clock() < self.valid_until

    def may_answer(self) -> bool:
        """Return whether an answer may be written now."""
        return self.phase is not Phase.SHUT and self.clock() < self.valid_until

    def time_left(self) -> float:
        """Return the seconds that a request taken now may take; infinite while the lease is being renewed."""
        return max(0.0, self.valid_until - self.clock() - ANSWER_MARGIN_S) if self.hurried else float("inf")

    def extend(self, valid_until: float) -> None:
        """Move the end of the lease to a later time. Does nothing if the gate is finishing or shut."""
        if self.phase is Phase.OPEN and valid_until > self.valid_until:
            self.valid_until, self.hurried = valid_until, False

    def finish(self, valid_until: float) -> None:
        """Take no new requests; answer those already taken until `valid_until`, as agreed with the successor.

        Does nothing if the lease has already expired.
        """
        if self.phase is Phase.OPEN and self.clock() < self.valid_until:
            self.phase, self.valid_until = Phase.FINISHING, valid_until

    def shut(self) -> None:
        """Let nothing through any more, permanently."""
        self.phase = Phase.SHUT
