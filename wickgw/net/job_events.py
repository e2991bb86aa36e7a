"""Job events: the lines of a label worker's answer. No I/O."""

from typing import Any

import msgspec

from wickgw import interface as i

# What the last event of an attempt that was not served means.
LAST_VERDICTS = {"failed": i.Verdict.ERROR, "returned": i.Verdict.FULL, "lost": i.Verdict.RESET}


class JobEvent(msgspec.Struct):
    """A line of a label worker's answer, as far as it is read."""

    id: str
    state: str
    result: str | None = None
    share: Any = None  # of the job that is done
    load: Any = None  # the worker's load report. Nonsense in either is passed over: the job is none the worse


_DECODER = msgspec.json.Decoder(JobEvent)


def read_event(line: bytes, request: str) -> JobEvent:
    """One line, which has to be about this request. Raises ValueError."""
    try:
        event = _DECODER.decode(line)
    except msgspec.MsgspecError as error:
        raise ValueError(f"not a job event: {error}") from error
    if event.id != request:
        raise ValueError("job event that is not about this attempt")
    if event.state == "done" and event.result is None:
        raise ValueError("a job done without a result")
    return event
