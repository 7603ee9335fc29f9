"""Tests of the links between gateways."""

import asyncio

import pytest

from figstep.errors import PeerMessageError
from figstep.gateway.budgets import UseReport
from figstep.gateway.events import PeerHeard, PeerLoad
from figstep.net.links import (
    PeerLink,
    RecordCopy,
    decode_copy,
    decode_hello,
    encode_copy,
    encode_hello,
)

OWN = PeerHeard(
    "entry-1",
    (PeerLoad("e-1", 2, 8_000, 3_000, 7.5, 1), PeerLoad("e-2", 0, 0)),
    (UseReport("engines", 10, 2),),
    (("digest", "e-1@1"),),
    closing=True,
    configuration=7,
    position=31,
)


def test_a_message_comes_back_as_it_was() -> None:
    data = encode_hello(OWN, 5, 6, ["10.0.0.2:7200"])
    hello = decode_hello(data, "10.0.0.1:7200")
    assert (hello.session, hello.sequence) == (5, 6)
    assert hello.members == ("10.0.0.2:7200",)
    assert hello.content.loads == OWN.loads
    assert hello.content.uses == OWN.uses
    assert hello.content.crashes == OWN.crashes
    assert hello.content.closing
    assert (hello.content.configuration, hello.content.position) == (7, 31)
    assert hello.content.address == "10.0.0.1:7200"


@pytest.mark.parametrize("data", [b"", b"\xff" * 40, b"GET / HTTP/1.1\r\n\r\n"])
def test_damaged_messages_are_refused(data: bytes) -> None:
    with pytest.raises(PeerMessageError):
        decode_hello(data, "10.0.0.1:7200")


def test_records_come_back_as_they_were() -> None:
    copy = RecordCopy(b"{}", 9, (("i-1", b"\x00\xff"),))
    assert decode_copy(encode_copy(copy)) == copy


def open_link(port: int, seeds: tuple[str, ...], heard: list[PeerHeard]) -> PeerLink:
    return PeerLink(
        "127.0.0.1",
        port,
        seeds,
        lambda: PeerHeard(f"entry-{port}"),
        lambda: RecordCopy(b"configuration", 3),
        heard.append,
    )


async def test_entries_find_each_other_through_one_seed(
    unused_tcp_port_factory: object,
) -> None:
    ports = [unused_tcp_port_factory() for _ in range(3)]  # type: ignore[operator]
    heard: list[list[PeerHeard]] = [[], [], []]
    seed = f"127.0.0.1:{ports[0]}"
    links = [open_link(port, (seed,), heard[n]) for n, port in enumerate(ports)]
    for link in links:
        await link.start()
    async with asyncio.timeout(5):
        while {message.node for message in heard[2]} != {
            f"entry-{ports[0]}",
            f"entry-{ports[1]}",
        }:
            await asyncio.sleep(0.02)
    copy = await links[2].fetch_copy(f"127.0.0.1:{ports[1]}")
    assert copy.configuration == b"configuration"
    for link in links:
        await link.stop()


async def test_a_peer_that_gives_no_copy_is_told_apart(
    unused_tcp_port: int,
) -> None:
    link = open_link(unused_tcp_port, (), [])
    with pytest.raises(PeerMessageError):
        await link.fetch_copy(f"127.0.0.1:{unused_tcp_port}")
