"""Entry point of ``python -m figstep``."""

from figstep.cli import main

main()
