"""The operator's own file: what each section may hold. pydantic models, and nothing else.

Owns names, bounds and defaults of the keys. It must never read a file, nor know what a key leads to.
Importing this costs 5 MB: it is imported only where a file has a section.
"""

import re
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, model_validator

NAME = r"^[0-9a-z][0-9a-z-]{0,31}$"
Name = Annotated[str, Field(pattern=NAME)]
HOST_PORT = re.compile(r"(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}")


def _endpoint(value: object) -> object:
    if not isinstance(value, str) or not HOST_PORT.fullmatch(value):
        raise ValueError("an IPv4 address and a port, as in 127.0.0.1:7401, is allowed")
    host, _, port = value.partition(":")
    if any(int(part) > 255 for part in host.split(".")) or not 0 < int(port) < 65536:
        raise ValueError("an IPv4 address and a port, as in 127.0.0.1:7401, is allowed")
    return value


def _words(value: object) -> object:
    return tuple(value.split()) if isinstance(value, str) else value


def _pairs(value: object, value_is: str) -> object:
    """`a=127.0.0.1:7401` on lines or after blanks."""
    if not isinstance(value, str):
        return value
    pairs = [word.partition("=") for word in value.replace(",", " ").split()]
    if any(not sign for _, sign, _ in pairs):
        raise ValueError(f"NAME={value_is} for each member is allowed")
    names = [name for name, _, _ in pairs]
    if len(set(names)) != len(names):
        raise ValueError("each member once is allowed")
    return {name: at for name, _, at in pairs}


def _endpoints(value: object) -> object:
    return _pairs(value, "HOST:PORT")


def _zones(value: object) -> object:
    return _pairs(value, "ZONE")


Endpoint = Annotated[str, BeforeValidator(_endpoint)]
Words = Annotated[tuple[str, ...], BeforeValidator(_words)]


class Section(BaseModel):
    """A section: unknown keys are errors, and nothing changes once it is read."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class LogSettings(Section):
    """[log]"""

    format: Literal["key-value", "json"] = Field("key-value", description="how a line of the log is written")
    lines_per_second: int = Field(50, ge=1, le=10_000, description="lines beyond that are left out")


class ServiceSettings(Section):
    """[address:NAME]"""

    name: Name = Field(description="from the section's name")
    at: Endpoint = Field(description="where clients connect")
    prefer: Words = Field((), description="instances that should have it, the most wanted first")
    announce: Literal["listen", "program"] = Field("listen", description="how the address is made known")
    program: str = Field("", description="with announce = program: run as PROGRAM add|remove NAME AT TERM")
    program_timeout_ms: int = Field(500, ge=10, le=10_000, description="it is killed after that")
    finish: Literal["after", "before"] = Field(
        "after", description="whether a planned move answers what is in hand after or before it hands over"
    )
    finish_ms: int = Field(3000, ge=0, le=60_000, description="and how long that may take")

    @model_validator(mode="after")
    def _program_named(self) -> "ServiceSettings":
        if (self.announce == "program") != bool(self.program):
            raise ValueError("program is allowed, and needed, with announce = program")
        return self


class AddressSettings(Section):
    """[address]"""

    enabled: bool = Field(False, description="off unless yes")
    group: Name = Field("wickgw", description="datagrams of other groups are dropped")
    instance: str = Field("", description="which member this is; the dispatcher's name otherwise")
    members: Annotated[dict[Name, Endpoint], BeforeValidator(_endpoints)] = Field(
        min_length=3, max_length=7, description="3 to 7 of NAME=HOST:PORT: where each member takes datagrams"
    )
    bind: Annotated[str, BeforeValidator(lambda v: _endpoint(v) if v else v)] = Field(
        "", description="where this one takes them, if its members' entry is a translated address"
    )
    key_file: Path = Field(description="made by `wickgw address new-key`")
    state_file: Path | None = Field(None, description="on a disk that lasts: spares a restart its quiet time")
    lease_ms: int = Field(1000, ge=300, le=1500, description="a vote's length")
    beat_ms: int = Field(100, ge=20, le=200, description="between beats")
    clock_drift: float = Field(0.01, ge=0.0001, le=0.1, description="share that a clock may be fast or slow")
    hold_down_s: float = Field(10.0, ge=0.5, le=3600, description="all well for so long before a move back")
    services: dict[str, ServiceSettings] = Field(min_length=1, max_length=16)

    @model_validator(mode="after")
    def _fits_together(self) -> "AddressSettings":
        if len(set(self.members.values())) < len(self.members):
            raise ValueError("members: a different HOST:PORT for each is allowed")
        if self.lease_ms < 4 * self.beat_ms:
            raise ValueError(f"lease_ms: at least 4 beats ({4 * self.beat_ms}) is allowed")
        taken: dict[str, str] = {}
        for name, service in self.services.items():
            if unknown := [p for p in service.prefer if p not in self.members]:
                raise ValueError(f"prefer of {name}: {unknown[0]!r} is no member")
            if service.at in taken:
                raise ValueError(f"at of {name}: {service.at} is {taken[service.at]}'s already")
            taken[service.at] = name
        return self


class RouteMatch(Section):
    """What [route:NAME] and [expect:NAME] say of requests. An open field means any."""

    host: Words = Field((), description="hosts; *.example.org is any host below it")
    path: Words = Field((), description="whole paths")
    path_prefix: Words = Field((), description="paths and all below them, by whole segments")
    path_pattern: Words = Field((), description="regular expressions for whole paths")
    method: Words = Field((), description="methods")
    job_class: Words = Field((), alias="class", description="classes: the first part of the path")
    zone: Words = Field((), description="zones that the client is in")
    headers: dict[str, str] = Field(
        default_factory=dict,
        description="header.NAME = present, absent, values, or: not values",
    )
    line: int = Field(0, exclude=True)


class RouteSettings(RouteMatch):
    """[route:NAME]"""

    pools: Words = Field(min_length=1, max_length=8, description="pools, the first that is not out serves")
    priority: int = Field(0, ge=-1000, le=1000, description="the highest wins; within it the most specific")
    attempts: int | None = Field(None, ge=1, le=6, description="at most; never more than the platform allows")
    time_limit_ms: int | None = Field(
        None, ge=1, le=600_000, description="at most; never more than the class's"
    )


class PoolSettings(Section):
    """[pool:NAME]"""

    zone: Words = Field((), description="zones of its workers")
    model: Words = Field((), description="models")
    group: Words = Field((), description="groups")
    name: Words = Field((), description="workers by name, with * and ?")
    out: str = Field(
        "none-ready",
        pattern=r"^(none-ready|all-draining|fewer-than [1-9][0-9]{0,4})$",
        description="when the next pool serves: none-ready, all-draining or fewer-than N",
    )
    line: int = Field(0, exclude=True)

    @model_validator(mode="after")
    def _groups_are_numbers(self) -> "PoolSettings":
        if any(not (g.isascii() and g.isdigit()) for g in self.group):
            raise ValueError(f"group: {' '.join(self.group)!r} read; whole numbers are allowed")
        return self


class WorkerSettings(Section):
    """[worker:NAME], for checks without traffic"""

    zone: str = Field("", description="its zone")
    model: str = Field("", description="its model")
    group: int = Field(0, description="its group")
    line: int = Field(0, exclude=True)


class ExpectSettings(RouteMatch):
    """[expect:NAME]"""

    why: str = Field("", description="a line for whoever reads that it broke")
    fleet: str = Field("any", description="any, all ready, or: draining|gone zone:ZONE|WORKERS; ...")
    unless: str = Field("", description="draining|gone|out zone:ZONE|WORKERS; ...: any of them excuses")
    expect: str = Field("", description="pool|zone|workers NAMES, refused, not found, attempts N")
    never: str = Field("", description="the same, which must not come about")

    @model_validator(mode="after")
    def _one_of_two(self) -> "ExpectSettings":
        if bool(self.expect) == bool(self.never):
            raise ValueError("one of expect and never is allowed, and needed")
        return self


class RoutingSettings(Section):
    """[routing]"""

    enabled: bool = Field(False, description="serve by these routes; checks need no such thing")
    zones: Words = Field((), description="all zones, for checks")
    classes: Words = Field((), description="all classes, for checks")
    attempts: int = Field(6, ge=1, le=6, description="attempts that the platform allows, for checks")
    zone_header: str = Field(
        "", description="a header that tells the client's zone; else the dispatcher's own"
    )
    expectations: Words = Field((), description="files beside this one with [expect:NAME] and [worker:NAME]")
    pools: dict[Name, PoolSettings] = Field(default_factory=dict, max_length=1000)
    routes: dict[Name, RouteSettings] = Field(default_factory=dict, max_length=10_000)
    workers: dict[str, WorkerSettings] = Field(default_factory=dict, max_length=10_000)
    expects: dict[Name, ExpectSettings] = Field(default_factory=dict, max_length=10_000)

    @model_validator(mode="after")
    def _pools_are_there(self) -> "RoutingSettings":
        for name, route in self.routes.items():
            if unknown := [p for p in route.pools if p not in self.pools]:
                raise ValueError(f"pools of route {name}: no pool is called {unknown[0]}")
        if self.enabled and not self.routes:
            raise ValueError("enabled: at least one route is needed")
        return self


class SubsettingSettings(Section):
    """[subsetting]"""

    enabled: bool = Field(
        False, description="off unless yes; off as well where a subset would hold the fleet"
    )
    workers: int = Field(
        ge=1, le=100_000, description="workers that the fleet has, about: the same everywhere"
    )
    dispatchers: Annotated[dict[str, str], BeforeValidator(_zones)] = Field(
        min_length=1, max_length=1000, description="NAME=ZONE of each dispatcher, this one too"
    )
    largest_whole_view: int = Field(
        400, ge=0, le=100_000, description="a fleet of no more workers is seen whole, subsetting or not"
    )


class Operator(Section):
    """The whole file."""

    log: LogSettings = LogSettings()
    address: AddressSettings | None = None
    routing: RoutingSettings | None = None
    subsetting: SubsettingSettings | None = None


# A section [KIND:NAME] is an entry of a table of the section that it belongs to.
TABLES = {
    "address": ("address", "services"),
    "pool": ("routing", "pools"),
    "route": ("routing", "routes"),
    "worker": ("routing", "workers"),
    "expect": ("routing", "expects"),
}


def sections(raw: dict[str, dict[str, str]], lines: dict[str, int]) -> dict[str, Any]:
    """The sections of a file as the data of Operator. Raises ValueError naming a section that is unknown."""
    data: dict[str, Any] = {
        title: dict(keys) for title, keys in raw.items() if title in Operator.model_fields
    }
    for title, keys in raw.items():
        kind, colon, name = title.partition(":")
        if title in data:
            continue
        if not colon or kind not in TABLES:
            known = ", ".join([*(f"[{k}]" for k in Operator.model_fields), *(f"[{k}:NAME]" for k in TABLES)])
            raise ValueError(f"[{title}]: unknown; {known} are allowed")
        owner, table = TABLES[kind]
        if owner not in data:
            raise ValueError(f"[{title}]: allowed only with a section [{owner}]")
        entry: dict[str, Any] = dict(keys)
        if kind == "address":
            entry["name"] = name.strip()
        else:
            entry["line"] = lines.get(title, 0)
            headers = {k[7:].lower(): entry.pop(k) for k in list(entry) if k.lower().startswith("header.")}
            if headers:
                entry["headers"] = headers
        data[owner].setdefault(table, {})[name.strip()] = entry
    return data
