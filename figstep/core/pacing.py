"""What this entry knows of a target's pace, memory and room."""

import math
from collections import deque
from dataclasses import dataclass, field

from figstep.core.clock import Millis

GAP_DECAY = 0.98
MIN_LIMIT = 2.0
MAX_LIMIT = 512.0
DECREASE_FACTOR = 0.85
DECREASE_INTERVAL = Millis(1_000)
PRIOR_BASE_GAP = 25.0
PRIOR_GAP_PER_RUNNING = 1.0
PRIOR_WEIGHT = 4.0
HISTORY_INTERVAL = Millis(100)
MAX_HISTORY = 64


@dataclass(slots=True)
class Footprint:
    """What one running generation holds and is expected to need, in tokens.

    Attributes:
        held: Prompt and tokens produced at the last review.
        mean: Expected tokens still to come.
        variance: Their variance.
        review_at: Index of the event at which it is looked at again.
        reviewed: When it was last looked at.
        produced: Tokens produced by then.
        next_estimate: Index from which the estimate is renewed.
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
    """Gap between tokens as a line over the number running, decayed.

    Least squares over a few sums; starts from the speed in the inventory.
    """

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def start(self, speed: float) -> None:
        """Begin with what the inventory's speed lets expect."""
        for running in (1.0, 32.0):
            gap = (PRIOR_BASE_GAP + PRIOR_GAP_PER_RUNNING * running) / speed
            self.add_sample(running, gap, PRIOR_WEIGHT, 1.0)

    def add_sample(
        self, running: float, gap: float, weight: float = 1.0, keep: float = GAP_DECAY
    ) -> None:
        """Take in one observed gap, in milliseconds, at ``running``."""
        self.weight = self.weight * keep + weight
        self.x = self.x * keep + weight * running
        self.y = self.y * keep + weight * gap
        self.xx = self.xx * keep + weight * running * running
        self.xy = self.xy * keep + weight * running * gap

    def predict(self, running: float) -> float:
        """Return the expected gap at ``running``, in milliseconds."""
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
    """The ledger of one target, kept in step with every attempt.

    Attributes:
        running: Generations of this entry.
        held: Tokens that they hold.
        mean: Tokens that they are expected to add.
        variance: Variance of those.
        limit: Most generations that it is given.
        limit_lowered_at: When the limit was last lowered.
        gaps: Observed gaps.
        gap: Recent gap, in milliseconds.
        avoid_until: No new work before this; set by lost attempts.
        losses: Lost attempts in a row.
        prefixes: Prefixes that were sent there, and when.
        running_history: How many ran at some times of the last seconds.
        own_at_report: How many ran at the time that the last report shows.
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
        """Remember how many ran, to compare with reports, which come late."""
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
        """Return how many ran at an earlier time."""
        running = self.running
        for at, count in reversed(self.running_history):
            if at <= then:
                return count
            running = count
        return running

    def add(self, footprint: Footprint) -> None:
        """Count a generation that starts."""
        self.running += 1
        self.held += footprint.held
        self.mean += footprint.mean
        self.variance += footprint.variance

    def remove(self, footprint: Footprint) -> None:
        """Forget a generation that ended."""
        self.running -= 1
        if self.running == 0:
            # Sums of floats drift; an empty target is exactly empty.
            self.held, self.mean, self.variance = 0, 0.0, 0.0
            return
        self.held -= footprint.held
        self.mean -= footprint.mean
        self.variance -= footprint.variance

    def predict_memory(
        self, added: Footprint, growth: float, deviations: float
    ) -> float:
        """Return the tokens that it will hold at its fullest with ``added``."""
        mean = self.mean + added.mean
        spread = math.sqrt(max(0.0, self.variance + added.variance))
        return self.held + added.held + growth * mean + deviations * spread

    def adapt_limit(self, gap: float, goal: float, running: float, now: Millis) -> None:
        """Move the limit by one observed gap: up by little, down by a share.

        Args:
            gap: Observed gap, in milliseconds.
            goal: Gap above which the limit falls, in milliseconds.
            running: All generations on the target, other entries' included.
            now: Monotonic time.
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
