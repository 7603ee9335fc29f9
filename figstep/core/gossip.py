"""Messages that entries exchange with each other, and the member table."""

import zlib
from dataclasses import dataclass, field
from enum import Enum

from figstep.core.clock import Millis


class MemberStatus(Enum):
    """State of an entry; within one incarnation the highest value wins."""

    ALIVE = 0
    SUSPECT = 1  # did not acknowledge a message; may still refute the suspicion
    LEAVING = 2  # announced that it is shutting down; still gets messages
    GONE = 3  # did not refute, or fell silent while leaving; gets no messages


@dataclass(frozen=True, slots=True)
class MemberNews:
    """State of one entry, as a peer reports it.

    Attributes:
        address: Address where the entry listens for peers, as "host:port".
        incarnation: Incarnation of the entry that the status applies to.
    """

    name: str
    address: str
    incarnation: int
    status: MemberStatus


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """Statement that a target takes no new work in the given incarnation."""

    target: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class TargetCount:
    """Number of attempts that the sender of a message runs on one target.

    Attributes:
        target: 32-bit hash of the target's name, see ``hash_target``.
        count: Number of attempts in progress, at most 65535.
    """

    target: int
    count: int


@dataclass(frozen=True, slots=True)
class QuarantineMark:
    """Digest of quarantined requests, refused for ``remaining`` more milliseconds."""

    digest: str
    remaining: Millis


@dataclass(frozen=True, slots=True)
class Gossip:
    """Content of one datagram between entries.

    Attributes:
        sender: Name of the sending entry.
        address: Address where the sender listens for peers, as "host:port".
        incarnation: Number that grows each time the sender starts or refutes that it
            is suspected or gone.
        sequence: Number that grows with each message of the sending process.
        wants_answer: Whether the receiver should acknowledge the message.
        leaving: Whether the sender is shutting down.
        accepted: Offset of the sender's document in force; -1 for none.
        position: Last offset of the configuration stream that the sender folded; -1
            for none.
        era: Era of the log in which these are offsets; 0 if the sender names none.
        counts: Attempts in progress at the sender, by target.
        counts_whole: Whether ``counts`` covers every target on which the sender runs
            attempts. If not, the receiver updates the counts that it has.
    """

    sender: str
    address: str
    incarnation: int
    sequence: int
    wants_answer: bool = True
    leaving: bool = False
    accepted: int = -1
    position: int = -1
    era: int = 0
    members: tuple[MemberNews, ...] = ()
    marks: tuple[LeavingMark, ...] = ()
    counts: tuple[TargetCount, ...] = ()
    counts_whole: bool = True
    quarantined: tuple[QuarantineMark, ...] = ()


@dataclass(slots=True)
class Member:
    """Row of the member table: another entry and its last known state.

    All times are monotonic milliseconds of this entry.

    Attributes:
        address: Address where the entry listens for peers, as "host:port".
        incarnation: Highest known incarnation.
        status_changed_at: Time at which ``status`` last changed.
        sequence: Highest sequence number received of this incarnation; -1 for none.
        unacknowledged_since: Time at which the oldest unacknowledged periodic
            message was sent; None if there is none.
        accepted: Offset of the entry's document in force; -1 for none.
        position: Last offset of the configuration stream that the entry folded; -1
            for none.
        era: Era of the log in which these are offsets.
        counts: Attempts in progress at the entry, by hash of the target.
        counts_received_at: Time of the last message, each of which carries counts;
            None before the first.
        sends_left: Number of messages that still carry news of the entry ahead of
            other content.
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
    era: int = 0
    counts: dict[int, int] = field(default_factory=dict)
    counts_received_at: Millis | None = None
    sends_left: int = 0

    @property
    def reachable(self) -> bool:
        """Whether the entry may get messages, which it does until it is gone."""
        return self.status is not MemberStatus.GONE


@dataclass(slots=True)
class MarkState:
    """Leaving mark of a target and the progress of its propagation.

    Attributes:
        incarnation: Incarnation of the target that is leaving.
        sends_left: Number of messages that still carry the mark ahead of other
            content.
    """

    incarnation: int
    sends_left: int


@dataclass(slots=True)
class Membership:
    """Membership state of this entry.

    All times are monotonic milliseconds of this entry.

    Attributes:
        address: Address where this entry listens for peers, as "host:port"; "" while
            it does not listen.
        start: Addresses of peers from the settings.
        seeds: Addresses from the settings and the instance list. Those that no
            reachable entry has get messages, to join or rejoin their entries.
        members: Other entries by name.
        marks: Leaving marks by name of the target.
        unvisited: Names of the entries still to be sent to in this round, shuffled.
        sequence: Sequence number of the last message sent.
        allowance: Urgent messages that may be sent now (a token bucket).
        refilled: Time at which ``allowance`` was last refilled.
        fetch_at: Time at which a document is to be fetched from a peer; None if no
            fetch is pending.
        counts_cursor: Index at which the next window of attempt counts starts.
        marks_cursor: Index at which the next window of older marks starts.
        quarantine_cursor: Index at which the next window of digests starts.
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
    """Return the 32-bit hash that stands for a target's name in attempt counts.

    A collision, unlikely among some hundred names, adds the count of one target to
    another. The only effect is a wrong estimate for the load policy.
    """
    return zlib.crc32(name.encode())
