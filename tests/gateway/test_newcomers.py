"""Tests of what an entry tells a process that has just started."""

from figstep.core.clock import Millis
from figstep.gateway import peers
from figstep.gateway.effects import OpenAttempt
from figstep.gateway.events import RateNamed
from figstep.gateway.newcomers import complete_message
from tests.gateway.worlds import BOOKINGS, EntryHarness


def test_a_new_process_learns_the_rates_that_are_in_force() -> None:
    """Guards against a restarted entry that sends a limited target all of its calls."""
    known, started = EntryHarness(), EntryHarness()
    known.state.node = "entry-2"
    for harness in (known, started):
        harness.register("b-1", service=BOOKINGS, slots=6)
    known.handle(RateNamed("b-1", 0.5, known.clock.now()))
    now = Millis(known.clock.now() + 8_000)
    started.clock.advance(8_000)
    message = peers.describe_entry(known.state, now)
    assert not message.rates
    started.handle(complete_message(known.state, message, now))
    opened = 0
    for _ in range(10):
        started.receive_request("/order/a")
        opened += len(started.find_effects(OpenAttempt))
    assert opened <= 2
