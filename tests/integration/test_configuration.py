"""Tests of publishing during races and failures of the log."""

import asyncio
from copy import deepcopy
from dataclasses import replace
from typing import Any

import aiohttp
from pytest_bdd import given, parsers, scenarios, then, when

from figstep.core.configuration import SNAPSHOT
from figstep.core.records import CONFIGURATION
from figstep.demo import MODEL
from figstep.errors import FigstepError, LogUnavailableError, PublishRefusedError
from figstep.inventory import hash_key
from figstep.operations import publish_document, read_records
from figstep.standins.log import LogService
from tests.fleet import wait_for
from tests.integration.conftest import World

scenarios("configuration.feature")

RACE_MS = 200
OUTAGE_SECONDS = 1.0
KEEP_MS = 3_000


async def add_customer(world: World, name: str) -> int | FigstepError:
    """Publish the document with one more customer, whose key is its name."""
    document = deepcopy(world.fleet.document)
    document["customers"].append({"name": name, "key_hash": hash_key(name)})
    try:
        return await publish_document(world.fleet.log_client, document, name, "new")
    except FigstepError as error:
        return error


async def request_as(url: str, key: str) -> int:
    """Return the HTTP status of a customer's completion request to one entry."""
    body = {"model": MODEL, "prompt": "menu", "standin_length": 1}
    headers = {"Authorization": f"Bearer {key}"}
    async with (
        aiohttp.ClientSession() as session,
        session.post(url + "/v1/completions", json=body, headers=headers) as response,
    ):
        return response.status


async def wait_served(world: World, key: str) -> None:
    for name, entry in world.fleet.entries.items():

        async def is_served(url: str = entry.url) -> bool:
            return await request_as(url, key) == 200

        await wait_for(is_served, f"{name} serves {key}")


@when(
    parsers.parse('"{one}" and "{other}" are added by two operators at once'),
    target_fixture="results",
)
def race(world: World, one: str, other: str) -> dict[str, Any]:
    async def run() -> list[Any]:
        log = world.fleet.log
        log.faults = replace(log.faults, delay_ms=RACE_MS)
        edits = [add_customer(world, name) for name in (one, other)]
        results = await asyncio.gather(*edits)
        log.faults = replace(log.faults, delay_ms=0)
        return results

    return dict(zip((one, other), world.run(run()), strict=True))


@then("one edit is accepted and the other is refused naming the winner")
def check_race_outcome(results: dict[str, Any]) -> None:
    winner, loser = sorted(
        results, key=lambda name: isinstance(results[name], Exception)
    )
    assert isinstance(results[winner], int)
    assert isinstance(results[loser], PublishRefusedError)
    assert f"{results[winner]} by {winner}" in str(results[loser])


@then("only the winner's customer is served, by every entry")
def serve_winner(world: World, results: dict[str, Any]) -> None:
    for name, result in results.items():
        if isinstance(result, int):
            world.run(wait_served(world, name))
    for name, result in results.items():
        for entry in world.fleet.entries.values():
            known = world.run(request_as(entry.url, name)) == 200
            assert known is isinstance(result, int)


@when(parsers.parse('"{name}" is added'), target_fixture="result")
def add(world: World, name: str) -> Any:
    return world.run(add_customer(world, name))


@when(
    parsers.parse(
        '"{name}" is added while the log goes down after the append and returns'
    ),
    target_fixture="result",
)
def add_in_outage(world: World, name: str) -> Any:
    async def run() -> Any:
        log = world.fleet.log
        edit = asyncio.create_task(add_customer(world, name))
        # Meanwhile the entries append their own snapshots and claims.
        await wait_for(lambda: holds_edit(log, name), "the append took effect")
        log.available = False
        await asyncio.sleep(OUTAGE_SECONDS)
        log.available = True
        return await edit

    return world.run(run())


def holds_edit(log: LogService, author: str) -> bool:
    for record in log.list_records(CONFIGURATION):
        # A snapshot also names the author of its document.
        if record["author"] == author and record["kind"] != SNAPSHOT:
            return True
    return False


@then("the edit is accepted")
def accepted(result: Any) -> None:
    assert isinstance(result, int), result


@then("the edit fails because the log is unavailable")
def unavailable(result: Any) -> None:
    assert isinstance(result, LogUnavailableError)


@then(parsers.parse('the log holds the edit of "{name}" again'))
def held_again(world: World, name: str) -> None:
    log = world.fleet.log
    world.run(wait_for(lambda: holds_edit(log, name), "the log holds the edit"))


@then("the log holds it once")
def held_once(world: World) -> None:
    records = world.run(read_records(world.fleet.log_client))
    edits = []
    for record in records:
        # An entry may have appended a snapshot, which also names the author.
        if record.data["author"] == "alpha" and record.data["kind"] != SNAPSHOT:
            edits.append(record)
    assert len(edits) == 1


@then(parsers.parse('"{name}" is served by every entry'))
def served(world: World, name: str) -> None:
    world.run(wait_served(world, name))


@when("the log has forgotten the first edit")
def expire_first_edit(world: World) -> None:
    log = world.fleet.log
    log.faults = replace(log.faults, keep_ms=KEEP_MS)

    async def is_forgotten() -> bool:
        records = await read_records(world.fleet.log_client)
        return all(record.data.get("kind") != "edit" for record in records)

    world.run(wait_for(is_forgotten, f"{CONFIGURATION} lost its first edit"))
    log.faults = replace(log.faults, keep_ms=None)


@given(parsers.parse("a fleet of {entries:d} entries and {engines:d} engine"))
def start_small_fleet(world: World, entries: int, engines: int) -> None:
    world.fleet.retention_seconds = KEEP_MS / 1000
    world.run(world.fleet.start(entries, engines, 0.005))


@when(parsers.parse("the log goes down once {entry} has the edit"))
def log_down_after_edit(world: World, entry: str, result: Any) -> None:
    async def has_edit() -> bool:
        status = await world.fleet.read(world.fleet.entries[entry].url + "/status")
        return bool(status["configuration_offset"] == result)

    world.run(wait_for(has_edit, f"{entry} has the edit"))
    world.fleet.log.available = False
