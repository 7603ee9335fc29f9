"""Retry budget, which limits retries to a share of the successful requests."""

from dataclasses import dataclass

RETRY_SHARE = 0.25
"""Retries that each success adds to the budget."""

INITIAL_RETRIES = 20.0
"""Retries in a new budget."""

MAX_RETRIES = 100.0
"""Largest number of retries that a budget can hold."""


@dataclass(slots=True)
class RetryBudget:
    """Number of retries that an entry may still make.

    Each success adds a fraction of a retry and each retry takes one. A pool that
    answers nothing adds nothing, so once the initial retries are used up, its load is
    that of its callers and not a multiple of it. The initial retries allow all
    requests of a single lost target to restart on other targets. Each entry has its
    own budget; the same share of each entry's successes is that share in the fleet.

    Attributes:
        left: Number of retries left; fractions accumulate.
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
