"""A complete daemon in this process, on the event loop used in production."""

import asyncio
import os
import pathlib

import aiohttp
import aiomisc
import uvloop

from hickoryweir.configuration import settings
from hickoryweir.daemon import drain, main
from hickoryweir.testing.demo import entry_vms


def make_settings(folder):
    (vm,) = entry_vms.make_entry_vms(("a",), folder, 0)
    entry_vms.write_settings((vm,))
    return vm, settings.load(vm.settings_file).unwrap()


def open_descriptors():
    folder = pathlib.Path("/proc/self/fd")
    found = []
    for entry in folder.iterdir():
        try:
            found.append(os.readlink(entry))
        except OSError:
            continue
    return found


def child_processes():
    folder = pathlib.Path("/proc/self/task")
    return [
        child
        for task in folder.iterdir()
        for child in (task / "children").read_text().split()
    ]


def run_daemon(folder, inspect_daemon):
    """Run a daemon and return the result of `inspect_daemon`."""
    vm, process_settings = make_settings(folder)
    service = main.RouterService(settings=process_settings)
    with aiomisc.entrypoint(service, log_config=False, catch_signals=()) as loop:
        return loop.run_until_complete(inspect_daemon(vm, service, loop))


def test_the_daemon_opens_no_io_uring_and_starts_no_process(tmp_path):
    before = set(child_processes())

    async def inspect_daemon(vm, service, loop):
        return loop, open_descriptors(), set(child_processes())

    loop, descriptors, children = run_daemon(tmp_path, inspect_daemon)
    assert isinstance(loop, uvloop.Loop)
    assert descriptors
    assert not [name for name in descriptors if "io_uring" in name]
    assert children <= before


async def get_status(vm, path):
    async with (
        aiohttp.ClientSession(vm.callers_url) as session,
        session.get(path) as response,
    ):
        return response.status


def test_a_daemon_without_configuration_is_healthy_but_not_ready(tmp_path):
    async def inspect_daemon(vm, service, loop):
        return await get_status(vm, "/healthz"), await get_status(vm, "/readyz")

    assert run_daemon(tmp_path, inspect_daemon) == (200, 503)


def test_a_graceful_shutdown_waits_for_calls_and_ends_clean(tmp_path):
    async def inspect_daemon(vm, service, loop):
        running = service.running
        call = asyncio.create_task(asyncio.sleep(1.0))
        running.driver.tasks.add(call)
        call.add_done_callback(running.driver.tasks.discard)
        code = await main.process.drain_and_stop(running)
        return code, call.done()

    assert run_daemon(tmp_path, inspect_daemon) == (drain.EXIT_CLEAN, True)


def test_calls_past_the_drain_limit_change_the_exit_code():
    async def run():
        forever = asyncio.create_task(asyncio.sleep(3600))

        async def stop():
            forever.cancel()

        steps = drain.Steps(lambda: None, {forever}, stop)
        limits = settings.Drain(balancer_lag_s=0.0, limit_s=0.1)
        return await drain.run(drain.Drain(), limits, steps)

    assert asyncio.run(run()) == drain.EXIT_CUT_OFF
