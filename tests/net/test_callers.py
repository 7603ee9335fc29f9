"""Tests of the callers' interface: answers to invalid input and broken connections."""

import asyncio
import json
import re
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp
import pytest

from figstep.demo import KEY, MODEL, Deployment, run_deployment
from figstep.settings import Limits

GOOD = {"model": MODEL, "prompt": "menu", "max_tokens": 3}
STREAM = {"model": MODEL, "prompt": "menu", "stream": True}
PATH = "/v1/completions"
LIMITS = Limits(
    body_bytes=2_000,
    header_bytes=1_000,
    headers=30,
    head_bytes=8_000,
    body_seconds=0.3,
    idle_seconds=0.3,
    keep_alive_seconds=0.1,
    stalled_seconds=0.5,
    buffer_bytes=2_000,
    answer_bytes=4_000,
)


@dataclass(slots=True)
class EntryClient:
    """One entry and an HTTP session of a caller."""

    deployment: Deployment
    session: aiohttp.ClientSession
    url: str

    async def post(
        self, body: Any, path: str = PATH, **headers: str
    ) -> tuple[int, dict[str, Any]]:
        async with self.session.post(
            self.url + path,
            data=body if isinstance(body, bytes) else None,
            json=None if isinstance(body, bytes) else body,
            headers={"Authorization": f"Bearer {KEY}", **headers},
        ) as response:
            return response.status, await response.json(content_type=None)

    def list_cancelled(self) -> list[str]:
        return [name for e in self.deployment.engines for name in e.cancelled]


@asynccontextmanager
async def open_entry_client(gap: float = 0.01) -> AsyncIterator[EntryClient]:
    async with run_deployment(1, LIMITS, gaps=(gap,)) as deployment:
        async with aiohttp.ClientSession() as session:
            url = deployment.entries[0].callers.address
            yield EntryClient(deployment, session, url)


async def open_raw(
    url: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = url.removeprefix("http://").partition(":")
    return await asyncio.open_connection(host, int(port))


async def read_id(reader: asyncio.StreamReader) -> str:
    await asyncio.wait_for(reader.readuntil(b"id: "), 20)
    return (await reader.readuntil(b"\n")).decode().strip()


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


BAD_REQUESTS = [
    (GOOD, {"Authorization": ""}, 401, "missing_key", "Bearer KEY"),
    (GOOD, {"Authorization": "Bearer wrong"}, 401, "unknown_key", "check it"),
    ({**GOOD, "model": "no"}, {}, 404, "unknown_model", "GET /v1/models"),
    (b'{"model": ', {}, 400, "invalid_json", "send one JSON object"),
    (b'{"model": NaN}', {}, 400, "invalid_json", "send one JSON object"),
    (b"[" * 1_500, {}, 400, "invalid_json", "send one JSON object"),
    (b"[1]", {}, 400, "invalid_body", "document"),
    ({"prompt": "menu"}, {}, 400, "invalid_body", "model: "),
    ({**GOOD, "max_tokens": "3"}, {}, 400, "invalid_body", "max_tokens: "),
    ({**GOOD, "max_tokens": -1}, {}, 400, "invalid_body", "greater than 0"),
    ({**GOOD, "n": 2}, {}, 400, "invalid_body", "n: "),
    (b"x" * 3_000, {}, 413, "request_entity_too_large", "shorter"),
    (GOOD, {"X-Deadline-Ms": "-5"}, 400, "invalid_header", "X-Deadline-Ms: "),
    (GOOD, {"X-Deadline-Ms": "99999999"}, 400, "invalid_header", "at most"),
    (GOOD, {"X-Non-Idempotent": "perhaps"}, 400, "invalid_header", "X-Non-Idem"),
    (GOOD, {"Idempotency-Key": "k" * 201}, 400, "invalid_header", "Idempotency-Key"),
    (STREAM, {"Last-Event-ID": "7"}, 400, "invalid_header", "Last-Event-ID: "),
    (STREAM, {"Last-Event-ID": "a:7"}, 400, "invalid_header", "as it came"),
    (GOOD, {"Last-Event-ID": "e~0123456789ab~n:7"}, 400, "invalid_header", "stream"),
    (
        STREAM,
        {"Last-Event-ID": "engine-1~0123456789ab~n:7"},
        410,
        "generation_gone",
        "",
    ),
    (GOOD, {"X-Long": "x" * 1_500}, 431, "request_header_fields_too_large", "fewer"),
]


async def test_bad_requests_get_typed_answers_that_name_the_remedy() -> None:
    async with open_entry_client() as client:
        for body, headers, status, code, remedy in BAD_REQUESTS:
            answer = await client.post(body, **headers)
            assert (answer[0], answer[1]["error"]["code"]) == (status, code), answer
            assert remedy in answer[1]["detail"]
            assert answer[1]["ran"] == ("unknown" if status == 410 else "no")
            assert answer[1]["error"]["message"] == answer[1]["detail"]
        assert (await client.post(GOOD))[0] == 200
        assert sum(len(engine.executed) for engine in client.deployment.engines) == 1


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", PATH, 405), ("PUT", "/v1/models", 405), ("POST", "/v2/x", 404)],
)
async def test_wrong_method_and_path(method: str, path: str, status: int) -> None:
    async with open_entry_client() as client:
        async with client.session.request(method, client.url + path) as response:
            assert response.status == status
            assert response.content_type == "application/problem+json"
            assert ("Allow" in response.headers) == (status == 405)


@pytest.mark.parametrize(
    "sent",
    [
        b"nonsense\r\n\r\n",
        b"GET /v1/models HTTP/1.1\r\n" + b"X-A: 1\r\n" * 100 + b"\r\n",
        b"GET /" + b"x" * 2_000 + b" HTTP/1.1\r\n\r\n",
    ],
)
async def test_broken_http_gets_a_problem_and_a_closed_connection(sent: bytes) -> None:
    async with open_entry_client() as client:
        reader, writer = await open_raw(client.url)
        writer.write(sent)
        answer = await asyncio.wait_for(reader.read(), 20)
        assert b" 400 " in answer or b" 431 " in answer
        assert b"application/problem+json" in answer
        writer.close()


async def test_slow_senders_get_408_or_are_disconnected() -> None:
    """Guards against callers that hold connections by never ending a request.

    One caller never ends its headers and is disconnected; one never ends its body and
    gets 408. Neither request reaches a target.
    """
    async with open_entry_client() as client:
        body, head = await open_raw(client.url), await open_raw(client.url)
        head[1].write(b"POST /v1/completions HTTP/1.1\r\nX-")
        body[1].write(
            f"POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
            "Content-Length: 100\r\n\r\n{".encode()
        )
        assert b" 408 " in await asyncio.wait_for(body[0].read(), 20)
        assert await asyncio.wait_for(head[0].read(), 20) == b""
        for _, writer in (body, head):
            writer.close()
        assert (await client.post(GOOD))[0] == 200


@pytest.mark.parametrize(
    ("more", "status"),
    [
        ("X-A: {0}\r\n" * 25, 431),
        ("Transfer-Encoding: chunked\r\n\r\n0\r\n" + "X-A: {0}\r\n" * 25, 431),
        ("Transfer-Encoding: chunked\r\n\r\n5;" + "{0}" * 25, 431),
        ("Transfer-Encoding: chunked\r\n\r\n" + "0" * 25_000, 431),
    ],
    ids=["headers", "trailers", "extension", "zeros"],
)
async def test_requests_that_are_too_large_together_are_refused(
    more: str, status: int
) -> None:
    """Guards against headers and trailers whose number times size fills the memory."""
    head = f"POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
    async with open_entry_client() as client:
        reader, writer = await open_raw(client.url)
        writer.write((head + more.format("a" * 900)).encode())
        received = await asyncio.wait_for(reader.read(), 20)
        assert re.findall(rb"HTTP/1\.[01] (\d{3}) ", received) == [b"%d" % status]
        writer.close()
        assert (await client.post(GOOD))[0] == 200


async def test_generation_of_a_vanished_caller_is_cancelled() -> None:
    """Guards against generations that hold cache memory after their caller has left.

    A caller without a grace period closes its connection in the middle of a stream.
    """
    async with open_entry_client() as client:
        client.deployment.engines[0].length = 100_000
        reader, writer = await open_raw(client.url)
        await send_generation(writer, STREAM)
        await asyncio.wait_for(reader.readuntil(b":2\n"), 20)
        writer.close()
        await wait_until(lambda: len(client.list_cancelled()) == 1)
        assert not client.deployment.entries[0].exchanges


async def send_generation(
    writer: asyncio.StreamWriter, body: Any, **headers: str
) -> None:
    data = json.dumps(body).encode()
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(
        f"POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {len(data)}\r\n{lines}\r\n".encode()
        + data
    )
    await writer.drain()


async def test_grace_lets_a_caller_return_through_another_entry() -> None:
    """Guards against a grace period whose end cuts off a resumed generation.

    A caller with a grace period disconnects and resumes through another entry. It gets
    the next events there, also after the grace period at the first entry has ended.
    When it disconnects again and nobody reads the generation, the target ends it.
    """
    async with run_deployment(2, LIMITS, gaps=(0.01,)) as deployment:
        engine = deployment.engines[0]
        engine.length, engine.grace = 100_000, 0.2
        first, second = deployment.entries
        grace = {"X-Resume-Grace-Seconds": "0.3"}
        reader, writer = await open_raw(first.callers.address)
        await send_generation(writer, STREAM, **grace)
        last_event_id = await read_id(reader)
        writer.close()
        await wait_until(lambda: first.metrics.counters.get("callers.away") == 1)
        reader, writer = await open_raw(second.callers.address)
        await send_generation(
            writer, STREAM, **grace, **{"Last-Event-ID": last_event_id}
        )
        generation, _, index = last_event_id.rpartition(":")
        assert await read_id(reader) == f"{generation}:{int(index) + 1}"
        await wait_until(lambda: not first.exchanges)
        following = int((await read_id(reader)).rpartition(":")[2])
        assert following == int(index) + 2
        assert engine.cancelled == []
        writer.close()
        await wait_until(lambda: engine.cancelled == [generation])


async def test_quiet_stream_is_kept_alive() -> None:
    async with open_entry_client(0.5) as client:
        headers = {"Authorization": f"Bearer {KEY}"}
        body = {**STREAM, "max_tokens": 2}
        async with client.session.post(
            client.url + PATH, json=body, headers=headers
        ) as response:
            text = await response.text()
        assert ": keep-alive\n\n" in text
        assert text.count("id: ") == 2
        assert text.endswith("data: [DONE]\n\n")


async def test_reader_that_stops_reading_is_cut() -> None:
    """Guards against slow readers that together exhaust the memory of an entry.

    A caller requests a long stream and stops reading it. Its events collect in the
    entry's buffer; at the limit the generation is cancelled and the connection closed.
    """
    async with open_entry_client(0) as client:
        client.deployment.engines[0].length = 1_000_000
        _, writer = await open_raw(client.url)
        await send_generation(writer, STREAM)
        entry = client.deployment.entries[0]
        await wait_until(lambda: entry.metrics.counters.get("callers.cut") == 1)
        await wait_until(lambda: len(client.list_cancelled()) == 1)
        await wait_until(lambda: len(entry.callers.streams) == 0)
        writer.close()


async def test_whole_answer_beyond_the_bound_is_refused() -> None:
    async with open_entry_client(0) as client:
        client.deployment.engines[0].length = 1_000_000
        status, answer = await client.post({"model": MODEL, "prompt": "menu"})
        assert (status, answer["error"]["code"]) == (502, "answer_too_long")
        assert answer["ran"] == "yes"
        await wait_until(lambda: len(client.list_cancelled()) == 1)
