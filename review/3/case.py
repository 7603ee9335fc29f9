"""A stream goes on at another engine while the one before works on it."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import stage
from engine import Engine
from stage import TROUBLE, Client, Stage

EVENTS = 80
INTERVAL_SECONDS = 0.1
STREAMS = 3
OVERLAP_SECONDS = 0.4


async def main(case: Path) -> bool:
    place = Stage(case)
    record = place.record
    try:
        await place.store.start()
        engines = [
            Engine(record, f"i-pool-{n}", EVENTS, INTERVAL_SECONDS, drops=False)
            for n in (1, 2)
        ]
        for engine in engines:
            await engine.start(place.store)
        await place.start(stage.build_configuration())
        clients = [Client(record, f"client-{n}") for n in range(1, STREAMS + 1)]
        for client in clients:
            await client.connect(place.entries[0].front)
            client.send(
                "POST",
                "/guide/1",
                f"guide-{client.name}",
                b"x",
                39_000,
                Model="m",
                Token_Count="200,400",
                Prefix_Hash=f"aa:100,{client.name[-1]}b:100",
            )
        answers = asyncio.gather(
            *(client.receive(f"guide-{client.name}", 20) for client in clients)
        )
        await asyncio.sleep(2)
        leaving = max(engines, key=lambda engine: len(engine.open_runs))
        other = engines[1 - engines.index(leaving)]
        if TROUBLE:
            leaving.draining = time.monotonic()
            await leaving.register(place.store, "draining")
            record.add(f"the store accepts that {leaving.id} is draining")
        await answers
        await asyncio.sleep(1)
        longest = 0.0
        for name, at in other.began.items():
            if name in leaving.worked:
                overlap = leaving.worked[name] - at
                longest = max(longest, overlap)
                record.add(
                    f"{leaving.id} worked on {name} until {overlap:.2f} s after"
                    f" {other.id} had begun to go on with it"
                )
        record.add(f"longest overlap {longest:.2f} s, allowed {OVERLAP_SECONDS} s")
        return longest <= OVERLAP_SECONDS
    finally:
        await place.close()


stage.run_case(main, Path(__file__).resolve().parent)
