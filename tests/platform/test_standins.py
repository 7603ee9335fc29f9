"""Tests of the fake store's return from older copies."""

from collections.abc import AsyncIterator

import pytest

from figstep.platform.store import CONFIGURATION_TOPIC as TOPIC
from figstep.platform.store import HttpStore
from tests.platform.standins import FakeStore


@pytest.fixture
async def fake() -> AsyncIterator[FakeStore]:
    """Provide a fake store that listens."""
    fake = FakeStore()
    await fake.start()
    yield fake
    await fake.stop()


async def read_values(fake: FakeStore) -> dict[str, bytes | None]:
    """Return the newest value of each key that a client reads."""
    client = HttpStore(fake.address)
    try:
        snapshot = await client.read_newest(TOPIC)
    finally:
        await client.close()
    return {record.key: record.value for record in snapshot.records}


@pytest.mark.parametrize("first", [0, 1])
async def test_what_overlapping_returns_lost_is_written_again(
    fake: FakeStore, first: int
) -> None:
    """Guards against the loss of a record as an older one is written again before."""
    await fake.put(TOPIC, "config", b"v3")
    lost = [await fake.restore(1, TOPIC)]
    await fake.put(TOPIC, "config", b"v4")
    lost.append(await fake.restore(1, TOPIC))
    assert await read_values(fake) == {}
    await fake.write_again(TOPIC, lost[first])
    assert await read_values(fake) == {"config": (b"v3", b"v4")[first]}
    await fake.write_again(TOPIC, lost[1 - first])
    assert await read_values(fake) == {"config": b"v4"}


async def test_what_an_earlier_return_lost_does_not_replace_a_newer_record(
    fake: FakeStore,
) -> None:
    """Guards against old values over newer ones that a second return has kept."""
    await fake.put(TOPIC, "config", b"v3")
    lost = await fake.restore(1, TOPIC)
    await fake.put(TOPIC, "config", b"v4")
    await fake.put(TOPIC, "evacuate/muc-a", b"1")
    lost_later = await fake.restore(1, TOPIC)
    await fake.write_again(TOPIC, lost)
    await fake.write_again(TOPIC, lost_later)
    assert await read_values(fake) == {"config": b"v4", "evacuate/muc-a": b"1"}


async def test_a_record_that_was_lost_twice_is_written_again(fake: FakeStore) -> None:
    """Guards against the loss of a record that was written again before a return."""
    await fake.put(TOPIC, "config", b"v3")
    await fake.put(TOPIC, "config", b"v4")
    lost = await fake.restore(2, TOPIC)
    await fake.write_again(TOPIC, lost)
    assert await read_values(fake) == {"config": b"v4"}
    lost = await fake.restore(1, TOPIC)
    assert await read_values(fake) == {}
    await fake.write_again(TOPIC, lost)
    assert await read_values(fake) == {"config": b"v4"}


async def test_a_value_of_before_a_removal_is_not_written_again(
    fake: FakeStore,
) -> None:
    """Guards against targets that come back as their removal was not lost."""
    await fake.put(TOPIC, "evacuate/muc-a", b"1")
    lost = await fake.restore(1, TOPIC)
    await fake.put(TOPIC, "evacuate/muc-a", b"")
    await fake.write_again(TOPIC, lost)
    assert await read_values(fake) == {}
