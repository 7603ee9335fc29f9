"""Tests of the packed binary, which needs no installed package."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import psutil

from tests.processes import write_yaml
from tools.build_binary import build_binary

NOWHERE = "http://127.0.0.1:9"


async def test_packed_file_serves_as_one_process(tmp_path: Path) -> None:
    """The binary runs on an interpreter without any of the required packages.

    It must unpack itself, load the schema file of peer messages from the unpacked
    files, listen, start no child process, and exit on SIGTERM.
    """
    file = tmp_path / "figstep"
    build_binary(file)
    settings = {
        "node": "n-1",
        "failure_domain": "a",
        "platform": {"log": NOWHERE, "instances": NOWHERE},
        "notice_seconds": 0,
    }
    path = write_yaml(tmp_path / "settings.yaml", settings)
    process = await asyncio.create_subprocess_exec(
        getattr(sys, "_base_executable", sys.executable),
        "-I",
        str(file),
        *("serve", "--settings", str(path)),
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "SHIV_ROOT": str(tmp_path / "shiv")},
    )
    assert process.stdout is not None
    try:
        line = await asyncio.wait_for(process.stdout.readline(), 120)
        assert line.startswith(b"entry http://")
        assert psutil.Process(process.pid).children(recursive=True) == []
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), 60) == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
