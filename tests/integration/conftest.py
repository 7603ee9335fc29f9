"""Step definitions; each step runs on the event loop of its scenario."""

import asyncio
from collections.abc import Coroutine, Iterator
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from pytest_bdd import given, parsers, then, when

from figstep.checker import check_history
from figstep.core.problems import Ran
from figstep.operations import drain_target
from figstep.standins.proxy import Direction, Drip, Lose
from tests.fleet import Caller, Fleet, wait_for

GAP = 0.02


class World:
    """State of one scenario.

    Attributes:
        fleet: Fleet of entries and stand-ins.
        caller: Caller that the steps refer to as "it".
        others: Further callers of the scenario.
        engine: Name of the engine that runs the caller's request; "" if not known.
    """

    def __init__(self, runner: asyncio.Runner, folder: Path) -> None:
        self._runner = runner
        self.fleet = Fleet(folder)
        self.caller = Caller("")
        self.others: list[Caller] = []
        self.engine = ""

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine to its end; return its result."""
        return self._runner.run(work)

    def call(self, **kwargs: Any) -> Caller:
        """Return a new caller with a unique tag."""
        return self.fleet.call(f"request-{len(self.fleet.callers) + 1}", **kwargs)

    def find_engine(self) -> str:
        """Return the name of the engine that runs the caller's request."""
        if not self.engine:
            self.engine = self.run(self.fleet.find_engine(self.caller.history.tag))
        return self.engine


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    with asyncio.Runner() as runner:
        world = World(runner, tmp_path)
        try:
            yield world
        finally:
            world.run(world.fleet.close())


@given(parsers.parse("a fleet of {entries:d} entries and {engines:d} engines"))
def start_fleet(world: World, entries: int, engines: int) -> None:
    world.run(world.fleet.start(entries, engines, GAP))


@when(parsers.parse("a caller streams {tokens:d} tokens through {entry}"))
def stream(world: World, tokens: int, entry: str) -> None:
    world.caller = world.call(tokens=tokens)
    world.run(start(world.caller, world.fleet.entries[entry].url))


async def start(caller: Caller, url: str) -> None:
    caller.start_generation(url)


@when(parsers.parse("a caller asks for {tokens:d} tokens in one piece through {entry}"))
def ask(world: World, tokens: int, entry: str) -> None:
    world.caller = world.call(tokens=tokens, stream=False)
    world.run(start(world.caller, world.fleet.entries[entry].url))


@when(parsers.parse("it has seen {count:d} tokens"))
def see(world: World, count: int) -> None:
    world.run(world.caller.wait_for_events(count))


@when("its engine runs it")
def runs(world: World) -> None:
    world.find_engine()


@when(parsers.parse("{entry:w}-{number:d} is killed"))
def kill_entry(world: World, entry: str, number: int) -> None:
    world.fleet.entries.pop(f"{entry}-{number}").kill()


@when("its engine is killed")
def kill_engine(world: World) -> None:
    world.run(world.fleet.kill_engine(world.find_engine()))


@when(parsers.parse("the open connections to its engine {fault}"))
def fail_links(world: World, fault: str) -> None:
    link = world.fleet.links[world.find_engine()]
    match fault:
        case "freeze" | "freeze for good":
            assert link.freeze() > 0
        case "are cut":
            assert link.cut() > 0
        case "are half-open":
            assert link.half_open() > 0
        case "lose all that comes back":
            link.set_fault(Lose(Direction.TO_CLIENT))
            before = link.accepted
            world.run(wait_for(lambda: link.accepted > before, "a new connection"))
            link.clear_fault()
        case "drip":
            link.set_fault(Drip(64, 0.001))


@when("its connection ends")
def end(world: World) -> None:
    world.run(world.caller.finish())


@when(parsers.parse("it returns through {entry}"))
def come_back(world: World, entry: str) -> None:
    world.run(start(world.caller, world.fleet.entries[entry].url))


@when(parsers.parse("{source} says that its engine leaves"))
def leave(world: World, source: str) -> None:
    fleet, name = world.fleet, world.find_engine()
    match source:
        case "the engine":
            world.run(post(fleet.engines[name].url + "/standin/do/leave"))
        case "the instance list":
            fleet.instances.instances[name] = {
                "name": name,
                "kind": "target",
                "state": "leaving",
                "incarnation": 1,
            }
        case "an operator":
            world.run(drain_target(fleet.log_client, name, "ops", "repair"))


async def post(url: str) -> None:
    async with aiohttp.ClientSession() as session, session.post(url) as response:
        assert response.status == 200


@when("both entries know that it leaves")
def wait_until_known_leaving(world: World) -> None:
    async def is_known() -> bool:
        for entry in world.fleet.entries.values():
            status = await world.fleet.read(entry.url + "/status")
            target = status["targets"][world.engine]
            if not target["leaving"] and not target["draining"]:
                return False
        return True

    world.run(wait_for(is_known, "both entries know that the engine leaves"))


@when(
    parsers.parse(
        "{count:d} more callers stream {tokens:d} tokens through either entry"
    )
)
def stream_more(world: World, count: int, tokens: int) -> None:
    async def run() -> None:
        urls = [entry.url for entry in world.fleet.entries.values()]
        for number in range(count):
            caller = world.call(tokens=tokens)
            caller.start_generation(urls[number % len(urls)])
            world.others.append(caller)
        await asyncio.gather(*(caller.finish() for caller in world.others))

    world.run(run())


@when(
    parsers.parse("{count:d} callers start to stream {tokens:d} tokens through {entry}")
)
def start_more(world: World, count: int, tokens: int, entry: str) -> None:
    for _ in range(count):
        caller = world.call(tokens=tokens)
        world.run(start(caller, world.fleet.entries[entry].url))
        world.others.append(caller)
        world.run(caller.wait_for_events(1))


@when(parsers.parse("a caller sends a request that crashes engines through {entry}"))
def send_crashing_request(world: World, entry: str) -> None:
    world.caller = world.call()
    world.caller.body["standin_crash_at"] = 1
    world.run(start(world.caller, world.fleet.entries[entry].url))


@when(parsers.parse("the log loses the answer to the next {kind}"))
def lose_answer(world: World, kind: str) -> None:
    world.fleet.log.lose_answer(kind)


@then("a caller is served by every entry")
def caller_served(world: World) -> None:
    for name in world.fleet.entries:
        caller = world.call(tokens=3)
        caller_url = world.fleet.entries[name].url
        world.run(caller.stream_to_end(caller_url))
        assert caller.last.ended


@when("the log is down")
def log_down(world: World) -> None:
    world.fleet.log.available = False


@when("the log returns")
def log_returns(world: World) -> None:
    world.fleet.log.available = True


@when(parsers.parse("the log comes back from a copy that lacks {lost:d} records"))
def log_comes_back(world: World, lost: int) -> None:
    world.fleet.log.revert(lost)


@when(parsers.parse("{entry} starts"))
def start_entry(world: World, entry: str) -> None:
    world.run(world.fleet.start_entry(entry))
    world.run(world.fleet.wait_ready(entry))


@then(parsers.parse("its answer is whole with {tokens:d} tokens"))
def assert_whole_answer(world: World, tokens: int) -> None:
    world.run(world.caller.finish())
    assert world.caller.last.ended, world.caller.history
    assert len(world.caller.history.events) == tokens


@then("its answer is whole or ends with a problem that says it ran")
def ends_honestly(world: World) -> None:
    world.run(world.caller.finish())
    last = world.caller.last
    assert last.ended or (last.problem and last.ran is Ran.YES), last


@then("its stream ends with a problem")
def ends_with_problem(world: World) -> None:
    caller: Caller = world.caller
    world.run(caller.finish())
    assert caller.last.problem, caller.last


@then("its answer comes in one piece")
def comes_whole(world: World) -> None:
    world.run(world.caller.finish())
    assert world.caller.last.status == 200, world.caller.document


@then("all others were served by other engines")
def served_elsewhere(world: World) -> None:
    assert all(caller.last.ended for caller in world.others)
    assert world.engine not in {caller.target for caller in world.others}


@then("it is refused at once")
def refused(world: World) -> None:
    world.run(world.caller.finish())
    assert world.caller.last.problem, world.caller.history


@when("the engines that crashed start anew")
def restart_engines(world: World) -> None:
    for engine in world.fleet.engines.values():
        world.run(post(engine.url + "/standin/do/restart"))


@then(parsers.parse("at most {count:d} engines ran it"))
def count_crashes(world: World, count: int) -> None:
    history = world.run(world.fleet.collect_history())
    tag = world.caller.history.tag
    ran = [item for item in history.generations if item.tag == tag]
    assert len(ran) <= count


@when(
    parsers.parse("it is sent again through {entry} until it is refused as quarantined")
)
def send_until_quarantined(world: World, entry: str) -> None:
    async def is_quarantined() -> bool:
        again = Caller(world.caller.history.tag)
        again.body = world.caller.body
        await again.stream_to_end(world.fleet.entries[entry].url)
        return again.last.problem == "request_quarantined"

    world.run(wait_for(is_quarantined, "the request is quarantined"))


@then("the others get whole answers when they send their requests again")
def serve_innocent(world: World) -> None:
    async def run() -> None:
        for caller in world.others:
            await caller.finish()
            again = Caller(caller.history.tag, stream=False)
            again.body = {**caller.body, "stream": False}
            world.fleet.callers.append(again)
            await again.stream_to_end(world.fleet.entries["entry-1"].url)
            assert again.last.status == 200, again.document

    world.run(run())


@then("every promise held")
def check(world: World) -> None:
    assert check_history(world.run(world.fleet.collect_history())) == []
