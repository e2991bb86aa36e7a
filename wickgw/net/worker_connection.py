"""One connection to a label worker: it opens, carries one attempt at a time, and idles between them.

It is given back in `connection_lost` or, before it has a transport, in `_give_up_opening`. It must never
write an attempt twice, nor call one "never ran" unless its last byte was still here.
"""

import asyncio
import errno
import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from wickgw import interface as i
from wickgw.facts import read_load, read_share
from wickgw.net import http
from wickgw.net.attempt import Attempt
from wickgw.net.job_events import LAST_VERDICTS, read_event
from wickgw.net.listen import address
from wickgw.net.sockets import Connection
from wickgw.observe import logger

if TYPE_CHECKING:
    from wickgw.net.worker_connections import WorkerConnections

log = logger("wickgw")
MAX_LINE_BYTES = http.MAX_BODY + 4096  # a job event: the largest result and what stands around it
MAX_RESPONSE_BYTES = 1 << 20  # all lines of one attempt: hours of progress
# Seconds that a connection rests after an answer without the request's id, or one that hands it back, before
# it carries another attempt: a second one, some milliseconds late, would be taken for the next attempt's, and
# "never ran" for the truth.
REST_S = 0.05
FRAMING_END_S = 1.0  # seconds that the framing may end after the last job event


class Ending(NamedTuple):
    """How an attempt has ended."""

    verdict: i.Verdict
    result: bytes = b""  # what the worker made, for OK


@dataclass(slots=True, eq=False)
class WorkerEndpoint:
    """One label worker: where it listens and which connections to it are idle, the newest last."""

    address: str
    since: float | None  # its last start
    listed: bool = True  # as it stands here; False once it is gone, has moved or has started anew
    idle: list["WorkerConnection"] = field(default_factory=list)


class WorkerConnection(Connection):
    """One connection to a worker: it opens, carries one attempt at a time, and idles between them."""

    def __init__(self, pool: "WorkerConnections", endpoint: WorkerEndpoint, attempt: Attempt) -> None:
        self.pool, self.endpoint = pool, endpoint
        self.attempt: Attempt | None = attempt
        self.parser = http.ResponseParser()
        self.status: http.Head | None = None
        self.outcome: Ending | None = None  # what the last line said
        self.line = bytearray()
        self.size = 0
        self.written = False  # the last byte of the attempt's request has left the transport's buffer
        self.closed = False
        self.idle_since = 0.0
        self.adopted = False  # the socket is the transport's, or on its way there
        self.begun = False  # bytes of a request have been given to the transport
        self.timer: asyncio.TimerHandle | None = None  # bounds the opening, or the wait for the framing's end

    # Opening.

    def open(self) -> None:
        """Begin to connect. Whatever goes wrong ends the attempt as could-not-connect."""
        loop = self.pool.loop
        try:
            self.sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            code = sock.connect_ex(address(self.endpoint.address))
        except (OSError, ValueError) as error:
            log.warning("try.no-socket", error=str(error))
            self._give_up_opening()
            return
        if code not in (0, errno.EINPROGRESS):
            self._give_up_opening()
            return
        self.timer = loop.call_later(self.pool.connect_timeout, self._give_up_opening)
        loop.add_writer(sock.fileno(), self._connected)

    def _connected(self) -> None:
        assert self.sock is not None
        self.pool.loop.remove_writer(self.sock.fileno())
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._give_up_opening()
        else:
            self.adopted = True
            self.pool.sockets.adopt(self.sock, self)

    def _give_up_opening(self) -> None:
        """Refused, out of reach, or no longer wanted: nothing was written, so the attempt never ran."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.closed:
            return
        self.closed = True
        if self.sock is not None and not self.adopted:
            self.pool.loop.remove_writer(self.sock.fileno())
            self.sock.close()
        self.sock = None
        if not self.adopted:
            self.pool.forget(self)
        self._end(Ending(i.Verdict.CONNECT_FAILED))

    def never_opened(self) -> None:
        """No transport could be had for its socket."""
        self.adopted = False
        self.sock = None
        if self.closed:
            self.pool.forget(self)
        else:
            self._give_up_opening()

    def opened(self) -> None:
        """The connection can be written to."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.closed or self.attempt is None:  # given up while the transport was made
            self.abort()
            return
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)  # resume_writing then means: all is written
        self.pool.opened += 1
        self._write()

    # Carrying an attempt.

    def carry(self, attempt: Attempt) -> None:
        """Take an attempt on this idle connection."""
        self.attempt, self.begun = attempt, False
        self._write()

    def _write(self) -> None:
        assert self.attempt is not None and self.transport is not None
        if not self.pool.dispatcher.may_write(self.attempt.pending):
            if self.attempt is not None:  # not withdrawn with its request
                self.attempt.give_up(i.Verdict.NOT_SENT)
            return
        self.status, self.outcome, self.size, self.written = None, None, 0, False
        self.line.clear()
        self.begun = True
        self.pool.opening.discard(self.attempt)
        self.transport.write(self.attempt.request())
        # A write that fails at once leaves the buffer empty too, but nothing of it was sent: the transport
        # is closing then.
        if not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            self.written = True

    def resume_writing(self) -> None:
        """The transport's buffer is empty again: the last byte has left."""
        self.written = True

    def received(self, data: bytes) -> None:
        """Bytes of an answer came."""
        if self.attempt is None:  # nothing was asked for, or the attempt is given up
            self.drop()
            return
        try:
            for part in self.parser.feed(data):
                if self.attempt is None:  # given up by what the part before it led to
                    return
                if isinstance(part, http.Head):
                    self.status = part
                elif isinstance(part, http.End):
                    self._whole(part.keep)
                else:
                    self._body(part)
        except (http.HttpError, ValueError, RecursionError) as error:  # the last: JSON nested without end
            log.warning("peer.nonsense", error=str(error)[:200])
            self._end(self.outcome or Ending(i.Verdict.ERROR))
            self.drop()
            return
        if self.outcome is not None and self.attempt is not None and not self.attempt.over:
            # The last line is in and the end of the framing is not: the answer does not wait for it.
            self.timer = self.pool.loop.call_later(FRAMING_END_S, self.drop)
            self.attempt.end(self.outcome.verdict, self.outcome.result)

    def _body(self, piece: bytes) -> None:
        self.size += len(piece)
        if self.size > MAX_RESPONSE_BYTES:
            raise ValueError("response too long")
        if self.status is None or self.status.status != 200:
            return
        self.line += piece
        while (end := self.line.find(b"\n")) >= 0:
            line = bytes(self.line[:end])
            del self.line[: end + 1]
            if line.strip():
                self._event(line)
        if len(self.line) > MAX_LINE_BYTES:
            raise ValueError("job event too long")

    def _event(self, line: bytes) -> None:
        """A job event: what it says of the attempt. A last one is kept until the framing is looked at, so
        that the connection is in the pool by the time the Balancer counts on it."""
        attempt = self.attempt
        if attempt is None:
            return
        if self.outcome is not None:
            raise ValueError("job event after the last one")
        event = read_event(line, attempt.pending.id)
        attempt.free = read_load(event.load, self.pool.free_slots)
        dispatcher, request, number = self.pool.dispatcher, attempt.pending.id, attempt.number
        match event.state:
            case "started":
                dispatcher.started(request, number)
            case "running":
                dispatcher.progress(request, number, read_share(event.share))
            case "done":
                self.outcome = Ending(i.Verdict.OK, (event.result or "").encode())
            case state if state in LAST_VERDICTS:
                self.outcome = Ending(LAST_VERDICTS[state])
            case _:
                raise ValueError("job event of an unknown state")

    def _response_ending(self) -> Ending:
        """What a whole response means for its attempt."""
        assert self.status is not None
        status, declined = self.status.status, self.status.headers.get("srv-declined") == "1"
        if self.outcome is not None:
            return self.outcome
        if status == 200:
            return Ending(i.Verdict.RESET)  # it ended before its last line
        if status in (503, 504) and declined:
            return Ending(i.Verdict.FULL)
        if 400 <= status < 500 and status not in (408, 429):
            return Ending(i.Verdict.UNUSABLE)  # the request's fault, not the worker's
        return Ending(i.Verdict.ERROR)

    def _whole(self, keep: bool) -> None:
        """The response is in: what it means if no job event has said it, and the connection idles."""
        assert self.status is not None
        if self.status.status == 200 and self.line.strip():
            self._event(bytes(self.line))  # a last line without its end
            if self.attempt is None:  # given up by what the line led to
                return
        ending = self._response_ending()
        attempt, self.attempt = self.attempt, None
        if attempt is not None and self.status.status != 200:
            attempt.free = self.pool.free_told(self.status)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if keep and self.parser.between and self.written:
            self._rest_or_idle(ending)
        else:
            self.drop()
        if attempt is not None:
            attempt.connection = None
            attempt.end(ending.verdict, ending.result)

    def _rest_or_idle(self, ending: Ending) -> None:
        """The connection may carry another attempt: at once, or after a rest. Its lines name the request that
        they are about, but one handed back may come here once more."""
        assert self.status is not None
        if self.status.status == 200 and ending.verdict is not i.Verdict.FULL:
            self.pool.idle(self)
        else:
            self.timer = self.pool.loop.call_later(REST_S, self._rested)

    def _rested(self) -> None:
        self.timer = None
        if not self.closed:
            self.pool.idle(self)

    def _end(self, ending: Ending) -> None:
        """The connection can't carry its attempt any further."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.connection = None
            attempt.end(ending.verdict, ending.result)

    # Closing.

    def drop(self) -> None:
        """Close it now. An unwritten rest must not be sent, so it is aborted, not closed."""
        self.attempt = None
        if self.transport is None:
            self._give_up_opening()
            return
        self.closed = True
        self.abort()

    def eof_received(self) -> bool:
        """The worker has ended: a response without a length is whole, any other is broken off."""
        end = self.parser.eof() if self.attempt is not None else None
        if end is not None:
            try:
                self._whole(end.keep)
            except (ValueError, RecursionError) as error:
                log.warning("peer.nonsense", error=str(error)[:200])
                self._end(Ending(i.Verdict.ERROR))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The one place where an open connection is given back."""
        self.closed, self.sock = True, None
        if self.timer is not None:
            self.timer.cancel()
        self.pool.forget(self)
        self._end(Ending(i.Verdict.RESET if self.written else i.Verdict.CONNECT_FAILED))
