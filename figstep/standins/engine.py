"""Stand-in of a model engine, served over HTTP.

Speaks the OpenAI-compatible streaming API. Each event carries
``id: <generation>:<index>``; the caller of the engine chooses the generation
id by the ``X-Generation-Id`` header. ``GET /v1/generations/ID?after=N``
resumes a stream, ``DELETE`` cancels it, ``GET /load`` reports load and
``POST /orders`` takes orders with a fencing number.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import orjson
from aiohttp import web

from figstep.standins.http import answer_json

DONE = b"data: [DONE]\n\n"
WORDS = "rice lentils spinach paneer chapati kheer apples cumin".split()


@dataclass(slots=True)
class _Generation:
    frames: list[bytes] = field(default_factory=list)
    ended: bool = False
    cancelled: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class EngineServer:
    """A thin engine: one word every ``gap`` seconds, at once for all.

    Attributes:
        name: Target name.
        gap: Seconds between tokens.
        length: Tokens in an answer unless the request bounds it.
        executed: Generation ids in the order in which they started.
    """

    def __init__(self, name: str, gap: float = 0.01, length: int = 20) -> None:
        self.name = name
        self.gap = gap
        self.length = length
        self.leaving = False
        self.incarnation = 1
        self.executed: list[str] = []
        self.cancelled: list[str] = []
        self._generations: dict[str, _Generation] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/v1/chat/completions", self._start)
        app.router.add_post("/v1/completions", self._start)
        app.router.add_get("/v1/generations/{id}", self._resume)
        app.router.add_delete("/v1/generations/{id}", self._cancel)
        app.router.add_get("/load", self._report_load)
        app.router.add_get("/standin/executed", self._list_executed)
        return app

    async def _start(self, request: web.Request) -> web.StreamResponse:
        if self.leaving:
            return answer_json({"error": "leaving"}, status=503)
        name = request.headers["X-Generation-Id"]
        body = orjson.loads(await request.read())
        chat = request.path.endswith("/chat/completions")
        if name not in self._generations:
            self._generations[name] = _Generation()
            self.executed.append(name)
            task = asyncio.create_task(self._generate(name, body, chat))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return await self._stream(request, name, 0)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["id"]
        if name not in self._generations:
            return answer_json({"error": "unknown generation"}, status=404)
        return await self._stream(request, name, int(request.query.get("after", "0")))

    async def _cancel(self, request: web.Request) -> web.Response:
        name = request.match_info["id"]
        generation = self._generations.get(name)
        if generation is not None and not generation.ended:
            generation.cancelled = True
            self.cancelled.append(name)
        return answer_json({})

    async def _report_load(self, request: web.Request) -> web.Response:
        running = sum(not g.ended for g in self._generations.values())
        return answer_json(
            {
                "incarnation": self.incarnation,
                "leaving": self.leaving,
                "running": running,
                "waiting": 0,
                "memory_used": 0,
                "memory_total": 16_384,
                "models": [],
            }
        )

    async def _list_executed(self, request: web.Request) -> web.Response:
        return answer_json({"executed": self.executed, "cancelled": self.cancelled})

    async def _generate(self, name: str, body: dict[str, Any], chat: bool) -> None:
        generation = self._generations[name]
        limit = body.get("max_tokens") or body.get("max_completion_tokens")
        length = min(self.length, limit) if limit else self.length
        for index in range(1, length + 1):
            await asyncio.sleep(self.gap)
            if generation.cancelled:
                break
            finish = None
            if index == length:
                finish = "length" if limit and limit <= self.length else "stop"
            word = WORDS[(index - 1) % len(WORDS)] + " "
            generation.frames.append(
                build_frame(name, index, word, finish, body.get("model", ""), chat)
            )
            generation.notify()
        generation.ended = True
        generation.notify()

    async def _stream(
        self, request: web.Request, name: str, after: int
    ) -> web.StreamResponse:
        generation = self._generations[name]
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "X-Generation-Id": name}
        )
        await response.prepare(request)
        sent = after
        while True:
            changed = generation.changed
            if sent < len(generation.frames):
                await response.write(b"".join(generation.frames[sent:]))
                sent = len(generation.frames)
                continue
            if generation.ended:
                break
            await changed.wait()
        if not generation.cancelled:
            await response.write(DONE)
        return response


def build_frame(
    generation: str, index: int, text: str, finish: str | None, model: str, chat: bool
) -> bytes:
    """Return one server-sent event of a generation."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
    if chat:
        choice["delta"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    document = {
        "id": f"cmpl-{generation}",
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": 0,
        "model": model,
        "choices": [choice],
    }
    data = orjson.dumps(document)
    return b"id: %b:%d\ndata: %b\n\n" % (generation.encode(), index, data)
