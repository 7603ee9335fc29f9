"""Application of one entry: holds the state, starts the edges, runs the effects."""

import asyncio
import os
import random
import time
from collections import deque
from contextlib import suppress
from typing import Any

import logbook
from mode import Service

from figstep.core.clock import Clock, Millis
from figstep.core.configuration import encode_snapshot
from figstep.core.effects import (
    AppendRecords,
    CancelGeneration,
    CloseAttempt,
    Complete,
    Count,
    Deliver,
    DiscardDelivered,
    Effect,
    FetchCheckpoint,
    Note,
    OpenAttempt,
    ProbeTarget,
    ReadConfigurationFrom,
    Refuse,
    ReplacePool,
    ReplayAnswer,
    ResumeAttempt,
    SendGossip,
    SendOrder,
    WakeAt,
)
from figstep.core.events import (
    CallerGone,
    Event,
    RecordsRead,
    ShutdownForced,
    ShutdownRequested,
    Started,
    Timer,
    TimerFired,
)
from figstep.core.inventory import EngineInfo, TargetInfo
from figstep.core.problems import Problem
from figstep.core.records import CLAIMS, CONFIGURATION, LEASES, LogRecord
from figstep.core.reducer import reduce
from figstep.core.state import State
from figstep.core.watch import list_watched
from figstep.metrics import MemoryMetrics, Metrics, StatsdMetrics
from figstep.net.callers import CallerEdge
from figstep.net.clock import SystemClock
from figstep.net.configuration import parse_record
from figstep.net.exchanges import REPLAYED_HEADER, Exchange, ServiceAnswer
from figstep.net.instances import InstanceEdge
from figstep.net.log import HttpLog, LogClient
from figstep.net.orders import OrderEdge
from figstep.net.peers import PeerEdge
from figstep.net.reports import ReportEdge
from figstep.net.streams import StreamAppender, StreamFollower
from figstep.net.targets import TargetEdge
from figstep.reporting import Load, LoadReporter
from figstep.settings import Settings

_log = logbook.Logger("figstep")

# Maximum number of configuration records in one read. A document of a large fleet
# is large and slow to parse: an entry that read all kept records at once after its
# start would block its event loop and use much memory.
MAX_DOCUMENTS_PER_READ = 4
# Interval at which a drain checks whether requests and unsent bytes are left.
DRAIN_POLL_SECONDS = 0.05
# Maximum time that a forced stop waits until its error answers are sent.
FORCED_STOP_TIMEOUT_SECONDS = 2.0
# Pause between reads of the lease stream, so that one read returns several records.
LEASES_READ_DELAY_SECONDS = 2.0


class Application(Service):
    """One entry instance.

    The reducer handles one event at a time, and the effects that it returns run
    immediately. Events that arise while an event or its effects are handled are
    queued until all of these effects have run.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock | None = None,
        log: LogClient | None = None,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock or SystemClock()
        self.metrics = _build_metrics(settings)
        self.entry_state = State(
            settings.node,
            settings.failure_domain,
            random.Random(int.from_bytes(os.urandom(16))),
            retention=Millis(round(settings.platform.log_retention_seconds * 1000)),
        )
        self.entry_state.leases.session = os.urandom(8).hex()
        self.exchanges: dict[str, Exchange] = {}
        self._events: deque[Event] = deque()
        self._reducing = False
        self._timers: dict[Timer, asyncio.TimerHandle] = {}
        self._log_client = log or HttpLog(settings.platform.log)
        self.callers = CallerEdge(
            settings,
            self.clock,
            self.metrics,
            self.dispatch,
            self.exchanges,
            lambda: self.entry_state.inventory,
            self.read_status,
        )
        self.targets = TargetEdge(
            self.dispatch,
            self.find_target,
            bounded=settings.limits.memory_bytes is not None,
        )
        self.reports = ReportEdge(self.dispatch, self.list_watched)
        self.configuration = StreamFollower(
            self._log_client,
            CONFIGURATION,
            self._handle_configuration_records,
            dispatch=self.dispatch,
            limit=MAX_DOCUMENTS_PER_READ,
        )
        self.claims = StreamFollower(
            self._log_client, CLAIMS, self._handle_claim_records, dispatch=self.dispatch
        )
        self.appender = StreamAppender(self._log_client, self.dispatch)
        self.leases = StreamFollower(
            self._log_client,
            LEASES,
            self._handle_lease_records,
            dispatch=self.dispatch,
            read_delay=LEASES_READ_DELAY_SECONDS,
        )
        self.orders = OrderEdge(self.dispatch, self.find_target, self.clock)
        self.peers = PeerEdge(
            settings.peers,
            time.time_ns() // 1_000_000,
            self.dispatch,
            self._read_snapshot,
        )
        self.instances = InstanceEdge(
            settings.platform.instances,
            self.dispatch,
            lambda: 1 + len(self.entry_state.membership.members),
        )
        self.reporter = LoadReporter(self.metrics, self.read_load)

    async def on_start(self) -> None:
        """Start the edges; the listener for callers opens last."""
        edges = (
            self.targets,
            self.reports,
            self.appender,
            self.leases,
            self.orders,
            self.peers,
            self.configuration,
            self.claims,
            self.instances,
            self.reporter,
            self.callers,
        )
        for edge in edges:
            await self.add_runtime_dependency(edge)
        self.dispatch(Started())

    async def on_stop(self) -> None:
        """Cancel all timers."""
        for handle in self._timers.values():
            handle.cancel()

    async def on_shutdown(self) -> None:
        """Close the log client, which the edges use until they have stopped."""
        await self._log_client.close()

    async def drain(self) -> None:
        """Shut down gracefully: become unready, then finish every open request.

        New requests are still accepted for ``notice_seconds``. There is no time
        limit for open requests. Once all of them have ended, unsent bytes of their
        answers are awaited for at most ``stalled_seconds``.
        """
        self.callers.ready = False
        await asyncio.sleep(self.settings.notice_seconds)
        self.dispatch(ShutdownRequested())
        # If the outcome of a claim is not written to the log, its caller and any
        # duplicate of the request are answered "unknown" permanently.
        while self._is_busy():
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        await self._flush_answers()

    async def _flush_answers(self) -> None:
        # Bytes of an answer may still be in the send buffer, and are lost when the
        # process exits. Without the timeout, a caller that reads nothing would
        # block the exit indefinitely.
        with suppress(TimeoutError):
            async with asyncio.timeout(self.settings.limits.stalled_seconds):
                while self.callers.unsent_bytes:
                    await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def force_stop(self) -> None:
        """End every open request with a typed error.

        Streams are not cancelled at their targets, so that their callers can resume
        them through another entry; all other requests are cancelled there. The error
        answers are awaited for at most ``FORCED_STOP_TIMEOUT_SECONDS``.
        """
        self.callers.ready = False
        self.dispatch(ShutdownForced())
        with suppress(TimeoutError):
            async with asyncio.timeout(FORCED_STOP_TIMEOUT_SECONDS):
                while self.exchanges or self.callers.unsent_bytes:
                    await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _is_busy(self) -> bool:
        state = self.entry_state
        if state.requests or state.claims.unconfirmed:
            return True
        return bool(self.exchanges) or not self.appender.idle

    def _handle_configuration_records(self, records: list[LogRecord]) -> None:
        for record in records:
            fold = self.entry_state.configuration
            if record.offset > fold.position:
                self.dispatch(parse_record(record, fold.current))

    def _handle_claim_records(self, records: list[LogRecord]) -> None:
        self.dispatch(RecordsRead(CLAIMS, tuple(records)))

    def _read_snapshot(self) -> dict[str, Any] | None:
        fold = self.entry_state.configuration
        if fold.current is None or fold.kept is not None:
            return None
        return encode_snapshot(fold.current, fold.position)

    def _handle_lease_records(self, records: list[LogRecord]) -> None:
        self.dispatch(RecordsRead(LEASES, tuple(records)))

    def find_target(self, name: str) -> TargetInfo | None:
        """Return the inventory record of a target, or None if it is unknown."""
        target = self.entry_state.targets.get(name)
        return None if target is None else target.info

    def list_watched(self) -> list[EngineInfo]:
        """Return the engines whose load reports this entry polls."""
        return list_watched(self.entry_state, self.clock.now())

    def read_load(self) -> Load:
        """Return the values of the gauges."""
        targets = self.entry_state.targets.values()
        return Load(
            requests=len(self.entry_state.requests),
            queued=len(self.entry_state.queue),
            streams=len(self.callers.streams),
            targets=len(targets),
            leaving=sum(not target.accepts_work for target in targets),
            configuration_offset=self.entry_state.configuration_offset,
        )

    def read_status(self) -> dict[str, Any]:
        """Return the document that ``GET /status`` serves."""
        targets = {}
        for name, target in self.entry_state.targets.items():
            targets[name] = {
                "in_flight": target.in_flight,
                "peers_in_flight": target.peers_in_flight,
                "leaving": target.leaving or target.listed_leaving,
                "draining": target.draining,
            }
        return {
            "node": self.settings.node,
            "configuration_offset": self.entry_state.configuration_offset,
            "configuration_position": self.entry_state.configuration.position,
            "configuration_stalled": self.entry_state.configuration.stalled,
            "ready": self.callers.ready,
            "requests": len(self.entry_state.requests),
            "targets": targets,
            "peers": {
                name: member.status.name.lower()
                for name, member in self.entry_state.membership.members.items()
            },
            "control": {
                "address": self.peers.address,
                "bytes_sent": self.peers.bytes_sent,
                "bytes_received": self.peers.bytes_received,
                "rejected": self.peers.rejected,
                "processor_seconds": time.process_time(),
            },
        }

    def dispatch(self, event: Event) -> None:
        """Reduce an event and run its effects, or queue it while another is handled."""
        self._events.append(event)
        if self._reducing:
            return
        self._reducing = True
        try:
            while self._events:
                now = self.clock.now()
                for effect in reduce(self.entry_state, self._events.popleft(), now):
                    self._perform(effect)
        finally:
            self._reducing = False

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Deliver(request=request, frames=frames):
                self._deliver(request, frames)
            case Count(name=name, value=value):
                self.metrics.count(name, value)
            case OpenAttempt():
                self.targets.open_attempt(effect, self.exchanges[effect.request])
            case ResumeAttempt():
                self.targets.resume_attempt(effect)
            case CloseAttempt(attempt=attempt):
                self.targets.close_attempt(attempt)
            case ReplacePool(target=target):
                self.targets.replace_pool(target)
            case ProbeTarget(target=target):
                self.targets.probe_target(target)
            case CancelGeneration():
                self.targets.cancel_generation(effect)
            case Complete(request=request):
                self._end_exchange(request, None)
            case ReplayAnswer():
                self._replay_answer(effect)
            case Refuse(request=request, problem=problem):
                self._end_exchange(request, problem)
            case DiscardDelivered(request=request):
                exchange = self.exchanges.get(request)
                if exchange is not None:
                    exchange.discard()
            case WakeAt(timer=timer, at=at):
                self._set_timer(timer, at)
            case SendGossip(address=address, gossip=gossip):
                self.peers.send(address, gossip)
            case FetchCheckpoint(address=address):
                self.peers.fetch(address)
            case ReadConfigurationFrom(offset=offset):
                self.configuration.read_from(offset)
            case AppendRecords():
                self.appender.append(effect)
            case SendOrder():
                self.orders.send_order(effect)
            case Note(message=message, fields=fields):
                _log.info(message, extra=dict(fields))

    def _replay_answer(self, effect: ReplayAnswer) -> None:
        exchange = self.exchanges.get(effect.request)
        if exchange is not None:
            headers = {REPLAYED_HEADER: "true"}
            if effect.content_type:
                headers["Content-Type"] = effect.content_type
            exchange.answer = ServiceAnswer(effect.status, headers, effect.body)
        self._end_exchange(effect.request, None)

    def _deliver(self, request: str, frames: list[bytes]) -> None:
        exchange = self.exchanges.get(request)
        if exchange is None or exchange.deliver(frames):
            return
        self.metrics.count("callers.cut")
        self.dispatch(CallerGone(request))

    def _end_exchange(self, request: str, problem: Problem | None) -> None:
        exchange = self.exchanges.get(request)
        if exchange is not None:
            exchange.end(problem)

    def _set_timer(self, timer: Timer, at: int) -> None:
        previous = self._timers.pop(timer, None)
        if previous is not None:
            previous.cancel()
        delay = max(0, at - self.clock.now()) / 1000
        loop = asyncio.get_running_loop()
        self._timers[timer] = loop.call_later(delay, self._fire_timer, timer)

    def _fire_timer(self, timer: Timer) -> None:
        self._timers.pop(timer, None)
        self.dispatch(TimerFired(timer))


def _build_metrics(settings: Settings) -> Metrics:
    if settings.statsd is None:
        return MemoryMetrics()
    return StatsdMetrics(settings.statsd.host, settings.statsd.port, settings.node)
