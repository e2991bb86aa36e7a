"""Helpers for tests of routes: a plan read from text, and a dispatcher with routes on real sockets."""

import asyncio
import http.client
import itertools
import json
import threading
from pathlib import Path

from scenario import TIMEOUT_S, close_node

from wickgw.config.ini import read_ini
from wickgw.config.relay import Config, ConfigSources, open_sockets
from wickgw.config.routes import read_plan
from wickgw.emulator.dispatcher_processes import PLATFORM_SETTINGS
from wickgw.emulator.worker import EmulatedWorker
from wickgw.node import Node
from wickgw.platform_data import read_settings
from wickgw.routing.check import CheckPlan

INI_HEAD = "[routing]\nenabled = yes\nzones = east west\nclasses = look once\nzone_header = Client-Zone\n"
ZONES = ("east", "west")


def plan_from_text(folder: Path, text: str) -> CheckPlan:
    """Write an INI file of INI_HEAD and `text`, and return its plan."""
    path = folder / "routes.ini"
    path.write_text(INI_HEAD + text)
    return read_plan(path)


class RoutedDispatcher:
    """A dispatcher with routes in a thread, and emulated workers: e1 and e2 in east, w1 and w2 in west.

    Args:
        folder: Directory for the configuration files.
        text: The routes, in the form of the operator's INI file.
        job_run_s: Run time of a job on the workers, in seconds.
    """

    def __init__(self, folder: Path, text: str, job_run_s: float = 0.0) -> None:
        self.ini, self.numbers = folder / "routes.ini", itertools.count()
        self.ini.write_text(INI_HEAD + text)
        self.workers = {name: EmulatedWorker(name, job_run_s) for name in ("e1", "e2", "w1", "w2")}
        settings = read_settings(PLATFORM_SETTINGS | {"zones": list(ZONES)})
        config = Config("n0", ("127.0.0.1", 0), "127.0.0.1:1", 1, 256, 192, settings, self.worker_list())
        self.config = folder / "config.json"
        platform_settings = PLATFORM_SETTINGS | {"zones": list(ZONES)}
        self.config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "discovery": "127.0.0.1:1",
                    "settings": platform_settings,
                }
            )
        )
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

        async def start() -> tuple[Node, tuple[str, int]]:
            node = Node(config, self.loop, read_ini(self.ini))
            return node, node.start(open_sockets(config))

        self.node, self.client_address = asyncio.run_coroutine_threadsafe(start(), self.loop).result(
            TIMEOUT_S
        )
        self.connection = http.client.HTTPConnection(*self.client_address, timeout=TIMEOUT_S)

    def worker_list(self, **states: str) -> dict[str, object]:
        """Return a whole list of the workers, in the given states by name; all others are ready."""
        zone_by_letter = {"e": "east", "w": "west"}
        targets = [
            worker.list_entry()
            | {"az": zone_by_letter[name[0]], "state": states.get(name, "ready"), "model": f"model-{name}"}
            for name, worker in self.workers.items()
        ]
        return {"rev": 1, "all": True, "targets": targets}

    def call_in_loop(self, action: object) -> object:
        """Call `action` in the dispatcher's loop and return its result."""

        async def call() -> object:
            return action() if callable(action) else action

        return asyncio.run_coroutine_threadsafe(call(), self.loop).result(TIMEOUT_S)

    def update_list(self, **states: str) -> None:
        """Replace the dispatcher's list of workers by that of `worker_list`."""
        reader = self.node.discovery.reader

        def replace_list() -> None:
            from wickgw import interface as i

            targets = reader.decode(self.worker_list(**states)).targets
            self.node._on_update(i.ListKind.REPLACE, targets)

        self.call_in_loop(replace_list)

    def reload(self, text: str) -> None:
        """Replace the routes and reload, as SIGHUP does."""
        self.ini.write_text(INI_HEAD + text)
        self.call_in_loop(
            lambda: self.node.reload(ConfigSources({"RELAY_CONFIG": str(self.config)}, self.ini))
        )

    def send_job(self, path: str, host: str = "a.example.org", **fields: str) -> tuple[int, str]:
        """Send a job; return the status and the name of the worker that ran it, empty if none did.

        Further header fields are given by keyword, with `_` for `-`.
        """
        request = f"q{next(self.numbers)}"
        headers = {"Host": host, "Req-Id": request, "Req-Deadline-Ms": "2000"}
        headers |= {key.replace("_", "-"): value for key, value in fields.items()}
        self.connection.putrequest("POST", path, skip_host=True)
        for key, value in headers.items():
            self.connection.putheader(key, value)
        self.connection.putheader("Content-Length", "0")
        self.connection.endheaders()
        answer = self.connection.getresponse()
        answer.read()
        ran = [name for name, worker in self.workers.items() if worker.run_counts[request]]
        assert len(ran) <= 1 or answer.status != 200
        return answer.status, ran[0] if ran else ""

    def report(self) -> dict[str, object]:
        """Return the dispatcher's report, as of /-/counters."""
        report = self.call_in_loop(self.node.report)
        assert isinstance(report, dict)
        return report

    def close(self) -> None:
        """Close the dispatcher and the workers."""
        self.connection.close()
        close_node(self.node, self.loop, self.thread)
        for worker in self.workers.values():
            worker.close()
