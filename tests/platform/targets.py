"""What stand-ins for targets have in common that sign answers and record their runs."""

import asyncio
import math
import random
import zlib
from collections.abc import Mapping
from itertools import count

import orjson
from aiohttp import web

from tests.framing import Framing, RawAnswer, choose_framing, draw_share
from tests.platform.memory import (
    STRIDE,
    Memory,
    draw_sizes,
    read_priority,
    read_prompt_tokens,
)
from tests.platform.runs import Run, read_clock
from tests.platform.standins import Handler

FORGED = "forged"
"""Value with which callers forge headers that only the system may set."""

SYSTEM_ONLY_HEADERS = ("Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Tenant")
"""Headers that only the system may set on requests to targets."""

EVENT_BYTES = "Event-Bytes"
"""Header with which callers ask for large events."""

END_CHECK_INTERVAL = 0.05
"""Time after which a run that waits for an event notices its end, in seconds."""

CUT_SHARE = 1 / 12
"""Share of the streams that ``truncated`` and ``shortened`` engines cut."""

SLEEP_SHARE = 1 / 30
"""Share of its open-ended streams after which a sleeping engine stands still."""

COPY_SECONDS = 0.1
"""Time that a copy on order takes, in seconds."""

_numbers = count(1)


def read_event_bytes(headers: Mapping[str, str]) -> int:
    """Return the smallest size of an event that a caller wants, in bytes."""
    return int(headers.get(EVENT_BYTES, "0"))


class SigningTarget:
    """Base of targets: the platform's protocol, without the process that speaks it.

    Attributes:
        name: Id under which it registers.
        service: Service to which it belongs.
        version: Version of its software.
        born: Start of its incarnation, as a Unix time in milliseconds.
        faults: What is wrong with it: ``grey`` (half of its calls are answered with
            status 500), ``broken`` (half of its answers break off), ``early`` (half
            of its streams that end with their connection do so between two events),
            ``empty`` (half of the continuations among them before the first one),
            ``sleep`` (SLEEP_SHARE of them between two events, and it stands still
            right after), ``pinless`` (it pins nothing and does not list what it
            keeps), ``truncated`` (CUT_SHARE of its streams that end with their
            connection are cut, though their run is complete and kept) or ``shortened``
            (CUT_SHARE of those in chunks end in order before their run is complete).
        copies: Generation of which the target holds a copy, by request.
        running: Runs that have not ended, by request.
        memory: What it keeps of prompts and of complete runs.
        framing: Framing of all its streams; None to draw one for each.
        open_share: Share of its streams that end with the connection, while the others
            come in chunks; None to draw a framing for each.
        keeps_deadlines: Whether it closes streams as their deadline passes.
        event_tokens: Mean number of tokens in an event.
        first_id: Id of the first event of each stream.
        is_odd: Whether events have lines besides their id and data, which come in two
            writes, and a comment line comes before the first one.
        missing_copy_pause: Value of Retry-After, in seconds, where it has no copy of
            the run that is to go on; None to send none.
        call_bytes: Smallest length of the answers to calls, which then come in two
            parts; 0 for short ones in one part.
    """

    name: str
    service: str
    version: str
    born: int
    faults: list[str]
    copies: dict[str, str]
    running: dict[str, Run]
    memory: Memory
    framing: Framing | None = None
    open_share: float | None = None
    keeps_deadlines: bool = False
    event_tokens: float = STRIDE
    first_id: int = 1
    is_odd: bool = False
    missing_copy_pause: float | None = 0.1
    call_bytes: int = 0

    def build_app(self) -> web.Application:
        """Return the server of the target's protocol."""
        app = web.Application(middlewares=[self.serve])
        app.router.add_post("/figstep/kv-move", self._move_run)
        app.router.add_get("/figstep/report", self._report)
        app.router.add_get("/figstep/kv-list", self._list_kept)
        app.router.add_delete("/figstep/kv-pin/{part}", self._unpin)
        app.router.add_delete("/figstep/kv-handle/{handle}", self._free_copy)
        self.add_routes(app)
        app.router.add_route("*", "/{path:.*}", self._answer)
        return app

    def add_routes(self, app: web.Application) -> None:
        """Add routes besides those of the protocol."""

    @web.middleware
    async def serve(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Handle a request."""
        return await handler(request)

    def note_arrival(self, request_id: str) -> None:
        """Record that a request for this target arrived."""

    def note_begin(self, run: Run) -> None:
        """Record that a run begins."""

    def note_body(self, run: Run) -> None:
        """Record the body of a call before its last part is sent."""

    def note_end(self, run: Run) -> None:
        """Record that a run has ended."""

    def fall_asleep(self) -> None:
        """Stand still once the connection that has just been closed is."""

    def name_generation(self) -> str:
        """Return the name of a new generation."""
        return f"g{next(_numbers)}"

    async def turn_away(
        self, request: web.Request, copy: str | None
    ) -> web.StreamResponse | None:
        """Answer a request that is not run; None if it is to run."""

    async def begin_work(self, request: web.Request, run: Run) -> None:
        """Do what precedes the answer to a request."""

    def count_events(self, request: web.Request) -> int:
        """Return the number of events of a complete stream."""
        raise NotImplementedError

    def find_interval(self, run: Run) -> float:
        """Return the time before each event of a stream, in seconds."""
        raise NotImplementedError

    def draw_delay(self) -> float:
        """Return by how much the next event of a stream is late, in seconds."""
        return 0.0

    async def work(self) -> None:
        """Wait as long as a call takes."""
        raise NotImplementedError

    def draw_grey(self) -> bool:
        """Return whether the next call fails."""
        raise NotImplementedError

    async def give_copy(self, holder: str, run: Run) -> bool:
        """Copy a run to the engine at an address, and return whether it holds it."""
        raise NotImplementedError

    def back_up(self, holder: str, run: Run) -> None:
        """Send what is new of a run to the engine at an address."""
        raise NotImplementedError

    def drop_backup(self, holder: str, run: Run) -> None:
        """Free the backup of a run that is complete."""
        raise NotImplementedError

    def find_state(self) -> str:
        """Return the state that the report names."""
        return "ready"

    def build_signal_headers(self) -> dict[str, str]:
        """Return the headers with which the target says something of itself."""
        return {}

    def refuse(self, request_id: str, pause: float | None = 0.1) -> web.Response:
        """Return the answer to a request that is not run."""
        headers = {"Request-Id": request_id, "Not-Executed": "1"}
        if pause is not None:
            headers["Retry-After"] = str(pause)
        headers.update(self.build_signal_headers())
        return web.Response(status=503, headers=headers)

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("Request-Id", "")
        if request.headers.get("Expect-Instance") != self.name:
            return web.Response(status=421)
        body = await request.read()
        self.note_arrival(request_id)
        copy = None
        if "Kv-From" in request.headers:
            copy = self.copies.pop(request_id, None)
            if copy is None:
                return self.refuse(request_id, self.missing_copy_pause)
        refusal = await self.turn_away(request, copy)
        if refusal is not None:
            return refusal
        run = self._begin_run(request, copy)
        try:
            await self.begin_work(request, run)
            if "Token-Count" in request.headers:
                return await self._stream(request, run)
            return await self._call(request, run, body)
        finally:
            run.ended = read_clock()
            if self.running.get(request_id) is run:
                del self.running[request_id]
            self.note_end(run)

    def _begin_run(self, request: web.Request, copy: str | None) -> Run:
        headers = request.headers
        request_id = headers.get("Request-Id", "")
        run = Run(
            request_id,
            self.name,
            copy or self.name_generation().ljust(read_event_bytes(headers), "."),
            read_clock(),
            customer=headers.get("Tenant", ""),
            forged=tuple(
                name for name in SYSTEM_ONLY_HEADERS if headers.get(name) == FORGED
            ),
            version=self.version,
            framing=choose_framing(f"{request_id} {self.name}").value,
        )
        if "Token-Count" in headers:
            run.framing = self._choose_framing(run).value
            run.priority = read_priority(headers)
            self.memory.begin(headers)
        self.running[request_id] = run
        self.note_begin(run)
        return run

    def _choose_framing(self, run: Run) -> Framing:
        if self.framing is not None:
            return self.framing
        if self.open_share is None:
            return Framing(run.framing)
        is_open = draw_share(f"{run.request} open") < self.open_share
        return Framing.CONNECTION if is_open else Framing.CHUNKS

    async def _call(
        self, request: web.Request, run: Run, body: bytes
    ) -> web.StreamResponse:
        await self.work()
        if self.draw_grey():
            run.status = 500
        run.body = f"{run.request} at {self.name} of {len(body)}".encode()
        run.body = run.body.ljust(self.call_bytes, b".")
        answer = self._open_answer(request, run, len(run.body))
        if self._breaks_off(run):
            answer.write(run.body[: len(run.body) // 2])
            await asyncio.sleep(self.find_interval(run))
            # Without a length and chunks, the close by a target that lives on would
            # be the end of the answer.
            return answer.reset()
        rest = run.body
        if self.call_bytes:
            answer.write(rest[: len(rest) // 2])
            await asyncio.sleep(self.find_interval(run))
            rest = rest[len(rest) // 2 :]
        run.whole = True
        self.note_body(run)
        answer.write(rest)
        return answer.end()

    def _open_answer(self, request: web.Request, run: Run, length: int) -> RawAnswer:
        headers = {
            "Request-Id": run.request,
            "Server-Stamp": f"stamp-{self.name}",
            **({} if run.status >= 500 else self.build_signal_headers()),
        }
        return RawAnswer(request, Framing(run.framing), headers, length, run.status)

    def _breaks_off(self, run: Run) -> bool:
        # The choice needs no random number, which would change those of other runs.
        is_chosen = zlib.crc32(run.request.encode()) % 2 == 0
        run.broken_off = is_chosen and "broken" in self.faults
        return run.broken_off

    def _sleeps_after(self, run: Run) -> bool:
        if "sleep" not in self.faults:
            return False
        # Engines and continuations differ, so that the rest may be had. A checksum
        # would tie the choices for texts of one length to each other.
        text = f"sleep {run.request} {self.name} {run.after}"
        return random.Random(text).random() < SLEEP_SHARE

    def _is_cut(self, run: Run, fault: str) -> bool:
        """Return whether an engine with a fault cuts the stream of a request."""
        framing = Framing.CONNECTION if fault == "truncated" else Framing.CHUNKS
        if fault not in self.faults or run.framing != framing.value:
            return False
        return draw_share(f"{run.request} {fault}") < CUT_SHARE

    def _find_early_end(self, run: Run, first: int, count: int) -> int | None:
        """Return before which of the events a stream is closed; None for none."""
        if self._is_cut(run, "truncated"):
            return (count - 1 - zlib.crc32(run.request.encode()) % 3) or None
        if self._is_cut(run, "shortened"):
            return count // 2 or None
        if run.framing != Framing.CONNECTION.value:
            return None
        if self._sleeps_after(run):
            return count // 2 or None
        if first > 1 and "empty" in self.faults:
            return 0 if zlib.crc32(f"empty {run.request}".encode()) % 2 == 0 else None
        if "early" in self.faults:
            is_chosen = zlib.crc32(f"early {run.request}".encode()) % 2 == 0
            return (count // 2 or None) if is_chosen else None
        return None

    async def _stream(self, request: web.Request, run: Run) -> web.StreamResponse:
        holder = request.headers.get("Kv-Backup", "")
        begin = self.first_id
        last_id = int(request.headers.get("Last-Event-Id", begin - 1))
        run.after = last_id + 1 - begin
        first = run.after + 1
        total = self.count_events(request)
        sizes = draw_sizes(request.path, total, self.event_tokens)
        prompt = read_prompt_tokens(request.headers)
        run.tokens = prompt + sum(sizes[: run.after])
        prefix = f"{run.generation} {run.request} {self.version}"
        events = [
            f"id: {index}\ndata: {prefix} {index}\n\n"
            for index in range(last_id + 1, total + begin)
        ]
        if self.is_odd:
            events = [f": {run.version}\nlater: 1\n{event}" for event in events]
        answer = self._open_answer(request, run, sum(map(len, events)))
        broken_at = len(events) // 2 if self._breaks_off(run) else None
        early_at = self._find_early_end(run, first, len(events))
        due = self._find_due(request)
        for number, event in enumerate(events):
            await self._wait_for_event(run, answer, due)
            if run.expired:
                return answer.close()
            if holder:
                self.back_up(holder, run)
            if number == early_at:
                run.broken_off = True
                if self._is_cut(run, "truncated"):
                    self.memory.complete(request.headers, sum(sizes))
                if self._is_cut(run, "shortened"):
                    return answer.end()
                closed = answer.close()
                if self._sleeps_after(run):
                    self.fall_asleep()
                return closed
            if number == broken_at:
                answer.write(event[:5].encode())
                return answer.close()
            if run.stopped:
                return answer.close()
            await self._write_event(answer, event.encode())
            run.events += 1
            run.tokens += sizes[run.after + run.events - 1]
        run.whole = True
        if "pinless" not in self.faults:
            self.memory.complete(request.headers, run.tokens - prompt)
        if holder:
            self.drop_backup(holder, run)
        return answer.end()

    async def _write_event(self, answer: RawAnswer, event: bytes) -> None:
        if not self.is_odd:
            answer.write(event)
            return
        split = len(event) // 2
        answer.write(event[:split])
        await asyncio.sleep(0)
        answer.write(event[split:])

    async def _wait_for_event(self, run: Run, answer: RawAnswer, due: float) -> None:
        """Wait for the next event of a stream, or until the run ends before it.

        Raises:
            ConnectionResetError: If the peer has closed the connection.
        """
        until = read_clock() + self.find_interval(run) + self.draw_delay()
        while (left := min(until, due) - read_clock()) > 0 and not run.stopped:
            answer.check_peer()
            await asyncio.sleep(min(left, END_CHECK_INTERVAL))
        run.expired = due <= until and not run.stopped

    def _find_due(self, request: web.Request) -> float:
        """Return when a stream is closed that is not complete, in seconds."""
        given = request.headers.get("Deadline-Ms", "")
        if not self.keeps_deadlines or not given.isdigit():
            return math.inf
        return read_clock() + int(given) / 1000

    async def _move_run(self, request: web.Request) -> web.Response:
        order = orjson.loads(await request.read())
        run = self.running.get(order["id"])
        if run is None:
            return web.Response(status=404)
        self.begin_move(run, bool(order.get("last")))
        await asyncio.sleep(COPY_SECONDS)
        if not await self.give_copy(order["target"], run):
            return web.Response(status=503)
        handle = {"handle": run.request, "created": 1}
        return web.Response(body=orjson.dumps(handle))

    def begin_move(self, run: Run, stops: bool) -> None:
        """Begin to copy a run, which may be ordered to stop."""

    async def _free_copy(self, request: web.Request) -> web.Response:
        await self.free_copy(request.match_info["handle"])
        return web.Response()

    async def free_copy(self, handle: str) -> None:
        """Free the copy of a run, whose request is its handle."""

    async def _report(self, request: web.Request) -> web.Response:
        report = {"state": self.find_state(), "born": self.born}
        return web.Response(body=orjson.dumps({**report, **self.describe_load()}))

    def describe_load(self) -> dict[str, object]:
        """Return what the report says of runs, pins and copies.

        A run has made the events up to its last one, also those before it began here.
        """
        load: dict[str, object] = {
            "runs": [
                [run.request, run.tokens, run.after + run.events, run.priority]
                for run in self.running.values()
                if run.tokens
            ],
            "handles": len(self.copies),
        }
        if "pinless" not in self.faults:
            load["pinned"] = self.memory.count_pinned()
        return load

    async def _list_kept(self, request: web.Request) -> web.Response:
        if "pinless" in self.faults:
            return web.Response(status=404)
        return web.Response(body=orjson.dumps(self.memory.describe(self.born)))

    async def _unpin(self, request: web.Request) -> web.Response:
        found = self.memory.unpin(request.match_info["part"])
        return web.Response(status=200 if found else 404)
