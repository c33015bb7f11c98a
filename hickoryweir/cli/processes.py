"""Commands that run a process: ``serve``, ``stand-in`` and ``load``."""

import importlib
import pathlib

from returns import result

from hickoryweir.cli import files
from hickoryweir.configuration import settings


def serve(path: pathlib.Path) -> int:
    """Run the daemon with a settings file and return its exit code."""
    loaded = settings.load(path)
    if not isinstance(loaded, result.Success):
        return files.report(loaded.failure())
    daemon = importlib.import_module("hickoryweir.daemon.main")
    return daemon.serve(loaded.unwrap())
