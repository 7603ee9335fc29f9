"""How long a connection may bring nothing before it is probed."""

from figstep.core.clock import Millis
from figstep.core.state import AttemptState, TargetState

MIN_SILENCE_LIMIT = Millis(1_000)
MAX_SILENCE_LIMIT = Millis(10_000)
FIRST_EVENT_LIMIT = Millis(5_000)
DEVIATIONS = 8
READ_GAP_SMOOTHING = 1 / 32


def update_read_gap(target: TargetState, gap: int) -> None:
    """Take in the time between two reads of one stream, in milliseconds.

    Smoothed like a round-trip time: the limit follows the mean and the mean
    deviation, so an engine that is slow but even is not probed, and one that
    stalls now and then earns patience.
    """
    error = gap - target.gap
    target.gap += READ_GAP_SMOOTHING * error
    target.gap_deviation += READ_GAP_SMOOTHING * (abs(error) - target.gap_deviation)


def compute_silence_limit(target: TargetState | None, attempt: AttemptState) -> Millis:
    """Return how long the attempt may bring nothing, in milliseconds."""
    if target is None or attempt.tokens == 0:
        return FIRST_EVENT_LIMIT
    limit = int(target.gap + DEVIATIONS * target.gap_deviation)
    return Millis(min(max(limit, MIN_SILENCE_LIMIT), MAX_SILENCE_LIMIT))
