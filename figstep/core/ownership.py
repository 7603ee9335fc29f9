"""Life cycle of the claim of a non-idempotent request, up to its outcome."""

from typing import Any

from figstep.core import claims, retries
from figstep.core.claims import Claim, Outcome, OwnClaim, OwnClaimState
from figstep.core.clock import SECOND, Millis
from figstep.core.effects import (
    AppendRecords,
    Count,
    Effect,
    Refuse,
    ReplayAnswer,
    WakeAt,
)
from figstep.core.events import ClaimTimer, ServiceAnswered
from figstep.core.problems import Problem, Ran
from figstep.core.records import CLAIMS
from figstep.core.specs import RequestSpec, ServiceWork
from figstep.core.state import Phase, RequestState, State

SETTLE_TIMEOUT = Millis(10 * SECOND)
"""Longest time that a request waits for its claim to be read back, in milliseconds."""
OUTCOME_WAIT_TIMEOUT = Millis(10 * SECOND)
"""Longest time that a duplicate waits for the owner's outcome, in milliseconds."""
MAX_DISPATCH_AGE = Millis(60 * SECOND)
"""Maximum age of a claim when its request is dispatched, in milliseconds.

Half the claim's window applies if that is shorter.
"""


def needs_claim(state: State, spec: RequestSpec) -> bool:
    """Return whether a request has to be claimed before it is dispatched."""
    return claims.is_non_idempotent(state.inventory, spec)


def begin_claim(state: State, request: RequestState, now: Millis) -> list[Effect]:
    """Claim the identity of a request, or join or follow an earlier claim of it.

    A request is refused if the claims stream is not read to its end.
    """
    table, name = state.claims, request.spec.request
    request.non_idempotent = True
    request.phase = Phase.CLAIMING
    if not table.caught_up:
        # The unread rest of the stream may hold a claim whose owner has already
        # run this request.
        del state.requests[name]
        return [Refuse(name, _build_log_problem(state)), Count("claims.unavailable")]
    identity = claims.identify_request(state.inventory, request.spec, state.retention)
    own = claims.find_own(table, identity.name, now)
    if own is not None:
        return _join_own(state, request, own)
    owner = claims.find_owner(table, identity.name, now)
    if owner is not None:
        return follow_owner(state, request, identity.name, owner, now)
    record = f"{state.node}.{state.rng.getrandbits(96):024x}"
    key = table.next_key
    table.next_key += 1
    table.own[record] = claims.OwnClaim(record, identity, name, key, now)
    request.claim = record
    data = claims.build_claim(record, identity, request.spec.digest)
    return [
        Count("claims.appended"),
        WakeAt(ClaimTimer(name), Millis(now + SETTLE_TIMEOUT)),
        AppendRecords(CLAIMS, key, [data]),
    ]


def _join_own(state: State, request: RequestState, own: OwnClaim) -> list[Effect]:
    name = request.spec.request
    first = state.requests.get(own.request)
    if first is not None and first.spec.digest != request.spec.digest:
        del state.requests[name]
        return [Refuse(name, build_mismatch_problem())]
    request.ran = Ran.UNKNOWN
    request.phase = Phase.JOINED
    own.joined.append(name)
    return [Count("claims.joined")]


def follow_owner(
    state: State, request: RequestState, identity: str, owner: Claim, now: Millis
) -> list[Effect]:
    """Answer a duplicate with the owner's outcome, or make it wait for the outcome.

    A request whose digest differs from the owner's is refused, as its method, path
    or body is another one.
    """
    name = request.spec.request
    request.claim = None
    if owner.digest != request.spec.digest:
        del state.requests[name]
        return [Refuse(name, build_mismatch_problem())]
    if owner.outcome is not None:
        del state.requests[name]
        return [answer_duplicate(name, owner.outcome), Count("claims.replayed")]
    request.ran = Ran.UNKNOWN
    request.phase = Phase.CLAIMING
    state.claims.waiters.setdefault(identity, []).append(name)
    return [WakeAt(ClaimTimer(name), Millis(now + OUTCOME_WAIT_TIMEOUT))]


def answer_duplicate(request: str, outcome: Outcome) -> Effect:
    """Return the effect that answers a duplicate with the first request's outcome.

    The recorded answer is replayed if the outcome holds its body. Otherwise the
    duplicate is refused, with the status, generation or ``ran`` that is known.
    """
    if outcome.body is not None:
        return ReplayAnswer(request, outcome.status, outcome.content_type, outcome.body)
    if outcome.ran is not Ran.YES or outcome.status == 0:
        return Refuse(request, build_unknown_problem(outcome.ran))
    detail = "the first request with this identity ran to its end"
    if outcome.generation:
        detail += f"; read its answer with Last-Event-ID {outcome.generation}:0"
    else:
        detail += f" with status {outcome.status}; its answer is no longer held"
    return Refuse(request, Problem(409, "already_ran", detail, ran=Ran.YES))


def may_dispatch(state: State, request: RequestState, now: Millis) -> bool:
    """Return whether a request may be dispatched now.

    A non-idempotent request needs a claim that owns its identity and is not older
    than half its window or ``MAX_DISPATCH_AGE``, whichever is shorter. A paused
    owner may resume after its identity has expired and another claim owns it;
    dispatching then would run the request twice. The claim's age is measured from
    before the append, so it is never less than its age by the log's clock.
    """
    if not request.non_idempotent:
        return True
    own = state.claims.own.get(request.claim or "")
    if own is None or own.state is not OwnClaimState.OWNED:
        return False
    max_age = min(own.identity.window // 2, MAX_DISPATCH_AGE)
    return now - own.appended <= max_age


def outlives_caller(state: State, request: RequestState) -> bool:
    """Return whether a request continues after its caller has disconnected.

    A non-idempotent request to a plain service continues while it has an attempt,
    so that its outcome can be recorded.
    """
    if not request.non_idempotent or request.attempt is None:
        return False
    return isinstance(request.spec.work, ServiceWork)


def abandon_claim(state: State, request: RequestState, ran: Ran) -> list[Effect]:
    """Close the claim of a request whose caller has disconnected."""
    problem = Problem(
        409,
        "first_request_gone",
        "the request that this one had joined was dropped by its caller; send it again",
        ran=ran,
    )
    return close_claim(state, request, problem)


def close_claim(state: State, request: RequestState, problem: Problem) -> list[Effect]:
    """Close the claim of a request that is answered with ``problem``.

    The claim is released if the request did not run; otherwise its outcome is
    recorded. Duplicates that joined the request get the same problem.
    """
    own = _pop_own(state, request)
    if own is None:
        return []
    effects: list[Effect] = []
    if problem.ran is Ran.NO:
        effects += release_claim(state, own)
    else:
        effects += _append_outcome(state, own, Outcome(problem.ran))
    for name in own.joined:
        if state.requests.pop(name, None) is not None:
            effects.append(Refuse(name, problem))
    own.joined.clear()
    return effects


def release_claim(state: State, own: OwnClaim) -> list[Effect]:
    """Release a claim whose request was not dispatched and never will be.

    A claim that is not read back yet is only marked as abandoned: its append may
    still take effect later, and the claim is then released when it is read back.
    """
    pending = own.state is not OwnClaimState.OWNED and own.won is None
    own.state = OwnClaimState.ABANDONED
    if pending:
        state.claims.own[own.record] = own
        return [Count("claims.abandoned")]
    state.claims.own.pop(own.record, None)
    data = claims.build_release(own.record, own.identity.name)
    return [Count("claims.released"), _append(state, data)]


def record_answer(
    state: State, request: RequestState, event: ServiceAnswered
) -> list[Effect]:
    """Record a service's answer as the outcome and replay it to joined duplicates."""
    outcome = Outcome(Ran.YES, event.status, event.content_type, event.body)
    return _finish_claim(state, request, outcome)


def record_generation(state: State, request: RequestState) -> list[Effect]:
    """Record the outcome of a non-idempotent generation that ran to its end."""
    return _finish_claim(
        state, request, Outcome(Ran.YES, 200, generation=request.generation)
    )


def _finish_claim(
    state: State, request: RequestState, outcome: Outcome
) -> list[Effect]:
    own = _pop_own(state, request)
    if own is None:
        return []
    effects = _append_outcome(state, own, outcome)
    for name in own.joined:
        if state.requests.pop(name, None) is not None:
            effects.append(answer_duplicate(name, outcome))
    return effects


def _append_outcome(state: State, own: OwnClaim, outcome: Outcome) -> list[Effect]:
    # The table is updated at once: a duplicate may arrive before the record is
    # read back, and the log may be unavailable by then.
    owner = state.claims.owners.get(own.identity.name)
    if owner is not None and owner.record == own.record:
        owner.outcome = outcome
    effects: list[Effect] = [Count("claims.finished")]
    for name in pop_waiters(state, own.identity.name):
        effects.append(answer_duplicate(name, outcome))
    data = claims.build_outcome(own.record, own.identity.name, outcome)
    return [*effects, _append(state, data)]


def pop_waiters(state: State, identity: str) -> list[str]:
    """Remove and return the ids of requests at this entry that wait for an outcome."""
    removed = []
    for name in state.claims.waiters.pop(identity, []):
        if state.requests.pop(name, None) is not None:
            removed.append(name)
    return removed


def _append(state: State, data: dict[str, Any]) -> Effect:
    return append_unconfirmed(state, claims.UnconfirmedRecord(data))


def append_unconfirmed(state: State, unconfirmed: claims.UnconfirmedRecord) -> Effect:
    """Append an outcome or release and keep it until the log confirms it."""
    key = state.claims.next_key
    state.claims.next_key += 1
    unconfirmed.uncertain = False
    state.claims.unconfirmed[key] = unconfirmed
    return AppendRecords(CLAIMS, key, [unconfirmed.data])


def _pop_own(state: State, request: RequestState) -> OwnClaim | None:
    if request.claim is None:
        return None
    own = state.claims.own.pop(request.claim, None)
    request.claim = None
    return own


def build_mismatch_problem() -> Problem:
    """Return the problem for an identity that a request with another digest owns."""
    return Problem(
        422,
        "key_reused",
        "this Idempotency-Key belongs to a request with another path or body;"
        " send a new key with a new request",
    )


def build_unknown_problem(ran: Ran) -> Problem:
    """Return the problem for a request that may have run but has no recorded answer."""
    return Problem(
        409,
        "outcome_unknown",
        "it cannot be told whether this request ran and it is not run again;"
        " look at the service before sending it under a new key",
        ran=ran,
    )


def build_stale_problem() -> Problem:
    """Return the problem for a request that ``may_dispatch`` does not allow to run."""
    return Problem(
        503,
        "claim_too_old",
        "the request waited too long after it was claimed and was not run;"
        " send it again",
        retry_after=Millis(1_000),
    )


def build_expired_problem() -> Problem:
    """Return the problem for a key whose time lies further back than its window."""
    return Problem(
        409,
        "key_expired",
        "this Idempotency-Key is older than what is remembered, so it cannot be"
        " told whether it ran; look at the service before using a new key",
        ran=Ran.UNKNOWN,
    )


def _build_log_problem(state: State) -> Problem:
    return Problem(
        503,
        "claims_unavailable",
        "the log cannot be read, so this request cannot be shown to be the only"
        " one; it was not run, send it again after Retry-After",
        retry_after=retries.jitter_pause(2_000, state.rng),
    )


def build_unsettled_problem(state: State) -> Problem:
    """Return the problem for a claim that could not be read back from the log."""
    return _build_log_problem(state)
