"""Table of recent streams with the software version that began each.

A caller that takes a stream up again names the attempt that brought the first event,
and may come to any entry. The stream is identified by a hash of that attempt's id and
of the request, so that a caller with another key or body finds nothing.
"""

import hashlib
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from figstep.core.clock import Millis

START_RETENTION = Millis(120_000)
"""Milliseconds for which a start is remembered; no caller waits longer for a stream."""

START_ANNOUNCE_DURATION = Millis(2_000)
"""Milliseconds for which a start is included in messages to peers.

Entries send a message at least once a second, so that most starts are sent twice or
more often, as a datagram may be lost.
"""

MAX_STARTS = 20_000
"""Maximum number of starts that are remembered; the oldest are dropped first."""

MAX_ANNOUNCED_STARTS = 256
"""Maximum number of starts in one message to peers; the newest are sent."""


UNKNOWN_VERSION = ""
"""Version of a stream whose target has not stated the start that it registered. No
target registers it, so that entries of earlier builds, which know no such value, refuse
the stream as well."""


@dataclass(frozen=True, slots=True)
class StreamStart:
    """The start of a stream, as described to peers.

    Attributes:
        stream: Hash that identifies the stream, of 64 bits.
        version: Software version of the target that sent its first event, or
            `UNKNOWN_VERSION`.
    """

    stream: int
    version: str


class ServiceVersion(NamedTuple):
    """Software version of a service's targets."""

    service: str
    version: str


class StartSource(Enum):
    """How this entry knows the software version that began a stream."""

    OWN = "begun here"
    PEER = "told by an entry"
    STORE = "read from the store"


@dataclass(frozen=True, slots=True)
class RecordedVersion:
    """Software version of a service's targets, as recorded in the store.

    A record of `UNKNOWN_VERSION` states that the service has begun streams whose
    version nobody knows.

    Attributes:
        age: Milliseconds since the last target with this version was removed; None if
            targets have it.
        expired: Whether no caller waits any more for a stream that the version began,
            so that its record can be deleted.
    """

    service: str
    version: str
    age: Millis | None = None
    expired: bool = False

    @property
    def key(self) -> ServiceVersion:
        """Service and version."""
        return ServiceVersion(self.service, self.version)


@dataclass(slots=True)
class _KnownStart:
    version: str
    at: Millis
    service: str
    recorded: bool = False
    was_unknown: bool = False  # when peers were told
    source: StartSource = StartSource.OWN


@dataclass(slots=True)
class StartTable:
    """Starts of streams at this entry and at peers that announced theirs."""

    _known: dict[int, _KnownStart] = field(default_factory=dict)

    def record_own(self, start: StreamStart, service: str, now: Millis) -> None:
        """Record a stream that this entry begins to deliver, or its version."""
        # The table is ordered by time; the newest are announced.
        former = self._known.pop(start.stream, None)
        was_unknown = former is not None and former.version == UNKNOWN_VERSION
        self._known[start.stream] = _KnownStart(
            start.version, now, service, was_unknown=was_unknown
        )
        self._drop_oldest()

    def record_announced(
        self,
        start: StreamStart,
        now: Millis,
        recorded: bool = False,
        source: StartSource = StartSource.PEER,
    ) -> None:
        """Record a stream that a peer delivers.

        A known version is replaced only by `UNKNOWN_VERSION`, and that by a version.
        ``recorded`` states that another entry writes it to the store, or has.
        """
        known = _KnownStart(start.version, now, "", recorded=recorded, source=source)
        current = self._known.setdefault(start.stream, known)
        is_unknown = UNKNOWN_VERSION in (current.version, start.version)
        if is_unknown and current.version != start.version:
            current.version = start.version
            current.recorded = recorded
            current.source = source
        self._drop_oldest()

    def find_version(self, stream: int) -> str | None:
        """Return the software version that began a stream; None if it is unknown."""
        known = self._known.get(stream)
        return None if known is None else known.version

    def find_source(self, stream: int) -> StartSource | None:
        """Return how the version of a stream is known; None if it is unknown."""
        known = self._known.get(stream)
        return None if known is None else known.source

    def list_announced(
        self, announced_since: dict[str, Millis], now: Millis
    ) -> tuple[StreamStart, ...]:
        """Return this entry's own starts for the next message to peers.

        ``announced_since`` holds, by service, since when starts are announced. Earlier
        ones are announced as if they began then, those of other services only if their
        version is not known, or was not: peers may know only one.
        """
        announced: list[StreamStart] = []
        oldest = Millis(now - START_ANNOUNCE_DURATION)
        includes_earlier = any(since > oldest for since in announced_since.values())
        for stream, known in reversed(self._known.items()):
            if len(announced) == MAX_ANNOUNCED_STARTS:
                break
            if known.at <= oldest and not includes_earlier:
                break
            since = announced_since.get(known.service)
            is_unknown = known.version == UNKNOWN_VERSION
            if since is None and known.service and (is_unknown or known.was_unknown):
                since = known.at
            if since is not None and max(known.at, since) > oldest:
                announced.append(StreamStart(stream, known.version))
        return tuple(announced)

    def list_own(self) -> tuple[StreamStart, ...]:
        """Return this entry's newest own starts, oldest first."""
        own = [
            StreamStart(stream, known.version)
            for stream, known in self._known.items()
            if known.service
        ]
        return tuple(own[-MAX_ANNOUNCED_STARTS:])

    def list_for_newcomer(self) -> tuple[StreamStart, ...]:
        """Return what a process that starts can't learn from later messages.

        These are the newest own starts and the newest whose version is not known.
        """
        unknown = [
            StreamStart(stream, known.version)
            for stream, known in self._known.items()
            if known.version == UNKNOWN_VERSION and not known.service
        ]
        return (*unknown[-MAX_ANNOUNCED_STARTS:], *self.list_own())

    def list_unrecorded(
        self, services: Collection[str], most: int
    ) -> tuple[StreamStart, ...]:
        """Return the newest starts that this entry has not recorded in the store.

        They are those of peers and this entry's own of the given services, if there
        are any, and those whose version is not known; ``most`` is their maximum number.
        """
        unrecorded: list[StreamStart] = []
        for stream, known in reversed(self._known.items()):
            if len(unrecorded) == most:
                break
            if known.recorded:
                continue
            is_unknown = known.version == UNKNOWN_VERSION or known.was_unknown
            is_due = known.service in services if known.service else bool(services)
            if not is_due and not is_unknown:
                continue
            unrecorded.append(StreamStart(stream, known.version))
        return tuple(unrecorded)

    def mark_recorded(self, starts: Iterable[StreamStart]) -> None:
        """Mark starts that were written to the store or read from it."""
        for start in starts:
            known = self._known.get(start.stream)
            if known is not None and known.version == start.version:
                known.recorded = True

    def mark_unrecorded(self) -> None:
        """Mark all starts as missing in the store."""
        for known in self._known.values():
            known.recorded = False

    def remove_expired(self, now: Millis) -> None:
        """Remove starts whose callers do not return any more."""
        while self._known:
            stream, oldest = next(iter(self._known.items()))
            if now - oldest.at < START_RETENTION:
                return
            del self._known[stream]

    def _drop_oldest(self) -> None:
        while len(self._known) > MAX_STARTS:
            del self._known[next(iter(self._known))]


def hash_stream(attempt_id: str, digest: str) -> int:
    """Return the hash that identifies a stream.

    Args:
        attempt_id: Id of the caller's attempt that brought the first event.
        digest: Digest of the request, with its key and body.
    """
    data = f"{attempt_id} {digest}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())
