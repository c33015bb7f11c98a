"""Signals that arrive while a process starts or ends."""

import os
import signal
import subprocess
import sys
import time

import pytest

from hickoryweir.testing.demo import entry_vms

SETTINGS = """
[process]
role = replica
host = 127.0.0.1
availability_zone = a
peer_port = {peer_port}
seeds = 127.0.0.1:1

[ports]
operators = 127.0.0.1:{port}

[replica]
data_folder = {folder}
bootstrap = yes
"""
SIGNAL_INTERVAL_S = 0.002
STOP_TIMEOUT_S = 10.0
STOPS_COUNT = 4

# The process signals itself at the point where its imports would run.
PROGRAM = """
import os, signal
from hickoryweir import early_signals
early_signals.install_handlers()
os.kill(os.getpid(), signal.{name})
print("went on")
"""


def run(name):
    program = PROGRAM.format(name=name)
    return subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=False
    )


def test_sighup_during_startup_does_not_end_the_process():
    ended = run("SIGHUP")
    assert (ended.returncode, ended.stdout) == (0, "went on\n")


def test_sigterm_during_startup_exits_cleanly():
    ended = run("SIGTERM")
    assert (ended.returncode, ended.stdout) == (0, "")


# The command line, which is slow to import, is replaced by a stub that prints
# whether SIGHUP is ignored.  A program that is started with SIGHUP ignored, as by
# nohup, inherits that, so the default is restored first.
COMMAND = """
import runpy, signal, sys, types
signal.signal(signal.SIGHUP, signal.SIG_DFL)
tell = lambda: print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)
stub = types.ModuleType("hickoryweir.cli")
stub.main = types.SimpleNamespace(main=tell)
sys.modules["hickoryweir.cli"] = stub
sys.argv = ["hickoryweir", "{command}"]
runpy.run_module("hickoryweir", run_name="__main__")
"""


@pytest.fixture(params=[signal.SIG_DFL, signal.SIG_IGN])
def inherited_sighup(request):
    """Set the disposition of SIGHUP that started programs inherit."""
    former = signal.signal(signal.SIGHUP, request.param)
    yield request.param
    signal.signal(signal.SIGHUP, former)


@pytest.mark.parametrize(
    ("command", "holds"), [("forward", True), ("serve", True), ("load", False)]
)
def test_long_running_commands_hold_signals_before_imports(
    command, holds, inherited_sighup
):
    assert signal.getsignal(signal.SIGHUP) == inherited_sighup
    ended = subprocess.run(
        [sys.executable, "-c", COMMAND.format(command=command)],
        capture_output=True,
        text=True,
        check=True,
    )
    assert ended.stdout == f"{holds}\n"


def stop_under_signals(folder, number, interval_s):
    """Stop a replica, and send it a signal until it has ended; return its exit code."""
    path = folder / "replica.ini"
    path.write_text(
        SETTINGS.format(
            peer_port=entry_vms.free_port(),
            port=entry_vms.free_port(),
            folder=folder / "data",
        )
    )
    command = [sys.executable, "-m", "hickoryweir", "forward", str(path)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        for line in process.stdout:
            if "serving" in line:
                break
        os.kill(process.pid, signal.SIGTERM)
        give_up_s = time.monotonic() + STOP_TIMEOUT_S
        while process.poll() is None and time.monotonic() < give_up_s:
            os.kill(process.pid, number)
            time.sleep(interval_s)
        process.kill()
    return process.returncode


def test_repeated_sigterm_does_not_change_the_exit_code_of_a_stop(tmp_path):
    assert stop_under_signals(tmp_path, signal.SIGTERM, SIGNAL_INTERVAL_S) == 0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_no_moment_of_a_stop_has_the_default_action_of_a_signal(tmp_path, number):
    codes = [stop_under_signals(tmp_path, number, 0.0) for _ in range(STOPS_COUNT)]
    assert codes == [0] * STOPS_COUNT
