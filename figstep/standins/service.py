"""Stand-in for a plain service that records each call that it executes."""

import asyncio
from dataclasses import dataclass

from aiohttp import web

from figstep.standins.http import answer_json


@dataclass(frozen=True, slots=True)
class ExecutedCall:
    """Method, path and body of an executed call."""

    method: str
    path: str
    body: str


class PlainService:
    """Executes every call and answers with the call's sequence number.

    Attributes:
        name: Target name.
        delay: Time between execution and answer, in seconds.
        cut_answers: Number of answers still to be lost: the call is executed and
            its connection is reset.
        refusals: HTTP statuses with which the next calls are refused, in order,
            without being executed.
        executed: Executed calls, in order of execution.
    """

    def __init__(self, name: str, delay: float = 0.0) -> None:
        self.name = name
        self.delay = delay
        self.cut_answers = 0
        self.refusals: list[int] = []
        self.executed: list[ExecutedCall] = []

    def build_app(self) -> web.Application:
        """Return the HTTP application of the service."""
        app = web.Application()
        app.router.add_get("/standin/executed", self._list_executed)
        app.router.add_route("*", "/{path:.*}", self._execute)
        return app

    async def _list_executed(self, request: web.Request) -> web.Response:
        calls = [[c.method, c.path, c.body] for c in self.executed]
        return answer_json({"executed": calls})

    async def _execute(self, request: web.Request) -> web.Response:
        body = (await request.read()).decode(errors="replace")
        path = "/" + request.match_info["path"]
        if self.refusals:
            return answer_json({"refused": path}, status=self.refusals.pop(0))
        self.executed.append(ExecutedCall(request.method, path, body))
        number = len(self.executed)
        if self.cut_answers and request.transport is not None:
            self.cut_answers -= 1
            request.transport.abort()
        if self.delay:
            await asyncio.sleep(self.delay)
        return answer_json({"service": self.name, "number": number, "path": path})
