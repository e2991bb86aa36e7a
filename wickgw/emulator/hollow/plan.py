"""What a hollow fleet is and what happens to it: plain data."""

import enum
from dataclasses import dataclass, field

from wickgw import interface as i


class FaultKind(enum.Enum):
    """What goes wrong."""

    RACK = "rack"  # some workers of one zone die, and come back cold
    ZONE = "zone"  # all workers of one zone fall silent, and come back cold
    REGION_SPLIT = "region split"  # dispatchers reach no worker of the other region
    MASS_RESTART = "mass restart"  # dispatchers are killed at once and start anew
    REPLACEMENT = "replacement"  # workers drain one after the other, and are replaced by cold ones


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; `size` is the share of what it strikes: of a zone, of all workers, of all dispatchers."""

    kind: FaultKind
    at_s: float
    lasts_s: float
    size: float = 1.0


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Sizes, load, delays and faults of one play."""

    dispatchers: int
    workers: int
    zones: int
    regions: int
    jobs_per_s: float
    mean_work_s: float  # of a job on a warm worker
    slots: int  # of each worker
    lasts_s: float
    classes: tuple[i.RequestClass, ...]
    faults: tuple[Fault, ...] = ()
    subsets: bool = False
    traffic_spread: float = 0.0  # sigma of the log-normal weights of the dispatchers' traffic
    cold_from: float = 0.2
    warm_after_s: float = 20.0
    overload_factor: float = 4.0
    fall_window_s: float = 1.0
    drain_grace_s: float = 2.0
    same_zone_s: float = 0.0003  # one way
    other_zone_s: float = 0.015
    connect_timeout_s: float = 0.25
    notice_s: tuple[float, float] = (0.5, 2.5)  # until the list has reached a dispatcher
    silent_notice_s: tuple[float, float] = (6.5, 13.0)  # until discovery takes a silent worker off the list
    crossing_fee: float = 0.03
    settings: dict[str, object] = field(default_factory=dict)  # further ones

    def zone_of(self, number: int) -> int:
        """The zone of the dispatcher or worker of this number."""
        return number % self.zones

    def region_of(self, zone: int) -> int:
        """The region of a zone."""
        return zone * self.regions // self.zones

    def settings_of(self, zone: int) -> i.Settings:
        """What a dispatcher of a zone is told at its start."""
        told: dict[str, object] = {
            "classes": self.classes,
            "dispatchers": self.dispatchers,
            "zone": zone,
            "zones": tuple(f"zone-{n}" for n in range(self.zones)),
            "drain_grace": self.drain_grace_s,
            "reports_start": True,
            "connect_timeout": self.connect_timeout_s,
            "cross_zone_fee": self.crossing_fee,
            "initial_capacity": self.cold_from,
            "warmup_time": self.warm_after_s,
            "max_attempts": 6,
            "idle_timeout": 10.0,
        }
        return i.Settings(**(told | self.settings))  # type: ignore[arg-type]
