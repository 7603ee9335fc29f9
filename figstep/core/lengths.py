"""Estimates of how long answers become."""

from figstep.core.specs import GenerationWork


class LengthTable:
    """What was learnt of the lengths of answers."""

    def learn(self, customer: str, work: GenerationWork, tokens: int) -> None:
        """Take in the length of a whole answer, in tokens."""

    def estimate_remaining(
        self, customer: str, work: GenerationWork, produced: int
    ) -> float:
        """Return the expected tokens still to come after ``produced``."""
        return 256.0
