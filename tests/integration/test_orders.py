"""Tests of non-idempotent orders while entries, links and the log fail."""

import asyncio
from dataclasses import replace

from pytest_bdd import parsers, scenarios, then, when

from figstep.core.problems import Ran
from figstep.standins.proxy import LoseAnswers, Stall
from tests.fleet import Caller, wait_for
from tests.integration.conftest import World

scenarios("orders.feature")

SLOW_SECONDS = 2.0


async def order(world: World, name: str, entry: str) -> Caller:
    """Send an order without waiting; an order sent again uses the same caller."""
    caller = world.caller
    if caller.history.tag != name:
        caller = world.caller = world.fleet.call(name)
    caller.order(world.fleet.entries[entry].url)
    return caller


@when(parsers.parse('"{name}" is ordered through {one} and {other} at once'))
def order_twice(world: World, name: str, one: str, other: str) -> None:
    async def run() -> None:
        for entry in (one, other):
            caller = world.fleet.call(name)
            caller.order(world.fleet.entries[entry].url)
            world.others.append(caller)
        await asyncio.gather(*(caller.finish() for caller in world.others))

    world.run(run())


@when(parsers.parse('"{name}" is ordered through {entry} without waiting'))
def order_only(world: World, name: str, entry: str) -> None:
    world.run(order(world, name, entry))


@when(parsers.parse('"{name}" is ordered through {entry:S}'))
@when(parsers.parse('"{name}" is ordered again through {entry:S}'))
def order_and_wait(world: World, name: str, entry: str) -> None:
    order_only(world, name, entry)
    world.run(world.caller.finish())


@when(parsers.parse('"{name}" is also ordered through {entry}'))
def order_also(world: World, name: str, entry: str) -> None:
    world.others.append(world.caller)
    world.caller = world.fleet.call(name)
    order_only(world, name, entry)


@when(parsers.parse('"{name}" is ordered again until it is taken'))
def order_until_taken(world: World, name: str) -> None:
    async def is_taken() -> bool:
        caller = await order(world, name, "entry-2")
        await caller.finish()
        return caller.last.ran is not Ran.NO

    world.run(wait_for(is_taken, f"{name} is taken"))


@when(parsers.parse("the log takes {millis:d} ms for each call"))
def slow_log(world: World, millis: int) -> None:
    log = world.fleet.log
    log.faults = replace(log.faults, delay_ms=millis)


@when("the link to the log stalls")
def stall_log(world: World) -> None:
    world.fleet.log_proxy.set_fault(Stall())


@when(
    parsers.parse('"{name}" is ordered through {entry} for as long as the link stalls')
)
def order_while_stalled(world: World, name: str, entry: str) -> None:
    order_and_wait(world, name, entry)
    world.fleet.log_proxy.clear_fault()


@when(parsers.parse("{entry} freezes as soon as its claim is in the log"))
def freeze_owner(world: World, entry: str) -> None:
    # The log runs in this process, so the entry is frozen before the log sends the
    # answer to its append.
    running = world.fleet.entries[entry]
    world.fleet.log.on_append["claim"] = lambda request: running.freeze()


@when(parsers.parse("{entry} wakes"))
def wake(world: World, entry: str) -> None:
    async def run() -> None:
        waits = world.fleet.log.on_append
        await wait_for(lambda: "claim" not in waits, "the claim is in the log")
        await asyncio.sleep(1.0)  # the other entry reads the claim meanwhile
        world.fleet.entries[entry].thaw()

    world.run(run())


@when("the service is slow")
def slow_service(world: World) -> None:
    for service in world.fleet.services.values():
        service.delay = SLOW_SECONDS


@when("the links to the services lose the next answer")
def lose_service_answers(world: World) -> None:
    for name in world.fleet.services:
        world.fleet.links[name].set_fault(LoseAnswers())


def count_runs(world: World, name: str) -> int:
    services = world.fleet.services.values()
    calls = [call.body for service in services for call in service.executed]
    return calls.count(name)


@when(parsers.parse('"{name}" has reached the service'))
def has_reached(world: World, name: str) -> None:
    world.run(wait_for(lambda: count_runs(world, name), f"{name} runs"))


@then("both callers get the same answer")
def same_answer(world: World) -> None:
    first, second = world.others
    assert first.last.ended and second.last.ended, (first.last, second.last)
    assert first.document == second.document


@then("both callers got a final answer")
def final_answers(world: World) -> None:
    for caller in (*world.others, world.caller):
        world.run(caller.finish())
        assert caller.last.ended or caller.last.problem


@then("its caller gets an answer")
def gets_answer(world: World) -> None:
    assert world.caller.last.ended, world.caller.document


@then("its caller is told that it did not run and when to come back")
def check_not_run(world: World) -> None:
    assert world.caller.last.ran is Ran.NO, world.caller.last
    assert int(world.caller.retry_after or 0) > 0


@then("its caller is told that it may have run")
def check_may_have_run(world: World) -> None:
    last = world.caller.last
    assert last.problem and last.ran in (Ran.UNKNOWN, Ran.YES), last


@then(parsers.parse('"{name}" ran once'))
def ran_once(world: World, name: str) -> None:
    assert count_runs(world, name) == 1


@then(parsers.parse('"{name}" ran at most once'))
def ran_at_most_once(world: World, name: str) -> None:
    assert count_runs(world, name) <= 1


@then(parsers.parse('"{name}" ran {count:d} times'))
def ran(world: World, name: str, count: int) -> None:
    assert count_runs(world, name) == count
