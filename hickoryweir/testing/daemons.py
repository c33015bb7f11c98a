"""Stand-ins as processes, for ``hickoryweir stand-in``.

:func:`make_app` makes a stand-in by its kind and :func:`serve` runs it until the
process is told to end.
"""

import enum

import aiomisc
from aiohttp import web
from aiomisc.service import aiohttp as aiohttp_service

from hickoryweir.testing import engine, platform_list, service, weight_store


class StandInKind(enum.StrEnum):
    """The kinds of stand-ins."""

    ENGINE = "engine"
    SERVICE = "service"
    PLATFORM = "platform"
    WEIGHTS = "weights"


class AppService(aiohttp_service.AIOHTTPService):
    """Serves an application that was made before."""

    app: web.Application

    async def create_application(self) -> web.Application:
        """Return the application."""
        return self.app


def make_app(kind: StandInKind, name: str, serves: tuple[str, ...]) -> web.Application:
    """Return a stand-in.

    Parameters
    ----------
    kind : StandInKind
        What it stands in for.
    name : str
        Its name.
    serves : tuple of str
        Models of an engine, VMs of the platform; ignored by the others.

    Returns
    -------
    web.Application
        With the settings that the kind has by default.
    """
    match kind:
        case StandInKind.ENGINE:
            settings = engine.EngineSettings(name=name, models=serves)
            return engine.make_app(settings)
        case StandInKind.SERVICE:
            return service.make_app(service.ServiceSettings(name=name))
        case StandInKind.PLATFORM:
            return platform_list.make_app(platform_list.PlatformSettings(vms=serves))
        case StandInKind.WEIGHTS:
            return weight_store.make_app(weight_store.WeightStoreSettings())


def serve(app: web.Application, host: str, port: int) -> None:
    """Run a stand-in until SIGTERM or SIGINT.

    Parameters
    ----------
    app : web.Application
        Made by :func:`make_app`.
    host, port : str, int
        Where to listen.
    """
    with aiomisc.entrypoint(AppService(app=app, address=host, port=port)) as loop:
        loop.run_forever()
