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


async def test_a_log_that_comes_back_from_a_copy_names_its_era() -> None:
    service = LogService()
    runner, url = await start_app(service.build_app())
    log = HttpLog(url)
    try:
        await log.append("s", [{"n": 0}, {"n": 1}, {"n": 2}])
        assert log.era == 0
        async with aiohttp.ClientSession() as session:
            await session.put(url + "/standin/revert", json={"lost": 2})
        with pytest.raises(LogTruncatedError):
            await log.read("s", 3)
        assert log.era == 1
        assert await log.append("s", [{"n": 3}]) == 1
        assert [(r.offset, r.era) for r in await log.read("s", 0)] == [(0, 1), (1, 1)]
    finally:
        await log.close()
        await runner.cleanup()


async def test_refusals_name_the_era() -> None:
    service = LogService()
    runner, url = await start_app(service.build_app())
    log = HttpLog(url)
    try:
        service.revert(0)
        service.available = False
        with pytest.raises(LogUnavailableError):
            await log.read("s", 0)
        assert log.era == 1
    finally:
        await log.close()
        await runner.cleanup()


async def test_an_answer_of_an_older_era_is_void() -> None:
    """Guards against records that were lost and arrive after the return."""
    service = LogService()
    runner, url = await start_app(service.build_app())
    log = HttpLog(url)
    try:
        await log.append("s", [{"n": 0}])
        log.era = 1
        with pytest.raises(LogUnavailableError, match="era 0"):
            await log.read("s", 0)
    finally:
        await log.close()
        await runner.cleanup()
