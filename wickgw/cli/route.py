"""`wickgw route ...`: check expectations, explain a request, and compare two files, all without traffic.

This module parses arguments, prints results and sets exit codes. The exit codes are 0 if all expectations
hold, 1 if an expectation is broken or lint finds an error, and 2 if the file is unusable.
"""

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from wickgw.cli.common import exit_on_config_error

app = typer.Typer(no_args_is_help=True, help="Routes and the expectations about them.")
FILE_ARGUMENT = typer.Argument(help="An operator's file with [routing].")


@app.command()
def check(
    file: Annotated[Path, FILE_ARGUMENT],
    report_file: Annotated[Path | None, typer.Option("--json", help="Write the verdicts to FILE.")] = None,
    quiet: Annotated[
        bool, typer.Option("--quiet", "-q", help="Print only errors and broken expectations.")
    ] = False,
) -> None:
    """Check every expectation for all requests and fleets that it covers, and look for mistakes."""
    from wickgw.config.routes import read_plan
    from wickgw.routing.check import Verdict, analyze
    from wickgw.routing.check import check as check_expectations
    from wickgw.routing.lint import lint

    with exit_on_config_error():
        plan = read_plan(file)
    analysis = analyze(plan)
    results = check_expectations(plan, analysis)
    findings = lint(plan, analysis, results)
    for result in results:
        if result.verdict is not Verdict.HOLDS:
            print(
                f"{result.verdict.value.upper()} {result.expectation.name} "
                f"(line {result.expectation.line}): {result.witness}"
            )
            if result.expectation.why:
                print(f"    why it is expected: {result.expectation.why}")
        elif not quiet:
            print(f"holds {result.expectation.name}")
    for finding in findings:
        if finding.error or not quiet:
            print(
                f"{'ERROR' if finding.error else 'note'} {finding.kind} {' '.join(finding.routes)} "
                f"(line {finding.line}): {finding.witness}"
            )
    if report_file is not None:
        _write(
            report_file,
            {
                "expectations": [
                    {
                        "name": result.expectation.name,
                        "line": result.expectation.line,
                        "verdict": result.verdict.value,
                        "witness": result.witness,
                    }
                    for result in results
                ],
                "findings": [
                    {
                        "kind": finding.kind,
                        "routes": list(finding.routes),
                        "line": finding.line,
                        "witness": finding.witness,
                        "error": finding.error,
                    }
                    for finding in findings
                ],
            },
        )
    holding = sum(result.verdict is Verdict.HOLDS for result in results)
    errors = sum(finding.error for finding in findings)
    print(f"{holding} of {len(results)} expectations hold; {errors} errors, {len(findings) - errors} notes")
    if holding < len(results) or errors:
        raise typer.Exit(1)


@app.command()
def explain(
    file: Annotated[Path, FILE_ARGUMENT],
    path: Annotated[str, typer.Option(help="The path of the request.")],
    host: Annotated[str, typer.Option(help="The Host header field.")] = "",
    method: Annotated[str, typer.Option(help="The method.")] = "POST",
    job_class: Annotated[
        str, typer.Option("--class", help="The job class; put before the path as its first part.")
    ] = "",
    zone: Annotated[str, typer.Option(help="The zone of the client.")] = "",
    header: Annotated[
        list[str] | None, typer.Option(help="A header field NAME=VALUE; may be repeated.")
    ] = None,
    state: Annotated[
        str, typer.Option(help="The states of workers, in the format of the key fleet in [expect:NAME].")
    ] = "all ready",
) -> None:
    """Print which route takes a request, why the others don't, which pool serves it, and why."""
    from wickgw.config.routes import parse_fleet, read_plan
    from wickgw.routing import normal
    from wickgw.routing.fleet import outcome
    from wickgw.routing.match import Request

    with exit_on_config_error():
        plan = read_plan(file)
        fleet_set = parse_fleet("--state", state)
    raw_path = f"/{job_class}{path}" if job_class and not path.startswith(f"/{job_class}") else path
    headers = {field.lower(): value for field, _, value in (text.partition("=") for text in header or [])}
    try:
        request = Request(normal.host(host), normal.path(raw_path), method.upper(), zone, headers)
    except normal.MalformedError as error:
        print(f"wickgw: {error}", file=sys.stderr)
        raise typer.Exit(2) from None
    print(f"request  {request.describe()}")
    lookup = plan.table.lookup(request)
    for route in plan.table.routes:
        if lookup.route is route:
            continue
        print(f"not      {route.name}: {_rejection_reason(route, request, lookup.route)}")
    if lookup.route is None:
        print("route    none takes it: 404")
        return
    if lookup.tied:
        print(f"tie      {' and '.join(tied.name for tied in lookup.tied)}: give one of them a priority")
    print(f"route    {lookup.route.name} (line {lookup.route.line})")
    fleet = fleet_set.fixed_fleet(plan.workers)
    destination = outcome(plan.table, lookup.route, fleet)
    print(f"fleet    {fleet.describe()}")
    for name in lookup.route.pools:
        pool = plan.table.pools[name]
        states = [state.value for state in fleet.states_of(pool)]
        ready, draining = states.count("ready"), states.count("draining")
        out = f"out ({pool.out})" if pool.is_out(ready, draining) else "not out"
        print(f"pool     {name}: {ready} ready, {draining} draining: {out}")
    if destination.refused:
        print(f"goes to  {destination.pool}, whose decision module holds or refuses it: every pool is out")
    else:
        workers = " ".join(sorted(worker.name for worker in destination.workers))
        print(f"goes to  {destination.pool}: one of {workers}")


def _rejection_reason(route: Any, request: Any, winner: Any) -> str:
    """Return why `route` does not take `request`, which `winner` takes; `winner` may be None."""
    matcher = route.matcher
    if matcher.hosts and not any(condition.matches(request.host) for condition in matcher.hosts):
        return "another host"
    if not matcher.matches_path(request.path):
        return "another path" if matcher.paths else "another class"
    if matcher.methods and request.method not in matcher.methods:
        return "another method"
    if matcher.zones and request.zone not in matcher.zones:
        return "another zone"
    mismatched = [condition.name for condition in matcher.headers if not condition.matches(request.headers)]
    if mismatched:
        return f"header {mismatched[0]}"
    if winner is not None and winner.priority > route.priority:
        return f"{winner.name} has a higher priority"
    return f"{winner.name} is more specific" if winner is not None else ""


@app.command()
def diff(
    old: Annotated[Path, FILE_ARGUMENT],
    new: Annotated[Path, FILE_ARGUMENT],
    report_file: Annotated[Path | None, typer.Option("--json", help="Write the changes to FILE.")] = None,
) -> None:
    """List the requests whose destination differs between OLD and NEW, as sets with one example each."""
    from wickgw.config.routes import read_plan
    from wickgw.routing.lint import BoundExceededError, NotRegularError, difference

    with exit_on_config_error():
        before, after = read_plan(old), read_plan(new)
    zones = tuple(dict.fromkeys((*before.zones, *after.zones)))
    try:
        changes = difference(before.table, after.table, zones)
    except (BoundExceededError, NotRegularError) as error:
        print(f"unknown: {error}")
        raise typer.Exit(1) from None
    for change in changes:
        print(f"from  {change.old}\nto    {change.new}\n  such as {change.witness}")
        print(f"  {change.kinds} kinds of requests, on {' '.join(change.hosts)}")
    if report_file is not None:
        keys = ("old", "new", "kinds", "witness", "hosts")
        _write(report_file, {"moved": [{key: getattr(change, key) for key in keys} for change in changes]})
    print(f"{len(changes)} moves" if changes else "every request goes where it went")
    if changes:
        raise typer.Exit(1)


def _write(path: Path, report: dict[str, Any]) -> None:
    """Write `report` to `path` as JSON, or exit with code 2."""
    try:
        path.write_text(json.dumps(report, indent=2) + "\n")
    except OSError as error:
        print(f"wickgw: {path}: {error.strerror}", file=sys.stderr)
        raise typer.Exit(2) from None
