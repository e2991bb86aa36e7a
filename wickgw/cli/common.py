"""What the groups of commands have in common."""

import contextlib
import sys
from collections.abc import Iterator

import typer

from wickgw.config.relay import ConfigError


@contextlib.contextmanager
def told_plainly() -> Iterator[None]:
    """A configuration that can't be used ends the program with one line and status 2."""
    try:
        yield
    except ConfigError as error:
        print(f"wickgw: {error}", file=sys.stderr)
        raise typer.Exit(2) from None
