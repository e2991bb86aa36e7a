"""Against replay: which datagrams of a sender have been seen.

Owns, for each sender, the life it is in and a window over its last sequence numbers (RFC 4303, section
3.4.3): datagrams may come out of order, but none twice, none from before the window, and none of an earlier
life once a later one has been heard. It must never be asked about a datagram whose seal has not been checked.
"""

from dataclasses import dataclass

WIDTH = 128  # sequence numbers; some 5 s of a busy group


@dataclass(slots=True)
class Window:
    """The datagrams of one sender."""

    boot: int = 0
    highest: int = 0
    seen: int = 0  # a bit for each number, the highest being bit 0

    def accept(self, boot: int, number: int) -> bool:
        """Whether this one is new; if so it counts as seen from now on."""
        if boot < self.boot or number < 1:
            return False
        if boot > self.boot:
            self.boot, self.highest, self.seen = boot, 0, 0
        ahead = number - self.highest
        if ahead > 0:
            self.seen = ((self.seen << ahead) | 1) & ((1 << WIDTH) - 1) if ahead < WIDTH else 1
            self.highest = number
            return True
        bit = 1 << -ahead
        if -ahead >= WIDTH or self.seen & bit:
            return False
        self.seen |= bit
        return True
