"""The end of a process that has closed everything.

The interpreter's teardown takes a quarter of a second of processor time.  A process
that is stopped has only its grace, and on a loaded entry VM this is most of the rest.
"""

import os
import sys
from typing import NoReturn


def exit_at_once(code: int) -> NoReturn:
    """End the process without the interpreter's teardown."""
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
