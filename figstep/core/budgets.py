"""Retry budget, which limits retries to a fraction of the successful requests."""

from dataclasses import dataclass

RETRY_SHARE = 0.25
"""Number of retries that each success adds to the budget."""

INITIAL_RETRIES = 20.0
"""Number of retries in a new budget."""

MAX_RETRIES = 100.0
"""Maximum number of retries that a budget can hold."""


@dataclass(slots=True)
class RetryBudget:
    """Number of retries that an entry may still make.

    Each completed request adds a fraction of a retry and each retry takes one. While
    no request completes nothing is added, so once the retries are used up, the load
    on the targets is that of the callers and not a multiple of it. The initial
    retries are meant for the requests of a single lost target, so that all of them
    can restart on other targets. Each entry has its own budget; as each one allows
    the same fraction of the entry's successes, so does the fleet.
    """

    left: float = INITIAL_RETRIES

    def earn(self) -> None:
        """Add the retries that one success allows."""
        self.left = min(MAX_RETRIES, self.left + RETRY_SHARE)

    def spend(self) -> bool:
        """Take one retry, and return whether there was one left."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
