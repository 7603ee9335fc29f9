"""Tests of requests that an entry without links to the targets passes on."""

from collections.abc import Sequence
from dataclasses import replace

import pytest

from figstep.core.clock import Millis
from figstep.core.problems import Ran
from figstep.gateway.domains import MAX_DOMAIN_RELAYS, describe_domain
from figstep.gateway.effects import (
    Announce,
    BreakStream,
    CheckTarget,
    CloseAttempt,
    Deliver,
    FinishStream,
    OpenAttempt,
    Refuse,
)
from figstep.gateway.events import (
    AnswerArrived,
    AttemptConnected,
    AttemptLost,
    CallerGone,
    Loss,
    PeerHeard,
    ServiceCut,
    ShutdownRequested,
    StreamEnded,
    TargetChecked,
    TargetDown,
    Ticked,
)
from figstep.gateway.peers import describe_entry, sum_uses
from figstep.gateway.prompts import Prompt
from figstep.gateway.reach import FRESH_CONNECTION
from figstep.gateway.relays import MAX_RELAYS
from tests.gateway.worlds import (
    BOOKINGS,
    ENGINES,
    ORDER,
    EntryHarness,
    build_fleet,
    build_table,
    exchange_messages,
)

DOMAINS = ("muc-a", "muc-b", "nue-a", "aug-a")
TARGETS = ("i-1", "i-2", "i-3", "i-4")

EACH_NOT_RUN = pytest.mark.parametrize("loss", [Loss.UNREACHED, Loss.REFUSED])


def build_entry(*relays: str, **fields: object) -> EntryHarness:
    """Return an entry with four targets and a peer that accepts its requests."""
    harness = EntryHarness(reachable=False)
    harness.register(*TARGETS, service=BOOKINGS)
    for number, address in enumerate(relays):
        message = PeerHeard(
            f"entry-{number + 2}",
            relays=(address,),
            **fields,  # type: ignore[arg-type]
        )
        harness.handle(message)
    return harness


def cut_off(harness: EntryHarness) -> None:
    """Let connections to three targets, and to those of other services, fail."""
    harness.clock.advance(1)
    opened = harness.clock.now()
    harness.clock.advance(500)
    for name in TARGETS[:3]:
        harness.handle(TargetChecked(name, opened, reached=False))
    assert BOOKINGS in harness.state.cut_services
    for name, target in harness.state.targets.targets.items():
        if target.info.service != BOOKINGS:
            harness.handle(TargetChecked(name, opened, reached=False))
    assert harness.state.is_cut_off


def find_relays(harness: EntryHarness) -> list[str]:
    """Return the entries to which the last event passed requests on."""
    opened = harness.find_effects(OpenAttempt)
    return [one.relay.address for one in opened if one.relay is not None]


def test_a_failed_connection_has_other_targets_checked() -> None:
    harness = build_entry()
    harness.receive_request("/order/a")
    opened = harness.find_effect(OpenAttempt)
    harness.clock.advance(500)
    harness.handle(AttemptLost(opened.attempt, Loss.UNREACHED))
    checked = {one.target for one in harness.find_effects(CheckTarget)}
    assert len(checked) == 2
    assert opened.target not in checked


def test_a_target_that_is_down_alone_cuts_nothing_off() -> None:
    """Guards against an entry that passes all on because one target crashed."""
    harness = build_entry("peer:1")
    opened = harness.clock.now()
    harness.clock.advance(500)
    harness.handle(TargetChecked("i-1", opened, reached=False))
    harness.handle(TargetChecked("i-2", opened, reached=True))
    harness.handle(TargetChecked("i-3", opened, reached=False))
    harness.handle(TargetChecked("i-4", opened, reached=False))
    assert not harness.state.is_cut_off


def test_requests_that_come_in_are_passed_on() -> None:
    harness = build_entry("peer:1")
    cut_off(harness)
    harness.receive_request("/order/a")
    assert find_relays(harness) == ["peer:1"]
    attempt = harness.find_effect(OpenAttempt).attempt
    harness.handle(AnswerArrived(attempt, 200))
    assert harness.state.requests == {}


def test_what_waits_is_passed_on_when_the_cut_is_noticed() -> None:
    """Guards against requests that wait for a connection until their deadline."""
    harness = build_entry("peer:1")
    harness.receive_request("/order/a")
    waiting = harness.find_effect(OpenAttempt)
    harness.receive_request("/order/b")
    sent = harness.find_effect(OpenAttempt)
    harness.clock.advance(10)
    harness.handle(AttemptConnected(sent.attempt))
    harness.clock.advance(1)
    opened = harness.clock.now()
    harness.clock.advance(300)
    for name in TARGETS[:2]:
        harness.handle(TargetChecked(name, opened, reached=False))
    harness.handle(TargetChecked(TARGETS[2], opened, reached=False))
    assert harness.find_effect(CloseAttempt).attempt == waiting.attempt
    assert find_relays(harness) == ["peer:1"]
    assert sent.attempt in harness.state.attempts


def test_queued_requests_are_passed_on_when_the_cut_is_noticed() -> None:
    harness = build_entry("peer:1")
    harness.register("e-1", slots=1)
    harness.open_plan()
    harness.receive_plan()
    assert harness.state.queue
    cut_off(harness)
    assert harness.state.queue == []
    assert find_relays(harness) == ["peer:1", "peer:1"]


def test_a_request_passes_one_entry_only() -> None:
    """Guards against two entries without links that exchange a request."""
    harness = build_entry("peer:1")
    cut_off(harness)
    harness.receive_request("/order/a", relayed=True)
    problem = harness.find_effect(Refuse).problem
    assert (problem.status, problem.ran) == (503, Ran.NO)
    assert problem.retry_after


def test_without_another_entry_a_request_is_refused_at_once() -> None:
    harness = build_entry()
    cut_off(harness)
    harness.receive_request("/order/a")
    assert harness.find_effect(Refuse).problem.ran is Ran.NO


@EACH_NOT_RUN
def test_an_entry_that_did_not_run_it_is_followed_by_another(loss: Loss) -> None:
    harness = build_entry("peer:1", "peer:2", "peer:3")
    cut_off(harness)
    harness.receive_request("/order/a")
    asked = set()
    for _ in range(MAX_RELAYS):
        asked.update(find_relays(harness))
        opened = harness.find_effect(OpenAttempt)
        harness.handle(AttemptLost(opened.attempt, loss, Millis(700)))
    assert len(asked) == MAX_RELAYS
    problem = harness.find_effect(Refuse).problem
    assert (problem.ran, problem.retry_after) == (Ran.NO, 700)


def test_an_order_whose_hop_broke_may_have_run() -> None:
    """Guards against an order that is sent again although another entry had it."""
    harness = build_entry("peer:1", "peer:2")
    cut_off(harness)
    harness.receive_request("/order/a")
    opened = harness.find_effect(OpenAttempt)
    harness.handle(AttemptConnected(opened.attempt))
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert harness.find_effects(OpenAttempt) == []
    problem = harness.find_effect(Refuse).problem
    assert (problem.status, problem.ran) == (502, Ran.UNKNOWN)


def test_a_lookup_whose_hop_broke_is_not_run_again() -> None:
    """Guards against one run too many, after those at the other entry."""
    harness = build_entry("peer:1", "peer:2")
    cut_off(harness)
    harness.receive_request("/lookup/a")
    opened = harness.find_effect(OpenAttempt)
    harness.handle(AttemptConnected(opened.attempt))
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert harness.find_effects(OpenAttempt) == []
    assert harness.find_effect(Refuse).problem.ran is Ran.UNKNOWN


def test_runs_before_the_hop_travel_with_the_request() -> None:
    harness = build_entry("peer:1")
    harness.receive_request("/lookup/a")
    opened = harness.find_effect(OpenAttempt)
    harness.handle(AttemptConnected(opened.attempt))
    harness.clock.advance(1)
    cut_off(harness)
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    relay = harness.find_effect(OpenAttempt).relay
    assert relay is not None
    assert relay.lost_runs == 1


def test_runs_at_another_entry_count_against_the_route() -> None:
    """Guards against a request that runs more often than its route permits."""
    harness = build_entry()
    harness.receive_request("/lookup/a", relayed=True, lost_runs=1)
    opened = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert harness.find_effects(OpenAttempt) == []
    assert harness.find_effect(Refuse).problem.ran is Ran.UNKNOWN


def test_a_request_counts_once_in_the_retry_budget() -> None:
    first, second = build_entry("peer:1"), build_entry()
    cut_off(first)
    first.receive_request("/order/a")
    second.receive_request("/order/a", relayed=True)
    now = first.clock.now()
    second.handle(describe_entry(first.state, now))
    fleet = sum_uses(second.state, BOOKINGS, now).requests
    assert fleet + second.state.budget.count_requests(BOOKINGS, now) == 1


def test_a_failure_that_another_entry_reports_is_passed_on() -> None:
    harness = build_entry("peer:1")
    cut_off(harness)
    harness.receive_request("/order/a")
    opened = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(opened.attempt, Loss.FAILED, status=504))
    assert harness.find_effects(Refuse) == []
    assert harness.state.requests == {}


def test_a_stream_passes_through_in_order_and_ends_whole() -> None:
    harness = build_entry("peer:1")
    harness.register("e-1")
    cut_off(harness)
    harness.receive_plan()
    opened = harness.find_effect(OpenAttempt)
    assert opened.stream
    harness.send_pieces(opened.attempt, 1, 4)
    assert harness.find_effect(Deliver).data.endswith(b"id: 4\n\n")
    harness.clock.advance(500)
    harness.handle(Ticked())
    assert harness.find_effects(OpenAttempt) == []
    harness.handle(StreamEnded(opened.attempt))
    assert harness.find_effect(FinishStream).number == opened.number


def test_a_stream_whose_hop_broke_is_cut() -> None:
    harness = build_entry("peer:1", "peer:2")
    harness.register("e-1")
    cut_off(harness)
    harness.receive_plan()
    opened = harness.find_effect(OpenAttempt)
    harness.send_pieces(opened.attempt, 1, 4)
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert harness.find_effect(BreakStream).number == opened.number


def test_a_resumable_stream_goes_on_at_another_entry() -> None:
    harness = build_entry("peer:1")
    harness.register("e-1")
    harness.receive_request("/question/a", Prompt("m", 2_000, 2_000, 9))
    opened = harness.find_effect(OpenAttempt)
    harness.handle(AttemptConnected(opened.attempt))
    harness.send_pieces(opened.attempt, 1, 4)
    harness.clock.advance(1)
    cut_off(harness)
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    resumed = harness.find_effect(OpenAttempt)
    assert resumed.after == 4
    assert resumed.relay is not None


def test_a_caller_that_leaves_ends_the_hop() -> None:
    harness = build_entry("peer:1")
    cut_off(harness)
    number = harness.receive_request("/order/a")
    opened = harness.find_effect(OpenAttempt)
    harness.handle(CallerGone(number))
    assert harness.find_effect(CloseAttempt).attempt == opened.attempt


def test_an_entry_that_drains_or_is_cut_off_takes_no_requests() -> None:
    harness = build_entry()
    harness.state.relay_address = "own:1"
    now = harness.clock.now()
    assert describe_entry(harness.state, now).relays == ("own:1",)
    cut_off(harness)
    assert describe_entry(harness.state, now).relays == ()
    harness.handle(TargetChecked("i-1", harness.clock.now(), reached=True))
    harness.handle(ShutdownRequested(Millis(200_000)))
    assert describe_entry(harness.state, now).relays == ()


def test_a_body_stays_in_the_regions_of_its_route() -> None:
    homes = frozenset({"north"})
    harness = build_entry("peer:1", failure_domain="rgb-a")
    harness.state.regions = {"muc-a": "south", "rgb-a": "east"}
    route = replace(ORDER, allowed_regions=homes)
    harness.state.table = build_table(2, [route])
    cut_off(harness)
    harness.receive_request("/order/a")
    assert harness.find_effect(Refuse).problem.code == "cut_off"
    harness.state.regions["rgb-a"] = "north"
    harness.receive_request("/order/a")
    assert find_relays(harness) == ["peer:1"]


def test_targets_are_tried_at_once_after_the_links_are_back() -> None:
    """Guards against targets that stay avoided for what the cut alone has shown."""
    harness = build_entry()
    harness.receive_request("/order/a")
    opened = harness.find_effect(OpenAttempt)
    harness.clock.advance(500)
    harness.handle(AttemptLost(opened.attempt, Loss.UNREACHED, down=True))
    cut_off(harness)
    assert describe_entry(harness.state, harness.clock.now()).unreached == ()
    harness.clock.advance(300)
    harness.handle(Ticked())
    check = harness.find_effect(CheckTarget)
    harness.handle(TargetChecked(check.target, harness.clock.now(), reached=True))
    assert harness.find_effects(Announce)
    for target in harness.state.targets.targets.values():
        assert target.backoff_until <= harness.clock.now()
        assert target.ended_at is None
    harness.receive_request("/order/b")
    assert harness.find_effect(OpenAttempt).relay is None


def test_a_reset_of_all_links_suspects_no_request() -> None:
    """Guards against requests refused for crashes that were a cut of the entry."""
    harness = build_entry()
    digests = []
    for number in range(4):
        harness.receive_request("/order/a", digest=f"d-{number}")
        opened = harness.find_effect(OpenAttempt)
        harness.handle(AttemptConnected(opened.attempt))
        digests.append((opened, f"d-{number}"))
    harness.clock.advance(50)
    for opened, _ in digests:
        harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
        target = harness.state.targets.targets[opened.target]
        harness.handle(TargetDown(target.info.incarnation))
    cut_off(harness)
    for _, digest in digests:
        assert harness.state.crashes.count(digest) == 0


def lose_bookings(harness: EntryHarness) -> None:
    """Let connections to targets of one service fail while the other is reached."""
    for name in TARGETS[:3]:
        opened = harness.clock.now()
        harness.clock.advance(500)
        harness.handle(TargetChecked(name, opened, reached=False))
        harness.handle(TargetChecked("e-1", opened, reached=True))


def test_a_service_that_is_reached_does_not_hide_that_another_is_not() -> None:
    """Guards against cuts that each connection to another service ends."""
    harness = build_entry("peer:1")
    harness.register("e-1")
    lose_bookings(harness)
    assert harness.state.cut_services == {BOOKINGS}
    harness.receive_request("/order/a")
    assert find_relays(harness) == ["peer:1"]
    harness.receive_plan()
    assert harness.find_effect(OpenAttempt).relay is None


def test_an_entry_takes_requests_of_the_services_that_it_reaches() -> None:
    """Guards against requests passed on to an entry that is cut off from them too."""
    harness = build_entry()
    harness.register("e-1")
    harness.state.relay_address = "own:1"
    lose_bookings(harness)
    message = describe_entry(harness.state, harness.clock.now())
    other = build_entry()
    other.register("e-1")
    other.handle(message)
    cut_off(other)
    other.receive_request("/order/a")
    assert other.find_effect(Refuse).problem.code == "cut_off"
    other.receive_plan()
    assert find_relays(other) == ["own:1"]


def test_other_failure_domains_learn_which_entries_reach_a_service() -> None:
    """Guards against hops to other failure domains that all end at cut entries."""
    harness = build_entry()
    harness.state.failure_domain = "muc-a"
    for number in range(40):
        address = f"peer:{number}"
        cuts = (ServiceCut(BOOKINGS, (address,)),) if number < 38 else ()
        peer = PeerHeard(f"entry-{number}", relays=(address,), cuts=cuts)
        harness.handle(peer)
    other = build_entry()
    other.register("e-1")
    now = harness.clock.now()
    other.handle(replace(describe_domain(harness.state, now), failure_domain="nue-a"))
    (peer,) = other.state.remote_peers.values()
    assert sorted(peer.list_relays(BOOKINGS)) == ["peer:38", "peer:39"]
    assert len(peer.list_relays(ENGINES)) == MAX_DOMAIN_RELAYS


def test_refused_connections_to_one_service_suspect_no_request() -> None:
    """Guards against a reset of one service's links that is taken for crashes."""
    harness = build_entry()
    harness.register("e-1")
    attempts = []
    for number in range(len(TARGETS)):
        harness.receive_request("/order/a", digest=f"d-{number}")
        opened = harness.find_effect(OpenAttempt)
        harness.handle(AttemptConnected(opened.attempt))
        attempts.append(opened)
    for opened in attempts:
        harness.clock.advance(1)
        harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
        target = harness.state.targets.targets[opened.target]
        harness.handle(TargetDown(target.info.incarnation))
        harness.handle(TargetChecked("e-1", harness.clock.now(), reached=True))
    targets = harness.state.targets.targets
    assert [name for name in TARGETS if targets[name].ended_at is not None] == []
    assert [n for n in range(4) if harness.state.crashes.count(f"d-{n}")] == []


def test_a_peers_cut_has_the_own_links_checked() -> None:
    """Guards against an idle entry that takes requests although it is cut off too."""
    harness = build_entry()
    harness.handle(PeerHeard("entry-2", cut_off=True))
    assert len(harness.find_effects(CheckTarget)) == 3
    harness.clock.advance(1_000)
    harness.handle(PeerHeard("entry-2", cut_off=True))
    assert harness.find_effects(CheckTarget) == []


def test_a_fresh_connection_spares_that_check() -> None:
    harness = build_entry()
    harness.handle(TargetChecked("i-1", harness.clock.now(), reached=True))
    harness.clock.advance(FRESH_CONNECTION - 1)
    harness.handle(PeerHeard("entry-2", cut_off=True))
    assert harness.find_effects(CheckTarget) == []


def build_connected_fleet(size: int) -> list[EntryHarness]:
    fleet = build_fleet(size, DOMAINS)
    for harness in fleet:
        harness.reachable = False
        harness.state.relay_address = f"{harness.state.node}:1"
        harness.register(*TARGETS, service=BOOKINGS)
    exchange_messages(fleet)
    return fleet


def list_cut(fleet: Sequence[EntryHarness], which: str) -> list[EntryHarness]:
    if which == "one":
        return [fleet[0]]
    if which == "domain":
        return [one for one in fleet if one.state.failure_domain == DOMAINS[0]]
    if which == "all but one":
        return list(fleet[:-1])
    return list(fleet)


@pytest.mark.parametrize("size", [8, 73])
@pytest.mark.parametrize("which", ["one", "domain", "all but one", "all"])
def test_callers_of_cut_entries_reach_one_that_is_not(size: int, which: str) -> None:
    """Guards against requests passed on to entries that are cut off as well."""
    fleet = build_connected_fleet(size)
    cut = list_cut(fleet, which)
    for harness in cut:
        opened = harness.clock.now()
        for name in TARGETS[:3]:
            harness.handle(TargetChecked(name, Millis(opened - 1), reached=False))
    exchange_messages(fleet)
    exchange_messages(fleet)
    lost = {f"{harness.state.node}:1" for harness in cut}
    for harness in cut:
        harness.receive_request("/order/a")
        relays = find_relays(harness)
        if which == "all":
            assert harness.find_effect(Refuse).problem.ran is Ran.NO
            continue
        assert len(relays) == 1
        assert relays[0] not in lost


def test_a_large_domain_names_few_entries_and_changes_them() -> None:
    fleet = build_connected_fleet(73)
    state = fleet[0].state
    named = [
        describe_domain(state, Millis(100_000 + 5_000 * number)).relays
        for number in range(6)
    ]
    assert all(len(relays) == MAX_DOMAIN_RELAYS for relays in named)
    assert len(set().union(*named)) > MAX_DOMAIN_RELAYS


def test_requests_to_a_service_that_is_out_of_reach_are_passed_on() -> None:
    """Guards against a cut from one service that links to another one hide."""
    harness = build_entry("peer:1")
    harness.register("e-1")
    for name in TARGETS:
        target = harness.state.targets.targets[name]
        target.require_check(harness.clock.now())
    harness.handle(TargetChecked("e-1", harness.clock.now(), reached=True))
    harness.receive_request("/order/a")
    assert find_relays(harness) == ["peer:1"]
    harness.receive_plan()
    assert harness.find_effect(OpenAttempt).target == "e-1"


def test_a_target_out_of_reach_gets_requests_once_a_check_reaches_it() -> None:
    """Guards against requests that try a target before it is known to be reached."""
    harness = build_entry("peer:1")
    harness.receive_request("/order/a")
    lost = harness.find_effect(OpenAttempt)
    harness.clock.advance(500)
    harness.handle(AttemptLost(lost.attempt, Loss.UNREACHED))
    target = harness.state.targets.targets[lost.target]
    harness.clock.advance(8_000)
    assert all(
        one.target != target.name for one in open_requests(harness, 3 * len(TARGETS))
    )
    harness.handle(Ticked())
    assert target.name in {one.target for one in harness.find_effects(CheckTarget)}
    harness.handle(TargetChecked(target.name, harness.clock.now(), reached=True))
    assert any(
        one.target == target.name for one in open_requests(harness, 3 * len(TARGETS))
    )


def open_requests(harness: EntryHarness, count: int) -> list[OpenAttempt]:
    """Let requests arrive, and return where they are sent."""
    opened = []
    for _ in range(count):
        harness.receive_request("/order/a")
        opened += harness.find_effects(OpenAttempt)
    return opened
