"""Random responses against the table of ends in docs/design/response-ends.md."""

import asyncio
import dataclasses
import enum

import aiohttp
import hypothesis
from hypothesis import strategies as st

from hickoryweir.forwarding.tests import sites
from hickoryweir.forwarding.tests import test_truncated_streams as truncated
from hickoryweir.routes import model

EXAMPLES = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=120
)
EVENTS = truncated.EVENTS
MEDIA_TYPE = b"Content-Type: text/event-stream\r\n"


class Framing(enum.Enum):
    """How the first server frames its response."""

    LENGTH = "length"
    CHUNKS = "chunks"
    NONE = "none"


class End(enum.Enum):
    """How the first server's response ends."""

    WHOLE = "whole"
    CLOSED = "closed"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True)
class Case:
    """A response and the route on which it comes.

    Attributes
    ----------
    cut_at : int
        How many bytes of the body are sent.
    """

    framing: Framing
    end: End
    cut_at: int
    is_stream: bool
    is_repeatable: bool


@st.composite
def cases(draw):
    """Return a case; only chunks can be malformed."""
    framing = draw(st.sampled_from(Framing))
    end = draw(st.sampled_from(End))
    if end is End.MALFORMED and framing is not Framing.CHUNKS:
        end = End.CLOSED
    cut_at = draw(st.integers(0, len(truncated.WHOLE)))
    return Case(framing, end, cut_at, draw(st.booleans()), draw(st.booleans()))


def make_parts(case):
    """Return the bytes of the first server's response, in parts sent apart."""
    whole = truncated.WHOLE
    body = whole if case.end is End.WHOLE else whole[: case.cut_at]
    head = truncated.HEAD + MEDIA_TYPE
    if case.framing is Framing.LENGTH:
        return (head + b"Content-Length: %d\r\n\r\n" % len(whole) + body,)
    if case.framing is Framing.NONE:
        return (head + b"\r\n" + body,)
    chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
    last = {End.WHOLE: b"0\r\n\r\n", End.MALFORMED: b"zz\r\n"}.get(case.end, b"")
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk, last


def is_whole(case):
    """Return whether the router may take the first response for whole."""
    if case.end is End.WHOLE:
        return True
    if case.end is End.MALFORMED or case.framing is not Framing.NONE:
        # The length is that of the whole body.
        return case.framing is Framing.LENGTH and case.cut_at == len(truncated.WHOLE)
    ends_an_event = case.cut_at in {
        sum(map(len, EVENTS[:count])) for count in range(len(EVENTS) + 1)
    }
    has_event = case.cut_at > 0
    # Nothing tells a clean close between two events from a whole stream.
    return ends_an_event and (has_event or not case.is_stream)


def make_route(case):
    if not case.is_repeatable:
        return sites.at_most_once_route(is_stream=case.is_stream)
    if case.is_stream:
        return sites.resumable_route()
    return dataclasses.replace(
        sites.resumable_route(), is_stream=False, execution=model.Execution.IDEMPOTENT
    )


class Server:
    """Sends the first response, then whole ones from the event that is asked for."""

    def __init__(self, case):
        self._case = case
        self.calls_count = 0

    async def handle(self, reader, writer):
        """Serve one connection."""
        head = await reader.readuntil(b"\r\n\r\n")
        self.calls_count += 1
        parts = make_parts(self._case)
        if self.calls_count > 1:
            _, _, rest = head.partition(b"Last-Event-ID: ")
            after = int(rest.split(b"\r\n")[0]) if rest else 0
            parts = (truncated.with_length(b"".join(EVENTS[after:])),)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(sites.PART_INTERVAL_S)
        writer.close()


async def call(case):
    """Return the status and body that a client takes for whole, and the attempts."""
    server = Server(case)
    listener = await asyncio.start_server(server.handle, sites.HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    backends = [
        sites.Backend(name, f"{host}:{port}", listener, [])
        for name, host in (("s0", sites.HOST), ("s1", "localhost"))
    ]
    async with sites.run_site([], routes=(make_route(case),)) as site, listener:
        sites.list_servers(site.forwarder, backends)
        try:
            status, _, body = await site.call()
        except aiohttp.ClientPayloadError:
            status, body = None, b""
    return status, body, server.calls_count


@EXAMPLES
@hypothesis.given(cases())
def test_no_response_is_taken_for_whole_that_is_not(case):
    status, body, attempts_count = asyncio.run(call(case))
    if is_whole(case):
        sent = (
            truncated.WHOLE if case.end is End.WHOLE else truncated.WHOLE[: case.cut_at]
        )
        assert (status, body, attempts_count) == (200, sent, 1)
    elif case.is_repeatable:
        assert (status, body, attempts_count) == (200, truncated.WHOLE, 2)
    else:
        assert attempts_count == 1
        assert status in (None, 502)
