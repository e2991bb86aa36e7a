"""`wickgw route ...`: expectations checked, a request explained, two files compared; all without traffic.

Owns arguments, what is printed, and exit codes: 0 holds, 1 an expectation broke or lint found an error, 2 the
file can't be used.
"""

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from wickgw.cli.common import told_plainly

app = typer.Typer(no_args_is_help=True, help="Routes and what is expected of them.")
FILE = typer.Argument(help="An operator's file with [routing].")


@app.command()
def check(
    file: Annotated[Path, FILE],
    out: Annotated[Path | None, typer.Option("--json", help="Write the verdicts to FILE.")] = None,
    quiet: Annotated[bool, typer.Option("--quiet", "-q", help="Print what is wrong only.")] = False,
) -> None:
    """Decide every expectation for all requests and fleets that it speaks of, and look for mistakes."""
    from wickgw.config.routes import read_plan
    from wickgw.routing.check import Verdict, survey
    from wickgw.routing.check import check as decide
    from wickgw.routing.lint import lint

    with told_plainly():
        plan = read_plan(file)
    found = survey(plan)
    judgements = decide(plan, found)
    findings = lint(plan, found, judgements)
    for j in judgements:
        if j.verdict is not Verdict.HOLDS:
            print(f"{j.verdict.value.upper()} {j.expectation.name} (line {j.expectation.line}): {j.witness}")
            if j.expectation.why:
                print(f"    why it is expected: {j.expectation.why}")
        elif not quiet:
            print(f"holds {j.expectation.name}")
    for f in findings:
        if f.error or not quiet:
            print(
                f"{'ERROR' if f.error else 'note'} {f.kind} {' '.join(f.routes)} (line {f.line}): {f.witness}"
            )
    if out is not None:
        _write(
            out,
            {
                "expectations": [
                    {
                        "name": j.expectation.name,
                        "line": j.expectation.line,
                        "verdict": j.verdict.value,
                        "witness": j.witness,
                    }
                    for j in judgements
                ],
                "findings": [
                    {
                        "kind": f.kind,
                        "routes": list(f.routes),
                        "line": f.line,
                        "witness": f.witness,
                        "error": f.error,
                    }
                    for f in findings
                ],
            },
        )
    good = sum(j.verdict is Verdict.HOLDS for j in judgements)
    errors = sum(f.error for f in findings)
    print(f"{good} of {len(judgements)} expectations hold; {errors} errors, {len(findings) - errors} notes")
    if good < len(judgements) or errors:
        raise typer.Exit(1)


@app.command()
def explain(
    file: Annotated[Path, FILE],
    path: Annotated[str, typer.Option(help="The path as a client writes it.")],
    host: Annotated[str, typer.Option(help="The Host field.")] = "",
    method: Annotated[str, typer.Option(help="The method.")] = "POST",
    job_class: Annotated[str, typer.Option("--class", help="Put before the path, as its first part.")] = "",
    zone: Annotated[str, typer.Option(help="The zone that the client is in.")] = "",
    header: Annotated[list[str] | None, typer.Option(help="NAME=VALUE, may be repeated.")] = None,
    state: Annotated[str, typer.Option(help="A fleet as in [expect:NAME] fleet.")] = "all ready",
) -> None:
    """Say which route takes a request, why the others don't, which pool serves it, and why."""
    from wickgw.config.routes import fleet_of, read_plan
    from wickgw.routing import normal
    from wickgw.routing.fleet import outcome
    from wickgw.routing.match import Request

    with told_plainly():
        plan = read_plan(file)
        given = fleet_of("--state", state)
    raw = f"/{job_class}{path}" if job_class and not path.startswith(f"/{job_class}") else path
    headers = {k.lower(): v for k, _, v in (text.partition("=") for text in header or [])}
    try:
        request = Request(normal.host(host), normal.path(raw), method.upper(), zone, headers)
    except normal.Malformed as error:
        print(f"wickgw: {error}", file=sys.stderr)
        raise typer.Exit(2) from None
    print(f"request  {request.told()}")
    taken = plan.table.take(request)
    for route in plan.table.routes:
        if taken.route is route:
            continue
        print(f"not      {route.name}: {_why_not(route, request, taken.route)}")
    if taken.route is None:
        print("route    none takes it: 404")
        return
    if taken.tied:
        print(f"tie      {' and '.join(r.name for r in taken.tied)}: give one of them a priority")
    print(f"route    {taken.route.name} (line {taken.route.line})")
    fleet = given.fixed(plan.workers)
    goes = outcome(plan.table, taken.route, fleet)
    print(f"fleet    {fleet.told()}")
    for name in taken.route.pools:
        pool = plan.table.pools[name]
        states = [state.value for state in fleet.of(pool)]
        ready, draining = states.count("ready"), states.count("draining")
        out = f"out ({pool.out})" if pool.is_out(ready, draining) else "not out"
        print(f"pool     {name}: {ready} ready, {draining} draining: {out}")
    if goes.refused:
        print(f"goes to  {goes.pool}, whose decision module holds or refuses it: every pool is out")
    else:
        workers = " ".join(sorted(w.name for w in goes.workers))
        print(f"goes to  {goes.pool}: one of {workers}")


def _why_not(route: Any, request: Any, winner: Any) -> str:
    m = route.match
    if m.hosts and not any(h.holds(request.host) for h in m.hosts):
        return "another host"
    if not m.holds_path(request.path):
        return "another path" if m.paths else "another class"
    if m.methods and request.method not in m.methods:
        return "another method"
    if m.zones and request.zone not in m.zones:
        return "another zone"
    wrong = [h.name for h in m.headers if not h.holds(request.headers)]
    if wrong:
        return f"header {wrong[0]}"
    if winner is not None and winner.priority > route.priority:
        return f"{winner.name} has a higher priority"
    return f"{winner.name} is more specific" if winner is not None else ""


@app.command()
def diff(
    old: Annotated[Path, FILE],
    new: Annotated[Path, FILE],
    out: Annotated[Path | None, typer.Option("--json", help="Write the moves to FILE.")] = None,
) -> None:
    """List which requests go elsewhere under NEW than under OLD, as sets with a witness each."""
    from wickgw.config.routes import read_plan
    from wickgw.routing.lint import NotRegular, TooLarge, difference

    with told_plainly():
        before, after = read_plan(old), read_plan(new)
    zones = tuple(dict.fromkeys((*before.zones, *after.zones)))
    try:
        moved = difference(before.table, after.table, zones)
    except (TooLarge, NotRegular) as error:
        print(f"unknown: {error}")
        raise typer.Exit(1) from None
    for m in moved:
        print(f"from  {m.old}\nto    {m.new}\n  such as {m.witness}")
        print(f"  {m.kinds} kinds of requests, on {' '.join(m.hosts)}")
    if out is not None:
        keys = ("old", "new", "kinds", "witness", "hosts")
        _write(out, {"moved": [{key: getattr(m, key) for key in keys} for m in moved]})
    print(f"{len(moved)} moves" if moved else "every request goes where it went")
    if moved:
        raise typer.Exit(1)


def _write(path: Path, told: dict[str, Any]) -> None:
    try:
        path.write_text(json.dumps(told, indent=2) + "\n")
    except OSError as error:
        print(f"wickgw: {path}: {error.strerror}", file=sys.stderr)
        raise typer.Exit(2) from None
