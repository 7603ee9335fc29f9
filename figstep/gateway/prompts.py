"""What a generation is known to need before it runs."""

from dataclasses import dataclass

DEFAULT_OUTPUT_TOKENS = 256
"""Tokens expected of an answer whose caller gives neither hint nor maximum."""

MIN_RESERVED_GROWTH = 128
"""Tokens that a run is expected to grow by at least: half of all runs outgrow
their hint, and a run that has done so tells nothing of its end."""

MAX_RESERVED_GROWTH = 320
"""Tokens of growth that are reserved for a run: about two seconds of it. What
comes later finds room that other runs have left by then."""


@dataclass(frozen=True, slots=True)
class Prompt:
    """Size of a generation.

    Attributes:
        model: Model that it asks for.
        tokens: Tokens of the prompt.
        max_output: Most tokens that it may generate.
        hint: The caller's estimate of its output, in tokens; None if not given.
        parts: Ids and tokens of the parts of its prompt, in order.
    """

    model: str
    tokens: int
    max_output: int
    hint: int | None = None
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def expected_output(self) -> int:
        """Tokens that the answer is expected to have."""
        if self.hint is None:
            return min(self.max_output or DEFAULT_OUTPUT_TOKENS, DEFAULT_OUTPUT_TOKENS)
        return max(1, min(self.hint, self.max_output or self.hint))

    def estimate_run_memory(self, generated: int) -> int:
        """Return the memory that its run needs within the next seconds.

        Args:
            generated: Tokens that it has generated so far.
        """
        growth = self.expected_output - generated
        growth = max(MIN_RESERVED_GROWTH, min(MAX_RESERVED_GROWTH, growth))
        return self.tokens + generated + growth
