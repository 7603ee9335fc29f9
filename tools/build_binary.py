"""Packs figstep and its run-time dependencies into one file with shiv.

Run as ``python -m tools.build_binary OUTPUT``. The packages are copied from the
environment installed from the lock file, so the build needs no package index,
and the file holds the versions that the tests ran with.
"""

import shutil
import sys
import tempfile
from importlib.metadata import Distribution, distribution
from pathlib import Path

from packaging.requirements import Requirement
from shiv.cli import main as run_shiv

ROOT = Path(__file__).resolve().parent.parent
SOURCE_SUFFIXES = {".c", ".cpp", ".h", ".pxd", ".pyx"}
ENTRY_POINT = "figstep.cli:main"


def list_distributions(name: str) -> list[Distribution]:
    """Return the installed distributions that ``name`` depends on at run time.

    ``name`` is an installed distribution, which is not in the result.
    """
    found: dict[str, Distribution] = {}
    pending = [name]
    while pending:
        current = pending.pop()
        if current in found:
            continue
        found[current] = distribution(current)
        for line in found[current].requires or []:
            requirement = Requirement(line)
            if requirement.marker and not requirement.marker.evaluate({"extra": ""}):
                continue
            pending.append(requirement.name.lower().replace("_", "-"))
    del found[name]
    return list(found.values())


def copy_distribution(source: Distribution, site: Path) -> None:
    """Copy the installed files of one distribution into ``site``.

    Files outside the site directory, such as scripts, are left out, and so are
    bytecode and C or Cython sources.
    """
    for file in source.files or []:
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        if file.suffix in SOURCE_SUFFIXES:
            continue
        target = site / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(str(file.locate()), target)


def build_binary(output: Path) -> None:
    """Write the executable archive to ``output``."""
    with tempfile.TemporaryDirectory() as folder:
        site = Path(folder) / "site"
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / "figstep", site / "figstep", ignore=ignored)
        for needed in list_distributions("figstep"):
            copy_distribution(needed, site)
        run_shiv(
            [
                *("--site-packages", str(site)),
                *("--entry-point", ENTRY_POINT),
                *("--python", "/usr/bin/env python3.11"),
                *("--output-file", str(output)),
                "--compressed",
            ],
            standalone_mode=False,
        )


if __name__ == "__main__":
    build_binary(Path(sys.argv[1]))
