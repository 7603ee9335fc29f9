"""Edge towards targets: attempts and their cancellation."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

import aiohttp
import logbook
from mode import Service
from yarl import URL

from figstep.core.clock import Millis
from figstep.core.effects import CancelGeneration, OpenAttempt, ResumeAttempt
from figstep.core.events import (
    AttemptAnswered,
    AttemptEnded,
    AttemptLost,
    AttemptRejected,
    Event,
    Loss,
    ServiceAnswered,
    TargetDown,
    TokensArrived,
)
from figstep.core.inventory import ServiceInfo, TargetInfo
from figstep.core.problems import Problem
from figstep.core.specs import GenerationWork
from figstep.errors import FrameError
from figstep.net.exchanges import Exchange, ServiceAnswer
from figstep.net.frames import FrameSplitter
from figstep.net.pools import PoolTable
from figstep.net.probes import is_listening

CANCEL_TIMEOUT = 2.0
MAX_CANCEL_ATTEMPTS = 3
PROBE_TIMEOUT = 2.0
BODY_END_TIMEOUT = 1.0
MAX_RECORDED_BODY = 1_024

_log = logbook.Logger("figstep.targets")

_REFUSED_STATUSES = (429, 503)
_DROPPED_HEADERS = {"transfer-encoding", "connection", "content-length", "date"}


class TargetEdge(Service):
    """Holds the connections to targets."""

    def __init__(
        self,
        dispatch: Callable[[Event], None],
        find_target: Callable[[str], TargetInfo | None],
    ) -> None:
        super().__init__()
        self._dispatch = dispatch
        self._find_target = find_target
        self._pools = PoolTable()
        self._attempt_tasks: dict[int, asyncio.Task[None]] = {}
        self._background: set[asyncio.Task[None]] = set()

    async def on_stop(self) -> None:
        """Drop all attempts."""
        tasks = [*self._attempt_tasks.values(), *self._background]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def on_shutdown(self) -> None:
        """Close the connections, which the tasks use until they end."""
        await self._pools.close()

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
        if task is not None:
            task.cancel()

    def cancel_generation(self, effect: CancelGeneration) -> None:
        """Tell the target to stop a generation."""
        self._run_in_background(self._send_cancel(effect))

    def replace_pool(self, target: str) -> None:
        """Open new connections to a target from now on."""
        self._pools.replace(target)

    def probe_target(self, target: str) -> None:
        """Look whether a target still listens at its address."""
        self._run_in_background(self._probe(target))

    async def _probe(self, name: str) -> None:
        target = self._find_target(name)
        if target is None:
            return
        url = URL(target.address)
        try:
            listens = await is_listening(url.host or "", url.port or 0, PROBE_TIMEOUT)
        except OSError as error:
            # A link that fails proves nothing of the target.
            _log.info("no probe", extra={"target": name, "error": repr(error)})
            return
        if not listens:
            self._dispatch(TargetDown(name))

    def _run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _start(self, attempt: int, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(self._run_attempt(attempt, work))
        self._attempt_tasks[attempt] = task
        task.add_done_callback(lambda _: self._attempt_tasks.pop(attempt, None))

    async def _run_attempt(self, attempt: int, work: Coroutine[Any, Any, None]) -> None:
        """Turn every way in which an attempt fails into its loss.

        Only a connection that was never made proves that no byte went out;
        whatever else goes wrong, the target may have begun.
        """
        try:
            await work
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._report_loss(attempt, Loss.CONNECT_FAILED, error)
        except aiohttp.ClientPayloadError as error:
            self._report_loss(attempt, Loss.TRUNCATED, error)
        except (aiohttp.ClientError, TimeoutError, OSError, FrameError) as error:
            self._report_loss(attempt, Loss.BROKEN, error)

    def _report_loss(self, attempt: int, loss: Loss, error: Exception) -> None:
        self._dispatch(AttemptLost(attempt, loss, detail=repr(error)))

    async def _run_generation(self, effect: OpenAttempt, exchange: Exchange) -> None:
        target = self._find_target(effect.target)
        if target is None:
            self._dispatch(AttemptLost(effect.attempt, Loss.CONNECT_FAILED))
            return
        headers = {
            "Content-Type": "application/json",
            "X-Generation-Id": effect.generation,
            "X-Priority": str(effect.priority),
        }
        async with self._pools.use(effect.target) as pool:
            async with pool.reused.post(
                target.address + exchange.path,
                data=exchange.body,
                headers=headers,
                allow_redirects=False,
            ) as response:
                await self._read_answer(effect.attempt, response)

    async def _resume_generation(self, effect: ResumeAttempt) -> None:
        target = self._find_target(effect.target)
        if target is None:
            self._dispatch(AttemptLost(effect.attempt, Loss.NOT_FOUND))
            return
        url = f"{target.address}/v1/generations/{effect.generation}"
        params = {"after": str(effect.after)}
        async with self._pools.use(effect.target) as pool:
            async with pool.fresh.get(
                url, params=params, allow_redirects=False
            ) as response:
                await self._read_answer(effect.attempt, response)

    async def _read_answer(
        self, attempt: int, response: aiohttp.ClientResponse
    ) -> None:
        if response.status != 200:
            await self._report_status(attempt, response)
            return
        self._dispatch(AttemptAnswered(attempt))
        splitter = FrameSplitter()
        async for chunk in response.content.iter_any():
            for run in splitter.feed(chunk):
                event = TokensArrived(attempt, run.generation, run.first, run.frames)
                self._dispatch(event)
            if splitter.ended:
                self._dispatch(AttemptEnded(attempt))
                await _read_body_end(response)
                return
        self._dispatch(AttemptLost(attempt, Loss.TRUNCATED))

    async def _report_status(
        self, attempt: int, response: aiohttp.ClientResponse
    ) -> None:
        detail = (await response.content.read(500)).decode(errors="replace")
        if response.status in _REFUSED_STATUSES:
            retry_after = _read_retry_after(response)
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
        if not isinstance(target, ServiceInfo):
            self._dispatch(AttemptLost(effect.attempt, Loss.CONNECT_FAILED))
            return
        async with self._pools.use(effect.target) as pool:
            # A kept connection may have died unseen, which would leave it open
            # whether the call ran; what runs once gets a new one.
            session = pool.fresh if effect.once else pool.reused
            async with session.request(
                exchange.method,
                target.address + exchange.path,
                data=exchange.body,
                headers=exchange.headers,
                allow_redirects=False,
            ) as response:
                body = await response.read()
        # Passed on and recorded, a 429 would be replayed to every later sending
        # of the same key; it says that the call did not run, as a 503 does.
        if response.status in (_REFUSED_STATUSES if effect.once else (503,)):
            # Something before the service may give these too, after the call
            # went through; sent again, the flour order would come twice.
            loss = Loss.REFUSED if target.refusals_not_run else Loss.FAILED
            retry_after = _read_retry_after(response)
            self._dispatch(AttemptLost(effect.attempt, loss, retry_after))
            return
        exchange.answer = ServiceAnswer(response.status, _pick_headers(response), body)
        self._dispatch(
            ServiceAnswered(
                effect.attempt,
                response.status,
                response.headers.get("Content-Type", ""),
                body if len(body) <= MAX_RECORDED_BODY else None,
            )
        )

    async def _send_cancel(self, effect: CancelGeneration) -> None:
        target = self._find_target(effect.target)
        if target is None:
            return
        url = f"{target.address}/v1/generations/{effect.generation}"
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT)
        # A target would go on for nobody until the whole answer is made.
        for _ in range(MAX_CANCEL_ATTEMPTS):
            try:
                async with self._pools.use(effect.target) as pool:
                    async with pool.fresh.delete(url, timeout=timeout):
                        return
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                fields = {"target": effect.target, "error": repr(error)}
                _log.info("cancel not delivered", extra=fields)


def _read_retry_after(response: aiohttp.ClientResponse) -> Millis | None:
    after = response.headers.get("Retry-After", "")
    return Millis(int(after) * 1000) if after.isdigit() else None


def _pick_headers(response: aiohttp.ClientResponse) -> dict[str, str]:
    headers = {}
    for name, value in response.headers.items():
        if name.lower() in _DROPPED_HEADERS:
            continue
        headers[name] = value
    return headers


async def _read_body_end(response: aiohttp.ClientResponse) -> None:
    # The end of the body often comes a moment after the end marker. Without
    # it the connection cannot be used again, and each answer costs a new one.
    with suppress(aiohttp.ClientError, TimeoutError):
        async with asyncio.timeout(BODY_END_TIMEOUT):
            while await response.content.readany():
                continue
