"""The tests listed in ``KNOWN-RED.txt``, which fail because of a known fault.

An entry begins in the first column with the id of a test; its other lines are indented.
"""


def listed_tests(text: str) -> frozenset[str]:
    """Return the ids of the listed tests.

    Examples
    --------
    >>> sorted(listed_tests('''
    ... spec/tests/test_a.py::test_b
    ...     command: bin/test -k test_b
    ...     seen: 3 instead of 4 (issue 7)
    ... '''))
    ['spec/tests/test_a.py::test_b']
    """
    return frozenset(
        line.strip() for line in text.splitlines() if line and not line[0].isspace()
    )
