"""A small deployment on loopback addresses: store, replicas, entries and clients.

Everything but the entries is a stand-in written for this review with the standard
library alone. Entries are real processes, started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "service.example"
KEY = "key-of-the-client"
TENANT = "tenant-a"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_ports = random.SystemRandom()


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def add(self, text: str) -> None:
        print(f"{self.now():8.3f} s  {text}", file=self._file, flush=True)


def find_ports(hosts: list[str], count: int, follow: int = 1) -> list[int]:
    """Return ports that are free at all hosts, each with ``follow`` - 1 after it."""
    found: list[int] = []
    while len(found) < count:
        port = _ports.randrange(10_000, 31_000)
        wanted = range(port, port + follow)
        if any(abs(port - other) <= follow for other in found):
            continue
        if all(_is_free(host, one) for host in hosts for one in wanted):
            found.append(port)
    return found


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Message:
    """Head and body of a request or an answer."""

    def __init__(self, line: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.line = line
        self.headers = headers
        self.body = body

    def get(self, name: str, default: str = "") -> str:
        for known, value in self.headers:
            if known.lower() == name.lower():
                return value
        return default

    @property
    def path(self) -> str:
        return self.line.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Return the head of the next message; its body is not read."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return Message(lines[0], headers, b"")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message with its whole body."""
    message = await read_head(reader)
    if "chunked" in message.get("Transfer-Encoding").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            message.body += data[:-2]
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(int(message.get("Content-Length")))
    elif not message.line.startswith("HTTP/"):
        pass
    else:
        message.body = await reader.read()
    return message


def encode_answer(status: str, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Store:
    """The platform's store: keyed topics that are read, as PROTOCOL tells them."""

    def __init__(self) -> None:
        self.records: dict[str, list[tuple[str, bytes]]] = {}
        self.address = ""
        self.lost_share = 0.0  # of the answers, while answers are lost
        self.answers = 0
        self.answers_lost = 0
        self._random = random.Random(int(os.environ.get("SEED", "1")))
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def put(self, topic: str, key: str, value: bytes) -> None:
        async with self._changed:
            self.records.setdefault(topic, []).append((key, value))
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_message(reader)
                path, _, text = request.path.partition("?")
                query = dict(part.split("=", 1) for part in text.split("&") if part)
                await asyncio.sleep(0.004)
                if path == "/figstep/log-newest":
                    answer = self._read_newest(query)
                elif path == "/figstep/log-read":
                    answer = await self._read(query)
                else:
                    answer = encode_answer("404 Not Found", {}, b"")
                if self.lost_share:
                    self.answers += 1
                    if self._random.random() < self.lost_share:
                        # A connection on which an answer is lost returns nothing
                        # further; it ends when its caller closes it.
                        self.answers_lost += 1
                        await reader.read()
                        return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _read_newest(self, query: dict[str, str]) -> bytes:
        records = self.records.get(query["topic"], [])
        newest = {key: (at, value) for at, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": at}
            for key, (at, value) in sorted(newest.items())
            if value and key > query.get("after", "")
        ]
        body = {"items": items, "has_more": False, "end": len(records)}
        headers = {"Content-Type": "application/json"}
        return encode_answer("200 OK", headers, json.dumps(body).encode())

    async def _read(self, query: dict[str, str]) -> bytes:
        topic, start = query["topic"], int(query["from"])
        wait = int(query.get("wait_ms", "0")) / 1000
        async with self._changed:
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait_for(
                        lambda: len(self.records.get(topic, [])) > start
                    )
            except TimeoutError:
                pass
            records = self.records.get(topic, [])
        raw = len(records).to_bytes(8) + (0).to_bytes(8)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            raw += len(content).to_bytes(4) + content
        return encode_answer("200 OK", {}, raw)


class Call:
    """One request at a replica, with what is needed to answer it."""

    def __init__(self, replica: "Replica", request: Message, writer: object) -> None:
        self.replica = replica
        self.request = request
        self.writer: asyncio.StreamWriter = writer  # type: ignore[assignment]
        self.id = request.get("Request-Id")

    def sign(self) -> dict[str, str]:
        return {"Request-Id": self.id, "Server-Stamp": f"stamp.{self.replica.id}"}

    async def answer(self, body: bytes, status: str = "200 OK") -> None:
        headers = {**self.sign(), "Content-Type": "application/octet-stream"}
        if self.replica.draining is not None:
            headers["Connection"] = "close"
        self.writer.write(encode_answer(status, headers, body))
        await self.writer.drain()

    async def begin_stream(self) -> None:
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in self.sign().items()]
        lines += ["Transfer-Encoding: chunked", "", ""]
        self.writer.write("\r\n".join(lines).encode())
        await self.writer.drain()

    async def send_event(self, index: int) -> None:
        data = f"id: {index}\ndata: {self.id} {index}\n\n".encode()
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await self.writer.drain()

    async def end_stream(self) -> None:
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()


Handler = Callable[[Call], Awaitable[None]]


class Replica:
    """A sound replica. It drops a run when its connection closes."""

    def __init__(
        self, record: Record, name: str, service: str, handler: Handler
    ) -> None:
        self.id = name
        self.service = service
        self.address = ""
        self.zone = "zone-a"
        self.slots = 6
        self.limited = False  # whether it rejects requests beyond its slots
        self.arrivals: list[tuple[float, str]] = []
        self.born = int(time.time() * 1000)
        self.runs: list[Message] = []
        self.run_times: list[tuple[float, str]] = []
        self.open_runs: set[str] = set()
        self.ended: list[str] = []
        self.draining: float | None = None
        self.gone = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._record = record
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._seq = 0

    async def start(self, store: Store) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        await self.register(store)

    async def register(self, store: Store, state: str = "ready") -> None:
        self._seq += 1
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "seq": self._seq,
            "born": self.born,
        }
        await store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def stop_listening(self) -> None:
        """Accept no further connection; open requests go on."""
        assert self._server is not None
        self._server.close()

    async def stop(self, store: Store) -> list[str]:
        """End the process; return the ids of the requests that it was running."""
        self.gone = True
        running = sorted(self.open_runs)
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await store.put("keyed.servers", self.id, b"")
        return running

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                await self._handle(request, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if request.path == "/figstep/report":
            body = {
                "phase": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "seq": 1,
                "queued": 0,
                "active": 0,
                "kv_used": 0,
                "kv_total": 34_000,
                "handles": 0,
                "state": "ready" if self.draining is None else "draining",
                "runs": [],
                "born": self.born,
            }
            data = json.dumps(body).encode()
            writer.write(encode_answer("200 OK", {}, data))
            await writer.drain()
            return
        expected = request.get("Expect-Instance")
        if expected and expected != self.id:
            writer.write(encode_answer("421 Misdirected Request", {}, b""))
            await writer.drain()
            return
        self.runs.append(request)
        name = request.get("Request-Id")
        self.arrivals.append((time.monotonic(), name))
        if self.limited and len(self.open_runs) >= self.slots:
            headers = {"Request-Id": name, "Not-Executed": "1"}
            writer.write(encode_answer("503 Service Unavailable", headers, b"full"))
            await writer.drain()
            self._record.add(f"{self.id} is full and rejects {name}")
            return
        self.run_times.append((time.monotonic(), name))
        self.open_runs.add(name)
        self._record.add(f"{self.id} begins to run {name} ({request.line})")
        run = asyncio.ensure_future(self._handler(Call(self, request, writer)))
        gone = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({run, gone}, return_when="FIRST_COMPLETED")
        self.open_runs.discard(name)
        if run in done:
            gone.cancel()
            error = run.exception()
            if error is None:
                self.ended.append(name)
            word = "ended" if error is None else f"lost its caller of ({error!r})"
            self._record.add(f"{self.id} {word} {name}")
            raise ConnectionError("this replica serves one request a connection")
        run.cancel()
        self._record.add(f"{self.id}: the connection of {name} closed, run dropped")
        raise ConnectionError("closed by the entry")


SETTINGS = """
node = "edge-{name}"
role = "entry"
class = "edge"
serves = ["edge", "ctl"]
ip = "{ip}"
zone = "{zone}"
region = "region"
port_range = [{peers}, {last}]
seeds = [{seeds}]
bootstrap = {first}
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
zone-a = "region"
zone-b = "region"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
fail_closed = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 54
recover_s = 12
pass_ms = 120
reuse_window_s = 4
[provider]
addr = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"""


class Entry:
    """One entry: its settings file and its process."""

    def __init__(self, stage: "Stage", number: int) -> None:
        self.ip = f"127.0.0.{10 + number}"
        self.name = f"zone-a-{number}"
        self.settings = stage.folder / f"boot-{number}.toml"
        self.process: asyncio.subprocess.Process | None = None
        self._stage = stage
        self._log = stage.folder / f"entry-{number}.log"

    @property
    def front(self) -> tuple[str, int]:
        return self.ip, self._stage.ports["front"]

    async def start(self, first: bool = True, store: str = "") -> None:
        ports = self._stage.ports
        ips = [entry.ip for entry in self._stage.entries[:3]]
        seeds = ", ".join(f'"{ip}:{ports["control"]}"' for ip in ips)
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone="zone-a",
                peers=ports["peers"],
                last=ports["peers"] + 15,
                seeds=seeds,
                first="true" if first else "false",
                front=ports["front"],
                ready=ports["ready"],
                control=ports["control"],
                store=store or self._stage.store.address,
            )
        )
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["FIGSTEP_CONFIG"] = str(self.settings)
        with self._log.open("ab") as lines:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "figstep.platform",
                cwd=ROOT,
                env=environment,
                stdout=lines,
                stderr=lines,
            )
        self._stage.record.add(f"{self.name} started")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self._stage.record.add(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.ip, self._stage.ports["ready"]
                )
                writer.write(b"GET /figstep/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                return answer.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


class Stage:
    """Everything that one case starts; ``close`` ends it all."""

    def __init__(self, case: Path, entries: int = 1) -> None:
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.replicas: list[Replica] = []
        hosts = [f"127.0.0.{10 + number}" for number in range(entries)]
        front, ready, control = find_ports(hosts, 3)
        peers = find_ports(hosts, 1, 16)[0]
        self.ports = dict(front=front, ready=ready, control=control, peers=peers)
        self.entries: list[Entry] = []
        self.entries += [Entry(self, number) for number in range(entries)]

    async def add_replica(self, name: str, service: str, handler: Handler) -> Replica:
        replica = Replica(self.record, name, service, handler)
        await replica.start(self.store)
        self.replicas.append(replica)
        return replica

    async def start(self, configuration: dict[str, object]) -> None:
        """Write the first configuration, start the entries and wait for them."""
        await self.store.put("keyed.op", "config", json.dumps(configuration).encode())
        for entry in self.entries:
            await entry.start()
        deadline = time.monotonic() + 20
        for entry in self.entries:
            while not await entry.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRunError("an entry is not ready after 20 s")
                await asyncio.sleep(0.1)
        # On the platform, traffic starts 12 s after the machines; two are enough here.
        await asyncio.sleep(2)
        self.record.add("all entries are ready")

    async def close(self) -> None:
        """End all processes; connections of the stand-ins end with this program."""
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for entry in self.entries:
            process = entry.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRunError(Exception):
    """The case could not be set up."""


def build_configuration(**fields: object) -> dict[str, object]:
    """Return a configuration with one route of each kind."""
    routes = [
        route("/guide/", "stream", "pool", 39_000, 1_800, 1),
        route("/reply/", "stream", "pool", 6_000, 1_500, 0) | {"resumable": True},
        route("/order/", "unsafe", "app", 3_000, 400, 2),
        route("/read/", "safe", "app", 3_000, 400, 2) | {"attempts": 2},
    ]
    configuration: dict[str, object] = {
        "version": 7,
        "routes": routes,
        "services": [
            {
                "name": "pool",
                "max_conns": 432,
                "engine": {
                    "slots": 64,
                    "kv_capacity": 34_447,
                    "backups": True,
                    "moves": True,
                    "stride": 4,
                },
            },
            {"name": "app", "max_conns": 100},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    }
    configuration.update(fields)
    return configuration


def route(
    prefix: str, kind: str, service: str, timeout: int, objective: int, priority: int
) -> dict[str, object]:
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "type": kind,
        "service": service,
        "attempts": 1,
        "timeout_ms": timeout,
        "slo_ms": objective,
        "gap_slo_ms": 180,
        "priority": priority,
    }


class Client:
    """A client with one connection to an entry, kept open between requests."""

    def __init__(self, record: Record, name: str) -> None:
        self.name = name
        self.ended_cleanly = False
        self._record = record
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self, address: tuple[str, int]) -> None:
        self.reader, self.writer = await asyncio.open_connection(*address)

    def send(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b"",
        deadline: int = 3_000,
        **headers: str,
    ) -> None:
        """Send a whole request."""
        head = self.encode_head(
            method, path, request_id, len(body), deadline, **headers
        )
        self._record.add(f"{self.name} sends {request_id}: {method} {path}")
        self.writer.write(head + body)

    def encode_head(
        self,
        method: str,
        path: str,
        request_id: str,
        length: int,
        deadline: int,
        **headers: str,
    ) -> bytes:
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline}",
            f"Credential: {KEY}",
        ]
        for name, value in headers.items():
            lines.append(f"{name.replace('_', '-')}: {value}")
        if length or method == "POST":
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def receive(self, request_id: str, seconds: float) -> Message | None:
        """Return the whole answer; None if the connection ended without one."""
        try:
            async with asyncio.timeout(seconds):
                answer = await read_message(self.reader)
        except TimeoutError:
            self._record.add(f"{self.name}: no answer to {request_id} in {seconds} s")
            return None
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            kind = type(error).__name__
            self.ended_cleanly = isinstance(error, asyncio.IncompleteReadError)
            self._record.add(
                f"{self.name}: the connection of {request_id} ended without a complete"
                f" answer ({kind})"
            )
            return None
        self._record.add(
            f"{self.name} gets the answer to {request_id}: {answer.line},"
            f" {len(answer.body)} bytes"
        )
        return answer

    def close(self) -> None:
        self.writer.close()


def run_case(main: Callable[[Path], Awaitable[bool]], case: Path) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it broke, 2 if it could not run."""

    async def bounded() -> bool:
        async with asyncio.timeout(110):
            return await main(case)

    try:
        held = asyncio.run(bounded())
    except Exception as error:
        print(f"cannot run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("rule held" if held else "rule BROKEN")
    sys.exit(0 if held else 1)
