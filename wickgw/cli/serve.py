"""`wickgw serve`, `check`, `reference` and `version`: run one dispatcher, or show its configuration.

This module parses arguments, prints results and sets exit codes.
"""

import os
from pathlib import Path
from typing import Annotated

import typer

from wickgw import start
from wickgw.cli.common import exit_on_config_error
from wickgw.config.ini import read_ini
from wickgw.config.relay import read_config
from wickgw.node import check_routes
from wickgw.version import VERSION

app = typer.Typer()
INI_OPTION = typer.Option(
    "--ini", envvar="WICKGW_INI", help="The operator's file; by default deploy/wickgw.ini, if it exists."
)


@app.command()
def serve(
    verbose: Annotated[bool, typer.Option("--verbose", "-v", help="Write more log lines.")] = False,
    ini: Annotated[Path | None, INI_OPTION] = None,
) -> None:
    """Serve as one dispatcher, configured by RELAY_CONFIG, until SIGTERM. SIGHUP reloads it."""
    raise typer.Exit(start.serve(ini, verbose))


@app.command()
def check(ini: Annotated[Path | None, INI_OPTION] = None) -> None:
    """Read the configuration as `serve` does, and print a summary."""
    with exit_on_config_error():
        config, operator = read_config(os.environ), read_ini(ini)
        check_routes(operator)
    settings = config.settings
    print(f"name       {config.name}")
    print(f"listen     {config.listen[0]}:{config.listen[1]}")
    print(f"discovery  {config.discovery}")
    print(
        "zone       "
        f"{settings.zones[settings.zone] if settings.zone < len(settings.zones) else settings.zone}"
    )
    for job_class in settings.classes:
        print(
            f"class      {job_class.name}: aim {job_class.latency_target:g} s, "
            f"deadline {job_class.deadline:g} s, "
            f"{job_class.idempotency.value}"
        )
    if operator is not None:
        print(f"log        {operator.log.format}")
    if operator is not None and operator.address is not None and operator.address.enabled:
        for name, service in operator.address.services.items():
            print(f"address    {name} at {service.at}, preferred by {' '.join(service.prefer) or 'nobody'}")
    if operator is not None and operator.routing is not None and operator.routing.enabled:
        print(f"routes     {len(operator.routing.routes)} to {len(operator.routing.pools)} pools")


@app.command()
def reference() -> None:
    """Print the reference of the operator's file, generated from its schema."""
    from wickgw.config.reference import reference as reference_page

    print(reference_page(), end="")


@app.command()
def version() -> None:
    """Print the version."""
    print(VERSION)
