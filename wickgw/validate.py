"""Validation of settings before a balancer starts with them."""

import math

from wickgw import interface as i


def check_settings(settings: i.Settings) -> None:
    """Check that each setting is within its range.

    Raises:
        ValueError: a setting is out of range; the message names the first such field.
    """
    s = settings
    out_of_range = {
        "classes": not s.classes,
        "classes.latency_target": any(
            not 0 < request_class.latency_target < math.inf for request_class in s.classes
        ),
        "classes.deadline": any(not 0 < request_class.deadline < math.inf for request_class in s.classes),
        "classes.dedup_window": any(not request_class.dedup_window >= 0 for request_class in s.classes),
        "classes.worth": any(not 0 <= request_class.worth < math.inf for request_class in s.classes),
        "tenants.quota": any(not tenant.quota >= 0 for tenant in s.tenants),
        "dispatchers": s.dispatchers < 1,
        "ask_within": not s.ask_within > 0,
        "drain_grace": not s.drain_grace >= 0,
        "max_attempts": s.max_attempts < 1,
        "idle_timeout": not s.idle_timeout > 0,
        "progress_interval": not s.progress_interval >= 0,
        "initial_capacity": not 0 < s.initial_capacity <= 1,
        "connect_timeout": not 0 < s.connect_timeout < math.inf,
        "max_retry_after": not s.max_retry_after >= 0,
        "warmup_time": not s.warmup_time >= 0,
    }
    for name, invalid in out_of_range.items():
        if invalid:
            raise ValueError(f"invalid setting: {name}")
