"""Histories that the checker must accept, and such that it must refuse."""

import pytest

from figstep.checker import (
    CallerHistory,
    ExecutedCall,
    ExecutedGeneration,
    FalselyNotRun,
    History,
    Misdelivered,
    Mixed,
    Outcome,
    OutOfOrder,
    RanAgain,
    ReceivedEvent,
    Repeated,
    Truncated,
    Unanswered,
    Violation,
    check_history,
)
from figstep.core.problems import Ran

WHOLE = Outcome(200, ended=True)
BROKEN = Outcome(200)
NOT_RUN = Outcome(503, problem="overload", ran=Ran.NO)


def see(
    indexes: str, generation: str = "g", last: str = "stop", text: str = "menu "
) -> list[ReceivedEvent]:
    events = [ReceivedEvent(generation, int(index), text) for index in indexes]
    if last:
        events[-1] = ReceivedEvent(generation, int(indexes[-1]), text, last)
    return events


def call(
    events: list[ReceivedEvent], *outcomes: Outcome, tag: str = "menu", **kwargs: object
) -> CallerHistory:
    return CallerHistory(tag, events=events, outcomes=list(outcomes), **kwargs)


RAN = [ExecutedGeneration("engine-1", "g", "menu")]

ACCEPTED = {
    "whole": call(see("123"), WHOLE),
    "finished for length": call(see("123", last="length"), WHOLE),
    "returned": call(see("123"), BROKEN, WHOLE),
    "left on its own": call(see("12", last=""), BROKEN, abandoned=True),
    "typed end after some": call(
        see("12", last=""), Outcome(200, problem="lost", ran=Ran.YES)
    ),
    "refused, and ran": call([], Outcome(503, problem="lost", ran=Ran.UNKNOWN)),
    "not a stream": call([], WHOLE, stream=False, text="for menu"),
}

REFUSED = {
    "gap": (call(see("124"), WHOLE), [OutOfOrder("menu", 3, 4)]),
    "late start": (call(see("23"), WHOLE), [OutOfOrder("menu", 1, 2)]),
    "swapped": (
        call(see("132"), WHOLE),
        [OutOfOrder("menu", 2, 3), OutOfOrder("menu", 4, 2)],
    ),
    "repeated on return": (call(see("1223"), BROKEN, WHOLE), [Repeated("menu", 2)]),
    "stitched": (
        call(see("12", last="") + see("3", "h"), WHOLE),
        [Mixed("menu", ("g", "h")), Misdelivered("menu", "")],
    ),
    "no end": (call(see("12", last=""), BROKEN), [Unanswered("menu")]),
    "no answer": (call([]), [Unanswered("menu")]),
    "end marker too early": (call(see("12", last=""), WHOLE), [Truncated("menu", 2)]),
    "end marker alone": (call([], WHOLE), [Truncated("menu", 0)]),
    "more after the end": (
        call(see("12") + see("3"), WHOLE),
        [Truncated("menu", 3)],
    ),
    "another's answer": (
        call(see("12", "h"), WHOLE),
        [Misdelivered("menu", "")],
    ),
    "another's whole answer": (
        call([], WHOLE, stream=False, text="for flour"),
        [Misdelivered("menu", "")],
    ),
    "another's text": (
        call(see("12", text="flour "), WHOLE),
        [Misdelivered("menu", "")],
    ),
    "not run, but ran": (call([], NOT_RUN), [FalselyNotRun("menu", "engine-1")]),
}


@pytest.mark.parametrize("caller", ACCEPTED.values(), ids=ACCEPTED.keys())
def test_honest_histories_pass(caller: CallerHistory) -> None:
    assert check_history(History([caller], RAN)) == []


@pytest.mark.parametrize(("caller", "found"), REFUSED.values(), ids=REFUSED.keys())
def test_broken_promises_are_found(
    caller: CallerHistory, found: list[Violation]
) -> None:
    assert check_history(History([caller], RAN)) == found


def test_crossed_answers_name_whose_they_were() -> None:
    generations = [*RAN, ExecutedGeneration("engine-2", "h", "guide")]
    callers = [call(see("12", "h"), WHOLE), call(see("12"), WHOLE, tag="guide")]
    assert check_history(History(callers, generations)) == [
        Misdelivered("menu", "guide"),
        Misdelivered("guide", "menu"),
    ]


@pytest.mark.parametrize(
    ("identities", "found"),
    [
        (["flour", "seat"], []),
        (["", ""], []),
        (["flour", "flour"], [RanAgain("flour", ("planning-1", "planning-2"))]),
    ],
)
def test_non_idempotent_calls_run_at_most_once(
    identities: list[str], found: list[Violation]
) -> None:
    calls = []
    for number, identity in enumerate(identities, 1):
        calls.append(ExecutedCall(f"planning-{number}", f"call-{number}", identity))
    assert check_history(History(calls=calls)) == found


def test_a_call_told_not_run_was_not_executed() -> None:
    calls = [ExecutedCall("planning-1", "order", "flour")]
    caller = call([], NOT_RUN, tag="order", identity="flour", stream=False)
    assert check_history(History([caller], calls=calls)) == [
        FalselyNotRun("order", "planning-1")
    ]
