"""Silence limit: the time without data after which an attempt counts as lost."""

from figstep.core.clock import Millis
from figstep.core.state import AttemptState, TargetState

MIN_SILENCE_LIMIT = Millis(1_000)
"""Shortest silence limit after the first event, in milliseconds."""

MAX_SILENCE_LIMIT = Millis(10_000)
"""Longest silence limit after the first event, in milliseconds."""

FIRST_EVENT_LIMIT = Millis(5_000)
"""Silence limit before the first event of a connection, in milliseconds."""

DEVIATIONS = 8
"""Number of mean deviations that the limit adds to the mean gap between reads."""

READ_GAP_SMOOTHING = 1 / 32
"""Weight of a new gap between reads in the smoothed values."""


def update_read_gap(target: TargetState, gap: int) -> None:
    """Update the smoothed gap between reads of a target's streams.

    The mean and the mean deviation are smoothed like a round-trip time in TCP. The
    streams of an engine that is slow but regular are therefore not taken for silent,
    and an engine that stalls now and then gets a longer limit.

    ``gap`` is the time between two reads of one stream, in milliseconds.
    """
    error = gap - target.gap
    target.gap += READ_GAP_SMOOTHING * error
    target.gap_deviation += READ_GAP_SMOOTHING * (abs(error) - target.gap_deviation)


def compute_silence_limit(target: TargetState | None, attempt: AttemptState) -> Millis:
    """Return the silence limit of an attempt, in milliseconds.

    It is ``FIRST_EVENT_LIMIT`` also for a target that is no longer known.
    """
    if target is None or attempt.tokens == 0:
        return FIRST_EVENT_LIMIT
    limit = int(target.gap + DEVIATIONS * target.gap_deviation)
    return Millis(min(max(limit, MIN_SILENCE_LIMIT), MAX_SILENCE_LIMIT))
