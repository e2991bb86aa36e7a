"""The real core in virtual time, under faults drawn from a seed, checked by what a client could see.

Owns a world of instances (each a real `Group`, a clock of its own that drifts, a real replay window, an
announcer, a gate) and the links between them; nothing here sleeps, and one seed replays one schedule. The
checker knows nothing of terms and votes: it is told when each instance would have answered on an address,
from the gates alone, and says where two would have at once, and where nobody did for too long though a
majority was connected. It must never let the core see real time or another instance's state.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from wickgw.address import events as e
from wickgw.address.bugs import Planted
from wickgw.address.group import Group
from wickgw.address.messages import Message
from wickgw.address.scenarios import SCENARIOS, Draw, Fault
from wickgw.address.window import Window

RETURN_S = 3.0  # the address is back within that of a death
BOUND_MS = 0.0  # two hold at once for no longer; the look before the write is outside of this world
LENGTH_S = 16.0
HANDLE_S = 0.0002  # a woken instance's first answer is out before it has read what came meanwhile
NAMES = ("a", "b", "c", "d", "e", "f", "g")


@dataclass(slots=True)
class Gate:
    """What stands between an address and its answers at one instance, as in `gate.Gate`."""

    term: int
    until: float  # on the instance's clock
    opened: float  # real time, while it answers
    answering: bool = True


@dataclass(eq=False)
class Instance:
    """One instance in the world."""

    name: str
    rate: float  # its clock's seconds for a real one
    offset: float
    core: Group
    boot: int
    up: bool = True
    key: bool = True
    announces: bool = True  # its announcer works
    stalled_until: float = float("-inf")
    life: int = 0
    wake: int = 0  # serial of the Wake that counts
    number: int = 0  # of its datagrams
    windows: dict[str, Window] = field(default_factory=dict)
    queue: deque[tuple[Callable[..., None], tuple[Any, ...]]] = field(default_factory=deque)
    gates: dict[str, Gate] = field(default_factory=dict)
    ending: bool = False

    def clock(self, now: float) -> float:
        """Its clock at a real time."""
        return self.offset + self.rate * now

    def real(self, local: float) -> float:
        """The real time at which its clock shows that."""
        return (local - self.offset) / self.rate


@dataclass(frozen=True, slots=True)
class Span:
    """An instance would have answered on an address all this time."""

    address: str
    name: str
    term: int
    start: float
    end: float


@dataclass(slots=True)
class Result:
    """What one seed came to."""

    seed: int
    scenario: str
    instances: int
    overlap_ms: float = 0.0
    returns: list[float] = field(default_factory=list)  # seconds after each death of a holder
    violations: list[str] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)
    moves: int = 0


class World:
    """One schedule."""

    def __init__(
        self,
        seed: int,
        scenario: str | None = None,
        planted: Planted | None = None,
        beyond: float = 1.0,
        traced: bool = False,
    ) -> None:
        names = list(SCENARIOS)
        self.scenario = scenario or names[seed % len(names)]
        # A stream for each part, so that a draw more in one does not move the others'.
        streams = [np.random.default_rng([seed, part]) for part in range(3)]
        shape, faults, self.network = streams
        count = int(shape.choice([3, 3, 3, 5, 7]))
        self.names = NAMES[:count]
        drift = float(shape.choice([0.01, 0.02, 0.05])) if self.scenario == "drift" else 0.01
        prefer = [tuple(self.names[int(k)] for k in shape.permutation(count)[:2]) for _ in range(2)]
        places = [e.Place("east", prefer[0]), e.Place("west", prefer[1]), e.Place("north")]
        self.places = tuple(places[: int(shape.integers(1, 4))])
        self.settings = e.Settings("a", self.names, self.places, drift=drift, hold_down=2.0)
        self.planted = planted or Planted()
        self.traced = traced
        self.now, self.serial = 0.0, itertools.count()
        self.agenda: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.blocked: set[tuple[str, str]] = set()
        self.loss, self.doubled, self.late, self.replayed = 0.0, 0.0, 0.002, 0.0
        self.spans: list[Span] = []
        self.deaths: list[tuple[float, str]] = []  # when, and whose address
        self.epochs: list[
            tuple[float, frozenset[frozenset[str]]]
        ] = []  # cliques that are a majority, from then
        self.result = Result(seed, self.scenario, count)
        self.instances: dict[str, Instance] = {}
        for name in self.names:
            rate = 1 + beyond * drift * float(shape.choice([-1.0, 0.0, 1.0, shape.uniform(-1, 1)]))
            instance = Instance(name, rate, float(shape.uniform(0, 1e6)), self._core(name), 0)
            self.instances[name] = instance
        for instance in self.instances.values():
            self._start(instance)
        for fault in SCENARIOS[self.scenario](Draw(faults, self.names, LENGTH_S)):
            self._at(fault.at, self._fault, fault)
        self._mark()

    def _core(self, name: str) -> Group:
        s = self.settings
        settings = e.Settings(name, s.members, s.places, s.lease, s.drift, s.beat, s.hold_down, s.last_call)
        return self.planted.group(settings)

    # Running.

    def run(self) -> Result:
        """Play to the end; returns what it came to."""
        while self.agenda and self.agenda[0][0] <= LENGTH_S:
            self.now, _, call, args = heapq.heappop(self.agenda)
            call(*args)
        self.now = LENGTH_S
        for instance in self.instances.values():
            self._shut_all(instance)
        self._check()
        return self.result

    def _at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.agenda, (when, next(self.serial), call, args))

    def _say(self, text: str) -> None:
        if self.traced:
            self.result.trace.append(f"{self.now:9.4f} s  {text}")

    def _on(self, instance: Instance, life: int, call: Callable[..., None], *args: Any) -> None:
        """Something reaches an instance: now, or when it wakes; never if that life is over."""
        if not instance.up or instance.life != life:
            return
        if self.now < instance.stalled_until:
            instance.queue.append((call, args))
        else:
            call(*args)

    def _feed(self, instance: Instance, event: e.Event) -> None:
        local = instance.clock(self.now)
        for action in instance.core.handle(event, local):
            match action:
                case e.Tell(to, message):
                    self._send(instance, to, message)
                case e.Wake(at):
                    instance.wake += 1
                    due = max(self.now, instance.real(at)) + 1e-7
                    self._at(due, self._on, instance, instance.life, self._tick, instance, instance.wake)
                case e.Announce(address, term, until):
                    delay = float(self.network.uniform(0.001, 0.01))
                    args = instance, address, term, until
                    self._at(self.now + delay, self._on, instance, instance.life, self._announce, *args)
                case e.Extend(address, _, until):
                    self._extend(instance, address, until)
                case e.Retire(address, term):
                    self._withdraw(instance, address, term, 0.04)
                case e.Cut(address, term):
                    self._shut(instance, address)
                    self._withdraw(instance, address, term, 0.1)
                case e.Note(what, fields) if self.traced:
                    self._say(f"{instance.name}: {what} " + " ".join(f"{k}={v}" for k, v in fields.items()))

    def _withdraw(self, instance: Instance, address: str, term: int, most: float) -> None:
        """The announcer lets go, within so many seconds."""
        when = self.now + float(self.network.uniform(0.001, most))
        self._at(when, self._on, instance, instance.life, self._gone, instance, address, term)

    def _tick(self, instance: Instance, wake: int) -> None:
        if wake == instance.wake:
            self._feed(instance, e.Tick())

    # The network.

    def _send(self, sender: Instance, to: str, message: Message) -> None:
        sender.number += 1
        if (sender.name, to) in self.blocked or not sender.key or not self.instances[to].key:
            return
        if self.loss and self.network.random() < self.loss:
            return
        delay = float(self.network.uniform(0.0002, 0.002))
        if self.network.random() < self.late:
            delay += float(self.network.uniform(0.0, 0.4))
        packet = sender.name, sender.boot, sender.number, message
        receiver = self.instances[to]
        self._at(self.now + delay, self._arrive, receiver, packet)
        if self.doubled and self.network.random() < self.doubled:
            self._at(self.now + delay + float(self.network.uniform(0, 0.1)), self._arrive, receiver, packet)
        if self.replayed and self.network.random() < self.replayed:
            self._at(self.now + delay + float(self.network.uniform(0.5, 5)), self._arrive, receiver, packet)

    def _arrive(self, receiver: Instance, packet: tuple[str, int, int, Message]) -> None:
        if (packet[0], receiver.name) not in self.blocked:
            self._on(receiver, receiver.life, self._read, receiver, packet)

    def _read(self, receiver: Instance, packet: tuple[str, int, int, Message]) -> None:
        sender, boot, number, message = packet
        if receiver.windows.setdefault(sender, Window()).accept(boot, number):
            self._feed(receiver, e.Heard(sender, boot, message))

    # Gates: what a client could see.

    def _announce(self, instance: Instance, address: str, term: int, until: float) -> None:
        tenure = instance.core.tenures[address]
        if tenure.term != term:
            return
        if not instance.announces:
            self._feed(instance, e.Announced(address, term, False, "cannot bind"))
            return
        gate = Gate(term, max(until, tenure.until), self.now)
        gate.answering = self._looks(instance, gate)
        instance.gates[address] = gate
        self._say(f"{instance.name}: serves {address} in term {term}")
        self.result.moves += 1
        self._feed(instance, e.Announced(address, term, True))

    def _looks(self, instance: Instance, gate: Gate) -> bool:
        """The look before an answer."""
        return self.planted.looks(instance.clock(self.now), gate.until)

    def _extend(self, instance: Instance, address: str, until: float) -> None:
        gate = instance.gates.get(address)
        if gate is None:
            return
        if gate.answering and instance.real(gate.until) < self.now:
            self._pause(instance, address, gate)
        gate.until = max(until, gate.until)
        if not gate.answering and self._looks(instance, gate):
            gate.opened, gate.answering = self.now, True

    def _pause(self, instance: Instance, address: str, gate: Gate) -> None:
        """It answers no more, for now or for ever."""
        if gate.answering:
            end = min(self.now, self.planted.ends(instance.real(gate.until)))
            if end > gate.opened:
                self.spans.append(Span(address, instance.name, gate.term, gate.opened, end))
            gate.answering = False

    def _shut(self, instance: Instance, address: str) -> None:
        if gate := instance.gates.pop(address, None):
            self._pause(instance, address, gate)

    def _shut_all(self, instance: Instance) -> None:
        for address in list(instance.gates):
            self._shut(instance, address)

    def _gone(self, instance: Instance, address: str, term: int) -> None:
        if (gate := instance.gates.get(address)) and gate.term == term:
            self._shut(instance, address)
        self._feed(instance, e.Withdrawn(address, term))

    # Faults. `holder` is whoever holds the first address just then.

    def _fault(self, fault: Fault) -> None:
        args = tuple(self._holder() if a == "holder" else a for a in fault.args)
        if None in args:
            return
        self._say(f"--- {fault.what} {' '.join(str(a) for a in args)}")
        getattr(self, f"fault_{fault.what}")(*args)
        self._mark()

    def _holder(self) -> str | None:
        place = self.places[0].name
        return next((i.name for i in self.instances.values() if i.up and place in i.gates), None)

    def fault_kill(self, name: str) -> None:
        """It dies, and its memory with it."""
        instance = self.instances[name]
        if instance.up:
            self.deaths += [(self.now, address) for address in instance.gates]
            self._shut_all(instance)
            instance.up = False
            instance.queue.clear()

    def fault_start_dead(self) -> None:
        """All that are down start, and so do those that were told to end."""
        for instance in self.instances.values():
            if instance.ending and instance.up:
                self.fault_kill(instance.name)
            if not instance.up:
                self._start(instance)

    def _start(self, instance: Instance) -> None:
        instance.up, instance.ending, instance.stalled_until = True, False, float("-inf")
        instance.life += 1
        instance.number, instance.windows, instance.gates = 0, {}, {}
        instance.core = self._core(instance.name)
        instance.boot = int((self.now + 1) * 1e6) + instance.life
        self._feed(instance, self.planted.began(instance.boot))
        self._feed(instance, e.Able(True))

    def fault_stall(self, name: str, seconds: float) -> None:
        """It stands still, and does not know it."""
        instance = self.instances[name]
        if not instance.up or self.now < instance.stalled_until:
            return
        for address, gate in instance.gates.items():
            self._pause(instance, address, gate)
        instance.stalled_until = self.now + seconds
        self._at(instance.stalled_until, self._woken, instance, instance.life)

    def _woken(self, instance: Instance, life: int) -> None:
        if not instance.up or instance.life != life:
            return
        instance.stalled_until = float("-inf")
        self._say(f"{instance.name}: wakes")
        for gate in instance.gates.values():
            gate.answering, gate.opened = self._looks(instance, gate), self.now
        self._at(self.now + HANDLE_S, self._catch_up, instance, life)
        self._mark()

    def _catch_up(self, instance: Instance, life: int) -> None:
        while instance.queue and instance.up and instance.life == life:
            call, args = instance.queue.popleft()
            call(*args)

    def fault_cut(self, sender: str, receiver: str) -> None:
        """What one says no longer reaches the other."""
        self.blocked.add((sender, receiver))

    def fault_isolate(self, name: str) -> None:
        """One is cut off from all."""
        for other in self.names:
            self.blocked |= {(name, other), (other, name)}

    def fault_split(self, *parts: tuple[str, ...]) -> None:
        """The group falls into parts."""
        for one, other in itertools.permutations(parts, 2):
            self.blocked |= set(itertools.product(one, other))

    def fault_mend(self) -> None:
        """All links carry again."""
        self.blocked.clear()

    def fault_estrange(self, part: float) -> None:
        """A part that is no majority by itself loses sight of the holder."""
        holder = self._holder()
        if holder is None:
            return
        others = [n for n in self.names if n != holder]
        for other in others[: len(self.names) // 2]:
            self.blocked |= {(holder, other), (other, holder)}

    def fault_restart_voters(self, down: float) -> None:
        """The holder's voters restart, and from then on they do not hear it either."""
        holder = self._holder()
        if holder is None:
            return
        for other in self.names:
            if other != holder and (holder, other) not in self.blocked:
                self.fault_kill(other)
                self.blocked |= {(holder, other), (other, holder)}
        self._at(self.now + down, self._fault, Fault(self.now + down, "start_dead"))

    def fault_weather(self, loss: float, doubled: float, late: float, replayed: float) -> None:
        """What the links do to datagrams: shares lost, doubled, late, replayed."""
        self.loss, self.doubled, self.late, self.replayed = loss, doubled, late, replayed

    def fault_announcer(self, name: str, works: bool) -> None:
        """Whether an instance can announce."""
        self.instances[name].announces = works

    def fault_key(self, name: str, right: bool) -> None:
        """Whether an instance has the group's key."""
        self.instances[name].key = right

    def fault_resign(self, name: str) -> None:
        """It is told to end in order."""
        instance = self.instances[name]
        if instance.up and self.now >= instance.stalled_until:
            instance.ending = True
            self._feed(instance, e.Resign())

    # The checker.

    def _mark(self) -> None:
        """Which sets of instances are a connected majority from now on."""
        well = [
            i.name
            for i in self.instances.values()
            if i.up and i.key and i.announces and not i.ending and self.now >= i.stalled_until
        ]
        friends = {
            n: frozenset(m for m in well if (n, m) not in self.blocked and (m, n) not in self.blocked)
            for n in well
        }
        least = self.settings.majority
        sets = (frozenset(s) for s in itertools.combinations(well, least))
        cliques = frozenset(s for s in sets if all(s <= friends[n] for n in s))
        if not self.epochs or self.epochs[-1][1] != cliques:
            self.epochs.append((self.now, cliques))

    def _check(self) -> None:
        for place in self.places:
            spans = sorted((s for s in self.spans if s.address == place.name), key=lambda s: s.start)
            self._check_overlap(spans)
            self._check_return(place.name, spans)

    def _check_overlap(self, spans: list[Span]) -> None:
        for k, one in enumerate(spans):
            for other in spans[k + 1 :]:
                if other.start >= one.end:
                    break
                if other.name == one.name:
                    continue
                both = (min(one.end, other.end) - other.start) * 1000
                self.result.overlap_ms = max(self.result.overlap_ms, both)
                if both > BOUND_MS + 1e-6:
                    self.result.violations.append(
                        f"{one.address}: {one.name} (term {one.term}) and {other.name} "
                        f"(term {other.term}) both answer for {both:.2f} ms from {other.start:.4f} s on"
                    )

    def _check_return(self, address: str, spans: list[Span]) -> None:
        gaps, end = [], 0.0
        for span in spans:
            if span.start > end:
                gaps.append((end, span.start))
            end = max(end, span.end)
        gaps.append((end, LENGTH_S))
        for start, stop in gaps:
            if stop - start > RETURN_S and (since := self._connected(start, stop)) is not None:
                self.result.violations.append(
                    f"{address}: nobody answers from {start:.3f} to {stop:.3f} s, though one majority is "
                    f"connected from {since:.3f} s on"
                )
        for when, whose in self.deaths:
            gap = next(((a, b) for a, b in gaps if a <= when + 1e-9 and when < b), None)
            if whose == address and gap is not None and gap[1] < LENGTH_S and self._all_along(when, gap[1]):
                self.result.returns.append(gap[1] - when)

    def _connected(self, start: float, stop: float) -> float | None:
        """Since when one set was connected for more than RETURN_S within a gap; None if none was."""
        running: dict[frozenset[str], float] = {}
        edges = [(max(start, at), cliques) for at, cliques in self.epochs]
        for k, (at, cliques) in enumerate(edges):
            until = min(edges[k + 1][0] if k + 1 < len(edges) else stop, stop)
            running = {clique: min(running.get(clique, at), at) for clique in cliques}
            for since in running.values():
                if until - since > RETURN_S:
                    return since
        return None

    def _all_along(self, start: float, stop: float) -> bool:
        """Whether a majority was connected all the time between."""
        held = [c for at, c in self.epochs if at <= start][-1:] + [
            c for at, c in self.epochs if start < at < stop
        ]
        return all(held)


def rehearse(seed: int, planted: Planted | None = None, traced: bool = False) -> Result:
    """Play one seed."""
    return World(seed, planted=planted, traced=traced).run()
