"""Settings, events and actions of the balancer: plain frozen data without logic.

The caller feeds events to `Balancer.handle` and carries out the actions that it returns, in the given order
and at the time of the event. All times are seconds as floats on the caller's clock, which never goes
backwards.
"""

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar


class Idempotency(Enum):
    """What a second run of a request does."""

    SAFE = "safe"  # a second run has no effect: the request may be retried at any time
    KEYED = "keyed"  # workers of one deduplication scope drop repeats of its key for a limited time
    UNSAFE = "unsafe"  # the request takes effect twice


class DedupScope(Enum):
    """Which workers drop repeats of a keyed request among themselves."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Verdict(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the worker answered with an error; the job may have run
    UNUSABLE = "unusable"  # the worker rejects the request itself; other workers would reject it too
    FULL = "full"  # the worker declined the job without reading it; the job never ran
    TIMEOUT = "timeout"  # no answer in time; the job may have run or may still be running
    CONNECT_FAILED = "connect_failed"  # no connection to the worker; the job never ran
    RESET = "reset"  # the connection broke; the job may have run
    CANCELLED = "cancelled"  # the attempt was cancelled; the job may have run
    NOT_SENT = "moot"  # the attempt was never sent


class Health(Enum):
    """A worker's state in the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a WorkerList event carries."""

    UPDATE = "update"  # only the changed entries
    REPLACE = "replace"  # the whole list; workers that are not in it are gone
    RESTORED = "restored"  # the whole list as it was last known, which may be stale
    UNAVAILABLE = "unavailable"  # a call failed or the subscription broke; the previous list stays in force


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Service level and idempotency of one class of requests.

    An answer earns the full worth if it arrives within `latency_target + stretch * running time` of the
    request's arrival, and `worth * late_worth` after that until the client's deadline.
    """

    name: str
    latency_target: float  # seconds
    deadline: float  # seconds that a client waits at most
    worth: float = 1.0
    late_worth: float = 0.0  # fraction of the worth that a late answer earns
    stretch: float = 0.0  # multiple of the job's own running time that the target allows in addition
    idempotency: Idempotency = Idempotency.SAFE
    dedup_scope: DedupScope = DedupScope.ALL
    # Seconds in which repeats are dropped, from the first attempt that may have run.
    dedup_window: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and its quota."""

    name: str
    quota: float  # requests per second at full worth, summed over all dispatchers


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of one dispatcher. Balancer() raises ValueError if a value is invalid."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    dispatchers: int = 1  # dispatchers in the deployment, including this one
    zone: int = 0  # zone of this dispatcher, as an index into `zones`
    zones: tuple[str, ...] = ()  # names of the zones
    ask_for_list: bool = False  # the dispatcher must request the list (Subscribe); else it is pushed
    ask_within: float = 10.0  # seconds without a call or a watch after which a listed change counts as known
    drain_grace: float = 2.0  # seconds after the announcement of a drain in which sends are still allowed
    reports_start: bool = False  # workers report when a job starts
    progress_interval: float = 0.0  # seconds between progress reports; 0: workers send none
    idle_timeout: float = 60.0  # seconds after which the caller closes an unused connection
    connect_timeout: float = 0.25  # seconds after which the caller gives up opening a connection
    advise_retry_after: bool = False  # the simulator passes Refuse.retry_after on to its clients
    max_retry_after: float = 2.0  # longest Refuse.retry_after in seconds that clients follow
    max_attempts: int = 4  # attempts per request
    may_cancel: bool = True  # attempts may be cancelled
    may_hedge: bool = True  # two attempts of one request may be open at the same time
    handshake_fee: float = 0.0  # cost of a new connection, as a fraction of the mean worth of a request
    cross_zone_fee: float = 0.0  # cost of an attempt in another zone, in the same unit
    over_share_worth: float = 1.0  # fraction of the worth that a request beyond its tenant's quota earns
    free_slots_field: str = ""  # field of load reports with the number of free slots; empty: no reports
    worth_per_work: bool = False  # worth counts per unit of work instead of per request
    initial_capacity: float = 1.0  # capacity of a cold worker at its start, as a fraction of the full one
    warmup_time: float = 0.0  # seconds after its start at which a worker is warm at the latest


@dataclass(frozen=True, slots=True)
class Entry:
    """One worker in the list."""

    worker: str
    health: Health = Health.READY
    zone: int = 0  # index into Settings.zones
    cell: int = 0  # number of its cell
    since: float | None = None  # clock time of the last start; None: long ago
    machine_type: str = ""


@dataclass(frozen=True, slots=True)
class Began:
    """The instance starts and may act. This is the first event of an instance."""


@dataclass(frozen=True, slots=True)
class WorkerList:
    """A change of the list of workers."""

    kind: ListKind
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request. The caller never reuses a request id."""

    request: str
    class_index: int  # index into Settings.classes
    patience: float  # seconds until the client gives up
    tenant: int = 0  # index into Settings.tenants; any other value: no known tenant
    slots: float = 1.0  # slots that the job takes at a worker
    max_attempts: int | None = None  # None: Settings.max_attempts, which is also the upper bound


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client of a request has gone; the request needs no answer."""

    request: str


@dataclass(frozen=True, slots=True)
class Started:
    """A worker started the job of an attempt."""

    request: str
    attempt: int  # number of the attempt, see Send
    fraction_done: ClassVar[float] = 0.0


@dataclass(frozen=True, slots=True)
class Progress:
    """A worker reports that the job of an attempt is still running."""

    request: str
    attempt: int
    fraction_done: float = 0.0  # 0: not reported


@dataclass(frozen=True, slots=True)
class StreamBegan:
    """The response has started to reach the client; no deadline applies to the request from now on."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of an attempt. Each attempt has exactly one."""

    request: str
    attempt: int
    verdict: Verdict
    answered: bool = False  # the request has its final answer
    free: float | None = None  # free slots at the worker, if a load report came with the outcome


@dataclass(frozen=True, slots=True)
class Hurry:
    """The client of a request gets no answer after `time_left` seconds, although its patience is longer."""

    request: str
    time_left: float


@dataclass(frozen=True, slots=True)
class Stopping:
    """The instance ends after `time_left` seconds; no client gets an answer after that."""

    time_left: float


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer that was set by Wake has expired."""

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
    """Start the next attempt of a request. Attempts are numbered 0, 1, 2, ... in the order of Send."""

    request: str
    worker: str
    timeout: float = 0.0  # seconds; 0: until the client gives up


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt. Its Outcome still follows."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Close:
    """Close the unused connections to a worker, so that later sends open new ones."""

    worker: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: the request was not served, and a retry by the client does no harm."""

    request: str
    retry_after: float = 0.0  # seconds after which a retry is expected to find a free worker; 0: no advice


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed, and it may have taken effect."""

    request: str


@dataclass(frozen=True, slots=True)
class Wake:
    """Set a timer: feed Timer(name) after `delay` seconds, not before the next event."""

    name: str
    delay: float


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Request the list and its changes from now on. The answer is a WorkerList event."""


Action = Send | Cancel | Close | Refuse | Fail | Wake | Subscribe
