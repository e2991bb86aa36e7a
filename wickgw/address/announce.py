"""Announcers: make clients reach a service address at this instance.

`Announcer` is the interface; an announcer that speaks a routing protocol would be a third implementation.
`ProgramAnnouncer` owns the operator's program while the program runs. A run takes no longer than its time
limit, and a run that failed never counts as announced.
"""

import asyncio
import contextlib
from typing import Protocol

MAX_STDERR_CHARS = 200  # characters of the program's error output in a message


class Announcer(Protocol):
    """Announces one address."""

    async def add(self, term: int) -> str:
        """Announce the address at this instance. Returns the error; empty if the address is announced."""

    async def remove(self, term: int) -> str:
        """Withdraw the announcement, also after an `add` that failed. Returns the error; empty on success."""


class ListenOnlyAnnouncer:
    """Does nothing: the machine already has the address (loopback, anycast, one machine).

    Listening at the address is enough.
    """

    async def add(self, term: int) -> str:
        """Do nothing, successfully."""
        return ""

    async def remove(self, term: int) -> str:
        """Do nothing, successfully."""
        return ""


class ProgramAnnouncer:
    """Runs the operator's program: `PROGRAM add|remove NAME HOST:PORT TERM`.

    A run succeeds if the program exits with status 0 within `timeout_s` seconds.
    """

    def __init__(self, path: str, name: str, endpoint: str, timeout_s: float) -> None:
        self.path, self.name, self.endpoint, self.timeout_s = path, name, endpoint, timeout_s

    async def add(self, term: int) -> str:
        """Run the program with `add`."""
        return await self._run("add", term)

    async def remove(self, term: int) -> str:
        """Run the program with `remove`."""
        return await self._run("remove", term)

    async def _run(self, command: str, term: int) -> str:
        try:
            process = await asyncio.create_subprocess_exec(
                self.path,
                command,
                self.name,
                self.endpoint,
                str(term),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.PIPE,
                start_new_session=True,  # signals to the dispatcher's process group do not reach it
            )
        except OSError as error:
            return f"{self.path}: {error.strerror}"
        try:
            _, error_output = await asyncio.wait_for(process.communicate(), self.timeout_s)
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            return f"{self.path} {command} took longer than {self.timeout_s:g} s"
        if process.returncode:
            message = error_output.decode(errors="replace").strip()[:MAX_STDERR_CHARS]
            return f"{self.path} {command} ended with {process.returncode}: {message}"
        return ""
