"""Fencing and planned withdrawal on real connections: the lease check before each step, pending requests."""

import asyncio
from collections.abc import Iterator

import pytest
from scenario import TIMEOUT_S, Scenario

from wickgw.address.gate import Gate, Phase
from wickgw.net.clients import Listener
from wickgw.net.listen import open_listening_socket


class ServedAddress:
    """A scene whose clients connect to a service address. The test sets the clock of its lease."""

    def __init__(self) -> None:
        self.scene, self.now = Scenario(), 100.0
        self.gate = Gate("east", 1, 101.0, lambda: self.now)

        async def listen() -> Listener:
            return Listener(self.scene.node.clients, open_listening_socket(("127.0.0.1", 0), 1024), self.gate)

        self.listener = asyncio.run_coroutine_threadsafe(listen(), self.scene.loop).result(TIMEOUT_S)
        self.scene.client_address = self.listener.address

    def call(self, method: str, *args: object) -> object:
        """Call a method of the node's `Clients` with the gate and `args`, on the scene's loop."""

        async def run() -> object:
            return getattr(self.scene.node.clients, method)(self.gate, *args)

        return asyncio.run_coroutine_threadsafe(run(), self.scene.loop).result(TIMEOUT_S)

    def close(self) -> None:
        self.scene.loop.call_soon_threadsafe(self.listener.close, False)
        self.scene.close()


@pytest.fixture
def served() -> Iterator[ServedAddress]:
    served = ServedAddress()
    yield served
    served.close()


def test_answer_is_fenced_if_the_lease_expired_after_the_request_was_taken(served: ServedAddress) -> None:
    served.scene.run_script("a send job 1\nw0 gets 1")
    served.now = 101.0  # as after a stall: no timer has fired
    served.scene.run_script("w0 send serve 1\na expect end\nnode wait fenced 1\nnode wait owed 0")


def test_connection_accepted_after_the_lease_is_reset(served: ServedAddress) -> None:
    served.now = 101.0
    served.scene.run_script("a open\na expect end\nnode wait fenced.connections 1")


def test_request_on_a_kept_connection_is_not_taken_after_the_lease(served: ServedAddress) -> None:
    served.scene.run_script("a send job 1\nw0 send serve 1\na expect made")
    served.now = 101.0
    served.scene.run_script("a send job 2\na expect end\nnode wait fenced 1")
    assert served.scene.node.dispatcher.counters["taken"] == 1


def test_hurried_request_that_may_have_run_is_answered_in_time_and_not_refused(
    served: ServedAddress,
) -> None:
    served.scene.run_script("a send job 1 once\nw0 gets 1\nw0 send take\nw0 send event started 1")
    served.gate.hurried = True
    served.call("shorten_deadlines", 0.05)
    served.scene.run_script("a expect HTTP/1.1 502\nnode wait hurried 1\nnode wait owed 0\nw0 expect end")


def test_hurried_request_that_has_not_started_is_refused_at_once(served: ServedAddress) -> None:
    """The second request waits for a worker that is busy with the first. It has not run, so it may be refused
    with 503."""
    served.scene.run_script("a send job 1 look\nw0 gets 1\nb send job 2 look\nnode wait owed 2")
    served.call("shorten_deadlines", 0.05)
    served.scene.run_script("b expect HTTP/1.1 503.*Retry-After\nnode wait hurried 2")


def test_request_taken_shortly_before_the_end_of_the_lease_has_no_longer_than_the_lease(
    served: ServedAddress,
) -> None:
    served.gate.hurried, served.now = True, 100.9
    served.scene.run_script("a send job 1 once 3000\na expect HTTP/1.1 50[23]\nnode wait owed 0")


def test_planned_handover_answers_pending_requests_and_takes_no_new_ones(served: ServedAddress) -> None:
    served.scene.run_script("a send job 1\nw0 gets 1\nb open\nnode wait client_connections 2")
    assert served.call("close_idle_through") is True
    served.scene.run_script("b expect end")
    served.gate.finish(200.0)
    served.now = 150.0  # long after the lease, as agreed with the successor
    served.scene.run_script("w0 send serve 1\na expect 200 OK.*Connection: close.*made\na expect end")


def test_settling_waits_for_a_request_that_is_unread_or_partly_read(served: ServedAddress) -> None:
    served.scene.run_script('a send raw "POST /look HTTP/1.1~"\na open\nnode wait connections 1')
    while not any(
        connection.has_partial_request for connection in list(served.scene.node.clients.connections)
    ):
        served.scene.run_script("node wait connections 1")
    assert served.call("close_idle_through") is False


def test_shut_gate_closes_every_connection_and_the_balancer_drops_the_requests(
    served: ServedAddress,
) -> None:
    served.scene.run_script("a send job 1\nw0 gets 1\nb open\nnode wait client_connections 2")
    served.gate.shut()
    served.call("fence_all")
    served.scene.run_script("a expect end\nb expect end\nnode wait answer.client_left 1\nnode wait owed 0")
    balancer = served.scene.node.dispatcher.balancer
    assert "1" not in balancer.requests


def test_gate_is_not_extended_once_it_is_finishing_or_shut() -> None:
    now = [0.0]
    gate = Gate("east", 1, 1.0, lambda: now[0])
    gate.extend(0.5)
    assert gate.valid_until == 1.0, "a lease was shortened"
    gate.finish(3.0)
    gate.extend(9.0)
    assert (gate.valid_until, gate.may_take(), gate.may_answer()) == (3.0, False, True)
    gate.shut()
    assert not gate.may_answer()
    expired = Gate("east", 1, 1.0, lambda: now[0])
    now[0] = 1.0
    expired.finish(3.0)
    assert expired.phase is Phase.OPEN and not expired.may_answer(), "finished after the lease had expired"
