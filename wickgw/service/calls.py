"""Calls on the second address: one line in, one line out, whatever the callers do.

Owns the framing of a call, the bounds on callers (bytes, count, time) and the choice of whom to let go when
there are too many. It answers what it can tell from the bytes alone (too long, unknown, never whole) and
hands a whole call to its driver, which asks the node and writes `ACK ...` or `NAK ...`. It must never do
I/O, read a clock, log, or wait for a caller: time comes in with each event.

A caller's life:

    state      event                       next       action
    waiting    bytes without a newline     waiting    -                     (NAK once past LONGEST)
    waiting    a newline                   answered   Call or Refuse
    waiting    its deadline                answered   Refuse "not whole"
    answered   bytes                       answered   - (thrown away: one call a connection)
    answered   its linger ends             gone       Drop
    any        gone (closed by the caller) gone       -
"""

import enum
from collections import OrderedDict
from dataclasses import dataclass

LONGEST = 64  # bytes of a call with its newline: the longest is 7; more is not a call
ANSWER_WITHIN = 0.8  # seconds from connecting to an answer: 1 s is due, and the loop may be busy
LINGER = 2.0  # seconds that an answered caller may take to read and go, before it is let go


class Call(enum.Enum):
    """What operators may call."""

    STATUS = "STATUS"  # whether this process can serve
    PAUSE = "PAUSE"  # send clients away
    RESUME = "RESUME"  # take clients again


@dataclass(frozen=True, slots=True)
class Opened:
    caller: int


@dataclass(frozen=True, slots=True)
class Read:
    caller: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Gone:
    caller: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = Opened | Read | Gone | Tick


@dataclass(frozen=True, slots=True)
class Ask:
    """A whole call: the driver carries it out and answers with what the node says."""

    caller: int
    call: Call


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer `NAK reason` without asking anybody."""

    caller: int
    reason: str


@dataclass(frozen=True, slots=True)
class Drop:
    """Close the connection now; it is owed nothing."""

    caller: int


Action = Ask | Refuse | Drop


@dataclass(slots=True)
class _Caller:
    due: float  # when it must have its answer, or, once answered, when it is let go
    answered: bool = False
    held: bytes = b""


class Calls:
    """All callers of the second address."""

    def __init__(self, most: int) -> None:
        self.most = most  # callers held at once
        self.callers: OrderedDict[int, _Caller] = OrderedDict()  # oldest first
        self.counters = {"calls": 0, "calls.refused": 0, "callers.dropped": 0}

    def next_due(self) -> float | None:
        """When a Tick is wanted next, if ever."""
        return min((c.due for c in self.callers.values()), default=None)

    def handle(self, event: Event, now: float) -> list[Action]:
        """What to do about an event."""
        actions: list[Action] = []
        if isinstance(event, Opened):
            if len(self.callers) >= self.most:
                actions.append(self._let_go())
            self.callers[event.caller] = _Caller(now + ANSWER_WITHIN)
        elif isinstance(event, Read):
            caller = self.callers.get(event.caller)
            if caller is not None and not caller.answered:
                actions += self._read(event.caller, caller, event.data, now)
        elif isinstance(event, Gone):
            self.callers.pop(event.caller, None)
        for name, caller in list(self.callers.items()):
            if caller.due > now:
                continue
            if caller.answered:
                del self.callers[name]
                self.counters["callers.dropped"] += 1
                actions.append(Drop(name))
            else:
                actions.append(self._answer(name, caller, now, Refuse(name, "not whole in time")))
        return actions

    def _read(self, name: int, caller: _Caller, data: bytes, now: float) -> list[Action]:
        caller.held += data[: LONGEST + 1 - len(caller.held)]  # a caller that sends on and on is not kept
        line, newline, _ = caller.held.partition(b"\n")
        if not newline:
            if len(caller.held) > LONGEST:
                return [self._answer(name, caller, now, Refuse(name, "too long"))]
            return []
        # What follows the first line is thrown away: one call a connection, and a second one is not read.
        text = line.removesuffix(b"\r").decode("ascii", "replace").strip(" \t")
        try:
            call = Call(text)
        except ValueError:
            return [self._answer(name, caller, now, Refuse(name, "unknown call; STATUS, PAUSE or RESUME"))]
        return [self._answer(name, caller, now, Ask(name, call))]

    def _answer(self, name: int, caller: _Caller, now: float, action: Ask | Refuse) -> Ask | Refuse:
        caller.answered, caller.held, caller.due = True, b"", now + LINGER
        self.callers.move_to_end(name)
        self.counters["calls" if isinstance(action, Ask) else "calls.refused"] += 1
        return action

    def _let_go(self) -> Drop:
        """Room for a new caller: one that has its answer goes first, else the one that waited longest. A
        caller that has sent nothing whole for longest is the likeliest to be one that never will."""
        name = next((n for n, c in self.callers.items() if c.answered), next(iter(self.callers)))
        del self.callers[name]
        self.counters["callers.dropped"] += 1
        return Drop(name)
