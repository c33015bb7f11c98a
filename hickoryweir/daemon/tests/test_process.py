"""A complete daemon in this process, on the event loop used in production."""

import asyncio
import dataclasses
import json
import os
import pathlib

import aiohttp
import aiomisc
import pytest
import uvloop

from hickoryweir.callers import authentication, interface
from hickoryweir.callers.tests import exchanges
from hickoryweir.callers.tests import fakes as callers_fakes
from hickoryweir.configuration import settings
from hickoryweir.daemon import drain, main
from hickoryweir.daemon.tests import fakes
from hickoryweir.replicas import state as states
from hickoryweir.routers import node
from hickoryweir.testing import waiting
from hickoryweir.testing.demo import entry_vms

HOST = "127.0.0.1"
RECEIVE_TIMEOUT_S = 6.0
APPLY_TIMEOUT_S = 5.0


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


@pytest.mark.parametrize("event", [states.StorageFailed(), states.Received(None)])
def test_a_replica_whose_disk_failed_for_a_moment_leads_again(tmp_path, event):
    async def inspect_daemon(vm, service, loop):
        running = service.running

        def leads():
            state = running.replica.state
            return state is not None and state.role is states.Role.LEADER

        await waiting.wait_until(leads, APPLY_TIMEOUT_S)
        first = running.replica
        first._queue.put_nowait(event)
        await waiting.wait_until(
            lambda: running.replica is not first and leads(), APPLY_TIMEOUT_S
        )
        return first.state.member_id == running.replica.state.member_id

    assert run_daemon(tmp_path, inspect_daemon)


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

        steps = drain.Steps(lambda: None, lambda: {forever}, lambda: None, stop)
        limits = settings.Drain(balancer_lag_s=0.0, limit_s=0.1)
        return await drain.run(drain.Drain(), limits, steps)

    assert asyncio.run(run()) == drain.EXIT_CUT_OFF


def put_configuration_in_force(running):
    """Let a daemon without a majority serve calls of an hour, and drain quickly."""
    running.settings = dataclasses.replace(
        running.settings, drain=settings.Drain(balancer_lag_s=0.1, limit_s=2.0)
    )
    made = callers_fakes.make_configuration()
    classes = tuple(
        dataclasses.replace(each, deadline_s=3_600.0) for each in made.classes
    )
    configuration = dataclasses.replace(made, classes=classes)
    directory = authentication.make_directory(configuration.accounts)
    running.in_force = interface.ConfigurationInForce(1, configuration, directory)


def test_configurations_are_applied_after_one_that_causes_an_error(
    tmp_path, monkeypatch
):
    apply = main.process.backends.apply_configuration

    def apply_or_fail(tracker, configuration, running_stops):
        if running.in_force.version == 1:
            raise ValueError("first")
        apply(tracker, configuration, running_stops)

    running = None
    monkeypatch.setattr(main.process.backends, "apply_configuration", apply_or_fail)

    async def inspect_daemon(vm, service, loop):
        nonlocal running
        running = service.running
        configuration = callers_fakes.make_configuration()
        for version in (1, 2):
            running.configurations.put_nowait(node.InForce(version, configuration, ()))
        await waiting.wait_until(
            lambda: running.in_force and running.in_force.version == 2,
            APPLY_TIMEOUT_S,
        )

    run_daemon(tmp_path, inspect_daemon)


def test_a_call_whose_body_arrives_during_a_drain_is_read(tmp_path):
    # The body is complete but isn't JSON, so that no backend server is needed.
    body = b"x" * 100
    request = exchanges.make_request(b"/v1/chat/completions", body)

    async def inspect_daemon(vm, service, loop):
        running = service.running
        put_configuration_in_force(running)
        reader, writer = await asyncio.open_connection(HOST, running.callers.port)
        writer.write(request[:-50])
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(main.process.drain_and_stop(running))
        await asyncio.sleep(0.5)
        writer.write(request[-50:])
        received = await exchanges.receive(reader, exchanges.RESPONSE_TIMEOUT_S)
        writer.close()
        return await stopping, exchanges.parse(received)

    code, responses = run_daemon(tmp_path, inspect_daemon)
    assert (code, [status for status, _ in responses]) == (drain.EXIT_CLEAN, [400])


def test_calls_at_the_drain_limit_get_a_final_refusal(tmp_path):
    body = json.dumps(callers_fakes.CHAT).encode()
    request = exchanges.make_request(b"/v1/chat/completions", body)

    async def inspect_daemon(vm, service, loop):
        running = service.running
        put_configuration_in_force(running)
        script = fakes.Script([None])
        async with fakes.running_driver(script) as call_driver:
            running.driver = call_driver
            reader, writer = await asyncio.open_connection(HOST, running.callers.port)
            writer.write(request)
            await script.started.wait()
            stopping = asyncio.create_task(main.process.drain_and_stop(running))
            received = await exchanges.receive(reader, RECEIVE_TIMEOUT_S)
            writer.close()
            # If nothing was received, the daemon's stop would take two minutes more.
            assert received
            return await stopping, exchanges.check(received)

    code, ((status, answer),) = run_daemon(tmp_path, inspect_daemon)
    assert (code, status) == (drain.EXIT_CUT_OFF, 503)
    error = json.loads(answer)["error"]
    assert (error["code"], error["ran"]) == ("draining", "maybe")
