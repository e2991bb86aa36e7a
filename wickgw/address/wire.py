"""Datagrams between instances: encoded (msgspec), sealed (HMAC-SHA-256, RFC 2104), and read with suspicion.

A datagram is 3 bytes of version, 4 of the key's name, 16 of seal, and a MessagePack array: group, sender,
receiver, the sender's life, the receiver's life as the sender knows it, a sequence number, the message. The
seal covers everything else. What is not sealed with a known key, is of another group or to another instance,
was seen before, or is of an earlier life of either side is counted and dropped; beats alone may come from one
that does not know our life yet. Owns the counters of all that. It must never act on, or answer, a datagram
before its seal is checked.
"""

import hashlib
import hmac
from collections import Counter

import msgspec

from wickgw.address.keys import Keys
from wickgw.address.messages import Beat, Message
from wickgw.address.window import Window

VERSION = b"WA1"
KEY_NAME, SEAL = 4, 16  # bytes
HEAD = len(VERSION) + KEY_NAME + SEAL
MOST = 8192  # bytes of a datagram; a beat of 7 instances and 16 addresses takes about 1,200


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """What is sealed."""

    group: str
    sender: str
    to: str
    boot: int
    to_boot: int
    number: int
    message: Message


class Wire:
    """One instance's end of the wire."""

    def __init__(self, group: str, me: str, boot: int, members: tuple[str, ...], keys: Keys) -> None:
        self.group, self.me, self.boot, self.keys = group, me, boot, keys
        self.numbers = dict.fromkeys(members, 0)  # of the last datagram to each
        self.windows = {name: Window() for name in members if name != me}
        self.counted: Counter[str] = Counter()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Datagram)

    def seal(self, to: str, message: Message) -> bytes:
        """A datagram to another instance."""
        self.numbers[to] += 1
        known = self.windows[to].boot
        body = self._encoder.encode(
            Datagram(self.group, self.me, to, self.boot, known, self.numbers[to], message)
        )
        self.counted["sent"] += 1
        name = self.keys.first
        return VERSION + name + self._seal(name, body) + body

    def _seal(self, name: bytes, body: bytes) -> bytes:
        return hmac.new(self.keys.secrets[name], VERSION + name + body, hashlib.sha256).digest()[:SEAL]

    def open(self, data: bytes) -> Datagram | None:
        """What came, if it may be believed; else None, and the reason is counted."""
        datagram, why = self._open(data)
        self.counted["received" if not why else f"dropped.{why}"] += 1
        return datagram if not why else None

    def _open(self, data: bytes) -> tuple[Datagram | None, str]:
        if not HEAD < len(data) <= MOST or data[:3] != VERSION:
            return None, "malformed"
        name, seal, body = data[3:7], data[7:HEAD], data[HEAD:]
        if name not in self.keys.secrets:
            return None, "unknown-key"
        if not hmac.compare_digest(seal, self._seal(name, body)):
            return None, "unsealed"
        try:
            datagram = self._decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
            return None, "malformed"
        window = self.windows.get(datagram.sender)
        if (datagram.group, datagram.to) != (self.group, self.me) or window is None:
            return None, "not-for-us"
        if datagram.to_boot != self.boot and not isinstance(datagram.message, Beat):
            return None, "earlier-life"
        if not window.accept(datagram.boot, datagram.number):
            return None, "replayed" if datagram.boot == window.boot else "earlier-life"
        return datagram, ""
