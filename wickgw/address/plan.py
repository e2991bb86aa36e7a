"""Ranks the instances for each address: preferences first, then an even spread, and no needless moves.

A pure function of its arguments, so instances with the same knowledge compute the same ranking. The ranking
is only a preference: votes decide whether an instance may take an address.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet

from wickgw.address.events import ServiceAddress


def rank_instances(
    addresses: Sequence[ServiceAddress],
    members: Sequence[str],
    able: Mapping[str, AbstractSet[str]],
    holders: Mapping[str, str],
) -> dict[str, tuple[str, ...]]:
    """Return for each address the instances that can serve it, the one that should hold it first.

    `members` lists all instances of the group. `able` maps each address to the instances that can serve it
    now, `holders` maps an address to its current holder. The sort key for an address is, in this order: rank
    among the preferred instances; not being a holder whose load is below its share; load, which is the number
    of addresses ranked so far with the instance first; position in `members`, rotated by the index of the
    address. The share is ceil(addresses / able instances). So an address that no preferred instance can serve
    stays with its holder unless the holder has more than its share.
    """
    load: Counter[str] = Counter()
    rankings: dict[str, tuple[str, ...]] = {}
    all_able = set().union(*able.values()) if able else set()
    share = math.ceil(len(addresses) / max(1, len(all_able)))
    for index, address in enumerate(addresses):
        candidates = able.get(address.name, frozenset())
        preference = {name: rank for rank, name in enumerate(address.preferred)}
        holder = holders.get(address.name)

        def cost(
            name: str,
            preference: dict[str, int] = preference,
            holder: str | None = holder,
            index: int = index,
        ) -> tuple[int, bool, int, int]:
            keeps_address = name == holder and load[name] < share
            return (
                preference.get(name, len(members)),
                not keeps_address,
                load[name],
                (members.index(name) - index) % len(members),
            )

        ranking = tuple(sorted(candidates, key=cost))
        rankings[address.name] = ranking
        if ranking:
            load[ranking[0]] += 1
    return rankings
