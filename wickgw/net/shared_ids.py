"""Sent ids that are shared by the processes of an upgrade, which use one directory for temporary files.

Each process appends to files of its own and reads those of the others, so no file has two writers. A file
holds records of one size: the id, padded, and the time on the monotonic clock of the machine at which it is
forgotten; 0 takes the id back. A process holds a lock on its file for as long as it lives. A file without a
lock whose records have all expired is removed by the next process that starts.
"""

import contextlib
import fcntl
import os
import struct
import time
from dataclasses import dataclass
from pathlib import Path

from wickgw.net.memory_use import SENT_IDS_DIRECTORY
from wickgw.net.sent_ids import SentIds
from wickgw.observe import get_logger

log = get_logger("wickgw")
RECORD = struct.Struct("<64sd")
MAX_FILE_RECORDS = 4000  # then the next file begins; a process keeps its last two
MAX_OTHER_FILES = 4  # of other processes, the latest ones
READ_RECORDS = 512  # in one read
# Changes of a directory within the granularity of its time can't be told apart.
DIRECTORY_SETTLED_NS = 100_000_000


@dataclass
class OtherFile:
    """The file of another process, and how much of it has been read."""

    descriptor: int
    offset: int = 0


class SharedSentIds(SentIds):
    """The ids that this process or another one of the same upgrade has sent.

    Raises OSError if the directory can't be used.
    """

    def __init__(self, remember_s: float, folder: Path) -> None:
        super().__init__(remember_s)
        self.directory = folder / SENT_IDS_DIRECTORY
        self.directory.mkdir(mode=0o700, exist_ok=True)
        self._serial, self._records = 0, 0
        self._own_files: list[Path] = []
        self._others: dict[str, OtherFile] = {}
        self._listed_at_ns = -1  # the directory's time of change when it was last listed
        self._remove_expired_files()
        self._descriptor = self._create_file()

    def remember(self, request_id: str, now: float) -> None:
        """Remember an id here and at the other process, before its attempt is sent."""
        super().remember(request_id, now)
        self._write(request_id, now + self.remember_s)

    def forget(self, request_id: str) -> None:
        """Forget an id here and at the other process."""
        super().forget(request_id)
        self._write(request_id, 0.0)

    def knows(self, request_id: str, now: float) -> bool:
        """Return whether a request with this id may have run, here or at the other process."""
        try:
            self._read_others(now)
        except OSError as error:
            log.warning("ids.unreadable", error=str(error))
        return super().knows(request_id, now)

    def close(self) -> None:
        """Close the files; the other process still reads them."""
        for other in self._others.values():
            os.close(other.descriptor)
        self._others.clear()
        os.close(self._descriptor)
        self._descriptor = -1

    # Its own files.

    def _create_file(self) -> int:
        path = self.directory / f"{os.getpid()}.{time.monotonic_ns()}.{self._serial}"
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND, 0o600)
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self._own_files.append(path)
        self._serial, self._records = self._serial + 1, 0
        return descriptor

    def _write(self, request_id: str, forget_at: float) -> None:
        if self._descriptor < 0:  # attempts that end as the process does
            return
        try:
            if self._records >= MAX_FILE_RECORDS:
                self._begin_next_file()
            os.write(self._descriptor, RECORD.pack(request_id.encode(), forget_at))
            self._records += 1
        except OSError as error:  # the job is sent all the same: this process knows its id
            log.warning("ids.unwritten", error=str(error))

    def _begin_next_file(self) -> None:
        previous, self._descriptor = self._descriptor, self._create_file()
        os.close(previous)
        for path in self._own_files[:-2]:
            path.unlink(missing_ok=True)
        del self._own_files[:-2]

    # The files of others.

    def _read_others(self, now: float) -> None:
        changed_at_ns = os.stat(self.directory).st_mtime_ns
        if changed_at_ns != self._listed_at_ns:
            self._list_others()
            is_settled = time.time_ns() - changed_at_ns > DIRECTORY_SETTLED_NS
            self._listed_at_ns = changed_at_ns if is_settled else -1
        for other in self._others.values():
            self._read_records(other, now)

    def _list_others(self) -> None:
        """Open new files of other processes and close those that are gone."""
        own_names = {path.name for path in self._own_files}
        names = [name for name in os.listdir(self.directory) if name not in own_names]
        names = sorted(names, key=lambda name: name.split(".")[1:])[-MAX_OTHER_FILES:]
        for name in self._others.keys() - set(names):
            os.close(self._others.pop(name).descriptor)
        for name in names:
            if name not in self._others:
                with contextlib.suppress(FileNotFoundError):
                    descriptor = os.open(self.directory / name, os.O_RDONLY)
                    self._others[name] = OtherFile(descriptor)

    def _read_records(self, other: OtherFile, now: float) -> None:
        while True:
            data = os.pread(other.descriptor, READ_RECORDS * RECORD.size, other.offset)
            whole_bytes = len(data) - len(data) % RECORD.size
            for raw_id, forget_at in RECORD.iter_unpack(data[:whole_bytes]):
                request_id = raw_id.rstrip(b"\0").decode("ascii", "replace")
                if forget_at > now:
                    self.remember_until(request_id, min(forget_at, now + self.remember_s), now)
                elif not forget_at:
                    super().forget(request_id)
            other.offset += whole_bytes
            if whole_bytes < READ_RECORDS * RECORD.size:
                return

    def _remove_expired_files(self) -> None:
        """Remove the files of processes that have ended, once all their ids have expired."""
        for name in os.listdir(self.directory):
            path = self.directory / name
            with contextlib.suppress(OSError):
                if time.time() - path.stat().st_mtime > self.remember_s and is_unlocked(path):
                    path.unlink()


def is_unlocked(path: Path) -> bool:
    """Return whether the process that wrote a file has ended."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    finally:
        os.close(descriptor)
    return True
