"""The number of members stays bounded for any length of the list, and every listed worker can be used."""

import random
import time
import tracemalloc
from typing import Any

from harness import KEYED, SAFE, BalancerDriver

from wickgw import interface as i
from wickgw.net.pool_server import ENTRIES_PER_TURN
from wickgw.standby import BASE_MEMBERS, EXTRA_MEMBERS_PER_ATTEMPT, MAX_LEARNED_WORKERS, Standby

WORKERS = 3200
MAX_CALL_S = 0.005
MAX_BYTES_PER_WORKER = 4_000_000 / 1000  # documented limit: 4 MB per thousand workers


def entries(count: int, first: int = 0, **changes: Any) -> tuple[i.Entry, ...]:
    """Return `count` entries, named w<first> and up."""
    return tuple(i.Entry(f"w{n}", **changes) for n in range(first, first + count))


def caller_with_members(
    listed: tuple[i.Entry, ...], request_class: i.RequestClass = SAFE, **changes: Any
) -> BalancerDriver:
    """Return a caller whose balancer has admitted all members that it has room for."""
    caller = BalancerDriver(
        i.Settings(classes=(request_class,), reports_start=True, may_hedge=False, **changes), entries=listed
    )
    caller.wait(0.1)
    return caller


def test_members_are_bounded_and_all_other_workers_are_on_standby() -> None:
    caller = caller_with_members(entries(WORKERS))
    balancer = caller.balancer
    assert len(balancer.members) == BASE_MEMBERS and len(balancer.standby) == WORKERS - BASE_MEMBERS
    assert (
        len(balancer.matrices.sigma) <= MAX_LEARNED_WORKERS and len(balancer.index.costs) <= 2 * BASE_MEMBERS
    )


def test_fleet_within_the_bound_has_no_standby() -> None:
    balancer = caller_with_members(entries(BASE_MEMBERS)).balancer
    assert [worker.id for worker in balancer.members] == [
        f"w{n}" for n in range(BASE_MEMBERS)
    ] and not balancer.standby


def test_memory_of_a_worker_on_standby_is_within_the_documented_limit() -> None:
    settings = i.Settings(classes=(SAFE,), dispatchers=30, reports_start=True)
    peaks = []
    for count in (BASE_MEMBERS, WORKERS):
        tracemalloc.start()
        BalancerDriver(settings, entries=entries(count)).wait(1.0)
        peaks.append(tracemalloc.get_traced_memory()[1])
        tracemalloc.stop()
    assert (peaks[1] - peaks[0]) / (WORKERS - BASE_MEMBERS) < MAX_BYTES_PER_WORKER


def longest_call(caller: BalancerDriver, listed: tuple[i.Entry, ...]) -> float:
    """Return the processor time of the longest call while a list is fed as a pool does, in parts."""
    longest_s = 0.0
    for first in range(0, len(listed), ENTRIES_PER_TURN):
        event = i.WorkerList(i.ListKind.UPDATE, listed[first : first + ENTRIES_PER_TURN])
        began_s = time.thread_time()
        caller.balancer.handle(event, caller.now)
        longest_s = max(longest_s, time.thread_time() - began_s)
    return longest_s


def test_no_call_takes_long_for_a_long_list() -> None:
    """Feeds a whole list at the start, and then its replacement by another.

    Other processes may disturb the measurement, therefore the least of three runs counts.
    """
    start_s, replaced_s = [], []
    for _ in range(3):
        caller = BalancerDriver(i.Settings(classes=(SAFE,), reports_start=True))
        start_s.append(longest_call(caller, entries(WORKERS)))
        caller.wait(0.1)
        gone = tuple(i.Entry(f"w{n}", i.Health.GONE) for n in range(WORKERS))
        replaced_s.append(longest_call(caller, (*gone, *entries(WORKERS, WORKERS, since=caller.now))))
    assert min(start_s) < MAX_CALL_S and min(replaced_s) < MAX_CALL_S


def test_member_that_leaves_or_drains_is_replaced_from_the_standby() -> None:
    caller = caller_with_members(entries(WORKERS))
    members = [worker.id for worker in caller.balancer.members]
    caller.update_list(*(i.Entry(worker, i.Health.DRAINING) for worker in members[:100]))
    caller.update_list(*(i.Entry(worker, i.Health.GONE) for worker in members[100:200]))
    caller.wait(0.1)
    assert sum(worker.ready for worker in caller.balancer.members) == BASE_MEMBERS
    assert not set(members[:200]) & (
        {worker.id for worker in caller.balancer.members if worker.ready} | set(caller.balancer.standby)
    )


def test_worker_that_drains_or_leaves_on_standby_never_becomes_a_member() -> None:
    caller = caller_with_members(entries(WORKERS))
    standby = list(caller.balancer.standby)
    caller.update_list(
        *(i.Entry(worker, i.Health.DRAINING) for worker in standby[::2]),
        *(i.Entry(worker, i.Health.GONE) for worker in standby[1::2]),
    )
    caller.update_list(*(i.Entry(worker.id, i.Health.GONE) for worker in caller.balancer.members[:50]))
    caller.wait(0.1)
    assert len(caller.balancer.members) == BASE_MEMBERS - 50 and not caller.balancer.standby


def test_replaced_list_leaves_no_earlier_worker() -> None:
    caller = caller_with_members(entries(WORKERS))
    caller.update_list(*entries(WORKERS, first=WORKERS), kind=i.ListKind.REPLACE)
    caller.wait(0.1)
    listed = {f"w{n}" for n in range(WORKERS, 2 * WORKERS)}
    assert len(caller.balancer.members) == BASE_MEMBERS
    assert {worker.id for worker in caller.balancer.members} | set(caller.balancer.standby) == listed


def test_extra_members_are_admitted_when_none_is_eligible_and_retired_when_unused() -> None:
    caller = caller_with_members(entries(WORKERS))
    for n in range(BASE_MEMBERS + 40):
        caller.arrive(f"r{n}")  # one job per worker, because none of the jobs starts
    assert (
        len(caller.open_attempts()) == BASE_MEMBERS + 40
        and BASE_MEMBERS + 40 <= len(caller.balancer.members) <= BASE_MEMBERS + 56
    )
    for name, number in caller.open_attempts():
        caller.start_attempt(name, number)
        caller.end_attempt(name, number=number)
    caller.wait(40.0)
    assert (
        len(caller.balancer.members) == BASE_MEMBERS
        and len(caller.balancer.standby) == WORKERS - BASE_MEMBERS
    )


def test_jobs_that_need_a_thousand_workers_get_them_and_learned_state_stays_bounded() -> None:
    """Each worker has room for one job, and no job ends."""
    caller = caller_with_members(entries(WORKERS))
    for n in range(1000):
        caller.arrive(f"r{n}")
    balancer = caller.balancer
    assert len(caller.open_attempts()) == 1000 and len({worker.row for worker in balancer.members}) == len(
        balancer.members
    )
    assert len(balancer.members) <= BASE_MEMBERS + EXTRA_MEMBERS_PER_ATTEMPT * 1000
    caller.wait(0.5)
    assert len(balancer.matrices.sigma) == MAX_LEARNED_WORKERS
    for name, number in caller.open_attempts():
        caller.start_attempt(name, number)
        caller.end_attempt(name, number=number)
    caller.wait(60.0)
    assert len(balancer.members) == BASE_MEMBERS and all(
        balancer.row_workers[worker.row] is worker for worker in balancer.members
    )


def test_members_stay_bounded_when_no_worker_is_reachable() -> None:
    caller = caller_with_members(entries(WORKERS))
    for n in range(400):
        caller.arrive(f"r{n}", time_left=1.0)
        for name, number in caller.open_attempts():
            caller.end_attempt(name, i.Verdict.CONNECT_FAILED, number)
        caller.wait(0.01)
    assert len(caller.balancer.members) <= BASE_MEMBERS + EXTRA_MEMBERS_PER_ATTEMPT * 10


def test_member_with_an_open_attempt_or_cold_is_not_retired() -> None:
    caller = caller_with_members(entries(WORKERS), initial_capacity=0.2, warmup_time=500.0)
    caller.balancer.member_limit = BASE_MEMBERS + 16
    caller.balancer._admit_members(caller.now)
    caller.update_list(*(i.Entry(f"c{n}", since=caller.now) for n in range(20)))
    workers_in_use = {
        worker
        for _, worker in (
            s for n in range(30) for s in caller.sends_in(caller.arrive(f"r{n}", time_left=1.9))
        )
    }
    for name, number in caller.open_attempts():
        caller.start_attempt(name, number)
    caller.balancer._retire_unused(caller.now + 30.0)
    assert workers_in_use <= {member.id for member in caller.balancer.members}


def test_repeat_that_may_only_go_to_one_cell_admits_members_of_that_cell() -> None:
    """A cell of four workers drops repeats of the key; a second one of them is rarely a member."""
    listed = tuple(i.Entry(f"w{n}", cell=n // 4) for n in range(WORKERS))
    caller = caller_with_members(listed, KEYED[i.DedupScope.CELL])
    caller.arrive("r")
    first = caller.requests["r"].attempts[0].worker
    caller.start_attempt("r")
    caller.wait(0.01)
    caller.end_attempt("r", i.Verdict.ERROR)
    caller.wait(0.1)
    second = caller.requests["r"].attempts[1].worker
    assert second.cell == first.cell and second.worker != first.worker


def test_repeat_goes_to_the_cell_of_the_attempt_that_may_have_run() -> None:
    listed = tuple(i.Entry(f"w{n}", cell=n // 4) for n in range(WORKERS))
    caller = caller_with_members(listed, KEYED[i.DedupScope.CELL])
    caller.arrive("r")
    caller.end_attempt("r", i.Verdict.CONNECT_FAILED)
    caller.start_attempt("r", 1)
    caller.end_attempt("r", i.Verdict.ERROR, 1)
    caller.wait(0.1)
    _, ran, repeat = (attempt.worker for attempt in caller.requests["r"].attempts)
    assert repeat.cell == ran.cell and repeat.worker != ran.worker


def test_half_of_the_members_are_of_the_home_zone_if_other_zones_have_a_fee() -> None:
    listed = tuple(i.Entry(f"w{n}", zone=n % 16) for n in range(WORKERS))
    for fee, least in ((0.03, BASE_MEMBERS // 2), (0.0, 1)):
        members = caller_with_members(
            listed, zone=3, cross_zone_fee=fee, zones=tuple(map(str, range(16)))
        ).balancer.members
        assert least <= sum(worker.zone == 3 for worker in members) <= BASE_MEMBERS // 2 + BASE_MEMBERS // 16


def test_dispatchers_draw_different_members() -> None:
    drawn = []
    for seed in (1, 2):
        standby = Standby(None)
        for entry in entries(WORKERS):
            standby.add(entry)
        drawn.append({e.worker for e in standby.take(64, BASE_MEMBERS, 0, random.Random(seed))})
    assert len(drawn[0] & drawn[1]) < 16


def test_learned_state_of_workers_in_use_survives_changes_of_the_others() -> None:
    caller = caller_with_members(entries(WORKERS), dispatchers=4)
    used = [worker.id for worker in caller.balancer.members[:8]]
    for round_number in range(200):
        for name, _ in caller.sends_in(caller.arrive(f"r{round_number}")):
            caller.start_attempt(name)
            caller.wait(0.03)
            caller.end_attempt(name)
        others = [
            worker.id for worker in caller.balancer.members if worker.id not in used and not worker.in_flight
        ][:4]
        caller.update_list(
            *(i.Entry(worker, i.Health.GONE) for worker in others),
            *entries(4, first=WORKERS + 4 * round_number),
        )
        caller.wait(0.02)
    known = {
        worker.id: caller.balancer.matrices.sigma[worker.row, worker.row]
        for worker in caller.balancer.members
    }
    assert all(worker in known for worker in used) and len(caller.balancer.members) == BASE_MEMBERS
