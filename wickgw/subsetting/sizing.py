"""The size of a subset: how many dispatchers use each worker. Derived from the settings alone."""

import math
from dataclasses import dataclass, replace

from wickgw import interface as i

# With fewer dispatchers for each worker, a few busy or faulty dispatchers decide how loaded the worker is.
# The spread of attempts over workers falls with the square root of the dispatchers per worker
# (docs/design/subsetting.md).
MIN_DISPATCHERS_PER_WORKER = 8
# A dispatcher with fewer workers may find none free, or may learn too little from those that it has.
MIN_SUBSET_WORKERS = 48
# Up to this many workers, using the whole fleet is cheap enough and performs as well (docs/CAPACITY.md).
LARGEST_WHOLE_VIEW_WORKERS = 400
# The share of a worker's dispatchers that are in the worker's zone. The others are a reserve for its loss.
SAME_ZONE_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class SubsetSize:
    """How many dispatchers use each worker, from the worker's own zone and from the other zones."""

    same_zone: int
    other_zones: int

    @property
    def dispatchers_per_worker(self) -> int:
        """The number of dispatchers that use one worker."""
        return self.same_zone + self.other_zones


def subset_size(
    dispatchers: int, workers: int, zones: int, largest_whole_view: int = LARGEST_WHOLE_VIEW_WORKERS
) -> SubsetSize | None:
    """Return the subset size for a fleet, or None if every dispatcher uses every worker.

    `dispatchers`, `workers` and `zones` are counts. There are no subsets in a fleet of up to
    `largest_whole_view` workers, in a fleet so small that a subset would contain all workers, and with a
    single dispatcher. Raises ValueError if `dispatchers` is less than 1.
    """
    if dispatchers < 1:
        raise ValueError(f"dispatchers: {dispatchers} read; at least 1 is allowed")
    if workers <= largest_whole_view:
        return None
    dispatchers_per_worker = max(
        MIN_DISPATCHERS_PER_WORKER, math.ceil(MIN_SUBSET_WORKERS * dispatchers / workers)
    )
    if dispatchers_per_worker >= dispatchers:
        return None
    if zones < 2:
        return SubsetSize(dispatchers_per_worker, 0)
    same_zone = math.ceil(SAME_ZONE_SHARE * dispatchers_per_worker)
    return SubsetSize(same_zone, dispatchers_per_worker - same_zone)


def settings_for_subset(settings: i.Settings, dispatchers_per_worker: int) -> i.Settings:
    """Return the settings for a decision module whose workers are each used by `dispatchers_per_worker`.

    This dispatcher counts as one of them. The decision module estimates the load from other dispatchers, and
    divides a cold worker's budget, by the dispatchers that can send to that worker. Its part of a tenant's
    quota stays the part among all dispatchers.
    """
    share = dispatchers_per_worker / settings.dispatchers
    tenants = tuple(replace(tenant, quota=tenant.quota * share) for tenant in settings.tenants)
    return replace(settings, dispatchers=dispatchers_per_worker, tenants=tenants)
