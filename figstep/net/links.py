"""Links between gateways: loads by UDP, copies of the store's records by TCP."""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import capnp
import logbook
from mode import Service

from figstep.errors import PeerMessageError
from figstep.gateway.budgets import UseReport
from figstep.gateway.events import PeerHeard, PeerLoad

_log = logbook.Logger("figstep.links")

_schema: Any = capnp.load(str(Path(__file__).with_name("links.capnp")))

HELLO_SECONDS = 1.0
"""Period of messages that tell nothing new: three in a row may be lost before
a peer counts as silent."""

POLL_SECONDS = 0.1
"""How soon a change of this entry's loads is told: requests come a few a
second to each entry, and an engine's own reports are half a second old."""

FORGET_SECONDS = 30.0
"""How long an address that doesn't answer is still tried."""

COPY_SECONDS = 2.0
"""Time for a copy of the records; the next try may go to another peer."""

MOST_COPY_BYTES = 32 * 1024 * 1024
"""Largest copy that is taken: thousands of routes and targets take a few MB."""

MOST_MEMBERS_TOLD = 16
"""Addresses in a message, drawn anew for each: all are told within seconds."""

TEXT_LIMIT = 60_000
"""Largest datagram; loads of some hundred targets stay far below it."""


@dataclass(frozen=True, slots=True)
class RecordCopy:
    """What an entry has read of the store, as it was written there.

    Attributes:
        configuration: The newest configuration; empty for none.
        position: Registrations read so far, as an offset; -1 for none.
        registrations: The newest registration of each target.
    """

    configuration: bytes = b""
    position: int = -1
    registrations: tuple[tuple[str, bytes], ...] = ()


@dataclass(slots=True)
class _Neighbor:
    """An address that other entries may listen at."""

    known_since: float
    heard: float = -1e9
    session: int = 0
    sequence: int = 0


@dataclass(slots=True)
class _Told:
    """What was told last, and when."""

    at: float = -1e9
    content: PeerHeard | None = None
    members: set[str] = field(default_factory=set)


class PeerLink(Service):
    """Sends this entry's loads to the others and takes in theirs."""

    def __init__(
        self,
        host: str,
        port: int,
        seeds: tuple[str, ...],
        read_own: Callable[[], PeerHeard],
        read_copy: Callable[[], RecordCopy],
        take_message: Callable[[PeerHeard], None],
    ) -> None:
        super().__init__()
        self._host = host
        self._port = port
        self._own = f"{host}:{port}"
        self._seeds = [seed for seed in seeds if seed != self._own]
        self._read_own = read_own
        self._read_copy = read_copy
        self._take_message = take_message
        self._session = secrets.randbits(63)
        self._sequence = 0
        self._neighbors: dict[str, _Neighbor] = {}
        self._told = _Told()
        self._announcing = False
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Listen for datagrams and for requests of copies."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _LinkProtocol(self._take_datagram),
            local_addr=(self._host, self._port),
        )
        self._server = await asyncio.start_server(
            self._serve_copy, self._host, self._port
        )

    async def on_stop(self) -> None:
        """Tell the others that this entry ends, and close the sockets."""
        self._tell(self._read_own(), loop_time())
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            now = loop_time()
            own = self._read_own()
            self._forget_old(now)
            if own != self._told.content or now - self._told.at >= HELLO_SECONDS:
                self._tell(own, now)
            await self.sleep(POLL_SECONDS)

    def announce(self) -> None:
        """Tell the others at the end of this turn of the loop."""
        if self._announcing:
            return
        self._announcing = True
        asyncio.get_running_loop().call_soon(self._announce_now)

    def _announce_now(self) -> None:
        self._announcing = False
        self._tell(self._read_own(), loop_time())

    def _forget_old(self, now: float) -> None:
        for seed in self._seeds:
            self._neighbors.setdefault(seed, _Neighbor(now))
        for address, neighbor in list(self._neighbors.items()):
            newest = max(neighbor.heard, neighbor.known_since)
            if now - newest >= FORGET_SECONDS:
                del self._neighbors[address]

    def _tell(self, own: PeerHeard, now: float) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._sequence += 1
        self._told = _Told(now, own)
        data = encode_hello(own, self._session, self._sequence, self._pick_members(now))
        if len(data) > TEXT_LIMIT:
            _log.error("message too long", extra={"bytes": len(data)})
            return
        for address in self._neighbors:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def _pick_members(self, now: float) -> list[str]:
        recent = [
            address
            for address, neighbor in self._neighbors.items()
            if now - neighbor.heard < 3 * HELLO_SECONDS
        ]
        if len(recent) <= MOST_MEMBERS_TOLD:
            return recent
        start = self._sequence * MOST_MEMBERS_TOLD % len(recent)
        return (recent + recent)[start : start + MOST_MEMBERS_TOLD]

    def _take_datagram(self, data: bytes, address: str) -> None:
        try:
            hello = decode_hello(data, address)
        except PeerMessageError as error:
            _log.info("message refused", extra={"from": address, "error": str(error)})
            return
        now = loop_time()
        neighbor = self._neighbors.setdefault(address, _Neighbor(now))
        if hello.session == neighbor.session and hello.sequence <= neighbor.sequence:
            # Overtaken on its way: what it tells is older than what is known.
            return
        neighbor.session, neighbor.sequence = hello.session, hello.sequence
        neighbor.heard = now
        for member in hello.members:
            if member != self._own:
                self._neighbors.setdefault(member, _Neighbor(now))
        self._take_message(hello.content)

    async def fetch_copy(self, address: str) -> RecordCopy:
        """Return what the entry at "ip:port" has read of the store.

        Raises:
            PeerMessageError: If it gives none in time.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(COPY_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    data = await reader.read(-1)
                finally:
                    writer.close()
        except (OSError, TimeoutError) as error:
            raise PeerMessageError(f"{address}: {type(error).__name__}") from error
        if not data or len(data) > MOST_COPY_BYTES:
            raise PeerMessageError(f"{address}: {len(data)} bytes are no copy")
        return decode_copy(data)

    async def _serve_copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(COPY_SECONDS):
                writer.write(encode_copy(self._read_copy()))
                await writer.drain()
        except (OSError, TimeoutError) as error:
            _log.info("copy not sent", extra={"error": type(error).__name__})
        finally:
            writer.close()


def loop_time() -> float:
    """Return the running loop's monotonic time, in seconds."""
    return asyncio.get_running_loop().time()


class _LinkProtocol(asyncio.DatagramProtocol):
    def __init__(self, take: Callable[[bytes, str], None]) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._take(data, f"{addr[0]}:{addr[1]}")


@dataclass(frozen=True, slots=True)
class Hello:
    """A message as it came.

    Attributes:
        content: What the gateway learns from it.
        session: Drawn anew by each process of the sender.
        sequence: Grows with each message of a session.
        members: Addresses of other entries.
    """

    content: PeerHeard
    session: int
    sequence: int
    members: tuple[str, ...]


def encode_hello(
    own: PeerHeard, session: int, sequence: int, members: list[str]
) -> bytes:
    """Return a message as it goes over the wire."""
    message = _schema.Hello.new_message(
        node=own.node,
        session=session,
        sequence=sequence,
        closing=own.closing,
        configuration=own.configuration,
        position=own.position,
        members=members,
    )
    loads = message.init("loads", len(own.loads))
    for slot, load in zip(loads, own.loads, strict=True):
        slot.target, slot.calls, slot.memory = load.target, load.calls, load.memory
        slot.reading, slot.readRate = load.reading, load.read_rate or 0.0
        slot.unprotected = load.unprotected
    uses = message.init("uses", len(own.uses))
    for slot, use in zip(uses, own.uses, strict=True):
        slot.service, slot.requests, slot.repeats = (
            use.service,
            use.requests,
            use.repeats,
        )
    crashes = message.init("crashes", len(own.crashes))
    for slot, (digest, crash) in zip(crashes, own.crashes, strict=True):
        slot.digest, slot.crash = digest, crash
    return bytes(message.to_bytes_packed())


def decode_hello(data: bytes, address: str) -> Hello:
    """Return a message.

    Raises:
        PeerMessageError: If it can't be read.
    """
    try:
        message = _schema.Hello.from_bytes_packed(data)
        loads = tuple(
            PeerLoad(
                load.target,
                load.calls,
                load.memory,
                load.reading,
                load.readRate or None,
                load.unprotected,
            )
            for load in message.loads
        )
        uses = tuple(
            UseReport(use.service, use.requests, use.repeats) for use in message.uses
        )
        crashes = tuple((item.digest, item.crash) for item in message.crashes)
        content = PeerHeard(
            message.node,
            loads,
            uses,
            crashes,
            message.closing,
            address=address,
            configuration=message.configuration,
            position=message.position,
        )
        members = tuple(str(member) for member in message.members)
    except (capnp.KjException, ValueError) as error:
        raise PeerMessageError("damaged message; check who sends here") from error
    return Hello(content, message.session, message.sequence, members)


def encode_copy(copy: RecordCopy) -> bytes:
    """Return a copy of records as it goes over the wire."""
    message = _schema.Copy.new_message(
        configuration=copy.configuration, position=copy.position
    )
    entries = message.init("registrations", len(copy.registrations))
    for slot, (key, value) in zip(entries, copy.registrations, strict=True):
        slot.key, slot.value = key, value
    return bytes(message.to_bytes_packed())


def decode_copy(data: bytes) -> RecordCopy:
    """Return a copy of records.

    Raises:
        PeerMessageError: If it can't be read.
    """
    try:
        message = _schema.Copy.from_bytes_packed(data)
        entries = tuple(
            (str(entry.key), bytes(entry.value)) for entry in message.registrations
        )
        return RecordCopy(bytes(message.configuration), message.position, entries)
    except (capnp.KjException, ValueError) as error:
        raise PeerMessageError("damaged copy; another peer may give one") from error
