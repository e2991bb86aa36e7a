"""Settings, events and actions of the address group: plain frozen data, no logic.

All times are seconds as floats on the caller's clock, which never goes backwards, goes on while the machine
sleeps, and runs at most `drift` too fast or too slow. The caller carries out actions in the order given.
"""

from dataclasses import dataclass, field
from typing import Any

from wickgw.address.messages import Message


@dataclass(frozen=True, slots=True)
class Place:
    """One service address and who should have it."""

    name: str
    prefer: tuple[str, ...] = ()  # instances, the most wanted first


@dataclass(frozen=True, slots=True)
class Settings:
    """What an instance is told of its group. The same on all of them, but for `me`."""

    me: str
    members: tuple[str, ...]  # all, this one counted
    places: tuple[Place, ...]
    lease: float = 1.0  # seconds that a vote runs, before the drift is taken off or put on
    drift: float = 0.01  # share by which a clock may run too fast or too slow
    beat: float = 0.1  # seconds between beats
    hold_down: float = 10.0  # seconds for which all must be well before an address is moved back
    last_call: float = 0.15  # seconds before the end of a lease at which requests in hand are hurried

    @property
    def majority(self) -> int:
        """Votes that make a lease."""
        return len(self.members) // 2 + 1

    @property
    def held_for(self) -> float:
        """Seconds for which a holder may count on votes, from before it asked."""
        return self.lease * (1 - self.drift)

    @property
    def bound_for(self) -> float:
        """Seconds for which a voter is bound, from when it granted."""
        return self.lease * (1 + self.drift)


@dataclass(frozen=True, slots=True)
class Kept:
    """A vote as it is written to the state file: it counts as running for a whole lease when read."""

    address: str
    term: int
    holder: str
    over: bool


# Events.


@dataclass(frozen=True, slots=True)
class Began:
    """The instance may act. The first event of a life."""

    boot: int  # Unix microseconds; terms begin above it, so that they grow over restarts of the whole group
    kept: tuple[Kept, ...] | None = None  # votes of the life before; None: not known, so stay quiet a lease


@dataclass(frozen=True, slots=True)
class Heard:
    """A sealed message of another instance came."""

    sender: str
    boot: int
    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """A Wake has come due."""


@dataclass(frozen=True, slots=True)
class Announced:
    """What became of an Announce."""

    address: str
    term: int
    ok: bool
    why: str = ""


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """A Retire or Cut is carried out: nothing new is taken on the address here, and it is not announced."""

    address: str
    term: int


@dataclass(frozen=True, slots=True)
class Able:
    """Whether this instance could serve jobs at all."""

    yes: bool


@dataclass(frozen=True, slots=True)
class Resign:
    """The instance is about to end: hand everything over."""


@dataclass(frozen=True, slots=True)
class Rearranged:
    """New preferences and hold-down, from a reload."""

    places: tuple[Place, ...]
    hold_down: float


Event = Began | Heard | Tick | Announced | Withdrawn | Able | Resign | Rearranged

# Actions.


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message to another instance."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Keep:
    """Write these votes durably, before any later action is carried out. Only where a state file is set."""

    votes: tuple[Kept, ...]


@dataclass(frozen=True, slots=True)
class Announce:
    """The address is ours until then: open a gate for it, announce it, serve. Announced answers."""

    address: str
    term: int
    until: float


@dataclass(frozen=True, slots=True)
class Extend:
    """The lease runs on until then."""

    address: str
    term: int
    until: float


@dataclass(frozen=True, slots=True)
class LastCall:
    """The lease ends soon and has not been renewed: what is in hand must be answered before."""

    address: str
    term: int
    until: float


@dataclass(frozen=True, slots=True)
class Retire:
    """Planned: take nothing more on the address, and stop announcing it. Withdrawn answers, while the lease
    is still kept up."""

    address: str
    term: int


@dataclass(frozen=True, slots=True)
class Cut:
    """The lease is over: shut the gate at once, then stop announcing. Withdrawn answers."""

    address: str
    term: int


@dataclass(frozen=True, slots=True)
class Wake:
    """Bring a Tick at that time, instead of any asked for before."""

    at: float


@dataclass(frozen=True, slots=True)
class Note:
    """An event for the log; each is listed in docs/operators/moving-address.md."""

    event: str
    fields: dict[str, Any] = field(default_factory=dict)


Action = Tell | Keep | Announce | Extend | LastCall | Retire | Cut | Wake | Note
