"""A stand-in label worker on a real socket: takes jobs as the platform's protocol says, and counts runs.

Owns its listening socket and one thread with an asyncio loop. Each job runs for a given time and is reported
started and done; how often each id ran is kept, for checkers. It must never answer a job that it did not run.
"""

import asyncio
import json
import threading
from collections import Counter


class Worker:
    """One worker; jobs run for `seconds`, at once and side by side."""

    def __init__(self, name: str, seconds: float = 0.005) -> None:
        self.name, self.seconds = name, seconds
        self.runs: Counter[str] = Counter()
        self.endpoint = ""
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._ready.wait(10)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(asyncio.start_server(self._serve, "127.0.0.1", 0))
        host, port = server.sockets[0].getsockname()
        self.endpoint = f"{host}:{port}"
        self._ready.set()
        self._loop.run_forever()
        server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(fields.get("content-length", "0")))
                name = fields["req-id"]
                self.runs[name] += 1
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(_event(name, self.name, state="started"))
                await asyncio.sleep(self.seconds)
                writer.write(_event(name, self.name, state="done", result=f"made {name}") + b"0\r\n\r\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def listed(self) -> dict[str, object]:
        """Its entry in the list of workers."""
        return {"uid": self.name, "endpoint": self.endpoint, "az": "east", "state": "ready", "boot_ms": 0}

    def close(self) -> None:
        """End the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)


def _event(name: str, worker: str, **more: str) -> bytes:
    line = json.dumps({"id": name, "from": worker, **more}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(line), line)
