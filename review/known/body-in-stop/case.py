"""A request whose body arrives slowly is cut as its entry stops early."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lib"))
import stage
from stage import TROUBLE, Call, Client, Stage

WORK_SECONDS = 0.09
CONNECTED_AFTER_SECONDS = 1.5
"""Time from SIGTERM to the connection and the first half of the request, in seconds.
The platform sends new connections until two checks of readiness have failed."""

REST_AFTER_SECONDS = 1.6
"""Time from the first to the second half; a client may take `header_timeout_ms`."""

LOSS_SLACK_SECONDS = 0.2
BODY = b"one seat, " * 100


async def place_order(call: Call) -> None:
    await asyncio.sleep(WORK_SECONDS)
    await call.answer(b"booked " + call.id.encode())


async def main(case: Path) -> bool:
    place = Stage(case)
    try:
        await place.store.start()
        orders = await place.add_replica("i-app-1", "app", place_order)
        await place.start(stage.build_configuration())
        entry = place.entries[0]
        if TROUBLE:
            entry.signal(signal.SIGTERM)
        await asyncio.sleep(CONNECTED_AFTER_SECONDS)
        client = Client(place.record, "client-1")
        await client.connect(entry.front)
        head = client.encode_head("POST", "/order/1", "order-1", len(BODY), 6_000)
        half = len(BODY) // 2
        place.record.add("client-1 sends the head and the first half of order-1")
        client.writer.write(head + BODY[:half])
        await asyncio.sleep(REST_AFTER_SECONDS)
        place.record.add("client-1 sends the second half of order-1")
        client.writer.write(BODY[half:])
        sent = place.record.now()
        answer = await client.receive("order-1", 4)
        took = place.record.now() - sent
        if answer is not None:
            return answer.status in (200, 408, 429, 503)
        ran = any(run.get("Request-Id") == "order-1" for run in orders.runs)
        # A connection that is closed with unread bytes is reset; a clean end shows that
        # the entry has read the whole request.
        was_read = client.ended_cleanly
        place.record.add(
            f"order-1 ended {took * 1000:.0f} ms after its last byte without an answer;"
            f" passed on: {ran}; read whole, as the connection was not reset: {was_read}"
        )
        return not ran and not (was_read and took > LOSS_SLACK_SECONDS)
    finally:
        await place.close()


stage.run_case(main, Path(__file__).resolve().parent)
