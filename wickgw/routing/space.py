"""Partitions all requests into equivalence classes that no route and no expectation distinguishes.

Each equivalence class has a witness, which is one request of the class. What is true of the witness is true
of the whole class, because every predicate is constant on it and a table reads nothing else. The partition is
built host by host, then path by path among the matchers of the host, then by the method, zone and headers of
the remaining matchers. The number of classes thus grows with the routes, not with the product of all values
that they name. The number is bounded by `MAX_CLASSES`. All classes are enumerated; there is no sampling.
"""

import itertools
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from wickgw.routing.automata import BoundExceededError, path_equivalence_classes
from wickgw.routing.match import HostMatcher, PathMatcher, Request, RequestMatcher

MAX_CLASSES = 2_000_000
OTHER = "other"  # stands for all values that no matcher names


@dataclass(frozen=True, slots=True)
class EquivalenceClass:
    """Requests that no matcher distinguishes."""

    witness: Request
    matching: frozenset[int]  # the indexes of the matchers that match every request of the class


def host_witnesses(hosts: Iterable[HostMatcher]) -> list[str]:
    """Return one host for each way in which the matchers can match.

    These are every exact host, one host below each wildcard but below no deeper wildcard, and one host that
    no matcher matches.
    """
    hosts = set(hosts)
    exact = sorted(matcher.text for matcher in hosts if not matcher.wildcard)
    found = list(exact)
    for domain in sorted(matcher.text[1:] for matcher in hosts if matcher.wildcard):
        deeper = [matcher for matcher in hosts if matcher.wildcard and len(matcher.text) > len(domain) + 1]
        for label in itertools.chain(("any",), (f"any{number}" for number in itertools.count())):
            name = label + domain
            if name not in exact and not any(matcher.matches(name) for matcher in deeper):
                found.append(name)
                break
    for label in itertools.chain(("elsewhere",), (f"elsewhere{number}" for number in itertools.count())):
        if not any(matcher.matches(label) for matcher in hosts):
            return [*found, label]
    raise AssertionError


def equivalence_classes(
    matchers: Sequence[RequestMatcher], zones: Sequence[str]
) -> Iterator[EquivalenceClass]:
    """Yield every equivalence class of the requests from `zones`.

    Raises BoundExceededError and automata.NotRegularError.
    """
    known: dict[frozenset[PathMatcher], list[tuple[frozenset[PathMatcher], str]]] = {}
    count = 0
    for host in host_witnesses(host_matcher for matcher in matchers for host_matcher in matcher.hosts):
        for_host = [
            index
            for index, matcher in enumerate(matchers)
            if not matcher.hosts or any(host_matcher.matches(host) for host_matcher in matcher.hosts)
        ]
        paths = frozenset(
            path_matcher
            for index in for_host
            for path_matcher in (*matchers[index].paths, *matchers[index].classes)
        )
        if paths not in known:
            known[paths] = path_equivalence_classes(
                sorted(paths, key=lambda path_matcher: (path_matcher.kind, path_matcher.text))
            )
        for matching_paths, path in known[paths]:
            for_path = [index for index in for_host if _matches_path(matchers[index], matching_paths)]
            for method, zone, headers in _remaining_combinations(
                [matchers[index] for index in for_path], zones
            ):
                count += 1
                if count > MAX_CLASSES:
                    raise BoundExceededError(f"more than {MAX_CLASSES} kinds of requests")
                request = Request(host, path, method, zone, headers)
                yield EquivalenceClass(
                    request, frozenset(index for index in for_path if matchers[index].matches_rest(request))
                )


def _matches_path(matcher: RequestMatcher, matching_paths: frozenset[PathMatcher]) -> bool:
    """Return whether `matcher` matches a path that exactly `matching_paths` match."""
    return (not matcher.paths or any(path_matcher in matching_paths for path_matcher in matcher.paths)) and (
        not matcher.classes or any(path_matcher in matching_paths for path_matcher in matcher.classes)
    )


def _remaining_combinations(
    matchers: Sequence[RequestMatcher], zones: Sequence[str]
) -> Iterator[tuple[str, str, dict[str, str]]]:
    """Yield every combination of method, zone and headers that the matchers distinguish."""
    methods = {named_method for matcher in matchers for named_method in matcher.methods}
    other_methods = [_other(methods)] if methods else ["POST"]
    named_zones = {candidate for matcher in matchers for candidate in matcher.zones}
    unnamed_zones = [candidate for candidate in zones if candidate not in named_zones]
    # Zones that no matcher names are equivalent. A zone that does not exist sends no requests.
    zone_witnesses = (
        [candidate for candidate in zones if candidate in named_zones] + unnamed_zones[:1] if zones else [""]
    )
    values: dict[str, set[str]] = {}
    for matcher in matchers:
        for header in matcher.headers:
            values.setdefault(header.name, set()).update(header.values)
    names = sorted(values)
    choices = [[None, *sorted(values[name]), _other(values[name])] for name in names]
    for method in [*sorted(methods), *other_methods] if methods else other_methods:
        for zone in zone_witnesses:
            for combination in itertools.product(*choices):
                yield (
                    method,
                    zone,
                    {
                        header_name: value
                        for header_name, value in zip(names, combination, strict=True)
                        if value is not None
                    },
                )


def _other(values: Iterable[str]) -> str:
    """Return a value that is not in `values`."""
    values = set(values)
    return next(
        candidate
        for candidate in itertools.chain((OTHER,), (f"{OTHER}{number}" for number in itertools.count()))
        if candidate not in values
    )
