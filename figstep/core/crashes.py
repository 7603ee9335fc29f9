"""Detection of requests, and of parts of prompts, that crash the targets that run them.

A crash ends all requests on the target, so each of them becomes a suspect, and each
part of their prompts that others may share. Requests and parts are called subjects
here. A request is refused for one of its subjects once neither another subject nor
chance explains the crashes of targets that it was on. A subject of the request itself
explains nothing: a request that lacks the guilty part is not refused for its company.

A request that is sent often is at targets that end for other reasons, again and again,
and a popular part is at the crashes of others. A subject that was answered before takes
more crashes than one that never was.
"""

import hashlib
from collections.abc import Collection
from dataclasses import dataclass, field

from figstep.core.attribution import (
    PART_PREFIX,
    Crash,
    attribute_crashes,
    is_part,
    list_doubtful,
)
from figstep.core.clock import MINUTE, Millis

CRASHES_BEFORE_REFUSAL = 2
"""Number of crashes after which a request is refused. One crash may be chance; at two,
the same request was on the target both times."""

MAX_SPARED_CRASHES = 2
"""Number of crashes that a subject takes more if it was answered before them. Requests
with it run on probation meanwhile."""

MAX_TRIED_CRASHES = CRASHES_BEFORE_REFUSAL + 2
"""Number of crashes from which a refused request is not tried again until they are too
old to count."""

MAX_ANSWERED = 8_192
"""Maximum number of requests, and of parts, whose last answer is kept."""

REPORT_MARGIN = Millis(5_000)
"""Least time, in milliseconds, from an answer that is announced as one before all
crashes to the first of these. A message that is delayed by less thus clears nothing."""

PART_CRASHES_BEFORE_REFUSAL = 3
"""Number of crashes after which requests with a part are refused. It is higher than
that of requests, as many requests share a part."""

PART_CRASHES_BEFORE_CAUTION = 2
"""Number of crashes after which requests with a part are sent one at a time."""

MIN_SUSPECT_CRASHES = min(CRASHES_BEFORE_REFUSAL, PART_CRASHES_BEFORE_CAUTION)
"""Number of crashes from which subjects are compared with each other."""

MAX_COMPARED_SUBJECTS = 32
"""Maximum number of subjects that are compared with each other, those with the most
crashes. Comparing all 1,024 takes a second, which would block an entry."""

MAX_UNRELATED_CRASHES = 2
"""Largest increase of the number of crashes before a refusal. Each crash of a target
without the subject, in the time span of its crashes, adds one, up to this maximum."""

COMMON_CAUSE_WINDOW = Millis(1_000)
"""Time within which crashes may have one cause, such as the loss of a failure domain,
in milliseconds."""

SUSPICION_DELAY = Millis(1_000)
"""Time after a crash in which other entries may still report which other requests were
on the target, in milliseconds."""

CRASH_RETENTION = Millis(15 * MINUTE)
"""Time for which crashes are kept, in milliseconds. It is long enough to cover a caller
that repeats the same request, and short enough that the request is tried again once the
target has been fixed."""

SUSPICION_ANNOUNCE_DURATION = Millis(5_000)
"""Time for which the only suspicion of a request, or a clearance, is announced, in
milliseconds. It covers several messages, as one may be lost. The suspicions of a
request that was at several crashes are always announced, for entries that restart."""

MAX_ANNOUNCED_SUSPICIONS = 32
"""Maximum number of suspicions, and of clearances, in a message."""

MAX_ANNOUNCED_PER_SUBJECT = 2 * (PART_CRASHES_BEFORE_REFUSAL + MAX_UNRELATED_CRASHES)
"""Maximum number of suspicions of one subject in a message. No more are needed to
refuse a request for it, even if each request was at two crashes."""

MAX_SUBJECTS = 1_024
"""Maximum number of subjects that are suspected. Callers choose the parts of their
prompts, so the oldest one with a single suspicion gives way to a new one."""

MAX_PARTS = 16
"""Maximum number of parts of a prompt that are suspected."""

MAX_PART_LENGTH = 32
"""Maximum length of a part's id in a subject. A longer id is replaced by a digest."""


def name_part(part: str) -> str:
    """Return the subject for a part of a prompt, given the id of the part."""
    if len(part) > MAX_PART_LENGTH:
        part = hashlib.sha256(part.encode()).hexdigest()[:MAX_PART_LENGTH]
    return f"{PART_PREFIX}{part}"


def _get_required(subject: str) -> int:
    """Return the number of crashes after which requests with a subject are refused."""
    return PART_CRASHES_BEFORE_REFUSAL if is_part(subject) else CRASHES_BEFORE_REFUSAL


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Report that a subject was on a target when the target crashed.

    Attributes:
        subject: Digest of a request, which is the same when it is sent again, or a part
            of its prompt, as `name_part` returns it.
        life: Name of the target's life that the crash ended; entries that exchange
            suspicions use the same name.
        age: Time since the crash, in milliseconds.
    """

    subject: str
    life: str
    age: Millis = Millis(0)


@dataclass(frozen=True, slots=True)
class Clearance:
    """Report that a suspected subject ran and its target did not crash.

    One from before the crashes shows that the subject does not crash each target.

    Attributes:
        age: Time since the answer, in milliseconds.
    """

    subject: str
    age: Millis = Millis(0)


@dataclass(slots=True)
class _Cleared:
    """A suspected subject that has run since without a crash.

    Attributes:
        at: Time of its last answer (monotonic), in milliseconds; earlier crashes do not
            count for it.
        dropped_at: Time at which suspicions of it were last dropped (monotonic), in
            milliseconds.
    """

    at: Millis
    dropped_at: Millis


@dataclass(slots=True)
class CrashTable:
    """Crashes of targets, and the subjects that were on those targets.

    Attributes:
        knows_answers: Whether the answers of the past are known, here or to others that
            tell them. Otherwise a part without one counts as answered before.
    """

    knows_answers: bool = True
    _crashes: dict[str, Crash] = field(default_factory=dict)
    _lives: dict[str, set[str]] = field(default_factory=dict)
    _cleared: dict[str, _Cleared] = field(default_factory=dict)
    _answered: dict[str, Millis] = field(default_factory=dict)
    _answered_parts: dict[str, Millis] = field(default_factory=dict)
    _trials: dict[str, Millis] = field(default_factory=dict)
    _attributed: dict[tuple[bool, frozenset[str]], dict[str, list[Crash]]] = field(
        default_factory=dict
    )
    _doubtful: dict[frozenset[str], set[str]] = field(default_factory=dict)
    _attributed_until: Millis = Millis(0)

    def record_suspicion(self, suspicion: Suspicion, now: Millis) -> bool:
        """Record a suspicion, and return whether it was added.

        A suspicion is ignored if it is known, or if its crash is not later than the
        last recorded answer to its subject. That answer is announced.
        """
        subject, life = suspicion.subject, suspicion.life
        at = Millis(now - suspicion.age)
        if life in self._lives.get(subject, ()):
            return False
        cleared = self._cleared.get(subject)
        if cleared is not None and at <= cleared.at:
            return False
        answered_at = self._get_answers(subject).get(subject)
        if answered_at is not None and at <= answered_at:
            self._cleared[subject] = _Cleared(answered_at, now)
            return False
        self.record_crash(life, at)
        self._forget_attributed()
        self._crashes[life].suspects[subject] = now
        self._lives.setdefault(subject, set()).add(life)
        if len(self._lives) > MAX_SUBJECTS:
            self._drop_oldest_subject()
        return True

    def record_crash(self, life: str, at: Millis) -> None:
        """Record a crash of a target, with or without requests on it."""
        self._crashes.setdefault(life, Crash(at))

    @property
    def has_suspects(self) -> bool:
        """Whether any suspicion is kept."""
        return bool(self._lives)

    def is_suspected(self, subject: str) -> bool:
        """Return whether any suspicion of a subject is kept."""
        return subject in self._lives

    def list_suspected(self) -> list[str]:
        """Return the subjects that are suspected."""
        return list(self._lives)

    def count(self, subject: str) -> int:
        """Return the number of suspicions of a subject that are kept."""
        return len(self._lives.get(subject, ()))

    def find_last_crash(self, subject: str) -> Millis:
        """Return the monotonic time in milliseconds of a suspect's last crash."""
        return max(self._get_crash_time(life) for life in self._lives[subject])

    def record_answer(self, subject: str, at: Millis) -> None:
        """Record an answer to a subject (monotonic time, in milliseconds)."""
        answers = self._get_answers(subject)
        if subject in self._lives and subject not in answers:
            self._forget_attributed()
        answers[subject] = max(at, answers.pop(subject, at))
        if len(answers) > MAX_ANSWERED:
            del answers[next(iter(answers))]

    def _get_answers(self, subject: str) -> dict[str, Millis]:
        """Return the answers to subjects of one kind, the oldest first.

        They are kept apart, as a prompt has many parts.
        """
        return self._answered_parts if is_part(subject) else self._answered

    def update_knowledge(self, knows_answers: bool) -> None:
        """Record whether the answers of the past are known now."""
        if knows_answers != self.knows_answers:
            self.knows_answers = knows_answers
            self._forget_attributed()

    def _may_be_answered(self, subject: str) -> bool:
        """Return whether a subject was answered before, as far as that is known."""
        if subject in self._get_answers(subject):
            return True
        return is_part(subject) and not self.knows_answers

    def record_clearance(self, clearance: Clearance, now: Millis) -> None:
        """Apply the report of another entry that a subject ran."""
        subject, at = clearance.subject, Millis(now - clearance.age)
        if subject not in self._get_answers(subject):
            self.record_answer(subject, at)
        self.clear(subject, at, now)

    def has_answered_since(self, subject: str, since: Millis) -> bool:
        """Return whether a subject was answered at a monotonic time or later."""
        answered_at = self._get_answers(subject).get(subject)
        return answered_at is not None and answered_at >= since

    def clear(self, subject: str, at: Millis, now: Millis) -> bool:
        """Drop the suspicions of a subject from crashes up to an answer to it.

        ``at`` is the monotonic time of the answer. Return whether any suspicion was
        dropped.
        """
        cleared = self._cleared.get(subject)
        if cleared is not None:
            cleared.at = max(at, cleared.at)
        found = [
            life
            for life in self._lives.get(subject, ())
            if self._get_crash_time(life) <= at
        ]
        if not found:
            return False
        self._cleared[subject] = _Cleared(at, now)
        for life in found:
            self._drop_suspicion(subject, life)
        return True

    def discard_crash(self, life: str) -> None:
        """Remove a crash that did not happen or is too old, with its suspicions."""
        crash = self._crashes.get(life)
        if crash is None:
            return
        for subject in list(crash.suspects):
            self._drop_suspicion(subject, life)
        del self._crashes[life]

    def is_refused(self, digest: str, now: Millis) -> bool:
        """Return whether a request without parts is refused because of its crashes."""
        return self.find_culprit((digest,), now) is not None

    def find_culprit(self, subjects: Collection[str], now: Millis) -> str | None:
        """Return the subject for which a request is refused; None if it is not refused.

        The crashes of the last ``CRASH_RETENTION`` that are attributed to one of its
        subjects count. The request is refused if there are as many as the subject's
        kind takes, and one more for each crash without the subject in the same time
        span, up to ``MAX_UNRELATED_CRASHES`` more. A subject that was answered before
        takes ``MAX_SPARED_CRASHES`` more. For such a part only crashes count for which
        its other runs have had ``SUSPICION_DELAY`` to show that it is harmless; it is
        doubtful meanwhile, so that no further run begins.

        Args:
            subjects: Digest of the request and the parts of its prompt.
            now: Monotonic time, in milliseconds.
        """
        for subject in subjects:
            is_spared = self._may_be_answered(subject)
            spared = MAX_SPARED_CRASHES if is_spared else 0
            until = now
            if is_spared and is_part(subject):
                until = Millis(now - SUSPICION_DELAY)
            if self._count_excess(subject, subjects, now, until) >= spared:
                return subject
        return None

    def find_probationer(self, subjects: Collection[str], now: Millis) -> str | None:
        """Return the subject to refuse a request for if it had not been answered.

        Such a request may run, but one at a time. Returns None for any other.
        """
        for subject in subjects:
            if not self._may_be_answered(subject):
                continue
            if self._count_excess(subject, subjects, now, now) >= 0:
                return subject
        return None

    def _count_excess(
        self, subject: str, subjects: Collection[str], now: Millis, until: Millis
    ) -> int:
        """Return how many crashes a subject has over those that it takes to refuse it.

        The number is negative if it has too few. Crashes later than ``until``
        (monotonic time) don't count.
        """
        required = _get_required(subject)
        if len(self._lives.get(subject, ())) < required:
            return -required
        own = self._list_attributed(subject, subjects, now)
        own = [crash for crash in own if crash.at <= until]
        if not own:
            return -required
        unrelated = self._count_unrelated(subject, own)
        return len(own) - required - min(MAX_UNRELATED_CRASHES, unrelated)

    def find_doubtful_part(self, subjects: Collection[str], now: Millis) -> str | None:
        """Return a part that may crash targets although too few crashes show it.

        Returns None if a request with these subjects may run like any other.
        """
        for subject in subjects:
            if not is_part(subject):
                continue
            if len(self._lives.get(subject, ())) < PART_CRASHES_BEFORE_CAUTION:
                continue
            self._expire_attributed(now)
            excluded = self._list_excluded(subject, subjects)
            if excluded not in self._doubtful:
                required = PART_CRASHES_BEFORE_CAUTION
                suspects = self._list_suspects(True, excluded, now)
                self._doubtful[excluded] = list_doubtful(suspects, required)
            if subject in self._doubtful[excluded]:
                return subject
        return None

    def may_try(self, subject: str, delay: Millis, now: Millis) -> bool:
        """Return whether one request may show that a refused subject is sound.

        That is so once ``delay`` milliseconds have passed since the last crash and
        since the last such request of this entry, which is recorded. A request with
        ``MAX_TRIED_CRASHES`` is not tried.
        """
        if not is_part(subject) and self.count(subject) >= MAX_TRIED_CRASHES:
            return False
        last = max(
            self.find_last_crash(subject), self._trials.get(subject, now - delay)
        )
        if now - last < delay:
            return False
        self._trials[subject] = now
        return True

    def _list_attributed(
        self, subject: str, subjects: Collection[str], now: Millis
    ) -> list[Crash]:
        """Return the crashes attributed to a subject, none if fewer than required."""
        self._expire_attributed(now)
        excluded = self._list_excluded(subject, subjects)
        key = (is_part(subject), excluded)
        if key not in self._attributed:
            required = _get_required(subject)
            suspects = self._list_suspects(is_part(subject), excluded, now)
            answered = [one for one in suspects if self._may_be_answered(one)]
            reported_until = Millis(now - SUSPICION_DELAY)
            self._attributed[key] = attribute_crashes(
                suspects, self._lives, required, reported_until, answered
            )
        return self._attributed[key].get(subject, [])

    def _list_excluded(self, subject: str, subjects: Collection[str]) -> frozenset[str]:
        """Return the other subjects of a request, which explain no crash for it."""
        return frozenset(
            other
            for other in subjects
            if other != subject
            and len(self._lives.get(other, ())) >= CRASHES_BEFORE_REFUSAL
        )

    def _forget_attributed(self) -> None:
        self._attributed.clear()
        self._doubtful.clear()

    def _expire_attributed(self, now: Millis) -> None:
        """Forget what was attributed before a crash came to count differently."""
        if now >= self._attributed_until:
            self._forget_attributed()
        if not self._attributed and not self._doubtful:
            self._attributed_until = self._find_next_expiry(now)

    def _find_next_expiry(self, now: Millis) -> Millis:
        """Return the time from which a crash counts differently.

        That is so once all entries have reported it, and once it is too old to count.
        """
        ends = [Millis(now + CRASH_RETENTION)]
        for crash in self._crashes.values():
            ends.append(Millis(crash.at + SUSPICION_DELAY))
            ends.append(Millis(crash.at + CRASH_RETENTION))
        return min(end for end in ends if end > now)

    def _list_suspects(
        self, parts: bool, excluded: Collection[str], now: Millis
    ) -> dict[str, list[Crash]]:
        """Return the parts or the requests with their recent unexplained crashes.

        Those with a single crash are left out.
        """
        compared = [
            subject
            for subject, lives in self._lives.items()
            if is_part(subject) == parts
            and subject not in excluded
            and len(lives) >= MIN_SUSPECT_CRASHES
        ]
        if len(compared) > MAX_COMPARED_SUBJECTS:
            compared.sort(key=lambda subject: (-len(self._lives[subject]), subject))
            del compared[MAX_COMPARED_SUBJECTS:]
        suspects = {}
        for subject in compared:
            found = []
            for life in sorted(self._lives[subject], key=self._get_crash_time):
                crash = self._crashes[life]
                if now - crash.at >= CRASH_RETENTION:
                    continue
                if not self._is_explained(subject, excluded, crash, now):
                    found.append(crash)
            suspects[subject] = found
        return suspects

    def is_settled(self, subject: str, now: Millis) -> bool:
        """Return whether all entries have had time to report a subject's crashes."""
        lives = self._lives.get(subject, ())
        return all(
            now - self._get_crash_time(life) >= SUSPICION_DELAY for life in lives
        )

    def _is_explained(
        self, subject: str, excluded: Collection[str], crash: Crash, now: Millis
    ) -> bool:
        """Return whether a subject of the other kind explains a crash.

        A part explains the crashes of a request if requests are refused for it: many
        requests share a part. A request explains the crash of a part if it was at one
        without the part as well.
        """
        for other in crash.suspects:
            if other in excluded or is_part(other) == is_part(subject):
                continue
            if is_part(subject):
                if self._crashes_without(other, subject):
                    return True
            elif self.find_culprit((other,), now) is not None:
                return True
        return False

    def _crashes_without(self, digest: str, part: str) -> bool:
        """Return whether a request was at several crashes, some without a part."""
        lives = self._lives[digest]
        if is_part(digest) or len(lives) < CRASHES_BEFORE_REFUSAL:
            return False
        return not lives <= self._lives[part]

    def _count_unrelated(self, subject: str, own: list[Crash]) -> int:
        """Count the crashes without a subject in the time span of its own crashes.

        A crash is left out if a subject with several suspicions was on the target:
        that one may have caused the crash, which is thus no evidence that targets
        crash by chance.
        """
        first = min(crash.at for crash in own) - COMMON_CAUSE_WINDOW
        last = max(crash.at for crash in own) + COMMON_CAUSE_WINDOW
        count = 0
        for crash in self._crashes.values():
            if not first <= crash.at <= last or subject in crash.suspects:
                continue
            if all(len(self._lives[other]) == 1 for other in crash.suspects):
                count += 1
        return count

    def list_suspicions(self, now: Millis) -> tuple[Suspicion, ...]:
        """Return the suspicions to announce, at most ``MAX_ANNOUNCED_SUSPICIONS``.

        Suspicions of subjects that have more come first, and among equals those that
        became known last.
        """
        found = []
        for subject, lives in self._lives.items():
            newest = sorted(lives, key=self._get_crash_time, reverse=True)
            newest = newest[:MAX_ANNOUNCED_PER_SUBJECT]
            for life in newest:
                known_at = self._crashes[life].suspects[subject]
                if len(lives) > 1 or now - known_at < SUSPICION_ANNOUNCE_DURATION:
                    found.append((len(newest), known_at, subject, life))
        found.sort(reverse=True)
        return tuple(
            Suspicion(subject, life, Millis(now - self._get_crash_time(life)))
            for _, _, subject, life in found[:MAX_ANNOUNCED_SUSPICIONS]
        )

    def list_clearances(self, now: Millis) -> tuple[Clearance, ...]:
        """Return the clearances to announce, at most ``MAX_ANNOUNCED_SUSPICIONS``.

        The newest come first, then answers from before the crashes.
        """
        recent: list[tuple[int, str, Millis]] = []
        for subject, cleared in self._cleared.items():
            if now - cleared.dropped_at < SUSPICION_ANNOUNCE_DURATION:
                recent.append((cleared.dropped_at, subject, cleared.at))
        recent.sort(reverse=True)
        del recent[MAX_ANNOUNCED_SUSPICIONS:]
        if self._lives:
            room = MAX_ANNOUNCED_SUSPICIONS - len(recent)
            recent += self._list_answered_before(now)[:room]
        return tuple(Clearance(subject, Millis(now - at)) for _, subject, at in recent)

    def _list_answered_before(self, now: Millis) -> list[tuple[int, str, Millis]]:
        """Return the suspects that were answered before all their crashes.

        Each comes with the number of its crashes, those with most first, and with a
        time that precedes them by ``REPORT_MARGIN`` or more.
        """
        found = []
        for subject, lives in self._lives.items():
            answered_at = self._get_answers(subject).get(subject)
            if answered_at is None:
                continue
            known_at = max(self._crashes[life].suspects[subject] for life in lives)
            if len(lives) == 1 and now - known_at >= SUSPICION_ANNOUNCE_DURATION:
                continue
            first = min(self._get_crash_time(life) for life in lives)
            at = min(answered_at, Millis(first - REPORT_MARGIN))
            found.append((len(lives), subject, at))
        found.sort(reverse=True)
        return found

    def remove_expired(self, now: Millis) -> None:
        """Remove crashes and clearances that are older than ``CRASH_RETENTION``."""
        for life, crash in list(self._crashes.items()):
            if now - crash.at >= CRASH_RETENTION:
                self.discard_crash(life)
        for subject, cleared in list(self._cleared.items()):
            if now - cleared.at >= CRASH_RETENTION:
                del self._cleared[subject]
        for answers in (self._answered, self._answered_parts):
            while answers:
                subject, answered_at = next(iter(answers.items()))
                if now - answered_at < CRASH_RETENTION:
                    break
                del answers[subject]
        for subject in list(self._trials):
            if subject not in self._lives:
                del self._trials[subject]

    def _drop_oldest_subject(self) -> None:
        for subject, lives in self._lives.items():
            if len(lives) == 1:
                self._drop_suspicion(subject, next(iter(lives)))
                return

    def _get_crash_time(self, life: str) -> Millis:
        return self._crashes[life].at

    def _drop_suspicion(self, subject: str, life: str) -> None:
        self._forget_attributed()
        del self._crashes[life].suspects[subject]
        lives = self._lives[subject]
        lives.discard(life)
        if not lives:
            del self._lives[subject]
