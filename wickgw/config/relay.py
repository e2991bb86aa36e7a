"""The platform's configuration: RELAY_CONFIG and the environment around it.

Owns its one reader, which serves the start, a reload and `wickgw check` alike. It must never let a
configuration through that a dispatcher could not start on, nor say what is wrong in more than one line.
"""

import json
import math
import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wickgw import interface as i
from wickgw.facts import read_settings
from wickgw.net.listen import address, listening
from wickgw.validate import check

FEWEST_DESCRIPTORS = 32
PASSED = "RELAY_PASSED_SOCKET"
BACKLOG = 1024  # connections of clients that may wait to be accepted


class ConfigError(Exception):
    """The configuration or the environment can't be used."""


@dataclass(frozen=True, slots=True)
class Config:
    """What a dispatcher is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: str
    seed: int
    descriptors: int
    memory_mb: float
    settings: i.Settings
    known: Any  # the list as it was held last, in discovery's form; None if there was none
    mgmt: tuple[str, int] | None = None  # the second address, for the calls of operators
    passed: int | None = None  # the descriptor of a listening socket that the platform holds for clients
    path: str = "RELAY_CONFIG"  # the file it was read from, to be named in errors


@dataclass(frozen=True, slots=True)
class Sources:
    """Where a process's settings were read, so that they can be read again."""

    environ: Mapping[str, str]
    ini: Path | None = None
    verbose: bool = False


def read_config(environ: Mapping[str, str]) -> Config:
    """The configuration named by the environment. Raises ConfigError with one plain line."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not an object")

    def text(key: str, file_first: bool = False) -> str:
        told = environ.get(f"RELAY_{key.upper()}"), raw.get(key)
        value = (told[1] or told[0]) if file_first else (told[0] or told[1])
        if not isinstance(value, str) or not value:
            raise ConfigError(f"{path}: {key} is missing")
        return value

    # The file can be replaced while the process runs, its environment can't: where discovery is, which may
    # change, is the file's to say. Name and listening address hold for the process's life.
    name, listen, discovery = text("name"), text("listen"), text("discovery", file_first=True)
    try:
        where = address(listen)
        address(discovery)
        settings = read_settings(raw["settings"])
        check(settings)
        seed = raw.get("seed", 0)
        limits = raw.get("limits", {})
        descriptors, memory = limits.get("sockets", 1024), float(limits.get("memory_mb", 192))
        if type(descriptors) is not int or descriptors < FEWEST_DESCRIPTORS:
            raise ValueError(f"limits.sockets: {descriptors!r} is too few")
        if not 0 < memory < math.inf:
            raise ValueError(f"limits.memory_mb: {memory!r} can't be")
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        what = f"{error} is missing" if isinstance(error, KeyError) else str(error)
        raise ConfigError(f"{path}: {what}") from error
    # Like name and listen, the environment's first: an upgrade's second process is given its own there.
    mgmt, at = environ.get("RELAY_MGMT") or raw.get("mgmt"), None
    if mgmt is not None and mgmt != "":
        try:
            if not isinstance(mgmt, str):
                raise ValueError(f"not an address: {mgmt!r}")
            at = address(mgmt)
        except ValueError as error:
            raise ConfigError(
                f"{path}: mgmt (or RELAY_MGMT): {error}; HOST:PORT of IPv4 is allowed"
            ) from error
    passed = passed_socket(environ.get(PASSED))
    return Config(
        name, where, discovery, seed, descriptors, memory, settings, raw.get("known"), at, passed, path
    )


@dataclass(frozen=True, slots=True)
class Opened:
    """The sockets that a dispatcher listens at. Whoever holds this closes them."""

    clients: socket.socket
    mgmt: socket.socket | None
    # When the clients' one began to listen, on the monotonic clock; None if that was another process's doing.
    since: float | None = None


def open_sockets(config: Config) -> Opened:
    """Listen where the configuration says, or take the socket that the platform holds. Raises ConfigError,
    with nothing left open."""
    mgmt = None
    if config.mgmt is not None:
        # Before clients: a process that can't take calls ends before it has taken anybody's job.
        host, port = config.mgmt
        try:
            mgmt = listening(config.mgmt, 128)
        except OSError as error:
            raise ConfigError(
                f"{config.path}: mgmt (or RELAY_MGMT): can't listen at {host}:{port}: "
                f"{error.strerror}; a free address of this host is allowed"
            ) from error
    if config.passed is not None:
        # It is shared with the process before or after this one: it is never bound, and closing it here
        # closes only this process's descriptor, so that the queue in it stays whole for the other.
        clients = socket.socket(fileno=config.passed)
        clients.setblocking(False)
        return Opened(clients, mgmt)
    try:
        since = time.monotonic()  # before the first connection can have come
        return Opened(listening(config.listen, BACKLOG), mgmt, since)
    except OSError as error:
        if mgmt is not None:
            mgmt.close()
        raise ConfigError(
            f"can't listen at {config.listen[0]}:{config.listen[1]}: {error.strerror}"
        ) from error


def passed_socket(told: str | None) -> int | None:
    """The descriptor that $RELAY_PASSED_SOCKET names, once it is seen to be a listening TCP socket. The
    socket is only looked at: it is the platform's, and held by other processes too. Raises ConfigError."""
    if told is None or not told.strip():
        return None
    allowed = "the number of an open, listening TCP socket is allowed"
    if not told.strip().isdigit():
        raise ConfigError(f"{PASSED}: {told!r}; {allowed}")
    number = int(told)
    try:
        # fromfd makes a copy, so that looking closes nothing of the platform's.
        with socket.fromfd(number, socket.AF_INET, socket.SOCK_STREAM) as sock:
            kind = sock.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)
            listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            family = sock.getsockopt(socket.SOL_SOCKET, socket.SO_DOMAIN)
    except OSError as error:
        raise ConfigError(f"{PASSED}: {number}: {error.strerror}; {allowed}") from error
    if kind != socket.SOCK_STREAM or family != socket.AF_INET or not listening:
        raise ConfigError(f"{PASSED}: {number} is not a listening TCP socket; {allowed}")
    return number
