"""Retry budget: retries are a bounded share of successes."""

from dataclasses import dataclass

RETRY_SHARE = 0.25
INITIAL_RETRIES = 20.0
MAX_RETRIES = 100.0


@dataclass(slots=True)
class RetryBudget:
    """How many retries may still be made.

    Each success earns a part of a retry and each retry spends one. A pool that
    answers nothing earns nothing, so once the reserve is gone its load is that
    of its callers and not a multiple of it. The reserve lets the requests of a
    single lost target all go on elsewhere. Each entry keeps its own budget: a
    share of its own successes adds up to the same share in the fleet.

    Attributes:
        left: Retries left.
    """

    left: float = INITIAL_RETRIES

    def earn(self) -> None:
        """Count a success."""
        self.left = min(MAX_RETRIES, self.left + RETRY_SHARE)

    def spend(self) -> bool:
        """Take one retry; False if there is none left."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
