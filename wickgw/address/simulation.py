"""Deterministic simulation: the real core in virtual time, under random faults, checked from a client's view.

A simulation owns a set of instances and the links between them. Each instance has a real `Coordinator`, a
real replay window, a simulated gate and announcer, and a clock of its own that drifts. Nothing sleeps, and a
seed always produces the same schedule. A coordinator sees only its instance's clock and messages.

The checker knows nothing of terms and votes. It records when each instance would have answered on an address,
from the gates alone, and reports two violations: two instances would have answered at once, or no instance
did for too long although a majority was connected.
"""

import dataclasses
import heapq
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from wickgw.address import events
from wickgw.address.coordinator import Coordinator
from wickgw.address.earlier_version import EarlierCoordinator
from wickgw.address.injected_bugs import InjectedBug
from wickgw.address.messages import Message
from wickgw.address.replay_window import ReplayWindow
from wickgw.address.scenarios import SCENARIOS, Fault, ScenarioRandom

MAX_RECOVERY_S = 3.0  # an address is served again within this time of its holder's crash
MAX_OVERLAP_MS = 0.0  # the time between the lease check and the write is not simulated
DURATION_S = 16.0
END_CHECK_INTERVAL_S = 0.02  # between checks whether the votes of an ending instance have run out
WAKE_TO_READ_S = 0.0002  # a woken instance sends its first answer before it reads the waiting datagrams
INSTANCE_NAMES = ("a", "b", "c", "d", "e", "f", "g")


@dataclass(slots=True)
class SimulatedGate:
    """A model of `gate.Gate`: whether one instance answers on an address."""

    term: int
    valid_until: float  # seconds on the instance's clock
    opened_at: float  # real time since which it answers; only while `answering`
    answering: bool = True


@dataclass(frozen=True, slots=True)
class Configuration:
    """What may differ among the instances while an operator restarts one after the other."""

    lease_s: float = 1.0
    earlier_version: bool = False  # a version that tells no lease
    state_file: bool = False


@dataclass(eq=False)
class Instance:
    """One simulated instance."""

    name: str
    clock_rate: float  # seconds of its clock in a real second
    clock_offset_s: float
    coordinator: Coordinator
    boot: int  # start of its process: Unix microseconds
    running: bool = True
    has_key: bool = True  # has the group's key
    can_announce: bool = True  # its announcer works
    stalled_until: float = float("-inf")  # real time
    starts: int = 0  # number of process starts
    timer_number: int = 0  # of the latest SetTimer; earlier timers are void
    sequence_number: int = 0  # of its latest datagram
    windows: dict[str, ReplayWindow] = field(default_factory=dict)
    queue: deque[tuple[Callable[..., None], tuple[Any, ...]]] = field(default_factory=deque)  # while stalled
    gates: dict[str, SimulatedGate] = field(default_factory=dict)
    resigning: bool = False
    configuration: Configuration = field(default_factory=lambda: Configuration())  # used at its next start
    stored_votes: tuple[events.StoredVote, ...] | None = None  # the contents of its state file

    def clock(self, now: float) -> float:
        """Return the reading of the instance's clock at a real time."""
        return self.clock_offset_s + self.clock_rate * now

    def real_time(self, reading: float) -> float:
        """Return the real time at which the instance's clock shows `reading`."""
        return (reading - self.clock_offset_s) / self.clock_rate


@dataclass(frozen=True, slots=True)
class ServingInterval:
    """A real-time interval in which an instance would have answered on an address."""

    address: str
    instance: str
    term: int
    start: float
    end: float


@dataclass(slots=True)
class SimulationResult:
    """The result of one seed."""

    seed: int
    scenario: str
    instances: int
    overlap_ms: float = 0.0  # the longest time in which two instances answered on one address
    recovery_times_s: list[float] = field(default_factory=list)  # from each crash of a holder
    violations: list[str] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)
    moves: int = 0  # number of times that an instance began to serve an address


class Simulation:
    """One simulated schedule, fully determined by its arguments.

    `scenario` names one of SCENARIOS; by default the seed chooses. `drift_factor` scales the drift of the
    clocks: beyond 1.0 they exceed the bound that the core allows for. With `traced`, the result has a trace.
    """

    def __init__(
        self,
        seed: int,
        scenario: str | None = None,
        injected_bug: InjectedBug | None = None,
        drift_factor: float = 1.0,
        traced: bool = False,
    ) -> None:
        scenario_names = list(SCENARIOS)
        self.scenario = scenario or scenario_names[seed % len(scenario_names)]
        # One random stream for each purpose: one more draw in one of them does not change the others.
        streams = [np.random.default_rng([seed, part]) for part in range(3)]
        setup_random, fault_random, self.network_random = streams
        count = int(setup_random.choice([3, 3, 3, 5, 7]))
        self.names = INSTANCE_NAMES[:count]
        clock_drift = float(setup_random.choice([0.01, 0.02, 0.05])) if self.scenario == "drift" else 0.01
        preferred = [
            tuple(self.names[int(index)] for index in setup_random.permutation(count)[:2]) for _ in range(2)
        ]
        addresses = [
            events.ServiceAddress("east", preferred[0]),
            events.ServiceAddress("west", preferred[1]),
            events.ServiceAddress("north"),
        ]
        self.addresses = tuple(addresses[: int(setup_random.integers(1, 4))])
        self.settings = events.Settings(
            "a", self.names, self.addresses, clock_drift=clock_drift, hold_down_s=2.0
        )
        self.injected_bug = injected_bug or InjectedBug()
        self.traced = traced
        self.now, self.schedule_numbers = 0.0, itertools.count()
        # A heap of scheduled calls: time, number for a stable order, function, arguments.
        self.schedule: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.blocked_links: set[tuple[str, str]] = set()  # sender, receiver
        self.loss_share, self.duplication_share, self.delay_share, self.replay_share = 0.0, 0.0, 0.002, 0.0
        self.serving_intervals: list[ServingInterval] = []
        self.crashes: list[tuple[float, str]] = []  # time of a holder's crash, and the address that it held
        # The sets of instances that form a connected majority, from the given time on.
        self.majority_history: list[tuple[float, frozenset[frozenset[str]]]] = []
        self.result = SimulationResult(seed, self.scenario, count)
        self.instances: dict[str, Instance] = {}
        for name in self.names:
            clock_rate = 1 + drift_factor * clock_drift * float(
                setup_random.choice([-1.0, 0.0, 1.0, setup_random.uniform(-1, 1)])
            )
            instance = Instance(
                name,
                clock_rate,
                float(setup_random.uniform(0, 1e6)),
                self._coordinator(name, Configuration()),
                0,
            )
            self.instances[name] = instance
        for instance in self.instances.values():
            self._start(instance)
        for fault in SCENARIOS[self.scenario](ScenarioRandom(fault_random, self.names, DURATION_S)):
            self._schedule(fault.at_s, self._inject, fault)
        self._record_majorities()

    def _coordinator(self, name: str, configuration: Configuration) -> Coordinator:
        settings = dataclasses.replace(self.settings, instance=name, lease_s=configuration.lease_s)
        if configuration.earlier_version:
            return EarlierCoordinator(settings)
        return self.injected_bug.coordinator(settings)

    # The schedule.

    def run(self) -> SimulationResult:
        """Run to the end of the simulated time and check the result."""
        while self.schedule and self.schedule[0][0] <= DURATION_S:
            self.now, _, call, args = heapq.heappop(self.schedule)
            call(*args)
        self.now = DURATION_S
        for instance in self.instances.values():
            self._shut_all(instance)
        self._check()
        return self.result

    def _schedule(self, due: float, call: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.schedule, (due, next(self.schedule_numbers), call, args))

    def _trace(self, text: str) -> None:
        if self.traced:
            self.result.trace.append(f"{self.now:9.4f} s  {text}")

    def _deliver(self, instance: Instance, start_number: int, call: Callable[..., None], *args: Any) -> None:
        """Call now, or when the instance wakes from a stall.

        Drops the call if the instance is down or has restarted since its start `start_number`.
        """
        if not instance.running or instance.starts != start_number:
            return
        if self.now < instance.stalled_until:
            instance.queue.append((call, args))
        else:
            call(*args)

    def _handle(self, instance: Instance, event: events.Event) -> None:
        """Pass an event to the instance's coordinator and carry out the resulting actions."""
        clock = instance.clock(self.now)
        for action in instance.coordinator.handle(event, clock):
            match action:
                case events.SendMessage(receiver, message):
                    self._send(instance, receiver, message)
                case events.PersistVotes(votes) if instance.configuration.state_file:
                    instance.stored_votes = votes
                case events.SetTimer(due):
                    instance.timer_number += 1
                    real_due = max(self.now, instance.real_time(due)) + 1e-7
                    self._schedule(
                        real_due,
                        self._deliver,
                        instance,
                        instance.starts,
                        self._tick,
                        instance,
                        instance.timer_number,
                    )
                case events.Announce(address, term, lease_end):
                    delay_s = float(self.network_random.uniform(0.001, 0.01))
                    args = instance, address, term, lease_end
                    self._schedule(
                        self.now + delay_s,
                        self._deliver,
                        instance,
                        instance.starts,
                        self._announce,
                        *args,
                    )
                case events.ExtendLease(address, _, lease_end):
                    self._extend(instance, address, lease_end)
                case events.Withdraw(address, term):
                    self._withdraw(instance, address, term, 0.04)
                case events.Fence(address, term):
                    self._shut(instance, address)
                    self._withdraw(instance, address, term, 0.1)
                case events.LogEvent(name, fields) if self.traced:
                    self._trace(
                        f"{instance.name}: {name} "
                        + " ".join(f"{key}={value}" for key, value in fields.items())
                    )

    def _withdraw(self, instance: Instance, address: str, term: int, max_delay_s: float) -> None:
        """Schedule the end of the announcement, within `max_delay_s` seconds."""
        due = self.now + float(self.network_random.uniform(0.001, max_delay_s))
        self._schedule(
            due,
            self._deliver,
            instance,
            instance.starts,
            self._on_announcement_removed,
            instance,
            address,
            term,
        )

    def _tick(self, instance: Instance, timer_number: int) -> None:
        if timer_number == instance.timer_number:
            self._handle(instance, events.Tick())

    # The network.

    def _send(self, sender: Instance, receiver_name: str, message: Message) -> None:
        sender.sequence_number += 1
        if (
            (sender.name, receiver_name) in self.blocked_links
            or not sender.has_key
            or not self.instances[receiver_name].has_key
        ):
            return
        if self.loss_share and self.network_random.random() < self.loss_share:
            return
        delay_s = float(self.network_random.uniform(0.0002, 0.002))
        if self.network_random.random() < self.delay_share:
            delay_s += float(self.network_random.uniform(0.0, 0.4))
        datagram = sender.name, sender.boot, sender.sequence_number, message
        receiver = self.instances[receiver_name]
        self._schedule(self.now + delay_s, self._arrive, receiver, datagram)
        if self.duplication_share and self.network_random.random() < self.duplication_share:
            self._schedule(
                self.now + delay_s + float(self.network_random.uniform(0, 0.1)),
                self._arrive,
                receiver,
                datagram,
            )
        if self.replay_share and self.network_random.random() < self.replay_share:
            self._schedule(
                self.now + delay_s + float(self.network_random.uniform(0.5, 5)),
                self._arrive,
                receiver,
                datagram,
            )

    def _arrive(self, receiver: Instance, datagram: tuple[str, int, int, Message]) -> None:
        if (datagram[0], receiver.name) not in self.blocked_links:
            self._deliver(receiver, receiver.starts, self._read, receiver, datagram)

    def _read(self, receiver: Instance, datagram: tuple[str, int, int, Message]) -> None:
        sender, boot, sequence_number, message = datagram
        if receiver.windows.setdefault(sender, ReplayWindow()).accept(boot, sequence_number):
            self._handle(receiver, events.MessageReceived(sender, boot, message))

    # Gates: what a client could see.

    def _announce(self, instance: Instance, address: str, term: int, lease_end: float) -> None:
        lease = instance.coordinator.leases[address]
        if lease.term != term:
            return
        if not instance.can_announce:
            self._handle(instance, events.AnnounceCompleted(address, term, False, "cannot bind"))
            return
        gate = SimulatedGate(term, max(lease_end, lease.expires_at), self.now)
        gate.answering = self._lease_valid(instance, gate)
        instance.gates[address] = gate
        self._trace(f"{instance.name}: serves {address} in term {term}")
        self.result.moves += 1
        self._handle(instance, events.AnnounceCompleted(address, term, True))

    def _lease_valid(self, instance: Instance, gate: SimulatedGate) -> bool:
        """Return whether the lease check before an answer passes."""
        return self.injected_bug.lease_valid(instance.clock(self.now), gate.valid_until)

    def _extend(self, instance: Instance, address: str, lease_end: float) -> None:
        gate = instance.gates.get(address)
        if gate is None:
            return
        if gate.answering and instance.real_time(gate.valid_until) < self.now:
            self._stop_answering(instance, address, gate)
        gate.valid_until = max(lease_end, gate.valid_until)
        if not gate.answering and self._lease_valid(instance, gate):
            gate.opened_at, gate.answering = self.now, True

    def _stop_answering(self, instance: Instance, address: str, gate: SimulatedGate) -> None:
        """Record the interval in which the gate has answered until now, or until its lease expired."""
        if gate.answering:
            end = min(self.now, self.injected_bug.answers_until(instance.real_time(gate.valid_until)))
            if end > gate.opened_at:
                self.serving_intervals.append(
                    ServingInterval(address, instance.name, gate.term, gate.opened_at, end)
                )
            gate.answering = False

    def _shut(self, instance: Instance, address: str) -> None:
        if gate := instance.gates.pop(address, None):
            self._stop_answering(instance, address, gate)

    def _shut_all(self, instance: Instance) -> None:
        for address in list(instance.gates):
            self._shut(instance, address)

    def _on_announcement_removed(self, instance: Instance, address: str, term: int) -> None:
        if (gate := instance.gates.get(address)) and gate.term == term:
            self._shut(instance, address)
        self._handle(instance, events.Withdrawn(address, term))

    # Faults. An argument `holder` is replaced by the instance that holds the first address at that time, and
    # `voter` by one that the holder can reach.

    def _inject(self, fault: Fault) -> None:
        roles = {"holder": self._holder, "voter": self._voter}
        args = tuple(roles[arg]() if isinstance(arg, str) and arg in roles else arg for arg in fault.args)
        if None in args:
            return
        self._trace(f"--- {fault.kind} {' '.join(str(arg) for arg in args)}")
        getattr(self, f"fault_{fault.kind}")(*args)
        self._record_majorities()

    def _holder(self) -> str | None:
        address = self.addresses[0].name
        return next(
            (
                instance.name
                for instance in self.instances.values()
                if instance.running and address in instance.gates
            ),
            None,
        )

    def _voter(self) -> str | None:
        holder = self._holder()
        return next(
            (
                instance.name
                for instance in self.instances.values()
                if holder is not None
                and instance.running
                and instance.name != holder
                and (holder, instance.name) not in self.blocked_links
            ),
            None,
        )

    def fault_kill(self, name: str) -> None:
        """Crash an instance; its state is lost."""
        instance = self.instances[name]
        if instance.running:
            self.crashes += [(self.now, address) for address in instance.gates]
            self._shut_all(instance)
            instance.running = False
            instance.queue.clear()

    def fault_start_dead(self) -> None:
        """Start all instances that are down, and restart those that are resigning."""
        for instance in self.instances.values():
            if instance.resigning and instance.running:
                self.fault_kill(instance.name)
            if not instance.running:
                self._start(instance)

    def _start(self, instance: Instance) -> None:
        instance.running, instance.resigning, instance.stalled_until = True, False, float("-inf")
        instance.starts += 1
        instance.sequence_number, instance.windows, instance.gates = 0, {}, {}
        instance.coordinator = self._coordinator(instance.name, instance.configuration)
        instance.boot = int((self.now + 1) * 1e6) + instance.starts
        self._handle(instance, self.injected_bug.started(instance.boot, instance.stored_votes))
        self._handle(instance, events.ReadinessChanged(True))

    def fault_stall(self, name: str, seconds: float) -> None:
        """Stop an instance for some time, as SIGSTOP does; the instance can't detect that."""
        instance = self.instances[name]
        if not instance.running or self.now < instance.stalled_until:
            return
        for address, gate in instance.gates.items():
            self._stop_answering(instance, address, gate)
        instance.stalled_until = self.now + seconds
        self._schedule(instance.stalled_until, self._wake, instance, instance.starts)

    def _wake(self, instance: Instance, start_number: int) -> None:
        if not instance.running or instance.starts != start_number:
            return
        instance.stalled_until = float("-inf")
        self._trace(f"{instance.name}: wakes")
        for gate in instance.gates.values():
            gate.answering, gate.opened_at = self._lease_valid(instance, gate), self.now
        self._schedule(self.now + WAKE_TO_READ_S, self._process_queue, instance, start_number)
        self._record_majorities()

    def _process_queue(self, instance: Instance, start_number: int) -> None:
        while instance.queue and instance.running and instance.starts == start_number:
            call, args = instance.queue.popleft()
            call(*args)

    def fault_block(self, sender: str, receiver: str) -> None:
        """Block the link from one instance to another, in this direction only."""
        self.blocked_links.add((sender, receiver))

    def fault_isolate(self, name: str) -> None:
        """Block all links to and from an instance."""
        for other in self.names:
            self.blocked_links |= {(name, other), (other, name)}

    def fault_split(self, *parts: tuple[str, ...]) -> None:
        """Partition the group."""
        for one, other in itertools.permutations(parts, 2):
            self.blocked_links |= set(itertools.product(one, other))

    def fault_heal(self) -> None:
        """Unblock all links."""
        self.blocked_links.clear()

    def fault_isolate_from_minority(self, part: float) -> None:
        """Block the links between the holder and a minority of the instances."""
        holder = self._holder()
        if holder is None:
            return
        others = [name for name in self.names if name != holder]
        for other in others[: len(self.names) // 2]:
            self.blocked_links |= {(holder, other), (other, holder)}

    def fault_restart_voters(self, down_s: float) -> None:
        """Restart the instances that the holder can reach, and block their links to and from the holder."""
        holder = self._holder()
        if holder is None:
            return
        for other in self.names:
            if other != holder and (holder, other) not in self.blocked_links:
                self.fault_kill(other)
                self.blocked_links |= {(holder, other), (other, holder)}
        self._schedule(self.now + down_s, self._inject, Fault(self.now + down_s, "start_dead"))

    def fault_link_quality(
        self, loss_share: float, duplication_share: float, delay_share: float, replay_share: float
    ) -> None:
        """Set the shares of datagrams that the links lose, duplicate, delay and replay."""
        self.loss_share, self.duplication_share, self.delay_share, self.replay_share = (
            loss_share,
            duplication_share,
            delay_share,
            replay_share,
        )

    def fault_announcer(self, name: str, works: bool) -> None:
        """Set whether an instance can announce addresses."""
        self.instances[name].can_announce = works

    def fault_key(self, name: str, valid: bool) -> None:
        """Set whether an instance has the group's key."""
        self.instances[name].has_key = valid

    def fault_resign(self, name: str) -> None:
        """Make an instance hand over its addresses before it stops."""
        instance = self.instances[name]
        if instance.running and self.now >= instance.stalled_until:
            instance.resigning = True
            self._handle(instance, events.Resign())

    def fault_set_up(self, lease_s: float, earlier_version: bool, state_file: bool) -> None:
        """Start all instances anew with this configuration, before any has given a vote."""
        for instance in self.instances.values():
            self.fault_kill(instance.name)
            instance.configuration = Configuration(lease_s, earlier_version, state_file)
            self._start(instance)

    def fault_restart(
        self, name: str, wind_down_s: float, down_s: float, lease_s: float, earlier_version: bool
    ) -> None:
        """Restart an instance in good order with another lease or version, as on SIGTERM.

        It hands over its addresses, and ends `wind_down_s` later or when its votes have run out.
        """
        instance = self.instances[name]
        if not instance.running or instance.resigning:
            return
        self.fault_resign(name)
        configuration = dataclasses.replace(
            instance.configuration, lease_s=lease_s, earlier_version=earlier_version
        )
        self._schedule(self.now + wind_down_s, self._end, instance, instance.starts, down_s, configuration)

    def _end(
        self, instance: Instance, start_number: int, down_s: float, configuration: Configuration
    ) -> None:
        if not instance.running or instance.starts != start_number:
            return
        if not instance.configuration.earlier_version:
            self._handle(instance, events.VotingStopped())
            if instance.coordinator.voter.bound_for(instance.clock(self.now)):
                due = self.now + END_CHECK_INTERVAL_S
                self._schedule(due, self._end, instance, start_number, down_s, configuration)
                return
        self.fault_crash_restart(instance.name, down_s, configuration.lease_s, configuration.earlier_version)

    def fault_crash_restart(self, name: str, down_s: float, lease_s: float, earlier_version: bool) -> None:
        """Crash an instance and start it again with another lease or version."""
        instance = self.instances[name]
        self.fault_kill(name)
        instance.configuration = dataclasses.replace(
            instance.configuration, lease_s=lease_s, earlier_version=earlier_version
        )
        self._record_majorities()
        self._schedule(self.now + down_s, self._start_if_down, instance)

    def _start_if_down(self, instance: Instance) -> None:
        if not instance.running:
            self._start(instance)
            self._record_majorities()

    # The checker.

    def _record_majorities(self) -> None:
        """Record which sets of healthy instances are a fully connected majority from now on."""
        healthy = [
            instance.name
            for instance in self.instances.values()
            if instance.running
            and instance.has_key
            and instance.can_announce
            and not instance.resigning
            and self.now >= instance.stalled_until
        ]
        connected = {
            name: frozenset(
                other
                for other in healthy
                if (name, other) not in self.blocked_links and (other, name) not in self.blocked_links
            )
            for name in healthy
        }
        majority = self.settings.majority
        candidates = (frozenset(names) for names in itertools.combinations(healthy, majority))
        majorities = frozenset(
            names for names in candidates if all(names <= connected[name] for name in names)
        )
        if not self.majority_history or self.majority_history[-1][1] != majorities:
            self.majority_history.append((self.now, majorities))

    def _check(self) -> None:
        for address in self.addresses:
            intervals = sorted(
                (interval for interval in self.serving_intervals if interval.address == address.name),
                key=lambda interval: interval.start,
            )
            self._check_overlap(intervals)
            self._check_recovery(address.name, intervals)

    def _check_overlap(self, intervals: list[ServingInterval]) -> None:
        for index, one in enumerate(intervals):
            for other in intervals[index + 1 :]:
                if other.start >= one.end:
                    break
                if other.instance == one.instance:
                    continue
                overlap_ms = (min(one.end, other.end) - other.start) * 1000
                self.result.overlap_ms = max(self.result.overlap_ms, overlap_ms)
                if overlap_ms > MAX_OVERLAP_MS + 1e-6:
                    self.result.violations.append(
                        f"{one.address}: {one.instance} (term {one.term}) and {other.instance} "
                        f"(term {other.term}) both answer for {overlap_ms:.2f} ms from {other.start:.4f} s on"
                    )

    def _check_recovery(self, address: str, intervals: list[ServingInterval]) -> None:
        gaps, end = [], 0.0
        for interval in intervals:
            if interval.start > end:
                gaps.append((end, interval.start))
            end = max(end, interval.end)
        gaps.append((end, DURATION_S))
        for start, stop in gaps:
            if stop - start > MAX_RECOVERY_S and (since := self._connected_since(start, stop)) is not None:
                self.result.violations.append(
                    f"{address}: nobody answers from {start:.3f} to {stop:.3f} s, though one majority is "
                    f"connected from {since:.3f} s on"
                )
        for crashed_at, crashed_address in self.crashes:
            gap = next(
                (
                    (gap_start, gap_end)
                    for gap_start, gap_end in gaps
                    if gap_start <= crashed_at + 1e-9 and crashed_at < gap_end
                ),
                None,
            )
            if (
                crashed_address == address
                and gap is not None
                and gap[1] < DURATION_S
                and self._majority_throughout(crashed_at, gap[1])
            ):
                self.result.recovery_times_s.append(gap[1] - crashed_at)

    def _connected_since(self, start: float, stop: float) -> float | None:
        """Return since when a majority has been connected for more than MAX_RECOVERY_S within a gap.

        The majority must consist of the same instances all the time. Returns None if there is none.
        """
        connected_since: dict[frozenset[str], float] = {}
        changes = [(max(start, changed_at), majorities) for changed_at, majorities in self.majority_history]
        for index, (changed_at, majorities) in enumerate(changes):
            until = min(changes[index + 1][0] if index + 1 < len(changes) else stop, stop)
            connected_since = {
                majority: min(connected_since.get(majority, changed_at), changed_at)
                for majority in majorities
            }
            for since in connected_since.values():
                if until - since > MAX_RECOVERY_S:
                    return since
        return None

    def _majority_throughout(self, start: float, stop: float) -> bool:
        """Return whether some majority was connected at every time between `start` and `stop`."""
        majorities = [names for changed_at, names in self.majority_history if changed_at <= start][-1:] + [
            names for changed_at, names in self.majority_history if start < changed_at < stop
        ]
        return all(majorities)


def simulate(seed: int, injected_bug: InjectedBug | None = None, traced: bool = False) -> SimulationResult:
    """Run the simulation of one seed."""
    return Simulation(seed, injected_bug=injected_bug, traced=traced).run()
