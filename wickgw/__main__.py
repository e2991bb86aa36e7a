"""Entry point of `python -m wickgw`.

`serve` with valid options starts without loading the command-line library. Every other command line goes to
`wickgw.cli`.
"""

import signal
import sys


def main() -> None:
    """Run the command given by the arguments."""
    if sys.argv[1:2] == ["serve"]:
        # They end a process that has no handler. Nothing is lost: the configuration is not read yet.
        for number in (signal.SIGHUP, signal.SIGUSR1):
            signal.signal(number, signal.SIG_IGN)
        from wickgw.start import parse_serve_options, serve

        if (options := parse_serve_options(sys.argv[2:])) is not None:
            sys.exit(serve(*options))
    from wickgw.cli import app

    app(prog_name="wickgw")


if __name__ == "__main__":
    main()
