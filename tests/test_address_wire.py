"""Datagrams, keys and the state file: what is believed, and what is dropped and counted."""

import itertools
import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickgw.address.events import Kept
from wickgw.address.keys import KeyFileError, Keys, add_key, read_keys
from wickgw.address.messages import Ask, Beat, Grant
from wickgw.address.store import Store
from wickgw.address.wire import MOST, Wire

ONE, TWO = Keys(b"0001", {b"0001": b"x" * 32}), Keys(b"0002", {b"0002": b"y" * 32})
BOTH = Keys(b"0002", TWO.secrets | ONE.secrets)
BEAT = Beat(0, (), (), (), ())
MEMBERS = ("a", "b", "c")


def wire(me: str, boot: int = 10, keys: Keys = ONE, group: str = "g") -> Wire:
    return Wire(group, me, boot, MEMBERS, keys)


def test_what_one_says_another_hears_once() -> None:
    a, b = wire("a"), wire("b", 20)
    beat = a.seal("b", BEAT)
    assert (got := b.open(beat)) is not None and (got.sender, got.message) == ("a", BEAT)
    assert b.open(beat) is None and b.counted["dropped.replayed"] == 1
    a.open(b.seal("a", BEAT))
    ask = a.seal("b", Ask("east", 1, 1))
    assert b.open(ask) is not None


@pytest.mark.parametrize(
    "data, why",
    [
        (wire("a", keys=TWO).seal("b", BEAT), "unknown-key"),
        (wire("a", keys=Keys(b"0001", {b"0001": b"z" * 32})).seal("b", BEAT), "unsealed"),
        (wire("a").seal("c", BEAT), "not-for-us"),
        (wire("a", group="other").seal("b", BEAT), "not-for-us"),
        (wire("a").seal("b", Grant("east", 1, 1, 20)), "earlier-life"),
        (b"", "malformed"),
        (b"x" * MOST * 2, "malformed"),
        (b"WA1" + b"0" * 40, "unknown-key"),
    ],
)
def test_what_may_not_be_believed_is_dropped_and_counted(data: bytes, why: str) -> None:
    b = wire("b", 20)
    assert b.open(data) is None and b.counted == {f"dropped.{why}": 1}


def test_datagram_of_an_earlier_life_is_dropped_once_the_next_is_known() -> None:
    before, after, b = wire("a", 10), wire("a", 11), wire("b", 20)
    old = before.seal("b", BEAT)
    assert b.open(after.seal("b", BEAT)) is not None
    assert b.open(old) is None and b.counted["dropped.earlier-life"] == 1


def test_restarted_receiver_believes_no_vote_from_before() -> None:
    a, b = wire("a"), wire("b", 20)
    a.open(b.seal("a", BEAT))
    asked = a.seal("b", Ask("east", 1, 1))
    reborn = wire("b", 21)
    assert reborn.open(asked) is None and reborn.counted["dropped.earlier-life"] == 1


def test_keys_change_without_a_gap() -> None:
    """On all: the new one second; then first; then alone. At each step both sides open the other's."""
    steps = [ONE, Keys(b"0001", BOTH.secrets), BOTH, TWO]
    for old, new in itertools.pairwise(steps):
        a, b = wire("a", keys=old), wire("b", 20, keys=new)
        assert b.open(a.seal("b", BEAT)) is not None and a.open(b.seal("a", BEAT)) is not None


@settings(derandomize=True, max_examples=300)
@given(st.data())
def test_no_damage_to_a_datagram_is_believed(data: st.DataObject) -> None:
    whole = bytearray(wire("a").seal("b", BEAT))
    at = data.draw(st.integers(0, len(whole) - 1))
    whole[at] ^= data.draw(st.integers(1, 255))
    b = wire("b", 20)
    assert b.open(bytes(whole)) is None and sum(b.counted.values()) == 1
    cut = bytes(whole[: data.draw(st.integers(0, len(whole) - 1))])
    assert b.open(cut) is None


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200))
def test_sealed_nonsense_is_malformed_and_ends_nothing(body: bytes) -> None:
    a, b = wire("a"), wire("b", 20)
    assert b.open(b"WA1" + b"0001" + a._seal(b"0001", body) + body) is None
    assert b.counted.total() == 1


def test_key_file_is_made_private_and_extended_once(tmp_path: Path) -> None:
    path = tmp_path / "key"
    first, count = add_key(path)
    assert count == 1 and path.stat().st_mode & 0o777 == 0o600
    second, _ = add_key(path)
    keys = read_keys(path)
    assert keys.first == first.encode() and set(keys.secrets) == {first.encode(), second.encode()}
    assert not any(secret.hex() in repr(keys) for secret in keys.secrets.values())
    with pytest.raises(KeyFileError, match="2 keys already"):
        add_key(path)


@pytest.mark.parametrize(
    "text, mode, word",
    [
        ("0001 " + "a" * 64, 0o644, "600 or 400 allowed"),
        ("0001 " + "a" * 63, 0o600, "64 hexadecimal"),
        ("", 0o600, "0 keys read"),
        (("0001 " + "a" * 64 + "\n") * 2, 0o600, "twice"),
        ("\n".join(f"000{n} " + "a" * 64 for n in range(3)), 0o600, "3 keys read"),
    ],
)
def test_key_file_that_will_not_do_is_named_with_what_would(
    text: str, mode: int, word: str, tmp_path: Path
) -> None:
    path = tmp_path / "key"
    path.write_text(text)
    path.chmod(mode)
    with pytest.raises(KeyFileError, match=word) as told:
        read_keys(path)
    assert str(path) in str(told.value) and "a" * 60 not in str(told.value)


def test_votes_on_the_disk_are_whole_or_not_known(tmp_path: Path) -> None:
    store, votes = Store(tmp_path / "votes", "g", "a"), (Kept("east", 5, "b", False),)
    assert store.read() is None
    store.write(votes)
    assert store.read() == votes and os.listdir(tmp_path) == ["votes"]
    assert Store(store.path, "g", "b").read() is None, "another instance's votes"
    store.path.write_bytes(store.path.read_bytes()[:-4])
    assert store.read() is None
    with pytest.raises(OSError):
        Store(tmp_path / "none" / "votes", "g", "a").write(votes)
