"""The log: one event per line in both formats, a limit of lines per second, and no waiting for a reader."""

import json
import subprocess
import sys
import time

import pytest

SETUP_CODE = """
import logging, sys, structlog
from wickgw.observe.log import set_up_log
set_up_log(False, {log_format!r}, 5)
log = structlog.get_logger("t")
"""


def run_logging(log_format: str, code: str) -> list[str]:
    """Run code with a logger `log` in a new process and return the lines of its standard error."""
    process = subprocess.run(
        [sys.executable, "-c", SETUP_CODE.format(log_format=log_format) + code],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert process.returncode == 0, process.stderr
    return process.stderr.splitlines()


def test_json_lines_have_fields_and_include_standard_logging() -> None:
    lines = run_logging(
        "json", "log.info('lease.held', term=7)\nlogging.getLogger('asyncio').error('odd %s', 1)"
    )
    events = [json.loads(line) for line in lines]
    assert events[0]["event"] == "lease.held" and events[0]["term"] == 7 and events[0]["level"] == "info"
    assert events[1]["event"] == "odd 1"


@pytest.mark.parametrize("log_format", ["json", "key-value"])
def test_exception_is_logged_on_one_line(log_format: str) -> None:
    code = "try:\n    1 / 0\nexcept ZeroDivisionError:\n    log.exception('it.failed')"
    (line,) = run_logging(log_format, code)
    assert "it.failed" in line and "ZeroDivisionError" in line


def test_lines_beyond_the_limit_are_dropped_and_counted() -> None:
    code = "import time\nwhile time.time() % 1 > 0.3: pass\nfor n in range(50): log.info('e', n=n)\n"
    code += "while time.time() % 1 < 0.5: pass\nwhile time.time() % 1 > 0.3: pass\nlog.info('after')"
    lines = run_logging("key-value", code)
    assert len(lines) == 6 and "event=after" in lines[-1] and "lines_left_out=45" in lines[-1]


def test_unread_pipe_does_not_block() -> None:
    code = "set_up_log(False, 'json', 10000)\nfor n in range(9000): log.info('e', text='x' * 50)"
    process = subprocess.Popen(
        [sys.executable, "-c", SETUP_CODE.format(log_format="json") + code], stderr=subprocess.PIPE
    )
    end = time.monotonic() + 30
    while process.poll() is None and time.monotonic() < end:
        pass
    assert process.poll() == 0
    assert process.stderr is not None
    process.stderr.close()
