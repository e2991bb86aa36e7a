"""The state of each listed worker of a pool, and the counts that routes need for each request."""

from collections import Counter

from wickgw import interface as i


class WorkerStates:
    """Ready and draining workers by name."""

    def __init__(self) -> None:
        self._health: dict[str, i.Health] = {}
        self._counts: Counter[i.Health] = Counter()

    def __contains__(self, worker: str) -> bool:
        """Return whether a worker is listed."""
        return worker in self._health

    def __len__(self) -> int:
        """Return the number of listed workers."""
        return len(self._health)

    def update(self, worker: str, health: i.Health) -> None:
        """Set the state of a worker. One in state GONE is removed."""
        self.remove(worker)
        if health is not i.Health.GONE:
            self._health[worker] = health
            self._counts[health] += 1

    def remove(self, worker: str) -> None:
        """Remove a worker that is no longer listed."""
        if (old := self._health.pop(worker, None)) is not None:
            self._counts[old] -= 1

    def missing(self, listed: set[str]) -> set[str]:
        """Return the known workers that are not in `listed`."""
        return self._health.keys() - listed

    @property
    def ready(self) -> int:
        """The number of ready workers."""
        return self._counts[i.Health.READY]

    @property
    def draining(self) -> int:
        """The number of draining workers."""
        return self._counts[i.Health.DRAINING]
