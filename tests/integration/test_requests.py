"""Tests of orders, crashes and silent connections with entries and stand-ins."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import urlsplit

import aiohttp
import orjson
import pytest

from figstep.demo import KEY, MODEL, Deployment, run_deployment
from figstep.metrics import MemoryMetrics
from figstep.net.exchanges import REPLAYED_HEADER
from figstep.net.log import HttpLog
from figstep.operations import publish_document
from figstep.standins.engine import EngineServer
from figstep.standins.proxy import TcpProxy
from tests.fleet import wait_for

HEADERS = {"Authorization": f"Bearer {KEY}"}


@asynccontextmanager
async def run_callers(deployment: Deployment) -> AsyncIterator["Callers"]:
    """Provide callers once all entries of a deployment have read the claims."""
    for entry in deployment.entries:
        await wait_for(
            lambda entry=entry: entry.entry_state.claims.caught_up, "claims are read"
        )
    async with aiohttp.ClientSession(headers=HEADERS) as session:
        yield Callers(deployment, session)


class Callers:
    """Sends orders and completion requests to the entries of a deployment."""

    def __init__(self, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._urls = [entry.callers.address for entry in deployment.entries]

    async def order(
        self, entry: int, key: str, body: str = "flour", method: str = "POST"
    ) -> tuple[int, dict[str, Any], bool]:
        """Send an order; return status, document and whether it was replayed."""
        async with self._session.request(
            method,
            self._urls[entry] + "/services/planning/orders",
            data=body,
            headers={"Idempotency-Key": key},
        ) as response:
            document = await response.json(content_type=None)
            return response.status, document, REPLAYED_HEADER in response.headers

    async def request_completion(self, entry: int, **fields: Any) -> tuple[int, str]:
        """Request a completion; return the status and text of the answer."""
        body = {"model": MODEL, "prompt": "menu", **fields}
        url = self._urls[entry] + "/v1/completions"
        async with self._session.post(url, json=body) as response:
            return response.status, await response.text()


def count(deployment: Deployment, entry: int, name: str) -> int:
    """Return the value of a counter of an entry."""
    metrics = deployment.entries[entry].metrics
    assert isinstance(metrics, MemoryMetrics)
    return metrics.counters.get(name, 0)


def find_running(deployment: Deployment) -> EngineServer | None:
    """Return the first engine that has started a generation, or None."""
    for engine in deployment.engines:
        if engine.executed:
            return engine
    return None


async def test_the_same_order_through_two_entries_is_executed_once() -> None:
    """A caller sends an order to both entries at once, and once more later.

    Both entries claim it, and the order of the claims in the log decides which one
    dispatches it. The other waits for the recorded outcome. All three answers must be
    the same.
    """
    async with run_deployment() as deployment, run_callers(deployment) as callers:
        deployment.service.delay = 0.2
        answers = await asyncio.gather(callers.order(0, "k"), callers.order(1, "k"))
        answers.append(await callers.order(1, "k"))
        assert {status for status, _, _ in answers} == {200}
        assert {document["number"] for _, document, _ in answers} == {1}
        assert sorted(replayed for _, _, replayed in answers) == [False, True, True]
        assert len(deployment.service.executed) == 1
        status, document, _ = await callers.order(0, "k", body="rice")
        assert (status, document["ran"]) == (422, "no")


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
async def test_an_order_whose_answer_is_lost_is_not_sent_again(method: str) -> None:
    """The service executes an order, but the connection breaks before its answer.

    Neither the entry, nor its HTTP client, nor another entry may send the order
    again. The caller and a duplicate must get the outcome "unknown".
    """
    async with run_deployment() as deployment, run_callers(deployment) as callers:
        deployment.document["rules"]["non_idempotent"][0]["method"] = None
        await publish_again(deployment)
        deployment.service.cut_answers = 1
        status, document, _ = await callers.order(0, "k", method=method)
        assert (status, document["ran"]) == (409, "unknown")
        status, document, _ = await callers.order(1, "k", method=method)
        assert (status, document["ran"]) == (409, "unknown")
        assert len(deployment.service.executed) == 1


async def test_an_order_that_the_service_refuses_is_tried_again() -> None:
    """A busy service refuses an order twice before it accepts it.

    A refused order did not run, so it may be sent again. Refusals must not be
    recorded as its outcome, and the caller must get the final answer.
    """
    async with run_deployment() as deployment, run_callers(deployment) as callers:
        deployment.service.refusals = [503, 429]
        status, document, _ = await callers.order(0, "k")
        assert (status, document["number"]) == (200, 1)
        assert len(deployment.service.executed) == 1


async def test_a_refusal_that_proves_nothing_is_not_tried_again() -> None:
    """A proxy before the service answers 503, possibly after forwarding the order.

    The inventory states that refusals of this service do not prove that a request
    did not run. So the order must not be sent again, and its caller must be told that
    it may have run.
    """
    async with run_deployment() as deployment, run_callers(deployment) as callers:
        deployment.document["services"][0]["refusals_not_run"] = False
        await publish_again(deployment)
        deployment.service.refusals = [503]
        status, document, _ = await callers.order(0, "k")
        assert (status, document["ran"]) == (409, "unknown")
        assert deployment.service.executed == []


async def publish_again(deployment: Deployment) -> None:
    """Publish the edited document of a deployment and wait until it is in force."""
    log = HttpLog(deployment.entries[0].settings.platform.log)
    offset = await publish_document(log, deployment.document, "demo", "edit")
    await log.close()
    for entry in deployment.entries:
        await wait_for(
            lambda entry=entry: entry.entry_state.configuration_offset >= offset,
            "the edit is in force",
        )


async def test_orders_wait_for_the_log_and_generations_do_not() -> None:
    """The log is down, so an entry cannot exclude a duplicate of an order.

    The order must be refused with "not run" and must not run, while generations
    continue. When the log is available again, the same key must be served.
    """
    async with run_deployment() as deployment, run_callers(deployment) as callers:
        deployment.log.available = False
        status, document, _ = await callers.order(0, "k")
        assert (status, document["ran"]) == (503, "no")
        assert (await callers.request_completion(0))[0] == 200
        assert deployment.service.executed == []
        deployment.log.available = True
        for entry in deployment.entries:
            await wait_for(
                lambda entry=entry: entry.entry_state.claims.caught_up,
                "claims are read again",
            )
        status, document, _ = await callers.order(1, "k")
        assert (status, document["number"]) == (200, 1)


async def test_an_answer_in_one_piece_survives_the_death_of_its_engine() -> None:
    """An engine crashes late in an answer that is not streamed.

    As the caller has received nothing yet, the request must be restarted on another
    engine, and the caller must get the complete answer.
    """
    async with run_deployment() as deployment, run_callers(deployment) as callers:
        task = asyncio.create_task(callers.request_completion(0, standin_length=50))
        await wait_for(lambda: find_running(deployment), "an engine runs it")
        engine = find_running(deployment)
        assert engine is not None
        state = deployment.entries[0].entry_state
        await wait_for(
            lambda: any(r.delivered > 20 for r in state.requests.values()),
            "most of the answer has come",
        )
        engine.crash()
        status, text = await task
        assert status == 200
        choice = orjson.loads(text)["choices"][0]
        assert len(choice["text"].split()) == 50
        assert choice["finish_reason"] == "stop"
        assert sum(len(engine.executed) for engine in deployment.engines) == 2


async def test_a_request_that_crashes_engines_is_finally_refused() -> None:
    """A request crashes each engine that runs it; other requests do not.

    After two crashes it must be refused without reaching the third engine, which
    continues to serve other requests.
    """
    async with run_deployment() as deployment, run_callers(deployment) as callers:
        status, text = await callers.request_completion(0, standin_crash_at=2)
        assert status == 422 and "request_quarantined" in text
        assert sum(engine.crashed for engine in deployment.engines) == 2
        status, text = await callers.request_completion(0, standin_crash_at=2)
        assert status == 422
        assert (await callers.request_completion(0))[0] == 200


async def test_a_frozen_connection_is_replaced_under_a_stream() -> None:
    """All open connections to an engine stay silent, while new ones work.

    As no connection is closed, the failure shows only as silence. A probe over a new
    connection must fetch the rest, the pool must be replaced, and the caller must
    notice no more than a pause.
    """
    async with run_deployment() as deployment, run_callers(deployment) as callers:
        proxies = {}
        for item in deployment.document["engines"]:
            parts = urlsplit(item["address"])
            proxy = TcpProxy(str(parts.hostname), int(parts.port or 0))
            await proxy.start()
            proxies[item["name"]] = proxy
            item["address"] = proxy.url
        await publish_again(deployment)
        task = asyncio.create_task(
            callers.request_completion(0, stream=True, standin_length=60)
        )
        await wait_for(lambda: find_running(deployment), "an engine runs it")
        state = deployment.entries[0].entry_state
        await wait_for(
            lambda: any(r.delivered > 10 for r in state.requests.values()),
            "some of the answer has come",
        )
        engine = find_running(deployment)
        assert engine is not None
        assert proxies[engine.name].freeze() > 0
        status, text = await task
        assert status == 200
        assert text.count("id: ") == 60
        assert text.endswith("data: [DONE]\n\n")
        assert count(deployment, 0, "pools.replaced") == 1
        assert len(engine.executed) == 1
        for proxy in proxies.values():
            await proxy.stop()


async def test_a_caller_that_leaves_does_not_undo_its_order() -> None:
    """A caller times out before the service answers, and sends its order again.

    The first order must continue without its caller, and the second must get the
    answer to the first.
    """
    async with run_deployment() as deployment, run_callers(deployment) as callers:
        deployment.service.delay = 0.5
        first = asyncio.create_task(callers.order(0, "k"))
        await wait_for(lambda: deployment.service.executed, "the order runs")
        first.cancel()
        status, document, replayed = await callers.order(0, "k")
        assert (status, document["number"], replayed) == (200, 1, True)
        assert len(deployment.service.executed) == 1
