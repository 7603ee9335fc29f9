"""Plans of faults of a deployment, drawn from a seed before a run starts."""

import random
from dataclasses import dataclass

from tests.afterlife import Afterlife

FIRST_FAULT_DELAY = 1.5
"""Time of undisturbed traffic before the first fault, in seconds."""

MEAN_FAULT_INTERVAL = 0.8
"""Mean time between the starts of two faults, in seconds."""

DURATION_RANGE = (0.3, 2.5)
"""Shortest and longest duration of a fault, in seconds."""

LATE_RANGE = (0.2, 3.0)
"""Shortest and longest time to the registration of a restarted target."""

RELEASE_RANGE = (0.4, 2.0)
"""Shortest and longest time for which a release lasts until it is rolled back."""

RELEASE_PAUSE_RANGE = (2.0, 4.0)
"""Shortest and longest time between two releases, in seconds."""

BEHAVIORS = ("early", "empty", "forgetful")
"""What may be wrong with an engine from its start on."""

BEHAVIOR_SHARE = 0.5
"""Probability of each of them."""


@dataclass(frozen=True, slots=True)
class Restart:
    """A target is killed and starts again under its id and port.

    Attributes:
        number: Number of the target, modulo those there are.
        held: What a supervisor does with connections meanwhile; None if they are
            refused.
        gap: Time from the kill to the start, in seconds.
        late: Time from the start to the registration, in seconds.
        upgrade: Whether it starts again as the other software version.
        graceful: Whether it is ended by SIGTERM and has drained before.
        behaviors: What is wrong with the new incarnation.
    """

    number: int
    held: Afterlife | None
    gap: float
    late: float
    upgrade: bool
    graceful: bool
    behaviors: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Replace:
    """A target crashes or leaves for good; one with a new id takes its place."""

    number: int
    held: Afterlife | None
    seconds: float
    graceful: bool
    behaviors: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FreezeTarget:
    """A target is stopped by SIGSTOP and continued by SIGCONT."""

    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class DisturbEntry:
    """An entry is killed, stopped, frozen or reloaded."""

    action: str
    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class LoseStore:
    """The store answers nobody."""

    seconds: float


@dataclass(frozen=True, slots=True)
class KillEntries:
    """All entries are killed at once, and start again."""


@dataclass(frozen=True, slots=True)
class CutEntry:
    """An entry reaches neither of the named sides, ``store`` and ``peers``.

    Most callers that return come to it meanwhile.
    """

    number: int
    sides: tuple[str, ...]
    seconds: float


@dataclass(frozen=True, slots=True)
class Release:
    """Engines of another software version serve for a while.

    Attributes:
        number: Number of the first engine, modulo those there are.
        count: Number of engines.
        seconds: Time until they are rolled back.
        late: Time from each start to the registration.
        in_place: Whether engines start again under their ids; else other ones start
            beside them, and leave.
    """

    number: int
    count: int
    seconds: float
    late: float
    in_place: bool


Fault = (
    Restart
    | Replace
    | FreezeTarget
    | DisturbEntry
    | LoseStore
    | KillEntries
    | CutEntry
    | Release
)


@dataclass(frozen=True, slots=True)
class Step:
    """A fault, and its time in seconds from the start of the traffic."""

    at: float
    fault: Fault


def draw_plan(seed: int, seconds: float, engines: int) -> list[Step]:
    """Return the faults of a seed in their order."""
    rng = random.Random(f"{seed} plan")
    steps = []
    at = FIRST_FAULT_DELAY
    while at < seconds:
        steps += [Step(at + delay, fault) for delay, fault in _draw(rng, engines)]
        at += rng.expovariate(1 / MEAN_FAULT_INTERVAL)
    return sorted(steps, key=lambda step: step.at)


def draw_releases(seed: int, seconds: float) -> list[Step]:
    """Return a plan of releases in which single entries are killed, frozen or cut off.

    What is done to an entry begins before the release, and mostly ends after it.
    """
    rng = random.Random(f"{seed} releases")
    steps: list[Step] = []
    at = FIRST_FAULT_DELAY
    while at < seconds:
        span = rng.uniform(*RELEASE_RANGE)
        late = rng.choice([0.0, 0.0, rng.uniform(*LATE_RANGE)])
        count = rng.randint(1, 3)
        in_place = rng.random() < 0.5
        release = Release(rng.randrange(1_000), count, span, late, in_place)
        steps.append(Step(at, release))
        for number in rng.sample(range(1_000), rng.randint(2, 3)):
            fault = _draw_release_fault(rng, number, span)
            steps.append(Step(max(0.0, at + rng.uniform(-1.0, 0.4)), fault))
        at += span + rng.uniform(*RELEASE_PAUSE_RANGE)
    return sorted(steps, key=lambda step: step.at)


def _draw_release_fault(rng: random.Random, number: int, span: float) -> Fault:
    seconds = span + rng.uniform(0.5, 3.0)
    match rng.choice(["kill", "freeze", "cut", "cut", "cut", "store"]):
        case "kill":
            return DisturbEntry("kill", number, 0.0)
        case "freeze":
            return DisturbEntry("freeze", number, seconds)
        case "cut":
            sides = rng.choice([("store", "peers"), ("store", "peers"), ("peers",)])
            return CutEntry(number, sides, seconds)
    return CutEntry(number, ("store",), seconds)


def add_kills(steps: list[Step], interval: float, seconds: float) -> list[Step]:
    """Return a plan in which all entries are killed at each interval, if not 0."""
    if not interval:
        return steps
    count = int(seconds / interval)
    kills = [Step(interval * number, KillEntries()) for number in range(1, count + 1)]
    return sorted([*steps, *kills], key=lambda step: step.at)


def draw_behaviors(rng: random.Random) -> tuple[str, ...]:
    """Return what is wrong with an engine that starts."""
    return tuple(name for name in BEHAVIORS if rng.random() < BEHAVIOR_SHARE)


def _draw(rng: random.Random, engines: int) -> list[tuple[float, Fault]]:
    kinds = ["restart", "release", "replace", "freeze", "entry", "store"]
    seconds = rng.uniform(*DURATION_RANGE)
    number = rng.randrange(1_000)
    match rng.choices(kinds, [5, 0.5, 2, 2, 4, 1])[0]:
        case "restart":
            found: list[tuple[float, Fault]] = [(0.0, _draw_restart(rng, number))]
            if rng.random() < 0.4:
                found.append((rng.uniform(-0.5, 1.0), _draw_entry_fault(rng)))
            return found
        case "release":
            pace = rng.uniform(0.3, 1.2)
            return [
                (pace * index, _draw_restart(rng, index)) for index in range(engines)
            ]
        case "replace":
            graceful = rng.random() < 0.5
            held = _draw_held(rng)
            return [
                (0.0, Replace(number, held, seconds, graceful, draw_behaviors(rng)))
            ]
        case "freeze":
            return [(0.0, FreezeTarget(number, seconds))]
        case "entry":
            return [(0.0, _draw_entry_fault(rng))]
    return [(0.0, LoseStore(seconds))]


def _draw_restart(rng: random.Random, number: int) -> Restart:
    return Restart(
        number,
        _draw_held(rng),
        rng.choice([0.0, 0.0, rng.uniform(*DURATION_RANGE)]),
        rng.choice([0.0, rng.uniform(*LATE_RANGE)]),
        rng.random() < 0.7,
        rng.random() < 0.2,
        draw_behaviors(rng),
    )


def _draw_held(rng: random.Random) -> Afterlife | None:
    held = [Afterlife.SILENT, Afterlife.RESET, Afterlife.CLOSED]
    return rng.choice([None, None, *held])


def _draw_entry_fault(rng: random.Random) -> DisturbEntry:
    action = rng.choice(["kill", "stop", "freeze", "freeze", "reload"])
    return DisturbEntry(action, rng.randrange(1_000), rng.uniform(*DURATION_RANGE))
