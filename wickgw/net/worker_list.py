"""Discovery's JSON, read into entries of the worker list. No I/O."""

from typing import Any, NamedTuple

import msgspec

from wickgw import interface as i
from wickgw.net.dispatch import Clock
from wickgw.net.listen import address
from wickgw.net.start_times import Start, StartTimes

ENTRIES_AT_ONCE = 128  # of a long list, read in one call: about two milliseconds


class Target(NamedTuple):
    """One worker of the list, with what the decisions do not need to know of it."""

    entry: i.Entry
    endpoint: str  # where it listens, as host:port
    zone: str = ""  # the zone's name
    model: str = ""  # the machine's model


class ListMessage(NamedTuple):
    """One answer of discovery."""

    version: int
    whole: bool  # the whole list; otherwise only the entries that changed
    targets: list[Target]
    starts: dict[str, Start]  # of its workers


class ListError(Exception):
    """What discovery sent is not a list."""


class _Answer(msgspec.Struct):
    """An answer whose entries are found, but not read: that takes a fifth of the time of reading them."""

    rev: Any
    all: Any
    targets: list[msgspec.Raw]


ANSWER = msgspec.json.Decoder(_Answer)
ENTRY_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError)


class ListInParts:
    """An answer of discovery whose entries are read some at a time."""

    def __init__(self, reader: "ListReader", version: int, whole: bool, entries: list[Any]) -> None:
        self.reader, self.version, self.whole = reader, version, whole
        self.entries, self.targets = entries, list[Target]()
        self.starts: dict[str, Start] = {}

    def read_some(self) -> bool:
        """Read the next entries; whether the answer may be taken. That of a long list is left to a further
        call, after the one that read its last entries. Raises ListError."""
        first = len(self.targets)
        part = self.entries[first : first + ENTRIES_AT_ONCE]
        try:
            self.targets += [self.reader.target(entry, self.starts) for entry in part]
        except ENTRY_ERRORS as error:
            raise ListError(f"not a list: {type(error).__name__}: {error}") from error
        return len(self.entries) <= ENTRIES_AT_ONCE or not part

    def message(self) -> ListMessage:
        """The answer, once all is read."""
        return ListMessage(self.version, self.whole, self.targets, self.starts)


class ListReader:
    """Reads discovery's JSON, and knows the starts of workers in the lists that were accepted."""

    def __init__(self, clock: Clock, zones: tuple[str, ...]) -> None:
        self.clock, self.zones = clock, zones
        self.start_times = StartTimes()

    def begin(self, text: bytes) -> ListInParts:
        """Begin to read one answer. Raises ListError."""
        try:
            answer = ANSWER.decode(text)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            raise ListError(f"not a list in JSON: {error}") from error
        return self._parts_of(answer.rev, answer.all, answer.targets)

    def decode(self, message: Any) -> ListMessage:
        """Read one answer that is parsed already. Raises ListError."""
        try:
            parts = self._parts_of(message["rev"], message["all"], message["targets"])
        except (KeyError, TypeError) as error:
            raise ListError(f"not a list: {type(error).__name__}: {error}") from error
        while not parts.read_some():
            pass
        return parts.message()

    def _parts_of(self, version: Any, whole: Any, entries: Any) -> ListInParts:
        if type(version) is not int or type(whole) is not bool or type(entries) is not list:
            raise ListError("not a list: rev, all or targets is of another kind")
        return ListInParts(self, version, whole, entries)

    def accept(self, message: ListMessage) -> None:
        """A list is taken, so that its starts are known from now on."""
        gone = [t.entry.worker for t in message.targets if t.entry.health is i.Health.GONE]
        self.start_times.accept(message.whole, message.starts, gone)

    def target(self, t: Any, starts: dict[str, Start]) -> Target:
        """One entry of a list, parsed or not; its start is added to `starts`. Raises one of ENTRY_ERRORS."""
        if isinstance(t, msgspec.Raw):
            t = msgspec.json.decode(t)
        uid, endpoint, zone = t["uid"], t["endpoint"], t.get("az", 0)
        if not isinstance(uid, str) or not isinstance(endpoint, str):
            raise ListError("a target without a name or an endpoint")
        address(endpoint)
        zone_name, model = str(zone), str(t.get("model") or "")
        if isinstance(zone, str):  # a zone that the settings do not name is nobody's own
            zone = self.zones.index(zone) if zone in self.zones else len(self.zones)
        told = self.clock.at_unix_ms(float(t.get("boot_ms") or 0))
        start = starts[uid] = self.start_times.start_of(uid, told, self.clock.now())
        entry = i.Entry(
            uid, i.Health(t["state"]), int(zone), int(t.get("pod_group") or 0), start.since, model
        )
        return Target(entry, endpoint, zone_name, model)
