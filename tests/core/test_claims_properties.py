"""Property tests: under any faults an order runs at most once and "not run" is true."""

from dataclasses import dataclass, field, replace
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from figstep.core.claims import CLAIM_WINDOW
from figstep.core.clock import Millis
from figstep.core.effects import (
    AppendRecords,
    CloseAttempt,
    Effect,
    OpenAttempt,
    Refuse,
    ResumeAttempt,
    WakeAt,
)
from figstep.core.events import (
    AppendConfirmed,
    AppendUncertain,
    AttemptEnded,
    AttemptLost,
    CallerGone,
    Event,
    Loss,
    RecordsRead,
    RequestArrived,
    ServiceAnswered,
    StreamCaughtUp,
    StreamRestarted,
    StreamUnavailable,
    Timer,
    TimerFired,
    TokensArrived,
)
from figstep.core.problems import Ran
from figstep.core.records import CLAIMS, LogRecord
from figstep.core.restoration import MAX_RESTORE_DELAY, SETTLING_TIME
from figstep.core.specs import GenerationWork, RequestSpec, ServiceWork
from tests.core.entries import Entry, make_inventory

ENTRIES = 2
WINDOW = Millis(4_000)
"""Milliseconds for which orders with equal bodies are one order."""

PROVEN_NOT_RUN = (Loss.CONNECT_FAILED, Loss.REFUSED)
"""Losses that prove that the request did not run."""

LOSSES = (*PROVEN_NOT_RUN, Loss.BROKEN, Loss.TRUNCATED, Loss.FAILED)

BODIES = ["x", "x", "generation", "y"]
"""Bodies to draw from; x is listed twice so that it is drawn more often."""

entries = st.integers(0, ENTRIES - 1)
picks = st.integers(0, 7)


@dataclass(slots=True)
class Node:
    """An entry with its position in the log, appends, timers and open attempts."""

    entry: Entry
    read: int = 0
    appends: list[AppendRecords] = field(default_factory=list)
    timers: dict[Timer, Millis] = field(default_factory=dict)
    open: dict[int, OpenAttempt | ResumeAttempt] = field(default_factory=dict)


@dataclass(slots=True)
class Dispatch:
    """An order that was sent and is not proven not to have run."""

    at: int
    request: str


def make_spec(request: str, body: str) -> RequestSpec:
    """Return an order to a service, or a non-idempotent generation."""
    if body == "generation":
        work = GenerationWork("m")
        return RequestSpec(
            request, "demo", work, idempotency_key=body, non_idempotent=True
        )
    call = ServiceWork("shop", "POST", "/orders")
    return RequestSpec(request, "demo", call, stream=False, digest=body)


class ClaimsMachine(RuleBasedStateMachine):
    """Orders through two entries that crash, pause and lose access to the log."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000_000
        self.log: list[LogRecord] = []
        self.era = 0
        self.delayed_records: list[dict[str, Any]] = []
        self.next_seed = 1
        self.next_request = 1
        self.bodies: dict[str, str] = {}
        self.dispatched: dict[str, list[Dispatch]] = {}
        self.told_not_run: set[str] = set()
        self.nodes = [self._make_node(number) for number in range(ENTRIES)]
        for node in self.nodes:
            node.entry.catch_up()

    def _make_node(self, number: int) -> Node:
        self.next_seed += 1
        inventory = make_inventory(window=WINDOW)
        return Node(Entry(f"n{number}", self.next_seed, inventory))

    def _feed(self, node: Node, event: Event) -> None:
        node.entry.now = Millis(self.now)
        for effect in node.entry.feed(event):
            self._perform(node, effect)

    def _perform(self, node: Node, effect: Effect) -> None:
        match effect:
            case AppendRecords():
                node.appends.append(effect)
            case WakeAt(timer=timer, at=at):
                node.timers[timer] = at
            case OpenAttempt():
                self._dispatch(node, effect)
            case ResumeAttempt():
                node.open[effect.attempt] = effect
            case CloseAttempt(attempt=attempt):
                node.open.pop(attempt, None)
            case Refuse(request=request, problem=problem) if problem.ran is Ran.NO:
                body = self.bodies[request]
                out = [d for d in self.dispatched.get(body, []) if d.request == request]
                assert out == [], "told not run, but it went out"
                self.told_not_run.add(request)

    def _dispatch(self, node: Node, effect: OpenAttempt) -> None:
        assert effect.request not in self.told_not_run, "told not run, then sent"
        node.open[effect.attempt] = effect
        body = self.bodies[effect.request]
        earlier = self.dispatched.setdefault(body, [])
        window = CLAIM_WINDOW if body == "generation" else WINDOW
        for dispatch in earlier:
            assert self.now - dispatch.at >= window // 2, "the order ran twice"
        earlier.append(Dispatch(self.now, effect.request))

    def _pick_attempt(self, node: Node, pick: int) -> OpenAttempt | ResumeAttempt:
        attempts = list(node.open.values())
        return attempts[pick % len(attempts)]

    def _append_to_log(self, records: list[dict[str, Any]]) -> int:
        first = len(self.log)
        for number, data in enumerate(records):
            self.log.append(LogRecord(first + number, self.now, data, self.era))
        return first

    @rule(number=entries, body=st.sampled_from(BODIES))
    def send_order(self, number: int, body: str) -> None:
        request = f"r{self.next_request}"
        self.next_request += 1
        self.bodies[request] = body
        self._feed(self.nodes[number], RequestArrived(make_spec(request, body)))

    @rule(number=entries)
    def append_confirmed(self, number: int) -> None:
        """Store an entry's oldest append and confirm it."""
        node = self.nodes[number]
        if node.appends:
            effect = node.appends.pop(0)
            offset = self._append_to_log(effect.records)
            self._feed(node, AppendConfirmed(effect.key, offset))

    @rule(number=entries, fate=st.sampled_from(["taken", "dropped", "late"]))
    def append_answer_lost(self, number: int, fate: str) -> None:
        """Store, drop or delay an entry's oldest append, and report it as uncertain."""
        node = self.nodes[number]
        if not node.appends:
            return
        effect = node.appends.pop(0)
        if fate == "taken":
            self._append_to_log(effect.records)
        if fate == "late":
            self.delayed_records += effect.records
        self._feed(node, AppendUncertain(effect.key))

    @precondition(lambda self: self.delayed_records)
    @rule(pick=picks)
    def late_append_stored(self, pick: int) -> None:
        """Store a record whose append was delayed."""
        self._append_to_log(
            [self.delayed_records.pop(pick % len(self.delayed_records))]
        )

    @precondition(lambda self: self.log)
    @rule(pick=picks)
    def record_is_repeated(self, pick: int) -> None:
        """Store an earlier record once more."""
        self._append_to_log([self.log[-1 - pick % len(self.log)].data])

    @rule(number=entries, count=st.integers(1, 4))
    def read_some(self, number: int, count: int) -> None:
        node = self.nodes[number]
        records = self.log[node.read : node.read + count]
        node.read += len(records)
        if records:
            self._feed(node, RecordsRead(CLAIMS, tuple(records)))

    @rule(number=entries)
    def read_all(self, number: int) -> None:
        self.read_some(number, len(self.log) + 1)
        self._feed(self.nodes[number], StreamCaughtUp(CLAIMS))

    @rule(number=entries)
    def log_works(self, number: int) -> None:
        """Confirm an entry's appends and let it read the log to its end."""
        while self.nodes[number].appends:
            self.append_confirmed(number)
        self.read_all(number)

    @rule(number=entries, body=st.sampled_from(BODIES))
    def order_dispatched(self, number: int, body: str) -> None:
        """Send an order through an entry whose log works."""
        self.read_all(number)
        self.send_order(number, body)
        self.log_works(number)

    @rule(number=entries, pause=st.sampled_from([1_900, 2_100, 4_100]))
    def owner_is_paused(self, number: int, pause: int) -> None:
        """Pause an entry after its claim, while the other entry gets the same order."""
        self.read_all(number)
        self.send_order(number, "x")
        while self.nodes[number].appends:
            self.append_confirmed(number)
        self.now += pause
        self.order_dispatched((number + 1) % ENTRIES, "x")
        self.read_all(number)

    @rule(number=entries)
    def deadline_passes(self, number: int) -> None:
        """Send an order and let its deadline pass."""
        self.order_dispatched(number, "y")
        self.now += 60_000
        self.timers_fire(number)

    @rule(number=entries)
    def log_is_down(self, number: int) -> None:
        self._feed(self.nodes[number], StreamUnavailable(CLAIMS))

    @rule(number=entries, late=st.booleans())
    def crash(self, number: int, late: bool) -> None:
        """Replace an entry with a new one; its appends are lost or stored later."""
        for effect in self.nodes[number].appends:
            if late:
                self.delayed_records += effect.records
        self.nodes[number] = self._make_node(number)

    @rule(millis=st.sampled_from([1, 200, 1_900, 2_100, 4_100, 70_000]))
    def time_passes(self, millis: int) -> None:
        self.now += millis

    @rule(number=entries)
    def timers_fire(self, number: int) -> None:
        node = self.nodes[number]
        due = [timer for timer, at in node.timers.items() if at <= self.now]
        for timer in due:
            del node.timers[timer]
        for timer in due:
            self._feed(node, TimerFired(timer))

    @rule(number=entries, pick=picks, loss=st.sampled_from(LOSSES))
    def attempt_lost(self, number: int, pick: int, loss: Loss) -> None:
        node = self.nodes[number]
        if not node.open:
            return
        effect = self._pick_attempt(node, pick)
        del node.open[effect.attempt]
        if loss in PROVEN_NOT_RUN and isinstance(effect, OpenAttempt):
            sent = self.dispatched[self.bodies[effect.request]]
            proved = next(d for d in sent if d.request == effect.request)
            sent.remove(proved)
        self._feed(node, AttemptLost(effect.attempt, loss))

    @rule(number=entries, pick=picks)
    def target_answers(self, number: int, pick: int) -> None:
        node = self.nodes[number]
        if node.open:
            effect = self._pick_attempt(node, pick)
            del node.open[effect.attempt]
            if self.bodies[effect.request] != "generation":
                self._feed(node, ServiceAnswered(effect.attempt, 200, "", b"ok"))
                return
            generation = effect.generation
            self._feed(node, TokensArrived(effect.attempt, generation, 1, [b"1"]))
            self._feed(node, AttemptEnded(effect.attempt))

    @rule(number=entries, pick=picks)
    def caller_leaves(self, number: int, pick: int) -> None:
        node = self.nodes[number]
        waiting = list(node.entry.state.requests)
        if waiting:
            self._feed(node, CallerGone(waiting[pick % len(waiting)]))


class RevertedClaimsMachine(ClaimsMachine):
    """A log that also comes back from copies that lack the records of ten seconds.

    A copy holds the records that only an entry has read that has crashed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.copied = 0

    @rule(number=entries, late=st.booleans())
    def crash(self, number: int, late: bool) -> None:
        others = [node.read for node in self.nodes if node is not self.nodes[number]]
        if self.nodes[number].read > max(others):
            self.copied = max(self.copied, self.nodes[number].read)
        super().crash(number, late)
        if self.era:
            self._feed(self.nodes[number], StreamRestarted(CLAIMS, self.era))

    def _revert(self, lost: int) -> None:
        """Lose the newest records; entries that run restore their own at once."""
        self.era += 1
        self.now += 1
        first = max(self.copied, len(self.log) - lost)
        while first < len(self.log) and self.log[first].time < self.now - 10_000:
            first += 1
        self.log = [replace(record, era=self.era) for record in self.log[:first]]
        for number, node in enumerate(self.nodes):
            waiting, node.appends, node.read = node.appends, [], 0
            self._feed(node, StreamRestarted(CLAIMS, self.era))
            while node.appends:
                self.append_confirmed(number)
            node.appends = waiting

    def _restore(self) -> None:
        """Let the entries restore what nobody has restored."""
        for number in range(ENTRIES):
            self.read_all(number)
        self.now += MAX_RESTORE_DELAY
        for number in range(ENTRIES):
            self.timers_fire(number)
            self.log_works(number)

    def _settle(self) -> None:
        """Let the time pass for which claims are held."""
        self.now += SETTLING_TIME
        for number in range(ENTRIES):
            self.read_all(number)
            self.timers_fire(number)

    @rule(lost=st.integers(1, 4))
    def revert(self, lost: int) -> None:
        self._revert(lost)
        self._restore()

    @rule(lost=st.integers(1, 4))
    def revert_twice(self, lost: int) -> None:
        self._revert(lost)
        self.revert(lost)

    @rule(number=entries, crashed=entries, early=st.booleans(), lost=st.integers(1, 4))
    def order_is_sent_again_after_a_return(
        self, number: int, crashed: int, early: bool, lost: int
    ) -> None:
        """Send an order again through an entry that starts as the log comes back."""
        self.order_dispatched(number, "generation")
        self.read_all((number + 1) % ENTRIES)
        if early:
            self.crash(crashed, late=False)
        self._revert(lost)
        if not early:
            self.crash(crashed, late=False)
        self.order_dispatched(crashed, "generation")
        self._restore()
        self._settle()


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(
    max_examples=250,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestRevertedClaims = RevertedClaimsMachine.TestCase
TestRevertedClaims.settings = TestClaims.settings
