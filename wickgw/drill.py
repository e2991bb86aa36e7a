"""The simulator's wire: JSON lines to events, actions to JSON lines. It decides nothing, and reads
the settings by the reader that the sockets use too.

Each dispatcher that the simulator names is a Balancer of its own; they share nothing but this process.
"""

import json
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import IO

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.facts import NS, Json, read_entry, read_load, read_settings, read_share


class WireError(Exception):
    """A line or message that the protocol does not know."""


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
