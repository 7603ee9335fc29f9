"""Effects: everything the reducer asks the edges to do."""

from dataclasses import dataclass
from typing import Any

from figstep.core.clock import Millis
from figstep.core.events import Timer
from figstep.core.gossip import Gossip
from figstep.core.orders import Order
from figstep.core.problems import Problem


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """Send the request's body to a target.

    Attributes:
        request: The request.
        attempt: Number of the attempt, unique in this process.
        target: Target name.
        generation: Generation id for the target to use.
        priority: Priority for the target.
        once: Whether the bytes may go out only once.
    """

    request: str
    attempt: int
    target: str
    generation: str
    priority: int = 0
    once: bool = False


@dataclass(frozen=True, slots=True)
class ResumeAttempt:
    """Reattach to a generation over a new connection, after ``after``."""

    request: str
    attempt: int
    target: str
    generation: str
    after: int


@dataclass(frozen=True, slots=True)
class CloseAttempt:
    """Drop the attempt's connection; the generation may go on."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ReplacePool:
    """Open new connections to a target from now on; idle ones are dropped."""

    target: str


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """Look whether a target still listens at its address."""

    target: str


@dataclass(frozen=True, slots=True)
class CancelGeneration:
    """Tell a target to stop a generation that nobody wants."""

    target: str
    generation: str


@dataclass(frozen=True, slots=True)
class Deliver:
    """Hand events to the caller, in order."""

    request: str
    frames: list[bytes]


@dataclass(frozen=True, slots=True)
class DiscardDelivered:
    """Forget what was gathered for a caller that has seen none of it."""

    request: str


@dataclass(frozen=True, slots=True)
class Complete:
    """The answer is whole: end the caller's response.

    Attributes:
        request: The request.
        attempt: Attempt whose gathered service answer is delivered, if any.
    """

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ReplayAnswer:
    """Give a duplicate the answer that the first request got.

    Attributes:
        request: The duplicate.
        status: HTTP status of the recorded answer.
        content_type: Its content type.
        body: Its body.
    """

    request: str
    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Refuse:
    """Give the caller its final answer: a problem."""

    request: str
    problem: Problem


@dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append to a stream; answered by the same key.

    Attributes:
        stream: Name of the stream.
        key: Unique in this process.
        records: JSON objects.
    """

    stream: str
    key: int
    records: list[dict[str, Any]]


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send one datagram to a peer at "host:port"."""

    address: str
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class FetchCheckpoint:
    """Ask the peer at "host:port" for its checkpoint."""

    address: str


@dataclass(frozen=True, slots=True)
class ReadConfigurationFrom:
    """Read the configuration stream on from ``offset``."""

    offset: int


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Give an engine an order.

    Attributes:
        number: Number of the order, unique in this process.
        target: Target name.
        order: The wanted state.
        fencing: Fencing number of the lease that covers it.
        until: When the lease ends (monotonic); nothing is sent from then on.
    """

    number: int
    target: str
    order: Order
    fencing: int
    until: Millis


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Fire ``timer`` at ``at`` (monotonic); an earlier one is replaced."""

    timer: Timer
    at: Millis


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a statsd counter."""

    name: str
    value: int = 1


@dataclass(frozen=True, slots=True)
class Note:
    """Write one line to the structured log.

    Attributes:
        message: What happened.
        fields: Request, generation, attempt, target, customer and the like.
    """

    message: str
    fields: dict[str, str | int]


Effect = (
    OpenAttempt
    | ResumeAttempt
    | CloseAttempt
    | ReplacePool
    | ProbeTarget
    | CancelGeneration
    | Deliver
    | DiscardDelivered
    | Complete
    | ReplayAnswer
    | Refuse
    | AppendRecords
    | ReadConfigurationFrom
    | SendGossip
    | FetchCheckpoint
    | SendOrder
    | WakeAt
    | Count
    | Note
)
