"""A stand-in model engine: an OpenAI-compatible HTTP server around a simulation.

:func:`make_app` returns an aiohttp application.  One task advances the simulation
(:mod:`hickoryweir.testing.engine_model`) in real time; the handler of each call
waits for the progress of its own sequence.  ``docs/peers.md`` describes the
interface.
"""

from aiohttp import web

from hickoryweir.testing import (
    engine_control,
    engine_serving,
    engine_state,
    notices,
)

BODY_LIMIT_BYTES = 4 * 1024 * 1024
ENGINE = engine_state.ENGINE
EngineSettings = engine_state.EngineSettings


def make_app(settings: EngineSettings) -> web.Application:
    """Return a stand-in engine as an application.

    Parameters
    ----------
    settings : EngineSettings
        Name, speed and behavior of the engine.

    Returns
    -------
    web.Application
        To be served by :func:`hickoryweir.testing.running.start`; the engine's
        state is stored under the key :data:`ENGINE`.
    """
    app = web.Application(
        client_max_size=BODY_LIMIT_BYTES, middlewares=[abort_if_crashed]
    )
    notices.install(app)
    app[ENGINE] = engine_state.make_engine(settings)
    app.cleanup_ctx.append(engine_state.run_model)
    app.add_routes(
        [
            web.post("/v1/chat/completions", engine_serving.handle_chat),
            web.post("/v1/completions", engine_serving.handle_text),
            web.get("/v1/models", engine_control.handle_models),
            web.post("/cancel/{request_id}", engine_control.handle_cancel),
            web.post("/kv/export", engine_control.handle_kv_export),
            web.post("/kv/import", engine_control.handle_kv_import),
            web.get("/load", engine_control.handle_load),
            web.get("/cache_events", engine_control.handle_cache_events),
            web.post("/orders", engine_control.handle_order),
            web.get("/health", engine_control.handle_health),
            web.post("/faults", engine_control.handle_faults),
        ]
    )
    return app


@web.middleware
async def abort_if_crashed(request: web.Request, handler) -> web.StreamResponse:
    """Abort connections to a crashed engine, except for requests to ``/faults``."""
    engine = request.app[ENGINE]
    transport = request.transport
    if transport is None or request.path == "/faults":
        return await handler(request)
    if engine.active_faults.crashed:
        transport.abort()
        return web.Response(status=503)
    engine.connections.add(transport)
    try:
        return await handler(request)
    finally:
        engine.connections.discard(transport)
