"""Service that sends attempts, cancellations and probes to targets."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

import aiohttp
import logbook
from mode import Service
from yarl import URL

from figstep.core.answers import Body, MarkedStream, explain_incomplete
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
from figstep.net.buffers import ExchangeBuffer, build_data
from figstep.net.exchanges import Exchange, ServiceAnswer
from figstep.net.frames import FrameSplitter
from figstep.net.framing import is_delimited
from figstep.net.pools import PoolTable
from figstep.net.probes import is_listening, open_witness
from figstep.net.reading import read_body

CANCEL_TIMEOUT = 2.0
"""Timeout of one attempt to deliver a cancellation, in seconds."""

MAX_CANCEL_ATTEMPTS = 5
"""Maximum number of attempts to deliver a cancellation."""

CANCEL_PAUSE = 0.25
"""Pause before the second of these attempts, in seconds; it doubles with each one."""

PROBE_TIMEOUT = 2.0
"""Timeout of a probe's connection attempt, in seconds."""

BODY_END_TIMEOUT = 1.0
"""Time to wait for the end of the body after the end marker, in seconds."""

MAX_ANSWER_BYTES = 8_388_608
"""Largest answer of a plain service, in bytes."""

MAX_RECORDED_BODY = 1_024
"""Maximum size of a service's answer that is recorded for replay, in bytes."""

MAX_PAUSE_DIGITS = 6
"""Most digits of the seconds of a pause that a target asks for."""

_log = logbook.Logger("figstep.targets")

_REFUSED_STATUSES = (429, 503)
"""HTTP statuses by which a target refuses a request, usually without running it.

``ServiceInfo.refusals_not_run`` holds whether this is certain for a plain service.
"""

_STRANGER_STATUSES = (408, 421, 502, 504)
"""HTTP statuses of a server that has no answer of the target to pass on."""

_DROPPED_HEADERS = {"transfer-encoding", "connection", "content-length", "date"}
"""Headers of a plain service's answer that are not passed on to the caller."""


class TargetEdge(Service):
    """Sends attempts, cancellations and probes to targets."""

    def __init__(
        self,
        dispatch: Callable[[Event], None],
        find_target: Callable[[str], TargetInfo | None],
        bounded: bool = False,
    ) -> None:
        """Prepare the client.

        Args:
            dispatch: Called with the event of each result.
            find_target: Returns a target, by name.
            bounded: Whether the buffers of connections are bounded.
        """
        super().__init__()
        self._dispatch = dispatch
        self._find_target = find_target
        self._pools = PoolTable(bounded)
        self._attempt_tasks: dict[int, asyncio.Task[None]] = {}
        self._background: set[asyncio.Task[None]] = set()

    async def on_stop(self) -> None:
        """Cancel all attempts and background tasks and wait for their end."""
        tasks = [*self._attempt_tasks.values(), *self._background]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def on_shutdown(self) -> None:
        """Close the connections, after ``on_stop`` has ended the tasks on them."""
        await self._pools.close()

    def open_attempt(self, effect: OpenAttempt, exchange: Exchange) -> None:
        """Start to send a request to a target."""
        if isinstance(exchange.spec.work, GenerationWork):
            work = self._run_generation(effect, exchange)
        else:
            work = self._call_service(effect, exchange)
        self._start(effect.attempt, work)

    def resume_attempt(self, effect: ResumeAttempt) -> None:
        """Start to resume a generation over a new connection."""
        self._start(effect.attempt, self._resume_generation(effect))

    def close_attempt(self, attempt: int) -> None:
        """Close the connection of an attempt, if it is open."""
        task = self._attempt_tasks.pop(attempt, None)
        if task is not None:
            task.cancel()

    def cancel_generation(self, effect: CancelGeneration) -> None:
        """Start to send the target a request to cancel a generation."""
        self._run_in_background(self._send_cancel(effect))

    def replace_pool(self, target: str) -> None:
        """Use new connections for later requests; requests in progress keep theirs."""
        self._pools.replace(target)

    def probe_target(self, target: str) -> None:
        """Start to probe a target; ``TargetDown`` is dispatched if it refuses.

        Nothing is dispatched if the probe fails in another way or times out.
        """
        self._run_in_background(self._probe(target))

    async def _probe(self, name: str) -> None:
        target = self._find_target(name)
        if target is None:
            return
        url = URL(target.address)
        try:
            listens = await is_listening(url.host or "", url.port or 0, PROBE_TIMEOUT)
        except OSError as error:
            # Whether the target listens is unknown if the link to it fails.
            _log.info("probe failed", extra={"target": name, "error": repr(error)})
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
        """Run an attempt and report any failure as a loss.

        Only a connection that was never established proves that no byte was sent;
        after any other failure the target may have begun to run the request.
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
            "Content-Length": str(len(exchange.body)),
        }
        async with self._pools.use(effect.target) as pool:
            async with pool.reused.post(
                target.address + exchange.path,
                data=build_data(exchange.body),
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
        reason = explain_incomplete(MarkedStream(splitter.ended))
        self._dispatch(AttemptLost(attempt, Loss.TRUNCATED, detail=reason))

    async def _report_status(
        self, attempt: int, response: aiohttp.ClientResponse
    ) -> None:
        detail = (await response.content.read(500)).decode(errors="replace")
        if response.status in _REFUSED_STATUSES:
            retry_after = _read_retry_after(response)
            event = AttemptLost(attempt, Loss.REFUSED, retry_after, detail)
            self._dispatch(event)
            return
        resuming = response.method == "GET"
        if response.status == 404 and resuming:
            self._dispatch(AttemptLost(attempt, Loss.NOT_FOUND, detail=detail))
            return
        # The target has accepted a request that is resumed, so that no other status
        # says anything about the request.
        if resuming or response.status >= 500 or response.status in _STRANGER_STATUSES:
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
        headers = exchange.headers
        if exchange.body:
            headers = {**headers, "Content-Length": str(len(exchange.body))}
        async with self._pools.use(effect.target) as pool:
            # If a kept-alive connection has broken unnoticed, it is unknown whether
            # a call sent over it ran. A call that may run only once gets a new
            # connection.
            session = pool.fresh if effect.once else pool.reused
            async with session.request(
                exchange.method,
                target.address + exchange.path,
                data=build_data(exchange.body),
                headers=headers,
                allow_redirects=False,
            ) as response:
                body, reason = await _read_service_body(
                    target, response, exchange.buffer
                )
        if reason:
            lost = AttemptLost(effect.attempt, Loss.TRUNCATED, detail=reason)
            self._dispatch(lost)
            return
        # An answer to a call that may run only once is recorded and replayed to every
        # later request with the same key, so that it has to be the target's own.
        if effect.once and response.status in _STRANGER_STATUSES:
            self._dispatch(AttemptLost(effect.attempt, Loss.FAILED))
            return
        if response.status in (_REFUSED_STATUSES if effect.once else (503,)):
            # A proxy in front of the service may return these statuses after the
            # call has run; sending the call again would then run it twice.
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
        # Without a cancellation the target generates the whole answer, which
        # nobody reads.
        for number in range(MAX_CANCEL_ATTEMPTS):
            if number:
                await asyncio.sleep(CANCEL_PAUSE * 2 ** (number - 1))
            try:
                async with self._pools.use(effect.target) as pool:
                    async with pool.fresh.delete(url, timeout=timeout) as response:
                        if not _is_unmet(response.status):
                            return
                        reason = f"answered {response.status}"
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                reason = repr(error)
            fields = {"target": effect.target, "error": reason}
            _log.info("cancellation not delivered", extra=fields)


def _is_unmet(status: int) -> bool:
    """Return whether an order with this answer may not have reached its target."""
    return status >= 500 or status in _REFUSED_STATUSES or status in _STRANGER_STATUSES


async def _read_service_body(
    target: ServiceInfo, response: aiohttp.ClientResponse, buffer: ExchangeBuffer | None
) -> tuple[bytes, str]:
    """Return the body of an answer, and why it is incomplete, or "".

    A body of an unsuccessful answer is passed on as it is.
    """
    if is_delimited(response) or not response.ok:
        return await read_body(response, MAX_ANSWER_BYTES, buffer), ""
    async with open_witness(URL(target.address), PROBE_TIMEOUT) as witness:
        body = await read_body(response, MAX_ANSWER_BYTES, buffer)
        outlived = witness is not None and await witness.answers(PROBE_TIMEOUT)
    return body, explain_incomplete(Body(False, len(body), outlived))


def _read_retry_after(response: aiohttp.ClientResponse) -> Millis | None:
    after = response.headers.get("Retry-After", "")
    if not after.isdecimal() or len(after) > MAX_PAUSE_DIGITS:
        return None
    return Millis(int(after) * 1000)


def _pick_headers(response: aiohttp.ClientResponse) -> dict[str, str]:
    headers = {}
    for name, value in response.headers.items():
        if name.lower() in _DROPPED_HEADERS:
            continue
        headers[name] = value
    return headers


async def _read_body_end(response: aiohttp.ClientResponse) -> None:
    # The end of the body often arrives shortly after the end marker. A connection
    # whose body is not read to its end cannot be reused, so that the next request
    # would have to open a new one.
    with suppress(aiohttp.ClientError, TimeoutError):
        async with asyncio.timeout(BODY_END_TIMEOUT):
            while await response.content.readany():
                continue
