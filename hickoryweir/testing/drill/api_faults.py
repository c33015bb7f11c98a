"""Faults injected through the APIs: poison requests and planned stops."""

import asyncio
import time

import aiohttp
from returns import result

from hickoryweir.configuration import change_ids, commands, model
from hickoryweir.operators import client, documents
from hickoryweir.testing import engine
from hickoryweir.testing.demo import entry_vms
from hickoryweir.testing.drill import faults

POISON_CONCURRENT_SENDS = 2
POISON_RESENDS = 4
POISON_CRASHES_MAX = 3
POISON_TIMEOUT_S = 15.0
ENGINE_RECOVERY_S = 1.0
STOP_PROPAGATION_S = 5.0
STOP_WAIT_S = 5.0


def find_engine_states(context: faults.FaultContext) -> list:
    """Return the state of each stand-in engine."""
    return [
        each.running.runner.app[engine.ENGINE]
        for each in context.cluster.servers
        if each.server.target is model.Target.MODEL
    ]


async def send_poison(context: faults.FaultContext) -> None:
    """Repeatedly send a request that crashes each engine that runs it."""
    name = f"poison-{len(context.fault_names)}"
    engines = find_engine_states(context)
    for each in engines:
        each.active_faults.crash_marker = name
        each.active_faults.recovery_s = ENGINE_RECOVERY_S
    timeout = aiohttp.ClientTimeout(total=POISON_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        await asyncio.gather(
            *(send_once(session, context, name) for _ in range(POISON_CONCURRENT_SENDS))
        )
        for _ in range(POISON_RESENDS):
            await send_once(session, context, name)
    for each in engines:
        each.active_faults.crash_marker = ""
    crashes_count = sum(
        count
        for each in engines
        for request_id, count in each.runs.items()
        if request_id.startswith(f"{name}.")
    )
    if crashes_count > POISON_CRASHES_MAX and context.is_only_fault:
        detail = f"{name} crashed {crashes_count} backend servers"
        context.violations.append(("a poison request costs at most three", detail))


async def send_once(
    session: aiohttp.ClientSession, context: faults.FaultContext, name: str
) -> None:
    """Send the poison request to a random entry VM and ignore the outcome."""
    urls = sorted(context.cluster.ready)
    if not urls:
        return
    url = context.generator.choice(urls)
    classes = {each.name: each for each in context.configuration.classes}
    account, request_class = next(
        (account, classes[class_name])
        for account in context.configuration.accounts
        for class_name in account.classes
        if classes[class_name].target is model.Target.MODEL
    )
    body = {
        "model": request_class.target_name,
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


async def stop_backend_server(context: faults.FaultContext) -> None:
    """Plan an engine's stop, check that it then gets no new calls, and cancel it."""
    stand_in = faults.choose_server(context, model.Target.MODEL)
    if not await ask(context, "/stops", stand_in.server.name):
        return
    state = stand_in.running.runner.app[engine.ENGINE]
    await asyncio.sleep(STOP_PROPAGATION_S)
    before = state.runs.total()
    await faults.hold(context)
    new_count = state.runs.total() - before
    if new_count and context.is_only_fault:
        detail = f"{stand_in.server.name} got {new_count} calls"
        context.violations.append(("a leaving backend server gets no new work", detail))
    await ask(context, "/stops/cancel", stand_in.server.name)


async def ask(context: faults.FaultContext, path: str, name: str) -> bool:
    """Start or cancel a planned stop through the operators' API."""
    urls = tuple(vm.operators_url for vm in context.cluster.vms)
    access = client.Access(urls, entry_vms.OPERATOR_KEY)
    body = {
        "change_id": change_ids.make(time.time()),
        "kind": commands.SubjectKind.BACKEND_SERVER,
        "name": name,
        "wait_s": STOP_WAIT_S,
    }
    document = documents.AcceptedDocument
    response = await client.request(access, "POST", path, document, body)
    return isinstance(response, result.Success)
