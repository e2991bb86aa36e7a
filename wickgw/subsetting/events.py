"""What goes into the core of subsetting and what comes out: plain frozen data. Times are seconds."""

from dataclasses import dataclass

from wickgw import interface as i


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """One worker of the whole list, with its zone by name; empty where discovery names none."""

    entry: i.Entry
    zone: str = ""


@dataclass(frozen=True, slots=True)
class FleetListed:
    """News of the whole list of workers."""

    kind: i.ListKind
    workers: tuple[ListedWorker, ...] = ()


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt at a worker of the subset has ended."""

    worker: str
    served: bool


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of the last `SetTimer` has come."""


SubsetEvent = FleetListed | AttemptEnded | TimerFired


@dataclass(frozen=True, slots=True)
class ShowWorkers:
    """The decision module, its connections and its learning get to see this."""

    kind: i.ListKind
    entries: tuple[i.Entry, ...]


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Bring `TimerFired` after so many seconds; it replaces the timer set before."""

    after: float


SubsetAction = ShowWorkers | SetTimer
