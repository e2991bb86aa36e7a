"""Replay protection: which datagrams of a sender have been received.

Keeps, for one sender, the start time of its current process and a sliding window over its latest sequence
numbers (RFC 4303, section 3.4.3). Datagrams may arrive out of order. A datagram is rejected if it arrives a
second time, is older than the window, or comes from an earlier start of the sender than the latest one heard.
Callers check the authentication code of a datagram before they pass its number here.
"""

from dataclasses import dataclass

WINDOW_DATAGRAMS = 128  # about 5 s of traffic in a busy group


@dataclass(slots=True)
class ReplayWindow:
    """The received datagrams of one sender."""

    boot: int = 0  # the sender's start: Unix microseconds
    highest: int = 0  # the highest sequence number received
    received_bits: int = 0  # one bit for each number; `highest` is bit 0

    def accept(self, boot: int, number: int) -> bool:
        """Return whether the datagram is new, and mark it as received if so."""
        if boot < self.boot or number < 1:
            return False
        if boot > self.boot:
            self.boot, self.highest, self.received_bits = boot, 0, 0
        ahead = number - self.highest
        if ahead > 0:
            self.received_bits = (
                ((self.received_bits << ahead) | 1) & ((1 << WINDOW_DATAGRAMS) - 1)
                if ahead < WINDOW_DATAGRAMS
                else 1
            )
            self.highest = number
            return True
        bit = 1 << -ahead
        if -ahead >= WINDOW_DATAGRAMS or self.received_bits & bit:
            return False
        self.received_bits |= bit
        return True
