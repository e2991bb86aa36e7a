"""Subsets are balanced and stable, keep their capacity under failures, stay bounded, and reject bad input."""

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
    SubsetAction,
    SubsetEvent,
    TimerFired,
    UpdateSubset,
)
from wickgw.subsetting.ranking import Dispatcher, Ranking, UnknownDispatcherError
from wickgw.subsetting.sizing import (
    LARGEST_WHOLE_VIEW_WORKERS,
    MIN_SUBSET_WORKERS,
    SubsetSize,
    settings_for_subset,
    subset_size,
)
from wickgw.subsetting.subset import (
    MAX_CONSECUTIVE_FAILURES,
    MAX_SHARE_MULTIPLE,
    REFILL_THRESHOLD,
    WorkerSubset,
)

ZONES, WORKERS = 6, 1300
CLASS = i.RequestClass("look", latency_target=0.2, deadline=5.0)
SETTINGS = i.Settings(classes=(CLASS,), dispatchers=200, initial_capacity=0.2, warmup_time=20.0)
READY, DRAINING, GONE = i.Health.READY, i.Health.DRAINING, i.Health.GONE


def zone_name(number: int) -> str:
    return f"zone-{number % ZONES}"


def make_dispatchers(count: int) -> tuple[Dispatcher, ...]:
    return tuple(Dispatcher(f"n{number}", zone_name(number)) for number in range(count))


def make_workers(count: int) -> list[tuple[str, str]]:
    return [(f"s-{number:05x}", zone_name(number)) for number in range(count)]


def make_size(dispatchers: int, workers: int = WORKERS) -> SubsetSize:
    size = subset_size(dispatchers, workers, ZONES, largest_whole_view=0)
    assert size is not None
    return size


def memberships(
    dispatchers: tuple[Dispatcher, ...], workers: list[tuple[str, str]], size: SubsetSize
) -> dict[str, set[str]]:
    """Return the names of each dispatcher's members."""
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


def count_changes(before: dict[str, set[str]], after: dict[str, set[str]]) -> int:
    return sum(len(before.get(name, set()) ^ after.get(name, set())) for name in before.keys() | after.keys())


class SubsetHarness:
    """Drives one subset, and records the workers that it makes visible."""

    def __init__(self, dispatchers: int = 200, own: str = "n3", size: SubsetSize | None = None) -> None:
        size = size or make_size(dispatchers)
        self.subset = WorkerSubset[ListedWorker](make_dispatchers(dispatchers), own, size, SETTINGS)
        self.now = 0.0
        self.visible: dict[str, i.Entry] = {}
        self.timer_set = False

    def handle(self, event: SubsetEvent[ListedWorker]) -> list[SubsetAction[ListedWorker]]:
        actions = self.subset.handle(event, self.now)
        for action in actions:
            if isinstance(action, SetTimer):
                self.timer_set = True
                continue
            for name in action.removed:
                del self.visible[name]
            self.visible |= {worker.entry.worker: worker.entry for worker in action.workers}
        return actions

    def receive(self, kind: i.ListKind, *entries: i.Entry) -> None:
        """Deliver a list of workers, and run the subset until the whole list is processed."""
        self.handle(FleetListed(kind, tuple(ListedWorker(entry, f"zone-{entry.zone}") for entry in entries)))
        while not self.subset.settled:
            self.handle(TimerFired())

    def set_health(self, names: set[str], health: i.Health, since: float | None = None) -> None:
        entries = [self.subset.known[name].listed.entry for name in sorted(names)]
        self.receive(
            i.ListKind.UPDATE, *(i.Entry(entry.worker, health, entry.zone, since=since) for entry in entries)
        )

    def wait(self, seconds: float) -> None:
        self.now += seconds
        while self.timer_set and seconds > 0:
            self.timer_set, seconds = False, seconds - 1
            self.handle(TimerFired())

    def ready(self) -> set[str]:
        return {name for name, entry in self.visible.items() if entry.health is READY}


def loaded_subset(
    count: int = WORKERS, dispatchers: int = 200, own: str = "n3", size: SubsetSize | None = None
) -> SubsetHarness:
    harness = SubsetHarness(dispatchers, own, size)
    harness.receive(
        i.ListKind.REPLACE,
        *(i.Entry(name, zone=number % ZONES) for number, (name, _) in enumerate(make_workers(count))),
    )
    return harness


@pytest.mark.parametrize("dispatchers", [40, 100, 200])
def test_each_worker_has_equal_memberships_and_at_most_a_quarter_more_than_the_mean_load(
    dispatchers: int,
) -> None:
    size, workers = make_size(dispatchers), make_workers(WORKERS)
    workers_of = memberships(make_dispatchers(dispatchers), workers, size)
    memberships_by_worker = Counter(name for names in workers_of.values() for name in names)
    assert (
        set(memberships_by_worker.values()) == {size.dispatchers_per_worker}
        and len(memberships_by_worker) == WORKERS
    )
    attempts = Counter[str]()  # uniform traffic, which each dispatcher spreads evenly over its members
    for names in workers_of.values():
        attempts.update(dict.fromkeys(names, 1 / len(names)))
    assert max(attempts.values()) <= 1.25 * sum(attempts.values()) / WORKERS


def test_most_members_are_in_the_dispatcher_s_zone_and_some_in_other_zones() -> None:
    size, zones = make_size(200), dict(make_workers(WORKERS))
    same_zone_share = 0.0
    for dispatcher in make_dispatchers(200)[:20]:
        ranks = Ranking(make_dispatchers(200), dispatcher.name, size).rank(make_workers(WORKERS))
        members = [name for (name, _), rank in zip(make_workers(WORKERS), ranks, strict=True) if rank.member]
        same_zone_share += sum(zones[name] == dispatcher.zone for name in members) / len(members) / 20
    assert size == SubsetSize(6, 2) and 0.65 < same_zone_share < 0.85


def test_removing_a_worker_changes_at_most_twice_its_own_memberships() -> None:
    size, workers, dispatchers = make_size(100), make_workers(WORKERS), make_dispatchers(100)
    before = memberships(dispatchers, workers, size)
    for number in (0, 700):
        after = memberships(dispatchers, workers[:number] + workers[number + 1 :], size)
        assert 0 < count_changes(before, after) <= 2 * size.dispatchers_per_worker


def test_removing_a_dispatcher_changes_at_most_twice_its_own_memberships() -> None:
    size, workers, dispatchers = make_size(100), make_workers(WORKERS), make_dispatchers(100)
    before = memberships(dispatchers, workers, size)
    for number in (0, 57):
        after = memberships(dispatchers[:number] + dispatchers[number + 1 :], workers, size)
        assert 0 < count_changes(before, after) <= 2 * len(before[f"n{number}"])


def test_restarted_dispatcher_gets_the_same_subset() -> None:
    assert loaded_subset().visible == loaded_subset().visible != loaded_subset(own="n9").visible


def test_drained_and_gone_members_are_replaced_at_once_until_they_return() -> None:
    harness = loaded_subset()
    members = set(harness.subset.members)
    lost = set(sorted(members)[: len(members) // 2])
    harness.set_health(lost, DRAINING)
    # The decision module receives the drain itself.
    assert {harness.visible[name].health for name in lost} == {DRAINING}
    assert len(harness.ready()) >= harness.subset.fair_share() and harness.ready() - members
    harness.set_health(lost, GONE)
    assert not lost & set(harness.visible) and len(harness.ready()) >= harness.subset.fair_share()
    harness.receive(i.ListKind.UPDATE, *(i.Entry(name, zone=zone_index(name)) for name in sorted(lost)))
    harness.wait(2.0)
    assert set(harness.visible) == set(harness.subset.members) == members


def zone_index(name: str) -> int:
    return int(name.removeprefix("s-"), 16) % ZONES


def test_lost_zone_is_replaced_from_other_zones_and_only_its_members_slow_start_on_return() -> None:
    harness = loaded_subset()
    lost = {name for name, worker in harness.subset.known.items() if worker.listed.zone == "zone-3"}
    zones = {name: zone_index(name) for name in harness.subset.known}
    harness.set_health(lost, GONE)
    assert len(harness.ready()) >= harness.subset.fair_share() and not harness.ready() & lost
    harness.now = 30.0
    harness.receive(
        i.ListKind.UPDATE, *(i.Entry(name, zone=zones[name], since=30.0) for name in sorted(lost))
    )
    cold = {name for name in harness.ready() if harness.visible[name].since == 30.0}
    # Only the dispatchers that share the budget of a cold worker use it.
    assert cold == lost & set(harness.subset.members)
    # The warm substitutes stay until the cold members are warm.
    assert len(harness.ready() - cold) >= 0.8 * harness.subset.fair_share() * 0.8
    harness.wait(25.0)
    assert set(harness.visible) == set(harness.subset.members)


def test_subset_grows_while_all_its_members_fail_and_the_rest_of_the_fleet_serves() -> None:
    harness = loaded_subset()
    members = set(harness.subset.members)
    for name in sorted(members):
        for _ in range(MAX_CONSECUTIVE_FAILURES):
            harness.handle(AttemptEnded(name, served=False))
    assert len(harness.ready() - members) >= REFILL_THRESHOLD * harness.subset.fair_share()
    for name in sorted(members):
        harness.handle(AttemptEnded(name, served=True))
    assert set(harness.visible) == members


def test_subset_size_is_bounded_however_many_workers_fail() -> None:
    harness = loaded_subset()
    share = harness.subset.fair_share()
    for _ in range(20):
        for name in sorted(harness.visible):
            for _ in range(MAX_CONSECUTIVE_FAILURES):
                harness.handle(AttemptEnded(name, served=False))
    assert len(harness.visible) <= MAX_SHARE_MULTIPLE * share + 1


@pytest.mark.parametrize("dispatchers", [40, 200])
def test_list_of_2600_workers_is_processed_and_published_in_steps(dispatchers: int) -> None:
    harness, count = SubsetHarness(dispatchers), 2600
    entries = tuple(
        ListedWorker(i.Entry(name, zone=zone_index(name)), worker_zone)
        for name, worker_zone in make_workers(count)
    )
    batches = -(-count // subset_module.LIST_BATCH_WORKERS)
    assert harness.handle(FleetListed(i.ListKind.REPLACE, entries)) == [
        SetTimer(subset_module.NEXT_STEP_DELAY_S)
    ]
    for _ in range(batches):
        assert harness.visible == {} and not harness.subset.settled
        assert harness.handle(TimerFired()) == [SetTimer(subset_module.NEXT_STEP_DELAY_S)]
    updates = 0
    while not harness.subset.settled:
        update, *timers = harness.handle(TimerFired())
        assert isinstance(update, UpdateSubset) and len(update.workers) <= subset_module.UPDATE_BATCH_WORKERS
        assert timers == ([] if harness.subset.settled else [SetTimer(subset_module.NEXT_STEP_DELAY_S)])
        updates += 1
    assert set(harness.visible) == set(harness.subset.members) and len(harness.visible) > MIN_SUBSET_WORKERS
    assert updates == -(-len(harness.visible) // subset_module.UPDATE_BATCH_WORKERS)


def test_workers_that_leave_or_drain_are_published_before_new_ones() -> None:
    harness = loaded_subset(dispatchers=40)
    members = sorted(harness.subset.members)
    entries = {name: worker.listed.entry for name, worker in harness.subset.known.items()}
    for name in members[: len(members) // 2]:
        entries[name] = i.Entry(name, DRAINING, entries[name].zone)
    left = set(members[-3:])
    listed = tuple(
        ListedWorker(entry, f"zone-{entry.zone}") for entry in entries.values() if entry.worker not in left
    )
    actions = harness.handle(FleetListed(i.ListKind.REPLACE, listed))
    while not any(isinstance(action, UpdateSubset) for action in actions):
        actions = harness.handle(TimerFired())
    update = actions[0]
    assert isinstance(update, UpdateSubset) and set(update.removed) == left
    assert {worker.entry.health for worker in update.workers} == {DRAINING}
    while not harness.subset.settled:
        harness.handle(TimerFired())
    assert {visible for visible, entry in harness.visible.items() if entry.health is DRAINING} == set(
        members[: len(members) // 2]
    )


def test_fleet_that_fits_into_one_subset_has_no_subsets() -> None:
    assert subset_size(200, 40, 3, largest_whole_view=0) is None
    assert subset_size(200, LARGEST_WHOLE_VIEW_WORKERS, 3) is None
    assert subset_size(200, LARGEST_WHOLE_VIEW_WORKERS + 1, 3) is not None
    assert subset_size(3, 1300, 3) is None
    assert subset_size(1, 1300, 1) is None
    assert subset_size(200, 0, 3, largest_whole_view=0) is None


def test_subset_settings_keep_tenant_quotas_and_count_the_dispatchers_per_worker() -> None:
    fleet_settings = i.Settings(classes=(CLASS,), tenants=(i.Tenant("team", 100.0),), dispatchers=200)
    subset_settings = settings_for_subset(fleet_settings, 8)
    assert subset_settings.dispatchers == 8
    assert subset_settings.tenants[0].quota / 8 == pytest.approx(fleet_settings.tenants[0].quota / 200)


# Invalid input.


def test_zero_dispatchers_are_refused() -> None:
    with pytest.raises(ValueError, match="dispatchers: 0 read; at least 1 is allowed"):
        subset_size(0, 1300, 6)


def test_own_name_missing_from_the_dispatchers_is_refused() -> None:
    with pytest.raises(UnknownDispatcherError, match="'n200' is not among the 200 names"):
        SubsetHarness(own="n200")


def test_duplicate_dispatcher_name_is_refused() -> None:
    dispatchers = (*make_dispatchers(50), Dispatcher("n7", "zone-1"))
    with pytest.raises(ValueError, match="'n7' read twice; each name once is allowed"):
        Ranking(dispatchers, "n3", SubsetSize(6, 2))


def test_workers_without_a_zone_are_shared_by_all_dispatchers() -> None:
    workers = [(name, "") for name, _ in make_workers(300)]
    workers_of = memberships(make_dispatchers(40), workers, SubsetSize(6, 2))
    assert set(Counter(name for names in workers_of.values() for name in names).values()) == {8}


def test_empty_list_empties_the_subset() -> None:
    harness = loaded_subset()
    harness.receive(i.ListKind.REPLACE)
    assert harness.visible == {} and harness.subset.known == {}


def test_last_entry_of_a_worker_listed_twice_wins() -> None:
    harness = loaded_subset()
    name = sorted(harness.subset.members)[0]
    zone = zone_index(name)
    harness.receive(i.ListKind.UPDATE, i.Entry(name, READY, zone), i.Entry(name, DRAINING, zone))
    assert harness.visible[name].health is DRAINING


@settings(max_examples=60, deadline=None)
@given(seed=st.integers(0, 1 << 30))
def test_subset_is_consistent_with_the_list_after_random_events(seed: int) -> None:
    rng, harness = random.Random(seed), loaded_subset(count=400, dispatchers=60, size=SubsetSize(6, 2))
    listed = {name: worker.listed.entry for name, worker in harness.subset.known.items()}
    for _ in range(40):
        harness.now += rng.uniform(0, 3)
        harness.wait(0.0)
        names = rng.sample(sorted(listed), min(len(listed), rng.choice((1, 5, 60))))
        action = rng.choice(("drain", "gone", "return", "fail", "serve", "replace"))
        if action in ("fail", "serve"):
            for name in names:
                for _ in range(MAX_CONSECUTIVE_FAILURES):
                    harness.handle(AttemptEnded(name, action == "serve"))
            continue
        for name in names:
            old = listed[name]
            since = harness.now if action == "return" else old.since
            health = {"drain": DRAINING, "gone": GONE}.get(action, READY)
            listed[name] = i.Entry(name, health, old.zone, since=since)
        if action == "replace":
            harness.receive(
                i.ListKind.REPLACE, *(present for present in listed.values() if present.health is not GONE)
            )
        else:
            harness.receive(i.ListKind.UPDATE, *(listed[name] for name in names))
        subset = harness.subset
        assert all(listed[name] == entry for name, entry in harness.visible.items())
        assert set(harness.visible) == subset.members.keys() | subset.substitutes.keys()
        assert not subset.members.keys() & subset.substitutes.keys()
        total_capacity = sum(subset.capacity(subset.known[name], harness.now) for name in harness.visible)
        left = sum(
            subset.capacity(known, harness.now) > 0
            for known_name, known in subset.known.items()
            if known_name not in harness.visible
        )
        full = len(harness.visible) >= MAX_SHARE_MULTIPLE * subset.fair_share()
        assert total_capacity >= REFILL_THRESHOLD * subset.fair_share() or not left or full
