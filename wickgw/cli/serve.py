"""`wickgw serve`, `check`, `version`: one dispatcher, and what it would be told.

Owns nothing but arguments, what is printed, and exit codes.
"""

import asyncio
import os
from typing import Annotated

import typer

from wickgw.cli.common import told_plainly
from wickgw.config.relay import read_config
from wickgw.node import run
from wickgw.observe.log import set_up_log
from wickgw.version import VERSION

app = typer.Typer()


@app.command()
def serve(
    verbose: Annotated[bool, typer.Option("--verbose", "-v", help="Log more.")] = False,
) -> None:
    """Serve as one dispatcher, configured by RELAY_CONFIG, until SIGTERM; SIGHUP reads it again."""
    with told_plainly():
        config = read_config(os.environ)
        set_up_log(verbose)
        asyncio.run(run(config))


@app.command()
def check() -> None:
    """Read the configuration as `serve` would and say what it holds."""
    with told_plainly():
        config = read_config(os.environ)
    s = config.settings
    print(f"name       {config.name}")
    print(f"listen     {config.listen[0]}:{config.listen[1]}")
    print(f"discovery  {config.discovery}")
    print(f"zone       {s.zones[s.zone] if s.zone < len(s.zones) else s.zone}")
    for c in s.classes:
        print(f"class      {c.name}: aim {c.aim:g} s, deadline {c.deadline:g} s, {c.effect.value}")


@app.command()
def version() -> None:
    """Print the version."""
    print(VERSION)
