"""Listed workers for which the balancer keeps no learned state.

What the balancer learns costs memory with the square of the workers that it covers, and time with the cube.
So only a bounded number of workers, its members, have learned state; any other that is listed as ready costs
its entry alone. Fleets of up to `MEMBERS` workers have no standby: all of them are members.

Which workers become members is drawn at random: dispatchers that drew alike would load the same few workers.
No I/O, no clock; all randomness is the caller's generator's.
"""

import random
from collections.abc import Callable, Iterator
from itertools import islice

from wickgw import interface as i

MEMBERS = 256  # as long as some of them are free
MEMBERS_AN_ATTEMPT = 4  # beyond `MEMBERS`, for each attempt that is out, when no member is free
MEMBERS_A_STEP = 16  # by which the bound rises at a time
MOST_LEARNED = 512  # rows of learned state; members beyond that go by the pooled estimate
ADMITTED_AT_ONCE = 64  # new members in one call: about a millisecond
HOME_SHARE = 0.5  # of the members, where workers of other zones cost more


class Standby:
    """Ready workers that are not members, in the order in which they were listed."""

    def __init__(self, home_zone: int | None) -> None:
        """`home_zone`: whose workers are preferred; None: all zones are alike."""
        self.home_zone = home_zone
        self._entries: dict[str, i.Entry] = {}

    def __len__(self) -> int:
        """How many they are."""
        return len(self._entries)

    def __iter__(self) -> Iterator[str]:
        """Their names."""
        return iter(self._entries)

    def __contains__(self, worker: str) -> bool:
        """Whether a worker is one of them."""
        return worker in self._entries

    def add(self, entry: i.Entry) -> None:
        """A worker is listed as ready, perhaps anew."""
        self._entries[entry.worker] = entry

    def discard(self, worker: str) -> None:
        """A worker is not ready, not listed, or a member now."""
        self._entries.pop(worker, None)

    def keep_only(self, listed: set[str]) -> None:
        """All that are not named have left the list."""
        for worker in self._entries.keys() - listed:
            del self._entries[worker]

    def take(self, count: int, room: int, home_members: int, rng: random.Random) -> list[i.Entry]:
        """Up to `count` workers that become members now, while there is room for `room`.

        If all fit they go in the order of the list. Otherwise they are drawn at random, with those of the
        home zone preferred until they are `HOME_SHARE` of `MEMBERS`."""
        if len(self._entries) <= room:
            return self._taken(list(islice(self._entries.values(), count)))
        wanted = max(0, int(MEMBERS * HOME_SHARE) - home_members)
        home = [e for e in self._entries.values() if e.zone == self.home_zone]
        drawn = rng.sample(home, min(count, wanted, len(home)))
        self._taken(drawn)
        rest = list(self._entries.values())
        return drawn + self._taken(rng.sample(rest, min(count - len(drawn), len(rest))))

    def take_mates(self, count: int, fits: Callable[[i.Entry], bool]) -> list[i.Entry]:
        """Up to `count` workers for which `fits` holds, that become members now."""
        return self._taken(list(islice(filter(fits, self._entries.values()), count)))

    def _taken(self, entries: list[i.Entry]) -> list[i.Entry]:
        for entry in entries:
            del self._entries[entry.worker]
        return entries
