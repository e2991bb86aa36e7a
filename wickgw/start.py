"""Start of a serving process: reads the configuration, opens the listening sockets and loads the rest.

A release of a fleet starts hundreds of processes within one second. Therefore the order is: read the
configuration, listen, yield to the event loop once, and only then load the balancer, numpy and the log.
Connections that arrive in the meantime wait in the kernel's accept queue; `/-/ready` reports readiness once a
list of workers is held. This module owns the listening sockets and the signal handlers until the node takes
them over. It imports only what serving without an operator's file needs.
"""

import faulthandler
import gc
import math
import os
import signal
import sys
import time
from collections.abc import Coroutine, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

# asyncio does without TLS where `ssl` can't be imported; `None` makes the import fail. Nothing here speaks
# TLS, and its libraries are a tenth of the memory that a process takes.
if "ssl" not in sys.modules:
    sys.modules["ssl"] = None  # type: ignore[assignment]
    import asyncio

    del sys.modules["ssl"]
else:
    import asyncio

from wickgw.config.ini import read_ini
from wickgw.config.relay import (
    Config,
    ConfigError,
    ConfigSources,
    ListeningSockets,
    open_sockets,
    read_config,
)
from wickgw.net.listen import retry_at_start
from wickgw.net.memory_relief import MemoryRelief

if TYPE_CHECKING:
    from wickgw.config.schema import OperatorConfig

MAX_FAILING_S = 2.0  # of a loop that has no memory to go on
FAILURE_PAUSE_S = 0.2  # without a failure, after which the next one counts as a new beginning
WARM_UP_SIZE = 128  # rows of a product that is too large for the kernels which need no work space
YIELD_S = 0.001  # pause between the phases of a start, in which other processes run
EARLY_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


def parse_serve_options(arguments: Sequence[str]) -> tuple[Path | None, bool] | None:
    """Parse the options of `serve`.

    Returns the operator's file and whether to log more, or None if the options are not valid; the
    command-line library then parses them again and explains the error.
    """
    ini, verbose, rest = os.environ.get("WICKGW_INI") or None, False, list(arguments)
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
    """Run one dispatcher until a signal ends it, and return the exit status.

    The status is 2 if the configuration is invalid; one line on standard error gives the reason.
    """
    faulthandler.enable()  # on SIGABRT a process that is stuck prints where; its loop could not
    early_signals: list[int] = []
    # Without a handler these signals end the process, which SIGHUP must not do at any time.
    for number in EARLY_SIGNALS:
        signal.signal(number, lambda received, _: early_signals.append(received))
    # Loaded modules stay in memory; collecting garbage among them repeatedly takes a tenth of the start.
    gc.disable()
    try:
        config, operator = read_config(os.environ), read_ini(ini)
        if operator is not None:
            from wickgw.node import check_routes

            check_routes(operator)
        sockets = open_sockets(config)
        relief, configuration = MemoryRelief(), ConfigSources(os.environ, ini, verbose)
        _run_to_end(_serve(config, operator, configuration, sockets, early_signals, relief), relief)
    except ConfigError as error:
        print(f"wickgw: {error}", file=sys.stderr)
        return 2
    return 0


def _run_to_end(main: Coroutine[Any, Any, None], relief: MemoryRelief) -> None:
    """Run a coroutine to its end, on a loop of its own.

    A callback that fails for want of memory ends alone, and so does a connection. The loop itself may fail in
    between, while it waits or reports a failure. It goes on once there is memory again: what it has not
    handled it finds again. Raises what the coroutine raises, and MemoryError if the loop goes on failing for
    `MAX_FAILING_S`: a process that is ended can be started again, one that hangs can't.
    """
    with asyncio.Runner(loop_factory=lambda: retry_at_start(asyncio.new_event_loop)) as runner:
        loop = runner.get_loop()
        task = loop.create_task(main)
        failing_since = failed_at = -math.inf  # of failures that follow one another
        while not task.done():
            try:
                loop.run_until_complete(task)
            except MemoryError:
                now = time.monotonic()
                if now - failed_at > FAILURE_PAUSE_S:
                    failing_since = now
                failed_at = now
                if now - failing_since > MAX_FAILING_S:
                    raise
                if not task.done():
                    relief.relieve()
        task.result()


async def _serve(
    config: Config,
    operator: "OperatorConfig | None",
    sources: ConfigSources,
    sockets: ListeningSockets,
    early_signals: list[int],
    relief: MemoryRelief,
) -> None:
    """Load numpy and the node in phases, and run the node."""
    # Hundreds of processes may start on a few cores at the same time. The pause before each large import
    # lets the others run, which would otherwise be blocked for the whole duration of all the starts.
    await asyncio.sleep(YIELD_S)
    # Threads inherit the signal mask. Signals must reach the main thread only, because the shutdown code
    # blocks them in that thread alone.
    previous_mask = signal.pthread_sigmask(signal.SIG_BLOCK, EARLY_SIGNALS)
    import numpy

    # The library takes the address space for its work with the first product, and ends the process if it gets
    # none. So it takes it now.
    numpy.eye(WARM_UP_SIZE) @ numpy.eye(WARM_UP_SIZE)
    signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)
    await asyncio.sleep(YIELD_S)
    from wickgw.node import run

    await asyncio.sleep(YIELD_S)
    await run(config, operator, sources, sockets, early_signals, relief)
