"""Calls to plain services and their ends, as values."""

import dataclasses

from hickoryweir.outcomes import refusals
from hickoryweir.policy import events


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """One attempt at a plain service.

    Attributes
    ----------
    request_id : str
        Names the call in the cluster.
    method, path, query : str
        As the caller wrote them; the path starts with a slash and is encoded.
    headers : tuple of tuple of str
        The caller's headers; those that end at the router are left out here.
    body : bytes
        The caller's body.
    idempotency_key : str
        Empty if the call has none.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotency_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Longest waits for a connection and for the next byte, and largest answer."""

    connect_timeout_s: float = 1.0
    read_timeout_s: float = 30.0
    max_answer_size_bytes: int = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A whole answer, the service's own 4xx included."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def content_type(self) -> str:
        """Return the body's media type."""
        content_types = (
            value for name, value in self.headers if name == "content-type"
        )
        return next(content_types, "application/octet-stream")


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceFailure:
    """An attempt without a usable answer; see ``EngineFailure`` for ``ran``."""

    cause: events.FailureCause
    ran: refusals.Ran
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class LookupResult:
    """What a service says of a call whose outcome was not known.

    ``answer`` is the call's own answer, if the service keeps it.
    """

    ran: refusals.Ran
    answer: ServiceAnswer | None
