"""Plans of faults: drawn from a seed before a run starts."""

import random
from dataclasses import dataclass
from enum import Enum

FIRST_FAULT_DELAY = 1.0
"""Seconds of traffic before the first fault."""

FAULT_DURATION_RANGE = (0.3, 2.5)
"""Seconds that a fault lasts, shortest and longest."""


SIGNAL_DURATION_RANGE = (5.0, 9.0)
"""Seconds for which a target says something in its answers."""

RATES = (0.5, 1.0, 2.0, 4.0)
"""Requests a second that targets name."""

RETRY_AFTERS = (0.8, 1.5, 3.0)
"""Seconds that targets ask for."""

CRASHING_RETRY_INTERVALS = (0.02, 0.4, 1.2, 2.5)
"""Seconds after which the caller of a request that crashes targets comes again."""


class Extra(Enum):
    """What is drawn apart: a plan without it is as it was before there was any."""

    RATE = "words"  # the value draws the plan, and kept seeds were drawn by this one
    LEAVING = "leaving"
    PAUSE = "pause"
    CRASHES = "crashes"


SIGNALS = (Extra.RATE, Extra.LEAVING, Extra.PAUSE)
"""What a target may say of itself in its answers."""

ALL_EXTRAS = tuple(Extra)


@dataclass(frozen=True, slots=True)
class EntryFault:
    """Do something to one entry's process.

    Attributes:
        action: ``kill``, ``stop``, ``freeze`` or ``reload``.
        entry: Number of the entry.
        seconds: How long it lasts.
    """

    action: str
    entry: int
    seconds: float


@dataclass(frozen=True, slots=True)
class AllEntriesKilled:
    """Kill all entries at once; they are restarted."""


@dataclass(frozen=True, slots=True)
class LinkFault:
    """Harm a link.

    Attributes:
        action: ``delay``, ``stall``, ``lose_to``, ``lose_from``, ``cut``,
            ``freeze``, ``half_open`` or ``lose_answers``.
        link: ``store`` of an entry, ``caller`` of an entry, or ``target``.
        number: Number of the entry or target, taken modulo what there is.
        seconds: How long it lasts.
    """

    action: str
    link: str
    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class StoreFault:
    """Let the store misbehave for all.

    Attributes:
        action: ``away`` or ``forget``.
        seconds: How long it lasts.
    """

    action: str
    seconds: float


@dataclass(frozen=True, slots=True)
class TargetFault:
    """Do something to a target.

    Attributes:
        action: ``crash``, ``leave``, ``drain``, ``grey``, ``mute`` or ``full``.
        number: Number of the target, taken modulo what there is.
        seconds: How long it lasts.
    """

    action: str
    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class RateSignal:
    """Let a target name the requests a second that it takes in all its answers.

    Attributes:
        number: Number of the target, taken modulo what there is.
        rate: Requests a second.
        seconds: How long it names it.
    """

    number: int
    rate: float
    seconds: float


@dataclass(frozen=True, slots=True)
class LeavingSignal:
    """Let a target say in all its answers that it leaves; the store learns later.

    Attributes:
        number: Number of the target, taken modulo what there is.
        seconds: How long the store is not told.
    """

    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class PauseSignal:
    """Let a target turn requests away and ask for a pause.

    Attributes:
        number: Number of the target, taken modulo what there is.
        pause: Seconds that it asks for.
        seconds: How long it turns requests away.
    """

    number: int
    pause: float
    seconds: float


@dataclass(frozen=True, slots=True)
class CrashingRequests:
    """Let a caller send a request that crashes targets, again and again.

    Attributes:
        stream: Whether it is a stream; else it is a read.
        pause: Seconds until it comes again.
        seconds: For how long it does.
    """

    stream: bool
    pause: float
    seconds: float


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """Write a new version of the configuration.

    Attributes:
        action: ``add_route``, ``drop_route``, ``add_key`` or ``drop_key``.
    """

    action: str


Fault = (
    EntryFault
    | AllEntriesKilled
    | LinkFault
    | StoreFault
    | TargetFault
    | RateSignal
    | LeavingSignal
    | PauseSignal
    | CrashingRequests
    | ConfigurationChange
)


@dataclass(frozen=True, slots=True)
class Step:
    """A fault and when it comes, in seconds from the start of traffic."""

    at: float
    fault: Fault


def draw_plan(
    seed: int, entries: int, seconds: float, extras: tuple[Extra, ...] = ALL_EXTRAS
) -> list[Step]:
    """Return the steps of one run; the same seed gives the same plan.

    Faults of one kind may come in series, and all may overlap.

    Args:
        seed: Draws the plan.
        entries: Entries that there are.
        seconds: Length of the part in which faults come.
        extras: What is drawn besides, each apart.
    """
    rng = random.Random(seed)
    steps = []
    for _ in range(rng.randint(4, 14)):
        at = rng.uniform(FIRST_FAULT_DELAY, seconds)
        fault = _draw_fault(rng, entries)
        steps.append(Step(at, fault))
        if rng.random() < 0.25:
            again = min(seconds, at + rng.uniform(0.1, 2.0))
            steps.append(Step(again, fault))
    for extra in extras:
        steps += _draw_extra(extra, random.Random(f"{seed} {extra.value}"), seconds)
    steps.sort(key=lambda step: step.at)
    return steps


def _draw_extra(extra: Extra, rng: random.Random, seconds: float) -> list[Step]:
    steps = []
    for _ in range(rng.randint(1, 3)):
        duration = round(rng.uniform(*SIGNAL_DURATION_RANGE), 2)
        number = rng.randrange(100)
        match extra:
            case Extra.RATE:
                fault: Fault = RateSignal(number, rng.choice(RATES), duration)
            case Extra.LEAVING:
                fault = LeavingSignal(number, duration)
            case Extra.PAUSE:
                fault = PauseSignal(number, rng.choice(RETRY_AFTERS), duration)
            case Extra.CRASHES:
                stream = rng.random() < 0.4
                fault = CrashingRequests(
                    stream, rng.choice(CRASHING_RETRY_INTERVALS), duration
                )
        steps.append(Step(rng.uniform(FIRST_FAULT_DELAY, seconds / 2), fault))
    return steps


def _draw_fault(rng: random.Random, entries: int) -> Fault:
    duration = round(rng.uniform(*FAULT_DURATION_RANGE), 2)
    draw = rng.random()
    if draw < 0.22:
        action = rng.choice(["kill", "stop", "freeze", "reload"])
        return EntryFault(action, rng.randrange(entries), duration)
    if draw < 0.25:
        return AllEntriesKilled()
    if draw < 0.50:
        action = rng.choice(
            [
                "delay",
                "stall",
                "lose_to",
                "lose_from",
                "cut",
                "freeze",
                "half_open",
                "lose_answers",
            ]
        )
        link = rng.choice(["store", "caller", "target", "target"])
        return LinkFault(action, link, rng.randrange(100), duration)
    if draw < 0.58:
        return StoreFault(rng.choice(["away", "forget"]), duration)
    if draw < 0.85:
        action = rng.choice(
            ["crash", "leave", "leave", "drain", "grey", "mute", "full"]
        )
        return TargetFault(action, rng.randrange(100), duration)
    return ConfigurationChange(
        rng.choice(["add_route", "drop_route", "add_key", "drop_key"])
    )
