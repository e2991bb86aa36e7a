"""An emulated label worker on a real socket that runs jobs by the platform's protocol and counts runs.

The worker owns its listening socket and one thread with an asyncio loop. Each job takes a fixed time and is
reported as started and then as done. The number of runs of each request is kept, so that tests can
check it. A job is answered only after it ran.
"""

import asyncio
import json
import threading
from collections import Counter


class EmulatedWorker:
    """One worker that runs any number of jobs concurrently.

    Args:
        name: Name in the list of workers and in job events.
        run_s: Run time of a job, in seconds.
    """

    def __init__(self, name: str, run_s: float = 0.005) -> None:
        self.name, self.run_s = name, run_s
        self.run_counts: Counter[str] = Counter()  # by request id
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
        jobs = asyncio.all_tasks(self._loop)
        for job in jobs:
            job.cancel()
        self._loop.run_until_complete(asyncio.gather(*jobs, return_exceptions=True))
        self._loop.run_until_complete(asyncio.sleep(0))  # their connections close in a turn of their own
        self._loop.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(fields.get("content-length", "0")))
                request = fields["req-id"]
                self.run_counts[request] += 1
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(_job_event(request, self.name, state="started"))
                await asyncio.sleep(self.run_s)
                writer.write(
                    _job_event(request, self.name, state="done", result=f"made {request}") + b"0\r\n\r\n"
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def list_entry(self) -> dict[str, object]:
        """Return the worker's entry in the list of workers."""
        return {"uid": self.name, "endpoint": self.endpoint, "az": "east", "state": "ready", "boot_ms": 0}

    def close(self) -> None:
        """End the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)


def _job_event(request: str, worker: str, **fields: str) -> bytes:
    """Return one job event as a chunk of an HTTP body."""
    line = json.dumps({"id": request, "from": worker, **fields}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(line), line)
