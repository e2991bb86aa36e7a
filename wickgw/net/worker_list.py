"""Parsing of discovery's JSON into entries of the worker list, without I/O.

A long list is parsed in steps, so that the caller can yield to the event loop between them.
"""

from typing import Any, NamedTuple

import msgspec

from wickgw import interface as i
from wickgw.net.dispatch import Clock
from wickgw.net.listen import parse_address
from wickgw.net.start_times import Start, StartTimes

ENTRIES_PER_STEP = 128  # list entries parsed in one call, which takes about two milliseconds


class Target(NamedTuple):
    """One worker of the list, with the details that the decision module does not need."""

    entry: i.Entry
    endpoint: str  # the worker's address, as host:port
    zone: str = ""  # name of the zone
    model: str = ""  # model of the machine


class ListMessage(NamedTuple):
    """One answer of discovery."""

    version: int
    whole: bool  # the whole list; otherwise only the changed entries
    targets: list[Target]
    starts: dict[str, Start]  # by worker


class ListError(Exception):
    """An answer of discovery is not a valid list."""


class _Answer(msgspec.Struct):
    """An answer with unparsed entries. Finding them takes a fifth of the time of parsing them."""

    rev: Any
    all: Any
    targets: list[msgspec.Raw]


ANSWER_DECODER = msgspec.json.Decoder(_Answer)
ENTRY_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError)


class ListParser:
    """Parses the entries of one answer in steps."""

    def __init__(self, reader: "ListReader", version: int, whole: bool, entries: list[Any]) -> None:
        self.reader, self.version, self.whole = reader, version, whole
        self.entries, self.targets = entries, list[Target]()
        self.starts: dict[str, Start] = {}

    def parse_some(self) -> bool:
        """Parse the next entries. Returns whether the list is ready to be accepted.

        A long list is ready one call after its last entries were parsed. Raises ListError.
        """
        parsed_count = len(self.targets)
        step_entries = self.entries[parsed_count : parsed_count + ENTRIES_PER_STEP]
        try:
            self.targets += [self.reader.read_target(entry, self.starts) for entry in step_entries]
        except ENTRY_ERRORS as error:
            raise ListError(f"not a list: {type(error).__name__}: {error}") from error
        return len(self.entries) <= ENTRIES_PER_STEP or not step_entries

    def message(self) -> ListMessage:
        """Return the parsed answer, once all entries are parsed."""
        return ListMessage(self.version, self.whole, self.targets, self.starts)


class ListReader:
    """Creates parsers for discovery's JSON, and keeps the start times of the workers in accepted lists."""

    def __init__(self, clock: Clock, zones: tuple[str, ...]) -> None:
        self.clock, self.zones = clock, zones
        self.start_times = StartTimes()

    def start(self, body: bytes) -> ListParser:
        """Start to parse one answer. Raises ListError."""
        try:
            answer = ANSWER_DECODER.decode(body)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            raise ListError(f"not a list in JSON: {error}") from error
        return self._parser_for(answer.rev, answer.all, answer.targets)

    def decode(self, message: Any) -> ListMessage:
        """Convert an answer that is already decoded from JSON. Raises ListError."""
        try:
            parser = self._parser_for(message["rev"], message["all"], message["targets"])
        except (KeyError, TypeError) as error:
            raise ListError(f"not a list: {type(error).__name__}: {error}") from error
        while not parser.parse_some():
            pass
        return parser.message()

    def _parser_for(self, version: Any, whole: Any, entries: Any) -> ListParser:
        if type(version) is not int or type(whole) is not bool or type(entries) is not list:
            raise ListError("not a list: rev, all or targets is of another kind")
        return ListParser(self, version, whole, entries)

    def accept(self, message: ListMessage) -> None:
        """Accept a list, so that its start times are known from now on."""
        gone = [target.entry.worker for target in message.targets if target.entry.health is i.Health.GONE]
        self.start_times.accept(message.whole, message.starts, gone)

    def read_target(self, raw_entry: Any, starts: dict[str, Start]) -> Target:
        """Convert one entry, decoded from JSON or not, and add its start to `starts`.

        Raises one of ENTRY_ERRORS, or ListError.
        """
        if isinstance(raw_entry, msgspec.Raw):
            raw_entry = msgspec.json.decode(raw_entry)
        uid, endpoint, zone = raw_entry["uid"], raw_entry["endpoint"], raw_entry.get("az", 0)
        if not isinstance(uid, str) or not isinstance(endpoint, str):
            raise ListError("a target without a name or an endpoint")
        parse_address(endpoint)
        zone_name, model = str(zone), str(raw_entry.get("model") or "")
        if isinstance(zone, str):  # an unknown zone gets an index of its own, equal to no dispatcher's
            zone = self.zones.index(zone) if zone in self.zones else len(self.zones)
        reported_at = self.clock.at_unix_ms(float(raw_entry.get("boot_ms") or 0))
        start = starts[uid] = self.start_times.start_of(uid, reported_at, self.clock.now())
        entry = i.Entry(
            uid,
            i.Health(raw_entry["state"]),
            int(zone),
            int(raw_entry.get("pod_group") or 0),
            start.counted_from,
            model,
        )
        return Target(entry, endpoint, zone_name, model)
