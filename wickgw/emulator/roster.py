"""A stand-in for discovery on a real socket: the list of workers, watches, and what goes wrong with both.

Written from the platform's page. Owns its listening socket, one thread with an asyncio loop, the list and its
version. What it does to callers is set by `mode`: it speaks; stalls (takes calls and says nothing, until it
speaks again and works all of them off); refuses (503); or is old (answers every call with a whole list of
an older version, as after a loss of its state). It counts the calls that came. It must never answer a watch
before there is something newer, or its wait is over.
"""

import asyncio
import json
import re
import threading
from collections.abc import Callable, Sequence
from typing import Literal

Mode = Literal["speaks", "stalls", "refuses", "old"]
CALL = re.compile(r"GET /api/targets(?:\?index=(\d+)&wait=(\d+))? HTTP/1\.1")


class Roster:
    """One discovery service for all dispatchers."""

    def __init__(self, targets: Sequence[dict[str, object]], version: int = 1) -> None:
        self.mode: Mode = "speaks"
        self.version, self.targets = version, {str(t["uid"]): t for t in targets}
        self.changed: dict[str, int] = dict.fromkeys(self.targets, version)  # by which version
        self.old: tuple[int, list[dict[str, object]]] = (0, [])  # what it says when it is old
        self.calls = self.bytes_sent = self.bytes_received = 0
        self.endpoint = ""
        self._loop = asyncio.new_event_loop()
        self._news = asyncio.Event()
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

    # What a test does to it, from any thread.

    def change(self, *targets: dict[str, object]) -> int:
        """Entries change: one more version, which watches are told of. An entry `gone` leaves the list."""
        self._do(lambda: self._change(targets))
        return self.version

    def turn(self, mode: Mode) -> None:
        """From now on it behaves so, towards calls that wait already too."""
        self._do(lambda: self._turn(mode))

    def lose_state(self, version: int, *targets: dict[str, object]) -> None:
        """All connections are reset, and it is old from now on: this version, this list."""
        self.old = version, list(targets)
        self._do(self._lose_state)

    def _do(self, what: Callable[[], object]) -> None:
        async def run() -> None:
            what()

        asyncio.run_coroutine_threadsafe(run(), self._loop).result(10)

    def _change(self, targets: Sequence[dict[str, object]]) -> None:
        self.version += 1
        for target in targets:
            self.targets[str(target["uid"])] = target
            self.changed[str(target["uid"])] = self.version
        self._tell()

    def _lose_state(self) -> None:
        self._turn("old")
        for writer in list(self._writers):
            writer.transport.abort()

    def _turn(self, mode: Mode) -> None:
        self.mode = mode
        self._tell()

    def _tell(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    # Calls.

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                asked = CALL.match(head)
                self.calls += 1
                self.bytes_received += len(head)
                if asked is None:
                    self._write(writer, 404, {})
                    continue
                since, wait = (int(asked[1]), int(asked[2]) / 1000) if asked[1] else (-1, 0.0)
                status, body = await self._answer(since, self._loop.time() + wait)
                self._write(writer, status, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self._writers.discard(writer)

    async def _answer(self, since: int, until: float) -> tuple[int, dict[str, object]]:
        while True:
            news = self._news
            if self.mode == "refuses":
                return 503, {}
            if self.mode == "old":
                return 200, {"rev": self.old[0], "all": True, "targets": self.old[1]}
            left = until - self._loop.time()
            if self.mode == "speaks" and (self.version > since or left <= 0):
                return 200, self._list(since)
            try:
                await asyncio.wait_for(news.wait(), None if self.mode == "stalls" else max(left, 0.001))
            except TimeoutError:
                continue

    def _list(self, since: int) -> dict[str, object]:
        whole = since < 0 or since > self.version
        wanted = [t for uid, t in self.targets.items() if whole or self.changed[uid] > since]
        if whole:
            wanted = [t for t in wanted if t["state"] != "gone"]
        return {"rev": self.version, "all": whole, "targets": wanted}

    def _write(self, writer: asyncio.StreamWriter, status: int, body: dict[str, object]) -> None:
        data = json.dumps(body).encode()
        answer = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
        self.bytes_sent += len(answer)
        writer.write(answer)

    def close(self) -> None:
        """End the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
