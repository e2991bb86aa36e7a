"""A client that polls a service address and records which dispatcher answered, and when none did.

The probe owns its connections and one thread. Some pollers open a new connection for each request, because a
new connection reaches any process that listens. The others keep their connection, because a former holder may
still answer on an old one. Each answer names its dispatcher and term. Every conclusion comes from answers
alone.
"""

import itertools
import json
import selectors
import socket
import threading
import time
from dataclasses import dataclass

ANSWER_TIMEOUT_S = 0.25  # after this time a poller drops its connection and asks again on a new one


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """One answer; times are of the monotonic clock, in seconds."""

    sent_at: float
    answered_at: float
    name: str  # of the dispatcher
    term: int


class _Poller:
    """One connection at a time, on which the probe sends one request after another.

    Args:
        probe: The probe that collects the answers.
        keeps_connection: Whether further requests use the same connection.
    """

    def __init__(self, probe: "AddressProbe", keeps_connection: bool) -> None:
        self.probe, self.keeps_connection = probe, keeps_connection
        self.sock: socket.socket | None = None
        self.sent_at = self.due = 0.0
        self.data = b""

    def send(self, now: float) -> None:
        """Begin a request at `now`, connecting first if there is no connection."""
        self.sent_at, self.data = now, b""
        if self.sock is None:
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            self.sock.connect_ex(self.probe.service_address)
            self.probe.selector.register(self.sock, selectors.EVENT_WRITE, self)
        else:
            self.write()

    def write(self) -> None:
        """Write the request."""
        assert self.sock is not None
        self.probe.selector.modify(self.sock, selectors.EVENT_READ, self)
        try:
            self.sock.send(b"GET /-/address HTTP/1.1\r\nHost: probe\r\n\r\n")
        except OSError:
            self.drop()

    def read(self, now: float) -> None:
        """Read what has arrived, and record the answer once it is complete."""
        assert self.sock is not None
        try:
            chunk = self.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            chunk = b""
        if not chunk:
            self.drop()
            return
        self.data += chunk
        head, end, body = self.data.partition(b"\r\n\r\n")
        if not end:
            return
        length = next(
            int(line.split(b":")[1])
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"content-length")
        )
        if len(body) < length:
            return
        report = json.loads(body)
        term = report["addresses"][self.probe.address]["term"]
        self.probe.answers.append(ProbeAnswer(self.sent_at, now, report["me"], term))
        self.sent_at = 0.0
        self.due = now + self.probe.interval_s
        if not self.keeps_connection or b"connection: close" in head.lower():
            self.drop()

    def drop(self) -> None:
        """Close the connection; the next request is due after 1 ms at the earliest."""
        if self.sock is not None:
            self.probe.selector.unregister(self.sock)
            self.sock.close()
            self.sock = None
        self.sent_at = 0.0
        self.due = max(self.due, time.monotonic() + 0.001)


class AddressProbe:
    """Polls a service address in a thread until it is closed; `answers` grows in the order of arrival.

    Args:
        service_address: Host and port of the service address.
        address: Name of the service address in the report of `GET /-/address`.
        new_connections: Number of pollers that open a connection for each request.
        kept_connections: Number of pollers that keep their connection.
    """

    def __init__(
        self,
        service_address: tuple[str, int],
        address: str,
        new_connections: int = 4,
        kept_connections: int = 4,
    ) -> None:
        self.service_address, self.address, self.interval_s = service_address, address, 0.004
        self.answers: list[ProbeAnswer] = []
        self.selector = selectors.DefaultSelector()
        self._pollers = [
            _Poller(self, n >= new_connections) for n in range(new_connections + kept_connections)
        ]
        self._closing = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._closing:
            for key, mask in self.selector.select(0.001):
                poller: _Poller = key.data
                if mask & selectors.EVENT_WRITE:
                    poller.write()
                else:
                    poller.read(time.monotonic())
            now = time.monotonic()
            for poller in self._pollers:
                if poller.sent_at and now > poller.sent_at + ANSWER_TIMEOUT_S:
                    poller.drop()
                elif not poller.sent_at and now >= poller.due:
                    poller.send(now)
        for poller in self._pollers:
            poller.drop()

    def close(self) -> None:
        """End the thread and close all connections."""
        self._closing = True
        self._thread.join(5)
        self.selector.close()

    def wait_for_answer(
        self, name: str | None, after: float, timeout_s: float = 10.0, excluding: str = ""
    ) -> ProbeAnswer:
        """Wait for the first answer to a request sent at `after` or later.

        Args:
            name: The dispatcher whose answer counts; None for any dispatcher other than `excluding`.
            after: Earliest time of the request, on the monotonic clock.
            timeout_s: Seconds to wait.
            excluding: A dispatcher whose answers do not count.

        Raises:
            TimeoutError: No such answer arrived in time.
        """
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            for answer in reversed(self.answers[-200:]):
                if answer.sent_at >= after and answer.name != excluding and name in (None, answer.name):
                    return next(
                        candidate
                        for candidate in self.answers
                        if candidate.sent_at >= after
                        and candidate.name != excluding
                        and name in (None, candidate.name)
                    )
            time.sleep(0.002)
        raise TimeoutError("no such answer")

    def longest_overlap_s(self) -> float:
        """Return the longest time in which two dispatchers both answered, in seconds.

        An overlap begins with the first answer of one dispatcher in a term. It ends with the last answer of
        another dispatcher whose term began earlier, or of the first dispatcher if that came before. The time
        that the probe itself took to read the answers is included.
        """
        terms: dict[tuple[str, int], tuple[float, float]] = {}
        for answer in sorted(self.answers, key=lambda a: a.answered_at):
            first, _ = terms.get((answer.name, answer.term), (answer.answered_at, 0.0))
            terms[answer.name, answer.term] = first, answer.answered_at
        spans = sorted((first, last, holder) for holder, (first, last) in terms.items())
        longest = 0.0
        for k, (_, last, holder) in enumerate(spans):
            for first, other_last, other in spans[k + 1 :]:
                if other[0] != holder[0]:
                    longest = max(longest, min(last, other_last) - first)
        return longest

    def longest_outage_s(self, since: float, until: float) -> float:
        """Return the longest time without an answer between two moments, in seconds."""
        times = [
            since,
            *sorted(answer.answered_at for answer in self.answers if since <= answer.answered_at <= until),
            until,
        ]
        return max(b - a for a, b in itertools.pairwise(times))
