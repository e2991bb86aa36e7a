"""One attempt at a label worker: its timer, its connection while it has one, and its outcome."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wickgw import interface as i
from wickgw.net import http
from wickgw.net.dispatch import PendingRequest

if TYPE_CHECKING:
    from wickgw.net.worker_connection import WorkerConnection
    from wickgw.net.worker_connections import WorkerConnections


@dataclass(frozen=True, slots=True)
class Job:
    """The request of a client, passed on to a worker unchanged."""

    method: str
    target: str
    body: bytes
    idempotency_key: str | None = None  # by which workers recognise and drop repeats, if the request has one


class Attempt:
    """One attempt, with its timer and, while it has one, its connection.

    `number` counts the attempts of the request from 0. `deadline` is a loop time.
    """

    def __init__(
        self, owner: "WorkerConnections", pending: PendingRequest, number: int, deadline: float
    ) -> None:
        self.owner, self.pending, self.number, self.deadline = owner, pending, number, deadline
        self.connection: WorkerConnection | None = None
        self.ended = False
        self.free_slots: float | None = None  # free slots at the worker, if it has reported them
        self.timer = owner.loop.call_at(deadline, self.abandon, i.Verdict.TIMEOUT)

    @property
    def waiting_connection(self) -> "WorkerConnection | None":
        """The connection that this attempt waits for. None of the request is written yet."""
        return (
            self.connection if self.connection is not None and not self.connection.request_started else None
        )

    def shorten_deadline(self, deadline: float) -> None:
        """Bring the deadline forward to `deadline` if that is earlier."""
        if deadline < self.deadline:
            self.timer.cancel()
            self.deadline = deadline
            self.timer = self.owner.loop.call_at(deadline, self.abandon, i.Verdict.TIMEOUT)

    def encode_request(self) -> bytes:
        """Encode the request, with the time that is left until the deadline."""
        job: Job = self.pending.job
        remaining_ms = max(1, int((self.deadline - self.owner.loop.time()) * 1000))
        headers = {"Host": "app.svc", "Req-Id": self.pending.id, "Req-Deadline-Ms": str(remaining_ms)}
        if job.idempotency_key is not None:
            headers["Idempotency-Key"] = job.idempotency_key
        return http.encode_request(job.method, job.target, headers, job.body)

    def abandon(self, verdict: i.Verdict) -> None:
        """Stop waiting and close the connection, which cancels the job at the worker."""
        connection, self.connection = self.connection, None
        if connection is not None:
            # The connection is aborted before the outcome is reported, so unsent bytes are never sent.
            if verdict is i.Verdict.TIMEOUT and not connection.request_sent:
                verdict = i.Verdict.CONNECT_FAILED
            connection.drop()
        self.finish(verdict)

    def finish(self, verdict: i.Verdict, result: bytes = b"") -> None:
        """Report the outcome; the only place where this happens. Later outcomes are ignored."""
        if self.ended:
            return
        self.ended = True
        self.timer.cancel()
        del self.owner.attempts[self.pending.id, self.number]
        self.owner.waiting_attempts.discard(self)
        self.owner.dispatcher.attempt_ended(self.pending.id, self.number, verdict, result, self.free_slots)
