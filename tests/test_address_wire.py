"""Datagrams, the key file and the state file: what is accepted, and what is rejected and counted."""

import itertools
import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickgw.address.events import StoredVote
from wickgw.address.keys import KeyFileError, Keys, add_key, read_keys
from wickgw.address.messages import Ask, Beat, Grant
from wickgw.address.store import VoteStore
from wickgw.address.wire import MAX_DATAGRAM_BYTES, DatagramCodec

OLD_KEY, NEW_KEY = Keys(b"0001", {b"0001": b"x" * 32}), Keys(b"0002", {b"0002": b"y" * 32})
BOTH_KEYS = Keys(b"0002", NEW_KEY.secrets | OLD_KEY.secrets)
HEARTBEAT = Beat(0, (), (), (), ())
MEMBERS = ("a", "b", "c")


def make_codec(instance: str, boot: int = 10, keys: Keys = OLD_KEY, group: str = "g") -> DatagramCodec:
    return DatagramCodec(group, instance, boot, MEMBERS, keys)


def test_datagram_is_accepted_once() -> None:
    a, b = make_codec("a"), make_codec("b", 20)
    heartbeat = a.encode("b", HEARTBEAT)
    assert (datagram := b.decode(heartbeat)) is not None and (datagram.sender, datagram.message) == (
        "a",
        HEARTBEAT,
    )
    assert b.decode(heartbeat) is None and b.counters["dropped.replayed"] == 1
    a.decode(b.encode("a", HEARTBEAT))
    ask = a.encode("b", Ask("east", 1, 1))
    assert b.decode(ask) is not None


@pytest.mark.parametrize(
    "data, reason",
    [
        (make_codec("a", keys=NEW_KEY).encode("b", HEARTBEAT), "unknown-key"),
        (make_codec("a", keys=Keys(b"0001", {b"0001": b"z" * 32})).encode("b", HEARTBEAT), "unsealed"),
        (make_codec("a").encode("c", HEARTBEAT), "not-for-us"),
        (make_codec("a", group="other").encode("b", HEARTBEAT), "not-for-us"),
        (make_codec("a").encode("b", Grant("east", 1, 1, 20)), "earlier-life"),
        (b"", "malformed"),
        (b"x" * MAX_DATAGRAM_BYTES * 2, "malformed"),
        (b"WA1" + b"0" * 40, "unknown-key"),
    ],
)
def test_invalid_datagram_is_dropped_and_counted(data: bytes, reason: str) -> None:
    b = make_codec("b", 20)
    assert b.decode(data) is None and b.counters == {f"dropped.{reason}": 1}


def test_datagram_of_an_earlier_start_is_dropped_once_a_later_one_is_known() -> None:
    before, after, b = make_codec("a", 10), make_codec("a", 11), make_codec("b", 20)
    old = before.encode("b", HEARTBEAT)
    assert b.decode(after.encode("b", HEARTBEAT)) is not None
    assert b.decode(old) is None and b.counters["dropped.earlier-life"] == 1


def test_restarted_receiver_drops_a_message_to_its_earlier_start() -> None:
    a, b = make_codec("a"), make_codec("b", 20)
    a.decode(b.encode("a", HEARTBEAT))
    ask = a.encode("b", Ask("east", 1, 1))
    restarted = make_codec("b", 21)
    assert restarted.decode(ask) is None and restarted.counters["dropped.earlier-life"] == 1


def test_key_is_replaced_without_dropping_datagrams() -> None:
    """The steps at all instances: add the new key second, make it first, remove the old key. Instances that
    are one step apart accept each other's datagrams."""
    steps = [OLD_KEY, Keys(b"0001", BOTH_KEYS.secrets), BOTH_KEYS, NEW_KEY]
    for old, new in itertools.pairwise(steps):
        a, b = make_codec("a", keys=old), make_codec("b", 20, keys=new)
        assert (
            b.decode(a.encode("b", HEARTBEAT)) is not None and a.decode(b.encode("a", HEARTBEAT)) is not None
        )


@settings(derandomize=True, max_examples=300)
@given(st.data())
def test_damaged_datagram_is_dropped(data: st.DataObject) -> None:
    datagram = bytearray(make_codec("a").encode("b", HEARTBEAT))
    index = data.draw(st.integers(0, len(datagram) - 1))
    datagram[index] ^= data.draw(st.integers(1, 255))
    b = make_codec("b", 20)
    assert b.decode(bytes(datagram)) is None and sum(b.counters.values()) == 1
    truncated = bytes(datagram[: data.draw(st.integers(0, len(datagram) - 1))])
    assert b.decode(truncated) is None


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200))
def test_authenticated_garbage_is_dropped_without_an_exception(body: bytes) -> None:
    a, b = make_codec("a"), make_codec("b", 20)
    assert b.decode(b"WA1" + b"0001" + a._mac(b"0001", body) + body) is None
    assert b.counters.total() == 1


def test_key_file_is_created_private_and_extended_once(tmp_path: Path) -> None:
    path = tmp_path / "key"
    first, count = add_key(path)
    assert count == 1 and path.stat().st_mode & 0o777 == 0o600
    second, _ = add_key(path)
    keys = read_keys(path)
    assert keys.signing_key_name == first.encode() and set(keys.secrets) == {first.encode(), second.encode()}
    assert not any(secret.hex() in repr(keys) for secret in keys.secrets.values())
    with pytest.raises(KeyFileError, match="2 keys already"):
        add_key(path)


@pytest.mark.parametrize(
    "text, mode, message",
    [
        ("0001 " + "a" * 64, 0o644, "600 or 400 allowed"),
        ("0001 " + "a" * 63, 0o600, "64 hexadecimal"),
        ("", 0o600, "0 keys read"),
        (("0001 " + "a" * 64 + "\n") * 2, 0o600, "twice"),
        ("\n".join(f"000{number} " + "a" * 64 for number in range(3)), 0o600, "3 keys read"),
    ],
)
def test_invalid_key_file_is_reported_with_its_path_and_without_its_keys(
    text: str, mode: int, message: str, tmp_path: Path
) -> None:
    path = tmp_path / "key"
    path.write_text(text)
    path.chmod(mode)
    with pytest.raises(KeyFileError, match=message) as raised:
        read_keys(path)
    assert str(path) in str(raised.value) and "a" * 60 not in str(raised.value)


def test_stored_votes_are_complete_or_unknown(tmp_path: Path) -> None:
    store, votes = VoteStore(tmp_path / "votes", "g", "a"), (StoredVote("east", 5, "b", False),)
    assert store.read() is None
    store.write(votes)
    assert store.read() == votes and os.listdir(tmp_path) == ["votes"]
    assert VoteStore(store.path, "g", "b").read() is None, "another instance's votes"
    store.path.write_bytes(store.path.read_bytes()[:-4])
    assert store.read() is None
    with pytest.raises(OSError):
        VoteStore(tmp_path / "none" / "votes", "g", "a").write(votes)
