"""The effect of settings: worth by work, tenants, load reports, progress reports and machine types; and the
rules of sends and answers in randomly drawn deployments.
"""

import json
import random
from typing import Any

import pytest
from harness import BalancerDriver
from hypothesis import given, settings
from hypothesis import strategies as st
from scenario import NS_PER_MS, PLATFORM_SETTINGS, Scenario

from wickgw import interface as i
from wickgw.platform_data import read_fraction_done, read_free_slots, read_settings

LIGHT = i.RequestClass("light", 0.2, 5.0, worth=1.0, stretch=2.0)
HEAVY = i.RequestClass("heavy", 0.2, 15.0, worth=3.0, stretch=2.0)
ONCE = i.RequestClass("once", 0.2, 15.0, worth=3.0, stretch=2.0, idempotency=i.Idempotency.UNSAFE)


def site(*classes: i.RequestClass, **more: Any) -> i.Settings:
    """Return settings with these classes, whose workers report starts and progress."""
    return i.Settings(classes=classes, reports_start=True, progress_interval=1.0, **more)


# Worth and quotas.


@pytest.mark.parametrize("by_work, first", [(True, "heavy"), (False, "light")])
def test_queues_are_served_by_worth_per_work_as_the_settings_define_it(by_work: bool, first: str) -> None:
    """A heavy job has three times the worth and runs ten times as long.

    If the worth counts per request, it earns less per second.
    """
    caller = BalancerDriver(
        site(LIGHT, HEAVY, worth_per_work=by_work, may_hedge=False), entries=(i.Entry("w0"),)
    )
    caller.balancer.mean_run_times[:] = [0.1, 1.0]
    caller.arrive("busy")  # its job has not started: all other requests are queued
    for name, class_index in (("light", 0), ("heavy", 1)):
        caller.arrive(name, class_index)
    assert caller.sends_in(caller.start_attempt("busy"))[0][0] == first


@pytest.mark.parametrize("tenant, share", [(0, 1.0), (1, 0.2), (2, 0.2), (-1, 0.2)])
def test_request_beyond_a_quota_or_without_a_tenant_earns_less(tenant: int, share: float) -> None:
    tenants = (i.Tenant("a", 100.0), i.Tenant("b", 0.0))
    caller = BalancerDriver(site(LIGHT, tenants=tenants, over_share_worth=0.2))
    caller.arrive("r", tenant=tenant)
    assert caller.balancer.requests["r"].worth_factor == share


def test_quota_is_a_rate_with_a_burst_of_one_second() -> None:
    caller = BalancerDriver(site(LIGHT, tenants=(i.Tenant("a", 4.0),), over_share_worth=0.2, dispatchers=2))
    shares = []
    for n in range(4):
        caller.arrive(f"r{n}")
        shares.append(caller.balancer.requests[f"r{n}"].worth_factor)
    caller.wait(0.55)
    caller.arrive("later")
    assert shares == [1.0, 1.0, 0.2, 0.2] and caller.balancer.requests["later"].worth_factor == 1.0


OWNERS = [("a", 0), ("b", 1), ("", -1), ("c", -1), ("A", -1), ("a, b", -1), ("b" * 4096, -1), (None, -1)]


@pytest.mark.parametrize("owner, tenant", OWNERS)
def test_owner_header_names_a_tenant_or_none(owner: str | None, tenant: int) -> None:
    scene = Scenario(platform_settings={"parties": [{"name": n, "quota-per-s": 5.0} for n in "ab"]})
    field = "" if owner is None else f' "Req-Owner: {owner}"'
    try:
        scene.run_script(f'a send job 1 look 3000 ""{field}\nw0 gets 1')
        assert scene.node.dispatcher.pending["1"].tenant == tenant
        scene.run_script("w0 send serve 1\na expect 200 OK.*made")
    finally:
        scene.close()


def test_repeated_owner_header_names_no_tenant() -> None:
    scene = Scenario(platform_settings={"parties": [{"name": "a", "quota-per-s": 5.0}]})
    try:
        scene.run_script('a send job 1 look 3000 "" "Req-Owner: a" "Req-Owner: a"\nw0 gets 1')
        assert scene.node.dispatcher.pending["1"].tenant == -1
    finally:
        scene.close()


# How long a request may be queued.


@pytest.mark.parametrize("late_worth, share", [(0.0, 0.5), (0.3, 1.0)])
def test_without_a_late_worth_a_typical_job_must_still_be_in_time(late_worth: float, share: float) -> None:
    request_class = i.RequestClass("k", 0.2, 15.0, stretch=3.0, late_worth=late_worth)
    caller = BalancerDriver(site(request_class))
    caller.balancer.mean_run_times[0] = 1.0
    caller.arrive("r")
    assert caller.balancer.requests["r"].start_by == pytest.approx(0.2 + 2.0 * share)


# Progress reports, and slow workers.


def slowing_job(request_class: i.RequestClass, workers: int = 2, **more: Any) -> BalancerDriver:
    """Feed a job that slows down to a sixth of its rate in its third second."""
    caller = BalancerDriver(
        site(request_class, may_cancel=True, **more), entries=tuple(i.Entry(f"w{k}") for k in range(workers))
    )
    caller.arrive("r")
    caller.start_attempt("r")
    for share in (0.1, 0.2):
        caller.wait(1.0)
        caller.feed(i.Progress("r", 0, share))
    assert not [action for _, action in caller.actions if isinstance(action, i.Cancel)]
    for share in (0.216, 0.232):
        caller.wait(1.0)
        caller.feed(i.Progress("r", 0, share))
    return caller


def test_job_whose_worker_slows_down_migrates() -> None:
    caller = slowing_job(HEAVY)
    assert [action for _, action in caller.actions if isinstance(action, i.Cancel)] == [i.Cancel("r", 0)]
    first = caller.requests["r"].attempts[0].worker.worker
    ((name, second),) = caller.sends_in(caller.end_attempt("r", i.Verdict.CANCELLED))
    assert name == "r" and second != first
    slow = caller.balancer.workers[first]
    assert caller.balancer.run_times.log_slowness(slow.row) > 1.0 and slow.failure_score == 1


@pytest.mark.parametrize(
    "request_class, workers, more", [(ONCE, 2, {}), (HEAVY, 1, {}), (HEAVY, 2, {"max_attempts": 1})]
)
def test_job_stays_if_it_may_not_or_can_not_migrate(
    request_class: i.RequestClass, workers: int, more: Any
) -> None:
    caller = slowing_job(request_class, workers, **more)
    assert not [action for _, action in caller.actions if isinstance(action, i.Cancel)]


def test_progress_reports_without_a_fraction_cause_no_migration() -> None:
    caller = BalancerDriver(site(HEAVY, may_cancel=True), entries=(i.Entry("w0"), i.Entry("w1")))
    caller.arrive("r")
    caller.start_attempt("r")
    for _ in range(12):
        caller.wait(1.0)
        caller.feed(i.Progress("r", 0))
    assert not [action for _, action in caller.actions if isinstance(action, i.Cancel)]


def cancelled_attempts(caller: BalancerDriver) -> list[tuple[float, str]]:
    """Return the time and the request of each cancelled attempt."""
    return [
        (round(time, 1), action.request) for time, action in caller.actions if isinstance(action, i.Cancel)
    ]


def test_job_whose_worker_falls_silent_migrates_while_it_can_still_be_in_time() -> None:
    """Half done after 2 of 4 s, then silent: resumed from a saved state, the job is in time until 5.2 s."""
    caller = BalancerDriver(site(HEAVY, may_cancel=True), entries=(i.Entry("w0"), i.Entry("w1")))
    caller.arrive("r")
    caller.start_attempt("r")
    for share in (0.25, 0.5):
        caller.wait(1.0)
        caller.feed(i.Progress("r", 0, share))
    caller.wait(12.0)
    assert cancelled_attempts(caller) == [(4.6, "r")]  # 2.5 intervals after its last report
    caller = BalancerDriver(site(HEAVY, may_cancel=True), entries=(i.Entry("w0"), i.Entry("w1")))
    caller.arrive("r")
    caller.start_attempt("r")
    caller.wait(1.0)
    caller.feed(i.Progress("r", 0, 0.9))  # a job of 1.1 s: too late to migrate when it counts as silent
    caller.wait(12.0)
    assert cancelled_attempts(caller) == []


def test_job_without_any_report_may_be_a_long_one() -> None:
    """The job started and is silent since. After 2.5 s it may take as long again, and is in time then."""
    caller = BalancerDriver(
        site(HEAVY, ONCE, may_cancel=True), entries=tuple(i.Entry(f"w{k}") for k in range(3))
    )
    for name, class_index in (("r", 0), ("once", 1)):
        caller.arrive(name, class_index)
        caller.start_attempt(name)
    caller.wait(2.7)
    assert cancelled_attempts(caller) == [(2.6, "r")]
    ((name, _),) = caller.sends_in(caller.end_attempt("r", i.Verdict.CANCELLED))
    assert name == "r"


@pytest.mark.parametrize("ran, again", [(0.1, True), (1.5, True)])
@pytest.mark.parametrize("verdict", [i.Verdict.RESET, i.Verdict.ERROR])
def test_job_that_breaks_off_after_a_while_runs_on_another_worker(
    verdict: i.Verdict, ran: float, again: bool
) -> None:
    """A typical job of its class would have lost its slack by then; a job that ran so long is not typical."""
    caller = BalancerDriver(site(HEAVY, may_cancel=True), entries=(i.Entry("w0"), i.Entry("w1")))
    caller.balancer.mean_run_times[0] = 0.5
    caller.arrive("r")
    caller.start_attempt("r")
    caller.wait(ran)
    assert bool(caller.sends_in(caller.end_attempt("r", verdict))) is again


def test_job_that_waited_long_before_it_broke_off_is_refused() -> None:
    caller = BalancerDriver(
        site(HEAVY, may_cancel=True, may_hedge=False), entries=(i.Entry("w0"), i.Entry("w1"))
    )
    caller.balancer.mean_run_times[0] = 0.5
    caller.arrive("r")
    caller.wait(1.5)
    caller.start_attempt("r")
    caller.wait(0.1)
    assert [type(action) for action in caller.end_attempt("r", i.Verdict.RESET)] == [i.Refuse]


@pytest.mark.parametrize("slowdown, cancelled", [(1.35, [(1.0, "r")]), (1.0, [])])
def test_job_that_can_not_end_before_its_deadline_migrates_to_a_worker_where_it_can(
    slowdown: float, cancelled: Any
) -> None:
    """The job takes 16 s and has 15. Less than half of the slack is lost, but the job can't end in time here.
    On a worker that is no faster it can't either.
    """
    caller = BalancerDriver(site(HEAVY, may_cancel=True), entries=(i.Entry("w0"), i.Entry("w1")))
    caller.arrive("r")
    row = caller.balancer.workers[caller.requests["r"].attempts[0].worker.worker].row
    caller.balancer.run_times.estimate_log_run_time(row, slowdown, 0.0)  # learned from a job of 1 s
    caller.start_attempt("r")
    for share in (1 / 16, 2 / 16, 3 / 16):
        caller.wait(1.0)
        caller.feed(i.Progress("r", 0, share))
    assert cancelled_attempts(caller)[:1] == cancelled


def test_rate_of_a_resumed_job_is_known_from_its_second_report() -> None:
    caller = slowing_job(HEAVY)
    caller.end_attempt("r", i.Verdict.CANCELLED)
    caller.start_attempt("r", 1)
    second = caller.balancer.requests["r"].attempts[1]
    caller.wait(1.0)
    caller.feed(i.Progress("r", 1, 0.3))  # of which the first worker did 0.232
    assert second.total_time == 0
    caller.wait(1.0)
    caller.feed(i.Progress("r", 1, 0.4))
    assert second.total_time == pytest.approx(10.0)


def test_jobs_with_a_stretch_go_to_the_fast_machine_type_while_one_is_free() -> None:
    """Slow machines take over twice as long as fast ones; a stretch of 2 has slack for half of that."""
    entries = tuple(
        i.Entry(f"{machine_type}{k}", machine_type=machine_type)
        for machine_type in ("quick", "slow")
        for k in range(3)
    )
    caller, rng, job_counts = (
        BalancerDriver(site(HEAVY), entries=entries),
        random.Random(4),
        {"quick": 0, "slow": 0},
    )
    for n in range(400):
        ((name, worker),) = caller.sends_in(caller.arrive(f"r{n}"))
        caller.start_attempt(name)
        caller.wait(rng.lognormvariate(-1.0, 0.5) * (2.2 if worker.startswith("slow") else 1.0))
        caller.end_attempt(name)
        if n >= 200:
            job_counts[worker[:-1]] += 1
    assert job_counts["quick"] > 190
    for k in range(3):  # all fast workers are taken: the next job may go to a slow one
        caller.arrive(f"held{k}")
    ((_, worker),) = caller.sends_in(caller.arrive("more"))
    assert worker.startswith("slow")


# A planned restart.


@pytest.mark.parametrize("progress_first", [True, False])
def test_job_that_can_not_end_before_a_planned_restart_is_refused_at_once(progress_first: bool) -> None:
    """Its client can send it to another dispatcher at once, so the refusal advises no delay."""
    caller = BalancerDriver(
        site(HEAVY, ONCE, may_cancel=True), entries=tuple(i.Entry(f"w{k}") for k in range(3))
    )
    for name, class_index in (("long", 0), ("short", 0), ("once", 1)):
        caller.arrive(name, class_index)
        caller.start_attempt(name)
    caller.wait(1.0)
    if not progress_first:
        assert not caller.feed(i.Stopping(3.5))
    for name, share in (("long", 0.1), ("short", 0.5), ("once", 0.1)):
        caller.feed(i.Progress(name, 0, share))
    if progress_first:
        assert not [action for _, action in caller.actions if isinstance(action, i.Refuse)]
        caller.feed(i.Stopping(3.5))
    ended = [action for _, action in caller.actions if isinstance(action, i.Cancel | i.Refuse | i.Fail)]
    assert ended == [i.Cancel("long", 0), i.Refuse("long", 0.0)]


def test_refusal_of_a_process_that_is_about_to_end_closes_its_connection() -> None:
    line = json.dumps({"id": "1", "state": "running", "share": 0.0001}) + "\n"
    chunk = f"{len(line):x}~{line}~".replace("\n", "\\n").replace('"', '\\"')
    scene = Scenario()
    try:
        scene.run_script(
            f'a send job 1\nw0 gets 1\nw0 send take\nw0 send event started 1\nw0 send raw "{chunk}"'
        )
        scene.run_script(
            "node wait progress 1\nnode drain\na expect 503 .*Retry-After: 0\\r\\n.*: close.*later\\n$"
        )
        scene.run_script("a expect end\nw0 expect end")
    finally:
        scene.close()


# Load reports.


def test_worker_that_reports_no_free_slot_is_chosen_last() -> None:
    caller = BalancerDriver(site(LIGHT), entries=tuple(i.Entry(f"w{k}") for k in range(3)))
    for n, member in enumerate(caller.balancer.members):
        member.slots = 0.0 if n else 2.0
        caller.balancer._update_index(member)
    chosen_workers = []
    for n in range(200):
        ((name, worker),) = caller.sends_in(caller.arrive(f"r{n}"))
        caller.start_attempt(name)
        caller.end_attempt(name, free=0.0 if worker != "w0" else 2.0)
        chosen_workers.append(worker)
    assert chosen_workers.count("w0") > 185


@pytest.mark.parametrize("free, hedged", [(1.0, True), (0.0, False), (None, False)])
def test_while_jobs_wait_hedged_attempts_go_only_to_reported_free_slots(
    free: float | None, hedged: bool
) -> None:
    caller = BalancerDriver(
        site(LIGHT, may_hedge=True, may_cancel=True), entries=(i.Entry("w0"), i.Entry("w1"))
    )
    caller.balancer.mean_wait, caller.balancer.mean_run_times[0] = 0.15, 1.0
    caller.arrive("r")
    other = next(worker for worker in caller.balancer.members if not worker.in_flight)
    if free is not None:
        other.slots = free
        caller.balancer._update_index(other)
    assert bool(caller.sends_in(caller.wait(0.35))) is hedged


LOADS: list[tuple[Any, float | None]] = [
    ({"x0": 2}, 2.0), ({"x0": 0.98, "util": 7}, 0.98), ({"x0": 0}, 0.0), ({}, None), ({"x0": "2"}, None),
    ({"x0": -1}, None), ({"x0": 1e300}, None), ({"x0": True}, None), ([1], None), (None, None), ("x0", None),
    ({"x0": float("nan")}, None), ({"x0": None}, None),
]  # fmt: skip


@pytest.mark.parametrize("load, free", LOADS)
def test_load_report_contains_valid_free_slots_or_none(load: Any, free: float | None) -> None:
    assert read_free_slots(load, "x0") == free and read_free_slots(load, "") is None


@pytest.mark.parametrize("share, done", [(0.4, 0.4), (1, 1.0), (0, 0.0), (1.5, 0.0), ("1", 0.0), (None, 0.0)])
def test_invalid_fraction_counts_as_not_reported(share: Any, done: float) -> None:
    assert read_fraction_done(share) == done


REPORTS = {"reporting": {"source": "piggyback", "fields": ["avg_ms", "x0"]}}
FAMILY = {
    "family-info": PLATFORM_SETTINGS["family-info"] | {"report-x0": "free slots", "report-x1": "free memory"}
}


@pytest.mark.parametrize(
    "facts, field",
    [
        (REPORTS | FAMILY, "x0"),
        ({"reporting": {"source": "silent", "fields": ["x0"]}} | FAMILY, ""),
        ({"reporting": {"source": "piggyback", "fields": ["x1"]}} | FAMILY, ""),
        (REPORTS, ""),
        ({}, ""),
    ],
)
def test_settings_name_the_field_with_the_free_slots(facts: dict[str, Any], field: str) -> None:
    assert read_settings(PLATFORM_SETTINGS | facts).free_slots_field == field


def record_events(scene: Scenario, event_type: type) -> list[Any]:
    """Return a list to which each event of one type is added when the balancer handles it."""
    events, handle = list[Any](), scene.node.dispatcher.balancer.handle

    def record(event: i.Event, now: float) -> list[i.Action]:
        if isinstance(event, event_type):
            events.append(event)
        return handle(event, now)

    scene.node.dispatcher.balancer.handle = record  # type: ignore[method-assign]
    return events


LAST = '{"id":"1","state":"failed","load":{"x0":3.0}}'
QUOTED = LAST.replace('"', '\\"')


@pytest.mark.parametrize(
    "reply, ends, free",
    [
        (f'raw "HTTP/1.1 200 X~Content-Length: {len(LAST)}~~{QUOTED}"', "try.error", 3.0),
        ('status 503 "Srv-Declined: 1" "Srv-Load: {\\"x0\\":0}"', "try.full", 0.0),
        ('status 503 "Srv-Declined: 1" "Srv-Load: {{{"', "try.full", None),
        ('status 503 "Srv-Declined: 1"', "try.full", None),
        ("last lost 1", "try.reset", None),
    ],
)  # fmt: skip
def test_load_report_is_part_of_the_outcome(reply: str, ends: str, free: float | None) -> None:
    scene = Scenario(known="w0 w1", platform_settings=REPORTS | FAMILY)
    events = record_events(scene, i.Outcome)
    try:
        scene.run_script(f"a send job 1 once\np gets 1\np send {reply}\nnode wait {ends} 1")
        assert events[0].free == free
    finally:
        scene.close()


def test_progress_events_carry_their_fraction_and_invalid_ones_do_no_harm() -> None:
    scene = Scenario()
    events = record_events(scene, i.Progress)
    shares: list[Any] = [0.4, "x", [], 7]
    lines = [json.dumps({"id": "1", "state": "running", "share": s}) + "\n" for s in shares]
    chunks = "".join(f"{len(line):x}~{line}~" for line in lines).replace("\n", "\\n").replace('"', '\\"')
    try:
        scene.run_script(
            f'a send job 1 once\nw0 gets 1\nw0 send take\nw0 send event started 1\nw0 send raw "{chunks}"'
        )
        scene.run_script("w0 send done 1\na expect 200 OK.*made")
        assert [event.fraction_done for event in events] == [0.4, 0.0, 0.0, 0.0]
    finally:
        scene.close()


# The rules of sends and answers, in randomly drawn deployments.

ASKED = st.fixed_dictionaries({"discovery": st.sampled_from(["ask", "push"])})
SERVICES = st.lists(
    st.fixed_dictionaries(
        {
            "target-ns": st.integers(20, 800).map(lambda ms: ms * NS_PER_MS),
            "hard-limit-ns": st.integers(300, 30_000).map(lambda ms: ms * NS_PER_MS),
            "idempotency": st.sampled_from(["read_like", "idempotency_key", "non_idempotent"]),
            "group": st.sampled_from(["all", "zone", "cell"]),
            "window-ns": st.integers(0, 5000).map(lambda ms: ms * NS_PER_MS),
            "worth": st.floats(0, 9),
            "late-worth": st.sampled_from([0.0, 0.3, 1.0]),
            "aim-stretch": st.sampled_from([0.0, 1.0, 1.75, 2.5]),
        }
    ),
    min_size=1,
    max_size=4,
)
PARTIES = st.lists(st.floats(0, 50).map(lambda quota: {"name": str(quota), "quota-per-s": quota}), max_size=3)


@st.composite
def deployments(draw: st.DrawFn) -> dict[str, Any]:
    """Draw the configuration of a deployment."""
    bounds = {
        "attempts-cap": draw(st.integers(1, 6)),
        "cancel": draw(st.booleans()),
        "second-copies": draw(st.booleans()),
        "retry-after": draw(st.booleans()),
    }
    family = {
        "tells-start": draw(st.booleans()),
        "progress-ns": draw(st.sampled_from([0, 200, 1000])) * NS_PER_MS,
    }
    rules = {
        "cold-from": draw(st.floats(0.05, 1)),
        "warm-after-ns": draw(st.integers(0, 30)) * 1000 * NS_PER_MS,
    }
    zones = [f"z{n}" for n in range(draw(st.sampled_from([1, 3, 5])))]
    facts = {"bounds": bounds, "family-info": family, "rules": rules, "zones": zones}
    facts |= {"services": draw(SERVICES), "parties": draw(PARTIES), "over-share-worth": draw(st.floats(0, 1))}
    facts |= {
        "siblings": draw(st.sampled_from([1, 3, 200])),
        "counted-by": draw(st.sampled_from(["work", "request"])),
    }
    return facts | draw(ASKED) | {"fees": {"cross-zone": draw(st.sampled_from([0.0, 0.03]))}}


@settings(derandomize=True, max_examples=120, deadline=None)
@given(deployments(), st.integers(0, 1 << 30))
def test_rules_hold_in_any_deployment(facts: dict[str, Any], seed: int) -> None:
    """Jobs start, slow down and end with any verdict; workers join, drain, leave and restart."""
    site_settings, rng = read_settings(facts), random.Random(seed)
    fleet = [
        i.Entry(f"w{k}", zone=rng.randrange(len(site_settings.zones)), cell=k % 2, machine_type=str(k % 3))
        for k in range(6)
    ]
    caller = BalancerDriver(site_settings, seed, tuple(fleet))
    for n in range(90):
        open_attempts = caller.open_attempts()
        match rng.randrange(9):
            case 0 | 1 | 2:
                class_index = rng.randrange(len(site_settings.classes))
                patience = site_settings.classes[class_index].deadline * rng.choice([0.1, 0.5, 1.0])
                caller.arrive(f"r{n}", class_index, patience, rng.choice([1.0, 2.0]), rng.randrange(-1, 3))
            case 3 if open_attempts:
                name, number = rng.choice(open_attempts)
                if not caller.requests[name].attempts[number].started:
                    caller.start_attempt(name, number)
            case 4 if open_attempts:
                name, number = rng.choice(open_attempts)
                caller.feed(i.Progress(name, number, rng.choice([0.0, 0.1, 0.5, 0.9])))
            case 5 | 6 if open_attempts:
                name, number = rng.choice(open_attempts)
                caller.end_attempt(
                    name, rng.choice([i.Verdict.OK, *i.Verdict]), number, rng.choice([None, 0.0, 3.0])
                )
            case 7:
                entry = rng.choice(fleet)
                since = rng.choice([None, caller.now])
                caller.update_list(
                    i.Entry(
                        entry.worker,
                        rng.choice(list(i.Health)),
                        entry.zone,
                        entry.cell,
                        since,
                        entry.machine_type,
                    )
                )
            case _:
                caller.wait(rng.choice([0.001, 0.05, 0.4, 2.0]))
    caller.wait(40.0)
    assert all(owed.answered_at is not None for owed in caller.requests.values())


# Scripts over sockets, in three deployments.

SERVICES_AT = {
    label: [
        {
            "name": name,
            "target-ns": 200 * NS_PER_MS,
            "hard-limit-ns": limit * NS_PER_MS,
            "idempotency": idempotency_name,
            "worth": 2.0,
        }
        | more
        for name, idempotency_name, more in (
            ("look", retryable, {"window-ns": 500 * NS_PER_MS}),
            ("once", "non_idempotent", {}),
        )
    ]
    for label, limit, retryable in (
        ("short", 1500, "read_like"),
        ("keyed", 5000, "idempotency_key"),
        ("long", 30_000, "read_like"),
    )
}
SITES: dict[str, dict[str, Any]] = {
    "pushed lists, one zone, short deadlines, no tenants, no progress reports": {
        "discovery": "push",
        "zones": ["one"],
        "services": SERVICES_AT["short"],
        "family-info": {},
    },
    "requested lists, three zones, keyed classes, tenants": {
        "discovery": "ask",
        "zones": ["a", "b", "c"],
        "zone": 1,
        "services": SERVICES_AT["keyed"],
        "parties": [{"name": "x", "quota-per-s": 0.0}, {"name": "y", "quota-per-s": 9.0}],
        "over-share-worth": 0.1,
    },
    "requested lists, five zones, long deadlines, reports, worth by work": {
        "discovery": "ask",
        "zones": list("abcde"),
        "zone": 4,
        "services": SERVICES_AT["long"],
        "counted-by": "work",
    }
    | REPORTS
    | FAMILY,
}
AT_ANY_SITE = {
    "the response of a worker is the answer": """
        a send job 1 once 1200
        w0 gets 1
        w0 send serve 1
        a expect 200 OK.*made
        node wait owed 0
    """,
    "an unsafe job that may have run fails": """
        a send job 1 once 1200
        w0 gets 1
        w0 send last lost 1
        a expect ^HTTP/1.1 502
    """,
    "a job that never ran is refused": """
        w0 close
        a send job 1 once 700
        a expect ^HTTP/1.1 503 .*Retry-After
    """,
    "a draining worker gets no new jobs": """
        d send list 1 whole w0
        a send job 1 once 1200
        w0 gets 1
        w0 send serve 1
        a expect made
        d send list 2 part w0=draining
        node wait lists 2
        a send job 2 once 300
        a expect ^HTTP/1.1 503
        node wait tries 1
    """,
    "accepted requests are answered after SIGTERM": """
        a send job 1 once 1200
        w0 gets 1
        node drain
        w0 send serve 1
        a expect 200 OK.*made
    """,
}


@pytest.mark.parametrize("site_name", SITES)
@pytest.mark.parametrize("scene_name", AT_ANY_SITE)
def test_scene_at_any_site(site_name: str, scene_name: str) -> None:
    scene = Scenario(platform_settings=SITES[site_name])
    try:
        scene.run_script(AT_ANY_SITE[scene_name])
    finally:
        scene.close()
