"""Who of the group is alive: beats, suspicion, and its refutation by incarnation numbers.

Owns what is believed of each other instance. Theory (SWIM, Das and others 2002, section 4): an instance that
is not heard is suspected, and those who suspect say so; an instance that hears of a suspicion against itself
raises its incarnation number, and word of it with the higher number, brought by anybody, clears it. A slow or
one-way link thus makes no dead instance of a live one. Nothing here is trusted for safety: a wrong belief
can cost time, never a second holder, since leases need votes (`votes`). It must never read a clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, IntEnum

from wickgw.address.messages import Beat, View

SUSPECT_AFTER = 3.5  # beats without word
DEAD_AFTER = 8.0


class State(IntEnum):
    """What is believed of an instance."""

    DEAD = 0
    SUSPECTED = 1
    ALIVE = 2


class Cause(Enum):
    """Why a belief changes."""

    HEARD = "heard"  # itself, or newer word of it
    ACCUSED = "accused"  # another suspects it, and we have not heard it ourselves of late
    SILENT = "silent"  # for SUSPECT_AFTER beats
    GIVEN_UP = "given up"  # silent for DEAD_AFTER beats


TABLE: dict[tuple[State, Cause], State] = {
    (State.SUSPECTED, Cause.HEARD): State.ALIVE,
    (State.DEAD, Cause.HEARD): State.ALIVE,
    (State.ALIVE, Cause.ACCUSED): State.SUSPECTED,
    (State.ALIVE, Cause.SILENT): State.SUSPECTED,
    (State.SUSPECTED, Cause.GIVEN_UP): State.DEAD,
}


@dataclass(slots=True)
class Member:
    """One other instance, as it is seen from here."""

    name: str
    state: State = State.DEAD
    boot: int = 0
    count: int = 0
    heard: float = float("-inf")  # last word of it, by whatever way
    direct: float = float("-inf")  # last beat of its own
    since: float = float("-inf")  # of its state
    beat: Beat = field(default_factory=lambda: Beat(0, (), (), (), ()))


@dataclass(frozen=True, slots=True)
class Change:
    """A belief that changed."""

    member: str
    old: State
    new: State
    cause: Cause
    lasted: float  # seconds that the old one held


class Membership:
    """All other instances of the group, and our own incarnation number."""

    def __init__(self, me: str, members: Iterable[str], beat: float) -> None:
        self.me, self.beat = me, beat
        self.others = {name: Member(name) for name in members if name != me}
        self.boot = self.count = 0
        self.refuted = 0  # suspicions of ourselves that we answered

    def heard(self, sender: str, boot: int, beat: Beat, now: float) -> list[Change]:
        """A beat came. Beats of an earlier life of their sender say nothing."""
        member = self.others[sender]
        if boot < member.boot or (boot == member.boot and beat.count < member.count):
            return []
        member.boot, member.count, member.beat = boot, beat.count, beat
        member.heard = member.direct = now
        changes = self._turn(member, Cause.HEARD, now) if member.state is not State.ALIVE else []
        for view in beat.views:
            if view.name == self.me:
                self._answer_suspicion(view)
            elif view.name in self.others:
                changes += self._rumour(self.others[view.name], view, now)
        return changes

    def _answer_suspicion(self, view: View) -> None:
        if view.state != State.ALIVE and view.boot == self.boot and view.count >= self.count:
            self.count = view.count + 1
            self.refuted += 1

    def _rumour(self, member: Member, view: View, now: float) -> list[Change]:
        told, known = (view.boot, view.count), (member.boot, member.count)
        if view.state == State.ALIVE:
            # Of a suspected one only newer word counts, else an old rumour would keep the dead alive.
            if told < known or (told == known and member.state is not State.ALIVE):
                return []
            member.boot, member.count = told
            member.heard = max(member.heard, now - view.age_ms / 1000)
            silent = now - member.heard > SUSPECT_AFTER * self.beat
            return [] if silent or member.state is State.ALIVE else self._turn(member, Cause.HEARD, now)
        fresh = now - member.direct <= SUSPECT_AFTER * self.beat
        if told >= known and not fresh and member.state is State.ALIVE:
            return self._turn(member, Cause.ACCUSED, now)
        return []

    def tick(self, now: float) -> list[Change]:
        """Time has passed."""
        changes = []
        for member in self.others.values():
            silent = (now - member.heard) / self.beat
            if member.state is State.ALIVE and silent > SUSPECT_AFTER:
                changes += self._turn(member, Cause.SILENT, now)
            if member.state is State.SUSPECTED and silent > DEAD_AFTER:
                changes += self._turn(member, Cause.GIVEN_UP, now)
        return changes

    def _turn(self, member: Member, cause: Cause, now: float) -> list[Change]:
        old, new = member.state, TABLE[member.state, cause]
        change = Change(member.name, old, new, cause, now - member.since)
        member.state, member.since = new, now
        return [change]

    def views(self, now: float) -> tuple[View, ...]:
        """What our beats say of the others."""
        return tuple(
            View(m.name, m.boot, m.count, int(m.state), min(int((now - m.heard) * 1000), 1 << 30))
            for m in self.others.values()
            if m.boot
        )

    def near(self, now: float) -> list[str]:
        """The others that we hear ourselves."""
        since = now - SUSPECT_AFTER * self.beat
        return [m.name for m in self.others.values() if m.direct >= since and m.state is State.ALIVE]
