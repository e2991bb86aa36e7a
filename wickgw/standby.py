"""The standby: listed workers for which the balancer keeps no learned state.

Learned state takes memory that grows with the square of the number of workers, and computation that grows
with its cube. Therefore only a bounded number of workers, the members, have learned state. Any other worker
that is listed as ready is on standby and takes only its entry. A fleet of up to `BASE_MEMBERS` workers has no
standby: all of them are members.

New members are drawn at random, because dispatchers that made the same choice would load the same few
workers. The module does no I/O and reads no clock; the caller provides the random generator.
"""

import random
from collections.abc import Callable, Iterator
from itertools import islice

from wickgw import interface as i

BASE_MEMBERS = 256  # bound as long as some members are eligible
EXTRA_MEMBERS_PER_ATTEMPT = 4  # beyond `BASE_MEMBERS`, per open attempt, when no member is eligible
EXTRA_MEMBERS_PER_STEP = 16  # increase of the bound at a time
MAX_LEARNED_WORKERS = 512  # rows of learned state; members beyond that use the pooled estimate
MAX_ADMITTED_PER_CALL = 64  # new members in one call, which takes about a millisecond
HOME_ZONE_SHARE = 0.5  # share of the home zone in the members, where workers of other zones cost more


class Standby:
    """Ready workers that are not members, in the order in which they were listed."""

    def __init__(self, home_zone: int | None) -> None:
        """`home_zone`: the zone whose workers are preferred; None: no zone is."""
        self.home_zone = home_zone
        self._entries: dict[str, i.Entry] = {}

    def __len__(self) -> int:
        """Number of workers on standby."""
        return len(self._entries)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names of the workers."""
        return iter(self._entries)

    def __contains__(self, worker: str) -> bool:
        """Whether a worker is on standby."""
        return worker in self._entries

    def add(self, entry: i.Entry) -> None:
        """Add a worker that is listed as ready, or replace its entry."""
        self._entries[entry.worker] = entry

    def discard(self, worker: str) -> None:
        """Remove a worker, if it is on standby."""
        self._entries.pop(worker, None)

    def keep_only(self, listed: set[str]) -> None:
        """Remove all workers that are not in `listed`."""
        for worker in self._entries.keys() - listed:
            del self._entries[worker]

    def take(self, count: int, room: int, home_members: int, rng: random.Random) -> list[i.Entry]:
        """Remove and return up to `count` workers that become members.

        `room` is the number of members that are still admitted, now or in later calls. If the standby fits
        into it, the workers are taken in the order of the list. Otherwise they are drawn at random, first
        from the home zone until it has `HOME_ZONE_SHARE` of `BASE_MEMBERS`, and then from all zones.
        `home_members` is the number of members that the home zone has already.
        """
        if len(self._entries) <= room:
            return self._remove_entries(list(islice(self._entries.values(), count)))
        wanted = max(0, int(BASE_MEMBERS * HOME_ZONE_SHARE) - home_members)
        home = [entry for entry in self._entries.values() if entry.zone == self.home_zone]
        drawn = rng.sample(home, min(count, wanted, len(home)))
        self._remove_entries(drawn)
        rest = list(self._entries.values())
        return drawn + self._remove_entries(rng.sample(rest, min(count - len(drawn), len(rest))))

    def take_matching(self, count: int, fits: Callable[[i.Entry], bool]) -> list[i.Entry]:
        """Remove and return up to `count` workers that become members, the first for which `fits` is true."""
        return self._remove_entries(list(islice(filter(fits, self._entries.values()), count)))

    def _remove_entries(self, entries: list[i.Entry]) -> list[i.Entry]:
        """Remove the entries from the standby and return them."""
        for entry in entries:
            del self._entries[entry.worker]
        return entries
