"""The datagram codec: encodes (msgspec), authenticates (HMAC-SHA-256, RFC 2104), verifies and decodes.

A datagram has 3 bytes of version, 4 bytes of the key's name, 16 bytes of authentication code (a truncated
HMAC), and a MessagePack array: group, sender, receiver, the sender's start time, the receiver's start time as
far as the sender knows it, a sequence number, and the message. The code covers everything else.

A datagram is counted and dropped if it has no valid code of a known key, belongs to another group or another
instance, was received before, or is from an earlier start of either side. Only a heartbeat may come from a
sender that does not know the receiver's current start yet. No datagram is acted on or answered before its
code is verified. The codec owns the sequence numbers, the replay windows and the counters of all that.
"""

import hashlib
import hmac
from collections import Counter

import msgspec

from wickgw.address.keys import Keys
from wickgw.address.messages import Beat, Message
from wickgw.address.replay_window import ReplayWindow

VERSION = b"WA1"
KEY_NAME_BYTES, MAC_BYTES = 4, 16
HEADER_BYTES = len(VERSION) + KEY_NAME_BYTES + MAC_BYTES
MAX_DATAGRAM_BYTES = 8192  # a heartbeat with 7 instances and 16 addresses takes about 1,200


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """The body, which the authentication code covers."""

    group: str
    sender: str
    to: str
    boot: int  # start time of the sender: Unix microseconds
    to_boot: int  # start time of the receiver as far as the sender knows it
    number: int  # sequence number, counted for each receiver
    message: Message


class DatagramCodec:
    """Encodes and decodes the datagrams of one instance.

    `boot` is the start time of the process in Unix microseconds. `members` names all instances of the group.
    """

    def __init__(self, group: str, instance: str, boot: int, members: tuple[str, ...], keys: Keys) -> None:
        self.group, self.instance, self.boot, self.keys = group, instance, boot, keys
        self.last_numbers = dict.fromkeys(members, 0)  # sequence number of the last datagram to each member
        self.windows = {name: ReplayWindow() for name in members if name != instance}
        self.counters: Counter[str] = Counter()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Datagram)

    def encode(self, receiver: str, message: Message) -> bytes:
        """Return the datagram that carries `message` to another instance."""
        self.last_numbers[receiver] += 1
        receiver_boot = self.windows[receiver].boot
        body = self._encoder.encode(
            Datagram(
                self.group,
                self.instance,
                receiver,
                self.boot,
                receiver_boot,
                self.last_numbers[receiver],
                message,
            )
        )
        self.counters["sent"] += 1
        key_name = self.keys.signing_key_name
        return VERSION + key_name + self._mac(key_name, body) + body

    def _mac(self, key_name: bytes, body: bytes) -> bytes:
        """Return the authentication code of a body."""
        return hmac.new(self.keys.secrets[key_name], VERSION + key_name + body, hashlib.sha256).digest()[
            :MAC_BYTES
        ]

    def decode(self, data: bytes) -> Datagram | None:
        """Return the datagram if it is valid. Otherwise return None and count the reason."""
        datagram, drop_reason = self._verify(data)
        self.counters["received" if not drop_reason else f"dropped.{drop_reason}"] += 1
        return datagram if not drop_reason else None

    def _verify(self, data: bytes) -> tuple[Datagram | None, str]:
        """Return the datagram and an empty string, or None and the reason for dropping it."""
        if not HEADER_BYTES < len(data) <= MAX_DATAGRAM_BYTES or data[:3] != VERSION:
            return None, "malformed"
        key_name, mac, body = data[3:7], data[7:HEADER_BYTES], data[HEADER_BYTES:]
        if key_name not in self.keys.secrets:
            return None, "unknown-key"
        if not hmac.compare_digest(mac, self._mac(key_name, body)):
            return None, "unsealed"
        try:
            datagram = self._decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
            return None, "malformed"
        window = self.windows.get(datagram.sender)
        if (datagram.group, datagram.to) != (self.group, self.instance) or window is None:
            return None, "not-for-us"
        if datagram.to_boot != self.boot and not isinstance(datagram.message, Beat):
            return None, "earlier-life"
        if not window.accept(datagram.boot, datagram.number):
            return None, "replayed" if datagram.boot == window.boot else "earlier-life"
        return datagram, ""
