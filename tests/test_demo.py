"""Tests of the demo deployment, in one process."""

import aiohttp
from openai import AsyncOpenAI

from figstep.demo import KEY, MODEL, run_deployment


async def test_openai_client_reads_streamed_and_whole_answers() -> None:
    async with run_deployment() as deployment:
        url = deployment.entries[0].callers.address
        client = AsyncOpenAI(base_url=url + "/v1", api_key=KEY)
        messages = [{"role": "user", "content": "a menu"}]
        whole = await client.chat.completions.create(
            model=MODEL, messages=messages, max_tokens=5
        )
        assert len(whole.choices[0].message.content.split()) == 5
        assert whole.choices[0].finish_reason == "length"
        words = []
        stream = await client.chat.completions.create(
            model=MODEL, messages=messages, stream=True
        )
        async for chunk in stream:
            words.append(chunk.choices[0].delta.content)
        assert len(words) == 20
        await client.close()


async def test_caller_returns_through_another_entry() -> None:
    """A caller loses its connection after some events.

    It reconnects to another entry with the id of the last event that it received,
    and gets the rest of the same generation, which the target still holds.
    """
    async with run_deployment() as deployment, aiohttp.ClientSession() as session:
        first, second = (entry.callers.address for entry in deployment.entries)
        headers = {"Authorization": f"Bearer {KEY}"}
        body = {"model": MODEL, "stream": True, "prompt": "menu"}
        url = "/v1/completions"
        async with session.post(first + url, json=body, headers=headers) as response:
            text = await response.text()
        ids = [line[4:] for line in text.splitlines() if line.startswith("id: ")]
        headers["Last-Event-ID"] = ids[6]
        async with session.post(second + url, json=body, headers=headers) as response:
            rest = await response.text()
        again = [line[4:] for line in rest.splitlines() if line.startswith("id: ")]
        assert again == ids[7:]
        assert rest.endswith("data: [DONE]\n\n")
