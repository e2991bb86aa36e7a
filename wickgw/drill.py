"""Adapter to the simulator: converts its JSON lines to events, and actions to JSON lines.

It reads lines from standard input and writes one answer per line to standard output. It makes no decisions.
Each line holds one batch of messages for any number of dispatchers. The simulator names the dispatchers; each
of them is a Balancer of its own, and they share nothing but the process.
"""

import json
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import IO

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.platform_data import (
    SECONDS_PER_NS,
    Json,
    read_entry,
    read_fraction_done,
    read_free_slots,
    read_settings,
)


class WireError(Exception):
    """A malformed line, or a message that the protocol does not define."""


def _read_hint(message: Json) -> i.Event | None:
    """Convert a HINT_UPDATE: topic 1 is a started job, topic 2 a progress report, others are ignored."""
    topic = message.get("topic", 0)
    if topic == 1:
        return i.Started(message["corr"], message.get("hop", 0))
    return (
        i.Progress(message["corr"], message.get("hop", 0), read_fraction_done(message.get("amount")))
        if topic == 2
        else None
    )


EVENT_READERS: dict[str, Callable[[Json], i.Event | None]] = {
    "ORDER": lambda message: i.Arrival(
        message["corr"],
        message.get("class", 0),
        message["patience-left-ns"] * SECONDS_PER_NS,
        message.get("owner", 0),
        message.get("slots", 1.0),
    ),
    "LEFT": lambda message: i.ClientLeft(message["corr"]),
    "HEAD_RECEIVED": lambda message: i.StreamBegan(message["corr"], message.get("hop", 0)),
    "TIMER": lambda message: i.Timer(message["ctx"]),
    "RESOLVED": lambda message: i.Outcome(
        message["corr"], message.get("hop", 0), i.Verdict(message["verdict"]), message.get("over", False)
    ),
    "HINT_UPDATE": _read_hint,
    "WHISPER": lambda message: None,  # dispatchers send nothing to each other
    "CHECK_RESULT": lambda message: None,  # workers are not probed
}  # fmt: skip


def write_action(action: i.Action, advise: bool = False) -> Json:
    """Convert an action to a message of the simulator.

    `advise`: whether a refusal includes its retry delay (Settings.advise_retry_after).
    """
    match action:
        case i.Send(request, worker, timeout):
            attempt: Json = {"corr": request, "worker": worker}
            return {"ATTEMPT": attempt | ({"within-ns": round(timeout / SECONDS_PER_NS)} if timeout else {})}
        case i.Wake(name, delay):
            return {"WAKE_ME": {"ctx": name, "from-now-ns": round(delay / SECONDS_PER_NS)}}
        case i.Cancel(request, number):
            return {"RECALL": {"corr": request, "hop": number}}
        case i.Close(worker):
            return {"RELEASE": {"worker": worker}}
        case i.Refuse(request, delay):
            advice = {"not-before-for-ns": round(delay / SECONDS_PER_NS)} if advise and delay else {}
            return {"OVERLOAD_REPLY": {"corr": request} | advice}
        case i.Fail(request):
            return {"SURRENDER": {"corr": request}}
        case i.Subscribe():
            return {"STREAM_CHANGES": {"want": True}}


class InstanceHost:
    """Holds the dispatchers of one process by name, and the numbered lists that their messages refer to."""

    def __init__(self) -> None:
        self.instances: dict[str, Balancer] = {}
        self.lists: dict[int, tuple[i.Entry, ...]] = {}

    def handle_message(self, instance: str, name: str, fields: Json, now: float) -> list[i.Action]:
        """Handle one message for one dispatcher and return the resulting actions.

        `now` is in seconds.

        Raises:
            WireError: the message or the dispatcher is unknown.
        """
        if name == "DEFINE_LIST":
            self.lists[fields.get("page", 0)] = tuple(
                read_entry(entry) for entry in fields.get("entries") or ()
            )
            return []
        if name == "NEW_INSTANCE":
            self.instances[instance] = Balancer(read_settings(fields["facts"]), fields.get("salt", 0))
            return self.instances[instance].handle(i.Began(), now)
        if instance not in self.instances:
            raise WireError(f"{name} for unknown instance {instance!r}")
        if name == "RETIRE":
            del self.instances[instance]
            return []
        if name == "REGISTRY":
            kind = i.ListKind(fields["how"])
            entries = () if kind is i.ListKind.UNAVAILABLE else self.lists[fields.get("page", 0)]
            event: i.Event | None = i.WorkerList(kind, entries)
        elif name in EVENT_READERS:
            event = EVENT_READERS[name](fields)
            if isinstance(event, i.Outcome) and fields.get("usage"):
                event = replace(
                    event,
                    free=read_free_slots(fields["usage"], self.instances[instance].settings.free_slots_field),
                )
        else:
            raise WireError(f"unknown message {name!r}")
        return [] if event is None else self.instances[instance].handle(event, now)

    def handle_line(self, line: str) -> str:
        """Handle one line and return the line that answers it.

        Raises:
            WireError: the line is malformed, or a message in it is unknown.
        """
        try:
            batch = json.loads(line)
            now = batch["now-ns"] * SECONDS_PER_NS
            parts = []
            for part in batch["parts"]:
                instance, replies = part.get("dispatcher-id", ""), []
                for message in part.get("arrivals") or ():
                    ((name, fields),) = message.items()
                    actions = self.handle_message(instance, name, fields, now)
                    advise = (
                        instance in self.instances and self.instances[instance].settings.advise_retry_after
                    )
                    replies += [write_action(action, advise) for action in actions]
                if replies:
                    parts.append({"dispatcher-id": instance, "do": replies})
        except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
            raise WireError(
                f"malformed line ({type(error).__name__}: {error}): {line.strip()[:200]}"
            ) from error
        return json.dumps({"parts": parts}, separators=(",", ":"))


def main(source: IO[str] = sys.stdin, sink: IO[str] = sys.stdout) -> int:
    """Answer lines until the input ends; return the exit status."""
    host = InstanceHost()
    try:
        for line in source:
            sink.write(host.handle_line(line) + "\n")
            sink.flush()
    except WireError as error:
        print(f"wickgw.drill: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
