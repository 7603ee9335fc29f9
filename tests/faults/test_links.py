"""Tests of the links between an entry and all targets."""

import asyncio
import random

import orjson
import pytest

from tests.faults.links import CutKind, EntryLinks
from tests.faults.records import Record
from tests.faults.targets import SoakTarget
from tests.platform.standins import FakeStore, build_registration


async def open_links() -> tuple[EntryLinks, SoakTarget, str, int]:
    """Return the links of an entry to one target, and the address of its link."""
    targets: dict[str, SoakTarget] = {}
    target = SoakTarget(
        "b-1", "bookings", Record(), random.Random(1), targets, lambda one: None
    )
    await target.start(FakeStore())
    links = EntryLinks(targets)
    registration = build_registration("bookings", target.address, "ready")
    address = orjson.loads(await links.translate(registration))["addr"]
    host, _, port = address.rpartition(":")
    return links, target, host, int(port)


async def test_requests_on_a_link_are_known_by_their_ids() -> None:
    """Guards against a cut that harms another entry's requests without a record."""
    links, target, host, port = await open_links()
    _, writer = await asyncio.open_connection(host, port)
    writer.write(b"POST /order/x HTTP/1.1\r\nRequest-Id: r7\r\nHost: h\r\n")
    async with asyncio.timeout(2):
        while links.list_requests() != {"r7"}:
            await asyncio.sleep(0.01)
    writer.close()
    await links.stop()
    await target.kill()


async def test_links_are_open_again_after_each_kind_of_cut() -> None:
    """Guards against a link whose port is lost while it is cut."""
    links, target, host, port = await open_links()
    for kind in CutKind:
        await links.cut(kind)
        await links.heal()
        _, writer = await asyncio.open_connection(host, port)
        writer.close()
    await links.stop()
    await target.kill()


async def test_a_target_that_ended_is_refused_also_after_a_cut() -> None:
    """Guards against targets that are taken for running as their link still accepts."""
    links, target, host, port = await open_links()
    await target.kill()
    await links.end(target)
    for kind in CutKind:
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, port)
        await links.cut(kind)
        await links.heal()
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(host, port)
    await links.stop()


async def test_a_target_that_ends_in_a_cut_is_refused_after_it() -> None:
    """Guards against a link that accepts for a target which ended while it was cut."""
    for kind in CutKind:
        links, target, host, port = await open_links()
        await links.cut(kind)
        await target.kill()
        await links.end(target)
        await links.heal()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, port)
        await links.stop()
