"""Stand-ins as processes, for ``hickoryweir stand-in``.

:func:`make_app` creates a stand-in of the given kind and :func:`serve` runs it until
the process receives SIGTERM or SIGINT.
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
    """Serves a given application."""

    app: web.Application

    async def create_application(self) -> web.Application:
        """Return the application."""
        return self.app


def make_app(kind: StandInKind, name: str, serves: tuple[str, ...]) -> web.Application:
    """Return a stand-in.

    Parameters
    ----------
    kind : StandInKind
        Peer that the stand-in simulates.
    name : str
        Name of the stand-in.
    serves : tuple of str
        Models of an engine or VMs of a platform; ignored for the other kinds.

    Returns
    -------
    web.Application
        The stand-in with the default settings of its kind.
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
        Application created by :func:`make_app`.
    host : str
        Address to listen on.
    port : int
        TCP port to listen on.
    """
    with aiomisc.entrypoint(AppService(app=app, address=host, port=port)) as loop:
        loop.run_forever()
