"""The platform's configuration: RELAY_CONFIG and the environment around it.

Owns its one reader, which serves the start, a reload and `wickgw check` alike. It must never let a
configuration through that a dispatcher could not start on, nor say what is wrong in more than one line.
"""

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wickgw import interface as i
from wickgw.balance import Balancer
from wickgw.drill import read_settings
from wickgw.net.sockets import address

FEWEST_DESCRIPTORS = 32


class ConfigError(Exception):
    """The configuration or the environment can't be used."""


@dataclass(frozen=True, slots=True)
class Config:
    """What a dispatcher is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: str
    seed: int
    descriptors: int
    memory_mb: float
    settings: i.Settings
    known: Any  # the list as it was held last, in discovery's form; None if there was none


def read_config(environ: Mapping[str, str]) -> Config:
    """The configuration named by the environment. Raises ConfigError with one plain line."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not an object")

    def text(key: str, file_first: bool = False) -> str:
        told = environ.get(f"RELAY_{key.upper()}"), raw.get(key)
        value = (told[1] or told[0]) if file_first else (told[0] or told[1])
        if not isinstance(value, str) or not value:
            raise ConfigError(f"{path}: {key} is missing")
        return value

    # The file can be replaced while the process runs, its environment can't: where discovery is, which may
    # change, is the file's to say. Name and listening address hold for the process's life.
    name, listen, discovery = text("name"), text("listen"), text("discovery", file_first=True)
    try:
        where = address(listen)
        address(discovery)
        settings = read_settings(raw["settings"])
        Balancer(settings, 0)  # refuses impossible settings by name
        seed = raw.get("seed", 0)
        limits = raw.get("limits", {})
        descriptors, memory = limits.get("sockets", 1024), float(limits.get("memory_mb", 192))
        if type(descriptors) is not int or descriptors < FEWEST_DESCRIPTORS:
            raise ValueError(f"limits.sockets: {descriptors!r} is too few")
        if not 0 < memory < math.inf:
            raise ValueError(f"limits.memory_mb: {memory!r} can't be")
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        what = f"{error} is missing" if isinstance(error, KeyError) else str(error)
        raise ConfigError(f"{path}: {what}") from error
    return Config(name, where, discovery, seed, descriptors, memory, settings, raw.get("known"))
