"""A small scripting language for tests on real loopback sockets.

A `Scenario` runs one dispatcher. The script acts as its clients, its workers and discovery. Each line of a
script has the form `WHO VERB ...`; ` #` begins a comment. WHO is one of

    a, b, ...      a client connection, opened when it is first named
    w0, w0/2       the first and the second connection that the dispatcher opens to worker w0; likewise w1
    p, p/2         a connection that the dispatcher opens to either worker
    d, d/2         a connection that the dispatcher opens to discovery; e, e/2 after a reload moved it there
    m, m2, ...     a client connection to the management port, if the scenario has one
    node           the dispatcher

and VERB is one of

    send MESSAGE ...     send a message of MESSAGES below, a list, or raw "text" in which ~ stands for CR LF
    open                 connect as a client and send nothing
    expect PATTERN       read until the pattern matches, after what was matched before; `expect end` waits for
                         the end of the connection, with nothing left unread
    gets ID              read the whole head of the request with that id, as a worker
    close [hard]         close the connection, `hard` with a reset; a worker or discovery without a connection
                         of that name stops listening
    wait COUNTER N       wait until a counter is at least N, or a current value such as `owed` is exactly N
    jam                  fill a worker's queue of connections, so that further connections do not complete
    drain                drain the dispatcher as SIGTERM does
    reload [SERVER]      reload as SIGHUP does, with discovery at SERVER; without SERVER the new configuration
                         is invalid

Scripts contain no sleeps: each step waits up to TIMEOUT_S for its condition. The system chooses all ports.
"""

import asyncio
import json
import re
import select
import shlex
import socket
import struct
import tempfile
import threading
import time
from collections.abc import Callable
from typing import Any

from wickgw.config.relay import Config, ConfigSources, open_sockets
from wickgw.node import Node
from wickgw.platform_data import read_settings

TIMEOUT_S = 10.0
NS_PER_MS = 1_000_000
PLATFORM_SETTINGS: dict[str, Any] = {
    "services": [
        {
            "name": name,
            "target-ns": 200 * NS_PER_MS,
            "hard-limit-ns": 5000 * NS_PER_MS,
            "idempotency": idempotency,
            "worth": 2.0,
        }
        for name, idempotency in (("look", "read_like"), ("once", "non_idempotent"))
    ],
    "bounds": {
        "attempts-cap": 3,
        "cancel": True,
        "connect-timeout-ns": 250 * NS_PER_MS,
        "conn-idle-ns": 60000 * NS_PER_MS,
    },
    "family-info": {"tells-start": True, "progress-ns": 1000 * NS_PER_MS, "class-stretch": [20.0, 20.0]},
    "zones": ["atlanta", "memphis"],
    "discovery": "ask",  # tests of pushed lists override this, for example in test_endings.py
}


def job_request(
    request: str, class_name: str = "look", deadline_ms: str = "3000", body: str = "", *fields: str
) -> str:
    """Return a client's request for a job, with further header fields."""
    lines = [
        f"POST /{class_name}?x=1 HTTP/1.1",
        "Host: app.svc",
        f"Req-Id: {request}",
        f"Req-Deadline-Ms: {deadline_ms}",
    ]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", *fields, "", ""]) + body


def get_request(path: str) -> str:
    """Return a GET request."""
    return f"GET {path} HTTP/1.1\r\nHost: app.svc\r\n\r\n"


def job_event(state: str, request: str, *fields: str) -> str:
    """Return a worker's job event as a chunk of an HTTP body; `fields` have the form KEY=VALUE."""
    line = json.dumps({"id": request, "state": state} | dict(field.split("=", 1) for field in fields)) + "\n"
    return f"{len(line):x}\r\n{line}\r\n"


RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
MESSAGES: dict[str, Callable[..., str]] = {
    "job": job_request,
    "get": get_request,
    "take": lambda: RESPONSE_HEAD,
    "event": job_event,
    "end": lambda: "0\r\n\r\n",
    "done": lambda request, result="made": job_event("done", request, f"result={result}") + "0\r\n\r\n",
    "serve": lambda request: (
        RESPONSE_HEAD
        + job_event("started", request)
        + job_event("done", request, "result=made")
        + "0\r\n\r\n"
    ),
    "last": lambda state, request: RESPONSE_HEAD + job_event(state, request) + "0\r\n\r\n",
    "status": lambda code, *fields: "\r\n".join([f"HTTP/1.1 {code} X", *fields, "Content-Length: 0", "", ""]),
    "bytes": lambda count: "x" * int(count),
    "raw": lambda text: text.replace("~", "\r\n").encode().decode("unicode_escape"),
}


class Scenario:
    """One dispatcher in a thread, and the sockets of its clients, workers and discovery.

    Args:
        known: Workers of the list in the configuration, separated by spaces; empty for no list.
        descriptors: The platform's limit of descriptors.
        version: Version of the list in the configuration.
        mgmt: Whether the dispatcher has a management port.
        passed_fd: Descriptor of a listening socket that the platform passes to the dispatcher.
        platform_settings: Keys of the platform's settings that replace those of PLATFORM_SETTINGS.
        loading_s: Seconds between the opening of the sockets and the start of the dispatcher.
        early_job: Id of a job that client `early` sends while the dispatcher loads; empty for none.
        early_deadline_ms: Deadline of that job, in milliseconds.
        bounds: Keys of `bounds` in the platform's settings.
    """

    def __init__(
        self,
        known: str = "w0",
        descriptors: int = 1024,
        version: int = -1,
        mgmt: bool = False,
        passed_fd: int | None = None,
        platform_settings: dict[str, Any] | None = None,
        loading_s: float = 0.0,
        early_job: str = "",
        early_deadline_ms: int = 3000,
        **bounds: Any,
    ) -> None:
        self.servers = {name: socket.create_server(("127.0.0.1", 0)) for name in ("w0", "w1", "d", "e")}
        self.connections: dict[str, socket.socket] = {}
        self.unread: dict[str, bytes] = {}
        self.platform_settings = platform_settings = (
            PLATFORM_SETTINGS | {"bounds": PLATFORM_SETTINGS["bounds"] | bounds} | (platform_settings or {})
        )
        known_list = json.loads(self.list_body(str(version), "whole", *known.split())) if known else None
        discovery = self.endpoint("d")
        mgmt_address = ("127.0.0.1", 0) if mgmt else None
        settings = read_settings(platform_settings)
        config = Config(
            "n0",
            ("127.0.0.1", 0),
            discovery,
            1,
            descriptors,
            192,
            settings,
            known_list,
            mgmt_address,
            passed_fd,
        )
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

        sockets = open_sockets(config)
        if early_job:
            client = socket.create_connection(sockets.clients.getsockname(), TIMEOUT_S)
            client.settimeout(TIMEOUT_S)
            self.connections["early"], self.unread["early"] = client, b""
            self._send("early", f"job {early_job} look {early_deadline_ms}")
        time.sleep(loading_s)

        async def start() -> tuple[Node, tuple[str, int]]:
            node = Node(config, self.loop)
            return node, node.start(sockets)

        self.node, self.client_address = asyncio.run_coroutine_threadsafe(start(), self.loop).result(
            TIMEOUT_S
        )

    def endpoint(self, name: str) -> str:
        """Return the `host:port` of a worker or a discovery service of the script."""
        host, port = self.servers[name].getsockname()
        return f"{host}:{port}"

    def list_body(self, version: str, whole: str, *targets: str) -> str:
        """Return the JSON body of a list from discovery.

        Args:
            version: Version of the list.
            whole: `whole` for all entries; otherwise the entries are changes.
            targets: Entries such as `w0`, `w0=draining`, or `w0=ready@12` for a worker started at 12 ms.
        """
        entries = []
        for target in targets:
            name, _, state = target.partition("=")
            state, _, boot = state.partition("@")
            entry = {"uid": name, "endpoint": self.endpoint(name), "az": "atlanta", "pod_group": 0}
            entries.append(entry | {"state": state or "ready", "boot_ms": int(boot or 0)})
        return json.dumps({"rev": int(version), "all": whole == "whole", "targets": entries})

    def run_script(self, text: str) -> None:
        """Run a script line by line.

        Raises:
            AssertionError: A line failed; the message names the line.
        """
        for line in filter(None, (raw.partition(" #")[0].strip() for raw in text.splitlines())):
            who, verb, arguments = (*line.split(None, 2), "")[:3]
            try:
                getattr(self, f"_{verb}")(who, arguments)
            except (AssertionError, OSError) as error:
                raise AssertionError(f"at '{line}': {error or type(error).__name__}") from error

    def _connection(self, who: str) -> socket.socket:
        """Return the connection of that name, opening or accepting it when it is first named."""
        if who not in self.connections:
            name = who.partition("/")[0]
            if name == "p" or name in self.servers:
                servers = [self.servers[server] for server in (("w0", "w1") if name == "p" else (name,))]
                ready, _, _ = select.select(servers, (), (), TIMEOUT_S)
                assert ready, "no connection arrived"
                connection, _ = ready[0].accept()
            elif name.startswith("m") and self.node.mgmt is not None:
                connection = socket.create_connection(self.node.mgmt.address, TIMEOUT_S)
            else:
                connection = socket.create_connection(self.client_address, TIMEOUT_S)
            connection.settimeout(TIMEOUT_S)
            self.connections[who], self.unread[who] = connection, b""
        return self.connections[who]

    def _send(self, who: str, arguments: str) -> None:
        """Send a message on a connection; `arguments` names the message and its fields."""
        message, *args = shlex.split(arguments)
        if message == "list":
            body = self.list_body(*args)
            text = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        else:
            text = MESSAGES[message](*args)
        self._connection(who).sendall(text.encode("latin-1"))

    def _expect(self, who: str, pattern: str) -> None:
        """Read until the pattern matches what is unread, or until the end of the connection."""
        connection = self._connection(who)
        while pattern == "end" or not (match := re.search(pattern.encode(), self.unread[who], re.S)):
            try:
                data = connection.recv(65536)
            except ConnectionResetError:
                data = b""
            except TimeoutError:
                raise AssertionError(f"unread so far: {self.unread[who]!r}") from None
            self.unread[who] += data
            if not data:
                assert pattern == "end", f"the connection ended after {self.unread[who]!r}"
                assert not self.unread[who], f"unread at the end: {self.unread[who]!r}"
                return
        self.unread[who] = self.unread[who][match.end() :]

    def _open(self, who: str, arguments: str) -> None:
        """Connect without sending anything."""
        self._connection(who)

    def _gets(self, who: str, request: str) -> None:
        """Read the whole head of a request."""
        self._expect(who, rf"Req-Id: {request}\r\n.*?\r\n\r\n")

    def _close(self, who: str, arguments: str) -> None:
        """Close a connection, with a reset if `arguments` is `hard`, or a server without connections."""
        if who in self.servers and who not in self.connections:
            self.servers[who].close()
            return
        connection = self.connections.pop(who)
        if arguments == "hard":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()

    def _wait(self, who: str, arguments: str) -> None:
        """Wait for a counter or a current value of the report; `arguments` gives its name and number."""
        name, count = arguments.split()
        end = time.monotonic() + TIMEOUT_S
        while True:
            report: Any = asyncio.run_coroutine_threadsafe(self._report(), self.loop).result(TIMEOUT_S)
            current = report["now"].get(name)
            if (
                current == int(count)
                if current is not None
                else report["counters"].get(name, 0) >= int(count)
            ):
                return
            assert time.monotonic() < end, f"still {report}"
            time.sleep(0.002)

    def _jam(self, who: str, arguments: str) -> None:
        """Fill the queue of connections of a server."""
        server = self.servers[who]
        server.listen(0)
        for number in range(8):
            self.connections[f"jam{number}"] = connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex(server.getsockname())

    async def _report(self) -> dict[str, object]:
        """Return the dispatcher's report, in its loop."""
        return self.node.report()

    def _drain(self, who: str, arguments: str) -> None:
        """Drain the dispatcher."""
        self.loop.call_soon_threadsafe(self.node.drain)

    def _reload(self, who: str, arguments: str) -> None:
        """Reload from a configuration file.

        Its discovery address takes precedence over that of the environment, which cannot change while a
        process runs.
        """
        config = {"name": "n0", "listen": "127.0.0.1:0", "settings": self.platform_settings}
        config |= {"discovery": self.endpoint(arguments)} if arguments else {"limits": {"sockets": "many"}}
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(config, file)
            file.flush()
            environ = {"RELAY_CONFIG": file.name, "RELAY_DISCOVERY": self.endpoint("d")}

            async def reload() -> None:
                self.node.reload(ConfigSources(environ))

            asyncio.run_coroutine_threadsafe(reload(), self.loop).result(TIMEOUT_S)

    def close(self) -> None:
        """Close the dispatcher, its loop and thread, and all sockets."""
        close_node(self.node, self.loop, self.thread)
        for sock in [*self.connections.values(), *self.servers.values()]:
            sock.close()


def close_node(node: Node, loop: asyncio.AbstractEventLoop, thread: threading.Thread) -> None:
    """Close a dispatcher that runs on the loop of a thread, then end the loop and the thread."""

    async def close() -> None:
        node.close()
        await asyncio.sleep(0)

    asyncio.run_coroutine_threadsafe(close(), loop).result(TIMEOUT_S)
    loop.call_soon_threadsafe(loop.stop)
    thread.join(TIMEOUT_S)
    loop.close()
