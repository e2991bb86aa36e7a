"""Job events: the lines of a label worker's answer, parsed without I/O."""

from typing import Any

import msgspec

from wickgw import interface as i

# The verdict on an attempt for each final state of its job other than `done`.
FINAL_VERDICTS = {"failed": i.Verdict.ERROR, "returned": i.Verdict.FULL, "lost": i.Verdict.RESET}


class JobEvent(msgspec.Struct):
    """One line of a label worker's answer. Other fields are ignored."""

    id: str
    state: str
    result: str | None = None
    share: Any = None  # the part of the job that is done
    load: Any = None  # the worker's load report; like `share`, ignored if malformed, as the job is unaffected


EVENT_DECODER = msgspec.json.Decoder(JobEvent)


def read_event(line: bytes, request_id: str) -> JobEvent:
    """Parse one line. Raises ValueError if it is malformed or about another request."""
    try:
        event = EVENT_DECODER.decode(line)
    except msgspec.MsgspecError as error:
        raise ValueError(f"not a job event: {error}") from error
    if event.id != request_id:
        raise ValueError("job event that is not about this attempt")
    if event.state == "done" and event.result is None:
        raise ValueError("a job done without a result")
    return event
