"""The size of a subset: how many dispatchers see each worker, from the settings alone."""

import math
from dataclasses import dataclass, replace

from wickgw import interface as i

# With fewer dispatchers at each worker, a few busy or bad dispatchers decide how loaded it is: the spread of
# attempts over workers falls with the root of the dispatchers that see one (docs/design/subsetting.md).
MIN_MEMBERSHIPS = 8
# A dispatcher that sees fewer workers finds none free, or learns too little from those it has.
MIN_SUBSET = 48
# Workers up to which the whole view is cheap enough, and serves as well (docs/CAPACITY.md).
LARGEST_WHOLE_VIEW = 400
HOME_SHARE = 0.75  # of the dispatchers at a worker that are in its zone; the others are the reserve


@dataclass(frozen=True, slots=True)
class SubsetSize:
    """How many dispatchers see each worker: some of its own zone, some of the others."""

    home: int
    away: int

    @property
    def memberships(self) -> int:
        """Dispatchers that see one worker."""
        return self.home + self.away


def subset_size(
    dispatchers: int, workers: int, zones: int, largest_whole_view: int = LARGEST_WHOLE_VIEW
) -> SubsetSize | None:
    """The size for a fleet; None where every dispatcher sees every worker.

    `dispatchers`, `workers` and `zones` are counts. A fleet of up to `largest_whole_view` workers, or of so
    few that a subset would hold them all, needs none, and neither does one dispatcher.
    """
    if dispatchers < 1:
        raise ValueError(f"dispatchers: {dispatchers} read; at least 1 is allowed")
    if workers <= largest_whole_view:
        return None
    memberships = max(MIN_MEMBERSHIPS, math.ceil(MIN_SUBSET * dispatchers / workers))
    if memberships >= dispatchers:
        return None
    if zones < 2:
        return SubsetSize(memberships, 0)
    home = math.ceil(HOME_SHARE * memberships)
    return SubsetSize(home, memberships - home)


def settings_for_subset(settings: i.Settings, memberships: int) -> i.Settings:
    """The settings of a decision module that shares its workers with so many dispatchers, itself counted.

    Its estimates of what others do to a worker, and its part of a cold worker's budget, count those who may
    really send to that worker. Its part of a tenant's quota stays what it is among all dispatchers.
    """
    share = memberships / settings.dispatchers
    tenants = tuple(replace(t, quota=t.quota * share) for t in settings.tenants)
    return replace(settings, dispatchers=memberships, tenants=tenants)
