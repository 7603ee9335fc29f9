"""Benchmark of start time, processes and memory of the packed file and the package.

``python -m benchmarks.binary FILE`` starts an entry from the packed file and from
the installed package several times and prints one line per start. The first start
of the file unpacks it.
"""

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

import psutil
import yaml

STARTS = 5
"""Number of starts of the packed file, and as many of the package."""

PYTHON = getattr(sys, "_base_executable", sys.executable)
"""Interpreter outside the virtual environment, which runs the packed file."""


async def start_once(command: list[str], environment: dict[str, str]) -> str:
    """Start an entry, stop it, and return its measurements as a line of text.

    Raises:
        SystemExit: If the first line that the process prints is not an entry's.
    """
    started = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        *command,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
        env=environment,
    )
    assert process.stdout is not None
    line = await process.stdout.readline()
    seconds = time.monotonic() - started
    if not line.startswith(b"entry "):
        raise SystemExit(f"{command}: did not start")
    usage = psutil.Process(process.pid)
    memory = usage.memory_info().rss / 1e6
    processes = 1 + len(usage.children(recursive=True))
    process.send_signal(signal.SIGTERM)
    code = await process.wait()
    return (
        f"start {seconds:.2f} s, resident {memory:.1f} MB,"
        f" processes {processes}, exit {code}"
    )


def measure_size(path: Path) -> float:
    """Return the size of a file, or of all files below a folder, in megabytes."""
    files = path.rglob("*") if path.is_dir() else [path]
    return sum(file.stat().st_size for file in files) / 1e6


async def run(file: Path) -> None:
    """Measure the starts of the packed file, cold and warm, and then of the package."""
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "settings.yaml"
        closed_url = "http://127.0.0.1:9"
        document = {
            "node": "n-1",
            "failure_domain": "a",
            "platform": {"log": closed_url, "instances": closed_url},
            "notice_seconds": 0,
        }
        settings.write_text(yaml.safe_dump(document))
        environment = {**os.environ, "SHIV_ROOT": str(Path(folder) / "shiv")}
        environment.pop("PYTHONDONTWRITEBYTECODE", None)
        serve = ["serve", "--settings", str(settings)]
        print(f"{file}: {measure_size(file):.1f} MB")
        for number in range(STARTS):
            command = [PYTHON, "-I", str(file), *serve]
            kind = "file, cold" if number == 0 else "file, warm"
            print(f"{kind}: {await start_once(command, environment)}", flush=True)
        print(f"unpacked {measure_size(Path(folder)):.1f} MB")
        for _ in range(STARTS):
            command = [sys.executable, "-m", "figstep", *serve]
            print(f"package: {await start_once(command, environment)}", flush=True)


if __name__ == "__main__":
    asyncio.run(run(Path(sys.argv[1]).resolve()))
