"""What anyone outside sends does not fill the memory of a dispatcher (docs/incidents/51-3)."""

import asyncio
import gc
import weakref
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import memory_plays
import pytest
from memory_plays import Play
from scenario import TIMEOUT_S, Scenario

from wickgw.net import http
from wickgw.net.sockets import BASE_MEMORY_MB

MESSAGES, MARK = 3000, 1000
MAX_GROWTH_MB = 2.0  # between the mark and the end, however many messages come
MAX_MEMORY_MB = BASE_MEMORY_MB + 1  # what is planned for the process, and for a dozen connections
PARALLEL_PLAYS = 4


@pytest.fixture(scope="module")
def plays(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Future[Play]]]:
    """Run all plays, a few at the same time."""
    with ThreadPoolExecutor(PARALLEL_PLAYS) as pool:
        yield {
            name: pool.submit(play, tmp_path_factory.mktemp(name), MESSAGES, MARK)
            for name, play in memory_plays.PLAYS.items()
        }


@pytest.mark.parametrize("name", memory_plays.PLAYS)
def test_process_keeps_nothing_of_what_differs_in_every_message(
    plays: dict[str, Future[Play]], name: str
) -> None:
    """Guards against caches and tables that bytes from outside fill until the process is killed."""
    play = plays[name].result()
    assert play.sent == MESSAGES and play.usual_statuses == {200}
    assert play.memory_at_end_mb <= play.memory_at_mark_mb + MAX_GROWTH_MB
    assert max(play.peak_mb, play.memory_at_end_mb) <= MAX_MEMORY_MB


@pytest.fixture
def no_collection() -> Iterator[None]:
    """Switch garbage collection off: what is released has to be free at once, as it may be large."""
    gc.disable()
    yield
    gc.enable()


@pytest.mark.usefixtures("no_collection")
def test_unread_answer_is_freed_with_its_parser() -> None:
    """Guards against a parser that refers to itself and stays, with its buffer, until it is collected."""
    parser = http.ResponseParser()
    assert list(parser.feed(b"HTTP/1.1 200 OK\r\nX-Note: " + b"x" * 10_000)) == []
    reference = weakref.ref(parser)
    del parser
    assert reference() is None


@pytest.mark.usefixtures("no_collection")
def test_closed_connections_are_freed_at_once() -> None:
    """Guards against tasks and cycles that keep closed connections with the bytes that they hold."""
    scene = Scenario()
    try:
        scene.run_script("a send job 1\nw0 gets 1\nw0 send serve 1\na expect 200 OK.*made\nb open")
        scene.run_script("node wait client_connections 2")
        connections = scene.node.pools.servers[""].connections.connections
        kept = [weakref.ref(connection) for connection in [*scene.node.clients.connections, *connections]]
        assert len(kept) == 3
        scene.run_script("a close\nb close\nw0 close\nnode wait client_connections 0")
        scene.run_script("node wait peer_connections 0")
        asyncio.run_coroutine_threadsafe(asyncio.sleep(0), scene.loop).result(TIMEOUT_S)
        assert [reference() for reference in kept] == [None] * 3
    finally:
        scene.close()


def test_idle_worker_connection_keeps_neither_head_nor_result() -> None:
    """Guards against results of up to 64 KB that each idle connection kept until its next job."""
    scene = Scenario()
    try:
        scene.run_script("a send job 1\nw0 gets 1\nw0 send serve 1\na expect 200 OK.*made")
        scene.run_script("node wait owed 0")
        (connection,) = scene.node.pools.servers[""].connections.connections
        assert connection.final_result is None and connection.head is None and not connection.line_buffer
    finally:
        scene.close()


def test_job_of_a_client_that_left_is_not_kept_while_its_attempt_runs() -> None:
    """Guards against clients that leave jobs of 64 KB behind, one for each attempt that still runs."""
    scene = Scenario()
    try:
        scene.run_script("a send job 1 look 3000 " + "x" * 60_000 + "\nw0 gets 1")
        (pending,) = scene.node.pools.servers[""].dispatcher.pending.values()
        assert len(pending.job.body) == 60_000
        scene.run_script("a close\nnode wait answer.client_left 1")
        assert pending.open_attempts and pending.job is None
    finally:
        scene.close()
