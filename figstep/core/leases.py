"""Leases recorded in the log: which node may send orders, and its fencing number.

The fold uses only the records and the times that the log service assigned to
them, so all readers agree on the holder. The era and the offset of the record that
acquired a lease make up the lease's fencing number, which so grows also when the log
comes back from an older copy and gives out offsets again.
"""

from dataclasses import dataclass, field
from typing import Any

from figstep.core.clock import Millis
from figstep.core.records import LogRecord

TERM = Millis(10_000)
"""Time for which an acquisition or renewal makes a lease last, in milliseconds."""
MARGIN = Millis(1_000)
"""Time before the end of the term at which a holder stops acting, in milliseconds."""
ERA_BITS = 40
"""Number of lower bits of a fencing number that hold the offset; the others hold the
era."""


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Record of the lease stream.

    Attributes:
        holder: Name of the node that acquires, renews or releases the lease.
        session: Identifier that distinguishes the runs of a node.
        record: Id of this record, by which the node recognizes it when it is read
            back, also if the append went unanswered.
        term: Time for which the lease lasts, in milliseconds.
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
    """Parse a record of the lease stream; return None if it is malformed."""
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
    """State of a lease, as folded from the log.

    Attributes:
        holder: Name of the node that acquired the lease last. It no longer holds the
            lease if the lease is released or its term is over.
        fencing: Fencing number, from the record that acquired the lease.
        time: Latest time of the records by which the holder acquired, renewed or
            released the lease, in milliseconds since the epoch by the log's clock.
        term: Time for which the lease lasts from ``time`` on, in milliseconds.
        last_read: Time at which this node read the last of these records, in
            monotonic milliseconds.
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
    """Lease that this node holds, or held until ``until``.

    Attributes:
        fencing: Fencing number that the node's orders carry.
        acquired: Time just before the append of the record that acquired the lease,
            in monotonic milliseconds.
        until: Time at which this node stops acting on the lease, in monotonic
            milliseconds.
    """

    fencing: int
    acquired: Millis
    until: Millis


@dataclass(frozen=True, slots=True)
class PendingAppend:
    """Record that this node appended and has not read back yet.

    Attributes:
        lease: Name of the lease that the record acquires or renews.
        at: Time just before the append, in monotonic milliseconds.
    """

    lease: str
    at: Millis


@dataclass(slots=True)
class LeaseTable:
    """All leases known from the log, and the holdings of this node.

    Attributes:
        session: Identifier of the current run of this node.
        leases: Leases by name, as folded from the log.
        holdings: Leases that this node holds, by name. They may have expired; read
            them with ``find_holding``.
        pending: Records of this node that acquire or renew a lease and are not read
            back yet, by id of the record.
    """

    session: str = ""
    leases: dict[str, Lease] = field(default_factory=dict)
    holdings: dict[str, Holding] = field(default_factory=dict)
    pending: dict[str, PendingAppend] = field(default_factory=dict)
    next_record: int = 1


def fold_lease(
    leases: dict[str, Lease], record: LeaseRecord, position: LogRecord, now: Millis
) -> bool:
    """Apply a record to the leases.

    Args:
        leases: Leases by name, changed in place.
        record: The parsed record.
        position: Record as read, with the offset and time that the log assigned.
        now: Time of the reading, in monotonic milliseconds.

    Returns:
        Whether the record took effect; it does not if another holder or session has
        the lease, or if it releases a lease that nobody holds.
    """
    current = leases.get(record.lease)
    if current is not None and _is_held(current, position.time):
        is_own = (current.holder, current.session) == (record.holder, record.session)
        if not is_own:
            return False
        # If the log's clock steps back, the lease lasts longer, never shorter.
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
        fencing=position.era << ERA_BITS | position.offset,
        time=position.time,
        term=record.term,
        released=False,
        last_read=now,
    )
    return True


def _is_held(lease: Lease, time: int) -> bool:
    return not lease.released and time < lease.time + lease.term


def forget_leases(table: LeaseTable) -> None:
    """Forget all leases and holdings, as the log came back from an older copy.

    Another node may acquire a lease whose record the copy lacks, so this node acquires
    it anew before it acts on it.
    """
    table.leases.clear()
    table.holdings.clear()
    table.pending.clear()


def request_lease(
    table: LeaseTable, lease: str, node: str, now: Millis, release: bool = False
) -> LeaseRecord:
    """Return the record that acquires, renews or releases a lease for ``node``.

    The term is counted from ``now``, before the append. If it were counted from
    the answer, a holder that was paused in between would act on a lease that has
    expired.

    Args:
        table: Table of leases; the record is added to the pending appends, or, for
            a release, the holding and the pending appends are removed.
        lease: Name of the lease.
        node: Name of this node.
        now: Monotonic time, in milliseconds.
        release: Whether the lease is released.
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
    # A renewal that was appended before the release and read back after it would
    # make this node hold the lease again while another node may have acquired it.
    for name, pending in list(table.pending.items()):
        if pending.lease == lease:
            del table.pending[name]


def apply_record(
    table: LeaseTable, node: str, position: LogRecord, now: Millis
) -> None:
    """Fold a record read from the lease stream and update this node's holdings.

    Malformed records are ignored. ``now`` is the time of the reading, in monotonic
    milliseconds.
    """
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
    """Return this node's holding of a lease; None if it may not act on the lease."""
    holding = table.holdings.get(lease)
    if holding is None or now >= holding.until:
        return None
    return holding


def is_free(table: LeaseTable, lease: str, now: Millis) -> bool:
    """Return whether a lease is free as far as this node knows.

    A record is read after it was written, so a term counted from the reading ends
    after the lease does, never before.
    """
    current = table.leases.get(lease)
    if current is None or current.released:
        return True
    return now >= current.last_read + current.term
