"""Tests of the demonstration as a process."""

import pathlib
import signal
import subprocess
import sys
import time

READY_TIMEOUT_S = 90.0
STOP_TIMEOUT_S = 30.0


def child_pids(pid):
    """Return the IDs of a process's running children."""
    path = pathlib.Path(f"/proc/{pid}/task/{pid}/children")
    return [int(child) for child in path.read_text().split()]


def wait_until_serving(process):
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    for line in process.stdout:
        if "serving until" in line or time.monotonic() > deadline_s:
            return line
    return ""


def test_sigterm_stops_the_entry_vms_too():
    command = [sys.executable, "-m", "hickoryweir.testing.demo.main"]
    arguments = ["--keep", "--calls", "4", "--duration-s", "0.2"]
    process = subprocess.Popen(command + arguments, stdout=subprocess.PIPE, text=True)
    try:
        assert "serving until" in wait_until_serving(process)
        children = child_pids(process.pid)
        process.send_signal(signal.SIGTERM)
        process.stdout.read()
        assert process.wait(STOP_TIMEOUT_S) == 128 + signal.SIGTERM
        surviving = [pid for pid in children if pathlib.Path(f"/proc/{pid}").exists()]
        assert (len(children), surviving) == (3, [])
    finally:
        process.kill()
