"""Decides which requests are refused or held back for crashes of targets."""

from figstep.core.attribution import is_part
from figstep.core.clock import Millis
from figstep.gateway import shares
from figstep.gateway.crashes import list_parts, name_request
from figstep.gateway.events import RoutedRequest
from figstep.gateway.state import Request, State

SETTLING_RETRY_AFTER = Millis(400)
"""Retry delay, in milliseconds, of a request that is refused while other entries may
still report which other requests were at the crashed targets."""

REFUSED_RETRY_AFTER = Millis(30_000)
"""Retry delay, in milliseconds, of a request that seems to crash targets. After that it
may be tried again."""

CAUTION_DURATION = Millis(1_000)
"""Time, in milliseconds, after a crash for which no request starts that has the part
in doubt. Other entries report meanwhile whether their runs with the part go on."""

TRIAL_DELAY = Millis(180_000)
"""Time, in milliseconds, after the last crash by a part until one request with it may
run again. The engines may have been changed since."""

REQUEST_TRIAL_DELAY = REFUSED_RETRY_AFTER
"""Time, in milliseconds, after the last crash of a refused request until it may run
again. Its targets may have ended for other reasons."""

TRIAL_SPACING = Millis(250)
"""Mean time, in milliseconds, between the moments at which entries may make such a
trial. The first one's result reaches the other entries meanwhile."""

PROBATION_SPACING = Millis(100)
"""Time, in milliseconds, between the moments from which entries may send a request that
was answered before its crashes. It is shorter than that of trials: callers wait for
it, and the request is most likely harmless."""


def list_subjects(spec: RoutedRequest) -> list[str]:
    """Return what a request may be refused for: itself and parts of its prompt."""
    return [name_request(spec), *list_parts(spec)]


def find_culprit(state: State, spec: RoutedRequest, now: Millis) -> str | None:
    """Return what a request is refused for; None if it may run."""
    if not state.crashes.has_suspects:
        return None
    return state.crashes.find_culprit(list_subjects(spec), now)


def is_refused(state: State, request: Request, now: Millis) -> bool:
    """Return whether a request is refused for its crashes, or for those of a part."""
    if request.on_trial:
        return False
    return find_culprit(state, request.spec, now) is not None


def begin_trial(state: State, culprit: str, now: Millis) -> bool:
    """Return whether a request may show that it, or a refused part, is harmless.

    Entries try it at different times, so that they learn of each other's trials.
    """
    first = TRIAL_DELAY if is_part(culprit) else REQUEST_TRIAL_DELAY
    delay = first + TRIAL_SPACING * shares.find_turn(state, culprit)
    return state.crashes.may_try(culprit, Millis(delay), now)


def must_wait(state: State, request: Request, now: Millis) -> bool:
    """Return whether a request has to wait as it, or a part, may crash its target.

    It waits for a while after the last crash, and then for another request with the
    part, or for the same request, that this entry has sent. The entries send requests
    on probation one after another, so that they learn how the first one ended.
    """
    if request.on_trial or not state.crashes.has_suspects:
        return False
    subjects = list_subjects(request.spec)
    part = state.crashes.find_doubtful_part(subjects, now)
    if part is not None:
        if now - state.crashes.find_last_crash(part) < CAUTION_DURATION:
            return True
        if _is_running(state, part, request):
            return True
    probationer = state.crashes.find_probationer(subjects, now)
    if probationer is None:
        return False
    delay = Millis(PROBATION_SPACING * shares.find_turn(state, probationer))
    if now - state.crashes.find_last_crash(probationer) < delay:
        return True
    return _is_running(state, probationer, request)


def _is_running(state: State, subject: str, request: Request) -> bool:
    for other in state.requests.values():
        if other is request or other.current is None:
            continue
        if subject in list_subjects(other.spec):
            return True
    return False


def choose_retry_after(state: State, culprit: str | None, now: Millis) -> Millis:
    """Return the retry delay, in milliseconds, of a request refused for its crashes."""
    if culprit is not None and state.crashes.is_settled(culprit, now):
        return REFUSED_RETRY_AFTER
    return SETTLING_RETRY_AFTER
