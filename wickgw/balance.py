"""The balancer: all decisions of one dispatcher about workers, attempts and answers.

A Balancer receives the events of `wickgw.interface` and returns actions. It knows only what its own events
report, does no I/O and reads no clock; times are seconds on the caller's clock. The sections below are:

1. Learning: the cost q of each worker, from its drain rate.
2. Members: the workers with learned state.
3. Eligibility: which workers may get a request now.
4. Choice: the cheapest eligible worker.
5. Attempts: progress, outcomes, hedging, migration, final answers.
6. Admission: the queues of requests that wait for a worker.
"""

import math
import operator
import random
from collections.abc import Callable
from typing import Any, ClassVar

import numpy as np
from numpy.typing import NDArray

from wickgw import interface as i
from wickgw.matrices import MAX_ITEMS_PER_CALL, DirectSolve, IncrementalSolve, Matrices
from wickgw.records import (
    NO_ROWS,
    Attempt,
    FirstColdSend,
    Request,
    RequestQueue,
    RequestQueues,
    RunTimes,
    TokenBucket,
    Worker,
    WorkerIndex,
    ZoneLateness,
)
from wickgw.standby import (
    BASE_MEMBERS,
    EXTRA_MEMBERS_PER_ATTEMPT,
    EXTRA_MEMBERS_PER_STEP,
    MAX_ADMITTED_PER_CALL,
    MAX_LEARNED_WORKERS,
    Standby,
)
from wickgw.validate import check_settings

# Discount of q per tick. Near 1, so that q separates fast from slow; a worker that never drains has q = 100.
DISCOUNT = 0.99
# Weight of the prior against the data, for SHARED_QUEUE_JOBS dispatchers: in jobs squared, and in ended jobs.
# With more dispatchers each of them sees fewer jobs, and the weight grows in proportion.
PRIOR_JOBS_SQUARED, PRIOR_ENDED_JOBS = 4.0, 8.0
MEMORY_S = 20.0  # time in which the weight of data falls to 1/e
EXPLORATION_SHARE = 0.02  # share of the choices of a worker that are random
FIRST_EJECTION_S = 0.25  # ejection time at a failure score of 1; doubles with each further failure
MAX_FAILURE_SCORE = 6.0  # bounds the ejection time: FIRST_EJECTION_S * 2 ** 5
FAILURE_SCORE_PER_SUCCESS = 0.25  # so low that a worker that fails one job in five stays ejected
LIMIT_GROWTH_SLOTS = 0.25  # growth of a worker's concurrency limit per served job
NEW_CONNECTION_DELAY_FACTOR = 4.0  # delay of the first start on a new connection, in network delays
# Jobs that all dispatchers together let wait at one worker; and the multiple of its minimum share that a cold
# worker gets, which is half of the allowed maximum.
SHARED_QUEUE_JOBS, COLD_SHARE_FACTOR = 3.0, 2.0
WARM_RATE_WINDOW_S = 5.0  # over which the work of warm workers is averaged
RESCHEDULING_GROWTH = 1.25  # of the rate of warm workers, after which first sends to cold ones are set again
MIN_WARM_RATE = 1e-9  # slots; a lower rate counts as unknown
# Cost of a fee in slots: a fee of a twentieth of a request's worth counts as much as one more slot in use.
SLOTS_PER_FEE = 20.0
# Retry budget: the tokens that each arrival adds, and the most that are saved. A further attempt takes one.
RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS = 0.5, 50.0
STEP_PAUSE_S = 0.004  # pause between the steps of a long computation
MAX_SKIPS = 100  # consecutive free slots that may go past a queue; the next one is for this queue
MAX_ADMITTED_FROM_GROUP = 4  # members added for a retry that may only go to one zone or cell
MAX_CANDIDATES = 8  # retries per queue for which an allowed worker is looked for
# Hedged attempts of a job that has not started; and progress intervals without a report after which an
# attempt counts as silent.
MAX_HEDGES, SILENT_INTERVALS = 2, 2.5
ANSWER_MARGIN_S = 0.008  # time before its deadline at which a queued request is answered
NEVER_RAN = (i.Verdict.FULL, i.Verdict.CONNECT_FAILED, i.Verdict.NOT_SENT)
CANCELLED_VERDICTS = (i.Verdict.NOT_SENT, i.Verdict.CANCELLED)


class Balancer:
    """The decisions of one dispatcher.

    Feed events to `handle` in the order in which they happen, and carry out the actions that it returns.
    """

    def __init__(self, settings: i.Settings, seed: int) -> None:
        """Create a balancer; `seed` makes its random choices reproducible.

        Raises:
            ValueError: a setting is out of range.
        """
        check_settings(settings)
        self.settings = settings
        self.rng = random.Random(seed)
        self.workers: dict[str, Worker] = {}  # the members by name
        self.members: list[Worker] = []
        self.standby = Standby(settings.zone if settings.cross_zone_fee > 0 else None)
        self.member_limit = BASE_MEMBERS
        self.admit_scheduled = False  # the timer "admit" is set
        self.matrices = Matrices(
            DISCOUNT, PRIOR_JOBS_SQUARED * max(1.0, settings.dispatchers / SHARED_QUEUE_JOBS)
        )
        self.row_workers: list[Worker | None] = []  # by row of the matrices and of the index; None: free
        self.free_extra_rows: list[int] = []  # free rows of the index beyond those of the matrices
        self.active_workers: set[Worker] = set()  # workers with data to record at the next tick
        self.index = WorkerIndex()
        # The running solve, and the workers of its rows when it started.
        self.pending_solve: tuple[DirectSolve | IncrementalSolve, list[Worker | None]] | None = None
        self.latency_target = min(request_class.latency_target for request_class in settings.classes)
        self.trusted_idle_time = settings.idle_timeout  # seconds; connections idle for longer may be dead
        # Dispatchers per job that may wait at a worker, minus one. Pauses after a wait, the weight of the
        # prior and the price of a hedged attempt grow with it.
        self.contention = max(0.0, settings.dispatchers / SHARED_QUEUE_JOBS - 1)
        self.mean_wait = 0.0  # moving average of the seconds from a send to the start of the job
        self.zone_lateness = ZoneLateness(settings.zone)
        self.last_tick_at = self.solved_at = -math.inf  # solved_at: time of the last solve for q
        self.default_retention = 0.0  # fraction of its jobs that a worker without data retains per tick
        self.requests: dict[str, Request] = {}  # without a final answer, by id
        self.open_attempts: dict[tuple[str, int], Attempt] = {}  # without an outcome, by request and number
        worths = [request_class.worth for request_class in settings.classes]
        # About one hedged attempt in two saves an answer, hence the 2. Dispatchers do not see each other's
        # hedged attempts: among many dispatchers (1 + contention) times fewer of them are useful.
        price = 2 * settings.handshake_fee * sum(worths) / len(worths) * (1 + self.contention)
        self.may_hedge_class = [
            settings.may_hedge and request_class.worth * (1 - request_class.late_worth) > price
            for request_class in settings.classes
        ]
        # Hedging starts after half the latency target, and is checked at each tick.
        self.tick_interval = self.latency_target / 2 if any(self.may_hedge_class) else self.latency_target
        self.retry_tokens = MAX_RETRY_TOKENS  # budget of further attempts, so that retries add no overload
        self.queues = RequestQueues(len(settings.classes))
        self.next_expiry_timer = math.inf  # time for which the timer "held" is set
        self.run_times = RunTimes([request_class.latency_target for request_class in settings.classes])
        self.mean_run_times = self.run_times.mean  # learned, in seconds, by class
        # This dispatcher's parts of the tenants' quotas.
        self.quotas = [TokenBucket(tenant.quota / settings.dispatchers) for tenant in settings.tenants]
        self.warm_work_done = 0.0  # slot-seconds of jobs that warm workers ended since the last tick
        self.warm_rate = 0.0  # moving average of slot-seconds done per second and warm worker
        self.warm_rate_settled_at = math.inf  # when `warm_rate` is an average over its whole window
        self.scheduled_warm_rate = 0.0  # by which the sends of `first_cold_sends` were set
        # Cold workers without a send so far, whose first one is not settled.
        self.first_cold_sends: dict[Worker, FirstColdSend] = {}
        self.stop_at = math.inf  # time at which this instance ends
        self.actions: list[i.Action] = []  # of the current event

    def handle(self, event: i.Event, now: float) -> list[i.Action]:
        """Handle one event that happens at time `now`, and return the resulting actions in order."""
        self.actions = []
        self.HANDLERS[type(event)](self, event, now)
        return self.actions

    # 1. Learning: the matrices and q.

    def _record_tick(self, now: float) -> None:
        """Record x, x_prev and u of the active workers in the matrices, and let older data decay."""
        used = sorted(
            (worker for worker in self.active_workers if self.row_workers[worker.row] is worker),
            key=lambda worker: worker.row,
        )
        self.matrices.record_tick(
            [
                (worker.row, worker.previous_in_flight, worker.in_flight - worker.sent_since_tick)
                for worker in used
                if worker.row < MAX_LEARNED_WORKERS
            ]
        )
        for worker in used:
            worker.previous_in_flight, worker.sent_since_tick = worker.in_flight, 0
        self.active_workers = {worker for worker in used if worker.in_flight}
        self.matrices.decay(math.exp(self.tick_interval / MEMORY_S))
        self.last_tick_at = now

    def _start_solve(self, now: float) -> None:
        """Start to solve for q.

        A worker without data gets the pooled retention of all workers. If it were assumed to be idle, it
        would attract the jobs of all dispatchers.

        The prior weighs PRIOR_ENDED_JOBS ended jobs. With long running times the data of many ticks contains
        few ends of jobs, and the weight per tick is larger:

            ends = PRIOR_ENDED_JOBS * run_time / tick_interval * min(1, 2 * run_time / MEMORY_S)
        """
        self.solved_at = now
        run_time = sum(self.mean_run_times) / len(self.mean_run_times)
        ends = PRIOR_ENDED_JOBS * run_time / self.tick_interval * min(1.0, 2 * run_time / MEMORY_S)
        self.matrices.prior = (1 + self.contention) * max(PRIOR_JOBS_SQUARED, ends)
        self.default_retention = self.matrices.pooled_retention(math.exp(-self.tick_interval / run_time))
        self.pending_solve = self.matrices.start_solve(self.default_retention), list(self.row_workers)
        self._continue_solve()

    def _continue_solve(self) -> None:
        """Do the next step of the running solve.

        A large solve in one step would block the instance for tens of milliseconds. A result that is not
        positive and finite is discarded, and the previous q stays in force.
        """
        if self.pending_solve is None:
            return
        solve, workers = self.pending_solve
        if (solution := solve.step()) is None:
            self._set_timer("solve", STEP_PAUSE_S)
            return
        self.pending_solve = None
        q = np.append(
            solution,
            np.full(len(workers) - solve.row_count, 1 / (1 - DISCOUNT * self.default_retention)),
        )
        known = [
            (worker, value) for worker, value in zip(workers, q.tolist(), strict=True) if worker is not None
        ]
        if not all(0 < value < math.inf for _, value in known):
            return
        for worker, value in known:
            previous, worker.q = worker.q, value
            if self.row_workers[worker.row] is worker:  # not removed or restarted since the solve started
                self.index.costs[worker.row] *= value / previous

    def _update_index(self, worker: Worker) -> None:
        """Update a worker's entry in the index: the time from which it is eligible, and its cost

            cost = q * (1 + slots in flight) * (1 + zone fee) * (1 + expected wait)

        with the zone fee in slots, and the expected wait in jobs beyond the reported free slots.
        """
        if self.row_workers[worker.row] is not worker:  # removed; its row may belong to another worker
            return
        # Requests wait in this dispatcher's queues, and not at a worker that has not started the last job
        # or has no room for a whole one.
        eligible_at_if_not_ejected = min(worker.warm_at, worker.next_cold_send)
        if not worker.ready or worker.unstarted or worker.slots_in_flight + 1 > worker.concurrency_limit:
            eligible_at_if_not_ejected = math.inf
        factor = (
            1.0 if worker.zone == self.settings.zone else 1 + SLOTS_PER_FEE * self.settings.cross_zone_fee
        )
        eligible_at, ejected_until = (
            max(eligible_at_if_not_ejected, worker.ejected_until, worker.congested_until),
            worker.ejected_until if worker.ready else math.inf,
        )
        idle_since = worker.idle_since[-1] if worker.idle_since else -math.inf
        factor *= 1 + max(0.0, 1 + worker.slots_in_flight - worker.slots)
        self.index.update(
            worker.row,
            eligible_at,
            eligible_at_if_not_ejected,
            ejected_until,
            worker.q * (1 + worker.slots_in_flight) * factor,
            idle_since,
            worker.slots - worker.slots_in_flight,
        )
        self.index.in_other_zone[worker.row] = worker.zone != self.settings.zone

    # 2. Members.

    def _admit_members(self, now: float) -> None:
        """Move workers from the standby to the members while there is room, a bounded number per call."""
        wanted = min(len(self.standby), MAX_ADMITTED_PER_CALL)
        if len(self.members) + wanted > self.member_limit:
            self._remove_draining(len(self.members) + wanted - self.member_limit)
        room = self.member_limit - len(self.members)
        if room <= 0 or not self.standby:
            return
        home_members = sum(worker.zone == self.settings.zone for worker in self.members)
        for entry in self.standby.take(min(room, MAX_ADMITTED_PER_CALL), room, home_members, self.rng):
            self._add_member(entry, now)
        self._schedule_cold_workers(now)
        room = self.member_limit - sum(worker.ready for worker in self.members)
        if room > 0 and self.standby and not self.admit_scheduled:
            self.admit_scheduled = True
            self._set_timer("admit", STEP_PAUSE_S)

    def _remove_draining(self, count: int) -> None:
        """Remove up to `count` draining members and their learned state, to make room for others."""
        for worker in [member for member in self.members if not member.ready][:count]:
            self._remove_member(worker)

    def _admit_extra(self, now: float) -> bool:
        """Admit some more members because none is eligible, and return whether there were any."""
        before = len(self.members)
        limit = BASE_MEMBERS + EXTRA_MEMBERS_PER_ATTEMPT * len(self.open_attempts)
        if not self.standby or before >= limit:
            return False
        self.member_limit = min(limit, max(self.member_limit, before) + EXTRA_MEMBERS_PER_STEP)
        self._admit_members(now)
        return len(self.members) > before

    def _admit_from_group(self, request: Request, now: float) -> bool:
        """Admit members that may run a repeat of a keyed request, and return whether there were any.

        A repeat may only go to the zone or cell of the first attempt that may have run. This is done once per
        request, when no member there is eligible.
        """
        if (
            request.request_class.dedup_scope is i.DedupScope.ALL
            or request.group_admitted
            or not self.standby
        ):
            return False
        may_have_run = [attempt.worker for attempt in request.attempts if attempt.verdict not in NEVER_RAN]
        if not may_have_run:
            return False
        request.group_admitted = True
        first, in_cell = may_have_run[0], request.request_class.dedup_scope is i.DedupScope.CELL
        entries = self.standby.take_matching(
            MAX_ADMITTED_FROM_GROUP,
            lambda entry: entry.cell == first.cell if in_cell else entry.zone == first.zone,
        )
        for entry in entries:
            self._add_member(entry, now)
        self._schedule_cold_workers(now)
        return bool(entries)

    def _retire_unused(self, now: float) -> None:
        """Move members beyond the base number back to the standby if they were unused for a while."""
        excess = len(self.members) - BASE_MEMBERS
        if excess <= 0 or not self.standby:
            return
        unused = [
            member
            for member in self.members
            if member.ready and not member.in_flight and now >= member.warm_at
        ]
        for worker in [member for member in unused if now - member.last_used_at > MEMORY_S][
            : min(excess, EXTRA_MEMBERS_PER_STEP)
        ]:
            self._remove_member(worker)
            self.standby.add(worker.entry)
        self.member_limit = max(BASE_MEMBERS, len(self.members))

    def _add_member(self, entry: i.Entry, now: float) -> None:
        """Make a listed worker a member, without learned state."""
        warm_at = -math.inf if entry.since is None else entry.since + self.settings.warmup_time
        row = self._allocate_row()
        self.run_times.add_worker(row, entry.machine_type)
        worker = Worker(entry.worker, row, entry.zone, entry.cell, entry.since, warm_at, entry)
        worker.last_used_at = now
        # Hundreds of dispatchers may see it start at the same time. Each waits for a random part of the
        # interval between two of its sends.
        first = FirstColdSend(now, self.rng.random())
        if now < min(warm_at, self.warm_rate_settled_at):
            worker.next_cold_send, self.first_cold_sends[worker] = math.inf, first
        else:
            self._schedule_first_cold_send(worker, first)
        # In another zone one job at a time at first, because the dispatchers of that zone use the rest.
        worker.concurrency_limit = math.inf if worker.zone == self.settings.zone else 1.0
        self.workers[worker.id] = self.row_workers[worker.row] = worker
        self.members.append(worker)
        self.solved_at = -math.inf
        worker.q = 1 / (1 - DISCOUNT * self.default_retention)
        self._update_index(worker)

    def _allocate_row(self) -> int:
        """Return a free row: one of the matrices, or one of the index alone if the matrices are full."""
        if self.matrices.free_rows or self.matrices.size < MAX_LEARNED_WORKERS:
            row = self.matrices.add_row()
            self.row_workers += [None] * (self.matrices.size - len(self.row_workers))
            return row
        if not self.free_extra_rows:
            self.row_workers.append(None)
            return len(self.row_workers) - 1
        return self.free_extra_rows.pop()

    def _remove_member(self, worker: Worker) -> None:
        """Remove a member and its learned state."""
        self.row_workers[worker.row] = None
        if worker.row < self.matrices.size:
            self.matrices.remove_row(worker.row)
        else:
            self.free_extra_rows.append(worker.row)
        self.index.clear(worker.row)
        self.members.remove(worker)
        del self.workers[worker.id]

    # 3. Eligibility: listed, not draining, not ejected, and within the limits of a cold worker.

    def _on_worker_list(self, event: i.WorkerList, now: float) -> None:
        """Apply a change of the list to the members and the standby."""
        if event.kind is i.ListKind.UNAVAILABLE:
            # A random delay, so that the dispatchers do not all ask again at the same time.
            self._set_timer("ask", self.rng.uniform(0.25, 4.0))
            return
        if event.kind is not i.ListKind.UPDATE:
            listed = {listed_entry.worker for listed_entry in event.entries}
            for worker in [member for member in self.members if member.id not in listed]:
                self._remove_member(worker)
            self.standby.keep_only(listed)
        for entry in event.entries:
            self._apply_list_entry(entry)
        self._admit_members(now)
        self._send_queued(now)

    def _apply_list_entry(self, entry: i.Entry) -> None:
        """Apply the entry of one worker."""
        ready = entry.health is i.Health.READY
        member = self.workers.get(entry.worker)
        if member is None:
            self.standby.discard(entry.worker)
        else:
            same = ready and member.since == entry.since
            # A draining worker stays a member, but gets no more sends: drain_grace is not used.
            if same or entry.health is i.Health.DRAINING:
                member.ready = same
                self._update_index(member)
                return
            self._remove_member(member)  # it is gone or has restarted; learning starts again
        if ready:
            self.standby.add(entry)

    def _schedule_cold_workers(self, now: float) -> None:
        """Set the first sends to cold workers again, until the rate of warm workers is settled.

        While there are warm workers and none of them has done any work for this dispatcher, its share is
        unknown, and it sends nothing to a cold one. The rate is settled when it is an average over its whole
        window.
        """
        is_unknown = self.warm_rate <= MIN_WARM_RATE
        if not self.first_cold_sends or (is_unknown and any(now >= each.warm_at for each in self.members)):
            return
        has_grown = self.warm_rate > RESCHEDULING_GROWTH * self.scheduled_warm_rate
        is_settled = now >= self.warm_rate_settled_at
        if has_grown:
            self.scheduled_warm_rate = self.warm_rate
        for worker, first in list(self.first_cold_sends.items()):
            is_member = self.row_workers[worker.row] is worker
            if is_member and (has_grown or worker.next_cold_send == math.inf):
                self._schedule_first_cold_send(worker, first)
                self._update_index(worker)
            if is_settled or not is_member or now >= worker.warm_at:
                del self.first_cold_sends[worker]

    def _schedule_first_cold_send(self, worker: Worker, first: FirstColdSend) -> None:
        mean_work = sum(self.mean_run_times) / len(self.mean_run_times)
        interval = self._cold_send_interval(worker, first.fraction * mean_work, first.known_at)
        worker.next_cold_send = first.known_at + interval

    def _cold_send_interval(self, worker: Worker, cost: float, now: float) -> float:
        """Return the seconds in which a cold worker's share adds up to one job of `cost` slot-seconds.

        The worker's share s, as a fraction of the work that a warm worker does, rises linearly from
        initial_capacity at its start to 1 after warmup_time. Let k = (1 - initial_capacity) / warmup_time be
        its slope, and d = cost / (COLD_SHARE_FACTOR * warm_rate) in seconds. The interval T solves
        s T + k T^2 / 2 = d:

            T = 2 d / (s + sqrt(s^2 + 2 k d))

        The result respects the worker's capacity for all dispatchers together, and is short enough for
        dispatchers that send rarely. As long as the rate of warm workers is unknown, one slot for all
        dispatchers is assumed.
        """
        warmup_time = max(self.settings.warmup_time, 1e-9)
        share = 1 - (1 - self.settings.initial_capacity) * min(
            1.0, max(0.0, worker.warm_at - now) / warmup_time
        )
        due = cost / (
            COLD_SHARE_FACTOR * self.warm_rate
            if self.warm_rate > MIN_WARM_RATE
            else 1 / self.settings.dispatchers
        )
        return (
            2
            * due
            / (
                share
                + math.sqrt(share * share + 2 * (1 - self.settings.initial_capacity) / warmup_time * due)
            )
        )

    def _allowed_workers(self, request: Request, now: float) -> Callable[[Worker], bool] | None:
        """Return a predicate for the workers that may run the next attempt of a request; None: no worker may.

        Every send passes this check:

        - The number of attempts and the retry budget are not used up.
        - A second attempt runs at the same time only if hedging is allowed.
        - If an earlier attempt may have run, an UNSAFE request has no further attempt. A KEYED request may
          only go to the zone or cell of the first such attempt, within the deduplication window. The margin
          includes connect_timeout, because the connection may take that long to open.
        """
        may_have_run = [attempt for attempt in request.attempts if attempt.verdict not in NEVER_RAN]
        one_is_open = any(attempt.verdict is None for attempt in may_have_run)
        used_up = len(request.attempts) >= request.max_attempts or (
            request.attempts and self.retry_tokens < 1
        )
        if used_up or (one_is_open and not self.settings.may_hedge):
            return None
        if not may_have_run or request.request_class.idempotency is i.Idempotency.SAFE:
            return lambda worker: True
        if request.request_class.idempotency is i.Idempotency.UNSAFE:
            return None
        first = may_have_run[0].worker
        if (
            now
            >= may_have_run[0].sent_at
            + request.request_class.dedup_window
            - ANSWER_MARGIN_S
            - self.settings.connect_timeout
        ):
            return None
        in_zone, in_cell = (
            request.request_class.dedup_scope is i.DedupScope.ZONE,
            request.request_class.dedup_scope is i.DedupScope.CELL,
        )
        return lambda worker: (
            not ((in_zone and worker.zone != first.zone) or (in_cell and worker.cell != first.cell))
        )

    def _eligible_rows(self, now: float) -> NDArray[np.intp]:
        """Return the rows of the workers that may get a request now.

        If all ready workers are ejected, the fault is more likely on the side of this dispatcher, and
        ejections are ignored.
        """
        rows = self.index.eligible(now)
        if not len(rows) and self._admit_extra(now):
            rows = self.index.eligible(now)
        return (
            rows if len(rows) or not self.index.all_ejected(now) else self.index.eligible_if_not_ejected(now)
        )

    # 4. Choice: the least cost q * (1 + own slots in flight), or now and then any eligible worker.

    def _pick_worker(self, request: Request, rows: NDArray[np.intp], now: float) -> Worker | None:
        """Choose a worker for the next attempt of a request from the eligible `rows`; None if none fits."""
        if not len(rows) or now >= request.start_by:
            return None
        if request.attempts or request.request_class.idempotency is i.Idempotency.UNSAFE:
            candidates = [worker for row in rows.tolist() if (worker := self.row_workers[row]) is not None]
            if request.attempts:
                allowed, last_tried = self._allowed_workers(request, now), request.attempts[-1].worker
                candidates = (
                    [worker for worker in candidates if allowed(worker) and worker is not last_tried]
                    if allowed
                    else []
                )
                if allowed and not candidates and self._admit_from_group(request, now):
                    return self._pick_worker(request, self._eligible_rows(now), now)
            # An UNSAFE request can't be retried: it goes to a worker without failures if there is one.
            if request.request_class.idempotency is i.Idempotency.UNSAFE:
                candidates = [worker for worker in candidates if not worker.failure_score] or candidates
            if not candidates:
                return None
            rows = np.array([worker.row for worker in candidates])
        # With a stretch above 1, only workers on which half of the slack remains are considered. If few are
        # that fast, the estimate of the average worker is wrong, and all are considered.
        if request.request_class.stretch > 1:
            fast = rows[
                self.run_times.log_slowness_of(rows) <= math.log((1 + request.request_class.stretch) / 2)
            ]
            rows = fast if 10 * len(fast) > len(rows) else rows
        if self.rng.random() < EXPLORATION_SHARE:
            return self.row_workers[int(self.rng.choice(rows))]
        if now >= self.solved_at + MEMORY_S / 20 and self.pending_solve is None:
            self._start_solve(now)
        trusted_since, connection_factor = (
            now - self.trusted_idle_time,
            1 + SLOTS_PER_FEE * self.settings.handshake_fee,
        )
        costs = self.index.costs[rows] * np.where(
            self.index.idle_since[rows] > trusted_since, 1.0, connection_factor
        )
        # The fee of another zone is no reason to wait for a worker of a full home zone.
        if self.zone_lateness.home_is_full:
            costs = np.where(
                self.index.in_other_zone[rows],
                costs / (1 + SLOTS_PER_FEE * self.settings.cross_zone_fee),
                costs,
            )
        # Ties are broken at random: in the order of the list all dispatchers would make the same choice.
        return self.row_workers[int(self.rng.choice(rows[costs == costs.min()]))]

    def _send(self, request: Request, worker: Worker, now: float) -> None:
        """Send the next attempt of a request to a worker."""
        work = request.slots * self.mean_run_times[request.class_index]
        attempt = Attempt(worker, request.slots, work, now, now)
        attempt.started_at = None if self.settings.reports_start else now
        attempt.hedged = request.mark_open_attempts_hedged()
        if worker.idle_since and now - worker.idle_since[-1] >= self.trusted_idle_time:
            self.actions.append(i.Close(worker.id))
            worker.idle_since.clear()
        attempt.start_delay_factor = 1.0 if worker.idle_since else NEW_CONNECTION_DELAY_FACTOR
        attempt.connection_idle_time = now - worker.idle_since.pop() if worker.idle_since else 0.0
        self.retry_tokens -= len(request.attempts) > 0
        self.open_attempts[request.id, len(request.attempts)] = attempt
        self.active_workers.add(worker)
        request.attempts.append(attempt)
        worker.in_flight += 1
        worker.last_used_at = now
        worker.slots_in_flight += request.slots
        worker.sent_since_tick += 1
        worker.unstarted += self.settings.reports_start
        if now < worker.warm_at:
            self.first_cold_sends.pop(worker, None)
            worker.next_cold_send = now + self._cold_send_interval(worker, work, now)
        self._update_index(worker)
        self.actions.append(i.Send(request.id, worker.id))

    # 5. Attempts: progress, outcomes, hedging, migration, final answers.

    def _on_attempt_news(self, event: i.Started | i.Progress, now: float) -> None:
        """Handle the start of a job or a progress report."""
        attempt, request = (
            self.open_attempts.get((event.request, event.attempt)),
            self.requests.get(event.request),
        )
        if attempt is None:
            return
        if attempt.record_news(event.fraction_done, now, request is not None and request.started_count == 1):
            self._check_pace(request, attempt, now)
        if attempt.started_at is None:
            attempt.started_at = now
            attempt.worker.unstarted -= 1
            wait, attempt.worker.min_start_delay = (
                now - attempt.sent_at,
                min(attempt.worker.min_start_delay, now - attempt.sent_at),
            )
            # The worker is full: allow only as many slots as were in flight besides this job. The network
            # delay is subtracted first, because it is not a wait in the worker's queue.
            if wait - attempt.start_delay_factor * attempt.worker.min_start_delay > self.latency_target / 4:
                attempt.worker.concurrency_limit = max(1.0, attempt.worker.slots_in_flight - attempt.slots)
            # After a wait, leave the worker to the other dispatchers for a while. When all workers are full,
            # all dispatchers together then keep about SHARED_QUEUE_JOBS jobs waiting at each.
            attempt.worker.congested_until = (
                now + wait * self.contention * min(1.0, self.mean_wait / self.latency_target) ** 2
            )
            self.mean_wait += 0.05 * (wait - self.mean_wait)
            self.zone_lateness.observe(
                request is None or wait > request.slack(self.mean_run_times[request.class_index]),
                attempt.worker.zone,
            )
            self._update_index(attempt.worker)
            if attempt.connection_idle_time > self.trusted_idle_time / 2:
                self.trusted_idle_time = min(1.1 * self.trusted_idle_time, self.settings.idle_timeout)
            self._cancel_other_attempts(request, served=False)
            self._send_queued(now)

    def _check_pace(self, request: Request | None, attempt: Attempt, now: float) -> None:
        """Learn a worker's slowness from a job's progress, and move or end the job if it is too slow.

        The slowness follows from the job's running time on an average worker, once that is known. A job
        migrates in two cases: half of its class's slack is lost at this worker, and a whole run on an average
        worker would end sooner by more than the latency target; or it can't end before its deadline here, but
        can on another worker. A job that can't end before this instance stops is refused, so that its client
        can send it to another dispatcher.
        """
        if request is None or attempt.migrated or self.row_workers[attempt.worker.row] is not attempt.worker:
            return
        request.log_run_time = self.run_times.estimate_log_run_time(
            attempt.worker.row, attempt.total_time, request.log_run_time
        )
        average_run_time, remaining = math.exp(request.log_run_time), attempt.remaining_time(now)
        # Time to finish on an average worker. The job resumes there from the state that it last saved, which
        # is up to one progress interval old.
        remaining_elsewhere = average_run_time * (1 - attempt.fraction_done) + self.settings.progress_interval
        too_slow = (
            remaining > average_run_time + request.request_class.latency_target
            and now + remaining > request.due_at + (1 + request.request_class.stretch) / 2 * average_run_time
        )
        may_move = self.settings.may_cancel and request.request_class.idempotency is i.Idempotency.SAFE
        request.start_by = max(
            request.start_by,
            request.due_at + request.request_class.stretch * average_run_time - remaining_elsewhere,
        )
        refuse = may_move and now + remaining > self.stop_at
        migrate = may_move and (too_slow or now + remaining > request.deadline > now + remaining_elsewhere)
        if refuse or (migrate and self._pick_worker(request, self._eligible_rows(now), now)):
            attempt.migrated = not refuse
            self.actions.append(i.Cancel(request.id, request.attempts.index(attempt)))
        if refuse:
            self._give_final_answer(request)

    def _extend_start_by(self, request: Request | None, attempt: Attempt, now: float) -> None:
        """Extend `start_by` of a request whose job has run for long without a known total time.

        The job is assumed to take as long again, and its latency target grows with its running time.
        """
        if (
            request
            and attempt.started_at is not None
            and not attempt.total_time
            and self.settings.reports_start
        ):
            request.start_by = max(
                request.start_by,
                request.due_at + 2 * (request.request_class.stretch - 1) * (now - attempt.started_at),
            )

    def _cancel_other_attempts(self, request: Request | None, served: bool) -> None:
        """Cancel the open attempts of a request: all if it is served, else those that have not started."""
        for number, other in enumerate(request.attempts if request and self.settings.may_cancel else ()):
            if request and other.verdict is None and (served or other.started_at is None):
                self.actions.append(i.Cancel(request.id, number))

    def _on_outcome(self, event: i.Outcome, now: float) -> None:
        """Handle the end of an attempt: learn from it, and retry the request or answer it."""
        attempt = self.open_attempts.pop((event.request, event.attempt), None)
        request = self.requests.get(event.request)
        if event.answered:
            self.requests.pop(event.request, None)
        if attempt is None:
            return
        worker, attempt.verdict = attempt.worker, event.verdict
        worker.in_flight -= 1
        worker.slots_in_flight -= attempt.slots
        if attempt.started_at is None:
            worker.unstarted -= 1
        if event.verdict is i.Verdict.OK:
            worker.idle_since.append(now)
            worker.returned_unusable = False
            worker.concurrency_limit += LIMIT_GROWTH_SLOTS
            worker.failure_score = max(0.0, worker.failure_score - FAILURE_SCORE_PER_SUCCESS)
            # The work of a job counts once: a hedged job's request is gone when its second attempt ends.
            if attempt.sent_at >= worker.warm_at and (request is not None or not attempt.hedged):
                self.warm_work_done += attempt.work
            self._cancel_other_attempts(request, served=True)
            if (
                request
                and attempt.started_at is not None
                and request.started_count == 1
                and self.row_workers[worker.row] is worker
            ):
                self.run_times.observe_run(request.class_index, now - attempt.started_at, worker.row)
        else:
            attempt.remove_from_tick(self.last_tick_at)
            self._extend_start_by(request, attempt, now)
            # A single unusable request is its client's fault. A worker that returns UNUSABLE twice without
            # serving a request in between is faulty.
            unusable = event.verdict is i.Verdict.UNUSABLE
            not_its_fault = (unusable and not worker.returned_unusable) or event.verdict in CANCELLED_VERDICTS
            worker.returned_unusable = worker.returned_unusable or unusable
            if attempt.migrated or not not_its_fault:
                # Eject a worker that fails, or is full, silent or unreachable. It is tried again afterwards.
                worker.failure_score = min(worker.failure_score + 1, MAX_FAILURE_SCORE)
                worker.ejected_until = now + FIRST_EJECTION_S * 2 ** (worker.failure_score - 1)
        self.active_workers.add(worker)
        worker.slots = worker.slots if event.free is None else event.free + worker.slots_in_flight
        self._update_index(worker)
        if (
            request
            and not event.answered
            and request.queue_ticket < 0
            and all(other.verdict is not None for other in request.attempts)
        ):
            if event.verdict is i.Verdict.UNUSABLE:
                del self.requests[request.id]
                self.actions.append(i.Fail(request.id))
            else:
                self._enqueue(request, now)
        self._send_queued(now)

    def _give_final_answer(self, request: Request) -> None:
        """End a request without a result: Refuse if a retry by the client does no harm, else Fail.

        A retry does no harm if the request is SAFE, if no attempt may have run, or if all workers drop
        repeats of its key. All refusals pass this check.
        """
        if self.requests.pop(request.id, None) is None:
            return
        self.queues.remove(request)
        harmless = request.request_class.idempotency is i.Idempotency.SAFE or all(
            attempt.verdict in NEVER_RAN for attempt in request.attempts
        )
        harmless = harmless or (
            request.request_class.idempotency is i.Idempotency.KEYED
            and request.request_class.dedup_scope is i.DedupScope.ALL
        )
        self.actions.append(
            i.Refuse(request.id, self._retry_after(request)) if harmless else i.Fail(request.id)
        )

    def _retry_after(self, request: Request) -> float:
        """Return the seconds after which a refused request is expected to find a free worker:

            max(queued work * dispatchers / ready workers, latency target) * uniform(0.75, 1.25)

        The queued work runs first, and the other dispatchers are assumed to have as much of it for the same
        workers. The random factor keeps clients that are refused together from returning together. The result
        is 0 if this instance is about to stop, because the client can use another dispatcher at once.
        """
        ready = max(1, int((self.index.ejected_until < math.inf).sum()) + len(self.standby))
        work: float = (
            sum(map(operator.mul, self.mean_run_times, self.queues.slots_by_class))
            + self.mean_run_times[request.class_index] * request.slots
        )
        delay = work * self.settings.dispatchers / ready
        longest = self.settings.max_retry_after if self.stop_at == math.inf else 0.0
        return min(max(delay, self.latency_target) * self.rng.uniform(0.75, 1.25), longest)

    def _on_client_left(self, event: i.ClientLeft | i.StreamBegan, now: float) -> None:
        """Forget a request that needs no further decision."""
        if request := self.requests.pop(event.request, None):
            self.queues.remove(request)

    def _check_open_attempts(self, now: float) -> None:
        """Hedge attempts whose job does not start, and cancel silent ones that can still run elsewhere.

        An attempt is cancelled only if the request may have another attempt that can be in time.
        """
        eligible = self._eligible_rows(now) if self.open_attempts and any(self.may_hedge_class) else NO_ROWS
        for (request_id, number), attempt in list(self.open_attempts.items()):
            request, age = self.requests.get(request_id), now - attempt.sent_at
            if (
                request is None
                or attempt.migrated
                or request.request_class.idempotency is i.Idempotency.UNSAFE
            ):
                continue
            silent = 0 < SILENT_INTERVALS * self.settings.progress_interval < now - attempt.last_news_at
            if attempt.started_at is None:
                # While jobs wait in general, and for a second hedged attempt, only workers that report a free
                # slot are considered, and the attempt does not count as silent. Otherwise the hedged attempts
                # of many dispatchers would cause the overload that they are meant to avoid.
                uncongested = self.mean_wait < self.latency_target / 2 and len(request.attempts) == 1
                silent = uncongested and age > max(
                    request.request_class.latency_target + self.mean_run_times[request.class_index],
                    3 * self.mean_wait,
                )
                hedge = (
                    age > self.latency_target / 2
                    and self.may_hedge_class[request.class_index]
                    and len(request.attempts) <= MAX_HEDGES
                )
                if hedge and (
                    other := self._pick_worker(
                        request, eligible if uncongested else self.index.with_free_slots(eligible), now
                    )
                ):
                    self._send(request, other, now)
                    eligible = self._eligible_rows(now)
                    continue
                # No news on a connection that was idle for long: it may have died unnoticed, and connections
                # are trusted for a shorter time from now on.
                if silent and attempt.connection_idle_time > self.trusted_idle_time / 2:
                    self.trusted_idle_time, attempt.connection_idle_time, attempt.started_at = (
                        0.7 * self.trusted_idle_time,
                        0.0,
                        now,
                    )
                    attempt.worker.unstarted -= 1  # the attempt does not keep the worker ineligible
                    self._update_index(attempt.worker)
            elif silent:
                self._extend_start_by(request, attempt, now)
            useful = len(request.attempts) < request.max_attempts and (
                now < request.start_by or request.request_class.late_worth
            )
            if (
                silent
                and useful
                and self.settings.may_cancel
                and request.deadline - now > request.request_class.latency_target
            ):
                attempt.migrated = True
                self.actions.append(i.Cancel(request_id, number))

    # 6. Admission: requests wait in queues. The one with the most worth for its work goes first, and a
    # request that can earn nothing any more is answered.

    def _on_arrival(self, event: i.Arrival, now: float) -> None:
        """Send a new request to a worker, or queue it.

        If a late answer is worth nothing, a typical running time decides how long the request may wait; it is
        half the mean. Otherwise the mean does. A start after `start_by` would miss the latency target.
        """
        request_class, slots = self.settings.classes[event.class_index], max(event.slots, 1.0)
        deadline, self.retry_tokens = (
            now + event.patience,
            min(self.retry_tokens + RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS),
        )
        run_time = self.mean_run_times[event.class_index] * (1.0 if request_class.late_worth else 0.5)
        start_by = min(
            deadline - ANSWER_MARGIN_S,
            now
            + max(
                request_class.latency_target + (request_class.stretch - 1) * run_time - self.mean_wait,
                self.latency_target / 2,
            ),
        )
        due_at, worth_factor = (
            min(deadline, now + request_class.latency_target),
            self._worth_factor(event.tenant, now),
        )
        max_attempts = (
            self.settings.max_attempts
            if event.max_attempts is None
            else min(event.max_attempts, self.settings.max_attempts)
        )
        request = Request(
            event.request,
            event.class_index,
            request_class,
            slots,
            deadline,
            start_by,
            due_at,
            worth_factor,
            max_attempts,
        )
        self.requests[event.request] = request
        if not self.queues and (worker := self._pick_worker(request, self._eligible_rows(now), now)):
            self._send(request, worker, now)
        else:
            self._enqueue(request, now)

    def _worth_factor(self, tenant: int, now: float) -> float:
        """Return the fraction of the worth that a request earns, and count it against its tenant's quota.

        The fraction is below 1 beyond this dispatcher's part of the quota, and for an unknown tenant.
        """
        known = 0 <= tenant < len(self.quotas)
        within_quota = self.quotas[tenant].take(now) if known else not self.quotas
        return 1.0 if within_quota else self.settings.over_share_worth

    def _enqueue(self, request: Request, now: float) -> None:
        """Queue a request until a worker is free, or answer it if it can't be served in time.

        A request that could not end before its deadline is answered, so that its client may ask again.
        """
        latest_start = (
            request.deadline - ANSWER_MARGIN_S - self.mean_run_times[request.class_index] - self.mean_wait
        )
        if request.start_by <= now < latest_start and request.request_class.late_worth and not request.late:
            request.late, request.start_by, request.worth_factor = (
                True,
                latest_start,
                request.worth_factor * request.request_class.late_worth,
            )
        request.start_by = min(request.start_by, latest_start)
        if now >= request.start_by or self._allowed_workers(request, now) is None:
            self._give_final_answer(request)
            return
        self.queues.add(request)
        self._set_expiry_timer(now)

    def _set_expiry_timer(self, now: float) -> None:
        """Set the timer for the earliest `start_by` of the queued requests, unless it is set already."""
        if (expiry := self.queues.next_expiry()) < self.next_expiry_timer:
            self.next_expiry_timer = expiry
            self._set_timer("held", expiry - now)

    def _send_queued(self, now: float) -> None:
        """Send queued requests to eligible workers, in the order of `_rank`.

        Only the first request of each queue is considered. In a queue of retries it is the first few, because
        a retry may not be allowed on the eligible workers while the next one is.
        """
        while self.queues and len(rows := self._eligible_rows(now)):
            ranked = sorted(self.queues.heads(), key=self._rank)
            # Requests past their `start_by`, for which the timer is about to expire.
            if expired := [request for _, request in ranked if now >= request.start_by]:
                for request in expired:
                    self.queues.remove(request)
                    self._enqueue(request, now)
                continue
            for queue, front in ranked:
                candidates = queue.earliest(MAX_CANDIDATES) if front.attempts else (front,)
                picked = (
                    (request, worker)
                    for request in candidates
                    if (worker := self._pick_worker(request, rows, now)) is not None
                )
                if first := next(picked, None):
                    self.queues.remove(first[0])
                    self._send(*first, now)
                    break
            else:
                return
            for other, _ in ranked:
                other.skips = 0 if other is queue else other.skips + 1

    def _rank(self, item: tuple[RequestQueue, Request]) -> tuple[bool, float, int]:
        """Return the sort key of a queue: first those skipped MAX_SKIPS times, then by worth per work."""
        queue, request = item
        work = request.slots * (
            1.0 if self.settings.worth_per_work else self.mean_run_times[request.class_index]
        )
        return (
            queue.skips < MAX_SKIPS,
            -request.request_class.worth * request.worth_factor / work,
            request.queue_ticket,
        )

    def _set_timer(self, name: str, delay: float) -> None:
        """Set a timer that expires after `delay` seconds, and at least one millisecond."""
        self.actions.append(i.Wake(name, max(delay, 0.001)))

    def _on_began(self, event: i.Began, now: float) -> None:
        """Set the first tick, and request the list if it is not pushed."""
        self._set_timer("tick", self.tick_interval)
        self.actions += [i.Subscribe()] if self.settings.ask_for_list else []

    def _on_stopping(self, event: i.Stopping, now: float) -> None:
        """Shorten the deadline of every request to the end of this instance."""
        self.stop_at = now + event.time_left
        for request_id in list(self.requests):
            self._on_hurry(i.Hurry(request_id, event.time_left), now)

    def _on_hurry(self, event: i.Hurry, now: float) -> None:
        """Shorten the deadline of a request, and answer it if it is queued and can't end by then."""
        request = self.requests.get(event.request)
        if request and request.deadline > now + event.time_left:
            request.deadline = now + event.time_left
            if self.queues.remove(request):
                self._enqueue(request, now)
            for attempt in [
                other for other in request.attempts if other.verdict is None and other.total_time
            ]:
                self._check_pace(request, attempt, now)

    def _on_timer(self, event: i.Timer, now: float) -> None:
        """Handle a timer by its name."""
        if event.name == "ask":
            self.actions.append(i.Subscribe())
        elif event.name == "solve":
            self._continue_solve()
        elif event.name == "admit":
            self.admit_scheduled = False
            self._admit_members(now)
            self._send_queued(now)
        elif event.name == "held":
            self.next_expiry_timer = math.inf
            for request in self.queues.pop_expired(now):
                self._enqueue(request, now)
            self._set_expiry_timer(now)
        elif event.name == "tick":
            # Without a warm worker the previous rate stays.
            if warm_workers := sum(now >= worker.warm_at for worker in self.members):
                rate = self.warm_work_done / self.tick_interval / warm_workers
                if rate and self.warm_rate_settled_at == math.inf:
                    self.warm_rate_settled_at = now + WARM_RATE_WINDOW_S
                self.warm_rate += min(1.0, self.tick_interval / WARM_RATE_WINDOW_S) * (rate - self.warm_rate)
            self.warm_work_done = 0.0
            self._schedule_cold_workers(now)
            self._record_tick(now)
            self._retire_unused(now)
            self._set_timer("tick", self.tick_interval)
        # Many open attempts are checked in a call of their own, to keep this one short.
        if event.name == "tick" and len(self.open_attempts) > MAX_ITEMS_PER_CALL:
            self._set_timer("watch", 0.0)
        elif event.name in ("tick", "watch"):
            self._check_open_attempts(now)
            self._send_queued(now)

    HANDLERS: ClassVar[dict[type, Callable[[Any, Any, float], None]]] = {
        i.Began: _on_began,
        i.WorkerList: _on_worker_list,
    }
    HANDLERS |= {
        i.Arrival: _on_arrival,
        i.ClientLeft: _on_client_left,
        i.Started: _on_attempt_news,
        i.Progress: _on_attempt_news,
        i.Timer: _on_timer,
    }
    HANDLERS |= {
        i.Hurry: _on_hurry,
        i.Outcome: _on_outcome,
        i.Stopping: _on_stopping,
        i.StreamBegan: _on_client_left,
    }
