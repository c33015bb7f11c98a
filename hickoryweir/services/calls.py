"""Calls to plain services and their outcomes."""

import dataclasses

from hickoryweir.outcomes import refusals
from hickoryweir.policy import events


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """One attempt of a call to a plain service.

    Attributes
    ----------
    request_id : str
        Identifies the call in the cluster.
    method, path, query : str
        As sent by the client; the path is percent-encoded and starts with a slash.
    headers : tuple of tuple of str
        Headers of the client; the service client omits those that are not forwarded.
    body : bytes
        Body of the client's request.
    idempotency_key : str
        Empty if the call has no key.
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
    """Timeouts for connecting and for each read, and the maximum response size."""

    connect_timeout_s: float = 1.0
    read_timeout_s: float = 30.0
    max_response_size_bytes: int = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceResponse:
    """A complete response; it may be a 4xx response of the service."""

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
    """An attempt without a valid response; see ``EngineFailure`` for ``ran``."""

    cause: events.FailureCause
    ran: refusals.Ran
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class LookupResult:
    """Result of a look-up of a call whose outcome is unknown.

    ``answer`` is the answer of the call, if the service has stored it.
    """

    ran: refusals.Ran
    answer: ServiceResponse | None
