"""Events: the inputs of the reducer."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from figstep.core.clock import Millis
from figstep.core.gossip import Gossip
from figstep.core.inventory import Inventory
from figstep.core.orders import OrderOutcome
from figstep.core.problems import Problem
from figstep.core.records import LogRecord
from figstep.core.specs import RequestSpec


class Loss(Enum):
    """Way in which an attempt was lost, as its edge or the reducer observed it."""

    CONNECT_FAILED = "connect_failed"  # no byte was handed to a connection
    REFUSED = "refused"  # the target refused before running
    NOT_FOUND = "not_found"  # the target does not have the generation to resume
    BROKEN = "broken"  # an open connection broke, or its events have a gap
    TRUNCATED = "truncated"  # the stream ended without an end marker or finish reason
    WRONG_GENERATION = "crossed"  # the answer belongs to another generation
    FAILED = "failed"  # a server error, or a refusal that does not prove "not run"
    SILENT = "silent"  # no data arrived for longer than the silence limit
    EMPTY = "empty"  # an end marker arrived without an event before it
    SHUTDOWN = "shutdown"  # this process closed the connection on shutdown


# Callers


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A validated request arrived from a caller."""

    spec: RequestSpec


@dataclass(frozen=True, slots=True)
class CallerReturned:
    """A caller whose connection broke requests the rest of a generation.

    Attributes:
        spec: The returning request, under a new request id.
        generation: Id of the generation of the last event that it received.
        index: Index of the last event that it received, from 1.
    """

    spec: RequestSpec
    generation: str
    index: int


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection before the answer ended.

    Attributes:
        cancel: Whether the generation is to be cancelled at its target.
    """

    request: str
    cancel: bool = True


# Targets


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """The target accepted an attempt: its response headers arrived."""

    attempt: int


@dataclass(frozen=True, slots=True)
class TokensArrived:
    """Consecutive token events of one generation, from one read of a connection.

    Attributes:
        generation: Id of the generation that the events name.
        first: Index of the first event, from 1.
        frames: The events as they are sent to the caller, one per index.
    """

    attempt: int
    generation: str
    first: int
    frames: list[bytes]


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The target sent the end marker of an answer."""

    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptLost:
    """An attempt ended without a whole answer.

    Attributes:
        retry_after: Pause that the target requested, in milliseconds, or None.
        detail: Description for the log.
    """

    attempt: int
    loss: Loss
    retry_after: Millis | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class TargetDown:
    """A probe was refused: no process listens at the target's address."""

    target: str


@dataclass(frozen=True, slots=True)
class AttemptRejected:
    """The target rejected the request itself as invalid.

    That is any status except 200, the refusals 429 and 503, server errors, and 404
    as the answer to a resume.
    """

    attempt: int
    problem: Problem


@dataclass(frozen=True, slots=True)
class ServiceAnswered:
    """A plain service answered; the edge holds the body until delivery.

    Attributes:
        body: Body of the answer if it is small enough to be recorded, else None.
    """

    attempt: int
    status: int
    content_type: str = ""
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A target reported its load, as it was ``age`` milliseconds ago.

    Attributes:
        incarnation: Number that grows each time the target starts.
        leaving: Whether the target takes no new work.
        running: Number of generations that are decoding.
        waiting: Number of generations in the engine's queue.
        memory_used: Cache memory in use, in tokens.
        memory_total: Cache memory, in tokens.
        models: Loaded models and adapters, each as "model@version" or
            "model+adapter".
    """

    target: str
    incarnation: int = 0
    leaving: bool = False
    running: int = 0
    waiting: int = 0
    memory_used: int = 0
    memory_total: int = 0
    models: tuple[str, ...] = ()
    age: Millis = Millis(0)


# Platform


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """An edit in the configuration stream.

    Attributes:
        base: Offset of the edit in force that this edit was made from; -1 for none.
        base_edit: Id of that edit; "" if the record does not name it.
        inventory: The validated document, or None if it is not valid or its
            validation version is not known here.
        problems: Reasons why the document is not valid.
        edit: Unique id of the edit.
        validation: Version of the validation rules that the edit was made for.
        document: The document as published.
        known: Whether this program knows the validation version.
        time: When the log stored the record, in milliseconds since the Unix epoch.
    """

    offset: int
    base: int
    author: str
    reason: str
    inventory: Inventory | None
    problems: tuple[str, ...] = ()
    edit: str = ""
    validation: int = 1
    document: dict[str, Any] = field(default_factory=dict)
    known: bool = True
    base_edit: str = ""
    time: int = 0


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Result of folding all records of the configuration stream up to a position.

    Attributes:
        accepted: Offset of the edit in force.
        position: Offset of the last record that was folded.
        edit: Unique id of the edit in force.
        validation: Version of the validation rules that the edit was made for.
        document: The document as published.
        inventory: The validated document, or None if this program cannot read it.
        time: When the log stored the edit in force, in milliseconds since the Unix
            epoch; 0 if the checkpoint does not say.
        era: Era of the log in which ``accepted`` and ``position`` are offsets.
    """

    accepted: int
    position: int
    edit: str
    author: str
    reason: str
    validation: int
    document: dict[str, Any]
    inventory: Inventory | None
    time: int = 0
    era: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotRead:
    """A snapshot record in the configuration stream.

    Attributes:
        age: Time since the log stored the record, in milliseconds.
    """

    offset: int
    checkpoint: Checkpoint
    age: Millis = Millis(0)


@dataclass(frozen=True, slots=True)
class CheckpointOffered:
    """A peer sent its checkpoint of the configuration."""

    checkpoint: Checkpoint


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """An entry of the platform's instance list.

    Attributes:
        kind: "entry" for entries of this system, "target" for all others.
        address: Base URL of the instance.
        leaving: Whether the platform is about to stop the instance.
        incarnation: Number that grows each time the instance starts; 0 if the list
            does not name it.
        peers: Address at which an entry listens for peers, as "host:port", or "".
    """

    name: str
    kind: str
    address: str
    failure_domain: str
    leaving: bool = False
    incarnation: int = 0
    peers: str = ""


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's instance list was read; it may be out of date."""

    instances: tuple[InstanceInfo, ...] = field(default_factory=tuple)


@dataclass(frozen=True, slots=True)
class PeerListenerOpened:
    """This entry started to listen for peers.

    Attributes:
        address: Address of the listener, as "host:port".
        incarnation: Number greater than that of any earlier process of this name.
        start: Addresses of other entries to contact first, as "host:port".
    """

    address: str
    incarnation: int
    start: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """An authenticated message of a peer arrived."""

    gossip: Gossip


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """New records were read, in order, from a stream other than the configuration."""

    stream: str
    records: tuple[LogRecord, ...]


@dataclass(frozen=True, slots=True)
class AppendConfirmed:
    """The log confirmed an append.

    Attributes:
        key: Key of the ``AppendRecords`` effect.
        offset: Offset of the first appended record.
    """

    key: int
    offset: int


@dataclass(frozen=True, slots=True)
class AppendUncertain:
    """An append got no answer: it may or may not have taken effect."""

    key: int


@dataclass(frozen=True, slots=True)
class StreamCaughtUp:
    """A follower has read its stream up to the current end."""

    stream: str


@dataclass(frozen=True, slots=True)
class StreamRestarted:
    """A follower reads its stream from the begin, in another era of the log.

    An era begins when the log comes back from an older copy. The follower of a process
    that starts in an era other than 0 begins with this event.

    Attributes:
        era: How often the log has come back from an older copy.
    """

    stream: str
    era: int


@dataclass(frozen=True, slots=True)
class StreamUnavailable:
    """A follower cannot read its stream: the log is down or slow."""

    stream: str


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """An order to an engine was answered, failed without an answer or was not sent.

    Attributes:
        order: Number of the ``SendOrder`` effect.
    """

    order: int
    outcome: OrderOutcome


# Timers and life cycle


@dataclass(frozen=True, slots=True)
class RequestTimer:
    """Timer for the deadline of a request's first byte."""

    request: str


@dataclass(frozen=True, slots=True)
class RetryTimer:
    """Timer for the end of the backoff before a request is resumed."""

    request: str


@dataclass(frozen=True, slots=True)
class ClaimTimer:
    """Timer for the wait for a claim, or for the outcome of another request."""

    request: str


@dataclass(frozen=True, slots=True)
class OutcomeTimer:
    """Timer to append outcomes again that the log has not confirmed."""


@dataclass(frozen=True, slots=True)
class EraTimer:
    """Timer to begin the requests whose claims were held in a new era of the log."""


@dataclass(frozen=True, slots=True)
class RestoreEditTimer:
    """Timer to append the edit in force if the log has lost it."""


@dataclass(frozen=True, slots=True)
class RestoreTimer:
    """Timer to append claims that the log has lost and nobody has restored."""


@dataclass(frozen=True, slots=True)
class AttemptTimer:
    """Timer to check an attempt, which is lost if it was silent beyond its limit."""

    attempt: int


@dataclass(frozen=True, slots=True)
class QueueTimer:
    """Timer to try to start queued requests."""


@dataclass(frozen=True, slots=True)
class GossipTimer:
    """Timer for the next periodic round of gossip."""


@dataclass(frozen=True, slots=True)
class FetchTimer:
    """Timer to fetch a peer's document, unless the log has delivered it by then."""


@dataclass(frozen=True, slots=True)
class SnapshotTimer:
    """Timer to check whether the configuration needs a new snapshot."""


@dataclass(frozen=True, slots=True)
class PlacementTimer:
    """Timer for the next round of leases and orders."""


Timer = (
    RequestTimer
    | RetryTimer
    | ClaimTimer
    | OutcomeTimer
    | EraTimer
    | RestoreTimer
    | RestoreEditTimer
    | AttemptTimer
    | QueueTimer
    | SnapshotTimer
    | PlacementTimer
    | GossipTimer
    | FetchTimer
)


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that a ``WakeAt`` effect set has fired."""

    timer: Timer


@dataclass(frozen=True, slots=True)
class Started:
    """The process started, so its periodic timers are to be set."""


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process was asked to end: it refuses new requests; open ones continue."""


@dataclass(frozen=True, slots=True)
class ShutdownForced:
    """The process ends now, and every open request is refused."""


Event = (
    RequestArrived
    | CallerReturned
    | CallerGone
    | AttemptAnswered
    | TokensArrived
    | AttemptEnded
    | AttemptLost
    | TargetDown
    | AttemptRejected
    | ServiceAnswered
    | LoadReported
    | ConfigurationRead
    | SnapshotRead
    | CheckpointOffered
    | InstancesListed
    | PeerListenerOpened
    | GossipReceived
    | RecordsRead
    | AppendConfirmed
    | AppendUncertain
    | StreamCaughtUp
    | StreamRestarted
    | StreamUnavailable
    | OrderAnswered
    | TimerFired
    | Started
    | ShutdownRequested
    | ShutdownForced
)
