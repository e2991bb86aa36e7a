"""Settings, events and actions of the balancer: plain frozen data, no logic.

All times are seconds as floats on the caller's clock, which never goes backwards. The caller carries out
actions in the order given and at the time of the event that they answer.
"""

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar


class Effect(Enum):
    """What a second run of a request would do."""

    SAFE = "safe"  # nothing: repeat at will
    KEYED = "keyed"  # dropped by the workers of one group, for a while
    UNSAFE = "unsafe"  # it takes effect twice


class Group(Enum):
    """Which workers drop repeats of a keyed request among themselves."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Verdict(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the worker answered with an error; it may have run
    UNUSABLE = "unusable"  # the worker says that nobody can use this request; others would say the same
    FULL = "full"  # turned away unseen; it never ran
    TIMEOUT = "timeout"  # no answer in time; it may have run or be running
    CONNECT_FAILED = "connect_failed"  # it never ran
    RESET = "reset"  # the connection broke; it may have run
    CANCELLED = "cancelled"  # called off; it may have run
    NOT_SENT = "moot"  # never sent at all


class Health(Enum):
    """A worker's state in the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a list event carries."""

    UPDATE = "update"  # only the changed entries
    REPLACE = "replace"  # the whole list; whoever is missing is gone
    RESTORED = "restored"  # the whole list as last held, perhaps stale
    UNAVAILABLE = "unavailable"  # a call failed or the subscription broke; the old list holds


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    aim: float  # seconds: an answer within aim + stretch x own running time earns full worth
    deadline: float  # seconds: the client waits no longer
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth earned after the aim and before the deadline
    stretch: float = 0.0
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window: float = 0.0  # seconds for which a group drops repeats, from the first attempt that may have run


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and its share."""

    name: str
    quota: float  # requests a second, over all dispatchers, that are worth full


@dataclass(frozen=True, slots=True)
class Settings:
    """What a dispatcher is told at its start. Impossible values raise ValueError in Balancer()."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    dispatchers: int = 1  # how many there are, this one counted
    zone: int = 0
    zones: tuple[str, ...] = ()  # the names of the zones, by their index
    ask_for_list: bool = False  # the list must be asked for (Subscribe); else it comes unasked
    ask_within: float = 10.0  # seconds without asking or watching after which what is listed counts as told
    drain_grace: float = 2.0  # seconds after the news of a drain in which sends may still go there
    tells_start: bool = False  # workers tell when a job starts
    progress_every: float = 0.0  # seconds between progress notes; 0: none
    idle_close: float = 60.0  # seconds after which the caller closes an unused connection
    connect_timeout: float = 0.25  # seconds after which the caller gives up opening a connection
    advise: bool = False  # the simulator's clients hear Refuse.after
    most_after: float = 2.0  # seconds of Refuse.after that clients heed at most
    max_attempts: int = 4  # for one request
    may_cancel: bool = True
    may_copy: bool = True  # two attempts of one request may be out together
    handshake_fee: float = 0.0  # price of a new connection, as a share of the mean worth of a request
    crossing_fee: float = 0.0  # price of an attempt to another zone, in the same way
    over_share_worth: float = 1.0  # worth of a request beyond its tenant's quota, as a share
    free_slots: str = ""  # the field of load reports that says how many slots are free, if there are reports
    worth_by_work: bool = False  # worth is counted for each unit of work, and not for each request
    cold_from: float = 1.0  # a started worker's first capacity, as a share of the full one
    warm_after: float = 0.0  # seconds until it is warm at the latest


@dataclass(frozen=True, slots=True)
class Entry:
    """One worker in the list."""

    worker: str
    health: Health = Health.READY
    zone: int = 0
    cell: int = 0
    since: float | None = None  # clock time of its last start; None: long ago
    kind: str = ""  # of machine


@dataclass(frozen=True, slots=True)
class Began:
    """The instance may act now. The first event of a life."""


@dataclass(frozen=True, slots=True)
class WorkerList:
    """News of the list of workers."""

    kind: ListKind
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request. The caller never uses an id twice."""

    request: str
    cls: int  # index into Settings.classes
    patience: float  # seconds until the client gives this try up
    tenant: int = 0  # index into Settings.tenants; any other: nobody's, where there are tenants
    slots: float = 1.0
    most: int | None = None  # attempts, if fewer than Settings.max_attempts


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The request is over; nothing is owed any more."""

    request: str


@dataclass(frozen=True, slots=True)
class Started:
    """A worker has begun an attempt."""

    request: str
    attempt: int
    share: ClassVar[float] = 0.0  # nothing of it is done


@dataclass(frozen=True, slots=True)
class Progress:
    """A worker is still at an attempt."""

    request: str
    attempt: int
    share: float = 0.0  # of the job that is done; 0: not told


@dataclass(frozen=True, slots=True)
class StreamBegan:
    """The answer has begun; the attempt is the client's now and no deadline runs."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """The one end of an attempt."""

    request: str
    attempt: int
    verdict: Verdict
    over: bool = False  # the request has had its final answer
    free: float | None = None  # free slots at the worker, where a load report that came with it says so


@dataclass(frozen=True, slots=True)
class Hurry:
    """A request's client gets no answer after so many seconds, though it said that it would wait longer."""

    request: str
    within: float


@dataclass(frozen=True, slots=True)
class Stopping:
    """The instance ends in so many seconds, and no client gets an answer after that."""

    within: float


@dataclass(frozen=True, slots=True)
class Timer:
    """A Wake has come due."""

    name: str


Event = (
    Began
    | WorkerList
    | Arrival
    | ClientLeft
    | Started
    | Progress
    | StreamBegan
    | Outcome
    | Timer
    | Stopping
    | Hurry
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start the request's next attempt (they count 0, 1, 2 ... in order of Send)."""

    request: str
    worker: str
    timeout: float = 0.0  # seconds; 0: until the client gives up


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt; its Outcome still comes."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Close:
    """Close the unused connections to a worker; later sends open new ones."""

    worker: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not done, and trying again does no harm."""

    request: str
    after: float = 0.0  # seconds until another try is thought to find room; 0: no advice


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    request: str


@dataclass(frozen=True, slots=True)
class Wake:
    """Bring a Timer of this name after so many seconds, not before the next event."""

    name: str
    after: float


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the list and its changes from now on; one WorkerList answers."""


Action = Send | Cancel | Close | Refuse | Fail | Wake | Subscribe
