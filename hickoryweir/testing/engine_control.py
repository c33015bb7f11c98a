"""Load reports, control orders, cache transfer and faults of a stand-in engine."""

import asyncio
import time

import pydantic
from aiohttp import web

from hickoryweir.testing import engine_model, engine_orders, engine_state, faults


class PrefixBody(pydantic.BaseModel):
    """Body of ``POST /kv/export`` and ``POST /kv/import``."""

    prefix_digests: list[int]


async def handle_models(request: web.Request) -> web.Response:
    """Answer ``GET /v1/models``."""
    engine = request.app[engine_state.ENGINE]
    models = [
        {"id": name, "object": "model", "created": 0, "owned_by": "stand-in"}
        for name in sorted(engine.orders.models)
    ]
    return web.json_response({"object": "list", "data": models})


async def handle_cancel(request: web.Request) -> web.Response:
    """Cancel a sequence; its stream ends without a finish chunk."""
    engine = request.app[engine_state.ENGINE]
    request_id = request.match_info["request_id"]
    is_cancelled = engine_state.cancel(engine, request_id)
    return web.json_response({"cancelled": is_cancelled})


async def handle_kv_export(request: web.Request) -> web.Response:
    """Return those of the requested prefix blocks that are in the cache."""
    engine = request.app[engine_state.ENGINE]
    body = PrefixBody.model_validate_json(await request.read())
    held = set(engine.model_state.cache)
    blocks = [digest for digest in body.prefix_digests if digest in held]
    return web.json_response({"prefix_digests": blocks})


async def handle_kv_import(request: web.Request) -> web.Response:
    """Add prefix blocks to the cache."""
    engine = request.app[engine_state.ENGINE]
    body = PrefixBody.model_validate_json(await request.read())
    event = engine_model.ImportPrefixes(tuple(body.prefix_digests))
    engine_state.apply_event(engine, event)
    return web.json_response({"imported": len(body.prefix_digests)})


async def handle_load(request: web.Request) -> web.Response:
    """Return the load as it was ``report_lag_s`` ago."""
    engine = request.app[engine_state.ENGINE]
    now_s = time.monotonic()
    visible_until_s = now_s - engine.settings.report_lag_s
    visible = [s for s in engine.load_samples if s.measured_at_s <= visible_until_s]
    sample = visible[-1] if visible else engine_state.make_idle_sample(visible_until_s)
    return web.json_response(
        {
            "running": sample.running,
            "waiting": sample.waiting,
            "cache_used_share": sample.cache_used_share,
            "age_s": now_s - max(sample.measured_at_s, visible_until_s),
        }
    )


async def handle_cache_events(request: web.Request) -> web.Response:
    """Return the published cache events after a sequence number."""
    engine = request.app[engine_state.ENGINE]
    after = int(request.query.get("after", "0"))
    visible_until_s = time.monotonic() - engine.settings.cache_event_lag_s
    published = [
        {
            "sequence": event.sequence,
            "stored": list(event.stored),
            "removed": list(event.removed),
        }
        for event in engine.cache_events
        if event.sequence > after and event.changed_at_s <= visible_until_s
    ]
    visible = (
        e.sequence for e in engine.cache_events if e.changed_at_s <= visible_until_s
    )
    last = max(visible, default=0)
    return web.json_response({"events": published, "last_sequence": last})


async def handle_order(request: web.Request) -> web.Response:
    """Execute an order, or refuse it if its fencing token is stale."""
    engine = request.app[engine_state.ENGINE]
    orders = engine.orders
    try:
        order = engine_orders.OrderBody.model_validate_json(await request.read())
    except ValueError as error:
        return web.json_response(make_error("invalid_order", str(error)), status=400)
    if engine_orders.is_stale(orders, order):
        message = f"fencing token is below {orders.highest_fencing}"
        return web.json_response(make_error("stale_fencing", message), status=409)
    engine_orders.execute(orders, order, time.monotonic(), engine.settings.load_s)
    if engine.active_faults.lost_orders_count > 0 and request.transport is not None:
        engine.active_faults.lost_orders_count -= 1
        request.transport.abort()
    if order.kind != "change_role":
        await asyncio.sleep(engine.settings.load_s)
    return web.json_response({"order_id": order.order_id, "state": "done"})


async def handle_health(request: web.Request) -> web.Response:
    """Return the loaded models, the role and whether a load is in progress."""
    engine = request.app[engine_state.ENGINE]
    orders = engine.orders
    loading = time.monotonic() < orders.loading_until_s
    models = [
        {"name": name, "version": loaded.version, "adapters": loaded.adapters}
        for name, loaded in sorted(orders.models.items())
    ]
    return web.json_response(
        {
            "status": "loading" if loading else "ok",
            "role": orders.role,
            "models": models,
            "highest_fencing": orders.highest_fencing,
        }
    )


async def handle_faults(request: web.Request) -> web.Response:
    """Switch faults on and off; fields that the body omits are unchanged."""
    engine = request.app[engine_state.ENGINE]
    try:
        changed = faults.merge(engine.active_faults, await request.read())
    except ValueError as error:
        return web.json_response(make_error("invalid_faults", str(error)), status=400)
    crashes = changed.crashed and not engine.active_faults.crashed
    engine.active_faults = changed
    engine_state.apply_event(engine, engine_model.SetSpeed(changed.speed_factor))
    if crashes:
        engine_state.crash(engine)
    return web.json_response(changed.model_dump())


def make_error(code: str, message: str) -> dict[str, dict[str, str]]:
    """Return the body of an error response."""
    return {"error": {"message": message, "type": "stand_in", "code": code}}
