"""Small JSON documents from backend servers, the platform and the weight store."""

import dataclasses
from typing import TypeVar

import aiohttp
import pydantic
from returns import result

from hickoryweir.engines import client, failures

MAX_DOCUMENT_SIZE_BYTES = 4 * 1024 * 1024
DocumentT = TypeVar("DocumentT", bound=pydantic.BaseModel)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailure:
    """A document that could not be had.

    ``got_response`` says that an HTTP answer came, though not the document.
    """

    message: str
    got_response: bool = False


class Document(pydantic.BaseModel):
    """Base of documents; fields that are not known are ignored."""

    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")


async def read_document(
    session: aiohttp.ClientSession,
    url: str,
    document_type: type[DocumentT],
    timeout_s: float,
) -> result.Result[DocumentT, ReadFailure]:
    """Get a JSON document of a known shape.

    Parameters
    ----------
    session : aiohttp.ClientSession
        See :func:`hickoryweir.engines.sessions.make_session`.
    url : str
        Where it is.
    document_type : type
        The pydantic model that it must match.
    timeout_s : float
        Longest wait for the whole document.

    Returns
    -------
    Result of the document or of ReadFailure
        Nothing is raised for a faulty peer.
    """
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
        return result.Failure(ReadFailure(type(error).__name__))
    if body is None:
        return result.Failure(
            ReadFailure("the document is too large", got_response=True)
        )
    try:
        return result.Success(document_type.model_validate_json(body))
    except ValueError:
        message = "the document has not the published shape"
        return result.Failure(ReadFailure(message, got_response=True))
