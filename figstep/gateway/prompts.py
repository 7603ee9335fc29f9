"""Estimates of a generation's size before it runs."""

from dataclasses import dataclass

DEFAULT_OUTPUT_TOKENS = 256
"""Expected tokens of an answer whose caller gives neither hint nor maximum."""

MIN_RESERVED_GROWTH = 128
"""Minimum tokens of growth that are reserved for a run.

Half of all runs exceed their hint, and for a run that has done so nothing indicates
when it will end.
"""

MAX_RESERVED_GROWTH = 320
"""Maximum tokens of growth reserved for a run: about two seconds of generation.

Later growth uses memory that other runs have freed by then.
"""


@dataclass(frozen=True, slots=True)
class Prompt:
    """Size of a generation's prompt and answer.

    Attributes:
        max_output: Maximum number of tokens to generate; 0 if the caller gives none.
        hint: The caller's estimate of the output, in tokens; None if not given.
        parts: Ids and token counts of the parts of the prompt, in order.
    """

    model: str
    tokens: int
    max_output: int
    hint: int | None = None
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def expected_output(self) -> int:
        """Expected tokens of the answer: the hint or the default, up to the maximum."""
        if self.hint is None:
            return min(self.max_output or DEFAULT_OUTPUT_TOKENS, DEFAULT_OUTPUT_TOKENS)
        return max(1, min(self.hint, self.max_output or self.hint))

    def estimate_run_memory(self, generated: int) -> int:
        """Return the tokens of memory that the run needs within the next seconds.

        Args:
            generated: Tokens that the run has generated so far.
        """
        growth = self.expected_output - generated
        growth = max(MIN_RESERVED_GROWTH, min(MAX_RESERVED_GROWTH, growth))
        return self.tokens + generated + growth
