"""Tests that each check finds a record with a breach and passes a correct one."""

import pytest

from tests.faults.promises import Breach, check_promises
from tests.faults.records import (
    EVENTS,
    RETRY_EXTRA,
    STREAMS,
    Attempt,
    Disturbance,
    Kind,
    NamedRate,
    Record,
    Run,
    Stop,
    Version,
)

PATHS = frozenset({"/plan/", "/check/", "/order/", "/lookup/", "/resume/"})
START = 100.0


def build_record(kind: Kind = Kind.ORDER) -> tuple[Record, Attempt, Run]:
    """Return a record of one correctly served request, with its attempt and run."""
    run = Run("r1", "i-1", "g1", START, START + 0.1, True, customer="gurdwara")
    run.body = b"answer"
    attempt = Attempt("r1", kind, 0, 0, f"/{kind.value}/", "key-1", START)
    attempt.ended, attempt.status, attempt.whole = START + 0.2, 200, True
    attempt.stamp, attempt.body = "stamp-i-1", b"answer"
    if kind in STREAMS:
        attempt.body = list_events(EVENTS[kind])
    record = Record(runs=[run], attempts=[attempt], final_phase_start=1e9)
    record.versions.append(Version(1, 0.0, PATHS, frozenset({"key-1"})))
    return record, attempt, run


def list_events(count: int, generation: str = "g1") -> bytes:
    lines = [f"id: {i}\ndata: {generation} r1 v1 {i}\n\n" for i in range(1, count + 1)]
    return "".join(lines).encode()


def list_promises(record: Record) -> set[str]:
    return {breach.promise for breach in check_promises(record)}


@pytest.mark.parametrize("kind", list(Kind))
def test_a_correctly_served_request_breaks_no_promise(kind: Kind) -> None:
    assert check_promises(build_record(kind)[0]) == []


@pytest.mark.parametrize("kind", [Kind.ORDER, Kind.PLAN])
def test_a_second_run_is_found(kind: Kind) -> None:
    record, _, _run = build_record(kind)
    record.runs.append(Run("r1", "i-2", "g2", START, START + 0.1, customer="gurdwara"))
    assert "once" in list_promises(record)


def test_a_lookup_may_run_again() -> None:
    record, _, _run = build_record(Kind.LOOKUP)
    again = Run("r1", "i-2", "g2", START, START + 0.1, True, customer="gurdwara")
    record.runs.append(again)
    assert check_promises(record) == []


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refusal_of_what_ran_is_found(status: int) -> None:
    record, attempt, _ = build_record()
    attempt.status = status
    assert list_promises(record) == {"refusal"}


def test_another_requests_answer_is_found() -> None:
    record, attempt, _ = build_record()
    attempt.body = b"answer of r2"
    assert list_promises(record) == {"answer"}


@pytest.mark.parametrize(
    "body",
    [
        list_events(3) + list_events(80)[10:],
        list_events(2) + list_events(80, "g2")[len(list_events(2)) :],
        list_events(79),
        list_events(40) + b"id: 40\n" + list_events(80)[len(list_events(40)) :],
        list_events(80).replace(b" 7\n", b" 8\n"),
    ],
)
def test_a_stream_that_lacks_or_mixes_events_is_found(body: bytes) -> None:
    record, attempt, _ = build_record(Kind.PLAN)
    attempt.body = body
    assert "order" in list_promises(record)


def test_a_broken_stream_may_end_early() -> None:
    record, attempt, _ = build_record(Kind.PLAN)
    attempt.body, attempt.whole = list_events(12), False
    assert check_promises(record) == []


def test_forged_headers_are_found() -> None:
    record, _, run = build_record()
    run.forged = ("Hold",)
    assert list_promises(record) == {"headers"}


def test_a_dropped_key_that_still_works_is_found() -> None:
    record, _, _ = build_record()
    record.versions.append(Version(2, START - 5, PATHS, frozenset()))
    assert list_promises(record) == {"configuration"}


def test_a_dropped_key_may_work_for_two_seconds() -> None:
    record, _, _ = build_record()
    record.versions.append(Version(2, START - 1, PATHS, frozenset()))
    assert check_promises(record) == []


def test_a_disturbed_entry_may_keep_an_old_version() -> None:
    record, _, _ = build_record()
    record.versions.append(Version(2, START - 5, PATHS, frozenset()))
    record.disturbances.append(Disturbance("freeze", 0, "", START - 6, START - 1))
    assert check_promises(record) == []


def test_a_wrong_404_is_found() -> None:
    record, attempt, _ = build_record()
    record.runs.clear()
    attempt.status = 404
    assert list_promises(record) == {"configuration"}


def test_work_for_a_target_that_left_is_found() -> None:
    record, _, _ = build_record()
    record.departures["i-1"] = START - 4
    assert list_promises(record) == {"drain"}


def test_work_for_a_caller_that_left_is_found() -> None:
    record, attempt, run = build_record()
    attempt.disconnected, attempt.whole, attempt.status = True, False, 0
    run.ended = attempt.ended + 3
    assert list_promises(record) == {"gone"}


def test_two_engines_at_one_run_are_found() -> None:
    record, _, run = build_record(Kind.PLAN)
    run.ended = START + 3
    record.runs.append(Run("r1", "i-2", "g1", START, START + 3, customer="gurdwara"))
    assert list_promises(record) == {"handover"}


@pytest.mark.parametrize(
    ("lasted", "whole", "found"),
    [(0.7, False, set()), (0.7, True, {"handover"}), (0.9, False, {"handover"})],
)
def test_a_run_that_is_abandoned_as_it_begins_is_not_counted(
    lasted: float, whole: bool, found: set[str]
) -> None:
    """Guards against reports of runs that a target begins after they were abandoned.

    A request may reach its target late, when the entry has abandoned it already.
    """
    record, _, run = build_record(Kind.PLAN)
    run.ended = START + 3
    later = Run("r1", "i-2", "g1", START, START + lasted, whole, customer="gurdwara")
    record.runs.append(later)
    assert list_promises(record) == found


def test_a_loop_stall_excuses_no_breach() -> None:
    """Guards against faults of entries that go unreported on a busy machine."""
    record, _, run = build_record(Kind.PLAN)
    run.ended = START + 3
    record.runs.append(Run("r1", "i-2", "g1", START, START + 3, customer="gurdwara"))
    record.loop_stalls.append((START - 1, START - 0.5))
    assert list_promises(record) == {"handover"}


def add_stall(record: Record, place: str, start: float, end: float) -> None:
    """Record that a target, or with "loop" all of them, stood still."""
    if place == "loop":
        record.loop_stalls.append((START + start, START + end))
        return
    record.loop_stalls.append((START, START + 9))  # of the callers
    record.target_stalls = [(place, START + start, START + end)]


STALLS = [
    ("loop", 0.2, 1.2, 1.3, False),
    ("i-1", 0.2, 1.2, 1.3, False),
    ("i-1", 0.2, 1.2, 1.9, False),
    ("loop", 0.2, 1.2, 2.2, True),
    ("i-1", 0.2, 1.2, 2.2, True),
    ("i-1", 0.2, 1.2, None, True),
    ("i-1", -1.0, 0.0, 1.3, True),
    ("i-1", -1.0, 0.4, 1.15, False),
    ("i-1", -1.0, 0.4, 1.35, True),
    ("i-1", 0.8, 2.8, 2.9, False),
    ("i-1", 1.2, 2.2, 1.1, True),
    ("i-1", 1.2, 2.2, 2.3, True),
    ("i-3", 0.2, 1.2, 1.3, True),
]
"""Where and when a target stood still, when its run ended, and if that is a breach."""


@pytest.mark.parametrize(("place", "start", "end", "ended", "found"), STALLS)
def test_time_in_which_its_target_stood_still_does_not_count_for_a_run(
    place: str, start: float, end: float, ended: float | None, found: bool
) -> None:
    """Guards against reports of runs that nothing could end, and against excuses."""
    record, attempt, run = build_record(Kind.PLAN)
    attempt.disconnected, attempt.whole = True, False
    attempt.status, attempt.ended = 0, START + 0.1
    run.ended = None if ended is None else START + ended
    add_stall(record, place, start, end)
    assert list_promises(record) == ({"gone"} if found else set())
    attempt.disconnected, later = False, START + 0.2
    record.runs.append(Run("r1", "i-2", "g1", later, START + 9, customer="gurdwara"))
    assert list_promises(record) == ({"handover"} if found else set())


def test_two_stalls_of_a_target_are_added_up() -> None:
    record, attempt, run = build_record(Kind.PLAN)
    attempt.disconnected, attempt.whole, attempt.status = True, False, 0
    attempt.ended, run.ended = START, START + 2.3
    record.loop_stalls += [(START + 1.3, START + 2.2), (START + 0.2, START + 1.2)]
    assert list_promises(record) == set()
    run.ended = START + 2.9
    assert list_promises(record) == {"gone"}


@pytest.mark.parametrize("took", [None, 1.0])
def test_a_stop_that_cuts_or_takes_too_long_is_found(took: float | None) -> None:
    record, attempt, _ = build_record()
    attempt.status, attempt.whole = 0, False
    record.disturbances.append(Disturbance("stop", 0, "", START, START + 2))
    record.stops.append(Stop(0, 0, START, took))
    assert list_promises(record) == {"stop"}


def test_a_spent_budget_is_found() -> None:
    record, _, _ = build_record()
    for number in range(RETRY_EXTRA + 2):
        record.arrivals.append((START + number / 100, "bookings", "r1"))
    assert list_promises(record) == {"budget"}


def build_limited_record(requests: int) -> Record:
    """Return a record of a target that names a rate of 1 per second.

    Args:
        requests: Number of requests that the target gets, 0.1 s apart.
    """
    record, _, _ = build_record()
    record.rates.append(NamedRate("i-1", 1.0, START - 1, START + 20))
    record.target_arrivals += [
        (START + 4 + i / 10, "i-1", "r1") for i in range(requests)
    ]
    return record


def test_a_target_that_gets_more_than_its_rate_is_found() -> None:
    assert list_promises(build_limited_record(12)) == {"rate"}
    assert list_promises(build_limited_record(11)) == set()


def test_an_entry_that_was_frozen_may_exceed_a_rate() -> None:
    record = build_limited_record(12)
    record.disturbances.append(Disturbance("freeze", 0, "", START + 1, START + 2))
    assert list_promises(record) == set()


def build_leaving_record(sent: float) -> Record:
    """Return a record of a target that announces that it leaves, and a request to it.

    Args:
        sent: Seconds from START to the request; the announcement is 1 s before START.
    """
    record, _, _ = build_record()
    record.leaving_since["i-1"] = START - 1
    late = Attempt("r2", Kind.LOOKUP, 0, 0, "/lookup/", "key-1", START + sent)
    record.attempts.append(late)
    record.target_arrivals.append((START + sent, "i-1", "r2"))
    return record


def test_work_for_a_target_that_announced_leaving_is_found() -> None:
    assert list_promises(build_leaving_record(1.9)) == set()
    assert list_promises(build_leaving_record(3.0)) == {"leaver"}


def test_an_unavailable_store_excuses_no_work_for_a_leaving_target() -> None:
    record = build_leaving_record(3.0)
    record.disturbances.append(Disturbance("store away", None, "", START, START + 9))
    assert list_promises(record) == {"leaver"}


def test_a_killed_entry_may_send_to_a_leaving_target() -> None:
    record = build_leaving_record(3.0)
    record.disturbances.append(Disturbance("kill", 0, "", START + 1, START + 2))
    assert list_promises(record) == set()


def test_requests_in_a_pause_are_found() -> None:
    record, _, _ = build_record()
    record.pauses.append((START, "i-1", "r1", 3.0))
    record.target_arrivals += [(START + 1 + i / 10, "i-1", "r1") for i in range(2)]
    assert list_promises(record) == set()
    record.target_arrivals.append((START + 2, "i-1", "r1"))
    assert list_promises(record) == {"pause"}


def test_a_path_without_a_route_need_not_be_served_in_the_end() -> None:
    record, attempt, _ = build_record()
    record.runs.clear()
    attempt.status, attempt.path, record.final_phase_start = 404, "/never/", START - 1
    assert check_promises(record) == []


def test_callers_that_are_not_served_in_the_end_are_found() -> None:
    record, attempt, _ = build_record()
    record.runs.clear()
    attempt.status, record.final_phase_start = 503, START - 1
    assert check_promises(record) == [Breach("recovery", "0 of 1 served at the end")]


def build_crashing_record(retries: int, entry: int = 0) -> Record:
    """Return a record of a read that crashed three targets and is sent again.

    Args:
        retries: Number of further runs, 1 s apart from 6 s after START.
        entry: Number of the entry of all requests.
    """
    record, _, _run = build_record()
    times = [START, START + 0.1, START + 1.0]
    times += [START + 6.0 + number for number in range(retries)]
    for number, at in enumerate(times):
        name = f"k{number}"
        run = Run(name, f"i-{number}", name, at, at + 0.05, customer="gurdwara")
        run.crashed = True
        record.runs.append(run)
        path = "/lookup/crash-1"
        attempt = Attempt(name, Kind.LOOKUP, entry, 0, path, "key-1", at)
        attempt.ended, attempt.status = at + 0.1, 502
        record.attempts.append(attempt)
    return record


def test_a_request_that_keeps_crashing_targets_is_found() -> None:
    assert "crashes" not in list_promises(build_crashing_record(3))
    assert "crashes" in list_promises(build_crashing_record(4))


def test_retries_of_an_entry_that_was_stopped_are_not_counted() -> None:
    record = build_crashing_record(4)
    record.disturbances.append(Disturbance("freeze", 0, "", START, START + 2.0))
    assert "crashes" not in list_promises(record)


def test_a_request_refused_for_what_crashed_beside_it_is_found() -> None:
    record, attempt, _run = build_record(Kind.LOOKUP)
    attempt.status, attempt.body = 503, b'{"code": "crashes_targets"}'
    assert "blamed" in list_promises(record)


def take_up(record: Record, number: int, version: str, status: int = 200) -> None:
    """Add a try that takes the first stream of a record up again."""
    name = f"r1-{number}"
    attempt = Attempt(name, Kind.RESUME, 0, 0, "/resume/x", "key-1", START + 1)
    attempt.ended, attempt.status = START + 2, status
    attempt.resumes, attempt.after = "r1", EVENTS[Kind.RESUME]
    if status == 200:
        run = Run(
            name, "i-2", f"h{number}", START + 1, START + 2, True, version=version
        )
        run.customer = "gurdwara"
        record.runs.append(run)
        index = attempt.after + 1
        attempt.body = (
            f"id: {index}\ndata: h{number} {name} {version} {index}\n\n".encode()
        )
    record.attempts.append(attempt)


def test_a_stream_with_events_of_two_versions_is_found() -> None:
    record, _, _ = build_record(Kind.RESUME)
    take_up(record, 1, "v1")
    assert "version" not in list_promises(record)
    take_up(record, 2, "v2")
    assert "version" in list_promises(record)


def test_streams_that_do_not_go_on_are_found() -> None:
    record, _, _ = build_record(Kind.RESUME)
    for number in range(12):
        take_up(record, number, "v1", status=200 if number < 6 else 503)
    assert "lost" not in list_promises(record)
    take_up(record, 12, "v1", status=503)
    assert "lost" in list_promises(record)


@pytest.mark.parametrize(("crashes", "found"), [(4, False), (5, True)])
def test_late_runs_of_a_part_that_crashes_engines_are_found(
    crashes: int, found: bool
) -> None:
    record, attempt, run = build_record(Kind.PLAN)
    attempt.part = "crash-part"
    run.crashed = True
    for number in range(2, crashes + 6):
        late = number > crashes
        at = START + (20.0 if late else 0.1 * number)
        record.attempts.append(
            Attempt(f"r{number}", Kind.PLAN, 0, 0, "/plan/x", "key-1", at)
        )
        record.attempts[-1].part = "crash-part"
        one = Run(f"r{number}", f"i-{number}", f"g{number}", at, at + 0.1)
        one.crashed = True
        record.runs.append(one)
    assert ("crashes" in list_promises(record)) is found


@pytest.mark.parametrize(("served", "found"), [(20, False), (10, True)])
def test_a_crowded_entry_that_serves_worse_is_found(served: int, found: bool) -> None:
    record, _, _run = build_record()
    crowd = Disturbance("crowd", 0, "", START + 10, START + 20)
    record.crowds.append(crowd)
    for number in range(20):
        for at, whole in ((START + 6, True), (START + 15, number < served)):
            one = Attempt(f"x{at}{number}", Kind.LOOKUP, 0, 0, "/lookup/", "key-1", at)
            one.ended, one.status, one.whole = at + 0.1, 200, whole
            record.attempts.append(one)
    assert ("crowd" in list_promises(record)) is found


@pytest.mark.parametrize(("helper_is_down", "found"), [(False, True), (True, False)])
def test_a_cut_entry_that_serves_nobody_is_found(
    helper_is_down: bool, found: bool
) -> None:
    record, _, _run = build_record()
    cut = Disturbance("cut off", 0, "", START + 10, START + 40)
    record.cuts.append(cut)
    record.disturbances.append(cut)
    if helper_is_down:
        down = Disturbance("kill", 1, "", START + 19, START + 26)
        record.disturbances.append(down)
    for number in range(20):
        for entry, at in ((0, START + 20), (1, START + 30)):
            one = Attempt(
                f"x{entry}-{number}", Kind.LOOKUP, entry, 0, "/lookup/", "key-1", at
            )
            one.ended, one.status, one.whole = at + 0.1, 200 if entry else 503, True
            record.attempts.append(one)
    assert ("cut" in list_promises(record)) is found
