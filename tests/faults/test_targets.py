"""Tests of the targets of the fault soak."""

import asyncio
import random

import aiohttp
import pytest

from tests.faults.promises import CANCEL_SECONDS
from tests.faults.records import Record
from tests.faults.targets import SoakTarget
from tests.platform.standins import FakeStore


@pytest.mark.parametrize("faults", [[], ["mute"]])
async def test_a_run_ends_as_its_connection_closes(faults: list[str]) -> None:
    """Guards against a standby at a mute engine that seems to run on once closed."""
    record = Record()
    target = SoakTarget(
        "e-1", "engines", record, random.Random(1), {}, lambda target: None, faults
    )
    store = FakeStore()
    await store.start()
    await target.start(store)
    headers = {"Expect-Instance": "e-1", "Request-Id": "r-1", "Token-Count": "1,1"}
    timeout = aiohttp.ClientTimeout(total=0.2)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            with pytest.raises(TimeoutError):
                url = f"http://{target.address}/plan/a"
                async with session.post(url, headers=headers) as response:
                    await response.read()
        await asyncio.sleep(CANCEL_SECONDS)
        [run] = record.runs
        assert run.ended is not None
        assert not run.whole
    finally:
        await target.kill()
        await store.stop()
