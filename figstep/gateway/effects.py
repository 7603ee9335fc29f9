"""Effects: everything the gateway's reducer asks the edges to do."""

from dataclasses import dataclass, field

from figstep.core.clock import Millis
from figstep.core.problems import Problem


@dataclass(frozen=True, slots=True)
class RunCopy:
    """Memory of a run that is kept away from the engine that runs it.

    Attributes:
        holder: Target that holds it.
        owner: Target whose address names it: the holder for a running backup,
            the source for a copy made on order.
        handle: Its name there.
    """

    holder: str
    owner: str
    handle: str


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """Send a request to a target.

    Attributes:
        number: The request.
        attempt: Number of the attempt, unique in this process.
        target: Target to send it to.
        customer: Name of its customer, or "".
        deadline: When the target may stop work (monotonic).
        priority: Urgency for the engine; 0 is first. None for plain services.
        backup: Target that gets a running copy, or "".
        source: Copy of the run to go on from, or None.
        after: Id of the last event that is not wanted again, or None.
        stream: Whether its answer is a stream of events.
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


@dataclass(frozen=True, slots=True)
class CloseAttempt:
    """Drop an attempt's connection, which ends its run."""

    attempt: int


@dataclass(frozen=True, slots=True)
class CopyRun:
    """Order the engine that runs a request to copy it to another engine."""

    number: int
    source: str
    holder: str


@dataclass(frozen=True, slots=True)
class DropCopy:
    """Free a copy that is of no use any more."""

    copy: RunCopy


@dataclass(frozen=True, slots=True)
class ReadReport:
    """Ask an engine for its state."""

    target: str


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """Look whether a target still listens at its address."""

    target: str


@dataclass(frozen=True, slots=True)
class FetchRecords:
    """Ask a peer at "ip:port" for the configuration and the registrations."""

    address: str


@dataclass(frozen=True, slots=True)
class Announce:
    """Tell the other entries at once what this one knows and has open."""


@dataclass(frozen=True, slots=True)
class AnnounceTarget:
    """Tell other failure domains at once what this one has open at a target."""

    target: str


@dataclass(frozen=True, slots=True)
class BeginStream:
    """Start the caller's answer with the headers that an attempt got."""

    number: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Deliver:
    """Hand bytes of a stream to the caller."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class FinishStream:
    """The stream is whole: end the caller's answer."""

    number: int


@dataclass(frozen=True, slots=True)
class BreakStream:
    """The stream can't go on: cut the caller's connection."""

    number: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Give the caller the whole answer that an attempt got."""

    number: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Give the caller a final answer of our own."""

    number: int
    problem: Problem


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a counter."""

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
        message: What was decided.
        fields: The request's id, the inputs, their age or version, the outcome.
    """

    message: str
    fields: dict[str, str | int | float | None] = field(default_factory=dict)


Effect = (
    OpenAttempt
    | CloseAttempt
    | CopyRun
    | DropCopy
    | ReadReport
    | ProbeTarget
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
