"""Links between gateways: loads by UDP, copies of the store's records by TCP."""

import asyncio
import random
import secrets
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, replace

import logbook
from mode import Service

from figstep.core.clock import Millis
from figstep.errors import PeerMessageError
from figstep.gateway.events import PeerHeard, PeerLoad
from figstep.gateway.news import LoadUpdates, strip_ages
from figstep.gateway.peers import select_changed
from figstep.gateway.state import FULL_MESH_MAX_ENTRIES
from figstep.net.hellos import (
    MAX_COPY_BYTES,
    Hello,
    RecordCopy,
    decode_copy,
    decode_hello,
    encode_copy,
    encode_hello,
)
from figstep.net.neighbors import Member, NeighborTable

_log = logbook.Logger("figstep.links")

HELLO_INTERVAL_SECONDS = 1.0
"""Period of messages that tell nothing new: three in a row may be lost before
a peer counts as silent."""

POLL_SECONDS = 0.1
"""How soon a change of this entry's loads is told: requests come a few a
second to each entry, and an engine's own reports are half a second old."""

LARGE_FLEET_POLL_SECONDS = 0.4
"""The same in a large fleet, whose prompts are announced as they are sent: what
changes besides is the growth of runs."""

REMOTE_UPDATE_SECONDS = 0.4
"""How often another failure domain is told what has changed."""

REMOTE_FULL_REPORT_SECONDS = 2.0
"""How often it is told all: some messages are lost."""

MAX_DOMAIN_REQUESTS = 8
"""Entries of unknown failure domain that are asked for it in a second."""

COPY_TIMEOUT_SECONDS = 2.0
"""Time for a copy of the records; the next try may go to another peer."""

MAX_DATAGRAM_BYTES = 60_000
"""Largest datagram; loads of some hundred targets stay far below it."""


@dataclass(slots=True)
class _LastReport:
    """What was told last, and when."""

    at: float = -1e9
    content: PeerHeard | None = None


class LinkHost(ABC):
    """What a link asks of the entry that it belongs to."""

    @abstractmethod
    def describe_entry(self) -> PeerHeard:
        """Return what the entries that hear all of each other are told."""

    @abstractmethod
    def describe_domain(self) -> PeerHeard:
        """Return what other failure domains are told."""

    @abstractmethod
    def describe_domain_at(self, target: str) -> PeerHeard:
        """Return what other failure domains are told of one target."""

    @abstractmethod
    def is_domain_representative(self) -> bool:
        """Tell whether this entry tells other failure domains of its own."""

    @abstractmethod
    def read_copy(self) -> RecordCopy:
        """Return what was read of the store, for one that can't read it."""

    @abstractmethod
    def list_recent_registrations(self) -> tuple[tuple[str, bytes], ...]:
        """Return the registrations read last, up to the position told."""

    @abstractmethod
    def handle_message(
        self, message: PeerHeard, records: tuple[tuple[str, bytes], ...]
    ) -> None:
        """Take in a message, and the registrations that its sender read last."""

    @abstractmethod
    def update_entry_count(self, entries: int) -> None:
        """Take in how many entries are known."""


class PeerLink(Service):
    """Sends this entry's loads to the others and takes in theirs."""

    def __init__(
        self,
        host: str,
        port: int,
        seeds: tuple[str, ...],
        failure_domain: str,
        host_entry: LinkHost,
    ) -> None:
        super().__init__()
        self._host = host
        self._port = port
        self._own = f"{host}:{port}"
        self.set_seeds(seeds)
        self._failure_domain = failure_domain
        self._entry = host_entry
        self._session = secrets.randbits(63)
        self._sequence = 0
        self._neighbors = NeighborTable(self._own, failure_domain)
        self._last_report = _LastReport()
        self._load_updates = LoadUpdates()
        self._remote_full_report_at = -1e9
        self._remote_sent_at = -1e9
        self._remote_reported_fields: PeerHeard | None = None
        self._remote_reported_loads: dict[str, PeerLoad] = {}
        self._members_sent_at = -1e9
        self._announcement_scheduled = False
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Listen for datagrams and for requests of copies."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _LinkProtocol(self._handle_datagram),
            local_addr=(self._host, self._port),
        )
        self._server = await asyncio.start_server(
            self._serve_copy, self._host, self._port
        )

    async def on_stop(self) -> None:
        """Tell the others that this entry ends, and close the sockets."""
        self._send_locally(loop_time())
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Look for the other entries at these addresses, as "ip:port"."""
        self._seeds = [seed for seed in seeds if seed != self._own]

    @property
    def is_large(self) -> bool:
        """Whether the fleet is too large for all to hear all."""
        return len(self._neighbors) >= FULL_MESH_MAX_ENTRIES

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            now = loop_time()
            for seed in self._seeds:
                self._neighbors.add(seed, now)
            self._neighbors.remove_expired(now)
            self._entry.update_entry_count(1 + len(self._neighbors))
            own = self._entry.describe_entry()
            if self._is_due(own, now):
                self._send_locally(now)
            await self.sleep(
                LARGE_FLEET_POLL_SECONDS if self.is_large else POLL_SECONDS
            )

    def _is_due(self, own: PeerHeard, now: float) -> bool:
        if now - self._last_report.at >= HELLO_INTERVAL_SECONDS:
            return True
        if self.is_large:
            return self._load_updates.has_urgent_changes(own)
        reported = self._last_report.content
        return reported is None or strip_ages(own) != strip_ages(reported)

    @Service.task
    async def _run_remote(self) -> None:
        while not self.should_stop:
            await self.sleep(REMOTE_UPDATE_SECONDS)
            if self.is_large and self._entry.is_domain_representative():
                self._send_remotely(loop_time())

    def announce(self) -> None:
        """Tell the near ones at the end of this turn of the loop."""
        if self._announcement_scheduled:
            return
        self._announcement_scheduled = True
        asyncio.get_running_loop().call_soon(self._announce_now)

    def _announce_now(self) -> None:
        self._announcement_scheduled = False
        self._send_locally(loop_time())

    def announce_records(self) -> None:
        """Tell all failure domains of records that were just read."""
        now = loop_time()
        self._send_locally(now)
        self._send_remotely(now)

    def announce_target(self, target: str) -> None:
        """Tell other failure domains what this one has open at a target."""
        hello = Hello(self._entry.describe_domain_at(target))
        self._send(hello, self._neighbors.pick_remote(loop_time()))

    def _send_locally(self, now: float) -> None:
        own = self._entry.describe_entry()
        query_domains = now - self._last_report.at >= HELLO_INTERVAL_SECONDS
        self._last_report = _LastReport(now, own)
        local = self._neighbors.list_all()
        message = own
        if self.is_large:
            local = self._neighbors.list_local()
            message = self._load_updates.select(own, Millis(round(now * 1000)))
        members = self._pick_members(now)
        self._send(Hello(message, members=members, records=self._list_records()), local)
        unknown = self._neighbors.list_without_domain()
        if query_domains and unknown and self.is_large:
            queried = random.sample(unknown, min(len(unknown), MAX_DOMAIN_REQUESTS))
            self._send(
                Hello(self._entry.describe_domain(), requests_failure_domain=True),
                queried,
            )

    def _send_remotely(self, now: float) -> None:
        domain = self._entry.describe_domain()
        if now - self._remote_full_report_at >= REMOTE_FULL_REPORT_SECONDS:
            self._remote_full_report_at = now
            self._remote_reported_loads.clear()
        else:
            changed = select_changed(self._remote_reported_loads, domain.loads)
            domain = replace(domain, loads=changed, partial=True)
            reported_fields = strip_ages(replace(domain, loads=()))
            is_unchanged = (
                not changed and reported_fields == self._remote_reported_fields
            )
            if is_unchanged and now - self._remote_sent_at < HELLO_INTERVAL_SECONDS:
                return
            self._remote_reported_fields = reported_fields
        self._remote_sent_at = now
        self._remote_reported_loads.update((load.target, load) for load in domain.loads)
        hello = Hello(domain, records=self._list_records())
        self._send(hello, self._neighbors.pick_remote(now))

    def _list_records(self) -> tuple[tuple[str, bytes], ...]:
        return self._entry.list_recent_registrations()

    def _pick_members(self, now: float) -> tuple[Member, ...]:
        # Messages are many and members change rarely.
        if now - self._members_sent_at < HELLO_INTERVAL_SECONDS:
            return ()
        self._members_sent_at = now
        return self._neighbors.pick_members(now)

    def _send(self, hello: Hello, addresses: list[str]) -> None:
        if not addresses:
            return
        self._sequence += 1
        numbered = replace(
            hello,
            content=replace(hello.content, address=self._own),
            session=self._session,
            sequence=self._sequence,
        )
        data = encode_hello(numbered)
        if len(data) > MAX_DATAGRAM_BYTES:
            _log.error("message too long", extra={"bytes": len(data)})
            return
        self._send_bytes(data, addresses)

    def _send_bytes(self, data: bytes, addresses: list[str]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def _handle_datagram(self, data: bytes, sender: str) -> None:
        try:
            hello = decode_hello(data, sender)
        except PeerMessageError as error:
            _log.info("message refused", extra={"from": sender, "error": str(error)})
            return
        now = loop_time()
        content = hello.content
        neighbor = self._neighbors.add(content.address, now)
        if hello.session == neighbor.session and hello.sequence <= neighbor.sequence:
            # Overtaken on its way: what it tells is older than what is known.
            return
        is_new = hello.session != neighbor.session
        neighbor.session, neighbor.sequence = hello.session, hello.sequence
        neighbor.last_received = now
        neighbor.failure_domain = content.failure_domain
        self._neighbors.record_members(hello.members, now)
        if hello.requests_failure_domain:
            self._send(Hello(self._entry.describe_domain()), [content.address])
        elif is_new and not content.far:
            self._answer_new_session(content.address, content.failure_domain, now)
        if content.far and content.address == sender:
            self._forward(data, content.failure_domain)
        self._entry.handle_message(content, hello.records)

    def _answer_new_session(
        self, address: str, failure_domain: str, now: float
    ) -> None:
        """Answer an entry that has just started: it knows nobody's loads yet."""
        content = self._entry.describe_entry()
        if self.is_large and failure_domain != self._failure_domain:
            content = self._entry.describe_domain()
        members = self._neighbors.pick_members(now)
        self._send(Hello(content, members=members), [address])

    def _forward(self, data: bytes, failure_domain: str) -> None:
        """Hand what another failure domain told to all entries of this one."""
        if failure_domain != self._failure_domain:
            self._send_bytes(data, self._neighbors.list_local())

    async def fetch_copy(self, address: str) -> RecordCopy:
        """Return what the entry at "ip:port" has read of the store.

        Raises:
            PeerMessageError: If it gives none in time.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(COPY_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    data = await reader.read(-1)
                finally:
                    writer.close()
        except (OSError, TimeoutError) as error:
            raise PeerMessageError(f"{address}: {type(error).__name__}") from error
        if not data or len(data) > MAX_COPY_BYTES:
            raise PeerMessageError(f"{address}: {len(data)} bytes are no copy")
        return decode_copy(data)

    async def _serve_copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(COPY_TIMEOUT_SECONDS):
                writer.write(encode_copy(self._entry.read_copy()))
                await writer.drain()
        except (OSError, TimeoutError) as error:
            _log.info("copy not sent", extra={"error": type(error).__name__})
        finally:
            writer.close()


def loop_time() -> float:
    """Return the running loop's monotonic time, in seconds."""
    return asyncio.get_running_loop().time()


class _LinkProtocol(asyncio.DatagramProtocol):
    def __init__(self, handler: Callable[[bytes, str], None]) -> None:
        self._handler = handler

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._handler(data, f"{addr[0]}:{addr[1]}")
