"""The gateway: owns the state, reduces events and performs effects."""

import asyncio
from collections import deque

import logbook
from mode import Service

from figstep.core.clock import Clock, Millis
from figstep.core.problems import Problem, Ran
from figstep.core.stalls import StallWatch
from figstep.gateway.edges import CallerPort, HistoryPort, PeerPort, TargetPort
from figstep.gateway.effects import (
    AcceptUnconfirmed,
    Announce,
    AnnounceTarget,
    Answer,
    BeginStream,
    BreakStream,
    CheckTarget,
    CloseAttempt,
    CopyRun,
    Count,
    Deliver,
    DropCopy,
    Effect,
    FetchRecords,
    FinishStream,
    Note,
    Observe,
    OpenAttempt,
    ProbeTarget,
    ReadReport,
    ReadVersions,
    Refuse,
    StopRun,
    WriteHistory,
)
from figstep.gateway.events import Event, RequestArrived, Ticked
from figstep.gateway.measures import GatewayMeasures
from figstep.gateway.reducer import reduce
from figstep.gateway.state import State

_log = logbook.Logger("figstep.gateway")

BUSY_TICK_SECONDS = 0.03
"""Time between two checks of timeouts while requests are open, in seconds. It is a
sixth of the default longest pause of a stream, as a stream that stalls has to resume
within the rest of the pause."""

IDLE_TICK_SECONDS = 0.5
"""Time between two checks of timeouts while no request is open, in seconds."""

_INTERNAL = Problem(
    500,
    "internal_error",
    "this entry failed; where it may have run, ask before sending again",
    Ran.UNKNOWN,
)


class Gateway(Service):
    """Runs the reducer on events and performs the effects that it returns.

    The ports have to be set before the service starts.

    Attributes:
        known: State of the gateway; changed by its reducer only.
        stalls: Tells since when the event loop is stalled.
    """

    targets: TargetPort
    callers: CallerPort
    peers: PeerPort
    history: HistoryPort

    def __init__(self, state: State, clock: Clock, measures: GatewayMeasures) -> None:
        super().__init__()
        self.known = state
        self.measures = measures
        self.stalls = StallWatch(clock.now())
        self._clock = clock
        self._events: deque[Event] = deque()
        self._reducing = False

    def dispatch(self, event: Event) -> None:
        """Reduce an event and perform its effects.

        An event that is dispatched while another one is handled is queued until all
        effects of that one are performed.
        """
        self._events.append(event)
        if self._reducing:
            return
        self._reducing = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._reducing = False

    def _handle(self, event: Event) -> None:
        try:
            for effect in reduce(self.known, event, self._clock.now()):
                self._perform(effect)
        except Exception:
            # An event that fails unexpectedly must not end the task that dispatched
            # it. All callers depend on tasks such as the timer or the store's reader.
            kind = type(event).__name__
            _log.exception("event failed", extra={"event": kind})
            self.measures.count("failed_events", (kind,))
            if isinstance(event, RequestArrived):
                self.callers.refuse(event.request.number, _INTERNAL)

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Deliver(number=number, data=data):
                self.callers.deliver(number, data)
            case OpenAttempt():
                self.targets.open_attempt(effect)
                if effect.priority is not None:
                    # Until the other entries know of the attempt, they choose the
                    # same engine.
                    self.peers.announce()
            case CloseAttempt(attempt=attempt):
                self.targets.close_attempt(attempt)
            case AcceptUnconfirmed(attempt=attempt):
                self.targets.accept_unconfirmed(attempt)
            case BeginStream(number=number, attempt=attempt):
                self.callers.begin_stream(number, self.targets.find_head(attempt))
            case FinishStream(number=number):
                self.callers.finish_stream(number)
            case BreakStream(number=number):
                self.callers.break_stream(number)
            case Answer(number=number, attempt=attempt):
                self.callers.answer(number, self.targets.find_answer(attempt))
            case Refuse(number=number, problem=problem):
                self.callers.refuse(number, problem)
            case CopyRun():
                self.targets.copy_run(effect)
                # Until the other entries know of the copy, they use the same links.
                self.peers.announce()
            case StopRun():
                self.targets.stop_run(effect)
            case DropCopy(copy=copy):
                self.targets.drop_copy(copy)
            case WriteHistory():
                self.history.write_history(effect)
            case ReadVersions():
                self.history.read_versions()
            case ReadReport(target=target):
                self.targets.read_report(target)
            case ProbeTarget(target=target):
                self.targets.probe_target(target)
            case CheckTarget(target=target, asks_life=asks_life):
                self.targets.check_target(target, asks_life)
            case FetchRecords(address=address):
                self.peers.fetch_records(address)
            case Announce():
                self.peers.announce()
            case AnnounceTarget(target=target):
                self.peers.announce_target(target)
            case Count(name=name, labels=labels):
                self.measures.count(name, labels)
            case Observe(name=name, millis=millis, label=label):
                self.measures.observe(name, millis, label)
            case Note(message=message, fields=fields):
                _log.info(message, extra=dict(fields))

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            known = self.known
            busy = bool(known.requests or known.returns or known.history.awaited)
            wait = BUSY_TICK_SECONDS if busy else IDLE_TICK_SECONDS
            self.stalls.expect(self._clock.now(), Millis(round(wait * 1_000)))
            await asyncio.sleep(wait)
            self.dispatch(Ticked())
