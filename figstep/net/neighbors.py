"""Addresses at which other entries listen, with the last known state of each."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

NEIGHBOR_EXPIRY_SECONDS = 30.0
"""Time after the last message or mention at which an address is removed, in seconds."""

RECENT_SECONDS = 3.0
"""Time for which an entry counts as alive after a message or a mention, in seconds.

A mention is a message of another entry that names the address. An address that was
just added counts as mentioned, whatever it was added from.
"""

MAX_MEMBERS_PER_MESSAGE = 16
"""Maximum number of addresses in a message.

Each message with addresses continues where the last one ended, so that all are sent
within some seconds.
"""

MAX_LOCAL_MEMBERS_PER_MESSAGE = 8
"""Maximum number of addresses in a message to another failure domain.

With a message every two seconds, forty entries are named twice within
``NEIGHBOR_EXPIRY_SECONDS``, so that a lost message does no harm. Each entry receives
such messages from all other failure domains.
"""


@dataclass(frozen=True, slots=True)
class Member:
    """An entry as it is named in messages.

    Attributes:
        address: Address at which the entry listens, as "ip:port".
        failure_domain: Failure domain of the entry; "" for unknown.
    """

    address: str
    failure_domain: str


@dataclass(slots=True)
class Neighbor:
    """An address at which another entry may listen. Times are monotonic seconds.

    Attributes:
        last_named: When another entry last named the address, or when it was added.
        last_received: When the last message was received from the address.
        session: Session of the newest message.
        sequence: Sequence number of the newest message.
        failure_domain: Failure domain of the entry; "" for unknown.
    """

    last_named: float
    last_received: float = -1e9
    session: int = 0
    sequence: int = 0
    failure_domain: str = ""

    def is_recent(self, now: float) -> bool:
        """Return whether a message or mention is newer than ``RECENT_SECONDS``."""
        return now - max(self.last_received, self.last_named) < RECENT_SECONDS


class NeighborTable:
    """Known addresses of all other entries."""

    def __init__(self, own: str, failure_domain: str) -> None:
        self._own = own
        self._failure_domain = failure_domain
        self._neighbors: dict[str, Neighbor] = {}
        self._next_member = 0
        self._next_local_member = 0

    def __len__(self) -> int:
        return len(self._neighbors)

    def find(self, address: str) -> Neighbor | None:
        """Return the state of an address, or None if it is unknown."""
        return self._neighbors.get(address)

    def add(self, address: str, now: float) -> Neighbor:
        """Return the state of an address, and add the address if it is unknown.

        Args:
            address: Address of the entry, as "ip:port".
            now: Monotonic time, in seconds.
        """
        return self._neighbors.setdefault(address, Neighbor(now))

    def record_members(self, members: Iterable[Member], now: float) -> None:
        """Record the entries that another entry named in a message."""
        for member in members:
            if member.address == self._own:
                continue
            known = self.add(member.address, now)
            known.last_named = now
            if not known.failure_domain:
                known.failure_domain = member.failure_domain

    def remove_expired(self, now: float) -> None:
        """Remove addresses without messages and mentions for the expiry time."""
        for address, neighbor in list(self._neighbors.items()):
            newest = max(neighbor.last_received, neighbor.last_named)
            if now - newest >= NEIGHBOR_EXPIRY_SECONDS:
                del self._neighbors[address]

    def has_host(self, host: str) -> bool:
        """Return whether an entry with an IP address is known."""
        return any(name.rpartition(":")[0] == host for name in self._neighbors)

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
        """Return the address of one random entry of each other failure domain.

        Entries that count as alive are preferred.
        """
        domains: dict[str, list[str]] = {}
        for address, neighbor in self._neighbors.items():
            if neighbor.failure_domain not in ("", self._failure_domain):
                domains.setdefault(neighbor.failure_domain, []).append(address)
        picked = []
        for addresses in domains.values():
            alive = [name for name in addresses if self._neighbors[name].is_recent(now)]
            # If all entries of a domain are silent, one of them is still tried: a
            # network partition may have ended.
            picked.append(random.choice(alive or addresses))
        return picked

    def pick_members(self, now: float) -> tuple[Member, ...]:
        """Return the next group of entries to name in a message.

        Only entries from which a message was received within ``RECENT_SECONDS`` are
        named; all of them if they are at most ``MAX_MEMBERS_PER_MESSAGE``.
        """
        recent = self._list_recent(now)
        first = self._next_member
        self._next_member += MAX_MEMBERS_PER_MESSAGE
        return _pick_group(recent, first, MAX_MEMBERS_PER_MESSAGE)

    def pick_local_members(self, now: float) -> tuple[Member, ...]:
        """Return the next entries of this failure domain to name to other ones.

        They are chosen as in `pick_members`, up to ``MAX_LOCAL_MEMBERS_PER_MESSAGE``.
        """
        recent = [
            member
            for member in self._list_recent(now)
            if member.failure_domain == self._failure_domain
        ]
        first = self._next_local_member
        self._next_local_member += MAX_LOCAL_MEMBERS_PER_MESSAGE
        return _pick_group(recent, first, MAX_LOCAL_MEMBERS_PER_MESSAGE)

    def _list_recent(self, now: float) -> list[Member]:
        recent = []
        for address, neighbor in self._neighbors.items():
            if now - neighbor.last_received < RECENT_SECONDS:
                recent.append(Member(address, neighbor.failure_domain))
        return recent


def _pick_group(members: list[Member], first: int, most: int) -> tuple[Member, ...]:
    """Return up to ``most`` members from the position ``first`` on, in a ring."""
    if len(members) <= most:
        return tuple(members)
    start = first % len(members)
    return tuple((members + members)[start : start + most])
