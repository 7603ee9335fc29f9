"""A body that its client compressed reaches the replica as other bytes."""

import asyncio
import gzip
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lib"))
import stage
from stage import TROUBLE, Call, Client, Stage

TEXT = b'{"seat": "group 1", "days": 3}' * 40


async def place_order(call: Call) -> None:
    await call.answer(b"booked")


async def main(case: Path) -> bool:
    place = Stage(case)
    try:
        await place.store.start()
        orders = await place.add_replica("i-app-1", "app", place_order)
        await place.start(stage.build_configuration())
        client = Client(place.record, "client-1")
        await client.connect(place.entries[0].front)
        body = gzip.compress(TEXT) if TROUBLE else TEXT
        extra = {"Content_Encoding": "gzip"} if TROUBLE else {}
        client.send("POST", "/order/1", "order-1", body, **extra)
        await client.receive("order-1", 4)
        if not orders.runs:
            place.record.add("the order did not run")
            return True
        held = True
        for run in orders.runs:
            same = run.body == body
            place.record.add(
                f"the client sent {len(body)} bytes, the replica got {len(run.body)},"
                f" Content-Encoding {run.get('Content-Encoding')!r}, the same: {same}"
            )
            held = held and same
        return held
    finally:
        await place.close()


stage.run_case(main, Path(__file__).resolve().parent)
