"""The key file of a group: one or two lines, each with a key's name and 64 hexadecimal digits.

Reads, checks and extends the file. The first key signs datagrams; all keys verify them. A file that other
users can read is rejected, and no key appears in an error message or a log.
"""

import os
import re
import secrets
import stat
from dataclasses import dataclass
from pathlib import Path

KEY_LINE = re.compile(r"([0-9a-z]{4})\s+([0-9a-f]{64})")
MAX_KEYS = 2


class KeyFileError(Exception):
    """The key file can't be used. The message names the file and what is allowed."""


@dataclass(frozen=True, slots=True)
class Keys:
    """The group's keys by name, and the name of the key that signs."""

    signing_key_name: bytes
    secrets: dict[bytes, bytes]  # by key name

    def __repr__(self) -> str:
        """Return the names of the keys, without the secrets."""
        return f"Keys({', '.join(name.decode() for name in self.secrets)})"


def read_keys(path: Path) -> Keys:
    """Read and check a key file. Raises KeyFileError."""
    try:
        with path.open("rb") as file:
            file_status = os.fstat(file.fileno())
            if not stat.S_ISREG(file_status.st_mode):
                raise KeyFileError(f"{path}: not a regular file")
            if file_status.st_mode & 0o077:
                mode = stat.S_IMODE(file_status.st_mode)
                raise KeyFileError(f"{path}: mode {mode:o} read, 600 or 400 allowed: others must not read it")
            if file_status.st_uid not in (0, os.geteuid()):
                raise KeyFileError(
                    f"{path}: owned by user {file_status.st_uid}, this user or root allowed as the owner"
                )
            text = file.read(4096).decode("ascii", "replace")
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}") from error
    secrets_by_name: dict[bytes, bytes] = {}
    for line_number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        match = KEY_LINE.fullmatch(line.strip())
        if match is None:
            raise KeyFileError(
                f"{path}: line {line_number}: a name of 4 of 0-9a-z and 64 hexadecimal digits are allowed"
            )
        if match[1].encode() in secrets_by_name:
            raise KeyFileError(f"{path}: line {line_number}: the name {match[1]} is there twice")
        secrets_by_name[match[1].encode()] = bytes.fromhex(match[2])
    if not 1 <= len(secrets_by_name) <= MAX_KEYS:
        raise KeyFileError(f"{path}: {len(secrets_by_name)} keys read, 1 or {MAX_KEYS} allowed")
    return Keys(next(iter(secrets_by_name)), secrets_by_name)


def add_key(path: Path) -> tuple[str, int]:
    """Append a random key to the file, which is created if missing.

    Returns the key's name and the number of keys in the file. Raises KeyFileError.
    """
    existing = read_keys(path) if path.exists() else None
    if existing is not None and len(existing.secrets) >= MAX_KEYS:
        raise KeyFileError(f"{path}: {MAX_KEYS} keys already; remove the one that no instance signs with")
    name = secrets.token_hex(2)
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        with os.fdopen(descriptor, "w") as file:
            file.write(f"{name} {secrets.token_hex(32)}\n")
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}") from error
    return name, 1 if existing is None else len(existing.secrets) + 1
