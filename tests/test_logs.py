"""Tests of the logs: one JSON object per line, with ids but without secrets."""

import io
import json
import logging
import os
from typing import Any

import aiohttp
import logbook
import orjson

from figstep.demo import KEY, MODEL, run_deployment
from figstep.logs import MAX_LINES_PER_SECOND, BoundedLinesHandler, JsonLinesHandler
from tests.net.test_callers import open_raw

SECRET = "unleavened-secret-words"


def read_lines(stream: io.StringIO) -> list[dict[str, Any]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


async def test_lines_name_the_request_but_hold_no_prompt_and_no_key() -> None:
    stream = io.StringIO()
    handler = JsonLinesHandler(stream, level="DEBUG")
    with handler.applicationbound():
        async with run_deployment(1, gaps=(0.01,)) as deployment:
            url = deployment.entries[0].callers.address
            await send_all(url)
            deployment.engines[0].crash()
            await send_all(url)
    lines = read_lines(stream)
    assert SECRET not in stream.getvalue()
    assert KEY not in stream.getvalue()
    opened = next(line for line in lines if line["message"] == "attempt opened")
    assert opened["target"] == "engine-1"
    assert opened["customer"] == "demo"
    assert opened["generation"].startswith("engine-1~")
    assert opened["attempt"] >= 1
    ended = [line for line in lines if line["message"] == "request ended"]
    assert opened["request"] in {line["request"] for line in ended}
    assert {line["outcome"] for line in ended} > {"whole"}


async def send_all(url: str) -> None:
    """Send valid and invalid requests that contain the secret and the key."""
    headers = {"Authorization": f"Bearer {KEY}", "X-Deadline-Ms": "300"}
    bodies: list[Any] = [
        {"model": MODEL, "prompt": SECRET, "stream": True},
        {"model": MODEL, "prompt": SECRET},
        {"model": MODEL, "prompt": [SECRET]},
        {"model": SECRET, "prompt": "menu"},
    ]
    async with aiohttp.ClientSession() as session:
        for body in bodies:
            async with session.post(
                url + "/v1/completions", json=body, headers=headers
            ) as response:
                await response.read()
        async with session.post(
            url + "/services/planning/orders", data=SECRET, headers=headers
        ) as response:
            await response.read()
    reader, writer = await open_raw(url)
    writer.write(f"GET / HTTP/1.1\r\nAuthorization {KEY} {SECRET}\r\n\r\n".encode())
    await reader.read()
    writer.close()


def test_records_of_other_libraries_are_lines_too() -> None:
    stream = io.StringIO()
    with JsonLinesHandler(stream).applicationbound():
        handler = logbook.compat.RedirectLoggingHandler()
        logger = logging.getLogger("tests.other")
        logger.addHandler(handler)
        try:
            logger.error("broken %s", "pipe", exc_info=ValueError("why"))
        finally:
            logger.removeHandler(handler)
    (line,) = read_lines(stream)
    assert (line["level"], line["message"]) == ("error", "broken pipe")
    assert "ValueError: why" in line["exception"]


def read_pipe(descriptor: int) -> list[dict[str, object]]:
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            chunk = os.read(descriptor, 65_536)
        except BlockingIOError:
            break
        if not chunk:
            break
        data += chunk
    return [orjson.loads(line) for line in data.splitlines()]


def test_lines_over_the_bound_are_counted() -> None:
    reader, writer = os.pipe()
    now = [10.0]
    handler = BoundedLinesHandler(writer, "INFO", lambda: now[0])
    log = logbook.Logger("bounded")
    with handler.applicationbound():
        for _ in range(MAX_LINES_PER_SECOND + 7):
            log.info("refused")
        now[0] = 11.0
        log.info("later")
    lines = read_pipe(reader)
    assert len(lines) == MAX_LINES_PER_SECOND + 1
    assert lines[-1]["lines_left_out"] == 7


def test_a_blocked_log_reader_does_not_block_the_process() -> None:
    """Guards against callers that wait for the process that reads the logs.

    When the reader stops, the pipe fills up and the next write would block. Lines
    must be dropped instead, no line may be cut off, and the next line that is
    written carries the number of dropped lines.
    """
    reader, writer = os.pipe()
    now = [10.0]
    handler = BoundedLinesHandler(writer, "INFO", lambda: now[0])
    log = logbook.Logger("bounded")
    with handler.applicationbound():
        for _ in range(300):
            log.info("x" * 1_000)
        assert handler.dropped_lines > 0
        assert read_lines_until_torn(reader) > 0
        now[0] = 11.0
        log.info("later")
    os.close(reader)


def read_lines_until_torn(descriptor: int) -> int:
    os.set_blocking(descriptor, False)
    data = os.read(descriptor, 1 << 20)
    return data.count(b"\n")
