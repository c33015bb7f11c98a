"""Writes that the soak refuses fail in a process that goes on, and work again later."""

import asyncio
import errno
import random
import subprocess
import sys

from hickoryweir.testing import waiting
from hickoryweir.testing.soak import cluster as clusters
from hickoryweir.testing.soak import faults

TIMEOUT_S = 30.0
DURATION_S = 0.5
WRITER = """
import os, sys, time
with open(sys.argv[1], "wb", buffering=0) as file:
    while True:
        try:
            file.write(b"x")
            print("written", flush=True)
        except OSError as error:
            print(error.errno, flush=True)
        time.sleep(0.01)
"""


def test_refused_writes_fail_without_an_end_of_the_process(tmp_path):
    process = subprocess.Popen(
        [sys.executable, "-c", WRITER, tmp_path / "file"],
        stdout=subprocess.PIPE,
        text=True,
    )
    member = clusters.Member("replica", "127.0.0.1", tmp_path, process)
    context = faults.FaultContext(
        clusters.Cluster([member], [], [], {}), random.Random(1)
    )
    lines = []

    def has_line(wanted):
        lines.append(process.stdout.readline().strip())
        return lines[-1] == wanted

    async def play():
        await waiting.wait_until(lambda: has_line("written"), TIMEOUT_S)
        await faults.refuse_writes(context, member, DURATION_S)
        await waiting.wait_until(lambda: has_line(str(errno.EFBIG)), TIMEOUT_S)
        await waiting.wait_until(lambda: has_line("written"), TIMEOUT_S)

    try:
        asyncio.run(play())
        assert process.poll() is None
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
