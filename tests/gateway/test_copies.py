"""Tests of copies of running generations, and of going on from them."""

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
    RunCopy,
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
from tests.gateway.worlds import ENGINES, EntryHarness, start_with_backup


def start_without_backup(output: int = 900) -> tuple[EntryHarness, OpenAttempt]:
    """Return a world with a plan that found no room for a backup at its start."""
    harness = EntryHarness()
    harness.register("e-1")
    harness.receive_plan(output=output)
    opened = harness.find(OpenAttempt)
    assert opened.backup == ""
    harness.send_pieces(opened.attempt, 1, 10)
    harness.handle(Ticked())
    assert harness.find_effects(CopyRun) == []
    harness.register("e-2", "e-3")
    return harness, opened


def test_a_stream_resumes_from_its_backup_when_its_engine_leaves() -> None:
    """The caller would lose its plan in mid-answer.

    The engine's registration vanishes; it is gone in 1.5 seconds. The backup's
    holder is opened beside it, and it is closed only once the holder delivers.
    What both send is delivered once.
    """
    harness, opened = start_with_backup()
    harness.depart(opened.target)
    standby = harness.find(OpenAttempt)
    assert standby.target == opened.backup
    assert standby.source == RunCopy(opened.backup, opened.backup, "id-1")
    assert standby.after == 10
    harness.send_pieces(opened.attempt, 11, 12)
    assert harness.find(Deliver).data.endswith(b"id: 12\n\n")
    harness.send_pieces(standby.attempt, 11, 14)
    assert harness.find(CloseAttempt).attempt == opened.attempt
    assert harness.find(Deliver).data == b"id: 13\n\nid: 14\n\n"


def test_a_backup_that_is_refused_leaves_the_run_where_it_is() -> None:
    harness, opened = start_with_backup()
    harness.depart(opened.target)
    standby = harness.find(OpenAttempt)
    harness.handle(AttemptLost(standby.attempt, Loss.REFUSED))
    assert harness.find_effects(BreakStream) == []
    harness.send_pieces(opened.attempt, 11, 11)
    assert harness.find(Deliver).data == b"id: 11\n\n"


def test_a_copy_that_its_holder_refuses_is_made_elsewhere() -> None:
    harness, opened = start_without_backup()
    harness.handle(Ticked())
    order = harness.find(CopyRun)
    harness.handle(RunCopied(1, order.source, order.holder, "h-1"))
    harness.depart(opened.target)
    standby = harness.find(OpenAttempt)
    harness.handle(AttemptLost(standby.attempt, Loss.REFUSED))
    assert harness.find_effects(BreakStream) == []
    harness.send_pieces(opened.attempt, 11, 11)
    assert harness.find(Deliver).data == b"id: 11\n\n"
    harness.handle(Ticked())
    assert harness.find(CopyRun).source == opened.target


def test_engines_that_copy_runs_on_order_keep_no_running_backups() -> None:
    """Callers would see pauses, or wait for room, for copies made just in case.

    Four engines carry sixteen runs. A running backup of each fills the memory
    that is left: prompts find no room, and runs that grow are preempted.
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
    order = harness.find(CopyRun)
    assert order.holder != opened.target
    harness.handle(RunCopied(1, order.source, order.holder, "h-1"))
    standby = harness.find(OpenAttempt)
    assert standby.source == RunCopy(order.holder, opened.target, "h-1")


def test_a_copy_that_fails_is_tried_at_another_engine() -> None:
    harness = EntryHarness()
    harness.register("e-1", "e-2", "e-3", "e-4")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 10)
    harness.depart(opened.target)
    first = harness.find(CopyRun)
    harness.handle(RunNotCopied(1, first.source, first.holder, "answered 503"))
    second = harness.find(CopyRun)
    assert second.holder != first.holder


def test_a_copy_of_a_run_that_ended_meanwhile_is_freed() -> None:
    harness, opened = start_without_backup()
    harness.depart(opened.target)
    order = harness.find(CopyRun)
    harness.handle(StreamEnded(opened.attempt))
    harness.handle(RunCopied(1, order.source, order.holder, "h-1"))
    assert harness.find(DropCopy).copy.handle == "h-1"
    assert all(t.memory == 0 for t in harness.state.targets.targets.values())


def test_a_run_is_handed_over_once_its_holder_has_read_its_prompts() -> None:
    """The caller would see a pause of a third of a second.

    A slow engine takes three times as long for each event while it reads a
    prompt. The run's own engine still generates for a second and a half, so
    the change-over waits until the holder has read all, but not for long.
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
    assert harness.find(OpenAttempt).target == opened.backup


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
    assert harness.find(OpenAttempt).target == opened.backup


def test_a_young_run_waits_for_its_backup_to_arrive() -> None:
    """The caller would lose its plan just after its start.

    The engine leaves as its run has sent one event. A backup grows there
    several times a second; asked for at once it would be refused and spoiled.
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
    assert harness.find(OpenAttempt).target == opened.backup


def test_a_long_run_without_a_backup_is_copied_once_memory_is_free() -> None:
    """The caller would lose its plan with an engine that holds seven of them.

    All engines were full as its run began. Copied in the notice only, the runs
    of one engine queue on its link, and the last of them don't make it.
    """
    harness, opened = start_without_backup()
    harness.handle(Ticked())
    order = harness.find(CopyRun)
    assert order.source == opened.target
    harness.handle(RunCopied(1, order.source, order.holder, "h-1"))
    assert harness.actions == []
    harness.depart(opened.target)
    standby = harness.find(OpenAttempt)
    assert standby.source == RunCopy(order.holder, opened.target, "h-1")


def test_one_run_of_an_engine_is_copied_at_a_time() -> None:
    harness = EntryHarness()
    harness.register("e-1")
    for _ in range(2):
        opened = harness.open_plan()
        harness.send_pieces(opened.attempt, 1, 10)
    harness.register("e-2", "e-3")
    harness.handle(Ticked())
    first = harness.find(CopyRun)
    harness.handle(Ticked())
    assert harness.find_effects(CopyRun) == []
    harness.handle(RunCopied(first.number, first.source, first.holder, "h-1"))
    harness.handle(Ticked())
    assert harness.find(CopyRun).number != first.number


def test_a_kept_copy_is_refreshed_before_it_is_dropped() -> None:
    harness, opened = start_without_backup()
    harness.handle(Ticked())
    order = harness.find(CopyRun)
    harness.handle(RunCopied(1, order.source, order.holder, "h-1"))
    for _ in range(29):
        harness.clock.advance(100)
        harness.state.requests[1].delivered_at = harness.clock.now()
        harness.handle(Ticked())
        assert harness.find_effects(CopyRun) == []
    harness.clock.advance(100)
    harness.state.requests[1].delivered_at = harness.clock.now()
    harness.handle(Ticked())
    again = harness.find(CopyRun)
    assert (again.source, again.holder) == (opened.target, order.holder)


def test_no_advance_copy_is_sent_over_a_link_in_use() -> None:
    """The caller would lose its plan although its engine gave notice.

    A new engine has come, and all entries copy runs to it at once. Links carry
    copies one after another: those of an engine whose notice comes then wait for
    two seconds behind copies made just in case, and it is gone before.
    """
    harness, opened = start_without_backup()
    busy = PeerLoad(opened.target, 2, 8_000, outgoing=4_000)
    harness.handle(PeerHeard("entry-2", (busy,)))
    harness.handle(Ticked())
    assert harness.find_effects(CopyRun) == []
    harness.handle(PeerHeard("entry-2", (PeerLoad(opened.target, 2, 8_000),)))
    harness.handle(Ticked())
    assert harness.find(CopyRun).source == opened.target


def test_a_copy_within_the_notice_uses_the_free_link() -> None:
    """The caller would lose its plan: its copy waits behind those of others.

    Both other engines have room, but the emptier one gets three copies already.
    """
    harness, opened = start_without_backup()
    loads = (PeerLoad("e-2", 0, 0, incoming=12_000), PeerLoad("e-3", 2, 8_000))
    harness.handle(PeerHeard("entry-2", loads))
    harness.depart(opened.target)
    assert harness.find(CopyRun).holder == "e-3"


def test_a_copy_counts_on_its_links_until_it_is_made() -> None:
    harness, _ = start_without_backup()
    harness.handle(Ticked())
    order = harness.find(CopyRun)
    source = harness.state.targets.targets[order.source]
    holder = harness.state.targets.targets[order.holder]
    assert source.outgoing_load == holder.incoming_load > 3_000
    harness.handle(RunCopied(1, order.source, order.holder, "h-1"))
    assert source.outgoing_load == holder.incoming_load == 0
    harness.clock.advance(3_000)
    harness.state.requests[1].delivered_at = harness.clock.now()
    harness.handle(Ticked())
    # Brought up to date, it carries what is new only.
    assert harness.find(CopyRun).holder == order.holder
    assert holder.incoming_load < 1_000
    harness.handle(RunNotCopied(1, order.source, order.holder, "answered 503"))
    assert source.outgoing_load == holder.incoming_load == 0


def test_a_busy_holder_is_waited_for_once_no_other_copy_can_be_made() -> None:
    """The caller would lose its plan with a whole copy of it elsewhere.

    The holder reads prompts and takes longer to go on than the run may be open
    at both. Early in the notice another copy is made; late in it the run is
    ended at the engine that leaves, and the holder goes on with it.
    """
    for waited, kept in ((Millis(0), False), (LAST_COPY_ORDER_DELAY, True)):
        harness, opened = start_with_backup()
        harness.depart(opened.target)
        standby = harness.find(OpenAttempt)
        target = harness.state.targets.targets[opened.target]
        target.left_at = Millis(harness.clock.now() - waited)
        harness.clock.advance(MAX_OVERLAP)
        harness.handle(Ticked())
        closed = opened.attempt if kept else standby.attempt
        assert harness.find(CloseAttempt).attempt == closed


def test_a_run_that_ends_soon_is_not_copied() -> None:
    harness, _ = start_without_backup(output=200)
    harness.handle(Ticked())
    assert harness.find_effects(CopyRun) == []


def test_the_memory_of_a_copy_is_counted_once() -> None:
    harness, opened = start_without_backup()
    harness.handle(Ticked())
    order = harness.find(CopyRun)
    holder = harness.state.targets.find(order.holder)
    assert holder is not None
    taken = holder.memory
    harness.handle(RunCopied(1, order.source, order.holder, "h-1"))
    harness.clock.advance(Millis(3_000))
    harness.state.requests[1].delivered_at = harness.clock.now()
    harness.handle(Ticked())
    assert holder.memory == taken
    harness.handle(StreamEnded(opened.attempt))
    assert holder.memory == 0
    assert harness.find(DropCopy).copy.handle == "h-1"


def test_a_full_engine_is_tried_again_a_second_later() -> None:
    """The caller would lose its plan although its copy would have found room.

    The only other engine is full as the run is copied ahead. Runs end there,
    and a second later it has room.
    """
    harness, _ = start_without_backup()
    harness.handle(Ticked())
    order = harness.find(CopyRun)
    harness.depart("e-2" if order.holder == "e-3" else "e-3")
    harness.handle(RunNotCopied(1, order.source, order.holder, "answered 503"))
    harness.handle(Ticked())
    assert harness.find_effects(CopyRun) == []
    harness.clock.advance(1_000)
    harness.state.requests[1].delivered_at = harness.clock.now()
    harness.handle(Ticked())
    assert harness.find(CopyRun).holder == order.holder


def test_a_full_engine_is_tried_again_within_the_notice() -> None:
    """Guards against a run lost in its notice though room came in time."""
    harness, opened = start_without_backup()
    harness.depart("e-3")
    harness.depart(opened.target)
    order = harness.find(CopyRun)
    harness.handle(RunNotCopied(1, order.source, order.holder, "answered 503"))
    assert harness.find_effects(CopyRun) == []
    harness.clock.advance(300)
    harness.send_pieces(opened.attempt, 11, 14)
    harness.handle(Ticked())
    assert harness.find(CopyRun).holder == order.holder


def test_advance_copies_are_dropped_where_memory_runs_out() -> None:
    """A caller would see a pause of half a second: its run is preempted.

    A copy is kept at an engine that other entries have filled meanwhile.
    """
    harness, _ = start_without_backup()
    harness.handle(Ticked())
    order = harness.find(CopyRun)
    harness.handle(RunCopied(1, order.source, order.holder, "h-1"))
    harness.handle(Ticked())
    assert harness.find_effects(DropCopy) == []
    harness.handle(PeerHeard("entry-2", (PeerLoad(order.holder, 9, 34_000),)))
    harness.handle(Ticked())
    assert harness.find(DropCopy).copy.holder == order.holder
    assert harness.state.targets.targets[order.holder].memory == 0


def test_a_copy_is_not_dropped_while_its_run_needs_it() -> None:
    harness, opened = start_without_backup()
    harness.handle(Ticked())
    order = harness.find(CopyRun)
    harness.handle(RunCopied(1, order.source, order.holder, "h-1"))
    harness.handle(PeerHeard("entry-2", (PeerLoad(order.holder, 9, 34_000),)))
    harness.depart(opened.target)
    harness.handle(Ticked())
    assert harness.find_effects(DropCopy) == []


def test_advance_copies_leave_free_memory_for_prompts() -> None:
    """A caller would be refused for memory that a copy holds just in case.

    The engines are filled to half and more; a copy would bring them over 0.6.
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
    """A caller would be refused for a copy, or lose its plan for want of one.

    The copy of the first run is not renewed under load, and dropped as its time
    is up; its engine leaves then.
    """
    harness, _ = start_without_backup()
    request = harness.state.requests[1]
    harness.state.queue.append(1)
    assert copies.order_proactive_copies(harness.state, harness.clock.now()) == []
    harness.state.queue.clear()
    harness.handle(Ticked())
    order = harness.find(CopyRun)
    harness.handle(RunCopied(1, order.source, order.holder, "h-1"))
    harness.state.queue.append(1)
    harness.clock.advance(3_000)
    request.delivered_at = harness.clock.now()
    kept = copies.order_proactive_copies(harness.state, harness.clock.now())
    assert [one.holder for one in kept if isinstance(one, CopyRun)] == [order.holder]


def start_with_stale_copy() -> tuple[EntryHarness, CopyRun]:
    """Return a world whose run has a copy that has grown old, as its engine leaves."""
    harness, _ = start_without_backup()
    harness.handle(Ticked())
    order = harness.find(CopyRun)
    harness.handle(RunCopied(1, order.source, order.holder, "h-1"))
    harness.clock.advance(STALE_COPY_AGE)
    harness.depart(order.source)
    return harness, order


def test_a_stale_copy_is_refreshed_before_a_handover() -> None:
    """Guards against pauses of a quarter second, of what the copy lacks."""
    harness, order = start_with_stale_copy()
    assert harness.find(CopyRun) == order
    assert harness.find_effects(OpenAttempt) == []
    harness.handle(RunCopied(1, order.source, order.holder, "h-1"))
    assert harness.find(OpenAttempt).target == order.holder


def test_a_run_resumes_from_its_stale_copy_if_no_newer_one_can_be_made() -> None:
    """Guards against runs that are lost with a copy at hand."""
    harness, order = start_with_stale_copy()
    harness.handle(RunNotCopied(1, order.source, order.holder, "answered 503"))
    assert harness.find(OpenAttempt).source == RunCopy(
        order.holder, order.source, "h-1"
    )


def test_a_run_resumes_from_its_stale_copy_if_the_newer_one_takes_too_long() -> None:
    """Guards against runs whose engine is gone before their newer copy is made."""
    harness, order = start_with_stale_copy()
    harness.clock.advance(REFRESH_TIMEOUT)
    harness.handle(Ticked())
    assert harness.find(OpenAttempt).source == RunCopy(
        order.holder, order.source, "h-1"
    )


def test_a_fresh_copy_is_used_as_it_is() -> None:
    harness, _ = start_without_backup()
    harness.handle(Ticked())
    order = harness.find(CopyRun)
    harness.handle(RunCopied(1, order.source, order.holder, "h-1"))
    harness.depart(order.source)
    assert harness.find(OpenAttempt).target == order.holder


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
    """Guards against a run lost together with its copy in one failure domain."""
    harness, opened = start_in_two_domains()
    harness.handle(Ticked())
    order = harness.find(CopyRun)
    assert order.holder == "e-far"
    harness.handle(RunCopied(1, order.source, order.holder, "h-1"))
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert harness.find(OpenAttempt).target == "e-far"


def test_within_the_notice_a_copy_goes_where_it_arrives_first() -> None:
    """Guards against copies that arrive after their engine has gone."""
    harness, opened = start_in_two_domains()
    harness.depart(opened.target)
    assert harness.find(CopyRun).holder == "e-near"
