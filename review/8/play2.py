"""Case 8: with `finish = before`, a planned restart of an address holder resets jobs in hand."""

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2 import ROOT, TROUBLE, CannotRunError, Client, Head, Rig, free_port, main, make_settings, now

INSTANCES = ("n0", "n1", "n2")
CLIENTS = 12
DEADLINE_MS = 8000  # of the class
RUN_S, HANG_S = 0.9, 60.0
HELD_WITHIN_S = 15.0


def run_s(head: Head) -> float:
    """Return the running time of a job at a sound label worker."""
    return RUN_S


def hang_s(head: Head) -> float:
    """Return the running time of a job at a label worker that hangs through the whole of the shutdown."""
    return HANG_S


def write_ini(rig: Rig, address: int) -> Path:
    """Write the operator's file, the same for all instances, and the key that it names."""
    folder = Path(rig.temporary.name)
    key = folder / "address.key"
    subprocess.run(
        [ROOT / ".venv/bin/python", "-m", "wickgw", "address", "new-key", str(key)],
        cwd=ROOT,
        check=True,
        stdout=subprocess.DEVNULL,
    )
    members = [f"    {name}=127.0.0.1:{free_port()}" for name in INSTANCES]
    lines = ["[address]", "enabled = yes", "members =", *members, f"key_file = {key}", ""]
    lines += ["[address:labels]", f"at = 127.0.0.1:{address}", "prefer = n0", "finish = before", ""]
    path = folder / "wickgw.ini"
    path.write_text("\n".join(lines))
    return path


async def until_held(rig: Rig, port: int) -> None:
    """Wait until the instance at `port` serves the address."""
    deadline = now() + HELD_WITHIN_S
    while now() < deadline:
        _, body = await rig.read_page(port, "/-/address")
        if body and json.loads(body)["addresses"]["labels"]["stage"] == "held":
            rig.note("held", port=port)
            return
        await asyncio.sleep(0.1)
    raise CannotRunError("the first instance did not get the address")


async def case(rig: Rig) -> list[str]:
    """Hand in jobs at the service address, and end its holder by SIGTERM while they run."""
    await rig.add_workers(6, run_s)
    await rig.add_workers(6, hang_s)
    settings, address = make_settings(), free_port()
    ini = write_ini(rig, address)
    ports = {name: free_port() for name in INSTANCES}
    started = {name: rig.launch(settings, name, port, ini=ini) for name, port in ports.items()}
    for name, process in started.items():
        await rig.until_ready(process, name, ports[name])
    await until_held(rig, ports["n0"])
    clients = [await Client.connect(rig, f"c{number}", address) for number in range(CLIENTS)]
    jobs = [rig.new_id() for _ in clients]
    for job, client in zip(jobs, clients, strict=True):
        client.send(job, "label-create", DEADLINE_MS)
    await asyncio.sleep(0.3)
    if TROUBLE:
        rig.signal(started["n0"], signal.SIGTERM)
    answers = await asyncio.gather(*(client.answer(job) for job, client in zip(jobs, clients, strict=True)))
    return rig.lost(dict(zip(jobs, answers, strict=True)))


main(__file__, case)
