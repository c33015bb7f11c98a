"""Interface between the processes and the external formats of a site."""

import dataclasses
from collections.abc import Callable

from aiohttp import web
from returns import result

from hickoryweir.discovery import listing
from hickoryweir.duties import calls
from hickoryweir.entry import tables
from hickoryweir.forwarding import header_codec
from hickoryweir.routes import model


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """External formats: the project's own or those of a platform.

    Attributes
    ----------
    codec : header_codec.HeaderCodec
        Parses the headers of requests and responses, and makes those of requests.
    decode_table : callable
        Returns the routing table decoded from bytes, or an error message.
    make_source : callable
        Returns the source of the server list for an address.
    make_operators_app : callable
        Returns the operators' HTTP application for a table service.
    duty_format : calls.Format
        Format of the calls that only the holder of a duty may make.
    """

    codec: header_codec.HeaderCodec
    decode_table: Callable[[bytes], result.Result[model.RoutingTable, str]]
    make_source: Callable[[str], listing.Source]
    make_operators_app: Callable[[tables.TableService], web.Application]
    duty_format: calls.Format
