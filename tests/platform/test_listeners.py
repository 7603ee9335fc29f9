"""Tests of the callers' socket, which listens before the program has loaded."""

import asyncio
import os
import signal
from collections.abc import Callable
from pathlib import Path

import pytest

from figstep.platform.entry import serve_until_signal
from figstep.platform.listeners import PATH_VARIABLE, open_caller_listener
from tests.platform.standins import write_settings
from tests.platform.test_entry import open_place


async def test_a_caller_that_connects_while_the_program_loads_is_served(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    unused_tcp_port_factory: Callable[[], int],
) -> None:
    """Guards against callers that a restarting entry refuses.

    A killed entry starts again while callers connect. Their connections were refused
    until its libraries were loaded, and their requests until a configuration was in
    force; with few attempts left, some callers were never served. Now connections
    wait in the socket's queue, and the entry reads the store's records before it
    accepts them.
    """
    async with open_place() as place:
        await place.add_target("i-b1", "bookings")
        place.store.delay = 0.1
        path = tmp_path / "boot.toml"
        ports = [unused_tcp_port_factory() for _ in range(3)]
        write_settings(path, ports, place.store.address)
        monkeypatch.setenv(PATH_VARIABLE, str(path))
        listener = open_caller_listener()
        assert listener is not None
        url = f"http://127.0.0.1:{ports[0]}/order/a"
        call = asyncio.create_task(
            place.session.post(url, headers=place.headers("r-1"))
        )
        await asyncio.sleep(0.2)
        serving = asyncio.create_task(serve_until_signal(path, listener))
        response = await call
        assert response.status == 200
        assert await response.read() == b"answer"
        os.kill(os.getpid(), signal.SIGTERM)
        await serving


async def test_callers_are_answered_without_records_after_a_timeout(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    unused_tcp_port_factory: Callable[[], int],
) -> None:
    """Guards against callers that wait for records while the store is down.

    A killed entry starts again during an outage of the store. Within a fraction of a
    second its callers receive the answer that their request has not run.
    """
    async with open_place() as place:
        path = tmp_path / "boot.toml"
        ports = [unused_tcp_port_factory() for _ in range(4)]
        write_settings(path, ports[:3], f"127.0.0.1:{ports[3]}")
        monkeypatch.setenv(PATH_VARIABLE, str(path))
        listener = open_caller_listener()
        serving = asyncio.create_task(serve_until_signal(path, listener))
        url = f"http://127.0.0.1:{ports[0]}/order/a"
        async with asyncio.timeout(1.0):
            response = await place.session.post(url, headers=place.headers("r-1"))
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
        os.kill(os.getpid(), signal.SIGTERM)
        await serving


@pytest.mark.parametrize(
    "text",
    ["", "not toml [", "[listen]", "[listen]\nfront = 7", '[listen]\nfront = "a"'],
)
def test_settings_without_an_address_open_nothing(
    text: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "boot.toml"
    path.write_text(text)
    monkeypatch.setenv(PATH_VARIABLE, str(path))
    assert open_caller_listener() is None


def test_a_missing_settings_file_opens_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.delenv(PATH_VARIABLE, raising=False)
    assert open_caller_listener() is None
