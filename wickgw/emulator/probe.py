"""A client that asks all the time, and says from outside who answered on an address, and when nobody did.

Owns its connections and one thread. Two kinds of askers: some open a connection for each question, since a
new one may reach anybody who listens; some keep theirs, since an old one may be answered by who holds no
more. Each answer names its instance and term. It must never learn anything but from answers.
"""

import itertools
import json
import selectors
import socket
import threading
import time
from dataclasses import dataclass

GIVE_UP = 0.25  # seconds without an answer before an asker asks again, on a new connection


@dataclass(frozen=True, slots=True)
class Seen:
    """One answer."""

    asked: float
    answered: float
    name: str
    term: int


class _Asker:
    def __init__(self, probe: "Probe", keeps: bool) -> None:
        self.probe, self.keeps = probe, keeps
        self.sock: socket.socket | None = None
        self.asked = self.due = 0.0
        self.data = b""

    def ask(self, now: float) -> None:
        self.asked, self.data = now, b""
        if self.sock is None:
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            self.sock.connect_ex(self.probe.where)
            self.probe.selector.register(self.sock, selectors.EVENT_WRITE, self)
        else:
            self.write()

    def write(self) -> None:
        assert self.sock is not None
        self.probe.selector.modify(self.sock, selectors.EVENT_READ, self)
        try:
            self.sock.send(b"GET /-/address HTTP/1.1\r\nHost: probe\r\n\r\n")
        except OSError:
            self.drop()

    def read(self, now: float) -> None:
        assert self.sock is not None
        try:
            piece = self.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            piece = b""
        if not piece:
            self.drop()
            return
        self.data += piece
        head, end, body = self.data.partition(b"\r\n\r\n")
        if not end:
            return
        length = next(
            int(x.split(b":")[1]) for x in head.split(b"\r\n") if x.lower().startswith(b"content-length")
        )
        if len(body) < length:
            return
        said = json.loads(body)
        term = said["addresses"][self.probe.address]["term"]
        self.probe.seen.append(Seen(self.asked, now, said["me"], term))
        self.asked = 0.0
        self.due = now + self.probe.every
        if not self.keeps or b"connection: close" in head.lower():
            self.drop()

    def drop(self) -> None:
        if self.sock is not None:
            self.probe.selector.unregister(self.sock)
            self.sock.close()
            self.sock = None
        self.asked = 0.0
        self.due = max(self.due, time.monotonic() + 0.001)


class Probe:
    """Asks at `where` until it is closed; `seen` grows."""

    def __init__(self, where: tuple[str, int], address: str, fresh: int = 4, kept: int = 4) -> None:
        self.where, self.address, self.every = where, address, 0.004
        self.seen: list[Seen] = []
        self.selector = selectors.DefaultSelector()
        self._askers = [_Asker(self, n >= fresh) for n in range(fresh + kept)]
        self._ends = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._ends:
            for key, mask in self.selector.select(0.001):
                asker: _Asker = key.data
                if mask & selectors.EVENT_WRITE:
                    asker.write()
                else:
                    asker.read(time.monotonic())
            now = time.monotonic()
            for asker in self._askers:
                if asker.asked and now > asker.asked + GIVE_UP:
                    asker.drop()
                elif not asker.asked and now >= asker.due:
                    asker.ask(now)
        for asker in self._askers:
            asker.drop()

    def close(self) -> None:
        """End the thread."""
        self._ends = True
        self._thread.join(5)
        self.selector.close()

    def wait_for(self, name: str | None, after: float, patience: float = 10.0, but: str = "") -> Seen:
        """The first answer of `name` (or of anybody but `but`) asked after a moment. Raises TimeoutError."""
        end = time.monotonic() + patience
        while time.monotonic() < end:
            for seen in reversed(self.seen[-200:]):
                if seen.asked >= after and seen.name != but and name in (None, seen.name):
                    return next(
                        s for s in self.seen if s.asked >= after and s.name != but and name in (None, s.name)
                    )
            time.sleep(0.002)
        raise TimeoutError("no such answer")

    def overlap(self) -> float:
        """Seconds for which answers of two instances crossed, at most: from the first answer of one to the
        last of the other. What the client itself took to read them is in it."""
        reigns: dict[tuple[str, int], tuple[float, float]] = {}
        for seen in sorted(self.seen, key=lambda s: s.answered):
            first, _ = reigns.get((seen.name, seen.term), (seen.answered, 0.0))
            reigns[seen.name, seen.term] = first, seen.answered
        spans = sorted((first, last, who) for who, (first, last) in reigns.items())
        worst = 0.0
        for k, (_, last, who) in enumerate(spans):
            for first, other_last, other in spans[k + 1 :]:
                if other[0] != who[0]:
                    worst = max(worst, min(last, other_last) - first)
        return worst

    def away(self, since: float, until: float) -> float:
        """The longest time without an answer in a stretch, in seconds."""
        times = [since, *sorted(s.answered for s in self.seen if since <= s.answered <= until), until]
        return max(b - a for a, b in itertools.pairwise(times))
