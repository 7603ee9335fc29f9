"""Stand-in for the platform's log service: append-only streams over HTTP.

``POST /streams/NAME/records`` takes ``{"records": [...]}`` and answers
``{"offset": FIRST}``. ``GET /streams/NAME/records?from=&wait_ms=&limit=``
answers ``{"records": [{"offset", "time", "data"}], "next", "earliest"}``, or
410 with ``earliest`` if retention removed the record at ``from``. ``time`` is in
milliseconds since the Unix epoch. If there is no record yet, the answer waits for
one for at most ``wait_ms``. Offsets of a stream have no gaps.
The header ``Log-Era`` of all answers says how often the log came back from an older
copy. Such a copy lacks the newest records, and their offsets are given out again; a
read beyond the end of a stream is answered with 410.
``PUT /standin/faults`` changes the members of ``Faults`` that its JSON body names.
``PUT /standin/revert`` with ``{"lost": N}`` brings back a copy that lacks the newest
N records of each stream.
``GET /standin/counts`` answers the number of appends and of appended records.
"""

import asyncio
import time
from dataclasses import asdict, dataclass, field, fields, replace
from typing import Any

import orjson
from aiohttp import web

from figstep.net.log import ERA_HEADER
from figstep.standins.http import answer_json


@dataclass(frozen=True, slots=True)
class Faults:
    """Injected faults and retention of the log service.

    Attributes:
        available: Whether calls for streams are served; they are answered with 503
            otherwise.
        delay_ms: Delay added to each call for a stream, in milliseconds.
        lose_answers: Number of next appends that take effect but whose connection
            is closed without an answer.
        drop_appends: Number of next appends that are answered with 503 without
            taking effect.
        keep_records: Maximum number of records kept in a stream, or None for no
            limit.
        keep_ms: Maximum age of a kept record in milliseconds, or None for no
            limit.
    """

    available: bool = True
    delay_ms: int = 0
    lose_answers: int = 0
    drop_appends: int = 0
    keep_records: int | None = None
    keep_ms: int | None = None


@dataclass(slots=True)
class _Stream:
    earliest: int = 0
    records: list[dict[str, Any]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        return self.earliest + len(self.records)

    def wake_readers(self) -> None:
        """Let the reads that wait for a record look again."""
        self.changed.set()
        self.changed = asyncio.Event()


class LogService:
    """Log service in memory, with faults that a test or an operator sets.

    Attributes:
        appends: Number of appends that took effect.
        appended_records: Number of records in these appends.
        era: How often the log came back from an older copy.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.appends = 0
        self.appended_records = 0
        self.era = 0
        self._streams: dict[str, _Stream] = {}

    @property
    def available(self) -> bool:
        """Whether calls for streams are served."""
        return self.faults.available

    @available.setter
    def available(self, value: bool) -> None:
        self.faults = replace(self.faults, available=value)

    def build_app(self) -> web.Application:
        """Return the HTTP application of the log service."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/streams/{name}/records", self._append)
        app.router.add_get("/streams/{name}/records", self._read)
        app.router.add_put("/standin/faults", self._set_faults)
        app.router.add_put("/standin/revert", self._handle_revert)
        app.router.add_get("/standin/counts", self._answer_counts)
        app.on_response_prepare.append(self._name_era)
        return app

    async def _name_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers[ERA_HEADER] = str(self.era)

    async def _handle_revert(self, request: web.Request) -> web.Response:
        self.revert(int(orjson.loads(await request.read())["lost"]))
        return answer_json({"era": self.era})

    def revert(self, lost: int) -> None:
        """Come back from a copy that lacks the newest records of each stream.

        Args:
            lost: Number of records that each stream loses.
        """
        self.era += 1
        for stream in self._streams.values():
            del stream.records[max(0, len(stream.records) - lost) :]
            stream.wake_readers()

    async def _set_faults(self, request: web.Request) -> web.Response:
        changes = orjson.loads(await request.read())
        unknown = set(changes) - {item.name for item in fields(Faults)}
        if unknown:
            raise web.HTTPBadRequest(text=f"unknown faults {sorted(unknown)}")
        self.faults = replace(self.faults, **changes)
        return answer_json(asdict(self.faults))

    async def _answer_counts(self, request: web.Request) -> web.Response:
        return answer_json({"appends": self.appends, "records": self.appended_records})

    async def _find_stream(self, request: web.Request) -> _Stream:
        self._check_available()
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
            self._check_available()
        stream = self._streams.setdefault(request.match_info["name"], _Stream())
        self._trim(stream)
        return stream

    def _check_available(self) -> None:
        if not self.faults.available:
            raise web.HTTPServiceUnavailable(text="the log is down")

    def _trim(self, stream: _Stream) -> None:
        excess = 0
        if self.faults.keep_records is not None:
            excess = max(0, len(stream.records) - self.faults.keep_records)
        if self.faults.keep_ms is not None:
            oldest = _read_time() - self.faults.keep_ms
            while excess < len(stream.records):
                if stream.records[excess]["time"] >= oldest:
                    break
                excess += 1
        del stream.records[:excess]
        stream.earliest += excess

    def list_records(self, name: str) -> list[Any]:
        """Return the data of the records that a stream currently holds."""
        stream = self._streams.get(name)
        return [] if stream is None else [record["data"] for record in stream.records]

    async def _append(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        stream = await self._find_stream(request)
        if self.faults.drop_appends > 0:
            remaining = self.faults.drop_appends - 1
            self.faults = replace(self.faults, drop_appends=remaining)
            raise web.HTTPServiceUnavailable(text="not taken")
        first = stream.end
        appended_at = _read_time()
        for number, data in enumerate(body["records"]):
            record = {"offset": first + number, "time": appended_at, "data": data}
            stream.records.append(record)
        self.appends += 1
        self.appended_records += len(body["records"])
        self._trim(stream)
        stream.wake_readers()
        if self.faults.lose_answers > 0:
            remaining = self.faults.lose_answers - 1
            self.faults = replace(self.faults, lose_answers=remaining)
            if request.transport is not None:
                request.transport.close()
        return answer_json({"offset": first})

    async def _read(self, request: web.Request) -> web.Response:
        stream = await self._find_stream(request)
        start = int(request.query.get("from", "0"))
        limit = int(request.query.get("limit", "500"))
        wait = int(request.query.get("wait_ms", "0")) / 1000
        if not stream.earliest <= start <= stream.end:
            return answer_json({"earliest": stream.earliest}, status=410)
        if start == stream.end and wait > 0:
            try:
                await asyncio.wait_for(stream.changed.wait(), wait)
            except TimeoutError:
                pass
            self._check_available()
        if not stream.earliest <= start <= stream.end:
            return answer_json({"earliest": stream.earliest}, status=410)
        records = stream.records[start - stream.earliest :][:limit]
        return answer_json(
            {
                "records": records,
                "next": start + len(records),
                "earliest": stream.earliest,
            }
        )


def _read_time() -> int:
    return time.time_ns() // 1_000_000
