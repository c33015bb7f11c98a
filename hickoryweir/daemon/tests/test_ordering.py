"""Orders and retention, with complete daemons and stand-in engines."""

import asyncio
import pathlib
import time

import pytest
from returns import result

from hickoryweir.configuration import change_ids, generator, settings
from hickoryweir.daemon import process
from hickoryweir.operators import client, documents
from hickoryweir.testing import engine, running
from hickoryweir.testing.demo import entry_vms

LIMIT_S = 60
ANSWERS = pathlib.Path(__file__).parent / "answers.ini"


async def submit(vm, text):
    access = client.Access((vm.operators_url,), entry_vms.OPERATOR_KEY)
    body = {"change_id": change_ids.make(time.time()), "answers": text}
    while True:
        asked = await client.request(
            access, "POST", "/changes", documents.AcceptedDocument, body
        )
        if isinstance(asked, result.Success):
            return
        await asyncio.sleep(0.1)


def run_daemon_with_engines(folder, count, inspect_daemon):
    """Run a daemon with some engines; return the result of `inspect_daemon`."""

    async def run():
        apps = [
            engine.make_app(engine.EngineSettings(f"engine-{number}"))
            for number in range(1, count + 1)
        ]
        engines = [await running.start(app) for app in apps]
        (vm,) = entry_vms.make_entry_vms(("a",), folder, 0)
        entry_vms.write_settings((vm,))
        daemon = await process.start(settings.load(vm.settings_file).unwrap())
        text = ANSWERS.read_text()
        for number, started in enumerate(engines, start=1):
            text = text.replace(f"http://127.0.0.1:{number}\n", f"{started.url}\n")
        assert isinstance(generator.generate_text(text, "answers"), result.Success)
        try:
            async with asyncio.timeout(LIMIT_S):
                await submit(vm, text)
                return await inspect_daemon(
                    daemon, [app[engine.ENGINE] for app in apps]
                )
        finally:
            await process.stop(daemon)
            for started in engines:
                await started.stop()

    return asyncio.run(run())


async def wait_until(condition):
    while True:
        if condition():
            return
        await asyncio.sleep(0.05)


def versions(engines):
    return [each.orders.models["assistant"].version for each in engines]


def test_the_leader_loads_the_wanted_version_one_engine_at_a_time(tmp_path):
    async def inspect_daemon(daemon, engines):
        first = versions(engines)
        await wait_until(lambda: versions(engines) == ["2", "2"])
        return first

    assert run_daemon_with_engines(tmp_path, 2, inspect_daemon) != ["2", "2"]


def test_the_log_gets_the_retention_of_the_configuration(tmp_path):
    async def inspect_daemon(daemon, engines):
        claims = daemon.replica.machine.states["claims"]
        wanted_s = 30 * 3600.0
        await wait_until(lambda: claims.limits.retention_s >= wanted_s)
        return claims.limits.retention_s

    assert run_daemon_with_engines(tmp_path, 1, inspect_daemon) == pytest.approx(
        30 * 3600.0, rel=0.2
    )
