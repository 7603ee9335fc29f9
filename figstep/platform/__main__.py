"""Entry point of ``python -m figstep.platform``."""

from figstep.platform.entry import run_entry

run_entry()
