"""`python -m wickgw`: the command line.

`serve`, worded as the platform words it, starts without the library that explains a command line to people.
"""

import sys


def main() -> None:
    """Run the command that the arguments name."""
    if sys.argv[1:2] == ["serve"]:
        from wickgw.start import options, serve

        if (told := options(sys.argv[2:])) is not None:
            sys.exit(serve(*told))
    from wickgw.cli import app

    app(prog_name="wickgw")


if __name__ == "__main__":
    main()
