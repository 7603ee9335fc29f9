"""Tests of the operator commands: publish, wait, drain, read the audit trail."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from copy import deepcopy
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from figstep import operations
from figstep.audit import TrailReader
from figstep.cli import app
from figstep.demo import run_deployment
from figstep.errors import (
    InventoryError,
    NotInForceError,
    PublishRefusedError,
    PublishUncertainError,
    UnknownTargetError,
)
from figstep.net.log import HttpLog, LogClient, MemoryLog
from figstep.settings import load_yaml
from figstep.standins.http import start_app
from figstep.standins.log import Faults, LogService
from tests.processes import write_yaml

EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "ireland.yaml"


@asynccontextmanager
async def run_log() -> AsyncIterator[tuple[LogService, LogClient]]:
    service = LogService()
    runner, url = await start_app(service.build_app())
    client = HttpLog(url)
    try:
        yield service, client
    finally:
        await client.close()
        await runner.cleanup()


def load_example() -> dict[str, Any]:
    document: dict[str, Any] = load_yaml(EXAMPLE)
    return document


async def test_lost_answer_is_settled_by_reading_back() -> None:
    """The log stores the edit but its answer is lost.

    Repeating the append would add a second edit, which is refused. The operator
    would get an error although the first edit is in force.
    """
    async with run_log() as (service, log):
        service.faults = Faults(lose_answers=1)
        offset = await operations.publish_document(log, load_example(), "ann", "why")
        trail = await operations.read_history(log)
        assert [entry.offset for entry in trail.entries] == [offset]


async def test_edit_that_never_arrived_is_reported_as_uncertain() -> None:
    async with run_log() as (service, log):
        service.faults = Faults(drop_appends=1)
        with pytest.raises(PublishUncertainError, match="figstep history"):
            await operations.publish_document(log, load_example(), "ann", "why", 0.0)
        assert service.appends == 0


async def test_racing_publishers_one_wins_and_the_other_learns_who() -> None:
    log = MemoryLog()
    await operations.publish_document(log, load_example(), "ann", "first")
    reader = await operations.follow_trail(log, TrailReader())
    winner = await operations.publish_document(log, load_example(), "ben", "second")
    with pytest.raises(PublishRefusedError, match=f"{winner} by ben"):
        edit = operations.Edit(load_example(), "cat", "third")
        await operations.append_edit(log, reader, edit, 5)
    trail = await operations.read_history(log)
    assert [(e.author, e.verdict, e.rule) for e in trail.entries] == [
        ("ann", "accepted", ""),
        ("ben", "accepted", ""),
        ("cat", "refused", "base"),
    ]


async def test_invalid_document_is_not_appended() -> None:
    log = MemoryLog()
    with pytest.raises(InventoryError):
        await operations.publish_document(log, {"engines": 1}, "ann", "why")
    assert not log.streams


async def test_drain_is_an_edit_of_the_document_in_force() -> None:
    log = MemoryLog()
    await operations.publish_document(log, load_example(), "ann", "first")
    await operations.drain_target(log, "booking-2", "ann", "new disk")
    trail = await operations.read_history(log)
    assert trail.current is not None
    assert trail.current.document["draining"] == [
        {"target": "booking-2", "reason": "new disk"}
    ]
    assert [change.path for change in trail.entries[1].changes] == [
        "draining[booking-2]"
    ]
    await operations.drain_target(log, "booking-2", "ann", "done", drain=False)
    trail = await operations.read_history(log)
    assert trail.current is not None
    assert trail.current.document["draining"] == []
    with pytest.raises(UnknownTargetError):
        await operations.drain_target(log, "nobody", "ann", "why")


async def test_an_evacuation_is_an_edit_of_the_document_in_force() -> None:
    """Guards against an evacuation that is missing from the history or cannot end."""
    log = MemoryLog()
    document = load_example()
    domain = document["failure_domains"][0]["name"]
    await operations.publish_document(log, document, "ann", "first")
    await operations.evacuate_domain(log, domain, "ann", "power cut")
    trail = await operations.read_history(log)
    assert trail.current is not None
    assert trail.current.document["evacuated"] == [
        {"failure_domain": domain, "reason": "power cut"}
    ]
    await operations.evacuate_domain(log, domain, "ann", "done", evacuate=False)
    trail = await operations.read_history(log)
    assert trail.current is not None
    assert trail.current.document["evacuated"] == []
    with pytest.raises(UnknownTargetError):
        await operations.evacuate_domain(log, "nowhere", "ann", "why")


async def test_wait_names_the_entry_that_lags() -> None:
    """An entry has died, but the instance list still reports it as live."""
    async with run_deployment() as deployment:
        url = deployment.entries[0].settings.platform.instances
        assert await operations.wait_in_force(url, deployment.offset, 30) == 2
        deployment.instances.list_entry("entry-9", "http://127.0.0.1:9", "")
        with pytest.raises(NotInForceError, match="entry-9: no answer"):
            await operations.wait_in_force(url, deployment.offset, 0.0)
        assert await operations.wait_in_force(url, deployment.offset, 30, 2) == 2


async def test_commands_on_a_running_deployment(tmp_path: Path) -> None:
    async with run_deployment() as deployment:
        platform = deployment.entries[0].settings.platform
        urls = {"FIGSTEP_LOG": platform.log, "FIGSTEP_INSTANCES": platform.instances}

        async def run(*arguments: str) -> tuple[int, str]:
            runner = CliRunner()
            result = await asyncio.to_thread(
                runner.invoke, app, list(arguments), env=urls
            )
            return result.exit_code, result.output

        changed = deepcopy(deployment.document)
        changed["rules"]["deadline_ms"] = 5_000
        path = str(write_yaml(tmp_path / "inventory.yaml", changed))
        assert (await run("check", path))[0] == 0
        code, output = await run("diff", path)
        assert (code, output) == (1, "+ rules.deadline_ms: 5000\n")
        arguments = ("--reason", "shorter", "--author", "ann", "--wait", "2-of-2")
        code, output = await run("publish", path, *arguments)
        assert code == 0
        assert "in force on 2 entries" in output
        assert await run("diff", path) == (0, "")
        code, output = await run(
            "drain", "engine-1", "--reason", "fan", "--wait", "all"
        )
        assert code == 0, output
        assert "draining" in (await run("show"))[1]
        code, output = await run("history")
        assert "ann: shorter [accepted]" in output
        assert "+ rules.deadline_ms: 5000" in output
        output = (await run("history", "--json"))[1]
        entries_listed = [json.loads(line) for line in output.splitlines()]
        change = {"path": "rules.deadline_ms", "before": None, "after": 5_000}
        assert entries_listed[1]["changes"] == [change]
        code, output = await run("status")
        assert output.count("leaving engine-1") == 2
