"""Model of one engine: batching, memory and preemption, without a clock of its own.

The caller passes the time to every method. The model assumes the following;
every quantity is a field of ``EngineProfile``:

- Decoding is batched and continuous: sequences join and leave between steps;
  a step gives each decoding sequence one token.
- A step takes a fixed time, plus time per sequence, per 1,000 tokens of cache
  memory read and per token prefilled, all divided by the engine's speed.
- Prefill is chunked: a step prefills at most ``prefill_chunk`` tokens.
- A sequence holds cache memory for its prompt and all produced tokens. It is
  admitted when its current need fits and a small watermark stays free, or when no
  other sequence runs; the engine does not know the sequence's later need.
- If the next token of every sequence does not fit, the sequence of lowest
  priority, and among equals the latest, is preempted, unless it is the only one:
  its memory is freed, and prompt and produced tokens are prefilled again before
  the sequence continues.
- Cached prefixes are kept in a separate region with least-recently-used
  eviction; a hit saves prefill of the shared part, not memory.
- A load report shows the engine as it was ``report_lag`` ago. Cache events are
  published ``cache_lag`` late. Some are lost, which leaves gaps in their sequence
  numbers, and only the last 1,000 are kept.
- A generation can be resumed for ``retention`` after its end.
"""

import math
import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Sizes and costs of an engine; all times are in milliseconds.

    Attributes:
        speed: Factor by which the duration of a step is divided.
        memory_tokens: Cache memory, in tokens.
        max_running: Maximum number of sequences in the batch.
        step: Fixed time of a step, at speed 1.
        per_sequence: Time per decoding sequence in a step, at speed 1.
        per_thousand: Time per 1,000 tokens of cache memory in use in a step, at
            speed 1.
        per_prefill: Time per token prefilled, at speed 1.
        prefill_chunk: Maximum number of tokens prefilled in a step.
        watermark: Fraction of the memory that stays free when a sequence is
            admitted, from 0 to 1.
        prefix_memory: Size of the region of cached prefixes, in tokens.
        report_lag: Age of a load report.
        cache_lag: Age at which a cache event is published.
        cache_loss: Fraction of cache events that are lost, from 0 to 1.
        retention: Time for which an ended generation can be resumed.
    """

    speed: float = 1.0
    memory_tokens: int = 16_384
    max_running: int = 32
    step: float = 20.0
    per_sequence: float = 0.6
    per_thousand: float = 0.8
    per_prefill: float = 0.08
    prefill_chunk: int = 512
    watermark: float = 0.01
    prefix_memory: int = 4_096
    report_lag: float = 1_000.0
    cache_lag: float = 2_000.0
    cache_loss: float = 0.1
    retention: float = 60_000.0


@dataclass(slots=True)
class Sequence:
    """A generation on the engine.

    Attributes:
        name: Generation id.
        length: Number of tokens after which the generation ends, including those
            of ``produced`` at its start; only the engine knows this number.
        finish: Finish reason, "stop" or "length".
        priority: Sequences of higher priority are preempted later.
        prefix: Digest of the shared prefix of the prompt, or "".
        produced: Number of tokens so far, including those that the generation
            continues from.
        to_prefill: Tokens to prefill before the next token is decoded.
        held: Cache memory held, in tokens.
        order: Position in the order of arrival.
        ended: Time of the end in milliseconds, or None before the end.
    """

    name: str
    length: int
    finish: str = "stop"
    prompt_tokens: int = 1
    priority: int = 0
    prefix: str = ""
    prefix_tokens: int = 0
    produced: int = 0
    to_prefill: int = 0
    held: int = 0
    order: int = 0
    preemptions: int = 0
    ended: float | None = None


@dataclass(frozen=True, slots=True)
class Token:
    """A token that was decoded.

    Attributes:
        name: Generation id.
        index: Index of the token in the generation, from 1.
        at: Time at which the token was decoded, in milliseconds.
        finish: Finish reason on the last token, None on all others.
    """

    name: str
    index: int
    at: float
    finish: str | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of the engine at the time ``at``, in milliseconds.

    ``running`` and ``waiting`` count sequences; memory is counted in tokens.
    """

    at: float
    running: int
    waiting: int
    memory_used: int
    memory_total: int


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the prefix cache.

    Attributes:
        number: Sequence number of the event, from 1.
        at: Time of the change, in milliseconds.
        kind: "stored" if the prefix entered the cache, "evicted" if it left.
        prefix: Digest of the prefix.
    """

    number: int
    at: float
    kind: str
    prefix: str


@dataclass(slots=True)
class LengthDistribution:
    """Seeded heavy-tailed distribution: many short answers, few very long ones.

    Attributes:
        median: Median of a log-normal distribution, in tokens.
        sigma: Standard deviation of the logarithm; 1.2 gives a 99th percentile of
            16 times the median.
        longest: Maximum length, in tokens.
    """

    rng: random.Random
    median: float = 80.0
    sigma: float = 1.2
    longest: int = 20_000

    def draw(self) -> int:
        """Return the length of one answer, in tokens."""
        drawn = self.rng.lognormvariate(math.log(self.median), self.sigma)
        return max(1, min(self.longest, round(drawn)))


@dataclass(slots=True)
class EngineModel:
    """One engine; times are in milliseconds on the caller's clock.

    Attributes:
        rng: Source of randomness, used only for lost cache events.
        incarnation: Number that increases with each crash.
        slow: Factor on the duration of every step, to simulate a degraded engine.
        frozen: Whether the engine makes no progress; see ``freeze`` and ``thaw``.
        produced: Number of tokens decoded; tokens that are prefilled again do not
            count.
        prefilled: Number of tokens prefilled, including those prefilled again.
        prefix_hits: Number of admissions whose prefix was cached.
        sequences: Generations by id. An ended one is removed when a generation ends
            at least ``retention`` later.
    """

    profile: EngineProfile = field(default_factory=EngineProfile)
    rng: random.Random = field(default_factory=lambda: random.Random(0))
    incarnation: int = 1
    slow: float = 1.0
    frozen: bool = False
    preemptions: int = 0
    produced: int = 0
    prefilled: int = 0
    prefix_hits: int = 0
    sequences: dict[str, Sequence] = field(default_factory=dict)
    _running: list[Sequence] = field(default_factory=list)
    _waiting: list[Sequence] = field(default_factory=list)
    _ended: deque[Sequence] = field(default_factory=deque)
    _used: int = 0
    _time: float = 0.0
    _step_end: float | None = None
    _order: int = 0
    _pending_tokens: list[Token] = field(default_factory=list)
    _reports: deque[LoadReport] = field(default_factory=deque)
    _prefixes: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _prefix_used: int = 0
    _cache_events: deque[CacheEvent] = field(default_factory=deque)
    _event_number: int = 0

    def start(self, sequence: Sequence, now: float) -> None:
        """Queue a sequence; a known generation id is ignored.

        A sequence with ``produced`` above 0 continues after that index.
        """
        self._run(now)
        if sequence.name in self.sequences:
            return
        self._order += 1
        sequence.order = self._order
        self.sequences[sequence.name] = sequence
        self._wait(sequence)
        self._run(now)

    def cancel(self, name: str, now: float) -> bool:
        """End a generation early.

        Returns:
            False if the generation is unknown or had already ended.
        """
        self._run(now)
        sequence = self.sequences.get(name)
        if sequence is None or sequence.ended is not None:
            return False
        if sequence in self._waiting:
            self._waiting.remove(sequence)
        if sequence in self._running:
            self._running.remove(sequence)
        self._end(sequence, now)
        return True

    def crash(self, now: float) -> None:
        """Lose every generation and all memory; start a new incarnation."""
        self._run(now)
        self.sequences.clear()
        self._running.clear()
        self._waiting.clear()
        self._ended.clear()
        self._prefixes.clear()
        self._reports.clear()
        self._pending_tokens.clear()
        self._used = self._prefix_used = 0
        self._step_end = None
        self._time = now
        self.incarnation += 1

    def freeze(self, now: float) -> None:
        """Stop all progress until ``thaw``; connections stay open."""
        self._run(now)
        self.frozen = True

    def thaw(self, now: float) -> None:
        """Continue from ``now``; steps missed since ``freeze`` are not made up."""
        self.frozen = False
        self._time = now
        if self._step_end is not None:
            self._step_end = now

    def advance(self, now: float) -> list[Token]:
        """Run until ``now`` and return the tokens since the last call, in order."""
        self._run(now)
        out, self._pending_tokens = self._pending_tokens, []
        return out

    def skip_until(self, earliest: float) -> None:
        """Leave out the time before ``earliest`` that the current step is behind by."""
        if self._step_end is not None and not self.frozen:
            self._step_end = max(self._step_end, earliest)

    def next_step(self) -> float | None:
        """Return the end time of the current step, or None while idle or frozen."""
        return None if self.frozen else self._step_end

    def read_load(self, now: float) -> LoadReport:
        """Return the load as of ``report_lag`` ago, or the oldest recorded load."""
        self._run(now)
        self._record_load(now)
        while len(self._reports) > 1:
            if self._reports[1].at > now - self.profile.report_lag:
                break
            self._reports.popleft()
        return self._reports[0]

    def read_cache_events(self, now: float, after: int = 0) -> list[CacheEvent]:
        """Return published cache events with a sequence number above ``after``."""
        published = now - self.profile.cache_lag
        return [e for e in self._cache_events if e.at <= published and e.number > after]

    def _run(self, now: float) -> None:
        while not self.frozen:
            if self._step_end is None and not self._begin_step(now):
                return
            assert self._step_end is not None
            if self._step_end > now:
                return
            self._finish_step()

    def _begin_step(self, now: float) -> bool:
        if not self._running and not self._waiting:
            self._time = max(self._time, now)
            return False
        self._preempt_until_fits()
        self._admit()
        if not self._running:
            self._time = max(self._time, now)
            return False
        budget = self.profile.prefill_chunk
        decoding = prefilled = 0
        for sequence in self._running:
            if sequence.to_prefill == 0:
                decoding += 1
                continue
            part = min(budget, sequence.to_prefill)
            sequence.to_prefill -= part
            budget -= part
            prefilled += part
        self.prefilled += prefilled
        profile = self.profile
        duration = (
            profile.step
            + profile.per_sequence * decoding
            + profile.per_thousand * self._used / 1_000
            + profile.per_prefill * prefilled
        )
        self._step_end = self._time + duration * self.slow / profile.speed
        return True

    def _finish_step(self) -> None:
        assert self._step_end is not None
        now = self._time = self._step_end
        self._step_end = None
        still_running: list[Sequence] = []
        for sequence in self._running:
            if sequence.to_prefill > 0:
                still_running.append(sequence)
                continue
            sequence.produced += 1
            sequence.held += 1
            self._used += 1
            self.produced += 1
            last = sequence.produced >= sequence.length
            finish = sequence.finish if last else None
            self._pending_tokens.append(
                Token(sequence.name, sequence.produced, now, finish)
            )
            if last:
                self._end(sequence, now)
                continue
            still_running.append(sequence)
        self._running = still_running
        self._record_load(now)

    def _preempt_until_fits(self) -> None:
        while self._used + len(self._running) > self.profile.memory_tokens:
            if len(self._running) <= 1:
                return
            victim = min(self._running, key=lambda s: (s.priority, -s.order))
            self._running.remove(victim)
            self._used -= victim.held
            victim.held = 0
            victim.preemptions += 1
            self.preemptions += 1
            self._wait(victim)

    def _wait(self, sequence: Sequence) -> None:
        self._waiting.append(sequence)
        self._waiting.sort(key=lambda s: (-s.priority, s.order))

    def _admit(self) -> None:
        free = self.profile.memory_tokens * (1 - self.profile.watermark)
        while self._waiting and len(self._running) < self.profile.max_running:
            sequence = self._waiting[0]
            needed = sequence.prompt_tokens + sequence.produced
            free_tokens = free - self._used - len(self._running)
            if needed + 1 > free_tokens and self._running:
                return
            self._waiting.pop(0)
            sequence.held = needed
            sequence.to_prefill = max(1, needed - self._find_prefix(sequence))
            self._used += needed
            self._running.append(sequence)

    def _end(self, sequence: Sequence, now: float) -> None:
        self._used -= sequence.held
        sequence.held = 0
        sequence.ended = now
        self._ended.append(sequence)
        while self._ended:
            oldest = self._ended[0]
            if oldest.ended is None or oldest.ended > now - self.profile.retention:
                return
            self._ended.popleft()
            self.sequences.pop(oldest.name, None)

    def _find_prefix(self, sequence: Sequence) -> int:
        prefix, size = sequence.prefix, sequence.prefix_tokens
        if not prefix or size > self.profile.prefix_memory:
            return 0
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            self.prefix_hits += 1
            return min(size, self._prefixes[prefix])
        while self._prefix_used + size > self.profile.prefix_memory:
            evicted, freed = self._prefixes.popitem(last=False)
            self._prefix_used -= freed
            self._publish("evicted", evicted)
        self._prefixes[prefix] = size
        self._prefix_used += size
        self._publish("stored", prefix)
        return 0

    def _publish(self, kind: str, prefix: str) -> None:
        self._event_number += 1
        if self.rng.random() < self.profile.cache_loss:
            return
        event = CacheEvent(self._event_number, self._time, kind, prefix)
        self._cache_events.append(event)
        if len(self._cache_events) > 1_000:
            self._cache_events.popleft()

    def _record_load(self, now: float) -> None:
        report = LoadReport(
            now,
            len(self._running),
            len(self._waiting),
            self._used,
            self.profile.memory_tokens,
        )
        self._reports.append(report)
        oldest = now - 2 * self.profile.report_lag
        while len(self._reports) > 1 and self._reports[1].at < oldest:
            self._reports.popleft()
