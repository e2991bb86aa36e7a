"""What anyone outside sends does not fill the memory of a dispatcher (docs/incidents/51-3)."""

from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import memory_plays
import pytest
from memory_plays import Play

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
