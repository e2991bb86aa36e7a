"""The command line: configuration, signals and exit.

Owns the life of the process: it reads the configuration, at the start and on SIGHUP, builds the parts of the
dispatcher and puts them together, and ends them in order. It must never end the process while a request is
owed an answer, unless told to, nor switch to a configuration before all of it has been read.
"""

import asyncio
import contextlib
import gc
import json
import logging
import math
import os
import signal
import stat
import sys
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated, Any

import typer

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.drill import read_settings
from wickgw.net.clients import Clients
from wickgw.net.discovery import Discovery, ListError, ListReader, Target
from wickgw.net.dispatch import Clock, Dispatcher
from wickgw.net.peers import Peers
from wickgw.net.sockets import Sockets, address

log = logging.getLogger("wickgw")
VERSION = "0.1.0"
ACCEPT_ON = 0.6  # seconds after SIGTERM in which clients may still come: 0.4 announced, and some
WIND_DOWN = 1.7  # seconds before its end in which a dispatcher takes nothing more: most jobs take less
SETTLE = 0.02  # seconds between looks at whether all is answered
# SIGKILL comes no sooner after SIGTERM than the longest deadline (3 s if it is longer) and 0.7 s more.
LONGEST, SPARE = 3.0, 0.5
FEWEST_DESCRIPTORS = 32

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="The label job dispatcher of Piedmont Label Works.",
)


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
        Balancer(settings, 0)  # refuses impossible settings by name
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
    return Config(name, where, discovery, seed, descriptors, memory, settings, raw.get("known"))


class Node:
    """One dispatcher: its parts, put together on a loop."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.loop, clock = config, loop, Clock()
        self.sockets = Sockets(loop, config.descriptors, config.memory_mb)
        self.peers = Peers(loop, self.sockets, config.settings.connect_timeout, config.settings.idle_close)
        balancer = Balancer(config.settings, config.seed)
        self.dispatcher = self.peers.dispatcher = Dispatcher(balancer, loop, clock, self.peers)
        self.clients = Clients(loop, self.sockets, self.dispatcher, config.settings, self.report)
        reader = ListReader(clock, config.settings.zones)
        self.discovery = Discovery(loop, self.sockets, config.discovery, reader, self._told)
        self.finished: asyncio.Future[None] = loop.create_future()
        self._begin(reader)

    def _begin(self, reader: ListReader) -> None:
        known: list[Target] = []
        if self.config.known is not None:
            try:
                _, _, known = reader.decode(self.config.known)
            except ListError as error:
                log.warning("the known list can't be read: %s", error)
        for entry, endpoint in known:
            self.peers.place(entry.worker, endpoint, entry.since)
        self.dispatcher.begin(tuple(entry for entry, _ in known))
        self.clients.ready = bool(known)

    def start(self) -> tuple[str, int]:
        """Listen, and ask for the list; returns the address listened at."""
        where = self.clients.listen(self.config.listen)
        self.discovery.open()
        return where

    def _told(self, kind: i.ListKind, targets: list[Target]) -> None:
        """News of the list: addresses first, since the Balancer may send at once; what left goes last."""
        for entry, endpoint in targets:
            if entry.health is not i.Health.GONE:
                self.peers.place(entry.worker, endpoint, entry.since)
        self.dispatcher.listed(kind, tuple(entry for entry, _ in targets))
        gone = {entry.worker for entry, _ in targets if entry.health is i.Health.GONE}
        if kind is i.ListKind.REPLACE:
            gone |= self.peers.peers.keys() - {entry.worker for entry, _ in targets}
        for worker in gone:
            self.peers.remove(worker)
        self.clients.ready = True

    def report(self) -> dict[str, object]:
        """The counters, and what is held right now."""
        now = {
            "owed": self.dispatcher.owed,
            "tries_out": len(self.peers.tries),
            "client_connections": len(self.clients.connections),
            "peer_connections": len(self.peers.connections),
            "peers": len(self.peers.peers),
            "peer_connections_opened": self.peers.opened,
            "discovery_version": self.discovery.version,
            "max_stall_ms": round(self.dispatcher.max_stall * 1000, 1),
        }
        return {"name": self.config.name, "counters": dict(self.dispatcher.counters), "now": now}

    def switch(self, new: Config) -> None:
        """Take over what a new configuration may change: where discovery is, and the limits. The list, the
        requests, the tries and all that was learned stay, and the clock that restarts are told by."""
        old = self.config
        # What a peer's connection or a request in hand was built on holds until the next start.
        kept = replace(new, name=old.name, listen=old.listen, seed=old.seed, settings=old.settings)
        if (new.name, new.listen, new.settings) != (old.name, old.listen, old.settings):
            log.warning("reload: a new name, listen or settings are taken at the next start only")
        self.config = kept
        self.sockets.limit(new.descriptors, new.memory_mb)
        if new.discovery != old.discovery:
            self.discovery.move(new.discovery)
        self.dispatcher.counters["reloads"] += 1
        log.info("reloaded: discovery at %s", new.discovery)

    def reload(self, environ: Mapping[str, str]) -> None:
        """SIGHUP: read the configuration again. One that can't be used changes nothing."""
        try:
            new = read_config(environ)
        except ConfigError as error:
            self.dispatcher.counters["reloads.failed"] += 1
            log.error("the configuration stays as it was: %s", error)
            return
        self.switch(new)

    def drain(self) -> None:
        """Begin to end: clients are served on for a while, then what was taken is answered."""
        if self.clients.leaving:
            return
        log.info("draining")
        self.clients.leave()
        within = min(LONGEST, max(c.deadline for c in self.config.settings.classes)) + SPARE
        self.dispatcher.stop(within)
        # An answer that its client does not read must not keep the process until it is killed.
        self.loop.call_later(within + 0.1, self._finish)
        turn = self.loop.time() + max(ACCEPT_ON, within - WIND_DOWN)
        self.loop.call_later(ACCEPT_ON, self._wind_down, turn)

    def _wind_down(self, turn: float) -> None:
        """Take no more. Until then clients that have a connection keep it: sent away earlier, all of them at
        once would fall upon the dispatchers that are left, or upon none where the next one leaves too."""
        if self.clients.connections and self.loop.time() < turn:
            self.loop.call_later(SETTLE, self._wind_down, turn)
            return
        self.clients.drain()
        self.loop.call_later(SETTLE, self._quiet)  # what was accepted last may still be about to be read

    def _quiet(self) -> None:
        """Ends when nothing is owed and nothing unwritten; looks again in a moment otherwise."""
        self.clients.close_idle()
        if self.dispatcher.owed or self.clients.unwritten or self.sockets.opening:
            if not self.finished.done():
                self.loop.call_later(SETTLE, self._quiet)
        else:
            self._finish()

    def _finish(self) -> None:
        if not self.finished.done():
            self.finished.set_result(None)

    def close(self) -> None:
        """Give everything back."""
        self.discovery.close()
        self.clients.close()
        self.dispatcher.close()
        self.peers.close()
        self.sockets.close()


async def run(config: Config) -> None:
    """Serve until told to end."""
    loop = asyncio.get_running_loop()
    node = Node(config, loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.drain)
    loop.add_signal_handler(signal.SIGHUP, node.reload, os.environ)  # unhandled, it would end the process
    loop.add_signal_handler(signal.SIGUSR1, _print_report, node)
    try:
        host, port = node.start()
    except OSError as error:
        node.close()
        raise ConfigError(
            f"can't listen at {config.listen[0]}:{config.listen[1]}: {error.strerror}"
        ) from error
    try:
        log.info("%s listens at %s:%d", config.name, host, port)
        # A collection of all that was built at the start would stand still for tens of milliseconds.
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 50)
        await node.finished
    finally:
        _print_report(node)
        node.close()
        await asyncio.sleep(0)


def _print_report(node: Node) -> None:
    with contextlib.suppress(OSError):  # nobody reads it: no reason to fail
        print(json.dumps(node.report()), flush=True)


class _Sparing(logging.Filter):
    """So many lines a second and no more: a peer that talks nonsense must not fill the log."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self.most, self.second, self.lines = most, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether this line is written."""
        if int(record.created) != self.second:
            self.second, self.lines = int(record.created), 0
        self.lines += 1
        return self.lines <= self.most


def _set_up_log(verbose: bool) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(_Sparing(50))
    level = logging.DEBUG if verbose else logging.INFO
    logging.basicConfig(level=level, format="%(asctime)s %(levelname)s %(message)s", handlers=[handler])
    if stat.S_ISFIFO(os.fstat(sys.stderr.fileno()).st_mode):
        # A pipe that nobody empties would stop the loop, and every client with it: lines are lost instead.
        os.set_blocking(sys.stderr.fileno(), False)
        logging.raiseExceptions = False


@contextlib.contextmanager
def _told_plainly() -> Iterator[None]:
    """A configuration that can't be used ends the program with one line and status 2."""
    try:
        yield
    except ConfigError as error:
        print(f"wickgw: {error}", file=sys.stderr)
        raise typer.Exit(2) from None


@app.command()
def serve(
    verbose: Annotated[bool, typer.Option("--verbose", "-v", help="Log more.")] = False,
) -> None:
    """Serve as one dispatcher, configured by RELAY_CONFIG, until SIGTERM; SIGHUP reads it again."""
    with _told_plainly():
        config = read_config(os.environ)
        _set_up_log(verbose)
        asyncio.run(run(config))


@app.command()
def check() -> None:
    """Read the configuration as `serve` would and say what it holds."""
    with _told_plainly():
        config = read_config(os.environ)
    s = config.settings
    print(f"name       {config.name}")
    print(f"listen     {config.listen[0]}:{config.listen[1]}")
    print(f"discovery  {config.discovery}")
    print(f"zone       {s.zones[s.zone] if s.zone < len(s.zones) else s.zone}")
    for c in s.classes:
        print(f"class      {c.name}: aim {c.aim:g} s, deadline {c.deadline:g} s, {c.effect.value}")


@app.command()
def version() -> None:
    """Print the version."""
    print(VERSION)
