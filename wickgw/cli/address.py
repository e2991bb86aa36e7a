"""`wickgw address ...`: show the status of an instance, create keys, and run simulations in virtual time.

This module parses arguments, prints results and sets exit codes. The exit codes are 0 for success, 1 for a
violation or an instance that does not answer, and 2 for unusable input.
"""

import json
import os
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from wickgw.cli.common import exit_on_config_error
from wickgw.config.relay import ConfigError
from wickgw.net.listen import parse_address as socket_address

app = typer.Typer(no_args_is_help=True, help="Service addresses that move between instances.")


@app.command()
def status(
    at: Annotated[str, typer.Option(help="HOST:PORT of an instance; by default RELAY_LISTEN.")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print the status as JSON.")] = False,
) -> None:
    """Print the addresses that an instance holds, its view of the members, and its counters."""
    import http.client

    with exit_on_config_error():
        endpoint = at or os.environ.get("RELAY_LISTEN", "")
        try:
            host, port = socket_address(endpoint)
        except ValueError:
            raise ConfigError(f"--at: {endpoint!r} read; HOST:PORT of an instance is allowed") from None
    try:
        connection = http.client.HTTPConnection(host, port, timeout=3)
        connection.request("GET", "/-/address")
        response = connection.getresponse()
        body = response.read(1 << 20)
    except (OSError, http.client.HTTPException) as error:
        print(f"wickgw: {endpoint} does not answer: {error}", file=sys.stderr)
        raise typer.Exit(1) from None
    if response.status != 200:
        print(f"wickgw: {endpoint}: {body.decode(errors='replace').strip()}", file=sys.stderr)
        raise typer.Exit(1)
    report = json.loads(body)
    print(json.dumps(report, indent=2) if as_json else "\n".join(_status_lines(report)))


def _status_lines(report: dict[str, Any]) -> list[str]:
    """Return a status report as lines of text."""
    quiet = f", quiet for {report['quiet_s']} s" if report["quiet_s"] else ""
    able = "able to serve" if report["able"] else "not able to serve"
    lines = [f"{report['me']}: {able}{quiet}{', ending' if report['ending'] else ''}", "addresses"]
    for name, address in report["addresses"].items():
        left = (
            f", lease for {address['left_s']} s" if address["left_s"] is not None else f" ({address['why']})"
        )
        vote = f"; our vote: {address['vote']}" if address["vote"] else ""
        lines.append(f"  {name}: {address['stage']}{left}, term {address['term']}{vote}")
    lines.append(f"members (majority {report['majority']})")
    for name, member in report["members"].items():
        holds = f", holds {' '.join(member['holds'])}" if member["holds"] else ""
        lines.append(f"  {name}: {member['state']}, silent for {member['silent_s']} s{holds}")
    lines.append("counted")
    lines += [f"  {name}: {count}" for name, count in {**report["counted"], **report.get("wire", {})}.items()]
    return lines


@app.command("new-key")
def new_key(
    file: Annotated[Path, typer.Argument(help="The key file; created if it does not exist.")],
) -> None:
    """Add a key to a key file that only its owner can read. Only the first key in a file signs."""
    from wickgw.address.keys import KeyFileError, add_key

    with exit_on_config_error():
        try:
            name, count = add_key(file)
        except KeyFileError as error:
            raise ConfigError(str(error)) from error
    print(f"{file}: key {name} added as number {count}" + ("; it signs" if count == 1 else ""))


@app.command()
def rehearse(
    seeds: Annotated[int, typer.Option(min=1, help="The number of schedules.")] = 1000,
    seed: Annotated[int, typer.Option(min=0, help="The seed of the first schedule.")] = 0,
    file: Annotated[Path | None, typer.Option("--json", help="Write the report to FILE.")] = None,
    processes: Annotated[int, typer.Option(min=0, help="The number of processes; 0: one for each core.")] = 0,
    trace: Annotated[bool, typer.Option(help="Print the trace of the first seed.")] = False,
    plant: Annotated[str, typer.Option(hidden=True)] = "",
) -> None:
    """Simulate random faults in virtual time with the real core. The exit code is 0 only if no two instances
    ever answered at once and the address came back in time."""
    from rich.progress import Progress

    from wickgw.address.campaign import run_campaign
    from wickgw.address.injected_bugs import BUG_NAMES, InjectedBug
    from wickgw.address.simulation import simulate as run_schedule

    if plant and plant not in BUG_NAMES:
        print(f"wickgw: --plant: {plant!r} read; one of {', '.join(BUG_NAMES)} is allowed", file=sys.stderr)
        raise typer.Exit(2)
    if trace:
        print("\n".join(run_schedule(seed, InjectedBug(plant), traced=True).trace))
    with Progress(disable=not sys.stderr.isatty()) as bar:
        task = bar.add_task("seeds", total=seeds)
        report = run_campaign(
            seed,
            seeds,
            plant,
            processes,
            stop_at_first=bool(plant),
            progress=lambda count: bar.advance(task, count),
        )
    summary = report.as_json()
    if file is not None:
        try:
            file.write_text(json.dumps(summary, indent=2) + "\n")
        except OSError as error:
            print(f"wickgw: {file}: {error.strerror}", file=sys.stderr)
            raise typer.Exit(2) from None
    return_s = summary["return_s"]
    print(
        f"{summary['seeds']} seeds, {summary['violations']} violations; two at once for "
        f"{summary['max_overlap_ms']} ms at most (bound {summary['bound_ms']} ms); "
        f"{summary['deaths']} deaths of a holder, "
        f"back in {return_s['p50']} s (median), {return_s['p99']} s (99%), {return_s['max']} s (max)"
    )
    if report.failed_results:
        broken = report.failed_results[0]
        print("\n".join(run_schedule(broken.seed, InjectedBug(plant), traced=True).trace))
        print("\n".join(f"VIOLATION {text}" for text in broken.violations))
        plant_option = f" --plant {plant}" if plant else ""
        print(f"replay: wickgw address rehearse --seeds 1 --seed {broken.seed} --trace{plant_option}")
        raise typer.Exit(1)
