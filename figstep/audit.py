"""Audit trail of the configuration: author, time, reason, changes and verdict."""

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
    """An edit and its verdict.

    Attributes:
        offset: Offset of the edit's record in the log.
        time: When the log stored the record, in milliseconds since the Unix epoch.
        edit: Unique id of the edit.
        base: Offset of the accepted document on which the edit is based.
        verdict: "accepted", "refused" or "unknown".
        rule: Name of the rule by which the edit was refused, or "".
        why: Explanation of a refused or unknown verdict, or "".
        changes: Changes against the document that was in force before the edit;
            empty if the verdict is "unknown".
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
    """Configuration history from the records that the log still holds.

    Attributes:
        position: Offset of the last applied record; -1 if there is none.
        current: Checkpoint of the document in force, or None.
        stalled: Why later records cannot be evaluated by this version, or "".
        entries: Edits in order of offset.
    """

    position: int
    current: Checkpoint | None
    stalled: str
    entries: tuple[HistoryEntry, ...]


class TrailReader:
    """Builds the audit trail incrementally, with the same reducer as the entries.

    Attributes:
        era: Era of the log whose records are read.
    """

    def __init__(self, era: int = 0) -> None:
        self.era = era
        self._state = State("reader")
        self._records: list[LogRecord] = []
        self._entries: dict[int, HistoryEntry] = {}

    @property
    def next(self) -> int:
        """Offset of the next record to read; 0 before the first one."""
        return self._records[-1].offset + 1 if self._records else 0

    def add(self, records: list[LogRecord]) -> None:
        """Apply the next records of the configuration stream, in order.

        Earlier records are applied again if the reducer requests it.
        """
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
        """Audit trail of the records added so far."""
        fold = self._state.configuration
        ordered = tuple(self._entries[offset] for offset in sorted(self._entries))
        return Trail(fold.position, fold.current, fold.stalled, ordered)


def read_trail(records: list[LogRecord]) -> Trail:
    """Return the audit trail of records of the configuration stream."""
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
