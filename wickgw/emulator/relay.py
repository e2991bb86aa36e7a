"""A relay for datagrams that injects faults. Each ordered pair of instances has a link of its own.

The relay owns its sockets and one thread. A datagram that is sent to a link is forwarded to the receiving
instance unless a fault applies. The relay does not read the content of datagrams.
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
class LinkFaults:
    """Probabilities, from 0 to 1, with which a link mistreats a datagram."""

    loss: float = 0.0
    duplication: float = 0.0
    delayed: float = 0.0
    max_delay_s: float = 0.2  # of delayed datagrams; the delay is uniform
    replay: float = 0.0  # of sending one of the last 200 datagrams again


class DatagramRelay:
    """Links between all pairs of instances.

    Args:
        destinations: The datagram address of each instance, by its name.
        seed: Seed of the random faults.
    """

    def __init__(self, destinations: dict[str, Address], seed: int = 1) -> None:
        self.destinations = destinations
        self.blocked: frozenset[tuple[str, str]] = frozenset()
        self.faults = LinkFaults()
        self.random = random.Random(seed)
        self.links: dict[tuple[str, str], socket.socket] = {}
        self.forwarded = 0
        self._selector = selectors.DefaultSelector()
        self._delayed: list[tuple[float, int, bytes, Address]] = []
        self._serial = itertools.count()
        self._recent: list[tuple[bytes, Address]] = []
        for pair in itertools.permutations(destinations, 2):
            link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
            link.bind(("127.0.0.1", 0))
            self.links[pair] = link
            self._selector.register(link, selectors.EVENT_READ, pair)
        self._stop_sender, self._stop_receiver = socket.socketpair()
        self._selector.register(self._stop_receiver, selectors.EVENT_READ, None)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def endpoint(self, sender: str, receiver: str) -> str:
        """Return the `host:port` to which `sender` sends datagrams for `receiver`."""
        host, port = self.links[sender, receiver].getsockname()
        return f"{host}:{port}"

    def isolate(self, *names: str) -> None:
        """Block the links between these instances and all others, but not those among themselves."""
        inside = set(names)
        self.blocked = frozenset(pair for pair in self.links if (pair[0] in inside) != (pair[1] in inside))

    def block(self, *pairs: tuple[str, str]) -> None:
        """Block exactly these links, each a pair of sender and receiver."""
        self.blocked = frozenset(pairs)

    def heal(self) -> None:
        """Unblock all links and end all random faults."""
        self.blocked, self.faults = frozenset(), LinkFaults()

    def _run(self) -> None:
        out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        while True:
            timeout = max(0.0, self._delayed[0][0] - time.monotonic()) if self._delayed else None
            for key, _ in self._selector.select(timeout):
                if key.data is None:
                    out.close()
                    return
                self._forward(key.fileobj, key.data, out)  # type: ignore[arg-type]
            while self._delayed and self._delayed[0][0] <= time.monotonic():
                _, _, data, destination = heapq.heappop(self._delayed)
                out.sendto(data, destination)

    def _forward(self, link: socket.socket, pair: tuple[str, str], out: socket.socket) -> None:
        data, faults, draw = link.recv(65536), self.faults, self.random.random
        if pair in self.blocked or draw() < faults.loss:
            return
        destination = self.destinations[pair[1]]
        self.forwarded += 1
        if draw() < faults.delayed:
            self._send_later(draw() * faults.max_delay_s, data, destination)
        else:
            out.sendto(data, destination)
        if draw() < faults.duplication:
            out.sendto(data, destination)
        if faults.replay:
            self._recent = [*self._recent[-200:], (data, destination)]
            if draw() < faults.replay:
                out.sendto(*self.random.choice(self._recent))

    def _send_later(self, delay_s: float, data: bytes, destination: Address) -> None:
        heapq.heappush(self._delayed, (time.monotonic() + delay_s, next(self._serial), data, destination))

    def close(self) -> None:
        """End the thread and close the links."""
        self._stop_sender.send(b".")
        self._thread.join(5)
        for link in self.links.values():
            link.close()
        self._stop_sender.close()
        self._stop_receiver.close()
        self._selector.close()
