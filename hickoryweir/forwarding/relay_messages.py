"""Messages between a router and the one that relays a request for it.

A relayed request is the client's own, with its key, so that the relay checks all of it
again; ``X-Relay`` adds what the relay can't know.  The response has an ``X-Relay`` as
well.  Neither is taken from, or passed on to, clients and backend servers.
"""

import base64
import binascii
import dataclasses

import multidict

from hickoryweir.streams import codec

HEADER = "X-Relay"


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRequest:
    """What the sender tells the relay of a request.

    Attributes
    ----------
    hop_id : str
        Identifies this request on its connection.
    sender : str
        Host of the router that the client is connected to.
    time_left_s : float
        How long the client waits.
    table_version : int
        Version of the sender's table; a relay with an older one refuses.
    service_name : str
        Service that the sender has chosen.
    attempts_count : int
        Backend servers that the request may still be sent to.
    last_event_id : str
        Id of the last event that the client has received.
    stream_version : str or None
        Software version that the stream is bound to.
    """

    hop_id: str
    sender: str
    time_left_s: float
    table_version: int
    service_name: str
    attempts_count: int
    last_event_id: str
    stream_version: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayReply:
    """What the relay tells the sender of a response.

    Attributes
    ----------
    reason : str
        Why the relay responded itself; empty for a server's response.
    sent_count : int
        Backend servers that the request was sent to.
    server_id, software_version : str
        The server that responded.
    """

    hop_id: str
    reason: str
    sent_count: int
    server_id: str = ""
    software_version: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RelayStatus:
    """Whether a router relays requests, and the services of which it reaches servers.

    Attributes
    ----------
    open_count : int
        Requests that it relays.
    """

    services: tuple[str, ...]
    open_count: int


for _tag, _cls in (
    ("fw.relayed_request", RelayedRequest),
    ("fw.relay_reply", RelayReply),
    ("fw.relay_status", RelayStatus),
):
    codec.register(_tag, _cls)


def write(headers: multidict.CIMultiDict, message: RelayedRequest | RelayReply) -> None:
    """Add a message to headers."""
    headers[HEADER] = base64.b64encode(codec.encode(message)).decode()


def read_request(headers: multidict.MultiMapping) -> RelayedRequest | None:
    """Return the message of a request; None if there is none that can be read."""
    message = _read(headers)
    return message if isinstance(message, RelayedRequest) else None


def read_reply(headers: multidict.MultiMapping) -> RelayReply | None:
    """Return the message of a response; None if there is none that can be read."""
    message = _read(headers)
    return message if isinstance(message, RelayReply) else None


def _read(headers: multidict.MultiMapping) -> object:
    try:
        data = base64.b64decode(headers.get(HEADER, ""), validate=True)
    except (binascii.Error, ValueError):
        return None
    return codec.decode(data).value_or(None)
