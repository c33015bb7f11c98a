"""Stand-ins and processes that the scripts of the review share.

Only the standard library is used.  Each machine of the system has a loopback address
of its own.  Times are seconds since the start of the script.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
MAIN = ("python3", "platform/main.py")
READY_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.1
MAX_DURATION_S = 110.0
CLOSE_S = 0.2
# Value of the sites' list of servers.
LIST_LAG_S = 0.8
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
BLANK_LINE = b"\r\n\r\n"
SETTINGS = """[process]
role = {role}
host = {host}
availability_zone = {zone}
peer_port = {peer_port}
metrics_port = {metrics_port}
seeds = {seeds}

[ports]
clients = {clients}
readiness = {readiness}
operators = {operators}

[replica]
data_folder = {folder}
bootstrap = {bootstrap}
tolerated_losses_count = 1
detects_copies = no

[discovery]
address = {list_address}
rate_per_s = 40.0

[retries]
ratio = 0.2
window_s = 10
extra_count = 52

[shutdown]
grace_s = 8

[duties]
names = {duties}
{duty_settings}
[features]
names = base,drain,config,cost,retry,recover,engine,stream,tenants
"""


# Open connections of this process, which are closed before its event loop.
open_writers: set[asyncio.StreamWriter] = set()


class NotRunError(Exception):
    """The case could not run, so nothing is known about the rule."""


class Record:
    """The file in which a script writes what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now_s():8.3f} s  {text}\n")
        self._file.flush()


def free_port() -> int:
    """Return a port that is free at this moment."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def request_id() -> str:
    """Return an id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response; names of headers are in lowercase."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split()[1])

    @property
    def path(self) -> str:
        """Return the target of a request."""
        return self.start.split()[1]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message."""
    lines = (await reader.readuntil(BLANK_LINE)).decode("latin-1").split("\r\n")
    fields = [line.partition(":") for line in lines[1:] if line]
    return Message(lines[0], {name.lower(): value.strip() for name, _, value in fields})


async def read_chunks(
    reader: asyncio.StreamReader, on_chunk: Callable[[bytes], None]
) -> None:
    """Read a body in chunks up to its end."""
    while size_bytes := int((await reader.readuntil()).split(b";")[0], 16):
        on_chunk(await reader.readexactly(size_bytes))
        await reader.readuntil()
    await reader.readuntil()


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message that has a length or chunks."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        found = bytearray()
        await read_chunks(reader, found.extend)
        message.body = bytes(found)
    else:
        length = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(length)


def make_response(status: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + BLANK_LINE + body


@dataclasses.dataclass(slots=True, eq=False)
class Engine:
    """A server of a service at an address of its own.

    Attributes
    ----------
    server_id : str
        Id of this incarnation.
    run : callable
        ``await run(engine, request, writer)`` runs a request and writes its response.
    before_response : callable
        ``await before_response(engine, writer)`` is called when a request was read.
    arrivals : list
        Time, id of the request and what became of it: ``run`` or ``421``.
    """

    record: Record
    name: str
    server_id: str
    service: str
    zone: str
    run: Callable[["Engine", Message, asyncio.StreamWriter], Awaitable[None]]
    version: str = "v1"
    slots: int = 6
    state: str = "ready"
    born: int = 0
    host: str = ""
    port: int = 0
    before_response: (
        Callable[["Engine", Message, asyncio.StreamWriter], Awaitable[None]] | None
    ) = None
    arrivals: list[tuple[float, str, str]] = dataclasses.field(default_factory=list)
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)
    open_count: int = 0
    listener: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the address."""
        return f"{self.host}:{self.port}"

    def entry(self) -> dict:
        """Return the entry in the list of servers."""
        return {
            "id": self.server_id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "born": self.born,
        }

    async def start(self) -> None:
        """Listen, at the same address as before if there was one."""
        self.born = int(time.time() * 1000)
        if not self.port:
            self.port = free_port()
        self.listener = await asyncio.start_server(self._serve, self.host, self.port)

    async def crash(self) -> None:
        """End all connections and stop listening, as when the process is lost."""
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        open_writers.add(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                await self._answer(request, writer)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        echoed = request.headers.get("request-id", "")
        if not echoed:
            headers = {"Instance-Id": self.server_id}
            writer.write(make_response("200 OK", headers, b""))
            return
        if self.before_response is not None:
            await self.before_response(self, request, writer)
        expected = request.headers.get("expect-instance", self.server_id)
        if expected != self.server_id:
            self._note(echoed, "421")
            writer.write(self.misdirected(echoed))
            return
        self._note(echoed, "run")
        self.open_count += 1
        try:
            await self.run(self, request, writer)
        finally:
            self.open_count -= 1

    def misdirected(self, echoed: str) -> bytes:
        """Return the response to a request that expects another incarnation."""
        headers = {
            "Request-Id": echoed,
            "Instance-Id": self.server_id,
            "Not-Executed": "1",
        }
        return make_response("421 Misdirected Request", headers, b"")

    def _note(self, echoed: str, outcome: str) -> None:
        self.arrivals.append((self.record.now_s(), echoed, outcome))
        self.record.write(f"server {self.server_id}: {outcome} {echoed}")


def make_work(work_s: float) -> Callable:
    """Return what a server of a plain service does with a request."""

    async def work(
        engine: Engine, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        echoed = request.headers["request-id"]
        await asyncio.sleep(work_s)
        body = f"{engine.server_id} has run {echoed}\n".encode() * 10
        headers = {
            "Request-Id": echoed,
            "Response-Seal": f"{echoed[:4]}.{len(body):x}",
            "Keep-Alive": "timeout=15",
        }
        writer.write(make_response("200 OK", headers, body))

    return work


class Platform:
    """The platform's list of servers, which lags.

    Attributes
    ----------
    make_body : callable
        Returns the body of a list with these entries.
    """

    def __init__(self, record: Record, host: str) -> None:
        self.record = record
        self.host = host
        self.port = free_port()
        self.make_body: Callable[[list[dict]], bytes] = make_list
        self.on_call: Callable[[Message], Awaitable[bytes]] | None = None
        self._entries: list[tuple[float, list[dict]]] = [(float("-inf"), [])]
        self.reads_count = 0

    def show(self, engines: list[Engine]) -> None:
        """Let the list show these servers after its lag."""
        entries = [engine.entry() for engine in engines]
        since_s = self.record.now_s() + LIST_LAG_S
        if len(self._entries) == 1:
            since_s = 0.0
        self._entries.append((since_s, entries))
        names = ", ".join(f"{item['id']} {item['state']}" for item in entries)
        self.record.write(f"the list shows from {since_s:.3f} s on: {names}")

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, self.host, self.port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        open_writers.add(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                if request.path.startswith("/instances"):
                    writer.write(self._list())
                elif self.on_call is not None:
                    writer.write(await self.on_call(request))
                else:
                    writer.write(make_response("404 Not Found", {}, b""))
                await writer.drain()
        writer.close()

    def _list(self) -> bytes:
        self.reads_count += 1
        now_s = self.record.now_s()
        shown = [entries for since_s, entries in self._entries if since_s <= now_s][-1]
        headers = {"Content-Type": "application/json"}
        return make_response("200 OK", headers, self.make_body(shown))


def make_list(entries: list[dict]) -> bytes:
    """Return the body of a list that has one page."""
    return json.dumps({"instances": entries, "nextToken": None}).encode()


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """A machine of the system and its process."""

    role: str
    host: str
    zone: str
    folder: pathlib.Path
    process: subprocess.Popen | None = None
    starts_count: int = 0


class System:
    """The processes of the deploy file, on loopback addresses."""

    def __init__(
        self,
        record: Record,
        routers_count: int,
        zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c"),
        duties: str = "",
        duty_settings: str = "",
    ) -> None:
        if not (ROOT / "target" / "deps").is_dir():
            raise NotRunError("target/deps is missing: build the deploy file first")
        self.record = record
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        folder = pathlib.Path(self._temporary.name)
        self.net = f"127.{random.randrange(64, 250)}.{random.randrange(250)}"
        self.replicas = [
            Member("replica", f"{self.net}.{number + 1}", zone, folder / f"c{number}")
            for number, zone in enumerate(zones)
        ]
        self.routers = [
            Member(
                "router",
                f"{self.net}.{number + 11}",
                zones[number % len(zones)],
                folder / f"f{number}",
            )
            for number in range(routers_count)
        ]
        self.peer_port, self.port = free_port(), free_port()
        self.ready_port, self.metrics_port = free_port(), free_port()
        self.platform = Platform(record, f"{self.net}.200")
        self._duties, self._duty_settings = duties, duty_settings

    def host_of_engine(self, number: int) -> str:
        """Return the address of a server's machine."""
        return f"{self.net}.{100 + number}"

    def launch(self, member: Member) -> None:
        """Start the process of a machine."""
        is_router = member.role == "router"
        member.folder.mkdir(parents=True, exist_ok=True)
        address = f"{member.host}:{self.port}"
        text = SETTINGS.format(
            role=member.role,
            host=member.host,
            zone=member.zone,
            peer_port=self.peer_port,
            metrics_port=self.metrics_port,
            seeds=",".join(f"{item.host}:{self.port}" for item in self.replicas),
            clients=address if is_router else "",
            readiness=f"{member.host}:{self.ready_port}" if is_router else "",
            operators="" if is_router else address,
            folder="" if is_router else member.folder / "data",
            bootstrap="true" if member.starts_count == 0 else "false",
            list_address=f"{self.platform.host}:{self.platform.port}",
            duties=self._duties,
            duty_settings=self._duty_settings,
        )
        path = member.folder / "settings.ini"
        path.write_text(text)
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment |= {
            "HICKORYWEIR_SETTINGS": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (member.folder / "log").open("a") as log:
            member.process = subprocess.Popen(
                MAIN, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        member.starts_count += 1

    def send(self, member: Member, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        self.record.write(f"{number.name} to the {member.role} at {member.host}")
        member.process.send_signal(number)

    async def start(self) -> None:
        """Start everything."""
        await self.platform.start()
        for member in (*self.replicas, *self.routers):
            self.launch(member)

    async def put(self, table: dict) -> None:
        """Send a configuration until a replica acknowledges it."""
        body = json.dumps(table).encode()
        head = f"POST /config/put HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
        for _ in range(round(READY_TIMEOUT_S / POLL_INTERVAL_S)):
            for member in self.replicas:
                with contextlib.suppress(OSError, EOFError, TimeoutError):
                    async with asyncio.timeout(1.5):
                        response = await call(member.host, self.port, head, body)
                    if response.status == 200:
                        self.record.write(f"version {table['version']} acknowledged")
                        return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise NotRunError("no replica acknowledged the configuration")

    async def wait_until_ready(self, member: Member) -> None:
        """Wait until a router says that it is ready."""
        if not await self.becomes_ready(member, READY_TIMEOUT_S):
            raise NotRunError(f"the router at {member.host} is not ready")

    async def becomes_ready(self, member: Member, timeout_s: float) -> bool:
        """Return whether a router says in time that it is ready."""
        head = "GET /readiness HTTP/1.1\r\nHost: x"
        for _ in range(round(timeout_s / POLL_INTERVAL_S)):
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                async with asyncio.timeout(1.0):
                    response = await call(member.host, self.ready_port, head, b"")
                if response.status == 200:
                    return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    def logs(self) -> dict[str, str]:
        """Return the log of each process."""
        members = (*self.replicas, *self.routers)
        return {item.host: (item.folder / "log").read_text() for item in members}

    def end(self) -> None:
        """Kill the processes that still run, and remove the folder."""
        for member in (*self.replicas, *self.routers):
            if member.process is not None and member.process.poll() is None:
                member.process.kill()
                member.process.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for host, text in self.logs().items():
                pathlib.Path(kept, f"{host}.log").write_text(text)
        self._temporary.cleanup()


async def call(host: str, port: int, head: str, body: bytes) -> Message:
    """Send a request on a connection of its own, and return the response."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(head.encode() + BLANK_LINE + body)
        response = await read_head(reader)
        await read_body(reader, response)
        return response
    finally:
        writer.close()


class Client:
    """A client with one kept connection to a router."""

    def __init__(self, record: Record, host: str, port: int) -> None:
        self._record, self._host, self._port = record, host, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self, method: str, path: str, body: bytes, deadline_ms: int
    ) -> tuple[str, Message | None]:
        """Send a request with an id of its own; return the id and the response.

        The response is None if the connection ended without one, or at the deadline.
        """
        echoed = request_id()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: site.example\r\n"
            f"Request-Id: {echoed}\r\nDeadline-Ms: {deadline_ms}\r\n"
            f"Authorization: Bearer key-1\r\nContent-Length: {len(body)}"
        )
        response = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        self._host, self._port
                    )
                self._writer.write(head.encode() + BLANK_LINE + body)
                response = await read_head(self._reader)
                await read_body(self._reader, response)
        except (OSError, EOFError, TimeoutError):
            self.close()
        status = "no answer" if response is None else response.status
        self._record.write(f"client: {method} {path} {echoed} -> {status}")
        if response is not None and response.headers.get("connection") == "close":
            self.close()
        return echoed, response

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None


def make_table(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration with one client account."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1}],
    }


def make_route(name: str, kind: str, service: str, **fields) -> dict:
    """Return a route whose prefix is its name."""
    return {
        "name": name,
        "host": "site.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1000,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "allowAnonymous": False,
        "sticky": False,
        "resumable": False,
    } | fields


def make_service(name: str) -> dict:
    """Return a plain service."""
    return {"name": name, "healthPath": "/health", "maxConnections": 96}


def run(
    case_file: str,
    play: Callable[[Record, list[System]], Awaitable[list[str]]],
    has_trouble: bool,
) -> None:
    """Run a case, and end the process with its exit code.

    Parameters
    ----------
    case_file : str
        File of the case, beside which `record.txt` is written.
    play : callable
        ``await play(record, systems)`` adds the systems that it starts to `systems` and
        returns the breaks of the rule.
    has_trouble : bool
        Whether the case brings its disruption about.
    """
    record = Record(pathlib.Path(case_file).resolve().parent)
    trouble = "with" if has_trouble else "without"
    record.write(f"{trouble} the disruption")
    systems: list[System] = []

    async def play_and_close() -> list[str]:
        try:
            async with asyncio.timeout(MAX_DURATION_S):
                return await play(record, systems)
        finally:
            for system in systems:
                system.end()
            for writer in open_writers:
                writer.transport.abort()
            await asyncio.sleep(CLOSE_S)

    try:
        broken = asyncio.run(play_and_close())
    except Exception as error:
        # Nothing is known about the rule, whatever has failed.
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(EXIT_NOT_RUN)
    for line in broken or ["the rule was kept"]:
        record.write(line)
        print(line)
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
