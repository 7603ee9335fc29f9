"""Faulty proxies before targets."""

import asyncio
import random
from collections import Counter

from figstep.net.sockets import reset_on_close
from tests.ports import HOST

MAX_PIECE_BYTES = 500
"""Largest number of bytes that are handed out at once."""

PIECE_PAUSE = 0.001
"""Time between two pieces, in seconds."""

FAULT_SHARE = 0.1
"""Share of the connections at which something happens if they get so far."""

FAULTS = ("close", "reset", "stall", "hold")
"""What happens: a close in order, a reset, a pause, or silence for good."""

OFFSET_RANGE = (0.5, 4.3)
"""Powers of ten of the byte at which it happens; answers have 600 to 25,000 bytes."""

STALL_RANGE = (0.3, 3.0)
"""Shortest and longest pause, in seconds."""


class FaultyProxy:
    """Relays to one target; hands answers out in pieces and breaks some connections.

    Attributes:
        address: "ip:port" at which it listens.
        calm: Whether it breaks none any longer.
        counts: What happened, and how often.
    """

    def __init__(self, port: int, rng: random.Random) -> None:
        self.address = ""
        self.calm = False
        self.counts: Counter[str] = Counter()
        self._port = port
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening, and close all connections."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The server would log the end of a task of its own that is cancelled.
        task = asyncio.create_task(self._relay(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        resets = True
        try:
            answers, requests = await asyncio.open_connection(HOST, self._port)
        except OSError:
            _close(writer, resets)
            return
        parts = [
            asyncio.create_task(self._send_on(reader, requests)),
            asyncio.create_task(self._hand_out(answers, writer)),
        ]
        try:
            done, _ = await asyncio.wait(parts, return_when=asyncio.FIRST_COMPLETED)
            resets = any(part.exception() is not None for part in done)
        finally:
            for part in parts:
                part.cancel()
            await asyncio.gather(*parts, return_exceptions=True)
            _close(writer, resets)
            _close(requests, False)

    async def _send_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while chunk := await reader.read(1 << 16):
            writer.write(chunk)
            await writer.drain()

    async def _hand_out(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        left = 0
        if self._rng.random() < FAULT_SHARE:
            left = int(10 ** self._rng.uniform(*OFFSET_RANGE))
        while piece := await reader.read(self._rng.randint(1, MAX_PIECE_BYTES)):
            breaks = 0 < left <= len(piece) and not self.calm
            writer.write(piece[:left] if breaks else piece)
            await writer.drain()
            if breaks and await self._break():
                return
            writer.write(piece[left:] if breaks else b"")
            left = max(0, left - len(piece))
            await asyncio.sleep(PIECE_PAUSE)

    async def _break(self) -> bool:
        """Let something happen to a connection; return whether to close it."""
        fault = self._rng.choice(FAULTS)
        self.counts[fault] += 1
        match fault:
            case "reset":
                raise ConnectionResetError("reset by the proxy")
            case "stall":
                await asyncio.sleep(self._rng.uniform(*STALL_RANGE))
            case "hold":
                # The other direction ends this one as the client leaves.
                await asyncio.Event().wait()
        return fault == "close"


def _close(writer: asyncio.StreamWriter, resets: bool) -> None:
    if resets:
        reset_on_close(writer.transport)
    writer.close()
