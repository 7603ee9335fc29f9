"""Ports through which the gateway uses its edges, and the answers that pass them."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from figstep.core.problems import Problem
from figstep.gateway.effects import CopyRun, OpenAttempt, RunCopy


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of a target's answer, as they are sent to the caller."""

    status: int
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """Complete answer of a target."""

    head: AnswerHead
    body: bytes


class TargetPort(ABC):
    """Port to the targets; their answers come back as events."""

    @abstractmethod
    def open_attempt(self, effect: OpenAttempt) -> None:
        """Send a request to a target."""

    @abstractmethod
    def close_attempt(self, attempt: int) -> None:
        """Close an attempt's connection."""

    @abstractmethod
    def copy_run(self, effect: CopyRun) -> None:
        """Order an engine to copy a run to another engine."""

    @abstractmethod
    def drop_copy(self, copy: RunCopy) -> None:
        """Free a copy."""

    @abstractmethod
    def read_report(self, target: str) -> None:
        """Query an engine for its state."""

    @abstractmethod
    def probe_target(self, target: str) -> None:
        """Probe whether a target still listens at its address."""

    @abstractmethod
    def find_head(self, attempt: int) -> AnswerHead:
        """Return the status and headers of an open attempt's answer."""

    @abstractmethod
    def find_answer(self, attempt: int) -> WholeAnswer:
        """Return the complete answer of an attempt while its event is handled."""


class CallerPort(ABC):
    """Port to the callers; their requests come in as events."""

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
        """Send a caller an answer of the gateway's own."""


class PeerPort(ABC):
    """Port to the other entries."""

    @abstractmethod
    def fetch_records(self, address: str) -> None:
        """Request from a peer the records that it has read from the store."""

    @abstractmethod
    def announce(self) -> None:
        """Send this entry's loads to its peers at once."""

    @abstractmethod
    def announce_target(self, target: str) -> None:
        """Report to other failure domains what this one has open at a target."""
