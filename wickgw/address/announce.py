"""Announcers: how the world learns that an address is here now.

`Announcer` is the interface; a speaker of a routing protocol would be a third one. Owns the operator's
program while it runs. It must never take longer than its time limit, nor count as announced what failed.
"""

import asyncio
import contextlib
from typing import Protocol

TOLD = 200  # characters of the program's own words in an error


class Announcer(Protocol):
    """Announces one address."""

    async def add(self, term: int) -> str:
        """Announce it here. Returns why that failed; empty if it is announced."""

    async def remove(self, term: int) -> str:
        """Announce it no more; also after an `add` that failed. Returns why that failed."""


class ListenOnly:
    """Listening at the address is all: it is the machine's already (loopback, anycast, one machine)."""

    async def add(self, term: int) -> str:
        """Nothing to do."""
        return ""

    async def remove(self, term: int) -> str:
        """Nothing to do."""
        return ""


class Program:
    """The operator's own program: `PROGRAM add|remove NAME HOST:PORT TERM`. Done is exit status 0 in time."""

    def __init__(self, path: str, name: str, at: str, timeout: float) -> None:
        self.path, self.name, self.at, self.timeout = path, name, at, timeout

    async def add(self, term: int) -> str:
        """Run it with `add`."""
        return await self._run("add", term)

    async def remove(self, term: int) -> str:
        """Run it with `remove`."""
        return await self._run("remove", term)

    async def _run(self, verb: str, term: int) -> str:
        try:
            process = await asyncio.create_subprocess_exec(
                self.path,
                verb,
                self.name,
                self.at,
                str(term),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.PIPE,
                start_new_session=True,  # a signal to our group is not one to it
            )
        except OSError as error:
            return f"{self.path}: {error.strerror}"
        try:
            _, words = await asyncio.wait_for(process.communicate(), self.timeout)
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            return f"{self.path} {verb} took longer than {self.timeout:g} s"
        if process.returncode:
            told = words.decode(errors="replace").strip()[:TOLD]
            return f"{self.path} {verb} ended with {process.returncode}: {told}"
        return ""
