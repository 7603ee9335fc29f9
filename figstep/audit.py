"""Audit trail of the configuration: who changed what, when, why, and the verdict."""

from dataclasses import dataclass

from figstep.core.changes import FieldChange, diff_documents
from figstep.core.clock import Millis
from figstep.core.configuration import Accepted, Refused, Unknown, check_edit
from figstep.core.effects import ReadConfigurationFrom
from figstep.core.events import Checkpoint, ConfigurationRead
from figstep.core.records import LogRecord
from figstep.core.reducer import reduce
from figstep.core.state import ConfigurationFold, State
from figstep.net.configuration import parse_record


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """An edit and what became of it.

    Attributes:
        offset: Offset of its record.
        time: When the log took it, in milliseconds since the epoch.
        edit: Its unique id.
        author: Who published it.
        reason: Why.
        base: Accepted offset that it was made from.
        verdict: "accepted", "refused" or "unknown".
        rule: Rule that refused it, or "".
        why: What was wrong, or "".
        changes: What it changes against the document in force before it.
    """

    offset: int
    time: int
    edit: str
    author: str
    reason: str
    base: int
    verdict: str
    rule: str
    why: str
    changes: tuple[FieldChange, ...]


@dataclass(frozen=True, slots=True)
class Trail:
    """What the records that the log still keeps tell.

    Attributes:
        position: Last offset folded; -1 for none.
        current: The accepted edit, or None.
        stalled: Why the last records cannot be judged here, or "".
        entries: Edits in order of offset.
    """

    position: int
    current: Checkpoint | None
    stalled: str
    entries: tuple[HistoryEntry, ...]


class TrailReader:
    """Folds kept records by the code that every entry runs, as they come."""

    def __init__(self) -> None:
        self._state = State("reader")
        self._records: list[LogRecord] = []
        self._entries: dict[int, HistoryEntry] = {}

    @property
    def next(self) -> int:
        """Offset of the next record to read."""
        return self._records[-1].offset + 1 if self._records else 0

    def add(self, records: list[LogRecord]) -> None:
        """Fold the next records of the configuration stream, in order."""
        index = len(self._records)
        self._records += records
        while index < len(self._records):
            record = self._records[index]
            event = parse_record(record, self._state.configuration.current)
            index += 1
            if isinstance(event, ConfigurationRead):
                _record_verdict(self._state.configuration, record, event, self._entries)
            for effect in reduce(self._state, event, Millis(0)):
                if isinstance(effect, ReadConfigurationFrom):
                    index = max(0, effect.offset - self._records[0].offset)

    @property
    def trail(self) -> Trail:
        """What the records so far tell."""
        fold = self._state.configuration
        ordered = tuple(self._entries[offset] for offset in sorted(self._entries))
        return Trail(fold.position, fold.current, fold.stalled, ordered)


def read_trail(records: list[LogRecord]) -> Trail:
    """Fold every kept record of the configuration stream."""
    reader = TrailReader()
    reader.add(records)
    return reader.trail


def _record_verdict(
    fold: ConfigurationFold,
    record: LogRecord,
    event: ConfigurationRead,
    entries: dict[int, HistoryEntry],
) -> None:
    if event.offset <= fold.position and event.offset in entries:
        return
    verdict, rule, why = "unknown", "", "older than the first snapshot that is kept"
    if event.offset == fold.position + 1:
        match check_edit(fold.current, event):
            case Accepted():
                verdict, why = "accepted", ""
            case Refused(rule=rule, why=why):
                verdict = "refused"
            case Unknown(why=why):
                pass
    before = fold.current.document if fold.current else {}
    changes = diff_documents(before, event.document) if verdict != "unknown" else []
    entries[event.offset] = HistoryEntry(
        offset=event.offset,
        time=record.time,
        edit=event.edit,
        author=event.author,
        reason=event.reason,
        base=event.base,
        verdict=verdict,
        rule=rule,
        why=why,
        changes=tuple(changes),
    )
