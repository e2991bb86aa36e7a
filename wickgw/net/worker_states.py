"""The state of each listed worker of a pool, with the counts that routes ask for at each request."""

from collections import Counter

from wickgw import interface as i


class WorkerStates:
    """Ready and draining workers by name."""

    def __init__(self) -> None:
        self._health: dict[str, i.Health] = {}
        self._counts: Counter[i.Health] = Counter()

    def __contains__(self, worker: str) -> bool:
        """Whether it is listed."""
        return worker in self._health

    def __len__(self) -> int:
        """How many are listed."""
        return len(self._health)

    def update(self, worker: str, health: i.Health) -> None:
        """A worker is listed with this state; one that is gone is forgotten."""
        self.remove(worker)
        if health is not i.Health.GONE:
            self._health[worker] = health
            self._counts[health] += 1

    def remove(self, worker: str) -> None:
        """A worker is not listed."""
        if (old := self._health.pop(worker, None)) is not None:
            self._counts[old] -= 1

    def missing(self, listed: set[str]) -> set[str]:
        """Workers that are known and not among these."""
        return self._health.keys() - listed

    @property
    def ready(self) -> int:
        """How many are ready."""
        return self._counts[i.Health.READY]

    @property
    def draining(self) -> int:
        """How many drain."""
        return self._counts[i.Health.DRAINING]
