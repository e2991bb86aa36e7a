"""Runs a `Coordinator` on an event loop: datagrams, the timer, gates, listeners and announcers.

Owns the UDP socket, the one timer, and for each address the gate, the listener and the queue of announcer
runs. `Coordinator` decides, and the driver carries out its actions. Three rules keep an address from being
served twice: a gate stays open no longer than the coordinator said, a gate is shut as soon as the coordinator
says so, and Withdrawn is reported only when nothing new can be taken on the address.
"""

import asyncio
import contextlib
import math
import socket
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from wickgw.address import events
from wickgw.address.announce import Announcer, ListenOnlyAnnouncer, ProgramAnnouncer
from wickgw.address.coordinator import Coordinator
from wickgw.address.gate import ANSWER_MARGIN_S, MIN_HANDOVER_S, Gate, HandoverBudget, Phase
from wickgw.address.keys import KeyFileError, Keys, read_keys
from wickgw.address.store import VoteStore
from wickgw.address.wire import MAX_DATAGRAM_BYTES, DatagramCodec
from wickgw.config.relay import BACKLOG_CONNECTIONS, ConfigError
from wickgw.config.schema import AddressSettings, ServiceSettings
from wickgw.net.clients import Clients, Listener
from wickgw.net.dispatch import Clock
from wickgw.net.listen import open_listening_socket
from wickgw.net.listen import parse_address as socket_address
from wickgw.observe import get_logger

log = get_logger("wickgw.address")
MAX_DATAGRAMS_PER_READ = 64  # before other callbacks of the loop run
HANDOVER_POLL_S = 0.002  # between checks whether a planned handover has answered everything


@dataclass(eq=False)
class LocalAddress:
    """One service address at this instance: its settings, and what is open for it now."""

    settings: ServiceSettings
    endpoint: tuple[str, int]
    announcer: Announcer
    gate: Gate | None = None
    listener: Listener | None = None
    withdrawing: bool = False  # a Withdraw or Fence has come for the latest gate; don't open its listener
    last_announcer_run: asyncio.Task[None] | None = None  # the end of the queue of announcer runs


class Driver:
    """One instance of the group on an event loop.

    `is_ready` returns whether the dispatcher can serve jobs. Raises ConfigError for an unusable key file.
    """

    def __init__(
        self,
        settings: AddressSettings,
        instance: str,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        clients: Clients,
        is_ready: Callable[[], bool],
    ) -> None:
        self.settings, self.instance, self.clock, self.loop, self.clients = (
            settings,
            instance,
            clock,
            loop,
            clients,
        )
        self.is_ready, self.reported_ready = is_ready, False
        self.member_endpoints = {name: socket_address(at) for name, at in settings.members.items()}
        boot = int((clock.now() + clock.unix_offset) * 1e6)
        self.coordinator = Coordinator(coordinator_settings(settings, instance))
        self.codec = DatagramCodec(
            settings.group, instance, boot, tuple(self.member_endpoints), load_keys(settings)
        )
        self.store = VoteStore(settings.state_file, settings.group, instance) if settings.state_file else None
        self.local_addresses = {
            name: LocalAddress(service, socket_address(service.at), _announcer(name, service))
            for name, service in settings.services.items()
        }
        self.socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._finish_timers: set[asyncio.TimerHandle] = set()
        self.stop_at = math.inf  # boot time by which this process has answered everything and ends

    # Start, reload, stop.

    def start(self) -> None:
        """Bind the UDP socket and start the coordinator. Raises ConfigError."""
        bind = self.settings.bind or self.settings.members[self.instance]
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            self.socket.bind(socket_address(bind))
        except OSError as error:
            self.socket.close()
            self.socket = None
            raise ConfigError(f"[address] bind: {bind} read, but: {error.strerror}") from error
        self.loop.add_reader(self.socket.fileno(), self._on_readable)
        stored_votes = self.store.read() if self.store else None
        if self.store and stored_votes is None:
            log.info("state.unknown", file=str(self.store.path))
        self._handle(events.Started(self.codec.boot, stored_votes))

    def resign(self, within: float) -> None:
        """Hand over all addresses held here; the process stops in `within` seconds.

        A handover that has started before is brought forward if it would last longer.
        """
        now = self.clock.boottime()
        self.stop_at = now + within
        for local in self.local_addresses.values():
            gate = local.gate
            if gate is not None and gate.budget is not None:
                remaining_s = gate.budget.ends_at - now
                self._bound_requests(gate, HandoverBudget.starting(now, remaining_s, self._latest_end(local)))
        if self.socket is not None:
            self._handle(events.Resign())

    def stop_voting(self) -> bool:
        """Give no votes from now on. Returns whether all that were given have run out."""
        if self.coordinator.voting:
            self._handle(events.VotingStopped())
        return not self.coordinator.voter.bound_for(self.clock.boottime())

    @property
    def busy(self) -> bool:
        """Whether an address is open here or an announcer run has not finished."""
        return any(
            local.gate is not None or (local.last_announcer_run and not local.last_announcer_run.done())
            for local in self.local_addresses.values()
        )

    def reload(self, new: AddressSettings) -> list[str]:
        """Apply what can change while running: keys, preferences, hold-down time, `finish` and `finish_ms`.

        Returns the settings that differ and can't be applied before a restart. Raises ConfigError if the key
        file can't be used; nothing is applied in that case.
        """
        keys = load_keys(new)
        old, not_applied = self.settings, []
        for key in (
            "group",
            "members",
            "bind",
            "lease_ms",
            "clock_drift",
            "beat_ms",
            "state_file",
            "instance",
        ):
            if getattr(old, key) != getattr(new, key):
                not_applied.append(f"[address] {key}")
        for name in old.services.keys() | new.services.keys():
            old_service, new_service = old.services.get(name), new.services.get(name)
            reloadable = {"prefer", "finish", "finish_ms"}
            if old_service is None or new_service is None:
                not_applied.append(f"[address:{name}]")
            elif old_service.model_dump(exclude=reloadable) != new_service.model_dump(exclude=reloadable):
                not_applied.append(f"[address:{name}] all but prefer, finish and finish_ms")
        self.codec.keys = keys
        service_addresses = []
        for name, local in self.local_addresses.items():
            if reloaded := new.services.get(name):
                changes = {
                    "prefer": reloaded.prefer,
                    "finish": reloaded.finish,
                    "finish_ms": reloaded.finish_ms,
                }
                local.settings = local.settings.model_copy(update=changes)
            service_addresses.append(events.ServiceAddress(name, local.settings.prefer))
        self._handle(events.SettingsReloaded(tuple(service_addresses), new.hold_down_s))
        services = {name: current.settings for name, current in self.local_addresses.items()}
        self.settings = old.model_copy(
            update={"services": services, "hold_down_s": new.hold_down_s, "key_file": new.key_file}
        )
        log.info("address.reloaded", keys=len(keys.secrets), not_taken="; ".join(not_applied) or "nothing")
        return not_applied

    def close(self) -> None:
        """Shut all gates and close all sockets at once, without handing over."""
        if self._timer is not None:
            self._timer.cancel()
        for timer in self._finish_timers:
            timer.cancel()
        for local in self.local_addresses.values():
            self._fence(local)
            if local.last_announcer_run is not None:
                local.last_announcer_run.cancel()
        if self.socket is not None:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
            self.socket = None

    def status(self) -> dict[str, object]:
        """Return what this instance holds, knows and has counted."""
        return self.coordinator.status(self.clock.boottime()) | {
            "wire": dict(sorted(self.codec.counters.items()))
        }

    # Events and actions.

    def _on_readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
            if self.socket is None:
                return
            try:
                data = self.socket.recv(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # ICMP port unreachable: that instance is down, which missing heartbeats will show.
                continue
            datagram = self.codec.decode(data)
            if datagram is not None:
                self._handle(events.MessageReceived(datagram.sender, datagram.boot, datagram.message))

    def _on_timer(self) -> None:
        self._timer = None
        if (ready := self.is_ready()) != self.reported_ready:
            self.reported_ready = ready
            self._handle(events.ReadinessChanged(ready))
        self._handle(events.Tick())

    def _handle(self, event: events.Event) -> None:
        """Pass an event to the coordinator and carry out the resulting actions."""
        now = self.clock.boottime()
        for action in self.coordinator.handle(event, now):
            if isinstance(action, events.PersistVotes):
                if not self._persist(action):
                    return
            else:
                self._carry_out(action, now)

    def _carry_out(self, action: events.Action, now: float) -> None:
        match action:
            case events.SendMessage(receiver, message):
                self._send(receiver, self.codec.encode(receiver, message))
            case events.SetTimer(due):
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self.loop.call_later(max(0.0, due - now), self._on_timer)
            case events.Announce(name, term, lease_end):
                local = self.local_addresses[name]
                local.gate, local.withdrawing = Gate(name, term, lease_end, self.clock.boottime), False
                self._queue_announcer_run(local, self._announce(local, local.gate))
            case events.ExtendLease(name, term, lease_end):
                if (gate := self.local_addresses[name].gate) and gate.term == term:
                    gate.extend(lease_end)
            case events.HurryPending(name, term, lease_end):
                if (gate := self.local_addresses[name].gate) and gate.term == term:
                    gate.hurried = True
                    self.clients.shorten_deadlines(gate, lease_end - now - ANSWER_MARGIN_S)
            case events.Withdraw(name, term):
                local = self.local_addresses[name]
                local.withdrawing = True
                self._queue_announcer_run(local, self._withdraw(local, term))
            case events.Fence(name, term):
                local = self.local_addresses[name]
                self._fence(local)
                self._queue_announcer_run(local, self._remove_announcement(local, term))
            case events.LogEvent(event, fields):
                log.info(event, **fields)

    def _send(self, receiver: str, data: bytes) -> None:
        if self.socket is not None:
            try:
                self.socket.sendto(data, self.member_endpoints[receiver])
            except OSError:  # no buffer, or the receiver's port is closed: the same as a lost datagram
                self.codec.counters["not sent"] += 1

    def _persist(self, action: events.PersistVotes) -> bool:
        """Write votes to disk before any message that carries them is sent.

        If that fails, the state file is removed and the instance goes on without one. Returns False, and
        closes the driver, if the old file can't be removed either.
        """
        if self.store is None:
            return True
        try:
            self.store.write(action.votes)
            return True
        except OSError as error:
            log.error("state.failed", file=str(self.store.path), error=str(error))
        try:
            self.store.delete()
            self.store = None  # the next start doesn't vote for one lease, as without a state file
            return True
        except OSError as error:  # a restart would read outdated votes, so this instance must not vote
            log.error("state.stuck", error=str(error))
            self.close()
            return False

    # Gates, listeners, announcers.

    def _queue_announcer_run(self, local: LocalAddress, run: Coroutine[Any, Any, None]) -> None:
        """Start `run` after all earlier announcer runs of the address have finished."""
        previous = local.last_announcer_run

        async def run_after_previous() -> None:
            if previous is not None:
                with contextlib.suppress(Exception):
                    await previous
            await run

        local.last_announcer_run = self.loop.create_task(run_after_previous())

    async def _announce(self, local: LocalAddress, gate: Gate) -> None:
        """Announce the address, open its listener and report the result."""
        why = await local.announcer.add(gate.term)
        if local.gate is not gate or local.withdrawing:
            return  # a Withdraw or Fence came meanwhile and is next in the queue
        if not why:
            try:
                # The port is shared: the socket of a stalled holder must not keep its successor from binding.
                sock = open_listening_socket(local.endpoint, BACKLOG_CONNECTIONS, shared_port=True)
                local.listener = Listener(self.clients, sock, gate)
            except OSError as error:
                why = f"{local.settings.at}: {error.strerror}"
        self._handle(events.AnnounceCompleted(gate.address, gate.term, not why, why))

    async def _withdraw(self, local: LocalAddress, term: int) -> None:
        """Stop taking requests and release the address.

        With `finish` set to `before`, pending requests are answered before the release. With `after`, they
        are answered after it, while the successor already serves the address. The settings and the time limit
        are those of the start of the handover.
        """
        gate = local.gate
        if gate is not None and gate.term == term:
            if local.listener is not None:
                local.listener.close(drain_backlog=gate.may_take())
                local.listener = None
            now, before = self.clock.boottime(), local.settings.finish == "before"
            budget = HandoverBudget.starting(now, local.settings.finish_ms / 1000, self._latest_end(local))
            self._bound_requests(gate, budget)
            if before:
                await self._wait_until_answered(gate)
            else:
                await self._wait_for_arriving_requests(gate, now + MIN_HANDOVER_S)
            if local.gate is gate:  # not fenced meanwhile
                local.gate = None
                if before:
                    self._close_gate(gate)
                else:
                    self._finish_pending(gate, budget)
        await self._remove_announcement(local, term)

    def _latest_end(self, local: LocalAddress) -> float:
        """Return the latest end of a handover.

        With `before`, this process releases the address only then, which may run the operator's program.
        """
        if self.stop_at == math.inf or local.settings.finish == "after":
            return self.stop_at
        if local.settings.announce != "program":
            return self.stop_at
        return self.stop_at - local.settings.program_timeout_ms / 1000

    def _bound_requests(self, gate: Gate, budget: HandoverBudget) -> None:
        """Let every request of the gate, taken already or still to be taken, be due within the budget."""
        gate.leave(budget)
        self.clients.shorten_deadlines(gate, gate.time_left())

    async def _wait_until_answered(self, gate: Gate) -> None:
        """Serve until every request is answered; one that has not arrived whole by the budget's end is not.

        Requests are due before that end. If the process was held up, the lease still covers the answers.
        """
        while gate.may_take() and gate.budget is not None:
            is_idle = self.clients.close_idle_through(gate)
            may_end = is_idle or self.clock.boottime() >= gate.budget.ends_at
            if may_end and not self.clients.has_pending_through(gate):
                return
            await asyncio.sleep(HANDOVER_POLL_S)

    async def _wait_for_arriving_requests(self, gate: Gate, deadline: float) -> None:
        """Take the requests that are just arriving."""
        while gate.may_take() and self.clock.boottime() < deadline:
            if self.clients.close_idle_through(gate):
                return
            await asyncio.sleep(HANDOVER_POLL_S)

    def _finish_pending(self, gate: Gate, budget: HandoverBudget) -> None:
        """Answer pending requests within the budget while the successor already serves."""
        gate.finish(budget.ends_at)
        if gate.phase is not Phase.FINISHING:
            self._close_gate(gate)
            return
        for connection in self.clients.connections_through(gate):
            if connection.pending is None and not connection.is_closing:
                connection.fence()

        def finish() -> None:
            self._finish_timers.discard(timer)
            self._close_gate(gate)

        timer = self.loop.call_later(max(0.0, budget.ends_at - self.clock.boottime()), finish)
        self._finish_timers.add(timer)

    def _close_gate(self, gate: Gate) -> None:
        gate.shut()
        self.clients.fence_all(gate)

    def _fence(self, local: LocalAddress) -> None:
        """Shut the gate and close the listener at once."""
        gate, local.gate = local.gate, None
        local.withdrawing = True
        if local.listener is not None:
            local.listener.close(drain_backlog=False)
            local.listener = None
        if gate is not None:
            self._close_gate(gate)

    async def _remove_announcement(self, local: LocalAddress, term: int) -> None:
        name = local.settings.name
        if why := await local.announcer.remove(term):
            log.error("announce.not-removed", address=name, term=term, why=why)
        self._handle(events.Withdrawn(name, term))


def _announcer(name: str, settings: ServiceSettings) -> Announcer:
    if settings.announce == "program":
        return ProgramAnnouncer(settings.program, name, settings.at, settings.program_timeout_ms / 1000)
    return ListenOnlyAnnouncer()


def coordinator_settings(settings: AddressSettings, instance: str) -> events.Settings:
    """Return the coordinator's settings for one instance."""
    return events.Settings(
        instance,
        tuple(settings.members),
        tuple(events.ServiceAddress(name, service.prefer) for name, service in settings.services.items()),
        settings.lease_ms / 1000,
        settings.clock_drift,
        settings.beat_ms / 1000,
        settings.hold_down_s,
    )


def load_keys(settings: AddressSettings) -> Keys:
    """Return the group's keys. Raises ConfigError."""
    try:
        return read_keys(settings.key_file)
    except KeyFileError as error:
        raise ConfigError(f"[address] key_file: {error}") from error
