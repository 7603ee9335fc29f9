"""Leases recorded in the log: who may give orders, and with which number.

The fold reads nothing but the records and the times that the log service
stamped on them, so every reader names the same holder. The offset of the
record that took a lease is its fencing number.
"""

from dataclasses import dataclass, field
from typing import Any

from figstep.core.clock import Millis
from figstep.core.records import LogRecord

TERM = Millis(10_000)
MARGIN = Millis(1_000)


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """A record of the lease stream.

    Attributes:
        lease: Name of the lease.
        holder: Node that wants it.
        session: Tells two runs of a node apart.
        record: Id of this record, to find it again after a lost answer.
        term: How long it lasts, in milliseconds.
        release: Whether the holder gives it up.
    """

    lease: str
    holder: str
    session: str
    record: str
    term: Millis = TERM
    release: bool = False

    def to_json(self) -> dict[str, Any]:
        """Return the record as a JSON object."""
        return {
            "lease": self.lease,
            "holder": self.holder,
            "session": self.session,
            "record": self.record,
            "term": self.term,
            "release": self.release,
        }


def parse_lease_record(data: dict[str, Any]) -> LeaseRecord | None:
    """Return the record, or None where it is not one of a lease."""
    try:
        return LeaseRecord(
            lease=str(data["lease"]),
            holder=str(data["holder"]),
            session=str(data["session"]),
            record=str(data["record"]),
            term=Millis(int(data["term"])),
            release=bool(data.get("release", False)),
        )
    except (KeyError, TypeError, ValueError):
        return None


@dataclass(slots=True)
class Lease:
    """A lease as the log tells it.

    Attributes:
        holder: Node that holds it.
        session: Run of that node.
        fencing: Offset of the record that took it.
        time: Log time of the last renewal, in milliseconds since the epoch.
        term: How long it lasts from there, in milliseconds.
        released: Whether the holder gave it up.
        last_read: When this node read the last renewal (monotonic).
    """

    holder: str
    session: str
    fencing: int
    time: int
    term: Millis
    released: bool
    last_read: Millis


@dataclass(slots=True)
class Holding:
    """This node's own hold on a lease.

    Attributes:
        fencing: Number for its orders.
        acquired: When the record that took it was appended (monotonic).
        until: When this node stops acting on it (monotonic).
    """

    fencing: int
    acquired: Millis
    until: Millis


@dataclass(frozen=True, slots=True)
class PendingAppend:
    """A record of this node's that was not read back yet.

    Attributes:
        lease: Lease that it takes or renews.
        at: When it was appended (monotonic).
    """

    lease: str
    at: Millis


@dataclass(slots=True)
class LeaseTable:
    """All leases, and what this node holds of them.

    Attributes:
        session: This run of this node.
        leases: Leases by name, as folded.
        holdings: This node's holds, by lease.
        pending: This node's open records that take or renew a lease, by id.
        next_record: Number of this node's next record.
    """

    session: str = ""
    leases: dict[str, Lease] = field(default_factory=dict)
    holdings: dict[str, Holding] = field(default_factory=dict)
    pending: dict[str, PendingAppend] = field(default_factory=dict)
    next_record: int = 1


def fold_lease(
    leases: dict[str, Lease], record: LeaseRecord, position: LogRecord, now: Millis
) -> bool:
    """Apply a record to the leases; tell whether it took effect."""
    current = leases.get(record.lease)
    if current is not None and _is_held(current, position.time):
        is_own = (current.holder, current.session) == (record.holder, record.session)
        if not is_own:
            return False
        # The log's clock may step back; a lease then lasts longer, never less.
        current.time = max(current.time, position.time)
        current.term = record.term
        current.released = record.release
        current.last_read = now
        return True
    if record.release:
        return False
    leases[record.lease] = Lease(
        holder=record.holder,
        session=record.session,
        fencing=position.offset,
        time=position.time,
        term=record.term,
        released=False,
        last_read=now,
    )
    return True


def _is_held(lease: Lease, time: int) -> bool:
    return not lease.released and time < lease.time + lease.term


def request_lease(
    table: LeaseTable, lease: str, node: str, now: Millis, release: bool = False
) -> LeaseRecord:
    """Return the record that takes, renews or releases a lease for ``node``.

    Its time is noted before the append: a holder that was paused between the
    append and its answer would otherwise count a term that has passed already.
    """
    name = f"{node}.{table.session}.{table.next_record}"
    table.next_record += 1
    if release:
        table.holdings.pop(lease, None)
        _discard_pending(table, lease)
    else:
        table.pending[name] = PendingAppend(lease, now)
    return LeaseRecord(lease, node, table.session, name, release=release)


def _discard_pending(table: LeaseTable, lease: str) -> None:
    # A renewal that went out before the release and is read back after it would
    # make this node hold the lease anew, while the log has let another take it.
    for name, pending in list(table.pending.items()):
        if pending.lease == lease:
            del table.pending[name]


def apply_record(
    table: LeaseTable, node: str, position: LogRecord, now: Millis
) -> None:
    """Fold a record that was read, and update this node's own hold."""
    record = parse_lease_record(position.data)
    if record is None:
        return
    effective = fold_lease(table.leases, record, position, now)
    is_own = (record.holder, record.session) == (node, table.session)
    if not is_own:
        if effective:
            table.holdings.pop(record.lease, None)
        return
    pending = table.pending.pop(record.record, None)
    if not effective or pending is None or record.release:
        return
    fencing = table.leases[record.lease].fencing
    previous = table.holdings.get(record.lease)
    is_new = previous is None or previous.fencing != fencing
    table.holdings[record.lease] = Holding(
        fencing=fencing,
        acquired=pending.at if is_new or previous is None else previous.acquired,
        until=Millis(pending.at + record.term - MARGIN),
    )


def find_holding(table: LeaseTable, lease: str, now: Millis) -> Holding | None:
    """Return this node's hold on a lease if it may still act on it."""
    holding = table.holdings.get(lease)
    if holding is None or now >= holding.until:
        return None
    return holding


def is_free(table: LeaseTable, lease: str, now: Millis) -> bool:
    """Tell whether a lease looks free from here.

    A renewal is read after it was written, so counting the term from then is
    late, never early.
    """
    current = table.leases.get(lease)
    if current is None or current.released:
        return True
    return now >= current.last_read + current.term
