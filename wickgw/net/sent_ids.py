"""Ids of requests that may have run and must not run twice, for as long as their clients may send them again.

A client may send a request once more, with the same id, if its connection is closed before the answer.
`SentIds` is what one process has sent, without I/O or a clock; `shared_ids` adds what another process on the
same listening socket has sent.
"""

import os
from collections import OrderedDict
from pathlib import Path

from wickgw.observe import get_logger

log = get_logger("wickgw")

MAX_REMEMBERED_BYTES = 1_000_000  # of all ids of a process; beyond it the oldest are forgotten
REMEMBERED_ID_BYTES = 270  # the longest id with its entry
# How long an id is remembered, in longest deadlines of the settings: an attempt ends within one, and a client
# that left before may wait for another.
REMEMBERED_DEADLINES = 2


class SentIds:
    """The ids that this process has sent to workers, with the times at which they are forgotten.

    `remember_s` is how long each is remembered.
    """

    def __init__(self, remember_s: float, max_bytes: int = MAX_REMEMBERED_BYTES) -> None:
        self.remember_s = remember_s
        self.max_ids = max_bytes // REMEMBERED_ID_BYTES
        self.forgotten_early = 0  # ids that did not fit
        self._forget_at: OrderedDict[str, float] = OrderedDict()  # by id; the oldest first

    def __len__(self) -> int:
        """Number of remembered ids."""
        return len(self._forget_at)

    def remember(self, request_id: str, now: float) -> None:
        """Remember an id of which an attempt is about to be sent."""
        self.remember_until(request_id, now + self.remember_s, now)

    def remember_until(self, request_id: str, forget_at: float, now: float) -> None:
        """Remember an id until a time."""
        self._forget_at[request_id] = forget_at
        self._forget_at.move_to_end(request_id)
        self._forget_expired(now)
        if len(self._forget_at) > self.max_ids:
            self._forget_at.popitem(last=False)
            self.forgotten_early += 1

    def forget(self, request_id: str) -> None:
        """Forget an id of which no attempt has run."""
        self._forget_at.pop(request_id, None)

    def knows(self, request_id: str, now: float) -> bool:
        """Return whether a request with this id may have run."""
        return self._forget_at.get(request_id, now) > now

    def _forget_expired(self, now: float) -> None:
        while self._forget_at:
            oldest, forget_at = next(iter(self._forget_at.items()))
            if forget_at > now:
                return
            del self._forget_at[oldest]

    def close(self) -> None:
        """Release what the ids are kept in; for subclasses."""


def create_sent_ids(longest_deadline: float, is_shared: bool) -> SentIds:
    """Return the store of sent ids of a process.

    Args:
        longest_deadline: Of the settings' classes, in seconds.
        is_shared: Whether another process may accept from the same listening socket. The ids are then shared
            through $TMPDIR, if it is set and can be used.
    """
    remember_s, folder = REMEMBERED_DEADLINES * longest_deadline, os.environ.get("TMPDIR")
    if not is_shared or not folder:
        return SentIds(remember_s)
    from wickgw.net.shared_ids import SharedSentIds

    try:
        return SharedSentIds(remember_s, Path(folder))
    except OSError as error:
        log.warning("ids.not-shared", folder=folder, error=str(error))
        return SentIds(remember_s)
