"""A model engine that copies runs to other engines, as PROTOCOL tells ``kv-move``."""

import asyncio
import json
import time
from dataclasses import dataclass

from stage import Message, Record, Replica, Store, encode_answer


@dataclass
class Memory:
    """What an engine holds of a run: the request that it belongs to."""

    request: str


class Engine(Replica):
    """A model engine.

    A run that is moved with ``last`` stops at once. Handles are numbered from 1 in each
    incarnation; a copy is named by the address of its source and the handle.

    Attributes:
        drops: Whether a run ends when its connection closes.
        began: When the engine began to run a request, by id.
        worked: When the engine last worked on a request, by id.
        went_on: Requests that went on from a copy, with the request of its memory.
        handles: Requests that were copied from here, by handle.
    """

    by_address: dict[str, "Engine"] = {}

    def __init__(
        self,
        record: Record,
        name: str,
        events: int,
        interval: float,
        drops: bool = True,
    ) -> None:
        super().__init__(record, name, "pool", None)  # type: ignore[arg-type]
        self.drops = drops
        self.began: dict[str, float] = {}
        self.worked: dict[str, float] = {}
        self.went_on: dict[str, str] = {}
        self.handles: dict[str, str] = {}
        self._events = events
        self._interval = interval
        self._created: dict[str, int] = {}
        self._stopped: set[str] = set()
        self._copies: dict[str, Memory] = {}
        self._memory: dict[str, Memory] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, store: Store) -> None:
        await super().start(store)
        self.by_address[self.address] = self

    async def crash(self, store: Store, seconds: float) -> None:
        """End, and start again under the same id and at the same address."""
        assert self._server is not None
        self._record.add(f"{self.id} crashes")
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        for held in (self._copies, self._memory, self._created, self.handles):
            held.clear()
        self.open_runs.clear()
        await asyncio.sleep(seconds)
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.born = int(time.time() * 1000)
        self._record.add(f"{self.id} runs again, born {self.born}")
        await self.register(store)

    async def _handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if request.path == "/figstep/kv-move":
            writer.write(await self._move(json.loads(request.body)))
            await writer.drain()
        elif request.path.startswith("/figstep/kv-handle/"):
            handle = request.path.rpartition("/")[2]
            self._record.add(f"{self.id} is told to free the copy {handle}")
            for engine in self.by_address.values():
                engine._copies.pop(f"{self.address}/{handle}", None)
            writer.write(encode_answer("200 OK", {}, b""))
            await writer.drain()
        elif request.path.startswith("/figstep/"):
            await super()._handle(request, reader, writer)
        else:
            task = asyncio.ensure_future(self._generate(request, reader, writer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.wait({task})
            raise ConnectionError("one request a connection")

    async def _move(self, order: dict[str, object]) -> bytes:
        name, target = str(order["id"]), str(order["target"])
        last = bool(order.get("last"))
        holder = self.by_address[target]
        if name not in self.open_runs:
            return encode_answer("404 Not Found", {}, b"{}")
        if last:
            self._stopped.add(name)
        await asyncio.sleep(0.05)
        if name not in self.open_runs:
            return encode_answer("404 Not Found", {}, b"{}")
        handle = next((h for h, one in self.handles.items() if one == name), "")
        if not handle:
            handle = str(len(self.handles) + 1)
            self.handles[handle] = name
        holder._copies[f"{self.address}/{handle}"] = Memory(self._memory[name].request)
        self._record.add(
            f"{self.id} copies {name} to {holder.id}, handle {handle}, last: {last}"
        )
        body = {"handle": handle, "created": self._created.get(name, 0)}
        headers = {"Content-Type": "application/json"}
        return encode_answer("200 OK", headers, json.dumps(body).encode())

    async def _generate(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        name = request.get("Request-Id")
        source = request.get("Kv-From")
        if request.get("Expect-Instance", self.id) != self.id:
            writer.write(encode_answer("421 Misdirected Request", {}, b""))
            await writer.drain()
            return
        if source and source not in self._copies:
            self._record.add(f"{self.id} has no copy {source} for {name}")
            headers = {"Request-Id": name, "Not-Executed": "1"}
            writer.write(encode_answer("503 Service Unavailable", headers, b""))
            await writer.drain()
            return
        memory = Memory(name)
        first = int(request.get("Last-Event-Id") or 0) + 1
        if source:
            memory = self._copies.pop(source)
            self.went_on[name] = memory.request
        self._memory[name] = memory
        self.began[name] = time.monotonic()
        self.open_runs.add(name)
        self._record.add(
            f"{self.id} begins to run {name} at event {first}, from the memory of"
            f" {memory.request} ({source or 'its prompt'})"
        )
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"Request-Id: {name}", f"Server-Stamp: stamp.{self.id}"]
        lines += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        closed = asyncio.ensure_future(reader.read(1))
        told = False
        try:
            for index in range(first, self._events + 1):
                if name in self._stopped or (closed.done() and self.drops):
                    break
                await asyncio.sleep(self._interval)
                self._created[name] = index
                self.worked[name] = time.monotonic()
                if closed.done():
                    if not told and not self.drops:
                        self._record.add(
                            f"{self.id}: the connection of {name} is closed at event"
                            f" {index}; it works on"
                        )
                    told = True
                    continue
                data = f"id: {index}\ndata: {memory.request} {index}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            if not closed.done() and name not in self._stopped:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
            self._record.add(f"{self.id} ends {name} at {self._created.get(name)}")
        finally:
            closed.cancel()
            self.open_runs.discard(name)
