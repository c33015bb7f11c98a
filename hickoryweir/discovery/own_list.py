"""List of backend servers in the project's own format: one JSON document.

``GET /servers`` returns ``{"servers": [{"id", "service", "address",
"availability_zone", "state", "slots_count", "software_version", "is_spot",
"leaves_ms"}, ...]}``.
"""

from typing import Any

import pydantic
from returns import result

from hickoryweir.discovery import entries, listing

LIST_NAME = "servers"


class ServerEntry(pydantic.BaseModel):
    """Entry for one backend server."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    id: str = pydantic.Field(min_length=1)
    service: str
    address: str
    availability_zone: str = ""
    state: listing.ServerState = listing.ServerState.READY
    slots_count: int = 0
    software_version: str = ""
    is_spot: bool | None = None
    leaves_ms: float | None = None


def make_source(address: str) -> listing.Source:
    """Return the source of the list served at `address`."""
    return listing.Source(lambda token: f"http://{address}/servers", decode_page)


def decode_page(body: bytes) -> result.Result[listing.Page, str]:
    """Decode the list, which is a single page; invalid entries are skipped.

    Examples
    --------
    >>> decode_page(b'{"servers": []}').unwrap().servers
    ()
    """
    found = entries.split(body, LIST_NAME)
    if isinstance(found, result.Failure):
        return result.Failure(f"the server list is unreadable: {found.failure()}")
    document = found.unwrap()
    decoded = [
        entries.decode_entry(entry).bind(_parse_entry) for entry in document.entries
    ]
    return result.Success(listing.make_page(decoded, document.problems, None))


def _parse_entry(entry: dict[str, Any]) -> result.Result[listing.BackendServer, str]:
    try:
        parsed = ServerEntry.model_validate(entry)
    except pydantic.ValidationError as error:
        return result.Failure(entries.describe_invalid(error))
    server = listing.BackendServer(
        parsed.id,
        parsed.service,
        parsed.address,
        parsed.availability_zone,
        parsed.state,
        parsed.slots_count,
        0.0,
        software_version=parsed.software_version,
        is_spot=parsed.is_spot,
        leaves_ms=parsed.leaves_ms,
    )
    return result.Success(server)
