"""Reading of a client's request before it is forwarded."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from hickoryweir.forwarding import errors

# Ample for a few kilobytes over a mobile connection.
BODY_TIMEOUT_S = 10.0


def path_of(target: str) -> str | None:
    """Return the path of a request target, without the query.

    None if the target is not in origin form (RFC 9112, section 3.2.1).

    Examples
    --------
    >>> path_of("/a/b?c=1")
    '/a/b'
    >>> path_of("http://elsewhere/a") is None, path_of("/a#b") is None
    (True, True)
    """
    if not target.startswith("/") or "#" in target:
        return None
    return target.partition("?")[0]


async def _send_continue(request: web.BaseRequest) -> None:
    """Tell the client, which waits for it, to send the body."""
    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # An interim response is not the start of the final one.
    request.writer.output_size = 0


async def _always_reserve(read_size_bytes: int, size_bytes: int) -> bool:
    return True


async def read_body(
    request: web.BaseRequest,
    max_size_bytes: int,
    reserve: Callable[[int, int], Awaitable[bool]] = _always_reserve,
) -> bytes | errors.Reason:
    """Return the complete body, or why the request is refused.

    Parameters
    ----------
    request : web.BaseRequest
        The request.
    max_size_bytes : int
        Largest size of a body.
    reserve : callable, optional
        ``await reserve(read_size_bytes, size_bytes)`` is told how much of it was read,
        waits for room and returns whether the body may be read up to a size.  The time
        for the body does not run meanwhile.
    """
    if not request.body_exists:
        return b""
    stated_size_bytes = request.content_length or 0
    if stated_size_bytes > max_size_bytes:
        return errors.Reason.BODY_TOO_LARGE
    if not await reserve(0, stated_size_bytes):
        return errors.Reason.BUFFERS_FULL
    if request.headers.get("Expect", "").lower() == "100-continue":
        await _send_continue(request)
    chunks, size_bytes = [], 0
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S) as timer:
            async for chunk in request.content.iter_any():
                chunks.append(chunk)
                size_bytes += len(chunk)
                if size_bytes > max_size_bytes:
                    return errors.Reason.BODY_TOO_LARGE
                began_s, end_s = loop.time(), timer.when()
                timer.reschedule(None)
                if not await reserve(size_bytes, size_bytes):
                    return errors.Reason.BUFFERS_FULL
                timer.reschedule(end_s + loop.time() - began_s)
    except TimeoutError:
        return errors.Reason.BODY_TIMED_OUT
    return b"".join(chunks)
