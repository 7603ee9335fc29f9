"""Process that keeps a core busy: ``python -m tests.deployments.busy PARENT``."""

import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

from tests.processes import ROOT

ROUND = 100_000
"""Numbers that are added up between two looks at the parent."""


@contextmanager
def keep_busy(count: int) -> Iterator[list[int]]:
    """Keep a number of cores busy, each by a process, as long as the block lasts.

    Yields:
        The ids of the processes. They end by themselves if this process is killed.
    """
    processes: list[subprocess.Popen[bytes]] = []
    try:
        for _ in range(count):
            processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "tests.deployments.busy", str(os.getpid())],
                    env={**os.environ, "PYTHONPATH": str(ROOT)},
                )
            )
        yield [process.pid for process in processes]
    finally:
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()


def main() -> None:
    """Add up numbers until the parent, whose id is the argument, has ended."""
    parent = int(sys.argv[1])
    while os.getppid() == parent:
        sum(range(ROUND))


if __name__ == "__main__":
    main()
