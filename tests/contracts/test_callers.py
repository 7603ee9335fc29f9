"""Tests of the callers' contract: the answer to each kind of request."""

from collections.abc import AsyncIterator

import aiohttp
import pytest
import pytest_asyncio

from figstep.demo import KEY, MODEL, run_deployment

CHAT = "/v1/chat/completions"
TEXT = "/v1/completions"
MESSAGES = [{"role": "user", "content": "a menu"}]
GOOD = {"model": MODEL, "messages": MESSAGES}
AUTH = {"Authorization": f"Bearer {KEY}"}


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def url() -> AsyncIterator[str]:
    async with run_deployment(entries=1) as deployment:
        yield deployment.entries[0].callers.address


PROBLEMS = {
    "no key": (CHAT, GOOD, {}, 401),
    "wrong key": (CHAT, GOOD, {"Authorization": "Bearer x"}, 401),
    "wrong scheme": (CHAT, GOOD, {"Authorization": f"Basic {KEY}"}, 401),
    "not JSON": (CHAT, b"{", AUTH, 400),
    "not an object": (CHAT, [], AUTH, 400),
    "no messages": (CHAT, {"model": MODEL}, AUTH, 400),
    "empty messages": (CHAT, {"model": MODEL, "messages": []}, AUTH, 400),
    "no prompt": (TEXT, {"model": MODEL}, AUTH, 400),
    "stream of a wrong type": (CHAT, {**GOOD, "stream": "yes"}, AUTH, 400),
    "no tokens wanted": (CHAT, {**GOOD, "max_tokens": 0}, AUTH, 400),
    "two choices": (CHAT, {**GOOD, "n": 2}, AUTH, 400),
    "unknown model": (CHAT, {**GOOD, "model": "x"}, AUTH, 404),
    "unknown service": ("/services/x/y", {}, AUTH, 404),
    "another's generation": (
        CHAT,
        {**GOOD, "stream": True},
        {**AUTH, "Last-Event-ID": "engine-1~000000000000~x:3"},
        410,
    ),
}


@pytest.mark.asyncio(loop_scope="module")
@pytest.mark.parametrize(
    ("path", "body", "headers", "status"), PROBLEMS.values(), ids=PROBLEMS.keys()
)
async def test_problems_are_typed_and_name_the_remedy(
    url: str, path: str, body: object, headers: dict[str, str], status: int
) -> None:
    data = {"data": body} if isinstance(body, bytes) else {"json": body}
    async with (
        aiohttp.ClientSession(url) as session,
        session.post(path, headers=headers, **data) as response,
    ):
        document = await response.json(content_type="application/problem+json")
    assert response.status == document["status"] == status
    assert document["ran"] in ("no", "unknown")
    assert document["detail"] == document["error"]["message"] != ""
    assert document["error"]["code"] in document["type"]


@pytest.mark.asyncio(loop_scope="module")
@pytest.mark.parametrize(
    ("path", "body"),
    [(CHAT, GOOD), (TEXT, {"model": MODEL, "prompt": "a menu"})],
    ids=["chat", "text"],
)
async def test_a_stream_ends_with_a_finish_and_the_end_marker(
    url: str, path: str, body: dict[str, object]
) -> None:
    async with (
        aiohttp.ClientSession(url) as session,
        session.post(path, json={**body, "stream": True}, headers=AUTH) as response,
    ):
        text = await response.text()
    assert response.content_type == "text/event-stream"
    events = [event for event in text.split("\n\n") if event.startswith("id: ")]
    generations = {event.splitlines()[0].rpartition(":")[0] for event in events}
    assert len(generations) == 1
    assert '"finish_reason":"stop"' in events[-1]
    assert text.endswith("data: [DONE]\n\n")


@pytest.mark.asyncio(loop_scope="module")
async def test_models_and_health_answer(url: str) -> None:
    async with aiohttp.ClientSession(url) as session:
        for path in ("/healthz", "/readyz", "/status"):
            async with session.get(path) as response:
                assert response.status == 200
        async with session.get("/v1/models", headers=AUTH) as response:
            document = await response.json()
    assert [model["id"] for model in document["data"]] == [MODEL]
