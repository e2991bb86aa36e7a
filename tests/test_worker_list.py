"""Long lists of workers: read in parts, taken whole or not at all."""

import json

import pytest
from scenario import Scene

from wickgw.net.dispatch import Clock
from wickgw.net.worker_list import ENTRIES_AT_ONCE, ListError, ListReader


def entries(count: int, endpoint: str = "127.0.0.1:7070") -> list[dict[str, object]]:
    return [
        {"uid": f"s-{n:04x}", "endpoint": endpoint, "az": "atlanta", "pod_group": 0, "state": "ready"}
        | {"boot_ms": 0}
        for n in range(count)
    ]


def text(version: int, *targets: dict[str, object]) -> str:
    body = json.dumps({"rev": version, "all": True, "targets": targets}, indent=1)
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}"


def send(scene: Scene, who: str, version: int, *targets: dict[str, object]) -> None:
    scene._at(who).sendall(text(version, *targets).encode())


def test_long_list_is_read_in_parts_and_is_the_same_as_in_one() -> None:
    reader, count = ListReader(Clock(), ("atlanta",)), 2 * ENTRIES_AT_ONCE + 1
    body = json.dumps({"rev": 7, "all": True, "targets": entries(count)}).encode()
    parts, steps = reader.begin(body), 1
    while not parts.read_some():
        assert len(parts.targets) == min(count, steps * ENTRIES_AT_ONCE)
        steps += 1
    # The last entries are read in the third call; the answer is taken in a call of its own.
    assert steps == 4 and parts.message() == reader.decode(json.loads(body))


def test_short_list_is_read_in_one_call() -> None:
    reader = ListReader(Clock(), ("atlanta",))
    for count in (0, 1, ENTRIES_AT_ONCE):
        body = json.dumps({"rev": 7, "all": True, "targets": entries(count)}).encode()
        parts = reader.begin(body)
        assert parts.read_some() and len(parts.message().targets) == count


ENTRY = b'{"uid":"s-1","endpoint":"127.0.0.1:7070","az":%s,"state":"ready","boot_ms":0}'


@pytest.mark.parametrize("zone", [b'"\xff\xfe"', b"[" * 100 + b"]" * 99, b"1e999", b"{", b'"\\ud800"'])
def test_nonsense_inside_of_an_entry_is_an_error(zone: bytes) -> None:
    body = b'{"rev":1,"all":true,"targets":[' + ENTRY % zone + b"]}"
    with pytest.raises(ListError):
        ListReader(Clock(), ()).begin(body).read_some()


NONSENSE = (
    b"",
    b"[]",
    b"7",
    b'{"rev":1}',
    b'{"rev":1,"all":1,"targets":[]}',
    b'{"rev":true,"all":true,"targets":[]}',
    b'{"rev":1.5,"all":true,"targets":[]}',
    b'{"rev":1,"all":true,"targets":{}}',
    b'{"rev":1,"all":true,"targets":"abc"}',
    b"[" * 100_000,
    b"\xff\xfe",
)


@pytest.mark.parametrize("body", NONSENSE)
def test_what_is_no_list_is_an_error(body: bytes) -> None:
    with pytest.raises(ListError):
        ListReader(Clock(), ()).begin(body)


def test_list_whose_last_entry_is_nonsense_is_not_taken() -> None:
    scene = Scene(known="w0")
    try:
        many = entries(3 * ENTRIES_AT_ONCE, scene.address("w1"))
        scene.play("d expect GET /api/targets HTTP.*\\r\\n\\r\\n")
        send(scene, "d", 5, *many, {"uid": "s-last", "endpoint": "nowhere"})
        scene.play("d expect end")
        scene.play("d/2 expect GET\na send job 1\nw0 gets 1")  # the list known at the start still holds
    finally:
        scene.close()


def test_long_list_that_came_whole_is_taken_though_its_connection_ends() -> None:
    scene = Scene(known="")
    try:
        many = entries(4 * ENTRIES_AT_ONCE, scene.address("w1"))
        scene.play("d expect GET /api/targets HTTP")
        send(scene, "d", 5, *many)
        scene.play("d close\nd/2 expect index=5&\na send job 1\nw1 gets 1")
        report = scene.node.report()
        assert report["now"]["peers"] == len(many)  # type: ignore[index]
    finally:
        scene.close()
