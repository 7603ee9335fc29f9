"""Edge towards callers: OpenAI-compatible HTTP and plain services."""

import asyncio
import hashlib
from collections.abc import Callable
from typing import Any

import orjson
from aiohttp import web
from mode import Service
from pydantic import ValidationError

from figstep.core.events import CallerGone, CallerReturned, Event, RequestArrived
from figstep.core.inventory import CustomerInfo, Inventory
from figstep.core.problems import Problem
from figstep.core.specs import GenerationWork, RequestSpec, ServiceWork
from figstep.inventory import hash_key
from figstep.net.answers import assemble_answer
from figstep.net.bodies import ChatBody, CompletionBody, count_prompt_tokens
from figstep.net.exchanges import Exchange
from figstep.problems import build_document, build_headers, encode_problem
from figstep.settings import Settings, describe_errors

DONE = b"data: [DONE]\n\n"

_FORWARDED_HEADERS = ("Content-Type", "Accept", "Idempotency-Key")


class CallerEdge(Service):
    """HTTP server for callers and for health checks."""

    def __init__(
        self,
        settings: Settings,
        dispatch: Callable[[Event], None],
        exchanges: dict[str, Exchange],
        read_inventory: Callable[[], Inventory | None],
        read_status: Callable[[], dict[str, Any]],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._dispatch = dispatch
        self._exchanges = exchanges
        self._read_inventory = read_inventory
        self._read_status = read_status
        self._runner: web.AppRunner | None = None
        self._next_request = 1
        self._keys: dict[str, CustomerInfo] = {}
        self._keys_of: Inventory | None = None
        self.ready = True
        self.address = ""

    async def on_start(self) -> None:
        """Listen for callers."""
        app = web.Application(client_max_size=self._settings.limits.body_bytes)
        app.router.add_post("/v1/chat/completions", self._serve_generation)
        app.router.add_post("/v1/completions", self._serve_generation)
        app.router.add_get("/v1/models", self._list_models)
        app.router.add_route("*", "/services/{name}/{path:.*}", self._serve_service)
        app.router.add_get("/healthz", self._answer_health)
        app.router.add_get("/readyz", self._answer_readiness)
        app.router.add_get("/status", self._answer_status)
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=1.0
        )
        await self._runner.setup()
        listen = self._settings.callers
        await web.TCPSite(self._runner, listen.host, listen.port).start()
        bound = self._runner.addresses[0]
        self.address = f"http://{bound[0]}:{bound[1]}"

    async def on_stop(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer_health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _answer_readiness(self, request: web.Request) -> web.Response:
        ready = self.ready and self._read_inventory() is not None
        text = "ready\n" if ready else "not ready\n"
        return web.Response(text=text, status=200 if ready else 503)

    async def _answer_status(self, request: web.Request) -> web.Response:
        body = orjson.dumps(self._read_status())
        return web.Response(body=body, content_type="application/json")

    async def _list_models(self, request: web.Request) -> web.Response:
        customer = self._find_customer(request)
        if customer is None:
            return _answer_problem(_unknown_key())
        inventory = self._read_inventory() or Inventory()
        models = []
        for model in inventory.models:
            models.append(
                {"id": model.name, "object": "model", "created": 0, "owned_by": ""}
            )
        body = orjson.dumps({"object": "list", "data": models})
        return web.Response(body=body, content_type="application/json")

    def _find_customer(self, request: web.Request) -> CustomerInfo | None:
        inventory = self._read_inventory()
        if inventory is not self._keys_of:
            customers = inventory.customers if inventory else ()
            self._keys = {customer.key_hash: customer for customer in customers}
            self._keys_of = inventory
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            return None
        return self._keys.get(hash_key(key.strip()))

    def _new_request(self) -> str:
        number = self._next_request
        self._next_request += 1
        return f"{self._settings.node}-{number}"

    async def _serve_generation(self, request: web.Request) -> web.StreamResponse:
        customer = self._find_customer(request)
        if customer is None:
            return _answer_problem(_unknown_key())
        raw = await request.read()
        chat = request.path.endswith("/chat/completions")
        try:
            body = (ChatBody if chat else CompletionBody).model_validate_json(raw)
        except ValidationError as error:
            detail = "; ".join(describe_errors(error))
            return _answer_problem(Problem(400, "invalid_body", detail))
        inventory = self._read_inventory() or Inventory()
        if body.model not in {model.name for model in inventory.models}:
            detail = f"model {body.model!r} is not served; see GET /v1/models"
            return _answer_problem(Problem(404, "unknown_model", detail))
        document = orjson.loads(raw)
        document["stream"] = True
        spec = RequestSpec(
            request=self._new_request(),
            customer=customer.name,
            work=GenerationWork(
                model=body.model,
                prompt_tokens=count_prompt_tokens(body),
                max_tokens=body.read_limit(),
                kind="chat" if chat else "completion",
            ),
            stream=body.stream,
            priority=customer.priority,
            idempotency_key=request.headers.get("Idempotency-Key"),
            digest=_digest(request, raw),
        )
        exchange = Exchange(spec, "POST", request.path, {}, orjson.dumps(document))
        if body.stream:
            return await self._stream_answer(request, exchange)
        return await self._gather_answer(exchange, chat)

    async def _serve_service(self, request: web.Request) -> web.StreamResponse:
        customer = self._find_customer(request)
        if customer is None:
            return _answer_problem(_unknown_key())
        inventory = self._read_inventory() or Inventory()
        name = request.match_info["name"]
        if name not in {service.service for service in inventory.services}:
            detail = f"service {name!r} is not in the inventory; check its name"
            return _answer_problem(Problem(404, "unknown_service", detail))
        raw = await request.read()
        path = "/" + request.match_info["path"]
        spec = RequestSpec(
            request=self._new_request(),
            customer=customer.name,
            work=ServiceWork(name, request.method, path),
            stream=False,
            priority=customer.priority,
            idempotency_key=request.headers.get("Idempotency-Key"),
            digest=_digest(request, raw),
        )
        query = f"?{request.query_string}" if request.query_string else ""
        headers = {}
        for header in _FORWARDED_HEADERS:
            if header in request.headers:
                headers[header] = request.headers[header]
        exchange = Exchange(spec, request.method, path + query, headers, raw)
        await self._run_exchange(exchange)
        if exchange.problem is not None:
            return _answer_problem(exchange.problem)
        answer = exchange.answer
        assert answer is not None
        return web.Response(
            body=answer.body, status=answer.status, headers=answer.headers
        )

    async def _run_exchange(self, exchange: Exchange) -> None:
        self._begin(exchange, RequestArrived(exchange.spec))
        try:
            await exchange.wait_end()
        except asyncio.CancelledError:
            self._dispatch(CallerGone(exchange.spec.request))
            raise
        finally:
            del self._exchanges[exchange.spec.request]

    async def _gather_answer(self, exchange: Exchange, chat: bool) -> web.Response:
        await self._run_exchange(exchange)
        if exchange.problem is not None:
            return _answer_problem(exchange.problem)
        document = assemble_answer(exchange.take_frames(), chat)
        return web.Response(
            body=orjson.dumps(document), content_type="application/json"
        )

    def _begin(self, exchange: Exchange, event: Event) -> None:
        self._exchanges[exchange.spec.request] = exchange
        self._dispatch(event)

    async def _stream_answer(
        self, request: web.Request, exchange: Exchange
    ) -> web.StreamResponse:
        event = _read_return(request, exchange.spec)
        self._begin(exchange, event)
        try:
            return await self._write_stream(request, exchange)
        except (asyncio.CancelledError, ConnectionError):
            self._dispatch(CallerGone(exchange.spec.request))
            raise
        finally:
            del self._exchanges[exchange.spec.request]

    async def _write_stream(
        self, request: web.Request, exchange: Exchange
    ) -> web.StreamResponse:
        await exchange.wait()
        if exchange.problem is not None and not exchange.frames:
            return _answer_problem(exchange.problem)
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
        )
        await response.prepare(request)
        while True:
            frames = exchange.take_frames()
            if frames:
                await response.write(b"".join(frames))
                continue
            if exchange.ended:
                break
            await exchange.wait()
        if exchange.problem is not None:
            document = orjson.dumps(build_document(exchange.problem))
            await response.write(b"event: error\ndata: " + document + b"\n\n")
            return response
        await response.write(DONE)
        return response


def _read_return(request: web.Request, spec: RequestSpec) -> Event:
    last = request.headers.get("Last-Event-ID", "")
    generation, _, index = last.rpartition(":")
    if generation and index.isdigit():
        return CallerReturned(spec, generation, int(index))
    return RequestArrived(spec)


def _digest(request: web.Request, body: bytes) -> str:
    digest = hashlib.sha256(f"{request.method} {request.path_qs}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def _answer_problem(problem: Problem) -> web.Response:
    return web.Response(
        body=encode_problem(problem),
        status=problem.status,
        headers=build_headers(problem),
    )


def _unknown_key() -> Problem:
    detail = "no customer has this key; send it as 'Authorization: Bearer KEY'"
    return Problem(401, "unknown_key", detail)
