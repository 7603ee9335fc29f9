"""Clock of the operating system."""

import time

from figstep.core.clock import Clock, Millis


class SystemClock(Clock):
    """Monotonic clock of the operating system."""

    def now(self) -> Millis:
        """Return the monotonic time, in milliseconds."""
        return Millis(time.monotonic_ns() // 1_000_000)
