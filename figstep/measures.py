"""The measures that the users weigh, from the times at which events came."""

from collections.abc import Iterable
from dataclasses import dataclass, field

STALL_THRESHOLD_MS = 250.0
"""A wait longer than this, in milliseconds, counts as a stall, whole."""


@dataclass(slots=True)
class StreamTimes:
    """What one caller saw of one request; times in milliseconds.

    Attributes:
        customer: Whose request it was.
        asked: When it was sent.
        tokens: When each token event came.
        ended: When the answer ended, or None if it never did.
        whole: Whether the answer was whole.
        refused: Code of the problem that ended it, or "".
    """

    customer: str
    asked: float
    tokens: list[float] = field(default_factory=list)
    ended: float | None = None
    whole: bool = False
    refused: str = ""

    def list_waits(self) -> list[float]:
        """Return the wait for the first token, then the gaps between tokens."""
        waits = []
        previous = self.asked
        for at in self.tokens:
            waits.append(at - previous)
            previous = at
        return waits


@dataclass(frozen=True, slots=True)
class Summary:
    """Measures of a run; times in milliseconds.

    Attributes:
        requests: Requests sent.
        whole: Requests answered whole.
        refused: Requests that ended with a problem.
        broken: Requests that ended with neither.
        tokens: Token events that came.
        stall_sum: Sum of all stalls.
        stall_p99: 99th percentile over streams of a stream's stalls.
        first_token_p95: 95th percentile of the wait for the first token.
        gap_p50: Median gap between tokens.
        gap_p95: 95th percentile of it.
        gap_p99: 99th percentile of it.
        gap_max: Longest gap between tokens.
        least_share: Least over customers of the share of its requests that
            were answered whole.
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
    """Return the smallest value that ``percent`` of all do not exceed; 0 if none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(0, int(rank) - 1)]


def sum_stalls(stream: StreamTimes) -> float:
    """Return the time that a stream waited with nothing delivered, in ms."""
    return sum(wait for wait in stream.list_waits() if wait > STALL_THRESHOLD_MS)


def summarize_streams(streams: list[StreamTimes]) -> Summary:
    """Return the measures of a run."""
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
    asked: dict[str, int] = {}
    answered: dict[str, int] = {}
    for stream in streams:
        asked[stream.customer] = asked.get(stream.customer, 0) + 1
        if stream.whole:
            answered[stream.customer] = answered.get(stream.customer, 0) + 1
    shares = [answered.get(name, 0) / count for name, count in asked.items()]
    return min(shares, default=1.0)
