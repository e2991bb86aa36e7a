"""Clients that take more than their share: others are served, and the memory holds (docs/incidents/57-3)."""

import asyncio
import re
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from unittest.mock import Mock

import client_plays
import pytest
from client_plays import Limits, Seen
from scenario import TIMEOUT_S, Scenario, get_request

from wickgw.net import http
from wickgw.net.clients import ClientConnection
from wickgw.net.sockets import Connection

SECONDS = 2.5
PARALLEL_PLAYS = 3
THIRD_OF_A_CORE = Limits(64, 256, 0.33)
# A job's latency target of 0.2 s, its run, and the throttling of the process: no job waits for a flood.
MAX_WAIT_S = 0.5
PAGE = get_request("/-/healthy").encode()


@pytest.fixture(scope="module")
def floods(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Future[Seen]]]:
    """Run all floods of one client, a few at the same time."""
    with ThreadPoolExecutor(PARALLEL_PLAYS) as pool:
        yield {
            name: pool.submit(
                client_plays.play, name, tmp_path_factory.mktemp("flood"), THIRD_OF_A_CORE, SECONDS
            )
            for name in client_plays.FLOODS
        }


LITTLE_TIME = "little time"


@pytest.mark.parametrize("name", [name for name in client_plays.FLOODS if name != LITTLE_TIME])
def test_requests_of_one_client_at_full_speed_do_not_keep_others_waiting(
    floods: dict[str, Future[Seen]], name: str
) -> None:
    """Guards against a turn of the loop in which everything is answered that one client has sent."""
    check_usual_jobs(floods[name].result())


def test_jobs_with_little_time_do_not_keep_others_waiting(floods: dict[str, Future[Seen]]) -> None:
    """The same for jobs with so little time that some of them time out at their workers."""
    check_usual_jobs(floods[LITTLE_TIME].result())


def check_usual_jobs(seen: Seen) -> None:
    """Check that all usual jobs were served in time, and that the memory held."""
    assert not seen.ended and set(seen.statuses) == {200}
    assert max(seen.waits_s) <= MAX_WAIT_S
    assert seen.peak_mb <= THIRD_OF_A_CORE.memory_mb


SMALLEST, LARGEST = Limits(48, 256, 0.33), Limits(192, 1024, 1.0)


@pytest.fixture(scope="module")
def crowds(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[tuple[str, Limits], Future[Seen]]]:
    """Run all crowds at the smallest and the largest limits, a few at the same time."""
    with ThreadPoolExecutor(PARALLEL_PLAYS) as pool:
        yield {
            (name, limits): pool.submit(
                client_plays.play, name, tmp_path_factory.mktemp("crowd"), limits, SECONDS
            )
            for limits in (SMALLEST, LARGEST)
            for name in client_plays.CROWDS
        }


@pytest.mark.parametrize("limits", [SMALLEST, LARGEST], ids=["smallest", "largest"])
@pytest.mark.parametrize("name", client_plays.CROWDS)
def test_crowds_of_clients_that_hold_requests_do_not_fill_the_memory(
    crowds: dict[tuple[str, Limits], Future[Seen]], name: str, limits: Limits
) -> None:
    """Guards against hundreds of clients that write slowly, stop half way or send very many short fields."""
    seen = crowds[name, limits].result()
    assert not seen.ended and seen.statuses[200]
    assert seen.peak_mb <= limits.memory_mb


# The turns of connections with much to read.


def test_requests_sent_at_once_are_all_answered_in_order_and_others_in_between() -> None:
    """Guards against requests that stay in the backlog, and against one turn for all of them."""
    count, scene = 2000, Scenario()
    try:
        scene.run_script("a open\nb open\nnode wait client_connections 2")
        requests = b"".join(
            b"POST /class-%d HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" % number
            if number % 2
            else PAGE
            for number in range(count)
        )
        scene.connections["a"].sendall(requests)
        scene.run_script("b send job 1\nw0 gets 1\nw0 send serve 1\nb expect 200 OK.*made")
        answers = b""
        while answers.count(b"HTTP/1.1") < count or not answers.endswith(b"no such class\n"):
            answers += scene.connections["a"].recv(65536)
        statuses = re.findall(rb"HTTP/1\.1 (\d+)", answers)
        assert statuses == [b"200", b"404"] * (count // 2)
    finally:
        scene.close()


def test_connection_in_the_backlog_is_neither_evicted_nor_timed_out() -> None:
    """Guards against requests that have arrived whole and are closed upon, since they are not read yet."""
    scene = Scenario()
    try:
        clients = scene.node.clients
        connection = ClientConnection(clients)
        connection.transport = Mock(is_closing=lambda: False, get_write_buffer_size=lambda: 0)
        connection.parser.feed(PAGE * 2)
        connection.waiting_since = -1000.0
        clients.connections.add(connection)
        clients.mark_idle(connection)

        async def look_after() -> bool:
            clients.read_later(connection)
            clients._sweep()
            return clients.evict_one()

        assert asyncio.run_coroutine_threadsafe(look_after(), scene.loop).result(TIMEOUT_S) is False
        scene.run_script("b send get /-/ready\nb expect 200 OK")
        assert connection.parser.buffer == b"" and not connection.is_in_backlog
        assert connection.transport.pause_reading.called and connection.transport.resume_reading.called
    finally:
        scene.close()


@pytest.mark.parametrize("size", [1, 3])
def test_body_of_very_many_chunks_is_decoded_in_several_calls(size: int) -> None:
    body = bytes(range(256)) * 16
    parser = http.RequestParser()
    chunks = [body[start : start + size] for start in range(0, len(body), size)]
    parser.feed(b"POST /look HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
    parser.feed(b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n" + PAGE)
    calls = 1
    while (request := parser.next()) is None:
        assert parser.has_more_to_decode
        calls += 1
    assert request.body == body and calls == 1 + len(chunks) // http.MAX_CHUNKS_PER_CALL
    assert not parser.has_more_to_decode
    following = parser.next()
    assert following is not None and following.path == "/-/healthy"


def test_held_bytes_are_counted_only_where_they_may_be_too_many() -> None:
    """Guards against a look at every connection for each piece of a large request."""
    scene = Scenario()
    try:
        sockets, counts = scene.node.sockets, []

        class Counted(Connection):
            @property
            def held_bytes(self) -> int:
                counts.append(1)
                return 1000

        sockets.client_connections = [Counted()]
        sockets.max_message_bytes = 10_000
        for _ in range(100):
            assert sockets.has_room()
        assert len(counts) == 1
        Connection.message_bytes += 9_000
        assert sockets.has_room() and len(counts) == 1
        Connection.message_bytes += 1
        assert sockets.has_room() and len(counts) == 2
        sockets.max_message_bytes = 900
        assert not sockets.has_room()
    finally:
        scene.close()
