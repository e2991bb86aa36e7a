"""The balancer's records and containers: workers, attempts, requests, queues and the index of workers.

They hold state and estimates. All decisions are in `wickgw.balance`, the only user of this module. Times are
seconds on the caller's clock.
"""

import heapq
import itertools
import math
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field

import numpy as np
from numpy.typing import NDArray

from wickgw import interface as i

Rows = NDArray[np.intp]
NO_ROWS: Rows = np.zeros(0, np.intp)


@dataclass(slots=True, eq=False)
class Worker:
    """One member, as this dispatcher sees it.

    The comments name the symbols of the drain rate estimate in `wickgw.matrices`: x, x_prev, u and q.
    """

    id: str
    row: int  # in the matrices and in the index
    zone: int
    cell: int
    since: float | None  # time of its last start; None: long ago
    warm_at: float
    entry: i.Entry  # its entry in the list when it became a member
    last_used_at: float = -math.inf  # time of the last attempt sent to it
    ready: bool = True
    in_flight: int = 0  # jobs of this dispatcher: x
    slots_in_flight: float = 0.0  # slots that these jobs take
    unstarted: int = 0  # jobs in flight that have not started
    previous_in_flight: int = 0  # jobs in flight at the last tick: x_prev
    sent_since_tick: int = 0  # jobs sent since the last tick: u
    q: float = 1.0  # learned cost: discounted number of ticks that a job stays there
    failure_score: float = 0.0  # grows with each failed attempt and falls with each success
    concurrency_limit: float = math.inf  # slots in flight up to which jobs were seen to start without a wait
    min_start_delay: float = math.inf  # shortest time from a send to the report of the start: network delay
    ejected_until: float = -math.inf  # no sends before this time, because attempts failed
    returned_unusable: bool = False  # it answered UNUSABLE, and served no request since
    idle_since: list[float] = field(default_factory=list)  # for each open idle connection
    next_cold_send: float = -math.inf  # while cold, no send before this time
    congested_until: float = -math.inf  # other dispatchers fill it: no send before this time
    slots: float = math.inf  # its free slots plus ours, by the last load report; infinite: no report


@dataclass(frozen=True, slots=True)
class FirstColdSend:
    """What the time of the first send to a cold worker depends on, beside the rate of warm workers."""

    known_at: float  # when the worker became a member
    fraction: float  # random part of the interval between two sends, 0 to 1


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to a worker."""

    worker: Worker
    slots: float
    work: float  # slot-seconds that the job was expected to take when it was sent
    sent_at: float
    last_news_at: float  # time of the last event about it
    started_at: float | None = None
    verdict: i.Verdict | None = None  # None: still open
    migrated: bool = False  # cancelled in order to run on another worker
    hedged: bool = False  # another attempt of its request was out at the same time
    connection_idle_time: float = 0.0  # seconds for which its connection had been idle
    start_delay_factor: float = 1.0  # network delay of its start report, in units of min_start_delay
    fraction_done: float = 0.0  # of the job, by the last progress report
    total_time: float = 0.0  # running time of the whole job at its latest rate; 0: not known yet

    def record_news(self, fraction_done: float, now: float, from_scratch: bool) -> bool:
        """Record an event about the attempt, and return whether it updates `total_time`.

        `fraction_done` is 0 if it was not reported. `from_scratch`: no earlier attempt has started. Otherwise
        the first reported fraction may include work that was saved elsewhere, and gives no rate.
        """
        done, elapsed, first = (
            fraction_done - self.fraction_done,
            now - self.last_news_at,
            not self.fraction_done,
        )
        self.fraction_done, self.last_news_at = max(fraction_done, self.fraction_done), now
        if done <= 0 or elapsed <= 0 or (first and not from_scratch):
            return False
        self.total_time = elapsed / done
        return True

    def remaining_time(self, now: float) -> float:
        """Return the seconds until the job ends, at its latest rate."""
        return (1 - self.fraction_done) * self.total_time - (now - self.last_news_at)

    def remove_from_tick(self, last_tick: float) -> None:
        """Remove the attempt, which ended without being served, from the counts of the current tick.

        Otherwise a worker that fails fast would seem to drain fast.
        """
        if self.sent_at >= last_tick:
            self.worker.sent_since_tick -= 1
        else:
            self.worker.previous_in_flight -= 1


@dataclass(slots=True, eq=False)
class Request:
    """One request without a final answer."""

    id: str
    class_index: int
    request_class: i.RequestClass
    slots: float
    deadline: float  # time at which the client gives up
    start_by: float  # latest time at which a start is still useful
    due_at: float  # time of the latency target or of the deadline, without estimates; orders a queue
    worth_factor: float  # fraction of the class's worth: by its tenant's quota, and less once it is late
    max_attempts: int
    attempts: list[Attempt] = field(default_factory=list)
    log_run_time: float | None = None  # log of its seconds on an average worker; None: no progress seen yet
    late: bool = False  # too late for the full worth, but queued for the worth of a late answer
    queue_ticket: int = -1  # position in order of queueing; -1: not queued
    group_admitted: bool = False  # workers of its deduplication scope were made members for it

    def slack(self, run_time: float) -> float:
        """Return the seconds that a job of `run_time` seconds may wait at a worker and still be on target."""
        return self.request_class.latency_target + (self.request_class.stretch - 1) * run_time

    def mark_open_attempts_hedged(self) -> bool:
        """Mark the attempts that are out when another one is sent, and return whether there were any."""
        open_attempts = [attempt for attempt in self.attempts if attempt.verdict is None]
        for attempt in open_attempts:
            attempt.hedged = True
        return bool(open_attempts)

    @property
    def started_count(self) -> int:
        """Number of attempts that started to run."""
        return sum(attempt.started_at is not None for attempt in self.attempts)


MAX_REMOVED_IN_HEAPS = 1024  # removed requests in the heaps, beyond as many as are queued

QueueKey = tuple[int, float, float, bool]  # class index, worth factor, slots, whether it was attempted before


@dataclass(slots=True, eq=False)
class RequestQueue:
    """Queued requests that differ in their times only, ordered by `due_at` and then by arrival in the queue.

    Requests that are no longer queued stay in the heap until they reach its head; their ticket differs.
    """

    heap: list[tuple[float, int, Request]] = field(default_factory=list)
    skips: int = 0  # consecutive times that a free slot went to another queue

    def front(self) -> Request | None:
        """Return the first request that is still queued."""
        while self.heap and self.heap[0][2].queue_ticket != self.heap[0][1]:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def earliest(self, count: int) -> Iterator[Request]:
        """Yield those of the first `count` heap entries that are still queued, in order."""
        return (
            request
            for _, ticket, request in heapq.nsmallest(count, self.heap)
            if request.queue_ticket == ticket
        )


class RequestQueues:
    """All queued requests, in one queue per key."""

    def __init__(self, classes: int) -> None:
        """`classes` is the number of request classes."""
        self.queues: dict[QueueKey, RequestQueue] = {}
        self.count = 0
        self.slots_by_class = [0.0] * classes  # slots that the queued requests take
        self._expiries: list[tuple[float, int, Request]] = []  # heap, by `start_by`
        self._tickets = itertools.count()
        self._removals = 0  # since the heaps were last rid of removed requests

    def __len__(self) -> int:
        """Number of queued requests."""
        return self.count

    def add(self, request: Request) -> None:
        """Queue a request."""
        request.queue_ticket = next(self._tickets)
        self.count += 1
        self.slots_by_class[request.class_index] += request.slots
        queue = self.queues.setdefault(
            (request.class_index, request.worth_factor, request.slots, bool(request.attempts)), RequestQueue()
        )
        heapq.heappush(queue.heap, (request.due_at, request.queue_ticket, request))
        heapq.heappush(self._expiries, (request.start_by, request.queue_ticket, request))

    def remove(self, request: Request) -> bool:
        """Remove a request from its queue, and return whether it was queued."""
        if request.queue_ticket < 0:
            return False
        request.queue_ticket = -1
        self.count -= 1
        self.slots_by_class[request.class_index] -= request.slots
        self._removals += 1
        if self._removals > self.count + MAX_REMOVED_IN_HEAPS:
            self._compact_heaps()
        return True

    def _compact_heaps(self) -> None:
        """Rid the heaps of removed requests, which clients that come and leave would fill them with."""
        self._removals = 0
        for heap in (self._expiries, *(queue.heap for queue in self.queues.values())):
            heap[:] = [entry for entry in heap if entry[2].queue_ticket == entry[1]]
            heapq.heapify(heap)

    def next_expiry(self) -> float:
        """Return the earliest `start_by` of the queued requests; infinity if there are none."""
        while self._expiries and self._expiries[0][2].queue_ticket != self._expiries[0][1]:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else math.inf

    def pop_expired(self, now: float) -> list[Request]:
        """Remove and return the requests whose `start_by` has passed."""
        expired = []
        while self.next_expiry() <= now:
            request = heapq.heappop(self._expiries)[2]
            self.remove(request)
            expired.append(request)
        return expired

    def heads(self) -> list[tuple[RequestQueue, Request]]:
        """Return each queue with its first request, and delete the empty queues."""
        found = [(key, queue, queue.front()) for key, queue in self.queues.items()]
        for key, _, front in found:
            if front is None:
                del self.queues[key]
        return [(queue, front) for _, queue, front in found if front is not None]


class RunTimes:
    """Running times of jobs by class, and the slowness of workers.

    The slowness of a worker is the logarithm of the ratio of a job's running time there to the median of its
    class. It is the sum of two learned terms: one of the machine type, which all workers of the type
    contribute to, and one of the worker itself. Running times vary widely, hence the small gains.
    """

    GAIN, MEAN_GAIN = 0.04, 0.05  # weights of a new observation in the slowness and in the mean
    # Bytes of machine types that are remembered. Beyond them, types of no current row are forgotten.
    MAX_TYPE_BYTES = 65_536

    def __init__(self, means: list[float]) -> None:
        """`means` are the initial mean running times by class, in seconds."""
        self.mean = means
        self.log_median = [math.log(mean) for mean in means]
        self._job_counts = [0] * len(means)
        self._type_numbers: dict[str, int] = {}
        self._type_bytes = 0  # of the keys of `_type_numbers`
        self._free_type_numbers: list[int] = []
        self._type_slowness = np.zeros(0)
        self._worker_slowness, self._worker_types = np.zeros(0), np.zeros(0, np.intp)  # by row

    def add_worker(self, row: int, machine_type: str) -> None:
        """Assign a row to a new worker, with the slowness of its machine type."""
        if row >= len(self._worker_slowness):  # the arrays double in size
            more = max(2 * row, 8) - len(self._worker_slowness)
            self._worker_slowness = np.append(self._worker_slowness, np.zeros(more))
            self._worker_types = np.append(self._worker_types, np.zeros(more, np.intp))
        self._worker_slowness[row], self._worker_types[row] = 0.0, self._number_of_type(machine_type)

    def _number_of_type(self, machine_type: str) -> int:
        """Return the number of a machine type, a new one if it is not known."""
        number = self._type_numbers.get(machine_type)
        if number is not None:
            return number
        self._type_bytes += sys.getsizeof(machine_type)
        if self._type_bytes > self.MAX_TYPE_BYTES:
            self._forget_unused_types()
        if self._free_type_numbers:
            number = self._free_type_numbers.pop()
            self._type_slowness[number] = 0.0
        else:
            number = len(self._type_slowness)
            self._type_slowness = np.append(self._type_slowness, 0.0)
        self._type_numbers[machine_type] = number
        return number

    def _forget_unused_types(self) -> None:
        """Forget the machine types of no row, so that their numbers can be used again."""
        used = set(self._worker_types.tolist())
        for machine_type, number in list(self._type_numbers.items()):
            if number not in used:
                del self._type_numbers[machine_type]
                self._type_bytes -= sys.getsizeof(machine_type)
                self._free_type_numbers.append(number)

    def log_slowness(self, row: int) -> float:
        """Return the slowness of one worker."""
        return float(self._worker_slowness[row] + self._type_slowness[self._worker_types[row]])

    def log_slowness_of(self, rows: Rows) -> NDArray[np.float64]:
        """Return the slowness of the workers of `rows`, in that order."""
        return self._worker_slowness[rows] + self._type_slowness[self._worker_types[rows]]

    def observe_run(self, class_index: int, seconds: float, row: int) -> None:
        """Learn from a job that ran on one worker from start to end."""
        self.mean[class_index] += self.MEAN_GAIN * (seconds - self.mean[class_index])
        self._job_counts[class_index] += 1
        deviation = math.log(max(seconds, 0.001)) - self.log_median[class_index]
        self.log_median[class_index] += deviation * max(self.MEAN_GAIN / 5, 1 / self._job_counts[class_index])
        machine_type = self._worker_types[row]
        self._type_slowness[machine_type] += self.GAIN * (deviation - self._type_slowness[machine_type])
        self._worker_slowness[row] += self.GAIN * (deviation - self.log_slowness(row))

    def estimate_log_run_time(self, row: int, total_time: float, known: float | None) -> float:
        """Return the log of the seconds that a job takes on an average worker.

        `total_time` is what the job takes on the worker of `row`, `known` an earlier result for the same job.
        A job with an earlier result sets the slowness of the worker.
        """
        if known is not None:
            self._worker_slowness[row] = (
                math.log(total_time) - known - self._type_slowness[self._worker_types[row]]
            )
        return math.log(total_time) - self.log_slowness(row)


class ZoneLateness:
    """Shares of jobs that started too late for their latency target, in the home zone and in other zones.

    The estimates are shares and not mean delays: the number of jobs that wait too long counts, and not how
    long they wait.
    """

    GAIN = 0.1  # weight of a new observation
    # Decay of one estimate with each observation of the other, so that a zone that gets no jobs is retried.
    DECAY = 0.02
    MAJORITY = 0.5

    def __init__(self, home_zone: int) -> None:
        """`home_zone` is the index of the dispatcher's zone."""
        self.home_zone = home_zone
        self.home_late_share = self.away_late_share = 0.0

    def observe(self, late: bool, zone: int) -> None:
        """Record the start of a job in `zone`; `late`: too late for its target, or for its client."""
        if zone == self.home_zone:
            self.home_late_share += self.GAIN * (late - self.home_late_share)
            self.away_late_share -= self.DECAY * self.away_late_share
        else:
            self.away_late_share += self.GAIN * (late - self.away_late_share)
            self.home_late_share -= self.DECAY * self.home_late_share

    @property
    def home_is_full(self) -> bool:
        """Whether most jobs wait too long in the home zone that would not in another one."""
        return self.home_late_share - self.away_late_share > self.MAJORITY


class TokenBucket:
    """Admits a rate of requests, with a burst of one second's worth."""

    def __init__(self, rate: float) -> None:
        """`rate` is in requests per second."""
        self.rate, self.tokens, self.updated_at = rate, rate, math.inf

    def take(self, now: float) -> bool:
        """Take a token for one request, and return whether there was one."""
        available = min(max(self.rate, 1.0), self.tokens + self.rate * max(0.0, now - self.updated_at))
        self.tokens, self.updated_at = max(0.0, available - 1), now
        return available >= 1


class WorkerIndex:
    """What the choice of a worker needs to know of each member, in arrays by row.

    A row without a worker is never eligible.
    """

    def __init__(self) -> None:
        empty = np.zeros(0)
        self.eligible_at = empty  # time from which the worker may get a request
        self.eligible_at_if_not_ejected = empty  # the same without regard to its ejection
        self.ejected_until = empty  # infinite for a worker that is not ready
        self.costs = empty  # of one more job
        self.idle_since = empty  # time since which its most recently used idle connection is unused
        self.in_other_zone = np.zeros(0, np.bool_)  # whether its zone is not the dispatcher's
        self.free_slots = empty  # by its load report; infinite: no report
        self._none_eligible_before = -math.inf  # no row is eligible before this time, unless one is updated

    def _grow(self, size: int) -> None:
        """Extend the arrays to `size` rows."""
        more = np.full(size - len(self.costs), math.inf)
        self.eligible_at, self.eligible_at_if_not_ejected = (
            np.append(self.eligible_at, more),
            np.append(self.eligible_at_if_not_ejected, more),
        )
        self.ejected_until, self.costs = np.append(self.ejected_until, more), np.append(self.costs, more)
        self.idle_since, self.free_slots = np.append(self.idle_since, more), np.append(self.free_slots, more)
        self.in_other_zone = np.append(self.in_other_zone, np.zeros(len(more), np.bool_))

    def update(
        self,
        row: int,
        eligible_at: float,
        eligible_at_if_not_ejected: float,
        ejected_until: float,
        cost: float,
        idle_since: float,
        free_slots: float,
    ) -> None:
        """Set the values of a row. The arrays double in size when a row lies beyond them."""
        if row >= len(self.costs):
            self._grow(max(2 * row, 8))
        self.eligible_at[row], self.eligible_at_if_not_ejected[row], self.ejected_until[row] = (
            eligible_at,
            eligible_at_if_not_ejected,
            ejected_until,
        )
        self.costs[row], self.idle_since[row], self.free_slots[row] = cost, idle_since, free_slots
        self._none_eligible_before = min(self._none_eligible_before, eligible_at)

    def clear(self, row: int) -> None:
        """Mark a row as having no worker."""
        self.update(row, math.inf, math.inf, math.inf, math.inf, math.inf, math.inf)

    def eligible(self, now: float) -> Rows:
        """Return the rows of workers that may get a request now."""
        if now < self._none_eligible_before:
            return NO_ROWS
        eligible = (self.eligible_at <= now).nonzero()[0]
        if not len(eligible) and len(self.eligible_at):
            self._none_eligible_before = float(self.eligible_at.min())
        return eligible

    def with_free_slots(self, rows: Rows) -> Rows:
        """Return those of `rows` whose load reports show a free slot."""
        free_slots = self.free_slots[rows]
        return rows[(free_slots >= 1) & (free_slots < math.inf)]

    def all_ejected(self, now: float) -> bool:
        """Whether all ready workers are ejected."""
        return bool(len(self.ejected_until)) and bool(self.ejected_until.min() > now)

    def eligible_if_not_ejected(self, now: float) -> Rows:
        """Return the rows of workers that may get a request now, without regard to ejections."""
        return (self.eligible_at_if_not_ejected <= now).nonzero()[0]
