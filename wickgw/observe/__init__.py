"""The log of a dispatcher.

Provides the loggers of the modules. structlog is loaded when a logger writes its first event, and not before
the process listens. A module that logs nothing does not load it.
"""

from typing import Any


class Logger:
    """A named logger that creates structlog's logger on use."""

    def __init__(self, name: str) -> None:
        self._name = name

    def __getattr__(self, level: str) -> Any:
        """Return the method of structlog's logger for a level, such as `info`, `warning` or `exception`."""
        from wickgw.observe.log import make_logger

        return getattr(make_logger(self._name), level)


def get_logger(name: str) -> Logger:
    """Return the logger of that name."""
    return Logger(name)
