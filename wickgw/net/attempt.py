"""One attempt at a label worker: its timer, its connection while one carries it, and its one end."""

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
    """What a client asked for, as it is passed on unchanged."""

    method: str
    target: str
    body: bytes
    key: str | None = None  # of a request whose repeats workers drop: they know them by it


class Attempt:
    """One attempt. It holds its timer, and its connection while one carries it."""

    def __init__(self, pool: "WorkerConnections", pending: PendingRequest, number: int, until: float) -> None:
        self.pool, self.pending, self.number, self.until = pool, pending, number, until
        self.connection: WorkerConnection | None = None
        self.over = False
        self.free: float | None = None  # slots free at the worker, if it has reported them
        self.timer = pool.loop.call_at(until, self.give_up, i.Verdict.TIMEOUT)

    @property
    def opening(self) -> "WorkerConnection | None":
        """The connection that it waits for: nothing of it is written."""
        return self.connection if self.connection is not None and not self.connection.begun else None

    def hurry(self, until: float) -> None:
        """Wait no longer than that."""
        if until < self.until:
            self.timer.cancel()
            self.until = until
            self.timer = self.pool.loop.call_at(until, self.give_up, i.Verdict.TIMEOUT)

    def request(self) -> bytes:
        """Its bytes, with the time that is left now."""
        job: Job = self.pending.job
        left = max(1, int((self.until - self.pool.loop.time()) * 1000))
        fields = {"Host": "app.svc", "Req-Id": self.pending.id, "Req-Deadline-Ms": str(left)}
        if job.key is not None:
            fields["Idempotency-Key"] = job.key
        return http.request(job.method, job.target, fields, job.body)

    def give_up(self, verdict: i.Verdict) -> None:
        """Stop waiting: the connection is closed, which tells the worker."""
        connection, self.connection = self.connection, None
        if connection is not None:
            # Whatever has not left the buffer never will: the connection is aborted before this is said.
            if verdict is i.Verdict.TIMEOUT and not connection.written:
                verdict = i.Verdict.CONNECT_FAILED
            connection.drop()
        self.end(verdict)

    def end(self, verdict: i.Verdict, result: bytes = b"") -> None:
        """The one place where an attempt ends; what comes later is too late."""
        if self.over:
            return
        self.over = True
        self.timer.cancel()
        del self.pool.attempts[self.pending.id, self.number]
        self.pool.opening.discard(self)
        self.pool.dispatcher.ended(self.pending.id, self.number, verdict, result, self.free)
