"""Fault-injecting proxy between a client and a target, over TCP and UDP.

A fault that is set applies to every connection, open or new, until it is
cleared. ``LoseAnswers`` and ``CutAfter`` clear themselves once their ``count`` is
used up. ``freeze``, ``cut`` and ``half_open`` affect only the connections that
are open at that moment; connections opened later work.

A connection that is cut is reset: data in the write buffer is discarded, and the peer
sees an error.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import Any

import orjson
from aiohttp import web

from figstep.net.sockets import reset_on_close
from figstep.standins.http import answer_json

CHUNK_BYTES = 65_536
"""Maximum number of bytes read from a connection at once."""


class Direction(Enum):
    """Direction in which bytes are relayed."""

    TO_TARGET = "to_target"
    TO_CLIENT = "to_client"


@dataclass(frozen=True, slots=True)
class Delay:
    """Fault that delays each chunk or datagram by ``seconds``.

    The chunks of a connection in one direction are relayed one after the other, so
    their delays add up. Datagrams are delayed independently.
    """

    seconds: float


@dataclass(frozen=True, slots=True)
class Stall:
    """Fault that relays nothing in either direction and keeps connections open.

    Over TCP, the data is relayed when the fault is cleared; datagrams are dropped.
    """


@dataclass(frozen=True, slots=True)
class Lose:
    """Fault that drops all data sent in one direction.

    A TCP connection that lost data delivers nothing more in this direction, not even
    its end, as the receiver waits for the lost data. It is reset when the fault is
    cleared and its sender has ended.
    """

    direction: Direction


@dataclass(frozen=True, slots=True)
class Drip:
    """Fault that relays data to the client in pieces of at most ``size`` bytes.

    Each piece is followed by a pause of ``seconds``. Data to the target is not
    affected.
    """

    size: int
    seconds: float


@dataclass(frozen=True, slots=True)
class LoseAnswers:
    """Fault that relays requests but resets both connections instead of answering.

    Attributes:
        count: Number of answers to lose; then the fault clears itself.
        prefix: Bytes that the last chunk from the client must begin with for the
            answer to be lost.
    """

    count: int = 1
    prefix: bytes = b""


@dataclass(frozen=True, slots=True)
class CutAfter:
    """Fault that closes a connection once ``size`` bytes were sent to the client.

    The client's connection is closed normally and the target's is reset.

    Attributes:
        size: Number of bytes that the client receives in total, counted from the
            start of the connection.
        count: Number of connections to close; then the fault clears itself.
    """

    size: int
    count: int = 1


Fault = Delay | Stall | Lose | Drip | LoseAnswers | CutAfter


def parse_fault(document: dict[str, Any]) -> Fault:
    """Return the fault that a JSON object describes.

    Raises:
        ValueError: If the kind or the direction of the fault is unknown, or a member
            that the kind requires is missing.
    """
    match document:
        case {"kind": "delay", "seconds": seconds}:
            return Delay(seconds)
        case {"kind": "stall"}:
            return Stall()
        case {"kind": "lose", "direction": direction}:
            return Lose(Direction(direction))
        case {"kind": "drip", "size": size, "seconds": seconds}:
            return Drip(size, seconds)
        case {"kind": "lose_answers"}:
            prefix = document.get("prefix", "").encode()
            return LoseAnswers(document.get("count", 1), prefix)
        case {"kind": "cut_after", "size": size}:
            return CutAfter(size, document.get("count", 1))
    raise ValueError(f"unknown fault {document!r}; see figstep.standins.proxy")


class _Link:
    """A client's connection and the matching connection to the target."""

    def __init__(
        self, client: asyncio.StreamWriter, target: asyncio.StreamWriter
    ) -> None:
        self.client = client
        self.target = target
        self.frozen = False
        self.lost: set[Direction] = set()
        self.bytes_to_client = 0
        self.request = b""
        self.first_request = b""

    def cut(self) -> None:
        """Reset the connections to the client and to the target."""
        for writer in (self.client, self.target):
            reset_on_close(writer.transport)
            writer.transport.abort()


class TcpProxy:
    """Relays TCP connections to one target.

    Attributes:
        fault: Fault in force, or None.
        address: ``host:port`` that clients connect to.
        accepted: Connections accepted so far.
    """

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._fault_cleared = asyncio.Event()
        self._port = 0
        self.fault: Fault | None = None
        self.address = ""
        self.accepted = 0

    def choose_target(self) -> tuple[str, int] | None:
        """Return host and port for a new connection; None to reset the connection."""
        return self._target

    @property
    def url(self) -> str:
        """Base URL of the proxy, for targets that serve HTTP."""
        return f"http://{self.address}"

    @property
    def open_connections(self) -> int:
        """Number of open connections of clients, including frozen ones."""
        return len(self._links)

    def list_first_requests(self) -> list[bytes]:
        """Return the first bytes that each open connection's client has sent."""
        return [link.first_request for link in self._links]

    async def start(self, port: int = 0) -> None:
        """Listen on the loopback interface; port 0 selects a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"

    async def refuse(self) -> None:
        """Stop listening: new connections are refused, open ones are still relayed."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def accept_again(self) -> None:
        """Listen again on the same port; nothing changes if it still listens."""
        if self._server is None:
            await self.start(self._port)

    async def stop(self) -> None:
        """Close the listener and every connection."""
        await self.refuse()
        self.cut()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_fault(self, fault: Fault) -> None:
        """Apply a fault to all connections until it is cleared."""
        self.fault = fault

    def clear_fault(self) -> None:
        """Clear the fault and relay the data that a ``Stall`` held back.

        Frozen connections stay frozen.
        """
        self.fault = None
        self._fault_cleared.set()
        self._fault_cleared = asyncio.Event()

    def freeze(self) -> int:
        """Stop relaying on the open connections without closing them.

        Frozen connections cannot be thawed; ``cut`` and ``stop`` reset them.

        Returns:
            Number of open connections, including those that were already frozen.
        """
        for link in self._links:
            link.frozen = True
        return len(self._links)

    def cut(self) -> int:
        """Reset the open connections and return their number."""
        links = list(self._links)
        for link in links:
            link.cut()
        return len(links)

    def half_open(self) -> int:
        """Reset the connections to the target but keep those of the clients open.

        Nothing is relayed on the clients' connections any longer.

        Returns:
            Number of open connections.
        """
        for link in self._links:
            link.frozen = True
            link.target.transport.abort()
        return len(self._links)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.accepted += 1
        target = self.choose_target()
        try:
            if target is None:
                raise ConnectionRefusedError
            target_reader, target_writer = await asyncio.open_connection(*target)
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writer, target_writer)
        self._links.add(link)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(link, reader, Direction.TO_TARGET))
                group.create_task(self._pump(link, target_reader, Direction.TO_CLIENT))
        except asyncio.CancelledError:
            # Only ``stop`` cancels this task. The asyncio server would log the
            # exception if this method raised it again.
            link.cut()
        finally:
            self._links.discard(link)
            # A reset would discard the data that is still in the socket buffers.
            writer.close()
            target_writer.close()

    async def _pump(
        self, link: _Link, reader: asyncio.StreamReader, direction: Direction
    ) -> None:
        to_target = direction is Direction.TO_TARGET
        writer = link.target if to_target else link.client
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if to_target:
                    link.request = chunk
                    link.first_request = link.first_request or chunk
                await self._relay(link, writer, chunk, direction)
            await self._hold_stalled(link)
            if direction in link.lost:
                if self.fault is not None:
                    await self._fault_cleared.wait()
                link.cut()
            elif writer.can_write_eof():
                writer.write_eof()
        except OSError:
            await self._hold_stalled(link)
            link.cut()

    async def _relay(
        self,
        link: _Link,
        writer: asyncio.StreamWriter,
        chunk: bytes,
        direction: Direction,
    ) -> None:
        await self._hold_stalled(link)
        if direction in link.lost:
            return
        to_client = direction is Direction.TO_CLIENT
        match self.fault:
            case Delay(seconds=seconds):
                await asyncio.sleep(seconds)
            case Lose(direction=lost) if lost is direction:
                link.lost.add(direction)
                return
            case Drip(size=size, seconds=seconds) if to_client:
                for start in range(0, len(chunk), size):
                    writer.write(chunk[start : start + size])
                    await asyncio.sleep(seconds)
                return
            case LoseAnswers(count=count, prefix=prefix) if to_client:
                if link.request.startswith(prefix):
                    self.fault = LoseAnswers(count - 1, prefix) if count > 1 else None
                    link.cut()
                    return
            case CutAfter(size=size, count=count) if to_client:
                if link.bytes_to_client + len(chunk) >= size:
                    writer.write(chunk[: size - link.bytes_to_client])
                    await writer.drain()
                    self.fault = CutAfter(size, count - 1) if count > 1 else None
                    link.client.close()
                    link.target.transport.abort()
                    return
        if to_client:
            link.bytes_to_client += len(chunk)
        writer.write(chunk)
        await writer.drain()

    async def _hold_stalled(self, link: _Link) -> None:
        while link.frozen or isinstance(self.fault, Stall):
            await self._fault_cleared.wait()


class UdpProxy:
    """Relays datagrams to one target and the answers to the clients.

    The faults ``Delay``, ``Stall`` and ``Lose`` are supported; others are ignored.

    Attributes:
        fault: Fault in force, or None.
        address: ``host:port`` that clients send to.
    """

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self._listener: asyncio.DatagramTransport | None = None
        self._target_transports: dict[tuple[str, int], asyncio.DatagramTransport] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.fault: Fault | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        loop = asyncio.get_running_loop()
        self._listener, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._handle_datagram), local_addr=("127.0.0.1", 0)
        )
        host, port = self._listener.get_extra_info("sockname")
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Cancel pending deliveries and close every socket."""
        for task in self._tasks:
            task.cancel()
        for transport in self._target_transports.values():
            transport.close()
        if self._listener is not None:
            self._listener.close()

    def _handle_datagram(self, data: bytes, client: tuple[str, int]) -> None:
        self._start(self._send_to_target(data, client))

    def _start(self, work) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_to_target(self, data: bytes, client: tuple[str, int]) -> None:
        if client not in self._target_transports:
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                lambda: _Receiver(
                    lambda answer, _: self._start(self._send_to_client(answer, client))
                ),
                remote_addr=self._target,
            )
            self._target_transports[client] = transport
        if await self._apply_fault(Direction.TO_TARGET):
            self._target_transports[client].sendto(data)

    async def _send_to_client(self, data: bytes, client: tuple[str, int]) -> None:
        if await self._apply_fault(Direction.TO_CLIENT) and self._listener is not None:
            self._listener.sendto(data, client)

    async def _apply_fault(self, direction: Direction) -> bool:
        match self.fault:
            case Delay(seconds=seconds):
                await asyncio.sleep(seconds)
                return True
            case Lose(direction=lost):
                return lost is not direction
            case Stall():
                return False
        return True


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, handler) -> None:  # type: ignore[no-untyped-def]
        self._handler = handler

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._handler(data, addr)


def build_control(proxy: TcpProxy) -> web.Application:
    """Return the HTTP application that controls a proxy in a process of its own.

    ``PUT /standin/fault`` sets the fault that ``parse_fault`` reads from the JSON body,
    and ``DELETE /standin/fault`` clears the fault. ``POST /standin/strike/KIND`` calls
    ``freeze``, ``cut`` or ``half_open`` and returns the number of open connections as
    ``struck``.
    """

    async def set_fault(request: web.Request) -> web.Response:
        proxy.set_fault(parse_fault(orjson.loads(await request.read())))
        return answer_json({})

    async def clear_fault(request: web.Request) -> web.Response:
        proxy.clear_fault()
        return answer_json({})

    async def inject_fault(request: web.Request) -> web.Response:
        actions = {
            "freeze": proxy.freeze,
            "cut": proxy.cut,
            "half_open": proxy.half_open,
        }
        return answer_json({"struck": actions[request.match_info["kind"]]()})

    app = web.Application()
    app.router.add_put("/standin/fault", set_fault)
    app.router.add_delete("/standin/fault", clear_fault)
    app.router.add_post("/standin/strike/{kind}", inject_fault)
    return app
