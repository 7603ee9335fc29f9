"""Tests of the connector that distinguishes a reset from a normal close."""

import asyncio
import random
import socket
import struct
import sys
from collections.abc import AsyncIterator

import aiohttp
import pytest

from figstep.net.connectors import (
    MAX_FRAMING_BYTES,
    OpenedConnector,
    ResetAwareConnector,
)
from figstep.net.sockets import TARGET_BUFFER_BYTES
from tests.platform.endless import EndlessTarget, Form
from tests.platform.rude_servers import Answer, RudeServer

HALF_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf an ans"
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def serve(reset: bool) -> tuple[asyncio.Server, str]:
    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HALF_ANSWER)
        await writer.drain()
        await asyncio.sleep(0.05)
        if reset:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"http://{host}:{port}/"


async def read(url: str) -> bytes:
    connector = ResetAwareConnector(force_close=True)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        session.get(url) as response,
    ):
        return await response.read()


async def test_reset_in_answer_without_length_is_a_loss() -> None:
    """Guards against half an answer that the caller gets as a complete one.

    A target sends the start of an answer without a length and crashes, which resets
    the connection. The end of the connection ends such an answer, and aiohttp treats
    the reset as a normal end.
    """
    server, url = await serve(reset=True)
    async with server:
        with pytest.raises(aiohttp.ClientError):
            await read(url)


async def test_close_ends_answer_without_length() -> None:
    server, url = await serve(reset=False)
    async with server:
        assert await read(url) == b"half an ans"


@pytest.mark.parametrize("form", [Form.CHUNK_SIZE, Form.CHUNK_EXTENSION, Form.TRAILERS])
async def test_an_answer_that_makes_no_progress_is_given_up(form: Form) -> None:
    """Guards against the size of a chunk that goes on without end."""
    target = EndlessTarget(form)
    await target.start()
    with pytest.raises(aiohttp.ClientError):
        await read(f"http://{target.address}/")
    async with asyncio.timeout(3):
        while target.open:
            await asyncio.sleep(0.02)
    assert target.most_sent <= 16 * MAX_FRAMING_BYTES
    await target.stop()


@pytest.mark.parametrize(
    "answer",
    [Answer.INTERIM_ANSWERS, Answer.INTERIM_HEADERS, Answer.LARGE_HEADERS],
)
async def test_a_head_above_the_bound_is_no_lost_connection(answer: Answer) -> None:
    """Guards against an answer that may have run and counts as not received."""
    target = RudeServer(answer)
    await target.start()
    with pytest.raises(aiohttp.ClientResponseError):
        await read(f"http://{target.address}/")
    await target.stop()


@pytest.mark.parametrize("answer", [Answer.CHUNK_EXTENSIONS, Answer.TRAILERS])
async def test_framing_without_measure_beside_a_body_is_given_up(
    answer: Answer,
) -> None:
    """Guards against a byte of a body now and then that keeps endless framing going."""
    target = RudeServer(answer)
    await target.start()
    async with asyncio.timeout(3):
        with pytest.raises(aiohttp.ClientPayloadError):
            await read(f"http://{target.address}/")
    await target.stop()


@pytest.mark.parametrize(
    ("start", "unit", "end", "body"),
    [
        (CHUNKED, b"1\r\nx\r\n", b"0\r\n\r\n", b"x"),
        (CHUNKED, b"1;s=abcd\r\nx\r\n", b"0\r\nX-Sum: 1\r\n\r\n", b"x"),
        (OK + b"Content-Length: 100000\r\n\r\n", b"x", b"", b"x"),
    ],
)
async def test_a_body_of_small_pieces_is_whole(
    start: bytes, unit: bytes, end: bytes, body: bytes
) -> None:
    """Guards against a bound of the framing that cuts sound answers."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        early = b"HTTP/1.1 102 Processing\r\n\r\n" * 10
        writer.write(early + start + unit * 100_000 + end)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        assert await read(f"http://{host}:{port}/") == body * 100_000


@pytest.mark.parametrize("content", [b"x", b"whole", b"x" * 100])
async def test_small_chunks_take_little_more_than_their_content_until_they_are_read(
    content: bytes,
) -> None:
    """Guards against answers that are counted by their content and take 20 times it."""
    chunk = b"%x\r\n%s\r\n" % (len(content), content)

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(CHUNKED + chunk * (100_000 // len(chunk)))
        await reader.read()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connector = ResetAwareConnector(force_close=True)
    async with server, aiohttp.ClientSession(connector=connector) as session:
        async with session.get(f"http://{host}:{port}/") as response:
            body = response.content
            async with asyncio.timeout(3):
                while body.total_bytes < 100_000 // len(chunk) * len(content):
                    await asyncio.sleep(0.01)
            held = sum(sys.getsizeof(piece) for piece in body._buffer)
            held += sum(sys.getsizeof(end) for end in body._http_chunk_splits or ())
            assert held <= 1.5 * body.total_bytes


async def read_in_pieces(body: aiohttp.StreamReader, size: int) -> AsyncIterator[bytes]:
    """Read a body slowly, so that unread pieces pile up; 0 reads what there is."""
    while True:
        piece = await (body.read(size) if size else body.readany())
        if not piece:
            return
        yield piece
        if random.random() < 0.05:
            await asyncio.sleep(0.001)


@pytest.mark.parametrize("size", [0, 700, 16_384])
@pytest.mark.parametrize("most", [3, 300, 9_000])
async def test_a_body_in_chunks_of_any_size_comes_in_order(
    size: int, most: int
) -> None:
    """Guards against pieces that are lost or exchanged as small ones are joined."""
    rng = random.Random(size + most)
    content = rng.randbytes(200_000)
    chunked, position = bytearray(CHUNKED), 0
    while position < len(content):
        chunk = content[position : position + rng.randint(1, most)]
        chunked += b"%x\r\n%s\r\n" % (len(chunk), chunk)
        position += len(chunk)
    chunked += b"0\r\n\r\n"

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        sent = 0
        while sent < len(chunked):
            end = sent + rng.choice((1, 50, 3_000, 70_000))
            writer.write(chunked[sent:end])
            await writer.drain()
            sent = end
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connector = ResetAwareConnector(bounded=True, force_close=True)
    session = aiohttp.ClientSession(connector=connector, read_bufsize=16_384)
    async with server, session, session.get(f"http://{host}:{port}/") as response:
        pieces = [piece async for piece in read_in_pieces(response.content, size)]
    assert b"".join(pieces) == content


async def test_small_chunks_that_wait_for_their_reader_are_no_framing() -> None:
    """Guards against a sound answer that is cut as much of it came at once."""
    chunks = 45_000

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(CHUNKED + b"1\r\nx\r\n" * chunks + b"0\r\n\r\n")
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    session = aiohttp.ClientSession(
        connector=ResetAwareConnector(force_close=True), read_bufsize=16_384
    )
    async with server, session, session.get(f"http://{host}:{port}/") as response:
        await asyncio.sleep(0.1)
        assert await response.read() == b"x" * chunks


async def count_connections(requests: int, ends: bool) -> tuple[int, int]:
    """Send requests by a connector of one opened connection.

    With ``ends`` the server closes that before the first one.

    Returns:
        Number of connections that the server accepted, and of answers.
    """
    accepted = []

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        accepted.append(writer)
        if not ends:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HALF_ANSWER)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connector = OpenedConnector()
    await connector.open(host, port, 5.0)
    await asyncio.sleep(0.05)
    answers = 0
    async with server, aiohttp.ClientSession(connector=connector) as session:
        for _ in range(requests):
            try:
                async with session.get(f"http://{host}:{port}/") as response:
                    await response.read()
                    answers += 1
            except aiohttp.ClientConnectionError:
                continue
    return len(accepted), answers


@pytest.mark.parametrize(("ends", "answers"), [(False, 1), (True, 0)])
async def test_only_the_connection_that_was_opened_is_used(
    ends: bool, answers: int
) -> None:
    """Guards against a successor at the address that answers on a new connection."""
    assert await count_connections(2, ends) == (1, answers)


async def test_an_opened_connection_takes_in_no_more_than_others() -> None:
    """Guards against 256 kB of an answer that come in at once and wait unparsed."""
    writers: list[asyncio.StreamWriter] = []
    server = await asyncio.start_server(lambda _, w: writers.append(w), "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connector = OpenedConnector()
    async with server:
        await connector.open(host, port, 5.0)
        assert connector._opened is not None
        transport = connector._opened.transport
        assert transport is not None
        opened = transport.get_extra_info("socket")
        # The system reports twice what was set.
        size = opened.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        assert size <= 2 * TARGET_BUFFER_BYTES
        connector.abandon()
        await asyncio.sleep(0.01)
        for writer in writers:
            writer.close()


async def test_an_opened_connection_that_is_not_used_is_closed() -> None:
    """Guards against connections of targets that stay open for nothing."""
    closed = asyncio.Event()

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()
        closed.set()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connector = OpenedConnector()
    async with server:
        await connector.open(host, port, 5.0)
        connector.abandon()
        async with asyncio.timeout(2):
            await closed.wait()
