"""In-process stand-ins for all backend servers of a configuration."""

import asyncio
import dataclasses

from hickoryweir.configuration import model
from hickoryweir.testing import engine, running, service

SERVICE_WORK_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class StandIn:
    """A running stand-in for one backend server.

    Attributes
    ----------
    service : service.Service or None
        State of a plain service, with its execution counts; None for an engine.
    """

    server: model.BackendServer
    running: running.RunningServer
    service: service.Service | None


async def start_all(configuration: model.Configuration) -> tuple[StandIn, ...]:
    """Start a stand-in for each backend server, on free ports."""
    return tuple(
        await asyncio.gather(
            *(start(server) for server in configuration.backend_servers)
        )
    )


async def start(server: model.BackendServer) -> StandIn:
    """Start the stand-in for one backend server."""
    if server.target is model.Target.SERVICE:
        settings = service.ServiceSettings(server.name, SERVICE_WORK_S)
        app = service.make_app(settings)
        return StandIn(server, await running.start(app), app[service.SERVICE])
    app = engine.make_app(engine.EngineSettings(server.name, server.serves))
    return StandIn(server, await running.start(app), None)


def replace_urls(answers_text: str, stand_ins: tuple[StandIn, ...]) -> str:
    """Return an answers file's text with the URLs replaced by those of stand-ins."""
    for stand_in in stand_ins:
        before = f"url = {stand_in.server.url}\n"
        after = f"url = {stand_in.running.url}\n"
        answers_text = answers_text.replace(before, after)
    return answers_text


def count_executions(stand_ins: tuple[StandIn, ...]) -> dict[str, int]:
    """Return the number of executions by idempotency key, over all plain services."""
    counts: dict[str, int] = {}
    for stand_in in stand_ins:
        if stand_in.service is None:
            continue
        for key, count in stand_in.service.executions.items():
            counts[key] = counts.get(key, 0) + count
    return counts


async def stop_all(stand_ins: tuple[StandIn, ...]) -> None:
    """Stop every stand-in."""
    await asyncio.gather(*(stand_in.running.stop() for stand_in in stand_ins))
