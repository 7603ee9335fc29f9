"""Problem documents for all error answers of the listener."""

import asyncio
import http
from collections.abc import Awaitable, Callable

import logbook
from aiohttp import web

from figstep.core.problems import Problem, Ran
from figstep.errors import RefusedError
from figstep.problems import build_headers, encode_problem

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_log = logbook.Logger("figstep.callers")

_DETAILS = {
    400: "this is not a valid HTTP/1.1 request; check its request line and headers",
    417: "this expectation is not known; send 'Expect: 100-continue' or none",
    404: "nothing is served at this path; see POST /v1/chat/completions,"
    " POST /v1/completions, GET /v1/models and /services/NAME/...",
    405: "this path does not take this method; use one of those in Allow",
    413: "the body is too large; send a shorter one",
    431: "the headers are too large; send fewer and shorter ones",
}


def answer_problem(problem: Problem) -> web.Response:
    """Return the response that reports a problem to a caller."""
    return web.Response(
        body=encode_problem(problem),
        status=problem.status,
        headers=build_headers(problem),
    )


def build_status_problem(status: int) -> Problem:
    """Return the problem of a request that aiohttp rejected with an HTTP status.

    Raises:
        ValueError: If the status is not a registered HTTP status.
    """
    phrase = http.HTTPStatus(status).phrase
    detail = _DETAILS.get(status, f"{phrase}; mend the request and send it again")
    return Problem(status, phrase.lower().replace(" ", "_"), detail)


async def answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Run a handler and convert its errors into problem documents.

    Raises:
        ConnectionError: If the handler fails after its answer has begun, or the
            connection breaks.
        asyncio.CancelledError: If the caller closed the connection.
    """
    try:
        return await handler(request)
    except RefusedError as error:
        response = answer_problem(error.problem)
        if error.problem.status == http.HTTPStatus.REQUEST_TIMEOUT:
            response.force_close()
        return response
    except web.HTTPException as error:
        response = answer_problem(build_status_problem(error.status))
        if "Allow" in error.headers:
            response.headers["Allow"] = error.headers["Allow"]
        if error.status == http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            response.force_close()
        return response
    except (asyncio.CancelledError, ConnectionError):
        raise
    except Exception as error:
        # The answer and log line of an internal error must contain neither a
        # traceback nor a caller's text.
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun; it ends here") from error
        _log.error("request handler failed", extra={"error": type(error).__name__})
        detail = "figstep failed here; report it with the time and send again"
        return answer_problem(Problem(500, "internal_error", detail, ran=Ran.UNKNOWN))
