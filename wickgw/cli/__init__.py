"""The command line: one module for each group of commands.

A command parses its arguments, calls the other packages, and prints the result. The exit codes are 0 for
success, 1 for a negative result or a failure, and 2 for unusable input.
"""

import typer

from wickgw.cli import address, route, serve

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="The label job dispatcher of Piedmont Label Works.",
)
app.add_typer(serve.app)
app.add_typer(address.app, name="address")
app.add_typer(route.app, name="route")
