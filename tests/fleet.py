"""Fleet of real processes behind proxies, with callers that record their answers."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import aiohttp
import orjson
from aiohttp import web

from figstep.checker import (
    CallerHistory,
    ExecutedCall,
    ExecutedGeneration,
    History,
    Outcome,
    ReceivedEvent,
)
from figstep.core.problems import Ran
from figstep.demo import KEY, MODEL, build_document
from figstep.net.log import HttpLog
from figstep.operations import publish_document
from figstep.standins.http import start_app
from figstep.standins.instances import InstanceList
from figstep.standins.log import LogService
from figstep.standins.proxy import TcpProxy
from figstep.standins.service import PlainService
from tests.processes import Running, run_figstep, write_yaml

TIMEOUT_SECONDS = 60
"""Longest wait for a condition or an answer, far above what any test needs."""

POLL_INTERVAL = 0.02
"""Pause between two checks of a condition, in seconds."""

HEADERS = {"Authorization": f"Bearer {KEY}"}
"""Headers with the key of the demo customer."""


async def wait_for(condition: Callable[[], Any], description: str) -> None:
    """Poll a condition until it is true.

    Args:
        condition: Returns the condition, or a coroutine that does.
        description: Description of the condition for the error message.

    Raises:
        AssertionError: The condition was not true within TIMEOUT_SECONDS.
    """
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                found = condition()
                if asyncio.iscoroutine(found):
                    found = await found
                if found:
                    return
                await asyncio.sleep(POLL_INTERVAL)
    except TimeoutError:
        raise AssertionError(f"timed out: {description}") from None


class Caller:
    """Caller of one generation or call, over one or several connections.

    Attributes:
        history: Record of the events and outcomes that the caller received.
        body: Body of the request for a generation.
        retry_after: Retry-After header of the last answer, if it had one.
        document: JSON document of the last answer that was one.
    """

    def __init__(self, tag: str, tokens: int = 20, stream: bool = True) -> None:
        self.history = CallerHistory(tag, stream=stream)
        self.body = {
            "model": MODEL,
            "stream": stream,
            "prompt": f"menu {tag}",
            "standin_length": tokens,
        }
        self.retry_after: str | None = None
        self.document: dict[str, Any] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def last(self) -> Outcome:
        """Outcome of the last connection."""
        return self.history.outcomes[-1]

    @property
    def target(self) -> str:
        """Target that the id of the last received event names."""
        return self.history.events[-1].generation.partition("~")[0]

    def start_generation(self, url: str) -> None:
        """Start a request for a generation; resume it if events were received."""
        self._task = asyncio.create_task(self._generate(url))

    def order(self, url: str) -> None:
        """Start a call that must run at most once, with the tag as idempotency key."""
        self.history.identity = self.history.tag
        self.history.stream = False
        self._task = asyncio.create_task(self._call(url))

    async def finish(self) -> None:
        """Wait until the connection has ended, also if it failed."""
        assert self._task is not None
        await asyncio.wait_for(self._task, TIMEOUT_SECONDS)

    async def stream_to_end(self, url: str) -> None:
        """Request a generation and wait until the connection has ended."""
        self.start_generation(url)
        await self.finish()

    async def wait_for_events(self, count: int) -> None:
        """Wait until ``count`` events were received or the connection has ended."""
        events = self.history.events
        await wait_for(
            lambda: len(events) >= count or (self._task and self._task.done()),
            f"{self.history.tag} receives {count} events",
        )

    def disconnect(self) -> None:
        """Close the connection before the answer is complete."""
        assert self._task is not None
        self.history.abandoned = True
        self._task.cancel()

    async def _generate(self, url: str) -> None:
        headers = dict(HEADERS)
        if self.history.events:
            last = self.history.events[-1]
            headers["Last-Event-ID"] = f"{last.generation}:{last.index}"
        await self._send(url + "/v1/completions", orjson.dumps(self.body), headers)

    async def _call(self, url: str) -> None:
        tag = self.history.tag
        headers = {**HEADERS, "Idempotency-Key": tag}
        await self._send(url + "/services/planning/orders", tag.encode(), headers)

    async def _send(self, url: str, body: bytes, headers: dict[str, str]) -> None:
        status = 0
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=TIMEOUT_SECONDS)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, data=body, headers=headers) as response,
            ):
                status = response.status
                outcome = await self._read(response)
        except (aiohttp.ClientError, OSError):
            outcome = Outcome(status)
        self.history.outcomes.append(outcome)

    async def _read(self, response: aiohttp.ClientResponse) -> Outcome:
        self.retry_after = response.headers.get("Retry-After")
        if response.content_type == "text/event-stream":
            return await self._read_events(response)
        body = await response.read()
        if response.content_type == "application/problem+json":
            return self._read_problem(response.status, body)
        if response.status != 200:
            return Outcome(response.status, ended=True)
        self.document = orjson.loads(body)
        if "choices" not in self.document:
            return Outcome(200, ended=True)
        choice = self.document["choices"][0]
        self.history.text = choice["text"]
        return Outcome(200, ended=choice["finish_reason"] is not None)

    def _read_problem(self, status: int, body: bytes) -> Outcome:
        self.document = orjson.loads(body)
        code = self.document["error"]["code"]
        return Outcome(status, problem=code, ran=Ran(self.document["ran"]))

    async def _read_events(self, response: aiohttp.ClientResponse) -> Outcome:
        name = ""
        problem = False
        async for line in response.content:
            if line.startswith(b"id: "):
                name = line[4:].decode().strip()
            if line.startswith(b"event: error"):
                problem = True
            if not line.startswith(b"data: "):
                continue
            if line.startswith(b"data: [DONE]"):
                return Outcome(200, ended=True)
            if problem:
                return self._read_problem(200, line[6:])
            generation, _, index = name.rpartition(":")
            choice = orjson.loads(line[6:])["choices"][0]
            finish = choice["finish_reason"] or ""
            event = ReceivedEvent(generation, int(index), choice["text"], finish)
            self.history.events.append(event)
        return Outcome(200)


class HookedLog(LogService):
    """Log service with hooks that run between an append and its answer.

    Attributes:
        on_append: Hook for the next append of a record, by the kind of the record;
            it is called once with the request.
    """

    def __init__(self) -> None:
        super().__init__()
        self.on_append: dict[str, Callable[[web.Request], None]] = {}

    def lose_answer(self, kind: str) -> None:
        """Abort the connection after the next append of a record of this kind."""
        self.on_append[kind] = _reset

    async def _append(self, request: web.Request) -> web.Response:
        answer = await super()._append(request)
        body = orjson.loads(await request.read())
        for record in body["records"]:
            hook = self.on_append.pop(record.get("kind"), None)
            if hook is not None:
                hook(request)
        return answer


def _reset(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


class Fleet:
    """Entries and engines as processes; the platform on the event loop of the test.

    Attributes:
        stack: Exit stack that ends all processes and servers.
        log: Log service; entries reach it through ``log_proxy``.
        instances: Instance list.
        engines: Engine processes by name; entries reach them through ``links``.
        entries: Entry processes by name.
        links: Proxy by target name.
        services: Plain services by name.
        callers: All callers.
        notice_seconds: Setting of entries that are started from now on.
        retention_seconds: Log retention in the settings of entries that are started
            from now on.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.stack = AsyncExitStack()
        self.log = HookedLog()
        self.instances = InstanceList()
        self.engines: dict[str, Running] = {}
        self.entries: dict[str, Running] = {}
        self.links: dict[str, TcpProxy] = {}
        self.services: dict[str, PlainService] = {}
        self.callers: list[Caller] = []
        self.notice_seconds = 0.5
        self.retention_seconds = 3_600.0
        self._executed: dict[str, dict[str, str]] = {}

    async def start(self, entries: int, engines: int, gap: float) -> None:
        """Start all parts and wait until the inventory is in force at all entries.

        Args:
            entries: Number of entries.
            engines: Number of engines.
            gap: Time between two tokens of an engine, in seconds.
        """
        log_url = await self._serve(self.log.build_app())
        self.log_proxy = await self._start_proxy(log_url)
        self.log_client = HttpLog(log_url)
        self.stack.push_async_callback(self.log_client.close)
        self._instances_url = await self._serve(self.instances.build_app())
        for number in range(1, 3):
            service = PlainService(f"planning-{number}")
            self.services[service.name] = service
            url = await self._serve(service.build_app())
            self.links[service.name] = await self._start_proxy(url)
        names = [f"engine-{number}" for number in range(1, engines + 1)]
        starts = [self._start_engine(name, gap) for name in names]
        for number in range(1, entries + 1):
            starts.append(self.start_entry(f"entry-{number}"))
        await asyncio.gather(*starts)
        self.document = self._build_document()
        await publish_document(self.log_client, self.document, "ops", "first")
        for name in self.entries:
            await self.wait_ready(name)

    async def close(self) -> None:
        """Cancel all callers, end all processes and close all servers."""
        for caller in self.callers:
            if caller._task is not None:
                caller._task.cancel()
        await self.stack.aclose()

    def _build_document(self) -> dict[str, Any]:
        engines = {name: self.links[name].url for name in sorted(self.engines)}
        document = build_document(engines, "")
        replica = document["services"][0]
        document["services"] = [
            {**replica, "name": name, "address": self.links[name].url}
            for name in self.services
        ]
        return document

    async def _serve(self, app: Any) -> str:
        runner, url = await start_app(app)
        self.stack.push_async_callback(runner.cleanup)
        return url

    async def _start_proxy(self, url: str) -> TcpProxy:
        host, _, port = url.removeprefix("http://").rpartition(":")
        proxy = TcpProxy(host, int(port))
        await proxy.start()
        self.stack.push_async_callback(proxy.stop)
        return proxy

    async def _start_engine(self, name: str, gap: float) -> None:
        running = await self.stack.enter_async_context(
            run_figstep("standin", "engine", "--name", name, "--gap", str(gap))
        )
        self.engines[name] = running
        self.links[name] = await self._start_proxy(running.url)

    async def start_entry(self, name: str) -> None:
        """Start an entry process and add it to the instance list."""
        settings = {
            "node": name,
            "failure_domain": "muc-a",
            "platform": {
                "log": self.log_proxy.url,
                "instances": self._instances_url,
                "log_retention_seconds": self.retention_seconds,
            },
            "notice_seconds": self.notice_seconds,
            "peers": {"key": KEY},
        }
        path = write_yaml(self._folder / f"{name}.yaml", settings)
        running = await self.stack.enter_async_context(
            run_figstep("serve", "--settings", str(path))
        )
        self.entries[name] = running
        status = await self.read(running.url + "/status")
        self.instances.list_entry(name, running.url, status["control"]["address"])

    async def read(self, url: str) -> dict[str, Any]:
        """Return the JSON document at ``url``, or an empty one if the request fails."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url) as response,
            ):
                document: dict[str, Any] = orjson.loads(await response.read())
                return document
        except (aiohttp.ClientError, OSError, ValueError):
            return {}

    async def wait_ready(self, name: str) -> None:
        """Wait until an entry has a configuration in force."""

        async def is_ready() -> bool:
            status = await self.read(self.entries[name].url + "/status")
            return bool(status.get("configuration_offset", -1) >= 0)

        await wait_for(is_ready, f"{name} is ready")

    def call(self, tag: str, tokens: int = 20, stream: bool = True) -> Caller:
        """Return a new caller, whose history ``collect_history`` includes."""
        caller = Caller(tag, tokens, stream)
        self.callers.append(caller)
        return caller

    async def kill_engine(self, name: str) -> None:
        """Record what an engine executed, then kill its process."""
        await self._record_executed(name)
        running = self.engines.pop(name)
        running.kill()
        await running.process.wait()

    async def find_engine(self, tag: str) -> str:
        """Wait until an engine runs the request with a tag, and return its name."""
        found: list[str] = []

        async def find_running() -> list[str]:
            for name in self.engines:
                await self._record_executed(name)
                if tag in self._executed[name].values():
                    found.append(name)
            return found

        await wait_for(find_running, f"an engine runs {tag}")
        return found[0]

    async def _record_executed(self, name: str) -> None:
        document = await self.read(self.engines[name].url + "/standin/executed")
        recorded = self._executed.setdefault(name, {})
        for generation, prompt in document.get("prompts", {}).items():
            recorded[generation] = prompt.split()[-1]

    async def collect_history(self) -> History:
        """Return what callers received and targets executed so far."""
        history = History([caller.history for caller in self.callers])
        for name in self.engines:
            await self._record_executed(name)
        for name, executed in self._executed.items():
            for generation, tag in executed.items():
                history.generations.append(ExecutedGeneration(name, generation, tag))
        for name, service in self.services.items():
            for call in service.executed:
                history.calls.append(ExecutedCall(name, call.body, call.body))
        return history
