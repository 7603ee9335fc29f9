"""What entries tell each other, and the table of entries."""

import zlib
from dataclasses import dataclass, field
from enum import Enum

from figstep.core.clock import Millis


class MemberStatus(Enum):
    """State of an entry; at the same incarnation the later one wins."""

    ALIVE = 0
    SUSPECT = 1  # no acknowledgement; may still refute it
    LEAVING = 2
    GONE = 3


@dataclass(frozen=True, slots=True)
class MemberNews:
    """What is known of an entry."""

    name: str
    address: str
    incarnation: int
    status: MemberStatus


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """A target takes no new work in this incarnation."""

    target: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class TargetCount:
    """Attempts that the sender runs on a target, named by its hash."""

    target: int
    count: int


@dataclass(frozen=True, slots=True)
class QuarantineMark:
    """A digest that is refused for ``remaining`` more milliseconds."""

    digest: str
    remaining: Millis


@dataclass(frozen=True, slots=True)
class Gossip:
    """One datagram between entries.

    Attributes:
        sender: Name of the sending entry.
        address: Where it listens, as "host:port".
        incarnation: Grows each time the sender starts or refutes a suspicion.
        sequence: Grows with each message of a process.
        wants_answer: Whether the receiver acknowledges it.
        leaving: Whether the sender is shutting down.
        accepted: Offset of its document in force; -1 for none.
        position: Last offset of the configuration stream that it folded.
        members: News of other entries.
        marks: Leaving targets.
        counts: Its attempts by target.
        counts_whole: Whether ``counts`` holds every target in use.
        quarantined: Digests that are refused.
    """

    sender: str
    address: str
    incarnation: int
    sequence: int
    wants_answer: bool = True
    leaving: bool = False
    accepted: int = -1
    position: int = -1
    members: tuple[MemberNews, ...] = ()
    marks: tuple[LeavingMark, ...] = ()
    counts: tuple[TargetCount, ...] = ()
    counts_whole: bool = True
    quarantined: tuple[QuarantineMark, ...] = ()


@dataclass(slots=True)
class Member:
    """Another entry.

    Attributes:
        name: Its name.
        address: Where it listens for peers.
        incarnation: Highest incarnation seen.
        status: What is known of it.
        status_changed_at: When ``status`` last changed.
        sequence: Highest sequence seen of this incarnation.
        unacknowledged_since: When the oldest unacknowledged message went out, or None.
        accepted: Offset of its document in force.
        position: Last offset that it folded.
        counts: Its attempts by hash of the target.
        counts_received_at: When ``counts`` was last heard, or None.
        sends_left: How often news of it is still spread.
    """

    name: str
    address: str
    incarnation: int
    status: MemberStatus
    status_changed_at: Millis
    sequence: int = -1
    unacknowledged_since: Millis | None = None
    accepted: int = -1
    position: int = -1
    counts: dict[int, int] = field(default_factory=dict)
    counts_received_at: Millis | None = None
    sends_left: int = 0

    @property
    def reachable(self) -> bool:
        """Whether messages are worth sending there."""
        return self.status is not MemberStatus.GONE


@dataclass(slots=True)
class MarkState:
    """A leaving mark that is spread.

    Attributes:
        incarnation: Incarnation that leaves.
        sends_left: How often it is still spread ahead of the rest.
    """

    incarnation: int
    sends_left: int


@dataclass(slots=True)
class Membership:
    """What an entry knows of the others.

    Attributes:
        address: Where this entry listens for peers; "" before it does.
        incarnation: Of this entry.
        start: Addresses from the settings.
        seeds: Addresses from the settings and the instance list, to join by.
        members: Other entries by name.
        marks: Leaving targets by name.
        unvisited: Names still to be sent to in this round, shuffled.
        sequence: Of the last message sent.
        allowance: Messages that may go out at once, besides the periodic ones.
        refilled: When ``allowance`` was last refilled.
        fetch_at: When a peer's document is fetched, or None.
        counts_cursor: Where the next window of ``counts`` starts.
        marks_cursor: Where the next window of old marks starts.
        quarantine_cursor: Where the next window of digests starts.
    """

    address: str = ""
    incarnation: int = 0
    start: frozenset[str] = frozenset()
    seeds: set[str] = field(default_factory=set)
    members: dict[str, Member] = field(default_factory=dict)
    marks: dict[str, MarkState] = field(default_factory=dict)
    unvisited: list[str] = field(default_factory=list)
    sequence: int = 0
    allowance: float = 0.0
    refilled: Millis = Millis(0)
    fetch_at: Millis | None = None
    counts_cursor: int = 0
    marks_cursor: int = 0
    quarantine_cursor: int = 0


def hash_target(name: str) -> int:
    """Return the 32 bits that stand for a target in counts.

    A collision among some hundred names adds one target's count to another's:
    a wrong hint to the load policy and nothing worse.
    """
    return zlib.crc32(name.encode())
