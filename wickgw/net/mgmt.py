"""The management port: the listening socket for operators' calls, and its connections.

Owns the listening socket of the setting `mgmt`, the connection of each caller and the one timer for their
deadlines. `wickgw.service.calls` decides whether a call is complete and valid; the node carries it out. Input
is bounded, and silent callers cannot take the descriptors of clients.
"""

import asyncio
import itertools
import socket
from collections.abc import Callable

from wickgw.net.sockets import Connection, Sockets
from wickgw.observe import get_logger
from wickgw.service import calls as service_calls

log = get_logger("wickgw")
ACCEPT_PAUSE_S = 0.05  # pause after a failed accept, or while many callers wait for a transport


class Caller(Connection):
    """The connection of one caller."""

    def __init__(self, server: "ManagementServer", number: int) -> None:
        self.server, self.number = server, number

    def opened(self) -> None:
        """Report the opened connection."""
        self.server.handle(service_calls.Opened(self.number))

    def received(self, data: bytes) -> None:
        """Report received bytes."""
        self.server.handle(service_calls.Read(self.number, data))

    def reply(self, line: str) -> None:
        """Write the one answer and end the sending side. The caller closes, or is disconnected later."""
        self.discarding = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(line.encode("ascii", "replace") + b"\n")
            self.transport.write_eof()

    def eof_received(self) -> bool:
        """Close the transport when the caller ends its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the connection; the only place where this happens."""
        self.sock = None
        self.server.remove(self)

    def open_failed(self) -> None:
        """Forget the caller, whose socket got no transport."""
        self.server.remove(self)


CallHandler = Callable[[service_calls.Call], tuple[bool, str]]


class ManagementServer:
    """The listener of the management port and its callers.

    `handle_call` carries out a call and returns whether it was accepted, and the text of the reply.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sockets: Sockets, sock: socket.socket, handle_call: CallHandler
    ) -> None:
        self.loop, self.sockets, self.handle_call = loop, sockets, handle_call
        self.calls = service_calls.Calls(sockets.max_callers)
        self.callers: dict[int, Caller] = {}
        self._numbers = itertools.count()
        self._timer: asyncio.TimerHandle | None = None
        self._resume_timer: asyncio.TimerHandle | None = None
        self.sock = sock
        self.address: tuple[str, int] = self.sock.getsockname()
        loop.add_reader(self.sock.fileno(), self._accept)

    def _accept(self) -> None:
        while len(self.callers) < 2 * self.sockets.max_callers:
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                # Out of descriptors: retry after a pause, since callers that reach their deadline free some.
                log.warning("mgmt.accept-failed", error=str(error))
                break
            sock.setblocking(False)
            caller = Caller(self, next(self._numbers))
            self.callers[caller.number] = caller
            self.sockets.open_transport(sock, caller, side="mgmt")
        self.loop.remove_reader(self.sock.fileno())
        self._resume_timer = self.loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        self._resume_timer = None
        try:
            self.loop.add_reader(self.sock.fileno(), self._accept)
        except (OSError, MemoryError) as error:  # otherwise nobody would ever accept again
            log.warning("mgmt.accept-failed", error=str(error))
            self._resume_timer = self.loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting)
            return
        self._accept()

    def handle(self, event: service_calls.Event) -> None:
        """Pass an event to `Calls` and carry out the resulting actions."""
        for action in self.calls.handle(event, self.loop.time()):
            caller = self.callers.get(action.caller)
            if caller is None:
                continue
            if isinstance(action, service_calls.Drop):
                self.callers.pop(action.caller, None)
                caller.abort()
            elif isinstance(action, service_calls.Refuse):
                caller.reply(f"NAK {action.reason}")
            else:
                accepted, text = self.handle_call(action.call)
                caller.reply(f"{'ACK' if accepted else 'NAK'} {text}")
        self._set_timer()

    def _set_timer(self) -> None:
        deadline = self.calls.next_deadline()
        if self._timer is not None and (deadline is None or self._timer.when() > deadline):
            self._timer.cancel()
            self._timer = None
        if deadline is not None and self._timer is None:
            self._timer = self.loop.call_at(deadline, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.handle(service_calls.Tick())

    def remove(self, caller: Caller) -> None:
        """Forget a caller whose connection is closed."""
        if self.callers.pop(caller.number, None) is not None:
            self.handle(service_calls.Closed(caller.number))

    def close(self) -> None:
        """Cancel the timers, stop listening and close every connection."""
        for handle in (self._timer, self._resume_timer):
            if handle is not None:
                handle.cancel()
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()
        for caller in list(self.callers.values()):
            caller.abort()
