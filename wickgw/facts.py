"""What the platform tells, as plain data: settings, entries of a list, load reports, progress.

Owns the one reader of the settings, which serves the simulator's wire and the sockets alike. It must never
import the decisions: a process reads its configuration, and listens, before they are there.
"""

import math
from typing import Any

from wickgw import interface as i

NS = 1e-9
MOST_FREE = 1e6  # slots that a load report may call free: more is nonsense
Json = dict[str, Any]
EFFECTS = {
    "read_like": i.Effect.SAFE,
    "idempotency_key": i.Effect.KEYED,
    "non_idempotent": i.Effect.UNSAFE,
}


def read_settings(facts: Json) -> i.Settings:
    """The wire's facts as settings; keys that are unknown are passed over, absent ones take defaults."""
    bounds, rules = facts.get("bounds", {}), facts.get("rules", {})
    family = facts.get("family-info", {})
    stretches = family.get("class-stretch", [])
    classes = tuple(
        i.RequestClass(
            name=c.get("name", str(k)),
            aim=c["target-ns"] * NS,
            deadline=c["hard-limit-ns"] * NS,
            worth=c.get("worth", 1.0),
            late_worth=c.get("late-worth", 0.0),
            stretch=c.get("aim-stretch", stretches[k] if k < len(stretches) else 0.0),
            effect=EFFECTS[c["idempotency"]],
            group=i.Group(c.get("group") or "all"),
            window=c.get("window-ns", 0) * NS,
        )
        for k, c in enumerate(facts["services"])
    )
    tenants = tuple(
        i.Tenant(t.get("name", ""), t.get("quota-per-s", 0.0)) for t in facts.get("parties") or ()
    )
    return i.Settings(
        classes=classes,
        tenants=tenants,
        dispatchers=facts.get("siblings", 1),
        zone=facts.get("zone", 0),
        zones=tuple(facts.get("zones") or ()),
        ask_for_list=facts.get("discovery") == "ask",
        ask_within=rules.get("ask-within-ns", 10 / NS) * NS,
        drain_grace=rules.get("drain-grace-ns", 2 / NS) * NS,
        tells_start=family.get("tells-start", False),
        progress_every=family.get("progress-ns", 0) * NS,
        idle_close=bounds.get("conn-idle-ns", 60 / NS) * NS,
        connect_timeout=bounds.get("connect-timeout-ns", 0.25 / NS) * NS,
        advise=bounds.get("retry-after", False),
        most_after=bounds.get("max-retry-after-ns", 2 / NS) * NS,
        max_attempts=bounds.get("attempts-cap", 1),
        may_cancel=bounds.get("cancel", False),
        may_copy=bounds.get("second-copies", False),
        handshake_fee=facts.get("fees", {}).get("handshake", 0.0),
        crossing_fee=facts.get("fees", {}).get("cross-zone", 0.0),
        over_share_worth=facts.get("over-share-worth", 1.0),
        free_slots=_free_slots(facts),
        worth_by_work=facts.get("counted-by") == "work",
        cold_from=rules.get("cold-from", 1.0),
        warm_after=rules.get("warm-after-ns", 0) * NS,
    )


def _free_slots(facts: Json) -> str:
    """The field of load reports that tells free slots; empty where there are no reports, or none tells it."""
    reporting, family = facts.get("reporting") or {}, facts.get("family-info") or {}
    if reporting.get("source", "silent") == "silent":
        return ""
    fields = reporting.get("fields") or ()
    return next((f for f in fields if family.get(f"report-{f}") == "free slots"), "")


def _number(value: object) -> float:
    """A number of JSON; NaN if it is none."""
    return float(value) if isinstance(value, int | float) and not isinstance(value, bool) else math.nan


def read_load(load: object, field: str) -> float | None:
    """The free slots that a load report tells; None if it tells none, or nonsense."""
    if not field or not isinstance(load, dict):
        return None
    free = _number(load.get(field))
    return free if 0 <= free < MOST_FREE else None


def read_share(share: object) -> float:
    """How much of a job is done, of a progress note; 0 if that is not told, or nonsense."""
    done = _number(share)
    return done if 0 < done <= 1 else 0.0


def read_entry(e: Json) -> i.Entry:
    """One line of a list of workers."""
    since = e.get("online-since-ns") or None
    return i.Entry(
        worker=e["worker"],
        health=i.Health(e.get("health", "ready")),
        zone=e.get("hall", 0),
        cell=e.get("group", 0),
        since=None if since is None else since * NS,
        kind=str(e.get("model", "")),
    )
