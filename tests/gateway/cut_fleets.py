"""Simulated fleet whose entries pass requests on to each other.

Some entries may lose their links to targets, or one may get most of the callers.
"""

from dataclasses import dataclass
from enum import Enum
from functools import partial

from figstep.core.clock import Millis
from figstep.gateway.effects import (
    Answer,
    CheckTarget,
    CloseAttempt,
    Effect,
    OpenAttempt,
    Refuse,
)
from figstep.gateway.events import (
    AnswerArrived,
    AttemptConnected,
    AttemptLost,
    Event,
    Loss,
    RequestArrived,
    RoutedRequest,
    TargetChecked,
    TargetRegistered,
)
from figstep.gateway.targets import Registration
from tests.gateway.limited_fleets import (
    MAX_LATENCY,
    LimitedFleet,
    SimulatedEntry,
    SimulatedTarget,
)
from tests.gateway.worlds import ENGINES, KEY

CONNECT_TIMEOUT = Millis(500)
"""Milliseconds after which a connection that nobody answers is given up."""

NOTICE_DURATION = Millis(4_000)
"""Milliseconds after the start of a cut from which callers' first tries count."""

OTHER_TARGETS = 4
"""Number of targets of the service that no cut touches."""

CROWD_SHARE = 0.9
"""Share of the callers that come to a crowded entry."""

MIN_SHARE = 2 / 3
"""Smallest share of first tries that cut entries serve, as a fraction of that of the
other entries."""

EXTRA = 10
"""Failed first tries at cut entries that are tolerated."""

RATIO = 1 / 50
"""Failed first tries at cut entries that are tolerated in addition, of all."""


class CutKind(Enum):
    """What becomes of the connections between an entry and its targets."""

    HANG = "nothing gets through"
    RESET = "open ones are reset, new ones are refused"
    NEW_ONLY = "open ones live on, new ones are refused"


@dataclass(slots=True)
class Served:
    """Callers' first tries, and how many of them were served."""

    tries: int = 0
    served: int = 0

    @property
    def share(self) -> float:
        """Share of the tries that were served, from 0 to 1."""
        return self.served / self.tries if self.tries else 1.0


@dataclass(frozen=True, slots=True)
class OpenTry:
    """A caller's try without an answer.

    Attributes:
        counts: Counter that it belongs to; None if it was sent outside of a cut.
        relay: Entry, process and attempt that wait for the answer of a request that
            was passed on; None for one of a caller.
    """

    counts: Served | None
    relay: tuple[SimulatedEntry, int, int] | None = None


class CutFleet(LimitedFleet):
    """Fleet whose callers try once, with entries that can be cut off from targets.

    Attributes:
        at_cut: First tries at entries that are cut off.
        elsewhere: First tries at the other entries meanwhile.
        crowded: Entry that most callers come to; None if they are spread evenly.
        even: First tries while callers are spread evenly, if those are counted.
        uneven: First tries while most come to one entry.
    """

    def __init__(self, seed: int, **options: object) -> None:
        """Start all entries; see `LimitedFleet`."""
        self._other_pause: Millis | None = None
        self.at_cut = Served()
        self.elsewhere = Served()
        self.crowded: SimulatedEntry | None = None
        self.even = Served()
        self.uneven = Served()
        self._counted = False
        self._cuts: dict[str, tuple[CutKind, frozenset[str], Millis]] = {}
        self._tries: dict[tuple[str, int, int], OpenTry] = {}
        self._open: dict[tuple[str, int], OpenAttempt] = {}
        super().__init__(seed, **options)  # type: ignore[arg-type]
        for number, entry in enumerate(self.entries):
            entry.harness.state.relay_address = f"{number}:2"

    def _start_process(self, entry: SimulatedEntry, first: bool) -> None:
        super()._start_process(entry, first)
        number = entry.address.partition(":")[0]
        entry.harness.state.relay_address = f"{number}:2"
        entry.harness.reachable = False

    def cut(
        self,
        entries: list[SimulatedEntry],
        kind: CutKind,
        spared: frozenset[str] = frozenset(),
    ) -> None:
        """Cut entries off from all targets but the spared ones."""
        for entry in entries:
            self._cuts[entry.node] = (kind, spared, self.clock.now())
            if kind is CutKind.NEW_ONLY:
                continue
            for (node, attempt), opened in list(self._open.items()):
                if node != entry.node or opened.target in spared or opened.relay:
                    continue
                del self._open[node, attempt]
                if kind is CutKind.RESET:
                    self.handle(entry, AttemptLost(attempt, Loss.BROKEN))

    def reach_other_service(self, pause: Millis) -> None:
        """Add targets of another service, which no cut touches.

        From now on each entry opens a connection to one of them every ``pause``
        milliseconds.
        """
        self._other_pause = pause
        for number in range(OTHER_TARGETS):
            info = Registration(f"e-{number}", ENGINES, f"e-{number}:80", "domain-0", 6)
            for entry in self.entries:
                self.handle(entry, TargetRegistered(info))
        for entry in self.entries:
            self._later(self.rng.randrange(pause), partial(self._connect_other, entry))

    def _connect_other(self, entry: SimulatedEntry) -> None:
        assert self._other_pause is not None
        name = f"e-{self.rng.randrange(OTHER_TARGETS)}"
        self.handle(entry, TargetChecked(name, self.clock.now(), reached=True))
        self._later(self._other_pause, partial(self._connect_other, entry))

    def count_tries(self) -> None:
        """Count first tries from now on, apart from those during cuts."""
        self._counted = True

    def crowd(self, entry: SimulatedEntry) -> None:
        """Let most callers come to one entry from now on."""
        self.crowded = entry

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def breaks_promise(self) -> bool:
        """Return whether callers of cut entries were served far worse than others."""
        failed = self.at_cut.tries - self.at_cut.served
        if failed <= EXTRA + RATIO * (self.at_cut.tries + self.elsewhere.tries):
            return False
        return self.at_cut.share < MIN_SHARE * self.elsewhere.share

    def _is_cut(self, entry: SimulatedEntry, target: str) -> CutKind | None:
        kind, spared, _ = self._cuts.get(entry.node, (None, frozenset(), 0))
        return None if target in spared else kind

    def _call(self, entry: SimulatedEntry) -> None:
        path = "/order/a" if self.rng.random() < 0.7 else "/lookup/a"
        counts = None
        if self._counted:
            counts = self.even if self.crowded is None else self.uneven
        if self.crowded is not None and self.rng.random() < CROWD_SHARE:
            entry = self.crowded
        now = self.clock.now()
        if self._cuts:
            since = min(since for _, _, since in self._cuts.values())
            if now >= since + NOTICE_DURATION:
                counts = self.at_cut if entry.node in self._cuts else self.elsewhere
        if counts is not None:
            counts.tries += 1
        harness = entry.harness
        key = (entry.node, entry.session, harness.next_number)
        self._tries[key] = OpenTry(counts)
        harness.receive_request(path, max_wait=Millis(1_500))
        self._perform(entry, harness.effects)

    def _perform(self, entry: SimulatedEntry, effects: list[Effect]) -> None:
        for effect in list(effects):
            match effect:
                case OpenAttempt():
                    self._open_attempt(entry, effect)
                case CheckTarget():
                    self._check(entry, effect.target)
                case CloseAttempt():
                    self._open.pop((entry.node, effect.attempt), None)
                case Answer() | Refuse():
                    self._end_try(entry, effect)
                case _:
                    super()._perform(entry, [effect])

    def _end_try(self, entry: SimulatedEntry, effect: Answer | Refuse) -> None:
        key = (entry.node, entry.session, effect.number)
        ended = self._tries.pop(key, None)
        if ended is None:
            return
        if ended.relay is not None:
            sender, session, attempt = ended.relay
            event: Event = AnswerArrived(attempt, 200)
            if isinstance(effect, Refuse):
                problem = effect.problem
                loss = Loss.REFUSED if problem.status == 503 else Loss.FAILED
                status = None if problem.status == 503 else problem.status
                event = AttemptLost(attempt, loss, problem.retry_after, status=status)
            answer = partial(self._answer_relay, sender, session, event)
            self._later(self.rng.randrange(2, 12), answer)
            return
        if ended.counts is not None and isinstance(effect, Answer):
            ended.counts.served += 1

    def _answer_relay(self, entry: SimulatedEntry, session: int, event: Event) -> None:
        if session == entry.session:
            self.handle(entry, event)

    def _open_attempt(self, entry: SimulatedEntry, opened: OpenAttempt) -> None:
        self._open[entry.node, opened.attempt] = opened
        if opened.relay is not None:
            arrive = partial(self._arrive_at_entry, entry, entry.session, opened)
            self._later(self.rng.randrange(2, MAX_LATENCY), arrive)
            return
        match self._is_cut(entry, opened.target):
            case None:
                connect = partial(self._connect, entry, entry.session, opened)
                self._later(1, connect)
            case CutKind.HANG:
                lost = AttemptLost(opened.attempt, Loss.UNREACHED)
                self._later(CONNECT_TIMEOUT, partial(self.handle, entry, lost))
            case CutKind.RESET | CutKind.NEW_ONLY:
                lost = AttemptLost(opened.attempt, Loss.UNREACHED, down=True)
                self._later(2, partial(self.handle, entry, lost))

    def _connect(
        self, entry: SimulatedEntry, session: int, opened: OpenAttempt
    ) -> None:
        if session != entry.session:
            return
        if self._is_cut(entry, opened.target) is not None:
            self._open_attempt(entry, opened)
            return
        self.handle(entry, AttemptConnected(opened.attempt))
        arrive = partial(self._arrive, entry, session, opened)
        self._later(self.rng.randrange(2, 12), arrive)

    def _answer(
        self,
        entry: SimulatedEntry,
        session: int,
        target: SimulatedTarget,
        event: Event,
        requested_at: Millis,
    ) -> None:
        attempt = getattr(event, "attempt", 0)
        if (entry.node, attempt) not in self._open:
            # The connection broke, or nothing gets through it any more.
            return
        super()._answer(entry, session, target, event, requested_at)
        self._open.pop((entry.node, attempt), None)

    def _check(self, entry: SimulatedEntry, target: str) -> None:
        kind = self._is_cut(entry, target) if target in self.targets else None
        delay = CONNECT_TIMEOUT if kind is CutKind.HANG else Millis(2)
        checked = TargetChecked(target, self.clock.now(), kind is None)
        self._later(delay, partial(self.handle, entry, checked))

    def _arrive_at_entry(
        self, sender: SimulatedEntry, session: int, opened: OpenAttempt
    ) -> None:
        if session != sender.session or opened.relay is None:
            return
        self.handle(sender, AttemptConnected(opened.attempt))
        request = sender.harness.state.requests.get(opened.number)
        if request is None:
            return
        receiver = self._find(opened.relay.address)
        number = receiver.harness.next_number
        receiver.harness.next_number += 1
        key = (receiver.node, receiver.session, number)
        self._tries[key] = OpenTry(None, (sender, session, opened.attempt))
        spec = RoutedRequest(
            number,
            request.spec.id,
            "POST",
            "host",
            request.spec.path,
            key=KEY,
            max_wait=Millis(opened.deadline - self.clock.now()),
            digest=request.spec.digest,
            relayed=True,
            waited=opened.relay.waited,
            lost_runs=opened.relay.lost_runs,
            may_wait=opened.relay.may_wait,
        )
        self.handle(receiver, RequestArrived(spec))
