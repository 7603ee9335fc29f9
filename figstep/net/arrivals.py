"""Conversion of callers' HTTP requests into specs and exchanges."""

import asyncio
import hashlib
import os
from typing import Any

import orjson
from aiohttp import web
from pydantic import ValidationError

from figstep.core.clock import Clock, Millis
from figstep.core.inventory import CustomerInfo, Inventory
from figstep.core.problems import Problem
from figstep.core.specs import GenerationWork, RequestSpec, ServiceWork, Work
from figstep.errors import RefusedError
from figstep.net.bodies import ChatBody, CompletionBody, count_prompt_tokens
from figstep.net.buffers import (
    BufferTable,
    ExchangeBuffer,
    RequestBody,
    read_request_body,
)
from figstep.net.exchanges import Exchange
from figstep.net.headers import CallerHeaders
from figstep.settings import Limits, describe_errors

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"

_FORWARDED_HEADERS = ("Content-Type", "Accept", "Idempotency-Key")


class RequestReader:
    """Validates HTTP requests and converts them into exchanges."""

    def __init__(self, node: str, limits: Limits, clock: Clock) -> None:
        # A new process with the same node name must not reuse an id: the log and
        # the targets may still hold the earlier one.
        self._prefix = f"{node}-{os.urandom(4).hex()}"
        self._limits = limits
        self._clock = clock
        self._next_request = 1

    async def read_body(
        self, request: web.Request, buffer: ExchangeBuffer, table: BufferTable
    ) -> RequestBody:
        """Return the body of a request, whose bytes are counted in ``buffer``.

        Raises:
            HTTPRequestEntityTooLarge: If the body is longer than ``body_bytes``.
            RefusedError: If the body takes longer than ``body_seconds``, or outgrows
                the budget of buffered bytes.
        """
        try:
            async with asyncio.timeout(self._limits.body_seconds):
                return await read_request_body(
                    request, buffer, table, self._limits.body_bytes
                )
        except TimeoutError as error:
            detail = (
                f"the body took longer than {self._limits.body_seconds:g} s;"
                " send it faster or send less"
            )
            raise RefusedError(Problem(408, "body_too_slow", detail)) from error

    def read_generation(
        self,
        request: web.Request,
        raw: RequestBody,
        headers: CallerHeaders,
        customer: CustomerInfo,
        inventory: Inventory,
    ) -> Exchange:
        """Return the exchange of a request for a generation.

        Raises:
            RefusedError: If the body or a header is invalid, or the model is not
                served.
        """
        chat = request.path == CHAT_PATH
        document, body = _parse_body(raw.join(), chat)
        if body.model not in {model.name for model in inventory.models}:
            detail = f"model {body.model!r} is not served; see GET /v1/models"
            raise RefusedError(Problem(404, "unknown_model", detail))
        if headers.last_event is not None and not body.stream:
            detail = "Last-Event-ID: only a stream can be resumed; set stream to true"
            raise RefusedError(Problem(400, "invalid_header", detail))
        work = GenerationWork(
            model=body.model,
            prompt_tokens=count_prompt_tokens(body),
            max_tokens=body.get_max_tokens(),
            kind="chat" if chat else "completion",
        )
        stream = bool(body.stream)
        spec = self._build_spec(request, raw, headers, customer, work, stream)
        document["stream"] = True
        sent = RequestBody(orjson.dumps(document))
        return Exchange(spec, "POST", request.path, {}, sent, self._limits.answer_bytes)

    def read_call(
        self,
        request: web.Request,
        raw: RequestBody,
        headers: CallerHeaders,
        customer: CustomerInfo,
        inventory: Inventory,
    ) -> Exchange:
        """Return the exchange of a call to a plain service.

        Raises:
            RefusedError: If the service is not in the inventory.
        """
        name = request.match_info["name"]
        if name not in {service.service for service in inventory.services}:
            detail = f"service {name!r} is not in the inventory; check its name"
            raise RefusedError(Problem(404, "unknown_service", detail))
        path = "/" + request.match_info["path"]
        work = ServiceWork(name, request.method, path)
        spec = self._build_spec(request, raw, headers, customer, work)
        forwarded = {}
        for header in _FORWARDED_HEADERS:
            if header in request.headers:
                forwarded[header] = request.headers[header]
        # The raw path keeps the caller's percent-encoding for the target.
        raw_path = request.rel_url.raw_path_qs.removeprefix(f"/services/{name}")
        return Exchange(spec, request.method, raw_path, forwarded, raw)

    def _build_spec(
        self,
        request: web.Request,
        raw: RequestBody,
        headers: CallerHeaders,
        customer: CustomerInfo,
        work: Work,
        stream: bool = False,
    ) -> RequestSpec:
        number = self._next_request
        self._next_request += 1
        deadline = None
        if headers.deadline is not None:
            deadline = Millis(self._clock.now() + headers.deadline)
        return RequestSpec(
            request=f"{self._prefix}-{number}",
            customer=customer.name,
            work=work,
            stream=stream,
            priority=customer.priority,
            deadline=deadline,
            idempotency_key=headers.idempotency_key,
            non_idempotent=headers.non_idempotent,
            digest=digest_request(request.method, request.path_qs, raw),
        )


def _parse_body(
    raw: bytes, chat: bool
) -> tuple[dict[str, Any], ChatBody | CompletionBody]:
    try:
        document = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        detail = f"the body is not JSON ({error}); send one JSON object"
        raise RefusedError(Problem(400, "invalid_json", detail)) from error
    try:
        body = (ChatBody if chat else CompletionBody).model_validate(document)
    except ValidationError as error:
        detail = "; ".join(describe_errors(error))
        raise RefusedError(Problem(400, "invalid_body", detail)) from error
    return document, body


def digest_request(method: str, path: str, body: RequestBody) -> str:
    """Return the SHA-256 of method, path and body of a request, in hexadecimal.

    The path includes its query; the body is the one that the caller sent.
    """
    digest = hashlib.sha256(f"{method} {path}\n".encode())
    for part in body:
        digest.update(part)
    return digest.hexdigest()
