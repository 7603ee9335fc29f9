"""Software versions at which streams began.

What targets of two software versions write does not fit together, and no target checks
what another one wrote: a stream goes on only at the version that began it.
`eligibility` asks for that version wherever a target is chosen.
"""

from figstep.gateway.state import Attempt, Origin, State
from figstep.gateway.targets import Registration, Target


def find_origin(state: State, attempt: Attempt) -> Origin:
    """Return the origin of a stream whose first event an attempt delivers now.

    It is not known if another entry got the request, or if the target has restarted as
    another version since the attempt was opened.
    """
    version = attempt.target.info.version
    current = state.targets.find(attempt.target.name)
    if attempt.relay is not None or current is None:
        return Origin(None)
    if current is not attempt.target and current.info.version != version:
        return Origin(None)
    return Origin(version)


def handle_restart(state: State, before: Target, info: Registration) -> None:
    """Forget the origin of the streams at a target that restarted as another version.

    A target may restart under its id before its new registration is read. It is then
    not known which of the two versions began the streams that are open there.
    """
    if before.info.version == info.version:
        return
    for request in state.requests.values():
        current = request.current
        if current is not None and current.target is before and request.origin:
            request.origin = Origin(None)
