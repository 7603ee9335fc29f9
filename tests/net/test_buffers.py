"""Tests of the byte budget of the project's own interface, over real connections."""

import json
from collections.abc import AsyncIterator

import aiohttp
import pytest

from figstep.core import buffers
from figstep.core.clock import Millis
from figstep.demo import KEY, run_deployment
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
