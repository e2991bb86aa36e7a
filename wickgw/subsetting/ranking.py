"""Rendezvous hashing: which dispatchers see a worker, without any of them asking another.

Each pair of a worker and a dispatcher has a weight that follows from the two names alone. A worker is seen by
the dispatchers of least weight: so many of its own zone, so many of the others. Every dispatcher computes the
same order; a worker that joins or leaves changes its own memberships and no other's, and a dispatcher that
joins takes the places that it comes first for.
"""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from wickgw.subsetting.sizing import SubsetSize

Keys = NDArray[np.uint64]
KEY_BYTES = 8
BATCH = 256  # workers ranked at once: bounds the memory of the table of weights


@dataclass(frozen=True, slots=True)
class Dispatcher:
    """One instance of this program."""

    name: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Rank:
    """Where this dispatcher stands among those that could see a worker."""

    home: bool  # the worker is in this dispatcher's zone
    place: int  # among the dispatchers of the same side, from 0
    seats: int  # how many of that side see the worker

    @property
    def member(self) -> bool:
        """Whether this dispatcher sees the worker."""
        return self.place < self.seats

    @property
    def distance(self) -> float:
        """The order in which further workers are taken when members fail: the least first."""
        return (self.place - self.seats + 1) / max(self.seats, 1) + (0 if self.home else 1)


class UnknownDispatcherError(ValueError):
    """This dispatcher's name is not among those of the fleet."""


def key_of(name: str) -> int:
    """A 64-bit key of a name, odd, the same in every process."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=KEY_BYTES).digest()) | 1


def keys_of(names: Sequence[str]) -> Keys:
    """The keys of several names."""
    return np.array([key_of(name) for name in names], np.uint64)


class Ranking:
    """The order of all dispatchers at each worker, as far as one of them needs it."""

    def __init__(self, dispatchers: Sequence[Dispatcher], own: str, size: SubsetSize) -> None:
        names = [dispatcher.name for dispatcher in dispatchers]
        if len(set(names)) < len(names):
            twice = next(name for name in names if names.count(name) > 1)
            raise ValueError(f"dispatchers: {twice!r} read twice; each name once is allowed")
        if own not in names:
            raise UnknownDispatcherError(f"dispatchers: {own!r} is not among the {len(names)} names")
        self.size, self.own = size, names.index(own)
        self._keys = keys_of(names)
        self._zones = np.array([dispatcher.zone for dispatcher in dispatchers])
        self._home_of = {zone: self._zones == zone for zone in set(self._zones.tolist())}
        self._nobody = np.zeros(len(names), np.bool_)

    def rank(self, workers: Sequence[tuple[str, str]]) -> list[Rank]:
        """This dispatcher's rank at each worker, given as name and zone."""
        ranks: list[Rank] = []
        for first in range(0, len(workers), BATCH):
            ranks += self._rank_batch(workers[first : first + BATCH])
        return ranks

    def _rank_batch(self, workers: Sequence[tuple[str, str]]) -> list[Rank]:
        weights = np.multiply.outer(keys_of([name for name, _ in workers]), self._keys)
        # Multiply-shift hashing: the high half of the product is the evenly spread one.
        weights >>= np.uint64(32)
        before = weights < weights[:, self.own, None]
        # Equal weights, one pair in four billion, go by the order of the names.
        before[:, : self.own] |= weights[:, : self.own] == weights[:, self.own, None]
        home = np.array([self._home_of.get(zone, self._nobody) for _, zone in workers])
        own_home = home[:, self.own]
        same_side = home == own_home[:, None]
        places = (before & same_side).sum(axis=1)
        home_seats = np.minimum(self.size.home, home.sum(axis=1))
        seats = np.where(own_home, home_seats, self.size.memberships - home_seats)
        rows = zip(own_home.tolist(), places.tolist(), seats.tolist(), strict=True)
        return [Rank(at_home, place, seat) for at_home, place, seat in rows]
