"""The first moments of a serving process: what it reads, where it listens, and what it loads after that.

A fleet's release starts hundreds of processes in one second, so the order is: read the configuration, listen,
let the loop wait once, and only then load the decisions, their numerics and the log. Connections that come in
between wait in the system's queue; `/-/ready` is answered once a list is held. Owns the listening sockets and
the signals until the node has them. It must never load what serving without an operator's file does not need.
"""

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from wickgw.config.ini import read_ini
from wickgw.config.relay import (
    Config,
    ConfigError,
    ConfigSources,
    ListeningSockets,
    open_sockets,
    read_config,
)

if TYPE_CHECKING:
    from wickgw.config.schema import OperatorConfig

TURN = 0.001  # seconds that the loop waits between the parts of a start
EARLY = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


def options(told: Sequence[str]) -> tuple[Path | None, bool] | None:
    """The options of `serve`, if they are only what it takes when it is given them right: the operator's file
    and whether to log more. Any other wording is the command line's to explain."""
    ini, verbose, rest = os.environ.get("WICKGW_INI") or None, False, list(told)
    while rest:
        word = rest.pop(0)
        if word in ("-v", "--verbose"):
            verbose = True
        elif word == "--ini" and rest:
            ini = rest.pop(0)
        elif word.startswith("--ini=") and len(word) > len("--ini="):
            ini = word.removeprefix("--ini=")
        else:
            return None
    return (Path(ini) if ini else None), verbose


def serve(ini: Path | None, verbose: bool) -> int:
    """Serve as one dispatcher until told to end; returns the exit status: 2, with one line that says why, for
    a configuration that can't be used."""
    early: list[int] = []
    for number in EARLY:  # unhandled they would end the process, and HUP never may
        signal.signal(number, lambda told, _: early.append(told))
    gc.disable()  # what is loaded stays: looking through it again and again takes a tenth of the start
    try:
        config, operator = read_config(os.environ), read_ini(ini)
        if operator is not None:
            from wickgw.node import check_routes

            check_routes(operator)
        opened = open_sockets(config)
        asyncio.run(_serve(config, operator, ConfigSources(os.environ, ini, verbose), opened, early))
    except ConfigError as error:
        print(f"wickgw: {error}", file=sys.stderr)
        return 2
    return 0


async def _serve(
    config: Config,
    operator: "OperatorConfig | None",
    sources: ConfigSources,
    opened: ListeningSockets,
    early: list[int],
) -> None:
    # Others that start beside this one get their turn before each large part: hundreds on a few cores would
    # each go without one for the whole of all their starts.
    await asyncio.sleep(TURN)
    # Its threads, if it has any, must take no signals: the process's last moments hold off this one's only.
    held = signal.pthread_sigmask(signal.SIG_BLOCK, EARLY)
    import numpy  # noqa: F401

    signal.pthread_sigmask(signal.SIG_SETMASK, held)
    await asyncio.sleep(TURN)
    from wickgw.node import run

    await asyncio.sleep(TURN)
    await run(config, operator, sources, opened, early)
