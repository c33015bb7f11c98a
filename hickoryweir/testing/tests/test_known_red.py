"""The list of known failures, as pytest applies it."""

import pathlib
import shutil
import subprocess
import sys

import pytest

CONFTEST = pathlib.Path(__file__).parents[3] / "conftest.py"
ROWS = """import pytest

@pytest.mark.parametrize("number", [1, 2])
def test_rows(number):
    assert number == 1
"""


def run_listed(folder, entries, *arguments):
    """Run a test of two rows, of which the second fails; return code and output."""
    shutil.copy(CONFTEST, folder)
    (folder / "test_a.py").write_text(ROWS)
    (folder / "KNOWN-RED.txt").write_text(entries)
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *arguments],
        cwd=folder,
        capture_output=True,
        text=True,
    )
    return completed.returncode, completed.stdout + completed.stderr


@pytest.mark.parametrize("arguments", [(), ("-n", "2")])
def test_entry_of_a_whole_parametrized_function_is_an_error(tmp_path, arguments):
    """Guards against an entry that hides failures of rows that hold."""
    entries = "test_a.py::test_rows\n    flaky: near its bound\n"
    code, text = run_listed(tmp_path, entries, *arguments)
    assert code == pytest.ExitCode.TESTS_FAILED, text
    assert "ERROR test_a.py::test_rows[1]" in text
    assert "ERROR test_a.py::test_rows[2]" in text
    assert "KNOWN-RED.txt lists this function without the parameters" in text


def test_entry_of_a_row_covers_no_other_row(tmp_path):
    """Guards against a failure that the entry of another row excuses."""
    code, text = run_listed(tmp_path, "test_a.py::test_rows[2]\n    seen: 2, not 1\n")
    assert code == pytest.ExitCode.OK, text
    entries = "test_a.py::test_rows[1]\n    flaky: near its bound\n"
    code, text = run_listed(tmp_path, entries)
    assert code == pytest.ExitCode.TESTS_FAILED, text
    assert "test_a.py::test_rows[2]" in text


def test_listed_row_that_passes_fails_the_run(tmp_path):
    """Guards against entries that outlive their fault."""
    entries = "test_a.py::test_rows[1]\n    seen: 2, not 1\ntest_a.py::test_rows[2]\n"
    code, text = run_listed(tmp_path, entries, "-o", "xfail_strict=true")
    assert code == pytest.ExitCode.TESTS_FAILED, text
