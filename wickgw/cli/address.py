"""`wickgw address ...`: what an instance holds, keys, and rehearsals of the core in virtual time.

Owns arguments, what is printed, and exit codes: 0 done, 1 found wrong, 2 can't be used.
"""

import json
import os
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from wickgw.cli.common import told_plainly
from wickgw.config.relay import ConfigError
from wickgw.net.listen import address as socket_address

app = typer.Typer(no_args_is_help=True, help="Service addresses that move between instances.")


@app.command()
def status(
    at: Annotated[str, typer.Option(help="HOST:PORT of an instance; RELAY_LISTEN otherwise.")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print what it says as JSON.")] = False,
) -> None:
    """Say what an instance holds, knows and has counted."""
    import http.client

    with told_plainly():
        where = at or os.environ.get("RELAY_LISTEN", "")
        try:
            host, port = socket_address(where)
        except ValueError:
            raise ConfigError(f"--at: {where!r} read, HOST:PORT of an instance wanted") from None
    try:
        connection = http.client.HTTPConnection(host, port, timeout=3)
        connection.request("GET", "/-/address")
        answer = connection.getresponse()
        body = answer.read(1 << 20)
    except (OSError, http.client.HTTPException) as error:
        print(f"wickgw: {where} does not answer: {error}", file=sys.stderr)
        raise typer.Exit(1) from None
    if answer.status != 200:
        print(f"wickgw: {where}: {body.decode(errors='replace').strip()}", file=sys.stderr)
        raise typer.Exit(1)
    said = json.loads(body)
    print(json.dumps(said, indent=2) if as_json else "\n".join(_told(said)))


def _told(said: dict[str, Any]) -> list[str]:
    """A status as lines to read."""
    quiet = f", quiet for {said['quiet_s']} s" if said["quiet_s"] else ""
    able = "able to serve" if said["able"] else "not able to serve"
    lines = [f"{said['me']}: {able}{quiet}{', ending' if said['ending'] else ''}", "addresses"]
    for name, a in said["addresses"].items():
        left = f", lease for {a['left_s']} s" if a["left_s"] is not None else f" ({a['why']})"
        vote = f"; our vote: {a['vote']}" if a["vote"] else ""
        lines.append(f"  {name}: {a['stage']}{left}, term {a['term']}{vote}")
    lines.append(f"members (majority {said['majority']})")
    for name, m in said["members"].items():
        holds = f", holds {' '.join(m['holds'])}" if m["holds"] else ""
        lines.append(f"  {name}: {m['state']}, silent for {m['silent_s']} s{holds}")
    lines.append("counted")
    lines += [f"  {name}: {count}" for name, count in {**said["counted"], **said.get("wire", {})}.items()]
    return lines


@app.command("new-key")
def new_key(
    file: Annotated[Path, typer.Argument(help="The key file; made, or a second key added.")],
) -> None:
    """Add a key to a key file, readable by its owner only. A second key does not seal until it is first."""
    from wickgw.address.keys import KeyFileError, add_key

    with told_plainly():
        try:
            name, count = add_key(file)
        except KeyFileError as error:
            raise ConfigError(str(error)) from error
    print(f"{file}: key {name} added as number {count}" + ("; it seals" if count == 1 else ""))


@app.command()
def rehearse(
    seeds: Annotated[int, typer.Option(min=1, help="How many schedules.")] = 1000,
    seed: Annotated[int, typer.Option(min=0, help="The first one.")] = 0,
    file: Annotated[Path | None, typer.Option("--json", help="Write the report to FILE.")] = None,
    processes: Annotated[int, typer.Option(min=0, help="Processes; 0: one a core.")] = 0,
    trace: Annotated[bool, typer.Option(help="Print the trace of the seed, broken or not.")] = False,
    plant: Annotated[str, typer.Option(hidden=True)] = "",
) -> None:
    """Play the real core through random faults in virtual time. Exit 0 only if no two instances ever
    answered at once and the address came back in time."""
    from rich.progress import Progress

    from wickgw.address.bugs import BUGS, Planted
    from wickgw.address.campaign import campaign
    from wickgw.address.rehearsal import rehearse as play

    if plant and plant not in BUGS:
        print(f"wickgw: --plant: {plant!r} read, one of {', '.join(BUGS)} wanted", file=sys.stderr)
        raise typer.Exit(2)
    if trace:
        print("\n".join(play(seed, Planted(plant), traced=True).trace))
    with Progress(disable=not sys.stderr.isatty()) as bar:
        task = bar.add_task("seeds", total=seeds)
        report = campaign(
            seed, seeds, plant, processes, stop_at_first=bool(plant), progress=lambda n: bar.advance(task, n)
        )
    told = report.as_json()
    if file is not None:
        try:
            file.write_text(json.dumps(told, indent=2) + "\n")
        except OSError as error:
            print(f"wickgw: {file}: {error.strerror}", file=sys.stderr)
            raise typer.Exit(2) from None
    back = told["return_s"]
    print(
        f"{told['seeds']} seeds, {told['violations']} violations; two at once for "
        f"{told['max_overlap_ms']} ms at most (bound {told['bound_ms']} ms); {told['deaths']} deaths of "
        f"a holder, back in {back['p50']} s (median), {back['p99']} s (99%), {back['max']} s (max)"
    )
    if report.broken:
        first = report.broken[0]
        print("\n".join(play(first.seed, Planted(plant), traced=True).trace))
        print("\n".join(f"VIOLATION {text}" for text in first.violations))
        again = f" --plant {plant}" if plant else ""
        print(f"replay: wickgw address rehearse --seeds 1 --seed {first.seed} --trace{again}")
        raise typer.Exit(1)
