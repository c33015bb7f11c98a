"""A stand-in for the infrastructure that takes the holder's calls.

It checks fencing tokens when a call is executed, and keeps all executed calls, in which
:func:`find_violations` finds broken rules.  Faults lose the responses of calls, execute
calls late, delay them, and refuse them with 409 or 429.
"""

import asyncio
import dataclasses
import time

from aiohttp import web

from hickoryweir.entry import own_calls

CONFLICT = 409
TOO_MANY_CALLS = 429


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults of the next calls.

    Attributes
    ----------
    lost_count : int
        Calls that are executed without a response.
    late_count : int
        Calls that get no response and are executed after `late_s`.
    conflicts_count, over_rate_count : int
        Calls that are refused with 409 or 429.
    delay_s : float
        Time before each call is executed and its response sent.
    """

    lost_count: int = 0
    late_count: int = 0
    late_s: float = 2.0
    conflicts_count: int = 0
    over_rate_count: int = 0
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A call as it was received, and its status when it was executed.

    Attributes
    ----------
    is_late : bool
        Whether it was executed late, on behalf of a caller that got no response.
    """

    received_at_s: float
    executed_at_s: float
    holder: str
    token: int
    subject: str
    document: dict
    status: int
    is_late: bool


@dataclasses.dataclass(slots=True)
class Platform:
    """State of the stand-in.

    Attributes
    ----------
    checks_fencing : bool
        Whether calls with a lower token than one seen for their subject are refused.
    calls : list of Received
        All executed calls.
    received_s : list of float
        When any call was received, also one that was not executed.
    highest_tokens : dict
        Highest token seen, by subject.
    """

    checks_fencing: bool = True
    faults: Faults = dataclasses.field(default_factory=Faults)
    calls: list[Received] = dataclasses.field(default_factory=list)
    received_s: list[float] = dataclasses.field(default_factory=list)
    highest_tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    late_tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)


def add_routes(app: web.Application, platform: Platform) -> None:
    """Add the calls to an application."""

    async def take(request: web.Request) -> web.Response:
        return await _take(platform, request)

    app.router.add_post(own_calls.USAGE_PATH, take)
    app.router.add_post(own_calls.SERVERS_PATH, take)


async def _take(platform: Platform, request: web.Request) -> web.Response:
    document = await request.json()
    received_at_s = time.monotonic()
    platform.received_s.append(received_at_s)
    faults = platform.faults
    if faults.over_rate_count:
        faults.over_rate_count -= 1
        return web.Response(status=TOO_MANY_CALLS)
    await asyncio.sleep(faults.delay_s)
    if faults.late_count:
        faults.late_count -= 1
        task = asyncio.create_task(
            _execute_late(platform, request, document, received_at_s)
        )
        platform.late_tasks.add(task)
        task.add_done_callback(platform.late_tasks.discard)
        request.transport.abort()
        return web.Response()
    status = _execute(platform, request, document, received_at_s, is_late=False)
    if faults.lost_count:
        faults.lost_count -= 1
        request.transport.abort()
    return web.Response(status=status)


async def _execute_late(
    platform: Platform, request: web.Request, document: dict, received_at_s: float
) -> None:
    await asyncio.sleep(platform.faults.late_s)
    _execute(platform, request, document, received_at_s, is_late=True)


def _execute(
    platform: Platform,
    request: web.Request,
    document: dict,
    received_at_s: float,
    *,
    is_late: bool,
) -> int:
    token = int(request.headers[own_calls.TOKEN])
    subject = request.path
    if request.path == own_calls.SERVERS_PATH:
        subject = f"{document['service']} {document['availability_zone']}"
    status = _check_token(platform, subject, token)
    platform.calls.append(
        Received(
            received_at_s,
            time.monotonic(),
            request.headers[own_calls.HOLDER],
            token,
            subject,
            document,
            status,
            is_late,
        )
    )
    return status


def _check_token(platform: Platform, subject: str, token: int) -> int:
    """Record a token; return the status of its call."""
    highest_token = platform.highest_tokens.get(subject, 0)
    platform.highest_tokens[subject] = max(highest_token, token)
    if platform.checks_fencing and token < highest_token:
        return CONFLICT
    if platform.faults.conflicts_count:
        platform.faults.conflicts_count -= 1
        return CONFLICT
    return 200


def accepted_usage(platform: Platform) -> dict[int, dict[str, int]]:
    """Return the accepted counts by window, of each window's first report."""
    found: dict[int, dict[str, int]] = {}
    for call in platform.calls:
        if call.subject == own_calls.USAGE_PATH and call.status == 200:
            found.setdefault(call.document["window"], call.document["requests"])
    return found


def find_violations(
    platform: Platform, lease_s: float, calls_per_s: float
) -> list[str]:
    """Return the rules that the calls broke, as one line each."""
    found = []
    holders: dict[int, str] = {}
    counts: dict[int, dict] = {}
    refused: set[int] = set()
    in_order = sorted(platform.calls, key=lambda call: call.received_at_s)
    for call in in_order:
        if holders.setdefault(call.token, call.holder) != call.holder:
            found.append(f"token {call.token} of {holders[call.token]}, {call.holder}")
        if call.token in refused:
            found.append(f"token {call.token} used after a 409")
        if call.status == CONFLICT and not call.is_late:
            refused.add(call.token)
        if call.subject == own_calls.USAGE_PATH and call.status == 200:
            number, reported = call.document["window"], call.document["requests"]
            if counts.setdefault(number, reported) != reported:
                found.append(f"window {number}: {counts[number]}, then {reported}")
    for earlier, later in zip(in_order, in_order[1:], strict=False):
        if earlier.token > later.token:
            found.append(f"token {later.token} after {earlier.token}")
    found += _find_returns(in_order, lease_s)
    times_s = platform.received_s
    found += [
        f"more than {calls_per_s} calls in a second"
        for time_s in times_s
        if sum(0 <= other_s - time_s < 1 for other_s in times_s) > calls_per_s
    ]
    return found


def _find_returns(in_order: list[Received], lease_s: float) -> list[str]:
    """Return the holders that called again, after another one, within the lease."""
    found = []
    last_call_s: dict[str, float] = {}
    previous = ""
    for call in in_order:
        last_s = last_call_s.get(call.holder)
        has_returned = previous not in ("", call.holder) and last_s is not None
        if has_returned and call.received_at_s - last_s < lease_s:
            after_s = call.received_at_s - last_s
            found.append(f"{call.holder}, {previous}, {call.holder} in {after_s:.2f} s")
        last_call_s[call.holder], previous = call.received_at_s, call.holder
    return found
