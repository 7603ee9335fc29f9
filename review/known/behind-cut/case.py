"""A stream whose replica crashed behind a cut is ended as complete."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lib"))
import stage
from stage import TROUBLE, Client, Stage

EVENTS = 40
INTERVAL = 0.1
CUT_SECONDS = 2.0
CRASH_AFTER_SECONDS = 0.3
"""Time from the cut to the crash of the replica, in seconds."""

DOWN_SECONDS = 1.0
"""Time that the replica is down, in seconds."""

REPLICA = "i-pool-1"


class Link:
    """The path from the entry to the replica; while it is cut, nothing passes.

    What is held up arrives after the cut: bytes, and the end of a connection.
    """

    def __init__(self, port: int) -> None:
        self.address = ""
        self.open = asyncio.Event()
        self.open.set()
        self._port = port

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self.open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._port
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pass_on(reader, far_writer), self._pass_on(far_reader, writer)
        )

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
            await self.open.wait()
        except ConnectionResetError:
            await self.open.wait()
            writer.transport.abort()
        except ConnectionError:
            pass
        finally:
            writer.close()


class ReplicaProcess:
    """The replica's process, which keeps its id and its address."""

    def __init__(self, place: Stage, port: int, link: Link) -> None:
        self.process: asyncio.subprocess.Process
        self._place = place
        self._port = port
        self._link = link

    async def start(self) -> None:
        program = Path(stage.__file__).with_name("replica.py")
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            str(program),
            REPLICA,
            str(self._port),
            str(EVENTS),
            str(INTERVAL),
            stdout=asyncio.subprocess.PIPE,
        )
        assert self.process.stdout is not None
        born = int((await self.process.stdout.readline()).split()[1])
        self._place.record.add(f"{REPLICA} is up, born {born}")
        entry = {
            "service": "pool",
            "addr": self._link.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq": 1,
            "born": born,
        }
        await self._place.store.put(
            "keyed.servers", REPLICA, json.dumps(entry).encode()
        )

    async def kill(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def main(case: Path) -> bool:
    place = Stage(case)
    port = stage.find_ports(["127.0.0.1"], 1)[0]
    link = Link(port)
    replica = ReplicaProcess(place, port, link)
    try:
        await place.store.start()
        await link.start()
        await replica.start()
        await place.start(stage.build_configuration())
        entry = place.entries[0]
        client = Client(place.record, "client-1")
        await client.connect(entry.front)
        client.send(
            "POST",
            "/guide/1",
            "guide-1",
            b"guide",
            39_000,
            Model="m",
            Token_Count="300,160",
            Prefix_Hash="a1:100,b2:200",
        )
        receiving = asyncio.create_task(client.receive("guide-1", 20))
        await asyncio.sleep(1)
        if TROUBLE:
            link.open.clear()
            place.record.add(f"{REPLICA} is cut off from the entry")
            await asyncio.sleep(CRASH_AFTER_SECONDS)
            await replica.kill()
            place.record.add(f"{REPLICA} has crashed behind the cut")
            await asyncio.sleep(DOWN_SECONDS)
            await replica.start()
            await asyncio.sleep(CUT_SECONDS - CRASH_AFTER_SECONDS - DOWN_SECONDS)
            link.open.set()
            place.record.add("the cut has ended")
        answer = await receiving
        if answer is None:
            return True
        events = answer.body.count(b"id: ")
        place.record.add(
            f"the answer to guide-1 is complete for its client, with {events} of"
            f" {EVENTS} events"
        )
        return answer.status != 200 or events == EVENTS
    finally:
        await replica.kill()
        await place.close()


stage.run_case(main, Path(__file__).resolve().parent)
