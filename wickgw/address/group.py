"""The core: one instance of a group that shares service addresses. Events in, actions out.

Owns membership, votes and tenures, and decides: whom to vote for, when to ask for an address, when to hand
one over, when a lease is over. Proof of the bound, in short: see `votes`; a planned move adds the one rule
that a holder says Yield only after Withdrawn, that is when it takes nothing more. It must never read a clock,
draw at random, or touch a socket, and never say Yield for a term that it may still serve in.
"""

from collections.abc import Callable
from typing import Any, ClassVar

from wickgw.address import events as e
from wickgw.address.membership import Change, Membership, State
from wickgw.address.messages import Ask, Beat, Deny, Grant, Live, Message, Yield
from wickgw.address.plan import ranking
from wickgw.address.tenure import LEASED, Stage, Tenure, Turn
from wickgw.address.votes import Voter

RENEW = 0.25  # of a lease between askings
HOPELESS = 0.25  # of a lease left without a renewal: no more asking, so that the voters are soon free
STEP = 0.5  # beats by which the next in rank asks later
PATIENCE = 1.5  # beats that a first asking may take
BACKOFF, MOST_BACKOFF = 1.0, 30.0  # seconds without asking after the announcer failed; doubled each time
MOST_LOST = 6  # askings lost in a row that the pause after one is doubled for
AFTER_LEAVING = 1.0  # seconds without asking for an address that was handed over


class Group:
    """One instance of the group."""

    def __init__(self, settings: e.Settings, voter: Voter | None = None) -> None:
        self.set = settings
        self.members = Membership(settings.me, settings.members, settings.beat)
        self.voter = voter or Voter(settings.bound_for)
        self.tenures = {place.name: self.new_tenure(place.name) for place in settings.places}
        self.boot = 0
        self.able, self.resigned = False, False
        self.next_beat = 0.0
        self.leaving: dict[str, tuple[int, str, float]] = {}  # yields said again until then
        self.orders: dict[str, tuple[str, ...]] = {}
        self.todo: list[e.Action] = []
        self.counted: dict[str, int] = {}

    def new_tenure(self, address: str) -> Tenure:
        """The life of an address here."""
        return Tenure(address)

    def handle(self, event: e.Event, now: float) -> list[e.Action]:
        """Take one event at its time; return what to do about it, in order."""
        self.todo = []
        revision = self.voter.revision
        self._expire(now)
        self.ON[type(event)](self, event, now)
        if self.next_beat <= now and self.boot:
            self._beat(now)
        for tenure in self.tenures.values():
            self._advance(tenure, now)
        if self.voter.revision != revision:
            # A vote is on the disk before anybody hears of it.
            self.todo.insert(0, e.Keep(self.voter.kept()))
        self.todo.append(e.Wake(self._next(now)))
        return self.todo

    # Events.

    def _began(self, event: e.Began, now: float) -> None:
        self.boot = self.members.boot = event.boot
        self.voter.began(event.kept, now)
        self.next_beat = now
        for tenure in self.tenures.values():
            vote = self.voter.votes.get(tenure.address)
            tenure.seen = max(event.boot, vote.term if vote else 0)
        self._note("group.began", quiet_s=max(0.0, self.voter.quiet_until - now), boot=event.boot)

    def _heard(self, event: e.Heard, now: float) -> None:
        if event.sender not in self.members.others:
            self._count("unknown sender")
            return
        match event.message:
            case Beat():
                for change in self.members.heard(event.sender, event.boot, event.message, now):
                    self._changed(change)
                for live in event.message.votes:
                    if live.address in self.tenures:
                        self._saw(self.tenures[live.address], live.term)
            case message if message.address in self.tenures:
                self._about(self.tenures[message.address], event.sender, event.boot, message, now)
            case _:
                self._count("unknown address")

    def _about(
        self, tenure: Tenure, sender: str, boot: int, message: Ask | Grant | Deny | Yield, now: float
    ) -> None:
        self._saw(tenure, message.term)
        match message:
            case Ask(address, term, round_, over):
                if over and (vote := self.voter.votes.get(address)) and vote.term == over:
                    self.voter.let_go(address, over, vote.holder)
                if self.voter.ask(address, sender, term, now):
                    self._tell(sender, Grant(address, term, round_, boot))
                else:
                    left = min(int(self.voter.left(address, now) * 1000) + 1, 1 << 30)
                    self._tell(sender, Deny(address, term, round_, boot, tenure.seen, left))
            case Grant(_, term, round_, asker) if asker == self.boot and term == tenure.term:
                self._granted(tenure, sender, round_, now)
            case Deny(_, term, _, asker, seen) if asker == self.boot:
                self._saw(tenure, seen)
                if term == tenure.term and tenure.stage is Stage.ASKING:
                    tenure.denied.add(sender)
                    if len(tenure.denied) > len(self.set.members) - self.set.majority:
                        self._give_up(tenure, "denied", now)
            case Yield(address, term, to):
                self.voter.let_go(address, term, sender)
                fit = self._usable(tenure, now) and now >= self.voter.quiet_until
                if to == self.set.me and tenure.stage is Stage.FREE and term >= tenure.term and fit:
                    self._ask(tenure, now, f"handed over by {sender}", over=term)
                elif to and to != self.set.me:
                    tenure.not_before = max(tenure.not_before, now + 3 * self.set.beat)
            case _:
                self._count("stale answer")

    def _tick(self, event: e.Tick, now: float) -> None:
        for change in self.members.tick(now):
            self._changed(change)

    def _announced(self, event: e.Announced, now: float) -> None:
        tenure = self.tenures[event.address]
        if (tenure.term, tenure.stage) != (event.term, Stage.TAKING):
            return  # a lease that is over, or given back meanwhile: Retire or Cut is on its way
        if event.ok:
            tenure.failures = 0
            took = now - tenure.since
            tenure.turn(Turn.ANNOUNCED, now)
            self._note("lease.held", tenure, cause=tenure.cause, announce_s=took)
            return
        tenure.failures += 1
        pause = min(BACKOFF * 2 ** (tenure.failures - 1), MOST_BACKOFF)
        tenure.not_before = now + pause
        tenure.cause, tenure.why = "announcer failed", f"the announcer failed: {event.why}"
        tenure.turn(Turn.NOT_ANNOUNCED, now)
        self._note("announce.failed", tenure, why=event.why, failures=tenure.failures, pause_s=pause)
        self.todo.append(e.Retire(tenure.address, tenure.term))

    def _withdrawn(self, event: e.Withdrawn, now: float) -> None:
        tenure = self.tenures[event.address]
        if tenure.term != event.term or tenure.stage not in (Stage.RETIRING, Stage.CLEARING):
            return
        took = now - tenure.since
        if tenure.turn(Turn.WITHDRAWN, now) is Stage.RETIRING:
            self._note("lease.yielded", tenure, cause=tenure.cause, to=tenure.successor, took_s=took)
            self._yield(tenure, tenure.successor, now)
            self.leaving[tenure.address] = (tenure.term, tenure.successor, now + self.set.bound_for)
            tenure.not_before = max(tenure.not_before, now + AFTER_LEAVING)
        tenure.clear()

    def _set_able(self, event: e.Able, now: float) -> None:
        self.able = event.yes

    def _resign(self, event: e.Resign, now: float) -> None:
        self.resigned = True

    def _rearranged(self, event: e.Rearranged, now: float) -> None:
        self.set = e.Settings(
            self.set.me,
            self.set.members,
            event.places,
            self.set.lease,
            self.set.drift,
            self.set.beat,
            event.hold_down,
            self.set.last_call,
        )

    # Beats.

    def _beat(self, now: float) -> None:
        self.next_beat = now + self.set.beat
        votes = self.voter.votes.items()
        beat = Beat(
            self.members.count,
            tuple(sorted(a for a in self.tenures if not self._usable(self.tenures[a], now))),
            tuple(sorted(a for a, t in self.tenures.items() if t.stage in LEASED)),
            self.members.views(now),
            tuple(Live(a, v.term, v.holder) for a, v in votes if v.runs(now)),
        )
        for other in self.members.others:
            self._tell(other, beat)
        for address, (term, to, until) in list(self.leaving.items()):
            vote = self.voter.votes.get(address)
            if now >= until or (vote is not None and vote.term > term):
                del self.leaving[address]
            else:
                for other in self.members.others:
                    self._tell(other, Yield(address, term, to))
        self._plan(now)

    def _usable(self, tenure: Tenure, now: float) -> bool:
        """Whether we could serve this address."""
        leased = tenure.stage in (Stage.TAKING, Stage.HELD)
        return self.able and not self.resigned and (leased or not tenure.failures or now >= tenure.not_before)

    def _plan(self, now: float) -> None:
        """Who should have what, as far as is known here."""
        near = self.members.near(now)
        usable: dict[str, set[str]] = {}
        holders: dict[str, str] = {}
        for address, tenure in self.tenures.items():
            usable[address] = {n for n in near if address not in self.members.others[n].beat.unable}
            if self._usable(tenure, now):
                usable[address].add(self.set.me)
            for name in near:
                if address in self.members.others[name].beat.held:
                    holders[address] = name
            if tenure.stage in LEASED:
                holders[address] = self.set.me
        self.orders = ranking(self.set.places, self.set.members, usable, holders)

    # One address, as time passes.

    def _expire(self, now: float) -> None:
        """Before anything else is looked at: leases that are over are over."""
        for tenure in self.tenures.values():
            if tenure.stage in LEASED and now >= tenure.until:
                self._note(
                    "lease.lost",
                    tenure,
                    cause="no majority renewed it",
                    held_s=now - tenure.since,
                    late_s=now - tenure.until,
                )
                tenure.turn(Turn.EXPIRED, now)
                tenure.why = "the lease was lost"
                self.todo.append(e.Cut(tenure.address, tenure.term))

    def _advance(self, tenure: Tenure, now: float) -> None:
        if tenure.stage is Stage.FREE:
            self._consider(tenure, now)
        elif tenure.stage is Stage.ASKING:
            if now >= tenure.since + PATIENCE * self.set.beat:
                self._give_up(tenure, "no majority answered", now)
        elif tenure.stage in LEASED:
            if tenure.stage is Stage.HELD:
                self._consider_moving(tenure, now)
            left = tenure.until - now
            if now >= tenure.last_asked + RENEW * self.set.lease and left > HOPELESS * self.set.lease:
                self._ask_round(tenure, now)
            if left <= self.set.last_call and not tenure.called:
                tenure.called = True
                self._note("lease.last-call", tenure, left_s=left, granted=self._near_text(now))
                self.todo.append(e.LastCall(tenure.address, tenure.term, tenure.until))

    def _consider(self, tenure: Tenure, now: float) -> None:
        """Ask for an address if nothing speaks against it, in the order of rank."""
        why = self._against(tenure, now)
        if why:
            if why != tenure.why and why.startswith("no majority"):
                self._note("group.no-majority", tenure, why=why)
            tenure.why, tenure.open_since = why, None
            return
        if tenure.open_since is None:
            tenure.open_since = now
        order = self.orders.get(tenure.address, ())
        rank = order.index(self.set.me) if self.set.me in order else len(order)
        tenure.why = f"free; {rank} before us"
        if now >= tenure.open_since + rank * STEP * self.set.beat:
            self._ask(tenure, now, "it was free")

    def _against(self, tenure: Tenure, now: float) -> str:
        """Why this instance should not ask for an address now; empty if nothing speaks against it."""
        if not self.boot or self.resigned:
            return "this instance is ending"
        if not self.able:
            return "this instance could not serve"
        if now < self.voter.quiet_until:
            return "quiet after the start, lest a vote is given twice"
        if now < tenure.not_before:
            return tenure.why if tenure.failures else "left to others for a moment"
        if (vote := self.voter.votes.get(tenure.address)) and vote.runs(now) and vote.holder != self.set.me:
            return f"{vote.holder} has our vote"
        near = self.members.near(now)
        if len(near) + 1 < self.set.majority:
            return (
                f"no majority: {len(near) + 1} of {len(self.set.members)} heard, {self.set.majority} needed"
            )
        free = 1 + len(near)
        for name in near:
            for live in self.members.others[name].beat.votes:
                free -= live.address == tenure.address and live.holder != self.set.me
        if free < self.set.majority:
            return "others are bound by their votes"
        return ""

    def _consider_moving(self, tenure: Tenure, now: float) -> None:
        """Hand over when ending or unable; or, if all was well for long enough, to whom should have it."""
        order = [n for n in self.orders.get(tenure.address, ()) if n != self.set.me]
        if self.resigned or not self.able:
            cause = "this instance is ending" if self.resigned else "this instance can't serve"
            if self.resigned or order:  # unable, and nobody else is able: stay
                self._leave(tenure, order[0] if order else "", cause, now)
            return
        first = next(iter(self.orders.get(tenure.address, ())), self.set.me)
        if first == self.set.me or now < tenure.since + self.set.hold_down:
            return
        member = self.members.others[first]
        if member.state is State.ALIVE and now >= member.since + self.set.hold_down:
            self._leave(tenure, first, f"{first} should have it", now)

    def _leave(self, tenure: Tenure, to: str, cause: str, now: float) -> None:
        self._note("lease.leaving", tenure, cause=cause, to=to, held_s=now - tenure.since)
        tenure.turn(Turn.RESIGN, now)
        tenure.successor, tenure.cause = to, cause
        self.todo.append(e.Retire(tenure.address, tenure.term))

    # Votes.

    def _ask(self, tenure: Tenure, now: float, cause: str, over: int = 0) -> None:
        tenure.clear()
        tenure.turn(Turn.ASK, now)
        tenure.cause = cause
        tenure.term = tenure.seen = max(tenure.seen, tenure.term) + 1
        self._ask_round(tenure, now, over)

    def _ask_round(self, tenure: Tenure, now: float, over: int = 0) -> None:
        round_ = tenure.ask(now)
        ask = Ask(tenure.address, tenure.term, round_, over)
        for other in self.members.others:
            self._tell(other, ask)
        if over and (vote := self.voter.votes.get(tenure.address)) and vote.term == over:
            self.voter.let_go(tenure.address, over, vote.holder)
        if self.voter.ask(tenure.address, self.set.me, tenure.term, now):
            self._granted(tenure, self.set.me, round_, now)

    def _granted(self, tenure: Tenure, voter: str, round_: int, now: float) -> None:
        if tenure.stage is not Stage.ASKING and tenure.stage not in LEASED:
            self._count("stale answer")
            return
        if not tenure.grant(voter, round_, self.set.majority, self.set.held_for, now):
            return
        if now >= tenure.until:  # the grants came too late to be of use
            return
        tenure.called = False
        if tenure.stage is Stage.ASKING:
            asked = tenure.asked[round_]
            self._note("lease.won", tenure, cause=tenure.cause, round_trip_s=now - asked)
            tenure.turn(Turn.WON, now)
            tenure.lost = 0
            self.todo.append(e.Announce(tenure.address, tenure.term, tenure.until))
        else:
            self.todo.append(e.Extend(tenure.address, tenure.term, tenure.until))

    def _give_up(self, tenure: Tenure, cause: str, now: float) -> None:
        """Free those who voted for us. No later grant of this term counts: `Tenure.clear`."""
        self._note("lease.not-won", tenure, cause=cause)
        tenure.turn(Turn.GAVE_UP, now)
        self._yield(tenure, "", now)
        order = self.orders.get(tenure.address, ())
        rank = order.index(self.set.me) if self.set.me in order else len(order)
        # One that is heard by too few must not bind their votes again and again, lest nobody else gets them.
        tenure.lost = min(tenure.lost + 1, MOST_LOST)
        pause = (1 + rank) * STEP * self.set.beat * 2 ** (tenure.lost - 1)
        tenure.not_before = max(tenure.not_before, now + pause)
        tenure.clear()

    def _yield(self, tenure: Tenure, to: str, now: float) -> None:
        self.voter.let_go(tenure.address, tenure.term, self.set.me)
        for other in self.members.others:
            self._tell(other, Yield(tenure.address, tenure.term, to))

    # Odds and ends.

    def _saw(self, tenure: Tenure, term: int) -> None:
        tenure.seen = max(tenure.seen, term)

    def _changed(self, change: Change) -> None:
        self._note(
            f"member.{change.new.name.lower()}",
            member=change.member,
            cause=change.cause.value,
            was=change.old.name.lower(),
            lasted_s=min(change.lasted, 1e6),
        )

    def _near_text(self, now: float) -> str:
        return ",".join(self.members.near(now)) or "nobody"

    def _tell(self, to: str, message: Message) -> None:
        self.todo.append(e.Tell(to, message))

    def _note(self, event: str, tenure: Tenure | None = None, **fields: Any) -> None:
        if tenure is not None:
            fields = {"address": tenure.address, "term": tenure.term, "holder": self.set.me} | fields
        fields = {k: round(v, 4) if isinstance(v, float) else v for k, v in fields.items()}
        self.todo.append(e.Note(event, fields))
        self._count(event)

    def _count(self, what: str) -> None:
        self.counted[what] = self.counted.get(what, 0) + 1

    def _next(self, now: float) -> float:
        """When time alone may change something."""
        at = self.next_beat
        for tenure in self.tenures.values():
            if tenure.stage is Stage.FREE:
                turns = (tenure.not_before, self.voter.quiet_until, self._open(tenure))
                at = min([at, *(turn for turn in turns if turn > now)])
            elif tenure.stage is Stage.ASKING:
                at = min(at, tenure.since + PATIENCE * self.set.beat)
            elif tenure.stage in LEASED:
                at = min(at, tenure.last_asked + RENEW * self.set.lease, tenure.until)
                if not tenure.called:
                    at = min(at, tenure.until - self.set.last_call)
        return max(at, now + 0.001)

    def _open(self, tenure: Tenure) -> float:
        """When our turn to ask comes, if nothing changes."""
        order = self.orders.get(tenure.address, ())
        if tenure.open_since is None or self.set.me not in order:
            return self.next_beat
        return tenure.open_since + order.index(self.set.me) * STEP * self.set.beat

    def status(self, now: float) -> dict[str, Any]:
        """What this instance holds, knows and has counted, for operators."""
        return {
            "me": self.set.me,
            "able": self.able,
            "ending": self.resigned,
            "quiet_s": round(max(0.0, self.voter.quiet_until - now), 3),
            "majority": self.set.majority,
            "incarnation": self.members.count,
            "refuted": self.members.refuted,
            "members": {
                m.name: {
                    "state": m.state.name.lower(),
                    "silent_s": round(min(now - m.heard, 1e9), 3),
                    "holds": list(m.beat.held) if m.state is State.ALIVE else [],
                }
                for m in self.members.others.values()
            },
            "addresses": {
                a: {
                    "stage": t.stage.value,
                    "term": t.term,
                    "left_s": round(t.until - now, 3) if t.stage in LEASED else None,
                    "why": "" if t.stage in LEASED else t.why,
                    "vote": self._vote_text(a, now),
                }
                for a, t in self.tenures.items()
            },
            "counted": dict(sorted(self.counted.items())),
        }

    def _vote_text(self, address: str, now: float) -> str:
        vote = self.voter.votes.get(address)
        return f"{vote.holder} in {vote.term}" if vote is not None and vote.runs(now) else ""

    ON: ClassVar[dict[type, Callable[[Any, Any, float], None]]] = {
        e.Began: _began,
        e.Heard: _heard,
        e.Tick: _tick,
        e.Announced: _announced,
        e.Withdrawn: _withdrawn,
        e.Able: _set_able,
        e.Resign: _resign,
        e.Rearranged: _rearranged,
    }
