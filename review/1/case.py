"""A stream goes on from the memory of another request after its engine restarted."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import stage
from engine import Engine
from stage import TROUBLE, Client, Stage

EVENTS = 120
INTERVAL_SECONDS = 0.1
FREEZE_SECONDS = 3.5
DOWN_SECONDS = 1.0
STREAMS_AFTER = 4


def send_stream(client: Client, name: str) -> None:
    client.send(
        "POST",
        "/guide/1",
        name,
        b"x",
        39_000,
        Model="m",
        Token_Count="200,600",
        Length_Hint="600",
        Prefix_Hash=f"aa:100,b{name[-1]}:100",
    )


async def main(case: Path) -> bool:
    place = Stage(case, 2)
    record = place.record
    try:
        await place.store.start()
        engines = [
            Engine(record, f"i-pool-{n}", EVENTS, INTERVAL_SECONDS) for n in (1, 2)
        ]
        for engine in engines:
            await engine.start(place.store)
        await place.start(stage.build_configuration())
        first = Client(record, "client-1")
        await first.connect(place.entries[0].front)
        send_stream(first, "guide-1")
        names = ["guide-1"]
        answers = [asyncio.ensure_future(first.receive("guide-1", 30))]
        await asyncio.sleep(1)
        source = next(engine for engine in engines if "guide-1" in engine.open_runs)
        record.add(f"copies of {source.id}: {source.handles}")
        if TROUBLE:
            place.entries[0].signal(signal.SIGSTOP)
            await source.crash(place.store, DOWN_SECONDS)
            await asyncio.sleep(0.5)
        for number in range(2, 2 + STREAMS_AFTER):
            client = Client(record, f"client-{number}")
            await client.connect(place.entries[1].front)
            send_stream(client, f"guide-{number}")
            names.append(f"guide-{number}")
            answers.append(asyncio.ensure_future(client.receive(names[-1], 30)))
            await asyncio.sleep(0.1)
        if TROUBLE:
            passed = DOWN_SECONDS + 0.5 + 0.1 * STREAMS_AFTER
            await asyncio.sleep(FREEZE_SECONDS - passed)
            record.add(f"copies of {source.id}: {source.handles}")
            place.entries[0].signal(signal.SIGCONT)
        held = True
        for name, answer in zip(names, await asyncio.gather(*answers), strict=True):
            body = b"" if answer is None else answer.body
            written = {
                line.split()[1].decode()
                for line in body.splitlines()
                if line.startswith(b"data: ")
            }
            record.add(f"events of the answer to {name} were written for {written}")
            held = held and written <= {name}
        for engine in engines:
            for name, memory in engine.went_on.items():
                if memory != name:
                    record.add(f"{engine.id} went on with {name} from {memory}")
                    held = False
        return held
    finally:
        await place.close()


stage.run_case(main, Path(__file__).resolve().parent)
