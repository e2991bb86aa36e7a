"""Predicates on requests: host, path, method, zone and headers.

Each predicate is plain data with one `matches` method, which serving, checking and explaining all call. The
class of a job is the first part of its path, so a set of classes is a set of path prefixes. Predicates read
only the fields of `Request`, in their normal form.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from wickgw.routing import normal
from wickgw.routing.pattern import Pattern, compile_pattern


@dataclass(frozen=True)
class Request:
    """The parts of a request that routing reads.

    Host and path are in normal form, header names in lower case.
    """

    host: str
    path: str
    method: str = "POST"
    zone: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)

    @property
    def job_class(self) -> str:
        """The class of the job: the first part of the path."""
        return self.path[1:].partition("/")[0]

    def describe(self) -> str:
        """Return the request as one line of text."""
        fields = "".join(f" {name}={value!r}" for name, value in sorted(self.headers.items()))
        return f"{self.method} {self.host or '(no host)'}{self.path} from zone {self.zone or '?'}{fields}"


@dataclass(frozen=True)
class HostMatcher:
    """Matches one exact host, or, with a leading `*.`, every host below that domain."""

    text: str

    @property
    def wildcard(self) -> bool:
        """Whether the text begins with `*.`."""
        return self.text.startswith("*.")

    def matches(self, host: str) -> bool:
        """Return whether a host in normal form matches."""
        if not self.wildcard:
            return host == self.text
        return host.endswith(self.text[1:]) and len(host) > len(self.text) - 1


@dataclass(frozen=True)
class PathMatcher:
    """Matches paths by an exact path, a prefix of whole segments, or a regular expression.

    A regular expression must match the whole path.
    """

    kind: str  # exact, prefix, pattern
    text: str

    @cached_property
    def compiled(self) -> Pattern:
        """The regular expression of a pattern. Raises ValueError if it is malformed or not allowed."""
        return compile_pattern(self.text)

    @cached_property
    def literal(self) -> str:
        """The literal prefix of all matching paths, in whole segments. The index of the table uses it."""
        if self.kind != "pattern":
            return self.text
        prefix = re.match(r"(?:/[0-9A-Za-z_~-]+)*(?=/(?![*?{]))", self.text)
        return prefix[0] if prefix and "|" not in self.text else ""

    def matches(self, path: str) -> bool:
        """Return whether a path in normal form matches."""
        if self.kind == "exact":
            return path == self.text
        if self.kind == "prefix":
            return path == self.text or path.startswith(self.text if self.text == "/" else self.text + "/")
        return self.compiled.fullmatch(path) is not None

    @property
    def rank(self) -> tuple[int, int]:
        """The specificity; the higher value wins.

        An exact path ranks above a pattern, and a pattern above a prefix. Patterns are compared by the length
        of their literal prefix, prefixes by their own length.
        """
        if self.kind == "pattern":
            return 2, len(self.literal)
        return (3 if self.kind == "exact" else 1), len(self.text)


@dataclass(frozen=True)
class HeaderMatcher:
    """Matches a header that is present, absent, one of `values`, or none of `values`.

    An absent header matches `none-of`.
    """

    name: str
    kind: str  # present, absent, one-of, none-of
    values: frozenset[str] = frozenset()

    def matches(self, headers: Mapping[str, str]) -> bool:
        """Return whether the headers of a request match."""
        value = headers.get(self.name)
        if self.kind == "present":
            return value is not None
        if self.kind == "absent":
            return value is None
        return (value in self.values) is (self.kind == "one-of")


@dataclass(frozen=True)
class RequestMatcher:
    """Matches requests for which all fields match.

    A field with several values matches if one of them does. An empty field matches everything.
    """

    hosts: tuple[HostMatcher, ...] = ()
    paths: tuple[PathMatcher, ...] = ()
    classes: tuple[PathMatcher, ...] = ()  # job classes, as path prefixes
    methods: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()
    headers: tuple[HeaderMatcher, ...] = ()

    def matches(self, request: Request) -> bool:
        """Return whether `request` matches."""
        return (
            (not self.hosts or any(matcher.matches(request.host) for matcher in self.hosts))
            and self.matches_path(request.path)
            and self.matches_rest(request)
        )

    def matches_path(self, path: str) -> bool:
        """Return whether `path` matches the paths and job classes."""
        return (not self.paths or any(matcher.matches(path) for matcher in self.paths)) and (
            not self.classes or any(matcher.matches(path) for matcher in self.classes)
        )

    def matches_rest(self, request: Request) -> bool:
        """Return whether method, zone and headers of `request` match."""
        return (
            (not self.methods or request.method in self.methods)
            and (not self.zones or request.zone in self.zones)
            and all(matcher.matches(request.headers) for matcher in self.headers)
        )

    def rank(self, host: str, path: str) -> tuple[int, int, int, int, int]:
        """Return the specificity for a matching request; the higher value wins.

        The host is compared first, then the path, then the number of other constraints.
        """
        hosts = [
            (2, 0) if not matcher.wildcard else (1, len(matcher.text))
            for matcher in self.hosts
            if matcher.matches(host)
        ]
        paths = [path_matcher.rank for path_matcher in self.paths if path_matcher.matches(path)]
        constraints = sum(map(bool, (self.classes, self.methods, self.zones))) + len(self.headers)
        return (*max(hosts, default=(0, 0)), *max(paths, default=(0, 0)), constraints)


def parse_host(text: str) -> HostMatcher:
    """Parse a host from an operator's file, with an optional `*.`. Raises ValueError if it is malformed."""
    host = normal.host(text.removeprefix("*."))
    if not host:
        raise ValueError(f"not a host: {text!r}")
    return HostMatcher(("*." if text.startswith("*.") else "") + host)


def parse_path(kind: str, text: str) -> PathMatcher:
    """Parse a path from an operator's file; `kind` is exact, prefix or pattern.

    Raises ValueError if the path or the regular expression is malformed.
    """
    if kind == "pattern":
        if not text.startswith("/"):
            raise ValueError(f"a pattern begins with a slash: {text!r}")
        matcher = PathMatcher(kind, text)
        try:
            _ = matcher.compiled
        except ValueError as error:
            raise ValueError(f"not a pattern: {text!r}: {error}") from error
        return matcher
    path = normal.path(text)
    return PathMatcher(kind, path.rstrip("/") or "/" if kind == "prefix" else path)
