"""Speed, memory use and limit of a target, as observed on this entry's generations."""

import math
from collections import deque
from dataclasses import dataclass, field

from figstep.core.clock import Millis

GAP_DECAY = 0.98
"""Factor by which each new gap lowers the weight of all earlier ones."""

MIN_LIMIT = 2.0
"""Lowest limit on the generations of a target."""

MAX_LIMIT = 512.0
"""Highest limit on the generations of a target, and its initial value."""

DECREASE_FACTOR = 0.85
"""Factor on the limit, or on the running count if that is lower, when the gap exceeds
its goal."""

DECREASE_INTERVAL = Millis(1_000)
"""Shortest time between two decreases of a limit, in milliseconds."""

PRIOR_BASE_GAP = 25.0
"""Part of the assumed gap that does not depend on load, in milliseconds.

It is for an engine with speed 1 in the inventory.
"""

PRIOR_GAP_PER_RUNNING = 1.0
"""Increase of the assumed gap per running generation, in milliseconds.

It is for an engine with speed 1 in the inventory.
"""

PRIOR_WEIGHT = 4.0
"""Weight of each of the two assumed gaps; an observed gap has weight 1."""

HISTORY_INTERVAL = Millis(100)
"""Shortest time between two samples of the running count, in milliseconds."""

MAX_HISTORY = 64
"""Maximum number of samples of the running count that are kept."""


@dataclass(slots=True)
class Footprint:
    """Memory that one running generation holds and is expected to need, in tokens.

    Attributes:
        held: Tokens of the prompt and of the answer at the last review.
        mean: Expected number of tokens still to come.
        variance: Variance of that number, in tokens squared.
        review_at: Index of the event at which the footprint is next updated.
        reviewed: Time of the last update (monotonic), in milliseconds.
        produced: Tokens of the answer at the last update.
        next_estimate: Index of the event from which the estimate is renewed.
    """

    held: int
    mean: float
    variance: float
    review_at: int
    reviewed: Millis
    produced: int = 0
    next_estimate: int = 0


@dataclass(slots=True)
class GapRegression:
    """Linear regression of the gap between tokens over the running count.

    It uses weighted least squares, kept as a few sums that decay with each sample.
    The first two samples are assumed ones, from the speed in the inventory.

    Attributes:
        x: Weighted sum of the running counts.
        y: Weighted sum of the gaps, in milliseconds.
        xx: Weighted sum of the squared running counts.
        xy: Weighted sum of the products of running count and gap.
    """

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def start(self, speed: float) -> None:
        """Add the assumed gaps of a target with this speed in the inventory."""
        for running in (1.0, 32.0):
            gap = (PRIOR_BASE_GAP + PRIOR_GAP_PER_RUNNING * running) / speed
            self.add_sample(running, gap, PRIOR_WEIGHT, 1.0)

    def add_sample(
        self, running: float, gap: float, weight: float = 1.0, keep: float = GAP_DECAY
    ) -> None:
        """Add one observed gap.

        ``gap`` is in milliseconds; ``keep`` scales the weight of the earlier samples.
        """
        self.weight = self.weight * keep + weight
        self.x = self.x * keep + weight * running
        self.y = self.y * keep + weight * gap
        self.xx = self.xx * keep + weight * running * running
        self.xy = self.xy * keep + weight * running * gap

    def predict(self, running: float) -> float:
        """Return the expected gap with ``running`` generations, in milliseconds.

        The slope is at least a quarter of that of the assumed line, scaled to pass
        through the mean gap. The result is at least a tenth of the mean gap. At least
        one sample must have been added.
        """
        mean_x = self.x / self.weight
        mean_y = self.y / self.weight
        spread = self.xx / self.weight - mean_x * mean_x
        if spread < 1.0:
            slope = mean_y / (mean_x + PRIOR_BASE_GAP)
        else:
            slope = (self.xy / self.weight - mean_x * mean_y) / spread
        slope = max(slope, mean_y / (4.0 * (mean_x + PRIOR_BASE_GAP)))
        return max(0.1 * mean_y, mean_y + slope * (running - mean_x))


@dataclass(slots=True)
class Pace:
    """Running generations of this entry on one target, and the target's speed.

    The sums are updated whenever an attempt starts, is reviewed or ends.

    Attributes:
        running: Number of running generations of this entry.
        held: Sum of the tokens that these generations hold.
        mean: Sum of the tokens that these generations are expected to add.
        variance: Sum of the variances of the tokens to be added, in tokens squared.
        limit: Maximum number of generations on the target, of all entries.
        limit_lowered_at: Time of the last decrease (monotonic), in milliseconds.
        gaps: Regression of the gap between tokens over the running count.
        gap: Smoothed gap between tokens, in milliseconds; 0 before the first.
        avoid_until: Time before which the target gets no new generation (monotonic),
            in milliseconds; set by lost attempts.
        losses: Number of lost attempts in a row.
        prefixes: Digests of prompt prefixes that were sent to the target, each with
            the time at which it was last sent (monotonic), in milliseconds.
        running_history: Samples of ``running`` as (monotonic time in milliseconds,
            count), oldest first.
        own_at_report: Value of ``running`` at the time that the last report shows.
    """

    running: int = 0
    held: int = 0
    mean: float = 0.0
    variance: float = 0.0
    limit: float = MAX_LIMIT
    limit_lowered_at: Millis = Millis(0)
    gaps: GapRegression = field(default_factory=GapRegression)
    gap: float = 0.0
    avoid_until: Millis = Millis(0)
    losses: int = 0
    prefixes: dict[str, Millis] = field(default_factory=dict)
    running_history: deque[tuple[Millis, int]] = field(default_factory=deque)
    own_at_report: int = 0

    def record_running(self, now: Millis) -> None:
        """Record the running count, to compare it with load reports, which lag."""
        if (
            self.running_history
            and now < self.running_history[-1][0] + HISTORY_INTERVAL
        ):
            self.running_history[-1] = (self.running_history[-1][0], self.running)
            return
        self.running_history.append((now, self.running))
        if len(self.running_history) > MAX_HISTORY:
            self.running_history.popleft()

    def count_running_at(self, then: Millis) -> int:
        """Return the running count at an earlier time (monotonic, in milliseconds).

        For a time before the oldest sample, the count of that sample is returned.
        """
        running = self.running
        for at, count in reversed(self.running_history):
            if at <= then:
                return count
            running = count
        return running

    def add(self, footprint: Footprint) -> None:
        """Add a generation that starts to the sums."""
        self.running += 1
        self.held += footprint.held
        self.mean += footprint.mean
        self.variance += footprint.variance

    def remove(self, footprint: Footprint) -> None:
        """Remove a generation that ended from the sums."""
        self.running -= 1
        if self.running == 0:
            # Sums of floats accumulate rounding errors, so they are reset to zero.
            self.held, self.mean, self.variance = 0, 0.0, 0.0
            return
        self.held -= footprint.held
        self.mean -= footprint.mean
        self.variance -= footprint.variance

    def predict_memory(
        self, added: Footprint, growth: float, deviations: float
    ) -> float:
        """Return the memory to expect for this entry's generations, in tokens.

        Args:
            added: Footprint of a generation that may be added; it is included.
            growth: Fraction of the expected remaining tokens that is counted.
            deviations: Reserve, in standard deviations of the remaining tokens.
        """
        mean = self.mean + added.mean
        spread = math.sqrt(max(0.0, self.variance + added.variance))
        return self.held + added.held + growth * mean + deviations * spread

    def adapt_limit(self, gap: float, goal: float, running: float, now: Millis) -> None:
        """Adapt the limit to an observed gap: small increases, decreases by a factor.

        The limit rises only while it is nearly used up, and falls at most once per
        ``DECREASE_INTERVAL``.

        Args:
            gap: Smoothed gap between tokens, in milliseconds.
            goal: Gap above which the limit falls, in milliseconds.
            running: Number of generations on the target, of all entries.
            now: Monotonic time, in milliseconds.
        """
        if gap <= goal:
            if running >= self.limit - 1:
                self.limit = min(MAX_LIMIT, self.limit + 1.0 / max(1.0, self.limit))
            return
        if now < self.limit_lowered_at + DECREASE_INTERVAL:
            return
        self.limit_lowered_at = now
        bound = min(self.limit, max(1.0, running))
        self.limit = max(MIN_LIMIT, bound * DECREASE_FACTOR)
