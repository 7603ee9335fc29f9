"""What an entry tells another one whose process has just started.

A process starts without what the one before it was told by targets and entries, most
of which is sent for some seconds only.
"""

from dataclasses import replace

from figstep.core.clock import Millis
from figstep.gateway import versions
from figstep.gateway.events import PeerHeard, RateReport
from figstep.gateway.state import State
from figstep.gateway.targets import Incarnation

DEPARTURE_REPORT_DURATION = Millis(60_000)
"""How long, in milliseconds, new processes are told that a target leaves. A copy of the
store is some seconds old at most, and targets end soon after they said so."""


def complete_message(state: State, message: PeerHeard, now: Millis) -> PeerHeard:
    """Return a message with what a new process can't learn from later messages.

    These are all rates in force, whoever was told them, the starts of this entry's
    streams and of all whose version is not known, the software versions that targets
    had until recently and those on record, and the departures and evacuations that an
    older copy of the store may lack. An entry of the same failure domain, or of a small
    fleet, is told what past processes have used of the retry budget, its own among
    them.
    """
    past_uses = state.past_uses.report(state.budget.window, now)
    known = {report.incarnation: report for report in message.rates}
    for report in _list_rates_in_force(state, now):
        known.setdefault(report.incarnation, report)
    return replace(
        message,
        rates=tuple(known.values()),
        starts=state.starts.list_for_newcomer(),
        past_versions=versions.list_past_versions(state, now),
        knows_versions=versions.is_history_known(state, now),
        recorded=tuple(sorted(state.history.confirmed)),
        leaving=tuple(sorted({*message.leaving, *_list_departures(state, now)})),
        held_evacuations=tuple(sorted(state.held_evacuations)),
        past_uses=() if message.far else past_uses,
    )


def _list_departures(state: State, now: Millis) -> list[Incarnation]:
    return [
        incarnation
        for incarnation, departure in state.departures.items()
        if now - departure.at < DEPARTURE_REPORT_DURATION
    ]


def _list_rates_in_force(state: State, now: Millis) -> list[RateReport]:
    reports = []
    for target in state.targets.targets.values():
        limit = target.limit
        if limit is None or not target.is_limited:
            continue
        age = Millis(now - limit.stated_at)
        reports.append(RateReport(target.info.incarnation, limit.rate, age, limit.turn))
    return reports
