"""Tests of copies of running generations and of resuming from them."""

from figstep.core.clock import Millis
from figstep.gateway import copies
from figstep.gateway.copies import (
    BACKUP_ARRIVAL_DELAY,
    LAST_COPY_ORDER_DELAY,
    REFRESH_TIMEOUT,
    STALE_COPY_AGE,
)
from figstep.gateway.effects import (
    BreakStream,
    CloseAttempt,
    CopyRun,
    Deliver,
    DropCopy,
    OpenAttempt,
)
from figstep.gateway.events import (
    AttemptLost,
    Loss,
    PeerHeard,
    PeerLoad,
    RunCopied,
    RunNotCopied,
    StreamEnded,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.streams import MAX_OVERLAP
from figstep.gateway.targets import Registration
from tests.gateway.worlds import (
    ENGINES,
    EntryHarness,
    build_copy,
    start_with_backup,
)


def start_without_backup(output: int = 900) -> tuple[EntryHarness, OpenAttempt]:
    """Return an entry with a plan whose backup found no free memory at its start."""
    harness = EntryHarness()
    harness.register("e-1")
    harness.receive_plan(output=output)
    opened = harness.find_effect(OpenAttempt)
    assert opened.backup == ""
    harness.send_pieces(opened.attempt, 1, 10)
    harness.handle(Ticked())
    assert harness.find_effects(CopyRun) == []
    harness.register("e-2", "e-3")
    return harness, opened


def test_a_stream_resumes_from_its_backup_when_its_engine_leaves() -> None:
    """Guards against a plan lost in mid-answer as its engine leaves.

    The engine's registration disappears; the engine ends 1.5 seconds later. The attempt
    at the backup's holder is opened in parallel, and the first one is closed only once
    the holder delivers. Events that both send are delivered once.
    """
    harness, opened = start_with_backup()
    harness.depart(opened.target)
    standby = harness.find_effect(OpenAttempt)
    assert standby.target == opened.backup
    assert standby.source == build_copy(opened.backup, opened.backup, "id-1")
    assert standby.after == 10
    harness.send_pieces(opened.attempt, 11, 12)
    assert harness.find_effect(Deliver).data.endswith(b"id: 12\n\n")
    harness.send_pieces(standby.attempt, 11, 14)
    assert harness.find_effect(CloseAttempt).attempt == opened.attempt
    assert harness.find_effect(Deliver).data == b"id: 13\n\nid: 14\n\n"


def test_a_backup_that_is_refused_leaves_the_run_where_it_is() -> None:
    harness, opened = start_with_backup()
    harness.depart(opened.target)
    standby = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(standby.attempt, Loss.REFUSED))
    assert harness.find_effects(BreakStream) == []
    harness.send_pieces(opened.attempt, 11, 11)
    assert harness.find_effect(Deliver).data == b"id: 11\n\n"


def test_a_copy_that_its_holder_refuses_is_made_elsewhere() -> None:
    harness, opened = start_without_backup()
    harness.handle(Ticked())
    order = harness.find_effect(CopyRun)
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    harness.depart(opened.target)
    standby = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(standby.attempt, Loss.REFUSED))
    assert harness.find_effects(BreakStream) == []
    harness.send_pieces(opened.attempt, 11, 11)
    assert harness.find_effect(Deliver).data == b"id: 11\n\n"
    harness.handle(Ticked())
    assert harness.find_effect(CopyRun).source == opened.target


def test_engines_that_copy_runs_on_order_keep_no_running_backups() -> None:
    """Guards against stalls and queueing caused by precautionary copies.

    Four engines run sixteen generations. A running backup of each would fill the
    remaining memory: prompts would find no free memory, and growing runs would be
    preempted.
    """
    harness = EntryHarness()
    harness.register("e-1", "e-2", "e-3")
    assert harness.open_plan().backup == ""
    without = EntryHarness(moves=False)
    without.register("e-1", "e-2", "e-3")
    assert without.open_plan().backup != ""


def test_a_run_without_a_backup_is_copied_within_the_notice() -> None:
    harness = EntryHarness()
    harness.register("e-1", "e-2", "e-3")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 10)
    harness.depart(opened.target)
    order = harness.find_effect(CopyRun)
    assert order.holder != opened.target
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    standby = harness.find_effect(OpenAttempt)
    assert standby.source == build_copy(opened.target, order.holder)


def test_a_copy_that_fails_is_tried_at_another_engine() -> None:
    harness = EntryHarness()
    harness.register("e-1", "e-2", "e-3", "e-4")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 10)
    harness.depart(opened.target)
    first = harness.find_effect(CopyRun)
    harness.handle(RunNotCopied(1, first.source, first.holder, "answered 503"))
    second = harness.find_effect(CopyRun)
    assert second.holder != first.holder


def test_a_copy_of_a_run_that_ended_meanwhile_is_freed() -> None:
    harness, opened = start_without_backup()
    harness.depart(opened.target)
    order = harness.find_effect(CopyRun)
    harness.handle(StreamEnded(opened.attempt))
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    assert harness.find_effect(DropCopy).copy.handle == "h-1"
    assert all(t.memory == 0 for t in harness.state.targets.targets.values())


def test_a_run_is_handed_over_once_its_holder_has_read_its_prompts() -> None:
    """Guards against a pause of a third of a second at a handover.

    A slow engine takes three times as long for each event while it reads a prompt. The
    run's own engine still generates for 1.5 seconds, so the handover waits, for a
    limited time, until the holder has read all prompts.
    """
    harness, opened = start_with_backup()
    holder = harness.state.targets.find(opened.backup)
    assert holder is not None
    holder.peer_reading = 3_000
    harness.depart(opened.target)
    assert harness.find_effects(OpenAttempt) == []
    harness.clock.advance(100)
    holder.peer_reading = 0
    harness.handle(Ticked())
    assert harness.find_effect(OpenAttempt).target == opened.backup


def test_a_run_does_not_wait_for_its_holder_until_its_engine_is_gone() -> None:
    harness, opened = start_with_backup()
    holder = harness.state.targets.find(opened.backup)
    assert holder is not None
    holder.peer_reading = 3_000
    harness.depart(opened.target)
    for _ in range(8):
        harness.send_pieces(opened.attempt, 11, 11)
        harness.clock.advance(100)
        harness.state.requests[1].delivered_at = harness.clock.now()
    harness.handle(Ticked())
    assert harness.find_effect(OpenAttempt).target == opened.backup


def test_a_young_run_waits_for_its_backup_to_arrive() -> None:
    """Guards against a plan lost just after its start.

    The engine leaves when its run has sent one event. The backup is updated several
    times a second; an early request to resume from it would be refused and would
    invalidate it.
    """
    harness = EntryHarness(moves=False)
    harness.register("e-1", "e-2", "e-3")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 1)
    harness.depart(opened.target)
    assert harness.find_effects(OpenAttempt) == []
    assert harness.find_effects(CopyRun) == []
    harness.clock.advance(BACKUP_ARRIVAL_DELAY)
    harness.send_pieces(opened.attempt, 2, 9)
    harness.handle(Ticked())
    assert harness.find_effect(OpenAttempt).target == opened.backup


def test_a_long_run_without_a_backup_is_copied_once_memory_is_free() -> None:
    """Guards against a plan lost with an engine that runs seven of them.

    All engines were full when its run began. If runs are copied only within the notice
    period, those of one engine queue on its link, and the last copies come too late.
    """
    harness, opened = start_without_backup()
    harness.handle(Ticked())
    order = harness.find_effect(CopyRun)
    assert order.source == opened.target
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    assert harness.actions == []
    harness.depart(opened.target)
    standby = harness.find_effect(OpenAttempt)
    assert standby.source == build_copy(opened.target, order.holder)


def test_one_run_of_an_engine_is_copied_at_a_time() -> None:
    harness = EntryHarness()
    harness.register("e-1")
    for _ in range(2):
        opened = harness.open_plan()
        harness.send_pieces(opened.attempt, 1, 10)
    harness.register("e-2", "e-3")
    harness.handle(Ticked())
    first = harness.find_effect(CopyRun)
    harness.handle(Ticked())
    assert harness.find_effects(CopyRun) == []
    harness.handle(RunCopied(first.number, build_copy(first.source, first.holder)))
    harness.handle(Ticked())
    assert harness.find_effect(CopyRun).number != first.number


def test_a_kept_copy_is_refreshed_before_it_is_dropped() -> None:
    harness, opened = start_without_backup()
    harness.handle(Ticked())
    order = harness.find_effect(CopyRun)
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    for _ in range(29):
        harness.clock.advance(100)
        harness.state.requests[1].delivered_at = harness.clock.now()
        harness.handle(Ticked())
        assert harness.find_effects(CopyRun) == []
    harness.clock.advance(100)
    harness.state.requests[1].delivered_at = harness.clock.now()
    harness.handle(Ticked())
    again = harness.find_effect(CopyRun)
    assert (again.source, again.holder) == (opened.target, order.holder)


def test_no_advance_copy_is_sent_over_a_link_in_use() -> None:
    """Guards against a plan lost although its engine gave notice.

    A new engine has joined, and all entries copy runs to it at once. A link carries one
    copy after another, so the copies of an engine that gives notice now would wait two
    seconds behind precautionary ones, and the engine would end before that.
    """
    harness, opened = start_without_backup()
    busy = PeerLoad(opened.target, 2, 8_000, outgoing=4_000)
    harness.handle(PeerHeard("entry-2", (busy,)))
    harness.handle(Ticked())
    assert harness.find_effects(CopyRun) == []
    harness.handle(PeerHeard("entry-2", (PeerLoad(opened.target, 2, 8_000),)))
    harness.handle(Ticked())
    assert harness.find_effect(CopyRun).source == opened.target


def test_a_copy_within_the_notice_uses_the_free_link() -> None:
    """Guards against a plan lost because its copy waits behind other copies.

    Both other engines have free memory, but the emptier one is already receiving three
    copies.
    """
    harness, opened = start_without_backup()
    loads = (PeerLoad("e-2", 0, 0, incoming=12_000), PeerLoad("e-3", 2, 8_000))
    harness.handle(PeerHeard("entry-2", loads))
    harness.depart(opened.target)
    assert harness.find_effect(CopyRun).holder == "e-3"


def test_a_copy_counts_on_its_links_until_it_is_made() -> None:
    harness, _ = start_without_backup()
    harness.handle(Ticked())
    order = harness.find_effect(CopyRun)
    source = harness.state.targets.targets[order.source]
    holder = harness.state.targets.targets[order.holder]
    assert source.outgoing_load == holder.incoming_load > 3_000
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    assert source.outgoing_load == holder.incoming_load == 0
    harness.clock.advance(3_000)
    harness.state.requests[1].delivered_at = harness.clock.now()
    harness.handle(Ticked())
    # A refresh of the copy transfers only what is new.
    assert harness.find_effect(CopyRun).holder == order.holder
    assert holder.incoming_load < 1_000
    harness.handle(RunNotCopied(1, order.source, order.holder, "answered 503"))
    assert source.outgoing_load == holder.incoming_load == 0


def test_a_busy_holder_is_waited_for_once_no_other_copy_can_be_made() -> None:
    """Guards against a plan lost although a complete copy of it exists.

    The holder is reading prompts and would resume later than a run may be open at two
    engines. Early in the notice period another copy is made. Late in it the run is
    closed at the leaving engine, and the holder resumes it.
    """
    for waited, kept in ((Millis(0), False), (LAST_COPY_ORDER_DELAY, True)):
        harness, opened = start_with_backup()
        harness.depart(opened.target)
        standby = harness.find_effect(OpenAttempt)
        target = harness.state.targets.targets[opened.target]
        target.left_at = Millis(harness.clock.now() - waited)
        harness.clock.advance(MAX_OVERLAP)
        harness.handle(Ticked())
        closed = opened.attempt if kept else standby.attempt
        assert harness.find_effect(CloseAttempt).attempt == closed


def test_a_run_that_ends_soon_is_not_copied() -> None:
    harness, _ = start_without_backup(output=200)
    harness.handle(Ticked())
    assert harness.find_effects(CopyRun) == []


def test_the_memory_of_a_copy_is_counted_once() -> None:
    harness, opened = start_without_backup()
    harness.handle(Ticked())
    order = harness.find_effect(CopyRun)
    holder = harness.state.targets.find(order.holder)
    assert holder is not None
    taken = holder.memory
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    harness.clock.advance(Millis(3_000))
    harness.state.requests[1].delivered_at = harness.clock.now()
    harness.handle(Ticked())
    assert holder.memory == taken
    harness.handle(StreamEnded(opened.attempt))
    assert holder.memory == 0
    assert harness.find_effect(DropCopy).copy.handle == "h-1"


def test_a_full_engine_is_tried_again_a_second_later() -> None:
    """Guards against a plan lost although free memory appeared for its copy.

    The only other engine is full when the run is copied in advance. Runs end there, and
    a second later it has free memory.
    """
    harness, _ = start_without_backup()
    harness.handle(Ticked())
    order = harness.find_effect(CopyRun)
    harness.depart("e-2" if order.holder == "e-3" else "e-3")
    harness.handle(RunNotCopied(1, order.source, order.holder, "answered 503"))
    harness.handle(Ticked())
    assert harness.find_effects(CopyRun) == []
    harness.clock.advance(1_000)
    harness.state.requests[1].delivered_at = harness.clock.now()
    harness.handle(Ticked())
    assert harness.find_effect(CopyRun).holder == order.holder


def test_a_full_engine_is_tried_again_within_the_notice() -> None:
    """Guards against a run lost although memory became free within its notice."""
    harness, opened = start_without_backup()
    harness.depart("e-3")
    harness.depart(opened.target)
    order = harness.find_effect(CopyRun)
    harness.handle(RunNotCopied(1, order.source, order.holder, "answered 503"))
    assert harness.find_effects(CopyRun) == []
    harness.clock.advance(300)
    harness.send_pieces(opened.attempt, 11, 14)
    harness.handle(Ticked())
    assert harness.find_effect(CopyRun).holder == order.holder


def test_advance_copies_are_dropped_where_memory_runs_out() -> None:
    """Guards against a pause of half a second because a run is preempted.

    A copy is kept at an engine that other entries have filled meanwhile.
    """
    harness, _ = start_without_backup()
    harness.handle(Ticked())
    order = harness.find_effect(CopyRun)
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    harness.handle(Ticked())
    assert harness.find_effects(DropCopy) == []
    harness.handle(PeerHeard("entry-2", (PeerLoad(order.holder, 9, 34_000),)))
    harness.handle(Ticked())
    assert harness.find_effect(DropCopy).copy.holder.target == order.holder
    assert harness.state.targets.targets[order.holder].memory == 0


def test_a_copy_is_not_dropped_while_its_run_needs_it() -> None:
    harness, opened = start_without_backup()
    harness.handle(Ticked())
    order = harness.find_effect(CopyRun)
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    harness.handle(PeerHeard("entry-2", (PeerLoad(order.holder, 9, 34_000),)))
    harness.depart(opened.target)
    harness.handle(Ticked())
    assert harness.find_effects(DropCopy) == []


def test_advance_copies_leave_free_memory_for_prompts() -> None:
    """Guards against callers refused for memory that precautionary copies hold.

    The engines are more than half full; a copy would raise their memory use above a
    fraction of 0.6.
    """
    harness, _ = start_without_backup()
    loads = (PeerLoad("e-2", 5, 18_000), PeerLoad("e-3", 5, 18_000))
    harness.handle(PeerHeard("entry-2", loads))
    harness.handle(Ticked())
    assert harness.find_effects(CopyRun) == []
    harness.handle(PeerHeard("entry-2", (PeerLoad("e-2", 5, 15_000),)))
    harness.handle(Ticked())
    assert harness.find_effects(CopyRun) != []


def test_while_a_prompt_waits_copies_are_kept_but_none_is_begun() -> None:
    """Guards against callers refused for a copy, and plans lost without one.

    Under load the copy of the first run is not refreshed, and it would be dropped when
    its time is up. Its engine leaves then.
    """
    harness, _ = start_without_backup()
    request = harness.state.requests[1]
    harness.state.queue.append(1)
    assert copies.order_proactive_copies(harness.state, harness.clock.now()) == []
    harness.state.queue.clear()
    harness.handle(Ticked())
    order = harness.find_effect(CopyRun)
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    harness.state.queue.append(1)
    harness.clock.advance(3_000)
    request.delivered_at = harness.clock.now()
    kept = copies.order_proactive_copies(harness.state, harness.clock.now())
    assert [one.holder for one in kept if isinstance(one, CopyRun)] == [order.holder]


def start_with_stale_copy() -> tuple[EntryHarness, CopyRun]:
    """Return an entry whose run has a stale copy as its engine leaves."""
    harness, _ = start_without_backup()
    harness.handle(Ticked())
    order = harness.find_effect(CopyRun)
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    harness.clock.advance(STALE_COPY_AGE)
    harness.depart(order.source)
    return harness, order


def test_a_stale_copy_is_refreshed_before_a_handover() -> None:
    """Guards against a pause of 250 ms while the holder regenerates missing events."""
    harness, order = start_with_stale_copy()
    assert harness.find_effect(CopyRun) == order
    assert harness.find_effects(OpenAttempt) == []
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    assert harness.find_effect(OpenAttempt).target == order.holder


def test_a_run_resumes_from_its_stale_copy_if_no_newer_one_can_be_made() -> None:
    """Guards against runs lost although a stale copy exists."""
    harness, order = start_with_stale_copy()
    harness.handle(RunNotCopied(1, order.source, order.holder, "answered 503"))
    assert harness.find_effect(OpenAttempt).source == build_copy(
        order.source, order.holder
    )


def test_a_run_resumes_from_its_stale_copy_if_the_newer_one_takes_too_long() -> None:
    """Guards against runs whose engine ends before their newer copy is made."""
    harness, order = start_with_stale_copy()
    harness.clock.advance(REFRESH_TIMEOUT)
    harness.handle(Ticked())
    assert harness.find_effect(OpenAttempt).source == build_copy(
        order.source, order.holder
    )


def test_a_fresh_copy_is_used_as_it_is() -> None:
    harness, _ = start_without_backup()
    harness.handle(Ticked())
    order = harness.find_effect(CopyRun)
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    harness.depart(order.source)
    assert harness.find_effect(OpenAttempt).target == order.holder


def start_in_two_domains() -> tuple[EntryHarness, OpenAttempt]:
    """Return a plan at e-1, with idle engines in its failure domain and another."""
    harness = EntryHarness()
    harness.register("e-1")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 10)
    harness.register("e-near")
    info = Registration("e-far", ENGINES, "e-far:80", "muc-b", 64, born=1)
    harness.handle(TargetRegistered(info))
    return harness, opened


def test_a_run_outlives_the_failure_domain_that_its_engine_is_in() -> None:
    """Guards against a run and its copy that are lost with one failure domain."""
    harness, opened = start_in_two_domains()
    harness.handle(Ticked())
    order = harness.find_effect(CopyRun)
    assert order.holder == "e-far"
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert harness.find_effect(OpenAttempt).target == "e-far"


def test_within_the_notice_a_copy_goes_where_it_arrives_first() -> None:
    """Guards against copies that arrive after their engine has ended."""
    harness, opened = start_in_two_domains()
    harness.depart(opened.target)
    assert harness.find_effect(CopyRun).holder == "e-near"


def start_with_ordered_copy() -> tuple[EntryHarness, OpenAttempt, CopyRun]:
    """Return an entry with a plan, its attempt, and the order that made its copy."""
    harness, opened = start_without_backup()
    harness.handle(Ticked())
    order = harness.find_effect(CopyRun)
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    return harness, opened, order


def register_restarted(harness: EntryHarness, name: str) -> None:
    """Register a later incarnation of an engine, at the same address."""
    info = Registration(name, ENGINES, f"{name}:80", "muc-a", 64, born=2)
    harness.handle(TargetRegistered(info))


def test_no_run_resumes_from_a_copy_whose_source_has_restarted() -> None:
    """Guards against a stream that goes on from a copy of another caller's run."""
    harness, opened, order = start_with_ordered_copy()
    register_restarted(harness, order.source)
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert harness.find_effects(OpenAttempt) == []
    assert harness.find_effects(BreakStream) != []


def test_no_run_resumes_from_a_copy_whose_holder_has_restarted() -> None:
    """Guards against a request to an engine that does not have the copy any more."""
    harness, opened, order = start_with_ordered_copy()
    register_restarted(harness, order.holder)
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert harness.find_effects(OpenAttempt) == []


def test_no_run_resumes_from_a_copy_whose_source_has_a_new_address() -> None:
    """Guards against a mixed stream where registrations do not state the start."""
    harness, opened, order = start_with_ordered_copy()
    info = Registration(order.source, ENGINES, "other:80", "muc-a", 64)
    harness.handle(TargetRegistered(info))
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert harness.find_effects(OpenAttempt) == []


def test_a_run_whose_source_ended_for_good_resumes_from_its_copy() -> None:
    """Guards against streams that are cut off although their copy can't be mistaken."""
    harness, opened, order = start_with_ordered_copy()
    harness.depart(order.source)
    standby = harness.find_effect(OpenAttempt)
    assert standby.source == build_copy(order.source, order.holder)
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    harness.send_pieces(standby.attempt, 11, 12)
    assert harness.find_effect(Deliver).data == b"id: 11\n\nid: 12\n\n"


def test_a_holder_is_not_blamed_for_an_outdated_copy() -> None:
    """Guards against an engine that is avoided for what the copy's source did."""
    harness, opened, order = start_with_ordered_copy()
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    standby = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(standby.attempt, Loss.OUTDATED_COPY))
    assert harness.find_effects(OpenAttempt) == []
    holder = harness.state.targets.targets[order.holder]
    assert (holder.consecutive_losses, holder.backoff_until) == (0, 0)
