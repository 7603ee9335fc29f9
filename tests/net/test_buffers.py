"""Tests of the byte budget of the project's own interface, over real connections."""

import gc
import hashlib
import json
import tracemalloc
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import cast

import aiohttp
import pytest
from aiohttp import web

from figstep.core import buffers
from figstep.core.clock import Millis
from figstep.demo import KEY, run_deployment
from figstep.errors import RefusedError
from figstep.net.buffers import (
    MAX_COPIED_BYTES,
    BufferTable,
    RequestBody,
    build_data,
    read_request_body,
)
from figstep.net.clock import SystemClock
from figstep.settings import Limits
from tests.net.test_callers import GOOD, PATH, STREAM, EntryClient, open_raw, wait_until

LIMITS = Limits(
    memory_bytes=1 << 20,
    keep_alive_seconds=0.1,
    stalled_seconds=0.5,
    buffer_bytes=1 << 24,
)
LONG = {**STREAM, "standin_length": 8_000}


@pytest.fixture
async def client() -> AsyncIterator[EntryClient]:
    """Open an entry with the smallest budget, 8 MiB, and a fast engine."""
    async with run_deployment(1, LIMITS, gaps=(0.0005,)) as deployment:
        async with aiohttp.ClientSession() as session:
            url = deployment.entries[0].callers.address
            yield EntryClient(deployment, session, url)


def fill_budget(client: EntryClient, room: int) -> None:
    """Leave so many bytes of the budget free."""
    budget = client.deployment.entries[0].callers.buffers.budget
    budget.limit = budget.used + room


async def test_a_body_is_rejected_as_not_run_without_room(client: EntryClient) -> None:
    """Guards against bodies that are read although the budget is used up."""
    fill_budget(client, 1_000)
    headers = {"Authorization": f"Bearer {KEY}"}
    async with client.session.post(
        client.url + PATH, json=GOOD, headers=headers
    ) as response:
        assert response.status == 503
        assert int(response.headers["Retry-After"]) >= 1
        document = await response.json(content_type=None)
    assert (document["error"]["code"], document["ran"]) == ("buffers_full", "no")
    fill_budget(client, 1_000_000)
    assert (await client.post(GOOD))[0] == 200
    assert client.deployment.entries[0].callers.buffers.budget.used == 0


async def test_an_answer_that_does_not_fit_ends_with_a_problem(
    client: EntryClient,
) -> None:
    """Guards against a collected answer that fills the memory or looks complete."""
    fill_budget(client, 110_000)
    status, document = await client.post(
        {**GOOD, "max_tokens": 2_000, "standin_length": 2_000}
    )
    assert (status, document["error"]["code"]) == (502, "answer_not_buffered")
    assert document["ran"] == "yes"


async def test_a_stream_that_is_read_is_not_cut_for_one_that_is_not(
    client: EntryClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a reading caller whose stream ends as another does not read."""
    monkeypatch.setattr(buffers, "STALL_TIMEOUT", Millis(300))
    body = json.dumps(LONG).encode()
    reader, writer = await open_raw(client.url)
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    writer.write(
        f"POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    table = client.deployment.entries[0].callers.buffers
    await wait_until(lambda: len(table.budget) == 1)
    fill_budget(client, 120_000)
    headers = {"Authorization": f"Bearer {KEY}"}
    async with client.session.post(
        client.url + PATH, json={**LONG, "standin_length": 4_000}, headers=headers
    ) as response:
        assert (await response.read()).endswith(b"data: [DONE]\n\n")
    await wait_until(lambda: bool(client.list_cancelled()))
    await wait_until(lambda: len(table.budget) == 0)
    writer.close()
    assert not reader.at_eof()


async def test_no_budget_without_the_setting() -> None:
    """Guards against deployments without the setting that are served differently."""
    async with run_deployment(1, Limits()) as deployment:
        assert not deployment.entries[0].callers.buffers.bounded
        budget = deployment.entries[0].callers.buffers.budget
        account = budget.open_account(1 << 40, Millis(0))
        assert account is not None and budget.may_read(account)


@dataclass
class Arriving:
    """A request whose body arrives in pieces, and is announced or not."""

    pieces: list[bytes]
    content_length: int | None = None
    can_read_body: bool = True
    content: "Arriving" = field(init=False)

    def __post_init__(self) -> None:
        self.content = self

    async def iter_any(self) -> AsyncIterator[bytes]:
        for piece in self.pieces:
            # A copy, as each piece that arrives is memory of its own.
            yield bytes(bytearray(piece))

    async def read(self) -> bytes:
        whole = bytearray()
        async for piece in self.iter_any():
            whole.extend(piece)
        return bytes(whole)


async def read_body(
    arriving: Arriving, table: BufferTable, max_bytes: int = 1 << 23
) -> RequestBody:
    """Read a body as the caller edges do; its account stays open."""
    buffer = table.open(arriving.content_length or 0, lambda: None)
    return await read_request_body(
        cast(web.Request, arriving), buffer, table, max_bytes
    )


def build_table(memory_bytes: int = 1 << 28) -> BufferTable:
    return BufferTable(memory_bytes, SystemClock(), lambda name: None)


@contextmanager
def measure_peak(most: float) -> Iterator[None]:
    """Check that no more bytes than ``most`` are allocated at any time."""
    tracemalloc.start()
    try:
        yield
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak <= most


async def send_data(body: RequestBody) -> tuple[int, int]:
    """Return the number and the largest size of the pieces that are sent."""
    data = build_data(body)
    if data is None or isinstance(data, bytes):
        return (0, 0) if data is None else (1, len(data))
    sizes = [len(piece) async for piece in data]
    return len(sizes), max(sizes)


@pytest.mark.parametrize("piece", [1, 8_192, 100_000])
@pytest.mark.parametrize("announced", [False, True])
async def test_a_body_is_held_once(piece: int, announced: bool) -> None:
    """Guards against bodies that take twice their counted size as they are joined."""
    size = 1 << 17 if piece == 1 else 1 << 22
    pieces = [bytes([7]) * piece] * (size // piece)
    size = len(pieces) * piece
    table = build_table()
    # One part is being filled, and some pieces are on their way.
    with measure_peak(1.05 * size + 2 * MAX_COPIED_BYTES + 2 * piece):
        body = await read_body(Arriving(pieces, size if announced else None), table)
        sent, largest = await send_data(body)
    assert len(body) == size
    assert (sent, largest) == (-(-size // MAX_COPIED_BYTES), MAX_COPIED_BYTES)
    assert table.budget.used >= size


async def test_bodies_that_were_read_take_what_is_counted() -> None:
    """Guards against an entry that is killed as many large bodies end at once."""
    table = build_table()
    bodies = []
    with measure_peak(1.05 * 10 * (1 << 22)):
        for _ in range(10):
            bodies.append(await read_body(Arriving([b"y" * 8_192] * 512), table))
    assert sum(len(body) for body in bodies) == 10 * (1 << 22)


@pytest.mark.parametrize("size", [0, 1, 32_767, 32_768, 32_769, 98_304, 100_001])
async def test_a_body_in_parts_is_the_one_that_arrived(size: int) -> None:
    """Guards against bytes that are lost or come twice between two parts."""
    whole = bytes(number * number % 251 for number in range(size))
    for piece in (1, 1_000, 32_768, 50_000, 200_000):
        body = RequestBody()
        for start in range(0, size, piece):
            body.append(whole[start : start + piece])
        assert (len(body), body.join(), bool(body)) == (size, whole, size > 0)
        digest = hashlib.sha256()
        for part in body:
            assert 0 < len(part) <= MAX_COPIED_BYTES
            digest.update(part)
        assert digest.digest() == hashlib.sha256(whole).digest()
        data = build_data(body)
        if data is None or isinstance(data, bytes):
            assert (data or b"") == whole
            continue
        assert b"".join([part async for part in data]) == whole


async def test_a_body_that_outgrows_its_announced_length_is_counted() -> None:
    """Guards against decoded bodies that take more than was counted for them."""
    table = build_table(1 << 20)
    with pytest.raises(RefusedError):
        await read_body(Arriving([b"y" * 65_536] * 200, 1_000), table, 1 << 25)
    assert table.budget.used <= table.budget.limit


@pytest.mark.parametrize("announced", [False, True])
async def test_a_body_that_is_too_long_is_not_read_to_its_end(announced: bool) -> None:
    arriving = Arriving([b"y" * 1_000] * 10, 10_000 if announced else None)
    with pytest.raises(web.HTTPRequestEntityTooLarge):
        await read_body(arriving, build_table(), 9_999)
    assert len(await read_body(arriving, build_table(), 10_000)) == 10_000


async def test_an_open_stream_holds_its_body_once(client: EntryClient) -> None:
    """Guards against bodies that are held as they arrived, beside what is sent."""
    body = {**LONG, "prompt": "menu " * 60_000}
    size = len(json.dumps(body))

    async def send_pieces() -> AsyncIterator[bytes]:
        raw = json.dumps(body).encode()
        for start in range(0, len(raw), 8_192):
            yield raw[start : start + 8_192]

    headers = {"Authorization": f"Bearer {KEY}"}
    async with client.session.post(
        client.url + PATH, data=send_pieces(), headers=headers
    ) as response:
        assert response.status == 200
        await response.content.readany()
        held = [one for one in gc.get_objects() if isinstance(one, RequestBody)]
        assert sum(len(one) for one in held) <= 1.1 * size
        budget = client.deployment.entries[0].callers.buffers.budget
        assert budget.used >= size
        assert (await response.read()).endswith(b"data: [DONE]\n\n")
