"""Stand-in for a model engine: serves ``EngineModel`` over HTTP.

It implements the OpenAI-compatible streaming API. Each event carries
``id: <generation>:<index>``. A request sets the generation id in the
``X-Generation-Id`` header and the priority in ``X-Priority``.
``GET /v1/generations/ID?after=N`` resumes a stream, ``DELETE`` cancels it,
``GET /load`` reports the load, ``GET /cache-events?after=N`` lists changes of
the prefix cache and ``POST /orders`` takes orders with a fencing number.

A request with ``X-Continue-After: N`` carries the N tokens produced so far as
``continuation`` in its body; indexes continue at N + 1. The stand-in reads only N,
not the tokens. ``standin_length`` in the body sets the length of the answer, and
the engine crashes before it sends the token with the index ``standin_crash_at``.
The first token repeats the last word of the prompt, so that a reader can match the
answer to its request. ``POST /standin/do/KIND`` calls ``leave``, ``crash`` or
``restart``, and ``GET /standin/executed`` lists the generations.
"""

import asyncio
import hashlib
import random
import time
from dataclasses import asdict, dataclass, field
from typing import Any

import orjson
from aiohttp import web

from figstep.standins.engine_model import (
    EngineModel,
    EngineProfile,
    LengthDistribution,
    Sequence,
    Token,
)
from figstep.standins.http import answer_json

DONE = b"data: [DONE]\n\n"
"""Last server-sent event of a stream that was not cancelled."""

WORDS = "rice lentils spinach paneer chapati kheer apples cumin".split()
"""Texts of the tokens, in turn."""

PREFIX_CHARS = 256
"""Number of leading characters of a prompt that count as its shared prefix."""

CHARS_PER_TOKEN = 4
"""Characters of a prompt that count as one token."""

RUN_AHEAD_MS = 0.5
"""Time by which the model runs ahead of the clock, in milliseconds.

A step that ends within this time is finished at once, without another sleep.
"""

TURN_MS = 5.0
"""Time for which tokens are handled before others on the event loop get a turn, in
milliseconds."""

MAX_LAG_MS = 50.0
"""Time by which the model may be behind the clock, in milliseconds.

It is behind where the machine is too slow for the profile. Working off all of it at
once would block everybody else, and so leave more of it to work off the next time.
"""

FIXED_GAP_MEMORY_TOKENS = 16_777_216
"""Cache memory and prefill limit per step of an engine with a fixed gap, in tokens.

Both are so large that they do not limit the engine.
"""

FIXED_GAP_MAX_RUNNING = 65_536
"""Batch limit of an engine with a fixed gap, in sequences."""


@dataclass(slots=True)
class _Generation:
    model: str
    chat: bool
    first: int
    prompt: str = ""
    crash_at: int | None = None
    frames: list[bytes] = field(default_factory=list)
    ended: bool = False
    cancelled: bool = False
    readers: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def build_fixed_gap_profile(gap: float) -> EngineProfile:
    """Return a profile that gives every sequence a token each ``gap`` seconds.

    The gap is at least 10 microseconds.
    """
    return EngineProfile(
        memory_tokens=FIXED_GAP_MEMORY_TOKENS,
        max_running=FIXED_GAP_MAX_RUNNING,
        step=max(gap * 1_000, 0.01),
        per_sequence=0.0,
        per_thousand=0.0,
        per_prefill=0.0,
        prefill_chunk=FIXED_GAP_MEMORY_TOKENS,
        report_lag=0.0,
    )


class EngineServer:
    """An engine over HTTP; without a profile it has a fixed gap between tokens.

    Attributes:
        name: Target name.
        length: Tokens in an answer, unless the request or
            ``length_distribution`` sets another length.
        length_distribution: Distribution that lengths are drawn from in place of
            ``length``, or None.
        grace: Time from the end of a generation's last connection until the
            generation is cancelled, in seconds.
        answer_delay: Delay of every answer, in seconds.
        crashed: Whether the engine has crashed: connections are reset, except for
            calls below ``/standin/``.
        checks_fencing: Whether orders with an old fencing number are refused.
        load_seconds: Duration of an order of any kind, in seconds.
        leaving: Whether new generations are rejected with 503.
        role: Role that the last order of kind "role" set, or "serve" before it.
        executed: Generation ids in the order in which they started.
        prompts: Prompts by generation id; of a chat, the last message.
        cancelled: Ids of the generations that were cancelled, in order.
        fencing: Highest fencing number received, or 0 before the first order.
        orders: Orders that were executed, in order.
        models: Loaded models, as "model@version" and "model+adapter"; every model
            is served while no model version is loaded.
    """

    def __init__(
        self,
        name: str,
        gap: float = 0.01,
        length: int = 20,
        profile: EngineProfile | None = None,
        length_distribution: LengthDistribution | None = None,
    ) -> None:
        self.name = name
        self.length = length
        self.length_distribution = length_distribution
        self.grace = 10.0
        self.answer_delay = 0.0
        self.crashed = False
        self.checks_fencing = True
        self.load_seconds = 0.0
        self.leaving = False
        self.role = "serve"
        self.fencing = 0
        self.orders: list[dict[str, Any]] = []
        self.executed: list[str] = []
        self.prompts: dict[str, str] = {}
        self.cancelled: list[str] = []
        self.model = EngineModel(
            profile or build_fixed_gap_profile(gap), random.Random(hash_name(name))
        )
        self.models: list[str] = []
        self._generations: dict[str, _Generation] = {}
        self._readers: list[web.Request] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._runner: asyncio.Task[None] | None = None
        self._work = asyncio.Event()

    @property
    def incarnation(self) -> int:
        """Number that increases with each crash."""
        return self.model.incarnation

    @incarnation.setter
    def incarnation(self, value: int) -> None:
        self.model.incarnation = value

    @property
    def slow(self) -> float:
        """Factor on the duration of every step; 1 for normal speed."""
        return self.model.slow

    @slow.setter
    def slow(self, value: float) -> None:
        self.model.slow = value

    @property
    def gap(self) -> float:
        """Time between tokens of an engine with a fixed gap, in seconds.

        Setting a gap replaces the profile by one with a fixed gap.
        """
        return self.model.profile.step / 1_000

    @gap.setter
    def gap(self, seconds: float) -> None:
        self.model.profile = build_fixed_gap_profile(seconds)

    def build_app(self) -> web.Application:
        """Return the HTTP application of the engine."""
        app = web.Application(middlewares=[self._apply_faults])
        app.router.add_post("/v1/chat/completions", self._start)
        app.router.add_post("/v1/completions", self._start)
        app.router.add_get("/v1/generations/{id}", self._resume)
        app.router.add_delete("/v1/generations/{id}", self._cancel)
        app.router.add_get("/load", self._report_load)
        app.router.add_get("/cache-events", self._list_cache_events)
        app.router.add_post("/orders", self._handle_order)
        app.router.add_get("/standin/executed", self._list_executed)
        app.router.add_post("/standin/do/{kind}", self._handle_action)
        app.on_cleanup.append(self._clean_up)
        return app

    def crash(self) -> None:
        """Reset all streams, lose all generations and start a new incarnation.

        Until ``restart``, every call except those below ``/standin/`` is reset too.
        """
        self.crashed = True
        self.model.crash(self._read_model_clock())
        for generation in self._generations.values():
            generation.cancelled = generation.ended = True
            generation.notify()
        self._generations.clear()
        for request in self._readers:
            _cut(request)

    def restart(self) -> None:
        """Serve again after ``crash`` and ``leave``.

        The incarnation was already increased by ``crash``. Loaded models remain.
        """
        self.crashed = False
        self.leaving = False

    def freeze(self) -> None:
        """Stop answering until ``thaw`` but keep all connections open."""
        self.model.freeze(self._read_model_clock())

    def thaw(self) -> None:
        """Continue after ``freeze``."""
        self.model.thaw(_read_clock())
        self._work.set()

    def leave(self) -> None:
        """Reject new generations with 503 until ``restart``; running ones continue."""
        self.leaving = True

    async def _handle_action(self, request: web.Request) -> web.Response:
        actions = {"leave": self.leave, "crash": self.crash, "restart": self.restart}
        actions[request.match_info["kind"]]()
        return answer_json({})

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler: Any) -> Any:
        while self.model.frozen and not self.crashed:
            await asyncio.sleep(0.05)
        if self.crashed and not request.path.startswith("/standin/"):
            _cut(request)
            return web.Response(status=500)
        if self.answer_delay:
            await asyncio.sleep(self.answer_delay)
        return await handler(request)

    async def _clean_up(self, app: web.Application) -> None:
        tasks = list(self._tasks)
        if self._runner is not None:
            tasks.append(self._runner)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _start(self, request: web.Request) -> web.StreamResponse:
        if self.leaving:
            return answer_json({"error": "leaving"}, status=503)
        name = request.headers["X-Generation-Id"]
        body = orjson.loads(await request.read())
        if not self._serves(body.get("model", "")):
            return answer_json({"error": "model not loaded"}, status=503)
        after = int(request.headers.get("X-Continue-After", "0"))
        if name not in self._generations:
            chat = request.path.endswith("/chat/completions")
            model = body.get("model", "")
            prompt = _read_prompt(body)
            self.prompts[name] = prompt
            crash_at = body.get("standin_crash_at")
            self._generations[name] = _Generation(model, chat, after, prompt, crash_at)
            self.executed.append(name)
            priority = int(request.headers.get("X-Priority", "0"))
            sequence = self._build_sequence(name, body, after, priority)
            self.model.start(sequence, self._read_model_clock())
            self._wake()
        return await self._stream(request, name, after)

    def _serves(self, model: str) -> bool:
        versions = [name.partition("@")[0] for name in self.models if "@" in name]
        return not versions or model in versions

    def _build_sequence(
        self, name: str, body: dict[str, Any], after: int, priority: int
    ) -> Sequence:
        answer_length = body.get("standin_length")
        if answer_length is None:
            answer_length = (
                self.length
                if self.length_distribution is None
                else self.length_distribution.draw()
            )
        limit = body.get("max_tokens") or body.get("max_completion_tokens")
        length = min(answer_length, limit) if limit else answer_length
        prompt = str(body.get("prompt") or body.get("messages") or "")
        shared = prompt[:PREFIX_CHARS]
        return Sequence(
            name,
            length,
            "length" if limit and limit <= answer_length else "stop",
            prompt_tokens=1 + len(prompt) // CHARS_PER_TOKEN,
            priority=priority,
            prefix=hashlib.sha256(shared.encode()).hexdigest()[:16],
            prefix_tokens=len(shared) // CHARS_PER_TOKEN,
            produced=after,
        )

    def _wake(self) -> None:
        if self._runner is None or self._runner.done():
            self._runner = asyncio.create_task(self._run())
        self._work.set()

    async def _run(self) -> None:
        while True:
            tokens = self.model.advance(self._read_model_clock() + RUN_AHEAD_MS)
            turn_ends = _read_clock() + TURN_MS
            for token in tokens:
                self._handle_token(token)
                # On a slow machine more tokens are due than can be handled; without
                # a pause nobody else would run until the last one.
                if _read_clock() >= turn_ends:
                    await asyncio.sleep(0)
                    turn_ends = _read_clock() + TURN_MS
            if tokens:
                await asyncio.sleep(0)
            step = self.model.next_step()
            if step is None:
                self._work.clear()
                await self._work.wait()
                continue
            await asyncio.sleep(max(0.0, step - _read_clock()) / 1_000)

    def _read_model_clock(self) -> float:
        """Return the time in milliseconds, after leaving out what is too far behind."""
        now = _read_clock()
        self.model.skip_until(now - MAX_LAG_MS)
        return now

    def _handle_token(self, token: Token) -> None:
        generation = self._generations.get(token.name)
        if generation is None or generation.cancelled:
            return
        if token.index == generation.crash_at:
            self.crash()
            return
        word = WORDS[(token.index - 1) % len(WORDS)] + " "
        if token.index == 1 and generation.prompt:
            word = generation.prompt.split()[-1] + " "
        frame = build_frame(
            token.name,
            token.index,
            word,
            token.finish,
            generation.model,
            generation.chat,
        )
        generation.frames.append(frame)
        generation.ended = token.finish is not None
        generation.notify()
        if generation.ended:
            self._schedule_removal(token.name)

    def _schedule_removal(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        retention = self.model.profile.retention / 1_000
        loop.call_later(retention, self._generations.pop, name, None)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["id"]
        if name not in self._generations:
            return answer_json({"error": "unknown generation"}, status=404)
        return await self._stream(request, name, int(request.query.get("after", "0")))

    async def _cancel(self, request: web.Request) -> web.Response:
        self._end_generation(request.match_info["id"])
        return answer_json({})

    def _end_generation(self, name: str) -> None:
        generation = self._generations.get(name)
        if generation is None or generation.ended:
            return
        self.model.cancel(name, self._read_model_clock())
        generation.cancelled = True
        generation.ended = True
        self.cancelled.append(name)
        generation.notify()
        self._schedule_removal(name)

    async def _report_load(self, request: web.Request) -> web.Response:
        now = self._read_model_clock()
        report = self.model.read_load(now)
        return answer_json(
            {
                "incarnation": self.incarnation,
                "leaving": self.leaving,
                "running": report.running,
                "waiting": report.waiting,
                "memory_used": report.memory_used,
                "memory_total": report.memory_total,
                "models": self.models,
                "role": self.role,
                "age_ms": max(0, round(now - report.at)),
            }
        )

    async def _list_cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        events = self.model.read_cache_events(_read_clock(), after)
        return answer_json({"events": [asdict(event) for event in events]})

    async def _handle_order(self, request: web.Request) -> web.Response:
        order = orjson.loads(await request.read())
        number = int(order["fencing"])
        if self.checks_fencing and number < self.fencing:
            return answer_json(
                {"error": "old fencing number", "fencing": self.fencing}, status=409
            )
        self.fencing = max(self.fencing, number)
        if self.load_seconds:
            await asyncio.sleep(self.load_seconds)
        if not self._execute_order(order):
            return answer_json({"error": "unknown kind of order"}, status=400)
        self.orders.append(order)
        return answer_json({"models": self.models, "role": self.role})

    def _execute_order(self, order: dict[str, Any]) -> bool:
        model = order.get("model", "")
        versioned = f"{model}@{order.get('version', '1')}"
        match order.get("kind"):
            case "load":
                self._add_model(versioned)
            case "version":
                self.models = [m for m in self.models if not m.startswith(model + "@")]
                self._add_model(versioned)
            case "unload":
                self.models = [m for m in self.models if m != versioned]
            case "adapter":
                self._add_model(f"{model}+{order['adapter']}")
            case "role":
                self.role = order["role"]
            case _:
                return False
        return True

    def _add_model(self, name: str) -> None:
        if name not in self.models:
            self.models.append(name)

    async def _list_executed(self, request: web.Request) -> web.Response:
        return answer_json(
            {
                "executed": self.executed,
                "cancelled": self.cancelled,
                "prompts": self.prompts,
                "preemptions": self.model.preemptions,
            }
        )

    async def _stream(
        self, request: web.Request, name: str, after: int
    ) -> web.StreamResponse:
        generation = self._generations[name]
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "X-Generation-Id": name}
        )
        generation.readers += 1
        self._readers.append(request)
        try:
            await response.prepare(request)
            await self._send_frames(response, generation, after - generation.first)
        finally:
            self._readers.remove(request)
            generation.readers -= 1
            if not generation.ended and not generation.readers:
                self._schedule_cancel(name)
        return response

    async def _send_frames(
        self, response: web.StreamResponse, generation: _Generation, sent: int
    ) -> None:
        sent = max(0, sent)
        while True:
            changed = generation.changed
            if self.model.frozen:
                await asyncio.sleep(0.05)
                continue
            if sent < len(generation.frames):
                frames = generation.frames[sent:]
                sent += len(frames)
                await response.write(b"".join(frames))
                continue
            if generation.ended:
                break
            await changed.wait()
        if not generation.cancelled:
            await response.write(DONE)

    def _schedule_cancel(self, name: str) -> None:
        # A reader that lost its connection may resume the stream. If no reader
        # does, the generation must not hold cache memory any longer.
        task = asyncio.create_task(self._cancel_unread(name))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _cancel_unread(self, name: str) -> None:
        await asyncio.sleep(self.grace)
        generation = self._generations.get(name)
        if generation is not None and not generation.readers:
            self._end_generation(name)


def _read_prompt(body: dict[str, Any]) -> str:
    messages = body.get("messages") or [{}]
    return str(body.get("prompt") or messages[-1].get("content") or "").strip()


def hash_name(name: str) -> int:
    """Return a seed for random numbers that depends only on the name."""
    return int.from_bytes(hashlib.sha256(name.encode()).digest()[:4])


def _cut(request: web.Request) -> None:
    if isinstance(request.transport, asyncio.Transport):
        request.transport.abort()


def _read_clock() -> float:
    return time.monotonic() * 1_000


def build_frame(
    generation: str, index: int, text: str, finish: str | None, model: str, chat: bool
) -> bytes:
    """Return the server-sent event of one token of a generation.

    The index of the first token is 1. ``finish`` is the finish reason on the last
    token, and None on all others. With ``chat``, the event is a chunk of a chat
    completion instead of a text completion.
    """
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
