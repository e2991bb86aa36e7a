"""Events that a `WorkerSubset` consumes and actions that it returns, as frozen data. Times are in seconds."""

from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from wickgw import interface as i


class FleetWorker(Protocol):
    """One worker of the whole list.

    Equality decides whether a worker has changed: a worker that equals its last version is not sent again.
    """

    @property
    def entry(self) -> i.Entry:
        """The worker's list entry, as the decision module receives it."""

    @property
    def zone(self) -> str:
        """The name of the worker's zone; empty if discovery names none."""


WorkerT = TypeVar("WorkerT", bound=FleetWorker)


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """A worker without an address, for fleets without sockets."""

    entry: i.Entry
    zone: str = ""


@dataclass(frozen=True, slots=True)
class FleetListed(Generic[WorkerT]):
    """A new list of all workers, or an update to it.

    `kind` says whether `workers` replaces the list or updates it.
    """

    kind: i.ListKind
    workers: tuple[WorkerT, ...] = ()


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt at a worker of the subset has ended."""

    worker: str
    served: bool


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer set by the last `SetTimer` has expired."""


@dataclass(frozen=True, slots=True)
class UpdateSubset(Generic[WorkerT]):
    """Changes to the workers that the decision module, its connections and its learning use."""

    workers: tuple[WorkerT, ...] = ()  # added and changed workers
    removed: tuple[str, ...] = ()  # names of workers that left the subset


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver `TimerFired` after `delay_s` seconds. Replaces the timer set before."""

    delay_s: float


SubsetEvent = FleetListed[WorkerT] | AttemptEnded | TimerFired
SubsetAction = UpdateSubset[WorkerT] | SetTimer
