"""Measures of an experiment, computed from the deliveries to callers."""

import math
from dataclasses import dataclass, field

STALL_THRESHOLD_MS = 250.0
"""Shortest wait that counts as a stall, in milliseconds; it then counts in full."""

BINS_PER_E = 50
"""Number of histogram bins per factor of e, so that a bin is 2% wide."""

FLOODING_CUSTOMER = "customer-9"
"""Customer that sends the additional requests of the fault "flood".

Measures whose name begins with ``spared`` leave this customer out.
"""


@dataclass(slots=True)
class GapHistogram:
    """Counts of gaps in logarithmic bins that are 2% wide.

    All gaps up to 1 millisecond are counted in bin 0.

    Attributes:
        bins: Counts by number of the bin.
        longest: Longest gap, in milliseconds.
    """

    bins: dict[int, int] = field(default_factory=dict)
    count: int = 0
    longest: float = 0.0

    def add(self, gap: float) -> None:
        """Count one gap, given in milliseconds."""
        number = int(BINS_PER_E * math.log(gap)) if gap > 1.0 else 0
        self.bins[number] = self.bins.get(number, 0) + 1
        self.count += 1
        if gap > self.longest:
            self.longest = gap

    def find_quantile(self, share: float) -> float:
        """Return a quantile of the gaps, in milliseconds; 0 without gaps.

        The result is the geometric middle of a bin, so the quantile is accurate to 1%
        above 1 millisecond.

        Args:
            share: Fraction of the gaps that are not above the quantile, from 0 to 1.
        """
        cumulative = 0
        for number in sorted(self.bins):
            cumulative += self.bins[number]
            if cumulative >= share * self.count:
                return math.exp((number + 0.5) / BINS_PER_E)
        return 0.0


@dataclass(slots=True)
class Stream:
    """One request as its caller observes it; all times are in milliseconds.

    Attributes:
        asked: Time of the first submission.
        length: Number of tokens of the whole answer.
        last: Time of the last delivery; before the first delivery, time of the first
            submission.
        last_asked: Time of the last submission.
        tokens: Number of tokens delivered.
        first: Time of the first delivery, or None.
        stalled: Sum of the waits of at least ``STALL_THRESHOLD_MS``, and of the whole
            wait of a request that was finally refused.
        slowest_gap: Longest gap between two deliveries.
        ended: Time at which the answer was complete, or None.
        asks: Number of submissions.
        refused: Whether the request was finally refused: the caller submits it no
            more.
        lost: Whether the request ended with a problem after it ran or may have run.
    """

    customer: str
    asked: float
    length: int
    last: float
    last_asked: float = 0.0
    tokens: int = 0
    first: float | None = None
    stalled: float = 0.0
    slowest_gap: float = 0.0
    ended: float | None = None
    asks: int = 1
    refused: bool = False
    lost: bool = False


def find_quantile(values: list[float], share: float) -> float:
    """Return a quantile of values in any order; 0 for no values.

    ``share`` is the fraction, from 0 to 1, of the values that are not above the
    quantile.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


def compute_fairness(values: list[float]) -> float:
    """Return Jain's fairness index: 1 if all values are equal, at least 1 / count."""
    squares = sum(value * value for value in values)
    if not squares:
        return 1.0
    return sum(values) ** 2 / (len(values) * squares)


@dataclass(slots=True)
class RunStatistics:
    """Statistics of one run.

    Attributes:
        streams: Streams by request.
        gaps: Gaps between successive deliveries, over all streams, in milliseconds.
            The wait for the first delivery is not a gap.
        refusals: Number of submissions refused without having run.
        late_refusals: Number of these refusals that came more than
            ``harness.LINK_DELAY`` after the submission.
    """

    streams: dict[str, Stream] = field(default_factory=dict)
    gaps: GapHistogram = field(default_factory=GapHistogram)
    refusals: int = 0
    late_refusals: int = 0

    def deliver(self, stream: Stream, now: float, tokens: int) -> None:
        """Record the delivery of tokens to a caller at ``now``, in milliseconds."""
        gap = now - stream.last
        if stream.first is None:
            stream.first = now
        else:
            self.gaps.add(gap)
            stream.slowest_gap = max(stream.slowest_gap, gap)
        stream.last = now
        stream.tokens += tokens
        if gap >= STALL_THRESHOLD_MS:
            stream.stalled += gap

    def summarize(
        self, end: float, arrivals_end: float, preemptions: int
    ) -> dict[str, float]:
        """Return the measures of a run by name.

        For a stream without an end, the wait from its last delivery until ``end``
        is added to its stall time. A stream that was finally refused or lost counts
        as such, with its stall time until then.

        The run ends at ``end`` and its arrivals at ``arrivals_end``, both in
        milliseconds. Answers that were complete by ``arrivals_end`` count for
        "tokens_in_time". ``preemptions`` is the number of preemptions of all engines.
        """
        streams = list(self.streams.values())
        for stream in streams:
            if stream.ended is None and not stream.refused and not stream.lost:
                waited = end - stream.last
                stream.stalled += waited if waited >= STALL_THRESHOLD_MS else 0.0
        completed = [s for s in streams if s.ended is not None]
        completed_before_end = [
            s for s in completed if s.ended is not None and s.ended <= arrivals_end
        ]
        stalls = [s.stalled for s in streams]
        spared = [s.stalled for s in streams if s.customer != FLOODING_CUSTOMER]
        slowest = [s.slowest_gap for s in streams]
        firsts = [s.first - s.asked for s in streams if s.first is not None]
        return {
            "requests": len(streams),
            "stall_sum_s": sum(stalls) / 1_000,
            "stall_p99_s": find_quantile(stalls, 0.99) / 1_000,
            "spared_stall_p99_s": find_quantile(spared, 0.99) / 1_000,
            "stall_p95_s": find_quantile(stalls, 0.95) / 1_000,
            "mid_stall_p99_s": find_quantile(
                [s.stalled - _compute_first_stall(s) for s in streams], 0.99
            )
            / 1_000,
            "preemptions_per_1000": 1_000 * preemptions / max(1, len(streams)),
            "gap_p50_ms": self.gaps.find_quantile(0.5),
            "gap_p95_ms": self.gaps.find_quantile(0.95),
            "gap_p99_ms": self.gaps.find_quantile(0.99),
            "gap_p999_ms": self.gaps.find_quantile(0.999),
            "gap_max_ms": self.gaps.longest,
            "slowest_gap_p95_ms": find_quantile(slowest, 0.95),
            "slowest_gap_p99_ms": find_quantile(slowest, 0.99),
            "ttft_p50_ms": find_quantile(firsts, 0.5),
            "ttft_p95_ms": find_quantile(firsts, 0.95),
            "refusals": self.refusals,
            "late_refusals": self.late_refusals,
            "given_up": sum(s.refused for s in streams),
            "lost": sum(s.lost for s in streams),
            "unfinished": sum(
                s.ended is None and not s.refused and not s.lost for s in streams
            ),
            "whole": len(completed),
            "tokens_whole": sum(s.tokens for s in completed),
            "tokens_in_time": sum(s.tokens for s in completed_before_end),
            "fairness": compute_fairness(list(self._compute_served_shares().values())),
            "least_share": min(self._compute_served_shares().values(), default=1.0),
        }

    def _compute_served_shares(self) -> dict[str, float]:
        asked: dict[str, int] = {}
        served: dict[str, int] = {}
        for stream in self.streams.values():
            name = stream.customer
            asked[name] = asked.get(name, 0) + stream.length
            if stream.ended is not None:
                served[name] = served.get(name, 0) + stream.tokens
        return {name: served.get(name, 0) / asked[name] for name in asked}


def _compute_first_stall(stream: Stream) -> float:
    if stream.first is None:
        return stream.stalled
    wait = stream.first - stream.asked
    return wait if wait >= STALL_THRESHOLD_MS else 0.0
