"""Generation ids: they name the target, so any entry can resume them."""

import hashlib
import re
from dataclasses import dataclass

_ID = re.compile(r"([a-z0-9.-]+)~([0-9a-f]{12})~([0-9a-z.-]+)")


@dataclass(frozen=True, slots=True)
class GenerationId:
    """Parts of a generation id.

    Attributes:
        target: Target that runs the generation.
        owner: Digest of the customer that it belongs to.
        nonce: Makes it unique.
    """

    target: str
    owner: str
    nonce: str

    def __str__(self) -> str:
        return f"{self.target}~{self.owner}~{self.nonce}"


def digest_owner(customer: str) -> str:
    """Return the digest of a customer's name that a generation id carries."""
    return hashlib.sha256(customer.encode()).hexdigest()[:12]


def parse_generation(text: str) -> GenerationId | None:
    """Parse a generation id; None if it is not one."""
    match = _ID.fullmatch(text)
    if match is None:
        return None
    return GenerationId(*match.groups())
