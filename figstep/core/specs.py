"""What a caller asked for, without its body."""

from dataclasses import dataclass

from figstep.core.clock import Millis


@dataclass(frozen=True, slots=True)
class GenerationWork:
    """A generation of unknown length.

    Attributes:
        model: Model name.
        prompt_tokens: Estimated length of the prompt, in tokens.
        max_tokens: Most tokens that the caller wants; None for no limit.
        prefix: Digest of the prompt's first block, for prefix-cache affinity.
        kind: Kind of request that its length is learnt by ("chat", "completion").
    """

    model: str
    prompt_tokens: int = 1
    max_tokens: int | None = None
    prefix: str = ""
    kind: str = "chat"


@dataclass(frozen=True, slots=True)
class ServiceWork:
    """A call of a plain service; ``path`` is below the service."""

    service: str
    method: str
    path: str


Work = GenerationWork | ServiceWork


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A request as the reducer sees it; the edge keeps the body.

    Attributes:
        request: Request id, unique in the fleet.
        customer: Customer name.
        work: What to run.
        stream: Whether the caller reads the answer as it is made.
        priority: Higher goes first.
        deadline: Latest time for the first byte (monotonic), or None.
        idempotency_key: The caller's key, or None.
        non_idempotent: Whether the caller itself marked the request so.
        digest: SHA-256 of method, path and body.
    """

    request: str
    customer: str
    work: Work
    stream: bool = True
    priority: int = 0
    deadline: Millis | None = None
    idempotency_key: str | None = None
    non_idempotent: bool = False
    digest: str = ""
