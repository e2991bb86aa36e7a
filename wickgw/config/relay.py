"""Reads the platform's configuration: the file that RELAY_CONFIG names, and the environment variables.

The start, a reload and `wickgw check` use the same reader. A configuration that a dispatcher can't start with
is rejected with an error of one line.
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
from wickgw.net.listen import open_at_start, parse_address, set_buffers
from wickgw.net.memory_plan import first_buffer_bytes
from wickgw.platform_data import read_settings
from wickgw.validate import check_settings

MIN_DESCRIPTORS = 32
PASSED_SOCKET_VARIABLE = "RELAY_PASSED_SOCKET"
BACKLOG_CONNECTIONS = 1024  # client connections that wait to be accepted


class ConfigError(Exception):
    """The configuration or the environment is invalid or can't be used."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one dispatcher."""

    name: str
    listen: tuple[str, int]  # host and port for clients
    discovery: str  # HOST:PORT of the discovery service
    seed: int  # of the random number generator
    descriptors: int  # the limit on open sockets
    memory_mb: float  # the limit on memory
    settings: i.Settings
    known: Any  # the last known list of workers, in discovery's format; None if there is none
    mgmt: tuple[str, int] | None = None  # host and port of the management port
    # The descriptor of a listening socket for clients that the platform passed to the process.
    passed_descriptor: int | None = None
    path: str = "RELAY_CONFIG"  # the file, for error messages


@dataclass(frozen=True, slots=True)
class ConfigSources:
    """Where the settings of a process are read from, for reloads."""

    environ: Mapping[str, str]
    ini: Path | None = None
    verbose: bool = False


def read_config(environ: Mapping[str, str]) -> Config:
    """Read the configuration that `environ` names. Raises ConfigError with a message of one line."""
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
        values = environ.get(f"RELAY_{key.upper()}"), raw.get(key)
        value = (values[1] or values[0]) if file_first else (values[0] or values[1])
        if not isinstance(value, str) or not value:
            raise ConfigError(f"{path}: {key} is missing")
        return value

    # The file can be replaced while the process runs, its environment can't. The address of discovery may
    # change, so the file has precedence for it. Name and listening address are fixed for the process.
    name, listen, discovery = text("name"), text("listen"), text("discovery", file_first=True)
    try:
        listen_address = parse_address(listen)
        parse_address(discovery)
        settings = read_settings(raw["settings"])
        check_settings(settings)
        seed = raw.get("seed", 0)
        limits = raw.get("limits", {})
        descriptors, memory_mb = limits.get("sockets", 1024), float(limits.get("memory_mb", 192))
        if type(descriptors) is not int or descriptors < MIN_DESCRIPTORS:
            raise ValueError(f"limits.sockets: {descriptors!r} is too few")
        if not 0 < memory_mb < math.inf:
            raise ValueError(f"limits.memory_mb: {memory_mb!r} is not a positive, finite number")
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        problem = f"{error} is missing" if isinstance(error, KeyError) else str(error)
        raise ConfigError(f"{path}: {problem}") from error
    # As for name and listen, the environment has precedence: during an upgrade, the second process receives
    # its own management address there.
    mgmt, mgmt_address = environ.get("RELAY_MGMT") or raw.get("mgmt"), None
    if mgmt is not None and mgmt != "":
        try:
            if not isinstance(mgmt, str):
                raise ValueError(f"not an address: {mgmt!r}")
            mgmt_address = parse_address(mgmt)
        except ValueError as error:
            raise ConfigError(
                f"{path}: mgmt (or RELAY_MGMT): {error}; HOST:PORT of IPv4 is allowed"
            ) from error
    passed_descriptor = passed_socket(environ.get(PASSED_SOCKET_VARIABLE))
    return Config(
        name,
        listen_address,
        discovery,
        seed,
        descriptors,
        memory_mb,
        settings,
        raw.get("known"),
        mgmt_address,
        passed_descriptor,
        path,
    )


@dataclass(frozen=True, slots=True)
class ListeningSockets:
    """The sockets on which a dispatcher listens. The owner of this object closes them."""

    clients: socket.socket
    mgmt: socket.socket | None
    # When `clients` began to listen, on the monotonic clock; None if another process opened the socket.
    listening_since: float | None = None


def open_sockets(config: Config) -> ListeningSockets:
    """Listen on the configured addresses, or use the socket that the platform passed.

    Raises ConfigError; no socket is left open then.
    """
    mgmt = None
    if config.mgmt is not None:
        # The management port is opened first: a process that can't open it exits before it accepts a job.
        host, port = config.mgmt
        try:
            mgmt = open_at_start(config.mgmt, 128)
        except OSError as error:
            raise ConfigError(
                f"{config.path}: mgmt (or RELAY_MGMT): can't listen at {host}:{port}: "
                f"{error.strerror}; a free address of this host is allowed"
            ) from error
    if config.passed_descriptor is not None:
        # The socket is shared with the process before or after this one. It is not bound again. Closing it
        # closes only this process's descriptor, so the other process keeps the queue of connections.
        clients = socket.socket(fileno=config.passed_descriptor)
        clients.setblocking(False)
        set_buffers(clients, _first_buffer_bytes(config, BACKLOG_CONNECTIONS))
        return ListeningSockets(clients, mgmt)
    try:
        since = time.monotonic()  # before the first connection can arrive
        backlog = min(BACKLOG_CONNECTIONS, config.descriptors)
        buffer_bytes = _first_buffer_bytes(config, backlog)
        return ListeningSockets(open_at_start(config.listen, backlog, buffer_bytes), mgmt, since)
    except OSError as error:
        if mgmt is not None:
            mgmt.close()
        raise ConfigError(
            f"can't listen at {config.listen[0]}:{config.listen[1]}: {error.strerror}"
        ) from error


def _first_buffer_bytes(config: Config, backlog: int) -> int:
    return first_buffer_bytes(
        config.memory_mb, config.descriptors, backlog, config.passed_descriptor is not None
    )


def passed_socket(value: str | None) -> int | None:
    """Return the descriptor that $RELAY_PASSED_SOCKET names, or None if the variable is empty.

    Raises ConfigError unless the descriptor is a listening TCP socket. Nothing is changed here, because the
    socket belongs to the platform and other processes use it too.
    """
    if value is None or not value.strip():
        return None
    allowed = "the number of an open, listening TCP socket is allowed"
    if not value.strip().isdigit():
        raise ConfigError(f"{PASSED_SOCKET_VARIABLE}: {value!r}; {allowed}")
    descriptor = int(value)
    try:
        # fromfd duplicates the descriptor, so the platform's socket stays open.
        with socket.fromfd(descriptor, socket.AF_INET, socket.SOCK_STREAM) as sock:
            kind = sock.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)
            listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            family = sock.getsockopt(socket.SOL_SOCKET, socket.SO_DOMAIN)
    except OSError as error:
        raise ConfigError(f"{PASSED_SOCKET_VARIABLE}: {descriptor}: {error.strerror}; {allowed}") from error
    if kind != socket.SOCK_STREAM or family != socket.AF_INET or not listening:
        raise ConfigError(f"{PASSED_SOCKET_VARIABLE}: {descriptor} is not a listening TCP socket; {allowed}")
    return descriptor
