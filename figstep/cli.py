"""Command line interface: parses arguments, runs operations, prints results."""

import asyncio
import getpass
import itertools
import json
import sys
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any

import typer
import uvloop
import yaml

from figstep import account as accounts
from figstep import bench, operations
from figstep import demo as demonstration
from figstep.audit import HistoryEntry
from figstep.errors import FigstepError
from figstep.experiment import trials
from figstep.experiment.cost import REQUESTS, TARGETS, format_costs, measure_cost
from figstep.load import LoadRun, format_summary, load_scenario, write_results
from figstep.logs import install_logs
from figstep.plots import draw_measures, read_results
from figstep.server import run_server
from figstep.settings import Settings, load_settings
from figstep.standins.engine_model import EngineProfile
from figstep.standins.process import run_standin

app = typer.Typer(no_args_is_help=True, add_completion=False)
settings_app = typer.Typer(no_args_is_help=True, help="Settings of an entry.")
app.add_typer(settings_app, name="settings")

LogUrl = Annotated[str, typer.Option("--log", envvar="FIGSTEP_LOG")]
InstancesUrl = Annotated[str, typer.Option("--instances", envvar="FIGSTEP_INSTANCES")]


@app.command()
def serve(settings: Annotated[Path, typer.Option()]) -> None:
    """Run an entry instance until SIGTERM or SIGINT."""
    raise typer.Exit(run_server(load_settings(settings)))


@app.command()
def demo(hold: bool = False) -> None:
    """Run stand-ins and entries in one process and stream an answer.

    With --hold, stream nothing and keep them running until SIGTERM or SIGINT.
    """
    install_logs("WARNING")
    if hold:
        uvloop.run(demonstration.hold_demo())
        return
    uvloop.run(demonstration.show_demo())


@app.command()
def check(inventory: Path) -> None:
    """Validate an inventory file."""
    document = operations.check_inventory(inventory)
    targets = len(document.list_targets())
    typer.echo(f"{inventory}: valid, {targets} targets")


@app.command()
def publish(
    inventory: Path,
    log: LogUrl,
    reason: Annotated[str, typer.Option()],
    author: str = "",
    wait: Annotated[
        str, typer.Option(help="Entries that must show it: N, N-of-N or all.")
    ] = "",
    instances: InstancesUrl = "",
    timeout: Annotated[float, typer.Option(help="Seconds to wait.")] = 30.0,
) -> None:
    """Publish an inventory file; report success once it is read back from the log."""
    document = operations.load_document(inventory)
    author = author or getpass.getuser()
    offset = operations.run_with_log(
        log,
        lambda client: operations.publish_document(client, document, author, reason),
    )
    typer.echo(f"accepted at offset {offset}")
    _wait_in_force(offset, wait, instances, timeout)


def _wait_in_force(offset: int, wait: str, instances: str, timeout: float) -> None:
    if not wait:
        return
    if not instances:
        raise typer.BadParameter("--wait needs --instances")
    first = wait.partition("-of-")[0]
    if wait != "all" and not first.isdigit():
        raise typer.BadParameter("--wait takes N, N-of-N or all")
    required_entries = None if wait == "all" else int(first)
    shown = asyncio.run(
        operations.wait_in_force(instances, offset, timeout, required_entries)
    )
    typer.echo(f"in force on {shown} entries")


@app.command()
def drain(
    target: str,
    log: LogUrl,
    reason: Annotated[str, typer.Option()],
    author: str = "",
    wait: str = "",
    instances: InstancesUrl = "",
    timeout: float = 30.0,
    end: Annotated[bool, typer.Option("--end", help="End the drain.")] = False,
) -> None:
    """Publish that a target gets no new work, or with --end that it does again.

    Requests that run on the target continue.
    """
    author = author or getpass.getuser()
    offset = operations.run_with_log(
        log,
        lambda client: operations.drain_target(
            client, target, author, reason, drain=not end
        ),
    )
    typer.echo(f"accepted at offset {offset}")
    _wait_in_force(offset, wait, instances, timeout)


@app.command()
def evacuate(
    failure_domain: str,
    log: LogUrl,
    reason: Annotated[str, typer.Option()],
    author: str = "",
    wait: str = "",
    instances: InstancesUrl = "",
    timeout: float = 30.0,
    undo: Annotated[bool, typer.Option("--undo", help="End the evacuation.")] = False,
) -> None:
    """Publish that a failure domain's targets get no new work, or undo it.

    Requests that run in the failure domain continue. With --undo, its targets get
    new work again.
    """
    author = author or getpass.getuser()
    offset = operations.run_with_log(
        log,
        lambda client: operations.evacuate_domain(
            client, failure_domain, author, reason, evacuate=not undo
        ),
    )
    typer.echo(f"accepted at offset {offset}")
    _wait_in_force(offset, wait, instances, timeout)


@app.command()
def show(log: LogUrl) -> None:
    """Print the document in force as YAML."""
    trail = operations.run_with_log(log, operations.read_history)
    if trail.stalled:
        typer.echo(f"stalled: {trail.stalled}", err=True)
    if trail.current is None:
        typer.echo("no document is in force; publish one", err=True)
        raise typer.Exit(1)
    current = trail.current
    typer.echo(f"# offset {current.accepted} by {current.author}: {current.reason}")
    typer.echo(yaml.safe_dump(current.document, sort_keys=False), nl=False)


@app.command()
def diff(inventory: Path, log: LogUrl) -> None:
    """Print the changes that a file would make; exit with 1 if there are any."""
    document = operations.load_document(inventory)
    changes = operations.run_with_log(
        log, lambda client: operations.compare_document(client, document)
    )
    for change in changes:
        typer.echo(str(change))
    if changes:
        raise typer.Exit(1)


@app.command()
def history(
    log: LogUrl, as_json: Annotated[bool, typer.Option("--json")] = False
) -> None:
    """Print the audit trail: author, time, reason, changes and verdict of each edit."""
    trail = operations.run_with_log(log, operations.read_history)
    for entry in trail.entries:
        if as_json:
            typer.echo(json.dumps(_encode_entry(entry)))
            continue
        _print_entry(entry)


def _encode_entry(entry: HistoryEntry) -> dict[str, Any]:
    document = asdict(entry)
    changes = []
    for change in entry.changes:
        values = {"before": change.before, "after": change.after}
        changes.append({"path": change.path, **values})
    document["changes"] = changes
    return document


def _print_entry(entry: HistoryEntry) -> None:
    when = datetime.fromtimestamp(entry.time / 1000, UTC).isoformat(timespec="seconds")
    verdict = entry.verdict if not entry.rule else f"{entry.verdict} by {entry.rule}"
    typer.echo(
        f"{entry.offset} {when} {entry.author}: {entry.reason} [{verdict}]"
        f" edit {entry.edit}"
    )
    if entry.why:
        typer.echo(f"    {entry.why}")
    for change in entry.changes:
        typer.echo(f"    {change}")


@app.command()
def status(instances: InstancesUrl) -> None:
    """Print the status of every live entry; exit with 1 if one does not answer."""
    if not instances:
        raise typer.BadParameter("status needs --instances")
    entries = asyncio.run(operations.read_status(instances))
    for entry in entries:
        if entry.status is None:
            typer.echo(f"{entry.name} {entry.address} no answer")
            continue
        reported = entry.status
        leaving = [
            name
            for name, target in reported["targets"].items()
            if target["leaving"] or target.get("draining")
        ]
        line = (
            f"{entry.name} {entry.address} offset {entry.offset}"
            f" ready {reported['ready']} requests {reported['requests']}"
            f" targets {len(reported['targets'])} leaving {','.join(leaving) or 'none'}"
        )
        stalled = reported.get("configuration_stalled")
        typer.echo(f"{line} STALLED: {stalled}" if stalled else line)
    if any(entry.status is None for entry in entries):
        raise typer.Exit(1)


@app.command("bench")
def run_bench(
    entry: str,
    key: Annotated[str, typer.Option()],
    model: Annotated[str, typer.Option()],
    streams: int = 10,
    tokens: int = 250,
    seconds: float = 20.0,
) -> None:
    """Load an entry with parallel streams and print throughput and delays."""
    workload = bench.Workload(entry, key, model, streams, tokens, 50.0)
    report = uvloop.run(bench.measure(workload, seconds / 4, seconds))
    for line in report.list_lines():
        typer.echo(line)


@app.command()
def standin(
    kind: str,
    name: str = "",
    port: int = 0,
    gap: float = 0.01,
    speed: float = 0.0,
    memory: int = 16_384,
    batch: int = 32,
) -> None:
    """Run a stand-in for an external system until SIGTERM or SIGINT.

    With --speed, an engine simulates batching, cache memory and preemption.
    """
    profile = None
    if speed > 0:
        profile = EngineProfile(speed=speed, memory_tokens=memory, max_running=batch)
    asyncio.run(run_standin(kind, name, port, gap, profile))


@app.command()
def experiment(
    deployment: Annotated[list[str], typer.Option()] = ["bavaria", "ireland"],  # noqa: B006
    load: Annotated[list[float], typer.Option()] = [0.9],  # noqa: B006
    fault: Annotated[list[str], typer.Option()] = [""],  # noqa: B006
    policy: Annotated[list[str], typer.Option()] = [],  # noqa: B006
    seeds: int = 5,
    seconds: float = 300.0,
    entries: int = 1,
    gossip: float = 0.0,
    ablate: bool = False,
    output: Annotated[Path | None, typer.Option()] = None,
) -> None:
    """Compare routing policies in a simulation of engines with a fake clock."""
    options = trials.Options(
        tuple(deployment),
        tuple(load),
        tuple(fault),
        tuple(policy),
        list(range(1, seeds + 1)),
        seconds,
        entries,
        gossip,
        ablate,
    )
    results = trials.run_experiment(options, _show_result)
    typer.echo(trials.format_table(results))
    typer.echo(trials.format_ratios(results))
    if output is not None:
        output.write_text(json.dumps(results, indent=1))


def _show_result(result: dict[str, Any]) -> None:
    typer.echo(trials.format_table([result]).splitlines()[-1], err=True)


@app.command("experiment-table")
def print_experiment(files: list[Path]) -> None:
    """Print the result table of experiments that were saved with --output."""
    results = []
    for file in files:
        results += json.loads(file.read_text())
    typer.echo(trials.format_table(results))
    typer.echo(trials.format_ratios(results))


@app.command()
def cost() -> None:
    """Measure the reducer's time per event, by number of targets and requests."""
    costs = []
    for targets, requests in itertools.product(TARGETS, REQUESTS):
        costs.append(measure_cost(targets, requests))
    typer.echo(format_costs(costs))


@app.command()
def load(
    scenario: Path,
    label: str = "figstep",
    output: Annotated[Path | None, typer.Option()] = None,
) -> None:
    """Send the requests of a scenario to live entries and print the measures."""
    summary = uvloop.run(LoadRun(load_scenario(scenario)).run())
    typer.echo(format_summary(summary))
    if output is not None:
        write_results(output, label, summary)


@app.command()
def plot(results: list[Path], output: Annotated[Path, typer.Option()]) -> None:
    """Draw the stall, preemption and token gap measures of result files."""
    draw_measures(read_results(results), output)


@app.command()
def account(
    logs: list[Path],
    first: Annotated[int, typer.Option(help="Latest first event, ms.")] = 1_800,
    pause: Annotated[int, typer.Option(help="Longest pause, ms.")] = 180,
) -> None:
    """Count the requests in logs of entries by route, outcome and cause."""
    traces: dict[str, accounts.RequestTrace] = {}
    for log in logs:
        with log.open(errors="replace") as lines:
            traces.update(accounts.read_traces(lines))
    rows = accounts.summarize_traces(traces, accounts.LatencyLimits(first, pause))
    typer.echo(accounts.format_rows(rows))


@settings_app.command("check")
def check_settings(settings: Path) -> None:
    """Validate a settings file."""
    load_settings(settings)
    typer.echo(f"{settings}: valid")


@settings_app.command("schema")
def print_schema() -> None:
    """Print the JSON schema of the settings."""
    typer.echo(json.dumps(Settings.model_json_schema(), indent=2))


def main() -> None:
    """Run the command line; print the message of a figstep error and exit with 1."""
    try:
        app()
    except FigstepError as error:
        print(f"figstep: {error}", file=sys.stderr)
        sys.exit(1)
