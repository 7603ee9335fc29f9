"""What entries write to the store, so that streams outlive the loss of all of them.

A caller that takes a stream up names the attempt that began it, and may come to an
entry whose process knows nothing of that attempt. Other entries tell it, unless all
were lost at once. Then the store has which software versions targets had and, for the
time in which they had several, which of them began each stream that can be taken up.
Streams whose version is not known are written at any time.

One entry writes for all that tell it their streams. What two of them write is the same.
"""

from figstep.core.clock import Millis
from figstep.core.positions import NO_POSITION
from figstep.gateway import sources, versions
from figstep.gateway.effects import Effect, Note, WriteHistory
from figstep.gateway.events import HistoryRead, HistoryWritten
from figstep.gateway.starts import RecordedVersion, StartSource
from figstep.gateway.state import State

WRITE_INTERVAL = Millis(1_000)
"""Shortest time, in milliseconds, between two writes.

A stream that begins after the last write is refused if all entries are lost then. Each
write is a call to the store, which limits those of all entries together.
"""

MAX_WRITTEN_STARTS = 4_096
"""Maximum number of starts in one write; older ones follow in the next writes."""


def apply_history(state: State, event: HistoryRead, now: Millis) -> list[Effect]:
    """Apply the versions and starts that entries wrote to the store.

    A version that was in service as it was written may have left at any time since: it
    counts as if it left now.
    """
    history = state.history
    history.read = True
    history.found = bool(event.versions)
    for recorded in event.versions:
        key = (recorded.service, recorded.version)
        history.recorded.setdefault(key, recorded.age is None)
        at = Millis(now - (recorded.age or 0))
        state.past_versions[key] = max(at, state.past_versions.get(key, at))
    for start in event.starts:
        state.starts.record_announced(
            start, now, recorded=True, source=StartSource.STORE
        )
    state.starts.mark_recorded(event.starts)
    versions.update_announced_services(state, now)
    fields: dict[str, str | int | float | None] = {
        "versions": len(event.versions),
        "starts": len(event.starts),
    }
    return [Note("history read from the store", fields)]


def write_history(state: State, now: Millis) -> list[Effect]:
    """Write versions and starts to the store that it lacks, if this entry is to."""
    history = state.history
    if history.writing or now - history.checked_at < WRITE_INTERVAL:
        return []
    history.checked_at = now
    if state.position == NO_POSITION or not sources.is_first_reader(state, now):
        return []
    changed = _list_changed_versions(state, now)
    starts = state.starts.list_unrecorded(state.announced_since, MAX_WRITTEN_STARTS)
    if not changed and not starts:
        return []
    history.writing = True
    return [WriteHistory(changed, starts)]


def handle_written(state: State, event: HistoryWritten) -> list[Effect]:
    """Record the end of a write; one without an answer is repeated."""
    history = state.history
    history.writing = False
    if not event.acknowledged:
        return []
    for version in event.versions:
        key = (version.service, version.version)
        if version.expired:
            history.recorded.pop(key, None)
        else:
            history.recorded[key] = version.age is None
    state.starts.mark_recorded(event.starts)
    return []


def _list_changed_versions(state: State, now: Millis) -> tuple[RecordedVersion, ...]:
    """Return the versions whose records in the store are missing or outdated."""
    present = {
        (target.info.service, target.info.version)
        for target in state.targets.targets.values()
    }
    recorded = state.history.recorded
    changed = []
    for service, version in sorted(present):
        if not recorded.get((service, version), False):
            changed.append(RecordedVersion(service, version))
    for key, had_targets in sorted(recorded.items()):
        left_at = state.past_versions.get(key)
        if key in present:
            continue
        if left_at is None:
            changed.append(RecordedVersion(*key, expired=True))
        elif had_targets:
            changed.append(RecordedVersion(*key, age=Millis(now - left_at)))
    return tuple(changed)
