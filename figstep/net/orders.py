"""Service that sends orders to engines."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from mode import Service

from figstep.core.clock import Clock
from figstep.core.effects import SendOrder
from figstep.core.events import Event, OrderAnswered
from figstep.core.inventory import TargetInfo
from figstep.core.orders import (
    ORDER_TIMEOUT,
    LoadAdapter,
    LoadModel,
    Order,
    OrderOutcome,
    UnloadModel,
)
from figstep.net.connectors import ResetAwareConnector


def build_order(order: Order, fencing: int) -> dict[str, Any]:
    """Return the body of ``POST /orders``.

    The fencing number is that of the lease under which the order is sent.
    """
    match order:
        case LoadModel(model=model, version=version):
            wanted = {"kind": "load", "model": model, "version": version}
        case UnloadModel(model=model, version=version):
            wanted = {"kind": "unload", "model": model, "version": version}
        case LoadAdapter(model=model, adapter=adapter):
            wanted = {"kind": "adapter", "model": model, "adapter": adapter}
    return {**wanted, "fencing": fencing}


class OrderEdge(Service):
    """Sends each order once; the reducer repeats an order where needed."""

    def __init__(
        self,
        dispatch: Callable[[Event], None],
        find_target: Callable[[str], TargetInfo | None],
        clock: Clock,
    ) -> None:
        super().__init__()
        self._dispatch = dispatch
        self._find_target = find_target
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None
        self._sending: set[asyncio.Task[None]] = set()

    async def on_start(self) -> None:
        """Open the client session."""
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT / 1000)
        self._session = aiohttp.ClientSession(
            connector=ResetAwareConnector(), timeout=timeout
        )

    async def on_stop(self) -> None:
        """Cancel the orders that are being sent."""
        for task in self._sending:
            task.cancel()

    async def on_shutdown(self) -> None:
        """Close the client session, after ``on_stop`` has cancelled its users."""
        if self._session is not None:
            await self._session.close()

    def send_order(self, effect: SendOrder) -> None:
        """Start to send an order and dispatch ``OrderAnswered`` with its outcome.

        The outcome is APPLIED for status 200, STALE for 409 and UNCERTAIN for any other
        answer, for none, and if the order is not sent because its target is unknown or
        the lease is over.
        """
        task = asyncio.get_running_loop().create_task(self._send(effect))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _send(self, effect: SendOrder) -> None:
        outcome = await self._post(effect)
        self._dispatch(OrderAnswered(effect.number, outcome))

    async def _post(self, effect: SendOrder) -> OrderOutcome:
        target = self._find_target(effect.target)
        # The process may have been paused since the order was decided. An order
        # that is sent after the lease has expired would undo the next holder's
        # order on an engine that does not check fencing numbers.
        if target is None or self._clock.now() >= effect.until:
            return OrderOutcome.UNCERTAIN
        assert self._session is not None
        body = build_order(effect.order, effect.fencing)
        try:
            async with self._session.post(
                target.address + "/orders", json=body
            ) as response:
                if response.status == 409:
                    return OrderOutcome.STALE
                if response.status == 200:
                    return OrderOutcome.APPLIED
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.log.info("order not answered: %r", error)
        return OrderOutcome.UNCERTAIN
