"""Requests on kept connections are passed on while their entry stops, and are cut."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lib"))
import stage
from stage import TROUBLE, Call, Client, Stage

ORDER_SECONDS = 0.9
"""Work of an order at a replica whose slots are taken: its run and its place in the
queue. The order's route and client wait for three seconds."""

REPLY_SECONDS = 1.1
"""Time until the first event of a short stream; the objective is 1.5 seconds."""

REPLY_AFTER_SECONDS = 6.5
ORDER_AFTER_SECONDS = 6.7
"""Times from SIGTERM to the requests, in seconds. The grace time is 8 s."""


async def write_guide(call: Call) -> None:
    await call.begin_stream()
    for index in range(1, 131):
        await call.send_event(index)
        await asyncio.sleep(0.1)
    await call.end_stream()


async def write_reply(call: Call) -> None:
    await call.begin_stream()
    await asyncio.sleep(REPLY_SECONDS)
    for index in range(1, 5):
        await call.send_event(index)
        await asyncio.sleep(0.03)
    await call.end_stream()


async def generate(call: Call) -> None:
    if call.id.startswith("guide"):
        await write_guide(call)
    else:
        await write_reply(call)


async def place_order(call: Call) -> None:
    await asyncio.sleep(0.09 if call.id.startswith("order-1") else ORDER_SECONDS)
    await call.answer(b"booked " + call.id.encode())


def describe_prompt(part: str) -> dict[str, str]:
    return {
        "Model": "m",
        "Token_Count": "300,600",
        "Prefix_Hash": f"a1:100,{part}:200",
    }


async def main(case: Path) -> bool:
    place = Stage(case)
    try:
        await place.store.start()
        pool = await place.add_replica("i-pool-1", "pool", generate)
        app = await place.add_replica("i-app-1", "app", place_order)
        await place.start(stage.build_configuration())
        entry = place.entries[0]
        clients = [Client(place.record, f"client-{number}") for number in (1, 2, 3)]
        for client in clients:
            await client.connect(entry.front)
        long_reader, second, third = clients
        long_reader.send(
            "POST", "/guide/1", "guide-1", b"guide", 39_000, **describe_prompt("b1")
        )
        # Both connections are in use before the stop; then they are kept open.
        for client, name in ((second, "order-1"), (third, "order-1b")):
            client.send("POST", "/order/1", name, b"one seat")
            first = await client.receive(name, 3)
            if first is None or first.status != 200:
                raise stage.CannotRunError("an order was not answered before the stop")
        if TROUBLE:
            entry.signal(signal.SIGTERM)
        reply = asyncio.create_task(
            ask(
                third,
                REPLY_AFTER_SECONDS,
                ("POST", "/reply/1", "reply-1", b"question", 6_000),
                describe_prompt("b2"),
            )
        )
        order = asyncio.create_task(
            ask(
                second,
                ORDER_AFTER_SECONDS,
                ("POST", "/order/1", "order-2", b"another seat", 3_000),
                {},
            )
        )
        answered = {"reply-1": await reply, "order-2": await order}
        ran = {run.get("Request-Id") for run in [*pool.runs, *app.runs]}
        held = True
        for name, has_answer in answered.items():
            if name in ran and not has_answer:
                place.record.add(f"{name} was passed on to a replica and has no answer")
                held = False
        return held
    finally:
        await place.close()


async def ask(
    client: Client,
    delay: float,
    request: tuple[str, str, str, bytes, int],
    headers: dict[str, str],
) -> bool:
    """Send a request after a delay; return whether it got a complete answer."""
    await asyncio.sleep(delay)
    try:
        client.send(*request, **headers)
    except ConnectionError:
        return False
    return await client.receive(request[2], 4) is not None


stage.run_case(main, Path(__file__).resolve().parent)
