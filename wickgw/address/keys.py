"""The key file of a group: one or two keys, each a line of a name and 64 hexadecimal digits.

Owns reading, checking and adding. The first key seals; all open. It must never accept a file that others may
read, nor put a key into a message or a log.
"""

import os
import re
import secrets
import stat
from dataclasses import dataclass
from pathlib import Path

LINE = re.compile(r"([0-9a-z]{4})\s+([0-9a-f]{64})")
MOST_KEYS = 2


class KeyFileError(Exception):
    """The key file can't be used; the text names it and what is allowed."""


@dataclass(frozen=True, slots=True)
class Keys:
    """What seals, and what opens, by the keys' names."""

    first: bytes
    secrets: dict[bytes, bytes]

    def __repr__(self) -> str:
        return f"Keys({', '.join(name.decode() for name in self.secrets)})"


def read_keys(path: Path) -> Keys:
    """Read and check a key file. Raises KeyFileError."""
    try:
        with path.open("rb") as file:
            facts = os.fstat(file.fileno())
            if not stat.S_ISREG(facts.st_mode):
                raise KeyFileError(f"{path}: not a file")
            if facts.st_mode & 0o077:
                mode = stat.S_IMODE(facts.st_mode)
                raise KeyFileError(f"{path}: mode {mode:o} read, 600 or 400 allowed: others must not read it")
            if facts.st_uid not in (0, os.geteuid()):
                raise KeyFileError(f"{path}: it belongs to user {facts.st_uid}, this user or root allowed")
            text = file.read(4096).decode("ascii", "replace")
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}") from error
    found: dict[bytes, bytes] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        match = LINE.fullmatch(line.strip())
        if match is None:
            raise KeyFileError(
                f"{path}: line {number}: a name of 4 of 0-9a-z and 64 hexadecimal digits are allowed"
            )
        if match[1].encode() in found:
            raise KeyFileError(f"{path}: line {number}: the name {match[1]} is there twice")
        found[match[1].encode()] = bytes.fromhex(match[2])
    if not 1 <= len(found) <= MOST_KEYS:
        raise KeyFileError(f"{path}: {len(found)} keys read, 1 or {MOST_KEYS} allowed")
    return Keys(next(iter(found)), found)


def add_key(path: Path) -> tuple[str, int]:
    """Add a fresh key as the last line; returns its name and how many there are. Raises KeyFileError."""
    old = read_keys(path) if path.exists() else None
    if old is not None and len(old.secrets) >= MOST_KEYS:
        raise KeyFileError(f"{path}: {MOST_KEYS} keys already; remove the one that no instance seals with")
    name = secrets.token_hex(2)
    try:
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        with os.fdopen(handle, "w") as file:
            file.write(f"{name} {secrets.token_hex(32)}\n")
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}") from error
    return name, 1 if old is None else len(old.secrets) + 1
