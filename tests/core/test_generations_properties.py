"""Property tests: a caller gets events 1 to n of one generation, under any faults."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from figstep.core.clock import Millis
from figstep.core.effects import (
    Complete,
    Deliver,
    DiscardDelivered,
    Effect,
    OpenAttempt,
    Refuse,
    ResumeAttempt,
    WakeAt,
)
from figstep.core.events import (
    AttemptAnswered,
    AttemptEnded,
    AttemptLost,
    Event,
    Loss,
    RequestArrived,
    Timer,
    TimerFired,
    TokensArrived,
)
from figstep.core.problems import Ran
from figstep.core.specs import GenerationWork, RequestSpec
from tests.core.entries import Entry, make_inventory

LENGTH = 6
"""Number of events in each complete generation."""

picks = st.integers(0, 9)


class Caller:
    """The events that one caller has received."""

    def __init__(self, stream: bool) -> None:
        self.stream = stream
        self.frames: list[bytes] = []
        self.complete = False


class GenerationsMachine(RuleBasedStateMachine):
    """Generations on targets that lose, repeat and mix up events."""

    def __init__(self) -> None:
        super().__init__()
        self.entry = Entry(inventory=make_inventory(engines=3))
        self.callers: dict[str, Caller] = {}
        self.attempts: list[tuple[int, str, str]] = []
        self.timers: dict[Timer, Millis] = {}

    def _feed(self, event: Event) -> None:
        for effect in self.entry.feed(event):
            self._perform(effect)

    def _perform(self, effect: Effect) -> None:
        match effect:
            case OpenAttempt() | ResumeAttempt():
                self.attempts.append(
                    (effect.attempt, effect.generation, effect.request)
                )
            case Deliver(request=request, frames=frames):
                assert not self.callers[request].complete
                self.callers[request].frames += frames
            case DiscardDelivered(request=request):
                caller = self.callers[request]
                assert not (caller.stream and caller.frames), "the caller saw these"
                caller.frames.clear()
            case Complete(request=request):
                caller = self.callers.pop(request)
                assert len(caller.frames) == LENGTH, "the answer is not whole"
                caller.complete = True
            case Refuse(request=request, problem=problem):
                caller = self.callers.pop(request)
                assert problem.ran is not Ran.NO or not caller.frames
            case WakeAt(timer=timer, at=at):
                self.timers[timer] = at

    def _pick(self, pick: int) -> tuple[int, str, str]:
        return self.attempts[-1 - pick % len(self.attempts)]

    @rule(stream=st.booleans())
    def send(self, stream: bool) -> None:
        request = f"r{len(self.attempts)}.{len(self.callers)}.{self.entry.now}"
        if request in self.callers:
            return
        self.callers[request] = Caller(stream)
        spec = RequestSpec(request, "demo", GenerationWork("m"), stream, digest=request)
        self._feed(RequestArrived(spec))

    @rule(pick=picks, first=st.integers(1, LENGTH), count=st.integers(1, 4))
    def events_arrive(self, pick: int, first: int, count: int) -> None:
        if self.attempts:
            attempt, generation, _ = self._pick(pick)
            self._deliver(attempt, generation, first, count)

    @rule(pick=picks, other=picks, count=st.integers(1, 4))
    def answers_cross(self, pick: int, other: int, count: int) -> None:
        """Deliver events of one generation over an attempt of another."""
        if self.attempts:
            attempt, generation = self._pick(pick)[0], self._pick(other)[1]
            self._deliver(attempt, generation, 1, count)

    @rule(pick=picks, count=st.integers(1, LENGTH))
    def next_events_arrive(self, pick: int, count: int) -> None:
        """Deliver the events that follow those already delivered."""
        if not self.attempts:
            return
        attempt, generation, name = self._pick(pick)
        request = self.entry.state.requests.get(name)
        if request is not None and request.delivered < LENGTH:
            self._deliver(attempt, generation, request.delivered + 1, count)

    def _deliver(self, attempt: int, generation: str, first: int, count: int) -> None:
        last = min(LENGTH, first + count - 1)
        frames = []
        for index in range(first, last + 1):
            frames.append(f"{generation}:{index}".encode())
        self._feed(TokensArrived(attempt, generation, first, frames))

    @rule(pick=picks)
    def end_marker_arrives(self, pick: int) -> None:
        if not self.attempts:
            return
        attempt, generation, name = self._pick(pick)
        request = self.entry.state.requests.get(name)
        current = request is not None and request.generation == generation
        if not current or request is None or request.delivered in (0, LENGTH):
            self._feed(AttemptEnded(attempt))

    @rule(pick=picks, loss=st.sampled_from(list(Loss)))
    def attempt_lost(self, pick: int, loss: Loss) -> None:
        if self.attempts:
            self._feed(AttemptLost(self._pick(pick)[0], loss))

    @rule(stream=st.booleans(), count=st.integers(1, LENGTH))
    def target_dies(self, stream: bool, count: int) -> None:
        """Start a request and lose it again and again, as when its target has died."""
        self.send(stream)
        if not self.attempts:
            return
        name = self.attempts[-1][2]
        self.next_events_arrive(0, count)
        for _ in range(6):
            request = self.entry.state.requests.get(name)
            if request is None:
                return
            if request.attempt is not None:
                self._feed(AttemptLost(request.attempt, Loss.NOT_FOUND))
            self.time_passes(2_000)

    @rule(pick=picks)
    def attempt_answered(self, pick: int) -> None:
        if self.attempts:
            self._feed(AttemptAnswered(self._pick(pick)[0]))

    @rule(millis=st.sampled_from([1, 100, 2_000, 11_000]))
    def time_passes(self, millis: int) -> None:
        self.entry.now = Millis(self.entry.now + millis)
        due = [timer for timer, at in self.timers.items() if at <= self.entry.now]
        for timer in due:
            del self.timers[timer]
        for timer in due:
            self._feed(TimerFired(timer))

    @invariant()
    def callers_see_one_generation_in_order(self) -> None:
        for caller in self.callers.values():
            names = {frame.rpartition(b":")[0] for frame in caller.frames}
            indexes = [int(frame.rpartition(b":")[2]) for frame in caller.frames]
            assert len(names) <= 1
            assert indexes == list(range(1, len(indexes) + 1))

    @invariant()
    def open_attempts_belong_to_requests(self) -> None:
        state = self.entry.state
        for number, attempt in state.attempts.items():
            assert state.requests[attempt.request].attempt == number
        in_flight = sum(target.in_flight for target in state.targets.values())
        assert in_flight == len(state.attempts)


TestGenerations = GenerationsMachine.TestCase
TestGenerations.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
