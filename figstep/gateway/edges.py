"""Abstract interfaces between the gateway and its adapters for network traffic."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from figstep.core.problems import Problem
from figstep.gateway.effects import CopyRun, OpenAttempt, StopRun, WriteHistory
from figstep.gateway.runs import RunCopy


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of a target's answer, as they are sent to the caller.

    Attributes:
        length: Length of a body that is sent as it arrives, in bytes; None if the
            target did not state it.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int | None = None


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """Complete answer of a target, as it is sent to the caller."""

    head: AnswerHead
    body: bytes


class TargetPort(ABC):
    """Port to the targets.

    Results are dispatched as events. The content of answers is kept by the port, and
    is read with ``find_head`` and ``find_answer``.
    """

    @abstractmethod
    def open_attempt(self, effect: OpenAttempt) -> None:
        """Open a connection to a target and send a request."""

    @abstractmethod
    def close_attempt(self, attempt: int) -> None:
        """Close an attempt's connection."""

    @abstractmethod
    def accept_unconfirmed(self, attempt: int) -> None:
        """Read a new stream whose target has not stated its registered start."""

    @abstractmethod
    def copy_run(self, effect: CopyRun) -> None:
        """Order an engine to copy a run to another engine."""

    @abstractmethod
    def stop_run(self, effect: StopRun) -> None:
        """Order an engine to stop a run whose connection is closed."""

    @abstractmethod
    def drop_copy(self, copy: RunCopy) -> None:
        """Free a copy of a run."""

    @abstractmethod
    def read_report(self, target: str) -> None:
        """Query an engine for its state."""

    @abstractmethod
    def probe_target(self, target: str) -> None:
        """Probe whether a target still listens at its address."""

    @abstractmethod
    def check_target(self, target: str, asks_life: bool = False) -> None:
        """Check whether a connection to a target can be established.

        With ``asks_life`` the target also has to state that it lives.
        """

    @abstractmethod
    def find_head(self, attempt: int) -> AnswerHead:
        """Return the status and headers of an open attempt's stream."""

    @abstractmethod
    def find_answer(self, attempt: int) -> WholeAnswer:
        """Return the complete answer of an attempt.

        It is available only while the event is handled that reports the answer.
        """


class CallerPort(ABC):
    """Port to the callers, whose requests are dispatched as events.

    Calls name a request by the number in its ``RequestArrived`` event, and are ignored
    if the request is no longer open.
    """

    @abstractmethod
    def begin_stream(self, number: int, head: AnswerHead) -> None:
        """Start a stream to a caller."""

    @abstractmethod
    def deliver(self, number: int, data: bytes) -> None:
        """Send bytes of a stream to a caller."""

    @abstractmethod
    def finish_stream(self, number: int) -> None:
        """End a stream as complete."""

    @abstractmethod
    def break_stream(self, number: int) -> None:
        """Cut a stream off so that it cannot look complete."""

    @abstractmethod
    def answer(self, number: int, answer: WholeAnswer) -> None:
        """Send a caller a target's complete answer."""

    @abstractmethod
    def refuse(self, number: int, problem: Problem) -> None:
        """Send a caller an error answer that the gateway made itself."""


class PeerPort(ABC):
    """Port to the other entries."""

    @abstractmethod
    def fetch_records(self, address: str) -> None:
        """Request the records that the peer at "ip:port" has read from the store."""

    @abstractmethod
    def announce(self) -> None:
        """Send the message that describes this entry to its peers at once."""

    @abstractmethod
    def announce_target(self, target: str) -> None:
        """Send other failure domains this failure domain's load at one target."""


class HistoryPort(ABC):
    """Port to what entries write to the store."""

    @abstractmethod
    def write_history(self, effect: WriteHistory) -> None:
        """Write versions and starts; HistoryWritten is dispatched at the end."""

    @abstractmethod
    def read_versions(self) -> None:
        """Read the versions; VersionsRead or VersionsUnread is dispatched at the end.

        All versions are read that were confirmed as written before the call.
        """
