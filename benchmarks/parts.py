"""Processes that measurements on sockets need beside the dispatcher: `python -m benchmarks.parts workers|relay`.

Workers that answer at once, and a bare relay that passes bytes on and understands none. Each prints where it
listens as JSON and runs until it is ended. Callbacks on asyncio protocols, as the dispatcher is.
"""

import asyncio
import json
import sys
from typing import cast

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class _Worker(asyncio.Protocol):
    """Answers each request at once: started, done."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.data = cast(asyncio.Transport, transport), b""

    def data_received(self, data: bytes) -> None:
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            head = self.data[:end].lower()
            length = 0
            if (at := head.find(b"content-length: ")) >= 0:
                length = int(head[at + 16 :].split(b"\r\n")[0])
            if len(self.data) < end + 4 + length:
                return
            at = head.find(b"req-id: ")
            name = self.data[at + 8 : end].split(b"\r\n")[0].decode()
            self.data = self.data[end + 4 + length :]
            lines = b""
            for more in ({"state": "started"}, {"state": "done", "result": "made"}):
                line = json.dumps({"id": name, "from": "w", **more}).encode() + b"\n"
                lines += b"%x\r\n%s\r\n" % (len(line), line)
            self.transport.write(HEAD + lines + b"0\r\n\r\n")


class _Far(asyncio.Protocol):
    """The relay's connection to a worker."""

    def __init__(self, near: "_Near") -> None:
        self.near = near

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        for data in self.near.early:
            self.transport.write(data)
        self.near.far = self.transport

    def data_received(self, data: bytes) -> None:
        self.near.transport.write(data)


class _Near(asyncio.Protocol):
    """The relay's connection to a client, with one to a worker for as long."""

    workers: tuple[tuple[str, int], ...] = ()
    made = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.early = cast(asyncio.Transport, transport), list[bytes]()
        self.far: asyncio.Transport | None = None
        where = self.workers[_Near.made % len(self.workers)]
        _Near.made += 1
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(loop.create_connection(lambda: _Far(self), *where))

    def data_received(self, data: bytes) -> None:
        if self.far is None:
            self.early.append(data)
        else:
            self.far.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.far is not None:
            self.far.close()


async def _workers(count: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(_Worker, "127.0.0.1", 0) for _ in range(count)]
    print(json.dumps([s.sockets[0].getsockname() for s in servers]), flush=True)
    await asyncio.Event().wait()


async def _relay(workers: list[list[object]]) -> None:
    _Near.workers = tuple((str(host), int(str(port))) for host, port in workers)
    server = await asyncio.get_running_loop().create_server(_Near, "127.0.0.1", 0)
    print(json.dumps(server.sockets[0].getsockname()), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    if sys.argv[1] == "workers":
        asyncio.run(_workers(int(sys.argv[2])))
    else:
        asyncio.run(_relay(json.loads(sys.argv[2])))
