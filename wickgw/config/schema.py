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
    return tuple(value.replace(",", " ").split()) if isinstance(value, str) else value


def _pairs(value: object) -> object:
    """`a=127.0.0.1:7401` on lines or after blanks."""
    if not isinstance(value, str):
        return value
    pairs = [word.partition("=") for word in value.replace(",", " ").split()]
    if any(not sign for _, sign, _ in pairs):
        raise ValueError("NAME=HOST:PORT for each member is allowed")
    names = [name for name, _, _ in pairs]
    if len(set(names)) != len(names):
        raise ValueError("each member once is allowed")
    return {name: at for name, _, at in pairs}


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
    members: Annotated[dict[Name, Endpoint], BeforeValidator(_pairs)] = Field(
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


class Operator(Section):
    """The whole file."""

    log: LogSettings = LogSettings()
    address: AddressSettings | None = None


def sections(raw: dict[str, dict[str, str]]) -> dict[str, Any]:
    """The sections of a file as the data of Operator. Raises ValueError naming a section that is unknown."""
    data: dict[str, Any] = {}
    services: dict[str, dict[str, str]] = {}
    for title, keys in raw.items():
        kind, colon, name = title.partition(":")
        if title in ("log", "address"):
            data[title] = dict(keys)
        elif kind == "address" and colon:
            services[name.strip()] = {**keys, "name": name.strip()}
        else:
            raise ValueError(f"[{title}]: unknown; [log], [address] and [address:NAME] are allowed")
    if "address" in data:
        data["address"]["services"] = services
    elif services:
        raise ValueError(f"[address:{next(iter(services))}]: allowed only with a section [address]")
    return data
