"""A relay for datagrams that injects faults: each ordered pair of instances has a link of its own.

Owns its sockets and one thread. What goes in comes out at the other end, unless a fault says otherwise. It
must never look into a datagram.
"""

import heapq
import itertools
import random
import selectors
import socket
import threading
import time
from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Weather:
    """What links do to datagrams: shares of 1, and seconds."""

    loss: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    delay: float = 0.2  # of the late ones, at most
    replayed: float = 0.0


class Relay:
    """Links between `members`, whose own sockets are at `where`."""

    def __init__(self, where: dict[str, Address], seed: int = 1) -> None:
        self.where = where
        self.blocked: frozenset[tuple[str, str]] = frozenset()
        self.weather = Weather()
        self.random = random.Random(seed)
        self.links: dict[tuple[str, str], socket.socket] = {}
        self.carried = 0
        self._selector = selectors.DefaultSelector()
        self._later: list[tuple[float, int, bytes, Address]] = []
        self._serial = itertools.count()
        self._old: list[tuple[bytes, Address]] = []
        for pair in itertools.permutations(where, 2):
            link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
            link.bind(("127.0.0.1", 0))
            self.links[pair] = link
            self._selector.register(link, selectors.EVENT_READ, pair)
        self._wake, self._woken = socket.socketpair()
        self._selector.register(self._woken, selectors.EVENT_READ, None)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def at(self, sender: str, receiver: str) -> str:
        """Where `sender` sends what is meant for `receiver`."""
        host, port = self.links[sender, receiver].getsockname()
        return f"{host}:{port}"

    def isolate(self, *names: str) -> None:
        """Cut these off from all others, and leave them together."""
        inside = set(names)
        self.blocked = frozenset(pair for pair in self.links if (pair[0] in inside) != (pair[1] in inside))

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Links that carry nothing, in that direction."""
        self.blocked = frozenset(pairs)

    def mend(self) -> None:
        """All links carry again."""
        self.blocked, self.weather = frozenset(), Weather()

    def _run(self) -> None:
        out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        while True:
            wait = max(0.0, self._later[0][0] - time.monotonic()) if self._later else None
            for key, _ in self._selector.select(wait):
                if key.data is None:
                    out.close()
                    return
                self._carry(key.fileobj, key.data, out)  # type: ignore[arg-type]
            while self._later and self._later[0][0] <= time.monotonic():
                _, _, data, to = heapq.heappop(self._later)
                out.sendto(data, to)

    def _carry(self, link: socket.socket, pair: tuple[str, str], out: socket.socket) -> None:
        data, weather, draw = link.recv(65536), self.weather, self.random.random
        if pair in self.blocked or draw() < weather.loss:
            return
        to = self.where[pair[1]]
        self.carried += 1
        if draw() < weather.late:
            self._send_later(draw() * weather.delay, data, to)
        else:
            out.sendto(data, to)
        if draw() < weather.doubled:
            out.sendto(data, to)
        if weather.replayed:
            self._old = [*self._old[-200:], (data, to)]
            if draw() < weather.replayed:
                out.sendto(*self.random.choice(self._old))

    def _send_later(self, after: float, data: bytes, to: Address) -> None:
        heapq.heappush(self._later, (time.monotonic() + after, next(self._serial), data, to))

    def close(self) -> None:
        """End the thread and close the links."""
        self._wake.send(b".")
        self._thread.join(5)
        for link in self.links.values():
            link.close()
        self._wake.close()
        self._woken.close()
        self._selector.close()
