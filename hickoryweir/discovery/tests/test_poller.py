"""Polling a stand-in for the platform."""

import asyncio
import contextlib

import pytest

from hickoryweir.discovery import decisions, poller
from hickoryweir.engines.tests import benches
from hickoryweir.testing import platform_list

POLL_SETTINGS = poller.PollSettings(
    interval_s=0.005, timeout_s=2.0, longest_wait_s=0.01
)
PLATFORM_SETTINGS = platform_list.PlatformSettings(vms=("e1", "e2"), lag_s=0.02)


@contextlib.asynccontextmanager
async def run_poller():
    async with benches.app_bench(platform_list.make_app(PLATFORM_SETTINGS)) as bench:
        queue = asyncio.Queue()
        running = poller.run(
            bench.session, bench.server.url, queue.put_nowait, POLL_SETTINGS
        )
        task = asyncio.create_task(running)
        try:
            yield bench, queue
        finally:
            task.cancel()


def test_leaving_vm_is_seen_after_the_lag():
    async def test():
        async with run_poller() as (bench, queue):
            platform = bench.app[platform_list.PLATFORM]
            platform_list.change_vm(platform, "e1", "leaving")
            while (await queue.get()).vms[0].state is not decisions.VmState.LEAVING:
                pass

    asyncio.run(test())


def test_outage_delivers_no_list_until_the_platform_returns():
    async def test():
        async with run_poller() as (bench, queue):
            await queue.get()
            await bench.faults(unavailable=True)
            while not queue.empty():
                queue.get_nowait()
            await asyncio.sleep(0.03)
            lists_during_outage = queue.qsize()
            await bench.faults(unavailable=False)
            after_outage = await queue.get()
        assert lists_during_outage <= 1
        assert len(after_outage.vms) == 2

    asyncio.run(test())


FOREIGN_VMS = [
    b'{"name":"\xff","state":"live"}',
    b'{"name":"\\ud800","state":"live"}',
    b'{"name":"e9","state":"odd"}',
    b'{"name":"e9","name":"e8","state":"live"}',
    b'{"state":"live"}',
    b'{"name":' + b"9" * 5000 + b"}",
    b"[" * 5000 + b"]" * 5000,
    b"null",
    b"",
]


@pytest.mark.parametrize("foreign", FOREIGN_VMS)
def test_vm_of_another_writer_leaves_the_others_in_the_list(foreign):
    # Leaving VMs went unseen for as long as one entry didn't match the schema.
    sound = b'{"name":"e1","state":"leaving"}'
    for vms in (foreign + b"," + sound, sound + b"," + foreign):
        listed = poller.decode_list(b'{"version":3,"vms":[%s]}' % vms).unwrap()
        assert listed.version == 3
        assert listed.vms == (decisions.Vm("e1", decisions.VmState.LEAVING),)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b'{"vms":[]}',
        b'{"version":-1,"vms":[]}',
        b'{"version":' + b"9" * 5000 + b',"vms":[]}',
        b'{"version":1}',
        b'{"version":1,"vms":[{"name":"e1"',
    ],
)
def test_list_of_vms_that_cannot_be_split_is_a_failure(body):
    assert poller.decode_list(body).failure().got_response


def test_list_with_unexpected_fields_is_a_failure():
    async def test():
        async with benches.engine_bench() as bench:
            url = bench.server.url + "/health?"
            read = await poller.fetch(bench.session, url)
        assert read.failure().got_response

    asyncio.run(test())
