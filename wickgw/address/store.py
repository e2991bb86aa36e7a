"""The state file: votes that survive the process, so that a restarted instance may vote at once.

Each write replaces the whole file: the new contents are written beside it, synced and renamed into place
before any vote is sent. A file that can't be read, or that belongs to another instance, counts as missing.
The restarted instance then does not vote for one lease, which is always safe.
"""

import os
from pathlib import Path

import msgspec

from wickgw.address.events import StoredVote


class _StateFile(msgspec.Struct):
    """The JSON object in the file."""

    group: str
    me: str
    votes: tuple[StoredVote, ...]


class VoteStore:
    """The state file of one instance."""

    def __init__(self, path: Path, group: str, instance: str) -> None:
        self.path, self.group, self.instance = path, group, instance

    def read(self) -> tuple[StoredVote, ...] | None:
        """Return the votes of the previous process; None if they are unknown."""
        try:
            file = msgspec.json.decode(self.path.read_bytes(), type=_StateFile)
        except (OSError, msgspec.MsgspecError, UnicodeDecodeError):
            return None
        return file.votes if (file.group, file.me) == (self.group, self.instance) else None

    def write(self, votes: tuple[StoredVote, ...]) -> None:
        """Write the votes durably. Raises OSError; the votes must not be sent in that case."""
        temporary = self.path.with_name(self.path.name + ".new")
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            data = msgspec.json.encode(_StateFile(self.group, self.instance, votes))
            while data:
                data = data[os.write(descriptor, data) :]
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary, self.path)
        directory = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def delete(self) -> None:
        """Remove the file, so that the next start does not vote for one lease. Raises OSError."""
        self.path.unlink(missing_ok=True)
