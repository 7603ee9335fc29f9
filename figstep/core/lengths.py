"""Estimates of how long answers become, learnt from whole answers."""

import math
from dataclasses import dataclass, field

from figstep.core.specs import GenerationWork

BINS_PER_DOUBLING = 2
BIN_COUNT = 40
DECAY = 0.995
MIN_ANSWERS = 8.0
BINS_PER_PROMPT_CLASS = 2
DEFAULT_MEAN = 256.0
DEFAULT_DEVIATION = 512.0


@dataclass(frozen=True, slots=True)
class Remaining:
    """What is expected to come after the tokens so far, in tokens."""

    mean: float
    variance: float


UNKNOWN_REMAINING = Remaining(DEFAULT_MEAN, DEFAULT_DEVIATION**2)


def find_bin(tokens: int) -> int:
    """Return the logarithmic bin of a length."""
    if tokens <= 1:
        return 0
    return min(BIN_COUNT - 1, int(BINS_PER_DOUBLING * math.log2(tokens)))


def compute_bin_midpoint(number: int) -> float:
    """Return the length in the middle of a bin, in tokens."""
    return float(2 ** ((number + 0.5) / BINS_PER_DOUBLING))


_BIN_MIDPOINTS = [compute_bin_midpoint(number) for number in range(BIN_COUNT)]


@dataclass(slots=True)
class Histogram:
    """Decayed counts of lengths in logarithmic bins.

    Old answers fade by growing the weight of new ones, so that learning costs
    the same however many bins there are.
    """

    weights: list[float] = field(default_factory=lambda: [0.0] * BIN_COUNT)
    total: float = 0.0
    next_weight: float = 1.0

    def record_length(self, tokens: int) -> None:
        """Take in one length."""
        self.weights[find_bin(tokens)] += self.next_weight
        self.total += self.next_weight
        self.next_weight /= DECAY
        if self.next_weight < 1e9:
            return
        scale = 1.0 / self.next_weight
        self.weights = [weight * scale for weight in self.weights]
        self.total *= scale
        self.next_weight = 1.0

    @property
    def decayed_count(self) -> float:
        """Decayed number of answers."""
        return self.total / self.next_weight

    def estimate(self, produced: int) -> Remaining | None:
        """Return what remains after ``produced`` tokens; None if not known.

        Only answers at least as long as ``produced`` tell something.
        """
        first = find_bin(produced) if produced else 0
        weight = mass = square = 0.0
        for number in range(first, BIN_COUNT):
            count = self.weights[number]
            if count == 0.0:
                continue
            rest = max(1.0, _BIN_MIDPOINTS[number] - produced)
            weight += count
            mass += count * rest
            square += count * rest * rest
        if weight < self.next_weight:
            return None
        mean = mass / weight
        return Remaining(mean, max(0.0, square / weight - mean * mean))


Key = tuple[str, str, str, int]


class LengthTable:
    """Histograms by customer, model, kind and size of prompt, with fallback."""

    def __init__(self) -> None:
        self._histograms: dict[Key, Histogram] = {}

    def record_length(self, customer: str, work: GenerationWork, tokens: int) -> None:
        """Take in the length of a whole answer, in tokens."""
        for key in list_keys(customer, work):
            histogram = self._histograms.get(key)
            if histogram is None:
                histogram = self._histograms[key] = Histogram()
            histogram.record_length(tokens)

    def estimate(
        self, customer: str, work: GenerationWork, produced: int = 0
    ) -> Remaining:
        """Return what is expected after ``produced`` tokens.

        The narrowest key with enough answers is used; past everything that
        was ever seen, as much again is expected as there is already.
        """
        for key in list_keys(customer, work):
            histogram = self._histograms.get(key)
            if histogram is None or histogram.decayed_count < MIN_ANSWERS:
                continue
            remaining = histogram.estimate(produced)
            if remaining is not None:
                return _apply_max_tokens(remaining, work, produced)
        doubled = max(DEFAULT_MEAN, float(produced))
        unknown = Remaining(doubled, max(DEFAULT_DEVIATION, doubled) ** 2)
        return _apply_max_tokens(unknown, work, produced)

    def estimate_remaining(
        self, customer: str, work: GenerationWork, produced: int
    ) -> float:
        """Return the expected tokens still to come after ``produced``."""
        return self.estimate(customer, work, produced).mean


def list_keys(customer: str, work: GenerationWork) -> list[Key]:
    """Return the keys that a length counts for, the narrowest first."""
    size = find_bin(work.prompt_tokens) // BINS_PER_PROMPT_CLASS
    return [
        (customer, work.model, work.kind, size),
        (customer, work.model, work.kind, -1),
        ("", work.model, work.kind, size),
        ("", work.model, work.kind, -1),
        ("", work.model, "", -1),
        ("", "", "", -1),
    ]


def _apply_max_tokens(
    remaining: Remaining, work: GenerationWork, produced: int
) -> Remaining:
    if work.max_tokens is None:
        return remaining
    max_remaining = max(1.0, float(work.max_tokens - produced))
    if remaining.mean <= max_remaining / 2:
        return remaining
    return Remaining(
        min(remaining.mean, max_remaining),
        min(remaining.variance, max_remaining * max_remaining / 4),
    )
