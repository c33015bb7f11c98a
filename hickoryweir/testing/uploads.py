"""Clients that upload side by side, and a server that reads what they send.

Both run as processes of their own::

    python -m hickoryweir.testing.uploads serve HOST WAIT_S READ_AFTER_S
    python -m hickoryweir.testing.uploads call HOST PORT PATH FORM CLIENTS SECONDS

``serve`` prints its port, serves until its standard input ends, and prints the ids of
the requests that it received as a JSON list.  It reads a body READ_AFTER_S after its
head.  ``call`` prints the outcomes of the
uploads as a JSON list.
"""

import asyncio
import collections
import dataclasses
import json
import sys
import time
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web

from hickoryweir.forwarding import headers

KB = 1024
PART_SIZE_BYTES = 64 * KB
PAUSE_S = 0.02
# Beyond the timeout of the route and the time for a body.
TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """How a client uploads.

    Attributes
    ----------
    size_bytes : int
        Size of the body.
    is_chunked : bool
        Whether the body comes in chunks, without a stated length.
    part_pause_s : float
        Time between parts of the body.
    """

    size_bytes: int
    is_chunked: bool = False
    part_pause_s: float = 0.0


SMALL_SIZE_BYTES = 1024 * KB
LARGE_SIZE_BYTES = 3_993 * KB
FORMS: dict[str, Form] = {
    "1_mib-length": Form(SMALL_SIZE_BYTES),
    "1_mib-chunks": Form(SMALL_SIZE_BYTES, is_chunked=True),
    "1_mib-slow": Form(SMALL_SIZE_BYTES, part_pause_s=0.1),
    "1_mib-chunks-slow": Form(SMALL_SIZE_BYTES, is_chunked=True, part_pause_s=0.1),
    "4_mib-length": Form(LARGE_SIZE_BYTES),
    "4_mib-chunks": Form(LARGE_SIZE_BYTES, is_chunked=True),
    "4_mib-slow": Form(LARGE_SIZE_BYTES, part_pause_s=0.1),
    "largest-length": Form(4 * 1024 * KB),
    "largest-slow": Form(4 * 1024 * KB, part_pause_s=0.05),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How an upload ended.

    Attributes
    ----------
    request_id : str
        Its id.
    result : str
        The status of its response, or the name of the error in place of one.
    duration_s : float
        Time until then.
    has_retry_after : bool
        Whether the response says when to come back.
    """

    request_id: str
    result: str
    duration_s: float
    has_retry_after: bool = False


async def _parts(form: Form) -> AsyncIterator[bytes]:
    """Yield the parts of a body."""
    block = b"x" * PART_SIZE_BYTES
    for start in range(0, form.size_bytes, PART_SIZE_BYTES):
        if start and form.part_pause_s:
            await asyncio.sleep(form.part_pause_s)
        yield block[: form.size_bytes - start]


async def upload(
    session: aiohttp.ClientSession, url: str, form: Form, request_id: str
) -> Outcome:
    """Send one body; return how it ended."""
    sent = {"Host": "site.example", headers.REQUEST_ID: request_id}
    if not form.is_chunked:
        sent["Content-Length"] = str(form.size_bytes)
    began_s = time.monotonic()
    has_retry_after = False
    try:
        async with session.post(url, data=_parts(form), headers=sent) as response:
            await response.read()
            result = str(response.status)
            has_retry_after = "Retry-After" in response.headers
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        result = type(error).__name__
    return Outcome(request_id, result, time.monotonic() - began_s, has_retry_after)


async def run(url: str, form: Form, clients_count: int, for_s: float) -> list[Outcome]:
    """Upload from several clients, each again after a pause; at least once each."""
    end_s, outcomes = time.monotonic() + for_s, []
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)

    async def run_client(number: int) -> None:
        for attempt in range(sys.maxsize):
            request_id = f"u-{number}-{attempt}"
            outcome = await upload(session, url, form, request_id)
            outcomes.append(outcome)
            await asyncio.sleep(PAUSE_S)
            if time.monotonic() >= end_s or outcome.result.endswith("ConnectorError"):
                return

    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        await asyncio.gather(*(run_client(number) for number in range(clients_count)))
    return outcomes


async def serve(host: str, wait_s: float, read_after_s: float) -> None:
    """Receive uploads until the standard input ends, then print their ids."""
    received: collections.Counter[str] = collections.Counter()

    async def answer(request: web.BaseRequest) -> web.Response:
        request_id = request.headers[headers.REQUEST_ID]
        received[request_id] += 1
        await asyncio.sleep(read_after_s)
        async for _ in request.content.iter_any():
            pass
        await asyncio.sleep(wait_s)
        return web.Response(text="done", headers={headers.REQUEST_ID: request_id})

    loop = asyncio.get_running_loop()
    server = web.Server(answer, access_log=None)
    listener = await loop.create_server(server, host, 0)
    print(listener.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)
    print(json.dumps(list(received.elements())), flush=True)


def main() -> None:
    """Run a server or clients, as the command line says."""
    match sys.argv[1:]:
        case ["serve", host, wait, read_after]:
            asyncio.run(serve(host, float(wait), float(read_after)))
        case ["call", host, port, path, form, clients, seconds]:
            url = f"http://{host}:{port}{path}"
            outcomes = asyncio.run(run(url, FORMS[form], int(clients), float(seconds)))
            print(json.dumps([dataclasses.asdict(outcome) for outcome in outcomes]))
        case _:
            sys.exit(__doc__)


if __name__ == "__main__":
    main()
