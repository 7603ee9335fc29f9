"""Entry point of ``python -m figstep.platform``."""

from figstep.platform.listeners import open_caller_listener

# Before the import of all the rest, which takes a third of a second.
listener = open_caller_listener()

from figstep.platform.entry import run_entry  # noqa: E402

run_entry(listener)
