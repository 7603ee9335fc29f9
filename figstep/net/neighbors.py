"""Addresses at which other entries listen, and what is known of each."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

FORGET_SECONDS = 30.0
"""How long an address that doesn't answer is still tried."""

RECENT_SECONDS = 3.0
"""How long an entry that was heard, or named by another one, counts as alive."""

MOST_MEMBERS_TOLD = 16
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
        known_since: When another entry last named it.
        heard: When it was last heard.
        session: Session of its newest message.
        sequence: Number of its newest message.
        failure_domain: Its failure domain; "" for unknown.
    """

    known_since: float
    heard: float = -1e9
    session: int = 0
    sequence: int = 0
    failure_domain: str = ""

    def is_recent(self, now: float) -> bool:
        """Tell whether it was heard or named of late."""
        return now - max(self.heard, self.known_since) < RECENT_SECONDS


class NeighborTable:
    """The addresses of all other entries that are known."""

    def __init__(self, own: str, failure_domain: str) -> None:
        self._own = own
        self._failure_domain = failure_domain
        self._known: dict[str, Neighbor] = {}
        self._told = 0

    def __len__(self) -> int:
        return len(self._known)

    def find(self, address: str) -> Neighbor | None:
        """Return what is known of an address, or None."""
        return self._known.get(address)

    def add(self, address: str, now: float) -> Neighbor:
        """Return what is known of an address; it is known from now on."""
        return self._known.setdefault(address, Neighbor(now))

    def note_members(self, members: Iterable[Member], now: float) -> None:
        """Take in entries that another one has heard of late."""
        for member in members:
            if member.address == self._own:
                continue
            known = self.add(member.address, now)
            known.known_since = now
            if not known.failure_domain:
                known.failure_domain = member.failure_domain

    def remove_expired(self, now: float) -> None:
        """Drop addresses that have been silent for long."""
        for address, neighbor in list(self._known.items()):
            newest = max(neighbor.heard, neighbor.known_since)
            if now - newest >= FORGET_SECONDS:
                del self._known[address]

    def list_all(self) -> list[str]:
        """Return all addresses."""
        return list(self._known)

    def list_near(self) -> list[str]:
        """Return the addresses in this entry's own failure domain."""
        return self._list_domain(self._failure_domain)

    def list_unknown(self) -> list[str]:
        """Return the addresses whose failure domain is not known."""
        return self._list_domain("")

    def _list_domain(self, failure_domain: str) -> list[str]:
        found = []
        for address, neighbor in self._known.items():
            if neighbor.failure_domain == failure_domain:
                found.append(address)
        return found

    def pick_far(self, now: float) -> list[str]:
        """Return the address of one entry of each other failure domain."""
        domains: dict[str, list[str]] = {}
        for address, neighbor in self._known.items():
            if neighbor.failure_domain not in ("", self._failure_domain):
                domains.setdefault(neighbor.failure_domain, []).append(address)
        picked = []
        for addresses in domains.values():
            alive = [name for name in addresses if self._known[name].is_recent(now)]
            # Silent ones are tried too where all are: a cut may have healed.
            picked.append(random.choice(alive or addresses))
        return picked

    def pick_members(self, now: float) -> tuple[Member, ...]:
        """Return entries that were heard of late, others each time."""
        recent = []
        for address, neighbor in self._known.items():
            if now - neighbor.heard < RECENT_SECONDS:
                recent.append(Member(address, neighbor.failure_domain))
        if len(recent) <= MOST_MEMBERS_TOLD:
            return tuple(recent)
        start = self._told % len(recent)
        self._told += MOST_MEMBERS_TOLD
        return tuple((recent + recent)[start : start + MOST_MEMBERS_TOLD])
