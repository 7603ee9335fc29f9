"""Border of callers' bodies: the fields that the router reads."""

from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field

CHARACTERS_PER_TOKEN = 4


class _Body(BaseModel):
    """Fields that both kinds share; unknown ones are handed on as they are."""

    model_config = ConfigDict(extra="allow", strict=True, hide_input_in_errors=True)

    model: str = Field(min_length=1, max_length=200)
    stream: bool | None = None
    max_tokens: int | None = Field(default=None, gt=0)
    n: Literal[1] | None = None

    def get_max_tokens(self) -> int | None:
        """Return the most tokens that the caller wants, or None."""
        return self.max_tokens


class Message(BaseModel):
    """One message of a chat."""

    model_config = ConfigDict(extra="allow", strict=True, hide_input_in_errors=True)

    role: str
    content: str | list[Any] | None = None


class ChatBody(_Body):
    """Body of ``POST /v1/chat/completions``."""

    messages: list[Message] = Field(min_length=1)
    max_completion_tokens: int | None = Field(default=None, gt=0)

    def get_max_tokens(self) -> int | None:
        """Return the most tokens that the caller wants, or None."""
        return self.max_completion_tokens or self.max_tokens


class CompletionBody(_Body):
    """Body of ``POST /v1/completions``."""

    prompt: str


def count_prompt_tokens(body: ChatBody | CompletionBody) -> int:
    """Estimate the length of the prompt, in tokens."""
    if isinstance(body, CompletionBody):
        characters = len(body.prompt)
    else:
        characters = sum(len(str(message.content or "")) for message in body.messages)
    return characters // CHARACTERS_PER_TOKEN + 1
