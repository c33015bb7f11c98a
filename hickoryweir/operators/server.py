"""The listening socket of the operators' port."""

import dataclasses
import ssl

from aiohttp import web

from hickoryweir.configuration import settings

SHUTDOWN_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A listening operators' port."""

    runner: web.AppRunner
    host: str
    port: int


async def start(app: web.Application, limits: settings.Operators) -> Running:
    """Listen on the operators' port.

    Parameters
    ----------
    app : web.Application
        From :func:`hickoryweir.operators.app.make_app`.
    limits : settings.Operators
        Address and certificate files.

    Returns
    -------
    Running
        To be given to :func:`stop`.

    Raises
    ------
    OSError
        The port is taken or a certificate file can't be read.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    site = web.TCPSite(
        runner, limits.host, limits.port, ssl_context=_make_context(limits)
    )
    await site.start()
    host, port = runner.addresses[0][:2]
    return Running(runner, host, port)


async def stop(running: Running) -> None:
    """Stop listening and end the requests that are running."""
    await running.runner.cleanup()


def _make_context(limits: settings.Operators) -> ssl.SSLContext | None:
    if limits.plain_text:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(limits.certificate_file, limits.key_file)
    return context
