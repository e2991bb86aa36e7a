"""Discovery's JSON, read into entries of the worker list. No I/O."""

import json
from typing import Any, NamedTuple

from wickgw import interface as i
from wickgw.net.dispatch import Clock
from wickgw.net.listen import address


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


class ListError(Exception):
    """What discovery sent is not a list."""


class ListReader:
    """Reads discovery's JSON."""

    def __init__(self, clock: Clock, zones: tuple[str, ...]) -> None:
        self.clock, self.zones = clock, zones

    def read(self, text: bytes | str) -> ListMessage:
        """Read one answer. Raises ListError."""
        try:
            return self.decode(json.loads(text))
        except (ValueError, RecursionError) as error:
            raise ListError(f"not JSON: {error}") from error

    def decode(self, message: Any) -> ListMessage:
        """Read one answer that is parsed already. Raises ListError."""
        try:
            version, whole = message["rev"], message["all"]
            if type(version) is not int or type(whole) is not bool:
                raise ListError("not a list: rev or all is of another kind")
            return ListMessage(version, whole, [self._target(t) for t in message["targets"]])
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise ListError(f"not a list: {type(error).__name__}: {error}") from error

    def _target(self, t: Any) -> Target:
        uid, endpoint, zone = t["uid"], t["endpoint"], t.get("az", 0)
        if not isinstance(uid, str) or not isinstance(endpoint, str):
            raise ListError("a target without a name or an endpoint")
        address(endpoint)
        zone_name, model = str(zone), str(t.get("model") or "")
        if isinstance(zone, str):  # a zone that the settings do not name is nobody's own
            zone = self.zones.index(zone) if zone in self.zones else len(self.zones)
        since = self.clock.at_unix_ms(float(t.get("boot_ms") or 0))
        entry = i.Entry(uid, i.Health(t["state"]), int(zone), int(t.get("pod_group") or 0), since, model)
        return Target(entry, endpoint, zone_name, model)
