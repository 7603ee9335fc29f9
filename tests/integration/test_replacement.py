"""Tests of the replacement of entries under load."""

import asyncio
import signal

from pytest_bdd import given, parsers, scenarios, then, when

from figstep.standins.balancer import Balancer
from tests.fleet import TIMEOUT_SECONDS
from tests.integration.conftest import GAP, World

scenarios("replacement.feature")

LONG, SHORT = 200, 2
NOTICE_SECONDS = 2.0  # ten poll intervals of the balancer


@given(parsers.parse("{entries:d} entries that give notice, and {engines:d} engines"))
def start_with_notice(world: World, entries: int, engines: int) -> None:
    world.fleet.notice_seconds = NOTICE_SECONDS
    world.run(world.fleet.start(entries, engines, GAP))


@given("a balancer before the entries", target_fixture="balancer")
def start_balancer(world: World) -> Balancer:
    urls = {name: entry.url for name, entry in world.fleet.entries.items()}
    balancer = Balancer(urls)
    world.run(balancer.start())
    world.fleet.stack.push_async_callback(balancer.stop)
    return balancer


async def send_repeatedly(
    world: World, url: str, tokens: int, stop: asyncio.Event
) -> None:
    while not stop.is_set():
        caller = world.call(tokens=tokens)
        await caller.stream_to_end(url)


async def end_entry(world: World, name: str) -> int:
    process = world.fleet.entries.pop(name).process
    world.fleet.instances.instances[name]["state"] = "leaving"
    process.send_signal(signal.SIGTERM)
    return await asyncio.wait_for(process.wait(), TIMEOUT_SECONDS)


@when(
    parsers.parse("each entry is replaced in turn under the load of {count:d} callers"),
    target_fixture="exits",
)
def replace_all(world: World, balancer: Balancer, count: int) -> list[int]:
    async def run() -> list[int]:
        stop = asyncio.Event()
        tasks = []
        for number in range(count):
            tokens = LONG if number % 2 else SHORT
            work = send_repeatedly(world, balancer.url, tokens, stop)
            tasks.append(asyncio.create_task(work))
        exits = []
        for old in list(world.fleet.entries):
            new = f"{old}-new"
            await world.fleet.start_entry(new)
            await world.fleet.wait_ready(new)
            balancer.entries[new] = world.fleet.entries[new].url
            exits.append(await end_entry(world, old))
            del balancer.entries[old]
        stop.set()
        await asyncio.gather(*tasks)
        return exits

    return world.run(run())


@then("every entry that was replaced exited with 0")
def exited(exits: list[int]) -> None:
    assert exits == [0, 0, 0]


@then("each caller's answers all came whole over the first connection")
def unbroken(world: World) -> None:
    for caller in world.fleet.callers:
        assert [one.ended for one in caller.history.outcomes] == [True], caller.history


@when(parsers.parse("{entry} is told to end twice"))
def end_twice(world: World, entry: str) -> None:
    async def run() -> None:
        process = world.fleet.entries[entry].process
        process.send_signal(signal.SIGTERM)
        while (await world.fleet.read(world.fleet.entries[entry].url + "/status"))[
            "ready"
        ]:
            await asyncio.sleep(0.02)
        process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(process.wait(), TIMEOUT_SECONDS)

    world.run(run())
