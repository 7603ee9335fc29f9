"""Learns how fast engines generate, and predicts where a run ends soonest.

These rules are meant for a pool of engines of unequal speed. A long run holds memory,
and is exposed to departures and failures, for as long as it generates, so it belongs on
an engine that generates fast. A short run hardly generates; it is better placed where
reading its prompt delays few other runs.
"""

from figstep.core.clock import Millis
from figstep.gateway.state import Attempt, Request, State
from figstep.gateway.targets import Target

SAMPLE_EVENTS = 8
"""Number of events over which a stream's pace is measured. Prompts that the engine
reads meanwhile slow some of them down, so that a few events show too little."""

TYPICAL_PACE_MS = 10.0
"""Milliseconds per generated token assumed for a pool without any measurement."""

READING_SLOWDOWN = 0.5
"""Time that a run loses while its engine reads the prompt of another run, as a fraction
of the reading time. Engines alternate between reading and generating."""


def record_events(
    state: State, request: Request, attempt: Attempt, events: int, now: Millis
) -> None:
    """Update the pace of an attempt's engine from events that it has just sent.

    The first events only start the measurement, as the prompt was read before them.
    """
    if not state.places_by_pace:
        return
    if attempt.sample_began_at is None:
        attempt.sample_began_at = now
        return
    attempt.sample_events += events
    if attempt.sample_events < SAMPLE_EVENTS:
        return
    tokens = attempt.sample_events * _find_event_tokens(state, request.service)
    attempt.target.update_pace((now - attempt.sample_began_at) / tokens)
    attempt.sample_began_at = now
    attempt.sample_events = 0


def _find_event_tokens(state: State, service: str) -> int:
    found = None if state.table is None else state.table.services.get(service)
    if found is None or found.engine is None:
        return 1
    return found.engine.event_tokens


def find_typical_pace(state: State, service: str) -> float:
    """Return the mean pace of a service's engines, in milliseconds per token.

    It is ``TYPICAL_PACE_MS`` if none of them was measured.
    """
    paces = []
    for target in state.targets.list_ready(service):
        if target.pace is not None:
            paces.append(target.pace)
    return sum(paces) / len(paces) if paces else TYPICAL_PACE_MS


def predict_delay(
    target: Target, prompt_tokens: int, output_tokens: int, typical_pace: float
) -> float:
    """Return the delay in milliseconds that a new run has and causes at an engine.

    It is the time to generate its answer, plus the time that the runs at the engine
    lose while its prompt is read. The wait for its own prompt is not included.

    Args:
        target: The engine.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Expected tokens of the answer.
        typical_pace: Pace assumed for an engine that was not measured, in milliseconds
            per token.
    """
    pace = typical_pace if target.pace is None else target.pace
    reading = prompt_tokens / target.read_rate
    return output_tokens * pace + READING_SLOWDOWN * reading * target.load
