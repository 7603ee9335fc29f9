"""Stand-in of the platform's log service: append-only streams over HTTP.

``POST /streams/NAME/records`` takes ``{"records": [...]}`` and answers
``{"offset": FIRST}``. ``GET /streams/NAME/records?from=&wait_ms=&limit=``
answers ``{"records": [{"offset", "time", "data"}], "next", "earliest"}``, or
410 with ``earliest`` where the start is past retention.
"""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

import orjson
from aiohttp import web

from figstep.standins.http import answer_json


@dataclass(slots=True)
class _Stream:
    earliest: int = 0
    records: list[dict[str, Any]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class LogService:
    """Streams in memory; ``available`` False makes every call fail."""

    def __init__(self) -> None:
        self.available = True
        self._streams: dict[str, _Stream] = {}

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/streams/{name}/records", self._append)
        app.router.add_get("/streams/{name}/records", self._read)
        return app

    def _find_stream(self, request: web.Request) -> _Stream:
        if not self.available:
            raise web.HTTPServiceUnavailable(text="the log is down")
        return self._streams.setdefault(request.match_info["name"], _Stream())

    async def _append(self, request: web.Request) -> web.Response:
        stream = self._find_stream(request)
        body = orjson.loads(await request.read())
        first = stream.earliest + len(stream.records)
        taken = time.time_ns() // 1_000_000
        for number, data in enumerate(body["records"]):
            record = {"offset": first + number, "time": taken, "data": data}
            stream.records.append(record)
        stream.changed.set()
        stream.changed = asyncio.Event()
        return answer_json({"offset": first})

    async def _read(self, request: web.Request) -> web.Response:
        stream = self._find_stream(request)
        start = int(request.query.get("from", "0"))
        limit = int(request.query.get("limit", "500"))
        wait = int(request.query.get("wait_ms", "0")) / 1000
        if start < stream.earliest:
            return answer_json({"earliest": stream.earliest}, status=410)
        if start >= stream.earliest + len(stream.records) and wait > 0:
            try:
                await asyncio.wait_for(stream.changed.wait(), wait)
            except TimeoutError:
                pass
        records = stream.records[start - stream.earliest :][:limit]
        return answer_json(
            {
                "records": records,
                "next": start + len(records),
                "earliest": stream.earliest,
            }
        )
