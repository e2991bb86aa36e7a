"""Reads the platform's JSON data: settings, entries of the list, load reports and progress.

The simulator adapter and the serving process share these functions. They return the types of
`wickgw.interface`. This module does not import the balancer, because a process reads its configuration and
listens before it loads the balancer.
"""

import math
from typing import Any

from wickgw import interface as i

SECONDS_PER_NS = 1e-9
MAX_FREE_SLOTS = 1e6  # a load report with more free slots than this is invalid
Json = dict[str, Any]
IDEMPOTENCY_BY_NAME = {
    "read_like": i.Idempotency.SAFE,
    "idempotency_key": i.Idempotency.KEYED,
    "non_idempotent": i.Idempotency.UNSAFE,
}


def read_settings(facts: Json) -> i.Settings:
    """Convert the platform's configuration to Settings.

    Unknown keys are ignored. Absent optional keys take defaults.

    Raises:
        KeyError: a required key is missing, or `idempotency` has an unknown value.
        ValueError: `group` of a class has an unknown value.
    """
    bounds, rules = facts.get("bounds", {}), facts.get("rules", {})
    family = facts.get("family-info", {})
    stretches = family.get("class-stretch", [])
    classes = tuple(
        i.RequestClass(
            name=request_class.get("name", str(index)),
            latency_target=request_class["target-ns"] * SECONDS_PER_NS,
            deadline=request_class["hard-limit-ns"] * SECONDS_PER_NS,
            worth=request_class.get("worth", 1.0),
            late_worth=request_class.get("late-worth", 0.0),
            stretch=request_class.get("aim-stretch", stretches[index] if index < len(stretches) else 0.0),
            idempotency=IDEMPOTENCY_BY_NAME[request_class["idempotency"]],
            dedup_scope=i.DedupScope(request_class.get("group") or "all"),
            dedup_window=request_class.get("window-ns", 0) * SECONDS_PER_NS,
        )
        for index, request_class in enumerate(facts["services"])
    )
    tenants = tuple(
        i.Tenant(party.get("name", ""), party.get("quota-per-s", 0.0)) for party in facts.get("parties") or ()
    )
    return i.Settings(
        classes=classes,
        tenants=tenants,
        dispatchers=facts.get("siblings", 1),
        zone=facts.get("zone", 0),
        zones=tuple(facts.get("zones") or ()),
        ask_for_list=facts.get("discovery") == "ask",
        ask_within=rules.get("ask-within-ns", 10 / SECONDS_PER_NS) * SECONDS_PER_NS,
        drain_grace=rules.get("drain-grace-ns", 2 / SECONDS_PER_NS) * SECONDS_PER_NS,
        reports_start=family.get("tells-start", False),
        progress_interval=family.get("progress-ns", 0) * SECONDS_PER_NS,
        idle_timeout=bounds.get("conn-idle-ns", 60 / SECONDS_PER_NS) * SECONDS_PER_NS,
        connect_timeout=bounds.get("connect-timeout-ns", 0.25 / SECONDS_PER_NS) * SECONDS_PER_NS,
        advise_retry_after=bounds.get("retry-after", False),
        max_retry_after=bounds.get("max-retry-after-ns", 2 / SECONDS_PER_NS) * SECONDS_PER_NS,
        max_attempts=bounds.get("attempts-cap", 1),
        may_cancel=bounds.get("cancel", False),
        may_hedge=bounds.get("second-copies", False),
        handshake_fee=facts.get("fees", {}).get("handshake", 0.0),
        cross_zone_fee=facts.get("fees", {}).get("cross-zone", 0.0),
        over_share_worth=facts.get("over-share-worth", 1.0),
        free_slots_field=_free_slots_field(facts),
        worth_per_work=facts.get("counted-by") == "work",
        initial_capacity=rules.get("cold-from", 1.0),
        warmup_time=rules.get("warm-after-ns", 0) * SECONDS_PER_NS,
    )


def _free_slots_field(facts: Json) -> str:
    """Return the field of load reports with the free slots; empty without reports or without such a field."""
    reporting, family = facts.get("reporting") or {}, facts.get("family-info") or {}
    if reporting.get("source", "silent") == "silent":
        return ""
    fields = reporting.get("fields") or ()
    return next((field for field in fields if family.get(f"report-{field}") == "free slots"), "")


def _to_number(value: object) -> float:
    """Convert a JSON value to a float; NaN if the value is not a number."""
    return float(value) if isinstance(value, int | float) and not isinstance(value, bool) else math.nan


def read_free_slots(load: object, field: str) -> float | None:
    """Return the free slots in a load report; None if the value is missing or invalid."""
    if not field or not isinstance(load, dict):
        return None
    free = _to_number(load.get(field))
    return free if 0 <= free < MAX_FREE_SLOTS else None


def read_fraction_done(share: object) -> float:
    """Return the fraction of a job that a progress report calls done; 0 if it is missing or invalid."""
    done = _to_number(share)
    return done if 0 < done <= 1 else 0.0


def read_entry(entry: Json) -> i.Entry:
    """Convert one entry of a list of workers.

    Raises:
        KeyError: the worker's name is missing.
        ValueError: the health value is unknown.
    """
    since = entry.get("online-since-ns") or None
    return i.Entry(
        worker=entry["worker"],
        health=i.Health(entry.get("health", "ready")),
        zone=entry.get("hall", 0),
        cell=entry.get("group", 0),
        since=None if since is None else since * SECONDS_PER_NS,
        machine_type=str(entry.get("model", "")),
    )
