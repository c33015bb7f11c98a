"""Exit codes of the ``hickoryweir`` command."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes; cappa also exits with 2 on a usage error."""

    SUCCESS = 0
    INVALID_FILE = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    REFUSED = 5
    PENDING = 6
    NOT_SUPPORTED = 7


SUMMARY = """
Exit codes:

- 0: done
- 1: a file is invalid; each problem is printed with its section and key
- 2: usage error
- 3: no entry VM or router could be reached, or its response was lost
- 4: conflict: another change was accepted first
- 5: refused: missing permission, a stop that leaves no server or no quorum, or a
  question without an answer, such as one for an unknown host or path
- 6: accepted, but not yet in force in every availability zone
- 7: the router does not know the question
"""
