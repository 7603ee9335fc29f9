"""Requests that crash the targets that run them, told from those beside them.

A target that crashes ends all that it ran. Each request that was there is suspected;
it is refused once its crashes can't be laid on another request, or on chance.
"""

from dataclasses import dataclass, field

from figstep.core.clock import MINUTE, Millis

CRASHES_BEFORE_REFUSAL = 2
"""Crashes after which a request is refused. One may be chance; after two the same
request was there both times."""

MAX_UNRELATED_CRASHES = 2
"""Where targets crash without a request as well, it is refused after one more crash
for each of theirs, up to this."""

COMMON_CAUSE_WINDOW = Millis(1_000)
"""Crashes within this time may have one cause, such as a lost failure domain."""

SUSPICION_DELAY = Millis(1_000)
"""How long after a crash other entries may still tell who else was there."""

CRASH_RETENTION = Millis(15 * MINUTE)
"""Long enough for a caller that sends the same request again and again, and
short enough that a target mended meanwhile is tried again."""

SUSPICION_ANNOUNCE_DURATION = Millis(5_000)
"""How long others are told of a request's only crash: several times, as a message
may be lost. Those of a request that was at more of them are told all the while, for
entries that start again."""

MAX_ANNOUNCED_SUSPICIONS = 32
"""Suspicions in a message."""

MAX_ANNOUNCED_PER_REQUEST = CRASHES_BEFORE_REFUSAL + MAX_UNRELATED_CRASHES
"""Suspicions of one request in a message; no more are needed to refuse it."""


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A request was at a target that crashed.

    Attributes:
        digest: Digest of the request; the same when it comes again.
        life: Name that all entries give the life of the target that ended.
        age: Time since the crash.
    """

    digest: str
    life: str
    age: Millis = Millis(0)


@dataclass(frozen=True, slots=True)
class Clearance:
    """A suspected request has run, and its target lives.

    Attributes:
        digest: Digest of the request.
        age: Time since its answer.
    """

    digest: str
    age: Millis = Millis(0)


@dataclass(slots=True)
class _Crash:
    """The end of a target's life.

    Attributes:
        at: When it was.
        suspects: Digests of what was there, and when each became known.
    """

    at: Millis
    suspects: dict[str, Millis] = field(default_factory=dict)


@dataclass(slots=True)
class _Cleared:
    """A request that was suspected and has run since.

    Attributes:
        at: When it last ran to an answer; crashes before that don't count.
        dropped_at: When suspicions were last dropped for it.
    """

    at: Millis
    dropped_at: Millis


@dataclass(slots=True)
class CrashTable:
    """Crashes of targets, and the requests that were there."""

    _crashes: dict[str, _Crash] = field(default_factory=dict)
    _lives: dict[str, set[str]] = field(default_factory=dict)
    _cleared: dict[str, _Cleared] = field(default_factory=dict)

    def record_suspicion(self, suspicion: Suspicion, now: Millis) -> bool:
        """Take in a suspicion; returns whether it is new."""
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
        """Take in that a target's life ended, whatever was there."""
        self._crashes.setdefault(life, _Crash(at))

    def is_suspected(self, digest: str) -> bool:
        """Tell whether a request was at a target that crashed."""
        return digest in self._lives

    def list_suspected(self) -> list[str]:
        """Return the digests of the requests that are suspected."""
        return list(self._lives)

    def count(self, digest: str) -> int:
        """Return at how many crashes a request was."""
        return len(self._lives.get(digest, ()))

    def clear(self, digest: str, at: Millis, now: Millis) -> bool:
        """Drop the suspicions of a request that ran to an answer.

        Args:
            digest: Digest of the request.
            at: When its answer came.
            now: Monotonic time.

        Returns:
            Whether it was suspected.
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
        """Drop a crash that was none, or is long past."""
        crash = self._crashes.get(life)
        if crash is None:
            return
        for digest in list(crash.suspects):
            self._drop_suspicion(digest, life)
        del self._crashes[life]

    def is_refused(self, digest: str, now: Millis) -> bool:
        """Tell whether a request is kept away from targets."""
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
        """Tell whether all entries have told of a request's crashes by now."""
        lives = self._lives.get(digest, ())
        return all(
            now - self._get_crash_time(life) >= SUSPICION_DELAY for life in lives
        )

    def _is_explained(self, digest: str, crash: _Crash) -> bool:
        """Tell whether another request is as likely to have caused a crash."""
        count = len(self._lives[digest])
        for other in crash.suspects:
            if other != digest and len(self._lives[other]) >= count:
                return True
        return False

    def _count_unrelated(self, digest: str, own: list[_Crash]) -> int:
        """Count the crashes between the first and last of a request's that had others.

        Those that another request causes are no sign that targets crash by themselves.
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
        """Return what others are told: first of those at several crashes, then new."""
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
        """Return the suspected requests that have run of late."""
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
        """Drop what no longer counts."""
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
