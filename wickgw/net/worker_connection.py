"""One connection to a label worker: connects, carries one attempt at a time, and is idle between attempts.

The connection is released in `connection_lost` or, before it has a transport, in `_connect_failed`. It never
sends an attempt twice. It reports "never ran" only while the last byte of the request was still unsent.
"""

import asyncio
import errno
import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from wickgw import interface as i
from wickgw.net import http
from wickgw.net.attempt import Attempt
from wickgw.net.job_events import FINAL_VERDICTS, read_event
from wickgw.net.listen import parse_address
from wickgw.net.sockets import Connection
from wickgw.observe import get_logger
from wickgw.platform_data import read_fraction_done, read_free_slots

if TYPE_CHECKING:
    from wickgw.net.worker_connections import WorkerConnections

log = get_logger("wickgw")
MAX_EVENT_BYTES = http.MAX_BODY_BYTES + 4096  # a job event: the largest result and the JSON around it
MAX_RESPONSE_BYTES = 1 << 20  # all events of one attempt: hours of progress events
# Time without a new attempt after an answer that has no request id, or that hands the request back. A
# duplicate of such an answer may arrive some milliseconds later. It would be taken for the answer to the next
# attempt, and would report "never ran" for a job that runs.
QUARANTINE_S = 0.05
FRAMING_END_TIMEOUT_S = 1.0  # for the end of the framing after the last job event


class AttemptResult(NamedTuple):
    """The outcome of an attempt."""

    verdict: i.Verdict
    result: bytes = b""  # the worker's output, for OK


@dataclass(slots=True, eq=False)
class WorkerEndpoint:
    """The address of one label worker, and the idle connections to it, most recently used last."""

    address: str
    started_at: float | None  # its last start
    is_current: bool = True  # False once the worker is removed, has moved or has restarted
    idle_connections: list["WorkerConnection"] = field(default_factory=list)


class WorkerConnection(Connection):
    """A connection to a worker, which carries one attempt at a time."""

    def __init__(self, owner: "WorkerConnections", endpoint: WorkerEndpoint, attempt: Attempt) -> None:
        self.owner, self.endpoint = owner, endpoint
        self.attempt: Attempt | None = attempt
        self.parser = http.ResponseParser()
        self.head: http.ResponseHead | None = None
        self.final_result: AttemptResult | None = None  # from the last job event
        self.line_buffer = bytearray()
        self.body_bytes = 0
        self.request_sent = False  # the transport's buffer holds no more bytes of the request
        self.closed = False
        self.idle_since = 0.0
        self.transport_requested = False  # the socket belongs to a transport, or waits for one
        self.request_started = False  # bytes of a request have been written to the transport
        # Bounds connecting, the wait for the end of the framing, or the quarantine.
        self.timer: asyncio.TimerHandle | None = None

    @property
    def held_bytes(self) -> int:
        """Bytes of the request that are not written, and bytes of the answer."""
        return self.unwritten_bytes + len(self.parser.buffer) + len(self.line_buffer)

    # Connecting.

    def open(self) -> None:
        """Start to connect. Any failure ends the attempt with CONNECT_FAILED."""
        loop = self.owner.loop
        try:
            self.sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            self.owner.sockets.bound_buffers(sock)
            error_code = sock.connect_ex(parse_address(self.endpoint.address))
        except (OSError, MemoryError, ValueError) as error:
            log.warning("try.no-socket", error=str(error))
            self._connect_failed()
            return
        if error_code not in (0, errno.EINPROGRESS):
            self._connect_failed()
            return
        self.timer = loop.call_later(self.owner.connect_timeout, self._connect_failed)
        try:
            loop.add_writer(sock.fileno(), self._connected)
        except (OSError, MemoryError) as error:  # without memory for the descriptor, for one
            log.warning("try.no-socket", error=str(error))
            self._connect_failed()

    def _connected(self) -> None:
        assert self.sock is not None
        self.owner.loop.remove_writer(self.sock.fileno())
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._connect_failed()
        else:
            self.transport_requested = True
            self.owner.sockets.open_transport(self.sock, self)

    def _connect_failed(self) -> None:
        """End the attempt as never run: connecting failed or was cancelled, and nothing was written."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.closed:
            return
        self.closed = True
        if self.sock is not None and not self.transport_requested:
            self.owner.loop.remove_writer(self.sock.fileno())
            self.sock.close()
        self.sock = None
        if not self.transport_requested:
            self.owner.remove_connection(self)
        self._finish_attempt(AttemptResult(i.Verdict.CONNECT_FAILED))

    def open_failed(self) -> None:
        """Release the connection, whose socket got no transport."""
        self.transport_requested = False
        self.sock = None
        if self.closed:
            self.owner.remove_connection(self)
        else:
            self._connect_failed()

    def opened(self) -> None:
        """Send the request, now that the connection is open."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.closed or self.attempt is None:  # cancelled while the transport was created
            self.abort()
            return
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)  # resume_writing is called when all is written
        self.owner.opened_count += 1
        self._send_request()

    # Running an attempt.

    def send_attempt(self, attempt: Attempt) -> None:
        """Send an attempt on this idle connection."""
        self.attempt, self.request_started = attempt, False
        self._send_request()

    def _send_request(self) -> None:
        assert self.attempt is not None and self.transport is not None
        if not self.owner.dispatcher.may_send(self.attempt.pending):
            if self.attempt is not None:  # not already cancelled with its request
                self.attempt.abandon(i.Verdict.NOT_SENT)
            return
        self._release_answer()
        self.body_bytes, self.request_sent = 0, False
        self.request_started = True
        self.owner.waiting_attempts.discard(self.attempt)
        request = self.attempt.encode_request()
        Connection.message_bytes += len(request)
        self.transport.write(request)
        # The buffer is also empty after a write that failed at once. Then nothing was sent, and the transport
        # is closing.
        if not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            self.request_sent = True

    def resume_writing(self) -> None:
        """Record that the last byte of the request has left the transport's buffer."""
        self.request_sent = True

    def received(self, data: bytes) -> None:
        """Handle bytes of an answer."""
        if self.attempt is None:  # an answer without a request, or to a cancelled attempt
            self.drop()
            return
        try:
            for part in self.parser.feed(data):
                if self.attempt is None:  # cancelled as a consequence of the previous part
                    return
                if isinstance(part, http.ResponseHead):
                    self.head = part
                elif isinstance(part, http.EndOfResponse):
                    self._response_complete(part.keep_alive)
                else:
                    self._read_body(part)
        except (http.HttpError, ValueError, RecursionError) as error:  # RecursionError: deeply nested JSON
            log.warning("peer.nonsense", error=str(error)[:200])
            self._finish_attempt(self.final_result or AttemptResult(i.Verdict.ERROR))
            self.drop()
            return
        if self.final_result is not None and self.attempt is not None and not self.attempt.ended:
            # The last event is in, but not the end of the framing: the result does not wait for that.
            self.timer = self.owner.loop.call_later(FRAMING_END_TIMEOUT_S, self.drop)
            self.attempt.finish(self.final_result.verdict, self.final_result.result)

    def _read_body(self, data: bytes) -> None:
        self.body_bytes += len(data)
        if self.body_bytes > MAX_RESPONSE_BYTES:
            raise ValueError("response too long")
        if self.head is None or self.head.status != 200:
            return
        self.line_buffer += data
        if b"\n" in data:  # what was buffered before has no line end and is not searched for each piece
            self._handle_lines()
        if len(self.line_buffer) > MAX_EVENT_BYTES:
            raise ValueError("job event too long")

    def _handle_lines(self) -> None:
        """Handle the complete lines in the buffer."""
        while (end := self.line_buffer.find(b"\n")) >= 0:
            line = bytes(self.line_buffer[:end])
            del self.line_buffer[: end + 1]
            if line.strip():
                self._handle_event(line)

    def _handle_event(self, line: bytes) -> None:
        """Handle a job event.

        The final one is kept until the framing is checked, so that the connection is idle by the time the
        Balancer counts on it.
        """
        attempt = self.attempt
        if attempt is None:
            return
        if self.final_result is not None:
            raise ValueError("job event after the last one")
        event = read_event(line, attempt.pending.id)
        attempt.free_slots = read_free_slots(event.load, self.owner.free_slots_field)
        dispatcher, request_id, number = self.owner.dispatcher, attempt.pending.id, attempt.number
        match event.state:
            case "started":
                dispatcher.attempt_started(request_id, number)
            case "running":
                dispatcher.attempt_progressed(request_id, number, read_fraction_done(event.share))
            case "done":
                self.final_result = AttemptResult(i.Verdict.OK, (event.result or "").encode())
            case state if state in FINAL_VERDICTS:
                self.final_result = AttemptResult(FINAL_VERDICTS[state])
            case _:
                raise ValueError("job event of an unknown state")

    def _result_of_response(self) -> AttemptResult:
        """Return the outcome that a complete response means."""
        assert self.head is not None
        status, declined = self.head.status, self.head.headers.get("srv-declined") == "1"
        if self.final_result is not None:
            return self.final_result
        if status == 200:
            return AttemptResult(i.Verdict.RESET)  # no final event
        if status in (503, 504) and declined:
            return AttemptResult(i.Verdict.FULL)
        if 400 <= status < 500 and status not in (408, 429):
            return AttemptResult(i.Verdict.UNUSABLE)  # the request's fault, not the worker's
        return AttemptResult(i.Verdict.ERROR)

    def _response_complete(self, keep_alive: bool) -> None:
        """Finish the attempt of a complete response, and keep the connection where that is possible."""
        assert self.head is not None
        if self.head.status == 200 and self.line_buffer.strip():
            self._handle_event(bytes(self.line_buffer))  # a last line without a line end
            if self.attempt is None:  # cancelled as a consequence of the event
                return
        attempt_result = self._result_of_response()
        attempt, self.attempt = self.attempt, None
        if attempt is not None and self.head.status != 200:
            attempt.free_slots = self.owner.read_free_slots(self.head)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if keep_alive and self.parser.is_between_responses and self.request_sent:
            self._quarantine_or_reuse(attempt_result)
        else:
            self.drop()
        self._release_answer()
        if attempt is not None:
            attempt.connection = None
            attempt.finish(attempt_result.verdict, attempt_result.result)

    def _release_answer(self) -> None:
        """Release what was read of an answer: an idle connection holds no data."""
        self.head = self.final_result = None
        self.line_buffer.clear()

    def _quarantine_or_reuse(self, attempt_result: AttemptResult) -> None:
        """Make the connection available for another attempt, at once or after a quarantine.

        Job events name their request, so a late duplicate does no harm. A duplicate that hands the request
        back does, since the same request may be sent here again.
        """
        assert self.head is not None
        if self.head.status == 200 and attempt_result.verdict is not i.Verdict.FULL:
            self.owner.add_idle(self)
        else:
            self.timer = self.owner.loop.call_later(QUARANTINE_S, self._quarantine_over)

    def _quarantine_over(self) -> None:
        self.timer = None
        if not self.closed:
            self.owner.add_idle(self)

    def _finish_attempt(self, attempt_result: AttemptResult) -> None:
        """End the attempt that this connection cannot carry any further."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.connection = None
            attempt.finish(attempt_result.verdict, attempt_result.result)

    # Closing.

    def drop(self) -> None:
        """Close the connection now. Bytes of a request that the worker has not taken must not reach it."""
        self.attempt = None
        if self.transport is None:
            self._connect_failed()
            return
        self.closed = True
        if self.undelivered_bytes:
            self.reset()
        else:
            self.abort()

    def eof_received(self) -> bool:
        """Handle the worker's close: it completes a response without a length and cuts off any other."""
        end = self.parser.eof() if self.attempt is not None else None
        if end is not None:
            try:
                self._response_complete(end.keep_alive)
            except (ValueError, RecursionError) as error:
                log.warning("peer.nonsense", error=str(error)[:200])
                self._finish_attempt(AttemptResult(i.Verdict.ERROR))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Release an open connection; the only place where this happens."""
        self.closed, self.sock = True, None
        if self.timer is not None:
            self.timer.cancel()
        self.owner.remove_connection(self)
        self._finish_attempt(
            AttemptResult(i.Verdict.RESET if self.request_sent else i.Verdict.CONNECT_FAILED)
        )
