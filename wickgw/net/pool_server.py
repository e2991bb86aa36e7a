"""One pool of label workers: its decision module, connections and counters, and its part of the list.

A long list is told over several turns of the loop, what left or drains first, and in the order in which lists
came. It must never choose a worker, nor hold news back for anything but its turn.
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
from wickgw.net.sockets import Sockets
from wickgw.net.worker_connections import WorkerConnections
from wickgw.net.worker_list import Target
from wickgw.net.worker_states import WorkerStates

if TYPE_CHECKING:
    from wickgw.config.schema import SubsettingSettings
    from wickgw.net.subset_driver import SubsetDriver
    from wickgw.subsetting.subset import WorkerSubset


ENTRIES_A_TURN = 128  # of a long list, told in one turn of the loop: one or two milliseconds
URGENCY = (i.Health.GONE, i.Health.DRAINING, i.Health.READY)  # what may get nothing new is told first


class PoolServer:
    """One pool: who decides for it, and what it holds."""

    def __init__(
        self,
        name: str,
        has: Callable[[Target], bool],
        config: Config,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        sockets: Sockets,
        subsetting: "SubsettingSettings | None" = None,
    ) -> None:
        self.name, self.has = name, has
        settings = config.settings
        self.subset: SubsetDriver | None = None
        core = subset_of(config, subsetting)
        if core is not None:
            from wickgw.net import subset_driver
            from wickgw.subsetting import sizing

            settings = sizing.settings_for_subset(settings, core.size.dispatchers_per_worker)
            self.subset = subset_driver.SubsetDriver(core, loop, clock, self._show)
        self.connections = WorkerConnections(
            loop, sockets, settings.connect_timeout, settings.idle_close, settings.free_slots
        )
        balancer = Balancer(settings, config.seed + zlib.crc32(name.encode()))  # 0 for the one without a name
        self.dispatcher = self.connections.dispatcher = Dispatcher(balancer, loop, clock, self.connections)
        if self.subset is not None:
            self.dispatcher.on_attempt_ended = self.subset.attempt_ended
        self.states = WorkerStates()
        self._untold: deque[list[Target]] = deque()  # parts of long lists
        self._turn: asyncio.Handle | None = None  # in which the next of them is told

    def begin(self, known: list[Target]) -> None:
        """Its life begins, with the list as it was held last."""
        mine = [target for target in known if self.has(target)]
        if self.subset is not None:
            self.dispatcher.begin(())
            self.subset.on_update(i.ListKind.REPLACE, mine)
            return
        if len(mine) > ENTRIES_A_TURN:
            self.dispatcher.begin(())
            self._tell(i.ListKind.UPDATE, mine)
            return
        for target in mine:
            self.connections.place(target.entry.worker, target.endpoint, target.entry.since)
            self.states.update(target.entry.worker, target.entry.health)
        self.dispatcher.begin(tuple(target.entry for target in mine))

    def on_update(self, kind: i.ListKind, targets: list[Target]) -> None:
        """News of the list."""
        if self.subset is None:
            self._tell(kind, targets)
        else:
            mine = [t for t in targets if self.has(t) or self.subset.knows(t.entry.worker)]
            self.subset.on_update(kind, [t if self.has(t) else _gone(t) for t in mine])

    def _tell(self, kind: i.ListKind, targets: list[Target]) -> None:
        """Tell a short list now; of a long one, and of what comes after it, one part a turn of the loop."""
        if kind is i.ListKind.REPLACE:
            self._untold.clear()  # the whole list has what they said
        if len(targets) <= ENTRIES_A_TURN and not self._untold:
            self._show(kind, targets)
            return
        latest = {target.entry.worker: target for target in targets}
        left = self.states.missing(set(latest)) if kind is i.ListKind.REPLACE else ()
        by_health: dict[i.Health, list[Target]] = {health: [] for health in URGENCY}
        for target in latest.values():
            by_health[target.entry.health].append(target)
        ordered = [Target(i.Entry(worker, i.Health.GONE), endpoint="") for worker in left]
        for health in URGENCY:
            ordered += by_health[health]
        for first in range(0, len(ordered), ENTRIES_A_TURN):
            self._untold.append(ordered[first : first + ENTRIES_A_TURN])
        if self._turn is None:
            self._turn = self.dispatcher.loop.call_soon(self._tell_next)

    def _tell_next(self) -> None:
        self._turn = None
        if self._untold:
            self._show(i.ListKind.UPDATE, self._untold.popleft())
        if self._untold:
            self._turn = self.dispatcher.loop.call_soon(self._tell_next)

    def _show(self, kind: i.ListKind, targets: list[Target]) -> None:
        """What the pool serves by; connections to what left go last."""
        whole = kind is i.ListKind.REPLACE
        entries = [entry for target in targets if (entry := self._entry_of(target)) is not None]
        if whole:
            entries = [entry for entry in entries if entry.health is not i.Health.GONE]
            gone = self.states.missing({entry.worker for entry in entries})
        else:
            gone = {entry.worker for entry in entries if entry.health is i.Health.GONE}
        self._set_states(entries, gone)
        if entries or whole:
            self.dispatcher.listed(kind, tuple(entries))
        for entry in entries:
            if entry.health is i.Health.DRAINING:
                self.connections.withdraw_from(entry.worker)
        for worker in gone:
            if worker not in self.states:
                self.connections.remove(worker)

    def _set_states(self, entries: Iterable[i.Entry], gone: Iterable[str]) -> None:
        for worker in gone:
            self.states.remove(worker)
        for entry in entries:
            self.states.update(entry.worker, entry.health)

    def _entry_of(self, target: Target) -> i.Entry | None:
        """What the decision module is told of a target; its address is noted first, since the module may send
        at once. None if the target neither is nor was this pool's."""
        entry, mine = target.entry, self.has(target)
        if mine and entry.health is not i.Health.GONE:
            self.connections.place(entry.worker, target.endpoint, entry.since)
            return entry
        if mine or entry.worker in self.states:
            return i.Entry(entry.worker, i.Health.GONE, entry.zone, entry.cell, entry.since)
        return None

    @property
    def counts(self) -> tuple[int, int]:
        """Its ready and its draining workers."""
        return self.states.ready, self.states.draining

    def report(self) -> dict[str, object]:
        """Counters, and what it holds now."""
        ready, draining = self.counts
        held = {"owed": self.dispatcher.owed, "ready": ready, "draining": draining}
        held |= {"members": len(self.dispatcher.balancer.order)}
        held |= {
            "tries_out": len(self.connections.attempts),
            "peer_connections": len(self.connections.connections),
        }
        held |= self.subset.counts if self.subset is not None else {}
        return {"counters": dict(self.dispatcher.counters), "now": held}

    def close(self) -> None:
        """Give everything back."""
        if self._turn is not None:
            self._turn.cancel()
        self._untold.clear()
        if self.subset is not None:
            self.subset.close()
        self.dispatcher.close()
        self.connections.close()


def subset_of(config: Config, subsetting: "SubsettingSettings | None") -> "WorkerSubset[Target] | None":
    """The subset that the operator's file asks for; None where every worker is seen. Raises ConfigError."""
    if subsetting is None or not subsetting.enabled:
        return None
    from wickgw.subsetting.ranking import Dispatcher as Instance
    from wickgw.subsetting.sizing import subset_size
    from wickgw.subsetting.subset import WorkerSubset

    if config.name not in subsetting.dispatchers:
        raise ConfigError(
            f"[subsetting] dispatchers: {config.name!r}, this dispatcher's name, is missing;"
            f" NAME=ZONE for each of all dispatchers is allowed"
        )
    fleet = tuple(Instance(name, zone) for name, zone in subsetting.dispatchers.items())
    zones, whole = len(set(subsetting.dispatchers.values())), subsetting.largest_whole_view
    size = subset_size(len(fleet), subsetting.workers, zones, whole)
    return WorkerSubset(fleet, config.name, size, config.settings) if size is not None else None


def _gone(target: Target) -> Target:
    """A worker that is no pool member any more, as one that is gone."""
    e = target.entry
    return target._replace(entry=i.Entry(e.worker, i.Health.GONE, e.zone, e.cell, e.since, e.kind))
