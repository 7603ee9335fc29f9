"""Limit on the time without data after which a connection is probed."""

from figstep.core.clock import Millis
from figstep.core.state import AttemptState, TargetState

MIN_SILENCE_LIMIT = Millis(1_000)
"""Shortest silence limit after the first event, in milliseconds."""

MAX_SILENCE_LIMIT = Millis(10_000)
"""Longest silence limit after the first event, in milliseconds."""

FIRST_EVENT_LIMIT = Millis(5_000)
"""Silence limit before the first event of a connection, in milliseconds."""

DEVIATIONS = 8
"""Mean deviations of the gap between reads that are added to its mean."""

READ_GAP_SMOOTHING = 1 / 32
"""Weight of a new gap between reads in the smoothed values."""


def update_read_gap(target: TargetState, gap: int) -> None:
    """Update the smoothed gap between reads of a target's streams.

    The mean and the mean deviation are smoothed like a round-trip time in TCP. An
    engine that is slow but regular is therefore not probed, and one that stalls now
    and then gets a longer limit.

    Args:
        target: The target.
        gap: Time between two reads of one stream, in milliseconds.
    """
    error = gap - target.gap
    target.gap += READ_GAP_SMOOTHING * error
    target.gap_deviation += READ_GAP_SMOOTHING * (abs(error) - target.gap_deviation)


def compute_silence_limit(target: TargetState | None, attempt: AttemptState) -> Millis:
    """Return the silence limit of an attempt, in milliseconds."""
    if target is None or attempt.tokens == 0:
        return FIRST_EVENT_LIMIT
    limit = int(target.gap + DEVIATIONS * target.gap_deviation)
    return Millis(min(max(limit, MIN_SILENCE_LIMIT), MAX_SILENCE_LIMIT))
