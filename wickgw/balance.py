"""All decisions of the balancer. Its settings, events and actions are in wickgw/interface.py.

Read in order: learn (q), eligible, pick, outcomes, admission. One Balancer is one dispatcher and knows only
what its own events told it. Times are seconds on the caller's clock.
"""

import bisect
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, ClassVar

import numpy as np

from wickgw import interface as i
from wickgw.validate import check

GAMMA = 0.99  # discount: near 1, so that q tells speeds apart; a worker that never drains has q = 100
SIGMA0 = 4.0  # jobs squared: weight of the prior against data
MEMORY = 20.0  # seconds after which data counts 1/e
EXPLORE = 0.02  # share of picks made at random
REST = 0.25  # seconds a worker rests after its first strike; doubled by each further one
MOST_STRIKES = 6.0
FORGIVE = 0.25  # strikes that one served job takes back: a worker that fails one in five stays out
GROW = 0.25  # slots of room that a served job gives back
HANDSHAKE = 4.0  # ways until the first job on a new connection has begun
QUEUE = 3.0  # jobs that all dispatchers together let wait at one worker
TOLL = 20.0  # a crossing or new connection at a twentieth of a request's worth counts as one slot in use
SPARE, MOST_SPARE = 0.5, 50.0  # further attempts that one request gives a right to; most that are saved up
SLACK = 0.008  # seconds before its time is up at which a held request is answered
NEVER_RAN = (i.Verdict.FULL, i.Verdict.CONNECT_FAILED, i.Verdict.MOOT)


@dataclass(slots=True, eq=False)
class _Worker:
    id: str
    zone: int
    cell: int
    since: float | None
    warm_at: float
    ready: bool = True
    flying: int = 0  # own jobs in flight: x
    load: float = 0.0  # slots that they take
    unstarted: int = 0  # those of them that have not begun
    before: int = 0  # flying at the last tick: x_prev
    sent: int = 0  # accepted sends since: u
    q: float = 1.0
    strikes: float = 0.0
    room: float = math.inf  # slots of ours that begin there without waiting, as far as seen
    way: float = math.inf  # least seconds from a send to the news of its start: the network's part in a wait
    rest_until: float = -math.inf
    turned: bool = False  # it has called a request unusable, and served none since
    idle: list[float] = field(default_factory=list)  # since when its open connections have been unused
    cold_next: float = -math.inf  # no send before this while cold
    crowd_until: float = -math.inf  # others fill it: no send before this


@dataclass(slots=True, eq=False)
class _Attempt:
    worker: _Worker
    slots: float
    sent: float
    noted: float  # the last news of it
    started: float | None = None
    verdict: i.Verdict | None = None
    moved: bool = False  # called off, to go elsewhere
    unused: float = 0.0  # seconds for which its connection had been
    ways: float = 1.0  # of these the network needs until its start is known
    copied: bool = False  # another copy is out, lest this one starts late


@dataclass(slots=True, eq=False)
class _Request:
    id: str
    cls: int
    kind: i.RequestClass
    slots: float
    due: float  # the client's time is up
    until: float  # no sense or no time in starting it later
    value: float  # worth for its work
    most: int  # attempts
    attempts: list[_Attempt] = field(default_factory=list)
    late: bool = False  # too late for the full worth, held for the worth of a late answer


class Balancer:
    """One dispatcher's decisions: feed it events in order, carry out the actions it returns."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        check(settings)
        self.set = settings
        self.random = random.Random(seed)
        self.workers: dict[str, _Worker] = {}
        self.order: list[_Worker] = []  # the rows of the matrices
        self.sigma = self.sigma_bar = np.zeros((0, 0))
        self.aim = min(c.aim for c in settings.classes)
        self.keep = settings.idle_close  # seconds for which an unused connection is trusted
        self.spacing = max(0.0, settings.dispatchers / QUEUE - 1)
        self.wait = 0.0  # seconds from a send to its start, averaged
        self.weight = 1.0  # of a tick's data; that of all before shrinks against it
        self.last_tick = self.solved = -math.inf  # solved: when q was last solved for
        self.requests: dict[str, _Request] = {}  # unanswered ones
        self.out: dict[tuple[str, int], _Attempt] = {}  # attempts without an outcome
        mean = sum(c.worth for c in settings.classes) / len(settings.classes)
        price = 2 * settings.handshake_fee * mean  # of a copy that saves every second answer
        self.copies = [settings.may_copy and c.worth * (1 - c.late_worth) > price for c in settings.classes]
        self.tick = self.aim / 2 if any(self.copies) else self.aim  # a copy is for half an aim's wait
        self.spare = MOST_SPARE  # further attempts left: retries must not feed a jam
        self.held: list[_Request] = []
        self.run = [c.aim for c in settings.classes]  # seconds a job of the class runs, learned
        self.tokens: dict[int, tuple[float, float]] = {}  # a tenant's requests within its share, and when
        self.work_sent = 0.0  # slot-seconds sent to warm workers since the last tick
        self.warm_rate = 0.0  # the same, a second and worker, averaged
        self.todo: list[i.Action] = []

    def handle(self, event: i.Event, now: float) -> list[i.Action]:
        """Take one event at its time; return what to do about it, in order."""
        self.todo = []
        self.ON[type(event)](self, event, now)
        return self.todo

    # Learn: the paper's matrices and q.

    def _learn(self, now: float) -> None:
        """A tick: book x, x_prev and u in the rows in use. New data weighs ever more, so old fades."""
        used = [(row, w) for row, w in enumerate(self.order) if w.before or w.sent or w.flying]
        for column, other in used:
            for row, w in used if other.before else ():
                self.sigma[row, column] += self.weight * w.before * other.before
                self.sigma_bar[row, column] += self.weight * (w.flying - w.sent) * other.before
        for _, w in used:
            w.before, w.sent = w.flying, 0
        self.weight = min(self.weight * math.exp(self.tick / MEMORY), 1e9)
        self.last_tick = now

    def _solve(self, now: float) -> None:
        """q from the matrices. A worker little known counts as all do: thought idle, it would draw us all."""
        self.sigma, self.sigma_bar = self.sigma / self.weight, self.sigma_bar / self.weight
        self.solved, self.weight, eye = now, 1.0, SIGMA0 * np.eye(len(self.order))
        kept = math.exp(-self.tick * len(self.run) / sum(self.run))  # by a job that begins at once
        sigma, sigma_bar = self.sigma + eye, self.sigma_bar + kept * eye
        try:
            q = np.linalg.solve(sigma - GAMMA * sigma_bar.T, sigma.sum(axis=1))
        except np.linalg.LinAlgError:
            return
        if len(q) and np.isfinite(q).all() and q.min() > 0:
            for w, value in zip(self.order, q.tolist(), strict=True):
                w.q = value

    def _unbook(self, attempt: _Attempt) -> None:
        """An unserved end leaves no trace in this tick: else failing fast would look like draining fast."""
        if attempt.sent >= self.last_tick:
            attempt.worker.sent -= 1
        else:
            attempt.worker.before -= 1

    def _add(self, entry: i.Entry, now: float) -> None:
        warm_at = -math.inf if entry.since is None else entry.since + self.set.warm_after
        worker = _Worker(entry.worker, entry.zone, entry.cell, entry.since, warm_at)
        # Hundreds of us may see it start at once: the first send waits for a random part of the pace.
        worker.cold_next = now + self.random.random() * self._pace(worker, sum(self.run) / len(self.run), now)
        if worker.zone != self.set.zone:  # its other half is its own zone's: no more than one job until seen
            worker.room = 1.0
        self.workers[worker.id] = worker
        self.order.append(worker)
        grown = np.zeros((2, len(self.order), len(self.order)))
        grown[:, :-1, :-1] = self.sigma, self.sigma_bar
        (self.sigma, self.sigma_bar), self.solved = grown, -math.inf

    def _drop(self, worker: _Worker) -> None:
        row, both = self.order.index(worker), (self.sigma, self.sigma_bar)
        self.sigma, self.sigma_bar = (np.delete(np.delete(m, row, 0), row, 1) for m in both)
        del self.order[row], self.workers[worker.id]

    # Who is eligible: listed, not draining, within the cold budget, healthy.

    def _list(self, event: i.WorkerList, now: float) -> None:
        if event.kind is i.ListKind.UNAVAILABLE:
            self._wake("ask", self.random.uniform(0.25, 4.0))  # not all of us at once
            return
        named = {e.worker for e in event.entries}
        if event.kind is not i.ListKind.UPDATE:
            for worker in [w for w in self.order if w.id not in named]:
                self._drop(worker)
        for entry in event.entries:
            old = self.workers.get(entry.worker)
            if old and entry.health is i.Health.DRAINING:  # drains kept: no grace is used
                old.ready = False
            elif old and entry.health is i.Health.READY and old.since == entry.since:
                old.ready = True
            else:
                if old:  # gone, or restarted: it begins anew
                    self._drop(old)
                if entry.health is i.Health.READY:
                    self._add(entry, now)
        self._serve(now)

    def _cold_share(self, worker: _Worker, now: float) -> float:
        """The least share of its capacity that a worker may have now: 1 when warm."""
        if now >= worker.warm_at:
            return 1.0
        return 1 - (1 - self.set.cold_from) * min(1.0, (worker.warm_at - now) / self.set.warm_after)

    def _pace(self, worker: _Worker, cost: float, now: float) -> float:
        """Seconds that a cold worker's slot-seconds stand for: its share of what warm ones get from us keeps
        all of us within its capacity. Nothing known: one slot among all of us."""
        rate = self._cold_share(worker, now) * self.warm_rate
        return cost / (rate if rate > 1e-9 else 1 / self.set.dispatchers)

    def _allowed(self, r: _Request, now: float) -> Callable[[_Worker], bool] | None:
        """Rule 2, the one gate of sends: which workers may get the next attempt; None: none may."""
        risky = [a for a in r.attempts if a.verdict not in NEVER_RAN]
        out = any(a.verdict is None for a in risky)
        spent = len(r.attempts) >= r.most or (r.attempts and self.spare < 1)
        if spent or (out and not self.set.may_copy):
            return None
        if not risky or r.kind.effect is i.Effect.SAFE:
            return lambda w: True
        if r.kind.effect is i.Effect.UNSAFE:
            return None
        first = risky[0].worker
        if now >= risky[0].sent + r.kind.window - SLACK:
            return None
        in_zone, in_cell = r.kind.group is i.Group.ZONE, r.kind.group is i.Group.CELL
        return lambda w: not ((in_zone and w.zone != first.zone) or (in_cell and w.cell != first.cell))

    def _free(self, now: float) -> list[_Worker]:
        """Workers that may get something new now, whatever it is."""
        # Work waits here, not at a worker that has not begun our last job: slow, hung, stalled or crowded.
        # Room counts in whole jobs: a quarter of a slot given back is no room for another.
        ready = [w for w in self.order if w.ready and not w.unstarted and w.load + 1 <= w.room]
        ready = [w for w in ready if now >= w.warm_at or now >= w.cold_next]
        if all(now < w.rest_until for w in self.order if w.ready):
            return ready  # all look bad: rather our own view is
        return [w for w in ready if now >= w.rest_until and now >= w.crowd_until]

    # Pick: the least q x (1 + own jobs in flight), or now and then any.

    def _pick(self, r: _Request, free: list[_Worker], now: float) -> _Worker | None:
        pool = free
        if r.attempts:
            allowed, tried = self._allowed(r, now), r.attempts[-1].worker
            pool = [w for w in free if allowed(w) and w is not tried] if allowed else []
        if r.kind.effect is i.Effect.UNSAFE:  # it cannot be moved: no part in trials, if another is free
            pool = [w for w in pool if not w.strikes] or pool
        if not pool or now >= r.until:
            return None
        if self.random.random() < EXPLORE:
            return self.random.choice(pool)
        if now >= self.solved + MEMORY / 20:
            self._solve(now)
        home, toll = self.set.zone, 1 + TOLL * self.set.crossing_fee
        fresh, dear = now - self.keep, 1 + TOLL * self.set.handshake_fee  # to open a connection
        costs = [w.q * (1 + w.load) * (1 if w.zone == home else toll) for w in pool]
        costs = [c if w.idle and w.idle[-1] > fresh else c * dear for c, w in zip(costs, pool, strict=True)]
        least = min(costs)  # ties by own randomness: by the list's order all dispatchers would act in step
        return self.random.choice([w for w, cost in zip(pool, costs, strict=True) if cost == least])

    def _send(self, r: _Request, worker: _Worker, now: float) -> None:
        attempt = _Attempt(worker, r.slots, now, now, None if self.set.tells_start else now)
        if worker.idle and now - worker.idle[-1] >= self.keep:
            self.todo.append(i.Close(worker.id))
            worker.idle.clear()
        attempt.ways = 1.0 if worker.idle else HANDSHAKE
        attempt.unused = now - worker.idle.pop() if worker.idle else 0.0
        self.spare -= len(r.attempts) > 0
        self.out[r.id, len(r.attempts)] = attempt
        r.attempts.append(attempt)
        worker.flying += 1
        worker.load += r.slots
        worker.sent += 1
        worker.unstarted += self.set.tells_start
        cost = r.slots * self.run[r.cls]
        if now < worker.warm_at:
            worker.cold_next = now + self._pace(worker, cost, now)
        else:
            self.work_sent += cost
        self.todo.append(i.Send(r.id, worker.id))

    # What an outcome leads to: retry or answer.

    def _note(self, event: i.Started | i.Progress, now: float) -> None:
        attempt = self.out.get((event.request, event.attempt))
        if attempt is None:
            return
        attempt.noted = now
        if attempt.started is None:
            attempt.started = now
            attempt.worker.unstarted -= 1
            wait, attempt.worker.way = now - attempt.sent, min(attempt.worker.way, now - attempt.sent)
            # Full: no more than ran then. Where the way alone takes that long it says nothing of the queue.
            if wait - attempt.ways * attempt.worker.way > self.aim / 4:
                attempt.worker.room = max(1.0, attempt.worker.load - attempt.slots)
            # After a wait leave it to the others: when all are full, all of us keep about QUEUE jobs there.
            attempt.worker.crowd_until = now + wait * self.spacing * min(1.0, self.wait / self.aim) ** 2
            self.wait += 0.05 * (wait - self.wait)
            if attempt.unused > self.keep / 2:
                self.keep = min(1.1 * self.keep, self.set.idle_close)
            self._call_off(self.requests.get(event.request), begun=False)
            self._serve(now)

    def _call_off(self, r: _Request | None, begun: bool) -> None:
        """Ends the other copies of a request: those that wait when one begins, all when one is served."""
        for number, other in enumerate(r.attempts if r and self.set.may_cancel else ()):
            if r and other.verdict is None and (begun or other.started is None):
                self.todo.append(i.Cancel(r.id, number))

    def _outcome(self, event: i.Outcome, now: float) -> None:
        attempt = self.out.pop((event.request, event.attempt), None)
        r = self.requests.get(event.request)
        if event.over:
            self.requests.pop(event.request, None)
        if attempt is None:
            return
        w, attempt.verdict = attempt.worker, event.verdict
        w.flying -= 1
        w.load -= attempt.slots
        if attempt.started is None:
            w.unstarted -= 1
        if event.verdict is i.Verdict.OK:
            w.idle.append(now)
            w.turned = False
            w.room += GROW
            w.strikes = max(0.0, w.strikes - FORGIVE)
            self._call_off(r, begun=True)
            if r and attempt.started is not None:
                self.run[r.cls] += 0.05 * (now - attempt.started - self.run[r.cls])
        else:
            self._unbook(attempt)
            # One request that nobody can use is its client's fault; a worker that calls all so is sick.
            unusable = event.verdict is i.Verdict.UNUSABLE
            blameless = (unusable and not w.turned) or event.verdict in (i.Verdict.MOOT, i.Verdict.CANCELLED)
            w.turned = w.turned or unusable
            if attempt.moved or not blameless:
                # Eases off a worker that fails, is full, silent or out of reach; it comes back by trials.
                w.strikes = min(w.strikes + 1, MOST_STRIKES)
                w.rest_until = now + REST * 2 ** (w.strikes - 1)
        if r and not event.over and r not in self.held and all(a.verdict is not None for a in r.attempts):
            if event.verdict is i.Verdict.UNUSABLE:
                del self.requests[r.id]
                self.todo.append(i.Fail(r.id))
            else:
                self._hold(r, now)
        self._serve(now)

    def _answer(self, r: _Request) -> None:
        """The one gate of final answers: a refusal only where another try does no harm."""
        if self.requests.pop(r.id, None) is None:
            return
        harmless = r.kind.effect is i.Effect.SAFE or all(a.verdict in NEVER_RAN for a in r.attempts)
        harmless = harmless or (r.kind.effect is i.Effect.KEYED and r.kind.group is i.Group.ALL)
        self.todo.append(i.Refuse(r.id, self._room_in(r)) if harmless else i.Fail(r.id))

    def _room_in(self, r: _Request) -> float:
        """Seconds until a refused job, come back, may find a worker free: those held run before it. Spread,
        so that clients refused together do not come back together."""
        ready = max(1, sum(w.ready for w in self.order))
        work = sum(self.run[h.cls] * h.slots for h in self.held) + self.run[r.cls] * r.slots
        share = work * self.set.dispatchers / ready  # the others hold about as much for the same workers
        return min(max(share, self.aim) * self.random.uniform(0.75, 1.25), self.set.most_after)

    def _left(self, event: i.ClientLeft | i.StreamBegan, now: float) -> None:
        r = self.requests.pop(event.request, None)
        if r in self.held:
            self.held.remove(r)

    def _watch(self, now: float) -> None:
        """Copies work that waits; calls it off if all is quiet and another may still serve it in time."""
        free = self._free(now) if self.out and any(self.copies) else []
        for (name, number), attempt in list(self.out.items()):
            r, age = self.requests.get(name), now - attempt.sent
            if r is None or attempt.moved or r.kind.effect is i.Effect.UNSAFE:
                continue
            late = 0 < 2.5 * self.set.progress_every < now - attempt.noted
            if attempt.started is None:
                late = age > max(r.kind.aim + self.run[r.cls], 3 * self.wait)
                if free and age > self.aim / 2 and self.copies[r.cls] and not attempt.copied:
                    other = self._pick(r, free, now)
                    if other is not None:
                        attempt.copied = True
                        self._send(r, other, now)
                        free = self._free(now)
                        continue
                if late and attempt.unused > self.keep / 2:  # silent after a pause: connections die unseen
                    self.keep, attempt.unused, attempt.started = 0.7 * self.keep, 0.0, now
                    attempt.worker.unstarted -= 1  # so it does not bar the worker
            hope = len(r.attempts) < r.most and (now < r.until or r.kind.late_worth)
            if late and hope and self.set.may_cancel and r.due - now > r.kind.aim:
                attempt.moved = True
                self.todo.append(i.Cancel(name, number))

    # Admission: held work, most worth for its work first, and ended when it can earn nothing.

    def _arrival(self, event: i.Arrival, now: float) -> None:
        kind, slots, run = self.set.classes[event.cls], max(event.slots, 1.0), self.run[event.cls]
        due, self.spare = now + event.patience, min(self.spare + SPARE, MOST_SPARE)
        # Begun later it ends past its aim: its own run and the usual wait at a worker come off.
        until = min(due - SLACK, now + max(kind.aim + (kind.stretch - 1) * run - self.wait, self.aim / 2))
        value = kind.worth * self._share(event.tenant, now) / (slots * run)
        most = self.set.max_attempts if event.most is None else min(event.most, self.set.max_attempts)
        r = _Request(event.request, event.cls, kind, slots, due, until, value, most)
        self.requests[event.request] = r
        worker = None if self.held else self._pick(r, self._free(now), now)
        if worker is not None:
            self._send(r, worker, now)
        else:
            self._hold(r, now)

    def _share(self, tenant: int, now: float) -> float:
        """What a request's worth counts for: less beyond our part of its tenant's quota."""
        if not 0 <= tenant < len(self.set.tenants):
            return 1.0
        rate = self.set.tenants[tenant].quota / self.set.dispatchers
        tokens, then = self.tokens.get(tenant, (rate, now))
        tokens = min(max(rate, 1.0), tokens + rate * (now - then))  # a second's worth at most
        self.tokens[tenant] = (max(0.0, tokens - 1), now)
        return 1.0 if tokens >= 1 else self.set.over_share_worth

    def _hold(self, r: _Request, now: float) -> None:
        """Keeps a request here for a free worker, or ends it when there is no sense in that."""
        # Begun later it can't end in time. Held on after that, it could only keep its client from asking
        # again, so it is answered then and not when the client's time is up.
        last = r.due - SLACK - self.run[r.cls] - self.wait
        if r.until <= now < last and r.kind.late_worth and not r.late:
            r.late, r.until, r.value = True, last, r.value * r.kind.late_worth
        r.until = min(r.until, last)
        if now >= r.until or self._allowed(r, now) is None:
            self._answer(r)
            return
        bisect.insort(self.held, r, key=lambda h: -h.value)
        self._wake("held " + r.id, r.until - now)

    def _serve(self, now: float) -> None:
        """Sends what is held to free workers. Only its front is looked at: a long line costs no time."""
        free, at = self._free(now) if self.held else [], 0
        while free and at < len(self.held):
            worker = self._pick(self.held[at], free, now)
            if worker is None:
                at += 1
            else:
                self._send(self.held.pop(at), worker, now)
                free = self._free(now)

    def _wake(self, name: str, after: float) -> None:
        self.todo.append(i.Wake(name, max(after, 0.001)))

    def _began(self, event: i.Began, now: float) -> None:
        self._wake("tick", self.tick)
        if self.set.ask_for_list:
            self.todo.append(i.Subscribe())

    def _stopping(self, event: i.Stopping, now: float) -> None:
        """Every client's time is up when this instance ends."""
        for name in list(self.requests):
            self._hurry(i.Hurry(name, event.within), now)

    def _hurry(self, event: i.Hurry, now: float) -> None:
        """A client's time is up sooner: if it is held, and can't end by then, it is answered."""
        r = self.requests.get(event.request)
        if r and r.due > now + event.within:
            r.due = now + event.within
            if r in self.held:
                self.held.remove(r)
                self._hold(r, now)

    def _timer(self, event: i.Timer, now: float) -> None:
        if event.name == "ask":
            self.todo.append(i.Subscribe())
        elif event.name.startswith("held "):
            r = self.requests.get(event.name[5:])
            if r in self.held:  # held again if the timer was early: a caller's clock may round
                self.held.remove(r)
                self._hold(r, now)
        elif event.name == "tick":
            if any(now >= w.warm_at for w in self.order):  # in a wave of restarts the last figure holds
                warm = len([w for w in self.order if now >= w.warm_at]) if self.work_sent else 1
                self.warm_rate += min(1.0, self.tick / 5) * (
                    self.work_sent / self.tick / warm - self.warm_rate
                )
            self.work_sent = 0.0
            self._learn(now)
            self._watch(now)
            self._serve(now)
            self._wake("tick", self.tick)

    ON: ClassVar[dict[type, Callable[[Any, Any, float], None]]] = {i.Began: _began, i.WorkerList: _list}
    ON |= {i.Arrival: _arrival, i.ClientLeft: _left, i.Started: _note, i.Progress: _note, i.Timer: _timer}
    ON |= {i.Hurry: _hurry, i.Outcome: _outcome, i.Stopping: _stopping}
    ON |= {i.StreamBegan: _left}  # a begun stream is the client's
