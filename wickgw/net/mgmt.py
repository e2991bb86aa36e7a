"""The second address: the socket that operators' calls come to, and its connections.

Owns the listening socket of `mgmt`, every caller's connection and the one timer that the callers' deadlines
share. What a call means, and whether it is whole, is decided in `wickgw.service.calls`; what the node says to
it is the node's. It must never read more than the bounds of a call allow, nor let callers that say nothing
take the descriptors of clients.
"""

import asyncio
import itertools
import socket
from collections.abc import Callable

from wickgw.net.sockets import Connection, Sockets
from wickgw.observe import logger
from wickgw.service import calls as c

log = logger("wickgw")
ACCEPT_PAUSE = 0.05  # seconds without accepting after it failed


class Caller(Connection):
    """One caller's connection."""

    def __init__(self, mgmt: "Mgmt", number: int) -> None:
        self.mgmt, self.number = mgmt, number

    def opened(self) -> None:
        self.mgmt.handle(c.Opened(self.number))

    def received(self, data: bytes) -> None:
        self.mgmt.handle(c.Read(self.number, data))

    def say(self, line: str) -> None:
        """The one answer; this side ends its sending, and the caller closes, or is let go at its linger."""
        self.discarding = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(line.encode("ascii", "replace") + b"\n")
            self.transport.write_eof()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The one place where a caller's connection is given back."""
        self.sock = None
        self.mgmt.forget(self)

    def never_opened(self) -> None:
        self.mgmt.forget(self)


Carry = Callable[[c.Call], tuple[bool, str]]


class Mgmt:
    """The listener of the second address and its callers."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sockets: Sockets, sock: socket.socket, carry: Carry
    ) -> None:
        self.loop, self.sockets, self.carry = loop, sockets, carry
        self.calls = c.Calls(sockets.for_calls)
        self.callers: dict[int, Caller] = {}
        self._numbers = itertools.count()
        self._timer: asyncio.TimerHandle | None = None
        self._resume: asyncio.TimerHandle | None = None
        self.sock = sock
        self.where: tuple[str, int] = self.sock.getsockname()
        loop.add_reader(self.sock.fileno(), self._accept)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except (
                OSError
            ) as error:  # out of descriptors: look again in a moment, the callers' deadlines free some
                log.warning("mgmt.accept-failed", error=str(error))
                self.loop.remove_reader(self.sock.fileno())
                self._resume = self.loop.call_later(ACCEPT_PAUSE, self._accept_again)
                return
            sock.setblocking(False)
            caller = Caller(self, next(self._numbers))
            self.callers[caller.number] = caller
            self.sockets.adopt(sock, caller, side="mgmt")

    def _accept_again(self) -> None:
        self._resume = None
        self.loop.add_reader(self.sock.fileno(), self._accept)
        self._accept()

    def handle(self, event: c.Event) -> None:
        """Feed the core and do what it says."""
        for action in self.calls.handle(event, self.loop.time()):
            caller = self.callers.get(action.caller)
            if caller is None:
                continue
            if isinstance(action, c.Drop):
                self.callers.pop(action.caller, None)
                caller.abort()
            elif isinstance(action, c.Refuse):
                caller.say(f"NAK {action.reason}")
            else:
                ok, text = self.carry(action.call)
                caller.say(f"{'ACK' if ok else 'NAK'} {text}")
        self._arm()

    def _arm(self) -> None:
        due = self.calls.next_due()
        if self._timer is not None and (due is None or self._timer.when() > due):
            self._timer.cancel()
            self._timer = None
        if due is not None and self._timer is None:
            self._timer = self.loop.call_at(due, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.handle(c.Tick())

    def forget(self, caller: Caller) -> None:
        if self.callers.pop(caller.number, None) is not None:
            self.handle(c.Gone(caller.number))

    def close(self) -> None:
        """Give everything back."""
        for handle in (self._timer, self._resume):
            if handle is not None:
                handle.cancel()
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()
        for caller in list(self.callers.values()):
            caller.abort()
