"""Software versions at which streams began.

What targets of two software versions write does not fit together, and no target checks
what another one wrote: a stream goes on only at the version that began it.
`eligibility` asks for that version wherever a target is chosen.

A registration tells the version of the incarnation that wrote it. An engine may restart
under its id as another version before that is read, and its answers name no version.
The version of a stream is therefore known only if the engine states, after the stream
was opened, the start that is registered with that version.
"""

from figstep.core.clock import Millis
from figstep.gateway import history, placement, sources, versions
from figstep.gateway.effects import Announce, Confirmation, Effect, Note
from figstep.gateway.events import PeerHeard, RoutedRequest
from figstep.gateway.routes import Route, RouteKind
from figstep.gateway.starts import (
    START_ANNOUNCE_DURATION,
    UNKNOWN_VERSION,
    StreamStart,
    hash_stream,
)
from figstep.gateway.state import Attempt, Origin, Request, State
from figstep.gateway.targets import Target

UNKNOWN = Origin(None)
"""Origin of a stream whose version is not known, so that it goes on nowhere."""


def choose_confirmation(state: State, request: Request, target: Target) -> Confirmation:
    """Return what rests on the start that a target states after it opened a stream.

    A stream that has begun is not read if its version would be a guess. That holds for
    copies as well: a holder may have restarted before it received the copy.
    """
    if request.route.kind is not RouteKind.STREAM:
        return Confirmation.NONE
    if not _states_start(state, target):
        begins = request.route.resumable and request.origin is None
        return Confirmation.RECORD if begins else Confirmation.NONE
    if request.origin is not None:
        return Confirmation.STREAM
    if request.route.resumable:
        return Confirmation.VERSION
    if placement.copies_runs(state, request.service):
        return Confirmation.COPY
    return Confirmation.NONE


def _states_start(state: State, target: Target) -> bool:
    """Return whether a target can state its start: plain services give no report."""
    if placement.find_engine_pool(state, target.info.service) is None:
        return False
    return target.info.born != 0


def find_origin(attempt: Attempt) -> Origin:
    """Return the origin of a stream whose first event an attempt delivers now.

    It is not known if another entry got the request, nor if the target did not state
    the start that it registered.
    """
    if attempt.relay is not None or not attempt.confirmed:
        return UNKNOWN
    return Origin(attempt.target.info.version)


def rests_on_only_version(
    state: State, spec: RoutedRequest, route: Route, now: Millis
) -> bool:
    """Return whether a stream that is taken up was begun by the only version, if any.

    This entry was not told its start, and knows one version of the service.
    """
    if route.kind is not RouteKind.STREAM or spec.version is not None:
        return False
    if not (spec.after or spec.resumes):
        return False
    stream = hash_stream(spec.resumes or spec.id, spec.digest)
    if state.starts.find_version(stream) is not None:
        return False
    services = [service for service, _ in route.shares]
    return versions.find_sole_version(state, services, now) is not None


def find_resumed_origin(
    state: State, spec: RoutedRequest, route: Route, now: Millis, versions_read: bool
) -> Origin | None:
    """Return the origin of a stream that a caller or another entry takes up again.

    ``versions_read`` states that the versions on record were read after it arrived.

    Returns:
        None if the request does not take a stream up. The origin is unknown if this
        entry was not told the start of the stream and cannot tell that targets had one
        version only, or if it knows that nobody knows it, whatever an entry says that
        passes it on.
    """
    if route.kind is not RouteKind.STREAM:
        return None
    stream = hash_stream(spec.resumes or spec.id, spec.digest)
    version = state.starts.find_version(stream)
    takes_up = spec.version is not None or spec.after or spec.resumes
    if takes_up and version == UNKNOWN_VERSION:
        return UNKNOWN
    if spec.version is not None:
        return Origin(spec.version)
    if not takes_up:
        return None
    if version is None and versions_read:
        services = [service for service, _ in route.shares]
        version = versions.find_begun_version(state, services, now)
    return Origin(version)


def record_start(
    state: State, request: Request, attempt: Attempt, now: Millis
) -> list[Effect]:
    """Record the start of a stream that its caller may take up again at any entry.

    Other entries are told at once if they could not know the version otherwise, and if
    they would take the only version of the service for one that is not known.
    """
    spec, origin = request.spec, request.origin
    if not request.route.resumable or spec.after or spec.resumes:
        return []
    if origin is None or attempt.relay is not None:
        return []
    stream = hash_stream(spec.id, spec.digest)
    start = StreamStart(stream, origin.version or UNKNOWN_VERSION)
    was_unknown = state.starts.find_version(stream) == UNKNOWN_VERSION
    state.starts.record_own(start, request.service, now)
    if was_unknown or origin == UNKNOWN or request.service in state.announced_since:
        return [Announce()]
    return []


def describe_unknown(request: Request, attempt: Attempt) -> list[Effect]:
    """Return a log line for a stream that begins and whose version is not known."""
    if request.origin != UNKNOWN or attempt.relay is not None:
        return []
    fields: dict[str, str | int | float | None] = {
        "request": request.spec.id,
        "target": attempt.target.name,
    }
    return [Note("version of a stream not known", fields)]


def describe_taken_up(
    state: State,
    spec: RoutedRequest,
    origin: Origin | None,
    arrived: Millis,
    now: Millis,
) -> list[Effect]:
    """Return a log line for a stream that is taken up: its version, and how known.

    ``view_ms`` is the time since registrations last reached this entry, ``read_ms``
    since it last began to read the versions on record.
    """
    if origin is None:
        return []
    fields: dict[str, str | int | float | None] = {
        "request": spec.id,
        "resumes": spec.resumes,
        "version": origin.version,
        "known": _describe_source(state, spec, origin),
        "configuration": sources.get_configuration_version(state),
        "waited_ms": now - arrived,
        "view_ms": now - state.records_read_at,
        "read_ms": now - state.history.read_begun_at,
        "history_found": state.history.found,
        "told_versions": state.was_told_versions,
        "running_ms": now - state.budget.started,
    }
    return [Note("stream taken up", fields)]


def _describe_source(state: State, spec: RoutedRequest, origin: Origin) -> str:
    source = state.starts.find_source(hash_stream(spec.resumes or spec.id, spec.digest))
    if origin.version is None:
        return "not known" if source is None else f"not known, {source.value}"
    if spec.version is not None:
        return "named by the entry that passed it on"
    return "only version" if source is None else source.value


def apply_starts(state: State, event: PeerHeard, now: Millis) -> None:
    """Apply what another entry tells of starts and of versions that targets had."""
    history.apply_recorded(state, event, now)
    known = state.peers.get(event.node)
    is_back = known is None or now - known.last_received_at >= START_ANNOUNCE_DURATION
    if is_back and not event.far:
        # It has heard none of the messages in which this entry has told its starts.
        state.announced_since = dict.fromkeys(state.announced_since, now)
    for start in event.starts:
        # Each failure domain of a large fleet writes its own streams.
        state.starts.record_announced(start, now, recorded=event.far)
    if event.knows_versions:
        versions.apply_past_versions(state, event.past_versions, now)
        state.was_told_versions = True
        versions.update_announced_services(state, now)
