"""The look: whether an address may still be answered on, asked of the clock each time and never remembered.

A gate stands for one address in one term. Every connection that came by the address keeps the gate that it
came through, and nothing is accepted, taken or answered on it without a look. Owns until when that may be.
It must never be extended after it was closed, nor trust a timer: a process that stalled has had none.
"""

from collections.abc import Callable
from enum import Enum

SPARE = 0.01  # seconds before the end by which a hurried request is answered


class Phase(Enum):
    """What a gate still lets through while its time runs."""

    OPEN = "open"  # requests and answers
    FINISHING = "finishing"  # answers to what was taken
    SHUT = "shut"  # nothing


class Gate:
    """One address in one term, at one instance."""

    def __init__(self, address: str, term: int, until: float, clock: Callable[[], float]) -> None:
        self.address, self.term, self.until, self.clock = address, term, until, clock
        self.phase = Phase.OPEN
        self.hurried = False  # the lease ends soon, and is not renewed

    def may_take(self) -> bool:
        """Whether a connection may be accepted, a request be taken."""
        return self.phase is Phase.OPEN and self.clock() < self.until

    def may_answer(self) -> bool:
        """Whether an answer may be written."""
        return self.phase is not Phase.SHUT and self.clock() < self.until

    def time_left(self) -> float:
        """Seconds that a request taken now may take."""
        return max(0.0, self.until - self.clock() - SPARE) if self.hurried else float("inf")

    def extend(self, until: float) -> None:
        """The lease was renewed."""
        if self.phase is Phase.OPEN and until > self.until:
            self.until, self.hurried = until, False

    def finish(self, until: float) -> None:
        """By agreement with the successor: what was taken is answered until then, nothing more is taken."""
        if self.phase is Phase.OPEN and self.clock() < self.until:
            self.phase, self.until = Phase.FINISHING, until

    def shut(self) -> None:
        """For ever."""
        self.phase = Phase.SHUT
