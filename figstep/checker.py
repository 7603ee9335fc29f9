"""Checker of the promises over what callers saw and what targets executed.

Evidence is only ever missing, never invented: a target that died may have
executed more than it could tell. So the checker never concludes from the
absence of an execution, save where a caller was given a whole answer.
"""

from dataclasses import dataclass, field

from figstep.core.problems import Ran

SUCCESS_STATUSES = range(200, 300)


@dataclass(frozen=True, slots=True)
class ReceivedEvent:
    """A token event as the caller saw it.

    Attributes:
        generation: Generation that its id names.
        index: Index that its id names, from 1.
        text: The token's text.
        finish: Why the generation ended, or "" before its last token.
    """

    generation: str
    index: int
    text: str = ""
    finish: str = ""


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one connection of a caller ended.

    Attributes:
        status: HTTP status, or 0 where none came.
        ended: Whether the answer came whole: the end marker for a stream.
        problem: Code of the problem, or "".
        ran: What the problem says of whether the request ran, or None.
    """

    status: int
    ended: bool = False
    problem: str = ""
    ran: Ran | None = None


@dataclass(slots=True)
class CallerHistory:
    """All that one caller saw of one request, over all its connections.

    Attributes:
        tag: What tells this request from all others; its body carries it, and
            targets repeat it in what they answer.
        identity: Idempotency key of a non-idempotent request, or "".
        stream: Whether the answer was read as a stream.
        events: Token events over all connections, in the order seen.
        outcomes: How each connection ended, in order.
        text: Text of an answer that did not come as a stream.
        abandoned: Whether the caller itself left before the end.
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
    """A generation as its engine started it.

    Attributes:
        target: Name of the engine.
        generation: Its id.
        tag: Tag of the request that asked for it.
    """

    target: str
    generation: str
    tag: str


@dataclass(frozen=True, slots=True)
class ExecutedCall:
    """A call as its plain service executed it.

    Attributes:
        target: Name of the service's replica.
        tag: Tag of the request that asked for it.
        identity: Its idempotency key, or "".
    """

    target: str
    tag: str
    identity: str = ""


@dataclass(slots=True)
class History:
    """One run: what the callers saw and what the targets executed."""

    callers: list[CallerHistory] = field(default_factory=list)
    generations: list[ExecutedGeneration] = field(default_factory=list)
    calls: list[ExecutedCall] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class OutOfOrder:
    """A caller saw ``index`` where ``expected`` was next."""

    tag: str
    expected: int
    index: int


@dataclass(frozen=True, slots=True)
class Repeated:
    """A caller saw an event a second time."""

    tag: str
    index: int


@dataclass(frozen=True, slots=True)
class Mixed:
    """One answer was made of several generations."""

    tag: str
    generations: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Unanswered:
    """A caller got neither a whole answer nor a final problem."""

    tag: str


@dataclass(frozen=True, slots=True)
class Truncated:
    """An answer was called whole without the generation's last token."""

    tag: str
    events: int


@dataclass(frozen=True, slots=True)
class Misdelivered:
    """A caller was given what another request asked for, or nobody did.

    Attributes:
        tag: The request.
        source: Tag of the request that the answer belongs to, or "".
    """

    tag: str
    source: str


@dataclass(frozen=True, slots=True)
class FalselyNotRun:
    """A caller was told that a request did not run, but a target ran it."""

    tag: str
    target: str


@dataclass(frozen=True, slots=True)
class RanAgain:
    """Targets ran one non-idempotent identity more than once."""

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
    """Return every violation of a promise, callers first."""
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
