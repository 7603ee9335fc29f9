"""Simulation of one run: reducer, engine models and callers on a simulated clock."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from figstep.core.clock import Millis
from figstep.core.configuration import apply_inventory, set_policy
from figstep.core.effects import (
    CancelGeneration,
    CloseAttempt,
    Complete,
    Deliver,
    Effect,
    OpenAttempt,
    Refuse,
    ResumeAttempt,
    WakeAt,
)
from figstep.core.events import (
    AttemptAnswered,
    AttemptEnded,
    AttemptLost,
    Event,
    LoadReported,
    Loss,
    RequestArrived,
    Timer,
    TimerFired,
    TokensArrived,
)
from figstep.core.policies import Policy
from figstep.core.problems import Ran
from figstep.core.reducer import reduce
from figstep.core.specs import GenerationWork, RequestSpec
from figstep.core.state import State
from figstep.experiment.measures import STALL_THRESHOLD_MS, RunStatistics, Stream
from figstep.experiment.scenarios import (
    MODEL,
    SECOND,
    Arrival,
    Deployment,
    build_inventory,
    build_sequence,
    draw_arrivals,
    draw_flood,
)
from figstep.standins.engine_model import EngineModel, Token

LINK_DELAY = 1.0
"""Time until an opened or resumed attempt reaches its engine, in milliseconds.

Everything else is not delayed: tokens, cancellations, answers and load reports.
"""

REPORT_INTERVAL = 1_000.0
"""Time between two load reports of an engine, in milliseconds."""

DRAIN_DURATION = 300 * SECOND
"""Maximum simulated time after the end of the arrivals, in milliseconds."""

DEADLINE = 60_000
"""Deadline of every request, in milliseconds after its latest submission."""

MAX_SUBMISSIONS = 4
"""Maximum number of submissions of a request, including the first one."""

FRAME = [b""]
"""Frames of an event with one token; their content does not matter here."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that is injected into a run.

    - "death": The engine crashes, and refuses connections until the end.
    - "slow": The steps of the engine take ten times as long.
    - "silence": No load report of any engine arrives.
    - "flood": One small customer sends additional requests, whose answers add up to
      the load of the run.

    Attributes:
        kind: Kind of the fault, or "" for none.
        engine: Number of the affected engine from 1, for "death" and "slow".
        start: Start of the fault, in milliseconds of simulated time.
        end: End of the fault, in milliseconds of simulated time.
    """

    kind: str = ""
    engine: int = 3
    start: float = 90 * SECOND
    end: float = 150 * SECOND


@dataclass(slots=True)
class _Attempt:
    number: int
    request: str
    engine: str
    generation: str


@dataclass(slots=True)
class Run:
    """One simulated run; ``simulate`` returns its measures.

    Attributes:
        seed: Seed of the arrivals, of the reducers, and of the choice of the entry
            that a submission reaches.
        load: Requested tokens per millisecond.
        duration: Time during which requests arrive, in milliseconds.
        entries: Number of entries that share the engines. An entry counts the
            requests of the others only through ``gossip``.
        gossip: Time between two exchanges of in-flight counts among the entries,
            in milliseconds; 0 for none.
        now: Simulated time, in milliseconds.
    """

    deployment: Deployment
    policy: Policy
    seed: int
    load: float
    duration: float
    fault: Fault = field(default_factory=Fault)
    entries: int = 1
    gossip: float = 0.0
    statistics: RunStatistics = field(default_factory=RunStatistics)
    now: float = 0.0
    _states: list[State] = field(default_factory=list)
    _state_by_request: dict[str, State] = field(default_factory=dict)
    _rng: random.Random = field(default_factory=random.Random)
    _engines: dict[str, EngineModel] = field(default_factory=dict)
    _dead_engines: set[str] = field(default_factory=set)
    _arrivals: dict[str, Arrival] = field(default_factory=dict)
    _attempts: dict[int, _Attempt] = field(default_factory=dict)
    _attempt_by_generation: dict[str, _Attempt] = field(default_factory=dict)
    _event_queue: list[tuple[float, int, Callable[..., None], Any]] = field(
        default_factory=list
    )
    _number: int = 0
    _timers: dict[tuple[str, Timer], float] = field(default_factory=dict)
    _step_ends: dict[str, float] = field(default_factory=dict)

    def simulate(self) -> dict[str, float]:
        """Simulate the run to its end and return its measures by name.

        The run ends ``DRAIN_DURATION`` after the end of the arrivals.
        """
        self._set_up()
        end = self.duration + DRAIN_DURATION
        while self._event_queue:
            at, _, action, argument = heapq.heappop(self._event_queue)
            if at > end:
                break
            self.now = at
            action(argument)
        preemptions = sum(engine.preemptions for engine in self._engines.values())
        result = self.statistics.summarize(end, self.duration, preemptions)
        result["produced"] = sum(e.produced for e in self._engines.values())
        result["prefix_hits"] = sum(e.prefix_hits for e in self._engines.values())
        return result

    def _set_up(self) -> None:
        inventory = build_inventory(self.deployment, "figstep", DEADLINE)
        self._rng = random.Random(f"homes/{self.seed}")
        for number in range(self.entries):
            state = State(f"entry-{number}", rng=random.Random(self.seed + number))
            apply_inventory(state, inventory)
            state.configuration_offset = 0
            # Attempt numbers are unique only within an entry, but this run keeps
            # the attempts of all entries in one table.
            state.next_attempt = 1 + number * 10_000_000
            set_policy(state, self.policy)
            self._states.append(state)
        if self.gossip:
            self._schedule(self.gossip, self._exchange_counts, None)
        for info, profile in zip(
            inventory.engines, self.deployment.profiles, strict=True
        ):
            self._engines[info.name] = EngineModel(profile)
            self._schedule(0.0, self._report_load, info.name)
        arrivals = draw_arrivals(self.deployment, self.seed, self.load, self.duration)
        if self.fault.kind == "flood":
            arrivals += draw_flood(
                self.deployment, self.seed, self.load, self.fault.start, self.fault.end
            )
        for arrival in arrivals:
            self._schedule(arrival.at, self._submit, arrival)
        if self.fault.kind in ("death", "slow"):
            self._schedule(self.fault.start, self._begin_fault, None)
            self._schedule(self.fault.end, self._end_fault, None)

    def _schedule(self, at: float, action: Callable[..., None], argument: Any) -> None:
        self._number += 1
        heapq.heappush(self._event_queue, (at, self._number, action, argument))

    def _submit(self, arrival: Arrival) -> None:
        if arrival.request not in self._arrivals:
            self._arrivals[arrival.request] = arrival
            self.statistics.streams[arrival.request] = Stream(
                arrival.customer, self.now, arrival.length, self.now
            )
        self.statistics.streams[arrival.request].last_asked = self.now
        work = GenerationWork(
            MODEL,
            arrival.prompt_tokens,
            prefix=arrival.prefix,
            kind=arrival.kind,
        )
        spec = RequestSpec(
            arrival.request, arrival.customer, work, digest=arrival.request
        )
        # The load balancer keeps no affinity: a caller that submits its request
        # again may reach another entry.
        state = self._rng.choice(self._states)
        self._state_by_request[arrival.request] = state
        self._dispatch(state, RequestArrived(spec))

    def _exchange_counts(self, _: None) -> None:
        self._schedule(self.now + self.gossip, self._exchange_counts, None)
        for name in self._engines:
            counts = [state.targets[name].in_flight for state in self._states]
            for state, own in zip(self._states, counts, strict=True):
                state.targets[name].peers_in_flight = sum(counts) - own

    def _dispatch(self, state: State, event: Event) -> None:
        for effect in reduce(state, event, Millis(round(self.now))):
            self._apply_effect(state, effect)

    def _apply_effect(self, state: State, effect: Effect) -> None:
        match effect:
            case Deliver(request=request, frames=frames):
                stream = self.statistics.streams[request]
                self.statistics.deliver(stream, self.now, len(frames))
            case OpenAttempt():
                self._open_attempt(effect)
            case ResumeAttempt():
                self._resume_attempt(effect)
            case WakeAt(timer=timer, at=at):
                due = max(float(at), self.now)
                self._timers[state.node, timer] = due
                self._schedule(due, self._fire_timer, (state, timer))
            case Complete(request=request):
                self.statistics.streams[request].ended = self.now
            case Refuse():
                self._handle_refusal(effect)
            case CloseAttempt(attempt=number):
                attempt = self._attempts.pop(number, None)
                if attempt is not None:
                    self._detach(attempt)
            case CancelGeneration(target=target, generation=generation):
                self._engines[target].cancel(generation, self.now)
                self._schedule_step(target)
            case _:
                pass

    def _fire_timer(self, argument: tuple[State, Timer]) -> None:
        state, timer = argument
        if self._timers.get((state.node, timer)) != self.now:
            return
        del self._timers[state.node, timer]
        self._dispatch(state, TimerFired(timer))

    def _handle_refusal(self, effect: Refuse) -> None:
        stream = self.statistics.streams[effect.request]
        problem = effect.problem
        if problem.ran is not Ran.NO:
            stream.lost = True
            waited = self.now - stream.last
            stream.stalled += waited if waited >= STALL_THRESHOLD_MS else 0.0
            return
        self.statistics.refusals += 1
        if self.now - stream.last_asked > LINK_DELAY:
            self.statistics.late_refusals += 1
        if problem.retry_after is None or stream.asks >= MAX_SUBMISSIONS:
            stream.refused = True
            stream.stalled += self.now - stream.asked
            return
        stream.asks += 1
        arrival = self._arrivals[effect.request]
        self._schedule(self.now + problem.retry_after, self._submit, arrival)

    def _open_attempt(self, effect: OpenAttempt) -> None:
        attempt = _Attempt(
            effect.attempt, effect.request, effect.target, effect.generation
        )
        self._attempts[effect.attempt] = attempt
        self._attempt_by_generation[effect.generation] = attempt
        self._schedule(
            self.now + LINK_DELAY, self._start_sequence, (attempt, effect.priority)
        )

    def _start_sequence(self, argument: tuple[_Attempt, int]) -> None:
        attempt, priority = argument
        if attempt.number not in self._attempts:
            return
        if attempt.engine in self._dead_engines:
            self._fail_attempt(attempt, Loss.CONNECT_FAILED)
            return
        arrival = self._arrivals[attempt.request]
        sequence = build_sequence(arrival, attempt.generation, priority)
        self._engines[attempt.engine].start(sequence, self.now)
        self._schedule_step(attempt.engine)
        self._report_answered(attempt)

    def _resume_attempt(self, effect: ResumeAttempt) -> None:
        attempt = _Attempt(
            effect.attempt, effect.request, effect.target, effect.generation
        )
        self._attempts[effect.attempt] = attempt
        self._schedule(self.now + LINK_DELAY, self._attach, (attempt, effect.after))

    def _attach(self, argument: tuple[_Attempt, int]) -> None:
        attempt, after = argument
        if attempt.number not in self._attempts:
            return
        if attempt.engine in self._dead_engines:
            self._fail_attempt(attempt, Loss.CONNECT_FAILED)
            return
        sequence = self._engines[attempt.engine].sequences.get(attempt.generation)
        if sequence is None:
            self._fail_attempt(attempt, Loss.NOT_FOUND)
            return
        self._attempt_by_generation[attempt.generation] = attempt
        self._report_answered(attempt)
        missed = sequence.produced - after
        if missed > 0:
            state = self._state_by_request[attempt.request]
            frames = FRAME * missed
            self._dispatch(
                state,
                TokensArrived(attempt.number, attempt.generation, after + 1, frames),
            )
        if sequence.ended is not None:
            self._end_attempt(attempt)

    def _end_attempt(self, attempt: _Attempt) -> None:
        self._attempts.pop(attempt.number, None)
        self._attempt_by_generation.pop(attempt.generation, None)
        self._dispatch(
            self._state_by_request[attempt.request], AttemptEnded(attempt.number)
        )

    def _report_answered(self, attempt: _Attempt) -> None:
        state = self._state_by_request[attempt.request]
        self._dispatch(state, AttemptAnswered(attempt.number))

    def _detach(self, attempt: _Attempt) -> None:
        if self._attempt_by_generation.get(attempt.generation) is attempt:
            del self._attempt_by_generation[attempt.generation]

    def _fail_attempt(self, attempt: _Attempt, loss: Loss) -> None:
        self._attempts.pop(attempt.number, None)
        self._detach(attempt)
        state = self._state_by_request[attempt.request]
        self._dispatch(state, AttemptLost(attempt.number, loss))

    def _schedule_step(self, name: str) -> None:
        step = self._engines[name].next_step()
        if step is None or self._step_ends.get(name) == step:
            return
        self._step_ends[name] = step
        self._schedule(step, self._run_step, name)

    def _run_step(self, name: str) -> None:
        if self._step_ends.get(name) != self.now:
            return
        for token in self._engines[name].advance(self.now):
            self._handle_token(token)
        self._schedule_step(name)

    def _handle_token(self, token: Token) -> None:
        attempt = self._attempt_by_generation.get(token.name)
        if attempt is None:
            return
        state = self._state_by_request[attempt.request]
        event = TokensArrived(attempt.number, token.name, token.index, FRAME)
        self._dispatch(state, event)
        if token.finish is None:
            return
        self._end_attempt(attempt)

    def _report_load(self, name: str) -> None:
        self._schedule(self.now + REPORT_INTERVAL, self._report_load, name)
        silenced = (
            self.fault.kind == "silence"
            and self.fault.start <= self.now < self.fault.end
        )
        if name in self._dead_engines or silenced:
            return
        engine = self._engines[name]
        report = engine.read_load(self.now)
        event = LoadReported(
            name,
            incarnation=engine.incarnation,
            running=report.running,
            waiting=report.waiting,
            memory_used=report.memory_used,
            memory_total=report.memory_total,
            age=Millis(round(self.now - report.at)),
        )
        for state in self._states:
            self._dispatch(state, event)

    def _begin_fault(self, _: None) -> None:
        name = f"engine-{self.fault.engine}"
        if self.fault.kind == "slow":
            self._engines[name].slow = 10.0
            return
        self._dead_engines.add(name)
        self._engines[name].crash(self.now)
        self._step_ends.pop(name, None)
        for attempt in list(self._attempts.values()):
            if attempt.engine == name:
                self._fail_attempt(attempt, Loss.BROKEN)

    def _end_fault(self, _: None) -> None:
        name = f"engine-{self.fault.engine}"
        self._engines[name].slow = 1.0
        self._dead_engines.discard(name)
