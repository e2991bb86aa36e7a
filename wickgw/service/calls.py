"""Calls on the management port: one line in, one line out.

Owns the framing of a call, the bounds on callers (bytes, number, time) and the choice of the caller to
disconnect when there are too many. Calls that are too long, unknown or incomplete are refused here. A valid
call goes to the driver, which has the node carry it out and writes `ACK ...` or `NAK ...`. This module does
no I/O, reads no clock and logs nothing; each event brings the current time.

The states of a caller:

    state      event                       next       action
    waiting    bytes without a newline     waiting    -           (Refuse beyond MAX_CALL_BYTES)
    waiting    a newline                   answered   Execute or Refuse
    waiting    deadline                    answered   Refuse "not whole in time"
    answered   bytes                       answered   -           (ignored: one call per connection)
    answered   end of LINGER_S             gone       Drop
    any        closed by the caller        gone       -
"""

import enum
from collections import OrderedDict
from dataclasses import dataclass

MAX_CALL_BYTES = 64  # of a call with its newline; the longest valid call has 7
ANSWER_TIMEOUT_S = 0.8  # from connecting to an answer: 1 s is allowed, and the loop may be busy
LINGER_S = 2.0  # time for an answered caller to read its answer and close; then it is disconnected


class Call(enum.Enum):
    """The calls of operators."""

    STATUS = "STATUS"  # report whether this process can serve
    PAUSE = "PAUSE"  # move clients to other dispatchers
    RESUME = "RESUME"  # accept clients again


@dataclass(frozen=True, slots=True)
class Opened:
    """A caller has connected."""

    caller: int


@dataclass(frozen=True, slots=True)
class Read:
    """Bytes of a caller have arrived."""

    caller: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Closed:
    """A caller has disconnected."""

    caller: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; deadlines of callers may have expired."""


Event = Opened | Read | Closed | Tick


@dataclass(frozen=True, slots=True)
class Execute:
    """A valid call. The driver has the node carry it out and sends the node's answer."""

    caller: int
    call: Call


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer `NAK reason` without the node."""

    caller: int
    reason: str


@dataclass(frozen=True, slots=True)
class Drop:
    """Close the connection now; the caller has had its answer, or makes room for another."""

    caller: int


Action = Execute | Refuse | Drop


@dataclass(slots=True)
class _Caller:
    """The state of one caller."""

    deadline: float  # for the answer or, once answered, for the caller to close
    answered: bool = False
    received: bytes = b""


class Calls:
    """All callers of the management port."""

    def __init__(self, max_callers: int) -> None:
        """`max_callers` is the number of callers that may be connected at once."""
        self.max_callers = max_callers
        self.callers: OrderedDict[int, _Caller] = OrderedDict()  # oldest first
        self.counters = {"calls": 0, "calls.refused": 0, "callers.dropped": 0}

    def next_deadline(self) -> float | None:
        """Return the time in seconds at which the next Tick is due; None if there are no callers."""
        return min((caller.deadline for caller in self.callers.values()), default=None)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Return the actions that an event leads to."""
        actions: list[Action] = []
        if isinstance(event, Opened):
            if len(self.callers) >= self.max_callers:
                actions.append(self._evict())
            self.callers[event.caller] = _Caller(now + ANSWER_TIMEOUT_S)
        elif isinstance(event, Read):
            caller = self.callers.get(event.caller)
            if caller is not None and not caller.answered:
                actions += self._read(event.caller, caller, event.data, now)
        elif isinstance(event, Closed):
            self.callers.pop(event.caller, None)
        for caller_id, caller in list(self.callers.items()):
            if caller.deadline > now:
                continue
            if caller.answered:
                del self.callers[caller_id]
                self.counters["callers.dropped"] += 1
                actions.append(Drop(caller_id))
            else:
                actions.append(self._answer(caller_id, caller, now, Refuse(caller_id, "not whole in time")))
        return actions

    def _read(self, caller_id: int, caller: _Caller, data: bytes, now: float) -> list[Action]:
        """Add received bytes to a call, and answer the call once it is complete or too long."""
        # Input beyond the longest call is dropped, so that no caller can make the process store more.
        caller.received += data[: MAX_CALL_BYTES + 1 - len(caller.received)]
        line, newline, _ = caller.received.partition(b"\n")
        if not newline:
            if len(caller.received) > MAX_CALL_BYTES:
                return [self._answer(caller_id, caller, now, Refuse(caller_id, "too long"))]
            return []
        # The rest after the first line is ignored: one call per connection.
        text = line.removesuffix(b"\r").decode("ascii", "replace").strip(" \t")
        try:
            call = Call(text)
        except ValueError:
            return [
                self._answer(
                    caller_id, caller, now, Refuse(caller_id, "unknown call; STATUS, PAUSE or RESUME")
                )
            ]
        return [self._answer(caller_id, caller, now, Execute(caller_id, call))]

    def _answer(
        self, caller_id: int, caller: _Caller, now: float, action: Execute | Refuse
    ) -> Execute | Refuse:
        """Mark a caller as answered, count the answer and return its action."""
        caller.answered, caller.received, caller.deadline = True, b"", now + LINGER_S
        self.callers.move_to_end(caller_id)
        self.counters["calls" if isinstance(action, Execute) else "calls.refused"] += 1
        return action

    def _evict(self) -> Drop:
        """Make room for a new caller.

        An answered caller goes first, otherwise the one that has waited longest: a caller that has sent no
        complete call for the longest time is the least likely to send one.
        """
        caller_id = next(
            (candidate for candidate, caller in self.callers.items() if caller.answered),
            next(iter(self.callers)),
        )
        del self.callers[caller_id]
        self.counters["callers.dropped"] += 1
        return Drop(caller_id)
