"""Entries that are restarted in turn repeat more requests than the budget allows."""

import asyncio
import itertools
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lib"))
import stage
from stage import TROUBLE, Call, Client, Entry, Stage

ENTRIES = 8
STOPPED = 4
GAP_SECONDS = 1.3
RATIO, EXTRA, WINDOW_SECONDS = 0.2, 54, 10.0
WORKERS = 12
WORK_SECONDS = 0.45
THINK_SECONDS = 0.6


async def work(call: Call) -> None:
    await asyncio.sleep(WORK_SECONDS)
    await call.answer(b"done")


class Balancer:
    """The platform: two readiness checks without a 200 take an entry out."""

    def __init__(self, place: Stage) -> None:
        self._place = place
        self._misses = {entry.name: 0 for entry in place.entries}

    async def run(self) -> None:
        while True:
            answers = await asyncio.gather(
                *(entry.is_ready() for entry in self._place.entries)
            )
            for entry, ready in zip(self._place.entries, answers, strict=True):
                self._misses[entry.name] = 0 if ready else self._misses[entry.name] + 1
            await asyncio.sleep(1)

    def choose(self) -> Entry:
        """Return the entry of the one client: its hash gives the order."""
        for entry in self._place.entries:
            if self._misses[entry.name] < 2:
                return entry
        return self._place.entries[0]


class Load:
    """One busy client, whose connections all go to one entry."""

    def __init__(self, place: Stage, balancer: Balancer) -> None:
        self._place = place
        self._balancer = balancer
        self._numbers = itertools.count(1)
        self.stop = False
        self.sent: list[float] = []
        self.statuses: dict[int, int] = {}

    async def run(self) -> None:
        client: Client | None = None
        entry: Entry | None = None
        while not self.stop:
            chosen = self._balancer.choose()
            if client is None or entry is not chosen:
                if client is not None:
                    client.close()
                client, entry = Client(self._place.record, "client"), chosen
                try:
                    await client.connect(entry.front)
                except OSError:
                    client = None
                    await asyncio.sleep(0.2)
                    continue
            name = f"read-{next(self._numbers)}"
            self.sent.append(time.monotonic())
            client.send("GET", "/read/1", name)
            answer = await client.receive(name, 4)
            status = 0 if answer is None else answer.status
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if answer is None or answer.get("Connection") == "close":
                client.close()
                client = None
            pause = float(answer.get("Retry-After") or 0) if answer else 0.0
            await asyncio.sleep(max(THINK_SECONDS, min(1.0, pause)))


def check_budget(place: Stage, load: Load) -> tuple[int, float, float]:
    """Return the repeats, the bound and the excess of the worst window."""
    arrivals = sorted(one for replica in place.replicas for one in replica.arrivals)
    seen: set[str] = set()
    repeats = []
    for at, name in arrivals:
        if name in seen:
            repeats.append(at)
        seen.add(name)
    worst = (0, float(EXTRA), float(-EXTRA))
    for end in repeats:
        begin = end - WINDOW_SECONDS
        count = sum(begin < at <= end for at in repeats)
        requests = max(
            sum(begin - shift < at <= end - shift for at in load.sent)
            for shift in (0.0, WINDOW_SECONDS, WINDOW_SECONDS / 2)
        )
        bound = RATIO * requests + EXTRA
        if count - bound > worst[2]:
            worst = (count, bound, count - bound)
    return worst


async def restart(place: Stage, entry: Entry) -> None:
    entry.signal(signal.SIGTERM)
    assert entry.process is not None
    await entry.process.wait()
    place.record.add(f"{entry.name} has ended")
    await asyncio.sleep(1)
    await entry.start(first=False)


async def main(case: Path) -> bool:
    place = Stage(case, ENTRIES)
    record = place.record
    tasks: list[asyncio.Task[None]] = []
    try:
        await place.store.start()
        for number in range(1, 5):
            replica = await place.add_replica(f"i-app-{number}", "app", work)
            replica.slots, replica.limited = 1, True
            await replica.register(place.store)
        await place.start(stage.build_configuration())
        balancer = Balancer(place)
        load = Load(place, balancer)
        tasks.append(asyncio.ensure_future(balancer.run()))
        tasks += [asyncio.ensure_future(load.run()) for _ in range(WORKERS)]
        await asyncio.sleep(1)
        restarts = []
        if TROUBLE:
            for entry in place.entries[:STOPPED]:
                restarts.append(asyncio.ensure_future(restart(place, entry)))
                await asyncio.sleep(GAP_SECONDS)
        await asyncio.sleep(8)
        load.stop = True
        for one in restarts:
            await one
        await asyncio.sleep(1)
        repeats, bound, excess = check_budget(place, load)
        record.add(f"answers by status: {load.statuses}; requests: {len(load.sent)}")
        record.add(
            f"worst window of {WINDOW_SECONDS:.0f} s: {repeats} arrivals beyond the"
            f" first of each request, bound {bound:.1f}"
        )
        return excess <= 0
    finally:
        for task in tasks:
            task.cancel()
        await place.close()


random.seed(1)
stage.run_case(main, Path(__file__).resolve().parent)
