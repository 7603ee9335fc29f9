"""Effects that the gateway's reducer requests from the edges."""

from dataclasses import dataclass, field
from enum import Enum

from figstep.core.clock import Millis
from figstep.core.problems import Problem
from figstep.gateway.runs import RunCopy
from figstep.gateway.starts import RecordedVersion, StreamStart
from figstep.gateway.targets import Incarnation


@dataclass(frozen=True, slots=True)
class RelayTo:
    """Another entry that a request is passed on to.

    Attributes:
        address: Where it accepts requests of other entries, as "ip:port".
        waited: Milliseconds since the caller first sent the request, to any entry.
        lost_runs: Number of lost attempts that may have run.
        version: Software version at which its stream began; None if it has not begun.
        may_wait: Whether the request may wait there for a target. Otherwise that entry
            has to start it at once or refuse it.
    """

    address: str
    waited: Millis
    lost_runs: int
    version: str | None = None
    may_wait: bool = True


class Confirmation(Enum):
    """What rests on the start that a target states after it accepted a stream.

    The target is queried once the headers of its answer have arrived. If it then states
    the start that it registered, no later incarnation writes the stream.
    """

    NONE = "none"  # nothing: it is not queried
    VERSION = "version"  # whether the version is known that begins the stream; if it
    # is not, `AcceptUnconfirmed` is waited for
    RECORD = "record"  # the same, for a target that cannot state its start
    COPY = "copy"  # whether a copy of the run may be used
    STREAM = "stream"  # whether the stream is read


@dataclass(frozen=True, slots=True)
class KeptRun:
    """What an engine keeps of a run, which states afterwards that it is complete.

    Attributes:
        model: Model of the run; the same part may be kept for others as well.
        part: Id of the last part of the prompt, by which the engine lists it.
        tokens: Number of tokens of this part in the prompt.
        duration: How long it is kept after the end, in milliseconds.
        released: Whether the engine is ordered to keep it no longer once its end is
            known.
        listed: Whether the engine is asked, while it runs, what it lists of the prompt.
    """

    model: str
    part: str
    tokens: int
    duration: Millis
    released: bool = True
    listed: bool = False


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """Send a request to a target, or to another entry.

    Attributes:
        number: Number of the request.
        attempt: Number of the attempt, unique in this process.
        customer: Name of the request's customer, or "".
        born: Start of the target as registered, as a Unix time in milliseconds; 0 if it
            is not known.
        deadline: Monotonic time in milliseconds at which the target may stop work.
        priority: Urgency for the engine; 0 is the most urgent. None for plain services.
        backup: Target that is to keep a running backup of the run, or "".
        source: Copy of the run to resume from, or None.
        after: Id of the last event that the caller has received; None if it has none.
        stream: Whether the answer is a stream of events.
        relay: Entry that gets the request in place of a target, or None.
        confirm: What rests on the start that the target states after it accepted the
            attempt.
        keep: What the engine is to keep of the run once it is complete, or None.
    """

    number: int
    attempt: int
    target: str
    customer: str
    deadline: Millis
    priority: int | None = None
    backup: str = ""
    source: RunCopy | None = None
    after: int | None = None
    stream: bool = False
    relay: RelayTo | None = None
    confirm: Confirmation = Confirmation.NONE
    born: int = 0
    keep: KeptRun | None = None


@dataclass(frozen=True, slots=True)
class CloseAttempt:
    """Close an attempt's connection, which ends its run at most engines."""

    attempt: int


@dataclass(frozen=True, slots=True)
class AcceptUnconfirmed:
    """Read a new stream although its target has not stated its registered start."""

    attempt: int


@dataclass(frozen=True, slots=True)
class CopyRun:
    """Order the engine that runs a request to copy the run to another engine."""

    number: int
    source: str
    holder: str


@dataclass(frozen=True, slots=True)
class StopRun:
    """Order an engine to stop a run whose connection is closed, if it still runs.

    Attributes:
        number: Number of the request.
        request: Id that the caller gave the request, by which the engine knows the run.
        target: Engine that may still work on the run.
        destination: Engine to which the order lets the run's memory be copied.
        until: Deadline of the request (monotonic), in milliseconds; no engine works on
            the run after that.
    """

    number: int
    request: str
    target: Incarnation
    destination: str
    until: Millis


@dataclass(frozen=True, slots=True)
class DropCopy:
    """Free a copy on order, unless the engine that made it has restarted."""

    copy: RunCopy


@dataclass(frozen=True, slots=True)
class WriteHistory:
    """Write versions of targets and starts of streams to the store.

    Records of versions replace those written before; starts are added to them.
    """

    versions: tuple[RecordedVersion, ...]
    starts: tuple[StreamStart, ...]


@dataclass(frozen=True, slots=True)
class ReadVersions:
    """Read the versions that entries wrote to the store."""


@dataclass(frozen=True, slots=True)
class ReadReport:
    """Query an engine for its state."""

    target: str


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """Probe whether a target still listens at its address."""

    target: str


@dataclass(frozen=True, slots=True)
class CheckTarget:
    """Check whether a connection to a target can be established.

    Attributes:
        asks_life: Whether the target also has to state that it lives.
    """

    target: str
    asks_life: bool = False


@dataclass(frozen=True, slots=True)
class FetchRecords:
    """Fetch the configuration and the registrations from a peer at "ip:port"."""

    address: str


@dataclass(frozen=True, slots=True)
class Announce:
    """Send this entry's state and open work to its local entries at once.

    They are all other entries in a small fleet, and those of the entry's own failure
    domain in a large one.
    """


@dataclass(frozen=True, slots=True)
class AnnounceTarget:
    """Send other failure domains this one's open work at a target, at once.

    The work is summed over the entries of this failure domain.
    """

    target: str


@dataclass(frozen=True, slots=True)
class BeginStream:
    """Start the caller's answer with the headers that an attempt received."""

    number: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send bytes of a stream to the caller."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class FinishStream:
    """End the caller's answer: the stream is complete."""

    number: int


@dataclass(frozen=True, slots=True)
class BreakStream:
    """Cut the caller's connection: the stream can't continue."""

    number: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Send the caller the complete answer that an attempt received."""

    number: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Send the caller a problem of this entry as its final answer."""

    number: int
    problem: Problem


@dataclass(frozen=True, slots=True)
class Count:
    """Increment a counter by one."""

    name: str
    labels: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Observe:
    """Add a duration to a histogram."""

    name: str
    millis: int
    label: str


@dataclass(frozen=True, slots=True)
class Note:
    """Write one line to the structured log.

    Attributes:
        message: Text of the line: the decision or event.
        fields: Id of the request, the inputs with their age or version, the outcome.
    """

    message: str
    fields: dict[str, str | int | float | None] = field(default_factory=dict)


Effect = (
    OpenAttempt
    | CloseAttempt
    | AcceptUnconfirmed
    | CopyRun
    | StopRun
    | DropCopy
    | WriteHistory
    | ReadVersions
    | ReadReport
    | ProbeTarget
    | CheckTarget
    | FetchRecords
    | Announce
    | AnnounceTarget
    | BeginStream
    | Deliver
    | FinishStream
    | BreakStream
    | Answer
    | Refuse
    | Count
    | Observe
    | Note
)
