"""Helpers that all groups of commands share."""

import contextlib
import sys
from collections.abc import Iterator

import typer

from wickgw.config.relay import ConfigError


@contextlib.contextmanager
def exit_on_config_error() -> Iterator[None]:
    """Turn a ConfigError into one line on stderr and exit code 2."""
    try:
        yield
    except ConfigError as error:
        print(f"wickgw: {error}", file=sys.stderr)
        raise typer.Exit(2) from None
