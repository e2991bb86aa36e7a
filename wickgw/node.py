"""One dispatcher put together: the life of the process, reload, drain.

Owns the parts of a dispatcher and the order in which they begin and end. It must never end the process while
a request is owed an answer, unless told to, nor switch to a configuration before all of it has been read.
"""

import asyncio
import contextlib
import functools
import gc
import json
import os
import signal
import sys
from dataclasses import replace
from typing import TYPE_CHECKING

from wickgw import interface as i
from wickgw.config.ini import DEFAULT_INI_PATH, read_ini
from wickgw.config.relay import Config, ConfigError, ConfigSources, ListeningSockets, read_config
from wickgw.net.clients import Clients
from wickgw.net.discovery import Discovery
from wickgw.net.dispatch import Clock, Dispatcher
from wickgw.net.mgmt import Mgmt
from wickgw.net.pools import Pools
from wickgw.net.sockets import Sockets
from wickgw.net.watch_timing import WatchTiming
from wickgw.net.worker_list import ListError, ListReader, Target
from wickgw.observe import logger
from wickgw.observe.log import set_up_log
from wickgw.service.calls import Call

if TYPE_CHECKING:
    from wickgw.address.driver import Driver
    from wickgw.config.schema import OperatorConfig
    from wickgw.routing.table import Table

log = logger("wickgw")
ACCEPT_ON = 0.6  # seconds after SIGTERM in which clients may still come: 0.4 announced, and some
WIND_DOWN = 1.7  # seconds before its end in which a dispatcher takes nothing more: most jobs take less
SETTLE = 0.02  # seconds between looks at whether all is answered
# SIGKILL comes no sooner after SIGTERM than the longest deadline (3 s if it is longer) and 0.7 s more.
LONGEST, SPARE = 3.0, 0.5


class Node:
    """One dispatcher: its parts, put together on a loop."""

    def __init__(
        self, config: Config, loop: asyncio.AbstractEventLoop, operator: "OperatorConfig | None" = None
    ) -> None:
        self.config, self.loop, self.operator, clock = config, loop, operator, Clock()
        self.sockets = Sockets(loop, config.descriptors, config.memory_mb)
        table, zone_header = routes_of(operator)
        subsetting = operator.subsetting if operator else None
        self.pools = Pools(config, loop, clock, self.sockets, table, zone_header, subsetting)
        self.clients = Clients(loop, self.sockets, self.pools, config.settings, self.report)
        reader = ListReader(clock, config.settings.zones)
        settings = config.settings
        self.discovery = Discovery(
            loop,
            self.sockets,
            config.discovery,
            reader,
            self._on_update,
            self._on_unavailable,
            WatchTiming(settings),
        )
        # The list known at the start, until discovery has been asked for the first time.
        self.known: list[Target] | None = None
        self.address = self._address(clock)
        self.mgmt: Mgmt | None = None  # the second address, once listened at
        self.stopping = False  # SIGTERM has come
        self.finished: asyncio.Future[None] = loop.create_future()
        self._begin(reader)

    @property
    def dispatcher(self) -> Dispatcher:
        """The one dispatcher, where there are no routes."""
        return self.pools.servers[""].dispatcher

    def _address(self, clock: Clock) -> "Driver | None":
        """Moving service addresses, if the operator's file turns them on. Raises ConfigError."""
        settings = self.operator.address if self.operator else None
        if settings is None or not settings.enabled:
            return None
        from wickgw.address.driver import Driver

        me = settings.instance or self.config.name
        if me not in settings.members:
            allowed = ", ".join(settings.members)
            raise ConfigError(f"[address] instance: {me!r} read; one of the members {allowed} is allowed")
        driver = Driver(settings, me, clock, self.loop, self.clients, self._able)
        self.clients.address_status = driver.status
        return driver

    def _able(self) -> bool:
        return self.clients.ready and not self.clients.leaving

    def _begin(self, reader: ListReader) -> None:
        known: list[Target] = []
        if self.config.known is not None:
            try:
                message = reader.decode(self.config.known)
                reader.accept(message)
                known = message.targets
                if message.whole and known:
                    self.discovery.resume_from(message.version)
            except ListError as error:
                log.warning("known.unreadable", error=str(error))
        if self.discovery.timing.pushed:
            # The agent has had the news since before this process began, and answers at once: a job that
            # went by the older list until then could go to a worker that drains.
            self.known = known
            self.pools.begin([])
            return
        self.pools.begin(known)
        self.clients.ready = bool(known)

    def start(self, opened: ListeningSockets) -> tuple[str, int]:
        """Accept, and ask for the list; returns the address listened at. The sockets are the node's from here
        on."""
        if opened.mgmt is not None:
            self.mgmt = Mgmt(self.loop, self.sockets, opened.mgmt, self.carry)
        shared = self.config.passed_descriptor is not None
        where = self.clients.listen(opened.clients, shared, opened.listening_since)
        self.discovery.open()
        if self.address is not None:
            self.address.start()
        return where

    def _on_update(self, kind: i.ListKind, targets: list[Target]) -> None:
        """News of the list."""
        known, self.known = self.known, None
        if known is not None and kind is not i.ListKind.REPLACE:
            # The first answer tells what changed since the list known at the start: both count as one.
            held = {t.entry.worker: t for t in (*known, *targets)}
            kind = i.ListKind.REPLACE
            targets = [t for t in held.values() if t.entry.health is not i.Health.GONE]
        self.sockets.list_has(len(self.discovery.reader.start_times))
        self.pools.on_update(kind, targets)
        self.clients.ready = True

    def _on_unavailable(self) -> None:
        """Discovery did not answer the first call: what was known at the start is all there is."""
        if self.known:
            self._on_update(i.ListKind.REPLACE, self.known)

    def report(self) -> dict[str, object]:
        """The counters, and what is held right now."""
        told = self.pools.report()
        now = told.pop("now")
        assert isinstance(now, dict)
        now |= {
            "client_connections": len(self.clients.connections),
            "discovery_version": self.discovery.version,
        }
        return {"name": self.config.name, "counters": dict(self.pools.counters), "now": now} | told

    def switch(self, new: Config) -> None:
        """Take over what a new configuration may change: where discovery is, and the limits. The list, the
        requests, the attempts and all that was learned stay, and the clock that restarts are told by."""
        old = self.config
        # What a worker's connection or a request in hand was built on holds until the next start.
        kept = replace(new, name=old.name, listen=old.listen, seed=old.seed, settings=old.settings)
        if (new.name, new.listen, new.settings) != (old.name, old.listen, old.settings):
            log.warning("reload.partly", not_taken="name, listen or settings", until="the next start")
        self.config = kept
        self.sockets.limit(new.descriptors, new.memory_mb)
        if new.discovery != old.discovery:
            self.discovery.move(new.discovery)
        self.pools.counters["reloads"] += 1
        log.info("reload.done", discovery=new.discovery)

    def reload(self, sources: ConfigSources) -> None:
        """SIGHUP: read the configuration again. One that can't be used changes nothing."""
        try:
            new = read_config(sources.environ)
            operator = read_ini(sources.ini)
            self._switch_operator(operator, sources.verbose)
        except ConfigError as error:
            self.pools.counters["reloads.failed"] += 1
            log.error("reload.failed", error=str(error))
            return
        self.switch(new)

    def _switch_operator(self, new: "OperatorConfig | None", verbose: bool) -> None:
        """Take what can be taken of the operator's file, and say what can't. Raises ConfigError."""
        old, address = self.operator, new.address if new else None
        if self.address is not None and address is not None and address.enabled:
            self.address.reload(address)
        elif (self.address is not None) != (address is not None and address.enabled):
            log.warning("reload.partly", not_taken="[address] enabled", until="the next start")
        if self.pools.table is not None and routing_on(new):
            table, _ = routes_of(new)
            assert table is not None
            self.pools.replace(table)
        elif (self.pools.table is not None) != routing_on(new):
            log.warning("reload.partly", not_taken="[routing] enabled", until="the next start")
        if (new.subsetting if new else None) != (old.subsetting if old else None):
            log.warning("reload.partly", not_taken="[subsetting]", until="the next start")
        self.operator = new
        if (new.log if new else None) != (old.log if old else None):
            configure_log(new, verbose)

    def carry(self, call: Call) -> tuple[bool, str]:
        """An operator's call on the second address: whether it holds, and a few words."""
        if self.stopping:
            return False, "stopping"
        if call is Call.PAUSE:
            log.info("node.paused")
            self.clients.send_away()
        elif call is Call.RESUME:
            if self.clients.away is not None:
                log.info("node.resumed")
            self.clients.take_again()
        if not self.clients.ready:
            return call is not Call.STATUS, "starting: no list yet"
        return True, "paused" if self.clients.away is not None else "serving"

    def drain(self) -> None:
        """Begin to end: clients are served on for a while, then what was taken is answered."""
        if self.clients.leaving:
            return
        self.stopping = True
        log.info("node.draining")
        self.clients.leave()
        if self.address is not None:
            self.address.resign()
        within = min(LONGEST, max(c.deadline for c in self.config.settings.classes)) + SPARE
        self.pools.stop(within)
        # An answer that its client does not read must not keep the process until it is killed.
        self.loop.call_later(within + 0.1, self._finish)
        if self.clients.shared:
            # In an upgrade the successor already accepts from the same socket, and said so before this
            # SIGTERM: clients that come from now on are its, and every answer here is its connection's last.
            self.clients.drain()
            self.loop.call_later(SETTLE, self._quiet)
            return
        turn = self.loop.time() + max(ACCEPT_ON, within - WIND_DOWN)
        self.loop.call_later(ACCEPT_ON, self._wind_down, turn)

    def _wind_down(self, turn: float) -> None:
        """Take no more. Until then clients that have a connection keep it: sent away earlier, all of them at
        once would fall upon the dispatchers that are left, or upon none where the next one leaves too."""
        if self.clients.connections and self.loop.time() < turn:
            self.loop.call_later(SETTLE, self._wind_down, turn)
            return
        if self.address is not None and self.address.busy and self.loop.time() < turn:
            self.loop.call_later(SETTLE, self._wind_down, turn)
            return
        self.clients.drain()
        self.loop.call_later(SETTLE, self._quiet)  # what was accepted last may still be about to be read

    def _quiet(self) -> None:
        """Ends when nothing is owed, unwritten or unread; looks again in a moment otherwise."""
        self.clients.close_idle()
        if self.pools.owed or self.clients.unsettled or self.sockets.opening:
            if not self.finished.done():
                self.loop.call_later(SETTLE, self._quiet)
        else:
            self._finish()

    def _finish(self) -> None:
        if not self.finished.done():
            self.finished.set_result(None)

    def close(self) -> None:
        """Give everything back."""
        if self.mgmt is not None:
            self.mgmt.close()
        if self.address is not None:
            self.address.close()
        self.discovery.close()
        self.clients.close()
        self.pools.close()
        self.sockets.close()


def routing_on(operator: "OperatorConfig | None") -> bool:
    """Whether the operator's file turns routes on."""
    return operator is not None and operator.routing is not None and operator.routing.enabled


def routes_of(operator: "OperatorConfig | None") -> "tuple[Table | None, str]":
    """The table of the operator's file, and the header that tells a client's zone. Raises ConfigError."""
    if operator is None or operator.routing is None or not operator.routing.enabled:
        return None, ""
    from wickgw.config.routes import build_table

    return build_table(operator.routing), operator.routing.zone_header


def check_routes(operator: "OperatorConfig | None") -> None:
    """Before serving: routes that tie are refused. Raises ConfigError."""
    if routing_on(operator):
        from wickgw.config.routes import reject_tied_routes

        assert operator is not None and operator.routing is not None
        reject_tied_routes(operator.routing)


def configure_log(operator: "OperatorConfig | None", verbose: bool) -> None:
    """The log as the operator's file wants it."""
    if operator is None:
        set_up_log(verbose)
    else:
        set_up_log(verbose, operator.log.format, operator.log.lines_per_second)


async def run(
    config: Config,
    operator: "OperatorConfig | None",
    sources: ConfigSources,
    opened: ListeningSockets,
    early: list[int],
) -> None:
    """Serve until told to end, on sockets that listen already. `early` holds the signals that came before,
    and those that come until the loop has its own handlers. Raises ConfigError."""
    loop = asyncio.get_running_loop()
    configure_log(operator, sources.verbose)
    try:
        node = Node(config, loop, operator)
    except ConfigError as error:  # what is wrong with the operator's file only in this process
        raise ConfigError(f"{sources.ini or DEFAULT_INI_PATH}: {error}") from error
    handlers = {signal.SIGTERM: node.drain, signal.SIGINT: node.drain}
    handlers |= {signal.SIGHUP: functools.partial(node.reload, sources)}
    handlers |= {signal.SIGUSR1: functools.partial(_print_report, node)}
    for known, handler in handlers.items():
        loop.add_signal_handler(known, handler)
    host, port = node.start(opened)
    try:
        log.info("node.listening", name=config.name, at=f"{host}:{port}")
        # A collection of all that was built at the start would stand still for tens of milliseconds.
        gc.freeze()
        gc.set_threshold(20_000, 20, 50)
        gc.enable()
        for number in dict.fromkeys(early):
            handlers[signal.Signals(number)]()
        await node.finished
    finally:
        # All is answered. The loop, when it closes, gives signals their default back, and one that comes then
        # would end the process by it: from here on none is delivered.
        signal.pthread_sigmask(signal.SIG_BLOCK, handlers)
        _print_report(node)
        node.close()
        await asyncio.sleep(0)


def _print_report(node: Node) -> None:
    with contextlib.suppress(OSError):  # it can't be written just now: no reason to fail
        try:
            print(json.dumps(node.report()), flush=True)
        except BrokenPipeError:  # nobody reads any more: the rest is not to be tried again at the exit
            nowhere = os.open(os.devnull, os.O_WRONLY)
            os.dup2(nowhere, sys.stdout.fileno())
            os.close(nowhere)
