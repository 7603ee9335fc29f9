"""Histories that the checker must accept or report as violations."""

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


def build_events(
    indexes: str, generation: str = "g", last: str = "stop", text: str = "menu "
) -> list[ReceivedEvent]:
    events = [ReceivedEvent(generation, int(index), text) for index in indexes]
    if last:
        events[-1] = ReceivedEvent(generation, int(indexes[-1]), text, last)
    return events


def build_caller(
    events: list[ReceivedEvent], *outcomes: Outcome, tag: str = "menu", **kwargs: object
) -> CallerHistory:
    return CallerHistory(tag, events=events, outcomes=list(outcomes), **kwargs)


RAN = [ExecutedGeneration("engine-1", "g", "menu")]

ACCEPTED = {
    "whole": build_caller(build_events("123"), WHOLE),
    "finished for length": build_caller(build_events("123", last="length"), WHOLE),
    "returned": build_caller(build_events("123"), BROKEN, WHOLE),
    "left on its own": build_caller(
        build_events("12", last=""), BROKEN, abandoned=True
    ),
    "typed end after some": build_caller(
        build_events("12", last=""), Outcome(200, problem="lost", ran=Ran.YES)
    ),
    "refused, and ran": build_caller([], Outcome(503, problem="lost", ran=Ran.UNKNOWN)),
    "not a stream": build_caller([], WHOLE, stream=False, text="for menu"),
}

REFUSED = {
    "gap": (build_caller(build_events("124"), WHOLE), [OutOfOrder("menu", 3, 4)]),
    "late start": (build_caller(build_events("23"), WHOLE), [OutOfOrder("menu", 1, 2)]),
    "swapped": (
        build_caller(build_events("132"), WHOLE),
        [OutOfOrder("menu", 2, 3), OutOfOrder("menu", 4, 2)],
    ),
    "repeated on return": (
        build_caller(build_events("1223"), BROKEN, WHOLE),
        [Repeated("menu", 2)],
    ),
    "stitched": (
        build_caller(build_events("12", last="") + build_events("3", "h"), WHOLE),
        [Mixed("menu", ("g", "h")), Misdelivered("menu", "")],
    ),
    "no end": (build_caller(build_events("12", last=""), BROKEN), [Unanswered("menu")]),
    "no answer": (build_caller([]), [Unanswered("menu")]),
    "end marker too early": (
        build_caller(build_events("12", last=""), WHOLE),
        [Truncated("menu", 2)],
    ),
    "end marker alone": (build_caller([], WHOLE), [Truncated("menu", 0)]),
    "more after the end": (
        build_caller(build_events("12") + build_events("3"), WHOLE),
        [Truncated("menu", 3)],
    ),
    "another's answer": (
        build_caller(build_events("12", "h"), WHOLE),
        [Misdelivered("menu", "")],
    ),
    "another's whole answer": (
        build_caller([], WHOLE, stream=False, text="for flour"),
        [Misdelivered("menu", "")],
    ),
    "another's text": (
        build_caller(build_events("12", text="flour "), WHOLE),
        [Misdelivered("menu", "")],
    ),
    "not run, but ran": (
        build_caller([], NOT_RUN),
        [FalselyNotRun("menu", "engine-1")],
    ),
}


@pytest.mark.parametrize("caller", ACCEPTED.values(), ids=ACCEPTED.keys())
def test_valid_histories_pass(caller: CallerHistory) -> None:
    assert check_history(History([caller], RAN)) == []


@pytest.mark.parametrize(("caller", "found"), REFUSED.values(), ids=REFUSED.keys())
def test_broken_promises_are_found(
    caller: CallerHistory, found: list[Violation]
) -> None:
    assert check_history(History([caller], RAN)) == found


def test_crossed_answers_name_the_request_they_belong_to() -> None:
    generations = [*RAN, ExecutedGeneration("engine-2", "h", "guide")]
    callers = [
        build_caller(build_events("12", "h"), WHOLE),
        build_caller(build_events("12"), WHOLE, tag="guide"),
    ]
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


def test_a_call_reported_as_not_run_was_not_executed() -> None:
    calls = [ExecutedCall("planning-1", "order", "flour")]
    caller = build_caller([], NOT_RUN, tag="order", identity="flour", stream=False)
    assert check_history(History([caller], calls=calls)) == [
        FalselyNotRun("order", "planning-1")
    ]
