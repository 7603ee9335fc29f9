"""Tests of the faults of the proxy, as observed by the client and the target."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import aiohttp
import pytest

from figstep.standins.proxy import (
    CutAfter,
    Delay,
    Direction,
    Drip,
    Lose,
    LoseAnswers,
    Stall,
    TcpProxy,
    UdpProxy,
)
from tests.processes import run_figstep

TIMEOUT_SECONDS = 30
SHORT_WAIT_SECONDS = 0.2


class EchoServer:
    """Echo server that records the received lines."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.closed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while line := await reader.readline():
                self.lines.append(line)
                writer.write(line)
        self.closed.set()
        writer.close()


@asynccontextmanager
async def run_echo() -> AsyncIterator[tuple[TcpProxy, EchoServer]]:
    echo = EchoServer()
    server = await asyncio.start_server(echo.serve, "127.0.0.1", 0)
    proxy = TcpProxy(*server.sockets[0].getsockname())
    await proxy.start()
    try:
        yield proxy, echo
    finally:
        await proxy.stop()
        server.close()


class Client:
    """One connection through the proxy."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, proxy: TcpProxy) -> "Client":
        host, port = proxy.address.split(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def send_line(
        self, line: bytes, wait: float = TIMEOUT_SECONDS
    ) -> bytes | None:
        """Send a line and return the answer.

        Returns:
            The answer, b"" if the connection is closed, or None if nothing is
            received for ``wait`` seconds.
        """
        self.writer.write(line)
        try:
            return await asyncio.wait_for(self.reader.readline(), wait)
        except TimeoutError:
            return None
        except OSError:
            return b""


async def test_passes_bytes_where_no_fault_is_set() -> None:
    async with run_echo() as (proxy, echo):
        client = await Client.connect(proxy)
        assert await client.send_line(b"one\n") == b"one\n"
        client.writer.close()
        await asyncio.wait_for(echo.closed.wait(), TIMEOUT_SECONDS)


@pytest.mark.parametrize("fault", [Delay(SHORT_WAIT_SECONDS), Drip(1, 0.01)])
async def test_slow_faults_lose_nothing(fault: Delay | Drip) -> None:
    async with run_echo() as (proxy, _):
        client = await Client.connect(proxy)
        proxy.set_fault(fault)
        assert await client.send_line(b"slow\n") == b"slow\n"


async def test_stall_holds_bytes_until_lifted() -> None:
    async with run_echo() as (proxy, echo):
        client = await Client.connect(proxy)
        assert await client.send_line(b"one\n") == b"one\n"
        proxy.set_fault(Stall())
        assert await client.send_line(b"two\n", SHORT_WAIT_SECONDS) is None
        assert echo.lines == [b"one\n"]
        proxy.clear_fault()
        assert (
            await asyncio.wait_for(client.reader.readline(), TIMEOUT_SECONDS)
            == b"two\n"
        )


@pytest.mark.parametrize("fault", ["freeze", "half_open"])
async def test_open_connections_are_silent_for_good_while_new_ones_work(
    fault: str,
) -> None:
    async with run_echo() as (proxy, echo):
        old = await Client.connect(proxy)
        assert await old.send_line(b"one\n") == b"one\n"
        assert getattr(proxy, fault)() == 1
        proxy.clear_fault()
        assert await old.send_line(b"two\n", SHORT_WAIT_SECONDS) is None
        new = await Client.connect(proxy)
        assert await new.send_line(b"three\n") == b"three\n"
        assert b"two\n" not in echo.lines
        assert echo.closed.is_set() is (fault == "half_open")


async def test_a_proxy_that_still_listens_may_be_told_to_accept_again() -> None:
    """Guards against a soak that ends as a link heals that was not cut yet."""
    async with run_echo() as (proxy, _):
        await proxy.accept_again()
        client = await Client.connect(proxy)
        assert await client.send_line(b"one\n") == b"one\n"


async def test_cut_resets_and_refuse_rejects_new_connections() -> None:
    async with run_echo() as (proxy, _):
        client = await Client.connect(proxy)
        assert await client.send_line(b"one\n") == b"one\n"
        await proxy.refuse()
        with pytest.raises(ConnectionRefusedError):
            await Client.connect(proxy)
        assert await client.send_line(b"two\n") == b"two\n"
        assert proxy.cut() == 1
        assert await client.send_line(b"three\n") == b""
        await proxy.accept_again()
        assert await (await Client.connect(proxy)).send_line(b"four\n") == b"four\n"


@pytest.mark.parametrize(
    ("direction", "taken"),
    [(Direction.TO_TARGET, []), (Direction.TO_CLIENT, [b"lost\n"])],
)
async def test_one_way_loss(direction: Direction, taken: list[bytes]) -> None:
    async with run_echo() as (proxy, echo):
        client = await Client.connect(proxy)
        proxy.set_fault(Lose(direction))
        assert await client.send_line(b"lost\n", SHORT_WAIT_SECONDS) is None
        assert echo.lines == taken


async def test_request_with_a_lost_answer_takes_effect() -> None:
    async with run_echo() as (proxy, echo):
        proxy.set_fault(LoseAnswers(1, prefix=b"append"))
        client = await Client.connect(proxy)
        assert await client.send_line(b"read\n") == b"read\n"
        assert await client.send_line(b"append\n") == b""
        assert echo.lines == [b"read\n", b"append\n"]
        assert await (await Client.connect(proxy)).send_line(b"append\n") == b"append\n"


async def test_connection_is_closed_after_the_given_bytes() -> None:
    async with run_echo() as (proxy, _):
        proxy.set_fault(CutAfter(6))
        client = await Client.connect(proxy)
        assert await client.send_line(b"one\n") == b"one\n"
        assert await client.send_line(b"two\n") == b"tw"
        assert await (await Client.connect(proxy)).send_line(b"three\n") == b"three\n"


class DatagramQueue(asyncio.DatagramProtocol):
    """Queues received datagrams and, with ``echo``, sends them back."""

    def __init__(self, echo: bool) -> None:
        self.echo = echo
        self.received: asyncio.Queue[bytes] = asyncio.Queue()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.received.put_nowait(data)
        if self.echo:
            self.transport.sendto(data, addr)  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    ("fault", "answered", "taken"),
    [
        (None, True, True),
        (Delay(0.01), True, True),
        (Lose(Direction.TO_CLIENT), False, True),
        (Lose(Direction.TO_TARGET), False, False),
        (Stall(), False, False),
    ],
)
async def test_datagrams(fault: Delay | None, answered: bool, taken: bool) -> None:
    loop = asyncio.get_running_loop()
    listener, server = await loop.create_datagram_endpoint(
        lambda: DatagramQueue(True), local_addr=("127.0.0.1", 0)
    )
    proxy = UdpProxy(*listener.get_extra_info("sockname"))
    await proxy.start()
    host, port = proxy.address.split(":")
    sender, client = await loop.create_datagram_endpoint(
        lambda: DatagramQueue(False), remote_addr=(host, int(port))
    )
    proxy.fault = fault
    sender.sendto(b"hello")
    ends = [(server.received, taken), (client.received, answered)]
    for queue, expected in ends:
        if expected:
            assert await asyncio.wait_for(queue.get(), TIMEOUT_SECONDS) == b"hello"
            continue
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(queue.get(), SHORT_WAIT_SECONDS)
    for transport in (listener, sender):
        transport.close()
    await proxy.stop()


async def test_runs_as_a_process_under_http_control() -> None:
    echo = EchoServer()
    server = await asyncio.start_server(echo.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with (
        run_figstep("standin", "proxy", "--name", f"{host}:{port}") as running,
        aiohttp.ClientSession(running.words[2]) as control,
    ):
        address = running.url.removeprefix("http://").split(":")
        client = Client(*await asyncio.open_connection(*address))
        assert await client.send_line(b"one\n") == b"one\n"
        fault = {"kind": "lose", "direction": "to_target"}
        await control.put("/standin/fault", json=fault)
        assert await client.send_line(b"two\n", SHORT_WAIT_SECONDS) is None
        await control.delete("/standin/fault")
        await control.post("/standin/strike/cut")
        assert await client.send_line(b"three\n") == b""
    server.close()


async def test_a_connection_that_lost_data_does_not_end_normally() -> None:
    """Guards against a link that drops data and yet delivers the end after it."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b"all of it")
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    proxy = TcpProxy(*server.sockets[0].getsockname()[:2])
    await proxy.start()
    proxy.set_fault(Lose(Direction.TO_CLIENT))
    host, _, port = proxy.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    reading = asyncio.create_task(reader.read())
    await asyncio.sleep(0.2)
    assert not reading.done()
    proxy.clear_fault()
    with pytest.raises(ConnectionResetError):
        await reading
    writer.close()
    await proxy.stop()
    server.close()
