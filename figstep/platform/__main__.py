"""Entry point of ``python -m figstep.platform``, which runs one entry."""

from figstep.platform.listeners import open_caller_listener

# The socket is opened before the other imports, which take a third of a second.
listener = open_caller_listener()

from figstep.platform.entry import run_entry  # noqa: E402

run_entry(listener)
