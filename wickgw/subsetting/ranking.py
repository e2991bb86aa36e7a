"""Rendezvous hashing: decides which dispatchers use a worker, without messages between dispatchers.

Each pair of a worker and a dispatcher has a weight that is a hash of the two names. The dispatchers with the
lowest weights use the worker: a fixed number from the worker's own zone and a fixed number from the other
zones. Every dispatcher computes the same order. A worker that joins or leaves changes only its own
memberships. A dispatcher that joins takes only the places in which its weight is low enough.
"""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from wickgw.subsetting.sizing import SubsetSize

Keys = NDArray[np.uint64]
KEY_BYTES = 8
BATCH_WORKERS = 256  # ranked at once: bounds the memory of the weight table


@dataclass(frozen=True, slots=True)
class Dispatcher:
    """One instance of this program."""

    name: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Rank:
    """The position of this dispatcher among the dispatchers that could use a worker.

    Dispatchers of the worker's zone and dispatchers of the other zones are ranked separately.
    """

    same_zone: bool  # the worker is in this dispatcher's zone
    position: int  # among the dispatchers of the same group, from 0
    places: int  # how many dispatchers of that group use the worker

    @property
    def member(self) -> bool:
        """Whether this dispatcher uses the worker."""
        return self.position < self.places

    @property
    def distance(self) -> float:
        """The sort key for substitutes: if members fail, the lowest distance is added first."""
        return (self.position - self.places + 1) / max(self.places, 1) + (0 if self.same_zone else 1)


class UnknownDispatcherError(ValueError):
    """This dispatcher's name is not among the dispatchers of the fleet."""


def key_of_name(name: str) -> int:
    """Return a 64-bit odd key for `name`. The key is the same in every process."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=KEY_BYTES).digest()) | 1


def keys_of_names(names: Sequence[str]) -> Keys:
    """Return the keys of several names."""
    return np.array([key_of_name(name) for name in names], np.uint64)


class Ranking:
    """Ranks one dispatcher against all others, for each worker."""

    def __init__(self, dispatchers: Sequence[Dispatcher], own: str, size: SubsetSize) -> None:
        """Rank the dispatcher named `own` among `dispatchers`.

        Raises ValueError for a name that occurs twice, and UnknownDispatcherError if `own` is missing.
        """
        names = [dispatcher.name for dispatcher in dispatchers]
        if len(set(names)) < len(names):
            duplicate = next(name for name in names if names.count(name) > 1)
            raise ValueError(f"dispatchers: {duplicate!r} read twice; each name once is allowed")
        if own not in names:
            raise UnknownDispatcherError(f"dispatchers: {own!r} is not among the {len(names)} names")
        self.size, self.own_index = size, names.index(own)
        self._keys = keys_of_names(names)
        self._zones = np.array([dispatcher.zone for dispatcher in dispatchers])
        # For each zone, the mask of the dispatchers in it.
        self._dispatchers_in_zone = {zone: self._zones == zone for zone in set(self._zones.tolist())}
        self._no_dispatchers = np.zeros(len(names), np.bool_)

    def rank(self, workers: Sequence[tuple[str, str]]) -> list[Rank]:
        """Return this dispatcher's rank for each worker. Each worker is a pair of name and zone."""
        ranks: list[Rank] = []
        for first in range(0, len(workers), BATCH_WORKERS):
            ranks += self._rank_batch(workers[first : first + BATCH_WORKERS])
        return ranks

    def _rank_batch(self, workers: Sequence[tuple[str, str]]) -> list[Rank]:
        weights = np.multiply.outer(keys_of_names([name for name, _ in workers]), self._keys)
        # Multiply-shift hashing: only the high half of the product is evenly distributed.
        weights >>= np.uint64(32)
        before = weights < weights[:, self.own_index, None]
        # Equal weights occur in one pair out of four billion. They are ordered as the dispatchers are listed.
        before[:, : self.own_index] |= weights[:, : self.own_index] == weights[:, self.own_index, None]
        in_zone = np.array([self._dispatchers_in_zone.get(zone, self._no_dispatchers) for _, zone in workers])
        own_in_zone = in_zone[:, self.own_index]
        same_group = in_zone == own_in_zone[:, None]
        positions = (before & same_group).sum(axis=1)
        zone_places = np.minimum(self.size.same_zone, in_zone.sum(axis=1))
        places = np.where(own_in_zone, zone_places, self.size.dispatchers_per_worker - zone_places)
        rows = zip(own_in_zone.tolist(), positions.tolist(), places.tolist(), strict=True)
        return [Rank(same_zone, position, count) for same_zone, position, count in rows]
