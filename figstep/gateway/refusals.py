"""Table of recently refused generations, by which their retries are recognized."""

from dataclasses import dataclass, field

from figstep.core.clock import Millis

REFUSAL_RETENTION = Millis(15_000)
"""Milliseconds for which a refusal is remembered.

It exceeds the longest Retry-After of a refusal for lack of capacity: a third of the
time to the deadline and 8 s at most, and up to a quarter more at random.
"""

REFUSAL_ANNOUNCE_DURATION = Millis(2_000)
"""Milliseconds for which a refusal is included in messages to peers.

Entries send a message at least once a second, so that most refusals are sent twice or
more often, as a datagram may be lost.
"""

MAX_ANNOUNCED_REFUSALS = 16
"""Maximum number of refusals in one message to peers; the newest are sent."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused request, as described to peers.

    Attributes:
        digest: Digest of the request; a retry has the same.
        age: Milliseconds since the request first arrived at any entry.
    """

    digest: str
    age: Millis


@dataclass(slots=True)
class _KnownRefusal:
    first_arrived: Millis
    refused_at: Millis
    own: bool


@dataclass(slots=True)
class RefusalTable:
    """Requests refused by this entry and by peers that announced them."""

    _known: dict[str, _KnownRefusal] = field(default_factory=dict)

    def record_own(self, digest: str, first_arrived: Millis, now: Millis) -> None:
        """Record a request that this entry refuses.

        ``first_arrived`` is the monotonic time in milliseconds at which the request
        first arrived at any entry.
        """
        self._known[digest] = _KnownRefusal(first_arrived, now, True)

    def record_announced(self, refusal: Refusal, now: Millis) -> None:
        """Record a request that a peer refused, unless it is known already."""
        known = _KnownRefusal(Millis(now - refusal.age), now, False)
        self._known.setdefault(refusal.digest, known)

    def pop_first_arrival(self, digest: str) -> Millis | None:
        """Remove a refused request and return when it first arrived at any entry.

        The time is monotonic, in milliseconds; None for a request that is not known as
        refused. The record is removed so that only the next arrival counts as a retry:
        callers may send the same request again later.
        """
        known = self._known.pop(digest, None)
        return None if known is None else known.first_arrived

    def list_announced(self, now: Millis) -> tuple[Refusal, ...]:
        """Return this entry's own recent refusals for the next message to peers.

        They are in the order in which they were recorded; refusals that peers announced
        are not passed on.
        """
        announced = []
        for digest, known in self._known.items():
            if known.own and now - known.refused_at < REFUSAL_ANNOUNCE_DURATION:
                announced.append(Refusal(digest, Millis(now - known.first_arrived)))
        return tuple(announced[-MAX_ANNOUNCED_REFUSALS:])

    def remove_expired(self, now: Millis) -> None:
        """Remove refusals whose callers are not expected to retry any more."""
        for digest, known in list(self._known.items()):
            if now - known.refused_at >= REFUSAL_RETENTION:
                del self._known[digest]
