"""Structured logging to standard error: one event per line, as key=value or JSON.

Owns the one handler for the program's own events (structlog) and for those of the standard library's logging.
The number of lines per second is limited. Writing never waits for a reader, since a full pipe would stop the
event loop and with it every client.
"""

import logging
import os
import stat
import sys
from typing import Any, Literal

# Where rich is installed, structlog imports it to format exceptions for a developer's console. That is a
# third of all that the start loads, for output that this program never writes. `None` makes the import fail.
_RICH_MODULES = {name: sys.modules.pop(name) for name in [*sys.modules] if name.partition(".")[0] == "rich"}
sys.modules["rich"] = None  # type: ignore[assignment]
try:
    import structlog
    from structlog.typing import Processor
finally:
    del sys.modules["rich"]
    sys.modules.update(_RICH_MODULES)

MAX_LINES_PER_SECOND = 50
LogFormat = Literal["key-value", "json"]


class RateLimitFilter(logging.Filter):
    """Limits the lines per second, so that a misbehaving peer cannot fill the log.

    The first line of the next second has the number of lines that were left out.
    """

    def __init__(self, max_lines: int) -> None:
        """`max_lines` is the limit of lines per second."""
        super().__init__()
        self.max_lines, self.second, self.line_count = max_lines, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write this line."""
        if int(record.created) != self.second:
            left_out, self.second, self.line_count = self.line_count - self.max_lines, int(record.created), 0
            if left_out > 0 and isinstance(record.msg, dict):
                record.msg["lines_left_out"] = left_out
        self.line_count += 1
        return self.line_count <= self.max_lines


def make_logger(name: str) -> Any:
    """Return structlog's logger of that name, with the current configuration."""
    return structlog.get_logger(name)


def set_up_log(
    verbose: bool = False, log_format: LogFormat = "key-value", max_lines: int = MAX_LINES_PER_SECOND
) -> None:
    """Configure logging for this process: at the start, and again when a reload changes the settings.

    `verbose` adds debug events. `max_lines` is the limit of lines per second.
    """
    common_processors: list[Processor] = [
        structlog.stdlib.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    renderer: Processor = structlog.processors.JSONRenderer()
    if log_format == "key-value":
        renderer = structlog.processors.LogfmtRenderer(
            key_order=["timestamp", "level", "event"], bool_as_flag=False, sort_keys=False
        )
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimitFilter(max_lines))
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=common_processors,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.format_exc_info,
                _on_one_line,
                renderer,
            ],
        )
    )
    level = logging.DEBUG if verbose else logging.INFO
    logging.basicConfig(level=level, handlers=[handler], force=True)
    structlog.configure(
        processors=[*common_processors, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.stdlib.LoggerFactory(),
        cache_logger_on_first_use=False,
    )
    if stat.S_ISFIFO(os.fstat(sys.stderr.fileno()).st_mode):
        # A line is dropped if the pipe is full, instead of waiting for the reader.
        os.set_blocking(sys.stderr.fileno(), False)
        logging.raiseExceptions = False


def _on_one_line(
    logger: object, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Join the lines of an exception, and replace spaces in keys, which logfmt does not allow."""
    return {
        str(key).replace(" ", "_"): value.replace("\n", " | ") if isinstance(value, str) else value
        for key, value in event.items()
    }
