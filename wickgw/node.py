"""One dispatcher process: start, configuration reload and shutdown.

Owns the parts of a dispatcher and the order in which they start and stop. A stopping process answers every
accepted request before its end, up to a time limit. A new configuration is read completely before any of it
applies.
"""

import asyncio
import contextlib
import functools
import gc
import json
import math
import os
import signal
import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from wickgw import interface as i
from wickgw.config.ini import DEFAULT_INI_PATH, read_ini
from wickgw.config.relay import Config, ConfigError, ConfigSources, ListeningSockets, read_config
from wickgw.net.clients import Clients
from wickgw.net.discovery import Discovery
from wickgw.net.dispatch import Clock, Dispatcher
from wickgw.net.memory_budget import MemoryBudget, create_memory_budget
from wickgw.net.memory_relief import MemoryRelief
from wickgw.net.mgmt import ManagementServer
from wickgw.net.pools import Pools
from wickgw.net.sockets import Connection, Sockets
from wickgw.net.watch_timing import WatchTiming
from wickgw.net.worker_list import ListError, ListReader, Target
from wickgw.observe import get_logger
from wickgw.observe.log import set_up_log
from wickgw.service.calls import Call

if TYPE_CHECKING:
    from wickgw.address.driver import Driver
    from wickgw.config.schema import OperatorConfig
    from wickgw.net.shared_usage import SharedUsage
    from wickgw.routing.table import Table

log = get_logger("wickgw")
KEEP_ACCEPTING_S = 0.6  # new clients may arrive so long after SIGTERM: 0.4 s as announced, and a margin
WIND_DOWN_S = 1.7  # time before the end without new requests; most jobs take less
DRAIN_CHECK_INTERVAL_S = 0.02  # between checks whether all requests are answered
MEMORY_CHECK_INTERVAL_S = 0.25  # between measurements of what is held, beside those on demand
SHARED_CHECK_INTERVAL_S = 0.05  # the same where two processes of an upgrade divide the limits
# SIGKILL comes no sooner after SIGTERM than the longest deadline, of which at most 3 s count, plus 0.7 s.
MAX_DEADLINE_S, SHUTDOWN_MARGIN_S = 3.0, 0.5
# New objects that start a garbage collection. A closed transport refers to itself, and its 7 objects of
# about 1 KB in all stay until then: at most 1 MB.
YOUNG_OBJECTS = 7_000


class Node:
    """One dispatcher and its parts, on an event loop.

    With a `budget`, which it owns, memory is divided by what the process holds; without one, by an assumed
    size. The constructor raises ConfigError if the operator's file does not fit this process.
    """

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        operator: "OperatorConfig | None" = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.config, self.loop, self.operator, clock = config, loop, operator, Clock()
        self.budget = budget
        self._memory_timer: asyncio.TimerHandle | None = None
        usage = open_shared_usage() if budget is not None and budget.is_shared else None
        self.sockets = Sockets(loop, config.descriptors, config.memory_mb, budget, usage)
        table, zone_header = create_routing_table(operator)
        subsetting = operator.subsetting if operator else None
        self.pools = Pools(config, loop, clock, self.sockets, table, zone_header, subsetting)
        self.clients = Clients(loop, self.sockets, self.pools, config.settings, self.report)
        reader = ListReader(clock, config.settings.zones)
        reader.max_list_bytes = self.sockets.max_list_bytes
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
        # The list known at the start, until the first call to discovery has ended.
        self.initial_targets: list[Target] | None = None
        self.address_driver = self._create_address_driver(clock)
        self.mgmt: ManagementServer | None = None  # the management port, once it is served
        self.stopping = False  # SIGTERM was received
        self.finished: asyncio.Future[None] = loop.create_future()
        self._load_known_list(reader)

    @property
    def dispatcher(self) -> Dispatcher:
        """The only dispatcher, where there are no routes."""
        return self.pools.servers[""].dispatcher

    def _create_address_driver(self, clock: Clock) -> "Driver | None":
        """Create the driver of moving service addresses if the operator's file enables them.

        Raises ConfigError.
        """
        settings = self.operator.address if self.operator else None
        if settings is None or not settings.enabled:
            return None
        from wickgw.address.driver import Driver

        instance_name = settings.instance or self.config.name
        if instance_name not in settings.members:
            allowed = ", ".join(settings.members)
            raise ConfigError(
                f"[address] instance: {instance_name!r} read; one of the members {allowed} is allowed"
            )
        driver = Driver(settings, instance_name, clock, self.loop, self.clients, self._can_serve)
        self.clients.address_status = driver.status
        return driver

    def _can_serve(self) -> bool:
        """Return whether this process may hold service addresses: it has a list and is not stopping."""
        return self.clients.ready and not self.clients.is_shutting_down

    def _load_known_list(self, reader: ListReader) -> None:
        """Start with the known list; where lists are pushed, with none until the first answer."""
        initial_targets: list[Target] = []
        if self.config.known is not None:
            try:
                message = reader.decode(self.config.known)
                reader.accept(message)
                initial_targets = message.targets
                if message.whole and initial_targets:
                    self.discovery.resume_from(message.version)
            except ListError as error:
                log.warning("known.unreadable", error=str(error))
        if self.discovery.timing.is_pushed:
            # The agent knew of later changes before this process started, and answers at once. A job sent by
            # the older list until then could reach a draining worker.
            self.initial_targets = initial_targets
            self.pools.begin([])
            return
        self.pools.begin(initial_targets)
        self.clients.ready = bool(initial_targets)

    def start(self, opened: ListeningSockets) -> tuple[str, int]:
        """Start to accept clients and to watch the list. Returns the address of the client listener.

        The node owns the sockets from here on.
        """
        if opened.mgmt is not None:
            self.mgmt = ManagementServer(self.loop, self.sockets, opened.mgmt, self.handle_call)
        is_shared = self.config.passed_descriptor is not None
        address = self.clients.listen(opened.clients, is_shared, opened.listening_since)
        self.discovery.open()
        if self.address_driver is not None:
            self.address_driver.start()
        if self.budget is not None:
            self.budget.log_plan()
            self._watch_memory(self.budget)
        return address

    def _watch_memory(self, budget: MemoryBudget) -> None:
        """Measure what is held, and refuse or close unfinished work where it is too much."""
        interval_s = SHARED_CHECK_INTERVAL_S if budget.is_shared else MEMORY_CHECK_INTERVAL_S
        self._memory_timer = self.loop.call_later(interval_s, self._watch_memory, budget)
        self.sockets.exchange_usage(self.stopping)
        if budget.has_changed(Connection.message_bytes):
            self._enforce_memory_limit(budget)
        self.sockets.raise_limits()
        self.clients.enforce_limits()

    def _enforce_memory_limit(self, budget: MemoryBudget) -> None:
        room = budget.measure(Connection.message_bytes)
        if room < 0:
            self.clients.shed(-room)

    def _on_update(self, kind: i.ListKind, targets: list[Target]) -> None:
        """Handle an update of the worker list."""
        initial_targets, self.initial_targets = self.initial_targets, None
        if initial_targets is not None and kind is not i.ListKind.REPLACE:
            # The first answer has the changes since the list known at the start. Both form one whole list.
            merged = {target.entry.worker: target for target in (*initial_targets, *targets)}
            kind = i.ListKind.REPLACE
            targets = [target for target in merged.values() if target.entry.health is not i.Health.GONE]
        self.sockets.set_list_bytes(self.discovery.reader.list_bytes)
        self.pools.on_update(kind, targets)
        self.clients.ready = True

    def _on_unavailable(self) -> None:
        """Use the list known at the start, since discovery did not answer the first call."""
        if self.initial_targets:
            self._on_update(i.ListKind.REPLACE, self.initial_targets)

    def report(self) -> dict[str, object]:
        """Return the counters and the current values."""
        report = self.pools.report()
        now = report.pop("now")
        assert isinstance(now, dict)
        now |= {
            "client_connections": len(self.clients.connections),
            "discovery_version": self.discovery.version,
        }
        now |= {f"memory_{name}": value for name, value in self.report_memory().items()}
        return {"name": self.config.name, "counters": dict(self.pools.counters), "now": now} | report

    def handle_memory_error(self) -> None:
        """Close what nobody is owed, since the system gives no more memory, and keep to what is held now."""
        self.pools.counters["memory.refused"] += 1
        self.clients.close_unfinished()
        if self.budget is not None:
            self.budget.lower_limit()
            self.sockets.set_limits(self.config.descriptors, self.config.memory_mb)
            log.error("memory.refused", **self.report_memory())

    def report_memory(self) -> dict[str, float]:
        """Return what was held at the last measurement, in megabytes; nothing where it is not measured."""
        return self.budget.report() if self.budget is not None else {}

    def apply_config(self, new: Config) -> None:
        """Apply the reloadable parts of a new configuration: the address of discovery, and the limits.

        The list, the requests, the attempts and all learned state stay, and so does the clock by which worker
        restarts are recognised.
        """
        old = self.config
        # Connections and open requests depend on these values, so they hold until the next start.
        applied = replace(new, name=old.name, listen=old.listen, seed=old.seed, settings=old.settings)
        if (new.name, new.listen, new.settings) != (old.name, old.listen, old.settings):
            log.warning("reload.partly", not_taken="name, listen or settings", until="the next start")
        self.config = applied
        if self.budget is not None:
            self.budget.max_limit = math.inf
        self.sockets.set_limits(new.descriptors, new.memory_mb)
        self.discovery.reader.max_list_bytes = self.sockets.max_list_bytes
        if self.budget is not None:
            self.budget.log_plan()
            self._enforce_memory_limit(self.budget)
        self.clients.enforce_limits()
        if new.discovery != old.discovery:
            self.discovery.change_address(new.discovery)
        self.pools.counters["reloads"] += 1
        log.info("reload.done", discovery=new.discovery)

    def reload(self, sources: ConfigSources) -> None:
        """Handle SIGHUP: read the configuration again. An invalid one changes nothing."""
        try:
            new = read_config(sources.environ)
            operator = read_ini(sources.ini)
            self._apply_operator_config(operator, sources.verbose)
        except ConfigError as error:
            self.pools.counters["reloads.failed"] += 1
            log.error("reload.failed", error=str(error))
            return
        self.apply_config(new)

    def _apply_operator_config(self, new: "OperatorConfig | None", verbose: bool) -> None:
        """Apply the reloadable parts of the operator's file and log the others. Raises ConfigError."""
        old, address = self.operator, new.address if new else None
        if self.address_driver is not None and address is not None and address.enabled:
            self.address_driver.reload(address)
        elif (self.address_driver is not None) != (address is not None and address.enabled):
            log.warning("reload.partly", not_taken="[address] enabled", until="the next start")
        if self.pools.table is not None and is_routing_enabled(new):
            table, _ = create_routing_table(new)
            assert table is not None
            self.pools.replace_table(table)
        elif (self.pools.table is not None) != is_routing_enabled(new):
            log.warning("reload.partly", not_taken="[routing] enabled", until="the next start")
        if (new.subsetting if new else None) != (old.subsetting if old else None):
            log.warning("reload.partly", not_taken="[subsetting]", until="the next start")
        self.operator = new
        if (new.log if new else None) != (old.log if old else None):
            configure_log(new, verbose)

    def handle_call(self, call: Call) -> tuple[bool, str]:
        """Carry out an operator's call. Returns whether it succeeded, and a short text."""
        if self.stopping:
            return False, "stopping"
        if call is Call.PAUSE:
            log.info("node.paused")
            self.clients.pause()
        elif call is Call.RESUME:
            if self.clients.paused_since is not None:
                log.info("node.resumed")
            self.clients.resume()
        if not self.clients.ready:
            return call is not Call.STATUS, "starting: no list yet"
        return True, "paused" if self.clients.paused_since is not None else "serving"

    def drain(self) -> None:
        """Start the shutdown: serve clients for a while longer, then only answer what was accepted."""
        if self.clients.is_shutting_down:
            return
        self.stopping = True
        log.info("node.draining")
        self.clients.announce_shutdown()
        within = (
            min(MAX_DEADLINE_S, max(request_class.deadline for request_class in self.config.settings.classes))
            + SHUTDOWN_MARGIN_S
        )
        if self.address_driver is not None:
            self.address_driver.resign(within)
        self.pools.stop(within)
        # An answer that its client does not read must not keep the process until SIGKILL.
        self.loop.call_later(within + 0.1, self._finish)
        if self.clients.is_shared:
            # In an upgrade, the successor already accepts from the same socket, and reported so before this
            # SIGTERM. New clients belong to it, and every answer here closes its connection.
            self.clients.drain()
            self.loop.call_later(DRAIN_CHECK_INTERVAL_S, self._finish_when_done)
            return
        latest_drain_at = self.loop.time() + max(KEEP_ACCEPTING_S, within - WIND_DOWN_S)
        self.loop.call_later(KEEP_ACCEPTING_S, self._wind_down, latest_drain_at)

    def _wind_down(self, latest_drain_at: float) -> None:
        """Stop accepting requests.

        Until then connected clients keep their connections. Closed earlier, they would all reconnect at once
        to the remaining dispatchers, or fail where the next dispatcher stops as well.
        """
        if self.clients.connections and self.loop.time() < latest_drain_at:
            self.loop.call_later(DRAIN_CHECK_INTERVAL_S, self._wind_down, latest_drain_at)
            return
        if (
            self.address_driver is not None
            and self.address_driver.busy
            and self.loop.time() < latest_drain_at
        ):
            self.loop.call_later(DRAIN_CHECK_INTERVAL_S, self._wind_down, latest_drain_at)
            return
        self.clients.drain()
        # Connections that were accepted last may have unread requests.
        self.loop.call_later(DRAIN_CHECK_INTERVAL_S, self._finish_when_done)

    def _finish_when_done(self) -> None:
        """Finish if no request is unanswered, unwritten or unread; otherwise check again later.

        A voter for service addresses also waits for its votes to run out: the process that is started next
        may have other settings, or be of a version that does not wait for the votes of this one.
        """
        self.clients.close_idle()
        is_serving = (
            self.pools.unanswered
            or self.clients.has_unfinished_work
            or self.sockets.opening_count
            or (self.address_driver is not None and self.address_driver.busy)
        )
        if is_serving or not (self.address_driver is None or self.address_driver.stop_voting()):
            if not self.finished.done():
                self.loop.call_later(DRAIN_CHECK_INTERVAL_S, self._finish_when_done)
        else:
            self._finish()

    def _finish(self) -> None:
        """Let `run` end."""
        if not self.finished.done():
            self.finished.set_result(None)

    def close(self) -> None:
        """Stop and close every part."""
        if self.mgmt is not None:
            self.mgmt.close()
        if self.address_driver is not None:
            self.address_driver.close()
        if self._memory_timer is not None:
            self._memory_timer.cancel()
        self.discovery.close()
        self.clients.close()
        self.pools.close()
        self.sockets.close()
        if self.budget is not None:
            self.budget.close()


def open_shared_usage() -> "SharedUsage | None":
    """Return the usage that the processes of an upgrade share through $TMPDIR, if it can be used."""
    folder = os.environ.get("TMPDIR")
    if not folder:
        return None
    from wickgw.net.shared_usage import SharedUsage

    try:
        return SharedUsage(Path(folder))
    except OSError as error:
        log.warning("usage.not-shared", folder=folder, error=str(error))
        return None


def is_routing_enabled(operator: "OperatorConfig | None") -> bool:
    """Return whether the operator's file enables routes."""
    return operator is not None and operator.routing is not None and operator.routing.enabled


def create_routing_table(operator: "OperatorConfig | None") -> "tuple[Table | None, str]":
    """Return the routing table of the operator's file and the header that names a client's zone.

    Without routes, the table is None and the header empty. Raises ConfigError.
    """
    if operator is None or operator.routing is None or not operator.routing.enabled:
        return None, ""
    from wickgw.config.routes import build_table

    return build_table(operator.routing), operator.routing.zone_header


def check_routes(operator: "OperatorConfig | None") -> None:
    """Reject routes of equal precedence before serving. Raises ConfigError."""
    if is_routing_enabled(operator):
        from wickgw.config.routes import reject_tied_routes

        assert operator is not None and operator.routing is not None
        reject_tied_routes(operator.routing)


def configure_log(operator: "OperatorConfig | None", verbose: bool) -> None:
    """Configure logging as the operator's file says."""
    if operator is None:
        set_up_log(verbose)
    else:
        set_up_log(verbose, operator.log.format, operator.log.lines_per_second)


async def run(
    config: Config,
    operator: "OperatorConfig | None",
    sources: ConfigSources,
    opened: ListeningSockets,
    early_signals: list[int],
    relief: MemoryRelief,
) -> None:
    """Serve on listening sockets until a signal ends the process.

    `early_signals` holds the signals received before, and collects those received until the loop has its own
    handlers. `relief` is told what to close when there is no more memory. Raises ConfigError.
    """
    loop = asyncio.get_running_loop()
    configure_log(operator, sources.verbose)
    try:
        node = Node(config, loop, operator, create_memory_budget(config.passed_descriptor is not None))
    except ConfigError as error:  # a fault of the operator's file that shows only in this process
        raise ConfigError(f"{sources.ini or DEFAULT_INI_PATH}: {error}") from error
    handlers = {signal.SIGTERM: node.drain, signal.SIGINT: node.drain}
    handlers |= {signal.SIGHUP: functools.partial(node.reload, sources)}
    handlers |= {signal.SIGUSR1: functools.partial(_print_report, node)}
    for handled_signal, handler in handlers.items():
        loop.add_signal_handler(handled_signal, handler)
    host, port = node.start(opened)
    relief.handler, Connection.relief = node.handle_memory_error, relief
    try:
        log.info("node.listening", name=config.name, at=f"{host}:{port}")
        # A garbage collection of the objects from the start would stall the loop for tens of milliseconds.
        gc.freeze()
        gc.set_threshold(YOUNG_OBJECTS, 20, 50)
        gc.enable()
        for signal_number in dict.fromkeys(early_signals):
            handlers[signal.Signals(signal_number)]()
        await node.finished
    finally:
        relief.handler = Connection.relief = None
        # All requests are answered. The closing loop restores the default handlers, and a signal after that
        # would kill the process, so no more signals are delivered.
        signal.pthread_sigmask(signal.SIG_BLOCK, handlers)
        _print_report(node)
        node.close()
        log.info("node.ended", **node.report_memory())
        await asyncio.sleep(0)


def _print_report(node: Node) -> None:
    """Write the report as one line of JSON to standard output."""
    with contextlib.suppress(OSError):  # a report that cannot be written is not an error
        try:
            print(json.dumps(node.report()), flush=True)
        except BrokenPipeError:  # without a reader, the buffered rest must not be written again at exit
            null_descriptor = os.open(os.devnull, os.O_WRONLY)
            os.dup2(null_descriptor, sys.stdout.fileno())
            os.close(null_descriptor)
