"""What a route or an expectation looks at in a request: host, path, method, zone, headers.

Owns the predicates. Each is plain data with one `holds`, which serving, checking and explaining all call; the
class of a job is the first part of its path, so a set of classes is a set of path prefixes. It must never
look at anything of a request but `Request`'s fields, in their normal form.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from wickgw.routing import normal


@dataclass(frozen=True)
class Request:
    """A request as routing sees it: host and path in normal form, header names in small letters."""

    host: str
    path: str
    method: str = "POST"
    zone: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)

    @property
    def job_class(self) -> str:
        """The first part of the path."""
        return self.path[1:].partition("/")[0]

    def told(self) -> str:
        """One line to read."""
        fields = "".join(f" {k}={v!r}" for k, v in sorted(self.headers.items()))
        return f"{self.method} {self.host or '(no host)'}{self.path} from zone {self.zone or '?'}{fields}"


@dataclass(frozen=True)
class Host:
    """An exact host, or with `*.` any host below it."""

    text: str

    @property
    def wildcard(self) -> bool:
        """Whether it begins with `*.`."""
        return self.text.startswith("*.")

    def holds(self, host: str) -> bool:
        """Whether a host in normal form is meant."""
        if not self.wildcard:
            return host == self.text
        return host.endswith(self.text[1:]) and len(host) > len(self.text) - 1


@dataclass(frozen=True)
class Path:
    """One way of naming paths: exact, prefix (whole segments), pattern (a regular expression for it all)."""

    kind: str  # exact, prefix, pattern
    text: str

    @cached_property
    def _compiled(self) -> re.Pattern[str]:
        return re.compile(self.text)

    @cached_property
    def literal(self) -> str:
        """What every path meant begins with: whole segments, for the index."""
        if self.kind != "pattern":
            return self.text
        plain = re.match(r"(?:/[0-9A-Za-z_~-]+)*(?=/(?![*?{]))", self.text)
        return plain[0] if plain and "|" not in self.text else ""

    def holds(self, path: str) -> bool:
        """Whether a path in normal form is meant."""
        if self.kind == "exact":
            return path == self.text
        if self.kind == "prefix":
            return path == self.text or path.startswith(self.text if self.text == "/" else self.text + "/")
        return self._compiled.fullmatch(path) is not None

    @property
    def rank(self) -> tuple[int, int]:
        """How specific it is: exact, then a pattern by its plain beginning, then the longest prefix."""
        if self.kind == "pattern":
            return 2, len(self.literal)
        return (3 if self.kind == "exact" else 1), len(self.text)


@dataclass(frozen=True)
class Header:
    """A named header: present, absent, one of some values, or none of them (absent counts as none)."""

    name: str
    kind: str  # present, absent, one-of, none-of
    values: frozenset[str] = frozenset()

    def holds(self, headers: Mapping[str, str]) -> bool:
        """Whether the headers are as wanted."""
        value = headers.get(self.name)
        if self.kind == "present":
            return value is not None
        if self.kind == "absent":
            return value is None
        return (value in self.values) is (self.kind == "one-of")


@dataclass(frozen=True)
class Match:
    """All that must hold together; within a field one of several does. An empty field is open."""

    hosts: tuple[Host, ...] = ()
    paths: tuple[Path, ...] = ()
    classes: tuple[Path, ...] = ()  # prefixes
    methods: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()
    headers: tuple[Header, ...] = ()

    def holds(self, request: Request) -> bool:
        """Whether a request is meant."""
        return (
            (not self.hosts or any(h.holds(request.host) for h in self.hosts))
            and self.holds_path(request.path)
            and self.holds_rest(request)
        )

    def holds_path(self, path: str) -> bool:
        """The part that looks at the path."""
        return (not self.paths or any(p.holds(path) for p in self.paths)) and (
            not self.classes or any(p.holds(path) for p in self.classes)
        )

    def holds_rest(self, request: Request) -> bool:
        """The part that looks at neither host nor path."""
        return (
            (not self.methods or request.method in self.methods)
            and (not self.zones or request.zone in self.zones)
            and all(h.holds(request.headers) for h in self.headers)
        )

    def rank(self, host: str, path: str) -> tuple[int, int, int, int, int]:
        """How specific it is for a request that it means: host first, then path, then how much else it
        looks at. Bigger wins."""
        hosts = [(2, 0) if not h.wildcard else (1, len(h.text)) for h in self.hosts if h.holds(host)]
        paths = [p.rank for p in self.paths if p.holds(path)]
        rest = sum(map(bool, (self.classes, self.methods, self.zones))) + len(self.headers)
        return (*max(hosts, default=(0, 0)), *max(paths, default=(0, 0)), rest)


def host_of(text: str) -> Host:
    """A host as an operator writes it. Raises ValueError."""
    plain = normal.host(text.removeprefix("*."))
    if not plain:
        raise ValueError(f"not a host: {text!r}")
    return Host(("*." if text.startswith("*.") else "") + plain)


def path_of(kind: str, text: str) -> Path:
    """A path as an operator writes it. Raises ValueError."""
    if kind == "pattern":
        if not text.startswith("/"):
            raise ValueError(f"a pattern begins with a slash: {text!r}")
        try:
            re.compile(text)
        except re.error as error:
            raise ValueError(f"not a pattern: {text!r}: {error}") from error
        return Path(kind, text)
    plain = normal.path(text)
    return Path(kind, plain.rstrip("/") or "/" if kind == "prefix" else plain)
