"""Tests of an entry with the unmodified OpenAI client library."""

import asyncio
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import openai
import pytest
import trustme
from openai import AsyncOpenAI

from figstep.demo import KEY, MODEL, Deployment, run_deployment
from figstep.settings import Tls
from tests.net.test_callers import wait_until

MESSAGES = [{"role": "user", "content": "a menu"}]


@asynccontextmanager
async def open_client(
    key: str = KEY, gap: float = 0.002, **options: object
) -> AsyncIterator[tuple[AsyncOpenAI, Deployment]]:
    async with run_deployment(1, gaps=(gap,)) as deployment:
        url = deployment.entries[0].callers.address + "/v1"
        async with AsyncOpenAI(
            base_url=url, api_key=key, max_retries=0, **options
        ) as client:
            yield client, deployment


async def test_completions_streamed_and_whole() -> None:
    async with open_client() as (client, _):
        whole = await client.completions.create(
            model=MODEL, prompt="menu", max_tokens=4
        )
        assert len(whole.choices[0].text.split()) == 4
        assert whole.choices[0].finish_reason == "length"
        stream = await client.completions.create(
            model=MODEL, prompt="menu", stream=True
        )
        words = [chunk.choices[0].text async for chunk in stream]
        assert len(words) == 20
        models = [model.id async for model in client.models.list()]
        assert models == [MODEL]


async def test_chat_streamed_and_whole() -> None:
    async with open_client() as (client, _):
        whole = await client.chat.completions.create(model=MODEL, messages=MESSAGES)
        assert len(whole.choices[0].message.content.split()) == 20
        assert whole.choices[0].finish_reason == "stop"
        stream = await client.chat.completions.create(
            model=MODEL, messages=MESSAGES, stream=True
        )
        chunks = [chunk.choices[0] async for chunk in stream]
        assert "".join(chunk.delta.content for chunk in chunks).split() == (
            whole.choices[0].message.content.split()
        )
        assert chunks[-1].finish_reason == "stop"


async def test_wrong_key_is_an_authentication_error() -> None:
    async with open_client(key="wrong") as (client, _):
        with pytest.raises(openai.AuthenticationError) as caught:
            await client.models.list()
        assert caught.value.code == "unknown_key"


async def test_unknown_model_is_a_not_found_error() -> None:
    async with open_client() as (client, _):
        with pytest.raises(openai.NotFoundError) as caught:
            await client.chat.completions.create(model="no", messages=MESSAGES)
        assert caught.value.code == "unknown_model"
        assert "GET /v1/models" in caught.value.message


async def test_wrong_body_is_a_bad_request_error() -> None:
    async with open_client() as (client, _):
        with pytest.raises(openai.BadRequestError) as caught:
            await client.completions.create(model=MODEL, prompt="m", max_tokens=-1)
        assert caught.value.code == "invalid_body"


async def test_refusal_without_a_target_is_a_server_error_with_retry_after() -> None:
    """The only engine leaves, so no request can start before its deadline.

    The caller must then get a final answer with ``ran: no`` and a ``Retry-After``
    header, and the request must not have run on any engine.
    """
    async with open_client() as (client, deployment):
        deployment.engines[0].leaving = True
        entry = deployment.entries[0]
        target = entry.entry_state.targets["engine-1"]
        await wait_until(lambda: target.leaving)
        with pytest.raises(openai.InternalServerError) as caught:
            await client.chat.completions.create(
                model=MODEL,
                messages=MESSAGES,
                extra_headers={"X-Deadline-Ms": "300"},
            )
        assert caught.value.status_code == 503
        assert caught.value.response.json()["ran"] == "no"
        assert int(caught.value.response.headers["Retry-After"]) >= 1
        assert deployment.engines[0].executed == []


async def test_broken_stream_is_an_api_error_and_not_a_short_answer() -> None:
    """The target of a running stream crashes and does not return.

    The caller has received a part that no other target can continue, so the stream
    must end with an error event, which the client library raises.
    """
    async with open_client(gap=0.02) as (client, deployment):
        stream = await client.chat.completions.create(
            model=MODEL, messages=MESSAGES, stream=True
        )
        await anext(stream)
        deployment.engines[0].crash()
        with pytest.raises(openai.APIError) as caught:
            async for _ in stream:
                pass
        assert caught.value.body["code"]


async def test_client_timeout_cancels_the_generation() -> None:
    async with open_client(gap=0.5, timeout=0.2) as (client, deployment):
        with pytest.raises(openai.APITimeoutError):
            await client.chat.completions.create(model=MODEL, messages=MESSAGES)
        await wait_until(lambda: len(deployment.engines[0].cancelled) == 1)


async def test_tls_for_callers(tmp_path: Path) -> None:
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    certificate, key = tmp_path / "chain.pem", tmp_path / "key.pem"
    for blob in issued.cert_chain_pems:
        blob.write_to_path(str(certificate), append=True)
    issued.private_key_pem.write_to_path(str(key))
    context = ssl.create_default_context()
    authority.configure_trust(context)
    tls = Tls(certificate=str(certificate), key=str(key))
    async with run_deployment(1, tls=tls) as deployment:
        url = deployment.entries[0].callers.address
        assert url.startswith("https://")
        async with openai.DefaultAsyncHttpxClient(verify=context) as http:
            client = AsyncOpenAI(base_url=url + "/v1", api_key=KEY, http_client=http)
            stream = await client.completions.create(
                model=MODEL, prompt="menu", stream=True
            )
            assert len([chunk async for chunk in stream]) == 20
        # Plain HTTP on the TLS port must only end that connection.
        host, _, port = url.removeprefix("https://").partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        await asyncio.wait_for(reader.read(), 20)
        writer.close()
