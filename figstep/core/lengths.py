"""Estimates of the lengths of answers, from those of completed answers."""

import math
from dataclasses import dataclass, field

from figstep.core.specs import GenerationWork

BINS_PER_DOUBLING = 2
"""Number of bins between a length and twice that length."""

BIN_COUNT = 40
"""Number of bins of a histogram; the last one holds all longer answers too."""

DECAY = 0.995
"""Factor by which each new answer lowers the weight of all earlier ones."""

MIN_ANSWERS = 8.0
"""Decayed number of answers that a histogram needs before it is used."""

BINS_PER_PROMPT_CLASS = 2
"""Number of bins of prompt lengths that share a histogram."""

DEFAULT_MEAN = 256.0
"""Smallest expected rest of an answer where too few answers are known, in tokens.

If the part that was produced already is longer, the rest is expected to be as long.
"""

DEFAULT_DEVIATION = 512.0
"""Smallest standard deviation where too few answers are known, in tokens."""


@dataclass(frozen=True, slots=True)
class Remaining:
    """Estimate of the tokens still to come in an answer.

    Attributes:
        mean: Expected number of tokens.
        variance: Variance of that number, in tokens squared.
    """

    mean: float
    variance: float


UNKNOWN_REMAINING = Remaining(DEFAULT_MEAN, DEFAULT_DEVIATION**2)
"""Estimate of a whole answer where too few answers are known."""


def find_bin(tokens: int) -> int:
    """Return the logarithmic bin of a length in tokens, from 0 to BIN_COUNT - 1."""
    if tokens <= 1:
        return 0
    return min(BIN_COUNT - 1, int(BINS_PER_DOUBLING * math.log2(tokens)))


def compute_bin_midpoint(number: int) -> float:
    """Return the geometric middle of a bin, in tokens."""
    return float(2 ** ((number + 0.5) / BINS_PER_DOUBLING))


_BIN_MIDPOINTS = [compute_bin_midpoint(number) for number in range(BIN_COUNT)]


@dataclass(slots=True)
class Histogram:
    """Decayed counts of answer lengths in logarithmic bins.

    Instead of scaling down all bins, the weight of each new answer grows. The bins
    are scaled down only when that weight reaches 1e9, so the amortized cost of
    recording an answer hardly depends on the number of bins.

    Attributes:
        weights: Weight of the answers of each bin.
    """

    weights: list[float] = field(default_factory=lambda: [0.0] * BIN_COUNT)
    total: float = 0.0
    next_weight: float = 1.0

    def record_length(self, tokens: int) -> None:
        """Record the length of one answer, in tokens."""
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
        """Number of recorded answers, where older ones count less."""
        return self.total / self.next_weight

    def estimate(self, produced: int) -> Remaining | None:
        """Return the estimate of the tokens that follow ``produced`` tokens.

        Only the answers in the bin of ``produced`` and in longer ones are used.

        Returns:
            The estimate, or None if the answers in these bins weigh less than one
            new answer.
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
"""Customer, model, kind and class of the prompt length of a histogram.

An empty text, or a class of -1, stands for all values.
"""


class LengthTable:
    """Histograms of answer lengths by customer, model, kind and prompt length.

    Each answer is recorded under all of its keys, from the narrowest to the widest;
    an estimate uses the narrowest key with enough answers.
    """

    def __init__(self) -> None:
        self._histograms: dict[Key, Histogram] = {}

    def record_length(self, customer: str, work: GenerationWork, tokens: int) -> None:
        """Record the length of a completed answer, in tokens."""
        for key in list_keys(customer, work):
            histogram = self._histograms.get(key)
            if histogram is None:
                histogram = self._histograms[key] = Histogram()
            histogram.record_length(tokens)

    def estimate(
        self, customer: str, work: GenerationWork, produced: int = 0
    ) -> Remaining:
        """Return the estimate of the tokens that follow ``produced`` tokens.

        The narrowest key with enough answers is used. If no key has an estimate, as
        for an answer longer than all recorded ones, the expected rest is as long as
        ``produced``, and at least ``DEFAULT_MEAN``. If the mean exceeds half of the
        tokens that the caller's ``max_tokens`` leaves, the mean is limited to these
        tokens, and the variance to the square of their half.
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
        """Return the expected number of tokens that follow ``produced`` tokens."""
        return self.estimate(customer, work, produced).mean


def list_keys(customer: str, work: GenerationWork) -> list[Key]:
    """Return the keys under which an answer is recorded, the narrowest first."""
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
    # A quarter of the squared range is the largest variance of a bounded value.
    return Remaining(
        min(remaining.mean, max_remaining),
        min(remaining.variance, max_remaining * max_remaining / 4),
    )
