"""HTTP/1.1 framing: incremental parsers for requests and responses, and their encoders.

A parser buffers the bytes of one direction of one connection that do not form a complete message yet, within
bounds. This module uses no sockets and no clock. Ambiguous framing is an error.
"""

import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from http import HTTPStatus

MAX_HEAD_BYTES = 16 * 1024
MAX_TARGET_BYTES = 2048
MAX_HEADER_FIELDS = 100
FIELD_OBJECT_BYTES = 200  # memory of a parsed header field beside its text
MAX_BODY_BYTES = 64 * 1024
MAX_CHUNK_LINE_BYTES = 256
MAX_CHUNKS_PER_CALL = 128  # of a request's body that are decoded in one call, which takes under a millisecond
TOKEN_PATTERN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
REQUEST_LINE_PATTERN = re.compile(rb"(" + TOKEN_PATTERN + rb") ([\x21-\x7e]+) HTTP/([0-9])\.([0-9])")
# A worker closes its connection on a malformed target, which would look like a failing worker, so targets are
# checked here.
TARGET_PATTERN = re.compile(rb"/(?:[0-9A-Za-z._~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})*")
STATUS_LINE_PATTERN = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?")
# All header fields of a message, each with its line end. Rejects folded lines, space before a colon and
# control bytes. The repeats are possessive, so that fields that do not match are not tried in other ways.
FIELDS_PATTERN = re.compile(rb"(?:" + TOKEN_PATTERN + rb"+:[\t\x20-\x7e\x80-\xff]*+\r\n)*+")
LINE_ENDS_PATTERN = re.compile(rb"(?:\r\n)*+")
CHUNK_LINE_PATTERN = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
STRAY_CONTROL_PATTERN = re.compile(rb"\x00|(?<!\r)\n|\r(?!\n|\Z)")  # control bytes that no head may contain
# Repeating one of these fields would be ambiguous. The values of any other repeated field are joined.
SINGLE_VALUE_FIELDS = {
    "content-length",
    "host",
    "idempotency-key",
    "req-id",
    "req-deadline-ms",
    "transfer-encoding",
}


class HttpError(Exception):
    """A message that cannot be accepted. `status` is the status with which a server answers it."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


STATUS_LINES = {status.value: f"HTTP/1.1 {status.value} {status.phrase}" for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class Request:
    """One complete request."""

    method: str
    target: str  # path and query as received
    headers: Mapping[str, str]  # by lower-case name
    body: bytes
    keep_alive: bool  # the connection stays open after the answer

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a response. Its body follows in pieces."""

    status: int
    headers: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class EndOfResponse:
    """The end of a complete response."""

    keep_alive: bool  # the connection may carry another response


def _parse_fields(block: bytes) -> dict[str, str]:
    """Parse header fields, each with its line end, and return the values by lower-case name.

    Nothing is kept of them beyond the result: a cache would hold whatever anyone sends, refused or not.
    """
    if block.count(b"\n") > MAX_HEADER_FIELDS:
        raise HttpError(431, "too many header fields")
    if FIELDS_PATTERN.fullmatch(block) is None:
        raise HttpError(400, "malformed header field")
    fields: dict[str, str] = {}
    for line in block.decode("latin-1").split("\r\n")[:-1]:
        name, _, value = line.partition(":")
        name = name.lower()
        value = value.strip(" \t")
        if name in fields:
            if name in SINGLE_VALUE_FIELDS:
                raise HttpError(400, f"repeated header field {name}")
            value = f"{fields[name]}, {value}"
        fields[name] = value
    return fields


def _content_length(fields: Mapping[str, str]) -> int | None:
    text = fields.get("content-length")
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= 15):
        raise HttpError(400, "malformed Content-Length")
    return int(text)


def _list_tokens(fields: Mapping[str, str], name: str) -> set[str]:
    return {token.strip().lower() for token in fields.get(name, "").split(",")}


def _keeps_alive(fields: Mapping[str, str], newer_than_http_1_0: bool) -> bool:
    """Return whether the connection stays open after the message, by HTTP version and `Connection` field."""
    if "connection" not in fields:
        return newer_than_http_1_0
    connection = _list_tokens(fields, "connection")
    return "close" not in connection and (newer_than_http_1_0 or "keep-alive" in connection)


def _parse_response_head(head: bytes) -> tuple[ResponseHead, bool]:
    """Parse a response's head; also return whether it is newer than HTTP/1.0."""
    status_line, _, block = head.partition(b"\r\n")
    match = STATUS_LINE_PATTERN.fullmatch(status_line)
    if match is None:
        raise HttpError(502, "malformed status line")
    return ResponseHead(int(match[2]), _parse_fields(block)), match[1] != b"0"


class _Parser:
    """The unparsed bytes of one direction, and the search for the end of a head."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.searched_bytes = 0  # bytes at the start of the buffer that contain no end of a head or trailers

    def _take_head(self) -> bytes | None:
        """Return the lines of the next head, each with its line end, or None if it is not complete."""
        end = self.buffer.find(b"\r\n\r\n", max(0, self.searched_bytes - 3))
        if (end if end >= 0 else len(self.buffer)) > MAX_HEAD_BYTES:
            raise HttpError(431, "head too large")
        if end >= 0:
            self.searched_bytes = 0
            head = self._take_bytes(end + 2)
            del self.buffer[:2]
            return head
        # A complete head with such a byte is rejected by its patterns; this one might never be completed. The
        # search resumes where the last one ended: a head that arrives byte by byte is not searched anew.
        if STRAY_CONTROL_PATTERN.search(self.buffer, max(0, self.searched_bytes - 1)):
            raise HttpError(400, "stray control byte in the head")
        self.searched_bytes = len(self.buffer)
        return None

    def _take_bytes(self, size: int) -> bytes:
        taken = bytes(self.buffer[:size])
        del self.buffer[:size]
        return taken


class RequestParser(_Parser):
    """Parses requests one at a time: call `feed`, then `next` until it returns None."""

    def __init__(self) -> None:
        super().__init__()
        # A request whose head is parsed and whose body is not complete.
        self.incomplete: Request | None = None
        self.head_bytes = 0  # memory of its fields
        self.length = 0  # of the body in bytes; -1 if it is chunked
        self.continue_sent = False  # the request asked for 100 Continue, which was reported once
        # A chunked body: the decoded part, and the bytes left of the current chunk (None: a size line
        # follows; -1: the trailers follow).
        self.chunked = False
        self.body = bytearray()
        self.left: int | None = None
        # `next` returned None although the buffer may hold the rest of the request: call it again.
        self.has_more_to_decode = False

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.buffer += data

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self.incomplete is not None or bool(self.buffer)

    @property
    def held_bytes(self) -> int:
        """Bytes of a request that is not complete, and of those after it."""
        head_bytes = self.head_bytes if self.incomplete is not None else 0
        return head_bytes + len(self.buffer) + len(self.body)

    def wants_continue(self) -> bool:
        """Return True, once per request, if its sender waits for 100 Continue before it sends the body."""
        if self.incomplete is None or self.continue_sent:
            return False
        if (self.buffer or self.body) if self.chunked else len(self.buffer) >= self.length:
            return False
        self.continue_sent = "100-continue" in _list_tokens(self.incomplete.headers, "expect")
        return self.continue_sent

    def next(self) -> Request | None:
        """Return the next complete request, or None. Raises HttpError, after which the framing is lost.

        A chunked body of very many chunks takes several calls, which `has_more_to_decode` tells.
        """
        if self.incomplete is None:
            if self.buffer[:2] == b"\r\n":  # some senders add a line end after a body
                match = LINE_ENDS_PATTERN.match(self.buffer)
                assert match is not None
                end = match.end()
                del match  # it refers to the buffer
                del self.buffer[:end]
            head = self._take_head()
            if head is None:
                return None
            self.incomplete, self.length = self._parse_request_head(head)
            self.continue_sent = False
            self.chunked = self.length < 0
        if self.chunked:
            if not self._decode_chunks():
                return None
            request, self.incomplete, self.chunked = self.incomplete, None, False
            body, self.body = bytes(self.body), bytearray()
            return Request(request.method, request.target, request.headers, body, request.keep_alive)
        if len(self.buffer) < self.length:
            return None
        request, self.incomplete = self.incomplete, None
        if not self.length:
            return request
        body = self._take_bytes(self.length)
        return Request(request.method, request.target, request.headers, body, request.keep_alive)

    def _parse_request_head(self, head: bytes) -> tuple[Request, int]:
        request_line, _, block = head.partition(b"\r\n")
        match = REQUEST_LINE_PATTERN.fullmatch(request_line)
        if match is None:
            raise HttpError(400, "malformed request line")
        if match[3] != b"1":
            raise HttpError(505, "only HTTP/1.1 is spoken here")
        fields = _parse_fields(block)
        self.head_bytes = len(block) + FIELD_OBJECT_BYTES * len(fields)
        if match[4] != b"0" and "host" not in fields:
            raise HttpError(400, "no Host")
        if len(match[2]) > MAX_TARGET_BYTES:
            raise HttpError(414, "target too long")
        if not TARGET_PATTERN.fullmatch(match[2]):
            raise HttpError(400, "the target must be a path")
        length = _content_length(fields)
        if "transfer-encoding" in fields:
            if length is not None:  # the classic request smuggling attack
                raise HttpError(400, "both Transfer-Encoding and Content-Length")
            if fields["transfer-encoding"].strip().lower() != "chunked":
                raise HttpError(501, "no transfer encoding but chunked is taken in requests")
            length = -1
        if (length or 0) > MAX_BODY_BYTES:
            raise HttpError(413, "body too large")
        keep_alive = _keeps_alive(fields, match[4] != b"0")
        return Request(match[1].decode(), match[2].decode(), fields, b"", keep_alive), length or 0

    def _decode_chunks(self) -> bool:
        """Decode the buffered part of a chunked body; return whether the body is complete.

        Raises HttpError.
        """
        self.has_more_to_decode = False
        chunk_count = 0
        while True:
            if self.left is None:  # a size line
                end = self.buffer.find(b"\r\n", 0, MAX_CHUNK_LINE_BYTES + 2)
                if end < 0:
                    if len(self.buffer) > MAX_CHUNK_LINE_BYTES:
                        raise HttpError(400, "chunk size line too long")
                    return False
                match = CHUNK_LINE_PATTERN.fullmatch(self.buffer, 0, end)
                if match is None:
                    raise HttpError(400, "malformed chunk size")
                size = int(match[1], 16)
                if len(self.body) + size > MAX_BODY_BYTES:
                    raise HttpError(413, "body too large")
                del self.buffer[: end + 2]
                self.left = size if size else -1
            elif self.left >= 0:  # the bytes of a chunk, and the line end after them
                if len(self.buffer) < self.left + 2:
                    return False
                if self.buffer[self.left : self.left + 2] != b"\r\n":
                    raise HttpError(400, "chunk without its line end")
                self.body += self.buffer[: self.left]
                del self.buffer[: self.left + 2]
                self.left = None
                chunk_count += 1
                if chunk_count == MAX_CHUNKS_PER_CALL:
                    self.has_more_to_decode = True
                    return False
            else:  # the trailers, which are discarded, and the empty line that ends them
                start = max(0, self.searched_bytes - 3)
                end = 0 if self.buffer[:2] == b"\r\n" else self.buffer.find(b"\r\n\r\n", start)
                if end < 0:
                    if len(self.buffer) > MAX_HEAD_BYTES:
                        raise HttpError(431, "trailers too large")
                    self.searched_bytes = len(self.buffer)
                    return False
                self.searched_bytes = 0
                del self.buffer[: end + (2 if end == 0 else 4)]
                self.left = None
                return True


class ResponseParser(_Parser):
    """Parses responses: `feed` yields a ResponseHead, the pieces of the body, then an EndOfResponse."""

    def __init__(self) -> None:
        super().__init__()
        # The method that parses the next part. Not bound: a parser that refers to itself would keep its
        # buffer until the next garbage collection, long after its connection is closed.
        self.parse_step: Callable[[ResponseParser], ResponseHead | EndOfResponse | bytes | None] = (
            ResponseParser._read_head
        )
        self.left = 0  # bytes missing of the body or of the current chunk
        self.trailers = 0  # trailer lines so far
        self.keep_alive = True

    @property
    def is_between_responses(self) -> bool:
        """Whether no response has begun."""
        return self.parse_step is ResponseParser._read_head and not self.buffer

    def feed(self, data: bytes) -> Iterator[ResponseHead | bytes | EndOfResponse]:
        """Yield the parts that the bytes complete. Parts before an error are yielded before it is raised."""
        self.buffer += data
        while (part := self.parse_step(self)) is not None:
            if part != b"":
                yield part

    def eof(self) -> EndOfResponse | None:
        """Handle the end of the connection: return the end of the response, or None if it was cut off."""
        return EndOfResponse(False) if self.parse_step is ResponseParser._read_until_close else None

    def _read_head(self) -> ResponseHead | EndOfResponse | bytes | None:
        raw = self._take_head()
        if raw is None:
            return None
        head, newer_than_http_1_0 = _parse_response_head(raw)
        if head.status < 200:
            if head.status == 101:
                raise HttpError(502, "unasked switch of protocols")
            return b""
        fields, status = head.headers, head.status
        length, coding = _content_length(fields), fields.get("transfer-encoding")
        self.keep_alive = _keeps_alive(fields, newer_than_http_1_0)
        if coding is not None:
            if length is not None or coding.strip().lower() != "chunked":
                raise HttpError(502, "ambiguous framing")
            self.parse_step = ResponseParser._read_chunk_line
        elif status in (204, 304):
            self.left, self.parse_step = 0, ResponseParser._read_length
        elif length is not None:
            self.left, self.parse_step = length, ResponseParser._read_length
        else:
            self.keep_alive, self.parse_step = False, ResponseParser._read_until_close
        return head

    def _read_length(self) -> bytes | EndOfResponse | None:
        if not self.left:
            self.parse_step = ResponseParser._read_head
            return EndOfResponse(self.keep_alive)
        return self._take_body()

    def _take_body(self) -> bytes | None:
        piece = self._take_bytes(min(self.left, len(self.buffer)))
        self.left -= len(piece)
        return piece or None

    def _read_until_close(self) -> bytes | None:
        return self._take_bytes(len(self.buffer)) or None

    def _find_line_end(self) -> int | None:
        """Return the length of the first line in the buffer, or None if it is not complete."""
        end = self.buffer.find(b"\r\n", 0, MAX_CHUNK_LINE_BYTES + 2)
        if end >= 0:
            return end
        if len(self.buffer) > MAX_CHUNK_LINE_BYTES + 1:
            raise HttpError(502, "chunk line too long")
        return None

    def _read_chunk_line(self) -> bytes | None:
        end = self._find_line_end()
        if end is None:
            return None
        match = CHUNK_LINE_PATTERN.fullmatch(self.buffer, 0, end)
        if match is None:
            raise HttpError(502, "malformed chunk size")
        self.left, self.trailers = int(match[1], 16), 0
        del match  # it refers to the buffer
        del self.buffer[: end + 2]
        self.parse_step = ResponseParser._read_chunk if self.left else ResponseParser._read_trailer
        return b""

    def _read_chunk(self) -> bytes | None:
        if self.left:
            return self._take_body()
        if len(self.buffer) < 2:
            return None
        if not self.buffer.startswith(b"\r\n"):
            raise HttpError(502, "chunk longer than its size")
        del self.buffer[:2]
        self.parse_step = ResponseParser._read_chunk_line
        return b""

    def _read_trailer(self) -> bytes | EndOfResponse | None:
        end = self._find_line_end()
        if end is None:
            return None
        del self.buffer[: end + 2]
        self.trailers += 1
        if self.trailers > MAX_HEADER_FIELDS:
            raise HttpError(502, "too many trailers")
        if end:
            return b""
        self.parse_step = ResponseParser._read_head
        return EndOfResponse(self.keep_alive)


def encode_request(method: str, target: str, fields: Mapping[str, str], body: bytes = b"") -> bytes:
    """Encode a request. `Content-Length` is added if there is a body or the method usually has one."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_response(
    status: int, body: bytes = b"", fields: Mapping[str, str] | None = None, keep_alive: bool = True
) -> bytes:
    """Encode a response, with `Content-Length`, and with `Connection: close` unless `keep_alive`."""
    lines = [STATUS_LINES[status], f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
