"""The state file: votes that outlive the process, so that a restart need not stay quiet.

Owns one small file, written whole, synced and renamed into place before a vote is told to anybody. A file
that can't be read, or is another instance's, counts as none: then the restart stays quiet for a lease, which
is always safe. It must never report a write that is not on the disk.
"""

import os
from pathlib import Path

import msgspec

from wickgw.address.events import Kept


class _File(msgspec.Struct):
    group: str
    me: str
    votes: tuple[Kept, ...]


class Store:
    """The votes of one instance on a disk."""

    def __init__(self, path: Path, group: str, me: str) -> None:
        self.path, self.group, self.me = path, group, me

    def read(self) -> tuple[Kept, ...] | None:
        """The votes of the life before; None if they are not known."""
        try:
            file = msgspec.json.decode(self.path.read_bytes(), type=_File)
        except (OSError, msgspec.MsgspecError, UnicodeDecodeError):
            return None
        return file.votes if (file.group, file.me) == (self.group, self.me) else None

    def write(self, votes: tuple[Kept, ...]) -> None:
        """Write the votes durably. Raises OSError, and then nothing may be said of them."""
        beside = self.path.with_name(self.path.name + ".new")
        handle = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            data = msgspec.json.encode(_File(self.group, self.me, votes))
            while data:
                data = data[os.write(handle, data) :]
            os.fsync(handle)
        finally:
            os.close(handle)
        os.replace(beside, self.path)
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def forget(self) -> None:
        """Remove the file: the next start then stays quiet. Raises OSError if it could not be removed."""
        self.path.unlink(missing_ok=True)
