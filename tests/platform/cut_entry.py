"""Entry process that can be cut off: ``python -m tests.platform.cut_entry``.

It is an entry as it is deployed, but for calls to the store and messages of other
entries, which get lost while a file beside its settings names them.
"""

import asyncio
import os
from pathlib import Path
from typing import Any

from figstep.errors import LogUnavailableError, PeerMessageError
from figstep.net.links import PeerLink
from figstep.platform.entry import run_entry
from figstep.platform.store import CALL_TIMEOUT_SECONDS, HttpStore

STORE = "store"
PEERS = "peers"

CUT_SUFFIX = ".cut"
"""Suffix of the file that holds what a cut entry does not reach."""


def is_cut(side: str) -> bool:
    """Return whether this entry is cut off from one side now."""
    path = Path(os.environ["FIGSTEP_CONFIG"]).with_suffix(CUT_SUFFIX)
    try:
        return side in path.read_text().split()
    except FileNotFoundError:
        return False


def write_cut(settings: Path, sides: tuple[str, ...]) -> None:
    """Cut the entry with some settings off from some sides, or from none."""
    settings.with_suffix(CUT_SUFFIX).write_text(" ".join(sides))


def install_cuts() -> None:
    """Let calls and messages get lost while this entry is cut off."""
    call, send = HttpStore._call, PeerLink._send_bytes
    handle, fetch = PeerLink._handle_datagram, PeerLink.fetch_copy

    async def lose_call(self: HttpStore, *args: Any, **options: Any) -> Any:
        answer = None
        if not is_cut(STORE):
            answer = await call(self, *args, **options)
        if is_cut(STORE):
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            raise LogUnavailableError("cut off")
        return answer

    def lose_sent(self: PeerLink, *args: Any) -> None:
        if not is_cut(PEERS):
            send(self, *args)

    def lose_received(self: PeerLink, *args: Any) -> None:
        if not is_cut(PEERS):
            handle(self, *args)

    async def lose_copy(self: PeerLink, *args: Any) -> Any:
        if is_cut(PEERS):
            raise PeerMessageError("cut off")
        return await fetch(self, *args)

    HttpStore._call = lose_call  # type: ignore[method-assign]
    PeerLink._send_bytes = lose_sent  # type: ignore[method-assign]
    PeerLink._handle_datagram = lose_received  # type: ignore[method-assign]
    PeerLink.fetch_copy = lose_copy  # type: ignore[method-assign]


if __name__ == "__main__":
    install_cuts()
    run_entry()
