"""The project's own formats: INI tables, own headers, ``PUT`` and ``GET /table``."""

from aiohttp import web
from returns import result

from hickoryweir.discovery import own_list
from hickoryweir.entry import adapters, tables
from hickoryweir.forwarding import headers
from hickoryweir.routes import inifile

STATUSES = {tables.Reason.INVALID: 400, tables.Reason.UNAVAILABLE: 503}
MAX_TABLE_SIZE_BYTES = 4 * 1024 * 1024


def make_adapters() -> adapters.Adapters:
    """Return the project's own formats."""
    return adapters.Adapters(
        rules=headers.make_border(),
        decode_table=inifile.decode_table,
        make_source=own_list.make_source,
        make_operators_app=make_app,
    )


def make_app(service: tables.TableService) -> web.Application:
    """Return the operators' port: ``PUT /table`` and ``GET /table``."""

    async def put(request: web.Request) -> web.Response:
        outcome = await service.replace(await request.read())
        if isinstance(outcome, result.Failure):
            return _refuse(outcome.failure())
        return web.Response(text=f"version {outcome.unwrap()}\n")

    async def get(request: web.Request) -> web.Response:
        outcome = await service.read()
        if isinstance(outcome, result.Failure):
            return _refuse(outcome.failure())
        return web.Response(body=outcome.unwrap(), content_type="text/plain")

    app = web.Application(client_max_size=MAX_TABLE_SIZE_BYTES)
    app.router.add_put("/table", put)
    app.router.add_get("/table", get)
    return app


def _refuse(refused: tables.Refused) -> web.Response:
    return web.Response(
        status=STATUSES[refused.reason], text=f"{refused.reason}: {refused.detail}\n"
    )
