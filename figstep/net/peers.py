"""Service that exchanges gossip (UDP) and checkpoints (TCP) with other entries."""

import asyncio
import secrets
from collections.abc import Callable
from typing import Any

import logbook
from mode import Service
from pydantic import ValidationError

from figstep.core.events import (
    CheckpointOffered,
    Event,
    GossipReceived,
    PeerListenerOpened,
)
from figstep.core.gossip import Gossip
from figstep.errors import PeerMessageError, SettingsError
from figstep.net.configuration import parse_checkpoint
from figstep.net.messages import (
    MAX_RECORD_BYTES,
    Keyring,
    MessageKind,
    decode_answer,
    decode_gossip,
    decode_request,
    encode_answer,
    encode_gossip,
    encode_request,
)
from figstep.settings import Peers

_log = logbook.Logger("figstep.peers")

FETCH_TIMEOUT_SECONDS = 5.0
"""Timeout of a fetch of a checkpoint, on both sides, in seconds."""

MAX_REQUEST_BYTES = 1_024
"""Maximum size of a request for a checkpoint, in bytes."""

MAX_SERVED_FETCHES = 4
"""Maximum number of fetches that an entry serves at the same time."""

MAX_BIND_ATTEMPTS = 20
"""Maximum number of attempts to find a port that is free for both UDP and TCP."""

WILDCARD_HOSTS = ("", "0.0.0.0", "::")
"""Listen addresses to which other entries cannot send."""


class PeerEdge(Service):
    """Exchanges gossip and checkpoints with other entries; inactive without a key.

    Attributes:
        address: Own address, as "ip:port"; empty until the edge listens.
        bytes_sent: Bytes sent in datagrams and checkpoint answers.
        bytes_received: Bytes received in datagrams and checkpoint answers.
        rejected: Number of datagrams that were rejected.
    """

    def __init__(
        self,
        settings: Peers,
        incarnation: int,
        dispatch: Callable[[Event], None],
        read_record: Callable[[], dict[str, Any] | None],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._incarnation = incarnation
        self._dispatch = dispatch
        self._read_record = read_record
        self._keys = Keyring(settings.key, settings.old_key)
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._fetch: asyncio.Task[None] | None = None
        self._serving = 0
        self.address = ""
        self.bytes_sent = 0
        self.bytes_received = 0
        self.rejected = 0

    async def on_start(self) -> None:
        """Start to listen, unless no key is set.

        Raises:
            SettingsError: If the listen address is a wildcard.
            OSError: If the port cannot be bound.
        """
        if not self._settings.key:
            _log.warning(
                "peers.key is not set: this entry exchanges nothing with the others"
            )
            return
        host = self._settings.listen.host
        if host in WILDCARD_HOSTS:
            raise SettingsError(
                f"peers.listen.host: {host} is not an address that others can send"
                " to; write this instance's own"
            )
        port = await self._bind(host, self._settings.listen.port)
        self.address = f"{host}:{port}"
        self._dispatch(
            PeerListenerOpened(self.address, self._incarnation, self._settings.start)
        )

    async def _bind(self, host: str, port: int) -> int:
        """Bind UDP and TCP to the same port and return the port.

        If ``port`` is 0, the system picks a port for UDP. That port may be in use for
        TCP; in this case another one is tried.

        Raises:
            OSError: If the port cannot be bound, or no port is free for both within
                ``MAX_BIND_ATTEMPTS``.
        """
        loop = asyncio.get_running_loop()
        for attempt in range(MAX_BIND_ATTEMPTS):
            transport, _ = await loop.create_datagram_endpoint(
                lambda: _GossipProtocol(self._handle_datagram), local_addr=(host, port)
            )
            bound: int = transport.get_extra_info("sockname")[1]
            try:
                self._server = await asyncio.start_server(self._serve, host, bound)
            except OSError:
                transport.close()
                if port or attempt == MAX_BIND_ATTEMPTS - 1:
                    raise
                continue
            self._transport = transport
            return bound
        raise AssertionError("unreachable")

    async def on_stop(self) -> None:
        """Cancel a running fetch and close the UDP socket and the TCP listener."""
        if self._fetch is not None:
            self._fetch.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()

    def send(self, address: str, gossip: Gossip) -> None:
        """Send one datagram to an address, as "ip:port", while the edge listens.

        A datagram that is lost is not sent again; later ones hold newer content.
        """
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        data = self._keys.sign(MessageKind.GOSSIP, encode_gossip(gossip))
        self.bytes_sent += len(data)
        self._transport.sendto(data, (host, int(port)))

    def _handle_datagram(self, data: bytes) -> None:
        self.bytes_received += len(data)
        try:
            gossip = decode_gossip(self._keys.verify(MessageKind.GOSSIP, data))
        except PeerMessageError as error:
            self.rejected += 1
            _log.info("datagram dropped", extra={"why": str(error)})
            return
        self._dispatch(GossipReceived(gossip))

    def fetch(self, address: str) -> None:
        """Start to fetch the checkpoint of the peer at ``address``, as "ip:port".

        Nothing happens while another fetch is running. Success is dispatched as
        ``CheckpointOffered``; a failure is only logged.
        """
        if self._fetch is not None and not self._fetch.done():
            return
        loop = asyncio.get_running_loop()
        self._fetch = loop.create_task(self._fetch_checkpoint(address))

    async def _fetch_checkpoint(self, address: str) -> None:
        nonce = secrets.randbits(64)
        request = self._keys.sign(MessageKind.REQUEST, encode_request(nonce))
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_SECONDS):
                data = await _send_request(address, request)
            self.bytes_received += len(data)
            body = self._keys.verify(MessageKind.ANSWER, data)
            checkpoint = parse_checkpoint(decode_answer(body, nonce))
        except (OSError, TimeoutError, PeerMessageError, ValidationError) as error:
            # The next message of a peer with a newer document schedules another fetch.
            _log.info("checkpoint not fetched", extra={"why": str(error)})
            return
        self._dispatch(CheckpointOffered(checkpoint))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            if self._serving >= MAX_SERVED_FETCHES:
                return
            self._serving += 1
            try:
                async with asyncio.timeout(FETCH_TIMEOUT_SECONDS):
                    await self._answer(reader, writer)
            finally:
                self._serving -= 1
        except (OSError, TimeoutError, PeerMessageError) as error:
            _log.info("checkpoint not served", extra={"why": str(error)})
        finally:
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        data = await _read_to_end(reader, MAX_REQUEST_BYTES)
        nonce = decode_request(self._keys.verify(MessageKind.REQUEST, data))
        record = self._read_record()
        if record is None:
            return
        answer = self._keys.sign(MessageKind.ANSWER, encode_answer(nonce, record))
        self.bytes_sent += len(answer)
        writer.write(answer)
        await writer.drain()


async def _send_request(address: str, request: bytes) -> bytes:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        writer.write_eof()
        return await _read_to_end(reader, MAX_RECORD_BYTES)
    finally:
        writer.close()


async def _read_to_end(reader: asyncio.StreamReader, limit: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    while part := await reader.read(65_536):
        size += len(part)
        if size > limit:
            raise PeerMessageError(
                "message too long; check which process sends to this port"
            )
        parts.append(part)
    return b"".join(parts)


class _GossipProtocol(asyncio.DatagramProtocol):
    """Passes the payload of each datagram to a handler."""

    def __init__(self, handler: Callable[[bytes], None]) -> None:
        self._handler = handler

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._handler(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore an error of the socket, such as a peer's closed port.

        A peer that cannot be reached is detected by its silence.
        """
