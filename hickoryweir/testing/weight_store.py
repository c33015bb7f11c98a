"""A stand-in weight store with one rate limit shared by all readers."""

import dataclasses
import time

import pydantic
from aiohttp import web

from hickoryweir.weights import rates

STORE = web.AppKey("store", "WeightStore")


@dataclasses.dataclass(frozen=True, slots=True)
class WeightStoreSettings:
    """Rate limit of all readers together, and the largest burst."""

    rate_bytes_per_s: float = 1e9
    burst_bytes: float = 4e9


class FetchBody(pydantic.BaseModel):
    """Body of ``POST /fetch``."""

    size_bytes: float = pydantic.Field(gt=0.0)


@dataclasses.dataclass(slots=True, eq=False)
class WeightStore:
    """State of a stand-in weight store."""

    bucket: rates.Bucket
    refused_count: int = 0


def make_app(settings: WeightStoreSettings) -> web.Application:
    """Return a stand-in weight store as an application."""
    app = web.Application()
    bucket = rates.make_bucket(
        settings.rate_bytes_per_s, settings.burst_bytes, time.monotonic()
    )
    app[STORE] = WeightStore(bucket)
    app.add_routes([web.get("/rate", handle_rate), web.post("/fetch", handle_fetch)])
    return app


async def handle_rate(request: web.Request) -> web.Response:
    """Return the rate limit and the bytes that may be fetched now."""
    store = request.app[STORE]
    store.bucket, _ = rates.take(store.bucket, 0.0, time.monotonic())
    return web.json_response(
        {
            "rate_bytes_per_s": store.bucket.rate_bytes_per_s,
            "available_bytes": store.bucket.available_bytes,
        }
    )


async def handle_fetch(request: web.Request) -> web.Response:
    """Grant a fetch, or refuse it with the time after which it may be retried."""
    store = request.app[STORE]
    fetch = FetchBody.model_validate_json(await request.read())
    now_s = time.monotonic()
    store.bucket, granted = rates.take(store.bucket, fetch.size_bytes, now_s)
    if granted:
        return web.json_response({"granted_bytes": fetch.size_bytes})
    store.refused_count += 1
    wait_s = rates.ready_at_s(store.bucket, fetch.size_bytes) - now_s
    return web.json_response({}, status=429, headers={"Retry-After": f"{wait_s:.1f}"})
