"""HTTP application of the operators' port for tables, shared by all formats."""

import dataclasses
from collections.abc import Callable

from aiohttp import web
from returns import result

from hickoryweir.entry import tables

STATUSES = {tables.Reason.INVALID: 400, tables.Reason.UNAVAILABLE: 503}


@dataclasses.dataclass(frozen=True, slots=True)
class Format:
    """HTTP interface of one table format.

    Attributes
    ----------
    put_method, put_path, get_path : str
        Method and path to replace the table, and path to read it.
    max_size_bytes : int
        Maximum size of a request body.
    content_type : str
        Content type of a table in a response.
    accept : callable
        ``accept(version)`` returns the response for an accepted table; `version` is
        the highest that the log holds.
    refuse : callable
        ``refuse(status, refused)`` returns the response for a refused request.
    """

    put_method: str
    put_path: str
    get_path: str
    max_size_bytes: int
    content_type: str
    accept: Callable[[int], web.Response]
    refuse: Callable[[int, tables.Refused], web.Response]


def make_app(service: tables.TableService, table_format: Format) -> web.Application:
    """Return the operators' application.

    Parameters
    ----------
    service : tables.TableService
        Replaces and reads tables.
    table_format : Format
        Paths and responses.
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
