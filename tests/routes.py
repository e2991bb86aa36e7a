"""What tests of routes share: a plan from text, and a dispatcher with routes on real sockets."""

import asyncio
import http.client
import itertools
import json
import threading
from pathlib import Path

from scenario import PATIENCE, end_node

from wickgw.config.ini import read_ini
from wickgw.config.relay import Config, ConfigSources, open_sockets
from wickgw.config.routes import read_plan
from wickgw.emulator.group import SETTINGS
from wickgw.emulator.worker import Worker
from wickgw.node import Node
from wickgw.platform_data import read_settings
from wickgw.routing.check import CheckPlan

HEAD = "[routing]\nenabled = yes\nzones = east west\nclasses = look once\nzone_header = Client-Zone\n"
ZONES = ("east", "west")


def plan_of(folder: Path, text: str) -> CheckPlan:
    path = folder / "routes.ini"
    path.write_text(HEAD + text)
    return read_plan(path)


class Serving:
    """A dispatcher with routes, in a thread, and workers that serve: e1, e2 in east, w1, w2 in west."""

    def __init__(self, folder: Path, text: str, seconds: float = 0.0) -> None:
        self.ini, self.numbers = folder / "routes.ini", itertools.count()
        self.ini.write_text(HEAD + text)
        self.workers = {name: Worker(name, seconds) for name in ("e1", "e2", "w1", "w2")}
        settings = read_settings(SETTINGS | {"zones": list(ZONES)})
        config = Config("n0", ("127.0.0.1", 0), "127.0.0.1:1", 1, 256, 192, settings, self.list())
        self.config = folder / "config.json"
        facts = SETTINGS | {"zones": list(ZONES)}
        self.config.write_text(
            json.dumps({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": facts})
        )
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

        async def begin() -> tuple[Node, tuple[str, int]]:
            node = Node(config, self.loop, read_ini(self.ini))
            return node, node.start(open_sockets(config))

        self.node, self.where = asyncio.run_coroutine_threadsafe(begin(), self.loop).result(PATIENCE)
        self.connection = http.client.HTTPConnection(*self.where, timeout=PATIENCE)

    def list(self, **states: str) -> dict[str, object]:
        """The list of workers, all ready but those named."""
        zone = {"e": "east", "w": "west"}
        targets = [
            worker.listed()
            | {"az": zone[name[0]], "state": states.get(name, "ready"), "model": f"model-{name}"}
            for name, worker in self.workers.items()
        ]
        return {"rev": 1, "all": True, "targets": targets}

    def run(self, what: object) -> object:
        async def call() -> object:
            return what() if callable(what) else what

        return asyncio.run_coroutine_threadsafe(call(), self.loop).result(PATIENCE)

    def tell(self, **states: str) -> None:
        """News of the list."""
        reader = self.node.discovery.reader

        def told() -> None:
            from wickgw import interface as i

            targets = reader.decode(self.list(**states)).targets
            self.node._on_update(i.ListKind.REPLACE, targets)

        self.run(told)

    def reload(self, text: str) -> None:
        self.ini.write_text(HEAD + text)
        self.run(lambda: self.node.reload(ConfigSources({"RELAY_CONFIG": str(self.config)}, self.ini)))

    def ask(self, path: str, host: str = "a.example.org", **fields: str) -> tuple[int, str]:
        """Status, and the worker that ran it, if one did."""
        name = f"q{next(self.numbers)}"
        headers = {"Host": host, "Req-Id": name, "Req-Deadline-Ms": "2000"}
        headers |= {key.replace("_", "-"): value for key, value in fields.items()}
        self.connection.putrequest("POST", path, skip_host=True)
        for key, value in headers.items():
            self.connection.putheader(key, value)
        self.connection.putheader("Content-Length", "0")
        self.connection.endheaders()
        answer = self.connection.getresponse()
        answer.read()
        ran = [worker for worker, w in self.workers.items() if w.runs[name]]
        assert len(ran) <= 1 or answer.status != 200
        return answer.status, ran[0] if ran else ""

    def report(self) -> dict[str, object]:
        told = self.run(self.node.report)
        assert isinstance(told, dict)
        return told

    def close(self) -> None:
        self.connection.close()
        end_node(self.node, self.loop, self.thread)
        for worker in self.workers.values():
            worker.close()
