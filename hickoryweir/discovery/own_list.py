"""The list of backend servers in the project's own form: one JSON document.

``GET /servers`` returns ``{"servers": [{"id", "service", "address",
"availability_zone", "state", "slots_count"}, ...]}``.
"""

import pydantic
from returns import result

from hickoryweir.discovery import listing


class ServerEntry(pydantic.BaseModel):
    """One backend server."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    id: str = pydantic.Field(min_length=1)
    service: str
    address: str
    availability_zone: str = ""
    state: listing.ServerState = listing.ServerState.READY
    slots_count: int = 0


class ServerDocument(pydantic.BaseModel):
    """The whole list."""

    servers: list[ServerEntry]


def make_source(address: str) -> listing.Source:
    """Return where the list is, from the address that serves it."""
    return listing.Source(lambda token: f"http://{address}/servers", decode_page)


def decode_page(body: bytes) -> result.Result[listing.Page, str]:
    """Return the list as its only page.

    Examples
    --------
    >>> decode_page(b'{"servers": []}').unwrap().servers
    ()
    """
    try:
        document = ServerDocument.model_validate_json(body)
    except pydantic.ValidationError as error:
        return result.Failure(f"{error.error_count()} problems in the list of servers")
    servers = tuple(
        listing.BackendServer(
            entry.id,
            entry.service,
            entry.address,
            entry.availability_zone,
            entry.state,
            entry.slots_count,
            0.0,
        )
        for entry in document.servers
    )
    return result.Success(listing.Page(servers, None))
