"""Checks of the promises of the system on the record of a run.

Most bounds on time are checked only where no fault of the entry or target concerned
overlaps the span in question. Time in which a target stood still is not counted for
the end of a run there, and excuses nothing else.
"""

import itertools
import re
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from tests.faults.records import EVENTS, STREAMS, Attempt, Kind, Record, Version
from tests.platform.runs import Run

STABILIZATION_SECONDS = 3.0
"""Time without a fault after which bounds on time are checked again, in seconds."""

CONFIGURATION_SECONDS = 2.0
"""Time until an undisturbed entry has a new version in force, in seconds."""

DRAIN_SECONDS = 2.0
"""Time after which a leaving target gets no new requests, in seconds."""

CRASHES_BEFORE_REFUSAL = 3
"""Crashes of targets by one request after which entries refuse the request."""

PART_CRASHES_BEFORE_REFUSAL = 5
"""Crashes by one part of prompts after which entries refuse requests with it."""

MAX_LATE_RUNS = 3
"""Tolerated runs, well after that, of requests with a cause that crashed so often."""

MIN_CUT_SHARE = 2 / 3
"""Smallest share that an entry without links serves, in shares of the others."""

CUT_EXTRA = 10
"""Failed attempts that are tolerated at such an entry."""

CUT_RATIO = 1 / 50
"""Further failed attempts that are tolerated there, as a fraction of all."""

MIN_CROWD_SHARE = 3 / 4
"""Smallest share that is served in a crowd, in shares of the seconds before."""

CROWD_COMPARISON_SECONDS = 5.0
"""Time before a crowd with which it is compared, in seconds."""

MIN_CROWD_ATTEMPTS = 20
"""Attempts before and during a crowd that are needed to compare them."""

PAUSE_START_DELAY = 0.5
"""Seconds after a rejection with Retry-After from which further requests count."""

MAX_IN_PAUSE = 2
"""Upper bound of the requests of one entry to a target within its pause."""

CANCEL_SECONDS = 0.5
"""Time after which no run for a disconnected caller is open, in seconds."""

HANDOVER_SECONDS = 0.4
"""Time for which two targets may run one request at once, in seconds."""

RETRY_WINDOW = 10.0
"""Window of the fleet's retry budget in seconds, also written into the settings."""

RETRY_RATIO = 0.2
"""Repeats in a window per request of callers; also written into the settings."""

RATE_WINDOW = 4.0
"""Window of the requests to a target that names a rate, in seconds."""

RATE_RATIO = 1.5
"""Tolerated requests in RATE_WINDOW, in those that the named rate allows."""

RATE_EXTRA = 5
"""Tolerated requests in RATE_WINDOW besides RATE_RATIO."""

RATE_START_DELAY = 0.5
"""Seconds from the first answer that names a rate until an entry's requests count."""

TIMING_SLACK = 0.4
"""Tolerance of bounds on time, in seconds: on a busy machine timers fire late."""

REPEATABLE = (Kind.LOOKUP, Kind.RESUME)
"""Kinds of requests that may run more than once."""

MIN_RETURNS = 12
"""Streams that have to be taken up before their share is judged."""

MIN_RETURN_SHARE = 0.5
"""Smallest share of streams taken up that go on, in shares of those that begin."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that tell a caller that its request did not run."""

_EVENT = re.compile(rb"(?:: \S+\nlater: 1\n)?id: (\d+)\ndata: (\S+) (\S+) (\S+) \1\n\n")


@dataclass(frozen=True, slots=True)
class Breach:
    """Promise that a record shows to be broken, by name, and what happened."""

    promise: str
    detail: str


def check_promises(record: Record) -> list[Breach]:
    """Return all breaches of promises that a record shows."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in record.runs:
        runs[run.request].append(run)
    breaches: list[Breach] = []
    for attempt in record.attempts:
        found = runs.get(attempt.id, [])
        for check in _ATTEMPT_CHECKS:
            breaches += check(record, attempt, found)
    for check_record in _RECORD_CHECKS:
        breaches += check_record(record)
    return breaches


def _check_once(record: Record, attempt: Attempt, runs: list[Run]) -> list[Breach]:
    generations = {run.generation for run in runs}
    if attempt.kind in REPEATABLE or len(generations) <= 1:
        return []
    return [Breach("once", f"{attempt.id} ran as {sorted(generations)}")]


def _check_refusal(record: Record, attempt: Attempt, runs: list[Run]) -> list[Breach]:
    if attempt.status not in NOT_RUN_STATUSES or not runs:
        return []
    if attempt.kind in REPEATABLE:
        return []
    return [Breach("refusal", f"{attempt.id} got {attempt.status} and has run")]


def _check_answer(record: Record, attempt: Attempt, runs: list[Run]) -> list[Breach]:
    if attempt.status != 200 or attempt.kind in STREAMS or not attempt.whole:
        return []
    for run in runs:
        if run.body == attempt.body and attempt.stamp == f"stamp-{run.target}":
            return []
    return [Breach("answer", f"{attempt.id} got {attempt.body[:80]!r}")]


def _check_stream(record: Record, attempt: Attempt, runs: list[Run]) -> list[Breach]:
    if attempt.status != 200 or attempt.kind not in STREAMS:
        return []
    events = [match.groups() for match in _EVENT.finditer(attempt.body)]
    indexes = [int(index) for index, _, _, _ in events]
    first = attempt.after + record.first_id
    if indexes != list(range(first, first + len(indexes))):
        return [Breach("order", f"{attempt.id} got events {indexes}")]
    length = attempt.length or EVENTS[attempt.kind]
    if attempt.whole and attempt.after + len(events) != length:
        return [Breach("order", f"{attempt.id} ended normally at event {len(events)}")]
    if attempt.whole and _EVENT.sub(b"", attempt.body):
        return [Breach("order", f"{attempt.id} got bytes of no event")]
    if attempt.kind is Kind.RESUME:
        return []
    if len({generation for _, generation, _, _ in events}) > 1:
        return [Breach("order", f"{attempt.id} got two generations")]
    if any(owner != attempt.id.encode() for _, _, owner, _ in events):
        return [Breach("answer", f"{attempt.id} got another request's events")]
    return []


def _check_headers(record: Record, attempt: Attempt, runs: list[Run]) -> list[Breach]:
    breaches = []
    for run in runs:
        if run.forged or run.customer != "gurdwara":
            customer_info = f"{run.customer!r} with {run.forged}"
            breaches.append(Breach("headers", f"{attempt.id} ran as {customer_info}"))
    return breaches


def _check_configuration(
    record: Record, attempt: Attempt, runs: list[Run]
) -> list[Breach]:
    since = attempt.sent - CONFIGURATION_SECONDS - TIMING_SLACK
    if not record.is_undisturbed(
        attempt.entry, since - STABILIZATION_SECONDS, attempt.sent
    ):
        since = 0.0
    allowed = set()
    for index, version in enumerate(record.versions):
        later = record.versions[index + 1 :]
        if later and later[0].acknowledged < since:
            continue
        if version.acknowledged > attempt.ended + TIMING_SLACK:
            continue
        allowed.add(_is_allowed(attempt, version))
    if not allowed:
        return []
    if attempt.status in (401, 404) and allowed == {True}:
        return [Breach("configuration", f"{attempt.id} got {attempt.status}")]
    if runs and allowed == {False}:
        return [Breach("configuration", f"{attempt.id} ran on a dropped route or key")]
    return []


def _is_allowed(attempt: Attempt, version: Version) -> bool:
    path = attempt.path.rpartition("/")[0] + "/"
    return path in version.paths and attempt.key in version.keys


def _check_drain(record: Record, attempt: Attempt, runs: list[Run]) -> list[Breach]:
    breaches = []
    for run in runs:
        departed_at = record.departures.get(run.target)
        if (
            departed_at is None
            or run.began <= departed_at + DRAIN_SECONDS + TIMING_SLACK
        ):
            continue
        if not record.is_undisturbed(
            attempt.entry, departed_at - STABILIZATION_SECONDS, run.began
        ):
            continue
        if attempt.sent < departed_at + DRAIN_SECONDS:
            continue
        breaches.append(Breach("drain", f"{attempt.id} went to {run.target}"))
    return breaches


def _check_gone(record: Record, attempt: Attempt, runs: list[Run]) -> list[Breach]:
    if not attempt.disconnected:
        return []
    limit = attempt.ended + CANCEL_SECONDS + TIMING_SLACK
    if not record.is_undisturbed(
        attempt.entry, attempt.ended - STABILIZATION_SECONDS, limit
    ):
        return []
    breaches = []
    for run in runs:
        if not record.is_target_undisturbed(
            run.target, attempt.ended - STABILIZATION_SECONDS, limit
        ):
            continue
        if not _has_ended(record, run, attempt.ended, limit):
            breaches.append(Breach("gone", f"{attempt.id} still at {run.target}"))
    return breaches


def _check_handover(record: Record, attempt: Attempt, runs: list[Run]) -> list[Breach]:
    if attempt.kind is Kind.LOOKUP:
        return []
    for earlier, later_run in itertools.pairwise(runs):
        limit = later_run.began + HANDOVER_SECONDS + TIMING_SLACK
        if _has_ended(record, earlier, later_run.began, limit):
            continue
        if _was_abandoned(later_run, limit):
            continue
        if not record.is_undisturbed(
            attempt.entry, later_run.began - STABILIZATION_SECONDS, limit
        ):
            continue
        if not record.is_target_undisturbed(
            earlier.target, later_run.began - STABILIZATION_SECONDS, limit
        ):
            continue
        places = f"{earlier.target} and {later_run.target}"
        return [Breach("handover", f"{attempt.id} runs at {places}")]
    return []


def _has_ended(record: Record, run: Run, since: float, limit: float) -> bool:
    """Return whether a run ended by a limit, in time in which its target ran."""
    moved = record.move_limit(run.target, since, limit)
    return run.ended is not None and run.ended <= moved


def _was_abandoned(run: Run, limit: float) -> bool:
    """Return whether a run ended by a time without being completed."""
    return not run.whole and run.ended is not None and run.ended <= limit


def _check_stops(record: Record) -> list[Breach]:
    breaches = []
    for stop in record.stops:
        name = f"entry {stop.entry}"
        if stop.took is None:
            if record.is_undisturbed(
                stop.entry, stop.at - STABILIZATION_SECONDS, stop.at - 0.01
            ):
                breaches.append(Breach("stop", f"{name} did not end in its grace time"))
            continue
        for attempt in record.attempts:
            if (attempt.entry, attempt.incarnation) != (stop.entry, stop.incarnation):
                continue
            if _was_cut_by_stop(record, attempt, stop.at, stop.at + stop.took):
                breaches.append(Breach("stop", f"{attempt.id} was cut by {name}"))
    return breaches


def _was_cut_by_stop(
    record: Record, attempt: Attempt, asked: float, ended: float
) -> bool:
    if attempt.status or attempt.disconnected or attempt.kind in STREAMS:
        return False
    if not asked <= attempt.ended <= ended + TIMING_SLACK:
        return False
    runs = [run for run in record.runs if run.request == attempt.id]
    for run in runs:
        if not record.is_target_undisturbed(
            run.target, asked - STABILIZATION_SECONDS, ended
        ):
            return False
    stopped = [one for one in record.disturbances if one.name == "stop"]
    undisturbed = all(
        one in stopped
        or one.entry not in (None, attempt.entry)
        or bool(one.target)
        or (one.end is not None and one.end < asked - STABILIZATION_SECONDS)
        or one.start > ended
        for one in record.disturbances
    )
    return undisturbed and bool(runs)


def _check_budget(record: Record) -> list[Breach]:
    breaches = []
    for service in ("engines", "bookings"):
        arrivals = sorted(
            (at, request) for at, name, request in record.arrivals if name == service
        )
        kinds = STREAMS if service == "engines" else (Kind.ORDER, Kind.LOOKUP)
        sent = sorted(one.sent for one in record.attempts if one.kind in kinds)
        largest_excess = _find_largest_excess(record, arrivals, sent)
        if largest_excess > 0:
            breaches.append(
                Breach("budget", f"{service}: {largest_excess:.1f} too many")
            )
    return breaches


def _find_largest_excess(
    record: Record, arrivals: list[tuple[float, str]], sent: list[float]
) -> float:
    known_requests: set[str] = set()
    repeats = []
    for at, request in arrivals:
        if request in known_requests:
            repeats.append(at)
        known_requests.add(request)
    largest_excess = 0.0
    for end in repeats:
        start = end - RETRY_WINDOW
        count = sum(start < at <= end for at in repeats)
        windows = []
        for shift in (0.0, RETRY_WINDOW / 2, RETRY_WINDOW):
            windows.append(sum(start - shift < at <= end - shift for at in sent))
        bound = RETRY_RATIO * max(windows) + record.retry_extra
        largest_excess = max(largest_excess, count - bound)
    return largest_excess


def _check_rates(record: Record) -> list[Breach]:
    entries = {attempt.id: attempt.entry for attempt in record.attempts}
    breaches = []
    for span in record.rates:
        first_answers = _find_first_answers(record, span.target, span.start, entries)
        target_arrivals = [
            (at, entries[request])
            for at, target, request in record.target_arrivals
            if target == span.target and request in entries
        ]
        for end, _ in target_arrivals:
            if end < span.start + STABILIZATION_SECONDS or end > (span.end or end):
                continue
            if not record.is_target_undisturbed(
                span.target, end - STABILIZATION_SECONDS, end
            ):
                continue
            count = 0
            for at, entry in target_arrivals:
                counts = end - RATE_WINDOW < at <= end and entry in first_answers
                if counts and first_answers[entry] <= end - RATE_START_DELAY:
                    count += record.is_entry_undisturbed(entry, span.start, end)
            if count > RATE_RATIO * RATE_WINDOW * span.rate + RATE_EXTRA:
                description = f"{span.target} got {count} at {span.rate} a second"
                breaches.append(Breach("rate", description))
                break
    return breaches


def _check_versions(record: Record) -> list[Breach]:
    """Check that a stream has events of one software version, over all its tries."""
    generations = {run.generation for run in record.runs}
    seen: dict[str, set[str]] = defaultdict(set)
    for attempt in record.attempts:
        if attempt.kind not in STREAMS or attempt.status != 200:
            continue
        for _, generation, _, version in _EVENT.findall(attempt.body):
            found = seen[attempt.resumes or attempt.id]
            found.add(version.decode())
            if generation.decode() not in generations:
                found.add("no run")
    return [
        Breach("version", f"{stream} has events of {sorted(found)}")
        for stream, found in seen.items()
        if len(found) > 1
    ]


def _check_returns(record: Record) -> list[Breach]:
    """Check that streams that are taken up go on half as often as new ones begin."""
    counts = {True: [0, 0], False: [0, 0]}
    for attempt in record.attempts:
        since = attempt.sent - STABILIZATION_SECONDS
        if attempt.kind is not Kind.RESUME or not attempt.ended:
            continue
        if record.is_undisturbed(attempt.entry, since, attempt.ended):
            count = counts[bool(attempt.resumes)]
            count[0] += 1
            count[1] += attempt.status == 200
    taken_up, begun = counts[True], counts[False]
    if taken_up[0] < MIN_RETURNS or not begun[0]:
        return []
    if taken_up[1] / taken_up[0] < MIN_RETURN_SHARE * begun[1] / begun[0]:
        return [Breach("lost", f"{taken_up[1]} of {taken_up[0]} streams taken up")]
    return []


def _check_leavers(record: Record) -> list[Breach]:
    attempts = {attempt.id: attempt for attempt in record.attempts}
    entries = {attempt.id: attempt.entry for attempt in record.attempts}
    breaches = []
    for target, since in record.leaving_since.items():
        first_answers = _find_first_answers(record, target, since, entries)
        for at, name, request in record.target_arrivals:
            attempt = attempts.get(request)
            if name != target or attempt is None or attempt.entry not in first_answers:
                continue
            informed_at = first_answers[attempt.entry]
            if attempt.sent <= informed_at + DRAIN_SECONDS + TIMING_SLACK:
                continue
            if record.is_entry_undisturbed(attempt.entry, informed_at, at):
                breaches.append(Breach("leaver", f"{request} went to {target}"))
    return breaches


def _check_pauses(record: Record) -> list[Breach]:
    entries = {attempt.id: attempt.entry for attempt in record.attempts}
    breaches = []
    for asked, target, request, pause in record.pauses:
        entry = entries.get(request)
        begins, ends = asked + PAUSE_START_DELAY, asked + pause
        if entry is None or not record.is_entry_undisturbed(
            entry, asked - TIMING_SLACK, ends
        ):
            continue
        if not record.is_target_undisturbed(target, asked - TIMING_SLACK, ends):
            continue
        count = 0
        for at, name, other in record.target_arrivals:
            if name == target and begins < at < ends - TIMING_SLACK:
                count += entries.get(other) == entry
        if count > MAX_IN_PAUSE:
            description = f"{target} got {count} of entry {entry} in {pause} s"
            breaches.append(Breach("pause", description))
    return breaches


def _check_crashes(record: Record) -> list[Breach]:
    sent: dict[str, list[Run]] = defaultdict(list)
    attempts = {attempt.id: attempt for attempt in record.attempts}
    for run in sorted(record.runs, key=lambda run: run.began):
        attempt = attempts.get(run.request)
        if attempt is not None and attempt.is_crashing:
            sent[attempt.crash_cause].append(run)
    breaches = []
    for cause, runs in sent.items():
        is_part = bool(attempts[runs[0].request].part)
        most = PART_CRASHES_BEFORE_REFUSAL if is_part else CRASHES_BEFORE_REFUSAL
        crashes = [run.ended for run in runs if run.crashed and run.ended is not None]
        if len(crashes) < most:
            continue
        known = sorted(crashes)[most - 1] + STABILIZATION_SECONDS
        late = 0
        for run in runs:
            attempt = attempts[run.request]
            if run.began > known + TIMING_SLACK:
                late += record.is_entry_undisturbed(
                    attempt.entry, known - STABILIZATION_SECONDS, run.began
                )
        if late > MAX_LATE_RUNS:
            breaches.append(Breach("crashes", f"{cause} reached targets {late} times"))
    return breaches


def _check_blamed(record: Record, attempt: Attempt, runs: list[Run]) -> list[Breach]:
    if attempt.is_crashing or b"crashes_targets" not in attempt.body:
        return []
    return [Breach("blamed", f"{attempt.id} is refused for what crashed beside it")]


def _find_first_answers(
    record: Record, target: str, since: float, entries: dict[str, int]
) -> dict[int, float]:
    """Return when each entry first received a complete answer of a target.

    Only runs count that began at ``since`` or later; ``entries`` are those of requests.
    """
    first_answers: dict[int, float] = {}
    for run in record.runs:
        if run.target != target or run.ended is None or run.request not in entries:
            continue
        if run.began >= since and run.whole and run.status < 400:
            entry = entries[run.request]
            first_answers[entry] = min(first_answers.get(entry, run.ended), run.ended)
    return first_answers


def _check_cuts(record: Record) -> list[Breach]:
    breaches = []
    for cut in record.cuts:
        since = cut.start + STABILIZATION_SECONDS
        until = cut.end or float("inf")
        at_entry, elsewhere = [], []
        for attempt in record.attempts:
            if not since <= attempt.sent or attempt.ended > until:
                continue
            if not _is_comparable(record, attempt, cut.entry):
                continue
            if attempt.entry != cut.entry:
                elsewhere.append(attempt)
            elif _can_be_helped(record, attempt):
                at_entry.append(attempt)
        share = _compute_served_share(elsewhere)
        failed = sum(not _is_served(one) for one in at_entry)
        tolerated = CUT_EXTRA + CUT_RATIO * (len(at_entry) + len(elsewhere))
        too_few = _compute_served_share(at_entry) < MIN_CUT_SHARE * share
        if at_entry and elsewhere and too_few and failed > tolerated:
            served = len(at_entry) - failed
            description = f"entry {cut.entry} served {served} of {len(at_entry)}"
            breaches.append(Breach("cut", f"{description}, the others {share:.2f}"))
    return breaches


def _can_be_helped(record: Record, attempt: Attempt) -> bool:
    """Return whether another entry was there that could take the request."""
    since = attempt.sent - STABILIZATION_SECONDS
    entries = {one.entry for one in record.attempts} - {attempt.entry}
    return any(record.is_undisturbed(one, since, attempt.ended) for one in entries)


def _check_crowds(record: Record) -> list[Breach]:
    breaches = []
    for crowd in record.crowds:
        until = crowd.end or float("inf")
        before, during = [], []
        for attempt in record.attempts:
            if not _is_comparable(record, attempt, None):
                continue
            if crowd.start - CROWD_COMPARISON_SECONDS <= attempt.sent < crowd.start:
                before.append(attempt)
            if crowd.start + STABILIZATION_SECONDS <= attempt.sent < until:
                during.append(attempt)
        if min(len(before), len(during)) < MIN_CROWD_ATTEMPTS:
            continue
        share, earlier = map(_compute_served_share, (during, before))
        if share < MIN_CROWD_SHARE * earlier:
            description = f"entry {crowd.entry} and others served {share:.2f}"
            breaches.append(Breach("crowd", f"{description}, {earlier:.2f} before"))
    return breaches


def _is_comparable(record: Record, attempt: Attempt, cut_entry: int | None) -> bool:
    """Return whether an attempt shows how well its entry serves during a cut.

    Other entries that are cut off themselves show nothing.
    """
    if attempt.disconnected or attempt.is_crashing:
        return False
    if not _is_allowed(attempt, record.versions[0]):
        return False
    since = attempt.sent - STABILIZATION_SECONDS
    at_cut_entry = attempt.entry == cut_entry
    return record.is_undisturbed(attempt.entry, since, attempt.ended, at_cut_entry)


def _is_served(attempt: Attempt) -> bool:
    return attempt.status == 200 and attempt.whole


def _compute_served_share(attempts: list[Attempt]) -> float:
    return sum(map(_is_served, attempts)) / max(1, len(attempts))


def _check_recovery(record: Record) -> list[Breach]:
    newest = record.versions[-1]
    late = []
    for one in record.attempts:
        if one.is_crashing or one.disconnected:
            continue
        if one.sent >= record.final_phase_start and _is_allowed(one, newest):
            late.append(one)
    served = [one for one in late if one.status == 200 and one.whole]
    if late and len(served) * 4 < len(late) * 3:
        return [Breach("recovery", f"{len(served)} of {len(late)} served at the end")]
    return []


_ATTEMPT_CHECKS: tuple[Callable[[Record, Attempt, list[Run]], list[Breach]], ...] = (
    _check_once,
    _check_refusal,
    _check_answer,
    _check_stream,
    _check_headers,
    _check_configuration,
    _check_drain,
    _check_gone,
    _check_handover,
    _check_blamed,
)

_RECORD_CHECKS: tuple[Callable[[Record], list[Breach]], ...] = (
    _check_stops,
    _check_budget,
    _check_rates,
    _check_versions,
    _check_returns,
    _check_leavers,
    _check_pauses,
    _check_crashes,
    _check_cuts,
    _check_crowds,
    _check_recovery,
)
