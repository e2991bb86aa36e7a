"""One pool of label workers: its decision module, connections, counters and part of the worker list.

A long update is applied in parts over several turns of the loop, removed and draining workers first. Updates
are applied in the order of their arrival, and are delayed only by this division. Workers are chosen by the
decision module.
"""

import asyncio
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.config.relay import Config, ConfigError
from wickgw.net.dispatch import Clock, Dispatcher
from wickgw.net.sent_ids import SentIds
from wickgw.net.sockets import Sockets
from wickgw.net.worker_connections import WorkerConnections
from wickgw.net.worker_list import Target
from wickgw.net.worker_states import WorkerStates

if TYPE_CHECKING:
    from wickgw.config.schema import SubsettingSettings
    from wickgw.net.subset_driver import SubsetDriver
    from wickgw.subsetting.subset import WorkerSubset


ENTRIES_PER_TURN = 128  # list entries applied in one turn of the loop, which takes one or two milliseconds
HEALTH_ORDER = (i.Health.GONE, i.Health.DRAINING, i.Health.READY)  # workers that may get no new jobs first


class PoolServer:
    """One pool: its decision module, its connections and the workers that it contains.

    `contains` returns whether a worker belongs to the pool.
    """

    def __init__(
        self,
        name: str,
        contains: Callable[[Target], bool],
        config: Config,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        sockets: Sockets,
        sent_ids: SentIds | None = None,
        subsetting: "SubsettingSettings | None" = None,
    ) -> None:
        self.name, self.contains = name, contains
        settings = config.settings
        self.subset: SubsetDriver | None = None
        subset = create_subset(config, subsetting)
        if subset is not None:
            from wickgw.net import subset_driver
            from wickgw.subsetting import sizing

            settings = sizing.settings_for_subset(settings, subset.size.dispatchers_per_worker)
            self.subset = subset_driver.SubsetDriver(subset, loop, clock, self._apply)
        self.connections = WorkerConnections(
            loop, sockets, settings.connect_timeout, settings.idle_timeout, settings.free_slots_field
        )
        # The CRC of an empty name is 0: the only pool, where there are no routes, uses the seed unchanged.
        balancer = Balancer(settings, config.seed + zlib.crc32(name.encode()))
        self.dispatcher = self.connections.dispatcher = Dispatcher(
            balancer, loop, clock, self.connections, sent_ids
        )
        if self.subset is not None:
            self.dispatcher.on_attempt_ended = self.subset.attempt_ended
        self.states = WorkerStates()
        self._queued_parts: deque[list[Target]] = deque()  # parts of long updates
        self._next_part: asyncio.Handle | None = None  # applies the next of them

    def begin(self, known: list[Target]) -> None:
        """Start the decision module with the last known worker list."""
        own_targets = [target for target in known if self.contains(target)]
        if self.subset is not None:
            self.dispatcher.begin(())
            self.subset.on_update(i.ListKind.REPLACE, own_targets)
            return
        if len(own_targets) > ENTRIES_PER_TURN:
            self.dispatcher.begin(())
            self._apply_or_queue(i.ListKind.UPDATE, own_targets)
            return
        for target in own_targets:
            self.connections.set_endpoint(target.entry.worker, target.endpoint, target.entry.since)
            self.states.update(target.entry.worker, target.entry.health)
        self.dispatcher.begin(tuple(target.entry for target in own_targets))

    def on_update(self, kind: i.ListKind, targets: list[Target]) -> None:
        """Handle an update of the worker list."""
        if self.subset is None:
            self._apply_or_queue(kind, targets)
        else:
            own_targets = [
                target
                for target in targets
                if self.contains(target) or self.subset.knows(target.entry.worker)
            ]
            self.subset.on_update(
                kind, [target if self.contains(target) else _as_gone(target) for target in own_targets]
            )

    def _apply_or_queue(self, kind: i.ListKind, targets: list[Target]) -> None:
        """Apply a short update at once; queue the parts of a long one, and any update behind queued parts."""
        if kind is i.ListKind.REPLACE:
            self._queued_parts.clear()  # superseded by the whole list
        if len(targets) <= ENTRIES_PER_TURN and not self._queued_parts:
            self._apply(kind, targets)
            return
        latest_targets = {target.entry.worker: target for target in targets}
        removed = self.states.missing(set(latest_targets)) if kind is i.ListKind.REPLACE else ()
        by_health: dict[i.Health, list[Target]] = {health: [] for health in HEALTH_ORDER}
        for target in latest_targets.values():
            by_health[target.entry.health].append(target)
        ordered = [Target(i.Entry(worker, i.Health.GONE), endpoint="") for worker in removed]
        for health in HEALTH_ORDER:
            ordered += by_health[health]
        for first in range(0, len(ordered), ENTRIES_PER_TURN):
            self._queued_parts.append(ordered[first : first + ENTRIES_PER_TURN])
        if self._next_part is None:
            self._next_part = self.dispatcher.loop.call_soon(self._apply_next_part)

    def _apply_next_part(self) -> None:
        self._next_part = None
        if self._queued_parts:
            self._apply(i.ListKind.UPDATE, self._queued_parts.popleft())
        if self._queued_parts:
            self._next_part = self.dispatcher.loop.call_soon(self._apply_next_part)

    def _apply(self, kind: i.ListKind, targets: list[Target]) -> None:
        """Apply an update. Connections to removed workers close last."""
        is_whole = kind is i.ListKind.REPLACE
        entries = [entry for target in targets if (entry := self._entry_of(target)) is not None]
        if is_whole:
            entries = [entry for entry in entries if entry.health is not i.Health.GONE]
            gone = self.states.missing({entry.worker for entry in entries})
        else:
            gone = {entry.worker for entry in entries if entry.health is i.Health.GONE}
        self._set_states(entries, gone)
        if entries or is_whole:
            self.dispatcher.update_list(kind, tuple(entries))
        for entry in entries:
            if entry.health is i.Health.DRAINING:
                self.connections.cancel_unsent_to(entry.worker)
        for worker in gone:
            if worker not in self.states:
                self.connections.remove(worker)

    def _set_states(self, entries: Iterable[i.Entry], gone: Iterable[str]) -> None:
        for worker in gone:
            self.states.remove(worker)
        for entry in entries:
            self.states.update(entry.worker, entry.health)

    def _entry_of(self, target: Target) -> i.Entry | None:
        """Return the entry for the decision module, or None if the target is not and was not in this pool.

        The endpoint is set first, since the decision module may send to the worker at once.
        """
        entry, is_own = target.entry, self.contains(target)
        if is_own and entry.health is not i.Health.GONE:
            self.connections.set_endpoint(entry.worker, target.endpoint, entry.since)
            return entry
        if is_own or entry.worker in self.states:
            return i.Entry(entry.worker, i.Health.GONE, entry.zone, entry.cell, entry.since)
        return None

    @property
    def worker_counts(self) -> tuple[int, int]:
        """The numbers of ready and of draining workers."""
        return self.states.ready, self.states.draining

    def report(self) -> dict[str, object]:
        """Return the counters and the current values of this pool."""
        ready, draining = self.worker_counts
        current = {"owed": self.dispatcher.unanswered, "ready": ready, "draining": draining}
        current |= {"members": len(self.dispatcher.balancer.members)}
        current |= {
            "tries_out": len(self.connections.attempts),
            "peer_connections": len(self.connections.connections),
        }
        current |= self.subset.counts if self.subset is not None else {}
        return {"counters": dict(self.dispatcher.counters), "now": current}

    def close(self) -> None:
        """Cancel the queued updates and close the subset, the dispatcher and the connections."""
        if self._next_part is not None:
            self._next_part.cancel()
        self._queued_parts.clear()
        if self.subset is not None:
            self.subset.close()
        self.dispatcher.close()
        self.connections.close()


def create_subset(config: Config, subsetting: "SubsettingSettings | None") -> "WorkerSubset[Target] | None":
    """Return the subset that the operator's file configures, or None if every worker is used.

    Raises ConfigError if this dispatcher is missing from the list of dispatchers.
    """
    if subsetting is None or not subsetting.enabled:
        return None
    from wickgw.subsetting.ranking import Dispatcher as FleetDispatcher
    from wickgw.subsetting.sizing import subset_size
    from wickgw.subsetting.subset import WorkerSubset

    if config.name not in subsetting.dispatchers:
        raise ConfigError(
            f"[subsetting] dispatchers: {config.name!r}, this dispatcher's name, is missing;"
            f" list every dispatcher as NAME=ZONE"
        )
    fleet = tuple(FleetDispatcher(name, zone) for name, zone in subsetting.dispatchers.items())
    zones, largest_whole_view = len(set(subsetting.dispatchers.values())), subsetting.largest_whole_view
    size = subset_size(len(fleet), subsetting.workers, zones, largest_whole_view)
    return WorkerSubset(fleet, config.name, size, config.settings) if size is not None else None


def _as_gone(target: Target) -> Target:
    """Return a target that left the pool with the state GONE."""
    previous = target.entry
    return target._replace(
        entry=i.Entry(
            previous.worker,
            i.Health.GONE,
            previous.zone,
            previous.cell,
            previous.since,
            previous.machine_type,
        )
    )
