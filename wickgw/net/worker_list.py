"""Parsing of discovery's JSON into entries of the worker list, without I/O.

A long list is parsed in steps, so that the caller can yield to the event loop between them. The list is
bounded in bytes, since discovery may name any number of workers, with names and labels of any length. A
worker that does not fit is left out, and nothing of it is kept.
"""

import sys
from typing import Any, NamedTuple

import msgspec

from wickgw import interface as i
from wickgw.net.dispatch import Clock
from wickgw.net.listen import parse_address
from wickgw.net.start_times import Start, StartTimes

ENTRIES_PER_STEP = 128  # list entries parsed in one call, which takes about two milliseconds
LISTED_WORKER_BYTES = 2000  # per worker of the list: 1.7 KB with 200 to 3,200 workers, and a margin
INCLUDED_TEXT_BYTES = 400  # of `LISTED_WORKER_BYTES`: name, endpoint, zone and model of usual length
TEXT_COPIES = 3  # of longer text: as it was listed first, as it was listed last, and in an answer being read
MAX_LIST_BYTES = 64_000_000  # default; the limits of the process set a lower one (`sockets`)
MAX_INTEGER = 2**63  # of zone and group: exclusive bound of their absolute values


class Target(NamedTuple):
    """One worker of the list, with the details that the decision module does not need."""

    entry: i.Entry
    endpoint: str  # the worker's address, as host:port
    zone: str = ""  # name of the zone
    model: str = ""  # model of the machine

    @property
    def listed_bytes(self) -> int:
        """The memory that the worker takes while it is listed."""
        if self.entry.health is i.Health.GONE:
            return 0
        text_bytes = sum(map(sys.getsizeof, (self.entry.worker, self.endpoint, self.zone, self.model)))
        return LISTED_WORKER_BYTES + TEXT_COPIES * max(0, text_bytes - INCLUDED_TEXT_BYTES)


class ListMessage(NamedTuple):
    """One answer of discovery."""

    version: int
    whole: bool  # the whole list; otherwise only the changed entries
    targets: list[Target]
    starts: dict[str, Start]  # by worker
    sizes: dict[str, int]  # `listed_bytes` by worker
    left_out: int = 0  # number of workers that did not fit


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
        self.parsed_count = self.left_out = 0
        self.starts: dict[str, Start] = {}
        self.sizes: dict[str, int] = {}
        self.list_bytes = 0 if whole else reader.list_bytes  # of the list with the targets read so far

    def parse_some(self) -> bool:
        """Parse the next entries. Returns whether the list is ready to be accepted.

        A long list is ready one call after its last entries were parsed. Raises ListError.
        """
        step_entries = self.entries[self.parsed_count : self.parsed_count + ENTRIES_PER_STEP]
        self.parsed_count += len(step_entries)
        try:
            for entry in step_entries:
                self._add(self.reader.read_target(entry, self.starts))
        except ENTRY_ERRORS as error:
            raise ListError(f"not a list: {type(error).__name__}: {error}") from error
        return len(self.entries) <= ENTRIES_PER_STEP or not step_entries

    def _add(self, target: Target) -> None:
        """Add a target; one that does not fit into the list's memory leaves the list, or stays out of it."""
        worker, size = target.entry.worker, target.listed_bytes
        previous_size = self.sizes.get(worker, 0 if self.whole else self.reader.size_of(worker))
        if self.list_bytes - previous_size + size > self.reader.max_list_bytes:
            self.left_out += 1
            if not previous_size:
                self.starts.pop(worker, None)
                return
            target = Target(i.Entry(worker, i.Health.GONE), target.endpoint)
            size = 0
        self.list_bytes += size - previous_size
        self.sizes[worker] = size
        self.targets.append(target)

    def message(self) -> ListMessage:
        """Return the parsed answer, once all entries are parsed."""
        return ListMessage(self.version, self.whole, self.targets, self.starts, self.sizes, self.left_out)


class ListReader:
    """Creates parsers for discovery's JSON, and keeps the start times of the workers in accepted lists."""

    def __init__(self, clock: Clock, zones: tuple[str, ...]) -> None:
        self.clock, self.zones = clock, zones
        self.start_times = StartTimes()
        self.max_list_bytes = MAX_LIST_BYTES
        self.text_bytes: dict[str, int] = {}  # by worker with long text: what it takes beyond other workers
        self.list_bytes = 0  # memory of all listed workers

    def size_of(self, worker: str) -> int:
        """Return the memory that a worker of the accepted list takes; 0 if it is not listed."""
        return LISTED_WORKER_BYTES + self.text_bytes.get(worker, 0) if worker in self.start_times else 0

    def start(self, body: bytes | bytearray) -> ListParser:
        """Start to parse one answer, which must not change from now on. Raises ListError."""
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
        if message.whole:
            self.text_bytes.clear()
        for worker, size in message.sizes.items():
            if size > LISTED_WORKER_BYTES:
                self.text_bytes[worker] = size - LISTED_WORKER_BYTES
            else:
                self.text_bytes.pop(worker, None)
        self.list_bytes = LISTED_WORKER_BYTES * len(self.start_times) + sum(self.text_bytes.values())

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
        group = int(raw_entry.get("pod_group") or 0)
        if not max(abs(int(zone)), abs(group)) < MAX_INTEGER:
            raise ListError("a zone or group that is no integer of 64 bits")
        start = starts[uid] = self.start_times.start_of(uid, reported_at, self.clock.now())
        entry = i.Entry(
            uid,
            i.Health(raw_entry["state"]),
            int(zone),
            group,
            start.counted_from,
            model,
        )
        return Target(entry, endpoint, zone_name, model)
