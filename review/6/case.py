"""Acknowledged configuration after losses in a zone with two core machines.

Six core machines in three zones bear the loss of two.  A seventh one is added in a zone
that has two.  Once it counts, a core machine of that zone is lost for good.  Then a
configuration is acknowledged, all processes of the core are killed, and two of the core
machines lose their disks.
"""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as stand_ins  # noqa: E402

# With TROUBLE=0 the case does the same without its disruptions.
HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
MEMBERS = re.compile(r"members: ([^\"]+)\"")
SETTLED_AFTER_S = 8.0
# catchUpS, and a margin.
COUNTS_AFTER_S = 6.0 + 2.0
LOST_BEFORE_S = 0.3
RECOVERY_S = 15.0
# The operator goes on reading well beyond the time that the rule allows.
READ_S = 40.0


async def read_version(site, timeout_s):
    """Return the version that is read back, and how long it took; None if none is."""
    began_s = time.monotonic()
    while time.monotonic() < began_s + timeout_s:
        for machine in site.cores:
            status, _, body = await site.get_table(machine)
            if status == 200:
                return json.loads(body)["version"], time.monotonic() - began_s
        await asyncio.sleep(0.2)
    return None, time.monotonic() - began_s


def find_voters(site):
    """Return the core machines that vote, by what the replicas log, first ones first.

    Only the choice of the machines that are lost depends on it.
    """
    for machine in site.cores:
        found = MEMBERS.findall(machine.log())
        if found:
            hosts = [
                member.partition("~")[0]
                for member in found[-1].split(", ")
                if "learner" not in member
            ]
            by_host = {each.host: each for each in site.cores}
            return [by_host[host] for host in hosts if host in by_host]
    return []


def find_zones(site):
    """Return the zones with two voters."""
    zones = [machine.zone for machine in find_voters(site)]
    return [zone for zone in dict.fromkeys(zones) if zones.count(zone) == 2]


async def main(record):
    """Play the case."""
    site = stand_ins.Site(record, fronts_count=3, cores_count=6, tolerated_count=2)

    def make_table(version):
        route = stand_ins.make_route("topup", "/topup/", "topup", "unsafe", 1500)
        return stand_ins.make_table(
            version, [route], [stand_ins.make_service("topup", 110)]
        )

    try:
        site.platform.update([])
        await site.start()
        if not await site.put_table(make_table(1)):
            return 2
        await asyncio.sleep(SETTLED_AFTER_S)
        zones = find_zones(site)
        record.write(f"zones with two voters: {zones}")
        if len(zones) < 2:
            return 2
        former = {machine.name for machine in site.cores}
        site.add_core(zones[0])
        for version in range(2, 8):
            await asyncio.sleep(COUNTS_AFTER_S / 6)
            if not await site.put_table(make_table(version)):
                return 2
        newest = 8
        voters = find_voters(site)
        record.write(f"voters: {[machine.name for machine in voters]}")
        lost = next(
            (m for m in voters if m.zone == zones[0] and m.name in former), None
        )
        if lost is None:
            return 2
        if HAS_TROUBLE:
            site.remove_core(lost)
            record.write(f"lost for good: {lost.name}, in {lost.zone}")
            await asyncio.sleep(LOST_BEFORE_S)
        if not await site.put_table(make_table(newest)):
            return 2
        if HAS_TROUBLE:
            emptied = [machine for machine in site.cores if machine.zone == zones[1]]
            for machine in site.cores:
                machine.signal(signal.SIGKILL)
            for machine in emptied:
                machine.process.wait()
                shutil.rmtree(machine.folder / "data")
                record.write(f"disk lost: {machine.name}, in {machine.zone}")
        await asyncio.sleep(2.0)
        version, took_s = await read_version(site, READ_S)
        record.write(
            f"acknowledged version {newest}, read back {version} "
            f"{took_s + 2.0:.1f} s after the losses, {RECOVERY_S:g} s are allowed"
        )
        return 0 if version == newest and took_s + 2.0 <= RECOVERY_S else 1
    finally:
        await site.stop()


if __name__ == "__main__":
    stand_ins.run(main, FOLDER)
