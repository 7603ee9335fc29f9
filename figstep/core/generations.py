"""Generation ids, which name the target so that any entry can resume the stream."""

import hashlib
import re
from dataclasses import dataclass

_ID = re.compile(r"([a-z0-9.-]+)~([0-9a-f]{12})~([0-9a-z.-]+)")


@dataclass(frozen=True, slots=True)
class GenerationId:
    """Parts of a generation id.

    Attributes:
        target: Name of the target that runs the generation.
        owner: Digest of the name of the customer that owns the generation.
        nonce: Value that makes the id unique.
    """

    target: str
    owner: str
    nonce: str

    def __str__(self) -> str:
        return f"{self.target}~{self.owner}~{self.nonce}"


def digest_owner(customer: str) -> str:
    """Return the digest of a customer's name, as it appears in generation ids."""
    return hashlib.sha256(customer.encode()).hexdigest()[:12]


def parse_generation(text: str) -> GenerationId | None:
    """Parse a generation id; return None if the text is not one."""
    match = _ID.fullmatch(text)
    if match is None:
        return None
    return GenerationId(*match.groups())
