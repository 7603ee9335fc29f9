"""Tests of the faults of the log stand-in, as observed by its clients."""

import aiohttp
import pytest

from figstep.errors import LogTruncatedError, LogUnavailableError
from figstep.net.log import HttpLog
from figstep.standins.http import start_app
from figstep.standins.log import LogService


async def test_faults_are_switched_over_http() -> None:
    service = LogService()
    runner, url = await start_app(service.build_app())
    log = HttpLog(url)

    async def switch(**faults: object) -> int:
        async with aiohttp.ClientSession() as session:
            async with session.put(url + "/standin/faults", json=faults) as response:
                return response.status

    try:
        assert await log.append("s", [{"n": 0}, {"n": 1}, {"n": 2}]) == 0
        await switch(lose_answers=1)
        with pytest.raises(LogUnavailableError):
            await log.append("s", [{"n": 3}])
        assert [r.offset for r in await log.read("s", 0)] == [0, 1, 2, 3]
        await switch(keep_records=2)
        with pytest.raises(LogTruncatedError) as caught:
            await log.read("s", 0)
        assert caught.value.earliest == 2
        await switch(available=False)
        with pytest.raises(LogUnavailableError):
            await log.read("s", 2)
        assert await switch(unheard=1) == 400
    finally:
        await log.close()
        await runner.cleanup()
