"""The log: one event a line in either form, so many a second, and nobody waits for a reader."""

import json
import subprocess
import sys
import time

import pytest

CODE = """
import logging, sys, structlog
from wickgw.observe.log import set_up_log
set_up_log(False, {form!r}, 5)
log = structlog.get_logger("t")
"""


def run(form: str, body: str) -> list[str]:
    done = subprocess.run(
        [sys.executable, "-c", CODE.format(form=form) + body], capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 0, done.stderr
    return done.stderr.splitlines()


def test_json_lines_carry_fields_and_what_the_library_logs() -> None:
    lines = run("json", "log.info('lease.held', term=7)\nlogging.getLogger('asyncio').error('odd %s', 1)")
    events = [json.loads(line) for line in lines]
    assert events[0]["event"] == "lease.held" and events[0]["term"] == 7 and events[0]["level"] == "info"
    assert events[1]["event"] == "odd 1"


@pytest.mark.parametrize("form", ["json", "key-value"])
def test_exception_is_one_line(form: str) -> None:
    body = "try:\n    1 / 0\nexcept ZeroDivisionError:\n    log.exception('it.failed')"
    (line,) = run(form, body)
    assert "it.failed" in line and "ZeroDivisionError" in line


def test_lines_beyond_the_limit_are_left_out_and_counted() -> None:
    body = "import time\nwhile time.time() % 1 > 0.3: pass\nfor n in range(50): log.info('e', n=n)\n"
    body += "while time.time() % 1 < 0.5: pass\nwhile time.time() % 1 > 0.3: pass\nlog.info('after')"
    lines = run("key-value", body)
    assert len(lines) == 6 and "event=after" in lines[-1] and "lines_left_out=45" in lines[-1]


def test_pipe_that_nobody_reads_stops_nothing() -> None:
    body = "set_up_log(False, 'json', 10000)\nfor n in range(9000): log.info('e', text='x' * 50)"
    process = subprocess.Popen(
        [sys.executable, "-c", CODE.format(form="json") + body], stderr=subprocess.PIPE
    )
    end = time.monotonic() + 30
    while process.poll() is None and time.monotonic() < end:
        pass
    assert process.poll() == 0
    assert process.stderr is not None
    process.stderr.close()
