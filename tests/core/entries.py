"""Test harness of the core: one entry's state; events go in, effects come out."""

import random
from dataclasses import replace
from typing import TypeVar

from figstep.core.claims import ClaimTable
from figstep.core.clock import Millis
from figstep.core.configuration import apply_inventory
from figstep.core.effects import AppendRecords, Effect, OpenAttempt
from figstep.core.events import (
    Event,
    RecordsRead,
    RequestArrived,
    StreamCaughtUp,
    StreamRestarted,
    TokensArrived,
)
from figstep.core.inventory import (
    EngineInfo,
    Inventory,
    NonIdempotentRule,
    Rules,
    ServiceInfo,
)
from figstep.core.records import CLAIMS, LogRecord
from figstep.core.reducer import reduce
from figstep.core.specs import GenerationWork, RequestSpec, ServiceWork
from figstep.core.state import State

EffectType = TypeVar("EffectType", bound=Effect)


def make_inventory(engines: int = 2, window: Millis | None = None) -> Inventory:
    """Return engines e1, e2, ... and services s1 and s2 with a rule for orders.

    Args:
        engines: Number of engines.
        window: Milliseconds for which equal bodies are one order, None for no such
            window.
    """
    names = [f"e{number}" for number in range(1, engines + 1)]
    rule = NonIdempotentRule("shop", path="/orders", digest_window=window)
    return Inventory(
        engines=tuple(EngineInfo(n, "http://x", "muc-a", ("m",)) for n in names),
        services=tuple(
            ServiceInfo(n, "shop", "http://x", "muc-a") for n in ("s1", "s2")
        ),
        rules=Rules(non_idempotent=(rule,)),
    )


class Entry:
    """State of one entry, its current time and the effects of the last event."""

    def __init__(
        self, node: str = "n1", seed: int = 1, inventory: Inventory | None = None
    ) -> None:
        self.state = State(node, "muc-a", random.Random(seed))
        self.now = Millis(1_000_000)
        self.effects: list[Effect] = []
        apply_inventory(self.state, inventory or make_inventory())

    @property
    def claims(self) -> ClaimTable:
        """The entry's table of claims."""
        return self.state.claims

    def feed(self, event: Event, after: int = 0) -> list[Effect]:
        """Reduce an event ``after`` milliseconds later and return its effects."""
        self.now = Millis(self.now + after)
        self.effects = reduce(self.state, event, self.now)
        return self.effects

    def catch_up(self) -> None:
        """Report that the claims stream was read to its end."""
        self.feed(StreamCaughtUp(CLAIMS))

    def start(self, request: str = "r1", digest: str = "d", stream: bool = True) -> int:
        """Start a generation and return the number of its attempt."""
        spec = RequestSpec(
            request, "demo", GenerationWork("m"), stream=stream, digest=digest
        )
        self.feed(RequestArrived(spec))
        return self.find_effect(OpenAttempt).attempt

    def order(self, request: str, key: str | None = "k", digest: str = "d") -> None:
        """Send a non-idempotent order."""
        work = ServiceWork("shop", "POST", "/orders")
        spec = RequestSpec(
            request, "demo", work, stream=False, idempotency_key=key, digest=digest
        )
        self.feed(RequestArrived(spec))

    def deliver(self, attempt: int, first: int, count: int = 1) -> list[Effect]:
        """Deliver ``count`` tokens of an attempt's own generation."""
        generation = self.state.attempts[attempt].generation
        frames = [b"%d" % index for index in range(first, first + count)]
        return self.feed(TokensArrived(attempt, generation, first, frames))

    def find_effects(self, kind: type[EffectType]) -> list[EffectType]:
        """Return the effects of a type among those of the last event."""
        return [effect for effect in self.effects if isinstance(effect, kind)]

    def find_effect(self, kind: type[EffectType]) -> EffectType:
        """Return the only effect of a type among those of the last event."""
        found = self.find_effects(kind)
        assert len(found) == 1, self.effects
        return found[0]

    def find_attempt(self, request: str) -> int:
        """Return the number of a request's open attempt."""
        attempt = self.state.requests[request].attempt
        assert attempt is not None
        return attempt


class Log:
    """The claims stream as a list, which entries read on request."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []
        self.time = 1_000_000
        self.era = 0

    def append_from(self, entry: Entry) -> None:
        """Append the records of an entry's last effects."""
        for effect in entry.find_effects(AppendRecords):
            for data in effect.records:
                self.add(data)

    def add(self, data: dict[str, object]) -> None:
        """Append one record."""
        self.records.append(LogRecord(len(self.records), self.time, data, self.era))

    def revert(self, lost: int, *entries: Entry) -> None:
        """Lose the newest records, and let entries read of it."""
        self.era += 1
        self.time += 1
        kept = self.records[: len(self.records) - lost]
        self.records = [replace(record, era=self.era) for record in kept]
        for entry in entries:
            self.restart(entry)

    def restart(self, entry: Entry) -> None:
        """Let an entry read of the era, and append what it restores at once."""
        entry.feed(StreamRestarted(CLAIMS, self.era))
        self.append_from(entry)

    def deliver_to(self, entry: Entry, start: int = 0) -> None:
        """Let an entry read the log from index ``start`` on."""
        entry.feed(RecordsRead(CLAIMS, tuple(self.records[start:])))

    def read_to_end(self, entry: Entry) -> None:
        """Let an entry read the whole log and reach its end."""
        if entry.claims.era != self.era:
            self.restart(entry)
        self.deliver_to(entry)
        entry.catch_up()


def build_ready_entry(node: str = "n1", seed: int = 1) -> Entry:
    """Return an entry that has read the claims stream to its end."""
    entry = Entry(node, seed)
    entry.catch_up()
    return entry
