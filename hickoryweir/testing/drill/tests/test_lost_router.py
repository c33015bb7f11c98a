"""A router process is killed while it holds an idempotency key."""

import asyncio
import contextlib
import pathlib
import tempfile

import aiohttp

from hickoryweir.configuration import model
from hickoryweir.operators import client, documents
from hickoryweir.outcomes import refusals
from hickoryweir.testing.demo import burst, entry_vms, stand_ins
from hickoryweir.testing.demo import main as demo
from hickoryweir.testing.drill import cluster as clusters

START_TIMEOUT_S = 60.0
# Longer than any caller's timeout, so that only routers end a call.
SERVICE_DELAY_S = 600.0


@contextlib.asynccontextmanager
async def run_cluster():
    text = demo.load_answers("kitamori")
    servers = await stand_ins.start_all(demo.generate(text))
    text = stand_ins.replace_urls(text, servers)
    zones = tuple(sorted({each.server.availability_zone for each in servers}))
    with tempfile.TemporaryDirectory(prefix="hickoryweir-test-") as folder:
        cluster = await clusters.start_cluster(zones, servers, pathlib.Path(folder))
        try:
            assert await demo.submit(text, cluster.vms)
            assert await demo.wait_until_ready(cluster.vms)
            yield cluster, demo.generate(text)
        finally:
            for server in servers:
                if server.service is not None:
                    server.service.active_faults.answer_delay_s = 0.0
            await clusters.stop_all(cluster)


def plan_non_idempotent_call(configuration, url):
    """Return a non-idempotent call to a plain service."""
    for account in configuration.accounts:
        for each in configuration.classes:
            is_charge = each.target is model.Target.SERVICE and not each.idempotent
            if is_charge and each.name in account.classes:
                return burst.Plan(0.0, "call-1", each, account.name, "key-1", url)
    raise AssertionError("no account may make a non-idempotent call")


async def list_keys(vm):
    access = client.Access((vm.operators_url,), entry_vms.OPERATOR_KEY)
    open_keys = await client.request(access, "GET", "/keys", documents.OpenKeysDocument)
    return open_keys.unwrap().keys


async def wait_for_holder(vm, router_name):
    """Wait until the replicated log shows that a router's process holds the key."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            keys = await list_keys(vm)
            if keys and keys[0].router.startswith(router_name + "@"):
                return keys
            await asyncio.sleep(0.1)


async def kill_holder_and_resend():
    """Return the resend's reply and the open keys before and after it."""
    async with run_cluster() as (cluster, configuration):
        for server in cluster.servers:
            if server.service is not None:
                server.service.active_faults.answer_delay_s = SERVICE_DELAY_S
        holder, other = [vm for vm in cluster.vms if vm.name.endswith("-2")][:2]
        plan = plan_non_idempotent_call(configuration, holder.callers_url)
        async with aiohttp.ClientSession() as session:
            first = asyncio.create_task(burst.exchange(session, plan))
            before = await wait_for_holder(other, holder.name)
            clusters.kill(cluster, holder.name)
            await first
            clusters.restart(cluster, holder.name)
            again = burst.repeat(plan, other.callers_url)
            reply = await burst.exchange(session, again)
        return reply, before, await list_keys(other)


def test_key_of_a_killed_router_gets_its_final_answer_before_the_deadline():
    reply, before, after = asyncio.run(kill_holder_and_resend())
    assert reply.reason == refusals.Reason.OUTCOME_UNKNOWN
    assert reply.ran == refusals.Ran.MAYBE
    assert [key.is_in_progress for key in before] == [True]
    assert [(key.key, key.is_in_progress) for key in after] == [("key-1", False)]
