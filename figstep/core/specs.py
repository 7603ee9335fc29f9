"""Specification of a request, without its body."""

from dataclasses import dataclass

from figstep.core.clock import Millis


@dataclass(frozen=True, slots=True)
class GenerationWork:
    """A generation of unknown length.

    Attributes:
        prompt_tokens: Estimated length of the prompt, in tokens.
        max_tokens: Maximum number of tokens to generate; None for no limit.
        prefix: Digest of the prompt's first block, for prefix-cache affinity; "" for
            none.
        kind: Kind of request, "chat" or "completion"; lengths are estimated by kind.
    """

    model: str
    prompt_tokens: int = 1
    max_tokens: int | None = None
    prefix: str = ""
    kind: str = "chat"


@dataclass(frozen=True, slots=True)
class ServiceWork:
    """A call of a plain service.

    Attributes:
        path: Path relative to the service.
    """

    service: str
    method: str
    path: str


Work = GenerationWork | ServiceWork


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A request in the form that the reducer handles; the edge keeps the body.

    Attributes:
        request: Request id, unique in the fleet.
        stream: Whether the caller receives the answer as it is generated.
        priority: Priority; higher ones go first.
        deadline: Latest time for the first byte (monotonic), in milliseconds, or
            None for the default of the inventory.
        non_idempotent: Whether the caller marked the request as non-idempotent.
        digest: Hexadecimal SHA-256 digest of method, path with query, and body.
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
