"""Client of the operators' interface, used by the command line.

Entry VMs are tried in turn.  A request that changes state carries a change id, so
that it can be resent safely after a lost response.
"""

import dataclasses
import http
import ssl
from typing import Any, TypeVar

import aiohttp
import pydantic
from returns import result

from hickoryweir.engines import framing, sessions
from hickoryweir.operators import documents

REQUEST_TIMEOUT_S = documents.MAX_WAIT_S + 15.0
CONNECT_TIMEOUT_S = 3.0
SEND_ERRORS = (
    aiohttp.ClientError,
    sessions.ConnectionLostError,
    TimeoutError,
    ValueError,
)
RETRYABLE_REASONS = (documents.Reason.NO_QUORUM, documents.Reason.OUTCOME_UNKNOWN)

Document = TypeVar("Document")


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """URLs and credentials of the operators' interface.

    Attributes
    ----------
    urls : tuple of str
        One for each entry VM, in the order of use.
    key : str
        The operator's key.
    authority_file : str
        Certificate authority; the system's authorities if empty.
    """

    urls: tuple[str, ...]
    key: str
    authority_file: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """No entry VM responded; `errors` has one line for each."""

    errors: tuple[str, ...]


Failure = documents.RefusalDocument | Unreachable


async def request(
    access: Access,
    method: str,
    path: str,
    cls: type[Document],
    body: dict[str, Any] | None = None,
) -> result.Result[Document, Failure]:
    """Send a request to the first entry VM that can serve it.

    Parameters
    ----------
    access : Access
        URLs and credentials.
    method, path : str
        HTTP method and path.
    cls : type
        Document class of the response.
    body : dict, optional
        JSON body.

    Returns
    -------
    Result
        The document; or a refusal, or :class:`Unreachable` if no entry VM responded.
    """
    errors: list[str] = []
    refusal: documents.RefusalDocument | None = None
    async with sessions.make_session() as session:
        for url in access.urls:
            try:
                outcome = await _send(session, access, method, url + path, cls, body)
            except SEND_ERRORS as error:
                errors.append(f"{url}: {error!r}")
                continue
            if isinstance(outcome, result.Success):
                return outcome
            refusal = outcome.failure()
            if refusal.reason not in RETRYABLE_REASONS:
                return outcome
    return result.Failure(refusal or Unreachable(tuple(errors)))


async def _send(session, access, method, url, cls, body):
    context = None
    if url.startswith("https:"):
        context = ssl.create_default_context(cafile=access.authority_file or None)
    async with session.request(
        method,
        url,
        json=body,
        ssl=context or True,
        headers={
            "Authorization": f"Bearer {access.key}",
            "Accept-Encoding": "identity",
        },
        timeout=aiohttp.ClientTimeout(
            REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        ),
    ) as response:
        protocol = framing.protocol_of(response)
        text = await response.read()
        if framing.ended_by_reset(response, protocol):
            raise sessions.ConnectionLostError(framing.describe_reset(protocol))
        if response.status == http.HTTPStatus.OK:
            return result.Success(pydantic.TypeAdapter(cls).validate_json(text))
        refusal = pydantic.TypeAdapter(documents.RefusalDocument).validate_json(text)
        return result.Failure(refusal)
