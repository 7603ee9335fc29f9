"""Property tests of entries and targets over a lossy network, with random events."""

import re
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from figstep.core.clock import Millis
from figstep.gateway import peers
from figstep.gateway.effects import (
    Announce,
    Answer,
    BreakStream,
    CheckTarget,
    CloseAttempt,
    Confirmation,
    CopyRun,
    Deliver,
    Effect,
    FinishStream,
    OpenAttempt,
    ProbeTarget,
    ReadReport,
    Refuse,
)
from figstep.gateway.events import (
    AnswerArrived,
    AttemptConnected,
    AttemptLost,
    CallerGone,
    EngineReported,
    EntriesCounted,
    Event,
    Loss,
    PeerHeard,
    PiecesArrived,
    RunCopied,
    RunNotCopied,
    StoreLost,
    StoreRegained,
    StreamConfirmed,
    StreamEnded,
    StreamOpened,
    StreamPiece,
    TargetChecked,
    TargetDown,
    TargetLeaving,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.prompts import Prompt
from figstep.gateway.routes import Route, RouteKind
from figstep.gateway.streams import MAX_OVERLAP
from figstep.gateway.targets import Incarnation, Registration
from tests.gateway.worlds import (
    BOOKINGS,
    ENGINES,
    LOOKUP,
    ORDER,
    PLAN,
    QUESTION,
    EntryHarness,
    build_copy,
    build_fleet,
)

ENTRIES = 3
DOMAINS = ("muc-a", "muc-b")
STREAM_EVENTS = 12
"""Number of events in a complete stream."""

STEP = Millis(50)
"""Step of the clock, in milliseconds."""

RESTART_DELAY = Millis(1_500)
"""Milliseconds for which a crashed target is down."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses of refusals that tell the caller that its request did not run."""

VERSIONS = ("v1", "v2")
"""Software versions of the targets, which run side by side."""

KILLERS = ("killer-1", "killer-2")
ROUTES = {route.prefix: route for route in (PLAN, QUESTION, ORDER, LOOKUP)}


@dataclass
class Run:
    """An attempt, as seen by its target.

    Attributes:
        entry: Index of the entry.
        attempt: Number of the attempt at that entry.
        incarnation: Incarnation of the target that received it.
        version: Software version of that target.
        opened: Time at which it was opened.
        resumed: Whether it resumes from a copy.
        registered: Whether its entry had read that incarnation's registration.
        index: Index of the last event that it sent.
        connected: Whether its connection is established.
        open: Whether it has not ended.
        ran: Whether it may have run.
    """

    entry: int
    attempt: int
    incarnation: Incarnation
    version: str
    opened: Millis
    resumed: bool
    registered: bool
    index: int = 0
    connected: bool = False
    open: bool = True
    ran: bool = True


@dataclass
class Call:
    """A request, as seen by its caller.

    Attributes:
        route: Route of the request.
        digest: Digest of the request.
        prompt: Its prompt, or None.
        runs: Its attempts at targets, of all entries, oldest first.
        events: Index of the last event that the caller received.
        version: Software version of the target that wrote its events.
        ended: Whether the caller has its final answer or has left.
        hop: Entry and attempt that passed the request on; None if a caller sent it.
    """

    route: Route
    digest: str
    prompt: Prompt | None = None
    runs: list[Run] = field(default_factory=list)
    events: int = 0
    version: str = ""
    ended: bool = False
    hop: tuple[int, int] | None = None


def build_piece(index: int, version: str) -> StreamPiece:
    """Return an event that names the software version of its target."""
    return StreamPiece(index, b"id: %d\ndata: %s\n\n" % (index, version.encode()))


class FleetMachine(RuleBasedStateMachine):
    """Three entries that exchange their state over a lossy, reordering network."""

    @initialize()
    def start(self) -> None:
        """Start entries and targets."""
        self.fleet = build_fleet(ENTRIES, DOMAINS)
        self.clock = self.fleet[0].clock
        self.calls: list[dict[int, Call]] = [{} for _ in self.fleet]
        self.runs: dict[tuple[int, int], Run] = {}
        self.copies: list[tuple[int, CopyRun]] = []
        self.network: list[tuple[int, PeerHeard]] = []
        self.pending: deque[Callable[[], None]] = deque()
        self.up: dict[str, Registration] = {}
        self.known: dict[str, Registration] = {}
        self.down: dict[str, Millis] = {}
        self.ended: set[Incarnation] = set()
        self.cut: set[int] = set()
        self.hops: dict[tuple[int, int], tuple[int, int] | None] = {}
        for entry, harness in enumerate(self.fleet):
            harness.reachable = False
            harness.state.relay_address = f"{entry}:1"
        self.received_by: dict[str, set[Incarnation]] = {}
        self.unregistered: dict[str, Millis] = {}
        for service, letter in ((BOOKINGS, "b"), (ENGINES, "e")):
            for number in range(3):
                name = f"{letter}-{number}"
                domain = DOMAINS[number % len(DOMAINS)]
                info = Registration(name, service, f"{name}:80", domain, 64, born=1)
                self.register(replace(info, version=VERSIONS[number % 2]))
        self.send_messages()

    # Effects of the entries

    def handle(self, entry: int, event: Event) -> None:
        """Let an entry handle an event, and perform its effects."""
        for effect in self.fleet[entry].handle(event):
            self.perform(entry, effect)

    def run_pending(self) -> None:
        """Run the actions that were deferred until an event was handled."""
        while self.pending:
            self.pending.popleft()()

    def perform(self, entry: int, effect: Effect) -> None:
        """Perform an effect of an entry."""
        match effect:
            case OpenAttempt():
                self.open(entry, effect)
            case CloseAttempt(attempt=attempt):
                run = self.runs.pop((entry, attempt), None)
                if run is not None:
                    run.open = False
                    run.ran = run.ran and run.connected
                if (entry, attempt) in self.hops:
                    self.pending.append(partial(self.close_hop, entry, attempt))
            case CopyRun():
                self.copies.append((entry, effect))
            case ProbeTarget(target=name):
                info = self.fleet[entry].state.targets.targets[name].info
                self.pending.append(partial(self.probe, entry, info.incarnation))
            case CheckTarget(target=name):
                reached = name in self.up and entry not in self.cut
                checked = TargetChecked(name, self.clock.now(), reached)
                self.pending.append(partial(self.handle, entry, checked))
            case ReadReport(target=name) if name in self.up and entry not in self.cut:
                report = EngineReported(name, leaving=False)
                self.pending.append(partial(self.handle, entry, report))
            case Announce():
                self.pending.append(self.send_messages)
            case Deliver(number=number, data=data):
                self.receive_events(self.calls[entry][number], data)
            case Answer(number=number):
                self.end(entry, number)
                self.answer_hop(entry, number, AnswerArrived(0, 200))
            case BreakStream(number=number):
                self.end(entry, number)
                self.answer_hop(entry, number, AttemptLost(0, Loss.BROKEN))
            case FinishStream(number=number):
                assert self.calls[entry][number].events == STREAM_EVENTS
                self.end(entry, number)
                self.answer_hop(entry, number, StreamEnded(0))
            case Refuse(number=number, problem=problem):
                self.refuse(entry, number, problem.status, problem.code)
                lost = AttemptLost(0, Loss.FAILED, status=problem.status)
                if problem.status in NOT_RUN_STATUSES:
                    lost = AttemptLost(0, Loss.REFUSED, problem.retry_after)
                self.answer_hop(entry, number, lost)

    def open(self, entry: int, opened: OpenAttempt) -> None:
        """Open an attempt at its target, and check that the target may get it."""
        call = self.calls[entry][opened.number]
        assert not call.ended
        if opened.relay is not None:
            assert call.hop is None, "passed on twice"
            self.hops[entry, opened.attempt] = None
            self.pending.append(partial(self.open_hop, entry, opened, call))
            return
        if entry in self.cut:
            lost = AttemptLost(opened.attempt, Loss.UNREACHED, down=True)
            self.pending.append(partial(self.handle, entry, lost))
            return
        info = self.up.get(opened.target)
        known = self.fleet[entry].state.targets.targets[opened.target].info
        registered = info is not None and info.incarnation == known.incarnation
        if info is None or not (registered or info.target in self.unregistered):
            loss = Loss.UNREACHED if info is None else Loss.MISDIRECTED
            lost = AttemptLost(opened.attempt, loss, down=info is None)
            self.pending.append(partial(self.handle, entry, lost))
            return
        if call.route.kind is RouteKind.UNSAFE or call.route is PLAN:
            if opened.source is None:
                assert not any(run.ran for run in call.runs), "runs twice"
        now = self.clock.now()
        resumed = opened.source is not None
        run = Run(
            entry,
            opened.attempt,
            info.incarnation,
            info.version,
            now,
            resumed,
            registered,
        )
        run.index = opened.after or 0
        call.runs.append(run)
        self.runs[entry, opened.attempt] = run
        self.pending.append(partial(self.connect, run))
        if opened.confirm is Confirmation.STREAM and not registered:
            self.pending.append(partial(self.refute, run))
        self.received_by.setdefault(call.digest, set()).add(info.incarnation)
        live_runs = [
            run for run in call.runs if run.ran and run.incarnation not in self.ended
        ]
        if call.route.kind is RouteKind.SAFE:
            assert len(live_runs) <= call.route.attempts, "too many targets"
        if call.digest in KILLERS:
            self.pending.append(partial(self.crash, info.target, info.incarnation))

    def connect(self, run: Run) -> None:
        """Establish the connection of an attempt; its request is sent after that."""
        if run.open:
            run.connected = True
            self.handle(run.entry, AttemptConnected(run.attempt))

    def refute(self, run: Run) -> None:
        """Lose an attempt whose target states another start than the registered one."""
        if run.open:
            self.close(run)
            self.handle(run.entry, AttemptLost(run.attempt, Loss.UNCONFIRMED))

    def open_hop(self, entry: int, opened: OpenAttempt, call: Call) -> None:
        """Let another entry receive a request that an entry passes on."""
        assert opened.relay is not None
        if (entry, opened.attempt) not in self.hops:
            return
        receiver = int(opened.relay.address.partition(":")[0])
        assert receiver != entry
        harness = self.fleet[receiver]
        number = harness.next_number
        self.hops[entry, opened.attempt] = (receiver, number)
        self.calls[receiver][number] = Call(
            call.route,
            call.digest,
            call.prompt,
            call.runs,
            opened.after or 0,
            hop=(entry, opened.attempt),
        )
        self.handle(entry, AttemptConnected(opened.attempt))
        harness.receive_request(
            f"{call.route.prefix}a",
            call.prompt,
            digest=call.digest,
            relayed=True,
            lost_runs=opened.relay.lost_runs,
            after=opened.after,
            version=opened.relay.version,
        )
        for effect in harness.effects:
            self.perform(receiver, effect)

    def answer_hop(self, entry: int, number: int, event: Event) -> None:
        """Pass the end of an answer on to the entry that passed the request on."""
        hop = self.calls[entry][number].hop
        if hop is None or self.hops.pop(hop, None) is None:
            return
        ended = replace(event, attempt=hop[1])  # type: ignore[type-var]
        self.pending.append(partial(self.handle, hop[0], ended))

    def close_hop(self, entry: int, attempt: int) -> None:
        """Let the receiver of a hop see that its caller has left."""
        receiver = self.hops.pop((entry, attempt), None)
        if receiver is None or self.calls[receiver[0]][receiver[1]].ended:
            return
        self.end(*receiver)
        self.handle(receiver[0], CallerGone(receiver[1]))

    def probe(self, entry: int, incarnation: Incarnation) -> None:
        """Report a target as down if its address refuses the connection."""
        if incarnation.target not in self.up or entry in self.cut:
            self.handle(entry, TargetDown(incarnation))

    def receive_events(self, call: Call, data: bytes) -> None:
        """Check that a caller receives each event once and in order."""
        pieces = []
        for index, version in re.findall(rb"id: (\d+)\ndata: (\w+)", data):
            call.events += 1
            assert int(index) == call.events
            call.version = call.version or version.decode()
            assert call.version == version.decode(), "events of two versions"
            pieces.append(build_piece(int(index), call.version))
        if call.hop is not None and call.hop in self.hops:
            entry, attempt = call.hop
            arrived = PiecesArrived(attempt, pieces)
            self.pending.append(partial(self.handle, entry, arrived))

    def end(self, entry: int, number: int) -> None:
        """Check that a caller gets only one final answer."""
        call = self.calls[entry][number]
        assert not call.ended
        call.ended = True

    def refuse(self, entry: int, number: int, status: int, code: str) -> None:
        """Check that a refusal by the entry itself is true and justified."""
        self.end(entry, number)
        call = self.calls[entry][number]
        runs_once = call.route.kind is RouteKind.UNSAFE or call.route is PLAN
        if runs_once and status in NOT_RUN_STATUSES:
            assert not any(run.ran for run in call.runs), "said not to have run"
        if code == "crashes_targets":
            received_by = self.received_by.get(call.digest, set())
            assert len(received_by & self.ended) >= 2, (
                "refused for less than two crashes"
            )

    # Callers

    @rule(
        entry=st.integers(0, ENTRIES - 1),
        prefix=st.sampled_from(sorted(ROUTES)),
        digest=st.sampled_from([*KILLERS, *["menu"] * 5, *[""] * 5]),
    )
    def receive_request(self, entry: int, prefix: str, digest: str) -> None:
        """Let a request arrive; one without a digest gets a unique digest."""
        harness = self.fleet[entry]
        prompt = Prompt("m", 3_000, 2_000, 900) if "lookup" not in prefix else None
        if prefix == "/order/":
            prompt = None
        name = digest or f"digest-{entry}-{harness.next_number}"
        self.calls[entry][harness.next_number] = Call(ROUTES[prefix], name, prompt)
        harness.receive_request(f"{prefix}a", prompt, digest=name)
        for effect in harness.effects:
            self.perform(entry, effect)
        self.run_pending()

    @rule(
        entry=st.integers(0, ENTRIES - 1),
        prefix=st.sampled_from(["/plan/", "/question/"]),
        events=st.integers(1, STREAM_EVENTS - 1),
    )
    def stream(self, entry: int, prefix: str, events: int) -> None:
        """Let a stream arrive and send its first events."""
        number = self.fleet[entry].next_number
        self.receive_request(entry, prefix, "")
        for run in list(self.runs.values()):
            if run in self.calls[entry][number].runs:
                self.advance_run(run, events)
        self.run_pending()

    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        """Let a caller leave."""
        waiting = []
        for entry, calls in enumerate(self.calls):
            for number, call in calls.items():
                if not call.ended and call.hop is None:
                    waiting.append((entry, number))
        if not waiting:
            return
        entry, number = data.draw(st.sampled_from(waiting))
        self.end(entry, number)
        self.handle(entry, CallerGone(number))
        self.run_pending()

    # Targets

    @precondition(lambda self: self.runs)
    @rule(data=st.data(), events=st.integers(1, STREAM_EVENTS))
    def answer(self, data: st.DataObject, events: int) -> None:
        """Let a target answer, or send some events."""
        self.advance_run(data.draw(st.sampled_from(list(self.runs.values()))), events)
        self.run_pending()

    def advance_run(self, run: Run, events: int) -> None:
        """Let a run send events, and end after its last one."""
        entry, attempt = run.entry, run.attempt
        number = self.fleet[entry].state.attempts[attempt].request
        if self.calls[entry][number].route.kind is not RouteKind.STREAM:
            self.close(run)
            self.handle(entry, AnswerArrived(attempt, 200))
            return
        last = min(STREAM_EVENTS, run.index + events)
        indexes = range(run.index + 1, last + 1)
        pieces = [build_piece(index, run.version) for index in indexes]
        run.index = last
        self.handle(entry, StreamOpened(attempt))
        if run.registered:
            self.handle(entry, StreamConfirmed(attempt))
        self.handle(entry, PiecesArrived(attempt, pieces))
        if last == STREAM_EVENTS and run.open:
            self.close(run)
            self.handle(entry, StreamEnded(attempt))

    @precondition(lambda self: self.runs)
    @rule(
        data=st.data(),
        loss=st.sampled_from(
            [Loss.BROKEN, Loss.GARBLED, Loss.REFUSED, Loss.FAILED, Loss.SILENT]
        ),
    )
    def lose_attempt(self, data: st.DataObject, loss: Loss) -> None:
        """Lose an attempt without an answer, at a target that stays up."""
        run = data.draw(st.sampled_from(list(self.runs.values())))
        if run.index and loss in (Loss.REFUSED, Loss.FAILED):
            return
        run.ran = loss is not Loss.REFUSED
        self.close(run)
        status = 500 if loss is Loss.FAILED else None
        self.handle(run.entry, AttemptLost(run.attempt, loss, status=status))
        self.run_pending()

    def close(self, run: Run) -> None:
        """End a run."""
        run.open = False
        self.runs.pop((run.entry, run.attempt), None)

    @precondition(lambda self: self.up)
    @rule(data=st.data())
    def crash_any(self, data: st.DataObject) -> None:
        """Let any target crash, without a request as its cause."""
        info = data.draw(st.sampled_from(list(self.up.values())))
        self.crash(info.target, info.incarnation)
        self.run_pending()

    def crash(self, name: str, incarnation: Incarnation) -> None:
        """End an incarnation of a target, with all of its runs."""
        info = self.up.get(name)
        if info is None or info.incarnation != incarnation:
            return
        del self.up[name]
        self.ended.add(incarnation)
        self.down[name] = self.clock.now()
        for run in [
            run for run in self.runs.values() if run.incarnation == incarnation
        ]:
            if run.open:
                self.close(run)
                self.handle(run.entry, AttemptLost(run.attempt, Loss.BROKEN))

    @precondition(lambda self: self.up)
    @rule(data=st.data(), entry=st.integers(0, ENTRIES - 1))
    def announce_leaving(self, data: st.DataObject, entry: int) -> None:
        """Let a target report to one entry that it leaves."""
        info = data.draw(st.sampled_from(list(self.up.values())))
        self.handle(entry, TargetLeaving(info.incarnation))
        self.run_pending()

    @rule(data=st.data())
    def restart_unregistered(self, data: st.DataObject) -> None:
        """Restart an engine at once as another version; that is not registered yet."""
        engines = [info for info in self.up.values() if info.service == ENGINES]
        if not engines:
            return
        info = data.draw(st.sampled_from(engines))
        self.crash(info.target, info.incarnation)
        del self.down[info.target]
        now = self.clock.now()
        version = VERSIONS[info.version == VERSIONS[0]]
        later = replace(info, born=max(now, info.born + 1), version=version)
        self.up[info.target] = later
        self.unregistered[info.target] = Millis(now + RESTART_DELAY)
        self.run_pending()

    def return_targets(self) -> None:
        """Restart targets as new incarnations once their restart delay is over."""
        now = self.clock.now()
        for name, at in list(self.unregistered.items()):
            if name not in self.up or now >= at:
                del self.unregistered[name]
                if name in self.up:
                    self.register(self.up[name])
        for name, at in list(self.down.items()):
            if now - at >= RESTART_DELAY:
                del self.down[name]
                version = VERSIONS[now // STEP % 2]
                self.register(replace(self.known[name], born=now, version=version))

    def register(self, info: Registration) -> None:
        """Let all entries read a registration."""
        self.up[info.target] = self.known[info.target] = info
        for entry in range(ENTRIES):
            self.handle(entry, TargetRegistered(info))

    @precondition(lambda self: self.copies)
    @rule()
    def fail_copy(self) -> None:
        """Let an ordered copy fail."""
        entry, order = self.copies.pop(0)
        outcome = RunNotCopied(order.number, order.source, order.holder, "no room")
        self.handle(entry, outcome)
        self.run_pending()

    def make_copies(self) -> None:
        """Make ordered copies whose two engines are up; fail the others."""
        for entry, order in self.copies:
            number, source, holder = order.number, order.source, order.holder
            outcome: Event = RunNotCopied(number, source, holder, "gone")
            if source in self.up and holder in self.up:
                outcome = RunCopied(number, build_copy(source, holder))
            self.pending.append(partial(self.handle, entry, outcome))
        self.copies.clear()

    # Entries, the store and the network

    @rule(entry=st.integers(0, ENTRIES - 1))
    def restart(self, entry: int) -> None:
        """Restart an entry with an empty state."""
        for run in [run for run in self.runs.values() if run.entry == entry]:
            self.close(run)
        for hop in [hop for hop in self.hops if hop[0] == entry]:
            self.close_hop(*hop)
        for hop, receiver in list(self.hops.items()):
            if receiver is not None and receiver[0] == entry:
                del self.hops[hop]
                lost = AttemptLost(hop[1], Loss.BROKEN)
                self.pending.append(partial(self.handle, hop[0], lost))
        before = self.fleet[entry]
        harness = EntryHarness(
            reachable=False, clock=self.clock, next_number=before.next_number
        )
        harness.state.node = before.state.node
        harness.state.failure_domain = before.state.failure_domain
        harness.state.next_attempt = before.state.next_attempt
        harness.state.relay_address = before.state.relay_address
        self.fleet[entry] = harness
        self.calls[entry] = {}
        self.copies = [copy for copy in self.copies if copy[0] != entry]
        self.handle(entry, EntriesCounted(ENTRIES))
        for info in self.up.values():
            self.handle(entry, TargetRegistered(info))
        self.run_pending()

    @rule(entry=st.integers(0, ENTRIES - 1), reset=st.booleans())
    def cut_links(self, entry: int, reset: bool) -> None:
        """Cut an entry off from all targets; open connections may live on."""
        self.cut.add(entry)
        if reset:
            for run in [run for run in self.runs.values() if run.entry == entry]:
                if run.open:
                    self.close(run)
                    self.handle(entry, AttemptLost(run.attempt, Loss.BROKEN))
        self.run_pending()

    @rule(entry=st.integers(0, ENTRIES - 1))
    def mend_links(self, entry: int) -> None:
        """Let an entry reach the targets again."""
        self.cut.discard(entry)

    @precondition(lambda self: any(self.hops.values()))
    @rule(data=st.data())
    def break_hop(self, data: st.DataObject) -> None:
        """Break a connection between two entries."""
        hops = [hop for hop, receiver in self.hops.items() if receiver is not None]
        entry, attempt = data.draw(st.sampled_from(hops))
        self.close_hop(entry, attempt)
        self.handle(entry, AttemptLost(attempt, Loss.BROKEN))
        self.run_pending()

    @rule(entry=st.integers(0, ENTRIES - 1), away=st.booleans())
    def change_store(self, entry: int, away: bool) -> None:
        """Let an entry lose the store, or regain it."""
        self.handle(entry, StoreLost() if away else StoreRegained())
        self.run_pending()

    def send_messages(self) -> None:
        """Let each entry send its state to the others."""
        now = self.clock.now()
        for sender, harness in enumerate(self.fleet):
            message = peers.describe_entry(harness.state, now)
            for receiver in range(ENTRIES):
                if receiver != sender:
                    self.network.append((receiver, message))

    @precondition(lambda self: self.network)
    @rule(data=st.data(), arrives=st.booleans())
    def deliver_message(self, data: st.DataObject, arrives: bool) -> None:
        """Deliver or drop any of the messages under way."""
        position = data.draw(st.integers(0, len(self.network) - 1))
        receiver, message = self.network.pop(position)
        if arrives:
            self.handle(receiver, message)
            self.run_pending()

    @rule(steps=st.integers(1, 30))
    def advance_time(self, steps: int) -> None:
        """Advance the clock in steps, with ticks, restarts and copies."""
        for _ in range(steps):
            self.clock.advance(STEP)
            for entry in range(ENTRIES):
                self.handle(entry, Ticked())
            self.return_targets()
            self.make_copies()
            self.run_pending()
            self.check_overlaps()
        self.send_messages()

    def check_overlaps(self) -> None:
        """Check that no run is open at two engines for longer than allowed."""
        now = self.clock.now()
        for calls in self.calls:
            for call in calls.values():
                running = [run for run in call.runs if run.open]
                for run in running[1:]:
                    assert now - run.opened <= MAX_OVERLAP + STEP, "runs at two engines"

    # Invariants

    @invariant()
    def attempts_belong_to_requests(self) -> None:
        """Each attempt belongs to a request and is open at its target."""
        for entry, harness in enumerate(self.fleet):
            for number, attempt in harness.state.attempts.items():
                assert attempt.request in harness.state.requests
                assert (entry, number) in self.runs or (entry, number) in self.hops

    @invariant()
    def loads_match_attempts(self) -> None:
        """The calls counted at a target are the attempts open there."""
        for harness in self.fleet:
            open_calls = Counter(
                id(attempt.target) for attempt in harness.state.attempts.values()
            )
            for target in harness.state.targets.targets.values():
                assert target.calls == open_calls[id(target)]

    def teardown(self) -> None:
        """End all runs and check that no state of any request remains."""
        if not hasattr(self, "fleet"):
            return
        self.cut.clear()
        for entry in range(ENTRIES):
            self.handle(entry, StoreRegained())
        self.run_pending()
        for _ in range(12):
            for run in list(self.runs.values()):
                if run.open:
                    self.advance_run(run, STREAM_EVENTS)
                    self.run_pending()
            self.copies.clear()
            self.advance_time(20)
        for harness in self.fleet:
            assert not harness.state.requests
            assert not harness.state.attempts
            assert not len(harness.state.queue)
            for target in harness.state.targets.targets.values():
                assert target.calls == 0
                assert target.memory == 0
                assert target.reading == 0


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(
    max_examples=100,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
