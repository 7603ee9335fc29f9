"""The reducer: dispatches each event to its handler."""

from figstep.core import (
    configuration,
    links,
    lost_edits,
    membership,
    placement,
    records,
    recovery,
    requests,
    restoration,
    settlement,
    suspects,
    targets,
)
from figstep.core.clock import Millis
from figstep.core.effects import Effect, WakeAt
from figstep.core.events import (
    AppendConfirmed,
    AppendUncertain,
    AttemptAnswered,
    AttemptEnded,
    AttemptLost,
    AttemptRejected,
    AttemptTimer,
    CallerGone,
    CallerReturned,
    CheckpointOffered,
    ClaimTimer,
    ConfigurationRead,
    EraTimer,
    Event,
    FetchTimer,
    GossipReceived,
    GossipTimer,
    InstancesListed,
    LoadReported,
    OrderAnswered,
    OutcomeTimer,
    PeerListenerOpened,
    PlacementTimer,
    QueueTimer,
    RecordsRead,
    RequestArrived,
    RequestTimer,
    RestoreEditTimer,
    RestoreTimer,
    RetryTimer,
    ServiceAnswered,
    ShutdownForced,
    ShutdownRequested,
    SnapshotRead,
    SnapshotTimer,
    Started,
    StreamCaughtUp,
    StreamRestarted,
    StreamUnavailable,
    TargetDown,
    Timer,
    TimerFired,
    TokensArrived,
)
from figstep.core.state import State


def reduce(state: State, event: Event, now: Millis) -> list[Effect]:
    """Apply one event and return the effects for the edges to carry out, in order.

    The state is changed in place, and only here. ``now`` is the monotonic time.
    """
    match event:
        case TokensArrived():
            return recovery.forward_tokens(state, event, now)
        case AttemptAnswered():
            return recovery.handle_attempt_answered(state, event, now)
        case RequestArrived():
            return requests.admit_request(state, event, now)
        case AttemptEnded():
            return recovery.finish_attempt(state, event, now)
        case ServiceAnswered():
            return requests.complete_service_call(state, event, now)
        case AttemptLost():
            return recovery.recover_attempt(state, event, now)
        case TargetDown(target=target):
            return suspects.handle_target_down(state, target, now)
        case AttemptRejected():
            return requests.reject_attempt(state, event, now)
        case CallerGone():
            return requests.drop_caller(state, event, now)
        case CallerReturned():
            return requests.reattach_caller(state, event, now)
        case TimerFired(timer=timer):
            return _handle_timer(state, timer, now)
        case LoadReported():
            effects = links.record_connection(state, event.target, now)
            effects += suspects.detect_restart(state, event, now)
            effects += targets.record_load(state, event, now)
            return effects + membership.broadcast_leaving(state, event.target, now)
        case ConfigurationRead() | SnapshotRead() | CheckpointOffered():
            return _apply_configuration(state, event, now)
        case InstancesListed():
            return membership.record_instances(state, event, now)
        case GossipReceived():
            return membership.handle_gossip(state, event, now)
        case PeerListenerOpened():
            return membership.open_peers(state, event, now)
        case RecordsRead(stream=records.LEASES):
            return placement.apply_lease_records(state, event, now)
        case OrderAnswered():
            return placement.handle_answer(state, event, now)
        case RecordsRead():
            return settlement.apply_records(state, event, now)
        case AppendConfirmed():
            return settlement.handle_confirmed(state, event)
        case AppendUncertain():
            return settlement.handle_uncertain(state, event, now)
        case StreamCaughtUp(stream=records.CONFIGURATION):
            return lost_edits.handle_caught_up(state, now)
        case StreamCaughtUp():
            return restoration.handle_caught_up(state, event, now)
        case StreamRestarted(stream=records.LEASES):
            return placement.handle_restart(state)
        case StreamRestarted(stream=records.CLAIMS):
            return restoration.handle_restart(state, event, now)
        case StreamRestarted(era=era):
            return lost_edits.begin_era(state, era)
        case StreamUnavailable():
            return settlement.handle_unavailable(state, event)
        case Started():
            return [WakeAt(PlacementTimer(), now)]
        case ShutdownRequested():
            state.shutting_down = True
            return membership.broadcast_urgently(state, now)
        case ShutdownForced():
            return requests.abort_requests(state)


def _apply_configuration(
    state: State,
    event: ConfigurationRead | SnapshotRead | CheckpointOffered,
    now: Millis,
) -> list[Effect]:
    offset = state.configuration_offset
    match event:
        case ConfigurationRead():
            effects = configuration.fold_record(state, event, now)
        case SnapshotRead():
            effects = configuration.fold_snapshot(state, event, now)
        case CheckpointOffered():
            effects = configuration.apply_checkpoint(state, event.checkpoint, now)
    if state.configuration_offset > offset:
        effects += membership.broadcast_urgently(state, now)
    return effects


def _handle_timer(state: State, timer: Timer, now: Millis) -> list[Effect]:
    match timer:
        case QueueTimer():
            return requests.start_queued(state, now)
        case RequestTimer():
            return requests.expire_request(state, timer, now)
        case RetryTimer():
            return recovery.retry_request(state, timer, now)
        case ClaimTimer():
            return settlement.expire_claim(state, timer)
        case OutcomeTimer():
            return settlement.append_outcomes(state, now)
        case EraTimer():
            return restoration.begin_held(state, now)
        case RestoreTimer():
            return restoration.restore_lost(state, now)
        case RestoreEditTimer():
            return lost_edits.restore_edit(state, now)
        case PlacementTimer():
            return placement.run_round(state, now)
        case AttemptTimer():
            return recovery.check_attempt(state, timer, now)
        case SnapshotTimer():
            return configuration.renew_snapshot(state, now)
        case GossipTimer():
            return membership.run_period(state, now)
        case FetchTimer():
            return membership.fetch_document(state, now)
