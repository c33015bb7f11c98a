"""A list of servers that other writers share, read by the real code.

The machine starts, drains and removes servers, and leaves entries of other writers
among theirs.  After each read the sound servers must be in force as listed, and nothing
else; a list whose entries can't be told apart must be a failed read.
"""

import asyncio
import dataclasses
import json
from collections.abc import AsyncIterator, Callable

from hypothesis import stateful
from hypothesis import strategies as st
from returns import result

from hickoryweir.discovery import listing, own_list
from hickoryweir.feeds import messages
from hickoryweir.forwarding import server_pool
from hickoryweir.streams import codec

SERVICES = ("app", "jobs")
UNKNOWN_SERVICE = "host-metrics"
MAX_SERVERS_COUNT = 6
PAGE_ENTRIES_COUNT = 4
CHUNK_SIZE_BYTES = 1000
# No value of these is valid in any of the fields of `Format.checked_fields`, or else it
# is the name of an unknown service.
ABSURD_VALUES = (
    b"9" * 5000,
    b"-" + b"1" * 400,
    b"1e999",
    b"NaN",
    b"-Infinity",
    b"nul",
    b'"\xff\xfe"',
    b'"\\ud800"',
    b'"\\u12"',
    b'"a\\r\\nb:1"',
    b'"' + b"z" * 200_000 + b'"',
    b"[" * 5000 + b"]" * 5000,
    b'{"a":' * 3000 + b"1" + b"}" * 3000,
    b"{" * 2000 + b"]" * 2000,
    b"[[]]",
    b"",
)
ABSURD_ADDRESSES = (b'"10.0.0.1:65536"', b'"10.0.0.1:0"', b'"10.0.0.256:80"', b'":80"')
BRACKETS = ((b"[", b"]"), (b"{", b"}"), (b"{", b"]"), (b"[", b"}"))
# Entries that hold no server, and whose end can be told.
SPLITTABLE = st.sampled_from(ABSURD_VALUES) | st.recursive(
    st.binary(max_size=20).map(lambda data: data.translate(None, b'"[]{}'))
    | st.binary(max_size=20).map(
        lambda data: b'"' + data.translate(None, b'"\\') + b'"'
    ),
    lambda inner: st.tuples(st.sampled_from(BRACKETS), st.lists(inner)).map(
        lambda item: item[0][0] + b",".join(item[1]) + item[0][1]
    ),
    max_leaves=30,
)
UNSPLITTABLE = st.sampled_from(
    [b'{"id":"a', b"{", b"[", b"}", b"]", b'"', b'{"a":"\\"}', b"[{]", b"{}}"]
)


@dataclasses.dataclass(frozen=True, slots=True)
class Format:
    """A format of the list.

    Attributes
    ----------
    decode_page : callable
        Decodes a page.
    make_entry : callable
        Returns the fields of a server.
    list_name, token_name : str
        Names of the list and of the token of the next page; no token if empty.
    checked_fields : tuple of str
        Names of fields that must be valid.
    required_fields : tuple of str
        Names of fields without which an entry is no server.
    service_field, address_field : str
        Names of these fields.
    """

    decode_page: Callable[[bytes], result.Result[listing.Page, str]]
    make_entry: Callable[[listing.BackendServer], dict]
    list_name: str
    token_name: str
    checked_fields: tuple[str, ...]
    required_fields: tuple[str, ...]
    service_field: str
    address_field: str


def _make_own_entry(server: listing.BackendServer) -> dict:
    return {
        "id": server.server_id,
        "service": server.service_name,
        "address": server.address,
        "state": server.state.value,
        "slots_count": server.slots_count,
    }


OWN_FORMAT = Format(
    own_list.decode_page,
    _make_own_entry,
    own_list.LIST_NAME,
    "",
    ("id", "service", "address", "state", "slots_count"),
    ("id", "service", "address"),
    "service",
    "address",
)


class _Content:
    def __init__(self, body: bytes) -> None:
        self._body = body

    async def iter_chunked(self, size_bytes: int) -> AsyncIterator[bytes]:
        """Return the body in pieces."""
        for start in range(0, len(self._body), min(size_bytes, CHUNK_SIZE_BYTES)):
            yield self._body[start : start + CHUNK_SIZE_BYTES]


class _Session:
    """Answers with the page whose number is in the URL."""

    # Of a response: it has no connection that could be reset.
    _protocol = None

    def __init__(self, pages: list[bytes]) -> None:
        self._pages = pages

    def get(self, url: str, **_: object) -> "_Session":
        """Return the response to a request."""
        self.status = 200
        self.content = _Content(self._pages[int(url)])
        return self

    async def __aenter__(self) -> "_Session":
        return self

    async def __aexit__(self, *_: object) -> None:
        pass


class ListsMachine(stateful.RuleBasedStateMachine):
    """Servers, entries of other writers, and a router that reads the list."""

    format = OWN_FORMAT

    def __init__(self) -> None:
        super().__init__()
        self.servers: dict[str, listing.BackendServer] = {}
        self.foreign: list[tuple[int, bytes]] = []
        self.pool = server_pool.Pool()
        self.started_count = 0
        server_pool.update_services(self.pool, SERVICES)

    @stateful.rule(
        service=st.sampled_from(SERVICES), slots_count=st.integers(0, 1 << 20)
    )
    def start(self, service: str, slots_count: int) -> None:
        """Start a server."""
        if len(self.servers) == MAX_SERVERS_COUNT:
            return
        self.started_count += 1
        server_id = f"s{self.started_count}"
        self.servers[server_id] = listing.BackendServer(
            server_id,
            service,
            f"10.0.0.{self.started_count % 250 + 1}:80",
            "",
            listing.ServerState.READY,
            slots_count,
            0.0,
        )

    @stateful.precondition(lambda self: self.servers)
    @stateful.rule(data=st.data(), is_removed=st.booleans())
    def leave(self, data: st.DataObject, is_removed: bool) -> None:
        """Drain or remove a server."""
        server_id = data.draw(st.sampled_from(sorted(self.servers)))
        server = self.servers.pop(server_id)
        if not is_removed:
            self.servers[server_id] = dataclasses.replace(
                server, state=listing.ServerState.DRAINING
            )

    @stateful.rule(position=st.integers(0, 20), entry=SPLITTABLE)
    def write_bytes(self, position: int, entry: bytes) -> None:
        """Leave bytes that are no server."""
        self.foreign.append((position, entry))

    @stateful.precondition(lambda self: self.servers)
    @stateful.rule(
        data=st.data(),
        position=st.integers(0, 20),
        is_known=st.booleans(),
    )
    def write_absurd_copy(
        self, data: st.DataObject, position: int, is_known: bool
    ) -> None:
        """Leave an entry of a server with an absurd value in one field."""
        fields = self._draw_fields(data)
        if not is_known:
            fields["id"] = b'"other"'
        name = data.draw(st.sampled_from(self.format.checked_fields))
        is_address = name == self.format.address_field
        values = ABSURD_VALUES + (ABSURD_ADDRESSES if is_address else ())
        fields[name] = data.draw(st.sampled_from(values))
        self.foreign.append((position, _join(list(fields.items()))))

    @stateful.precondition(lambda self: self.servers)
    @stateful.rule(
        data=st.data(),
        position=st.integers(0, 20),
        value=st.sampled_from(ABSURD_VALUES),
    )
    def write_copy_of_unknown_service(
        self, data: st.DataObject, position: int, value: bytes
    ) -> None:
        """Leave an entry with a server's id and a service that no table names."""
        fields = self._draw_fields(data)
        fields[self.format.service_field] = json.dumps(UNKNOWN_SERVICE).encode()
        fields[self.format.address_field] = b'"10.0.0.1:9100"'
        if data.draw(st.booleans()):
            fields["x"] = value
        self.foreign.append((position, _join(list(fields.items()))))

    @stateful.precondition(lambda self: self.servers)
    @stateful.rule(data=st.data(), position=st.integers(0, 20))
    def write_odd_fields(self, data: st.DataObject, position: int) -> None:
        """Leave an entry that lacks a field, or has one twice."""
        fields = list(self._draw_fields(data).items())
        repeated = data.draw(st.sampled_from(fields))
        if data.draw(st.booleans()):
            fields.append(repeated)
        else:
            lacked = data.draw(st.sampled_from(self.format.required_fields))
            fields = [item for item in fields if item[0] != lacked]
        self.foreign.append((position, _join(fields)))

    def _draw_fields(self, data: st.DataObject) -> dict[str, bytes]:
        server = self.servers[data.draw(st.sampled_from(sorted(self.servers)))]
        entry = self.format.make_entry(server)
        return {name: json.dumps(value).encode() for name, value in entry.items()}

    @stateful.rule()
    def clean(self) -> None:
        """Remove the entries of other writers."""
        self.foreign.clear()

    @stateful.rule()
    def read(self) -> None:
        """Read the list; check that the sound servers are in force."""
        found = self._read(self._make_pages(self._make_entries())).unwrap()
        sent = messages.ServerListUpdate(1, 0.0, found.servers)
        received = codec.decode(codec.encode(sent)).unwrap()
        assert len(codec.encode(sent)) < len(self.foreign) * 4096 + 65536
        server_pool.update_servers(
            self.pool, listing.ServerList(received.servers, found.read_at_s)
        )
        listed = {name: view.listed for name, view in self.pool.servers.items()}
        assert listed == self.servers
        for service in SERVICES:
            available = server_pool.available_servers(self.pool, service)
            assert {view.listed.server_id for view in available} == {
                server.server_id
                for server in self.servers.values()
                if server.service_name == service
                and server.state is listing.ServerState.READY
            }

    @stateful.rule(position=st.integers(0, 20), entry=UNSPLITTABLE)
    def read_unsplittable(self, position: int, entry: bytes) -> None:
        """Read a list with an entry whose end nobody can tell."""
        entries = self._make_entries()
        entries.insert(min(position, len(entries)), entry)
        found = self._read(self._make_pages(entries))
        assert isinstance(found, result.Failure)

    def _make_entries(self) -> list[bytes]:
        entries = [
            json.dumps(self.format.make_entry(server)).encode()
            for server in self.servers.values()
        ]
        for position, entry in self.foreign:
            entries.insert(min(position, len(entries)), entry)
        return entries

    def _make_pages(self, entries: list[bytes]) -> list[bytes]:
        size = PAGE_ENTRIES_COUNT if self.format.token_name else len(entries) or 1
        groups = [
            entries[start : start + size] for start in range(0, len(entries), size)
        ]
        pages = []
        for number, group in enumerate(groups or [[]], start=1):
            fields = [(self.format.list_name, b"[" + b",".join(group) + b"]")]
            if self.format.token_name and number < len(groups):
                fields.append((self.format.token_name, b'"%d"' % number))
            pages.append(_join(fields))
        return pages

    def _read(self, pages: list[bytes]) -> result.Result[listing.ServerList, str]:
        source = listing.Source(lambda token: token or "0", self.format.decode_page)
        return asyncio.run(listing.read_all(_Session(pages), source))


def _join(fields: list[tuple[str, bytes]]) -> bytes:
    pairs = [json.dumps(name).encode() + b":" + value for name, value in fields]
    return b"{" + b",".join(pairs) + b"}"
