"""Requests that crash the targets that run them, counted by all entries."""

from dataclasses import dataclass, field

from figstep.core.clock import MINUTE, Millis
from figstep.gateway.effects import Effect, Note

MOST_CRASHES = 2
"""Crashed targets after which a request is refused. One crash may be chance;
after two the same request was there both times."""

REMEMBERED_FOR = Millis(15 * MINUTE)
"""Long enough for a caller that sends the same request again and again, and
short enough that a target mended meanwhile is tried again."""


@dataclass(slots=True)
class CrashTable:
    """Crashes by digest of the request that ran where they happened.

    Attributes:
        crashes: Digest to crashes, each by a name that all entries give it,
            and when it was heard of.
    """

    crashes: dict[str, dict[str, Millis]] = field(default_factory=dict)

    def note_crash(
        self, digest: str, crash: str, source: str, now: Millis
    ) -> list[Effect]:
        """Count a crash once, however often it is told.

        Args:
            digest: Digest of a request that was there.
            crash: Name that all entries give the crash.
            source: Who saw it: this entry itself, or the name of another.
            now: Monotonic time.

        Returns:
            The log line of a crash that is new, else nothing.
        """
        found = self.crashes.setdefault(digest, {})
        if crash in found:
            return []
        found[crash] = now
        fields: dict[str, str | int | float | None] = {
            "digest": digest,
            "crash": crash,
            "told_by": source,
            "crashes": len(found),
        }
        return [Note("request suspected", fields)]

    def is_refused(self, digest: str, now: Millis) -> bool:
        """Tell whether a request is kept away from targets."""
        found = self.crashes.get(digest)
        if not found:
            return False
        recent = [at for at in found.values() if now - at < REMEMBERED_FOR]
        return len(recent) >= MOST_CRASHES

    def clear(self, digest: str) -> None:
        """Forget a request that ran to its end."""
        self.crashes.pop(digest, None)

    def list_recent(self, most: int) -> list[tuple[str, str]]:
        """Return at most ``most`` crashes, the newest first."""
        known = []
        for digest, found in self.crashes.items():
            for crash, at in found.items():
                known.append((at, digest, crash))
        known.sort(reverse=True)
        return [(digest, crash) for _, digest, crash in known[:most]]

    def forget_old(self, now: Millis) -> None:
        """Drop crashes that no longer count."""
        for digest, found in list(self.crashes.items()):
            if all(now - at >= REMEMBERED_FOR for at in found.values()):
                del self.crashes[digest]
