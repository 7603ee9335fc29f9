"""Sizes and traffic of the deployments that are run."""

import math
import random
from dataclasses import dataclass

from tests.faults.records import Kind
from tests.platform.memory import STRIDE


@dataclass(frozen=True, slots=True)
class Shape:
    """Size and traffic of a deployment.

    Attributes:
        domains: Number of entries, by failure domain.
        rates: Requests a second, by kind.
        retry_extra: Repeats in a window of the fleet's retry budget besides a share.
        work: Mean duration of a call, in seconds.
        memory: Tokens that the memory of an engine holds.
        moves: Whether engines copy runs on order; else they only keep backups.
    """

    domains: dict[str, int]
    engines: int
    services: int
    rates: dict[Kind, float]
    retry_extra: int
    work: float
    memory: int
    moves: bool = True

    def list_domains(self) -> list[str]:
        """Return the failure domain of each entry."""
        return [name for name, count in self.domains.items() for _ in range(count)]


@dataclass(frozen=True, slots=True)
class Options:
    """How the engines, callers and links of a run differ from the usual ones.

    Attributes:
        framing: Framing of all streams; "" to draw one for each.
        open_share: Share of the streams that end with the connection, while the others
            come in chunks; None to draw a framing for each.
        late_share: Share of the events of streams that come late.
        slow_share: Share of the callers of streams that read slowly.
        deadlines: Whether streams are given short deadlines, which engines keep.
        clock_back: Whether each restart of a target sets its start back.
        event_tokens: Mean number of tokens in an event of a stream.
        true_maximum: Whether callers name as maximum what their stream has.
        proxies: Whether a faulty proxy is before each target.
        pinless: Whether engines pin nothing, as older ones.
        pins: Whether the configuration states how long engines pin.
        sleeping: Whether engines close one stream in thirty early and stand still
            right after.
        busy: Number of processes beside the run that keep a core busy each.
        truncated: Whether engines cut some open-ended streams whose run they complete
            and keep.
        shortened: Whether engines end some streams in chunks in order, though their
            run is not complete.
        block: Tokens of a block of an engine's memory, of which it lists whole ones.
        first_id: Id of the first event of each stream.
        odd_events: Whether events have further lines, and come in pieces.
        sessions: Number of sessions, one of which the last part of each prompt is of; 0
            for a last part of its own.
        kills: Interval in seconds at which all entries are killed at once; 0 for never.
        named_returns: Whether callers that take a stream up name their first attempt.
        overlaps: Whether callers that take a stream up do not end their first attempt.
        releases: Whether all engines begin with one version, and the plan is one of
            releases that are rolled back, beside entries that are cut off.
    """

    framing: str = ""
    open_share: float | None = None
    late_share: float = 0.0
    slow_share: float = 0.0
    deadlines: bool = False
    clock_back: bool = False
    event_tokens: float = STRIDE
    true_maximum: bool = False
    proxies: bool = False
    pinless: bool = False
    pins: bool = True
    sleeping: bool = False
    busy: int = 0
    truncated: bool = False
    shortened: bool = False
    block: int = 1
    first_id: int = 1
    odd_events: bool = False
    sessions: int = 0
    kills: float = 0.0
    named_returns: bool = True
    overlaps: bool = False
    releases: bool = False


USUAL = Options()
"""Options of a run that states none."""

RATES = {Kind.PLAN: 1.75, Kind.RESUME: 2.4, Kind.ORDER: 15.0, Kind.LOOKUP: 6.0}

SHAPES = {
    "langar-by": Shape(
        {"muc-a": 3, "muc-b": 3, "nue-a": 1, "aug-a": 1},
        engines=5,
        services=4,
        rates=RATES,
        retry_extra=56,
        work=0.045,
        memory=34_364,
    ),
    "rmia-figstep": Shape(
        {"ie-a": 3, "ie-b": 3, "ie-c": 1},
        engines=5,
        services=3,
        rates=RATES,
        retry_extra=54,
        work=0.09,
        memory=34_447,
    ),
}
"""Deployments, by name."""

MAX_EVENTS = {Kind.PLAN: 549, Kind.RESUME: 13}
"""Largest number of events in a complete stream, by kind."""

MEAN_EVENTS = 232
"""Mean number of events in a long stream."""

SPREAD = 0.84
"""Standard deviation of that number, in means."""

MIN_SHORT_EVENTS = 3
"""Smallest number of events in a short stream."""


def draw_length(rng: random.Random, kind: Kind) -> int:
    """Return the number of events of a stream."""
    if kind is Kind.RESUME:
        return rng.randint(MIN_SHORT_EVENTS, MAX_EVENTS[kind])
    variance = math.log(1 + SPREAD**2)
    drawn = rng.lognormvariate(
        math.log(MEAN_EVENTS) - variance / 2, math.sqrt(variance)
    )
    return max(1, min(MAX_EVENTS[kind], round(drawn)))
