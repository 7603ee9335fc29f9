"""Rates and pauses that targets ask for in their answers.

A pause applies to the entry that got the answer; a rate applies to all entries
together.

The case handled here is an overloaded target that serves a fleet of entries. It names
its rate only to the entries that it answers, and an entry knows only its own requests:
if each entry kept to the rate by itself, together they would send many times the rate.
Entries therefore report named rates to each other and split them. A rate may be lower
than one request per second for each entry, so the requests that it allows within some
seconds are split into whole requests of each entry.
"""

from collections.abc import Sequence
from http import HTTPStatus

from figstep.core.clock import Millis
from figstep.gateway import brittleness, peers, shares, warmups
from figstep.gateway.effects import Announce, Effect, Note
from figstep.gateway.events import RateNamed, RateReport
from figstep.gateway.state import State
from figstep.gateway.targets import RateLimit, Target

RATE_SPLIT_WINDOW = Millis(4_100)
"""Time, in milliseconds, over which a rate is split into whole requests. It exceeds
four seconds, as requests sent four seconds apart may arrive closer together."""

MAX_RATE_SPLIT_WINDOW = Millis(10_000)
"""Longest window, in milliseconds, used for the lowest rates. One request is allowed in
it even at a rate of zero, as only an answer shows that a target accepts more again."""

TURN_DURATION = Millis(10_000)
"""Time, in milliseconds, without any answer of a target after which the right to use
its rate passes to other entries. The entries that had it may have no callers, and then
no entry would learn that the target accepts more again."""


def handle_rate(state: State, event: RateNamed, now: Millis) -> list[Effect]:
    """Handle a target's answer that named a rate or ended the limit."""
    target = state.targets.find(event.target)
    if target is None:
        return []
    limit = target.limit
    if event.rate is None and not _ends_limit(limit, event):
        return []
    if limit is None:
        limit = target.limit = RateLimit()
    limit.received_at = now
    effects = _record_rate(
        state, target, event.rate, now, now, f"itself, by {event.status}"
    )
    return [Announce(), *effects] if effects else []


def _ends_limit(limit: RateLimit | None, event: RateNamed) -> bool:
    """Return whether an answer that names no rate shows that its target takes any.

    A failure does not: the target may give it before it looks at the request.
    """
    if limit is None or event.status >= HTTPStatus.BAD_REQUEST:
        return False
    # An answer to an earlier request may arrive after one that named the rate.
    return event.asked >= limit.stated_at


def apply_rate_reports(
    state: State, reports: tuple[RateReport, ...], source: str, now: Millis
) -> list[Effect]:
    """Apply another entry's reports of rates, where they are newer than known ones."""
    effects: list[Effect] = []
    for report in reports:
        target = state.targets.find(report.incarnation.target)
        if target is None or target.info.incarnation != report.incarnation:
            continue
        stated_at = Millis(now - report.age)
        if target.limit is None:
            target.limit = RateLimit()
        if stated_at <= target.limit.stated_at:
            continue
        effects += _record_rate(state, target, report.rate, stated_at, now, source)
        target.limit.turn = max(target.limit.turn, report.turn)
    return effects


def _record_rate(
    state: State,
    target: Target,
    rate: float | None,
    stated_at: Millis,
    now: Millis,
    source: str,
) -> list[Effect]:
    limit = target.limit
    if limit is None:
        return []
    before = limit.rate
    if before is not None:
        limit.turn += _count_turns(limit, stated_at)
    limit.stated_at = stated_at
    limit.rate = rate
    if rate == before:
        return []
    if rate is not None and before is None:
        limit.opens_at = now
        if _estimate_request_rate(state, target, now) > rate:
            # Requests sent before the target named the rate have used up the first
            # window. The delay is random: if all entries began at once, they would
            # send at the same moments in every later window.
            delay = RATE_SPLIT_WINDOW * (0.5 + state.rng.random())
            limit.opens_at = Millis(round(now + delay))
    message = "target takes any rate" if rate is None else "target names a rate"
    fields: dict[str, str | int | float | None] = {
        "target": target.name,
        "rate": rate,
        "before": before,
        "told_by": source,
        "sharing": shares.count_participants(state, target.info.service),
        "entries": state.entries,
    }
    return [Note(message, fields)]


def _estimate_request_rate(state: State, target: Target, now: Millis) -> float:
    """Return a target's requests per second, assumed equal for all ready targets."""
    service = target.info.service
    fleet = peers.sum_uses(state, service, now)
    requests = state.budget.count_requests(service, now) + fleet.requests
    ready = max(1, len(state.targets.list_ready(service)))
    return requests / fleet.fleet_fraction / ready * 1_000 / state.budget.window


def record_pause(target: Target, pause: Millis, now: Millis) -> None:
    """Record that a target asked this entry for a pause."""
    target.paused_until = Millis(max(target.paused_until, now + pause))


def may_send(state: State, target: Target, now: Millis) -> bool:
    """Return whether a target's rate and pause permit a request of this entry now."""
    return find_send_time(state, target, now) <= now


def find_send_time(state: State, target: Target, now: Millis) -> Millis:
    """Return the earliest time at which this entry may send a target a request.

    A brittle target has to be expected to have room.
    An entry without a share of the target's rate gets the time at which the rate next
    passes to other entries.
    """
    return Millis(
        max(
            _find_rate_send_time(state, target, now),
            brittleness.find_send_time(state, target, now),
            target.paused_until,
        )
    )


def _find_rate_send_time(state: State, target: Target, now: Millis) -> Millis:
    limit = target.limit
    if limit is None or limit.rate is None:
        return now
    window, requests = split_rate(limit.rate)
    turns = _count_turns(limit, now)
    key = f"{target.name} {limit.turn + turns}"
    share = shares.share_requests(state, target.info.service, key, requests, now)
    if share == 0:
        return Millis(
            max(limit.opens_at, limit.stated_at + (turns + 1) * TURN_DURATION)
        )
    sends = target.recent_sends
    if len(sends) < share:
        return Millis(max(limit.opens_at, now))
    return Millis(max(limit.opens_at, sends[-share] + window))


def are_all_limited(targets: Sequence[Target]) -> bool:
    """Return whether there are targets, and each has named a rate that is in force."""
    return bool(targets) and all(target.is_limited for target in targets)


def has_spent_share(state: State, target: Target, now: Millis) -> bool:
    """Return whether other entries may send a target a request that this one may not.

    It has no request left of its share of the rate, or of what a cold target bears.
    """
    if target.paused_until > now:
        return False
    if not warmups.may_send(state, target, now):
        return True
    limit = target.limit
    if limit is None or limit.rate is None or limit.opens_at > now:
        return False
    return _find_rate_send_time(state, target, now) > now


def record_send(state: State, target: Target, now: Millis) -> None:
    """Record a request that is sent to a target.

    It counts against a rate that the target names only later.
    """
    brittleness.record_send(state, target, now)
    while target.recent_sends and target.recent_sends[0] <= now - MAX_RATE_SPLIT_WINDOW:
        target.recent_sends.popleft()
    target.recent_sends.append(now)


def _count_turns(limit: RateLimit, now: Millis) -> int:
    return max(0, now - limit.stated_at) // TURN_DURATION


def split_rate(rate: float) -> tuple[Millis, int]:
    """Return a window, in milliseconds, and the whole requests allowed within it."""
    if rate * RATE_SPLIT_WINDOW >= 1_000:
        return RATE_SPLIT_WINDOW, int(rate * RATE_SPLIT_WINDOW / 1_000)
    if rate * MAX_RATE_SPLIT_WINDOW <= 1_000:
        return MAX_RATE_SPLIT_WINDOW, 1
    return Millis(round(1_000 / rate)), 1
