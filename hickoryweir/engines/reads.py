"""Fetches small JSON documents from backend servers, platform and weight store."""

import dataclasses
from typing import TypeVar

import aiohttp
import pydantic
from returns import result

from hickoryweir.engines import client, failures, framing

MAX_DOCUMENT_SIZE_BYTES = 4 * 1024 * 1024
DocumentT = TypeVar("DocumentT", bound=pydantic.BaseModel)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailure:
    """A document that could not be read.

    ``got_response`` is true if the peer sent an HTTP response, although not a valid
    document.
    """

    message: str
    got_response: bool = False


class Document(pydantic.BaseModel):
    """Base class of documents; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")


async def read_document(
    session: aiohttp.ClientSession,
    url: str,
    document_type: type[DocumentT],
    timeout_s: float,
) -> result.Result[DocumentT, ReadFailure]:
    """Fetch a JSON document and validate it.

    Parameters
    ----------
    session : aiohttp.ClientSession
        See :func:`hickoryweir.engines.sessions.make_session`.
    url : str
        Address of the document.
    document_type : type
        Pydantic model of the document.
    timeout_s : float
        Timeout of the whole request.

    Returns
    -------
    Result of the document or of ReadFailure
        Network errors and invalid responses are returned, not raised.
    """

    def decode(body: bytes) -> result.Result[DocumentT, ReadFailure]:
        try:
            return result.Success(document_type.model_validate_json(body))
        except ValueError:
            message = "the document does not match its schema"
            return result.Failure(ReadFailure(message, got_response=True))

    return (await read_bytes(session, url, timeout_s)).bind(decode)


async def read_bytes(
    session: aiohttp.ClientSession, url: str, timeout_s: float
) -> result.Result[bytes, ReadFailure]:
    """Fetch the bytes of a document; see :func:`read_document`."""
    try:
        async with session.get(
            url,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
            headers={"Accept-Encoding": "identity"},
            allow_redirects=False,
        ) as response:
            if response.status != 200:
                message = f"status {response.status}"
                return result.Failure(ReadFailure(message, got_response=True))
            body = await client.read_body(response, MAX_DOCUMENT_SIZE_BYTES)
    except failures.NETWORK_ERRORS as error:
        return result.Failure(ReadFailure(framing.describe_error(error)))
    if body is None:
        return result.Failure(
            ReadFailure("the document is too large", got_response=True)
        )
    return result.Success(body)
