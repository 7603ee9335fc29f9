"""HTTP listener for callers that answers malformed HTTP with problem documents."""

import asyncio
import ssl
from functools import partial

import logbook
from aiohttp import web

from figstep.core.problems import Problem
from figstep.errors import ListenError
from figstep.net.refusals import answer_errors, answer_problem, build_status_problem
from figstep.settings import Limits, Tls

_log = logbook.Logger("figstep.callers")

SHUTDOWN_SECONDS = 1.0
"""Maximum time that a closing listener waits for open requests, in seconds."""


class _CallerProtocol(web.RequestHandler):
    """Answers requests that the HTTP parser rejects with a problem document."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        # aiohttp would log the offending line, which may hold a customer's key.
        _log.info("malformed HTTP request", extra={"status": status})
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun; the connection is closed")
        response = answer_problem(_build_error_problem(status, exc))
        response.force_close()
        return response


class _CallerServer(web.Server):
    def __call__(self) -> web.RequestHandler:
        return _CallerProtocol(self, loop=self._loop, **self._kwargs)


class CallerRunner(web.AppRunner):
    """Runs an application whose connections use ``_CallerProtocol``."""

    async def _make_server(self) -> web.Server:
        # ``answer_errors`` wraps the whole application: a middleware would not see
        # requests that aiohttp rejects before it calls one, such as those with an
        # unknown Expect header.
        made = await super()._make_server()
        return _CallerServer(
            partial(answer_errors, handler=made.request_handler),
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
            loop=asyncio.get_running_loop(),
            **made._kwargs,
        )


def _build_error_problem(status: int, error: BaseException | None) -> Problem:
    if type(error).__name__ == "LineTooLong":
        return build_status_problem(431)
    return build_status_problem(status)


def build_runner(app: web.Application, limits: Limits) -> CallerRunner:
    """Return the runner of ``app``, with limits on callers' requests."""
    return CallerRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_SECONDS,
        keepalive_timeout=limits.idle_seconds,
        lingering_time=limits.body_seconds,
        max_line_size=limits.header_bytes,
        max_field_size=limits.header_bytes,
        max_headers=limits.headers,
    )


def build_tls(tls: Tls | None) -> ssl.SSLContext | None:
    """Return the TLS context for callers, or None for plain HTTP.

    Raises:
        ListenError: If the certificate and key files cannot be used.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(tls.certificate, tls.key)
    except OSError as error:
        raise ListenError(
            f"tls: {tls.certificate} and {tls.key} are no usable pair ({error});"
            " write paths of a PEM chain and its PEM key"
        ) from error
    return context
