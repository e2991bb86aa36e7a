"""HTTP/1.1 framing: incremental parsers for requests and responses, and the bytes of both.

Owns the bytes of one direction of one connection that are not yet a whole message, and bounds them. It must
never touch a socket or a clock, nor guess: framing that can be read in two ways is an error.
"""

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from functools import lru_cache
from http import HTTPStatus
from types import MappingProxyType

MAX_HEAD = 16 * 1024
MAX_TARGET = 2048
MAX_FIELDS = 100
MAX_BODY = 64 * 1024
MAX_CHUNK_LINE = 256
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
REQUEST_LINE = re.compile(rb"(" + TOKEN + rb") ([\x21-\x7e]+) HTTP/([0-9])\.([0-9])")
# What a target may hold: a peer closes on one that it can't read, and that would look like a peer in trouble.
TARGET = re.compile(rb"/(?:[0-9A-Za-z._~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})*")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?")
FIELD = re.compile(rb"(" + TOKEN + rb"):[ \t]*([\t\x20-\x7e\x80-\xff]*?)[ \t]*")
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
STRAY = re.compile(rb"\x00|(?<!\r)\n|\r(?!\n|\Z)")  # bytes that no head may hold
# Said twice, these leave open what is meant; any other field's values are joined.
SINGLE = {"content-length", "host", "idempotency-key", "req-id", "req-deadline-ms", "transfer-encoding"}


class HttpError(Exception):
    """A message that can't be taken; `status` is what a server says to it."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


STATUS = {status.value: f"HTTP/1.1 {status.value} {status.phrase}" for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class Request:
    """One whole request."""

    method: str
    target: str  # path and query as they came
    headers: Mapping[str, str]  # by lower-case name
    body: bytes
    keep: bool  # the connection outlives the answer

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class Head:
    """The head of a response; its body follows in pieces."""

    status: int
    headers: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class End:
    """The response is whole."""

    keep: bool  # the connection may carry another


@lru_cache(maxsize=2048)
def _field(line: bytes) -> tuple[str, str]:
    """One header field. Most of a connection's fields are the same in every message."""
    match = FIELD.fullmatch(line)  # a fold, a blank before the colon or a bare CR all end here
    if match is None:
        raise HttpError(400, "malformed header field")
    return match[1].decode("ascii").lower(), match[2].decode("latin-1")


def _fields(lines: list[bytes]) -> dict[str, str]:
    if len(lines) > MAX_FIELDS:
        raise HttpError(431, "too many header fields")
    fields: dict[str, str] = {}
    for line in lines:
        name, value = _field(line)
        if name in fields and name in SINGLE:
            raise HttpError(400, f"repeated header field {name}")
        fields[name] = f"{fields[name]}, {value}" if name in fields else value
    return fields


def _length(fields: Mapping[str, str]) -> int | None:
    text = fields.get("content-length")
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= 15):
        raise HttpError(400, "malformed Content-Length")
    return int(text)


def _tokens(fields: Mapping[str, str], name: str) -> set[str]:
    return {t.strip().lower() for t in fields.get(name, "").split(",")}


def _keeps(fields: Mapping[str, str], newer: bool) -> bool:
    """Whether the connection outlives the message; `newer` than HTTP/1.0."""
    if "connection" not in fields:
        return newer
    connection = _tokens(fields, "connection")
    return "close" not in connection and (newer or "keep-alive" in connection)


@lru_cache(maxsize=256)
def _response_head(raw: bytes) -> tuple[Head, bool]:
    """A response's head, and whether it is newer than HTTP/1.0. A peer's heads are mostly the same bytes."""
    lines = raw.split(b"\r\n")
    match = STATUS_LINE.fullmatch(lines[0])
    if match is None:
        raise HttpError(502, "malformed status line")
    return Head(int(match[2]), MappingProxyType(_fields(lines[1:]))), match[1] != b"0"


class _Parser:
    """The unread bytes of one direction, and the search for the end of a head in them."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.searched = 0

    def _head(self) -> bytes | None:
        end = self.buffer.find(b"\r\n\r\n", max(0, self.searched - 3))
        if (end if end >= 0 else len(self.buffer)) > MAX_HEAD:
            raise HttpError(431, "head too large")
        # From where the last search ended: a head that drips in must not be searched anew with every drop.
        if STRAY.search(self.buffer, max(0, self.searched - 1), end if end >= 0 else len(self.buffer)):
            raise HttpError(400, "stray control byte in the head")
        if end < 0:
            self.searched = len(self.buffer)
            return None
        self.searched = 0
        return self._take(end + 4)[:end]

    def _take(self, size: int) -> bytes:
        taken = bytes(self.buffer[:size])
        del self.buffer[:size]
        return taken


class RequestParser(_Parser):
    """Requests out of bytes, one at a time: `feed`, then `next` until it gives None."""

    def __init__(self) -> None:
        super().__init__()
        self.pending: Request | None = None  # its head is in, its body isn't
        self.length = 0
        self.told = False  # whoever asked for 100 Continue has been told
        # A body in chunks: what of it is decoded, the bytes of the chunk in hand (None: a size line is next;
        # -1: the trailers are next), while `pending` says whether the body is chunked at all.
        self.chunked = False
        self.body = bytearray()
        self.left: int | None = None

    def feed(self, data: bytes) -> None:
        """Add bytes as they came."""
        self.buffer += data

    @property
    def partial(self) -> bool:
        """A request has begun and isn't whole."""
        return self.pending is not None or bool(self.buffer)

    def wants_continue(self) -> bool:
        """True once for a request whose sender waits for 100 Continue before its body."""
        if self.pending is None or self.told:
            return False
        if (self.buffer or self.body) if self.chunked else len(self.buffer) >= self.length:
            return False
        self.told = "100-continue" in _tokens(self.pending.headers, "expect")
        return self.told

    def next(self) -> Request | None:
        """The next whole request, if it is in. Raises HttpError; framing is lost then."""
        if self.pending is None:
            while self.buffer[:2] == b"\r\n":  # left over after a body by careless senders
                del self.buffer[:2]
            head = self._head()
            if head is None:
                return None
            self.pending, self.length = self._read(head.split(b"\r\n"))
            self.told = False
            self.chunked = self.length < 0
        if self.chunked:
            if not self._chunks():
                return None
            request, self.pending, self.chunked = self.pending, None, False
            body, self.body = bytes(self.body), bytearray()
            return Request(request.method, request.target, request.headers, body, request.keep)
        if len(self.buffer) < self.length:
            return None
        request, self.pending = self.pending, None
        if not self.length:
            return request
        body = self._take(self.length)
        return Request(request.method, request.target, request.headers, body, request.keep)

    def _read(self, lines: list[bytes]) -> tuple[Request, int]:
        match = REQUEST_LINE.fullmatch(lines[0])
        if match is None:
            raise HttpError(400, "malformed request line")
        if match[3] != b"1":
            raise HttpError(505, "only HTTP/1.1 is spoken here")
        fields = _fields(lines[1:])
        if match[4] != b"0" and "host" not in fields:
            raise HttpError(400, "no Host")
        if len(match[2]) > MAX_TARGET:
            raise HttpError(414, "target too long")
        if not TARGET.fullmatch(match[2]):
            raise HttpError(400, "the target must be a path")
        length = _length(fields)
        if "transfer-encoding" in fields:
            if length is not None:  # the classic way to smuggle a second request past a proxy
                raise HttpError(400, "both Transfer-Encoding and Content-Length")
            if fields["transfer-encoding"].strip().lower() != "chunked":
                raise HttpError(501, "no transfer encoding but chunked is taken in requests")
            length = -1
        if (length or 0) > MAX_BODY:
            raise HttpError(413, "body too large")
        keep = _keeps(fields, match[4] != b"0")
        return Request(match[1].decode(), match[2].decode(), fields, b"", keep), length or 0

    def _chunks(self) -> bool:
        """Decode what is in of a chunked body; whether it is whole. Raises HttpError."""
        while True:
            if self.left is None:  # a size line
                end = self.buffer.find(b"\r\n", 0, MAX_CHUNK_LINE + 2)
                if end < 0:
                    if len(self.buffer) > MAX_CHUNK_LINE:
                        raise HttpError(400, "chunk size line too long")
                    return False
                match = CHUNK_LINE.fullmatch(self.buffer, 0, end)
                if match is None:
                    raise HttpError(400, "malformed chunk size")
                size = int(match[1], 16)
                if len(self.body) + size > MAX_BODY:
                    raise HttpError(413, "body too large")
                del self.buffer[: end + 2]
                self.left = size if size else -1
            elif self.left >= 0:  # the bytes of a chunk and the line's end after them
                if len(self.buffer) < self.left + 2:
                    return False
                if self.buffer[self.left : self.left + 2] != b"\r\n":
                    raise HttpError(400, "chunk without its line end")
                self.body += self.buffer[: self.left]
                del self.buffer[: self.left + 2]
                self.left = None
            else:  # trailers, which are not passed on, and the empty line that ends them
                end = 0 if self.buffer[:2] == b"\r\n" else self.buffer.find(b"\r\n\r\n")
                if end < 0:
                    if len(self.buffer) > MAX_HEAD:
                        raise HttpError(431, "trailers too large")
                    return False
                del self.buffer[: end + (2 if end == 0 else 4)]
                self.left = None
                return True


class ResponseParser(_Parser):
    """Responses out of bytes: `feed` yields a Head, pieces of body as they come, and an End."""

    def __init__(self) -> None:
        super().__init__()
        self.step = self._read_head
        self.left = 0  # bytes of this body or chunk that are still to come
        self.trailers = 0
        self.keep = True

    @property
    def between(self) -> bool:
        """No response has begun."""
        return self.step == self._read_head and not self.buffer

    def feed(self, data: bytes) -> Iterator[Head | bytes | End]:
        """What the bytes complete, one by one: what came before an error is seen before it is raised."""
        self.buffer += data
        while (part := self.step()) is not None:
            if part != b"":
                yield part

    def eof(self) -> End | None:
        """The other side has ended: an End if that ended the response, None if it broke it off."""
        return End(False) if self.step == self._read_until_close else None

    def _read_head(self) -> Head | End | bytes | None:
        raw = self._head()
        if raw is None:
            return None
        head, newer = _response_head(raw)
        if head.status < 200:
            if head.status == 101:
                raise HttpError(502, "unasked switch of protocols")
            return b""
        fields, status = head.headers, head.status
        length, coding = _length(fields), fields.get("transfer-encoding")
        self.keep = _keeps(fields, newer)
        if coding is not None:
            if length is not None or coding.strip().lower() != "chunked":
                raise HttpError(502, "ambiguous framing")
            self.step = self._read_chunk_line
        elif status in (204, 304):
            self.left, self.step = 0, self._read_length
        elif length is not None:
            self.left, self.step = length, self._read_length
        else:
            self.keep, self.step = False, self._read_until_close
        return head

    def _read_length(self) -> bytes | End | None:
        if not self.left:
            self.step = self._read_head
            return End(self.keep)
        return self._body()

    def _body(self) -> bytes | None:
        piece = self._take(min(self.left, len(self.buffer)))
        self.left -= len(piece)
        return piece or None

    def _read_until_close(self) -> bytes | None:
        return self._take(len(self.buffer)) or None

    def _line(self) -> bytes | None:
        end = self.buffer.find(b"\r\n")
        if end < 0 and len(self.buffer) <= MAX_CHUNK_LINE:
            return None
        if not 0 <= end <= MAX_CHUNK_LINE:
            raise HttpError(502, "chunk line too long")
        return self._take(end + 2)[:-2]

    def _read_chunk_line(self) -> bytes | None:
        line = self._line()
        if line is None:
            return None
        match = CHUNK_LINE.fullmatch(line)
        if match is None:
            raise HttpError(502, "malformed chunk size")
        self.left, self.trailers = int(match[1], 16), 0
        self.step = self._read_chunk if self.left else self._read_trailer
        return b""

    def _read_chunk(self) -> bytes | None:
        if self.left:
            return self._body()
        if len(self.buffer) < 2:
            return None
        if self._take(2) != b"\r\n":
            raise HttpError(502, "chunk longer than its size")
        self.step = self._read_chunk_line
        return b""

    def _read_trailer(self) -> bytes | End | None:
        line = self._line()
        if line is None:
            return None
        self.trailers += 1
        if self.trailers > MAX_FIELDS:
            raise HttpError(502, "too many trailers")
        if line:
            return b""
        self.step = self._read_head
        return End(self.keep)


def request(method: str, target: str, fields: Mapping[str, str], body: bytes = b"") -> bytes:
    """The bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def response(
    status: int, body: bytes = b"", fields: Mapping[str, str] | None = None, keep: bool = True
) -> bytes:
    """The bytes of a response."""
    lines = [STATUS[status], f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in (fields or {}).items()]
    if not keep:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
