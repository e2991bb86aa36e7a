"""What operators see: the log.

Owns the loggers that modules hold. A logger is made when it first has something to say: the library behind it
is not loaded before the process listens, and a module that never speaks loads nothing.
"""

from typing import Any


class Logger:
    """A named logger of the program."""

    def __init__(self, name: str) -> None:
        self._name = name

    def __getattr__(self, level: str) -> Any:
        """`info`, `warning`, `error`, `exception`, `debug`: a method of structlog's logger."""
        from wickgw.observe.log import make_logger

        return getattr(make_logger(self._name), level)


def logger(name: str) -> Logger:
    """The logger of that name."""
    return Logger(name)
