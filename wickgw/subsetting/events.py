"""What goes into the core of subsetting and what comes out: plain frozen data. Times are seconds."""

from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from wickgw import interface as i


class FleetWorker(Protocol):
    """One worker of the whole list, as the core needs it; two that are equal need not be shown anew."""

    @property
    def entry(self) -> i.Entry:
        """What the decision module gets to know of it."""

    @property
    def zone(self) -> str:
        """Its zone by name; empty where discovery names none."""


WorkerT = TypeVar("WorkerT", bound=FleetWorker)


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """A worker without an address, for fleets without sockets."""

    entry: i.Entry
    zone: str = ""


@dataclass(frozen=True, slots=True)
class FleetListed(Generic[WorkerT]):
    """News of the whole list of workers."""

    kind: i.ListKind
    workers: tuple[WorkerT, ...] = ()


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt at a worker of the subset has ended."""

    worker: str
    served: bool


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of the last `SetTimer` has come."""


@dataclass(frozen=True, slots=True)
class ShowWorkers(Generic[WorkerT]):
    """Changes to what the decision module, its connections and its learning get to see."""

    workers: tuple[WorkerT, ...] = ()  # new ones, and those of which there is news
    gone: tuple[str, ...] = ()  # by name


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Bring `TimerFired` after so many seconds; it replaces the timer set before."""

    after: float


SubsetEvent = FleetListed[WorkerT] | AttemptEnded | TimerFired
SubsetAction = ShowWorkers[WorkerT] | SetTimer
