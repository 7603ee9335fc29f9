"""Clock of the operating system."""

import time

from figstep.core.clock import Clock, Millis


class SystemClock(Clock):
    """Monotonic clock of the machine."""

    def now(self) -> Millis:
        """Return monotonic milliseconds."""
        return Millis(time.monotonic_ns() // 1_000_000)
