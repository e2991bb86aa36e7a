"""From the operator's sections to a table of routes, and to the plan that checks read.

Owns what the words of a section mean: matches, pools, fleets, expectations. It must never look anything up in
a table, nor decide what an expectation comes to.
"""

import re
from collections.abc import Callable
from pathlib import Path as FilePath
from typing import TypeVar

from wickgw.config.ini import read_ini
from wickgw.config.relay import ConfigError
from wickgw.config.schema import ExpectSettings, PoolSettings, RouteMatch, RouteSettings, RoutingSettings
from wickgw.routing.check import Expectation, Plan, Wanted
from wickgw.routing.fleet import Condition, Given, Selector
from wickgw.routing.match import Header, Match, Path, host_of, path_of
from wickgw.routing.table import Pool, Route, State, Table, Worker

T = TypeVar("T")
STATES = {
    "draining": frozenset({State.DRAINING}),
    "gone": frozenset({State.GONE}),
    "out": frozenset({State.DRAINING, State.GONE}),
}
KINDS = ("pool", "zone", "workers", "refused", "not-found", "attempts")


def table_of(settings: RoutingSettings) -> Table:
    """The table that serves. Raises ConfigError."""
    pools = [_pool(name, pool) for name, pool in settings.pools.items()]
    return Table([_route(name, route) for name, route in settings.routes.items()], pools)


def refuse_ties(settings: RoutingSettings) -> None:
    """Before serving: raises ConfigError if two routes are equally specific on some request, and shows it.
    What can't be decided within bounds is left to `wickgw route check`, which says `unknown`."""
    from wickgw.routing.automata import NotRegular, TooLarge
    from wickgw.routing.space import cells

    table = table_of(settings)
    try:
        for cell in cells([route.match for route in table.routes], settings.zones):
            tied = table.take(cell.witness).tied
            if tied:
                names = " and ".join(f"[route:{route.name}]" for route in tied)
                raise ConfigError(
                    f"{names} tie on {cell.witness.told()}; a priority for one of them is needed"
                )
    except (NotRegular, TooLarge):
        return


def plan_of(settings: RoutingSettings) -> Plan:
    """All that can be checked without traffic. Raises ConfigError."""
    workers = [Worker(name, w.zone, w.model, w.group) for name, w in settings.workers.items()]
    return Plan(
        table_of(settings),
        settings.zones,
        tuple(workers),
        settings.classes,
        tuple(_expectation(name, e) for name, e in settings.expects.items()),
        settings.attempts,
    )


def read_plan(path: FilePath) -> Plan:
    """The plan of a file. Raises ConfigError."""
    operator = read_ini(path)
    if operator is None or operator.routing is None:
        raise ConfigError(f"{path}: no section [routing]")
    try:
        return plan_of(operator.routing)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error


def _meant(section: str, key: str, read: Callable[[str], T], texts: tuple[str, ...]) -> tuple[T, ...]:
    found = []
    for text in texts:
        try:
            found.append(read(text))
        except ValueError as error:
            raise ConfigError(f"[{section}] {key}: {text!r} read; {error}") from error
    return tuple(found)


def _match(section: str, said: RouteMatch) -> Match:
    paths: list[Path] = []
    for kind, texts in (("exact", said.path), ("prefix", said.path_prefix), ("pattern", said.path_pattern)):
        key = "path" if kind == "exact" else f"path_{kind}"
        paths += _meant(section, key, lambda text, kind=kind: path_of(kind, text), texts)  # type: ignore[misc]
    classes = _meant(section, "class", lambda text: path_of("prefix", f"/{text}"), said.job_class)
    headers = tuple(_header(name, value) for name, value in said.headers.items())
    return Match(
        _meant(section, "host", host_of, said.host),
        tuple(paths),
        classes,
        frozenset(method.upper() for method in said.method),
        frozenset(said.zone),
        headers,
    )


def _header(name: str, text: str) -> Header:
    words = text.split()
    if words in (["present"], ["absent"]):
        return Header(name, words[0])
    if words[:1] == ["not"]:
        return Header(name, "none-of", frozenset(words[1:]))
    return Header(name, "one-of", frozenset(words))


def _pool(name: str, said: PoolSettings) -> Pool:
    out, _, number = said.out.partition(" ")
    groups = frozenset(int(g) for g in said.group)
    return Pool(
        name,
        frozenset(said.zone),
        frozenset(said.model),
        groups,
        said.name,
        out,
        int(number) if number else 1,
    )


def _route(name: str, said: RouteSettings) -> Route:
    limit = None if said.time_limit_ms is None else said.time_limit_ms / 1000
    match = _match(f"route:{name}", said)
    return Route(name, match, said.pools, said.priority, said.attempts, limit, said.line)


def _expectation(name: str, said: ExpectSettings) -> Expectation:
    section = f"expect:{name}"
    key, text = ("never", said.never) if said.never else ("expect", said.expect)
    return Expectation(
        name,
        _match(section, said),
        fleet_of(section, said.fleet),
        _wanted(section, key, text),
        bool(said.never),
        tuple(Condition(STATES[word], who) for word, who in _troubles(section, "unless", said.unless)),
        said.why,
        said.line,
    )


def _wanted(section: str, key: str, text: str) -> Wanted:
    words = text.replace("not found", "not-found").split()
    kind, values = words[0], tuple(words[1:])
    fits = {"refused": not values, "not-found": not values, "attempts": len(values) == 1}.get(
        kind, bool(values)
    )
    if kind not in KINDS or not fits or (kind == "attempts" and not re.fullmatch("[1-6]", values[0])):
        raise ConfigError(
            f"[{section}] {key}: {text!r} read; pool, zone or workers with names, refused, not found, or "
            "attempts with 1 to 6 is allowed"
        )
    return Wanted(kind, values)


def fleet_of(section: str, text: str) -> Given:
    """A set of fleets in an operator's words. Raises ConfigError."""
    if text == "any":
        return Given()
    if text == "all ready":
        return Given(any=False)
    states = {"draining": State.DRAINING, "gone": State.GONE}
    said = [(states.get(word), selector) for word, selector in _troubles(section, "fleet", text)]
    if any(state is None for state, _ in said):
        raise ConfigError(f"[{section}] fleet: {text!r} read; draining or gone is allowed, not out")
    return Given(False, tuple((state, selector) for state, selector in said if state is not None))


def _troubles(section: str, key: str, text: str) -> list[tuple[str, Selector]]:
    """`draining zone:dallas; gone w1 w2`."""
    found = []
    for part in filter(None, (part.strip() for part in text.split(";"))):
        state, *names = part.split()
        if state not in STATES or not names:
            raise ConfigError(
                f"[{section}] {key}: {part!r} read; draining, gone or out with zone:ZONE or names of workers "
                "is allowed" + ("; also any, all ready" if key == "fleet" else "")
            )
        for name in names:
            kind = "zone" if name.startswith("zone:") else "workers"
            found.append((state, Selector(kind, name.removeprefix("zone:"))))
    return found
