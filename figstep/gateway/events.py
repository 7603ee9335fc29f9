"""Events: everything the gateway's reducer reacts to."""

from dataclasses import dataclass, field
from enum import Enum

from figstep.core.clock import Millis
from figstep.core.crashes import Clearance, Suspicion
from figstep.gateway.budgets import UseReport
from figstep.gateway.places import NO_EVACUATIONS, Evacuations
from figstep.gateway.prompts import Prompt
from figstep.gateway.refusals import Refusal
from figstep.gateway.routes import RoutingTable
from figstep.gateway.targets import Incarnation, Registration


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """One attempt of a caller, as far as decisions need it.

    Attributes:
        number: Unique in this process.
        id: The caller's own id of this attempt.
        method: HTTP method.
        host: Host that it names.
        path: Path, without its query.
        key: Key of its customer, or None.
        max_wait: How long the caller waits, or None if it didn't say.
        prompt: What its generation needs; None for other calls.
        after: Id of the last event that a returning caller saw, or None.
        digest: Hash of path, body and caller; the same when it is sent again.
        body_bytes: Size of its body.
    """

    number: int
    id: str
    method: str
    host: str
    path: str
    key: str | None = None
    max_wait: Millis | None = None
    prompt: Prompt | None = None
    after: int | None = None
    digest: str = ""
    body_bytes: int = 0


class Loss(Enum):
    """How an attempt was lost, as far as its edge can tell."""

    UNREACHED = "unreached"  # no connection: no byte was sent
    REFUSED = "refused"  # the target says that it did not run
    MISDIRECTED = "misdirected"  # another target has the address: did not run
    BROKEN = "broken"  # the connection broke after bytes went out
    GARBLED = "garbled"  # what came is no answer to this request
    FAILED = "failed"  # the target answered with a failure of its own
    SILENT = "silent"  # given up on: nothing came for too long
    CUT = "cut"  # this entry closed it


# Callers


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request was read to its end."""

    request: RoutedRequest


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection before its answer ended."""

    number: int


# Targets


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """A target accepted an attempt of a stream: its headers came."""

    attempt: int


@dataclass(frozen=True, slots=True)
class StreamPiece:
    """One event of a stream, as it came.

    Attributes:
        index: Its id; they grow by one.
        data: Its bytes, with the closing blank line.
    """

    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class PiecesArrived:
    """Events of a stream, read in one go."""

    attempt: int
    pieces: list[StreamPiece]


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The target ended its stream as whole.

    Attributes:
        attempt: The attempt.
        tail: Bytes after the last event.
    """

    attempt: int
    tail: bytes = b""


@dataclass(frozen=True, slots=True)
class AnswerArrived:
    """A target gave a whole answer; the edge holds it until it is delivered.

    Attributes:
        attempt: The attempt.
        status: Its HTTP status.
    """

    attempt: int
    status: int


@dataclass(frozen=True, slots=True)
class AttemptLost:
    """An attempt ended without an answer.

    Attributes:
        attempt: The attempt.
        loss: How it was lost.
        retry_after: When the target wants to be asked again, or None.
        detail: For the log.
        status: HTTP status of the whole answer that tells the failure and can be
            handed on; None if there is none.
        down: Whether nobody listens at the target's address.
    """

    attempt: int
    loss: Loss
    retry_after: Millis | None = None
    detail: str = ""
    status: int | None = None
    down: bool = False


@dataclass(frozen=True, slots=True)
class TargetDown:
    """A probe found that nobody listens at a target's address."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class RunCopied:
    """A copy of a run is complete at another engine.

    Attributes:
        number: Request whose run it is.
        source: Target that made it.
        holder: Target that holds it.
        handle: Its name at the source.
    """

    number: int
    source: str
    holder: str
    handle: str


@dataclass(frozen=True, slots=True)
class RunNotCopied:
    """An order to copy a run failed.

    Attributes:
        number: Request whose run it is.
        source: Target that runs it.
        holder: Target that should have got the copy.
        detail: For the log.
    """

    number: int
    source: str
    holder: str
    detail: str


@dataclass(frozen=True, slots=True)
class EngineReported:
    """An engine was asked for its state.

    Attributes:
        target: The engine.
        leaving: Whether it says that it takes no new work.
        ending: Whether it says as well when it ends.
        memory: Tokens of its memory in use half a second ago that can't yield;
            None if it doesn't say.
    """

    target: str
    leaving: bool
    memory: int | None = None
    ending: bool = True


@dataclass(frozen=True, slots=True)
class TargetLeaving:
    """A target's answer said that the target leaves.

    Attributes:
        incarnation: The life of the target that the request was sent to.
    """

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class RateNamed:
    """A target's answer named the rate that it takes, or no longer names one.

    Attributes:
        target: The target.
        rate: Requests a second that it takes from all entries together; None if
            it takes any.
        asked: When the answered request was sent.
    """

    target: str
    rate: float | None
    asked: Millis


# Store and peers


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A version of the configuration was read."""

    table: RoutingTable


@dataclass(frozen=True, slots=True)
class TargetRegistered:
    """A target's registration was read."""

    info: Registration


@dataclass(frozen=True, slots=True)
class TargetDeparted:
    """A target's registration is gone."""

    target: str


@dataclass(frozen=True, slots=True)
class TargetsListed:
    """All registrations were read at once; what is not among them is gone.

    Attributes:
        registrations: The registrations.
        position: Offset in the store up to which they were read.
    """

    registrations: tuple[Registration, ...]
    position: int = -1


@dataclass(frozen=True, slots=True)
class PositionRead:
    """Registrations were read on, up to an offset in the store."""

    position: int


@dataclass(frozen=True, slots=True)
class EvacuationsRead:
    """The operator's evacuations were read in the store."""

    evacuations: Evacuations


@dataclass(frozen=True, slots=True)
class StoreLost:
    """The store stopped answering: registrations may lapse unseen."""


@dataclass(frozen=True, slots=True)
class StoreRegained:
    """The store answers again; lapsed registrations come back by themselves."""


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """What another entry has open at one target.

    Attributes:
        target: The target.
        calls: Open attempts.
        memory: Tokens that they are expected to take.
        reading: Prompt tokens that are still to be read for them.
        read_rate: Prompt tokens that the target reads in a millisecond, as the
            entry saw it; None if it didn't.
        incoming: Tokens of runs that are being copied to it.
        outgoing: Tokens of runs that are being copied from it.
    """

    target: str
    calls: int
    memory: int
    reading: int = 0
    read_rate: float | None = None
    incoming: int = 0
    outgoing: int = 0


@dataclass(frozen=True, slots=True)
class RateReport:
    """What a target's newest answer to an entry named.

    Attributes:
        incarnation: The life of the target that gave it.
        rate: Requests a second that it takes from all entries together; None if
            it takes any.
        age: Time since that answer.
        turn: How often its rate had passed to other entries.
    """

    incarnation: Incarnation
    rate: float | None
    age: Millis
    turn: int = 0


@dataclass(frozen=True, slots=True)
class PeerHeard:
    """A message of another entry came.

    Attributes:
        node: Its name.
        loads: What it has open, by target; all that it has.
        uses: What it sent to each service of late.
        suspicions: Requests that were at targets which crashed.
        clearances: Suspected requests that have run to an answer of late.
        closing: Whether the peer is shutting down.
        address: Where it listens for peers, as "ip:port".
        configuration: Version that it has in force; -1 for none.
        position: How far it has read the registrations; -1 for nothing.
        failure_domain: Its failure domain.
        entries: Entries that it knows of, itself included.
        far: Whether the loads are those of all entries of its failure domain,
            told to another one.
        refused: Requests that it refused of late for want of room.
        partial: Whether the loads are only those that changed since it last told
            all.
        receives_records: Whether records of the store reach it, from whomever.
        answered: Whether the store answers it, as far as it reads the store.
        reading: Whether it reads the store's records as they come.
        leaving: Targets that said of late that they leave, or that others told
            it of.
        evacuations: Failure domains that it takes to be evacuated.
        unreached: Targets that it could not connect to of late.
        rates: What targets have named in answers to it of late.
    """

    node: str
    loads: tuple[PeerLoad, ...] = ()
    uses: tuple[UseReport, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    clearances: tuple[Clearance, ...] = ()
    closing: bool = False
    address: str = ""
    configuration: int = -1
    position: int = -1
    failure_domain: str = ""
    entries: int = 1
    far: bool = False
    receives_records: bool = True
    answered: bool = True
    reading: bool = False
    leaving: tuple[Incarnation, ...] = ()
    partial: bool = False
    refused: tuple[Refusal, ...] = ()
    evacuations: Evacuations = NO_EVACUATIONS
    unreached: tuple[str, ...] = ()
    rates: tuple[RateReport, ...] = ()


@dataclass(frozen=True, slots=True)
class EntriesCounted:
    """The entries of the fleet were counted, this one included."""

    entries: int


# Life cycle


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed: bounds on waits are looked at."""


@dataclass(frozen=True, slots=True)
class SettingsRead:
    """The settings were read again: what they say may differ.

    Attributes:
        retry_ratio: Repeats for each request.
        retry_allowance: Repeats of the fleet beyond the ratio, in a window.
        retry_window: Length of that window.
        regions: Region of each failure domain.
    """

    retry_ratio: float
    retry_allowance: float
    retry_window: Millis
    regions: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process was asked to end by ``until``; open requests go on."""

    until: Millis


Event = (
    RequestArrived
    | CallerGone
    | StreamOpened
    | PiecesArrived
    | StreamEnded
    | AnswerArrived
    | AttemptLost
    | TargetDown
    | RunCopied
    | RunNotCopied
    | EngineReported
    | TargetLeaving
    | RateNamed
    | ConfigurationRead
    | TargetRegistered
    | TargetDeparted
    | TargetsListed
    | PositionRead
    | EvacuationsRead
    | StoreLost
    | StoreRegained
    | PeerHeard
    | EntriesCounted
    | Ticked
    | SettingsRead
    | ShutdownRequested
)
