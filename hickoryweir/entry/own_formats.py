"""The project's own formats: INI tables, own headers, ``PUT`` and ``GET /table``."""

from aiohttp import web

from hickoryweir.discovery import own_list
from hickoryweir.entry import adapters, own_calls, table_app, tables
from hickoryweir.forwarding import headers
from hickoryweir.routes import inifile

MAX_TABLE_SIZE_BYTES = 4 * 1024 * 1024


def make_adapters() -> adapters.Adapters:
    """Return the project's own formats."""
    return adapters.Adapters(
        codec=headers.make_header_codec(),
        decode_table=inifile.decode_table,
        make_source=own_list.make_source,
        make_operators_app=make_app,
        duty_format=own_calls.make_format(),
    )


def make_app(service: tables.TableService) -> web.Application:
    """Return the operators' application: ``PUT /table`` and ``GET /table``."""
    return table_app.make_app(service, TABLE_FORMAT)


def _accept(version: int) -> web.Response:
    return web.Response(text=f"version {version}\n")


def _refuse(status: int, refused: tables.Refused) -> web.Response:
    return web.Response(status=status, text=f"{refused.reason}: {refused.detail}\n")


TABLE_FORMAT = table_app.Format(
    put_method="PUT",
    put_path="/table",
    get_path="/table",
    max_size_bytes=MAX_TABLE_SIZE_BYTES,
    content_type="text/plain",
    accept=_accept,
    refuse=_refuse,
)
