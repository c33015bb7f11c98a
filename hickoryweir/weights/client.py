"""Client of the weight store's rate endpoint."""

import aiohttp
import pydantic
from returns import result

from hickoryweir.engines import reads

TIMEOUT_S = 2.0


class RateStatus(reads.Document):
    """Rate limit reported by the weight store.

    Attributes
    ----------
    rate_bytes_per_s : float
        Bytes per second that all readers together may fetch.
    available_bytes : float
        Bytes that may be fetched immediately.
    """

    rate_bytes_per_s: float = pydantic.Field(ge=0.0, allow_inf_nan=False)
    available_bytes: float = pydantic.Field(allow_inf_nan=False)


async def fetch_rate(
    session: aiohttp.ClientSession, url: str, timeout_s: float = TIMEOUT_S
) -> result.Result[RateStatus, reads.ReadFailure]:
    """Return the weight store's rate status.

    Parameters
    ----------
    session : aiohttp.ClientSession
        See :func:`hickoryweir.engines.sessions.make_session`.
    url : str
        Base URL of the weight store.
    timeout_s : float, optional
        Timeout of the request.

    Returns
    -------
    Result of RateStatus or of reads.ReadFailure
        After a failure, callers use the configured rate.
    """
    return await reads.read_document(session, f"{url}/rate", RateStatus, timeout_s)
