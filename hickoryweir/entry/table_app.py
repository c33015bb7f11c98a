"""The operators' port for tables: one shape of application for every format."""

import dataclasses
from collections.abc import Callable

from aiohttp import web
from returns import result

from hickoryweir.entry import tables

STATUSES = {tables.Reason.INVALID: 400, tables.Reason.UNAVAILABLE: 503}


@dataclasses.dataclass(frozen=True, slots=True)
class Format:
    """What differs between formats.

    Attributes
    ----------
    put_method, put_path, get_path : str
        How a table is given, and where it is read.
    max_size_bytes : int
        Largest table that is read.
    content_type : str
        Of a table that is read back.
    accept : callable
        Returns the answer to an accepted table, from the version now held.
    refuse : callable
        ``refuse(status, refused)`` returns the answer to a refused one.
    """

    put_method: str
    put_path: str
    get_path: str
    max_size_bytes: int
    content_type: str
    accept: Callable[[int], web.Response]
    refuse: Callable[[int, tables.Refused], web.Response]


def make_app(service: tables.TableService, table_format: Format) -> web.Application:
    """Return the operators' port.

    Parameters
    ----------
    service : tables.TableService
        Takes and returns tables.
    table_format : Format
        How they are called and answered.
    """

    def refuse(refused: tables.Refused) -> web.Response:
        return table_format.refuse(STATUSES[refused.reason], refused)

    async def put(request: web.Request) -> web.Response:
        outcome = await service.replace(await request.read())
        if isinstance(outcome, result.Failure):
            return refuse(outcome.failure())
        return table_format.accept(outcome.unwrap())

    async def get(request: web.Request) -> web.Response:
        outcome = await service.read()
        if isinstance(outcome, result.Failure):
            return refuse(outcome.failure())
        return web.Response(
            body=outcome.unwrap(), content_type=table_format.content_type
        )

    app = web.Application(client_max_size=table_format.max_size_bytes)
    app.router.add_route(table_format.put_method, table_format.put_path, put)
    app.router.add_get(table_format.get_path, get)
    return app
