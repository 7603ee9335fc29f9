"""Edge towards targets: attempts, cancellation, load reports."""

import asyncio
from collections.abc import Callable

import aiohttp
import orjson
from mode import Service

from figstep.core.clock import Millis
from figstep.core.effects import CancelGeneration, OpenAttempt, ResumeAttempt
from figstep.core.events import (
    AttemptEnded,
    AttemptLost,
    AttemptRejected,
    Event,
    LoadReported,
    Loss,
    ServiceAnswered,
    TokensArrived,
)
from figstep.core.inventory import EngineInfo, ServiceInfo, TargetInfo
from figstep.core.problems import Problem
from figstep.core.specs import GenerationWork
from figstep.net.exchanges import Exchange, ServiceAnswer
from figstep.net.frames import FrameSplitter

CONNECT_TIMEOUT = 2.0
REPORT_TIMEOUT = 2.0
REPORT_PERIOD = 0.5

_REFUSED = (429, 503)
_DROPPED_HEADERS = {"transfer-encoding", "connection", "content-length", "date"}


class TargetEdge(Service):
    """Holds the connections to targets."""

    def __init__(
        self,
        dispatch: Callable[[Event], None],
        find_target: Callable[[str], TargetInfo | None],
        list_targets: Callable[[], list[TargetInfo]],
    ) -> None:
        super().__init__()
        self._dispatch = dispatch
        self._find_target = find_target
        self._list_targets = list_targets
        self._session: aiohttp.ClientSession | None = None
        self._attempt_tasks: dict[int, asyncio.Task[None]] = {}
        self._background: set[asyncio.Task[None]] = set()

    async def on_start(self) -> None:
        """Open the client session."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT)
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(
            timeout=timeout, connector=connector, auto_decompress=False
        )

    async def on_stop(self) -> None:
        """Drop all attempts."""
        for task in [*self._attempt_tasks.values(), *self._background]:
            task.cancel()

    async def on_shutdown(self) -> None:
        """Close the session, which the tasks use until they have ended."""
        if self._session is not None:
            await self._session.close()

    def open_attempt(self, effect: OpenAttempt, exchange: Exchange) -> None:
        """Send a request to a target."""
        if isinstance(exchange.spec.work, GenerationWork):
            work = self._run_generation(effect, exchange)
        else:
            work = self._call_service(effect, exchange)
        self._start(effect.attempt, work)

    def resume_attempt(self, effect: ResumeAttempt) -> None:
        """Reattach to a generation over a new connection."""
        self._start(effect.attempt, self._resume_generation(effect))

    def close_attempt(self, attempt: int) -> None:
        """Drop an attempt's connection."""
        task = self._attempt_tasks.pop(attempt, None)
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def cancel_generation(self, effect: CancelGeneration) -> None:
        """Tell the target to stop a generation."""
        task = asyncio.get_running_loop().create_task(self._send_cancel(effect))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _start(self, attempt: int, work) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.get_running_loop().create_task(work)
        self._attempt_tasks[attempt] = task
        task.add_done_callback(lambda _: self._attempt_tasks.pop(attempt, None))

    async def _run_generation(self, effect: OpenAttempt, exchange: Exchange) -> None:
        target = self._find_target(effect.target)
        assert self._session is not None
        if target is None:
            self._dispatch(AttemptLost(effect.attempt, Loss.CONNECT_FAILED))
            return
        headers = {
            "Content-Type": "application/json",
            "X-Generation-Id": effect.generation,
            "X-Priority": str(effect.priority),
        }
        try:
            async with self._session.post(
                target.address + exchange.path, data=exchange.body, headers=headers
            ) as response:
                await self._read_answer(effect.attempt, response)
        except aiohttp.ClientConnectorError as error:
            loss = AttemptLost(effect.attempt, Loss.CONNECT_FAILED, detail=repr(error))
            self._dispatch(loss)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            loss = AttemptLost(effect.attempt, Loss.BROKEN, detail=repr(error))
            self._dispatch(loss)

    async def _resume_generation(self, effect: ResumeAttempt) -> None:
        target = self._find_target(effect.target)
        assert self._session is not None
        if target is None:
            self._dispatch(AttemptLost(effect.attempt, Loss.NOT_FOUND))
            return
        url = f"{target.address}/v1/generations/{effect.generation}"
        try:
            async with self._session.get(
                url, params={"after": str(effect.after)}
            ) as response:
                await self._read_answer(effect.attempt, response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            loss = AttemptLost(effect.attempt, Loss.BROKEN, detail=repr(error))
            self._dispatch(loss)

    async def _read_answer(
        self, attempt: int, response: aiohttp.ClientResponse
    ) -> None:
        if response.status != 200:
            await self._report_status(attempt, response)
            return
        splitter = FrameSplitter()
        async for chunk in response.content.iter_any():
            for run in splitter.feed(chunk):
                event = TokensArrived(attempt, run.generation, run.first, run.frames)
                self._dispatch(event)
            if splitter.ended:
                self._dispatch(AttemptEnded(attempt))
                return
        self._dispatch(AttemptLost(attempt, Loss.TRUNCATED))

    async def _report_status(
        self, attempt: int, response: aiohttp.ClientResponse
    ) -> None:
        detail = (await response.content.read(500)).decode(errors="replace")
        if response.status in _REFUSED:
            after = response.headers.get("Retry-After", "")
            retry_after = Millis(int(after) * 1000) if after.isdigit() else None
            event = AttemptLost(attempt, Loss.REFUSED, retry_after, detail)
            self._dispatch(event)
            return
        if response.status == 404 and response.method == "GET":
            self._dispatch(AttemptLost(attempt, Loss.NOT_FOUND, detail=detail))
            return
        if response.status >= 500:
            self._dispatch(AttemptLost(attempt, Loss.FAILED, detail=detail))
            return
        problem = Problem(
            400,
            "rejected_by_target",
            f"the target answered {response.status}; mend the request: {detail}",
        )
        self._dispatch(AttemptRejected(attempt, problem))

    async def _call_service(self, effect: OpenAttempt, exchange: Exchange) -> None:
        target = self._find_target(effect.target)
        assert self._session is not None
        if not isinstance(target, ServiceInfo):
            self._dispatch(AttemptLost(effect.attempt, Loss.CONNECT_FAILED))
            return
        try:
            async with self._session.request(
                exchange.method,
                target.address + exchange.path,
                data=exchange.body,
                headers=exchange.headers,
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            loss = AttemptLost(effect.attempt, Loss.CONNECT_FAILED, detail=repr(error))
            self._dispatch(loss)
            return
        except aiohttp.ClientPayloadError as error:
            loss = AttemptLost(effect.attempt, Loss.TRUNCATED, detail=repr(error))
            self._dispatch(loss)
            return
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            loss = AttemptLost(effect.attempt, Loss.BROKEN, detail=repr(error))
            self._dispatch(loss)
            return
        if response.status == 503:
            self._dispatch(AttemptLost(effect.attempt, Loss.REFUSED))
            return
        headers = {}
        for name, value in response.headers.items():
            if name.lower() in _DROPPED_HEADERS:
                continue
            headers[name] = value
        exchange.answer = ServiceAnswer(response.status, headers, body)
        self._dispatch(ServiceAnswered(effect.attempt, response.status))

    async def _send_cancel(self, effect: CancelGeneration) -> None:
        target = self._find_target(effect.target)
        if target is None or self._session is None:
            return
        url = f"{target.address}/v1/generations/{effect.generation}"
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT)
        try:
            async with self._session.delete(url, timeout=timeout):
                pass
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.log.info("cancel not delivered: %r", error)

    @Service.task
    async def _poll_load(self) -> None:
        while not self.should_stop:
            engines = [t for t in self._list_targets() if isinstance(t, EngineInfo)]
            await asyncio.gather(*(self._read_load(engine) for engine in engines))
            await self.sleep(REPORT_PERIOD)

    async def _read_load(self, engine: EngineInfo) -> None:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT)
        try:
            async with self._session.get(
                engine.address + "/load", timeout=timeout
            ) as response:
                report = orjson.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return
        self._dispatch(
            LoadReported(
                target=engine.name,
                incarnation=report.get("incarnation", 0),
                leaving=report.get("leaving", False),
                running=report.get("running", 0),
                waiting=report.get("waiting", 0),
                memory_used=report.get("memory_used", 0),
                memory_total=report.get("memory_total", 0),
                models=tuple(report.get("models", ())),
                age=Millis(report.get("age_ms", 0)),
            )
        )
