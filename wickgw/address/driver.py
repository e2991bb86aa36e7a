"""The address group on sockets: datagrams, timers, gates, listeners and announcers around one `Group`.

Owns the UDP socket, the one timer, and for each address the gate, the listener and the chain of announcer
runs. Thin on purpose: `Group` decides, this carries out. It must never open a gate for longer than the core
said, shut one later than told, or say Withdrawn while anything new may still be taken.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from wickgw.address import events as e
from wickgw.address.announce import Announcer, ListenOnly, Program
from wickgw.address.gate import SPARE, Gate, Phase
from wickgw.address.group import Group
from wickgw.address.keys import KeyFileError, Keys, read_keys
from wickgw.address.store import Store
from wickgw.address.wire import MOST, Wire
from wickgw.config.relay import BACKLOG_CONNECTIONS, ConfigError
from wickgw.config.schema import AddressSettings, ServiceSettings
from wickgw.net.clients import Clients, Listener
from wickgw.net.dispatch import Clock
from wickgw.net.listen import address as socket_address
from wickgw.net.listen import listening
from wickgw.observe import logger

log = logger("wickgw.address")
AT_ONCE = 64  # datagrams read before others get their turn
SETTLE = 0.05  # seconds that a planned move may wait for requests that are just coming in
LOOK = 0.002  # seconds between looks at that


@dataclass(eq=False)
class Service:
    """One address here: what is open for it now."""

    settings: ServiceSettings
    where: tuple[str, int]
    announcer: Announcer
    gate: Gate | None = None
    listener: Listener | None = None
    leaving: bool = False  # the gate may not be opened any further
    last: asyncio.Task[None] | None = None  # the end of the chain of announcer runs


class Driver:
    """One instance of the group on a loop."""

    def __init__(
        self,
        settings: AddressSettings,
        me: str,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        clients: Clients,
        ready: Callable[[], bool],
    ) -> None:
        self.settings, self.me, self.clock, self.loop, self.clients = settings, me, clock, loop, clients
        self.ready, self.able = ready, False
        self.members = {name: socket_address(at) for name, at in settings.members.items()}
        boot = int((clock.now() + clock.offset) * 1e6)
        self.core = Group(core_settings(settings, me))
        self.wire = Wire(settings.group, me, boot, tuple(self.members), load_keys(settings))
        self.store = Store(settings.state_file, settings.group, me) if settings.state_file else None
        self.services = {
            name: Service(s, socket_address(s.at), _announcer(name, s))
            for name, s in settings.services.items()
        }
        self.socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._finish_timers: set[asyncio.TimerHandle] = set()

    # Life.

    def start(self) -> None:
        """Bind and begin. Raises ConfigError."""
        bind = self.settings.bind or self.settings.members[self.me]
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            self.socket.bind(socket_address(bind))
        except OSError as error:
            self.socket.close()
            self.socket = None
            raise ConfigError(f"[address] bind: {bind} read, but: {error.strerror}") from error
        self.loop.add_reader(self.socket.fileno(), self._readable)
        kept = self.store.read() if self.store else None
        if self.store and kept is None:
            log.info("state.unknown", file=str(self.store.path))
        self._feed(e.Began(self.wire.boot, kept))

    def resign(self) -> None:
        """The process is about to end: hand over what is held here."""
        if self.socket is not None:
            self._feed(e.Resign())

    @property
    def busy(self) -> bool:
        """Something is held here, or about to be let go of."""
        return any(s.gate is not None or (s.last and not s.last.done()) for s in self.services.values())

    def reload(self, new: AddressSettings) -> list[str]:
        """Take what can be taken: keys, preferences, hold-down, finish. Returns what can't. Raises
        ConfigError, and then nothing is taken."""
        keys = load_keys(new)
        old, fixed = self.settings, []
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
                fixed.append(f"[address] {key}")
        for name in old.services.keys() | new.services.keys():
            a, b = old.services.get(name), new.services.get(name)
            free = {"prefer", "finish", "finish_ms"}
            if a is None or b is None:
                fixed.append(f"[address:{name}]")
            elif a.model_dump(exclude=free) != b.model_dump(exclude=free):
                fixed.append(f"[address:{name}] all but prefer, finish and finish_ms")
        self.wire.keys = keys
        places = []
        for name, service in self.services.items():
            if fresh := new.services.get(name):
                taken = {"prefer": fresh.prefer, "finish": fresh.finish, "finish_ms": fresh.finish_ms}
                service.settings = service.settings.model_copy(update=taken)
            places.append(e.Place(name, service.settings.prefer))
        self._feed(e.Rearranged(tuple(places), new.hold_down_s))
        kept = {name: s.settings for name, s in self.services.items()}
        self.settings = old.model_copy(
            update={"services": kept, "hold_down_s": new.hold_down_s, "key_file": new.key_file}
        )
        log.info("address.reloaded", keys=len(keys.secrets), not_taken="; ".join(fixed) or "nothing")
        return fixed

    def close(self) -> None:
        """Give everything back, at once."""
        if self._timer is not None:
            self._timer.cancel()
        for timer in self._finish_timers:
            timer.cancel()
        for service in self.services.values():
            self._shut(service)
            if service.last is not None:
                service.last.cancel()
        if self.socket is not None:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
            self.socket = None

    def status(self) -> dict[str, object]:
        """What this instance holds, knows and has counted."""
        return self.core.status(self.clock.awake()) | {"wire": dict(sorted(self.wire.counted.items()))}

    # Events in, actions out.

    def _readable(self) -> None:
        for _ in range(AT_ONCE):
            if self.socket is None:
                return
            try:
                data = self.socket.recv(MOST + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:  # a port unreachable that came back: its instance is down, and beats will tell
                continue
            datagram = self.wire.open(data)
            if datagram is not None:
                self._feed(e.Heard(datagram.sender, datagram.boot, datagram.message))

    def _tick(self) -> None:
        self._timer = None
        if (able := self.ready()) != self.able:
            self.able = able
            self._feed(e.Able(able))
        self._feed(e.Tick())

    def _feed(self, event: e.Event) -> None:
        now = self.clock.awake()
        for action in self.core.handle(event, now):
            if isinstance(action, e.Keep):
                if not self._keep(action):
                    return
            else:
                self._run(action, now)

    def _run(self, action: e.Action, now: float) -> None:
        match action:
            case e.Tell(to, message):
                self._tell(to, self.wire.seal(to, message))
            case e.Wake(at):
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self.loop.call_later(max(0.0, at - now), self._tick)
            case e.Announce(address, term, until):
                service = self.services[address]
                service.gate, service.leaving = Gate(address, term, until, self.clock.awake), False
                self._chain(service, self._announce(service, service.gate))
            case e.Extend(address, term, until):
                if (gate := self.services[address].gate) and gate.term == term:
                    gate.extend(until)
            case e.LastCall(address, term, until):
                if (gate := self.services[address].gate) and gate.term == term:
                    gate.hurried = True
                    self.clients.hurry(gate, until - now - SPARE)
            case e.Retire(address, term):
                service = self.services[address]
                service.leaving = True
                self._chain(service, self._retire(service, term))
            case e.Cut(address, term):
                service = self.services[address]
                self._shut(service)
                self._chain(service, self._remove(service, term))
            case e.Note(event, fields):
                log.info(event, **fields)

    def _tell(self, to: str, data: bytes) -> None:
        if self.socket is not None:
            try:
                self.socket.sendto(data, self.members[to])
            except OSError:  # no buffer, or its port is closed: as good as lost
                self.wire.counted["not sent"] += 1

    def _keep(self, action: e.Keep) -> bool:
        """Votes are on the disk before anybody hears of them; if that fails, they are never told."""
        if self.store is None:
            return True
        try:
            self.store.write(action.votes)
            return True
        except OSError as error:
            log.error("state.failed", file=str(self.store.path), error=str(error))
        try:
            self.store.forget()
            self.store = None  # the next start stays quiet: as safe as without a file
            return True
        except OSError as error:  # an old file would vouch for old votes: this instance must not vote
            log.error("state.stuck", error=str(error))
            self.close()
            return False

    # Gates, listeners, announcers.

    def _chain(self, service: Service, run: Coroutine[Any, Any, None]) -> None:
        """One announcer run after the other, in the order in which they were asked for."""
        before = service.last

        async def after() -> None:
            if before is not None:
                with contextlib.suppress(Exception):
                    await before
            await run

        service.last = self.loop.create_task(after())

    async def _announce(self, service: Service, gate: Gate) -> None:
        why = await service.announcer.add(gate.term)
        if service.gate is not gate or service.leaving:
            return  # a Retire or Cut came meanwhile, and stands behind this in the chain
        if not why:
            try:
                # The socket of a holder that stands still must not keep its successor from the address.
                sock = listening(service.where, BACKLOG_CONNECTIONS, shared_port=True)
                service.listener = Listener(self.clients, sock, gate)
            except OSError as error:
                why = f"{service.settings.at}: {error.strerror}"
        self._feed(e.Announced(gate.address, gate.term, not why, why))

    async def _retire(self, service: Service, term: int) -> None:
        """Take nothing more; then, in the order that the operator chose, finish and let go."""
        gate = service.gate
        if gate is not None and gate.term == term:
            if service.listener is not None:
                service.listener.close(last=gate.may_take())
                service.listener = None
            most = service.settings.finish_ms / 1000
            before = service.settings.finish == "before"
            end = self.clock.awake() + (most if before else SETTLE)
            # Requests that are just coming in are still ours, and so, before, are those in hand.
            while gate.may_take() and self.clock.awake() < end:
                if self.clients.settle(gate) and not (before and self.clients.through(gate)):
                    break
                await asyncio.sleep(LOOK)
            if service.gate is gate:  # not cut meanwhile
                service.gate = None
                if before:
                    self._end(gate)
                else:
                    self._finish(gate, most)
        await self._remove(service, term)

    def _finish(self, gate: Gate, most: float) -> None:
        """By agreement: what is in hand is answered while the successor serves already."""
        gate.finish(self.clock.awake() + most)
        if gate.phase is not Phase.FINISHING:
            self._end(gate)
            return
        for connection in self.clients.through(gate):
            if connection.pending is None and not connection.ending:
                connection.fence()
        self.clients.hurry(gate, most - SPARE)
        timer = self.loop.call_later(most, self._end, gate)
        self._finish_timers.add(timer)

    def _end(self, gate: Gate) -> None:
        gate.shut()
        self.clients.cut(gate)

    def _shut(self, service: Service) -> None:
        """Now: no look at this gate says yes any more."""
        gate, service.gate = service.gate, None
        service.leaving = True
        if service.listener is not None:
            service.listener.close(last=False)
            service.listener = None
        if gate is not None:
            self._end(gate)

    async def _remove(self, service: Service, term: int) -> None:
        name = service.settings.name
        if why := await service.announcer.remove(term):
            log.error("announce.not-removed", address=name, term=term, why=why)
        self._feed(e.Withdrawn(name, term))


def _announcer(name: str, settings: ServiceSettings) -> Announcer:
    if settings.announce == "program":
        return Program(settings.program, name, settings.at, settings.program_timeout_ms / 1000)
    return ListenOnly()


def core_settings(settings: AddressSettings, me: str) -> e.Settings:
    """The core's settings."""
    return e.Settings(
        me,
        tuple(settings.members),
        tuple(e.Place(name, s.prefer) for name, s in settings.services.items()),
        settings.lease_ms / 1000,
        settings.clock_drift,
        settings.beat_ms / 1000,
        settings.hold_down_s,
    )


def load_keys(settings: AddressSettings) -> Keys:
    """The group's keys. Raises ConfigError."""
    try:
        return read_keys(settings.key_file)
    except KeyFileError as error:
        raise ConfigError(f"[address] key_file: {error}") from error
