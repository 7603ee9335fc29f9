"""Token source: a fast stand-in for an engine, for benchmarks.

A timer writes the tokens of all streams of a slot in one pass. Each token event
carries as ``sent_ns`` the monotonic time in nanoseconds at which it was written, so
that a reader on the same machine can compute the delay.
"""

import asyncio
import time

import orjson
from aiohttp import web
from aiohttp.http import StreamWriter

from figstep.standins.http import answer_json

DONE = b"data: [DONE]\n\n"
"""Last server-sent event of every stream."""

DEFAULT_LENGTH = 250
"""Number of tokens of an answer if the request has no ``max_tokens``."""

DEFAULT_GAP_SECONDS = 0.05
"""Time between two tokens if the request has no ``gap_ms``, in seconds."""

SLOTS_PER_GAP = 10
"""Timer passes per gap; the streams are distributed over them.

Otherwise all streams would write their tokens at the same time.
"""


class _Stream:
    def __init__(self, writer: StreamWriter, generation: str, length: int) -> None:
        self.writer = writer
        self.prefix = b"id: " + generation.encode() + b":"
        self.length = length
        self.sent = 0
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def write_token(self) -> None:
        self.sent += 1
        last = self.sent == self.length
        finish = b'"stop"' if last else b"null"
        frame = (
            b'%b%d\ndata: {"id":"cmpl-1","object":"text_completion","created":0,'
            b'"model":"m","choices":[{"index":0,"text":"lentils ","finish_reason":'
            b'%b}],"sent_ns":%d}\n\n'
        ) % (self.prefix, self.sent, finish, time.monotonic_ns())
        if last:
            frame += DONE
        writing = self.writer.write(frame, drain=False)
        try:
            writing.send(None)
        except StopIteration:
            pass
        except ConnectionError:
            last = True
        if last and not self.ended.done():
            self.ended.set_result(None)


class TokenSource:
    """Streams tokens at a fixed gap, as server-sent events.

    The body of a request can set the gap in milliseconds as ``gap_ms`` and the number
    of tokens as ``max_tokens``. All other calls are answered with an empty object,
    except ``GET /load``.
    """

    def __init__(self) -> None:
        self._slots: dict[float, list[list[_Stream]]] = {}
        self._timers: set[asyncio.Task[None]] = set()
        self._next_slot = 0

    def build_app(self) -> web.Application:
        """Return the HTTP application of the token source."""
        app = web.Application()
        app.router.add_post("/v1/completions", self._start)
        app.router.add_post("/v1/chat/completions", self._start)
        app.router.add_get("/load", self._report_load)
        app.router.add_route("*", "/{path:.*}", self._ignore)
        return app

    async def _ignore(self, request: web.Request) -> web.Response:
        return answer_json({})

    async def _report_load(self, request: web.Request) -> web.Response:
        return answer_json({"incarnation": 1, "memory_total": 100_000_000})

    async def _start(self, request: web.Request) -> web.StreamResponse:
        body = orjson.loads(await request.read())
        generation = request.headers.get("X-Generation-Id", "direct")
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        writer = await response.prepare(request)
        assert isinstance(writer, StreamWriter)
        length = body.get("max_tokens", DEFAULT_LENGTH)
        stream = _Stream(writer, generation, length)
        slot = self._choose_slot(body.get("gap_ms", DEFAULT_GAP_SECONDS * 1000) / 1000)
        slot.append(stream)
        try:
            await stream.ended
        finally:
            slot.remove(stream)
        return response

    def _choose_slot(self, gap: float) -> list[_Stream]:
        if gap not in self._slots:
            self._slots[gap] = [[] for _ in range(SLOTS_PER_GAP)]
            task = asyncio.create_task(self._run(gap, self._slots[gap]))
            self._timers.add(task)
        self._next_slot += 1
        return self._slots[gap][self._next_slot % SLOTS_PER_GAP]

    async def _run(self, gap: float, slots: list[list[_Stream]]) -> None:
        loop = asyncio.get_running_loop()
        due, slot_index = loop.time(), 0
        while True:
            for stream in list(slots[slot_index]):
                stream.write_token()
            slot_index = (slot_index + 1) % SLOTS_PER_GAP
            due = max(due + gap / SLOTS_PER_GAP, loop.time() - gap)
            await asyncio.sleep(max(0.0, due - loop.time()))
