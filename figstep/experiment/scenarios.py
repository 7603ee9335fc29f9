"""What an experiment plays: engines, customers, arrivals and faults."""

import math
import random
from dataclasses import dataclass, replace

from figstep.core.clock import Millis
from figstep.core.inventory import CustomerInfo, EngineInfo, Inventory, Rules
from figstep.standins.engine_model import EngineModel, EngineProfile, Sequence

MODEL = "langar-8b"
SECOND = 1_000.0
PEAK_PERIOD = 120 * SECOND
PEAK_AMPLITUDE = 0.15
PREFIXES_PER_CUSTOMER = 5
"""Templates that a customer's prompts begin with; all together don't fit."""

CALIBRATION_DURATION = 240 * SECOND
CALIBRATION_WARM_UP = 60 * SECOND
CALIBRATION_BATCHES = (4, 6, 8, 12, 16, 24, 32, 48, 64)


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request; lengths are log-normal, in tokens.

    Attributes:
        kind: Name that the reducer learns lengths by.
        median: Median length of the answer.
        sigma: Spread of its logarithm.
        longest: No answer is longer.
        prompt: Median length of the prompt without the shared prefix.
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
        name: Its name.
        profiles: Its engines.
        short: Short answers.
        long: Long answers.
        long_share: Share of long answers, on average over the customers.
        mixed: Share of requests that come under the other kind's name.
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
    """A customer and its part of the traffic.

    Attributes:
        name: Its name.
        weight: Its part of the arrivals.
        long_share: Share of long answers among its requests.
        prefixes: Lengths of the prefixes that its prompts share, by name.
    """

    name: str
    weight: float
    long_share: float
    prefixes: dict[str, int]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as it will come, with the length that only engines know."""

    at: float
    request: str
    customer: str
    kind: str
    prompt_tokens: int
    prefix: str
    prefix_tokens: int
    length: int


def build_customers(deployment: Deployment) -> list[Customer]:
    """Return ten customers, three of them large; the same in every run."""
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
    """Return one request of a customer."""
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
    """Return the arrivals of one run; their answers make up the load exactly.

    A Sunday peak: the rate swings around its mean. Heavy tails would make the
    load of a short run a matter of luck, so requests are drawn until their
    answers sum up, and their times are then stretched to the duration.

    Args:
        deployment: Whose workload.
        seed: Same seed, load and duration give the same arrivals.
        load: Tokens per millisecond that are asked for.
        duration: How long they come, in milliseconds.
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
    """Return when ``part`` of the arrivals has come, under the swing."""
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
    """Return the requests of one small customer that floods."""
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
    """Return the inventory that the reducer is given."""
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
    """Return the tokens per millisecond that the engines can carry.

    Each engine is kept at a fixed number of sequences, a new one of the
    workload for each that ends; the number with the most tokens counts.
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
    """Return a request as an engine runs it."""
    return Sequence(
        name,
        arrival.length,
        prompt_tokens=arrival.prompt_tokens,
        priority=priority,
        prefix=arrival.prefix,
        prefix_tokens=arrival.prefix_tokens,
        produced=produced,
    )
