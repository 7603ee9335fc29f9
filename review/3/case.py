"""A stream whose replica crashed is ended as complete by an entry that was frozen."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import stage
from stage import TROUBLE, Client, Stage

EVENTS = 40
INTERVAL = 0.1
FREEZE_SECONDS = 3.0
CRASH_AFTER_SECONDS = 0.5
"""Time from the freeze of the entry to the crash of the replica, in seconds."""

DOWN_SECONDS = 1.0
"""Time that the replica is down, in seconds."""

REPLICA = "i-pool-1"


class ReplicaProcess:
    """The replica's process, which keeps its id and its address."""

    def __init__(self, place: Stage, port: int) -> None:
        self.process: asyncio.subprocess.Process
        self._place = place
        self._port = port

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
            "addr": f"127.0.0.1:{self._port}",
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
    replica = ReplicaProcess(place, stage.find_ports(["127.0.0.1"], 1)[0])
    try:
        await place.store.start()
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
            entry.signal(signal.SIGSTOP)
            await asyncio.sleep(CRASH_AFTER_SECONDS)
            await replica.kill()
            place.record.add(f"{REPLICA} has crashed")
            await asyncio.sleep(DOWN_SECONDS)
            await replica.start()
            await asyncio.sleep(FREEZE_SECONDS - CRASH_AFTER_SECONDS - DOWN_SECONDS)
            entry.signal(signal.SIGCONT)
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
