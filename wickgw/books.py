"""What the balancer remembers: workers, attempts, requests, an index of who is free, lines of the held.

Records and containers, no decisions: who is free, who goes first and what becomes of anything is decided in
balance.py, the only user.
"""

import heapq
import itertools
import math
from collections.abc import Iterator
from dataclasses import dataclass, field

import numpy as np
from numpy.typing import NDArray

from wickgw import interface as i

Rows = NDArray[np.intp]
NOBODY: Rows = np.zeros(0, np.intp)


@dataclass(slots=True, eq=False)
class Worker:
    """One worker, as this instance's own events tell of it."""

    id: str
    row: int  # its place in the matrices and in the index
    zone: int
    cell: int
    since: float | None
    warm_at: float
    entry: i.Entry  # as it was listed when it became a member
    used_at: float = -math.inf  # when it got its last attempt
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
    slots: float = math.inf  # that are free there or ours, by its last load report; infinite: it gives none


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt."""

    worker: Worker
    slots: float
    sent: float
    noted: float  # the last news of it
    started: float | None = None
    verdict: i.Verdict | None = None
    moved: bool = False  # called off, to go elsewhere
    unused: float = 0.0  # seconds for which its connection had been
    ways: float = 1.0  # of these the network needs until its start is known
    share: float = 0.0  # of the job that is done, as its worker told last
    whole: float = (
        0.0  # seconds that all of the job takes at the pace of its last two notes; 0: not known yet
    )

    def tell(self, share: float, now: float, anew: bool) -> bool:
        """News of it, with the share that is done (0: not told); whether that tells its pace. The first share
        of a job that was not begun anew may count what was saved of it elsewhere."""
        done, passed, first = share - self.share, now - self.noted, not self.share
        self.share, self.noted = max(share, self.share), now
        if done <= 0 or passed <= 0 or (first and not anew):
            return False
        self.whole = passed / done
        return True

    def rest(self, now: float) -> float:
        """Seconds until it ends, at the pace that was told last."""
        return (1 - self.share) * self.whole - (now - self.noted)

    def unbook(self, last_tick: float) -> None:
        """An unserved end leaves no trace in this tick: else failing fast would look like draining fast."""
        if self.sent >= last_tick:
            self.worker.sent -= 1
        else:
            self.worker.before -= 1


@dataclass(slots=True, eq=False)
class Request:
    """One unanswered request."""

    id: str
    cls: int
    kind: i.RequestClass
    slots: float
    due: float  # the client's time is up
    until: float  # no sense or no time in starting it later
    urgency: float  # the order among equals: its aim, or its time, is up then. No estimate is in it
    share: float  # what its worth counts for: its tenant's share, less once it is late
    most: int  # attempts
    attempts: list[Attempt] = field(default_factory=list)
    size: float | None = None  # log of the seconds that it runs on a usual worker, once its progress tells
    late: bool = False  # too late for the full worth, held for the worth of a late answer
    ticket: int = -1  # its place among the held; -1: not held
    mates_admitted: bool = False  # workers of its group were made members for it

    def slack(self, run: float) -> float:
        """Seconds that it may wait at a worker and still end within its class's aim, if it runs so long."""
        return self.kind.aim + (self.kind.stretch - 1) * run

    @property
    def begun(self) -> int:
        """Attempts that began to run."""
        return sum(a.started is not None for a in self.attempts)


Kind = tuple[int, float, float, bool]  # class, share, slots, tried before


@dataclass(slots=True, eq=False)
class Line:
    """Held requests that differ in nothing but their time: first those whose time is up first, of equals the
    elder."""

    heap: list[tuple[float, int, Request]] = field(default_factory=list)
    passed: int = 0  # how often in a row room went past its front

    def front(self) -> Request | None:
        """The first that is still held."""
        while self.heap and self.heap[0][2].ticket != self.heap[0][1]:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def first(self, most: int) -> Iterator[Request]:
        """The first few that are still held."""
        return (r for _, ticket, r in heapq.nsmallest(most, self.heap) if r.ticket == ticket)


class Held:
    """All held requests, in a line for each kind."""

    def __init__(self, classes: int) -> None:
        self.lines: dict[Kind, Line] = {}
        self.count = 0
        self.slots = [0.0] * classes  # that they take, by class
        self._ends: list[tuple[float, int, Request]] = []  # by when they can't be begun in time any more
        self._tickets = itertools.count()

    def __len__(self) -> int:
        return self.count

    def add(self, r: Request) -> None:
        """It is held from now on."""
        r.ticket = next(self._tickets)
        self.count += 1
        self.slots[r.cls] += r.slots
        line = self.lines.setdefault((r.cls, r.share, r.slots, bool(r.attempts)), Line())
        heapq.heappush(line.heap, (r.urgency, r.ticket, r))
        heapq.heappush(self._ends, (r.until, r.ticket, r))

    def remove(self, r: Request) -> bool:
        """It is held no more; whether it was."""
        if r.ticket < 0:
            return False
        r.ticket = -1
        self.count -= 1
        self.slots[r.cls] -= r.slots
        return True

    def first_end(self) -> float:
        """When the first of them can't be begun in time any more."""
        while self._ends and self._ends[0][2].ticket != self._ends[0][1]:
            heapq.heappop(self._ends)
        return self._ends[0][0] if self._ends else math.inf

    def over(self, now: float) -> list[Request]:
        """Those that can't; they are held no more."""
        found = []
        while self.first_end() <= now:
            r = heapq.heappop(self._ends)[2]
            self.remove(r)
            found.append(r)
        return found

    def fronts(self) -> list[tuple[Line, Request]]:
        """Each line and its first; lines that have run empty are forgotten."""
        found = [(kind, line, line.front()) for kind, line in self.lines.items()]
        for kind, _, front in found:
            if front is None:
                del self.lines[kind]
        return [(line, front) for _, line, front in found if front is not None]


class Paces:
    """How long jobs run, by class; and by how much longer than usual at each worker: logs, learned for its
    kind of machine, which all of a kind teach, and for itself. Running times spread widely: small gains."""

    GAIN, RUN = 0.04, 0.05

    def __init__(self, runs: list[float]) -> None:
        self.run = runs  # mean seconds of a job of the class
        self.mid = [math.log(run) for run in runs]  # log of its median
        self._seen = [0] * len(runs)
        self._numbers: dict[str, int] = {}
        self._kinds = np.zeros(0)
        self._own, self._kind = np.zeros(0), np.zeros(0, np.intp)  # by row

    def enter(self, row: int, kind: str) -> None:
        """A row is a new worker's: it is as others of its kind are."""
        if row >= len(self._own):  # twice as many at a time
            more = max(2 * row, 8) - len(self._own)
            self._own = np.append(self._own, np.zeros(more))
            self._kind = np.append(self._kind, np.zeros(more, np.intp))
        number = self._numbers.setdefault(kind, len(self._numbers))
        if number == len(self._kinds):
            self._kinds = np.append(self._kinds, 0.0)
        self._own[row], self._kind[row] = 0.0, number

    def lag(self, row: int) -> float:
        """Log of how much longer jobs run there than usual."""
        return float(self._own[row] + self._kinds[self._kind[row]])

    def lags(self, rows: Rows) -> NDArray[np.float64]:
        """The same of several."""
        return self._own[rows] + self._kinds[self._kind[rows]]

    def ran(self, cls: int, seconds: float, row: int) -> None:
        """A job of the class has run there, and nowhere else."""
        self.run[cls] += self.RUN * (seconds - self.run[cls])
        self._seen[cls] += 1
        off = math.log(max(seconds, 0.001)) - self.mid[cls]
        self.mid[cls] += off * max(self.RUN / 5, 1 / self._seen[cls])
        kind = self._kind[row]
        self._kinds[kind] += self.GAIN * (off - self._kinds[kind])
        self._own[row] += self.GAIN * (off - self.lag(row))

    def size(self, row: int, whole: float, known: float | None) -> float:
        """Log of the seconds that a job runs on a usual worker, of one that takes so many seconds there. One
        whose pace was seen before, or elsewhere, tells how slow the worker is."""
        if known is not None:
            self._own[row] = math.log(whole) - known - self._kinds[self._kind[row]]
        return math.log(whole) - self.lag(row)


class ZoneWaits:
    """Shares of jobs that began too late for their class's aim, in the own zone and in the others.

    Shares and no means: what counts is how many of the jobs wait too long, not for how long.
    """

    GAIN = 0.1  # weight of a new observation
    FADE = 0.02  # share that is forgotten of the other side meanwhile: a zone left alone is tried again
    MAJORITY = 0.5

    def __init__(self, home: int) -> None:
        self.home_zone = home
        self.home = self.away = 0.0

    def observe(self, late: bool, zone: int) -> None:
        """A job has begun in that zone, too late to end within its class's aim or in time."""
        if zone == self.home_zone:
            self.home += self.GAIN * (late - self.home)
            self.away -= self.FADE * self.away
        else:
            self.away += self.GAIN * (late - self.away)
            self.home -= self.FADE * self.home

    @property
    def home_is_full(self) -> bool:
        """Whether most jobs wait too long at home that would not elsewhere."""
        return self.home - self.away > self.MAJORITY


class Bucket:
    """What comes within a rate, of which a second's worth may come at once."""

    def __init__(self, rate: float) -> None:
        self.rate, self.left, self.then = rate, rate, math.inf

    def take(self, now: float) -> bool:
        """One more has come; whether it is within the rate."""
        held = min(max(self.rate, 1.0), self.left + self.rate * max(0.0, now - self.then))
        self.left, self.then = max(0.0, held - 1), now
        return held >= 1


class Index:
    """What a pick needs of each worker, in arrays by its row; a row of nobody is never free."""

    def __init__(self) -> None:
        none = np.zeros(0)
        self.free_at = none  # from when on it may get something new
        self.open_at = none  # the same, but for its rests
        self.rests = none  # until when it rests; never over for one that is not ready
        self.costs = none
        self.unused = none  # since when its newest idle connection has been unused
        self.away = np.zeros(0, np.bool_)  # whether it is in another zone than we are
        self.vacant = none  # slots that are free by its load report; infinite: it gives none
        self._nobody_until = -math.inf  # nobody is free before, as long as nothing is entered

    def _grow(self, size: int) -> None:
        none = np.full(size - len(self.costs), math.inf)
        self.free_at, self.open_at = np.append(self.free_at, none), np.append(self.open_at, none)
        self.rests, self.costs = np.append(self.rests, none), np.append(self.costs, none)
        self.unused, self.vacant = np.append(self.unused, none), np.append(self.vacant, none)
        self.away = np.append(self.away, np.zeros(len(none), np.bool_))

    def enter(
        self,
        row: int,
        free_at: float,
        open_at: float,
        rests: float,
        cost: float,
        unused: float,
        vacant: float,
    ) -> None:
        """What holds of a worker from now on. Rows come with those entered, twice as many at a time."""
        if row >= len(self.costs):
            self._grow(max(2 * row, 8))
        self.free_at[row], self.open_at[row], self.rests[row] = free_at, open_at, rests
        self.costs[row], self.unused[row], self.vacant[row] = cost, unused, vacant
        self._nobody_until = min(self._nobody_until, free_at)

    def clear(self, row: int) -> None:
        """It is nobody's."""
        self.enter(row, math.inf, math.inf, math.inf, math.inf, math.inf, math.inf)

    def free(self, now: float) -> Rows:
        """Rows that may get something new."""
        if now < self._nobody_until:
            return NOBODY
        free = (self.free_at <= now).nonzero()[0]
        if not len(free) and len(self.free_at):
            self._nobody_until = float(self.free_at.min())
        return free

    def roomy(self, rows: Rows) -> Rows:
        """Those of them that have a slot free for certain: their load reports say so."""
        vacant = self.vacant[rows]
        return rows[(vacant >= 1) & (vacant < math.inf)]

    def all_rest(self, now: float) -> bool:
        """Whether every worker that is ready rests."""
        return bool(len(self.rests)) and bool(self.rests.min() > now)

    def but_for_rests(self, now: float) -> Rows:
        """Rows that could get something new if they did not rest."""
        return (self.open_at <= now).nonzero()[0]
