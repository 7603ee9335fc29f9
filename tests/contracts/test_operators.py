"""Tests of the operators' contract: output and exit code of each command."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
import pytest_asyncio
from typer.testing import CliRunner

from figstep.cli import app
from figstep.demo import Deployment, run_deployment
from tests.processes import write_yaml

CLOSED_URL = "http://127.0.0.1:9"


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def deployment() -> AsyncIterator[Deployment]:
    async with run_deployment(entries=1) as deployment:
        yield deployment


RULES = {"rules": {"deadline_ms": 5_000}}
COMMANDS = {
    "valid": ("check FILE", {}, 0, "valid, 4 targets"),
    "unknown field": ("check FILE", {"engine": []}, 1, "engine: not a known field"),
    "unknown failure domain": (
        "check FILE",
        {"failure_domains": []},
        1,
        "add it under failure_domains",
    ),
    "no file": ("check FILE-gone", {}, 1, "check the path"),
    "nothing to change": ("diff FILE --log LOG", {}, 0, ""),
    "a change": ("diff FILE --log LOG", RULES, 1, "deadline_ms"),
    "publish of a bad document": (
        "publish FILE --log LOG --reason r",
        {"models": []},
        1,
        "add them under models",
    ),
    "publish to no log": (f"publish FILE --log {CLOSED_URL} --reason r", {}, 1, "log"),
    "show": ("show --log LOG", {}, 0, "# offset 0 by demo: first inventory"),
    "history": ("history --log LOG", {}, 0, "demo: first inventory [accepted]"),
    "drain of an unknown target": (
        "drain engine-9 --log LOG --reason r",
        {},
        1,
        "no target 'engine-9'",
    ),
    "status of no list": (f"status --instances {CLOSED_URL}", {}, 1, "--instances"),
    "publish": (
        "publish FILE --log LOG --reason r --author ops",
        RULES,
        0,
        "accepted at offset 1",
    ),
    "drain": (
        "drain engine-1 --log LOG --reason repair --author ops",
        {},
        0,
        "accepted at offset 2",
    ),
    "evacuation of an unknown failure domain": (
        "evacuate nowhere --log LOG --reason r",
        {},
        1,
        "no failure domain 'nowhere'",
    ),
}


@pytest.mark.asyncio(loop_scope="module")
@pytest.mark.parametrize(
    ("command", "changes", "code", "output"), COMMANDS.values(), ids=COMMANDS.keys()
)
async def test_commands_report_their_outcome(
    deployment: Deployment,
    tmp_path: Path,
    command: str,
    changes: dict[str, Any],
    code: int,
    output: str,
) -> None:
    path = write_yaml(tmp_path / "f.yaml", {**deployment.document, **changes})
    words = command.replace("FILE", str(path)).split()
    log_url = deployment.entries[0].settings.platform.log
    words = [log_url if word == "LOG" else word for word in words]
    result = await asyncio.to_thread(CliRunner().invoke, app, words)
    assert result.exit_code == code, result.output
    assert output in f"{result.output} {result.exception}"
