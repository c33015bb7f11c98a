"""Faults that need a caller or an operator: poison requests, planned stops."""

import asyncio
import time

import aiohttp
from returns import result

from hickoryweir.configuration import change_ids, commands, model
from hickoryweir.operators import client, documents
from hickoryweir.testing import engine
from hickoryweir.testing.demo import entry_vms
from hickoryweir.testing.drill import faults

POISON_AT_ONCE = 2
POISON_RESENDS = 4
POISON_CRASHES_MAX = 3
POISON_TIMEOUT_S = 15.0
RECOVERY_S = 1.0
LEAVING_BOUND_S = 5.0
STOP_WAIT_S = 5.0


def find_engines(drawn: faults.Drawn) -> list:
    """Return the state of each stand-in engine."""
    return [
        each.running.runner.app[engine.ENGINE]
        for each in drawn.cluster.servers
        if each.server.target is model.Target.MODEL
    ]


async def send_poison(drawn: faults.Drawn) -> None:
    """Send a request that crashes each engine that runs it, again and again."""
    name = f"poison-{len(drawn.names)}"
    engines = find_engines(drawn)
    for each in engines:
        each.active_faults.crash_marker = name
        each.active_faults.recovery_s = RECOVERY_S
    timeout = aiohttp.ClientTimeout(total=POISON_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        await asyncio.gather(
            *(send_once(session, drawn, name) for _ in range(POISON_AT_ONCE))
        )
        for _ in range(POISON_RESENDS):
            await send_once(session, drawn, name)
    for each in engines:
        each.active_faults.crash_marker = ""
    crashes_count = sum(
        count
        for each in engines
        for request_id, count in each.runs.items()
        if request_id.startswith(f"{name}.")
    )
    if crashes_count > POISON_CRASHES_MAX and drawn.is_alone:
        detail = f"{name} crashed {crashes_count} backend servers"
        drawn.found.append(("a poison request costs at most three", detail))


async def send_once(
    session: aiohttp.ClientSession, drawn: faults.Drawn, name: str
) -> None:
    """Send the poison request to a random entry VM; how it ends is all one."""
    urls = sorted(drawn.cluster.ready)
    if not urls:
        return
    url = drawn.random.choice(urls)
    classes = {each.name: each for each in drawn.configuration.classes}
    account, wanted = next(
        (account, classes[class_name])
        for account in drawn.configuration.accounts
        for class_name in account.classes
        if classes[class_name].target is model.Target.MODEL
    )
    body = {
        "model": wanted.target_name,
        "stream": True,
        "messages": [{"role": "user", "content": name}],
    }
    headers = {"Authorization": f"Bearer demo-{account.name}", "X-Request-Id": name}
    path = "/v1/chat/completions"
    try:
        async with session.post(url + path, json=body, headers=headers) as response:
            await response.read()
    except (aiohttp.ClientError, TimeoutError):
        return


async def stop_backend_server(drawn: faults.Drawn) -> None:
    """Plan the stop of an engine, look for new work after the bound, cancel."""
    picked = faults.pick_server(drawn, model.Target.MODEL)
    if not await ask(drawn, "/stops", picked.server.name):
        return
    state = picked.running.runner.app[engine.ENGINE]
    await asyncio.sleep(LEAVING_BOUND_S)
    before = state.runs.total()
    await faults.hold(drawn)
    new_count = state.runs.total() - before
    if new_count and drawn.is_alone:
        detail = f"{picked.server.name} got {new_count} calls"
        drawn.found.append(("a leaving backend server gets no new work", detail))
    await ask(drawn, "/stops/cancel", picked.server.name)


async def ask(drawn: faults.Drawn, path: str, name: str) -> bool:
    """Start or cancel a planned stop as an operator does."""
    urls = tuple(vm.operators_url for vm in drawn.cluster.vms)
    access = client.Access(urls, entry_vms.OPERATOR_KEY)
    body = {
        "change_id": change_ids.make(time.time()),
        "kind": commands.SubjectKind.BACKEND_SERVER,
        "name": name,
        "wait_s": STOP_WAIT_S,
    }
    accepted = documents.AcceptedDocument
    asked = await client.request(access, "POST", path, accepted, body)
    return isinstance(asked, result.Success)
