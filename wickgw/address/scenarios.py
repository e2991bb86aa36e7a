"""What goes wrong in a rehearsal: timed faults for each scenario, drawn from a seed.

Owns the list of scenarios. A fault is a time and the name of a method of `rehearsal.World` with its
arguments; names of instances may be given as `holder`, which the world fills in when the fault is due. It
must never know what the core does about a fault.
"""

from collections.abc import Callable
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong, or is mended."""

    at: float  # seconds
    what: str  # a method of World
    args: tuple[object, ...] = ()


@dataclass(frozen=True, slots=True)
class Draw:
    """What a scenario draws from."""

    rng: np.random.Generator
    names: tuple[str, ...]
    end: float

    def between(self, low: float, high: float) -> float:
        """A moment or a duration."""
        return float(self.rng.uniform(low, high))

    def one(self) -> str:
        """An instance."""
        return self.names[int(self.rng.integers(len(self.names)))]

    def shuffled(self) -> list[str]:
        """All instances in any order."""
        return [self.names[int(k)] for k in self.rng.permutation(len(self.names))]


def kill(d: Draw) -> list[Fault]:
    """The holder dies; later it starts again, without a memory."""
    at, faults = 3.0, []
    while at < d.end - 4:
        down = d.between(0.02, 4.0)
        faults += [Fault(at, "kill", ("holder",)), Fault(at + down, "start_dead")]
        at += down + d.between(3.0, 5.0)
    return faults


def _stalls(d: Draw, length: Callable[[], float]) -> list[Fault]:
    at, faults = 3.0, []
    while at < d.end - 4:
        lasts = length()
        faults.append(Fault(at, "stall", ("holder", lasts)))
        if d.rng.random() < 0.5:  # cut off before it wakes: nobody is left to tell it
            faults += [Fault(at + lasts * 0.9, "isolate", ("holder",)), Fault(at + lasts + 1.5, "mend")]
        at += lasts + d.between(1.6, 4.0)
    return faults


def stall_short(d: Draw) -> list[Fault]:
    """The holder stalls for 80 ms, or for about as long as its lease still runs."""
    return _stalls(d, lambda: 0.08 if d.rng.random() < 0.5 else d.between(0.2, 1.2))


def stall_long(d: Draw) -> list[Fault]:
    """The holder stalls for 3 s and wakes to find that it was replaced."""
    return _stalls(d, lambda: 3.0)


def split(d: Draw) -> list[Fault]:
    """The group falls into two halves, and comes together again."""
    at, faults = 3.0, []
    while at < d.end - 4:
        order, lasts = d.shuffled(), d.between(0.3, 4.0)
        cut = int(d.rng.integers(1, len(order)))
        faults += [Fault(at, "split", (tuple(order[:cut]), tuple(order[cut:]))), Fault(at + lasts, "mend")]
        at += lasts + d.between(0.5, 3.0)
    return faults


def three_way(d: Draw) -> list[Fault]:
    """Three parts; with three instances nobody has a majority."""
    order, at = d.shuffled(), d.between(3.0, 4.0)
    third = max(1, len(order) // 3)
    parts = tuple(order[:third]), tuple(order[third : 2 * third]), tuple(order[2 * third :])
    return [Fault(at, "split", parts), Fault(at + d.between(1.0, 4.0), "mend")]


def one_way(d: Draw) -> list[Fault]:
    """Links that carry in one direction only."""
    at, faults = 3.0, []
    while at < d.end - 5:
        for _ in range(int(d.rng.integers(1, len(d.names) + 1))):
            a, b = d.shuffled()[:2]
            faults.append(Fault(at, "cut", ("holder" if d.rng.random() < 0.4 else a, b)))
        lasts = d.between(1.0, 5.0)
        faults.append(Fault(at + lasts, "mend"))
        at += lasts + d.between(0.5, 2.0)
    return faults


def voter_restarts(d: Draw) -> list[Fault]:
    """A voter restarts and could vote twice, while a part of the group does not hear the holder."""
    at, faults = 3.0, []
    while at < d.end - 5:
        faults.append(Fault(at, "estrange", (float(d.rng.random()),)))
        later = at + d.between(1.1, 2.5)
        faults += [Fault(later, "restart_voters", (d.between(0.01, 0.15),)), Fault(later + 3, "mend")]
        at = later + 3 + d.between(1.0, 2.0)
    return faults


def drift(d: Draw) -> list[Fault]:
    """Clocks at the edges of the bound, and a holder that is cut off."""
    at, faults = 3.0, []
    while at < d.end - 3:
        faults += [Fault(at, "isolate", ("holder",)), Fault(at + 2.0, "mend")]
        at += d.between(2.5, 3.5)
    return faults


def lossy(d: Draw) -> list[Fault]:
    """Datagrams lost, doubled, late, out of order; and the holder dies."""
    faults = [Fault(0.0, "weather", (d.between(0.02, 0.1), 0.1, d.between(0.02, 0.15), 0.05))]
    return faults + kill(d)


def flapping(d: Draw) -> list[Fault]:
    """A link that comes and goes."""
    at, faults = 3.0, []
    a, b = d.shuffled()[:2]
    while at < d.end - 3:
        faults += [Fault(at, "cut", (a, b)), Fault(at, "cut", (b, a))]
        at += d.between(0.05, 1.5)
        faults.append(Fault(at, "mend"))
        at += d.between(0.05, 1.0)
    return faults


def cannot_bind(d: Draw) -> list[Fault]:
    """The address can't be announced by some instance, which would be the one to take it."""
    name = d.one()
    return [
        Fault(0.0, "announcer", (name, False)),
        Fault(d.between(4, 6), "kill", ("holder",)),
        Fault(d.between(7, 8), "start_dead"),
        Fault(d.between(8, 9), "announcer", (name, True)),
    ]


def shrinks(d: Draw) -> list[Fault]:
    """One after the other dies, until nobody may serve; then they come back."""
    order, at, faults = d.shuffled(), 3.0, []
    for name in order[: len(order) // 2 + 1]:
        faults.append(Fault(at, "kill", (name,)))
        at += d.between(0.1, 1.5)
    return [*faults, Fault(at + d.between(0.5, 2.0), "start_dead")]


def cold_start(d: Draw) -> list[Fault]:
    """All die at once, and start at once."""
    at = d.between(3.0, 4.0)
    faults = [Fault(at, "kill", (name,)) for name in d.names]
    return [*faults, Fault(at + d.between(0.0, 1.0), "start_dead")]


def wrong_key(d: Draw) -> list[Fault]:
    """An instance with a wrong key says and hears nothing."""
    name = d.one()
    return [
        Fault(0.0, "key", (name, False)),
        Fault(6.0, "kill", ("holder",)),
        Fault(9.0, "key", (name, True)),
    ]


def planned(d: Draw) -> list[Fault]:
    """Instances end in order and come back, and addresses are moved back to whom they belong."""
    at, faults = 3.0, []
    while at < d.end - 4:
        faults += [Fault(at, "resign", ("holder",)), Fault(at + d.between(0.3, 1.5), "start_dead")]
        at += d.between(1.5, 4.0)
    return faults


def storm(d: Draw) -> list[Fault]:
    """Several of these over one another."""
    kinds = [k for k in SCENARIOS.values() if k is not storm]
    picked = [kinds[int(k)] for k in d.rng.permutation(len(kinds))[:3]]
    return [fault for kind in picked for fault in kind(d)]


SCENARIOS: dict[str, Callable[[Draw], list[Fault]]] = {
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
    "storm": storm,
}
