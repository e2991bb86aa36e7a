"""Long list updates of a pool: applied in parts and in order, removed and draining workers first."""

import asyncio
import json
from pathlib import Path

import pytest

from wickgw import interface as i
from wickgw.config.relay import Config, read_config
from wickgw.emulator.serve_process import platform_settings
from wickgw.net.dispatch import Clock
from wickgw.net.pool_server import ENTRIES_PER_TURN, PoolServer
from wickgw.net.sockets import Sockets
from wickgw.net.worker_list import Target

WORKER_COUNT = 3200


@pytest.fixture
def config(tmp_path: Path) -> Config:
    path = tmp_path / "n.json"
    configuration = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:1",
        "settings": platform_settings(30),
    }
    path.write_text(json.dumps(configuration))
    return read_config({"RELAY_CONFIG": str(path)})


def target(number: int, health: i.Health = i.Health.READY) -> Target:
    return Target(i.Entry(f"w{number}", health), f"127.0.0.1:{7000 + number % 100}")


class RecordingPool(PoolServer):
    """A pool that records the list updates of its decision module, one per turn of the loop."""

    def __init__(self, config: Config) -> None:
        loop = asyncio.get_running_loop()
        self.updates: list[tuple[i.Entry, ...]] = []
        super().__init__("", lambda target: True, config, loop, Clock(), Sockets(loop, 512, 96.0))
        update_list = self.dispatcher.update_list

        def record(kind: i.ListKind, entries: tuple[i.Entry, ...]) -> None:
            self.updates.append(entries)
            update_list(kind, entries)

        self.dispatcher.update_list = record  # type: ignore[method-assign]

    async def apply_all(self) -> list[tuple[i.Entry, ...]]:
        while self._queued_parts:
            await asyncio.sleep(0)
        updates, self.updates = self.updates, []
        return updates

    def listed_workers(self) -> set[str]:
        balancer = self.dispatcher.balancer
        return {worker.id for worker in balancer.members if worker.ready} | set(balancer.standby)


async def started_pool(config: Config) -> RecordingPool:
    pool = RecordingPool(config)
    pool.begin([target(number) for number in range(WORKER_COUNT)])
    assert max(map(len, await pool.apply_all())) <= ENTRIES_PER_TURN
    return pool


def test_long_list_is_applied_in_parts_with_removed_and_draining_workers_first(config: Config) -> None:
    async def play() -> None:
        pool = await started_pool(config)
        assert len(pool.listed_workers()) == WORKER_COUNT and pool.worker_counts == (WORKER_COUNT, 0)
        draining_numbers = range(0, WORKER_COUNT, 10)
        new_targets = [
            target(number, i.Health.DRAINING if number in draining_numbers else i.Health.READY)
            for number in range(100, WORKER_COUNT + 100)
        ]
        pool.on_update(i.ListKind.REPLACE, new_targets)
        updates = await pool.apply_all()
        assert max(map(len, updates)) <= ENTRIES_PER_TURN
        health = [entry.health for part in updates for entry in part]
        gone_count, draining_count = (
            100,
            sum(number in draining_numbers for number in range(100, WORKER_COUNT)),
        )
        assert health[:gone_count] == [i.Health.GONE] * gone_count
        assert health[gone_count : gone_count + draining_count] == [i.Health.DRAINING] * draining_count
        ready = {listed.entry.worker for listed in new_targets if listed.entry.health is i.Health.READY}
        assert pool.listed_workers() == ready and pool.worker_counts == (len(ready), draining_count)
        assert pool.connections.endpoints.keys() == {listed.entry.worker for listed in new_targets}
        pool.close()

    asyncio.run(play())


def test_change_during_a_long_update_is_applied_after_it(config: Config) -> None:
    async def play() -> None:
        pool = await started_pool(config)
        pool.on_update(
            i.ListKind.UPDATE, [target(number) for number in range(WORKER_COUNT, 2 * WORKER_COUNT)]
        )
        pool.on_update(
            i.ListKind.UPDATE,
            [target(number, i.Health.DRAINING) for number in range(2 * WORKER_COUNT - 50, 2 * WORKER_COUNT)],
        )
        await pool.apply_all()
        assert pool.listed_workers() == {f"w{number}" for number in range(2 * WORKER_COUNT - 50)}
        pool.close()

    asyncio.run(play())


def test_whole_list_replaces_one_that_is_still_being_applied(config: Config) -> None:
    async def play() -> None:
        pool = await started_pool(config)
        pool.on_update(
            i.ListKind.REPLACE, [target(number) for number in range(WORKER_COUNT, 2 * WORKER_COUNT)]
        )
        await asyncio.sleep(0)
        pool.on_update(i.ListKind.REPLACE, [target(number) for number in range(50, WORKER_COUNT)])
        await pool.apply_all()
        assert pool.listed_workers() == {f"w{number}" for number in range(50, WORKER_COUNT)}
        assert pool.connections.endpoints.keys() == pool.listed_workers()
        pool.close()

    asyncio.run(play())


def test_short_change_is_applied_at_once(config: Config) -> None:
    async def play() -> None:
        pool = await started_pool(config)
        pool.on_update(i.ListKind.UPDATE, [target(0, i.Health.DRAINING)])
        assert pool.updates == [(target(0, i.Health.DRAINING).entry,)]
        pool.close()

    asyncio.run(play())
