"""Crashes of targets that this entry and its peers know, and the requests involved.

The case handled here is a request that crashes every target that runs it and is sent
again and again, to any entry, among harmless requests. A lost attempt alone proves no
crash: targets also fail, reset connections and send garbled answers while they keep
running. Requests lost at a target are therefore recorded, and become suspects only if
the target is found to have ended before it answers a later request.

The same holds for a part of a prompt that crashes every engine that begins to write an
answer on it, in requests that have nothing else in common. Parts are cleared by runs
that have been written for a while. The last part belongs to one request, and the first
one to all requests of a kind, so that neither is ever suspected.
"""

from collections.abc import Iterable

from figstep.core.clock import Millis
from figstep.core.crashes import (
    MAX_PART_LENGTH,
    MAX_PARTS,
    Clearance,
    Suspicion,
    name_part,
)
from figstep.gateway import eras
from figstep.gateway.effects import (
    Announce,
    CheckTarget,
    Effect,
    Note,
    ProbeTarget,
)
from figstep.gateway.events import Loss, RoutedRequest
from figstep.gateway.state import Attempt, Request, ShortAnswer, State
from figstep.gateway.targets import LostRun, Registration, Standing, Target

LOST_RETENTION = Millis(6_000)
"""Maximum time, in milliseconds, from the loss of a request to the discovery that its
target has ended, for the request to become a suspect. The end may show only when the
target's registration lapses, after three heartbeats, or when the target is back, after
some seconds."""

MIN_RESTART_TIME = Millis(1_000)
"""Shortest time, in milliseconds, in which a target restarts. A target that answers
sooner than this after a connection was refused has not restarted: it only refused
connections for a moment."""

PROBE_INTERVAL = Millis(200)
"""Shortest time, in milliseconds, between two probes of a target. It doubles with each
probe until a request is lost there again."""

WRITING_DURATION = Millis(400)
"""Time, in milliseconds, for which an engine has to write an answer until the request
and its parts count as harmless. A crash follows the first event within less."""

MAX_UNPROVEN = 64
"""Maximum number of parts of short answers, for each target, of which it is not known
yet whether the target lived on."""

LEARNING_TIME = Millis(60_000)
"""Time, in milliseconds, after which a process knows by itself which parts of prompts
were answered. What is asked for often was answered by then, also between crashes."""

SHORT_ANSWER_RETENTION = Millis(3_000)
"""Time, in milliseconds, after which the check of an engine that wrote a short answer
is given up. The engine may be known no longer."""

_CRASH_LOSSES = frozenset({Loss.BROKEN, Loss.GARBLED})
"""Losses that may be the immediate result of the end of a target."""


def record_lost(
    state: State,
    request: Request,
    attempt: Attempt,
    loss: Loss | None,
    now: Millis,
    ended: Millis | None = None,
) -> list[Effect]:
    """Record that an attempt which may have run ended without an answer.

    A request crashes its target as it begins to run, so one whose answer has begun is
    not recorded. Losses at a target that leaves are not recorded either, as it ends all
    attempts that are still open there. If the target is known to have ended, the
    request becomes a suspect at once.

    Parts are recorded until the answer was written for ``WRITING_DURATION``, and only
    for losses that a crash causes at once: ``loss`` is None if this entry closed the
    attempt. ``ended`` is when its connection ended, if that was before ``now``. Parts
    that were written on for longer count as answered.
    """
    target = attempt.target
    request.on_trial = False
    was_written = _was_written(attempt, request.delivered_at)
    if was_written:
        _record_written(state, request)
    if target.standing is not Standing.READY:
        return []
    subjects = [] if request.begun else [name_request(request.spec)]
    if loss in _CRASH_LOSSES and not was_written:
        subjects += list_parts(request.spec)
    if target.ended_at is not None and attempt.opened <= target.ended_at:
        if target.dead_since is not None and attempt.opened > target.dead_since:
            # Only the address was there still.
            return []
        return _suspect(state, target, subjects, target.ended_at, now)
    if loss in _CRASH_LOSSES:
        broken_at = now if ended is None else ended
        known_at = target.broken_at
        if known_at is None or now - known_at >= LOST_RETENTION:
            known_at = broken_at
        target.broken_at = min(broken_at, known_at)
    for subject in subjects:
        known = target.lost.get(subject)
        opened = attempt.opened if known is None else known.opened
        target.lost[subject] = LostRun(min(attempt.opened, opened), now)
    return []


def _was_written(attempt: Attempt, until: Millis) -> bool:
    """Return whether events came for ``WRITING_DURATION`` or longer."""
    first = attempt.first_delivery_at
    return first is not None and until - first >= WRITING_DURATION


def _record_written(state: State, request: Request) -> None:
    """Record that an engine has written on the parts of a request until its last event.

    Whether the rest of the answer comes says nothing about them.
    """
    for part in list_parts(request.spec):
        state.crashes.record_answer(part, request.delivered_at)


def name_request(spec: RoutedRequest) -> str:
    """Return the subject for a request, which is the same when it is sent again.

    Prompts with one path and body may differ. Without the part that belongs to one
    prompt only, they would be refused for each other's crashes.
    """
    if spec.prompt is None or not spec.prompt.parts:
        return spec.digest
    own_part, _ = spec.prompt.parts[-1]
    return f"{spec.digest} {own_part[:MAX_PART_LENGTH]}"


def list_parts(spec: RoutedRequest) -> list[str]:
    """Return the parts of a request's prompt that it may be suspected for."""
    if spec.prompt is None:
        return []
    return [name_part(part) for part, _ in spec.prompt.parts[1:-1][:MAX_PARTS]]


def probe_target(state: State, target: Target, loss: Loss, now: Millis) -> list[Effect]:
    """Return a probe of whether a target ended, after a loss that suggests it.

    Returns nothing if the end is known or no lost request is recorded at the target, or
    within ``PROBE_INTERVAL`` of the last probe. A probe may reach something at the
    address for a moment after the end, so that `probe_again` repeats it.
    """
    if loss not in _CRASH_LOSSES or not target.lost or target.ended_at is not None:
        return []
    state.probed.add(target.name)
    target.probe_pause = PROBE_INTERVAL
    if now - target.probed_at < PROBE_INTERVAL:
        return []
    target.probed_at = now
    return [ProbeTarget(target.name)]


def probe_again(state: State, now: Millis) -> list[Effect]:
    """Probe targets again at which requests were lost, until it is known if they ended.

    Nothing is learned of the targets of a service that this entry is cut off from.
    """
    effects: list[Effect] = []
    for name in sorted(state.probed):
        target = state.targets.find(name)
        if target is None or not _may_have_ended(target, now):
            state.probed.discard(name)
            continue
        if now - target.probed_at < target.probe_pause:
            continue
        if state.find_reach(target.info.service).cut_off:
            continue
        target.probed_at = now
        target.probe_pause = Millis(2 * target.probe_pause)
        effects.append(ProbeTarget(name))
    return effects


def _may_have_ended(target: Target, now: Millis) -> bool:
    if not target.lost or target.broken_at is None or target.ended_at is not None:
        return False
    if target.standing is not Standing.READY:
        return False
    return now - target.broken_at < LOST_RETENTION


def record_answer(
    state: State, target: Target, asked: Millis, ran: bool = True
) -> None:
    """Record that a target answered a request sent at ``asked``: it was running then.

    An end recorded less than ``MIN_RESTART_TIME`` before that is discarded as wrong.
    ``ran`` is False for a refusal or a failure, which something else at the address of
    a target that has ended may send as well.
    """
    if ran:
        _prove_short_answers(state, target, asked)
    if target.lost:
        for subject, lost in list(target.lost.items()):
            if lost.at <= asked:
                del target.lost[subject]
    if target.broken_at is not None and target.broken_at <= asked:
        target.broken_at = None
    ended_at = target.ended_at
    if ended_at is None or asked < ended_at:
        return
    target.ended_at = target.dead_since = None
    if asked - ended_at < MIN_RESTART_TIME:
        state.crashes.discard_crash(_format_incarnation(target))


def _prove_short_answers(state: State, target: Target, asked: Millis) -> None:
    """Record the parts of short answers as answered that a target has outlived."""
    for part, ended_at in list(target.unproven.items()):
        if asked - ended_at < WRITING_DURATION:
            break
        state.crashes.record_answer(part, ended_at)
        del target.unproven[part]


def record_end(state: State, target: Target, now: Millis) -> list[Effect]:
    """Record that an incarnation of a target ended; suspect requests lost there.

    A target that is leaving is ignored.
    """
    if target.standing is not Standing.READY or target.ended_at is not None:
        return []
    target.ended_at = now
    target.unproven.clear()
    state.crashes.record_crash(_format_incarnation(target), now)
    return _suspect_lost(state, target, now)


def record_departure(state: State, target: Target, now: Millis) -> list[Effect]:
    """Suspect the requests lost at a target whose registration is gone.

    The target is not recorded as ended: it may keep serving for some time, so its open
    attempts may still be answered. A target that is leaving is ignored.
    """
    if target.standing is not Standing.READY:
        return []
    return _suspect_lost(state, target, now)


def record_successor(state: State, info: Registration, now: Millis) -> list[Effect]:
    """Record the end of earlier incarnations with the id or address of a new one."""
    effects: list[Effect] = []
    for target in state.targets.targets.values():
        known = target.info
        if known.target == info.target:
            is_earlier = eras.is_later(state, known, info, now)
        else:
            is_earlier = known.address == info.address and known.born < info.born
        if is_earlier:
            effects += record_end(state, target, now)
    return effects


def apply_suspicions(
    state: State, suspicions: Iterable[Suspicion], source: str, now: Millis
) -> list[Effect]:
    """Apply the suspicions that another entry reports."""
    effects: list[Effect] = []
    for suspicion in suspicions:
        if _has_answered_since(state, suspicion, now):
            continue
        if state.crashes.record_suspicion(suspicion, now):
            effects.append(_describe_suspicion(state, suspicion, source))
            effects += _record_told_end(state, suspicion, now)
    return effects


def _record_told_end(state: State, suspicion: Suspicion, now: Millis) -> list[Effect]:
    """Record the end of a target that another entry has found; suspect what was lost.

    The target gets no requests until a check reaches it: the other entry may be wrong.
    """
    target = state.targets.find(suspicion.life.rpartition("@")[0])
    if target is None or _format_incarnation(target) != suspicion.life:
        return []
    if target.standing is not Standing.READY or target.ended_at is not None:
        return []
    target.ended_at = Millis(now - suspicion.age)
    target.unproven.clear()
    target.require_check(now)
    return _suspect_lost(state, target, now)


def has_learned_answers(state: State, now: Millis) -> bool:
    """Return whether this process knows by itself which parts were answered before.

    That the whole system starts for the first time counts only if entries have never
    written to the store: the settings may still state it at a later start.
    """
    if now - state.budget.started >= LEARNING_TIME:
        return True
    history = state.history
    return state.budget.first_start and history.read and not history.found


def update_knowledge(state: State, now: Millis) -> None:
    """Update whether this process or a peer knows which parts were answered before."""
    knows = has_learned_answers(state, now)
    for peer in state.peers.values():
        knows = knows or peer.knows_answers
    state.crashes.update_knowledge(knows)


def apply_clearances(
    state: State, clearances: Iterable[Clearance], now: Millis
) -> None:
    """Apply the clearances of suspected requests that ran at other entries."""
    for clearance in clearances:
        state.crashes.record_clearance(clearance, now)


def clear_request(state: State, request: Request, now: Millis) -> list[Effect]:
    """Drop the suspicions of a request that was answered or whose stream has begun."""
    subject = name_request(request.spec)
    state.crashes.record_answer(subject, now)
    return _clear(state, request.spec.id, [subject], now, now)


def record_whole(
    state: State, request: Request, attempt: Attempt, now: Millis
) -> list[Effect]:
    """Drop the suspicions of the parts of an answered prompt, as far as that shows.

    A short answer may be whole before its parts crash the engine. They are cleared once
    the engine is found to run ``WRITING_DURATION`` later, and count as answered then.
    """
    request_id = request.spec.id
    parts = list_parts(request.spec)
    if _was_written(attempt, now):
        for part in parts:
            state.crashes.record_answer(part, now)
        return _clear(state, request_id, parts, now, now)
    if attempt.relay is None and attempt.target.ended_at is None:
        unproven = attempt.target.unproven
        for part in parts:
            if len(unproven) < MAX_UNPROVEN:
                unproven.setdefault(part, now)
    doubtful = tuple(part for part in parts if state.crashes.is_suspected(part))
    if doubtful and attempt.relay is None:
        answer = ShortAnswer(request_id, attempt.target.name, doubtful, now)
        state.short_answers.append(answer)
    return []


def clear_written(state: State, now: Millis) -> list[Effect]:
    """Drop the suspicions of parts that engines have been writing on for a while.

    The engines of short answers are checked once these are old enough.
    """
    if not state.crashes.has_suspects:
        state.short_answers.clear()
        return []
    effects: list[Effect] = []
    for request in state.requests.values():
        attempt = request.current
        if attempt is None or not _was_written(attempt, request.delivered_at):
            continue
        _record_written(state, request)
        parts = list_parts(request.spec)
        effects += _clear(state, request.spec.id, parts, request.delivered_at, now)
    return effects + _check_short_answers(state, now)


def _check_short_answers(state: State, now: Millis) -> list[Effect]:
    checked: dict[str, Effect] = {}
    for answer in list(state.short_answers):
        age = now - answer.ended_at
        if age >= SHORT_ANSWER_RETENTION:
            state.short_answers.remove(answer)
        elif age >= WRITING_DURATION and not answer.checked:
            answer.checked = True
            checked[answer.target] = CheckTarget(answer.target, True)
    return list(checked.values())


def record_check(
    state: State, target: Target, opened: Millis, lives: bool, now: Millis
) -> list[Effect]:
    """Clear the parts of short answers if the engine that wrote them still runs.

    Otherwise they become suspects like those of runs that the engine did not finish.
    """
    effects: list[Effect] = []
    for answer in list(state.short_answers):
        if answer.target != target.name or not answer.checked:
            continue
        state.short_answers.remove(answer)
        if lives:
            for part in answer.parts:
                state.crashes.record_answer(part, answer.ended_at)
            effects += _clear(state, answer.request, answer.parts, answer.ended_at, now)
            continue
        for part in answer.parts:
            target.lost[part] = LostRun(answer.ended_at, opened)
    return effects


def _clear(
    state: State,
    request_id: str,
    subjects: Iterable[str],
    at: Millis,
    now: Millis,
) -> list[Effect]:
    effects: list[Effect] = []
    for subject in subjects:
        if not state.crashes.clear(subject, at, now):
            continue
        fields: dict[str, str | int | float | None] = {
            "request": request_id,
            "subject": subject,
        }
        effects.append(Note("request cleared", fields))
    return [Announce(), *effects] if effects else []


def _suspect_lost(state: State, target: Target, now: Millis) -> list[Effect]:
    broken_at = target.broken_at
    if broken_at is None or now - broken_at >= LOST_RETENTION:
        broken_at = now
    subjects = []
    for subject, lost in target.lost.items():
        if now - lost.at >= LOST_RETENTION:
            continue
        if lost.opened > broken_at:
            # The target had ended: something else accepts connections at its address.
            continue
        if state.crashes.has_answered_since(subject, lost.at):
            # The end is found long after the loss, and it has run elsewhere meanwhile.
            continue
        subjects.append(subject)
    target.lost.clear()
    target.broken_at = None
    if target.ended_at is not None:
        target.dead_since = min(broken_at, target.ended_at)
    return _suspect(state, target, subjects, now, now)


def _suspect(
    state: State,
    target: Target,
    subjects: Iterable[str],
    ended_at: Millis,
    now: Millis,
) -> list[Effect]:
    effects: list[Effect] = []
    for subject in subjects:
        suspicion = Suspicion(
            subject, _format_incarnation(target), Millis(now - ended_at)
        )
        if state.crashes.record_suspicion(suspicion, now):
            effects.append(_describe_suspicion(state, suspicion, "itself"))
    return [Announce(), *effects] if effects else []


def _has_answered_since(state: State, suspicion: Suspicion, now: Millis) -> bool:
    """Return whether a target answered this entry after the crash of a suspicion.

    It is False for a crash that is at least ``MIN_RESTART_TIME`` old: later answers may
    come from a target that has restarted under the same id.
    """
    if suspicion.age >= MIN_RESTART_TIME:
        return False
    target = state.targets.find(suspicion.life.rpartition("@")[0])
    if target is None or _format_incarnation(target) != suspicion.life:
        return False
    return target.answered_at > now - suspicion.age


def _format_incarnation(target: Target) -> str:
    return f"{target.name}@{target.info.born}"


def _describe_suspicion(state: State, suspicion: Suspicion, source: str) -> Note:
    return Note(
        "request suspected",
        {
            "subject": suspicion.subject,
            "crash": suspicion.life,
            "told_by": source,
            "crashes": state.crashes.count(suspicion.subject),
        },
    )
