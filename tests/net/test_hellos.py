"""Tests of the codec of messages and record copies between gateways."""

import math
from contextlib import suppress
from dataclasses import replace

import pytest

from figstep.core.clock import Millis
from figstep.core.crashes import Clearance, Suspicion
from figstep.core.positions import Position
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
from figstep.gateway.refusals import Refusal
from figstep.gateway.starts import StreamStart
from figstep.gateway.targets import Incarnation
from figstep.net.hellos import (
    MAX_COPY_BYTES,
    Hello,
    RecordCopy,
    decode_copy,
    decode_hello,
    encode_copy,
    encode_hello,
)
from figstep.net.links import MAX_DATAGRAM_BYTES
from figstep.net.neighbors import Member

OWN = PeerHeard(
    "entry-1",
    (
        PeerLoad("e-1", 2, 8_000, 3_000, 7.5, 4_000, 3_500),
        PeerLoad("e-2", 0, 0),
    ),
    (UseReport("engines", 10, 2),),
    suspicions=(Suspicion("digest", "e-1@1", Millis(250)),),
    clearances=(Clearance("other", Millis(40)),),
    closing=True,
    configuration=7,
    position=Position(4, 31),
    reading=True,
    answered=False,
    leaving=(Incarnation("e-2", 1_783_672_261_103),),
    partial=True,
    refused=(Refusal("digest", Millis(900)),),
    rates=(
        RateReport(Incarnation("e-1", 1_783_672_261_103), 1.9, Millis(40), 2),
        RateReport(Incarnation("e-2", 0), 0.0, Millis(0)),
        RateReport(Incarnation("e-3", 1), None, Millis(2_900)),
    ),
    relays=("10.1.0.19:7201",),
    cut_off=True,
    cuts=(ServiceCut("bookings", ("10.1.0.19:7201",)), ServiceCut("engines")),
    brittle=(
        BrittlenessReport("bookings", 4.0, Millis(30)),
        BrittlenessReport("engines", None, Millis(0)),
    ),
    rejected=(RejectionReport("b-1", Millis(900)),),
    starts=(
        StreamStart(2**64 - 1, "v1"),
        StreamStart(7, "v1"),
        StreamStart(3, "v1.1"),
    ),
    past_versions=(PastVersion("engines", "v0", Millis(31_000)),),
    knows_versions=True,
    knows_answers=True,
    demand=(
        DemandReport(
            DemandClass("engines", 2, True), 3, 1, 2, 40, 38, 5, 22, Millis(320)
        ),
        DemandReport(DemandClass("engines", -1, False), 2**32 - 1),
    ),
    past_uses=(
        PastUse("entry-1", 2**64 - 1, (UseReport("engines", 9, 4),), Millis(700)),
        PastUse("entry-2", 7, (), Millis(0)),
    ),
)


def test_messages_round_trip() -> None:
    records = (("i-1", b"\x00beat"), ("i-2", b""))
    members = (Member("10.0.0.2:7200", "muc-b"),)
    sent = Hello(OWN, 5, 6, members, records)
    data = encode_hello(sent)
    hello = decode_hello(data, "10.0.0.1:7200")
    assert (hello.session, hello.sequence) == (5, 6)
    assert hello.members == members
    assert hello.content.loads == OWN.loads
    assert hello.content.uses == OWN.uses
    assert hello.content.suspicions == OWN.suspicions
    assert hello.content.clearances == OWN.clearances
    assert hello.content.closing
    assert (hello.content.configuration, hello.content.position) == (7, Position(4, 31))
    assert hello.content.address == "10.0.0.1:7200"
    assert hello.records == records
    assert hello.content.reading
    assert not hello.content.answered
    assert hello.content.partial
    assert hello.content.refused == OWN.refused
    assert hello.content.leaving == OWN.leaving
    assert hello.content.rates == OWN.rates
    assert hello.content.relays == OWN.relays
    assert hello.content.cut_off
    assert hello.content.cuts == OWN.cuts
    assert hello.content.brittle == OWN.brittle
    assert hello.content.rejected == OWN.rejected
    assert hello.content.demand == OWN.demand
    assert hello.content.past_uses == OWN.past_uses
    assert hello.content.process == 5


def test_a_forwarded_message_keeps_the_address_of_its_author() -> None:
    """Guards against records requested from an entry that does not have them."""
    data = encode_hello(Hello(replace(OWN, address="10.0.0.9:7200")))
    assert decode_hello(data, "10.0.0.1:7200").content.address == "10.0.0.9:7200"


@pytest.mark.parametrize("data", [b"", b"\xff" * 40, b"GET / HTTP/1.1\r\n\r\n"])
def test_damaged_messages_are_refused(data: bytes) -> None:
    with pytest.raises(PeerMessageError):
        decode_hello(data, "10.0.0.1:7200")


@pytest.mark.parametrize(
    "address",
    [
        "nowhere",
        "host:1",
        "10.0.0.1:x",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:\u0663",
    ],
)
def test_a_message_that_names_no_address_of_an_entry_is_refused(address: str) -> None:
    """Guards against an address to which no message or request can be sent."""
    own = replace(OWN, address="10.0.0.2:7200", relays=())
    for hello in (
        Hello(replace(own, address=address)),
        Hello(replace(own, relays=(address,))),
        Hello(own, members=(Member(address, ""),)),
    ):
        with pytest.raises(PeerMessageError):
            decode_hello(encode_hello(hello), "10.0.0.1:7200")


@pytest.mark.parametrize("number", [-1.0, math.nan, math.inf, 1e308])
def test_a_message_with_a_number_without_measure_is_refused(number: float) -> None:
    """Guards against a rate of another entry that no request can be admitted with."""
    rate = RateReport(Incarnation("i-b1", 1), number, Millis(0))
    load = PeerLoad("i-e1", 1, 1, 0, number, 0, 0, None)
    for own in (replace(OWN, rates=(rate,)), replace(OWN, loads=(load,))):
        with pytest.raises(PeerMessageError):
            decode_hello(encode_hello(Hello(own)), "10.0.0.1:7200")


def test_a_message_with_any_bit_flipped_is_read_or_refused() -> None:
    """Guards against a damaged message that fails in no way its reader knows."""
    sound = encode_hello(Hello(OWN, members=(Member("10.0.0.2:7200", "muc-b"),)))
    for bit in range(0, 8 * len(sound), 3):
        damaged = bytearray(sound)
        damaged[bit // 8] ^= 1 << bit % 8
        with suppress(PeerMessageError):
            decode_hello(bytes(damaged), "10.0.0.1:7200")


def test_a_message_about_hundreds_of_targets_is_read() -> None:
    """Guards against a bound of messages that refuses those of a large fleet."""
    loads = tuple(
        PeerLoad(f"i-engines-{number}", number, 34_000, 0, None, 0, 0, None)
        for number in range(1_000)
    )
    data = encode_hello(Hello(replace(OWN, loads=loads)))
    assert len(data) < MAX_DATAGRAM_BYTES
    assert decode_hello(data, "10.0.0.1:7200").content.loads == loads


def test_record_copies_round_trip() -> None:
    copy = RecordCopy(b"{}", Position(2, 9), (("i-1", b"\x00\xff"),))
    assert decode_copy(encode_copy(copy)) == copy


def test_a_copy_of_a_large_configuration_is_small() -> None:
    """Guards against copies that occupy a slow link for half a second each."""
    routes = b",".join(
        b'{"name":"r%d","host":"h%d.example","prefix":"/p%d/","type":"safe"}'
        % (number, number, number)
        for number in range(1_100)
    )
    copy = RecordCopy(routes, Position(2, 9))
    assert len(encode_copy(copy)) < len(routes) / 4
    assert decode_copy(encode_copy(copy)) == copy


def test_a_copy_that_decompresses_to_too_much_is_rejected() -> None:
    """Guards against a small message that fills the memory of an entry."""
    data = encode_copy(RecordCopy(b"x" * MAX_COPY_BYTES, Position(2, 1)))
    assert len(data) < MAX_COPY_BYTES / 4
    with pytest.raises(PeerMessageError):
        decode_copy(data)
