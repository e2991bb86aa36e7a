"""Which instance should have which address: preferences first, then spread, and no move for its own sake.

Pure functions of what is known; whoever knows the same plans the same. It must never decide whether an
address *may* be taken: votes do.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet

from wickgw.address.events import Place


def ranking(
    places: Sequence[Place],
    members: Sequence[str],
    usable: Mapping[str, AbstractSet[str]],
    holders: Mapping[str, str],
) -> dict[str, tuple[str, ...]]:
    """For each address the instances that could serve it, the one that should first.

    `usable` names for each address the instances that could serve it now; `holders` who has it. An address
    without a usable preferred instance stays where it is unless its holder has more than its share.
    """
    load: Counter[str] = Counter()
    result: dict[str, tuple[str, ...]] = {}
    everybody = set().union(*usable.values()) if usable else set()
    share = math.ceil(len(places) / max(1, len(everybody)))
    for index, place in enumerate(places):
        can = usable.get(place.name, frozenset())
        wanted = {name: rank for rank, name in enumerate(place.prefer)}
        holder = holders.get(place.name)

        def cost(
            name: str,
            wanted: dict[str, int] = wanted,
            holder: str | None = holder,
            index: int = index,
        ) -> tuple[int, bool, int, int]:
            stays = name == holder and load[name] < share
            return (
                wanted.get(name, len(members)),
                not stays,
                load[name],
                (members.index(name) - index) % len(members),
            )

        order = tuple(sorted(can, key=cost))
        result[place.name] = order
        if order:
            load[order[0]] += 1
    return result
