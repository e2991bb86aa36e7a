"""Refuses impossible settings by name, before a balancer starts on them."""

import math

from wickgw import interface as i


def check(settings: i.Settings) -> None:
    """Raise ValueError naming the first field that cannot be."""
    s = settings
    wrong = {
        "classes": not s.classes,
        "classes.aim": any(not 0 < c.aim < math.inf for c in s.classes),
        "classes.deadline": any(not 0 < c.deadline < math.inf for c in s.classes),
        "classes.window": any(not c.window >= 0 for c in s.classes),
        "classes.worth": any(not 0 <= c.worth < math.inf for c in s.classes),
        "tenants.quota": any(not t.quota >= 0 for t in s.tenants),
        "dispatchers": s.dispatchers < 1,
        "ask_within": not s.ask_within > 0,
        "drain_grace": not s.drain_grace >= 0,
        "max_attempts": s.max_attempts < 1,
        "idle_close": not s.idle_close > 0,
        "progress_every": not s.progress_every >= 0,
        "cold_from": not 0 < s.cold_from <= 1,
        "connect_timeout": not 0 < s.connect_timeout < math.inf,
        "most_after": not s.most_after >= 0,
        "warm_after": not s.warm_after >= 0,
    }
    for name, bad in wrong.items():
        if bad:
            raise ValueError(f"impossible setting: {name}")
