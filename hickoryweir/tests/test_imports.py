"""Imports name modules, not the names inside them."""

import ast
import importlib.util
import pathlib
import sys

import hickoryweir

ROOT = pathlib.Path(hickoryweir.__file__).parent
NAMES_ALLOWED_FROM = {"__future__", "collections.abc", "typing"}


def imported_names(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module not in NAMES_ALLOWED_FROM:
            for alias in node.names:
                yield f"{node.module}.{alias.name}"


def is_module(dotted):
    try:
        return importlib.util.find_spec(dotted) is not None
    except ModuleNotFoundError:
        return False
    except ValueError:
        return dotted in sys.modules


def test_only_modules_are_imported():
    wrong = [
        f"{path.relative_to(ROOT)}: {name}"
        for path in sorted(ROOT.rglob("*.py"))
        for name in imported_names(path)
        if not is_module(name)
    ]
    assert wrong == []
