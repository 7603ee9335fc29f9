"""Attribution of crashes of targets to some of the subjects that were on them.

Subjects are requests and parts of prompts. Counts alone do not show which subjects
caused the crashes: a popular part is beside several guilty ones, and has more crashes
than any of them as soon as these are refused. Crashes are thus attributed to the
subjects that are needed to explain them, whatever the totals of the others.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Set
from dataclasses import dataclass, field

from figstep.core.clock import Millis

SIMULTANEOUS_CRASHES = Millis(100)
"""Time within which crashes count as one for a part, in milliseconds. Targets that are
lost together do not crash one after another."""

NEAR_TIE = 1
"""Number of crashes that a part may have more than another one without being told apart
from it. A popular part beside the first crash of each of three guilty subjects has
three, as many as a refusal takes, while the guilty ones have one or two."""

PART_PREFIX = "part "
"""Prefix of subjects that are parts of prompts."""


def is_part(subject: str) -> bool:
    """Return whether a subject is a part of prompts, and not a request."""
    return subject.startswith(PART_PREFIX)


@dataclass(slots=True)
class Crash:
    """A crash of a target.

    Attributes:
        at: Time of the crash (monotonic), in milliseconds.
        suspects: Subjects on the target, with the time (monotonic, in milliseconds) at
            which each became known here.
    """

    at: Millis
    suspects: dict[str, Millis] = field(default_factory=dict)


def list_events(subject: str, crashes: Iterable[Crash]) -> list[Crash]:
    """Return the crashes that count for a subject, given all of them by time.

    Crashes of a part at about the same time count once, and so do those of one request
    that went from target to target.
    """
    if not is_part(subject):
        return list(crashes)
    events: list[Crash] = []
    for crash in crashes:
        if not any(_is_one_event(crash, event) for event in events):
            events.append(crash)
    return events


def _is_one_event(crash: Crash, other: Crash) -> bool:
    """Return whether two crashes show no more of a part than one of them."""
    if abs(crash.at - other.at) < SIMULTANEOUS_CRASHES:
        return True
    shared = crash.suspects.keys() & other.suspects.keys()
    return not all(is_part(subject) for subject in shared)


def attribute_crashes(
    suspects: Mapping[str, list[Crash]],
    lives: Mapping[str, Set[str]],
    required: int,
    reported_until: Millis,
    answered: Collection[str] = (),
) -> dict[str, list[Crash]]:
    """Return the subjects that have caused crashes, with the crashes that show it.

    A crash counts for a subject if no other subject that is needed to explain crashes
    was there, and none that `list_strongest` cannot tell from it. The first condition
    keeps a popular subject from adding up the crashes of guilty ones. The second one
    keeps a subject from being refused for one or two crashes more than a guilty one,
    while only more crashes or answers can tell them apart.

    Args:
        suspects: Subjects of one kind with their crashes, ordered by time, without
            those that a subject of the other kind explains.
        lives: All lives of targets that each subject was on as they crashed.
        required: Number of crashes that are required of a subject.
        reported_until: Time of the last crash that all entries have reported
            (monotonic), in milliseconds.
        answered: Subjects that were answered before.
    """
    strongest = list_strongest(suspects, lives, reported_until, answered)
    attributed = {}
    for subject, crashes in list_needed(suspects, required).items():
        shown = {id(crash) for crash in strongest[subject]}
        both = [crash for crash in crashes if id(crash) in shown]
        events = list_events(subject, both)
        if len(events) >= required:
            attributed[subject] = events
    return attributed


def list_doubtful(suspects: Mapping[str, list[Crash]], required: int) -> set[str]:
    """Return the subjects that either condition of `attribute_crashes` leaves."""
    doubtful = set(list_needed(suspects, required))
    for subject, crashes in list_strongest(suspects).items():
        if len(list_events(subject, crashes)) >= required:
            doubtful.add(subject)
    return doubtful


def list_strongest(
    suspects: Mapping[str, list[Crash]],
    lives: Mapping[str, Set[str]] | None = None,
    reported_until: Millis = Millis(0),
    answered: Collection[str] = (),
) -> dict[str, list[Crash]]:
    """Return the crashes of each subject at which no equally suspected one was.

    Such a subject has as many crashes or more. If ``lives`` are given, a part with up
    to ``NEAR_TIE`` fewer is as suspected as another one if it was at a crash without
    it, and also while entries may still report that it was: a crash of the other one
    is later than ``reported_until``. One that was never answered, with up to
    ``NEAR_TIE`` fewer, is as suspected as one of those in ``answered``.
    """
    totals = {one: len(list_events(one, found)) for one, found in suspects.items()}
    strongest = {}
    for subject, crashes in suspects.items():
        equals = set()
        is_reported = all(crash.at <= reported_until for crash in crashes)
        for other, total in totals.items():
            if total >= totals[subject]:
                equals.add(other)
                continue
            is_near = total + NEAR_TIE >= totals[subject]
            if is_near and subject in answered and other not in answered:
                equals.add(other)
            elif is_near and lives and is_part(subject):
                if not is_reported or not lives[other] <= lives[subject]:
                    equals.add(other)
        equals.discard(subject)
        strongest[subject] = [
            crash for crash in crashes if equals.isdisjoint(crash.suspects)
        ]
    return strongest


def list_needed(
    suspects: Mapping[str, list[Crash]], required: int
) -> dict[str, list[Crash]]:
    """Return the subjects that are needed to explain crashes, with these crashes.

    Subjects with fewer than ``required`` crashes are left out. Of the others, the one
    with the fewest crashes of its own, at which none of the others was, is dropped, as
    the others explain the rest of its crashes. This is repeated until each subject that
    is left has as many of its own as required. Subjects that cannot be told apart are
    dropped together.

    Own crashes are compared first as they count, then one by one: of two subjects that
    were on many targets that were lost together, the guilty one was on more. Totals
    come last.
    """
    kept = {}
    for subject, crashes in suspects.items():
        if len(list_events(subject, crashes)) >= required:
            kept[subject] = crashes
    while kept:
        sharing = Counter(id(crash) for crashes in kept.values() for crash in crashes)
        own: dict[str, list[Crash]] = {}
        ranks: dict[str, tuple[int, ...]] = {}
        for subject, crashes in kept.items():
            alone = [crash for crash in crashes if sharing[id(crash)] == 1]
            own[subject] = list_events(subject, alone)
            total = list_events(subject, crashes)
            ranks[subject] = (len(own[subject]), len(alone), len(total), len(crashes))
        weakest = min(ranks.values())
        if weakest[0] >= required:
            return own
        kept = {one: found for one, found in kept.items() if ranks[one] != weakest}
    return {}
