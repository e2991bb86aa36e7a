"""The plan of a fleet simulation: sizes, load, delays and faults, as plain data."""

import enum
from dataclasses import dataclass, field

from wickgw import interface as i


class FaultKind(enum.Enum):
    """Kinds of faults."""

    RACK = "rack"  # some workers of one zone die and return cold
    ZONE = "zone"  # workers of one zone stop responding and return cold
    REGION_SPLIT = "region split"  # dispatchers cannot reach workers of the other region
    MASS_RESTART = "mass restart"  # dispatchers are killed at the same time and restart without state
    REPLACEMENT = "replacement"  # workers drain one after the other and are replaced by cold ones


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; `share` is the affected share of the zone, of all workers or of all dispatchers."""

    kind: FaultKind
    at_s: float
    duration_s: float
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Sizes, load, delays and faults of one simulation."""

    dispatchers: int
    workers: int
    zones: int
    regions: int
    jobs_per_s: float
    mean_work_s: float  # run time of a job on a warm worker
    slots: int  # of each worker
    duration_s: float  # of the arrivals
    classes: tuple[i.RequestClass, ...]
    faults: tuple[Fault, ...] = ()
    subsets: bool = False
    traffic_sigma: float = 0.0  # of the log-normal weights of the dispatchers' traffic
    cold_from: float = 0.2  # share of its capacity that a worker has when it starts
    warm_after_s: float = 20.0
    overload_factor: float = 4.0  # load that a cold worker survives, as a multiple of its capacity
    overload_window_s: float = 1.0  # over which that load is counted
    queue_limit: int | None = None  # jobs that may wait at a worker, which turns further ones away
    drain_grace_s: float = 2.0
    same_zone_latency_s: float = 0.0003  # one way
    other_zone_latency_s: float = 0.015  # one way
    connect_timeout_s: float = 0.25
    list_delay_s: tuple[float, float] = (0.5, 2.5)  # range, until a change has reached a dispatcher
    silence_detection_s: tuple[float, float] = (6.5, 13.0)  # range, until discovery removes a silent worker
    crossing_fee: float = 0.03  # of an attempt in another zone, as a share of a request's mean worth
    extra_settings: dict[str, object] = field(default_factory=dict)  # further fields of `Settings`

    def zone_of(self, number: int) -> int:
        """Return the zone of the dispatcher or worker with this number."""
        return number % self.zones

    def region_of(self, zone: int) -> int:
        """Return the region of a zone."""
        return zone * self.regions // self.zones

    def settings_of(self, zone: int) -> i.Settings:
        """Return the settings of a dispatcher in a zone."""
        settings: dict[str, object] = {
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
        return i.Settings(**(settings | self.extra_settings))  # type: ignore[arg-type]
