"""Settlement of waiting requests by records and events of the claims stream."""

from figstep.core import claims, ownership, requests
from figstep.core.claims import (
    ClaimLost,
    ClaimReplaced,
    ClaimWon,
    IdentityReleased,
    OutcomeRecorded,
    OwnClaim,
    OwnClaimState,
)
from figstep.core.clock import SECOND, Millis
from figstep.core.effects import Count, Effect, Refuse, WakeAt
from figstep.core.events import (
    AppendConfirmed,
    AppendUncertain,
    ClaimTimer,
    OutcomeTimer,
    RecordsRead,
    StreamUnavailable,
)
from figstep.core.problems import Problem, Ran
from figstep.core.records import CLAIMS
from figstep.core.state import Phase, RequestState, State

READ_BACK_TIMEOUT = Millis(2 * SECOND)
"""Longest wait to read back a claim whose append went unanswered, in milliseconds."""
OUTCOME_RETRY_DELAY = Millis(1 * SECOND)
"""Delay before an unanswered outcome or release is appended again, in milliseconds."""
OUTCOME_RETRY_TIMEOUT = Millis(60 * SECOND)
"""Time after which an unconfirmed outcome or release is dropped, in milliseconds.

It is counted from the first append that went unanswered.
"""


def apply_records(state: State, event: RecordsRead, now: Millis) -> list[Effect]:
    """Fold records of the claims stream and start or answer requests they settle."""
    effects: list[Effect] = []
    if event.stream != CLAIMS:
        return effects
    for record in event.records:
        match claims.fold_record(state.claims, record, now):
            case ClaimWon(record=identifier, time=time):
                effects += _settle_won(state, identifier, time, now)
            case ClaimLost(record=identifier, name=name):
                effects += _settle_lost(state, identifier, name, now)
            case ClaimReplaced(record=identifier, name=name):
                effects += _settle_lost(state, identifier, name, now)
                effects += _follow_restored(state, name, now)
            case IdentityReleased(name=name):
                effects += _settle_released(state, name)
            case OutcomeRecorded(name=name, outcome=outcome):
                effects += _settle_outcome(state, name, outcome)
            case claims.Unchanged():
                continue
    return effects


def _settle_won(state: State, record: str, time: int, now: Millis) -> list[Effect]:
    own = state.claims.own.get(record)
    if own is None or own.state is OwnClaimState.OWNED:
        # A record that the log holds twice owns the identity again once its
        # window is over; its request was started by the first copy.
        return []
    if now < state.claims.settled_at and own.state is OwnClaimState.PENDING:
        own.won = time
        return []
    return begin_owned(state, own, time, now)


def begin_owned(state: State, own: OwnClaim, time: int, now: Millis) -> list[Effect]:
    """Start the request of a claim that owns its identity.

    Args:
        state: State of this entry, changed in place.
        own: The claim.
        time: Time of the claim's record by the log's clock, in milliseconds since the
            epoch.
        now: Monotonic time, in milliseconds.
    """
    abandoned = own.state is OwnClaimState.ABANDONED
    own.state = OwnClaimState.OWNED
    request = state.requests.get(own.request)
    if abandoned or request is None:
        # The append took effect after the caller was answered with "not run".
        return ownership.release_claim(state, own)
    key_time = own.identity.time
    if key_time is not None and time - key_time > own.identity.window:
        return _refuse_expired(state, request, own)
    return requests.start_request(state, request, now)


def _refuse_expired(state: State, request: RequestState, own: OwnClaim) -> list[Effect]:
    request.claim = None
    effects = ownership.release_claim(state, own)
    problem = ownership.build_expired_problem()
    for name in own.joined:
        if state.requests.pop(name, None) is not None:
            effects.append(Refuse(name, problem))
    return [*effects, *requests.end_request(state, request, problem)]


def _settle_lost(state: State, record: str, name: str, now: Millis) -> list[Effect]:
    own = state.claims.own.get(record)
    if own is None or own.state is OwnClaimState.OWNED:
        return []
    del state.claims.own[record]
    owner = state.claims.owners[name]
    effects: list[Effect] = [Count("claims.lost")]
    for request_id in [own.request, *own.joined]:
        request = state.requests.get(request_id)
        if request is None:
            continue
        effects += ownership.follow_owner(state, request, name, owner, now)
    return effects


def _follow_restored(state: State, name: str, now: Millis) -> list[Effect]:
    """Let the requests that wait for an identity's owner wait for the restored one."""
    effects: list[Effect] = []
    for request_id in state.claims.waiters.pop(name, []):
        request = state.requests.get(request_id)
        if request is None:
            continue
        owner = state.claims.owners[name]
        effects += ownership.follow_owner(state, request, name, owner, now)
    return effects


def _settle_released(state: State, name: str) -> list[Effect]:
    problem = Problem(
        503,
        "first_not_run",
        "the first request with this identity was not run; send it again",
        retry_after=Millis(1_000),
    )
    effects: list[Effect] = []
    for request_id in ownership.pop_waiters(state, name):
        effects.append(Refuse(request_id, problem))
    return effects


def _settle_outcome(state: State, name: str, outcome: claims.Outcome) -> list[Effect]:
    effects: list[Effect] = []
    for request_id in ownership.pop_waiters(state, name):
        effects.append(ownership.answer_duplicate(request_id, outcome))
        effects.append(Count("claims.replayed"))
    return effects


def handle_unavailable(state: State, event: StreamUnavailable) -> list[Effect]:
    """Record that the claims stream cannot be read, and refuse requests that need it.

    These are the requests whose claims are not read back yet.
    """
    if event.stream != CLAIMS:
        return []
    state.claims.caught_up = False
    effects: list[Effect] = []
    for own in list(state.claims.own.values()):
        if own.state is OwnClaimState.PENDING:
            effects += _refuse_unsettled(state, own)
    return effects


def handle_uncertain(state: State, event: AppendUncertain, now: Millis) -> list[Effect]:
    """Handle an append that went unanswered.

    A claim is settled by reading it back within ``READ_BACK_TIMEOUT``. Appending it
    again under a new id could leave two claims in the log, the first of which might
    be read only after the caller was refused. If the stream cannot be read, the
    request is refused at once. An outcome or release is appended again after
    ``OUTCOME_RETRY_DELAY``.
    """
    unconfirmed = state.claims.unconfirmed.get(event.key)
    if unconfirmed is not None:
        unconfirmed.uncertain = True
        unconfirmed.since = now if unconfirmed.since is None else unconfirmed.since
        return [WakeAt(OutcomeTimer(), Millis(now + OUTCOME_RETRY_DELAY))]
    for own in list(state.claims.own.values()):
        if own.key != event.key or own.state is not OwnClaimState.PENDING:
            continue
        if not state.claims.caught_up:
            return _refuse_unsettled(state, own)
        due = Millis(now + READ_BACK_TIMEOUT)
        return [Count("claims.uncertain"), WakeAt(ClaimTimer(own.request), due)]
    return []


def handle_confirmed(state: State, event: AppendConfirmed) -> list[Effect]:
    """Stop retrying an outcome or release, as the log has confirmed its append."""
    state.claims.unconfirmed.pop(event.key, None)
    return []


def append_outcomes(state: State, now: Millis) -> list[Effect]:
    """Append unanswered outcomes and releases again, for a bounded time.

    If an outcome is lost, duplicates at other entries wait for it until
    ``OUTCOME_WAIT_TIMEOUT`` and are then refused with ``Ran.UNKNOWN``. The fold
    ignores a repeated outcome or release, so a second append is harmless.
    """
    effects: list[Effect] = []
    for key, unconfirmed in list(state.claims.unconfirmed.items()):
        if not unconfirmed.uncertain or unconfirmed.since is None:
            continue
        del state.claims.unconfirmed[key]
        if now - unconfirmed.since >= OUTCOME_RETRY_TIMEOUT:
            effects.append(Count("claims.outcome_dropped"))
            continue
        effects.append(ownership.append_unconfirmed(state, unconfirmed))
    return effects


def _refuse_unsettled(state: State, own: OwnClaim) -> list[Effect]:
    request = state.requests.get(own.request)
    if request is None:
        return ownership.release_claim(state, own)
    problem = ownership.build_unsettled_problem(state)
    return requests.end_request(state, request, problem)


def expire_claim(state: State, timer: ClaimTimer) -> list[Effect]:
    """Refuse a request that still waits for its claim or for another one's outcome."""
    request = state.requests.get(timer.request)
    if request is None or request.phase is not Phase.CLAIMING:
        return []
    own = state.claims.own.get(request.claim or "")
    if own is not None:
        return _refuse_unsettled(state, own)
    problem = Problem(
        409,
        "first_still_running",
        "another request with this identity runs and has no outcome yet; send"
        " this one again with the same key to learn it",
        ran=Ran.UNKNOWN,
        retry_after=Millis(5_000),
    )
    return requests.end_request(state, request, problem)
