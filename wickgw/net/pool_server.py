"""One pool of label workers: its decision module, connections and counters, and its part of the list.

It must never choose a worker, nor tell its decision module of news later than it came.
"""

import asyncio
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.config.relay import Config, ConfigError
from wickgw.net.dispatch import Clock, Dispatcher
from wickgw.net.sockets import Sockets
from wickgw.net.worker_connections import WorkerConnections
from wickgw.net.worker_list import Target

if TYPE_CHECKING:
    from wickgw.config.schema import SubsettingSettings
    from wickgw.net.subset_driver import SubsetDriver
    from wickgw.subsetting.subset import WorkerSubset


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

            settings = sizing.settings_for_subset(settings, core.size.memberships)
            self.subset = subset_driver.SubsetDriver(core, loop, clock, self._show)
        self.connections = WorkerConnections(
            loop, sockets, settings.connect_timeout, settings.idle_close, settings.free_slots
        )
        balancer = Balancer(settings, config.seed + zlib.crc32(name.encode()))  # 0 for the one without a name
        self.dispatcher = self.connections.dispatcher = Dispatcher(balancer, loop, clock, self.connections)
        if self.subset is not None:
            self.dispatcher.on_attempt_ended = self.subset.attempt_ended
        self.states: dict[str, i.Health] = {}  # of its workers

    def begin(self, known: list[Target]) -> None:
        """Its life begins, with the list as it was held last."""
        mine = [target for target in known if self.has(target)]
        if self.subset is not None:
            self.dispatcher.begin(())
            self.subset.on_update(i.ListKind.REPLACE, mine)
            return
        for target in mine:
            self.connections.place(target.entry.worker, target.endpoint, target.entry.since)
            self.states[target.entry.worker] = target.entry.health
        self.dispatcher.begin(tuple(target.entry for target in mine))

    def on_update(self, kind: i.ListKind, targets: list[Target]) -> None:
        """News of the list."""
        if self.subset is None:
            self._show(kind, targets)
        else:
            mine = [t for t in targets if self.has(t) or self.subset.knows(t.entry.worker)]
            self.subset.on_update(kind, [t if self.has(t) else _gone(t) for t in mine])

    def _show(self, kind: i.ListKind, targets: list[Target]) -> None:
        """What the pool serves by; connections to what left go last."""
        whole = kind is i.ListKind.REPLACE
        entries = [entry for target in targets if (entry := self._entry_of(target)) is not None]
        if whole:
            entries = [entry for entry in entries if entry.health is not i.Health.GONE]
        before = self.states
        self.states = ({} if whole else before) | {entry.worker: entry.health for entry in entries}
        gone = {worker for worker, health in self.states.items() if health is i.Health.GONE}
        gone |= before.keys() - self.states.keys()
        for worker in gone:
            self.states.pop(worker, None)
        if entries or whole:
            self.dispatcher.listed(kind, tuple(entries))
        for entry in entries:
            if entry.health is i.Health.DRAINING:
                self.connections.withdraw_from(entry.worker)
        for worker in gone:
            self.connections.remove(worker)

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
        states = list(self.states.values())
        return states.count(i.Health.READY), states.count(i.Health.DRAINING)

    def report(self) -> dict[str, object]:
        """Counters, and what it holds now."""
        ready, draining = self.counts
        held = {"owed": self.dispatcher.owed, "ready": ready, "draining": draining}
        held |= {
            "tries_out": len(self.connections.attempts),
            "peer_connections": len(self.connections.connections),
        }
        held |= self.subset.counts if self.subset is not None else {}
        return {"counters": dict(self.dispatcher.counters), "now": held}

    def close(self) -> None:
        """Give everything back."""
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
