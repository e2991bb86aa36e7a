"""Auxiliary processes of the socket benchmark: `python -m benchmarks.parts workers|relay`.

`workers` runs workers that answer immediately. `relay` runs a plain TCP relay that forwards bytes without
parsing them. Each prints its listening addresses as JSON and runs until it is killed. Both use callbacks on
asyncio protocols, as the dispatcher does.
"""

import asyncio
import json
import sys
from typing import cast

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class _Worker(asyncio.Protocol):
    """Answers each request immediately with the events `started` and `done`."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin with an empty buffer."""
        self.transport, self.data = cast(asyncio.Transport, transport), b""

    def data_received(self, data: bytes) -> None:
        """Answer every request that is complete."""
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            head = self.data[:end].lower()
            length = 0
            if (at := head.find(b"content-length: ")) >= 0:
                length = int(head[at + 16 :].split(b"\r\n")[0])
            if len(self.data) < end + 4 + length:
                return
            at = head.find(b"req-id: ")
            request = self.data[at + 8 : end].split(b"\r\n")[0].decode()
            self.data = self.data[end + 4 + length :]
            chunks = b""
            for fields in ({"state": "started"}, {"state": "done", "result": "made"}):
                line = json.dumps({"id": request, "from": "w", **fields}).encode() + b"\n"
                chunks += b"%x\r\n%s\r\n" % (len(line), line)
            self.transport.write(RESPONSE_HEAD + chunks + b"0\r\n\r\n")


class _WorkerSide(asyncio.Protocol):
    """The relay's connection to a worker."""

    def __init__(self, client: "_ClientSide") -> None:
        self.client = client

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Forward what the client has sent so far."""
        self.transport = cast(asyncio.Transport, transport)
        for data in self.client.unsent:
            self.transport.write(data)
        self.client.worker = self.transport

    def data_received(self, data: bytes) -> None:
        """Forward data of the worker to the client."""
        self.client.transport.write(data)


class _ClientSide(asyncio.Protocol):
    """The relay's connection to a client, which has its own connection to a worker."""

    workers: tuple[tuple[str, int], ...] = ()
    count = 0  # of connections so far, to use the workers in turn

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect to the next worker."""
        self.transport, self.unsent = cast(asyncio.Transport, transport), list[bytes]()
        self.worker: asyncio.Transport | None = None
        address = self.workers[_ClientSide.count % len(self.workers)]
        _ClientSide.count += 1
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(loop.create_connection(lambda: _WorkerSide(self), *address))

    def data_received(self, data: bytes) -> None:
        """Forward data of the client to the worker, or keep it until the connection is up."""
        if self.worker is None:
            self.unsent.append(data)
        else:
            self.worker.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection to the worker."""
        if self.worker is not None:
            self.worker.close()


async def _run_workers(count: int) -> None:
    """Run workers, and print the list of their addresses."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(_Worker, "127.0.0.1", 0) for _ in range(count)]
    print(json.dumps([server.sockets[0].getsockname() for server in servers]), flush=True)
    await asyncio.Event().wait()


async def _run_relay(workers: list[list[object]]) -> None:
    """Run the relay for these workers, and print its address."""
    _ClientSide.workers = tuple((str(host), int(str(port))) for host, port in workers)
    server = await asyncio.get_running_loop().create_server(_ClientSide, "127.0.0.1", 0)
    print(json.dumps(server.sockets[0].getsockname()), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    if sys.argv[1] == "workers":
        asyncio.run(_run_workers(int(sys.argv[2])))
    else:
        asyncio.run(_run_relay(json.loads(sys.argv[2])))
