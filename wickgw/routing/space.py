"""All requests, cut into cells within which no route and no expectation tells two requests apart.

A cell has a witness, and what is true of the witness is true of the whole cell: predicates are constant
on it, and a table looks at nothing else. Cells are cut host by host, then path by path among what
the host leaves, then by what the remaining ones look at: the number of cells follows the routes, not the
product of all that they name. Owns the bound on that number. It must never sample.
"""

import itertools
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from wickgw.routing.automata import TooLarge, classes
from wickgw.routing.match import Host, Match, Path, Request

MOST_CELLS = 2_000_000
OTHER = "other"  # a value that nobody names


@dataclass(frozen=True, slots=True)
class Cell:
    """One cell: its witness, and which of the given matches mean it (by their index)."""

    witness: Request
    meant: frozenset[int]


def host_witnesses(hosts: Iterable[Host]) -> list[str]:
    """A host for each way in which hosts can be met: each exact one, one below each wildcard and no deeper
    one, and one that none means."""
    hosts = set(hosts)
    exact = sorted(h.text for h in hosts if not h.wildcard)
    found = list(exact)
    for wild in sorted(h.text[1:] for h in hosts if h.wildcard):
        deeper = [h for h in hosts if h.wildcard and len(h.text) > len(wild) + 1]
        for label in itertools.chain(("any",), (f"any{n}" for n in itertools.count())):
            name = label + wild
            if name not in exact and not any(h.holds(name) for h in deeper):
                found.append(name)
                break
    for label in itertools.chain(("elsewhere",), (f"elsewhere{n}" for n in itertools.count())):
        if not any(h.holds(label) for h in hosts):
            return [*found, label]
    raise AssertionError


def cells(matches: Sequence[Match], zones: Sequence[str]) -> Iterator[Cell]:
    """Every cell of all requests from these zones. Raises TooLarge, automata.NotRegular."""
    known: dict[frozenset[Path], list[tuple[frozenset[Path], str]]] = {}
    count = 0
    for host in host_witnesses(h for m in matches for h in m.hosts):
        here = [k for k, m in enumerate(matches) if not m.hosts or any(h.holds(host) for h in m.hosts)]
        paths = frozenset(p for k in here for p in (*matches[k].paths, *matches[k].classes))
        if paths not in known:
            known[paths] = classes(sorted(paths, key=lambda p: (p.kind, p.text)))
        for met, path in known[paths]:
            there = [k for k in here if _meets(matches[k], met)]
            for method, zone, headers in _rest([matches[k] for k in there], zones):
                count += 1
                if count > MOST_CELLS:
                    raise TooLarge(f"more than {MOST_CELLS} kinds of requests")
                request = Request(host, path, method, zone, headers)
                yield Cell(request, frozenset(k for k in there if matches[k].holds_rest(request)))


def _meets(match: Match, met: frozenset[Path]) -> bool:
    return (not match.paths or any(p in met for p in match.paths)) and (
        not match.classes or any(p in met for p in match.classes)
    )


def _rest(matches: Sequence[Match], zones: Sequence[str]) -> Iterator[tuple[str, str, dict[str, str]]]:
    """Methods, zones and headers that these matches tell apart."""
    methods = {m for match in matches for m in match.methods}
    told = [_other(methods)] if methods else ["POST"]
    named = {z for match in matches for z in match.zones}
    rest = [z for z in zones if z not in named]
    # Zones that nobody names are alike; a zone that does not exist sends no requests.
    from_zones = [z for z in zones if z in named] + rest[:1] if zones else [""]
    values: dict[str, set[str]] = {}
    for match in matches:
        for header in match.headers:
            values.setdefault(header.name, set()).update(header.values)
    names = sorted(values)
    choices = [[None, *sorted(values[name]), _other(values[name])] for name in names]
    for method in [*sorted(methods), *told] if methods else told:
        for zone in from_zones:
            for picked in itertools.product(*choices):
                yield method, zone, {n: v for n, v in zip(names, picked, strict=True) if v is not None}


def _other(values: Iterable[str]) -> str:
    """A value that none of these is."""
    values = set(values)
    return next(
        v for v in itertools.chain((OTHER,), (f"{OTHER}{n}" for n in itertools.count())) if v not in values
    )
