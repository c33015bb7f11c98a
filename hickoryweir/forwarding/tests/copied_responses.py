"""Random copies of earlier responses, and what must hold whatever they are.

Two servers answer requests that run at most once.  Before, amid and after each request,
one writes copies of responses that it has sent on the same connection: any of them,
in any order, split between these moments at any byte, and cut there or not.
"""

import asyncio
import dataclasses
import enum

import aiohttp
from hypothesis import strategies as st

from hickoryweir.forwarding import headers
from hickoryweir.forwarding.tests import late_copies, sites

SERVERS_COUNT = 2
PAUSE_S = 0.002
# Of one length, so that no cut copy contains another id; few, so that they come again.
REQUEST_IDS = (*(f"r-{number}" for number in range(5)), "")
MAX_CALLS_COUNT = 7
# Longer than all copies of a moment.
ALL_BYTES = 1000
# Nearly the length of a response.
MAX_PART_SIZE_BYTES = 80


class Kind(enum.Enum):
    """What a server does with a request."""

    SUCCESS = enum.auto()
    CHUNKED_SUCCESS = enum.auto()
    INTERIM_SUCCESS = enum.auto()
    FAILURE = enum.auto()
    BUSY_AFTER_RUN = enum.auto()
    MISDIRECTED = enum.auto()
    REFUSAL = enum.auto()
    REFUSAL_WITH_BODY = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Copies:
    """Copies that are written at a moment.

    Attributes
    ----------
    indices : tuple of int
        Numbers of earlier responses on the connection, from the newest.
    size_bytes : int
        How many bytes of these, and of those left over, are written now.
    is_cut : bool
        Whether the rest is never written.
    """

    indices: tuple[int, ...]
    size_bytes: int
    is_cut: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request of the client, and what each server does with it."""

    request_id: str
    body_size_bytes: int
    waits: bool
    kinds: tuple[Kind, ...]
    status: int
    copies: tuple[Copies, ...]


NOTHING = Copies((), 0, False)
# Rare, so that a connection is often used several times before.
COPIES = st.one_of(
    *[st.just(NOTHING)] * 4,
    st.builds(
        Copies,
        st.lists(st.integers(0, 3), min_size=1, max_size=3).map(tuple),
        st.one_of(st.just(ALL_BYTES), st.integers(1, MAX_PART_SIZE_BYTES)),
        st.booleans(),
    ),
)
CALLS = st.lists(
    st.builds(
        Call,
        st.sampled_from(REQUEST_IDS),
        st.sampled_from([0, 10]),
        st.booleans(),
        st.tuples(*[st.sampled_from(Kind)] * SERVERS_COUNT),
        st.sampled_from(late_copies.NOT_RUN_STATUSES),
        st.tuples(*[COPIES] * len(late_copies.Moment)),
    ),
    min_size=2,
    max_size=MAX_CALLS_COUNT,
)


def make_response(kind: Kind, call: Call, name: str, request_id: bytes) -> bytes:
    """Return a server's response to a request."""
    success = late_copies.success(name, request_id)
    match kind:
        case Kind.SUCCESS:
            return success
        case Kind.CHUNKED_SUCCESS:
            head, _, body = success.partition(b"\r\n\r\n")
            head = head.partition(b"\r\nContent-Length")[0]
            fields = b"\r\nTransfer-Encoding: chunked\r\n\r\n"
            return head + fields + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        case Kind.INTERIM_SUCCESS:
            return b"HTTP/1.1 102 Processing\r\n\r\n" + success
        case Kind.FAILURE:
            return late_copies.refusal(500, request_id, b"")
        case Kind.BUSY_AFTER_RUN:
            return late_copies.refusal(503, request_id, b"")
        case Kind.MISDIRECTED:
            return late_copies.refusal(421, request_id, b"")
        case Kind.REFUSAL:
            return late_copies.refusal(call.status, request_id)
        case Kind.REFUSAL_WITH_BODY:
            refusal = late_copies.refusal(call.status, request_id)
            return refusal.replace(b"Length: 0\r\n\r\n", b"Length: 4\r\n\r\nfull")


NOT_RUN_KINDS = frozenset({Kind.MISDIRECTED, Kind.REFUSAL, Kind.REFUSAL_WITH_BODY})


async def play(calls: list[Call]):
    """Make the calls in turn; return statuses and texts by name, and the servers."""
    current = [0]

    def make_respond(server_number):
        def respond(name, request_id):
            call = calls[current[0]]
            kind = call.kinds[server_number]
            response = make_response(kind, call, name, request_id)
            return response, kind not in NOT_RUN_KINDS

        return respond

    def extras(connection, moment):
        copies = calls[current[0]].copies[list(late_copies.Moment).index(moment)]
        sent = connection.sent[::-1]
        chosen = [sent[index] for index in copies.indices if index < len(sent)]
        pending = connection.unwritten + b"".join(chosen)
        written = pending[: copies.size_bytes]
        connection.unwritten = b"" if copies.is_cut else pending[len(written) :]
        return written

    async with (
        late_copies.run_server("s0", make_respond(0), extras, PAUSE_S) as first,
        late_copies.run_server("s1", make_respond(1), extras, PAUSE_S) as second,
        sites.run_site([], routes=(sites.at_most_once_route(),)) as site,
    ):
        servers, found = [first, second], {}
        for number, call in enumerate(calls):
            current[0] = number
            # Servers with new names, so that nothing is held against them.
            for server_number, server in enumerate(servers):
                server.backend.server_id = f"s{server_number}-{number}"
            sites.list_servers(site.forwarder, [server.backend for server in servers])
            found[f"n{number}"] = await _send(site, call, f"n{number}")
            if call.waits:
                await asyncio.sleep(3 * PAUSE_S)
        return found, servers


async def _send(site, call: Call, name: str):
    url = f"http://{sites.HOST}:{site.port}/chat/{name}"
    sent = {"Host": "site.example"}
    if call.request_id:
        sent[headers.REQUEST_ID] = call.request_id
    body = b"x" * call.body_size_bytes
    try:
        async with site.client.post(url, headers=sent, data=body) as response:
            return response.status, await response.read()
    except aiohttp.ClientError:
        return None, b""


def check(calls: list[Call]) -> None:
    """Check that no copy makes a request run twice, or breaks a promise."""
    found, servers = asyncio.run(play(calls))
    statuses = {name: status for name, (status, _) in found.items()}
    late_copies.check_promises(statuses, servers)
    for name, (status, text) in found.items():
        assert status != 200 or text == name.encode(), f"{name} was answered {text}"
