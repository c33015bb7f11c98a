"""Calls to the infrastructure that only the holder of a duty may make.

Every call carries the holder's name and its fencing token.  A call without a response
may be executed seconds later, after newer ones.
"""

import asyncio
import dataclasses
import enum
from collections.abc import Callable

import aiohttp

from hickoryweir import clocks
from hickoryweir.duties import call_rate, checked_requests
from hickoryweir.engines import framing
from hickoryweir.observability import logs

# The infrastructure usually responds within 10 ms, and within 0.5 s when it is slow.
CALL_TIMEOUT_S = 2.0


class Outcome(enum.StrEnum):
    """Outcome of a call.

    `REFUSED` calls had a lower fencing token than one seen, or asked for servers that
    are not available now.  `NO_RESPONSE` calls may be executed later.  `NOT_HOLDER`
    calls were not sent.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    OVER_RATE = "over_rate"
    FAILED = "failed"
    NO_RESPONSE = "no_response"
    NOT_HOLDER = "not_holder"


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """Requests that servers began in a window, by client account."""

    window_number: int
    counts: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerOrder:
    """Order that sets the number of servers of one kind of a service in a zone.

    Attributes
    ----------
    is_spot : bool
        Whether the servers are spot servers, which are cheap and may be reclaimed.
    """

    service_name: str
    availability_zone: str
    servers_count: int
    is_spot: bool


Call = UsageReport | ServerOrder


@dataclasses.dataclass(frozen=True, slots=True)
class Permission:
    """The right to make calls, with the name of the holder and its fencing token."""

    holder: str
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request that carries a call."""

    url: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Format:
    """External format of calls.

    Attributes
    ----------
    make_request : callable
        ``make_request(address, call, permission)`` returns the HTTP request.
    outcome_of : callable
        ``outcome_of(status)`` returns the outcome of a call with this HTTP status.
    """

    make_request: Callable[[str, Call, Permission], Request]
    outcome_of: Callable[[int], Outcome]


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """Functions by which a caller uses the holder's token.

    Attributes
    ----------
    permission : callable
        ``permission()`` returns the right to make calls at this moment, or None.
    give_up : callable
        ``give_up(token, reason)`` ends the use of a token, for any call.
    """

    permission: Callable[[], Permission | None]
    give_up: Callable[[int, str], None]


class Caller:
    """Makes calls to the infrastructure, one at a time and within the rate limit.

    Parameters
    ----------
    address : str
        Host and port of the infrastructure's interface.
    call_format : Format
        Format of its calls.
    holding : Holding
        Permission of the holder that the calls are made for.
    calls_per_s : float
        Calls a second that the infrastructure accepts from all VMs together.
    on_outcome : callable, optional
        ``on_outcome(call, outcome)`` is called after each call.
    """

    def __init__(
        self,
        address: str,
        call_format: Format,
        holding: Holding,
        calls_per_s: float,
        on_outcome: Callable[[Call, Outcome], None] = lambda call, outcome: None,
    ) -> None:
        self.address = address
        self._format = call_format
        self._holding = holding
        self._on_outcome = on_outcome
        self._bucket = call_rate.make_bucket(calls_per_s, clocks.boottime_s())
        self._lock = asyncio.Lock()
        self._session: aiohttp.ClientSession | None = None

    @property
    def is_holder(self) -> bool:
        """Return whether calls may be made now."""
        return self._holding.permission() is not None

    async def send(self, call: Call) -> Outcome:
        """Make a call and return its outcome; waits for the rate limit.

        After `REFUSED` and `NO_RESPONSE` the token is not used again, and calls return
        `NOT_HOLDER` until the holder has a new one.
        """
        async with self._lock:
            if self._holding.permission() is None:
                return Outcome.NOT_HOLDER
            await self._wait_for_rate()
            permission = self._holding.permission()
            if permission is None:
                return Outcome.NOT_HOLDER
            started_s = clocks.boottime_s()
            outcome, detail = await self._send_once(call, permission)
            if outcome in (Outcome.REFUSED, Outcome.NO_RESPONSE):
                self._holding.give_up(permission.token, f"{outcome}: {detail}")
        self._on_outcome(call, outcome)
        detail = f"{detail}, by {self.address}"
        _log_call(call, permission, outcome, detail, clocks.boottime_s() - started_s)
        return outcome

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _wait_for_rate(self) -> None:
        while True:
            wait_s = call_rate.acquire(self._bucket, clocks.boottime_s())
            if wait_s <= 0:
                return
            await asyncio.sleep(wait_s)

    async def _send_once(
        self, call: Call, permission: Permission
    ) -> tuple[Outcome, str]:
        if self._session is None:
            self._session = checked_requests.make_session()
        check = checked_requests.Check(lambda: self._holding.permission() == permission)
        request = self._format.make_request(self.address, call, permission)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status = await checked_requests.post(
                    self._session, request.url, request.headers, request.body, check
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            check.abort()
            detail = framing.describe_error(error)
            if check.was_refused:
                return Outcome.NOT_HOLDER, "lease ended before the write"
            if not check.has_written:
                return Outcome.FAILED, f"not sent: {detail}"
            return Outcome.NO_RESPONSE, detail
        except asyncio.CancelledError:
            check.abort()
            if check.has_written:
                self._holding.give_up(permission.token, "call cancelled")
            raise
        return self._format.outcome_of(status), f"status {status}"


def server_kind(order: ServerOrder) -> str:
    """Return the kind of an order's servers, for log lines and metrics."""
    return "spot" if order.is_spot else "ordinary"


def describe(call: Call) -> str:
    """Return what a call asks for, for log lines.

    Examples
    --------
    >>> describe(UsageReport(7, (("a", 2), ("b", 3))))
    'usage of window 7: 5 requests of 2 accounts'
    >>> describe(ServerOrder("chat", "z1", 4, True))
    'servers of chat in z1: 4 spot'
    >>> describe(ServerOrder("chat", "z1", 4, False))
    'servers of chat in z1: 4 ordinary'
    """
    match call:
        case UsageReport():
            total_count = sum(count for _, count in call.counts)
            accounts_count = len(call.counts)
            return (
                f"usage of window {call.window_number}: {total_count} requests of "
                f"{accounts_count} accounts"
            )
        case ServerOrder():
            return (
                f"servers of {call.service_name} in {call.availability_zone}: "
                f"{call.servers_count} {server_kind(call)}"
            )


def _log_call(
    call: Call, permission: Permission, outcome: Outcome, detail: str, duration_s: float
) -> None:
    fields = logs.Fields(
        reason=outcome.value,
        version=permission.token,
        duration_s=round(duration_s, 4),
        detail=f"{describe(call)}; holder {permission.holder}, {detail}",
    )
    write = logs.info if outcome is Outcome.ACCEPTED else logs.warning
    write("duty call", fields)
