"""What instances of a group say to each other: plain frozen data, encoded by `wire`.

Times in messages are durations (milliseconds), never clock readings: no two clocks are ever compared.
"""

import msgspec


class View(msgspec.Struct, frozen=True, array_like=True):
    """What the sender believes of another instance."""

    name: str
    boot: int  # the life meant: Unix microseconds of its start
    count: int  # its incarnation number within that life
    state: int  # membership.State
    age_ms: int  # since the sender last heard it; itself or through others


class Live(msgspec.Struct, frozen=True, array_like=True):
    """A vote of the sender that is still running."""

    address: str
    term: int
    holder: str


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """I am here. Sent to each other instance at every beat."""

    count: int
    unable: tuple[str, ...]  # addresses that I could not serve now
    held: tuple[str, ...]  # addresses that I serve
    views: tuple[View, ...]
    votes: tuple[Live, ...]


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Vote for me: the lease on `address` in `term`. A later round of one term renews it."""

    address: str
    term: int
    round: int
    over: int = 0  # the holder of that term has told me that it has let go


class Grant(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """My vote is yours, for a lease from when I say so."""

    address: str
    term: int
    round: int
    boot: int  # the life of the asker that asked: an answer to an earlier life means nothing


class Deny(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """My vote is not yours."""

    address: str
    term: int
    round: int
    boot: int
    seen: int  # the highest term I know of
    left_ms: int  # until my running vote or my quiet time ends


class Yield(msgspec.Struct, frozen=True, array_like=True, tag="y"):
    """I held (or asked for) `term` and have let go; `to` should take it, if named."""

    address: str
    term: int
    to: str = ""


Message = Beat | Ask | Grant | Deny | Yield
