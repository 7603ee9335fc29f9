"""Requests that were refused for want of room, so that their return is known."""

from dataclasses import dataclass, field

from figstep.core.clock import Millis

REFUSAL_RETENTION = Millis(15_000)
"""Callers come back within a third of the time that they have."""

REFUSAL_ANNOUNCE_DURATION = Millis(2_000)
"""How long others are told: twice at least, as a datagram may be lost."""

MAX_ANNOUNCED_REFUSALS = 16
"""Refusals in a message."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that was refused.

    Attributes:
        digest: Digest of the request; the same when it comes again.
        age: Time since its caller first came with it.
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
    """Refused requests of this entry and of those that it hears."""

    _known: dict[str, _KnownRefusal] = field(default_factory=dict)

    def record_own(self, digest: str, first_arrived: Millis, now: Millis) -> None:
        """Remember a request that this entry refuses."""
        self._known[digest] = _KnownRefusal(first_arrived, now, True)

    def record_announced(self, refusal: Refusal, now: Millis) -> None:
        """Remember a request that another entry refused."""
        known = _KnownRefusal(Millis(now - refusal.age), now, False)
        self._known.setdefault(refusal.digest, known)

    def pop_first_arrival(self, digest: str) -> Millis | None:
        """Return when a caller first came with a request that was refused.

        It is forgotten with that, as callers may send the same anew later.
        """
        known = self._known.pop(digest, None)
        return None if known is None else known.first_arrived

    def list_announced(self, now: Millis) -> tuple[Refusal, ...]:
        """Return what others are told, the newest last."""
        announced = []
        for digest, known in self._known.items():
            if known.own and now - known.refused_at < REFUSAL_ANNOUNCE_DURATION:
                announced.append(Refusal(digest, Millis(now - known.first_arrived)))
        return tuple(announced[-MAX_ANNOUNCED_REFUSALS:])

    def remove_expired(self, now: Millis) -> None:
        """Drop refusals whose callers won't come any more."""
        for digest, known in list(self._known.items()):
            if now - known.refused_at >= REFUSAL_RETENTION:
                del self._known[digest]
