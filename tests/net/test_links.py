"""Tests of the links between gateways."""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import replace

import pytest

from figstep.core.positions import Position
from figstep.errors import PeerMessageError
from figstep.gateway.events import PeerHeard
from figstep.net.hellos import Hello, RecordCopy, encode_hello
from figstep.net.links import LinkHost, PeerLink
from figstep.net.neighbors import Member


class FakeHost(LinkHost):
    """An entry that records the messages of its link."""

    def __init__(
        self, node: str, failure_domain: str, represents_domain: bool = True
    ) -> None:
        self.own = PeerHeard(node, failure_domain=failure_domain)
        self.represents_domain = represents_domain
        self.received: list[PeerHeard] = []
        self.entries = 0

    def describe_entry(self) -> PeerHeard:
        return self.own

    def describe_domain(self) -> PeerHeard:
        return replace(self.own, far=True)

    def describe_to_new_process(self, remote: bool) -> PeerHeard:
        return self.describe_domain() if remote else self.own

    def describe_domain_at(self, target: str) -> PeerHeard:
        return replace(self.own, far=True, partial=True)

    def is_domain_representative(self) -> bool:
        return self.represents_domain

    def read_copy(self) -> RecordCopy:
        return RecordCopy(b"configuration", Position(1, 3))

    def list_recent_registrations(self) -> tuple[tuple[str, bytes], ...]:
        return ()

    def handle_message(
        self, message: PeerHeard, records: tuple[tuple[str, bytes], ...]
    ) -> None:
        self.received.append(message)

    def update_entry_count(self, entries: int) -> None:
        self.entries = entries


def open_link(port: int, seeds: tuple[str, ...], host: FakeHost) -> PeerLink:
    domain = host.own.failure_domain
    return PeerLink("127.0.0.1", port, seeds, domain, host)


async def test_entries_find_each_other_through_one_seed(
    unused_tcp_port_factory: object,
) -> None:
    ports = [unused_tcp_port_factory() for _ in range(3)]  # type: ignore[operator]
    hosts = [FakeHost(f"entry-{port}", "muc-a") for port in ports]
    seed = f"127.0.0.1:{ports[0]}"
    links = [open_link(port, (seed,), hosts[n]) for n, port in enumerate(ports)]
    for link in links:
        await link.start()
    async with asyncio.timeout(5):
        while {message.node for message in hosts[2].received} != {
            f"entry-{ports[0]}",
            f"entry-{ports[1]}",
        }:
            await asyncio.sleep(0.02)
    copy = await links[2].fetch_copy(f"127.0.0.1:{ports[1]}")
    assert copy.configuration == b"configuration"
    assert hosts[2].entries == 3
    for link in links:
        await link.stop()


async def test_an_entry_sends_again_after_what_fits_into_no_message(
    unused_tcp_port_factory: Callable[[], int],
) -> None:
    """Guards against an entry that is never heard again after a failure to send."""
    ports = [unused_tcp_port_factory() for _ in range(2)]
    hosts = [FakeHost(f"entry-{number}", "muc-a") for number in range(2)]
    sound = hosts[0].own
    hosts[0].own = replace(sound, configuration=1 << 70)
    seed = f"127.0.0.1:{ports[1]}"
    links = [open_link(port, (seed,), hosts[n]) for n, port in enumerate(ports)]
    for link in links:
        await link.start()
    await asyncio.sleep(0.3)
    hosts[0].own = sound
    async with asyncio.timeout(5):
        while not hosts[1].received:
            await asyncio.sleep(0.02)
    for link in links:
        await link.stop()


async def test_fetching_from_an_address_without_a_peer_fails(
    unused_tcp_port: int,
) -> None:
    link = open_link(unused_tcp_port, (), FakeHost("entry-1", "muc-a"))
    with pytest.raises(PeerMessageError):
        await link.fetch_copy(f"127.0.0.1:{unused_tcp_port}")


async def test_failure_domains_of_a_large_fleet_exchange_sums(
    unused_tcp_port_factory: object,
) -> None:
    """Guards against control traffic that grows with the square of the fleet size."""
    ports = [unused_tcp_port_factory() for _ in range(20)]  # type: ignore[operator]
    hosts = [
        FakeHost(
            f"entry-{n}", "muc-a" if n < 10 else "muc-b", represents_domain=n in (0, 10)
        )
        for n in range(20)
    ]
    seed = f"127.0.0.1:{ports[0]}"
    links = [open_link(port, (seed,), hosts[n]) for n, port in enumerate(ports)]
    for link in links:
        await link.start()
    async with asyncio.timeout(20):
        while min(host.entries for host in hosts) < 20:
            await asyncio.sleep(0.05)
    await asyncio.sleep(3.0)
    for host in hosts:
        host.received.clear()
    await asyncio.sleep(3.0)
    for link in links:
        await link.stop()
    for number, host in enumerate(hosts):
        own = range(10) if number < 10 else range(10, 20)
        local_senders = {m.node for m in host.received if not m.far}
        assert local_senders == {f"entry-{n}" for n in own if n != number}
        representative = "entry-10" if number < 10 else "entry-0"
        assert {m.node for m in host.received if m.far} == {representative}


async def test_entries_of_other_failure_domains_stay_known(
    unused_tcp_port_factory: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a failure domain that takes itself for the whole fleet."""
    monkeypatch.setattr("figstep.net.neighbors.NEIGHBOR_EXPIRY_SECONDS", 5.0)
    ports = [unused_tcp_port_factory() for _ in range(40)]  # type: ignore[operator]
    hosts = [
        FakeHost(f"entry-{n:02}", f"muc-{n % 2}", represents_domain=n in (0, 1))
        for n in range(40)
    ]
    seeds = tuple(f"127.0.0.1:{port}" for port in ports[:2])
    links = [open_link(port, seeds, hosts[n]) for n, port in enumerate(ports)]
    for link in links:
        await link.start()
    async with asyncio.timeout(20):
        while min(host.entries for host in hosts) < 40:
            await asyncio.sleep(0.05)
    await asyncio.sleep(8.0)
    for link in links:
        await link.stop()
    assert {host.entries for host in hosts} == {40}


async def test_an_entry_that_starts_is_answered_at_once(
    unused_tcp_port_factory: object,
) -> None:
    """Guards against prompts placed before the loads of other entries are known."""
    ports = [unused_tcp_port_factory() for _ in range(2)]  # type: ignore[operator]
    hosts = [FakeHost(f"entry-{n}", "muc-a") for n in range(2)]
    first = open_link(ports[0], (), hosts[0])
    second = open_link(ports[1], (f"127.0.0.1:{ports[0]}",), hosts[1])
    await first.start()
    await asyncio.sleep(0.15)
    await second.start()
    async with asyncio.timeout(0.09):
        while not hosts[1].received:
            await asyncio.sleep(0.005)
    await second.stop()
    await first.stop()


async def test_an_entry_of_a_large_fleet_answers_new_remote_entries_with_sums(
    unused_tcp_port_factory: object,
) -> None:
    """Guards against peers that count as missing seconds after a start."""
    ports = [unused_tcp_port_factory() for _ in range(2)]  # type: ignore[operator]
    hosts = [FakeHost("entry-0", "muc-a"), FakeHost("entry-1", "muc-b")]
    first = open_link(ports[0], (), hosts[0])
    second = open_link(ports[1], (f"127.0.0.1:{ports[0]}",), hosts[1])
    await first.start()
    members = tuple(Member(f"127.0.0.2:{7_000 + n}", "muc-a") for n in range(20))
    own = PeerHeard("entry-2", failure_domain="muc-a", address="127.0.0.2:6999")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        data = encode_hello(Hello(own, 1, 1, members))
        sender.sendto(data, ("127.0.0.1", ports[0]))
    async with asyncio.timeout(2):
        while not first.is_large:
            await asyncio.sleep(0.005)
    await second.start()
    async with asyncio.timeout(2):
        while not hosts[1].received:
            await asyncio.sleep(0.005)
    assert all(message.far for message in hosts[1].received)
    await second.stop()
    await first.stop()


class CountingHost(FakeHost):
    """An entry that tells new processes how many messages it has handled."""

    def describe_to_new_process(self, remote: bool) -> PeerHeard:
        return replace(self.own, configuration=len(self.received))


async def test_a_new_process_is_answered_after_its_message_was_handled(
    unused_tcp_port_factory: object,
) -> None:
    """Guards against an answer that lacks what the process before has used."""
    ports = [unused_tcp_port_factory() for _ in range(2)]  # type: ignore[operator]
    hosts = [CountingHost(f"entry-{port}", "muc-a") for port in ports]
    links = [
        open_link(ports[0], (), hosts[0]),
        open_link(ports[1], (f"127.0.0.1:{ports[0]}",), hosts[1]),
    ]
    for link in links:
        await link.start()
    async with asyncio.timeout(5):
        while not hosts[1].received:
            await asyncio.sleep(0.02)
    for link in links:
        await link.stop()
    assert hosts[1].received[0].configuration >= 1
