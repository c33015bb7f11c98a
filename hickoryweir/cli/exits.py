"""Exit codes of the ``hickoryweir`` command."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes; 2 is also what a wrong command line gives."""

    SUCCESS = 0
    INVALID_FILE = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    REFUSED = 5
    PENDING = 6


SUMMARY = """
Exit codes:

- 0: done
- 1: a file is invalid; each problem is named with its section and key
- 2: the command line is wrong
- 3: no entry VM could be reached, or its answer was lost
- 4: conflict: another change was accepted first
- 5: refused: permission, quorum, or a stop that takes too much away
- 6: accepted, but not yet in force in every availability zone
"""
