"""Reducer of the gateway: applies each event to the state."""

from figstep.core.clock import Millis
from figstep.gateway import (
    admission,
    brittleness,
    copies,
    crashes,
    departures,
    eligibility,
    ends,
    eras,
    evacuations,
    history,
    limits,
    origins,
    peers,
    reach,
    recovery,
    reports,
    requests,
    returns,
    sources,
    streams,
    token_counts,
    versions,
)
from figstep.gateway.effects import Effect, Note
from figstep.gateway.events import (
    AnswerArrived,
    AnswerBegan,
    AttemptConnected,
    AttemptLost,
    BrittlenessNamed,
    CallerGone,
    ConfigurationRead,
    EngineReported,
    EntriesCounted,
    EvacuationsRead,
    Event,
    HistoryRead,
    HistoryWritten,
    PeerHeard,
    PiecesArrived,
    PositionRead,
    PromptListed,
    RateNamed,
    ReadingPaused,
    RequestArrived,
    RestBegun,
    RunCopied,
    RunNotCopied,
    SettingsRead,
    ShutdownRequested,
    StoreLost,
    StoreRegained,
    StreamClosed,
    StreamConfirmed,
    StreamEnded,
    StreamOpened,
    StreamUnconfirmed,
    TargetChecked,
    TargetDeparted,
    TargetDown,
    TargetLeaving,
    TargetRegistered,
    TargetRestarted,
    TargetsListed,
    Ticked,
    VersionsRead,
    VersionsUnread,
)
from figstep.gateway.state import State, WaitingReturn
from figstep.gateway.targets import (
    Registration,
    Standing,
    Target,
    is_new_incarnation,
)

DEPARTED_RETENTION = Millis(30_000)
"""How long, in milliseconds, a departed target without open attempts is kept. A lapsed
registration comes back within seconds, and a log line may still name the target."""

LAPSE_GRACE = Millis(2_300)
"""How long, in milliseconds, a registration may be missing after an outage of the store
before its target is treated as departed. Running targets register again within two
seconds of the store's return, and dropping them would leave callers without any target
until then."""

MASS_LAPSE_GRACE = Millis(1_700)
"""How long, in milliseconds, registrations may be missing if most targets of a service
depart at once without a known outage of the store. If the targets are really gone, no
work may go there from two seconds after the store recorded their departure; the
remaining 0.3 s allow for the delay of that record."""


def reduce(state: State, event: Event, now: Millis) -> list[Effect]:
    """Apply one event to the state, which is changed in place.

    Returns:
        Effects that the edges have to perform, in order.
    """
    match event:
        case PiecesArrived():
            return streams.deliver_pieces(state, event, now)
        case AttemptConnected():
            return reach.handle_connected(state, event, now)
        case TargetChecked():
            return reach.handle_checked(state, event, now)
        case StreamOpened():
            return streams.handle_stream_opened(state, event)
        case StreamConfirmed():
            return streams.handle_stream_confirmed(state, event, now)
        case StreamUnconfirmed():
            return streams.handle_stream_unconfirmed(state, event, now)
        case RequestArrived():
            return requests.admit_request(state, event, now)
        case RestBegun():
            return streams.handle_rest_begun(state, event)
        case StreamClosed():
            return streams.handle_stream_closed(state, event)
        case StreamEnded():
            return ends.finish_stream(state, event, now)
        case AnswerBegan():
            return requests.begin_answer(state, event, now)
        case ReadingPaused():
            return streams.handle_reading_paused(state, event, now)
        case AnswerArrived():
            return requests.finish_answer(state, event, now)
        case AttemptLost():
            return ends.lose_attempt(state, event, now)
        case TargetDown():
            return recovery.handle_target_down(state, event, now)
        case CallerGone():
            return requests.drop_caller(state, event, now)
        case RunCopied():
            effects = copies.handle_copy_made(state, event, now)
            return effects + ends.ask_new_holder(state, event.number, now)
        case RunNotCopied():
            effects = copies.handle_copy_failed(state, event, now)
            return effects + ends.ask_new_holder(state, event.number, now)
        case PromptListed():
            token_counts.record_listed_prompt(state, event)
            return []
        case EngineReported():
            return reports.handle_report(state, event, now)
        case TargetRestarted():
            return departures.handle_restarted(state, event, now)
        case TargetLeaving(incarnation=incarnation):
            return departures.handle_leaving(state, incarnation, now)
        case RateNamed():
            return limits.handle_rate(state, event, now)
        case BrittlenessNamed():
            return brittleness.handle_brittleness(state, event, now)
        case ConfigurationRead():
            return _apply_configuration(state, event, now)
        case TargetRegistered(info=info):
            eras.drop_held(state, info.target)
            return [
                *_apply_registration(state, info, now),
                *copies.migrate_streams(state, now),
            ]
        case TargetDeparted():
            eras.drop_held(state, event.target)
            return _handle_departure(state, event, now)
        case TargetsListed():
            return _apply_target_list(state, event, now)
        case PositionRead(position=position):
            state.position = max(state.position, position)
            state.records_read_at = now
            return []
        case EvacuationsRead(evacuations=received):
            return evacuations.apply_evacuations(state, received, "store", now)
        case StoreLost():
            state.read_failed = True
            sources.update_store_state(state, now)
            return []
        case StoreRegained():
            state.read_failed = False
            sources.update_store_state(state, now)
            return []
        case HistoryRead():
            return history.apply_history(state, event, now)
        case HistoryWritten():
            effects = history.handle_written(state, event, now)
            return effects + streams.accept_recorded(state, now)
        case VersionsRead():
            history.apply_versions(state, event, now)
            effects = requests.admit_returns(
                state, returns.pop_answered(state), now, versions_read=True
            )
            return effects + returns.begin_read(state, now)
        case VersionsUnread():
            state.history.reading = False
            return _give_up_view(state, returns.pop_all(state), now)
        case PeerHeard():
            origins.apply_starts(state, event, now)
            return [
                *reach.handle_peer(state, event, now),
                *peers.handle_message(state, event, now),
                *evacuations.apply_evacuations(
                    state, event.evacuations, event.node, now
                ),
                *evacuations.apply_held_evacuations(
                    state, event.held_evacuations, event.node, now
                ),
                *departures.apply_leaving_reports(
                    state, event.leaving, event.node, now
                ),
                *limits.apply_rate_reports(state, event.rates, event.node, now),
                *brittleness.apply_reports(state, event, now),
            ]
        case EntriesCounted(entries=entries):
            state.entries = entries
            return []
        case Ticked():
            return _tick(state, now)
        case SettingsRead():
            state.budget.ratio = event.retry_ratio
            state.budget.allowance = event.retry_allowance
            state.budget.window = event.retry_window
            state.regions = event.regions
            return []
        case ShutdownRequested(until=until):
            state.closes_at = until
            return []


def _give_up_view(
    state: State, waiting: list[WaitingReturn], now: Millis
) -> list[Effect]:
    """Refuse the requests that have waited in vain for a read of the versions."""
    history.record_unread(state, now)
    return requests.admit_returns(state, waiting, now, versions_read=False)


def _apply_configuration(
    state: State, event: ConfigurationRead, now: Millis
) -> list[Effect]:
    table = event.table
    if state.table is not None and table.version <= state.table.version:
        # A peer may already have sent this version or a newer one. An older version
        # would let a dropped route or key work again.
        return []
    if state.table is not None:
        versions.record_moved_routes(state, state.table, table, now)
    state.table = table
    for request in state.requests.values():
        eligibility.update_allowed_regions(table, request)
    routes = sum(len(crash_effects) for crash_effects in table.routes.values())
    return [
        Note("configuration in force", {"version": table.version, "routes": routes})
    ]


def _apply_registration(state: State, info: Registration, now: Millis) -> list[Effect]:
    before = state.targets.find(info.target)
    standing = None if before is None else before.standing
    if departures.has_announced_leaving(state, info):
        return []
    crash_effects: list[Effect] = []
    if before is None or is_new_incarnation(before.info, info):
        crash_effects = crashes.record_successor(state, info, now)
    if before is not None and is_new_incarnation(before.info, info):
        versions.record_past_version(state, before.info, now)
    target = state.targets.record_registration(info, now)
    target.evacuated = info.failure_domain in state.evacuated_domains
    if info.draining:
        departures.record_draining(state, info, now)
    if target is not before:
        peers.recount_loads(state)
        versions.update_announced_services(state, now)
    if target is before and target.standing is standing:
        return []
    note = Note(
        "target registered",
        {
            "target": info.target,
            "service": info.service,
            "address": info.address,
            "born": info.born,
            "version": info.version,
            "standing": target.standing.value,
        },
    )
    return [note, *crash_effects]


def _handle_departure(state: State, event: TargetDeparted, now: Millis) -> list[Effect]:
    target = state.targets.find(event.target)
    if target is None or target.standing is not Standing.READY:
        # A departed target is missing from each further list that a peer sends. If
        # it were counted again, the next departure would look like a lapse of all
        # registrations, and prompts would go to an engine that leaves.
        return []
    if target.appears_unreachable:
        return _apply_departure(state, event.target, now)
    returning = state.store_unreachable or now < state.store_regained_at + LAPSE_GRACE
    if returning and not sources.was_store_available(state):
        until = Millis(state.store_regained_at + LAPSE_GRACE)
        return _defer_departure(state, target, until, now)
    if state.targets.is_mass_departure(event.target, now):
        return _defer_departure(state, target, Millis(now + MASS_LAPSE_GRACE), now)
    return _apply_departure(state, event.target, now)


def _defer_departure(
    state: State, target: Target, until: Millis, now: Millis
) -> list[Effect]:
    if not state.targets.defer_departure(target.name, until):
        return []
    fields: dict[str, str | int | float | None] = {
        "target": target.name,
        "service": target.info.service,
        "wait_ms": until - now,
        "store_unreachable": state.store_unreachable,
        "since_store_regained_ms": now - state.store_regained_at,
    }
    return [Note("departure deferred: the registration may have lapsed", fields)]


def _apply_departure(state: State, name: str, now: Millis) -> list[Effect]:
    target = state.targets.find(name)
    if target is None:
        return []
    crash_effects = crashes.record_departure(state, target, now)
    state.targets.record_departure(name, now)
    note = Note(
        "target departed",
        {"target": name, "service": target.info.service, "calls": target.calls},
    )
    return [note, *crash_effects, *copies.migrate_streams(state, now)]


def _apply_target_list(state: State, event: TargetsListed, now: Millis) -> list[Effect]:
    if event.position < state.position:
        # The list is a peer's copy, older than what this entry has read since.
        return []
    state.records_read_at = now
    effects = eras.record_list_position(state, event.position, now)
    listed = {info.target for info in event.registrations}
    effects.append(
        Note(
            "registrations read whole",
            {
                "era": event.position.era,
                "position": event.position.offset,
                "targets": len(listed),
            },
        )
    )
    believed, held_effects = eras.hold_stale(state, event.registrations, now)
    effects += held_effects
    for info in believed:
        effects += _apply_registration(state, info, now)
    for name in list(state.targets.targets):
        if name not in listed:
            effects += _handle_missing(state, name, now)
    return effects + copies.migrate_streams(state, now)


def _handle_missing(state: State, name: str, now: Millis) -> list[Effect]:
    """Handle a target that a list of all registrations lacks.

    In a copy that is some seconds old its registration may not be there yet.
    """
    target = state.targets.find(name)
    until = Millis(state.era_began_at + LAPSE_GRACE)
    if target is None or now >= until or target.appears_unreachable:
        return _handle_departure(state, TargetDeparted(name), now)
    if target.standing is not Standing.READY:
        return []
    return _defer_departure(state, target, until, now)


def _tick(state: State, now: Millis) -> list[Effect]:
    effects: list[Effect] = []
    for name in state.targets.pop_due_departures(now):
        effects += _apply_departure(state, name, now)
    for info in eras.pop_due(state, now):
        effects += _apply_registration(state, info, now)
    expired = returns.pop_expired(state, now)
    if expired:
        effects += _give_up_view(state, expired, now)
    effects += returns.begin_read(state, now)
    effects += evacuations.drop_expired(state, now)
    effects += requests.expire_requests(state, now)
    effects += reach.check_links(state, now)
    effects += copies.migrate_streams(state, now)
    effects += ends.end_unanswered(state, now)
    effects += streams.check_streams(state, now)
    effects += streams.drop_unrecorded(state, now)
    crashes.update_knowledge(state, now)
    effects += crashes.clear_written(state, now)
    effects += crashes.probe_again(state, now)
    effects += reports.query_engines(state, now)
    effects += copies.drop_copies_for_memory(state, now)
    effects += copies.order_proactive_copies(state, now)
    effects += recovery.abandon_silent_attempts(state, now)
    effects += requests.start_queued(state, now)
    effects += admission.describe_fleet(state, now)
    peers.expire_peers(state, now)
    sources.update_store_state(state, now)
    tells_starts = sources.lacks_store(state, now)
    if tells_starts != state.tells_starts:
        state.tells_starts = tells_starts
        versions.update_announced_services(state, now)
    effects += sources.catch_up(state, now)
    for removed in state.targets.remove_departed(now, DEPARTED_RETENTION):
        versions.record_past_version(state, removed.info, now)
    effects += history.check_awaited(state, now)
    effects += history.write_history(state, now)
    departures.remove_expired(state, now)
    state.crashes.remove_expired(now)
    state.refused.remove_expired(now)
    state.starts.remove_expired(now)
    return effects
