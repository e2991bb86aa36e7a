"""The simulator's wire: JSON lines to events, actions to JSON lines. It decides nothing.

Each dispatcher that the simulator names is a Balancer of its own; they share nothing but this process.
"""

import json
import math
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import IO, Any

from wickgw import interface as i
from wickgw.balance import Balancer

NS = 1e-9
MOST_FREE = 1e6  # slots that a load report may call free: more is nonsense
Json = dict[str, Any]
EFFECTS = {
    "read_like": i.Effect.SAFE,
    "idempotency_key": i.Effect.KEYED,
    "non_idempotent": i.Effect.UNSAFE,
}


class WireError(Exception):
    """A line or message that the protocol does not know."""


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


def _hint(m: Json) -> i.Event | None:
    topic = m.get("topic", 0)
    if topic == 1:
        return i.Started(m["corr"], m.get("hop", 0))
    return i.Progress(m["corr"], m.get("hop", 0), read_share(m.get("amount"))) if topic == 2 else None


READ: dict[str, Callable[[Json], i.Event | None]] = {
    "ORDER": lambda m: i.Arrival(
        m["corr"], m.get("class", 0), m["patience-left-ns"] * NS, m.get("owner", 0), m.get("slots", 1.0)
    ),
    "LEFT": lambda m: i.ClientLeft(m["corr"]),
    "HEAD_RECEIVED": lambda m: i.StreamBegan(m["corr"], m.get("hop", 0)),
    "TIMER": lambda m: i.Timer(m["ctx"]),
    "RESOLVED": lambda m: i.Outcome(
        m["corr"], m.get("hop", 0), i.Verdict(m["verdict"]), m.get("over", False)
    ),
    "HINT_UPDATE": _hint,
    "WHISPER": lambda m: None,  # nothing is told to peers
    "CHECK_RESULT": lambda m: None,  # nor probed
}  # fmt: skip


def write_action(a: i.Action, advise: bool = False) -> Json:
    """An action as the wire says it; the advice of a refusal only where the settings allow it."""
    match a:
        case i.Send(request, worker, timeout):
            attempt: Json = {"corr": request, "worker": worker}
            return {"ATTEMPT": attempt | ({"within-ns": round(timeout / NS)} if timeout else {})}
        case i.Wake(name, after):
            return {"WAKE_ME": {"ctx": name, "from-now-ns": round(after / NS)}}
        case i.Cancel(request, number):
            return {"RECALL": {"corr": request, "hop": number}}
        case i.Close(worker):
            return {"RELEASE": {"worker": worker}}
        case i.Refuse(request, after):
            advice = {"not-before-for-ns": round(after / NS)} if advise and after else {}
            return {"OVERLOAD_REPLY": {"corr": request} | advice}
        case i.Fail(request):
            return {"SURRENDER": {"corr": request}}
        case i.Subscribe():
            return {"STREAM_CHANGES": {"want": True}}


class Host:
    """The instances of one process, each apart, and the numbered lists that their events refer to."""

    def __init__(self) -> None:
        self.instances: dict[str, Balancer] = {}
        self.pages: dict[int, tuple[i.Entry, ...]] = {}

    def message(self, instance: str, name: str, m: Json, now: float) -> list[i.Action]:
        """One message for one instance, and the actions that answer it."""
        if name == "DEFINE_LIST":
            self.pages[m.get("page", 0)] = tuple(read_entry(e) for e in m.get("entries") or ())
            return []
        if name == "NEW_INSTANCE":
            self.instances[instance] = Balancer(read_settings(m["facts"]), m.get("salt", 0))
            return self.instances[instance].handle(i.Began(), now)
        if instance not in self.instances:
            raise WireError(f"{name} for unknown instance {instance!r}")
        if name == "RETIRE":
            del self.instances[instance]
            return []
        if name == "REGISTRY":
            kind = i.ListKind(m["how"])
            entries = () if kind is i.ListKind.UNAVAILABLE else self.pages[m.get("page", 0)]
            event: i.Event | None = i.WorkerList(kind, entries)
        elif name in READ:
            event = READ[name](m)
            if isinstance(event, i.Outcome) and m.get("usage"):
                event = replace(event, free=read_load(m["usage"], self.instances[instance].set.free_slots))
        else:
            raise WireError(f"unknown message {name!r}")
        return [] if event is None else self.instances[instance].handle(event, now)

    def batch(self, line: str) -> str:
        """The reply to one line of the wire."""
        try:
            batch = json.loads(line)
            now = batch["now-ns"] * NS
            parts = []
            for part in batch["parts"]:
                instance, done = part.get("dispatcher-id", ""), []
                for message in part.get("arrivals") or ():
                    ((name, fields),) = message.items()
                    actions = self.message(instance, name, fields, now)
                    advise = instance in self.instances and self.instances[instance].set.advise
                    done += [write_action(a, advise) for a in actions]
                if done:
                    parts.append({"dispatcher-id": instance, "do": done})
        except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
            raise WireError(
                f"malformed line ({type(error).__name__}: {error}): {line.strip()[:200]}"
            ) from error
        return json.dumps({"parts": parts}, separators=(",", ":"))


def main(source: IO[str] = sys.stdin, sink: IO[str] = sys.stdout) -> int:
    """Answer lines until the input ends."""
    host = Host()
    try:
        for line in source:
            sink.write(host.batch(line) + "\n")
            sink.flush()
    except WireError as error:
        print(f"wickgw.drill: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
