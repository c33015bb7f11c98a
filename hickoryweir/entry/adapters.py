"""What differs between the project's own formats and those of a platform."""

import dataclasses
from collections.abc import Callable

from aiohttp import web
from returns import result

from hickoryweir.discovery import listing
from hickoryweir.entry import tables
from hickoryweir.forwarding import header_codec
from hickoryweir.routes import model


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """Formats that the processes speak towards the outside.

    Attributes
    ----------
    codec : header_codec.HeaderCodec
        Headers of requests and answers.
    decode_table : callable
        Returns a routing table from bytes, or text that says what is wrong.
    make_source : callable
        Returns where the list of backend servers is, from an address.
    make_operators_app : callable
        Returns the operators' port from the service that it calls.
    """

    codec: header_codec.HeaderCodec
    decode_table: Callable[[bytes], result.Result[model.RoutingTable, str]]
    make_source: Callable[[str], listing.Source]
    make_operators_app: Callable[[tables.TableService], web.Application]
