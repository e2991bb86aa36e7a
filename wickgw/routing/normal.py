"""One spelling for hosts and paths, so that no route is dodged by spelling (RFC 3986, section 6.2.2).

Paths: percent-codes of unreserved characters are decoded, others written in capitals, what may not stand in
a path is coded as UTF-8, dot segments are removed, and slashes in a row count as one. A coded slash (%2F)
is not a slash. Hosts: small letters, no port, no dot at the end. Owns nothing. What came is passed on
unchanged; only routing looks at the normal form.
"""

import re

UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
PLAIN = UNRESERVED | frozenset("!$&'()*+,;=:@")  # what a segment may hold uncoded
HEX = "0123456789ABCDEF"
CODED = re.compile(r"%([0-9A-Fa-f]{2})")
ODD = re.compile(r"[^A-Za-z0-9\-._~!$&'()*+,;=:@/]|//|/\.")  # may not be normal yet
HOST = re.compile(r"[0-9a-z_-]+(\.[0-9a-z_-]+)*")


class Malformed(ValueError):
    """It has no normal form."""


def path(raw: str) -> str:
    """The normal form of a path (without its query). Raises Malformed: a stray percent sign."""
    if raw.startswith("/") and not ODD.search(raw):
        return raw
    if not raw.startswith("/"):
        raise Malformed(f"a path begins with a slash: {raw[:80]!r}")
    segments: list[str] = []
    parts = [_segment(part) for part in raw.split("/")[1:]]
    for part in parts:
        if part == "..":
            if segments:
                segments.pop()
        elif part not in ("", "."):
            segments.append(part)
    slash = "/" if parts[-1] in ("", ".", "..") and segments else ""
    return "/" + "/".join(segments) + slash


def _segment(part: str) -> str:
    out, at = [], 0
    while at < len(part):
        if part[at] == "%":
            match = CODED.match(part, at)
            if match is None:
                raise Malformed(f"a percent sign without two hexadecimal digits: {part[:80]!r}")
            plain = chr(int(match[1], 16))
            out.append(plain if plain in UNRESERVED else match[0].upper())
            at += 3
        elif part[at] in PLAIN:
            out.append(part[at])
            at += 1
        else:
            out += [f"%{byte:02X}" for byte in part[at].encode("utf-8", "surrogatepass")]
            at += 1
    return "".join(out)


def host(raw: str) -> str:
    """The normal form of a Host field; empty if there is none. Raises Malformed."""
    name, colon, port = raw.strip().lower().partition(":")
    if colon and port and not (port.isascii() and port.isdigit()):
        raise Malformed(f"not a host: {raw[:80]!r}")
    name = name.removesuffix(".")
    if name and not HOST.fullmatch(name):
        raise Malformed(f"not a host: {raw[:80]!r}")
    return name
