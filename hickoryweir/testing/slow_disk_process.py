"""Runs the command line with a disk that the soak can make slow.

Each sync takes as many seconds longer as a file says, as long as that file exists::

    python -m hickoryweir.testing.slow_disk_process DELAY hickoryweir forward FILE
    python -m hickoryweir.testing.slow_disk_process DELAY ENTRY.py
"""

import os
import pathlib
import runpy
import sys
import time

sync = os.fsync


def use_slow_disk(path: pathlib.Path) -> None:
    """Delay each sync by the seconds that a file holds."""

    def sync_slowly(handle: int) -> None:
        time.sleep(read_delay_s(path))
        sync(handle)

    os.fsync = sync_slowly


def read_delay_s(path: pathlib.Path) -> float:
    """Return the delay in a file; none without the file."""
    try:
        return float(path.read_text())
    except FileNotFoundError:
        return 0.0


if __name__ == "__main__":
    use_slow_disk(pathlib.Path(sys.argv.pop(1)))
    sys.argv.pop(0)
    program = sys.argv[0]
    if program.endswith(".py"):
        # The interpreter puts the folder of a script first.
        sys.path.insert(0, str(pathlib.Path(program).parent))
        runpy.run_path(program, run_name="__main__")
    else:
        runpy.run_module(program, run_name="__main__", alter_sys=True)
