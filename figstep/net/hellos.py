"""Codec of the messages and copies of records that entries exchange."""

import ipaddress
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from figstep.core.clock import Millis
from figstep.core.crashes import Clearance, Suspicion
from figstep.core.positions import NO_POSITION, Position
from figstep.errors import PeerMessageError
from figstep.gateway.budgets import PastUse, UseReport
from figstep.gateway.demand import DemandClass, DemandReport
from figstep.gateway.events import (
    BrittlenessReport,
    PastVersion,
    PeerHeard,
    PeerLoad,
    RateReport,
    RejectionReport,
    ServiceCut,
)
from figstep.gateway.places import Evacuations
from figstep.gateway.refusals import Refusal
from figstep.gateway.starts import ServiceVersion, StreamStart
from figstep.gateway.targets import Incarnation
from figstep.net.neighbors import Member

_schema: Any = capnp.load(str(Path(__file__).with_name("links.capnp")))

MAX_COPY_BYTES = 8 * 1024 * 1024
"""Maximum size of a copy of records that is accepted, in bytes.

The limit applies before and after decompression and unpacking. The records of
thousands of routes and targets take a few MB.
"""

MAX_MESSAGE_WORDS = 65_536
"""Largest size of an unpacked message, in words of 8 bytes.

A packed message holds a run of up to 256 empty words in 2 bytes.
"""

MAX_COPY_WORDS = MAX_COPY_BYTES // 8
"""Largest size of an unpacked copy of records, in words of 8 bytes."""

MAX_PORT = 65_535
"""Largest number of a port."""

MAX_NUMBER = 1e12
"""Largest number with a fraction in a message, in its unit."""

COPY_COMPRESSION_LEVEL = 1
"""zlib compression level of record copies.

The fastest level is enough: the records are text that repeats its field names.
"""


@dataclass(frozen=True, slots=True)
class RecordCopy:
    """Records that an entry has read from the store, in their stored form.

    Attributes:
        configuration: The newest configuration; empty for none.
        position: Position up to which registrations were read.
        registrations: Key and value of the newest registration of each target.
    """

    configuration: bytes = b""
    position: Position = NO_POSITION
    registrations: tuple[tuple[str, bytes], ...] = ()


@dataclass(frozen=True, slots=True)
class Hello:
    """A message between entries.

    Attributes:
        content: Content that the gateway handles. Its address is that of the entry
            that wrote the message, even if another entry forwarded the message.
        session: Random number drawn by each process of the sender.
        sequence: Number that grows with each message of a session.
        members: Other entries from which the sender recently received messages.
        records: Registrations that the sender read last, as pairs of key and stored
            value; the last one is the record before the position in ``content``.
        requests_failure_domain: Whether the sender doesn't know the receiver's failure
            domain yet.
    """

    content: PeerHeard
    session: int = 0
    sequence: int = 0
    members: tuple[Member, ...] = ()
    records: tuple[tuple[str, bytes], ...] = ()
    requests_failure_domain: bool = False


def encode_hello(hello: Hello) -> bytes:
    """Return the datagram of a message."""
    own = hello.content
    message = _schema.Hello.new_message(
        node=own.node,
        session=hello.session,
        sequence=hello.sequence,
        closing=own.closing,
        configuration=own.configuration,
        position=own.position.offset,
        era=own.position.era,
        failureDomain=own.failure_domain,
        entries=own.entries,
        far=own.far,
        storeWell=own.receives_records,
        unanswered=not own.answered,
        asksDomain=hello.requests_failure_domain,
        address=own.address,
        reading=own.reading,
        partial=own.partial,
        evacuated=sorted(own.evacuations.domains),
        evacuatedAt=own.evacuations.position.offset,
        evacuatedEra=own.evacuations.position.era,
        unreached=list(own.unreached),
        relays=list(own.relays),
        cutOff=own.cut_off,
        knowsVersions=own.knows_versions,
        retired35=own.knows_versions,
        knowsAnswers=own.knows_answers,
    )
    if own.held_evacuations:
        # Only the answer to an entry that has just started holds any.
        message.heldEvacuations = list(own.held_evacuations)
    if own.cuts:
        cuts = message.init("cuts", len(own.cuts))
        for slot, cut in zip(cuts, own.cuts, strict=True):
            slot.service, slot.relays = cut.service, list(cut.relays)
    refused = message.init("refused", len(own.refused))
    for slot, refusal in zip(refused, own.refused, strict=True):
        slot.digest, slot.age = refusal.digest, refusal.age
    members = message.init("members", len(hello.members))
    for slot, member in zip(members, hello.members, strict=True):
        slot.address, slot.failureDomain = member.address, member.failure_domain
    records = message.init("records", len(hello.records))
    for slot, (key, value) in zip(records, hello.records, strict=True):
        slot.key, slot.value = key, value
    loads = message.init("loads", len(own.loads))
    for slot, load in zip(loads, own.loads, strict=True):
        slot.target, slot.calls, slot.memory = load.target, load.calls, load.memory
        slot.reading, slot.readRate = load.reading, load.read_rate or 0.0
        slot.incoming, slot.outgoing = load.incoming, load.outgoing
        slot.pace = load.pace or 0.0
    _write_uses(message.init("uses", len(own.uses)), own.uses)
    if own.past_uses:
        _write_past_uses(message.init("pastUses", len(own.past_uses)), own.past_uses)
    leaving = message.init("leaving", len(own.leaving))
    for slot, incarnation in zip(leaving, own.leaving, strict=True):
        slot.target, slot.born = incarnation.target, incarnation.born
    rates = message.init("rates", len(own.rates))
    for slot, report in zip(rates, own.rates, strict=True):
        slot.target = report.incarnation.target
        slot.born, slot.age = report.incarnation.born, report.age
        slot.named, slot.rate = report.rate is not None, report.rate or 0.0
        slot.turn = report.turn
    brittle = message.init("brittle", len(own.brittle))
    for slot, brittleness in zip(brittle, own.brittle, strict=True):
        slot.service, slot.age = brittleness.service, brittleness.age
        slot.named = brittleness.rejections is not None
        slot.rejections = brittleness.rejections or 0.0
    rejected = message.init("rejected", len(own.rejected))
    for slot, rejection in zip(rejected, own.rejected, strict=True):
        slot.target, slot.age = rejection.target, rejection.age
    suspicions = message.init("crashes", len(own.suspicions))
    for slot, suspicion in zip(suspicions, own.suspicions, strict=True):
        slot.digest, slot.crash = suspicion.subject, suspicion.life
        slot.age = suspicion.age
    clearances = message.init("cleared", len(own.clearances))
    for slot, clearance in zip(clearances, own.clearances, strict=True):
        slot.digest, slot.age = clearance.subject, clearance.age
    groups = _group_starts(own.starts)
    starts = message.init("starts", len(groups))
    for slot, (version, streams) in zip(starts, groups.items(), strict=True):
        slot.version, slot.streams = version, streams
    past_versions = message.init("pastVersions", len(own.past_versions))
    for slot, past in zip(past_versions, own.past_versions, strict=True):
        slot.service, slot.version, slot.age = past.service, past.version, past.age
    if own.recorded:
        recorded = message.init("recordedVersions", len(own.recorded))
        for slot, known in zip(recorded, own.recorded, strict=True):
            slot.service, slot.version = known.service, known.version
    if own.demand:
        _write_demand(message.init("demand", len(own.demand)), own.demand)
    return bytes(message.to_bytes_packed())


def _write_uses(slots: Any, uses: tuple[UseReport, ...]) -> None:
    for slot, use in zip(slots, uses, strict=True):
        slot.service, slot.requests, slot.repeats = (
            use.service,
            use.requests,
            use.repeats,
        )


def _read_uses(uses: Any) -> tuple[UseReport, ...]:
    return tuple(UseReport(str(use.service), use.requests, use.repeats) for use in uses)


def _write_past_uses(slots: Any, past_uses: tuple[PastUse, ...]) -> None:
    for slot, past in zip(slots, past_uses, strict=True):
        slot.node, slot.process, slot.age = past.node, past.process, past.age
        _write_uses(slot.init("uses", len(past.uses)), past.uses)


def _write_demand(slots: Any, demand: tuple[DemandReport, ...]) -> None:
    for slot, report in zip(slots, demand, strict=True):
        known = report.demand_class
        slot.service, slot.priority, slot.long = (
            known.service,
            known.priority,
            known.long,
        )
        slot.waiting, slot.late = report.waiting, report.late
        slot.returning, slot.started = report.returning, report.started
        slot.ended, slot.rejected = report.ended, report.rejected
        slot.entries, slot.age = report.entries, report.age


def _group_starts(starts: tuple[StreamStart, ...]) -> dict[str, list[int]]:
    """Return the streams of some starts by version, which is sent once for all."""
    groups: dict[str, list[int]] = {}
    for start in starts:
        groups.setdefault(start.version, []).append(start.stream)
    return groups


def decode_hello(data: bytes, sender: str) -> Hello:
    """Return the message of a datagram.

    ``sender`` is the source address, as "ip:port". It is used if the message holds no
    address of the entry that wrote it.

    Raises:
        PeerMessageError: If the datagram cannot be decoded, or names an entry by
            anything but an IP address and a port.
    """
    try:
        message = _schema.Hello.from_bytes_packed(data, MAX_MESSAGE_WORDS)
        loads = tuple(
            PeerLoad(
                load.target,
                load.calls,
                load.memory,
                load.reading,
                load.readRate or None,
                load.incoming,
                load.outgoing,
                load.pace or None,
            )
            for load in message.loads
        )
        uses = _read_uses(message.uses)
        content = PeerHeard(
            message.node,
            loads,
            uses,
            suspicions=tuple(
                Suspicion(str(item.digest), str(item.crash), Millis(item.age))
                for item in message.crashes
            ),
            clearances=tuple(
                Clearance(str(item.digest), Millis(item.age))
                for item in message.cleared
            ),
            closing=message.closing,
            address=str(message.address) or sender,
            configuration=message.configuration,
            position=Position(message.era, message.position),
            failure_domain=message.failureDomain,
            entries=message.entries,
            far=message.far,
            receives_records=message.storeWell,
            answered=not message.unanswered,
            reading=message.reading,
            leaving=tuple(
                Incarnation(str(item.target), item.born) for item in message.leaving
            ),
            partial=message.partial,
            refused=tuple(
                Refusal(str(item.digest), Millis(item.age)) for item in message.refused
            ),
            evacuations=Evacuations(
                frozenset(str(name) for name in message.evacuated),
                Position(message.evacuatedEra, message.evacuatedAt),
            ),
            held_evacuations=tuple(str(name) for name in message.heldEvacuations),
            unreached=tuple(str(name) for name in message.unreached),
            rates=tuple(
                RateReport(
                    Incarnation(str(item.target), item.born),
                    item.rate if item.named else None,
                    Millis(item.age),
                    item.turn,
                )
                for item in message.rates
            ),
            relays=tuple(str(address) for address in message.relays),
            cut_off=message.cutOff,
            cuts=tuple(
                ServiceCut(str(item.service), tuple(str(one) for one in item.relays))
                for item in message.cuts
            ),
            brittle=tuple(
                BrittlenessReport(
                    str(item.service),
                    item.rejections if item.named else None,
                    Millis(item.age),
                )
                for item in message.brittle
            ),
            rejected=tuple(
                RejectionReport(str(item.target), Millis(item.age))
                for item in message.rejected
            ),
            starts=tuple(
                StreamStart(stream, str(group.version))
                for group in message.starts
                for stream in group.streams
            ),
            past_versions=tuple(
                PastVersion(str(item.service), str(item.version), Millis(item.age))
                for item in message.pastVersions
            ),
            knows_versions=message.knowsVersions,
            recorded=tuple(
                ServiceVersion(str(item.service), str(item.version))
                for item in message.recordedVersions
            ),
            knows_answers=message.knowsAnswers,
            demand=tuple(
                DemandReport(
                    DemandClass(str(item.service), item.priority, item.long),
                    item.waiting,
                    item.late,
                    item.returning,
                    item.started,
                    item.ended,
                    item.rejected,
                    item.entries,
                    Millis(item.age),
                )
                for item in message.demand
            ),
            process=message.session,
            past_uses=tuple(
                PastUse(
                    str(item.node),
                    item.process,
                    _read_uses(item.uses),
                    Millis(item.age),
                )
                for item in message.pastUses
            ),
        )
        records = tuple(
            (str(entry.key), bytes(entry.value)) for entry in message.records
        )
        members = tuple(
            Member(str(member.address), str(member.failureDomain))
            for member in message.members
        )
    except (capnp.KjException, ValueError) as error:
        raise PeerMessageError(
            "malformed message; check which process sends to this port"
        ) from error
    _check_numbers(content)
    _check_addresses([content.address, *content.relays])
    _check_addresses(member.address for member in members)
    return Hello(
        content,
        message.session,
        message.sequence,
        members,
        records,
        message.asksDomain,
    )


def _check_numbers(content: PeerHeard) -> None:
    """Check that all numbers with a fraction are those that entries reckon with.

    Raises:
        PeerMessageError: If one is negative, not a number or too large.
    """
    numbers = [report.rate for report in content.rates]
    numbers += [report.rejections for report in content.brittle]
    for load in content.loads:
        numbers += load.read_rate, load.pace
    for number in numbers:
        if number is not None and not 0 <= number <= MAX_NUMBER:
            raise PeerMessageError(f"{number} is no number that an entry sends")


def _check_addresses(addresses: Iterable[str]) -> None:
    """Check that messages can be sent to some addresses of entries.

    Raises:
        PeerMessageError: If one is not "ip:port".
    """
    for address in addresses:
        host, _, port = address.rpartition(":")
        try:
            ipaddress.ip_address(host)
            is_port = port.isascii() and 0 < int(port) <= MAX_PORT
        except ValueError as error:
            raise PeerMessageError(f"{address[:40]!r} names no entry") from error
        if not is_port:
            raise PeerMessageError(f"{address[:40]!r} names no port of an entry")


def encode_copy(copy: RecordCopy) -> bytes:
    """Return a copy of records in its encoded and compressed form."""
    message = _schema.Copy.new_message(
        configuration=copy.configuration,
        position=copy.position.offset,
        era=copy.position.era,
    )
    entries = message.init("registrations", len(copy.registrations))
    for slot, (key, value) in zip(entries, copy.registrations, strict=True):
        slot.key, slot.value = key, value
    return zlib.compress(message.to_bytes_packed(), COPY_COMPRESSION_LEVEL)


def decode_copy(data: bytes | bytearray) -> RecordCopy:
    """Return the copy of records that a peer sent.

    Raises:
        PeerMessageError: If the data cannot be decoded, or exceeds
            ``MAX_COPY_BYTES`` after decompression.
    """
    try:
        message = _schema.Copy.from_bytes_packed(_decompress(data), MAX_COPY_WORDS)
        entries = tuple(
            (str(entry.key), bytes(entry.value)) for entry in message.registrations
        )
        position = Position(message.era, message.position)
        return RecordCopy(bytes(message.configuration), position, entries)
    except (capnp.KjException, ValueError, zlib.error) as error:
        raise PeerMessageError("malformed copy of records; try another peer") from error


def _decompress(data: bytes | bytearray) -> bytes:
    decoder = zlib.decompressobj()
    expanded = decoder.decompress(data, MAX_COPY_BYTES)
    if not decoder.eof:
        raise PeerMessageError(f"copy is truncated or exceeds {MAX_COPY_BYTES} bytes")
    return expanded
