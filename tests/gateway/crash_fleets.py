"""Simulated fleet of entries, and engines that one part of a prompt crashes."""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count

from figstep.core.clock import Millis
from figstep.gateway.effects import (
    BeginStream,
    CheckTarget,
    CloseAttempt,
    Effect,
    OpenAttempt,
    ProbeTarget,
    ReadReport,
    Refuse,
)
from figstep.gateway.events import (
    AttemptConnected,
    AttemptLost,
    Event,
    Loss,
    PiecesArrived,
    StreamConfirmed,
    StreamEnded,
    StreamOpened,
    StreamPiece,
    TargetChecked,
    TargetDeparted,
    TargetDown,
    TargetRegistered,
)
from figstep.gateway.prompts import Prompt
from figstep.gateway.targets import Registration
from tests.gateway.limited_fleets import LimitedFleet, SimulatedEntry
from tests.gateway.worlds import ENGINES

GUILTY = "guilty"
"""Part that crashes each engine that begins to write on it."""

READ_TIME = Millis(250)
"""Milliseconds from the arrival of a prompt to its first event."""

EVENT_INTERVAL = Millis(30)
CRASH_DELAY = Millis(50)
"""Milliseconds from the start of a run with the guilty part to the crash."""

RESTART_DELAY = Millis(4_000)
"""Milliseconds from a crash until another engine starts at the same address."""

REGISTRATION_DELAY = Millis(80)

MANY_CRASHES = 5
"""Number of crashes from which the part has to be known."""

NOTICE_DURATION = Millis(3_000)
"""Milliseconds after these crashes from which requests with the part count as late."""

MAX_LATE_ARRIVALS = 3
"""Tolerated number of late requests."""

MIN_SHARE = 0.5
"""Smallest share of sound requests that begin at the first try, as a fraction of the
share before the first crash."""

PATHS = {"/question/a": 4, "/plan/a": 100}
"""Number of events of each path's answers."""


@dataclass
class Engine:
    """Engine at one address, in one incarnation after the other."""

    info: Registration
    running: dict[tuple[str, int], OpenAttempt] = field(default_factory=dict)
    is_down: bool = False
    accepts_until: Millis = Millis(0)


@dataclass
class Caller:
    """First try of a sound request.

    Attributes:
        sent_at: When it was sent.
        begun: Whether its answer began.
    """

    sent_at: Millis
    begun: bool = False


class CrashFleet(LimitedFleet):
    """Fleet with engines, sound callers, and callers whose prompts have a guilty part.

    Attributes:
        crashes: Times at which engines crashed.
        guilty_arrivals: Times at which requests with the part reached an engine.
        callers: First tries of sound requests with the same first part and customer.
        refusals: Reasons for which sound requests were refused.
    """

    def __init__(
        self,
        seed: int,
        engines: int = 8,
        path: str = "/question/a",
        crash_after_event: bool = False,
        documents: int = 40,
        restart_delay: Millis = RESTART_DELAY,
        linger: Millis = Millis(0),
        **options: object,
    ) -> None:
        """Start all entries and engines.

        Args:
            seed: Seed of all random choices.
            engines: Number of engines.
            path: Path of all requests.
            crash_after_event: Whether the first event of a run is delivered before the
                guilty part crashes its engine.
            documents: Number of documents that prompts share.
            restart_delay: Milliseconds from a crash until another engine starts at the
                same address.
            linger: Milliseconds for which that address goes on to accept connections
                after the crash, and resets them.
            options: See `LimitedFleet`.
        """
        self.engines: list[Engine] = []
        self.crashes: list[Millis] = []
        self.guilty_arrivals: list[Millis] = []
        self.callers: list[Caller] = []
        self.refusals: list[str] = []
        self._path = path
        self._crash_after_event = crash_after_event
        self._documents = documents
        self._restart_delay = restart_delay
        self._linger = linger
        self._lives: Iterator[int] = count(1)
        self._sound: dict[tuple[str, int, int], Caller] = {}
        self._guilty_numbers: set[tuple[str, int, int]] = set()
        self._guilty_until = Millis(0)
        self._next_guilty = 0.0
        self.guilty_per_second = 4.0
        super().__init__(seed, **options)  # type: ignore[arg-type]
        for number in range(engines):
            info = Registration(
                f"e-{next(self._lives)}",
                ENGINES,
                f"e-{number}:80",
                f"domain-{number % 4}",
                64,
                born=1,
            )
            self.engines.append(Engine(info))
        for entry in self.entries:
            self._register_engines(entry)

    def _register_engines(self, entry: SimulatedEntry) -> None:
        for engine in self.engines:
            if not engine.is_down:
                entry.harness.handle(TargetRegistered(engine.info))

    def _start_process(self, entry: SimulatedEntry, first: bool) -> None:
        super()._start_process(entry, first)
        entry.harness.reachable = False
        self._register_engines(entry)

    # Actions and measures of a test

    def send_guilty(self, seconds: float) -> None:
        """Let requests with the guilty part come for some seconds from now on."""
        self._guilty_until = Millis(self.clock.now() + round(seconds * 1_000))
        self._next_guilty = float(self.clock.now())
        self._later(0, self._send_guilty)

    def send_deadly(self, number: int, pause: int) -> None:
        """Let one deadly prompt with a document come while guilty ones do.

        It is sent again every ``pause`` milliseconds, to any entry.
        """
        if self.clock.now() >= self._guilty_until:
            return
        entry = self.rng.choice(self.entries)
        self._add_guilty(entry)
        document = f"document {number % self._documents}"
        self._send_prompt(entry, ["first", document], f"deadly {number}")
        self._later(pause, partial(self.send_deadly, number, pause))

    def kill_engines(self, per_second: float) -> None:
        """Kill engines at random while guilty prompts come."""
        if self.clock.now() >= self._guilty_until:
            return
        engine = self.rng.choice(self.engines)
        self._crash(engine, engine.info)
        pause = max(1, round(self.rng.expovariate(per_second / 1_000)))
        self._later(pause, partial(self.kill_engines, per_second))

    def count_late_arrivals(self) -> int:
        """Return how many requests with the part came to engines too late."""
        if len(self.crashes) < MANY_CRASHES:
            return 0
        known = self.crashes[MANY_CRASHES - 1] + NOTICE_DURATION
        return sum(at > known for at in self.guilty_arrivals)

    def find_shares(self) -> tuple[float, float]:
        """Return the shares of sound requests that began, before and while known."""
        before = [one for one in self.callers if one.sent_at < self.crashes[0] - 1_000]
        last = self.crashes[:MANY_CRASHES][-1]
        since = last + 2 * NOTICE_DURATION
        later = [
            one for one in self.callers if since <= one.sent_at < self._guilty_until
        ]
        return _find_share(before), _find_share(later)

    # Callers

    def _call(self, entry: SimulatedEntry) -> None:
        parts = ["first", self._draw_document()]
        caller = Caller(self.clock.now())
        self.callers.append(caller)
        harness = entry.harness
        self._sound[entry.node, entry.session, harness.next_number] = caller
        self._send_prompt(entry, parts)

    def _send_guilty(self) -> None:
        now = self.clock.now()
        if now >= self._guilty_until:
            return
        entry = self.rng.choice(self.entries)
        self._add_guilty(entry)
        self._send_prompt(entry, ["first", self._draw_document(), GUILTY])
        pause = self.rng.expovariate(self.guilty_per_second / 1_000)
        self._later(max(1, round(pause)), self._send_guilty)

    def _draw_document(self) -> str:
        return f"document {self.rng.randrange(self._documents)}"

    def _add_guilty(self, entry: SimulatedEntry) -> None:
        """Let the next request to an entry crash the engines that run it."""
        number = entry.harness.next_number
        self._guilty_numbers.add((entry.node, entry.session, number))

    def _send_prompt(
        self, entry: SimulatedEntry, parts: list[str], own: str = ""
    ) -> None:
        own = own or f"own {self.rng.random()}"
        prompt = Prompt(
            "m", 2_600, 900, 50, tuple((part, 600) for part in [*parts, own])
        )
        harness = entry.harness
        harness.receive_request(self._path, prompt, digest=own, max_wait=Millis(6_000))
        self._perform(entry, harness.effects)

    # Engines

    def _perform(self, entry: SimulatedEntry, effects: list[Effect]) -> None:
        for effect in list(effects):
            match effect:
                case OpenAttempt():
                    connect = partial(self._connect, entry, entry.session, effect)
                    self._later(1, connect)
                case CloseAttempt():
                    for engine in self.engines:
                        engine.running.pop((entry.node, effect.attempt), None)
                case BeginStream():
                    key = (entry.node, entry.session, effect.number)
                    caller = self._sound.pop(key, None)
                    if caller is not None:
                        caller.begun = True
                case Refuse():
                    key = (entry.node, entry.session, effect.number)
                    if self._sound.pop(key, None) is not None:
                        self.refusals.append(effect.problem.code)
                case ProbeTarget() | CheckTarget():
                    self._later(2, partial(self._probe, entry, effect))
                case ReadReport():
                    pass
                case _:
                    super()._perform(entry, [effect])

    def _find_engine(self, name: str) -> Engine | None:
        for engine in self.engines:
            if engine.info.target == name and not engine.is_down:
                return engine
        return None

    def _accepts(self, name: str) -> bool:
        """Return whether the address of an engine, or of a crashed one, accepts."""
        for engine in self.engines:
            if engine.info.target == name:
                return not engine.is_down or self.clock.now() < engine.accepts_until
        return False

    def _probe(self, entry: SimulatedEntry, effect: ProbeTarget | CheckTarget) -> None:
        is_up = self._accepts(effect.target)
        if isinstance(effect, CheckTarget):
            checked = TargetChecked(effect.target, self.clock.now(), is_up)
            self.handle(entry, checked)
            return
        target = entry.harness.state.targets.find(effect.target)
        if not is_up and target is not None:
            self.handle(entry, TargetDown(target.info.incarnation))

    def _connect(
        self, entry: SimulatedEntry, session: int, opened: OpenAttempt
    ) -> None:
        if session != entry.session:
            return
        engine = self._find_engine(opened.target)
        if engine is None and self._accepts(opened.target):
            self.handle(entry, AttemptConnected(opened.attempt))
            broken = AttemptLost(opened.attempt, Loss.BROKEN)
            self._later(1, partial(self._lose, entry, broken))
            return
        if engine is None:
            lost = AttemptLost(opened.attempt, Loss.UNREACHED, down=True)
            self.handle(entry, lost)
            return
        self.handle(entry, AttemptConnected(opened.attempt))
        if opened.attempt not in entry.harness.state.attempts:
            return
        engine.running[entry.node, opened.attempt] = opened
        is_guilty = (entry.node, session, opened.number) in self._guilty_numbers
        if is_guilty:
            self.guilty_arrivals.append(self.clock.now())
        begin = partial(self._begin, entry, engine, engine.info, opened, is_guilty)
        self._later(READ_TIME + self.rng.randrange(200), begin)

    def _begin(
        self,
        entry: SimulatedEntry,
        engine: Engine,
        info: Registration,
        opened: OpenAttempt,
        is_guilty: bool,
    ) -> None:
        if engine.info is not info:
            return
        if (entry.node, opened.attempt) not in engine.running:
            return
        if is_guilty:
            self._later(CRASH_DELAY, partial(self._crash, engine, info))
            if not self._crash_after_event:
                return
        self.handle(entry, StreamOpened(opened.attempt))
        self.handle(entry, StreamConfirmed(opened.attempt))
        self._write(entry, engine, info, opened, (opened.after or 0) + 1)

    def _write(
        self,
        entry: SimulatedEntry,
        engine: Engine,
        info: Registration,
        opened: OpenAttempt,
        index: int,
    ) -> None:
        key = (entry.node, opened.attempt)
        if engine.info is not info or engine.is_down or key not in engine.running:
            return
        piece = StreamPiece(index, f"id: {index}\n\n".encode())
        self.handle(entry, PiecesArrived(opened.attempt, [piece]))
        if index >= PATHS[self._path]:
            engine.running.pop(key, None)
            self.handle(entry, StreamEnded(opened.attempt))
            return
        write = partial(self._write, entry, engine, info, opened, index + 1)
        self._later(EVENT_INTERVAL, write)

    def _crash(self, engine: Engine, info: Registration) -> None:
        if engine.info is not info or engine.is_down:
            return
        self.crashes.append(self.clock.now())
        engine.is_down = True
        engine.accepts_until = Millis(self.clock.now() + self._linger)
        running, engine.running = engine.running, {}
        for node, attempt in running:
            for entry in self.entries:
                if entry.node == node:
                    lost = AttemptLost(attempt, Loss.BROKEN)
                    self._later(1, partial(self._lose, entry, lost))
        self._later(self._restart_delay, partial(self._restart, engine))

    def _lose(self, entry: SimulatedEntry, lost: Event) -> None:
        self.handle(entry, lost)

    def _restart(self, engine: Engine) -> None:
        before = engine.info
        engine.info = replace(
            before, target=f"e-{next(self._lives)}", born=int(self.clock.now())
        )
        engine.is_down = False
        for entry in self.entries:
            delay = 1 + self.rng.randrange(REGISTRATION_DELAY)
            gone = partial(self.handle, entry, TargetDeparted(before.target))
            self._later(delay, gone)
            start = partial(self.handle, entry, TargetRegistered(engine.info))
            self._later(delay, start)


def _find_share(callers: list[Caller]) -> float:
    if not callers:
        return 0.0
    return sum(one.begun for one in callers) / len(callers)
