"""All decisions of the balancer. Its settings, events and actions are in wickgw/interface.py.

Read in order: learn (q), members, eligible, pick, outcomes, admission. One Balancer is one dispatcher and
knows only what its own events told it. Times are seconds on the caller's clock.
"""

import math
import operator
import random
from collections.abc import Callable
from typing import Any, ClassVar

import numpy as np
from numpy.typing import NDArray

from wickgw import interface as i
from wickgw.books import NOBODY, Attempt, Bucket, Held, Index, Line, Paces, Request, Worker, ZoneWaits
from wickgw.matrices import AT_ONCE, Matrices, Once, Solve
from wickgw.standby import (
    ADMITTED_AT_ONCE,
    MEMBERS,
    MEMBERS_A_STEP,
    MEMBERS_AN_ATTEMPT,
    MOST_LEARNED,
    Standby,
)
from wickgw.validate import check

GAMMA = 0.99  # discount: near 1, so that q tells speeds apart; a worker that never drains has q = 100
# Weight of the prior against data, for QUEUE dispatchers: jobs squared, or jobs ended. More see less each.
SIGMA0, ENDS = 4.0, 8.0
MEMORY = 20.0  # seconds after which data counts 1/e
EXPLORE = 0.02  # share of picks made at random
REST = 0.25  # seconds a worker rests after its first strike; doubled by each further one
MOST_STRIKES = 6.0
FORGIVE = 0.25  # strikes that one served job takes back: a worker that fails one in five stays out
GROW = 0.25  # slots of room that a served job gives back
HANDSHAKE = 4.0  # ways until the first job on a new connection has begun
# Jobs that all of us let wait at one worker; times its least share that a cold one gets: half of what may be.
QUEUE, PUSH = 3.0, 2.0
TOLL = 20.0  # a crossing or new connection at a twentieth of a request's worth counts as one slot in use
SPARE, MOST_SPARE = 0.5, 50.0  # further attempts that one request gives a right to; most that are saved up
PIECE = 0.004  # seconds between pieces
PASSED = 100  # times in a row that room may go past a held request to other kinds; the next is its own
MATES = 4  # workers of one group that become members for a repeat that may go nowhere else
LOOKS = 8  # held requests of one kind that are looked at for a worker they may go to
COPIES, SILENT = 2, 2.5  # of a job not begun; intervals of notes without one
SLACK = 0.008  # seconds before its time is up at which a held request is answered
NEVER_RAN = (i.Verdict.FULL, i.Verdict.CONNECT_FAILED, i.Verdict.NOT_SENT)
CALLED_OFF = (i.Verdict.NOT_SENT, i.Verdict.CANCELLED)


class Balancer:
    """One dispatcher's decisions: feed it events in order, carry out the actions it returns."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        check(settings)
        self.set = settings
        self.random = random.Random(seed)
        self.workers: dict[str, Worker] = {}
        self.order: list[Worker] = []
        self.standby = Standby(settings.zone if settings.crossing_fee > 0 else None)
        self.most_members = MEMBERS
        self.admitting = False  # a further call that admits members is on its way
        self.matrices = Matrices(GAMMA, SIGMA0 * max(1.0, settings.dispatchers / QUEUE))
        self.rows: list[Worker | None] = []  # whose each row is, of the matrices and of the index
        self.unlearned: list[int] = []  # rows of nobody beyond the matrices
        self.active: set[Worker] = set()  # those with something to book at the next tick
        self.index = Index()
        self.solving: tuple[Once | Solve, list[Worker | None]] | None = None  # and whose its rows were
        self.aim = min(c.aim for c in settings.classes)
        self.keep = settings.idle_close  # seconds for which an unused connection is trusted
        self.spacing = max(0.0, settings.dispatchers / QUEUE - 1)
        self.wait = 0.0  # seconds from a send to its start, averaged
        self.zone_waits = ZoneWaits(settings.zone)
        self.last_tick = self.solved = -math.inf  # solved: when q was last solved for
        self.kept = 0.0  # of a worker little known, by a job that begins at once
        self.requests: dict[str, Request] = {}  # unanswered ones
        self.out: dict[tuple[str, int], Attempt] = {}  # attempts without an outcome
        worths = [c.worth for c in settings.classes]
        # Of a copy that saves half the answers; of many who can't see each other's, so many times fewer do.
        price = 2 * settings.handshake_fee * sum(worths) / len(worths) * (1 + self.spacing)
        self.copies = [settings.may_copy and c.worth * (1 - c.late_worth) > price for c in settings.classes]
        self.tick = self.aim / 2 if any(self.copies) else self.aim  # a copy is for half an aim's wait
        self.spare = MOST_SPARE  # further attempts left: retries must not feed a jam
        self.held = Held(len(settings.classes))
        self.next_end = math.inf  # when the timer for the held comes
        self.paces = Paces([c.aim for c in settings.classes])
        self.run = self.paces.run  # seconds a job of the class runs, learned
        self.quotas = [Bucket(t.quota / settings.dispatchers) for t in settings.tenants]  # our parts of them
        self.work_sent = 0.0  # slot-seconds sent to warm workers since the last tick
        self.warm_rate = 0.0  # the same, a second and worker, averaged
        self.stop_by = math.inf  # this instance ends then
        self.todo: list[i.Action] = []

    def handle(self, event: i.Event, now: float) -> list[i.Action]:
        """Take one event at its time; return what to do about it, in order."""
        self.todo = []
        self.ON[type(event)](self, event, now)
        return self.todo

    # Learn: the paper's matrices and q.

    def _learn(self, now: float) -> None:
        """A tick: book x, x_prev and u in the rows in use. New data weighs ever more, so old fades."""
        used = sorted((w for w in self.active if self.rows[w.row] is w), key=lambda w: w.row)
        self.matrices.tick([(w.row, w.before, w.flying - w.sent) for w in used if w.row < MOST_LEARNED])
        for w in used:
            w.before, w.sent = w.flying, 0
        self.active = {w for w in used if w.flying}
        self.matrices.fade(math.exp(self.tick / MEMORY))
        self.last_tick = now

    def _solve(self, now: float) -> None:
        """q from the matrices. A worker little known counts as all do: thought idle, it would draw us all."""
        self.solved = now
        run = sum(self.run) / len(self.run)  # where it is long, the data of many ticks tells of few ends
        ends = ENDS * run / self.tick * min(1.0, 2 * run / MEMORY)
        self.matrices.prior = (1 + self.spacing) * max(SIGMA0, ends)
        self.kept = self.matrices.pooled(math.exp(-self.tick / run))
        self.solving = self.matrices.begin(self.kept), list(self.rows)
        self._go_on()

    def _go_on(self) -> None:
        """The next step of a solve: a large one at once would stop the instance for tens of milliseconds."""
        if self.solving is None:
            return
        solve, workers = self.solving
        if (found := solve.step()) is None:
            self._wake("solve", PIECE)
            return
        self.solving = None
        q = np.append(found, np.full(len(workers) - solve.end, 1 / (1 - GAMMA * self.kept)))
        known = [(w, value) for w, value in zip(workers, q.tolist(), strict=True) if w is not None]
        if not all(0 < value < math.inf for _, value in known):  # nonsense: the last q stays
            return
        for w, value in known:
            old, w.q = w.q, value
            if self.rows[w.row] is w:  # it may have left, or begun anew, since the solve began
                self.index.costs[w.row] *= value / old

    def _changed(self, w: Worker) -> None:
        """Enter a worker in the index: from when on it may get something new, and at what cost."""
        if self.rows[w.row] is not w:  # it has left, and its row may be another's
            return
        # Work waits here, not at a worker that has not begun our last job, or has no room for a whole one.
        open_at = min(w.warm_at, w.cold_next)
        if not w.ready or w.unstarted or w.load + 1 > w.room:
            open_at = math.inf
        toll = 1.0 if w.zone == self.set.zone else 1 + TOLL * self.set.crossing_fee
        free_at, rests = max(open_at, w.rest_until, w.crowd_until), w.rest_until if w.ready else math.inf
        unused = w.idle[-1] if w.idle else -math.inf
        toll *= 1 + max(0.0, 1 + w.load - w.slots)  # by its load report our next job would wait there
        self.index.enter(w.row, free_at, open_at, rests, w.q * (1 + w.load) * toll, unused, w.slots - w.load)
        self.index.away[w.row] = w.zone != self.set.zone

    def _admit(self, now: float) -> None:
        """Workers on standby become members, a bounded number a call, while there is room."""
        wanted = min(len(self.standby), ADMITTED_AT_ONCE)
        if len(self.order) + wanted > self.most_members:
            self._drop_draining(len(self.order) + wanted - self.most_members)
        room = self.most_members - len(self.order)
        if room <= 0 or not self.standby:
            return
        home = sum(w.zone == self.set.zone for w in self.order)
        for entry in self.standby.take(min(room, ADMITTED_AT_ONCE), room, home, self.random):
            self._add(entry, now)
        room = self.most_members - sum(w.ready for w in self.order)
        if room > 0 and self.standby and not self.admitting:
            self.admitting = True
            self._wake("admit", PIECE)

    def _drop_draining(self, most: int) -> None:
        """Members that drain make room for others; what was learned of them goes with them."""
        for worker in [w for w in self.order if not w.ready][:most]:
            self._drop(worker)

    def _admit_more(self, now: float) -> bool:
        """None of the members is free: a few more are tried. Whether any were."""
        before = len(self.order)
        most = MEMBERS + MEMBERS_AN_ATTEMPT * len(self.out)
        if not self.standby or before >= most:
            return False
        self.most_members = min(most, max(self.most_members, before) + MEMBERS_A_STEP)
        self._admit(now)
        return len(self.order) > before

    def _admit_mates(self, r: Request, now: float) -> bool:
        """A repeat may only go to the group of the first attempt that may have run, of which no member is
        free: some of the group become members, once for each request. Whether any did."""
        if r.kind.group is i.Group.ALL or r.mates_admitted or not self.standby:
            return False
        risky = [a.worker for a in r.attempts if a.verdict not in NEVER_RAN]
        if not risky:
            return False
        r.mates_admitted = True
        first, in_cell = risky[0], r.kind.group is i.Group.CELL
        mates = self.standby.take_mates(
            MATES, lambda e: e.cell == first.cell if in_cell else e.zone == first.zone
        )
        for entry in mates:
            self._add(entry, now)
        return bool(mates)

    def _retire_unused(self, now: float) -> None:
        """Members beyond the usual number go back on standby when they were not used for a while."""
        over = len(self.order) - MEMBERS
        if over <= 0 or not self.standby:
            return
        unused = [w for w in self.order if w.ready and not w.flying and now >= w.warm_at]
        for worker in [w for w in unused if now - w.used_at > MEMORY][: min(over, MEMBERS_A_STEP)]:
            self._drop(worker)
            self.standby.add(worker.entry)
        self.most_members = max(MEMBERS, len(self.order))

    def _add(self, entry: i.Entry, now: float) -> None:
        warm_at = -math.inf if entry.since is None else entry.since + self.set.warm_after
        row = self._new_row()
        self.paces.enter(row, entry.kind)
        worker = Worker(entry.worker, row, entry.zone, entry.cell, entry.since, warm_at, entry)
        worker.used_at = now
        # Hundreds of us may see it start at once: the first send waits for a random part of a job's due.
        worker.cold_next = now + self._pace(worker, self.random.random() * sum(self.run) / len(self.run), now)
        worker.room = math.inf if worker.zone == self.set.zone else 1.0  # until seen: its zone has the rest
        self.workers[worker.id] = self.rows[worker.row] = worker
        self.order.append(worker)
        self.solved = -math.inf
        worker.q = 1 / (1 - GAMMA * self.kept)
        self._changed(worker)

    def _new_row(self) -> int:
        """A row of nobody: one with learned state, as long as there are any."""
        if self.matrices.left or self.matrices.size < MOST_LEARNED:
            row = self.matrices.add()
            self.rows += [None] * (self.matrices.size - len(self.rows))
            return row
        if not self.unlearned:
            self.rows.append(None)
            return len(self.rows) - 1
        return self.unlearned.pop()

    def _drop(self, worker: Worker) -> None:
        self.rows[worker.row] = None
        if worker.row < self.matrices.size:
            self.matrices.drop(worker.row)
        else:
            self.unlearned.append(worker.row)
        self.index.clear(worker.row)
        self.order.remove(worker)
        del self.workers[worker.id]

    # Who is eligible: listed, not draining, within the cold budget, healthy.

    def _list(self, event: i.WorkerList, now: float) -> None:
        if event.kind is i.ListKind.UNAVAILABLE:
            self._wake("ask", self.random.uniform(0.25, 4.0))  # not all of us at once
            return
        if event.kind is not i.ListKind.UPDATE:
            named = {e.worker for e in event.entries}
            for worker in [w for w in self.order if w.id not in named]:
                self._drop(worker)
            self.standby.keep_only(named)
        for entry in event.entries:
            self._listed(entry)
        self._admit(now)
        self._serve(now)

    def _listed(self, entry: i.Entry) -> None:
        """News of one worker."""
        ready = entry.health is i.Health.READY
        old = self.workers.get(entry.worker)
        if old is None:
            self.standby.discard(entry.worker)
        else:
            same = ready and old.since == entry.since
            if same or entry.health is i.Health.DRAINING:  # drains kept: no grace is used
                old.ready = same
                self._changed(old)
                return
            self._drop(old)  # gone, or restarted: it begins anew
        if ready:
            self.standby.add(entry)

    def _pace(self, worker: Worker, cost: float, now: float) -> float:
        """Seconds in which a cold worker's share, rising, of what warm ones get from us makes up a job: in
        its capacity for all of us, and not too late for those who send seldom. Nothing known: one slot."""
        whole = max(self.set.warm_after, 1e-9)
        share = 1 - (1 - self.set.cold_from) * min(1.0, max(0.0, worker.warm_at - now) / whole)
        due = cost / (PUSH * self.warm_rate if self.warm_rate > 1e-9 else 1 / self.set.dispatchers)
        return 2 * due / (share + math.sqrt(share * share + 2 * (1 - self.set.cold_from) / whole * due))

    def _allowed(self, r: Request, now: float) -> Callable[[Worker], bool] | None:
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
        if now >= risky[0].sent + r.kind.window - SLACK - self.set.connect_timeout:  # it may open that long
            return None
        in_zone, in_cell = r.kind.group is i.Group.ZONE, r.kind.group is i.Group.CELL
        return lambda w: not ((in_zone and w.zone != first.zone) or (in_cell and w.cell != first.cell))

    def _free(self, now: float) -> NDArray[np.intp]:
        """Workers (their rows) that may get something new now, whatever it is."""
        free = self.index.free(now)
        if not len(free) and self._admit_more(now):
            free = self.index.free(now)
        # If all look bad: rather our own view is.
        return free if len(free) or not self.index.all_rest(now) else self.index.but_for_rests(now)

    # Pick: the least q x (1 + own jobs in flight), or now and then any.

    def _pick(self, r: Request, free: NDArray[np.intp], now: float) -> Worker | None:
        if not len(free) or now >= r.until:
            return None
        if r.attempts or r.kind.effect is i.Effect.UNSAFE:
            pool = [w for row in free.tolist() if (w := self.rows[row]) is not None]
            if r.attempts:
                allowed, tried = self._allowed(r, now), r.attempts[-1].worker
                pool = [w for w in pool if allowed(w) and w is not tried] if allowed else []
                if allowed and not pool and self._admit_mates(r, now):
                    return self._pick(r, self._free(now), now)
            if r.kind.effect is i.Effect.UNSAFE:  # it cannot be moved: no part in trials, if another is free
                pool = [w for w in pool if not w.strikes] or pool
            if not pool:
                return None
            free = np.array([w.row for w in pool])
        if r.kind.stretch > 1:  # too long a run elsewhere: to the quick; if few seem so, "usual" is misjudged
            quick = free[self.paces.lags(free) <= math.log((1 + r.kind.stretch) / 2)]
            free = quick if 10 * len(quick) > len(free) else free
        if self.random.random() < EXPLORE:
            return self.rows[int(self.random.choice(free))]
        if now >= self.solved + MEMORY / 20 and self.solving is None:
            self._solve(now)
        fresh, dear = now - self.keep, 1 + TOLL * self.set.handshake_fee  # to open a connection
        costs = self.index.costs[free] * np.where(self.index.unused[free] > fresh, 1.0, dear)
        if self.zone_waits.home_is_full:  # a price of going elsewhere is no reason to wait at home
            costs = np.where(self.index.away[free], costs / (1 + TOLL * self.set.crossing_fee), costs)
        # Ties by own randomness: by the list's order all dispatchers would act in step.
        return self.rows[int(self.random.choice(free[costs == costs.min()]))]

    def _send(self, r: Request, worker: Worker, now: float) -> None:
        attempt = Attempt(worker, r.slots, now, now, None if self.set.tells_start else now)
        if worker.idle and now - worker.idle[-1] >= self.keep:
            self.todo.append(i.Close(worker.id))
            worker.idle.clear()
        attempt.ways = 1.0 if worker.idle else HANDSHAKE
        attempt.unused = now - worker.idle.pop() if worker.idle else 0.0
        self.spare -= len(r.attempts) > 0
        self.out[r.id, len(r.attempts)] = attempt
        self.active.add(worker)
        r.attempts.append(attempt)
        worker.flying += 1
        worker.used_at = now
        worker.load += r.slots
        worker.sent += 1
        worker.unstarted += self.set.tells_start
        cost = r.slots * self.run[r.cls]
        if now < worker.warm_at:
            worker.cold_next = now + self._pace(worker, cost, now)
        else:
            self.work_sent += cost
        self._changed(worker)
        self.todo.append(i.Send(r.id, worker.id))

    # What an outcome leads to: retry or answer.

    def _note(self, event: i.Started | i.Progress, now: float) -> None:
        attempt, r = self.out.get((event.request, event.attempt)), self.requests.get(event.request)
        if attempt is None:
            return
        if attempt.tell(event.share, now, r is not None and r.begun == 1):
            self._paced(r, attempt, now)
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
            self.zone_waits.observe(r is None or wait > r.slack(self.run[r.cls]), attempt.worker.zone)
            self._changed(attempt.worker)
            if attempt.unused > self.keep / 2:
                self.keep = min(1.1 * self.keep, self.set.idle_close)
            self._call_off(r, begun=False)
            self._serve(now)

    def _paced(self, r: Request | None, attempt: Attempt, now: float) -> None:
        """A job's pace tells how slow its worker is, once it is known how long it runs on a usual one. From
        one so slow that half of its class's slack is lost it goes elsewhere, if that is quicker even so."""
        if r is None or attempt.moved or self.rows[attempt.worker.row] is not attempt.worker:
            return
        r.size = self.paces.size(attempt.worker.row, attempt.whole, r.size)
        usual, rest = math.exp(r.size), attempt.rest(now)
        left = usual * (1 - attempt.share) + self.set.progress_every  # elsewhere, if there is a saved state
        late = rest > usual + r.kind.aim and now + rest > r.urgency + (1 + r.kind.stretch) / 2 * usual
        harmless = self.set.may_cancel and r.kind.effect is i.Effect.SAFE
        r.until = max(r.until, r.urgency + r.kind.stretch * usual - left)
        ends = harmless and now + rest > self.stop_by  # its client may still have it run elsewhere
        goes = harmless and (late or now + rest > r.due > now + left)
        if ends or (goes and self._pick(r, self._free(now), now)):
            attempt.moved = not ends
            self.todo.append(i.Cancel(r.id, r.attempts.index(attempt)))
        if ends:
            self._answer(r)

    def _may_be_long(self, r: Request | None, attempt: Attempt, now: float) -> None:
        """What ran so long may well run as long again, and has the slack of its length to start again."""
        if r and attempt.started is not None and not attempt.whole and self.set.tells_start:
            r.until = max(r.until, r.urgency + 2 * (r.kind.stretch - 1) * (now - attempt.started))

    def _call_off(self, r: Request | None, begun: bool) -> None:
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
            if r and attempt.started is not None and r.begun == 1 and self.rows[w.row] is w:
                self.paces.ran(r.cls, now - attempt.started, w.row)
        else:
            attempt.unbook(self.last_tick)
            self._may_be_long(r, attempt, now)
            # One request that nobody can use is its client's fault; a worker that calls all so is sick.
            unusable = event.verdict is i.Verdict.UNUSABLE
            blameless = (unusable and not w.turned) or event.verdict in CALLED_OFF
            w.turned = w.turned or unusable
            if attempt.moved or not blameless:
                # Eases off a worker that fails, is full, silent or out of reach; it comes back by trials.
                w.strikes = min(w.strikes + 1, MOST_STRIKES)
                w.rest_until = now + REST * 2 ** (w.strikes - 1)
        self.active.add(w)
        w.slots = w.slots if event.free is None else event.free + w.load
        self._changed(w)
        if r and not event.over and r.ticket < 0 and all(a.verdict is not None for a in r.attempts):
            if event.verdict is i.Verdict.UNUSABLE:
                del self.requests[r.id]
                self.todo.append(i.Fail(r.id))
            else:
                self._hold(r, now)
        self._serve(now)

    def _answer(self, r: Request) -> None:
        """The one gate of final answers: a refusal only where another try does no harm."""
        if self.requests.pop(r.id, None) is None:
            return
        self.held.remove(r)
        harmless = r.kind.effect is i.Effect.SAFE or all(a.verdict in NEVER_RAN for a in r.attempts)
        harmless = harmless or (r.kind.effect is i.Effect.KEYED and r.kind.group is i.Group.ALL)
        self.todo.append(i.Refuse(r.id, self._room_in(r)) if harmless else i.Fail(r.id))

    def _room_in(self, r: Request) -> float:
        """Seconds until a refused job, come back, may find a worker free: those held run before it. Spread,
        so that clients refused together do not come back together."""
        ready = max(1, int((self.index.rests < math.inf).sum()) + len(self.standby))
        work: float = sum(map(operator.mul, self.run, self.held.slots)) + self.run[r.cls] * r.slots
        share = work * self.set.dispatchers / ready  # the others hold about as much for the same workers
        most = self.set.most_after if self.stop_by == math.inf else 0.0  # elsewhere there is room at once
        return min(max(share, self.aim) * self.random.uniform(0.75, 1.25), most)

    def _left(self, event: i.ClientLeft | i.StreamBegan, now: float) -> None:
        if r := self.requests.pop(event.request, None):
            self.held.remove(r)

    def _watch(self, now: float) -> None:
        """Copies work that waits; calls it off if all is quiet and another may still serve it in time."""
        free = self._free(now) if self.out and any(self.copies) else NOBODY
        for (name, number), attempt in list(self.out.items()):
            r, age = self.requests.get(name), now - attempt.sent
            if r is None or attempt.moved or r.kind.effect is i.Effect.UNSAFE:
                continue
            late = 0 < SILENT * self.set.progress_every < now - attempt.noted
            if attempt.started is None:
                # None while jobs wait anyhow, and one each: many of us would make the jam that copies avoid.
                quiet = self.wait < self.aim / 2 and len(r.attempts) == 1
                late = quiet and age > max(r.kind.aim + self.run[r.cls], 3 * self.wait)
                copy = age > self.aim / 2 and self.copies[r.cls] and len(r.attempts) <= COPIES
                if copy and (other := self._pick(r, free if quiet else self.index.roomy(free), now)):
                    self._send(r, other, now)
                    free = self._free(now)
                    continue
                if late and attempt.unused > self.keep / 2:  # silent after a pause: connections die unseen
                    self.keep, attempt.unused, attempt.started = 0.7 * self.keep, 0.0, now
                    attempt.worker.unstarted -= 1  # so it does not bar the worker
                    self._changed(attempt.worker)
            elif late:
                self._may_be_long(r, attempt, now)
            hope = len(r.attempts) < r.most and (now < r.until or r.kind.late_worth)
            if late and hope and self.set.may_cancel and r.due - now > r.kind.aim:
                attempt.moved = True
                self.todo.append(i.Cancel(name, number))

    # Admission: held work, most worth for its work first, and ended when it can earn nothing.

    def _arrival(self, event: i.Arrival, now: float) -> None:
        kind, slots = self.set.classes[event.cls], max(event.slots, 1.0)
        due, self.spare = now + event.patience, min(self.spare + SPARE, MOST_SPARE)
        # Begun later it ends past its aim. Where late is worth nothing a typical run counts, half the mean.
        run = self.run[event.cls] * (1.0 if kind.late_worth else 0.5)
        until = min(due - SLACK, now + max(kind.aim + (kind.stretch - 1) * run - self.wait, self.aim / 2))
        urgency, share = min(due, now + kind.aim), self._share(event.tenant, now)
        most = self.set.max_attempts if event.most is None else min(event.most, self.set.max_attempts)
        r = Request(event.request, event.cls, kind, slots, due, until, urgency, share, most)
        self.requests[event.request] = r
        if not self.held and (worker := self._pick(r, self._free(now), now)):
            self._send(r, worker, now)
        else:
            self._hold(r, now)

    def _share(self, tenant: int, now: float) -> float:
        """What a request's worth counts for: less beyond our part of its tenant's quota."""
        known = 0 <= tenant < len(self.quotas)  # what is nobody's is beyond every share
        within = self.quotas[tenant].take(now) if known else not self.quotas
        return 1.0 if within else self.set.over_share_worth

    def _hold(self, r: Request, now: float) -> None:
        """Keeps a request here for a free worker, or ends it when there is no sense in that."""
        # Begun later it can't end in time: it is answered then, so that its client may ask again.
        last = r.due - SLACK - self.run[r.cls] - self.wait
        if r.until <= now < last and r.kind.late_worth and not r.late:
            r.late, r.until, r.share = True, last, r.share * r.kind.late_worth
        r.until = min(r.until, last)
        if now >= r.until or self._allowed(r, now) is None:
            self._answer(r)
            return
        self.held.add(r)
        self._wake_for_held(now)

    def _wake_for_held(self, now: float) -> None:
        """One timer, for the first that can't be begun in time any more."""
        if (end := self.held.first_end()) < self.next_end:
            self.next_end = end
            self._wake("held", end - now)

    def _serve(self, now: float) -> None:
        """Sends what is held to free workers: of two lines the one with more worth for its work first, but
        room goes past none more than PASSED times in a row. Only the front of each is looked at."""
        while self.held and len(free := self._free(now)):
            ranked = sorted(self.held.fronts(), key=self._rank)
            if late := [r for _, r in ranked if now >= r.until]:  # their timers are about to come
                for r in late:
                    self.held.remove(r)
                    self._hold(r, now)
                continue
            for line, front in ranked:
                # Of those tried before, one may be barred from the workers that are free, the next not.
                some = line.first(LOOKS) if front.attempts else (front,)
                picked = ((r, w) for r in some if (w := self._pick(r, free, now)) is not None)
                if first := next(picked, None):
                    self.held.remove(first[0])
                    self._send(*first, now)
                    break
            else:
                return
            for other, _ in ranked:
                other.passed = 0 if other is line else other.passed + 1

    def _rank(self, item: tuple[Line, Request]) -> tuple[bool, float, int]:
        line, r = item
        work = r.slots * (1.0 if self.set.worth_by_work else self.run[r.cls])
        return line.passed < PASSED, -r.kind.worth * r.share / work, r.ticket

    def _wake(self, name: str, after: float) -> None:
        self.todo.append(i.Wake(name, max(after, 0.001)))

    def _began(self, event: i.Began, now: float) -> None:
        self._wake("tick", self.tick)
        self.todo += [i.Subscribe()] if self.set.ask_for_list else []

    def _stopping(self, event: i.Stopping, now: float) -> None:
        """Every client's time is up when this instance ends."""
        self.stop_by = now + event.within
        for name in list(self.requests):
            self._hurry(i.Hurry(name, event.within), now)

    def _hurry(self, event: i.Hurry, now: float) -> None:
        """A client's time is up sooner: if it is held, and can't end by then, it is answered."""
        r = self.requests.get(event.request)
        if r and r.due > now + event.within:
            r.due = now + event.within
            if self.held.remove(r):
                self._hold(r, now)
            for attempt in [a for a in r.attempts if a.verdict is None and a.whole]:
                self._paced(r, attempt, now)

    def _timer(self, event: i.Timer, now: float) -> None:
        if event.name == "ask":
            self.todo.append(i.Subscribe())
        elif event.name == "solve":
            self._go_on()
        elif event.name == "admit":
            self.admitting = False
            self._admit(now)
            self._serve(now)
        elif event.name == "held":
            self.next_end = math.inf
            for r in self.held.over(now):
                self._hold(r, now)
            self._wake_for_held(now)
        elif event.name == "tick":
            if warm := sum(now >= w.warm_at for w in self.order):  # else the last figure holds
                rate = self.work_sent / self.tick / warm
                self.warm_rate += min(1.0, self.tick / 5) * (rate - self.warm_rate)
            self.work_sent = 0.0
            self._learn(now)
            self._retire_unused(now)
            self._wake("tick", self.tick)
        if event.name == "tick" and len(self.out) > AT_ONCE:  # a call of its own
            self._wake("watch", 0.0)
        elif event.name in ("tick", "watch"):
            self._watch(now)
            self._serve(now)

    ON: ClassVar[dict[type, Callable[[Any, Any, float], None]]] = {i.Began: _began, i.WorkerList: _list}
    ON |= {i.Arrival: _arrival, i.ClientLeft: _left, i.Started: _note, i.Progress: _note, i.Timer: _timer}
    ON |= {i.Hurry: _hurry, i.Outcome: _outcome, i.Stopping: _stopping, i.StreamBegan: _left}
