"""Ports of the entry VMs on loopback."""

import subprocess
import sys

from hickoryweir.testing.demo import entry_vms

PROGRAM = """
import sys
from hickoryweir.testing.demo import entry_vms
print(entry_vms.free_port(int(sys.argv[1])), flush=True)
sys.stdin.read()
"""


def start_with_port(port):
    """Start a process that takes a port and holds it until its input ends."""
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, str(port)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    return process, int(process.stdout.readline())


def test_port_that_another_process_has_taken_but_not_bound_is_not_free():
    wanted = entry_vms.free_port()
    processes = [start_with_port(wanted + 1) for _ in range(2)]
    for process, _ in processes:
        process.communicate("")
    taken = [port for _, port in processes]
    assert wanted not in taken
    assert len(set(taken)) == 2


def test_port_is_free_again_once_its_process_has_ended(tmp_path):
    port = entry_vms.free_port()
    program = (
        "import pathlib, sys\n"
        "from hickoryweir.testing.demo import entry_vms\n"
        "print(entry_vms.reserve(int(sys.argv[1]), pathlib.Path(sys.argv[2])))\n"
    )
    for _ in range(2):
        ended = subprocess.run(
            [sys.executable, "-c", program, str(port), str(tmp_path)],
            capture_output=True,
            text=True,
            check=True,
        )
        assert ended.stdout == "True\n"
