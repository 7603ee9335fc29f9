"""What the memory of a stand-in for an engine keeps of prompts and of complete runs."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from tests.platform.runs import DEFAULT_PRIORITY, read_clock

STRIDE = 4
"""Largest number of tokens in an event."""

CAPACITY = 34_000
"""Tokens of cached and pinned parts; the least recently used cached ones yield."""


def draw_sizes(path: str, events: int, mean: float = STRIDE) -> list[int]:
    """Return the tokens in each event of a stream, which depend on its path alone.

    An event has 1 to STRIDE tokens, and ``mean`` in the mean.
    """
    rng = random.Random(path)
    share = (mean - 1) / (STRIDE - 1)
    return [
        1 + sum(rng.random() < share for _ in range(STRIDE - 1)) for _ in range(events)
    ]


def read_prompt_tokens(headers: Mapping[str, str]) -> int:
    """Return the number of tokens in the prompt of a request."""
    return int(headers["Token-Count"].partition(",")[0])


def read_priority(headers: Mapping[str, str]) -> int:
    """Return the priority of a request."""
    return int(headers.get("Request-Priority", DEFAULT_PRIORITY))


@dataclass(slots=True)
class Part:
    """A part of prompts.

    Attributes:
        tokens: Tokens of the part in a prompt.
        before: Tokens of the parts before it there.
        generated: Tokens that a complete run generated after it, while it is pinned.
        until: Time at which its pin ends; 0 if it is merely cached.
    """

    tokens: int
    model: str
    before: int = 0
    generated: int = 0
    until: float = 0.0

    def count_listed(self, block: int) -> int:
        """Return its tokens as a list names them, in whole blocks of its prompt."""
        total = self.before + self.tokens + self.generated
        return total // block * block - self.before


@dataclass(slots=True)
class Memory:
    """Parts of prompts by id, the least recently used first.

    What a pin keeps is stated as the tokens of the last part and all tokens generated
    after it, also those that another engine generated before the run went on here.

    Attributes:
        block: Tokens of a block: only whole ones are listed of a prompt and what was
            generated after it.
    """

    parts: dict[str, Part] = field(default_factory=dict)
    changes: int = 0
    block: int = 1

    def begin(self, headers: Mapping[str, str]) -> None:
        """Cache the parts of a prompt; end the pin of its last part."""
        name = ""
        before = 0
        for name, tokens in _list_parts(headers):
            kept = self.parts.pop(name, None)
            self.parts[name] = kept or Part(tokens, headers.get("Model", ""), before)
            self.changes += kept is None
            before += tokens
        if name:
            self.unpin(name)
        self._yield()

    def complete(self, headers: Mapping[str, str], generated: int) -> None:
        """Pin the last part if the request of a complete run asks for it."""
        asked = headers.get("Pin-Ms", "")
        parts = _list_parts(headers)
        if not asked.isdigit() or not parts:
            return
        name, tokens = parts[-1]
        until = read_clock() + int(asked) / 1000
        before = sum(tokens for _, tokens in parts[:-1])
        part = Part(tokens, headers.get("Model", ""), before, generated, until)
        self.parts.pop(name, None)
        self.parts[name] = part
        self.changes += 1
        self._yield()

    def unpin(self, name: str) -> bool:
        """End the pin of a part, and return whether there was one."""
        part = self.parts.get(name)
        if part is None or not part.until:
            return False
        part.generated, part.until = 0, 0.0
        self.changes += 1
        return True

    def clear(self) -> None:
        """Forget all, as at a restart."""
        self.parts.clear()
        self.changes = 0

    def count_pinned(self) -> int:
        """Return the tokens that pins keep."""
        self._expire()
        pinned = [part for part in self.parts.values() if part.until]
        return sum(part.tokens + part.generated for part in pinned)

    def describe(self, born: int) -> dict[str, object]:
        """Return the list of all that is kept."""
        self._expire()
        held = [
            ["", name, part.count_listed(self.block), part.model]
            for name, part in self.parts.items()
        ]
        return {"epoch": born, "next": self.changes, "held": held, "born": born}

    def _expire(self) -> None:
        for name, part in self.parts.items():
            if part.until < read_clock():
                self.unpin(name)

    def _yield(self) -> None:
        self._expire()
        kept = sum(part.tokens + part.generated for part in self.parts.values())
        for name, part in list(self.parts.items()):
            if kept <= CAPACITY:
                return
            if part.until:
                continue
            kept -= part.tokens
            del self.parts[name]
            self.changes += 1


def _list_parts(headers: Mapping[str, str]) -> list[tuple[str, int]]:
    """Return the parts of a prompt in their order."""
    entries = [one.split(":") for one in headers.get("Prefix-Hash", "").split(",")]
    return [(entry[0], int(entry[1])) for entry in entries if len(entry) == 2]
