"""Recovers requests whose attempt was lost: switch, resume, retry or refuse."""

from figstep.core.clock import Millis
from figstep.gateway import (
    attempts,
    brittleness,
    closes,
    copies,
    crashes,
    culprits,
    eligibility,
    limits,
    peers,
    placement,
    reach,
    relays,
    requests,
    stops,
    warmups,
)
from figstep.gateway.effects import Announce, CloseAttempt, Count, Effect, Note
from figstep.gateway.events import AttemptLost, Loss, TargetDown
from figstep.gateway.routes import RouteKind
from figstep.gateway.state import Attempt, Request, State
from figstep.gateway.targets import Target

MAX_SENDS = 4
"""Maximum number of attempts that reach a target before a request is refused.

It limits requests that the last target did not run. Refused attempts and standbys
count, attempts without a connection don't. Under overload each further target would
refuse as well, at the cost of the caller's time.
"""

NOT_RUN = frozenset(
    {Loss.UNREACHED, Loss.REFUSED, Loss.MISDIRECTED, Loss.OUTDATED_COPY}
)
"""Losses that prove that the target did not run the request."""


def recover_attempt(state: State, event: AttemptLost, now: Millis) -> list[Effect]:
    """Decide how a request continues after it lost an attempt.

    The loss is ignored if its attempt is no longer open.
    """
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return []
    request = state.requests[attempt.request]
    if attempt.relay is not None:
        return _recover_relayed(state, request, attempt, event, now)
    effects = record_loss(state, request, attempt, event, now)
    if request.current is None:
        effects += _continue_request(state, request, attempt, event, now)
    return effects + stop_lost_run(state, request, attempt, event)


def record_loss(
    state: State, request: Request, attempt: Attempt, event: AttemptLost, now: Millis
) -> list[Effect]:
    """Record the loss of an attempt at a target, and go on with its standby, if any.

    The request is left without a current attempt if it has no other one.
    """
    was_current = request.current is attempt
    was_unreached = attempt.target.is_unreached(now)
    attempts.end_attempt(state, attempt)
    target_effects = _update_target(state, attempt, event, now)
    if event.loss in NOT_RUN:
        request.refused_by.add(attempt.target.name)
    else:
        request.may_have_run = True
        request.lost_runs += 1
        if event.loss is not Loss.FAILED:
            request.lost_domains.add(attempt.target.info.failure_domain)
        target_effects += crashes.record_lost(
            state, request, attempt, event.loss, now, event.ended
        )
        target_effects += crashes.probe_target(state, attempt.target, event.loss, now)
    if event.loss is Loss.UNREACHED:
        request.unreached += 1
    effects: list[Effect] = [
        Count("lost", (request.route.name, event.loss.value)),
        _describe_loss(request, attempt, event, now),
        *target_effects,
    ]
    if event.loss is Loss.UNREACHED:
        if not was_unreached:
            # Until peers know, they also try this target, or copy runs to it.
            effects.append(Announce())
        effects += reach.record_unreached(state, attempt.target, attempt.opened, now)
    if not was_current and request.current is not None:
        # The standby was lost. The current attempt continues, but its running backup
        # was used up or never arrived.
        request.current.backup_unusable = True
    elif request.standby is not None:
        request.current = request.standby
        request.standby = None
    return effects


def stop_lost_run(
    state: State, request: Request, attempt: Attempt, event: AttemptLost
) -> list[Effect]:
    """Return the order to stop a run that may continue after its attempt was lost."""
    if event.loss not in stops.MAY_CONTINUE:
        return []
    return stops.stop_run(state, request, attempt)


def _recover_relayed(
    state: State, request: Request, attempt: Attempt, event: AttemptLost, now: Millis
) -> list[Effect]:
    """Decide how a request continues that another entry did not answer.

    It is placed anew if that entry did not run it. Otherwise that entry has recovered
    it as far as it could: the failure that it reports is passed on.
    """
    assert attempt.relay is not None
    address = attempt.relay.address
    attempts.end_attempt(state, attempt)
    effects: list[Effect] = [
        Count("lost", (request.route.name, event.loss.value)),
        _describe_loss(request, attempt, event, now),
    ]
    if event.loss in NOT_RUN:
        request.relay_pause = event.retry_after
        if event.loss is Loss.UNREACHED:
            relays.record_unreached(state, address, now)
        else:
            relays.record_spent(state, attempt.relay, event.retry_after, now)
        return effects + requests.place_request(state, request, now)
    request.may_have_run = True
    if event.status is not None and not request.begun:
        return effects + requests.deliver_answer(
            state, request, attempt.number, event.status, now
        )
    # How often it has run there is unknown: one more run might be one too many for its
    # route.
    reason = f"lost_{event.loss.value}"
    return effects + requests.refuse_request(state, request, reason, now)


def _update_target(
    state: State, attempt: Attempt, event: AttemptLost, now: Millis
) -> list[Effect]:
    target = attempt.target
    if event.retry_after is not None:
        limits.record_pause(target, event.retry_after, now)
    match event.loss:
        case Loss.REFUSED:
            crashes.record_answer(state, target, attempt.opened, ran=False)
            if event.endless:
                # It is not full but faulty, and would refuse the next requests too.
                target.record_loss(now, True)
            return brittleness.record_rejection(state, target, now)
        case Loss.CUT | Loss.OUTDATED_COPY:
            return []
        case Loss.FAILED:
            target.record_failure()
            crashes.record_answer(state, target, attempt.opened, ran=False)
        case Loss.MISDIRECTED:
            # Another target has the address, so the intended target has ended.
            target_effects = crashes.record_end(state, target, now)
            state.targets.record_departure(target.name, now)
            return target_effects
        case Loss.UNREACHED:
            return _record_unreached(state, target, event.down, now)
        case _:
            target.record_loss(now, True)
    return []


def _record_unreached(
    state: State, target: Target, down: bool, now: Millis
) -> list[Effect]:
    if state.find_reach(target.info.service).cut_off:
        # The connection failed because this entry reaches no target of the service.
        return []
    target.record_loss(now, False)
    # The target may restart before a new registration of it is read, and be cold.
    warmups.assume_cold(state, target, target.backoff_until)
    if down:
        target.refused_at = now
    elif not target.needs_check:
        target.require_check(now)
    return []


def handle_target_down(state: State, event: TargetDown, now: Millis) -> list[Effect]:
    """Record that a probe found no listener at a target's address, and tell peers.

    A probe of an earlier incarnation is ignored, and so is
    one of a known end, or that began while this entry was cut off.
    """
    target = state.targets.find(event.incarnation.target)
    if target is None or target.info.incarnation != event.incarnation:
        return []
    opened = now if event.opened is None else event.opened
    if target.ended_at is not None or not reach.may_show_end(state, target, opened):
        return []
    # Until peers know, they also try this target.
    return [
        Announce(),
        *_record_unreached(state, target, True, now),
        *reach.record_unreached(state, target, opened, now),
    ]


def _continue_request(
    state: State, request: Request, attempt: Attempt, event: AttemptLost, now: Millis
) -> list[Effect]:
    effects: list[Effect] = []
    if request.copy is not None:
        effects = _resume_from_copy(state, request, now)
        if request.current is not None:
            return effects
    return effects + _retry_or_refuse(state, request, attempt, event, now)


def _retry_or_refuse(
    state: State, request: Request, attempt: Attempt, event: AttemptLost, now: Millis
) -> list[Effect]:
    if request.answer_begun:
        # Its caller has the start of this answer, and another run may differ.
        return requests.refuse_request(state, request, f"lost_{event.loss.value}", now)
    if event.loss in NOT_RUN and not request.stream_begun:
        return _try_elsewhere(state, request, attempt.target, event, now)
    if may_run_again(request):
        effects = run_again(state, request, event, now)
        if effects:
            return effects
    if event.status is not None and not request.begun:
        return requests.deliver_answer(
            state, request, attempt.number, event.status, now
        )
    if closes.is_believed(state, request):
        # It went on from the close of a stream, after it had waited.
        return requests.complete_stream(state, request, now)
    return requests.refuse_request(state, request, f"lost_{event.loss.value}", now)


def _resume_from_copy(state: State, request: Request, now: Millis) -> list[Effect]:
    copies.discard_unusable_copy(state, request)
    copy = request.copy
    if copy is None:
        return []
    if culprits.is_refused(state, request, now):
        request.copy = None
        return []
    holder = state.targets.find(copy.holder.target)
    if holder is None or not limits.may_send(state, holder, now):
        request.copy = None
        return []
    if not peers.spend_repeat(state, request.service, now, urgent=True):
        return peers.record_denied(state, request, now)
    effects = attempts.start_standby(state, request, copy, now)
    request.current, request.standby = request.standby, None
    return effects


def _try_elsewhere(
    state: State, request: Request, target: Target, event: AttemptLost, now: Millis
) -> list[Effect]:
    """Place a request anew that a target did not run, or refuse it.

    A repeat is taken from the retry budget only if the lost attempt had a connection.
    """
    if (
        request.attempts_sent - request.unreached >= MAX_SENDS
        or now >= request.deadline
    ):
        return requests.refuse_request(state, request, f"lost_{event.loss.value}", now)
    arrived = event.loss is not Loss.UNREACHED
    if arrived and not peers.spend_repeat(state, request.service, now):
        return requests.refuse_request(state, request, "retry_budget", now)
    if event.loss is Loss.REFUSED and brittleness.is_brittle(state, target, now):
        # If it went on at once, each further target would reject it as well.
        return requests.hold_request(state, request, now)
    return requests.place_request(state, request, now)


def may_run_again(request: Request) -> bool:
    """Return whether the route of a request allows one more run of it."""
    return request.route.idempotent and request.lost_runs < request.route.attempts


def run_again(
    state: State, request: Request, event: AttemptLost, now: Millis
) -> list[Effect]:
    """Run an idempotent request again, if budget, deadline and free capacity permit.

    Returns no effects if they don't. A request that is refused because it crashes
    targets is ended instead.
    """
    if now >= request.deadline:
        return []
    if culprits.is_refused(state, request, now):
        return requests.refuse_request(state, request, "crashes_targets", now)
    if culprits.must_wait(state, request, now):
        if not peers.spend_repeat(state, request.service, now):
            return []
        return requests.hold_request(state, request, now)
    if eligibility.reaches_none(state, request):
        if not peers.spend_repeat(state, request.service, now):
            return []
        return relays.relay_request(state, request, now)
    target = placement.choose_target(state, request, now)
    if target is None:
        return []
    if not peers.spend_repeat(state, request.service, now):
        return []
    return attempts.start_attempt(state, request, target, now)


def abandon_silent_attempts(state: State, now: Millis) -> list[Effect]:
    """Abandon attempts of idempotent requests that got no answer for too long.

    An attempt is kept if it is the last that the route allows, if its stream has begun,
    or if the retry budget has no repeat left. Standby attempts are not checked, nor
    those whose connection is not established: their request has not run, and a timeout
    of the connection ends them. An entry that a request was passed on to watches its
    targets itself.
    """
    effects: list[Effect] = []
    for attempt in list(state.attempts.values()):
        request = state.requests[attempt.request]
        if not request.route.idempotent or attempt is not request.current:
            continue
        if not attempt.connected or attempt.relay is not None:
            continue
        if request.begun or request.lost_runs + 1 >= request.route.attempts:
            continue
        if now - attempt.opened < choose_silence_timeout(request):
            continue
        fleet = peers.sum_uses(state, request.service, now)
        if not state.budget.can_repeat(request.service, fleet, now):
            continue
        event = AttemptLost(attempt.number, Loss.SILENT, detail="nothing came")
        effects.append(CloseAttempt(attempt.number))
        effects += recover_attempt(state, event, now)
    return effects


def choose_silence_timeout(request: Request) -> Millis:
    """Return how many milliseconds after its opening a silent attempt is abandoned.

    It is half of the request's time limit, from its arrival to its deadline: this
    leaves the second attempt as long as the first, and a target's usual answer takes a
    small part of it. A stream gets all of that half, as its prompt may be read slowly:
    reading it on another engine would be late as well, and lose what was read. Other
    requests get three objectives at most.
    """
    total = request.deadline - request.arrived
    if request.route.kind is RouteKind.STREAM:
        return Millis(total // 2)
    return Millis(min(total // 2, 3 * request.route.objective))


def _describe_loss(
    request: Request, attempt: Attempt, event: AttemptLost, now: Millis
) -> Note:
    return Note(
        "attempt lost",
        {
            "request": request.spec.id,
            "digest": request.spec.digest,
            "attempt": attempt.number,
            "target": attempt.target.name,
            "standing": attempt.target.standing.value,
            "loss": event.loss.value,
            "detail": event.detail,
            "took_ms": now - attempt.opened,
            "events": request.pieces,
            "copy_at": request.copy.holder.target if request.copy else "",
        },
    )
