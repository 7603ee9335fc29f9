"""Fuzz tests of the callers' interface.

No input may cause a 500 or harm the request of the next caller.
"""

import asyncio
import json
from collections.abc import Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figstep.demo import KEY, MODEL, run_deployment
from tests.net.test_callers import GOOD, LIMITS, PATH, open_raw

# The loop does not run between two examples; with a short limit an idle connection
# would be closed then.
FUZZ_LIMITS = LIMITS.model_copy(update={"idle_seconds": 3_600})
FUZZ = settings(derandomize=True, max_examples=100, deadline=None, database=None)
METHODS = ["GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "HEAD"]
PATHS = [PATH, "/v1/chat/completions", "/v1/models", "/services/planning/a", "/status"]
NAMES = [
    "Authorization",
    "Content-Type",
    "Content-Encoding",
    "Expect",
    "Idempotency-Key",
    "Last-Event-ID",
    "X-Deadline-Ms",
    "X-Non-Idempotent",
    "X-Resume-Grace-Seconds",
]
FIELDS = ["model", "prompt", "messages", "max_tokens", "stream", "n", "stop", "role"]

header_values = st.one_of(
    st.sampled_from([f"Bearer {KEY}", "1", "0.1", "true", "engine-1~0123456789ab~n:1"]),
    st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=40),
)
scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-5, 50),
    st.floats(),
    st.text(max_size=20),
    st.just(MODEL),
    st.integers(2**62, 2**70),
)
values = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.sampled_from(FIELDS), inner, max_size=5),
    ),
    max_leaves=12,
)
bodies = st.one_of(
    st.binary(max_size=200),
    values.map(lambda value: json.dumps(value).encode()),
    st.dictionaries(st.sampled_from(FIELDS), values, max_size=6).map(
        lambda fields: json.dumps({**GOOD, **fields}).encode()
    ),
)


@dataclass(slots=True)
class FuzzedEntry:
    """An entry on an event loop of its own, and the errors that the loop reported."""

    runner: asyncio.Runner
    session: aiohttp.ClientSession
    url: str
    faults: list[dict[str, Any]] = field(default_factory=list)

    async def check_alive(self) -> None:
        headers = {"Authorization": f"Bearer {KEY}"}
        async with self.session.post(
            self.url + PATH, json=GOOD, headers=headers
        ) as response:
            assert response.status == 200
        assert self.faults == []


@pytest.fixture(scope="module")
def fuzzed() -> Iterator[FuzzedEntry]:
    stack = AsyncExitStack()

    async def start() -> FuzzedEntry:
        deployment = await stack.enter_async_context(
            run_deployment(1, FUZZ_LIMITS, gaps=(0.0,))
        )
        session = await stack.enter_async_context(aiohttp.ClientSession())
        url = deployment.entries[0].callers.address
        entry = FuzzedEntry(runner, session, url)
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: entry.faults.append(context)
        )
        return entry

    with asyncio.Runner() as runner:
        entry = runner.run(start())
        yield entry
        runner.run(stack.aclose())


async def send_raw(fuzzed: FuzzedEntry, sent: bytes) -> None:
    reader, writer = await open_raw(fuzzed.url)
    writer.write(sent)
    if writer.can_write_eof():
        writer.write_eof()
    try:
        answer = await asyncio.wait_for(reader.read(), 20)
    except ConnectionError:
        answer = b""
    assert b" 500 " not in answer.partition(b"\r\n")[0]
    writer.close()
    await fuzzed.check_alive()


async def send_request(
    fuzzed: FuzzedEntry, method: str, path: str, headers: dict[str, str], body: bytes
) -> None:
    async with fuzzed.session.request(
        method,
        fuzzed.url + path,
        data=body,
        headers={"Authorization": f"Bearer {KEY}", **headers},
        timeout=aiohttp.ClientTimeout(total=60),
    ) as response:
        text = await response.read()
        assert response.status != 500, text
        if response.status >= 400 and method != "HEAD":
            assert response.content_type == "application/problem+json", text
            document = json.loads(text)
            assert document["error"]["message"]
            assert document["ran"] in ("no", "unknown", "yes")
    await fuzzed.check_alive()


@FUZZ
@given(
    sent=st.one_of(
        st.binary(max_size=300),
        st.builds(
            lambda head, body: b"POST /v1/completions HTTP/1.1\r\n" + head + body,
            st.binary(max_size=100),
            st.binary(max_size=100),
        ),
    )
)
def test_random_bytes(fuzzed: FuzzedEntry, sent: bytes) -> None:
    fuzzed.runner.run(send_raw(fuzzed, sent))


@FUZZ
@given(
    method=st.sampled_from(METHODS),
    path=st.sampled_from(PATHS),
    headers=st.dictionaries(st.sampled_from(NAMES), header_values, max_size=4),
    body=bodies,
)
def test_random_requests(
    fuzzed: FuzzedEntry,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> None:
    fuzzed.runner.run(send_request(fuzzed, method, path, headers, body))


@FUZZ
@given(body=bodies, path=st.sampled_from(PATHS[:2]))
def test_random_bodies(fuzzed: FuzzedEntry, body: bytes, path: str) -> None:
    fuzzed.runner.run(send_request(fuzzed, "POST", path, {}, body))
