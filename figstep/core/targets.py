"""Load reports of targets, and the accounting of what this entry runs on them."""

from figstep.core.clock import Millis
from figstep.core.effects import Effect
from figstep.core.events import LoadReported
from figstep.core.inventory import EngineInfo
from figstep.core.lengths import Remaining
from figstep.core.pacing import Footprint
from figstep.core.policies import Figstep
from figstep.core.specs import GenerationWork, RequestSpec
from figstep.core.state import AttemptState, RequestState, State, TargetState

REVIEW_INTERVAL = 8
"""Number of events between two reviews of an attempt's footprint."""

ESTIMATE_GROWTH = 0.25
"""Fraction by which an answer has to grow before its estimate is renewed.

``REVIEW_INTERVAL`` events are added to that growth.
"""

INITIAL_AVOIDANCE = Millis(500)
"""Time without new generations after a target's first lost attempt, in milliseconds.

It doubles with each further loss in a row, up to ``MAX_AVOIDANCE``.
"""

MAX_AVOIDANCE = Millis(8_000)
"""Longest time without new generations after a lost attempt, in milliseconds."""

GAP_SMOOTHING = 0.1
"""Weight of a new gap between tokens in the smoothed gap."""

OUTLIER_FACTOR = 4.0
"""Multiple of the smoothed gap to which a new gap is limited when it is smoothed."""

REPORT_LIFETIME = Millis(10_000)
"""Age up to which a load report is used to estimate other entries' load, in
milliseconds."""

OWN_SHARE_THRESHOLD = 0.8
"""Fraction of the reported generations from which this entry's own leave no others.

The rest is then taken for an error of timing between the report and this entry.
"""

MAX_ENTRIES = 8.0
"""Maximum number of other entries that is assumed from a load report."""

OTHERS_MEMORY_FACTOR = 1.25
"""Factor on the average memory of a running generation, to allow for its growth."""

DEFAULT_OTHERS_MEMORY = 700.0
"""Assumed memory of a generation on a target where none is known to run, in tokens."""

MAX_PREFIXES = 64
"""Maximum number of prompt prefixes that are kept for a target."""

NO_REVIEW = 1 << 62
"""Index of an event that no answer reaches, for attempts without a footprint."""


def record_load(state: State, event: LoadReported, now: Millis) -> list[Effect]:
    """Record a load report, unless it is of an older incarnation.

    A newer incarnation ends the avoidance of the target and its mark as leaving.
    """
    target = state.targets.get(event.target)
    if target is None or event.incarnation < target.incarnation:
        return []
    if event.incarnation > target.incarnation:
        target.incarnation = event.incarnation
        # The avoidance was for the incarnation that ended. If it were kept, requests
        # would wait in the queue while the restarted engine is idle.
        target.pace.avoid_until = Millis(0)
        target.pace.losses = 0
        target.leaving = False
    target.leaving = target.leaving or event.leaving
    target.running = event.running
    target.waiting = event.waiting
    target.memory_used = event.memory_used
    target.memory_total = event.memory_total
    target.models = event.models
    target.reported = Millis(now - event.age)
    target.pace.record_running(now)
    target.pace.own_at_report = target.pace.count_running_at(target.reported)
    return []


def estimate_others_running(target: TargetState, now: Millis) -> float:
    """Return the estimated number of generations of other entries on a target.

    The counts that peers report are used if there are any. Otherwise the estimate is
    the number in the last load report less what this entry ran at the time of the
    report. As the report is old and shows all entries the same free capacity, each
    other entry is assumed to have added as many generations since then as this one
    has. The estimate is 0 without a report, or if the report is older than
    ``REPORT_LIFETIME`` or shows almost only this entry's generations.
    """
    if target.peers_in_flight:
        return float(target.peers_in_flight)
    if target.reported is None or now - target.reported > REPORT_LIFETIME:
        return 0.0
    pace = target.pace
    total = target.running + target.waiting
    if pace.own_at_report >= OWN_SHARE_THRESHOLD * total:
        return 0.0
    others = total - pace.own_at_report
    added = max(0, pace.running - pace.own_at_report)
    entries = min(MAX_ENTRIES, others / max(1, pace.own_at_report))
    return others + entries * added


def estimate_others_memory(target: TargetState) -> float:
    """Return the assumed memory of one generation of another entry, in tokens."""
    if target.running:
        return OTHERS_MEMORY_FACTOR * target.memory_used / target.running
    if target.pace.running:
        return OTHERS_MEMORY_FACTOR * target.pace.held / target.pace.running
    return DEFAULT_OTHERS_MEMORY


def estimate_footprint(
    state: State, spec: RequestSpec, produced: int, now: Millis
) -> Footprint | None:
    """Return the footprint of a generation, or None for a plain service.

    ``produced`` is the number of tokens of the answer so far.
    """
    if not isinstance(spec.work, GenerationWork):
        return None
    remaining = state.lengths.estimate(spec.customer, spec.work, produced)
    return Footprint(
        held=spec.work.prompt_tokens + produced,
        mean=remaining.mean,
        variance=remaining.variance,
        review_at=produced + 1,
        reviewed=now,
        produced=produced,
        next_estimate=produced + REVIEW_INTERVAL,
    )


def reserve_target(
    state: State,
    target: TargetState,
    attempt: AttemptState,
    request: RequestState,
    now: Millis,
) -> None:
    """Add an attempt that is about to start to the counts of its target."""
    target.in_flight += 1
    spec = request.spec
    footprint = estimate_footprint(state, spec, request.delivered, now)
    if footprint is None:
        return
    attempt.footprint = footprint
    attempt.review_at = footprint.review_at
    target.pace.add(footprint)
    target.pace.record_running(now)
    if isinstance(spec.work, GenerationWork) and spec.work.prefix:
        prefixes = target.pace.prefixes
        prefixes.pop(spec.work.prefix, None)
        prefixes[spec.work.prefix] = now
        if len(prefixes) > MAX_PREFIXES:
            del prefixes[next(iter(prefixes))]


def release_target(state: State, target: TargetState, attempt: AttemptState) -> None:
    """Remove an attempt that ended from the counts of its target."""
    target.in_flight -= 1
    if attempt.footprint is not None:
        target.pace.remove(attempt.footprint)


def review_attempt(
    state: State, attempt: AttemptState, request: RequestState, now: Millis
) -> None:
    """Update an attempt's footprint and the speed of its target.

    It runs at the first event and then once in ``REVIEW_INTERVAL`` events, so that
    other events cost only one comparison.
    """
    footprint, target = attempt.footprint, state.targets.get(attempt.target)
    work = request.spec.work
    if footprint is None or target is None or not isinstance(work, GenerationWork):
        attempt.review_at = NO_REVIEW
        return
    produced = request.delivered
    grown = produced - footprint.produced
    if footprint.review_at > footprint.produced + 1 and grown > 0:
        _record_gap(state, target, (now - footprint.reviewed) / grown, now)
    target.pace.losses = 0
    pace = target.pace
    pace.held -= footprint.held
    pace.mean -= footprint.mean
    pace.variance -= footprint.variance
    footprint.held += grown
    footprint.mean = max(1.0, footprint.mean - grown)
    if produced >= footprint.next_estimate:
        remaining: Remaining = state.lengths.estimate(
            request.spec.customer, work, produced
        )
        footprint.mean, footprint.variance = remaining.mean, remaining.variance
        footprint.next_estimate = produced + REVIEW_INTERVAL
        footprint.next_estimate += int(produced * ESTIMATE_GROWTH)
    footprint.produced = produced
    footprint.reviewed = now
    footprint.review_at = attempt.review_at = produced + REVIEW_INTERVAL
    pace.held += footprint.held
    pace.mean += footprint.mean
    pace.variance += footprint.variance


def _record_gap(state: State, target: TargetState, gap: float, now: Millis) -> None:
    pace = target.pace
    # A preempted generation shows one very long gap, which says nothing about the
    # speed of the others.
    bounded = min(gap, OUTLIER_FACTOR * pace.gap) if pace.gap else gap
    pace.gap += GAP_SMOOTHING * (bounded - pace.gap) if pace.gap else bounded
    if pace.gaps.weight == 0.0:
        initialize_gaps(target)
    running = pace.running + estimate_others_running(target, now)
    pace.gaps.add_sample(running, gap)
    match state.policy:
        case Figstep(limit=True, gap_goal=goal):
            pace.adapt_limit(pace.gap, goal, running, now)
        case _:
            pass


def initialize_gaps(target: TargetState) -> None:
    """Initialize the gap regression of an engine from its speed in the inventory."""
    if isinstance(target.info, EngineInfo):
        target.pace.gaps.start(target.info.speed)


def record_loss(target: TargetState, now: Millis) -> None:
    """Record a lost attempt: the target gets no new generation for some time.

    Only the ``Figstep`` policies apply this time, and only to generations.
    """
    pace = target.pace
    pause = min(MAX_AVOIDANCE, INITIAL_AVOIDANCE << min(10, pace.losses))
    pace.losses += 1
    pace.avoid_until = Millis(now + pause)
