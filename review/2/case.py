"""Two instances serve one service address at once while `lease_ms` is changed by restarts in turn."""

import asyncio
import itertools
import json
import signal
import time
from pathlib import Path

from standins import (
    TROUBLE,
    Case,
    CouldNotRunError,
    Dispatcher,
    Seen,
    ask,
    free_port,
    page,
    run_case,
    socket,
    wait_until,
)

LEASE_BEFORE_MS, LEASE_AFTER_MS = 300, 1500
BEAT_MS = 50
CLIENTS = 4
# The shortest lawful way from one holder to another and back takes a lease each (0.3 s at the least).
LAWFUL_RETURN_S = 0.25


def ini(members: dict[str, int], key: Path, service_port: int, lease_ms: int) -> str:
    """Return the operator's file of one instance."""
    lines = [f"    {name}=127.0.0.1:{port}" for name, port in members.items()]
    return "\n".join(
        [
            "[address]",
            "enabled = yes",
            "members =",
            *lines,
            f"key_file = {key}",
            f"beat_ms = {BEAT_MS}",
            f"lease_ms = {lease_ms}",
            "",
            "[address:labels]",
            f"at = 127.0.0.1:{service_port}",
            "prefer = n0",
            "",
        ]
    )


async def holder(service_port: int) -> str:
    """Return which instance answers on the service address; empty if none does."""
    body = await page(service_port, "/-/counters")
    return str(json.loads(body)["name"]) if body else ""


async def held_by(service_port: int, name: str, within_s: float) -> None:
    """Wait until an instance answers on the service address. Raises CouldNotRunError."""

    async def is_holder() -> bool:
        return await holder(service_port) == name

    if not await wait_until(is_holder, within_s):
        raise CouldNotRunError(f"{name} did not take the address")


async def client(case: Case, number: int, service_port: int, seen: list[Seen], over: asyncio.Event) -> None:
    """Hand in look-ups one after the other, each on a new connection, until it is over."""
    for count in itertools.count():
        if over.is_set():
            return
        request = f"{number:02x}{count:014x}"
        seen.append(await ask(case.record, service_port, request, "label-lookup", 5.0))
        await asyncio.sleep(0.02)


def taken_by_two(seen: list[Seen]) -> list[str]:
    """Return the requests that an instance took strictly between two of another, in less than a lease.

    `before` was answered before `between` was sent, and `after` was sent when `between` had been answered.
    """
    served = sorted((one for one in seen if one.status == 200), key=lambda one: one.sent)
    found = []
    for between in served:
        name = between.body.split()[-1]
        others = [one for one in served if one.body.split()[-1] != name]
        before = [one for one in others if 0 < between.sent - one.ended < LAWFUL_RETURN_S]
        after = [one for one in others if 0 < one.sent - between.ended < LAWFUL_RETURN_S]
        for first, last in itertools.product(before, after):
            holder_name = first.body.split()[-1]
            if holder_name == last.body.split()[-1] and last.sent - first.ended < LAWFUL_RETURN_S:
                found.append(
                    f"{name} took and answered {between.request} between {first.request} and "
                    f"{last.request} of {holder_name}, all within {last.ended - first.sent:.3f} s"
                )
                break
    return found


async def restart(dispatcher: Dispatcher) -> None:
    """Restart an instance as planned: SIGTERM, the end, the start, ready. Raises CouldNotRunError."""
    dispatcher.signal(signal.SIGTERM)
    if not await dispatcher.ended(8.0):
        raise CouldNotRunError(f"{dispatcher.name} did not end")
    dispatcher.start()
    if not await wait_until(dispatcher.is_ready, 20.0):
        raise CouldNotRunError(f"{dispatcher.name} did not become ready")


async def play(case: Case) -> list[str]:
    """Write the operator's file anew, with another `lease_ms` if there is trouble, and restart one by one."""
    trio = await case.trio(run_s=0.02)
    members = {one.name: free_port(socket.SOCK_DGRAM) for one in trio}
    key, service_port = case.make_key(), free_port()
    for one in trio:
        one.write_ini(ini(members, key, service_port, LEASE_BEFORE_MS))
        one.start()
    await held_by(service_port, "n0", 30.0)
    seen, over = list[Seen](), asyncio.Event()
    clients = [
        asyncio.create_task(client(case, number, service_port, seen, over)) for number in range(CLIENTS)
    ]
    await asyncio.sleep(3.0)
    lease_ms = LEASE_AFTER_MS if TROUBLE else LEASE_BEFORE_MS
    case.record(f"operator writes the same file with lease_ms = {lease_ms} on every instance")
    for one in trio:
        one.write_ini(ini(members, key, service_port, lease_ms))
    for one in trio:
        one.signal(signal.SIGHUP)
    await asyncio.sleep(1.0)
    case.record(
        "operator restarts the instances one after the other, since lease_ms waits for the next start"
    )
    for one in trio:
        await restart(one)
        # The next one only when the group has settled: n0 has been given the address back after hold_down_s.
        await asyncio.sleep(16.0 if one.name == "n0" else 5.0)
    over.set()
    await asyncio.gather(*clients)
    names = sorted({one.body.split()[-1] for one in seen if one.status == 200})
    case.record(f"verdict  {len(seen)} requests, served by {names}, at {time.strftime('%H:%M:%S')}")
    found = taken_by_two(seen)
    case.record(f"verdict  {len(found)} requests were taken by one instance amid those of another")
    return found


run_case(Path(__file__).parent, play)
