"""Tests of entries whose store comes back from an older copy."""

import asyncio
from collections.abc import Callable

import pytest

from figstep.gateway.targets import Standing
from figstep.platform.entry import Entry
from tests.platform.places import Place, open_place, start_fleet
from tests.platform.standins import build_configuration, build_registration

REGISTRATIONS = "keyed.servers"
OPERATOR = "keyed.op"
LEAVING_TARGET = "i-b1"

WITHIN_SECONDS = 2.0
"""Time in seconds within which a record of the store has to be in force."""

EACH_SIZE = pytest.mark.parametrize("entries", [3, 20])


async def start_place(place: Place, entries: int) -> None:
    """Start entries that know two targets, with reads that wait for records."""
    for number in (1, 2):
        target = await place.add_target(f"i-b{number}", "bookings")
        for _ in range(3):
            await target.register(place.store)
    await start_fleet(place, entries, 2)
    await asyncio.sleep(2.2)


async def write_registration(
    place: Place, name: str = LEAVING_TARGET, state: str = "ready"
) -> None:
    address = place.targets[LEAVING_TARGET].address
    registration = build_registration("bookings", address, state)
    await place.store.put(REGISTRATIONS, name, registration)


async def wait_for(place: Place, condition: Callable[[Entry], bool]) -> None:
    """Wait until a condition holds at all entries; fail if that takes too long."""
    async with asyncio.timeout(WITHIN_SECONDS):
        while not all(condition(entry) for entry in place.entries):
            await asyncio.sleep(0.02)


def is_ready(entry: Entry, name: str = LEAVING_TARGET) -> bool:
    target = entry.gateway.known.targets.find(name)
    return target is not None and target.standing is Standing.READY


@EACH_SIZE
@pytest.mark.parametrize("lost", [1, 4])
async def test_a_target_that_leaves_after_a_return_gets_nothing_more(
    entries: int, lost: int
) -> None:
    """Guards against a departure at an offset that was read before the return."""
    async with open_place() as place:
        await start_place(place, entries)
        await place.store.restore(lost)
        await write_registration(place, "i-other")
        await asyncio.sleep(1.0)
        await write_registration(place, state="draining")
        await wait_for(place, lambda entry: not is_ready(entry))


@EACH_SIZE
async def test_a_departure_among_records_written_again_is_read(entries: int) -> None:
    """Guards against a departure that is written before anybody reads the new era."""
    async with open_place() as place:
        await start_place(place, entries)
        await place.store.restore(lost=3)
        await write_registration(place, state="draining")
        for _ in range(4):
            await write_registration(place, "i-other")
        await wait_for(place, lambda entry: not is_ready(entry))


@EACH_SIZE
async def test_a_target_that_registers_after_a_return_is_known(entries: int) -> None:
    """Guards against a registration below the offset that was read before."""
    async with open_place() as place:
        await start_place(place, entries)
        await place.store.restore(lost=4)
        await write_registration(place, "i-new")
        await wait_for(place, lambda entry: is_ready(entry, "i-new"))


@EACH_SIZE
async def test_an_evacuation_after_a_return_is_in_force(entries: int) -> None:
    """Guards against an evacuation below the offset that was read before."""
    async with open_place() as place:
        for version in (2, 3, 4):
            await place.store.put(OPERATOR, "config", build_configuration(version))
        await start_place(place, entries)
        await place.store.restore(3, OPERATOR)
        await place.store.put(OPERATOR, "evacuate/muc-a", b"{}")
        await wait_for(
            place, lambda entry: entry.gateway.known.evacuated_domains == {"muc-a"}
        )


async def test_a_configuration_that_the_copy_lacks_stays_in_force() -> None:
    """Guards against a dropped key that works again after a return."""
    async with open_place() as place:
        await place.store.put(OPERATOR, "config", build_configuration(5))
        await start_place(place, 3)
        await place.store.restore(1, OPERATOR)
        await place.store.put(OPERATOR, "evacuate/muc-b", b"{}")
        await wait_for(
            place, lambda entry: entry.gateway.known.evacuated_domains == {"muc-b"}
        )
        for entry in place.entries:
            assert entry.gateway.known.table is not None
            assert entry.gateway.known.table.version == 5


async def test_two_returns_within_a_moment_are_noticed() -> None:
    """Guards against a second return that is taken for the first one."""
    async with open_place() as place:
        await start_place(place, 3)
        await place.store.restore(lost=2)
        await write_registration(place, "i-other")
        await asyncio.sleep(0.3)
        await place.store.restore(lost=3)
        await write_registration(place, "i-other")
        await write_registration(place, state="draining")
        await wait_for(place, lambda entry: not is_ready(entry))


async def test_an_entry_that_reads_from_peers_alone_follows_a_return() -> None:
    """Guards against a rejected entry that takes a new era for an old copy."""
    async with open_place() as place:
        await start_place(place, 3)
        rejected = place.entries[2]
        await reject_entry(place, rejected)
        await place.store.restore(lost=4)
        await write_registration(place, state="draining")
        await wait_for(place, lambda entry: not is_ready(entry))


async def reject_entry(place: Place, entry: Entry) -> None:
    """Let the store answer 503 to an entry from now on, also to waiting reads."""
    store = entry._store
    await store.close()
    store._base_url = "http://127.0.0.1:1"  # type: ignore[attr-defined]
    store._session = None  # type: ignore[attr-defined]
    await asyncio.sleep(0.2)
