"""Reads the paginated list of backend servers that the infrastructure maintains.

Several writers share the list.  An entry that names no usable server is skipped and
counted, whatever it holds; the other entries are in force.  See also
:mod:`hickoryweir.discovery.entries`.
"""

import asyncio
import dataclasses
import enum
import re
from collections.abc import Awaitable, Callable
from typing import ClassVar

import aiohttp
from returns import result

from hickoryweir import clocks
from hickoryweir.engines import framing
from hickoryweir.observability import logs

# A page takes milliseconds; 1 s bounds a read over a lossy link.
PAGE_TIMEOUT_S = 1.0
# At 50 entries per page, this is more than the servers of any one site.
MAX_PAGES_COUNT = 400
# Ten times the page of a site with several thousand servers that has no pagination.
MAX_PAGE_SIZE_BYTES = 16 * 1024 * 1024
# As many as `MAX_PAGES_COUNT` pages with 50 entries have.
MAX_SERVERS_COUNT = 20_000
MAX_TOKEN_LENGTH = 4096
RATE_EXCEEDED = "status 429"
# A quarter of the second over which the list counts its calls.
REFUSED_WAIT_S = 0.25
MAX_REFUSED_COUNT = 4
CHUNK_SIZE_BYTES = 64 * 1024
# An entry as large as this blocks the event loop for 15 ms at most; a larger page is
# decoded by a thread.
MAX_INLINE_SIZE_BYTES = 64 * 1024
# Ends a read whose pages each come just within `PAGE_TIMEOUT_S`.
MAX_READ_S = 30.0
# Larger integers are not exact as floats, and far larger ones fit into no message.
MAX_FIGURE = 1 << 53
# Far more than a server runs; sums over all servers of a list fit into a message.
MAX_SLOTS_COUNT = 1 << 20
MAX_PORT = (1 << 16) - 1
LABEL = "[A-Za-z0-9_-]{1,63}"
ADDRESS = re.compile(rf"(?P<host>{LABEL}(?:\.{LABEL})*):(?P<port>[0-9]{{1,5}})")
OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
IPV4_ADDRESS = re.compile(rf"{OCTET}(?:\.{OCTET}){{3}}")
VISIBLE_TEXT = re.compile(r"[!-~]+")
LONE_SURROGATE = re.compile(r"[\ud800-\udfff]")
CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f]")
# An update with the servers of a large list still fits into a message to the routers.
MAX_TEXT_LENGTH = 256
MAX_LOGGED_LENGTH = 200


class ServerState(enum.StrEnum):
    """Whether a backend server takes new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One backend server, identified by the id of its current incarnation.

    Attributes
    ----------
    slots_count : int
        Maximum number of concurrent requests.
    warmup_left_s : float
        Remaining warm-up time when the list was read, during which it is slow.
    started_at_ms : int
        Start time in Unix milliseconds; 0 if the list does not include it.
    software_version : str
        Version of the server's software; empty if the list does not include it.
    is_spot : bool or None
        Whether it may be reclaimed; None if the list does not say it.
    leaves_ms : float or None
        Time until it leaves; None if it stays, or the list does not say it.
    """

    OMITS_DEFAULTS: ClassVar[bool] = True

    server_id: str
    service_name: str
    address: str
    availability_zone: str
    state: ServerState
    slots_count: int
    warmup_left_s: float
    started_at_ms: int = 0
    software_version: str = ""
    is_spot: bool | None = None
    leaves_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """One page of the list.

    Attributes
    ----------
    unreadable_count : int
        Entries that were skipped.
    problem : str
        What is wrong with the first of them; empty if there are none.
    """

    servers: tuple[BackendServer, ...]
    next_token: str | None
    unreadable_count: int = 0
    problem: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerList:
    """A complete list and the start of its read, on :func:`clocks.boottime_s`.

    Attributes
    ----------
    unreadable_count : int
        Entries that were skipped.
    problem : str
        What is wrong with the first of them; empty if there are none.
    """

    servers: tuple[BackendServer, ...]
    read_at_s: float
    unreadable_count: int = 0
    problem: str = ""


def without_plans(server: BackendServer) -> BackendServer:
    """Return a server without the fields that only the ordering of servers needs.

    Routers of earlier versions can't read these fields.
    """
    return dataclasses.replace(server, is_spot=None, leaves_ms=None)


def versions_of(server_list: ServerList) -> frozenset[tuple[str, str]]:
    """Return the pairs of a service and a software version that a list has."""
    return frozenset(
        (server.service_name, server.software_version) for server in server_list.servers
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Location of the list and decoder of its pages.

    Attributes
    ----------
    make_url : callable
        Returns the URL of a page for its token, which is None for the first page.
    decode_page : callable
        Returns the page decoded from a response body, or an error message.
    """

    make_url: Callable[[str | None], str]
    decode_page: Callable[[bytes], result.Result[Page, str]]


def find_problem(server: BackendServer) -> str | None:
    r"""Return why a server can't be used; None if it can.

    Its id is sent to it in a header, and its address is connected to.

    Examples
    --------
    >>> server = BackendServer("s", "app", "10.0.0.1:80", "", ServerState.READY, 8, 0.0)
    >>> find_problem(server)
    >>> find_problem(dataclasses.replace(server, slots_count=10**30))
    'slots out of range'
    >>> find_problem(dataclasses.replace(server, warmup_left_s=float("nan")))
    'warm-up out of range'
    >>> find_problem(dataclasses.replace(server, address="10.0.0.1:65536"))
    'no address with a port'
    >>> find_problem(dataclasses.replace(server, server_id="s y"))
    'id with other characters than visible ASCII'
    >>> find_problem(dataclasses.replace(server, software_version="1\r\nX: y"))
    'text with a control character'
    """
    texts = (
        server.server_id,
        server.service_name,
        server.availability_zone,
        server.software_version,
    )
    if max(map(len, texts)) > MAX_TEXT_LENGTH:
        return f"text longer than {MAX_TEXT_LENGTH} characters"
    if LONE_SURROGATE.search("".join(texts)):
        return "text with a lone surrogate"
    if CONTROL_CHARACTER.search("".join(texts)):
        return "text with a control character"
    if not VISIBLE_TEXT.fullmatch(server.server_id):
        return "id with other characters than visible ASCII"
    if not _is_address(server.address):
        return "no address with a port"
    if not 0 <= server.slots_count <= MAX_SLOTS_COUNT:
        return "slots out of range"
    if not abs(server.started_at_ms) <= MAX_FIGURE:
        return "start out of range"
    if not abs(server.warmup_left_s) <= MAX_FIGURE:
        return "warm-up out of range"
    return None


def _is_address(address: str) -> bool:
    """Return whether an address has an IPv4 address or a host name, and a port."""
    match = ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match["port"]) <= MAX_PORT:
        return False
    host = match["host"]
    is_numeric = host.replace(".", "").isdecimal()
    return not is_numeric or IPV4_ADDRESS.fullmatch(host) is not None


def make_page(
    decoded: list[result.Result[BackendServer, str]],
    problems: tuple[str, ...],
    next_token: str | None,
) -> Page:
    """Return a page with the usable ones of its entries.

    Parameters
    ----------
    decoded : list of Result of BackendServer or str
        Entries that were decoded, or why they can't be.
    problems : tuple of str
        Why other entries were not decoded.
    next_token : str or None
        Token of the next page.
    """
    servers, found = [], list(problems)
    for item in decoded:
        server = item.value_or(None)
        problem = item.failure() if server is None else find_problem(server)
        if problem is None:
            servers.append(server)
        else:
            found.append(problem)
    problem = found[0][:MAX_LOGGED_LENGTH] if found else ""
    return Page(tuple(servers), next_token, len(found), problem)


@dataclasses.dataclass(slots=True)
class SkippedEntries:
    """Counts and logs the entries that reads of the list have skipped.

    Attributes
    ----------
    count : callable
        Called with the number of entries that a read has skipped.
    """

    count: Callable[[int], None] = lambda number: None
    _last: tuple[int, str] = (0, "")

    def record(self, server_list: ServerList) -> None:
        """Count the entries that a read has skipped, and log a change."""
        self.count(server_list.unreadable_count)
        current = (server_list.unreadable_count, server_list.problem)
        if current == self._last:
            return
        self._last = current
        fields = logs.Fields(reason=server_list.problem, detail=f"{current[0]} entries")
        logs.warning("unusable entries in the list of servers", fields)


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """What one read of the list has found.

    Attributes
    ----------
    found : ServerList
        The servers of the pages that were read.
    pages_count : int
        Number of these pages.
    useful_pages_count : int
        Number of these pages up to the last one that had a server not yet read.
    problem : str
        Why the read ended before the last page; empty if it did not.
    has_no_end : bool
        Whether it was given up because no last page came.
    """

    found: ServerList
    pages_count: int
    useful_pages_count: int
    problem: str = ""
    has_no_end: bool = False


async def read_all(
    session: aiohttp.ClientSession, source: Source
) -> result.Result[ServerList, str]:
    """Read all pages without regard to the rate of the list.

    Parameters
    ----------
    session : aiohttp.ClientSession
        See :func:`hickoryweir.engines.sessions.make_session`.
    source : Source
        Location and format of the list.

    Returns
    -------
    Result of ServerList or str
        The complete list, or the reason why a page could not be read.
    """

    async def wait_for_page() -> None:
        """Read the next page at once."""

    reading = await read_pages(session, source, wait_for_page)
    if reading.problem:
        return result.Failure(reading.problem)
    return result.Success(reading.found)


async def read_pages(
    session: aiohttp.ClientSession,
    source: Source,
    wait_for_page: Callable[[], Awaitable[None]],
    max_pages_count: int = MAX_PAGES_COUNT,
) -> Reading:
    """Read pages until the last one, a failure or a bound.

    Parameters
    ----------
    session, source
        See :func:`read_all`.
    wait_for_page : callable
        Returns when the next page may be asked for.
    max_pages_count : int, optional
        Pages after which the read is given up.
    """
    started_s = clocks.boottime_s()
    pages: list[Page] = []
    tokens: set[str | None] = set()
    token, problem = None, ""
    refused_count = 0
    while not problem:
        await wait_for_page()
        found = await _read_page(session, source, token)
        if isinstance(found, result.Failure):
            is_refused = found.failure() == RATE_EXCEEDED
            if pages and is_refused and refused_count < MAX_REFUSED_COUNT:
                refused_count += 1
                await asyncio.sleep(REFUSED_WAIT_S)
                continue
            return _make_reading(pages, started_s, found.failure())
        tokens.add(token)
        pages.append(found.unwrap())
        token = pages[-1].next_token
        if token is None:
            return _make_reading(pages, started_s)
        problem = _find_bound(pages, tokens, started_s, max_pages_count)
    return _make_reading(pages, started_s, problem, has_no_end=True)


def _make_reading(
    pages: list[Page], started_s: float, problem: str = "", has_no_end: bool = False
) -> Reading:
    known: set[tuple[str, str, str]] = set()
    useful_pages_count = 0
    for number, page in enumerate(pages, start=1):
        keys = set(map(_key, page.servers))
        if not keys <= known:
            useful_pages_count = number
            known |= keys
    found = _join(pages, started_s)
    return Reading(found, len(pages), useful_pages_count, problem, has_no_end)


def _find_bound(
    pages: list[Page],
    tokens: set[str | None],
    started_s: float,
    max_pages_count: int,
) -> str:
    """Return which bound a read has reached that goes on; empty if none."""
    token = pages[-1].next_token
    if token in tokens:
        return "a page token of the server list repeats"
    if len(token) > MAX_TOKEN_LENGTH:
        return f"a page token is longer than {MAX_TOKEN_LENGTH} characters"
    if len(pages) >= max_pages_count:
        return f"server list exceeds {max_pages_count} pages"
    if sum(len(page.servers) for page in pages) >= MAX_SERVERS_COUNT:
        return f"server list exceeds {MAX_SERVERS_COUNT} servers"
    if clocks.boottime_s() - started_s > MAX_READ_S:
        return f"server list takes longer than {MAX_READ_S:g} s"
    return ""


def add_to_list(known: ServerList | None, found: ServerList) -> ServerList:
    """Return a list with the entries of a read that did not reach the last page.

    They add servers and replace the entries of known ones; no server is removed, as it
    may be on a page that was not read.

    Examples
    --------
    >>> old = BackendServer("s", "app", "10.0.0.1:80", "", ServerState.READY, 8, 0.0)
    >>> new = dataclasses.replace(old, state=ServerState.DRAINING)
    >>> other = dataclasses.replace(old, server_id="t")
    >>> merged = add_to_list(ServerList((old, other), 1.0), ServerList((new,), 2.0))
    >>> [(server.server_id, str(server.state)) for server in merged.servers]
    [('s', 'draining'), ('t', 'ready')]
    """
    servers = {} if known is None else {_key(item): item for item in known.servers}
    for item in found.servers:
        if _key(item) in servers or len(servers) < MAX_SERVERS_COUNT:
            servers[_key(item)] = item
    return dataclasses.replace(found, servers=tuple(servers.values()))


def _key(server: BackendServer) -> tuple[str, str, str]:
    # Entries of other writers may have the id of a server.
    return server.server_id, server.service_name, server.address


def _join(pages: list[Page], read_at_s: float) -> ServerList:
    return ServerList(
        tuple(server for page in pages for server in page.servers),
        read_at_s,
        sum(page.unreadable_count for page in pages),
        next((page.problem for page in pages if page.problem), ""),
    )


async def _read_page(
    session: aiohttp.ClientSession, source: Source, token: str | None
) -> result.Result[Page, str]:
    try:
        found = await _read_body(session, source.make_url(token))
        body = found.value_or(b"")
        if isinstance(found, result.Failure) or len(body) <= MAX_INLINE_SIZE_BYTES:
            return found.bind(source.decode_page)
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(None, source.decode_page, body)
    except Exception as error:
        # An unreadable list must not end the task; the last one stays in use.
        return result.Failure(f"page not decoded: {error!r}"[:MAX_LOGGED_LENGTH])


async def _read_body(
    session: aiohttp.ClientSession, url: str
) -> result.Result[bytes, str]:
    timeout = aiohttp.ClientTimeout(total=PAGE_TIMEOUT_S)
    body = bytearray()
    try:
        async with session.get(url, timeout=timeout, allow_redirects=False) as response:
            if response.status != 200:
                return result.Failure(f"status {response.status}")
            protocol = framing.protocol_of(response)
            async for chunk in response.content.iter_chunked(CHUNK_SIZE_BYTES):
                body += chunk
                if len(body) > MAX_PAGE_SIZE_BYTES:
                    return result.Failure(f"page size over {MAX_PAGE_SIZE_BYTES} bytes")
            if framing.ended_by_reset(response, protocol):
                return result.Failure(framing.describe_reset(protocol))
    except (
        aiohttp.ClientError,
        TimeoutError,
        OSError,
        asyncio.IncompleteReadError,
    ) as error:
        return result.Failure(framing.describe_error(error))
    return result.Success(bytes(body))
