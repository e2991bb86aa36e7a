"""`wickgw serve`, `check`, `version`: one dispatcher, and what it would be told.

Owns nothing but arguments, what is printed, and exit codes.
"""

import os
from pathlib import Path
from typing import Annotated

import typer

from wickgw import start
from wickgw.cli.common import told_plainly
from wickgw.config.ini import read_ini
from wickgw.config.relay import read_config
from wickgw.node import check_routes
from wickgw.version import VERSION

app = typer.Typer()
INI = typer.Option(
    "--ini", envvar="WICKGW_INI", help="The operator's own file; deploy/wickgw.ini if it is there."
)


@app.command()
def serve(
    verbose: Annotated[bool, typer.Option("--verbose", "-v", help="Log more.")] = False,
    ini: Annotated[Path | None, INI] = None,
) -> None:
    """Serve as one dispatcher, configured by RELAY_CONFIG, until SIGTERM; SIGHUP reads it again."""
    raise typer.Exit(start.serve(ini, verbose))


@app.command()
def check(ini: Annotated[Path | None, INI] = None) -> None:
    """Read the configuration as `serve` would and say what it holds."""
    with told_plainly():
        config, operator = read_config(os.environ), read_ini(ini)
        check_routes(operator)
    s = config.settings
    print(f"name       {config.name}")
    print(f"listen     {config.listen[0]}:{config.listen[1]}")
    print(f"discovery  {config.discovery}")
    print(f"zone       {s.zones[s.zone] if s.zone < len(s.zones) else s.zone}")
    for c in s.classes:
        print(f"class      {c.name}: aim {c.aim:g} s, deadline {c.deadline:g} s, {c.effect.value}")
    if operator is not None:
        print(f"log        {operator.log.format}")
    if operator is not None and operator.address is not None and operator.address.enabled:
        for name, service in operator.address.services.items():
            print(f"address    {name} at {service.at}, preferred by {' '.join(service.prefer) or 'nobody'}")
    if operator is not None and operator.routing is not None and operator.routing.enabled:
        print(f"routes     {len(operator.routing.routes)} to {len(operator.routing.pools)} pools")


@app.command()
def reference() -> None:
    """Print the reference of the operator's file, made from its schema."""
    from wickgw.config.reference import reference as page

    print(page(), end="")


@app.command()
def version() -> None:
    """Print the version."""
    print(VERSION)
