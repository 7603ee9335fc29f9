"""Links between entries.

Loads and recent registrations are sent over UDP, copies of all records over TCP.
"""

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
"""Minimum time between two messages while nothing changes, in seconds.

A peer counts as silent after ``PEER_TIMEOUT``, which is three of these intervals. One
lost message is tolerated; after two in a row the next may arrive after the timeout.
"""

POLL_SECONDS = 0.1
"""Interval at which an entry checks whether its loads have changed, in seconds.

A changed load is reported after at most this time. A shorter one would gain little:
each entry gets a few requests a second, and an engine's own load reports are half a
second old.
"""

LARGE_FLEET_POLL_SECONDS = 0.4
"""Interval at which an entry of a large fleet checks its loads, in seconds.

A longer interval than in a small fleet is enough, because an entry calls ``announce``
when it sends a prompt. Between prompts, loads change as running generations grow.
"""

REMOTE_UPDATE_SECONDS = 0.4
"""Interval of messages to other failure domains, in seconds.

A message between two full ones holds only the loads that changed. It is left out if
nothing changed, but for no longer than ``HELLO_INTERVAL_SECONDS``.
"""

REMOTE_FULL_REPORT_SECONDS = 2.0
"""Interval of full messages to other failure domains, in seconds.

Full messages make up for partial ones that were lost.
"""

MAX_DOMAIN_REQUESTS = 8
"""Maximum number of entries whose unknown failure domain is queried in one second."""

COPY_TIMEOUT_SECONDS = 2.0
"""Timeout of a transfer of copied records, in seconds.

A later fetch may use another peer.
"""

READ_BYTES = 262_144
"""Largest number of bytes that are read from a connection at once."""

MAX_DATAGRAM_BYTES = 60_000
"""Largest datagram that is sent, in bytes.

The loads of some hundred targets stay far below it.
"""


@dataclass(slots=True)
class _LastReport:
    """Content and time of the last message to the local entries.

    Attributes:
        at: Monotonic time of the message, in seconds.
        content: Content of the message; None before the first one.
    """

    at: float = -1e9
    content: PeerHeard | None = None


class LinkHost(ABC):
    """Operations that a link needs from the entry to which it belongs."""

    @abstractmethod
    def describe_entry(self) -> PeerHeard:
        """Return the content of messages to entries that exchange all their loads."""

    @abstractmethod
    def describe_domain(self) -> PeerHeard:
        """Return the content of messages to other failure domains.

        Its loads are the sums of the loads in this entry's failure domain.
        """

    @abstractmethod
    def describe_to_new_process(self, remote: bool) -> PeerHeard:
        """Return the content of the answer to an entry whose process has just started.

        It also holds what that process can no longer learn from other messages. If
        ``remote`` is set, the entry gets the message to other failure domains.
        """

    @abstractmethod
    def describe_domain_at(self, target: str) -> PeerHeard:
        """Return the content of a message to other failure domains about one target.

        It holds only the load of the target and is marked as partial; all fields
        other than the loads are complete.
        """

    @abstractmethod
    def is_domain_representative(self) -> bool:
        """Return whether this entry sends its domain's loads to other domains."""

    @abstractmethod
    def read_copy(self) -> RecordCopy:
        """Return all records known from the store, for an entry that can't read it."""

    @abstractmethod
    def list_recent_registrations(self) -> tuple[tuple[str, bytes], ...]:
        """Return the registrations read last, as pairs of key and stored value.

        The last one is the record before the position that messages hold. A value is
        empty if the registration was removed.
        """

    @abstractmethod
    def handle_message(
        self, message: PeerHeard, records: tuple[tuple[str, bytes], ...]
    ) -> None:
        """Handle a message of another entry.

        The records are the registrations that the writer of the message read last, as
        pairs of key and stored value; empty values stand for removed ones.
        """

    @abstractmethod
    def update_entry_count(self, entries: int) -> None:
        """Handle the number of known entries, including this one."""


class PeerLink(Service):
    """Sends this entry's loads to the other entries and receives theirs.

    In a small fleet all entries exchange all loads. In a large fleet the entries of one
    failure domain do; one entry of each failure domain, its representative, sends the
    sums of the domain's loads to one entry of each other domain, which forwards them to
    the entries of its own domain. Messages also hold recently read registrations. An
    entry that cannot read the store can fetch a copy of all records from another entry.
    """

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
        """Listen for datagrams and for requests for copies of records."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _LinkProtocol(self._handle_datagram),
            local_addr=(self._host, self._port),
        )
        self._server = await asyncio.start_server(
            self._serve_copy, self._host, self._port
        )

    async def on_stop(self) -> None:
        """Send a last message as ``announce`` does and close the sockets."""
        self._send_locally(loop_time())
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Set the addresses at which other entries may listen, as "ip:port"."""
        self._seeds = [seed for seed in seeds if seed != self._own]

    def is_entry(self, host: str) -> bool:
        """Return whether an IP address is that of another known entry."""
        return self._neighbors.has_host(host)

    @property
    def is_large(self) -> bool:
        """Whether the fleet is too large for all entries to exchange all loads."""
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
                self._send_or_log(self._send_locally, now)
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
                self._send_or_log(self._send_remotely, loop_time())

    def _send_or_log(self, send: Callable[[float], None], now: float) -> None:
        try:
            send(now)
        except Exception:
            # If the task ended here, the other entries would take this one for dead
            # while it serves its callers.
            _log.exception("message not sent")

    def announce(self) -> None:
        """Schedule a message to the entries that exchange all loads.

        The message is sent after the running callback of the event loop. Several calls
        before that result in one message.
        """
        if self._announcement_scheduled:
            return
        self._announcement_scheduled = True
        asyncio.get_running_loop().call_soon(self._announce_now)

    def _announce_now(self) -> None:
        self._announcement_scheduled = False
        self._send_locally(loop_time())

    def announce_records(self) -> None:
        """Send to all failure domains at once, as records were read from the store."""
        now = loop_time()
        self._send_locally(now)
        self._send_remotely(now)

    def announce_target(self, target: str) -> None:
        """Send this failure domain's load at one target to the other domains."""
        hello = Hello(self._entry.describe_domain_at(target))
        self._send(hello, self._neighbors.pick_remote(loop_time()))

    def _send_locally(self, now: float) -> None:
        """Send this entry's loads to the entries that exchange all loads.

        These are all entries of a small fleet, or those of the own failure domain of
        a large one.
        """
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
        """Send the sums of this failure domain to one entry of each other domain."""
        domain = self._entry.describe_domain()
        members: tuple[Member, ...] = ()
        if now - self._remote_full_report_at >= REMOTE_FULL_REPORT_SECONDS:
            self._remote_full_report_at = now
            # Other failure domains hear of this one's entries in no other way, and
            # forget addresses that nobody names.
            members = self._neighbors.pick_local_members(now)
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
        hello = Hello(domain, members=members, records=self._list_records())
        self._send(hello, self._neighbors.pick_remote(now))

    def _list_records(self) -> tuple[tuple[str, bytes], ...]:
        return self._entry.list_recent_registrations()

    def _pick_members(self, now: float) -> tuple[Member, ...]:
        # Messages are frequent and members change rarely.
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
            _log.error(
                "peer message exceeds the datagram limit", extra={"bytes": len(data)}
            )
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
            _log.info(
                "peer message rejected", extra={"from": sender, "error": str(error)}
            )
            return
        now = loop_time()
        content = hello.content
        neighbor = self._neighbors.add(content.address, now)
        if hello.session == neighbor.session and hello.sequence <= neighbor.sequence:
            # The message is a duplicate, or a newer one has arrived before it.
            return
        is_new = hello.session != neighbor.session
        neighbor.session, neighbor.sequence = hello.session, hello.sequence
        neighbor.last_received = now
        neighbor.failure_domain = content.failure_domain
        self._neighbors.record_members(hello.members, now)
        # A message that another entry forwarded comes from that entry's address and
        # is not forwarded again.
        if content.far and content.address == sender:
            self._forward(data, content.failure_domain)
        # The answer to a new process describes what the one before it has used, which
        # the message has ended.
        self._entry.handle_message(content, hello.records)
        if hello.requests_failure_domain:
            self._send(Hello(self._entry.describe_domain()), [content.address])
        elif is_new and not content.far:
            self._answer_new_session(content.address, content.failure_domain, now)

    def _answer_new_session(
        self, address: str, failure_domain: str, now: float
    ) -> None:
        """Send the current loads to an entry from which a new session was received.

        A new session is usually that of an entry that has just started.
        """
        is_remote = self.is_large and failure_domain != self._failure_domain
        content = self._entry.describe_to_new_process(is_remote)
        members = self._neighbors.pick_members(now)
        self._send(Hello(content, members=members), [address])

    def _forward(self, data: bytes, failure_domain: str) -> None:
        """Forward a message to all entries of this failure domain.

        A message that comes from this failure domain itself is not forwarded.
        """
        if failure_domain != self._failure_domain:
            self._send_bytes(data, self._neighbors.list_local())

    async def fetch_copy(self, address: str) -> RecordCopy:
        """Return the records that the entry at an address has read from the store.

        Args:
            address: Address of the entry, as "ip:port".

        Raises:
            PeerMessageError: If the entry sends no valid copy within
                ``COPY_TIMEOUT_SECONDS``.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(COPY_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    data = await _read_to_end(reader, MAX_COPY_BYTES)
                finally:
                    writer.close()
        except (OSError, TimeoutError) as error:
            raise PeerMessageError(f"{address}: {type(error).__name__}") from error
        if not data or len(data) > MAX_COPY_BYTES:
            raise PeerMessageError(
                f"{address}: {len(data)} bytes are not a copy of records"
            )
        return decode_copy(data)

    async def _serve_copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(COPY_TIMEOUT_SECONDS):
                writer.write(encode_copy(self._entry.read_copy()))
                await writer.drain()
        except (OSError, TimeoutError) as error:
            _log.info("copy of records not sent", extra={"error": type(error).__name__})
        finally:
            writer.close()


async def _read_to_end(reader: asyncio.StreamReader, max_bytes: int) -> bytearray:
    """Read until the connection ends; stop once there are more than ``max_bytes``."""
    data = bytearray()
    while len(data) <= max_bytes:
        chunk = await reader.read(READ_BYTES)
        if not chunk:
            break
        data += chunk
    return data


def loop_time() -> float:
    """Return the running loop's monotonic time, in seconds."""
    return asyncio.get_running_loop().time()


class _LinkProtocol(asyncio.DatagramProtocol):
    def __init__(self, handler: Callable[[bytes, str], None]) -> None:
        self._handler = handler

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._handler(data, f"{addr[0]}:{addr[1]}")
