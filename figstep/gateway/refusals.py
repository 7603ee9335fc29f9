"""Requests that were refused for lack of capacity, so that retries are recognized."""

from dataclasses import dataclass, field

from figstep.core.clock import Millis

REFUSAL_RETENTION = Millis(15_000)
"""Milliseconds for which a refusal is remembered.

Callers retry within a third of the time to their deadline.
"""

REFUSAL_ANNOUNCE_DURATION = Millis(2_000)
"""Milliseconds for which peers are told of a refusal.

They are told at least twice, as a datagram may be lost.
"""

MAX_ANNOUNCED_REFUSALS = 16
"""Most refusals in one message to peers."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that was refused.

    Attributes:
        digest: Digest of the request; a retry has the same.
        age: Milliseconds since the caller first sent the request.
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
        """Record a request that this entry refuses."""
        self._known[digest] = _KnownRefusal(first_arrived, now, True)

    def record_announced(self, refusal: Refusal, now: Millis) -> None:
        """Record a request that a peer refused, unless it is known already."""
        known = _KnownRefusal(Millis(now - refusal.age), now, False)
        self._known.setdefault(refusal.digest, known)

    def pop_first_arrival(self, digest: str) -> Millis | None:
        """Remove a refused request and return when its caller first sent it.

        Returns None for a request that is not known as refused. The record is removed
        because callers may send the same request anew later.
        """
        known = self._known.pop(digest, None)
        return None if known is None else known.first_arrived

    def list_announced(self, now: Millis) -> tuple[Refusal, ...]:
        """Return the refusals that peers are told, the newest last."""
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
