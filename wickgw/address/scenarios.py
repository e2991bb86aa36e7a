"""Simulation scenarios: for each, a list of timed faults drawn from a seed.

A fault is a time and the name of a `fault_...` method of `simulation.Simulation` with its arguments. An
argument `holder` stands for the instance that holds the first address when the fault is due, `voter` for one
that can reach it. Scenarios know nothing of how the coordinator reacts.
"""

from collections.abc import Callable
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault, or the repair of one."""

    at_s: float  # simulated time
    kind: str  # the name of a method of Simulation, without its prefix `fault_`
    args: tuple[object, ...] = ()


@dataclass(frozen=True, slots=True)
class ScenarioRandom:
    """The random choices that a scenario makes."""

    rng: np.random.Generator
    instances: tuple[str, ...]
    end_s: float  # end of the simulation

    def uniform(self, low: float, high: float) -> float:
        """Return a time or a duration in this range."""
        return float(self.rng.uniform(low, high))

    def instance(self) -> str:
        """Return the name of an instance."""
        return self.instances[int(self.rng.integers(len(self.instances)))]

    def shuffled_instances(self) -> list[str]:
        """Return the names of all instances in random order."""
        return [self.instances[int(index)] for index in self.rng.permutation(len(self.instances))]


def kill(random: ScenarioRandom) -> list[Fault]:
    """The holder crashes, and later restarts without its state."""
    at_s, faults = 3.0, []
    while at_s < random.end_s - 4:
        down_s = random.uniform(0.02, 4.0)
        faults += [Fault(at_s, "kill", ("holder",)), Fault(at_s + down_s, "start_dead")]
        at_s += down_s + random.uniform(3.0, 5.0)
    return faults


def _stalls(random: ScenarioRandom, duration: Callable[[], float]) -> list[Fault]:
    at_s, faults = 3.0, []
    while at_s < random.end_s - 4:
        lasts_s = duration()
        faults.append(Fault(at_s, "stall", ("holder", lasts_s)))
        if random.rng.random() < 0.5:  # isolated before it wakes: no message can show that it was replaced
            faults += [
                Fault(at_s + lasts_s * 0.9, "isolate", ("holder",)),
                Fault(at_s + lasts_s + 1.5, "heal"),
            ]
        at_s += lasts_s + random.uniform(1.6, 4.0)
    return faults


def stall_short(random: ScenarioRandom) -> list[Fault]:
    """The holder stalls for 80 ms, or for about the rest of its lease."""
    return _stalls(random, lambda: 0.08 if random.rng.random() < 0.5 else random.uniform(0.2, 1.2))


def stall_long(random: ScenarioRandom) -> list[Fault]:
    """The holder stalls for 3 s; another instance replaces it meanwhile."""
    return _stalls(random, lambda: 3.0)


def split(random: ScenarioRandom) -> list[Fault]:
    """The group is partitioned into two parts, and the partition heals."""
    at_s, faults = 3.0, []
    while at_s < random.end_s - 4:
        order, lasts_s = random.shuffled_instances(), random.uniform(0.3, 4.0)
        size = int(random.rng.integers(1, len(order)))
        faults += [
            Fault(at_s, "split", (tuple(order[:size]), tuple(order[size:]))),
            Fault(at_s + lasts_s, "heal"),
        ]
        at_s += lasts_s + random.uniform(0.5, 3.0)
    return faults


def three_way(random: ScenarioRandom) -> list[Fault]:
    """A partition into three parts. With three instances, no part has a majority."""
    order, at_s = random.shuffled_instances(), random.uniform(3.0, 4.0)
    third = max(1, len(order) // 3)
    parts = tuple(order[:third]), tuple(order[third : 2 * third]), tuple(order[2 * third :])
    return [Fault(at_s, "split", parts), Fault(at_s + random.uniform(1.0, 4.0), "heal")]


def one_way(random: ScenarioRandom) -> list[Fault]:
    """Links that carry datagrams in one direction only."""
    at_s, faults = 3.0, []
    while at_s < random.end_s - 5:
        for _ in range(int(random.rng.integers(1, len(random.instances) + 1))):
            sender, receiver = random.shuffled_instances()[:2]
            faults.append(Fault(at_s, "block", ("holder" if random.rng.random() < 0.4 else sender, receiver)))
        lasts_s = random.uniform(1.0, 5.0)
        faults.append(Fault(at_s + lasts_s, "heal"))
        at_s += lasts_s + random.uniform(0.5, 2.0)
    return faults


def voter_restarts(random: ScenarioRandom) -> list[Fault]:
    """Voters restart and could vote twice, while a part of the group does not hear the holder."""
    at_s, faults = 3.0, []
    while at_s < random.end_s - 5:
        faults.append(Fault(at_s, "isolate_from_minority", (float(random.rng.random()),)))
        restart_s = at_s + random.uniform(1.1, 2.5)
        faults += [
            Fault(restart_s, "restart_voters", (random.uniform(0.01, 0.15),)),
            Fault(restart_s + 3, "heal"),
        ]
        at_s = restart_s + 3 + random.uniform(1.0, 2.0)
    return faults


def drift(random: ScenarioRandom) -> list[Fault]:
    """Clocks drift by up to the allowed bound, and the holder is isolated."""
    at_s, faults = 3.0, []
    while at_s < random.end_s - 3:
        faults += [Fault(at_s, "isolate", ("holder",)), Fault(at_s + 2.0, "heal")]
        at_s += random.uniform(2.5, 3.5)
    return faults


def lossy(random: ScenarioRandom) -> list[Fault]:
    """Datagrams are lost, duplicated, delayed and reordered, and the holder crashes."""
    faults = [Fault(0.0, "link_quality", (random.uniform(0.02, 0.1), 0.1, random.uniform(0.02, 0.15), 0.05))]
    return faults + kill(random)


def flapping(random: ScenarioRandom) -> list[Fault]:
    """A link that fails and recovers repeatedly."""
    at_s, faults = 3.0, []
    one, other = random.shuffled_instances()[:2]
    while at_s < random.end_s - 3:
        faults += [Fault(at_s, "block", (one, other)), Fault(at_s, "block", (other, one))]
        at_s += random.uniform(0.05, 1.5)
        faults.append(Fault(at_s, "heal"))
        at_s += random.uniform(0.05, 1.0)
    return faults


def cannot_bind(random: ScenarioRandom) -> list[Fault]:
    """One instance, which may be the next in rank, can't announce the address."""
    name = random.instance()
    return [
        Fault(0.0, "announcer", (name, False)),
        Fault(random.uniform(4, 6), "kill", ("holder",)),
        Fault(random.uniform(7, 8), "start_dead"),
        Fault(random.uniform(8, 9), "announcer", (name, True)),
    ]


def shrinks(random: ScenarioRandom) -> list[Fault]:
    """Instances crash one after the other until none may serve; then all restart."""
    order, at_s, faults = random.shuffled_instances(), 3.0, []
    for name in order[: len(order) // 2 + 1]:
        faults.append(Fault(at_s, "kill", (name,)))
        at_s += random.uniform(0.1, 1.5)
    return [*faults, Fault(at_s + random.uniform(0.5, 2.0), "start_dead")]


def cold_start(random: ScenarioRandom) -> list[Fault]:
    """All instances crash at once and restart at once."""
    at_s = random.uniform(3.0, 4.0)
    faults = [Fault(at_s, "kill", (name,)) for name in random.instances]
    return [*faults, Fault(at_s + random.uniform(0.0, 1.0), "start_dead")]


def wrong_key(random: ScenarioRandom) -> list[Fault]:
    """An instance with a wrong key exchanges no messages."""
    name = random.instance()
    return [
        Fault(0.0, "key", (name, False)),
        Fault(6.0, "kill", ("holder",)),
        Fault(9.0, "key", (name, True)),
    ]


def planned(random: ScenarioRandom) -> list[Fault]:
    """Instances stop in order and restart, and addresses move back to the preferred instances."""
    at_s, faults = 3.0, []
    while at_s < random.end_s - 4:
        faults += [
            Fault(at_s, "resign", ("holder",)),
            Fault(at_s + random.uniform(0.3, 1.5), "start_dead"),
        ]
        at_s += random.uniform(1.5, 4.0)
    return faults


# Whether all instances are of an earlier version before a change, and after it. Going back is the hardest.
VERSION_CHANGES = ((False, False), (True, False), (False, True), (False, True))


def settings_change(random: ScenarioRandom) -> list[Fault]:
    """An operator restarts one instance after the other with another lease, another version, or both.

    Some instances crash instead of ending in good order, but not where the pages forbid it: when an instance
    with another lease is replaced by an earlier version. Some restarts come while a part of the group does
    not hear the holder, which then depends on the vote of the one that restarts.
    """
    leases_s = (0.3, 1.0, 1.5)
    before_s, after_s = (float(random.rng.choice(leases_s)) for _ in range(2))
    was_earlier, becomes_earlier = VERSION_CHANGES[int(random.rng.integers(4))]
    may_crash = not becomes_earlier or before_s == after_s
    state_file = bool(random.rng.integers(2))
    faults, at_s = [Fault(0.0, "set_up", (before_s, was_earlier, state_file))], 3.0
    for name in random.shuffled_instances():
        if at_s > random.end_s - 4:
            break
        if random.rng.random() < 0.6:
            part = (float(random.rng.random()),)
            faults += [Fault(at_s - 1.8, "isolate_from_minority", part), Fault(at_s + 2.5, "heal")]
            name = "voter"
        down_s = random.uniform(0.02, 1.0) if random.rng.random() < 0.5 else 0.02
        if may_crash and random.rng.random() < 0.4:
            faults.append(Fault(at_s, "crash_restart", (name, down_s, after_s, becomes_earlier)))
        else:
            wind_down_s = random.uniform(0.1, 1.8)
            faults.append(Fault(at_s, "restart", (name, wind_down_s, down_s, after_s, becomes_earlier)))
        at_s += random.uniform(2.6, 4.5)
    return faults


def storm(random: ScenarioRandom) -> list[Fault]:
    """Three other scenarios at the same time."""
    # A change of settings starts all instances anew; that can't be done under other faults.
    scenarios = [choice for choice in SCENARIOS.values() if choice not in (storm, settings_change)]
    picked = [scenarios[int(choice)] for choice in random.rng.permutation(len(scenarios))[:3]]
    return [fault for scenario in picked for fault in scenario(random)]


SCENARIOS: dict[str, Callable[[ScenarioRandom], list[Fault]]] = {
    "kill": kill,
    "stall 80 ms": stall_short,
    "stall 3 s": stall_long,
    "split": split,
    "three-way split": three_way,
    "one-way": one_way,
    "voter restarts": voter_restarts,
    "drift": drift,
    "lossy": lossy,
    "flapping link": flapping,
    "cannot bind": cannot_bind,
    "shrinks": shrinks,
    "cold start": cold_start,
    "wrong key": wrong_key,
    "planned": planned,
    "settings change": settings_change,
    "storm": storm,
}
