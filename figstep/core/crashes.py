"""Detection of requests that crash the targets that run them.

A crash ends all requests on the target, so each of them becomes a suspect. A suspect is
refused once neither another request nor chance explains the crashes of targets that it
was on.
"""

from dataclasses import dataclass, field

from figstep.core.clock import MINUTE, Millis

CRASHES_BEFORE_REFUSAL = 2
"""Number of crashes after which a request is refused. One crash may be chance; at two,
the same request was on the target both times."""

MAX_UNRELATED_CRASHES = 2
"""Largest increase of ``CRASHES_BEFORE_REFUSAL``. Each crash of a target without the
request, in the time span of the request's crashes, adds one, up to this maximum."""

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

MAX_ANNOUNCED_PER_REQUEST = CRASHES_BEFORE_REFUSAL + MAX_UNRELATED_CRASHES
"""Maximum number of suspicions of one request in a message; no more are needed to
refuse the request."""


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Report that a request was on a target when the target crashed.

    Attributes:
        digest: Digest of the request, which is the same when it is sent again.
        life: Name of the target's life that the crash ended; entries that exchange
            suspicions use the same name.
        age: Time since the crash, in milliseconds.
    """

    digest: str
    life: str
    age: Millis = Millis(0)


@dataclass(frozen=True, slots=True)
class Clearance:
    """Report that a suspected request was answered and its target did not crash.

    Attributes:
        age: Time since the answer, in milliseconds.
    """

    digest: str
    age: Millis = Millis(0)


@dataclass(slots=True)
class _Crash:
    """A crash of a target.

    Attributes:
        at: Time of the crash (monotonic), in milliseconds.
        suspects: Digests of the requests on the target, with the time (monotonic, in
            milliseconds) at which each became known here.
    """

    at: Millis
    suspects: dict[str, Millis] = field(default_factory=dict)


@dataclass(slots=True)
class _Cleared:
    """A suspected request that has been answered since.

    Attributes:
        at: Time of the request's last answer (monotonic), in milliseconds; earlier
            crashes do not count for the request.
        dropped_at: Time at which suspicions of the request were last dropped
            (monotonic), in milliseconds.
    """

    at: Millis
    dropped_at: Millis


@dataclass(slots=True)
class CrashTable:
    """Crashes of targets, and the requests that were on those targets."""

    _crashes: dict[str, _Crash] = field(default_factory=dict)
    _lives: dict[str, set[str]] = field(default_factory=dict)
    _cleared: dict[str, _Cleared] = field(default_factory=dict)

    def record_suspicion(self, suspicion: Suspicion, now: Millis) -> bool:
        """Record a suspicion, and return whether it was added.

        A suspicion is ignored if it is known, or if its crash is not later than the
        last recorded answer to the request.
        """
        digest, life = suspicion.digest, suspicion.life
        at = Millis(now - suspicion.age)
        if life in self._lives.get(digest, ()):
            return False
        cleared = self._cleared.get(digest)
        if cleared is not None and at <= cleared.at:
            return False
        self.record_crash(life, at)
        self._crashes[life].suspects[digest] = now
        self._lives.setdefault(digest, set()).add(life)
        return True

    def record_crash(self, life: str, at: Millis) -> None:
        """Record a crash of a target, with or without requests on it."""
        self._crashes.setdefault(life, _Crash(at))

    def is_suspected(self, digest: str) -> bool:
        """Return whether any suspicion of a request is kept."""
        return digest in self._lives

    def list_suspected(self) -> list[str]:
        """Return the digests of the requests that are suspected."""
        return list(self._lives)

    def count(self, digest: str) -> int:
        """Return the number of suspicions of a request that are kept."""
        return len(self._lives.get(digest, ()))

    def clear(self, digest: str, at: Millis, now: Millis) -> bool:
        """Drop the suspicions of a request from crashes up to an answer to it.

        ``at`` is the monotonic time of the answer. Return whether any suspicion was
        dropped.
        """
        cleared = self._cleared.get(digest)
        if cleared is not None:
            cleared.at = max(at, cleared.at)
        found = [
            life
            for life in self._lives.get(digest, ())
            if self._get_crash_time(life) <= at
        ]
        if not found:
            return False
        self._cleared[digest] = _Cleared(at, now)
        for life in found:
            self._drop_suspicion(digest, life)
        return True

    def discard_crash(self, life: str) -> None:
        """Remove a crash that did not happen or is too old, with its suspicions."""
        crash = self._crashes.get(life)
        if crash is None:
            return
        for digest in list(crash.suspects):
            self._drop_suspicion(digest, life)
        del self._crashes[life]

    def is_refused(self, digest: str, now: Millis) -> bool:
        """Return whether a request is refused because of its crashes.

        The crashes of the last ``CRASH_RETENTION`` that no other request explains
        count. The request is refused if there are ``CRASHES_BEFORE_REFUSAL`` of them,
        and one more for each crash without the request in the same time span, up to
        ``MAX_UNRELATED_CRASHES`` more.
        """
        lives = self._lives.get(digest, ())
        if len(lives) < CRASHES_BEFORE_REFUSAL:
            return False
        crashes = [self._crashes[life] for life in lives]
        crashes = [crash for crash in crashes if now - crash.at < CRASH_RETENTION]
        own = [crash for crash in crashes if not self._is_explained(digest, crash)]
        if len(own) < CRASHES_BEFORE_REFUSAL:
            return False
        unrelated = self._count_unrelated(digest, own)
        return len(own) >= CRASHES_BEFORE_REFUSAL + min(
            MAX_UNRELATED_CRASHES, unrelated
        )

    def is_settled(self, digest: str, now: Millis) -> bool:
        """Return whether all entries have had time to report a request's crashes."""
        lives = self._lives.get(digest, ())
        return all(
            now - self._get_crash_time(life) >= SUSPICION_DELAY for life in lives
        )

    def _is_explained(self, digest: str, crash: _Crash) -> bool:
        """Return whether another request is as likely to have caused a crash.

        Such a request was on the same target, and has as many suspicions or more.
        """
        count = len(self._lives[digest])
        for other in crash.suspects:
            if other != digest and len(self._lives[other]) >= count:
                return True
        return False

    def _count_unrelated(self, digest: str, own: list[_Crash]) -> int:
        """Count the crashes without a request in the time span of its own crashes.

        A crash is left out if a request with several suspicions was on the target:
        that request may have caused the crash, which is thus no evidence that targets
        crash by chance.
        """
        first = min(crash.at for crash in own) - COMMON_CAUSE_WINDOW
        last = max(crash.at for crash in own) + COMMON_CAUSE_WINDOW
        count = 0
        for crash in self._crashes.values():
            if not first <= crash.at <= last or digest in crash.suspects:
                continue
            if all(len(self._lives[other]) == 1 for other in crash.suspects):
                count += 1
        return count

    def list_suspicions(self, now: Millis) -> tuple[Suspicion, ...]:
        """Return the suspicions to announce, at most ``MAX_ANNOUNCED_SUSPICIONS``.

        Suspicions of requests that have several come first, and among equals those
        that became known last.
        """
        found = []
        for digest, lives in self._lives.items():
            newest = sorted(lives, key=self._get_crash_time, reverse=True)
            for life in newest[:MAX_ANNOUNCED_PER_REQUEST]:
                crash = self._crashes[life]
                known_at = crash.suspects[digest]
                repeated = len(lives) > 1
                if repeated or now - known_at < SUSPICION_ANNOUNCE_DURATION:
                    found.append((repeated, known_at, digest, life))
        found.sort(reverse=True)
        return tuple(
            Suspicion(digest, life, Millis(now - self._get_crash_time(life)))
            for _, _, digest, life in found[:MAX_ANNOUNCED_SUSPICIONS]
        )

    def list_clearances(self, now: Millis) -> tuple[Clearance, ...]:
        """Return the clearances to announce, the newest first.

        There are at most ``MAX_ANNOUNCED_SUSPICIONS``.
        """
        recent = []
        for digest, cleared in self._cleared.items():
            if now - cleared.dropped_at < SUSPICION_ANNOUNCE_DURATION:
                recent.append((cleared.dropped_at, digest, cleared.at))
        recent.sort(reverse=True)
        return tuple(
            Clearance(digest, Millis(now - at))
            for _, digest, at in recent[:MAX_ANNOUNCED_SUSPICIONS]
        )

    def remove_expired(self, now: Millis) -> None:
        """Remove crashes and clearances that are older than ``CRASH_RETENTION``."""
        for life, crash in list(self._crashes.items()):
            if now - crash.at >= CRASH_RETENTION:
                self.discard_crash(life)
        for digest, cleared in list(self._cleared.items()):
            if now - cleared.at >= CRASH_RETENTION:
                del self._cleared[digest]

    def _get_crash_time(self, life: str) -> Millis:
        return self._crashes[life].at

    def _drop_suspicion(self, digest: str, life: str) -> None:
        del self._crashes[life].suspects[digest]
        lives = self._lives[digest]
        lives.discard(life)
        if not lives:
            del self._lives[digest]
