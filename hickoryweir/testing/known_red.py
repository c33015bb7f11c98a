"""The tests listed in ``KNOWN-RED.txt``, which fail because of a known fault.

An entry begins in the first column with the id of a test, with its parameters where it
has some, so that a row that passes is never covered by another one that fails.  The
other lines of an entry are indented.
One with a line ``flaky: REASON`` may pass or fail, since its measured figure varies
around the bound between runs; all others have to fail until they are removed.
"""

from collections.abc import Iterable

FLAKY = "flaky:"


def listed_tests(text: str) -> dict[str, bool]:
    """Return the ids of the listed tests, and whether each has to fail.

    Examples
    --------
    >>> listed_tests('''
    ... spec/tests/test_a.py::test_b
    ...     command: bin/test -k test_b
    ...     seen: 3 instead of 4 (issue 7)
    ... spec/tests/test_a.py::test_c
    ...     flaky: 0.88 to 0.91 instead of 0.9
    ... ''')
    {'spec/tests/test_a.py::test_b': True, 'spec/tests/test_a.py::test_c': False}
    """
    must_fail: dict[str, bool] = {}
    name = ""
    for line in text.splitlines():
        if line and not line[0].isspace():
            name = line.strip()
            must_fail[name] = True
        elif line.strip().startswith(FLAKY):
            must_fail[name] = False
    return must_fail


def whole_functions(listed: Iterable[str], collected: Iterable[str]) -> set[str]:
    """Return the entries that name a parametrized function instead of its rows.

    Examples
    --------
    >>> whole_functions(["a.py::test_b"], ["a.py::test_b[1]", "a.py::test_b[2]"])
    {'a.py::test_b'}
    >>> whole_functions(["a.py::test_b[1]"], ["a.py::test_b[1]", "a.py::test_b[2]"])
    set()
    """
    parametrized = {
        name
        for name, bracket, _ in (item.partition("[") for item in collected)
        if bracket
    }
    return parametrized.intersection(listed)
