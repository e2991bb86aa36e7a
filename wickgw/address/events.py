"""Settings, events and actions of the address coordinator: plain frozen data, no logic.

All times are seconds as floats on the caller's clock. That clock never goes backwards, keeps running while
the machine sleeps, and is at most `Settings.clock_drift` too fast or too slow. The caller passes events in
and carries out the returned actions in the given order.
"""

import math
from dataclasses import dataclass, field
from typing import Any

from wickgw.address.messages import MAX_LEASE_MS, Message


@dataclass(frozen=True, slots=True)
class ServiceAddress:
    """One service address and the instances that should hold it."""

    name: str
    preferred: tuple[str, ...] = ()  # instance names, the most preferred first


@dataclass(frozen=True, slots=True)
class Settings:
    """The group's settings, equal at all instances except for `instance`.

    While they are being changed, instances may differ in all but `members` (`votes` says why that is safe).
    """

    instance: str  # the name of this instance
    members: tuple[str, ...]  # all instances of the group, including this one
    addresses: tuple[ServiceAddress, ...]
    lease_s: float = 1.0  # duration of the votes that this instance asks for, before the allowance for drift
    clock_drift: float = 0.01  # share by which a clock may run too fast or too slow
    heartbeat_s: float = 0.1  # interval between heartbeats
    # How long a holder must have held an address, and another instance been alive, before the address moves
    # to that instance only because it ranks higher.
    hold_down_s: float = 10.0
    last_call_s: float = 0.15  # time before the end of a lease at which pending requests are hurried

    @property
    def majority(self) -> int:
        """Number of votes that grant a lease."""
        return len(self.members) // 2 + 1

    @property
    def lease_ms(self) -> int:
        """The duration of votes as it is asked for, in whole milliseconds and not shorter than `lease_s`."""
        return math.ceil(self.lease_s * 1000)


@dataclass(frozen=True, slots=True)
class StoredVote:
    """A vote as written to the state file. When read, the vote counts as binding for a whole lease."""

    address: str
    term: int
    holder: str
    over: bool  # the holder has released the vote
    lease_ms: int = MAX_LEASE_MS  # earlier versions did not write it


# Events.


@dataclass(frozen=True, slots=True)
class Started:
    """The instance has started: the first event that a coordinator handles."""

    boot: int  # Unix microseconds; terms start above it, so they keep growing when the whole group restarts
    stored_votes: tuple[StoredVote, ...] | None = None  # None: unknown, so don't vote for one lease


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """An authenticated message arrived from another instance."""

    sender: str
    boot: int  # incarnation of the sender: Unix microseconds of its start
    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """The timer of the last SetTimer has fired."""


@dataclass(frozen=True, slots=True)
class AnnounceCompleted:
    """The result of an Announce."""

    address: str
    term: int
    succeeded: bool
    error: str = ""


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """A Withdraw or Fence is complete.

    The instance takes no new requests on the address and does not announce it any more.
    """

    address: str
    term: int


@dataclass(frozen=True, slots=True)
class ReadinessChanged:
    """Whether this instance can serve jobs at all."""

    ready: bool


@dataclass(frozen=True, slots=True)
class Resign:
    """The instance is about to stop: hand over all its addresses."""


@dataclass(frozen=True, slots=True)
class VotingStopped:
    """The process is about to end: give no votes any more, so that those already given run out."""


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """New preferences and a new hold-down time after a configuration reload."""

    addresses: tuple[ServiceAddress, ...]
    hold_down_s: float


Event = (
    Started
    | MessageReceived
    | Tick
    | AnnounceCompleted
    | Withdrawn
    | ReadinessChanged
    | Resign
    | VotingStopped
    | SettingsReloaded
)

# Actions.


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another instance."""

    receiver: str
    message: Message


@dataclass(frozen=True, slots=True)
class PersistVotes:
    """Write these votes durably before carrying out any later action; ignored without a state file."""

    votes: tuple[StoredVote, ...]


@dataclass(frozen=True, slots=True)
class Announce:
    """This instance holds the lease on the address: open a gate, announce the address and serve.

    The caller answers with AnnounceCompleted.
    """

    address: str
    term: int
    lease_end: float


@dataclass(frozen=True, slots=True)
class ExtendLease:
    """The lease was renewed and now runs until `lease_end`."""

    address: str
    term: int
    lease_end: float


@dataclass(frozen=True, slots=True)
class HurryPending:
    """The lease ends soon and has not been renewed: answer pending requests before `lease_end`."""

    address: str
    term: int
    lease_end: float


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Planned handover: take no new requests on the address and stop announcing the address.

    The caller answers with Withdrawn; the lease is renewed until then.
    """

    address: str
    term: int


@dataclass(frozen=True, slots=True)
class Fence:
    """The lease has expired: shut the gate at once, then stop announcing the address.

    The caller answers with Withdrawn.
    """

    address: str
    term: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver a Tick at `due`; replaces any earlier timer."""

    due: float


@dataclass(frozen=True, slots=True)
class LogEvent:
    """An event for the log; docs/operators/moving-address.md lists each of them."""

    name: str
    fields: dict[str, Any] = field(default_factory=dict)


Action = (
    SendMessage
    | PersistVotes
    | Announce
    | ExtendLease
    | HurryPending
    | Withdraw
    | Fence
    | SetTimer
    | LogEvent
)
