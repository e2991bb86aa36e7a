"""Converts the operator's sections to a routing table, and to the plan for the checks.

This module parses the values of a section: matchers, pools, fleets and expectations. It does not look up
requests, except to reject routes that tie, and does not evaluate expectations.
"""

import re
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from wickgw.config.ini import read_ini
from wickgw.config.relay import ConfigError
from wickgw.config.schema import ExpectSettings, PoolSettings, RouteMatch, RouteSettings, RoutingSettings
from wickgw.routing.check import CheckPlan, Expectation, ExpectedResult
from wickgw.routing.fleet import FleetCondition, FleetSet, Selector
from wickgw.routing.match import HeaderMatcher, PathMatcher, RequestMatcher, parse_host, parse_path
from wickgw.routing.table import Pool, Route, Table, Worker, WorkerState

T = TypeVar("T")
STATES_BY_WORD = {
    "draining": frozenset({WorkerState.DRAINING}),
    "gone": frozenset({WorkerState.GONE}),
    "out": frozenset({WorkerState.DRAINING, WorkerState.GONE}),
}
RESULT_KINDS = ("pool", "zone", "workers", "refused", "not-found", "attempts")


def build_table(settings: RoutingSettings) -> Table:
    """Return the routing table. Raises ConfigError."""
    pools = [_build_pool(name, pool) for name, pool in settings.pools.items()]
    return Table([_build_route(name, route) for name, route in settings.routes.items()], pools)


def reject_tied_routes(settings: RoutingSettings) -> None:
    """Raise ConfigError, with an example, if several routes are equally specific for a request.

    This runs before a dispatcher serves. If the bounds are exceeded, the routes are accepted; `wickgw route
    check` then reports `unknown`.
    """
    from wickgw.routing.automata import BoundExceededError, NotRegularError
    from wickgw.routing.space import equivalence_classes

    table = build_table(settings)
    try:
        for equivalence_class in equivalence_classes(
            [route.matcher for route in table.routes], settings.zones
        ):
            tied = table.lookup(equivalence_class.witness).tied
            if tied:
                names = " and ".join(f"[route:{route.name}]" for route in tied)
                raise ConfigError(
                    f"{names} tie on {equivalence_class.witness.describe()}; "
                    "a priority for one of them is needed"
                )
    except (NotRegularError, BoundExceededError):
        return


def build_plan(settings: RoutingSettings) -> CheckPlan:
    """Return the plan for the checks. Raises ConfigError."""
    workers = [
        Worker(name, worker.zone, worker.model, worker.group) for name, worker in settings.workers.items()
    ]
    return CheckPlan(
        build_table(settings),
        settings.zones,
        tuple(workers),
        settings.classes,
        tuple(_build_expectation(name, expectation) for name, expectation in settings.expects.items()),
        settings.attempts,
    )


def read_plan(path: Path) -> CheckPlan:
    """Read the plan for the checks from a file. Raises ConfigError."""
    operator = read_ini(path)
    if operator is None or operator.routing is None:
        raise ConfigError(f"{path}: no section [routing]")
    try:
        return build_plan(operator.routing)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error


def _parse_all(section: str, key: str, parse: Callable[[str], T], texts: tuple[str, ...]) -> tuple[T, ...]:
    """Return `parse` of each text. Turns a ValueError into a ConfigError that names section and key."""
    parsed = []
    for text in texts:
        try:
            parsed.append(parse(text))
        except ValueError as error:
            raise ConfigError(f"[{section}] {key}: {text!r} read; {error}") from error
    return tuple(parsed)


def _build_matcher(section: str, settings: RouteMatch) -> RequestMatcher:
    """Return the matcher of a route or expectation. `section` is its title. Raises ConfigError."""
    paths: list[PathMatcher] = []
    for kind, texts in (
        ("exact", settings.path),
        ("prefix", settings.path_prefix),
        ("pattern", settings.path_pattern),
    ):
        key = "path" if kind == "exact" else f"path_{kind}"
        paths += _parse_all(section, key, lambda text, kind=kind: parse_path(kind, text), texts)  # type: ignore[misc]
    classes = _parse_all(section, "class", lambda text: parse_path("prefix", f"/{text}"), settings.job_class)
    headers = tuple(_parse_header(name, value) for name, value in settings.headers.items())
    return RequestMatcher(
        _parse_all(section, "host", parse_host, settings.host),
        tuple(paths),
        classes,
        frozenset(method.upper() for method in settings.method),
        frozenset(settings.zone),
        headers,
    )


def _parse_header(name: str, text: str) -> HeaderMatcher:
    """Parse `present`, `absent`, a list of values, or `not` and a list of values."""
    words = text.split()
    if words in (["present"], ["absent"]):
        return HeaderMatcher(name, words[0])
    if words[:1] == ["not"]:
        return HeaderMatcher(name, "none-of", frozenset(words[1:]))
    return HeaderMatcher(name, "one-of", frozenset(words))


def _build_pool(name: str, settings: PoolSettings) -> Pool:
    out, _, number = settings.out.partition(" ")
    groups = frozenset(int(group) for group in settings.group)
    return Pool(
        name,
        frozenset(settings.zone),
        frozenset(settings.model),
        groups,
        settings.name,
        out,
        int(number) if number else 1,
    )


def _build_route(name: str, settings: RouteSettings) -> Route:
    time_limit_s = None if settings.time_limit_ms is None else settings.time_limit_ms / 1000
    matcher = _build_matcher(f"route:{name}", settings)
    return Route(
        name,
        matcher,
        settings.pools,
        settings.priority,
        settings.attempts,
        time_limit_s,
        settings.line,
    )


def _build_expectation(name: str, settings: ExpectSettings) -> Expectation:
    section = f"expect:{name}"
    key, text = ("never", settings.never) if settings.never else ("expect", settings.expect)
    return Expectation(
        name,
        _build_matcher(section, settings),
        parse_fleet(section, settings.fleet),
        _parse_result(section, key, text),
        bool(settings.never),
        tuple(
            FleetCondition(STATES_BY_WORD[word], selector)
            for word, selector in _parse_conditions(section, "unless", settings.unless)
        ),
        settings.why,
        settings.line,
    )


def _parse_result(section: str, key: str, text: str) -> ExpectedResult:
    """Parse the value of the key `expect` or `never`. Raises ConfigError."""
    words = text.replace("not found", "not-found").split()
    kind, values = words[0], tuple(words[1:])
    valid = {"refused": not values, "not-found": not values, "attempts": len(values) == 1}.get(
        kind, bool(values)
    )
    if kind not in RESULT_KINDS or not valid or (kind == "attempts" and not re.fullmatch("[1-6]", values[0])):
        raise ConfigError(
            f"[{section}] {key}: {text!r} read; pool, zone or workers with names, refused, not found, or "
            "attempts with 1 to 6 is allowed"
        )
    return ExpectedResult(kind, values)


def parse_fleet(section: str, text: str) -> FleetSet:
    """Parse a set of fleets, in the format of the key `fleet`. Raises ConfigError."""
    if text == "any":
        return FleetSet()
    if text == "all ready":
        return FleetSet(any=False)
    states_by_word = {"draining": WorkerState.DRAINING, "gone": WorkerState.GONE}
    conditions = [
        (states_by_word.get(word), selector) for word, selector in _parse_conditions(section, "fleet", text)
    ]
    if any(state is None for state, _ in conditions):
        raise ConfigError(f"[{section}] fleet: {text!r} read; draining or gone is allowed, not out")
    return FleetSet(False, tuple((state, selector) for state, selector in conditions if state is not None))


def _parse_conditions(section: str, key: str, text: str) -> list[tuple[str, Selector]]:
    """Parse states with selectors, as in `draining zone:dallas; gone w1 w2`. Raises ConfigError."""
    conditions = []
    for part in filter(None, (part.strip() for part in text.split(";"))):
        word, *names = part.split()
        if word not in STATES_BY_WORD or not names:
            raise ConfigError(
                f"[{section}] {key}: {part!r} read; draining, gone or out with zone:ZONE or names of workers "
                "is allowed" + ("; also any, all ready" if key == "fleet" else "")
            )
        for name in names:
            kind = "zone" if name.startswith("zone:") else "workers"
            conditions.append((word, Selector(kind, name.removeprefix("zone:"))))
    return conditions
