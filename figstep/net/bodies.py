"""Models of callers' request bodies, with the fields that routing reads."""

from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field

CHARACTERS_PER_TOKEN = 4
"""Characters of a prompt that count as one token when its length is estimated."""


class _Body(BaseModel):
    """Fields of chat and text completions; unknown fields are forwarded unchanged."""

    model_config = ConfigDict(extra="allow", strict=True, hide_input_in_errors=True)

    model: str = Field(min_length=1, max_length=200)
    stream: bool | None = None
    max_tokens: int | None = Field(default=None, gt=0)
    n: Literal[1] | None = None

    def get_max_tokens(self) -> int | None:
        """Return the maximum number of tokens to generate, or None for no limit."""
        return self.max_tokens


class Message(BaseModel):
    """One message of a chat completion request."""

    model_config = ConfigDict(extra="allow", strict=True, hide_input_in_errors=True)

    role: str
    content: str | list[Any] | None = None


class ChatBody(_Body):
    """Body of ``POST /v1/chat/completions``."""

    messages: list[Message] = Field(min_length=1)
    max_completion_tokens: int | None = Field(default=None, gt=0)

    def get_max_tokens(self) -> int | None:
        """Return the maximum number of tokens to generate, or None for no limit.

        ``max_completion_tokens`` takes precedence over ``max_tokens``.
        """
        return self.max_completion_tokens or self.max_tokens


class CompletionBody(_Body):
    """Body of ``POST /v1/completions``."""

    prompt: str


def count_prompt_tokens(body: ChatBody | CompletionBody) -> int:
    """Return an estimate of the prompt's length, in tokens, at least 1.

    Content of a message that is a list is counted by its Python representation.
    """
    if isinstance(body, CompletionBody):
        characters = len(body.prompt)
    else:
        characters = sum(len(str(message.content or "")) for message in body.messages)
    return characters // CHARACTERS_PER_TOKEN + 1
