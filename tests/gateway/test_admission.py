"""Tests of queueing, immediate refusals and the retry times of refused callers."""

import heapq
from dataclasses import dataclass, field

import pytest

from figstep.core.clock import Millis
from figstep.gateway import admission
from figstep.gateway.effects import OpenAttempt, Refuse
from figstep.gateway.events import StreamEnded, Ticked
from figstep.gateway.prompts import Prompt
from tests.gateway.worlds import PLAN, EntryHarness

RUN_DURATION = Millis(4_000)
"""Duration of each run in the simulation, in milliseconds."""

PREFILL_DURATION = Millis(300)
"""Time from the start of a run to its first event, in milliseconds."""

RUNS_PER_ENGINE = 8
"""Number of concurrent runs that fit into an engine's memory."""

TICK_INTERVAL = Millis(30)
"""Time between two ticks of the gateway, in milliseconds."""


@dataclass
class Overload:
    """Callers that arrive faster than a pool ends runs, and retry once.

    Attributes:
        factor: Arrival rate, relative to the rate at which the pool can run requests.
        seconds: Time during which new callers arrive.
        engines: Number of engines in the pool.
        harness: The entry that receives the requests.
        arrived_at: Arrival time of each request, by its number.
        digests: Digest of each request, by its number.
        first_try: Whether a request is its caller's first try, by its number.
        refusal_delays: Milliseconds that refused first tries had waited.
        started_early: First tries that started within half of their objective.
        started: Number of requests that started, with retries.
        returned: Number of callers that retried.
    """

    factor: float
    seconds: int = 30
    engines: int = 2
    harness: EntryHarness = field(default_factory=EntryHarness)
    arrived_at: dict[int, Millis] = field(default_factory=dict)
    digests: dict[int, str] = field(default_factory=dict)
    first_try: dict[int, bool] = field(default_factory=dict)
    refusal_delays: list[int] = field(default_factory=list)
    started_early: int = 0
    started: int = 0
    returned: int = 0

    def simulate(self) -> None:
        """Simulate all callers, runs and ticks."""
        names = [f"e-{number}" for number in range(self.engines)]
        self.harness.register(*names)
        per_second = self.factor * self.engines * RUNS_PER_ENGINE * 1_000 / RUN_DURATION
        interval = round(1_000 / per_second)
        start = self.harness.clock.now()
        schedule: list[tuple[Millis, int, str, object]] = []
        for number, at in enumerate(range(0, self.seconds * 1_000, interval)):
            due = Millis(start + at)
            heapq.heappush(schedule, (due, number, "caller", (f"d-{number}", True)))
        for number, at in enumerate(
            range(0, (self.seconds + 10) * 1_000, TICK_INTERVAL)
        ):
            heapq.heappush(schedule, (Millis(start + at), -1 - number, "tick", None))
        sequence = len(schedule)
        while schedule:
            due, _, kind, payload = heapq.heappop(schedule)
            self.harness.clock.advance(due - self.harness.clock.now())
            sequence += 1
            match kind:
                case "caller":
                    self._arrive(*payload)  # type: ignore[misc]
                case "first":
                    self.harness.send_pieces(payload, 1, 1)  # type: ignore[arg-type]
                case "end":
                    self.harness.handle(StreamEnded(payload))  # type: ignore[arg-type]
                case _:
                    self.harness.handle(Ticked())
            for follow_up in self._collect_follow_ups(due):
                sequence += 1
                heapq.heappush(
                    schedule, (follow_up[0], sequence, follow_up[1], follow_up[2])
                )

    def _arrive(self, digest: str, first: bool) -> None:
        number = self.harness.next_number
        self.arrived_at[number] = self.harness.clock.now()
        self.digests[number] = digest
        self.first_try[number] = first
        prompt = Prompt("m", 3_600, 2_000, 320)
        self.harness.receive_request("/plan/a", prompt, digest=digest)

    def _collect_follow_ups(self, now: Millis) -> list[tuple[Millis, str, object]]:
        follow_ups: list[tuple[Millis, str, object]] = []
        for opened in self.harness.find_effects(OpenAttempt):
            waited = now - self.arrived_at[opened.number]
            self.started += 1
            if self.first_try[opened.number] and waited <= PLAN.objective // 2:
                self.started_early += 1
            follow_ups.append((Millis(now + PREFILL_DURATION), "first", opened.attempt))
            follow_ups.append((Millis(now + RUN_DURATION), "end", opened.attempt))
        for refused in self.harness.find_effects(Refuse):
            pause = refused.problem.retry_after
            if not self.first_try[refused.number] or pause is None:
                continue
            self.refusal_delays.append(now - self.arrived_at[refused.number])
            self.returned += 1
            retry = (self.digests[refused.number], False)
            follow_ups.append((Millis(now + pause), "caller", retry))
        return follow_ups


@pytest.mark.parametrize("factor", [1.5, 2.5])
def test_under_lasting_overload_most_refusals_come_at_once(factor: float) -> None:
    """Guards against callers that wait for seconds and are then refused."""
    load = Overload(factor)
    load.simulate()
    at_once = [waited for waited in load.refusal_delays if waited <= 225]
    assert len(load.refusal_delays) > 20
    assert len(at_once) >= 0.5 * len(load.refusal_delays)


@pytest.mark.parametrize("factor", [1.5, 2.5])
def test_under_lasting_overload_engines_stay_in_use(factor: float) -> None:
    """Guards against callers refused while engines have free memory."""
    load = Overload(factor)
    load.simulate()
    possible = load.engines * RUNS_PER_ENGINE * load.seconds * 1_000 / RUN_DURATION
    assert load.started >= 0.9 * possible


def test_queueing_time_is_bounded_by_the_callers_patience() -> None:
    """Guards against callers queued until their patience has run out."""
    harness = EntryHarness()
    harness.register("e-1")
    engine = harness.state.targets.find("e-1")
    assert engine is not None
    engine.peer_calls, engine.peer_memory = 8, 34_000
    harness.receive_request(
        "/plan/a", Prompt("m", 3_000, 2_000, 300), max_wait=Millis(2_000)
    )
    assert harness.find_effects(Refuse) == []
    harness.clock.advance(round(2_000 * admission.WAIT_DEADLINE_FRACTION))
    harness.handle(Ticked())
    assert harness.find_effect(Refuse).problem.retry_after is not None


def test_refused_callers_get_staggered_retry_times() -> None:
    """Guards against refused callers that all retry for the same free capacity."""
    harness = EntryHarness()
    harness.register("e-1")
    engine = harness.state.targets.find("e-1")
    assert engine is not None
    engine.peer_calls, engine.peer_memory = 8, 34_000
    pauses = []
    for _ in range(admission.MIN_QUEUE_LIMIT + 3):
        harness.receive_request("/plan/a", Prompt("m", 3_000, 2_000, 300))
        pauses += [
            refused.problem.retry_after for refused in harness.find_effects(Refuse)
        ]
    assert len(pauses) == 3
    assert len(set(pauses)) == 3


def test_a_prompt_is_not_sent_to_an_engine_that_would_miss_its_deadline() -> None:
    """Guards against engines that read prompts whose callers have left."""
    harness = EntryHarness()
    harness.register("e-1")
    engine = harness.state.targets.find("e-1")
    assert engine is not None
    engine.own_read_rate = 1.0
    harness.receive_request(
        "/plan/a", Prompt("m", 3_000, 2_000, 300), max_wait=Millis(2_000)
    )
    assert harness.find_effects(OpenAttempt) == []
