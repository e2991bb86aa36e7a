"""The list of peers: fetched whole once, then watched.

Owns the one connection to discovery, its timers, and the version of the list that is held. News is handed
on in the same callback that read it, since it counts as told when its bytes arrive. It must never forget
the list because discovery fails, and never hand on a list it could not read to the end.
"""

import asyncio
import errno
import json
import random
import socket
from collections.abc import Callable
from typing import Any, NamedTuple

from wickgw import interface as i
from wickgw.net import http
from wickgw.net.dispatch import Clock
from wickgw.net.listen import address
from wickgw.net.sockets import Connection, Sockets
from wickgw.observe import logger

log = logger("wickgw")
WAIT = 10.0  # seconds that a watch may stay silent because nothing changes
# Seconds after which news counts as told, arrived or not: since a watch fell silent; since its wait was over.
TOLD, TOLD_AFTER_WAIT = 6.0, 2.0
LATE = 1.5  # seconds until silence means that discovery, or the way to it, is down
# An overbooked service serves calls in turn, the wait of a watch begins in its turn, and a call that
# is given up costs it its work all the same: its place in the line is worth more than asking anew.
IN_LINE = 2.5
FIRST_BACKOFF, MOST_BACKOFF = 0.05, 2.0  # seconds, for a fleet of FEW; more callers keep as many times longer
FEW, LONGEST_BACKOFF = 3, 8.0
# Of the time without a call after which what is listed counts as told: a pause, and the call after it, fit.
OF_WITHIN = 0.8
# Seconds, at the longest, until a watch that fell silent is opened anew. What it missed counts as told 2 s
# after its wait, and IN_LINE is over by then: after a pause as long as a fleet's, jobs would still go to
# workers that drain.
SOON, SOON_TIMES = 0.3, 2  # how often in a row: what is silent each time is down
FETCH = 1.0  # seconds left for the call that brings what was missed
# Where lists are pushed an agent on this machine answers at once, and what it has counts as told: an answer
# is waited for so many times shorter than the drains' grace, within bounds in seconds.
OF_GRACE, LEAST_ANSWER, MOST_ANSWER = 4, 0.25, 1.0
FIRST_ANSWER, OF_AIM = 0.1, 4  # seconds that jobs wait for it at a start, or this part of the least aim
CHECK = 0.001  # seconds of the wait that shows whether the agent speaks, and brings what was missed
MAX_LIST = 4 << 20
REBUILT = 5  # whole lists in a row of an older version until it is believed that discovery began anew


def backoff(failures: int, dispatchers: int, within: float) -> float:
    """The longest pause after so many failures in a row. All of us ask the same service, and after a release
    or a loss all at once: what one may ask in a second gets less with the number of those who ask. No pause
    is as long as `within`, the seconds that may pass without asking."""
    callers = max(1.0, dispatchers / FEW)
    most = min(MOST_BACKOFF * callers, LONGEST_BACKOFF, OF_WITHIN * within)
    return min(most, FIRST_BACKOFF * callers * 2.0 ** min(failures, 10))


class Pace:
    """How long discovery is waited for and left alone, by when the settings call its news told."""

    def __init__(self, settings: i.Settings) -> None:
        self.pushed = not settings.ask_for_list
        self.dispatchers, grace = settings.dispatchers, settings.drain_grace
        # One who is asked by nobody may learn so late, and no later, where one call a change is dear.
        self.within = min(settings.ask_within, (TOLD + grace - 1.5 * FETCH) / OF_WITHIN)
        if self.pushed:
            # Two watches may fall silent one after the other before what the first missed counts as told.
            self.wait = min(WAIT, TOLD / 2)
            self.answer = max(LEAST_ANSWER, min(MOST_ANSWER, grace / OF_GRACE))
            self.opening = self.whole = self.silence = self.answer
            self.first = min(FIRST_ANSWER, min(c.aim for c in settings.classes) / OF_AIM)
        else:
            self.wait, self.opening, self.whole = WAIT, LATE, LATE + IN_LINE
            self.silence = max(LEAST_ANSWER, min(IN_LINE, TOLD_AFTER_WAIT + grace - SOON - FETCH))

    def pause(self, failures: int, soon: bool) -> tuple[float, float]:
        """The shortest and the longest pause after so many failures in a row."""
        if self.pushed:  # the agent serves nobody but us: only a loop without any pause would cost something
            most = min(self.answer / 2, FIRST_BACKOFF * 2.0 ** min(failures - 1, 10))
            return most / 2, most
        if soon:
            return 0.0, SOON
        most = backoff(failures, self.dispatchers, self.within)
        return most / 2, most


class Target(NamedTuple):
    """One worker of the list."""

    entry: i.Entry
    endpoint: str  # where it listens
    zone: str = ""  # by its name
    model: str = ""


class ListError(Exception):
    """What discovery sent is not a list."""


class ListReader:
    """Discovery's JSON as entries of the Balancer's list."""

    def __init__(self, clock: Clock, zones: tuple[str, ...]) -> None:
        self.clock, self.zones = clock, zones

    def read(self, text: bytes | str) -> tuple[int, bool, list[Target]]:
        """Version, whether it is whole, and what it names. Raises ListError."""
        try:
            return self.decode(json.loads(text))
        except (ValueError, RecursionError) as error:
            raise ListError(f"not JSON: {error}") from error

    def decode(self, message: Any) -> tuple[int, bool, list[Target]]:
        """The same for what is decoded already."""
        try:
            version, whole = message["rev"], message["all"]
            if type(version) is not int or type(whole) is not bool:
                raise ListError("not a list: rev or all is of another kind")
            return version, whole, [self._target(t) for t in message["targets"]]
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise ListError(f"not a list: {type(error).__name__}: {error}") from error

    def _target(self, t: Any) -> Target:
        uid, endpoint, zone = t["uid"], t["endpoint"], t.get("az", 0)
        if not isinstance(uid, str) or not isinstance(endpoint, str):
            raise ListError("a target without a name or an endpoint")
        address(endpoint)
        named, model = str(zone), str(t.get("model") or "")
        if isinstance(zone, str):  # a zone of no name that we know is nobody's home
            zone = self.zones.index(zone) if zone in self.zones else len(self.zones)
        since = self.clock.at_unix_ms(float(t.get("boot_ms") or 0))
        entry = i.Entry(uid, i.Health(t["state"]), int(zone), int(t.get("pod_group") or 0), since, model)
        return Target(entry, endpoint, named, model)


class DiscoveryConnection(Connection):
    """One connection to discovery, with one call at a time on it."""

    def __init__(self, discovery: "Discovery") -> None:
        self.discovery = discovery
        self.parser = http.ResponseParser()
        self.head: http.Head | None = None
        self.body = bytearray()

    def opened(self) -> None:
        self.discovery.connected(self)

    def never_opened(self) -> None:
        self.discovery.failed(self, "no transport")

    def call(self, target: str, host: str) -> None:
        """Send a call; its answer goes to `Discovery.answered`."""
        self.body.clear()
        if self.transport is not None:
            self.transport.write(http.request("GET", target, {"Host": host}))

    def received(self, data: bytes) -> None:
        try:
            for part in self.parser.feed(data):
                if isinstance(part, http.Head):
                    self.head = part
                elif isinstance(part, http.End):
                    self._whole(part.keep)
                else:
                    self.body += part
                    if len(self.body) > MAX_LIST:
                        raise http.HttpError(502, "list too long")
        except (http.HttpError, ListError) as error:
            self.discovery.failed(self, str(error)[:200])

    def _whole(self, keep: bool) -> None:
        if self.head is None or self.head.status != 200:
            raise ListError(f"status {self.head.status if self.head else 0}")
        self.discovery.answered(self, bytes(self.body), keep)

    def eof_received(self) -> bool:
        """The end of a list without a length, or the loss of the connection."""
        if (end := self.parser.eof()) is not None:
            try:
                self._whole(end.keep)
            except ListError as error:
                self.discovery.failed(self, str(error)[:200])
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.discovery.failed(self, "connection closed")


class Discovery:
    """Keeps the list and goes on asking for it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sockets: Sockets,
        where: str,
        reader: ListReader,
        tell: Callable[[i.ListKind, list[Target]], None],
        unheard: Callable[[], None],
        pace: Pace,
    ) -> None:
        self.loop, self.sockets, self.where, self.reader, self.tell = loop, sockets, where, reader, tell
        self.unheard, self.pace = unheard, pace
        self.heard = False  # the first call has ended, well or not, and the owner was told
        self.version: int | None = None  # of the list that is held
        self.confirmed = False  # that version is from discovery itself, not from the list known at the start
        self.failures = 0
        self.soon = SOON_TIMES  # silences after which what was missed is asked for at once
        self.missing = False  # news may be missed while the call that is out is silent
        self.checked = False  # this connection has brought an answer
        self.older = 0  # whole lists in a row that were older than ours
        self.ask_whole = False  # though a version is held: it is not to be built on
        self.connection: DiscoveryConnection | None = None
        self.opening: socket.socket | None = None
        self.timer: asyncio.TimerHandle | None = (
            None  # the one thing waited for: an answer, or the next attempt
        )
        self.closed = False

    def held(self, version: int) -> None:
        """The list known at the start has this version (below 0: none): only what changed since is asked for.
        A long answer costs an overbooked service more, and after a release most of us want one."""
        if version >= 0:
            self.version = version

    def open(self) -> None:
        """Connect and ask. Any failure is tried again after a growing pause."""
        self.checked = False
        self._wait(self.pace.opening, self._silent)
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError as error:
            self.failed(None, str(error))
            return
        self.opening = sock
        code = sock.connect_ex(address(self.where))
        if code not in (0, errno.EINPROGRESS):
            self.failed(None, "refused")
            return
        self.loop.add_writer(sock.fileno(), self._writable)

    def move(self, where: str) -> None:
        """Discovery is elsewhere from now on: the whole list is asked for there at once. Its versions are its
        own, so the version held says nothing of them; the list itself is kept until the new one is in."""
        self._lose(self.connection)
        self.where, self.version, self.failures, self.older = where, None, 0, 0
        self.soon, self.missing = SOON_TIMES, True
        self.open()

    def _writable(self) -> None:
        sock, self.opening = self.opening, None
        assert sock is not None
        self.loop.remove_writer(sock.fileno())
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            sock.close()
            self.failed(None, "refused")
            return
        self.connection = DiscoveryConnection(self)
        self.sockets.adopt(sock, self.connection)

    def connected(self, connection: DiscoveryConnection) -> None:
        """The connection can be written to."""
        if connection is self.connection:
            self._ask()
        else:
            connection.abort()

    def _ask(self) -> None:
        assert self.connection is not None
        if self.version is None or self.ask_whole:
            self._wait(self.pace.whole, self._silent)
            self.connection.call("/api/targets", self.where)
            return
        self.missing = True
        # The first call on a connection does not wait where that costs nothing: silence means something then.
        wait = CHECK if self.pace.pushed and not self.checked else self.pace.wait
        self._wait(wait + self.pace.silence, self._silent)
        self.connection.call(f"/api/targets?index={self.version}&wait={round(wait * 1000)}", self.where)

    def answered(self, connection: DiscoveryConnection, body: bytes, keep: bool) -> None:
        """A list or changes are in: hand them on, then ask for the next at once. Raises ListError."""
        if connection is not self.connection:
            return
        version, whole, targets = self.reader.read(body)
        if self.version is not None and version < self.version:
            self.older += whole
            self.ask_whole = True
            if not whole or (self.confirmed and self.older < REBUILT):
                raise ListError(f"version {version} after {self.version}")
            log.warning("discovery.anew", version=version)
        if not whole and self.version is None:
            raise ListError("changes to a list never given")
        self.failures = self.older = 0
        self.soon, self.missing, self.checked = SOON_TIMES, False, True
        self.ask_whole, self.confirmed = False, True
        if whole or targets or not self.heard:
            self.heard = True
            self.tell(i.ListKind.REPLACE if whole else i.ListKind.UPDATE, targets)
        self.version = version
        if keep:
            self._ask()
        else:
            self._lose(connection)
            self.open()

    def failed(self, connection: DiscoveryConnection | None, why: str, soon: bool = False) -> None:
        """Discovery is out of reach or talks nonsense: the list is kept, and it is asked again in a while, or
        at once if it is only the way to it that is broken."""
        if self.closed or connection is not self.connection:
            return
        self._lose(connection)
        self.failures += 1
        least, most = self.pace.pause(self.failures, soon)
        if self.failures in (1, 10, 100):
            log.warning("discovery.failed", why=str(why), failures=self.failures)
        self._wait(random.uniform(least, most), self.open)
        if not self.heard:
            self.heard = True
            self.unheard()

    def _silent(self) -> None:
        soon = self.missing and self.soon > 0
        self.soon -= soon
        self.failed(self.connection, "silent", soon)

    def _wait(self, seconds: float, then: Callable[[], None]) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.pace.pushed and not self.heard:
            seconds = min(seconds, self.pace.first)
        self.timer = self.loop.call_later(seconds, then)

    def _lose(self, connection: DiscoveryConnection | None) -> None:
        """Give back the socket, at whatever stage it is."""
        self.connection = None
        if self.opening is not None:
            self.loop.remove_writer(self.opening.fileno())
            self.opening.close()
            self.opening = None
        if connection is not None:
            connection.abort()

    def close(self) -> None:
        """Stop asking and give everything back."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self._lose(self.connection)
