"""Case 8: over 32 clients reach a dispatcher while it starts again; attempts tell too long a time."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2 import TROUBLE, Client, Head, Rig, free_port, main, make_settings, now

CLIENTS = 100  # a third of 1,024 descriptors is 341
CORE_SHARE = 0.4  # of a core: cpu_ms_per_s of the site is 400
PERIOD_S = 0.02
DEADLINE_MS = 5000


def run_s(head: Head) -> float:
    """Return the running time of a job."""
    return 0.2


async def share_core(pid: int) -> None:
    """Let a process run for its share of a core: stop it for the rest of each short period."""
    with contextlib.suppress(ProcessLookupError):
        while True:
            os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep(PERIOD_S * (1 - CORE_SHARE))
            os.kill(pid, signal.SIGCONT)
            await asyncio.sleep(PERIOD_S * CORE_SHARE)


async def case(rig: Rig) -> list[str]:
    """Kill the dispatcher, start it again at once, and let its clients come back as soon as it listens."""
    await rig.add_workers(12, run_s, slots=12)
    settings, port = make_settings(), free_port()
    process = rig.launch(settings, "n0", port)
    await rig.until_ready(process, "n0", port)
    if TROUBLE:
        rig.signal(process, signal.SIGKILL)
        process.wait()
        process = rig.launch(settings, "n0", port)
    sharing = asyncio.create_task(share_core(process.pid))
    began = now()
    while True:  # the first client that gets through; it is one of the crowd
        try:
            first = await Client.connect(rig, "c0", port)
            break
        except ConnectionRefusedError:
            if now() > began + 20:
                raise
            await asyncio.sleep(0.005)
    clients = [first]
    jobs = [rig.new_id() for _ in range(CLIENTS)]
    first.send(jobs[0], "label-lookup", DEADLINE_MS)
    for number, job in enumerate(jobs[1:], 1):
        client = await Client.connect(rig, f"c{number}", port)
        client.send(job, "label-lookup", DEADLINE_MS)
        clients.append(client)
    await asyncio.gather(*(client.answer(job) for job, client in zip(jobs, clients, strict=True)))
    sharing.cancel()
    os.kill(process.pid, signal.SIGCONT)
    return rig.told_too_much()


main(__file__, case)
