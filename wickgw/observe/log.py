"""Structured logging for the whole program: one event a line, key=value or JSON, to standard error.

Owns the one handler that everything is written through, the program's own events (structlog) and what the
standard library logs alike. It must never write more than so many lines a second, nor wait for a reader: a
pipe that nobody empties would stop the loop, and every client with it.
"""

import logging
import os
import stat
import sys
from typing import Any, Literal

# structlog draws exceptions for a developer's console with rich, where it finds it: a third of all that a
# start loads, for lines that this program never writes. The `None` says, to this import, that there is none.
_RICH = {name: sys.modules.pop(name) for name in [*sys.modules] if name.partition(".")[0] == "rich"}
sys.modules["rich"] = None  # type: ignore[assignment]
try:
    import structlog
    from structlog.typing import Processor
finally:
    del sys.modules["rich"]
    sys.modules.update(_RICH)

LINES_A_SECOND = 50
Format = Literal["key-value", "json"]


class Sparing(logging.Filter):
    """So many lines a second and no more: a peer that talks nonsense must not fill the log. The first line
    of the next second says how many were left out."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self.most, self.second, self.lines = most, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether this line is written."""
        if int(record.created) != self.second:
            left_out, self.second, self.lines = self.lines - self.most, int(record.created), 0
            if left_out > 0 and isinstance(record.msg, dict):
                record.msg["lines_left_out"] = left_out
        self.lines += 1
        return self.lines <= self.most


def make_logger(name: str) -> Any:
    """structlog's logger of that name, as the log is set up now."""
    return structlog.get_logger(name)


def set_up_log(verbose: bool = False, form: Format = "key-value", most: int = LINES_A_SECOND) -> None:
    """Configure logging for this process. Called once at the start, and again when a reload changes it."""
    shared: list[Processor] = [
        structlog.stdlib.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    last: Processor = structlog.processors.JSONRenderer()
    if form == "key-value":
        last = structlog.processors.LogfmtRenderer(
            key_order=["timestamp", "level", "event"], bool_as_flag=False, sort_keys=False
        )
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(Sparing(most))
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.format_exc_info,
                _on_one_line,
                last,
            ],
        )
    )
    level = logging.DEBUG if verbose else logging.INFO
    logging.basicConfig(level=level, handlers=[handler], force=True)
    structlog.configure(
        processors=[*shared, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.stdlib.LoggerFactory(),
        cache_logger_on_first_use=False,
    )
    if stat.S_ISFIFO(os.fstat(sys.stderr.fileno()).st_mode):
        # Lines are lost instead of waited for.
        os.set_blocking(sys.stderr.fileno(), False)
        logging.raiseExceptions = False


def _on_one_line(
    logger: object, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """A line is an event: an exception's lines become one, and keys that logfmt can't hold are mended."""
    return {
        str(key).replace(" ", "_"): value.replace("\n", " | ") if isinstance(value, str) else value
        for key, value in event.items()
    }
