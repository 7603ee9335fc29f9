"""What a generation is known to need before it runs."""

from dataclasses import dataclass

UNKNOWN_LENGTH = 256
"""Tokens expected of an answer whose caller gives neither hint nor maximum."""

MEAN_STAGE = 0.6
"""Part of its output that a run holds on average; half, and a little more for
answers that outgrow their hint."""


@dataclass(frozen=True, slots=True)
class Prompt:
    """Size of a generation.

    Attributes:
        model: Model that it asks for.
        tokens: Tokens of the prompt.
        most_output: Most tokens that it may generate.
        hint: The caller's estimate of its output, in tokens; None if not given.
        parts: Ids and tokens of the parts of its prompt, in order.
    """

    model: str
    tokens: int
    most_output: int
    hint: int | None = None
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def expected_output(self) -> int:
        """Tokens that the answer is expected to have."""
        if self.hint is None:
            return min(self.most_output or UNKNOWN_LENGTH, UNKNOWN_LENGTH)
        return max(1, min(self.hint, self.most_output or self.hint))

    @property
    def expected_memory(self) -> int:
        """Memory that it is expected to take over its run, in tokens.

        Runs are at different stages, so that an engine holds their mean rather
        than the sum of their ends.
        """
        return self.tokens + round(self.expected_output * MEAN_STAGE)
