"""A long list is told to a pool in parts: in order, what left or drains first, and nothing lost."""

import asyncio
import json
from pathlib import Path

import pytest

from wickgw import interface as i
from wickgw.config.relay import Config, read_config
from wickgw.emulator.serve_process import settings_for
from wickgw.net.dispatch import Clock
from wickgw.net.pool_server import ENTRIES_A_TURN, PoolServer
from wickgw.net.sockets import Sockets
from wickgw.net.worker_list import Target

MANY = 3200


@pytest.fixture
def config(tmp_path: Path) -> Config:
    path = tmp_path / "n.json"
    told = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": settings_for(30)}
    path.write_text(json.dumps(told))
    return read_config({"RELAY_CONFIG": str(path)})


def target(number: int, health: i.Health = i.Health.READY) -> Target:
    return Target(i.Entry(f"w{number}", health), f"127.0.0.1:{7000 + number % 100}")


class Pool(PoolServer):
    """A pool that notes what its decisions are told, a list for each turn of the loop."""

    def __init__(self, config: Config) -> None:
        loop = asyncio.get_running_loop()
        self.told: list[tuple[i.Entry, ...]] = []
        super().__init__("", lambda target: True, config, loop, Clock(), Sockets(loop, 512, 96.0))
        listed = self.dispatcher.listed

        def note(kind: i.ListKind, entries: tuple[i.Entry, ...]) -> None:
            self.told.append(entries)
            listed(kind, entries)

        self.dispatcher.listed = note  # type: ignore[method-assign]

    async def read_all(self) -> list[tuple[i.Entry, ...]]:
        while self._untold:
            await asyncio.sleep(0)
        told, self.told = self.told, []
        return told

    def listed(self) -> set[str]:
        balancer = self.dispatcher.balancer
        return {w.id for w in balancer.order if w.ready} | set(balancer.standby)


async def begun(config: Config) -> Pool:
    pool = Pool(config)
    pool.begin([target(n) for n in range(MANY)])
    assert max(map(len, await pool.read_all())) <= ENTRIES_A_TURN
    return pool


def test_long_list_is_told_in_parts_and_what_left_or_drains_first(config: Config) -> None:
    async def play() -> None:
        pool = await begun(config)
        assert len(pool.listed()) == MANY and pool.counts == (MANY, 0)
        drains = range(0, MANY, 10)
        new = [
            target(n, i.Health.DRAINING if n in drains else i.Health.READY) for n in range(100, MANY + 100)
        ]
        pool.on_update(i.ListKind.REPLACE, new)
        told = await pool.read_all()
        assert max(map(len, told)) <= ENTRIES_A_TURN
        health = [entry.health for part in told for entry in part]
        left, draining = 100, sum(n in drains for n in range(100, MANY))
        assert health[:left] == [i.Health.GONE] * left
        assert health[left : left + draining] == [i.Health.DRAINING] * draining
        ready = {t.entry.worker for t in new if t.entry.health is i.Health.READY}
        assert pool.listed() == ready and pool.counts == (len(ready), draining)
        assert pool.connections.endpoints.keys() == {t.entry.worker for t in new}
        pool.close()

    asyncio.run(play())


def test_change_that_comes_while_a_long_list_is_told_is_told_after_it(config: Config) -> None:
    async def play() -> None:
        pool = await begun(config)
        pool.on_update(i.ListKind.UPDATE, [target(n) for n in range(MANY, 2 * MANY)])
        pool.on_update(
            i.ListKind.UPDATE, [target(n, i.Health.DRAINING) for n in range(2 * MANY - 50, 2 * MANY)]
        )
        await pool.read_all()
        assert pool.listed() == {f"w{n}" for n in range(2 * MANY - 50)}
        pool.close()

    asyncio.run(play())


def test_whole_list_takes_the_place_of_one_that_is_still_told(config: Config) -> None:
    async def play() -> None:
        pool = await begun(config)
        pool.on_update(i.ListKind.REPLACE, [target(n) for n in range(MANY, 2 * MANY)])
        await asyncio.sleep(0)
        pool.on_update(i.ListKind.REPLACE, [target(n) for n in range(50, MANY)])
        await pool.read_all()
        assert pool.listed() == {f"w{n}" for n in range(50, MANY)}
        assert pool.connections.endpoints.keys() == pool.listed()
        pool.close()

    asyncio.run(play())


def test_short_change_is_told_in_the_call_that_brings_it(config: Config) -> None:
    async def play() -> None:
        pool = await begun(config)
        pool.on_update(i.ListKind.UPDATE, [target(0, i.Health.DRAINING)])
        assert pool.told == [(target(0, i.Health.DRAINING).entry,)]
        pool.close()

    asyncio.run(play())
