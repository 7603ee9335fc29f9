"""Time that the reducer takes per event, by number of targets and of requests."""

import random
import time
from dataclasses import dataclass

from figstep.core.clock import Millis
from figstep.core.configuration import apply_inventory
from figstep.core.effects import OpenAttempt
from figstep.core.events import (
    AttemptEnded,
    Event,
    LoadReported,
    QueueTimer,
    RequestArrived,
    TimerFired,
    TokensArrived,
)
from figstep.core.inventory import EngineInfo, Inventory, Rules
from figstep.core.reducer import reduce
from figstep.core.specs import GenerationWork, RequestSpec
from figstep.core.state import State
from figstep.experiment.scenarios import MODEL

TARGETS = (5, 50, 670)
"""Numbers of targets to measure with."""

REQUESTS = (10, 100, 1_000, 5_000)
"""Numbers of requests in flight to measure with."""

EVENTS = 4_000
"""Number of measured token events; of every other kind, a quarter as many."""

CUSTOMERS = 50
"""Number of customers that the requests are drawn from."""

EVENTS_PER_MILLI = 20
"""Number of events per millisecond of the reducer's simulated clock."""

FRAME = [b""]
"""Frames of a token event; their content does not matter here."""

NO_DEADLINE = Millis(1 << 50)
"""Deadline that no request reaches, in milliseconds on the simulated clock."""


@dataclass(frozen=True, slots=True)
class Cost:
    """Mean time that the reducer takes for each kind of event.

    All times are elapsed real time, in microseconds.

    Attributes:
        requests: Number of requests, started or queued.
        waiting: Number of these requests that wait in the queue.
        token: Time for an event with one token.
        arrival: Time for the arrival of a request, which is started or queued.
        end: Time for the end of a request and for the queue timer, which starts
            queued requests as far as there is free capacity.
        report: Time for a load report.
    """

    targets: int
    requests: int
    waiting: int
    token: float
    arrival: float
    end: float
    report: float


def measure_cost(targets: int, requests: int) -> Cost:
    """Measure the mean time per event with the given number of targets and requests."""
    meter = _CostMeter(targets)
    while len(meter.state.requests) < requests:
        meter.arrive()
    waiting = len(meter.state.queue)
    numbers = list(meter.attempts)
    tokens = 0.0
    for turn in range(EVENTS):
        number = numbers[turn % len(numbers)]
        tokens += meter.send_token(number)
    reports = 0.0
    for turn in range(EVENTS // 4):
        reports += meter.report(turn % targets)
    arrivals = ends = 0.0
    for _ in range(EVENTS // 4):
        ends += meter.end()
        arrivals += meter.arrive()
    quarter = EVENTS // 4
    return Cost(
        targets,
        requests,
        waiting,
        tokens / EVENTS * 1e6,
        arrivals / quarter * 1e6,
        ends / quarter * 1e6,
        reports / quarter * 1e6,
    )


class _CostMeter:
    def __init__(self, targets: int) -> None:
        engines = []
        for number in range(targets):
            name = f"engine-{number}"
            domain = f"domain-{number % 9}"
            engines.append(EngineInfo(name, "", domain, (MODEL,)))
        self.state = State("entry-1", rng=random.Random(1))
        rules = Rules(subset=0)
        apply_inventory(self.state, Inventory(engines=tuple(engines), rules=rules))
        self.rng = random.Random(2)
        self.events = 0
        self.arrival_count = 0
        self.attempts: dict[int, str] = {}
        self.indexes: dict[int, int] = {}

    def reduce(self, event: Event) -> float:
        self.events += 1
        now = Millis(self.events // EVENTS_PER_MILLI)
        begin = time.perf_counter()
        effects = reduce(self.state, event, now)
        elapsed = time.perf_counter() - begin
        for effect in effects:
            if isinstance(effect, OpenAttempt):
                self.attempts[effect.attempt] = effect.generation
                self.indexes[effect.attempt] = 0
        return elapsed

    def arrive(self) -> float:
        self.arrival_count += 1
        customer = f"customer-{self.rng.randrange(CUSTOMERS)}"
        work = GenerationWork(MODEL, self.rng.randint(20, 800))
        name = f"r{self.arrival_count}"
        spec = RequestSpec(name, customer, work, deadline=NO_DEADLINE)
        return self.reduce(RequestArrived(spec))

    def send_token(self, number: int) -> float:
        index = self.indexes[number] = self.indexes[number] + 1
        event = TokensArrived(number, self.attempts[number], index, FRAME)
        return self.reduce(event)

    def end(self) -> float:
        number = next(iter(self.attempts))
        self.send_token(number)
        del self.attempts[number]
        elapsed = self.reduce(AttemptEnded(number))
        return elapsed + self.reduce(TimerFired(QueueTimer()))

    def report(self, number: int) -> float:
        name = f"engine-{number}"
        running = self.state.targets[name].in_flight
        event = LoadReported(name, running=running, memory_total=16_384)
        return self.reduce(event)


def format_costs(costs: list[Cost]) -> str:
    """Return the measurements as a Markdown table."""
    lines = [
        "| targets | requests | waiting | token µs | arrival µs | end µs | report µs |",
        "|" + " --- |" * 7,
    ]
    for cost in costs:
        lines.append(
            f"| {cost.targets} | {cost.requests} | {cost.waiting} |"
            f" {cost.token:.1f} | {cost.arrival:.1f} | {cost.end:.1f} |"
            f" {cost.report:.1f} |"
        )
    return "\n".join(lines)
