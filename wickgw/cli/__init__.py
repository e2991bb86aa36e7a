"""The command line: a module for each group of commands.

Nothing here decides anything: arguments are read, the parts are called, and what they say is printed with an
exit code (0 done, 1 found wrong, 2 can't be used).
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
