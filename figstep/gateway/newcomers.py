"""What an entry tells another one whose process has just started.

A process starts without what the one before it was told by targets and entries, most
of which is sent for some seconds only.
"""

from dataclasses import replace

from figstep.core.clock import Millis
from figstep.gateway.events import PeerHeard, RateReport
from figstep.gateway.state import State


def complete_message(state: State, message: PeerHeard, now: Millis) -> PeerHeard:
    """Return a message with all rates that are in force, whoever was told them."""
    known = {report.incarnation: report for report in message.rates}
    for report in _list_rates_in_force(state, now):
        known.setdefault(report.incarnation, report)
    return replace(message, rates=tuple(known.values()))


def _list_rates_in_force(state: State, now: Millis) -> list[RateReport]:
    reports = []
    for target in state.targets.targets.values():
        limit = target.limit
        if limit is None or not target.is_limited:
            continue
        age = Millis(now - limit.stated_at)
        reports.append(RateReport(target.info.incarnation, limit.rate, age, limit.turn))
    return reports
