"""The schema of the operator's INI file, as pydantic models.

The models define the names, bounds and defaults of the keys. They do not read files, and do not depend on the
code that uses the keys. Importing this module takes 5 MB of memory, so it is imported only for a file that
has a section.
"""

import re
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, model_validator

NAME_PATTERN = r"^[0-9a-z][0-9a-z-]{0,31}$"
Name = Annotated[str, Field(pattern=NAME_PATTERN)]
HOST_PORT_PATTERN = re.compile(r"(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}")


def _parse_endpoint(value: object) -> object:
    """Return `value` if it is HOST:PORT with an IPv4 address. Raises ValueError otherwise."""
    if not isinstance(value, str) or not HOST_PORT_PATTERN.fullmatch(value):
        raise ValueError("an IPv4 address and a port, as in 127.0.0.1:7401, is allowed")
    host, _, port = value.partition(":")
    if any(int(part) > 255 for part in host.split(".")) or not 0 < int(port) < 65536:
        raise ValueError("an IPv4 address and a port, as in 127.0.0.1:7401, is allowed")
    return value


def _parse_words(value: object) -> object:
    """Split a string into a tuple of words."""
    return tuple(value.split()) if isinstance(value, str) else value


def _parse_pairs(value: object, value_format: str) -> object:
    """Parse `NAME=VALUE` pairs, such as `a=127.0.0.1:7401`, separated by spaces, commas or line breaks.

    `value_format` is the format of VALUE, for error messages. Raises ValueError.
    """
    if not isinstance(value, str):
        return value
    pairs = [word.partition("=") for word in value.replace(",", " ").split()]
    if any(not sign for _, sign, _ in pairs):
        raise ValueError(f"NAME={value_format} for each member is allowed")
    names = [name for name, _, _ in pairs]
    if len(set(names)) != len(names):
        raise ValueError("each member once is allowed")
    return {name: text for name, _, text in pairs}


def _parse_member_endpoints(value: object) -> object:
    return _parse_pairs(value, "HOST:PORT")


def _parse_dispatcher_zones(value: object) -> object:
    return _parse_pairs(value, "ZONE")


Endpoint = Annotated[str, BeforeValidator(_parse_endpoint)]
Words = Annotated[tuple[str, ...], BeforeValidator(_parse_words)]


class Section(BaseModel):
    """The base class of sections. Unknown keys are errors, and instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class LogSettings(Section):
    """The section [log]: the format and the rate of log lines."""

    format: Literal["key-value", "json"] = Field("key-value", description="the format of log lines")
    lines_per_second: int = Field(
        50, ge=1, le=10_000, description="the limit on lines in one second; further lines are dropped"
    )


class ServiceSettings(Section):
    """A section [address:NAME]: a service address that moves between instances."""

    name: Name = Field(description="the name of the section")
    at: Endpoint = Field(description="the address that clients connect to")
    prefer: Words = Field((), description="instances that should hold the address, in order of preference")
    announce: Literal["listen", "program"] = Field(
        "listen", description="how the address is announced: by listening on it, or by running a program"
    )
    program: str = Field(
        "", description="with announce = program: the program, run as PROGRAM add|remove NAME AT TERM"
    )
    program_timeout_ms: int = Field(
        500, ge=10, le=10_000, description="the program is killed after this time"
    )
    finish: Literal["after", "before"] = Field(
        "after", description="whether a planned move finishes accepted requests after or before the handover"
    )
    finish_ms: int = Field(3000, ge=0, le=60_000, description="the time limit for finishing them")

    @model_validator(mode="after")
    def _check_program(self) -> "ServiceSettings":
        if (self.announce == "program") != bool(self.program):
            raise ValueError("program is allowed, and needed, with announce = program")
        return self


class AddressSettings(Section):
    """The section [address]: the members that share service addresses, and their timing."""

    enabled: bool = Field(False, description="whether service addresses are moved")
    group: Name = Field("wickgw", description="the name of the group; datagrams of other groups are dropped")
    instance: str = Field("", description="the name of this member; by default the name of the dispatcher")
    members: Annotated[dict[Name, Endpoint], BeforeValidator(_parse_member_endpoints)] = Field(
        min_length=3,
        max_length=7,
        description="3 to 7 pairs NAME=HOST:PORT: the address on which each member receives datagrams",
    )
    bind: Annotated[str, BeforeValidator(lambda value: _parse_endpoint(value) if value else value)] = Field(
        "", description="the local address for datagrams, if the entry in members is a translated address"
    )
    key_file: Path = Field(description="the key file, created by `wickgw address new-key`")
    state_file: Path | None = Field(
        None, description="a file on a persistent disk; with it, a restart needs no quiet period"
    )
    lease_ms: int = Field(
        1000, ge=300, le=1500, description="the duration of the votes that this member asks for"
    )
    beat_ms: int = Field(100, ge=20, le=200, description="the interval between heartbeats")
    clock_drift: float = Field(
        0.01, ge=0.0001, le=0.1, description="the maximum relative error of a clock's rate"
    )
    hold_down_s: float = Field(
        10.0, ge=0.5, le=3600, description="how long all must be healthy before an address moves back"
    )
    services: dict[str, ServiceSettings] = Field(min_length=1, max_length=16)

    @model_validator(mode="after")
    def _check_consistency(self) -> "AddressSettings":
        if len(set(self.members.values())) < len(self.members):
            raise ValueError("members: a different HOST:PORT for each is allowed")
        if self.lease_ms < 4 * self.beat_ms:
            raise ValueError(f"lease_ms: at least 4 beats ({4 * self.beat_ms}) is allowed")
        name_by_address: dict[str, str] = {}
        for name, service in self.services.items():
            if unknown := [preferred for preferred in service.prefer if preferred not in self.members]:
                raise ValueError(f"prefer of {name}: {unknown[0]!r} is no member")
            if service.at in name_by_address:
                raise ValueError(f"at of {name}: {service.at} is {name_by_address[service.at]}'s already")
            name_by_address[service.at] = name
        return self


class RouteMatch(Section):
    """The keys of [route:NAME] and [expect:NAME] that match requests. An empty key matches every request."""

    host: Words = Field((), description="hosts; *.example.org matches every host below example.org")
    path: Words = Field((), description="exact paths")
    path_prefix: Words = Field((), description="path prefixes of whole segments")
    path_pattern: Words = Field((), description="regular expressions that match whole paths")
    method: Words = Field((), description="methods")
    job_class: Words = Field((), alias="class", description="job classes: the first part of the path")
    zone: Words = Field((), description="zones of the client")
    headers: dict[str, str] = Field(
        default_factory=dict,
        description="header.NAME = present, absent, VALUES, or not VALUES",
    )
    line: int = Field(0, exclude=True)  # of the section in the operator's file


class RouteSettings(RouteMatch):
    """A section [route:NAME]: the requests of a route, and the pools that serve them."""

    pools: Words = Field(min_length=1, max_length=8, description="pools; the first that is not out serves")
    priority: int = Field(
        0, ge=-1000, le=1000, description="the highest priority wins, then the most specific route"
    )
    attempts: int | None = Field(
        None, ge=1, le=6, description="the maximum number of attempts; never more than the platform allows"
    )
    time_limit_ms: int | None = Field(
        None, ge=1, le=600_000, description="the maximum time; never more than that of the job class"
    )


class PoolSettings(Section):
    """A section [pool:NAME]: the workers of a pool."""

    zone: Words = Field((), description="zones of the workers")
    model: Words = Field((), description="models of the workers")
    group: Words = Field((), description="groups of the workers")
    name: Words = Field((), description="names of the workers, with * and ?")
    out: str = Field(
        "none-ready",
        pattern=r"^(none-ready|all-draining|fewer-than [1-9][0-9]{0,4})$",
        description="when the next pool serves: none-ready, all-draining or fewer-than N",
    )
    line: int = Field(0, exclude=True)  # of the section in the operator's file

    @model_validator(mode="after")
    def _check_groups(self) -> "PoolSettings":
        if any(not (group.isascii() and group.isdigit()) for group in self.group):
            raise ValueError(f"group: {' '.join(self.group)!r} read; whole numbers are allowed")
        return self


class WorkerSettings(Section):
    """A section [worker:NAME]: a worker that the checks assume."""

    zone: str = Field("", description="the zone of the worker")
    model: str = Field("", description="the model of the worker")
    group: int = Field(0, description="the group of the worker")
    line: int = Field(0, exclude=True)  # of the section in the operator's file


class ExpectSettings(RouteMatch):
    """A section [expect:NAME]: the result that an operator expects for a set of requests."""

    why: str = Field("", description="an explanation, printed if the expectation is broken")
    fleet: str = Field(
        "any", description="the fleets: any, all ready, or draining|gone zone:ZONE|WORKERS; ..."
    )
    unless: str = Field(
        "",
        description="draining|gone|out zone:ZONE|WORKERS; ...: fleets in which the expectation may fail",
    )
    expect: str = Field(
        "", description="the expected result: pool|zone|workers NAMES, refused, not found, attempts N"
    )
    never: str = Field("", description="a result that must not occur, in the same format")

    @model_validator(mode="after")
    def _check_expect_or_never(self) -> "ExpectSettings":
        if bool(self.expect) == bool(self.never):
            raise ValueError("one of expect and never is allowed, and needed")
        return self


class RoutingSettings(Section):
    """The section [routing]: whether routes are used, and the names that the checks assume."""

    enabled: bool = Field(False, description="whether routes are used for serving; checks work without it")
    zones: Words = Field((), description="all zones, for checks")
    classes: Words = Field((), description="all job classes, for checks")
    attempts: int = Field(
        6, ge=1, le=6, description="the number of attempts that the platform allows, for checks"
    )
    zone_header: str = Field(
        "", description="the header with the client's zone; by default the dispatcher's own zone"
    )
    expectations: Words = Field(
        (), description="files in the same directory with [expect:NAME] and [worker:NAME]"
    )
    pools: dict[Name, PoolSettings] = Field(default_factory=dict, max_length=1000)
    routes: dict[Name, RouteSettings] = Field(default_factory=dict, max_length=10_000)
    workers: dict[str, WorkerSettings] = Field(default_factory=dict, max_length=10_000)
    expects: dict[Name, ExpectSettings] = Field(default_factory=dict, max_length=10_000)

    @model_validator(mode="after")
    def _check_pools_exist(self) -> "RoutingSettings":
        for name, route in self.routes.items():
            if unknown := [pool for pool in route.pools if pool not in self.pools]:
                raise ValueError(f"pools of route {name}: no pool is called {unknown[0]}")
        if self.enabled and not self.routes:
            raise ValueError("enabled: at least one route is needed")
        return self


class SubsettingSettings(Section):
    """The section [subsetting]: whether a dispatcher uses only a subset of the workers."""

    enabled: bool = Field(
        False, description="whether subsets are used; not if a subset would contain the whole fleet"
    )
    workers: int = Field(
        ge=1, le=100_000, description="the approximate number of workers; the same for every dispatcher"
    )
    dispatchers: Annotated[dict[str, str], BeforeValidator(_parse_dispatcher_zones)] = Field(
        min_length=1, max_length=1000, description="NAME=ZONE for each dispatcher, including this one"
    )
    largest_whole_view: int = Field(
        400, ge=0, le=100_000, description="a fleet of up to this many workers is used whole"
    )


class OperatorConfig(Section):
    """All sections of the operator's file."""

    log: LogSettings = LogSettings()
    address: AddressSettings | None = None
    routing: RoutingSettings | None = None
    subsetting: SubsettingSettings | None = None


# A section [KIND:NAME] is an entry in a field of another section: KIND -> (section, field).
SUBSECTIONS = {
    "address": ("address", "services"),
    "pool": ("routing", "pools"),
    "route": ("routing", "routes"),
    "worker": ("routing", "workers"),
    "expect": ("routing", "expects"),
}


def build_model_data(raw: dict[str, dict[str, str]], lines: dict[str, int]) -> dict[str, Any]:
    """Return the input data of `OperatorConfig`. Raises ValueError for an unknown section."""
    data: dict[str, Any] = {
        title: dict(keys) for title, keys in raw.items() if title in OperatorConfig.model_fields
    }
    for title, keys in raw.items():
        kind, colon, name = title.partition(":")
        if title in data:
            continue
        if not colon or kind not in SUBSECTIONS:
            known = ", ".join(
                [
                    *(f"[{key}]" for key in OperatorConfig.model_fields),
                    *(f"[{key}:NAME]" for key in SUBSECTIONS),
                ]
            )
            raise ValueError(f"[{title}]: unknown; {known} are allowed")
        section, field = SUBSECTIONS[kind]
        if section not in data:
            raise ValueError(f"[{title}]: allowed only with a section [{section}]")
        entry: dict[str, Any] = dict(keys)
        if kind == "address":
            entry["name"] = name.strip()
        else:
            entry["line"] = lines.get(title, 0)
            headers = {
                key[7:].lower(): entry.pop(key) for key in list(entry) if key.lower().startswith("header.")
            }
            if headers:
                entry["headers"] = headers
        data[section].setdefault(field, {})[name.strip()] = entry
    return data
