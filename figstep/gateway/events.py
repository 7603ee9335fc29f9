"""Events that the gateway's reducer handles."""

from dataclasses import dataclass, field
from enum import Enum

from figstep.core.clock import Millis
from figstep.core.crashes import Clearance, Suspicion
from figstep.core.positions import NO_POSITION, Position
from figstep.gateway.budgets import PastUse, UseReport
from figstep.gateway.demand import DemandReport
from figstep.gateway.places import NO_EVACUATIONS, Evacuations
from figstep.gateway.prompts import Prompt
from figstep.gateway.refusals import Refusal
from figstep.gateway.routes import RoutingTable
from figstep.gateway.runs import RunCopy
from figstep.gateway.starts import RecordedVersion, ServiceVersion, StreamStart
from figstep.gateway.targets import Incarnation, Registration, ReportedRun


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A caller's request, with the fields that decisions depend on.

    Attributes:
        number: Number of the request, unique in this process.
        id: Id that the caller gave the request; "" if it gave none.
        host: Value of the Host header.
        path: Path of the request, without its query.
        key: API key that the caller sent, or None.
        max_wait: How long the caller waits, in milliseconds; None if it names no limit.
        prompt: Description of the prompt; None if the request is not a generation.
        after: Id of the last event that a returning caller received, or None.
        digest: Hash of key, method, path with query, and body; equal when the request
            is sent again.
        relayed: Whether another entry passed the request on.
        waited: Milliseconds from its first arrival at any entry until it was passed on.
        lost_runs: Number of its lost attempts at that entry that may have run.
        version: Software version at which its stream began, according to that entry;
            None if it has not begun.
        may_wait: Whether it may wait here for a target; False if the entry that passed
            it on can wait itself.
        resumes: Id of the caller's attempt that brought the first event of the stream
            which the caller takes up again; "" if it names none.
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
    relayed: bool = False
    waited: Millis = Millis(0)
    lost_runs: int = 0
    version: str | None = None
    resumes: str = ""
    may_wait: bool = True


class Loss(Enum):
    """How an attempt was lost, as far as this entry can tell."""

    UNREACHED = "unreached"  # no connection was made: no byte was sent
    REFUSED = "refused"  # the target states that it did not run the request
    MISDIRECTED = "misdirected"  # not run: another target has the address
    BROKEN = "broken"  # an open connection broke; bytes may have been sent
    GARBLED = "garbled"  # the received bytes are no answer to this request
    FAILED = "failed"  # the target answered with a failure of its own
    SILENT = "silent"  # timed out: nothing arrived for too long
    CUT = "cut"  # this entry closed it
    UNCONFIRMED = "unconfirmed"  # accepted by an unknown incarnation of the target
    OUTDATED_COPY = "outdated_copy"  # not sent: the copy's name may be another copy's


# Callers


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request was read completely."""

    request: RoutedRequest


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection before its answer ended."""

    number: int


# Targets


@dataclass(frozen=True, slots=True)
class AttemptConnected:
    """The connection of an attempt was established; no byte was sent before."""

    attempt: int


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """A target accepted the attempt of a stream: the headers of its answer arrived.

    Attributes:
        delimited: Whether a length or chunks tell where the stream ends.
    """

    attempt: int
    delimited: bool = True


@dataclass(frozen=True, slots=True)
class StreamConfirmed:
    """A target stated, after its stream was opened, the start that it registered."""

    attempt: int


@dataclass(frozen=True, slots=True)
class StreamUnconfirmed:
    """A target did not state in time the start that it registered.

    Its new stream is not read until `AcceptUnconfirmed`.
    """

    attempt: int


@dataclass(frozen=True, slots=True)
class StreamPiece:
    """One event of a target's stream, as received.

    Attributes:
        index: Id of the event; ids grow by one.
        data: Bytes of the event, with the closing blank line.
    """

    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class PiecesArrived:
    """Events of an attempt's stream arrived in one read."""

    attempt: int
    pieces: list[StreamPiece]


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """A target ended its stream after an event.

    Attributes:
        confirmed: Whether the framing states that the stream is complete. If not, its
            target lives and closed the connection, which HTTP allows at any point of
            such an answer.
        empty: Whether the attempt got no event.
        kept: Number of generated tokens that its engine keeps of the run, which was
            asked to keep them if it is complete; None if that is not known.
        lists_none: Whether its engine answered that query with no list of what it
            keeps.
    """

    attempt: int
    confirmed: bool = True
    empty: bool = False
    kept: int | None = None
    lists_none: bool = False


@dataclass(frozen=True, slots=True)
class RestBegun:
    """The first bytes arrived of a stream that goes on after a known event."""

    attempt: int


@dataclass(frozen=True, slots=True)
class StreamClosed:
    """The connection of a stream ended; its target is asked whether it lives."""

    attempt: int


@dataclass(frozen=True, slots=True)
class AnswerBegan:
    """The start of an answer that is too large to be read ahead of its caller.

    The rest is read as fast as the caller reads. AnswerArrived follows at the end.
    """

    attempt: int


@dataclass(frozen=True, slots=True)
class ReadingPaused:
    """The reading of a stream was paused or resumed, as its caller reads slowly."""

    attempt: int
    paused: bool


@dataclass(frozen=True, slots=True)
class AnswerArrived:
    """A target gave a complete answer that reports no failure of its own.

    The target port holds the answer while this event is handled.
    """

    attempt: int
    status: int


@dataclass(frozen=True, slots=True)
class AttemptLost:
    """An attempt ended without an answer, or with a failure of the target.

    Attributes:
        retry_after: Delay in milliseconds that the target asks for before the next
            request; None if it names none.
        detail: Text for the log.
        status: HTTP status of a complete answer that reports a failure and may be
            forwarded to the caller; None if there is no such answer.
        down: Whether the target's address refused the connection, as nothing listens
            there.
        endless: Whether the target's answer did not end.
        ended: Monotonic time in milliseconds at which its connection ended, if that
            was found to be a loss only later; None if it was known at once.
    """

    attempt: int
    loss: Loss
    retry_after: Millis | None = None
    detail: str = ""
    status: int | None = None
    down: bool = False
    endless: bool = False
    ended: Millis | None = None


@dataclass(frozen=True, slots=True)
class TargetDown:
    """A probe found that nothing listens at a target's address.

    Attributes:
        opened: When the connection was opened, as a monotonic time in milliseconds;
            None if that is now.
    """

    incarnation: Incarnation
    opened: Millis | None = None


@dataclass(frozen=True, slots=True)
class TargetChecked:
    """A check of whether a connection to a target can be established has ended.

    Attributes:
        opened: When the connection was opened, as a monotonic time in milliseconds.
        reached: Whether it was established.
        lives: Whether the target stated that it lives; None if it was not asked.
        refused: Incarnation at whose address no process listens, if any.
    """

    target: str
    opened: Millis
    reached: bool
    lives: bool | None = True
    refused: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class RunCopied:
    """A copy of a run is complete at another engine.

    Attributes:
        number: Number of the request that the run belongs to.
        copy: The copy, with the incarnations that were registered when it was ordered.
    """

    number: int
    copy: RunCopy


@dataclass(frozen=True, slots=True)
class RunNotCopied:
    """An order to copy a run failed.

    Attributes:
        number: Number of the request that the run belongs to.
        detail: Text for the log.
    """

    number: int
    source: str
    holder: str
    detail: str


@dataclass(frozen=True, slots=True)
class PromptListed:
    """An engine listed what it keeps of a prompt that it runs.

    Attributes:
        missing: Number of tokens of the prompt that the list lacks; None if it does not
            tell.
    """

    incarnation: Incarnation
    missing: int | None


@dataclass(frozen=True, slots=True)
class EngineReported:
    """An engine answered a query for its state.

    Attributes:
        leaving: Whether it reports that it accepts no new work, or when it ends.
        memory: Tokens of its memory that were in use half a second ago and cannot be
            freed on demand; None if it does not report them.
        ending: Whether it also reports when it will end.
        born: Start of the incarnation that answered, as a Unix time in milliseconds; 0
            if it does not report it.
        runs: Runs that it reports, as of some hundred milliseconds ago.
    """

    target: str
    leaving: bool
    memory: int | None = None
    ending: bool = True
    born: int = 0
    runs: tuple[ReportedRun, ...] = ()


@dataclass(frozen=True, slots=True)
class TargetRestarted:
    """A target reported a start other than the one it registered.

    Attributes:
        incarnation: Incarnation that was registered when the report was queried.
        born: Start that was reported, as a Unix time in milliseconds.
    """

    incarnation: Incarnation
    born: int


@dataclass(frozen=True, slots=True)
class TargetLeaving:
    """A target's answer stated that the target accepts no new requests."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class RateNamed:
    """A target's answer named the rate that it accepts, or ended the limit.

    Attributes:
        rate: Requests per second that it accepts from all entries together; None if it
            accepts any rate.
        asked: When the answered request was sent, as a monotonic time in milliseconds.
        status: HTTP status of the answer.
    """

    target: str
    rate: float | None
    asked: Millis
    status: int = 200


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
    """All registrations were read at once; a target that is not listed is gone.

    Attributes:
        position: Position in the store up to which they were read.
    """

    registrations: tuple[Registration, ...]
    position: Position = NO_POSITION


@dataclass(frozen=True, slots=True)
class PositionRead:
    """Registrations were read up to a further position in the store."""

    position: Position


@dataclass(frozen=True, slots=True)
class EvacuationsRead:
    """The operator's evacuations were read from the store."""

    evacuations: Evacuations


@dataclass(frozen=True, slots=True)
class StoreLost:
    """The store stopped answering this entry: registrations may lapse unnoticed."""


@dataclass(frozen=True, slots=True)
class StoreRegained:
    """The store answers again, or this entry no longer reads it itself.

    Targets renew lapsed registrations by themselves.
    """


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """What one entry, or all entries of a failure domain, have open at one target.

    Attributes:
        calls: Number of open attempts.
        memory: Tokens of engine memory that runs and copies are expected to use.
        reading: Prompt tokens that the target has still to read (prefill).
        read_rate: Prompt tokens that the target reads per millisecond, as the entry
            measured it, or the mean of the failure domain's measurements; None without
            a measurement.
        incoming: Tokens of runs that are being copied to the target.
        outgoing: Tokens of runs that are being copied from the target.
        pace: Milliseconds in which the target generates a token of one run, measured
            or averaged as the read rate; None without a measurement.
    """

    target: str
    calls: int
    memory: int
    reading: int = 0
    read_rate: float | None = None
    incoming: int = 0
    outgoing: int = 0
    pace: float | None = None


@dataclass(frozen=True, slots=True)
class RateReport:
    """The rate named in the newest answer of a target to an entry.

    Attributes:
        rate: Requests per second that it accepts from all entries together; None if it
            accepts any rate.
        age: Time since that answer, in milliseconds.
        turn: How often the right to use the rate had passed to other entries because
            no entry had an answer of the target.
    """

    incarnation: Incarnation
    rate: float | None
    age: Millis
    turn: int = 0


@dataclass(frozen=True, slots=True)
class BrittlenessNamed:
    """An answer named how many rejections a second its target bears, or named none.

    Attributes:
        rejections: Rejected requests a second after which the target falls over if
            there are more; None if it is sound.
        asked: When the answered request was sent, as a monotonic time in milliseconds.
        status: HTTP status of the answer.
    """

    target: str
    rejections: float | None
    asked: Millis
    status: int = 200


@dataclass(frozen=True, slots=True)
class BrittlenessReport:
    """How many rejections a second the targets of a service bear.

    Attributes:
        rejections: As the newest answer to an entry named them; None if it named none.
        age: Time since that answer, in milliseconds.
    """

    service: str
    rejections: float | None
    age: Millis


@dataclass(frozen=True, slots=True)
class RejectionReport:
    """A brittle target that had no room for a request of an entry.

    Attributes:
        age: Time since the rejection, in milliseconds.
    """

    target: str
    age: Millis


@dataclass(frozen=True, slots=True)
class PastVersion:
    """Software version that no target of a service has any more.

    Attributes:
        age: Milliseconds since the last target with this version was removed.
    """

    service: str
    version: str
    age: Millis


@dataclass(frozen=True, slots=True)
class HistoryRead:
    """The versions and starts that entries wrote to the store were read.

    Attributes:
        versions: Recorded versions; empty if none was ever written.
        starts: Recorded starts of streams that may still be taken up, oldest first.
    """

    versions: tuple[RecordedVersion, ...]
    starts: tuple[StreamStart, ...]


@dataclass(frozen=True, slots=True)
class HistoryWritten:
    """A write of versions and starts to the store has ended.

    Attributes:
        acknowledged: Whether the store confirmed it; if not, it may have been written.
    """

    versions: tuple[RecordedVersion, ...]
    starts: tuple[StreamStart, ...]
    acknowledged: bool


@dataclass(frozen=True, slots=True)
class VersionsRead:
    """The versions that entries wrote to the store were read again.

    Attributes:
        versions: Recorded versions.
    """

    versions: tuple[RecordedVersion, ...]


@dataclass(frozen=True, slots=True)
class VersionsUnread:
    """The store gave no answer to a read of the versions."""


@dataclass(frozen=True, slots=True)
class ServiceCut:
    """Entries that reach no target of a service.

    Attributes:
        relays: Where these entries accept requests of other entries, as "ip:port". They
            serve no request of this service.
    """

    service: str
    relays: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerHeard:
    """A message of another entry arrived.

    Attributes:
        node: Name of the peer.
        loads: What the peer has open, one item for each target.
        uses: Requests and repeats that it recently sent to each service.
        suspicions: Requests that were at targets which crashed.
        clearances: Suspected requests that recently ran to an answer, and those that
            were answered before their crashes.
        closing: Whether the peer is shutting down.
        address: Where it listens for peers, as "ip:port"; "" in a message that this
            entry has yet to send.
        configuration: Version of the configuration in force at the peer; -1 for none.
        position: Position up to which it has read the registrations.
        entries: Number of entries that it knows, itself included.
        far: Whether the loads are the sums of all entries of its failure domain, sent
            to another failure domain.
        receives_records: Whether records of the store reach it, directly or through
            other entries.
        answered: False if its own reads of the store fail.
        reading: Whether it reads new records from the store itself.
        leaving: Targets that recently announced to it that they leave, or of which
            other entries reported that.
        partial: Whether `loads` holds only changed loads, or that of one target.
            Within a failure domain, changes are relative to the last full message.
        refused: Requests that it recently refused for lack of free capacity.
        evacuations: Failure domains that it knows as evacuated.
        held_evacuations: Failure domains that it keeps evacuated although an older copy
            of the store lacks them; only in the answer to an entry that has just
            started.
        unreached: Ids of targets that it recently could not connect to.
        rates: Rates that targets recently named in answers to it, or to any entry of
            its failure domain if `far` is set.
        relays: Where it accepts requests of other entries, as "ip:port", or where some
            entries of its failure domain do if `far` is set.
        cut_off: Whether it reaches no target of any service.
        cuts: Services from which it, or some of the entries in `relays` if `far` is
            set, are cut off.
        brittle: Services whose targets recently named the rejections that they bear.
        rejected: Brittle targets that recently rejected a request.
        starts: Streams that it, or some entries of its failure domain if `far` is set,
            recently began to deliver, while others can't know their software version.
        past_versions: Software versions that targets had until recently; only in the
            answer to an entry that has just started.
        knows_versions: Whether `past_versions` is complete, as the store or an entry
            that read it has shown.
        recorded: Versions in service whose records the store has confirmed recently, or
            at any time in the answer to an entry that has just started.
        demand: Demand of the peer by class, or of the entries of its failure domain if
            `far` is set; empty if it does not report any.
        process: Random number of the peer's process; 0 in a message that this entry has
            yet to send.
        past_uses: What processes used that ended or fell silent within the window of
            the retry budget; only in the answer to an entry that has just started.
        knows_answers: Whether the peer's process knows which parts of prompts were
            answered before, and tells those that are suspected.
    """

    node: str
    loads: tuple[PeerLoad, ...] = ()
    uses: tuple[UseReport, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    clearances: tuple[Clearance, ...] = ()
    closing: bool = False
    address: str = ""
    configuration: int = -1
    position: Position = NO_POSITION
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
    held_evacuations: tuple[str, ...] = ()
    unreached: tuple[str, ...] = ()
    rates: tuple[RateReport, ...] = ()
    relays: tuple[str, ...] = ()
    cut_off: bool = False
    cuts: tuple[ServiceCut, ...] = ()
    brittle: tuple[BrittlenessReport, ...] = ()
    rejected: tuple[RejectionReport, ...] = ()
    starts: tuple[StreamStart, ...] = ()
    past_versions: tuple[PastVersion, ...] = ()
    knows_versions: bool = False
    recorded: tuple[ServiceVersion, ...] = ()
    demand: tuple[DemandReport, ...] = ()
    process: int = 0
    past_uses: tuple[PastUse, ...] = ()
    knows_answers: bool = False


@dataclass(frozen=True, slots=True)
class EntriesCounted:
    """The entries of the fleet were counted, this one included."""

    entries: int


# Life cycle


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed: timeouts are checked."""


@dataclass(frozen=True, slots=True)
class SettingsRead:
    """The settings were read again and may have changed.

    Attributes:
        retry_ratio: Repeats that the fleet may send a service per request to it.
        retry_allowance: Repeats that the fleet may send a service within a window in
            addition to the ratio.
        retry_window: Length of that window, in milliseconds.
        regions: Region of each failure domain.
    """

    retry_ratio: float
    retry_allowance: float
    retry_window: Millis
    regions: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process was asked to end.

    Attributes:
        until: Monotonic time, in milliseconds, until which open requests may continue.
    """

    until: Millis


Event = (
    RequestArrived
    | CallerGone
    | AttemptConnected
    | StreamOpened
    | StreamConfirmed
    | StreamUnconfirmed
    | PiecesArrived
    | StreamEnded
    | RestBegun
    | StreamClosed
    | AnswerBegan
    | ReadingPaused
    | AnswerArrived
    | AttemptLost
    | TargetDown
    | HistoryRead
    | HistoryWritten
    | VersionsRead
    | VersionsUnread
    | TargetChecked
    | RunCopied
    | RunNotCopied
    | PromptListed
    | EngineReported
    | TargetRestarted
    | TargetLeaving
    | RateNamed
    | BrittlenessNamed
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
