"""Tests of the gateway's event loop."""

import random
from unittest.mock import create_autospec

import pytest

from figstep.core.clock import ManualClock, Millis
from figstep.core.problems import Ran
from figstep.gateway import application
from figstep.gateway.application import Gateway
from figstep.gateway.budgets import RetryBudget
from figstep.gateway.edges import CallerPort, PeerPort, TargetPort
from figstep.gateway.events import Event, RequestArrived, RoutedRequest, Ticked
from figstep.gateway.measures import GatewayMeasures
from figstep.gateway.state import State


def build_gateway() -> Gateway:
    """Return a gateway with mock ports in place of callers, targets and peers."""
    budget = RetryBudget(0.2, 10.0, Millis(10_000))
    state = State("entry-1", "muc-a", random.Random(1), budget)
    gateway = Gateway(state, ManualClock(0), GatewayMeasures())
    gateway.callers = create_autospec(CallerPort, instance=True)
    gateway.targets = create_autospec(TargetPort, instance=True)
    gateway.peers = create_autospec(PeerPort, instance=True)
    return gateway


def test_an_event_that_fails_ends_neither_the_timer_nor_its_caller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that hang after an event with an unexpected error.

    A request makes the reducer fail. Its caller gets an answer at once, the failure is
    counted, and later events are handled normally.
    """
    gateway = build_gateway()

    def fail(state: State, event: Event, now: Millis) -> list[object]:
        raise RuntimeError("not thought of")

    with monkeypatch.context() as broken:
        broken.setattr(application, "reduce", fail)
        request = RoutedRequest(7, "id-7", "POST", "host", "/")
        gateway.dispatch(RequestArrived(request))
        gateway.dispatch(Ticked())
    number, problem = gateway.callers.refuse.call_args.args  # type: ignore[attr-defined]
    assert (number, problem.status, problem.ran) == (7, 500, Ran.UNKNOWN)
    text = gateway.measures.render().decode()
    assert 'figstep_failed_events_total{event="RequestArrived"} 1.0' in text
    assert 'figstep_failed_events_total{event="Ticked"} 1.0' in text
    gateway.dispatch(RequestArrived(RoutedRequest(8, "id-8", "POST", "host", "/")))
    assert gateway.callers.refuse.call_args.args[1].status == 503  # type: ignore[attr-defined]
