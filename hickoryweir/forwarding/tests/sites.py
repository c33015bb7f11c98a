"""Fixtures: a router whose backend servers are functions of the tests."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import socket

import aiohttp
from aiohttp import web

from hickoryweir import clocks
from hickoryweir.discovery import listing
from hickoryweir.forwarding import (
    contexts,
    headers,
    resumption,
    server,
    server_pool,
    sockets,
)
from hickoryweir.forwarding_policy import retry_budget
from hickoryweir.routes import matching, model
from hickoryweir.routes.tests import tables
from hickoryweir.testing import waiting

HOST = "127.0.0.1"
IDLE_S = 5.0
WAIT_S = 5.0
# Long enough for the router to read a part by itself.
PART_INTERVAL_S = 0.02
SLOW_READER_BUFFER_SIZE_BYTES = 4_096
HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
HEALTH_PATH = "/health"
HEALTH_CHECK = f"GET {HEALTH_PATH} ".encode()
LISTENER_KEY = web.RequestKey("listener", asyncio.Server)


@dataclasses.dataclass(slots=True)
class Backend:
    """A backend server, with the requests that it received in `seen`."""

    server_id: str
    address: str
    listener: asyncio.Server
    seen: list


@dataclasses.dataclass(slots=True)
class Site:
    """A router with its backend servers and a client."""

    forwarder: contexts.Forwarder
    running: server.RunningServer
    backends: list[Backend]
    client: aiohttp.ClientSession
    port: int

    async def call(self, method="POST", path="/chat/x", given=None, **options):
        """Send a request; return status, headers and body of the response."""
        sent = {"Host": "site.example", headers.REQUEST_ID: "r-1"} | (given or {})
        url = f"http://{HOST}:{self.port}{path}"
        async with self.client.request(
            method, url, headers=sent, **options
        ) as response:
            return response.status, response.headers, await response.read()


async def start_backend(server_id, answer) -> Backend:
    """Start a backend server; `answer(request, body)` returns or sends the response.

    Health checks are neither recorded nor passed to `answer`.
    """
    seen = []

    async def handle(request):
        if request.path == HEALTH_PATH:
            return web.Response()
        body = await request.read()
        request[LISTENER_KEY] = listener
        seen.append((request, body))
        return await answer(request, body)

    web_server = web.Server(handle, access_log=None)
    listener = await asyncio.get_running_loop().create_server(web_server, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    return Backend(server_id, f"{HOST}:{port}", listener, seen)


@contextlib.asynccontextmanager
async def run_raw_backends(count, *responses, open_s=0.0):
    """Run backend servers that send the bytes of the next response, then close.

    They share the responses and the list of received heads.  A response may be a tuple
    of parts that are sent apart.  Connections stay open for `open_s` after a response;
    they are closed at once if no response is left.  Health checks take no response.
    """
    seen, left = [], list(responses)

    async def handle(reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(HEALTH_CHECK):
                writer.write(HEALTHY)
                return
            seen.append(head)
            if not left:
                return
            response = left.pop(0)
            for part in response if isinstance(response, tuple) else (response,):
                writer.write(part)
                await asyncio.sleep(PART_INTERVAL_S)
            await asyncio.sleep(open_s)
        except asyncio.IncompleteReadError:
            # The client has closed.
            return
        finally:
            writer.close()

    backends = []
    for number in range(count):
        listener = await asyncio.start_server(handle, HOST, 0)
        address = f"{HOST}:{listener.sockets[0].getsockname()[1]}"
        backends.append(Backend(f"s{number}", address, listener, seen))
    try:
        yield backends
    finally:
        for backend in backends:
            backend.listener.close()


def end_server(request):
    """End the connection of a request as the end of its server's process does."""
    request[LISTENER_KEY].close()
    request.transport.abort()
    return web.Response()


def answering(status=200, text="whole", **more):
    """Return a backend function that echoes the request's id."""

    async def answer(request, body):
        given = {headers.REQUEST_ID: request.headers.get(headers.REQUEST_ID, "")}
        return web.Response(status=status, text=text, headers=given | more)

    return answer


def make_forwarder(
    routes, accounts=(), budget=None, buffer_size_bytes=0
) -> contexts.Forwarder:
    """Return a forwarder with a table in force and no backend server."""
    route_index = matching.make_index(tables.make_table(routes, accounts))

    def max_idle_connections_count(address):
        return contexts.max_idle_connections_count(forwarder, address)

    retryable_session, at_most_once_session = sockets.make_sessions(
        IDLE_S, max_idle_connections_count, buffer_size_bytes
    )
    forwarder = contexts.Forwarder(
        settings=contexts.Settings(
            "a", budget or retry_budget.Settings(1.0, 10.0, 100), bounds_memory=True
        ),
        codec=headers.make_header_codec(),
        retryable_session=retryable_session,
        at_most_once_session=at_most_once_session,
        generator=random.Random(1),
        route_index=route_index,
    )
    return forwarder


@contextlib.asynccontextmanager
async def run_site(answers, routes=None, versions=(), **options):
    """Run a router with one backend server for each function in `answers`."""
    if routes is None:
        routes = (tables.make_route(allows_anonymous=True),)
    forwarder = make_forwarder(routes, **options)
    backends = []
    for number, answer in enumerate(answers):
        backends.append(await start_backend(f"s{number}", answer))
    list_servers(forwarder, backends, versions=versions)
    running = await server.start(forwarder, HOST, 0)
    port = running.listener.sockets[0].getsockname()[1]
    client = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True), auto_decompress=False
    )
    try:
        yield Site(forwarder, running, backends, client, port)
    finally:
        await client.close()
        await server.stop(running, 0.1)
        for backend in backends:
            backend.listener.close()
        await forwarder.retryable_session.close()
        await forwarder.at_most_once_session.close()


async def open_slow_reader(port):
    """Connect with small buffers, so that a large response stays in the router."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READER_BUFFER_SIZE_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
    return await asyncio.open_connection(sock=sock, limit=SLOW_READER_BUFFER_SIZE_BYTES)


def list_servers(
    forwarder, backends, state=listing.ServerState.READY, versions=()
) -> None:
    """Set the router's list of backend servers, with software versions in order."""
    pairs = itertools.zip_longest(backends, versions, fillvalue="")
    servers = tuple(
        listing.BackendServer(
            backend.server_id,
            "app",
            backend.address,
            "a",
            state,
            8,
            0.0,
            software_version=version,
        )
        for backend, version in pairs
    )
    found = listing.ServerList(servers, clocks.boottime_s())
    server_pool.update_servers(forwarder.pool, found)
    resumption.apply_list(forwarder, found)
    forwarder.started.set()


def resumable_route():
    """Return a route of resumable streams."""
    return tables.make_route(
        allows_anonymous=True,
        is_stream=True,
        execution=model.Execution.RESUMABLE_STREAM,
    )


def at_most_once_route(**changes):
    """Return a route whose requests run at most once."""
    return tables.make_route(
        allows_anonymous=True, execution=model.Execution.AT_MOST_ONCE, **changes
    )


async def wait_until(condition) -> None:
    """Return once `condition()` holds."""
    await waiting.wait_until(condition, WAIT_S)
