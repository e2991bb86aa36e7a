"""A limit on the CPU time of a part of a test, which also interrupts a regular expression."""

import contextlib
import gc
import signal
from collections.abc import Iterator
from types import FrameType


class CpuLimitError(Exception):
    """The part of the test took more CPU time than allowed."""


@contextlib.contextmanager
def cpu_limit(seconds: float) -> Iterator[None]:
    """Raise CpuLimitError once the block has used `seconds` of CPU time of this process.

    Garbage collection is off in the block, since its time depends on the objects of other tests. Works in the
    main thread only.
    """

    def interrupt(number: int, frame: FrameType | None) -> None:
        raise CpuLimitError(f"more than {seconds} s of CPU time")

    previous = signal.signal(signal.SIGPROF, interrupt)
    gc.disable()
    signal.setitimer(signal.ITIMER_PROF, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_PROF, 0)
        gc.enable()
        signal.signal(signal.SIGPROF, previous)
