"""Failure detection: which instances of the group are alive.

Keeps the believed state of every other instance. Heartbeats carry the sender's views, and suspicion and
refutation follow SWIM (Das and others 2002, section 4): an instance that is not heard is suspected, and those
that suspect it say so in their heartbeats. An instance that learns of a suspicion against itself raises its
incarnation number. A view with the higher number, from any sender, clears the suspicion, so a slow or one-way
link does not make a live instance appear dead.

Safety does not depend on this module: a lease needs votes (`votes`), so a wrong state can cost time but never
lead to a second holder. Times are passed in; the module reads no clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, IntEnum

from wickgw.address.messages import Beat, View

SUSPECT_AFTER_HEARTBEATS = 3.5  # heartbeat intervals without news
DEAD_AFTER_HEARTBEATS = 8.0


class MemberState(IntEnum):
    """The believed state of an instance; the number is part of the protocol."""

    DEAD = 0
    SUSPECTED = 1
    ALIVE = 2


class Cause(Enum):
    """Why the state of an instance changes."""

    HEARD = "heard"  # a heartbeat of the instance itself, or newer news of it
    ACCUSED = "accused"  # another instance suspects it, and we have not heard it directly of late
    SILENT = "silent"  # no news for SUSPECT_AFTER_HEARTBEATS
    GIVEN_UP = "given up"  # no news for DEAD_AFTER_HEARTBEATS


TRANSITIONS: dict[tuple[MemberState, Cause], MemberState] = {
    (MemberState.SUSPECTED, Cause.HEARD): MemberState.ALIVE,
    (MemberState.DEAD, Cause.HEARD): MemberState.ALIVE,
    (MemberState.ALIVE, Cause.ACCUSED): MemberState.SUSPECTED,
    (MemberState.ALIVE, Cause.SILENT): MemberState.SUSPECTED,
    (MemberState.SUSPECTED, Cause.GIVEN_UP): MemberState.DEAD,
}


@dataclass(slots=True)
class Member:
    """What this instance knows of one other instance. Times are seconds on this instance's clock."""

    name: str
    state: MemberState = MemberState.DEAD
    boot: int = 0  # process start: Unix microseconds
    incarnation: int = 0
    last_heard: float = float("-inf")  # latest news of it, from itself or through others
    last_heartbeat_at: float = float("-inf")  # arrival of its own latest heartbeat
    state_since: float = float("-inf")
    last_heartbeat: Beat = field(default_factory=lambda: Beat(0, (), (), (), ()))


@dataclass(frozen=True, slots=True)
class StateChange:
    """A change of a member's believed state."""

    member: str
    old_state: MemberState
    new_state: MemberState
    cause: Cause
    lasted_s: float  # time spent in the old state


class Membership:
    """All other instances of the group, and this instance's own incarnation number."""

    def __init__(self, instance: str, members: Iterable[str], heartbeat_s: float) -> None:
        self.instance, self.heartbeat_s = instance, heartbeat_s
        self.others = {name: Member(name) for name in members if name != instance}
        self.boot = self.incarnation = 0
        self.refutations = 0  # suspicions against this instance that were refuted

    def on_heartbeat(self, sender: str, boot: int, heartbeat: Beat, now: float) -> list[StateChange]:
        """Process a heartbeat and the views in it. Ignores heartbeats of an earlier start of the sender."""
        member = self.others[sender]
        if boot < member.boot or (boot == member.boot and heartbeat.count < member.incarnation):
            return []
        member.boot, member.incarnation, member.last_heartbeat = boot, heartbeat.count, heartbeat
        member.last_heard = member.last_heartbeat_at = now
        changes = self._transition(member, Cause.HEARD, now) if member.state is not MemberState.ALIVE else []
        for view in heartbeat.views:
            if view.name == self.instance:
                self._refute_suspicion(view)
            elif view.name in self.others:
                changes += self._on_view(self.others[view.name], view, now)
        return changes

    def _refute_suspicion(self, view: View) -> None:
        """Raise the own incarnation number if `view` suspects this instance in its current incarnation."""
        if view.state != MemberState.ALIVE and view.boot == self.boot and view.count >= self.incarnation:
            self.incarnation = view.count + 1
            self.refutations += 1

    def _on_view(self, member: Member, view: View, now: float) -> list[StateChange]:
        """Process another instance's view of `member`."""
        viewed, known = (view.boot, view.count), (member.boot, member.incarnation)
        if view.state == MemberState.ALIVE:
            # A suspected member needs a newer incarnation; an old view would keep a dead member alive.
            if viewed < known or (viewed == known and member.state is not MemberState.ALIVE):
                return []
            member.boot, member.incarnation = viewed
            member.last_heard = max(member.last_heard, now - view.age_ms / 1000)
            silent = now - member.last_heard > SUSPECT_AFTER_HEARTBEATS * self.heartbeat_s
            return (
                []
                if silent or member.state is MemberState.ALIVE
                else self._transition(member, Cause.HEARD, now)
            )
        heard_directly = now - member.last_heartbeat_at <= SUSPECT_AFTER_HEARTBEATS * self.heartbeat_s
        if viewed >= known and not heard_directly and member.state is MemberState.ALIVE:
            return self._transition(member, Cause.ACCUSED, now)
        return []

    def tick(self, now: float) -> list[StateChange]:
        """Suspect silent members, and declare suspected ones dead."""
        changes = []
        for member in self.others.values():
            silent_heartbeats = (now - member.last_heard) / self.heartbeat_s
            if member.state is MemberState.ALIVE and silent_heartbeats > SUSPECT_AFTER_HEARTBEATS:
                changes += self._transition(member, Cause.SILENT, now)
            if member.state is MemberState.SUSPECTED and silent_heartbeats > DEAD_AFTER_HEARTBEATS:
                changes += self._transition(member, Cause.GIVEN_UP, now)
        return changes

    def _transition(self, member: Member, cause: Cause, now: float) -> list[StateChange]:
        old_state, new_state = member.state, TRANSITIONS[member.state, cause]
        change = StateChange(member.name, old_state, new_state, cause, now - member.state_since)
        member.state, member.state_since = new_state, now
        return [change]

    def views(self, now: float) -> tuple[View, ...]:
        """Return the views of the other instances that go into this instance's heartbeats."""
        return tuple(
            View(
                member.name,
                member.boot,
                member.incarnation,
                int(member.state),
                min(int((now - member.last_heard) * 1000), 1 << 30),
            )
            for member in self.others.values()
            if member.boot
        )

    def reachable(self, now: float) -> list[str]:
        """Return the names of the live instances whose own heartbeats have arrived of late."""
        since = now - SUSPECT_AFTER_HEARTBEATS * self.heartbeat_s
        return [
            member.name
            for member in self.others.values()
            if member.last_heartbeat_at >= since and member.state is MemberState.ALIVE
        ]
