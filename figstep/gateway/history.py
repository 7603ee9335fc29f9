"""What entries write to the store, so that streams outlive the loss of all of them.

A caller that takes a stream up names the attempt that began it, and may come to an
entry whose process knows nothing of that attempt. Other entries tell it, unless all
were lost at once or cannot be heard. Then the store has which software versions targets
had and, for the time in which they had several, which of them began each stream that
can be taken up. Streams whose version is not known are written at any time.

No stream that can be taken up begins at a version before the store has confirmed its
record. What the store shows is therefore complete at any time, whatever an entry has
heard, and however soon after a release it is lost.

One entry writes for all that tell it their streams. What two of them write is the same.
"""

from figstep.core.clock import Millis
from figstep.core.positions import NO_POSITION
from figstep.gateway import sources, versions
from figstep.gateway.effects import Effect, Note, ReadVersions, WriteHistory
from figstep.gateway.events import HistoryRead, HistoryWritten, PeerHeard, VersionsRead
from figstep.gateway.starts import (
    START_RETENTION,
    UNKNOWN_VERSION,
    RecordedVersion,
    ServiceVersion,
    StartSource,
    StreamStart,
)
from figstep.gateway.state import State

WRITE_INTERVAL = Millis(1_000)
"""Shortest time, in milliseconds, between two writes, but for those of new versions.

A stream that begins after the last write is refused if all entries are lost then. Each
write is a call to the store, which limits those of all entries together.
"""

READ_INTERVAL = Millis(100)
"""Shortest time, in milliseconds, between the begins of two reads of the versions. All
callers that have returned meanwhile share the next one."""

WRITER_DELAY = Millis(600)
"""Time, in milliseconds, for which each entry that is to write a new version may be
silent before the next one writes it: it may be frozen, or cut off without notice."""

MAX_WRITERS_BEFORE = 6
"""Largest number of entries whose turn comes before another one writes a version."""

AWAITED_READ_DELAY = Millis(500)
"""Time, in milliseconds, after which an entry reads whether a version is recorded, if
the entry that writes has not told it."""

RECORD_PATIENCE = Millis(5_000)
"""Time, in milliseconds, for which a version begins no streams while its record is not
confirmed. Engines of other versions serve meanwhile, if there are any."""

CONFIRMED_ANNOUNCE_DURATION = Millis(2_000)
"""Milliseconds for which a confirmed record is included in messages to peers."""

UNKNOWN_VALIDITY = Millis(1_000)
"""Milliseconds for which a record that streams have no known version stands for further
ones; it is remembered for much longer."""

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
        history.recorded.setdefault(recorded.key, recorded.age is None)
    _record_versions(state, event.versions, now)
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


def _record_versions(
    state: State, recorded_versions: tuple[RecordedVersion, ...], now: Millis
) -> None:
    for recorded in recorded_versions:
        at = Millis(now - (recorded.age or 0))
        before = state.past_versions.get(recorded.key, at)
        state.past_versions[recorded.key] = max(at, before)
        if recorded.age is None:
            _confirm(state, recorded.key, now)


def _confirm(state: State, key: ServiceVersion, now: Millis) -> None:
    """Record that the store has a version's record, as one in service."""
    history = state.history
    history.confirmed.setdefault(key, now)
    history.awaited.pop(key, None)
    history.overdue.discard(key)


def read_versions(state: State, now: Millis) -> list[Effect]:
    """Begin a read of the recorded versions, unless one was begun just now."""
    history = state.history
    if history.reading or now - history.read_begun_at < READ_INTERVAL:
        return []
    history.reading = True
    history.reads_begun += 1
    history.read_begun_at = now
    return [ReadVersions()]


def apply_versions(state: State, event: VersionsRead, now: Millis) -> None:
    """Apply the versions that were read from the store again."""
    history = state.history
    history.reading = False
    history.unread_at = Millis(-1_000_000)
    history.listed = frozenset(recorded.key for recorded in event.versions)
    for recorded in event.versions:
        history.recorded[recorded.key] = recorded.age is None
    _record_versions(state, event.versions, now)
    versions.update_announced_services(state, now)


def record_unread(state: State, now: Millis) -> None:
    """Record that the store gave no answer to a read of the versions."""
    state.history.unread_at = now


def may_read(state: State, now: Millis) -> bool:
    """Return whether the store may answer this entry, as far as it knows."""
    return not state.read_failed and not sources.is_view_lost(state, now)


def apply_recorded(state: State, event: PeerHeard, now: Millis) -> None:
    """Apply another entry's report of versions that the store has on record."""
    if event.position.era < state.position.era:
        return
    for key in event.recorded:
        # An entry that has not read the registration knows of the version from now on.
        state.past_versions[key] = now
        _confirm(state, key, now)


def list_announced_versions(state: State, now: Millis) -> tuple[ServiceVersion, ...]:
    """Return the versions whose records were confirmed recently."""
    return tuple(
        key
        for key, at in sorted(state.history.confirmed.items())
        if now - at < CONFIRMED_ANNOUNCE_DURATION
    )


def check_awaited(state: State, now: Millis) -> list[Effect]:
    """Read, write, or begin to do without the records that nobody has reported."""
    history = state.history
    if not history.awaited or state.position == NO_POSITION:
        return []
    for key, since in history.awaited.items():
        if now - since >= RECORD_PATIENCE:
            history.overdue.add(key)
    oldest = min(history.awaited.values())
    if now - oldest < AWAITED_READ_DELAY or not may_read(state, now):
        return []
    if sources.is_first_reader(state, now):
        return []
    effects: list[Effect] = []
    if now - history.read_begun_at >= WRITE_INTERVAL:
        effects += read_versions(state, now)
    turns = min(sources.count_writers_before(state, now), MAX_WRITERS_BEFORE)
    if now - oldest < AWAITED_READ_DELAY + WRITER_DELAY * turns or history.writing:
        return effects
    if now - history.awaited_written_at < WRITE_INTERVAL:
        return effects
    history.awaited_written_at = now
    history.writing = True
    awaited = tuple(RecordedVersion(*key) for key in sorted(history.awaited))
    return [*effects, WriteHistory(awaited, ())]


def record_unknown(state: State, service: str, now: Millis) -> None:
    """Record that a service begins streams of a version that nobody knows."""
    state.past_versions[ServiceVersion(service, UNKNOWN_VERSION)] = now
    state.history.unknown_due.add(service)
    state.history.has_news = True
    versions.update_announced_services(state, now)


def is_unknown_recorded(state: State, service: str, now: Millis) -> bool:
    """Return whether the store has confirmed that lately."""
    at = state.history.unknown_at.get(service)
    return at is not None and now - at < UNKNOWN_VALIDITY


def write_history(state: State, now: Millis) -> list[Effect]:
    """Write versions and starts to the store that it lacks, if this entry is to.

    Each entry writes of its own streams that have no known version.
    """
    history = state.history
    is_due = now - history.checked_at >= WRITE_INTERVAL
    if history.writing or not (is_due or history.has_news):
        return []
    if is_due:
        versions.update_announced_services(state, now)
    history.checked_at = now
    history.has_news = False
    if state.position == NO_POSITION:
        return []
    changed: tuple[RecordedVersion, ...] = ()
    starts: tuple[StreamStart, ...] = ()
    if sources.is_first_reader(state, now):
        changed = _list_changed_versions(state, now)
        starts = state.starts.list_unrecorded(state.announced_since, MAX_WRITTEN_STARTS)
    changed += tuple(
        RecordedVersion(service, UNKNOWN_VERSION, Millis(0))
        for service in sorted(history.unknown_due)
    )
    if not changed and not starts:
        return []
    history.writing = True
    return [WriteHistory(changed, starts)]


def handle_written(state: State, event: HistoryWritten, now: Millis) -> list[Effect]:
    """Record the end of a write; one without an answer is repeated."""
    history = state.history
    history.writing = False
    if not event.acknowledged:
        return []
    for version in event.versions:
        key = version.key
        if version.expired:
            history.recorded.pop(key, None)
            continue
        history.recorded[key] = version.age is None
        if version.age is None:
            _confirm(state, key, now)
        if version.version == UNKNOWN_VERSION:
            history.unknown_due.discard(version.service)
            history.unknown_at[version.service] = now
    state.starts.mark_recorded(event.starts)
    return write_history(state, now) if history.has_news else []


def _list_changed_versions(state: State, now: Millis) -> tuple[RecordedVersion, ...]:
    """Return the versions whose records in the store are missing or outdated.

    Among them are those that have left, or that a path has brought along which leads to
    another service now.
    """
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
    for key, left_at in sorted(state.past_versions.items()):
        if key in present or key in recorded or now - left_at >= START_RETENTION:
            continue
        changed.append(RecordedVersion(*key, age=Millis(now - left_at)))
    return tuple(changed)
