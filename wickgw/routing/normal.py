"""The normal form of hosts and paths, so that a different spelling can't bypass a route (RFC 3986, 6.2.2).

In a path, percent-encoded unreserved characters are decoded, and other percent-encodings are written in upper
case. Characters that a path can't contain are percent-encoded as UTF-8. Dot segments are removed, and
consecutive slashes become one. An encoded slash (%2F) is not a slash. A host is written in lower case,
without port and trailing dot. Requests are forwarded unchanged; only routing uses the normal form.
"""

import re

UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
SEGMENT_CHARACTERS = UNRESERVED | frozenset("!$&'()*+,;=:@")  # characters of a segment that need no encoding
HEX_DIGITS = "0123456789ABCDEF"
PERCENT_ENCODED = re.compile(r"%([0-9A-Fa-f]{2})")
MAYBE_NOT_NORMAL = re.compile(r"[^A-Za-z0-9\-._~!$&'()*+,;=:@/]|//|/\.")  # a path without a match is normal
HOST_NAME = re.compile(r"[0-9a-z_-]+(\.[0-9a-z_-]+)*")


class MalformedError(ValueError):
    """The host or path is malformed and has no normal form."""


def path(raw: str) -> str:
    """Return the normal form of a path without its query.

    Raises MalformedError if the path does not begin with a slash, or if a percent sign is not followed by two
    hexadecimal digits.
    """
    if raw.startswith("/") and not MAYBE_NOT_NORMAL.search(raw):
        return raw
    if not raw.startswith("/"):
        raise MalformedError(f"a path begins with a slash: {raw[:80]!r}")
    segments: list[str] = []
    parts = [_normalize_segment(part) for part in raw.split("/")[1:]]
    for part in parts:
        if part == "..":
            if segments:
                segments.pop()
        elif part not in ("", "."):
            segments.append(part)
    trailing_slash = "/" if parts[-1] in ("", ".", "..") and segments else ""
    return "/" + "/".join(segments) + trailing_slash


def _normalize_segment(part: str) -> str:
    normal, index = [], 0
    while index < len(part):
        if part[index] == "%":
            match = PERCENT_ENCODED.match(part, index)
            if match is None:
                raise MalformedError(f"a percent sign without two hexadecimal digits: {part[:80]!r}")
            character = chr(int(match[1], 16))
            normal.append(character if character in UNRESERVED else match[0].upper())
            index += 3
        elif part[index] in SEGMENT_CHARACTERS:
            normal.append(part[index])
            index += 1
        else:
            normal += [f"%{byte:02X}" for byte in part[index].encode("utf-8", "surrogatepass")]
            index += 1
    return "".join(normal)


def host(raw: str) -> str:
    """Return the normal form of a Host header field; empty if the field is empty.

    Raises MalformedError if the host or the port is malformed.
    """
    name, colon, port = raw.strip().lower().partition(":")
    if colon and port and not (port.isascii() and port.isdigit()):
        raise MalformedError(f"not a host: {raw[:80]!r}")
    name = name.removesuffix(".")
    if name and not HOST_NAME.fullmatch(name):
        raise MalformedError(f"not a host: {raw[:80]!r}")
    return name
