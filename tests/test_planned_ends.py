"""Planned ends of an address's holder: each job in hand is answered before its gate shuts.

Each end is played with real processes and jobs that outlast it (docs/incidents/57-1).
"""

import http.client
import signal
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from wickgw.address.gate import HANDOVER_MARGIN_S, MIN_HANDOVER_S, Gate, HandoverBudget, Phase
from wickgw.emulator.dispatcher_processes import ADDRESS_NAME, DispatcherProcesses
from wickgw.emulator.probe import AddressProbe

CLIENTS = 6
HANG_S = 60.0  # running time of a job that outlasts every end
FINISH_MS = 500  # shorter than the deadline of the jobs
DEADLINE_MS = 2500
HOLD_DOWN_S = 2  # before the preferred holder gets the address back: jobs are handed in meanwhile
MAX_OVERLAP_S = 0.02  # as a client measures it: holders never overlap, but reading an answer takes time
PREFERRED = "a"


def hand_in(endpoint: tuple[str, int], job: str, class_name: str = "once") -> tuple[int, float]:
    """Hand in a job, and return the status of its answer and when it came; status 0 if there was none."""
    client = http.client.HTTPConnection(*endpoint, timeout=DEADLINE_MS / 1000 + 2)
    try:
        fields = {"Req-Id": job, "Req-Deadline-Ms": str(DEADLINE_MS)}
        client.request("POST", f"/{class_name}", body=b"", headers=fields)
        answer = client.getresponse()
        answer.read()
        return answer.status, time.monotonic()
    except (OSError, http.client.HTTPException):
        return 0, time.monotonic()
    finally:
        client.close()


class Fleet:
    """Three dispatchers that share an address, which `PREFERRED` holds unless it is down."""

    def __init__(self, folder: Path, finish: str) -> None:
        options = f"prefer = {PREFERRED}\nfinish = {finish}\nfinish_ms = {FINISH_MS}"
        self.processes = DispatcherProcesses(folder, job_run_s=HANG_S, service_options=options)
        for name in self.processes.names:
            ini = folder / f"{name}.ini"
            ini.write_text(ini.read_text().replace("hold_down_s = 1", f"hold_down_s = {HOLD_DOWN_S}"))

    def jobs_in_hand(self, holder: str) -> int:
        """Return the number of jobs that the holder has taken and not answered."""
        report = self.processes.status(holder, "/-/counters")
        assert report is not None
        return int(report["now"]["owed"])  # type: ignore[index]

    def stop_holder(self) -> None:
        """End the holder by SIGTERM."""
        self.processes.signal(self.processes.wait_for_holder(), signal.SIGTERM)

    def prefer_another(self) -> None:
        """Write another preference into the files of all instances, and let them reload."""
        other = next(name for name in self.processes.names if name != PREFERRED)
        for name in self.processes.names:
            ini = self.processes.folder / f"{name}.ini"
            ini.write_text(ini.read_text().replace(f"prefer = {PREFERRED}", f"prefer = {other}"))
            self.processes.signal(name, signal.SIGHUP)

    def return_preferred(self) -> None:
        """Start the preferred holder, which is down, again."""
        self.processes.start(PREFERRED)


ENDS: dict[str, Callable[[Fleet], None]] = {
    "SIGTERM": Fleet.stop_holder,
    "reload": Fleet.prefer_another,
    "return": Fleet.return_preferred,
}


@pytest.fixture
def fleet(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path, request.param)
    try:
        fleet.processes.start()
        fleet.processes.wait_until_settled(20)
        yield fleet
    finally:
        fleet.processes.close()


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("fleet", ["before", "after"], indirect=True)
def test_each_job_in_hand_is_answered_before_the_address_moves(fleet: Fleet, end: str) -> None:
    """Guards against a gate that shuts before the deadlines of the jobs that were taken through it."""
    processes = fleet.processes
    if end == "return":
        processes.kill(PREFERRED)
        processes.wait_for_holder(excluding=PREFERRED)
    else:
        time.sleep(HOLD_DOWN_S)  # then a reload moves the address at once
        deadline = time.monotonic() + 20
        while processes.wait_for_holder(20) != PREFERRED:
            assert time.monotonic() < deadline
    holder = processes.wait_for_holder()
    probe = AddressProbe(processes.service_address, ADDRESS_NAME)
    probe.wait_for_answer(None, time.monotonic())
    with ThreadPoolExecutor(2 * CLIENTS) as pool:
        # The end comes while the jobs run: a preferred holder returns after its hold-down.
        if end == "return":
            fleet.return_preferred()
            processes.wait_until_settled(20)
        own_address = processes.listen_addresses[holder]
        jobs = [pool.submit(hand_in, processes.service_address, f"job-{n}") for n in range(CLIENTS)]
        own = [pool.submit(hand_in, own_address, f"own-{n}") for n in range(CLIENTS)]
        while fleet.jobs_in_hand(holder) < 2 * CLIENTS:
            assert not any(job.done() for job in jobs)
        if end != "return":
            ENDS[end](fleet)
        statuses = [job.result()[0] for job in jobs]
        own_statuses = [job.result()[0] for job in own]
    probe.wait_for_answer(None, time.monotonic(), excluding=holder)
    probe.close()
    assert statuses == own_statuses == [502] * CLIENTS
    assert probe.longest_overlap_s() <= MAX_OVERLAP_S
    if end == "SIGTERM":
        assert processes.processes[holder].wait(10) == 0


@pytest.mark.parametrize("fleet", ["before"], indirect=True)
def test_connection_does_not_prolong_a_handover_with_more_requests(fleet: Fleet) -> None:
    """Guards against answers that keep their connection open while the address is being handed over."""
    processes = fleet.processes
    holder = processes.wait_for_holder()
    client = http.client.HTTPConnection(*processes.service_address, timeout=5)
    client.request("GET", "/-/ready")
    assert client.getresponse().read() == b"ok\n"
    with ThreadPoolExecutor(1) as pool:
        job = pool.submit(hand_in, processes.service_address, "job")
        while fleet.jobs_in_hand(holder) < 1:
            pass
        # Half a request keeps the connection from being closed as idle.
        client.sock.sendall(b"GET /-/ready HTTP/1.1\r\n")
        processes.signal(holder, signal.SIGTERM)
        while (status := processes.status(holder)) and status["addresses"][ADDRESS_NAME]["stage"] == "held":  # type: ignore[index]
            pass
        client.sock.sendall(b"Host: x\r\n\r\n")
        answer = b""
        while piece := client.sock.recv(4096):
            answer += piece
        assert b"Connection: close" in answer
        assert job.result()[0] == 502
    assert processes.wait_for_holder(excluding=holder)


@pytest.mark.parametrize("finish_s", [0.0, 0.01, 0.2, 3.0, 60.0])
@pytest.mark.parametrize("latest_end", [100.0, 100.3, 103.5, float("inf")])
def test_budget_leaves_time_between_the_last_answer_and_the_end(finish_s: float, latest_end: float) -> None:
    """Guards against answers that are due when the gate shuts, for every configured time."""
    budget = HandoverBudget.starting(100.0, finish_s, latest_end)
    assert 100.0 < budget.answer_by < budget.ends_at
    assert budget.ends_at <= max(100.0 + MIN_HANDOVER_S, min(100.0 + finish_s, latest_end))
    margin = budget.ends_at - budget.answer_by
    assert margin >= min(HANDOVER_MARGIN_S, (budget.ends_at - 100.0) / 2) - 1e-9


def test_request_taken_during_a_handover_is_due_with_those_taken_before() -> None:
    """Guards against requests that arrive while an address is left and outlast its budget."""
    now = [0.0]
    gate = Gate("east", 1, 10.0, lambda: now[0])
    assert gate.time_left() == float("inf") and gate.keeps_connections()
    gate.leave(HandoverBudget.starting(0.0, 3.0))
    now[0] = 1.0
    assert gate.phase is Phase.LEAVING and gate.may_take() and not gate.keeps_connections()
    assert gate.time_left() == pytest.approx(2.0 - HANDOVER_MARGIN_S)
    gate.extend(12.0)  # the lease is renewed until the address is released
    assert gate.valid_until == 12.0
    gate.leave(HandoverBudget.starting(1.0, 3.0, latest_end=2.0))  # the process stops meanwhile
    assert gate.time_left() == pytest.approx(1.0 - HANDOVER_MARGIN_S)
