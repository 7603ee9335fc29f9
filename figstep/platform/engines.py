"""HTTP client for the platform's targets: requests, queries and copies of runs."""

import asyncio
import errno
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import partial
from typing import Any, TypeVar

import aiohttp
import logbook
from mode import Service
from yarl import URL

from figstep.core.answers import Body, NumberedStream, explain_incomplete
from figstep.core.clock import Clock, Millis
from figstep.core.stalls import STALL_SLACK, StallWatch
from figstep.errors import FrameError
from figstep.gateway.edges import AnswerHead, TargetPort, WholeAnswer
from figstep.gateway.effects import Confirmation, CopyRun, OpenAttempt, StopRun
from figstep.gateway.events import (
    AnswerArrived,
    AnswerBegan,
    AttemptConnected,
    AttemptLost,
    BrittlenessNamed,
    EngineReported,
    Event,
    Loss,
    PiecesArrived,
    PromptListed,
    RateNamed,
    ReadingPaused,
    RestBegun,
    RunCopied,
    RunNotCopied,
    StreamClosed,
    StreamConfirmed,
    StreamEnded,
    StreamOpened,
    StreamPiece,
    StreamUnconfirmed,
    TargetChecked,
    TargetDown,
    TargetLeaving,
    TargetRestarted,
)
from figstep.gateway.runs import RunCopy, build_ordered_copy, is_outdated
from figstep.gateway.targets import Standing, Target, contradicts_registration
from figstep.net.buffers import ExchangeBuffer, UnreadAnswerError, build_data
from figstep.net.connectors import OpenedConnector, ResetAwareConnector
from figstep.net.frames import EventSplitter
from figstep.net.framing import is_delimited
from figstep.net.probes import is_listening
from figstep.net.reading import BodyTooLongError, SharedRoom, read_body
from figstep.net.sessions import open_target_session, trace_connections
from figstep.platform import answers, copies, names, relays, retention
from figstep.platform.callers import CallerExchange

_log = logbook.Logger("figstep.targets")

CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout of opening a connection, in seconds. Targets accept within a few
milliseconds, and a request whose connection was not opened has certainly not run."""

REPORT_TIMEOUT_SECONDS = 0.4
"""Timeout of a query of an engine's state, in seconds; the query needs no slot of the
engine."""

CONFIRM_TIMEOUT = Millis(500)
"""Time in milliseconds after which a target is not queried for its start again.

With the timeout of the last query, the caller's pause is shorter than the two seconds
after which callers abandon a stream.
"""

VERSION_TIMEOUT_SECONDS = 0.2
"""Longest time for which a new stream waits until its target states its start, in
seconds. Later it is delivered, and cannot be taken up until that has come."""

CONFIRM_PAUSE_SECONDS = 0.1
"""Pause before a target is queried for its start again, in seconds."""

EXIT_SECONDS = 0.1
"""Time in seconds within which a target that leaves has ended if it closed an answer as
it exits. It is asked after that whether it lives."""

SOURCE_TRIES = 3
"""Maximum number of queries of the source of a copy, if it resets them or this process
is held up."""

SOURCE_PAUSE_SECONDS = 0.02
"""Pause before the source of a copy is queried again, in seconds."""

SOURCE_TIMEOUT_SECONDS = 0.05
"""Timeout of a query of the source of a copy before the copy is used, in seconds. The
caller's stream pauses meanwhile, and engines answer within milliseconds."""

MIN_SILENCE = Millis(5)
"""Shortest time in milliseconds without a byte of a stream that shows that its target
had not ended it before; bytes that have arrived are read at once."""

STOP_DELAY_SECONDS = 0.05
"""Time in seconds before an engine is ordered to stop a run, and between two orders.
Most engines end a run with its connection, and reject the order then without work."""

QUICK_STOPS = 5
"""Number of orders to stop a run after which further ones are sent less often."""

STOP_PAUSE_SECONDS = 0.25
"""Time in seconds before the first of these further orders; it doubles with each."""

MAX_STOP_PAUSE_SECONDS = 1.0
"""Longest time in seconds between two orders to stop a run. Many streams may have left
one engine, and each has its own orders."""

UNMET_STATUSES = (408, 409, 429)
"""Statuses below 500 with which an order to stop a run is not carried out yet, as
another order on the run is in progress or the engine is too busy. One that engines
reject in another way is not repeated."""

MAX_ANSWER_BYTES = 8_388_608
"""Largest complete answer that may be sent to a caller, in bytes. A larger one counts
as a lost attempt."""

READ_BYTES = 16_384
"""Number of bytes of an answer that are read at once. The HTTP client holds twice as
many before it stops to read from a connection."""

ANSWER_SILENCE_SECONDS = 10.0
"""Time in seconds without a byte of an answer that has begun after which it counts as
broken. Its deadline no longer ends it, as late answers are delivered."""

MAX_REPORT_BYTES = 1_048_576
"""Largest report of an engine's state, in bytes; one names each run in some bytes."""

MAX_QUERIED_BYTES = 8_388_608
"""Bytes that all answers to queries and all refusals hold while they are read. A usual
one has some hundred bytes, a list of what an engine keeps some kilobytes."""

REFUSAL_TIMEOUT_SECONDS = 0.1
"""Timeout of reading the body of an answer that refuses a request, in seconds. The
request goes on to another target after that."""

MIN_DEADLINE = 1
"""Smallest deadline that is sent to a target, in milliseconds: targets reject 0."""

_SUPPRESSED_CLIENT_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")

_Result = TypeVar("_Result")

_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class Start(Enum):
    """What a target states of its start."""

    REGISTERED = "registered"  # or none is registered
    OTHER = "other"
    UNSTATED = "unstated"  # it answered, but states no start
    DOWN = "down"  # nothing listens at its address
    UNKNOWN = "unknown"  # no answer came that only a target gives


class TargetEdge(Service, TargetPort):
    """HTTP client for targets that opens a new connection for each request.

    A reused connection can deliver the answer of an earlier request, or be reset
    while the next one is sent, and then it is unknown whether that request ran. A new
    connection costs a millisecond and avoids both.
    """

    def __init__(
        self,
        clock: Clock,
        dispatch: Callable[[Event], None],
        find_exchange: Callable[[int], CallerExchange | None],
        find_target: Callable[[str], Target | None],
        own_host: str,
        stalls: StallWatch,
    ) -> None:
        """Prepare the client; no connection is opened before it starts.

        Args:
            clock: Clock of the deadlines.
            dispatch: Called with the event of each result.
            find_exchange: Returns the exchange of an open request, by number.
            find_target: Returns a target, by name.
            own_host: IP address by which other entries know this one.
            stalls: Tells since when the event loop is stalled.
        """
        super().__init__()
        self._own_host = own_host
        self._stalls = stalls
        self._relay_session: aiohttp.ClientSession | None = None
        self._clock = clock
        self._dispatch = dispatch
        self._find_exchange = find_exchange
        self._find_target = find_target
        self._session: aiohttp.ClientSession | None = None
        self._attempt_tasks: dict[int, asyncio.Task[None]] = {}
        self._accepted: dict[int, asyncio.Event] = {}
        self._background: set[asyncio.Task[Any]] = set()
        self._room = SharedRoom(MAX_QUERIED_BYTES)
        self._open: dict[int, OpenAttempt] = {}
        self._heads: dict[int, AnswerHead] = {}
        self._answers: dict[int, WholeAnswer] = {}
        self._witnesses: dict[int, asyncio.Task[_Witness | None]] = {}

    async def on_start(self) -> None:
        """Open the HTTP sessions."""
        connector = ResetAwareConnector(bounded=True, limit=0, force_close=True)
        self._session = open_target_session(
            connector,
            CONNECT_TIMEOUT_SECONDS,
            _SUPPRESSED_CLIENT_HEADERS,
            trace_connections(self._handle_connection),
            READ_BYTES,
        )
        # Entries accept requests only from the addresses of known entries.
        relay_connector = ResetAwareConnector(
            bounded=True, limit=0, force_close=True, local_addr=(self._own_host, 0)
        )
        self._relay_session = open_target_session(
            relay_connector,
            CONNECT_TIMEOUT_SECONDS,
            _SUPPRESSED_CLIENT_HEADERS,
            trace_connections(self._handle_connection),
            READ_BYTES,
        )

    async def on_stop(self) -> None:
        """Cancel all attempts and background tasks, and close the sessions."""
        # Attempts that end may leave background tasks.
        for tasks in (self._attempt_tasks.values(), self._background):
            ending = list(tasks)
            for task in ending:
                task.cancel()
            await asyncio.gather(*ending, return_exceptions=True)
        for session in (self._session, self._relay_session):
            if session is not None:
                await session.close()

    def _handle_connection(self, attempt: int | None) -> None:
        # Queries and orders carry no number of an attempt.
        if attempt is not None:
            self._dispatch(AttemptConnected(attempt))

    def open_attempt(self, effect: OpenAttempt) -> None:
        """Send a request to a target, or to another entry.

        The results are dispatched as events. AttemptLost is dispatched if the caller
        or the target is already gone.
        """
        exchange = self._find_exchange(effect.number)
        target = self._find_target(effect.target)
        if exchange is None or (target is None and effect.relay is None):
            self._schedule_loss(effect.attempt, "caller or target is gone")
            return
        if target is None:
            coroutine = self._run_attempt(effect, self._pass_on(effect, exchange))
        else:
            sending = self._send_request(effect, exchange, target)
            coroutine = self._run_attempt(effect, sending)
        task = asyncio.get_running_loop().create_task(coroutine)
        self._attempt_tasks[effect.attempt] = task
        self._open[effect.attempt] = effect
        task.add_done_callback(lambda _: self._open.pop(effect.attempt, None))

    def _schedule_loss(self, attempt: int, detail: str) -> None:
        event = AttemptLost(attempt, Loss.UNREACHED, detail=detail)
        asyncio.get_running_loop().call_soon(self._dispatch, event)

    def close_attempt(self, attempt: int) -> None:
        """Close an attempt's connection and stop reading its answer."""
        task = self._attempt_tasks.get(attempt)
        if task is not None:
            task.cancel()

    def find_head(self, attempt: int) -> AnswerHead:
        """Return the status and headers of an open attempt's stream."""
        return self._heads[attempt]

    def find_answer(self, attempt: int) -> WholeAnswer:
        """Return the complete answer of an attempt.

        It is available only while the event is handled that reports the answer.
        """
        return self._answers[attempt]

    async def _run_attempt(
        self, effect: OpenAttempt, sending: Coroutine[Any, Any, Event]
    ) -> None:
        number = effect.attempt
        try:
            event = await sending
        except answers.RefusedError as refusal:
            event = AttemptLost(
                number,
                refusal.loss,
                refusal.retry_after,
                detail="" if refusal.whole else "its answer does not end",
                endless=not refusal.whole,
            )
        except _CONNECT_ERRORS as error:
            event = AttemptLost(
                number,
                Loss.UNREACHED,
                detail=_describe_error(error),
                down=_is_connection_refused(error),
            )
        except (FrameError, aiohttp.InvalidURL, aiohttp.ClientResponseError) as error:
            event = AttemptLost(number, Loss.GARBLED, detail=_describe_error(error))
        except (aiohttp.ClientError, OSError) as error:
            event = AttemptLost(number, Loss.BROKEN, detail=_describe_error(error))
        finally:
            self._attempt_tasks.pop(number, None)
            self._drop_witness(number)
            # The event loop calls this after the event is dispatched below.
            asyncio.get_running_loop().call_soon(self._discard_answer, number)
        self._dispatch(event)

    def _discard_answer(self, attempt: int) -> None:
        self._heads.pop(attempt, None)
        self._answers.pop(attempt, None)

    async def _send_request(
        self, effect: OpenAttempt, exchange: CallerExchange, target: Target
    ) -> Event:
        assert self._session is not None
        if effect.source is not None and await self._is_outdated(effect.source):
            detail = "an engine of the copy has restarted"
            return AttemptLost(effect.attempt, Loss.OUTDATED_COPY, detail=detail)
        url = URL(f"http://{target.info.address}{exchange.path}", encoded=True)
        requested_at = self._clock.now()
        async with self._session.request(
            exchange.method,
            url,
            data=build_data(exchange.body),
            headers=self._build_headers(effect, exchange, target),
            allow_redirects=False,
            trace_request_ctx=effect.attempt,
        ) as response:
            self._dispatch_target_signals(response, target, requested_at)
            try:
                answers.check_answer(response, exchange.request_id)
            except answers.RefusedError as refusal:
                refusal.whole = await _is_whole(response, self._room)
                raise
            self._call_witness(effect, target, response)
            if effect.stream and response.status == 200:
                self._open_stream(effect, response)
                start = await self._await_start(effect, target)
                if start is Start.REGISTERED:
                    self._dispatch(StreamConfirmed(effect.attempt))
                elif effect.confirm in (Confirmation.VERSION, Confirmation.RECORD):
                    await self._wait_accepted(effect.attempt)
                elif effect.confirm is Confirmation.STREAM:
                    detail = f"start {start.value}"
                    return AttemptLost(effect.attempt, Loss.UNCONFIRMED, detail=detail)
                return await self._read_stream(effect, exchange, response)
            return await self._read_answer(effect, exchange, response)

    async def _await_start(self, effect: OpenAttempt, target: Target) -> Start:
        """Return what a target states of its start after it has accepted a stream.

        If the registered start is stated, no later incarnation writes the stream. A new
        stream waits only briefly; StreamConfirmed is dispatched if the answer is late.
        """
        match effect.confirm:
            case Confirmation.NONE | Confirmation.RECORD:
                return Start.UNSTATED
            case Confirmation.STREAM:
                return await self._confirm_start(target, effect.born)
        query = self._run_in_background(self._confirm_start(target, effect.born))
        await asyncio.wait({query}, timeout=VERSION_TIMEOUT_SECONDS)
        if query.done():
            return query.result()
        query.add_done_callback(partial(self._handle_late_start, effect.attempt))
        return Start.UNKNOWN

    async def _wait_accepted(self, attempt: int) -> None:
        """Wait until a stream may be read whose target has not stated its start."""
        accepted = self._accepted[attempt] = asyncio.Event()
        try:
            self._dispatch(StreamUnconfirmed(attempt))
            await accepted.wait()
        finally:
            del self._accepted[attempt]

    def accept_unconfirmed(self, attempt: int) -> None:
        """Read a new stream whose target has not stated its registered start."""
        accepted = self._accepted.get(attempt)
        if accepted is not None:
            accepted.set()

    def _handle_late_start(self, attempt: int, query: asyncio.Task[Start]) -> None:
        if not query.cancelled() and query.result() is Start.REGISTERED:
            self._dispatch(StreamConfirmed(attempt))

    async def _query_start(
        self, target: Target, session: aiohttp.ClientSession | None = None
    ) -> Start:
        """Return whether a target states the start that it registered.

        TargetRestarted is dispatched if it states another one.
        """
        info = target.info
        reply = await self._query_state(target, session)
        report = reply.report
        if report is None:
            return reply.start
        if info.born and not report.born:
            return Start.UNSTATED
        if not contradicts_registration(info, report.born):
            return Start.REGISTERED
        self._dispatch(TargetRestarted(info.incarnation, report.born))
        return Start.OTHER

    async def _is_outdated(self, copy: RunCopy) -> bool:
        """Return whether an engine of a copy has restarted, as far as can be known.

        The source of a copy on order is asked for its start, as its registration may
        not be read yet: after a restart it gives the names of its copies again. If it
        is silent, what is registered by the end of the query decides: copies are for
        streams whose engine is.
        """
        owner = self._find_target(copy.owner.target)
        if copy.on_order and owner is not None:
            await self._query_source(owner)
        return is_outdated(copy, self._find_target)

    async def _query_source(self, owner: Target) -> None:
        for number in range(SOURCE_TRIES):
            if number:
                await asyncio.sleep(SOURCE_PAUSE_SECONDS)
            asked_at = self._clock.now()
            try:
                async with asyncio.timeout(SOURCE_TIMEOUT_SECONDS):
                    start = await self._query_start(owner)
            except TimeoutError:
                if self._clock.now() - asked_at < SOURCE_TIMEOUT_SECONDS * 2_000:
                    return
                # This process was held up, and the answer may have arrived.
                continue
            if start is not Start.UNKNOWN:
                return

    async def _pass_on(self, effect: OpenAttempt, exchange: CallerExchange) -> Event:
        """Send a request to another entry, and return what it answers."""
        assert self._relay_session is not None
        assert effect.relay is not None
        url = URL(f"http://{effect.relay.address}{exchange.path}", encoded=True)
        remaining = Millis(max(MIN_DEADLINE, effect.deadline - self._clock.now()))
        relay_headers = relays.build_headers(
            effect.relay, exchange.credential, remaining, effect.after
        )
        async with self._relay_session.request(
            exchange.method,
            url,
            data=build_data(exchange.body),
            headers=[*exchange.headers, *relay_headers, *_state_length(exchange)],
            allow_redirects=False,
            trace_request_ctx=effect.attempt,
        ) as response:
            answers.check_answer(response, exchange.request_id)
            if effect.stream and response.status == 200:
                self._open_stream(effect, response)
                return await self._read_stream(effect, exchange, response)
            return await self._read_answer(effect, exchange, response)

    def _open_stream(
        self, effect: OpenAttempt, response: aiohttp.ClientResponse
    ) -> None:
        self._heads[effect.attempt] = answers.read_head(response)
        self._dispatch(StreamOpened(effect.attempt, is_delimited(response)))

    def _dispatch_target_signals(
        self, response: aiohttp.ClientResponse, target: Target, requested_at: Millis
    ) -> None:
        """Dispatch what an answer newly reports about its target."""
        signals = answers.read_target_signals(response)
        if signals.leaving and not target.announced_leaving:
            self._dispatch(TargetLeaving(target.info.incarnation))
        ends_rate = signals.ends_rate and target.is_limited
        if signals.rate is not None or ends_rate:
            self._dispatch(
                RateNamed(target.name, signals.rate, requested_at, response.status)
            )
        ends_brittleness = signals.ends_brittleness and target.named_brittle
        if signals.rejections is not None or ends_brittleness:
            self._dispatch(
                BrittlenessNamed(
                    target.name, signals.rejections, requested_at, response.status
                )
            )

    def _build_headers(
        self, effect: OpenAttempt, exchange: CallerExchange, target: Target
    ) -> list[tuple[str, str]]:
        remaining = max(MIN_DEADLINE, effect.deadline - self._clock.now())
        headers = list(exchange.headers)
        headers.append((names.DEADLINE, str(remaining)))
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
        if effect.keep is not None:
            headers.append((names.KEEP_RUN, str(effect.keep.duration)))
        if effect.source is not None:
            copy_source = f"{effect.source.address}/{effect.source.handle}"
            headers.append((names.COPY_SOURCE, copy_source))
        headers += _state_length(exchange)
        if not exchange.body and exchange.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", "0"))
        return headers

    async def _read_stream(
        self,
        effect: OpenAttempt,
        exchange: CallerExchange,
        response: aiohttp.ClientResponse,
    ) -> Event:
        attempt = effect.attempt
        delimited = is_delimited(response)
        splitter = EventSplitter()
        events = 0
        listing: asyncio.Task[None] | None = None
        has_begun = False
        going_at = read_at = self._clock.now()
        async for chunk in response.content.iter_any():
            going_at = self._find_last_going(going_at, read_at)
            if effect.after is not None and not has_begun:
                has_begun = True
                self._dispatch(RestBegun(attempt))
            pieces = [
                StreamPiece(event.index, event.data) for event in splitter.feed(chunk)
            ]
            events += len(pieces)
            if pieces and listing is None:
                listing = self._run_in_background(self._list_prompt(effect))
            if pieces:
                self._dispatch(PiecesArrived(attempt, pieces))
                if not exchange.buffer.may_read():
                    self._dispatch(ReadingPaused(attempt, True))
                    await exchange.buffer.wait_for_room()
                    self._dispatch(ReadingPaused(attempt, False))
            read_at = self._clock.now()
        going_at = self._find_last_going(going_at, read_at)
        end = NumberedStream(
            delimited,
            events,
            len(splitter.incomplete),
            continues=effect.after is not None,
        )
        reason = explain_incomplete(end)
        statement = retention.Statement()
        try:
            if not reason and not delimited:
                self._dispatch(StreamClosed(attempt))
                if listing is not None:
                    await asyncio.wait({listing})
                statement, start = await self._query_kept(effect, going_at)
                if statement.kept is None or statement.kept <= 0:
                    # A target that lists the run has not restarted.
                    outlived = await self._has_outlived(effect, response, start)
                    reason = explain_incomplete(replace(end, outlived=outlived))
        finally:
            # Also if the caller has left meanwhile: it may know its last event. Given
            # for a run that is not kept, the order may meet the next one of its part.
            if statement.kept is None or statement.kept > 0:
                self._release_kept(effect)
        if reason:
            return AttemptLost(attempt, Loss.BROKEN, detail=reason)
        return StreamEnded(
            attempt,
            confirmed=delimited,
            empty=not events,
            kept=statement.kept,
            lists_none=statement.lists_none,
        )

    def _find_last_going(self, going_at: Millis, read_at: Millis) -> Millis:
        """Return when a target certainly had not ended its stream, as bytes are read.

        Args:
            going_at: What was found as the bytes before were read.
            read_at: When the entry began to wait for these bytes.
        """
        now = self._clock.now()
        if now - read_at < MIN_SILENCE:
            # They may have waited in the socket.
            return going_at
        return max(read_at, Millis(self._stalls.find_earliest(now) - STALL_SLACK))

    async def _list_prompt(self, effect: OpenAttempt) -> None:
        """Learn how exactly an engine lists the prompt that it has begun to run."""
        target = self._find_target(effect.target)
        if effect.keep is None or not effect.keep.listed or target is None:
            return
        assert self._session is not None
        missing = await retention.query_prompt(
            self._session, target, effect.keep, self._room
        )
        self._dispatch(PromptListed(target.info.incarnation, missing))

    async def _query_kept(
        self, effect: OpenAttempt, going_at: Millis
    ) -> "tuple[retention.Statement, asyncio.Task[Start] | None]":
        """Return what the engine of a run states of it.

        That is nothing if the engine was not asked to keep the run, does not answer, or
        may have kept it no longer, as the run's end was read late.

        An engine that is slow to answer is asked for its start meanwhile, as its
        caller's stream waits. This query is returned as well if no list came.
        """
        target = self._find_target(effect.target)
        if effect.keep is None or target is None:
            return retention.Statement(), None
        assert self._session is not None
        until = Millis(going_at + effect.keep.duration)
        listing = self._run_in_background(
            retention.query_kept(
                self._session, self._clock, target, effect.keep, until, self._room
            )
        )
        await asyncio.wait({listing}, timeout=retention.LIST_TIMEOUT_SECONDS)
        if listing.done():
            return listing.result(), None
        start = self._run_in_background(self._confirm_start(target, effect.born))
        statement = await listing
        # A later incarnation may have given a list that does not show the run.
        return statement, start if statement.kept is None else None

    def _release_kept(self, effect: OpenAttempt) -> None:
        target = self._find_target(effect.target)
        if effect.keep is None or not effect.keep.released or target is None:
            return
        for other in self._open.values():
            if other.attempt == effect.attempt or other.keep is None:
                continue
            if (other.target, other.keep.part) == (effect.target, effect.keep.part):
                # The order names the part, and would release that run too. It is given
                # at the end of that one.
                return
        assert self._session is not None
        self._run_in_background(
            retention.release(self._session, target, effect.keep.part)
        )

    async def _read_answer(
        self,
        effect: OpenAttempt,
        exchange: CallerExchange,
        response: aiohttp.ClientResponse,
    ) -> Event:
        """Read an answer in full if the budget has room, else as its caller reads."""
        buffer = exchange.buffer
        if response.method != "HEAD":
            # An answer that is too long is found so as it is read.
            buffer.reserve(min(response.content_length or 0, MAX_ANSWER_BYTES))
        try:
            chunks = await _read_ahead(response, buffer)
            if chunks.ended:
                return await self._finish_answer(effect, response, chunks)
            if not _is_final(response.status):
                detail = f"no buffer for the answer {response.status}"
                return AttemptLost(effect.attempt, Loss.FAILED, detail=detail)
            return await self._pace_answer(effect, exchange, response, chunks)
        except BodyTooLongError as error:
            return AttemptLost(effect.attempt, Loss.GARBLED, detail=str(error))
        finally:
            if effect.attempt not in self._answers and exchange.head is None:
                buffer.drop()

    async def _pace_answer(
        self,
        effect: OpenAttempt,
        exchange: CallerExchange,
        response: aiohttp.ClientResponse,
        start: "_Chunks",
    ) -> Event:
        """Read the rest of an answer as fast as its caller reads."""
        attempt = effect.attempt
        head = answers.read_head(response)
        self._heads[attempt] = replace(head, length=response.content_length)
        self._dispatch(AnswerBegan(attempt))
        exchange.add(b"".join(start.parts))
        start.parts.clear()
        size = start.size
        try:
            while True:
                await exchange.buffer.wait_for_room()
                async with asyncio.timeout(ANSWER_SILENCE_SECONDS):
                    chunk = await response.content.read(READ_BYTES)
                if not chunk:
                    break
                size += len(chunk)
                if size > MAX_ANSWER_BYTES:
                    raise BodyTooLongError(f"answer exceeds {MAX_ANSWER_BYTES} bytes")
                exchange.buffer.add(len(chunk))
                exchange.add(chunk)
        except UnreadAnswerError as error:
            return AttemptLost(attempt, Loss.CUT, detail=str(error))
        except (aiohttp.ClientError, OSError) as error:
            if not exchange.buffer.paused or isinstance(error, BodyTooLongError):
                raise
            # The target gave up an answer that was not read: it has not failed.
            return AttemptLost(attempt, Loss.CUT, detail=_describe_error(error))
        ended = self._clock.now()
        reason = await self._explain_incomplete_body(effect, response, size)
        if reason:
            return AttemptLost(attempt, Loss.BROKEN, detail=reason, ended=ended)
        return AnswerArrived(attempt, response.status)

    async def _finish_answer(
        self, effect: OpenAttempt, response: aiohttp.ClientResponse, chunks: "_Chunks"
    ) -> Event:
        body = b"".join(chunks.parts)
        chunks.parts.clear()
        ended = self._clock.now()
        reason = await self._explain_incomplete_body(effect, response, len(body))
        if reason:
            return AttemptLost(effect.attempt, Loss.BROKEN, detail=reason, ended=ended)
        self._answers[effect.attempt] = WholeAnswer(answers.read_head(response), body)
        if _is_final(response.status):
            return AnswerArrived(effect.attempt, response.status)
        # Callers assume that a request with status 408, 429 or 503 did not run. The
        # target did not state "not run", so these statuses are not forwarded.
        forwarded_status = (
            None if response.status in (408, 429, 503) else response.status
        )
        return AttemptLost(
            effect.attempt,
            Loss.FAILED,
            retry_after=answers.read_retry_after(response),
            detail=f"answered {response.status}",
            status=forwarded_status,
        )

    async def _explain_incomplete_body(
        self, effect: OpenAttempt, response: aiohttp.ClientResponse, size: int
    ) -> str:
        """Return why a body that has ended is not complete; empty if it is."""
        if not response.ok:
            return ""
        outlived = await self._has_outlived(effect, response)
        return explain_incomplete(Body(is_delimited(response), size, outlived))

    async def _has_outlived(
        self,
        effect: OpenAttempt,
        response: aiohttp.ClientResponse,
        asked: asyncio.Task[Start] | None = None,
    ) -> bool:
        """Return whether a target states that it lives after its answer.

        It is not asked if the body is delimited, as the framing shows whether the
        answer is complete. An accepted connection states nothing: a proxy, a
        supervisor, or the kernel for a stopped process accepts for a target that has
        crashed.

        ``asked`` is the query of an engine's start that was begun already, if any.
        """
        if is_delimited(response):
            return True
        target = self._find_target(effect.target)
        if target is None or target.restarted or target.info.born != effect.born:
            return False
        # Plain services get no priority, and need not state their start.
        needs_start = effect.priority is not None
        if asked is not None:
            start: Start | None = await asked
        else:
            start = await self._query_witness(effect, target)
            if start in (None, Start.UNKNOWN):
                # A successor accepts new connections too. Streams may outlast the time
                # after which targets close idle ones.
                needs_start |= start is Start.UNKNOWN and not effect.stream
                start = await self._confirm_start(target, effect.born)
        is_unstated = start is Start.UNSTATED and not needs_start
        lives = start is Start.REGISTERED or is_unstated
        fields = {"target": target.name, "attempt": effect.attempt}
        _log.info("answer ended with its connection", extra={**fields, "lives": lives})
        return lives

    def _call_witness(
        self, effect: OpenAttempt, target: Target, response: aiohttp.ClientResponse
    ) -> None:
        """Begin to open a connection on which a target is asked whether it lives.

        Only a successful answer that ends with its connection needs it, of a target
        that may not state its start.
        """
        if effect.priority is not None or not response.ok or is_delimited(response):
            return
        self._witnesses[effect.attempt] = self._run_in_background(
            _open_witness(target, response)
        )

    def _drop_witness(self, attempt: int) -> None:
        opening = self._witnesses.pop(attempt, None)
        if opening is not None:
            opening.cancel()
            opening.add_done_callback(_abandon_witness)

    async def _query_witness(self, effect: OpenAttempt, target: Target) -> Start | None:
        """Query a target for its start on the connection opened during its answer.

        A target that shuts down in order refuses new connections while it finishes its
        answers, and answers on this one.

        Returns:
            The start, UNKNOWN if the connection was refused or is lost; None if there
            was none before the end of the answer.
        """
        opening = self._witnesses.get(effect.attempt)
        witness = None if opening is None else await opening
        if witness is None:
            return None
        if target.standing is not Standing.READY:
            # Also a process that exits may close what it has not finished in order.
            await asyncio.sleep(EXIT_SECONDS)
        async with open_target_session(
            witness.connector,
            CONNECT_TIMEOUT_SECONDS,
            _SUPPRESSED_CLIENT_HEADERS,
            read_bytes=READ_BYTES,
        ) as session:
            start = await self._query_start(target, session)
        if start is Start.REGISTERED and target.info.born != effect.born:
            return Start.OTHER
        return start if witness.is_early or start is not Start.UNKNOWN else None

    async def _states_life(self, target: Target) -> bool:
        """Return whether a target states that it has not restarted."""
        start = await self._confirm_start(target, target.info.born)
        return start is Start.REGISTERED

    async def _confirm_start(self, target: Target, born: int) -> Start:
        """Query a target for its start, again if no answer comes.

        One that has too many connections resets further ones for a moment. ``born`` is
        the registered start in question: it may be registered anew meanwhile.
        """
        until = self._clock.now() + CONFIRM_TIMEOUT
        while True:
            start = await self._query_start(target)
            if start is Start.REGISTERED and target.info.born != born:
                return Start.OTHER
            if start is not Start.UNKNOWN or self._clock.now() >= until:
                return start
            await asyncio.sleep(CONFIRM_PAUSE_SECONDS)

    def copy_run(self, effect: CopyRun) -> None:
        """Order an engine to copy a run to another engine.

        RunCopied or RunNotCopied is dispatched unless the caller or one of the engines
        is gone.
        """
        self._run_in_background(self._order_copy(effect))

    def stop_run(self, effect: StopRun) -> None:
        """Order an engine to stop a run whose connection is closed.

        The order is repeated until the engine confirms it, the engine has ended or the
        request's deadline has passed. Nothing is ordered once the request is at that
        engine again. Failures are only logged.
        """
        destination = self._find_target(effect.destination)
        if destination is not None:
            address = destination.info.address
            self._run_in_background(self._stop_run(effect, address))

    def drop_copy(self, copy: RunCopy) -> None:
        """Free a copy of a run at the engine that made it on order.

        The copy is left to the engine, which frees unused ones by itself, if that does
        not state that it has not restarted. A failure is only logged.
        """
        self._run_in_background(self._free_copy(copy))

    def probe_target(self, target: str) -> None:
        """Probe whether a target still listens at its address.

        TargetDown is dispatched if the address refuses the connection.
        """
        self._run_in_background(self._probe(target))

    async def _probe(self, name: str) -> None:
        target = self._find_target(name)
        if target is None:
            return
        incarnation, opened = target.info.incarnation, self._clock.now()
        # A network failure does not prove that the target is down.
        if await _listens(target) is False:
            self._dispatch(TargetDown(incarnation, opened))

    def check_target(self, target: str, asks_life: bool = False) -> None:
        """Check whether a connection to a target can be established.

        The result is dispatched as TargetChecked.
        """
        self._run_in_background(self._check(target, asks_life))

    async def _check(self, name: str, asks_life: bool) -> None:
        target = self._find_target(name)
        if target is None:
            return
        opened = self._clock.now()
        incarnation = target.info.incarnation
        listens = await _listens(target)
        reached = listens is True
        lives = None
        if asks_life:
            lives = reached and await self._states_life(target)
        refused = incarnation if listens is False else None
        self._dispatch(TargetChecked(name, opened, reached, lives, refused))

    def read_report(self, target: str) -> None:
        """Query an engine for its state.

        The report is dispatched as EngineReported, or as TargetRestarted if the engine
        has restarted; a failure is only logged.
        """
        self._run_in_background(self._read_report(target))

    async def _read_report(self, name: str) -> None:
        target = self._find_target(name)
        if target is None:
            return
        info = target.info
        opened = self._clock.now()
        reply = await self._query_state(target)
        if reply.start is Start.DOWN:
            self._dispatch(TargetDown(info.incarnation, opened))
        report = reply.report
        if report is None:
            return
        if contradicts_registration(info, report.born):
            self._dispatch(TargetRestarted(info.incarnation, report.born))
            return
        self._dispatch(report)

    async def _query_state(
        self, target: Target, session: aiohttp.ClientSession | None = None
    ) -> "_Reply":
        """Query a target for its state; a failure is logged.

        Plain services give no report: they reject the query, which bears no id of a
        request, as not run. A new connection is opened if no session is given.
        """
        session = session or self._session
        assert session is not None
        url = f"http://{target.info.address}/figstep/report"
        requested_at = self._clock.now()
        try:
            async with (
                asyncio.timeout(REPORT_TIMEOUT_SECONDS),
                session.get(
                    url, headers={names.EXPECTED_TARGET: target.name}
                ) as response,
            ):
                self._dispatch_target_signals(response, target, requested_at)
                if answers.rejects_query(response):
                    return _Reply(None, Start.UNSTATED)
                body = await read_body(response, MAX_REPORT_BYTES, room=self._room)
            if response.status != 200:
                raise ValueError(f"answered {response.status}")
            return _Reply(answers.parse_report(target.name, body))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            _log.info(
                "cannot read engine report",
                extra={"target": target.name, "error": _describe_error(error)},
            )
            is_down = _is_connection_refused(error)
            return _Reply(None, Start.DOWN if is_down else Start.UNKNOWN)

    def _run_in_background(
        self, coroutine: Coroutine[Any, Any, _Result]
    ) -> asyncio.Task[_Result]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    async def _order_copy(self, effect: CopyRun) -> None:
        assert self._session is not None
        exchange = self._find_exchange(effect.number)
        source = self._find_target(effect.source)
        holder = self._find_target(effect.holder)
        if exchange is None or source is None or holder is None:
            return
        requested_at = self._clock.now()
        made = await copies.order_copy(
            self._session,
            source.info.address,
            holder.info.address,
            exchange.request_id or "",
            lambda answer: self._dispatch_target_signals(answer, source, requested_at),
        )
        if made.handle:
            copy = build_ordered_copy(source, holder, made.handle)
            self._dispatch(RunCopied(effect.number, copy))
            return
        self._dispatch(
            RunNotCopied(effect.number, effect.source, effect.holder, made.detail)
        )

    async def _stop_run(self, effect: StopRun, destination: str) -> None:
        assert self._session is not None
        orders = 0
        pause = STOP_PAUSE_SECONDS
        while self._clock.now() < effect.until:
            if orders < QUICK_STOPS:
                await asyncio.sleep(STOP_DELAY_SECONDS)
            else:
                await asyncio.sleep(pause)
                pause = min(2 * pause, MAX_STOP_PAUSE_SECONDS)
            source = self._find_target(effect.target.target)
            if source is None or source.info.incarnation != effect.target:
                return
            if source.ended_at is not None or self._is_open_at(effect):
                return
            orders += 1
            requested_at = self._clock.now()
            stopped = await copies.order_copy(
                self._session,
                source.info.address,
                destination,
                effect.request,
                partial(
                    self._dispatch_target_signals,
                    target=source,
                    requested_at=requested_at,
                ),
                stop=True,
            )
            fields = {"request": effect.request, "target": source.name}
            _log.info("run ordered to stop", extra={**fields, "detail": stopped.detail})
            if stopped.handle:
                # The request goes on from an earlier copy.
                await copies.free_copy(
                    self._session, source.info.address, stopped.handle
                )
            if _confirms_stop(stopped):
                return

    def _is_open_at(self, effect: StopRun) -> bool:
        """Return whether a request has an open attempt at the engine of a stop."""
        for opened in self._open.values():
            if opened.number == effect.number and opened.target == effect.target.target:
                return True
        return False

    async def _free_copy(self, copy: RunCopy) -> None:
        assert self._session is not None
        owner = self._find_target(copy.owner.target)
        if owner is None or is_outdated(copy, self._find_target):
            return
        if await self._query_start(owner) is Start.REGISTERED:
            await copies.free_copy(self._session, copy.address, copy.handle)


def _confirms_stop(stopped: copies.MadeCopy) -> bool:
    """Return whether a run that was ordered to stop does not go on.

    The engine names the memory of a run that it has stopped, and rejects an order on
    one that it does not have. A gateway may answer for it with any status from 500 on.
    """
    if stopped.handle:
        return True
    return 400 <= stopped.status < 500 and stopped.status not in UNMET_STATUSES


def _state_length(exchange: CallerExchange) -> list[tuple[str, str]]:
    """Return the header that states the length of a body, if there is one."""
    if not exchange.body:
        return []
    return [("Content-Length", str(len(exchange.body)))]


@dataclass(frozen=True, slots=True)
class _Reply:
    """Reply to a query of a target's state.

    Attributes:
        report: Report of an engine; None if there is none.
        start: What is known of its start without a report.
    """

    report: EngineReported | None
    start: Start = Start.UNKNOWN


@dataclass(frozen=True, slots=True)
class _Witness:
    """Connection to a target beside that of its answer.

    Attributes:
        connector: Connector of the connection; it has none if it was refused.
        is_early: Whether the answer had not ended by then.
    """

    connector: OpenedConnector
    is_early: bool


@dataclass(slots=True)
class _Chunks:
    """Start of an answer, or all of it.

    Attributes:
        size: Number of bytes read.
        ended: Whether the answer has ended.
    """

    parts: list[bytes] = field(default_factory=list)
    size: int = 0
    ended: bool = False


async def _read_ahead(
    response: aiohttp.ClientResponse, buffer: ExchangeBuffer
) -> _Chunks:
    """Read an answer until its end, or until the budget has no room to go on.

    Raises:
        BodyTooLongError: If the answer exceeds ``MAX_ANSWER_BYTES``.
    """
    chunks = _Chunks()
    while buffer.may_read():
        chunk = await response.content.read(READ_BYTES)
        if not chunk:
            chunks.ended = True
            break
        chunks.size += len(chunk)
        if chunks.size > MAX_ANSWER_BYTES:
            response.close()
            raise BodyTooLongError(f"answer exceeds {MAX_ANSWER_BYTES} bytes")
        buffer.add(len(chunk))
        chunks.parts.append(chunk)
    return chunks


def _is_final(status: int) -> bool:
    """Return whether an answer with this status is sent to the caller as it is."""
    return status < 500 and status not in (408, 429)


async def _listens(target: Target) -> bool | None:
    """Return whether a target accepts a connection; None if it was not reached."""
    host, _, port = target.info.address.rpartition(":")
    try:
        return await is_listening(host, int(port), CONNECT_TIMEOUT_SECONDS)
    except OSError as error:
        _log_unreached(target, error)
        return None


def _log_unreached(target: Target, error: OSError) -> None:
    fields = {"target": target.name, "error": _describe_error(error)}
    _log.info("target not reached", extra=fields)


async def _open_witness(
    target: Target, response: aiohttp.ClientResponse
) -> _Witness | None:
    """Open a connection while an answer arrives; None if there is no time or none."""
    if response.content.is_eof():
        return None
    connector = OpenedConnector()
    host, _, port = target.info.address.rpartition(":")
    try:
        await connector.open(host, int(port), CONNECT_TIMEOUT_SECONDS)
    except ConnectionRefusedError as error:
        _log_unreached(target, error)
    except OSError as error:
        _log_unreached(target, error)
        return None
    return _Witness(connector, is_early=not response.content.is_eof())


def _abandon_witness(opening: asyncio.Task[_Witness | None]) -> None:
    if opening.cancelled():
        return
    witness = opening.result()
    if witness is not None:
        witness.connector.abandon()


async def _is_whole(response: aiohttp.ClientResponse, room: SharedRoom) -> bool:
    """Return whether the body of a refusal ends, and soon."""
    try:
        async with asyncio.timeout(REFUSAL_TIMEOUT_SECONDS):
            await read_body(response, MAX_ANSWER_BYTES, room=room)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        _log.info("refusal not whole", extra={"error": _describe_error(error)})
        return False
    return True


def _is_connection_refused(error: BaseException) -> bool:
    """Return whether a connection failed because no process listens at the address."""
    if not isinstance(error, aiohttp.ClientConnectorError):
        return False
    return error.os_error.errno == errno.ECONNREFUSED


def _describe_error(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"[:200]
