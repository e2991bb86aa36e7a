"""Long worker lists: parsed in steps, accepted whole or not at all."""

import json

import pytest
from scenario import Scenario

from wickgw.net.dispatch import Clock
from wickgw.net.worker_list import ENTRIES_PER_STEP, LISTED_WORKER_BYTES, ListError, ListReader


def entries(count: int, endpoint: str = "127.0.0.1:7070") -> list[dict[str, object]]:
    return [
        {"uid": f"s-{number:04x}", "endpoint": endpoint, "az": "atlanta", "pod_group": 0, "state": "ready"}
        | {"boot_ms": 0}
        for number in range(count)
    ]


def list_response(version: int, *targets: dict[str, object]) -> str:
    body = json.dumps({"rev": version, "all": True, "targets": targets}, indent=1)
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}"


def send_list(scene: Scenario, connection_name: str, version: int, *targets: dict[str, object]) -> None:
    scene._connection(connection_name).sendall(list_response(version, *targets).encode())


def test_long_list_parsed_in_steps_equals_the_decoded_one() -> None:
    reader, count = ListReader(Clock(), ("atlanta",)), 2 * ENTRIES_PER_STEP + 1
    body = json.dumps({"rev": 7, "all": True, "targets": entries(count)}).encode()
    parser, steps = reader.start(body), 1
    while not parser.parse_some():
        assert len(parser.targets) == min(count, steps * ENTRIES_PER_STEP)
        steps += 1
    # The third call parses the last entries. The list is accepted in a further call.
    assert steps == 4 and parser.message() == reader.decode(json.loads(body))


def test_short_list_is_parsed_in_one_step() -> None:
    reader = ListReader(Clock(), ("atlanta",))
    for count in (0, 1, ENTRIES_PER_STEP):
        body = json.dumps({"rev": 7, "all": True, "targets": entries(count)}).encode()
        parser = reader.start(body)
        assert parser.parse_some() and len(parser.message().targets) == count


def read(reader: ListReader, whole: bool, *targets: dict[str, object]) -> list[str]:
    """Read and accept an answer; return the names of the workers that are listed from then on."""
    message = reader.decode({"rev": 1, "all": whole, "targets": list(targets)})
    reader.accept(message)
    listed = [target for target in message.targets if target.entry.worker in reader.start_times]
    assert reader.list_bytes == sum(map(reader.size_of, reader.start_times._listed)) <= reader.max_list_bytes
    assert sum(target.listed_bytes for target in listed) <= reader.list_bytes
    return list(reader.start_times._listed)


@pytest.mark.parametrize("whole", [True, False])
def test_workers_beyond_the_memory_of_the_list_are_left_out(whole: bool) -> None:
    """Guards against a list that takes whatever memory discovery fills (docs/incidents/51-3)."""
    reader, all_entries = ListReader(Clock(), ("atlanta",)), entries(ENTRIES_PER_STEP * 2)
    reader.max_list_bytes = 100 * LISTED_WORKER_BYTES
    read(reader, True)
    assert read(reader, whole, *all_entries) == [entry["uid"] for entry in all_entries[:100]]
    assert (
        reader.decode({"rev": 1, "all": whole, "targets": all_entries}).left_out == ENTRIES_PER_STEP * 2 - 100
    )
    # What leaves makes room, in the order of the answer.
    gone = [entry | {"state": "gone"} for entry in all_entries[:10]]
    assert len(read(reader, False, *gone, *all_entries[200:])) == 100


@pytest.mark.parametrize("label", ["uid", "az", "model"])
def test_long_names_and_labels_count_towards_the_memory_of_the_list(label: str) -> None:
    """Guards against few workers with names or labels of megabytes (docs/incidents/51-3)."""
    reader = ListReader(Clock(), ("atlanta",))
    reader.max_list_bytes = 1_000_000
    long_entries = [entry | {label: f"{number}" * 20_000} for number, entry in enumerate(entries(30))]
    listed = read(reader, True, *entries(2), *long_entries[2:])
    assert 2 + 5 <= len(listed) < 2 + 1_000_000 / 3 / 20_000
    # A worker whose entry grows beyond the memory leaves the list; a drain of one that stays is still told.
    drained = entries(2)[0] | {"state": "draining"}
    names = read(reader, False, entries(2)[1] | {"model": "m" * 400_000}, drained)
    assert "s-0000" in names and "s-0001" not in names
    assert reader.list_bytes == sum(map(reader.size_of, names))


@pytest.mark.parametrize("field", ["az", "pod_group"])
def test_integer_beyond_64_bits_is_an_error(field: str) -> None:
    with pytest.raises(ListError):
        ListReader(Clock(), ()).decode(
            {"rev": 1, "all": True, "targets": [entries(1)[0] | {field: 10**1000}]}
        )


ENTRY = b'{"uid":"s-1","endpoint":"127.0.0.1:7070","az":%s,"state":"ready","boot_ms":0}'


@pytest.mark.parametrize("zone", [b'"\xff\xfe"', b"[" * 100 + b"]" * 99, b"1e999", b"{", b'"\\ud800"'])
def test_malformed_entry_is_an_error(zone: bytes) -> None:
    body = b'{"rev":1,"all":true,"targets":[' + ENTRY % zone + b"]}"
    with pytest.raises(ListError):
        ListReader(Clock(), ()).start(body).parse_some()


MALFORMED_LISTS = (
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


@pytest.mark.parametrize("body", MALFORMED_LISTS)
def test_malformed_list_is_an_error(body: bytes) -> None:
    with pytest.raises(ListError):
        ListReader(Clock(), ()).start(body)


def test_list_with_a_malformed_last_entry_is_not_accepted() -> None:
    scene = Scenario(known="w0")
    try:
        long_list = entries(3 * ENTRIES_PER_STEP, scene.endpoint("w1"))
        scene.run_script("d expect GET /api/targets HTTP.*\\r\\n\\r\\n")
        send_list(scene, "d", 5, *long_list, {"uid": "s-last", "endpoint": "nowhere"})
        scene.run_script("d expect end")
        # The list known at the start is still in use.
        scene.run_script("d/2 expect GET\na send job 1\nw0 gets 1")
    finally:
        scene.close()


def test_complete_long_list_is_accepted_though_its_connection_closes() -> None:
    scene = Scenario(known="")
    try:
        long_list = entries(4 * ENTRIES_PER_STEP, scene.endpoint("w1"))
        scene.run_script("d expect GET /api/targets HTTP")
        send_list(scene, "d", 5, *long_list)
        scene.run_script("d close\nd/2 expect index=5&\na send job 1\nw1 gets 1")
        report = scene.node.report()
        assert report["now"]["peers"] == len(long_list)  # type: ignore[index]
    finally:
        scene.close()
