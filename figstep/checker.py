"""Checks the guarantees against what callers received and targets executed.

Records of executions may be missing but are never wrong: a target that crashed may
have executed more than it reported. So the checker draws no conclusion from a missing
execution, except where a caller received a complete answer.
"""

from dataclasses import dataclass, field

from figstep.core.problems import Ran

SUCCESS_STATUSES = range(200, 300)


@dataclass(frozen=True, slots=True)
class ReceivedEvent:
    """A token event that a caller received.

    Attributes:
        generation: Generation in the event's id.
        index: Index in the event's id, from 1.
        finish: Reason why the generation ended, or "" before its last token.
    """

    generation: str
    index: int
    text: str = ""
    finish: str = ""


@dataclass(frozen=True, slots=True)
class Outcome:
    """End of one connection of a caller.

    Attributes:
        status: HTTP status, or 0 if none was received.
        ended: Whether the answer was complete; for a stream, whether its end marker
            was received.
        problem: Code of the problem, or "".
        ran: Whether the request ran according to the problem, or None if the
            problem does not state it.
    """

    status: int
    ended: bool = False
    problem: str = ""
    ran: Ran | None = None


@dataclass(slots=True)
class CallerHistory:
    """Everything that a caller received for one request, over all its connections.

    Attributes:
        tag: Unique tag of the request; the request body carries it, and targets
            repeat it in their answers.
        identity: Idempotency key of a non-idempotent request, or "".
        stream: Whether the answer was read as a stream.
        events: Token events over all connections, in order of arrival.
        outcomes: Outcome of each connection, in order.
        text: Text of an answer that was not streamed.
        abandoned: Whether the caller disconnected before the end.
    """

    tag: str
    identity: str = ""
    stream: bool = True
    events: list[ReceivedEvent] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    text: str = ""
    abandoned: bool = False


@dataclass(frozen=True, slots=True)
class ExecutedGeneration:
    """A generation that an engine started, with the tag of its request."""

    target: str
    generation: str
    tag: str


@dataclass(frozen=True, slots=True)
class ExecutedCall:
    """A call that a plain service executed.

    Attributes:
        target: Name of the service's replica.
        identity: Idempotency key of the request, or "".
    """

    target: str
    tag: str
    identity: str = ""


@dataclass(slots=True)
class History:
    """Records of a run: what callers received and what targets executed."""

    callers: list[CallerHistory] = field(default_factory=list)
    generations: list[ExecutedGeneration] = field(default_factory=list)
    calls: list[ExecutedCall] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class OutOfOrder:
    """A caller received an event out of order.

    Attributes:
        expected: Index that was expected next.
        index: Index of the event that was received.
    """

    tag: str
    expected: int
    index: int


@dataclass(frozen=True, slots=True)
class Repeated:
    """A caller received an event more than once."""

    tag: str
    index: int


@dataclass(frozen=True, slots=True)
class Mixed:
    """An answer contains events of several generations."""

    tag: str
    generations: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Unanswered:
    """A caller received neither a complete answer nor a final problem."""

    tag: str


@dataclass(frozen=True, slots=True)
class Truncated:
    """A stream was marked complete, but its last event is not the only last token."""

    tag: str
    events: int


@dataclass(frozen=True, slots=True)
class Misdelivered:
    """A caller received the answer to another or to an unknown request.

    Attributes:
        source: Tag of the request that the answer belongs to, or "" if unknown.
    """

    tag: str
    source: str


@dataclass(frozen=True, slots=True)
class FalselyNotRun:
    """A request was reported as not run, but a target executed it."""

    tag: str
    target: str


@dataclass(frozen=True, slots=True)
class RanAgain:
    """A non-idempotent request was executed more than once.

    Attributes:
        targets: Name of the target of each execution.
    """

    identity: str
    targets: tuple[str, ...]


Violation = (
    OutOfOrder
    | Repeated
    | Mixed
    | Unanswered
    | Truncated
    | Misdelivered
    | FalselyNotRun
    | RanAgain
)


def check_history(history: History) -> list[Violation]:
    """Return all violations of the guarantees, those of single callers first."""
    violations: list[Violation] = []
    for caller in history.callers:
        violations += _check_order(caller)
        violations += _check_whole(caller)
        violations += _check_source(caller, history)
        violations += _check_ran(caller, history)
    return violations + _check_calls(history)


def _check_order(caller: CallerHistory) -> list[Violation]:
    violations: list[Violation] = []
    names = tuple(dict.fromkeys(event.generation for event in caller.events))
    if len(names) > 1:
        violations.append(Mixed(caller.tag, names))
    received: set[int] = set()
    expected = 1
    for event in caller.events:
        if event.index in received:
            violations.append(Repeated(caller.tag, event.index))
            continue
        if event.index != expected:
            violations.append(OutOfOrder(caller.tag, expected, event.index))
        received.add(event.index)
        expected = event.index + 1
    return violations


def _check_whole(caller: CallerHistory) -> list[Violation]:
    last = caller.outcomes[-1] if caller.outcomes else Outcome(0)
    if not last.ended:
        if last.problem or caller.abandoned:
            return []
        return [Unanswered(caller.tag)]
    if not caller.stream or last.status not in SUCCESS_STATUSES:
        return []
    finishes = [bool(event.finish) for event in caller.events]
    if finishes and finishes[-1] and not any(finishes[:-1]):
        return []
    return [Truncated(caller.tag, len(caller.events))]


def _check_source(caller: CallerHistory, history: History) -> list[Violation]:
    violations: list[Violation] = []
    tags = {item.generation: item.tag for item in history.generations}
    for name in dict.fromkeys(event.generation for event in caller.events):
        source = tags.get(name, "")
        if source != caller.tag:
            violations.append(Misdelivered(caller.tag, source))
    text = caller.text or "".join(event.text for event in caller.events)
    if text and caller.tag not in text and not violations:
        violations.append(Misdelivered(caller.tag, ""))
    return violations


def _check_ran(caller: CallerHistory, history: History) -> list[Violation]:
    last = caller.outcomes[-1] if caller.outcomes else Outcome(0)
    if last.ran is not Ran.NO:
        return []
    executed: list[ExecutedGeneration | ExecutedCall] = [*history.generations]
    executed += history.calls
    for item in executed:
        if item.tag == caller.tag:
            return [FalselyNotRun(caller.tag, item.target)]
    return []


def _check_calls(history: History) -> list[Violation]:
    by_identity: dict[str, list[str]] = {}
    for call in history.calls:
        if call.identity:
            by_identity.setdefault(call.identity, []).append(call.target)
    violations: list[Violation] = []
    for identity, targets in by_identity.items():
        if len(targets) > 1:
            violations.append(RanAgain(identity, tuple(targets)))
    return violations
