"""The core: one instance of a group that shares service addresses. Takes events, returns actions.

Owns the membership, the votes and the leases. Decides which instance to vote for, when to ask for an address,
when to hand one over, and when a lease has expired. `votes` explains why no two instances hold an address at
once. A planned handover adds one rule: a holder sends Yield only after Withdrawn, that is, when it takes no
new requests in that term. The core reads no clock, draws no random numbers and touches no socket.
"""

import dataclasses
from collections.abc import Callable
from typing import Any, ClassVar

from wickgw.address import events
from wickgw.address.lease import LEASED, AddressLease, GrantedVote, Stage, Trigger
from wickgw.address.membership import Membership, MemberState, StateChange
from wickgw.address.messages import (
    MIN_LEASE_MS,
    UNKNOWN_LEASE,
    Ask,
    Beat,
    Deny,
    Grant,
    Live,
    Message,
    Yield,
)
from wickgw.address.plan import rank_instances
from wickgw.address.votes import Voter, granted_lease_ms

# Shares of the duration of the votes that a holder has been granted.
RENEW_INTERVAL_LEASES = 0.25  # between rounds of vote requests
GIVE_UP_RENEWAL_LEASES = 0.25  # with less left of its lease, a holder stops asking: its voters are free soon
RANK_DELAY_HEARTBEATS = 0.5  # an instance asks this much later than the one ranked before it
ELECTION_TIMEOUT_HEARTBEATS = 1.5
BACKOFF_S, MAX_BACKOFF_S = 1.0, 30.0  # pause after the announcer failed, doubled with each failure
MAX_LOST_ELECTIONS = 6  # consecutive lost elections for which the pause is doubled
PAUSE_AFTER_HANDOVER_S = 1.0  # before asking again for an address that was handed over


class Coordinator:
    """One instance of the group.

    Calls to `handle` pass a time in seconds that never decreases. `voter` replaces the default voter.
    """

    def __init__(self, settings: events.Settings, voter: Voter | None = None) -> None:
        self.settings = settings
        self.membership = Membership(settings.instance, settings.members, settings.heartbeat_s)
        self.voter = voter or Voter(settings.clock_drift)
        self.leases = {address.name: self.new_lease(address.name) for address in settings.addresses}
        self.boot = 0  # start time of this instance: Unix microseconds; 0 before Started
        self.ready, self.resigning, self.voting = False, False, True
        # By member: the durations of the votes that it last asked for and granted, in milliseconds.
        self.asked_leases: dict[str, int] = {}
        self.granted_leases: dict[str, int] = {}
        self.next_heartbeat_at = 0.0
        # By address: term, successor, and the time until which the Yield is repeated.
        self.repeated_yields: dict[str, tuple[int, str, float]] = {}
        self.rankings: dict[str, tuple[str, ...]] = {}  # by address: the instance that should hold it first
        self.actions: list[events.Action] = []  # of the event being handled
        self.counters: dict[str, int] = {}

    def new_lease(self, address: str) -> AddressLease:
        """Return the lease state of an address that is not held here."""
        return AddressLease(address)

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Handle one event at its time. Returns the resulting actions in order."""
        self.actions = []
        revision = self.voter.revision
        self._expire_leases(now)
        self.HANDLERS[type(event)](self, event, now)
        if self.next_heartbeat_at <= now and self.boot:
            self._send_heartbeats(now)
        for lease in self.leases.values():
            self._advance(lease, now)
        if self.voter.revision != revision:
            # A vote is on disk before any message carries it.
            self.actions.insert(0, events.PersistVotes(self.voter.stored_votes()))
        self.actions.append(events.SetTimer(self._next_due(now)))
        return self.actions

    # Events.

    def _on_started(self, event: events.Started, now: float) -> None:
        self.boot = self.membership.boot = event.boot
        self.voter.restore(event.stored_votes, now)
        self.next_heartbeat_at = now
        for lease in self.leases.values():
            vote = self.voter.votes.get(lease.address)
            lease.highest_seen_term = max(event.boot, vote.term if vote else 0)
        self._note("group.began", quiet_s=max(0.0, self.voter.quiet_until - now), boot=event.boot)

    def _on_message(self, event: events.MessageReceived, now: float) -> None:
        if event.sender not in self.membership.others:
            self._count("unknown sender")
            return
        match event.message:
            case Beat():
                for change in self.membership.on_heartbeat(event.sender, event.boot, event.message, now):
                    self._log_state_change(change)
                for vote in event.message.votes:
                    if vote.address in self.leases:
                        self._see_term(self.leases[vote.address], vote.term)
            case message if message.address in self.leases:
                self._on_lease_message(self.leases[message.address], event.sender, event.boot, message, now)
            case _:
                self._count("unknown address")

    def _on_lease_message(
        self,
        lease: AddressLease,
        sender: str,
        sender_boot: int,
        message: Ask | Grant | Deny | Yield,
        now: float,
    ) -> None:
        self._see_term(lease, message.term)
        match message:
            case Ask():
                self._on_ask(lease, sender, sender_boot, message, now)
            case Grant(_, term, round_number, asker_boot, lease_ms) if (
                asker_boot == self.boot and term == lease.term
            ):
                self._compare_lease(sender, "grants", lease_ms, self.granted_leases)
                self._on_grant(lease, sender, round_number, lease_ms or MIN_LEASE_MS, now)
            case Deny(_, term, _, asker_boot, highest_seen_term) if asker_boot == self.boot:
                self._see_term(lease, highest_seen_term)
                if term == lease.term and lease.stage is Stage.ASKING:
                    lease.denied_by.add(sender)
                    if len(lease.denied_by) > len(self.settings.members) - self.settings.majority:
                        self._abandon_election(lease, "denied", now)
            case Yield(address, term, successor):
                self.voter.release(address, term, sender)
                eligible = self._can_serve(lease, now) and now >= self.voter.quiet_until
                if (
                    successor == self.settings.instance
                    and lease.stage is Stage.FREE
                    and term >= lease.term
                    and eligible
                ):
                    self._start_election(lease, now, f"handed over by {sender}", released_term=term)
                elif successor and successor != self.settings.instance:
                    lease.ask_not_before = max(lease.ask_not_before, now + 3 * self.settings.heartbeat_s)
            case _:
                self._count("stale answer")

    def _on_ask(self, lease: AddressLease, sender: str, sender_boot: int, ask: Ask, now: float) -> None:
        """Answer a request for a vote with Grant or Deny."""
        vote = self.voter.votes.get(ask.address)
        if ask.over and vote and vote.term == ask.over:
            self.voter.release(ask.address, ask.over, vote.holder)
        self._compare_lease(sender, "asks", ask.lease_ms, self.asked_leases)
        lease_ms = self._vote_duration_ms(ask)
        if lease_ms and self.voter.request_vote(ask.address, sender, ask.term, lease_ms, now):
            self._send(sender, Grant(ask.address, ask.term, ask.round, sender_boot, lease_ms))
            return
        left_ms = min(int(self.voter.blocked_for(ask.address, now) * 1000) + 1, 1 << 30)
        self._send(
            sender, Deny(ask.address, ask.term, ask.round, sender_boot, lease.highest_seen_term, left_ms)
        )

    def _vote_duration_ms(self, ask: Ask) -> int:
        """Return for how long to vote for the asker; 0 not to vote at all.

        Votes end before this process does: whatever settings and version are started in its place, it can't
        give a vote again that still binds. So an instance that is ending gives short votes, and then none.
        """
        if not self.voting:
            return 0
        if self.resigning:
            return min(ask.lease_ms, MIN_LEASE_MS) if ask.lease_ms != UNKNOWN_LEASE else 0
        return granted_lease_ms(ask.lease_ms)

    def _compare_lease(self, member: str, told: str, lease_ms: int, last_told: dict[str, int]) -> None:
        """Log, once for each change, that a member asks for or grants votes of another duration than ours."""
        ours = self.settings.lease_ms
        if lease_ms != last_told.get(member, ours) and lease_ms != ours:
            theirs = lease_ms if lease_ms != UNKNOWN_LEASE else "not told: an earlier version"
            self._note("group.lease-differs", member=member, told=told, theirs_ms=theirs, ours_ms=ours)
        last_told[member] = lease_ms

    def _on_tick(self, event: events.Tick, now: float) -> None:
        for change in self.membership.tick(now):
            self._log_state_change(change)

    def _on_announce_completed(self, event: events.AnnounceCompleted, now: float) -> None:
        lease = self.leases[event.address]
        if (lease.term, lease.stage) != (event.term, Stage.TAKING):
            return  # the lease has expired or is being released: a Withdraw or Fence has been returned
        if event.succeeded:
            lease.announce_failures = 0
            elapsed_s = now - lease.stage_since
            lease.transition(Trigger.ANNOUNCED, now)
            self._note("lease.held", lease, cause=lease.cause, announce_s=elapsed_s)
            return
        lease.announce_failures += 1
        backoff_s = min(BACKOFF_S * 2 ** (lease.announce_failures - 1), MAX_BACKOFF_S)
        lease.ask_not_before = now + backoff_s
        lease.cause, lease.idle_reason = "announcer failed", f"the announcer failed: {event.error}"
        lease.transition(Trigger.NOT_ANNOUNCED, now)
        self._note(
            "announce.failed", lease, why=event.error, failures=lease.announce_failures, pause_s=backoff_s
        )
        self.actions.append(events.Withdraw(lease.address, lease.term))

    def _on_withdrawn(self, event: events.Withdrawn, now: float) -> None:
        lease = self.leases[event.address]
        if lease.term != event.term or lease.stage not in (Stage.RETIRING, Stage.CLEARING):
            return
        elapsed_s = now - lease.stage_since
        if lease.transition(Trigger.WITHDRAWN, now) is Stage.RETIRING:
            self._note("lease.yielded", lease, cause=lease.cause, to=lease.successor, took_s=elapsed_s)
            self._send_yield(lease, lease.successor, now)
            self.repeated_yields[lease.address] = (
                lease.term,
                lease.successor,
                now + self.voter.binding_s(self.settings.lease_ms),
            )
            lease.ask_not_before = max(lease.ask_not_before, now + PAUSE_AFTER_HANDOVER_S)
        lease.reset()

    def _on_readiness_changed(self, event: events.ReadinessChanged, now: float) -> None:
        self.ready = event.ready

    def _on_resign(self, event: events.Resign, now: float) -> None:
        self.resigning = True

    def _on_voting_stopped(self, event: events.VotingStopped, now: float) -> None:
        self.voting = False

    def _on_settings_reloaded(self, event: events.SettingsReloaded, now: float) -> None:
        self.settings = dataclasses.replace(
            self.settings, addresses=event.addresses, hold_down_s=event.hold_down_s
        )

    # Heartbeats.

    def _send_heartbeats(self, now: float) -> None:
        """Send a heartbeat to all, repeat recent Yields, and rank the instances for each address again."""
        self.next_heartbeat_at = now + self.settings.heartbeat_s
        votes = self.voter.votes.items()
        heartbeat = Beat(
            self.membership.incarnation,
            tuple(sorted(name for name in self.leases if not self._can_serve(self.leases[name], now))),
            tuple(sorted(name for name, lease in self.leases.items() if lease.stage in LEASED)),
            self.membership.views(now),
            tuple(
                Live(name, own_vote.term, own_vote.holder)
                for name, own_vote in votes
                if own_vote.is_binding(now)
            ),
        )
        for other in self.membership.others:
            self._send(other, heartbeat)
        for address, (term, successor, repeat_until) in list(self.repeated_yields.items()):
            vote = self.voter.votes.get(address)
            if now >= repeat_until or (vote is not None and vote.term > term):
                del self.repeated_yields[address]
            else:
                for other in self.membership.others:
                    self._send(other, Yield(address, term, successor))
        self._update_rankings(now)

    def _can_serve(self, lease: AddressLease, now: float) -> bool:
        """Return whether this instance could serve the address."""
        leased = lease.stage in (Stage.TAKING, Stage.HELD)
        return (
            self.ready
            and not self.resigning
            and (leased or not lease.announce_failures or now >= lease.ask_not_before)
        )

    def _update_rankings(self, now: float) -> None:
        """Rank the instances for each address from what this instance knows."""
        reachable = self.membership.reachable(now)
        able: dict[str, set[str]] = {}
        holders: dict[str, str] = {}
        for address, lease in self.leases.items():
            able[address] = {
                candidate
                for candidate in reachable
                if address not in self.membership.others[candidate].last_heartbeat.unable
            }
            if self._can_serve(lease, now):
                able[address].add(self.settings.instance)
            for name in reachable:
                if address in self.membership.others[name].last_heartbeat.held:
                    holders[address] = name
            if lease.stage in LEASED:
                holders[address] = self.settings.instance
        self.rankings = rank_instances(self.settings.addresses, self.settings.members, able, holders)

    # The stages of one address over time.

    def _expire_leases(self, now: float) -> None:
        """End leases that have expired; runs before the event is handled."""
        for lease in self.leases.values():
            if lease.stage in LEASED and now >= lease.expires_at:
                self._note(
                    "lease.lost",
                    lease,
                    cause="no majority renewed it",
                    held_s=now - lease.stage_since,
                    late_s=now - lease.expires_at,
                )
                lease.transition(Trigger.EXPIRED, now)
                lease.idle_reason = "the lease was lost"
                self.actions.append(events.Fence(lease.address, lease.term))

    def _advance(self, lease: AddressLease, now: float) -> None:
        """Do what the stage calls for at this time: ask, time out, renew, hand over, or hurry requests."""
        if lease.stage is Stage.FREE:
            self._consider_asking(lease, now)
        elif lease.stage is Stage.ASKING:
            if now >= lease.stage_since + ELECTION_TIMEOUT_HEARTBEATS * self.settings.heartbeat_s:
                self._abandon_election(lease, "no majority answered", now)
        elif lease.stage in LEASED:
            if lease.stage is Stage.HELD:
                self._consider_handover(lease, now)
            remaining_s = lease.expires_at - now
            if (
                now >= lease.last_asked_at + RENEW_INTERVAL_LEASES * lease.duration_s
                and remaining_s > GIVE_UP_RENEWAL_LEASES * lease.duration_s
            ):
                self._send_round(lease, now)
            if remaining_s <= self.settings.last_call_s and not lease.last_call_made:
                lease.last_call_made = True
                self._note("lease.last-call", lease, left_s=remaining_s, granted=self._reachable_text(now))
                self.actions.append(events.HurryPending(lease.address, lease.term, lease.expires_at))

    def _consider_asking(self, lease: AddressLease, now: float) -> None:
        """Ask for the address if there is no reason against it; a lower rank asks later."""
        why = self._reason_not_to_ask(lease, now)
        if why:
            if why != lease.idle_reason and why.startswith("no majority"):
                self._note("group.no-majority", lease, why=why)
            lease.idle_reason, lease.eligible_since = why, None
            return
        if lease.eligible_since is None:
            lease.eligible_since = now
        ranking = self.rankings.get(lease.address, ())
        rank = ranking.index(self.settings.instance) if self.settings.instance in ranking else len(ranking)
        lease.idle_reason = f"free; {rank} before us"
        if now >= lease.eligible_since + rank * RANK_DELAY_HEARTBEATS * self.settings.heartbeat_s:
            self._start_election(lease, now, "it was free")

    def _reason_not_to_ask(self, lease: AddressLease, now: float) -> str:
        """Return why this instance should not ask for the address now; empty if it may ask."""
        if not self.boot or self.resigning:
            return "this instance is ending"
        if not self.ready:
            return "this instance could not serve"
        if now < self.voter.quiet_until:
            return "quiet after the start, lest a vote is given twice"
        if now < lease.ask_not_before:
            return lease.idle_reason if lease.announce_failures else "left to others for a moment"
        if (
            (vote := self.voter.votes.get(lease.address))
            and vote.is_binding(now)
            and vote.holder != self.settings.instance
        ):
            return f"{vote.holder} has our vote"
        reachable = self.membership.reachable(now)
        if len(reachable) + 1 < self.settings.majority:
            return (
                f"no majority: {len(reachable) + 1} of {len(self.settings.members)} heard, "
                f"{self.settings.majority} needed"
            )
        free_voters = 1 + len(reachable)
        for name in reachable:
            for live in self.membership.others[name].last_heartbeat.votes:
                free_voters -= live.address == lease.address and live.holder != self.settings.instance
        if free_voters < self.settings.majority:
            return "others are bound by their votes"
        return ""

    def _consider_handover(self, lease: AddressLease, now: float) -> None:
        """Hand the address over if this instance is stopping or not ready, or if another should hold it.

        In the last case both instances must have been in their states for the hold-down time.
        """
        candidates = [name for name in self.rankings.get(lease.address, ()) if name != self.settings.instance]
        if self.resigning or not self.ready:
            cause = "this instance is ending" if self.resigning else "this instance can't serve"
            if self.resigning or candidates:  # keep the address if no other instance can serve it either
                self._start_handover(lease, candidates[0] if candidates else "", cause, now)
            return
        first = next(iter(self.rankings.get(lease.address, ())), self.settings.instance)
        if first == self.settings.instance or now < lease.stage_since + self.settings.hold_down_s:
            return
        member = self.membership.others[first]
        if member.state is MemberState.ALIVE and now >= member.state_since + self.settings.hold_down_s:
            self._start_handover(lease, first, f"{first} should have it", now)

    def _start_handover(self, lease: AddressLease, to: str, cause: str, now: float) -> None:
        """Withdraw the address for the instance `to`; the Yield follows after Withdrawn."""
        self._note("lease.leaving", lease, cause=cause, to=to, held_s=now - lease.stage_since)
        lease.transition(Trigger.RESIGN, now)
        lease.successor, lease.cause = to, cause
        self.actions.append(events.Withdraw(lease.address, lease.term))

    # Votes.

    def _start_election(self, lease: AddressLease, now: float, cause: str, released_term: int = 0) -> None:
        """Ask for the address in a new term, above every term seen.

        `released_term` is the term whose holder has handed the address to this instance.
        """
        lease.reset()
        lease.transition(Trigger.ASK, now)
        lease.cause, lease.duration_s = cause, self.settings.lease_s
        lease.term = lease.highest_seen_term = max(lease.highest_seen_term, lease.term) + 1
        self._send_round(lease, now, released_term)

    def _send_round(self, lease: AddressLease, now: float, released_term: int = 0) -> None:
        """Send one round of vote requests, and vote for this instance."""
        round_number = lease.start_round(now)
        ask = Ask(lease.address, lease.term, round_number, released_term, self.settings.lease_ms)
        for other in self.membership.others:
            self._send(other, ask)
        if released_term and (vote := self.voter.votes.get(lease.address)) and vote.term == released_term:
            self.voter.release(lease.address, released_term, vote.holder)
        lease_ms = granted_lease_ms(ask.lease_ms)
        if self.voter.request_vote(lease.address, self.settings.instance, lease.term, lease_ms, now):
            self._on_grant(lease, self.settings.instance, round_number, lease_ms, now)

    def _on_grant(
        self, lease: AddressLease, voter: str, round_number: int, lease_ms: int, now: float
    ) -> None:
        """Count a vote for this instance, for which its voter is bound for `lease_ms`."""
        if lease.stage is not Stage.ASKING and lease.stage not in LEASED:
            self._count("stale answer")
            return
        vote = GrantedVote(voter, round_number, min(lease_ms / 1000, self.settings.lease_s))
        if not lease.add_grant(vote, self.settings.majority, self.settings.clock_drift, now):
            return
        if now >= lease.expires_at:  # the grants came too late to be of use
            return
        lease.last_call_made = False
        if lease.stage is Stage.ASKING:
            asked_at = lease.asked_at[round_number]
            self._note("lease.won", lease, cause=lease.cause, round_trip_s=now - asked_at)
            lease.transition(Trigger.WON, now)
            lease.lost_elections = 0
            self.actions.append(events.Announce(lease.address, lease.term, lease.expires_at))
        else:
            self.actions.append(events.ExtendLease(lease.address, lease.term, lease.expires_at))

    def _abandon_election(self, lease: AddressLease, cause: str, now: float) -> None:
        """Release the votes for this instance. `AddressLease.reset` makes later grants of the term void."""
        self._note("lease.not-won", lease, cause=cause)
        lease.transition(Trigger.GAVE_UP, now)
        self._send_yield(lease, "", now)
        ranking = self.rankings.get(lease.address, ())
        rank = ranking.index(self.settings.instance) if self.settings.instance in ranking else len(ranking)
        # If too few instances receive the requests, asking again at once would keep binding the votes of
        # those few, and no other instance could win them. So the pause doubles with each lost election.
        lease.lost_elections = min(lease.lost_elections + 1, MAX_LOST_ELECTIONS)
        pause_s = (
            (1 + rank) * RANK_DELAY_HEARTBEATS * self.settings.heartbeat_s * 2 ** (lease.lost_elections - 1)
        )
        lease.ask_not_before = max(lease.ask_not_before, now + pause_s)
        lease.reset()

    def _send_yield(self, lease: AddressLease, successor: str, now: float) -> None:
        self.voter.release(lease.address, lease.term, self.settings.instance)
        for other in self.membership.others:
            self._send(other, Yield(lease.address, lease.term, successor))

    # Helpers.

    def _see_term(self, lease: AddressLease, term: int) -> None:
        lease.highest_seen_term = max(lease.highest_seen_term, term)

    def _log_state_change(self, change: StateChange) -> None:
        self._note(
            f"member.{change.new_state.name.lower()}",
            member=change.member,
            cause=change.cause.value,
            was=change.old_state.name.lower(),
            lasted_s=min(change.lasted_s, 1e6),
        )

    def _reachable_text(self, now: float) -> str:
        return ",".join(self.membership.reachable(now)) or "nobody"

    def _send(self, receiver: str, message: Message) -> None:
        self.actions.append(events.SendMessage(receiver, message))

    def _note(self, event: str, lease: AddressLease | None = None, **fields: Any) -> None:
        """Log and count an event; with `lease`, log its address, term and holder too."""
        if lease is not None:
            fields = {
                "address": lease.address,
                "term": lease.term,
                "holder": self.settings.instance,
            } | fields
        fields = {
            name: round(value, 4) if isinstance(value, float) else value for name, value in fields.items()
        }
        self.actions.append(events.LogEvent(event, fields))
        self._count(event)

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1

    def _next_due(self, now: float) -> float:
        """Return the next time at which something may have to be done without an event."""
        due = self.next_heartbeat_at
        for lease in self.leases.values():
            if lease.stage is Stage.FREE:
                times = (lease.ask_not_before, self.voter.quiet_until, self._next_ask_at(lease))
                due = min([due, *(time for time in times if time > now)])
            elif lease.stage is Stage.ASKING:
                due = min(due, lease.stage_since + ELECTION_TIMEOUT_HEARTBEATS * self.settings.heartbeat_s)
            elif lease.stage in LEASED:
                due = min(
                    due,
                    lease.last_asked_at + RENEW_INTERVAL_LEASES * lease.duration_s,
                    lease.expires_at,
                )
                if not lease.last_call_made:
                    due = min(due, lease.expires_at - self.settings.last_call_s)
        return max(due, now + 0.001)

    def _next_ask_at(self, lease: AddressLease) -> float:
        """Return when the rank of this instance lets it ask, if nothing changes until then."""
        ranking = self.rankings.get(lease.address, ())
        if lease.eligible_since is None or self.settings.instance not in ranking:
            return self.next_heartbeat_at
        return (
            lease.eligible_since
            + ranking.index(self.settings.instance) * RANK_DELAY_HEARTBEATS * self.settings.heartbeat_s
        )

    def status(self, now: float) -> dict[str, Any]:
        """Return what this instance holds, knows and has counted: the report of GET /-/address."""
        return {
            "me": self.settings.instance,
            "able": self.ready,
            "ending": self.resigning,
            "quiet_s": round(max(0.0, self.voter.quiet_until - now), 3),
            "lease_ms": self.settings.lease_ms,
            "majority": self.settings.majority,
            "incarnation": self.membership.incarnation,
            "refuted": self.membership.refutations,
            "members": {
                member.name: {
                    "state": member.state.name.lower(),
                    "silent_s": round(min(now - member.last_heard, 1e9), 3),
                    "holds": list(member.last_heartbeat.held) if member.state is MemberState.ALIVE else [],
                }
                for member in self.membership.others.values()
            },
            "addresses": {
                address: {
                    "stage": lease.stage.value,
                    "term": lease.term,
                    "left_s": round(lease.expires_at - now, 3) if lease.stage in LEASED else None,
                    "lease_s": lease.duration_s if lease.stage in LEASED else None,
                    "why": "" if lease.stage in LEASED else lease.idle_reason,
                    "vote": self._vote_text(address, now),
                }
                for address, lease in self.leases.items()
            },
            "counted": dict(sorted(self.counters.items())),
        }

    def _vote_text(self, address: str, now: float) -> str:
        vote = self.voter.votes.get(address)
        return f"{vote.holder} in {vote.term}" if vote is not None and vote.is_binding(now) else ""

    HANDLERS: ClassVar[dict[type, Callable[[Any, Any, float], None]]] = {
        events.Started: _on_started,
        events.MessageReceived: _on_message,
        events.Tick: _on_tick,
        events.AnnounceCompleted: _on_announce_completed,
        events.Withdrawn: _on_withdrawn,
        events.ReadinessChanged: _on_readiness_changed,
        events.Resign: _on_resign,
        events.VotingStopped: _on_voting_stopped,
        events.SettingsReloaded: _on_settings_reloaded,
    }
