"""What another deployment's settings change: worth by work, tenants, load reports, progress, kinds of
machines; and the four rules over deployments that nobody has."""

import json
import random
from typing import Any

import pytest
from harness import Caller
from hypothesis import given, settings
from hypothesis import strategies as st
from scenario import FACTS, MS, Scene

from wickgw import interface as i
from wickgw.facts import read_load, read_settings, read_share

LIGHT = i.RequestClass("light", 0.2, 5.0, worth=1.0, stretch=2.0)
HEAVY = i.RequestClass("heavy", 0.2, 15.0, worth=3.0, stretch=2.0)
ONCE = i.RequestClass("once", 0.2, 15.0, worth=3.0, stretch=2.0, effect=i.Effect.UNSAFE)


def site(*classes: i.RequestClass, **more: Any) -> i.Settings:
    return i.Settings(classes=classes, tells_start=True, progress_every=1.0, **more)


# Worth, shares.


@pytest.mark.parametrize("by_work, first", [(True, "heavy"), (False, "light")])
def test_held_work_goes_by_worth_for_its_work_as_the_site_counts_it(by_work: bool, first: str) -> None:
    """A heavy job of three times the worth runs ten times as long: by request it earns less a second."""
    c = Caller(site(LIGHT, HEAVY, worth_by_work=by_work, may_copy=False), entries=(i.Entry("w0"),))
    c.balancer.run[:] = [0.1, 1.0]
    c.arrive("busy")  # the worker has not begun it: all else is held
    for name, cls in (("light", 0), ("heavy", 1)):
        c.arrive(name, cls)
    assert c.sends(c.start("busy"))[0][0] == first


@pytest.mark.parametrize("tenant, share", [(0, 1.0), (1, 0.2), (2, 0.2), (-1, 0.2)])
def test_what_is_beyond_a_share_or_nobody_s_counts_less(tenant: int, share: float) -> None:
    tenants = (i.Tenant("a", 100.0), i.Tenant("b", 0.0))
    c = Caller(site(LIGHT, tenants=tenants, over_share_worth=0.2))
    c.arrive("r", tenant=tenant)
    assert c.balancer.requests["r"].share == share


def test_share_is_a_rate_with_a_second_s_worth_at_once() -> None:
    c = Caller(site(LIGHT, tenants=(i.Tenant("a", 4.0),), over_share_worth=0.2, dispatchers=2))
    shares = []
    for n in range(4):
        c.arrive(f"r{n}")
        shares.append(c.balancer.requests[f"r{n}"].share)
    c.wait(0.55)
    c.arrive("later")
    assert shares == [1.0, 1.0, 0.2, 0.2] and c.balancer.requests["later"].share == 1.0


OWNERS = [("a", 0), ("b", 1), ("", -1), ("c", -1), ("A", -1), ("a, b", -1), ("b" * 4096, -1), (None, -1)]


@pytest.mark.parametrize("owner, tenant", OWNERS)
def test_owner_on_the_wire_is_a_tenant_or_nobody(owner: str | None, tenant: int) -> None:
    scene = Scene(facts={"parties": [{"name": n, "quota-per-s": 5.0} for n in "ab"]})
    field = "" if owner is None else f' "Req-Owner: {owner}"'
    try:
        scene.play(f'a send job 1 look 3000 ""{field}\nw0 gets 1')
        assert scene.node.dispatcher.pending["1"].tenant == tenant
        scene.play("w0 send serve 1\na expect 200 OK.*made")
    finally:
        scene.close()


def test_owner_said_twice_is_nobody() -> None:
    scene = Scene(facts={"parties": [{"name": "a", "quota-per-s": 5.0}]})
    try:
        scene.play('a send job 1 look 3000 "" "Req-Owner: a" "Req-Owner: a"\nw0 gets 1')
        assert scene.node.dispatcher.pending["1"].tenant == -1
    finally:
        scene.close()


# How long a request is held for its class's slack.


@pytest.mark.parametrize("late_worth, share", [(0.0, 0.5), (0.3, 1.0)])
def test_where_late_is_worth_nothing_a_typical_job_must_still_be_in_time(
    late_worth: float, share: float
) -> None:
    kind = i.RequestClass("k", 0.2, 15.0, stretch=3.0, late_worth=late_worth)
    c = Caller(site(kind))
    c.balancer.run[0] = 1.0
    c.arrive("r")
    assert c.balancer.requests["r"].until == pytest.approx(0.2 + 2.0 * share)


# Progress, and how slow a worker is.


def crawl(kind: i.RequestClass, workers: int = 2, **more: Any) -> Caller:
    """A job that ran well slows to a sixth of its pace at its third second."""
    c = Caller(site(kind, may_cancel=True, **more), entries=tuple(i.Entry(f"w{k}") for k in range(workers)))
    c.arrive("r")
    c.start("r")
    for share in (0.1, 0.2):
        c.wait(1.0)
        c.feed(i.Progress("r", 0, share))
    assert not [a for _, a in c.actions if isinstance(a, i.Cancel)]
    for share in (0.216, 0.232):
        c.wait(1.0)
        c.feed(i.Progress("r", 0, share))
    return c


def test_job_whose_worker_slows_down_goes_elsewhere() -> None:
    c = crawl(HEAVY)
    assert [a for _, a in c.actions if isinstance(a, i.Cancel)] == [i.Cancel("r", 0)]
    first = c.owed["r"].tries[0].worker.worker
    ((name, second),) = c.sends(c.end("r", i.Verdict.CANCELLED))
    assert name == "r" and second != first
    slow = c.balancer.workers[first]
    assert c.balancer.paces.lag(slow.row) > 1.0 and slow.strikes == 1


@pytest.mark.parametrize(
    "kind, workers, more", [(ONCE, 2, {}), (HEAVY, 1, {}), (HEAVY, 2, {"max_attempts": 1})]
)
def test_job_stays_where_it_may_not_or_can_not_go(kind: i.RequestClass, workers: int, more: Any) -> None:
    c = crawl(kind, workers, **more)
    assert not [a for _, a in c.actions if isinstance(a, i.Cancel)]


def test_progress_that_is_not_told_moves_nothing() -> None:
    c = Caller(site(HEAVY, may_cancel=True), entries=(i.Entry("w0"), i.Entry("w1")))
    c.arrive("r")
    c.start("r")
    for _ in range(12):
        c.wait(1.0)
        c.feed(i.Progress("r", 0))
    assert not [a for _, a in c.actions if isinstance(a, i.Cancel)]


def moved(c: Caller) -> list[tuple[float, str]]:
    return [(round(t, 1), a.request) for t, a in c.actions if isinstance(a, i.Cancel)]


def test_job_whose_worker_falls_silent_is_moved_while_it_can_still_be_in_time() -> None:
    """Half done after 2 of 4 s, then nothing: begun anew from a saved state it is in time until 5.2 s."""
    c = Caller(site(HEAVY, may_cancel=True), entries=(i.Entry("w0"), i.Entry("w1")))
    c.arrive("r")
    c.start("r")
    for share in (0.25, 0.5):
        c.wait(1.0)
        c.feed(i.Progress("r", 0, share))
    c.wait(12.0)
    assert moved(c) == [(4.6, "r")]  # 2.5 intervals after its last note
    c = Caller(site(HEAVY, may_cancel=True), entries=(i.Entry("w0"), i.Entry("w1")))
    c.arrive("r")
    c.start("r")
    c.wait(1.0)
    c.feed(i.Progress("r", 0, 0.9))  # a job of 1.1 s: there is no sense in it any more when silence tells
    c.wait(12.0)
    assert moved(c) == []


def test_job_that_is_never_heard_of_again_may_be_a_long_one() -> None:
    """It has begun and told nothing since: what ran 2.5 s may well run as long again, and is in time then."""
    c = Caller(site(HEAVY, ONCE, may_cancel=True), entries=tuple(i.Entry(f"w{k}") for k in range(3)))
    for name, cls in (("r", 0), ("once", 1)):
        c.arrive(name, cls)
        c.start(name)
    c.wait(2.7)
    assert moved(c) == [(2.6, "r")]
    ((name, _),) = c.sends(c.end("r", i.Verdict.CANCELLED))
    assert name == "r"


@pytest.mark.parametrize("ran, again", [(0.1, True), (1.5, True)])
@pytest.mark.parametrize("verdict", [i.Verdict.RESET, i.Verdict.ERROR])
def test_job_that_breaks_off_after_a_while_runs_elsewhere(
    verdict: i.Verdict, ran: float, again: bool
) -> None:
    """A typical job of its class would have lost its slack by then; one that ran so long is no such job."""
    c = Caller(site(HEAVY, may_cancel=True), entries=(i.Entry("w0"), i.Entry("w1")))
    c.balancer.run[0] = 0.5
    c.arrive("r")
    c.start("r")
    c.wait(ran)
    assert bool(c.sends(c.end("r", verdict))) is again


def test_job_that_waited_long_before_it_broke_off_is_given_up() -> None:
    c = Caller(site(HEAVY, may_cancel=True, may_copy=False), entries=(i.Entry("w0"), i.Entry("w1")))
    c.balancer.run[0] = 0.5
    c.arrive("r")
    c.wait(1.5)
    c.start("r")
    c.wait(0.1)
    assert [type(a) for a in c.end("r", i.Verdict.RESET)] == [i.Refuse]


@pytest.mark.parametrize("slower, gone", [(1.35, [(1.0, "r")]), (1.0, [])])
def test_job_that_can_t_end_in_its_client_s_time_goes_where_it_can(slower: float, gone: Any) -> None:
    """16 s of a deadline of 15: half of the slack is not lost, but staying is a loss for certain. At a worker
    that is no quicker it is as well."""
    c = Caller(site(HEAVY, may_cancel=True), entries=(i.Entry("w0"), i.Entry("w1")))
    c.arrive("r")
    row = c.balancer.workers[c.owed["r"].tries[0].worker.worker].row
    c.balancer.paces.size(row, slower, 0.0)  # a job of 1 s has shown it
    c.start("r")
    for share in (1 / 16, 2 / 16, 3 / 16):
        c.wait(1.0)
        c.feed(i.Progress("r", 0, share))
    assert moved(c)[:1] == gone


def test_job_that_goes_on_from_a_saved_state_tells_the_pace_from_its_second_note() -> None:
    c = crawl(HEAVY)
    c.end("r", i.Verdict.CANCELLED)
    c.start("r", 1)
    second = c.balancer.requests["r"].attempts[1]
    c.wait(1.0)
    c.feed(i.Progress("r", 1, 0.3))  # 0.232 of it are the first worker's
    assert second.whole == 0
    c.wait(1.0)
    c.feed(i.Progress("r", 1, 0.4))
    assert second.whole == pytest.approx(10.0)


def test_what_runs_long_goes_to_the_quick_kind_while_one_is_free() -> None:
    """Slow machines take over twice as long as quick ones; a stretch of 2 has slack for half of that."""
    entries = tuple(i.Entry(f"{kind}{k}", kind=kind) for kind in ("quick", "slow") for k in range(3))
    c, rng, got = Caller(site(HEAVY), entries=entries), random.Random(4), {"quick": 0, "slow": 0}
    for n in range(400):
        ((name, worker),) = c.sends(c.arrive(f"r{n}"))
        c.start(name)
        c.wait(rng.lognormvariate(-1.0, 0.5) * (2.2 if worker.startswith("slow") else 1.0))
        c.end(name)
        if n >= 200:
            got[worker[:-1]] += 1
    assert got["quick"] > 190
    for k in range(3):  # all quick ones are taken: what comes next is not kept from the slow
        c.arrive(f"held{k}")
    ((_, worker),) = c.sends(c.arrive("more"))
    assert worker.startswith("slow")


# A planned restart.


@pytest.mark.parametrize("told_before", [True, False])
def test_job_that_can_t_end_before_a_planned_restart_is_refused_at_once(told_before: bool) -> None:
    """Its client may still have it run elsewhere; there is room at once, so nothing is said of waiting."""
    c = Caller(site(HEAVY, ONCE, may_cancel=True), entries=tuple(i.Entry(f"w{k}") for k in range(3)))
    for name, cls in (("long", 0), ("short", 0), ("once", 1)):
        c.arrive(name, cls)
        c.start(name)
    c.wait(1.0)
    if not told_before:
        assert not c.feed(i.Stopping(3.5))
    for name, share in (("long", 0.1), ("short", 0.5), ("once", 0.1)):
        c.feed(i.Progress(name, 0, share))
    if told_before:
        assert not [a for _, a in c.actions if isinstance(a, i.Refuse)]
        c.feed(i.Stopping(3.5))
    ended = [a for _, a in c.actions if isinstance(a, i.Cancel | i.Refuse | i.Fail)]
    assert ended == [i.Cancel("long", 0), i.Refuse("long", 0.0)]


def test_refusal_of_a_process_that_is_about_to_end_is_its_connection_s_last() -> None:
    line = json.dumps({"id": "1", "state": "running", "share": 0.0001}) + "\n"
    note = f"{len(line):x}~{line}~".replace("\n", "\\n").replace('"', '\\"')
    scene = Scene()
    try:
        scene.play(f'a send job 1\nw0 gets 1\nw0 send take\nw0 send event started 1\nw0 send raw "{note}"')
        scene.play(
            "node wait progress 1\nnode drain\na expect 503 .*Retry-After: 0\\r\\n.*: close.*later\\n$"
        )
        scene.play("a expect end\nw0 expect end")
    finally:
        scene.close()


# Load reports.


def test_worker_that_reports_no_free_slot_is_chosen_last() -> None:
    c = Caller(site(LIGHT), entries=tuple(i.Entry(f"w{k}") for k in range(3)))
    for n, w in enumerate(c.balancer.order):
        w.slots = 0.0 if n else 2.0
        c.balancer._changed(w)
    chosen = []
    for n in range(200):
        ((name, worker),) = c.sends(c.arrive(f"r{n}"))
        c.start(name)
        c.end(name, free=0.0 if worker != "w0" else 2.0)
        chosen.append(worker)
    assert chosen.count("w0") > 185


@pytest.mark.parametrize("free, copied", [(1.0, True), (0.0, False), (None, False)])
def test_while_jobs_wait_copies_go_only_where_a_slot_is_reported_free(
    free: float | None, copied: bool
) -> None:
    c = Caller(site(LIGHT, may_copy=True, may_cancel=True), entries=(i.Entry("w0"), i.Entry("w1")))
    c.balancer.wait, c.balancer.run[0] = 0.15, 1.0
    c.arrive("r")
    other = next(w for w in c.balancer.order if not w.flying)
    if free is not None:
        other.slots = free
        c.balancer._changed(other)
    assert bool(c.sends(c.wait(0.35))) is copied


LOADS: list[tuple[Any, float | None]] = [
    ({"x0": 2}, 2.0), ({"x0": 0.98, "util": 7}, 0.98), ({"x0": 0}, 0.0), ({}, None), ({"x0": "2"}, None),
    ({"x0": -1}, None), ({"x0": 1e300}, None), ({"x0": True}, None), ([1], None), (None, None), ("x0", None),
    ({"x0": float("nan")}, None), ({"x0": None}, None),
]  # fmt: skip


@pytest.mark.parametrize("load, free", LOADS)
def test_load_report_tells_free_slots_or_nothing(load: Any, free: float | None) -> None:
    assert read_load(load, "x0") == free and read_load(load, "") is None


@pytest.mark.parametrize("share, done", [(0.4, 0.4), (1, 1.0), (0, 0.0), (1.5, 0.0), ("1", 0.0), (None, 0.0)])
def test_share_that_is_none_counts_as_not_told(share: Any, done: float) -> None:
    assert read_share(share) == done


REPORTS = {"reporting": {"source": "piggyback", "fields": ["avg_ms", "x0"]}}
FAMILY = {"family-info": FACTS["family-info"] | {"report-x0": "free slots", "report-x1": "free memory"}}


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
def test_settings_say_which_field_tells_free_slots(facts: dict[str, Any], field: str) -> None:
    assert read_settings(FACTS | facts).free_slots == field


def overheard(scene: Scene, kind: type) -> list[Any]:
    """The events of a kind that the decisions are told, as they come."""
    told, handle = list[Any](), scene.node.dispatcher.balancer.handle

    def listen(event: i.Event, now: float) -> list[i.Action]:
        if isinstance(event, kind):
            told.append(event)
        return handle(event, now)

    scene.node.dispatcher.balancer.handle = listen  # type: ignore[method-assign]
    return told


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
def test_load_report_on_the_wire_comes_with_the_outcome(reply: str, ends: str, free: float | None) -> None:
    scene = Scene(known="w0 w1", facts=REPORTS | FAMILY)
    told = overheard(scene, i.Outcome)
    try:
        scene.play(f"a send job 1 once\np gets 1\np send {reply}\nnode wait {ends} 1")
        assert told[0].free == free
    finally:
        scene.close()


def test_progress_on_the_wire_tells_its_share_and_nonsense_costs_nothing() -> None:
    scene = Scene()
    told = overheard(scene, i.Progress)
    shares: list[Any] = [0.4, "x", [], 7]
    lines = [json.dumps({"id": "1", "state": "running", "share": s}) + "\n" for s in shares]
    chunks = "".join(f"{len(line):x}~{line}~" for line in lines).replace("\n", "\\n").replace('"', '\\"')
    try:
        scene.play(
            f'a send job 1 once\nw0 gets 1\nw0 send take\nw0 send event started 1\nw0 send raw "{chunks}"'
        )
        scene.play("w0 send done 1\na expect 200 OK.*made")
        assert [event.share for event in told] == [0.4, 0.0, 0.0, 0.0]
    finally:
        scene.close()


# The four rules, over deployments drawn at random.

ASKED = st.fixed_dictionaries({"discovery": st.sampled_from(["ask", "push"])})
SERVICES = st.lists(
    st.fixed_dictionaries(
        {
            "target-ns": st.integers(20, 800).map(lambda ms: ms * MS),
            "hard-limit-ns": st.integers(300, 30_000).map(lambda ms: ms * MS),
            "idempotency": st.sampled_from(["read_like", "idempotency_key", "non_idempotent"]),
            "group": st.sampled_from(["all", "zone", "cell"]),
            "window-ns": st.integers(0, 5000).map(lambda ms: ms * MS),
            "worth": st.floats(0, 9),
            "late-worth": st.sampled_from([0.0, 0.3, 1.0]),
            "aim-stretch": st.sampled_from([0.0, 1.0, 1.75, 2.5]),
        }
    ),
    min_size=1,
    max_size=4,
)
PARTIES = st.lists(st.floats(0, 50).map(lambda q: {"name": str(q), "quota-per-s": q}), max_size=3)


@st.composite
def deployments(draw: st.DrawFn) -> dict[str, Any]:
    """The settings of a site that nobody has."""
    bounds = {
        "attempts-cap": draw(st.integers(1, 6)),
        "cancel": draw(st.booleans()),
        "second-copies": draw(st.booleans()),
        "retry-after": draw(st.booleans()),
    }
    family = {"tells-start": draw(st.booleans()), "progress-ns": draw(st.sampled_from([0, 200, 1000])) * MS}
    rules = {"cold-from": draw(st.floats(0.05, 1)), "warm-after-ns": draw(st.integers(0, 30)) * 1000 * MS}
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
    """Jobs begin, crawl, end in every way; workers come, drain, go, start anew; reports tell of slots."""
    set_, rng = read_settings(facts), random.Random(seed)
    fleet = [
        i.Entry(f"w{k}", zone=rng.randrange(len(set_.zones)), cell=k % 2, kind=str(k % 3)) for k in range(6)
    ]
    c = Caller(set_, seed, tuple(fleet))
    for n in range(90):
        open_ = c.open()
        match rng.randrange(9):
            case 0 | 1 | 2:
                cls = rng.randrange(len(set_.classes))
                patience = set_.classes[cls].deadline * rng.choice([0.1, 0.5, 1.0])
                c.arrive(f"r{n}", cls, patience, rng.choice([1.0, 2.0]), rng.randrange(-1, 3))
            case 3 if open_:
                name, number = rng.choice(open_)
                if not c.owed[name].tries[number].started:
                    c.start(name, number)
            case 4 if open_:
                name, number = rng.choice(open_)
                c.feed(i.Progress(name, number, rng.choice([0.0, 0.1, 0.5, 0.9])))
            case 5 | 6 if open_:
                name, number = rng.choice(open_)
                c.end(name, rng.choice([i.Verdict.OK, *i.Verdict]), number, rng.choice([None, 0.0, 3.0]))
            case 7:
                e = rng.choice(fleet)
                since = rng.choice([None, c.now])
                c.tell(i.Entry(e.worker, rng.choice(list(i.Health)), e.zone, e.cell, since, e.kind))
            case _:
                c.wait(rng.choice([0.001, 0.05, 0.4, 2.0]))
    c.wait(40.0)
    assert all(o.answered is not None for o in c.owed.values())


# Scenes on sockets, at three sites of our own.

SERVICES_AT = {
    kind: [
        {"name": n, "target-ns": 200 * MS, "hard-limit-ns": limit * MS, "idempotency": e, "worth": 2.0} | more
        for n, e, more in (("look", again, {"window-ns": 500 * MS}), ("once", "non_idempotent", {}))
    ]
    for kind, limit, again in (
        ("short", 1500, "read_like"),
        ("keyed", 5000, "idempotency_key"),
        ("long", 30_000, "read_like"),
    )
}
SITES: dict[str, dict[str, Any]] = {
    "pushed lists, one zone, short deadlines, no tenants, no notes": {
        "discovery": "push",
        "zones": ["one"],
        "services": SERVICES_AT["short"],
        "family-info": {},
    },
    "asked lists, three zones, keyed classes, tenants": {
        "discovery": "ask",
        "zones": ["a", "b", "c"],
        "zone": 1,
        "services": SERVICES_AT["keyed"],
        "parties": [{"name": "x", "quota-per-s": 0.0}, {"name": "y", "quota-per-s": 9.0}],
        "over-share-worth": 0.1,
    },
    "asked lists, five zones, long deadlines, reports, worth by work": {
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
    "what a peer made is the answer": """
        a send job 1 once 1200
        w0 gets 1
        w0 send serve 1
        a expect 200 OK.*made
        node wait owed 0
    """,
    "what may have run and must not run twice has failed": """
        a send job 1 once 1200
        w0 gets 1
        w0 send last lost 1
        a expect ^HTTP/1.1 502
    """,
    "what never ran is refused": """
        w0 close
        a send job 1 once 700
        a expect ^HTTP/1.1 503 .*Retry-After
    """,
    "a drained peer gets nothing new": """
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
    "sigterm answers what was taken, in time": """
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
    scene = Scene(facts=SITES[site_name])
    try:
        scene.play(AT_ANY_SITE[scene_name])
    finally:
        scene.close()
