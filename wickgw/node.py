"""One dispatcher put together: the life of the process, reload, drain.

Owns the parts of a dispatcher and the order in which they begin and end. It must never end the process while
a request is owed an answer, unless told to, nor switch to a configuration before all of it has been read.
"""

import asyncio
import contextlib
import gc
import json
import os
import signal
from collections.abc import Mapping
from dataclasses import replace

import structlog

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.config.relay import Config, ConfigError, read_config
from wickgw.net.clients import Clients
from wickgw.net.discovery import Discovery, ListError, ListReader, Target
from wickgw.net.dispatch import Clock, Dispatcher
from wickgw.net.peers import Peers
from wickgw.net.sockets import Sockets

log = structlog.get_logger("wickgw")
ACCEPT_ON = 0.6  # seconds after SIGTERM in which clients may still come: 0.4 announced, and some
WIND_DOWN = 1.7  # seconds before its end in which a dispatcher takes nothing more: most jobs take less
SETTLE = 0.02  # seconds between looks at whether all is answered
# SIGKILL comes no sooner after SIGTERM than the longest deadline (3 s if it is longer) and 0.7 s more.
LONGEST, SPARE = 3.0, 0.5


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
                log.warning("known.unreadable", error=str(error))
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
            log.warning("reload.partly", not_taken="name, listen or settings", until="the next start")
        self.config = kept
        self.sockets.limit(new.descriptors, new.memory_mb)
        if new.discovery != old.discovery:
            self.discovery.move(new.discovery)
        self.dispatcher.counters["reloads"] += 1
        log.info("reload.done", discovery=new.discovery)

    def reload(self, environ: Mapping[str, str]) -> None:
        """SIGHUP: read the configuration again. One that can't be used changes nothing."""
        try:
            new = read_config(environ)
        except ConfigError as error:
            self.dispatcher.counters["reloads.failed"] += 1
            log.error("reload.failed", error=str(error))
            return
        self.switch(new)

    def drain(self) -> None:
        """Begin to end: clients are served on for a while, then what was taken is answered."""
        if self.clients.leaving:
            return
        log.info("node.draining")
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
        log.info("node.listening", name=config.name, at=f"{host}:{port}")
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
