"""Subsetting: even, stable, whole under failure, bounded; and what bad input gets."""

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickgw import interface as i
from wickgw.subsetting import subset as subset_module
from wickgw.subsetting.events import (
    AttemptEnded,
    FleetListed,
    ListedWorker,
    SetTimer,
    ShowWorkers,
    SubsetAction,
    SubsetEvent,
    TimerFired,
)
from wickgw.subsetting.ranking import Dispatcher, Ranking, UnknownDispatcherError
from wickgw.subsetting.sizing import (
    LARGEST_WHOLE_VIEW,
    MIN_SUBSET,
    SubsetSize,
    settings_for_subset,
    subset_size,
)
from wickgw.subsetting.subset import MAX_FAILURES, MAX_GROWTH, REFILL_BELOW, WorkerSubset

ZONES, WORKERS = 6, 1300
CLASS = i.RequestClass("look", aim=0.2, deadline=5.0)
SETTINGS = i.Settings(classes=(CLASS,), dispatchers=200, cold_from=0.2, warm_after=20.0)
READY, DRAINING, GONE = i.Health.READY, i.Health.DRAINING, i.Health.GONE


def zone_of(number: int) -> str:
    return f"zone-{number % ZONES}"


def fleet_of(count: int) -> tuple[Dispatcher, ...]:
    return tuple(Dispatcher(f"n{n}", zone_of(n)) for n in range(count))


def workers_of(count: int) -> list[tuple[str, str]]:
    return [(f"s-{n:05x}", zone_of(n)) for n in range(count)]


def size_of(dispatchers: int, workers: int = WORKERS) -> SubsetSize:
    size = subset_size(dispatchers, workers, ZONES, largest_whole_view=0)
    assert size is not None
    return size


def memberships(
    dispatchers: tuple[Dispatcher, ...], workers: list[tuple[str, str]], size: SubsetSize
) -> dict[str, set[str]]:
    """The workers of each dispatcher."""
    return {
        dispatcher.name: {
            name
            for (name, _), rank in zip(
                workers, Ranking(dispatchers, dispatcher.name, size).rank(workers), strict=True
            )
            if rank.member
        }
        for dispatcher in dispatchers
    }


def changed(before: dict[str, set[str]], after: dict[str, set[str]]) -> int:
    return sum(len(before.get(name, set()) ^ after.get(name, set())) for name in before.keys() | after.keys())


class Held:
    """A subset, and what it has shown."""

    def __init__(self, dispatchers: int = 200, own: str = "n3", size: SubsetSize | None = None) -> None:
        size = size or size_of(dispatchers)
        self.subset = WorkerSubset[ListedWorker](fleet_of(dispatchers), own, size, SETTINGS)
        self.now = 0.0
        self.shown: dict[str, i.Entry] = {}
        self.timer = False

    def feed(self, event: SubsetEvent[ListedWorker]) -> list[SubsetAction[ListedWorker]]:
        actions = self.subset.handle(event, self.now)
        for action in actions:
            if isinstance(action, SetTimer):
                self.timer = True
                continue
            for name in action.gone:
                del self.shown[name]
            self.shown |= {worker.entry.worker: worker.entry for worker in action.workers}
        return actions

    def tell(self, kind: i.ListKind, *entries: i.Entry) -> None:
        """Tell of the list, and let it be read to its end."""
        self.feed(FleetListed(kind, tuple(ListedWorker(e, f"zone-{e.zone}") for e in entries)))
        while not self.subset.settled:
            self.feed(TimerFired())

    def change(self, names: set[str], health: i.Health, since: float | None = None) -> None:
        entries = [self.subset.known[name].listed.entry for name in sorted(names)]
        self.tell(i.ListKind.UPDATE, *(i.Entry(e.worker, health, e.zone, since=since) for e in entries))

    def wait(self, seconds: float) -> None:
        self.now += seconds
        while self.timer and seconds > 0:
            self.timer, seconds = False, seconds - 1
            self.feed(TimerFired())

    def ready(self) -> set[str]:
        return {name for name, entry in self.shown.items() if entry.health is READY}


def held(
    count: int = WORKERS, dispatchers: int = 200, own: str = "n3", size: SubsetSize | None = None
) -> Held:
    made = Held(dispatchers, own, size)
    made.tell(
        i.ListKind.REPLACE, *(i.Entry(name, zone=n % ZONES) for n, (name, _) in enumerate(workers_of(count)))
    )
    return made


@pytest.mark.parametrize("dispatchers", [40, 100, 200])
def test_each_worker_is_in_as_many_subsets_and_the_busiest_gets_at_most_a_quarter_more(
    dispatchers: int,
) -> None:
    size, workers = size_of(dispatchers), workers_of(WORKERS)
    held_by = memberships(fleet_of(dispatchers), workers, size)
    seen = Counter(name for names in held_by.values() for name in names)
    assert set(seen.values()) == {size.memberships} and len(seen) == WORKERS
    attempts = Counter[str]()  # of even traffic, which each dispatcher spreads over its workers
    for names in held_by.values():
        attempts.update(dict.fromkeys(names, 1 / len(names)))
    assert max(attempts.values()) <= 1.25 * sum(attempts.values()) / WORKERS


def test_most_seats_at_a_worker_are_of_its_own_zone_and_some_of_the_others() -> None:
    size, zones = size_of(200), dict(workers_of(WORKERS))
    home = 0.0
    for dispatcher in fleet_of(200)[:20]:
        ranks = Ranking(fleet_of(200), dispatcher.name, size).rank(workers_of(WORKERS))
        members = [name for (name, _), rank in zip(workers_of(WORKERS), ranks, strict=True) if rank.member]
        home += sum(zones[name] == dispatcher.zone for name in members) / len(members) / 20
    assert size == SubsetSize(6, 2) and 0.65 < home < 0.85


def test_worker_more_or_less_changes_at_most_twice_its_own_memberships() -> None:
    size, workers, dispatchers = size_of(100), workers_of(WORKERS), fleet_of(100)
    before = memberships(dispatchers, workers, size)
    for number in (0, 700):
        after = memberships(dispatchers, workers[:number] + workers[number + 1 :], size)
        assert 0 < changed(before, after) <= 2 * size.memberships


def test_dispatcher_more_or_less_changes_at_most_twice_its_own_memberships() -> None:
    size, workers, dispatchers = size_of(100), workers_of(WORKERS), fleet_of(100)
    before = memberships(dispatchers, workers, size)
    for number in (0, 57):
        after = memberships(dispatchers[:number] + dispatchers[number + 1 :], workers, size)
        assert 0 < changed(before, after) <= 2 * len(before[f"n{number}"])


def test_restarted_dispatcher_finds_the_subset_that_it_had() -> None:
    assert held().shown == held().shown != held(own="n9").shown


def test_drained_and_dead_members_are_made_up_for_at_once_and_their_substitutes_leave_again() -> None:
    it = held()
    members = set(it.subset.members)
    lost = set(sorted(members)[: len(members) // 2])
    it.change(lost, DRAINING)
    assert {it.shown[name].health for name in lost} == {DRAINING}  # the module hears of the drain itself
    assert len(it.ready()) >= it.subset.share() and it.ready() - members
    it.change(lost, GONE)
    assert not lost & set(it.shown) and len(it.ready()) >= it.subset.share()
    it.tell(i.ListKind.UPDATE, *(i.Entry(name, zone=dict_zone(name)) for name in sorted(lost)))
    it.wait(2.0)
    assert set(it.shown) == set(it.subset.members) == members


def dict_zone(name: str) -> int:
    return int(name.removeprefix("s-"), 16) % ZONES


def test_lost_zone_is_made_up_for_from_the_others_and_ramps_up_by_its_own_members_when_it_returns() -> None:
    it = held()
    home = {name for name, worker in it.subset.known.items() if worker.listed.zone == "zone-3"}
    others = {name: dict_zone(name) for name in it.subset.known}
    it.change(home, GONE)
    assert len(it.ready()) >= it.subset.share() and not it.ready() & home
    it.now = 30.0
    it.tell(i.ListKind.UPDATE, *(i.Entry(name, zone=others[name], since=30.0) for name in sorted(home)))
    cold = {name for name in it.ready() if it.shown[name].since == 30.0}
    assert cold == home & set(it.subset.members)  # those who share the budget of each; nobody besides
    assert len(it.ready() - cold) >= 0.8 * it.subset.share() * 0.8  # warm ones stay until these are warm
    it.wait(25.0)
    assert set(it.shown) == set(it.subset.members)


def test_subset_grows_while_all_its_members_fail_and_the_fleet_does_not() -> None:
    it = held()
    members = set(it.subset.members)
    for name in sorted(members):
        for _ in range(MAX_FAILURES):
            it.feed(AttemptEnded(name, served=False))
    assert len(it.ready() - members) >= REFILL_BELOW * it.subset.share()
    for name in sorted(members):
        it.feed(AttemptEnded(name, served=True))
    assert set(it.shown) == members


def test_subset_is_bounded_however_many_workers_are_bad() -> None:
    it = held()
    share = it.subset.share()
    for _ in range(20):
        for name in sorted(it.shown):
            for _ in range(MAX_FAILURES):
                it.feed(AttemptEnded(name, served=False))
    assert len(it.shown) <= MAX_GROWTH * share + 1


@pytest.mark.parametrize("dispatchers", [40, 200])
def test_whole_list_of_2600_is_read_and_shown_in_steps(dispatchers: int) -> None:
    it, count = Held(dispatchers), 2600
    entries = tuple(ListedWorker(i.Entry(n, zone=dict_zone(n)), z) for n, z in workers_of(count))
    reads = -(-count // subset_module.READ_AT_ONCE)
    assert it.feed(FleetListed(i.ListKind.REPLACE, entries)) == [SetTimer(subset_module.NEXT_STEP_S)]
    for _ in range(reads):
        assert it.shown == {} and not it.subset.settled
        assert it.feed(TimerFired()) == [SetTimer(subset_module.NEXT_STEP_S)]
    shows = 0
    while not it.subset.settled:
        shown, *timers = it.feed(TimerFired())
        assert isinstance(shown, ShowWorkers) and len(shown.workers) <= subset_module.SHOW_AT_ONCE
        assert timers == ([] if it.subset.settled else [SetTimer(subset_module.NEXT_STEP_S)])
        shows += 1
    assert set(it.shown) == set(it.subset.members) and len(it.shown) > MIN_SUBSET
    assert shows == -(-len(it.shown) // subset_module.SHOW_AT_ONCE)


def test_workers_that_leave_or_drain_are_shown_before_new_ones() -> None:
    it = held(dispatchers=40)
    members = sorted(it.subset.members)
    entries = {name: worker.listed.entry for name, worker in it.subset.known.items()}
    for name in members[: len(members) // 2]:
        entries[name] = i.Entry(name, DRAINING, entries[name].zone)
    left = set(members[-3:])
    listed = tuple(ListedWorker(e, f"zone-{e.zone}") for e in entries.values() if e.worker not in left)
    actions = it.feed(FleetListed(i.ListKind.REPLACE, listed))
    while not any(isinstance(action, ShowWorkers) for action in actions):
        actions = it.feed(TimerFired())
    shown = actions[0]
    assert isinstance(shown, ShowWorkers) and set(shown.gone) == left
    assert {worker.entry.health for worker in shown.workers} == {DRAINING}
    while not it.subset.settled:
        it.feed(TimerFired())
    assert {n for n, e in it.shown.items() if e.health is DRAINING} == set(members[: len(members) // 2])


def test_fleet_that_fits_into_one_subset_needs_none() -> None:
    assert subset_size(200, 40, 3, largest_whole_view=0) is None
    assert subset_size(200, LARGEST_WHOLE_VIEW, 3) is None
    assert subset_size(200, LARGEST_WHOLE_VIEW + 1, 3) is not None
    assert subset_size(3, 1300, 3) is None
    assert subset_size(1, 1300, 1) is None
    assert subset_size(200, 0, 3, largest_whole_view=0) is None


def test_settings_of_a_subset_keep_the_tenants_part_and_count_those_who_share_its_workers() -> None:
    whole = i.Settings(classes=(CLASS,), tenants=(i.Tenant("team", 100.0),), dispatchers=200)
    part = settings_for_subset(whole, 8)
    assert part.dispatchers == 8
    assert part.tenants[0].quota / 8 == pytest.approx(whole.tenants[0].quota / 200)


# Bad input.


def test_zero_dispatchers_are_refused() -> None:
    with pytest.raises(ValueError, match="dispatchers: 0 read; at least 1 is allowed"):
        subset_size(0, 1300, 6)


def test_name_that_the_fleet_does_not_know_is_refused() -> None:
    with pytest.raises(UnknownDispatcherError, match="'n200' is not among the 200 names"):
        Held(own="n200")


def test_two_dispatchers_of_one_name_are_refused() -> None:
    twice = (*fleet_of(50), Dispatcher("n7", "zone-1"))
    with pytest.raises(ValueError, match="'n7' read twice; each name once is allowed"):
        Ranking(twice, "n3", SubsetSize(6, 2))


def test_workers_without_a_zone_are_shared_by_all_dispatchers() -> None:
    workers = [(name, "") for name, _ in workers_of(300)]
    held_by = memberships(fleet_of(40), workers, SubsetSize(6, 2))
    assert set(Counter(name for names in held_by.values() for name in names).values()) == {8}


def test_list_that_shrinks_to_nothing_is_shown_as_nothing() -> None:
    it = held()
    it.tell(i.ListKind.REPLACE)
    assert it.shown == {} and it.subset.known == {}


def test_worker_listed_twice_counts_as_it_is_named_last() -> None:
    it = held()
    name = sorted(it.subset.members)[0]
    zone = dict_zone(name)
    it.tell(i.ListKind.UPDATE, i.Entry(name, READY, zone), i.Entry(name, DRAINING, zone))
    assert it.shown[name].health is DRAINING


@settings(max_examples=60, deadline=None)
@given(seed=st.integers(0, 1 << 30))
def test_subset_agrees_with_the_list_after_whatever_happens(seed: int) -> None:
    draw, it = random.Random(seed), held(count=400, dispatchers=60, size=SubsetSize(6, 2))
    listed = {name: worker.listed.entry for name, worker in it.subset.known.items()}
    for _ in range(40):
        it.now += draw.uniform(0, 3)
        it.wait(0.0)
        names = draw.sample(sorted(listed), min(len(listed), draw.choice((1, 5, 60))))
        what = draw.choice(("drain", "gone", "return", "fail", "serve", "replace"))
        if what in ("fail", "serve"):
            for name in names:
                for _ in range(MAX_FAILURES):
                    it.feed(AttemptEnded(name, what == "serve"))
            continue
        for name in names:
            old = listed[name]
            since = it.now if what == "return" else old.since
            health = {"drain": DRAINING, "gone": GONE}.get(what, READY)
            listed[name] = i.Entry(name, health, old.zone, since=since)
        if what == "replace":
            it.tell(i.ListKind.REPLACE, *(e for e in listed.values() if e.health is not GONE))
        else:
            it.tell(i.ListKind.UPDATE, *(listed[name] for name in names))
        subset = it.subset
        assert all(listed[name] == entry for name, entry in it.shown.items())
        assert set(it.shown) == subset.members.keys() | subset.substitutes.keys()
        assert not subset.members.keys() & subset.substitutes.keys()
        held_now = sum(subset.capacity(subset.known[name], it.now) for name in it.shown)
        left = sum(subset.capacity(w, it.now) > 0 for n, w in subset.known.items() if n not in it.shown)
        full = len(it.shown) >= MAX_GROWTH * subset.share()
        assert held_now >= REFILL_BELOW * subset.share() or not left or full
