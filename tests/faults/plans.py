"""Plans of faults, drawn from a seed before a run starts.

In all faults, ``number`` is that of a target or entry, taken modulo the number of those
that there are then, and ``seconds`` the duration.
"""

import random
from dataclasses import dataclass
from enum import Enum

from tests.afterlife import Afterlife
from tests.faults.links import CutKind

FIRST_FAULT_DELAY = 1.0
"""Time of undisturbed traffic before the first fault, in seconds."""

FAULT_DURATION_RANGE = (0.3, 2.5)
"""Shortest and longest duration of a fault, in seconds."""

SIGNAL_DURATION_RANGE = (5.0, 9.0)
"""Shortest and longest duration of an extra fault, in seconds."""

RATES = (0.5, 1.0, 2.0, 4.0)
"""Rate limits that targets name in their answers, in requests per second."""

RETRY_AFTERS = (0.8, 1.5, 3.0)
"""Values of Retry-After that targets send when they reject requests, in seconds."""

CRASHING_RETRY_INTERVALS = (0.02, 0.4, 1.2, 2.5)
"""Intervals at which a request that crashes targets is repeated, in seconds."""

ENTRY_ACTIONS = "kill stop freeze reload".split()
LINK_ACTIONS = "delay stall lose_to lose_from cut freeze half_open lose_answers".split()
TARGET_ACTIONS = "crash leave leave drain grey mute full".split()
CONFIGURATION_ACTIONS = "add_route drop_route add_key drop_key".split()

PART_INTERVALS = (0.25, 0.6, 1.3)
"""Intervals between requests with a part that crashes engines, in seconds."""


AFTERLIFE_SECONDS = (1.0, 20.0)
"""Times for which the address of a crashed target goes on to accept connections."""

CLOCK_STEPS = (-60_000, -2_400, 2_400)
"""Steps of the clock of a target that starts again, in milliseconds."""

WHOLE_CUTS = (CutKind.RESET, CutKind.SILENT, CutKind.NEW_ONLY)
"""Kinds of cuts of entries from all targets."""

CUT_SCOPES = ("engines", "bookings", "target")
"""What a partial cut cuts an entry off from: a service, or one target."""


UPDATE_RANGE = (0.4, 2.0)
"""Shortest and longest time until an update is taken back, in seconds."""

ISOLATIONS = (("store", "peers"), ("store", "peers"), ("store",), ("peers",))
"""What isolated entries do not reach."""


class Extra(Enum):
    """Kind of extra fault.

    Each kind has its own random generator, so that adding or removing one leaves the
    rest of a plan unchanged, and recorded seeds still reproduce their runs.
    """

    RATE = "words"  # part of the random seed: another value would change the plans
    LEAVING = "leaving"
    PAUSE = "pause"
    CRASHES = "crashes"
    BROKEN = "broken"
    CUTS = "cuts"
    VERSIONS = "versions"
    PARTS = "parts"
    CROWDS = "crowds"
    ERAS = "eras"
    ENDLESS = "endless"
    PARTIAL_CUTS = "partial_cuts"
    AFTERLIFE = "afterlife"
    EARLY = "early"
    CLOCKS = "clocks"
    UPDATES = "updates"


SIGNALS = (Extra.RATE, Extra.LEAVING, Extra.PAUSE)
"""Extras in which a target sends a signal about itself in its answers."""

SIGNALS_AND_CRASHES = (*SIGNALS, Extra.CRASHES)
"""Extras of the seeds that were recorded before there were others."""

SIGNALS_TO_VERSIONS = (*SIGNALS_AND_CRASHES, Extra.BROKEN, Extra.CUTS, Extra.VERSIONS)
"""Extras of the seeds that were recorded before there were parts and crowds."""

SIGNALS_TO_CROWDS = (*SIGNALS_TO_VERSIONS, Extra.PARTS, Extra.CROWDS)
"""Extras of the seeds that were recorded before the store came back from copies."""

SIGNALS_TO_ENDLESS = (*SIGNALS_TO_CROWDS, Extra.ERAS, Extra.ENDLESS)
"""Extras of the seeds that were recorded last."""

ALL_EXTRAS = tuple(Extra)


@dataclass(frozen=True, slots=True)
class EntryFault:
    """Fault of the process of one entry: one of ``ENTRY_ACTIONS``."""

    action: str
    entry: int | None  # None for all at once
    seconds: float


@dataclass(frozen=True, slots=True)
class LinkFault:
    """Fault of a network link: one of ``LINK_ACTIONS``.

    Attributes:
        link: ``store`` for the link between an entry and the store, ``caller``
            for the link between callers and an entry, or ``target`` for the link
            between the entries and a target.
    """

    action: str
    link: str
    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class StoreFault:
    """Fault of the store: ``away`` (it answers 503) or ``forget`` (all records)."""

    action: str
    seconds: float


@dataclass(frozen=True, slots=True)
class StoreReturn:
    """Outage of the store, which comes back from an older copy.

    Attributes:
        lost: Number of the newest records of each topic that the copy lacks.
        away: Duration of the outage, in seconds.
        pause: Seconds from the return until what was lost is written again.
    """

    lost: int
    away: float
    pause: float


@dataclass(frozen=True, slots=True)
class TargetFault:
    """Fault or departure of a target.

    Attributes:
        action: ``crash``, ``leave`` (its registration is deleted), ``drain`` (its
            registration says that it drains), ``grey`` (half of its calls fail),
            ``mute`` (it never answers) or ``full`` (it rejects requests as not
            run).
    """

    action: str
    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class TargetBehavior:
    """Unusual answers of a target that lives on.

    Attributes:
        kind: ``RATE`` (all answers name a rate limit), ``PAUSE`` (requests are rejected
            with Retry-After), ``BROKEN`` (half of the answers break off), ``ENDLESS``
            (half of them never end) or ``EARLY`` (half of the streams that end with
            their connection end between two events).
        value: Rate limit in requests per second, or Retry-After in seconds; else 0.
    """

    kind: Extra
    number: int
    value: float
    seconds: float


@dataclass(frozen=True, slots=True)
class LeavingSignal:
    """Target that announces in its answers, before the store knows, that it leaves."""

    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class CrashingRequests:
    """Caller that repeats, after pauses, a stream or read that crashes each target."""

    stream: bool
    pause: float
    seconds: float


@dataclass(frozen=True, slots=True)
class CrashingPart:
    """Callers, at intervals, whose prompts share a part that crashes each engine."""

    pause: float
    seconds: float


@dataclass(frozen=True, slots=True)
class Crowd:
    """Time in which most callers come to one entry."""

    entry: int
    seconds: float


@dataclass(frozen=True, slots=True)
class EntryCut:
    """Fault that cuts an entry off from targets; others still reach them.

    Attributes:
        entry: Number of the entry, taken modulo the number of entries; also that of
            the target of a cut from one, modulo the number of targets.
        scope: One of ``CUT_SCOPES``; "" for all targets.
    """

    entry: int
    kind: CutKind
    seconds: float
    scope: str = ""


@dataclass(frozen=True, slots=True)
class OutlivedCrash:
    """Crash of a target whose address goes on to accept connections."""

    number: int
    afterlife: Afterlife
    seconds: float


@dataclass(frozen=True, slots=True)
class Release:
    """Change of an engine's software version.

    Attributes:
        same_id: Whether the engine starts again under its id; otherwise another one
            starts and this one drains.
        clock_step: Milliseconds by which its clock was set in between.
    """

    number: int
    same_id: bool
    clock_step: int = 0


@dataclass(frozen=True, slots=True)
class Update:
    """Change of the version of some engines, which is taken back.

    In a plan with one, all engines have the same version at first.

    Attributes:
        count: Number of engines.
        seconds: Time until it is taken back.
        in_place: Whether they start again under their ids; else other ones start
            beside them, and leave.
    """

    number: int
    count: int
    seconds: float
    in_place: bool


@dataclass(frozen=True, slots=True)
class Isolation:
    """Fault that cuts an entry off from the store, or from other entries.

    Attributes:
        sides: ``store``, ``peers`` or both.
    """

    entry: int
    sides: tuple[str, ...]
    seconds: float


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """Change that publishes a new version: one of ``CONFIGURATION_ACTIONS``."""

    action: str


Fault = (
    EntryFault
    | LinkFault
    | StoreFault
    | StoreReturn
    | TargetFault
    | TargetBehavior
    | LeavingSignal
    | CrashingRequests
    | CrashingPart
    | Crowd
    | EntryCut
    | OutlivedCrash
    | Release
    | Update
    | Isolation
    | ConfigurationChange
)


@dataclass(frozen=True, slots=True)
class Step:
    """Fault with its time, in seconds from the start of traffic."""

    at: float
    fault: Fault


def draw_plan(
    seed: int, entries: int, seconds: float, extras: tuple[Extra, ...] = ALL_EXTRAS
) -> list[Step]:
    """Return the steps of one run by time; the same seed gives the same plan.

    A fault may be repeated shortly after it began, and all faults may overlap. Those of
    each extra are drawn by a random generator of their own.
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
                rate = rng.choice(RATES)
                fault: Fault = TargetBehavior(extra, number, rate, duration)
            case Extra.LEAVING:
                fault = LeavingSignal(number, duration)
            case Extra.PAUSE:
                pause = rng.choice(RETRY_AFTERS)
                fault = TargetBehavior(extra, number, pause, duration)
            case Extra.CRASHES:
                stream = rng.random() < 0.4
                fault = CrashingRequests(
                    stream, rng.choice(CRASHING_RETRY_INTERVALS), duration
                )
            case Extra.BROKEN | Extra.ENDLESS | Extra.EARLY:
                fault = TargetBehavior(extra, number, 0.0, duration)
            case Extra.CUTS:
                fault = EntryCut(number, rng.choice(WHOLE_CUTS), duration)
            case Extra.PARTIAL_CUTS:
                kind, scope = rng.choice(list(CutKind)), rng.choice(CUT_SCOPES)
                fault = EntryCut(number, kind, duration, scope)
            case Extra.VERSIONS:
                fault = Release(number, rng.random() < 0.3)
            case Extra.AFTERLIFE:
                seconds = rng.choice(AFTERLIFE_SECONDS)
                fault = OutlivedCrash(number, rng.choice(list(Afterlife)), seconds)
            case Extra.CLOCKS:
                fault = Release(number, True, rng.choice(CLOCK_STEPS))
            case Extra.UPDATES:
                steps += _draw_update(rng, number, seconds)
                continue
            case Extra.PARTS:
                fault = CrashingPart(rng.choice(PART_INTERVALS), duration)
            case Extra.CROWDS:
                fault = Crowd(number, duration)
            case Extra.ERAS:
                away, pause = rng.uniform(0.2, 1.0), rng.uniform(0.0, 2.0)
                fault = StoreReturn(1 + number % 6, away, pause)
        steps.append(Step(rng.uniform(FIRST_FAULT_DELAY, seconds / 2), fault))
    return steps


def _draw_update(rng: random.Random, number: int, seconds: float) -> list[Step]:
    """Return an update, and cuts of one or two entries that begin before it."""
    at = rng.uniform(FIRST_FAULT_DELAY, seconds - UPDATE_RANGE[1])
    span, in_place = rng.uniform(*UPDATE_RANGE), rng.random() < 0.5
    update = Update(number, rng.randint(1, 3), span, in_place)
    steps = [Step(at, update)]
    for entry in rng.sample(range(100), rng.randint(1, 2)):
        sides = rng.choice(ISOLATIONS)
        duration = update.seconds + rng.uniform(0.5, 3.0)
        begin = max(0.0, at + rng.uniform(-1.0, 0.3))
        steps.append(Step(begin, Isolation(entry, sides, duration)))
    return steps


def _draw_fault(rng: random.Random, entries: int) -> Fault:
    duration = round(rng.uniform(*FAULT_DURATION_RANGE), 2)
    draw = rng.random()
    if draw < 0.22:
        action = rng.choice(ENTRY_ACTIONS)
        return EntryFault(action, rng.randrange(entries), duration)
    if draw < 0.25:
        return EntryFault("kill", None, duration)
    if draw < 0.50:
        action = rng.choice(LINK_ACTIONS)
        link = rng.choice(["store", "caller", "target", "target"])
        return LinkFault(action, link, rng.randrange(100), duration)
    if draw < 0.58:
        return StoreFault(rng.choice(["away", "forget"]), duration)
    if draw < 0.85:
        action = rng.choice(TARGET_ACTIONS)
        return TargetFault(action, rng.randrange(100), duration)
    return ConfigurationChange(rng.choice(CONFIGURATION_ACTIONS))
