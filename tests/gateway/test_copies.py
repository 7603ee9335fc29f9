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
    world = EntryHarness()
    world.register("e-1")
    world.arrive_plan(output=output)
    opened = world.find(OpenAttempt)
    assert opened.backup == ""
    world.send_pieces(opened.attempt, 1, 10)
    world.handle(Ticked())
    assert world.find_all(CopyRun) == []
    world.register("e-2", "e-3")
    return world, opened


def test_a_stream_goes_on_from_its_backup_when_its_engine_leaves() -> None:
    """The caller would lose its plan in mid-answer.

    The engine's registration vanishes; it is gone in 1.5 seconds. The backup's
    holder is opened beside it, and it is closed only once the holder delivers.
    What both send is delivered once.
    """
    world, opened = start_with_backup()
    world.depart(opened.target)
    standby = world.find(OpenAttempt)
    assert standby.target == opened.backup
    assert standby.source == RunCopy(opened.backup, opened.backup, "id-1")
    assert standby.after == 10
    world.send_pieces(opened.attempt, 11, 12)
    assert world.find(Deliver).data.endswith(b"id: 12\n\n")
    world.send_pieces(standby.attempt, 11, 14)
    assert world.find(CloseAttempt).attempt == opened.attempt
    assert world.find(Deliver).data == b"id: 13\n\nid: 14\n\n"


def test_a_backup_that_is_refused_leaves_the_run_where_it_is() -> None:
    world, opened = start_with_backup()
    world.depart(opened.target)
    standby = world.find(OpenAttempt)
    world.handle(AttemptLost(standby.attempt, Loss.REFUSED))
    assert world.find_all(BreakStream) == []
    world.send_pieces(opened.attempt, 11, 11)
    assert world.find(Deliver).data == b"id: 11\n\n"


def test_a_copy_that_its_holder_refuses_is_made_elsewhere() -> None:
    world, opened = start_without_backup()
    world.handle(Ticked())
    order = world.find(CopyRun)
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    world.depart(opened.target)
    standby = world.find(OpenAttempt)
    world.handle(AttemptLost(standby.attempt, Loss.REFUSED))
    assert world.find_all(BreakStream) == []
    world.send_pieces(opened.attempt, 11, 11)
    assert world.find(Deliver).data == b"id: 11\n\n"
    world.handle(Ticked())
    assert world.find(CopyRun).source == opened.target


def test_engines_that_copy_runs_on_order_keep_no_running_backups() -> None:
    """Callers would see pauses, or wait for room, for copies made just in case.

    Four engines carry sixteen runs. A running backup of each fills the memory
    that is left: prompts find no room, and runs that grow are preempted.
    """
    world = EntryHarness()
    world.register("e-1", "e-2", "e-3")
    assert world.open_plan().backup == ""
    without = EntryHarness(moves=False)
    without.register("e-1", "e-2", "e-3")
    assert without.open_plan().backup != ""


def test_a_run_without_a_backup_is_copied_in_the_notice() -> None:
    world = EntryHarness()
    world.register("e-1", "e-2", "e-3")
    opened = world.open_plan()
    world.send_pieces(opened.attempt, 1, 10)
    world.depart(opened.target)
    order = world.find(CopyRun)
    assert order.holder != opened.target
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    standby = world.find(OpenAttempt)
    assert standby.source == RunCopy(order.holder, opened.target, "h-1")


def test_a_copy_that_fails_is_tried_at_another_engine() -> None:
    world = EntryHarness()
    world.register("e-1", "e-2", "e-3", "e-4")
    opened = world.open_plan()
    world.send_pieces(opened.attempt, 1, 10)
    world.depart(opened.target)
    first = world.find(CopyRun)
    world.handle(RunNotCopied(1, first.source, first.holder, "answered 503"))
    second = world.find(CopyRun)
    assert second.holder != first.holder


def test_a_copy_of_a_run_that_ended_meanwhile_is_freed() -> None:
    world, opened = start_without_backup()
    world.depart(opened.target)
    order = world.find(CopyRun)
    world.handle(StreamEnded(opened.attempt))
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    assert world.find(DropCopy).copy.handle == "h-1"
    assert all(t.memory == 0 for t in world.state.targets.targets.values())


def test_a_run_goes_on_once_its_holder_has_read_its_prompts() -> None:
    """The caller would see a pause of a third of a second.

    A slow engine takes three times as long for each event while it reads a
    prompt. The run's own engine still generates for a second and a half, so
    the change-over waits until the holder has read all, but not for long.
    """
    world, opened = start_with_backup()
    holder = world.state.targets.find(opened.backup)
    assert holder is not None
    holder.peer_reading = 3_000
    world.depart(opened.target)
    assert world.find_all(OpenAttempt) == []
    world.clock.advance(100)
    holder.peer_reading = 0
    world.handle(Ticked())
    assert world.find(OpenAttempt).target == opened.backup


def test_a_run_does_not_wait_for_its_holder_until_its_engine_is_gone() -> None:
    world, opened = start_with_backup()
    holder = world.state.targets.find(opened.backup)
    assert holder is not None
    holder.peer_reading = 3_000
    world.depart(opened.target)
    for _ in range(8):
        world.send_pieces(opened.attempt, 11, 11)
        world.clock.advance(100)
        world.state.requests[1].delivered_at = world.clock.now()
    world.handle(Ticked())
    assert world.find(OpenAttempt).target == opened.backup


def test_a_young_run_waits_for_its_backup_to_arrive() -> None:
    """The caller would lose its plan just after its start.

    The engine leaves as its run has sent one event. A backup grows there
    several times a second; asked for at once it would be refused and spoiled.
    """
    world = EntryHarness(moves=False)
    world.register("e-1", "e-2", "e-3")
    opened = world.open_plan()
    world.send_pieces(opened.attempt, 1, 1)
    world.depart(opened.target)
    assert world.find_all(OpenAttempt) == []
    assert world.find_all(CopyRun) == []
    world.clock.advance(BACKUP_ARRIVAL_DELAY)
    world.send_pieces(opened.attempt, 2, 9)
    world.handle(Ticked())
    assert world.find(OpenAttempt).target == opened.backup


def test_a_long_run_without_a_backup_is_copied_once_there_is_room() -> None:
    """The caller would lose its plan with an engine that holds seven of them.

    All engines were full as its run began. Copied in the notice only, the runs
    of one engine queue on its link, and the last of them don't make it.
    """
    world, opened = start_without_backup()
    world.handle(Ticked())
    order = world.find(CopyRun)
    assert order.source == opened.target
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    assert world.actions == []
    world.depart(opened.target)
    standby = world.find(OpenAttempt)
    assert standby.source == RunCopy(order.holder, opened.target, "h-1")


def test_one_run_of_an_engine_is_copied_at_a_time() -> None:
    world = EntryHarness()
    world.register("e-1")
    for _ in range(2):
        opened = world.open_plan()
        world.send_pieces(opened.attempt, 1, 10)
    world.register("e-2", "e-3")
    world.handle(Ticked())
    first = world.find(CopyRun)
    world.handle(Ticked())
    assert world.find_all(CopyRun) == []
    world.handle(RunCopied(first.number, first.source, first.holder, "h-1"))
    world.handle(Ticked())
    assert world.find(CopyRun).number != first.number


def test_a_kept_copy_is_brought_up_to_date_before_it_is_dropped() -> None:
    world, opened = start_without_backup()
    world.handle(Ticked())
    order = world.find(CopyRun)
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    for _ in range(29):
        world.clock.advance(100)
        world.state.requests[1].delivered_at = world.clock.now()
        world.handle(Ticked())
        assert world.find_all(CopyRun) == []
    world.clock.advance(100)
    world.state.requests[1].delivered_at = world.clock.now()
    world.handle(Ticked())
    again = world.find(CopyRun)
    assert (again.source, again.holder) == (opened.target, order.holder)


def test_nothing_is_copied_ahead_over_a_link_in_use() -> None:
    """The caller would lose its plan although its engine gave notice.

    A new engine has come, and all entries copy runs to it at once. Links carry
    copies one after another: those of an engine whose notice comes then wait for
    two seconds behind copies made just in case, and it is gone before.
    """
    world, opened = start_without_backup()
    busy = PeerLoad(opened.target, 2, 8_000, outgoing=4_000)
    world.handle(PeerHeard("entry-2", (busy,)))
    world.handle(Ticked())
    assert world.find_all(CopyRun) == []
    world.handle(PeerHeard("entry-2", (PeerLoad(opened.target, 2, 8_000),)))
    world.handle(Ticked())
    assert world.find(CopyRun).source == opened.target


def test_a_copy_in_the_notice_goes_over_the_link_that_is_free() -> None:
    """The caller would lose its plan: its copy waits behind those of others.

    Both other engines have room, but the emptier one gets three copies already.
    """
    world, opened = start_without_backup()
    loads = (PeerLoad("e-2", 0, 0, incoming=12_000), PeerLoad("e-3", 2, 8_000))
    world.handle(PeerHeard("entry-2", loads))
    world.depart(opened.target)
    assert world.find(CopyRun).holder == "e-3"


def test_a_copy_counts_on_its_links_until_it_is_made() -> None:
    world, _ = start_without_backup()
    world.handle(Ticked())
    order = world.find(CopyRun)
    source = world.state.targets.targets[order.source]
    holder = world.state.targets.targets[order.holder]
    assert source.outgoing_load == holder.incoming_load > 3_000
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    assert source.outgoing_load == holder.incoming_load == 0
    world.clock.advance(3_000)
    world.state.requests[1].delivered_at = world.clock.now()
    world.handle(Ticked())
    # Brought up to date, it carries what is new only.
    assert world.find(CopyRun).holder == order.holder
    assert holder.incoming_load < 1_000
    world.handle(RunNotCopied(1, order.source, order.holder, "answered 503"))
    assert source.outgoing_load == holder.incoming_load == 0


def test_a_busy_holder_is_waited_for_once_no_other_copy_can_be_made() -> None:
    """The caller would lose its plan with a whole copy of it elsewhere.

    The holder reads prompts and takes longer to go on than the run may be open
    at both. Early in the notice another copy is made; late in it the run is
    ended at the engine that leaves, and the holder goes on with it.
    """
    for waited, kept in ((Millis(0), False), (LAST_COPY_ORDER_DELAY, True)):
        world, opened = start_with_backup()
        world.depart(opened.target)
        standby = world.find(OpenAttempt)
        target = world.state.targets.targets[opened.target]
        target.left_at = Millis(world.clock.now() - waited)
        world.clock.advance(MAX_OVERLAP)
        world.handle(Ticked())
        closed = opened.attempt if kept else standby.attempt
        assert world.find(CloseAttempt).attempt == closed


def test_a_run_that_ends_soon_is_not_copied() -> None:
    world, _ = start_without_backup(output=200)
    world.handle(Ticked())
    assert world.find_all(CopyRun) == []


def test_a_copy_takes_its_memory_once() -> None:
    world, opened = start_without_backup()
    world.handle(Ticked())
    order = world.find(CopyRun)
    holder = world.state.targets.find(order.holder)
    assert holder is not None
    taken = holder.memory
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    world.clock.advance(Millis(3_000))
    world.state.requests[1].delivered_at = world.clock.now()
    world.handle(Ticked())
    assert holder.memory == taken
    world.handle(StreamEnded(opened.attempt))
    assert holder.memory == 0
    assert world.find(DropCopy).copy.handle == "h-1"


def test_an_engine_without_room_is_asked_again_a_second_later() -> None:
    """The caller would lose its plan although its copy would have found room.

    The only other engine is full as the run is copied ahead. Runs end there,
    and a second later it has room.
    """
    world, _ = start_without_backup()
    world.handle(Ticked())
    order = world.find(CopyRun)
    world.depart("e-2" if order.holder == "e-3" else "e-3")
    world.handle(RunNotCopied(1, order.source, order.holder, "answered 503"))
    world.handle(Ticked())
    assert world.find_all(CopyRun) == []
    world.clock.advance(1_000)
    world.state.requests[1].delivered_at = world.clock.now()
    world.handle(Ticked())
    assert world.find(CopyRun).holder == order.holder


def test_a_full_engine_is_asked_again_within_the_notice() -> None:
    """Guards against a run lost in its notice though room came in time."""
    world, opened = start_without_backup()
    world.depart("e-3")
    world.depart(opened.target)
    order = world.find(CopyRun)
    world.handle(RunNotCopied(1, order.source, order.holder, "answered 503"))
    assert world.find_all(CopyRun) == []
    world.clock.advance(300)
    world.send_pieces(opened.attempt, 11, 14)
    world.handle(Ticked())
    assert world.find(CopyRun).holder == order.holder


def test_copies_made_ahead_yield_where_an_engine_runs_out_of_memory() -> None:
    """A caller would see a pause of half a second: its run is preempted.

    A copy is kept at an engine that other entries have filled meanwhile.
    """
    world, _ = start_without_backup()
    world.handle(Ticked())
    order = world.find(CopyRun)
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    world.handle(Ticked())
    assert world.find_all(DropCopy) == []
    world.handle(PeerHeard("entry-2", (PeerLoad(order.holder, 9, 34_000),)))
    world.handle(Ticked())
    assert world.find(DropCopy).copy.holder == order.holder
    assert world.state.targets.targets[order.holder].memory == 0


def test_a_copy_does_not_yield_while_its_run_needs_it() -> None:
    world, opened = start_without_backup()
    world.handle(Ticked())
    order = world.find(CopyRun)
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    world.handle(PeerHeard("entry-2", (PeerLoad(order.holder, 9, 34_000),)))
    world.depart(opened.target)
    world.handle(Ticked())
    assert world.find_all(DropCopy) == []


def test_copies_ahead_leave_room_for_prompts() -> None:
    """A caller would be refused for memory that a copy holds just in case.

    The engines are filled to half and more; a copy would bring them over 0.6.
    """
    world, _ = start_without_backup()
    loads = (PeerLoad("e-2", 5, 18_000), PeerLoad("e-3", 5, 18_000))
    world.handle(PeerHeard("entry-2", loads))
    world.handle(Ticked())
    assert world.find_all(CopyRun) == []
    world.handle(PeerHeard("entry-2", (PeerLoad("e-2", 5, 15_000),)))
    world.handle(Ticked())
    assert world.find_all(CopyRun) != []


def test_while_a_prompt_waits_copies_are_kept_but_none_is_begun() -> None:
    """A caller would be refused for a copy, or lose its plan for want of one.

    The copy of the first run is not renewed under load, and dropped as its time
    is up; its engine leaves then.
    """
    world, _ = start_without_backup()
    request = world.state.requests[1]
    world.state.queue.append(1)
    assert copies.order_proactive_copies(world.state, world.clock.now()) == []
    world.state.queue.clear()
    world.handle(Ticked())
    order = world.find(CopyRun)
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    world.state.queue.append(1)
    world.clock.advance(3_000)
    request.delivered_at = world.clock.now()
    kept = copies.order_proactive_copies(world.state, world.clock.now())
    assert [one.holder for one in kept if isinstance(one, CopyRun)] == [order.holder]


def start_with_old_copy() -> tuple[EntryHarness, CopyRun]:
    """Return a world whose run has a copy that has grown old, as its engine leaves."""
    world, _ = start_without_backup()
    world.handle(Ticked())
    order = world.find(CopyRun)
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    world.clock.advance(STALE_COPY_AGE)
    world.depart(order.source)
    return world, order


def test_an_old_copy_is_brought_up_to_date_before_a_change_over() -> None:
    """Guards against pauses of a quarter second, of what the copy lacks."""
    world, order = start_with_old_copy()
    assert world.find(CopyRun) == order
    assert world.find_all(OpenAttempt) == []
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    assert world.find(OpenAttempt).target == order.holder


def test_a_run_goes_on_from_its_old_copy_where_no_newer_one_can_be_made() -> None:
    """Guards against runs that are lost with a copy at hand."""
    world, order = start_with_old_copy()
    world.handle(RunNotCopied(1, order.source, order.holder, "answered 503"))
    assert world.find(OpenAttempt).source == RunCopy(order.holder, order.source, "h-1")


def test_a_run_goes_on_from_its_old_copy_where_the_newer_one_takes_too_long() -> None:
    """Guards against runs whose engine is gone before their newer copy is made."""
    world, order = start_with_old_copy()
    world.clock.advance(REFRESH_TIMEOUT)
    world.handle(Ticked())
    assert world.find(OpenAttempt).source == RunCopy(order.holder, order.source, "h-1")


def test_a_fresh_copy_is_used_as_it_is() -> None:
    world, _ = start_without_backup()
    world.handle(Ticked())
    order = world.find(CopyRun)
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    world.depart(order.source)
    assert world.find(OpenAttempt).target == order.holder


def start_in_two_domains() -> tuple[EntryHarness, OpenAttempt]:
    """Return a plan at e-1, with idle engines in its failure domain and another."""
    world = EntryHarness()
    world.register("e-1")
    opened = world.open_plan()
    world.send_pieces(opened.attempt, 1, 10)
    world.register("e-near")
    info = Registration("e-far", ENGINES, "e-far:80", "muc-b", 64, born=1)
    world.handle(TargetRegistered(info))
    return world, opened


def test_a_run_outlives_the_failure_domain_that_its_engine_is_in() -> None:
    """Guards against a run lost together with its copy in one failure domain."""
    world, opened = start_in_two_domains()
    world.handle(Ticked())
    order = world.find(CopyRun)
    assert order.holder == "e-far"
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    world.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert world.find(OpenAttempt).target == "e-far"


def test_in_the_notice_a_copy_goes_where_it_arrives_first() -> None:
    """Guards against copies that arrive after their engine has gone."""
    world, opened = start_in_two_domains()
    world.depart(opened.target)
    assert world.find(CopyRun).holder == "e-near"
