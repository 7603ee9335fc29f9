"""The platform's targets: requests out, answers and copies of runs back."""

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp
import logbook
import orjson
from mode import Service
from pydantic import BaseModel, ConfigDict
from yarl import URL

from figstep.core.clock import Clock, Millis
from figstep.errors import FrameError
from figstep.gateway.edges import AnswerHead, TargetPort, WholeAnswer
from figstep.gateway.effects import CopyRun, OpenAttempt, RunCopy
from figstep.gateway.events import (
    AnswerArrived,
    AttemptLost,
    EngineReported,
    Event,
    Loss,
    PiecesArrived,
    RateNamed,
    RunCopied,
    RunNotCopied,
    StreamEnded,
    StreamOpened,
    StreamPiece,
    TargetLeaving,
)
from figstep.gateway.targets import Target
from figstep.net.connectors import ResetAwareConnector
from figstep.net.frames import EventSplitter
from figstep.platform import names
from figstep.platform.callers import CallerExchange

_log = logbook.Logger("figstep.targets")

CONNECT_SECONDS = 0.5
"""Time to open a connection: targets answer within a few milliseconds, and one
that doesn't may be given up on without a doubt whether it ran anything."""

COPY_SECONDS = 2.0
"""Time for a copy of a run; an engine that leaves is gone by then."""

REPORT_SECONDS = 0.4
"""Time for an engine's report; it needs no slot."""

MOST_ANSWER_BYTES = 8_388_608
"""Largest answer that is gathered for a caller."""

SMALLEST_DEADLINE = 1
"""Targets reject a deadline of nothing."""

_ADDED_BY_CLIENT = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")

_UNREACHED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class _RefusedError(Exception):
    """The target says that it did not run the request."""

    def __init__(self, loss: Loss, retry_after: Millis | None) -> None:
        super().__init__(loss.value)
        self.loss = loss
        self.retry_after = retry_after


class TargetEdge(Service, TargetPort):
    """HTTP client towards targets; each request has a connection of its own.

    A kept connection can bring an answer that belongs to an earlier request,
    or be reset as the next one is sent, when nobody can tell whether it ran.
    A new one costs a millisecond and leaves no such doubt.
    """

    def __init__(
        self,
        clock: Clock,
        dispatch: Callable[[Event], None],
        find_exchange: Callable[[int], CallerExchange | None],
        find_target: Callable[[str], Target | None],
    ) -> None:
        super().__init__()
        self._clock = clock
        self._dispatch = dispatch
        self._find_exchange = find_exchange
        self._find_target = find_target
        self._session: aiohttp.ClientSession | None = None
        self._attempt_tasks: dict[int, asyncio.Task[None]] = {}
        self._background: set[asyncio.Task[None]] = set()
        self._heads: dict[int, AnswerHead] = {}
        self._answers: dict[int, WholeAnswer] = {}

    async def on_start(self) -> None:
        """Open the client."""
        connector = ResetAwareConnector(limit=0, force_close=True)
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
            auto_decompress=False,
            skip_auto_headers=_ADDED_BY_CLIENT,
        )

    async def on_stop(self) -> None:
        """Drop all attempts."""
        tasks = [*self._attempt_tasks.values(), *self._background]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    def open_attempt(self, effect: OpenAttempt) -> None:
        """Send a request to a target."""
        exchange = self._find_exchange(effect.number)
        target = self._find_target(effect.target)
        if exchange is None or target is None:
            self._lose_soon(effect.attempt, "no caller or target any more")
            return
        work = self._run_attempt(effect, exchange, target)
        task = asyncio.get_running_loop().create_task(work)
        self._attempt_tasks[effect.attempt] = task

    def _lose_soon(self, attempt: int, detail: str) -> None:
        event = AttemptLost(attempt, Loss.UNREACHED, detail=detail)
        asyncio.get_running_loop().call_soon(self._dispatch, event)

    def close_attempt(self, attempt: int) -> None:
        """Drop an attempt's connection."""
        task = self._attempt_tasks.get(attempt)
        if task is not None:
            task.cancel()

    def find_head(self, attempt: int) -> AnswerHead:
        """Return the status and headers of an open attempt's answer."""
        return self._heads[attempt]

    def find_answer(self, attempt: int) -> WholeAnswer:
        """Return the whole answer of an attempt while its event is handled."""
        return self._answers[attempt]

    async def _run_attempt(
        self, effect: OpenAttempt, exchange: CallerExchange, target: Target
    ) -> None:
        number = effect.attempt
        try:
            event = await self._try_attempt(effect, exchange, target)
        except _RefusedError as refusal:
            event = AttemptLost(number, refusal.loss, refusal.retry_after)
        except _UNREACHED as error:
            event = AttemptLost(number, Loss.UNREACHED, detail=_describe(error))
        except (FrameError, aiohttp.InvalidURL, aiohttp.ClientResponseError) as error:
            event = AttemptLost(number, Loss.GARBLED, detail=_describe(error))
        except (aiohttp.ClientError, OSError) as error:
            event = AttemptLost(number, Loss.BROKEN, detail=_describe(error))
        finally:
            self._attempt_tasks.pop(number, None)
            # Its event is handled below, in the same turn of the loop.
            asyncio.get_running_loop().call_soon(self._forget, number)
        self._dispatch(event)

    def _forget(self, attempt: int) -> None:
        self._heads.pop(attempt, None)
        self._answers.pop(attempt, None)

    async def _try_attempt(
        self, effect: OpenAttempt, exchange: CallerExchange, target: Target
    ) -> Event:
        assert self._session is not None
        url = URL(f"http://{target.info.address}{exchange.path}", encoded=True)
        asked = self._clock.now()
        async with self._session.request(
            exchange.method,
            url,
            data=exchange.body or None,
            headers=self._build_headers(effect, exchange, target),
            allow_redirects=False,
        ) as response:
            self._take_words(response, target, asked)
            _check_answer(response, exchange)
            if effect.stream and response.status == 200:
                return await self._read_stream(effect, response)
            return await self._read_answer(effect, response)

    def _take_words(
        self, response: aiohttp.ClientResponse, target: Target, asked: Millis
    ) -> None:
        """Hand on what an answer says of the target itself."""
        if response.status == 421:
            # Another target has the address and speaks of itself.
            return
        if names.LEAVING in response.headers and not target.said_leaving:
            self._dispatch(TargetLeaving(target.name))
        self._take_rate(response, target, asked)

    def _take_rate(
        self, response: aiohttp.ClientResponse, target: Target, asked: Millis
    ) -> None:
        text = response.headers.get(names.RATE)
        if text is None:
            if target.limit is None or target.limit.rate is None:
                return
            if names.SIGNATURE not in response.headers:
                # Only the answer to a request shows that the need is over.
                return
        try:
            rate = None if text is None else parse_rate(text)
        except ValueError as error:
            _log.info("no rate", extra={"target": target.name, "error": str(error)})
            return
        self._dispatch(RateNamed(target.name, rate, asked))

    def _build_headers(
        self, effect: OpenAttempt, exchange: CallerExchange, target: Target
    ) -> list[tuple[str, str]]:
        left = max(SMALLEST_DEADLINE, effect.deadline - self._clock.now())
        headers = list(exchange.headers)
        headers.append((names.DEADLINE, str(left)))
        headers.append((names.EXPECTED_TARGET, target.name))
        if effect.customer:
            headers.append((names.CUSTOMER, effect.customer))
        if effect.priority is not None:
            headers.append((names.PRIORITY, str(effect.priority)))
        backup = self._find_target(effect.backup)
        if backup is not None:
            headers.append((names.BACKUP, backup.info.address))
        if effect.after is not None:
            headers.append((names.LAST_EVENT, str(effect.after)))
        if effect.source is not None:
            headers.append((names.COPY, self._name_copy(effect.source)))
        if not exchange.body and exchange.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", "0"))
        return headers

    def _name_copy(self, copy: RunCopy) -> str:
        owner = self._find_target(copy.owner)
        address = "" if owner is None else owner.info.address
        return f"{address}/{copy.handle}"

    async def _read_stream(
        self, effect: OpenAttempt, response: aiohttp.ClientResponse
    ) -> Event:
        attempt = effect.attempt
        self._heads[attempt] = _read_head(response)
        self._dispatch(StreamOpened(attempt))
        splitter = EventSplitter()
        async for chunk in response.content.iter_any():
            pieces = [
                StreamPiece(event.index, event.data) for event in splitter.feed(chunk)
            ]
            if pieces:
                self._dispatch(PiecesArrived(attempt, pieces))
        return StreamEnded(attempt, splitter.rest)

    async def _read_answer(
        self, effect: OpenAttempt, response: aiohttp.ClientResponse
    ) -> Event:
        body = await response.read()
        if len(body) > MOST_ANSWER_BYTES:
            return AttemptLost(effect.attempt, Loss.GARBLED, detail="too long")
        self._answers[effect.attempt] = WholeAnswer(_read_head(response), body)
        if response.status < 500 and response.status not in (408, 429):
            return AnswerArrived(effect.attempt, response.status)
        # 408, 429 and 503 would tell the caller that it did not run, which the
        # target did not say; they can't be handed on.
        handed_on = None if response.status in (408, 429, 503) else response.status
        return AttemptLost(
            effect.attempt,
            Loss.FAILED,
            retry_after=_read_pause(response),
            detail=f"answered {response.status}",
            status=handed_on,
        )

    def copy_run(self, effect: CopyRun) -> None:
        """Order an engine to copy a run to another."""
        self._start(self._order_copy(effect))

    def drop_copy(self, copy: RunCopy) -> None:
        """Free a copy."""
        self._start(self._free_copy(copy))

    def read_report(self, target: str) -> None:
        """Ask an engine for its state."""
        self._start(self._read_report(target))

    async def _read_report(self, name: str) -> None:
        assert self._session is not None
        target = self._find_target(name)
        if target is None:
            return
        url = f"http://{target.info.address}/figstep/report"
        asked = self._clock.now()
        try:
            async with (
                asyncio.timeout(REPORT_SECONDS),
                self._session.get(url) as response,
            ):
                self._take_words(response, target, asked)
                body = await response.read()
            if response.status != 200:
                raise ValueError(f"answered {response.status}")
            event = parse_report(name, body)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            _log.info("no report", extra={"target": name, "error": _describe(error)})
            return
        self._dispatch(event)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _order_copy(self, effect: CopyRun) -> None:
        assert self._session is not None
        exchange = self._find_exchange(effect.number)
        source = self._find_target(effect.source)
        holder = self._find_target(effect.holder)
        if exchange is None or source is None or holder is None:
            return
        order = {
            "id": dict(exchange.headers).get(names.REQUEST_ID, ""),
            "target": holder.info.address,
        }
        url = f"http://{source.info.address}/figstep/kv-move"
        asked = self._clock.now()
        detail = ""
        handle = ""
        try:
            async with (
                asyncio.timeout(COPY_SECONDS),
                self._session.post(
                    url,
                    data=orjson.dumps(order),
                    headers={"Content-Type": "application/json"},
                ) as response,
            ):
                self._take_words(response, source, asked)
                body = await response.read()
            detail = f"answered {response.status}"
            if response.status == 200:
                handle = str(orjson.loads(body)["handle"])
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            detail = _describe(error)
        if handle:
            self._dispatch(
                RunCopied(effect.number, effect.source, effect.holder, handle)
            )
            return
        self._dispatch(
            RunNotCopied(effect.number, effect.source, effect.holder, detail)
        )

    async def _free_copy(self, copy: RunCopy) -> None:
        assert self._session is not None
        owner = self._find_target(copy.owner)
        if owner is None:
            return
        url = f"http://{owner.info.address}/figstep/kv-handle/{copy.handle}"
        try:
            async with asyncio.timeout(CONNECT_SECONDS), self._session.delete(url):
                return
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            # The engine frees it by itself after some seconds.
            _log.info("copy not freed", extra={"error": _describe(error)})


class _Report(BaseModel):
    model_config = ConfigDict(extra="ignore")

    state: str = "ready"
    leaves_ms: float | None = None  # told only once the engine knows its end
    kv_used: int | None = None  # tokens of its memory that can't yield


def parse_report(target: str, body: bytes) -> EngineReported:
    """Return what an engine says of itself.

    Raises:
        ValueError: If the report can't be read.
    """
    report = _Report.model_validate(orjson.loads(body))
    leaving = report.state != "ready" or report.leaves_ms is not None
    return EngineReported(target, leaving, report.kv_used)


def parse_rate(text: str) -> float:
    """Return the requests a second that a target takes.

    Raises:
        ValueError: If it is no number of zero or more.
    """
    return _parse_number(text)


def _parse_number(text: str) -> float:
    number = float(text)
    if not math.isfinite(number) or number < 0:
        raise ValueError(f"{text[:40]!r} is not a number of zero or more")
    return number


def _check_answer(response: aiohttp.ClientResponse, exchange: CallerExchange) -> None:
    """Raise where an answer proves that nothing ran, or is not this request's."""
    if response.status == 421:
        raise _RefusedError(Loss.MISDIRECTED, None)
    if names.NOT_RUN in response.headers:
        raise _RefusedError(Loss.REFUSED, _read_pause(response))
    sent = dict(exchange.headers).get(names.REQUEST_ID)
    echoed = response.headers.get(names.REQUEST_ID)
    if sent is not None and echoed != sent:
        raise FrameError(f"answer to {echoed!r} came for {sent!r}")


def _read_pause(response: aiohttp.ClientResponse) -> Millis | None:
    """Return for how long a target wants nothing; None if it doesn't say."""
    text = response.headers.get(names.RETRY_AFTER)
    if text is None:
        return None
    try:
        return parse_pause(text)
    except ValueError as error:
        _log.info("no pause", extra={"error": str(error)})
        return None


def parse_pause(text: str) -> Millis:
    """Return the pause that a target asks for.

    Raises:
        ValueError: If it is no number of seconds of zero or more.
    """
    return Millis(round(_parse_number(text) * 1_000))


def _read_head(response: aiohttp.ClientResponse) -> AnswerHead:
    headers = []
    for name, value in response.headers.items():
        if name.lower() not in names.CONNECTION_HEADERS:
            headers.append((name, value))
    return AnswerHead(response.status, tuple(headers))


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"[:200]
