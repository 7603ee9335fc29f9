"""What the gateway asks of its edges, and the answers that pass through it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from figstep.core.problems import Problem
from figstep.gateway.effects import CopyRun, OpenAttempt, RunCopy


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of a target's answer, as they go to the caller."""

    status: int
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A target's whole answer."""

    head: AnswerHead
    body: bytes


class TargetPort(ABC):
    """Edge towards targets; answers come back as events."""

    @abstractmethod
    def open_attempt(self, effect: OpenAttempt) -> None:
        """Send a request to a target."""

    @abstractmethod
    def close_attempt(self, attempt: int) -> None:
        """Drop an attempt's connection."""

    @abstractmethod
    def copy_run(self, effect: CopyRun) -> None:
        """Order an engine to copy a run to another."""

    @abstractmethod
    def drop_copy(self, copy: RunCopy) -> None:
        """Free a copy."""

    @abstractmethod
    def read_report(self, target: str) -> None:
        """Ask an engine for its state."""

    @abstractmethod
    def probe_target(self, target: str) -> None:
        """Look whether a target still listens at its address."""

    @abstractmethod
    def find_head(self, attempt: int) -> AnswerHead:
        """Return the status and headers of an open attempt's answer."""

    @abstractmethod
    def find_answer(self, attempt: int) -> WholeAnswer:
        """Return the whole answer of an attempt while its event is handled."""


class CallerPort(ABC):
    """Edge towards callers; requests come in as events."""

    @abstractmethod
    def begin_stream(self, number: int, head: AnswerHead) -> None:
        """Start a stream."""

    @abstractmethod
    def deliver(self, number: int, data: bytes) -> None:
        """Hand on bytes of a stream."""

    @abstractmethod
    def finish_stream(self, number: int) -> None:
        """End a stream as whole."""

    @abstractmethod
    def break_stream(self, number: int) -> None:
        """Cut a stream so that it can't look whole."""

    @abstractmethod
    def answer(self, number: int, answer: WholeAnswer) -> None:
        """Give a caller a target's whole answer."""

    @abstractmethod
    def refuse(self, number: int, problem: Problem) -> None:
        """Give a caller an answer of our own."""


class PeerPort(ABC):
    """Edge towards the other entries."""

    @abstractmethod
    def fetch_records(self, address: str) -> None:
        """Ask a peer for what it has read of the store."""

    @abstractmethod
    def announce(self) -> None:
        """Tell the others of this entry's loads at once."""

    @abstractmethod
    def announce_target(self, target: str) -> None:
        """Tell other failure domains what this one has open at a target."""
