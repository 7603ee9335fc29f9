"""Scenarios of an experiment: engines, customers and arrivals."""

import math
import random
from dataclasses import dataclass, replace

from figstep.core.clock import Millis
from figstep.core.inventory import CustomerInfo, EngineInfo, Inventory, Rules
from figstep.standins.engine_model import EngineModel, EngineProfile, Sequence

MODEL = "langar-8b"
"""Name of the model that all engines serve and all requests name."""

SECOND = 1_000.0
"""Milliseconds in a second."""

PEAK_PERIOD = 120 * SECOND
"""Period of the sine in the arrival rate, in milliseconds."""

PEAK_AMPLITUDE = 0.15
"""Amplitude of the sine in the arrival rate, as a fraction of the mean rate."""

PREFIXES_PER_CUSTOMER = 5
"""Number of templates that the prompts of a customer begin with.

The templates of all customers do not fit into an engine's prefix cache together.
"""

CALIBRATION_DURATION = 240 * SECOND
"""Length of a simulation that measures an engine's capacity, in milliseconds."""

CALIBRATION_WARM_UP = 60 * SECOND
"""Time at the start of a capacity measurement that does not count, in milliseconds."""

CALIBRATION_BATCHES = (4, 6, 8, 12, 16, 24, 32, 48, 64)
"""Numbers of concurrent sequences at which an engine's capacity is measured."""


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request; lengths are log-normal, in tokens.

    Attributes:
        kind: Name under which the reducer records lengths.
        median: Median length of the answer.
        sigma: Standard deviation of the logarithm of the length.
        longest: Maximum length of an answer.
        prompt: Median length of the prompt without the shared prefix; its logarithm
            has a standard deviation of 0.6.
    """

    kind: str
    median: float
    sigma: float
    longest: int
    prompt: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Engines and workload of one association.

    Attributes:
        long_share: Expected fraction of long answers of a customer, from 0 to 1. The
            fraction of each customer is 0.4 to 1.6 times as large.
        mixed: Fraction of requests that declare the other kind, from 0 to 1.
    """

    name: str
    profiles: tuple[EngineProfile, ...]
    short: RequestKind
    long: RequestKind
    long_share: float
    mixed: float = 0.1


def _build_profile(speed: float, memory: int, running: int) -> EngineProfile:
    return EngineProfile(speed=speed, memory_tokens=memory, max_running=running)


DEPLOYMENTS = {
    "bavaria": Deployment(
        "bavaria",
        (
            _build_profile(1.0, 16_384, 32),
            _build_profile(1.0, 12_288, 32),
            _build_profile(2.0, 24_576, 48),
            _build_profile(3.0, 32_768, 48),
            _build_profile(4.0, 40_960, 64),
        ),
        RequestKind("chat", 30, 0.7, 400, 60),
        RequestKind("completion", 700, 0.9, 8_000, 250),
        long_share=0.3,
    ),
    "ireland": Deployment(
        "ireland",
        (
            _build_profile(1.0, 12_288, 32),
            _build_profile(1.5, 16_384, 32),
            _build_profile(2.0, 16_384, 48),
            _build_profile(2.5, 24_576, 48),
            _build_profile(4.0, 32_768, 64),
        ),
        RequestKind("chat", 40, 0.6, 300, 40),
        RequestKind("completion", 900, 0.6, 4_000, 400),
        long_share=0.2,
    ),
}


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer and its workload.

    Attributes:
        weight: Relative weight of the customer among the arrivals.
        long_share: Fraction of long answers among the customer's requests.
        prefixes: Length of each prefix that the customer's prompts share, in tokens,
            by name.
    """

    name: str
    weight: float
    long_share: float
    prefixes: dict[str, int]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request of the workload.

    Attributes:
        at: Time of the first submission, in milliseconds of simulated time.
        request: Request id.
        kind: Name of the kind that the request declares.
        prompt_tokens: Length of the prompt with its prefix, in tokens.
        prefix: Name of the shared prefix of the prompt.
        length: Length of the answer, in tokens; only the engines know it.
    """

    at: float
    request: str
    customer: str
    kind: str
    prompt_tokens: int
    prefix: str
    prefix_tokens: int
    length: int


def build_customers(deployment: Deployment) -> list[Customer]:
    """Return the ten customers of a deployment, three of them large.

    They are the same in every run.
    """
    rng = random.Random(deployment.name)
    customers = []
    for number in range(10):
        weight = 5.0 if number < 3 else 1.0
        share = deployment.long_share * rng.uniform(0.4, 1.6)
        name = f"customer-{number}"
        prefixes = {
            f"{name}/{n}": rng.randint(60, 600) for n in range(PREFIXES_PER_CUSTOMER)
        }
        customers.append(Customer(name, weight, share, prefixes))
    return customers


def draw_arrival(
    rng: random.Random, deployment: Deployment, customer: Customer, at: float, name: str
) -> Arrival:
    """Draw one request of a customer.

    ``at`` is the time of the first submission, in milliseconds, and ``name`` is the
    request id.
    """
    long = rng.random() < customer.long_share
    actual = deployment.long if long else deployment.short
    other = deployment.short if long else deployment.long
    declared = other if rng.random() < deployment.mixed else actual
    length = min(
        actual.longest, round(rng.lognormvariate(math.log(actual.median), actual.sigma))
    )
    prefix, prefix_tokens = rng.choice(list(customer.prefixes.items()))
    unshared_tokens = round(rng.lognormvariate(math.log(actual.prompt), 0.6))
    return Arrival(
        at,
        name,
        customer.name,
        declared.kind,
        prefix_tokens + max(1, unshared_tokens),
        prefix,
        prefix_tokens,
        max(1, length),
    )


def draw_arrivals(
    deployment: Deployment, seed: int, load: float, duration: float
) -> list[Arrival]:
    """Return the arrivals of one run, in order of arrival.

    The arrival rate oscillates around its mean, as in a Sunday peak. With
    heavy-tailed lengths the load of a short run would depend on chance, so
    requests are drawn until the sum of their answers' lengths reaches ``load`` times
    ``duration``, and their times are then scaled to the duration.

    The same seed, load and duration give the same arrivals. ``load`` is the number of
    requested tokens per millisecond; ``duration`` is in milliseconds.
    """
    rng = random.Random(f"{deployment.name}/{seed}")
    customers = build_customers(deployment)
    weights = [customer.weight for customer in customers]
    drawn: list[Arrival] = []
    times: list[float] = []
    at, tokens = 0.0, 0
    while tokens < load * duration:
        at += rng.expovariate(1.0)
        customer = rng.choices(customers, weights)[0]
        arrival = draw_arrival(rng, deployment, customer, 0.0, f"r{len(drawn)}")
        drawn.append(arrival)
        times.append(at)
        tokens += arrival.length
    placed = []
    for arrival, time in zip(drawn, times, strict=True):
        placed.append(replace(arrival, at=_find_arrival_time(time / at, duration)))
    return placed


def _find_arrival_time(part: float, duration: float) -> float:
    """Return the time by which the fraction ``part`` of the requests has arrived.

    The result is in milliseconds. As the rate oscillates, it is found by bisection.
    """
    low, high = 0.0, duration
    for _ in range(40):
        middle = (low + high) / 2
        angle = 2 * math.pi * middle / PEAK_PERIOD
        swing = PEAK_AMPLITUDE * PEAK_PERIOD / (2 * math.pi) * (1 - math.cos(angle))
        if middle + swing < part * duration:
            low = middle
        else:
            high = middle
    return low


def draw_flood(
    deployment: Deployment, seed: int, load: float, start: float, end: float
) -> list[Arrival]:
    """Return the additional requests of one small customer, in order of arrival.

    The lengths of the answers add up to at least ``load`` tokens per millisecond of the
    flood, which lasts from ``start`` to ``end``, both in milliseconds.
    """
    rng = random.Random(f"flood/{deployment.name}/{seed}")
    customer = build_customers(deployment)[9]
    arrivals: list[Arrival] = []
    tokens = 0
    while tokens < load * (end - start):
        at = rng.uniform(start, end)
        name = f"f{len(arrivals)}"
        arrivals.append(draw_arrival(rng, deployment, customer, at, name))
        tokens += arrivals[-1].length
    return sorted(arrivals, key=lambda arrival: arrival.at)


def build_inventory(
    deployment: Deployment, routing: str, deadline: int, copies: int = 1
) -> Inventory:
    """Return the inventory that is applied to the reducer's state.

    ``routing`` names the routing policy; ``deadline`` is in milliseconds. The engines
    of the deployment are listed ``copies`` times; the names of the copies continue the
    numbering.
    """
    engines = []
    for copy in range(copies):
        for number, profile in enumerate(deployment.profiles, 1):
            info = EngineInfo(
                name=f"engine-{copy * len(deployment.profiles) + number}",
                address="",
                failure_domain=f"domain-{number % 3}",
                models=(MODEL,),
                speed=profile.speed,
                memory_tokens=profile.memory_tokens,
                max_running=profile.max_running,
            )
            engines.append(info)
    customers = []
    for customer in build_customers(deployment):
        customers.append(CustomerInfo(customer.name, "", share=customer.weight))
    rules = Rules(routing=routing, deadline=Millis(deadline))
    return Inventory(engines=tuple(engines), customers=tuple(customers), rules=rules)


def measure_capacity(deployment: Deployment) -> float:
    """Return the capacity of the engines, in tokens per millisecond.

    Each engine is simulated with each number of sequences in
    ``CALIBRATION_BATCHES``: whenever a sequence ends, a new one from the workload
    starts. The highest token rate is the capacity of the engine.
    """
    tokens = 0.0
    for profile in deployment.profiles:
        rates = [
            _measure_engine(deployment, profile, size) for size in CALIBRATION_BATCHES
        ]
        tokens += max(rates)
    return tokens


def _measure_engine(deployment: Deployment, profile: EngineProfile, size: int) -> float:
    rng = random.Random(f"engine/{deployment.name}/{size}")
    customers = build_customers(deployment)
    weights = [customer.weight for customer in customers]
    engine = EngineModel(profile)
    started = 0

    def start(now: float) -> None:
        nonlocal started
        customer = rng.choices(customers, weights)[0]
        started += 1
        arrival = draw_arrival(rng, deployment, customer, now, str(started))
        engine.start(build_sequence(arrival, arrival.request, 0), now)

    for _ in range(size):
        start(0.0)
    now = 0.0
    produced = 0
    while now < CALIBRATION_DURATION:
        now = engine.next_step() or now + 1
        for token in engine.advance(now):
            if now > CALIBRATION_WARM_UP:
                produced += 1
            if token.finish:
                start(now)
    return produced / (CALIBRATION_DURATION - CALIBRATION_WARM_UP)


def build_sequence(
    arrival: Arrival, name: str, priority: int, produced: int = 0
) -> Sequence:
    """Return the sequence by which an engine runs a request.

    ``name`` is the generation id. Sequences of higher priority are preempted later. The
    sequence continues after ``produced`` tokens, which were produced elsewhere.
    """
    return Sequence(
        name,
        arrival.length,
        prompt_tokens=arrival.prompt_tokens,
        priority=priority,
        prefix=arrival.prefix,
        prefix_tokens=arrival.prefix_tokens,
        produced=produced,
    )
