"""A process ends at once, also where nobody reads what it logs."""

import os
import signal
import subprocess
import sys

CODE = """
import sys, time
from hickoryweir import process_exit
from hickoryweir.observability import bounded

stream = bounded.make_stream(sys.stdout)
for _ in range(100):
    stream.write("x" * 2_000 + "\\n")
time.sleep(0.3)
stream.close()
process_exit.exit_at_once(3)
"""
TIMEOUT_S = 10.0


def run(code, stdout):
    """Return the exit code of a process with a buffered output, as by default."""
    environment = {
        name: value for name, value in os.environ.items() if name != "PYTHONUNBUFFERED"
    }
    process = subprocess.Popen(
        [sys.executable, "-c", code], stdout=stdout, env=environment
    )
    try:
        return process.wait(TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        return -signal.SIGKILL


def test_process_ends_beside_a_full_pipe_that_nobody_reads():
    reading, writing = os.pipe()
    try:
        assert run(CODE, writing) == 3
    finally:
        os.close(reading)
        os.close(writing)


def test_what_was_written_is_flushed_before_the_end(tmp_path):
    path = tmp_path / "output"
    with path.open("wb") as output:
        code = "from hickoryweir import process_exit; print(5, end=''); "
        assert run(code + "process_exit.exit_at_once(0)", output) == 0
    assert path.read_text() == "5"
