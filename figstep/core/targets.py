"""What targets report of themselves, and the ledger of what they are given."""

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
ESTIMATE_GROWTH = 0.25
INITIAL_AVOIDANCE = Millis(500)
MAX_AVOIDANCE = Millis(8_000)
GAP_SMOOTHING = 0.1
OUTLIER_FACTOR = 4.0
REPORT_LIFETIME = Millis(10_000)
OWN_SHARE_THRESHOLD = 0.8
"""Above this share of a report the rest is taken for an error of timing."""

MAX_ENTRIES = 8.0
OTHERS_MEMORY_FACTOR = 1.25
DEFAULT_OTHERS_MEMORY = 700.0
MAX_PREFIXES = 64
NO_REVIEW = 1 << 62


def record_load(state: State, event: LoadReported, now: Millis) -> list[Effect]:
    """Keep a load report; one of an older incarnation is stale."""
    target = state.targets.get(event.target)
    if target is None or event.incarnation < target.incarnation:
        return []
    if event.incarnation > target.incarnation:
        target.incarnation = event.incarnation
        # The pause was for the one that died; were it kept, callers would wait
        # in the queue of an idle engine that has just come back.
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
    """Return how many generations other entries run on a target.

    Peers tell it; where they don't, the last report less what this entry ran
    at that time does. A report is old and every entry sees the same room in
    it: what this entry added since, the others are taken to have added each.
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
    """Return the tokens that another entry's generation is taken to hold."""
    if target.running:
        return OTHERS_MEMORY_FACTOR * target.memory_used / target.running
    if target.pace.running:
        return OTHERS_MEMORY_FACTOR * target.pace.held / target.pace.running
    return DEFAULT_OTHERS_MEMORY


def estimate_footprint(
    state: State, spec: RequestSpec, produced: int, now: Millis
) -> Footprint | None:
    """Return what a generation holds and needs; None for a plain service."""
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
    """Count an attempt on a target that it is about to run on."""
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
    """Forget an attempt that ended."""
    target.in_flight -= 1
    if attempt.footprint is not None:
        target.pace.remove(attempt.footprint)


def review_attempt(
    state: State, attempt: AttemptState, request: RequestState, now: Millis
) -> None:
    """Bring an attempt's footprint and its target's pace up to date.

    Runs once in several tokens, so that a token costs one comparison.
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
    # A stream that was pushed off shows one huge gap, which tells nothing of
    # the pace of the others.
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
    """Begin a target's expected gap from its inventory entry."""
    if isinstance(target.info, EngineInfo):
        target.pace.gaps.start(target.info.speed)


def record_loss(target: TargetState, now: Millis) -> None:
    """Give a target that lost an attempt a growing pause."""
    pace = target.pace
    pause = min(MAX_AVOIDANCE, INITIAL_AVOIDANCE << min(10, pace.losses))
    pace.losses += 1
    pace.avoid_until = Millis(now + pause)
