"""Problem documents (``application/problem+json``) with an OpenAI-style error."""

import math
from typing import Any

import orjson

from figstep.core.problems import Problem

CONTENT_TYPE = "application/problem+json"

_ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


def build_document(problem: Problem) -> dict[str, Any]:
    """Return the problem as a JSON object."""
    fallback = "invalid_request_error" if problem.status < 500 else "server_error"
    return {
        "type": f"urn:figstep:problem:{problem.code}",
        "title": problem.code.replace("_", " "),
        "status": problem.status,
        "detail": problem.detail,
        "ran": problem.ran.value,
        "error": {
            "message": problem.detail,
            "type": _ERROR_TYPES.get(problem.status, fallback),
            "param": None,
            "code": problem.code,
        },
    }


def encode_problem(problem: Problem) -> bytes:
    """Return the body of a problem response."""
    return orjson.dumps(build_document(problem))


def build_headers(problem: Problem) -> dict[str, str]:
    """Return the headers of a problem response.

    ``Retry-After`` is in whole seconds, rounded up.
    """
    headers = {"Content-Type": CONTENT_TYPE}
    if problem.retry_after is not None:
        headers["Retry-After"] = str(math.ceil(problem.retry_after / 1000))
    return headers
