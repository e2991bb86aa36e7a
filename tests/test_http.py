"""The HTTP parsers: the same messages however the bytes are split, only HttpError on malformed input, and
work in proportion to the size of a message. The values of header fields that the dispatcher parses itself.
"""

import contextlib
import re
from collections.abc import Iterator
from typing import Any

import pytest
from cpu_limit import cpu_limit
from hypothesis import given, settings
from hypothesis import strategies as st

from wickgw.net import clients, http
from wickgw.net.worker_connection import WorkerConnection

REQUESTS = (
    b"POST /look?x=1 HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nContent-Length: 5\r\n\r\nab\r\ncGET / HTTP/1.1\r\n"
    b"Host: x\r\n\r\n\r\nPOST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n"
    b"A\r\n0123456789\r\n0\r\nT: 1\r\n\r\nPOST /e HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"0\r\n\r\n"
    b"GET /z HTTP/1.0\r\nX: 1\r\nX:  2 \r\n\r\n"
)
RESPONSES = (
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n"
    b"A\r\n0123456789\r\n0\r\nT: 1\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno"
    b"HTTP/1.1 204 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\nto the end"
)
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECE_SIZES = st.lists(st.integers(1, 40), min_size=1, max_size=30)
DETERMINISTIC = settings(derandomize=True, max_examples=200, deadline=None)


def split(data: bytes, sizes: list[int]) -> list[bytes]:
    pieces, index = [], 0
    while data:
        size = sizes[index % len(sizes)]
        pieces.append(data[:size])
        data, index = data[size:], index + 1
    return pieces


def parse_requests(pieces: list[bytes]) -> list[tuple[str, str, bytes, bool]]:
    parser, messages = http.RequestParser(), []
    for piece in pieces:
        parser.feed(piece)
        while (request := parser.next()) is not None:
            messages.append((request.method, request.target, request.body, request.keep_alive))
    assert not parser.has_partial_request
    return messages


def parse_responses(pieces: list[bytes]) -> list[tuple[int, bytes, bool]]:
    parser, messages, status, body = http.ResponseParser(), [], 0, b""
    for piece in pieces:
        for part in parser.feed(piece):
            if isinstance(part, http.ResponseHead):
                status, body = part.status, b""
            elif isinstance(part, http.EndOfResponse):
                messages.append((status, body, part.keep_alive))
            else:
                body += part
    end = parser.eof()
    assert end is not None
    return [*messages, (status, body, end.keep_alive)]


@DETERMINISTIC
@given(PIECE_SIZES)
def test_messages_do_not_depend_on_the_split(sizes: list[int]) -> None:
    assert parse_requests(split(REQUESTS, sizes)) == [
        ("POST", "/look?x=1", b"ab\r\nc", True),
        ("GET", "/", b"", True),
        ("POST", "/c", b"abc0123456789", True),
        ("POST", "/e", b"", True),
        ("GET", "/z", b"", False),
    ]
    assert parse_responses(split(RESPONSES, sizes)) == [
        (200, b"abc0123456789", True),
        (503, b"no", True),
        (204, b"", True),
        (200, b"to the end", False),
    ]


@DETERMINISTIC
@given(st.binary(max_size=300), st.integers(0, 250), st.booleans())
def test_malformed_input_raises_only_http_error(garbage: bytes, offset: int, replace_all: bool) -> None:
    for parse, valid in ((parse_requests, REQUESTS), (parse_responses, RESPONSES)):
        data = garbage if replace_all else valid[:offset] + garbage + valid[offset + len(garbage) :]
        try:
            parse(split(data, [7]))
        except (http.HttpError, AssertionError):  # AssertionError: the message is incomplete
            continue


@pytest.mark.parametrize(
    "data, status",
    [
        (b"GET /" + b"a" * http.MAX_HEAD_BYTES, 431),
        (b"GET / HTTP/1.1\r\nHost: x\r\n" + b"a: b\r\n" * 101 + b"\r\n", 431),
        (b"GET / HTTP/1.1\r\nHost : x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: x\x01\r\n\r\n", 400),
        (b"GET  / HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (b"GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999999999999\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501),
        (CHUNKED_HEAD + b"zz\r\n", 400),
        (CHUNKED_HEAD + b"2\r\nabc\r\n", 400),
        (CHUNKED_HEAD + b"-2\r\nab\r\n", 400),
        (CHUNKED_HEAD + b"2;" + b"x" * 300, 400),
        (CHUNKED_HEAD + b"8000\r\n" + b"x" * 0x8000 + b"\r\n8001\r\n", 413),
        (CHUNKED_HEAD + b"0\r\n" + b"T: x\r\n" * 4000, 431),
    ],
)
def test_invalid_requests_are_rejected(data: bytes, status: int) -> None:
    with pytest.raises(http.HttpError) as caught:
        parse_requests([data])
    assert caught.value.status == status


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\nab\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;" + b"x" * 300,
        b"HTTP/1.1 101 Go\r\n\r\n",
        b"HTTP/3 200 OK\r\n\r\n",
    ],
)
def test_invalid_responses_are_rejected(data: bytes) -> None:
    with pytest.raises(http.HttpError):
        list(http.ResponseParser().feed(data))


def test_parts_before_an_error_are_yielded() -> None:
    parser, messages = http.ResponseParser(), []
    with pytest.raises(http.HttpError):
        for part in parser.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\nzz\r\n"):
            messages.append(part)
    assert b"ab" in messages


# A message costs work in proportion to its size, whatever it contains.

# The platform's bad clients send hundreds of things at once, and each is owed an error within 3 s.
MAX_PARSE_CPU_S = 3.0 / 300
# Characters of every kind that a pattern tells apart, and pairs of such kinds.
FILLERS = [bytes([byte]) for byte in b' \t\r\n\0\x1f\x7f\x80\xa0\xff!"%,-./:;=?[a0F']
FILLERS += [b" \t", b"a ", b", ", b"a:", b"a=", b"%2", b";a", b"\xa0 ", b"\r\n"]
ENDINGS = (b"", b"\x7f", b" \x7f", b":", b"=")
FILLED_REQUESTS = {
    "field value": b"POST / HTTP/1.1\r\nHost: x\r\nX-Note:%s\r\n\r\n",
    "field name": b"POST / HTTP/1.1\r\nHost: x\r\n%s: x\r\n\r\n",
    "method": b"%s / HTTP/1.1\r\nHost: x\r\n\r\n",
    "target": b"POST /%s HTTP/1.1\r\nHost: x\r\n\r\n",
    "version": b"POST / HTTP/1.1%s\r\nHost: x\r\n\r\n",
    "connection": b"POST / HTTP/1.1\r\nHost: x\r\nConnection:%s\r\n\r\n",
    "coding": b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding:%s\r\n\r\n",
    "length": b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length:%s\r\n\r\n",
    "chunk size": CHUNKED_HEAD + b"1%s\r\n",
    "trailer": CHUNKED_HEAD + b"0\r\nT:%s\r\n\r\n",
}
FILLED_RESPONSES = {
    "field value": b"HTTP/1.1 200 OK\r\nX-Note:%s\r\n\r\n",
    "field name": b"HTTP/1.1 200 OK\r\n%s: x\r\n\r\n",
    "reason": b"HTTP/1.1 200 %s\r\n\r\n",
    "status": b"HTTP/1.1 2%s OK\r\n\r\n",
    "chunk size": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1%s\r\n",
}


def filled_messages(template: bytes) -> Iterator[bytes]:
    """Yield the template with its gap filled by as many repeats of each filler as a head may hold."""
    for filler in FILLERS:
        repeats = filler * ((http.MAX_HEAD_BYTES - 200) // len(filler))
        for ending in ENDINGS:
            yield template.replace(b"%s", repeats + ending)


@pytest.mark.parametrize("template", FILLED_REQUESTS.values(), ids=FILLED_REQUESTS.keys())
def test_request_of_any_content_is_read_or_refused_at_once(template: bytes) -> None:
    """Guards against a head whose spaces held the process up until it was killed (docs/incidents/47-1)."""
    for data in filled_messages(template):
        with cpu_limit(MAX_PARSE_CPU_S), contextlib.suppress(http.HttpError, AssertionError):
            parse_requests([data])


@pytest.mark.parametrize("template", FILLED_RESPONSES.values(), ids=FILLED_RESPONSES.keys())
def test_response_of_any_content_is_read_or_refused_at_once(template: bytes) -> None:
    """Guards against a worker's or discovery's head that held the process up (docs/incidents/47-1)."""
    for data in filled_messages(template):
        with cpu_limit(MAX_PARSE_CPU_S), contextlib.suppress(http.HttpError):
            list(http.ResponseParser().feed(data))


# How a field line was read before; quick enough for short lines.
REFERENCE_FIELD = re.compile(
    rb"(" + http.TOKEN_PATTERN + rb"):[ \t]*([\t\x20-\x7e\x80-\xff]*?)[ \t]*", re.DOTALL
)


@DETERMINISTIC
@given(
    st.lists(st.sampled_from([b" ", b"\t", b"a", b":", b"\x7f", b"\xa0", b"\r", b"\n"]), max_size=12).map(
        b"".join
    )
)
def test_field_line_is_split_at_the_colon_and_stripped_of_spaces_and_tabs(line: bytes) -> None:
    expected = REFERENCE_FIELD.fullmatch(line)
    if expected is None:
        with pytest.raises(http.HttpError):
            http._parse_fields(line + b"\r\n")
    else:
        field = {expected[1].decode().lower(): expected[2].decode("latin-1")}
        assert http._parse_fields(line + b"\r\n") == field


def test_extra_field_of_any_content_is_read_or_refused_at_once() -> None:
    """Guards against a Req-Extra whose spaces held the process up (docs/incidents/47-1)."""
    for template in (b"%s", b"a=%s", b"a%s=1", b"slots=%s", b"a=1,%s"):
        for value in filled_messages(template):
            with cpu_limit(MAX_PARSE_CPU_S):
                clients._requested_slots(value.decode("latin-1"))


# How Req-Extra was read before; quick enough for short values.
REFERENCE_EXTRA = re.compile(r"\s*([0-9A-Za-z_-]+)\s*=\s*([^,=]*?)\s*")


def requested_slots_by_reference(extra: str) -> float | None:
    values = {"slots": "1"}
    for part in extra.split(",") if extra.strip() else ():
        match = REFERENCE_EXTRA.fullmatch(part)
        if match is None:
            return None
        values[match[1]] = match[2]
    return float(values["slots"]) if re.fullmatch(r"[0-9]{1,6}(?:\.[0-9]{1,6})?", values["slots"]) else None


@DETERMINISTIC
@given(
    st.lists(st.sampled_from(["slots", "a", "=", ",", " ", "\t", "\xa0", "\x85", "2", ".5"]), max_size=9).map(
        "".join
    )
)
def test_slots_are_read_from_names_and_values_without_the_spaces_around_them(extra: str) -> None:
    assert clients._requested_slots(extra) == requested_slots_by_reference(extra)


# Bytes that arrive in small pieces are not searched again from the start.


class CountingBuffer(bytearray):
    """Counts the bytes that are searched for the end of a line or of a head."""

    searched_bytes = 0

    def find(self, sub: Any, start: Any = 0, end: Any = None) -> int:
        found = super().find(sub, start, len(self) if end is None else end)
        self.searched_bytes += (len(self) if found < 0 else found + len(sub)) - start
        return found


@pytest.mark.parametrize("data", [b"", CHUNKED_HEAD + b"0\r\nT: "], ids=["head", "trailers"])
def test_end_is_searched_for_in_new_bytes_only(data: bytes) -> None:
    """Guards against trailers that were searched from their start for each byte (docs/incidents/47-1)."""
    parser, count = http.RequestParser(), 10_000
    parser.buffer = buffer = CountingBuffer()
    for piece in [data, *[b"x"] * count]:
        parser.feed(piece)
        assert parser.next() is None
    assert buffer.searched_bytes < 5 * count  # up to three bytes before the new one may begin the end


def test_job_event_in_many_pieces_is_searched_for_its_end_once() -> None:
    """Guards against a job event that was searched from its start for each byte (docs/incidents/47-1)."""
    connection, count = WorkerConnection(Any, Any, Any), 10_000  # type: ignore[arg-type]
    connection.head, connection.line_buffer = http.ResponseHead(200, {}), CountingBuffer()
    for _ in range(count):
        connection._read_body(b"x")
    assert connection.line_buffer.searched_bytes < 5 * count
