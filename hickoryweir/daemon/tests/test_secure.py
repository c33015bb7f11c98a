"""Daemons with TLS on every port and mutual TLS between peers."""

import asyncio
import contextlib
import dataclasses
import time

import pytest
from returns import result

from hickoryweir.configuration import change_ids, settings
from hickoryweir.daemon import process
from hickoryweir.daemon.tests import test_ordering
from hickoryweir.operators import client, documents
from hickoryweir.testing import certificates
from hickoryweir.testing.demo import entry_vms

LIMIT_S = 60
SECURE = """plain_text = no
certificate_file = {name}.crt
key_file = {name}.key
"""


def write_settings(vms):
    """Write TLS settings, and certificates signed by one authority."""
    entry_vms.write_settings(vms)
    authority = certificates.write_certificate(vms[0].folder, "authority")
    for vm in vms:
        certificates.write_certificate(vm.folder, vm.name, authority, entry_vms.HOST)
        signed = (vms[0].folder / "authority.crt").read_bytes()
        (vm.folder / "authority.crt").write_bytes(signed)
        text = vm.settings_file.read_text()
        text = text.replace("plain_text = yes\n", SECURE.format(name=vm.name))
        text = text.replace(
            "\n[replica]", "authority_file = authority.crt\n\n[replica]"
        )
        vm.settings_file.write_text(text)


def make_vms(folder):
    (first,) = entry_vms.make_entry_vms(("a",), folder, 0)
    (second,) = entry_vms.make_entry_vms(("b",), folder, 0)
    return first, dataclasses.replace(second, is_replica=False)


async def submit(vm):
    access = client.Access(
        (vm.operators_url.replace("http:", "https:"),),
        entry_vms.OPERATOR_KEY,
        str(vm.folder / "authority.crt"),
    )
    body = {
        "change_id": change_ids.make(time.time()),
        "answers": test_ordering.ANSWERS.read_text(),
    }
    while True:
        asked = await client.request(
            access, "POST", "/changes", documents.AcceptedDocument, body
        )
        if isinstance(asked, result.Success):
            return
        await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def running_daemons(vms):
    """Run the daemons of entry VMs in this process."""
    running = []
    try:
        for vm in vms:
            process_settings = settings.load(vm.settings_file).unwrap()
            running.append(await process.start(process_settings))
        yield running
    finally:
        for each in reversed(running):
            await process.stop(each)


def test_a_change_takes_effect_over_mutual_tls(tmp_path):
    vms = make_vms(tmp_path)
    write_settings(vms)

    async def run():
        async with running_daemons(vms) as running, asyncio.timeout(LIMIT_S):
            await submit(vms[0])
            await test_ordering.wait_until(
                lambda: all(each.in_force is not None for each in running)
            )
            return [each.in_force.version for each in running]

    assert asyncio.run(run()) == [1, 1]


def test_a_process_with_a_foreign_certificate_gets_no_configuration(tmp_path):
    vms = make_vms(tmp_path)
    write_settings(vms)
    foreign = certificates.write_certificate(vms[1].folder, "authority")
    certificates.write_certificate(vms[1].folder, vms[1].name, foreign, entry_vms.HOST)

    async def run():
        async with running_daemons(vms) as running, asyncio.timeout(LIMIT_S):
            await submit(vms[0])
            await test_ordering.wait_until(lambda: running[0].in_force is not None)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(2.0):
                    await test_ordering.wait_until(
                        lambda: running[1].in_force is not None
                    )

    asyncio.run(run())
