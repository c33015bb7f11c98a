"""Counts the bytes that a router holds, and keeps them within their bounds.

The bounds are in :mod:`hickoryweir.forwarding_policy.held_bytes`.  Sizes are summed
over the open requests whenever they are needed, so no counter can be left behind by a
request that ends in an unusual way.
"""

import asyncio
import collections
import dataclasses
import resource
import time

from aiohttp import web

from hickoryweir.engines import event_stream, framing
from hickoryweir.forwarding import contexts, errors, exchange, open_requests
from hickoryweir.forwarding_policy import held_bytes
from hickoryweir.observability import logs
from hickoryweir.routes import model

# Requests without an account count as those of one account.
NO_ACCOUNT = ""
CHECK_INTERVAL_S = 0.02
BODY_CHECK_INTERVAL_S = 0.01
RESIDENT_CHECK_INTERVAL_S = 0.1
STATM_FILE = "/proc/self/statm"
# A refused request is admitted as soon as some slow readers have taken their responses.
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class Resident:
    """Resident memory of this process when it was last read."""

    size_bytes: int = 0
    read_at_s: float = float("-inf")


# The memory of the process is the same for every forwarder in it.
resident = Resident()


def resident_size_bytes() -> int:
    """Return the resident memory of this process as of the last check interval."""
    now_s = time.monotonic()
    if now_s - resident.read_at_s >= RESIDENT_CHECK_INTERVAL_S:
        resident.read_at_s = now_s
        try:
            with open(STATM_FILE) as file:
                pages_count = int(file.read().split()[1])
        except OSError as error:
            # Without a free descriptor the last size counts.
            fields = logs.Fields(reason=str(error))
            logs.warning("resident memory can't be read", fields)
        else:
            resident.size_bytes = pages_count * resource.getpagesize()
    return resident.size_bytes


def held_size_bytes(
    connection: object, request: open_requests.OpenRequest, expected_size_bytes: int
) -> int:
    """Return the bytes that are held for one open request.

    Parameters
    ----------
    connection : server.ClientConnection
        The client's connection.
    request : open_requests.OpenRequest
        Its open request.
    expected_size_bytes : int
        Expected size of the response while it is not complete.
    """
    held = request.held
    response_size_bytes = max(
        _held_response_size_bytes(connection, held), expected_size_bytes
    )
    queued_size_bytes = (
        connection.queued_requests_count * held_bytes.QUEUED_OVERHEAD_SIZE_BYTES
    )
    return (
        held_bytes.REQUEST_OVERHEAD_SIZE_BYTES
        + _held_body_size_bytes(held)
        + response_size_bytes
        + queued_size_bytes
    )


def _held_response_size_bytes(connection: object, held: open_requests.Held) -> int:
    """Return the bytes that are held of responses to one open request."""
    unsent_size_bytes = connection.unsent_size_bytes
    if unsent_size_bytes > held.response_size_bytes:
        unsent_size_bytes += held.open_event_size_bytes + _unread_size_bytes(held)
    return held.kept_size_bytes + max(unsent_size_bytes, _read_size_bytes(held))


def _read_size_bytes(held: open_requests.Held) -> int:
    """Return what is held, or may be, of a response that is being read."""
    size_bytes = held.response_size_bytes + held.open_event_size_bytes
    allowed_size_bytes = held.reserved_size_bytes + held.read_ahead_size_bytes
    return max(size_bytes + _unread_size_bytes(held), allowed_size_bytes)


def waiting_size_bytes(connection: object, request: open_requests.OpenRequest) -> int:
    """Return the bytes of a response that were read and not passed to the kernel."""
    return max(request.held.response_size_bytes, connection.unsent_size_bytes)


def _unread_size_bytes(held: open_requests.Held) -> int:
    """Return the bytes of a server's response that were received and not read."""
    if held.content is None:
        return 0
    return max(0, held.content.total_bytes - held.content_read_size_bytes)


def measure(
    forwarder: contexts.Forwarder, account_name: str, counts_expected: bool = False
) -> held_bytes.Usage:
    """Return the bytes held for all requests, and for those of an account.

    Parameters
    ----------
    forwarder : contexts.Forwarder
        State of the router.
    account_name : str
        The account.
    counts_expected : bool, optional
        Whether responses that have not begun count with their expected size.
    """
    total_size_bytes = account_size_bytes = 0
    account_names = {account_name}
    for connection, request in forwarder.open_requests.items():
        expected_size_bytes = 0
        is_awaited = request.context is not None and not request.is_handled
        if counts_expected and is_awaited:
            expected_size_bytes = _expected_size_bytes(forwarder, request.context.route)
        size_bytes = held_size_bytes(connection, request, expected_size_bytes)
        total_size_bytes += size_bytes
        account_names.add(request.held.account_name)
        if request.held.account_name == account_name:
            account_size_bytes += size_bytes
    return held_bytes.Usage(
        total_size_bytes,
        account_size_bytes,
        resident_size_bytes(),
        len(account_names),
    )


def _expected_size_bytes(forwarder: contexts.Forwarder, route: model.Route) -> int:
    """Return the bytes that a response on a route is expected to take here at once."""
    size_bytes = forwarder.response_sizes_bytes.get(
        route.name, held_bytes.UNKNOWN_RESPONSE_SIZE_BYTES
    )
    if route.is_stream:
        most = held_bytes.MIN_STREAM_SIZE_BYTES + held_bytes.READ_AHEAD_SIZE_BYTES
        return min(most, int(size_bytes))
    return int(size_bytes)


def find_refusal(
    forwarder: contexts.Forwarder,
    request: open_requests.OpenRequest,
    route: model.Route,
    account: model.ClientAccount | None,
    content_length: int,
) -> errors.Reason | None:
    """Return why a request whose body is still unread is refused; None if it is not.

    The request counts towards the bound of its account from here on.

    Parameters
    ----------
    forwarder : contexts.Forwarder
        State of the router.
    request : open_requests.OpenRequest
        Record of the request.
    route : model.Route
        Its route.
    account : model.ClientAccount or None
        Its client account, if any.
    content_length : int
        Size of its body as stated, in bytes; 0 if it is not stated.
    """
    request.held.account_name = NO_ACCOUNT if account is None else account.name
    request.held.priority = priority_of(route, account)
    limits = forwarder.held_limits
    if limits is None or not limits.divides_accounts:
        return None
    size_bytes = held_bytes.BODY_COPIES_COUNT * content_length
    size_bytes += _expected_size_bytes(forwarder, route)
    usage = measure(forwarder, request.held.account_name, counts_expected=True)
    if held_bytes.admits(limits, usage, size_bytes, priority_of(route, account)):
        return None
    return errors.Reason.BUFFERS_FULL


def has_room_for_body(
    forwarder: contexts.Forwarder, request: open_requests.OpenRequest
) -> bool:
    """Return whether a body may be read further, where accounts divide the room."""
    limits = forwarder.held_limits
    if limits is None or not request.held.body_size_bytes:
        return True
    usage = measure(forwarder, request.held.account_name)
    return held_bytes.fits(limits, usage, 0)


async def reserve_body(
    forwarder: contexts.Forwarder,
    request: open_requests.OpenRequest,
    client_request: web.BaseRequest,
    size_bytes: int,
    wait_until_s: float,
) -> bool:
    """Return whether a request's body may be read up to a size.

    This is for bounds that are not divided among accounts.  It waits until there is
    room, and the client is not read meanwhile; if it leaves, its connection is closed.

    Parameters
    ----------
    forwarder : contexts.Forwarder
        State of the router.
    request : open_requests.OpenRequest
        Record of the request.
    client_request : web.BaseRequest
        The request, whose body is read.
    size_bytes : int
        The size; what was read of a body without a stated length.
    wait_until_s : float
        Loop time of the end of all waits for this body.
    """
    held = request.held
    if size_bytes <= held.body_reserved_size_bytes:
        return True
    held.body_content = client_request.content
    is_length_known = client_request.content_length is not None
    if not is_length_known:
        size_bytes = max(size_bytes, held_bytes.USUAL_BODY_SIZE_BYTES)
    held.body_demand = held_bytes.BodyDemand(
        held.priority,
        request.received_at_s,
        _held_body_size_bytes(held),
        held_bytes.BODY_COPIES_COUNT * size_bytes,
        is_length_known,
    )
    granted = asyncio.get_running_loop().create_future()
    forwarder.waiting_bodies[request] = granted
    try:
        _grant_bodies(forwarder)
        if not granted.done():
            if not _may_wait(forwarder, held):
                held.may_body_grow = _may_grow(forwarder, held)
                if not held.may_body_grow:
                    return False
            if forwarder.bodies_check is None:
                _check_waiting_bodies(forwarder)
            async with asyncio.timeout_at(wait_until_s):
                with client_request.protocol.closing_if_left():
                    await granted
        return granted.result()
    except TimeoutError:
        return False
    finally:
        held.may_body_grow = False
        del forwarder.waiting_bodies[request]


def end_body(request: open_requests.OpenRequest) -> None:
    """Release the room that a body which was read whole does not need."""
    held = request.held
    held.body_reserved_size_bytes = 0
    held.body_content = held.body_demand = None


def _grant_bodies(forwarder: contexts.Forwarder) -> None:
    """Tell the bodies that wait of the room that there is now."""
    demands = {
        request: _resolve_demand(request.held)
        for request, granted in forwarder.waiting_bodies.items()
        if not granted.done()
    }
    if not demands:
        return
    small = held_bytes.find_small_bodies_with_room(
        forwarder.held_limits, _small_bodies_sizes_bytes(forwarder), demands
    )
    for request, size_bytes in small.items():
        request.held.is_body_small = True
        _grant_body(forwarder, request, size_bytes)
    larger = {
        request: demand for request, demand in demands.items() if request not in small
    }
    for request, size_bytes in _find_larger_bodies(forwarder, larger).items():
        _grant_body(forwarder, request, size_bytes)


def _resolve_demand(held: open_requests.Held) -> held_bytes.BodyDemand:
    """Return what a body that waits needs, as far as it has been received."""
    if held.body_content.is_eof():
        held.body_demand = held.body_demand.resolve(held.body_content.total_bytes)
    return held.body_demand


def _grant_body(
    forwarder: contexts.Forwarder, request: open_requests.OpenRequest, size_bytes: int
) -> None:
    """Let a body that waits be read up to a size, as it counts."""
    room_size_bytes = size_bytes // held_bytes.BODY_COPIES_COUNT
    request.held.body_reserved_size_bytes = room_size_bytes
    forwarder.waiting_bodies[request].set_result(True)


def _small_bodies_sizes_bytes(forwarder: contexts.Forwarder) -> dict[int, int]:
    """Return what the bodies in the part for small ones take, by priority."""
    sizes_bytes = collections.Counter()
    for request in forwarder.open_requests.values():
        if request.held.is_body_small:
            sizes_bytes[request.held.priority] += _held_body_size_bytes(request.held)
    return sizes_bytes


def _find_larger_bodies(
    forwarder: contexts.Forwarder,
    demands: dict[open_requests.OpenRequest, held_bytes.BodyDemand],
) -> dict[open_requests.OpenRequest, int]:
    """Return the bodies with room in the part for all of them, and how much."""
    sizes_bytes = collections.Counter()
    unknown_size_bytes, ranks = 0, []
    for request in forwarder.open_requests.values():
        held, demand = request.held, request.held.body_demand
        if held.is_body_small:
            continue
        size_bytes = _held_body_size_bytes(held)
        sizes_bytes[held.priority] += size_bytes
        if size_bytes and demand is not None and not demand.is_length_known:
            unknown_size_bytes += size_bytes
            ranks.append(demand.rank)
    table_limits = forwarder.route_index.table.limits
    return held_bytes.find_bodies_with_room(
        forwarder.held_limits,
        sizes_bytes,
        demands,
        held_bytes.BODY_COPIES_COUNT * table_limits.max_body_size_bytes,
        min(ranks, default=None),
        unknown_size_bytes,
    )


def _check_waiting_bodies(forwarder: contexts.Forwarder) -> None:
    """Look for room for the bodies that wait, again and again while there are any."""
    _grant_bodies(forwarder)
    _refuse_grown_bodies(forwarder)
    forwarder.bodies_check = None
    if forwarder.waiting_bodies:
        forwarder.bodies_check = asyncio.get_running_loop().call_later(
            BODY_CHECK_INTERVAL_S, _check_waiting_bodies, forwarder
        )


def _may_wait(forwarder: contexts.Forwarder, held: open_requests.Held) -> bool:
    """Return whether a body may wait for room, by what the waiting ones hold."""
    size_bytes = _waiting_bodies_size_bytes(forwarder)
    return held_bytes.may_wait(forwarder.held_limits, size_bytes, held.priority)


def _may_grow(forwarder: contexts.Forwarder, held: open_requests.Held) -> bool:
    """Return whether a body may wait to be received whole."""
    if held.body_demand.is_length_known:
        return False
    others_size_bytes = sum(_small_bodies_sizes_bytes(forwarder).values())
    others_size_bytes += sum(
        request.held.body_content.total_bytes
        for request in forwarder.waiting_bodies
        if request.held.may_body_grow and request.held is not held
    )
    received_size_bytes = held.body_content.total_bytes
    limits = forwarder.held_limits
    return held_bytes.may_grow(limits, others_size_bytes, received_size_bytes)


def _refuse_grown_bodies(forwarder: contexts.Forwarder) -> None:
    """Refuse bodies that are not small after all while too many wait for room."""
    for request, granted in forwarder.waiting_bodies.items():
        held = request.held
        if granted.done() or not held.may_body_grow or _may_grow(forwarder, held):
            continue
        held.may_body_grow = False
        if not _may_wait(forwarder, held):
            granted.set_result(False)


def _waiting_bodies_size_bytes(forwarder: contexts.Forwarder) -> int:
    """Return what was received of the bodies that wait beyond the room they have."""
    return sum(
        max(0, request.held.body_content.total_bytes - request.held.body_size_bytes)
        for request in forwarder.waiting_bodies
        if not request.held.may_body_grow
    )


def _held_body_size_bytes(held: open_requests.Held) -> int:
    """Return what a body takes, or may take without waiting for more room."""
    size_bytes = max(held.body_size_bytes, held.body_reserved_size_bytes)
    return held_bytes.BODY_COPIES_COUNT * size_bytes


def priority_of(route: model.Route, account: model.ClientAccount | None) -> int:
    """Return the priority of a request; that of its account overrides the route's."""
    if account is not None and account.priority is not None:
        return account.priority
    return route.priority


def describe(forwarder: contexts.Forwarder, account_name: str) -> str:
    """Return the bytes held and their bounds, for the log line of a refusal."""
    limits = forwarder.held_limits
    usage = measure(forwarder, account_name, counts_expected=True)
    mb = held_bytes.MB
    if limits is None:
        return (
            f"{usage.size_bytes / mb:.1f} MB held beside "
            f"{forwarder.memory_size_bytes / mb:.0f} MB of memory, "
            f"{len(forwarder.open_requests)} open requests"
        )
    if not limits.divides_accounts:
        responses_size_bytes = sum(
            held_bytes.large_size_bytes(_held_response_size_bytes(*item))
            for item in (
                (connection, request.held)
                for connection, request in forwarder.open_requests.items()
            )
        )
        return (
            f"bodies {_bodies_size_bytes(forwarder) / mb:.1f} of "
            f"{limits.bodies_size_bytes / mb:.1f} MB, "
            f"large responses {responses_size_bytes / mb:.1f} of "
            f"{limits.responses_size_bytes / mb:.1f} MB, "
            f"{usage.resident_size_bytes / mb:.0f} MB resident, "
            f"{len(forwarder.open_requests)} open requests"
        )
    return (
        f"{usage.size_bytes / mb:.1f} of {limits.process_size_bytes / mb:.1f} MB held, "
        f"{usage.account_size_bytes / mb:.1f} of "
        f"{limits.account_size_bytes / mb:.1f} MB for the account, "
        f"{usage.resident_size_bytes / mb:.0f} MB resident, "
        f"{len(forwarder.open_requests)} open requests"
    )


def fits(context: contexts.RequestContext, size_bytes: int) -> bool:
    """Return whether more bytes may be held for a request.

    The bounds allow more to the request that began to read its response first.
    """
    forwarder, limits = context.forwarder, context.forwarder.held_limits
    if limits is None:
        return True
    usage = measure(forwarder, _account_name(context))
    first = next(iter(forwarder.reading), None)
    return held_bytes.fits(limits, usage, size_bytes, is_first=first == id(context))


def _fits_response(
    context: contexts.RequestContext,
    own_size_bytes: int,
    size_bytes: int,
    is_first: bool = False,
) -> bool:
    """Return whether a response, of which a part is held, may be read up to a size."""
    estimate = context.forwarder.held_responses
    own_size_bytes = held_bytes.large_size_bytes(own_size_bytes)
    others_size_bytes = max(0, estimate.size_bytes - own_size_bytes)
    others = held_bytes.Usage(others_size_bytes, 0, resident_size_bytes())
    limits = context.forwarder.held_limits
    return held_bytes.fits_response(limits, others, size_bytes, is_first)


def _sum_responses(forwarder: contexts.Forwarder, max_age_s: float) -> bool:
    """Sum what is held for responses and find the first; return whether it was due."""
    estimate, reading = forwarder.held_responses, forwarder.reading
    now_s = asyncio.get_running_loop().time()
    if now_s - estimate.summed_at_s < max_age_s:
        return False
    sizes_bytes = [
        _held_response_size_bytes(connection, request.held)
        for connection, request in forwarder.open_requests.items()
    ]
    estimate.summed_at_s = now_s
    estimate.size_bytes = sum(map(held_bytes.large_size_bytes, sizes_bytes))
    estimate.all_size_bytes = sum(sizes_bytes) + _bodies_size_bytes(forwarder)
    first = min(reading, key=lambda key: reading[key].rank, default=None)
    if first not in (None, estimate.first) and reading[first].waits_since_s is not None:
        reading[first].waits_since_s = now_s
    estimate.first = first
    return True


def _bodies_size_bytes(forwarder: contexts.Forwarder) -> int:
    """Return the bytes held for the bodies of all requests."""
    return sum(
        _held_body_size_bytes(request.held)
        for request in forwarder.open_requests.values()
    )


def _give_up_due(forwarder: contexts.Forwarder) -> None:
    """End the reading of the responses that are given up for others."""
    estimate, now_s = forwarder.held_responses, asyncio.get_running_loop().time()
    if now_s - estimate.given_up_at_s < held_bytes.GIVE_UP_INTERVAL_S:
        return
    beyond_size_bytes = (
        estimate.all_size_bytes - forwarder.held_limits.process_size_bytes
    )
    keys = held_bytes.find_given_up(forwarder.reading, now_s, beyond_size_bytes)
    if not keys:
        return
    estimate.given_up_at_s = now_s
    for request in forwarder.open_requests.values():
        if id(request.context) in keys:
            forwarder.reading[id(request.context)].is_given_up = True
            if request.held.content is not None:
                request.held.content.set_exception(framing.NoRoomError("memory"))


def _reclaim_idle(forwarder: contexts.Forwarder) -> None:
    """Take back room from responses that have not grown while others wait.

    They are not given up; each asks for room again before it is read further.  Those
    that wait get no room until their servers send more.
    """
    now_s = asyncio.get_running_loop().time()
    for request in forwarder.open_requests.values():
        reading, held = forwarder.reading.get(id(request.context)), request.held
        if reading is None or held.content is None:
            continue
        if reading.received_size_bytes != held.content.total_bytes:
            reading.received_size_bytes = held.content.total_bytes
            reading.received_at_s = now_s
            reading.is_idle = False
        elif now_s - reading.received_at_s < held_bytes.MAX_WAIT_FOR_ROOM_S:
            continue
        elif reading.waits_since_s is not None:
            reading.is_idle = framing.awaits_server(held.content)
        else:
            held.reserved_size_bytes = min(
                held.reserved_size_bytes, held.response_size_bytes
            )
            reading.size_bytes = _read_size_bytes(held)


async def _wait_for_room(
    context: contexts.RequestContext,
    answered: exchange.Answered,
    held: open_requests.Held,
    size_bytes: int,
    most_size_bytes: int,
) -> None:
    """Return once a response may be read up to a size; the rest is left to its server.

    Parameters
    ----------
    context : contexts.RequestContext
        The request.
    answered : exchange.Answered
        The response.
    held : open_requests.Held
        Bytes that are held for it.
    size_bytes : int
        The size.
    most_size_bytes : int
        The size up to which the first of all responses may be read at once.

    Raises
    ------
    IncompleteResponseError
        The response is given up, so that more urgent or older ones can be read.
    """
    limits = context.forwarder.held_limits
    more_size_bytes = size_bytes - held.reserved_size_bytes
    try:
        if limits is not None and limits.divides_accounts:
            # Many places free bytes, so this polls rather than waits for an event.
            while not fits(context, more_size_bytes):  # noqa: ASYNC110
                await asyncio.sleep(CHECK_INTERVAL_S)
        elif limits is not None and size_bytes > held_bytes.USUAL_RESPONSE_SIZE_BYTES:
            size_bytes = await _wait_beside_others(
                context, held, size_bytes, most_size_bytes
            )
    except asyncio.CancelledError:
        answered.response.close()
        raise
    held.reserved_size_bytes = size_bytes


async def _wait_beside_others(
    context: contexts.RequestContext,
    held: open_requests.Held,
    size_bytes: int,
    most_size_bytes: int,
) -> int:
    """Wait for room where it is not divided; return the size that may be read.

    What the first response may need is set aside at once, so that it completes also
    when a more urgent one begins.
    """
    forwarder, loop = context.forwarder, asyncio.get_running_loop()
    reading = _register(context, held)
    _sum_responses(forwarder, 0.0)
    while True:
        own = _read_size_bytes(held)
        is_first = forwarder.held_responses.first == id(context)
        may_read = is_first or not reading.is_idle
        if may_read and _fits_response(context, own, size_bytes):
            break
        if is_first and _fits_response(context, own, most_size_bytes, is_first=True):
            size_bytes = most_size_bytes
            break
        if reading.waits_since_s is None:
            reading.waits_since_s = loop.time()
        reading.size_bytes = own
        await asyncio.sleep(CHECK_INTERVAL_S)
        if _sum_responses(forwarder, CHECK_INTERVAL_S):
            _reclaim_idle(forwarder)
            _give_up_due(forwarder)
        if reading.is_given_up:
            raise exchange.IncompleteResponseError(framing.End.NO_ROOM)
    reading.waits_since_s, reading.size_bytes = None, size_bytes
    reading.is_idle = False
    held.read_ahead_size_bytes = held_bytes.LARGE_READ_AHEAD_SIZE_BYTES
    allowed_size_bytes = size_bytes + held.read_ahead_size_bytes
    forwarder.held_responses.size_bytes += max(
        0,
        held_bytes.large_size_bytes(allowed_size_bytes)
        - held_bytes.large_size_bytes(own),
    )
    return size_bytes


def _account_name(context: contexts.RequestContext) -> str:
    return NO_ACCOUNT if context.account is None else context.account.name


def _open_request_of(
    context: contexts.RequestContext,
) -> open_requests.OpenRequest | None:
    return context.forwarder.open_requests.get(context.client_request.protocol)


async def read_chunk(
    context: contexts.RequestContext, answered: exchange.Answered
) -> bytes:
    """Return the next bytes of a response's body, empty at its end.

    Raises
    ------
    IncompleteResponseError
        The connection ended before the body did, or there is no room for the rest of an
        event.
    """
    held, limits = _begin_reading(context, answered), context.forwarder.held_limits
    max_size_bytes = -1
    if context.route.is_stream and limits is not None:
        if limits.divides_accounts:
            max_size_bytes = held_bytes.PIECE_SIZE_BYTES
        else:
            await _wait_for_event(context, answered, held)
    chunk = await exchange.read_chunk(answered, max_size_bytes)
    held.content_read_size_bytes += len(chunk)
    if context.route.is_stream:
        held.open_event_size_bytes += len(chunk)
    context.forwarder.received_size_bytes += len(chunk)
    context.forwarder.sent_size_bytes += len(chunk)
    return chunk


async def _wait_for_event(
    context: contexts.RequestContext,
    answered: exchange.Answered,
    held: open_requests.Held,
) -> None:
    """Wait until there is room for more of a stream's event that is still open."""
    size_bytes = held.open_event_size_bytes
    if size_bytes >= max(
        held_bytes.USUAL_RESPONSE_SIZE_BYTES, held.reserved_size_bytes
    ):
        most_size_bytes = max(2 * size_bytes, 2 * event_stream.MAX_EVENT_SIZE_BYTES)
        await _wait_for_room(context, answered, held, 2 * size_bytes, most_size_bytes)


def _register(
    context: contexts.RequestContext, held: open_requests.Held
) -> held_bytes.Reading:
    """Return the record of a response that is read."""
    began_at_s = asyncio.get_running_loop().time()
    return context.forwarder.reading.setdefault(
        id(context), held_bytes.Reading(held.priority, began_at_s)
    )


def _begin_reading(
    context: contexts.RequestContext, answered: exchange.Answered
) -> open_requests.Held:
    """Return the record of a request, which counts what its server has sent."""
    request = _open_request_of(context)
    held = open_requests.Held() if request is None else request.held
    if held.content is not answered.response.content:
        held.content, held.content_read_size_bytes = answered.response.content, 0
        _release_response(context, held)
        failed = context.failed_response
        held.kept_size_bytes = 0 if failed is None else len(failed.body or b"")
    return held


def _release_response(
    context: contexts.RequestContext, held: open_requests.Held
) -> None:
    """Release what is held of the response of an attempt."""
    held.response_size_bytes = held.reserved_size_bytes = 0
    held.open_event_size_bytes = held.read_ahead_size_bytes = 0
    context.forwarder.reading.pop(id(context), None)


def record_size(context: contexts.RequestContext, size_bytes: int) -> None:
    """Record the size of a complete response."""
    sizes, name = context.forwarder.response_sizes_bytes, context.route.name
    sizes[name] = held_bytes.learn_size(sizes.get(name, 0.0), size_bytes)


async def read_body(
    context: contexts.RequestContext, answered: exchange.Answered
) -> bytes:
    """Return the body of a plain response, read only while there is room for it.

    The request that began to read first goes on in any case, so that the responses
    complete one after the other while memory is short.

    Raises
    ------
    IncompleteResponseError
        It is not whole, or larger than `exchange.MAX_BUFFERED_RESPONSE_SIZE_BYTES`.
    """
    held = _begin_reading(context, answered)
    stated_size_bytes = exchange.stated_size_bytes(answered)
    most_size_bytes = stated_size_bytes or held_bytes.LARGEST_RESPONSE_SIZE_BYTES
    first_size_bytes = max(held_bytes.FIRST_STEP_SIZE_BYTES, stated_size_bytes)

    async def read_next() -> bytes:
        is_whole = 0 < stated_size_bytes <= held.response_size_bytes
        if held.response_size_bytes >= held.reserved_size_bytes and not is_whole:
            size_bytes = min(
                max(2 * held.reserved_size_bytes, first_size_bytes),
                held_bytes.LARGEST_RESPONSE_SIZE_BYTES,
            )
            await _wait_for_room(context, answered, held, size_bytes, most_size_bytes)
        chunk = await read_chunk(context, answered)
        held.response_size_bytes += len(chunk)
        return chunk

    _register(context, held)
    try:
        body = await exchange.read_body(answered, read_next)
    finally:
        held.content = None
        _release_response(context, held)
    held.response_size_bytes = len(body)
    record_size(context, len(body))
    return body


async def write_events(context: contexts.RequestContext, events: bytes) -> None:
    """Write events of a stream to its client.

    This waits while the client's buffer is full, and at a smaller size while memory is
    short.  The server's response is not read in that time.
    """
    request = _open_request_of(context)
    if request is not None:
        _release_response(context, request.held)
    await context.stream_response.write(events)
    limits = context.forwarder.held_limits
    if limits is None:
        return
    connection = context.client_request.protocol
    while connection.unsent_size_bytes > held_bytes.MIN_STREAM_SIZE_BYTES:
        # aiohttp waits only once another 64 KiB were written.
        is_full = connection.unsent_size_bytes > limits.stream_size_bytes
        if not is_full and _fits_unsent(context, connection.unsent_size_bytes):
            return
        await asyncio.sleep(CHECK_INTERVAL_S)


def _fits_unsent(context: contexts.RequestContext, unsent_size_bytes: int) -> bool:
    """Return whether a stream may go on beside what its client has not taken yet."""
    if context.forwarder.held_limits.divides_accounts:
        return fits(context, 0)
    _sum_responses(context.forwarder, CHECK_INTERVAL_S)
    return _fits_response(context, unsent_size_bytes, unsent_size_bytes)


def end_handling(request: open_requests.OpenRequest) -> None:
    """Release what is held only until the handler has returned the response."""
    held = request.held
    end_body(request)
    held.body_size_bytes = held.response_size_bytes = held.reserved_size_bytes = 0
    held.content = None
    held.open_event_size_bytes = held.kept_size_bytes = 0
    held.read_ahead_size_bytes = 0
    if request.context is not None:
        request.context.forwarder.reading.pop(id(request.context), None)
        request.context.body = b""
