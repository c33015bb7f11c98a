"""Stand-ins and process control for the scripts of the second review.

Standard library only.  Every address is a loopback address.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEALTH_PATH = "/health"
RESTART_AFTER_S = 0.3
# Of the deployment kitamori-hq.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "revokeFailClosed": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtraRetries": 58,
    "recoveryS": 12,
    "passMs": 120,
    "reuseWindowS": 10,
}


class Record:
    """Lines on what was sent, answered and run, in ``record.txt``."""

    def __init__(self, path):
        """Begin the file anew."""
        self._path = pathlib.Path(path)
        self._path.write_text("")
        self._began_s = time.monotonic()

    def write(self, text):
        """Write a line."""
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{time.monotonic() - self._began_s:9.3f} {text}\n")


# --- settings ---------------------------------------------------------------------


def _look_up(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for key in name.split("."):
            if isinstance(value, dict) and key in value:
                value = value[key]
            elif isinstance(value, list) and key.isdecimal():
                value = value[int(key)] if int(key) < len(value) else None
            else:
                value = None
            if value is None:
                break
        if value is not None:
            return value
    return None


def _to_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(_to_text, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, fields):
    """Return a settings file; sections of the template are true or absent values."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", re.DOTALL)

    def replace(found):
        kind, name, inner = found.groups()
        value = _look_up([fields], name)
        is_present = value is not None and value is not False and value != []
        return inner if is_present == (kind == "#") else ""

    text = section.sub(replace, template)
    return re.sub(
        r"\{\{([\w.]+)\}\}", lambda f: _to_text(_look_up([fields], f[1])), text
    )


# --- processes --------------------------------------------------------------------


@dataclasses.dataclass
class Machine:
    """A machine and the process of its role; it is restarted when it ends."""

    site: "Site"
    name: str
    role: str
    host: str
    zone: str
    folder: pathlib.Path
    process: subprocess.Popen | None = None
    wanted: bool = False
    starts: int = 0
    bootstrap: bool = True

    def write_settings(self):
        """Render the settings file of the role."""
        site = self.site
        is_core = self.role == "replica"
        fields = {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": "core" if is_core else "front",
            "ip": self.host,
            "zone": self.zone,
            "internalPorts": [site.peer_port, site.peer_port + 15],
            "seeds": [f"{m.host}:{site.control_port}" for m in site.seeds],
            "bootstrap": self.bootstrap,
            "inFaultBudget": is_core,
            "listen": {"control": f"{self.host}:{site.control_port}"}
            if is_core
            else {
                "front": f"{self.host}:{site.front_port}",
                "ready": f"{self.host}:{site.ready_port}",
            },
            "limits": {
                "cpuShare": 0.645 if is_core else 0.537,
                "cores": 2,
                "memoryMb": 296 if is_core else 300,
                "maxFds": 4096,
                "linkMbps": 1000.0,
            },
            "faultTolerance": {
                "machines": site.tolerated_count,
                "zones": 1,
                "regions": 0,
            },
            "bounds": BOUNDS,
            "cloudApi": {
                "address": site.platform.address,
                "ratePerS": 47.0,
                "lagMs": 800,
                "duties": [],
            },
            "contracts": [
                *("base", "drain", "config", "cost", "retry", "recover"),
                *("engine", "stream", "tenants"),
            ],
        }
        if is_core:
            fields["dataDir"] = str(self.folder / "data")
        fields = {key: value for key, value in fields.items() if value is not None}
        text = render(site.templates[self.role], fields)
        (self.folder / "settings").write_text(text)

    def start(self):
        """Start it."""
        self.folder.mkdir(parents=True, exist_ok=True)
        if self.role == "replica":
            (self.folder / "data").mkdir(exist_ok=True)
        self.write_settings()
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["HICKORYWEIR_SETTINGS"] = str(self.folder / "settings")
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self.folder / "log").open("ab")
        self.process = subprocess.Popen(
            self.site.runs[self.role].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
        log.close()
        self.wanted, self.starts = True, self.starts + 1
        self.site.record.write(f"start {self.name} {self.host} in {self.zone}")

    def signal(self, number):
        """Send a signal to the process."""
        self.site.record.write(f"signal {signal.Signals(number).name} {self.name}")
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def log(self):
        """Return what the process has written."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""


class Site:
    """A small deployment: three core machines, and front machines in three zones."""

    def __init__(self, record, fronts_count=3, cores_count=3, tolerated_count=1):
        self.record = record
        self.tolerated_count = tolerated_count
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.runs = {name: role["run"] for name, role in roles.items()}
        self.templates = {
            name: (ROOT / role["template"]).read_text() for name, role in roles.items()
        }
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.network = find_free_network()
        ports = iter(range(8220, 8230))
        self.ready_port, self.front_port = next(ports), next(ports)
        self.control_port, self.peer_port = next(ports), 7340
        self.platform = Platform(self, f"{self.network}.9.1", 8223)
        self.machines = []
        for number in range(cores_count):
            self._add("replica", f"core-{number + 1}", f"1.{number + 1}", number)
        for number in range(fronts_count):
            self._add("router", f"front-{number + 1}", f"2.{number + 1}", number)
        self.cores = [m for m in self.machines if m.role == "replica"]
        self.fronts = [m for m in self.machines if m.role == "router"]
        self.seeds = tuple(self.cores[:3])
        self._watching = None
        self.engines = []

    def _add(self, role, name, suffix, number):
        zone = f"zone-{number % 3 + 1}"
        host = f"{self.network}.{suffix}"
        self.machines.append(Machine(self, name, role, host, zone, self.folder / name))

    async def start(self):
        """Start it."""
        await self.platform.start()
        for machine in self.machines:
            machine.start()
        self._watching = asyncio.create_task(self._restart_ended())

    def add_core(self, zone):
        """Start an empty core machine at another address; return it."""
        number = sum(machine.role == "replica" for machine in self.machines) + 1
        machine = Machine(
            self,
            f"core-{number}",
            "replica",
            f"{self.network}.1.{number}",
            zone,
            self.folder / f"core-{number}",
            bootstrap=False,
        )
        self.machines.append(machine)
        self.cores.append(machine)
        machine.start()
        return machine

    def remove_core(self, machine):
        """End a core machine for good, without notice."""
        machine.wanted = False
        machine.signal(signal.SIGKILL)
        self.cores.remove(machine)

    async def _restart_ended(self):
        while True:
            await asyncio.sleep(0.05)
            for machine in self.machines:
                process = machine.process
                if machine.wanted and process.poll() is not None:
                    self.record.write(f"end {machine.name} code {process.returncode}")
                    machine.process, machine.wanted = None, False
                    machine.bootstrap = False
                    asyncio.get_running_loop().call_later(
                        RESTART_AFTER_S, machine.start
                    )

    async def stop(self):
        """End it, and all that it started."""
        if self._watching is not None:
            self._watching.cancel()
        for machine in self.machines:
            machine.wanted = False
            process = machine.process
            if process is not None and process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()
        for engine in self.engines:
            await engine.stop()
        await self.platform.stop()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    # --- operator ---

    async def put_table(self, table, timeout_s=20.0):
        """Send a configuration to any control machine until it is acknowledged."""
        body = json.dumps(table).encode()
        until_s = time.monotonic() + timeout_s
        machines = itertools.cycle(self.cores)
        while time.monotonic() < until_s:
            machine = next(machines)
            status, _, _ = await fetch(
                (machine.host, self.control_port),
                "POST",
                "/config/put",
                body=body,
                headers={"Content-Type": "application/json"},
                timeout_s=1.0,
            )
            self.record.write(
                f"operator put version {table['version']} to {machine.name}: {status}"
            )
            if status == 200 or status in (400, 409, 412, 413, 422):
                return status == 200
            await asyncio.sleep(0.15)
        return False

    async def get_table(self, machine, timeout_s=1.0):
        """Ask a control machine for the configuration."""
        return await fetch(
            (machine.host, self.control_port), "GET", "/config/get", timeout_s=timeout_s
        )

    async def wait_ready(self, timeout_s=25.0):
        """Wait until all front machines are ready; return whether they are."""
        until_s = time.monotonic() + timeout_s
        waiting = list(self.fronts)
        while waiting and time.monotonic() < until_s:
            for machine in list(waiting):
                status, _, _ = await fetch(
                    (machine.host, self.ready_port), "GET", "/readiness", timeout_s=0.5
                )
                if status == 200:
                    waiting.remove(machine)
            await asyncio.sleep(0.1)
        return not waiting


def find_free_network():
    """Return the first two parts of loopback addresses that nobody listens on."""
    while True:
        network = f"127.{random.randint(20, 250)}"
        try:
            for suffix in ("1.1", "2.1", "9.1"):
                for port in (8220, 8221, 8222, 8223, 7340, 9464):
                    with socket.socket() as sock:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        sock.bind((f"{network}.{suffix}", port))
        except OSError:
            continue
        return network


# --- HTTP -------------------------------------------------------------------------


async def read_head(reader):
    """Return the start line and the headers, by lower-case name; None at the end."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, is_response=False):
    """Return the body that a head announces."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if not size:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_response else b""


async def fetch(address, method, path, headers=None, body=b"", timeout_s=5.0):
    """Send one request on a new connection; the status is 0 without a response."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 24)
            head = {"Host": f"{address[0]}:{address[1]}", "Connection": "close"}
            head |= headers or {}
            if body or method == "POST":
                head["Content-Length"] = str(len(body))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in head.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            await writer.drain()
            while True:
                line, found = await read_head(reader)
                status = int(line.split()[1])
                if status >= 200:
                    break
            return status, found, await read_body(reader, found, True)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return 0, {}, repr(error).encode()
    finally:
        if writer is not None:
            writer.close()


# --- platform ---------------------------------------------------------------------


class Platform:
    """The platform's list of engines, and its calls of duties."""

    def __init__(self, site, host, port):
        self.site, self.host, self.port = site, host, port
        self.address = f"{host}:{port}"
        self.entries = []
        # Called with path, headers and document; returns a status.
        self.on_call = None
        self._server = None
        # What the list shows lags.
        self.lag_s = 0.8
        self._history = []

    async def start(self):
        """Start it."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    async def stop(self):
        """End it, and all that it started."""
        if self._server is not None:
            self._server.close()

    def update(self, entries):
        """Replace the entries; the list shows them after its lag."""
        self.entries = entries
        self._history.append((time.monotonic() + self.lag_s, entries))

    def shown(self):
        """Return the entries that the list shows now."""
        now_s, shown = time.monotonic(), []
        for at_s, entries in self._history:
            if at_s <= now_s:
                shown = entries
        return shown

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split()
                body = await read_body(reader, headers)
                if path.startswith("/instances"):
                    status = 200
                    document = {"instances": self.shown(), "nextToken": None}
                elif self.on_call is not None:
                    status = await self.on_call(path, headers, json.loads(body), writer)
                    document = {}
                else:
                    status, document = 404, {}
                if status is None:
                    break
                data = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()


# --- engines ----------------------------------------------------------------------


class Engine:
    """An engine of a service.

    `handle` is called with the engine, the request and the writer when a request
    begins to run; it writes the response, and returns whether to keep the connection.
    """

    def __init__(self, site, service, host, zone, handle, version="v1", slots=64):
        self.site, self.service, self.host, self.zone = site, service, host, zone
        self.port = 8080
        self.handle, self.version, self.slots = handle, version, slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.is_up = False
        self._server = None
        self._writers = set()
        self._tasks = set()
        self.running = 0
        site.engines.append(self)

    def entry(self):
        """Return the engine's entry in the list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "born": self.born,
        }

    async def start(self):
        """Start it."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 22
        )
        self.is_up = True

    async def stop(self):
        """End it, and all that it started."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            if writer.transport is not None:
                writer.transport.abort()
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                request = Request(method, path, headers, body)
                if path == HEALTH_PATH:
                    keep = True
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nInstance-Id: "
                        + self.id.encode()
                        + b"\r\n\r\n"
                    )
                elif headers.get("expect-instance", self.id) != self.id:
                    keep = True
                    writer.write(
                        f"HTTP/1.1 421 X\r\nRequest-Id: {request.id}\r\n"
                        "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
                    )
                else:
                    self.running += 1
                    try:
                        keep = await self.handle(self, request, writer)
                    finally:
                        self.running -= 1
                await writer.drain()
                if not keep or headers.get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())
            writer.close()


@dataclasses.dataclass
class Request:
    """A request that an engine has read."""

    method: str
    path: str
    headers: dict
    body: bytes

    @property
    def id(self):
        """Return the id of the client's attempt."""
        return self.headers.get("request-id", "")


def answer(engine, request, writer, body=b"done", status=200, more=None):
    """Write a whole response with a length."""
    headers = {
        "Request-Id": request.id,
        "Response-Seal": f"{engine.id}.{request.id}",
        "Engine-Load": f"{engine.running},0,{engine.slots}",
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
    } | (more or {})
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)


async def stream(engine, request, writer, events_count, gap_s, first_s=0.05):
    """Write a stream of events after the one that the request names."""
    headers = {
        "Request-Id": request.id,
        "Response-Seal": f"{engine.id}.{request.id}",
        "Engine-Load": f"{engine.running},0,{engine.slots}",
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    lines = ["HTTP/1.1 200 OK"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    await asyncio.sleep(first_s)
    writer.write("\r\n".join([*lines, "", ""]).encode())
    began = int(request.headers.get("last-event-id") or 0)
    for number in range(began + 1, events_count + 1):
        data = f"id: {number}\ndata: {engine.version} {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await writer.drain()
        await asyncio.sleep(gap_s)
    writer.write(b"0\r\n\r\n")


def make_route(name, prefix, service, kind, timeout_ms, **more):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "app.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "allowAnonymous": False,
        "sticky": False,
        "resumable": False,
        "targetGapMs": 500,
    } | more


def make_service(name, connections=360, engine=None):
    """Return a service of a configuration."""
    found = {
        "name": name,
        "healthPath": HEALTH_PATH,
        "maxConnections": connections,
        "protocol": "h1",
        "tls": False,
    }
    return found if engine is None else found | {"engine": engine}


ENGINE = {
    "slots": 64,
    "kvCapacityTokens": 485045,
    "kvTokenBytes": 18432,
    "linkMbps": 370000.0,
    "stride": 6,
    "models": [{"name": "m"}],
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
KEY = "n2ctnfzs989anu6wsjnb"
TENANTS = [{"name": "hule930", "apiKeys": [KEY], "priority": 1}]


def make_table(version, routes, services):
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": TENANTS,
    }


_ids = itertools.count(1)


def new_id():
    """Return the id of a new request."""
    return f"{next(_ids):08x}{random.getrandbits(32):08x}"


def request_headers(request_id, deadline_ms, **more):
    """Return the headers of a client's request."""
    return {
        "Host": "app.example",
        "Request-Id": request_id,
        "Deadline-Ms": str(int(deadline_ms)),
        "Authorization": f"Bearer {KEY}",
    } | more


EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)\n\n")


class StreamClient:
    """A client of one stream, which it takes up once its connection has broken."""

    def __init__(self, site, number, deadline_s, break_after):
        self.site, self.number, self.record = site, number, site.record
        self.deadline_s, self.break_after = deadline_s, break_after
        self.events, self.answers, self.is_complete = [], [], False

    async def run(self):
        """Send the request until its stream is whole."""
        until_s = time.monotonic() + self.deadline_s
        for attempt in range(4):
            left_s = until_s - time.monotonic()
            if left_s <= 0.2:
                break
            front = self.site.fronts[(self.number + attempt) % 3]
            pause_s = await self._attempt(front, left_s, is_first=not attempt)
            if self.is_complete:
                break
            await asyncio.sleep(min(pause_s, (until_s - time.monotonic()) / 3))

    async def _attempt(self, front, left_s, is_first):
        request_id = new_id()
        more = {"Last-Event-Id": str(self.events[-1][0])} if self.events else {}
        headers = request_headers(request_id, left_s * 1000, **more)
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["POST /chat/ask HTTP/1.1", *lines, "Content-Length: 2"])
        self.record.write(
            f"sent {request_id} stream {self.number} to {front.name}, "
            f"after event {more.get('Last-Event-Id')}"
        )
        writer, status, pause_s = None, 0, 0.3
        try:
            async with asyncio.timeout(left_s):
                reader, writer = await asyncio.open_connection(
                    front.host, self.site.front_port
                )
                writer.write(head.encode() + b"\r\n\r\nhi")
                line, found = await read_head(reader)
                status = int(line.split()[1])
                if status != 200:
                    return float(found.get("retry-after", 0.3))
                self.is_complete = await self._read_events(reader, is_first)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.write(f"broken {request_id} {error!r}")
        finally:
            if writer is not None:
                writer.transport.abort()
            self.answers.append(status)
            self.record.write(
                f"answered {request_id} stream {self.number} status {status}, last "
                f"event {self.events[-1] if self.events else None}, "
                f"complete {self.is_complete}"
            )
        return pause_s

    async def _read_events(self, reader, is_first):
        """Read events; return whether the response is whole."""
        pending = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if not size:
                return True
            pending += await reader.readexactly(size)
            await reader.readexactly(2)
            while found := EVENT.match(pending):
                pending = pending[found.end() :]
                self.events.append((int(found[1]), found[2].decode()))
                if is_first and len(self.events) == self.break_after:
                    raise ConnectionResetError("the client's link")


def run(main, folder):
    """Run a case; exit with 0 if the rule held, 1 if not, 2 if it couldn't run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    code = 2
    try:
        code = asyncio.run(_run(main, record))
    except Exception as error:  # noqa: BLE001
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
    # At its end the interpreter would report the connections that are still open.
    os._exit(code)


async def _run(main, record):
    try:
        async with asyncio.timeout(118.0):
            return await main(record)
    finally:
        # Connections that are still open would otherwise outlive the event loop.
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
