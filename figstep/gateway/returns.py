"""Callers that return with a stream whose version only the store can tell.

Where an entry was not told the start of a stream, the only version of its service began
it. That the entry has heard of one version only does not show that there was no other:
it may be cut off, or have just started. Entries record a version before it begins a
stream, so that a read of the records which begins after the caller has returned shows
all of them.
"""

from figstep.core.clock import Millis
from figstep.gateway import history
from figstep.gateway.effects import Effect
from figstep.gateway.events import RequestArrived
from figstep.gateway.state import State, WaitingReturn

VIEW_TIMEOUT = Millis(500)
"""Longest time for which a caller waits for a read of the versions, in milliseconds.
"""


def wait_for_versions(state: State, event: RequestArrived, now: Millis) -> list[Effect]:
    """Keep a returning caller's request until the versions are read anew."""
    read = state.history.reads_begun + 1
    state.returns[event.request.number] = WaitingReturn(event, now, read)
    return begin_read(state, now)


def begin_read(state: State, now: Millis) -> list[Effect]:
    """Begin a read of the versions if a caller waits for one."""
    if not any(
        waiting.read > state.history.reads_begun for waiting in state.returns.values()
    ):
        return []
    return history.read_versions(state, now)


def pop_answered(state: State) -> list[WaitingReturn]:
    """Remove and return those for which the versions have been read."""
    reads = state.history.reads_begun
    return _pop(state, [one for one in state.returns.values() if one.read <= reads])


def pop_all(state: State) -> list[WaitingReturn]:
    """Remove and return all, as the store gives no answer."""
    return _pop(state, list(state.returns.values()))


def pop_expired(state: State, now: Millis) -> list[WaitingReturn]:
    """Remove and return those that have waited for `VIEW_TIMEOUT`."""
    expired = [one for one in state.returns.values() if now - one.at >= VIEW_TIMEOUT]
    return _pop(state, expired)


def _pop(state: State, popped: list[WaitingReturn]) -> list[WaitingReturn]:
    for waiting in popped:
        del state.returns[waiting.event.request.number]
    return popped
