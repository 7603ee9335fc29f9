"""Tests of how entries divide the rate of a target."""

from figstep.gateway import shares
from tests.gateway.test_warmups import DOMAINS, RATE, build_cold_fleet
from tests.gateway.worlds import BOOKINGS


def test_a_share_is_whole_and_shares_add_up() -> None:
    """Guards against shares below one request, with which no entry may send any."""
    fleet = build_cold_fleet(79)
    now = fleet[0].clock.now()
    for target in ("b-1", "b-2", "b-3"):
        split = [
            shares.share_requests(harness.state, BOOKINGS, target, RATE, now)
            for harness in fleet
        ]
        assert RATE - len(DOMAINS) <= sum(split) <= RATE
