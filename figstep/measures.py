"""Latency measures of streams, computed from the arrival times of their events."""

from collections.abc import Iterable
from dataclasses import dataclass, field

STALL_THRESHOLD_MS = 250.0
"""Threshold in milliseconds: a longer wait counts as a stall with its whole length."""


@dataclass(slots=True)
class StreamTimes:
    """Timestamps of one request as its caller observed them.

    All times are in milliseconds on one monotonic clock.

    Attributes:
        tokens: Arrival time of each token event.
        ended: Time at which the caller had read the answer or abandoned the request,
            or None before that.
        whole: Whether the answer was complete.
        refused: Code of the problem that ended the request, or "". A request with a
            complete answer has none.
    """

    customer: str
    sent_at: float
    tokens: list[float] = field(default_factory=list)
    ended: float | None = None
    whole: bool = False
    refused: str = ""

    def list_waits(self) -> list[float]:
        """Return the wait for the first token, then the gaps between tokens."""
        waits = []
        previous = self.sent_at
        for at in self.tokens:
            waits.append(at - previous)
            previous = at
        return waits


@dataclass(frozen=True, slots=True)
class Summary:
    """Measures of a run, with times in milliseconds; gaps are between two tokens.

    Attributes:
        whole: Number of requests with a complete answer.
        refused: Number of requests that ended with a problem.
        broken: Number of requests with neither a complete answer nor a problem.
        tokens: Number of token events received.
        stall_sum: Sum of the stall times of all streams. A stream's stall time
            includes the wait for its first token.
        stall_p99: 99th percentile over streams of the stall time per stream.
        first_token_p95: 95th percentile of the time to the first token.
        least_share: Smallest fraction of completely answered requests over all
            customers, from 0 to 1.
    """

    requests: int
    whole: int
    refused: int
    broken: int
    tokens: int
    stall_sum: float
    stall_p99: float
    first_token_p95: float
    gap_p50: float
    gap_p95: float
    gap_p99: float
    gap_max: float
    least_share: float


def find_percentile(values: Iterable[float], percent: float) -> float:
    """Return the nearest-rank percentile of values in any order; 0 for no values.

    ``percent`` is the rank of the result in percent of the number of values, from 0 to
    100.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(0, int(rank) - 1)]


def sum_stalls(stream: StreamTimes) -> float:
    """Return the total stall time of a stream, in milliseconds.

    Each wait above ``STALL_THRESHOLD_MS`` counts in full, including the wait for the
    first token.
    """
    return sum(wait for wait in stream.list_waits() if wait > STALL_THRESHOLD_MS)


def summarize_streams(streams: list[StreamTimes]) -> Summary:
    """Return the measures over all streams of a run."""
    gaps: list[float] = []
    firsts = []
    for stream in streams:
        waits = stream.list_waits()
        firsts += waits[:1]
        gaps += waits[1:]
    stalls = [sum_stalls(stream) for stream in streams]
    whole = sum(stream.whole for stream in streams)
    refused = sum(bool(stream.refused) for stream in streams)
    return Summary(
        requests=len(streams),
        whole=whole,
        refused=refused,
        broken=len(streams) - whole - refused,
        tokens=sum(len(stream.tokens) for stream in streams),
        stall_sum=sum(stalls),
        stall_p99=find_percentile(stalls, 99),
        first_token_p95=find_percentile(firsts, 95),
        gap_p50=find_percentile(gaps, 50),
        gap_p95=find_percentile(gaps, 95),
        gap_p99=find_percentile(gaps, 99),
        gap_max=max(gaps, default=0.0),
        least_share=_find_least_share(streams),
    )


def _find_least_share(streams: list[StreamTimes]) -> float:
    requested: dict[str, int] = {}
    answered: dict[str, int] = {}
    for stream in streams:
        requested[stream.customer] = requested.get(stream.customer, 0) + 1
        if stream.whole:
            answered[stream.customer] = answered.get(stream.customer, 0) + 1
    shares = [answered.get(name, 0) / count for name, count in requested.items()]
    return min(shares, default=1.0)
