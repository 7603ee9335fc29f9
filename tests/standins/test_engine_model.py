"""Tests of the engine model: memory, preemption, prefixes and delayed reports."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from figstep.standins.engine_model import (
    EngineModel,
    EngineProfile,
    Sequence,
    Token,
)


def collect(engine: EngineModel, until: float) -> dict[str, list[Token]]:
    tokens: dict[str, list[Token]] = {}
    for token in engine.advance(until):
        tokens.setdefault(token.name, []).append(token)
    return tokens


def test_memory_filling_mid_decode_preempts_the_lowest_then_the_latest() -> None:
    """Three sequences fit at first and later exceed the memory together.

    The engine preempts the sequence of lowest priority and then the latest one.
    Their streams stall, and their indexes continue where they stopped.
    """
    engine = EngineModel(EngineProfile(memory_tokens=120))
    engine.start(Sequence("low", 50, prompt_tokens=10, priority=-1), 0)
    engine.start(Sequence("first", 50, prompt_tokens=10), 0)
    engine.start(Sequence("last", 50, prompt_tokens=10), 0)
    tokens = collect(engine, 60_000)
    counts = {name: s.preemptions for name, s in engine.sequences.items()}
    assert counts["low"] >= 1
    assert counts["first"] == 0
    for name in ("low", "first", "last"):
        assert [t.index for t in tokens[name]] == list(range(1, 51))
    ends = {name: tokens[name][-1].at for name in tokens}
    assert ends["first"] < ends["low"]


def test_batch_memory_and_speed_set_the_step() -> None:
    def measure_end(speed: float, others: int) -> float:
        engine = EngineModel(EngineProfile(speed=speed))
        for number in range(others + 1):
            engine.start(Sequence(str(number), 100, prompt_tokens=200), 0)
        return collect(engine, 60_000)["0"][-1].at

    assert measure_end(1, 20) > 1.3 * measure_end(1, 0)
    assert measure_end(1, 5) == 4 * measure_end(4, 5)


def test_cached_prefix_saves_prefill_until_it_is_evicted() -> None:
    engine = EngineModel(EngineProfile(prefix_memory=500, cache_loss=0.0))
    for number, prefix in enumerate(("a", "a", "b", "a")):
        name = str(number)
        engine.start(Sequence(name, 1, "stop", 400, 0, prefix, 300), 1_000 * number)
    engine.advance(10_000)
    assert engine.prefix_hits == 1
    assert engine.prefilled == 400 + 100 + 400 + 400
    kinds = [(e.kind, e.prefix) for e in engine.read_cache_events(20_000)]
    assert kinds == [
        ("stored", "a"),
        ("evicted", "a"),
        ("stored", "b"),
        ("evicted", "b"),
        ("stored", "a"),
    ]
    assert engine.read_cache_events(1_500) == []


def test_load_report_is_delayed() -> None:
    engine = EngineModel(EngineProfile(report_lag=1_000))
    engine.read_load(0)
    engine.start(Sequence("a", 1_000), 500)
    assert engine.read_load(600).running == 0
    assert engine.read_load(2_500).running == 1


def test_crash_loses_all_and_continuation_keeps_indexes() -> None:
    engine = EngineModel()
    engine.start(Sequence("a", 10, prompt_tokens=5), 0)
    engine.advance(80)
    engine.crash(100)
    assert engine.advance(60_000) == []
    assert engine.incarnation == 2
    engine.start(Sequence("b", 10, prompt_tokens=5, produced=4), 60_000)
    assert [t.index for t in engine.advance(90_000)] == [5, 6, 7, 8, 9, 10]


def test_thawed_engine_does_not_catch_up() -> None:
    engine = EngineModel()
    engine.start(Sequence("a", 10), 0)
    engine.freeze(50)
    engine.advance(60_000)
    engine.thaw(60_000)
    assert all(token.at >= 60_000 for token in engine.advance(90_000))


@given(st.integers(0, 2**32))
@settings(max_examples=50, derandomize=True, deadline=None)
def test_every_sequence_is_completed_and_memory_is_freed(seed: int) -> None:
    rng = random.Random(seed)
    engine = EngineModel(EngineProfile(memory_tokens=600, max_running=8))
    lengths = {}
    tokens: dict[str, list[int]] = {}
    now = 0.0
    for number in range(20):
        now += rng.random() * 400
        name = str(number)
        lengths[name] = rng.randint(1, 150)
        priority = rng.randint(-1, 1)
        engine.start(Sequence(name, lengths[name], "stop", 50, priority), now)
        if rng.random() < 0.1 and engine.cancel(name, now):
            del lengths[name]
        for token in engine.advance(now):
            tokens.setdefault(token.name, []).append(token.index)
    for token in engine.advance(now + 600_000):
        tokens.setdefault(token.name, []).append(token.index)
    for name, length in lengths.items():
        assert tokens[name] == list(range(1, length + 1))
    report = engine.read_load(now + 700_000)
    assert (report.running, report.waiting, report.memory_used) == (0, 0, 0)
