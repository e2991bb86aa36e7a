"""Messages between the instances of a group: plain frozen data, encoded by `wire`.

Structs are encoded as arrays, so the order of their fields is part of the protocol. Times are durations in
milliseconds and never clock readings, so no two clocks are compared.

A field is only ever added at the end, with a default that stands for a sender of an earlier version. Earlier
versions ignore fields that they don't know.
"""

import msgspec

# The bounds of `lease_ms` in every version of this protocol. Where the duration of a vote is not known, the
# safe one of them is assumed: a voter is bound for the longest, a holder relies on the shortest.
MIN_LEASE_MS, MAX_LEASE_MS = 300, 1500
UNKNOWN_LEASE = 0  # from a sender of a version that did not say


class View(msgspec.Struct, frozen=True, array_like=True):
    """The sender's view of another instance."""

    name: str
    boot: int  # the process start that the view is about: Unix microseconds
    count: int  # incarnation number of that instance since that start
    state: int  # membership.MemberState
    age_ms: int  # since the sender last heard of that instance, directly or through others


class Live(msgspec.Struct, frozen=True, array_like=True):
    """A vote of the sender that is still binding."""

    address: str
    term: int
    holder: str


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """A heartbeat, sent to every other instance at each interval."""

    count: int  # incarnation number of the sender
    unable: tuple[str, ...]  # addresses that the sender can't serve now
    held: tuple[str, ...]  # addresses that the sender holds a lease on
    views: tuple[View, ...]
    votes: tuple[Live, ...]


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """A request for a vote: the lease on `address` in `term`. A later round of the same term renews it."""

    address: str
    term: int
    round: int
    over: int = 0  # an earlier term, whose holder has sent a Yield to the sender; 0 if there is none
    lease_ms: int = UNKNOWN_LEASE  # for which the sender wants to rely on the vote


class Grant(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """The sender votes for the asker. The vote binds for `lease_ms` from the time of sending."""

    address: str
    term: int
    round: int
    boot: int  # process start of the asker; the asker ignores an answer to an earlier start
    lease_ms: int = UNKNOWN_LEASE  # at most what was asked for


class Deny(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """The sender does not vote for the asker."""

    address: str
    term: int
    round: int
    boot: int  # process start of the asker, as in Grant
    seen: int  # the highest term that the sender knows
    left_ms: int  # until the sender's binding vote or its quiet time after a start ends


class Yield(msgspec.Struct, frozen=True, array_like=True, tag="y"):
    """The sender held `term`, or asked for it, and has released it. `to` should take over, if named."""

    address: str
    term: int
    to: str = ""


Message = Beat | Ask | Grant | Deny | Yield
