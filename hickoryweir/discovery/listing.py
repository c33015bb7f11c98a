"""The list of backend servers that the infrastructure keeps, read page by page."""

import asyncio
import dataclasses
import enum
from collections.abc import Callable

import aiohttp
from returns import result

from hickoryweir import clocks

# A page comes in milliseconds; a second bounds a reading through a lossy link.
PAGE_TIMEOUT_S = 1.0
# Fifty entries a page, so this many pages hold more servers than one site has.
MAX_PAGES_COUNT = 400


class ServerState(enum.StrEnum):
    """Whether a backend server takes new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One backend server, by the id of its present incarnation.

    Attributes
    ----------
    slots_count : int
        Requests that it runs at once.
    warmup_left_s : float
        Seconds for which it is still slow after its start, when the list was read.
    started_at_ms : int
        When it started, in Unix milliseconds; 0 if the list does not tell.
    """

    server_id: str
    service_name: str
    address: str
    availability_zone: str
    state: ServerState
    slots_count: int
    warmup_left_s: float
    started_at_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """One page of the list; `unreadable_count` entries were passed over."""

    servers: tuple[BackendServer, ...]
    next_token: str | None
    unreadable_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerList:
    """A whole list and when its reading began, on :func:`clocks.elapsed_s`."""

    servers: tuple[BackendServer, ...]
    read_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Where the list is and how its pages are read.

    Attributes
    ----------
    make_url : callable
        Returns the URL of a page from its token; None for the first page.
    decode_page : callable
        Returns a page from a body, or text that says why it is none.
    """

    make_url: Callable[[str | None], str]
    decode_page: Callable[[bytes], result.Result[Page, str]]


async def read_all(
    session: aiohttp.ClientSession, source: Source
) -> result.Result[ServerList, str]:
    """Read every page.

    Parameters
    ----------
    session : aiohttp.ClientSession
        See :func:`hickoryweir.engines.sessions.make_session`.
    source : Source
        Where the list is.

    Returns
    -------
    Result of ServerList or str
        The list, or why it could not be read as a whole.
    """
    started_s = clocks.elapsed_s()
    servers: list[BackendServer] = []
    token = None
    for _ in range(MAX_PAGES_COUNT):
        body = await _read_body(session, source.make_url(token))
        page = body.bind(source.decode_page)
        if isinstance(page, result.Failure):
            return page
        decoded_page = page.unwrap()
        servers.extend(decoded_page.servers)
        token = decoded_page.next_token
        if token is None:
            return result.Success(ServerList(tuple(servers), started_s))
    return result.Failure("the list has too many pages")


async def _read_body(
    session: aiohttp.ClientSession, url: str
) -> result.Result[bytes, str]:
    timeout = aiohttp.ClientTimeout(total=PAGE_TIMEOUT_S)
    try:
        async with session.get(url, timeout=timeout, allow_redirects=False) as response:
            if response.status != 200:
                return result.Failure(f"status {response.status}")
            return result.Success(await response.read())
    except (
        aiohttp.ClientError,
        TimeoutError,
        OSError,
        asyncio.IncompleteReadError,
    ) as error:
        return result.Failure(type(error).__name__)
