"""Addresses at which other entries listen, and what is known of each."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

NEIGHBOR_EXPIRY_SECONDS = 30.0
"""How long an address that doesn't answer is still tried."""

RECENT_SECONDS = 3.0
"""How long an entry that was heard, or named by another one, counts as alive."""

MAX_MEMBERS_PER_MESSAGE = 16
"""Addresses in a message, drawn anew for each: all are told within seconds."""


@dataclass(frozen=True, slots=True)
class Member:
    """An entry that others are told of.

    Attributes:
        address: Where it listens, as "ip:port".
        failure_domain: Its failure domain; "" for unknown.
    """

    address: str
    failure_domain: str


@dataclass(slots=True)
class Neighbor:
    """An address that another entry may listen at.

    Attributes:
        last_named: When another entry last named it.
        last_received: When it was last heard.
        session: Session of its newest message.
        sequence: Number of its newest message.
        failure_domain: Its failure domain; "" for unknown.
    """

    last_named: float
    last_received: float = -1e9
    session: int = 0
    sequence: int = 0
    failure_domain: str = ""

    def is_recent(self, now: float) -> bool:
        """Tell whether it was heard or named of late."""
        return now - max(self.last_received, self.last_named) < RECENT_SECONDS


class NeighborTable:
    """The addresses of all other entries that are known."""

    def __init__(self, own: str, failure_domain: str) -> None:
        self._own = own
        self._failure_domain = failure_domain
        self._neighbors: dict[str, Neighbor] = {}
        self._next_member = 0

    def __len__(self) -> int:
        return len(self._neighbors)

    def find(self, address: str) -> Neighbor | None:
        """Return what is known of an address, or None."""
        return self._neighbors.get(address)

    def add(self, address: str, now: float) -> Neighbor:
        """Return what is known of an address; it is known from now on."""
        return self._neighbors.setdefault(address, Neighbor(now))

    def record_members(self, members: Iterable[Member], now: float) -> None:
        """Take in entries that another one has heard of late."""
        for member in members:
            if member.address == self._own:
                continue
            known = self.add(member.address, now)
            known.last_named = now
            if not known.failure_domain:
                known.failure_domain = member.failure_domain

    def remove_expired(self, now: float) -> None:
        """Drop addresses that have been silent for long."""
        for address, neighbor in list(self._neighbors.items()):
            newest = max(neighbor.last_received, neighbor.last_named)
            if now - newest >= NEIGHBOR_EXPIRY_SECONDS:
                del self._neighbors[address]

    def list_all(self) -> list[str]:
        """Return all addresses."""
        return list(self._neighbors)

    def list_local(self) -> list[str]:
        """Return the addresses in this entry's own failure domain."""
        return self._list_domain(self._failure_domain)

    def list_without_domain(self) -> list[str]:
        """Return the addresses whose failure domain is not known."""
        return self._list_domain("")

    def _list_domain(self, failure_domain: str) -> list[str]:
        found = []
        for address, neighbor in self._neighbors.items():
            if neighbor.failure_domain == failure_domain:
                found.append(address)
        return found

    def pick_remote(self, now: float) -> list[str]:
        """Return the address of one entry of each other failure domain."""
        domains: dict[str, list[str]] = {}
        for address, neighbor in self._neighbors.items():
            if neighbor.failure_domain not in ("", self._failure_domain):
                domains.setdefault(neighbor.failure_domain, []).append(address)
        picked = []
        for addresses in domains.values():
            alive = [name for name in addresses if self._neighbors[name].is_recent(now)]
            # Silent ones are tried too where all are: a cut may have healed.
            picked.append(random.choice(alive or addresses))
        return picked

    def pick_members(self, now: float) -> tuple[Member, ...]:
        """Return entries that were heard of late, others each time."""
        recent = []
        for address, neighbor in self._neighbors.items():
            if now - neighbor.last_received < RECENT_SECONDS:
                recent.append(Member(address, neighbor.failure_domain))
        if len(recent) <= MAX_MEMBERS_PER_MESSAGE:
            return tuple(recent)
        start = self._next_member % len(recent)
        self._next_member += MAX_MEMBERS_PER_MESSAGE
        return tuple((recent + recent)[start : start + MAX_MEMBERS_PER_MESSAGE])
