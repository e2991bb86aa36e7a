"""An emulated discovery service on a real socket: the list of workers, watches on it, and faults of both.

It follows the platform's description of discovery. It owns its listening socket, one thread with an asyncio
loop, the list and its version. A watch is answered when there is a newer version or its wait is over, never
before. All calls are counted. `Mode` sets how calls are treated:

    answers   normal operation
    stalls    calls are accepted and not answered until the mode changes; then all are answered
    refuses   every call is answered with status 503
    stale     every call is answered with a whole list of an older version, as after a loss of state
"""

import asyncio
import json
import re
import threading
from collections.abc import Callable, Sequence
from typing import Literal

Mode = Literal["answers", "stalls", "refuses", "stale"]
CALL = re.compile(r"GET /api/targets(?:\?index=(\d+)&wait=(\d+))? HTTP/1\.1")


class EmulatedDiscovery:
    """One discovery service for all dispatchers.

    Args:
        targets: Entries of the list, as dispatchers receive them.
        version: Version of the list.
    """

    def __init__(self, targets: Sequence[dict[str, object]], version: int = 1) -> None:
        self.mode: Mode = "answers"
        self.version, self.targets = version, {str(entry["uid"]): entry for entry in targets}
        self.changed_in: dict[str, int] = dict.fromkeys(self.targets, version)  # version of the last change
        self.stale_list: tuple[int, list[dict[str, object]]] = (0, [])  # version and entries of mode `stale`
        self.calls = self.bytes_sent = self.bytes_received = 0
        self.endpoint = ""
        self._loop = asyncio.new_event_loop()
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._started.wait(10)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512))
        host, port = server.sockets[0].getsockname()
        self.endpoint = f"{host}:{port}"
        self._started.set()
        self._loop.run_forever()
        server.close()

    # Control by tests, from any thread.

    def publish(self, *targets: dict[str, object]) -> int:
        """Add or change entries under one new version, and return that version.

        An entry whose state is `gone` is removed from whole lists.
        """
        self._run_in_loop(lambda: self._publish(targets))
        return self.version

    def set_mode(self, mode: Mode) -> None:
        """Treat all calls, waiting ones included, by another mode."""
        self._run_in_loop(lambda: self._set_mode(mode))

    def lose_state(self, version: int, *targets: dict[str, object]) -> None:
        """Reset all connections, and answer every call with this older version and list from then on."""
        self.stale_list = version, list(targets)
        self._run_in_loop(self._lose_state)

    def _run_in_loop(self, action: Callable[[], object]) -> None:
        async def run() -> None:
            action()

        asyncio.run_coroutine_threadsafe(run(), self._loop).result(10)

    def _publish(self, targets: Sequence[dict[str, object]]) -> None:
        self.version += 1
        for target in targets:
            self.targets[str(target["uid"])] = target
            self.changed_in[str(target["uid"])] = self.version
        self._notify_watches()

    def _lose_state(self) -> None:
        self._set_mode("stale")
        for writer in list(self._writers):
            writer.transport.abort()

    def _set_mode(self, mode: Mode) -> None:
        self.mode = mode
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # Calls.

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                call = CALL.match(head)
                self.calls += 1
                self.bytes_received += len(head)
                if call is None:
                    self._write(writer, 404, {})
                    continue
                since, wait = (int(call[1]), int(call[2]) / 1000) if call[1] else (-1, 0.0)
                status, body = await self._answer(since, self._loop.time() + wait)
                self._write(writer, status, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self._writers.discard(writer)

    async def _answer(self, since: int, until: float) -> tuple[int, dict[str, object]]:
        """Wait until a call can be answered; return the status and the body.

        Args:
            since: Version that the caller has; -1 for none.
            until: End of the watch, on the clock of the loop.
        """
        while True:
            changed = self._changed
            if self.mode == "refuses":
                return 503, {}
            if self.mode == "stale":
                return 200, {"rev": self.stale_list[0], "all": True, "targets": self.stale_list[1]}
            left = until - self._loop.time()
            if self.mode == "answers" and (self.version > since or left <= 0):
                return 200, self._list(since)
            try:
                await asyncio.wait_for(changed.wait(), None if self.mode == "stalls" else max(left, 0.001))
            except TimeoutError:
                continue

    def _list(self, since: int) -> dict[str, object]:
        """Return the entries changed after version `since`, or the whole list if that version is unknown."""
        whole = since < 0 or since > self.version
        entries = [t for uid, t in self.targets.items() if whole or self.changed_in[uid] > since]
        if whole:
            entries = [t for t in entries if t["state"] != "gone"]
        return {"rev": self.version, "all": whole, "targets": entries}

    def _write(self, writer: asyncio.StreamWriter, status: int, body: dict[str, object]) -> None:
        data = json.dumps(body).encode()
        answer = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
        self.bytes_sent += len(answer)
        writer.write(answer)

    def close(self) -> None:
        """End the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
