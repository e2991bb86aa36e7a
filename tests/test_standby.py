"""Workers with learned state are few however long the list is, and none that is listed is out of reach."""

import random
import time
import tracemalloc
from typing import Any

from harness import KEYED, SAFE, Caller

from wickgw import interface as i
from wickgw.net.pool_server import ENTRIES_PER_TURN
from wickgw.standby import MEMBERS, MEMBERS_AN_ATTEMPT, MOST_LEARNED, Standby

MANY = 3200
LONGEST_CALL_S = 0.005
BYTES_A_WORKER = 4_000_000 / 1000  # the operators' table: 4 MB for each thousand workers


def entries(count: int, first: int = 0, **more: Any) -> tuple[i.Entry, ...]:
    return tuple(i.Entry(f"w{n}", **more) for n in range(first, first + count))


def caller(listed: tuple[i.Entry, ...], cls: i.RequestClass = SAFE, **more: Any) -> Caller:
    """A balancer that has admitted all the members it has room for."""
    c = Caller(i.Settings(classes=(cls,), tells_start=True, may_copy=False, **more), entries=listed)
    c.wait(0.1)
    return c


def test_members_are_bounded_and_all_others_are_on_standby() -> None:
    c = caller(entries(MANY))
    b = c.balancer
    assert len(b.order) == MEMBERS and len(b.standby) == MANY - MEMBERS
    assert len(b.matrices.sigma) <= MOST_LEARNED and len(b.index.costs) <= 2 * MEMBERS


def test_fleet_within_the_bound_has_no_standby() -> None:
    b = caller(entries(MEMBERS)).balancer
    assert [w.id for w in b.order] == [f"w{n}" for n in range(MEMBERS)] and not b.standby


def test_memory_of_a_worker_on_standby_is_within_the_table() -> None:
    settings = i.Settings(classes=(SAFE,), dispatchers=30, tells_start=True)
    peaks = []
    for count in (MEMBERS, MANY):
        tracemalloc.start()
        Caller(settings, entries=entries(count)).wait(1.0)
        peaks.append(tracemalloc.get_traced_memory()[1])
        tracemalloc.stop()
    assert (peaks[1] - peaks[0]) / (MANY - MEMBERS) < BYTES_A_WORKER


def longest_call(c: Caller, listed: tuple[i.Entry, ...]) -> float:
    """Processor time of the longest call while a list is told as a pool tells it, ENTRIES_PER_TURN a call."""
    longest = 0.0
    for first in range(0, len(listed), ENTRIES_PER_TURN):
        event = i.WorkerList(i.ListKind.UPDATE, listed[first : first + ENTRIES_PER_TURN])
        began = time.thread_time()
        c.balancer.handle(event, c.now)
        longest = max(longest, time.thread_time() - began)
    return longest


def test_no_call_stands_still_for_a_long_list() -> None:
    """A whole list at the start, and then all of it replaced. The least of three plays, since other processes
    run beside this one."""
    start, replaced = [], []
    for _ in range(3):
        c = Caller(i.Settings(classes=(SAFE,), tells_start=True))
        start.append(longest_call(c, entries(MANY)))
        c.wait(0.1)
        gone = tuple(i.Entry(f"w{n}", i.Health.GONE) for n in range(MANY))
        replaced.append(longest_call(c, (*gone, *entries(MANY, MANY, since=c.now))))
    assert min(start) < LONGEST_CALL_S and min(replaced) < LONGEST_CALL_S


def test_member_that_leaves_or_drains_is_succeeded_by_one_on_standby() -> None:
    c = caller(entries(MANY))
    members = [w.id for w in c.balancer.order]
    c.tell(*(i.Entry(w, i.Health.DRAINING) for w in members[:100]))
    c.tell(*(i.Entry(w, i.Health.GONE) for w in members[100:200]))
    c.wait(0.1)
    assert sum(w.ready for w in c.balancer.order) == MEMBERS
    assert not set(members[:200]) & ({w.id for w in c.balancer.order if w.ready} | set(c.balancer.standby))


def test_worker_that_drains_or_leaves_on_standby_never_becomes_a_member() -> None:
    c = caller(entries(MANY))
    standby = list(c.balancer.standby)
    c.tell(
        *(i.Entry(w, i.Health.DRAINING) for w in standby[::2]),
        *(i.Entry(w, i.Health.GONE) for w in standby[1::2]),
    )
    c.tell(*(i.Entry(w.id, i.Health.GONE) for w in c.balancer.order[:50]))
    c.wait(0.1)
    assert len(c.balancer.order) == MEMBERS - 50 and not c.balancer.standby


def test_whole_list_replaced_leaves_no_worker_of_before() -> None:
    c = caller(entries(MANY))
    c.tell(*entries(MANY, first=MANY), kind=i.ListKind.REPLACE)
    c.wait(0.1)
    listed = {f"w{n}" for n in range(MANY, 2 * MANY)}
    assert len(c.balancer.order) == MEMBERS
    assert {w.id for w in c.balancer.order} | set(c.balancer.standby) == listed


def test_others_are_tried_when_no_member_is_free_and_retired_when_they_rest() -> None:
    c = caller(entries(MANY))
    for n in range(MEMBERS + 40):
        c.arrive(f"r{n}")  # one at each: its worker has not begun it
    assert len(c.open()) == MEMBERS + 40 and MEMBERS + 40 <= len(c.balancer.order) <= MEMBERS + 56
    for name, number in c.open():
        c.start(name, number)
        c.end(name, number=number)
    c.wait(40.0)
    assert len(c.balancer.order) == MEMBERS and len(c.balancer.standby) == MANY - MEMBERS


def test_jobs_that_take_a_thousand_workers_find_them_and_learned_state_stays_bounded() -> None:
    """Each worker has room for one job, none of which ends."""
    c = caller(entries(MANY))
    for n in range(1000):
        c.arrive(f"r{n}")
    b = c.balancer
    assert len(c.open()) == 1000 and len({w.row for w in b.order}) == len(b.order)
    assert len(b.order) <= MEMBERS + MEMBERS_AN_ATTEMPT * 1000
    c.wait(0.5)
    assert len(b.matrices.sigma) == MOST_LEARNED
    for name, number in c.open():
        c.start(name, number)
        c.end(name, number=number)
    c.wait(60.0)
    assert len(b.order) == MEMBERS and all(b.rows[w.row] is w for w in b.order)


def test_members_stay_bounded_when_all_workers_are_out_of_reach() -> None:
    c = caller(entries(MANY))
    for n in range(400):
        c.arrive(f"r{n}", patience=1.0)
        for name, number in c.open():
            c.end(name, i.Verdict.CONNECT_FAILED, number)
        c.wait(0.01)
    assert len(c.balancer.order) <= MEMBERS + MEMBERS_AN_ATTEMPT * 10


def test_member_with_an_attempt_out_or_cold_is_not_retired() -> None:
    c = caller(entries(MANY), cold_from=0.2, warm_after=500.0)
    c.balancer.most_members = MEMBERS + 16
    c.balancer._admit(c.now)
    c.tell(*(i.Entry(f"c{n}", since=c.now) for n in range(20)))
    flying = {
        worker for _, worker in (s for n in range(30) for s in c.sends(c.arrive(f"r{n}", patience=1.9)))
    }
    for name, number in c.open():
        c.start(name, number)
    c.balancer._retire_unused(c.now + 30.0)
    assert flying <= {w.id for w in c.balancer.order}


def test_repeat_that_may_only_go_to_its_cell_finds_it_on_standby() -> None:
    """A key is known in a cell of four workers, of which seldom a second one is a member."""
    listed = tuple(i.Entry(f"w{n}", cell=n // 4) for n in range(MANY))
    c = caller(listed, KEYED[i.Group.CELL])
    c.arrive("r")
    first = c.owed["r"].tries[0].worker
    c.start("r")
    c.wait(0.01)
    c.end("r", i.Verdict.ERROR)
    c.wait(0.1)
    second = c.owed["r"].tries[1].worker
    assert second.cell == first.cell and second.worker != first.worker


def test_repeat_is_bound_to_the_attempt_that_may_have_run_and_not_to_one_that_never_did() -> None:
    listed = tuple(i.Entry(f"w{n}", cell=n // 4) for n in range(MANY))
    c = caller(listed, KEYED[i.Group.CELL])
    c.arrive("r")
    c.end("r", i.Verdict.CONNECT_FAILED)
    c.start("r", 1)
    c.end("r", i.Verdict.ERROR, 1)
    c.wait(0.1)
    _, ran, repeat = (attempt.worker for attempt in c.owed["r"].tries)
    assert repeat.cell == ran.cell and repeat.worker != ran.worker


def test_workers_of_the_own_zone_are_half_of_the_members_where_crossing_costs() -> None:
    listed = tuple(i.Entry(f"w{n}", zone=n % 16) for n in range(MANY))
    for fee, least in ((0.03, MEMBERS // 2), (0.0, 1)):
        order = caller(listed, zone=3, crossing_fee=fee, zones=tuple(map(str, range(16)))).balancer.order
        assert least <= sum(w.zone == 3 for w in order) <= MEMBERS // 2 + MEMBERS // 16


def test_dispatchers_draw_different_members() -> None:
    found = []
    for seed in (1, 2):
        standby = Standby(None)
        for entry in entries(MANY):
            standby.add(entry)
        found.append({e.worker for e in standby.take(64, MEMBERS, 0, random.Random(seed))})
    assert len(found[0] & found[1]) < 16


def test_learned_weight_of_workers_in_use_survives_the_coming_and_going_of_others() -> None:
    c = caller(entries(MANY), dispatchers=4)
    used = [w.id for w in c.balancer.order[:8]]
    for turn in range(200):
        for name, _ in c.sends(c.arrive(f"r{turn}")):
            c.start(name)
            c.wait(0.03)
            c.end(name)
        others = [w.id for w in c.balancer.order if w.id not in used and not w.flying][:4]
        c.tell(*(i.Entry(w, i.Health.GONE) for w in others), *entries(4, first=MANY + 4 * turn))
        c.wait(0.02)
    known = {w.id: c.balancer.matrices.sigma[w.row, w.row] for w in c.balancer.order}
    assert all(w in known for w in used) and len(c.balancer.order) == MEMBERS
