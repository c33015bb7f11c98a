"""A stand-in platform, whose list of live and leaving VMs lags behind changes."""

import asyncio
import dataclasses
import time
from typing import Literal

import pydantic
from aiohttp import web

PLATFORM = web.AppKey("platform", "Platform")


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Initial VMs, and the delay after which the list shows a change."""

    vms: tuple[str, ...] = ()
    lag_s: float = 1.0


class VmChange(pydantic.BaseModel):
    """Body of ``POST /vms/{name}``."""

    state: Literal["live", "leaving", "removed"]


class PlatformFaults(pydantic.BaseModel):
    """Faults of a stand-in platform; with ``empty`` the list has no VMs."""

    unavailable: bool = False
    empty: bool = False
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The list of VMs from ``changed_at_s`` until the next change."""

    changed_at_s: float
    version: int
    vms: tuple[tuple[str, str], ...]


@dataclasses.dataclass(slots=True, eq=False)
class Platform:
    """State of a stand-in platform; the oldest snapshot comes first."""

    settings: PlatformSettings
    snapshots: list[Snapshot]
    active_faults: PlatformFaults = dataclasses.field(default_factory=PlatformFaults)


def make_app(settings: PlatformSettings) -> web.Application:
    """Return a stand-in platform as an application."""
    app = web.Application()
    vms = tuple((name, "live") for name in settings.vms)
    app[PLATFORM] = Platform(settings, [Snapshot(-float("inf"), 1, vms)])
    app.add_routes(
        [
            web.get("/vms", handle_list),
            web.post("/vms/{name}", handle_vm_change),
            web.post("/faults", handle_faults),
        ]
    )
    return app


def change_vm(platform: Platform, name: str, state: str) -> None:
    """Change one VM; the list shows the change after ``lag_s``."""
    last = platform.snapshots[-1]
    vms = dict(last.vms)
    vms.pop(name, None)
    if state != "removed":
        vms[name] = state
    snapshot = Snapshot(time.monotonic(), last.version + 1, tuple(sorted(vms.items())))
    platform.snapshots.append(snapshot)


async def handle_list(request: web.Request) -> web.Response:
    """Return the list as it was ``lag_s`` ago."""
    platform = request.app[PLATFORM]
    await asyncio.sleep(platform.active_faults.delay_s)
    if platform.active_faults.unavailable:
        return web.Response(status=503)
    visible_until_s = time.monotonic() - platform.settings.lag_s
    snapshot = [s for s in platform.snapshots if s.changed_at_s <= visible_until_s][-1]
    vms = [{"name": name, "state": state} for name, state in snapshot.vms]
    listed = [] if platform.active_faults.empty else vms
    return web.json_response({"version": snapshot.version, "vms": listed})


async def handle_vm_change(request: web.Request) -> web.Response:
    """Change one VM."""
    platform = request.app[PLATFORM]
    change = VmChange.model_validate_json(await request.read())
    change_vm(platform, request.match_info["name"], change.state)
    return web.json_response({"version": platform.snapshots[-1].version})


async def handle_faults(request: web.Request) -> web.Response:
    """Replace the faults; fields that the body omits are switched off."""
    platform = request.app[PLATFORM]
    body = await request.read()
    platform.active_faults = PlatformFaults.model_validate_json(body)
    return web.json_response(platform.active_faults.model_dump())
