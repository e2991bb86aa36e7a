"""How many descriptors the processes of an upgrade hold, told through the directory that they share.

Each process writes one small file of its own and reads those of the others, so no file has two writers. It
holds a lock on its file for as long as it lives; a file without a lock belongs to a process that has ended.
"""

import contextlib
import fcntl
import os
import struct
import time
from pathlib import Path

from wickgw.net.memory_use import USAGE_DIRECTORY
from wickgw.net.shared_ids import is_unlocked
from wickgw.observe import get_logger

log = get_logger("wickgw")
_RECORD = struct.Struct("<Q")
MAX_OTHER_FILES = 4  # that are read; an upgrade has two processes


class SharedUsage:
    """The file of this process, and those of others.

    Raises OSError if the directory can't be used.
    """

    def __init__(self, folder: Path) -> None:
        self.directory = folder / USAGE_DIRECTORY
        self.directory.mkdir(mode=0o700, exist_ok=True)
        self._path = self.directory / f"{os.getpid()}.{time.monotonic_ns()}"
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
        self._descriptor = os.open(self._path, flags, 0o600)
        fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def publish(self, descriptors: int) -> None:
        """Tell the others how many descriptors this process holds or may open without asking."""
        try:
            os.pwrite(self._descriptor, _RECORD.pack(descriptors), 0)
        except OSError as error:
            log.warning("usage.unwritten", error=str(error))

    def read_others(self) -> int | None:
        """Return the descriptors of the other processes; None if there is none, or none has told."""
        others = [self._read(self.directory / name) for name in self._other_names()]
        told = [descriptors for descriptors in others if descriptors is not None]
        return sum(told) if told else None

    def _other_names(self) -> list[str]:
        try:
            names = [name for name in os.listdir(self.directory) if name != self._path.name]
        except OSError as error:
            log.warning("usage.unreadable", error=str(error))
            return []
        return sorted(names, key=lambda name: name.partition(".")[2])[-MAX_OTHER_FILES:]

    def _read(self, path: Path) -> int | None:
        """Return what one process has told; the file of a process that has ended is removed."""
        try:
            if is_unlocked(path):
                path.unlink()
                return None
            (descriptors,) = _RECORD.unpack(path.read_bytes())
        except (OSError, struct.error):  # removed meanwhile, or not written yet
            return None
        return int(descriptors)

    def close(self) -> None:
        """Remove the file."""
        with contextlib.suppress(OSError):
            self._path.unlink()
        os.close(self._descriptor)
