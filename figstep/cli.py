"""Command line: parses, calls the operations and prints."""

import asyncio
import getpass
import json
import sys
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from figstep import demo as demonstration
from figstep import operations
from figstep.errors import FigstepError
from figstep.load import LoadRun, format_summary, load_scenario, write_results
from figstep.logs import install_logs
from figstep.plots import draw_measures, read_results
from figstep.server import run_server
from figstep.settings import Settings, load_settings
from figstep.standins.process import run_standin

app = typer.Typer(no_args_is_help=True, add_completion=False)
settings_app = typer.Typer(no_args_is_help=True, help="Settings of an entry.")
app.add_typer(settings_app, name="settings")

LogUrl = Annotated[str, typer.Option("--log", envvar="FIGSTEP_LOG")]


@app.command()
def serve(settings: Annotated[Path, typer.Option()]) -> None:
    """Run an entry instance until SIGTERM or SIGINT."""
    run_server(load_settings(settings))


@app.command()
def demo(hold: bool = False) -> None:
    """Run stand-ins and entries in this process and stream one answer."""
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
) -> None:
    """Publish an inventory file."""
    author = author or getpass.getuser()
    offset = operations.publish_file(inventory, log, author, reason)
    typer.echo(f"accepted at offset {offset}")


@app.command()
def standin(kind: str, name: str = "", port: int = 0, gap: float = 0.01) -> None:
    """Run a stand-in of an outside system until SIGTERM or SIGINT."""
    asyncio.run(run_standin(kind, name, port, gap))


@app.command()
def load(
    scenario: Path,
    label: str = "figstep",
    output: Annotated[Path | None, typer.Option()] = None,
) -> None:
    """Send a scenario's requests to live entries and print the measures."""
    summary = uvloop.run(LoadRun(load_scenario(scenario)).run())
    typer.echo(format_summary(summary))
    if output is not None:
        write_results(output, label, summary)


@app.command()
def plot(results: list[Path], output: Annotated[Path, typer.Option()]) -> None:
    """Draw the three measures of one or more result files."""
    draw_measures(read_results(results), output)


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
    """Run the command line; a typed error ends it with its remedy."""
    try:
        app()
    except FigstepError as error:
        print(f"figstep: {error}", file=sys.stderr)
        sys.exit(1)
