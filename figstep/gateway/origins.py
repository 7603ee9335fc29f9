"""Software versions at which streams began.

What targets of two software versions write does not fit together, and no target checks
what another one wrote: a stream goes on only at the version that began it.
`eligibility` asks for that version wherever a target is chosen.
"""

from figstep.core.clock import Millis
from figstep.gateway import placement, versions
from figstep.gateway.effects import Announce, Effect, Note, ReadReport
from figstep.gateway.events import PeerHeard, RoutedRequest
from figstep.gateway.routes import Route, RouteKind
from figstep.gateway.starts import UNKNOWN_VERSION, StreamStart, hash_stream
from figstep.gateway.state import Attempt, Origin, Request, State
from figstep.gateway.targets import Registration, Target

CLOCK_TOLERANCE = Millis(250)
"""Assumed bound, in milliseconds, of the difference between the clocks of an engine and
of this entry. A stream that was opened this long before an engine's start, as the
engine states it, was certainly begun by the incarnation before."""


def find_origin(state: State, attempt: Attempt) -> Origin:
    """Return the origin of a stream whose first event an attempt delivers now.

    It is not known if another entry got the request, or if the target has restarted as
    another version since the attempt was opened, or as one that is not known yet.
    """
    version = attempt.target.info.version
    current = state.targets.find(attempt.target.name)
    if attempt.relay is not None or current is None or current.restarted:
        return Origin(None)
    if current is not attempt.target and current.info.version != version:
        return Origin(None)
    return Origin(version, attempt.target.info.incarnation, attempt.opened)


def check_start(state: State, request: Request) -> list[Effect]:
    """Return a query for whether the engine that began a stream has restarted.

    It is sent where a stream may go on elsewhere, as its caller or its attempt is gone.
    An engine that still has its registered start has begun the stream; one that gives
    no report has ended, as far as this entry can tell, and not restarted.
    """
    origin = request.origin
    if origin is None or origin.version is None or origin.incarnation is None:
        return []
    target = state.targets.find(origin.incarnation.target)
    if target is None or target.info.incarnation != origin.incarnation:
        return []
    if not target.info.born or target.restarted:
        return []
    if placement.find_engine_pool(state, request.service) is None:
        return []
    return [ReadReport(target.name, start_only=True)]


def forget_uncertain(
    state: State, target: Target, born: int, now: Millis
) -> tuple[list[Request], list[Effect]]:
    """Forget the versions of streams that a later incarnation may have begun.

    A start that is earlier than the registered one, or in the future, is of a clock
    that was set. It does not tell streams apart, and all are forgotten.

    Args:
        state: State of the gateway.
        target: The target as it was registered.
        born: Start of the later incarnation, as a Unix time in milliseconds.
        now: Monotonic time in milliseconds.

    Returns:
        The requests whose version was forgotten, and effects that tell other entries.
    """
    incarnation = target.info.incarnation
    since = Millis(born - state.unix_offset - CLOCK_TOLERANCE)
    if born < incarnation.born or since > now:
        since = Millis(0)
    affected = []
    for request in state.requests.values():
        origin = request.origin
        if origin is None or origin.incarnation != incarnation:
            continue
        if origin.opened >= since:
            request.origin = Origin(None)
            affected.append(request)
    starts = state.starts.forget_versions(incarnation, since, now)
    if not affected and not starts:
        return [], []
    fields: dict[str, str | int | float | None] = {
        "target": target.name,
        "registered": incarnation.born,
        "restarted": born,
        "open": len(affected),
        "starts": starts,
    }
    return affected, [Announce(), Note("versions of streams forgotten", fields)]


def handle_restart(state: State, before: Target, info: Registration) -> None:
    """Forget the origin of the streams at a target that restarted as another version.

    A target may restart under its id before its new registration is read. It is then
    not known which of the two versions began the streams that are open there.
    """
    if before.info.version != info.version:
        forget_open(state, before)


def forget_open(state: State, target: Target) -> None:
    """Forget the origin of the streams that are open at a target."""
    for request in state.requests.values():
        current = request.current
        if current is not None and current.target is target and request.origin:
            request.origin = Origin(None)


def find_resumed_origin(
    state: State, spec: RoutedRequest, route: Route, now: Millis
) -> Origin | None:
    """Return the origin of a stream that a caller or another entry takes up again.

    Returns:
        None if the request does not take a stream up. The origin is unknown if this
        entry was not told the start of the stream and targets had several versions, or
        if it knows that nobody knows it, whatever an entry says that passes it on.
    """
    if route.kind is not RouteKind.STREAM:
        return None
    stream = hash_stream(spec.resumes or spec.id, spec.digest)
    version = state.starts.find_version(stream)
    takes_up = spec.version is not None or spec.after or spec.resumes
    if takes_up and version == UNKNOWN_VERSION:
        return Origin(None)
    if spec.version is not None:
        return Origin(spec.version)
    if not takes_up:
        return None
    if version is None:
        services = [service for service, _ in route.shares]
        version = versions.find_sole_version(state, services, now)
    return Origin(version)


def record_start(
    state: State, request: Request, attempt: Attempt, now: Millis
) -> list[Effect]:
    """Record the start of a stream that its caller may take up again at any entry.

    Other entries are told at once if they could not know the version otherwise.
    """
    spec, origin = request.spec, request.origin
    if not request.route.resumable or spec.after or spec.resumes:
        return []
    if origin is None or origin.version is None or attempt.relay is not None:
        return []
    start = StreamStart(hash_stream(spec.id, spec.digest), origin.version)
    state.starts.record_own(
        start, request.service, now, origin.incarnation, origin.opened
    )
    return [Announce()] if request.service in state.announced_since else []


def apply_starts(state: State, event: PeerHeard, now: Millis) -> None:
    """Apply what another entry tells of starts and of versions that targets had."""
    for start in event.starts:
        # Each failure domain of a large fleet writes its own streams.
        state.starts.record_announced(start, now, recorded=event.far)
    if event.knows_versions:
        versions.apply_past_versions(state, event.past_versions, now)
        state.was_told_versions = True
        versions.update_announced_services(state, now)
